"""Records of invokers: their joins, facts that stay, opinions that bend and never empty the fleet."""
from hypothesis import given, settings
from hypothesis import strategies as st

from sprucespool.fleet import Course, Listing, Opinion, OpinionLimits, Record, View, judged, merged

FAST = settings(max_examples=200, deadline=None, derandomize=True, database=None)
OPINION = st.builds(Opinion, st.integers(0, 3), st.sampled_from(["well", "silent", "slow"]), st.sampled_from("xy"),
                    st.sampled_from([0.0, 5.0, 9.0]))
RECORD = st.builds(Record, st.just(("a", "1")), st.sampled_from(Course),
                   st.none() | st.builds(Listing, st.integers(0, 3), st.sampled_from("pq"), st.sampled_from("xy")),
                   st.dictionaries(st.tuples(st.sampled_from("cd"), st.integers(1, 2)), OPINION, max_size=3))


@FAST
@given(RECORD, RECORD, RECORD)
def test_records_of_a_process_are_joined_in_any_order_and_their_course_never_goes_back(one, other, third):
    assert merged(one, other) == merged(other, one) and merged(one, one) == one
    assert merged(merged(one, other), third) == merged(one, merged(other, third))
    assert merged(one, other).course >= max(one.course, other.course)


@FAST
@given(st.lists(st.tuples(st.sampled_from("123"), st.sampled_from(["start", "drain", "gone"])), max_size=12),
       st.randoms(use_true_random=False))
def test_two_views_told_the_same_in_other_orders_hold_the_same_and_no_process_outlives_its_restart(steps, chance):
    told: list[Record] = []
    here = View()
    for n, (boot, what) in enumerate(steps):
        if what == "start":
            here.started(n, "a", boot)
            assert [record.process[1] for record in here.serving()] in ([boot], [])
        else:
            here.course(n, ("a", boot), Course.DRAINING if what == "drain" else Course.GONE)
        told += here.records.values()
    there = View()
    chance.shuffle(told)
    there.joined(99.0, told)
    assert there.records == here.records
    for boot, what in steps:
        assert what != "gone" or here.records["a", boot].course is Course.GONE


def test_a_gone_process_is_forgotten_in_the_end_and_opinions_lapse_before():
    view = View(remember=100.0, lapse=10.0)
    view.started(0.0, "a", "1")
    view.said(0.0, ("a", "1"), ("c", 1), Opinion(1, "silent", "x", 0.0))
    view.sweep(20.0)
    assert view.records["a", "1"].opinions == {}
    view.started(20.0, "a", "2")
    view.sweep(119.0)
    assert ("a", "1") in view.records and not view.course(119.0, ("a", "1"), Course.SERVING)
    view.sweep(120.0)
    assert list(view.records) == [("a", "2")]


def fleet(*bad, zones=("x", "y"), observers=("c", "d"), kind="silent", seen_from="x", count=8):
    view = View()
    for n in range(count):
        view.join(0.0, Record((f"w{n}", "1"), listing=Listing(1, "roster", zones[n % len(zones)])))
    for n in bad:
        for observer in observers:
            view.said(0.0, (f"w{n}", "1"), (observer, 1), Opinion(1, kind, seen_from, 0.0))
    return view.serving()


def test_one_observer_sets_nobody_aside_two_do_and_own_answers_outrank_them():
    limits = OpinionLimits()
    assert judged(1.0, fleet(0, observers=("c",)), "x", set(), limits).out == {}
    assert list(judged(1.0, fleet(0), "x", set(), limits).out) == [("w0", "1")]
    assert judged(1.0, fleet(0), "x", {("w0", "1")}, limits).out == {}
    assert judged(20_000.0, fleet(0), "x", set(), limits).out == {}, "opinions lapse"


def test_what_one_zone_can_not_reach_another_that_can_goes_on_using():
    rows = fleet(0, seen_from="x")
    well = [Record(row.process, row.course, row.listing, {**row.opinions, ("e", 1): Opinion(1, "well", "y", 0.0)})
            if row.process[0] == "w0" else row for row in rows]
    assert list(judged(1.0, well, "x", set(), OpinionLimits()).out) == [("w0", "1")]
    assert judged(1.0, well, "y", set(), OpinionLimits()).out == {}


def test_a_liar_about_the_whole_fleet_and_a_friend_of_it_empty_no_zone():
    found = judged(1.0, fleet(*range(8)), "x", set(), OpinionLimits())
    assert found.out == {} and found.panic == ("x", "y")
    half = judged(1.0, fleet(0, 2, 1), "x", set(), OpinionLimits())
    assert sorted(process[0] for process in half.out) == ["w0", "w1", "w2"] and half.panic == ()
