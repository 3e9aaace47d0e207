"""The command channel: asked again at once when it breaks off or falls silent, from the last number on."""

from __future__ import annotations

import asyncio
import time
import zlib
from collections.abc import Callable

from sprucespool.gateway import messages as ms
from sprucespool.node.logs import Log
from sprucespool.relay.feed import EntryError, FeedLink, Roster, Told
from sprucespool.transport.wire import Wire

# A comment comes each second: a channel that tells nothing for longer has stopped.
SILENT, CONNECT = 1_600.0, 800.0
FIRST_PAUSE, LAST_PAUSE = 20.0, 500.0
LOOK_EVERY = 0.1


class Channel:
    """Keeps the roster told: `tell` gets each of its changes."""

    def __init__(self, host: str, port: int, roster: Roster, tell: Callable[[ms.Roster], None], log: Log, seed: int):
        self.host, self.port, self.roster, self.tell, self.log, self.seed = host, port, roster, tell, log, seed
        self.loop = asyncio.get_running_loop()
        self.wire: Wire | None = None
        self.task: asyncio.Task | None = None
        self.failures = self.counter = self.connected = 0
        self.closed = False
        self.again_at = 0.0
        self.timer = self.loop.call_soon(self._look)

    def now(self) -> float:
        return self.loop.time() * 1000.0

    def move(self, host: str, port: int) -> None:
        """Another address from now on; the numbers go on."""
        self.host, self.port, self.failures = host, port, 0
        self._drop("the channel moved")
        if self.task is not None:
            self.task.cancel()
            self.task = None
        self._connect()

    def _drop(self, why: str):
        wire, self.wire = self.wire, None
        if wire is not None:
            wire.end(why, at_once=True)

    def _look(self):
        self.timer = self.loop.call_later(LOOK_EVERY, self._look)
        now = self.now()
        if self.wire is not None and now - self.wire.heard > SILENT:
            self.log.info("channel silent", heard_ms_ago=round(now - self.wire.heard))
            self._drop("silent")
            self._connect()
        elif self.wire is None and self.task is None and now >= self.again_at:
            self._connect()

    def _connect(self):
        if not self.closed and self.task is None:
            self.task = self.loop.create_task(self._open())

    async def _open(self):
        wire = Wire(FeedLink(f"{self.host}:{self.port}", self.roster.last), self._events, self._lost)
        try:
            async with asyncio.timeout(CONNECT / 1000.0):
                await self.loop.create_connection(lambda: wire, self.host, self.port)
        except (OSError, TimeoutError) as problem:
            self.task = None
            self.log.info("channel not connected", why=f"{type(problem).__name__}: {problem}")
            return self._later()
        self.task = None
        if wire.lost:
            return
        self.wire, self.connected = wire, self.connected + 1

    def _later(self):
        """Jittered, or all controllers come back together."""
        self.failures += 1
        self.counter += 1
        chance = zlib.crc32(b"%d:%d" % (self.seed, self.counter)) / 2**32
        pause = min(LAST_PAUSE, FIRST_PAUSE * 2 ** min(self.failures - 1, 8)) * (0.5 + chance / 2)
        self.again_at = self.now() + pause
        self.loop.call_later(pause / 1000.0, self._again)

    def _again(self):
        if self.wire is None and self.task is None:
            self._connect()

    def _lost(self, wire: Wire, why: str):
        if wire is self.wire or self.wire is None:
            self.wire = None
            self.log.info("channel lost", why=why)
            if not self.closed:
                self._later()

    def _events(self, wire: Wire, events: list[Told]):
        self.failures = 0
        for event in events:
            try:
                news = self.roster.told(event, time.time() * 1000.0)
            except EntryError as problem:
                self.log.error("channel", problem=problem)
                continue
            if news is None:
                # Never passed over: what is missing may be an invoker that drains.
                return wire.end(f"event {event.number} after {self.roster.last}", at_once=True)
            for told in news:
                self.tell(told)
        link = wire.link
        if isinstance(link, FeedLink) and link.ended:
            wire.end("the channel's answer ended", at_once=True)

    def close(self) -> None:
        self.closed = True
        self.timer.cancel()
        if self.task is not None:
            self.task.cancel()
        self._drop("closed")
