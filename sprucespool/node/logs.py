"""Lines on standard error: few unless asked for, enough then to explain one inference."""

from __future__ import annotations

import sys
import time
from typing import Any

LEVELS = ("debug", "info", "error")
# Against a flood of one kind of trouble that fills the log and takes the core.
MOST_A_SECOND = 20


class Log:
    def __init__(self, level: str = "info"):
        self.least = LEVELS.index(level) if level in LEVELS else 1
        self.second, self.lines = 0, 0

    @property
    def debugging(self) -> bool:
        return self.least == 0

    def _line(self, level: str, event: str, facts: dict[str, Any]):
        if LEVELS.index(level) < self.least:
            return
        now = time.time()
        if self.least and int(now) != self.second:
            self.second, self.lines = int(now), 0
        self.lines += 1
        if self.least and self.lines > MOST_A_SECOND:
            return
        more = "".join(f" {name}={value}" for name, value in facts.items())
        try:
            sys.stderr.write(f"{now:.3f} {level} {event}{more}\n")
        except OSError:
            # A log that can't be written (a full disk, a reader that has gone) takes nothing else with it.
            pass

    def debug(self, event: str, **facts: Any) -> None:
        if not self.least:
            self._line("debug", event, facts)

    def info(self, event: str, **facts: Any) -> None:
        self._line("info", event, facts)

    def error(self, event: str, **facts: Any) -> None:
        self._line("error", event, facts)
