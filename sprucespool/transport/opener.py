"""Opens connections to one address for the calls that wait for one, independent of the protocol spoken on them."""

from __future__ import annotations

import asyncio
from collections import OrderedDict
from typing import Generic, Protocol, TypeVar

from sprucespool.transport.errors import TRANSIENT_ERRORS, TRANSIENT_RETRY_SECONDS
from sprucespool.transport.pace import LoopPace
from sprucespool.transport.plan import PoolLimits, PoolPlan, Slot
from sprucespool.transport.wire import Wire


class Connection(Protocol):
    """A connection of an opener; `note` updates its slot."""

    wire: Wire
    slot: Slot

    def note(self) -> None: ...


Conn = TypeVar("Conn", bound=Connection)
Call = TypeVar("Call")


class Opener(Generic[Conn, Call]):
    """Base of connection pools: subclasses place and fail the waiting calls.

    Call `drop` when a connection is lost.
    """

    def __init__(self, host: str, port: int, limits: PoolLimits, seed: int, pace: LoopPace | None = None):
        # Consulted before a call is written: input that arrived during a stall, such as the disconnection of a client,
        # is read first.
        self.pace = pace
        self._placing_task: asyncio.Task | None = None
        self.host, self.port = host, port
        self.plan = PoolPlan(limits, seed)
        self.loop = asyncio.get_running_loop()
        self.conns: dict[Slot, Conn] = {}
        # Calls that wait for a connection, in order of arrival.
        self.waiting: OrderedDict[Call, None] = OrderedDict()
        self.opening: set[asyncio.Task] = set()
        self.closed = False

    def connection(self, slot: Slot) -> Conn:
        raise NotImplementedError

    def place_waiting(self) -> None:
        raise NotImplementedError

    def place_now(self) -> None:
        """Place waiting calls now, or later if the event loop has stalled since the decision to send them."""
        if self.pace is not None and self.pace.stalled:
            self.place_soon()
        else:
            self.place_waiting()

    def place_soon(self) -> None:
        """Place waiting calls once pending input, which may cancel some of them, has been read."""
        if self.waiting and not self.closed and self._placing_task is None:
            self._placing_task = self.loop.create_task(self._settle_and_place())

    async def _settle_and_place(self):
        if self.pace is not None:
            await self.pace.settle()
        self._placing_task = None
        if not self.closed:
            self.place_waiting()

    def withdraw(self, call: Call) -> None:
        """Forget a call that was cancelled: neither its place in the queue nor its message must be kept."""
        self.waiting.pop(call, None)

    def take_waiting(self) -> list[Call]:
        """Remove and return all calls that wait for a connection."""
        calls = list(self.waiting)
        self.waiting.clear()
        return calls

    def fail_unconnected(self, call: Call, why: str) -> None:
        """End a call for which no connection could be opened."""
        raise NotImplementedError

    def on_connect_failed(self, why: str) -> None:
        """Called after a failed connection attempt, for logging."""

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
        except (OSError, TimeoutError) as error:
            why = f"{type(error).__name__}: {error}"
            self.plan.slots.remove(slot)
            self.plan.backoff.failed(self.now())
            self.on_connect_failed(why)
            if not any(not other.ready for other in self.plan.slots):
                for call in self.take_waiting():
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
        """Connect, retrying transient errors of this machine until the connect timeout expires."""
        source = self.plan.limits.source
        while True:
            try:
                await self.loop.create_connection(
                    lambda: conn.wire, self.host, self.port, local_addr=(source, 0) if source else None
                )
                return
            except OSError as error:
                if error.errno not in TRANSIENT_ERRORS:
                    raise
            await asyncio.sleep(TRANSIENT_RETRY_SECONDS)

    def cancel_tasks(self) -> None:
        """Cancel pending connection attempts and placements, when the opener is closed."""
        for task in self.opening:
            task.cancel()
        if self._placing_task is not None:
            self._placing_task.cancel()

    def drop(self, conn: Conn) -> None:
        self.conns.pop(conn.slot, None)
        if conn.slot in self.plan.slots:
            self.plan.slots.remove(conn.slot)
        self.place_soon()
