"""One gateway and a fleet of worker models in virtual time: deterministic from its seed, no socket, no clock.

Enough to drive the decisions at sizes that no one machine shows over sockets. The rest of a tier of controllers is
only told of (`deployment.controllers`); traffic is this controller's own.
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

ONE_WAY = 1.0


@dataclass(slots=True)
class Troubled:
    """At `at` ms `what` befalls the invokers numbered `which` (crash, hang, crawl, replace, drain), for `lasts`."""

    at: float
    what: str
    which: list[int]
    lasts: float = 5000.0
    factor: float = 6.0


@dataclass(slots=True)
class SoloPlan:
    """The size of a day. `rate` is inferences a second at this controller; ms else."""

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
    # Inputs are held back and come in one batch: from, until.
    stalls: list[tuple[float, float]] = field(default_factory=list)
    troubles: list[Troubled] = field(default_factory=list)
    facts: wk.WorkerFacts = field(default_factory=lambda: wk.WorkerFacts(memory=8000.0, cores=4))


@dataclass(slots=True, eq=False)
class _Place:
    """An invoker's process, or the next one at its address."""

    address: str
    row: ms.Row
    worker: wk.Worker
    boots: int = 1
    up: bool = True
    hung_until: float = 0.0
    looked_for: float = float("inf")


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
    """Run with `run()`. `on_batch(now, inputs)` sees what the gateway takes, before it does."""

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
        self.chance = random.Random(plan.seed)
        self.gateway = Gateway(deployment, plan.seed, self._effect, decider)
        self.inputs: list[ms.Input] = []
        self.taking = False
        self.wake_at = float("inf")
        self.out: dict[int, tuple[_Place, wk.Job]] = {}
        self.asks: dict[int, _Place] = {}
        self.sent: dict[str, float] = {}
        self.answers: dict[str, int] = {}
        self.times: list[float] = []
        self.library = Library(LibraryFacts(max(8, plan.invokers // 2), 4 * plan.invokers + 40))
        self.library_due = float("inf")
        info = wk.ModelInfo(plan.memory, plan.lanes, 250.0, 350.0)
        self.places = [self._place(n, info) for n in range(plan.invokers)]
        self.by_address = {place.address: place for place in self.places}
        self.weights = list(itertools.accumulate(1.0 / (n + 1) ** plan.zipf for n in range(plan.models)))

    # The machinery of virtual time

    def at(self, when: float, act: Callable[[], None]) -> None:
        heapq.heappush(self.heap, (max(when, self.now), next(self.number), act))

    def run(self) -> None:
        plan = self.plan
        self._tell(ms.Roster(it.News.RESTORED.value, 1, [place.row for place in self.places]))
        self._arrival()
        for trouble in plan.troubles:
            for which in trouble.which:
                self.at(trouble.at, lambda trouble=trouble, which=which: self._trouble(trouble, which))  # type: ignore
        if plan.full_rosters_every:
            self.at(plan.full_rosters_every, self._full_roster)
        end = plan.lasts + 15_000.0
        while self.heap and self.heap[0][0] <= end:
            self.now, _, act = heapq.heappop(self.heap)
            act()

    def _tell(self, given: ms.Input) -> None:
        self.inputs.append(given)
        if not self.taking:
            self.taking = True
            held = next((until for begin, until in self.plan.stalls if begin <= self.now < until), self.now)
            self.at(held, self._take)

    def _take(self):
        self.taking = False
        inputs, self.inputs = self.inputs, []
        if self.on_batch:
            self.on_batch(self.now, inputs)
        self.gateway.take(self.now, inputs)

    # Clients

    def _arrival(self):
        plan = self.plan
        gap = self.chance.expovariate(plan.rate / 1000.0)
        if self.now + gap >= plan.lasts:
            return

        def arrive():
            number = next(self.number)
            if self.chance.random() < plan.one_off:
                model = f"once-{number}"
            else:
                model = f"m{bisect.bisect(self.weights, self.chance.random() * self.weights[-1])}"
            groups = self.deployment.groups
            group = groups[int(self.chance.random() * len(groups))]
            ttl = group.route_timeout * self.chance.uniform(0.5, 1.0)
            name = f"i{number}"
            tenants = self.deployment.tenants
            tenant = tenants[int(self.chance.random() * len(tenants))].name if tenants else ""
            self.sent[name] = self.now
            self._tell(
                ms.Call(
                    name,
                    group.name,
                    model,
                    ttl,
                    tenant,
                    None,
                    plan.memory,
                    plan.lanes,
                    600.0,
                    self.chance.random() < plan.repeats,
                )
            )
            if self.chance.random() < plan.leaves:
                self.at(self.now + ttl * 0.3, lambda: self._tell(ms.Left(name)) if name in self.sent else None)
            self._arrival()

        self.at(self.now + gap, arrive)

    def _answered(self, call: str, how: str):
        begun = self.sent.pop(call, None)
        if begun is not None:
            self.answers[how] = self.answers.get(how, 0) + 1
            if how == "returned":
                self.times.append(self.now - begun)

    # Effects

    def _effect(self, effect: ms.Effect):
        if isinstance(effect, ms.SendForward):
            self.at(self.now + ONE_WAY, lambda: self._forward(effect))
        elif isinstance(effect, ms.Recall):
            self.at(self.now + ONE_WAY, lambda: self._recall(effect.forward))
        elif isinstance(effect, ms.SendOrder):
            self.at(self.now + ONE_WAY, lambda: self._order(effect))
        elif isinstance(effect, ms.WakeAt):
            self.wake_at = effect.at
            self.at(effect.at, self._wake)
        elif isinstance(effect, (ms.AnswerReturned, ms.AnswerShed, ms.AnswerFailed, ms.Rejected)):
            self._answered(effect.call, type(effect).__name__.removeprefix("Answer").lower())

    def _wake(self):
        if self.wake_at <= self.now:
            self.wake_at = float("inf")
            self._tell(ms.Woke())

    def _forward(self, effect: ms.SendForward):
        place = self.by_address[effect.invoker]
        if not place.up:
            self.at(self.now + ONE_WAY, lambda: self._tell(ms.ForwardEnded(effect.forward, "unconnected")))
            return
        job = wk.Job(effect.forward, effect.model, self.plan.work * self.chance.uniform(0.5, 1.5))
        self.out[effect.forward] = place, job
        if place.hung_until <= self.now:
            place.worker.arrive(self.now, job)
            self._after(place)

    def _recall(self, number: int):
        found = self.out.pop(number, None)
        if found is not None:
            found[0].worker.cancel(self.now, found[1])
            self._after(found[0])

    def _order(self, effect: ms.SendOrder):
        place = self.by_address[effect.invoker]
        if not place.up:
            self.at(self.now + ONE_WAY, lambda: self._tell(ms.OrderEnded(effect.order, "unconnected")))
            return
        self.asks[effect.order] = place
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
        """Carry out what the worker's last step left."""
        worker = place.worker
        while worker.actions:
            acts, worker.actions = worker.actions, []
            for act in acts:
                self._act(place, act)
        due = worker.next_due()
        if due < place.looked_for and place.up:
            place.looked_for = due
            self.at(due, lambda: self._look(place, worker))

    def _look(self, place: _Place, worker: wk.Worker):
        if place.worker is worker and place.up:
            place.looked_for = float("inf")
            worker.advance(self.now)
            self._after(place)

    def _act(self, place: _Place, act: wk.Action):
        if isinstance(act, wk.FetchWanted):
            done = self.library.advance(self.now)
            fetch = Fetch(_Fetching(place, place.worker, act.load), act.load.info.fetch)
            if not self.library.begin(fetch):
                self.at(self.now + ONE_WAY, lambda: self._fetched(fetch, False))
            self._library_done(done)
            return
        if isinstance(act, wk.Settled):
            number = act.order.tag
            if isinstance(number, int) and self.asks.pop(number, None) is not None:
                outcome = "returned" if act.fulfilled else "full"
                self._back(place, ms.OrderEnded(number, outcome, act.loaded_copies))
            return
        if isinstance(act, wk.Overloaded):
            self._down(place)
            return
        number = act.job.tag
        assert isinstance(number, int)
        if self.out.pop(number, None) is None:
            return
        found = act.job.found.replace("-", " ")
        if isinstance(act, wk.Finished):
            self._back(place, ms.ForwardEnded(number, "returned", found, False, min(30, act.job.same_model)))
        elif isinstance(act, wk.Refused):
            self._back(place, ms.ForwardEnded(number, "full", same_model=min(30, act.job.same_model)))
        else:
            self._back(place, ms.ForwardEnded(number, "miss", load_failed=act.load_failed))

    def _back(self, place: _Place, given: ms.Input):
        self.at(max(self.now + ONE_WAY, place.hung_until), lambda: self._tell(given))

    def _fetched(self, fetch: Fetch, ok: bool):
        asked = fetch.tag
        assert isinstance(asked, _Fetching)
        if asked.place.worker is asked.worker and asked.place.up:
            asked.worker.fetched(self.now, asked.load, ok)
            self._after(asked.place)

    def _library_done(self, done: Iterable[Fetch]):
        for fetch in done:
            self._fetched(fetch, True)
        due = self.library.next_due()
        if due < self.library_due or self.library_due <= self.now:
            self.library_due = due
            if due < float("inf"):
                self.at(due, self._library_look)

    def _library_look(self):
        self.library_due = float("inf")
        self._library_done(self.library.advance(self.now + 1e-6))

    # Troubles

    def _down(self, place: _Place):
        place.up = False
        for number, (other, _) in list(self.out.items()):
            if other is place:
                del self.out[number]
                self._back(place, ms.ForwardEnded(number, "reset"))
        for number, other in list(self.asks.items()):
            if other is place:
                del self.asks[number]
                self._back(place, ms.OrderEnded(number, "reset"))

    def _up(self, place: _Place):
        place.boots += 1
        place.up, place.looked_for = True, float("inf")
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
        self._listed(place.row)

    def _listed(self, row: ms.Row):
        self.at(self.now + 500.0, lambda: self._tell(ms.Roster("update", 2, [row])))

    def _trouble(self, trouble: Troubled, which: int):
        place = self.places[which % len(self.places)]
        if trouble.what in ("crash", "replace"):
            if trouble.what == "replace":
                self._listed(
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
            self.at(self.now + (800.0 if trouble.what == "replace" else 0.0), lambda: self._down(place))
            self.at(self.now + trouble.lasts, lambda: self._up(place))
        elif trouble.what == "hang":
            place.hung_until = self.now + trouble.lasts
        elif trouble.what == "crawl":
            place.worker.slowdown = trouble.factor
            self.at(self.now + trouble.lasts, lambda: setattr(place.worker, "slowdown", 1.0))

    def _full_roster(self):
        self._tell(ms.Roster("replace", 3, [place.row for place in self.places if place.up]))
        if self.now < self.plan.lasts:
            self.at(self.now + self.plan.full_rosters_every, self._full_roster)
