"""Messages between members as bytes: msgpack, bounded, sealed with the group's name and shared mark.

What is no message of this group is refused with what was expected. The seal is a keyed hash (BLAKE2b), so that a
message of another group, a changed one, or one made up by who does not know the mark never gets in; an old one sent
again does, and changes nothing, since news is joined and answers must have the number of an open question.
"""

from __future__ import annotations

import hashlib
import hmac
import math
from typing import Any

import msgspec

from sprucespool.membership.messages import KINDS, Message
from sprucespool.membership.rows import MAX_ACCUSERS, MAX_FIGURES, About, Phase, Row, State

MAX_BYTES, MAX_ROWS, LONGEST_NAME, MOST_SEATS = 65_536, 512, 128, 512
LONGEST_TEXT, SEAL = 64, 16
_LARGEST = 2**62


class MessageError(ValueError):
    """Bytes that are no message of this group."""


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


def _row_out(row: Row) -> tuple:
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


def _row_in(told: tuple) -> Row:
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
    ) = told
    if (
        not 0 < len(name) <= LONGEST_NAME
        or not 0 < len(address) <= LONGEST_NAME
        or min(start, incarnation, version, number, figures_version) < 0
        or max(start, incarnation, version, number, of, figures_version) > _LARGEST
        or of < 1
        or max(len(region), len(zone), len(build)) > LONGEST_TEXT
        or len(figures) > MAX_FIGURES
        or not all(map(math.isfinite, figures))
        or len(seal) > 32
        or len(accusers) > MAX_ACCUSERS
        or any(len(accuser) > LONGEST_NAME for accuser in accusers)
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
    except ValueError as problem:
        raise MessageError(str(problem)) from None


class Codec:
    """Of one group; `mark` is what its members share and others do not know."""

    def __init__(self, group: str, mark: str):
        self.key = hashlib.blake2b(f"{group}\0{mark}".encode(), digest_size=32).digest()

    def _sealed(self, data: bytes | memoryview) -> bytes:
        return hashlib.blake2b(data, digest_size=SEAL, key=self.key).digest()

    def encode(self, message: Message) -> bytes:
        data = _ENCODER.encode(
            _Wire(
                KINDS.index(message.kind),
                _row_out(message.sender),
                *message.to,
                message.number,
                message.seat,
                [_row_out(row) for row in message.rows],
                list(message.marks),
                list(message.buckets),
                list(message.pass_on),
                message.figure,
            )
        )
        return self._sealed(data) + data

    def decode(self, data: bytes) -> Message:
        """Raises MessageError."""
        if not SEAL < len(data) <= MAX_BYTES:
            raise MessageError(f"expected {SEAL + 1} to {MAX_BYTES} bytes, got {len(data)}")
        if not hmac.compare_digest(self._sealed(data[SEAL:]), data[:SEAL]):
            raise MessageError("not of this group: another name or mark, or changed on the way")
        try:
            found: Any = _DECODER.decode(data[SEAL:])
        except (msgspec.DecodeError, RecursionError) as problem:
            raise MessageError(f"expected a message: {problem}") from None
        if (
            not 0 <= found.kind < len(KINDS)
            or len(found.rows) > MAX_ROWS
            or not 0 <= found.number < _LARGEST
            or not 0 <= found.to_start <= _LARGEST
            or len(found.marks) > 64
            or len(found.buckets) > 64
            or any(not 0 <= bucket < 64 for bucket in found.buckets)
            or len(found.pass_on) > MOST_SEATS
            or not math.isfinite(found.figure)
            or any(max(map(len, seat)) > LONGEST_NAME for seat in (found.seat, *found.pass_on))
        ):
            raise MessageError("a kind, number or list out of bounds")
        return Message(
            KINDS[found.kind],
            _row_in(found.sender),
            (found.to_name, found.to_start),
            found.number,
            found.seat,
            tuple(map(_row_in, found.rows)),
            tuple(found.marks),
            tuple(found.buckets),
            tuple(found.pass_on),
            found.figure,
        )
