"""Connects the shared view of the fleet to sockets: the group's messages carry it, and the module gets rosters and
suspicions from it."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable, Iterable
from typing import Any

import msgspec

from sprucespool import interface as it
from sprucespool.daemon.group import GroupCarrier
from sprucespool.daemon.snapshots import SnapshotFile
from sprucespool.fleet import (
    Codec,
    Fleet,
    FleetEvent,
    FleetLimits,
    FleetMessageError,
    Listed,
    OpinionLimits,
    Peer,
    RosterRow,
    Send,
)
from sprucespool.fleet.codec import MAX_SNAPSHOT_BYTES
from sprucespool.fleet.gateway_inputs import gateway_inputs
from sprucespool.fleet.records import Record
from sprucespool.gateway import messages as ms
from sprucespool.grpc.status import Metadata, Status
from sprucespool.membership import Event
from sprucespool.membership.messages import PRESENCE_KINDS
from sprucespool.settings.controller import ControllerPlan, FleetView, GroupPlan, address
from sprucespool.transport.clock import AnchoredClock
from sprucespool.transport.listener import Method, ServerCall, unary
from sprucespool.wire import names, outcomes
from sprucespool.wire import platform_pb2 as platform

LISTED = {it.Status.IN_SERVICE.value: Listed.IN_SERVICE, it.Status.DRAINING.value: Listed.DRAINING}
GONE = it.Status.GONE.value
WARNING_KINDS = {"distrusted", "behind", "back", "contradiction", "panic", "unreachable"}
# Token of requests for beliefs to serve the view; the tokens of requests for pages count from 1.
VIEW_TOKEN = -1


class Said(msgspec.Struct):
    """What one controller reports of a process. `says`: draining, gone, in service, not listed, or an opinion."""

    by: str
    says: str
    source: str = ""
    version: int = 0
    zone: str = ""
    age_ms: float = -1.0


class Shown(msgspec.Struct):
    """One process of an invoker as a controller sees it. `copies`: loaded copies there, as its module believes."""

    address: str
    boot: str
    zone: str
    kind: str
    status: str
    current: bool
    running_ms: float
    doubted: str
    copies: int
    said: list[Said]


class FleetShown(msgspec.Struct):
    """A controller's view of the fleet. `digest` is equal for two controllers with the same information about the same
    processes."""

    group: str
    me: str
    digest: str
    source: str
    version: int
    live: bool
    panic: list[str]
    distrusted: list[str]
    invokers: list[Shown]


class FleetCarrier:
    """Runs one controller's view: takes in the roster and own observations, gives the module rosters and suspicions."""

    def __init__(
        self,
        plan: ControllerPlan,
        settings: FleetView,
        group_plan: GroupPlan,
        group: GroupCarrier,
        add_input: Callable[[ms.Input], None],
        log: Any,
        fleet_class: type[Fleet] = Fleet,
        wall_clock: Callable[[], float] | None = None,
    ):
        self.plan, self.settings, self.group, self.add_input, self.log, self.fleet_class, self.wall_clock = (
            plan,
            settings,
            group,
            add_input,
            log,
            fleet_class,
            wall_clock or AnchoredClock().unix,
        )
        self.loop = asyncio.get_running_loop()
        self.codec = Codec(group_plan.name, group_plan.mark)
        self.name = group_plan.name
        self.fleet: Fleet | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.stopped = False
        # Rosters that arrived before the group started, with their source; the first one may.
        self.early_rosters: list[tuple[ms.Roster, str]] = []
        self.waiting_calls: list[ServerCall] = []
        self.file = SnapshotFile(settings.snapshot, log, MAX_SNAPSHOT_BYTES) if settings.snapshot else None
        self.last_snapshot_at = self.loop.time()
        # Requests the readiness of an invoker; its response goes to `probed`.
        self.probe: Callable[[str], None] = lambda invoker: None
        group.fleet_payload, group.on_note = self._payload, self._receive
        group.on_event.append(self._member_event)

    def now(self) -> float:
        return self.loop.time() * 1000.0

    def start(self) -> None:
        """Start the view. Called after the start of the group."""
        member = self.group.group
        assert member is not None
        limits = FleetLimits(
            OpinionLimits(self.settings.observers, self.settings.most_out, self.settings.opinions_lapse),
            self.settings.silent_after,
        )
        self.fleet = self.fleet_class(
            (member.me.name, member.me.start),
            member.me.address,
            self.plan.controller.zone,
            self.plan.seed * 23 + self.plan.controller.number,
            limits,
        )
        self._update_peers()
        if self.file is not None:
            self._restore(self.fleet)
        early, self.early_rosters = self.early_rosters, []
        for change, source in early:
            self.roster(change, source)
        self._tick()

    def _restore(self, fleet: Fleet):
        assert self.file is not None
        data = self.file.read()
        if data is None:
            return
        try:
            records, age = self.codec.restored(self.now(), self.wall_clock() * 1000.0, data)
        except FleetMessageError as error:
            return self.file.refuse(str(error))
        self.log.info("fleet snapshot read", invokers=len(records), age_ms=round(age))
        fleet.restore(self.now(), records)

    # Time

    def _tick(self):
        assert self.fleet is not None
        self._carry_out(self.fleet.tick(self.now()))
        if self.file is not None and self.loop.time() - self.last_snapshot_at > self.settings.snapshot_every / 1000.0:
            self.write_snapshot()

    def write_snapshot(self) -> None:
        if self.file is not None and self.fleet is not None:
            self.last_snapshot_at = self.loop.time()
            self.file.write(self.codec.snapshot(self.now(), self.wall_clock() * 1000.0, self.fleet.dump()))

    def _carry_out(self, sends: Iterable[Send]):
        """After each step of the view: send messages, add inputs for the module, set the timer for the next step."""
        fleet = self.fleet
        assert fleet is not None
        if self.stopped:
            return  # forwards that end while the server closes
        for send in sends:
            self.group.send_note(send.to, self.codec.encode(self.now(), send.message))
        for invoker in fleet.take_probes():
            self.probe(invoker)
        places, doubts, events = fleet.take()
        for item in gateway_inputs(places, doubts, fleet.version, self.now()):
            self.add_input(item)
        for event in events:
            self._event(event)
        if self.timer is not None:
            self.timer.cancel()
        self.timer = self.loop.call_at(max(fleet.due(), self.now()) / 1000.0, self._tick)

    def _event(self, event: FleetEvent):
        details = {} if event.process is None else {"invoker": event.process[0], "boot": event.process[1]}
        log = self.log.warning if event.kind in WARNING_KINDS else self.log.info
        log(
            "fleet",
            kind=event.kind,
            **details,
            **({"by": event.by} if event.by else {}),
            **({"why": event.why} if event.why else {}),
        )

    # The group

    def _member_event(self, event: Event):
        if event.kind in PRESENCE_KINDS:
            self._update_peers()

    def _update_peers(self):
        member = self.group.group
        if self.fleet is not None and member is not None:
            self.fleet.set_peers([Peer(row.name, row.address) for row in member.live() if row.seat != member.me.seat])

    def _payload(self) -> bytes:
        if self.fleet is None:
            return b""
        now = self.now()
        return self.codec.encode(now, self.fleet.piggyback_message(now))

    def _receive(self, data: bytes):
        """Raises ValueError; its text says what was expected."""
        now = self.now()
        message = self.codec.decode(now, data)
        if self.fleet is not None:
            address(message.address)
            self._carry_out(self.fleet.receive(now, message))

    # The roster

    def roster(self, change: ms.Roster, source: str) -> None:
        fleet = self.fleet
        if fleet is None:
            self.early_rosters.append((change, source))
            return
        if change.kind == it.News.UNAVAILABLE.value:
            return self.roster_lost()
        rows = [
            RosterRow(
                (row.invoker, row.boot),
                LISTED.get(row.status, Listed.NOT),
                row.status == GONE,
                row.zone,
                row.kind,
                row.cell,
                row.size,
                row.age,
            )
            for row in change.rows
        ]
        fleet.roster(self.now(), change.kind != it.News.UPDATE.value, source, change.version, rows)
        self._carry_out([])

    def roster_lost(self) -> None:
        if self.fleet is not None:
            self.fleet.roster_lost(self.now())
            self._carry_out([])

    # This controller's own observations

    def forward_sent(self, number: int, invoker: str) -> None:
        if self.fleet is not None:
            self.fleet.sent(self.now(), number, invoker)

    def forward_ended(self, number: int, outcome: it.Outcome, trailers: Metadata) -> None:
        if self.fleet is None:
            return
        self.fleet.ended(self.now(), number, outcome.value, *_process(trailers))
        self._carry_out([])

    def probed(self, invoker: str, trailers: Metadata) -> None:
        if self.fleet is not None:
            self.fleet.probed(self.now(), invoker, *_process(trailers))
            self._carry_out([])

    # Serving the view

    def methods(self) -> dict[str, Method]:
        return {names.MEMBERSHIP_FLEET: unary(self._view)}

    def _view(self, call: ServerCall, data: bytes):
        if self.fleet is None:
            return call.finish(Status.UNAVAILABLE, "not yet in the group")
        self.waiting_calls.append(call)
        if len(self.waiting_calls) == 1:
            self.add_input(ms.BeliefsAsked(VIEW_TOKEN))

    def beliefs_received(self, effect: ms.BeliefsGiven) -> None:
        copies: dict[tuple[str, str], int] = {}
        for known in effect.known:
            copies[known.invoker, known.boot] = copies.get((known.invoker, known.boot), 0) + known.copies
        calls, self.waiting_calls = self.waiting_calls, []
        shown = msgspec.json.encode(self.shown(copies))
        for call in calls:
            call.send(platform.ViewReply(view=shown).SerializeToString())
            call.finish(Status.OK)

    def shown(self, copies: dict[tuple[str, str], int]) -> FleetShown:
        fleet, now = self.fleet, self.now()
        assert fleet is not None
        lines = [
            self._line(fleet, now, record, copies.get(process, 0)) for process, record in fleet.view.records.items()
        ]
        lines.sort(key=lambda line: (line.zone, line.address, line.boot))
        return FleetShown(
            self.name,
            fleet.me[0],
            f"{fleet.digest:016x}",
            fleet.source,
            fleet.version,
            fleet.live,
            list(fleet.panic),
            sorted({name for name, _ in fleet.trust.distrusted}),
            lines,
        )

    def _line(self, fleet: Fleet, now: float, record: Record, copies: int) -> Shown:
        invoker, boot = record.process
        place, listing = fleet.reported.get(invoker), record.listing(fleet.trust.believed)
        current = place is not None and place.boot == boot
        said = [
            Said(who[0], word.course.name.lower(), word.source, word.version) for who, word in record.claims.items()
        ]
        said += [
            Said(who[0], one.listed.name.lower().replace("_", " "), one.source, one.version)
            for who, one in record.listings.items()
        ]
        said += [
            Said(who[0], one.kind, "", 0, one.zone, round(now - one.at, 1)) for who, one in record.opinions.items()
        ]
        status = place.status if current and place is not None else "gone"
        running_ms = math.nan if record.born is None else now - record.born
        return Shown(
            invoker,
            boot,
            listing.zone if listing else "",
            listing.kind if listing else "",
            status,
            current,
            -1.0 if math.isnan(running_ms) else round(running_ms, 1),
            fleet.suspected.get(invoker, "") if current else "",
            copies,
            said,
        )

    def stop(self) -> None:
        self.stopped = True
        self.write_snapshot()
        if self.timer is not None:
            self.timer.cancel()


def _process(trailers: Metadata) -> tuple[str, bool, float | None]:
    """What an invoker reports of its process: identity, whether it is draining, how long it has been running (ms)."""
    return (
        trailers.get(names.BOOT, ""),
        trailers.get(names.DRAINING, "") == "1",
        outcomes.read_float(trailers, names.AGE),
    )
