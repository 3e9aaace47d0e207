"""Claims from other controllers: their merge is a lattice, ages never shrink, and trust follows proven claims."""

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
from sprucespool.learning import codec
from sprucespool.learning.knowledge import claim_from_row, row_from_claim
from sprucespool.transport.listener import Listener, Server, unary
from sprucespool.wire import names
from sprucespool.wire import platform_pb2 as platform

pytestmark = pytest.mark.sockets

FAST = settings(max_examples=200, deadline=None, derandomize=True, database=None)
KEEP_ALIVE_MS = 10_000.0
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


def merge_all(*batches):
    store = ClaimStore(KEEP_ALIVE_MS)
    for batch in batches:
        store.merge(batch)
    return store.claims


@FAST
@given(st.lists(CLAIM, max_size=8), st.lists(CLAIM, max_size=8), st.lists(CLAIM, max_size=8))
def test_the_merge_is_commutative_associative_and_idempotent(a, b, c):
    assert merge_all(a, b) == merge_all(b, a)
    left, right = merge_all(a, b), merge_all(b, c)
    assert merge_all(list(left.values()), c) == merge_all(a, list(right.values())) == merge_all(a, b, c)
    assert merge_all(a, a) == merge_all(a)


@FAST
@given(st.lists(st.tuples(CLAIM, st.floats(0, 5e4)), max_size=60), st.integers(1, 12))
def test_claim_store_evicts_and_expires_like_a_sorted_dict(steps, max_claims):
    store, expected, now = ClaimStore(KEEP_ALIVE_MS, max_claims), {}, 0.0
    for claim, advance in steps:
        now += advance / 20
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
        store.merge([claim])
        if claim.key not in expected or expected[claim.key].rank < claim.rank:
            expected[claim.key] = claim
        while len(expected) > max_claims:
            # As in the store: the lowest rank of the oldest bucket.
            oldest = min(int(other.seen_at // store.bucket_ms) for other in expected.values())
            del expected[
                min(
                    (other for other in expected.values() if int(other.seen_at // store.bucket_ms) == oldest),
                    key=lambda other: (other.rank, other.key),
                ).key
            ]
        store.expire(now)
        expected = {
            key: other
            for key, other in expected.items()
            if (int(other.seen_at // store.bucket_ms) + 1) * store.bucket_ms > now - KEEP_ALIVE_MS
        }
        assert store.claims == expected


@FAST
@given(st.floats(-1e9, 1e9), st.floats(-1e9, 1e9), st.lists(st.floats(0, 500), min_size=2, max_size=40))
def test_a_claim_passed_back_and_forth_never_becomes_younger(clock_a, clock_b, delays):
    true_time, seen_at = 0.0, 0.0
    claim, clock, other = Claim("w", "1", "m", 1, 1, clock_a + seen_at, 0, "a"), clock_a, clock_b
    for delay in delays:
        asked_at = other + true_time
        true_time += delay
        row = row_from_claim(claim, clock + true_time)
        true_time += delay
        claim = claim_from_row(row, asked_at, "x")
        clock, other = other, clock
        assert claim.seen_at - clock <= seen_at + 1e-5, "the evidence became younger"
        assert (
            claim_lifetime(clock + true_time - claim.seen_at, claim.hops, KEEP_ALIVE_MS, 1.0)
            <= max(0.0, KEEP_ALIVE_MS - true_time) + 1e-5
        )
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
def test_a_page_round_trips_and_later_versions_are_readable(rows, wall):
    data = encode(rows, wall)
    assert decode(data) == (rows, wall)
    body = codec.msgspec.msgpack.encode(
        [wall, [[*codec.msgspec.to_builtins(row), "later", 7] for row in rows], {"more": 1}]
    )
    later = codec.HEADER.pack(codec.MAGIC, 9, 1, len(body), codec.zlib.crc32(body)) + body
    assert decode(later) == (rows, wall)
    with pytest.raises(CodecError, match="for readers from 2 on"):
        decode(codec.HEADER.pack(codec.MAGIC, 9, 2, len(body), codec.zlib.crc32(body)) + body)


@FAST
@given(st.data())
def test_truncated_corrupt_and_foreign_bytes_raise_codec_error(data):
    good = encode([Row("w:1", "1", f"m{n}", 1, 2, 5.0 * n) for n in range(5)], 1e12)
    position = data.draw(st.integers(0, len(good) - 1))
    changed = bytearray(good)
    changed[position] ^= data.draw(st.integers(1, 255))
    for bad in (good[:position], bytes(changed), data.draw(st.binary(max_size=60)), good + b"x"):
        if bad[4:6] == bytes([changed[4], 1]) and bad[:4] == codec.MAGIC and bad[6:] == good[6:]:
            continue  # a version that this reader accepts
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
def test_values_and_names_out_of_bounds_raise_codec_error(row):
    with pytest.raises(CodecError, match="row 0"):
        decode(encode([row]))


def test_claim_lifetime_falls_with_age_hops_and_wrong_claims_of_the_source():
    assert (
        claim_lifetime(0, 1, KEEP_ALIVE_MS, 0.9)
        > claim_lifetime(4000, 1, KEEP_ALIVE_MS, 0.9)
        > claim_lifetime(4000, 2, KEEP_ALIVE_MS, 0.9)
        > 0
    )
    assert claim_lifetime(4000, 1, KEEP_ALIVE_MS, 0.9) > claim_lifetime(4000, 1, KEEP_ALIVE_MS, 0.5) > 0
    assert (
        claim_lifetime(KEEP_ALIVE_MS, 1, KEEP_ALIVE_MS, 1.0)
        == claim_lifetime(0, 3, KEEP_ALIVE_MS, 1.0)
        == claim_lifetime(0, 1, KEEP_ALIVE_MS, 0.39)
        == 0
    )
    assert SourceRecord(0, 4).believed and not SourceRecord(0, 5).believed and SourceRecord(70, 30).believed


# JoiningController without I/O


def rows(count, boot="1", age=100.0, invoker="w0:1", hops=0):
    return [Row(invoker, boot, f"m{n}", 1, 2, age, hops) for n in range(count)]


def joining_controller(*sources, boots=(("w0:1", "1"),), **over):
    found = JoiningController(list(sources) or ["s"], KEEP_ALIVE_MS, JoiningLimits(**over))
    found.roster_changed(0.0, boots)
    return found, found.start(0.0)


def reported(steps):
    return [step for step in steps if isinstance(step, ReportClaim) and step.lifetime > 0]


def withdrawn(steps):
    return [step for step in steps if isinstance(step, ReportClaim) and step.lifetime <= 0]


def test_pages_are_fetched_in_sequence_from_a_limited_number_of_sources():
    found, steps = joining_controller("a", "b", "c", "d", max_concurrent=2, page_rows=5)
    assert steps == [FetchPage("a", 0, 5), FetchPage("b", 0, 5)]
    steps = found.page_received(10.0, "a", rows(5), True)
    assert FetchPage("a", 5, 5) in steps and len(reported(steps)) == 5
    assert [step for step in found.page_received(20.0, "a", rows(3), False) if isinstance(step, FetchPage)] == [
        FetchPage("c", 0, 5)
    ]
    assert found.source_failed(30.0, "b", "gone") == [FetchPage("d", 0, 5)]


def test_a_slow_or_failed_source_is_given_up_and_its_claims_stay():
    found, _ = joining_controller("a", "b", max_concurrent=1, page_rows=5, page_timeout=1000.0)
    assert len(reported(found.page_received(10.0, "a", rows(5), True))) == 5
    assert found.check(900.0) == [] and found.check(1010.0) == [FetchPage("b", 0, 5)]
    assert found.page_received(1020.0, "a", rows(9), True) == [], "late"
    assert found.source_failed(1030.0, "b", "reset") == [] and found.sources["a"].why == "too slow"
    assert len(found.untested["w0:1", "1"]) == 5


def test_no_page_is_fetched_after_the_total_timeout():
    found, _ = joining_controller("a", total_timeout=500.0, page_rows=5)
    assert [s for s in found.page_received(600.0, "a", rows(5), True) if isinstance(s, FetchPage)] == []


def test_a_claim_about_an_earlier_process_is_never_reported():
    found, _ = joining_controller(boots=(("w0:1", "2"),))
    assert reported(found.page_received(10.0, "s", rows(5, boot="1"), False)) == []
    found, _ = joining_controller()
    assert len(reported(found.page_received(10.0, "s", rows(5), False))) == 5
    found.roster_changed(50.0, [("w0:1", "2")])
    assert not found.untested and found.forward_ended(60.0, "w0:1", "m1", "began load") == []


def test_a_deploy_during_learning_leaves_only_claims_about_running_processes():
    found, _ = joining_controller(boots=[(f"w{n}:1", "1") for n in range(4)], page_rows=1000)
    all_reported = []
    for n in range(4):
        # Processes are replaced one by one between pages, and the source does not know about it yet.
        found.roster_changed(20.0 + n, [(f"w{n}:1", "2")], [])
        claims = [Row(f"w{k}:1", "1", f"m{n}-{k}", 1, 1, 50.0) for k in range(4)]
        all_reported += reported(found.page_received(30.0 + n, "s", claims, True))
    assert sorted(step.claim.invoker for step in all_reported) == ["w1:1", "w2:1", "w2:1", "w3:1", "w3:1", "w3:1"]
    fresh = [Row(f"w{k}:1", "2", f"n{k}", 1, 1, 50.0) for k in range(4)]
    assert len(reported(found.page_received(40.0, "s", fresh, False))) == 4


def test_claims_are_reported_once_the_roster_lists_their_process():
    found, _ = joining_controller(boots=())
    assert reported(found.page_received(10.0, "s", rows(4), False)) == []
    assert len(reported(found.roster_changed(3000.0, [("w0:1", "1"), ("w9:1", "1")]))) == 4
    found, _ = joining_controller(boots=())
    found.page_received(10.0, "s", rows(4), False)
    assert reported(found.roster_changed(KEEP_ALIVE_MS, [("w0:1", "1")])) == [], "too old by then"


def test_claims_about_a_draining_invoker_are_not_reported():
    found, _ = joining_controller()
    found.roster_changed(5.0, [], ["w0:1"])
    assert reported(found.page_received(10.0, "s", rows(5), False)) == []


def test_claims_of_a_lying_source_are_withdrawn_after_five_wrong_ones_and_an_honest_source_is_used():
    found, _ = joining_controller("liar", "honest", page_rows=200)
    lies = reported(found.page_received(1.0, "liar", rows(150, age=0.0), False))
    assert len(lies) == 64, "initial allowance"
    steps = [found.forward_ended(10.0 + n, "w0:1", f"m{n}", "began load") for n in range(5)]
    assert len(withdrawn(steps[4])) == 59 and not withdrawn(sum(steps[:4], []))
    assert not found.sources["liar"].queued
    honest = [Row("w0:1", "1", f"h{n}", 1, 1, 50.0) for n in range(40)]
    assert len(reported(found.page_received(20.0, "honest", honest, False))) == 40
    assert found.page_received(30.0, "liar", rows(20, age=0.0), True) == []


def test_a_partly_wrong_source_stays_trusted_and_its_trust_reflects_the_fraction():
    found, _ = joining_controller(page_rows=1000, initial_allowance=64)
    chance, steps = random.Random(4), found.page_received(1.0, "s", rows(600), False)
    for n, claim in enumerate(reported(steps)):
        if n >= 60:
            break
        found.forward_ended(2.0, "w0:1", claim.claim.model, "began load" if chance.random() < 0.3 else "warm")
    record = found.sources["s"].record
    assert record.believed and 0.5 < record.trust < 0.85 and record.wrong > 8
    assert sum(map(len, found.untested.values())) > 100, "the allowance grows with right claims"


def test_claims_of_a_snapshot_keep_its_age():
    found = JoiningController([], KEEP_ALIVE_MS)
    found.roster_changed(0.0, [("w0:1", "1")])
    claims = reported(found.snapshot(100.0, rows(2), 3000.0))
    assert all(0 < step.lifetime < KEEP_ALIVE_MS - 3000.0 for step in claims)
    found = JoiningController([], KEEP_ALIVE_MS)
    found.roster_changed(0.0, [("w0:1", "1")])
    assert found.snapshot(100.0, rows(2), 300_000.0) == [] and found.finished


# Over sockets

LEARNING_SETTINGS = 'learning {{ {0} }}\nfleet keep-alive="20s"'


def learning_settings(*daemons, more=""):
    return LEARNING_SETTINGS.format("; ".join(f'source "127.0.0.1:{one.port}"' for one in daemons) + more)


def start_controller_with_loaded_models(stage, folder, invokers, models=12):
    folder.mkdir()
    first = stage.controller(folder, invokers, LEARNING_SETTINGS.format(""))
    with channel(first) as grpc_channel:
        for n in range(models):
            grpc_channel.unary_unary(INFER)(request(f"m{n}", f"t{n}"), timeout=3)
    return first


def count_loads(stage, *standins):
    return stage.call(lambda: sum(one.worker.tally.loads for one in standins))


def infer_each_model(daemon, models=12):
    with channel(daemon) as grpc_channel:
        for n in range(models):
            grpc_channel.unary_unary(INFER)(request(f"m{n}", f"a{n}"), timeout=3)


def wait_for_reported_claims(stage, daemon, expected, timeout=3.0):
    wait_until(lambda: stage.call(lambda: daemon.server.exchange.claims_reported) >= expected, timeout)
    return stage.call(lambda: daemon.server.exchange.claims_reported)


@pytest.fixture
def stage():
    found = Stage()
    yield found
    found.close()


def test_a_joining_controller_with_a_source_causes_no_reloads(stage, tmp_path):
    fleet = [stage.invoker(keep_alive=20_000.0) for _ in range(4)]
    invokers = [one.name for one in fleet]
    first = start_controller_with_loaded_models(stage, tmp_path / "first", invokers)
    before = count_loads(stage, *fleet)
    (tmp_path / "told").mkdir()
    second = stage.controller(tmp_path / "told", invokers, learning_settings(first))
    assert wait_for_reported_claims(stage, second, 12) == 12
    infer_each_model(second)
    assert count_loads(stage, *fleet) == before == 12
    record = stage.call(lambda: second.server.exchange.joining.sources[f"127.0.0.1:{first.port}"].record)
    assert (record.right, record.wrong) == (12, 0)
    (tmp_path / "third").mkdir()
    third = stage.controller(tmp_path / "third", invokers, learning_settings(second))
    assert wait_for_reported_claims(stage, third, 12) == 12, "claims from its own responses"
    assert counts(stage, first).module_faults == counts(stage, second).module_faults == 0


class FakeSource:
    """A source whose pages are answered by a function of the test."""

    def __init__(self, stage, answer):
        self.request_count = 0

        def page(call, data):
            self.request_count += 1
            answer(call)

        async def start():
            listener = Listener({names.LEARNING_PAGE: unary(page)}, Limits(), Server())
            return await listener.start("127.0.0.1", 0)

        self.port = stage.run(start())


def answer_with(page, more=False):
    def answer(call):
        call.send(platform.PageReply(page=page, more=more).SerializeToString())
        call.finish(Status.OK)

    return answer


def test_a_lying_source_costs_a_few_loads_and_no_inference(stage, tmp_path):
    fleet = [stage.invoker() for _ in range(4)]
    lies = encode([Row(one.name, "", f"m{n}", 4, 50, 0.0) for n in range(40) for one in fleet])
    liar = FakeSource(stage, answer_with(lies))
    daemon = stage.controller(tmp_path, [one.name for one in fleet], learning_settings(liar))
    wait_for_reported_claims(stage, daemon, 60)
    infer_each_model(daemon, 40)
    tally = counts(stage, daemon)
    assert tally.returned == 40 and count_loads(stage, *fleet) <= 44
    assert stage.call(lambda: daemon.server.exchange.claims_withdrawn) > 20
    source = stage.call(lambda: daemon.server.exchange.joining.sources[f"127.0.0.1:{liar.port}"])
    assert source.why == "its claims proved wrong" and source.record.wrong == 5


@pytest.mark.parametrize(
    "answer",
    [
        lambda call: None,
        answer_with(b"garbage"),
        answer_with(b""),
        lambda call: call.finish(Status.OK),
        lambda call: call.wire.end("dies", at_once=True),
        answer_with(encode([Row("nowhere:1", "1", "m0", 1, 1, 0.0)]), True),
        lambda call: call.send(bytes(4 * 2**20)),
    ],
    ids=["never answers", "garbage", "an empty page", "no message", "dies mid-page", "strangers without end", "huge"],
)
def test_no_source_delays_or_breaks_the_first_inference(stage, tmp_path, answer):
    standin, source = stage.invoker(), FakeSource(stage, answer)
    daemon = stage.controller(tmp_path, [standin.name], learning_settings(source))
    started_at = time.monotonic()
    infer_each_model(daemon, 3)
    assert time.monotonic() - started_at < 1.0 and counts(stage, daemon).returned == 3
    time.sleep(0.2)
    assert 1 <= source.request_count <= 110 and counts(stage, daemon).module_faults == 0


def test_a_single_controller_restarts_warm_from_its_snapshot_and_rejects_a_truncated_one(stage, tmp_path):
    fleet = [stage.invoker(keep_alive=20_000.0) for _ in range(3)]
    invokers, file = [one.name for one in fleet], tmp_path / "known.snap"
    more = LEARNING_SETTINGS.format(f'snapshot "{file}"')
    (tmp_path / "a").mkdir()
    first = stage.controller(tmp_path / "a", invokers, more)
    infer_each_model(first)
    stage.run(first.stop(1000))
    before = count_loads(stage, *fleet)
    assert len(decode(file.read_bytes())[0]) == 12
    (tmp_path / "b").mkdir()
    second = stage.controller(tmp_path / "b", invokers, more)
    assert wait_for_reported_claims(stage, second, 12) == 12
    infer_each_model(second)
    assert count_loads(stage, *fleet) == before
    stage.run(second.stop(1000))
    file.write_bytes(file.read_bytes()[:-7])
    (tmp_path / "c").mkdir()
    third = stage.controller(tmp_path / "c", invokers, more)
    infer_each_model(third)
    assert (tmp_path / "known.snap.refused").exists() and counts(stage, third).returned == 12


def test_controllers_that_all_restart_at_once_are_warm_from_their_own_snapshots(stage, tmp_path):
    fleet = [stage.invoker(keep_alive=20_000.0) for _ in range(3)]
    invokers = [one.name for one in fleet]

    def begin(round, at=()):
        daemons = []
        for n in range(3):
            (tmp_path / f"{round}{n}").mkdir()
            sources = "; ".join(f'source "127.0.0.1:{one.port}"' for one in at) or 'within "5s"'
            more = LEARNING_SETTINGS.format(f'{sources}; snapshot "{tmp_path / f"{n}.snap"}"')
            daemons.append(stage.controller(tmp_path / f"{round}{n}", invokers, more))
        return daemons

    before = begin("a")
    for daemon in before:
        infer_each_model(daemon)
    for daemon in before:
        stage.run(daemon.stop(1000))
    loads_before = count_loads(stage, *fleet)
    # All sources are down, so only the snapshots are left.
    after = begin("b", before)
    assert [wait_for_reported_claims(stage, daemon, 12) for daemon in after] == [12, 12, 12]
    for daemon in after:
        infer_each_model(daemon)
    assert count_loads(stage, *fleet) == loads_before
    assert all(counts(stage, daemon).returned == 12 for daemon in after)


def test_an_invoker_claimed_warm_gets_no_forward_if_it_is_unlisted_or_draining(stage, tmp_path):
    fleet = [stage.invoker(keep_alive=20_000.0) for _ in range(4)]
    invokers = [one.name for one in fleet]
    first = start_controller_with_loaded_models(stage, tmp_path / "first", invokers)
    # Placement depends on the invoker names, which contain random ports. The draining and the unlisted invoker must be
    # the two with the most inferences, so that both have loaded copies.
    busiest, second_busiest, *rest = sorted(fleet, key=lambda one: -one.worker.tally.ran)
    fleet = [busiest, *rest, second_busiest]
    invokers, ran = [one.name for one in fleet], [one.worker.tally.ran for one in fleet]
    assert ran[0] and ran[3]
    (tmp_path / "told").mkdir()
    second = stage.controller(tmp_path / "told", invokers[:3], learning_settings(first))
    assert wait_for_reported_claims(stage, second, sum(ran[:3])) == sum(ran[:3])
    # Drain grace must not allow new forwards either: the file marks the invoker as draining after the claims arrived.
    (tmp_path / "told" / "invokers.kdl").write_text(
        f'invoker "{invokers[0]}" draining=#true\ninvoker "{invokers[1]}"\ninvoker "{invokers[2]}"\n'
    )
    wait_until(lambda: len(stage.call(lambda: second.server.gateway.module.workers)) <= 2, 5.0)
    infer_each_model(second)
    assert counts(stage, second).returned == 12
    now = [one.worker.tally.ran for one in fleet]
    assert (now[0], now[3]) == (ran[0], ran[3])


def test_without_learning_settings_nothing_is_requested_or_answered(stage, tmp_path):
    standin = stage.invoker()
    daemon = stage.controller(tmp_path, [standin.name])
    other = FakeSource(stage, answer_with(encode([])))
    (tmp_path / "b").mkdir()
    requesting = stage.controller(tmp_path / "b", [standin.name], learning_settings(daemon))
    time.sleep(0.3)
    sources = stage.call(lambda: requesting.server.exchange.joining.sources)
    assert [source.done for source in sources.values()] == [True] and "UNIMPLEMENTED" in str(sources)
    assert other.request_count == 0 and daemon.server.exchange is None


def group_settings(number, *seeds) -> str:
    named = "".join(f'; seed "127.0.0.1:{one.port}"' for one in seeds)
    return f'\ncontroller number={number} of=4\ngroup "g" mark="m" {{ period "200ms"{named} }}\n'


def test_a_joining_controller_finds_sources_through_the_group_and_detects_a_dead_member(stage, tmp_path):
    fleet = [stage.invoker(keep_alive=20_000.0) for _ in range(3)]
    invokers, group = [one.name for one in fleet], []
    for n in range(3):
        (tmp_path / f"g{n}").mkdir()
        group.append(
            stage.controller(
                tmp_path / f"g{n}",
                invokers,
                learning_settings(*group[:1], more="; members true") + group_settings(n, *group[:1]),
            )
        )
    infer_each_model(group[1])
    before = count_loads(stage, *fleet)
    (tmp_path / "new").mkdir()
    # Rows for pages are rebuilt at most once per second, and the members were asked before they had any beliefs.
    time.sleep(1.1)
    # Its only configured source is the first member, which knows no copies itself.
    new = stage.controller(
        tmp_path / "new", invokers, learning_settings(group[0], more="; members true") + group_settings(3, group[0])
    )
    assert wait_for_reported_claims(stage, new, 12, 5.0) == 12
    infer_each_model(new)
    assert count_loads(stage, *fleet) == before
    stage.call(group[2].close)
    gone = f"127.0.0.1:{group[2].port}"

    def known():
        return [gone in [row.address for row in one.group.group.live()] for one in (*group[:2], new)]

    wait_until(lambda: not any(stage.call(known)), 30.0)
    assert stage.call(known) == [False] * 3
    assert stage.call(lambda: [len(one.group.group.live()) for one in (*group[:2], new)]) == [3, 3, 3]
