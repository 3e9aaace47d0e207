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

MOST_TELLERS = 4_096


@dataclass(slots=True, eq=False)
class ZoneCosts:
    """`zone` is the own one. `topology` has the costs in force; it is changed in place, for all who hold it."""

    zone: str
    topology: Topology
    newest: int = 15
    # So many answers of a zone are needed.
    least: int = 5
    off: float = 0.25
    # A way within a machine room is not worth telling apart.
    floor: float = 0.5
    answers: dict[str, deque[float]] = field(default_factory=dict)
    # By member: its zone and its row.
    reported: dict[str, tuple[str, dict[str, float]]] = field(default_factory=dict)

    def record_round_trip(self, zone: str, took: float) -> None:
        """A member of that zone answered a check after `took` ms, there and back."""
        if zone in self.topology.regions and took >= 0.0:
            self.answers.setdefault(zone, deque(maxlen=self.newest)).append(took)

    def measured(self) -> dict[str, float]:
        """One way to each zone that enough is known of, ms."""
        return {
            zone: round(max(self.floor, sorted(kept)[len(kept) // 2] / 2), 1)
            for zone, kept in sorted(self.answers.items())
            if len(kept) >= self.least and zone != self.zone
        }

    def receive(self, name: str, zone: str, row: Mapping[str, float]) -> None:
        """Another's row. What names no zone of these counts nowhere."""
        if zone in self.topology.regions and (name in self.reported or len(self.reported) < MOST_TELLERS):
            self.reported[name] = (
                zone,
                {
                    to: max(self.floor, cost)
                    for to, cost in row.items()
                    if to in self.topology.regions and 0.0 <= cost < 1e6
                },
            )

    def update(self, members: Iterable[str]) -> bool:
        """Bring the costs up to date by what those members and this one told; true if any changed."""
        live = set(members)
        self.reported = {name: one for name, one in self.reported.items() if name in live}
        said: dict[tuple[str, str], list[float]] = {}
        for zone, row in [*self.reported.values(), (self.zone, self.measured())]:
            for to, cost in row.items():
                if to != zone:
                    said.setdefault((min(zone, to), max(zone, to)), []).append(cost)
        changed = False
        for (one, other), costs in sorted(said.items()):
            middle, held = sorted(costs)[len(costs) // 2], self.topology.cost(one, other)
            if abs(middle - held) > self.off * held:
                self.topology.costs.pop((other, one), None)
                self.topology.costs[one, other] = middle
                changed = True
        return changed
