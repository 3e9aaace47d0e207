"""The controller's decisions: placement, loads, the rules, outcomes and health.

Each fact's `belief` slot is this package's own. Times are float milliseconds.
"""

from __future__ import annotations

import heapq
import itertools
import math
from collections.abc import Callable, Collection
from functools import partial
from typing import Any

from sprucespool.interface import (
    Arrived,
    Beliefs,
    BeliefsAsked,
    CallOff,
    Departed,
    Deployment,
    Disconnected,
    DiscoveryHeard,
    Doubted,
    Effect,
    Ended,
    Fail,
    Forward,
    Found,
    Inference,
    Log,
    Model,
    ModelGroup,
    News,
    Order,
    OrderSettled,
    Outcome,
    Probe,
    Probed,
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
    ReadinessCheck,
    RequestBelief,
    RunningMean,
    Worker,
    open_to,
)
from sprucespool.policy.chance import Chance
from sprucespool.policy.order_ration import OrderRation
from sprucespool.policy.own_traffic import OwnTraffic
from sprucespool.policy.readiness import Readiness
from sprucespool.policy.retry_rules import RetryRules
from sprucespool.policy.shared_order import PRIME, WHOLE, Fleet, SharedOrder, salt_of
from sprucespool.policy.slow_start import SlowStart
from sprucespool.policy.tenant_shares import TenantShares
from sprucespool.policy.worker_index import WorkerIndex
from sprucespool.policy.workers_in_service import WorkersInService

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
        self.deployment = deployment
        self.chance, self.rules, self.traffic = Chance(seed), RetryRules(deployment), OwnTraffic(deployment)
        self.readiness, self.list_current = Readiness(deployment), True
        self.slow_start = SlowStart(deployment, self.chance, self.readiness)
        self.tenant_shares = TenantShares()
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
        self.workers = WorkersInService()
        self.near = self.in_flight = 0
        # Those of which something changes with time: the pulse looks at no others.
        self.active: dict[Worker, None] = {}
        # What is due, by time: a request's end, a load given up on, or the list of workers (None) to be asked for.
        self.dues: list[tuple[float, int, Inference | OwnLoad | ReadinessCheck | None]] = []
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
            DiscoveryHeard: self._discovery_heard,
            Disconnected: self._disconnected,
            Probed: self._probed,
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
            if self.deployment.roster_asked:
                self._due(self.now + self.deployment.ask_every / 4, None)
            return
        named = {entry.invoker: None for entry in news.entries}
        gone = []
        if news.kind is not News.UPDATE:
            gone = [worker for worker in self.workers if worker.entry.invoker not in named]
        gone += [
            entry.invoker.belief
            for entry in news.entries
            if entry.invoker.belief
            and (entry.status is not Status.IN_SERVICE or entry.started != entry.invoker.belief.started)
        ]
        changed = any(worker.serving for worker in gone)
        for worker in gone:
            self._count_in(worker, -worker.serving)
            self.workers.remove(worker)
            worker.serving = False
            self.ill.pop(worker, None)
            self._file(worker)
        for entry in news.entries:
            worker = entry.invoker.belief
            if entry.status is Status.IN_SERVICE:
                if worker is None or entry.started != worker.started:
                    # A process started afresh holds nothing that the one before it held.
                    worker = entry.invoker.belief = Worker(entry, self.now, self.deployment)
                if not worker.serving:
                    worker.serving = changed = True
                    self._count_in(worker, 1)
                    if worker.busy:
                        self.active[worker] = None
                    self.workers.add(worker)
                    self.fleet.came(worker)
                    self._file(worker)
                    if worker.suspect:
                        self.ill[worker] = None
        # Lists that change nothing (whole ones, sent often) leave the models' orders as they are.
        if changed:
            self.fleet.changed(len(self.workers))
        # When all are known: what one held must not be ordered on another that left with it.
        for worker in gone:
            self._strike(worker)
        for worker in gone:
            if worker.check is not None:
                self._check_over(worker.check)

    def _count_in(self, worker: Worker, times: int):
        """Add the invoker to what is known of all in service, or take it out (-1)."""
        self.near += times * (not worker.far)
        self.in_flight += times * len(worker.out)

    def _strike(self, worker: Worker):
        # In the order in which models became known, as ever: orders are few, the first ones get them.
        for mdl in sorted(worker.holds, key=lambda mdl: mdl.number):
            wanted = mdl.warm.pop(worker, (0.0, 0))[0] > self.now and mdl.asked > 1
            # A favourite lives for months: it must not keep all that ever held it.
            mdl.stood.pop(worker, None)
            if worker in mdl.loads:
                self._abandon(mdl.loads[worker])
            if not wanted or mdl.loads or len(self.loads) >= self._load_window():
                continue
            # Against a fleet that leaves one by one (deploys, deaths): loaded again before it is missed.
            bare = self._seek(mdl, partial(self._is_bare, mdl))
            if bare:
                self._order(mdl, bare)
        worker.holds.clear()

    def _is_bare(self, mdl: ModelBelief, worker: Worker) -> bool:
        return worker not in mdl.warm and not worker.suspect

    def _arrived(self, event: Arrived):
        request, now = event.inference, self.now
        mdl = self._known(request.model)
        self.traffic.arrived(mdl, now, request.zones is not None)
        mdl.lanes, mdl.load_time = request.lanes or mdl.lanes, request.load_time or mdl.load_time
        self.ration.request_sent(now - request.waited, now)
        until = now + max(0.0, request.ttl - 2 * self.deployment.tick)
        cheap = self.tenant_shares.is_beyond(request, now, self.sharers) or request.zones == ()
        request.belief = RequestBelief(now, until, cheap, self.chance.fraction())
        self._due(until, request)
        self._place(request)
        self.traffic.count(mdl, now)

    def _known(self, model: Model) -> ModelBelief:
        if model.belief is None:
            self.models += 1
            turn = salt_of(model.name) % ORDERS
            model.belief = ModelBelief(model, self.models, self.turns.setdefault(turn, SharedOrder(turn)))
            self.known[model.belief] = None
            self._look(model.belief, self.now + RENEWALS * self.deployment.keep_alive)
        return model.belief

    def _close(self, request: Inference, keep: Forward | None = None):
        """The inference is answered: whatever is still out for it is work for nobody."""
        mind, request.belief = request.belief, None
        if mind is None:
            return
        self._unhold(request, mind)
        self.parked.pop(request, None)
        if mind.check is not None:
            mind.check.waiting.pop(request, None)
        if self.deployment.may_call_off:
            self.actions += [CallOff(forward) for forward in mind.in_flight if forward is not keep]

    def _finish(self, request: Inference):
        """Given up: a shed tells the client that another try is harmless, so it goes wherever it is true."""
        wait = self.deployment.tells_retry_after * min(
            self.usual[request.group].mean, self.deployment.longest_retry_after
        )
        self.actions.append(Shed(request, wait) if self.rules.may_shed(request) else Fail(request))
        self._close(request)

    # Placement

    def _place(self, request: Inference):
        mind, mdl = request.belief, request.model.belief
        if mind.check is not None:
            return
        if not self._may_repeat(request):
            return None if mind.in_flight else self._finish(request)
        ill, thin = [worker for worker in self.workers if worker.suspect] if self.ill else [], self._thin()
        trial = next(
            (worker for worker in ill if self.now >= worker.trial_at and self._may_forward(request, worker)), None
        )
        if trial and not thin and not request.forwards and request.group.effect is not Effect.NON_RETRIABLE:
            trial.trial_gap, trial.trial_at = min(2 * trial.trial_gap, LAST_TRIAL), self.now + trial.trial_gap
            return self._forward(request, trial)
        part, now, anywhere = BEYOND if mind.cheap else 1.0, self.now, request.group.scope is Scope.ALL
        shared, places = 2 * len(ill) >= len(self.workers), self._places(mdl)
        spread = thin and places > 1

        def ready(worker: Worker) -> bool:
            return (
                (shared or not worker.suspect)
                and worker.work + mind.luck < worker.window * part
                and self._may_forward(request, worker)
            )

        # The queue first: the fleet is looked through only for what it can't take. Level by level: of the
        # hundreds of copies of a favourite only the least-loaded are weighed.
        busy, lanes, past = mdl.busy, mdl.lanes, mind.tried
        warm = [worker for worker, (until, _) in mdl.warm.items() if until > now and worker.level is not None]
        if past:
            warm = [worker for worker in warm if ready(worker)]
            warm = [worker for worker in warm if worker not in past] or warm
        free = [worker for worker in warm if busy.get(worker, 0) < lanes * mdl.warm[worker][1]]
        for level in () if spread else sorted({len(worker.out) for worker in free}):
            least = [worker for worker in free if len(worker.out) == level and ready(worker)]
            if least:
                return self._forward(request, self._least(least))
        warm = warm if past else [worker for worker in warm if ready(worker)]

        def has_room(worker: Worker) -> bool:
            # One that left may still have a load here until its turn to be struck comes.
            return (
                worker.serving
                and (shared or not worker.suspect)
                and worker.full_until <= now
                and worker not in past
                and (request.zones is None or open_to(request, worker))
                and worker.unfit_until <= now
                and not self.readiness.is_barred(worker, now)
                and worker.work + mind.luck < worker.window * part
                and (anywhere and not self._is_cold(worker) or self._may_forward(request, worker))
            )

        # Those tried before only where nothing else has room.
        while True:
            open_places = [worker for worker in self._turns(mdl).order[:places] if has_room(worker)] if spread else []
            if open_places:
                if self.deployment.handshake_price > 0:
                    # Against a connection to each place, priced over hundreds of controllers: no more of them
                    # than own calls renew, by a draw of the controller's own, the same for all models.
                    most = math.ceil(mdl.part / RENEWED_BY)
                    open_places = heapq.nlargest(most, open_places, key=lambda worker: self.salt * worker.salt % PRIME)
                return self._forward(request, self._least(open_places))
            if self._beyond(request, mdl, warm, has_room):
                return
            if not past:
                return self._park(request)
            past = ()

    def _beyond(
        self, request: Inference, mdl: ModelBelief, warm: list[Worker], has_room: Callable[[Worker], bool]
    ) -> bool:
        """No warm lane is free. Against a burst in which each inference would start a load of its own: one
        waits behind a warm copy, or a load already set going, while that is sooner than one of its own."""
        load_time = mdl.load_time if mdl.load_time and not self.loading.seen else self.loading.mean
        most = mdl.lanes * load_time / max(1.0, self.usual[request.group].mean)
        queue: dict[Worker, float] = {worker: mdl.busy.get(worker, 0) / mdl.warm[worker][1] for worker in warm}
        queue.update(
            {
                load.worker: len(load.waiting) + mdl.busy.get(load.worker, 0)
                for load in mdl.loads.values()
                if has_room(load.worker)
            }
        )
        best = None
        if queue:
            best = self.chance.first([(waits, len(worker.out)) for worker, waits in queue.items()], list(queue))
        bare = None
        if len(self.loads) < self._load_window() and not (best and queue[best] < most):
            bare = self._seek(mdl, lambda worker: worker not in queue and worker not in mdl.loads and has_room(worker))
        if best and (queue[best] < most or best in warm and not bare):
            load = mdl.loads.get(best)
            self._hold(request, load) if load and load.ordered else self._forward(request, best)
        elif bare:
            self._forward_bare(request, bare)
        belief = request.belief
        return bool(belief.in_flight or belief.load or belief.check)

    def _file(self, worker: Worker):
        self.index.file(worker, self._is_cold(worker))

    def _seek(self, mdl: ModelBelief, fits: Callable[[Worker], bool]) -> Worker | None:
        """The least-loaded that fits; among equals the own hall first, then the model's shared order."""
        if len(self.workers) <= WHOLE:
            self._file_known()
        places, turns = self._places(mdl), self._turns(mdl)
        # In whole inferences: with little traffic the few invokers heard would else be all that is used.
        mean = self.in_flight // max(1, self.index.step * len(self.workers))
        ties = self.index.least_loaded(turns, mean, places, fits)
        if ties:
            return ties[0] if len(ties) == 1 else self.chance.first([0] * len(ties), ties)
        return self._seek_beyond(fits) if len(turns.order) < len(self.workers) else None

    def _seek_beyond(self, fits: Callable[[Worker], bool]) -> Worker | None:
        """Of a large fleet, some by chance that the model's shared order does not hold."""
        for _ in range(OTHERS_TRIED):
            worker = self.workers[self.chance.next() % len(self.workers)]
            if worker.level is not None and fits(worker):
                return worker
        return None

    def _file_known(self):
        """Those that were new or cold, and are so no longer, stand in the index under their own load."""
        for worker in self.index.due(self.now):
            self._file(worker)

    def _least(self, workers: list[Worker]) -> Worker:
        return self.chance.first([(len(worker.out), worker.far) for worker in workers], workers)

    def _places(self, mdl: ModelBelief) -> int:
        return self.traffic.places(mdl, self.near)

    def _turns(self, mdl: ModelBelief) -> SharedOrder:
        """Ties by a draw that all controllers share: each sees too little of others' copies, and by chance
        each would load its own. Ordered anew when needed: most inferences find a warm lane and never ask."""
        mdl.turns.refresh(self.fleet, self.workers)
        return mdl.turns

    def _thin(self) -> bool:
        return self.traffic.is_thin(self.now, self.live, len(self.workers), self.near)

    def _park(self, request: Inference):
        if not request.belief.in_flight and (request.belief.cheap or self._hopeless(request)):
            self._finish(request)
        elif not request.belief.in_flight:
            self.parked[request] = None

    def _unpark(self, most: int):
        """What no invoker has room for waits here, newest first: the oldest first would make all late."""
        for request in list(itertools.islice(reversed(self.parked), most)):
            if self._hopeless(request):
                self._finish(request)
                continue
            del self.parked[request]
            if not self.index.levels and not self.ill and self._may_repeat(request):
                # No window is open anywhere: placing it would only bring it back here.
                self.parked[request] = None
            else:
                self._place(request)

    def _hopeless(self, request: Inference) -> bool:
        """Held too long to be in time: shed before it costs anybody work."""
        slo, usual = request.group.slo_time, self.usual[request.group]
        return self.now - request.belief.arrived > min(HELD * slo, slo - usual.mean - usual.spread)

    def _forward_bare(self, request: Inference, worker: Worker):
        """To a worker without the model: the attempt begins a load there."""
        if self._forward(request, worker) and self.deployment.loads_on_miss:
            self.loads[OwnLoad(request.model.belief, worker, False)] = None

    def _forward(self, request: Inference, worker: Worker) -> bool:
        """The one gate through which every forward passes. False where the request waits for the worker's check."""
        mind, mdl = request.belief, request.model.belief
        if not self._may_repeat(request) or not self._may_forward(request, worker):
            raise AssertionError("a forward that the rules forbid")
        if self.readiness.needs_check(worker, self.now):
            # Against a drain that discovery cannot tell while it is out of reach: the old list proves nothing.
            self.readiness.wait(request, worker.check or self._check(worker))
            return False
        write_by = self.readiness.write_by(worker, self.now)
        forward = Forward(request, worker.entry.invoker, mind.deadline - self.now, write_by=write_by)
        cold = worker not in mdl.warm or worker in mdl.told
        forward.belief = AttemptBelief(worker, self.now, cold)
        request.forwards.append(forward)
        mind.tried.append(worker)
        mind.in_flight[forward] = worker.out[forward] = self.active[worker] = None
        self.in_flight += worker.serving
        worker.cold += forward.belief.cold
        mdl.busy[worker] = mdl.busy.get(worker, 0) + 1
        if self._is_cold(worker):
            self.slow_start.attempt_sent(worker, self.usual[request.group].mean)
        self._file(worker)
        self.actions.append(forward)
        return True

    # Readiness, while the list of workers may be out of date

    def _discovery_heard(self, event: DiscoveryHeard):
        self.readiness.discovery_heard(event.age, self.now)
        self._note_list()

    def _note_list(self):
        current = self.readiness.is_list_current(self.now)
        if current != self.list_current:
            self.list_current = current
            text = "current again" if current else "not current: workers are checked before they are sent to"
            self.actions.append(Log(f"list of workers {text}"))

    def _disconnected(self, event: Disconnected):
        worker = event.invoker.belief
        if worker is None:
            return
        self.readiness.process_ended(worker, self.now)
        if worker.serving and worker.check is None and self.readiness.checks_now(self.now):
            # Most ends of connections are no ends of processes: one that answers at once is the same.
            self._check(worker)

    def _check(self, worker: Worker) -> ReadinessCheck:
        check = self.readiness.begin_check(worker)
        self.actions.append(Probe(worker.entry.invoker))
        self._due(self.now + self.readiness.patience, check)
        return check

    def _probed(self, event: Probed):
        worker = event.invoker.belief
        if worker is None:
            return
        if event.outcome is Outcome.RETURNED:
            self.readiness.check_passed(worker, self.now - event.elapsed, self.now)
        else:
            self._check_failed(worker, event.outcome)
        if worker.check is not None:
            self._check_over(worker.check)

    def _check_failed(self, worker: Worker, outcome: Outcome):
        """Against one that drains, or has gone, unheard of: what it held is taken for lost."""
        if worker.unready_until == 0.0:
            self.actions.append(Log(f"worker {worker.entry.invoker.name} failed its readiness check: {outcome.value}"))
        self.readiness.check_failed(worker, outcome, self.now)
        if outcome is Outcome.UNCONNECTED:
            self._doubt(worker)
        if outcome in (Outcome.UNCONNECTED, Outcome.ERROR):
            self._strike(worker)

    def _check_over(self, check: ReadinessCheck):
        """Requests that waited for it are sent to the worker now, or placed anew."""
        worker = check.worker
        for request in self.readiness.release(check):
            if not self._still_fits(request, worker):
                self._place(request)
            elif worker in request.model.belief.warm or worker in request.model.belief.loads:
                self._forward(request, worker)
            else:
                self._forward_bare(request, worker)

    def _still_fits(self, request: Inference, worker: Worker) -> bool:
        return (
            not self.readiness.needs_check(worker, self.now)
            and worker.work + request.belief.luck < worker.window
            and self._may_repeat(request)
            and self._may_forward(request, worker)
        )

    def _check_late(self, check: ReadinessCheck):
        if check.worker.check is check:
            self._check_failed(check.worker, Outcome.TIMED_OUT)
            self._check_over(check)

    # Loads

    def _order(self, mdl: ModelBelief, worker: Worker) -> OwnLoad | None:
        if worker not in mdl.loads and self._send_order(mdl, worker):
            load = OwnLoad(mdl, worker, True)
            self.loads[load] = None
            self._due(self.now + self._load_patience(mdl), load)
        return mdl.loads.get(worker)

    def _send_order(self, mdl: ModelBelief, worker: Worker) -> bool:
        """The one gate through which every order passes."""
        allowed = self._may_order(worker)
        if allowed:
            self.ration.order_sent(self.now)
            self.actions.append(Order(worker.entry.invoker, mdl.model, 1))
        return allowed

    def _over(self, load: OwnLoad) -> list[Inference]:
        self.loads.pop(load, None)
        load.mdl.loads.pop(load.worker, None)
        left = list(load.waiting)
        for request in left:
            self._unhold(request, request.belief)
        return left

    def _abandon(self, load: OwnLoad):
        """The load came to nothing, or not in time: its inferences go on by the fallback."""
        for request in self._over(load):
            request.belief.tried.append(load.worker)
            self._place(request)

    def _hold(self, request: Inference, load: OwnLoad):
        request.belief.load, load.waiting[request] = load, None

    def _unhold(self, request: Inference, mind: RequestBelief):
        if mind.load:
            del mind.load.waiting[request]
            mind.load = None

    def _missed(self, request: Inference, mdl: ModelBelief, worker: Worker):
        load = self._order(mdl, worker) if worker.serving else None
        if load:
            return self._hold(request, load)
        warm = [
            other
            for other in self._healthy()
            if other in mdl.warm and self._may_repeat(request) and self._may_forward(request, other)
        ]
        self._forward(request, self._least(warm)) if warm else self._finish(request)

    def _load_window(self) -> float:
        # Where traffic is thin most find others' copies: only more than chance brings is held back. A queue
        # eases it, the more the longer: else a fleet with idle cores sheds what it has no copies for.
        held, own = len(self.parked), len(self.workers) / self.live
        own = max(FEW_LOADS, own) if self._thin() else max(1.0, own) / max(LEAST_BARE, self.bare)
        return own + held * held / max(1.0, held + QUEUED * len(self.workers))

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
                self._look(mdl, max(self.now, min(times + [mdl.asked_at + RENEWALS * self.deployment.keep_alive])))

    def _renew(self, mdl: ModelBelief):
        """Against the load that a call at about the keep-alive's pace meets each time: a model's last entry
        is held by an order, if it was asked for more than once and calls through others can't keep it."""
        for worker in [worker for worker, (until, _) in mdl.warm.items() if until <= self.now]:
            del mdl.warm[worker]
        idle = self.now - mdl.asked_at > RENEWALS * self.deployment.keep_alive
        kept = mdl.part * (self.live - 1) > OTHERS_KEEP
        if mdl.warm and mdl.asked > 1 and not idle and not kept:
            worker, (until, _) = max(mdl.warm.items(), key=lambda item: item[1])
            if until - self.now <= 3 * PULSE_EVERY and not worker.suspect and worker not in mdl.told:
                self._send_order(mdl, worker)
        elif idle and not mdl.warm and not mdl.busy and not mdl.loads:
            mdl.model.belief = None
            del self.known[mdl]
            for worker in mdl.stood:
                worker.holds.pop(mdl, None)

    # Rules

    def _may_repeat(self, request: Inference) -> bool:
        return self.rules.may_repeat(request, self.now)

    def _may_forward(self, request: Inference, worker: Worker) -> bool:
        if (
            not worker.serving
            or worker.full_until > self.now
            or self.readiness.is_barred(worker, self.now)
            or request.zones is not None
            and not open_to(request, worker)
        ):
            return False
        if not self.rules.in_scope(request, worker):
            return False
        return not self._is_cold(worker) or self._cold_room(worker, self.usual[request.group].mean)

    def _may_order(self, worker: Worker) -> bool:
        return (
            self.deployment.may_order
            and worker.serving
            and self.readiness.may_order(worker, self.now)
            and self.ration.allows_order(self.now)
        )

    def _is_cold(self, worker: Worker) -> bool:
        return self.slow_start.is_cold(worker, self.now)

    def _cold_room(self, worker: Worker, weight: float) -> bool:
        return self.slow_start.has_room(worker, weight, self.now, self.sharers)

    # Outcomes

    def _ended(self, event: Ended):
        forward, outcome, now = event.forward, event.outcome, self.now
        request, sent = forward.inference, forward.belief
        worker, mdl, mind = sent.worker, request.model.belief, request.belief
        del worker.out[forward]
        self.in_flight -= worker.serving
        worker.cold -= sent.cold
        self._file(worker)
        mdl.busy[worker] -= 1
        if not mdl.busy[worker]:
            del mdl.busy[worker]
            if worker in mdl.loads and not mdl.loads[worker].ordered:
                self._over(mdl.loads[worker])
        if outcome is Outcome.UNCONNECTED:
            self.readiness.process_ended(worker, now)
        elif outcome is Outcome.FULL:
            self.readiness.turned_away(worker, now)
        elif outcome in (Outcome.RETURNED, Outcome.MISS):
            self.readiness.took_request(worker, sent.at)
        if outcome in (Outcome.RETURNED, Outcome.ERROR, Outcome.FULL, Outcome.MISS):
            worker.heard = now
        elif outcome is Outcome.TIMED_OUT and not sent.cold and self._had_time(sent, request.group):
            self._narrow(worker, request.group)
        if outcome is Outcome.RETURNED:
            self._learn(request, mdl, sent, event)
        elif outcome is Outcome.FULL and sent.cold:
            # No memory, or no place among its loads: neither keeps its warm copies from work.
            worker.unfit_until = now + self.usual[request.group].mean
        elif outcome is Outcome.FULL:
            worker.full_until = now + self.usual[request.group].mean
            self._narrow(worker, request.group)
        elif outcome is Outcome.UNCONNECTED or outcome is Outcome.RESET and now > worker.broken_at > worker.heard:
            self._doubt(worker)
            self._strike(worker)
        elif outcome is Outcome.RESET:
            # A lost answer, or a connection with all on it, condemns nobody; nothing heard since does.
            worker.broken_at = now
            mdl.warm.pop(worker, None)
        elif outcome in (Outcome.ERROR, Outcome.MISS):
            mdl.warm.pop(worker, None)
        elif outcome is Outcome.TIMED_OUT and not sent.cold:
            if self._had_time(sent, request.group):
                mdl.warm.pop(worker, None)
        elif sent.cold and worker.serving and not worker.suspect:
            # The load goes on without the inference that began it; another begun elsewhere would double it.
            self._order(mdl, worker)
        if mind is None:
            return
        del mind.in_flight[forward]
        if outcome not in NEVER_RAN:
            mind.ran.append((worker, sent.at))
        if event.final:
            self._close(request)
        elif now >= mind.deadline:
            self._finish(request)
        elif outcome is Outcome.MISS and not event.load_failed and not mind.load and not mind.check:
            self._missed(request, mdl, worker)
        elif not mind.load and request not in self.parked:
            self._place(request)

    def _had_time(self, sent, group: ModelGroup) -> bool:
        """Against clients with little time left: that an answer takes its usual time says nothing of the invoker."""
        return self.now - sent.at >= self.usual[group].mean

    def _learn(self, request: Inference, mdl: ModelBelief, sent, event: Ended):
        worker, usual = sent.worker, self.usual[request.group]
        if worker.new:
            worker.new = False
            self.index.became_known(worker)
        worker.carried += usual.mean
        loaded = event.found in (Found.BEGAN_LOAD, Found.AWAITED_LOAD)
        # How often a forward without an entry loads: a newcomer must not take others' copies for own loads.
        self.bare += 0.1 * sent.cold * ((event.found is not Found.WARM) - self.bare)
        if worker.serving:
            # A load here strikes what was believed; the finished run itself is the new entry.
            copies = mdl.warm[worker][1] if worker in mdl.warm and not loaded else 1
            self._enter(mdl, worker, copies)
        if loaded:
            if event.found is Found.BEGAN_LOAD:
                self.loading.add(event.elapsed)
            return
        worker.strain += (1.0 if self._thin() else 0.2) * (event.elapsed / request.group.slo_time - worker.strain)
        if worker.strain > STRAINED:
            self._narrow(worker, request.group)
        elif worker.strain < EASY and worker.work + 2 > worker.window:
            worker.window += 0.5 * min(1.0, worker.window)
        self._file(worker)
        ratio = event.elapsed / max(usual.mean, 1e-3)
        usual.add(event.elapsed)
        self.kinds.setdefault(worker.kind, RunningMean(ratio)).add(ratio)
        if ratio < SLOW_PACE:
            worker.suspect, worker.rumour, worker.trial_gap = False, False, FIRST_TRIAL
            self.ill.pop(worker, None)

    def _enter(self, mdl: ModelBelief, worker: Worker, copies: int):
        mdl.warm[worker] = self.now + self.deployment.keep_alive, copies
        mdl.told.pop(worker, None)
        worker.holds[mdl] = mdl.stood[worker] = None
        self._look(mdl, self.now + self.deployment.keep_alive - 3 * PULSE_EVERY)

    def _told(self, event: Told):
        """Another's word makes an entry with a shorter life. Against one that is old, wrong or a lie: it
        never outranks an own entry, and what is sent on it is watched as if it might load."""
        worker, mdl = event.invoker.belief, self._known(event.model)
        if worker is None or not worker.serving:
            return
        until, _ = mdl.warm.get(worker, (0.0, 0))
        if until > self.now and mdl.told.get(worker) != until:
            return
        mdl.told.pop(worker, None)
        mdl.warm.pop(worker, None)
        if event.life > 0:
            self._enter(mdl, worker, max(1, event.copies))
            mdl.told[worker] = until = self.now + min(event.life, self.deployment.keep_alive)
            mdl.warm[worker], mdl.lanes = (until, max(1, event.copies)), max(mdl.lanes, event.lanes)
            self._look(mdl, until - 3 * PULSE_EVERY)

    def _sharing(self, event: Sharing):
        self.live, self.sharers = max(1, event.live), max(1.0, event.sharers)

    def _give(self, event: BeliefsAsked):
        born = self.now + self.deployment.keep_alive
        standing = [
            Standing(worker.entry.invoker, mdl.model, copies, mdl.lanes, born - until, worker not in mdl.told)
            for mdl in self.known
            for worker, (until, copies) in mdl.warm.items()
            if until > self.now
        ]
        self.actions.append(Beliefs(event.token, standing))

    def _settled(self, event: OrderSettled):
        worker, mdl = event.invoker.belief, event.model.belief
        if mdl is None or not worker.serving:
            return
        load = mdl.loads.get(worker)
        ordered = load is not None and load.ordered
        if event.outcome is not Outcome.RETURNED:
            return self._abandon(load) if ordered else None
        # The invoker's own word that a copy stands is as good as a returned answer.
        self._enter(mdl, worker, max(1, event.standing))
        worker.heard = self.now
        if ordered:
            self.loading.add(event.elapsed)
            for request in self._over(load):
                allowed = self._may_repeat(request) and self._may_forward(request, worker)
                self._forward(request, worker) if allowed else self._place(request)

    def _rumoured(self, event: Doubted):
        """Others' word makes a suspect like any other: tried now and then, in again where most are out,
        cleared by an own answer. Taken back, it leaves own evidence alone."""
        worker = event.invoker.belief
        if event.ill and worker and not worker.suspect:
            self._doubt(worker)
            worker.rumour = True
        elif worker and worker.rumour and not event.ill:
            worker.suspect = worker.rumour = False
            self.ill.pop(worker, None)

    def _healthy(self) -> Collection[Worker]:
        """Suspects are left out, unless so many look ill that the cause must be a shared one."""
        well = [worker for worker in self.workers if not worker.suspect] if self.ill else self.workers
        return well if 2 * len(well) > len(self.workers) else self.workers

    def _doubt(self, worker: Worker):
        worker.rumour = False
        self.active[worker] = None
        if not worker.suspect:
            worker.suspect, worker.trial_at = True, self.now + worker.trial_gap
            if worker.serving:
                self.ill[worker] = None

    def _narrow(self, worker: Worker, group: ModelGroup):
        """One narrowing for one wave of bad news: what is out was sent under the old window. Below one it
        thins by chance: many controllers with one inference each can only send less so."""
        if self.now - worker.narrowed > self.usual[group].mean:
            worker.narrowed, worker.window = self.now, max(LEAST_WINDOW, 0.7 * min(worker.window, worker.work + 1.0))
            self._file(worker)

    def _overdue(self, forward: Forward) -> bool:
        request, sent = forward.inference, forward.belief
        wait = max(self.usual[request.group].patience(), request.group.slo_time / 2)
        wait += 2 * self._load_patience(request.model.belief) if sent.cold else 0.0
        return self.now - max(sent.worker.heard, sent.at) > wait

    def _pulse(self):
        self.actions.append(SetTimer(PULSE_EVERY, PULSE))
        self._note_list()
        thin = self._thin()
        if len(self.workers) > WHOLE:
            self._file_known()
        for worker in [worker for worker in self.active if worker.serving]:
            if thin and worker.suspect and self.now >= worker.trial_at:
                # Its few places in the draw are trial enough: forced ones would take most of thin traffic.
                worker.suspect, worker.trial_gap = False, min(2 * worker.trial_gap, LAST_TRIAL)
                self.ill.pop(worker, None)
            self.slow_start.average(worker, PULSE_EVERY)
            if worker.out and any(self._overdue(forward) for forward in worker.out):
                # Takes work and answers nothing: hung, cut off, dead but not listed so.
                self._doubt(worker)
        self.active = {worker: None for worker in self.active if worker.busy}
        cut_off = self.ill and self._healthy() is not self.workers
        lost = [forward for worker in self.workers if worker.suspect for forward in worker.out] if cut_off else ()
        for forward in lost:
            if forward.inference.belief and not forward.belief.rescued and self._overdue(forward):
                self._rescue(forward.inference, forward)
        self.pulses += 1
        self.slow_start.time_passed(PULSE_EVERY)
        if len(self.workers) <= WHOLE or self.pulses % WEIGHED_EVERY == 0:
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
        even = self.traffic.recent / self.traffic.memory * usual / max(1, len(self.workers))
        self.slow_start.weigh(self.workers, self.now, even)

    def _rescue(self, request: Inference, forward: Forward):
        forward.belief.rescued = True
        if self._may_repeat(request):
            self._place(request)
        elif self.deployment.may_call_off and request.group.effect is not Effect.NON_RETRIABLE:
            self.actions.append(CallOff(forward))

    def _due(self, at: float, what: Inference | OwnLoad | ReadinessCheck | None):
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
            elif isinstance(what, ReadinessCheck):
                self._check_late(what)
            elif what in self.loads:
                self._doubt(what.worker)
                self._abandon(what)
