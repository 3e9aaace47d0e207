"""Controllers with their views of the fleet in virtual time: a roster, invokers, forwards, faults.

Runs the classes of the daemon (`Group`, `Fleet`) over links that fail; deterministic from its seed. The invoker of a
forward is simply chosen at random among those in service that are not suspected, since what is compared is what the
controllers know.
"""

from __future__ import annotations

import itertools
import math
from collections.abc import Iterable
from dataclasses import dataclass, field
from functools import partial
from typing import Any

from sprucespool.emulator.group import VirtualGroup
from sprucespool.fleet import (
    Codec,
    Fleet,
    FleetLimits,
    FleetMessage,
    InvokerState,
    Listed,
    Peer,
    RosterRow,
    Send,
    Suspicion,
)
from sprucespool.fleet.fleet import STATUS
from sprucespool.judge import fleet as seen
from sprucespool.judge import group as group_seen
from sprucespool.judge.group import Began, Ended, Faulted
from sprucespool.membership import Group, GroupLimits, Message, Row, State
from sprucespool.membership.messages import PRESENCE_KINDS

# A silently cut roster connection is noticed after at most this time, a broken one at once; both are retried.
CUT_NOTICED_WITHIN_MS, RECONNECT_DELAY_MS = 4_000.0, 400.0


@dataclass(slots=True, eq=False)
class VirtualInvoker:
    """An invoker. Not `up`: refuses connections. `hung`: accepts forwards and answers none.

    `tells`: whether its answers report its boot, age and drain."""

    name: str
    address: str
    zone: str
    boot: str
    born: float
    up: bool = True
    hung: bool = False
    draining: bool = False
    tells: bool = True


def status_of(row: RosterRow) -> str:
    """Returns the status as a roster reports it."""
    return "gone" if row.gone else STATUS[row.listed]


@dataclass(slots=True)
class Figures:
    """Counts of forwards by their outcome, and of notes between controllers."""

    forwards: int = 0
    returned: int = 0
    refused: int = 0
    timed_out: int = 0
    # Forwards to a process that had been reported as draining or gone to some controller for longer than the grace.
    to_ended: int = 0
    none_left: int = 0
    notes: int = 0
    note_bytes: int = 0

    def as_dict(self) -> dict[str, Any]:
        return {name: getattr(self, name) for name in self.__slots__}


@dataclass(slots=True, eq=False)
class _Routing:
    """What a controller routes by: reported places, suspected invokers, invokers that it avoids itself until a time."""

    places: dict[str, InvokerState] = field(default_factory=dict)
    doubted: set[str] = field(default_factory=set)
    avoided_until: dict[str, float] = field(default_factory=dict)
    backoff: dict[str, float] = field(default_factory=dict)
    connected: bool = False
    # Places in service and not suspected; None once that has changed.
    healthy: list[InvokerState] | None = None


class FleetWorld(VirtualGroup):
    """`share`: whether controllers exchange notes; without, each has only its roster and its own observations."""

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
        self.in_flight: dict[int, tuple[Group, VirtualInvoker, str]] = {}
        self.figures = Figures()
        self.noted: list[seen.Happened] = []
        self.group_noted: list[group_seen.Happened] = []
        self.reported_over_at: dict[tuple[str, str], float] = {}
        self.version, self.roster_up = 0, True
        self.rows: dict[str, RosterRow] = {}
        # Names of the controllers that the roster reaches; None stands for all.
        self.only: set[str] | None = None
        self.invokers: dict[str, VirtualInvoker] = {}
        self.fleet_codec = Codec("virtual", "mark")
        self.encoded: tuple[FleetMessage | None, float, bytes] = (None, 0.0, b"")
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
        return message, self._encoded_note(one, self.fleets[one].piggyback_message(self._time(one)))

    def _encoded_note(self, one: Group, note: FleetMessage) -> bytes:
        """Encodes a note as on the wire, so that times are sent as ages here too."""
        now = self._time(one)
        if self.encoded[0] is not note or self.encoded[1] != now:
            # A note that goes to several controllers at once is encoded once.
            self.encoded = note, now, self.fleet_codec.encode(now, note)
        data = self.encoded[2]
        self.figures.notes += 1
        self.figures.note_bytes += len(data)
        return data

    def _delivered(self, one: Group, message: Any):
        if not isinstance(message, tuple):
            return super()._delivered(one, message)
        group_message, data = message
        if group_message is not None:
            super()._delivered(one, group_message)
        fleet = self.fleets.get(one)
        if fleet is not None and self.share:
            now = self._time(one)
            self._carry_out(one, fleet.receive(now, self.fleet_codec.decode(now, data)))

    def _carry_out(self, one: Group, sends: Iterable[Send]):
        fleet, routing = self.fleets[one], self.routings[one]
        if self.share:
            for send in sends:
                self.post(one.name, send.to, (None, self._encoded_note(one, send.message)))
        for address in fleet.take_probes():
            self._later(self.chance.uniform(2, 24), partial(self._probed, one, address))
        places, doubts, events = fleet.take()
        for place in places:
            routing.places[place.address] = place
        if places or doubts:
            routing.healthy = None
        for doubt in doubts:
            (routing.doubted.add if doubt.ill else routing.doubted.discard)(doubt.address)
        self.events_by_controller += [(one.name, event) for event in events]
        self._view_changed(one, places, doubts)
        due = max(self.now + 1.0, fleet.due() - self.clock.get(one.name, 0.0))
        if due < self.fleet_due.get(one, math.inf) or self.fleet_due.get(one, math.inf) <= self.now:
            self.fleet_due[one] = due

            def tick_if_due():
                if self.fleet_due.get(one) == due:
                    self._fleet_tick(one)

            self._later(due - self.now, tick_if_due)

    def _view_changed(self, one: Group, places: list[InvokerState], doubts: list[Suspicion]):
        """Called with the changes that the view has just reported; for subclasses."""

    def _fleet_tick(self, one: Group):
        if one not in self.fleets:
            return
        if one.name in self.paused:
            return self._later(50.0, lambda: self._fleet_tick(one))
        self.fleet_due.pop(one, None)
        self._carry_out(one, self.fleets[one].tick(self._time(one)))

    # The roster

    def _row(self, invoker: VirtualInvoker, gone: bool = False) -> RosterRow:
        listed = Listed.DRAINING if invoker.draining else Listed.IN_SERVICE
        return RosterRow(
            (invoker.address, invoker.boot), listed, gone, invoker.zone, age=max(0.0, self.now - invoker.born)
        )

    def _reaches(self, one: Group) -> bool:
        return (
            self.roster_up
            and (self.only is None or one.name in self.only)
            and not self.links.between("roster", one.name).cut
            and not self.links.between(one.name, "roster").cut
        )

    def publish(self, invoker: VirtualInvoker, gone: bool = False) -> None:
        """Announces the invoker's state; the roster and the controllers learn of it after the roster's lag."""
        row = self._row(invoker, gone)
        after = self.lag * self.chance.uniform(0.7, 1.3) + self.extra
        self._later(after, lambda: self._published(invoker, row))

    def _published(self, invoker: VirtualInvoker, row: RosterRow):
        self.version += 1
        known = self.rows.get(invoker.address)
        if row.gone and known is not None and known.process == row.process:
            del self.rows[invoker.address]
        elif not row.gone:
            self.rows[invoker.address] = row
        for one in list(self.members.values()):
            if self.routings[one].connected and self._reaches(one):
                version = self.version
                # A roster stream keeps its order.
                due = max(self.now + self.chance.uniform(1, 25), self.streams.get(one, 0.0) + 0.01)
                self.streams[one] = due
                self._later(due - self.now, partial(self._report_roster, one, False, version, [row]))

    def _report_roster(self, one: Group, whole: bool, version: int, rows: list[RosterRow], source: str = "roster"):
        fleet = self.fleets.get(one)
        if fleet is None:
            return
        if one.name in self.paused:
            return self._later(50.0, lambda: self._report_roster(one, whole, version, rows, source))
        for row in rows:
            status = status_of(row)
            self.noted.append(seen.WasTold(self.now, one.name, *row.process, status))
            if status != "in service":
                self.reported_over_at.setdefault(row.process, self.now)
        fleet.roster(self._time(one), whole, source, version, rows)
        self._carry_out(one, [])

    def old_copy(self, names: Iterable[str], version: int, rows: list[RosterRow]) -> None:
        """A roster restored from an old copy sends these controllers its full list."""
        for name in names:
            self._report_roster(self.members[name], True, version, rows)

    def _connect(self, one: Group):
        if one not in self.routings or self.routings[one].connected:
            return
        if self._reaches(one):
            self.routings[one].connected = True
            self._report_roster(one, True, self.version, list(self.rows.values()))
        else:
            self._later(self.chance.uniform(0.5, 1.5) * RECONNECT_DELAY_MS, lambda: self._connect(one))

    def _check_roster_link(self, one: Group):
        if one in self.routings and self.routings[one].connected and not self._reaches(one):
            self.routings[one].connected = False
            self.fleets[one].roster_lost(self._time(one))
            self._carry_out(one, [])
            self._connect(one)

    def roster_down(self, down: bool = True) -> None:
        self.roster_up = not down
        for one in list(self.members.values()) if down else ():
            self._later(self.chance.uniform(1, 50), partial(self._check_roster_link, one))

    def faulted(self, sides: list[list[str]] | None = None, uneven: bool = False) -> None:
        """Links changed: notes it for the judge; broken roster connections are noticed later."""
        self.noted.append(Faulted(self.now, sides or [], [], uneven))
        self.links_changed()

    def links_changed(self) -> None:
        """Broken roster connections are noticed after a while."""
        for one in list(self.members.values()):
            self._later(CUT_NOTICED_WITHIN_MS * self.chance.uniform(0.5, 1.0), partial(self._check_roster_link, one))

    def partition(self, sides: list[set[str]]) -> None:
        """Splits controllers and roster into sides that do not reach each other; all still reach the invokers."""
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
        for number, (one, other, _) in list(self.in_flight.items()):
            if other is invoker:
                del self.in_flight[number]
                self._later(
                    self.chance.uniform(1, 25),
                    partial(self._forward_ended, one, number, "reset", invoker.address, "", False, None),
                )

    def start(self, invoker: VirtualInvoker) -> None:
        """Starts another process at the same address."""
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
        """Drains the invoker, ends it after `drain`, and starts another process there `empty` later."""
        self.drain(invoker)

        def ends():
            self.down(invoker)
            self._later(empty, lambda: self.start(invoker))

        self._later(drain, ends)

    # Forwards

    def _usable(self, one: Group) -> list[InvokerState]:
        routing = self.routings[one]
        if routing.healthy is None:
            places = [place for place in routing.places.values() if place.status == "in service"]
            healthy = [place for place in places if place.address not in routing.doubted]
            routing.healthy = healthy if len(healthy) * 2 >= len(places) else places
        if not routing.avoided_until:
            return routing.healthy
        return [
            place for place in routing.healthy if routing.avoided_until.get(place.address, -1.0) <= self.now
        ] or routing.healthy

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
            return self._later(
                delay, lambda: self._forward_ended(one, number, "unconnected", place.address, "", False, None)
            )
        self.in_flight[number] = one, invoker, invoker.boot
        self._later(delay, lambda: self._arrive(one, number, invoker, place))

    def _arrive(self, one: Group, number: int, invoker: VirtualInvoker, place: InvokerState):
        if number not in self.in_flight:
            return
        cut = self.links.between(one.name, invoker.name).cut or self.links.between(invoker.name, one.name).cut
        if not cut:
            self.noted.append(
                seen.Reached(self.now, one.name, invoker.address, invoker.boot if invoker.up else place.boot)
            )
        over_at = self.reported_over_at.get((invoker.address, invoker.boot if invoker.up else place.boot))
        self.figures.to_ended += over_at is not None and self.now > over_at + self.grace
        if cut or invoker.hung and invoker.up:
            self._later(
                2_500.0, lambda: self._forward_ended(one, number, "timed out", invoker.address, "", False, None)
            )
        elif not invoker.up:
            self._later(5.0, lambda: self._forward_ended(one, number, "unconnected", invoker.address, "", False, None))
        else:
            boot, age = (invoker.boot, self.now - invoker.born) if invoker.tells else ("", None)
            self._later(
                self.chance.uniform(40, 160),
                lambda: self._forward_ended(
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
            self._carry_out(one, [])

    def _forward_ended(
        self, one: Group, number: int, outcome: str, address: str, boot: str, draining: bool, age: float | None
    ):
        known = self.in_flight.pop(number, None)
        if one not in self.fleets or known is None and outcome == "returned":
            return
        figures, routing = self.figures, self.routings[one]
        figures.returned += outcome == "returned"
        figures.refused += outcome in ("unconnected", "reset")
        figures.timed_out += outcome == "timed out"
        if outcome == "returned":
            routing.avoided_until.pop(address, None)
            routing.backoff.pop(address, None)
        elif outcome in ("unconnected", "timed out"):
            backoff = routing.backoff[address] = min(8_000.0, 2 * routing.backoff.get(address, 500.0))
            routing.avoided_until[address] = self.now + backoff
        self.fleets[one].ended(self._time(one), number, outcome, boot, draining, age)
        self._carry_out(one, [])

    # Observation

    def fleet_alike(self, names: set[str] | None = None) -> bool:
        return (
            len({self.fleets[one].digest for name, one in self.members.items() if names is None or name in names}) == 1
        )

    def observe(self) -> None:
        """Notes all views for the judge, and the fraction of the fleet that controllers may choose from."""
        serving = {
            invoker.address
            for invoker in self.invokers.values()
            if invoker.up and not invoker.draining and not invoker.hung
        }
        usable_counts = [len({place.address for place in self._usable(one)} & serving) for one in self.members.values()]
        self.usable.append(sum(usable_counts) / max(1, len(usable_counts) * len(serving)))
        self.note_views()

    def note_views(self) -> None:
        for name, one in self.members.items():
            fleet = self.fleets[one]
            self.noted.append(
                seen.FleetView(
                    self.now,
                    name,
                    f"{fleet.digest:016x}",
                    [(place.address, place.boot, place.status) for place in fleet.reported.values()],
                )
            )

    def note_members(self) -> None:
        """Notes how all running members see the group, for its judge."""
        for name, one in self.members.items():
            if name in self.paused:
                continue
            rows = [self._seen_row(held.row) for held in one.table.records.values()]
            rows.append(group_seen.SeenRow(name, one.start, "alive", one.me.incarnation, one.me.version))
            self.group_noted.append(
                group_seen.SeenView(self.now, name, one.start, f"{one.digest:016x}", one.share(), rows)
            )

    def _seen_row(self, row: Row) -> group_seen.SeenRow:
        """Creates an object once for a row that hundreds hold: 300 observed members have 90,000 rows between them."""
        content = row.name, row.start, row.state, row.incarnation, row.version
        seen_row = self.seen_rows.get(content)
        if seen_row is None:
            seen_row = self.seen_rows[content] = group_seen.SeenRow(
                row.name, row.start, row.state.name.lower(), row.incarnation, row.version
            )
        return seen_row

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
        """Observes now and then every `every` ms."""
        self.observe()
        self._later(every, lambda: self.observe_every(every))

    def verdict(self, bounds: seen.FleetBounds) -> seen.FleetVerdict:
        return seen.check(self.noted, bounds, self.now)
