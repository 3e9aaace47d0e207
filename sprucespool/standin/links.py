"""Relays on loopback between processes, each direction of each pair with its own faults, changed at run time.

A relay listens at the address under which other processes reach one process. It identifies the connecting process by
its source address (`source` in a controller's file), so one relay serves all pairs; data on the way back follows the
state of the link in the other direction.
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

# How much a relay buffers per direction before it stops reading; the delay of a lost segment that TCP resends.
MAX_BUFFERED_BYTES, RESEND_DELAY_MS = 1 << 20, 200.0
# Data that a cut held back for longer is never delivered: when the cut ends, the connection is reset, as a middlebox
# does that has dropped its state. Otherwise calls long given up would reach their invokers when the network heals and
# look as if they were sent then.
STALE_MS = 400.0


class _Socket(asyncio.BufferedProtocol):
    """One of the two sockets of a relayed connection; it forwards what it reads to the other."""

    def __init__(self, pipe: _Direction, on_connected: Callable[[_Socket], None], on_lost: Callable[[_Socket], None]):
        self.pipe, self.on_connected, self.on_lost = pipe, on_connected, on_lost
        self.transport: asyncio.Transport | None = None
        self._read_buffer = read_buffer()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self.on_connected(self)

    def get_buffer(self, sizehint: int) -> memoryview:
        return self._read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        self.pipe.take(bytes(self._read_buffer[:nbytes]))

    def eof_received(self) -> bool:
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        self.on_lost(self)


class _Direction:
    """One direction of one connection."""

    def __init__(self, state: Callable[[], LinkState], rng: random.Random):
        self.state, self.rng, self.loop = state, rng, asyncio.get_running_loop()
        self.reader: _Socket | None = None
        self.writer: _Socket | None = None
        self.queue: deque[tuple[float, bytes]] = deque()
        self.buffered_bytes, self.last_due, self.free_at = 0, 0.0, 0.0
        self.timer: asyncio.TimerHandle | None = None
        self.half_sent = self.paused = self.stopped = False
        self.on_stale: Callable[[], None] = lambda: None

    def take(self, data: bytes) -> None:
        state, now = self.state(), self.loop.time() * 1000.0
        due = now + state.delay + state.jitter * self.rng.random()
        if state.loss and self.rng.random() < state.loss:
            due += RESEND_DELAY_MS
        if state.bandwidth:
            self.free_at = max(now, self.free_at) + len(data) / state.bandwidth * 1000.0
            due = max(due, self.free_at)
        # A stream keeps its order: later data waits for delayed data.
        self.last_due = max(self.last_due, due)
        self.queue.append((self.last_due, data))
        self.buffered_bytes += len(data)
        if self.buffered_bytes > MAX_BUFFERED_BYTES and self.reader is not None and self.reader.transport is not None:
            self.paused = True
            self.reader.transport.pause_reading()
        self.push()

    def push(self) -> None:
        """Send the data that is due. Also called when a fault starts or ends."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        if self.writer is None or self.writer.transport is None or self.writer.transport.is_closing():
            return
        now, cut = self.loop.time() * 1000.0, self.state().cut
        if self.stopped and not cut and self.queue and now - self.queue[0][0] > STALE_MS:
            return self.on_stale()
        self.stopped = bool(cut)
        while self.queue and self.queue[0][0] <= now + 0.5:
            if cut == "stopped" and not self.half_sent:
                due, data = self.queue[0]
                half = len(data) // 2
                self.writer.transport.write(data[:half])
                self.queue[0], self.half_sent = (due, data[half:]), True
                self.buffered_bytes -= half
            if cut:
                return
            self.half_sent = False
            _, data = self.queue.popleft()
            self.buffered_bytes -= len(data)
            self.writer.transport.write(data)
        if (
            self.paused
            and self.buffered_bytes < MAX_BUFFERED_BYTES // 2
            and self.reader is not None
            and self.reader.transport is not None
        ):
            self.paused = False
            self.reader.transport.resume_reading()
        if self.queue and not cut:
            self.timer = self.loop.call_later(max(0.0005, (self.queue[0][0] - now) / 1000.0), self.push)

    def close(self) -> None:
        if self.timer is not None:
            self.timer.cancel()


class _Connection:
    """The client's socket, the socket to the process behind the relay, and the two directions between them."""

    def __init__(self, relay: Relay):
        self.relay, self.source, self.closed = relay, "?", False
        links, rng = relay.links, relay.rng
        self.forward = _Direction(lambda: links.between(self.source, relay.name), rng)
        self.backward = _Direction(lambda: links.between(relay.name, self.source), rng)
        self.forward.on_stale = self.backward.on_stale = self.end
        self.near = _Socket(self.forward, self._accepted, self._lost)
        self.far: _Socket | None = None
        self.opening: asyncio.Task | None = None

    def _accepted(self, near: _Socket):
        assert near.transport is not None
        peer = near.transport.get_extra_info("peername")
        self.source = self.relay.sources.get(peer[0], "?") if peer else "?"
        self.relay.connections.add(self)
        self.forward.reader, self.backward.writer = near, near
        if self.broken():
            return self.end()
        self.opening = asyncio.get_running_loop().create_task(self._open())

    async def _open(self):
        target = self.relay.target
        try:
            if target is None:
                raise OSError("no process behind the relay")
            far = _Socket(self.backward, lambda end: None, self._lost)
            await asyncio.get_running_loop().create_connection(lambda: far, *target)
        except OSError:
            return self.end()
        if self.closed:
            if far.transport is not None:
                far.transport.abort()
            return
        self.far = self.backward.reader = self.forward.writer = far
        self.push()

    def broken(self) -> bool:
        """Whether a fault is active that ends connections rather than holding data back."""
        return {self.forward.state().cut, self.backward.state().cut} & {"refused", "reset"} != set()

    def push(self) -> None:
        if self.broken():
            return self.end()
        self.forward.push()
        if not self.closed:
            self.backward.push()

    def _lost(self, end: _Socket):
        # The last bytes are sent first. During a cut nothing is done: a real cut hides the end of a connection as well.
        if not self.closed and (self.forward.state().cut or self.backward.state().cut) and end is self.near:
            return
        if not self.closed:
            pipe = self.forward if end is self.near else self.backward
            delay = max(0.0, pipe.last_due - pipe.loop.time() * 1000.0) if pipe.queue else 0.0
            pipe.loop.call_later(min(delay, 1000.0) / 1000.0 + 0.001, self.end, False)

    def end(self, at_once: bool = True) -> None:
        if self.closed:
            return
        self.closed = True
        self.relay.connections.discard(self)
        for pipe in (self.forward, self.backward):
            pipe.close()
        for side in (self.near, self.far):
            if side is not None and side.transport is not None:
                (side.transport.abort if at_once else side.transport.close)()
        if self.opening is not None and not self.opening.done():
            self.opening.cancel()


class Relay:
    """The relay of the process `name`. `sources`: the processes by source address. A relay that does not listen refuses
    connections."""

    def __init__(self, name: str, links: Links, sources: dict[str, str], seed: int):
        self.name, self.links, self.sources, self.rng = name, links, sources, random.Random(seed)
        self.target: tuple[str, int] | None = None
        self.connections: set[_Connection] = set()
        self.server: asyncio.Server | None = None
        self.host, self.port = "127.0.0.1", 0

    @property
    def address(self) -> str:
        return f"{self.host}:{self.port}"

    async def listen(self, host: str) -> str:
        """Listen on an address that stays the relay's own."""
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
        """Refuse new connections and reset open ones, as if the process did not exist."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for connection in list(self.connections):
            connection.end()

    async def set_target(self, target_address: str) -> None:
        self.target = address(target_address)
        await self.open()

    def changed(self) -> None:
        """Apply faults that started or ended."""
        for connection in list(self.connections):
            connection.push()

    async def close(self) -> None:
        self.stop_listening()
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.sleep(0)


class Relays:
    """All relays of a stage, with the states of the links."""

    def __init__(self, seed: int, usual: LinkState | None = None):
        self.links = Links(usual or LinkState())
        self.seed = seed
        self.relays: dict[str, Relay] = {}
        self.sources: dict[str, str] = {}

    def source_of(self, name: str) -> str:
        """The loopback address that `name` connects from."""
        for source_address, known in self.sources.items():
            if known == name:
                return source_address
        number = len(self.sources) + 1
        source_address = f"127.41.{number // 250}.{number % 250 + 1}"
        self.sources[source_address] = name
        return source_address

    async def relay_for(self, name: str) -> Relay:
        """The relay of the process `name`, created on first use."""
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
