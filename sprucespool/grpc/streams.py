"""State of the streams of a connection, and bounds on what a peer may make of them."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from sprucespool.grpc.status import Metadata


@dataclass(slots=True)
class Flow:
    """Data of one stream that waits to be written, with its end."""

    waiting: deque[memoryview] = field(default_factory=deque)
    size: int = 0
    trailers: list | None = None
    end: bool = False
    marked: bool = False
    still: int = 0
    size_swept: int = 0


@dataclass(slots=True)
class Stream:
    """One call's state on its connection."""

    flow: Flow = field(default_factory=Flow)
    part: bytearray = field(default_factory=bytearray)
    status: str = ""
    answered: bool = False
    messages: int = 0
    refused: bool = False
    # Bytes received and not yet given back to the peer's window.
    held: int = 0
    # Bytes of whole messages handed out and not yet consumed.
    owed: int = 0
    headers: Metadata | None = None


class ReceiveBudget:
    """Bytes of half-received messages over many connections: each is bounded, thousands together are not."""

    __slots__ = ("used", "most")

    def __init__(self, most: int):
        self.used, self.most = 0, most


class RateBucket:
    """How many of something the peer may do in a second."""

    __slots__ = ("most", "level", "at")

    def __init__(self, most: float):
        self.most, self.level, self.at = most, 0.0, 0.0

    def spill(self, now: float) -> bool:
        """Counts one more; whether that is too many."""
        self.level = max(0.0, self.level - (now - self.at) * self.most / 1000.0) + 1.0
        self.at = now
        return self.level > self.most
