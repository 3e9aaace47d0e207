"""Encodes messages between controllers, and snapshots: msgpack, bounded, sealed with the group's name and mark.

Points in time are sent as ages; the receiver subtracts them from its own time of receipt. Data that is not a message
of this group is refused with an error that says what was expected.
"""

from __future__ import annotations

import hashlib
import hmac
import math
import zlib
from dataclasses import replace
from typing import Any

import msgspec

from sprucespool.fleet.messages import KINDS, FleetMessage
from sprucespool.fleet.records import (
    MAX_CLAIMS,
    MAX_LISTINGS,
    MAX_OPINIONS,
    Course,
    CourseClaim,
    Listed,
    Listing,
    Opinion,
    Record,
)

MAX_MESSAGE_BYTES, MAX_RECORDS, MAX_TEXT_LENGTH, SEAL_BYTES = 262_144, 256, 256, 16
MAX_SNAPSHOT_BYTES = 16 * 2**20
# Rosters count their versions from small numbers, so a larger version is invalid.
MAX_VERSION, MAX_AGE_MS = 2**53, 4e9
OPINIONS = ("well", "silent", "refused", "failing")


class FleetMessageError(ValueError):
    """The data is not a valid message or snapshot of this group."""


_WitnessWire = tuple[str, int]
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
    sender: _WitnessWire
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
_FILE_DECODER = msgspec.msgpack.Decoder(_File)


def _encode_record(now: float, record: Record) -> tuple:
    return (
        *record.process,
        -1.0 if record.born is None else max(0.0, now - record.born),
        [(*who, int(claim.course), claim.version, claim.source) for who, claim in record.claims.items()],
        [
            (*who, one.version, one.source, int(one.listed), one.zone, one.kind, one.cell, one.size)
            for who, one in record.listings.items()
        ],
        [
            (*who, one.count, OPINIONS.index(one.kind), one.zone, max(0.0, now - one.at))
            for who, one in record.opinions.items()
        ],
    )


def _decode_record(now: float, wire: _RecordWire) -> Record:
    address, boot, age, claims, listings, opinions = wire
    texts = [
        address,
        boot,
        *(claim[0] for claim in claims),
        *(claim[4] for claim in claims),
        *(one[0] for one in listings),
        *(text for one in listings for text in (one[3], *one[5:8])),
        *(one[0] for one in opinions),
        *(one[4] for one in opinions),
    ]
    integers = (
        [n for claim in claims for n in (claim[1], claim[3])]
        + [n for one in listings for n in one[1:3]]
        + [n for one in opinions for n in one[1:3]]
    )
    ages = [one[5] for one in opinions] + ([age] if age != -1.0 else [])
    if (
        not address
        or max(map(len, texts)) > MAX_TEXT_LENGTH
        or any(not 0 <= n <= 2**62 for n in integers)
        or any(not 0 <= one <= MAX_AGE_MS for one in ages)
        or len(claims) > MAX_CLAIMS
        or any(one[2] > MAX_VERSION for one in listings)
        or any(claim[3] > MAX_VERSION for claim in claims)
        or len(listings) > MAX_LISTINGS
        or len(opinions) > MAX_OPINIONS
        or not all(math.isfinite(one[8]) and 0 < one[8] < 1e9 for one in listings)
    ):
        raise FleetMessageError("a name, figure or list of a record out of bounds")
    try:
        return Record(
            (address, boot),
            {
                (name, start): CourseClaim(Course(course), version, source)
                for name, start, course, version, source in claims
            },
            {
                (name, start): Listing(version, source, Listed(listed), zone, kind, cell, size)
                for name, start, version, source, listed, zone, kind, cell, size in listings
            },
            {
                (name, start): Opinion(count, _opinion_kind(kind), zone, now - old)
                for name, start, count, kind, zone, old in opinions
            },
            None if age == -1.0 else now - age,
        )
    except ValueError as error:
        raise FleetMessageError(str(error)) from None


def _opinion_kind(number: int) -> str:
    if not 0 <= number < len(OPINIONS):
        raise FleetMessageError("a kind of opinion out of bounds")
    return OPINIONS[number]


class Codec:
    """Codec of one group. `mark` is the secret that its members share. Times are in ms of the caller's clock."""

    def __init__(self, group: str, mark: str):
        self.key = hashlib.blake2b(f"{group}\0{mark}\0fleet".encode(), digest_size=32).digest()

    def _sealed(self, data: bytes | memoryview) -> bytes:
        return hashlib.blake2b(data, digest_size=SEAL_BYTES, key=self.key).digest()

    def encode(self, now: float, message: FleetMessage) -> bytes:
        data = _ENCODER.encode(
            _Wire(
                KINDS.index(message.kind),
                message.sender,
                message.address,
                message.digest,
                message.version,
                [_encode_record(now, record) for record in message.records],
                list(message.bucket_digests),
                list(message.buckets),
            )
        )
        return self._sealed(data) + data

    def decode(self, now: float, data: bytes) -> FleetMessage:
        """Raises FleetMessageError for invalid data."""
        if not SEAL_BYTES < len(data) <= MAX_MESSAGE_BYTES:
            raise FleetMessageError(f"expected {SEAL_BYTES + 1} to {MAX_MESSAGE_BYTES} bytes, got {len(data)}")
        if not hmac.compare_digest(self._sealed(data[SEAL_BYTES:]), data[:SEAL_BYTES]):
            raise FleetMessageError("not of this group: another name or mark, or changed on the way")
        try:
            decoded: Any = _DECODER.decode(data[SEAL_BYTES:])
        except (msgspec.DecodeError, RecursionError) as error:
            raise FleetMessageError(f"expected a note: {error}") from None
        if (
            not 0 <= decoded.kind < len(KINDS)
            or len(decoded.records) > MAX_RECORDS
            or len(decoded.marks) > 64
            or not 0 <= decoded.digest < 2**64
            or not 0 <= decoded.version <= MAX_VERSION
            or not 0 < len(decoded.sender[0]) <= MAX_TEXT_LENGTH
            or not 0 <= decoded.sender[1] <= 2**62
            or not 0 < len(decoded.address) <= MAX_TEXT_LENGTH
            or len(decoded.buckets) > 64
            or any(not 0 <= bucket < 64 for bucket in decoded.buckets)
        ):
            raise FleetMessageError("a kind, number or list out of bounds")
        return FleetMessage(
            KINDS[decoded.kind],
            tuple(decoded.sender),
            decoded.address,
            decoded.digest,
            decoded.version,
            tuple(_decode_record(now, record) for record in decoded.records),
            tuple(decoded.marks),
            tuple(decoded.buckets),
        )

    def snapshot(self, now: float, wall: float, records: list[Record]) -> bytes:
        """`wall`: ms since 1970 by the system clock, used only to tell the age of the file."""
        body = _ENCODER.encode(_File(wall, [_encode_record(now, replace(record, opinions={})) for record in records]))
        return self._sealed(body) + zlib.crc32(body).to_bytes(4, "big") + body

    def restored(self, now: float, wall: float, data: bytes) -> tuple[list[Record], float]:
        """Returns the records and the file's age in ms. Raises FleetMessageError, also for a file from the future."""
        if (
            len(data) > MAX_SNAPSHOT_BYTES
            or len(data) < SEAL_BYTES + 4
            or (zlib.crc32(data[SEAL_BYTES + 4 :]).to_bytes(4, "big") != data[SEAL_BYTES : SEAL_BYTES + 4])
        ):
            raise FleetMessageError("cut off, changed, or no snapshot at all")
        if not hmac.compare_digest(self._sealed(data[SEAL_BYTES + 4 :]), data[:SEAL_BYTES]):
            raise FleetMessageError("of another group")
        try:
            decoded = _FILE_DECODER.decode(data[SEAL_BYTES + 4 :])
        except (msgspec.DecodeError, RecursionError) as error:
            raise FleetMessageError(f"expected a snapshot: {error}") from None
        age = wall - decoded.written_at
        if not 0 <= age <= MAX_AGE_MS:
            raise FleetMessageError("written at a time that has not come")
        return [_decode_record(now - age, record) for record in decoded.records], age
