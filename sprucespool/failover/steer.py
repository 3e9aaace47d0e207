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
    bad: int = 6
    bad_for: float = 150.0
    first_trial: float = 500.0
    last_trial: float = 4_000.0
    # Over so many inferences their values are weighed.
    memory: float = 200.0


@dataclass(slots=True)
class _Seen:
    """Own evidence of a zone."""

    bad: int = 0
    since: float = 0.0
    out: bool = False
    trial_at: float = 0.0
    gap: float = 0.0


@dataclass(slots=True)
class ValueShedder:
    """Sheds a part of what comes, the least valued first: all under a value, and of that value what is missing."""

    memory: float = 200.0
    weights: dict[float, float] = field(default_factory=dict)
    debt: float = 0.0

    def sheds(self, value: float, missing: float) -> bool:
        """Whether this one is to be shed so that the part `missing` of all is."""
        keep = 1.0 - 1.0 / self.memory
        for other in list(self.weights):
            self.weights[other] *= keep
            if self.weights[other] < 1e-3:
                del self.weights[other]
        self.weights[value] = self.weights.get(value, 0.0) + 1.0
        if missing <= 0.0:
            self.debt = 0.0
            return False
        total = sum(self.weights.values())
        under = sum(weight for other, weight in self.weights.items() if other < value)
        # What is left to shed when all of less value is, as a part of those of this value.
        part = min(1.0, max(0.0, missing * total - under) / self.weights[value])
        if part >= 1.0:
            return True
        self.debt += part
        if self.debt >= 1.0:
            self.debt -= 1.0
            return True
        return False


@dataclass(slots=True, eq=False)
class Steer:
    """One controller's. `serves` are the zones where anything is known to serve; None: nothing is known."""

    zone: str
    topology: Topology
    limits: SteerLimits = field(default_factory=SteerLimits)
    serving_zones: frozenset[str] | None = None
    seen: dict[str, _Seen] = field(default_factory=dict)
    _debts: dict[bool, dict[str, float]] = field(default_factory=lambda: {False: {}, True: {}})
    _sifters: dict[bool, ValueShedder] = field(default_factory=dict)

    def __post_init__(self):
        self._sifters = {bound: ValueShedder(self.limits.memory) for bound in (False, True)}

    # Own eyes

    def ended(self, now: float, zone: str, answered: bool) -> None:
        """A forward to that zone ended; `answered`: the invoker said something of its own."""
        seen = self.seen.setdefault(zone, _Seen())
        if answered:
            seen.bad, seen.out, seen.gap = 0, False, 0.0
            return
        if not seen.bad:
            seen.since = now
        seen.bad += 1
        if not seen.out and seen.bad >= self.limits.bad and now - seen.since >= self.limits.bad_for:
            seen.out, seen.gap = True, self.limits.first_trial
            seen.trial_at = now + seen.gap

    def open(self, zone: str) -> bool:
        """Whether anything is sent there but trials."""
        seen = self.seen.get(zone)
        return (seen is None or not seen.out) and (self.serving_zones is None or zone in self.serving_zones)

    # Choosing

    def zones(self, now: float, plan: Plan, bound: bool, value: float) -> tuple[str, ...]:
        """The zones that this inference may go to, the first of them first; none: shed it."""
        row = (plan.bound if bound else plan.free).get(self.zone, {self.zone: 1.0})
        if self._sifters[bound].sheds(value, 1.0 - sum(row.values())):
            return ()
        trial = self._trial(now, row)
        first = trial or self._draw(bound, self._weights(row, bound))
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
        weights = {zone: part for zone, part in row.items() if part > 0 and self.open(zone)}
        if weights:
            return weights
        left = [zone for zone in self._reachable(bound) if self.open(zone)]
        near = min((self.topology.cost(self.zone, zone) for zone in left), default=math.inf)
        nearest = [zone for zone in left if self.topology.cost(self.zone, zone) <= near + 1e-9]
        # All are out in own eyes: as likely this controller is cut off; the plan is the best word there is.
        return dict.fromkeys(nearest, 1.0) or {zone: part for zone, part in row.items() if part > 0}

    def _draw(self, bound: bool, weights: Mapping[str, float]) -> str | None:
        """Whoever is owed most after each got its part: no chance, so that no run of luck fills a zone."""
        total = sum(weights.values())
        if not total:
            return None
        before = self._debts[bound]
        debts = {zone: before.get(zone, 0.0) + part / total for zone, part in weights.items()}
        first = max(debts, key=lambda zone: (debts[zone], zone == self.zone, zone))
        debts[first] -= 1.0
        self._debts[bound] = debts
        return first

    def _trial(self, now: float, row: Mapping[str, float]) -> str | None:
        for zone, part in row.items():
            seen = self.seen.get(zone)
            if (
                part > 0
                and seen is not None
                and seen.out
                and now >= seen.trial_at
                and (self.serving_zones is None or zone in self.serving_zones)
            ):
                seen.gap = min(2 * seen.gap, self.limits.last_trial)
                seen.trial_at = now + seen.gap
                return zone
        return None
