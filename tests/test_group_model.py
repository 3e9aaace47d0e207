"""Every order of what may happen to a few members, on the objects that run; each rule taken out is found."""

from dataclasses import replace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from sprucespool.emulator.explore import explore
from sprucespool.emulator.models import GroupWorld, SharesWorld, ViewWorld, of_kind
from sprucespool.fleet import Fleet, Word, records
from sprucespool.membership import Group, State, member_table
from sprucespool.membership.rows import Row
from sprucespool.membership.shares import Shares
from sprucespool.standin.views import Clinging, Deaf


def test_members_told_in_any_order_never_go_back_and_come_to_see_the_same():
    found = explore(of_kind(GroupWorld), 4)
    assert found.whole and found.states > 5_000 and found.wrong == "", found


@pytest.mark.parametrize(("of", "depth", "least"), [(2, 8, 100_000), (3, 5, 40_000)])
def test_parts_never_exceed_the_whole_in_any_order_of_leaving_starting_lending_and_losing(of, depth, least):
    found = explore(of_kind(SharesWorld, of=of), depth)
    assert found.whole and found.states > least and found.wrong == "", found


@settings(max_examples=150, deadline=None, derandomize=True, database=None)
@given(st.integers(2, 4), st.lists(st.integers(0, 10_000), max_size=30))
def test_long_ways_of_chance_come_to_nothing_wrong_either(members, picks):
    world = GroupWorld(members, told=6)
    for pick in picks:
        moves = list(world.moves())
        world.play(moves[pick % len(moves)])
    assert world.wrong() == ""


@settings(max_examples=300, deadline=None, derandomize=True, database=None)
@given(st.integers(2, 4), st.lists(st.integers(0, 10_000), max_size=40))
def test_parts_stay_within_the_whole_on_long_ways_of_chance(of, picks):
    world = SharesWorld(of, steps=12)
    for pick in picks:
        moves = list(world.moves())
        world.play(moves[pick % len(moves)])
        assert world.wrong() == ""


class Mute(Group):
    def _learn_about_self(self, now, row, reporter):
        return False


class SameAgain(Group):
    """Says that it lives without a higher incarnation."""

    def _learn_about_self(self, now, row, reporter):
        done = super()._learn_about_self(now, row, reporter)
        self.table.set_me(replace(self.me, incarnation=0))
        return done


class Deadly(Group):
    """Another's word of a death is a death, whoever lives to say otherwise, and its owner's word of life none."""

    def _learn(self, now, row, reporter):
        held = self.table.records.get(row.seat)
        if held is not None and held.row.start == row.start and held.row.state is State.DEAD:
            return False
        return super()._learn(now, row, reporter)


@pytest.mark.parametrize("kind", [Mute, SameAgain, Deadly])
def test_a_member_that_refutes_wrongly_is_found(kind):
    assert explore(of_kind(GroupWorld, kind=kind), 4).wrong


def last_told(one: Row, other: Row) -> Row:
    return other


def by_incarnation_alone(one: Row, other: Row) -> Row:
    return max(
        one, other, key=lambda row: (row.start, row.incarnation, row.state is not State.LEFT, row.state, row.version)
    )


@pytest.mark.parametrize("rule", [last_told, by_incarnation_alone])
def test_a_merge_that_is_no_join_is_found(rule, monkeypatch):
    monkeypatch.setattr(member_table, "merge", rule)
    assert explore(of_kind(GroupWorld), 4).wrong


class FromReceipt(Shares):
    """Counts a loan from when it came."""

    def accept_loan(self, now, request, number, start, share):
        if request in self.requested:
            self.requested[request] = now, *self.requested[request][1:]
        super().accept_loan(now, request, number, start, share)


class Hasty(Shares):
    """Uses its slot at once."""

    def _advance(self, now):
        self.ready = True
        super()._advance(now)


class Early(Shares):
    """Lends before it has ended."""

    def grant_loan(self, live):
        closed, self.closed = self.closed, True
        share = super().grant_loan(live)
        self.closed = closed
        return share


class Keeper(Shares):
    """Says that it holds nothing, and holds on."""

    def release(self, number, start):
        pass


class Generous(Shares):
    """Lends the whole slot to each."""

    def grant_loan(self, live):
        return 1.0 if self.closed else 0.0


class Undying(Shares):
    """Does not look at when a loan ends."""

    def accept_loan(self, now, request, number, start, share):
        super().accept_loan(now, request, number, start, share)
        for loan in self.borrowed.values():
            loan.expires_at = 1e9


@pytest.mark.parametrize(
    ("kind", "of"), [(FromReceipt, 2), (Hasty, 2), (Early, 3), (Keeper, 2), (Generous, 3), (Undying, 2)]
)
def test_a_holder_of_parts_without_one_rule_is_found(kind, of):
    def begun():
        world = SharesWorld(of, kind)
        for other in range(1, of) if kind is Generous else ():
            # Two that ask lie deep: the search begins where they have.
            for move in ((("close", 0),) if other == 1 else ()) + (("ask", other, 0),):
                world.play(move)
        return world

    found = explore(begun, 9, most=400_000)
    assert found.wrong, found


# The fleet's view


def test_a_process_told_to_be_over_is_never_used_again_whatever_comes_in_which_order():
    found = explore(lambda: ViewWorld(2), 6)
    assert found.whole and found.states > 2_000 and found.wrong == "", found


@settings(max_examples=150, deadline=None, derandomize=True, database=None)
@given(st.integers(2, 4), st.lists(st.integers(0, 10_000), max_size=30))
def test_the_view_on_long_ways_of_chance(controllers, picks):
    world = ViewWorld(controllers, told=5)
    for pick in picks:
        moves = list(world.moves())
        world.play(moves[pick % len(moves)])
        assert world.wrong() == ""


class TakesBack(Fleet):
    """A roster's row in service takes an earlier word back."""

    def _row(self, row, version, back):
        super()._row(row, version, back)
        record = self.view.records.get(row.process)
        if record is not None and not row.gone and row.listed == 0:
            self.view.records[row.process] = replace(record, words={})
            self._settle(row.process[0])


class OldWins(Fleet):
    """An old copy of a roster names who stands there."""

    def _row(self, row, version, back):
        super()._row(row, version, False)
        for record in self.view.at(row.process[0]):
            if record.process != row.process:
                self._say_word(record.process, Word(records.Course.GONE, version, self.source))


@pytest.mark.parametrize("kind", [Deaf, Clinging, TakesBack, OldWins])
def test_a_defect_in_the_rules_of_the_view_is_found(kind):
    found = explore(lambda: ViewWorld(2, kind), 6)
    assert found.wrong and len(found.way) <= 6, found


def test_a_join_that_goes_by_who_comes_last_is_found(monkeypatch):
    def last(one, other):
        return replace(other, words={**one.words, **other.words}, listings={**one.listings, **other.listings})

    monkeypatch.setattr("sprucespool.fleet.view.merged", last)
    monkeypatch.setattr("sprucespool.fleet.fleet.adds", lambda held, told: True)
    assert explore(lambda: ViewWorld(2), 6).wrong
