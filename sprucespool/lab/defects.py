"""Seeded defects: each a build without one thing that an invariant rests on, for measuring what the search finds."""

from __future__ import annotations

from dataclasses import dataclass, replace

from sprucespool.emulator.hunt import Build
from sprucespool.failover import Failover, Plan, Seats, Tell
from sprucespool.failover.council import Ballot, Council, Effect, Word
from sprucespool.standin.members import MEMBERS
from sprucespool.standin.plans import PLANS, STEERS
from sprucespool.standin.views import VIEWS


class VotesTwice(Council):
    """A second vote in a term."""

    def _elect(self, now: float, word: Word) -> list[Effect]:
        if self.ballot.term == word.term:
            self.ballot = Ballot(word.term - 1, "", self.seats)
        return super()._elect(now, word)


class Minority(Council):
    """Leads with its own vote alone."""

    @property
    def majority(self) -> int:
        return 1

    def _quiet(self, now: float) -> bool:
        return True


class SameTerm(Council):
    """Takes the lead in the term that it knows instead of a new one."""

    def _lead(self, now: float) -> list[Effect]:
        effects = super()._lead(now)
        self._keep(replace(self.ballot, term=1, seats=Seats((1, 1), self.voters)))
        return [replace(one, word=replace(one.word, term=1)) if isinstance(one, Tell) else one for one in effects]


class Backwards(Council):
    """Takes whatever plan it hears last."""

    def _follow(self, now: float, word: Word) -> list[Effect]:
        effects = super()._follow(now, word)
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
            self.council = kind(held.name, self.voters, held.seed, held.kept, held.limits)

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
