"""The workers in service, in the order in which they joined."""

from __future__ import annotations

from collections.abc import Iterator

from sprucespool.policy.beliefs import Worker


class WorkersInService:
    """A set with access by position. The list for that is built on demand, so a change costs only what it changes."""

    def __init__(self) -> None:
        self._workers: dict[Worker, None] = {}
        self._positions: list[Worker] | None = None

    def __contains__(self, worker: object) -> bool:
        return worker in self._workers

    def __len__(self) -> int:
        return len(self._workers)

    def __iter__(self) -> Iterator[Worker]:
        return iter(self._workers)

    def __getitem__(self, position: int) -> Worker:
        if self._positions is None:
            self._positions = list(self._workers)
        return self._positions[position]

    def add(self, worker: Worker) -> None:
        self._workers[worker] = None
        self._positions = None

    def remove(self, worker: Worker) -> None:
        """Remove the worker; does nothing if it is not in service."""
        if self._workers.pop(worker, worker) is None:
            self._positions = None
