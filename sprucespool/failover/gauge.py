"""From what is known of invokers and told by controllers to the states of the zones. No I/O, no clock.

Capacity comes from the fleet's view alone (who serves, how large, how long already, who is doubted): a controller has
no word in it, so none can lie about it. Load is each controller's own word, bounded by what its zone could carry.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field, replace

from sprucespool.failover.plan import Plan
from sprucespool.failover.planner import ZoneState, zone_loads
from sprucespool.failover.topology import Topology

MOST_MEMBERS = 4_096


@dataclass(frozen=True, slots=True)
class ServingInvoker:
    """An invoker that serves. `age`: ms it runs, None where nobody told; `ill`: others cannot reach it."""

    zone: str
    size: float
    age: float | None = None
    ill: bool = False
    cell: str = ""


@dataclass(frozen=True, slots=True)
class LoadReport:
    """A controller's word: cores asked by what enters at it, cores that its own zone did for it, the parts of what it
    sent there that came back, and that came in SLO time (-1: not known). `at`: when it said so, None where that is not
    known."""

    zone: str
    free: float
    bound: float
    did: float = 0.0
    well: float = -1.0
    soon: float = -1.0
    name: str = ""
    reported_at: float | None = None


@dataclass(frozen=True, slots=True)
class GaugeLimits:
    """Times in ms."""

    cold_share: float = 0.25
    warm_after: float = 15_000.0
    # Cores that a unit of a roster's size stands for.
    cores: float = 1.0
    # A zone that brings less than this part of its own traffic back can take no more than it does: all of its cores
    # where there is just too much work, a part where invokers hang or fail though their health looks fine.
    grey: float = 0.5
    least_trust: float = 0.04
    # Believed again twice as much at a time while so much comes back, and in time: of a trickle all comes back from
    # invokers that are ten times too slow for more. After each relapse the steps are twice as long, up to the most.
    regain_interval: float = 3_000.0
    regain_most: float = 24_000.0
    # While less than this part of all capacity is believed, the fault is none of a zone's (a library that is slow, a
    # cold start): all of them are used, or most would be shed for what no other zone does better.
    panic: float = 0.5
    # All of it is forgotten when a zone was believed whole for so long.
    forgive: float = 60_000.0
    well: float = 0.8
    # Of a member's own word no more counts than so many times the middle one's, where so many tell.
    most_of_middle: float = 3.0
    judged_from: int = 5
    # A member that is heard of no more may be dead, or cut off with all its clients: what it asked of its own zone is
    # kept free there for so long.
    remember: float = 30_000.0
    # What is asked is evened out over so long, as a plan that runs after each burst comes too late for all of them;
    # what rises counts sooner than what falls.
    rise: float = 400.0
    fall: float = 1_500.0


@dataclass(slots=True)
class Reports:
    """The figures of each member: told directly of late, or else by its row in the group. Among 300 a row's word is
    half a minute old when it comes: taken for newer than what was told directly, it hid most of the load."""

    max_members: int = 4_096
    # ms that what was told directly counts: two tellings may be missed.
    fresh: float = 12_000.0
    direct: dict[str, tuple[tuple[float, ...], float]] = field(default_factory=dict)

    def receive(self, now: float, name: str, figures: tuple[float, ...]) -> None:
        if name in self.direct or len(self.direct) < self.max_members:
            self.direct[name] = figures, now

    def of(self, now: float, name: str, row: tuple[float, ...]) -> tuple[tuple[float, ...], float | None]:
        """The figures, and when they were said: None where it was by the row."""
        figures, at = self.direct.get(name, (row, -math.inf))
        return (figures, at) if now - at < self.fresh else (row, None)

    def keep(self, names: Iterable[str]) -> None:
        """Forget all others."""
        known = set(names)
        self.direct = {name: one for name, one in self.direct.items() if name in known}


@dataclass(slots=True, eq=False)
class Gauge:
    """Keeps how far each zone is believed; all else follows from what it is handed."""

    topology: Topology
    limits: GaugeLimits = field(default_factory=GaugeLimits)
    trust: dict[str, float] = field(default_factory=dict)
    changed: dict[str, float] = field(default_factory=dict)
    # By zone: how long a step back to being believed takes, and whether one was taken since the last fall.
    regain_steps: dict[str, float] = field(default_factory=dict)
    regained: set[str] = field(default_factory=set)
    # By zone: what is asked (free, bound), evened out; when that was.
    asked: dict[str, tuple[float, float]] = field(default_factory=dict)
    asked_at: float = math.nan
    # By zone: cores that each of its cells can take now, as far as the roster tells cells. For operators: a lost cell
    # is a zone with less to take, and traffic enters at zones.
    cells: dict[str, dict[str, float]] = field(default_factory=dict)
    # By zone: when nothing stood there last.
    empty: dict[str, float] = field(default_factory=dict)
    # By member: zone, cores asked, when that was told last.
    last: dict[str, tuple[str, float, float]] = field(default_factory=dict)

    def states(
        self, now: float, standing: Iterable[ServingInvoker], loaded: Iterable[LoadReport], plan: Plan | None = None
    ) -> dict[str, ZoneState]:
        """The state of each zone of the topology; what stands in no known zone counts nowhere. `plan`: in force."""
        limits, zones = self.limits, self.topology.zones
        takes, warm = dict.fromkeys(zones, 0.0), dict.fromkeys(zones, 0.0)
        self.cells = {}
        for one in standing:
            if one.zone in takes and one.cell:
                self.cells.setdefault(one.zone, {}).setdefault(one.cell, 0.0)
            if one.zone in takes and not one.ill:
                size = max(0.0, one.size) * limits.cores
                grown = 1.0 if one.age is None else min(1.0, max(0.0, one.age) / limits.warm_after)
                warm[one.zone] += size
                can = size * (limits.cold_share + (1.0 - limits.cold_share) * grown)
                takes[one.zone] += can
                if one.cell:
                    self.cells[one.zone][one.cell] += can
        for zone in zones:
            if not warm[zone]:
                # Whoever comes there is another, of whom nothing is known: believed, until it falls as well.
                self.empty[zone] = now
                if self.trust.pop(zone, 1.0) < 1.0:
                    self.changed[zone] = now
                    self.regained.add(zone)
        free, bound = dict.fromkeys(zones, 0.0), dict.fromkeys(zones, 0.0)
        did = dict.fromkeys(zones, 0.0)
        said: dict[str, list[tuple[float, float]]] = {zone: [] for zone in zones}
        most = max([*warm.values(), 0.0])
        members = [one for one in loaded if one.zone in free]
        told_loads = sorted(load for one in members if (load := max(0.0, one.free) + max(0.0, one.bound)) > 0)
        if len(told_loads) >= limits.judged_from:
            most = min(most, limits.most_of_middle * told_loads[len(told_loads) // 2])
        heard_of = set()
        for told in members:
            # What a controller says of its load could be anything: no more of it counts than could well be.
            asks = max(0.0, told.free) + max(0.0, told.bound)
            part = min(1.0, most / asks) if asks > 0 else 0.0
            heard_of.add(told.name)
            if told.name and (told.name in self.last or len(self.last) < MOST_MEMBERS):
                self.last[told.name] = told.zone, part * asks, now
            free[told.zone] += part * max(0.0, told.free)
            bound[told.zone] += part * max(0.0, told.bound)
            did[told.zone] += max(0.0, told.did)
            if told.well >= 0.0 and self._since(now, told):
                said[told.zone].append((min(1.0, told.well), told.soon if told.soon >= 0.0 else told.well))
        for name, (zone, cores, at) in list(self.last.items()):
            if now - at > limits.remember:
                del self.last[name]
            elif name not in heard_of:
                takes[zone] -= min(cores, takes[zone])
        self._even(now, free, bound)
        states = {
            zone: ZoneState(
                zone,
                round(takes[zone], 3),
                round(warm[zone], 3),
                round(self.asked[zone][0], 3),
                round(self.asked[zone][1], 3),
            )
            for zone in zones
        }
        carried = zone_loads(states, plan) if plan is not None else {}
        for zone in zones:
            # The middle one's word: a single controller that lies or is ill itself makes no zone grey.
            heard = sorted(well for well, _ in said[zone])
            soon = sorted(soon for _, soon in said[zone])
            if heard and takes[zone] > 0:
                # What others' traffic gets there is as much of its part as what the own traffic gets.
                own = zone_loads({zone: states[zone]}, plan).get(zone, 0.0) if plan is not None else 0.0
                does = did[zone] * (carried[zone] / own if own > 0 else 1.0)
                self._weigh(now, zone, heard[len(heard) // 2], soon[len(soon) // 2], min(1.0, does / takes[zone]))
        believed = sum(takes[zone] * self.trust.get(zone, 1.0) for zone in zones)
        if believed < limits.panic * sum(takes.values()):
            return states
        return {zone: replace(state, trust=round(self.trust.get(zone, 1.0), 2)) for zone, state in states.items()}

    def _since(self, now: float, told: LoadReport) -> bool:
        """Whether it speaks of who stands there now. Seen: a zone that was lost came back, and for 16 s got a
        twenty-fifth of its traffic by what members had said of the ones before."""
        empty = self.empty.get(told.zone, -math.inf)
        return told.reported_at > empty if told.reported_at is not None else now - empty > self.limits.remember

    def _even(self, now: float, free: Mapping[str, float], bound: Mapping[str, float]):
        since = math.inf if math.isnan(self.asked_at) else max(0.0, now - self.asked_at)
        for zone in free:
            old, new = self.asked.get(zone, (free[zone], bound[zone])), (free[zone], bound[zone])
            tau = self.limits.rise if sum(new) > sum(old) else self.limits.fall
            part = 1.0 - math.exp(-since / tau)
            self.asked[zone] = old[0] + part * (new[0] - old[0]), old[1] + part * (new[1] - old[1])
        self.asked_at = now

    def _weigh(self, now: float, zone: str, well: float, soon: float, does: float):
        trust, limits = self.trust.get(zone, 1.0), self.limits
        step = self.regain_steps.get(zone, limits.regain_interval)
        if well < limits.grey and trust > max(limits.least_trust, does) + 0.05:
            self.trust[zone], self.changed[zone] = max(limits.least_trust, does), now
            if zone in self.regained:
                self.regained.discard(zone)
                self.regain_steps[zone] = min(limits.regain_most, 2 * step)
        elif trust < 1.0 and min(well, soon) >= limits.well and now - self.changed.get(zone, 0.0) >= step:
            self.trust[zone], self.changed[zone] = min(1.0, 2.0 * trust), now
            self.regained.add(zone)
        elif trust == 1.0 and now - self.changed.get(zone, now) >= limits.forgive:
            self.regain_steps.pop(zone, None)
            self.regained.discard(zone)
