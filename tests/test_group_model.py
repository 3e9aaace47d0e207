"""Exhaustive exploration of event orders for a few members, on the production classes; removed rules are detected."""

from dataclasses import replace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from sprucespool.emulator.explore import explore
from sprucespool.emulator.models import GroupWorld, SharesWorld, ViewWorld, world_factory
from sprucespool.fleet import CourseClaim, Fleet, records
from sprucespool.membership import Group, State, member_table
from sprucespool.membership.rows import Row
from sprucespool.membership.shares import Shares
from sprucespool.standin.views import Clinging, Deaf


def test_updates_in_any_order_never_regress_and_converge():
    found = explore(world_factory(GroupWorld), 4)
    assert found.complete and found.states > 5_000 and found.violation == "", found


@pytest.mark.parametrize(("of", "depth", "least"), [(2, 8, 100_000), (3, 5, 40_000)])
def test_shares_never_exceed_the_total_in_any_order_of_leaves_starts_loans_and_losses(of, depth, least):
    found = explore(world_factory(SharesWorld, of=of), depth)
    assert found.complete and found.states > least and found.violation == "", found


@settings(max_examples=150, deadline=None, derandomize=True, database=None)
@given(st.integers(2, 4), st.lists(st.integers(0, 10_000), max_size=30))
def test_long_random_paths_of_the_group_find_no_violation(members, picks):
    world = GroupWorld(members, max_messages=6)
    for pick in picks:
        moves = list(world.moves())
        world.play(moves[pick % len(moves)])
    assert world.violation() == ""


@settings(max_examples=300, deadline=None, derandomize=True, database=None)
@given(st.integers(2, 4), st.lists(st.integers(0, 10_000), max_size=40))
def test_long_random_paths_of_shares_stay_within_the_total(of, picks):
    world = SharesWorld(of, steps=12)
    for pick in picks:
        moves = list(world.moves())
        world.play(moves[pick % len(moves)])
        assert world.violation() == ""


class NeverRefutes(Group):
    def _learn_about_self(self, now, row, reporter):
        return False


class RefutesWithoutIncarnation(Group):
    """Refutes without raising its incarnation."""

    def _learn_about_self(self, now, row, reporter):
        done = super()._learn_about_self(now, row, reporter)
        self.table.set_me(replace(self.me, incarnation=0))
        return done


class DeathIsFinal(Group):
    """Takes a member held dead as dead for good, also if its owner refutes it."""

    def _learn(self, now, row, reporter):
        held = self.table.records.get(row.seat)
        if held is not None and held.row.start == row.start and held.row.state is State.DEAD:
            return False
        return super()._learn(now, row, reporter)


@pytest.mark.parametrize("kind", [NeverRefutes, RefutesWithoutIncarnation, DeathIsFinal])
def test_a_defect_in_refutation_is_found(kind):
    assert explore(world_factory(GroupWorld, kind=kind), 4).violation


def last_received(one: Row, other: Row) -> Row:
    return other


def by_incarnation_alone(one: Row, other: Row) -> Row:
    return max(
        one, other, key=lambda row: (row.start, row.incarnation, row.state is not State.LEFT, row.state, row.version)
    )


@pytest.mark.parametrize("rule", [last_received, by_incarnation_alone])
def test_a_merge_that_is_not_a_join_is_found(rule, monkeypatch):
    monkeypatch.setattr(member_table, "merge", rule)
    assert explore(world_factory(GroupWorld), 4).violation


class CountsFromReceipt(Shares):
    """Counts a loan from its arrival instead of its request."""

    def accept_loan(self, now, request, number, start, share):
        if request in self.requested:
            self.requested[request] = now, *self.requested[request][1:]
        super().accept_loan(now, request, number, start, share)


class UsesSlotAtOnce(Shares):
    """Uses its slot without waiting for old loans to expire."""

    def _advance(self, now):
        self.ready = True
        super()._advance(now)


class LendsBeforeEnd(Shares):
    """Lends its slot before it has stopped sending."""

    def grant_loan(self, live):
        closed, self.closed = self.closed, True
        share = super().grant_loan(live)
        self.closed = closed
        return share


class KeepsLoan(Shares):
    """Confirms that it holds no loan, but keeps it."""

    def release(self, number, start):
        pass


class LendsAllToEach(Shares):
    """Lends the whole slot to each requester."""

    def grant_loan(self, live):
        return 1.0 if self.closed else 0.0


class NeverExpires(Shares):
    """Never lets a loan expire."""

    def accept_loan(self, now, request, number, start, share):
        super().accept_loan(now, request, number, start, share)
        for loan in self.borrowed.values():
            loan.expires_at = 1e9


@pytest.mark.parametrize(
    ("kind", "of"),
    [
        (CountsFromReceipt, 2),
        (UsesSlotAtOnce, 2),
        (LendsBeforeEnd, 3),
        (KeepsLoan, 2),
        (LendsAllToEach, 3),
        (NeverExpires, 2),
    ],
)
def test_a_missing_rule_of_shares_is_found(kind, of):
    def started_world():
        world = SharesWorld(of, kind)
        for other in range(1, of) if kind is LendsAllToEach else ():
            # Two requests are deep in the search, so it starts after them.
            for move in ((("close", 0),) if other == 1 else ()) + (("ask", other, 0),):
                world.play(move)
        return world

    found = explore(started_world, 9, max_states=400_000)
    assert found.violation, found


# The fleet's view


def test_a_process_reported_as_ended_is_never_used_again_in_any_order():
    found = explore(lambda: ViewWorld(2), 6)
    assert found.complete and found.states > 2_000 and found.violation == "", found


@settings(max_examples=150, deadline=None, derandomize=True, database=None)
@given(st.integers(2, 4), st.lists(st.integers(0, 10_000), max_size=30))
def test_long_random_paths_of_the_view_find_no_violation(controllers, picks):
    world = ViewWorld(controllers, max_messages=5)
    for pick in picks:
        moves = list(world.moves())
        world.play(moves[pick % len(moves)])
        assert world.violation() == ""


class RevokesReports(Fleet):
    """A roster row in service revokes an earlier report."""

    def _row(self, row, version, outdated):
        super()._row(row, version, outdated)
        record = self.view.records.get(row.process)
        if record is not None and not row.gone and row.listed == 0:
            self.view.records[row.process] = replace(record, claims={})
            self._report_address(row.process[0])


class OldRosterWins(Fleet):
    """An old copy of a roster decides which process is at an address."""

    def _row(self, row, version, outdated):
        super()._row(row, version, False)
        for record in self.view.at(row.process[0]):
            if record.process != row.process:
                self._claim_course(record.process, CourseClaim(records.Course.GONE, version, self.source))


@pytest.mark.parametrize("kind", [Deaf, Clinging, RevokesReports, OldRosterWins])
def test_a_defect_in_the_rules_of_the_view_is_found(kind):
    found = explore(lambda: ViewWorld(2, kind), 6)
    assert found.violation and len(found.path) <= 6, found


def test_a_merge_where_the_last_one_wins_is_found(monkeypatch):
    def last(one, other):
        return replace(other, claims={**one.claims, **other.claims}, listings={**one.listings, **other.listings})

    monkeypatch.setattr("sprucespool.fleet.view.merged", last)
    monkeypatch.setattr("sprucespool.fleet.fleet.adds_information", lambda held, received: True)
    assert explore(lambda: ViewWorld(2), 6).violation
