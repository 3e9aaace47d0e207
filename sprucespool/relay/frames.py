"""Frames between clients and this controller; the serving end.

A client that sends what no client may send is cut off with its whole connection: nothing of it can be trusted then.
"""

from __future__ import annotations

import math
import re
from dataclasses import dataclass

from sprucespool import interface as it
from sprucespool.links import SendNotAllowed, LinkError
from sprucespool.relay.rest import Rest

HEAD, NAME_SIZE, VALUE_SIZE = 4, 1, 2
SMALLEST, LARGEST = 5, 262_144
MOST_OPEN, LARGEST_BODY = 32, 16_384
ASKED, ANSWER, TAKEN_BACK, READY, READINESS, NO_MORE = 16, 17, 18, 32, 33, 48
RETURNED, SHED, FAILED = 0, 14, 2
# Bytes of answers that wait for a client that reads nothing.
MOST_UNREAD = 1024 * 1024
LARGEST_FIGURE, LARGEST_LANES = 1e9, 1024
# How much longer than its route timeout a client may say to wait: clients round, and count from another moment.
WAIT_SLACK = 50.0

_ID = re.compile(r"[0-9a-f]{16}\Z")
_ONCE = re.compile(r"[0-9a-f]{32}\Z")
_FIGURE = re.compile(r"[0-9]{1,12}(\.[0-9]{1,12})?\Z")


class FrameError(LinkError):
    """A frame that no client may send."""


class RequestError(FrameError):
    """A request whose fields can't be used; the text names the field and what was expected."""


@dataclass(slots=True, eq=False)
class Request:
    """An inference as a client asks for it."""

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
class TakenBack:
    stream: int


@dataclass(slots=True)
class ReadyAsked:
    stream: int


Event = Request | TakenBack | ReadyAsked


def fields_of(data: bytes, at: int, end: int) -> tuple[dict[str, str], int]:
    """The fields that begin at `at`, and where they end."""
    if at >= end:
        raise FrameError("expected a count of fields")
    count, at = data[at], at + 1
    found: dict[str, str] = {}
    for _ in range(count):
        pair = []
        for width in NAME_SIZE, VALUE_SIZE:
            stop = at + width + int.from_bytes(data[at : at + width], "big")
            if at + width > end or stop > end:
                raise FrameError("expected whole fields")
            try:
                pair.append(data[at + width : stop].decode())
            except UnicodeDecodeError:
                raise FrameError("expected names and values as text") from None
            at = stop
        if pair[0] in found:
            raise RequestError(f"expected {pair[0][:40]!r} once")
        found[pair[0]] = pair[1]
    return found, at


def written(fields: dict[str, str]) -> bytes:
    parts = [bytes((len(fields),))]
    for name, value in fields.items():
        for width, text in (NAME_SIZE, name.encode()), (VALUE_SIZE, value.encode()):
            parts.append(len(text).to_bytes(width, "big") + text)
    return b"".join(parts)


class Terms:
    """What a request may name here."""

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
            text("once", _ONCE, "32 hex digits")
        if retry not in ("", "1"):
            raise RequestError(f"expected retry as 1 or absent, got {retry[:40]!r}")
        if len(body) > LARGEST_BODY:
            raise RequestError(f"expected a body of at most {LARGEST_BODY} bytes, got {len(body)}")
        figures = {}
        for part in fields["attrs"].split(";") if fields.get("attrs") else ():
            name, colon, value = part.partition(":")
            if not colon or name in figures:
                raise RequestError(f"expected attrs as NAME:FIGURE;..., got {part[:40]!r}")
            figures[name] = _figure(f"attrs {name[:40]}", value, 0.0, LARGEST_FIGURE)
        if "cost" in fields:
            figures["cost"] = _figure("cost", fields["cost"], 0.0, LARGEST_FIGURE)
        lanes = figures.get("lanes")
        if lanes is not None and not (1 <= lanes <= LARGEST_LANES and lanes == int(lanes)):
            raise RequestError(f"expected attrs lanes as a whole number from 1 to {LARGEST_LANES}, got {lanes}")
        return Request(
            stream,
            text("id", _ID, "16 hex digits"),
            group.name,
            text("key", _ID, "16 hex digits"),
            _figure("wait", fields.get("wait", ""), 1.0, group.route_timeout + WAIT_SLACK),
            tenant,
            once,
            retry == "1",
            figures.get("cost"),
            figures.get("memory_mb"),
            None if lanes is None else int(lanes),
            figures.get("load_ms"),
            body,
        )


def _figure(name: str, value: str, least: float, most: float) -> float:
    figure = float(value) if _FIGURE.match(value) else math.nan
    if not least <= figure <= most:
        raise RequestError(f"expected {name} as a number from {least:g} to {most:g}, got {value[:40]!r}")
    return figure


def _frame(kind: int, stream: int, payload: bytes) -> bytes:
    return (5 + len(payload)).to_bytes(4, "big") + bytes((kind,)) + stream.to_bytes(4, "big") + payload


class FrontLink:
    """The serving end of one client's connection."""

    more = False

    def __init__(self, terms: Terms):
        self.terms = terms
        self.rest = Rest()
        self.open: set[int] = set()
        self.highest = self.frames = 0
        self.out: list[bytes] = []
        # Errors before the end: said even to a client that is slow to read its answers.
        self.last = b""
        self.unread = 0

    def receive(self, data: memoryview | bytes, now: float) -> list[Event]:
        """All that came whole. After an error `outgoing` has the last words; nothing of this reading counts."""
        read = self.rest.take(data)
        if read is None:
            return []
        events: list[Event] = []
        at, size = 0, len(read)
        while size - at >= HEAD:
            length = int.from_bytes(read[at : at + HEAD], "big")
            if not SMALLEST <= length <= LARGEST:
                raise self._bad(0, FrameError(f"expected a length of {SMALLEST} to {LARGEST}, got {length}"))
            if size - at < HEAD + length:
                self.rest.need = HEAD + length
                break
            self._frame(read, at + HEAD, at + HEAD + length, events)
            at += HEAD + length
        self.rest.keep(read, at, now)
        return events

    def _frame(self, read: bytes, at: int, end: int, events: list[Event]):
        kind, stream = read[at], int.from_bytes(read[at + 1 : at + 5], "big")
        self.frames += 1
        if kind == ASKED:
            # Against answers under one number that belong to two requests.
            if stream <= self.highest:
                raise self._bad(0, FrameError(f"expected a new stream number, got {stream}"))
            self.highest = stream
            if len(self.open) >= MOST_OPEN:
                raise self._bad(0, FrameError(f"expected at most {MOST_OPEN} open requests"))
            try:
                fields, body = fields_of(read, at + 5, end)
                events.append(self.terms.request(stream, fields, read[body:end]))
            except FrameError as problem:
                raise self._bad(stream, problem) from None
            self.open.add(stream)
        elif kind == TAKEN_BACK:
            if not 0 < stream <= self.highest:
                raise self._bad(0, FrameError(f"expected the number of a request, got {stream}"))
            if stream in self.open:
                self.open.discard(stream)
                events.append(TakenBack(stream))
        elif kind == READY:
            events.append(ReadyAsked(stream))
        else:
            raise self._bad(0, FrameError(f"expected a frame that clients send, got type {kind}"))

    def _bad(self, stream: int, problem: FrameError) -> FrameError:
        self.last_word(stream)
        return problem

    def last_word(self, stream: int = 0) -> None:
        """Tell of an error (on stream 0 it belongs to no request), and fail what is open: the connection is about to
        end, and whatever was taken is owed an answer."""
        failed = [stream, *sorted(self.open - {stream})]
        self.last = b"".join(_frame(ANSWER, each, bytes((FAILED, 0))) for each in failed)
        self.open.clear()

    def _write(self, kind: int, stream: int, payload: bytes):
        frame = _frame(kind, stream, payload)
        self.unread += len(frame)
        self.out.append(frame)

    def _answer(self, stream: int, payload: bytes):
        if stream not in self.open:
            raise SendNotAllowed(f"no request is open on stream {stream}")
        self.open.discard(stream)
        self._write(ANSWER, stream, payload)

    def returned(self, stream: int, body: bytes) -> None:
        self._answer(stream, bytes((RETURNED, 0)) + body)

    def shed(self, stream: int, retry_after: float) -> None:
        wait = {"after": str(math.ceil(retry_after))} if retry_after > 0 else {}
        self._answer(stream, bytes((SHED,)) + written(wait))

    def failed(self, stream: int) -> None:
        self._answer(stream, bytes((FAILED, 0)))

    def readiness(self, stream: int, ready: bool) -> None:
        self._write(READINESS, stream, bytes((0 if ready else SHED, 0)))

    def no_more(self) -> None:
        """No new request on this connection."""
        self._write(NO_MORE, 0, written({}))

    def outgoing(self, data_too: bool = True) -> tuple[bytes, list[Event]]:
        last, self.last = self.last, b""
        if not data_too and self.unread <= MOST_UNREAD:
            return last, []
        out, self.out, self.unread = b"".join(self.out), [], 0
        return out + last, []

    def forget(self) -> None:
        self.rest, self.out = Rest(), []
        self.open.clear()
