"""Controllers with their view of the fleet in virtual time: a roster, invokers, forwards, faults; one seed, one course.

The objects that run in the daemon (`Group`, `Fleet`) over links that fail. Which invoker a forward goes to is chosen
plainly (by chance among those in service that are not doubted): what is compared is what controllers know.
"""

from __future__ import annotations

import itertools
import math
from collections.abc import Iterable
from dataclasses import dataclass, field
from functools import partial
from typing import Any

from sprucespool.emulator.group import VirtualGroup
from sprucespool.fleet import Codec, Doubt, Fleet, FleetLimits, Listed, Note, Peer, Place, Send, Told
from sprucespool.fleet.fleet import STATUS
from sprucespool.judge import fleet as seen
from sprucespool.judge import group as group_seen
from sprucespool.judge.group import Began, Ended, Faulted
from sprucespool.membership import Group, GroupLimits, Message, Row, State
from sprucespool.membership.messages import PRESENCE_KINDS

# A roster connection that was cut is known to be by then; one that broke at once. Both are tried again.
CUT_KNOWN, AGAIN = 4_000.0, 400.0


@dataclass(slots=True, eq=False)
class VirtualInvoker:
    """An invoker. `down_for` nobody: refuses connections. `hung`: takes forwards and answers none."""

    name: str
    address: str
    zone: str
    boot: str
    born: float
    up: bool = True
    hung: bool = False
    draining: bool = False
    tells: bool = True


def status_of(row: Told) -> str:
    """As a roster tells it."""
    return "gone" if row.gone else STATUS[row.listed]


@dataclass(slots=True)
class Figures:
    """What forwards met, by what the invoker was at the time."""

    forwards: int = 0
    returned: int = 0
    refused: int = 0
    timed_out: int = 0
    # To a process of which some controller in the group had been told, for longer than the grace, that it was over.
    to_ended: int = 0
    none_left: int = 0
    notes: int = 0
    note_bytes: int = 0

    def as_dict(self) -> dict[str, Any]:
        return {name: getattr(self, name) for name in self.__slots__}


@dataclass(slots=True, eq=False)
class _Routing:
    """What a controller goes by: places told, doubts told, and whom it set aside itself until when."""

    places: dict[str, Place] = field(default_factory=dict)
    doubted: set[str] = field(default_factory=set)
    aside: dict[str, float] = field(default_factory=dict)
    gap: dict[str, float] = field(default_factory=dict)
    connected: bool = False
    # Those in service and not doubted; None when that changed.
    well: list[Place] | None = None


class FleetWorld(VirtualGroup):
    """`share`: whether the fleets' notes are carried; without, each is alone with its roster and its own eyes."""

    def __init__(
        self,
        size: int,
        invokers: int,
        seed: int = 1,
        share: bool = True,
        rate: float = 2.0,
        lag: float = 800.0,
        grace: float = 2_000.0,
        kind: type[Fleet] = Fleet,
        limits: GroupLimits | None = None,
        fleet_limits: FleetLimits | None = None,
        zones: int = 3,
        liars: int = 0,
        liar: type[Fleet] = Fleet,
        settled: bool = True,
        member: type[Group] = Group,
        loss: float = 0.0,
    ):
        self.kind, self.fleet_limits, self.share, self.rate = kind, fleet_limits or FleetLimits(), share, rate
        self.liars, self.liar, self.lag, self.extra, self.grace = liars, liar, lag, 0.0, grace
        self.fleets: dict[Group, Fleet] = {}
        self.routings: dict[Group, _Routing] = {}
        self.fleet_due: dict[Group, float] = {}
        self.numbers, self.boots = itertools.count(1), itertools.count(1)
        self.out: dict[int, tuple[Group, VirtualInvoker, str]] = {}
        self.figures = Figures()
        self.noted: list[seen.Happened] = []
        self.group_noted: list[group_seen.Happened] = []
        self.told: dict[tuple[str, str], float] = {}
        self.version, self.roster_up = 0, True
        self.rows: dict[str, Told] = {}
        # Names that the roster pushes to; None stands for all.
        self.only: set[str] | None = None
        self.invokers: dict[str, VirtualInvoker] = {}
        self.fleet_codec = Codec("virtual", "mark")
        self.encoded: tuple[Note | None, float, bytes] = (None, 0.0, b"")
        self.seen_rows: dict[tuple[str, int, State, int, int], group_seen.SeenRow] = {}
        self.events_by_controller: list[Any] = []
        self.usable: list[float] = []
        self.streams: dict[Group, float] = {}
        super().__init__(size, seed, zones, loss, limits, 3, member, settled)
        for n in range(invokers):
            invoker = VirtualInvoker(f"i{n}", f"w{n}", self.zone_of(n), f"b{next(self.boots)}", -1e6)
            self.invokers[invoker.address] = invoker
            self.rows[invoker.address] = self._row(invoker)
            self.noted.append(seen.Born(0.0, invoker.address, invoker.boot))
        self.version = invokers
        for one in list(self.members.values()):
            self._connect(one)

    # Controllers

    def join(
        self,
        name: str,
        address: str,
        zone: str | None = None,
        seeds: list[str] | None = None,
        number: int = 0,
        of: int = 1,
    ) -> Group:
        one = super().join(name, address, zone, seeds, number, of)
        kind = self.liar if number < self.liars else self.kind
        fleet = kind((name, one.start), address, one.about.zone, self.seed * 7 + number, self.fleet_limits)
        self.fleets[one], self.routings[one] = fleet, _Routing()
        self.noted.append(Began(self.now, name))
        self._later(self.chance.uniform(0, 100), lambda: self._fleet_tick(one))
        self._later(self.chance.expovariate(self.rate) * 1000, lambda: self._forward(one))
        if self.invokers:
            self._connect(one)
        return one

    def settle(self) -> None:
        super().settle()
        for one in self.members.values():
            self._peers(one)

    def kill(self, name: str) -> Group:
        one = super().kill(name)
        self.noted.append(Ended(self.now, name, "killed"))
        self.fleets.pop(one), self.routings.pop(one)
        self.fleet_due.pop(one, None)
        return one

    def _drain(self, one: Group):
        changed = False
        for event in one.take_events():
            self.watch(one, event)
            changed = changed or event.kind in PRESENCE_KINDS
        if changed:
            self._peers(one)

    def _peers(self, one: Group):
        if one in self.fleets:
            self.fleets[one].set_peers([Peer(row.name, row.address) for row in one.live() if row.seat != one.me.seat])

    # Notes

    def _wrapped(self, one: Group, message: Message) -> Any:
        if not self.share or one not in self.fleets:
            return message
        return message, self._weighed(one, self.fleets[one].cargo(self._time(one)))

    def _weighed(self, one: Group, note: Note) -> bytes:
        """As bytes, so that events_by_controller travel as ages here too."""
        now = self._time(one)
        if self.encoded[0] is not note or self.encoded[1] != now:
            # To several at once: the same bytes.
            self.encoded = note, now, self.fleet_codec.encode(now, note)
        data = self.encoded[2]
        self.figures.notes += 1
        self.figures.note_bytes += len(data)
        return data

    def _delivered(self, one: Group, message: Any):
        if not isinstance(message, tuple):
            return super()._delivered(one, message)
        said, data = message
        if said is not None:
            super()._delivered(one, said)
        fleet = self.fleets.get(one)
        if fleet is not None and self.share:
            now = self._time(one)
            self._fleet_do(one, fleet.heard(now, self.fleet_codec.decode(now, data)))

    def _fleet_do(self, one: Group, sends: Iterable[Send]):
        fleet, routing = self.fleets[one], self.routings[one]
        if self.share:
            for send in sends:
                self.post(one.name, send.to, (None, self._weighed(one, send.note)))
        for address in fleet.take_probes():
            self._later(self.chance.uniform(2, 24), partial(self._probed, one, address))
        places, doubts, events = fleet.take()
        for place in places:
            routing.places[place.address] = place
        if places or doubts:
            routing.well = None
        for doubt in doubts:
            (routing.doubted.add if doubt.ill else routing.doubted.discard)(doubt.address)
        self.events_by_controller += [(one.name, event) for event in events]
        self._learned(one, places, doubts)
        due = max(self.now + 1.0, fleet.due() - self.clock.get(one.name, 0.0))
        if due < self.fleet_due.get(one, math.inf) or self.fleet_due.get(one, math.inf) <= self.now:
            self.fleet_due[one] = due

            def act():
                if self.fleet_due.get(one) == due:
                    self._fleet_tick(one)

            self._later(due - self.now, act)

    def _learned(self, one: Group, places: list[Place], doubts: list[Doubt]):
        """What the view told a controller's user just now."""

    def _fleet_tick(self, one: Group):
        if one not in self.fleets:
            return
        if one.name in self.paused:
            return self._later(50.0, lambda: self._fleet_tick(one))
        self.fleet_due.pop(one, None)
        self._fleet_do(one, self.fleets[one].tick(self._time(one)))

    # The roster

    def _row(self, invoker: VirtualInvoker, gone: bool = False) -> Told:
        listed = Listed.DRAINING if invoker.draining else Listed.IN_SERVICE
        return Told((invoker.address, invoker.boot), listed, gone, invoker.zone, age=max(0.0, self.now - invoker.born))

    def _reaches(self, one: Group) -> bool:
        return (
            self.roster_up
            and (self.only is None or one.name in self.only)
            and not self.links.between("roster", one.name).cut
            and not self.links.between(one.name, "roster").cut
        )

    def publish(self, invoker: VirtualInvoker, gone: bool = False) -> None:
        """The roster hears of it at once; controllers later, by the lag."""
        row = self._row(invoker, gone)
        after = self.lag * self.chance.uniform(0.7, 1.3) + self.extra
        self._later(after, lambda: self._published(invoker, row))

    def _published(self, invoker: VirtualInvoker, row: Told):
        self.version += 1
        known = self.rows.get(invoker.address)
        if row.gone and known is not None and known.process == row.process:
            del self.rows[invoker.address]
        elif not row.gone:
            self.rows[invoker.address] = row
        for one in list(self.members.values()):
            if self.routings[one].connected and self._reaches(one):
                version = self.version
                # A stream keeps its order.
                due = max(self.now + self.chance.uniform(1, 25), self.streams.get(one, 0.0) + 0.01)
                self.streams[one] = due
                self._later(due - self.now, partial(self._tell, one, False, version, [row]))

    def _tell(self, one: Group, whole: bool, version: int, rows: list[Told], source: str = "roster"):
        fleet = self.fleets.get(one)
        if fleet is None:
            return
        if one.name in self.paused:
            return self._later(50.0, lambda: self._tell(one, whole, version, rows, source))
        for row in rows:
            status = status_of(row)
            self.noted.append(seen.WasTold(self.now, one.name, *row.process, status))
            if status != "in service":
                self.told.setdefault(row.process, self.now)
        fleet.roster(self._time(one), whole, source, version, rows)
        self._fleet_do(one, [])

    def old_copy(self, names: Iterable[str], version: int, rows: list[Told]) -> None:
        """A roster restored from an old copy tells these its whole list."""
        for name in names:
            self._tell(self.members[name], True, version, rows)

    def _connect(self, one: Group):
        if one not in self.routings or self.routings[one].connected:
            return
        if self._reaches(one):
            self.routings[one].connected = True
            self._tell(one, True, self.version, list(self.rows.values()))
        else:
            self._later(self.chance.uniform(0.5, 1.5) * AGAIN, lambda: self._connect(one))

    def _break(self, one: Group):
        if one in self.routings and self.routings[one].connected and not self._reaches(one):
            self.routings[one].connected = False
            self.fleets[one].roster_lost(self._time(one))
            self._fleet_do(one, [])
            self._connect(one)

    def roster_down(self, down: bool = True) -> None:
        self.roster_up = not down
        for one in list(self.members.values()) if down else ():
            self._later(self.chance.uniform(1, 50), partial(self._break, one))

    def faulted(self, sides: list[list[str]] | None = None, uneven: bool = False) -> None:
        """Links changed: the judge hears of it, broken roster connections are found out."""
        self.noted.append(Faulted(self.now, sides or [], [], uneven))
        self.links_changed()

    def links_changed(self) -> None:
        """Broken roster connections are found out after a while."""
        for one in list(self.members.values()):
            self._later(CUT_KNOWN * self.chance.uniform(0.5, 1.0), partial(self._break, one))

    def partition(self, sides: list[set[str]]) -> None:
        """Controllers and the roster in parts that do not reach each other; invokers are reached by all."""
        self.links.partition("partition", sides)
        names = set(self.members)
        self.faulted([sorted(side & names) for side in sides if side & names])

    def heal(self, name: str = "partition") -> None:
        self.links.heal(name)
        self.faulted()

    # Invokers

    def drain(self, invoker: VirtualInvoker, listed: bool = True) -> None:
        invoker.draining = True
        if listed:
            self.publish(invoker)

    def down(self, invoker: VirtualInvoker) -> None:
        invoker.up = False
        for number, (one, other, _) in list(self.out.items()):
            if other is invoker:
                del self.out[number]
                self._later(
                    self.chance.uniform(1, 25),
                    partial(self._back, one, number, "reset", invoker.address, "", False, None),
                )

    def start(self, invoker: VirtualInvoker) -> None:
        """Another process in its place."""
        invoker.boot, invoker.born, invoker.up, invoker.draining, invoker.hung = (
            f"b{next(self.boots)}",
            self.now,
            True,
            False,
            False,
        )
        self.noted.append(seen.Born(self.now, invoker.address, invoker.boot))
        self.publish(invoker)

    def replace(self, invoker: VirtualInvoker, drain: float = 1_500.0, empty: float = 300.0) -> None:
        """Told to drain, ends after `drain`, another stands there `empty` later."""
        self.drain(invoker)

        def ends():
            self.down(invoker)
            self._later(empty, lambda: self.start(invoker))

        self._later(drain, ends)

    # Forwards

    def _usable(self, one: Group) -> list[Place]:
        routing = self.routings[one]
        if routing.well is None:
            places = [place for place in routing.places.values() if place.status == "in service"]
            well = [place for place in places if place.address not in routing.doubted]
            routing.well = well if len(well) * 2 >= len(places) else places
        if not routing.aside:
            return routing.well
        return [place for place in routing.well if routing.aside.get(place.address, -1.0) <= self.now] or routing.well

    def _forward(self, one: Group):
        if one not in self.routings:
            return
        self._later(self.chance.expovariate(self.rate) * 1000, lambda: self._forward(one))
        if one.name in self.paused or not self.routings[one].places:
            return
        usable = self._usable(one)
        if not usable:
            self.figures.none_left += 1
            return
        place = usable[self.chance.randrange(len(usable))]
        invoker = self.invokers.get(place.address)
        number, figures = next(self.numbers), self.figures
        figures.forwards += 1
        self.fleets[one].sent(self._time(one), number, place.address)
        delay = self.chance.uniform(1, 12)
        if invoker is None:
            return self._later(delay, lambda: self._back(one, number, "unconnected", place.address, "", False, None))
        self.out[number] = one, invoker, invoker.boot
        self._later(delay, lambda: self._arrive(one, number, invoker, place))

    def _arrive(self, one: Group, number: int, invoker: VirtualInvoker, place: Place):
        if number not in self.out:
            return
        cut = self.links.between(one.name, invoker.name).cut or self.links.between(invoker.name, one.name).cut
        if not cut:
            self.noted.append(
                seen.Reached(self.now, one.name, invoker.address, invoker.boot if invoker.up else place.boot)
            )
        told = self.told.get((invoker.address, invoker.boot if invoker.up else place.boot))
        self.figures.to_ended += told is not None and self.now > told + self.grace
        if cut or invoker.hung and invoker.up:
            self._later(2_500.0, lambda: self._back(one, number, "timed out", invoker.address, "", False, None))
        elif not invoker.up:
            self._later(5.0, lambda: self._back(one, number, "unconnected", invoker.address, "", False, None))
        else:
            boot, age = (invoker.boot, self.now - invoker.born) if invoker.tells else ("", None)
            self._later(
                self.chance.uniform(40, 160),
                lambda: self._back(
                    one, number, "returned", invoker.address, boot, invoker.tells and invoker.draining, age
                ),
            )

    def _probed(self, one: Group, address: str):
        invoker = self.invokers.get(address)
        if (
            one in self.fleets
            and invoker is not None
            and invoker.up
            and invoker.tells
            and not invoker.hung
            and not (self.links.between(one.name, invoker.name).cut)
        ):
            self.fleets[one].probed(self._time(one), address, invoker.boot, invoker.draining, self.now - invoker.born)
            self._fleet_do(one, [])

    def _back(self, one: Group, number: int, outcome: str, address: str, boot: str, draining: bool, age: float | None):
        known = self.out.pop(number, None)
        if one not in self.fleets or known is None and outcome == "returned":
            return
        figures, routing = self.figures, self.routings[one]
        figures.returned += outcome == "returned"
        figures.refused += outcome in ("unconnected", "reset")
        figures.timed_out += outcome == "timed out"
        if outcome == "returned":
            routing.aside.pop(address, None)
            routing.gap.pop(address, None)
        elif outcome in ("unconnected", "timed out"):
            gap = routing.gap[address] = min(8_000.0, 2 * routing.gap.get(address, 500.0))
            routing.aside[address] = self.now + gap
        self.fleets[one].ended(self._time(one), number, outcome, boot, draining, age)
        self._fleet_do(one, [])

    # Looking

    def fleet_alike(self, names: set[str] | None = None) -> bool:
        return (
            len({self.fleets[one].digest for name, one in self.members.items() if names is None or name in names}) == 1
        )

    def observe(self) -> None:
        """Note all views for the judge, and how much of the fleet they leave to choose from."""
        serving = {
            invoker.address
            for invoker in self.invokers.values()
            if invoker.up and not invoker.draining and not invoker.hung
        }
        open_to = [len({place.address for place in self._usable(one)} & serving) for one in self.members.values()]
        self.usable.append(sum(open_to) / max(1, len(open_to) * len(serving)))
        self.note_views()

    def note_views(self) -> None:
        for name, one in self.members.items():
            fleet = self.fleets[one]
            self.noted.append(
                seen.FleetView(
                    self.now,
                    name,
                    f"{fleet.digest:016x}",
                    [(place.address, place.boot, place.status) for place in fleet.told.values()],
                )
            )

    def note_members(self) -> None:
        """How all that run see the group, for its judge."""
        for name, one in self.members.items():
            if name in self.paused:
                continue
            rows = [self._seen_row(held.row) for held in one.table.records.values()]
            rows.append(group_seen.SeenRow(name, one.start, "alive", one.me.incarnation, one.me.version))
            self.group_noted.append(
                group_seen.SeenView(self.now, name, one.start, f"{one.digest:016x}", one.share(), rows)
            )

    def _seen_row(self, row: Row) -> group_seen.SeenRow:
        """Once for a row, which hundreds hold: 300 members that are looked at have 90,000 between them."""
        content = row.name, row.start, row.state, row.incarnation, row.version
        found = self.seen_rows.get(content)
        if found is None:
            found = self.seen_rows[content] = group_seen.SeenRow(
                row.name, row.start, row.state.name.lower(), row.incarnation, row.version
            )
        return found

    def group_verdict(self, bounds: group_seen.Bounds) -> group_seen.Verdict:
        return group_seen.check(
            [
                *self.group_noted,
                *(
                    one
                    for one in self.noted
                    if not isinstance(one, seen.FleetView | seen.WasTold | seen.Reached | seen.Born)
                ),
            ],
            bounds,
            self.now,
        )

    def observe_every(self, every: float) -> None:
        self.observe()
        self._later(every, lambda: self.observe_every(every))

    def verdict(self, bounds: seen.FleetBounds) -> seen.FleetVerdict:
        return seen.check(self.noted, bounds, self.now)
