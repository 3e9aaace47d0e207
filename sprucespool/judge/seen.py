"""What stand-ins and clients write down of their sockets. Times are ms of one machine's monotonic clock."""

from __future__ import annotations

from collections.abc import Iterable, Iterator

import msgspec


class _Seen(msgspec.Struct, tag_field="ev", tag=str.lower):
    t: float


class Sent(_Seen):
    """A client sent a try. `root` names the first try of the same thing; `ttl` is what it waits."""

    id: str
    root: str
    controller: int
    group: str
    ttl: float
    tenant: str = ""
    nth: int = 0


class Answer(_Seen):
    """A status came; `code` is gRPC's."""

    id: str
    code: int
    message: str = ""
    pushback: float | None = None


class NoAnswer(_Seen):
    """The client's wait was over, some slack too, and nothing had come."""

    id: str


class LeftEarly(_Seen):
    """The client gave its try up."""

    id: str


class Unreached(_Seen):
    """The connection to the controller could not be had, or broke under the try."""

    id: str
    sent: bool


class Came(_Seen):
    """A forward reached an invoker; `n` numbers it in that process."""

    invoker: str
    boot: str
    n: int
    id: str
    controller: int
    work: float
    model: str = ""


class Went(_Seen):
    """`how` it ended there: returned, refused, missed, failed, lost (ran, answer gone), cancelled, cut."""

    invoker: str
    boot: str
    n: int
    how: str


class Ordered(_Seen):
    invoker: str
    boot: str
    controller: int
    model: str
    copies: int


class Booted(_Seen):
    """A process began to serve: cold, with so many cores of such speed."""

    invoker: str
    boot: str
    cores: int
    speed: float
    cold: bool = True
    zone: str = ""
    cell: str = ""
    # Where links go bad by name: what it is called there.
    place: str = ""


class Died(_Seen):
    """A process was killed or ended."""

    invoker: str
    boot: str


class PushedOver(_Seen):
    invoker: str
    boot: str
    sent: float
    allowed: float


class Told(_Seen):
    """The roster sent a controller the state of an invoker's process."""

    controller: int
    invoker: str
    boot: str
    status: str


class Stalled(_Seen):
    """A controller was held by SIGSTOP until `until`."""

    controller: int
    until: float


class Starved(_Seen):
    """A busy machine, which is no fault of its processes. Between `since` and `t` each of `waits` (c0, clients, stage,
    an invoker's boot) was ready to run for so many ms and had no core; `stolen` ms were taken from one core at most."""

    since: float
    waits: dict[str, float]
    stolen: float


class BadLink(_Seen):
    """Until `until` what went from the controller to the place of an invoker (i0), or back, came late or never."""

    controller: int
    place: str
    until: float


class Killed(_Seen):
    """A controller process was ended without grace."""

    controller: int


class Count(_Seen):
    """A figure for the table: loads, fetches turned away and the like."""

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
    """A line that is cut off (its process was killed while it wrote) is passed over; only a last one can be."""
    for line in lines:
        if line.endswith(b"}\n"):
            yield _DECODER.decode(line)
