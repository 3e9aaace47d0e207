"""Broken builds of failover, each without one property that an invariant needs. Used only to test the checker."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, replace

from sprucespool.emulator.liars import LyingMeter
from sprucespool.failover import Failover, Plan, Planner, Renewal, Steer, ZoneState
from sprucespool.failover.council import Council, CouncilMessage, Effect


class ReusedEpochCouncil(Council):
    """(a) A leader changes its plan without a new epoch, and followers accept it."""

    def propose(self, now: float, plan: Plan) -> list[Effect]:
        effects = super().propose(now, plan)
        if self.plan is not None and self.plan.epoch[1] > 1:
            self.plan = self.decided = replace(self.plan, epoch=(self.plan.epoch[0], 1))
        return effects

    def _on_beat(self, now: float, word: CouncilMessage) -> list[Effect]:
        if word.plan is not None:
            self.plan = word.plan
        return super()._on_beat(now, word)

    def learn(self, now: float, renewal: Renewal) -> bool:
        if self.decided is not None and renewal.plan.epoch == self.decided.epoch:
            self.decided = renewal.plan
        return super().learn(now, renewal)


@dataclass(eq=False)
class ReusedEpochFailover(Failover):
    """(a) Failover with a council that reuses epochs."""

    def __post_init__(self):
        super().__post_init__()
        council = self.council
        self.council = ReusedEpochCouncil(
            council.name, council.voters, council.seed, council.stored_ballot, council.limits
        )


class SingleTargetSteer(Steer):
    """(b) All traffic that leaves its zone goes to one other zone, regardless of the capacity there."""

    def _weights(self, row: Mapping[str, float], bound: bool) -> dict[str, float]:
        return {self.topology.zones[-1]: 1.0}


class NoLocalitySteer(Steer):
    """(c) Gives the own zone no preference over the others."""

    def _weights(self, row: Mapping[str, float], bound: bool) -> dict[str, float]:
        return dict.fromkeys(self._reachable(bound), 1.0)


class IgnoredBoundsSteer(Steer):
    """(d) Sends traffic that must stay in its region to any zone."""

    def zones(self, now: float, plan: Plan, bound: bool, value: float) -> tuple[str, ...]:
        return super().zones(now, replace(plan, bound=plan.free), False, value)


class AlwaysNewPlanner(Planner):
    """(e) Makes another plan with each check."""

    def next(self, now: float, states: Mapping[str, ZoneState], plan: Plan) -> Plan | None:
        return replace(plan, reason=f"as of {now:.0f}")


@dataclass(eq=False)
class AlwaysNewPlanFailover(Failover):
    """(e) Failover with a planner that always makes another plan."""

    def __post_init__(self):
        super().__post_init__()
        self.planner = AlwaysNewPlanner(self.topology, self.planner_limits)


@dataclass(eq=False)
class IgnoredLeaderFailover(Failover):
    """(f) A controller without a vote accepts no plan."""

    def receive_renewal(self, now: float, renewal: Renewal) -> None:
        pass


@dataclass(eq=False)
class Liar(Failover):
    """Reports a false load of its zone. Breaks no invariant itself; the others must tolerate it."""

    meter_kind = LyingMeter


PLANS: dict[str, type[Failover]] = {
    "failover-a": ReusedEpochFailover,
    "failover-e": AlwaysNewPlanFailover,
    "failover-f": IgnoredLeaderFailover,
    "failover-liar": Liar,
}
STEERS: dict[str, type[Steer]] = {
    "failover-b": SingleTargetSteer,
    "failover-c": NoLocalitySteer,
    "failover-d": IgnoredBoundsSteer,
}
