"""Plan of a connection pool: which connection to use, when to open one, when to pause, and that pauses spread."""

from hypothesis import given, settings
from hypothesis import strategies as st

from sprucespool.transport.plan import Backoff, PoolLimits, PoolPlan, Slot


def plan(*slots, **limits):
    pool_plan = PoolPlan(PoolLimits(**limits), 1)
    pool_plan.slots += slots
    return pool_plan


def test_the_connection_with_the_fewest_calls_is_used_and_none_opened():
    slots = [Slot(True, 5, 3), Slot(True, 5, 1), Slot(True, 0, 0)]
    assert plan(*slots).place(0.0, 0) == (slots[1], False, "")


def test_one_connection_is_opened_at_a_time_and_a_burst_waits_for_it():
    assert plan().place(0.0, 0) == (None, True, "")
    assert plan(Slot()).place(0.0, 5) == (None, False, "")
    assert plan(Slot(), waiting=5).place(0.0, 5)[2]


def test_full_connections_open_another_up_to_the_limit_and_then_give_a_reason():
    full = Slot(True, 0, 100)
    assert plan(full, connections=2).place(0.0, 0) == (None, True, "")
    assert plan(full, Slot(True, 0, 1), connections=2).place(0.0, 0)[2] == "all connections are full"


def test_a_connection_that_its_peer_is_closing_does_not_count_against_the_limit():
    closing = Slot(True, 0, 1, closing=True)
    assert plan(closing, connections=1).place(0.0, 0) == (None, True, "")
    assert plan(closing, Slot(), connections=1).place(0.0, 1) == (None, False, "")
    remaining = Slot(True, 3, 0)
    assert plan(closing, remaining, connections=1).place(0.0, 0) == (remaining, False, "")


def test_after_a_failure_no_connection_is_opened_during_the_backoff_but_open_ones_are_used():
    pool_plan = plan()
    pool_plan.backoff.failed(100.0)
    assert pool_plan.place(101.0, 0)[2] and pool_plan.place(100.0 + pool_plan.backoff.pause, 0) == (None, True, "")
    pool_plan.slots.append(Slot(True, 3, 0))
    assert pool_plan.place(101.0, 0)[0] is pool_plan.slots[0]
    pool_plan.backoff.succeeded()
    assert not pool_plan.backoff.active(101.0)


def test_pauses_grow_to_their_limit_and_those_of_many_pools_spread():
    limits = PoolLimits(initial_backoff=50.0, max_backoff=3000.0)
    backoffs = [Backoff(limits, seed) for seed in range(200)]
    for _ in range(12):
        for backoff in backoffs:
            backoff.failed(0.0)
            assert 50.0 <= backoff.pause <= 3000.0
    pauses = sorted(backoff.pause for backoff in backoffs)
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
def test_a_check_returns_no_connection_twice_and_none_with_calls_as_idle(slots, now):
    idle, ping, dead = plan(*slots).check(now)
    touched = [*idle, *ping, *dead]
    assert len(touched) == len(set(map(id, touched)))
    assert not any(slot.open_calls for slot in idle) and all(slot.open_calls for slot in ping)
    assert all(slot.pinged_at is not None for slot in dead)
