"""Pages of claims as bytes, on the wire and in snapshot files alike.

    magic "SPKN" | version u8 | least reader u8 | length u32 | crc32 u32 | msgpack [written_at, [row ...]]

A reader takes any version whose `least reader` it is at least: later versions append fields, which are passed over.
Everything is bounded before it is decoded, and a page is whole or refused.
"""

from __future__ import annotations

import math
import struct
import zlib

import msgspec

from sprucespool.learning.knowledge import Row

MAGIC, VERSION, LEAST_READER = b"SPKN", 1, 1
HEAD = struct.Struct(">4sBBII")
MAX_BYTES, MOST_ROWS, LONGEST_NAME, LONGEST_AGE = 4 * 2**20, 50_000, 512, 3.2e10


class CodecError(ValueError):
    """Bytes that are no page; the text says what was expected."""


class _Body(msgspec.Struct, array_like=True):
    # Wall clock, ms since 1970: only for files, which have no asker to count from. 0 where it is not told.
    written_at: float
    rows: list[Row]


_ENCODER, _DECODER = msgspec.msgpack.Encoder(), msgspec.msgpack.Decoder(_Body)


def encode(rows: list[Row], written_at: float = 0.0) -> bytes:
    """Raises CodecError if there are more rows or bytes than any reader takes."""
    if len(rows) > MOST_ROWS:
        raise CodecError(f"{len(rows)} rows, {MOST_ROWS} are allowed")
    body = _ENCODER.encode(_Body(written_at, rows))
    if len(body) > MAX_BYTES:
        raise CodecError(f"{len(body)} bytes, {MAX_BYTES} are allowed")
    return HEAD.pack(MAGIC, VERSION, LEAST_READER, len(body), zlib.crc32(body)) + body


def decode(data: bytes) -> tuple[list[Row], float]:
    """(rows, wall clock of writing). Raises CodecError."""
    if len(data) < HEAD.size:
        raise CodecError(f"expected a head of {HEAD.size} bytes, got {len(data)} bytes in all")
    magic, version, least, length, crc = HEAD.unpack_from(data)
    if magic != MAGIC:
        raise CodecError(f"expected {MAGIC!r} at the begin, got {magic!r}")
    if least > VERSION:
        raise CodecError(f"written by version {version} for readers from {least} on, this one is {VERSION}")
    if length > MAX_BYTES or len(data) != HEAD.size + length:
        raise CodecError(f"expected {length} bytes of body (at most {MAX_BYTES}), got {len(data) - HEAD.size}")
    body = data[HEAD.size :]
    if zlib.crc32(body) != crc:
        raise CodecError("the checksum does not fit the body")
    try:
        found = _DECODER.decode(body)
    except (msgspec.DecodeError, RecursionError) as problem:
        raise CodecError(f"expected rows: {problem}") from None
    if len(found.rows) > MOST_ROWS:
        raise CodecError(f"{len(found.rows)} rows, {MOST_ROWS} are allowed")
    for number, row in enumerate(found.rows):
        if not (
            math.isfinite(row.age)
            and 0 <= row.age <= LONGEST_AGE
            and 0 < row.copies <= 1000
            and 0 < row.lanes <= 100_000
            and 0 <= row.hops <= 100
            and max(len(row.invoker), len(row.boot), len(row.model)) <= LONGEST_NAME
        ):
            raise CodecError(f"row {number}: a figure or name out of bounds")
    if not math.isfinite(found.written_at):
        raise CodecError("expected a time of writing")
    return found.rows, found.written_at
