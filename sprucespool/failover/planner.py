"""Makes the next plan from the state of each zone: own zone first, other zones only as needed, few changes.

No I/O, no clock; the same inputs make the same plan. Three rules keep it stable: a plan stays while it is safe and the
better one does not differ by `min_change`; traffic returns to a recovered zone in steps bounded by the zone's capacity;
and a token bucket bounds the changes under any input, with the last few tokens reserved for urgent changes.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass, field, replace

from sprucespool.failover.plan import Plan, Shares, distance, home_plan, rounded
from sprucespool.failover.solver import Demand, Placement, place
from sprucespool.failover.topology import Topology


@dataclass(frozen=True, slots=True)
class ZoneState:
    """The estimated state of one zone, in one unit of load (busy cores). `now`: the capacity of its invokers at this
    moment; `warm`: their capacity when all that run are warm. `free`, `bound`: the demand of the clients that enter
    here."""

    zone: str
    now: float
    warm: float
    free: float = 0.0
    bound: float = 0.0
    # How far the capacity is trusted, 0 to 1: the zone is used with this share of it.
    trust: float = 1.0


@dataclass(frozen=True, slots=True)
class PlannerLimits:
    """Times in ms."""

    # The share of a zone's capacity that its own traffic may take, and up to which other zones' traffic may fill it.
    own_most: float = 0.85
    far_most: float = 0.85
    # Other zones' traffic fills all allowed zones up to the first level before any of them is filled beyond it, and so
    # on.
    fill_levels: tuple[float, ...] = (0.7, 0.78)
    # A plan changes only if at least this share of some zone's traffic moves.
    min_change: float = 0.05
    # Traffic returns to a recovered zone by at most this share of the zone's current capacity per step, with this time
    # between steps.
    return_step: float = 0.25
    return_interval: float = 3_000.0
    settle_time: float = 3_000.0
    # Token bucket of changes: one token per `token_interval`; `reserved_tokens` are for urgent changes only.
    max_tokens: int = 8
    token_interval: float = 3_750.0
    reserved_tokens: int = 2


@dataclass(slots=True, eq=False)
class Planner:
    """Call `next` with the states and the time; it returns a plan to propose, or None to keep the current one."""

    topology: Topology
    limits: PlannerLimits = field(default_factory=PlannerLimits)
    tokens: float = math.inf
    refilled_at: float = 0.0
    changed_at: float = -1e18
    changes: int = 0
    # Zones that operators have drained.
    drained: frozenset[str] = frozenset()

    def target(self, states: Mapping[str, ZoneState]) -> tuple[Shares, Shares, dict[str, float], dict[str, float]]:
        """(free, bound, caps, shed) if everything could be changed at once. Two rounds: each zone's own traffic may
        fill it to `own_most` of its capacity; then other zones' traffic only to `far_most`, so that there is room for
        the loss of one more zone."""
        limits = self.limits
        own: dict[str, tuple[float, float]] = {}
        remaining: dict[str, Demand] = {}
        room: dict[str, float] = {}
        for zone in self.topology.zones:
            state = states.get(zone, ZoneState(zone, 0.0, 0.0))
            usable = 0.0 if zone in self.drained else state.now * state.trust
            own_limit = usable * limits.own_most
            bound = min(state.bound, own_limit)
            free = min(state.free, own_limit - bound)
            own[zone] = free, bound
            remaining[zone] = Demand(state.free - free, state.bound - bound)
            room[zone] = max(0.0, usable * limits.far_most - free - bound)
        far = self._place_by_levels(
            remaining, dict(room), {zone: states[zone].now * states[zone].trust for zone in states}
        )
        frees: Shares = {}
        bounds: Shares = {}
        for zone in self.topology.zones:
            state = states.get(zone, ZoneState(zone, 0.0, 0.0))
            frees[zone] = _row(zone, own[zone][0], state.free, far.free)
            bounds[zone] = _row(zone, own[zone][1], state.bound, far.bound)
        caps = {zone: round(own[zone][0] + own[zone][1] + room[zone], 3) for zone in self.topology.zones}
        return rounded(frees), rounded(bounds), caps, far.shed

    def _place_by_levels(
        self, remaining: dict[str, Demand], room: dict[str, float], capacity: Mapping[str, float]
    ) -> Placement:
        """Places demand level by level: a zone is filled completely only when the others are filled well. Otherwise a
        burst there would have no room while other zones idle. Within a level the cost decides. If the levels would
        place less in total than a single pass, the single pass counts."""
        single_pass = place(remaining, room, self.topology)
        load = {zone: capacity.get(zone, 0.0) * self.limits.far_most - room[zone] for zone in room}
        free: dict[tuple[str, str], float] = {}
        bound: dict[tuple[str, str], float] = {}
        for level in (*self.limits.fill_levels, self.limits.far_most):
            usable = {zone: min(room[zone], max(0.0, capacity.get(zone, 0.0) * level - load[zone])) for zone in room}
            result = place(remaining, usable, self.topology)
            for total, placed in ((free, result.free), (bound, result.bound)):
                for pair, amount in placed.items():
                    total[pair] = total.get(pair, 0.0) + amount
                    room[pair[1]] -= amount
                    load[pair[1]] += amount
            remaining = {
                zone: Demand(
                    demand.free - sum(amount for (one, _), amount in result.free.items() if one == zone),
                    demand.bound - sum(amount for (one, _), amount in result.bound.items() if one == zone),
                )
                for zone, demand in remaining.items()
            }
        levelled = Placement(free, bound, result.shed)
        return levelled if sum(result.shed.values()) <= sum(single_pass.shed.values()) + 1e-6 else single_pass

    def next(self, now: float, states: Mapping[str, ZoneState], plan: Plan) -> Plan | None:
        """`plan` is the one in force; the returned plan has its epoch, and the council assigns the new one."""
        self._refill_tokens(now)
        free, bound, caps, shed = self.target(states)
        overloaded = self._overloaded(states, plan)
        target = (
            self._limit_steps(now, states, plan, free, overloaded),
            self._limit_steps(now, states, plan, bound, overloaded, True),
        )
        change = max(distance(target[0], plan.free), distance(target[1], plan.bound))
        drains_changed = tuple(sorted(self.drained)) != plan.drained
        if change < self.limits.min_change and not drains_changed and not (overloaded and change > 1e-3):
            return None
        # Shedding traffic that has room again is as urgent as an overload.
        less_shed = _shed_share(states, plan.free, plan.bound) - _shed_share(states, *target)
        urgent = bool(overloaded) or drains_changed or less_shed > self.limits.min_change
        if not urgent and now - self.changed_at < self.limits.settle_time:
            return None
        if self.tokens < 1.0 or not urgent and self.tokens < 1.0 + self.limits.reserved_tokens:
            return None
        self.tokens -= 1.0
        self.changed_at = now
        self.changes += 1
        reason = self._reason(states, plan, overloaded, shed, drains_changed)
        return replace(
            plan, free=target[0], bound=target[1], caps=caps, reason=reason, drained=tuple(sorted(self.drained))
        )

    def _refill_tokens(self, now: float):
        gained = max(0.0, now - self.refilled_at) / self.limits.token_interval
        self.refilled_at = max(self.refilled_at, now)
        self.tokens = min(float(self.limits.max_tokens), self.tokens + gained)

    def _overloaded(self, states: Mapping[str, ZoneState], plan: Plan) -> list[str]:
        """Zones that get more load by the plan in force than they can take now."""
        load = {**dict.fromkeys(self.topology.zones, 0.0), **zone_loads(states, plan)}
        capacity = {zone: state.now * state.trust for zone, state in states.items() if zone not in self.drained}
        return [zone for zone in self.topology.zones if load[zone] > 1e-6 and load[zone] > capacity.get(zone, 0.0)]

    def _limit_steps(
        self,
        now: float,
        states: Mapping[str, ZoneState],
        plan: Plan,
        target: Shares,
        overloaded: list[str],
        bound: bool = False,
    ) -> Shares:
        """Traffic leaves an overloaded zone at once, but returns to its home zone in steps."""
        current = plan.bound if bound else plan.free
        result: Shares = {}
        for zone in target:
            row, before = dict(target[zone]), current.get(zone, {})
            gain = row.get(zone, 0.0) - before.get(zone, 0.0)
            state = states.get(zone)
            if gain > 1e-9 and before and state is not None:
                demand = state.bound if bound else state.free
                too_early = now - self.changed_at < self.limits.return_interval
                step = 0.0 if too_early else self.limits.return_step * state.now / max(demand, 1e-9)
                # Traffic that was shed comes from no other zone, so no warm copies elsewhere are lost by it.
                step += max(0.0, 1.0 - sum(before.values()))
                if step < gain and not any(to in overloaded for to in before if to != zone):
                    # The remainder stays where it is, up to its current share there.
                    row[zone] = before.get(zone, 0.0) + step
                    remainder = 1.0 - row[zone] - sum(share for to, share in row.items() if to != zone)
                    for to, share in sorted(before.items(), key=lambda item: -item[1]):
                        extra = min(remainder, max(0.0, share - row.get(to, 0.0))) if to != zone else 0.0
                        if extra > 0:
                            row[to] = row.get(to, 0.0) + extra
                            remainder -= extra
            result[zone] = row
        return rounded(result)

    def _reason(
        self,
        states: Mapping[str, ZoneState],
        plan: Plan,
        overloaded: list[str],
        shed: Mapping[str, float],
        drains_changed: bool,
    ) -> str:
        parts = []
        if drains_changed:
            parts.append(f"drained: {', '.join(sorted(self.drained)) or 'none'}")
        if overloaded:
            parts.append(f"over their capacity: {', '.join(overloaded)}")
        if shed:
            parts.append("no room for " + ", ".join(f"{amount:.1f} of {zone}" for zone, amount in sorted(shed.items())))
        return "; ".join(parts) or "nearer, or safer, by a step"


def _shed_share(states: Mapping[str, ZoneState], free: Shares, bound: Shares) -> float:
    """The share of all demand that is shed."""
    demand = shed = 0.0
    for zone, state in states.items():
        for amount, shares in ((state.free, free), (state.bound, bound)):
            demand += amount
            shed += amount * max(0.0, 1.0 - sum(shares.get(zone, {zone: 1.0}).values()))
    return shed / demand if demand > 0 else 0.0


def zone_loads(states: Mapping[str, ZoneState], plan: Plan) -> dict[str, float]:
    """The load of each zone of invokers by a plan, in cores."""
    load = dict.fromkeys(states, 0.0)
    for zone, state in states.items():
        for amount, shares in ((state.free, plan.free), (state.bound, plan.bound)):
            for to, share in shares.get(zone, {}).items():
                load[to] = load.get(to, 0.0) + amount * share
    return load


def _row(zone: str, own: float, demand: float, far: Mapping[tuple[str, str], float]) -> dict[str, float]:
    if demand <= 1e-9:
        return {zone: 1.0}
    row = {zone: own / demand} if own > 0 else {}
    for (source, to), amount in far.items():
        if source == zone:
            row[to] = row.get(to, 0.0) + amount / demand
    return row


def fallback_plan(
    topology: Topology, states: Mapping[str, ZoneState], max_fill: float = 0.85, share: float = 0.5
) -> Plan:
    """The plan of a controller without a decided one: traffic stays in its own zone. What does not fit goes to the
    other zones of the region, up to the given `share` of their visible room, as controllers that are not visible may
    want the same room. No zone is emptied for it, and nothing leaves the region. The remainder is shed."""
    plan = home_plan(topology.zones, "alone: near, bounded spill")
    free: Shares = {}
    for zone in topology.zones:
        state = states.get(zone)
        demand = 0.0 if state is None else state.free + state.bound
        if state is None or demand <= 0.0 or demand <= state.now:
            free[zone] = {zone: 1.0}
            continue
        room = {
            to: max(0.0, states[to].now * max_fill - states[to].free - states[to].bound)
            for to in topology.zones
            if to != zone and to in states and topology.same_region(zone, to)
        }
        spill = min(demand - state.now, share * sum(room.values()))
        row = {to: spill / demand * zone_room / sum(room.values()) for to, zone_room in room.items() if zone_room > 0}
        # A zone without capacity keeps nothing; one with too little keeps all that does not spill over.
        free[zone] = {**({zone: 1.0 - spill / demand} if state.now > 0 else {}), **row}
    shares = rounded(free)
    return replace(plan, free=shares, bound={zone: dict(row) for zone, row in shares.items()})
