"""One connection: bytes between a socket and a link."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

from sprucespool.links import Link, LinkError
from sprucespool.transport.read_buffer import read_buffer

HIGH_WATER = 256 * 1024
# Control frames that a peer provokes and does not read.
MOST_UNREAD = 1024 * 1024


def now_ms() -> float:
    """The running loop's clock (monotonic), in milliseconds."""
    return asyncio.get_running_loop().time() * 1000.0


class Wire(asyncio.BufferedProtocol):
    """Feeds a link and writes what it has to say, once a turn of the loop.

    `on_events(wire, events)` gets what came; `on_lost(wire, why)` once when the connection is gone.
    """

    def __init__(
        self,
        link: Link,
        on_events: Callable[[Wire, list[Any]], None],
        on_lost: Callable[[Wire, str], None],
        on_made: Callable[[Wire], None] | None = None,
        high_water: int = HIGH_WATER,
    ):
        self.high_water = high_water
        # Against last words that unread input would swallow (a close with bytes unread resets the connection):
        # said after `delay` ms, then the peer is heard out for `linger` ms. 0: closed as soon as they are written.
        self.delay = self.linger = 0.0
        self.on_closed: Callable[[Wire], None] = lambda wire: None
        # Told when the system takes no more for now, and when it does again.
        self.on_paused: Callable[[Wire], None] = lambda wire: None
        # Bytes handed to the transport; those of them handed while the system took no more.
        self.handed = self._handed_paused = 0
        self.link, self.on_events, self.on_lost, self.on_made = link, on_events, on_lost, on_made
        self.loop = asyncio.get_running_loop()
        # Shared with the loop's other connections: thousands of idle ones need no memory of their own.
        self._read_buffer = read_buffer()
        self.transport: asyncio.Transport | None = None
        self.paused, self.scheduled, self.lost = False, False, False
        self.opened = self.last_received_at = self.loop.time() * 1000.0
        self.why = ""
        # Whether it was ended from this side.
        self.ended_locally = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        transport.set_write_buffer_limits(high=self.high_water)
        if self.on_made:
            self.on_made(self)
        self.flush_soon()

    def get_buffer(self, sizehint: int) -> memoryview:
        return self._read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        if self.lost:
            return
        self.last_received_at = self.loop.time() * 1000.0
        try:
            events = self.link.receive(self._read_buffer[:nbytes], self.last_received_at)
        except LinkError as problem:
            return self.end(str(problem))
        if events:
            self.on_events(self, events)
        self.flush_soon()

    def flush_soon(self) -> None:
        if not self.scheduled and not self.lost:
            self.scheduled = True
            self.loop.call_soon(self._flush)

    def _flush(self):
        self.scheduled = False
        self.flush()

    def flush(self) -> None:
        """Write what the link has to say now, message by message where it gives one at a time."""
        while not self.lost and self.transport is not None:
            out, drained = self.link.outgoing(data_too=not self.paused)
            if out:
                self.handed += len(out)
                if self.paused:
                    self._handed_paused += len(out)
                self.transport.write(out)
                if self._handed_paused > MOST_UNREAD:
                    return self.end("the peer does not read")
            if drained:
                self.on_events(self, list(drained))
            if self.paused or not self.link.more:
                return

    @property
    def unwritten(self) -> bool:
        """Whether something said is not with the system yet."""
        if self.lost or self.transport is None:
            return False
        return self.scheduled or self.paused or self.transport.get_write_buffer_size() > 0

    @property
    def taken(self) -> int:
        """Bytes that the system took of what was handed over."""
        return self.handed - (self.transport.get_write_buffer_size() if self.transport is not None else 0)

    def pause_writing(self) -> None:
        self.paused = True
        self.on_paused(self)

    def resume_writing(self) -> None:
        self.paused, self._handed_paused = False, 0
        self.on_paused(self)
        self.flush_soon()

    def eof_received(self) -> bool:
        """A peer that sends no more has gone: known now, not when what is still to be written has been."""
        self._gone(self.why or "closed by the peer")
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        self._gone(self.why or (f"{type(exc).__name__}: {exc}" if exc else "closed by the peer"))
        self.on_closed(self)

    def _gone(self, why: str):
        if not self.lost:
            self.lost = True
            self.on_lost(self, why)
            self.link.forget()

    def end(self, why: str, at_once: bool = False) -> None:
        """Write what is left to say and close; `at_once` drops it."""
        if self.lost:
            return
        self.why, self.ended_locally = why, True
        if self.transport is not None:
            if at_once:
                self.transport.abort()
            else:
                # Also what waits for a peer that is slow to read: it was answered, and is owed the words.
                self._close_after(self.link.outgoing()[0])
        self._gone(why)

    def _close_after(self, out: bytes):
        assert self.transport is not None
        if self.linger and self.delay:
            self.transport.pause_reading()
            self.loop.call_later(self.delay / 1000.0, self._last_words, out)
        elif self.linger:
            self._last_words(out)
        else:
            self.transport.write(out)
            self.transport.close()
            # A peer that never reads must not hold the socket: whatever is unwritten then is dropped.
            self.loop.call_later(1.0, self.transport.abort)

    def _last_words(self, out: bytes):
        if self.transport is None or self.transport.is_closing():
            return
        self.transport.write(out)
        self.transport.write_eof()
        self.transport.resume_reading()
        self.loop.call_later(self.linger / 1000.0, self.transport.abort)
