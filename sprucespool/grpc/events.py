"""Events of calls and of the connection, for the user of a connection."""

from __future__ import annotations

from dataclasses import dataclass

from sprucespool.grpc.status import Metadata, Status


@dataclass(slots=True)
class CallStarted:
    """Server: the client started a call; `timeout` is in ms or None."""

    stream: int
    path: str
    metadata: Metadata
    timeout: float | None


@dataclass(slots=True)
class Message:
    """`data` is one complete message; call `consumed(stream, size)` once it is no longer held."""

    stream: int
    data: bytes
    size: int


@dataclass(slots=True)
class HalfClosed:
    """Server: the client will send no more messages."""

    stream: int


@dataclass(slots=True)
class Answered:
    """Client: the final status of the call; every call that the server answers ends with this event."""

    stream: int
    status: Status
    message: str
    trailers: Metadata
    messages: int


@dataclass(slots=True)
class Reset:
    """The stream was reset, usually by the peer. `never_ran`: the peer states that it did not process the call."""

    stream: int
    code: int
    never_ran: bool


@dataclass(slots=True)
class GoingAway:
    """The peer accepts no new streams on this connection."""

    code: int
    why: str


@dataclass(slots=True)
class PingAcknowledged:
    """The peer acknowledged a ping of this end."""


@dataclass(slots=True)
class SettingsChanged:
    """Client: the peer changed its limits, the number of streams that it accepts among them."""


@dataclass(slots=True)
class Drained:
    """The data waiting to be sent on the stream is at or below the low mark again."""

    stream: int


Event = CallStarted | Message | HalfClosed | Answered | Reset | GoingAway | PingAcknowledged | SettingsChanged | Drained
