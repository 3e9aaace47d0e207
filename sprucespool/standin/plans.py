"""Broken builds of failover, each without one thing that an invariant rests on. For proving the checker only."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, replace

from sprucespool.emulator.liars import LyingMeter
from sprucespool.failover import Failover, Plan, Planner, Renewal, Steer, ZoneState
from sprucespool.failover.council import Council, CouncilMessage, Effect


class Unnumbered(Council):
    """(a) A leader changes its plan under the number that it had, and followers take it."""

    def propose(self, now: float, plan: Plan) -> list[Effect]:
        effects = super().propose(now, plan)
        if self.plan is not None and self.plan.epoch[1] > 1:
            self.plan = self.decided = replace(self.plan, epoch=(self.plan.epoch[0], 1))
        return effects

    def _on_beat(self, now: float, word: CouncilMessage) -> list[Effect]:
        if word.plan is not None:
            self.plan = word.plan
        return super()._on_beat(now, word)

    def learn(self, now: float, told: Renewal) -> bool:
        if self.decided is not None and told.plan.epoch == self.decided.epoch:
            self.decided = told.plan
        return super().learn(now, told)


@dataclass(eq=False)
class OneNumber(Failover):
    """(a)"""

    def __post_init__(self):
        super().__post_init__()
        council = self.council
        self.council = Unnumbered(council.name, council.voters, council.seed, council.stored_ballot, council.limits)


class Crowding(Steer):
    """(b) What has to leave its zone goes to one other, whatever that can take."""

    def _weights(self, row: Mapping[str, float], bound: bool) -> dict[str, float]:
        return {self.topology.zones[-1]: 1.0}


class Straying(Steer):
    """(c) Every zone is as good as the own one."""

    def _weights(self, row: Mapping[str, float], bound: bool) -> dict[str, float]:
        return dict.fromkeys(self._reachable(bound), 1.0)


class Leaking(Steer):
    """(d) What must stay in its region goes where all else goes."""

    def zones(self, now: float, plan: Plan, bound: bool, value: float) -> tuple[str, ...]:
        return super().zones(now, replace(plan, bound=plan.free), False, value)


class Restless(Planner):
    """(e) Another plan with each look."""

    def next(self, now: float, states: Mapping[str, ZoneState], plan: Plan) -> Plan | None:
        return replace(plan, reason=f"as of {now:.0f}")


@dataclass(eq=False)
class Fidgeting(Failover):
    """(e)"""

    def __post_init__(self):
        super().__post_init__()
        self.planner = Restless(self.topology, self.planner_limits)


@dataclass(eq=False)
class Unled(Failover):
    """(f) Who has no vote takes nobody's plan."""

    def receive_renewal(self, now: float, told: Renewal) -> None:
        pass


@dataclass(eq=False)
class Liar(Failover):
    """Breaks nothing by itself: the others have to bear with it."""

    meter_kind = LyingMeter


PLANS: dict[str, type[Failover]] = {
    "failover-a": OneNumber,
    "failover-e": Fidgeting,
    "failover-f": Unled,
    "failover-liar": Liar,
}
STEERS: dict[str, type[Steer]] = {"failover-b": Crowding, "failover-c": Straying, "failover-d": Leaking}
