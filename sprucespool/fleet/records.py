"""Records of invoker processes and how two of them are merged. Times are in ms of the holder's clock.

A process (address, boot) goes through its course, from serving over draining to gone, and never back. This is a fact,
and one honest claim is enough for it. Each claim is kept under its witness, so that a lying witness can be ignored
without revoking the claims of others. A restart needs no ordering of boots: it is a claim that the old process is gone,
next to a record of the new one. Roster rows are ordered by the version of the roster. An opinion belongs to one
observer; only that observer renews it, with its own counter. Each field has its own join and each map keeps its first
few entries in a fixed order, so the order, grouping and repetition of merges do not matter (`tests/test_fleet.py`
checks these laws).

Messages carry ages and never clock readings: the receiver subtracts the age from its time of receipt. If an opinion
arrives twice, the older time counts, because no route can make evidence younger.
"""

from __future__ import annotations

import hashlib
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import IntEnum
from typing import Any

# The source of a claim: a controller's name and start time.
Witness = tuple[str, int]
# Address and boot; an empty boot means whichever process is at the address.
Process = tuple[str, str]
MAX_CLAIMS, MAX_LISTINGS, MAX_OPINIONS = 4, 3, 16


class Course(IntEnum):
    SERVING = 0
    DRAINING = 1
    GONE = 2


class Listed(IntEnum):
    """What a roster says of a row. `NOT`: its complete list no longer contains the row."""

    IN_SERVICE = 0
    DRAINING = 1
    NOT = 2


@dataclass(frozen=True, slots=True, order=True)
class CourseClaim:
    """One witness's claim that the process drains or is gone. `source` and `version` name the roster that said so; the
    source is empty if the witness observed it itself."""

    course: Course
    version: int = 0
    source: str = ""


@dataclass(frozen=True, slots=True, order=True)
class Listing:
    """A row of a roster with the version and source of that roster."""

    version: int
    source: str
    listed: Listed = Listed.IN_SERVICE
    zone: str = ""
    kind: str = ""
    cell: str = ""
    size: float = 1.0

    @property
    def content(self) -> tuple:
        return self.source, self.listed, self.zone, self.kind, self.cell, self.size


@dataclass(frozen=True, slots=True)
class Opinion:
    """Opinion of one observer, with its own counter. `kind`: well, silent, refused or failing. `at`: when observed."""

    count: int
    kind: str
    zone: str
    at: float

    def later(self, other: Opinion) -> Opinion:
        """The join: the higher count wins, then the older time."""
        if self.count != other.count:
            return self if self.count > other.count else other
        one, two = (-self.at, self.kind, self.zone), (-other.at, other.kind, other.zone)
        return self if one >= two else other


@dataclass(frozen=True, slots=True)
class Record:
    """All that is known of one process. `born`: the earliest reported start time, because each hop adds to a reported
    age; None if not reported."""

    process: Process
    claims: dict[Witness, CourseClaim] = field(default_factory=dict)
    listings: dict[Witness, Listing] = field(default_factory=dict)
    opinions: dict[Witness, Opinion] = field(default_factory=dict)
    born: float | None = None

    def course(self, believed: Callable[[Witness], bool] = lambda witness: True) -> Course:
        return max(
            (claim.course for witness, claim in self.claims.items() if believed(witness)), default=Course.SERVING
        )

    def listing(self, believed: Callable[[Witness], bool] = lambda witness: True) -> Listing | None:
        """Returns the row of the newest roster version."""
        return max((one for witness, one in self.listings.items() if believed(witness)), default=None)

    @property
    def content(self) -> tuple:
        """The part that must be equal on two controllers. Witnesses, versions and opinions vary and are left out."""
        newest = self.listing()
        return self.process, int(self.course()), newest.content if newest else None


def _keep_first(found: dict[Witness, Any], limit: int, order: Callable[[Any], Any]) -> dict[Witness, Any]:
    return found if len(found) <= limit else dict(sorted(found.items(), key=order, reverse=True)[:limit])


def _union(one: dict[Witness, Any], other: dict[Witness, Any], join: Callable[[Any, Any], Any]) -> dict[Witness, Any]:
    if not other or one is other:
        return one
    if not one:
        return other
    found = dict(one)
    for witness, claim in other.items():
        found[witness] = join(found[witness], claim) if witness in found else claim
    return found


def _witness_order(witness: Witness) -> bytes:
    # A fixed order that is even over names, so that the witnesses kept are not always the alphabetically first.
    return hashlib.blake2b(f"{witness[0]}\0{witness[1]}".encode(), digest_size=8).digest()


def merged(one: Record, other: Record) -> Record:
    """The join of two records of one process."""
    claims = _union(one.claims, other.claims, max)
    listings = _union(one.listings, other.listings, max)
    opinions = _union(one.opinions, other.opinions, Opinion.later)
    born = min((at for at in (one.born, other.born) if at is not None), default=None)
    return Record(
        one.process,
        # The worst course first, so that many weaker claims cannot displace a stronger one.
        _keep_first(claims, MAX_CLAIMS, lambda item: (item[1].course, _witness_order(item[0]))),
        _keep_first(listings, MAX_LISTINGS, lambda item: (item[1], _witness_order(item[0]))),
        _keep_first(opinions, MAX_OPINIONS, lambda item: _witness_order(item[0])),
        born,
    )


def adds_information(held: Record, received: Record) -> bool:
    """Whether the received record adds to the one held. Further witnesses do not count once two are known.

    Checked before each join: without it, hundreds of witnesses of one row would cost hundreds of joins.
    """
    claims, listings, opinions = held.claims, held.listings, held.opinions
    if received.born is not None and held.born is None:
        return True
    if received.claims:
        course = held.course()
        has_two_witnesses = sum(claim.course is course for claim in claims.values()) >= 2
        if any(
            claim.course > course or not has_two_witnesses and who not in claims
            for who, claim in received.claims.items()
        ):
            return True
    if received.listings:
        newest = held.listing()
        if newest is None:
            return True
        has_two_witnesses = sum(one.content == newest.content for one in listings.values()) >= 2
        for who, one in received.listings.items():
            if (
                one.version > newest.version
                or one.content != newest.content
                and one > newest
                or (not has_two_witnesses and who not in listings)
            ):
                return True
    return any(who not in opinions or one.count > opinions[who].count for who, one in received.opinions.items())


def record_digest(record: Record) -> int:
    """Returns a 64-bit digest of a record's content."""
    text = repr(record.content)
    return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=8).digest(), "big")
