"""Orders of the invokers that all controllers share without talking, by a weighed rendezvous draw."""

from __future__ import annotations

import hashlib
import heapq
import math
from collections.abc import Collection, Iterable
from typing import Generic, Protocol, TypeVar

# A prime for the draws.
PRIME = 2**61 - 1
# Up to so many invokers an order holds all of them. In a larger fleet an order is a part of it: one of all would cost
# each controller megabytes and milliseconds a model, while a model needs few places.
WHOLE = 512
PART = 256
# The part is chosen among those with the best draws unweighed, so many times as many.
CHOSEN_FROM = 2


class Endpoint(Protocol):
    """What an order needs to know of a worker."""

    salt: int
    kind: str
    far: bool
    serving: bool

    @property
    def size(self) -> float: ...


Member = TypeVar("Member", bound=Endpoint)


def salt_of(name: str) -> int:
    """A number that all controllers draw with for the name."""
    return int.from_bytes(hashlib.blake2b(name.encode(), digest_size=7).digest(), "big") + 1


class Fleet(Generic[Member]):
    """The invokers in service, as the orders see them. `version` counts changes of who serves or how fast kinds are."""

    def __init__(self) -> None:
        self.version = 0
        self.slowness: dict[str, int] = {}
        # Since the last time that all orders were to be made anew: who came into service.
        self.joined: list[Member] = []
        self.epoch = 0

    def came(self, worker: Member) -> None:
        """A worker came into service."""
        self.joined.append(worker)

    def changed(self, serving: int) -> None:
        """Who serves has changed."""
        self.version += 1
        if len(self.joined) > 2 * max(WHOLE, serving):
            self._begin_anew()

    def weigh(self, slowness: dict[str, int]) -> None:
        """How much slower each kind is, in whole steps of half as much again."""
        self.slowness = slowness
        self.version += 1
        self._begin_anew()

    def _begin_anew(self) -> None:
        self.joined.clear()
        self.epoch += 1


class SharedOrder(Generic[Member]):
    """One order, for all models that fall on it. Brought up to date when it is asked for."""

    def __init__(self, number: int):
        self.salt = salt_of(f"turn {number}")
        self.order: list[Member] = []
        self.ranks: dict[Member, int] = {}
        self._draws: dict[Member, float] = {}
        self._version: int | None = None
        self._epoch: int | None = None
        self._joined = 0
        # Of an order that holds a part of the fleet: the key of its last member when it was made.
        self._last: tuple[bool, float] | None = None

    def refresh(self, fleet: Fleet[Member], serving: Collection[Member]) -> None:
        """Bring the order up to date with the fleet."""
        if self._version == fleet.version:
            return
        self._version = fleet.version
        slow = {kind: 1.5**steps for kind, steps in fleet.slowness.items()}
        if len(serving) <= WHOLE:
            self._refresh_whole(serving, slow)
        else:
            self._refresh_part(fleet, serving, slow)
        self.ranks = {worker: rank for rank, worker in enumerate(self.order)}

    def _refresh_whole(self, serving: Collection[Member], slow: dict[str, float]) -> None:
        old, self._last = self._draws, None
        self._draws = {worker: old.get(worker) or self._draw(worker) for worker in serving}
        self.order = sorted(serving, key=lambda worker: self._key(worker, slow))

    def _refresh_part(self, fleet: Fleet[Member], serving: Collection[Member], slow: dict[str, float]) -> None:
        kept = [worker for worker in self.order if worker.serving]
        last, joined = self._last, fleet.joined[self._joined :]
        current = last is not None and self._epoch == fleet.epoch and len(kept) >= PART // 2
        self._epoch, self._joined = fleet.epoch, len(fleet.joined)
        if current:
            assert last is not None
            better = [worker for worker in joined if worker.serving and self._key(worker, slow) <= last]
            members: Iterable[Member] = dict.fromkeys(kept + better)
        else:
            floor = PRIME - PRIME * CHOSEN_FROM * PART // len(serving)
            salt = self.salt
            drawn = [worker for worker in serving if salt * worker.salt % PRIME > floor]
            members = heapq.nsmallest(PART, drawn, key=lambda worker: self._key(worker, slow))
        self.order = sorted(members, key=lambda worker: self._key(worker, slow))
        self._draws = {worker: self._draws[worker] for worker in self.order}
        if not current and self.order:
            self._last = self._key(self.order[-1], slow)

    def _key(self, worker: Member, slow: dict[str, float]) -> tuple[bool, float]:
        draw = self._draws.get(worker)
        if draw is None:
            draw = self._draws[worker] = self._draw(worker)
        return worker.far, draw * slow.get(worker.kind, 1.0)

    def _draw(self, worker: Member) -> float:
        return -math.log((self.salt * worker.salt % PRIME) / PRIME) / max(worker.size, 1e-3)
