"""The group of controllers on sockets: carries what members say, tells the module who shares, shows the view."""

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
# What a member tells of its load and capacity, in this order.
FIGURES = ("taken_a_second", "shed_a_second", "owed", "may_owe", "lag_ms", "cpu")
# What rides on a message at the most.
MOST_NOTE = 262_144
# Seconds for others to ask a leaver for its part before its last words, at the most; how often it looks whether they
# have; for what it answered to leave.
LONGEST_LEAVE, LEAVE_LOOK, LAST_WORDS = 1.0, 0.02, 0.05
STATES = {state: state.name.lower() for state in State}
LOUD = {"suspected", "died", "isolated", "stalled", "renumbered", "twin", "distrusted", "refused"}


class Line(msgspec.Struct):
    """One member as a controller sees it. `age_ms`: since the last word of it that reached this controller."""

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
    """`digest` is equal where two controllers see the same processes telling the same of themselves."""

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
    """A number for this process that is above all earlier ones of its seat, if the clock has not gone back; and if it
    has, the group takes a higher one."""
    return (time.time_ns() // 1_000_000 << 12) | int.from_bytes(os.urandom(2), "big") % 4096


class GroupCarrier:
    """One controller's member, wired. `tell` hands the module its facts; `on_event` is for users of the view."""

    def __init__(
        self,
        plan: ControllerPlan,
        told: GroupPlan,
        tell: Callable[[ms.Input], None],
        log: Any,
        about: Metadata,
        kind: type[Group] = Group,
    ):
        self.plan, self.told, self.tell, self.log, self.about = plan, told, tell, log, about
        self.loop = asyncio.get_running_loop()
        self.codec = Codec(told.name, told.mark)
        self.kind = kind
        self.pools: dict[str, Pool] = {}
        self.group: Group | None = None
        self.on_event: list[Callable[[Event], None]] = []
        self.timer: asyncio.TimerHandle | None = None
        self.stopped = False
        self.sharing: tuple[int, float] | None = None
        self.refused: dict[str, int] = {}
        self.looked = 0.0
        # What rides on each message, of the fleet's view and of plans; who hears of what rode on one or came alone.
        self.ride: Callable[[], bytes] = bytes
        self.on_note: Callable[[bytes], None] = lambda data: None
        self.ride_plan: Callable[[], bytes] = bytes
        self.on_plan: Callable[[bytes], None] = lambda data: None
        # Own load and capacity now, in the order of `figures`.
        self.figures: tuple[str, ...] = FIGURES
        self.weigh: Callable[[], tuple[float, ...]] = tuple

    def now(self) -> float:
        return self.loop.time() * 1000.0

    def start(self, own_address: str) -> None:
        """`own_address` is where this controller listens."""
        place, told = self.plan.controller, self.told
        limits = GroupLimits(period=told.period, ack_within=0.3 * told.period)
        self.group = self.kind(
            told.member or f"controller-{place.number}",
            told.advertise or own_address,
            new_start(),
            [seed.address for seed in told.seeds],
            About(place.region, place.zone, place.number, place.of, BUILD),
            self.plan.seed * 17 + place.number,
            limits,
            os.urandom(16),
            told.loan,
        )
        self._tick()

    def _tick(self):
        assert self.group is not None
        self._do(self.group.tick(self.now()))
        if self.loop.time() - self.looked > 1.0:
            self.looked = self.loop.time()
            self.group.update_figures(self.now(), self.weigh())
            for where, pool in list(self.pools.items()):
                pool.check()
                if pool.quiet:
                    del self.pools[where]

    def _do(self, said: list[Outgoing]):
        """After each step of the member: send, tell what changed, come back when something is due."""
        group = self.group
        assert group is not None
        if self.stopped:
            # Against a member that goes on by itself: whatever still reaches it, it says nothing more.
            return
        for say in said:
            self._send(say)
        for event in group.take_events():
            self._event(event)
        sharing = group.sharing()
        if sharing != self.sharing:
            self.sharing = sharing
            self.tell(ms.Sharing(*sharing))
        if self.timer is not None:
            self.timer.cancel()
        due = group.due()
        self.timer = self.loop.call_at(due / 1000.0, self._tick) if due < math.inf else None

    def _event(self, event: Event):
        row = event.row
        told = (
            {}
            if row is None
            else {"member": row.name, "address": row.address, "start": row.start, "zone": row.about.zone}
        )
        log = self.log.warning if event.kind in LOUD else self.log.info
        log(
            "member",
            kind=event.kind,
            epoch=event.epoch,
            **told,
            **({"by": event.by} if event.by else {}),
            **({"why": event.why} if event.why else {}),
        )
        for hear in self.on_event:
            hear(event)

    def _send(self, say: Outgoing):
        self._post(
            say.to,
            platform.MemberMessage(
                message=self.codec.encode(say.message), fleet=self.ride(), failover=self.ride_plan()
            ),
        )

    def send_note(self, to: str, note: bytes) -> None:
        """Something for the user of the group there, with no message of the group's own."""
        self._post(to, platform.MemberMessage(fleet=note))

    def send_plan(self, to: str, said: bytes) -> None:
        """A word of the council, or a plan told on, by itself."""
        self._post(to, platform.MemberMessage(failover=said))

    def _post(self, to: str, what: platform.MemberMessage, again: bool = True):
        if self.stopped:
            return
        message = what.SerializeToString()
        try:
            pool = self._pool(to)
        except ValueError:
            return  # a member that calls itself what is no address

        def heard(event: CallEvent):
            # It crossed the announcement of its connection's end. A member that leaves is still to be reached.
            if again and isinstance(event, Reset) and event.never_ran:
                self.loop.call_soon(self._post, to, what, False)

        # Nobody waits for what a member says; the protocol counts what does not come back. Given up after a while: a
        # link that accepts and delivers nothing would else hold all of them.
        call = pool.call(names.MEMBERSHIP_SAY, self.about, 1000.0, message, heard)
        self.loop.call_later(2.0, call.cancel)

    def _pool(self, where: str) -> Pool:
        """Raises ValueError on what is no loopback address: there is no TLS yet."""
        if where not in self.pools:
            host, port = loopback(where)
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
            self.pools[where] = Pool(
                host,
                port,
                Limits(message=MAX_BYTES + MOST_NOTE + 4096, streams=1000),
                limits,
                self.plan.seed * 31 + len(self.pools),
            )
        return self.pools[where]

    # Hearing

    def methods(self) -> dict[str, Method]:
        return {names.MEMBERSHIP_SAY: unary(self._said), names.MEMBERSHIP_VIEW: unary(self._view)}

    def _said(self, call: ServerCall, data: bytes):
        try:
            told = platform.MemberMessage.FromString(data)
            alone = not told.message and (told.fleet or told.failover)
            message = None if alone else self.codec.decode(told.message)
            if message is not None:
                loopback(message.sender.address)
        except (DecodeError, MessageError, ValueError) as problem:
            return call.finish(Status.INVALID_ARGUMENT, self._refuse(call, problem))
        try:
            if told.fleet:
                self.on_note(told.fleet)
            if told.failover:
                self.on_plan(told.failover)
        except ValueError as problem:
            why = self._refuse(call, problem)
            if message is None:
                return call.finish(Status.INVALID_ARGUMENT, why)
        call.send(platform.MemberHeard().SerializeToString())
        call.finish(Status.OK)
        if self.group is not None and message is not None:
            self._do(self.group.receive(self.now(), message))

    def _refuse(self, call: ServerCall, problem: Exception) -> str:
        why = str(problem)[:200]
        # Texts come with figures of what was sent: a flood of different ones fills neither memory nor log.
        known = why if why in self.refused or len(self.refused) < 64 else "others"
        count = self.refused[known] = self.refused.get(known, 0) + 1
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
        book = group.table
        members = [self._line(group.me, 0.0)] + [
            self._line(one.row, now - one.last_known_at) for one in book.present.values()
        ]
        gone = [self._line(one.row, now - one.state_since) for one in book.gone.values()]
        tally = group.tally
        members.sort(key=lambda line: (line.name, line.address))
        return View(
            self.told.name,
            group.me.name,
            group.me.start,
            f"{group.digest:016x}",
            book.epoch,
            group.isolated,
            len(group.live()),
            group.share(),
            list(self.figures),
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
                "refused": {**tally.refused, **self.refused},
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
            STATES[row.state],
            row.incarnation,
            round(max(0.0, age), 1),
            list(row.accusers) if row.state is State.SUSPECT else [],
            list(row.figures),
            about.build,
        )

    # Telling

    def tell_about(self, **over: Any) -> None:
        if self.group is not None:
            self._do(self.group.update_about(self.now(), replace(self.group.about, **over)))

    def draining(self) -> None:
        """No new calls are taken; those begun go on."""
        self.tell_about(phase=Phase.DRAINING)

    async def leave(self) -> None:
        """When nothing more will be sent to any invoker: lend the part, say the last words."""
        if self.group is None:
            return
        self.tell_about(phase=Phase.LEAVING)
        end = self.loop.time() + LONGEST_LEAVE
        while not self.group.share_is_lent and self.loop.time() < end:
            await asyncio.sleep(LEAVE_LOOK)
        self._do(self.group.leave(self.now()))
        await asyncio.sleep(LAST_WORDS)

    def stop(self) -> None:
        self.stopped = True
        if self.timer is not None:
            self.timer.cancel()
        for pool in self.pools.values():
            pool.close()
