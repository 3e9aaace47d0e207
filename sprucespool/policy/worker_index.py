"""Workers with room, by their own load: the least-loaded are found without a look at all."""

from __future__ import annotations

from collections.abc import Callable

from sprucespool.policy.beliefs import Worker
from sprucespool.policy.shared_order import SharedOrder

# New and cold workers: they stand as if they had the mean load.
AVERAGE = -1
# An order is gone through where a level holds at least so large a part of it; else the level is put into order.
FEW_PART = 8


class WorkerIndex:
    """Levels of own attempts in flight, in steps of `step`."""

    def __init__(self, step: int):
        self.step = step
        self.levels: dict[int, dict[Worker, None]] = {}

    def file(self, worker: Worker, cold: bool) -> None:
        """Bring up to date where the worker stands: nowhere once it has left or its window is full."""
        kept = worker.serving and worker.work < worker.window
        level = None if not kept else AVERAGE if worker.new or cold else len(worker.out) // self.step
        if level == worker.level:
            return
        if worker.level is not None:
            del self.levels[worker.level][worker]
            if not self.levels[worker.level]:
                del self.levels[worker.level]
        if level is not None:
            self.levels.setdefault(level, {})[worker] = None
        worker.level = level

    def least_loaded(
        self, shared: SharedOrder[Worker], mean: int, places: int, fits: Callable[[Worker], bool]
    ) -> list[Worker]:
        """Those of the lowest level that fit: of the own zone first, then the first in the shared order.

        The first `places` of the order are equals. `mean` is the level at which new and cold workers stand.
        """
        order, ranks = shared.order, shared.ranks
        average = self.levels.get(AVERAGE, {})
        for level in sorted({max(level, mean) if level < 0 else level for level in self.levels}):
            held, also = self.levels.get(level, {}), average if level == mean else {}
            few = FEW_PART * (len(held) + len(also)) < len(order)
            ties: list[Worker] = []
            key = None
            ranked = order
            if few:
                ranked = sorted([worker for worker in (*held, *also) if worker in ranks], key=ranks.__getitem__)
            for worker in ranked:
                if few or worker.level == level or also and worker.level == AVERAGE:
                    its = worker.far, max(places - 1, ranks[worker])
                    if ties and its != key:
                        break
                    if fits(worker):
                        key = its
                        ties.append(worker)
            if ties:
                return ties
        return []
