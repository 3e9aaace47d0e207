"""Lines between this controller and an invoker; the client side.

Input that was not requested is not trusted: answers with unknown ids are skipped, unparsable input closes the
connection, and memory for an announced length is never allocated before the bytes have arrived.
"""

from __future__ import annotations

import math
import re
from collections.abc import Callable
from dataclasses import dataclass, field

from sprucespool import interface as it
from sprucespool.links import SendNotAllowed, LinkError
from sprucespool.relay.unparsed import UnparsedBytes

MAX_LINE_BYTES, MAX_BODY_BYTES = 4096, 262_144
LINE_END = b"\r\n"
# How long a tag is remembered after its use: an answer to a request that has ended may still arrive.
TAG_LIFE_MS = 10_000.0
_WORD = re.compile(rb"[!-~]{1,512}\Z")
_LENGTH = re.compile(rb"[0-9]{1,7}\Z")
_WHOLE_NUMBER = re.compile(r"[0-9]{1,9}\Z")

RUN, ORDER, PROBE = "run", "order", "probe"
OUTCOMES = {
    RUN: {
        b"HIT": it.Outcome.RETURNED,
        b"NONE": it.Outcome.MISS,
        b"SHED": it.Outcome.FULL,
        b"FAULT": it.Outcome.ERROR,
        b"LATE": it.Outcome.NOT_SENT,
    },
    ORDER: {b"HIT": it.Outcome.RETURNED, b"SHED": it.Outcome.FULL, b"FAULT": it.Outcome.ERROR},
    PROBE: {b"PONG": it.Outcome.RETURNED, b"SICK": it.Outcome.ERROR},
}
RESULT_WORDS = {word for words in OUTCOMES.values() for word in words}
FOUND = {"resident": it.Found.WARM, "booted": it.Found.BEGAN_LOAD, "rode": it.Found.AWAITED_LOAD}
LOAD_FAILED = "boot_error"


class LineError(LinkError):
    """Input from an invoker that can't be parsed."""


@dataclass(slots=True, eq=False)
class Answer:
    """The result of a run, an order or a probe, with the tag of its request."""

    tag: str
    outcome: it.Outcome
    found: it.Found = it.Found.UNTOLD
    load_failed: bool = False
    same_model: int = 0
    loaded_copies: int = 0
    report: dict[str, float] = field(default_factory=dict)
    body: bytes = b""


def _whole_number(name: str, value: str) -> int:
    if not _WHOLE_NUMBER.match(value):
        raise LineError(f"expected {name} as a whole number, got {value[:40]!r}")
    return int(value)


def _report(value: str) -> dict[str, float]:
    values = {}
    for part in value.split(";") if value else ():
        name, colon, number = part.partition(":")
        try:
            values[name] = float(number)
        except ValueError:
            values[name] = math.nan
        if not colon or not math.isfinite(values[name]):
            raise LineError(f"expected meter as NAME:NUMBER;..., got {part[:40]!r}")
    return values


@dataclass(slots=True, frozen=True)
class _Line:
    """A line that waits to be written.

    `deadline` is that of a run; the line contains the time remaining until then when it is written. After `write_by`
    the line is not written at all.
    """

    before: bytes
    after: bytes = b""
    deadline: float | None = None
    write_by: float = math.inf

    def written(self, now: float) -> bytes | None:
        """Return the line as bytes; None if its deadline or its `write_by` has passed."""
        if now > self.write_by:
            return None
        if self.deadline is None:
            return self.before
        left = self.deadline - now
        if left <= 0:
            return None
        return b"%b%d%b" % (self.before, max(1, int(left)), self.after)


class InvokerLink:
    """The client side of one connection to an invoker. `clock` returns the time (ms) at the moment of writing."""

    deferred = False

    def __init__(self, clock: Callable[[], float]) -> None:
        self.clock = clock
        self.unparsed = UnparsedBytes()
        self.open: dict[str, str] = {}
        # Tags used on this connection in the last TAG_LIFE_MS, with their times, the oldest first: a late or duplicate
        # answer must not end a later run with the same id.
        self.used_tags: dict[str, float] = {}
        self.unsent: dict[str, _Line] = {}
        # Tag of the line that was returned last; the socket may have written only a part of it.
        self.last_written = ""
        self.one_way_lines: list[bytes] = []
        self.skipped = 0
        # Why parsing stopped after valid answers were read; only the text, as an error keeps all that was read.
        self.read_error = ""

    @property
    def buffered_bytes(self) -> int:
        """Bytes of an incomplete answer. Lines that wait belong to requests, which are counted where they are kept."""
        return len(self.unparsed)

    @property
    def incomplete_since(self) -> float:
        return self.unparsed.incomplete_since

    @property
    def missing_bytes(self) -> int:
        return self.unparsed.missing

    # Output

    @property
    def more(self) -> bool:
        return bool(self.unsent or self.one_way_lines)

    def _ask(self, kind: str, tag: str, line: _Line):
        if tag in self.used_tags:
            raise SendNotAllowed(f"{tag} was already used on this connection")
        now = self.clock()
        self._forget_old_tags(now)
        self.open[tag], self.used_tags[tag], self.unsent[tag] = kind, now, line

    def _forget_old_tags(self, now: float):
        while self.used_tags:
            oldest = next(iter(self.used_tags))
            if oldest in self.open or now - self.used_tags[oldest] < TAG_LIFE_MS:
                return
            del self.used_tags[oldest]

    def run(
        self,
        tag: str,
        group: str,
        model: str,
        deadline: float,
        once: str,
        body: bytes,
        write_by: float = math.inf,
    ) -> None:
        """Request a run; `deadline` and `write_by` are times of the clock of this link."""
        before = f"exec {tag} cls={group},item={model},limit="
        nonce = f",nonce={once}" if once else ""
        after = b"%b %d\r\n%b\r\n" % (nonce.encode(), len(body), body)
        self._ask(RUN, tag, _Line(before.encode(), after, deadline, write_by))

    def order(self, tag: str, model: str, copies: int, write_by: float = math.inf) -> None:
        self._ask(ORDER, tag, _Line(f"ensure {tag} item={model},n={copies}\r\n".encode(), write_by=write_by))

    def probe(self, tag: str, load: bool) -> None:
        self._ask(PROBE, tag, _Line(f"{'load' if load else 'health'} {tag}\r\n".encode()))

    def unload(self, model: str) -> None:
        self.one_way_lines.append(f"release {model}\r\n".encode())

    def give_up(self, tag: str) -> bool:
        """Abandon a request. False if it was not handed to the socket yet: then it is never sent."""
        kind = self.open.pop(tag, None)
        if kind is None:
            return True
        if self.unsent.pop(tag, None) is not None:
            return False
        if kind == RUN:
            self.one_way_lines.append(f"drop {tag}\r\n".encode())
        return True

    def was_sent(self, tag: str) -> bool:
        """Whether the line was handed to the socket; if not, the request has certainly not run."""
        return tag not in self.unsent

    def outgoing(self, data_too: bool = True) -> tuple[bytes, list[Answer]]:
        """Return one line, so that all others can still be withdrawn, and the requests that expired before that."""
        if not data_too:
            return b"", []
        if self.one_way_lines:
            lines, self.one_way_lines = b"".join(self.one_way_lines), []
            return lines, []
        expired: list[Answer] = []
        now = self.clock()
        while self.unsent:
            tag = next(iter(self.unsent))
            line = self.unsent.pop(tag).written(now)
            if line is not None:
                self.last_written = tag
                return line, expired
            del self.open[tag]
            expired.append(Answer(tag, it.Outcome.NOT_SENT))
        return b"", expired

    def forget(self) -> None:
        self.unparsed = UnparsedBytes()
        self.open.clear()
        self.unsent.clear()

    # Input

    def receive(self, data: memoryview | bytes, now: float) -> list[Answer]:
        read = self.unparsed.append(data)
        if read is None:
            return []
        answers: list[Answer] = []
        at = 0
        try:
            while at < len(read):
                found = self._answer(read, at)
                if found is None:
                    break
                answer, at = found
                if answer is not None:
                    answers.append(answer)
        except LineError as error:
            # Answers read before the invalid input are valid: they must not count as interrupted.
            if not answers:
                raise
            self.read_error = str(error)
        self.unparsed.keep_from(read, at, now)
        return answers

    def _answer(self, read: bytes, at: int) -> tuple[Answer | None, int] | None:
        """Return (answer, its end); the answer is None if it was not requested. None if the answer is incomplete."""
        line_end = read.find(LINE_END, at, at + MAX_LINE_BYTES)
        if line_end < 0:
            if len(read) - at >= MAX_LINE_BYTES:
                raise LineError(f"expected a line of at most {MAX_LINE_BYTES} bytes")
            return None
        parts = read[at:line_end].split(b" ")
        if len(parts) != 4 or parts[1] not in RESULT_WORDS or not _WORD.match(parts[0]) or not _LENGTH.match(parts[3]):
            raise LineError(f"expected ID WORD FIELDS LENGTH, got {read[at : min(line_end, at + 80)]!r}")
        length = int(parts[3])
        if length > MAX_BODY_BYTES:
            raise LineError(f"expected a body of at most {MAX_BODY_BYTES} bytes, got {length}")
        body_start = line_end + len(LINE_END)
        body_end = body_start + length
        if len(read) < body_end + len(LINE_END):
            self.unparsed.need = body_end + len(LINE_END) - at
            if len(read) > body_end and read[body_end : body_end + 1] != LINE_END[:1]:
                raise LineError("expected a line's end after the body")
            return None
        if read[body_end : body_end + len(LINE_END)] != LINE_END:
            raise LineError("expected a line's end after the body")
        tag = parts[0].decode()
        # Nobody can answer a request that was not handed to the socket: such an answer belongs to another.
        kind = self.open.get(tag) if self.was_sent(tag) else None
        fields = self._fields(parts[2])
        if kind is None:
            self.skipped += 1
            return None, body_end + len(LINE_END)
        outcome = OUTCOMES[kind].get(parts[1])
        if outcome is None:
            raise LineError(f"expected the end of {kind}, got {parts[1]!r}")
        load_report = fields.get("tell", "")
        answer = Answer(
            tag,
            outcome,
            FOUND.get(load_report, it.Found.UNTOLD) if outcome is it.Outcome.RETURNED else it.Found.UNTOLD,
            load_report == LOAD_FAILED,
            _whole_number("same", fields.get("same", "0")),
            _whole_number("n", fields.get("n", "0")),
            _report(fields.get("meter", "")),
            read[body_start:body_end],
        )
        del self.open[tag]
        return answer, body_end + len(LINE_END)

    def _fields(self, data: bytes) -> dict[str, str]:
        if data == b"-":
            return {}
        found = {}
        try:
            for part in data.decode("ascii").split(","):
                name, equals, value = part.partition("=")
                if not name or not equals:
                    raise LineError(f"expected fields as name=value,..., got {part[:40]!r}")
                found[name] = value
        except UnicodeDecodeError:
            raise LineError("expected fields as text") from None
        return found
