"""What is known of each process of an invoker, and how two tellings become one. Times are ms of the holder's clock.

A process (address, boot) takes its course: serving, draining, gone, and never back: a fact, for which one honest word
is enough. Each word stands under the name of its witness, so that one who lies can be left out without taking back what
others said. A restart needs no order of boots: it is the word that the old process is gone, beside the new one.
What a roster lists goes by that roster's version. An opinion is one observer's; only that observer renews it, by its
own count. Each part is a join of its own and each map keeps the first few by a fixed order, so order, grouping and
repeats of tellings do not matter (`tests/test_fleet.py` proves the laws).

Ages travel, clocks never: who is told counts back from the moment of the telling. Told of one opinion twice, the older
moment holds, as no way makes evidence younger.
"""

from __future__ import annotations

import hashlib
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import IntEnum
from typing import Any

# Who said it: a controller's name and start.
Witness = tuple[str, int]
# Address and boot; without a boot, whatever process stands at the address.
Process = tuple[str, str]
MAX_CLAIMS, MAX_LISTINGS, MAX_OPINIONS = 4, 3, 16


class Course(IntEnum):
    SERVING = 0
    DRAINING = 1
    GONE = 2


class Listed(IntEnum):
    """What a roster says of a row; `NOT` where its whole list leaves out what it had."""

    IN_SERVICE = 0
    DRAINING = 1
    NOT = 2


@dataclass(frozen=True, slots=True, order=True)
class CourseClaim:
    """One witness's word that the process drains or is gone. `source` and `version` of the roster that told it; no
    source where the witness saw it with its own eyes."""

    course: Course
    version: int = 0
    source: str = ""


@dataclass(frozen=True, slots=True, order=True)
class Listing:
    """A roster's row: of which version and source, and what it says."""

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
    """Of one observer, numbered by itself. `kind`: well, silent, refused, failing. `at`: when it was so."""

    count: int
    kind: str
    zone: str
    at: float

    def later(self, other: Opinion) -> Opinion:
        """The join: the higher count, else the older moment."""
        if self.count != other.count:
            return self if self.count > other.count else other
        one, two = (-self.at, self.kind, self.zone), (-other.at, other.kind, other.zone)
        return self if one >= two else other


@dataclass(frozen=True, slots=True)
class Record:
    """Of one process. `born`: the earliest moment at which it is said to have started, as each way adds to what is
    told; None where nobody tells."""

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
        """The newest version wins at all."""
        return max((one for witness, one in self.listings.items() if believed(witness)), default=None)

    @property
    def content(self) -> tuple:
        """What two controllers must hold alike: who said it, versions and opinions come and go and are left out."""
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
    # Fixed, and even over names: who speaks for all is not always the first of the alphabet.
    return hashlib.blake2b(f"{witness[0]}\0{witness[1]}".encode(), digest_size=8).digest()


def merged(one: Record, other: Record) -> Record:
    """The join of two records of one process."""
    claims = _union(one.claims, other.claims, max)
    listings = _union(one.listings, other.listings, max)
    opinions = _union(one.opinions, other.opinions, Opinion.later)
    born = min((at for at in (one.born, other.born) if at is not None), default=None)
    return Record(
        one.process,
        # The worst course first: a flood of weaker words drives out no stronger one.
        _keep_first(claims, MAX_CLAIMS, lambda item: (item[1].course, _witness_order(item[0]))),
        _keep_first(listings, MAX_LISTINGS, lambda item: (item[1], _witness_order(item[0]))),
        _keep_first(opinions, MAX_OPINIONS, lambda item: _witness_order(item[0])),
        born,
    )


def adds_information(held: Record, received: Record) -> bool:
    """Whether the telling says more than is held, but for whose word it is once two give theirs: the look before a
    join, without which hundreds of witnesses of one row would cost hundreds of joins."""
    claims, listings, opinions = held.claims, held.listings, held.opinions
    if received.born is not None and held.born is None:
        return True
    if received.claims:
        course = held.course()
        two = sum(claim.course is course for claim in claims.values()) >= 2
        if any(claim.course > course or not two and who not in claims for who, claim in received.claims.items()):
            return True
    if received.listings:
        newest = held.listing()
        if newest is None:
            return True
        two = sum(one.content == newest.content for one in listings.values()) >= 2
        for who, one in received.listings.items():
            if (
                one.version > newest.version
                or one.content != newest.content
                and one > newest
                or (not two and who not in listings)
            ):
                return True
    return any(who not in opinions or one.count > opinions[who].count for who, one in received.opinions.items())


def record_digest(record: Record) -> int:
    """64 bits of a record's content."""
    text = repr(record.content)
    return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=8).digest(), "big")
