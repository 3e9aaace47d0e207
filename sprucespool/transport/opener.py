"""Opens connections to one address for the calls that wait for one, independent of the protocol spoken on them."""

from __future__ import annotations

import asyncio
import errno
from collections import OrderedDict
from typing import Generic, Protocol, TypeVar

from sprucespool.transport.descriptor_budget import DescriptorBudget
from sprucespool.transport.errors import TRANSIENT_ERRORS, TRANSIENT_RETRY_SECONDS
from sprucespool.transport.pace import LoopPace
from sprucespool.transport.plan import PoolLimits, PoolPlan, Slot
from sprucespool.transport.wire import Wire


class Connection(Protocol):
    """A connection of an opener; `note` updates its slot."""

    wire: Wire
    slot: Slot

    def note(self) -> None: ...

    def is_quiet(self) -> bool: ...

    def end_to_make_room(self) -> None: ...

    def retire(self) -> None: ...


Conn = TypeVar("Conn", bound=Connection)
Call = TypeVar("Call")


class Opener(Generic[Conn, Call]):
    """Base of connection pools: subclasses place and fail the waiting calls.

    Call `drop` when a connection is lost.
    """

    def __init__(
        self,
        host: str,
        port: int,
        limits: PoolLimits,
        seed: int,
        pace: LoopPace | None = None,
        descriptors: DescriptorBudget | None = None,
    ):
        # Shared with all other connections of the process; without it, connections are opened whenever the plan says.
        self.descriptors = descriptors
        # Ends the wait for a descriptor.
        self._descriptor_timer: asyncio.TimerHandle | None = None
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
        if self.descriptors is not None and not self.waiting:
            self.descriptors.forget(self)

    @property
    def wants_connection(self) -> bool:
        """Whether calls wait for a connection."""
        return bool(self.waiting) and not self.closed

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

    def fail_without_descriptor(self, call: Call, why: str) -> None:
        """End a call for which this process had no descriptor: it says nothing about the peer."""
        self.fail_unconnected(call, why)

    def on_connect_failed(self, why: str) -> None:
        """Called after a failed connection attempt, for logging."""

    def now(self) -> float:
        return self.loop.time() * 1000.0

    def open(self) -> None:
        """Open a connection for the calls that wait, or wait for a descriptor first."""
        if self.descriptors is not None and not self.descriptors.may_open(self):
            return self._wait_for_descriptor()
        self._stop_waiting_for_descriptor()
        slot = Slot()
        self.plan.slots.append(slot)
        conn = self.connection(slot)
        if self.descriptors is not None:
            self.descriptors.add(conn)
            conn.wire.on_closed = lambda wire: self._release_descriptor(conn)
        task = self.loop.create_task(self._connect(conn))
        self.opening.add(task)
        task.add_done_callback(self.opening.discard)

    def _release_descriptor(self, conn: Conn) -> None:
        if self.descriptors is not None:
            self.descriptors.remove(conn)

    def _wait_for_descriptor(self) -> None:
        """Called again by `place_soon` when the budget has room; the calls wait as long as for a connection."""
        if self._descriptor_timer is None:
            timeout_seconds = self.plan.limits.connect_timeout / 1000.0
            self._descriptor_timer = self.loop.call_later(timeout_seconds, self._give_up_waiting_for_descriptor)

    def _stop_waiting_for_descriptor(self) -> None:
        if self._descriptor_timer is not None:
            self._descriptor_timer.cancel()
            self._descriptor_timer = None

    def _give_up_waiting_for_descriptor(self) -> None:
        self._descriptor_timer = None
        assert self.descriptors is not None
        self.descriptors.forget(self)
        if self.plan.slots:
            # Calls go on to wait for what is open or opening.
            return self.place_soon()
        for call in self.take_waiting():
            self.fail_without_descriptor(call, "no descriptor for a connection")

    async def _connect(self, conn: Conn):
        slot = conn.slot
        try:
            async with asyncio.timeout(self.plan.limits.connect_timeout / 1000.0):
                await self._open_socket(conn)
            if self.pace is not None:
                await self.pace.settle()
        except asyncio.CancelledError:
            self._abandon(conn)
            raise
        except (OSError, TimeoutError) as error:
            why = f"{type(error).__name__}: {error}"
            self._abandon(conn)
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

    def _abandon(self, conn: Conn) -> None:
        """The connection did not come up: it gives its slot and its descriptor back."""
        if conn.slot in self.plan.slots:
            self.plan.slots.remove(conn.slot)
        if conn.wire.transport is None:
            self._release_descriptor(conn)
        else:
            # It came up too late; the descriptor is given back when its socket is closed.
            conn.wire.end("came up too late", at_once=True)

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
                if error.errno == errno.EMFILE and self.descriptors is not None:
                    self.descriptors.evict_idle()
            await asyncio.sleep(TRANSIENT_RETRY_SECONDS)

    def cancel_tasks(self) -> None:
        """Cancel pending connection attempts and placements, when the opener is closed."""
        self._stop_waiting_for_descriptor()
        if self.descriptors is not None:
            self.descriptors.forget(self)
        for task in self.opening:
            task.cancel()
        if self._placing_task is not None:
            self._placing_task.cancel()

    def note_use(self, conn: Conn, busy: bool) -> None:
        """Called when calls on the connection have begun or ended; `busy`: whether any is open."""
        if self.descriptors is not None and conn.slot.ready:
            self.descriptors.update(conn, busy)

    def drop(self, conn: Conn) -> None:
        self.conns.pop(conn.slot, None)
        if conn.slot in self.plan.slots:
            self.plan.slots.remove(conn.slot)
        self.place_soon()
