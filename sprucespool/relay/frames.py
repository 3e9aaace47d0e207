"""Frames between clients and this controller; the server side.

If a client violates the protocol, its whole connection is closed, since nothing it sent can be trusted any more.
"""

from __future__ import annotations

import math
import re
from dataclasses import dataclass

from sprucespool import interface as it
from sprucespool.links import SendNotAllowed, LinkError
from sprucespool.relay.unparsed import UnparsedBytes

LENGTH_BYTES, NAME_SIZE_BYTES, VALUE_SIZE_BYTES = 4, 1, 2
MIN_FRAME_BYTES, MAX_FRAME_BYTES = 5, 262_144
MAX_OPEN_REQUESTS, MAX_BODY_BYTES = 32, 16_384
REQUEST, ANSWER, CANCEL, READINESS_QUERY, READINESS_REPLY, DRAIN = 16, 17, 18, 32, 33, 48
RETURNED, SHED, FAILED = 0, 14, 2
# Cost of the frames that one call of `receive` handles: 1 a frame, and 1 for this number of fields.
MAX_COST_PER_RECEIVE, FIELDS_PER_COST = 32, 8
# Limit for the answers buffered for a client that does not read.
MAX_UNREAD_BYTES = 1024 * 1024
MAX_NUMBER, MAX_LANES = 1e9, 1024
# A client may announce a wait this much longer than its route timeout: clients round, and count from another moment.
WAIT_TOLERANCE_MS = 50.0

_ID = re.compile(r"[0-9a-f]{16}\Z")
_ONCE_TOKEN = re.compile(r"[0-9a-f]{32}\Z")
_NUMBER = re.compile(r"[0-9]{1,12}(\.[0-9]{1,12})?\Z")


class FrameError(LinkError):
    """A frame that violates the protocol."""


class RequestError(FrameError):
    """A request with invalid fields; the message names the field and what was expected."""


@dataclass(slots=True, eq=False)
class Request:
    """An inference as requested by a client."""

    stream: int
    id: str
    group: str
    model: str
    ttl: float
    tenant: str
    once: str
    repeat: bool
    work: float | None
    memory_mb: float | None
    lanes: int | None
    load_time: float | None
    body: bytes


@dataclass(slots=True)
class Cancellation:
    stream: int


@dataclass(slots=True)
class ReadinessQuery:
    stream: int


Event = Request | Cancellation | ReadinessQuery


def decode_fields(data: bytes, at: int, end: int) -> tuple[dict[str, str], int]:
    """Decode the fields that begin at `at`; return them with the position of their end."""
    if at >= end:
        raise FrameError("expected a count of fields")
    count, at = data[at], at + 1
    fields: dict[str, str] = {}
    try:
        for _ in range(count):
            name_at = at + NAME_SIZE_BYTES
            size_at = name_at + data[at]
            value_at = size_at + VALUE_SIZE_BYTES
            at = value_at + int.from_bytes(data[size_at:value_at], "big")
            if at > end or value_at > end:
                raise FrameError("expected whole fields")
            name = data[name_at:size_at].decode()
            if name in fields:
                raise RequestError(f"expected {name[:40]!r} once")
            fields[name] = data[value_at:at].decode()
    except IndexError:
        raise FrameError("expected whole fields") from None
    except UnicodeDecodeError:
        raise FrameError("expected names and values as text") from None
    return fields, at


def encode_fields(fields: dict[str, str]) -> bytes:
    parts = [bytes((len(fields),))]
    for name, value in fields.items():
        for width, text in (NAME_SIZE_BYTES, name.encode()), (VALUE_SIZE_BYTES, value.encode()):
            parts.append(len(text).to_bytes(width, "big") + text)
    return b"".join(parts)


class RequestReader:
    """Checks requests against the model groups and tenants of the deployment."""

    def __init__(self, deployment: it.Deployment):
        self.groups = {group.name: group for group in deployment.groups}
        self.tenants = {tenant.name: tenant for tenant in deployment.tenants}

    def request(self, stream: int, fields: dict[str, str], body: bytes) -> Request:
        def text(name: str, pattern: re.Pattern, what: str) -> str:
            value = fields.get(name, "")
            if not pattern.match(value):
                raise RequestError(f"expected {name} as {what}, got {value[:40]!r}")
            return value

        group = self.groups.get(fields.get("class", ""))
        if group is None:
            raise RequestError(f"expected class as in the settings, got {fields.get('class', '')[:40]!r}")
        tenant = fields.get("tenant", "")
        if tenant not in self.tenants and (tenant or self.tenants):
            raise RequestError(f"expected tenant as in the settings, got {tenant[:40]!r}")
        once, retry = fields.get("once", ""), fields.get("retry", "")
        if group.effect is it.Effect.DEDUPED or once:
            text("once", _ONCE_TOKEN, "32 hex digits")
        if retry not in ("", "1"):
            raise RequestError(f"expected retry as 1 or absent, got {retry[:40]!r}")
        if len(body) > MAX_BODY_BYTES:
            raise RequestError(f"expected a body of at most {MAX_BODY_BYTES} bytes, got {len(body)}")
        numbers = {}
        for part in fields["attrs"].split(";") if fields.get("attrs") else ():
            name, colon, value = part.partition(":")
            if not colon or name in numbers:
                raise RequestError(f"expected attrs as NAME:NUMBER;..., got {part[:40]!r}")
            numbers[name] = _number(f"attrs {name[:40]}", value, 0.0, MAX_NUMBER)
        if "cost" in fields:
            numbers["cost"] = _number("cost", fields["cost"], 0.0, MAX_NUMBER)
        lanes = numbers.get("lanes")
        if lanes is not None and not (1 <= lanes <= MAX_LANES and lanes == int(lanes)):
            raise RequestError(f"expected attrs lanes as a whole number from 1 to {MAX_LANES}, got {lanes}")
        return Request(
            stream,
            text("id", _ID, "16 hex digits"),
            group.name,
            text("key", _ID, "16 hex digits"),
            _number("wait", fields.get("wait", ""), 1.0, group.route_timeout + WAIT_TOLERANCE_MS),
            tenant,
            once,
            retry == "1",
            numbers.get("cost"),
            numbers.get("memory_mb"),
            None if lanes is None else int(lanes),
            numbers.get("load_ms"),
            body,
        )


def _number(name: str, value: str, minimum: float, maximum: float) -> float:
    number = float(value) if _NUMBER.match(value) else math.nan
    if not minimum <= number <= maximum:
        raise RequestError(f"expected {name} as a number from {minimum:g} to {maximum:g}, got {value[:40]!r}")
    return number


def _frame(kind: int, stream: int, payload: bytes) -> bytes:
    return (5 + len(payload)).to_bytes(4, "big") + bytes((kind,)) + stream.to_bytes(4, "big") + payload


class FrameLink:
    """The server side of the connection of one client."""

    more = False

    def __init__(self, reader: RequestReader):
        self.reader = reader
        # Whether complete frames wait for the next call of `receive`.
        self.deferred = False
        self.unparsed = UnparsedBytes()
        self.open: set[int] = set()
        self.highest = self.frames = 0
        self.out = bytearray()
        # Final error frames, sent even to a client that is slow to read its answers.
        self.last = b""

    @property
    def buffered_bytes(self) -> int:
        return len(self.unparsed) + len(self.out) + len(self.last)

    @property
    def incomplete_since(self) -> float:
        return self.unparsed.incomplete_since

    @property
    def missing_bytes(self) -> int:
        return self.unparsed.missing

    def receive(self, data: memoryview | bytes, now: float) -> list[Event]:
        """Return the events of complete frames: as many as the cost allows, at least one; others are deferred.

        After an error, `outgoing` returns the final error frames, and no event of this call is returned.
        """
        read = self.unparsed.append(data)
        if read is None:
            return []
        events: list[Event] = []
        at, size, cost = 0, len(read), 0
        self.deferred = False
        while size - at >= LENGTH_BYTES:
            length = int.from_bytes(read[at : at + LENGTH_BYTES], "big")
            if not MIN_FRAME_BYTES <= length <= MAX_FRAME_BYTES:
                raise self._reject(
                    0, FrameError(f"expected a length of {MIN_FRAME_BYTES} to {MAX_FRAME_BYTES}, got {length}")
                )
            if size - at < LENGTH_BYTES + length:
                self.unparsed.need = LENGTH_BYTES + length
                break
            if cost >= MAX_COST_PER_RECEIVE:
                self.deferred = True
                break
            cost += self._frame(read, at + LENGTH_BYTES, at + LENGTH_BYTES + length, events)
            at += LENGTH_BYTES + length
        self.unparsed.keep_from(read, at, now)
        return events

    def _frame(self, read: bytes, at: int, end: int, events: list[Event]) -> int:
        """Handle one frame; return its cost."""
        kind, stream = read[at], int.from_bytes(read[at + 1 : at + 5], "big")
        self.frames += 1
        if kind == REQUEST:
            # A reused number would make answers to two requests indistinguishable.
            if stream <= self.highest:
                raise self._reject(0, FrameError(f"expected a new stream number, got {stream}"))
            self.highest = stream
            if len(self.open) >= MAX_OPEN_REQUESTS:
                raise self._reject(0, FrameError(f"expected at most {MAX_OPEN_REQUESTS} open requests"))
            try:
                fields, body = decode_fields(read, at + 5, end)
                events.append(self.reader.request(stream, fields, read[body:end]))
            except FrameError as error:
                raise self._reject(stream, error) from None
            self.open.add(stream)
            return 1 + len(fields) // FIELDS_PER_COST
        if kind == CANCEL:
            if not 0 < stream <= self.highest:
                raise self._reject(0, FrameError(f"expected the number of a request, got {stream}"))
            if stream in self.open:
                self.open.discard(stream)
                events.append(Cancellation(stream))
        elif kind == READINESS_QUERY:
            events.append(ReadinessQuery(stream))
        else:
            raise self._reject(0, FrameError(f"expected a frame that clients send, got type {kind}"))
        return 1

    def is_open(self, stream: int) -> bool:
        """Whether a request on the stream waits for its answer: neither answered nor cancelled in what was received."""
        return stream in self.open

    def _reject(self, stream: int, error: FrameError) -> FrameError:
        self.fail_open_requests(stream)
        return error

    def fail_open_requests(self, stream: int = 0) -> None:
        """Report an error and fail all open requests, as the connection is about to end.

        Every accepted request must get an answer. On stream 0 the error belongs to no request.
        """
        failed = [stream, *sorted(self.open - {stream})]
        self.last = b"".join(_frame(ANSWER, each, bytes((FAILED, 0))) for each in failed)
        self.open.clear()

    def _write(self, kind: int, stream: int, payload: bytes):
        self.out += _frame(kind, stream, payload)

    def _answer(self, stream: int, payload: bytes):
        if stream not in self.open:
            raise SendNotAllowed(f"no request is open on stream {stream}")
        self.open.discard(stream)
        self._write(ANSWER, stream, payload)

    def returned(self, stream: int, body: bytes) -> None:
        self._answer(stream, bytes((RETURNED, 0)) + body)

    def shed(self, stream: int, retry_after: float) -> None:
        wait = {"after": str(math.ceil(retry_after))} if retry_after > 0 else {}
        self._answer(stream, bytes((SHED,)) + encode_fields(wait))

    def failed(self, stream: int) -> None:
        self._answer(stream, bytes((FAILED, 0)))

    def readiness(self, stream: int, ready: bool) -> None:
        self._write(READINESS_REPLY, stream, bytes((0 if ready else SHED, 0)))

    def announce_drain(self) -> None:
        """Ask the client to send no new requests on this connection."""
        self._write(DRAIN, 0, encode_fields({}))

    def outgoing(self, data_too: bool = True) -> tuple[bytes, list[Event]]:
        last, self.last = self.last, b""
        if not data_too and len(self.out) <= MAX_UNREAD_BYTES:
            return last, []
        out, self.out = self.out, bytearray()
        return bytes(out) + last, []

    def forget(self) -> None:
        self.unparsed, self.out = UnparsedBytes(), bytearray()
        self.deferred = False
        self.open.clear()
