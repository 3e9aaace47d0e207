"""Which zones an inference may go to, by the plan in force and by what this controller sees itself. No I/O, no clock.

The parts of the plan are kept exactly, by debts instead of chance: of any run of inferences each zone gets its part,
one more or less. Own evidence outranks the plan: a zone that answers nothing is left at once and tried now and then.
What the plan has no room for is shed here, near and early, the least valued first.
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

    # So many forwards in a row without an answer, over so long at least: the zone is left.
    max_failures: int = 6
    min_failure_time: float = 150.0
    initial_trial_interval: float = 500.0
    max_trial_interval: float = 4_000.0
    # Over so many inferences their values are weighed.
    memory: float = 200.0


@dataclass(slots=True)
class _Observation:
    """Own evidence of a zone."""

    failures: int = 0
    first_failure_at: float = 0.0
    excluded: bool = False
    trial_at: float = 0.0
    trial_interval: float = 0.0


@dataclass(slots=True)
class ValueShedder:
    """Sheds a part of what comes, the least valued first: all under a value, and of that value what is missing."""

    memory: float = 200.0
    weights: dict[float, float] = field(default_factory=dict)
    deficit: float = 0.0

    def sheds(self, value: float, shed_share: float) -> bool:
        """Whether this one is to be shed so that the part `missing` of all is."""
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
        # What is left to shed when all of less value is, as a part of those of this value.
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
    """One controller's. `serves` are the zones where anything is known to serve; None: nothing is known."""

    zone: str
    topology: Topology
    limits: SteerLimits = field(default_factory=SteerLimits)
    serving_zones: frozenset[str] | None = None
    observations: dict[str, _Observation] = field(default_factory=dict)
    _deficits: dict[bool, dict[str, float]] = field(default_factory=lambda: {False: {}, True: {}})
    _shedders: dict[bool, ValueShedder] = field(default_factory=dict)

    def __post_init__(self):
        self._shedders = {bound: ValueShedder(self.limits.memory) for bound in (False, True)}

    # Own eyes

    def ended(self, now: float, zone: str, answered: bool) -> None:
        """A forward to that zone ended; `answered`: the invoker said something of its own."""
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
        """Whether anything is sent there but trials."""
        observation = self.observations.get(zone)
        return (observation is None or not observation.excluded) and (
            self.serving_zones is None or zone in self.serving_zones
        )

    # Choosing

    def zones(self, now: float, plan: Plan, bound: bool, value: float) -> tuple[str, ...]:
        """The zones that this inference may go to, the first of them first; none: shed it."""
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
        """The plan's parts among zones that are open here; if none is, the nearest that are, in equal parts."""
        weights = {zone: share for zone, share in row.items() if share > 0 and self.open(zone)}
        if weights:
            return weights
        open_zones = [zone for zone in self._reachable(bound) if self.open(zone)]
        lowest_cost = min((self.topology.cost(self.zone, zone) for zone in open_zones), default=math.inf)
        nearest = [zone for zone in open_zones if self.topology.cost(self.zone, zone) <= lowest_cost + 1e-9]
        # All are out in own eyes: as likely this controller is cut off; the plan is the best word there is.
        return dict.fromkeys(nearest, 1.0) or {zone: share for zone, share in row.items() if share > 0}

    def _next_zone(self, bound: bool, weights: Mapping[str, float]) -> str | None:
        """Whoever is owed most after each got its part: no chance, so that no run of luck fills a zone."""
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
