"""What a newcomer is told: merged as a lattice, never younger than it was, believed as far as it proves right."""

import random
import time

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from program import Stage, request, wait_until
from test_daemon import INFER, channel, counts

from sprucespool.grpc import Limits, Status
from sprucespool.learning import (
    Claim,
    ClaimStore,
    CodecError,
    FetchPage,
    JoiningController,
    JoiningLimits,
    ReportClaim,
    Row,
    SourceRecord,
    claim_lifetime,
    decode,
    encode,
)
from sprucespool.learning import codec as cd
from sprucespool.learning.knowledge import claim_from_row, row_from_claim
from sprucespool.transport.listener import Listener, Server, unary
from sprucespool.wire import names
from sprucespool.wire import platform_pb2 as platform

pytestmark = pytest.mark.sockets

FAST = settings(max_examples=200, deadline=None, derandomize=True, database=None)
KEEP = 10_000.0
CLAIM = st.builds(
    Claim,
    st.sampled_from("ab"),
    st.sampled_from("xy"),
    st.sampled_from("mn"),
    st.integers(1, 3),
    st.integers(1, 2),
    st.sampled_from([0.0, 100.0, 2500.0]),
    st.integers(1, 3),
    st.sampled_from("pq"),
)


def merged(*parts):
    found = ClaimStore(KEEP)
    for part in parts:
        found.merge(part)
    return found.claims


@FAST
@given(st.lists(CLAIM, max_size=8), st.lists(CLAIM, max_size=8), st.lists(CLAIM, max_size=8))
def test_the_merge_is_commutative_associative_and_idempotent(a, b, c):
    assert merged(a, b) == merged(b, a)
    left, right = merged(a, b), merged(b, c)
    assert merged(list(left.values()), c) == merged(a, list(right.values())) == merged(a, b, c)
    assert merged(a, a) == merged(a)


@FAST
@given(st.lists(st.tuples(CLAIM, st.floats(0, 5e4)), max_size=60), st.integers(1, 12))
def test_bounded_and_expired_knowledge_is_that_of_a_plain_dict_with_a_sort(steps, most):
    found, plain, now = ClaimStore(KEEP, most), {}, 0.0
    for claim, ahead in steps:
        now += ahead / 20
        claim = Claim(
            claim.invoker,
            claim.boot,
            claim.model,
            claim.copies,
            claim.lanes,
            now - claim.seen_at,
            claim.hops,
            claim.source,
        )
        found.merge([claim])
        if claim.key not in plain or plain[claim.key].rank < claim.rank:
            plain[claim.key] = claim
        while len(plain) > most:
            # As by buckets: from the oldest bucket the least.
            oldest = min(int(one.seen_at // found.width) for one in plain.values())
            del plain[
                min(
                    (one for one in plain.values() if int(one.seen_at // found.width) == oldest),
                    key=lambda one: (one.rank, one.key),
                ).key
            ]
        found.expire(now)
        plain = {
            key: one for key, one in plain.items() if (int(one.seen_at // found.width) + 1) * found.width > now - KEEP
        }
        assert found.claims == plain


@FAST
@given(st.floats(-1e9, 1e9), st.floats(-1e9, 1e9), st.lists(st.floats(0, 500), min_size=2, max_size=40))
def test_two_that_tell_each_other_in_a_circle_never_make_a_claim_younger(clock_a, clock_b, delays):
    true, seen = 0.0, 0.0
    claim, clock, other = Claim("w", "1", "m", 1, 1, clock_a + seen, 0, "a"), clock_a, clock_b
    for delay in delays:
        asked_at = other + true
        true += delay
        row = row_from_claim(claim, clock + true)
        true += delay
        claim = claim_from_row(row, asked_at, "x")
        clock, other = other, clock
        assert claim.seen_at - clock <= seen + 1e-5, "a sign younger than it was"
        assert claim_lifetime(clock + true - claim.seen_at, claim.hops, KEEP, 1.0) <= max(0.0, KEEP - true) + 1e-5
    assert claim.hops == len(delays)


ROW = st.builds(
    Row,
    st.text(max_size=9),
    st.text(max_size=5),
    st.text(max_size=9),
    st.integers(1, 9),
    st.integers(1, 9),
    st.floats(0, 1e8),
    st.integers(0, 5),
)


@FAST
@given(st.lists(ROW, max_size=9), st.floats(0, 1e13))
def test_a_page_is_read_as_it_was_written_by_later_versions_too(rows, wall):
    data = encode(rows, wall)
    assert decode(data) == (rows, wall)
    body = cd.msgspec.msgpack.encode([wall, [[*cd.msgspec.to_builtins(row), "later", 7] for row in rows], {"more": 1}])
    later = cd.HEAD.pack(cd.MAGIC, 9, 1, len(body), cd.zlib.crc32(body)) + body
    assert decode(later) == (rows, wall)
    with pytest.raises(CodecError, match="for readers from 2 on"):
        decode(cd.HEAD.pack(cd.MAGIC, 9, 2, len(body), cd.zlib.crc32(body)) + body)


@FAST
@given(st.data())
def test_torn_changed_and_foreign_bytes_are_refused_and_never_crash(data):
    good = encode([Row("w:1", "1", f"m{n}", 1, 2, 5.0 * n) for n in range(5)], 1e12)
    place = data.draw(st.integers(0, len(good) - 1))
    changed = bytearray(good)
    changed[place] ^= data.draw(st.integers(1, 255))
    for bad in (good[:place], bytes(changed), data.draw(st.binary(max_size=60)), good + b"x"):
        if bad[4:6] == bytes([changed[4], 1]) and bad[:4] == cd.MAGIC and bad[6:] == good[6:]:
            continue  # another version that this reader may read
        with pytest.raises(CodecError):
            decode(bad)


@pytest.mark.parametrize(
    "row",
    [
        Row("w", "1", "m", 0, 1, 5.0),
        Row("w", "1", "m", 1, 1, -5.0),
        Row("w", "1", "m", 1, 1, float("inf")),
        Row("w" * 600, "1", "m", 1, 1, 5.0),
        Row("w", "1", "m", 1, 10**9, 5.0),
        Row("w", "1", "m", 1, 1, 5.0, -1),
    ],
)
def test_figures_and_names_out_of_bounds_are_refused(row):
    with pytest.raises(CodecError, match="row 0"):
        decode(encode([row]))


def test_less_is_believed_of_what_is_older_came_further_or_from_whom_was_wrong():
    assert claim_lifetime(0, 1, KEEP, 0.9) > claim_lifetime(4000, 1, KEEP, 0.9) > claim_lifetime(4000, 2, KEEP, 0.9) > 0
    assert claim_lifetime(4000, 1, KEEP, 0.9) > claim_lifetime(4000, 1, KEEP, 0.5) > 0
    assert (
        claim_lifetime(KEEP, 1, KEEP, 1.0) == claim_lifetime(0, 3, KEEP, 1.0) == claim_lifetime(0, 1, KEEP, 0.39) == 0
    )
    assert SourceRecord(0, 4).believed and not SourceRecord(0, 5).believed and SourceRecord(70, 30).believed


# The newcomer by hand


def rows(count, boot="1", age=100.0, invoker="w0:1", hops=0):
    return [Row(invoker, boot, f"m{n}", 1, 2, age, hops) for n in range(count)]


def newcomer(*sources, boots=(("w0:1", "1"),), **over):
    found = JoiningController(list(sources) or ["s"], KEEP, JoiningLimits(**over))
    found.roster_changed(0.0, boots)
    return found, found.start(0.0)


def told(steps):
    return [step for step in steps if isinstance(step, ReportClaim) and step.lifetime > 0]


def taken_back(steps):
    return [step for step in steps if isinstance(step, ReportClaim) and step.lifetime <= 0]


def test_pages_are_asked_one_after_the_other_from_a_few_sources_at_once():
    found, steps = newcomer("a", "b", "c", "d", max_concurrent=2, page_rows=5)
    assert steps == [FetchPage("a", 0, 5), FetchPage("b", 0, 5)]
    steps = found.page_received(10.0, "a", rows(5), True)
    assert FetchPage("a", 5, 5) in steps and len(told(steps)) == 5
    assert [step for step in found.page_received(20.0, "a", rows(3), False) if isinstance(step, FetchPage)] == [
        FetchPage("c", 0, 5)
    ]
    assert found.source_failed(30.0, "b", "gone") == [FetchPage("d", 0, 5)]


def test_a_source_that_is_slow_or_dies_mid_page_is_given_up_and_what_it_told_stays():
    found, _ = newcomer("a", "b", max_concurrent=1, page_rows=5, page_timeout=1000.0)
    assert len(told(found.page_received(10.0, "a", rows(5), True))) == 5
    assert found.check(900.0) == [] and found.check(1010.0) == [FetchPage("b", 0, 5)]
    assert found.page_received(1020.0, "a", rows(9), True) == [], "late"
    assert found.source_failed(1030.0, "b", "reset") == [] and found.sources["a"].why == "too slow"
    assert len(found.untested["w0:1", "1"]) == 5


def test_nothing_is_asked_once_the_time_for_it_is_over():
    found, _ = newcomer("a", total_timeout=500.0, page_rows=5)
    assert [s for s in found.page_received(600.0, "a", rows(5), True) if isinstance(s, FetchPage)] == []


def test_a_claim_of_a_process_that_is_no_more_is_never_passed_on():
    found, _ = newcomer(boots=(("w0:1", "2"),))
    assert told(found.page_received(10.0, "s", rows(5, boot="1"), False)) == []
    found, _ = newcomer()
    assert len(told(found.page_received(10.0, "s", rows(5), False))) == 5
    found.roster_changed(50.0, [("w0:1", "2")])
    assert not found.untested and found.forward_ended(60.0, "w0:1", "m1", "began load") == []


def test_a_deploy_while_it_learns_leaves_only_the_claims_of_processes_that_still_run():
    found, _ = newcomer(boots=[(f"w{n}:1", "1") for n in range(4)], page_rows=1000)
    passed = []
    for n in range(4):
        # One process after the other is replaced between pages; the source has not heard of it.
        found.roster_changed(20.0 + n, [(f"w{n}:1", "2")], [])
        claims = [Row(f"w{k}:1", "1", f"m{n}-{k}", 1, 1, 50.0) for k in range(4)]
        passed += told(found.page_received(30.0 + n, "s", claims, True))
    assert sorted(step.claim.invoker for step in passed) == ["w1:1", "w2:1", "w2:1", "w3:1", "w3:1", "w3:1"]
    fresh = [Row(f"w{k}:1", "2", f"n{k}", 1, 1, 50.0) for k in range(4)]
    assert len(told(found.page_received(40.0, "s", fresh, False))) == 4


def test_claims_wait_for_the_roster_and_go_when_it_names_their_process():
    found, _ = newcomer(boots=())
    assert told(found.page_received(10.0, "s", rows(4), False)) == []
    assert len(told(found.roster_changed(3000.0, [("w0:1", "1"), ("w9:1", "1")]))) == 4
    found, _ = newcomer(boots=())
    found.page_received(10.0, "s", rows(4), False)
    assert told(found.roster_changed(KEEP, [("w0:1", "1")])) == [], "too old by then"


def test_what_drained_is_not_passed_on():
    found, _ = newcomer()
    found.roster_changed(5.0, [], ["w0:1"])
    assert told(found.page_received(10.0, "s", rows(5), False)) == []


def test_a_liar_that_is_first_and_fast_loses_all_after_five_lies_and_the_honest_one_is_heard():
    found, _ = newcomer("liar", "honest", page_rows=200)
    lies = told(found.page_received(1.0, "liar", rows(150, age=0.0), False))
    assert len(lies) == 64, "a few at first"
    steps = [found.forward_ended(10.0 + n, "w0:1", f"m{n}", "began load") for n in range(5)]
    assert len(taken_back(steps[4])) == 59 and not taken_back(sum(steps[:4], []))
    assert not found.sources["liar"].held_back
    honest = [Row("w0:1", "1", f"h{n}", 1, 1, 50.0) for n in range(40)]
    assert len(told(found.page_received(20.0, "honest", honest, False))) == 40
    assert found.page_received(30.0, "liar", rows(20, age=0.0), True) == []


def test_a_source_that_is_partly_wrong_stays_believed_and_its_part_is_known():
    found, _ = newcomer(page_rows=1000, initial_allowance=64)
    chance, steps = random.Random(4), found.page_received(1.0, "s", rows(600), False)
    for n, claim in enumerate(told(steps)):
        if n >= 60:
            break
        found.forward_ended(2.0, "w0:1", claim.claim.model, "began load" if chance.random() < 0.3 else "warm")
    record = found.sources["s"].record
    assert record.believed and 0.5 < record.trust < 0.85 and record.wrong > 8
    assert sum(map(len, found.untested.values())) > 100, "more of it as it proves right"


def test_a_snapshot_is_as_old_as_it_is():
    found = JoiningController([], KEEP)
    found.roster_changed(0.0, [("w0:1", "1")])
    young = told(found.snapshot(100.0, rows(2), 3000.0))
    assert all(0 < step.lifetime < KEEP - 3000.0 for step in young)
    found = JoiningController([], KEEP)
    found.roster_changed(0.0, [("w0:1", "1")])
    assert found.snapshot(100.0, rows(2), 300_000.0) == [] and found.over


# Over sockets

LEARNS = 'learning {{ {0} }}\nfleet keep-alive="20s"'


def learns(*daemons, more=""):
    return LEARNS.format("; ".join(f'source "127.0.0.1:{one.port}"' for one in daemons) + more)


def teach(stage, folder, invokers, models=12):
    folder.mkdir()
    first = stage.controller(folder, invokers, LEARNS.format(""))
    with channel(first) as line:
        for n in range(models):
            line.unary_unary(INFER)(request(f"m{n}", f"t{n}"), timeout=3)
    return first


def loads(stage, *standins):
    return stage.call(lambda: sum(one.worker.tally.loads for one in standins))


def ask_all(daemon, models=12):
    with channel(daemon) as line:
        for n in range(models):
            line.unary_unary(INFER)(request(f"m{n}", f"a{n}"), timeout=3)


def settle(stage, daemon, expected, timeout=3.0):
    wait_until(lambda: stage.call(lambda: daemon.door.exchange.told) >= expected, timeout)
    return stage.call(lambda: daemon.door.exchange.told)


@pytest.fixture
def stage():
    found = Stage()
    yield found
    found.close()


def test_a_newcomer_that_is_told_loads_nothing_again_and_one_that_is_not_does(stage, tmp_path):
    fleet = [stage.invoker(keep_alive=20_000.0) for _ in range(4)]
    invokers = [one.name for one in fleet]
    first = teach(stage, tmp_path / "first", invokers)
    before = loads(stage, *fleet)
    (tmp_path / "told").mkdir()
    second = stage.controller(tmp_path / "told", invokers, learns(first))
    assert settle(stage, second, 12) == 12
    ask_all(second)
    assert loads(stage, *fleet) == before == 12
    record = stage.call(lambda: second.door.exchange.newcomer.sources[f"127.0.0.1:{first.port}"].record)
    assert (record.right, record.wrong) == (12, 0)
    (tmp_path / "third").mkdir()
    third = stage.controller(tmp_path / "third", invokers, learns(second))
    assert settle(stage, third, 12) == 12, "its own answers by now"
    assert counts(stage, first).module_faults == counts(stage, second).module_faults == 0


class Lying:
    """A source that claims that everything stands everywhere, or says what a test wants said."""

    def __init__(self, stage, answer):
        self.asked = 0

        def page(call, data):
            self.asked += 1
            answer(call)

        async def start():
            listener = Listener({names.LEARNING_PAGE: unary(page)}, Limits(), Server())
            return await listener.start("127.0.0.1", 0)

        self.port = stage.run(start())


def says(found, more=False):
    def answer(call):
        call.send(platform.PageReply(page=found, more=more).SerializeToString())
        call.finish(Status.OK)

    return answer


def test_a_liar_costs_a_few_loads_elsewhere_and_no_inference(stage, tmp_path):
    fleet = [stage.invoker() for _ in range(4)]
    lies = encode([Row(one.name, "", f"m{n}", 4, 50, 0.0) for n in range(40) for one in fleet])
    liar = Lying(stage, says(lies))
    daemon = stage.controller(tmp_path, [one.name for one in fleet], learns(liar))
    settle(stage, daemon, 60)
    ask_all(daemon, 40)
    tally = counts(stage, daemon)
    assert tally.returned == 40 and loads(stage, *fleet) <= 44
    assert stage.call(lambda: daemon.door.exchange.taken_back) > 20
    source = stage.call(lambda: daemon.door.exchange.newcomer.sources[f"127.0.0.1:{liar.port}"])
    assert source.why == "what it told proved wrong" and source.record.wrong == 5


@pytest.mark.parametrize(
    "answer",
    [
        lambda call: None,
        says(b"garbage"),
        says(b""),
        lambda call: call.finish(Status.OK),
        lambda call: call.wire.end("dies", at_once=True),
        says(encode([Row("nowhere:1", "1", "m0", 1, 1, 0.0)]), True),
        lambda call: call.send(bytes(4 * 2**20)),
    ],
    ids=["never answers", "garbage", "an empty page", "no message", "dies mid-page", "strangers without end", "huge"],
)
def test_no_source_delays_or_breaks_the_first_inference(stage, tmp_path, answer):
    standin, source = stage.invoker(), Lying(stage, answer)
    daemon = stage.controller(tmp_path, [standin.name], learns(source))
    begun = time.monotonic()
    ask_all(daemon, 3)
    assert time.monotonic() - begun < 1.0 and counts(stage, daemon).returned == 3
    time.sleep(0.2)
    assert 1 <= source.asked <= 110 and counts(stage, daemon).module_faults == 0


def test_a_lone_controller_restarts_warm_from_its_snapshot_and_refuses_a_bad_one(stage, tmp_path):
    fleet = [stage.invoker(keep_alive=20_000.0) for _ in range(3)]
    invokers, file = [one.name for one in fleet], tmp_path / "known.snap"
    more = LEARNS.format(f'snapshot "{file}"')
    (tmp_path / "a").mkdir()
    first = stage.controller(tmp_path / "a", invokers, more)
    ask_all(first)
    stage.run(first.stop(1000))
    before = loads(stage, *fleet)
    assert len(decode(file.read_bytes())[0]) == 12
    (tmp_path / "b").mkdir()
    second = stage.controller(tmp_path / "b", invokers, more)
    assert settle(stage, second, 12) == 12
    ask_all(second)
    assert loads(stage, *fleet) == before
    stage.run(second.stop(1000))
    file.write_bytes(file.read_bytes()[:-7])
    (tmp_path / "c").mkdir()
    third = stage.controller(tmp_path / "c", invokers, more)
    ask_all(third)
    assert (tmp_path / "known.snap.refused").exists() and counts(stage, third).returned == 12


def test_all_controllers_restart_at_once_and_each_is_warm_from_its_own_snapshot(stage, tmp_path):
    fleet = [stage.invoker(keep_alive=20_000.0) for _ in range(3)]
    invokers = [one.name for one in fleet]

    def begin(round, at=()):
        daemons = []
        for n in range(3):
            (tmp_path / f"{round}{n}").mkdir()
            sources = "; ".join(f'source "127.0.0.1:{one.port}"' for one in at) or 'within "5s"'
            more = LEARNS.format(f'{sources}; snapshot "{tmp_path / f"{n}.snap"}"')
            daemons.append(stage.controller(tmp_path / f"{round}{n}", invokers, more))
        return daemons

    before = begin("a")
    for daemon in before:
        ask_all(daemon)
    for daemon in before:
        stage.run(daemon.stop(1000))
    known = loads(stage, *fleet)
    # Sources that are gone with the rest: the snapshots are all there is.
    after = begin("b", before)
    assert [settle(stage, daemon, 12) for daemon in after] == [12, 12, 12]
    for daemon in after:
        ask_all(daemon)
    assert loads(stage, *fleet) == known
    assert all(counts(stage, daemon).returned == 12 for daemon in after)


def test_an_invoker_told_as_warm_gets_nothing_if_the_roster_lacks_it_or_says_it_drains(stage, tmp_path):
    fleet = [stage.invoker(keep_alive=20_000.0) for _ in range(4)]
    invokers = [one.name for one in fleet]
    first = teach(stage, tmp_path / "first", invokers)
    # Names, and so places, hang on free ports: the one that drains and the one left out are those that hold most.
    most, next_most, *rest = sorted(fleet, key=lambda one: -one.worker.tally.ran)
    fleet = [most, *rest, next_most]
    invokers, ran = [one.name for one in fleet], [one.worker.tally.ran for one in fleet]
    assert ran[0] and ran[3]
    (tmp_path / "told").mkdir()
    second = stage.controller(tmp_path / "told", invokers[:3], learns(first))
    assert settle(stage, second, sum(ran[:3])) == sum(ran[:3])
    # A grace must not let it have anything new either: the file says so after the claims were taken in.
    (tmp_path / "told" / "invokers.kdl").write_text(
        f'invoker "{invokers[0]}" draining=#true\ninvoker "{invokers[1]}"\ninvoker "{invokers[2]}"\n'
    )
    wait_until(lambda: len(stage.call(lambda: second.door.gateway.module.workers)) <= 2, 5.0)
    ask_all(second)
    assert counts(stage, second).returned == 12
    now = [one.worker.tally.ran for one in fleet]
    assert (now[0], now[3]) == (ran[0], ran[3])


def test_where_the_settings_say_nothing_of_it_nothing_is_asked_or_answered(stage, tmp_path):
    standin = stage.invoker()
    daemon = stage.controller(tmp_path, [standin.name])
    other = Lying(stage, says(encode([])))
    (tmp_path / "b").mkdir()
    asks = stage.controller(tmp_path / "b", [standin.name], learns(daemon))
    time.sleep(0.3)
    sources = stage.call(lambda: asks.door.exchange.newcomer.sources)
    assert [source.done for source in sources.values()] == [True] and "UNIMPLEMENTED" in str(sources)
    assert other.asked == 0 and daemon.door.exchange is None


def grouped(number, *seeds) -> str:
    named = "".join(f'; seed "127.0.0.1:{one.port}"' for one in seeds)
    return f'\ncontroller number={number} of=4\ngroup "g" mark="m" {{ period "200ms"{named} }}\n'


def test_a_newcomer_finds_sources_through_the_group_and_notices_who_dies(stage, tmp_path):
    fleet = [stage.invoker(keep_alive=20_000.0) for _ in range(3)]
    invokers, group = [one.name for one in fleet], []
    for n in range(3):
        (tmp_path / f"g{n}").mkdir()
        group.append(
            stage.controller(
                tmp_path / f"g{n}", invokers, learns(*group[:1], more="; members true") + grouped(n, *group[:1])
            )
        )
    ask_all(group[1])
    before = loads(stage, *fleet)
    (tmp_path / "new").mkdir()
    # Rows for others are made at most once a second, and these were asked when they knew nothing.
    time.sleep(1.1)
    # Told of the first one only, which itself knows nothing of copies.
    new = stage.controller(tmp_path / "new", invokers, learns(group[0], more="; members true") + grouped(3, group[0]))
    assert settle(stage, new, 12, 5.0) == 12
    ask_all(new)
    assert loads(stage, *fleet) == before
    stage.call(group[2].close)
    gone = f"127.0.0.1:{group[2].port}"

    def known():
        return [gone in [row.address for row in one.group.group.live()] for one in (*group[:2], new)]

    wait_until(lambda: not any(stage.call(known)), 30.0)
    assert stage.call(known) == [False] * 3
    assert stage.call(lambda: [len(one.group.group.live()) for one in (*group[:2], new)]) == [3, 3, 3]
