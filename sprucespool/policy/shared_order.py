"""Orders of the invokers that all controllers compute alike without communicating, by weighted rendezvous hashing."""

from __future__ import annotations

import hashlib
import math
from array import array
from bisect import bisect_right
from collections import OrderedDict
from collections.abc import Collection, Iterable
from itertools import compress
from operator import attrgetter
from typing import Generic, Protocol, TypeVar

# Prime modulus of the hashes.
PRIME = 2**61 - 1
# An order holds the best of the invokers, this many at most: a model needs few places, and a whole order of a large
# fleet would cost each controller megabytes and milliseconds per model.
MAX_ORDER_SIZE = 256
# An order that is built is selected from the invokers with the best unweighted hashes: this many candidates per place.
CANDIDATES_PER_PLACE = 2


class Endpoint(Protocol):
    """What an order needs to know about a worker."""

    salt: int
    kind: str
    far: bool
    serving: bool

    @property
    def size(self) -> float: ...


Member = TypeVar("Member", bound=Endpoint)


def salt_of(name: str) -> int:
    """A number derived from the name, the same in all controllers."""
    return int.from_bytes(hashlib.blake2b(name.encode(), digest_size=7).digest(), "big") + 1


# Workers that joined are remembered so that orders can be extended by them: at least so many, and half of the fleet.
MIN_JOINED_KEPT = 1024


class Fleet(Generic[Member]):
    """The invokers in service, as the orders see them.

    `version` counts changes of the set of invokers in service or of the speed of their kinds. `epoch` counts the times
    at which all orders had to be rebuilt.
    """

    def __init__(self) -> None:
        self.version = 0
        self.slowness: dict[str, int] = {}
        # Workers that came into service in the current epoch; None in the place of one that has left.
        self.joined: list[Member | None] = []
        self._joined_places: dict[Member, int] = {}
        self.epoch = 0

    def worker_joined(self, worker: Member) -> None:
        """A worker came into service."""
        self._joined_places[worker] = len(self.joined)
        self.joined.append(worker)

    def worker_left(self, worker: Member) -> None:
        """The worker is no longer in service; nothing refers to it any more."""
        place = self._joined_places.pop(worker, None)
        if place is not None:
            self.joined[place] = None

    def workers_changed(self, serving: int) -> None:
        """The set of workers in service has changed."""
        self.version += 1
        if len(self.joined) > max(MIN_JOINED_KEPT, serving // 2):
            self._begin_epoch()

    def replaced(self) -> None:
        """Other workers than before count from now on."""
        self.version += 1
        self._begin_epoch()

    def set_slowness(self, slowness: dict[str, int]) -> None:
        """Set how much slower each kind is, in whole steps by a factor of 1.5."""
        self.slowness = slowness
        self.version += 1
        self._begin_epoch()

    def _begin_epoch(self) -> None:
        self.joined.clear()
        self._joined_places.clear()
        self.epoch += 1


class SharedOrder(Generic[Member]):
    """One order, shared by all models whose names hash to it. Updated on demand."""

    __slots__ = ("salt", "order", "_hashes", "version", "_epoch", "_joined_count", "_last_key")

    def __init__(self, number: int):
        self.salt = salt_of(f"turn {number}")
        self.order: list[Member] = []
        # The hash of each member, at the same place.
        self._hashes = array("d")
        # Version of the fleet at the last update.
        self.version: int | None = None
        self._epoch: int | None = None
        self._joined_count = 0
        # Members and those that join have no greater key; None: the order holds all workers in service.
        self._last_key: tuple[bool, float] | None = None

    def refresh(self, fleet: Fleet[Member], serving: Collection[Member]) -> None:
        """Update the order from the fleet."""
        if self.version == fleet.version:
            return
        slowness_factors = {kind: 1.5**steps for kind, steps in fleet.slowness.items()}
        can_extend = self._epoch == fleet.epoch
        if can_extend:
            self.remove_those_that_left()
            joined = [worker for worker in fleet.joined[self._joined_count :] if worker is not None and worker.serving]
            self._insert(joined, slowness_factors)
        if not can_extend or self._holds_too_few(len(serving)):
            self._build(serving, slowness_factors)
        self._cut(len(serving), slowness_factors)
        self.version, self._epoch, self._joined_count = fleet.version, fleet.epoch, len(fleet.joined)

    def ranks(self) -> dict[Member, int]:
        """The place of each member; not kept, since it takes many times the memory of the order."""
        return dict(zip(self.order, range(len(self.order)), strict=True))

    def _holds_too_few(self, serving: int) -> bool:
        """Whether an order of a part of the fleet has lost half of its members, or could hold the whole fleet."""
        count = len(self.order)
        return self._last_key is not None and (count < MAX_ORDER_SIZE // 2 or count < serving <= MAX_ORDER_SIZE)

    def remove_those_that_left(self) -> None:
        """Refer to no worker that is not in service any more; the order stays outdated otherwise."""
        in_service = list(map(attrgetter("serving"), self.order))
        if not all(in_service):
            self.order = list(compress(self.order, in_service))
            self._hashes = array("d", compress(self._hashes, in_service))

    def _insert(self, joined: Iterable[Member], slowness_factors: dict[str, float]) -> None:
        """Insert workers in service, beyond the last key of a part of the fleet none."""
        order, hashes = self.order, self._hashes

        def key_at(place: int) -> tuple[bool, float]:
            return order[place].far, hashes[place] * slowness_factors.get(order[place].kind, 1.0)

        for worker in joined:
            value = self._hash(worker)
            key = worker.far, value * slowness_factors.get(worker.kind, 1.0)
            if self._last_key is None or key <= self._last_key:
                place = bisect_right(range(len(order)), key, key=key_at)
                # One that left and joined again since the last update has not been removed.
                if place == 0 or order[place - 1] is not worker:
                    order.insert(place, worker)
                    hashes.insert(place, value)

    def _build(self, serving: Collection[Member], slowness_factors: dict[str, float]) -> None:
        """Select the members anew."""
        known, self._last_key = dict(zip(self.order, self._hashes, strict=True)), None
        candidates = self._candidates(serving)
        hashes = {worker: known.get(worker) or self._hash(worker) for worker in candidates}
        self.order = sorted(candidates, key=lambda worker: self._key(worker, hashes[worker], slowness_factors))
        self._hashes = array("d", map(hashes.__getitem__, self.order))

    def _candidates(self, serving: Collection[Member]) -> Collection[Member]:
        """The workers with the best unweighted hashes; all of them unless there are many more than places."""
        salt, expected = self.salt, CANDIDATES_PER_PLACE * MAX_ORDER_SIZE
        if len(serving) <= expected:
            return serving
        min_product = PRIME - PRIME * expected // len(serving)
        return [worker for worker in serving if salt * worker.salt % PRIME > min_product]

    def _cut(self, serving: int, slowness_factors: dict[str, float]) -> None:
        """Keep the best members; the last of them bounds who may join an order of a part of the fleet."""
        del self.order[MAX_ORDER_SIZE:], self._hashes[MAX_ORDER_SIZE:]
        is_cut = len(self.order) == MAX_ORDER_SIZE or self._last_key is None
        if self.order and len(self.order) < serving and is_cut:
            self._last_key = self._key(self.order[-1], self._hashes[-1], slowness_factors)

    @staticmethod
    def _key(worker: Member, value: float, slowness_factors: dict[str, float]) -> tuple[bool, float]:
        return worker.far, value * slowness_factors.get(worker.kind, 1.0)

    def _hash(self, worker: Member) -> float:
        return -math.log((self.salt * worker.salt % PRIME) / PRIME) / max(worker.size, 1e-3)


class SharedOrders(Generic[Member]):
    """The shared orders by number. At most `max_places` places are kept in all of them together.

    The orders that were not used for longest are dropped; they are built anew when they are needed again.
    """

    def __init__(self, max_places: int):
        self.max_places = max_places
        # From the longest unused.
        self._orders: OrderedDict[int, SharedOrder[Member]] = OrderedDict()
        self._places = 0
        # Numbers of the orders that may refer to workers that had left at that version of the fleet.
        self._to_release: list[int] = []
        self._released_version = 0

    def __len__(self) -> int:
        return len(self._orders)

    @property
    def places(self) -> int:
        """How many places all orders hold together."""
        return self._places

    def get(self, number: int, fleet: Fleet[Member], serving: Collection[Member]) -> SharedOrder[Member]:
        """The order with that number, updated from the fleet."""
        order = self._orders.get(number)
        if order is not None and order.version == fleet.version:
            self._orders.move_to_end(number)
            return order
        order = self._orders.pop(number, None) or SharedOrder(number)
        self._places -= len(order.order)
        order.refresh(fleet, serving)
        self._orders[number] = order
        self._places += len(order.order)
        while self._places > self.max_places and len(self._orders) > 1:
            self._drop_first()
        return order

    def release_those_that_left(self, fleet: Fleet[Member], count: int) -> None:
        """Let up to `count` orders that are not in use forget workers that have left; to be called periodically.

        Each order has its turn once the fleet has changed.
        """
        if not self._to_release and self._released_version != fleet.version:
            self._to_release, self._released_version = list(self._orders), fleet.version
        for number in self._to_release[-count:]:
            order = self._orders.get(number)
            if order is not None:
                self._places -= len(order.order)
                order.remove_those_that_left()
                self._places += len(order.order)
        del self._to_release[-count:]

    def _drop_first(self) -> None:
        _, order = self._orders.popitem(last=False)
        self._places -= len(order.order)
