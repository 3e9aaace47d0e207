"""The controller's decisions: placement, loads, the rules, outcomes and health.

Each fact's `belief` slot is this package's own. Times are float milliseconds.
"""

from __future__ import annotations

import heapq
import itertools
import math
from collections.abc import Callable
from functools import partial
from typing import Any

from sprucespool.interface import (
    Arrived,
    Beliefs,
    BeliefsAsked,
    CallOff,
    Departed,
    Deployment,
    Doubted,
    Effect,
    Ended,
    Fail,
    Forward,
    Found,
    Inference,
    Model,
    ModelGroup,
    News,
    Order,
    OrderSettled,
    Outcome,
    RosterNews,
    Scope,
    SetTimer,
    Sharing,
    Shed,
    Standing,
    Status,
    Streaming,
    Subscribe,
    TimerDue,
    Told,
)
from sprucespool.policy.beliefs import (
    FIRST_TRIAL,
    AttemptBelief,
    ModelBelief,
    OwnLoad,
    RequestBelief,
    RunningMean,
    Worker,
    open_to,
)
from sprucespool.policy.chance import Chance
from sprucespool.policy.order_ration import OrderRation
from sprucespool.policy.own_traffic import OwnTraffic
from sprucespool.policy.retry_rules import RetryRules
from sprucespool.policy.shared_order import PRIME, WHOLE, Fleet, SharedOrder, salt_of
from sprucespool.policy.slow_start import SlowStart
from sprucespool.policy.tenant_shares import TenantShares
from sprucespool.policy.worker_index import AVERAGE, WorkerIndex

PULSE, DUE, PULSE_EVERY = 1, 2, 200.0
NEVER_RAN = (Outcome.FULL, Outcome.UNCONNECTED, Outcome.NOT_SENT, Outcome.MISS)
# An answer so much slower than usual does not clear a suspect. Its trials thin out: a long silence costs few.
SLOW_PACE, LAST_TRIAL = 2.5, 8000.0
# The least window on own work that bad news leaves. Parts of the SLO time:
# slower answers narrow that window, faster ones widen it, what is held longer is shed. The part of a window
# open to work beyond a tenant's share.
LEAST_WINDOW, STRAINED, EASY, HELD, BEYOND = 0.1, 0.6, 0.4, 0.3, 0.5
# Idle times a model's last warm copy is held beyond its use; others' calls that keep it without. How many wait when
# half may load, for each invoker. Steps of own load within which several controllers meet. The least part of bare
# forwards that is taken to load. Own calls within a keep-alive that hold one of a favourite's places.
RENEWALS, OTHERS_KEEP, FEW_LOADS, QUEUED, STEP, LEAST_BARE = 3.0, 2.0, 3.0, 2.0, 16, 0.1
RENEWED_BY = 2.0
# Shared orders of the invokers, for all models together.
ORDERS = 1024
# Where an order holds only a part of a large fleet and nothing of it fits: others that are looked at, by chance.
OTHERS_TRIED = 16
# Of a large fleet kinds are weighed with each so many pulses.
WEIGHED_EVERY = 5


class Controller:
    """Decides for one controller process. `handle` takes what happened and gives what is to be done."""

    def __init__(self, deployment: Deployment, seed: int):
        self.dep = deployment
        self.chance, self.rules, self.traffic = Chance(seed), RetryRules(deployment), OwnTraffic(deployment)
        self.slow_start, self.tenant_shares = SlowStart(deployment, self.chance), TenantShares()
        self.index = WorkerIndex(STEP if deployment.controllers > 1 else 1)
        self.salt = salt_of(f"controller {deployment.own_number}")
        # Controllers that are there, and by how many what they share is to be divided for this one.
        self.live, self.sharers = deployment.controllers, float(deployment.controllers)
        self.now, self.armed = 0.0, math.inf
        self.actions: list[Any] = [SetTimer(PULSE_EVERY, PULSE)]
        if deployment.roster_asked:
            self.actions.append(Subscribe(True))
        self.pulses = 0
        # Workers in service; of these: how many are near, and own attempts in flight to them.
        self.pods: list[Worker] = []
        self.near = self.in_flight = 0
        # Those of which something changes with time: the pulse looks at no others.
        self.active: dict[Worker, None] = {}
        # What is due, by time: a request's end, a load given up on, or the list of workers (None) to be asked for.
        self.dues: list[tuple[float, int, Inference | OwnLoad | None]] = []
        self.fleet: Fleet[Worker] = Fleet()
        # Workers that may be suspects; models by the time at which something of theirs must be looked at.
        self.ill: dict[Worker, None] = {}
        self.looks: list[tuple[float, int, ModelBelief]] = []
        self.turns: dict[int, SharedOrder[Worker]] = {}
        # Models that something is believed of, and how many there ever were; requests that no worker has room for.
        self.known: dict[ModelBelief, None] = {}
        self.models = 0
        self.parked: dict[Inference, None] = {}
        self.loads: dict[OwnLoad, None] = {}
        self.ration = OrderRation(deployment.order_floor, deployment.order_share, deployment.order_window)
        self.usual = {group: RunningMean(group.slo_time / 4) for group in deployment.groups}
        self.loading = RunningMean(max(group.slo_time for group in deployment.groups))
        # How an answer's time stands to the usual one, by kind of worker.
        self.kinds: dict[str, RunningMean] = {}
        self.bare = 1.0
        self.handlers: dict[type, Callable[[Any], None]] = {
            Arrived: self._arrived,
            Ended: self._ended,
            OrderSettled: self._settled,
            TimerDue: self._timer,
            RosterNews: self._roster,
            Told: self._told,
            BeliefsAsked: self._give,
            Sharing: self._sharing,
            Doubted: self._rumoured,
            Departed: lambda event: self._close(event.inference),
            Streaming: lambda event: self._close(event.forward.inference, event.forward),
        }

    def handle(self, now: float, events: list) -> list:
        self.now = now
        for event in events:
            if type(event) in self.handlers:
                self.handlers[type(event)](event)
        if any(type(event) is not Arrived for event in events):
            self._unpark(2)
        if self.dues and self.dues[0][0] < self.armed:
            self.armed = self.dues[0][0]
            self.actions.append(SetTimer(max(0.0, self.armed - now), DUE))
        actions, self.actions = self.actions, []
        return actions

    def _roster(self, news: RosterNews):
        if news.kind is News.UNAVAILABLE:
            if self.dep.roster_asked:
                self._due(self.now + self.dep.ask_every / 4, None)
            return
        named = {entry.invoker: None for entry in news.entries}
        gone = []
        if news.kind is not News.UPDATE:
            gone = [pod for pod in self.pods if pod.entry.invoker not in named]
        gone += [
            entry.invoker.belief
            for entry in news.entries
            if entry.invoker.belief
            and (entry.status is not Status.IN_SERVICE or entry.started != entry.invoker.belief.started)
        ]
        changed = any(pod.serving for pod in gone)
        for pod in gone:
            self._count_in(pod, -pod.serving)
            pod.serving = False
            self.ill.pop(pod, None)
            self._file(pod)
        if changed:
            self.pods = [pod for pod in self.pods if pod.serving]
        for entry in news.entries:
            pod = entry.invoker.belief
            if entry.status is Status.IN_SERVICE:
                if pod is None or entry.started != pod.started:
                    # A process started afresh holds nothing that the one before it held.
                    pod = entry.invoker.belief = Worker(entry, self.now, self.dep)
                if not pod.serving:
                    pod.serving = changed = True
                    self._count_in(pod, 1)
                    if pod.busy:
                        self.active[pod] = None
                    self.pods.append(pod)
                    self.fleet.came(pod)
                    self._file(pod)
                    if pod.suspect:
                        self.ill[pod] = None
        # Lists that change nothing (whole ones, sent often) leave the models' orders as they are.
        if changed:
            self.fleet.changed(len(self.pods))
        # When all are known: what one held must not be ordered on another that left with it.
        for pod in gone:
            self._strike(pod)

    def _count_in(self, pod: Worker, times: int):
        """Add the invoker to what is known of all in service, or take it out (-1)."""
        self.near += times * (not pod.far)
        self.in_flight += times * len(pod.out)

    def _strike(self, pod: Worker):
        # In the order in which models became known, as ever: orders are few, the first ones get them.
        for mdl in sorted(pod.holds, key=lambda mdl: mdl.number):
            wanted = mdl.warm.pop(pod, (0.0, 0))[0] > self.now and mdl.asked > 1
            # A favourite lives for months: it must not keep all that ever held it.
            mdl.stood.pop(pod, None)
            if pod in mdl.loads:
                self._abandon(mdl.loads[pod])
            if not wanted or mdl.loads or len(self.loads) >= self._load_window():
                continue
            # Against a fleet that leaves one by one (deploys, deaths): loaded again before it is missed.
            bare = self._seek(mdl, partial(self._is_bare, mdl))
            if bare:
                self._order(mdl, bare)
        pod.holds.clear()

    def _is_bare(self, mdl: ModelBelief, pod: Worker) -> bool:
        return pod not in mdl.warm and not pod.suspect

    def _arrived(self, event: Arrived):
        inf, now = event.inference, self.now
        mdl = self._known(inf.model)
        self.traffic.arrived(mdl, now, inf.zones is not None)
        mdl.lanes, mdl.load_time = inf.lanes or mdl.lanes, inf.load_time or mdl.load_time
        self.ration.request_sent(now - inf.waited, now)
        until = now + max(0.0, inf.ttl - 2 * self.dep.tick)
        cheap = self.tenant_shares.is_beyond(inf, now, self.sharers) or inf.zones == ()
        inf.belief = RequestBelief(now, until, cheap, self.chance.fraction())
        self._due(until, inf)
        self._place(inf)
        self.traffic.count(mdl, now)

    def _known(self, model: Model) -> ModelBelief:
        if model.belief is None:
            self.models += 1
            turn = salt_of(model.name) % ORDERS
            model.belief = ModelBelief(model, self.models, self.turns.setdefault(turn, SharedOrder(turn)))
            self.known[model.belief] = None
            self._look(model.belief, self.now + RENEWALS * self.dep.keep_alive)
        return model.belief

    def _close(self, inf: Inference, keep: Forward | None = None):
        """The inference is answered: whatever is still out for it is work for nobody."""
        mind, inf.belief = inf.belief, None
        if mind is None:
            return
        self._unhold(inf, mind)
        self.parked.pop(inf, None)
        if self.dep.may_call_off:
            self.actions += [CallOff(forward) for forward in mind.out if forward is not keep]

    def _finish(self, inf: Inference):
        """Given up: a shed tells the client that another try is harmless, so it goes wherever it is true."""
        wait = self.dep.tells_retry_after * min(self.usual[inf.group].mean, self.dep.longest_retry_after)
        self.actions.append(Shed(inf, wait) if self.rules.may_shed(inf) else Fail(inf))
        self._close(inf)

    # Placement

    def _place(self, inf: Inference):
        mind, mdl = inf.belief, inf.model.belief
        if not self._may_repeat(inf):
            return None if mind.out else self._finish(inf)
        ill, thin = [pod for pod in self.pods if pod.suspect] if self.ill else [], self._thin()
        trial = next((pod for pod in ill if self.now >= pod.trial_at and self._may_forward(inf, pod)), None)
        if trial and not thin and not inf.forwards and inf.group.effect is not Effect.NON_RETRIABLE:
            trial.trial_gap, trial.trial_at = min(2 * trial.trial_gap, LAST_TRIAL), self.now + trial.trial_gap
            return self._forward(inf, trial)
        part, now, anywhere = BEYOND if mind.cheap else 1.0, self.now, inf.group.scope is Scope.ALL
        shared, places = 2 * len(ill) >= len(self.pods), self._places(mdl)
        spread = thin and places > 1

        def ready(pod: Worker) -> bool:
            return (
                (shared or not pod.suspect) and pod.work + mind.luck < pod.window * part and self._may_forward(inf, pod)
            )

        # The queue first: the fleet is looked through only for what it can't take. Level by level: of the
        # hundreds of copies of a favourite only the least-loaded are weighed.
        busy, lanes, past = mdl.busy, mdl.lanes, mind.tried
        warm = [pod for pod, (until, _) in mdl.warm.items() if until > now and pod.level is not None]
        if past:
            warm = [pod for pod in warm if ready(pod)]
            warm = [pod for pod in warm if pod not in past] or warm
        free = [pod for pod in warm if busy.get(pod, 0) < lanes * mdl.warm[pod][1]]
        for level in () if spread else sorted({len(pod.out) for pod in free}):
            least = [pod for pod in free if len(pod.out) == level and ready(pod)]
            if least:
                return self._forward(inf, self._least(least))
        warm = warm if past else [pod for pod in warm if ready(pod)]

        def has_room(pod: Worker) -> bool:
            # One that left may still have a load here until its turn to be struck comes.
            return (
                pod.serving
                and (shared or not pod.suspect)
                and pod.full_until <= now
                and pod not in past
                and (inf.zones is None or open_to(inf, pod))
                and pod.unfit_until <= now
                and pod.work + mind.luck < pod.window * part
                and (anywhere and pod.warm_at <= now or self._may_forward(inf, pod))
            )

        # Those tried before only where nothing else has room.
        while True:
            open_places = [pod for pod in self._turns(mdl).order[:places] if has_room(pod)] if spread else []
            if open_places:
                if self.dep.handshake_price > 0:
                    # Against a connection to each place, priced over hundreds of controllers: no more of them
                    # than own calls renew, by a draw of the controller's own, the same for all models.
                    most = math.ceil(mdl.part / RENEWED_BY)
                    open_places = heapq.nlargest(most, open_places, key=lambda pod: self.salt * pod.salt % PRIME)
                return self._forward(inf, self._least(open_places))
            if self._beyond(inf, mdl, warm, has_room):
                return
            if not past:
                return self._park(inf)
            past = ()

    def _beyond(self, inf: Inference, mdl: ModelBelief, warm: list[Worker], has_room: Callable[[Worker], bool]) -> bool:
        """No warm lane is free. Against a burst in which each inference would start a load of its own: one
        waits behind a warm copy, or a load already set going, while that is sooner than one of its own."""
        load_time = mdl.load_time if mdl.load_time and not self.loading.seen else self.loading.mean
        most = mdl.lanes * load_time / max(1.0, self.usual[inf.group].mean)
        queue: dict[Worker, float] = {pod: mdl.busy.get(pod, 0) / mdl.warm[pod][1] for pod in warm}
        queue.update(
            {
                load.pod: len(load.waiting) + mdl.busy.get(load.pod, 0)
                for load in mdl.loads.values()
                if has_room(load.pod)
            }
        )
        best = None
        if queue:
            best = self.chance.first([(waits, len(pod.out)) for pod, waits in queue.items()], list(queue))
        bare = None
        if len(self.loads) < self._load_window() and not (best and queue[best] < most):
            bare = self._seek(mdl, lambda pod: pod not in queue and pod not in mdl.loads and has_room(pod))
        if best and (queue[best] < most or best in warm and not bare):
            load = mdl.loads.get(best)
            self._hold(inf, load) if load and load.ordered else self._forward(inf, best)
        elif bare:
            if self.dep.loads_on_miss:
                self.loads[OwnLoad(mdl, bare, False)] = None
            self._forward(inf, bare)
        return bool(inf.belief.out or inf.belief.load)

    def _file(self, pod: Worker):
        self.index.file(pod, self._cold(pod))

    def _seek(self, mdl: ModelBelief, fits: Callable[[Worker], bool]) -> Worker | None:
        """The least-loaded that fits; among equals the own hall first, then the model's shared order."""
        if len(self.pods) <= WHOLE:
            self._file_known()
        places, turns = self._places(mdl), self._turns(mdl)
        # In whole inferences: with little traffic the few invokers heard would else be all that is used.
        mean = self.in_flight // max(1, self.index.step * len(self.pods))
        ties = self.index.least_loaded(turns, mean, places, fits)
        if ties:
            return ties[0] if len(ties) == 1 else self.chance.first([0] * len(ties), ties)
        return self._seek_beyond(fits) if len(turns.order) < len(self.pods) else None

    def _seek_beyond(self, fits: Callable[[Worker], bool]) -> Worker | None:
        """Of a large fleet, some by chance that the model's shared order does not hold."""
        for _ in range(OTHERS_TRIED):
            pod = self.pods[self.chance.next() % len(self.pods)]
            if pod.level is not None and fits(pod):
                return pod
        return None

    def _file_known(self):
        """Those that were new or cold, and are so no longer, stand in the index under their own load."""
        for pod in [pod for pod in self.index.levels.get(AVERAGE, ()) if not pod.new and not self._cold(pod)]:
            self._file(pod)

    def _least(self, pods: list[Worker]) -> Worker:
        return self.chance.first([(len(pod.out), pod.far) for pod in pods], pods)

    def _places(self, mdl: ModelBelief) -> int:
        return self.traffic.places(mdl, self.near)

    def _turns(self, mdl: ModelBelief) -> SharedOrder:
        """Ties by a draw that all controllers share: each sees too little of others' copies, and by chance
        each would load its own. Ordered anew when needed: most inferences find a warm lane and never ask."""
        mdl.turns.refresh(self.fleet, self.pods)
        return mdl.turns

    def _thin(self) -> bool:
        return self.traffic.is_thin(self.now, self.live, len(self.pods), self.near)

    def _park(self, inf: Inference):
        if not inf.belief.out and (inf.belief.cheap or self._hopeless(inf)):
            self._finish(inf)
        elif not inf.belief.out:
            self.parked[inf] = None

    def _unpark(self, most: int):
        """What no invoker has room for waits here, newest first: the oldest first would make all late."""
        for inf in list(itertools.islice(reversed(self.parked), most)):
            if self._hopeless(inf):
                self._finish(inf)
                continue
            del self.parked[inf]
            if not self.index.levels and not self.ill and self._may_repeat(inf):
                # No window is open anywhere: placing it would only bring it back here.
                self.parked[inf] = None
            else:
                self._place(inf)

    def _hopeless(self, inf: Inference) -> bool:
        """Held too long to be in time: shed before it costs anybody work."""
        slo, usual = inf.group.slo_time, self.usual[inf.group]
        return self.now - inf.belief.arrived > min(HELD * slo, slo - usual.mean - usual.spread)

    def _forward(self, inf: Inference, pod: Worker):
        """The one gate through which every forward passes."""
        mind, mdl = inf.belief, inf.model.belief
        if not self._may_repeat(inf) or not self._may_forward(inf, pod):
            raise AssertionError("a forward that the rules forbid")
        forward = Forward(inf, pod.entry.invoker, mind.until - self.now)
        cold = pod not in mdl.warm or pod in mdl.told
        forward.belief = AttemptBelief(pod, self.now, cold)
        inf.forwards.append(forward)
        mind.tried.append(pod)
        mind.out[forward] = pod.out[forward] = self.active[pod] = None
        self.in_flight += pod.serving
        pod.cold += forward.belief.cold
        mdl.busy[pod] = mdl.busy.get(pod, 0) + 1
        if self._cold(pod):
            self.slow_start.attempt_sent(pod, self.usual[inf.group].mean)
        self._file(pod)
        self.actions.append(forward)

    # Loads

    def _order(self, mdl: ModelBelief, pod: Worker) -> OwnLoad | None:
        if pod not in mdl.loads and self._send_order(mdl, pod):
            load = OwnLoad(mdl, pod, True)
            self.loads[load] = None
            self._due(self.now + self._load_patience(mdl), load)
        return mdl.loads.get(pod)

    def _send_order(self, mdl: ModelBelief, pod: Worker) -> bool:
        """The one gate through which every order passes."""
        allowed = self._may_order(pod)
        if allowed:
            self.ration.order_sent(self.now)
            self.actions.append(Order(pod.entry.invoker, mdl.model, 1))
        return allowed

    def _over(self, load: OwnLoad) -> list[Inference]:
        self.loads.pop(load, None)
        load.mdl.loads.pop(load.pod, None)
        left = list(load.waiting)
        for inf in left:
            self._unhold(inf, inf.belief)
        return left

    def _abandon(self, load: OwnLoad):
        """The load came to nothing, or not in time: its inferences go on by the fallback."""
        for inf in self._over(load):
            inf.belief.tried.append(load.pod)
            self._place(inf)

    def _hold(self, inf: Inference, load: OwnLoad):
        inf.belief.load, load.waiting[inf] = load, None

    def _unhold(self, inf: Inference, mind: RequestBelief):
        if mind.load:
            del mind.load.waiting[inf]
            mind.load = None

    def _missed(self, inf: Inference, mdl: ModelBelief, pod: Worker):
        load = self._order(mdl, pod) if pod.serving else None
        if load:
            return self._hold(inf, load)
        warm = [
            other
            for other in self._healthy()
            if other in mdl.warm and self._may_repeat(inf) and self._may_forward(inf, other)
        ]
        self._forward(inf, self._least(warm)) if warm else self._finish(inf)

    def _load_window(self) -> float:
        # Where traffic is thin most find others' copies: only more than chance brings is held back. A queue
        # eases it, the more the longer: else a fleet with idle cores sheds what it has no copies for.
        held, own = len(self.parked), len(self.pods) / self.live
        own = max(FEW_LOADS, own) if self._thin() else max(1.0, own) / max(LEAST_BARE, self.bare)
        return own + held * held / max(1.0, held + QUEUED * len(self.pods))

    def _load_patience(self, mdl: ModelBelief) -> float:
        return max(self.loading.patience(), 2 * (mdl.load_time or 0.0))

    def _look(self, mdl: ModelBelief, at: float):
        """Thousands of models are looked at when something of theirs is near its end, not with each pulse."""
        if at < mdl.look_at:
            mdl.look_at = at
            heapq.heappush(self.looks, (at, mdl.number, mdl))

    def _renew_due(self):
        due = []
        while self.looks and self.looks[0][0] <= self.now:
            at, _, mdl = heapq.heappop(self.looks)
            if at == mdl.look_at:
                due.append(mdl)
                mdl.look_at = math.inf
        for mdl in sorted(due, key=lambda mdl: mdl.number):
            self._renew(mdl)
            if mdl in self.known:
                times = [until - 3 * PULSE_EVERY for until, _ in mdl.warm.values()]
                self._look(mdl, max(self.now, min(times + [mdl.asked_at + RENEWALS * self.dep.keep_alive])))

    def _renew(self, mdl: ModelBelief):
        """Against the load that a call at about the keep-alive's pace meets each time: a model's last entry
        is held by an order, if it was asked for more than once and calls through others can't keep it."""
        for pod in [pod for pod, (until, _) in mdl.warm.items() if until <= self.now]:
            del mdl.warm[pod]
        idle = self.now - mdl.asked_at > RENEWALS * self.dep.keep_alive
        kept = mdl.part * (self.live - 1) > OTHERS_KEEP
        if mdl.warm and mdl.asked > 1 and not idle and not kept:
            pod, (until, _) = max(mdl.warm.items(), key=lambda item: item[1])
            if until - self.now <= 3 * PULSE_EVERY and not pod.suspect and pod not in mdl.told:
                self._send_order(mdl, pod)
        elif idle and not mdl.warm and not mdl.busy and not mdl.loads:
            mdl.model.belief = None
            del self.known[mdl]
            for pod in mdl.stood:
                pod.holds.pop(mdl, None)

    # Rules

    def _may_repeat(self, inf: Inference) -> bool:
        return self.rules.may_repeat(inf, self.now)

    def _may_forward(self, inf: Inference, pod: Worker) -> bool:
        if not pod.serving or pod.full_until > self.now or inf.zones is not None and not open_to(inf, pod):
            return False
        if not self.rules.in_scope(inf, pod):
            return False
        return not self._cold(pod) or self._cold_room(pod, self.usual[inf.group].mean)

    def _may_order(self, pod: Worker) -> bool:
        return self.dep.may_order and pod.serving and self.ration.allows_order(self.now)

    def _cold(self, pod: Worker) -> bool:
        return self.slow_start.is_cold(pod, self.now)

    def _cold_room(self, pod: Worker, weight: float) -> bool:
        return self.slow_start.has_room(pod, weight, self.now, self.sharers)

    # Outcomes

    def _ended(self, event: Ended):
        forward, outcome, now = event.forward, event.outcome, self.now
        inf, sent = forward.inference, forward.belief
        pod, mdl, mind = sent.pod, inf.model.belief, inf.belief
        del pod.out[forward]
        self.in_flight -= pod.serving
        pod.cold -= sent.cold
        self._file(pod)
        mdl.busy[pod] -= 1
        if not mdl.busy[pod]:
            del mdl.busy[pod]
            if pod in mdl.loads and not mdl.loads[pod].ordered:
                self._over(mdl.loads[pod])
        if outcome in (Outcome.RETURNED, Outcome.ERROR, Outcome.FULL, Outcome.MISS):
            pod.heard = now
        elif outcome is Outcome.TIMED_OUT and not sent.cold and self._had_time(sent, inf.group):
            self._narrow(pod, inf.group)
        if outcome is Outcome.RETURNED:
            self._learn(inf, mdl, sent, event)
        elif outcome is Outcome.FULL and sent.cold:
            # No memory, or no place among its loads: neither keeps its warm copies from work.
            pod.unfit_until = now + self.usual[inf.group].mean
        elif outcome is Outcome.FULL:
            pod.full_until = now + self.usual[inf.group].mean
            self._narrow(pod, inf.group)
        elif outcome is Outcome.UNCONNECTED or outcome is Outcome.RESET and now > pod.broken_at > pod.heard:
            self._doubt(pod)
            self._strike(pod)
        elif outcome is Outcome.RESET:
            # A lost answer, or a connection with all on it, condemns nobody; nothing heard since does.
            pod.broken_at = now
            mdl.warm.pop(pod, None)
        elif outcome in (Outcome.ERROR, Outcome.MISS):
            mdl.warm.pop(pod, None)
        elif outcome is Outcome.TIMED_OUT and not sent.cold:
            if self._had_time(sent, inf.group):
                mdl.warm.pop(pod, None)
        elif sent.cold and pod.serving and not pod.suspect:
            # The load goes on without the inference that began it; another begun elsewhere would double it.
            self._order(mdl, pod)
        if mind is None:
            return
        del mind.out[forward]
        if outcome not in NEVER_RAN:
            mind.ran.append((pod, sent.at))
        if event.final:
            self._close(inf)
        elif now >= mind.until:
            self._finish(inf)
        elif outcome is Outcome.MISS and not event.load_failed and not mind.load:
            self._missed(inf, mdl, pod)
        elif not mind.load and inf not in self.parked:
            self._place(inf)

    def _had_time(self, sent, group: ModelGroup) -> bool:
        """Against clients with little time left: that an answer takes its usual time says nothing of the invoker."""
        return self.now - sent.at >= self.usual[group].mean

    def _learn(self, inf: Inference, mdl: ModelBelief, sent, event: Ended):
        pod, usual = sent.pod, self.usual[inf.group]
        pod.new = False
        pod.carried += usual.mean
        loaded = event.found in (Found.BEGAN_LOAD, Found.AWAITED_LOAD)
        # How often a forward without an entry loads: a newcomer must not take others' copies for own loads.
        self.bare += 0.1 * sent.cold * ((event.found is not Found.WARM) - self.bare)
        if pod.serving:
            # A load here strikes what was believed; the finished run itself is the new entry.
            copies = mdl.warm[pod][1] if pod in mdl.warm and not loaded else 1
            self._enter(mdl, pod, copies)
        if loaded:
            if event.found is Found.BEGAN_LOAD:
                self.loading.add(event.elapsed)
            return
        pod.strain += (1.0 if self._thin() else 0.2) * (event.elapsed / inf.group.slo_time - pod.strain)
        if pod.strain > STRAINED:
            self._narrow(pod, inf.group)
        elif pod.strain < EASY and pod.work + 2 > pod.window:
            pod.window += 0.5 * min(1.0, pod.window)
        self._file(pod)
        ratio = event.elapsed / max(usual.mean, 1e-3)
        usual.add(event.elapsed)
        self.kinds.setdefault(pod.kind, RunningMean(ratio)).add(ratio)
        if ratio < SLOW_PACE:
            pod.suspect, pod.rumour, pod.trial_gap = False, False, FIRST_TRIAL
            self.ill.pop(pod, None)

    def _enter(self, mdl: ModelBelief, pod: Worker, copies: int):
        mdl.warm[pod] = self.now + self.dep.keep_alive, copies
        mdl.told.pop(pod, None)
        pod.holds[mdl] = mdl.stood[pod] = None
        self._look(mdl, self.now + self.dep.keep_alive - 3 * PULSE_EVERY)

    def _told(self, event: Told):
        """Another's word makes an entry with a shorter life. Against one that is old, wrong or a lie: it
        never outranks an own entry, and what is sent on it is watched as if it might load."""
        pod, mdl = event.invoker.belief, self._known(event.model)
        if pod is None or not pod.serving:
            return
        until, _ = mdl.warm.get(pod, (0.0, 0))
        if until > self.now and mdl.told.get(pod) != until:
            return
        mdl.told.pop(pod, None)
        mdl.warm.pop(pod, None)
        if event.life > 0:
            self._enter(mdl, pod, max(1, event.copies))
            mdl.told[pod] = until = self.now + min(event.life, self.dep.keep_alive)
            mdl.warm[pod], mdl.lanes = (until, max(1, event.copies)), max(mdl.lanes, event.lanes)
            self._look(mdl, until - 3 * PULSE_EVERY)

    def _sharing(self, event: Sharing):
        self.live, self.sharers = max(1, event.live), max(1.0, event.sharers)

    def _give(self, event: BeliefsAsked):
        born = self.now + self.dep.keep_alive
        standing = [
            Standing(pod.entry.invoker, mdl.model, copies, mdl.lanes, born - until, pod not in mdl.told)
            for mdl in self.known
            for pod, (until, copies) in mdl.warm.items()
            if until > self.now
        ]
        self.actions.append(Beliefs(event.token, standing))

    def _settled(self, event: OrderSettled):
        pod, mdl = event.invoker.belief, event.model.belief
        if mdl is None or not pod.serving:
            return
        load = mdl.loads.get(pod)
        ordered = load is not None and load.ordered
        if event.outcome is not Outcome.RETURNED:
            return self._abandon(load) if ordered else None
        # The invoker's own word that a copy stands is as good as a returned answer.
        self._enter(mdl, pod, max(1, event.standing))
        pod.heard = self.now
        if ordered:
            self.loading.add(event.elapsed)
            for inf in self._over(load):
                allowed = self._may_repeat(inf) and self._may_forward(inf, pod)
                self._forward(inf, pod) if allowed else self._place(inf)

    def _rumoured(self, event: Doubted):
        """Others' word makes a suspect like any other: tried now and then, in again where most are out,
        cleared by an own answer. Taken back, it leaves own evidence alone."""
        pod = event.invoker.belief
        if event.ill and pod and not pod.suspect:
            self._doubt(pod)
            pod.rumour = True
        elif pod and pod.rumour and not event.ill:
            pod.suspect = pod.rumour = False
            self.ill.pop(pod, None)

    def _healthy(self) -> list[Worker]:
        """Suspects are left out, unless so many look ill that the cause must be a shared one."""
        well = [pod for pod in self.pods if not pod.suspect] if self.ill else self.pods
        return well if 2 * len(well) > len(self.pods) else self.pods

    def _doubt(self, pod: Worker):
        pod.rumour = False
        self.active[pod] = None
        if not pod.suspect:
            pod.suspect, pod.trial_at = True, self.now + pod.trial_gap
            if pod.serving:
                self.ill[pod] = None

    def _narrow(self, pod: Worker, group: ModelGroup):
        """One narrowing for one wave of bad news: what is out was sent under the old window. Below one it
        thins by chance: many controllers with one inference each can only send less so."""
        if self.now - pod.narrowed > self.usual[group].mean:
            pod.narrowed, pod.window = self.now, max(LEAST_WINDOW, 0.7 * min(pod.window, pod.work + 1.0))
            self._file(pod)

    def _overdue(self, forward: Forward) -> bool:
        inf, sent = forward.inference, forward.belief
        wait = max(self.usual[inf.group].patience(), inf.group.slo_time / 2)
        wait += 2 * self._load_patience(inf.model.belief) if sent.cold else 0.0
        return self.now - max(sent.pod.heard, sent.at) > wait

    def _pulse(self):
        self.actions.append(SetTimer(PULSE_EVERY, PULSE))
        thin = self._thin()
        if len(self.pods) > WHOLE:
            self._file_known()
        for pod in [pod for pod in self.active if pod.serving]:
            if thin and pod.suspect and self.now >= pod.trial_at:
                # Its few places in the draw are trial enough: forced ones would take most of thin traffic.
                pod.suspect, pod.trial_gap = False, min(2 * pod.trial_gap, LAST_TRIAL)
                self.ill.pop(pod, None)
            self.slow_start.average(pod, PULSE_EVERY)
            if pod.out and any(self._overdue(forward) for forward in pod.out):
                # Takes work and answers nothing: hung, cut off, dead but not listed so.
                self._doubt(pod)
        self.active = {pod: None for pod in self.active if pod.busy}
        cut_off = self.ill and self._healthy() is not self.pods
        lost = [forward for pod in self.pods if pod.suspect for forward in pod.out] if cut_off else ()
        for forward in lost:
            if forward.inference.belief and not forward.belief.rescued and self._overdue(forward):
                self._rescue(forward.inference, forward)
        self.pulses += 1
        self.slow_start.time_passed(PULSE_EVERY)
        if len(self.pods) <= WHOLE or self.pulses % WEIGHED_EVERY == 0:
            self._weigh_kinds()
        self._renew_due()
        self._unpark(len(self.parked))

    def _weigh_kinds(self):
        """Slowness and carried work of each kind. Sizes told, if any, are not speeds: an even draw jams slow
        kinds. In whole steps, as controllers that have seen nearly the same must place alike."""
        seen = {kind: max(usual.mean, 1e-3) for kind, usual in self.kinds.items() if usual.seen >= 5}
        steps = {kind: round(math.log(mean / min(seen.values()), 1.5)) for kind, mean in seen.items()}
        if steps != self.fleet.slowness:
            self.fleet.weigh(steps)
        usual = min(usual.mean for usual in self.usual.values())
        even = self.traffic.recent / self.traffic.memory * usual / max(1, len(self.pods))
        self.slow_start.weigh(self.pods, self.now, even)

    def _rescue(self, inf: Inference, forward: Forward):
        forward.belief.rescued = True
        if self._may_repeat(inf):
            self._place(inf)
        elif self.dep.may_call_off and inf.group.effect is not Effect.NON_RETRIABLE:
            self.actions.append(CallOff(forward))

    def _due(self, at: float, what: Inference | OwnLoad | None):
        heapq.heappush(self.dues, (at, self.chance.take(), what))

    def _timer(self, event: TimerDue):
        if event.token == PULSE:
            return self._pulse()
        self.armed = math.inf
        while self.dues and self.dues[0][0] <= self.now:
            what = heapq.heappop(self.dues)[2]
            if what is None:
                self.actions.append(Subscribe(True))
            elif isinstance(what, Inference) and what.belief:
                self._finish(what)
            elif what in self.loads:
                self._doubt(what.pod)
                self._abandon(what)
