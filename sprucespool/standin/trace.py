"""The trace file of a stand-in: one observation per line, complete even if the process is killed."""

from __future__ import annotations

import io
import time

from sprucespool.judge.seen import ENCODER, Seen


def now_ms() -> float:
    """The monotonic clock of the machine, which all its processes share."""
    return time.monotonic() * 1000.0


class Notes:
    def __init__(self, path: str):
        # Unbuffered, because the last lines of a killed process matter most.
        self.sink = io.FileIO(path, "a")

    def write(self, seen: Seen) -> None:
        self.sink.write(ENCODER.encode(seen) + b"\n")

    def close(self) -> None:
        self.sink.close()
