"""Received bytes of a connection that are not parsed yet."""

from __future__ import annotations

import math


class UnparsedBytes:
    """Bytes of an incomplete message.

    `need` is how many bytes the message is known to need: until then `append` returns nothing, so that a message that
    arrives byte by byte is not copied for each byte.
    """

    __slots__ = ("data", "need", "since")

    def __init__(self) -> None:
        self.data = bytearray()
        self.need, self.since = 0, 0.0

    def __len__(self) -> int:
        return len(self.data)

    def append(self, data: memoryview | bytes) -> bytes | None:
        """Add received bytes and return all unparsed bytes; None while they are known to be too few."""
        if not self.data:
            return bytes(data)
        self.data += data
        if len(self.data) < self.need:
            return None
        self.need = 0
        return bytes(self.data)

    def keep_from(self, read: bytes, at: int, now: float) -> None:
        """Keep what `append` returned from position `at` on, as still unparsed."""
        if at or not self.data:
            self.data, self.since = bytearray(read[at:]), now

    @property
    def missing(self) -> int:
        """How many more bytes the incomplete message is known to need; 0 if that is not known."""
        return max(0, self.need - len(self.data)) if self.data else 0

    @property
    def incomplete_since(self) -> float:
        """When (ms) the incomplete message began; infinity if there is none."""
        return self.since if self.data else math.inf

    def incomplete_for(self, now: float) -> float:
        """How long (ms) a message has been incomplete; 0 if there is none."""
        return now - self.since if self.data else 0.0
