"""Wall time for ages reported by other processes.

The wall clock is read only once: it may be stepped, while the monotonic clock is not.
"""

from __future__ import annotations

import time
from collections.abc import Callable


class AnchoredClock:
    """Unix time: the wall clock at construction, advanced by the monotonic clock."""

    def __init__(self, wall: Callable[[], float] = time.time, monotonic: Callable[[], float] = time.monotonic):
        self._monotonic = monotonic
        self._offset = wall() - monotonic()

    def unix(self) -> float:
        """Unix time in seconds."""
        return self._monotonic() + self._offset

    def unix_ms(self) -> float:
        return self.unix() * 1000.0
