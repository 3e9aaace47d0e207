"""Connections of clients: accepted, watched and cut; what their requests mean is the door's."""

from __future__ import annotations

import asyncio
import errno
from collections.abc import Callable
from typing import Protocol

from sprucespool.node.logs import Log
from sprucespool.relay.frames import FrontLink, ReadyAsked, Request, TakenBack, Terms
from sprucespool.transport.acceptor import Acceptor
from sprucespool.transport.wire import Wire

LOOK_EVERY = 0.25
# A client must have sent one whole frame by then, each frame must be whole so long after it began, and answers must be
# read so soon; a client that is to hear of an error is owed it within three seconds.
SILENT, HALF, UNREAD = 1_800.0, 1_800.0, 2_500.0
IDLE = 10_000.0
# The last words to a bad client come after a pause, as it would be back with the same thing at once; then its
# input is thrown away for a while, or the words would be lost with the connection.
PAUSE, LINGER = 400.0, 1_500.0
HIGH_WATER = 64 * 1024
# Of the descriptors: how many clients may hold, and how many a turn of the loop may accept on top.
PART, PART_ACCEPTED = 0.55, 0.15
# Of the memory: what half-received frames may hold over all connections.
HALF_RECEIVED = 0.06


class Calls(Protocol):
    """What the door does with requests."""

    ready: bool

    def asked(self, peer: Peer, request: Request) -> bool: ...

    def taken_back(self, peer: Peer, stream: int) -> None: ...


class Peer:
    """One client's connection."""

    __slots__ = ("front", "wire", "link", "idle_since", "unread_since", "calls", "_waited")

    def __init__(self, front: ClientListener, waited: float):
        self.front = front
        # How long the connection may have waited to be accepted; None once something was read.
        self._waited: float | None = waited
        self.link = FrontLink(front.terms)
        self.wire = Wire(self.link, self._events, self._lost, self._made, HIGH_WATER)
        self.wire.linger, self.wire.on_closed = LINGER, self._closed
        self.idle_since = self.wire.opened
        self.unread_since = 0.0
        # What the door holds for each open stream.
        self.calls: dict[int, object] = {}

    def _made(self, wire: Wire):
        self.front.made(self)

    def _events(self, wire: Wire, events: list):
        calls = self.front.calls
        for event in events:
            if isinstance(event, Request):
                if not calls.asked(self, event):
                    return self.cut("an id that is in use", self.front.pause)
            elif isinstance(event, TakenBack):
                calls.taken_back(self, event.stream)
            elif isinstance(event, ReadyAsked):
                self.link.readiness(event.stream, calls.ready)
        self.idle_since = wire.heard
        self._waited = None

    @property
    def waited(self) -> float:
        """How long what is read now may have waited with the connection, at the most (ms); 0: no longer than usual."""
        return self._waited + self.front.now() - self.wire.opened if self._waited else 0.0

    def _lost(self, wire: Wire, why: str):
        for stream in list(self.calls):
            self.front.calls.taken_back(self, stream)
        self.front.gone(self, why)

    def _closed(self, wire: Wire):
        self.front.closed(self)

    def answered(self, stream: int) -> None:
        """What was written for the stream goes out with this turn."""
        self.calls.pop(stream, None)
        self.idle_since = self.front.now()
        self.wire.flush_soon()

    def cut(self, why: str, pause: float = 0.0) -> None:
        """End the connection with a word of error, said after `pause` ms."""
        self.link.last_word()
        self.wire.delay = pause
        self.wire.end(why)

    def look(self, now: float) -> None:
        wire, link = self.wire, self.link
        if not wire.paused:
            self.unread_since = 0.0
        elif not self.unread_since:
            self.unread_since = now
        elif now - self.unread_since > UNREAD:
            return wire.end("a client that does not read", at_once=True)
        if not link.frames and now - wire.opened > SILENT:
            self.cut("nothing whole came")
        elif link.rest.half(now) > HALF:
            self.cut("half a frame")
        elif not self.calls and not link.rest and now - self.idle_since > IDLE:
            wire.linger = 0.0
            wire.end("idle")


class ClientListener:
    """The listener for clients."""

    def __init__(
        self, terms: Terms, calls: Calls, log: Log, sockets: int, memory_mb: float, unread: Callable[[], float]
    ):
        self.terms, self.calls, self.log = terms, calls, log
        self.loop = asyncio.get_running_loop()
        # In the order in which they came. `open` are read, `all` hold a descriptor.
        self.open: dict[Peer, None] = {}
        self.all: dict[Peer, None] = {}
        self.most = max(16, int(PART * sockets))
        self.backlog = max(16, int(PART_ACCEPTED * sockets))
        self.most_half = int(HALF_RECEIVED * memory_mb * 2**20)
        self.accepted = self.evicted = self.bad = 0
        self.acceptor = Acceptor(lambda waited: Peer(self, waited).wire, self.backlog, self._exhausted, unread)
        self.timer: asyncio.TimerHandle | None = None

    def now(self) -> float:
        return self.loop.time() * 1000.0

    @property
    def pause(self) -> float:
        """Before the last words to a bad client: none where descriptors run short."""
        return PAUSE if 2 * len(self.all) < self.most else 0.0

    async def start(self, host: str, port: int) -> int:
        port = await self.acceptor.start(host, port)
        self.timer = self.loop.call_later(LOOK_EVERY, self._look)
        return port

    def _exhausted(self, problem: OSError):
        """No descriptor or memory for a new connection: one that nobody uses makes room."""
        self.log.info("connection not accepted yet", why=f"{type(problem).__name__}: {problem}")
        unused = next((peer for peer in self.open if not peer.calls and not peer.link.rest), None)
        if problem.errno == errno.EMFILE and (unused is not None or len(self.all) > len(self.open)):
            self._evict()

    def made(self, peer: Peer) -> None:
        self.accepted += 1
        self.open[peer] = self.all[peer] = None
        peer.wire.delay = self.pause
        if len(self.all) > self.most:
            self._evict()

    def _evict(self):
        """Room for a newcomer: from those that only linger, then from silent ones, then from idle ones, oldest
        first; a connection with an open request is the last to go."""
        self.evicted += 1
        for peer in self.all:
            if peer.wire.lost:
                if peer.wire.transport is not None:
                    peer.wire.transport.abort()
                del self.all[peer]
                return
        victim = next((peer for peer in self.open if not peer.link.frames), None)
        victim = victim or next((peer for peer in self.open if not peer.calls), None) or next(iter(self.open))
        victim.wire.linger = 0.0
        victim.cut("no room for so many connections")

    def gone(self, peer: Peer, why: str) -> None:
        self.open.pop(peer, None)
        if peer.wire.why and why != "idle":
            self.bad += 1
            self.log.info("client cut", why=why)

    def closed(self, peer: Peer) -> None:
        self.all.pop(peer, None)

    def _look(self):
        self.timer = self.loop.call_later(LOOK_EVERY, self._look)
        now, half = self.now(), 0
        for peer in list(self.open):
            half += len(peer.link.rest)
            peer.look(now)
            if half > self.most_half and peer.link.rest:
                peer.cut("too much is half received", self.pause)

    def no_more(self) -> None:
        """Ask for no new requests; what comes all the same is answered, also on new connections."""
        for peer in list(self.open):
            peer.link.no_more()
            peer.wire.flush_soon()

    @property
    def half_received(self) -> bool:
        """Whether a request is on its way in, on any connection."""
        return any(peer.link.rest for peer in self.open)

    @property
    def unwritten(self) -> bool:
        """Whether an answer is still to be written, on any connection."""
        return any(peer.wire.unwritten for peer in self.open)

    def close(self) -> None:
        if self.timer:
            self.timer.cancel()
        self.acceptor.close()
        for peer in list(self.open):
            peer.wire.flush()
            peer.wire.linger = 0.0
            peer.wire.end("the controller ends")
