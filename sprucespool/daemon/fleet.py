"""The fleet's view in common on sockets: what the group's messages carry of it, and what the module is told by it."""

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
LOUD = {"distrusted", "behind", "back", "contradiction", "panic", "unreachable"}
# Of beliefs asked for to show the view; those of pages are numbered from 1.
SHOWING = -1


class Said(msgspec.Struct):
    """Who says what of a process. `says`: draining, gone, in service, not listed, or an opinion."""

    by: str
    says: str
    source: str = ""
    version: int = 0
    zone: str = ""
    age_ms: float = -1.0


class Shown(msgspec.Struct):
    """One process of an invoker as a controller sees it. `copies` believed to stand there by its module."""

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
    """`digest` is equal where two controllers hold the same of the same processes."""

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
    """One controller's view, wired: roster and eyes in, the module's rosters and doubts out."""

    def __init__(
        self,
        plan: ControllerPlan,
        told: FleetView,
        group_plan: GroupPlan,
        group: GroupCarrier,
        tell: Callable[[ms.Input], None],
        log: Any,
        kind: type[Fleet] = Fleet,
        wall: Callable[[], float] | None = None,
    ):
        self.plan, self.told, self.group, self.tell, self.log, self.kind, self.wall = (
            plan,
            told,
            group,
            tell,
            log,
            kind,
            wall or AnchoredClock().unix,
        )
        self.loop = asyncio.get_running_loop()
        self.codec = Codec(group_plan.name, group_plan.mark)
        self.name = group_plan.name
        self.fleet: Fleet | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.stopped = False
        # What came before the group began: the roster's first list may.
        self.early: list[tuple[ms.Roster, str]] = []
        self.asking: list[ServerCall] = []
        self.file = SnapshotFile(told.snapshot, log, MAX_SNAPSHOT_BYTES) if told.snapshot else None
        self.written = self.loop.time()
        # Asks an invoker whether it is ready; `probed` hears of it.
        self.probe: Callable[[str], None] = lambda where: None
        group.ride, group.on_note = self._ride, self._heard
        group.on_event.append(self._member)

    def now(self) -> float:
        return self.loop.time() * 1000.0

    def start(self) -> None:
        """When the group has begun."""
        member = self.group.group
        assert member is not None
        limits = FleetLimits(
            OpinionLimits(self.told.observers, self.told.most_out, self.told.opinions_lapse), self.told.silent_after
        )
        self.fleet = self.kind(
            (member.me.name, member.me.start),
            member.me.address,
            self.plan.controller.zone,
            self.plan.seed * 23 + self.plan.controller.number,
            limits,
        )
        self._peers()
        if self.file is not None:
            self._restore(self.fleet)
        early, self.early = self.early, []
        for given, source in early:
            self.roster(given, source)
        self._tick()

    def _restore(self, fleet: Fleet):
        assert self.file is not None
        data = self.file.read()
        if data is None:
            return
        try:
            records, age = self.codec.restored(self.now(), self.wall() * 1000.0, data)
        except FleetMessageError as problem:
            return self.file.refuse(str(problem))
        self.log.info("fleet snapshot read", invokers=len(records), age_ms=round(age))
        fleet.restore(self.now(), records)

    # Time

    def _tick(self):
        assert self.fleet is not None
        self._do(self.fleet.tick(self.now()))
        if self.file is not None and self.loop.time() - self.written > self.told.snapshot_every / 1000.0:
            self.write_snapshot()

    def write_snapshot(self) -> None:
        if self.file is not None and self.fleet is not None:
            self.written = self.loop.time()
            self.file.write(self.codec.snapshot(self.now(), self.wall() * 1000.0, self.fleet.dump()))

    def _do(self, sends: Iterable[Send]):
        """After each step of the view: send, tell the module, come back when something is due."""
        fleet = self.fleet
        assert fleet is not None
        if self.stopped:
            return  # forwards that end as the door closes
        for send in sends:
            self.group.send_note(send.to, self.codec.encode(self.now(), send.message))
        for where in fleet.take_probes():
            self.probe(where)
        places, doubts, events = fleet.take()
        for given in gateway_inputs(places, doubts, fleet.version, self.now()):
            self.tell(given)
        for event in events:
            self._event(event)
        if self.timer is not None:
            self.timer.cancel()
        self.timer = self.loop.call_at(max(fleet.due(), self.now()) / 1000.0, self._tick)

    def _event(self, event: FleetEvent):
        told = {} if event.process is None else {"invoker": event.process[0], "boot": event.process[1]}
        log = self.log.warning if event.kind in LOUD else self.log.info
        log(
            "fleet",
            kind=event.kind,
            **told,
            **({"by": event.by} if event.by else {}),
            **({"why": event.why} if event.why else {}),
        )

    # The group

    def _member(self, event: Event):
        if event.kind in PRESENCE_KINDS:
            self._peers()

    def _peers(self):
        member = self.group.group
        if self.fleet is not None and member is not None:
            self.fleet.set_peers([Peer(row.name, row.address) for row in member.live() if row.seat != member.me.seat])

    def _ride(self) -> bytes:
        if self.fleet is None:
            return b""
        now = self.now()
        return self.codec.encode(now, self.fleet.piggyback_message(now))

    def _heard(self, data: bytes):
        """Raises ValueError with what was expected."""
        now = self.now()
        note = self.codec.decode(now, data)
        if self.fleet is not None:
            address(note.address)
            self._do(self.fleet.receive(now, note))

    # The roster

    def roster(self, given: ms.Roster, source: str) -> None:
        fleet = self.fleet
        if fleet is None:
            self.early.append((given, source))
            return
        if given.kind == it.News.UNAVAILABLE.value:
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
            for row in given.rows
        ]
        fleet.roster(self.now(), given.kind != it.News.UPDATE.value, source, given.version, rows)
        self._do([])

    def roster_lost(self) -> None:
        if self.fleet is not None:
            self.fleet.roster_lost(self.now())
            self._do([])

    # Own eyes

    def sent(self, number: int, invoker: str) -> None:
        if self.fleet is not None:
            self.fleet.sent(self.now(), number, invoker)

    def ended(self, number: int, outcome: it.Outcome, trailers: Metadata) -> None:
        if self.fleet is None:
            return
        self.fleet.ended(self.now(), number, outcome.value, *_process(trailers))
        self._do([])

    def probed(self, invoker: str, trailers: Metadata) -> None:
        if self.fleet is not None:
            self.fleet.probed(self.now(), invoker, *_process(trailers))
            self._do([])

    # Showing

    def methods(self) -> dict[str, Method]:
        return {names.MEMBERSHIP_FLEET: unary(self._view)}

    def _view(self, call: ServerCall, data: bytes):
        if self.fleet is None:
            return call.finish(Status.UNAVAILABLE, "not yet in the group")
        self.asking.append(call)
        if len(self.asking) == 1:
            self.tell(ms.BeliefsAsked(SHOWING))

    def given(self, effect: ms.BeliefsGiven) -> None:
        copies: dict[tuple[str, str], int] = {}
        for one in effect.known:
            copies[one.invoker, one.boot] = copies.get((one.invoker, one.boot), 0) + one.copies
        asking, self.asking = self.asking, []
        shown = msgspec.json.encode(self.shown(copies))
        for call in asking:
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
        where, boot = record.process
        place, listing = fleet.reported.get(where), record.listing(fleet.trust.believed)
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
        running = math.nan if record.born is None else now - record.born
        return Shown(
            where,
            boot,
            listing.zone if listing else "",
            listing.kind if listing else "",
            status,
            current,
            -1.0 if math.isnan(running) else round(running, 1),
            fleet.suspected.get(where, "") if current else "",
            copies,
            said,
        )

    def stop(self) -> None:
        self.stopped = True
        self.write_snapshot()
        if self.timer is not None:
            self.timer.cancel()


def _process(trailers: Metadata) -> tuple[str, bool, float | None]:
    """What an invoker tells of its process: name, whether it drains, how long it runs."""
    return (
        trailers.get(names.BOOT, ""),
        trailers.get(names.DRAINING, "") == "1",
        outcomes.read_float(trailers, names.AGE),
    )
