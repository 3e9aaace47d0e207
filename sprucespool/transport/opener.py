"""Connections to one address, opened for the calls that wait for one: the same whatever is spoken on them."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import Generic, Protocol, TypeVar

from sprucespool.transport.errors import TRANSIENT_ERRORS, TRANSIENT_RETRY_SECONDS
from sprucespool.transport.pace import LoopPace
from sprucespool.transport.plan import PoolLimits, PoolPlan, Slot
from sprucespool.transport.wire import Wire


class Connection(Protocol):
    """`note` brings its slot up to date."""

    wire: Wire
    slot: Slot

    def note(self) -> None: ...


Conn = TypeVar("Conn", bound=Connection)
Call = TypeVar("Call")


class Opener(Generic[Conn, Call]):
    """To be told of a lost connection by `drop`. What waits is placed, and refused, by those who know the calls."""

    def __init__(self, host: str, port: int, limits: PoolLimits, seed: int, pace: LoopPace | None = None):
        # Asked before anything is written: what came during a stall is read first, as the end of a client.
        self.pace = pace
        self._placing: asyncio.Task | None = None
        self.host, self.port = host, port
        self.plan = PoolPlan(limits, seed)
        self.loop = asyncio.get_running_loop()
        self.conns: dict[Slot, Conn] = {}
        self.waiting: deque[Call] = deque()
        self.opening: set[asyncio.Task] = set()
        self.closed = False

    def connection(self, slot: Slot) -> Conn:
        raise NotImplementedError

    def place_waiting(self) -> None:
        raise NotImplementedError

    def place_now(self) -> None:
        """Place what waits, unless the loop stood still since it was decided."""
        if self.pace is not None and self.pace.stalled:
            self.place_soon()
        else:
            self.place_waiting()

    def place_soon(self) -> None:
        """Place what waits once it is known whether it is still wanted."""
        if self.waiting and not self.closed and self._placing is None:
            self._placing = self.loop.create_task(self._settle_and_place())

    async def _settle_and_place(self):
        if self.pace is not None:
            await self.pace.settle()
        self._placing = None
        if not self.closed:
            self.place_waiting()

    def fail_unconnected(self, call: Call, why: str) -> None:
        """No connection was had for the call: end it."""
        raise NotImplementedError

    def on_connect_failed(self, why: str) -> None:
        """For the log."""

    def now(self) -> float:
        return self.loop.time() * 1000.0

    def open(self) -> None:
        slot = Slot()
        self.plan.slots.append(slot)
        task = self.loop.create_task(self._connect(slot))
        self.opening.add(task)
        task.add_done_callback(self.opening.discard)

    async def _connect(self, slot: Slot):
        conn = self.connection(slot)
        try:
            async with asyncio.timeout(self.plan.limits.connect_timeout / 1000.0):
                await self._open_socket(conn)
            if self.pace is not None:
                await self.pace.settle()
        except (OSError, TimeoutError) as problem:
            why = f"{type(problem).__name__}: {problem}"
            self.plan.slots.remove(slot)
            self.plan.backoff.failed(self.now())
            self.on_connect_failed(why)
            if not any(not other.ready for other in self.plan.slots):
                left, self.waiting = list(self.waiting), deque()
                for call in left:
                    self.fail_unconnected(call, why)
            return
        if self.closed or conn.wire.lost:
            if slot in self.plan.slots:
                self.plan.slots.remove(slot)
            return conn.wire.end("closed")
        self.plan.backoff.succeeded()
        self.conns[slot] = conn
        slot.ready, slot.idle_since = True, self.now()
        conn.note()
        self.place_waiting()

    async def _open_socket(self, conn: Conn) -> None:
        """Connect; what fails for want of something on this machine is tried again until the connect time is up."""
        source = self.plan.limits.source
        while True:
            try:
                await self.loop.create_connection(
                    lambda: conn.wire, self.host, self.port, local_addr=(source, 0) if source else None
                )
                return
            except OSError as problem:
                if problem.errno not in TRANSIENT_ERRORS:
                    raise
            await asyncio.sleep(TRANSIENT_RETRY_SECONDS)

    def cancel_tasks(self) -> None:
        """Of one that is closed."""
        for task in self.opening:
            task.cancel()
        if self._placing is not None:
            self._placing.cancel()

    def drop(self, conn: Conn) -> None:
        self.conns.pop(conn.slot, None)
        if conn.slot in self.plan.slots:
            self.plan.slots.remove(conn.slot)
        self.place_soon()
