"""A plan: for each zone of clients the shares of its traffic that go to each zone of invokers, and the caps of these.

Plain data with an epoch and a reason. The shares of a zone sum to at most 1; the rest is shed by the controllers of
that zone.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from sprucespool.failover.topology import Topology

Shares = dict[str, dict[str, float]]


@dataclass(frozen=True, slots=True)
class Plan:
    """`free` and `bound`: shares by zone of clients, then by zone of invokers; `bound` is traffic that must stay in its
    region. `caps`: the most that a zone may take, in the unit of load. `epoch` (term, number) orders plans; a plan of
    term 0 was decided by no leader."""

    epoch: tuple[int, int]
    free: Shares
    bound: Shares
    caps: dict[str, float] = field(default_factory=dict)
    reason: str = ""
    drained: tuple[str, ...] = ()

    def share(self, zone: str, to: str, bound: bool = False) -> float:
        return (self.bound if bound else self.free).get(zone, {}).get(to, 0.0)


def rounded(shares: Mapping[str, Mapping[str, float]], steps: int = 1000) -> Shares:
    """Shares rounded to whole steps, so that equal inputs make equal plans on any machine; the sum never exceeds 1."""
    result: Shares = {}
    for zone in sorted(shares):
        row = {to: int(share * steps + 0.5) for to, share in sorted(shares[zone].items())}
        excess = sum(row.values()) - steps
        while excess > 0:
            largest = max(row, key=lambda to: (row[to], to))
            row[largest] -= 1
            excess -= 1
        result[zone] = {to: share / steps for to, share in row.items() if share}
    return result


def home_plan(zones: Iterable[str], reason: str = "all near") -> Plan:
    """The default plan: all traffic stays in its own zone. Its epoch is (0, 0), so any decided plan replaces it."""
    home = {zone: {zone: 1.0} for zone in sorted(zones)}
    return Plan((0, 0), home, {zone: dict(row) for zone, row in home.items()}, {}, reason)


def distance(one: Shares, other: Shares) -> float:
    """The largest share of any zone's traffic that the other plan sends elsewhere."""
    worst = 0.0
    for zone in {*one, *other}:
        a, b = one.get(zone, {}), other.get(zone, {})
        worst = max(worst, sum(abs(a.get(to, 0.0) - b.get(to, 0.0)) for to in {*a, *b}) / 2)
    return worst


def plan_errors(plan: Plan, topology: Topology) -> list[str]:
    """The errors of a received plan: shares out of bounds, sums above 1, `bound` traffic that leaves its region,
    unknown zones. An empty list means that the plan can be followed."""
    errors = []
    for name, shares in (("free", plan.free), ("bound", plan.bound)):
        for zone, row in shares.items():
            if any(not 0 <= share <= 1 for share in row.values()) or sum(row.values()) > 1 + 1e-6:
                errors.append(f"{name} {zone}: expected shares from 0 to 1 with a sum of at most 1")
            errors += [f"{name} {zone}: unknown zone {to!r}" for to in (zone, *row) if to not in topology.regions]
            if name == "bound":
                errors += [
                    f"bound {zone}: {to} is in another region" for to in row if not topology.same_region(zone, to)
                ]
    errors += [f"cap {zone}: expected 0 or more" for zone, cap in plan.caps.items() if not 0 <= cap < 1e12]
    return errors
