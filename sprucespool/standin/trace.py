"""A stand-in's notes of what it saw, a line each, kept when its process is killed."""

from __future__ import annotations

import io
import time

from sprucespool.judge.seen import ENCODER, Seen


def now_ms() -> float:
    """The machine's monotonic clock: the same for all processes on it."""
    return time.monotonic() * 1000.0


class Notes:
    def __init__(self, path: str):
        # Unbuffered: what a killed process saw last is what matters most.
        self.sink = io.FileIO(path, "a")

    def write(self, seen: Seen) -> None:
        self.sink.write(ENCODER.encode(seen) + b"\n")

    def close(self) -> None:
        self.sink.close()
