"""Child processes of a stage. Each reports on its first output line that it is ready."""

from __future__ import annotations

import asyncio
import contextlib
import subprocess
import threading
from pathlib import Path

START_TIMEOUT_S = 30.0


class StageFailed(Exception):
    """The day could not be played; the message names the process that did not start or stop."""


class Process:
    """A child process that reports on its first output line that it is ready."""

    def __init__(self, command: list[str], log: Path):
        self.log = log
        with open(log, "ab") as errors:
            self.popen = subprocess.Popen(command, stdout=subprocess.PIPE, stderr=errors, stdin=subprocess.PIPE)
        self.remaining_output = ""
        self.ready: asyncio.Future[str] = asyncio.get_running_loop().create_future()
        loop = asyncio.get_running_loop()

        def read():
            assert self.popen.stdout is not None
            line = self.popen.stdout.readline().decode().strip()
            loop.call_soon_threadsafe(self._set_ready, line)
            self.remaining_output = self.popen.stdout.read().decode(errors="replace")

        self.reader = threading.Thread(target=read, daemon=True)
        self.reader.start()

    def _set_ready(self, line: str):
        if not self.ready.done():
            self.ready.set_result(line)

    async def started(self) -> str:
        try:
            line = await asyncio.wait_for(asyncio.shield(self.ready), START_TIMEOUT_S)
        except TimeoutError:
            line = ""
        if not line:
            raise StageFailed(f"did not start; last log line: {self.last_log_line()}")
        return line

    def begin(self, at: float) -> None:
        assert self.popen.stdin is not None
        with contextlib.suppress(OSError):
            self.popen.stdin.write(f"{at}\n".encode())
            self.popen.stdin.flush()

    def last_log_line(self) -> str:
        text = self.log.read_text(errors="replace").strip()
        return text.splitlines()[-1][:300] if text else "none"

    def signal(self, number: int) -> None:
        if self.popen.poll() is None:
            self.popen.send_signal(number)

    async def ended(self, timeout: float) -> int | None:
        """The exit status, or None if the process still runs after `timeout` seconds."""
        end = asyncio.get_running_loop().time() + timeout
        while self.popen.poll() is None and asyncio.get_running_loop().time() < end:
            await asyncio.sleep(0.02)
        if self.popen.poll() is not None:
            self.reader.join(2.0)
        return self.popen.poll()

    def end(self) -> None:
        """Kill the process if it still runs."""
        if self.popen.poll() is None:
            self.popen.kill()
        self.popen.wait()
