"""Ids, timers, calls, forwards and orders of one controller around the decision module.

The module decides. What is done here is bookkeeping: every forward ends once for the module, every call ends once for
the client, whatever order things come in. A wrong action of the module is refused, noted and counted, never passed on.
"""

from __future__ import annotations

import heapq
import math
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field, fields
from typing import Protocol

from sprucespool import interface as it
from sprucespool.gateway import messages as ms
from sprucespool.policy import Controller

OUTCOMES = {outcome.value: outcome for outcome in it.Outcome}
FOUND = {found.value: found for found in it.Found}
STATUSES = {status.value: status for status in it.Status}
NEWS = {kind.value: kind for kind in it.News}
# The counts that ends of forwards go into.
COUNTED = {
    it.Outcome.FULL: "turned_away",
    it.Outcome.MISS: "missed",
    it.Outcome.ERROR: "errors",
    it.Outcome.RESET: "resets",
    it.Outcome.UNCONNECTED: "unconnected",
    it.Outcome.NOT_SENT: "not_sent",
}
# Names kept before those that nobody uses are looked for: one-off models would else fill the memory.
SWEEP_AT, SWEEP_INVOKERS_AT = 4096, 256


class Decider(Protocol):
    """What a decision module looks like from here; `policy.Controller` is the one that serves."""

    def handle(self, now: float, events: list) -> list: ...


@dataclass(slots=True)
class Counts:
    """What happened since the start, by number."""

    taken: int = 0
    returned: int = 0
    shed: int = 0
    failed: int = 0
    broken: int = 0
    left: int = 0
    rejected: int = 0
    forwards: int = 0
    orders: int = 0
    probes: int = 0
    timed_out: int = 0
    # Forwards by how they ended, where that was neither an answer nor a time-out.
    turned_away: int = 0
    missed: int = 0
    errors: int = 0
    resets: int = 0
    unconnected: int = 0
    not_sent: int = 0
    refused_actions: int = 0
    overdue: int = 0
    module_faults: int = 0
    stale_inputs: int = 0

    def forward_ended(self, outcome: it.Outcome) -> None:
        name = COUNTED.get(outcome)
        if name is not None:
            setattr(self, name, getattr(self, name) + 1)

    def as_dict(self) -> dict[str, int]:
        return {f.name: getattr(self, f.name) for f in fields(self)}


@dataclass(slots=True, eq=False)
class _Held:
    """A call still owed an answer, or one whose forwards have not all ended."""

    inference: it.Inference
    until: float
    out: dict[int, it.Forward] = field(default_factory=dict)
    over: bool = False
    streaming: int | None = None
    forwards: int = 0


@dataclass(slots=True, eq=False)
class _Sent:
    held: _Held
    forward: it.Forward
    at: float
    # None once a stream has begun on it: neither its time-out nor the route timeout runs then.
    due: float | None


@dataclass(slots=True, eq=False)
class _Ordered:
    invoker: it.Invoker
    model: it.Model
    at: float


class Gateway:
    """One controller. `port` is called with each effect, in order, during `take`.

    `take` may be called again from within the port: the inputs wait their turn. `decider` makes the module; others
    than the default exist for baselines and for tests that prove the rule checker.
    """

    def __init__(
        self,
        deployment: it.Deployment,
        seed: int,
        port: Callable[[ms.Effect], None],
        decider: Callable[[it.Deployment, int], Decider] = Controller,
    ):
        self.deployment, self.seed, self.port = deployment, seed, port
        self.module = decider(deployment, seed)
        self.groups = {group.name: group for group in deployment.groups}
        self.tenants = {tenant.name: tenant for tenant in deployment.tenants}
        self.counts = Counts()
        self.calls: dict[str, _Held] = {}
        self.sent: dict[int, _Sent] = {}
        self.orders: dict[int, _Ordered] = {}
        self.probes: dict[int, tuple[it.Invoker, float]] = {}
        self.models: dict[str, it.Model] = {}
        self.invokers: dict[str, it.Invoker] = {}
        self.boots: dict[str, tuple[str, float]] = {}
        self._numbers: dict[it.Forward, int] = {}
        self._next, self._order_of = 0, 0
        self._dues: list[tuple[float, int, _Held | _Sent | _Ordered | None, int]] = []
        self._armed = math.inf
        self._waiting: deque[tuple[float, list[ms.Input]]] = deque()
        self._busy, self._sweep_at, self._sweep_invokers_at = False, SWEEP_AT, SWEEP_INVOKERS_AT
        # Names that the roster lists and has not withdrawn.
        self._listed: set[str] = set()
        # What ended in the batch at hand: the module may act on an event before the one that told it of the end.
        self._ended_now: set[str] = set()
        self._late: list[_Held] = []

    @property
    def owed(self) -> int:
        """Calls that still have no final answer, and streams that have not ended."""
        return sum(not held.over or held.streaming is not None for held in self.calls.values())

    def take(self, now: float, inputs: list[ms.Input]) -> None:
        """Everything that happens enters here, with its time (ms; it must not go back)."""
        self._waiting.append((now, inputs))
        if self._busy:
            return
        self._busy = True
        try:
            while self._waiting:
                at, batch = self._waiting.popleft()
                self._batch(at, batch)
        finally:
            self._busy = False

    def _batch(self, now: float, inputs: list[ms.Input]):
        events: list = []
        self._ended_now.clear()
        for given in inputs:
            READERS[type(given)](self, now, given, events)
        while events or self._late:
            if not events:
                # Only now: after a stall the module's own due time comes up in the same batch.
                self._answer_late(now, events)
                continue
            try:
                actions = self.module.handle(now, events)
            except Exception as problem:  # a fault of the module must not take the program down with it
                self.counts.module_faults += 1
                self.port(ms.Note(f"{type(problem).__name__}: {problem}", fault=True))
                actions = [
                    it.Fail(event.inference)
                    for event in events
                    if isinstance(event, it.Arrived) and event.inference.name in self.calls
                ]
            events = []
            for action in actions:
                WRITERS[type(action)](self, now, action, events)
        if len(self.invokers) >= self._sweep_invokers_at:
            # Only now: until the module has heard of it, it may still name one that the batch withdraws.
            self._sweep_invokers()
        if self._dues and self._dues[0][0] < self._armed:
            self._armed = self._dues[0][0]
            self.port(ms.WakeAt(self._armed))

    def _answer_late(self, now: float, events: list):
        late, self._late = self._late, []
        for held in late:
            if not held.over:
                self.counts.overdue += 1
                self.port(ms.Note("no answer of the module in time", fault=True, call=held.inference.name))
                self._answer_failed(now, held)
                events.append(it.Departed(held.inference))

    def _number(self) -> int:
        self._next += 1
        return self._next

    def _due(self, at: float, what: _Held | _Sent | _Ordered | None, token: int = 0):
        self._order_of += 1
        heapq.heappush(self._dues, (at, self._order_of, what, token))

    def _refuse(self, why: str, call: str):
        if call in self._ended_now:
            return
        self.counts.refused_actions += 1
        self.port(ms.Note(f"refused: {why}", fault=True, call=call))

    # Inputs

    def _call(self, now: float, given: ms.Call, events: list):
        group = self.groups.get(given.group)
        tenant = self.tenants.get(given.tenant)
        why = (
            f"the call id {given.call!r} is in use"
            if given.call in self.calls
            else f"no model group {given.group!r} here"
            if group is None
            else f"no tenant {given.tenant!r} here"
            if given.tenant and tenant is None
            else ""
        )
        if why or group is None:
            self.counts.rejected += 1
            return self.port(ms.Rejected(given.call, why))
        self.counts.taken += 1
        inference = it.Inference(
            given.call,
            group,
            self._model(given.model),
            tenant,
            given.ttl,
            given.work,
            given.memory_mb,
            given.lanes,
            given.load_time,
            given.repeat,
            given.write,
            given.zones,
            given.waited,
        )
        held = self.calls[given.call] = _Held(inference, now + given.ttl)
        # Against a module that forgets one: answered all the same when its client's time is up.
        self._due(held.until, held)
        events.append(it.Arrived(inference))

    def _model(self, name: str) -> it.Model:
        if name not in self.models:
            if len(self.models) >= self._sweep_at:
                used = {held.inference.model for held in self.calls.values()}
                used |= {order.model for order in self.orders.values()}
                self.models = {n: m for n, m in self.models.items() if m.belief is not None or m in used}
                self._sweep_at = max(SWEEP_AT, 2 * len(self.models))
            self.models[name] = it.Model(name)
        return self.models[name]

    def _left(self, now: float, given: ms.Left, events: list):
        held = self.calls.get(given.call)
        if held is None:
            self.counts.stale_inputs += 1
            return
        if held.streaming is not None:
            sent = self.sent[held.streaming]
            self._recall(held.streaming, sent)
            self._end(now, held.streaming, it.Outcome.CALLED_OFF, events)
            self.counts.left += 1
        elif not held.over:
            self._over(held)
            self.counts.left += 1
            events.append(it.Departed(held.inference))
            self._forget(held)

    def _first(self, now: float, given: ms.FirstResult, events: list):
        sent = self.sent.get(given.forward)
        if sent is None or sent.held.over:
            self.counts.stale_inputs += 1
            return
        held, sent.due = sent.held, None
        held.streaming = given.forward
        self._over(held)
        self.port(ms.StreamBegun(held.inference.name, given.forward))
        events.append(it.Streaming(sent.forward, now - sent.at))

    def _forward_ended(self, now: float, given: ms.ForwardEnded, events: list):
        if given.forward not in self.sent:
            # Timed out or called off a moment ago: the module has been told already.
            self.counts.stale_inputs += 1
            return
        self._end(
            now,
            given.forward,
            OUTCOMES[given.outcome],
            events,
            FOUND[given.found],
            given.load_failed,
            given.same_model,
            given.report,
        )

    def _end(
        self,
        now: float,
        number: int,
        outcome: it.Outcome,
        events: list,
        found=it.Found.UNTOLD,
        load_failed=False,
        same_model=None,
        report=None,
    ):
        """The one place where a forward ends, and with it perhaps its call."""
        self.counts.forward_ended(outcome)
        sent = self.sent.pop(number)
        held, name = sent.held, sent.held.inference.name
        del held.out[number], self._numbers[sent.forward]
        if held.streaming == number:
            held.streaming = None
            whole = outcome is it.Outcome.RETURNED
            self.counts.returned += whole
            self.counts.broken += not whole and outcome is not it.Outcome.CALLED_OFF
            self.port(ms.StreamEnded(name, number, whole))
        elif outcome is it.Outcome.RETURNED and not held.over:
            self.counts.returned += 1
            self._over(held)
            self.port(ms.AnswerReturned(name, number))
        final = held.over
        events.append(
            it.Ended(sent.forward, outcome, final, now - sent.at, found, load_failed, same_model, report or {})
        )
        self._forget(held)

    def _over(self, held: _Held):
        held.over = True
        self._ended_now.add(held.inference.name)

    def _forget(self, held: _Held):
        if held.over and not held.out:
            self.calls.pop(held.inference.name, None)

    def _roster(self, now: float, given: ms.Roster, events: list):
        entries = []
        for row in given.rows:
            boot, started = self.boots.get(row.invoker, ("", 0.0))
            if row.invoker not in self.boots or boot != row.boot:
                # Kept from the first telling: ages told later differ by what the way took, processes do not.
                started = now - row.age if row.age is not None else 0.0
                self.boots[row.invoker] = row.boot, started
            invoker = self.invokers.setdefault(row.invoker, it.Invoker(row.invoker))
            entries.append(
                it.RosterEntry(invoker, row.zone, row.kind, row.cell, STATUSES[row.status], row.size, started)
            )
        kind = NEWS[given.kind]
        if kind in (it.News.REPLACE, it.News.RESTORED):
            self._listed.clear()
        for entry in entries:
            (self._listed.discard if entry.status is it.Status.GONE else self._listed.add)(entry.invoker.name)
        events.append(it.RosterNews(kind, given.version, entries))

    def _discovery_heard(self, now: float, given: ms.DiscoveryHeard, events: list):
        events.append(it.DiscoveryHeard(given.age))

    def _disconnected(self, now: float, given: ms.Disconnected, events: list):
        invoker = self.invokers.get(given.invoker)
        if invoker is not None:
            events.append(it.Disconnected(invoker))

    def _sweep_invokers(self):
        """Against a fleet whose machines are replaced for months: who left, and has nothing out, is forgotten. One
        that comes back is a newcomer, as a process started afresh is."""
        used = self._listed | {sent.forward.invoker.name for sent in self.sent.values()}
        used |= {order.invoker.name for order in self.orders.values()} | {one.name for one, _ in self.probes.values()}
        self.invokers = {name: invoker for name, invoker in self.invokers.items() if name in used}
        self.boots = {name: boot for name, boot in self.boots.items() if name in used}
        self._sweep_invokers_at = max(SWEEP_INVOKERS_AT, 2 * len(self.invokers))

    def _order_ended(self, now: float, given: ms.OrderEnded, events: list):
        ordered = self.orders.pop(given.order, None)
        if ordered is None:
            self.counts.stale_inputs += 1
            return
        events.append(
            it.OrderSettled(ordered.invoker, ordered.model, OUTCOMES[given.outcome], given.standing, now - ordered.at)
        )

    def _probe_ended(self, now: float, given: ms.ProbeEnded, events: list):
        if given.probe in self.probes:
            invoker, at = self.probes.pop(given.probe)
            events.append(it.Probed(invoker, OUTCOMES[given.outcome], now - at, given.report))

    def _peer(self, now: float, given: ms.PeerMessage, events: list):
        events.append(it.PeerSaid(given.peer, given.payload))

    def _told(self, now: float, given: ms.Told, events: list):
        for claim in given.claims:
            invoker = self.invokers.get(claim.invoker)
            # Of another process than the one that stands there now: what it held went with it.
            if invoker is not None and self.boots[claim.invoker][0] == claim.boot:
                events.append(it.Told(invoker, self._model(claim.model), claim.copies, claim.lanes, claim.life))

    def _beliefs_asked(self, now: float, given: ms.BeliefsAsked, events: list):
        events.append(it.BeliefsAsked(given.token))

    def _sharing(self, now: float, given: ms.Sharing, events: list):
        events.append(it.Sharing(given.live, given.sharers))

    def _doubted(self, now: float, given: ms.Doubted, events: list):
        invoker = self.invokers.get(given.invoker)
        if invoker is not None:
            events.append(it.Doubted(invoker, given.ill))

    def _woke(self, now: float, given: ms.Woke, events: list):
        self._armed = math.inf
        while self._dues and self._dues[0][0] <= now:
            _, _, what, token = heapq.heappop(self._dues)
            if what is None:
                events.append(it.TimerDue(token))
            elif isinstance(what, _Sent):
                # Moved on: a stream began, or it ended and the number is known no more.
                if token in self.sent and what.due is not None:
                    self.counts.timed_out += 1
                    self._recall(token, what)
                    self._end(now, token, it.Outcome.TIMED_OUT, events)
            elif isinstance(what, _Ordered):
                if self.orders.pop(token, None):
                    events.append(it.OrderSettled(what.invoker, what.model, it.Outcome.TIMED_OUT, 0, now - what.at))
            elif not what.over:
                self._late.append(what)

    # Actions

    def _forward(self, now: float, action: it.Forward, events: list):
        inference, name = action.inference, action.inference.name
        held = self.calls.get(name)
        if held is None or held.inference is not inference or held.over:
            self._refuse("a forward for an inference that is over", name)
            # The module's own accounts must close: it is told what became of it.
            events.append(it.Ended(action, it.Outcome.NOT_SENT, True, 0.0, it.Found.UNTOLD, False, None, {}))
            return
        number, left = self._number(), max(0.0, held.until - now)
        time_out = max(0.0, min(left, action.time_out) if action.time_out else left)
        sent = self.sent[number] = _Sent(held, action, now, now + time_out)
        attempt, held.forwards = held.forwards, held.forwards + 1
        held.out[number] = action
        self._numbers[action] = number
        self._due(now + time_out, sent, number)
        self.counts.forwards += 1
        self.port(
            ms.SendForward(number, name, action.invoker.name, inference.model.name, time_out, attempt, action.write_by)
        )

    def _recall(self, number: int, sent: _Sent):
        self.port(ms.Recall(number, sent.held.inference.name, sent.forward.invoker.name))

    def _call_off(self, now: float, action: it.CallOff, events: list):
        number = self._numbers.get(action.forward)
        if number is None:
            # Timed out at the very time at which the module gave up: what it wants is so already.
            return
        sent = self.sent[number]
        if sent.held.streaming == number:
            return self._refuse("a call-off of a stream that has begun", sent.held.inference.name)
        self._recall(number, sent)
        self._end(now, number, it.Outcome.CALLED_OFF, events)

    def _open(self, inference: it.Inference, what: str) -> _Held | None:
        held = self.calls.get(inference.name)
        if held is None or held.inference is not inference or held.over:
            self._refuse(f"{what} for an inference that is over", inference.name)
            return None
        return held

    def _shed(self, now: float, action: it.Shed, events: list):
        held = self._open(action.inference, "a shed answer")
        if held:
            self.counts.shed += 1
            self._over(held)
            self.port(ms.AnswerShed(action.inference.name, max(0.0, action.retry_after)))
            self._forget(held)

    def _fail(self, now: float, action: it.Fail, events: list):
        held = self._open(action.inference, "a failed answer")
        if held:
            self._answer_failed(now, held)

    def _answer_failed(self, now: float, held: _Held):
        self.counts.failed += 1
        self._over(held)
        # Within two ticks of the end nothing else could have been tried: the time was what ran out.
        self.port(ms.AnswerFailed(held.inference.name, now >= held.until - 3 * self.deployment.tick))
        self._forget(held)

    def _order(self, now: float, action: it.Order, events: list):
        number = self._number()
        ordered = self.orders[number] = _Ordered(action.invoker, action.model, now)
        self.counts.orders += 1
        self._due(now + self.deployment.order_timeout, ordered, number)
        self.port(
            ms.SendOrder(number, action.invoker.name, action.model.name, action.copies, self.deployment.order_timeout)
        )

    def _unload(self, now: float, action: it.Unload, events: list):
        self.port(ms.SendUnload(action.invoker.name, action.model.name))

    def _set_timer(self, now: float, action: it.SetTimer, events: list):
        # Never at once: a timer of no span would hold the loop here for ever.
        self._due(now + max(0.1, action.after), None, action.token)

    def _probe(self, now: float, action: it.Probe, events: list):
        number = self._number()
        self.probes[number] = action.invoker, now
        self.counts.probes += 1
        self.port(ms.SendProbe(number, action.invoker.name, self.deployment.order_timeout))

    def _beliefs(self, now: float, action: it.Beliefs, events: list):
        self.port(
            ms.BeliefsGiven(
                action.token,
                [
                    ms.Known(
                        one.invoker.name,
                        self.boots[one.invoker.name][0],
                        one.model.name,
                        one.copies,
                        one.lanes,
                        one.age,
                        one.own,
                    )
                    for one in action.standing
                ],
            )
        )

    def _log(self, now: float, action: it.Log, events: list):
        self.port(ms.Note(action.text))


READERS: dict[type, Callable] = {
    ms.Call: Gateway._call,
    ms.Left: Gateway._left,
    ms.FirstResult: Gateway._first,
    ms.ForwardEnded: Gateway._forward_ended,
    ms.Roster: Gateway._roster,
    ms.DiscoveryHeard: Gateway._discovery_heard,
    ms.Disconnected: Gateway._disconnected,
    ms.OrderEnded: Gateway._order_ended,
    ms.ProbeEnded: Gateway._probe_ended,
    ms.PeerMessage: Gateway._peer,
    ms.Told: Gateway._told,
    ms.Sharing: Gateway._sharing,
    ms.Doubted: Gateway._doubted,
    ms.BeliefsAsked: Gateway._beliefs_asked,
    ms.Woke: Gateway._woke,
}
WRITERS: dict[type, Callable] = {
    it.Forward: Gateway._forward,
    it.Shed: Gateway._shed,
    it.Fail: Gateway._fail,
    it.CallOff: Gateway._call_off,
    it.Order: Gateway._order,
    it.Unload: Gateway._unload,
    it.SetTimer: Gateway._set_timer,
    it.Probe: Gateway._probe,
    it.Log: Gateway._log,
    it.Beliefs: Gateway._beliefs,
    it.CloseIdle: lambda self, now, action, events: self.port(ms.CloseIdle(action.invoker.name)),
    it.Message: lambda self, now, action, events: self.port(ms.SendMessage(action.peer, action.payload)),
    it.Subscribe: lambda self, now, action, events: self.port(ms.SubscribeRoster(action.active)),
    it.FetchRoster: lambda self, now, action, events: self.port(ms.FetchRoster()),
}
