"""Estimates the state of each zone from the view of the invokers and from the controllers' reports. No I/O, no clock.

Capacity comes from the fleet view alone (which invokers serve, their size, their age, which are unreachable), so no
controller can misreport it. Load is what each controller reports, bounded by what its zone could carry.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field, replace

from sprucespool.failover.plan import Plan
from sprucespool.failover.planner import ZoneState, zone_loads
from sprucespool.failover.topology import Topology

MAX_MEMBERS = 4_096


@dataclass(frozen=True, slots=True)
class ServingInvoker:
    """An invoker that serves. `age`: ms since its start, None if unknown. `unreachable`: other members cannot reach
    it."""

    zone: str
    size: float
    age: float | None = None
    unreachable: bool = False
    cell: str = ""


@dataclass(frozen=True, slots=True)
class LoadReport:
    """A controller's report: cores that its clients' inferences need (`free`, and `bound` to the region), cores that
    its own zone delivered to it, the shares of its forwards there that returned, and that returned in SLO time (-1: not
    known). `reported_at`: when it was made, None if unknown."""

    zone: str
    free: float
    bound: float
    home_cores: float = 0.0
    returned_share: float = -1.0
    in_time_share: float = -1.0
    name: str = ""
    reported_at: float | None = None


@dataclass(frozen=True, slots=True)
class GaugeLimits:
    """Times in ms."""

    cold_share: float = 0.25
    warm_after: float = 15_000.0
    # Cores per unit of size in the roster.
    cores_per_size_unit: float = 1.0
    # A zone that returns less than this share of its own traffic (a grey failure) counts with no more capacity than the
    # work it does: all of its cores where there is just too much work, a share of them where invokers hang or fail
    # although they look healthy.
    grey_threshold: float = 0.5
    min_trust: float = 0.04
    # Trust doubles at this interval while at least `regain_threshold` of the traffic returns, and in time: invokers
    # that are ten times too slow still return all of very little traffic. Each relapse doubles the interval, up to
    # `max_regain_interval`.
    regain_interval: float = 3_000.0
    max_regain_interval: float = 24_000.0
    # If less than this share of all capacity is trusted, the cause is not in single zones (a slow model library, a cold
    # start): all zones are used fully. Otherwise most traffic would be shed though no other zone does better.
    panic_threshold: float = 0.5
    # Past relapses are forgotten when a zone was fully trusted for this time.
    relapse_memory: float = 60_000.0
    regain_threshold: float = 0.8
    # The load that a member reports counts only up to this multiple of the median, if enough members report.
    max_median_multiple: float = 3.0
    min_reports_for_median: int = 5
    # A member without reports may be dead, or cut off together with its clients: the capacity that it used in its own
    # zone stays reserved there for this time.
    absent_load_lifetime: float = 30_000.0
    # Time constants that smooth the demand, as a plan that follows each burst is too late for all of them. Rising
    # demand counts sooner than falling demand.
    rise_time: float = 400.0
    fall_time: float = 1_500.0


@dataclass(slots=True)
class Reports:
    """The measurements of each member: its direct report while fresh, else those of its row in the group. Among 300
    members a row is half a minute old when it arrives; when it replaced newer direct reports, it hid most of the
    load."""

    max_members: int = 4_096
    # ms that a direct report counts: two reports may be missed.
    freshness: float = 12_000.0
    direct: dict[str, tuple[tuple[float, ...], float]] = field(default_factory=dict)

    def receive(self, now: float, name: str, figures: tuple[float, ...]) -> None:
        if name in self.direct or len(self.direct) < self.max_members:
            self.direct[name] = figures, now

    def of(self, now: float, name: str, row: tuple[float, ...]) -> tuple[tuple[float, ...], float | None]:
        """The measurements and when they were reported; the time is None if they come from the row."""
        figures, at = self.direct.get(name, (row, -math.inf))
        return (figures, at) if now - at < self.freshness else (row, None)

    def keep(self, names: Iterable[str]) -> None:
        """Forget all members but these."""
        known = set(names)
        self.direct = {name: one for name, one in self.direct.items() if name in known}


@dataclass(slots=True, eq=False)
class Gauge:
    """Keeps the trust in each zone and the smoothed demand; computes zone states from its inputs."""

    topology: Topology
    limits: GaugeLimits = field(default_factory=GaugeLimits)
    trust: dict[str, float] = field(default_factory=dict)
    trust_changed_at: dict[str, float] = field(default_factory=dict)
    # By zone: the current regain interval, and whether trust was regained since it last fell.
    regain_steps: dict[str, float] = field(default_factory=dict)
    regaining: set[str] = field(default_factory=set)
    # By zone: the smoothed demand (free, bound), and when it was updated.
    demand: dict[str, tuple[float, float]] = field(default_factory=dict)
    demand_at: float = math.nan
    # By zone: cores that each of its cells can take now, where the roster names cells. Shown to operators only: plans
    # go by zone, where a lost cell is a loss of capacity.
    cells: dict[str, dict[str, float]] = field(default_factory=dict)
    # By zone: when it last had no usable invokers.
    empty_at: dict[str, float] = field(default_factory=dict)
    # By member: zone, cores needed, time of its last report.
    last_reports: dict[str, tuple[str, float, float]] = field(default_factory=dict)

    def states(
        self, now: float, invokers: Iterable[ServingInvoker], reports: Iterable[LoadReport], plan: Plan | None = None
    ) -> dict[str, ZoneState]:
        """The state of each zone of the topology; unknown zones are ignored. `plan`: the one in force."""
        limits, zones = self.limits, self.topology.zones
        capacity, warm = dict.fromkeys(zones, 0.0), dict.fromkeys(zones, 0.0)
        self.cells = {}
        for one in invokers:
            if one.zone in capacity and one.cell:
                self.cells.setdefault(one.zone, {}).setdefault(one.cell, 0.0)
            if one.zone in capacity and not one.unreachable:
                size = max(0.0, one.size) * limits.cores_per_size_unit
                warmed = 1.0 if one.age is None else min(1.0, max(0.0, one.age) / limits.warm_after)
                warm[one.zone] += size
                available = size * (limits.cold_share + (1.0 - limits.cold_share) * warmed)
                capacity[one.zone] += available
                if one.cell:
                    self.cells[one.zone][one.cell] += available
        for zone in zones:
            if not warm[zone]:
                # Invokers that start there later are others: they are trusted until they fail as well.
                self.empty_at[zone] = now
                if self.trust.pop(zone, 1.0) < 1.0:
                    self.trust_changed_at[zone] = now
                    self.regaining.add(zone)
        free, bound = dict.fromkeys(zones, 0.0), dict.fromkeys(zones, 0.0)
        home_cores = dict.fromkeys(zones, 0.0)
        health: dict[str, list[tuple[float, float]]] = {zone: [] for zone in zones}
        max_load = max([*warm.values(), 0.0])
        members = [one for one in reports if one.zone in free]
        reported_loads = sorted(load for one in members if (load := max(0.0, one.free) + max(0.0, one.bound)) > 0)
        if len(reported_loads) >= limits.min_reports_for_median:
            max_load = min(max_load, limits.max_median_multiple * reported_loads[len(reported_loads) // 2])
        reporting = set()
        for report in members:
            # A controller may report any load: it counts only up to a plausible limit.
            asked_cores = max(0.0, report.free) + max(0.0, report.bound)
            scale = min(1.0, max_load / asked_cores) if asked_cores > 0 else 0.0
            reporting.add(report.name)
            if report.name and (report.name in self.last_reports or len(self.last_reports) < MAX_MEMBERS):
                self.last_reports[report.name] = report.zone, scale * asked_cores, now
            free[report.zone] += scale * max(0.0, report.free)
            bound[report.zone] += scale * max(0.0, report.bound)
            home_cores[report.zone] += max(0.0, report.home_cores)
            if report.returned_share >= 0.0 and self._reported_since_empty(now, report):
                health[report.zone].append(
                    (
                        min(1.0, report.returned_share),
                        report.in_time_share if report.in_time_share >= 0.0 else report.returned_share,
                    )
                )
        for name, (zone, cores, at) in list(self.last_reports.items()):
            if now - at > limits.absent_load_lifetime:
                del self.last_reports[name]
            elif name not in reporting:
                capacity[zone] -= min(cores, capacity[zone])
        self._smooth_demand(now, free, bound)
        states = {
            zone: ZoneState(
                zone,
                round(capacity[zone], 3),
                round(warm[zone], 3),
                round(self.demand[zone][0], 3),
                round(self.demand[zone][1], 3),
            )
            for zone in zones
        }
        carried = zone_loads(states, plan) if plan is not None else {}
        for zone in zones:
            # The median counts, so that a single controller that misreports or has faults itself degrades no zone.
            returned = sorted(share for share, _ in health[zone])
            in_time = sorted(share for _, share in health[zone])
            if returned and capacity[zone] > 0:
                # The work done for other zones' traffic is assumed to be in proportion to that for the own traffic.
                own = zone_loads({zone: states[zone]}, plan).get(zone, 0.0) if plan is not None else 0.0
                done_cores = home_cores[zone] * (carried[zone] / own if own > 0 else 1.0)
                self._update_trust(
                    now,
                    zone,
                    returned[len(returned) // 2],
                    in_time[len(in_time) // 2],
                    min(1.0, done_cores / capacity[zone]),
                )
        trusted_capacity = sum(capacity[zone] * self.trust.get(zone, 1.0) for zone in zones)
        if trusted_capacity < limits.panic_threshold * sum(capacity.values()):
            return states
        return {zone: replace(state, trust=round(self.trust.get(zone, 1.0), 2)) for zone, state in states.items()}

    def _reported_since_empty(self, now: float, report: LoadReport) -> bool:
        """Whether the report is about the invokers that are in the zone now. Without this check a zone that came back
        got a twenty-fifth of its traffic for 16 s, because of reports about its earlier invokers."""
        emptied_at = self.empty_at.get(report.zone, -math.inf)
        return (
            report.reported_at > emptied_at
            if report.reported_at is not None
            else now - emptied_at > self.limits.absent_load_lifetime
        )

    def _smooth_demand(self, now: float, free: Mapping[str, float], bound: Mapping[str, float]):
        elapsed = math.inf if math.isnan(self.demand_at) else max(0.0, now - self.demand_at)
        for zone in free:
            old, new = self.demand.get(zone, (free[zone], bound[zone])), (free[zone], bound[zone])
            tau = self.limits.rise_time if sum(new) > sum(old) else self.limits.fall_time
            weight = 1.0 - math.exp(-elapsed / tau)
            self.demand[zone] = old[0] + weight * (new[0] - old[0]), old[1] + weight * (new[1] - old[1])
        self.demand_at = now

    def _update_trust(self, now: float, zone: str, returned_share: float, in_time_share: float, done_share: float):
        trust, limits = self.trust.get(zone, 1.0), self.limits
        step = self.regain_steps.get(zone, limits.regain_interval)
        if returned_share < limits.grey_threshold and trust > max(limits.min_trust, done_share) + 0.05:
            self.trust[zone], self.trust_changed_at[zone] = max(limits.min_trust, done_share), now
            if zone in self.regaining:
                self.regaining.discard(zone)
                self.regain_steps[zone] = min(limits.max_regain_interval, 2 * step)
        elif (
            trust < 1.0
            and min(returned_share, in_time_share) >= limits.regain_threshold
            and now - self.trust_changed_at.get(zone, 0.0) >= step
        ):
            self.trust[zone], self.trust_changed_at[zone] = min(1.0, 2.0 * trust), now
            self.regaining.add(zone)
        elif trust == 1.0 and now - self.trust_changed_at.get(zone, now) >= limits.relapse_memory:
            self.regain_steps.pop(zone, None)
            self.regaining.discard(zone)
