"""Connections: which to use, when to open, when to pause, and that the pauses of many spread."""

from hypothesis import given, settings
from hypothesis import strategies as st

from sprucespool.transport.plan import Backoff, PoolLimits, PoolPlan, Slot


def plan(*slots, **limits):
    found = PoolPlan(PoolLimits(**limits), 1)
    found.slots += slots
    return found


def test_the_connection_with_the_fewest_calls_is_used_and_none_opened():
    slots = [Slot(True, 5, 3), Slot(True, 5, 1), Slot(True, 0, 0)]
    assert plan(*slots).place(0.0, 0) == (slots[1], False, "")


def test_one_connection_is_opened_at_a_time_and_a_burst_waits_for_it():
    assert plan().place(0.0, 0) == (None, True, "")
    assert plan(Slot()).place(0.0, 5) == (None, False, "")
    assert plan(Slot(), waiting=5).place(0.0, 5)[2]


def test_full_connections_open_another_up_to_the_limit_and_then_say_so():
    full = Slot(True, 0, 100)
    assert plan(full, connections=2).place(0.0, 0) == (None, True, "")
    assert plan(full, Slot(True, 0, 1), connections=2).place(0.0, 0)[2] == "all connections are full"


def test_a_connection_that_its_peer_ends_takes_no_place_of_another():
    leaving = Slot(True, 0, 1, closing=True)
    assert plan(leaving, connections=1).place(0.0, 0) == (None, True, "")
    assert plan(leaving, Slot(), connections=1).place(0.0, 1) == (None, False, "")
    lasting = Slot(True, 3, 0)
    assert plan(leaving, lasting, connections=1).place(0.0, 0) == (lasting, False, "")


def test_after_a_failure_nothing_is_tried_until_the_pause_is_over_but_live_ones_serve():
    found = plan()
    found.backoff.failed(100.0)
    assert found.place(101.0, 0)[2] and found.place(100.0 + found.backoff.pause, 0) == (None, True, "")
    found.slots.append(Slot(True, 3, 0))
    assert found.place(101.0, 0)[0] is found.slots[0]
    found.backoff.succeeded()
    assert not found.backoff.active(101.0)


def test_pauses_grow_to_their_limit_and_those_of_many_spread():
    limits = PoolLimits(initial_backoff=50.0, max_backoff=3000.0)
    found = [Backoff(limits, seed) for seed in range(200)]
    for _ in range(12):
        for one in found:
            one.failed(0.0)
            assert 50.0 <= one.pause <= 3000.0
    pauses = sorted(one.pause for one in found)
    assert pauses[20] < 1200.0 < pauses[100] and len(set(pauses)) > 100


@settings(max_examples=200, deadline=None, derandomize=True, database=None)
@given(
    st.lists(
        st.builds(
            Slot,
            st.booleans(),
            st.integers(0, 3),
            st.integers(0, 3),
            st.floats(0, 1e5),
            st.floats(0, 1e5),
            st.none() | st.floats(0, 1e5),
        ),
        max_size=6,
    ),
    st.floats(1e5, 2e5),
)
def test_a_look_round_touches_no_connection_twice_and_none_with_calls_as_idle(slots, now):
    idle, ping, dead = plan(*slots).check(now)
    touched = [*idle, *ping, *dead]
    assert len(touched) == len(set(map(id, touched)))
    assert not any(slot.open_calls for slot in idle) and all(slot.open_calls for slot in ping)
    assert all(slot.pinged_at is not None for slot in dead)
