"""Claims that an invoker has copies of a model loaded, and their merge.

Order: of two claims about the same copies, the one with the more recent evidence wins; then the one with fewer hops,
then by source and counts, so that no two different claims compare equal. The merge keeps the greater claim for each
key. The order is total, so the merge is commutative, associative and idempotent (a join-semilattice): it does not
matter who sends claims to whom, or how often.

Clocks: a claim is sent with its age. The receiver subtracts the age from the time of its request, which is before the
time at which the sender computed the age. So a claim never becomes younger by being passed on, even if two controllers
keep exchanging it.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Iterator
from dataclasses import dataclass

import msgspec

Key = tuple[str, str, str]


class Row(msgspec.Struct, array_like=True):
    """An encoded claim: `age` in ms when it was sent, `hops` how often it was passed on (0: from a response that the
    sender itself received). Later versions may append fields with defaults; this version ignores appended fields."""

    invoker: str
    boot: str
    model: str
    copies: int
    lanes: int
    age: float
    hops: int = 0


@dataclass(frozen=True, slots=True)
class Claim:
    """A stored claim: `seen_at` is the time of its evidence on the local clock, never later than the true time."""

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
    """Claims by key, at most `max_claims` of them, removed when older than `keep_ms`.

    Expiry uses buckets that are a sixteenth of that time wide: a claim is checked when its bucket ends, instead of
    sorting all claims at each check. Above `max_claims` the oldest bucket is evicted from first.
    """

    def __init__(self, keep_ms: float, max_claims: int = 100_000):
        self.keep_ms, self.max_claims, self.bucket_ms = keep_ms, max_claims, keep_ms / 16
        self.claims: dict[Key, Claim] = {}
        self.buckets: dict[int, set[Key]] = {}
        self.bucket_order: deque[int] = deque()
        self.evicted = 0

    def __len__(self) -> int:
        return len(self.claims)

    def __iter__(self) -> Iterator[Claim]:
        return iter(self.claims.values())

    def _bucket(self, claim: Claim) -> int:
        return int(claim.seen_at // self.bucket_ms)

    def merge(self, claims: Iterable[Claim]) -> list[Claim]:
        """Adds claims; returns those that replaced a lower claim or are new."""
        accepted = []
        for claim in claims:
            existing = self.claims.get(claim.key)
            if existing is not None and existing.rank >= claim.rank:
                continue
            if existing is not None:
                self.remove(existing.key)
            self.claims[claim.key] = claim
            number = self._bucket(claim)
            if number not in self.buckets:
                self.buckets[number] = set()
                self._insert_bucket(number)
            self.buckets[number].add(claim.key)
            accepted.append(claim)
        while len(self.claims) > self.max_claims:
            self._evict_oldest()
        return [claim for claim in accepted if self.claims.get(claim.key) is claim] if self.evicted else accepted

    def _insert_bucket(self, number: int):
        # Buckets are created nearly in order; for the few that are not, the position is searched from the end.
        later = []
        while self.bucket_order and self.bucket_order[-1] > number:
            later.append(self.bucket_order.pop())
        self.bucket_order.append(number)
        self.bucket_order.extend(reversed(later))

    def _evict_oldest(self):
        while self.bucket_order:
            keys = self.buckets.get(self.bucket_order[0])
            if keys:
                # The lowest rank, with ties broken by key: two controllers with the same claims must evict the same
                # one, and the order of a set differs between processes.
                self.evicted += 1
                self.remove(min(keys, key=lambda key: (self.claims[key].rank, key)))
                return
            self.buckets.pop(self.bucket_order.popleft(), None)

    def remove(self, key: Key) -> Claim | None:
        claim = self.claims.pop(key, None)
        if claim is not None:
            self.buckets[self._bucket(claim)].discard(key)
        return claim

    def expire(self, now: float) -> list[Claim]:
        """Removes and returns the claims that are too old to be used."""
        expired, cutoff = [], now - self.keep_ms
        while self.bucket_order and (self.bucket_order[0] + 1) * self.bucket_ms <= cutoff:
            for key in self.buckets.pop(self.bucket_order.popleft()):
                expired.append(self.claims.pop(key))
        return expired
