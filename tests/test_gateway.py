"""The gateway without sockets: each forward and each call ends once, and a replayed record gives the same effects."""

import io

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from world import deployment, group

from sprucespool import interface as it
from sprucespool.gateway import Gateway, Recorder, ReplayError, replay
from sprucespool.gateway import messages as ms
from sprucespool.gateway.core import SCHEDULE_SWEEP_COUNT

FINAL = (ms.AnswerReturned, ms.AnswerShed, ms.AnswerFailed, ms.StreamBegun, ms.Rejected)


def effects(kind, emitted):
    return [effect for effect in emitted if isinstance(effect, kind)]


class Scripted:
    """A decision module that answers with the given replies in order."""

    def __init__(self, *replies):
        self.replies, self.events = list(replies), []

    def __call__(self, dep, seed):
        return self

    def handle(self, now, events):
        self.events += events
        return self.replies.pop(0)(events) if self.replies else []


def started_gateway(module=None, **overrides):
    emitted = []
    gateway = Gateway(
        deployment(group("line"), group("live", streamed=True), **overrides),
        3,
        emitted.append,
        **({"decider": module} if module else {}),
    )
    gateway.take(0.0, [ms.Roster("restored", 1, [ms.Row("a:1"), ms.Row("b:1")])])
    return gateway, emitted


def forward(events):
    return [it.Forward(event.inference, it.Invoker("a:1"), 0.0) for event in events if isinstance(event, it.Arrived)]


def test_forward_past_its_timeout_is_recalled_and_ends_once():
    module = Scripted(lambda events: [], lambda events: [it.Forward(events[0].inference, it.Invoker("a:1"), 50.0)])
    gateway, emitted = started_gateway(module)
    gateway.take(1.0, [ms.Call("c", "line", "m", 1000.0)])
    assert effects(ms.WakeAt, emitted)[-1].at == 51.0
    gateway.take(51.0, [ms.Woke()])
    gateway.take(52.0, [ms.ForwardEnded(1, "returned")])
    ended = [event.outcome for event in module.events if isinstance(event, it.Ended)]
    assert ended == [it.Outcome.TIMED_OUT] and effects(ms.Recall, emitted) == [ms.Recall(1, "c", "a:1")]
    assert not effects(ms.AnswerReturned, emitted) and gateway.counts.stale_inputs == 1


def test_actions_for_finished_inference_are_refused_and_forward_still_ends():
    held = []

    def keep_and_shed(events):
        held.extend(event.inference for event in events if isinstance(event, it.Arrived))
        return [it.Shed(held[0], 5.0)]

    module = Scripted(
        lambda events: [],
        keep_and_shed,
        lambda events: [it.Fail(held[0]), it.Shed(held[0], 1.0), it.Forward(held[0], it.Invoker("a:1"), 9.0)],
    )
    gateway, emitted = started_gateway(module)
    gateway.take(1.0, [ms.Call("c", "line", "m", 1000.0)])
    gateway.take(2.0, [ms.Roster("update")])
    assert effects(FINAL, emitted) == [ms.AnswerShed("c", 5.0)] and not effects(ms.SendForward, emitted)
    assert gateway.counts.refused_actions == 3 and sum(note.fault for note in effects(ms.Note, emitted)) == 3
    assert [event.outcome for event in module.events if isinstance(event, it.Ended)] == [it.Outcome.NOT_SENT]


def test_module_exception_fails_the_batch_and_the_next_batch_is_served():
    def raise_error(events):
        raise KeyError("oops")

    gateway, emitted = started_gateway(Scripted(lambda events: [], raise_error, forward))
    gateway.take(1.0, [ms.Call("c", "line", "m", 1000.0)])
    gateway.take(2.0, [ms.Call("d", "line", "m", 1000.0)])
    gateway.take(3.0, [ms.ForwardEnded(1, "returned")])
    assert effects(FINAL, emitted) == [ms.AnswerFailed("c", False), ms.AnswerReturned("d", 1)]
    assert gateway.counts.module_faults == 1 and gateway.owed == 0


def test_inference_forgotten_by_the_module_fails_at_the_end_of_its_ttl():
    gateway, emitted = started_gateway(Scripted())
    gateway.take(1.0, [ms.Call("c", "line", "m", 80.0)])
    gateway.take(81.0, [ms.Woke()])
    assert effects(FINAL, emitted) == [ms.AnswerFailed("c", True)] and gateway.counts.overdue == 1


def test_after_a_stall_the_module_may_answer_before_the_gateway_fails_overdue_calls():
    module = Scripted(
        lambda events: [],
        lambda events: [it.SetTimer(70.0, 5)],
        lambda events: [it.Shed(module.events[-2].inference, 9.0)],
    )
    gateway, emitted = started_gateway(module)
    gateway.take(1.0, [ms.Call("c", "line", "m", 80.0)])
    gateway.take(500.0, [ms.Woke()])
    assert effects(FINAL, emitted) == [ms.AnswerShed("c", 9.0)] and gateway.counts.overdue == 0


def test_number_of_wake_ups_does_not_grow_with_waiting_inferences():
    gateway, emitted = started_gateway()
    before = len(effects(ms.WakeAt, emitted))
    for n in range(200):
        gateway.take(1.0 + n / 100, [ms.Call(f"c{n}", "line", "m", 2500.0)])
    assert len(effects(ms.WakeAt, emitted)) - before <= 2


def test_calls_that_have_ended_are_not_kept_until_their_deadline():
    """Guards against: a client that takes back ever new calls fills the memory for as long as each could have taken."""
    gateway, emitted = started_gateway()
    for number in range(3 * SCHEDULE_SWEEP_COUNT):
        gateway.take(1.0, [ms.Call(f"c{number}", "line", "m", 60_000.0), ms.Left(f"c{number}")])
    assert len(gateway._schedule_heap) <= SCHEDULE_SWEEP_COUNT
    gateway.take(2.0, [ms.Call("last", "line", "m", 60_000.0)])
    gateway.take(2.0, [ms.Left("last")])
    assert gateway.owed == 0


def test_begun_stream_has_no_timeout_and_its_break_ends_the_call():
    gateway, emitted = started_gateway()
    gateway.take(1.0, [ms.Call("c", "live", "m", 500.0)])
    number = effects(ms.SendForward, emitted)[0].forward
    gateway.take(2.0, [ms.FirstResult(number), ms.FirstResult(number)])
    for at in range(100, 2000, 100):
        gateway.take(float(at), [ms.Woke()])
    assert effects(FINAL, emitted) == [ms.StreamBegun("c", number)] and gateway.owed == 1
    gateway.take(2100.0, [ms.ForwardEnded(number, "reset")])
    assert effects(ms.StreamEnded, emitted) == [ms.StreamEnded("c", number, False)] and gateway.owed == 0


def test_restart_is_detected_by_boot_and_not_by_reported_age():
    module = Scripted()
    gateway, _ = started_gateway(module)
    for at, boot, age in ((100.0, "x", 40.0), (200.0, "x", 120.0), (300.0, "y", 5.0)):
        gateway.take(at, [ms.Roster("update", 2, [ms.Row("a:1", boot=boot, age=age)])])
    roster_events = [event for event in module.events if isinstance(event, it.RosterNews)]
    assert [event.entries[0].started for event in roster_events[1:]] == [60.0, 60.0, 295.0]


def test_removed_invokers_are_forgotten_unless_work_is_pending_at_them():
    # Otherwise a fleet whose machines are replaced over months fills the memory.
    module = Scripted(lambda events: [], forward)
    gateway, emitted = started_gateway(module)
    gateway.take(1.0, [ms.Call("c", "line", "m", 60_000.0)])
    number = effects(ms.SendForward, emitted)[0].forward
    gateway.take(2.0, [ms.Roster("update", 2, [ms.Row("a:1", status="gone")])])
    for n in range(2000):
        rows = [ms.Row(f"n{n}:1", boot="x"), ms.Row(f"n{n - 3}:1", boot="x", status="gone" if n >= 3 else "draining")]
        gateway.take(3.0 + n, [ms.Roster("update", 3 + n, rows)])
        assert len(gateway.invokers) == len(gateway.boots) <= 514
    assert {"a:1", "b:1", "n1999:1", "n1998:1"} <= set(gateway.invokers)
    gateway.take(3000.0, [ms.ForwardEnded(number, "returned")])
    assert len(effects(ms.AnswerReturned, emitted)) == 1
    gateway.take(3001.0, [ms.Roster("replace", 9000, [ms.Row(f"r{n}:1") for n in range(300)])])
    assert set(gateway.invokers) >= {f"r{n}:1" for n in range(300)} and "b:1" not in gateway.invokers


def test_removed_invoker_is_forgotten_only_after_the_module_handled_the_batch():
    # If names were removed while inputs are read, the module's answer could name an invoker that is already unknown.
    gateway, emitted = started_gateway()
    rows = [ms.Row(f"r{n}:1") for n in range(260)]
    gateway.take(1.0, [ms.Roster("replace", 2, rows[:250])])
    gateway.take(2.0, [ms.Call("c", "line", "m", 5000.0, lanes=1, load_time=9.0)])
    sent = effects(ms.SendForward, emitted)[0]
    gateway.take(3.0, [ms.ForwardEnded(sent.forward, "returned", "warm")])
    others = [row for row in rows if row.invoker != sent.invoker]
    gateway.take(4.0, [ms.BeliefsAsked(1), ms.Roster("replace", 3, others)])
    assert [one.invoker for one in effects(ms.BeliefsGiven, emitted)[0].known] == [sent.invoker]
    assert sent.invoker not in gateway.invokers and len(gateway.boots) == len(others)


def test_unknown_groups_unknown_tenants_and_ids_in_use_are_rejected_by_the_gateway():
    gateway, emitted = started_gateway()
    gateway.take(
        1.0,
        [
            ms.Call("c", "none", "m", 9.0),
            ms.Call("d", "line", "m", 9.0, tenant="x"),
            ms.Call("e", "line", "m", 900.0),
            ms.Call("e", "line", "m", 900.0),
        ],
    )
    assert [effect.call for effect in effects(ms.Rejected, emitted)] == ["c", "d", "e"] and gateway.counts.taken == 1


STEP = st.one_of(
    st.tuples(
        st.just("call"), st.sampled_from(["line", "live", "none"]), st.integers(0, 3), st.sampled_from([40.0, 2500.0])
    ),
    st.tuples(
        st.just("end"),
        st.integers(0, 9),
        st.sampled_from([outcome.value for outcome in it.Outcome]),
        st.sampled_from([found.value for found in it.Found]),
    ),
    st.tuples(st.just("first"), st.integers(0, 9)),
    st.tuples(st.just("left"), st.integers(0, 9)),
    st.tuples(st.just("order"), st.integers(0, 9), st.booleans()),
    st.tuples(st.just("wait"), st.sampled_from([1.0, 50.0, 700.0])),
    st.tuples(st.just("roster"), st.integers(0, 3), st.sampled_from(["in service", "draining", "gone"])),
)


@settings(max_examples=200, deadline=None, derandomize=True, database=None)
@given(st.lists(STEP, max_size=50))
def test_any_order_of_inputs_ends_each_call_once_and_replays_identically(steps):
    emitted, sink, now, wake = [], io.BytesIO(), 0.0, None
    gateway = Gateway(deployment(group("line"), group("live", streamed=True)), 5, emitted.append)
    recorder = Recorder(gateway, sink)
    recorder.take(0.0, [ms.Roster("restored", 1, [ms.Row(f"w{n}:1") for n in range(3)])])
    calls = 0
    for step, *how in [*steps, ("wait", 3000.0), ("wait", 20000.0)]:
        sent = [effect for effect in effects(ms.SendForward, emitted) if effect.forward in gateway.sent]
        orders = [effect.order for effect in effects(ms.SendOrder, emitted) if effect.order in gateway.orders]
        if step == "call":
            calls += 1
            recorder.take(now, [ms.Call(f"c{calls}", how[0], f"m{how[1]}", how[2], lanes=1, load_time=300.0)])
        elif step == "end" and sent:
            recorder.take(now, [ms.ForwardEnded(sent[how[0] % len(sent)].forward, how[1], how[2])])
        elif step == "first" and sent:
            pick = sent[how[0] % len(sent)]
            if gateway.calls[pick.call].inference.group.streamed:
                recorder.take(now, [ms.FirstResult(pick.forward)])
        elif step == "left" and calls:
            recorder.take(now, [ms.Left(f"c{how[0] % calls + 1}")])
        elif step == "order" and orders:
            outcome = "returned" if how[1] else "full"
            recorder.take(now, [ms.OrderEnded(orders[how[0] % len(orders)], outcome, int(how[1]))])
        elif step == "roster":
            recorder.take(now, [ms.Roster("update", 2, [ms.Row(f"w{how[0]}:1", status=how[1])])])
        elif step == "wait":
            end = now + how[0]
            while (wake := effects(ms.WakeAt, emitted)[-1].at) <= end and wake > now - 1e9:
                now = max(now, wake)
                count = len(emitted)
                recorder.take(now, [ms.Woke()])
                if len(emitted) == count:
                    break
            now = max(now, end)
    answered = [effect.call for effect in effects(FINAL, emitted)]
    assert len(answered) == len(set(answered)) and gateway.counts.module_faults == 0
    assert gateway.counts.refused_actions == 0 and gateway.counts.overdue == 0
    assert len(answered) + gateway.counts.left >= calls - sum(
        held.streaming is not None for held in gateway.calls.values()
    )
    ended = [e.forward for e in emitted if isinstance(e, (ms.Recall, ms.AnswerReturned))]
    assert len(ended) == len(set(ended))
    replayed = []
    sink.seek(0)
    replay(sink, replayed.append)
    assert msgspec.msgpack.encode(replayed) == msgspec.msgpack.encode(emitted)


def test_truncated_record_replays_up_to_the_cut_and_invalid_record_raises_an_error():
    sink, emitted = io.BytesIO(), []
    recorder = Recorder(Gateway(deployment(), 1, emitted.append), sink)
    recorder.take(0.0, [ms.Roster("restored", 1, [ms.Row("a:1")])])
    recorder.take(5.0, [ms.Call("c", "line", "m", 100.0)])
    whole, replayed = sink.getvalue(), []
    assert replay(io.BytesIO(whole[:-3]), replayed.append).counts.taken == 0
    with pytest.raises(ReplayError, match="expected a record|head of the record"):
        replay(io.BytesIO(b"\x00\x00\x00\x02hi"), replayed.append)
    with pytest.raises(ReplayError, match="batch 1"):
        replay(io.BytesIO(whole[:-20] + b"\xc1" * 20), replayed.append)
