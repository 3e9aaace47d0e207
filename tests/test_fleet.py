"""The shared view of the fleet, without I/O: merging, facts, opinions, lying controllers and outdated rosters."""

from dataclasses import replace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from sprucespool.emulator.cases import CASES, play
from sprucespool.fleet import (
    Codec,
    Course,
    CourseClaim,
    Fleet,
    FleetMessage,
    FleetMessageError,
    IncrementalAssessment,
    Listed,
    Listing,
    Opinion,
    OpinionLimits,
    Peer,
    Record,
    RosterRow,
    View,
    assess,
    merged,
)
from sprucespool.fleet.messages import KINDS
from sprucespool.fleet.records import adds_information
from sprucespool.judge import fleet as seen
from sprucespool.judge.group import Began
from sprucespool.standin.views import Clinging, Deaf, Gullible, Mute

FAST = settings(max_examples=200, deadline=None, derandomize=True, database=None)
WHO = st.tuples(st.sampled_from("cdefgh"), st.integers(1, 2))
CLAIM = st.builds(CourseClaim, st.sampled_from(Course), st.integers(0, 3), st.sampled_from(["", "r"]))
LISTING = st.builds(Listing, st.integers(0, 3), st.sampled_from("pq"), st.sampled_from(Listed), st.sampled_from("xy"))
OPINION = st.builds(
    Opinion,
    st.integers(0, 3),
    st.sampled_from(["well", "silent", "refused"]),
    st.sampled_from("xy"),
    st.sampled_from([0.0, 5.0, 9.0]),
)


PROCESS = st.just(("a", "1"))


def records(process=PROCESS):
    return st.builds(
        Record,
        process,
        st.dictionaries(WHO, CLAIM, max_size=4),
        st.dictionaries(WHO, LISTING, max_size=3),
        st.dictionaries(WHO, OPINION, max_size=5),
        st.none() | st.sampled_from([1.0, 2.0]),
    )


@FAST
@given(records(), records(), records())
def test_records_merge_in_any_order_and_a_course_never_goes_back(one, other, third):
    assert merged(one, other) == merged(other, one) and merged(one, one) == merged(one, Record(one.process))
    assert merged(merged(one, other), third) == merged(one, merged(other, third))
    both = merged(one, other)
    assert both.course() == max(one.course(), other.course())
    newest = [found for found in (one.listing(), other.listing()) if found]
    assert both.listing() == max(newest, default=None)


@FAST
@given(records(), records())
def test_a_record_that_adds_no_information_does_not_change_the_content(one, other):
    one = merged(one, Record(one.process))
    if not adds_information(one, other):
        assert merged(one, other).content == one.content


STEPS = st.lists(
    st.tuples(
        st.sampled_from([("a", "1"), ("a", "2"), ("b", "1")]).flatmap(lambda p: records(st.just(p))),
        st.sampled_from([0.0, 4_000.0, 16_000.0]),
    ),
    max_size=12,
)


@FAST
@given(STEPS, st.randoms(use_true_random=False), st.sampled_from("xy"))
def test_the_indexes_of_a_view_match_a_plain_dict(steps, chance, zone):
    view, plain, now = View(), {}, 0.0
    limits = OpinionLimits(observers=1)
    assessment, with_own_evidence = IncrementalAssessment(limits), set()
    for n, (record, after) in enumerate(steps):
        now += after
        record = replace(record, opinions={who: replace(one, at=now - one.at) for who, one in record.opinions.items()})
        view.join(now, record)
        changed = {record.process, *view.sweep(now)}
        held = plain.get(record.process, Record(record.process))
        plain[record.process] = merged(held, record)
        plain = {
            process: replace(
                one, opinions={who: said for who, said in one.opinions.items() if now - said.at < view.opinion_lifetime}
            )
            for process, one in plain.items()
        }
        # The processes with own evidence change, and evidence gets too old.
        evidence_now = [{("b", "1")}, {("b", "1"), ("a", "1")}, {("a", "2")}, set()][n // 3 % 4]
        changed |= evidence_now - with_own_evidence
        with_own_evidence = evidence_now
        wanted = assess(now, plain.values(), zone, with_own_evidence, limits)
        assert assessment.update(now, view, zone, with_own_evidence.__contains__, changed) == wanted
        assert IncrementalAssessment(limits).update(now, view, zone, with_own_evidence.__contains__, None) == wanted
    there = View()
    shuffled = list(view.records.values())
    chance.shuffle(shuffled)
    for record in shuffled:
        there.join(now, record)
    assert there.digest == view.digest and there.bucket_digests == view.bucket_digests


def test_opinions_expire_and_gone_processes_are_forgotten_later():
    view = View(remember_gone=100_000.0)
    view.join(
        0.0, Record(("a", "1"), {("c", 1): CourseClaim(Course.GONE)}, opinions={("c", 1): Opinion(1, "silent", "x", 0)})
    )
    assert view.sweep(20_000.0) == [("a", "1")] and view.records["a", "1"].opinions == {}
    assert view.next_due() == 100_000.0
    view.sweep(99_000.0)
    assert ("a", "1") in view.records
    view.sweep(100_000.0)
    assert not view.records and not view.digest and not any(view.bucket_digests) and not view.zones


def served(*bad, zones=("x", "y"), observers=("c", "d"), kind="silent", seen_from="x", count=8):
    view = View()
    for n in range(count):
        view.join(0.0, Record((f"w{n}", "1"), listings={("c", 1): Listing(1, "roster", zone=zones[n % len(zones)])}))
    for n in bad:
        for observer in observers:
            view.join(0.0, Record((f"w{n}", "1"), opinions={(observer, 1): Opinion(1, kind, seen_from, 0.0)}))
    return view


def out(view, zone="x", own=(), now=1.0, limits=None):
    found = IncrementalAssessment(limits or OpinionLimits()).update(
        now, view, zone, lambda process: process[0] in own, None
    )
    return sorted(process[0] for process in found.excluded), found.panic


def test_two_observers_exclude_an_invoker_unless_it_replied_to_this_controller():
    assert out(served(0, observers=("c",))) == ([], ())
    assert out(served(0)) == (["w0"], ())
    assert out(served(0), own=("w0",)) == ([], ())
    assert out(served(0), now=20_000.0) == ([], ()), "opinions expire"


def test_an_invoker_unreachable_from_one_zone_stays_in_use_in_another():
    view = served(0, seen_from="x")
    view.join(0.0, Record(("w0", "1"), opinions={("e", 1): Opinion(1, "well", "y", 0.0)}))
    assert out(view, "x") == (["w0"], ()) and out(view, "y") == ([], ())


def test_opinions_never_exclude_a_whole_zone():
    assert out(served(*range(8))) == ([], ("x", "y"))
    assert out(served(0, 2, 1)) == (["w0", "w1", "w2"], ())


# One controller


def controller(name="me", zone="x", **over):
    one = Fleet((name, 1), f"at-{name}", zone, **over)
    one.set_peers([Peer(other, f"at-{other}") for other in "cde" if other != name])
    return one


def rows(*boots, zone="x", listed=Listed.IN_SERVICE):
    return [RosterRow((f"w{n}", boot), listed, zone=zone, age=1_000.0) for n, boot in enumerate(boots)]


def status(one):
    return {address: (state.boot, state.status) for address, state in one.reported.items()}


def say(one, now, *records, sender="c", version=0, kind="push"):
    return one.receive(now, FleetMessage(kind, (sender, 1), f"at-{sender}", 1, version, records))


def test_the_own_roster_alone_determines_the_states():
    one = controller()
    one.roster(0.0, True, "r", 1, rows("1", "1"))
    one.roster(10.0, False, "r", 2, rows("1", listed=Listed.DRAINING))
    one.roster(20.0, True, "r", 3, rows("1"))
    assert status(one) == {"w0": ("1", "draining"), "w1": ("1", "gone")}, "a drain of a process is never revoked"
    one.roster(30.0, False, "r", 4, rows("2"))
    one.roster(40.0, True, "r", 5, [*rows("2"), RosterRow(("w1", "1"), zone="x")])
    assert status(one) == {"w0": ("2", "in service"), "w1": ("1", "in service")}, "an omitted row may return"
    states, suspicions, events = one.take()
    assert [state.address for state in states] == ["w0", "w1"] and not suspicions
    assert ("started", ("w0", "2")) in [(event.kind, event.process) for event in events]


def test_a_fact_from_another_controller_counts_at_once_and_a_restart_ends_the_old_process():
    one = controller()
    one.roster(0.0, True, "r", 1, rows("1", "1"))
    say(one, 5.0, Record(("w0", "1"), {("c", 1): CourseClaim(Course.DRAINING)}))
    assert status(one)["w0"] == ("1", "draining")
    say(
        one,
        6.0,
        Record(("w1", "1"), {("d", 1): CourseClaim(Course.GONE)}),
        Record(("w1", "2"), listings={("d", 1): Listing(1, "r", zone="x")}),
    )
    assert status(one)["w1"] == ("2", "in service")
    for n in range(2):
        one.sent(6.0, n, f"w{n}")
        one.ended(7.0, n, "returned", "1" if n == 0 else "2", n == 0)
    assert status(one) == {"w0": ("1", "draining"), "w1": ("2", "in service")}


def test_an_invoker_reports_that_it_is_a_new_process_or_drains():
    one = controller()
    one.roster(0.0, True, "r", 1, rows("1", "1"))
    one.roster_lost(1.0)
    for n in range(2):
        one.sent(5.0, n, f"w{n}")
    one.ended(6.0, 0, "returned", "2", False, 700.0)
    one.ended(7.0, 1, "returned", "1", True)
    assert status(one) == {"w0": ("2", "in service"), "w1": ("1", "draining")}
    state = one.reported["w0"]
    assert state.born == 6.0 - 700.0 and state.zone == "x"
    other = controller("c")
    other.roster(0.0, True, "r", 1, rows("1", "1"))
    for send in one.tick(200.0):
        other.receive(210.0, send.message)
    assert status(other) == status(one) and other.digest == one.digest


def test_a_joining_controller_without_a_roster_serves_from_the_first_message():
    one, other = controller(), controller("c")
    other.roster(0.0, True, "r", 7, rows(*["1"] * 100))
    assert not one.known
    sends = one.receive(5.0, other.piggyback_message(4.0))
    answers = [answer for send in sends for answer in other.receive(6.0, send.message)]
    for answer in answers:
        one.receive(7.0, answer.message)
    assert one.digest == other.digest and len(one.reported) == 100


def test_rows_ahead_of_a_live_roster_wait_for_it_for_a_limited_time():
    one = controller()
    one.roster(0.0, True, "r", 1, rows("1"))
    new = Record(("w9", "1"), listings={("c", 1): Listing(2, "r", zone="x")})
    say(one, 10.0, new)
    assert "w9" not in one.reported
    one.tick(2_900.0)
    assert "w9" not in one.reported
    one.tick(3_200.0)
    assert status(one)["w9"] == ("1", "in service")
    without_roster = controller()
    say(without_roster, 10.0, new)
    assert status(without_roster)["w9"] == ("1", "in service"), "without a roster there is nothing to wait for"


def test_a_roster_that_goes_back_or_contradicts_another_is_reported_and_reverts_nothing():
    one = controller()
    one.roster(0.0, True, "r", 5, rows("1", "1"))
    one.roster(1.0, False, "r", 6, [RosterRow(("w0", "2"), zone="x")])
    one.roster(2.0, True, "r", 4, rows("1", "1"))
    assert status(one) == {"w0": ("2", "in service"), "w1": ("1", "in service")}
    other = controller()
    for name in "cd":
        say(other, 0.0, sender=name, version=9)
    other.roster(1.0, True, "r", 8, rows("1"))
    third = controller()
    third.roster(0.0, True, "r", 3, rows("1", zone="x"))
    third.roster(1.0, False, "r", 3, rows("1", zone="y"))
    kinds = [{event.kind for event in found.take()[2]} for found in (one, other, third)]
    assert "back" in kinds[0] and "behind" in kinds[1] and "contradiction" in kinds[2]


def test_a_witness_that_contradicts_the_own_roster_is_distrusted_with_all_its_claims():
    one = controller()
    one.roster(0.0, True, "r", 5, rows(*["1"] * 12))
    say(one, 10.0, *[Record((f"w{n}", "1"), {("d", 1): CourseClaim(Course.GONE, 5, "r")}) for n in range(4)])
    assert sum(state.status == "gone" for state in one.reported.values()) == 4, "one claim is believed at once"
    say(one, 11.0, Record(("w5", "1"), {("d", 1): CourseClaim(Course.GONE, 5, "r")}))
    assert all(state.status == "in service" for state in one.reported.values())
    assert [event.by for event in one.take()[2] if event.kind == "distrusted"] == [("d",)]


def test_replies_refute_claims_that_a_process_is_gone_without_a_roster():
    one = controller()
    one.roster(0.0, True, "r", 5, rows(*["1"] * 12))
    one.roster_lost(1.0)
    for n in range(8):
        one.sent(5.0, n, f"w{n}")
    say(one, 10.0, *[Record((f"w{n}", "1"), {("d", 1): CourseClaim(Course.GONE)}) for n in range(8)])
    for n in range(8):
        one.ended(500.0 + n, n, "returned", "1")
    assert all(state.status == "in service" for state in one.reported.values())


def test_few_controllers_probe_for_a_successor_while_the_roster_is_unavailable():
    group = [controller(name) for name in ("me", *"cde")]
    for one in group:
        one.set_peers([Peer(other.me[0], other.address) for other in group if other is not one])
        one.roster(0.0, True, "r", 1, rows("1", "1"))
        one.roster(1.0, False, "r", 2, [replace(rows("1")[0], listed=Listed.DRAINING)])
        one.tick(300.0)
        assert not one.take_probes(), "a live roster names the next process"
        one.roster_lost(400.0)
        one.tick(1_000.0)
    asked = [one.take_probes() for one in group]
    assert sorted(asked) == [[], [], ["w0"], ["w0"]]
    one = next(one for one in group if one.view)
    one.probed(1_100.0, "w0", "1", True, 9_000.0)
    assert status(one)["w0"] == ("1", "draining")
    one.probed(1_700.0, "w0", "2", False, 50.0)
    assert status(one)["w0"] == ("2", "in service") and one.reported["w0"].born == 1_650.0


def test_claims_of_others_under_the_own_name_are_ignored():
    one = controller()
    one.roster(0.0, True, "r", 5, rows("1"))
    forged = Record(
        ("w0", "1"), {("me", 1): CourseClaim(Course.GONE)}, opinions={("me", 1): Opinion(9, "silent", "x", 0.0)}
    )
    say(one, 1.0, forged)
    assert status(one)["w0"] == ("1", "in service") and not one.view.records["w0", "1"].opinions


def test_a_silent_invoker_is_suspected_after_two_reports_and_cleared_by_a_reply():
    one, other = controller(), controller("c")
    for fleet in (one, other):
        fleet.roster(0.0, True, "r", 1, rows(*["1"] * 4))
        fleet.sent(10.0, 1, "w0")
        fleet.tick(300.0)
    one.tick(2_100.0)
    assert not one.take()[1], "own observations count as one observer"
    messages = [send.message for now in (2_100.0, 2_200.0) for send in other.tick(now)]
    assert messages
    for message in messages:
        one.receive(2_250.0, message)
    one.tick(2_300.0)
    suspicions = one.take()[1]
    assert [(each.address, each.ill) for each in suspicions] == [("w0", True)] and "c, me" in suspicions[0].why
    one.ended(3_400.0, 1, "returned", "1")
    one.tick(3_600.0)
    assert [(each.address, each.ill) for each in one.take()[1]] == [("w0", False)]


def test_an_opinion_is_sent_if_it_is_useful_and_not_again_when_it_arrives_by_a_faster_route():
    """With 300 controllers, each opinion received again with an older time counted as new, and messages carried whole
    records with all opinions held."""
    one, process = controller(), ("w0", "1")
    one.roster(0.0, True, "r", 1, rows("1", "1"))
    one.tick(100.0)
    for _ in range(8):
        one.piggyback_message(150.0)
    assert not one.piggyback_message(200.0).records

    def receive(now, at, *who):
        say(one, now, *[Record(process, opinions={(name, 1): Opinion(1, "silent", "x", at)}) for name in who])
        return [record.opinions.keys() for send in one.tick(now + 100.0) for record in send.message.records]

    assert receive(3_000.0, 2_900.0, "c") == [{("c", 1)}] * min(one.limits.push_fanout, len(one.peers))
    (sent,) = one.piggyback_message(3_200.0).records
    assert sent.opinions.keys() == {("c", 1)} and not sent.listings, "only what is new, without the row"
    for _ in range(8):
        one.piggyback_message(3_250.0)
    assert receive(3_300.0, 2_800.0, "c") == [] and not one.piggyback_message(3_500.0).records, (
        "a faster route brings nothing new"
    )
    receive(3_600.0, 3_550.0, "d", "e")
    for _ in range(8):
        one.piggyback_message(3_800.0)
    assert receive(3_900.0, 3_850.0, "f") == [] and not one.piggyback_message(4_100.0).records, (
        "three observers of its zone agree already"
    )
    assert receive(10_000.0, 3_900.0, "g") == [], "its observer should have repeated it by now"
    assert receive(10_200.0, 10_100.0, "h") != []


MESSAGE = st.builds(
    FleetMessage,
    st.sampled_from(KINDS),
    st.tuples(st.text(min_size=1, max_size=5), st.integers(0, 2**40)),
    st.text(min_size=1, max_size=9),
    st.integers(0, 2**64 - 1),
    st.integers(0, 2**40),
    st.lists(records(), max_size=3).map(tuple),
    st.lists(st.integers(0, 2**64 - 1), max_size=32).map(tuple),
    st.lists(st.integers(0, 31), max_size=4).map(tuple),
)


@FAST
@given(MESSAGE, st.binary(max_size=60), st.integers(0, 10_000))
def test_messages_round_trip_and_all_other_data_is_refused_with_a_reason(message, garbage, at):
    codec = Codec("group", "mark")
    data = codec.encode(100.0, message)
    assert codec.decode(100.0, data) == message
    changed = bytearray(data)
    changed[at % len(data)] ^= 1 + at % 255
    for other, bad in (
        (codec, garbage),
        (codec, data[:-1]),
        (codec, bytes(changed)),
        (codec, data + b"\0" * 300_000),
        (Codec("group", "another"), data),
    ):
        with pytest.raises(FleetMessageError) as caught:
            other.decode(100.0, bad)
        assert str(caught.value)


def test_a_record_out_of_bounds_is_refused_even_with_the_right_mark():
    codec, good = Codec("g", "m"), Record(("a", "1"), listings={("c", 1): Listing(1, "r")})
    for bad in (
        Record(("", "1")),
        Record(("a", "1" * 300)),
        replace(good, listings={("c", -1): Listing(1, "r")}),
        replace(good, listings={("c", 1): Listing(2**60, "r")}),
        replace(good, listings={("c", 1): Listing(1, "r", size=float("nan"))}),
        replace(good, claims={("c", n): CourseClaim(Course.GONE) for n in range(5)}),
    ):
        with pytest.raises(FleetMessageError):
            codec.decode(0.0, codec.encode(0.0, FleetMessage("push", ("c", 1), "at", 0, 0, (bad,))))


def test_a_snapshot_keeps_its_age_and_a_corrupt_one_is_refused():
    codec = Codec("g", "m")
    record = Record(
        ("a", "1"),
        {("c", 1): CourseClaim(Course.DRAINING)},
        {("c", 1): Listing(3, "r")},
        {("c", 1): Opinion(1, "silent", "x", 5.0)},
        40.0,
    )
    data = codec.snapshot(100.0, 5_000.0, [record])
    found, age = codec.restored(1_000.0, 9_000.0, data)
    assert age == 4_000.0 and found == [replace(record, opinions={}, born=1_000.0 - 4_000.0 - 60.0)]
    for bad, wall in ((data[:-3], 9_000.0), (data, 4_000.0), (b"", 9_000.0), (data[:30] + b"\1" + data[31:], 9_000.0)):
        with pytest.raises(FleetMessageError):
            codec.restored(0.0, wall, bad)


# Many controllers in virtual time

BOUNDS = seen.FleetBounds(alike_within=10_000.0)


@pytest.mark.parametrize("case", [case for case in CASES if case != "thousand"])
def test_a_hard_case_settles_without_breaking_an_invariant(case):
    found = play(case, 24, 18, bounds=BOUNDS)
    assert found.broken == [] and found.alike is not None and found.alike < 5_000.0
    assert found.usable > 0.8 or case == "replaced", "serving invokers are found again even without the roster"
    if case == "liar":
        assert found.usable > 0.9 and found.kinds["distrusted"] == 23


def test_sharing_the_view_reduces_failed_forwards():
    for case, metric, share_left in (("silent", "timed_out", 0.6), ("dead-unlisted", "refused", 0.4)):
        alone, shared = (play(case, 24, 18, share=share) for share in (False, True))
        assert shared.figures[metric] < share_left * alone.figures[metric] and alone.figures[metric] > 30


def test_300_controllers_without_a_roster_converge_again():
    found = play("roster-dark", 300, 12, rate=0.3, bounds=BOUNDS, observe_interval=2_000.0)
    assert found.broken == [] and found.alike is not None and found.alike < 10_000.0


# Each invariant is checked with a build that lacks what it depends on


def test_a_build_without_what_an_invariant_depends_on_is_reported():
    for kind, case, which in (
        (Mute, "pushed-to-one", "a"),
        (Deaf, "drained-for-one", "b"),
        (Clinging, "replaced", "c"),
    ):
        found = play(case, 12, 12, kind=kind, rate=6.0, bounds=seen.FleetBounds(alike_within=10_000.0))
        assert which in {one.which for one in found.broken}, case
    honest, fooled = play("liar", 12, 12), play("liar", 12, 12, kind=Gullible)
    service = [one.figures["returned"] / max(1, one.figures["forwards"]) * one.usable for one in (honest, fooled)]
    assert seen.loss(service[0], 1.0, BOUNDS) == []
    assert [one.which for one in seen.loss(service[1], 1.0, BOUNDS)] == ["d"]


def test_the_judge_checks_digests_late_forwards_and_records_that_outlive_a_restart():
    events = [
        Began(0.0, "c0"),
        Began(0.0, "c1"),
        seen.Born(0.0, "w", "1"),
        seen.WasTold(100.0, "c0", "w", "1", "draining"),
        seen.Born(500.0, "w", "2"),
        seen.WasTold(600.0, "c0", "w", "2", "in service"),
    ]
    good = [seen.FleetView(700.0, name, "d", [("w", "2", "in service")]) for name in ("c0", "c1")]
    assert seen.check([*events, *good, seen.Reached(3_000.0, "c1", "w", "1")], BOUNDS, 20_000.0).broken == []
    bad = [seen.FleetView(9_000.0, "c1", "e", [("w", "1", "in service")]), seen.Reached(5_500.0, "c1", "w", "1")]
    assert [one.which for one in seen.check([*events, *good, *bad], BOUNDS, 20_000.0).broken] == ["b", "c", "a"]
