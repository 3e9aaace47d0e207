"""Encodes messages between members: msgpack, bounded, sealed with a key from the group's name and shared mark.

Bytes that are no message of this group are refused with what was expected. The seal is a keyed hash (BLAKE2b), so a
message of another group, a modified one, or one forged without the mark is refused. A replayed message is accepted and
changes nothing, since updates are merged by a join and an answer must have the number of an open request.
"""

from __future__ import annotations

import hashlib
import hmac
import math
from typing import Any

import msgspec

from sprucespool.membership.messages import KINDS, Message
from sprucespool.membership.rows import MAX_ACCUSERS, MAX_FIGURES, About, Phase, Row, State

MAX_BYTES, MAX_ROWS, MAX_NAME_CHARS, MAX_SEATS = 65_536, 512, 128, 512
MAX_TEXT_CHARS, SEAL_BYTES = 64, 16
_MAX_INTEGER = 2**62


class MessageError(ValueError):
    """The bytes are not a message of this group."""


_RowWire = tuple[str, str, int, int, int, int, str, str, int, int, str, int, bytes, list[str], int, list[float]]


class _Wire(msgspec.Struct, array_like=True):
    kind: int
    sender: _RowWire
    to_name: str
    to_start: int
    number: int
    seat: tuple[str, str]
    rows: list[_RowWire]
    marks: list[int]
    buckets: list[int]
    pass_on: list[tuple[str, str]]
    figure: float


_ENCODER, _DECODER = msgspec.msgpack.Encoder(), msgspec.msgpack.Decoder(_Wire)


def _encode_row(row: Row) -> tuple:
    about = row.about
    return (
        row.name,
        row.address,
        row.start,
        row.incarnation,
        int(row.state),
        row.version,
        about.region,
        about.zone,
        about.number,
        about.of,
        about.build,
        int(about.phase),
        row.seal,
        list(row.accusers),
        row.figures_version,
        list(row.figures),
    )


def _decode_row(encoded: tuple) -> Row:
    (
        name,
        address,
        start,
        incarnation,
        state,
        version,
        region,
        zone,
        number,
        of,
        build,
        phase,
        seal,
        accusers,
        figures_version,
        figures,
    ) = encoded
    if (
        not 0 < len(name) <= MAX_NAME_CHARS
        or not 0 < len(address) <= MAX_NAME_CHARS
        or min(start, incarnation, version, number, figures_version) < 0
        or max(start, incarnation, version, number, of, figures_version) > _MAX_INTEGER
        or of < 1
        or max(len(region), len(zone), len(build)) > MAX_TEXT_CHARS
        or len(figures) > MAX_FIGURES
        or not all(map(math.isfinite, figures))
        or len(seal) > 32
        or len(accusers) > MAX_ACCUSERS
        or any(len(accuser) > MAX_NAME_CHARS for accuser in accusers)
    ):
        raise MessageError("a name, figure or text of a row out of bounds")
    try:
        about = About(region, zone, number, of, build, Phase(phase))
        return Row(
            name,
            address,
            start,
            incarnation,
            State(state),
            version,
            about,
            seal,
            tuple(accusers),
            figures_version,
            tuple(figures),
        )
    except ValueError as error:
        raise MessageError(str(error)) from None


class Codec:
    """Encodes and decodes messages of one group; `mark` is the secret that its members share."""

    def __init__(self, group: str, mark: str):
        self.key = hashlib.blake2b(f"{group}\0{mark}".encode(), digest_size=32).digest()

    def _seal_of(self, data: bytes | memoryview) -> bytes:
        return hashlib.blake2b(data, digest_size=SEAL_BYTES, key=self.key).digest()

    def encode(self, message: Message) -> bytes:
        data = _ENCODER.encode(
            _Wire(
                KINDS.index(message.kind),
                _encode_row(message.sender),
                *message.to,
                message.number,
                message.seat,
                [_encode_row(row) for row in message.rows],
                list(message.marks),
                list(message.buckets),
                list(message.pass_on),
                message.figure,
            )
        )
        return self._seal_of(data) + data

    def decode(self, data: bytes) -> Message:
        """Raises MessageError."""
        if not SEAL_BYTES < len(data) <= MAX_BYTES:
            raise MessageError(f"expected {SEAL_BYTES + 1} to {MAX_BYTES} bytes, got {len(data)}")
        if not hmac.compare_digest(self._seal_of(data[SEAL_BYTES:]), data[:SEAL_BYTES]):
            raise MessageError("not of this group: another name or mark, or changed on the way")
        try:
            decoded: Any = _DECODER.decode(data[SEAL_BYTES:])
        except (msgspec.DecodeError, RecursionError) as error:
            raise MessageError(f"expected a message: {error}") from None
        if (
            not 0 <= decoded.kind < len(KINDS)
            or len(decoded.rows) > MAX_ROWS
            or not 0 <= decoded.number < _MAX_INTEGER
            or not 0 <= decoded.to_start <= _MAX_INTEGER
            or len(decoded.marks) > 64
            or len(decoded.buckets) > 64
            or any(not 0 <= bucket < 64 for bucket in decoded.buckets)
            or len(decoded.pass_on) > MAX_SEATS
            or not math.isfinite(decoded.figure)
            or any(max(map(len, seat)) > MAX_NAME_CHARS for seat in (decoded.seat, *decoded.pass_on))
        ):
            raise MessageError("a kind, number or list out of bounds")
        return Message(
            KINDS[decoded.kind],
            _decode_row(decoded.sender),
            (decoded.to_name, decoded.to_start),
            decoded.number,
            decoded.seat,
            tuple(map(_decode_row, decoded.rows)),
            tuple(decoded.marks),
            tuple(decoded.buckets),
            tuple(decoded.pass_on),
            decoded.figure,
        )
