"""Accepts connections on listening sockets and survives every failure of `accept`."""

from __future__ import annotations

import asyncio
import socket
import sys
from collections.abc import Callable

from sprucespool.transport.accept_queue import AcceptQueue
from sprucespool.transport.errors import RESOURCE_ERRORS

# Connections that may wait in the system's queue: they take no descriptor of this process. Beyond that the system lets
# clients try again, after a second first.
BACKLOG = 1024
# Accepted in one loop iteration, so that answers and input of those that stand go on while a crowd arrives.
MAX_ACCEPTS_PER_ITERATION = 16
# Pause while there is no room for another connection.
ROOM_CHECK_SECONDS = 0.01

# Pause while the system has no descriptor or memory for a connection; doubled after each try up to the maximum.
INITIAL_PAUSE_SECONDS, MAX_PAUSE_SECONDS = 0.01, 0.1
# An accepted connection is usually handed to its protocol within this time.
USUAL_HAND_OVER_SECONDS = 0.02
# Other errors concern only the connection being accepted; this many in one pass are treated as a lasting failure.
MAX_CONSECUTIVE_FAILURES = 16


def _unlimited_room() -> int:
    return sys.maxsize


class Acceptor:
    """Hands each accepted connection to the protocol that `factory(waited)` creates.

    `waited` is how long (ms) the connection may have waited to be accepted, or 0 if that is no longer than usual.
    `on_exhausted` is called when the system has no resources for a connection. `possible_wait_ms` returns how long (ms)
    input that arrives now may have waited for the event loop. `room` returns how many more connections may be accepted;
    those that were accepted and not handed over yet are not included. While there is none, connections wait in the
    system's queue.
    """

    def __init__(
        self,
        factory: Callable[[float], asyncio.BaseProtocol],
        on_exhausted: Callable[[OSError], None],
        possible_wait_ms: Callable[[], float] = lambda: 0.0,
        room: Callable[[], int] = _unlimited_room,
    ):
        self.factory, self.on_exhausted = factory, on_exhausted
        self.possible_wait_ms, self.room = possible_wait_ms, room
        self.loop = asyncio.get_running_loop()
        self.listeners: list[socket.socket] = []
        self.closed = False
        self._queues: dict[socket.socket, AcceptQueue] = {}
        self._tasks: set[asyncio.Task] = set()
        self._pause = INITIAL_PAUSE_SECONDS
        self._resume: asyncio.TimerHandle | None = None

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
        listener.listen(BACKLOG)
        self._queues[listener] = AcceptQueue(listener, BACKLOG)

    def _accept(self, listener: socket.socket):
        queue, usual_wait = self._queues[listener], self.possible_wait_ms() / 1000.0
        queue.begin(self.loop.time(), usual_wait)
        failures = 0
        for _ in range(MAX_ACCEPTS_PER_ITERATION):
            if self.room() <= len(self._tasks):
                self._pause_accepting(ROOM_CHECK_SECONDS)
                break
            try:
                connection, _ = listener.accept()
            except BlockingIOError:
                return queue.drained()
            except OSError as error:
                failures += 1
                if error.errno in RESOURCE_ERRORS or failures >= MAX_CONSECUTIVE_FAILURES:
                    self._pause_after_error(error)
                    break
                continue
            self._pause = INITIAL_PAUSE_SECONDS
            self._start_serving(connection, max(usual_wait, queue.accept(self.loop.time())))
        if queue.observe(self.loop.time()) is None and self._resume is None:
            # The queue may be empty: only another try tells.
            self.loop.call_soon(self._accept_unless_paused, listener)

    def _accept_unless_paused(self, listener: socket.socket):
        if not self.closed and self._resume is None and self._queues[listener].waiting:
            self._accept(listener)

    def _pause_after_error(self, error: OSError):
        self._pause_accepting(self._pause)
        self._pause = min(MAX_PAUSE_SECONDS, 2 * self._pause)
        self.on_exhausted(error)

    def _pause_accepting(self, seconds: float):
        """Pause accepting: a listener that stays readable would make the event loop spin."""
        if self._resume is not None:
            return
        for listener in self.listeners:
            self.loop.remove_reader(listener)
        self._resume = self.loop.call_later(seconds, self._resume_accepting)

    def _resume_accepting(self):
        self._resume = None
        for listener in self.listeners:
            self.loop.add_reader(listener, self._accept, listener)
        self.accept_waiting()

    def accept_waiting(self) -> None:
        """Accept pending connections now, before the event loop polls the listeners again."""
        for listener in self.listeners:
            if self._resume is None:
                self._accept(listener)

    def _start_serving(self, connection: socket.socket, waited: float):
        """`waited`: how long the connection may have waited, in seconds."""
        connection.setblocking(False)
        task = self.loop.create_task(self._serve(connection, self.loop.time() - waited))
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
    def handing_over(self) -> int:
        """How many connections were accepted and not handed to their protocols yet."""
        return len(self._tasks)

    @property
    def busy(self) -> bool:
        """Whether a connection waits to be accepted, or was not handed to its protocol yet."""
        return bool(self._tasks) or any(queue.waiting for queue in self._queues.values())

    def _close_listeners(self):
        for listener in self.listeners:
            self.loop.remove_reader(listener)
            listener.close()
        self.listeners.clear()
        self._queues.clear()

    def close(self) -> None:
        self.closed = True
        if self._resume is not None:
            self._resume.cancel()
        self._close_listeners()
