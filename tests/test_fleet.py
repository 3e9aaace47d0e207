"""The fleet's view in common: joins, facts that stay, opinions that bend, liars, old rosters; all without I/O."""

from dataclasses import replace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from sprucespool.emulator.cases import CASES, play
from sprucespool.fleet import (
    Codec,
    Course,
    Fleet,
    Listed,
    Listing,
    Note,
    NoteError,
    Opinion,
    OpinionLimits,
    Peer,
    Record,
    Told,
    View,
    Word,
    judged,
    Weighing,
    merged,
)
from sprucespool.fleet.notes import KINDS
from sprucespool.fleet.records import adds
from sprucespool.judge import fleet as seen
from sprucespool.judge.group import Began
from sprucespool.standin.views import Clinging, Deaf, Gullible, Mute

FAST = settings(max_examples=200, deadline=None, derandomize=True, database=None)
WHO = st.tuples(st.sampled_from("cdefgh"), st.integers(1, 2))
WORD = st.builds(Word, st.sampled_from(Course), st.integers(0, 3), st.sampled_from(["", "r"]))
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
        st.dictionaries(WHO, WORD, max_size=4),
        st.dictionaries(WHO, LISTING, max_size=3),
        st.dictionaries(WHO, OPINION, max_size=5),
        st.none() | st.sampled_from([1.0, 2.0]),
    )


@FAST
@given(records(), records(), records())
def test_records_of_a_process_are_joined_in_any_order_and_never_go_back(one, other, third):
    assert merged(one, other) == merged(other, one) and merged(one, one) == merged(one, Record(one.process))
    assert merged(merged(one, other), third) == merged(one, merged(other, third))
    both = merged(one, other)
    assert both.course() == max(one.course(), other.course())
    newest = [found for found in (one.listing(), other.listing()) if found]
    assert both.listing() == max(newest, default=None)


@FAST
@given(records(), records())
def test_what_is_passed_over_unread_changes_nothing_that_is_held_alike(one, other):
    one = merged(one, Record(one.process))
    if not adds(one, other):
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
def test_a_view_goes_by_its_indexes_as_a_plain_dict_would(steps, chance, zone):
    view, plain, now = View(), {}, 0.0
    limits = OpinionLimits(observers=1)
    weighing, speaks_for = Weighing(limits), set()
    for n, (record, after) in enumerate(steps):
        now += after
        record = replace(record, opinions={who: replace(one, at=now - one.at) for who, one in record.opinions.items()})
        view.join(now, record)
        changed = {record.process, *view.sweep(now)}
        held = plain.get(record.process, Record(record.process))
        plain[record.process] = merged(held, record)
        plain = {
            process: replace(
                one, opinions={who: said for who, said in one.opinions.items() if now - said.at < view.lapse}
            )
            for process, one in plain.items()
        }
        # Own answers come from one, then from another, and grow old.
        now_for = [{("b", "1")}, {("b", "1"), ("a", "1")}, {("a", "2")}, set()][n // 3 % 4]
        changed |= now_for - speaks_for
        speaks_for = now_for
        wanted = judged(now, plain.values(), zone, speaks_for, limits)
        assert weighing.look(now, view, zone, speaks_for.__contains__, changed) == wanted
        assert Weighing(limits).look(now, view, zone, speaks_for.__contains__, None) == wanted
    there = View()
    shuffled = list(view.records.values())
    chance.shuffle(shuffled)
    for record in shuffled:
        there.join(now, record)
    assert there.digest == view.digest and there.marks == view.marks


def test_a_gone_process_is_forgotten_in_the_end_and_opinions_lapse_before():
    view = View(remember=100_000.0)
    view.join(0.0, Record(("a", "1"), {("c", 1): Word(Course.GONE)}, opinions={("c", 1): Opinion(1, "silent", "x", 0)}))
    assert view.sweep(20_000.0) == [("a", "1")] and view.records["a", "1"].opinions == {}
    assert view.next_due() == 100_000.0
    view.sweep(99_000.0)
    assert ("a", "1") in view.records
    view.sweep(100_000.0)
    assert not view.records and not view.digest and not any(view.marks) and not view.zones


def served(*bad, zones=("x", "y"), observers=("c", "d"), kind="silent", seen_from="x", count=8):
    view = View()
    for n in range(count):
        view.join(0.0, Record((f"w{n}", "1"), listings={("c", 1): Listing(1, "roster", zone=zones[n % len(zones)])}))
    for n in bad:
        for observer in observers:
            view.join(0.0, Record((f"w{n}", "1"), opinions={(observer, 1): Opinion(1, kind, seen_from, 0.0)}))
    return view


def out(view, zone="x", own=(), now=1.0, limits=None):
    found = Weighing(limits or OpinionLimits()).look(now, view, zone, lambda process: process[0] in own, None)
    return sorted(process[0] for process in found.out), found.panic


def test_one_observer_sets_nobody_aside_two_do_and_own_answers_outrank_them():
    assert out(served(0, observers=("c",))) == ([], ())
    assert out(served(0)) == (["w0"], ())
    assert out(served(0), own=("w0",)) == ([], ())
    assert out(served(0), now=20_000.0) == ([], ()), "opinions lapse"


def test_what_one_zone_can_not_reach_another_that_can_goes_on_using():
    view = served(0, seen_from="x")
    view.join(0.0, Record(("w0", "1"), opinions={("e", 1): Opinion(1, "well", "y", 0.0)}))
    assert out(view, "x") == (["w0"], ()) and out(view, "y") == ([], ())


def test_opinions_of_the_whole_fleet_empty_no_zone():
    assert out(served(*range(8))) == ([], ("x", "y"))
    assert out(served(0, 2, 1)) == (["w0", "w1", "w2"], ())


# One controller


def controller(name="me", zone="x", **over):
    one = Fleet((name, 1), f"at-{name}", zone, **over)
    one.set_peers([Peer(other, f"at-{other}") for other in "cde" if other != name])
    return one


def rows(*boots, zone="x", listed=Listed.IN_SERVICE):
    return [Told((f"w{n}", boot), listed, zone=zone, age=1_000.0) for n, boot in enumerate(boots)]


def status(one):
    return {address: (place.boot, place.status) for address, place in one.told.items()}


def say(one, now, *records, sender="c", version=0, kind="push"):
    return one.heard(now, Note(kind, (sender, 1), f"at-{sender}", 1, version, records))


def test_the_roster_alone_is_told_on_as_it_is():
    one = controller()
    one.roster(0.0, True, "r", 1, rows("1", "1"))
    one.roster(10.0, False, "r", 2, rows("1", listed=Listed.DRAINING))
    one.roster(20.0, True, "r", 3, rows("1"))
    assert status(one) == {"w0": ("1", "draining"), "w1": ("1", "gone")}, "a drain is never taken back for that process"
    one.roster(30.0, False, "r", 4, rows("2"))
    one.roster(40.0, True, "r", 5, [*rows("2"), Told(("w1", "1"), zone="x")])
    assert status(one) == {"w0": ("2", "in service"), "w1": ("1", "in service")}, "a row left out may come back"
    places, doubts, events = one.take()
    assert [place.address for place in places] == ["w0", "w1"] and not doubts
    assert ("started", ("w0", "2")) in [(event.kind, event.process) for event in events]


def test_a_fact_told_by_another_counts_at_once_and_a_restart_ends_the_process_before():
    one = controller()
    one.roster(0.0, True, "r", 1, rows("1", "1"))
    say(one, 5.0, Record(("w0", "1"), {("c", 1): Word(Course.DRAINING)}))
    assert status(one)["w0"] == ("1", "draining")
    say(
        one,
        6.0,
        Record(("w1", "1"), {("d", 1): Word(Course.GONE)}),
        Record(("w1", "2"), listings={("d", 1): Listing(1, "r", zone="x")}),
    )
    assert status(one)["w1"] == ("2", "in service")
    for n in range(2):
        one.sent(6.0, n, f"w{n}")
        one.ended(7.0, n, "returned", "1" if n == 0 else "2", n == 0)
    assert status(one) == {"w0": ("1", "draining"), "w1": ("2", "in service")}


def test_the_invoker_itself_tells_that_it_is_another_process_or_drains():
    one = controller()
    one.roster(0.0, True, "r", 1, rows("1", "1"))
    one.roster_lost(1.0)
    for n in range(2):
        one.sent(5.0, n, f"w{n}")
    one.ended(6.0, 0, "returned", "2", False, 700.0)
    one.ended(7.0, 1, "returned", "1", True)
    assert status(one) == {"w0": ("2", "in service"), "w1": ("1", "draining")}
    place = one.told["w0"]
    assert place.born == 6.0 - 700.0 and place.zone == "x"
    other = controller("c")
    other.roster(0.0, True, "r", 1, rows("1", "1"))
    for send in one.tick(200.0):
        other.heard(210.0, send.note)
    assert status(other) == status(one) and other.digest == one.digest


def test_without_a_roster_of_its_own_a_newcomer_serves_from_the_first_note():
    one, other = controller(), controller("c")
    other.roster(0.0, True, "r", 7, rows(*["1"] * 100))
    assert not one.known
    sends = one.heard(5.0, other.cargo(4.0))
    answers = [answer for send in sends for answer in other.heard(6.0, send.note)]
    for answer in answers:
        one.heard(7.0, answer.note)
    assert one.digest == other.digest and len(one.told) == 100


def test_what_is_ahead_of_a_living_roster_waits_for_its_word_and_not_for_ever():
    one = controller()
    one.roster(0.0, True, "r", 1, rows("1"))
    new = Record(("w9", "1"), listings={("c", 1): Listing(2, "r", zone="x")})
    say(one, 10.0, new)
    assert "w9" not in one.told
    one.tick(2_900.0)
    assert "w9" not in one.told
    one.tick(3_200.0)
    assert status(one)["w9"] == ("1", "in service")
    dark = controller()
    say(dark, 10.0, new)
    assert status(dark)["w9"] == ("1", "in service"), "without a roster there is nothing to wait for"


def test_a_roster_that_goes_back_or_contradicts_another_is_named_and_undoes_nothing():
    one = controller()
    one.roster(0.0, True, "r", 5, rows("1", "1"))
    one.roster(1.0, False, "r", 6, [Told(("w0", "2"), zone="x")])
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


def test_who_lies_about_what_the_own_roster_shows_is_left_out_and_all_it_said_with_it():
    one = controller()
    one.roster(0.0, True, "r", 5, rows(*["1"] * 12))
    say(one, 10.0, *[Record((f"w{n}", "1"), {("d", 1): Word(Course.GONE, 5, "r")}) for n in range(4)])
    assert sum(place.status == "gone" for place in one.told.values()) == 4, "believed at once: one word is enough"
    say(one, 11.0, Record(("w5", "1"), {("d", 1): Word(Course.GONE, 5, "r")}))
    assert all(place.status == "in service" for place in one.told.values())
    assert [event.by for event in one.take()[2] if event.kind == "distrusted"] == [("d",)]


def test_answers_speak_against_who_says_that_a_process_is_gone_and_no_roster_is_needed():
    one = controller()
    one.roster(0.0, True, "r", 5, rows(*["1"] * 12))
    one.roster_lost(1.0)
    for n in range(8):
        one.sent(5.0, n, f"w{n}")
    say(one, 10.0, *[Record((f"w{n}", "1"), {("d", 1): Word(Course.GONE)}) for n in range(8)])
    for n in range(8):
        one.ended(500.0 + n, n, "returned", "1")
    assert all(place.status == "in service" for place in one.told.values())


def test_where_a_process_ended_few_ask_for_the_next_one_while_the_roster_is_dark():
    group = [controller(name) for name in ("me", *"cde")]
    for one in group:
        one.set_peers([Peer(other.me[0], other.address) for other in group if other is not one])
        one.roster(0.0, True, "r", 1, rows("1", "1"))
        one.roster(1.0, False, "r", 2, [replace(rows("1")[0], listed=Listed.DRAINING)])
        one.tick(300.0)
        assert not one.take_probes(), "a living roster will say"
        one.roster_lost(400.0)
        one.tick(1_000.0)
    asked = [one.take_probes() for one in group]
    assert sorted(asked) == [[], [], ["w0"], ["w0"]]
    one = next(one for one in group if one.view)
    one.probed(1_100.0, "w0", "1", True, 9_000.0)
    assert status(one)["w0"] == ("1", "draining")
    one.probed(1_700.0, "w0", "2", False, 50.0)
    assert status(one)["w0"] == ("2", "in service") and one.told["w0"].born == 1_650.0


def test_nobody_else_speaks_under_a_controllers_own_name():
    one = controller()
    one.roster(0.0, True, "r", 5, rows("1"))
    said = Record(("w0", "1"), {("me", 1): Word(Course.GONE)}, opinions={("me", 1): Opinion(9, "silent", "x", 0.0)})
    say(one, 1.0, said)
    assert status(one)["w0"] == ("1", "in service") and not one.view.records["w0", "1"].opinions


def test_a_silent_invoker_is_told_of_once_doubted_by_two_and_cleared_by_an_answer():
    one, other = controller(), controller("c")
    for fleet in (one, other):
        fleet.roster(0.0, True, "r", 1, rows(*["1"] * 4))
        fleet.sent(10.0, 1, "w0")
        fleet.tick(300.0)
    one.tick(2_100.0)
    assert not one.take()[1], "one's own eyes are no two observers"
    notes = [send.note for now in (2_100.0, 2_200.0) for send in other.tick(now)]
    assert notes
    for note in notes:
        one.heard(2_250.0, note)
    one.tick(2_300.0)
    doubts = one.take()[1]
    assert [(doubt.address, doubt.ill) for doubt in doubts] == [("w0", True)] and "c, me" in doubts[0].why
    one.ended(3_400.0, 1, "returned", "1")
    one.tick(3_600.0)
    assert [(doubt.address, doubt.ill) for doubt in one.take()[1]] == [("w0", False)]


def test_an_opinion_is_told_where_it_changes_a_mind_by_itself_and_not_again_for_a_quicker_way():
    """Seen at 300: each opinion heard with an older moment was news again, and rows carried all that were held."""
    one, process = controller(), ("w0", "1")
    one.roster(0.0, True, "r", 1, rows("1", "1"))
    one.tick(100.0)
    for _ in range(8):
        one.cargo(150.0)
    assert not one.cargo(200.0).records

    def hear(now, at, *who):
        say(one, now, *[Record(process, opinions={(name, 1): Opinion(1, "silent", "x", at)}) for name in who])
        return [record.opinions.keys() for send in one.tick(now + 100.0) for record in send.note.records]

    assert hear(3_000.0, 2_900.0, "c") == [{("c", 1)}] * min(one.limits.push_to, len(one.peers))
    (told,) = one.cargo(3_200.0).records
    assert told.opinions.keys() == {("c", 1)} and not told.listings, "what is new, not the row"
    for _ in range(8):
        one.cargo(3_250.0)
    assert hear(3_300.0, 2_800.0, "c") == [] and not one.cargo(3_500.0).records, "by a quicker way: no news"
    hear(3_600.0, 3_550.0, "d", "e")
    for _ in range(8):
        one.cargo(3_800.0)
    assert hear(3_900.0, 3_850.0, "f") == [] and not one.cargo(4_100.0).records, "three of its zone said so"
    assert hear(10_000.0, 3_900.0, "g") == [], "its owner had the time to say it again"
    assert hear(10_200.0, 10_100.0, "h") != []


NOTE = st.builds(
    Note,
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
@given(NOTE, st.binary(max_size=60), st.integers(0, 10_000))
def test_notes_come_back_as_they_were_and_all_else_is_refused_with_a_reason(note, garbage, at):
    codec = Codec("group", "mark")
    data = codec.encode(100.0, note)
    assert codec.decode(100.0, data) == note
    changed = bytearray(data)
    changed[at % len(data)] ^= 1 + at % 255
    for other, bad in (
        (codec, garbage),
        (codec, data[:-1]),
        (codec, bytes(changed)),
        (codec, data + b"\0" * 300_000),
        (Codec("group", "another"), data),
    ):
        with pytest.raises(NoteError) as caught:
            other.decode(100.0, bad)
        assert str(caught.value)


def test_a_record_out_of_bounds_is_refused_though_its_sender_knows_the_mark():
    codec, good = Codec("g", "m"), Record(("a", "1"), listings={("c", 1): Listing(1, "r")})
    for bad in (
        Record(("", "1")),
        Record(("a", "1" * 300)),
        replace(good, listings={("c", -1): Listing(1, "r")}),
        replace(good, listings={("c", 1): Listing(2**60, "r")}),
        replace(good, listings={("c", 1): Listing(1, "r", size=float("nan"))}),
        replace(good, words={("c", n): Word(Course.GONE) for n in range(5)}),
    ):
        with pytest.raises(NoteError):
            codec.decode(0.0, codec.encode(0.0, Note("push", ("c", 1), "at", 0, 0, (bad,))))


def test_a_snapshot_is_as_old_as_it_is_and_a_spoilt_one_is_refused():
    codec = Codec("g", "m")
    record = Record(
        ("a", "1"),
        {("c", 1): Word(Course.DRAINING)},
        {("c", 1): Listing(3, "r")},
        {("c", 1): Opinion(1, "silent", "x", 5.0)},
        40.0,
    )
    data = codec.snapshot(100.0, 5_000.0, [record])
    found, age = codec.restored(1_000.0, 9_000.0, data)
    assert age == 4_000.0 and found == [replace(record, opinions={}, born=1_000.0 - 4_000.0 - 60.0)]
    for bad, wall in ((data[:-3], 9_000.0), (data, 4_000.0), (b"", 9_000.0), (data[:30] + b"\1" + data[31:], 9_000.0)):
        with pytest.raises(NoteError):
            codec.restored(0.0, wall, bad)


# Many controllers in virtual time

BOUNDS = seen.FleetBounds(alike_within=10_000.0)


@pytest.mark.parametrize("case", [case for case in CASES if case != "thousand"])
def test_a_hard_case_settles_and_breaks_no_invariant(case):
    found = play(case, 24, 18, bounds=BOUNDS)
    assert found.broken == [] and found.alike is not None and found.alike < 5_000.0
    assert found.usable > 0.8 or case == "replaced", "what serves is found again without the roster too"
    if case == "liar":
        assert found.usable > 0.9 and found.kinds["distrusted"] == 23


def test_telling_each_other_cuts_what_is_met_without():
    for case, what, part in (("silent", "timed_out", 0.6), ("dead-unlisted", "refused", 0.4)):
        alone, shared = (play(case, 24, 18, share=share) for share in (False, True))
        assert shared.figures[what] < part * alone.figures[what] and alone.figures[what] > 30


def test_300_controllers_with_the_roster_dark_see_the_same_again():
    found = play("roster-dark", 300, 12, rate=0.3, bounds=BOUNDS, observe_interval=2_000.0)
    assert found.broken == [] and found.alike is not None and found.alike < 10_000.0


# Each invariant by a build without what it rests on


def test_a_build_without_what_an_invariant_rests_on_is_told():
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


def test_the_judge_reads_digests_late_forwards_and_records_that_outlive_a_restart():
    told = [
        Began(0.0, "c0"),
        Began(0.0, "c1"),
        seen.Born(0.0, "w", "1"),
        seen.WasTold(100.0, "c0", "w", "1", "draining"),
        seen.Born(500.0, "w", "2"),
        seen.WasTold(600.0, "c0", "w", "2", "in service"),
    ]
    good = [seen.FleetView(700.0, name, "d", [("w", "2", "in service")]) for name in ("c0", "c1")]
    assert seen.check([*told, *good, seen.Reached(3_000.0, "c1", "w", "1")], BOUNDS, 20_000.0).broken == []
    bad = [seen.FleetView(9_000.0, "c1", "e", [("w", "1", "in service")]), seen.Reached(5_500.0, "c1", "w", "1")]
    assert [one.which for one in seen.check([*told, *good, *bad], BOUNDS, 20_000.0).broken] == ["b", "c", "a"]
