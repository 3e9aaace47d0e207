"""The workers in service, in the order in which they came."""

from __future__ import annotations

from collections.abc import Iterator

from sprucespool.policy.beliefs import Worker


class WorkersInService:
    """Changes cost no more than what changes: the list that is drawn from by place is made when it is asked for."""

    def __init__(self) -> None:
        self._workers: dict[Worker, None] = {}
        self._places: list[Worker] | None = None

    def __contains__(self, worker: object) -> bool:
        return worker in self._workers

    def __len__(self) -> int:
        return len(self._workers)

    def __iter__(self) -> Iterator[Worker]:
        return iter(self._workers)

    def __getitem__(self, place: int) -> Worker:
        if self._places is None:
            self._places = list(self._workers)
        return self._places[place]

    def add(self, worker: Worker) -> None:
        self._workers[worker] = None
        self._places = None

    def remove(self, worker: Worker) -> None:
        """One that is not there is passed over."""
        if self._workers.pop(worker, worker) is None:
            self._places = None
