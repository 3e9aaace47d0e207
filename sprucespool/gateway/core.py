"""Tracks the ids, timers, calls, forwards and orders of one controller on behalf of its decision module.

The decision module makes the decisions; the gateway does the bookkeeping. It guarantees that each forward ends exactly
once for the module and each call exactly once for the client, in whatever order inputs arrive. An invalid action of the
module is refused, logged and counted, and never passed on.
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
# The field of Counts that is incremented when a forward ends with this outcome.
COUNTER_BY_OUTCOME = {
    it.Outcome.FULL: "turned_away",
    it.Outcome.MISS: "missed",
    it.Outcome.ERROR: "errors",
    it.Outcome.RESET: "resets",
    it.Outcome.UNCONNECTED: "unconnected",
    it.Outcome.NOT_SENT: "not_sent",
}
# Number of known names at which unused ones are removed. Without this, models named only once would fill the memory.
MODEL_SWEEP_COUNT, INVOKER_SWEEP_COUNT = 4096, 256
# Number of scheduled entries at which those of calls, forwards and orders that have ended are removed.
SCHEDULE_SWEEP_COUNT = 2048


class Decider(Protocol):
    """Interface of a decision module. `policy.Controller` is the production implementation."""

    def handle(self, now: float, events: list) -> list: ...


@dataclass(slots=True)
class Counts:
    """Counters since the start of the gateway."""

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
    # Forwards that ended neither with an answer nor by a timeout, by outcome.
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
        """Increments the counter of this outcome, if it has one."""
        name = COUNTER_BY_OUTCOME.get(outcome)
        if name is not None:
            setattr(self, name, getattr(self, name) + 1)

    def as_dict(self) -> dict[str, int]:
        return {f.name: getattr(self, f.name) for f in fields(self)}


@dataclass(slots=True, eq=False)
class _PendingCall:
    """A call that still needs an answer, or whose forwards have not all ended.

    `finished` is set once the call is answered, its client has left or a stream has begun. The module can then no
    longer act on it.
    """

    inference: it.Inference
    deadline: float
    in_flight: dict[int, it.Forward] = field(default_factory=dict)
    finished: bool = False
    streaming: int | None = None
    forwards: int = 0


@dataclass(slots=True, eq=False)
class _SentForward:
    """A forward that has been sent and has not ended."""

    pending: _PendingCall
    forward: it.Forward
    sent_at: float
    # None once a stream has begun: from then on neither the forward's timeout nor the route timeout applies.
    timeout_at: float | None


@dataclass(slots=True, eq=False)
class _SentOrder:
    """A load order that has been sent and has not ended."""

    invoker: it.Invoker
    model: it.Model
    sent_at: float


class Gateway:
    """One controller. `port` is called with each effect, in order, during `take`.

    The port may call `take` again: those inputs are queued until the current batch is done. `decider` creates the
    decision module; other modules than the default serve as baselines and in tests of the rule checker.
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
        self.calls: dict[str, _PendingCall] = {}
        self.sent: dict[int, _SentForward] = {}
        self.orders: dict[int, _SentOrder] = {}
        self.probes: dict[int, tuple[it.Invoker, float]] = {}
        self.models: dict[str, it.Model] = {}
        self.invokers: dict[str, it.Invoker] = {}
        self.boots: dict[str, tuple[str, float]] = {}
        self._forward_numbers: dict[it.Forward, int] = {}
        self._last_number, self._sequence = 0, 0
        self._schedule_heap: list[tuple[float, int, _PendingCall | _SentForward | _SentOrder | None, int]] = []
        self._schedule_sweep_count = SCHEDULE_SWEEP_COUNT
        self._wake_at = math.inf
        self._queued_batches: deque[tuple[float, list[ms.Input]]] = deque()
        self._processing, self._model_sweep_count, self._invoker_sweep_count = (
            False,
            MODEL_SWEEP_COUNT,
            INVOKER_SWEEP_COUNT,
        )
        # Names of the invokers that the roster lists and has not removed.
        self._listed: set[str] = set()
        # Calls that finished in the current batch. The module may still act on one of them while it handles an event
        # that precedes the event that reports the end.
        self._finished_in_batch: set[str] = set()
        self._overdue: list[_PendingCall] = []

    @property
    def owed(self) -> int:
        """Number of calls without a final answer, plus streams that have not ended."""
        return sum(not pending.finished or pending.streaming is not None for pending in self.calls.values())

    def take(self, now: float, inputs: list[ms.Input]) -> None:
        """Processes a batch of inputs that occurred at `now` (ms; must not decrease between calls)."""
        self._queued_batches.append((now, inputs))
        if self._processing:
            return
        self._processing = True
        try:
            while self._queued_batches:
                at, batch = self._queued_batches.popleft()
                self._process_batch(at, batch)
        finally:
            self._processing = False

    def _process_batch(self, now: float, inputs: list[ms.Input]):
        events: list = []
        self._finished_in_batch.clear()
        for message in inputs:
            INPUT_HANDLERS[type(message)](self, now, message, events)
        while events or self._overdue:
            if not events:
                # The module goes first: after a stall its own timer may be due in this batch and answer these calls.
                self._answer_late(now, events)
                continue
            try:
                actions = self.module.handle(now, events)
            except Exception as error:  # an error in the module must not stop the process
                self.counts.module_faults += 1
                self.port(ms.Note(f"{type(error).__name__}: {error}", fault=True))
                actions = [
                    it.Fail(event.inference)
                    for event in events
                    if isinstance(event, it.Arrived) and event.inference.name in self.calls
                ]
            events = []
            for action in actions:
                ACTION_HANDLERS[type(action)](self, now, action, events)
        if len(self.invokers) >= self._invoker_sweep_count:
            # Only after the module has processed the batch: until then it may name an invoker that the batch removes.
            self._sweep_invokers()
        if len(self._schedule_heap) >= self._schedule_sweep_count:
            self._sweep_schedule()
        if self._schedule_heap and self._schedule_heap[0][0] < self._wake_at:
            self._wake_at = self._schedule_heap[0][0]
            self.port(ms.WakeAt(self._wake_at))

    def _answer_late(self, now: float, events: list):
        late, self._overdue = self._overdue, []
        for pending in late:
            if not pending.finished:
                self.counts.overdue += 1
                self.port(ms.Note("no answer of the module in time", fault=True, call=pending.inference.name))
                self._answer_failed(now, pending)
                events.append(it.Departed(pending.inference))

    def _new_number(self) -> int:
        self._last_number += 1
        return self._last_number

    def _schedule(self, at: float, entry: _PendingCall | _SentForward | _SentOrder | None, token: int = 0):
        self._sequence += 1
        heapq.heappush(self._schedule_heap, (at, self._sequence, entry, token))

    def _sweep_schedule(self):
        """Removes entries of what has ended: until their time comes they would keep all that belongs to it."""
        self._schedule_heap = [item for item in self._schedule_heap if self._is_pending(item[2], item[3])]
        heapq.heapify(self._schedule_heap)
        self._schedule_sweep_count = max(SCHEDULE_SWEEP_COUNT, 2 * len(self._schedule_heap))

    def _is_pending(self, entry: _PendingCall | _SentForward | _SentOrder | None, token: int) -> bool:
        if isinstance(entry, _PendingCall):
            return not entry.finished
        if isinstance(entry, _SentForward):
            return token in self.sent
        return entry is None or token in self.orders

    def _refuse_action(self, why: str, call: str):
        if call in self._finished_in_batch:
            return
        self.counts.refused_actions += 1
        self.port(ms.Note(f"refused: {why}", fault=True, call=call))

    # Inputs

    def _call_arrived(self, now: float, message: ms.Call, events: list):
        group = self.groups.get(message.group)
        tenant = self.tenants.get(message.tenant)
        why = (
            f"the call id {message.call!r} is in use"
            if message.call in self.calls
            else f"no model group {message.group!r} here"
            if group is None
            else f"no tenant {message.tenant!r} here"
            if message.tenant and tenant is None
            else ""
        )
        if why or group is None:
            self.counts.rejected += 1
            return self.port(ms.Rejected(message.call, why))
        self.counts.taken += 1
        inference = it.Inference(
            message.call,
            group,
            self._model(message.model),
            tenant,
            message.ttl,
            message.work,
            message.memory_mb,
            message.lanes,
            message.load_time,
            message.repeat,
            message.write,
            message.zones,
            message.waited,
        )
        pending = self.calls[message.call] = _PendingCall(inference, now + message.ttl)
        # Guards against a module that forgets the call: it is failed when its ttl runs out.
        self._schedule(pending.deadline, pending)
        events.append(it.Arrived(inference))

    def _model(self, name: str) -> it.Model:
        if name not in self.models:
            if len(self.models) >= self._model_sweep_count:
                used = {pending.inference.model for pending in self.calls.values()}
                used |= {order.model for order in self.orders.values()}
                self.models = {n: m for n, m in self.models.items() if m.belief is not None or m in used}
                self._model_sweep_count = max(MODEL_SWEEP_COUNT, 2 * len(self.models))
            self.models[name] = it.Model(name)
        return self.models[name]

    def _client_left(self, now: float, message: ms.Left, events: list):
        pending = self.calls.get(message.call)
        if pending is None:
            self.counts.stale_inputs += 1
            return
        if pending.streaming is not None:
            sent = self.sent[pending.streaming]
            self._recall(pending.streaming, sent)
            self._end_forward(now, pending.streaming, it.Outcome.CALLED_OFF, events)
            self.counts.left += 1
        elif not pending.finished:
            self._finish(pending)
            self.counts.left += 1
            events.append(it.Departed(pending.inference))
            self._remove_if_done(pending)

    def _first_result(self, now: float, message: ms.FirstResult, events: list):
        sent = self.sent.get(message.forward)
        if sent is None or sent.pending.finished:
            self.counts.stale_inputs += 1
            return
        pending, sent.timeout_at = sent.pending, None
        pending.streaming = message.forward
        self._finish(pending)
        self.port(ms.StreamBegun(pending.inference.name, message.forward))
        events.append(it.Streaming(sent.forward, now - sent.sent_at))

    def _forward_ended(self, now: float, message: ms.ForwardEnded, events: list):
        if message.forward not in self.sent:
            # It has already timed out or been called off, and the module knows.
            self.counts.stale_inputs += 1
            return
        self._end_forward(
            now,
            message.forward,
            OUTCOMES[message.outcome],
            events,
            FOUND[message.found],
            message.load_failed,
            message.same_model,
            message.report,
        )

    def _end_forward(
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
        """Ends a forward, and its call if this was the call's result. Forwards end nowhere else."""
        self.counts.forward_ended(outcome)
        sent = self.sent.pop(number)
        pending, name = sent.pending, sent.pending.inference.name
        del pending.in_flight[number], self._forward_numbers[sent.forward]
        if pending.streaming == number:
            pending.streaming = None
            whole = outcome is it.Outcome.RETURNED
            self.counts.returned += whole
            self.counts.broken += not whole and outcome is not it.Outcome.CALLED_OFF
            self.port(ms.StreamEnded(name, number, whole))
        elif outcome is it.Outcome.RETURNED and not pending.finished:
            self.counts.returned += 1
            self._finish(pending)
            self.port(ms.AnswerReturned(name, number))
        final = pending.finished
        events.append(
            it.Ended(sent.forward, outcome, final, now - sent.sent_at, found, load_failed, same_model, report or {})
        )
        self._remove_if_done(pending)

    def _finish(self, pending: _PendingCall):
        pending.finished = True
        self._finished_in_batch.add(pending.inference.name)

    def _remove_if_done(self, pending: _PendingCall):
        if pending.finished and not pending.in_flight:
            self.calls.pop(pending.inference.name, None)

    def _roster(self, now: float, message: ms.Roster, events: list):
        entries = []
        for row in message.rows:
            boot, started = self.boots.get(row.invoker, ("", 0.0))
            if row.invoker not in self.boots or boot != row.boot:
                # The start time is computed once per process: ages reported later vary with the transfer delay.
                started = now - row.age if row.age is not None else 0.0
                self.boots[row.invoker] = row.boot, started
            invoker = self.invokers.setdefault(row.invoker, it.Invoker(row.invoker))
            entries.append(
                it.RosterEntry(invoker, row.zone, row.kind, row.cell, STATUSES[row.status], row.size, started)
            )
        kind = NEWS[message.kind]
        if kind in (it.News.REPLACE, it.News.RESTORED):
            self._listed.clear()
        for entry in entries:
            (self._listed.discard if entry.status is it.Status.GONE else self._listed.add)(entry.invoker.name)
        events.append(it.RosterNews(kind, message.version, entries))

    def _discovery_received(self, now: float, message: ms.DiscoveryHeard, events: list):
        events.append(it.DiscoveryHeard(message.age))

    def _disconnected(self, now: float, message: ms.Disconnected, events: list):
        invoker = self.invokers.get(message.invoker)
        if invoker is not None:
            events.append(it.Disconnected(invoker))

    def _sweep_invokers(self):
        """Removes invokers that are no longer listed and have no forward, order or probe pending.

        Otherwise a fleet whose machines are replaced over months would fill the memory. An invoker that returns later
        is treated as new, as a restarted process is.
        """
        used = self._listed | {sent.forward.invoker.name for sent in self.sent.values()}
        used |= {order.invoker.name for order in self.orders.values()} | {one.name for one, _ in self.probes.values()}
        self.invokers = {name: invoker for name, invoker in self.invokers.items() if name in used}
        self.boots = {name: boot for name, boot in self.boots.items() if name in used}
        self._invoker_sweep_count = max(INVOKER_SWEEP_COUNT, 2 * len(self.invokers))

    def _order_ended(self, now: float, message: ms.OrderEnded, events: list):
        ordered = self.orders.pop(message.order, None)
        if ordered is None:
            self.counts.stale_inputs += 1
            return
        events.append(
            it.OrderSettled(
                ordered.invoker, ordered.model, OUTCOMES[message.outcome], message.standing, now - ordered.sent_at
            )
        )

    def _probe_ended(self, now: float, message: ms.ProbeEnded, events: list):
        if message.probe in self.probes:
            invoker, at = self.probes.pop(message.probe)
            events.append(it.Probed(invoker, OUTCOMES[message.outcome], now - at, message.report))

    def _peer_message(self, now: float, message: ms.PeerMessage, events: list):
        events.append(it.PeerSaid(message.peer, message.payload))

    def _claims_received(self, now: float, message: ms.Told, events: list):
        for claim in message.claims:
            invoker = self.invokers.get(claim.invoker)
            # A claim about an earlier process of this invoker is ignored: its copies ended with it.
            if invoker is not None and self.boots[claim.invoker][0] == claim.boot:
                events.append(it.Told(invoker, self._model(claim.model), claim.copies, claim.lanes, claim.life))

    def _beliefs_asked(self, now: float, message: ms.BeliefsAsked, events: list):
        events.append(it.BeliefsAsked(message.token))

    def _sharing_changed(self, now: float, message: ms.Sharing, events: list):
        events.append(it.Sharing(message.live, message.sharers))

    def _suspicion_changed(self, now: float, message: ms.Doubted, events: list):
        invoker = self.invokers.get(message.invoker)
        if invoker is not None:
            events.append(it.Doubted(invoker, message.ill))

    def _woke(self, now: float, message: ms.Woke, events: list):
        self._wake_at = math.inf
        while self._schedule_heap and self._schedule_heap[0][0] <= now:
            _, _, entry, token = heapq.heappop(self._schedule_heap)
            if entry is None:
                events.append(it.TimerDue(token))
            elif isinstance(entry, _SentForward):
                # The entry is outdated if the forward has ended or a stream has begun on it.
                if token in self.sent and entry.timeout_at is not None:
                    self.counts.timed_out += 1
                    self._recall(token, entry)
                    self._end_forward(now, token, it.Outcome.TIMED_OUT, events)
            elif isinstance(entry, _SentOrder):
                if self.orders.pop(token, None):
                    events.append(
                        it.OrderSettled(entry.invoker, entry.model, it.Outcome.TIMED_OUT, 0, now - entry.sent_at)
                    )
            elif not entry.finished:
                self._overdue.append(entry)

    # Actions

    def _forward(self, now: float, action: it.Forward, events: list):
        inference, name = action.inference, action.inference.name
        pending = self.calls.get(name)
        if pending is None or pending.inference is not inference or pending.finished:
            self._refuse_action("a forward for an inference that is over", name)
            # The module's own bookkeeping needs an end for each forward.
            events.append(it.Ended(action, it.Outcome.NOT_SENT, True, 0.0, it.Found.UNTOLD, False, None, {}))
            return
        number, left = self._new_number(), max(0.0, pending.deadline - now)
        time_out = max(0.0, min(left, action.time_out) if action.time_out else left)
        sent = self.sent[number] = _SentForward(pending, action, now, now + time_out)
        attempt, pending.forwards = pending.forwards, pending.forwards + 1
        pending.in_flight[number] = action
        self._forward_numbers[action] = number
        self._schedule(now + time_out, sent, number)
        self.counts.forwards += 1
        self.port(
            ms.SendForward(number, name, action.invoker.name, inference.model.name, time_out, attempt, action.write_by)
        )

    def _recall(self, number: int, sent: _SentForward):
        self.port(ms.Recall(number, sent.pending.inference.name, sent.forward.invoker.name))

    def _call_off(self, now: float, action: it.CallOff, events: list):
        number = self._forward_numbers.get(action.forward)
        if number is None:
            # The forward timed out in this same batch, so there is nothing left to call off.
            return
        sent = self.sent[number]
        if sent.pending.streaming == number:
            return self._refuse_action("a call-off of a stream that has begun", sent.pending.inference.name)
        self._recall(number, sent)
        self._end_forward(now, number, it.Outcome.CALLED_OFF, events)

    def _unfinished(self, inference: it.Inference, what: str) -> _PendingCall | None:
        pending = self.calls.get(inference.name)
        if pending is None or pending.inference is not inference or pending.finished:
            self._refuse_action(f"{what} for an inference that is over", inference.name)
            return None
        return pending

    def _shed(self, now: float, action: it.Shed, events: list):
        pending = self._unfinished(action.inference, "a shed answer")
        if pending:
            self.counts.shed += 1
            self._finish(pending)
            self.port(ms.AnswerShed(action.inference.name, max(0.0, action.retry_after)))
            self._remove_if_done(pending)

    def _fail(self, now: float, action: it.Fail, events: list):
        pending = self._unfinished(action.inference, "a failed answer")
        if pending:
            self._answer_failed(now, pending)

    def _answer_failed(self, now: float, pending: _PendingCall):
        self.counts.failed += 1
        self._finish(pending)
        # Within two ticks of the deadline no other attempt was possible: the call failed because its time ran out.
        self.port(ms.AnswerFailed(pending.inference.name, now >= pending.deadline - 3 * self.deployment.tick))
        self._remove_if_done(pending)

    def _order(self, now: float, action: it.Order, events: list):
        number = self._new_number()
        ordered = self.orders[number] = _SentOrder(action.invoker, action.model, now)
        self.counts.orders += 1
        self._schedule(now + self.deployment.order_timeout, ordered, number)
        self.port(
            ms.SendOrder(number, action.invoker.name, action.model.name, action.copies, self.deployment.order_timeout)
        )

    def _unload(self, now: float, action: it.Unload, events: list):
        self.port(ms.SendUnload(action.invoker.name, action.model.name))

    def _set_timer(self, now: float, action: it.SetTimer, events: list):
        # At least 0.1 ms: a timer with no delay would keep `take` looping for ever.
        self._schedule(now + max(0.1, action.after), None, action.token)

    def _probe(self, now: float, action: it.Probe, events: list):
        number = self._new_number()
        self.probes[number] = action.invoker, now
        self.counts.probes += 1
        model = action.model.name if action.model is not None else ""
        self.port(ms.SendProbe(number, action.invoker.name, self.deployment.order_timeout, model))

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


INPUT_HANDLERS: dict[type, Callable] = {
    ms.Call: Gateway._call_arrived,
    ms.Left: Gateway._client_left,
    ms.FirstResult: Gateway._first_result,
    ms.ForwardEnded: Gateway._forward_ended,
    ms.Roster: Gateway._roster,
    ms.DiscoveryHeard: Gateway._discovery_received,
    ms.Disconnected: Gateway._disconnected,
    ms.OrderEnded: Gateway._order_ended,
    ms.ProbeEnded: Gateway._probe_ended,
    ms.PeerMessage: Gateway._peer_message,
    ms.Told: Gateway._claims_received,
    ms.Sharing: Gateway._sharing_changed,
    ms.Doubted: Gateway._suspicion_changed,
    ms.BeliefsAsked: Gateway._beliefs_asked,
    ms.Woke: Gateway._woke,
}
ACTION_HANDLERS: dict[type, Callable] = {
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
