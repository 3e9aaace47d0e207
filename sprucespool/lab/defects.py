"""Seeded defects: each a build without one thing that an invariant rests on, for measuring what the search finds."""

from __future__ import annotations

from dataclasses import dataclass, replace

from sprucespool.emulator.hunt import Build
from sprucespool.failover import Failover, Plan, SendToVoter, VoterSet
from sprucespool.failover.council import Ballot, Council, CouncilMessage, Effect
from sprucespool.standin.members import MEMBERS
from sprucespool.standin.plans import PLANS, STEERS
from sprucespool.standin.views import VIEWS


class VotesTwice(Council):
    """A second vote in a term."""

    def _on_vote(self, now: float, word: CouncilMessage) -> list[Effect]:
        if self.ballot.term == word.term:
            self.ballot = Ballot(word.term - 1, "", self.voter_set)
        return super()._on_vote(now, word)


class Minority(Council):
    """Leads with its own vote alone."""

    @property
    def majority(self) -> int:
        return 1

    def _no_leader_alive(self, now: float) -> bool:
        return True


class SameTerm(Council):
    """Takes the lead in the term that it knows instead of a new one."""

    def _become_leader(self, now: float) -> list[Effect]:
        effects = super()._become_leader(now)
        self._store_ballot(replace(self.ballot, term=1, voter_set=VoterSet((1, 1), self.voters)))
        return [
            replace(one, message=replace(one.message, term=1)) if isinstance(one, SendToVoter) else one
            for one in effects
        ]


class Backwards(Council):
    """Takes whatever plan it hears last."""

    def _on_beat(self, now: float, word: CouncilMessage) -> list[Effect]:
        effects = super()._on_beat(now, word)
        if word.plan is not None:
            self.decided, self.renewed_at = word.plan, now
        return effects


class Unheld(Council):
    """Has a plan in force before anybody else holds it."""

    def propose(self, now: float, plan: Plan) -> list[Effect]:
        effects = super().propose(now, plan)
        if self.role == "leader":
            self.decided, self.renewed_at = self.plan, now
        return effects


class Endless(Council):
    """Follows a plan that nobody renews."""

    def in_force(self, now: float) -> Plan | None:
        return self.decided


def _council(kind: type[Council]) -> type[Failover]:
    @dataclass(eq=False)
    class Odd(Failover):
        def __post_init__(self):
            super().__post_init__()
            held = self.council
            self.council = kind(held.name, self.voters, held.seed, held.stored_ballot, held.limits)

    return Odd


COUNCILS = {
    "council-votes-twice": VotesTwice,
    "council-minority": Minority,
    "council-same-term": SameTerm,
    "council-backwards": Backwards,
    "council-unheld": Unheld,
    "council-endless": Endless,
}
# Liars break nothing by themselves: the others have to bear with them.
DEFECTS: dict[str, Build] = {
    **{name: Build(member=kind) for name, kind in MEMBERS.items() if not name.endswith("liar")},
    **{name: Build(fleet=kind) for name, kind in VIEWS.items() if not name.endswith(("liar", "-d"))},
    **{name: Build(more={"kind": kind}) for name, kind in PLANS.items() if not name.endswith("liar")},
    **{name: Build(more={"steer": kind}) for name, kind in STEERS.items()},
    **{name: Build(more={"kind": _council(kind)}) for name, kind in COUNCILS.items()},
}
BUILDS = {"sound": Build(), **DEFECTS}
