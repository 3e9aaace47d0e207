"""Regions, zones, and the cost of sending from one zone to another. Plain data."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from sprucespool.settings.controller import Distance, ZonePlace


@dataclass(frozen=True, slots=True)
class Topology:
    """`regions`: the region of each zone. `costs`: between two different zones, in ms one way or in any unit that the
    operator chooses. A pair without a cost costs `same_region_cost` within a region, else `other_region_cost`."""

    regions: dict[str, str]
    costs: dict[tuple[str, str], float] = field(default_factory=dict)
    same_region_cost: float = 1.0
    other_region_cost: float = 10.0

    @classmethod
    def of(cls, zones: Iterable[ZonePlace], distances: Iterable[Distance]) -> Topology:
        """The topology that the operator's settings describe."""
        return cls({one.zone: one.region for one in zones}, {(one.one, one.other): one.cost for one in distances})

    @property
    def zones(self) -> list[str]:
        return sorted(self.regions)

    def cost(self, one: str, other: str) -> float:
        """0 within a zone; always more than 0 to another zone."""
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
