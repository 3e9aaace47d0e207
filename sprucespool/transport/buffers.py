"""Limits what the connections of one kind buffer together: incomplete input and output that waits."""

from __future__ import annotations

from typing import Protocol

# A connection that buffers no more than this is ended only when all others buffer as little. The largest request fits,
# half received: 16 KiB of body and its fields.
SMALL_BUFFER_BYTES = 18 * 1024


class BufferingConnection(Protocol):
    """A connection whose buffers a budget counts."""

    @property
    def lost(self) -> bool:
        """Whether the connection has ended, except for output that is still to be written."""

    @property
    def buffered_bytes(self) -> int:
        """Bytes of all buffers of the connection."""

    @property
    def buffered_since(self) -> float:
        """When (ms) the peer last left its message incomplete or stopped reading; infinity if it did neither."""

    def end_to_free_buffers(self) -> None:
        """Ends the connection; one that was lost already discards the output that is still to be written."""


class BufferBudget:
    """Counts the bytes that the connections of one kind buffer, and ends connections when they exceed `max_bytes`.

    Of those that buffer over SMALL_BUFFER_BYTES, first the lost ones end, then those that have been incomplete or
    unread for longest; the others follow in the same order.
    """

    def __init__(self, max_bytes: int):
        self.max_bytes = max_bytes
        self.used = self.ended = 0
        self._buffered: dict[BufferingConnection, int] = {}

    def update(self, connection: BufferingConnection) -> None:
        """Counts what the connection buffers now; to be called after each change."""
        before = self._buffered.get(connection, 0)
        now = self._count(connection)
        if now > before and self.used > self.max_bytes:
            self._free()

    def _count(self, connection: BufferingConnection) -> int:
        size = connection.buffered_bytes
        self.used += size - self._buffered.get(connection, 0)
        if size:
            self._buffered[connection] = size
        else:
            self._buffered.pop(connection, None)
        return size

    def _free(self):
        # Output that the system accepted since the last update is not counted any more.
        for connection in list(self._buffered):
            self._count(connection)
        while self.used > self.max_bytes:
            connection = min(self._buffered, key=self._rank)
            self.ended += 1
            connection.end_to_free_buffers()
            self._count(connection)

    def _rank(self, connection: BufferingConnection) -> tuple[bool, bool, float]:
        large = self._buffered[connection] > SMALL_BUFFER_BYTES
        return not large, not connection.lost, connection.buffered_since
