"""Relays on loopback between processes, each direction of each pair with its own faults, changed at run time.

A relay stands before one process and is the address that others know it by. Who connects is told by the address it
connects from (`source` in a controller's file): so one relay serves all pairs, and what goes back on a connection goes
by the state of the other direction.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections import deque
from collections.abc import Callable

from sprucespool.faults import Links, LinkState
from sprucespool.links import address
from sprucespool.transport.read_buffer import read_buffer

# What a relay holds of one direction before it stops reading; how late a lost piece comes, as TCP sends it again.
MAX_BUFFERED_BYTES, RESEND_DELAY_MS = 1 << 20, 200.0
# What a cut held for longer never arrives: when it ends, such a connection is reset, as boxes on the way do that forgot
# it. Else calls long given up would reach their invokers when the network heals, and look as if sent then.
STALE_MS = 400.0


class _End(asyncio.BufferedProtocol):
    """One socket of a relayed connection; what it reads goes into the pipe towards the other."""

    def __init__(self, pipe: _Pipe, made: Callable[[_End], None], lost: Callable[[_End], None]):
        self.pipe, self.made, self.lost = pipe, made, lost
        self.transport: asyncio.Transport | None = None
        self._read_buffer = read_buffer()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self.made(self)

    def get_buffer(self, sizehint: int) -> memoryview:
        return self._read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        self.pipe.take(bytes(self._read_buffer[:nbytes]))

    def eof_received(self) -> bool:
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        self.lost(self)


class _Pipe:
    """One direction of one connection."""

    def __init__(self, state: Callable[[], LinkState], chance: random.Random):
        self.state, self.chance, self.loop = state, chance, asyncio.get_running_loop()
        self.reader: _End | None = None
        self.writer: _End | None = None
        self.waiting: deque[tuple[float, bytes]] = deque()
        self.held, self.last, self.free_at = 0, 0.0, 0.0
        self.timer: asyncio.TimerHandle | None = None
        self.half_sent = self.paused = self.stopped = False
        self.stale: Callable[[], None] = lambda: None

    def take(self, data: bytes) -> None:
        state, now = self.state(), self.loop.time() * 1000.0
        due = now + state.delay + state.jitter * self.chance.random()
        if state.loss and self.chance.random() < state.loss:
            due += RESEND_DELAY_MS
        if state.bandwidth:
            self.free_at = max(now, self.free_at) + len(data) / state.bandwidth * 1000.0
            due = max(due, self.free_at)
        # A stream keeps its order: nothing overtakes what is late.
        self.last = max(self.last, due)
        self.waiting.append((self.last, data))
        self.held += len(data)
        if self.held > MAX_BUFFERED_BYTES and self.reader is not None and self.reader.transport is not None:
            self.paused = True
            self.reader.transport.pause_reading()
        self.push()

    def push(self) -> None:
        """Send what is due. Called again when a fault begins or ends."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        if self.writer is None or self.writer.transport is None or self.writer.transport.is_closing():
            return
        now, cut = self.loop.time() * 1000.0, self.state().cut
        if self.stopped and not cut and self.waiting and now - self.waiting[0][0] > STALE_MS:
            return self.stale()
        self.stopped = bool(cut)
        while self.waiting and self.waiting[0][0] <= now + 0.5:
            if cut == "stopped" and not self.half_sent:
                due, data = self.waiting[0]
                half = len(data) // 2
                self.writer.transport.write(data[:half])
                self.waiting[0], self.half_sent = (due, data[half:]), True
                self.held -= half
            if cut:
                return
            self.half_sent = False
            _, data = self.waiting.popleft()
            self.held -= len(data)
            self.writer.transport.write(data)
        if (
            self.paused
            and self.held < MAX_BUFFERED_BYTES // 2
            and self.reader is not None
            and self.reader.transport is not None
        ):
            self.paused = False
            self.reader.transport.resume_reading()
        if self.waiting and not cut:
            self.timer = self.loop.call_later(max(0.0005, (self.waiting[0][0] - now) / 1000.0), self.push)

    def close(self) -> None:
        if self.timer is not None:
            self.timer.cancel()


class _Connection:
    """A client's socket, the socket to the process behind the relay, and a pipe each way."""

    def __init__(self, relay: Relay):
        self.relay, self.source, self.over = relay, "?", False
        links, chance = relay.links, relay.chance
        self.there = _Pipe(lambda: links.between(self.source, relay.name), chance)
        self.back = _Pipe(lambda: links.between(relay.name, self.source), chance)
        self.there.stale = self.back.stale = self.end
        self.near = _End(self.there, self._accepted, self._lost)
        self.far: _End | None = None
        self.opening: asyncio.Task | None = None

    def _accepted(self, near: _End):
        assert near.transport is not None
        peer = near.transport.get_extra_info("peername")
        self.source = self.relay.sources.get(peer[0], "?") if peer else "?"
        self.relay.connections.add(self)
        self.there.reader, self.back.writer = near, near
        if self.broken():
            return self.end()
        self.opening = asyncio.get_running_loop().create_task(self._open())

    async def _open(self):
        target = self.relay.target
        try:
            if target is None:
                raise OSError("nobody stands behind the relay")
            far = _End(self.back, lambda end: None, self._lost)
            await asyncio.get_running_loop().create_connection(lambda: far, *target)
        except OSError:
            return self.end()
        if self.over:
            if far.transport is not None:
                far.transport.abort()
            return
        self.far = self.back.reader = self.there.writer = far
        self.push()

    def broken(self) -> bool:
        """Cuts that end connections rather than hold what goes over them."""
        return {self.there.state().cut, self.back.state().cut} & {"refused", "reset"} != set()

    def push(self) -> None:
        if self.broken():
            return self.end()
        self.there.push()
        if not self.over:
            self.back.push()

    def _lost(self, end: _End):
        # Last bytes first, unless they are held by a cut: a real cut hides the end of a connection as well.
        if not self.over and (self.there.state().cut or self.back.state().cut) and end is self.near:
            return
        if not self.over:
            pipe = self.there if end is self.near else self.back
            left = max(0.0, pipe.last - pipe.loop.time() * 1000.0) if pipe.waiting else 0.0
            pipe.loop.call_later(min(left, 1000.0) / 1000.0 + 0.001, self.end, False)

    def end(self, at_once: bool = True) -> None:
        if self.over:
            return
        self.over = True
        self.relay.connections.discard(self)
        for pipe in (self.there, self.back):
            pipe.close()
        for side in (self.near, self.far):
            if side is not None and side.transport is not None:
                (side.transport.abort if at_once else side.transport.close)()
        if self.opening is not None and not self.opening.done():
            self.opening.cancel()


class Relay:
    """Stands before the process `name`. `sources`: who connects from which address. Not listening is being refused."""

    def __init__(self, name: str, links: Links, sources: dict[str, str], seed: int):
        self.name, self.links, self.sources, self.chance = name, links, sources, random.Random(seed)
        self.target: tuple[str, int] | None = None
        self.connections: set[_Connection] = set()
        self.server: asyncio.Server | None = None
        self.host, self.port = "127.0.0.1", 0

    @property
    def address(self) -> str:
        return f"{self.host}:{self.port}"

    async def listen(self, host: str) -> str:
        """Take an address of its own, for good."""
        self.host = host
        await self.open()
        return self.address

    async def open(self) -> None:
        if self.server is None:
            self.server = await asyncio.get_running_loop().create_server(
                lambda: _Connection(self).near, self.host, self.port, backlog=512
            )
            self.port = self.server.sockets[0].getsockname()[1]

    def stop_listening(self) -> None:
        """As when nothing listens there: new connections are refused, old ones reset."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for connection in list(self.connections):
            connection.end()

    async def set_target(self, where: str) -> None:
        self.target = address(where)
        await self.open()

    def changed(self) -> None:
        """Faults began or ended."""
        for connection in list(self.connections):
            connection.push()

    async def close(self) -> None:
        self.stop_listening()
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.sleep(0)


class Relays:
    """All relays of a stage with the links they go by."""

    def __init__(self, seed: int, usual: LinkState | None = None):
        self.links = Links(usual or LinkState())
        self.seed = seed
        self.relays: dict[str, Relay] = {}
        self.sources: dict[str, str] = {}

    def source_of(self, name: str) -> str:
        """The loopback address that `name` connects from."""
        for where, known in self.sources.items():
            if known == name:
                return where
        number = len(self.sources) + 1
        where = f"127.41.{number // 250}.{number % 250 + 1}"
        self.sources[where] = name
        return where

    async def relay_for(self, name: str) -> Relay:
        """The relay that `name` is known by; made at the first asking."""
        if name not in self.relays:
            number = len(self.relays) + 1
            relay = self.relays[name] = Relay(name, self.links, self.sources, self.seed * 1009 + number)
            await relay.listen(f"127.42.{number // 250}.{number % 250 + 1}")
            relay.stop_listening()
        return self.relays[name]

    def changed(self) -> None:
        for relay in self.relays.values():
            relay.changed()

    async def close(self) -> None:
        for relay in self.relays.values():
            await relay.close()
