"""One controller's part in failover: its council, its planner while it leads, the plan that it follows. No I/O, no
clock.

Call `update_states` when the view of the zones changed, `receive` for each council message, `receive_renewal` for each
renewal that arrives with other messages, and `tick` when `due` is reached. `follow` gives the plan to use at any
moment: no inference waits for a decision.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from typing import ClassVar

from sprucespool.failover.council import Ballot, Council, CouncilLimits, CouncilMessage, Effect, Renewal
from sprucespool.failover.meter import Meter
from sprucespool.failover.plan import Plan, home_plan, plan_errors
from sprucespool.failover.planner import Planner, PlannerLimits, ZoneState, fallback_plan
from sprucespool.failover.topology import Topology
from sprucespool.failover.voter_selection import VoterSelection

CHECK_INTERVAL_MS = 500.0


@dataclass(frozen=True, slots=True)
class FailoverEvent:
    """`kind`: follows (a decided plan), alone (no decided plan: the fallback plan), leads, led (leads no more), refused
    (a received plan), seats (the voters changed)."""

    kind: str
    at: float
    epoch: tuple[int, int]
    why: str = ""


@dataclass(eq=False)
class Failover:
    """One controller's failover state machine. `voters`: names from the settings; `stored_ballot`: read from disk."""

    # Measures the own traffic for the reports to the others.
    meter_kind: ClassVar[type[Meter]] = Meter
    name: str
    topology: Topology
    voters: tuple[str, ...]
    stored_ballot: Ballot | None = None
    seed: int = 1
    council_limits: CouncilLimits = field(default_factory=CouncilLimits)
    planner_limits: PlannerLimits = field(default_factory=PlannerLimits)
    # A voter that is absent for this time in ms is replaced.
    replace_after: float = 30_000.0
    states: dict[str, ZoneState] = field(default_factory=dict)

    def __post_init__(self):
        self.council = Council(self.name, self.voters, self.seed, self.stored_ballot, self.council_limits)
        self.planner = Planner(self.topology, self.planner_limits)
        self.seating = VoterSelection(self.topology, len(self.voters), self.replace_after)
        # The zone of each member that may have a vote.
        self.member_zones: dict[str, str] = {}
        self.reported_voters = self.council.voters
        self.now, self.check_at = 0.0, 0.0
        self.leading, self.epoch = False, (0, 0)
        self.events: list[FailoverEvent] = []
        self._fallback: Plan | None = None

    # Inputs

    def update_states(self, now: float, states: Mapping[str, ZoneState]) -> None:
        self.now = max(self.now, now)
        self.states, self._fallback = dict(states), None

    def update_members(self, member_zones: Mapping[str, str]) -> None:
        """The zone of each member that is present, serves and takes part in failover, including this one."""
        self.member_zones = dict(member_zones)

    @property
    def requested_drains(self) -> frozenset[str]:
        """Zones that operators have drained, as far as this controller knows."""
        plan = self.council.plan
        return self.planner.drained if self.leading or plan is None else frozenset(plan.drained)

    def drain(self, zone: str, away: bool, force: bool = False) -> str:
        """At the leader: drains the zone for operators, or ends that (`away` false). Returns the reason of a refusal,
        where the other zones could not take the load."""
        if zone not in self.topology.regions:
            return f"no zone {zone}: expected one of {', '.join(self.topology.zones)}"
        zones = self.requested_drains | {zone} if away else self.requested_drains - {zone}
        if force or not away:
            self.planner.drained = zones
            return ""
        trial = Planner(self.topology, self.planner_limits, drained=zones)
        _, _, _, shed = trial.target(self.states)
        _, _, _, before = self.planner.target(self.states)
        additional = sum(shed.values()) - sum(before.values())
        if additional > 1e-6:
            return f"{additional:.1f} of the load would have to be shed: " + ", ".join(
                f"{amount:.1f} of {zone}" for zone, amount in sorted(shed.items())
            )
        self.planner.drained = zones
        return ""

    def receive(self, now: float, message: CouncilMessage) -> list[Effect]:
        self.now = max(self.now, now)
        if message.plan is not None and (errors := plan_errors(message.plan, self.topology)):
            self._event("refused", message.plan.epoch, f"{message.sender}: {errors[0]}")
            message = replace(message, plan=None)
        return self.council.receive(now, message)

    def receive_renewal(self, now: float, renewal: Renewal) -> None:
        self.now = max(self.now, now)
        if errors := plan_errors(renewal.plan, self.topology):
            return self._event("refused", renewal.plan.epoch, errors[0])
        self.council.learn(now, renewal)

    def due(self) -> float:
        return min(self.check_at, self.council.due())

    def tick(self, now: float) -> list[Effect]:
        self.now = now = max(self.now, now)
        effects = self.council.tick(now)
        leads = self.council.leads(now)
        if leads is not self.leading:
            self.leading = leads
            self._event("leads" if leads else "led", (self.council.ballot.term, 0))
            # The time of the last change in an own earlier term says nothing about changes by others since.
            self.planner.changed_at = now
            if leads and self.council.plan is not None:
                # Drains that operators requested from an earlier leader stay.
                self.planner.drained = frozenset(self.council.plan.drained)
        if now >= self.check_at:
            self.check_at = now + CHECK_INTERVAL_MS
            if leads and self.states:
                council_plan = self.council.plan
                before = council_plan if council_plan is not None else home_plan(self.topology.zones)
                new = self.planner.next(now, self.states, before)
                if new is not None or council_plan is None:
                    effects += self.council.propose(now, new if new is not None else before)
            if self.council.is_voter and self.member_zones:
                if not leads:
                    self.seating.watch(now, self.council.voters, self.member_zones)
                elif voters := self.seating.next(now, self.name, self.council.voters, self.member_zones):
                    effects += self.council.change_voters(now, voters)
        if self.council.voters != self.reported_voters:
            self.reported_voters = self.council.voters
            self._event("seats", self.council.voter_set.epoch, ", ".join(self.reported_voters))
        followed = self.council.in_force(now)
        epoch = followed.epoch if followed is not None else (0, 0)
        if epoch != self.epoch:
            self.epoch = epoch
            self._event(
                "follows" if followed is not None else "alone",
                epoch,
                followed.reason if followed is not None else "no plan in force is known",
            )
        return effects

    def _event(self, kind: str, epoch: tuple[int, int], why: str = ""):
        self.events.append(FailoverEvent(kind, self.now, epoch, why))

    # Outputs

    def follow(self, now: float) -> Plan:
        """The plan in force, or the fallback plan."""
        decided = self.council.in_force(now)
        if decided is not None:
            return decided
        # Computed once per update of the states, as each inference asks for it.
        if self._fallback is None:
            self._fallback = fallback_plan(self.topology, self.states)
        return self._fallback

    def take_events(self) -> list[FailoverEvent]:
        events, self.events = self.events, []
        return events
