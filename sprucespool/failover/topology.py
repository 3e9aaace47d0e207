"""Regions, zones, and what it costs to send from one to another. Plain data."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from sprucespool.settings.controller import Distance, ZonePlace


@dataclass(frozen=True, slots=True)
class Topology:
    """`regions`: of each zone. `costs` between two different zones, in ms one way or whatever the operator counts in;
    what is not given costs `near` within a region and `far` beyond it."""

    regions: dict[str, str]
    costs: dict[tuple[str, str], float] = field(default_factory=dict)
    same_region_cost: float = 1.0
    other_region_cost: float = 10.0

    @classmethod
    def of(cls, zones: Iterable[ZonePlace], distances: Iterable[Distance]) -> Topology:
        """As the operators' files tell it."""
        return cls({one.zone: one.region for one in zones}, {(one.one, one.other): one.cost for one in distances})

    @property
    def zones(self) -> list[str]:
        return sorted(self.regions)

    def cost(self, one: str, other: str) -> float:
        """Nothing within a zone, and always more than that to another."""
        if one == other:
            return 0.0
        known_cost = self.costs.get((one, other), self.costs.get((other, one)))
        if known_cost is None:
            known_cost = (
                self.same_region_cost if self.regions.get(one) == self.regions.get(other) else self.other_region_cost
            )
        return max(known_cost, 1e-3)

    def same_region(self, one: str, other: str) -> bool:
        return one == other or self.regions.get(one, one) == self.regions.get(other, other)
