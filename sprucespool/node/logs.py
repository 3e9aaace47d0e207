"""Log lines on standard error: few by default; at level debug enough to explain a single inference."""

from __future__ import annotations

import sys
import time
from typing import Any

LEVELS = ("debug", "info", "error")
# A repeated error must not fill the log or use up the processor core.
MAX_LINES_PER_SECOND = 20


class Log:
    """Writes a line as time, level, event and `name=value` fields. Level debug has no limit on the line rate."""

    def __init__(self, level: str = "info"):
        self.min_level = LEVELS.index(level) if level in LEVELS else 1
        self.current_second, self.lines_this_second = 0, 0

    @property
    def debugging(self) -> bool:
        return self.min_level == 0

    def _line(self, level: str, event: str, fields: dict[str, Any]):
        if LEVELS.index(level) < self.min_level:
            return
        now = time.time()
        if self.min_level and int(now) != self.current_second:
            self.current_second, self.lines_this_second = int(now), 0
        self.lines_this_second += 1
        if self.min_level and self.lines_this_second > MAX_LINES_PER_SECOND:
            return
        suffix = "".join(f" {name}={value}" for name, value in fields.items())
        try:
            sys.stderr.write(f"{now:.3f} {level} {event}{suffix}\n")
        except OSError:
            # A failure to write the log (a full disk, a closed pipe) must not stop the controller.
            pass

    def debug(self, event: str, **fields: Any) -> None:
        if not self.min_level:
            self._line("debug", event, fields)

    def info(self, event: str, **fields: Any) -> None:
        self._line("info", event, fields)

    def error(self, event: str, **fields: Any) -> None:
        self._line("error", event, fields)
