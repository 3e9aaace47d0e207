"""Reads of an encoded `ModelInferRequest` only what routing needs, without a copy of its tensors.

A request of megabytes is walked field by field (protobuf encoding, "Message Structure"); tensors are stepped over.
"""

from __future__ import annotations

import struct
from collections.abc import Iterator
from dataclasses import dataclass, field

VARINT, FIXED64, LENGTH, FIXED32 = 0, 1, 2, 5
MODEL_NAME, MODEL_VERSION, ID, PARAMETERS = 1, 2, 3, 4
MOST_PARAMETERS, LONGEST_NAME = 64, 512

Parameter = bool | int | float | str


class MalformedRequest(ValueError):
    """No such message; the text names the place."""


@dataclass(slots=True)
class RequestFields:
    """What was read; `parameters` are those of the request, not of its tensors."""

    model: str = ""
    version: str = ""
    id: str = ""
    parameters: dict[str, Parameter] = field(default_factory=dict)


def _varint(data: bytes, at: int, end: int) -> tuple[int, int]:
    value = shift = 0
    while at < end:
        byte = data[at]
        at += 1
        value |= (byte & 0x7F) << shift
        if byte < 0x80:
            if value >> 64:
                break
            return value, at
        shift += 7
        if shift > 63:
            break
    raise MalformedRequest(f"expected a varint that ends at byte {at}")


def walk(data: bytes, at: int, end: int) -> Iterator[tuple[int, int, int, int]]:
    """(field, wire type, begin, end) of each field; for a varint `begin` is its value."""
    while at < end:
        key, at = _varint(data, at, end)
        number, kind = key >> 3, key & 7
        if kind == LENGTH:
            size, at = _varint(data, at, end)
            yield number, kind, at, at + size
            at += size
        elif kind == VARINT:
            value, at = _varint(data, at, end)
            yield number, kind, value, at
        elif kind in (FIXED64, FIXED32):
            size = 8 if kind == FIXED64 else 4
            yield number, kind, at, at + size
            at += size
        else:
            raise MalformedRequest(f"expected a field, got wire type {kind} before byte {at}")
        if number == 0 or at > end:
            raise MalformedRequest(f"a field that is cut off or has no number before byte {min(at, end)}")


def _text(data: bytes, begin: int, end: int) -> str:
    if end > len(data) or end - begin > LONGEST_NAME:
        raise MalformedRequest(f"a text of {end - begin} bytes at {begin}, {LONGEST_NAME} are allowed")
    try:
        return data[begin:end].decode()
    except UnicodeDecodeError:
        raise MalformedRequest(f"expected UTF-8 at byte {begin}") from None


def _parameter(data: bytes, begin: int, end: int) -> tuple[str, Parameter | None]:
    name = ""
    value: Parameter | None = None
    for number, kind, at, stop in walk(data, begin, end):
        if number == 1 and kind == LENGTH:
            name = _text(data, at, stop)
        elif number == 2 and kind == LENGTH:
            for choice, how, place, last in walk(data, at, stop):
                if how == VARINT and choice == 1:
                    value = bool(place)
                elif how == VARINT and choice == 2:
                    value = place - (1 << 64) if place >> 63 else place
                elif how == VARINT and choice == 5:
                    value = place
                elif how == LENGTH and choice == 3:
                    value = _text(data, place, last)
                elif how == FIXED64 and choice == 4:
                    value = struct.unpack_from("<d", data, place)[0]
    return name, value


def peek_request(data: bytes) -> RequestFields:
    """Raises MalformedRequest on what is no such message."""
    found, seen = RequestFields(), 0
    try:
        for number, kind, at, stop in walk(data, 0, len(data)):
            if kind != LENGTH:
                continue
            if number == MODEL_NAME:
                found.model = _text(data, at, stop)
            elif number == MODEL_VERSION:
                found.version = _text(data, at, stop)
            elif number == ID:
                found.id = _text(data, at, stop)
            elif number == PARAMETERS:
                seen += 1
                if seen > MOST_PARAMETERS:
                    raise MalformedRequest(f"more than {MOST_PARAMETERS} parameters")
                name, value = _parameter(data, at, stop)
                if value is not None:
                    found.parameters[name] = value
    except (IndexError, struct.error):
        raise MalformedRequest("a message that is cut off") from None
    return found


def wrap_stream_result(result: bytes) -> bytes:
    """An encoded `ModelInferResponse` as the one result of a `ModelStreamInferResponse`."""
    size, head = len(result), bytearray(b"\x12")
    while size >= 0x80:
        head.append(size & 0x7F | 0x80)
        size >>= 7
    head.append(size)
    return bytes(head) + result
