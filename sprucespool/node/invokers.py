"""Connections to one invoker: opened at need, spared where they are silent, closed when idle."""

from __future__ import annotations

from collections.abc import Callable

from sprucespool import interface as it
from sprucespool.relay.feed import Place
from sprucespool.relay.lines import Answer, InvokerLink
from sprucespool.transport.opener import Opener
from sprucespool.transport.pace import LoopPace
from sprucespool.transport.plan import PoolLimits, Slot
from sprucespool.transport.wire import Wire

HIGH_WATER = 0
# An answer that stopped half-way for so long does not go on: the connection is of no more use.
HALF = 400.0
# Heard of nothing so long after something was sent: what is new goes on another connection, which shows whether the
# invoker is still there.
SILENT = 400.0
# A request taken back of which the socket still holds a part: written on for so long, then the connection ends.
UNWRITTEN = 0.05
# Tags that one connection keeps in mind, to tell a late answer from a new one; then it takes no more.
MOST_USED = 20_000


class Ask:
    """Something asked of the invoker. `heard` gets its end, once: an answer, or the outcome without one. None after
    `give_up`. `wanted` is asked before anything of it is written: whoever wants it no more is about to give it up."""

    __slots__ = ("invoker", "tag", "write", "heard", "wanted", "conn", "at", "over")

    def __init__(
        self,
        invoker: Invoker,
        tag: str,
        write: Callable[[InvokerLink], None],
        heard: Callable[[Answer | it.Outcome], None],
        wanted: Callable[[], bool],
        now: float,
    ):
        self.invoker, self.tag, self.write, self.heard, self.wanted, self.at = invoker, tag, write, heard, wanted, now
        self.conn: _Conn | None = None
        self.over = False

    def end(self, what: Answer | it.Outcome) -> None:
        if not self.over:
            self.over = True
            self.heard(what)

    def give_up(self) -> None:
        if not self.over:
            self.over = True
            if self.conn is not None:
                self.conn.give_up(self)


class _Conn:
    def __init__(self, invoker: Invoker, slot: Slot):
        self.invoker, self.slot = invoker, slot
        self.link = InvokerLink(invoker.now)
        self.asks: dict[str, Ask] = {}
        self.silent = False
        self.wire = Wire(self.link, self._events, self._lost, high_water=HIGH_WATER)

    def begin(self, ask: Ask):
        ask.conn = self
        self.asks[ask.tag] = ask
        ask.write(self.link)
        self.note()
        # At once: between a decision and its writing nothing may come that would have changed it.
        self.wire.flush()

    def note(self):
        slot = self.slot
        slot.open_calls, slot.last_received_at = len(self.asks), self.wire.last_received_at
        room = self.invoker.streams - len(self.asks)
        slot.room = 0 if self.silent or len(self.link.used_tags) >= MOST_USED else room
        if not self.asks:
            slot.idle_since = self.invoker.now()

    def give_up(self, ask: Ask):
        if self.asks.pop(ask.tag, None) is None:
            return
        left = self.link.give_up(ask.tag)
        if left and self.wire.last_received_at < ask.at and self.invoker.now() - ask.at > SILENT:
            self.silent = True
        if left and self.wire.paused and self.link.last_written == ask.tag:
            self.invoker.loop.call_later(UNWRITTEN, self._end_if_unwritten, ask.tag)
        self.note()
        self.wire.flush_soon()

    def _end_if_unwritten(self, tag: str):
        """Against a request that begins at the invoker long after its client has gone."""
        if self.wire.paused and self.link.last_written == tag:
            self.wire.end("a request taken back is still half written", at_once=True)

    def withdraw_unsent(self) -> list[Ask]:
        """Take back what the socket holds nothing of; gives what that was."""
        unsent = [self.asks.pop(tag) for tag in list(self.link.unsent)]
        for ask in unsent:
            self.link.give_up(ask.tag)
        if unsent:
            self.note()
        return unsent

    def _events(self, wire: Wire, answers: list[Answer]):
        self.silent = False
        for answer in answers:
            ask = self.asks.pop(answer.tag, None)
            if ask is not None:
                ask.end(answer)
        self.note()
        if self.link.read_error:
            wire.end(str(self.link.read_error), at_once=True)
        elif self.slot.room > 0:
            self.invoker.place_soon()

    def _lost(self, wire: Wire, why: str):
        self.invoker.drop(self)
        if not self.invoker.conns and not wire.ended_locally:
            self.invoker.disconnected()
        asks, self.asks = list(self.asks.values()), {}
        if asks:
            self.invoker.told("connection lost", f"{why}, {len(asks)} open on it")
        for ask in asks:
            # What was never handed to the socket has certainly not run.
            ask.end(it.Outcome.RESET if self.link.was_sent(ask.tag) else it.Outcome.UNCONNECTED)


class Invoker(Opener[_Conn, Ask]):
    """All that goes to one process of an invoker at one address."""

    def __init__(
        self,
        place: Place,
        limits: PoolLimits,
        streams: int,
        seed: int,
        told: Callable[[str, str], None],
        disconnected: Callable[[], None],
        pace: LoopPace,
    ):
        super().__init__(place.host, place.port, limits, seed, pace)
        self.place, self.streams, self.told = place, streams, told
        # Called when the invoker ended the last connection.
        self.disconnected = disconnected
        # False while it drains, and once it has left: nothing new is written to it.
        self.accepting = True

    def connection(self, slot: Slot) -> _Conn:
        return _Conn(self, slot)

    def fail_unconnected(self, call: Ask, why: str) -> None:
        call.end(it.Outcome.UNCONNECTED)

    def on_connect_failed(self, why: str) -> None:
        self.told("not connected", why)

    def ask(
        self,
        tag: str,
        write: Callable[[InvokerLink], None],
        heard: Callable[[Answer | it.Outcome], None],
        wanted: Callable[[], bool] = lambda: True,
    ) -> Ask:
        ask = Ask(self, tag, write, heard, wanted, self.now())
        if not self.accepting:
            self.loop.call_soon(ask.end, it.Outcome.NOT_SENT)
            return ask
        self.waiting.append(ask)
        if len(self.waiting) == 1:
            self.place_now()
        elif len(self.waiting) > self.plan.limits.waiting:
            self.waiting.pop()
            self.loop.call_soon(ask.end, it.Outcome.UNCONNECTED)
        return ask

    def tell(self, write: Callable[[InvokerLink], None]) -> None:
        """A line without an answer, where a connection stands."""
        if not self.accepting:
            return
        for conn in self.conns.values():
            write(conn.link)
            return conn.wire.flush_soon()

    def stop_sending(self) -> None:
        """It drains or has left: what was not written yet never is."""
        self.accepting = False
        unsent = list(self.waiting)
        self.waiting.clear()
        for conn in list(self.conns.values()):
            unsent += conn.withdraw_unsent()
        for ask in unsent:
            ask.end(it.Outcome.NOT_SENT)

    def place_waiting(self) -> None:
        while self.waiting:
            # Out of the line before it is written: what is heard during the writing may place the next.
            ask = self.waiting.popleft()
            if ask.over or not ask.wanted():
                continue
            slot, opens, why = self._where(ask)
            if slot is not None:
                self.conns[slot].begin(ask)
            elif why or self.closed:
                # Told in the next turn: the asker does not yet hold the ask.
                self.loop.call_soon(ask.end, it.Outcome.UNCONNECTED)
            else:
                self.waiting.appendleft(ask)
                if opens:
                    self.open()
                return

    def _where(self, ask: Ask) -> tuple[Slot | None, bool, str]:
        # A late answer to an earlier run of the same id would end this one: that goes on another connection.
        known = [conn for conn in self.conns.values() if ask.tag in conn.link.used_tags]
        for conn in known:
            conn.slot.room = 0
        found = self.plan.place(self.now(), 0)
        for conn in known:
            conn.note()
        return found

    def look(self) -> None:
        """Called now and then."""
        now = self.now()
        for conn in list(self.conns.values()):
            if conn.link.unparsed.incomplete_for(now) > HALF:
                conn.wire.end("an answer stopped half-way", at_once=True)
            elif conn.slot.room <= 0 and not conn.asks:
                conn.wire.end("of no more use", at_once=conn.silent)
        for slot in self.plan.check(now)[0]:
            self.conns[slot].wire.end("idle")

    def close_idle(self) -> None:
        for conn in list(self.conns.values()):
            if not conn.asks:
                conn.wire.end("idle")

    @property
    def quiet(self) -> bool:
        return not self.waiting and not self.opening and not any(conn.asks for conn in self.conns.values())

    def close(self) -> None:
        self.closed = True
        self.stop_sending()
        self.cancel_tasks()
        for conn in list(self.conns.values()):
            conn.wire.flush()
            conn.wire.end("closed")
