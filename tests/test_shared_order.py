"""Orders that controllers share: the whole of a small fleet, a part of a large one, kept up by its changes alone."""

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


@pytest.mark.parametrize("count, held", [(1, 1), (MAX_WHOLE_ORDER, MAX_WHOLE_ORDER), (3200, PARTIAL_ORDER_SIZE)])
def test_controllers_that_were_told_in_another_sequence_share_an_order(count, held):
    orders = []
    for seed in range(3):
        fleet, serving = fleet_of(count)
        random.Random(seed).shuffle(serving)
        orders.append(SharedOrder(7))
        orders[-1].refresh(fleet, serving)
    assert len(orders[0].order) == held and names(orders[0]) == names(orders[1]) == names(orders[2])
    assert [orders[0].ranks[worker] for worker in orders[0].order] == list(range(held))


def test_a_part_holds_the_best_of_the_whole(monkeypatch):
    fleet, serving = fleet_of(3200)
    part, whole = SharedOrder(3), SharedOrder(3)
    part.refresh(fleet, serving)
    monkeypatch.setattr(shared_order, "MAX_WHOLE_ORDER", 10_000)
    whole.refresh(fleet, serving)
    assert names(part) == names(whole)[:PARTIAL_ORDER_SIZE]


def test_what_a_change_of_a_large_fleet_costs_goes_by_the_change(monkeypatch):
    draws = []
    usual = SharedOrder._hash
    monkeypatch.setattr(SharedOrder, "_hash", lambda self, worker: draws.append(worker) or usual(self, worker))
    fleet, serving = fleet_of(3200)
    order = SharedOrder(5)
    order.refresh(fleet, serving)
    assert len(draws) < 3 * PARTIAL_ORDER_SIZE
    draws.clear()
    for n in range(50):
        serving[n].serving = False
        new = Endpoint(f"new{n}")
        serving.append(new)
        fleet.worker_joined(new)
    serving = [worker for worker in serving if worker.serving]
    fleet.workers_changed(len(serving))
    order.refresh(fleet, serving)
    assert len(draws) <= 50 and all(worker.serving for worker in order.order)
    again = SharedOrder(5)
    again.refresh(Fleet(), serving)
    both = min(len(order.order), PARTIAL_ORDER_SIZE - 25)
    assert names(order)[:both] == names(again)[:both]


def test_a_part_that_half_of_has_left_is_made_anew():
    fleet, serving = fleet_of(3200)
    order = SharedOrder(5)
    order.refresh(fleet, serving)
    for worker in order.order[: PARTIAL_ORDER_SIZE // 2 + 10]:
        worker.serving = False
    serving = [worker for worker in serving if worker.serving]
    fleet.workers_changed(len(serving))
    order.refresh(fleet, serving)
    assert len(order.order) == PARTIAL_ORDER_SIZE


def test_slow_kinds_and_small_sizes_come_later():
    fleet = Fleet()
    serving = [Endpoint(f"w{n}", kind="slow" if n % 2 else "std", size=1.0 if n % 4 < 2 else 4.0) for n in range(400)]
    fleet.set_slowness({"slow": 3})
    order = SharedOrder(1)
    order.refresh(fleet, serving)
    first = order.order[:100]
    assert sum(worker.kind == "std" for worker in first) > 65 and sum(worker.size == 4.0 for worker in first) > 65
