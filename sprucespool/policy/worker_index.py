"""Workers with room, by their own load: the least-loaded are found without a look at all."""

from __future__ import annotations

import heapq
from collections.abc import Callable, Iterator

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
        # Cold workers by the time from which they are warm; those that are no longer new.
        self._warming: list[tuple[float, int, Worker]] = []
        self._known: dict[Worker, None] = {}
        self._filed = 0

    def became_known(self, worker: Worker) -> None:
        """It is no longer new: `due` gives it."""
        self._known[worker] = None

    def due(self, now: float) -> Iterator[Worker]:
        """Those that are to be filed anew since they are warm, or known, by now."""
        while self._known:
            yield self._known.popitem()[0]
        while self._warming and self._warming[0][0] <= now:
            yield heapq.heappop(self._warming)[2]

    def _await_warm(self, worker: Worker) -> None:
        if not worker.awaited:
            worker.awaited = True
            self._filed += 1
            heapq.heappush(self._warming, (worker.warm_at, self._filed, worker))

    def file(self, worker: Worker, cold: bool) -> None:
        """Bring up to date where the worker stands: nowhere once it has left or its window is full."""
        if cold:
            self._await_warm(worker)
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
