"""All decisions of a controller: pull-based placement (HIKU) with what keeps it standing when things fail.

Call `Controller(deployment, seed)` once when the controller starts, then `handle(now, events)` for each batch
of what happened; the answer is the list of what to do, in order. Everything handed in and out is defined in
`sprucespool/interface.py`; each fact's `belief` slot is this module's own. Times are float milliseconds.
"""
from __future__ import annotations

import heapq
import itertools
import zlib
from collections import deque

from sprucespool.interface import (
    Arrived, CallOff, Departed, Deployment, Effect, Ended, Fail, Forward, Found, Inference, News, Order,
    OrderSettled, Outcome, RosterEntry, RosterNews, Scope, SetTimer, Shed, Status, Streaming, Subscribe,
    Tenant, TimerDue,
)

PULSE, DUE = 1, 2
PULSE_EVERY = 100.0
NEVER_RAN = (Outcome.FULL, Outcome.UNCONNECTED, Outcome.NOT_SENT, Outcome.MISS)
ALIVE = (Outcome.RETURNED, Outcome.ERROR, Outcome.FULL, Outcome.MISS)
# A colleague twice as slow is another kind of machine; beyond that it is in trouble.
SLOW_PACE = 2.5
# Idle times for which the last warm copy of a model is held beyond its use.
RENEWALS = 3.0
# Loads this many times longer than they should take wait for each other; own loads at once that are always
# let be, since an invoker that stays empty helps nobody; and the time of an order that found a copy standing.
SLOW_LOAD, FEWEST_LOADS, AT_ONCE = 1.5, 1.0, 20.0
# Trials of a suspect thin out, so that a long silence costs few inferences.
FIRST_TRIAL, LAST_TRIAL = 1000.0, 8000.0
# Own inferences in flight that an invoker takes before anything of it is known.
FIRST_WINDOW = 4.0
# Inferences held here that are looked at whenever an invoker frees; all of them are at each pulse.
FEW = 4
# Parts of the SLO time: answers slower than the first on the average narrow an invoker's window, faster than
# the second widen it; an inference held here longer than the third is shed.
STRAINED, EASY, HELD = 0.6, 0.4, 0.3
# The cold budget is kept with this part in hand: arrivals bunch, and the clock of a start is told roughly.
COLD_CAUTION = 0.8


class _Usual:
    """Mean and mean deviation of a time, as a retransmission timer keeps them."""
    __slots__ = ("mean", "spread", "seen")

    def __init__(self, guess: float):
        self.mean, self.spread, self.seen = guess, guess / 2, 0

    def add(self, figure: float):
        self.seen += 1
        gain = max(0.05, 1.0 / self.seen)
        self.spread += max(0.05, min(0.5, gain)) * (abs(figure - self.mean) - self.spread)
        self.mean += gain * (figure - self.mean)

    @property
    def patience(self) -> float:
        return self.mean + 4 * self.spread


class _Pod:
    """What is believed of one invoker."""
    __slots__ = ("invoker", "zone", "kind", "cell", "serving", "started", "out", "held", "heard", "new",
                 "pace", "suspect", "trial_at", "trial_gap", "full_until", "spent", "carried", "rate",
                 "window", "strain", "narrowed", "cold", "crammed_until")

    def __init__(self, invoker, now: float):
        self.invoker = invoker
        self.spent: deque[tuple[float, float]] = deque()
        self.out: dict[Forward, None] = {}
        self.held = self.cold = 0
        self.zone = self.kind = self.cell = ""
        self.serving, self.started = False, -1.0
        self.forget(now)

    def forget(self, now: float):
        self.heard, self.new, self.pace = now, True, 1.0
        self.suspect, self.trial_at, self.trial_gap = False, 0.0, FIRST_TRIAL
        self.full_until = self.crammed_until = 0.0
        self.carried = self.rate = self.strain = self.narrowed = 0.0
        self.window = FIRST_WINDOW

    @property
    def load(self) -> int:
        return len(self.out) + self.held

    @property
    def room(self) -> bool:
        """Inferences that wait for a load take no core: they must not keep the warm copies beside it idle."""
        return len(self.out) - self.cold < self.window


class _Entry:
    __slots__ = ("until", "copies")

    def __init__(self, until: float, copies: int):
        self.until, self.copies = until, copies


class _Load:
    """A load this controller has set going, with the inferences that wait here until it stands."""
    __slots__ = ("pod", "since", "waiting", "ordered")

    def __init__(self, pod: _Pod, since: float, ordered: bool):
        self.pod, self.since, self.ordered = pod, since, ordered
        self.waiting: dict[Inference, None] = {}


class _Mdl:
    """What is believed of one model: its queue of warm invokers, own lanes taken, loads under way."""
    __slots__ = ("model", "lanes", "load_time", "warm", "busy", "loads", "asked", "asked_at", "renewed")

    def __init__(self, model):
        self.model = model
        self.lanes, self.load_time = 1, None
        self.asked, self.asked_at, self.renewed = 0, 0.0, float("-inf")
        self.warm: dict[_Pod, _Entry] = {}
        self.busy: dict[_Pod, int] = {}
        self.loads: dict[_Pod, _Load] = {}


class _Inf:
    """An inference still owed an answer."""
    __slots__ = ("arrived", "until", "ran", "out", "tried", "load", "parked", "over_share")

    def __init__(self, arrived: float, until: float, over_share: bool):
        self.arrived, self.until, self.over_share = arrived, until, over_share
        self.ran: list[tuple[_Pod, float]] = []
        self.out: dict[Forward, None] = {}
        self.tried: list[_Pod] = []
        self.load: _Load | None = None
        self.parked = False


class _Sent:
    __slots__ = ("pod", "at", "cold", "rescued")

    def __init__(self, pod: _Pod, at: float, cold: bool):
        self.pod, self.at, self.cold, self.rescued = pod, at, cold, False


class Controller:
    def __init__(self, deployment: Deployment, seed: int):
        self.dep = deployment
        self.seed, self.draws = seed, 0
        self.now = 0.0
        self.actions: list = []
        self.pods: list[_Pod] = []
        self.known: dict = {}
        self.parked: dict[Inference, None] = {}
        self.dues: list[tuple[float, int, object]] = []
        self.counter = 0
        self.armed = float("inf")
        self.pulsing = self.freed = False
        self.orders: deque[float] = deque()
        self.arrivals: deque[float] = deque()
        self.usual = {group: _Usual(group.slo_time / 4) for group in deployment.groups}
        self.buckets: dict[Tenant, tuple[float, float]] = {}
        self.loads: dict[_Load, None] = {}
        self.load_window, self.load_floor, self.eased = 4.0, 0.0, 0.0
        self.loading = _Usual(max(group.slo_time for group in deployment.groups))
        self.handlers = {
            Arrived: self._arrived, Departed: self._departed, Ended: self._ended, Streaming: self._streaming,
            RosterNews: self._roster, OrderSettled: self._settled, TimerDue: self._timer,
        }

    def handle(self, now: float, events: list) -> list:
        self.now, self.actions = now, []
        if not self.pulsing:
            self.pulsing = True
            self.actions.append(SetTimer(PULSE_EVERY, PULSE))
            if self.dep.roster_asked:
                self.actions.append(Subscribe(True))
        for event in events:
            handler = self.handlers.get(type(event))
            if handler:
                handler(event)
        if self.freed and self.parked:
            self._unpark(FEW)
        if self.dues and self.dues[0][0] < self.armed:
            self.armed = self.dues[0][0]
            self.actions.append(SetTimer(max(0.0, self.armed - now), DUE))
        return self.actions

    # Roster

    def _roster(self, news: RosterNews):
        if news.kind is News.UNAVAILABLE:
            if self.dep.roster_asked:
                self._due(self.now + self.dep.ask_every / 4, None)
            return
        if news.kind is not News.UPDATE:
            named = {entry.invoker: None for entry in news.entries}
            for pod in list(self.pods):
                if pod.invoker not in named:
                    self._withdraw(pod)
        for entry in news.entries:
            self._enter(entry)

    def _enter(self, entry: RosterEntry):
        pod = entry.invoker.belief
        if pod is None:
            pod = entry.invoker.belief = _Pod(entry.invoker, self.now)
        pod.zone, pod.kind, pod.cell = entry.zone, entry.kind, entry.cell
        if entry.status is not Status.IN_SERVICE:
            self._withdraw(pod)
            return
        if entry.started != pod.started and pod.started >= 0:
            # A process started afresh holds nothing that the one before it held.
            self._strike(pod)
            pod.forget(self.now)
        pod.started = entry.started
        if not pod.serving:
            pod.serving = True
            self.pods.append(pod)

    def _withdraw(self, pod: _Pod):
        if pod.serving:
            pod.serving = False
            self.pods.remove(pod)
        self._strike(pod)

    def _strike(self, pod: _Pod):
        for mdl in self._models():
            mdl.warm.pop(pod, None)
            if pod in mdl.loads:
                self._abandon(mdl, mdl.loads[pod])

    def _models(self) -> list[_Mdl]:
        return list(self.known.values())

    # Inferences

    def _arrived(self, event: Arrived):
        inf = event.inference
        self.arrivals.append(self.now)
        mdl = inf.model.belief
        if mdl is None:
            mdl = inf.model.belief = _Mdl(inf.model)
            self.known[inf.model] = mdl
        mdl.asked, mdl.asked_at = mdl.asked + 1, self.now
        mdl.lanes = inf.lanes or mdl.lanes
        mdl.load_time = inf.load_time or mdl.load_time
        until = self.now + max(0.0, inf.ttl - 2 * self.dep.tick)
        inf.belief = _Inf(self.now, until, inf.tenant is not None and self._beyond_share(inf.tenant))
        self._due(inf.belief.until, inf)
        self._place(inf)

    def _beyond_share(self, tenant: Tenant) -> bool:
        """Own part of the tenant's share, as a bucket of one second: what it sends beyond is worth little, so
        it is the first to go where there is no room for all."""
        part = tenant.quota_per_s / self.dep.controllers
        level, at = self.buckets.get(tenant, (part, self.now))
        level = min(part, level + part * (self.now - at) / 1000.0) - 1.0
        self.buckets[tenant] = max(level, -1.0), self.now
        return level < 0.0

    def _departed(self, event: Departed):
        self._close(event.inference)

    def _streaming(self, event: Streaming):
        self._close(event.forward.inference, keep=event.forward)

    def _close(self, inf: Inference, keep: Forward | None = None):
        """The inference is answered: whatever is still out for it is work for nobody."""
        mind = inf.belief
        if mind is None:
            return
        inf.belief = None
        self._unhold(inf, mind)
        self.parked.pop(inf, None)
        if self.dep.may_call_off:
            for forward in mind.out:
                if forward is not keep:
                    self.actions.append(CallOff(forward))

    def _unhold(self, inf: Inference, mind: _Inf):
        if mind.load:
            mind.load.waiting.pop(inf, None)
            mind.load.pod.held -= 1
            mind.load = None

    def _finish(self, inf: Inference):
        """Given up: a shed tells the client that another try is harmless, so it goes wherever it is true."""
        if self._may_shed(inf):
            wait = min(self.usual[inf.group].mean, self.dep.longest_retry_after)
            self.actions.append(Shed(inf, wait if self.dep.tells_retry_after else 0.0))
        else:
            self.actions.append(Fail(inf))
        self._close(inf)

    # Placement

    def _place(self, inf: Inference):
        mind, mdl = inf.belief, inf.model.belief
        if len(inf.forwards) >= self.dep.most_forwards or self.now >= mind.until:
            if not mind.out:
                self._finish(inf)
            return
        pods = [pod for pod in self._healthy() if pod.room and self._may_forward(inf, pod)]
        pods = [pod for pod in pods if pod not in mind.tried] or pods
        trial = next((pod for pod in self.pods if pod.suspect and self.now >= pod.trial_at
                      and not inf.forwards and self._may_forward(inf, pod)), None)
        if trial and inf.group.effect is not Effect.NON_RETRIABLE:
            trial.trial_gap = min(2 * trial.trial_gap, LAST_TRIAL)
            trial.trial_at = self.now + trial.trial_gap
            self._forward(inf, trial)
            return
        warm = [pod for pod in pods if pod in mdl.warm and mdl.warm[pod].until > self.now]
        free = [pod for pod in warm if mdl.busy.get(pod, 0) < mdl.lanes * mdl.warm[pod].copies]
        if free:
            self._forward(inf, self._least(free))
        elif not pods:
            self._park(inf)
        else:
            self._beyond(inf, mdl, pods, warm)

    def _beyond(self, inf: Inference, mdl: _Mdl, pods: list[_Pod], warm: list[_Pod]):
        """No warm lane is free. Against a burst in which each inference would start a load of its own: one
        waits behind a warm copy, or a load already set going, while that is sooner than one of its own."""
        usual, load = self.usual[inf.group].mean, self._load_time(mdl)
        waits = {pod: (mdl.busy.get(pod, 0) / (mdl.lanes * mdl.warm[pod].copies)) * usual for pod in warm}
        if warm:
            best = min(warm, key=lambda pod: (waits[pod], pod.load, self._chance()))
            if waits[best] < load:
                if not mdl.loads:
                    self._spread(mdl, pods)
                self._forward(inf, best)
                return
        joinable = [other for other in mdl.loads.values() if other.pod in pods
                    and (mdl.busy.get(other.pod, 0) + len(other.waiting)) * usual / mdl.lanes < load]
        if joinable:
            best = min(joinable, key=lambda load: (len(load.waiting) + mdl.busy.get(load.pod, 0),
                                                   self._chance()))
            if best.ordered:
                self._hold(inf, best)
            else:
                self._forward(inf, best.pod)
            return
        bare = [pod for pod in pods if pod.crammed_until <= self.now]
        if bare and self._may_load(bool(warm)):
            pod = self._least(bare, fallback=True)
            if self.dep.loads_on_miss and pod not in mdl.loads:
                self._set_going(mdl, pod, False)
            self._forward(inf, pod)
        elif warm:
            self._forward(inf, best)
        else:
            self._park(inf)

    def _park(self, inf: Inference):
        if inf.belief.out:
            return
        if inf.belief.over_share or self._hopeless(inf):
            self._finish(inf)
        else:
            inf.belief.parked = True
            self.parked[inf] = None

    def _least(self, pods: list[_Pod], fallback: bool = False) -> _Pod:
        mean = sum(pod.load for pod in self.pods) / max(1, len(self.pods))
        return min(pods, key=lambda pod: (mean if fallback and (pod.new or self._cold(pod)) else pod.load,
                                          self._chance()))

    def _spread(self, mdl: _Mdl, pods: list[_Pod]):
        bare = [pod for pod in pods if pod not in mdl.warm and pod.crammed_until <= self.now]
        if bare and self._may_load(True):
            self._order(mdl, self._least(bare, fallback=True))

    def _order(self, mdl: _Mdl, pod: _Pod) -> _Load | None:
        if pod in mdl.loads:
            return mdl.loads[pod]
        if not self._may_order(pod):
            return None
        self._send_order(mdl, pod)
        load = self._set_going(mdl, pod, True)
        self._due(self.now + self._load_patience(mdl), (mdl, load))
        return load

    def _send_order(self, mdl: _Mdl, pod: _Pod):
        self.orders.append(self.now)
        self.actions.append(Order(pod.invoker, mdl.model, 1))

    def _set_going(self, mdl: _Mdl, pod: _Pod, ordered: bool) -> _Load:
        load = mdl.loads[pod] = _Load(pod, self.now, ordered)
        self.loads[load] = None
        return load

    def _may_load(self, further: bool) -> bool:
        """A further copy of a model that stands warm elsewhere gives way to first copies."""
        return len(self.loads) < (max(1.0, self.load_window / 4) if further else self.load_window)

    def _over(self, mdl: _Mdl, load: _Load):
        if mdl.loads.get(load.pod) is load:
            del mdl.loads[load.pod]
            del self.loads[load]

    def _ease_loads(self, mdl: _Mdl, elapsed: float | None):
        """Loads this slow beside what they should take wait for each other, at the store or for room: more at
        once only lengthens them all, and a store pushed too far stops. None: the load came to nothing."""
        usual = mdl.load_time or 2 * self.load_floor or elapsed
        if elapsed is not None:
            gap = elapsed - (self.load_floor or elapsed)
            self.load_floor = elapsed - gap + gap * (0.02 if gap > 0 else 0.2)
            self.loading.add(elapsed)
        if elapsed is not None and elapsed < SLOW_LOAD * usual:
            self.load_window += 1.0 / self.load_window
        elif self.now - self.eased > self.loading.mean:
            self.eased = self.now
            self.load_window = max(FEWEST_LOADS, 0.7 * min(self.load_window, len(self.loads) + 1.0))

    def _hold(self, inf: Inference, load: _Load):
        inf.belief.load = load
        load.waiting[inf] = None
        load.pod.held += 1

    def _missed(self, inf: Inference, mdl: _Mdl, pod: _Pod):
        load = self._order(mdl, pod) if self.dep.may_order else None
        if load:
            self._hold(inf, load)
            return
        warm = [other for other in self._healthy() if other in mdl.warm and self._may_forward(inf, other)]
        if warm:
            self._forward(inf, self._least(warm))
        else:
            self._finish(inf)

    def _load_time(self, mdl: _Mdl) -> float:
        return mdl.load_time if mdl.load_time and not self.loading.seen else self.loading.mean

    def _load_patience(self, mdl: _Mdl) -> float:
        return max(self.loading.patience, 2 * (mdl.load_time or 0.0))

    def _abandon(self, mdl: _Mdl, load: _Load):
        """The load came to nothing, or not in time: its inferences go on by the fallback."""
        self._over(mdl, load)
        for inf in list(load.waiting):
            self._unhold(inf, inf.belief)
            inf.belief.tried.append(load.pod)
            self._place(inf)

    def _forward(self, inf: Inference, pod: _Pod):
        """The one gate through which every forward passes."""
        mind, mdl = inf.belief, inf.model.belief
        if not self._may_forward(inf, pod):
            raise AssertionError("a forward that the rules forbid")
        forward = Forward(inf, pod.invoker, mind.until - self.now)
        forward.belief = _Sent(pod, self.now, pod not in mdl.warm)
        pod.cold += forward.belief.cold
        inf.forwards.append(forward)
        mind.tried.append(pod)
        mind.out[forward] = None
        pod.out[forward] = None
        mdl.busy[pod] = mdl.busy.get(pod, 0) + 1
        if self._cold(pod):
            pod.spent.append((self.now, self.usual[inf.group].mean))
        self.actions.append(forward)

    # Rules

    def _may_forward(self, inf: Inference, pod: _Pod) -> bool:
        mind, group = inf.belief, inf.group
        if not pod.serving or pod.full_until > self.now or self.now >= mind.until:
            return False
        if mind.out and not self.dep.may_duplicate:
            return False
        if mind.out or mind.ran:
            if group.effect is Effect.NON_RETRIABLE:
                return False
            if group.effect is Effect.DEDUPED:
                ran = mind.ran + [(f.belief.pod, f.belief.at) for f in mind.out]
                if any(self.now - at >= group.dedup_window
                       or not self._drops_together(group.scope, pod, other) for other, at in ran):
                    return False
        return self._cold_room(pod, self.usual[group].mean)

    def _drops_together(self, scope: Scope, a: _Pod, b: _Pod) -> bool:
        return scope is Scope.ALL or (a.zone == b.zone if scope is Scope.ZONE else
                                      a.zone == b.zone and a.cell == b.cell)

    def _may_shed(self, inf: Inference) -> bool:
        group, mind = inf.group, inf.belief
        if group.effect is Effect.RETRIABLE or not (mind.out or mind.ran):
            return True
        return group.effect is Effect.DEDUPED and group.scope is Scope.ALL

    def _may_order(self, pod: _Pod) -> bool:
        dep = self.dep
        if not dep.may_order or not pod.serving:
            return False
        if dep.order_window <= 0:
            return True
        while self.orders and self.orders[0] < self.now - dep.order_window:
            self.orders.popleft()
        while self.arrivals and self.arrivals[0] <= self.now - dep.order_window:
            self.arrivals.popleft()
        return len(self.orders) + 1 <= dep.order_floor + dep.order_share * len(self.arrivals)

    def _cold(self, pod: _Pod) -> bool:
        return pod.started > 0 and self.now < pod.started + self.dep.warm_after

    def _cold_room(self, pod: _Pod, weight: float) -> bool:
        """Own part of what a cold invoker may be sent: what one of its kind returns to this controller when
        warm is this controller's part of its capacity, whatever the others do."""
        if not self._cold(pod):
            return True
        dep = self.dep
        while pod.spent and pod.spent[0][0] <= self.now - dep.fall_window:
            pod.spent.popleft()
        if not pod.spent:
            return True
        age = max(0.0, self.now - dep.fall_window - pod.started) / dep.warm_after
        share = dep.cold_share + (1 - dep.cold_share) * age
        rates = [other.rate for other in self.pods if not self._cold(other) and other.kind == pod.kind]
        rates = rates or [other.rate / 2 for other in self.pods if not self._cold(other)]
        budget = COLD_CAUTION * dep.fall_multiple * share * max(rates, default=0.0) * dep.fall_window
        return sum(spent for _, spent in pod.spent) + weight <= budget

    # Outcomes

    def _ended(self, event: Ended):
        forward, outcome = event.forward, event.outcome
        inf, sent = forward.inference, forward.belief
        pod, mdl = sent.pod, inf.model.belief
        pod.out.pop(forward, None)
        pod.cold -= sent.cold
        mdl.busy[pod] -= 1
        if not mdl.busy[pod]:
            del mdl.busy[pod]
        load = mdl.loads.get(pod)
        if load and not load.ordered and pod not in mdl.busy:
            self._over(mdl, load)
        self.freed = True
        if outcome in ALIVE:
            pod.heard = self.now
        if outcome is Outcome.RETURNED:
            self._learn(inf, mdl, sent, event)
        elif outcome is Outcome.FULL:
            # Turned away with the model warm: too much work. Without: no memory or no place among its loads.
            if sent.cold:
                pod.crammed_until = self.now + self.loading.mean
                self._ease_loads(mdl, None)
            else:
                pod.full_until = self.now + self.usual[inf.group].mean
                self._narrow(pod, 0.7, inf.group)
        elif outcome in (Outcome.UNCONNECTED, Outcome.RESET):
            self._doubt(pod)
            self._strike(pod)
        elif outcome in (Outcome.ERROR, Outcome.MISS) or outcome is Outcome.TIMED_OUT and not sent.cold:
            mdl.warm.pop(pod, None)
        elif sent.cold and self.dep.may_order and not pod.suspect:
            # The load goes on without the inference that began it; another begun elsewhere would double it.
            self._order(mdl, pod)
        mind = inf.belief
        if mind is None:
            return
        mind.out.pop(forward, None)
        if event.final:
            self._close(inf)
            return
        if outcome not in NEVER_RAN:
            mind.ran.append((pod, sent.at))
        if self.now >= mind.until:
            self._finish(inf)
        elif outcome is Outcome.MISS and not event.load_failed and pod.serving and not mind.load:
            self._missed(inf, mdl, pod)
        elif not mind.load and not mind.parked:
            self._again(inf)

    def _again(self, inf: Inference):
        """Onward where the rules let it; if they never will, the answer is given now."""
        mind, group = inf.belief, inf.group
        if mind.ran and not mind.out and (group.effect is Effect.NON_RETRIABLE or (
                group.effect is Effect.DEDUPED and self.now - mind.ran[0][1] >= group.dedup_window)):
            self._finish(inf)
        else:
            self._place(inf)

    def _learn(self, inf: Inference, mdl: _Mdl, sent: _Sent, event: Ended):
        pod = sent.pod
        pod.new = False
        pod.carried += self.usual[inf.group].mean
        cold = event.found in (Found.BEGAN_LOAD, Found.AWAITED_LOAD)
        if pod.serving:
            entry = mdl.warm.get(pod)
            copies = 1 if cold or entry is None else entry.copies
            mdl.warm[pod] = _Entry(self.now + self.dep.keep_alive, copies)
        if cold:
            if event.found is Found.BEGAN_LOAD:
                self._ease_loads(mdl, event.elapsed)
            return
        pod.strain += 0.2 * (event.elapsed / inf.group.slo_time - pod.strain)
        if sent.cold:
            self.load_window += 1.0 / self.load_window
        if pod.strain > STRAINED:
            self._narrow(pod, 0.8, inf.group)
        elif pod.strain < EASY and len(pod.out) - pod.cold + 2 > pod.window:
            pod.window += 0.5
        usual = self.usual[inf.group]
        ratio = event.elapsed / max(usual.mean, 1e-3)
        pod.pace += 0.2 * (min(ratio, 20.0) - pod.pace)
        usual.add(event.elapsed)
        if pod.suspect and ratio < SLOW_PACE:
            pod.suspect, pod.trial_gap, pod.pace = False, FIRST_TRIAL, 1.0

    def _settled(self, event: OrderSettled):
        pod, mdl = event.invoker.belief, event.model.belief
        if event.outcome is not Outcome.TIMED_OUT and event.outcome is not Outcome.UNCONNECTED:
            pod.heard = self.now
        load = mdl.loads.get(pod)
        if event.outcome is Outcome.RETURNED and pod.serving:
            mdl.warm[pod] = _Entry(self.now + self.dep.keep_alive, max(1, event.standing))
            if load and load.ordered and event.elapsed > AT_ONCE:
                self._ease_loads(mdl, event.elapsed)
        if load is None or not load.ordered:
            return
        if event.outcome is not Outcome.RETURNED:
            self._abandon(mdl, load)
            return
        self._over(mdl, load)
        for inf in list(load.waiting):
            self._unhold(inf, inf.belief)
            if self._may_forward(inf, pod):
                self._forward(inf, pod)
            else:
                self._place(inf)

    # Health

    def _healthy(self) -> list[_Pod]:
        """Suspects are left out, unless so many look ill that the cause must be a shared one."""
        well = [pod for pod in self.pods if not pod.suspect]
        return well if 2 * len(well) > len(self.pods) else self.pods

    def _doubt(self, pod: _Pod):
        if not pod.suspect:
            pod.suspect, pod.trial_at = True, self.now + pod.trial_gap

    def _pulse(self):
        self.actions.append(SetTimer(PULSE_EVERY, PULSE))
        paces = sorted(pod.pace for pod in self.pods)
        median = paces[len(paces) // 2] if paces else 1.0
        for pod in self.pods:
            pod.rate += PULSE_EVERY / 5000.0 * (pod.carried / PULSE_EVERY - pod.rate)
            pod.carried = 0.0
            if pod.pace > SLOW_PACE * median:
                self._doubt(pod)
            if pod.out:
                oldest = next(iter(pod.out))
                if self.now - max(pod.heard, oldest.belief.at) > self._patience(oldest):
                    # Takes work and answers nothing: hung, cut off, or dead and not yet listed so.
                    self._doubt(pod)
        if any(pod.suspect for pod in self.pods):
            self._rescue()
        for mdl in self._models():
            self._renew(mdl)
        self._unpark(len(self.parked))

    def _unpark(self, most: int):
        """Work that no invoker has room for waits here, where it can still go to any of them. Newest first:
        in a lasting overload the oldest first would make all of it late."""
        self.freed = False
        for inf in list(itertools.islice(reversed(self.parked), most)):
            if self._hopeless(inf):
                self._finish(inf)
            else:
                del self.parked[inf]
                inf.belief.parked = False
                self._place(inf)

    def _hopeless(self, inf: Inference) -> bool:
        """Held too long to be in time: shed at once, before it costs anybody work."""
        usual, slo = self.usual[inf.group], inf.group.slo_time
        return self.now - inf.belief.arrived > min(HELD * slo, slo - usual.mean - usual.spread)

    def _narrow(self, pod: _Pod, factor: float, group):
        """One narrowing for one wave of bad news: the answers still out were sent under the old window."""
        if self.now - pod.narrowed > self.usual[group].mean:
            pod.narrowed = self.now
            pod.window = max(1.0, factor * min(pod.window, len(pod.out) - pod.cold + 1.0))

    def _renew(self, mdl: _Mdl):
        """Against the load that a call at about the pace of the keep-alive meets each time: the last entry of a
        model asked for more than once is held by an order for some idle times more."""
        for pod in [pod for pod, entry in mdl.warm.items() if entry.until <= self.now]:
            del mdl.warm[pod]
        if not mdl.warm or mdl.asked < 2 or self.now - mdl.asked_at > RENEWALS * self.dep.keep_alive:
            return
        pod, entry = max(mdl.warm.items(), key=lambda item: item[1].until)
        if (entry.until - self.now <= 3 * PULSE_EVERY and self.now - mdl.renewed > self.dep.keep_alive / 2
                and not pod.suspect and self._may_order(pod)):
            mdl.renewed = self.now
            self._send_order(mdl, pod)

    def _patience(self, forward: Forward) -> float:
        inf = forward.inference
        wait = max(self.usual[inf.group].patience, inf.group.slo_time / 2)
        return wait + (2 * self._load_patience(inf.model.belief) if forward.belief.cold else 0.0)

    def _rescue(self):
        healthy = self._healthy()
        for pod in self.pods:
            if not pod.suspect or pod in healthy:
                continue
            for forward in list(pod.out):
                inf, sent = forward.inference, forward.belief
                if (inf.belief is None or sent.rescued or inf.group.effect is Effect.NON_RETRIABLE
                        or self.now - max(sent.at, pod.heard) < self._patience(forward)
                        or len(inf.forwards) >= self.dep.most_forwards):
                    continue
                sent.rescued = True
                if self.dep.may_duplicate:
                    self._place(inf)
                elif self.dep.may_call_off:
                    self.actions.append(CallOff(forward))

    # Time and chance

    def _due(self, at: float, what: object):
        self.counter += 1
        heapq.heappush(self.dues, (at, self.counter, what))

    def _timer(self, event: TimerDue):
        if event.token == PULSE:
            self._pulse()
            return
        self.armed = float("inf")
        while self.dues and self.dues[0][0] <= self.now:
            _, _, what = heapq.heappop(self.dues)
            if what is None:
                self.actions.append(Subscribe(True))
            elif isinstance(what, Inference):
                if what.belief:
                    self._finish(what)
            else:
                mdl, load = what
                if mdl.loads.get(load.pod) is load:
                    self._doubt(load.pod)
                    self._abandon(mdl, load)

    def _chance(self) -> int:
        self.draws += 1
        return zlib.crc32(b"%d:%d" % (self.seed, self.draws))
