"""How long processes of a stage were ready to run and had no core, as the kernel counts it. Against verdicts that are
the machine's: what it keeps a process from doing is no lateness of that process."""

from __future__ import annotations

import asyncio
import os
from pathlib import Path

from sprucespool.judge import seen
from sprucespool.standin.trace import Notes, now_ms

# Waits of less than this many ms between two looks are no matter.
MIN_NOTED_WAIT_MS = 1.0
TICK_MS = 1000.0 / os.sysconf("SC_CLK_TCK")


class Starving:
    """Notes at each look what each process waited since the one before, and what was taken from the machine's cores by
    its host. Where the kernel counts neither nothing is noted."""

    def __init__(self, notes: Notes, every: float = 100.0, proc: Path = Path("/proc")):
        self.notes, self.every, self.proc = notes, every, proc
        self.loop = asyncio.get_running_loop()
        # By process: where its waits stand, and what they were at the last look.
        self.known: dict[str, tuple[Path, float]] = {}
        self.stolen, self.since = self._stolen(), now_ms()
        self.timer: asyncio.TimerHandle | None = None

    def add(self, name: str, pid: int) -> None:
        """From now on; a process anew takes the name of the one before it."""
        path = self.proc / str(pid) / "schedstat"
        waited = self._waited(path)
        if waited is not None:
            self.known[name] = path, waited

    @staticmethod
    def _waited(path: Path) -> float | None:
        """ms in all, of the process's first thread; None if it ended or the kernel doesn't tell."""
        try:
            return int(path.read_bytes().split()[1]) / 1e6
        except (OSError, IndexError, ValueError):
            return None

    def _stolen(self) -> list[float]:
        """ms in all, by core."""
        try:
            lines = (self.proc / "stat").read_text().splitlines()
            return [int(line.split()[8]) * TICK_MS for line in lines if line.startswith("cpu") and line[3] != " "]
        except (OSError, IndexError, ValueError):
            return []

    def check(self) -> None:
        self.timer = self.loop.call_later(self.every / 1000.0, self.check)
        waits: dict[str, float] = {}
        for name, (path, before) in list(self.known.items()):
            waited = self._waited(path)
            if waited is None:
                del self.known[name]
            elif waited - before >= MIN_NOTED_WAIT_MS:
                waits[name] = round(waited - before, 1)
                self.known[name] = path, waited
        before_all, self.stolen = self.stolen, self._stolen()
        stolen = max((now - then for now, then in zip(self.stolen, before_all, strict=False)), default=0.0)
        now = now_ms()
        if waits or stolen > 0:
            self.notes.write(seen.Starved(now, self.since, waits, stolen))
        self.since = now

    def stop(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
