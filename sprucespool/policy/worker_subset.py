"""Which workers of a large fleet a controller uses first, so that it needs few connections."""

from __future__ import annotations

import math
from collections.abc import Iterable

from sprucespool.interface import Deployment
from sprucespool.policy.beliefs import Worker
from sprucespool.policy.workers_in_service import WorkersInService

# With at most this number of controllers, the traffic of each keeps the copies that it needs: it loses little by not
# using those that others keep.
FEW_CONTROLLERS = 16
# Up to this number of workers, few controllers use all of them.
MAX_WORKERS_USED_BY_FEW = 200
# Workers in the subset of each of few controllers, and the most subsets that they divide a fleet into.
WORKERS_PER_SUBSET, MAX_SUBSETS_OF_FEW = 64, 8
# The subsets are as large as allows so many connections to each worker.
CONNECTIONS_PER_WORKER = 2
# With so many own attempts in flight for each worker, other workers are used too.
BUSY_ATTEMPTS_PER_WORKER = 2
# The fleet is divided anew only when its size has changed by more than this factor.
RESIZE_FACTOR = 1.25


class WorkerSubset:
    """The workers in service that the controller uses first; all of them unless there are too many.

    A large fleet is divided into subsets of about the same size by the names of the workers, and each controller takes
    one by its number. So controllers with the same number of the subset find each other's copies.
    """

    def __init__(self, deployment: Deployment):
        self.few_controllers = deployment.controllers <= FEW_CONTROLLERS
        self.max_connected = deployment.max_connected_workers
        self.own_number = deployment.own_number
        self.subsets = 1
        self.workers = WorkersInService()
        # Number of workers in service for which the number of subsets was last chosen.
        self._chosen_for = 0

    def __contains__(self, worker: Worker) -> bool:
        """Whether the worker belongs to the subset, in service or not."""
        return self.subsets == 1 or worker.salt % self.subsets == self.own_number % self.subsets

    def is_busy(self, attempts_in_flight: int) -> bool:
        """Whether own attempts are enough to keep all of the subset busy, and there are other workers beside it."""
        return self.subsets > 1 and attempts_in_flight >= BUSY_ATTEMPTS_PER_WORKER * len(self.workers)

    def add(self, worker: Worker) -> None:
        """The worker came into service."""
        if worker in self:
            self.workers.add(worker)

    def remove(self, worker: Worker) -> None:
        """The worker is no longer in service."""
        self.workers.remove(worker)

    def resize(self, serving: WorkersInService) -> bool:
        """Choose the number of subsets for the workers in service; returns whether the subset is another one."""
        count, chosen_for = len(serving), self._chosen_for
        if chosen_for / RESIZE_FACTOR <= count <= chosen_for * RESIZE_FACTOR:
            return False
        self._chosen_for = count
        subsets = self._subsets_for(count)
        if subsets == self.subsets:
            return False
        self.subsets = subsets
        self._refill(serving)
        return True

    def _subsets_for(self, count: int) -> int:
        subsets = 1
        if self.few_controllers and count > MAX_WORKERS_USED_BY_FEW:
            subsets = min(MAX_SUBSETS_OF_FEW, count // WORKERS_PER_SUBSET)
        if count > self.max_connected:
            subsets = max(subsets, math.ceil(CONNECTIONS_PER_WORKER * count / self.max_connected))
        return subsets

    def _refill(self, serving: Iterable[Worker]) -> None:
        self.workers = WorkersInService()
        for worker in serving:
            self.add(worker)
