"""State of the streams of a connection, and limits on what a peer may cause."""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field

from sprucespool.grpc.status import Metadata


@dataclass(slots=True)
class Flow:
    """Data of one stream that waits to be sent, and how the stream ends."""

    waiting: deque[memoryview] = field(default_factory=deque)
    size: int = 0
    trailers: list | None = None
    end: bool = False
    notify_drained: bool = False
    # Consecutive sweeps without progress, and the size at the last sweep.
    idle_sweeps: int = 0
    size_at_last_sweep: int = 0
    # When (ms) the peer last read a part of it; infinity if nothing waits.
    waiting_since: float = math.inf


@dataclass(slots=True)
class Stream:
    """State of one call on its connection."""

    flow: Flow = field(default_factory=Flow)
    # Received bytes of messages that are not complete yet.
    partial: bytearray = field(default_factory=bytearray)
    status: str = ""
    answered: bool = False
    messages: int = 0
    refused: bool = False
    # Received bytes that are not yet returned to the peer's flow-control window.
    unacknowledged: int = 0
    # Bytes of complete messages that the user received and has not consumed yet.
    unconsumed: int = 0
    # Bytes of messages that the user consumed and keeps until the peer has finished sending.
    kept: int = 0
    headers: Metadata | None = None
    # Server: bytes that the call and its headers take until the stream has ended.
    head_bytes: int = 0
    # When (ms) the last message that is incomplete, not consumed or kept began; infinity if there is none.
    waiting_since: float = math.inf


class ReceiveBudget:
    """Counts bytes of partially received messages over many connections. The limits per connection alone do not bound
    the memory of thousands of connections."""

    __slots__ = ("used", "max_bytes")

    def __init__(self, max_bytes: int):
        self.used, self.max_bytes = 0, max_bytes


class RateBucket:
    """A leaky bucket that limits how many events per second the peer may cause."""

    __slots__ = ("per_second", "level", "updated_at")

    def __init__(self, per_second: float):
        self.per_second, self.level, self.updated_at = per_second, 0.0, 0.0

    def add(self, now: float) -> bool:
        """Counts one event; returns whether the limit is exceeded. `now` is in ms."""
        self.level = max(0.0, self.level - (now - self.updated_at) * self.per_second / 1000.0) + 1.0
        self.updated_at = now
        return self.level > self.per_second
