"""Transfers bytes between one socket and its link (the protocol state of the connection)."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable
from typing import Any

from sprucespool.links import Link, LinkError
from sprucespool.transport.buffers import BufferBudget
from sprucespool.transport.input_scheduler import InputScheduler
from sprucespool.transport.peer_state import has_peer_closed, has_unread_input
from sprucespool.transport.read_buffer import READ_BUFFER_SIZE, read_buffer

HIGH_WATER_BYTES = 256 * 1024
# A peer whose input filled less than this between two empty reads did not wait for its window to open.
MIN_WINDOW_BYTES = 16 * 1024
# Without input for this long, a peer that sent more than could be handled at once has nothing left to send.
DRAINED_SECONDS = 0.002
# Limit for control frames that a peer provokes but does not read.
MAX_UNREAD_CONTROL_BYTES = 1024 * 1024


def now_ms() -> float:
    """The running loop's clock (monotonic), in milliseconds."""
    return asyncio.get_running_loop().time() * 1000.0


def _ignore_events(wire: Wire, events: list[Any]) -> None:
    """Replaces `on_events` of a closed connection."""


def _ignore_lost(wire: Wire, why: str) -> None:
    """Replaces `on_lost` of a closed connection."""


def _ignore_wire(wire: Wire) -> None:
    """Replaces the other callbacks of a closed connection."""


class Wire(asyncio.BufferedProtocol):
    """Passes received bytes to a link and writes the output of the link, once per event loop iteration.

    `on_events(wire, events)` receives the events of the link; `on_lost(wire, why)` is called once when the connection
    has ended.
    """

    def __init__(
        self,
        link: Link,
        on_events: Callable[[Wire, list[Any]], None],
        on_lost: Callable[[Wire, str], None],
        on_made: Callable[[Wire], None] | None = None,
        high_water: int = HIGH_WATER_BYTES,
        budget: BufferBudget | None = None,
        input_scheduler: InputScheduler | None = None,
        max_read_bytes: int = READ_BUFFER_SIZE,
    ):
        self.high_water, self.budget = high_water, budget
        # Handles input that the link defers; without one the link must not defer any.
        self.input_scheduler = input_scheduler
        # Since when (ms) input waits that was not handled or not even read; None while there is none.
        self.behind_since: float | None = None
        # Closing a connection with unread input resets it, which would discard the final output. The final output is
        # therefore written after `delay` ms, and input is read for another `linger` ms. With `linger` 0 the connection
        # is closed as soon as the output is written.
        self.delay = self.linger = 0.0
        # Whether invalid input ends the connection without writing the output that waits.
        self.abort_on_invalid_input = False
        self.on_closed: Callable[[Wire], None] = lambda wire: None
        # Called when the system accepts no more bytes for now, and when it does again.
        self.on_paused: Callable[[Wire], None] = lambda wire: None
        # Called when input was read, output written or the connection has ended.
        self.on_changed: Callable[[Wire], None] = _ignore_wire
        # Called when the connections of this kind buffer too much and this one is the next to go.
        self.on_buffers_full: Callable[[Wire], None] = lambda wire: wire.end("buffers are full", at_once=True)
        # Bytes written to the transport, and the part of them written while writing was paused.
        self.written_bytes = self._written_while_paused = 0
        self.link, self.on_events, self.on_lost, self.on_made = link, on_events, on_lost, on_made
        self.loop = asyncio.get_running_loop()
        # Shared with the other connections of the loop, so that thousands of idle ones need no buffers of their own.
        self._shared_buffer = read_buffer()
        # Input of one read, unless more is known to be missing of one message: what a read brings is handled at once.
        self.max_read_bytes = max_read_bytes
        self._read_buffer = self._shared_buffer[:max_read_bytes]
        self._read_count = 0
        # Bytes read since the system last had nothing more.
        self._unpolled_bytes = 0
        # What was read while earlier input still waited.
        self._unhandled = b""
        self.transport: asyncio.Transport | None = None
        self.paused, self.scheduled, self.lost = False, False, False
        # Since when (ms) the system accepts no more bytes; infinity while it does.
        self._paused_since = math.inf
        # The output that is written when `delay` has passed, and the timer of the next step of the close.
        self._final_output = b""
        self._close_timer: asyncio.TimerHandle | None = None
        self.opened = self.last_received_at = self.loop.time() * 1000.0
        self.why = ""
        # Whether this side ended the connection.
        self.ended_locally = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        transport.set_write_buffer_limits(high=self.high_water)
        if self.on_made:
            self.on_made(self)
        self.flush_soon()

    def get_buffer(self, sizehint: int) -> memoryview:
        size = max(self.max_read_bytes, self.link.missing_bytes)
        if size != len(self._read_buffer):
            self._read_buffer = self._shared_buffer[:size]
        return self._read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        if self.lost:
            return
        self._read_count += 1
        self.last_received_at = self.loop.time() * 1000.0
        self._note_read(nbytes)
        if self.input_scheduler is not None and nbytes == len(self._read_buffer) and self.end_if_peer_closed():
            # The system may have held more, with the end of the connection behind it.
            return
        if self.input_scheduler is not None and self.behind_since is not None:
            # It takes its turn with what it sends next, too.
            self._unhandled = bytes(self._read_buffer[:nbytes])
            self._count_buffers()
            self._defer(self.input_scheduler)
            return
        self._handle_input(self._read_buffer[:nbytes])
        if self.input_scheduler is not None and self.link.deferred and not self.lost:
            self.behind_since = self.last_received_at
            self._defer(self.input_scheduler)

    def _note_read(self, nbytes: int):
        """Notices that the system had nothing more, and that the peer had not filled its window either."""
        self._unpolled_bytes += nbytes
        if nbytes == len(self._read_buffer):
            return
        if self._unpolled_bytes < MIN_WINDOW_BYTES:
            self.behind_since = None
        self._unpolled_bytes = 0

    def _defer(self, scheduler: InputScheduler):
        if self.transport is not None and not self.transport.is_closing():
            self.transport.pause_reading()
        scheduler.defer(self)

    def _handle_input(self, data: memoryview | bytes):
        try:
            events = self.link.receive(data, self.last_received_at)
        except LinkError as error:
            return self.end(str(error), at_once=self.abort_on_invalid_input)
        if events:
            self.on_events(self, events)
        self._count_buffers()
        self.flush_soon()

    def handle_deferred(self) -> bool:
        """Handles the next part of the input that waits; returns whether more is left."""
        if self.lost or self.transport is None:
            return False
        if self.end_if_peer_closed():
            return False
        data, self._unhandled = self._unhandled, b""
        self._handle_input(data)
        if self.lost or self.link.deferred:
            return not self.lost
        if not self.transport.is_closing():
            self.transport.resume_reading()
        self._expect_read()
        return False

    def end_if_peer_closed(self) -> bool:
        """End the connection if the peer has closed its end, whether or not that was read yet; returns whether it did.

        What the peer still had to say is discarded: nobody waits for an answer.
        """
        if self.lost:
            return True
        if self.transport is None or not has_peer_closed(self.transport.get_extra_info("socket")):
            return False
        self.transport.abort()
        self._report_lost("closed by the peer")
        return True

    def _expect_read(self):
        """More may be unread, in the system or at the peer that waited for the window to open."""
        self.loop.call_later(DRAINED_SECONDS, self._end_behind, self._read_count)

    def _end_behind(self, read_count: int):
        """The socket has been polled: without another read, nothing was unread."""
        if self._read_count == read_count and not self.link.deferred:
            self.behind_since = None

    @property
    def behind_ms(self) -> float:
        """How long (ms) input that is handled now may have waited behind other input of this connection."""
        return 0.0 if self.behind_since is None else self.loop.time() * 1000.0 - self.behind_since

    @property
    def buffered_bytes(self) -> int:
        """Bytes of incomplete input and of output that the system has not accepted yet."""
        unwritten = self.transport.get_write_buffer_size() if self.transport is not None else 0
        return self.link.buffered_bytes + len(self._unhandled) + len(self._final_output) + unwritten

    @property
    def input_waits(self) -> bool:
        """Whether input was read that is not handled yet."""
        return bool(self._unhandled) or self.link.deferred

    @property
    def quiet(self) -> bool:
        """Whether nothing waits to be written, to be handled or, in the system, to be read."""
        return self.transport is not None and not self.unwritten and not self.unhandled_input

    @property
    def unhandled_input(self) -> bool:
        """Whether input that the system has received, or its end, was not read or not handled yet."""
        if self.transport is None:
            return False
        return self.input_waits or has_unread_input(self.transport.get_extra_info("socket"))

    @property
    def buffered_since(self) -> float:
        """When (ms) the peer last left its message incomplete or stopped reading; infinity if it did neither."""
        return min(self.link.incomplete_since, self._paused_since)

    def end_to_free_buffers(self) -> None:
        """Ends the connection; one that was lost already discards the output that is still to be written."""
        if not self.lost:
            return self.on_buffers_full(self)
        self._final_output = b""
        self.abort()

    def abort(self) -> None:
        """Close the connection at once; output that is not accepted by the system yet is discarded."""
        if self.transport is not None:
            self.transport.abort()

    def _count_buffers(self):
        if self.budget is not None:
            self.budget.update(self)
        self.on_changed(self)

    def flush_soon(self) -> None:
        if not self.scheduled and not self.lost:
            self.scheduled = True
            self.loop.call_soon(self._flush)

    def _flush(self):
        self.scheduled = False
        self.flush()

    def flush(self) -> None:
        """Write all pending output of the link, message by message if the link returns one at a time."""
        self._write_pending()
        self._count_buffers()

    def _write_pending(self):
        while not self.lost and self.transport is not None:
            out, drained = self.link.outgoing(data_too=not self.paused)
            if out:
                self.written_bytes += len(out)
                if self.paused:
                    self._written_while_paused += len(out)
                self.transport.write(out)
                if self._written_while_paused > MAX_UNREAD_CONTROL_BYTES:
                    return self.end("the peer does not read")
            if drained:
                self.on_events(self, list(drained))
            if self.paused or not self.link.more:
                return

    @property
    def unwritten(self) -> bool:
        """Whether some output has not been accepted by the system yet."""
        if self.lost or self.transport is None:
            return False
        return self.scheduled or self.paused or self.transport.get_write_buffer_size() > 0

    @property
    def accepted_bytes(self) -> int:
        """How many of the written bytes the system has accepted."""
        return self.written_bytes - (self.transport.get_write_buffer_size() if self.transport is not None else 0)

    def pause_writing(self) -> None:
        self.paused, self._paused_since = True, self.loop.time() * 1000.0
        self.on_paused(self)

    def resume_writing(self) -> None:
        self.paused, self._written_while_paused, self._paused_since = False, 0, math.inf
        self._count_buffers()
        self.on_paused(self)
        self.flush_soon()

    def eof_received(self) -> bool:
        """Treat the end of input as a lost connection at once, without waiting for pending output to be written."""
        self._report_lost(self.why or "closed by the peer")
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        self._report_lost(self.why or (f"{type(exc).__name__}: {exc}" if exc else "closed by the peer"))
        self._final_output = b""
        self._count_buffers()
        if self._close_timer is not None:
            self._close_timer.cancel()
        on_closed = self.on_closed
        self._release()
        on_closed(self)

    def _release(self):
        """Let go of the owner and the transport, which refer to this: none must wait for the garbage collector."""
        self.transport = self._close_timer = self.on_made = None
        self.on_events, self.on_lost = _ignore_events, _ignore_lost
        self.on_closed = self.on_paused = self.on_buffers_full = self.on_changed = _ignore_wire

    def _report_lost(self, why: str):
        if not self.lost:
            self.lost = True
            if self.input_scheduler is not None:
                self.input_scheduler.forget(self)
            self.on_lost(self, why)
            self.link.forget()
            self._unhandled = b""
            self._count_buffers()

    def end(self, why: str, at_once: bool = False) -> None:
        """Write the remaining output and close the connection; `at_once` discards the output."""
        if self.lost:
            return
        self.why, self.ended_locally = why, True
        if self.transport is not None:
            if at_once:
                self.transport.abort()
            else:
                # Includes output held back for a peer that is slow to read: its answers must still be delivered.
                self._close_after(self.link.outgoing()[0])
        self._report_lost(why)

    def _close_after(self, out: bytes):
        assert self.transport is not None
        if self.linger and self.delay:
            self.transport.pause_reading()
            self._final_output = out
            self._close_timer = self.loop.call_later(self.delay / 1000.0, self._write_final)
        elif self.linger:
            self._final_output = out
            self._write_final()
        else:
            self.transport.write(out)
            self.transport.close()
            # A peer that never reads must not keep the socket open: output still unwritten by then is discarded.
            self._close_timer = self.loop.call_later(1.0, self.transport.abort)

    def _write_final(self):
        transport = self.transport
        if transport is None or transport.is_closing():
            return
        # Set first: the connection ends whatever becomes of its final output.
        self._close_timer = self.loop.call_later(self.linger / 1000.0, transport.abort)
        out, self._final_output = self._final_output, b""
        try:
            transport.write(out)
            transport.write_eof()
            transport.resume_reading()
        except OSError:  # the peer is gone: nobody would read the final output
            transport.abort()
