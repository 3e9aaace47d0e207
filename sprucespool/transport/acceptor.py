"""Accepts connections on listening sockets, whatever `accept` fails with."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

from sprucespool.transport.errors import EXHAUSTED

# Seconds between tries while the system has no descriptor or memory for a connection: doubled from one to the other.
FIRST_PAUSE, LAST_PAUSE = 0.01, 0.1
# Seconds in which a connection that was accepted is usually handed over.
USUAL = 0.02
# Other failures belong to the one connection that was to be accepted; so many in a row are a lasting trouble.
MOST_FAILURES = 16


class Acceptor:
    """Hands each accepted connection to the protocol that `factory(waited)` makes.

    `waited` is how long (ms) the connection may have waited to be accepted, beyond the usual. `exhausted` is told when
    the system has no room for a connection. `unread` gives how long (ms) what comes now may have waited for the loop.
    """

    def __init__(
        self,
        factory: Callable[[float], asyncio.BaseProtocol],
        backlog: int,
        exhausted: Callable[[OSError], None],
        possible_wait_ms: Callable[[], float] = lambda: 0.0,
    ):
        self.factory, self.backlog, self.exhausted, self.possible_wait_ms = (
            factory,
            backlog,
            exhausted,
            possible_wait_ms,
        )
        self.loop = asyncio.get_running_loop()
        self.listeners: list[socket.socket] = []
        self.closed = False
        self._tasks: set[asyncio.Task] = set()
        self._pause = FIRST_PAUSE
        self._resume: asyncio.TimerHandle | None = None
        # Since when connections may wait without being accepted; None while they are accepted as they come.
        self._held_since: float | None = None

    async def start(self, host: str, port: int) -> int:
        """Listen; gives the port (0 asks for any). Raises OSError where the address can't be had."""
        kind, flags = socket.SOCK_STREAM, socket.AI_PASSIVE
        try:
            found = socket.getaddrinfo(host, port, type=kind, flags=flags | socket.AI_NUMERICHOST)
        except socket.gaierror:
            found = await self.loop.getaddrinfo(host, port, type=kind, flags=flags)
        try:
            for family, kind, protocol, _, address in dict.fromkeys(found):
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
        held, self._held_since = self._held_since, None
        waited = max(self.possible_wait_ms(), (self.loop.time() - held) * 1000.0 if held is not None else 0.0)
        failures = 0
        for _ in range(self.backlog):
            try:
                connection, _ = listener.accept()
            except (BlockingIOError, InterruptedError):
                return
            except OSError as problem:
                failures += 1
                if problem.errno in EXHAUSTED or failures >= MOST_FAILURES:
                    return self._hold(problem, held)
                continue
            self._pause = FIRST_PAUSE
            self._hand_over(connection, waited)

    def _hold(self, problem: OSError, held: float | None):
        """Stop accepting for a moment: a listener that stays readable would spin the loop."""
        self._held_since = held if held is not None else self.loop.time()
        for listener in self.listeners:
            self.loop.remove_reader(listener)
        self._resume = self.loop.call_later(self._pause, self._go_on)
        self._pause = min(LAST_PAUSE, 2 * self._pause)
        self.exhausted(problem)

    def _go_on(self):
        self._resume = None
        for listener in self.listeners:
            self.loop.add_reader(listener, self._accept, listener)

    def accept_waiting(self) -> None:
        """Accept what waits now, ahead of the loop's next look."""
        if self._resume is None and not self.closed:
            for listener in self.listeners:
                self._accept(listener)

    def _hand_over(self, connection: socket.socket, waited: float):
        connection.setblocking(False)
        task = self.loop.create_task(self._serve(connection, self.loop.time() - waited / 1000.0))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _serve(self, connection: socket.socket, since: float):
        """`since`: when the connection may have begun to wait (loop time, seconds)."""
        waited = (self.loop.time() - since) * 1000.0 if self.loop.time() - since > USUAL else 0.0
        try:
            await self.loop.connect_accepted_socket(lambda: self.factory(waited), connection)
        except OSError:
            # It broke before it was served: nothing was read of it.
            connection.close()

    @property
    def busy(self) -> bool:
        """Whether an accepted connection has not been handed over yet."""
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
