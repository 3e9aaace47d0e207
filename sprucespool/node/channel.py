"""The command channel: reconnects when a watch ends or falls silent and continues after the last event number."""

from __future__ import annotations

import asyncio
import zlib
from collections.abc import Callable

from sprucespool.gateway import messages as ms
from sprucespool.transport.clock import AnchoredClock
from sprucespool.node.logs import Log
from sprucespool.relay.feed import ChannelEvent, EntryError, FeedLink, Roster
from sprucespool.transport.wire import Wire

# The channel sends a comment each second: a watch that receives nothing for longer may have stopped.
SILENCE_TIMEOUT_MS, CONNECT_TIMEOUT_MS = 1_600.0, 800.0
INITIAL_BACKOFF_MS, MAX_BACKOFF_MS = 20.0, 500.0
# Watches open at the same time: a slow channel may answer an earlier watch while a later one still waits.
MAX_WATCHES = 3
CHECK_INTERVAL_SECONDS = 0.1
# Share of the memory for an incomplete event of one watch, and what is allowed in any case: the list of 3,200 invokers.
EVENT_SHARE, MIN_EVENT_LIMIT_BYTES = 0.03, 1024 * 1024
# An invalid event is requested again up to this number of reads; then its invalid entries are skipped.
MAX_READS_PER_EVENT = 3


class Channel:
    """Keeps the roster up to date.

    `on_change` receives each change of the roster. `on_up_to_date` receives the time (ms) since the roster last had
    all changes that discovery had sent.
    """

    def __init__(
        self,
        host: str,
        port: int,
        roster: Roster,
        on_change: Callable[[ms.Roster], None],
        on_up_to_date: Callable[[float], None],
        log: Log,
        seed: int,
        clock: AnchoredClock,
        memory_mb: float,
    ):
        self.host, self.port, self.roster, self.on_change, self.log, self.seed = (
            host,
            port,
            roster,
            on_change,
            log,
            seed,
        )
        self.on_up_to_date = on_up_to_date
        self.clock = clock
        self.max_event_bytes = max(MIN_EVENT_LIMIT_BYTES, int(EVENT_SHARE * memory_mb * 2**20))
        self.loop = asyncio.get_running_loop()
        # Open watches, the newest last.
        self.watches: list[Wire] = []
        self.connect_task: asyncio.Task | None = None
        self.failures = self.backoffs = self.connections = 0
        # When the last event or comment was received with nothing incomplete behind it (ms); None before the first.
        self.up_to_date_at: float | None = None
        self.started_at = self.now()
        self.in_contact = True
        # Failed reads of the next event.
        self.failed_reads = 0
        self.closed = False
        self.retry_at = 0.0
        self.timer = self.loop.call_soon(self._check)

    def now(self) -> float:
        return self.loop.time() * 1000.0

    @property
    def wire(self) -> Wire | None:
        """The newest watch."""
        return self.watches[-1] if self.watches else None

    def move(self, host: str, port: int) -> None:
        """Connect to another address and continue after the last event number."""
        self.host, self.port, self.failures = host, port, 0
        if self.connect_task is not None:
            self.connect_task.cancel()
            self.connect_task = None
        self._end_watches(self.watches, "channel address changed")
        self._connect()

    def _end_watches(self, watches: list[Wire], why: str):
        ended, self.watches = list(watches), [wire for wire in self.watches if wire not in watches]
        for wire in ended:
            wire.end(why, at_once=True)

    def _check(self):
        self.timer = self.loop.call_later(CHECK_INTERVAL_SECONDS, self._check)
        now = self.now()
        self._end_replaced()
        self._update_contact(now)
        if self.connect_task is not None or now < self.retry_at:
            return
        if not self.watches:
            self._connect()
        elif all(now - wire.last_received_at > SILENCE_TIMEOUT_MS for wire in self.watches):
            self.log.info("channel silent", watches=len(self.watches))
            if len(self.watches) == MAX_WATCHES:
                self._end_watches(self.watches[:1], "silent")
            self._connect()

    def _end_replaced(self):
        """Ends the watches that are older than the newest one that has received data."""
        for index in range(len(self.watches) - 1, 0, -1):
            if self.watches[index].last_received_at > self.watches[index].opened:
                return self._end_watches(self.watches[:index], "replaced")

    def silence_ms(self) -> float:
        """The time during which the roster may have missed changes (ms)."""
        return self.now() - (self.started_at if self.up_to_date_at is None else self.up_to_date_at)

    def _update_contact(self, now: float):
        times = [wire.link.current_at for wire in self.watches if isinstance(wire.link, FeedLink)]
        latest = max((at for at in times if at is not None), default=None)
        if latest is not None and (self.up_to_date_at is None or latest > self.up_to_date_at):
            silence_ms, self.up_to_date_at = self.silence_ms(), latest
            self.on_up_to_date(now - latest)
            if not self.in_contact:
                self.in_contact = True
                self.log.info("discovery heard again", after_ms=round(silence_ms), last_event=self.roster.last)
        elif self.in_contact and self.silence_ms() > SILENCE_TIMEOUT_MS:
            self.in_contact = False
            self.log.info("discovery not heard", for_ms=round(self.silence_ms()), last_event=self.roster.last)

    def _connect(self):
        if not self.closed and self.connect_task is None:
            self.connect_task = self.loop.create_task(self._open_watch())

    async def _open_watch(self):
        link = FeedLink(f"{self.host}:{self.port}", self.roster.last, self.max_event_bytes)
        wire = Wire(link, self._on_events, self._on_lost)
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_MS / 1000.0):
                await self.loop.create_connection(lambda: wire, self.host, self.port)
        except asyncio.CancelledError:
            wire.end("channel address changed", at_once=True)
            raise
        except (OSError, TimeoutError) as error:
            self.connect_task = None
            why = f"{type(error).__name__}: {error}"
            self.log.info("channel not connected", why=why, unheard_ms=round(self.silence_ms()))
            return self._retry_later()
        self.connect_task = None
        if wire.lost:
            return self._retry_later()
        if wire.last_received_at == wire.opened:
            # Silence is measured from here, not from the start of the connection attempt.
            wire.opened = wire.last_received_at = self.now()
        self.watches.append(wire)
        self.connections += 1

    def _retry_later(self):
        """Retries after a jittered exponential pause, so that controllers do not all reconnect at the same time."""
        self.failures += 1
        self.backoffs += 1
        fraction = zlib.crc32(b"%d:%d" % (self.seed, self.backoffs)) / 2**32
        pause = min(MAX_BACKOFF_MS, INITIAL_BACKOFF_MS * 2 ** min(self.failures - 1, 8)) * (0.5 + fraction / 2)
        self.retry_at = self.now() + pause
        self.loop.call_later(pause / 1000.0, self._retry)

    def _retry(self):
        if not self.watches and self.now() >= self.retry_at - 1.0:
            self._connect()

    def _on_lost(self, wire: Wire, why: str):
        if wire in self.watches:
            self.watches.remove(wire)
            self.log.info("channel lost", why=why)
            if not self.watches and not self.closed:
                self._retry_later()

    def _on_events(self, wire: Wire, events: list[ChannelEvent]):
        self.failures = 0
        for event in events:
            if wire.lost:
                return
            try:
                changes = self.roster.apply(event, self.clock.unix_ms())
            except EntryError as error:
                self.log.error("channel", problem=error)
                self.failed_reads += 1
                if self.failed_reads < MAX_READS_PER_EVENT:
                    # The event may have been corrupted in transit: request it again.
                    return wire.end(f"event {event.number} can't be used", at_once=True)
                changes = self.roster.apply_usable(event, self.clock.unix_ms())
            if changes is None:
                # A gap is never skipped: a missing event may say that an invoker drains.
                return wire.end(f"event {event.number} after {self.roster.last}", at_once=True)
            if changes:
                self.failed_reads = 0
            for change in changes:
                self.on_change(change)
        link = wire.link
        if isinstance(link, FeedLink) and link.ended:
            wire.end("channel response ended", at_once=True)

    def close(self) -> None:
        self.closed = True
        self.timer.cancel()
        if self.connect_task is not None:
            self.connect_task.cancel()
        self._end_watches(self.watches, "closed")
