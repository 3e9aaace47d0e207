"""Clients that keep to the protocol page: each request's answer is recorded with its time."""

from __future__ import annotations

import asyncio
import itertools
import time
from dataclasses import dataclass

from platform_scene import read_frames
from platform_world import request_frame

ANSWER = 17
# The settings' slack for answers, and what sockets may add to it (milliseconds).
ANSWER_SLACK_MS = 16.0 + 50.0


@dataclass(slots=True)
class Asked:
    """One request; `answered_ms` counts from when it was sent, None without an answer."""

    id: str
    sent_at: float
    wait_ms: float
    answered_ms: float | None = None
    code: int | None = None

    @property
    def late(self) -> bool:
        return self.answered_ms is None or self.answered_ms > self.wait_ms + ANSWER_SLACK_MS


class UsualClients:
    """`count` connections, each with one request after another, `pause` seconds apart, over a few models."""

    def __init__(self, port: int, count: int, wait_ms: float, pause: float = 0.03, **fields: str):
        self.port, self.count, self.wait_ms, self.pause, self.fields = port, count, wait_ms, pause, fields
        self.asked: list[Asked] = []
        # Above those of other clients of a test, below those of bad ones.
        self.ids = itertools.count(1 << 20)
        self.tasks: list[asyncio.Task] = []

    def start(self) -> None:
        self.tasks = [asyncio.create_task(self._ask(number)) for number in range(self.count)]

    async def _ask(self, number: int):
        model = f"{number % 3 + 1:016x}"
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        data = b""
        for stream in itertools.count(1):
            one = Asked(f"{next(self.ids):016x}", time.monotonic(), self.wait_ms)
            self.asked.append(one)
            fields = {"key": model, "wait": f"{self.wait_ms:g}", **self.fields}
            writer.write(request_frame(stream, b"usual", id=one.id, **fields))
            found = await read_frames(reader, data)
            if found is None:
                return
            frames, data = found
            one.answered_ms = (time.monotonic() - one.sent_at) * 1000.0
            kind, answered_stream, one.code = frames[0]
            assert (kind, answered_stream) == (ANSWER, stream)
            await asyncio.sleep(self.pause)

    async def stop(self, seconds: float = 4.0) -> None:
        """Ends the clients; first each open request gets the time until its answer is late."""
        ends_at = time.monotonic() + seconds
        asked = len(self.asked)
        while any(one.answered_ms is None for one in self.asked[:asked]) and time.monotonic() < ends_at:
            await asyncio.sleep(0.02)
        del self.asked[asked:]
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    def late(self) -> list[Asked]:
        return [one for one in self.asked if one.late]

    def share_with(self, code: int) -> float:
        return sum(one.code == code for one in self.asked) / max(1, len(self.asked))

    def summary(self) -> str:
        times = sorted(one.answered_ms for one in self.asked if one.answered_ms is not None)
        if not times:
            return f"{len(self.asked)} asked, none answered"
        median, highest = times[len(times) // 2], times[-1]
        return (
            f"{len(self.asked)} asked, {len(times)} answered, {len(self.late())} late or never, "
            f"median {median:.0f} ms, p99 {times[int(len(times) * 0.99)]:.0f} ms, highest {highest:.0f} ms, "
            f"served {self.share_with(0):.2f}"
        )
