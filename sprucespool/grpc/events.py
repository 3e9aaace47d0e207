"""What a connection tells its user: events of calls and of the connection."""

from __future__ import annotations

from dataclasses import dataclass

from sprucespool.grpc.status import Metadata, Status


@dataclass(slots=True)
class CallStarted:
    """Server: a call; `timeout` in ms or None."""

    stream: int
    path: str
    metadata: Metadata
    timeout: float | None


@dataclass(slots=True)
class Message:
    """`data` is one whole message; tell `consumed(stream, size)` when it left for good."""

    stream: int
    data: bytes
    size: int


@dataclass(slots=True)
class HalfClosed:
    """Server: the client will send no more."""

    stream: int


@dataclass(slots=True)
class Answered:
    """Client: the call's status; the only end that an answer of the server makes."""

    stream: int
    status: Status
    message: str
    trailers: Metadata
    messages: int


@dataclass(slots=True)
class Reset:
    """The peer gave the stream up. `never_ran`: it says that nothing of it was looked at."""

    stream: int
    code: int
    never_ran: bool


@dataclass(slots=True)
class GoingAway:
    """The peer takes no new streams here."""

    code: int
    why: str


@dataclass(slots=True)
class PingAcknowledged:
    """A ping of this end was answered."""


@dataclass(slots=True)
class Drained:
    """What waited to be written on the stream is below the low mark again."""

    stream: int


Event = CallStarted | Message | HalfClosed | Answered | Reset | GoingAway | PingAcknowledged | Drained
