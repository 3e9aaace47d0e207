"""Shared orders: all of a small fleet, a part of a large one, updated incrementally."""

import random
from dataclasses import dataclass, field

import pytest

from sprucespool.policy import shared_order
from sprucespool.policy.shared_order import PARTIAL_ORDER_SIZE, MAX_WHOLE_ORDER, Fleet, SharedOrder, salt_of


@dataclass(eq=False)
class Endpoint:
    name: str
    kind: str = "std"
    far: bool = False
    serving: bool = True
    size: float = 1.0
    salt: int = field(init=False)

    def __post_init__(self):
        self.salt = salt_of(self.name)


def fleet_of(count, **facts):
    return Fleet(), [Endpoint(f"w{n}", **facts) for n in range(count)]


def names(order):
    return [worker.name for worker in order.order]


@pytest.mark.parametrize("count, size", [(1, 1), (MAX_WHOLE_ORDER, MAX_WHOLE_ORDER), (3200, PARTIAL_ORDER_SIZE)])
def test_the_order_does_not_depend_on_the_sequence_of_the_workers(count, size):
    orders = []
    for seed in range(3):
        fleet, serving = fleet_of(count)
        random.Random(seed).shuffle(serving)
        orders.append(SharedOrder(7))
        orders[-1].refresh(fleet, serving)
    assert len(orders[0].order) == size and names(orders[0]) == names(orders[1]) == names(orders[2])
    assert [orders[0].ranks[worker] for worker in orders[0].order] == list(range(size))


def test_a_partial_order_is_the_start_of_the_whole_order(monkeypatch):
    fleet, serving = fleet_of(3200)
    partial, whole = SharedOrder(3), SharedOrder(3)
    partial.refresh(fleet, serving)
    monkeypatch.setattr(shared_order, "MAX_WHOLE_ORDER", 10_000)
    whole.refresh(fleet, serving)
    assert names(partial) == names(whole)[:PARTIAL_ORDER_SIZE]


def test_the_cost_of_an_update_is_proportional_to_the_change(monkeypatch):
    hashed = []
    original = SharedOrder._hash
    monkeypatch.setattr(SharedOrder, "_hash", lambda self, worker: hashed.append(worker) or original(self, worker))
    fleet, serving = fleet_of(3200)
    order = SharedOrder(5)
    order.refresh(fleet, serving)
    assert len(hashed) < 3 * PARTIAL_ORDER_SIZE
    hashed.clear()
    for n in range(50):
        serving[n].serving = False
        new = Endpoint(f"new{n}")
        serving.append(new)
        fleet.worker_joined(new)
    serving = [worker for worker in serving if worker.serving]
    fleet.workers_changed(len(serving))
    order.refresh(fleet, serving)
    assert len(hashed) <= 50 and all(worker.serving for worker in order.order)
    rebuilt = SharedOrder(5)
    rebuilt.refresh(Fleet(), serving)
    common = min(len(order.order), PARTIAL_ORDER_SIZE - 25)
    assert names(order)[:common] == names(rebuilt)[:common]


def test_a_partial_order_that_lost_half_of_its_members_is_rebuilt():
    fleet, serving = fleet_of(3200)
    order = SharedOrder(5)
    order.refresh(fleet, serving)
    for worker in order.order[: PARTIAL_ORDER_SIZE // 2 + 10]:
        worker.serving = False
    serving = [worker for worker in serving if worker.serving]
    fleet.workers_changed(len(serving))
    order.refresh(fleet, serving)
    assert len(order.order) == PARTIAL_ORDER_SIZE


def test_slow_kinds_and_small_workers_come_later():
    fleet = Fleet()
    serving = [Endpoint(f"w{n}", kind="slow" if n % 2 else "std", size=1.0 if n % 4 < 2 else 4.0) for n in range(400)]
    fleet.set_slowness({"slow": 3})
    order = SharedOrder(1)
    order.refresh(fleet, serving)
    first = order.order[:100]
    assert sum(worker.kind == "std" for worker in first) > 65 and sum(worker.size == 4.0 for worker in first) > 65
