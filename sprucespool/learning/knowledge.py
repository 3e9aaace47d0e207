"""Claims that copies stand somewhere, and their merge.

Order: of two claims on the same copies the one whose sign is younger says more; with equal signs the one that came a
shorter way, then by source and numbers, so that no two different claims are equal. The merge takes the greater for
each key: the greatest of a totally ordered set, so it is commutative, associative and idempotent (a join-semilattice),
whoever tells whom how often.

Clocks: a claim travels with its age. A receiver counts it from the moment at which it asked, which lies before the
moment at which the age was told: on no way does a claim grow younger, also when two tell each other for ever.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Iterator
from dataclasses import dataclass

import msgspec

Key = tuple[str, str, str]


class Row(msgspec.Struct, array_like=True):
    """A claim on its way: `age` ms when it was told, `hops` how often it was told on (0: the teller's own answer).
    Later versions may append fields with defaults; what is appended is passed over here."""

    invoker: str
    boot: str
    model: str
    copies: int
    lanes: int
    age: float
    hops: int = 0


@dataclass(frozen=True, slots=True)
class Claim:
    """A claim held here: `seen_at` is the time of the sign on the own clock, never later than it was."""

    invoker: str
    boot: str
    model: str
    copies: int
    lanes: int
    seen_at: float
    hops: int
    source: str

    @property
    def key(self) -> Key:
        return self.invoker, self.boot, self.model

    @property
    def rank(self) -> tuple:
        return self.seen_at, -self.hops, self.source, self.copies, self.lanes


def claim_from_row(row: Row, asked_at: float, source: str) -> Claim:
    return Claim(
        row.invoker, row.boot, row.model, row.copies, row.lanes, asked_at - max(0.0, row.age), row.hops + 1, source
    )


def row_from_claim(claim: Claim, now: float) -> Row:
    return Row(
        claim.invoker, claim.boot, claim.model, claim.copies, claim.lanes, max(0.0, now - claim.seen_at), claim.hops
    )


class ClaimStore:
    """Claims by key within bounds, forgotten when older than `keep` ms.

    Expiry goes by buckets of a sixteenth of that time: a claim is looked at when its bucket ends, instead of all being
    sorted for each look. With more than `most` claims the oldest bucket gives way first.
    """

    def __init__(self, keep: float, most: int = 100_000):
        self.keep, self.most, self.width = keep, most, keep / 16
        self.claims: dict[Key, Claim] = {}
        self.buckets: dict[int, set[Key]] = {}
        self.order: deque[int] = deque()
        self.dropped = 0

    def __len__(self) -> int:
        return len(self.claims)

    def __iter__(self) -> Iterator[Claim]:
        return iter(self.claims.values())

    def _bucket(self, claim: Claim) -> int:
        return int(claim.seen_at // self.width)

    def merge(self, claims: Iterable[Claim]) -> list[Claim]:
        """Take claims in; gives those that say more than what was held."""
        taken = []
        for claim in claims:
            held = self.claims.get(claim.key)
            if held is not None and held.rank >= claim.rank:
                continue
            if held is not None:
                self.forget(held.key)
            self.claims[claim.key] = claim
            number = self._bucket(claim)
            if number not in self.buckets:
                self.buckets[number] = set()
                self._note(number)
            self.buckets[number].add(claim.key)
            taken.append(claim)
        while len(self.claims) > self.most:
            self._drop_oldest()
        return [claim for claim in taken if self.claims.get(claim.key) is claim] if self.dropped else taken

    def _note(self, number: int):
        # Buckets begin nearly in order; the few that do not find their place from the end.
        later = []
        while self.order and self.order[-1] > number:
            later.append(self.order.pop())
        self.order.append(number)
        self.order.extend(reversed(later))

    def _drop_oldest(self):
        while self.order:
            keys = self.buckets.get(self.order[0])
            if keys:
                # The least, and of equals the one first by key: two that hold the same must drop the same, and a
                # set's order is another in each process.
                self.dropped += 1
                self.forget(min(keys, key=lambda key: (self.claims[key].rank, key)))
                return
            self.buckets.pop(self.order.popleft(), None)

    def forget(self, key: Key) -> Claim | None:
        claim = self.claims.pop(key, None)
        if claim is not None:
            self.buckets[self._bucket(claim)].discard(key)
        return claim

    def expire(self, now: float) -> list[Claim]:
        """Drop what is too old to be of use; gives it."""
        gone, least = [], now - self.keep
        while self.order and (self.order[0] + 1) * self.width <= least:
            for key in self.buckets.pop(self.order.popleft()):
                gone.append(self.claims.pop(key))
        return gone
