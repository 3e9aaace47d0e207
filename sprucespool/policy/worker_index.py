"""Index of workers with room, by own load: finds the least loaded without scanning all workers."""

from __future__ import annotations

import heapq
from collections.abc import Callable, Iterable, Iterator
from operator import itemgetter

from sprucespool.policy.beliefs import Worker
from sprucespool.policy.shared_order import SharedOrder

# Level of new and cold workers, which are treated as if they had the mean load.
MEAN_LEVEL = -1
# The shared order is scanned if a level has at least 1/8 as many workers; otherwise the level is sorted by rank.
SORT_BELOW_DIVISOR = 8


class WorkerIndex:
    """Workers grouped by level: own attempts in flight divided by `step`."""

    def __init__(self, step: int):
        self.step = step
        self.levels: dict[int, dict[Worker, None]] = {}
        # Cold workers by the time at which they become warm; workers that are no longer new.
        self._warming_queue: list[tuple[float, int, Worker]] = []
        self._newly_known: dict[Worker, None] = {}
        self._sequence_number = 0

    def became_known(self, worker: Worker) -> None:
        """The worker is no longer new; `due` yields it."""
        self._newly_known[worker] = None

    def due(self, now: float) -> Iterator[Worker]:
        """The workers that have to be updated because they are warm, or known, by now."""
        while self._newly_known:
            yield self._newly_known.popitem()[0]
        while self._warming_queue and self._warming_queue[0][0] <= now:
            yield heapq.heappop(self._warming_queue)[2]

    def _queue_until_warm(self, worker: Worker) -> None:
        if not worker.in_warming_queue:
            worker.in_warming_queue = True
            self._sequence_number += 1
            heapq.heappush(self._warming_queue, (worker.warm_at, self._sequence_number, worker))

    def update(self, worker: Worker, cold: bool) -> None:
        """Update the worker's level; it leaves the index if it is not in service or its window is full."""
        if cold:
            self._queue_until_warm(worker)
        has_room = worker.serving and worker.running_attempts < worker.window
        level = None if not has_room else MEAN_LEVEL if worker.new or cold else len(worker.in_flight) // self.step
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
        self, shared_order: SharedOrder[Worker], mean: int, places: int, fits: Callable[[Worker], bool]
    ) -> list[Worker]:
        """The fitting workers of the lowest level that has any: own zone first, then by rank in the shared order.

        The first `places` of the order count as equal. `mean` is the level used for new and cold workers.
        """
        order, mean_level_workers = shared_order.order, self.levels.get(MEAN_LEVEL, {})
        for level in sorted({max(level, mean) if level < 0 else level for level in self.levels}):
            level_workers, mean_workers = self.levels.get(level, {}), mean_level_workers if level == mean else {}
            ranked: Iterable[tuple[int, Worker]] = enumerate(order)
            if SORT_BELOW_DIVISOR * (len(level_workers) + len(mean_workers)) < len(order):
                ranked = self._ranked(shared_order, [*level_workers, *mean_workers])
            ties: list[Worker] = []
            tie_key = None
            for rank, worker in ranked:
                if worker.level == level or mean_workers and worker.level == MEAN_LEVEL:
                    worker_key = worker.far, max(places - 1, rank)
                    if ties and worker_key != tie_key:
                        break
                    if fits(worker):
                        tie_key = worker_key
                        ties.append(worker)
            if ties:
                return ties
        return []

    @staticmethod
    def _ranked(shared_order: SharedOrder[Worker], workers: list[Worker]) -> list[tuple[int, Worker]]:
        """Those of the workers that the order holds, with their ranks."""
        ranks = shared_order.ranks()
        return sorted([(ranks[worker], worker) for worker in workers if worker in ranks], key=itemgetter(0))
