"""Connects gRPC sockets and the gateway: calls of clients come in, forwards to invokers go out.

Makes no decisions: it knows which connection each call and forward belongs to, and carries out the gateway's effects.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from typing import Any, BinaryIO

from sprucespool import interface as it
from sprucespool.daemon.failover import FailoverCarrier
from sprucespool.daemon.fleet import VIEW_TOKEN, FleetCarrier
from sprucespool.daemon.learning import Exchange
from sprucespool.daemon.request import parse_request
from sprucespool.gateway import Decider, Gateway, Recorder
from sprucespool.gateway import messages as ms
from sprucespool.grpc.events import Answered, Drained, Message, Reset
from sprucespool.grpc.status import Limits, Metadata, Status
from sprucespool.policy import Controller
from sprucespool.settings.controller import ControllerPlan, ModelTable, deployment
from sprucespool.transport.listener import Method, ServerCall, unary
from sprucespool.daemon.invoker_pools import InvokerPools
from sprucespool.transport.buffers import BufferBudget
from sprucespool.transport.descriptor_budget import DescriptorBudget, max_connected_invokers
from sprucespool.transport.errors import report_unexpected
from sprucespool.transport.plan import PoolLimits
from sprucespool.transport.process_limits import descriptor_limit
from sprucespool.transport.pool import CallEvent, Pool, PoolCall, Unconnected
from sprucespool.transport.input_batcher import InputBatcher
from sprucespool.wire import inference_pb2 as oip
from sprucespool.wire import names, outcomes
from sprucespool.wire import platform_pb2 as platform
from sprucespool.wire.peek import MalformedRequest, RequestFields, peek_request, wrap_stream_result

CHECK_INTERVAL_SECONDS = 1.0


@dataclass(slots=True, eq=False)
class _Client:
    """One call of a client."""

    id: str
    call: ServerCall
    request: bytes
    fields: RequestFields
    streamed: bool
    path: str
    received_at: float
    group: str
    message: ms.Call
    forwards: list[str] = field(default_factory=list)
    result_count: int = 0


@dataclass(slots=True, eq=False)
class _Forward:
    """One attempt at an invoker. Keeps its results until the gateway decides whether to return them."""

    client: _Client
    pool_call: PoolCall | None = None
    invoker: str = ""
    results: list[tuple[bytes, int]] = field(default_factory=list)
    message_count: int = 0
    streaming: bool = False
    # Bytes that the client has not read yet, so that they are not credited to the invoker's flow-control window.
    uncredited_bytes: int = 0
    deadline: float = 0.0


class GatewayServer:
    """Serves the gateway over gRPC: the methods that clients call, and the gateway's effects."""

    def __init__(
        self,
        plan: ControllerPlan,
        log: Any,
        record: BinaryIO | None = None,
        decider: Callable[[it.Deployment, int], Decider] = Controller,
        library: type[Gateway] = Gateway,
    ):
        self.plan, self.log = plan, log
        self.loop = asyncio.get_running_loop()
        limited = replace(deployment(plan), max_connected_workers=max_connected_invokers(descriptor_limit()))
        self.gateway = library(limited, plan.seed, self._effect, decider)
        self.input_sink: Gateway | Recorder = Recorder(self.gateway, record) if record else self.gateway
        self.batch = InputBatcher(self.input_sink.take, self._after_batch)
        self.models = ModelTable(plan.models)
        self.clients: dict[str, _Client] = {}
        self.in_flight: dict[int, _Forward] = {}
        self.pools = InvokerPools(self._create_pool)
        self.pending_requests: dict[int, PoolCall] = {}
        self.peers = {peer.number: peer.address for peer in plan.peers}
        # Forwards whose end was reported to the gateway: it may use a result until it has taken that report, not later.
        self.ended_forwards: list[int] = []
        self.debugging = plan.log.level == "debug"
        self.held_bytes = self.last_number = 0
        self.stopping, self.closed = False, False
        self.subscribe: Callable[[bool], None] = lambda active: None
        self.fetch_roster: Callable[[], None] = lambda: None
        self.ready = False
        self.exchange: Exchange | None = None
        # Uses the outcomes of this controller's forwards as observations, if a shared view of the fleet is kept.
        self.fleet: FleetCarrier | None = None
        # Decides which zones an inference may go to, if a plan of zones is followed.
        self.failover: FailoverCarrier | None = None
        bounds, to_invokers = plan.bounds, plan.to_invokers
        self.invoker_limits = Limits(
            streams=to_invokers.streams,
            message=bounds.message,
            header_list=bounds.headers,
            stream_window=max(65_536, bounds.stream_buffer),
            link_window=16 * 2**20,
        )
        self.pool_limits = PoolLimits(
            connections=to_invokers.connections,
            connect_timeout=plan.forwards.connect_timeout,
            idle_close=to_invokers.idle_close,
            keepalive=to_invokers.keepalive,
            keepalive_timeout=to_invokers.keepalive_timeout,
            initial_backoff=to_invokers.first_backoff,
            max_backoff=to_invokers.last_backoff,
            source=plan.source,
        )
        self.invoker_buffers = BufferBudget(bounds.buffers)
        # Shared with the connections of clients; set before the first call arrives.
        self.descriptors: DescriptorBudget | None = None
        self.own_metadata = {names.CONTROLLER: str(plan.controller.number)}
        if plan.learning is not None:
            self.exchange = Exchange(
                plan.learning,
                plan.fleet.keep_alive,
                self.add_input,
                log,
                self.own_metadata,
                plan.seed * 17 + plan.controller.number,
                source=plan.source,
            )
        self.check_timer = self.loop.call_later(CHECK_INTERVAL_SECONDS, self._check)
        self.turned_away = 0

    def now(self) -> float:
        return self.loop.time() * 1000.0

    # Inputs to the gateway

    def add_input(self, item: ms.Input) -> None:
        self.batch.add(item)
        if isinstance(item, ms.Roster):
            self.pools.apply(item)

    def _after_batch(self):
        ended, self.ended_forwards = self.ended_forwards, []
        for number in ended:
            self.in_flight.pop(number, None)

    def _effect(self, effect: ms.Effect):
        try:
            EFFECTS[type(effect)](self, effect)
        except Exception as error:  # must not keep other requests from the other effects of the batch
            report_unexpected(f"effect {type(effect).__name__}", error)

    # Methods of clients

    def methods(self) -> dict[str, Method]:
        return {
            names.MODEL_INFER: unary(lambda call, data: self._infer(call, data, False)),
            names.MODEL_STREAM_INFER: unary(lambda call, data: self._infer(call, data, True)),
            names.SERVER_LIVE: _simple_method(lambda: oip.ServerLiveResponse(live=True)),
            names.SERVER_READY: _simple_method(lambda: oip.ServerReadyResponse(ready=self.ready and not self.stopping)),
            names.MODEL_READY: unary(self._model_ready),
            names.SERVER_METADATA: _simple_method(
                lambda: oip.ServerMetadataResponse(name="sprucespool", extensions=["model_repository", "streamed"])
            ),
            names.MODEL_METADATA: unary(self._model_metadata),
            names.REPOSITORY_INDEX: _simple_method(
                lambda: oip.RepositoryIndexResponse(
                    models=[
                        oip.RepositoryIndexResponse.ModelIndex(name=name, state="READY")
                        for name, model in self.gateway.models.items()
                        if model.belief is not None
                    ]
                )
            ),
            names.MODEL_LOAD: _unsupported("models are loaded on demand; orders come from the controller alone"),
            names.MODEL_UNLOAD: _unsupported("models are unloaded by their invokers"),
            names.PEERS_TELL: unary(self._peer_message),
            **(self.exchange.methods() if self.exchange else {}),
        }

    def _model_ready(self, call: ServerCall, data: bytes):
        request = parse_request(call, oip.ModelReadyRequest, data)
        if request is not None:
            # Any model of a known group can be called: a call loads its model on demand.
            facts = self.models.of(request.name)
            ready = self.ready and (len(self.gateway.groups) == 1 or facts is not None and facts.group is not None)
            call.send(oip.ModelReadyResponse(ready=ready).SerializeToString())
            call.finish(Status.OK)

    def _model_metadata(self, call: ServerCall, data: bytes):
        request = parse_request(call, oip.ModelMetadataRequest, data)
        if request is not None:
            call.send(oip.ModelMetadataResponse(name=request.name, platform="sprucespool").SerializeToString())
            call.finish(Status.OK)

    def _peer_message(self, call: ServerCall, data: bytes):
        note = parse_request(call, platform.PeerNote, data)
        if note is None:
            return
        if not self.plan.peers:
            return call.finish(Status.PERMISSION_DENIED, "this controller has no peers")
        self.add_input(ms.PeerMessage(note.sender, note.payload))
        call.send(platform.PeerHeard().SerializeToString())
        call.finish(Status.OK)

    def _infer(self, call: ServerCall, data: bytes, streamed: bool):
        bounds, wait = self.plan.bounds, self.plan.answers.longest_retry_after
        if len(self.clients) >= bounds.calls or self.held_bytes + len(data) > bounds.held:
            self.turned_away += 1
            return call.finish(outcomes.SHED, "too much is held here", outcomes.pushback_metadata(wait))
        if self.batch.lag > bounds.lag:
            # The event loop is overloaded: a call accepted now would be answered after its client has given up.
            self.turned_away += 1
            return call.finish(outcomes.SHED, "the controller is behind", outcomes.pushback_metadata(wait))
        try:
            fields = peek_request(data)
            message = self._call_message(call, fields, streamed)
        except MalformedRequest as error:
            return call.finish(outcomes.MALFORMED, f"no ModelInferRequest: {error}")
        except ValueError as error:
            return call.finish(outcomes.MALFORMED, str(error))
        group = self.gateway.groups[message.group]
        client = _Client(
            message.call,
            call,
            data,
            fields,
            streamed,
            names.MODEL_STREAM_INFER if group.streamed else names.MODEL_INFER,
            self.now(),
            group.name,
            message,
        )
        self.clients[client.id] = client
        self.held_bytes += len(data)
        if self.failover is not None:
            message.zones = self.failover.zones(message)
        call.on_cancelled = lambda: self._client_left(client)
        self.add_input(message)

    def _call_message(self, call: ServerCall, fields: RequestFields, streamed: bool) -> ms.Call:
        """Raises ValueError; its text, which says what was expected, goes to the client."""
        if not fields.model:
            raise ValueError("expected model_name")
        facts = self.models.of(fields.model)

        def text(name: str, default: str | None) -> str:
            value = fields.parameters.get(name, call.metadata.get(names.PREFIX + name.replace("_", "-"), default or ""))
            if not isinstance(value, str):
                raise ValueError(f"expected {name} as a string, got {value!r}")
            return value

        def number(name: str, default: float | None) -> float | None:
            value = fields.parameters.get(name, call.metadata.get(names.PREFIX + name.replace("_", "-"), default))
            try:
                parsed = None if value is None else float(value)
            except ValueError:
                parsed = float("nan")
            if parsed is not None and not 0 <= parsed < 1e9:
                raise ValueError(f"expected {name} as a number from 0 to 1e9, got {value!r}")
            return parsed

        only_group = next(iter(self.gateway.groups)) if len(self.gateway.groups) == 1 else None
        name = text(names.MODEL_GROUP, facts.group if facts and facts.group else only_group)
        group = self.gateway.groups.get(name)
        if group is None:
            raise ValueError(f"expected model_group as one of {', '.join(self.gateway.groups)}, got {name!r}")
        if group.streamed and not streamed:
            raise ValueError(f"the model group {name} is streamed: expected ModelStreamInfer")
        tenant = text(names.TENANT, facts.tenant if facts else None)
        if tenant and tenant not in self.gateway.tenants:
            raise ValueError(f"expected tenant as one of {', '.join(self.gateway.tenants)}, got {tenant!r}")
        lanes = number(names.LANES, facts.lanes if facts else None)
        memory = number(names.MEMORY, facts.memory / 1e6 if facts and facts.memory else None)
        self.last_number += 1
        waited = self.batch.pace.possible_wait_on_connection_ms(call.waited)
        return ms.Call(
            f"{self.plan.controller.number}-{self.last_number}",
            name,
            fields.model,
            max(1.0, min(group.route_timeout, group.route_timeout if call.timeout is None else call.timeout) - waited),
            tenant,
            number(names.COST, None),
            memory,
            max(1, int(lanes)) if lanes is not None else None,
            number(names.LOAD_TIME, facts.load_time if facts else None),
            call.metadata.get(names.PREVIOUS_ATTEMPTS, "0") not in ("", "0"),
            bool(fields.parameters.get(names.WRITE, False)),
            waited=waited,
        )

    def _client_left(self, client: _Client):
        if self.clients.get(client.id) is client:
            if not self.batch.withdraw(client.message):
                self.add_input(ms.Left(client.id))
            self._done(client, "left")

    def _done(self, client: _Client, end: str):
        self.clients.pop(client.id, None)
        self.held_bytes -= len(client.request)
        client.request = b""
        self.log.info(
            "inference",
            id=client.fields.id or client.id,
            call=client.id,
            model=client.fields.model,
            end=end,
            ms=round(self.now() - client.received_at, 1),
            forwards=client.forwards,
        )

    # Forwards to invokers

    def _create_pool(self, host: str, port: int, number: int) -> Pool:
        # Each pool of each controller has its own random backoff pauses.
        seed = self.plan.seed * 1000 + self.plan.controller.number + number * 7919
        return Pool(
            host,
            port,
            self.invoker_limits,
            self.pool_limits,
            seed,
            self.batch.pace,
            self.invoker_buffers,
            self.descriptors,
        )

    def _forward(self, effect: ms.SendForward):
        client = self.clients.get(effect.call)
        if client is None:
            # The client left in this loop iteration; the gateway is informed of that by its next input.
            return self.add_input(ms.ForwardEnded(effect.forward, it.Outcome.NOT_SENT.value))
        forward = self.in_flight[effect.forward] = _Forward(
            client, invoker=effect.invoker, deadline=self.now() + effect.time_out
        )
        if self.fleet is not None:
            self.fleet.forward_sent(effect.forward, effect.invoker)
        if self.failover is not None:
            self.failover.forward_sent(effect.forward, effect.invoker, client.group)
        client.forwards.append(effect.invoker)
        metadata = {**self.own_metadata, **({names.PREVIOUS_ATTEMPTS: str(effect.attempt)} if effect.attempt else {})}
        forward.pool_call = self.pools.get(effect.invoker).call(
            client.path,
            metadata,
            effect.time_out,
            client.request,
            lambda event: self._forward_event(effect.forward, event),
        )

    def _forward_event(self, number: int, event: CallEvent):
        forward = self.in_flight.get(number)
        if forward is None:
            return
        if isinstance(event, Message):
            forward.message_count += 1
            if forward.streaming:
                self._relay(forward, event.data, event.size)
            else:
                forward.results.append((event.data, event.size))
                if forward.client.path == names.MODEL_STREAM_INFER and forward.message_count == 1:
                    self.add_input(ms.FirstResult(number))
                elif forward.client.path == names.MODEL_INFER:
                    assert forward.pool_call is not None
                    forward.pool_call.consumed(event.size)
            return
        if isinstance(event, Drained):
            return
        trailers: Metadata = {}
        if isinstance(event, Answered):
            outcome = outcomes.of_answer(event.status, event.messages)
            trailers = event.trailers
        elif isinstance(event, Reset):
            outcome = outcomes.of_reset(event.never_ran, forward.message_count)
        else:
            outcome = it.Outcome.UNCONNECTED if isinstance(event, Unconnected) else it.Outcome.RESET
        found = outcomes.read_found(trailers)
        self.ended_forwards.append(number)
        if self.debugging and outcome is not it.Outcome.RETURNED:
            self.log.debug(
                "forward", call=forward.client.id, invoker=forward.invoker, end=outcome.value, told=str(event)[:200]
            )
        if self.fleet is not None:
            self.fleet.forward_ended(number, outcome, trailers)
        if self.failover is not None:
            self.failover.forward_ended(number, outcome, found)
        if self.exchange is not None:
            self.exchange.forward_ended(forward.invoker, forward.client.fields.model, outcome, found)
        self.add_input(
            ms.ForwardEnded(
                number,
                outcome.value,
                found.value,
                outcomes.read_int(trailers, names.LOAD_FAILED) == 1,
                outcomes.read_int(trailers, names.SAME_MODEL),
                outcomes.read_report(trailers),
            )
        )

    def _relay(self, forward: _Forward, data: bytes, size: int):
        """Pass a streamed result on. The invoker may send more only as fast as the client reads."""
        forward.client.result_count += 1
        unsent_bytes = forward.client.call.send(data)
        if unsent_bytes > self.plan.bounds.stream_buffer:
            forward.uncredited_bytes += size
            forward.client.call.mark()
        elif forward.pool_call is not None:
            forward.pool_call.consumed(size)

    def _recall(self, effect: ms.Recall):
        forward = self.in_flight.pop(effect.forward, None)
        if forward is not None and forward.pool_call is not None:
            forward.pool_call.cancel()
        if forward is not None and self.fleet is not None:
            timed_out = self.now() >= forward.deadline - 1.0 and not forward.streaming
            outcome = it.Outcome.TIMED_OUT if timed_out else it.Outcome.CALLED_OFF
            self.fleet.forward_ended(effect.forward, outcome, {})
            if self.failover is not None:
                self.failover.forward_ended(effect.forward, outcome, it.Found.UNTOLD)

    # Answers to clients

    def _returned(self, effect: ms.AnswerReturned):
        client, forward = self.clients.get(effect.call), self.in_flight.pop(effect.forward, None)
        if client is None or forward is None:
            return
        for data, _ in forward.results[:1]:
            client.call.send(wrap_stream_result(data) if client.streamed else data)
        client.call.finish(Status.OK)
        self._done(client, "returned")

    def _stream_begun(self, effect: ms.StreamBegun):
        forward, client = self.in_flight.get(effect.forward), self.clients.get(effect.call)
        if forward is None or client is None:
            return
        forward.streaming = True

        def drained():
            uncredited_bytes, forward.uncredited_bytes = forward.uncredited_bytes, 0
            if forward.pool_call is not None:
                forward.pool_call.consumed(uncredited_bytes)

        client.call.on_drained = drained
        results, forward.results = forward.results, []
        for data, size in results:
            self._relay(forward, data, size)

    def _stream_ended(self, effect: ms.StreamEnded):
        client = self.clients.get(effect.call)
        self.in_flight.pop(effect.forward, None)
        if client is None:
            return
        if effect.whole:
            client.call.finish(Status.OK)
        else:
            client.call.finish(
                outcomes.FAILED,
                f"the stream broke after {client.result_count} results",
                {"spruce-results": str(client.result_count)},
            )
        self._done(client, "returned" if effect.whole else "broken")

    def _shed(self, effect: ms.AnswerShed):
        client = self.clients.get(effect.call)
        if client is not None:
            client.call.finish(
                outcomes.SHED, "shed: no capacity in time", outcomes.pushback_metadata(effect.retry_after)
            )
            self._done(client, "shed")

    def _failed(self, effect: ms.AnswerFailed):
        client = self.clients.get(effect.call)
        if client is not None:
            client.call.finish(outcomes.FAILED_LATE if effect.late else outcomes.FAILED, "failed")
            self._done(client, "failed")

    def _rejected(self, effect: ms.Rejected):
        client = self.clients.get(effect.call)
        if client is not None:
            client.call.finish(outcomes.MALFORMED, effect.why)
            self._done(client, "rejected")

    # Orders, probes and other effects

    def _send_request(
        self,
        number: int,
        invoker: str,
        path: str,
        message: bytes,
        time_out: float,
        on_end: Callable[[it.Outcome, Metadata], None],
        on_message: Callable[[bytes], None] = lambda data: None,
    ):
        def on_event(event: CallEvent):
            if isinstance(event, Message):
                self.pending_requests[number].consumed(event.size)
                return on_message(event.data)
            if isinstance(event, Drained):
                return
            self.pending_requests.pop(number, None)
            if isinstance(event, Answered):
                on_end(outcomes.of_answer(event.status, event.messages), event.trailers)
            elif isinstance(event, Reset):
                on_end(outcomes.of_reset(event.never_ran, 0), {})
            else:
                on_end(it.Outcome.UNCONNECTED if isinstance(event, Unconnected) else it.Outcome.RESET, {})

        self.pending_requests[number] = self.pools.get(invoker).call(
            path, dict(self.own_metadata), time_out, message, on_event
        )

    def _order(self, effect: ms.SendOrder):
        def on_end(outcome: it.Outcome, trailers: Metadata):
            reported_copies = outcomes.read_int(trailers, names.STANDING)
            assumed_copies = effect.copies if outcome is it.Outcome.RETURNED else 0
            self.add_input(
                ms.OrderEnded(
                    effect.order, outcome.value, assumed_copies if reported_copies is None else reported_copies
                )
            )

        request = oip.RepositoryModelLoadRequest(model_name=effect.model)
        request.parameters[names.COPIES].int64_param = effect.copies
        self._send_request(
            effect.order, effect.invoker, names.MODEL_LOAD, request.SerializeToString(), effect.time_out, on_end
        )
        self.log.debug("order", invoker=effect.invoker, model=effect.model)

    def _unload(self, effect: ms.SendUnload):
        self.last_number += 1
        message = oip.RepositoryModelUnloadRequest(model_name=effect.model).SerializeToString()
        self._send_request(
            -self.last_number, effect.invoker, names.MODEL_UNLOAD, message, 5000.0, lambda outcome, trailers: None
        )

    def _probe(self, effect: ms.SendProbe):
        """Ask whether the invoker is ready for inferences; one that drains says that it is not."""
        is_ready = False

        def on_message(data: bytes):
            nonlocal is_ready
            is_ready = oip.ServerReadyResponse.FromString(data).ready

        def on_end(outcome: it.Outcome, trailers: Metadata):
            if outcome is it.Outcome.RETURNED and not is_ready:
                outcome = it.Outcome.ERROR
            self.add_input(ms.ProbeEnded(effect.probe, outcome.value, outcomes.read_report(trailers)))

        self._send_request(effect.probe, effect.invoker, names.SERVER_READY, b"", effect.time_out, on_end, on_message)

    def request_readiness(self, invoker: str) -> None:
        """For the shared view of the fleet: learn which process serves at the address, if the response names it."""

        def on_end(outcome: it.Outcome, trailers: Metadata):
            if outcome is it.Outcome.RETURNED and self.fleet is not None:
                self.fleet.probed(invoker, trailers)

        self.last_number += 1
        self._send_request(-self.last_number, invoker, names.SERVER_READY, b"", 500.0, on_end)

    def _send_message(self, effect: ms.SendMessage):
        note = platform.PeerNote(sender=self.plan.controller.number, payload=effect.payload).SerializeToString()
        for number, peer_address in self.peers.items():
            if effect.peer in (None, number):
                self.last_number += 1
                # Messages to peers may be lost: nothing waits for their delivery.
                self._send_request(
                    -self.last_number, peer_address, names.PEERS_TELL, note, 2000.0, lambda outcome, trailers: None
                )

    def _close_idle(self, effect: ms.CloseIdle):
        self.pools.close_idle(effect.invoker)

    def _beliefs(self, effect: ms.BeliefsGiven):
        if effect.token == VIEW_TOKEN and self.fleet is not None:
            self.fleet.beliefs_received(effect)
        elif self.exchange is not None:
            self.exchange.beliefs_received(effect)

    def _note(self, effect: ms.Note):
        (self.log.error if effect.fault else self.log.info)("module", text=effect.text, call=effect.call)

    def _check(self):
        self.check_timer = self.loop.call_later(CHECK_INTERVAL_SECONDS, self._check)
        self.pools.check(self.gateway.invokers)

    # Shutdown

    async def stop(self, timeout: float) -> int:
        """Wait up to `timeout` ms until no call is open, then fail the rest. Returns how many calls were failed."""
        end = self.loop.time() + timeout / 1000.0
        while self.clients and self.loop.time() < end:
            await asyncio.sleep(0.01)
        if self.exchange is not None:
            self.exchange.write_last_snapshot(self.batch.flush)
        left = list(self.clients.values())
        for client in left:
            client.call.finish(outcomes.FAILED, "the controller shuts down")
            self._client_left(client)
        return len(left)

    def close(self) -> None:
        """Accept no more inputs: nothing needs the events that pools still report."""
        self.closed = True
        if self.exchange is not None:
            self.exchange.stop()
        self.check_timer.cancel()
        self.batch.close()
        self.pools.close()


def _simple_method(response: Callable[[], Any]) -> Method:
    def serve(call: ServerCall, data: bytes):
        call.send(response().SerializeToString())
        call.finish(Status.OK)

    return unary(serve)


def _unsupported(why: str) -> Method:
    return unary(lambda call, data: call.finish(Status.UNIMPLEMENTED, why))


EFFECTS: dict[type, Callable] = {
    ms.SendForward: GatewayServer._forward,
    ms.Recall: GatewayServer._recall,
    ms.AnswerReturned: GatewayServer._returned,
    ms.StreamBegun: GatewayServer._stream_begun,
    ms.StreamEnded: GatewayServer._stream_ended,
    ms.AnswerShed: GatewayServer._shed,
    ms.AnswerFailed: GatewayServer._failed,
    ms.Rejected: GatewayServer._rejected,
    ms.SendOrder: GatewayServer._order,
    ms.SendUnload: GatewayServer._unload,
    ms.SendProbe: GatewayServer._probe,
    ms.CloseIdle: GatewayServer._close_idle,
    ms.SendMessage: GatewayServer._send_message,
    ms.WakeAt: lambda server, effect: server.batch.wake_at(effect.at),
    ms.Note: GatewayServer._note,
    ms.BeliefsGiven: GatewayServer._beliefs,
    ms.SubscribeRoster: lambda server, effect: server.subscribe(effect.active),
    ms.FetchRoster: lambda server, effect: server.fetch_roster(),
}
