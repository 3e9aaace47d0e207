"""Connections to one invoker, opened at need, closed when idle, tried again after a jittered pause."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from sprucespool.grpc.events import Answered, Drained, Event, GoingAway, Message, PingAcknowledged, Reset
from sprucespool.grpc.client import ClientLink
from sprucespool.grpc.status import Limits, Metadata
from sprucespool.transport.opener import Opener
from sprucespool.transport.pace import LoopPace
from sprucespool.transport.plan import PoolLimits, Slot
from sprucespool.transport.wire import Wire


@dataclass(slots=True)
class Unconnected:
    """The call never left: no connection was had."""

    why: str


@dataclass(slots=True)
class Broken:
    """The connection went while the call was out: it may have run."""

    why: str


Heard = Message | Answered | Reset | Drained | Unconnected | Broken
# Nothing is written ahead of what the system takes: what waits here can still be withdrawn.
HIGH_WATER = 0
# Seconds for which a call that was taken back may be left half written.
UNWRITTEN = 0.05
ENDS = (Answered, Reset, Unconnected, Broken)


class PoolCall:
    """One call of a client. `heard` gets its events; the last is one of ENDS, exactly one. After `cancel`, none."""

    __slots__ = ("pool", "path", "metadata", "until", "messages", "heard", "conn", "stream", "begun_at", "over")

    def __init__(
        self,
        pool: Pool,
        path: str,
        metadata: Metadata,
        until: float | None,
        message: bytes,
        heard: Callable[[Heard], None],
    ):
        self.pool, self.path, self.metadata, self.until = pool, path, metadata, until
        self.messages, self.heard = message, heard
        self.conn: _Conn | None = None
        self.stream, self.over = 0, False
        # What the system has taken of the connection's bytes when it has the call's headers.
        self.begun_at = 0

    def cancel(self) -> None:
        """Nobody waits any more: RST_STREAM(CANCEL) if it left, else it never does."""
        if self.over:
            return
        self.over = True
        if self.conn is not None:
            self.conn.forget(self.stream)
            self.conn.link.reset(self.stream)
            self.conn.wire.flush_soon()
            self.conn.taken_back(self)

    def consumed(self, size: int) -> None:
        """So many bytes of results left for good: the invoker may send as many more."""
        if self.conn is not None and not self.conn.wire.lost:
            self.conn.link.consumed(self.stream, size)
            self.conn.wire.flush_soon()

    def end(self, event: Heard) -> None:
        if not self.over:
            self.over = isinstance(event, ENDS)
            self.heard(event)


class _Conn:
    """A connection of the pool with the calls on it."""

    def __init__(self, pool: Pool, slot: Slot):
        self.pool, self.slot = pool, slot
        self.calls: dict[int, PoolCall] = {}
        self.wire = Wire(ClientLink(pool.limits), self._events, self._lost, high_water=HIGH_WATER)
        self.wire.on_paused = self._paused

    @property
    def link(self) -> ClientLink:
        assert isinstance(self.wire.link, ClientLink)
        return self.wire.link

    def begin(self, call: PoolCall, now: float):
        left = max(1.0, call.until - now) if call.until is not None else None
        call.conn, call.stream = self, self.link.call(call.path, self.pool.authority, call.metadata, left)
        self.calls[call.stream] = call
        call.begun_at = self.wire.handed + self.link.control_size()
        self.link.send(call.stream, call.messages)
        self.link.half_close(call.stream)
        call.messages = b""
        self.note()
        # At once: between a decision and its writing nothing may come that would have changed it.
        self.wire.flush()

    def taken_back(self, call: PoolCall):
        """Against a call that begins at the peer long after it was called off, when the peer reads again."""
        if self.wire.taken < call.begun_at and not self.wire.lost:
            self.pool.loop.call_later(UNWRITTEN, self._end_if_unwritten, call)

    def _end_if_unwritten(self, call: PoolCall):
        if self.wire.taken < call.begun_at:
            self.wire.end("a call taken back is still unwritten", at_once=True)

    def _paused(self, wire: Wire):
        self.slot.held = wire.paused
        if not wire.paused and self.slot.ready:
            self.pool.place_soon()

    def note(self):
        self.slot.room, self.slot.open_calls, self.slot.heard = self.link.room, len(self.calls), self.wire.heard
        if not self.calls:
            self.slot.idle_since = self.pool.now()

    def forget(self, stream: int):
        self.calls.pop(stream, None)
        self.note()

    def _events(self, wire: Wire, events: list[Event]):
        for event in events:
            if isinstance(event, GoingAway):
                self.slot.room, self.slot.leaving = 0, True
            elif isinstance(event, PingAcknowledged):
                self.slot.pinged = None
            elif (call := self.calls.get(event.stream)) is not None:
                if isinstance(event, ENDS):
                    del self.calls[event.stream]
                call.end(event)  # type: ignore[arg-type]
        self.note()
        if self.link.peer_leaving and not self.calls:
            wire.end("the invoker goes away")
        elif self.slot.ready and self.slot.room > 0:
            self.pool.place_soon()

    def _lost(self, wire: Wire, why: str):
        self.pool.drop(self)
        calls, self.calls = list(self.calls.values()), {}
        for call in calls:
            call.end(Broken(why))


class Pool(Opener[_Conn, PoolCall]):
    """All that goes to one address."""

    def __init__(
        self,
        host: str,
        port: int,
        limits: Limits,
        pool_limits: PoolLimits,
        seed: int,
        pace: LoopPace | None = None,
    ):
        super().__init__(host, port, pool_limits, seed, pace)
        self.limits, self.authority = limits, f"{host}:{port}"

    def connection(self, slot: Slot) -> _Conn:
        return _Conn(self, slot)

    def unconnected(self, call: PoolCall, why: str) -> None:
        call.end(Unconnected(why))

    def call(
        self, path: str, metadata: Metadata, timeout: float | None, message: bytes, heard: Callable[[Heard], None]
    ) -> PoolCall:
        """Send one message and hear what comes back; `timeout` in ms goes along as grpc-timeout."""
        now = self.now()
        call = PoolCall(self, path, metadata, None if timeout is None else now + timeout, message, heard)
        slot, opens, why = self.plan.place(now, len(self.waiting))
        if slot is not None and self.pace is not None and self.pace.stalled:
            self.waiting.append(call)
            self.place_soon()
        elif slot is not None:
            self.conns[slot].begin(call, now)
        elif why or self.closed:
            # Told in the next turn: the caller does not yet hold the call.
            self.loop.call_soon(call.end, Unconnected(why or "the pool is closed"))
        else:
            self.waiting.append(call)
            if opens:
                self.open()
        return call

    def withdraw_waiting(self, why: str) -> None:
        """Nothing new may go there: what waits for a connection never leaves."""
        left, self.waiting = list(self.waiting), deque()
        for call in left:
            call.end(Unconnected(why))

    def place_waiting(self) -> None:
        while self.waiting:
            call = self.waiting[0]
            if call.over:
                self.waiting.popleft()
                continue
            now = self.now()
            if call.until is not None and call.until <= now:
                self.waiting.popleft()
                self.unconnected(call, "its time was up before it could leave")
                continue
            slot, opens, why = self.plan.place(now, 0)
            if slot is None:
                if why:
                    self.waiting.popleft()
                    self.unconnected(call, why)
                    continue
                if opens:
                    self.open()
                return
            self.waiting.popleft()
            self.conns[slot].begin(call, now)

    def look(self) -> None:
        """Called now and then: idle connections close, silent ones are asked, dead ones given up."""
        now = self.now()
        for conn in list(self.conns.values()):
            conn.slot.heard = conn.wire.heard
            for event in conn.link.sweep(20):
                conn._events(conn.wire, [event])
        idle, ping, dead = self.plan.look(now)
        for slot in dead:
            self.conns[slot].wire.end("a ping was not answered", at_once=True)
        for slot in idle:
            self.conns[slot].link.go_away()
            self.conns[slot].wire.end("idle")
        for slot in ping:
            slot.pinged = now
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
