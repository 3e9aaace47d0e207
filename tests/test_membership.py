"""Group membership in virtual time: merge laws, messages, failure detection, repair, difficult cases at 300 members."""

from dataclasses import replace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from sprucespool.daemon.failover import FAILOVER_METRICS
from sprucespool.daemon.group import LOAD_METRICS
from sprucespool.emulator.group import VirtualGroup
from sprucespool.faults import LinkState
from sprucespool.judge import group as seen
from sprucespool.membership import About, Codec, Event, Group, Message, MessageError, Row, State, merge
from sprucespool.membership.accuser_trust import AccuserTrust
from sprucespool.membership.messages import KINDS
from sprucespool.membership.rows import MAX_ACCUSERS, MAX_FIGURES, Phase
from sprucespool.membership.suspicions import Suspicions

FAST = settings(max_examples=200, deadline=None, derandomize=True, database=None)
SILENT = LinkState(cut="silent")
ABOUT = st.builds(
    About,
    st.sampled_from(["", "r"]),
    st.sampled_from("xy"),
    st.integers(0, 3),
    st.integers(1, 4),
    st.just("b"),
    st.sampled_from(Phase),
)
ROW = st.builds(
    Row,
    st.just("a"),
    st.just("at"),
    st.integers(1, 3),
    st.integers(0, 3),
    st.sampled_from(State),
    st.integers(0, 2),
    ABOUT,
    st.binary(max_size=4),
    st.lists(st.sampled_from("pqrst"), max_size=MAX_ACCUSERS, unique=True).map(lambda n: tuple(sorted(n))),
    st.integers(0, 2),
    st.lists(st.floats(0, 9), max_size=2).map(tuple),
)


@FAST
@given(ROW, ROW, ROW)
def test_merge_of_rows_is_commutative_associative_and_idempotent(one, other, third):
    assert merge(one, other) == merge(other, one)
    assert merge(merge(one, other), third) == merge(one, merge(other, third))
    assert merge(one, one) == one and merge(merge(one, other), other) == merge(one, other)
    both = merge(one, other)
    for row in (one, other):
        assert both.start >= row.start
        if both.start == row.start:
            assert both.liveness >= row.liveness and both.version >= row.version


MESSAGE = st.builds(
    Message,
    st.sampled_from(KINDS),
    ROW,
    st.tuples(st.text(max_size=9), st.integers(0, 2**40)),
    st.integers(0, 2**40),
    st.tuples(st.text(max_size=9), st.text(max_size=9)),
    st.lists(ROW, max_size=3).map(tuple),
    st.lists(st.integers(0, 2**64 - 1), max_size=32).map(tuple),
    st.lists(st.integers(0, 31), max_size=4).map(tuple),
    st.lists(st.tuples(st.text(max_size=5), st.text(max_size=5)), max_size=3).map(tuple),
    st.floats(0, 1),
)


@FAST
@given(MESSAGE, st.binary(max_size=60), st.integers(0, 10_000))
def test_messages_decode_as_encoded_and_all_others_are_refused(message, garbage, place):
    codec = Codec("group", "mark")
    data = codec.encode(message)
    assert codec.decode(data) == message
    changed = bytearray(data)
    changed[place % len(data)] ^= 1 + place % 255
    for other, bad in (
        (codec, garbage),
        (codec, data[:-1]),
        (codec, bytes(changed)),
        (codec, data + b"\0" * 70_000),
        (Codec("group", "another mark"), data),
        (Codec("another group", "mark"), data),
    ):
        with pytest.raises(MessageError) as raised:
            other.decode(bad)
        assert str(raised.value)


def test_a_row_out_of_bounds_is_refused_though_its_sender_knows_the_mark():
    codec = Codec("group", "mark")
    good = Row("a", "at", 1)
    for bad in (
        replace(good, name="x" * 200),
        replace(good, incarnation=2**63 - 1),
        replace(good, start=-1),
        replace(good, figures=(1.0,) * (MAX_FIGURES + 1)),
        replace(good, figures=(float("nan"),)),
        replace(good, figures_version=-1),
        replace(good, about=About(of=0)),
        replace(good, accusers=("a",) * 5),
        replace(good, seal=b"s" * 40),
    ):
        with pytest.raises(MessageError):
            codec.decode(codec.encode(Message("ping", bad)))


def test_a_suspicion_shortens_with_each_accuser_down_to_the_minimum():
    suspicions, seat = Suspicions(), ("a", "at")
    suspicions.add(0.0, seat, 1, 0, {"p"}, 4.0, 16.0, 300)
    dues = [suspicions.next_due()]
    for accuser in "qrst":
        suspicions.add(1.0, seat, 1, 0, {accuser}, 4.0, 16.0, 300)
        dues.append(suspicions.next_due())
    assert dues[0] == 16.0 and dues == sorted(dues, reverse=True) and dues[3] == dues[4] == 4.0
    suspicions.shift(10.0)
    assert suspicions.expired(13.9) == [] and [one for one, _ in suspicions.expired(14.0)] == [seat]
    assert suspicions.next_due() == float("inf")


def test_an_accuser_of_responsive_members_is_distrusted_for_a_while():
    trust = AccuserTrust(distrust_after=3, window_ms=30.0, distrust_ms=60.0)
    assert not any(trust.contradicted(0.0, "liar", ("a", "at")) for _ in range(9)), (
        "one accused member may really be cut off"
    )
    assert not trust.contradicted(1.0, "liar", ("b", "at")) and trust.contradicted(2.0, "liar", ("c", "at"))
    assert trust.distrusted(3.0, "liar") and not trust.distrusted(70.0, "liar")


# Cases in virtual time


def history(virtual: VirtualGroup, viewers: int = 24, every: float = 1_000.0):
    """Record views for the judge from some members only: at 300 members all views would have 90,000 rows each time."""
    noted: list[seen.Happened] = [seen.Began(virtual.now, name) for name in virtual.members]

    def note_views():
        chosen = sorted(virtual.members)[:: max(1, len(virtual.members) // viewers)]
        for name in chosen:
            one = virtual.members[name]
            if name not in virtual.paused:
                rows = [one.me, *(held.row for held in one.table.records.values())]
                noted.append(
                    seen.SeenView(
                        virtual.now,
                        name,
                        one.start,
                        f"{one.digest}",
                        one.share(),
                        [
                            seen.SeenRow(row.name, row.start, row.state.name.lower(), row.incarnation, row.version)
                            for row in rows
                        ],
                    )
                )
        virtual._later(every, note_views)

    virtual._later(every, note_views)
    return noted


def verdict(virtual: VirtualGroup, noted, **bounds) -> list[seen.BrokenInvariant]:
    """Broken invariants except (a), which needs views of all members; the callers check `alike` instead."""
    return [one for one in seen.check(noted, seen.Bounds(**bounds), virtual.now).broken if one.which != "a"]


@pytest.mark.parametrize("size", [2, 3, 12, 60])
def test_a_group_finds_all_its_members_and_notices_a_death(size):
    virtual = VirtualGroup(size)
    settled_after = virtual.run(10_000, virtual.alike)
    assert settled_after is not None and settled_after < 3_000
    virtual.run(5_000)
    virtual.kill(f"c{size - 1}")
    assert virtual.run(40_000, lambda: virtual.all_hold_gone(f"c{size - 1}")) is not None


def test_message_loss_of_5_and_20_percent_declares_nobody_dead():
    for loss in (0.05, 0.2):
        virtual = VirtualGroup(60, seed=5, loss=loss, settled=True)
        died = []
        virtual.watch = lambda member, event, died=died: died.append(event) if event.kind == "died" else None
        virtual.run(120_000)
        assert virtual.alike(), loss
        assert not died, loss


@pytest.mark.parametrize("size", [12, 300])
@pytest.mark.parametrize("what", ["deaf", "mute"])
def test_a_member_cut_off_one_way_is_declared_dead_once_and_accuses_nobody(size, what):
    virtual = VirtualGroup(size, seed=3, settled=True)
    virtual.run(3_000)
    events: list[tuple[str, str, Event]] = []
    virtual.watch = lambda member, event: events.append((member.name, event.row.name if event.row else "", event))
    one, other = (None, {"c5"}) if what == "deaf" else ({"c5"}, None)
    virtual.links.put("cut", one, other, SILENT, both=False)
    virtual.run(60_000)
    about_c5 = [event.kind for name, about, event in events if about == "c5" and name != "c5"]
    assert about_c5.count("died") == about_c5.count("suspected") == size - 1 and len(about_c5) <= 3 * (size - 1)
    assert not [name for name, about, event in events if about not in ("c5", "") and name != "c5"], "it accused others"
    virtual.links.heal("cut")
    assert virtual.run(10_000, virtual.alike) is not None


def test_three_partitions_of_300_with_joins_and_leaves_merge_again():
    virtual = VirtualGroup(300, seed=1, settled=True)
    noted = history(virtual)
    virtual.run(3_000)
    names = sorted(virtual.members)
    sides = [set(names[n::3]) for n in range(3)]
    virtual.links.partition("partition", sides)
    noted.append(seen.Faulted(virtual.now, sides=[sorted(side) for side in sides]))
    virtual.run(8_000)
    for n, side in enumerate(sides):
        some = sorted(side)
        virtual.restart(some[0])
        noted += [seen.Ended(virtual.now, some[0], "killed"), seen.Began(virtual.now, some[0])]
        virtual.leave(some[1])
        virtual.kill(some[2])
        noted += [seen.Ended(virtual.now, some[1], "left"), seen.Ended(virtual.now, some[2], "killed")]
        side -= {some[1], some[2]}
        side.add(f"new{n}")
        virtual.links.partition("partition", sides)
        virtual.join(f"new{n}", f"an{n}", seeds=[virtual.members[some[3]].address], number=7, of=300)
        noted.append(seen.Began(virtual.now, f"new{n}"))
    noted.append(seen.Faulted(virtual.now, sides=[sorted(side) for side in sides]))
    assert virtual.run(60_000, lambda: all(virtual.alike(side) for side in sides), 500) is not None
    virtual.links.heal("partition")
    noted.append(seen.Faulted(virtual.now))
    settled_after = virtual.run(30_000, virtual.alike)
    assert settled_after is not None and settled_after <= 10_000
    virtual.run(8_000)
    assert virtual.alike() and verdict(virtual, noted) == []


def test_a_third_of_300_killed_at_once_is_noticed_and_nobody_else_declared_dead():
    virtual = VirtualGroup(300, seed=4, settled=True)
    noted = history(virtual)
    virtual.run(3_000)
    for name in sorted(virtual.members)[::3]:
        virtual.kill(name)
        noted.append(seen.Ended(virtual.now, name, "killed"))
    assert virtual.run(60_000, virtual.alike, 500) is not None
    assert verdict(virtual, noted, never_dead=True) == []


def test_a_zone_of_300_suspended_for_ten_seconds_comes_back_without_false_deaths():
    virtual = VirtualGroup(300, seed=6, settled=True)
    noted = history(virtual)
    virtual.run(3_000)
    virtual.paused = {name for name, one in virtual.members.items() if one.about.zone == "z1"}
    noted.append(seen.Faulted(virtual.now, held=sorted(virtual.paused)))
    virtual.run(10_000)
    virtual.paused = set()
    noted.append(seen.Faulted(virtual.now))
    assert virtual.run(15_000, virtual.alike) is not None
    virtual.run(5_000)
    assert virtual.alike() and verdict(virtual, noted) == []


def test_60_members_restarted_in_turn_then_at_once_with_stale_addresses():
    virtual = VirtualGroup(60, seed=7, settled=True)
    noted = history(virtual)
    virtual.run(2_000)
    for n in range(0, 60, 2):
        # Two at a time swap addresses, so that all seeds and known addresses are stale.
        for name in (f"c{n}", f"c{n + 1}"):
            virtual.kill(name)
            noted.append(seen.Ended(virtual.now, name, "killed"))
        for name, address in ((f"c{n}", f"a{n + 1}"), (f"c{n + 1}", f"a{n}")):
            virtual.join(name, address, number=int(name[1:]), of=60)
            noted.append(seen.Began(virtual.now, name))
        virtual.run(1_000)
    assert virtual.run(40_000, virtual.alike) is not None
    for name in sorted(virtual.members):
        virtual.restart(name)
        noted += [seen.Ended(virtual.now, name, "killed"), seen.Began(virtual.now, name)]
    assert virtual.run(20_000, virtual.alike) is not None
    assert [one for one in verdict(virtual, noted) if one.which in "bd"] == []


def test_a_restart_in_place_is_a_new_process_for_all_at_once():
    virtual = VirtualGroup(60, seed=8, settled=True)
    virtual.run(3_000)
    kinds = []
    virtual.watch = lambda member, event: kinds.append(event.kind)
    new = virtual.restart("c9")
    assert (
        virtual.run(
            6_000,
            lambda: all(
                (row := one.table.row(new.me.seat)) and row.start == new.start for one in virtual.members.values()
            ),
        )
        is not None
    )
    virtual.run(10_000)
    assert kinds.count("restarted") == 59 and not {"suspected", "died"} & set(kinds)


def test_a_leave_reaches_all_within_a_second_without_suspicion():
    virtual = VirtualGroup(300, seed=9, settled=True)
    virtual.run(3_000)
    kinds = []
    virtual.watch = lambda member, event: kinds.append(event.kind)
    virtual.leave("c9")
    settled_after = virtual.run(2_000, lambda: virtual.all_hold_gone("c9"), 20)
    assert settled_after is not None and settled_after <= 1_000
    virtual.run(20_000)
    assert kinds.count("left") == 299 and not {"suspected", "died"} & set(kinds)


def test_duplicate_names_are_reported_and_a_reused_address_is_a_new_member():
    virtual = VirtualGroup(8, seed=2, settled=True)
    virtual.run(2_000)
    kinds: list[tuple[str, str]] = []
    virtual.watch = lambda member, event: kinds.append((event.kind, event.row.name if event.row else ""))
    twin = Group("c3", "b3", 9_999, virtual.seeds, About("region", "z0", 3, 8), 77, virtual.limits)
    virtual.members["c3 too"] = virtual.by_address["b3"] = twin
    twin.name = "c3"
    virtual._later(1.0, lambda: virtual._tick(twin))
    virtual.run(6_000)
    assert ("twin", "c3") in kinds and len(virtual.members["c0"].live()) == 9
    del virtual.by_address["a5"], virtual.members["c5"]
    virtual.join("d5", "a5", number=5, of=8)
    assert (
        virtual.run(
            10_000,
            lambda: all(
                "c5" not in [row.name for row in one.live()] and "d5" in [row.name for row in one.live()]
                for one in virtual.members.values()
            ),
        )
        is not None
    )


def test_one_good_seed_among_dead_and_wrong_ones_is_enough_to_join():
    virtual = VirtualGroup(20, seed=3, settled=True)
    for name in ("c0", "c1", "c2"):
        virtual.kill(name)
    assert virtual.run(30_000, virtual.alike) is not None
    virtual.join("late", "late", seeds=["a0", "nobody", "a1", "a2", "a9"], number=3, of=20)
    assert virtual.run(10_000, virtual.alike) is not None
    lonely = virtual.join("lonely", "lonely", seeds=["nobody"], number=4, of=20)
    virtual.run(10_000)
    assert lonely.live() == [lonely.me]


def test_clock_jumps_a_slow_member_and_a_flapping_link_declare_nobody_dead():
    virtual = VirtualGroup(60, seed=11, settled=True)
    noted = history(virtual)
    virtual.run(3_000)
    virtual.slow["c7"] = 180.0
    for n in range(20):
        virtual.clock["c5"] = (60_000.0 if n % 2 else -60_000.0) * (n < 19)
        if n % 2:
            virtual.links.put("flap", {"c1"}, {"c2", "c3", "c4"}, SILENT)
        else:
            virtual.links.heal("flap")
        virtual.run(1_000)
    virtual.links.heal("flap")
    virtual.run(10_000)
    assert virtual.alike()
    broken = [one for one in verdict(virtual, noted, never_dead=True) if "c5" not in one.what]
    assert broken == [], "only c5, whose clock jumps by minutes, may be suspected"


def test_a_liar_with_high_incarnations_is_distrusted_and_declares_nobody_dead():
    virtual = VirtualGroup(60, seed=12, settled=True)
    virtual.run(20_000)
    kinds: list[tuple[str, tuple[str, ...]]] = []
    virtual.watch = lambda member, event: kinds.append((event.kind, event.by)) if member.name != "c13" else None
    liar = virtual.members["c13"]
    for n in range(60):
        for victim in range(0, 60, 3):
            row = virtual.members[f"c{victim}"].me
            leap = (0, 3, 10**9)[n % 3]
            lie = replace(row, incarnation=row.incarnation + leap, state=State.SUSPECT, accusers=("c13",))
            virtual.post("c13", f"a{(victim + n) % 60}", Message("ping", liar.me, number=n, rows=(lie,)))
        virtual.run(500)
    virtual.run(15_000)
    assert virtual.alike() and "died" not in {kind for kind, _ in kinds}
    assert ("distrusted", ("c13",)) in kinds and ("refused", ("c13",)) in kinds


def test_replayed_messages_change_nothing():
    virtual = VirtualGroup(20, seed=13, settled=True)
    past: list[tuple[str, str, Message]] = []
    post = virtual.post
    virtual.post = lambda source, to, message: (past.append((source, to, message)), post(source, to, message))[1]
    virtual.run(5_000)
    virtual.leave("c9")
    virtual.restart("c8")
    assert virtual.run(20_000, virtual.alike) is not None
    virtual.post = post
    kinds = []
    virtual.watch = lambda member, event: kinds.append(event.kind)
    for source, to, message in past[::2]:
        post(source, to, message)
    virtual.run(10_000)
    assert virtual.alike() and not {"joined", "restarted", "died"} & set(kinds)


def test_figures_reach_all_in_time_and_are_not_part_of_digests():
    virtual = VirtualGroup(60, seed=15, settled=True)
    virtual.run(5_000)
    marks = {name: (one.digest, tuple(one.table.marks)) for name, one in virtual.members.items()}
    owner = virtual.members["c7"]
    assert owner.update_figures(virtual.now, (100.0, 2.0))
    assert not owner.update_figures(virtual.now, (900.0, 2.0)), "figures are limited to what the updates can carry"
    virtual.run(10_000)
    held = [one.table.row(owner.me.seat).figures for one in virtual.members.values()]
    assert held == [(100.0, 2.0)] * 60
    assert {name: (one.digest, tuple(one.table.marks)) for name, one in virtual.members.items()} == marks
    assert not owner.update_figures(virtual.now, (110.0, 2.0)) and owner.update_figures(virtual.now, (200.0, 2.0))
    # The owner overrides figures that another member made up for it.
    one = virtual.members["c1"]
    false = replace(owner.me, figures_version=owner.me.figures_version + 5, figures=(1e9,))
    one.receive(virtual.now, Message("ack", virtual.members["c2"].me, rows=(false,)))
    virtual.run(20_000)
    assert {member.table.row(owner.me.seat).figures for member in virtual.members.values()} == {(200.0, 2.0)}


def test_too_many_figures_are_refused_by_their_owner_and_the_daemon_has_fewer():
    """With one figure too many, all members refused each other's rows, and the owner was never told."""
    world = VirtualGroup(3)
    with pytest.raises(ValueError, match="16 figures at the most, got 17"):
        world.members["c0"].update_figures(0.0, (1.0,) * 17)
    row = replace(world.members["c0"].me, figures=(1.0,) * len((*LOAD_METRICS, *FAILOVER_METRICS)))
    message = Message("rows", row, ("c1", 0), 1, rows=(row,))
    codec = Codec("g", "m")
    assert codec.decode(codec.encode(message)).rows == (row,)


def test_two_thousand_ended_members_use_bounded_memory_and_do_not_return():
    virtual = VirtualGroup(3, seed=14, settled=True)
    one = virtual.members["c0"]
    for n in range(2_000):
        row = Row(f"x{n}", f"y{n}", 5, about=About("r", "z"))
        one.receive(virtual.now, Message("ping", row, ("c0", 0), 1))
        one.receive(
            virtual.now,
            Message(
                "ping",
                replace(row, incarnation=1, state=State.ALIVE),
                rows=(replace(row, state=State.DEAD, incarnation=1),),
            ),
        )
        for _ in range(2):
            one.suspicions.shift(-1e9)
            one.tick(virtual.now)
    assert len(one.table.records) <= 2 + one.limits.max_gone + 8 and len(one._updates) <= len(one.table.records) + 1
    old = Row("x1999", "y1999", 5, about=About("r", "z"))
    one.receive(virtual.now, Message("ack", virtual.members["c1"].me, rows=(old,)))
    assert "x1999" not in [row.name for row in one.live()]
    one.table.sweep(virtual.now + one.limits.forget_after + 1e9)
    assert len(one.table.records) == 2, "ended members are forgotten after `forget_after`"
