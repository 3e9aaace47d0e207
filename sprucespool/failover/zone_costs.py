"""Costs between zones: initially set by the operator, then measured by the controllers. No I/O, no clock.

Each controller records the round trips of its health checks of other members, by zone. It takes the median of the
newest round trips of a zone, as a busy member answers late. All controllers periodically report these costs to the
voters. For a pair of zones the median of all reports counts, so that a single false or slow reporter changes nothing.
A cost in use is replaced only when the measured one differs by a quarter: plans must not follow jitter.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from sprucespool.failover.topology import Topology

MAX_REPORTERS = 4_096


@dataclass(slots=True, eq=False)
class ZoneCosts:
    """`zone` is the controller's own. `topology` holds the costs in use; it is changed in place, for all its users."""

    zone: str
    topology: Topology
    max_samples: int = 15
    # Round trips of a zone that are needed for an estimate.
    min_samples: int = 5
    change_threshold: float = 0.25
    # In ms. Shorter distances, as within a machine room, need not be told apart.
    min_cost: float = 0.5
    samples: dict[str, deque[float]] = field(default_factory=dict)
    # By member: its zone and the costs that it reported.
    reported: dict[str, tuple[str, dict[str, float]]] = field(default_factory=dict)

    def record_round_trip(self, zone: str, round_trip: float) -> None:
        """A member of that zone answered a check; `round_trip` in ms."""
        if zone in self.topology.regions and round_trip >= 0.0:
            self.samples.setdefault(zone, deque(maxlen=self.max_samples)).append(round_trip)

    def measured(self) -> dict[str, float]:
        """One-way time to each zone with enough samples, in ms."""
        return {
            zone: round(max(self.min_cost, sorted(values)[len(values) // 2] / 2), 1)
            for zone, values in sorted(self.samples.items())
            if len(values) >= self.min_samples and zone != self.zone
        }

    def receive(self, name: str, zone: str, row: Mapping[str, float]) -> None:
        """The costs that another member measured. Unknown zones are ignored."""
        if zone in self.topology.regions and (name in self.reported or len(self.reported) < MAX_REPORTERS):
            self.reported[name] = (
                zone,
                {
                    to: max(self.min_cost, cost)
                    for to, cost in row.items()
                    if to in self.topology.regions and 0.0 <= cost < 1e6
                },
            )

    def update(self, members: Iterable[str]) -> bool:
        """Update the costs from the reports of these members and the own measurements; true if any changed."""
        live = set(members)
        self.reported = {name: one for name, one in self.reported.items() if name in live}
        costs_by_pair: dict[tuple[str, str], list[float]] = {}
        for zone, row in [*self.reported.values(), (self.zone, self.measured())]:
            for to, cost in row.items():
                if to != zone:
                    costs_by_pair.setdefault((min(zone, to), max(zone, to)), []).append(cost)
        changed = False
        for (one, other), costs in sorted(costs_by_pair.items()):
            median, current = sorted(costs)[len(costs) // 2], self.topology.cost(one, other)
            if abs(median - current) > self.change_threshold * current:
                self.topology.costs.pop((other, one), None)
                self.topology.costs[one, other] = median
                changed = True
        return changed
