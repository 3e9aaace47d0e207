"""Connects sockets and the gateway: inferences of clients come in, forwards and orders to invokers go out.

Makes no decisions: it knows which connection each inference and forward belongs to, and carries out the gateway's
effects.
"""

from __future__ import annotations

import resource
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from sprucespool import interface as it
from sprucespool.gateway import Gateway
from sprucespool.gateway import messages as ms
from sprucespool.transport.clock import AnchoredClock
from sprucespool.node.clients import ClientConnection, ClientListener
from sprucespool.node.invokers import Invoker, InvokerRequest
from sprucespool.node.limits import (
    INVOKER_BUFFERS_SHARE,
    OPEN_INFERENCES_SHARE,
    RECENT_REQUESTS_SHARE,
    limited_deployment,
    share_of_memory,
)
from sprucespool.node.logs import Log
from sprucespool.node.recent_requests import RecentRequests
from sprucespool.node.reports import Reports
from sprucespool.relay.configuration import Configuration
from sprucespool.relay.feed import Roster
from sprucespool.relay.frames import Request, RequestReader
from sprucespool.relay.lines import Answer, InvokerLink
from sprucespool.transport.buffers import BufferBudget
from sprucespool.transport.errors import report_unexpected
from sprucespool.transport.plan import PoolLimits
from sprucespool.transport.input_batcher import InputBatcher

CHECK_INTERVAL_SECONDS = 0.25
# Share of the time after which invokers close idle connections. The controller closes them first, so that no forward
# meets a connection that the invoker is closing.
IDLE_CLOSE_SHARE = 0.7
CONNECTIONS_PER_INVOKER, INITIAL_BACKOFF_MS, MAX_BACKOFF_MS = 4, 50.0, 400.0
# What an open inference takes beside its body.
INFERENCE_OVERHEAD_BYTES = 3 * 1024
# A request that waited for longer behind other input of its connection is refused: no attempt may begin later than this
# after its client has left, and the end of the connection is behind that input too.
MAX_BEHIND_MS = 100.0


@dataclass(slots=True, eq=False)
class _Call:
    """One inference of a client."""

    id: str
    connection: ClientConnection
    request: Request
    message: ms.Call
    received_at: float
    # When the client gives up, as closely as the controller can tell.
    deadline: float
    forwards: list[str] = field(default_factory=list)
    # Attempts that may have run or may still run.
    possible_runs: int = 0


@dataclass(slots=True, eq=False)
class _Forward:
    """One attempt at an invoker. Keeps the result until the gateway decides whether to return it."""

    call: _Call
    invoker: str
    request: InvokerRequest | None = None
    body: bytes = b""


class GatewayServer:
    """Serves the gateway: handles the requests of clients and carries out the gateway's effects."""

    def __init__(self, config: Configuration, log: Log, clock: AnchoredClock):
        self.config, self.log, self.clock = config, log, clock
        self.gateway = Gateway(limited_deployment(config), config.seed, self._effect)
        self.batch = InputBatcher(self.gateway.take, self._after_batch)
        self.loop = self.batch.loop
        self.roster = Roster()
        self.listener = ClientListener(
            RequestReader(config.deployment),
            self,
            log,
            config.sockets,
            config.memory_mb,
            self.batch.pace.possible_wait_ms,
        )
        self.calls: dict[str, _Call] = {}
        self.calls_by_request_id: dict[str, _Call] = {}
        self.in_flight: dict[int, _Forward] = {}
        self.orders_and_probes: dict[int, InvokerRequest] = {}
        # Forwards whose end was reported to the gateway: it may use a result until it has taken that report, not later.
        self.ended_forwards: list[int] = []
        self.invokers: dict[str, Invoker] = {}
        self.invoker_buffers = BufferBudget(share_of_memory(config, INVOKER_BUFFERS_SHARE))
        # Connections of invokers that left or restarted, kept until their open requests have ended.
        self.leaving: dict[Invoker, None] = {}
        self.last_number = self.held_bytes = self.turned_away = 0
        self.max_held_bytes = share_of_memory(config, OPEN_INFERENCES_SHARE)
        self.recent_requests = RecentRequests(share_of_memory(config, RECENT_REQUESTS_SHARE))
        self.ready = False
        # When all open calls must be answered (ms); None until the process is asked to stop.
        self.answers_due_at: float | None = None
        self.reports = Reports(log, self.gateway.counts, self._status, self.batch.now())
        # How long nothing was received from discovery (ms), for the log.
        self.discovery_silence_ms: Callable[[], float] = lambda: 0.0
        self.timer = self.loop.call_later(CHECK_INTERVAL_SECONDS, self._check)

    def _status(self) -> dict[str, Any]:
        return {
            "owed": len(self.calls),
            "invokers": len(self.roster.places),
            "unheard_ms": round(self.discovery_silence_ms()),
            **self.listener.status(),
            "held_kb": self.held_bytes // 1024,
            "recent_ids": len(self.recent_requests),
            "longest_stall_ms": round(self.batch.pace.take_longest_stall_ms()),
            "peak_memory_mb": resource.getrusage(resource.RUSAGE_SELF).ru_maxrss // 1024,
        }

    def _after_batch(self):
        ended, self.ended_forwards = self.ended_forwards, []
        for number in ended:
            self.in_flight.pop(number, None)

    def _effect(self, effect: ms.Effect):
        try:
            EFFECTS[type(effect)](self, effect)
        except Exception as error:  # must not keep other requests from the other effects of the batch
            report_unexpected(f"effect {type(effect).__name__}", error)

    # The roster

    def start(self) -> None:
        """Apply the roster of the configuration."""
        for change in self.roster.restore(self.config.cursor, self.config.commands, self.clock.unix_ms()):
            self.apply_roster(change)
        self.discovery_received(None)
        self.ready = True

    def apply_roster(self, change: ms.Roster) -> None:
        for name, invoker in list(self.invokers.items()):
            # A new invoker at an old address, or a restarted process, must not inherit connections.
            if self.roster.places.get(name) != invoker.place:
                del self.invokers[name]
                self.leaving[invoker] = None
        self.batch.add(change)
        for row in change.rows:
            listed = self.invokers.get(row.invoker)
            if listed is None:
                continue
            if row.status == it.Status.IN_SERVICE.value:
                listed.accepting = True
            else:
                listed.stop_sending()
        for invoker in self.leaving:
            invoker.stop_sending()

    def discovery_received(self, age: float | None) -> None:
        """The roster was up to date `age` ms ago; None: not yet since the start."""
        self.batch.add(ms.DiscoveryHeard(age))

    def invoker(self, name: str) -> Invoker | None:
        """The connections to a listed invoker, created at the first use; None if it is not listed."""
        place = self.roster.places.get(name)
        if name not in self.invokers:
            if place is None:
                return None
            limits = PoolLimits(
                connections=CONNECTIONS_PER_INVOKER,
                connect_timeout=self.config.deployment.connect_timeout,
                idle_close=IDLE_CLOSE_SHARE * self.config.idle_close,
                initial_backoff=INITIAL_BACKOFF_MS,
                max_backoff=MAX_BACKOFF_MS,
            )
            self.last_number += 1
            self.invokers[name] = Invoker(
                place,
                limits,
                self.config.streams,
                self.config.seed + 7919 * self.last_number,
                lambda event, why: self.log.debug(event, invoker=name, why=why),
                lambda: self.batch.add(ms.Disconnected(name)),
                self.batch.pace,
                self.invoker_buffers,
                self.listener.descriptors,
            )
        return self.invokers[name]

    # Clients

    def request_received(self, connection: ClientConnection, request: Request) -> bool:
        """Returns False if an open inference has the same id: its answer could not be told from the other's."""
        if self._is_id_in_use(connection, request):
            return False
        if self.recent_requests.may_have_run(request.id):
            self._answer_without_attempt(connection, request, "its id came before and may have run", shed=False)
            return True
        behind_ms = connection.wire.behind_ms
        if behind_ms > MAX_BEHIND_MS:
            self._answer_without_attempt(connection, request, "read too late, behind other input", shed=True)
            return True
        now, size = self.batch.now(), INFERENCE_OVERHEAD_BYTES + len(request.body)
        # The first open request of a connection is always taken: others must not crowd out one who asks for little.
        if connection.calls and self.held_bytes + size > self.max_held_bytes:
            self._answer_without_attempt(connection, request, "too much is held here", shed=True)
            return True
        possible_wait_ms = self.batch.pace.possible_wait_on_connection_ms(max(connection.waited, behind_ms))
        ttl = request.ttl - max(self.batch.lag, possible_wait_ms)
        if self.answers_due_at is not None:
            ttl = min(ttl, self.answers_due_at - now)
        self.last_number += 1
        message = ms.Call(
            f"{self.last_number}",
            request.group,
            request.model,
            max(1.0, ttl),
            request.tenant,
            request.work,
            request.memory_mb,
            request.lanes,
            request.load_time,
            request.repeat,
            waited=possible_wait_ms,
        )
        call = _Call(message.call, connection, request, message, now, now + ttl)
        connection.calls[request.stream] = call
        self.calls[message.call] = self.calls_by_request_id[request.id] = call
        self.held_bytes += size
        self.batch.add(message)
        return True

    def _is_id_in_use(self, connection: ClientConnection, request: Request) -> bool:
        other = self.calls_by_request_id.get(request.id)
        if other is None:
            return False
        if other.connection is not connection:
            # The client may have come again before the end of its first connection was read.
            other.connection.wire.end_if_peer_closed()
        return request.id in self.calls_by_request_id

    def _answer_without_attempt(self, connection: ClientConnection, request: Request, why: str, shed: bool):
        """Refuse the request (`shed`: a retry does no harm) or fail it."""
        self.turned_away += 1
        self.reports.add_turned_away(why, request.id)
        if shed:
            connection.link.shed(request.stream, 0.0)
        else:
            connection.link.failed(request.stream)
        connection.answered(request.stream)

    def request_cancelled(self, connection: ClientConnection, stream: int) -> None:
        call = connection.calls.pop(stream, None)
        if isinstance(call, _Call):
            # Withdrawn before the gateway gets it where possible: hundreds of requests cancelled at the same time
            # must not cost a decision each.
            if not self.batch.withdraw(call.message):
                self.batch.add(ms.Left(call.id))
            self._done(call, "left")

    def _done(self, call: _Call, end: str):
        if self.calls.pop(call.id, None) is None:
            return
        del self.calls_by_request_id[call.request.id]
        if call.possible_runs and self.gateway.groups[call.request.group].effect is not it.Effect.RETRIABLE:
            self.recent_requests.add(call.request.id)
        self.held_bytes -= INFERENCE_OVERHEAD_BYTES + len(call.request.body)
        # An attempt may go on where it can't be called off: it must not keep a body that no limit counts any more.
        call.request.body = b""
        if self.log.debugging:
            self.log.debug(
                "inference",
                id=call.request.id,
                model=call.request.model,
                group=call.request.group,
                end=end,
                ms=round(self.batch.now() - call.received_at, 1),
                ttl=call.request.ttl,
                forwards=",".join(call.forwards) or "-",
            )

    def _answer(self, call_id: str, end: str, write: Callable[[_Call], None]):
        call = self.calls.get(call_id)
        if call is None:
            return
        self._done(call, end)
        stream = call.request.stream
        if not call.connection.wire.lost and call.connection.calls.get(stream) is call:
            write(call)
            call.connection.answered(stream)

    def _returned(self, effect: ms.AnswerReturned):
        forward = self.in_flight.pop(effect.forward, None)
        if forward is not None:
            self._answer(
                effect.call, "returned", lambda call: call.connection.link.returned(call.request.stream, forward.body)
            )

    def _shed(self, effect: ms.AnswerShed):
        self._answer(
            effect.call, "shed", lambda call: call.connection.link.shed(call.request.stream, effect.retry_after)
        )

    def _fail(self, call_id: str, end: str):
        self._answer(call_id, end, lambda call: call.connection.link.failed(call.request.stream))

    # Invokers

    def _may_have_left(self, call: _Call) -> bool:
        """Whether the end of the client's connection may have waited for long behind other input."""
        return call.connection.wire.behind_ms > MAX_BEHIND_MS

    def _has_left(self, call: _Call) -> bool:
        """Whether the client has left or may have, to be asked right before something is written for it."""
        return self._may_have_left(call) or call.connection.wire.end_if_peer_closed()

    def _forward(self, effect: ms.SendForward):
        call, invoker = self.calls.get(effect.call), self.invoker(effect.invoker)
        if call is None or invoker is None or self._may_have_left(call):
            # The client or the invoker left in this loop iteration, or the client perhaps before.
            return self.batch.add(ms.ForwardEnded(effect.forward, it.Outcome.NOT_SENT.value))
        forward = self.in_flight[effect.forward] = _Forward(call, effect.invoker)
        request = call.request
        call.forwards.append(effect.invoker)
        call.possible_runs += 1
        now, deployment = self.batch.now(), self.config.deployment
        deadline = min(now + effect.time_out, call.deadline)
        # Written later than this, it might reach an invoker that no longer drops it as a repeat.
        write_by = min(effect.write_by, now + deployment.connect_timeout + deployment.answer_slack)
        forward.request = invoker.request(
            request.id,
            lambda link: link.run(
                request.id, request.group, request.model, deadline, request.once, request.body, write_by
            ),
            lambda result: self._forward_ended(effect.forward, forward, result),
            lambda: effect.call in self.calls and not self._has_left(call),
        )

    def _forward_ended(self, number: int, forward: _Forward, result: Answer | it.Outcome):
        if number not in self.in_flight:
            return
        self.ended_forwards.append(number)
        outcome = result.outcome if isinstance(result, Answer) else result
        if outcome in it.NEVER_RAN:
            self._attempt_never_ran(forward.call)
        if isinstance(result, Answer):
            if result.outcome is it.Outcome.FULL:
                self.reports.add_refusal(forward.invoker, forward.call.request.id)
            forward.body = result.body
            has_same_model = self.config.deployment.tells_same_model and result.outcome in (
                it.Outcome.RETURNED,
                it.Outcome.FULL,
            )
            self.batch.add(
                ms.ForwardEnded(
                    number,
                    result.outcome.value,
                    result.found.value,
                    result.load_failed,
                    result.same_model if has_same_model else None,
                    result.report,
                )
            )
        else:
            self.batch.add(ms.ForwardEnded(number, result.value))
        if self.log.debugging:
            self.log.debug(
                "forward",
                id=forward.call.request.id,
                invoker=forward.invoker,
                end=outcome.value,
                found=result.found.value if isinstance(result, Answer) else "-",
                ms=round(self.batch.now() - (forward.request.created_at if forward.request else 0.0), 1),
            )

    def _attempt_never_ran(self, call: _Call):
        call.possible_runs -= 1
        if not call.possible_runs and call.id not in self.calls:
            self.recent_requests.discard(call.request.id)

    def _recall(self, effect: ms.Recall):
        forward = self.in_flight.pop(effect.forward, None)
        if forward is not None and forward.request is not None and not forward.request.cancel():
            self._attempt_never_ran(forward.call)

    def _send_order_or_probe(
        self, number: int, name: str, tag: str, write: Callable, on_end: Callable[[Answer | it.Outcome], None]
    ):
        invoker = self.invoker(name)
        if invoker is None:
            return on_end(it.Outcome.UNCONNECTED)

        def remove_and_end(result: Answer | it.Outcome):
            self.orders_and_probes.pop(number, None)
            on_end(result)

        self.orders_and_probes[number] = invoker.request(tag, write, remove_and_end)

    def _order(self, effect: ms.SendOrder):
        tag = f"o{effect.order}"

        def on_end(result: Answer | it.Outcome):
            standing = result.loaded_copies if isinstance(result, Answer) else 0
            outcome = result.outcome if isinstance(result, Answer) else result
            self.log.debug("order", invoker=effect.invoker, model=effect.model, end=outcome.value, standing=standing)
            self.batch.add(ms.OrderEnded(effect.order, outcome.value, standing))

        # As for a forward: an order that was allowed now may not be allowed later.
        write_by = self.batch.now() + self.config.deployment.connect_timeout

        def write(link: InvokerLink):
            link.order(tag, effect.model, effect.copies, write_by)

        self._send_order_or_probe(effect.order, effect.invoker, tag, write, on_end)

    def _probe(self, effect: ms.SendProbe):
        tag = f"p{effect.probe}"
        fields = self.config.deployment.report_fields

        def on_end(result: Answer | it.Outcome):
            outcome = result.outcome if isinstance(result, Answer) else result
            self.batch.add(
                ms.ProbeEnded(effect.probe, outcome.value, result.report if isinstance(result, Answer) else {})
            )

        def write(link: InvokerLink):
            if effect.model:
                link.order(tag, effect.model, 0)
            else:
                link.probe(tag, bool(fields))

        self._send_order_or_probe(effect.probe, effect.invoker, tag, write, on_end)
        request = self.orders_and_probes.get(effect.probe)
        if request is not None:
            self.loop.call_later(effect.time_out / 1000.0, self._probe_timed_out, effect.probe, request)

    def _probe_timed_out(self, number: int, request: InvokerRequest):
        if self.orders_and_probes.get(number) is request:
            del self.orders_and_probes[number]
            request.cancel()
            self.batch.add(ms.ProbeEnded(number, it.Outcome.TIMED_OUT.value))

    def _unload(self, effect: ms.SendUnload):
        invoker = self.invoker(effect.invoker)
        if invoker is not None:
            invoker.send_unanswered(lambda link: link.unload(effect.model))

    def _close_idle(self, effect: ms.CloseIdle):
        if effect.invoker in self.invokers:
            self.invokers[effect.invoker].close_idle()

    def _note(self, effect: ms.Note):
        (self.log.error if effect.fault else self.log.info)("module", text=effect.text, call=effect.call)

    def _check(self):
        self.timer = self.loop.call_later(CHECK_INTERVAL_SECONDS, self._check)
        for invoker in list(self.invokers.values()):
            invoker.check()
        for invoker in list(self.leaving):
            invoker.check()
            if invoker.idle:
                invoker.close()
                del self.leaving[invoker]
        self.reports.write_due(self.batch.now())
        oldest = self.batch.now() - 2 * self.config.deployment.order_timeout
        for number, request in list(self.orders_and_probes.items()):
            if request.created_at < oldest:
                # The gateway stopped waiting for this order long ago.
                del self.orders_and_probes[number]
                request.cancel()

    # Shutdown

    def fail_the_rest(self) -> int:
        """Fail all calls that are still open; returns their number."""
        failed = list(self.calls.values())
        for call in failed:
            self._fail(call.id, "failed at the end")
        for forward in self.in_flight.values():
            if forward.request is not None:
                forward.request.cancel()
        return len(failed)

    def close(self) -> None:
        self.timer.cancel()
        self.batch.close()
        for invoker in [*self.invokers.values(), *self.leaving]:
            invoker.close()
        self.listener.close()


EFFECTS: dict[type, Callable] = {
    ms.SendForward: GatewayServer._forward,
    ms.Recall: GatewayServer._recall,
    ms.AnswerReturned: GatewayServer._returned,
    ms.AnswerShed: GatewayServer._shed,
    ms.AnswerFailed: lambda server, effect: server._fail(effect.call, "failed"),
    ms.Rejected: lambda server, effect: server._fail(effect.call, "rejected"),
    ms.SendOrder: GatewayServer._order,
    ms.SendUnload: GatewayServer._unload,
    ms.SendProbe: GatewayServer._probe,
    ms.CloseIdle: GatewayServer._close_idle,
    ms.Note: GatewayServer._note,
    ms.WakeAt: lambda server, effect: server.batch.wake_at(effect.at),
    # The platform sends the roster without a subscription, and has neither messages between controllers nor streams.
    ms.SubscribeRoster: lambda server, effect: None,
    ms.FetchRoster: lambda server, effect: None,
    ms.SendMessage: lambda server, effect: None,
    ms.BeliefsGiven: lambda server, effect: None,
}
