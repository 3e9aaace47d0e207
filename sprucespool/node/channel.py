"""The command channel: asked again from the last number on when it breaks off or falls silent."""

from __future__ import annotations

import asyncio
import zlib
from collections.abc import Callable

from sprucespool.gateway import messages as ms
from sprucespool.transport.clock import AnchoredClock
from sprucespool.node.logs import Log
from sprucespool.relay.feed import EntryError, FeedLink, Roster, Told
from sprucespool.transport.wire import Wire

# Times in milliseconds. A comment comes each second: a watch that tells nothing for longer may have stopped.
SILENT, CONNECT = 1_600.0, 800.0
FIRST_PAUSE, LAST_PAUSE = 20.0, 500.0
# Watches at a time: a slow channel answers an earlier one while a later one still waits.
MOST_WATCHES = 3
LOOK_EVERY = 0.1
# So often an event that can't be used is asked for again; then what can't be used of it is passed over.
MOST_READINGS = 3


class Channel:
    """Keeps the roster told: `tell` gets each of its changes, `heard` how long ago (ms) nothing was left untold."""

    def __init__(
        self,
        host: str,
        port: int,
        roster: Roster,
        tell: Callable[[ms.Roster], None],
        heard: Callable[[float], None],
        log: Log,
        seed: int,
        clock: AnchoredClock,
    ):
        self.host, self.port, self.roster, self.tell, self.log, self.seed = host, port, roster, tell, log, seed
        self.heard = heard
        self.clock = clock
        self.loop = asyncio.get_running_loop()
        # Open watches, the newest last.
        self.watches: list[Wire] = []
        self.task: asyncio.Task | None = None
        self.failures = self.counter = self.connected = 0
        # When all that discovery had to tell was last heard (ms); None before the first time.
        self.up_to_date_at: float | None = None
        self.began = self.now()
        self.in_touch = True
        # Readings of the next event that failed.
        self.misread = 0
        self.closed = False
        self.again_at = 0.0
        self.timer = self.loop.call_soon(self._look)

    def now(self) -> float:
        return self.loop.time() * 1000.0

    @property
    def wire(self) -> Wire | None:
        """The newest watch."""
        return self.watches[-1] if self.watches else None

    def move(self, host: str, port: int) -> None:
        """Another address from now on; the numbers go on."""
        self.host, self.port, self.failures = host, port, 0
        if self.task is not None:
            self.task.cancel()
            self.task = None
        self._end_watches(self.watches, "the channel moved")
        self._connect()

    def _end_watches(self, watches: list[Wire], why: str):
        ended, self.watches = list(watches), [wire for wire in self.watches if wire not in watches]
        for wire in ended:
            wire.end(why, at_once=True)

    def _look(self):
        self.timer = self.loop.call_later(LOOK_EVERY, self._look)
        now = self.now()
        self._end_replaced()
        self._note_contact(now)
        if self.task is not None or now < self.again_at:
            return
        if not self.watches:
            self._connect()
        elif all(now - wire.heard > SILENT for wire in self.watches):
            self.log.info("channel silent", watches=len(self.watches))
            if len(self.watches) == MOST_WATCHES:
                self._end_watches(self.watches[:1], "silent")
            self._connect()

    def _end_replaced(self):
        """A watch that has spoken takes the place of those before it."""
        for place in range(len(self.watches) - 1, 0, -1):
            if self.watches[place].heard > self.watches[place].opened:
                return self._end_watches(self.watches[:place], "replaced")

    def unheard_for(self) -> float:
        """For how long the list may have missed changes (ms)."""
        return self.now() - (self.began if self.up_to_date_at is None else self.up_to_date_at)

    def _note_contact(self, now: float):
        times = [wire.link.current_at for wire in self.watches if isinstance(wire.link, FeedLink)]
        latest = max((at for at in times if at is not None), default=None)
        if latest is not None and (self.up_to_date_at is None or latest > self.up_to_date_at):
            unheard, self.up_to_date_at = self.unheard_for(), latest
            self.heard(now - latest)
            if not self.in_touch:
                self.in_touch = True
                self.log.info("discovery heard again", after_ms=round(unheard), last_event=self.roster.last)
        elif self.in_touch and self.unheard_for() > SILENT:
            self.in_touch = False
            self.log.info("discovery not heard", for_ms=round(self.unheard_for()), last_event=self.roster.last)

    def _connect(self):
        if not self.closed and self.task is None:
            self.task = self.loop.create_task(self._open())

    async def _open(self):
        wire = Wire(FeedLink(f"{self.host}:{self.port}", self.roster.last), self._events, self._lost)
        try:
            async with asyncio.timeout(CONNECT / 1000.0):
                await self.loop.create_connection(lambda: wire, self.host, self.port)
        except asyncio.CancelledError:
            wire.end("the channel moved", at_once=True)
            raise
        except (OSError, TimeoutError) as problem:
            self.task = None
            why = f"{type(problem).__name__}: {problem}"
            self.log.info("channel not connected", why=why, unheard_ms=round(self.unheard_for()))
            return self._later()
        self.task = None
        if wire.lost:
            return self._later()
        if wire.heard == wire.opened:
            # Silence counts from here, not from when the connection was begun.
            wire.opened = wire.heard = self.now()
        self.watches.append(wire)
        self.connected += 1

    def _later(self):
        """Jittered, or all controllers come back together."""
        self.failures += 1
        self.counter += 1
        chance = zlib.crc32(b"%d:%d" % (self.seed, self.counter)) / 2**32
        pause = min(LAST_PAUSE, FIRST_PAUSE * 2 ** min(self.failures - 1, 8)) * (0.5 + chance / 2)
        self.again_at = self.now() + pause
        self.loop.call_later(pause / 1000.0, self._again)

    def _again(self):
        if not self.watches and self.now() >= self.again_at - 1.0:
            self._connect()

    def _lost(self, wire: Wire, why: str):
        if wire in self.watches:
            self.watches.remove(wire)
            self.log.info("channel lost", why=why)
            if not self.watches and not self.closed:
                self._later()

    def _events(self, wire: Wire, events: list[Told]):
        self.failures = 0
        for event in events:
            if wire.lost:
                return
            try:
                news = self.roster.told(event, self.clock.unix_ms())
            except EntryError as problem:
                self.log.error("channel", problem=problem)
                self.misread += 1
                if self.misread < MOST_READINGS:
                    # It may have been spoilt on its way.
                    return wire.end(f"event {event.number} can't be used", at_once=True)
                news = self.roster.pass_over(event, self.clock.unix_ms())
            if news is None:
                # Never passed over: what is missing may be an invoker that drains.
                return wire.end(f"event {event.number} after {self.roster.last}", at_once=True)
            if news:
                self.misread = 0
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
        self._end_watches(self.watches, "closed")
