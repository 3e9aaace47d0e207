"""Connections of clients: accepts, monitors and closes them. Requests are passed to a `RequestHandler`."""

from __future__ import annotations

import asyncio
import errno
from collections.abc import Callable
from typing import Protocol

from sprucespool.node.logs import Log
from sprucespool.relay.frames import Cancellation, Event, FrameLink, ReadinessQuery, Request, RequestReader
from sprucespool.transport.acceptor import Acceptor
from sprucespool.transport.buffers import SMALL_BUFFER_BYTES, BufferBudget
from sprucespool.transport.connection_budget import (
    MAX_DESCRIPTORS_SHARE,
    TARGET_DESCRIPTORS_SHARE,
    ConnectionBudget,
    ConnectionState,
)
from sprucespool.transport.descriptor_budget import DescriptorBudget
from sprucespool.transport.errors import report_unexpected
from sprucespool.transport.input_scheduler import InputScheduler
from sprucespool.transport.wire import Wire

CHECK_INTERVAL_SECONDS = 0.25
# Time for a new client's first complete frame, for each frame from its first byte to its last, and for a client to
# read its answers. A bad client must receive its error within three seconds.
FIRST_FRAME_TIMEOUT_MS, FRAME_TIMEOUT_MS, UNREAD_TIMEOUT_MS = 1_800.0, 1_800.0, 2_500.0
IDLE_TIMEOUT_MS = 10_000.0
# The error to a bad client is delayed, because the client would reconnect at once with the same input. Its input is
# then discarded for a while, because closing with unread input would lose the error with the connection.
ERROR_DELAY_MS, LINGER_MS = 400.0, 1_500.0
HIGH_WATER_BYTES = 64 * 1024
# A client whose input has waited for longer is reported once.
REPORTED_BEHIND_MS = 1_000.0
MIN_CONNECTIONS = 16
# Share of the memory for what all connections buffer.
BUFFERS_SHARE = 0.10


class RequestHandler(Protocol):
    """Handles the requests that arrive on client connections."""

    ready: bool

    def request_received(self, connection: ClientConnection, request: Request) -> bool: ...

    def request_cancelled(self, connection: ClientConnection, stream: int) -> None: ...


class ClientConnection:
    """One client's connection."""

    __slots__ = (
        "listener",
        "wire",
        "link",
        "idle_since",
        "write_paused_since",
        "calls",
        "was_answered",
        "peer",
        "_waited",
        "_reported",
    )

    def __init__(self, listener: ClientListener, waited: float):
        self.listener = listener
        # How long the connection may have waited to be accepted; None once something was read.
        self._waited: float | None = waited
        self.link = FrameLink(listener.request_reader)
        self.wire = Wire(
            self.link,
            self._on_events,
            self._on_lost,
            self._on_made,
            HIGH_WATER_BYTES,
            listener.buffer_budget,
            listener.input_scheduler,
            max_read_bytes=SMALL_BUFFER_BYTES,
        )
        self.wire.linger, self.wire.on_closed = LINGER_MS, self._on_closed
        self.wire.on_buffers_full, self.wire.on_changed = self._on_buffers_full, self._on_changed
        # Whether a request or a readiness query was answered.
        self.was_answered = False
        self.idle_since = self.wire.opened
        self.write_paused_since = 0.0
        # The client's address, for the log, and whether it was reported to send faster than it is served.
        self.peer, self._reported = "?", False
        # The handler's state of each open stream.
        self.calls: dict[int, object] = {}

    def _on_made(self, wire: Wire):
        assert wire.transport is not None
        name = wire.transport.get_extra_info("peername")
        self.peer = f"{name[0]}:{name[1]}" if isinstance(name, tuple) else "?"
        self.listener.connection_made(self)

    def _on_events(self, wire: Wire, events: list[Event]):
        for event in events:
            try:
                usable = self._handle(event)
            except Exception as error:
                self._fail_event(event, error)
                continue
            if not usable:
                return self.close_with_error("request id is already in use", self.listener.error_delay)
        self.idle_since = wire.last_received_at
        self._waited = None

    def _handle(self, event: Event) -> bool:
        """Returns False if the client violates the protocol."""
        handler = self.listener.handler
        if isinstance(event, Cancellation):
            handler.request_cancelled(self, event.stream)
        elif isinstance(event, ReadinessQuery):
            self.link.readiness(event.stream, handler.ready)
            self.was_answered = True
        elif self.link.is_open(event.stream):
            return handler.request_received(self, event)
        # Else a later frame of the same read cancelled the request: no answer is owed, and none can be sent.
        return True

    def _fail_event(self, event: Event, error: Exception):
        """Fail the one request that could not be handled; others wait on the same connection."""
        report_unexpected(f"{type(event).__name__} on stream {event.stream} of a client", error)
        if isinstance(event, Request):
            self._cancel(event.stream)
            if self.link.is_open(event.stream):
                self.link.failed(event.stream)
                self.answered(event.stream)

    def _cancel(self, stream: int):
        try:
            self.listener.handler.request_cancelled(self, stream)
        except Exception as error:  # must not keep the other requests of the connection from their ends
            report_unexpected(f"cancellation on stream {stream} of a client", error)

    @property
    def waited(self) -> float:
        """The longest time (ms) for which input read now may have waited with the connection to be accepted.

        0: no longer than usual.
        """
        return self._waited + self.listener.now() - self.wire.opened if self._waited else 0.0

    def _on_lost(self, wire: Wire, why: str):
        if self.calls:
            self.listener.log.debug("client lost", peer=self.peer, why=why, open_requests=len(self.calls))
        for stream in list(self.calls):
            self._cancel(stream)
        self.listener.connection_lost(self, why)

    def _on_buffers_full(self, wire: Wire):
        if wire.paused:
            wire.end("too many bytes of unread answers", at_once=True)
        else:
            self.close_with_error("too many bytes of incomplete frames", self.listener.error_delay)

    def _on_changed(self, wire: Wire):
        self.listener.connections.update(self, self._state(), self.listener.now())

    def _state(self) -> ConnectionState:
        if self.wire.lost:
            return ConnectionState.LINGERING
        if self.calls or self.wire.paused or self.wire.input_waits:
            return ConnectionState.BUSY
        if self.link.unparsed or not self.link.frames:
            return ConnectionState.PENDING
        return ConnectionState.IDLE if self.was_answered else ConnectionState.UNANSWERED

    def is_quiet(self) -> bool:
        """Whether nothing that the system has received waits to be read, and nothing waits to be written."""
        return self.wire.quiet

    def end_to_make_room(self) -> None:
        """Close the connection at once; one that lingers discards its final message."""
        if self.wire.lost:
            return self.wire.abort()
        self.wire.linger = 0.0
        if self.was_answered:
            # As a connection that is closed for being idle: its client did nothing wrong.
            return self.wire.end("no room for so many connections")
        self.close_with_error("no room for so many connections")

    def _on_closed(self, wire: Wire):
        self.listener.connection_closed(self)

    def answered(self, stream: int) -> None:
        """Ends the stream; its answer is flushed in this loop iteration."""
        self.calls.pop(stream, None)
        self.was_answered = True
        self.idle_since = self.listener.now()
        self.wire.flush_soon()

    def close_with_error(self, why: str, delay: float = 0.0) -> None:
        """Send an error after `delay` ms and close the connection."""
        self.link.fail_open_requests()
        self.wire.delay = delay
        self.wire.end(why)

    def _idle_ms(self, now: float) -> float:
        """How long nothing was open or half received on the connection; 0 if something is."""
        return 0.0 if self.calls or self.link.unparsed else now - self.idle_since

    def check(self, now: float) -> None:
        """Close the connection if one of its timeouts has passed."""
        wire, link = self.wire, self.link
        if not wire.paused:
            self.write_paused_since = 0.0
        elif not self.write_paused_since:
            self.write_paused_since = now
        elif now - self.write_paused_since > UNREAD_TIMEOUT_MS:
            return wire.end("client does not read", at_once=True)
        # After a stall what a client has sent in time may still be unread.
        if not link.frames and now - wire.opened > FIRST_FRAME_TIMEOUT_MS and not wire.unhandled_input:
            self.close_with_error("no complete frame received")
        elif link.unparsed.incomplete_for(now) > FRAME_TIMEOUT_MS and not wire.unhandled_input:
            self.close_with_error("incomplete frame")
        elif self._idle_ms(now) > IDLE_TIMEOUT_MS and not wire.unhandled_input:
            wire.linger = 0.0
            wire.end("idle")
        elif wire.behind_ms > REPORTED_BEHIND_MS and not self._reported:
            self._reported = True
            self.listener.log.info(
                "client sends faster than it is served",
                peer=self.peer,
                frames=link.frames,
                open_requests=len(self.calls),
                behind_ms=round(wire.behind_ms),
            )


class ClientListener:
    """Accepts connections of clients and limits how many there are and what they hold."""

    def __init__(
        self,
        request_reader: RequestReader,
        handler: RequestHandler,
        log: Log,
        sockets: int,
        memory_mb: float,
        possible_wait_ms: Callable[[], float],
    ):
        self.request_reader, self.handler, self.log = request_reader, handler, log
        self.loop = asyncio.get_running_loop()
        # The connections that are read, in order of arrival.
        self.open: dict[ClientConnection, None] = {}
        # Those that hold a file descriptor.
        self.connections = ConnectionBudget(
            max(MIN_CONNECTIONS, int(MAX_DESCRIPTORS_SHARE * sockets)),
            max(MIN_CONNECTIONS, int(TARGET_DESCRIPTORS_SHARE * sockets)),
        )
        self.buffer_budget = BufferBudget(int(BUFFERS_SHARE * memory_mb * 2**20))
        self.input_scheduler = InputScheduler()
        self.accepted = self.cut = 0
        self.acceptor = Acceptor(
            lambda waited: ClientConnection(self, waited).wire,
            self._on_accept_error,
            possible_wait_ms,
            lambda: self.descriptors.room_for_clients(self.now()),
        )
        # Shared with the connections to invokers.
        self.descriptors = DescriptorBudget(sockets, self.connections, lambda: self.acceptor.handing_over)
        self.timer: asyncio.TimerHandle | None = None

    def now(self) -> float:
        return self.loop.time() * 1000.0

    def status(self) -> dict[str, int]:
        """What the connections hold, for the log."""
        return {
            "clients": len(self.connections),
            **{f"clients_{state}": count for state, count in self.connections.counts().items()},
            "clients_evicted": self.connections.evicted,
            **self.descriptors.status(),
            "buffered_kb": self.buffer_budget.used // 1024,
            "deferrals": self.input_scheduler.deferrals,
        }

    @property
    def error_delay(self) -> float:
        """The delay (ms) of an error to a bad client; 0 when file descriptors run short."""
        return ERROR_DELAY_MS if 2 * len(self.connections) < self.connections.max_connections else 0.0

    async def start(self, host: str, port: int) -> int:
        port = await self.acceptor.start(host, port)
        self.timer = self.loop.call_later(CHECK_INTERVAL_SECONDS, self._check)
        return port

    def _on_accept_error(self, error: OSError):
        """The process or the system has no resources for a connection. Descriptors are freed by closing another one."""
        self.log.info("connection not accepted yet", why=f"{type(error).__name__}: {error}")
        if error.errno == errno.EMFILE and not self.descriptors.evict_idle():
            self.connections.evict_one(self.now())

    def connection_made(self, connection: ClientConnection) -> None:
        self.accepted += 1
        self.open[connection] = None
        now = self.now()
        self.connections.add(connection, now)
        connection.wire.delay = self.error_delay
        self.connections.make_room(now)

    def connection_lost(self, connection: ClientConnection, why: str) -> None:
        self.open.pop(connection, None)
        if connection.wire.why and why != "idle":
            self.cut += 1
            self.log.info("client cut", why=why, peer=connection.peer)

    def connection_closed(self, connection: ClientConnection) -> None:
        self.connections.remove(connection)

    def _check(self):
        self.timer = self.loop.call_later(CHECK_INTERVAL_SECONDS, self._check)
        now = self.now()
        for connection in list(self.open):
            connection.check(now)

    def announce_stop(self) -> None:
        """Ask clients to send no new requests. Requests that still arrive are answered, on new connections too."""
        for connection in list(self.open):
            connection.link.announce_drain()
            connection.wire.flush_soon()

    @property
    def half_received(self) -> bool:
        """Whether any connection has an incomplete frame, or frames that are not handled yet."""
        return any(connection.link.unparsed or connection.wire.input_waits for connection in self.open)

    @property
    def unwritten(self) -> bool:
        """Whether any connection has output that is not written yet."""
        return any(connection.wire.unwritten for connection in self.open)

    def close(self) -> None:
        if self.timer:
            self.timer.cancel()
        self.acceptor.close()
        for connection in list(self.open):
            connection.wire.flush()
            connection.wire.linger = 0.0
            connection.wire.end("controller stops")
