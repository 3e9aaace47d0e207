"""Places demand on zones: as much as fits, at the least cost. Exact, small, without I/O.

A transport problem: zones of clients have demand, zones of invokers take load up to a cap. As much as possible is
placed (bound demand only within its region), at the least total cost, by shortest augmenting paths over the residual
network (a dozen zones take some hundred steps). What fits nowhere is reported as shed in the zone where it entered.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from sprucespool.failover.topology import Topology

EPSILON = 1e-9


@dataclass(frozen=True, slots=True)
class Demand:
    """The demand that enters a zone, in the unit of the caps. `bound`: the amount that must not leave the region."""

    free: float = 0.0
    bound: float = 0.0


@dataclass(frozen=True, slots=True)
class Placement:
    """`free` and `bound`: by (zone of clients, zone of invokers). `shed`: what fits nowhere, by zone of clients."""

    free: dict[tuple[str, str], float]
    bound: dict[tuple[str, str], float]
    shed: dict[str, float]


def place(demand: Mapping[str, Demand], caps: Mapping[str, float], topology: Topology) -> Placement:
    """`caps` by zone of invokers; no amount may be negative."""
    kinds = ("bound", "free")
    sources = [(zone, kind) for zone in sorted(demand) for kind in kinds if _amount(demand[zone], kind) > EPSILON]
    remaining = {source: _amount(demand[source[0]], source[1]) for source in sources}
    room = {zone: caps[zone] for zone in sorted(caps) if caps[zone] > EPSILON}
    costs = {
        (source, zone): topology.cost(source[0], zone)
        for source in sources
        for zone in room
        if source[1] == "free" or topology.same_region(source[0], zone)
    }
    flow: dict[tuple[tuple[str, str], str], float] = {}
    while True:
        found = _path(remaining, room, costs, flow)
        if found is None:
            break
        path, increase = found
        for source, zone, forward in path:
            amount = flow.get((source, zone), 0.0) + (increase if forward else -increase)
            if amount > EPSILON:
                flow[source, zone] = amount
            else:
                flow.pop((source, zone), None)
        remaining[path[0][0]] -= increase
        room[path[-1][1]] -= increase
    free = {(source[0], zone): amount for (source, zone), amount in flow.items() if source[1] == "free"}
    bound = {(source[0], zone): amount for (source, zone), amount in flow.items() if source[1] == "bound"}
    shed: dict[str, float] = {}
    for source, amount in remaining.items():
        if amount > 1e-6:
            shed[source[0]] = shed.get(source[0], 0.0) + amount
    return Placement(free, bound, shed)


def _amount(demand: Demand, kind: str) -> float:
    return demand.bound if kind == "bound" else demand.free


Source = tuple[str, str]
# (source, zone, whether the flow between them grows)
Step = tuple[Source, str, bool]


def _path(
    remaining: dict[Source, float],
    room: dict[str, float],
    costs: dict[tuple[Source, str], float],
    flow: dict[tuple[Source, str], float],
) -> tuple[list[Step], float] | None:
    """The cheapest augmenting path and the amount that it can carry: from a source with remaining demand, possibly over
    zones that hand load on to another, to a zone with room. Bellman-Ford, as residual costs may be negative."""
    at_source: dict[Source, tuple[float, list[Step]]] = {
        source: (0.0, []) for source, amount in remaining.items() if amount > EPSILON
    }
    at_zone: dict[str, tuple[float, list[Step]]] = {}
    for _ in range(2 * (len(remaining) + len(room))):
        changed = False
        for (source, zone), cost in costs.items():
            if source in at_source:
                cost_so_far, path = at_source[source]
                if zone not in at_zone or cost_so_far + cost < at_zone[zone][0] - EPSILON:
                    at_zone[zone] = cost_so_far + cost, [*path, (source, zone, True)]
                    changed = True
        for source, zone in flow:
            if zone in at_zone:
                cost_so_far, path = at_zone[zone]
                reverse_cost = cost_so_far - costs[source, zone]
                if source not in at_source or reverse_cost < at_source[source][0] - EPSILON:
                    at_source[source] = reverse_cost, [*path, (source, zone, False)]
                    changed = True
        if not changed:
            break
    candidates = [(cost, zone, path) for zone, (cost, path) in at_zone.items() if room[zone] > EPSILON]
    if not candidates:
        return None
    _, zone, path = min(candidates, key=lambda candidate: (candidate[0], candidate[1]))
    increase = min(
        [remaining[path[0][0]], room[zone], *(flow[source, via] for source, via, forward in path if not forward)]
    )
    return path, increase
