"""Measures how long processes of a stage were ready to run but had no core, as counted by the kernel.

The judge does not count such time as lateness of the process.
"""

from __future__ import annotations

import asyncio
import os
from pathlib import Path

from sprucespool.judge import seen
from sprucespool.standin.trace import Notes, now_ms

# Shorter waits between two checks are not noted.
MIN_NOTED_WAIT_MS = 1.0
TICK_MS = 1000.0 / os.sysconf("SC_CLK_TCK")


class Starving:
    """Notes at each check how long each process waited since the last check, and the time that the host of the machine
    took from its cores (steal time). If the kernel counts neither, nothing is noted."""

    def __init__(self, notes: Notes, every: float = 100.0, proc: Path = Path("/proc")):
        self.notes, self.interval_ms, self.proc = notes, every, proc
        self.loop = asyncio.get_running_loop()
        # By process: the file with its waiting time, and the waiting time at the last check.
        self.processes: dict[str, tuple[Path, float]] = {}
        self.stolen, self.since = self._stolen(), now_ms()
        self.timer: asyncio.TimerHandle | None = None

    def add(self, name: str, pid: int) -> None:
        """Start to measure a process. A restarted process replaces the earlier one of that name."""
        path = self.proc / str(pid) / "schedstat"
        waited = self._waited(path)
        if waited is not None:
            self.processes[name] = path, waited

    @staticmethod
    def _waited(path: Path) -> float | None:
        """Total waiting time of the first thread, ms; None if the process ended or the kernel does not report it."""
        try:
            return int(path.read_bytes().split()[1]) / 1e6
        except (OSError, IndexError, ValueError):
            return None

    def _stolen(self) -> list[float]:
        """Total steal time by core, ms."""
        try:
            lines = (self.proc / "stat").read_text().splitlines()
            return [int(line.split()[8]) * TICK_MS for line in lines if line.startswith("cpu") and line[3] != " "]
        except (OSError, IndexError, ValueError):
            return []

    def check(self) -> None:
        self.timer = self.loop.call_later(self.interval_ms / 1000.0, self.check)
        waits: dict[str, float] = {}
        for name, (path, before) in list(self.processes.items()):
            waited = self._waited(path)
            if waited is None:
                del self.processes[name]
            elif waited - before >= MIN_NOTED_WAIT_MS:
                waits[name] = round(waited - before, 1)
                self.processes[name] = path, waited
        stolen_before, self.stolen = self.stolen, self._stolen()
        stolen = max((after - before for after, before in zip(self.stolen, stolen_before, strict=False)), default=0.0)
        now = now_ms()
        if waits or stolen > 0:
            self.notes.write(seen.Starved(now, self.since, waits, stolen))
        self.since = now

    def stop(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
