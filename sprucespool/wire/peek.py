"""Decodes only the fields of an encoded `ModelInferRequest` that routing needs, without copying its tensors.

A request of megabytes is scanned field by field (protobuf encoding, "Message Structure"), and tensors are skipped.
"""

from __future__ import annotations

import struct
from collections.abc import Iterator
from dataclasses import dataclass, field

VARINT, FIXED64, LENGTH, FIXED32 = 0, 1, 2, 5
MODEL_NAME, MODEL_VERSION, ID, PARAMETERS = 1, 2, 3, 4
MAX_PARAMETERS, MAX_TEXT_BYTES = 64, 512

Parameter = bool | int | float | str


class MalformedRequest(ValueError):
    """The bytes are not a valid request; the text names the position."""


@dataclass(slots=True)
class RequestFields:
    """The decoded fields; `parameters` are those of the request, not of its tensors."""

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


def scan_fields(data: bytes, at: int, end: int) -> Iterator[tuple[int, int, int, int]]:
    """Yields (field number, wire type, begin, end) of each field; for a varint, `begin` is its value."""
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
    if end > len(data) or end - begin > MAX_TEXT_BYTES:
        raise MalformedRequest(f"a text of {end - begin} bytes at {begin}, {MAX_TEXT_BYTES} are allowed")
    try:
        return data[begin:end].decode()
    except UnicodeDecodeError:
        raise MalformedRequest(f"expected UTF-8 at byte {begin}") from None


def _parameter(data: bytes, begin: int, end: int) -> tuple[str, Parameter | None]:
    name = ""
    value: Parameter | None = None
    for number, kind, at, stop in scan_fields(data, begin, end):
        if number == 1 and kind == LENGTH:
            name = _text(data, at, stop)
        elif number == 2 and kind == LENGTH:
            for choice, choice_kind, choice_at, choice_stop in scan_fields(data, at, stop):
                if choice_kind == VARINT and choice == 1:
                    value = bool(choice_at)
                elif choice_kind == VARINT and choice == 2:
                    value = choice_at - (1 << 64) if choice_at >> 63 else choice_at
                elif choice_kind == VARINT and choice == 5:
                    value = choice_at
                elif choice_kind == LENGTH and choice == 3:
                    value = _text(data, choice_at, choice_stop)
                elif choice_kind == FIXED64 and choice == 4:
                    value = struct.unpack_from("<d", data, choice_at)[0]
    return name, value


def peek_request(data: bytes) -> RequestFields:
    """Decodes the fields for routing. Raises MalformedRequest if `data` is not a valid request."""
    fields, parameter_count = RequestFields(), 0
    try:
        for number, kind, at, stop in scan_fields(data, 0, len(data)):
            if kind != LENGTH:
                continue
            if number == MODEL_NAME:
                fields.model = _text(data, at, stop)
            elif number == MODEL_VERSION:
                fields.version = _text(data, at, stop)
            elif number == ID:
                fields.id = _text(data, at, stop)
            elif number == PARAMETERS:
                parameter_count += 1
                if parameter_count > MAX_PARAMETERS:
                    raise MalformedRequest(f"more than {MAX_PARAMETERS} parameters")
                name, value = _parameter(data, at, stop)
                if value is not None:
                    fields.parameters[name] = value
    except (IndexError, struct.error):
        raise MalformedRequest("a message that is cut off") from None
    return fields


def wrap_stream_result(result: bytes) -> bytes:
    """Wraps an encoded `ModelInferResponse` as the result of a `ModelStreamInferResponse`."""
    size, header = len(result), bytearray(b"\x12")
    while size >= 0x80:
        header.append(size & 0x7F | 0x80)
        size >>= 7
    header.append(size)
    return bytes(header) + result
