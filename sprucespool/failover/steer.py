"""Selects the zones of each inference, by the plan in force and by this controller's own observations. No I/O, no
clock.

The shares of the plan are kept exactly, by deficits instead of random choice: of any run of inferences each zone gets
its share, give or take one. Own observations override the plan: a zone that does not answer is excluded at once and
gets trials from time to time. Traffic that the plan has no room for is shed here, before any forward, the least valued
first.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass, field

from sprucespool.failover.plan import Plan
from sprucespool.failover.topology import Topology


@dataclass(frozen=True, slots=True)
class SteerLimits:
    """Times in ms."""

    # A zone is excluded after this number of consecutive forwards without an answer, over at least this time.
    max_failures: int = 6
    min_failure_time: float = 150.0
    initial_trial_interval: float = 500.0
    max_trial_interval: float = 4_000.0
    # Number of inferences over which their values are weighed.
    memory: float = 200.0


@dataclass(slots=True)
class _Observation:
    """What this controller observed of a zone; `failures`: consecutive forwards without an answer."""

    failures: int = 0
    first_failure_at: float = 0.0
    excluded: bool = False
    trial_at: float = 0.0
    trial_interval: float = 0.0


@dataclass(slots=True)
class ValueShedder:
    """Sheds a share of the inferences, the least valued first: all below a value, and of that value as many as needed.

    `memory`: number of inferences over which values are weighed."""

    memory: float = 200.0
    weights: dict[float, float] = field(default_factory=dict)
    deficit: float = 0.0

    def sheds(self, value: float, shed_share: float) -> bool:
        """Whether to shed this inference so that `shed_share` of all are shed."""
        decay = 1.0 - 1.0 / self.memory
        for other in list(self.weights):
            self.weights[other] *= decay
            if self.weights[other] < 1e-3:
                del self.weights[other]
        self.weights[value] = self.weights.get(value, 0.0) + 1.0
        if shed_share <= 0.0:
            self.deficit = 0.0
            return False
        total = sum(self.weights.values())
        lower_weight = sum(weight for other, weight in self.weights.items() if other < value)
        # What remains to be shed after all of lower value, as a share of those of this value.
        share = min(1.0, max(0.0, shed_share * total - lower_weight) / self.weights[value])
        if share >= 1.0:
            return True
        self.deficit += share
        if self.deficit >= 1.0:
            self.deficit -= 1.0
            return True
        return False


@dataclass(slots=True, eq=False)
class Steer:
    """One controller's selection of zones. `serving_zones`: zones with invokers that serve; None if nothing is
    known."""

    zone: str
    topology: Topology
    limits: SteerLimits = field(default_factory=SteerLimits)
    serving_zones: frozenset[str] | None = None
    observations: dict[str, _Observation] = field(default_factory=dict)
    _deficits: dict[bool, dict[str, float]] = field(default_factory=lambda: {False: {}, True: {}})
    _shedders: dict[bool, ValueShedder] = field(default_factory=dict)

    def __post_init__(self):
        self._shedders = {bound: ValueShedder(self.limits.memory) for bound in (False, True)}

    # Own observations

    def ended(self, now: float, zone: str, answered: bool) -> None:
        """A forward to that zone ended; `answered`: the invoker itself answered, with whatever outcome."""
        observation = self.observations.setdefault(zone, _Observation())
        if answered:
            observation.failures, observation.excluded, observation.trial_interval = 0, False, 0.0
            return
        if not observation.failures:
            observation.first_failure_at = now
        observation.failures += 1
        if (
            not observation.excluded
            and observation.failures >= self.limits.max_failures
            and now - observation.first_failure_at >= self.limits.min_failure_time
        ):
            observation.excluded, observation.trial_interval = True, self.limits.initial_trial_interval
            observation.trial_at = now + observation.trial_interval

    def open(self, zone: str) -> bool:
        """Whether the zone gets more than trials."""
        observation = self.observations.get(zone)
        return (observation is None or not observation.excluded) and (
            self.serving_zones is None or zone in self.serving_zones
        )

    # Selection

    def zones(self, now: float, plan: Plan, bound: bool, value: float) -> tuple[str, ...]:
        """The zones that this inference may go to, in order of preference; none: shed it."""
        row = (plan.bound if bound else plan.free).get(self.zone, {self.zone: 1.0})
        if self._shedders[bound].sheds(value, 1.0 - sum(row.values())):
            return ()
        trial = self._trial(now, row)
        first = trial or self._next_zone(bound, self._weights(row, bound))
        if first is None:
            return ()
        others = sorted(
            (
                zone
                for zone in self._reachable(bound)
                if zone != first and self.open(zone) and (zone in row or self.topology.same_region(zone, self.zone))
            ),
            key=lambda zone: (-row.get(zone, 0.0), self.topology.cost(self.zone, zone), zone),
        )
        return (first, *others)

    def _reachable(self, bound: bool) -> list[str]:
        return [zone for zone in self.topology.zones if not bound or self.topology.same_region(zone, self.zone)]

    def _weights(self, row: Mapping[str, float], bound: bool) -> dict[str, float]:
        """The plan's shares of its open zones; if none is open, equal shares of the nearest open zones."""
        weights = {zone: share for zone, share in row.items() if share > 0 and self.open(zone)}
        if weights:
            return weights
        open_zones = [zone for zone in self._reachable(bound) if self.open(zone)]
        lowest_cost = min((self.topology.cost(self.zone, zone) for zone in open_zones), default=math.inf)
        nearest = [zone for zone in open_zones if self.topology.cost(self.zone, zone) <= lowest_cost + 1e-9]
        # All zones are excluded: this controller itself may be cut off, so the plan is the best information there is.
        return dict.fromkeys(nearest, 1.0) or {zone: share for zone, share in row.items() if share > 0}

    def _next_zone(self, bound: bool, weights: Mapping[str, float]) -> str | None:
        """The zone with the largest deficit. Not random, so that no run of chance overfills a zone."""
        total = sum(weights.values())
        if not total:
            return None
        before = self._deficits[bound]
        deficits = {zone: before.get(zone, 0.0) + share / total for zone, share in weights.items()}
        first = max(deficits, key=lambda zone: (deficits[zone], zone == self.zone, zone))
        deficits[first] -= 1.0
        self._deficits[bound] = deficits
        return first

    def _trial(self, now: float, row: Mapping[str, float]) -> str | None:
        for zone, share in row.items():
            observation = self.observations.get(zone)
            if (
                share > 0
                and observation is not None
                and observation.excluded
                and now >= observation.trial_at
                and (self.serving_zones is None or zone in self.serving_zones)
            ):
                observation.trial_interval = min(2 * observation.trial_interval, self.limits.max_trial_interval)
                observation.trial_at = now + observation.trial_interval
                return zone
        return None
