"""Notes between controllers, and snapshots, as bytes: msgpack, bounded, sealed with the group's name and mark.

Moments travel as ages: the receiver counts back from when it hears. What is no note of this group is refused with what
was expected.
"""

from __future__ import annotations

import hashlib
import hmac
import math
import zlib
from dataclasses import replace
from typing import Any

import msgspec

from sprucespool.fleet.notes import KINDS, Note
from sprucespool.fleet.records import (
    MOST_LISTINGS,
    MOST_OPINIONS,
    MOST_WORDS,
    Course,
    Listed,
    Listing,
    Opinion,
    Record,
    Word,
)

MOST_BYTES, MOST_RECORDS, LONGEST, SEAL = 262_144, 256, 256, 16
MOST_SNAPSHOT = 16 * 2**20
# A roster counts its versions; one that told a figure beyond this is no roster.
FARTHEST, LONGEST_AGE = 2**53, 4e9
OPINIONS = ("well", "silent", "refused", "failing")


class NoteError(ValueError):
    """Bytes that are no note of this group."""


_Who = tuple[str, int]
_RecordWire = tuple[
    str,
    str,
    float,
    list[tuple[str, int, int, int, str]],
    list[tuple[str, int, int, str, int, str, str, str, float]],
    list[tuple[str, int, int, int, str, float]],
]


class _Wire(msgspec.Struct, array_like=True):
    kind: int
    sender: _Who
    address: str
    digest: int
    version: int
    records: list[_RecordWire]
    marks: list[int]
    buckets: list[int]


class _File(msgspec.Struct, array_like=True):
    written_at: float
    records: list[_RecordWire]


_ENCODER, _DECODER = msgspec.msgpack.Encoder(), msgspec.msgpack.Decoder(_Wire)
_FILES = msgspec.msgpack.Decoder(_File)


def _out(now: float, record: Record) -> tuple:
    return (
        *record.process,
        -1.0 if record.born is None else max(0.0, now - record.born),
        [(*who, int(word.course), word.version, word.source) for who, word in record.words.items()],
        [
            (*who, one.version, one.source, int(one.listed), one.zone, one.kind, one.cell, one.size)
            for who, one in record.listings.items()
        ],
        [
            (*who, one.count, OPINIONS.index(one.kind), one.zone, max(0.0, now - one.at))
            for who, one in record.opinions.items()
        ],
    )


def _in(now: float, told: _RecordWire) -> Record:
    address, boot, age, words, listings, opinions = told
    texts = [
        address,
        boot,
        *(w[0] for w in words),
        *(w[4] for w in words),
        *(one[0] for one in listings),
        *(text for one in listings for text in (one[3], *one[5:8])),
        *(one[0] for one in opinions),
        *(one[4] for one in opinions),
    ]
    whole = (
        [n for w in words for n in (w[1], w[3])]
        + [n for one in listings for n in one[1:3]]
        + [n for one in opinions for n in one[1:3]]
    )
    ages = [one[5] for one in opinions] + ([age] if age != -1.0 else [])
    if (
        not address
        or max(map(len, texts)) > LONGEST
        or any(not 0 <= n <= 2**62 for n in whole)
        or any(not 0 <= one <= LONGEST_AGE for one in ages)
        or len(words) > MOST_WORDS
        or any(one[2] > FARTHEST for one in listings)
        or any(w[3] > FARTHEST for w in words)
        or len(listings) > MOST_LISTINGS
        or len(opinions) > MOST_OPINIONS
        or not all(math.isfinite(one[8]) and 0 < one[8] < 1e9 for one in listings)
    ):
        raise NoteError("a name, figure or list of a record out of bounds")
    try:
        return Record(
            (address, boot),
            {(name, start): Word(Course(course), version, source) for name, start, course, version, source in words},
            {
                (name, start): Listing(version, source, Listed(listed), zone, kind, cell, size)
                for name, start, version, source, listed, zone, kind, cell, size in listings
            },
            {
                (name, start): Opinion(count, _kind(kind), zone, now - old)
                for name, start, count, kind, zone, old in opinions
            },
            None if age == -1.0 else now - age,
        )
    except ValueError as problem:
        raise NoteError(str(problem)) from None


def _kind(number: int) -> str:
    if not 0 <= number < len(OPINIONS):
        raise NoteError("a kind of opinion out of bounds")
    return OPINIONS[number]


class Codec:
    """Of one group; `mark` is what its members share and others do not know. Times are ms of the owner's clock."""

    def __init__(self, group: str, mark: str):
        self.key = hashlib.blake2b(f"{group}\0{mark}\0fleet".encode(), digest_size=32).digest()

    def _sealed(self, data: bytes | memoryview) -> bytes:
        return hashlib.blake2b(data, digest_size=SEAL, key=self.key).digest()

    def encode(self, now: float, note: Note) -> bytes:
        data = _ENCODER.encode(
            _Wire(
                KINDS.index(note.kind),
                note.sender,
                note.address,
                note.digest,
                note.version,
                [_out(now, record) for record in note.records],
                list(note.marks),
                list(note.buckets),
            )
        )
        return self._sealed(data) + data

    def decode(self, now: float, data: bytes) -> Note:
        """Raises NoteError."""
        if not SEAL < len(data) <= MOST_BYTES:
            raise NoteError(f"expected {SEAL + 1} to {MOST_BYTES} bytes, got {len(data)}")
        if not hmac.compare_digest(self._sealed(data[SEAL:]), data[:SEAL]):
            raise NoteError("not of this group: another name or mark, or changed on the way")
        try:
            found: Any = _DECODER.decode(data[SEAL:])
        except (msgspec.DecodeError, RecursionError) as problem:
            raise NoteError(f"expected a note: {problem}") from None
        if (
            not 0 <= found.kind < len(KINDS)
            or len(found.records) > MOST_RECORDS
            or len(found.marks) > 64
            or not 0 <= found.digest < 2**64
            or not 0 <= found.version <= FARTHEST
            or not 0 < len(found.sender[0]) <= LONGEST
            or not 0 <= found.sender[1] <= 2**62
            or not 0 < len(found.address) <= LONGEST
            or len(found.buckets) > 64
            or any(not 0 <= bucket < 64 for bucket in found.buckets)
        ):
            raise NoteError("a kind, number or list out of bounds")
        return Note(
            KINDS[found.kind],
            tuple(found.sender),
            found.address,
            found.digest,
            found.version,
            tuple(_in(now, record) for record in found.records),
            tuple(found.marks),
            tuple(found.buckets),
        )

    def snapshot(self, now: float, wall: float, records: list[Record]) -> bytes:
        """`wall`: ms since 1970 by the machine's clock, only to tell the age of the file."""
        body = _ENCODER.encode(_File(wall, [_out(now, replace(record, opinions={})) for record in records]))
        return self._sealed(body) + zlib.crc32(body).to_bytes(4, "big") + body

    def restored(self, now: float, wall: float, data: bytes) -> tuple[list[Record], float]:
        """(records, age of the file in ms). Raises NoteError, also for one that was written later than now."""
        if (
            len(data) > MOST_SNAPSHOT
            or len(data) < SEAL + 4
            or (zlib.crc32(data[SEAL + 4 :]).to_bytes(4, "big") != data[SEAL : SEAL + 4])
        ):
            raise NoteError("cut off, changed, or no snapshot at all")
        if not hmac.compare_digest(self._sealed(data[SEAL + 4 :]), data[:SEAL]):
            raise NoteError("of another group")
        try:
            found = _FILES.decode(data[SEAL + 4 :])
        except (msgspec.DecodeError, RecursionError) as problem:
            raise NoteError(f"expected a snapshot: {problem}") from None
        age = wall - found.written_at
        if not 0 <= age <= LONGEST_AGE:
            raise NoteError("written at a time that has not come")
        return [_in(now - age, record) for record in found.records], age
