"""Between sockets and the gateway: inferences of clients in, forwards and orders to invokers out.

Holds no decisions: it knows which connection each inference and forward belongs to, and carries out the gateway's
effects.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from sprucespool import interface as it
from sprucespool.gateway import Gateway
from sprucespool.gateway import messages as ms
from sprucespool.transport.clock import AnchoredClock
from sprucespool.node.clients import ClientListener, Peer
from sprucespool.node.invokers import Ask, Invoker
from sprucespool.node.logs import Log
from sprucespool.node.reports import Reports
from sprucespool.relay.configuration import Configuration
from sprucespool.relay.feed import Roster
from sprucespool.relay.frames import Request, Terms
from sprucespool.relay.lines import Answer, InvokerLink
from sprucespool.transport.plan import PoolLimits
from sprucespool.transport.turn import Turn

LOOK_EVERY = 0.25
# Of the time after which invokers close idle connections: ours close first, or a forward meets the close.
IDLE_PART = 0.7
CONNECTIONS, FIRST_PAUSE, LAST_PAUSE = 4, 50.0, 400.0
# Of the memory: what bodies of open inferences may hold.
HELD = 0.15


@dataclass(slots=True, eq=False)
class _Call:
    """One inference of a client."""

    call: str
    peer: Peer
    request: Request
    given: ms.Call
    since: float
    # When its client gives up, as near as it can be told here.
    deadline: float
    forwards: list[str] = field(default_factory=list)


@dataclass(slots=True, eq=False)
class _Forward:
    """One forward, with the result that waits until it is known whose it is."""

    client: _Call
    invoker: str
    ask: Ask | None = None
    body: bytes = b""


class GatewayServer:
    """The gateway's port, and what clients' requests mean."""

    def __init__(self, plan: Configuration, log: Log, clock: AnchoredClock):
        self.plan, self.log, self.clock = plan, log, clock
        self.gateway = Gateway(plan.deployment, plan.seed, self._effect)
        self.batch = Turn(self.gateway.take, self._after)
        self.loop = self.batch.loop
        self.roster = Roster()
        self.listener = ClientListener(
            Terms(plan.deployment), self, log, plan.sockets, plan.memory_mb, self.batch.pace.unread
        )
        self.calls: dict[str, _Call] = {}
        self.ids: dict[str, _Call] = {}
        self.in_flight: dict[int, _Forward] = {}
        self.ordered: dict[int, Ask] = {}
        # Forwards whose end is told: their results may be wanted until the gateway took it, and never after.
        self.ended: list[int] = []
        self.invokers: dict[str, Invoker] = {}
        # Of invokers that left or restarted, until what is open there has ended.
        self.leaving: dict[Invoker, None] = {}
        self.numbers = self.held = self.turned_away = 0
        self.most_held = int(HELD * plan.memory_mb * 2**20)
        self.ready = False
        # When the program must have answered all it owes; none while it is not told to end.
        self.until: float | None = None
        self.reports = Reports(log, self.gateway.counts, self._status, self.batch.now())
        # For how long discovery was not heard (ms), for the log.
        self.unheard_for: Callable[[], float] = lambda: 0.0
        self.look = self.loop.call_later(LOOK_EVERY, self._look)

    def _status(self) -> dict[str, Any]:
        return {"owed": len(self.calls), "invokers": len(self.roster.places), "unheard_ms": round(self.unheard_for())}

    def _after(self):
        ended, self.ended = self.ended, []
        for number in ended:
            self.in_flight.pop(number, None)

    def _effect(self, effect: ms.Effect):
        EFFECTS[type(effect)](self, effect)

    # The roster

    def start(self) -> None:
        """What the configuration knows of the invokers."""
        for news in self.roster.known(self.plan.cursor, self.plan.commands, self.clock.unix_ms()):
            self.apply_roster(news)
        self.discovery_heard(None)
        self.ready = True

    def apply_roster(self, news: ms.Roster) -> None:
        for name, invoker in list(self.invokers.items()):
            # Against a newcomer at an old address, or a process started afresh, that inherits connections.
            if self.roster.places.get(name) != invoker.place:
                del self.invokers[name]
                self.leaving[invoker] = None
        self.batch.tell(news)
        for row in news.rows:
            listed = self.invokers.get(row.invoker)
            if listed is None:
                continue
            if row.status == it.Status.IN_SERVICE.value:
                listed.accepting = True
            else:
                listed.stop_sending()
        for invoker in self.leaving:
            invoker.stop_sending()

    def discovery_heard(self, age: float | None) -> None:
        """So long ago (ms) nothing was left untold; None: not yet since the start."""
        self.batch.tell(ms.DiscoveryHeard(age))

    def invoker(self, name: str) -> Invoker | None:
        place = self.roster.places.get(name)
        if name not in self.invokers:
            if place is None:
                return None
            limits = PoolLimits(
                connections=CONNECTIONS,
                connect_timeout=self.plan.deployment.connect_timeout,
                idle_close=IDLE_PART * self.plan.idle_close,
                first_backoff=FIRST_PAUSE,
                last_backoff=LAST_PAUSE,
            )
            self.numbers += 1
            self.invokers[name] = Invoker(
                place,
                limits,
                self.plan.streams,
                self.plan.seed + 7919 * self.numbers,
                lambda what, why: self.log.debug(what, invoker=name, why=why),
                lambda: self.batch.tell(ms.Disconnected(name)),
                self.batch.pace,
            )
        return self.invokers[name]

    # Clients

    def asked(self, peer: Peer, request: Request) -> bool:
        """False where the id is that of an open inference: whose answer would it be?"""
        if request.id in self.ids:
            return False
        now = self.batch.now()
        if self.held + len(request.body) > self.most_held:
            self.turned_away += 1
            self.log.info("turned away", why="too much is held here", held=self.held)
            peer.link.shed(request.stream, 0.0)
            peer.answered(request.stream)
            return True
        unread = self.batch.pace.unread_on(peer.waited)
        ttl = request.ttl - max(self.batch.lag, unread)
        if self.until is not None:
            ttl = min(ttl, self.until - now)
        self.numbers += 1
        given = ms.Call(
            f"{self.numbers}",
            request.group,
            request.model,
            max(1.0, ttl),
            request.tenant,
            request.work,
            request.memory_mb,
            request.lanes,
            request.load_time,
            request.repeat,
            waited=unread,
        )
        client = _Call(given.call, peer, request, given, now, now + ttl)
        peer.calls[request.stream] = client
        self.calls[given.call] = self.ids[request.id] = client
        self.held += len(request.body)
        self.batch.tell(given)
        return True

    def taken_back(self, peer: Peer, stream: int) -> None:
        client = peer.calls.pop(stream, None)
        if isinstance(client, _Call):
            # Hundreds taken back at once are not worth a look of the module each.
            if not self.batch.withdraw(client.given):
                self.batch.tell(ms.Left(client.call))
            self._done(client, "left")

    def _done(self, client: _Call, how: str):
        if self.calls.pop(client.call, None) is None:
            return
        del self.ids[client.request.id]
        self.held -= len(client.request.body)
        if self.log.debugging:
            self.log.debug(
                "inference",
                id=client.request.id,
                model=client.request.model,
                group=client.request.group,
                end=how,
                ms=round(self.batch.now() - client.since, 1),
                ttl=client.request.ttl,
                forwards=",".join(client.forwards) or "-",
            )

    def _answer(self, call: str, how: str, write: Callable[[_Call], None]):
        client = self.calls.get(call)
        if client is None:
            return
        self._done(client, how)
        stream = client.request.stream
        if not client.peer.wire.lost and client.peer.calls.get(stream) is client:
            write(client)
            client.peer.answered(stream)

    def _returned(self, effect: ms.AnswerReturned):
        out = self.in_flight.pop(effect.forward, None)
        if out is not None:
            self._answer(
                effect.call, "returned", lambda client: client.peer.link.returned(client.request.stream, out.body)
            )

    def _shed(self, effect: ms.AnswerShed):
        self._answer(
            effect.call, "shed", lambda client: client.peer.link.shed(client.request.stream, effect.retry_after)
        )

    def _fail(self, call: str, how: str):
        self._answer(call, how, lambda client: client.peer.link.failed(client.request.stream))

    # Invokers

    def _forward(self, effect: ms.SendForward):
        client, invoker = self.calls.get(effect.call), self.invoker(effect.invoker)
        if client is None or invoker is None:
            # The client or the invoker left in this very turn of the loop.
            return self.batch.tell(ms.ForwardEnded(effect.forward, it.Outcome.NOT_SENT.value))
        out = self.in_flight[effect.forward] = _Forward(client, effect.invoker)
        request = client.request
        client.forwards.append(effect.invoker)
        now, dep = self.batch.now(), self.plan.deployment
        deadline = min(now + effect.time_out, client.deadline)
        # Decided so long ago, it might reach an invoker that no longer drops it as a repeat.
        write_by = min(effect.write_by, now + dep.connect_timeout + dep.answer_slack)
        out.ask = invoker.ask(
            request.id,
            lambda link: link.run(
                request.id, request.group, request.model, deadline, request.once, request.body, write_by
            ),
            lambda end: self._heard(effect.forward, out, end),
            lambda: effect.call in self.calls,
        )

    def _heard(self, number: int, out: _Forward, end: Answer | it.Outcome):
        if number not in self.in_flight:
            return
        self.ended.append(number)
        if isinstance(end, Answer):
            if end.outcome is it.Outcome.FULL:
                self.reports.turned_away(out.invoker, out.client.request.id)
            out.body = end.body
            told = self.plan.deployment.tells_same_model and end.outcome in (it.Outcome.RETURNED, it.Outcome.FULL)
            self.batch.tell(
                ms.ForwardEnded(
                    number,
                    end.outcome.value,
                    end.found.value,
                    end.load_failed,
                    end.same_model if told else None,
                    end.report,
                )
            )
        else:
            self.batch.tell(ms.ForwardEnded(number, end.value))
        if self.log.debugging:
            outcome = end.outcome if isinstance(end, Answer) else end
            self.log.debug(
                "forward",
                id=out.client.request.id,
                invoker=out.invoker,
                end=outcome.value,
                found=end.found.value if isinstance(end, Answer) else "-",
                ms=round(self.batch.now() - (out.ask.at if out.ask else 0.0), 1),
            )

    def _recall(self, effect: ms.Recall):
        out = self.in_flight.pop(effect.forward, None)
        if out is not None and out.ask is not None:
            out.ask.give_up()

    def _ask(self, number: int, name: str, tag: str, write: Callable, ended: Callable[[Answer | it.Outcome], None]):
        invoker = self.invoker(name)
        if invoker is None:
            return ended(it.Outcome.UNCONNECTED)

        def heard(end: Answer | it.Outcome):
            self.ordered.pop(number, None)
            ended(end)

        self.ordered[number] = invoker.ask(tag, write, heard)

    def _order(self, effect: ms.SendOrder):
        tag = f"o{effect.order}"

        def ended(end: Answer | it.Outcome):
            standing = end.standing if isinstance(end, Answer) else 0
            outcome = end.outcome if isinstance(end, Answer) else end
            self.log.debug("order", invoker=effect.invoker, model=effect.model, end=outcome.value, standing=standing)
            self.batch.tell(ms.OrderEnded(effect.order, outcome.value, standing))

        # Like a run: what was allowed so long ago may not be allowed any more.
        write_by = self.batch.now() + self.plan.deployment.connect_timeout

        def write(link: InvokerLink):
            link.order(tag, effect.model, effect.copies, write_by)

        self._ask(effect.order, effect.invoker, tag, write, ended)

    def _probe(self, effect: ms.SendProbe):
        tag = f"p{effect.probe}"
        fields = self.plan.deployment.report_fields

        def ended(end: Answer | it.Outcome):
            outcome = end.outcome if isinstance(end, Answer) else end
            self.batch.tell(ms.ProbeEnded(effect.probe, outcome.value, end.report if isinstance(end, Answer) else {}))

        self._ask(effect.probe, effect.invoker, tag, lambda link: link.probe(tag, bool(fields)), ended)
        ask = self.ordered.get(effect.probe)
        if ask is not None:
            self.loop.call_later(effect.time_out / 1000.0, self._probe_late, effect.probe, ask)

    def _probe_late(self, number: int, ask: Ask):
        if self.ordered.get(number) is ask:
            del self.ordered[number]
            ask.give_up()
            self.batch.tell(ms.ProbeEnded(number, it.Outcome.TIMED_OUT.value))

    def _unload(self, effect: ms.SendUnload):
        invoker = self.invoker(effect.invoker)
        if invoker is not None:
            invoker.tell(lambda link: link.unload(effect.model))

    def _close_idle(self, effect: ms.CloseIdle):
        if effect.invoker in self.invokers:
            self.invokers[effect.invoker].close_idle()

    def _note(self, effect: ms.Note):
        (self.log.error if effect.fault else self.log.info)("module", text=effect.text, call=effect.call)

    def _look(self):
        self.look = self.loop.call_later(LOOK_EVERY, self._look)
        for invoker in list(self.invokers.values()):
            invoker.look()
        for invoker in list(self.leaving):
            invoker.look()
            if invoker.quiet:
                invoker.close()
                del self.leaving[invoker]
        self.reports.look(self.batch.now())
        late = self.batch.now() - 2 * self.plan.deployment.order_timeout
        for number, ask in list(self.ordered.items()):
            if ask.at < late:
                # The gateway stopped waiting for this order long ago.
                del self.ordered[number]
                ask.give_up()

    # The end

    def fail_the_rest(self) -> int:
        """What is owed at the very end is failed; gives how many that were."""
        left = list(self.calls.values())
        for client in left:
            self._fail(client.call, "failed at the end")
        for out in self.in_flight.values():
            if out.ask is not None:
                out.ask.give_up()
        return len(left)

    def close(self) -> None:
        self.look.cancel()
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
    # The platform tells of invokers unasked, and carries nothing between controllers or in streams.
    ms.SubscribeRoster: lambda server, effect: None,
    ms.FetchRoster: lambda server, effect: None,
    ms.SendMessage: lambda server, effect: None,
    ms.BeliefsGiven: lambda server, effect: None,
}
