"""One gateway and a fleet of worker models in virtual time: deterministic from its seed, no socket, no clock.

Drives the decisions at sizes that one machine cannot reach over sockets. Other controllers exist only as a number
(`deployment.controllers`); the traffic is that of this controller alone.
"""

from __future__ import annotations

import bisect
import heapq
import itertools
import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field, replace

from sprucespool import interface as it
from sprucespool.emulator import worker as wk
from sprucespool.emulator.library import Fetch, Library, LibraryFacts
from sprucespool.gateway import Decider, Gateway
from sprucespool.gateway import messages as ms
from sprucespool.policy import Controller

# Delay of a message between the gateway, the invokers and the library.
ONE_WAY_MS = 1.0


@dataclass(slots=True)
class Troubled:
    """A fault `what` (crash, hang, crawl, replace) of the invokers numbered `which`, from `at` for `lasts` (ms)."""

    at: float
    what: str
    which: list[int]
    lasts: float = 5000.0
    factor: float = 6.0


@dataclass(slots=True)
class SoloPlan:
    """Size and traffic of a simulated day. `rate` is inferences per second at this controller; times are in ms."""

    invokers: int = 30
    models: int = 100
    rate: float = 100.0
    lasts: float = 20_000.0
    zipf: float = 1.0
    work: float = 60.0
    lanes: int = 2
    memory: float = 500.0
    seed: int = 1
    zones: int = 1
    kinds: int = 1
    one_off: float = 0.0
    repeats: float = 0.05
    leaves: float = 0.02
    groups: list[str] = field(default_factory=list)
    full_rosters_every: float = 0.0
    # Intervals (from, until) in which inputs are held back; they then arrive in one batch.
    stalls: list[tuple[float, float]] = field(default_factory=list)
    troubles: list[Troubled] = field(default_factory=list)
    facts: wk.WorkerFacts = field(default_factory=lambda: wk.WorkerFacts(memory=8000.0, cores=4))


@dataclass(slots=True, eq=False)
class _Place:
    """An address with the invoker process that currently runs there."""

    address: str
    row: ms.Row
    worker: wk.Worker
    boots: int = 1
    up: bool = True
    hung_until: float = 0.0
    check_due_at: float = float("inf")


@dataclass(slots=True, eq=False)
class _Fetching:
    place: _Place
    worker: wk.Worker
    load: wk.Load


class _AnyModel(dict):
    def __init__(self, info: wk.ModelInfo):
        super().__init__()
        self.info = info

    def get(self, key, default=None):
        return self.info


class Solo:
    """Started with `run()`. `on_batch(now, inputs)` is called with each batch before the gateway processes it."""

    def __init__(
        self,
        deployment: it.Deployment,
        plan: SoloPlan,
        decider: Callable[[it.Deployment, int], Decider] = Controller,
        on_batch: Callable[[float, list[ms.Input]], None] | None = None,
    ):
        self.plan, self.deployment, self.on_batch = plan, deployment, on_batch
        self.now, self.number = 0.0, itertools.count()
        self.heap: list[tuple[float, int, Callable[[], None]]] = []
        self.random = random.Random(plan.seed)
        self.gateway = Gateway(deployment, plan.seed, self._effect, decider)
        self.inputs: list[ms.Input] = []
        self.batch_pending = False
        self.wake_at = float("inf")
        self.in_flight: dict[int, tuple[_Place, wk.Job]] = {}
        self.orders: dict[int, _Place] = {}
        self.sent: dict[str, float] = {}
        self.answers: dict[str, int] = {}
        self.times: list[float] = []
        self.library = Library(LibraryFacts(max(8, plan.invokers // 2), 4 * plan.invokers + 40))
        self.library_due = float("inf")
        info = wk.ModelInfo(plan.memory, plan.lanes, 250.0, 350.0)
        self.places = [self._place(n, info) for n in range(plan.invokers)]
        self.by_address = {place.address: place for place in self.places}
        self.weights = list(itertools.accumulate(1.0 / (n + 1) ** plan.zipf for n in range(plan.models)))

    # Virtual time

    def at(self, when: float, action: Callable[[], None]) -> None:
        heapq.heappush(self.heap, (max(when, self.now), next(self.number), action))

    def run(self) -> None:
        plan = self.plan
        self._add_input(ms.Roster(it.News.RESTORED.value, 1, [place.row for place in self.places]))
        self._schedule_arrival()
        for trouble in plan.troubles:
            for which in trouble.which:
                self.at(trouble.at, lambda trouble=trouble, which=which: self._begin_fault(trouble, which))  # type: ignore
        if plan.full_rosters_every:
            self.at(plan.full_rosters_every, self._send_full_roster)
        end = plan.lasts + 15_000.0
        while self.heap and self.heap[0][0] <= end:
            self.now, _, action = heapq.heappop(self.heap)
            action()

    def _add_input(self, item: ms.Input) -> None:
        self.inputs.append(item)
        if not self.batch_pending:
            self.batch_pending = True
            resumes_at = next((until for begin, until in self.plan.stalls if begin <= self.now < until), self.now)
            self.at(resumes_at, self._take_batch)

    def _take_batch(self):
        self.batch_pending = False
        inputs, self.inputs = self.inputs, []
        if self.on_batch:
            self.on_batch(self.now, inputs)
        self.gateway.take(self.now, inputs)

    # Clients

    def _schedule_arrival(self):
        plan = self.plan
        gap = self.random.expovariate(plan.rate / 1000.0)
        if self.now + gap >= plan.lasts:
            return

        def arrive():
            number = next(self.number)
            if self.random.random() < plan.one_off:
                model = f"once-{number}"
            else:
                model = f"m{bisect.bisect(self.weights, self.random.random() * self.weights[-1])}"
            groups = self.deployment.groups
            group = groups[int(self.random.random() * len(groups))]
            ttl = group.route_timeout * self.random.uniform(0.5, 1.0)
            call = f"i{number}"
            tenants = self.deployment.tenants
            tenant = tenants[int(self.random.random() * len(tenants))].name if tenants else ""
            self.sent[call] = self.now
            self._add_input(
                ms.Call(
                    call,
                    group.name,
                    model,
                    ttl,
                    tenant,
                    None,
                    plan.memory,
                    plan.lanes,
                    600.0,
                    self.random.random() < plan.repeats,
                )
            )
            if self.random.random() < plan.leaves:
                self.at(self.now + ttl * 0.3, lambda: self._add_input(ms.Left(call)) if call in self.sent else None)
            self._schedule_arrival()

        self.at(self.now + gap, arrive)

    def _answered(self, call: str, how: str):
        sent_at = self.sent.pop(call, None)
        if sent_at is not None:
            self.answers[how] = self.answers.get(how, 0) + 1
            if how == "returned":
                self.times.append(self.now - sent_at)

    # Effects

    def _effect(self, effect: ms.Effect):
        if isinstance(effect, ms.SendForward):
            self.at(self.now + ONE_WAY_MS, lambda: self._forward(effect))
        elif isinstance(effect, ms.Recall):
            self.at(self.now + ONE_WAY_MS, lambda: self._recall(effect.forward))
        elif isinstance(effect, ms.SendOrder):
            self.at(self.now + ONE_WAY_MS, lambda: self._order(effect))
        elif isinstance(effect, ms.WakeAt):
            self.wake_at = effect.at
            self.at(effect.at, self._wake)
        elif isinstance(effect, (ms.AnswerReturned, ms.AnswerShed, ms.AnswerFailed, ms.Rejected)):
            self._answered(effect.call, type(effect).__name__.removeprefix("Answer").lower())

    def _wake(self):
        if self.wake_at <= self.now:
            self.wake_at = float("inf")
            self._add_input(ms.Woke())

    def _forward(self, effect: ms.SendForward):
        place = self.by_address[effect.invoker]
        if not place.up:
            self.at(self.now + ONE_WAY_MS, lambda: self._add_input(ms.ForwardEnded(effect.forward, "unconnected")))
            return
        job = wk.Job(effect.forward, effect.model, self.plan.work * self.random.uniform(0.5, 1.5))
        self.in_flight[effect.forward] = place, job
        if place.hung_until <= self.now:
            place.worker.arrive(self.now, job)
            self._after(place)

    def _recall(self, number: int):
        forward = self.in_flight.pop(number, None)
        if forward is not None:
            forward[0].worker.cancel(self.now, forward[1])
            self._after(forward[0])

    def _order(self, effect: ms.SendOrder):
        place = self.by_address[effect.invoker]
        if not place.up:
            self.at(self.now + ONE_WAY_MS, lambda: self._add_input(ms.OrderEnded(effect.order, "unconnected")))
            return
        self.orders[effect.order] = place
        place.worker.order(self.now, wk.LoadOrder(effect.order, effect.model, effect.copies))
        self._after(place)

    # Workers

    def _place(self, number: int, info: wk.ModelInfo) -> _Place:
        plan = self.plan
        kind = number % plan.kinds
        facts = replace(plan.facts, speed=1.0 if kind == 0 else 0.6)
        row = ms.Row(
            f"w{number}:1",
            f"zone-{number % plan.zones}",
            f"kind-{kind}",
            f"cell-{number % 4}",
            size=float(facts.cores),
            boot=f"{number}.1",
        )
        return _Place(row.invoker, row, wk.Worker(facts, _AnyModel(info), 0.0, cold=False))

    def _after(self, place: _Place):
        """Carries out the actions of the worker's last step and schedules the next one."""
        worker = place.worker
        while worker.actions:
            actions, worker.actions = worker.actions, []
            for action in actions:
                self._carry_out(place, action)
        due = worker.next_due()
        if due < place.check_due_at and place.up:
            place.check_due_at = due
            self.at(due, lambda: self._advance_worker(place, worker))

    def _advance_worker(self, place: _Place, worker: wk.Worker):
        if place.worker is worker and place.up:
            place.check_due_at = float("inf")
            worker.advance(self.now)
            self._after(place)

    def _carry_out(self, place: _Place, action: wk.Action):
        if isinstance(action, wk.FetchWanted):
            done = self.library.advance(self.now)
            fetch = Fetch(_Fetching(place, place.worker, action.load), action.load.info.fetch)
            if not self.library.begin(fetch):
                self.at(self.now + ONE_WAY_MS, lambda: self._fetched(fetch, False))
            self._library_done(done)
            return
        if isinstance(action, wk.Settled):
            number = action.order.tag
            if isinstance(number, int) and self.orders.pop(number, None) is not None:
                outcome = "returned" if action.fulfilled else "full"
                self._reply(place, ms.OrderEnded(number, outcome, action.loaded_copies))
            return
        if isinstance(action, wk.Overloaded):
            self._stop_process(place)
            return
        number = action.job.tag
        assert isinstance(number, int)
        if self.in_flight.pop(number, None) is None:
            return
        found = action.job.found.replace("-", " ")
        if isinstance(action, wk.Finished):
            self._reply(place, ms.ForwardEnded(number, "returned", found, False, min(30, action.job.same_model)))
        elif isinstance(action, wk.Refused):
            self._reply(place, ms.ForwardEnded(number, "full", same_model=min(30, action.job.same_model)))
        else:
            self._reply(place, ms.ForwardEnded(number, "miss", load_failed=action.load_failed))

    def _reply(self, place: _Place, item: ms.Input):
        self.at(max(self.now + ONE_WAY_MS, place.hung_until), lambda: self._add_input(item))

    def _fetched(self, fetch: Fetch, ok: bool):
        fetching = fetch.tag
        assert isinstance(fetching, _Fetching)
        if fetching.place.worker is fetching.worker and fetching.place.up:
            fetching.worker.fetched(self.now, fetching.load, ok)
            self._after(fetching.place)

    def _library_done(self, done: Iterable[Fetch]):
        for fetch in done:
            self._fetched(fetch, True)
        due = self.library.next_due()
        if due < self.library_due or self.library_due <= self.now:
            self.library_due = due
            if due < float("inf"):
                self.at(due, self._advance_library)

    def _advance_library(self):
        self.library_due = float("inf")
        self._library_done(self.library.advance(self.now + 1e-6))

    # Faults

    def _stop_process(self, place: _Place):
        place.up = False
        for number, (other, _) in list(self.in_flight.items()):
            if other is place:
                del self.in_flight[number]
                self._reply(place, ms.ForwardEnded(number, "reset"))
        for number, other in list(self.orders.items()):
            if other is place:
                del self.orders[number]
                self._reply(place, ms.OrderEnded(number, "reset"))

    def _start_process(self, place: _Place):
        place.boots += 1
        place.up, place.check_due_at = True, float("inf")
        place.worker = wk.Worker(place.worker.facts, place.worker.catalog, self.now)
        place.row = ms.Row(
            place.row.invoker,
            place.row.zone,
            place.row.kind,
            place.row.cell,
            "in service",
            place.row.size,
            f"{place.row.invoker}.{place.boots}",
            0.0,
        )
        self._announce_row(place.row)

    def _announce_row(self, row: ms.Row):
        self.at(self.now + 500.0, lambda: self._add_input(ms.Roster("update", 2, [row])))

    def _begin_fault(self, trouble: Troubled, which: int):
        place = self.places[which % len(self.places)]
        if trouble.what in ("crash", "replace"):
            if trouble.what == "replace":
                self._announce_row(
                    ms.Row(
                        place.address,
                        place.row.zone,
                        place.row.kind,
                        place.row.cell,
                        "draining",
                        place.row.size,
                        place.row.boot,
                    )
                )
            self.at(self.now + (800.0 if trouble.what == "replace" else 0.0), lambda: self._stop_process(place))
            self.at(self.now + trouble.lasts, lambda: self._start_process(place))
        elif trouble.what == "hang":
            place.hung_until = self.now + trouble.lasts
        elif trouble.what == "crawl":
            place.worker.slowdown = trouble.factor
            self.at(self.now + trouble.lasts, lambda: setattr(place.worker, "slowdown", 1.0))

    def _send_full_roster(self):
        self._add_input(ms.Roster("replace", 3, [place.row for place in self.places if place.up]))
        if self.now < self.plan.lasts:
            self.at(self.now + self.plan.full_rosters_every, self._send_full_roster)
