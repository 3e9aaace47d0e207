"""The controller's decisions: placement, loads, the rules, outcomes and health.

The `belief` attribute of the objects in `sprucespool.interface` belongs to this package. Times are float milliseconds.
"""

from __future__ import annotations

import heapq
import itertools
import math
from collections.abc import Callable, Collection
from functools import partial
from typing import Any

from sprucespool.interface import (
    NEVER_RAN,
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
    INITIAL_TRIAL_DELAY_MS,
    AttemptBelief,
    ModelBelief,
    OwnLoad,
    ReadinessCheck,
    RequestBelief,
    RunningMean,
    Worker,
    is_zone_allowed,
)
from sprucespool.policy.chance import Chance
from sprucespool.policy.known_models import KnownModels
from sprucespool.policy.order_ration import OrderRation
from sprucespool.policy.own_traffic import OwnTraffic
from sprucespool.policy.readiness import Readiness
from sprucespool.policy.retry_rules import RetryRules
from sprucespool.policy.shared_order import PRIME, Fleet, SharedOrder, SharedOrders, salt_of
from sprucespool.policy.slow_start import SlowStart
from sprucespool.policy.tenant_shares import TenantShares
from sprucespool.policy.worker_index import WorkerIndex
from sprucespool.policy.worker_subset import WorkerSubset
from sprucespool.policy.workers_in_service import WorkersInService

UPDATE_TIMER, DUE_TIMER, UPDATE_INTERVAL_MS = 1, 2, 200.0
# SLOW_ANSWER_RATIO: an answer this many times slower than usual does not clear a suspect.
# MAX_TRIAL_INTERVAL_MS: trials of a suspect become less frequent up to this interval, so a long silence costs few.
SLOW_ANSWER_RATIO, MAX_TRIAL_INTERVAL_MS = 2.5, 8000.0
MIN_WINDOW, NARROW_LATENCY_RATIO, WIDEN_LATENCY_RATIO, MAX_WAIT_SLO_SHARE, LOW_PRIORITY_WINDOW_SHARE = (
    0.1,  # the window on own attempts is never narrowed below this
    0.6,  # answers slower than this share of the SLO time narrow the window
    0.4,  # answers faster than this share of the SLO time widen it
    0.3,  # a request that has waited here for more than this share of the SLO time is shed
    0.5,  # share of the window that is open to requests beyond a tenant's share
)
MAX_IDLE_KEEP_ALIVES, OTHERS_KEEP_ABOVE, MIN_LOADS, PARKED_PER_WORKER, LOAD_STEP, MIN_LOAD_SHARE = (
    3.0,  # a model's last warm copy is renewed until it has been idle for this number of keep-alives
    2.0,  # above this number of requests by other controllers the copy stays warm without renewal
    3.0,  # at least this many loads are allowed at once with thin traffic
    2.0,  # parked requests per invoker at which half of them may load
    16,  # width of a load level with several controllers, within which they choose the same workers
    0.1,  # lower bound of the share of forwards without an entry that is assumed to load
)
# Own requests within a keep-alive that keep one of a popular model's places warm.
REQUESTS_PER_PLACE = 2.0
# Scheduled checks of models, beside two for each known model, from which on those of forgotten models are removed.
MIN_CHECKS_SWEPT = 1024
# Number of due items at which those of what has ended are removed.
DUE_SWEEP_COUNT = 2048
# Number of shared orders of the invokers, for all models together.
SHARED_ORDERS = 1024
# Orders that forget workers that have left in one periodic update.
ORDERS_RELEASED_PER_UPDATE = 4
# Above this number of workers the index is updated periodically instead of before each search.
LARGE_FLEET = 512
# In a large fleet, if no worker of a shared order fits: number of random other workers to try.
RANDOM_PICKS = 16
# In a large fleet the speeds of the kinds are updated only once in this number of periodic updates.
SPEED_UPDATE_EVERY = 5


class Controller:
    """Makes the decisions of one controller process: `handle` takes a batch of events and returns actions."""

    def __init__(self, deployment: Deployment, seed: int):
        self.deployment = deployment
        self.chance, self.rules, self.traffic = Chance(seed), RetryRules(deployment), OwnTraffic(deployment)
        self.readiness, self.was_list_current = Readiness(deployment), True
        self.slow_start = SlowStart(deployment, self.chance, self.readiness)
        self.tenant_shares = TenantShares()
        self.index = WorkerIndex(LOAD_STEP if deployment.controllers > 1 else 1)
        self.salt = salt_of(f"controller {deployment.own_number}")
        # Number of live controllers, and the divisor for this controller's share of what all of them share.
        self.live_controllers, self.sharers = deployment.controllers, float(deployment.controllers)
        self.now, self.next_timer_at = 0.0, math.inf
        self.actions: list[Any] = [SetTimer(UPDATE_INTERVAL_MS, UPDATE_TIMER)]
        if deployment.roster_asked:
            self.actions.append(Subscribe(True))
        self.update_count = 0
        # Workers in service, the number of them that are near, and own attempts in flight to all of them.
        self.workers = WorkersInService()
        self.near_workers = self.total_in_flight = 0
        # Workers whose state changes with time; the periodic update handles only these.
        self.active: dict[Worker, None] = {}
        # Heap of due items by time: a request's deadline, the timeout of a load or of a readiness check, or a new
        # subscription to the list of workers (None).
        self.due_items: list[tuple[float, int, Inference | OwnLoad | ReadinessCheck | None]] = []
        self.due_sweep_count = DUE_SWEEP_COUNT
        self.fleet: Fleet[Worker] = Fleet()
        # The workers that are used first; all of them unless there are too many.
        self.subset = WorkerSubset(deployment)
        # Workers in service that may be suspects; heap of models by the time of their next check.
        self.suspects: dict[Worker, None] = {}
        self.model_checks: list[tuple[float, int, ModelBelief]] = []
        self.shared_orders: SharedOrders[Worker] = SharedOrders(deployment.max_order_places)
        # Models with a belief, and the number ever created; requests that no worker has room for.
        self.known_models = KnownModels(deployment.max_models)
        self.models_created = 0
        self.parked: dict[Inference, None] = {}
        self.loads: dict[OwnLoad, None] = {}
        self.ration = OrderRation(deployment.order_floor, deployment.order_share, deployment.order_window)
        self.usual_time = {group: RunningMean(group.slo_time / 4) for group in deployment.groups}
        self.usual_load_time = RunningMean(max(group.slo_time for group in deployment.groups))
        # Ratio of an answer's time to the usual time, by kind of worker.
        self.time_ratios: dict[str, RunningMean] = {}
        # Share of forwards without an own entry that caused a load.
        self.load_share = 1.0
        self.handlers: dict[type, Callable[[Any], None]] = {
            Arrived: self._arrived,
            Ended: self._ended,
            OrderSettled: self._order_settled,
            TimerDue: self._timer_due,
            RosterNews: self._roster,
            DiscoveryHeard: self._discovery_heard,
            Disconnected: self._disconnected,
            Probed: self._probed,
            Told: self._copies_reported,
            BeliefsAsked: self._answer_beliefs,
            Sharing: self._sharing_changed,
            Doubted: self._suspicion_reported,
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
        if self.due_items and self.due_items[0][0] < self.next_timer_at:
            self.next_timer_at = self.due_items[0][0]
            self.actions.append(SetTimer(max(0.0, self.next_timer_at - now), DUE_TIMER))
        actions, self.actions = self.actions, []
        return actions

    def _roster(self, news: RosterNews):
        if news.kind is News.UNAVAILABLE:
            if self.deployment.roster_asked:
                self._schedule(self.now + self.deployment.ask_every / 4, None)
            return
        listed = {entry.invoker: None for entry in news.entries}
        removed = []
        if news.kind is not News.UPDATE:
            removed = [worker for worker in self.workers if worker.entry.invoker not in listed]
        removed += [
            entry.invoker.belief
            for entry in news.entries
            if entry.invoker.belief
            and (entry.status is not Status.IN_SERVICE or entry.started != entry.invoker.belief.started)
        ]
        changed = any(worker.serving for worker in removed)
        for worker in removed:
            self._count_worker(worker, -worker.serving)
            self.workers.remove(worker)
            self.subset.remove(worker)
            self.fleet.worker_left(worker)
            worker.serving = False
            self.suspects.pop(worker, None)
            self._update_index(worker)
        for entry in news.entries:
            worker = entry.invoker.belief
            if entry.status is Status.IN_SERVICE:
                if worker is None or entry.started != worker.started:
                    # A restarted process holds none of the copies of its predecessor.
                    worker = entry.invoker.belief = Worker(entry, self.now, self.deployment)
                if not worker.serving:
                    worker.serving = changed = True
                    self._count_worker(worker, 1)
                    if worker.needs_update:
                        self.active[worker] = None
                    self.workers.add(worker)
                    self._add_to_subset(worker)
                    self._update_index(worker)
                    if worker.suspect:
                        self.suspects[worker] = None
        # Full lists are sent often and usually change nothing; the shared orders are then left alone.
        if changed:
            if self.subset.resize(self.workers):
                self.fleet.replaced()
            self.fleet.workers_changed(len(self.subset.workers))
        # Done after the whole list is applied: a copy must not be ordered on another worker that left with it.
        for worker in removed:
            self._forget_copies(worker)
        for worker in removed:
            if worker.check is not None:
                self._end_check(worker.check)

    def _add_to_subset(self, worker: Worker):
        if worker in self.subset:
            self.subset.add(worker)
            self.fleet.worker_joined(worker)

    def _count_worker(self, worker: Worker, sign: int):
        """Add the worker to the totals over all in service (1), or subtract it (-1)."""
        self.near_workers += sign * (not worker.far)
        self.total_in_flight += sign * len(worker.in_flight)

    def _forget_copies(self, worker: Worker):
        """Drop all entries of a lost worker, and order wanted models elsewhere if they have no other load."""
        # In the order in which models became known: orders are limited, and the first models get them.
        for model_belief in sorted(worker.models_held, key=lambda model_belief: model_belief.number):
            wanted = model_belief.warm.pop(worker, (0.0, 0))[0] > self.now and model_belief.request_count > 1
            # The belief about a popular model lives for months and must not keep every past holder.
            model_belief.holders.pop(worker, None)
            if worker in model_belief.loads:
                self._abandon_load(model_belief.loads[worker])
            if not wanted or model_belief.loads or len(self.loads) >= self._max_loads():
                continue
            # When workers leave one by one (deploys, crashes), the model is loaded again before a request misses it.
            target = self._find_worker(model_belief, partial(self._lacks_copy, model_belief))
            if target:
                self._order_load(model_belief, target)
        worker.models_held.clear()

    def _lacks_copy(self, model_belief: ModelBelief, worker: Worker) -> bool:
        return worker not in model_belief.warm and not worker.suspect

    def _arrived(self, event: Arrived):
        request, now = event.inference, self.now
        model_belief = self._model_belief(request.model)
        model_belief.open_requests += 1
        self.known_models.requested(model_belief)
        self.traffic.arrived(model_belief, now, request.zones is not None)
        model_belief.lanes, model_belief.load_time = (
            request.lanes or model_belief.lanes,
            request.load_time or model_belief.load_time,
        )
        self.ration.request_sent(now - request.waited, now)
        deadline = now + max(0.0, request.ttl - 2 * self.deployment.tick)
        low_priority = self.tenant_shares.is_over_share(request, now, self.sharers) or request.zones == ()
        request.belief = RequestBelief(now, deadline, low_priority, self.chance.fraction())
        self._schedule(deadline, request)
        self._place(request)
        self.traffic.count(model_belief, now)

    def _model_belief(self, model: Model) -> ModelBelief:
        if model.belief is None:
            self.models_created += 1
            order_number = salt_of(model.name) % SHARED_ORDERS
            model.belief = ModelBelief(model, self.models_created, order_number)
            for unused in self.known_models.displaced():
                self._forget_model(unused)
            self.known_models.add(model.belief)
            self._schedule_check(model.belief, self.now + MAX_IDLE_KEEP_ALIVES * self.deployment.keep_alive)
        return model.belief

    def _close(self, request: Inference, keep: Forward | None = None):
        """The request is answered: stop its waits, and call off its attempts still in flight except `keep`."""
        belief, request.belief = request.belief, None
        if belief is None:
            return
        request.model.belief.open_requests -= 1
        self._stop_waiting(request, belief)
        self.parked.pop(request, None)
        if belief.check is not None:
            belief.check.waiting.pop(request, None)
        if self.deployment.may_call_off:
            self.actions += [CallOff(forward) for forward in belief.in_flight if forward is not keep]

    def _give_up(self, request: Inference):
        """Answer without a result.

        A shed tells the client that a retry is safe, so it is sent wherever that is true; else the request fails.
        """
        wait = self.deployment.tells_retry_after * min(
            self.usual_time[request.group].mean, self.deployment.longest_retry_after
        )
        self.actions.append(Shed(request, wait) if self.rules.may_shed(request) else Fail(request))
        self._close(request)

    # Placement

    def _place(self, request: Inference):
        belief, model_belief = request.belief, request.model.belief
        if belief.check is not None:
            return
        if not self._may_repeat(request):
            return None if belief.in_flight else self._give_up(request)
        suspects, traffic_is_thin = (
            [worker for worker in self.workers if worker.suspect] if self.suspects else [],
            self._is_traffic_thin(),
        )
        trial_worker = next(
            (worker for worker in suspects if self.now >= worker.trial_at and self._may_forward(request, worker)), None
        )
        if (
            trial_worker
            and not traffic_is_thin
            and not self.readiness.is_proof_preferred(self.now)
            and not request.forwards
            and request.group.effect is not Effect.NON_RETRIABLE
        ):
            trial_worker.trial_interval, trial_worker.trial_at = (
                min(2 * trial_worker.trial_interval, MAX_TRIAL_INTERVAL_MS),
                self.now + trial_worker.trial_interval,
            )
            return self._forward(request, trial_worker)
        window_share, now, anywhere = (
            LOW_PRIORITY_WINDOW_SHARE if belief.low_priority else 1.0,
            self.now,
            request.group.scope is Scope.ALL,
        )
        suspects_allowed, places = 2 * len(suspects) >= len(self.workers), self._place_count(model_belief)
        spread = traffic_is_thin and places > 1
        preferred = self._workers_with_proof(request) if self.readiness.is_proof_preferred(now) else None

        def ready(worker: Worker) -> bool:
            return (
                (suspects_allowed or not worker.suspect)
                and (preferred is None or worker in preferred)
                and worker.running_attempts + belief.jitter < worker.window * window_share
                and self._may_forward(request, worker)
            )

        # Warm copies first: the whole fleet is searched only if they have no free lane. They are tried by increasing
        # load, so that of the hundreds of copies of a popular model only the least loaded are evaluated.
        lanes_in_use, lanes, tried = model_belief.lanes_in_use, model_belief.lanes, belief.tried
        warm = [worker for worker, (until, _) in model_belief.warm.items() if until > now and worker.level is not None]
        if tried:
            warm = [worker for worker in warm if ready(worker)]
            warm = [worker for worker in warm if worker not in tried] or warm
        free = [worker for worker in warm if lanes_in_use.get(worker, 0) < lanes * model_belief.warm[worker][1]]
        for level in () if spread else sorted({len(worker.in_flight) for worker in free}):
            candidates = [worker for worker in free if len(worker.in_flight) == level and ready(worker)]
            if candidates:
                return self._forward(request, self._least_loaded(candidates))
        warm = warm if tried else [worker for worker in warm if ready(worker)]

        def has_room(worker: Worker) -> bool:
            # While a list is applied, a worker that left may still have a load until its copies are forgotten.
            return (
                worker.serving
                and (suspects_allowed or not worker.suspect)
                and (preferred is None or worker in preferred)
                and worker.full_until <= now
                and worker not in tried
                and (request.zones is None or is_zone_allowed(request, worker))
                and worker.no_loads_until <= now
                and not self.readiness.is_excluded(worker, now)
                and worker.running_attempts + belief.jitter < worker.window * window_share
                and (anywhere and not self._is_cold(worker) or self._may_forward(request, worker))
            )

        # Workers that were already tried are used only if no other has room.
        while True:
            open_places = (
                [worker for worker in self._shared_order(model_belief).order[:places] if has_room(worker)]
                if spread
                else []
            )
            if open_places:
                if self.deployment.handshake_price > 0:
                    # Connections have a price, and hundreds of controllers would each open one to every place. So
                    # this controller uses only as many places as its own requests keep warm, chosen by a hash that
                    # is its own and the same for all models.
                    limit = math.ceil(model_belief.recent_requests / REQUESTS_PER_PLACE)
                    open_places = heapq.nlargest(limit, open_places, key=lambda worker: self.salt * worker.salt % PRIME)
                return self._forward(request, self._least_loaded(open_places))
            if self._queue_or_load(request, model_belief, warm, has_room):
                return
            if not tried:
                return self._park(request)
            tried = ()

    def _workers_with_proof(self, request: Inference) -> Collection[Worker] | None:
        """The workers with room that recently accepted a request, or the one that did so last; None if there is none.

        Used where the list is old and no check is allowed: the fewer workers are sent to, the fresher are their proofs.
        """
        jitter = request.belief.jitter
        fitting = [
            worker
            for worker in self.workers
            if worker.running_attempts + jitter < worker.window
            and not worker.suspect
            and worker not in request.belief.tried
            and self._may_forward(request, worker)
        ]
        proven = {worker: None for worker in fitting if self.readiness.is_proven(worker, self.now)}
        return proven or {max(fitting, key=lambda worker: worker.ready_at): None} if fitting else None

    def _queue_or_load(
        self, request: Inference, model_belief: ModelBelief, warm: list[Worker], has_room: Callable[[Worker], bool]
    ) -> bool:
        """Place a request for which no warm lane is free; returns whether it was placed.

        In a burst each request would otherwise start a load of its own. So it queues at a warm copy, or for a load
        already started, as long as that is expected to be faster than a load of its own.
        """
        load_time = (
            model_belief.load_time
            if model_belief.load_time and not self.usual_load_time.samples
            else self.usual_load_time.mean
        )
        limit = model_belief.lanes * load_time / max(1.0, self.usual_time[request.group].mean)
        queue: dict[Worker, float] = {
            worker: model_belief.lanes_in_use.get(worker, 0) / model_belief.warm[worker][1] for worker in warm
        }
        queue.update(
            {
                load.worker: len(load.waiting) + model_belief.lanes_in_use.get(load.worker, 0)
                for load in model_belief.loads.values()
                if has_room(load.worker)
            }
        )
        best = None
        if queue:
            best = self.chance.pick_min(
                [(queued, len(worker.in_flight)) for worker, queued in queue.items()], list(queue)
            )
        target = None
        if len(self.loads) < self._max_loads() and not (best and queue[best] < limit):
            target = self._find_worker(
                model_belief,
                lambda worker: worker not in queue and worker not in model_belief.loads and has_room(worker),
            )
        if best and (queue[best] < limit or best in warm and not target):
            load = model_belief.loads.get(best)
            self._wait_for_load(request, load) if load and load.ordered else self._forward(request, best)
        elif target:
            self._forward_to_load(request, target)
        belief = request.belief
        return bool(belief.in_flight or belief.load or belief.check)

    def _update_index(self, worker: Worker):
        self.index.update(worker, self._is_cold(worker))

    def _find_worker(self, model_belief: ModelBelief, fits: Callable[[Worker], bool]) -> Worker | None:
        """The least loaded worker that fits; among equals own zone first, then by the model's shared order."""
        if len(self.workers) <= LARGE_FLEET:
            self._update_index_of_due()
        places, shared_order = self._place_count(model_belief), self._shared_order(model_belief)
        # In whole requests: otherwise, with little traffic, only the few workers that have answered would be used.
        mean = self.total_in_flight // max(1, self.index.step * len(self.workers))
        ties = self.index.least_loaded(shared_order, mean, places, fits)
        if not ties:
            return self._find_outside_order(fits) if len(shared_order.order) < len(self.workers) else None
        found = ties[0] if len(ties) == 1 else self.chance.pick_min([0] * len(ties), ties)
        if self.subset.is_busy(self.total_in_flight):
            other = self._find_outside_order(fits)
            return other if other and len(other.in_flight) < len(found.in_flight) else found
        return found

    def _find_outside_order(self, fits: Callable[[Worker], bool]) -> Worker | None:
        """Try random workers of a large fleet, which the model's shared order may not contain."""
        for _ in range(RANDOM_PICKS):
            worker = self.workers[self.chance.next() % len(self.workers)]
            if worker.level is not None and fits(worker):
                return worker
        return None

    def _update_index_of_due(self):
        """Workers that are no longer new or cold move to the level of their own load in the index."""
        for worker in self.index.due(self.now):
            self._update_index(worker)

    def _least_loaded(self, workers: list[Worker]) -> Worker:
        return self.chance.pick_min([(len(worker.in_flight), worker.far) for worker in workers], workers)

    def _place_count(self, model_belief: ModelBelief) -> int:
        return self.traffic.places(model_belief, self.near_workers)

    def _shared_order(self, model_belief: ModelBelief) -> SharedOrder:
        """The model's shared order, which breaks ties alike in all controllers.

        Each controller sees too few of the others' copies; with random tie-breaks each would load its own. The order
        is updated on demand, since most requests find a warm lane and do not need it.
        """
        return self.shared_orders.get(model_belief.order_number, self.fleet, self.subset.workers)

    def _is_traffic_thin(self) -> bool:
        return self.traffic.is_thin(self.now, self.live_controllers, len(self.workers), self.near_workers)

    def _park(self, request: Inference):
        if not request.belief.in_flight and (request.belief.low_priority or self._waited_too_long(request)):
            self._give_up(request)
        elif not request.belief.in_flight:
            self.parked[request] = None

    def _unpark(self, limit: int):
        """Place parked requests again, newest first: serving the oldest first would make all of them late."""
        for request in list(itertools.islice(reversed(self.parked), limit)):
            if self._waited_too_long(request):
                self._give_up(request)
                continue
            del self.parked[request]
            if not self.index.levels and not self.suspects and self._may_repeat(request):
                # All windows are full: placing the request would only park it again.
                self.parked[request] = None
            else:
                self._place(request)

    def _waited_too_long(self, request: Inference) -> bool:
        """Whether the request can no longer be answered in time; it is then shed before it costs any work."""
        slo, usual = request.group.slo_time, self.usual_time[request.group]
        return self.now - request.belief.arrived > min(MAX_WAIT_SLO_SHARE * slo, slo - usual.mean - usual.deviation)

    def _forward_to_load(self, request: Inference, worker: Worker):
        """Forward to a worker without the model: the attempt starts a load there."""
        if self._forward(request, worker) and self.deployment.loads_on_miss:
            self.loads[OwnLoad(request.model.belief, worker, False)] = None

    def _forward(self, request: Inference, worker: Worker) -> bool:
        """Send an attempt; all attempts go through here. False if the request waits for the worker's check instead."""
        belief, model_belief = request.belief, request.model.belief
        if not self._may_repeat(request) or not self._may_forward(request, worker):
            raise AssertionError("a forward that the rules forbid")
        if self.readiness.needs_check(worker, self.now):
            # The worker may be draining: while discovery is unreachable, the old list does not show it.
            self.readiness.add_waiting(request, worker.check or self._begin_check(worker, request.model))
            return False
        write_by = self.readiness.write_by(worker, self.now)
        forward = Forward(request, worker.entry.invoker, belief.deadline - self.now, write_by=write_by)
        cold = worker not in model_belief.warm or worker in model_belief.reported
        forward.belief = AttemptBelief(worker, self.now, cold)
        request.forwards.append(forward)
        belief.tried.append(worker)
        belief.in_flight[forward] = worker.in_flight[forward] = self.active[worker] = None
        self.total_in_flight += worker.serving
        worker.cold_in_flight += forward.belief.cold
        model_belief.lanes_in_use[worker] = model_belief.lanes_in_use.get(worker, 0) + 1
        if self._is_cold(worker):
            self.slow_start.attempt_sent(worker, self.usual_time[request.group].mean)
        self._update_index(worker)
        self.actions.append(forward)
        return True

    # Readiness, while the list of workers may be out of date

    def _discovery_heard(self, event: DiscoveryHeard):
        self.readiness.discovery_received(event.age, self.now)
        self._log_list_state()

    def _log_list_state(self):
        current = self.readiness.is_list_current(self.now)
        if current != self.was_list_current:
            self.was_list_current = current
            text = "current again" if current else "not current: workers are checked before they are sent to"
            self.actions.append(Log(f"list of workers {text}"))

    def _disconnected(self, event: Disconnected):
        worker = event.invoker.belief
        if worker is None:
            return
        self.readiness.process_may_have_ended(worker, self.now)
        held = next(iter(worker.models_held), None)
        can_check = self.readiness.may_probe or held is not None
        if worker.serving and worker.check is None and self.readiness.is_checking(self.now) and can_check:
            # Most closed connections do not mean that the process ended; if it answers at once it is the same one.
            self._begin_check(worker, held and held.model)

    def _begin_check(self, worker: Worker, model: Model | None) -> ReadinessCheck:
        """Check the worker; where health checks are not allowed, by asking for copies of the model."""
        check = self.readiness.begin_check(worker)
        self.actions.append(Probe(worker.entry.invoker, None if self.readiness.may_probe else model))
        self._schedule(self.now + self.readiness.check_timeout, check)
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
            self._end_check(worker.check)

    def _check_failed(self, worker: Worker, outcome: Outcome):
        """The worker may be draining or gone; if its process may have ended, its copies count as lost."""
        if worker.unready_until == 0.0:
            self.actions.append(Log(f"worker {worker.entry.invoker.name} failed its readiness check: {outcome.value}"))
        self.readiness.check_failed(worker, outcome, self.now)
        if outcome is Outcome.UNCONNECTED:
            self._suspect(worker)
        if outcome in (Outcome.UNCONNECTED, Outcome.ERROR):
            self._forget_copies(worker)

    def _end_check(self, check: ReadinessCheck):
        """Send the requests that waited for the check to the worker, or place them again."""
        worker = check.worker
        for request in self.readiness.release(check):
            if not self._may_still_forward(request, worker):
                self._place(request)
            elif worker in request.model.belief.warm or worker in request.model.belief.loads:
                self._forward(request, worker)
            else:
                self._forward_to_load(request, worker)

    def _may_still_forward(self, request: Inference, worker: Worker) -> bool:
        return (
            not self.readiness.needs_check(worker, self.now)
            and worker.running_attempts + request.belief.jitter < worker.window
            and self._may_repeat(request)
            and self._may_forward(request, worker)
        )

    def _check_timed_out(self, check: ReadinessCheck):
        if check.worker.check is check:
            self._check_failed(check.worker, Outcome.TIMED_OUT)
            self._end_check(check)

    # Loads

    def _order_load(self, model_belief: ModelBelief, worker: Worker) -> OwnLoad | None:
        if worker not in model_belief.loads and self._send_order(model_belief, worker):
            load = OwnLoad(model_belief, worker, True)
            self.loads[load] = None
            self._schedule(self.now + self._load_timeout(model_belief), load)
        return model_belief.loads.get(worker)

    def _send_order(self, model_belief: ModelBelief, worker: Worker) -> bool:
        """Send a load order if it is allowed; all orders go through here."""
        allowed = self._may_order(worker)
        if allowed:
            self.ration.order_sent(self.now)
            self.actions.append(Order(worker.entry.invoker, model_belief.model, 1))
        return allowed

    def _end_load(self, load: OwnLoad) -> list[Inference]:
        self.loads.pop(load, None)
        load.model_belief.loads.pop(load.worker, None)
        waiting = list(load.waiting)
        for request in waiting:
            self._stop_waiting(request, request.belief)
        return waiting

    def _abandon_load(self, load: OwnLoad):
        """The load failed or timed out: place its waiting requests on other workers."""
        for request in self._end_load(load):
            request.belief.tried.append(load.worker)
            self._place(request)

    def _wait_for_load(self, request: Inference, load: OwnLoad):
        request.belief.load, load.waiting[request] = load, None

    def _stop_waiting(self, request: Inference, belief: RequestBelief):
        if belief.load:
            del belief.load.waiting[request]
            belief.load = None

    def _missed(self, request: Inference, model_belief: ModelBelief, worker: Worker):
        load = self._order_load(model_belief, worker) if worker.serving else None
        if load:
            return self._wait_for_load(request, load)
        warm = [
            other
            for other in self._healthy()
            if other in model_belief.warm and self._may_repeat(request) and self._may_forward(request, other)
        ]
        self._forward(request, self._least_loaded(warm)) if warm else self._give_up(request)

    def _max_loads(self) -> float:
        """How many own loads may run at once."""
        # With thin traffic most forwards find copies loaded for other controllers, so only unusually many loads are
        # held back. The limit grows with the number of parked requests: otherwise a fleet with idle cores would shed
        # requests for models without copies.
        parked, limit = len(self.parked), len(self.workers) / self.live_controllers
        limit = (
            max(MIN_LOADS, limit) if self._is_traffic_thin() else max(1.0, limit) / max(MIN_LOAD_SHARE, self.load_share)
        )
        return limit + parked * parked / max(1.0, parked + PARKED_PER_WORKER * len(self.workers))

    def _load_timeout(self, model_belief: ModelBelief) -> float:
        return max(self.usual_load_time.timeout(), 2 * (model_belief.load_time or 0.0))

    def _schedule_check(self, model_belief: ModelBelief, at: float):
        """Schedule the model's next check for when an entry is about to expire.

        With thousands of models, checking all of them in each periodic update would be too expensive.
        """
        if at < model_belief.check_at:
            model_belief.check_at = at
            heapq.heappush(self.model_checks, (at, model_belief.number, model_belief))

    def _renew_due(self):
        due = []
        while self.model_checks and self.model_checks[0][0] <= self.now:
            at, _, model_belief = heapq.heappop(self.model_checks)
            if at == model_belief.check_at and model_belief in self.known_models:
                due.append(model_belief)
                model_belief.check_at = math.inf
        for model_belief in sorted(due, key=lambda model_belief: model_belief.number):
            self._renew(model_belief)
            if model_belief in self.known_models:
                times = [until - 3 * UPDATE_INTERVAL_MS for until, _ in model_belief.warm.values()]
                self._schedule_check(
                    model_belief,
                    max(
                        self.now,
                        min(times + [model_belief.last_request_at + MAX_IDLE_KEEP_ALIVES * self.deployment.keep_alive]),
                    ),
                )

    def _renew(self, model_belief: ModelBelief):
        """Renew the model's last warm copy by a load order, or forget an idle model.

        Otherwise requests that arrive about once in a keep-alive would each wait for a load. The copy is renewed only
        if the model was requested more than once and requests through other controllers do not keep it warm.
        """
        for worker in [worker for worker, (until, _) in model_belief.warm.items() if until <= self.now]:
            del model_belief.warm[worker]
        model_belief.forget_former_holders()
        idle = self.now - model_belief.last_request_at > MAX_IDLE_KEEP_ALIVES * self.deployment.keep_alive
        kept_by_others = model_belief.recent_requests * (self.live_controllers - 1) > OTHERS_KEEP_ABOVE
        if model_belief.warm and model_belief.request_count > 1 and not idle and not kept_by_others:
            worker, (until, _) = max(model_belief.warm.items(), key=lambda item: item[1])
            if (
                until - self.now <= 3 * UPDATE_INTERVAL_MS
                and not worker.suspect
                and worker not in model_belief.reported
            ):
                self._send_order(model_belief, worker)
        elif idle and not model_belief.warm and not model_belief.at_work:
            self._forget_model(model_belief)

    def _forget_model(self, model_belief: ModelBelief):
        model_belief.model.belief = None
        self.known_models.remove(model_belief)
        for worker in model_belief.holders:
            worker.models_held.pop(model_belief, None)
        if len(self.model_checks) > 2 * len(self.known_models) + MIN_CHECKS_SWEPT:
            # Checks of forgotten models would keep them until their time comes.
            self.model_checks = [
                check for check in self.model_checks if check[2] in self.known_models and check[0] == check[2].check_at
            ]
            heapq.heapify(self.model_checks)

    # Rules

    def _may_repeat(self, request: Inference) -> bool:
        return self.rules.may_repeat(request, self.now)

    def _may_forward(self, request: Inference, worker: Worker) -> bool:
        if (
            not worker.serving
            or worker.full_until > self.now
            or self.readiness.is_excluded(worker, self.now)
            or request.zones is not None
            and not is_zone_allowed(request, worker)
        ):
            return False
        if not self.rules.in_scope(request, worker):
            return False
        return not self._is_cold(worker) or self._has_cold_budget(worker, self.usual_time[request.group].mean)

    def _may_order(self, worker: Worker) -> bool:
        return (
            self.deployment.may_order
            and worker.serving
            and self.readiness.may_order(worker, self.now)
            and self.ration.allows_order(self.now)
        )

    def _is_cold(self, worker: Worker) -> bool:
        return self.slow_start.is_cold(worker, self.now)

    def _has_cold_budget(self, worker: Worker, weight: float) -> bool:
        return self.slow_start.has_budget(worker, weight, self.now, self.sharers)

    # Outcomes

    def _ended(self, event: Ended):
        forward, outcome, now = event.forward, event.outcome, self.now
        request, attempt = forward.inference, forward.belief
        worker, model_belief, belief = attempt.worker, request.model.belief, request.belief
        del worker.in_flight[forward]
        self.total_in_flight -= worker.serving
        worker.cold_in_flight -= attempt.cold
        self._update_index(worker)
        model_belief.lanes_in_use[worker] -= 1
        if not model_belief.lanes_in_use[worker]:
            del model_belief.lanes_in_use[worker]
            if worker in model_belief.loads and not model_belief.loads[worker].ordered:
                self._end_load(model_belief.loads[worker])
        if outcome is Outcome.UNCONNECTED:
            self.readiness.process_may_have_ended(worker, now)
        elif outcome is Outcome.FULL:
            self.readiness.request_refused(worker, now)
        elif outcome in (Outcome.RETURNED, Outcome.MISS):
            self.readiness.request_accepted(worker, attempt.at)
        if outcome in (Outcome.RETURNED, Outcome.ERROR, Outcome.FULL, Outcome.MISS):
            worker.last_received_at = now
        elif outcome is Outcome.TIMED_OUT and not attempt.cold and self._had_time(attempt, request.group):
            self._narrow_window(worker, request.group)
        if outcome is Outcome.RETURNED:
            self._learn(request, model_belief, attempt, event)
        elif outcome is Outcome.FULL and attempt.cold:
            # No memory, or too many loads at once: the worker's warm copies can still serve requests.
            worker.no_loads_until = now + self.usual_time[request.group].mean
        elif outcome is Outcome.FULL:
            worker.full_until = now + self.usual_time[request.group].mean
            self._narrow_window(worker, request.group)
        elif (
            outcome is Outcome.UNCONNECTED
            or outcome is Outcome.RESET
            and now > worker.last_reset_at > worker.last_received_at
        ):
            self._suspect(worker)
            self._forget_copies(worker)
        elif outcome is Outcome.RESET:
            # One lost answer or connection does not make a suspect; a second one with no answer in between does.
            worker.last_reset_at = now
            model_belief.warm.pop(worker, None)
        elif outcome in (Outcome.ERROR, Outcome.MISS):
            model_belief.warm.pop(worker, None)
        elif outcome is Outcome.TIMED_OUT and not attempt.cold:
            if self._had_time(attempt, request.group):
                model_belief.warm.pop(worker, None)
        elif outcome is not Outcome.NOT_SENT and attempt.cold and worker.serving and not worker.suspect:
            # The load goes on without the request that started it; a load started elsewhere would duplicate it.
            self._order_load(model_belief, worker)
        if belief is None:
            return
        del belief.in_flight[forward]
        if outcome not in NEVER_RAN:
            belief.ended_attempts.append((worker, attempt.at))
        if event.final:
            self._close(request)
        elif now >= belief.deadline:
            self._give_up(request)
        elif outcome is Outcome.MISS and not event.load_failed and not belief.load and not belief.check:
            self._missed(request, model_belief, worker)
        elif not belief.load and request not in self.parked:
            self._place(request)

    def _had_time(self, attempt, group: ModelGroup) -> bool:
        """Whether the attempt had the usual answer time; if not, its timeout says nothing about the invoker.

        Clients may send requests with little time left.
        """
        return self.now - attempt.at >= self.usual_time[group].mean

    def _learn(self, request: Inference, model_belief: ModelBelief, attempt, event: Ended):
        worker, usual = attempt.worker, self.usual_time[request.group]
        if worker.new:
            worker.new = False
            self.index.became_known(worker)
        worker.completed_work += usual.mean
        loaded = event.found in (Found.BEGAN_LOAD, Found.AWAITED_LOAD)
        # A controller that just started must not count copies loaded by others as loads of its own.
        self.load_share += 0.1 * attempt.cold * ((event.found is not Found.WARM) - self.load_share)
        if worker.serving:
            # A load shows that the earlier entry was wrong; the answer itself is the evidence for a new one.
            copies = model_belief.warm[worker][1] if worker in model_belief.warm and not loaded else 1
            self._add_entry(model_belief, worker, copies)
        if loaded:
            if event.found is Found.BEGAN_LOAD:
                self.usual_load_time.add(event.elapsed)
            return
        worker.latency_ratio += (1.0 if self._is_traffic_thin() else 0.2) * (
            event.elapsed / request.group.slo_time - worker.latency_ratio
        )
        if worker.latency_ratio > NARROW_LATENCY_RATIO:
            self._narrow_window(worker, request.group)
        elif worker.latency_ratio < WIDEN_LATENCY_RATIO and worker.running_attempts + 2 > worker.window:
            worker.window += 0.5 * min(1.0, worker.window)
        self._update_index(worker)
        ratio = event.elapsed / max(usual.mean, 1e-3)
        usual.add(event.elapsed)
        self.time_ratios.setdefault(worker.kind, RunningMean(ratio)).add(ratio)
        if ratio < SLOW_ANSWER_RATIO:
            worker.suspect, worker.suspected_by_report, worker.trial_interval = False, False, INITIAL_TRIAL_DELAY_MS
            self.suspects.pop(worker, None)

    def _add_entry(self, model_belief: ModelBelief, worker: Worker, copies: int):
        """Record by own evidence that the worker holds the model, for a keep-alive from now."""
        model_belief.warm[worker] = self.now + self.deployment.keep_alive, copies
        model_belief.reported.pop(worker, None)
        model_belief.hold(worker)
        self._schedule_check(model_belief, self.now + self.deployment.keep_alive - 3 * UPDATE_INTERVAL_MS)

    def _copies_reported(self, event: Told):
        """Add or remove an entry by a report from another controller, with a shorter lifetime than an own entry.

        The report may be outdated, wrong or false. So it never replaces an own entry, and attempts that rely on it are
        treated as if they might cause a load.
        """
        worker, model_belief = event.invoker.belief, self._model_belief(event.model)
        if worker is None or not worker.serving:
            return
        until, _ = model_belief.warm.get(worker, (0.0, 0))
        if until > self.now and model_belief.reported.get(worker) != until:
            return
        model_belief.reported.pop(worker, None)
        model_belief.warm.pop(worker, None)
        if event.life > 0:
            self._add_entry(model_belief, worker, max(1, event.copies))
            model_belief.reported[worker] = until = self.now + min(event.life, self.deployment.keep_alive)
            model_belief.warm[worker], model_belief.lanes = (
                (until, max(1, event.copies)),
                max(model_belief.lanes, event.lanes),
            )
            self._schedule_check(model_belief, until - 3 * UPDATE_INTERVAL_MS)

    def _sharing_changed(self, event: Sharing):
        self.live_controllers, self.sharers = max(1, event.live), max(1.0, event.sharers)

    def _answer_beliefs(self, event: BeliefsAsked):
        expiry_if_new = self.now + self.deployment.keep_alive
        entries = [
            Standing(
                worker.entry.invoker,
                model_belief.model,
                copies,
                model_belief.lanes,
                expiry_if_new - until,
                worker not in model_belief.reported,
            )
            for model_belief in self.known_models
            for worker, (until, copies) in model_belief.warm.items()
            if until > self.now
        ]
        self.actions.append(Beliefs(event.token, entries))

    def _order_settled(self, event: OrderSettled):
        worker, model_belief = event.invoker.belief, event.model.belief
        if model_belief is None or not worker.serving:
            return
        load = model_belief.loads.get(worker)
        ordered = load is not None and load.ordered
        if event.outcome is not Outcome.RETURNED:
            return self._abandon_load(load) if ordered else None
        # The invoker's confirmation that a copy is loaded is as good as a returned answer.
        self._add_entry(model_belief, worker, max(1, event.standing))
        worker.last_received_at = self.now
        if ordered:
            self.usual_load_time.add(event.elapsed)
            for request in self._end_load(load):
                allowed = self._may_repeat(request) and self._may_forward(request, worker)
                self._forward(request, worker) if allowed else self._place(request)

    def _suspicion_reported(self, event: Doubted):
        """Other controllers suspect the invoker, or no longer do.

        The worker is handled like any other suspect: it gets occasional trials, it is used if most workers are
        suspects, and an own answer clears it. When the report is withdrawn, a suspicion based on own evidence stays.
        """
        worker = event.invoker.belief
        if event.ill and worker and not worker.suspect:
            self._suspect(worker)
            worker.suspected_by_report = True
        elif worker and worker.suspected_by_report and not event.ill:
            worker.suspect = worker.suspected_by_report = False
            self.suspects.pop(worker, None)

    def _healthy(self) -> Collection[Worker]:
        """Workers that are not suspects; all workers if so many are suspects that the cause must be a shared one."""
        healthy = [worker for worker in self.workers if not worker.suspect] if self.suspects else self.workers
        return healthy if 2 * len(healthy) > len(self.workers) else self.workers

    def _suspect(self, worker: Worker):
        worker.suspected_by_report = False
        self.active[worker] = None
        if not worker.suspect:
            worker.suspect, worker.trial_at = True, self.now + worker.trial_interval
            if worker.serving:
                self.suspects[worker] = None

    def _narrow_window(self, worker: Worker, group: ModelGroup):
        """Narrow the worker's window, at most once per usual answer time.

        Attempts still in flight were sent under the old window, so their failures do not narrow it again. A window
        below 1 admits requests at random: many controllers with one request each can only reduce their load this way.
        """
        if self.now - worker.window_narrowed_at > self.usual_time[group].mean:
            worker.window_narrowed_at, worker.window = (
                self.now,
                max(MIN_WINDOW, 0.7 * min(worker.window, worker.running_attempts + 1.0)),
            )
            self._update_index(worker)

    def _is_overdue(self, forward: Forward) -> bool:
        request, attempt = forward.inference, forward.belief
        wait = max(self.usual_time[request.group].timeout(), request.group.slo_time / 2)
        wait += 2 * self._load_timeout(request.model.belief) if attempt.cold else 0.0
        return self.now - max(attempt.worker.last_received_at, attempt.at) > wait

    def _periodic_update(self):
        self.actions.append(SetTimer(UPDATE_INTERVAL_MS, UPDATE_TIMER))
        self._log_list_state()
        traffic_is_thin = self._is_traffic_thin()
        if len(self.workers) > LARGE_FLEET:
            self._update_index_of_due()
        for worker in [worker for worker in self.active if worker.serving]:
            if traffic_is_thin and worker.suspect and self.now >= worker.trial_at:
                # The requests that it gets by normal placement are enough as trials; forced trials would take most
                # of thin traffic.
                worker.suspect, worker.trial_interval = False, min(2 * worker.trial_interval, MAX_TRIAL_INTERVAL_MS)
                self.suspects.pop(worker, None)
            self.slow_start.update_average(worker, UPDATE_INTERVAL_MS)
            if worker.in_flight and any(self._is_overdue(forward) for forward in worker.in_flight):
                # Accepts requests and answers none: hung, disconnected, or dead but still listed.
                self._suspect(worker)
        self.active = {worker: None for worker in self.active if worker.serving and worker.needs_update}
        suspects_excluded = self.suspects and self._healthy() is not self.workers
        at_suspects = (
            [forward for worker in self.workers if worker.suspect for forward in worker.in_flight]
            if suspects_excluded
            else ()
        )
        for forward in at_suspects:
            if forward.inference.belief and not forward.belief.rescued and self._is_overdue(forward):
                self._replace_overdue(forward.inference, forward)
        self.update_count += 1
        self.slow_start.time_passed(UPDATE_INTERVAL_MS)
        if len(self.workers) <= LARGE_FLEET or self.update_count % SPEED_UPDATE_EVERY == 0:
            self._update_kind_speeds()
        self._renew_due()
        self.shared_orders.release_those_that_left(self.fleet, ORDERS_RELEASED_PER_UPDATE)
        self._unpark(len(self.parked))

    def _update_kind_speeds(self):
        """Update the slowness and the work rate of each kind of worker.

        Reported sizes, if any, are not speeds, and an even distribution would overload slow kinds. The slowness is
        rounded to whole steps, so that controllers with similar observations place requests alike.
        """
        ratios = {kind: max(ratio.mean, 1e-3) for kind, ratio in self.time_ratios.items() if ratio.samples >= 5}
        steps = {kind: round(math.log(mean / min(ratios.values()), 1.5)) for kind, mean in ratios.items()}
        if steps != self.fleet.slowness:
            self.fleet.set_slowness(steps)
        usual = min(usual.mean for usual in self.usual_time.values())
        even_rate = self.traffic.recent / self.traffic.decay_time * usual / max(1, len(self.workers))
        self.slow_start.update_rates(self.workers, self.now, even_rate)

    def _replace_overdue(self, request: Inference, forward: Forward):
        """Repeat the request on another worker while the attempt is in flight, or else call the attempt off."""
        forward.belief.rescued = True
        if self._may_repeat(request):
            self._place(request)
        elif self.deployment.may_call_off and request.group.effect is not Effect.NON_RETRIABLE:
            self.actions.append(CallOff(forward))

    def _schedule(self, at: float, item: Inference | OwnLoad | ReadinessCheck | None):
        heapq.heappush(self.due_items, (at, self.chance.reserve(), item))
        if len(self.due_items) >= self.due_sweep_count:
            # Items of what has ended would keep all that belongs to it until their time comes.
            self.due_items = [due for due in self.due_items if due[2] is item or self._is_pending(due[2])]
            heapq.heapify(self.due_items)
            self.due_sweep_count = max(DUE_SWEEP_COUNT, 2 * len(self.due_items))

    def _is_pending(self, item: Inference | OwnLoad | ReadinessCheck | None) -> bool:
        if isinstance(item, Inference):
            return item.belief is not None
        if isinstance(item, ReadinessCheck):
            return item.worker.check is item
        return item is None or item in self.loads

    def _timer_due(self, event: TimerDue):
        if event.token == UPDATE_TIMER:
            return self._periodic_update()
        self.next_timer_at = math.inf
        while self.due_items and self.due_items[0][0] <= self.now:
            item = heapq.heappop(self.due_items)[2]
            if item is None:
                self.actions.append(Subscribe(True))
            elif isinstance(item, Inference) and item.belief:
                self._give_up(item)
            elif isinstance(item, ReadinessCheck):
                self._check_timed_out(item)
            elif item in self.loads:
                self._suspect(item.worker)
                self._abandon_load(item)
