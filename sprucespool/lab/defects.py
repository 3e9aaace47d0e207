"""Seeded defects: builds that each lack one thing an invariant depends on, to measure what the fault search finds."""

from __future__ import annotations

from dataclasses import dataclass, replace

from sprucespool.emulator.hunt import Build
from sprucespool.failover import Failover, Plan, SendToVoter, VoterSet
from sprucespool.failover.council import Ballot, Council, CouncilMessage, Effect
from sprucespool.standin.members import MEMBERS
from sprucespool.standin.plans import PLANS, STEERS
from sprucespool.standin.views import VIEWS


class VotesTwice(Council):
    """Votes a second time in a term."""

    def _on_vote(self, now: float, word: CouncilMessage) -> list[Effect]:
        if self.ballot.term == word.term:
            self.ballot = Ballot(word.term - 1, "", self.voter_set)
        return super()._on_vote(now, word)


class MinorityLeader(Council):
    """Leads with only its own vote."""

    @property
    def majority(self) -> int:
        return 1

    def _no_leader_alive(self, now: float) -> bool:
        return True


class SameTerm(Council):
    """Becomes leader in the current term instead of a new one."""

    def _become_leader(self, now: float) -> list[Effect]:
        effects = super()._become_leader(now)
        self._store_ballot(replace(self.ballot, term=1, voter_set=VoterSet((1, 1), self.voters)))
        return [
            replace(effect, message=replace(effect.message, term=1)) if isinstance(effect, SendToVoter) else effect
            for effect in effects
        ]


class AdoptsOlderPlan(Council):
    """Adopts the last plan it received, even an older one."""

    def _on_beat(self, now: float, word: CouncilMessage) -> list[Effect]:
        effects = super()._on_beat(now, word)
        if word.plan is not None:
            self.decided, self.renewed_at = word.plan, now
        return effects


class UnheldPlan(Council):
    """Puts a plan into force before any other voter holds it."""

    def propose(self, now: float, plan: Plan) -> list[Effect]:
        effects = super().propose(now, plan)
        if self.role == "leader":
            self.decided, self.renewed_at = self.plan, now
        return effects


class EndlessPlan(Council):
    """Follows a plan forever, although nobody renews it."""

    def in_force(self, now: float) -> Plan | None:
        return self.decided


def _with_council(kind: type[Council]) -> type[Failover]:
    @dataclass(eq=False)
    class DefectiveFailover(Failover):
        def __post_init__(self):
            super().__post_init__()
            original = self.council
            self.council = kind(original.name, self.voters, original.seed, original.stored_ballot, original.limits)

    return DefectiveFailover


COUNCILS = {
    "council-votes-twice": VotesTwice,
    "council-minority": MinorityLeader,
    "council-same-term": SameTerm,
    "council-backwards": AdoptsOlderPlan,
    "council-unheld": UnheldPlan,
    "council-endless": EndlessPlan,
}
# Builds that lie are left out: they break no invariant themselves, the other members have to tolerate them.
DEFECTS: dict[str, Build] = {
    **{name: Build(member=kind) for name, kind in MEMBERS.items() if not name.endswith("liar")},
    **{name: Build(fleet=kind) for name, kind in VIEWS.items() if not name.endswith(("liar", "-d"))},
    **{name: Build(more={"kind": kind}) for name, kind in PLANS.items() if not name.endswith("liar")},
    **{name: Build(more={"steer": kind}) for name, kind in STEERS.items()},
    **{name: Build(more={"kind": _with_council(kind)}) for name, kind in COUNCILS.items()},
}
BUILDS = {"sound": Build(), **DEFECTS}
