"""Binary format of pages of claims, both on the wire and in snapshot files.

    magic "SPKN" | version u8 | min reader u8 | length u32 | crc32 u32 | msgpack [written_at, [row ...]]

A reader accepts any page whose `min reader` version is not above its own: later versions append fields, which are
ignored. All sizes are checked before decoding, and a page is decoded completely or rejected.
"""

from __future__ import annotations

import math
import struct
import zlib

import msgspec

from sprucespool.learning.knowledge import Row

MAGIC, VERSION, MIN_READER = b"SPKN", 1, 1
HEADER = struct.Struct(">4sBBII")
MAX_BYTES, MAX_ROWS, MAX_NAME_LENGTH, MAX_AGE_MS = 4 * 2**20, 50_000, 512, 3.2e10


class CodecError(ValueError):
    """The bytes are not a valid page; the text says what was expected."""


class _Body(msgspec.Struct, array_like=True):
    # Wall clock, ms since 1970; 0 if not set. Only for files, because no request gives the time to count ages from.
    written_at: float
    rows: list[Row]


_ENCODER, _DECODER = msgspec.msgpack.Encoder(), msgspec.msgpack.Decoder(_Body)


def encode(rows: list[Row], written_at: float = 0.0) -> bytes:
    """Raises CodecError if there are more rows or bytes than readers accept."""
    if len(rows) > MAX_ROWS:
        raise CodecError(f"{len(rows)} rows, {MAX_ROWS} are allowed")
    body = _ENCODER.encode(_Body(written_at, rows))
    if len(body) > MAX_BYTES:
        raise CodecError(f"{len(body)} bytes, {MAX_BYTES} are allowed")
    return HEADER.pack(MAGIC, VERSION, MIN_READER, len(body), zlib.crc32(body)) + body


def decode(data: bytes) -> tuple[list[Row], float]:
    """Returns (rows, wall clock of writing). Raises CodecError."""
    if len(data) < HEADER.size:
        raise CodecError(f"expected a header of {HEADER.size} bytes, got {len(data)} bytes in total")
    magic, version, min_reader, length, crc = HEADER.unpack_from(data)
    if magic != MAGIC:
        raise CodecError(f"expected {MAGIC!r} at the start, got {magic!r}")
    if min_reader > VERSION:
        raise CodecError(f"written by version {version} for readers from {min_reader} on, this reader is {VERSION}")
    if length > MAX_BYTES or len(data) != HEADER.size + length:
        raise CodecError(f"expected a body of {length} bytes (at most {MAX_BYTES}), got {len(data) - HEADER.size}")
    body = data[HEADER.size :]
    if zlib.crc32(body) != crc:
        raise CodecError("the checksum does not match the body")
    try:
        decoded = _DECODER.decode(body)
    except (msgspec.DecodeError, RecursionError) as error:
        raise CodecError(f"expected rows: {error}") from None
    if len(decoded.rows) > MAX_ROWS:
        raise CodecError(f"{len(decoded.rows)} rows, {MAX_ROWS} are allowed")
    for number, row in enumerate(decoded.rows):
        if not (
            math.isfinite(row.age)
            and 0 <= row.age <= MAX_AGE_MS
            and 0 < row.copies <= 1000
            and 0 < row.lanes <= 100_000
            and 0 <= row.hops <= 100
            and max(len(row.invoker), len(row.boot), len(row.model)) <= MAX_NAME_LENGTH
        ):
            raise CodecError(f"row {number}: a value or name is out of bounds")
    if not math.isfinite(decoded.written_at):
        raise CodecError("expected a finite time of writing")
    return decoded.rows, decoded.written_at
