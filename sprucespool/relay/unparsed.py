"""What was read of a connection and could not be used yet."""

from __future__ import annotations


class UnparsedBytes:
    """Bytes of a message that is not whole. One that comes byte by byte is not copied with each of them: `need` is how
    many bytes it is known to take."""

    __slots__ = ("data", "need", "since")

    def __init__(self) -> None:
        self.data = bytearray()
        self.need, self.since = 0, 0.0

    def __len__(self) -> int:
        return len(self.data)

    def append(self, data: memoryview | bytes) -> bytes | None:
        """All that is unread, with what came now; None while it is known to be too little."""
        if not self.data:
            return bytes(data)
        self.data += data
        if len(self.data) < self.need:
            return None
        self.need = 0
        return bytes(self.data)

    def keep_from(self, read: bytes, at: int, now: float) -> None:
        """Of what `take` gave, all from `at` on is still to be used."""
        if at or not self.data:
            self.data, self.since = bytearray(read[at:]), now

    def incomplete_for(self, now: float) -> float:
        """For how long something has been half received; 0 where nothing is."""
        return now - self.since if self.data else 0.0
