"""Connects the group of controllers to sockets: sends and receives its messages, reports to the module how many
controllers share the fleet, and serves the view of the group."""

from __future__ import annotations

import asyncio
import math
import os
import time
from collections.abc import Callable
from dataclasses import replace
from typing import Any

import msgspec
from google.protobuf.message import DecodeError

from sprucespool.gateway import messages as ms
from sprucespool.grpc.events import Reset
from sprucespool.grpc.status import Limits, Metadata, Status
from sprucespool.membership import About, Codec, Event, Group, GroupLimits, MessageError, Phase, Row, Outgoing, State
from sprucespool.membership.codec import MAX_BYTES
from sprucespool.settings.controller import ControllerPlan, GroupPlan, loopback
from sprucespool.transport.listener import Method, ServerCall, unary
from sprucespool.transport.plan import PoolLimits
from sprucespool.transport.pool import CallEvent, Pool
from sprucespool.wire import names
from sprucespool.wire import platform_pb2 as platform

BUILD = "0.2"
# Metrics of load and capacity that a member reports, in this order.
LOAD_METRICS = ("taken_a_second", "shed_a_second", "owed", "may_owe", "lag_ms", "cpu")
# Limit for the payload of the fleet and the failover that a message carries.
MAX_PAYLOAD_BYTES = 262_144
# A leaving member waits at most this long for another member to request its share, and checks at this interval whether
# one has. After its last messages it waits once more, so that they are sent before its sockets close.
MAX_LEAVE_SECONDS, LEAVE_CHECK_INTERVAL_SECONDS, LAST_MESSAGES_SECONDS = 1.0, 0.02, 0.05
STATE_NAMES = {state: state.name.lower() for state in State}
WARNING_KINDS = {"suspected", "died", "isolated", "stalled", "renumbered", "twin", "distrusted", "refused"}


class Line(msgspec.Struct):
    """One member as a controller sees it. `age_ms`: time since this controller last received news of it."""

    name: str
    address: str
    start: int
    region: str
    zone: str
    number: int
    of: int
    version: int
    phase: str
    state: str
    incarnation: int
    age_ms: float
    suspected_by: list[str]
    figures: list[float]
    build: str


class View(msgspec.Struct):
    """A controller's view of the group. `digest` is equal for two controllers that see the same processes, each with
    the same information about itself."""

    group: str
    me: str
    start: int
    digest: str
    epoch: int
    isolated: bool
    live: int
    part: float
    figures: list[str]
    members: list[Line]
    gone: list[Line]
    tally: dict[str, Any]


def new_start() -> int:
    """Returns a number for this process that is higher than those of all earlier processes of its member, unless the
    clock was set back; in that case the group replaces it by a higher one."""
    return (time.time_ns() // 1_000_000 << 12) | int.from_bytes(os.urandom(2), "big") % 4096


class GroupCarrier:
    """Runs one controller's member of the group. `add_input` passes inputs to the module; `on_event` holds callbacks
    for changes of the view."""

    def __init__(
        self,
        plan: ControllerPlan,
        settings: GroupPlan,
        add_input: Callable[[ms.Input], None],
        log: Any,
        own_metadata: Metadata,
        group_class: type[Group] = Group,
    ):
        self.plan, self.settings, self.add_input, self.log, self.own_metadata = (
            plan,
            settings,
            add_input,
            log,
            own_metadata,
        )
        self.loop = asyncio.get_running_loop()
        self.codec = Codec(settings.name, settings.mark)
        self.group_class = group_class
        self.pools: dict[str, Pool] = {}
        self.group: Group | None = None
        self.on_event: list[Callable[[Event], None]] = []
        self.timer: asyncio.TimerHandle | None = None
        self.stopped = False
        self.sharing: tuple[int, float] | None = None
        self.refused_counts: dict[str, int] = {}
        self.last_check = 0.0
        # Payloads of the shared view and of the plans that each message of the group carries, and the callbacks for
        # received ones, whether they came with a message of the group or alone.
        self.fleet_payload: Callable[[], bytes] = bytes
        self.on_note: Callable[[bytes], None] = lambda data: None
        self.failover_payload: Callable[[], bytes] = bytes
        self.on_plan: Callable[[bytes], None] = lambda data: None
        # `measure_load` returns this controller's present load and capacity, in the order of `metric_names`.
        self.metric_names: tuple[str, ...] = LOAD_METRICS
        self.measure_load: Callable[[], tuple[float, ...]] = tuple

    def now(self) -> float:
        return self.loop.time() * 1000.0

    def start(self, own_address: str) -> None:
        """Join the group. `own_address` is the address at which this controller listens."""
        place, settings = self.plan.controller, self.settings
        limits = GroupLimits(period=settings.period, ack_within=0.3 * settings.period)
        self.group = self.group_class(
            settings.member or f"controller-{place.number}",
            settings.advertise or own_address,
            new_start(),
            [seed.address for seed in settings.seeds],
            About(place.region, place.zone, place.number, place.of, BUILD),
            self.plan.seed * 17 + place.number,
            limits,
            os.urandom(16),
            settings.loan,
        )
        self._tick()

    def _tick(self):
        assert self.group is not None
        self._carry_out(self.group.tick(self.now()))
        if self.loop.time() - self.last_check > 1.0:
            self.last_check = self.loop.time()
            self.group.update_figures(self.now(), self.measure_load())
            for member_address, pool in list(self.pools.items()):
                pool.check()
                if pool.quiet:
                    del self.pools[member_address]

    def _carry_out(self, messages: list[Outgoing]):
        """After each step of the member: send its messages, report changes, and set the timer for its next step."""
        group = self.group
        assert group is not None
        if self.stopped:
            # A stopped member sends nothing more and sets no timer, whatever input still reaches it.
            return
        for outgoing in messages:
            self._send(outgoing)
        for event in group.take_events():
            self._event(event)
        sharing = group.sharing()
        if sharing != self.sharing:
            self.sharing = sharing
            self.add_input(ms.Sharing(*sharing))
        if self.timer is not None:
            self.timer.cancel()
        due = group.due()
        self.timer = self.loop.call_at(due / 1000.0, self._tick) if due < math.inf else None

    def _event(self, event: Event):
        row = event.row
        details = (
            {}
            if row is None
            else {"member": row.name, "address": row.address, "start": row.start, "zone": row.about.zone}
        )
        log = self.log.warning if event.kind in WARNING_KINDS else self.log.info
        log(
            "member",
            kind=event.kind,
            epoch=event.epoch,
            **details,
            **({"by": event.by} if event.by else {}),
            **({"why": event.why} if event.why else {}),
        )
        for callback in self.on_event:
            callback(event)

    def _send(self, outgoing: Outgoing):
        self._post(
            outgoing.to,
            platform.MemberMessage(
                message=self.codec.encode(outgoing.message),
                fleet=self.fleet_payload(),
                failover=self.failover_payload(),
            ),
        )

    def send_note(self, to: str, note: bytes) -> None:
        """Send a payload of the shared view, without a message of the group."""
        self._post(to, platform.MemberMessage(fleet=note))

    def send_plan(self, to: str, payload: bytes) -> None:
        """Send a payload of the failover (a message of its council or a forwarded plan) alone."""
        self._post(to, platform.MemberMessage(failover=payload))

    def _post(self, to: str, content: platform.MemberMessage, may_retry: bool = True):
        if self.stopped:
            return
        message = content.SerializeToString()
        try:
            pool = self._pool(to)
        except ValueError:
            return  # the address that a member claims is not valid

        def on_event(event: CallEvent):
            # The call crossed the GOAWAY of its connection. Retried once: a leaving member must still be reached.
            if may_retry and isinstance(event, Reset) and event.never_ran:
                self.loop.call_soon(self._post, to, content, False)

        # Nothing waits for the call: the protocol detects missing replies. The call is cancelled after a while, because
        # a link that accepts data and delivers nothing would otherwise keep all these calls open.
        call = pool.call(names.MEMBERSHIP_SAY, self.own_metadata, 1000.0, message, on_event)
        self.loop.call_later(2.0, call.cancel)

    def _pool(self, member_address: str) -> Pool:
        """Raises ValueError if it is not a loopback address: there is no TLS yet."""
        if member_address not in self.pools:
            host, port = loopback(member_address)
            limits = PoolLimits(
                connections=1,
                connect_timeout=500.0,
                idle_close=20_000.0,
                keepalive=3_000.0,
                keepalive_timeout=3_000.0,
                initial_backoff=20.0,
                max_backoff=400.0,
                waiting=64,
                source=self.plan.source,
            )
            self.pools[member_address] = Pool(
                host,
                port,
                Limits(message=MAX_BYTES + MAX_PAYLOAD_BYTES + 4096, streams=1000),
                limits,
                self.plan.seed * 31 + len(self.pools),
            )
        return self.pools[member_address]

    # Received messages and requests

    def methods(self) -> dict[str, Method]:
        return {names.MEMBERSHIP_SAY: unary(self._receive), names.MEMBERSHIP_VIEW: unary(self._view)}

    def _receive(self, call: ServerCall, data: bytes):
        try:
            received = platform.MemberMessage.FromString(data)
            alone = not received.message and (received.fleet or received.failover)
            message = None if alone else self.codec.decode(received.message)
            if message is not None:
                loopback(message.sender.address)
        except (DecodeError, MessageError, ValueError) as error:
            return call.finish(Status.INVALID_ARGUMENT, self._refuse(call, error))
        try:
            if received.fleet:
                self.on_note(received.fleet)
            if received.failover:
                self.on_plan(received.failover)
        except ValueError as error:
            why = self._refuse(call, error)
            if message is None:
                return call.finish(Status.INVALID_ARGUMENT, why)
        call.send(platform.MemberHeard().SerializeToString())
        call.finish(Status.OK)
        if self.group is not None and message is not None:
            self._carry_out(self.group.receive(self.now(), message))

    def _refuse(self, call: ServerCall, error: Exception) -> str:
        why = str(error)[:200]
        # The texts contain values from the message: the limit keeps a flood of them from filling memory and log.
        counted_as = why if why in self.refused_counts or len(self.refused_counts) < 64 else "others"
        count = self.refused_counts[counted_as] = self.refused_counts.get(counted_as, 0) + 1
        if count & (count - 1) == 0:
            self.log.warning("message refused", peer=call.peer, why=why, count=count)
        return why

    def _view(self, call: ServerCall, data: bytes):
        if self.group is None:
            return call.finish(Status.UNAVAILABLE, "not yet in the group")
        call.send(platform.ViewReply(view=msgspec.json.encode(self.view())).SerializeToString())
        call.finish(Status.OK)

    def view(self) -> View:
        group, now = self.group, self.now()
        assert group is not None
        table = group.table
        members = [self._line(group.me, 0.0)] + [
            self._line(entry.row, now - entry.last_known_at) for entry in table.present.values()
        ]
        gone = [self._line(entry.row, now - entry.state_since) for entry in table.gone.values()]
        tally = group.tally
        members.sort(key=lambda line: (line.name, line.address))
        return View(
            self.settings.name,
            group.me.name,
            group.me.start,
            f"{group.digest:016x}",
            table.epoch,
            group.isolated,
            len(group.live()),
            group.share(),
            list(self.metric_names),
            members,
            gone,
            {
                "said": tally.said,
                "heard": tally.heard,
                "suspected": tally.suspected,
                "cleared": tally.cleared,
                "died": tally.died,
                "refuted": tally.refuted,
                "distrusted": tally.distrusted,
                "refused": {**tally.refused, **self.refused_counts},
            },
        )

    def _line(self, row: Row, age: float) -> Line:
        about = row.about
        return Line(
            row.name,
            row.address,
            row.start,
            about.region,
            about.zone,
            about.number,
            about.of,
            row.version,
            about.phase.name.lower(),
            STATE_NAMES[row.state],
            row.incarnation,
            round(max(0.0, age), 1),
            list(row.accusers) if row.state is State.SUSPECT else [],
            list(row.figures),
            about.build,
        )

    # Changes of what this member reports of itself

    def update_about(self, **changes: Any) -> None:
        if self.group is not None:
            self._carry_out(self.group.update_about(self.now(), replace(self.group.about, **changes)))

    def draining(self) -> None:
        """Report that this controller accepts no new calls and finishes the open ones."""
        self.update_about(phase=Phase.DRAINING)

    async def leave(self) -> None:
        """Lend this controller's share and leave the group. Called when nothing more will be sent to any invoker."""
        if self.group is None:
            return
        self.update_about(phase=Phase.LEAVING)
        end = self.loop.time() + MAX_LEAVE_SECONDS
        while not self.group.share_is_lent and self.loop.time() < end:
            await asyncio.sleep(LEAVE_CHECK_INTERVAL_SECONDS)
        self._carry_out(self.group.leave(self.now()))
        await asyncio.sleep(LAST_MESSAGES_SECONDS)

    def stop(self) -> None:
        self.stopped = True
        if self.timer is not None:
            self.timer.cancel()
        for pool in self.pools.values():
            pool.close()
