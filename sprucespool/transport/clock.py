"""Wall time for ages that others tell, read once: a wall clock may be stepped, the monotonic one is not."""

from __future__ import annotations

import time
from collections.abc import Callable


class AnchoredClock:
    """Unix time as the wall clock had it when the process began, moved on by the monotonic clock."""

    def __init__(self, wall: Callable[[], float] = time.time, monotonic: Callable[[], float] = time.monotonic):
        self._monotonic = monotonic
        self._offset = wall() - monotonic()

    def unix(self) -> float:
        """In seconds."""
        return self._monotonic() + self._offset

    def unix_ms(self) -> float:
        return self.unix() * 1000.0
