"""Carrying out plans: zone selection, measurements, zone states, encoding, the module's part; all in virtual time."""

import json
import random
import subprocess
import sys
from dataclasses import replace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from world import World, deployment, group

from sprucespool import interface as it
from sprucespool.emulator.plans import CASES, PlanWorld, play
from sprucespool.failover import (
    Ballot,
    Codec,
    CouncilMessage,
    Gauge,
    GaugeLimits,
    LoadReport,
    Meter,
    Plan,
    PlanMessage,
    PlanMessageError,
    Renewal,
    Reports,
    ServingInvoker,
    Spread,
    Steer,
    Topology,
    ValueShedder,
    VoterSet,
    ZoneCosts,
    decode_ballot,
    encode_ballot,
    home_plan,
)
from sprucespool.standin.plans import PLANS, STEERS

SIX = Topology({f"{region}{n}": region for region in "abc" for n in (1, 2)})
FAST = settings(max_examples=60, deadline=None, derandomize=True)


def plan_of(row, bound=None):
    return Plan(
        (1, 1), {**home_plan(SIX.zones).free, "a1": row}, {**home_plan(SIX.zones).bound, "a1": bound or {"a1": 1.0}}
    )


# Steering


@FAST
@given(st.lists(st.integers(0, 6), min_size=6, max_size=6), st.integers(50, 400))
def test_each_zone_gets_its_share_of_any_run_of_inferences_give_or_take_one(weights, runs):
    total = sum(weights)
    row = {zone: part / total for zone, part in zip(SIX.zones, weights, strict=True) if part} if total else {"a1": 1.0}
    steer, got = Steer("a1", SIX), dict.fromkeys(SIX.zones, 0)
    for n in range(runs):
        got[steer.zones(float(n), plan_of(row), False, 1.0)[0]] += 1
        assert all(abs(got[zone] - row.get(zone, 0.0) * (n + 1)) <= len(row) for zone in SIX.zones)


@FAST
@given(st.lists(st.sampled_from([0.1, 0.5, 1.0, 2.0]), min_size=300, max_size=900), st.floats(0.0, 1.0))
def test_the_share_that_the_plan_lacks_is_shed_and_the_least_valued_first(values, missing):
    """Compared with a plain model that sorts all values at once: the share is kept, and hardly anything is shed of a
    value above the one at which the model ends."""
    shedder = ValueShedder(memory=100.0)
    shed = [shedder.sheds(value, missing) for value in values]
    settled = list(zip(values, shed, strict=True))[100:]
    assert abs(sum(one for _, one in settled) / len(settled) - missing) < 0.12
    ordered = sorted(value for value, _ in settled)
    ends = ordered[min(len(ordered) - 1, int((missing + 0.15) * len(ordered)))]
    assert sum(one for value, one in settled if value > ends) <= 0.05 * len(settled)


def test_a_zone_without_answers_is_excluded_despite_the_plan_gets_trials_and_is_used_once_it_answers():
    steer = Steer("a1", SIX)
    for n in range(8):
        steer.ended(50.0 * n, "a1", False)
    assert not steer.open("a1")
    first = [steer.zones(400.0 + 10 * n, home_plan(SIX.zones), True, 1.0) for n in range(300)]
    tried = sum(zones[0] == "a1" for zones in first)
    assert 1 <= tried <= 3 and {zones[0] for zones in first} == {"a1", "a2"}, "bound traffic stays in its region"
    steer.ended(4_000.0, "a1", True)
    assert steer.open("a1") and steer.zones(4_000.0, home_plan(SIX.zones), False, 1.0)[0] == "a1"


def test_with_all_zones_silent_the_plan_is_followed_and_without_zones_inferences_are_shed():
    steer = Steer("a1", SIX)
    for zone in SIX.zones:
        for n in range(8):
            steer.ended(50.0 * n, zone, False)
    assert steer.zones(410.0, home_plan(SIX.zones), False, 1.0)[0] == "a1"
    assert Steer("a1", SIX).zones(0.0, plan_of({}), False, 1.0) == ()
    left = Steer("a1", SIX, serving_zones=frozenset({"b1"}))
    assert left.zones(0.0, home_plan(SIX.zones), False, 1.0)[0] == "b1", "nothing serves at home"
    assert left.zones(0.0, home_plan(SIX.zones), True, 1.0)[0] == "a1", "and bound traffic does not leave its region"


# Measurements and zone states


def test_load_is_measured_in_cores_and_queueing_does_not_count_as_work():
    meter = Meter("a1")
    for n in range(400):
        at = 10.0 * n
        meter.arrived(at, "g", n % 4 == 0, 100.0)
        meter.ended(at, "g", "a1", 100.0, "returned", True, 600.0)
    free, bound, did, well, soon = meter.measure(4_000.0)
    assert free == pytest.approx(7.5, rel=0.1) and bound == pytest.approx(2.5, rel=0.1) and well == 1.0
    assert did == pytest.approx(10.0, rel=0.1)
    before = meter.run_times["g"]
    for n in range(400):
        meter.ended(4_000.0 + n, "g", "a1", 900.0, "returned", True, 600.0)
    assert meter.run_times["g"] <= before * 1.2 and meter.measure(4_400.0)[3] == 1.0, (
        "late answers are no sign of unhealthy invokers"
    )
    for n in range(30):
        meter.ended(4_400.0 + n, "g", "a1", 2_000.0, "timed out", False, 600.0)
        meter.ended(4_400.0 + n, "g", "b1", 1.0, "returned", True, 600.0)
    assert meter.measure(4_430.0)[3] == 0.0, "and answers of other zones say nothing about the home zone"


def test_changes_beyond_noise_are_reported_and_a_few_more_arrivals_are_not():
    meter, report_times = Meter("a1"), []
    for n in range(3_000):
        at = 10.0 * n
        if n < 2_000 or n % 3 < 2:
            meter.arrived(at, "g", False, 100.0)
        if n > 1_000:
            meter.arrived(at + 1, "g", False, 100.0)
        if meter.report_if_due(at) is not None:
            report_times.append(at)
    # Without those of the first seconds, while the window fills.
    moved = [
        at
        for at, before in zip(report_times[1:], report_times, strict=False)
        if at - before < meter.max_report_interval and at > 3_000
    ]
    assert len(moved) <= 4 and any(10_000 < at < 13_000 for at in moved), report_times
    assert (
        max(later - at for at, later in zip(report_times, report_times[1:], strict=False))
        <= meter.max_report_interval + 10.0
    )
    assert report_times[0] <= meter.window, "and the first report comes before any change"


def test_reports_from_few_arrivals_equal_the_demand_on_average():
    """Among 300 members lulls were reported at once and rushes were not, so the demand seemed 0.85 of what it was."""
    reported_sum, random_source, check_count = 0.0, random.Random(1), 0
    for _ in range(200):
        meter, at, report = Meter("a1"), 0.0, (0.0, 0.0, 0.0, 0.0)
        due = random_source.expovariate(1 / 400)
        while at < 20_000.0:
            at += 250.0
            while due < at:
                meter.arrived(due, "g", False, 160.0)
                due += random_source.expovariate(1 / 400)
            report = meter.report_if_due(at) or report
            if at > 6_000.0:
                reported_sum, check_count = reported_sum + report[0], check_count + 1
    assert reported_sum / check_count == pytest.approx(0.4, rel=0.04)


def states_of(gauge, now, reports, plan=None, age=None):
    invokers = [ServingInvoker(zone, 2.0, age) for zone in SIX.zones for _ in range(5)]
    return gauge.states(now, invokers, reports, plan)


def test_capacity_comes_from_the_view_and_a_false_report_of_load_or_health_changes_little():
    honest = [LoadReport(zone, 1.0, 0.2, 1.1, 1.0) for zone in SIX.zones for _ in range(4)]
    found = states_of(Gauge(SIX), 0.0, honest)
    assert found["a1"].now == 10.0 and found["a1"].free == 4.0 and found["a1"].trust == 1.0
    with_false_reports = [*honest, LoadReport("a1", 1e9, 1e9, 0.0, 0.0), LoadReport("nowhere", 5.0, 5.0, 0.0, 0.0)]
    found = states_of(Gauge(SIX), 0.0, with_false_reports)
    assert found["a1"].now == 10.0 and found["a1"].free <= 14.0 and found["a1"].trust == 1.0
    cold = states_of(Gauge(SIX, GaugeLimits(0.25, 10_000.0)), 0.0, honest, age=0.0)
    assert cold["b1"].now == 2.5 and cold["b1"].warm == 10.0
    named, gauge = [replace(one, name=f"c{n}") for n, one in enumerate(honest)], Gauge(SIX)
    states_of(gauge, 0.0, named)
    after = states_of(gauge, 1_000.0, named[4:])["a1"]
    assert after.now == pytest.approx(10.0 - 4 * 1.2) and states_of(gauge, 40_000.0, named[4:])["a1"].now == 10.0
    gauge = Gauge(SIX)
    ill = gauge.states(
        0.0, [ServingInvoker("a1", 4.0, None, True, "a1-0"), ServingInvoker("a1", 4.0, None, cell="a1-1")], []
    )
    assert ill["a1"].warm == 4.0 and gauge.cells == {"a1": {"a1-0": 0.0, "a1-1": 4.0}}


def test_a_grey_zone_counts_with_the_work_it_does_an_overloaded_one_fully_and_both_recover():
    gauge = Gauge(SIX)
    grey = [LoadReport("a1", 1.0, 0.0, 0.2, 0.1) for _ in range(4)]
    assert states_of(gauge, 0.0, grey)["a1"].trust == pytest.approx(4 * 0.2 / 10)
    full = [LoadReport("b1", 4.0, 0.0, 2.4, 0.1) for _ in range(4)]
    assert states_of(gauge, 0.0, full)["b1"].trust >= 0.9
    well = [LoadReport("a1", 1.0, 0.0, 0.2, 1.0) for _ in range(4)]
    trusts = [states_of(gauge, 500.0 * n, well)["a1"].trust for n in range(60)]
    assert trusts == sorted(trusts) and trusts[-1] == 1.0 and trusts[10] < 1.0


def test_a_zone_with_late_answers_regains_no_trust_and_after_a_relapse_trust_returns_more_slowly():
    """A zone that was ten times too slow answered the little traffic it got, regained trust and 0.64 of its traffic."""
    gauge, ill = Gauge(SIX), [LoadReport("a1", 1.0, 0.0, 0.1, 0.1, 0.0) for _ in range(4)]
    late = [LoadReport("a1", 1.0, 0.0, 0.1, 1.0, 0.2) for _ in range(4)]
    good = [LoadReport("a1", 1.0, 0.0, 0.1, 1.0, 0.9) for _ in range(4)]

    def after(first, duration, reports):
        trusts = [states_of(gauge, first + 500.0 * n, reports)["a1"].trust for n in range(int(duration / 500) + 1)]
        return trusts[0], trusts[-1]

    assert after(0.0, 0.0, ill)[1] == 0.04 and after(500.0, 30_000.0, late) == (0.04, 0.04)
    assert after(31_000.0, 2_500.0, good)[1] == 0.08, "one step at once, the next after three seconds"
    assert after(34_000.0, 0.0, good)[1] == 0.16 and after(34_500.0, 0.0, ill)[1] == 0.04
    assert after(35_000.0, 5_000.0, good)[1] == 0.04 and after(40_500.0, 0.0, good)[1] == 0.08, (
        "six seconds after a relapse"
    )
    assert after(41_000.0, 40_000.0, good)[1] == 1.0 and "a1" in gauge.regain_steps
    assert after(81_500.0, 61_000.0, good)[1] == 1.0 and "a1" not in gauge.regain_steps, (
        "and the relapse is forgotten in the end"
    )


def test_forwards_behind_model_loads_and_single_outcomes_say_nothing_about_health():
    """Two forwards behind cold loads at the start cost a zone its trust, and so its cap, for half a minute."""

    def home(*ends):
        meter = Meter("a1", run_times={"g": 100.0})
        for n, (outcome, warm, elapsed) in enumerate(ends):
            meter.ended(100.0 * n, "g", "a1", elapsed, outcome, warm, 600.0)
        return meter.measure(2_000.0)[3:]

    gone, cold, late = ("timed out", True, 2_000.0), ("returned", False, 1_500.0), ("returned", True, 900.0)
    good, missed = ("returned", True, 90.0), ("miss", True, 2.0)
    assert home(gone, gone) == (-1.0, -1.0) and home(*[gone] * 6) == (0.0, 0.0), (
        "few failures do not count against a zone, more do"
    )
    assert home(*[gone] * 6, cold, good) == (-1.0, -1.0) and home(*[gone] * 6, good, good)[0] == 0.25
    assert home(good) == (1.0, 1.0) and home(cold, good, late) == (1.0, 0.5), (
        "a forward behind a load is late whatever the health"
    )
    assert home(cold) == (1.0, -1.0), "few outcomes can count for the home zone"
    assert home(*[missed] * 20) == (-1.0, -1.0) and home(good, *[missed] * 20) == (1.0, 1.0)


def test_a_zone_that_was_empty_is_judged_by_its_present_invokers():
    """A zone that came back got a twenty-fifth of its traffic for 16 s, by reports about its earlier invokers."""
    gauge, ill = Gauge(SIX), [LoadReport("a1", 1.0, 0.0, 0.1, 0.1, 0.0, reported_at=0.0) for _ in range(4)]
    assert states_of(gauge, 0.0, ill)["a1"].trust == 0.04
    empty = gauge.states(5_000.0, [ServingInvoker("b1", 2.0)], ill)
    assert empty["a1"].now == 0.0 and states_of(gauge, 6_000.0, ill)["a1"].trust == 1.0
    rows = [replace(one, reported_at=None) for one in ill]
    assert states_of(gauge, 7_000.0, rows)["a1"].trust == 1.0, "nor by rows, which may be that old"
    assert states_of(gauge, 8_000.0, [replace(one, reported_at=7_500.0) for one in ill])["a1"].trust == 0.04
    assert gauge.regain_steps["a1"] == 2 * gauge.limits.regain_interval, "another loss of trust is a relapse"
    meter = Meter("a1", run_times={"g": 100.0})
    for n in range(8):
        meter.ended(n, "g", "a1", 2_000.0, "timed out", True, 600.0)
    meter.forget_outcomes()
    assert meter.measure(10.0)[3:] == (-1.0, -1.0)


def test_when_most_capacity_would_lose_trust_all_zones_are_used_fully():
    """A slow model library or a cold start makes all zones look unhealthy at once, and no other zone does better."""
    gauge = Gauge(SIX)

    def ill(zones):
        return [LoadReport(zone, 1.0, 0.0, 0.1, 0.1, 0.0) for zone in zones for _ in range(4)]

    two = states_of(gauge, 0.0, ill(SIX.zones[:2]))
    assert [two[zone].trust for zone in SIX.zones] == [0.04, 0.04, 1.0, 1.0, 1.0, 1.0]
    four = states_of(gauge, 500.0, ill(SIX.zones[:4]))
    assert {state.trust for state in four.values()} == {1.0} and gauge.trust[SIX.zones[3]] == 0.04


def test_a_direct_report_counts_while_it_is_fresh_and_then_the_row_of_the_member():
    """Among 300 members, rows of the group that were half a minute old replaced newer direct reports."""
    reports = Reports(max_members=2)
    assert reports.of(0.0, "c1", (1.0,)) == ((1.0,), None)
    reports.receive(0.0, "c1", (5.0,))
    assert reports.of(11_000.0, "c1", (1.0,)) == ((5.0,), 0.0) and reports.of(13_000.0, "c1", (6.0,)) == ((6.0,), None)
    for name in ("c2", "c3"):
        reports.receive(0.0, name, (1.0,))
    reports.keep(["c1"])
    assert list(reports.direct) == ["c1"]


def test_costs_follow_the_median_of_measurements_and_neither_jitter_nor_a_false_report():
    topology = Topology({"a1": "a", "a2": "a", "b1": "b"}, {("a1", "b1"): 5.0})
    costs = ZoneCosts("a1", topology)
    for n in range(40):
        costs.record_round_trip("b1", 40.0 + n % 7)
        costs.record_round_trip("b1" if n % 10 == 0 else "a2", 900.0 if n % 10 == 0 else 2.0)
        costs.record_round_trip("nowhere", 1.0)
    assert costs.measured() == {"a2": 1.0, "b1": pytest.approx(21.5, abs=1.5)}
    assert costs.update([]) and topology.cost("b1", "a1") == pytest.approx(21.5, abs=1.5)
    held = topology.cost("a1", "b1")
    for name in ("c1", "c2"):
        costs.receive(name, "b1", {"a1": held * 1.1, "b9": 1.0})
    costs.receive("liar", "b1", {"a1": 1e5})
    assert not costs.update(["c1", "c2", "liar"]) and topology.cost("a1", "b1") == held
    for name in ("c1", "c2"):
        costs.receive(name, "b1", {"a1": 3 * held})
    assert costs.update(["c1", "c2", "liar"]) and topology.cost("a1", "b1") == 3 * held
    costs.update([])
    assert costs.reported == {}


# Encoding of messages, the ballot on disk, distribution


def sample_messages():
    plan = replace(plan_of({"a1": 0.5, "a2": 0.5}), caps={"a1": 3.0}, reason="why", drained=("b1",))
    one, other = VoterSet((2, 1), ("c1", "c2")), VoterSet((2, 2), ("c2",))
    return [
        PlanMessage("c1", (2, 3), CouncilMessage("beat", "c1", 2, 7, plan, (2, 2), 4, one)),
        PlanMessage("c1", (0, 0)),
        PlanMessage("c2", (2, 3), None, Renewal(plan, 5, 30.0, other), ("127.0.0.1:1", "127.0.0.1:2")),
        PlanMessage("c3", (2, 3), metrics=(1.0, 2.0, 3.0, -1.0), costs={"b1": 4.5}),
    ]


@pytest.mark.parametrize("message", sample_messages())
def test_messages_decode_as_encoded_and_corrupt_ones_are_refused(message):
    codec = Codec("g", "mark")
    data = codec.encode(message)
    assert codec.decode(data) == message
    for spoilt in (b"", data[:10], data + b"x", data[:-1], bytes([data[0] ^ 1]) + data[1:], b"\xff" * 70_000):
        with pytest.raises(PlanMessageError):
            codec.decode(spoilt)
    with pytest.raises(PlanMessageError):
        Codec("g", "other").decode(data)


@given(st.binary(max_size=60))
@FAST
def test_a_ballot_decodes_as_encoded_and_a_truncated_one_is_refused(garbage):
    saved = Ballot(7, "c3", VoterSet((6, 2), ("c1", "c3")))
    data = encode_ballot(saved)
    assert decode_ballot(data) == saved
    for n in range(len(data) - 1):
        with pytest.raises(PlanMessageError):
            decode_ballot(data[:n])
    with pytest.raises(PlanMessageError):
        decode_ballot(garbage)


@pytest.mark.parametrize("many", [0, 1, 2, 10, 299])
def test_a_plan_reaches_each_controller_once_over_two_levels_and_is_sent_again_when_changed_or_due(many):
    spread, renewal = Spread(), Renewal(plan_of({"a1": 1.0}), 1, 0.0)
    others = [f"127.0.0.1:{n}" for n in range(many)]
    passes = spread.distribute(0.0, renewal, others)
    addresses = [one.to for one in passes] + [
        two.to for one in passes for two in Spread.relay(one.renewal, one.pass_on)
    ]
    assert sorted(addresses) == sorted(others) and len(passes) <= 18
    assert spread.distribute(100.0, renewal, others) == [] and (
        len(spread.distribute(2_100.0, renewal, others)) > 0
    ) is (many > 0)
    newer = replace(renewal, plan=replace(renewal.plan, epoch=(1, 2)))
    assert (len(spread.distribute(2_200.0, newer, others)) > 0) is (many > 0)


# The module


def three_zones():
    world = World(deployment(group("g"), controllers=1))
    for zone in ("z1", "z2", "z3"):
        world.roster(f"{zone}-0", f"{zone}-1", zone=zone)
    return world


@pytest.mark.parametrize("zone", ["z1", "z2", "z3"])
def test_the_module_forwards_to_the_first_zone_only_and_after_a_failure_to_the_others(zone):
    world, other = three_zones(), "z1" if zone != "z1" else "z2"
    for n in range(30):
        inf, _ = world.arrive(f"m{n % 3}", zones=(zone, other))
        if not inf.forwards:
            continue  # held: no window of the zone is open
        assert inf.forwards[0].invoker.name[:2] == zone
        world.end(inf.forwards[0], it.Outcome.UNCONNECTED if n % 2 else it.Outcome.RETURNED)
        assert all(forward.invoker.name[:2] in (zone, other) for forward in inf.forwards[1:])
    assert any(len(inf.forwards) > 1 for inf in world.ran)
    assert {forward.invoker.name[:2] for inf in world.ran for forward in inf.forwards[:1]} == {zone}


def test_the_module_sheds_an_inference_without_open_zones_at_once():
    inf, actions = three_zones().arrive(zones=())
    assert inf.forwards == [] and [type(one) for one in actions if isinstance(one, it.Shed | it.Fail)] == [it.Shed]


# Whole groups in virtual time


def test_equal_seeds_give_equal_results():
    assert play("zone lost 5 s", "common", 3, 12, 18, 20_000.0) == play("zone lost 5 s", "common", 3, 12, 18, 20_000.0)


@pytest.mark.parametrize("case", [case for case in CASES if case != "voters lost"])
def test_a_hard_case_keeps_the_invariants(case):
    came = play(case, "common", 2, 18, 36, 80_000.0)
    assert came.broken == [] and came.service > 0.6 and came.settled is not None


def test_lost_voters_are_replaced_and_without_replacement_no_plan_is_made():
    """Without replacement each voter that is lost for good brings the group closer to having no majority."""
    with_replacement, without_replacement = (
        play("voters lost", "common", 1, 18, 36, replace_after=after) for after in (8_000.0, 1e9)
    )
    assert with_replacement.broken == [] and with_replacement.service > without_replacement.service
    assert [line[:3] for line in without_replacement.broken] == ["(f)"]


def test_traffic_stays_local_in_healthy_zones_and_a_lost_zone_costs_less_than_without_a_plan():
    quiet, lost = (
        play("quiet", "common", 1, 18, 36, 30_000.0),
        [play("zone lost 30 s", decider, 1, 18, 36) for decider in ("today", "common", "top")],
    )
    assert quiet.crossed < 0.01 and quiet.service > 0.99
    today, common, top = (came.service for came in lost)
    assert common > today + 0.8 * (top - today)


BREAKS = {
    "failover-a": "zone lost 30 s",
    "failover-b": "region lost",
    "failover-c": "quiet",
    "failover-d": "region lost",
    "failover-e": "quiet",
    "failover-f": "quiet",
}


@pytest.mark.parametrize("build", BREAKS)
def test_the_checker_names_the_invariant_that_a_broken_build_breaks(build):
    more = {"kind": PLANS[build]} if build in PLANS else {"steer": STEERS[build]}
    came = play(BREAKS[build], "common", 1, 18, 36, 60_000.0, **more)
    assert any(line.startswith(f"({build[-1]})") for line in came.broken), came.broken


def test_a_world_of_an_unknown_decider_is_refused():
    with pytest.raises(ValueError, match="expected one of today, alone, common, top"):
        PlanWorld(3, 6, decider="oracle")


# What if


def test_what_if_names_a_broken_expectation_by_route_and_state_and_a_typo_in_one_line(tmp_path):
    text = """zone "a1" region="a"
zone "a2" region="a"
zone "b1" region="b"
state "calm" {
    zone "a1" warm=18.0 free=10.0 bound=2.0
    zone "a2" warm=18.0 free=9.0
    zone "b1" warm=18.0 free=9.0
    expect "a1" to="a1" least=1.0
}
state "a1 lost" {
    zone "a1" warm=0.0 free=6.0 bound=2.0
    zone "a2" warm=18.0 free=9.0
    zone "b1" warm=18.0 free=9.0
    expect "a1" to="a2" bound=#true least=1.0
    expect "a1" shed=#true most=0.0
    expect "a1" to="b1" most=0.1
}
"""
    path = tmp_path / "states.kdl"

    def run(content):
        path.write_text(content)
        command = [sys.executable, "-m", "sprucespool.cli.main", "failover", "what-if", str(path), "--json"]
        return subprocess.run(command, capture_output=True, text=True, timeout=60)

    found = run(text)
    answers = json.loads(found.stdout)
    assert found.returncode == 1 and answers[0]["broken"] == []
    assert len(answers[1]["broken"]) == 1
    assert answers[1]["broken"][0].startswith("state 'a1 lost': a1 -> b1: expected 0 to 0.1, got 0.")
    assert run(text.replace("most=0.1", "most=1.0")).returncode == 0
    typo = run(text.replace('expect "a1" to="b1"', 'expect "a1" to="b9"'))
    assert typo.returncode == 2 and "no zone 'b9'" in typo.stderr and len(typo.stderr.splitlines()) == 1
