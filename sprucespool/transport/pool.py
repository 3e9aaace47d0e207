"""gRPC connections to one address: opened on demand, closed when idle, retried after a jittered pause."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from sprucespool.grpc.events import (
    Answered,
    Drained,
    Event,
    GoingAway,
    Message,
    PingAcknowledged,
    Reset,
    SettingsChanged,
)
from sprucespool.grpc.client import ClientLink
from sprucespool.grpc.status import Limits, Metadata
from sprucespool.transport.buffers import BufferBudget
from sprucespool.transport.descriptor_budget import DescriptorBudget
from sprucespool.transport.errors import report_unexpected
from sprucespool.transport.opener import Opener
from sprucespool.transport.pace import LoopPace
from sprucespool.transport.plan import PoolLimits, Slot
from sprucespool.transport.wire import Wire


@dataclass(slots=True)
class Unconnected:
    """The call was never sent, since no connection was available."""

    why: str


@dataclass(slots=True)
class Broken:
    """The connection was lost while the call was in progress: it may have run."""

    why: str


CallEvent = Message | Answered | Reset | Drained | Unconnected | Broken
# Write no more than the system accepts: calls that are not written yet can still be withdrawn.
HIGH_WATER_BYTES = 0
# How long a cancelled call may remain partly written before its connection is closed.
UNWRITTEN_LIMIT_SECONDS = 0.05
FINAL_EVENTS = (Answered, Reset, Unconnected, Broken)


class PoolCall:
    """One call to the address of the pool.

    `on_event` receives the events of the call. Exactly one of FINAL_EVENTS is the last; after `cancel` there are none.
    """

    __slots__ = ("pool", "path", "metadata", "deadline", "message", "on_event", "conn", "stream", "headers_end", "over")

    def __init__(
        self,
        pool: Pool,
        path: str,
        metadata: Metadata,
        deadline: float | None,
        message: bytes,
        on_event: Callable[[CallEvent], None],
    ):
        self.pool, self.path, self.metadata, self.deadline = pool, path, metadata, deadline
        self.message, self.on_event = message, on_event
        self.conn: _Conn | None = None
        self.stream, self.over = 0, False
        # Byte position in the output of the connection at which the headers of the call end.
        self.headers_end = 0

    def cancel(self) -> None:
        """Cancel the call: with RST_STREAM(CANCEL) if it was sent; otherwise it is never sent."""
        if self.over:
            return
        self.over = True
        if self.conn is None:
            self.pool.withdraw(self)
        else:
            self.conn.forget(self.stream)
            self.conn.link.reset(self.stream)
            self.conn.wire.flush_soon()
            self.conn.on_call_cancelled(self)

    def consumed(self, size: int) -> None:
        """Report `size` bytes of results as processed, so that the peer may send as many more."""
        if self.conn is not None and not self.conn.wire.lost:
            self.conn.link.consumed(self.stream, size)
            self.conn.wire.flush_soon()

    def end(self, event: CallEvent) -> None:
        if self.over:
            return
        self.over = isinstance(event, FINAL_EVENTS)
        try:
            self.on_event(event)
        except Exception as error:  # must not keep the other calls of the connection from their events
            report_unexpected(f"{type(event).__name__} of a call to {self.pool.authority}{self.path}", error)


class _Conn:
    """A connection of the pool with its calls."""

    def __init__(self, pool: Pool, slot: Slot):
        self.pool, self.slot = pool, slot
        self.calls: dict[int, PoolCall] = {}
        # Whether the connection has to make room for others.
        self.retired = False
        self.wire = Wire(
            ClientLink(pool.limits), self._events, self._lost, high_water=HIGH_WATER_BYTES, budget=pool.buffer_budget
        )
        self.wire.on_paused = self._on_paused_changed

    @property
    def link(self) -> ClientLink:
        assert isinstance(self.wire.link, ClientLink)
        return self.wire.link

    def begin(self, call: PoolCall, now: float):
        remaining = max(1.0, call.deadline - now) if call.deadline is not None else None
        call.conn, call.stream = self, self.link.call(call.path, self.pool.authority, call.metadata, remaining)
        self.calls[call.stream] = call
        call.headers_end = self.wire.written_bytes + self.link.control_size()
        self.link.send(call.stream, call.message)
        self.link.half_close(call.stream)
        call.message = b""
        self.note()
        # Written immediately: no input that would have changed the decision may arrive before the write.
        self.wire.flush()

    def on_call_cancelled(self, call: PoolCall):
        """Limit how long a cancelled call stays unwritten: the peer would begin it long after the cancellation."""
        if self.wire.accepted_bytes < call.headers_end and not self.wire.lost:
            self.pool.loop.call_later(UNWRITTEN_LIMIT_SECONDS, self._end_if_unwritten, call)

    def _end_if_unwritten(self, call: PoolCall):
        if self.wire.accepted_bytes < call.headers_end:
            self.wire.end("a cancelled call is still unwritten", at_once=True)

    def _on_paused_changed(self, wire: Wire):
        self.slot.write_blocked = wire.paused
        if not wire.paused and self.slot.ready:
            self.pool.place_soon()

    def note(self):
        slot, link = self.slot, self.link
        slot.room, slot.closing = 0 if self.retired else link.room, link.peer_leaving or self.retired
        slot.open_calls, slot.last_received_at = len(self.calls), self.wire.last_received_at
        if not self.calls:
            slot.idle_since = self.pool.now()
        self.pool.note_use(self, bool(self.calls))

    def is_quiet(self) -> bool:
        """Whether nothing that the system has received waits to be read, and nothing waits to be written."""
        return self.wire.quiet

    def end_to_make_room(self) -> None:
        """Close the connection, on which no call is open."""
        self.link.go_away()
        self.wire.end("no room for so many connections")

    def retire(self) -> None:
        """Take no new call: the connection is closed when those on it have ended."""
        self.retired = True
        self.note()

    def forget(self, stream: int):
        self.calls.pop(stream, None)
        self.note()

    def _events(self, wire: Wire, events: list[Event]):
        # The link has parsed the whole read: a call that is begun at one event must not rely on what a later one ended.
        self.note()
        for event in events:
            if isinstance(event, PingAcknowledged):
                self.slot.pinged_at = None
            elif isinstance(event, GoingAway | SettingsChanged):
                continue
            elif (call := self.calls.get(event.stream)) is not None:
                if isinstance(event, FINAL_EVENTS):
                    del self.calls[event.stream]
                call.end(event)  # type: ignore[arg-type]
        self.note()
        if self.link.read_error:
            wire.end(self.link.read_error)
        elif self.link.peer_leaving and not self.calls:
            wire.end("the peer is going away")
        elif self.slot.ready and self.slot.room > 0:
            self.pool.place_soon()

    def _lost(self, wire: Wire, why: str):
        self.pool.drop(self)
        calls, self.calls = list(self.calls.values()), {}
        for call in calls:
            call.end(Broken(why))


class Pool(Opener[_Conn, PoolCall]):
    """All connections and calls to one address."""

    def __init__(
        self,
        host: str,
        port: int,
        limits: Limits,
        pool_limits: PoolLimits,
        seed: int,
        pace: LoopPace | None = None,
        buffer_budget: BufferBudget | None = None,
        descriptors: DescriptorBudget | None = None,
    ):
        super().__init__(host, port, pool_limits, seed, pace, descriptors)
        # Shared with the pools of other addresses.
        self.buffer_budget = buffer_budget
        self.limits, self.authority = limits, f"{host}:{port}"

    def connection(self, slot: Slot) -> _Conn:
        return _Conn(self, slot)

    def fail_unconnected(self, call: PoolCall, why: str) -> None:
        call.end(Unconnected(why))

    def call(
        self,
        path: str,
        metadata: Metadata,
        timeout: float | None,
        message: bytes,
        on_event: Callable[[CallEvent], None],
    ) -> PoolCall:
        """Send one message and pass the events of the call to `on_event`; `timeout` (ms) is sent as grpc-timeout."""
        now = self.now()
        call = PoolCall(self, path, metadata, None if timeout is None else now + timeout, message, on_event)
        slot, should_open, why = self.plan.place(now, len(self.waiting))
        if slot is not None and self.pace is not None and self.pace.stalled:
            self.waiting[call] = None
            self.place_soon()
        elif slot is not None:
            self.conns[slot].begin(call, now)
        elif why or self.closed:
            # Reported in the next loop iteration, since the caller does not have the call object yet.
            self.loop.call_soon(call.end, Unconnected(why or "the pool is closed"))
        else:
            self.waiting[call] = None
            if should_open:
                self.open()
        return call

    def withdraw_waiting(self, why: str) -> None:
        """Fail all calls that wait for a connection, because no new calls may be sent to this address."""
        for call in self.take_waiting():
            call.end(Unconnected(why))

    def retire(self, why: str) -> None:
        """Begin nothing new, since another process has this address; calls in progress go on to their end."""
        self.closed = True
        self.cancel_tasks()
        self.withdraw_waiting(why)
        self.close_idle()

    def place_waiting(self) -> None:
        while self.waiting:
            call = next(iter(self.waiting))
            now = self.now()
            if call.deadline is not None and call.deadline <= now:
                del self.waiting[call]
                self.fail_unconnected(call, "its deadline passed before it could be sent")
                continue
            slot, should_open, why = self.plan.place(now, 0)
            if slot is None:
                if why:
                    del self.waiting[call]
                    self.fail_unconnected(call, why)
                    continue
                if should_open:
                    self.open()
                return
            del self.waiting[call]
            self.conns[slot].begin(call, now)

    def check(self) -> None:
        """Periodic check: close idle connections, ping silent ones and drop those that do not answer."""
        now = self.now()
        for conn in list(self.conns.values()):
            conn.slot.last_received_at = conn.wire.last_received_at
            for event in conn.link.sweep(20):
                conn._events(conn.wire, [event])
        idle, ping, dead = self.plan.check(now)
        for slot in dead:
            self.conns[slot].wire.end("a ping was not answered", at_once=True)
        for slot in idle:
            self.conns[slot].link.go_away()
            self.conns[slot].wire.end("idle")
        for slot in ping:
            slot.pinged_at = now
            self.conns[slot].link.ping()
            self.conns[slot].wire.flush_soon()

    def close_idle(self) -> None:
        for slot, conn in list(self.conns.items()):
            if not slot.open_calls:
                conn.link.go_away()
                conn.wire.end("closed as idle")

    @property
    def quiet(self) -> bool:
        return not self.conns and not self.waiting and not self.opening

    def close(self) -> None:
        self.closed = True
        self.cancel_tasks()
        for conn in list(self.conns.values()):
            conn.wire.end("the pool is closed")
        self.withdraw_waiting("the pool is closed")
