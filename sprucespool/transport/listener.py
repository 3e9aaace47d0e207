"""gRPC server: accepts connections, dispatches calls to their methods and shuts down gracefully."""

from __future__ import annotations

import asyncio
import errno
from collections.abc import Callable
from dataclasses import dataclass

from sprucespool.grpc.events import CallStarted, Drained, Event, HalfClosed, Message, PingAcknowledged, Reset
from sprucespool.grpc.streams import ReceiveBudget
from sprucespool.grpc.server import ServerLink
from sprucespool.grpc.status import Limits, Metadata, Status
from sprucespool.transport.acceptor import Acceptor
from sprucespool.transport.buffers import BufferBudget
from sprucespool.transport.connection_budget import ConnectionBudget, ConnectionState
from sprucespool.transport.descriptor_budget import UNLIMITED_DESCRIPTORS, DescriptorBudget
from sprucespool.transport.errors import report_unexpected
from sprucespool.transport.input_scheduler import InputScheduler
from sprucespool.transport.wire import Wire

CHECK_INTERVAL_SECONDS = 1.0
# Input of one read, of which a part may wait for later loop iterations.
MAX_READ_BYTES = 64 * 1024
# Connections beyond the limit that are accepted while others close to make room: at least so many, and this share.
MIN_EXTRA_CONNECTIONS, EXTRA_CONNECTIONS_SHARE = 16, 0.2


@dataclass(frozen=True, slots=True)
class Server:
    """Limits of a listener; times in milliseconds."""

    # Connections that stay; beyond them the longest idle ones close to make room.
    connections: int = 4096
    # What the process may hold, connections to invokers included.
    descriptors: int = UNLIMITED_DESCRIPTORS
    handshake: float = 5_000.0
    idle_close: float = 600_000.0
    keepalive: float = 30_000.0
    keepalive_timeout: float = 10_000.0
    # A response of which the client reads nothing for this long is dropped.
    unread: float = 20_000.0
    # Limit in bytes for incompletely received messages, summed over all connections.
    half_received: int = 256 * 1024 * 1024
    # Limit in bytes for all that connections buffer: incomplete input, messages of calls whose client has not finished
    # sending, and responses that are not read.
    buffers: int = 512 * 1024 * 1024


def _ignore() -> None:
    """Replaces a callback that the method did not set."""


def _ignore_message(data: bytes, size: int) -> None:
    """Replaces the callback of messages that the method did not set."""


class ServerCall:
    """One call as seen by the method that serves it.

    The method sets the callbacks `on_message`, `on_half_closed` (the client has finished sending), `on_cancelled` (the
    client cancelled the call or its connection was lost) and `on_drained`, then calls `send` any number of times and
    `finish` once.
    """

    __slots__ = (
        "wire",
        "stream",
        "path",
        "metadata",
        "timeout",
        "began",
        "on_message",
        "on_half_closed",
        "on_cancelled",
        "on_drained",
        "over",
        "peer",
        "waited",
    )

    def __init__(self, wire: Wire, began: CallStarted, now: float, peer: str, waited: float):
        # How long (ms) the call may have waited for its connection to be accepted.
        self.waited = waited
        self.wire, self.stream, self.path = wire, began.stream, began.path
        self.metadata, self.timeout, self.began, self.peer = began.metadata, began.timeout, now, peer
        self.over = False
        self._reset_callbacks()

    def _reset_callbacks(self):
        self.on_message: Callable[[bytes, int], None] = _ignore_message
        self.on_half_closed: Callable[[], None] = _ignore
        self.on_cancelled: Callable[[], None] = _ignore
        self.on_drained: Callable[[], None] = _ignore

    def let_go(self) -> None:
        """The call and its stream have ended: nothing that refers to it must wait for the garbage collector."""
        self._reset_callbacks()
        self.metadata = {}

    @property
    def link(self) -> ServerLink:
        assert isinstance(self.wire.link, ServerLink)
        return self.wire.link

    def send(self, message: bytes) -> int:
        """Send a message and return how many bytes are now buffered for this call.

        If that is too much, call `mark` to be notified by `on_drained`.
        """
        if self.over or self.wire.lost:
            return 0
        waiting = self.link.send(self.stream, message)
        self.wire.flush_soon()
        return waiting

    def begin(self, metadata: Metadata | None = None) -> None:
        if not self.over and not self.wire.lost:
            self.link.begin(self.stream, metadata)
            self.wire.flush_soon()

    def mark(self) -> None:
        self.link.notify_when_drained(self.stream)

    def consumed(self, size: int) -> None:
        if not self.wire.lost:
            self.link.consumed(self.stream, size)
            self.wire.flush_soon()

    def keep(self, size: int) -> None:
        """Count `size` bytes of a message that the method keeps until the client has finished sending."""
        if not self.wire.lost:
            self.link.keep(self.stream, size)

    def release(self) -> None:
        """The method counts elsewhere, or has given up, what it kept."""
        if not self.wire.lost:
            self.link.release(self.stream)

    def finish(self, status: Status, message: str = "", trailers: Metadata | None = None) -> None:
        if self.over:
            return
        self.over = True
        if not self.wire.lost:
            self.link.finish(self.stream, status, message, trailers)
            self.wire.flush_soon()

    def reset(self, code: int) -> None:
        """End the stream without a status (an injected fault of a stand-in, or a stream that is cut off)."""
        if not self.over:
            self.over = True
            self.link.reset(self.stream, code)
            self.wire.flush_soon()


Method = Callable[[ServerCall], None]


def unary(serve: Callable[[ServerCall, bytes], None]) -> Method:
    """Make a method with one request message: `serve` receives it once the client has finished sending."""

    def method(call: ServerCall):
        received: list[bytes] = []

        def message(data: bytes, size: int):
            call.keep(len(data))
            call.consumed(size)
            if received:
                call.on_message = lambda data, size: None
                call.finish(Status.INVALID_ARGUMENT, "expected one message")
            received.append(data)

        def closed():
            if call.over:
                return
            if received:
                call.release()
                serve(call, received[0])
            else:
                call.finish(Status.INVALID_ARGUMENT, "expected one message, got none")

        call.on_message, call.on_half_closed = message, closed

    return method


class _Peer:
    """One accepted connection."""

    def __init__(self, listener: Listener, waited: float):
        self.listener, self.waited = listener, waited
        self.calls: dict[int, ServerCall] = {}
        self.wire = Wire(
            ServerLink(listener.limits, listener.ledger),
            self._events,
            self._lost,
            self._connected,
            budget=listener.buffer_budget,
            input_scheduler=listener.input_scheduler,
            max_read_bytes=MAX_READ_BYTES,
        )
        self.wire.on_changed, self.wire.on_closed = self._on_changed, self._on_closed
        self.name, self.received_any, self.pinged_at = "?", False, 0.0

    def _on_changed(self, wire: Wire):
        self.listener.connections.update(self, self._state(), self.listener.now())

    def _state(self) -> ConnectionState:
        if self.wire.lost:
            return ConnectionState.LINGERING
        if self.link.streams or self.wire.paused or self.wire.input_waits:
            return ConnectionState.BUSY
        return ConnectionState.IDLE if self.link.highest else ConnectionState.PENDING

    def _on_closed(self, wire: Wire):
        self.listener.connections.remove(self)

    def is_quiet(self) -> bool:
        """Whether nothing that the system has received waits to be read, and nothing waits to be written."""
        return self.wire.quiet

    def end_to_make_room(self) -> None:
        """Close the connection; GOAWAY tells the client which of its calls were not read."""
        if self.wire.lost:
            return self.wire.abort()
        self.link.go_away(why="too many connections")
        self.wire.flush()
        self.wire.end("no room for so many connections")

    @property
    def link(self) -> ServerLink:
        assert isinstance(self.wire.link, ServerLink)
        return self.wire.link

    def _connected(self, wire: Wire):
        assert wire.transport is not None
        name = wire.transport.get_extra_info("peername")
        self.name = f"{name[0]}:{name[1]}" if isinstance(name, tuple) else "?"
        if self.listener.closed:
            # Accepted just before the listener closed but set up just after: serving this connection would keep a
            # process alive that is to end.
            wire.end("closed", at_once=True)
            return
        if self.listener.shutting_down and not self.listener.kept_paths:
            self.listener.refused += 1
            wire.end("shutting down", at_once=True)
            return
        self.listener.peers[self] = None
        self.listener.accepted += 1
        now = self.listener.now()
        self.listener.connections.add(self, now)
        self.listener.connections.make_room(now)

    def _events(self, wire: Wire, events: list[Event]):
        waited = self.waited + wire.last_received_at - wire.opened if self.waited else 0.0
        self.waited, self.received_any = 0.0, True
        for event in events:
            try:
                self._handle(event, waited)
            except Exception as error:
                self._fail_event(event, error)
        if len(self.calls) > 64 or not self.link.streams:
            self._drop_ended_calls()
        if self.listener.shutting_down and not self.listener.kept_paths and not self.link.streams:
            self.listener.loop.call_soon(self.listener.end_if_idle, self)

    def _drop_ended_calls(self):
        """Drop finished calls whose streams have ended."""
        streams = self.link.streams
        for call in [call for number, call in self.calls.items() if number not in streams]:
            del self.calls[call.stream]
            call.let_go()

    def _handle(self, event: Event, waited: float):
        if isinstance(event, CallStarted):
            self._start(event, waited)
        elif isinstance(event, PingAcknowledged):
            self.pinged_at = 0.0
        elif (existing := self.calls.get(getattr(event, "stream", 0))) is not None:
            self._dispatch(existing, event)

    def _start(self, event: CallStarted, waited: float):
        listener = self.listener
        call = ServerCall(self.wire, event, self.wire.last_received_at, self.name, waited)
        method = listener.methods.get(event.path)
        if method is None:
            listener.reject_unknown(call)
        elif listener.shutting_down and listener.kept_paths and event.path not in listener.kept_paths:
            call.finish(Status.UNAVAILABLE, "shutting down")
        else:
            self.calls[event.stream] = call
            method(call)

    def _fail_event(self, event: Event, error: Exception):
        """Fail the one call whose event could not be handled; others are open on the same connection."""
        report_unexpected(f"{type(event).__name__} of a call from {self.name}", error)
        stream = getattr(event, "stream", 0)
        if (call := self.calls.get(stream)) is not None:
            self._cancelled(call)
        self.link.finish(stream, Status.UNKNOWN, "unexpected error of the server")

    def _dispatch(self, call: ServerCall, event: Event):
        if isinstance(event, Message):
            if call.over:
                call.consumed(event.size)
            else:
                call.on_message(event.data, event.size)
        elif isinstance(event, HalfClosed):
            if not call.over:
                call.on_half_closed()
        elif isinstance(event, Drained):
            call.on_drained()
        elif isinstance(event, Reset):
            del self.calls[event.stream]
            self._cancelled(call)
            call.let_go()

    def _cancelled(self, call: ServerCall):
        if not call.over:
            call.over = True
            try:
                call.on_cancelled()
            except Exception as error:  # must not keep the other calls of the connection from their ends
                report_unexpected(f"cancellation of a call to {call.path[:200]}", error)

    def _lost(self, wire: Wire, why: str):
        self.listener.peers.pop(self, None)
        calls, self.calls = list(self.calls.values()), {}
        for call in calls:
            self._cancelled(call)
            call.let_go()
        self.listener.count_end(why)

    def check(self, now: float):
        server, wire, link = self.listener.server, self.wire, self.link
        if not self.received_any and not link.highest and now - wire.opened > server.handshake and link._preface:
            return wire.end("no HTTP/2 preface in time", at_once=True)
        for event in link.sweep(max(1, int(server.unread / 1000.0 / CHECK_INTERVAL_SECONDS))):
            self._events(wire, [event])
        if self.pinged_at and wire.last_received_at < self.pinged_at:
            if now - self.pinged_at > server.keepalive_timeout:
                wire.end("a ping was not answered", at_once=True)
        elif not link.streams and now - wire.last_received_at > server.idle_close:
            link.go_away(why="idle")
            wire.end("idle")
        elif now - wire.last_received_at > server.keepalive:
            self.pinged_at = now
            link.ping()
        wire.flush_soon()


class Listener:
    """A gRPC server on one address. `methods` maps a path such as /package.Service/Method to its method."""

    def __init__(self, methods: dict[str, Method], limits: Limits, server: Server):
        self.methods, self.limits, self.server = methods, limits, server
        self.loop = asyncio.get_running_loop()
        self.ledger = ReceiveBudget(server.half_received)
        self.buffer_budget = BufferBudget(server.buffers)
        self.input_scheduler = InputScheduler()
        self.peers: dict[_Peer, None] = {}
        extra = max(MIN_EXTRA_CONNECTIONS, int(EXTRA_CONNECTIONS_SHARE * server.connections))
        self.connections = ConnectionBudget(server.connections + extra, server.connections)
        self.accepted = self.refused = 0
        self.end_counts: dict[str, int] = {}
        self.shutting_down = self.closed = False
        # Paths still served during shutdown, when calls of all other paths are refused.
        self.kept_paths: frozenset[str] = frozenset()
        self.acceptor = Acceptor(
            lambda waited: _Peer(self, waited).wire,
            self._on_accept_error,
            room=lambda: self.descriptors.room_for_clients(self.now()),
        )
        # Shared with the connections to invokers.
        self.descriptors = DescriptorBudget(server.descriptors, self.connections, lambda: self.acceptor.handing_over)
        self._check_timer: asyncio.TimerHandle | None = None

    async def start(self, host: str, port: int) -> int:
        """Start listening and return the port (port 0 requests any). Raises OSError if the address is not available."""
        port = await self.acceptor.start(host, port)
        self._check_timer = self.loop.call_later(CHECK_INTERVAL_SECONDS, self._check_peers)
        return port

    def now(self) -> float:
        return self.loop.time() * 1000.0

    @property
    def turned_away(self) -> int:
        """How many connections were refused, or closed to make room."""
        return self.refused + self.connections.evicted

    def _on_accept_error(self, error: OSError):
        """The process or the system has no resources for a connection. Descriptors are freed by closing another one."""
        if error.errno == errno.EMFILE and not self.descriptors.evict_idle():
            self.connections.evict_one(self.now())

    def reject_unknown(self, call: ServerCall) -> None:
        call.finish(Status.UNIMPLEMENTED, f"no method {call.path[:200]}")

    def count_end(self, why: str) -> None:
        if len(self.end_counts) < 200 or why in self.end_counts:
            self.end_counts[why] = self.end_counts.get(why, 0) + 1

    def _check_peers(self):
        now = self.now()
        for peer in list(self.peers):
            peer.check(now)
        self._check_timer = self.loop.call_later(CHECK_INTERVAL_SECONDS, self._check_peers)

    def end_if_idle(self, peer: _Peer) -> None:
        if not peer.link.streams and not peer.wire.lost:
            peer.wire._flush()
            peer.wire.end("going away")

    def go_away(self, keep: frozenset[str] = frozenset()) -> None:
        """Accept no new connections or calls; calls in progress continue.

        With paths to `keep`, new connections are still accepted, but only for these paths: all other calls are refused.
        """
        self.shutting_down, self.kept_paths = True, keep
        if not keep:
            self.acceptor.close()
        for peer in list(self.peers):
            peer.link.go_away(why="shutting down")
            peer.wire.flush_soon()

    async def drain(self, timeout: float) -> bool:
        """After `go_away`: wait until all calls are answered and written, at most `timeout` ms. True if they were."""
        self.kept_paths = frozenset()
        self.acceptor.close()
        end = self.loop.time() + timeout / 1000.0
        while any(peer.link.streams for peer in self.peers) and self.loop.time() < end:
            await asyncio.sleep(0.02)
        finished = not any(peer.link.streams for peer in self.peers)
        for peer in list(self.peers):
            peer.wire._flush()
            peer.wire.end("shut down")
        await asyncio.sleep(0.02)
        return finished

    def close(self) -> None:
        """Close the listener and all connections immediately."""
        self.closed = True
        if self._check_timer:
            self._check_timer.cancel()
        self.acceptor.close()
        for peer in list(self.peers):
            peer.wire.end("closed", at_once=True)
