"""Between sockets and the gateway: calls of clients in, forwards to invokers out.

Holds no decisions: it knows which connection each call and forward belongs to, and carries out the gateway's effects.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, BinaryIO

from sprucespool import interface as it
from sprucespool.daemon.failover import FailoverCarrier
from sprucespool.daemon.fleet import SHOWING, FleetCarrier
from sprucespool.daemon.learning import Exchange
from sprucespool.daemon.request import parsed
from sprucespool.gateway import Decider, Gateway, Recorder
from sprucespool.gateway import messages as ms
from sprucespool.grpc.events import Answered, Drained, Message, Reset
from sprucespool.grpc.status import Limits, Metadata, Status
from sprucespool.policy import Controller
from sprucespool.settings.controller import ControllerPlan, ModelTable, address, deployment
from sprucespool.transport.listener import Method, ServerCall, unary
from sprucespool.transport.plan import PoolLimits
from sprucespool.transport.pool import CallEvent, Pool, PoolCall, Unconnected
from sprucespool.transport.input_batcher import InputBatcher
from sprucespool.wire import inference_pb2 as oip
from sprucespool.wire import names, outcomes
from sprucespool.wire import platform_pb2 as platform
from sprucespool.wire.peek import MalformedRequest, RequestFields, peek_request, wrap_stream_result

LOOK_EVERY = 1.0


@dataclass(slots=True, eq=False)
class _Client:
    """One call of a client."""

    id: str
    call: ServerCall
    request: bytes
    told: RequestFields
    streamed: bool
    path: str
    since: float
    group: str
    given: ms.Call
    forwards: list[str] = field(default_factory=list)
    results: int = 0


@dataclass(slots=True, eq=False)
class _Out:
    """One forward, with the results that wait until it is known whose they are."""

    client: _Client
    sent: PoolCall | None = None
    invoker: str = ""
    results: list[tuple[bytes, int]] = field(default_factory=list)
    count: int = 0
    streaming: bool = False
    owed: int = 0
    due: float = 0.0


class Door:
    """The gateway's port, and the methods that clients call."""

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
        self.gateway = library(deployment(plan), plan.seed, self._effect, decider)
        self.taker: Gateway | Recorder = Recorder(self.gateway, record) if record else self.gateway
        self.turn = InputBatcher(self.taker.take, self._after)
        self.models = ModelTable(plan.models)
        self.clients: dict[str, _Client] = {}
        self.out: dict[int, _Out] = {}
        self.pools: dict[str, Pool] = {}
        self.asked: dict[int, PoolCall] = {}
        self.peers = {peer.number: peer.address for peer in plan.peers}
        # Forwards whose end is told: their results may be wanted until the gateway took it, and never after.
        self.ended: list[int] = []
        self.debugging = plan.log.level == "debug"
        self.held = self.numbers = 0
        self.leaving, self.closed = False, False
        self.subscribe: Callable[[bool], None] = lambda active: None
        self.fetch_roster: Callable[[], None] = lambda: None
        self.ready = False
        self.exchange: Exchange | None = None
        # What own forwards show of invokers, where a view in common is kept.
        self.eyes: FleetCarrier | None = None
        # Which zones an inference may go to, where a plan of zones is followed.
        self.steers: FailoverCarrier | None = None
        bounds, far = plan.bounds, plan.to_invokers
        self.far_limits = Limits(
            streams=far.streams,
            message=bounds.message,
            header_list=bounds.headers,
            stream_window=max(65_536, bounds.stream_buffer),
            link_window=16 * 2**20,
        )
        self.pool_limits = PoolLimits(
            connections=far.connections,
            connect_timeout=plan.forwards.connect_timeout,
            idle_close=far.idle_close,
            keepalive=far.keepalive,
            keepalive_timeout=far.keepalive_timeout,
            initial_backoff=far.first_backoff,
            max_backoff=far.last_backoff,
            source=plan.source,
        )
        self.about = {names.CONTROLLER: str(plan.controller.number)}
        if plan.learning is not None:
            self.exchange = Exchange(
                plan.learning,
                plan.fleet.keep_alive,
                self.tell,
                log,
                self.about,
                plan.seed * 17 + plan.controller.number,
                source=plan.source,
            )
        self.look = self.loop.call_later(LOOK_EVERY, self._look)
        self.turned_away = 0

    def now(self) -> float:
        return self.loop.time() * 1000.0

    # Towards the gateway

    def tell(self, given: ms.Input) -> None:
        self.turn.add(given)
        if isinstance(given, ms.Roster):
            self._withdraw_from(given)

    def _withdraw_from(self, news: ms.Roster):
        """What waits for a connection to an invoker that drains or has left goes on elsewhere."""
        serving = {row.invoker for row in news.rows if row.status == it.Status.IN_SERVICE.value}
        whole = news.kind == it.News.REPLACE.value
        named = list(self.pools) if whole else [row.invoker for row in news.rows]
        for name in named:
            if name in self.pools and name not in serving:
                self.pools[name].withdraw_waiting("the invoker drains or has left")

    def _after(self):
        ended, self.ended = self.ended, []
        for number in ended:
            self.out.pop(number, None)

    def _effect(self, effect: ms.Effect):
        EFFECTS[type(effect)](self, effect)

    # Methods of clients

    def methods(self) -> dict[str, Method]:
        return {
            names.MODEL_INFER: unary(lambda call, data: self._infer(call, data, False)),
            names.MODEL_STREAM_INFER: unary(lambda call, data: self._infer(call, data, True)),
            names.SERVER_LIVE: _plain(lambda: oip.ServerLiveResponse(live=True)),
            names.SERVER_READY: _plain(lambda: oip.ServerReadyResponse(ready=self.ready and not self.leaving)),
            names.MODEL_READY: unary(self._model_ready),
            names.SERVER_METADATA: _plain(
                lambda: oip.ServerMetadataResponse(name="sprucespool", extensions=["model_repository", "streamed"])
            ),
            names.MODEL_METADATA: unary(self._model_metadata),
            names.REPOSITORY_INDEX: _plain(
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
            names.PEERS_TELL: unary(self._peer_told),
            **(self.exchange.methods() if self.exchange else {}),
        }

    def _model_ready(self, call: ServerCall, data: bytes):
        asked = parsed(call, oip.ModelReadyRequest, data)
        if asked is not None:
            # Any model of a known group can be called; a load on demand is part of a call.
            facts = self.models.of(asked.name)
            ready = self.ready and (len(self.gateway.groups) == 1 or facts is not None and facts.group is not None)
            call.send(oip.ModelReadyResponse(ready=ready).SerializeToString())
            call.finish(Status.OK)

    def _model_metadata(self, call: ServerCall, data: bytes):
        asked = parsed(call, oip.ModelMetadataRequest, data)
        if asked is not None:
            call.send(oip.ModelMetadataResponse(name=asked.name, platform="sprucespool").SerializeToString())
            call.finish(Status.OK)

    def _peer_told(self, call: ServerCall, data: bytes):
        note = parsed(call, platform.PeerNote, data)
        if note is None:
            return
        if not self.plan.peers:
            return call.finish(Status.PERMISSION_DENIED, "this controller has no peers")
        self.tell(ms.PeerMessage(note.sender, note.payload))
        call.send(platform.PeerHeard().SerializeToString())
        call.finish(Status.OK)

    def _infer(self, call: ServerCall, data: bytes, streamed: bool):
        bounds, wait = self.plan.bounds, self.plan.answers.longest_retry_after
        if len(self.clients) >= bounds.calls or self.held + len(data) > bounds.held:
            self.turned_away += 1
            return call.finish(outcomes.SHED, "too much is held here", outcomes.pushback_metadata(wait))
        if self.turn.lag > bounds.lag:
            # Against a loop that falls behind: what it takes in now it would answer when nobody waits any more.
            self.turned_away += 1
            return call.finish(outcomes.SHED, "the controller is behind", outcomes.pushback_metadata(wait))
        try:
            told = peek_request(data)
            given = self._call_of(call, told, streamed)
        except MalformedRequest as problem:
            return call.finish(outcomes.MALFORMED, f"no ModelInferRequest: {problem}")
        except ValueError as problem:
            return call.finish(outcomes.MALFORMED, str(problem))
        group = self.gateway.groups[given.group]
        client = _Client(
            given.call,
            call,
            data,
            told,
            streamed,
            names.MODEL_STREAM_INFER if group.streamed else names.MODEL_INFER,
            self.now(),
            group.name,
            given,
        )
        self.clients[client.id] = client
        self.held += len(data)
        if self.steers is not None:
            given.zones = self.steers.zones(given)
        call.on_cancelled = lambda: self._client_gone(client)
        self.tell(given)

    def _call_of(self, call: ServerCall, told: RequestFields, streamed: bool) -> ms.Call:
        """Raises ValueError with what was expected."""
        if not told.model:
            raise ValueError("expected model_name")
        facts = self.models.of(told.model)

        def text(name: str, absent: str | None) -> str:
            value = told.parameters.get(name, call.metadata.get(names.PREFIX + name.replace("_", "-"), absent or ""))
            if not isinstance(value, str):
                raise ValueError(f"expected {name} as a string, got {value!r}")
            return value

        def number(name: str, absent: float | None) -> float | None:
            value = told.parameters.get(name, call.metadata.get(names.PREFIX + name.replace("_", "-"), absent))
            try:
                found = None if value is None else float(value)
            except ValueError:
                found = float("nan")
            if found is not None and not 0 <= found < 1e9:
                raise ValueError(f"expected {name} as a number from 0 to 1e9, got {value!r}")
            return found

        only = next(iter(self.gateway.groups)) if len(self.gateway.groups) == 1 else None
        name = text(names.MODEL_GROUP, facts.group if facts and facts.group else only)
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
        self.numbers += 1
        waited = self.turn.pace.possible_wait_on_connection_ms(call.waited)
        return ms.Call(
            f"{self.plan.controller.number}-{self.numbers}",
            name,
            told.model,
            max(1.0, min(group.route_timeout, group.route_timeout if call.timeout is None else call.timeout) - waited),
            tenant,
            number(names.COST, None),
            memory,
            max(1, int(lanes)) if lanes is not None else None,
            number(names.LOAD_TIME, facts.load_time if facts else None),
            call.metadata.get(names.PREVIOUS_ATTEMPTS, "0") not in ("", "0"),
            bool(told.parameters.get(names.WRITE, False)),
            waited=waited,
        )

    def _client_gone(self, client: _Client):
        if self.clients.get(client.id) is client:
            if not self.turn.withdraw(client.given):
                self.tell(ms.Left(client.id))
            self._done(client, "left")

    def _done(self, client: _Client, how: str):
        self.clients.pop(client.id, None)
        self.held -= len(client.request)
        client.request = b""
        self.log.info(
            "inference",
            id=client.told.id or client.id,
            call=client.id,
            model=client.told.model,
            end=how,
            ms=round(self.now() - client.since, 1),
            forwards=client.forwards,
        )

    # Towards invokers

    def pool(self, name: str) -> Pool:
        if name not in self.pools:
            host, port = address(name)
            # Each pool draws its own pauses, each controller other ones.
            seed = self.plan.seed * 1000 + self.plan.controller.number + len(self.pools) * 7919
            self.pools[name] = Pool(host, port, self.far_limits, self.pool_limits, seed, self.turn.pace)
        return self.pools[name]

    def _forward(self, effect: ms.SendForward):
        client = self.clients.get(effect.call)
        if client is None:
            # The client left in this very turn of the loop; its going is the next input.
            return self.tell(ms.ForwardEnded(effect.forward, it.Outcome.NOT_SENT.value))
        out = self.out[effect.forward] = _Out(client, invoker=effect.invoker, due=self.now() + effect.time_out)
        if self.eyes is not None:
            self.eyes.sent(effect.forward, effect.invoker)
        if self.steers is not None:
            self.steers.sent(effect.forward, effect.invoker, client.group)
        client.forwards.append(effect.invoker)
        metadata = {**self.about, **({names.PREVIOUS_ATTEMPTS: str(effect.attempt)} if effect.attempt else {})}
        out.sent = self.pool(effect.invoker).call(
            client.path, metadata, effect.time_out, client.request, lambda event: self._heard(effect.forward, event)
        )

    def _heard(self, number: int, event: CallEvent):
        out = self.out.get(number)
        if out is None:
            return
        if isinstance(event, Message):
            out.count += 1
            if out.streaming:
                self._relay(out, event.data, event.size)
            else:
                out.results.append((event.data, event.size))
                if out.client.path == names.MODEL_STREAM_INFER and out.count == 1:
                    self.tell(ms.FirstResult(number))
                elif out.client.path == names.MODEL_INFER:
                    assert out.sent is not None
                    out.sent.consumed(event.size)
            return
        if isinstance(event, Drained):
            return
        trailers: Metadata = {}
        if isinstance(event, Answered):
            outcome = outcomes.of_answer(event.status, event.messages)
            trailers = event.trailers
        elif isinstance(event, Reset):
            outcome = outcomes.of_reset(event.never_ran, out.count)
        else:
            outcome = it.Outcome.UNCONNECTED if isinstance(event, Unconnected) else it.Outcome.RESET
        found = outcomes.read_found(trailers)
        self.ended.append(number)
        if self.debugging and outcome is not it.Outcome.RETURNED:
            self.log.debug("forward", call=out.client.id, invoker=out.invoker, end=outcome.value, told=str(event)[:200])
        if self.eyes is not None:
            self.eyes.ended(number, outcome, trailers)
        if self.steers is not None:
            self.steers.ended(number, outcome, found)
        if self.exchange is not None:
            self.exchange.ended(out.invoker, out.client.told.model, outcome, found)
        self.tell(
            ms.ForwardEnded(
                number,
                outcome.value,
                found.value,
                outcomes.read_int(trailers, names.LOAD_FAILED) == 1,
                outcomes.read_int(trailers, names.SAME_MODEL),
                outcomes.read_report(trailers),
            )
        )

    def _relay(self, out: _Out, data: bytes, size: int):
        """A streamed result goes on; the invoker may send more only as the client reads."""
        out.client.results += 1
        waiting = out.client.call.send(data)
        if waiting > self.plan.bounds.stream_buffer:
            out.owed += size
            out.client.call.mark()
        elif out.sent is not None:
            out.sent.consumed(size)

    def _recall(self, effect: ms.Recall):
        out = self.out.pop(effect.forward, None)
        if out is not None and out.sent is not None:
            out.sent.cancel()
        if out is not None and self.eyes is not None:
            over = self.now() >= out.due - 1.0 and not out.streaming
            how = it.Outcome.TIMED_OUT if over else it.Outcome.CALLED_OFF
            self.eyes.ended(effect.forward, how, {})
            if self.steers is not None:
                self.steers.ended(effect.forward, how, it.Found.UNTOLD)

    # Answers

    def _returned(self, effect: ms.AnswerReturned):
        client, out = self.clients.get(effect.call), self.out.pop(effect.forward, None)
        if client is None or out is None:
            return
        for data, _ in out.results[:1]:
            client.call.send(wrap_stream_result(data) if client.streamed else data)
        client.call.finish(Status.OK)
        self._done(client, "returned")

    def _stream_begun(self, effect: ms.StreamBegun):
        out, client = self.out.get(effect.forward), self.clients.get(effect.call)
        if out is None or client is None:
            return
        out.streaming = True

        def drained():
            owed, out.owed = out.owed, 0
            if out.sent is not None:
                out.sent.consumed(owed)

        client.call.on_drained = drained
        results, out.results = out.results, []
        for data, size in results:
            self._relay(out, data, size)

    def _stream_ended(self, effect: ms.StreamEnded):
        client = self.clients.get(effect.call)
        self.out.pop(effect.forward, None)
        if client is None:
            return
        if effect.whole:
            client.call.finish(Status.OK)
        else:
            client.call.finish(
                outcomes.FAILED,
                f"the stream broke after {client.results} results",
                {"spruce-results": str(client.results)},
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

    # Orders, probes and the rest

    def _ask(
        self,
        number: int,
        invoker: str,
        path: str,
        message: bytes,
        time_out: float,
        ended: Callable[[it.Outcome, Metadata], None],
    ):
        def heard(event: CallEvent):
            if isinstance(event, Message):
                self.asked[number].consumed(event.size)
                return
            if isinstance(event, Drained):
                return
            self.asked.pop(number, None)
            if isinstance(event, Answered):
                ended(outcomes.of_answer(event.status, event.messages), event.trailers)
            elif isinstance(event, Reset):
                ended(outcomes.of_reset(event.never_ran, 0), {})
            else:
                ended(it.Outcome.UNCONNECTED if isinstance(event, Unconnected) else it.Outcome.RESET, {})

        self.asked[number] = self.pool(invoker).call(path, dict(self.about), time_out, message, heard)

    def _order(self, effect: ms.SendOrder):
        def ended(outcome: it.Outcome, trailers: Metadata):
            standing = outcomes.read_int(trailers, names.STANDING)
            stands = effect.copies if outcome is it.Outcome.RETURNED else 0
            self.tell(ms.OrderEnded(effect.order, outcome.value, stands if standing is None else standing))

        request = oip.RepositoryModelLoadRequest(model_name=effect.model)
        request.parameters[names.COPIES].int64_param = effect.copies
        self._ask(effect.order, effect.invoker, names.MODEL_LOAD, request.SerializeToString(), effect.time_out, ended)
        self.log.debug("order", invoker=effect.invoker, model=effect.model)

    def _unload(self, effect: ms.SendUnload):
        self.numbers += 1
        message = oip.RepositoryModelUnloadRequest(model_name=effect.model).SerializeToString()
        self._ask(-self.numbers, effect.invoker, names.MODEL_UNLOAD, message, 5000.0, lambda outcome, trailers: None)

    def _probe(self, effect: ms.SendProbe):
        self._ask(
            effect.probe,
            effect.invoker,
            names.SERVER_LIVE,
            b"",
            effect.time_out,
            lambda outcome, trailers: self.tell(
                ms.ProbeEnded(effect.probe, outcome.value, outcomes.read_report(trailers))
            ),
        )

    def ask_ready(self, invoker: str) -> None:
        """For the view in common: which process stands there, if it tells."""

        def ended(outcome: it.Outcome, trailers: Metadata):
            if outcome is it.Outcome.RETURNED and self.eyes is not None:
                self.eyes.probed(invoker, trailers)

        self.numbers += 1
        self._ask(-self.numbers, invoker, names.SERVER_READY, b"", 500.0, ended)

    def _message(self, effect: ms.SendMessage):
        note = platform.PeerNote(sender=self.plan.controller.number, payload=effect.payload).SerializeToString()
        for number, where in self.peers.items():
            if effect.peer in (None, number):
                self.numbers += 1
                # Notes may be lost: nobody waits for them.
                self._ask(-self.numbers, where, names.PEERS_TELL, note, 2000.0, lambda outcome, trailers: None)

    def _close_idle(self, effect: ms.CloseIdle):
        if effect.invoker in self.pools:
            self.pools[effect.invoker].close_idle()

    def _beliefs(self, effect: ms.BeliefsGiven):
        if effect.token == SHOWING and self.eyes is not None:
            self.eyes.given(effect)
        elif self.exchange is not None:
            self.exchange.given(effect)

    def _note(self, effect: ms.Note):
        (self.log.error if effect.fault else self.log.info)("module", text=effect.text, call=effect.call)

    def _look(self):
        self.look = self.loop.call_later(LOOK_EVERY, self._look)
        for name, pool in list(self.pools.items()):
            pool.check()
            if pool.quiet and name not in self.gateway.invokers:
                del self.pools[name]

    # The end

    async def stop(self, timeout: float) -> int:
        """Wait until nothing is owed, at most `timeout` ms; what is left then is failed. Gives how many that were."""
        end = self.loop.time() + timeout / 1000.0
        while self.clients and self.loop.time() < end:
            await asyncio.sleep(0.01)
        if self.exchange is not None:
            self.exchange.last_words(self.turn.flush)
        left = list(self.clients.values())
        for client in left:
            client.call.finish(outcomes.FAILED, "the controller shuts down")
            self._client_gone(client)
        return len(left)

    def close(self) -> None:
        """Nothing is taken in any more: what pools still tell is of no use to anyone."""
        self.closed = True
        if self.exchange is not None:
            self.exchange.stop()
        self.look.cancel()
        self.turn.close()
        for pool in self.pools.values():
            pool.close()


def _plain(answer: Callable[[], Any]) -> Method:
    def serve(call: ServerCall, data: bytes):
        call.send(answer().SerializeToString())
        call.finish(Status.OK)

    return unary(serve)


def _unsupported(why: str) -> Method:
    return unary(lambda call, data: call.finish(Status.UNIMPLEMENTED, why))


EFFECTS: dict[type, Callable] = {
    ms.SendForward: Door._forward,
    ms.Recall: Door._recall,
    ms.AnswerReturned: Door._returned,
    ms.StreamBegun: Door._stream_begun,
    ms.StreamEnded: Door._stream_ended,
    ms.AnswerShed: Door._shed,
    ms.AnswerFailed: Door._failed,
    ms.Rejected: Door._rejected,
    ms.SendOrder: Door._order,
    ms.SendUnload: Door._unload,
    ms.SendProbe: Door._probe,
    ms.CloseIdle: Door._close_idle,
    ms.SendMessage: Door._message,
    ms.WakeAt: lambda door, effect: door.turn.wake_at(effect.at),
    ms.Note: Door._note,
    ms.BeliefsGiven: Door._beliefs,
    ms.SubscribeRoster: lambda door, effect: door.subscribe(effect.active),
    ms.FetchRoster: lambda door, effect: door.fetch_roster(),
}
