"""The serving side: accepts connections, hands calls to their methods, ends gracefully."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from sprucespool.grpc.events import CallStarted, Drained, Event, HalfClosed, Message, PingAcknowledged, Reset
from sprucespool.grpc.streams import ReceiveBudget
from sprucespool.grpc.server import ServerLink
from sprucespool.grpc.status import Limits, Metadata, Status
from sprucespool.transport.acceptor import Acceptor
from sprucespool.transport.wire import Wire

LOOK_EVERY = 1.0


@dataclass(frozen=True, slots=True)
class Server:
    """What a listener allows; times in milliseconds."""

    connections: int = 4096
    handshake: float = 5_000.0
    idle_close: float = 600_000.0
    keepalive: float = 30_000.0
    keepalive_timeout: float = 10_000.0
    # A client that reads nothing of its answer for so long loses it.
    unread: float = 20_000.0
    # Bytes of half-received messages over all connections.
    half_received: int = 256 * 1024 * 1024


class ServerCall:
    """One call as its method sees it. Set `on_message`, `on_closed` (the client is done sending), `on_gone` (the client
    gave up or its connection went), `on_drained`; then `send` and one `finish`."""

    __slots__ = (
        "wire",
        "stream",
        "path",
        "metadata",
        "timeout",
        "began",
        "on_message",
        "on_closed",
        "on_gone",
        "on_drained",
        "over",
        "peer",
        "waited",
    )

    def __init__(self, wire: Wire, began: CallStarted, now: float, peer: str, waited: float):
        # How long the call may have waited for its connection to be accepted, in ms.
        self.waited = waited
        self.wire, self.stream, self.path = wire, began.stream, began.path
        self.metadata, self.timeout, self.began, self.peer = began.metadata, began.timeout, now, peer
        self.on_message: Callable[[bytes, int], None] = lambda data, size: None
        self.on_closed: Callable[[], None] = lambda: None
        self.on_gone: Callable[[], None] = lambda: None
        self.on_drained: Callable[[], None] = lambda: None
        self.over = False

    @property
    def link(self) -> ServerLink:
        assert isinstance(self.wire.link, ServerLink)
        return self.wire.link

    def send(self, message: bytes) -> int:
        """Bytes that wait on this call now; ask `mark` for `on_drained` when they are too many."""
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

    def finish(self, status: Status, message: str = "", trailers: Metadata | None = None) -> None:
        if self.over:
            return
        self.over = True
        if not self.wire.lost:
            self.link.finish(self.stream, status, message, trailers)
            self.wire.flush_soon()

    def reset(self, code: int) -> None:
        """End the stream without a status (a stand-in's fault, or a stream cut)."""
        if not self.over:
            self.over = True
            self.link.reset(self.stream, code)
            self.wire.flush_soon()


Method = Callable[[ServerCall], None]


def unary(serve: Callable[[ServerCall, bytes], None]) -> Method:
    """A method of one request message: `serve` gets it when the client is done sending."""

    def method(call: ServerCall):
        got: list[bytes] = []

        def message(data: bytes, size: int):
            call.consumed(size)
            if got:
                call.on_message = lambda data, size: None
                call.finish(Status.INVALID_ARGUMENT, "expected one message")
            got.append(data)

        def closed():
            if call.over:
                return
            if got:
                serve(call, got[0])
            else:
                call.finish(Status.INVALID_ARGUMENT, "expected one message, got none")

        call.on_message, call.on_closed = message, closed

    return method


class _Peer:
    """One accepted connection."""

    def __init__(self, listener: Listener, waited: float):
        self.listener, self.waited = listener, waited
        self.calls: dict[int, ServerCall] = {}
        self.wire = Wire(ServerLink(listener.limits, listener.ledger), self._events, self._lost, self._made)
        self.name, self.heard_any, self.pinged = "?", False, 0.0

    @property
    def link(self) -> ServerLink:
        assert isinstance(self.wire.link, ServerLink)
        return self.wire.link

    def _made(self, wire: Wire):
        assert wire.transport is not None
        name = wire.transport.get_extra_info("peername")
        self.name = f"{name[0]}:{name[1]}" if isinstance(name, tuple) else "?"
        if self.listener.closed:
            # Accepted by the loop just before the listener closed, made just after: served, it would keep alive what
            # was told to end.
            wire.end("closed", at_once=True)
            return
        if len(self.listener.peers) >= self.listener.server.connections or (
            self.listener.leaving and not self.listener.kept
        ):
            self.listener.turned_away += 1
            wire.end("too many connections", at_once=True)
            return
        self.listener.peers[self] = None
        self.listener.accepted += 1

    def _events(self, wire: Wire, events: list[Event]):
        waited = self.waited + wire.heard - wire.opened if self.waited else 0.0
        self.waited, self.heard_any = 0.0, True
        for event in events:
            if isinstance(event, CallStarted):
                call = ServerCall(wire, event, wire.heard, self.name, waited)
                method = self.listener.methods.get(event.path)
                if method is None:
                    self.listener.unknown(call)
                elif self.listener.leaving and self.listener.kept and event.path not in self.listener.kept:
                    call.finish(Status.UNAVAILABLE, "shutting down")
                else:
                    self.calls[event.stream] = call
                    method(call)
            elif isinstance(event, PingAcknowledged):
                self.pinged = 0.0
            elif (found := self.calls.get(getattr(event, "stream", 0))) is not None:
                self._tell(found, event)
        if len(self.calls) > 64 or not self.link.streams:
            # Answered ones leave with their streams.
            self.calls = {n: call for n, call in self.calls.items() if n in self.link.streams}
        if self.listener.leaving and not self.listener.kept and not self.link.streams:
            self.listener.loop.call_soon(self.listener.end_if_quiet, self)

    def _tell(self, call: ServerCall, event: Event):
        if isinstance(event, Message):
            if call.over:
                call.consumed(event.size)
            else:
                call.on_message(event.data, event.size)
        elif isinstance(event, HalfClosed):
            if not call.over:
                call.on_closed()
        elif isinstance(event, Drained):
            call.on_drained()
        elif isinstance(event, Reset):
            del self.calls[event.stream]
            self._gone(call)

    def _gone(self, call: ServerCall):
        if not call.over:
            call.over = True
            call.on_gone()

    def _lost(self, wire: Wire, why: str):
        self.listener.peers.pop(self, None)
        calls, self.calls = list(self.calls.values()), {}
        for call in calls:
            self._gone(call)
        self.listener.lost(why)

    def look(self, now: float):
        server, wire, link = self.listener.server, self.wire, self.link
        if not self.heard_any and not link.highest and now - wire.opened > server.handshake and link._preface:
            return wire.end("no HTTP/2 preface in time", at_once=True)
        for event in link.sweep(max(1, int(server.unread / 1000.0 / LOOK_EVERY))):
            self._events(wire, [event])
        if self.pinged and wire.heard < self.pinged:
            if now - self.pinged > server.keepalive_timeout:
                wire.end("a ping was not answered", at_once=True)
        elif not link.streams and now - wire.heard > server.idle_close:
            link.go_away(why="idle")
            wire.end("idle")
        elif now - wire.heard > server.keepalive:
            self.pinged = now
            link.ping()
        wire.flush_soon()


BACKLOG = 1024


class Listener:
    """A gRPC server on one address. `methods` maps a path such as /package.Service/Method to what serves it."""

    def __init__(self, methods: dict[str, Method], limits: Limits, server: Server):
        self.methods, self.limits, self.server = methods, limits, server
        self.loop = asyncio.get_running_loop()
        self.ledger = ReceiveBudget(server.half_received)
        self.peers: dict[_Peer, None] = {}
        self.accepted = self.turned_away = 0
        self.ends: dict[str, int] = {}
        self.leaving = self.closed = False
        # Paths that are served until the end, when all others are refused.
        self.kept: frozenset[str] = frozenset()
        self.acceptor = Acceptor(lambda waited: _Peer(self, waited).wire, BACKLOG, lambda problem: None)
        self._look: asyncio.TimerHandle | None = None

    async def start(self, host: str, port: int) -> int:
        """Listen; gives the port (0 asks for any). Raises OSError where the address can't be had."""
        port = await self.acceptor.start(host, port)
        self._look = self.loop.call_later(LOOK_EVERY, self._look_round)
        return port

    def unknown(self, call: ServerCall) -> None:
        call.finish(Status.UNIMPLEMENTED, f"no method {call.path[:200]}")

    def lost(self, why: str) -> None:
        if len(self.ends) < 200 or why in self.ends:
            self.ends[why] = self.ends.get(why, 0) + 1

    def _look_round(self):
        now = self.loop.time() * 1000.0
        for peer in list(self.peers):
            peer.look(now)
        self._look = self.loop.call_later(LOOK_EVERY, self._look_round)

    def end_if_quiet(self, peer: _Peer) -> None:
        if not peer.link.streams and not peer.wire.lost:
            peer.wire._flush()
            peer.wire.end("going away")

    def go_away(self, keep: frozenset[str] = frozenset()) -> None:
        """No new connections and no new calls; those begun go on. With paths to `keep`, new connections are taken for
        these alone: calls of all others are refused."""
        self.leaving, self.kept = True, keep
        if not keep:
            self.acceptor.close()
        for peer in list(self.peers):
            peer.link.go_away(why="shutting down")
            peer.wire.flush_soon()

    async def drain(self, timeout: float) -> bool:
        """After `go_away`: wait until all calls are answered and written, at most `timeout` ms. True if they were."""
        self.kept = frozenset()
        self.acceptor.close()
        end = self.loop.time() + timeout / 1000.0
        while any(peer.link.streams for peer in self.peers) and self.loop.time() < end:
            await asyncio.sleep(0.02)
        quiet = not any(peer.link.streams for peer in self.peers)
        for peer in list(self.peers):
            peer.wire._flush()
            peer.wire.end("shut down")
        await asyncio.sleep(0.02)
        return quiet

    def close(self) -> None:
        """At once."""
        self.closed = True
        if self._look:
            self._look.cancel()
        self.acceptor.close()
        for peer in list(self.peers):
            peer.wire.end("closed", at_once=True)
