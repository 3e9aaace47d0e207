"""Connections to one invoker: opened when needed, not used for new requests while silent, closed when idle."""

from __future__ import annotations

from collections.abc import Callable

from sprucespool import interface as it
from sprucespool.relay.feed import Place
from sprucespool.relay.lines import Answer, InvokerLink
from sprucespool.transport.buffers import BufferBudget
from sprucespool.transport.descriptor_budget import DescriptorBudget
from sprucespool.transport.errors import report_unexpected
from sprucespool.transport.opener import Opener
from sprucespool.transport.pace import LoopPace
from sprucespool.transport.plan import PoolLimits, Slot
from sprucespool.transport.wire import Wire

HIGH_WATER_BYTES = 0
# All answers of a read are handled at once, and an invoker may send some that nobody asked for at full speed.
MAX_READ_BYTES = 8 * 1024
# An answer that stops half-way for this long will not be completed: the connection is closed.
INCOMPLETE_ANSWER_TIMEOUT_MS = 400.0
# When nothing was received for this long after something was sent, new requests use another connection, which shows
# whether the invoker is still there.
SILENCE_TIMEOUT_MS = 400.0
# A cancelled request of which the socket holds a part is written on for this long; then the connection is closed.
CANCELLED_WRITE_TIMEOUT_SECONDS = 0.05
# Tags remembered on one connection to tell a late answer from a new one; after that it takes no more requests.
MAX_TAGS_PER_CONNECTION = 20_000


def _write_nothing(link: InvokerLink) -> None:
    """Replaces `write` of a request that has ended."""


def _ignore_end(result: Answer | it.Outcome) -> None:
    """Replaces `on_end` of a request that has ended."""


def _is_not_wanted() -> bool:
    """Replaces `is_wanted` of a request that has ended."""
    return False


class InvokerRequest:
    """A request to the invoker.

    `on_end` is called once with the answer, or with the outcome if there is no answer; it is not called after
    `cancel`. `is_wanted` is called before anything is written: when it returns False, the request ends as not sent.
    """

    __slots__ = ("invoker", "tag", "write", "on_end", "is_wanted", "conn", "created_at", "ended")

    def __init__(
        self,
        invoker: Invoker,
        tag: str,
        write: Callable[[InvokerLink], None],
        on_end: Callable[[Answer | it.Outcome], None],
        is_wanted: Callable[[], bool],
        now: float,
    ):
        self.invoker, self.tag, self.write, self.on_end, self.is_wanted, self.created_at = (
            invoker,
            tag,
            write,
            on_end,
            is_wanted,
            now,
        )
        self.conn: _Conn | None = None
        self.ended = False

    def end(self, result: Answer | it.Outcome) -> None:
        if self.ended:
            return
        on_end = self.on_end
        self._release()
        try:
            on_end(result)
        except Exception as error:  # must not keep the other requests of the connection from their ends
            report_unexpected(f"end of request {self.tag} to an invoker", error)

    def cancel(self) -> bool:
        """Returns False if nothing of the request was handed to a socket, so that it has certainly not run."""
        if self.ended:
            return True
        self._release()
        if self.conn is not None:
            return self.conn.cancel(self)
        self.invoker.withdraw(self)
        return False

    def _release(self):
        """Let go of the caller, which refers to this request: bodies must not wait for the garbage collector."""
        self.ended = True
        self.write, self.on_end, self.is_wanted = _write_nothing, _ignore_end, _is_not_wanted


class _Conn:
    def __init__(self, invoker: Invoker, slot: Slot):
        self.invoker, self.slot = invoker, slot
        self.link = InvokerLink(invoker.now)
        self.requests: dict[str, InvokerRequest] = {}
        # Whether nothing was received for too long, and whether the connection has to make room for others.
        self.silent = self.retired = False
        self.wire = Wire(
            self.link,
            self._on_events,
            self._on_lost,
            high_water=HIGH_WATER_BYTES,
            budget=invoker.buffer_budget,
            max_read_bytes=MAX_READ_BYTES,
        )
        # Its requests go elsewhere at once: none of their lines may still reach this invoker.
        self.wire.abort_on_invalid_input = True

    def send(self, request: InvokerRequest):
        request.conn = self
        self.requests[request.tag] = request
        request.write(self.link)
        self.note()
        # Written at once: no input may be handled between the decision and its write that would have changed it.
        self.wire.flush()

    def note(self):
        slot = self.slot
        slot.open_calls, slot.last_received_at = len(self.requests), self.wire.last_received_at
        room = self.invoker.streams - len(self.requests)
        usable = not self.silent and not self.retired and len(self.link.used_tags) < MAX_TAGS_PER_CONNECTION
        slot.room, slot.closing = room if usable else 0, self.retired
        if not self.requests:
            slot.idle_since = self.invoker.now()
        self.invoker.note_use(self, bool(self.requests))

    def is_quiet(self) -> bool:
        """Whether nothing that the system has received waits to be read, and nothing waits to be written."""
        return self.wire.quiet

    def end_to_make_room(self) -> None:
        """Close the connection, on which no request is open."""
        self.wire.end("no room for so many connections")

    def retire(self) -> None:
        """Take no new request: the connection is closed when those on it have ended."""
        self.retired = True
        self.note()

    def cancel(self, request: InvokerRequest) -> bool:
        """Returns False if nothing of the request was handed to the socket."""
        if self.requests.pop(request.tag, None) is None:
            return True
        left = self.link.give_up(request.tag)
        if (
            left
            and self.wire.last_received_at < request.created_at
            and self.invoker.now() - request.created_at > SILENCE_TIMEOUT_MS
        ):
            self.silent = True
        if left and self.wire.paused and self.link.last_written == request.tag:
            self.invoker.loop.call_later(CANCELLED_WRITE_TIMEOUT_SECONDS, self._end_if_unwritten, request.tag)
        self.note()
        self.wire.flush_soon()
        return left

    def _end_if_unwritten(self, tag: str):
        """Prevents a request from starting at the invoker long after its client has left."""
        if self.wire.paused and self.link.last_written == tag:
            self.wire.end("cancelled request is still half written", at_once=True)

    def withdraw_unsent(self) -> list[InvokerRequest]:
        """Remove and return the requests of which nothing was handed to the socket."""
        unsent = [self.requests.pop(tag) for tag in list(self.link.unsent)]
        for request in unsent:
            self.link.give_up(request.tag)
        if unsent:
            self.note()
        return unsent

    def _on_events(self, wire: Wire, answers: list[Answer]):
        self.silent = False
        for answer in answers:
            request = self.requests.pop(answer.tag, None)
            if request is not None:
                request.end(answer)
        self.note()
        if self.link.read_error:
            wire.end(self.link.read_error, at_once=True)
        elif self.slot.room > 0:
            self.invoker.place_soon()

    def _on_lost(self, wire: Wire, why: str):
        self.invoker.drop(self)
        if not self.invoker.conns and not wire.ended_locally:
            self.invoker.on_disconnected()
        requests, self.requests = list(self.requests.values()), {}
        if requests:
            self.invoker.log_event("connection lost", f"{why}, {len(requests)} requests open on it")
        for request in requests:
            # A request that was never handed to the socket has certainly not run.
            request.end(it.Outcome.RESET if self.link.was_sent(request.tag) else it.Outcome.UNCONNECTED)


class Invoker(Opener[_Conn, InvokerRequest]):
    """All connections and requests to one invoker process at one address."""

    def __init__(
        self,
        place: Place,
        limits: PoolLimits,
        streams: int,
        seed: int,
        log_event: Callable[[str, str], None],
        on_disconnected: Callable[[], None],
        pace: LoopPace,
        buffer_budget: BufferBudget,
        descriptors: DescriptorBudget,
    ):
        super().__init__(place.host, place.port, limits, seed, pace, descriptors)
        self.place, self.streams, self.log_event = place, streams, log_event
        # Shared with the connections to all other invokers.
        self.buffer_budget = buffer_budget
        # Called when the invoker has closed the last connection.
        self.on_disconnected = on_disconnected
        # False while the invoker drains and once it has left: nothing new is written to it.
        self.accepting = True

    def connection(self, slot: Slot) -> _Conn:
        return _Conn(self, slot)

    def fail_unconnected(self, call: InvokerRequest, why: str) -> None:
        call.end(it.Outcome.UNCONNECTED)

    def fail_without_descriptor(self, call: InvokerRequest, why: str) -> None:
        call.end(it.Outcome.NOT_SENT)

    def on_connect_failed(self, why: str) -> None:
        self.log_event("not connected", why)

    def request(
        self,
        tag: str,
        write: Callable[[InvokerLink], None],
        on_end: Callable[[Answer | it.Outcome], None],
        is_wanted: Callable[[], bool] = lambda: True,
    ) -> InvokerRequest:
        """Queue a request and send it on a connection as soon as there is one."""
        request = InvokerRequest(self, tag, write, on_end, is_wanted, self.now())
        if not self.accepting:
            self.loop.call_soon(request.end, it.Outcome.NOT_SENT)
            return request
        self.waiting[request] = None
        if len(self.waiting) == 1:
            self.place_now()
        elif len(self.waiting) > self.plan.limits.waiting:
            self.withdraw(request)
            self.loop.call_soon(request.end, it.Outcome.UNCONNECTED)
        return request

    def send_unanswered(self, write: Callable[[InvokerLink], None]) -> None:
        """Send a line that has no answer, if a connection is open."""
        if not self.accepting:
            return
        for conn in self.conns.values():
            write(conn.link)
            return conn.wire.flush_soon()

    def stop_sending(self) -> None:
        """The invoker drains or has left: requests that are not written yet are never sent."""
        self.accepting = False
        unsent = self.take_waiting()
        for conn in list(self.conns.values()):
            unsent += conn.withdraw_unsent()
        for request in unsent:
            request.end(it.Outcome.NOT_SENT)

    def place_waiting(self) -> None:
        while self.waiting:
            # Removed from the queue before it is written: an event handled during the write may place the next one.
            request, _ = self.waiting.popitem(last=False)
            if request.ended:
                continue
            if not request.is_wanted():
                self.loop.call_soon(request.end, it.Outcome.NOT_SENT)
                continue
            slot, opens, why = self._choose_slot(request)
            if slot is not None:
                self.conns[slot].send(request)
            elif why or self.closed:
                # Ended in the next loop iteration: the caller does not hold the request object yet.
                self.loop.call_soon(request.end, it.Outcome.UNCONNECTED)
            else:
                self.waiting[request] = None
                self.waiting.move_to_end(request, last=False)
                if opens:
                    self.open()
                return

    def _choose_slot(self, request: InvokerRequest) -> tuple[Slot | None, bool, str]:
        # A late answer to an earlier run of the same id would end this run, so this one uses another connection.
        excluded = [conn for conn in self.conns.values() if request.tag in conn.link.used_tags]
        for conn in excluded:
            conn.slot.room = 0
        found = self.plan.place(self.now(), 0)
        for conn in excluded:
            conn.note()
        return found

    def check(self) -> None:
        """Close connections that are stalled, no longer usable or idle. Called periodically."""
        now = self.now()
        for conn in list(self.conns.values()):
            if conn.link.unparsed.incomplete_for(now) > INCOMPLETE_ANSWER_TIMEOUT_MS:
                conn.wire.end("answer stopped half-way", at_once=True)
            elif conn.slot.room <= 0 and not conn.requests:
                conn.wire.end("no longer usable", at_once=conn.silent)
        for slot in self.plan.check(now)[0]:
            self.conns[slot].wire.end("idle")

    def close_idle(self) -> None:
        for conn in list(self.conns.values()):
            if not conn.requests:
                conn.wire.end("idle")

    @property
    def idle(self) -> bool:
        """Whether no request is waiting or open and no connection is being opened."""
        return not self.waiting and not self.opening and not any(conn.requests for conn in self.conns.values())

    def close(self) -> None:
        self.closed = True
        self.stop_sending()
        self.cancel_tasks()
        for conn in list(self.conns.values()):
            conn.wire.flush()
            conn.wire.end("closed")
