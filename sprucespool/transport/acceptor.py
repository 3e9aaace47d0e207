"""Accepts connections on listening sockets and survives every failure of `accept`."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

from sprucespool.transport.errors import RESOURCE_ERRORS

# Pause while the system has no descriptor or memory for a connection; doubled after each try up to the maximum.
INITIAL_PAUSE_SECONDS, MAX_PAUSE_SECONDS = 0.01, 0.1
# An accepted connection is usually handed to its protocol within this time.
USUAL_HAND_OVER_SECONDS = 0.02
# Other errors concern only the connection being accepted; this many in one pass are treated as a lasting failure.
MAX_CONSECUTIVE_FAILURES = 16


class Acceptor:
    """Hands each accepted connection to the protocol that `factory(waited)` creates.

    `waited` is how long (ms) the connection may have waited to be accepted, or 0 if that is no longer than usual.
    `on_exhausted` is called when the system has no resources for a connection. `possible_wait_ms` returns how long (ms)
    input that arrives now may have waited for the event loop.
    """

    def __init__(
        self,
        factory: Callable[[float], asyncio.BaseProtocol],
        backlog: int,
        on_exhausted: Callable[[OSError], None],
        possible_wait_ms: Callable[[], float] = lambda: 0.0,
    ):
        self.factory, self.backlog, self.on_exhausted, self.possible_wait_ms = (
            factory,
            backlog,
            on_exhausted,
            possible_wait_ms,
        )
        self.loop = asyncio.get_running_loop()
        self.listeners: list[socket.socket] = []
        self.closed = False
        self._tasks: set[asyncio.Task] = set()
        self._pause = INITIAL_PAUSE_SECONDS
        self._resume: asyncio.TimerHandle | None = None
        # Since when accepting is paused; None while connections are accepted on arrival.
        self._paused_since: float | None = None

    async def start(self, host: str, port: int) -> int:
        """Start listening and return the port (port 0 requests any). Raises OSError if the address is not available."""
        kind, flags = socket.SOCK_STREAM, socket.AI_PASSIVE
        try:
            addresses = socket.getaddrinfo(host, port, type=kind, flags=flags | socket.AI_NUMERICHOST)
        except socket.gaierror:
            addresses = await self.loop.getaddrinfo(host, port, type=kind, flags=flags)
        try:
            for family, kind, protocol, _, address in dict.fromkeys(addresses):
                self._listen(family, kind, protocol, address)
        except OSError:
            self._close_listeners()
            raise
        for listener in self.listeners:
            self.loop.add_reader(listener, self._accept, listener)
        return self.listeners[0].getsockname()[1]

    def _listen(self, family: int, kind: int, protocol: int, address: tuple):
        listener = socket.socket(family, kind, protocol)
        self.listeners.append(listener)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if family == socket.AF_INET6:
            listener.setsockopt(socket.IPPROTO_IPV6, socket.IPV6_V6ONLY, 1)
        listener.setblocking(False)
        listener.bind(address)
        listener.listen(self.backlog)

    def _accept(self, listener: socket.socket):
        paused_since, self._paused_since = self._paused_since, None
        waited = max(
            self.possible_wait_ms(), (self.loop.time() - paused_since) * 1000.0 if paused_since is not None else 0.0
        )
        failures = 0
        for _ in range(self.backlog):
            try:
                connection, _ = listener.accept()
            except (BlockingIOError, InterruptedError):
                return
            except OSError as error:
                failures += 1
                if error.errno in RESOURCE_ERRORS or failures >= MAX_CONSECUTIVE_FAILURES:
                    return self._pause_accepting(error, paused_since)
                continue
            self._pause = INITIAL_PAUSE_SECONDS
            self._start_serving(connection, waited)

    def _pause_accepting(self, error: OSError, paused_since: float | None):
        """Pause accepting: a listener that stays readable would make the event loop spin."""
        self._paused_since = paused_since if paused_since is not None else self.loop.time()
        for listener in self.listeners:
            self.loop.remove_reader(listener)
        self._resume = self.loop.call_later(self._pause, self._resume_accepting)
        self._pause = min(MAX_PAUSE_SECONDS, 2 * self._pause)
        self.on_exhausted(error)

    def _resume_accepting(self):
        self._resume = None
        for listener in self.listeners:
            self.loop.add_reader(listener, self._accept, listener)

    def accept_waiting(self) -> None:
        """Accept pending connections now, before the event loop polls the listeners again."""
        if self._resume is None and not self.closed:
            for listener in self.listeners:
                self._accept(listener)

    def _start_serving(self, connection: socket.socket, waited: float):
        connection.setblocking(False)
        task = self.loop.create_task(self._serve(connection, self.loop.time() - waited / 1000.0))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _serve(self, connection: socket.socket, waiting_since: float):
        """`waiting_since`: when the connection may have begun to wait (loop time, seconds)."""
        waited = (
            (self.loop.time() - waiting_since) * 1000.0
            if self.loop.time() - waiting_since > USUAL_HAND_OVER_SECONDS
            else 0.0
        )
        try:
            await self.loop.connect_accepted_socket(lambda: self.factory(waited), connection)
        except OSError:
            # The connection broke before it was served; nothing was read from it.
            connection.close()

    @property
    def busy(self) -> bool:
        """Whether an accepted connection has not been handed to its protocol yet."""
        return bool(self._tasks)

    def _close_listeners(self):
        for listener in self.listeners:
            self.loop.remove_reader(listener)
            listener.close()
        self.listeners.clear()

    def close(self) -> None:
        self.closed = True
        if self._resume is not None:
            self._resume.cancel()
        self._close_listeners()
