"""Notes that stand-ins and clients record about their sockets. Times are in ms of one machine's monotonic clock."""

from __future__ import annotations

from collections.abc import Iterable, Iterator

import msgspec


class _Seen(msgspec.Struct, tag_field="ev", tag=str.lower):
    t: float


class Sent(_Seen):
    """A client sent a try. `root` is the id of the first try of the same inference; `ttl` is how long it waits."""

    id: str
    root: str
    controller: int
    group: str
    ttl: float
    tenant: str = ""
    nth: int = 0


class Answer(_Seen):
    """The client received a final status; `code` is the gRPC status code."""

    id: str
    code: int
    message: str = ""
    pushback: float | None = None


class NoAnswer(_Seen):
    """The client received no answer within its wait and an additional tolerance."""

    id: str


class LeftEarly(_Seen):
    """The client cancelled its try."""

    id: str


class Unreached(_Seen):
    """The connection to the controller could not be established, or broke during the try; `sent`: the
    try may have been processed."""

    id: str
    sent: bool


class Came(_Seen):
    """A forward reached an invoker; `n` is its number in that process."""

    invoker: str
    boot: str
    n: int
    id: str
    controller: int
    work: float
    model: str = ""


class Went(_Seen):
    """A forward ended at an invoker. `how`: returned, refused, missed, failed, lost (ran, but its answer was lost),
    cancelled, cut."""

    invoker: str
    boot: str
    n: int
    how: str


class Ordered(_Seen):
    """A load order reached an invoker; `copies` 0 only asks how many copies are loaded."""

    invoker: str
    boot: str
    controller: int
    model: str
    copies: int


class Booted(_Seen):
    """An invoker process began to serve; `speed` is that of each core."""

    invoker: str
    boot: str
    cores: int
    speed: float
    cold: bool = True
    zone: str = ""
    cell: str = ""
    # The name by which link faults refer to the invoker.
    place: str = ""


class Died(_Seen):
    """An invoker process was killed or ended."""

    invoker: str
    boot: str


class PushedOver(_Seen):
    """A cold invoker failed because it was sent more work than allowed, both in ms."""

    invoker: str
    boot: str
    sent: float
    allowed: float


class Told(_Seen):
    """The roster sent a controller the status of an invoker's process."""

    controller: int
    invoker: str
    boot: str
    status: str


class Stalled(_Seen):
    """A controller was stopped by SIGSTOP until `until`."""

    controller: int
    until: float


class Starved(_Seen):
    """The machine was busy, which is not a fault of its processes. Between `since` and `t` each process in `waits` (c0,
    clients, stage, an invoker's boot) was ready to run but had no core for the given ms; `stolen` is the most that the
    host took from one core, in ms."""

    since: float
    waits: dict[str, float]
    stolen: float


class BadLink(_Seen):
    """Until `until` the link between the controller and the invoker named `place` (i0) delayed or lost data in some
    direction."""

    controller: int
    place: str
    until: float


class Killed(_Seen):
    """A controller process was killed without a graceful stop."""

    controller: int


class Count(_Seen):
    """A count for the results table, such as loads or rejected fetches."""

    name: str
    value: float


Seen = (
    Sent
    | Answer
    | NoAnswer
    | LeftEarly
    | Unreached
    | Came
    | Went
    | Ordered
    | Booted
    | Died
    | PushedOver
    | Told
    | Stalled
    | Starved
    | BadLink
    | Killed
    | Count
)
_DECODER = msgspec.json.Decoder(Seen)
ENCODER = msgspec.json.Encoder()


def read(lines: Iterable[bytes]) -> Iterator[Seen]:
    """Decodes notes; skips a truncated line, which can only be the last one, of a process killed while it wrote."""
    for line in lines:
        if line.endswith(b"}\n"):
            yield _DECODER.decode(line)
