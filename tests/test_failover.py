"""Failover: what goes where against an exact solver, plans that change seldom, and how one is decided in common."""

from dataclasses import replace

import networkx
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from sprucespool.emulator.explore import explore
from sprucespool.emulator.models import CouncilWorld
from sprucespool.failover import (
    Asked,
    Ballot,
    Council,
    CouncilLimits,
    Keep,
    Plan,
    Planner,
    PlannerLimits,
    Renewal,
    Seating,
    Seats,
    Tell,
    Topology,
    Word,
    carries,
    ZoneState,
    distance,
    faults,
    near,
    place,
    rounded,
    safe,
)

FAST = settings(max_examples=200, deadline=None, derandomize=True, database=None)
SIX = Topology({f"{region}{n}": region for region in "abc" for n in (1, 2)}, {("a1", "b1"): 5.0, ("a1", "c1"): 7.0})
AMOUNT = st.integers(0, 40)


@FAST
@given(
    st.dictionaries(st.sampled_from(SIX.zones), st.tuples(AMOUNT, AMOUNT), max_size=6),
    st.dictionaries(st.sampled_from(SIX.zones), AMOUNT, max_size=6),
)
def test_as_much_is_placed_as_can_be_at_the_least_cost_and_what_is_bound_stays(asked, caps):
    found = place({zone: Asked(free, bound) for zone, (free, bound) in asked.items()}, caps, SIX)
    graph = networkx.DiGraph()
    graph.add_node("from"), graph.add_node("to")
    for zone, amounts in asked.items():
        for kind, amount in zip(("free", "bound"), amounts, strict=True):
            graph.add_edge("from", (zone, kind), capacity=amount, weight=0)
            for other in caps:
                if kind == "free" or SIX.same_region(zone, other):
                    graph.add_edge((zone, kind), other, weight=int(1000 * SIX.cost(zone, other)))
    for zone, cap in caps.items():
        graph.add_edge(zone, "to", capacity=cap, weight=0)
    exact = networkx.max_flow_min_cost(graph, "from", "to")
    most = sum(exact["from"].values())
    placed = sum(found.free.values()) + sum(found.bound.values())
    assert placed == pytest.approx(most, abs=1e-5)
    assert sum(found.shed.values()) == pytest.approx(sum(map(sum, asked.values())) - most, abs=1e-5)
    cost = sum(SIX.cost(*pair) * amount for flows in (found.free, found.bound) for pair, amount in flows.items())
    assert 1000 * cost == pytest.approx(networkx.cost_of_flow(graph, exact), abs=0.1)
    for zone in caps:
        assert (
            sum(amount for flows in (found.free, found.bound) for (_, to), amount in flows.items() if to == zone)
            <= caps[zone] + 1e-6
        )
    assert all(SIX.same_region(*pair) for pair in found.bound)


SHARES = st.dictionaries(
    st.sampled_from(SIX.zones),
    st.dictionaries(st.sampled_from(SIX.zones), st.floats(0, 1), min_size=1, max_size=6).map(
        lambda row: {to: part / max(1.0, sum(row.values())) for to, part in row.items()}
    ),
    max_size=6,
)


@FAST
@given(SHARES)
def test_shares_in_whole_steps_stay_close_and_never_above_one(shares):
    found = rounded(shares)
    assert rounded(found) == found and distance(found, shares) < 0.01
    assert faults(Plan((1, 1), found, {}), SIX) == []


def states(**over):
    found = {zone: ZoneState(zone, 20.0, 20.0, 9.0, 1.0) for zone in SIX.zones}
    return {**found, **{zone: replace(found[zone], **told) for zone, told in over.items()}}


def test_with_all_well_everybody_stays_at_home_and_no_plan_changes():
    planner, plan = Planner(SIX), near(SIX.zones)
    assert all(planner.next(1_000.0 * n, states(), plan) is None for n in range(60))


def test_a_lost_zone_goes_to_its_region_first_as_far_as_that_is_safe_and_bound_work_never_leaves_it():
    planner = Planner(SIX)
    plan = planner.next(0.0, states(a1={"now": 0.0, "warm": 0.0}), near(SIX.zones))
    assert plan.part("a1", "a1") == 0.0 and plan.part("a1", "a2", bound=True) == 1.0
    load = carries(states(), plan)
    assert load["a2"] <= 15.0 + 0.1, "no zone is handed more than leaves room for one more loss"
    assert plan.part("a1", "b1") > 0 and plan.part("a1", "b2") == 0, "then the nearest zone of another region"
    assert "a1" in plan.reason and faults(plan, SIX) == []


def test_what_fits_nowhere_is_shed_near_and_said():
    planner = Planner(SIX)
    full = states(**{**{zone: {"free": 19.0} for zone in SIX.zones}, "a1": {"free": 19.0, "now": 0.0, "warm": 0.0}})
    plan = planner.next(0.0, full, near(SIX.zones))
    assert sum(plan.free["a1"].values()) < 0.01 and "no room" in plan.reason
    alone = safe(SIX, full)
    assert alone.part("a1", "a2") == 0.0 and alone.part("a1", "a1") == 0.0 and alone.part("a2", "a2") == 1.0
    assert alone.epoch == (0, 0) and faults(alone, SIX) == []
    # Half of the 7 cores that the region's other zone seems to have free, for the 10 asked; none beyond the region.
    alone = safe(SIX, states(a1={"now": 0.0, "warm": 0.0}))
    assert alone.free["a1"] == {"a2": pytest.approx(0.35)} == alone.bound["a1"] and faults(alone, SIX) == []
    short = safe(SIX, states(a1={"now": 8.0}))
    assert short.free["a1"] == {"a1": pytest.approx(0.8), "a2": pytest.approx(0.2)}


def test_a_zone_that_comes_back_cold_gets_its_traffic_in_steps_bound_to_what_it_can_take():
    planner, plan, now = Planner(SIX), near(SIX.zones), 0.0
    plan = planner.next(now, states(a1={"now": 0.0, "warm": 0.0}), plan)
    at_home = []
    for second in range(40):
        now = 1_000.0 * (second + 1)
        capacity = min(20.0, 5.0 + second)
        new = planner.next(now, states(a1={"now": capacity, "warm": 20.0}), plan)
        plan = new or plan
        at_home.append(plan.part("a1", "a1"))
        assert 9.0 * plan.part("a1", "a1") <= capacity
    steps = [b - a for a, b in zip([0.0, *at_home], at_home, strict=False)]
    assert at_home[-1] > 0.95 and max(steps) < 0.6 and sum(step > 0 for step in steps) >= 3
    assert at_home == sorted(at_home)


@FAST
@given(st.lists(st.tuples(st.sampled_from(SIX.zones), AMOUNT, AMOUNT), min_size=30, max_size=120))
def test_changes_a_minute_are_bounded_under_any_input(draws):
    planner, plan, changed = Planner(SIX), near(SIX.zones), []
    found = states()
    for n, (zone, capacity, asked) in enumerate(draws):
        found = {**found, zone: ZoneState(zone, float(capacity), 40.0, float(asked), 1.0)}
        new = planner.next(500.0 * n, found, plan)
        if new is not None:
            changed.append(500.0 * n)
            plan = new
            assert faults(plan, SIX) == []
    limits = PlannerLimits()
    for at in changed:
        within = sum(at - 60_000.0 < other <= at for other in changed)
        assert within <= limits.bucket + 60_000.0 / limits.refill


def test_a_drained_zone_is_emptied_and_told_plans_that_cannot_be_are_named():
    planner = Planner(SIX, drained=frozenset({"b1"}))
    plan = planner.next(0.0, states(), near(SIX.zones))
    assert carries(states(), plan)["b1"] == 0 and plan.drained == ("b1",) and "drained: b1" in plan.reason
    for bad in (
        Plan((1, 1), {"a1": {"a1": 1.5}}, {}),
        Plan((1, 1), {"a1": {"x": 0.5}}, {}),
        Plan((1, 1), {}, {"a1": {"b1": 1.0}}),
        Plan((1, 1), {}, {}, {"a1": -1.0}),
    ):
        assert len(faults(bad, SIX)) == 1


# Decided in common


class Rig:
    """Councils in virtual time: words take some ms; cut, stopped and restarted ones."""

    def __init__(self, voters=5, others=3, **over):
        self.names = tuple(f"v{n}" for n in range(voters))
        self.limits = CouncilLimits(**over)
        self.disks = {}
        self.now, self.air, self.cut, self.still = 0.0, [], set(), set()
        self.councils = {name: self.new(name) for name in self.names}
        self.followers = [Council(f"f{n}", self.names, limits=self.limits) for n in range(others)]
        self.log = []

    def new(self, name):
        return Council(name, self.names, int(name[1:]) + 1, self.disks.get(name, Ballot()), self.limits)

    def reaches(self, one, other):
        return not ((one in self.cut) ^ (other in self.cut))

    def do(self, name, effects):
        for effect in effects:
            if isinstance(effect, Keep):
                self.disks[name] = effect.ballot
            elif isinstance(effect, Tell) and self.reaches(name, effect.to):
                self.air.append((self.now + 20.0, effect.to, effect.word))

    def run(self, span):
        end = self.now + span
        while self.now < end:
            self.now += 10.0
            due = [item for item in self.air if item[0] <= self.now and item[1] not in self.still]
            self.air = [item for item in self.air if item not in due]
            for _, to, word in due:
                if self.reaches(word.sender, to):
                    self.do(to, self.councils[to].heard(self.now, word))
            for name, one in self.councils.items():
                if name not in self.still:
                    self.do(name, one.tick(self.now))
            for follower in self.followers:
                told = self.councils[self.names[int(self.now / 10) % len(self.names)]]
                if told.name not in self.still and told.name not in self.cut and (found := told.renewal(self.now)):
                    follower.learn(self.now, replace(found, age=found.age + 20.0))
            self.log.append((self.now, self.leaders()))

    def leaders(self):
        return [name for name, one in self.councils.items() if one.leads(self.now) and name not in self.still]

    def propose(self, reason):
        name = self.leaders()[0]
        self.do(name, self.councils[name].propose(self.now, Plan((0, 0), {"a1": {"a1": 1.0}}, {}, reason=reason)))

    def in_force(self):
        return {
            one.in_force(self.now) and one.in_force(self.now).reason
            for one in (*self.councils.values(), *self.followers)
        }


def test_one_leads_after_a_moment_and_what_it_proposes_is_followed_by_all():
    rig = Rig()
    rig.run(6_000.0)
    assert len(rig.leaders()) == 1
    rig.propose("first")
    rig.run(1_500.0)
    assert rig.in_force() == {"first"}
    rig.propose("second")
    rig.run(1_500.0)
    assert rig.in_force() == {"second"} and all(len(who) <= 1 for _, who in rig.log)


def test_a_side_that_cannot_know_the_rest_falls_back_and_the_other_goes_on():
    rig = Rig()
    rig.run(6_000.0)
    rig.propose("first")
    rig.run(1_000.0)
    leader = rig.leaders()[0]
    other = next(name for name in rig.names if name != leader)
    rig.cut = {leader, other}
    rig.run(12_000.0)
    assert rig.councils[leader].in_force(rig.now) is None and rig.councils[other].in_force(rig.now) is None
    assert len(rig.leaders()) == 1 and rig.leaders()[0] not in rig.cut
    rig.propose("without them")
    rig.run(1_500.0)
    rig.cut = set()
    rig.run(4_000.0)
    assert rig.in_force() == {"without them"} and all(len(who) <= 1 for _, who in rig.log)


def test_a_leader_held_still_wakes_with_an_old_lease_and_changes_nothing():
    rig = Rig()
    rig.run(6_000.0)
    rig.propose("first")
    rig.run(1_000.0)
    leader = rig.leaders()[0]
    rig.still = {leader}
    rig.run(6_000.0)
    rig.propose("second")
    rig.run(1_000.0)
    rig.still = set()
    one = rig.councils[leader]
    assert one.role == "leader" and not one.leads(rig.now)
    rig.do(leader, one.propose(rig.now, Plan((0, 0), {}, {}, reason="of one that slept")))
    rig.run(4_000.0)
    assert rig.in_force() == {"second"} and one.role == "follower"


def test_all_voters_restarted_at_once_go_on_from_what_they_kept_and_a_forgetful_one_waits():
    rig = Rig(voters=3)
    rig.run(6_000.0)
    terms = {name: ballot.term for name, ballot in rig.disks.items()}
    rig.councils = {name: rig.new(name) for name in rig.names}
    rig.run(6_000.0)
    assert len(rig.leaders()) == 1 and rig.councils[rig.leaders()[0]].ballot.term > max(terms.values())
    lost = Council("v0", rig.names, kept=None, limits=rig.limits)
    lost.tick(0.0)
    vote = Word("vote", "v1", 9)
    assert lost.heard(100.0, vote) == [] and lost.heard(rig.limits.forgetful + 1.0, vote) != []


def test_what_rides_never_takes_an_epoch_back_and_two_plans_of_one_epoch_are_never_both_taken():
    one = Council("f", ("v0",))
    plans = {n: Plan((2, n), {}, {}, reason=str(n)) for n in (1, 2)}
    assert one.learn(0.0, Renewal(plans[2], 1, 0.0)) and not one.learn(1.0, Renewal(plans[1], 9, 0.0))
    assert not one.learn(2.0, Renewal(replace(plans[2], reason="other"), 9, 0.0))
    assert one.in_force(7_999.0) == plans[2] and one.in_force(8_001.0) is None
    assert one.learn(9_000.0, Renewal(plans[2], 2, 500.0)) and one.in_force(16_400.0) and not one.in_force(16_600.0)


@pytest.mark.parametrize("more", [{}, {"asks": False, "spares": 1, "reseats": 1, "proposals": 0, "max_messages": 10}])
def test_in_every_order_of_words_crashes_and_waits_a_term_has_one_leader_and_an_epoch_one_plan(more):
    found = explore(lambda: CouncilWorld(3, **more), 5)
    assert found.complete and found.states > 3_000 and found.violation == "", found


WALK = st.lists(st.integers(0, 10_000), max_size=45)


@settings(max_examples=250, deadline=None, derandomize=True, database=None)
@given(st.sampled_from([3, 5]), st.sampled_from([0, 2]), WALK)
def test_long_ways_of_chance_through_elections_come_to_nothing_wrong(voters, spares, picks):
    world = CouncilWorld(voters, max_messages=60, spares=spares, reseats=spares * 3)
    for pick in picks:
        moves = list(world.moves())
        world.play(moves[pick % len(moves)])
        assert world.violation() == ""


class VotesTwice(Council):
    """A second vote in a term."""

    def _elect(self, now, word):
        if self.ballot.term == word.term:
            self.ballot = Ballot(word.term - 1)
        return super()._elect(now, word)


class Minority(Council):
    """Leads with its own vote alone."""

    @property
    def majority(self):
        return 1


class SameNumber(Council):
    """Numbers its plans no further."""

    def propose(self, now, plan):
        before, self.plan = self.plan, None
        return super().propose(now, plan) if self.role == "leader" else [setattr(self, "plan", before)][:0]


class Backwards(Council):
    """Takes whatever rides last."""

    def _follow(self, now, word):
        self.decided = word.plan or self.decided
        return super()._follow(now, word)


@pytest.mark.parametrize(
    ("kind", "keeps", "depth", "crashes", "proposals"),
    [
        (VotesTwice, True, 6, 0, 0),
        (Council, False, 7, 1, 0),
        (Minority, True, 3, 0, 0),
        (SameNumber, True, 6, 0, 2),
        (Backwards, True, 7, 0, 2),
    ],
)
def test_a_defect_in_deciding_is_found(kind, keeps, depth, crashes, proposals):
    """Without the asking before: it only shortens what can be played."""

    def world(kind=kind, keeps=keeps):
        return CouncilWorld(3, kind, 12, keeps, False, crashes, proposals)

    found = explore(world, depth, 400_000)
    assert found.violation and len(found.path) <= depth, found


# Who has a vote


class Hasty(Council):
    """Changes the set of voters again before most hold the one before."""

    def reseat(self, now, voters):
        self.seated = self.seats.epoch
        return super().reseat(now, voters)


class Careless(Council):
    """Votes for who knows an older set."""

    def _elect(self, now, word):
        newest = max(word.seats.epoch, self.seats.epoch)
        return super()._elect(now, replace(word, seats=replace(word.seats, epoch=newest)))


class Unstated(Council):
    """Changes the set without having stated it in its own term."""

    def _lead(self, now):
        held, effects = self.seats, super()._lead(now)
        self._keep(replace(self.ballot, seats=held))
        self.seated = held.epoch
        return [replace(one, word=replace(one.word, seats=held)) if isinstance(one, Tell) else one for one in effects]


def among(world, *names):
    """All that is said between these is heard, until nothing more is said."""
    while True:
        heard = next((n for n, (to, word) in enumerate(world.in_transit) if to in names and word.sender in names), None)
        if heard is None:
            return
        world.play(("hear", heard))
        world.in_transit.pop(heard)


def two_at_once(world):
    """Two are given a vote while nobody hears of it; then each side elects."""
    world.play(("stand", "v0"))
    among(world, "v0", "v1", "v2")
    world.play(("reseat", "v0", "w0"))
    world.play(("reseat", "v0", "w1"))
    among(world, "v0", "w0", "w1")
    world.play(("stand", "w0"))
    among(world, "v0", "w0", "w1")
    world.play(("stand", "v1"))
    among(world, "v1", "v2")


def an_old_set(world):
    """One takes another's seat while it is cut off; it comes back and asks one that missed the last change."""
    world.play(("stand", "v0"))
    among(world, "v0", "v1", "v2")
    world.play(("reseat", "v0", "w0"))
    among(world, "v0", "v1", "w0")
    world.play(("reseat", "v0", "v2"))
    among(world, "v0", "w0")
    assert set(world.councils["w0"].voters) == {"v0", "v1", "w0"} and set(world.councils["v2"].voters) == {
        "v0",
        "v1",
        "v2",
    }
    world.play(("stand", "v2"))
    among(world, "v1", "v2")
    world.play(("stand", "w0"))
    among(world, "v0", "w0")


def a_change_begun_earlier(world):
    """A leader begins a change that most never hold; the next begins another, heard by others; the first wakes."""
    world.play(("stand", "v0"))
    among(world, "v0", "v1", "v2", "v3")
    world.play(("reseat", "v0", "w0"))
    among(world, "v0", "w0")
    world.play(("stand", "v1"))
    # v3 gives its vote and hears no more of it.
    vote = next(n for n, (to, word) in enumerate(world.in_transit) if to == "v3" and word.sender == "v1")
    world.play(("hear", vote))
    voted = next(n for n, (to, word) in enumerate(world.in_transit) if to == "v1" and word.sender == "v3")
    world.play(("hear", voted))
    among(world, "v1", "v2")
    world.play(("reseat", "v1", "w1"))
    among(world, "v1", "v2", "w1")
    world.play(("stand", "v0"))
    world.play(("stand", "v0"))
    among(world, "v0", "w0", "v3")
    world.play(("stand", "v2"))
    among(world, "v1", "v2", "w1")


SCRIPTS = [(Hasty, two_at_once, 3), (Careless, an_old_set, 3), (Unstated, a_change_begun_earlier, 4)]


@pytest.mark.parametrize(("kind", "script", "voters"), SCRIPTS)
def test_a_defect_in_changing_who_votes_makes_two_leaders_of_a_term_and_without_it_the_same_course_does_not(
    kind, script, voters
):
    for build in (Council, kind):
        world = CouncilWorld(voters, build, max_messages=200, spares=2, reseats=9, crashes=0)
        script(world)
        assert ("lead in term" in world.violation()) is (build is kind), (build, world.violation())


def test_one_that_lost_its_vote_hears_of_it_on_the_way_of_plans_and_waits_for_nothing():
    one, seats = Council("v2", ("v0", "v1", "v2")), Seats((3, 2), ("v0", "v1", "w0"))
    one.tick(0.0)
    assert one.votes and one.due() < 5_000.0
    one.learn(100.0, Renewal(Plan((3, 1), {"a1": {"a1": 1.0}}, {}), 1, 0.0, seats))
    assert not one.votes and one.due() == float("inf") and one.tick(9_000.0) == [] and one.in_force(200.0) is not None
    new = Council("w0", ("v0", "v1", "v2"))
    beat = Word("beat", "v0", 3, 7, None, seats=seats)
    (keep, held) = new.heard(0.0, beat)
    assert keep.ballot == Ballot(3, "v0", seats) and held.word.kind == "held" and new.votes
    assert new.heard(1.0, Word("vote", "v1", 3, seats=seats)) == [], "its vote of that term is the leader's"


def test_a_voter_that_is_gone_is_replaced_by_one_where_fewest_stand_and_the_set_is_as_large_as_before():
    zones = {f"c{n}": f"{'abc'[n % 3]}{1 + n // 3 % 2}" for n in range(9)}
    seating, voters = Seating(SIX, 3, absent=1_000.0, every=0.0), ("c0", "c1", "c2")
    there = {name: zone for name, zone in zones.items() if name != "c2"}
    assert seating.next(0.0, "c0", voters, there) is None and seating.next(999.0, "c0", voters, there) is None
    more = seating.next(1_000.0, "c0", voters, there)
    assert more == (*voters, "c5"), "of its region, which now has no voter"
    assert seating.next(1_001.0, "c0", more, there) == ("c0", "c1", "c5")
    assert seating.next(1_002.0, "c0", ("c0", "c1", "c5"), zones) is None, "nobody is sent away for one that is back"
    # Back while there is one more: the one that stands closest to the others goes, never the one that leads.
    assert seating.next(1_003.0, "c0", ("c0", "c1", "c2", "c3"), zones) == ("c0", "c1", "c2")
    assert seating.next(1_003.0, "c3", ("c0", "c1", "c2", "c3"), zones) == ("c1", "c2", "c3")
    nobody = Seating(SIX, 3, absent=0.0)
    assert nobody.next(0.0, "c0", voters, {"c0": "a1", "c1": "b1"}) is None, "nobody is there to come next"


@settings(max_examples=200, deadline=None, derandomize=True, database=None)
@given(st.integers(1, 3), st.lists(st.sets(st.integers(0, 7), min_size=1), max_size=40))
def test_whoever_comes_and_goes_a_set_changes_by_one_name_and_keeps_its_size_and_its_leader(half, courses):
    size = 2 * half - 1
    seating, voters = Seating(SIX, size, absent=100.0, every=0.0), tuple(f"c{n}" for n in range(size))
    for n, here in enumerate(courses):
        places = {f"c{m}": SIX.zones[m % 6] for m in {*here, 0}}
        new = seating.next(60.0 * n, "c0", voters, places)
        if new is not None:
            assert len(set(new) ^ set(voters)) == 1 and "c0" in new and len(new) in (size, size + 1)
            assert not set(new) - set(voters) - set(places), "who is not there gets no vote"
            voters = new
