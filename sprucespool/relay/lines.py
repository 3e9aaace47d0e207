"""Lines between this controller and an invoker; the asking end.

Nothing is trusted that was not asked for: answers under unknown ids are skipped, what can't be read ends the
connection, and a length told is never allocated before its bytes came.
"""

from __future__ import annotations

import math
import re
from collections.abc import Callable
from dataclasses import dataclass, field

from sprucespool import interface as it
from sprucespool.links import SendNotAllowed, LinkError
from sprucespool.relay.rest import Rest

LONGEST_LINE, LARGEST_BODY = 4096, 262_144
END = b"\r\n"
_WORD = re.compile(rb"[!-~]{1,512}\Z")
_LENGTH = re.compile(rb"[0-9]{1,7}\Z")
_WHOLE = re.compile(r"[0-9]{1,9}\Z")

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
WORDS = {word for words in OUTCOMES.values() for word in words}
FOUND = {"resident": it.Found.WARM, "booted": it.Found.BEGAN_LOAD, "rode": it.Found.AWAITED_LOAD}
LOAD_FAILED = "boot_error"


class LineError(LinkError):
    """What can't be read on an invoker's connection."""


@dataclass(slots=True, eq=False)
class Answer:
    """The end of a run, an order or a probe, under the tag it was asked with."""

    tag: str
    outcome: it.Outcome
    found: it.Found = it.Found.UNTOLD
    load_failed: bool = False
    same_model: int = 0
    standing: int = 0
    report: dict[str, float] = field(default_factory=dict)
    body: bytes = b""


def _whole(name: str, value: str) -> int:
    if not _WHOLE.match(value):
        raise LineError(f"expected {name} as a whole number, got {value[:40]!r}")
    return int(value)


def _report(value: str) -> dict[str, float]:
    figures = {}
    for part in value.split(";") if value else ():
        name, colon, figure = part.partition(":")
        try:
            figures[name] = float(figure)
        except ValueError:
            figures[name] = math.nan
        if not colon or not math.isfinite(figures[name]):
            raise LineError(f"expected meter as NAME:FIGURE;..., got {part[:40]!r}")
    return figures


@dataclass(slots=True, frozen=True)
class _Line:
    """A line that waits to be written. `deadline`: a run's, told in the line as what is left of it by then; `write_by`:
    when it is too late to write the line at all."""

    before: bytes
    after: bytes = b""
    deadline: float | None = None
    write_by: float = math.inf

    def written(self, now: float) -> bytes | None:
        """None where nobody waits for the answer any more, or where it is too late for the line."""
        if now > self.write_by:
            return None
        if self.deadline is None:
            return self.before
        left = self.deadline - now
        if left <= 0:
            return None
        return b"%b%d%b" % (self.before, max(1, int(left)), self.after)


class InvokerLink:
    """The asking end of one connection to an invoker. `clock` gives the time (ms) at the moment of writing."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self.clock = clock
        self.rest = Rest()
        self.open: dict[str, str] = {}
        # Tags that were asked with here: a late or doubled answer must not end a later run of the same id.
        self.used: dict[str, None] = {}
        self.out: dict[str, _Line] = {}
        # Whose line was given out last: of it the socket may hold a part.
        self.last_written = ""
        self.drops: list[bytes] = []
        self.skipped = 0
        # What ended the reading, where good answers came before it.
        self.spoilt: LineError | None = None

    # Out

    @property
    def more(self) -> bool:
        return bool(self.out or self.drops)

    def _ask(self, kind: str, tag: str, line: _Line):
        if tag in self.used:
            raise SendNotAllowed(f"{tag} was asked with on this connection")
        self.open[tag], self.used[tag], self.out[tag] = kind, None, line

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
        """`deadline` and `write_by` are times of the link's clock."""
        before = f"exec {tag} cls={group},item={model},limit="
        nonce = f",nonce={once}" if once else ""
        after = b"%b %d\r\n%b\r\n" % (nonce.encode(), len(body), body)
        self._ask(RUN, tag, _Line(before.encode(), after, deadline, write_by))

    def order(self, tag: str, model: str, copies: int, write_by: float = math.inf) -> None:
        self._ask(ORDER, tag, _Line(f"ensure {tag} item={model},n={copies}\r\n".encode(), write_by=write_by))

    def probe(self, tag: str, load: bool) -> None:
        self._ask(PROBE, tag, _Line(f"{'load' if load else 'health'} {tag}\r\n".encode()))

    def unload(self, model: str) -> None:
        self.drops.append(f"release {model}\r\n".encode())

    def give_up(self, tag: str) -> bool:
        """Nobody waits for it any more. False if it never left: it does not now."""
        kind = self.open.pop(tag, None)
        if kind is None:
            return True
        if self.out.pop(tag, None) is not None:
            return False
        if kind == RUN:
            self.drops.append(f"drop {tag}\r\n".encode())
        return True

    def left(self, tag: str) -> bool:
        """Whether the line was handed to the socket: what was not has certainly not run."""
        return tag not in self.out

    def outgoing(self, data_too: bool = True) -> tuple[bytes, list[Answer]]:
        """One line, so that all others can still be taken back; and runs whose time was over before that."""
        if not data_too:
            return b"", []
        if self.drops:
            drops, self.drops = b"".join(self.drops), []
            return drops, []
        expired: list[Answer] = []
        now = self.clock()
        while self.out:
            tag = next(iter(self.out))
            line = self.out.pop(tag).written(now)
            if line is not None:
                self.last_written = tag
                return line, expired
            del self.open[tag]
            expired.append(Answer(tag, it.Outcome.NOT_SENT))
        return b"", expired

    def forget(self) -> None:
        self.rest = Rest()
        self.open.clear()
        self.out.clear()

    # In

    def receive(self, data: memoryview | bytes, now: float) -> list[Answer]:
        read = self.rest.take(data)
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
        except LineError as problem:
            # What was read before the noise is good: it must not count as broken off.
            self.spoilt = problem
            if not answers:
                raise
        self.rest.keep(read, at, now)
        return answers

    def _answer(self, read: bytes, at: int) -> tuple[Answer | None, int] | None:
        """(answer, where it ends); no answer where nobody asked for it, None where it is not whole yet."""
        stop = read.find(END, at, at + LONGEST_LINE)
        if stop < 0:
            if len(read) - at >= LONGEST_LINE:
                raise LineError(f"expected a line of at most {LONGEST_LINE} bytes")
            return None
        parts = read[at:stop].split(b" ")
        if len(parts) != 4 or parts[1] not in WORDS or not _WORD.match(parts[0]) or not _LENGTH.match(parts[3]):
            raise LineError(f"expected ID WORD FIELDS LENGTH, got {read[at : min(stop, at + 80)]!r}")
        length = int(parts[3])
        if length > LARGEST_BODY:
            raise LineError(f"expected a body of at most {LARGEST_BODY} bytes, got {length}")
        begin = stop + len(END)
        end = begin + length
        if len(read) < end + len(END):
            self.rest.need = end + len(END) - at
            if len(read) > end and read[end : end + 1] != END[:1]:
                raise LineError("expected a line's end after the body")
            return None
        if read[end : end + len(END)] != END:
            raise LineError("expected a line's end after the body")
        tag = parts[0].decode()
        kind = self.open.get(tag)
        fields = self._fields(parts[2])
        if kind is None:
            self.skipped += 1
            return None, end + len(END)
        outcome = OUTCOMES[kind].get(parts[1])
        if outcome is None:
            raise LineError(f"expected the end of {kind}, got {parts[1]!r}")
        tell = fields.get("tell", "")
        answer = Answer(
            tag,
            outcome,
            FOUND.get(tell, it.Found.UNTOLD) if outcome is it.Outcome.RETURNED else it.Found.UNTOLD,
            tell == LOAD_FAILED,
            _whole("same", fields.get("same", "0")),
            _whole("n", fields.get("n", "0")),
            _report(fields.get("meter", "")),
            read[begin:end],
        )
        del self.open[tag]
        return answer, end + len(END)

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
