"""What it costs to go from zone to zone: seeded by the operator, measured by the controllers. No I/O, no clock.

Each controller notes how long the answers of members to its own checks take, by their zone; the middle one of the
newest of a zone counts, as a busy member answers late. All tell the voters their rows now and then; of a pair of zones
the middle of what all tell counts, so that one that lies or is slow moves nothing. A cost that is in force is replaced
only when the measured one is a quarter off: plans must not run after jitter.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from sprucespool.failover.topology import Topology

MAX_REPORTERS = 4_096


@dataclass(slots=True, eq=False)
class ZoneCosts:
    """`zone` is the own one. `topology` has the costs in force; it is changed in place, for all who hold it."""

    zone: str
    topology: Topology
    max_samples: int = 15
    # So many answers of a zone are needed.
    min_samples: int = 5
    change_threshold: float = 0.25
    # A way within a machine room is not worth telling apart.
    min_cost: float = 0.5
    samples: dict[str, deque[float]] = field(default_factory=dict)
    # By member: its zone and its row.
    reported: dict[str, tuple[str, dict[str, float]]] = field(default_factory=dict)

    def record_round_trip(self, zone: str, round_trip: float) -> None:
        """A member of that zone answered a check after `took` ms, there and back."""
        if zone in self.topology.regions and round_trip >= 0.0:
            self.samples.setdefault(zone, deque(maxlen=self.max_samples)).append(round_trip)

    def measured(self) -> dict[str, float]:
        """One way to each zone that enough is known of, ms."""
        return {
            zone: round(max(self.min_cost, sorted(values)[len(values) // 2] / 2), 1)
            for zone, values in sorted(self.samples.items())
            if len(values) >= self.min_samples and zone != self.zone
        }

    def receive(self, name: str, zone: str, row: Mapping[str, float]) -> None:
        """Another's row. What names no zone of these counts nowhere."""
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
        """Bring the costs up to date by what those members and this one told; true if any changed."""
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
