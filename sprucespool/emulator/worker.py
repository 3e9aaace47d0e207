"""Model of an invoker: model copies in a memory budget, lanes, a queue, loads from a shared library, cold starts.

Each method takes the current time (ms) and appends the resulting actions to `actions`; `next_due` says when to call
`advance`. Work only takes virtual time; no processor time is spent on it.
"""

from __future__ import annotations

import heapq
import math
from collections import deque
from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class ModelInfo:
    """What a copy takes: memory, lanes, the part of a load that is no fetch (ms)."""

    memory: float
    lanes: int
    start: float
    fetch: float


@dataclass(frozen=True, slots=True)
class WorkerFacts:
    """Memory in MB, times in ms. `queue` and `load_queue` bound what waits."""

    memory: float = 8000.0
    cores: int = 3
    speed: float = 1.0
    queue: int = 60
    loads: int = 3
    load_queue: int = 8
    keep_alive: float = 10_000.0
    cold_share: float = 0.25
    warm_after: float = 15_000.0
    fall_multiple: float = 3.0
    fall_window: float = 1_500.0
    loads_on_miss: bool = True
    # Another copy by itself when all lanes of a model are taken.
    scales: bool = True
    cancel_drops: bool = True
    dedup_window: float = 5_000.0


@dataclass(slots=True, eq=False)
class Job:
    """An inference at the worker; `work` is ms on a core of speed 1. `tag` is the owner's."""

    tag: object
    model: str
    work: float
    key: str = ""
    found: str = "warm"
    same_model: int = 0
    state: str = "waiting"
    copy: Copy | None = None


@dataclass(slots=True, eq=False)
class Copy:
    model: str
    info: ModelInfo
    busy: int = 0
    idle_since: float = 0.0


@dataclass(slots=True, eq=False)
class Load:
    model: str
    info: ModelInfo
    state: str = "queued"
    began: float = 0.0


@dataclass(slots=True, eq=False)
class LoadOrder:
    """An order: settled when `copies` stand, or when it is clear that they will not."""

    tag: object
    model: str
    copies: int


# Actions


@dataclass(slots=True)
class Finished:
    job: Job


@dataclass(slots=True)
class Refused:
    """Rejected unseen: it never ran."""

    job: Job
    why: str


@dataclass(slots=True)
class Missed:
    """The model is not here and does not come: it never ran."""

    job: Job
    load_failed: bool


@dataclass(slots=True)
class FetchWanted:
    load: Load


@dataclass(slots=True)
class Settled:
    order: LoadOrder
    fulfilled: bool
    loaded_copies: int


@dataclass(slots=True)
class Overloaded:
    """Pushed over while cold: it is down for good."""

    sent: float
    allowed: float


Action = Finished | Refused | Missed | FetchWanted | Settled | Overloaded


@dataclass(slots=True)
class Tally:
    ran: int = 0
    refused: int = 0
    missed: int = 0
    loads: int = 0
    load_failures: int = 0
    evicted: int = 0
    expired: int = 0
    repeats_dropped: int = 0


@dataclass(slots=True, eq=False)
class Worker:
    facts: WorkerFacts
    catalog: dict[str, ModelInfo]
    started_at: float
    # 0 for one that has run for long: it is warm.
    cold: bool = True
    actions: list[Action] = field(default_factory=list)
    copies: dict[str, list[Copy]] = field(default_factory=dict)
    loading: list[Load] = field(default_factory=list)
    queue: deque[Job] = field(default_factory=deque)
    orders: list[LoadOrder] = field(default_factory=list)
    running: list[tuple[float, int, Job]] = field(default_factory=list)
    starting: list[tuple[float, int, Load]] = field(default_factory=list)
    recent_work: deque[tuple[float, float]] = field(default_factory=deque)
    finished_keys: dict[str, float] = field(default_factory=dict)
    tally: Tally = field(default_factory=Tally)
    draining: bool = False
    overloaded: bool = False
    slowdown: float = 1.0
    paused_until: float = 0.0
    last_number: int = 0

    def share(self, now: float) -> float:
        """The part of its capacity that stands by now."""
        if not self.cold:
            return 1.0
        grown = min(1.0, (now - self.started_at) / self.facts.warm_after)
        return self.facts.cold_share + (1 - self.facts.cold_share) * grown

    def used(self) -> float:
        standing = sum(copy.info.memory for copies in self.copies.values() for copy in copies)
        return standing + sum(load.info.memory for load in self.loading if load.state != "queued")

    def _record_sent_work(self, now: float, work: float):
        """Work sent, also what is then rejected, against what a cold one bears in a span."""
        facts = self.facts
        if not self.cold or now - self.started_at > facts.warm_after or self.overloaded:
            return
        self.recent_work.append((now, work))
        while self.recent_work[0][0] < now - facts.fall_window:
            self.recent_work.popleft()
        total = sum(weight for _, weight in self.recent_work)
        allowed = facts.fall_multiple * self.share(now) * facts.cores * facts.speed * facts.fall_window
        if total > allowed:
            self.overloaded = True
            self.actions.append(Overloaded(total, allowed))

    # What is asked of it

    def arrive(self, now: float, job: Job) -> None:
        self._record_sent_work(now, job.work)
        held = sum(other.model == job.model for _, _, other in self.running)
        job.same_model = held + sum(other.model == job.model for other in self.queue)
        info = self.catalog.get(job.model)
        if self.overloaded:
            return
        if job.key and self.finished_keys.get(job.key, -math.inf) > now - self.facts.dedup_window:
            # Ran here a moment ago: answered without running again.
            self.tally.repeats_dropped += 1
            self.actions.append(Finished(job))
            return
        if self.draining or len(self.queue) >= self.facts.queue or info is None:
            self.tally.refused += 1
            self.actions.append(
                Refused(job, "draining" if self.draining else "queue full" if info else "no such model in the library")
            )
            return
        if not self.copies.get(job.model):
            waits = any(load.model == job.model for load in self.loading)
            if not waits and not self.facts.loads_on_miss:
                self.tally.missed += 1
                self.actions.append(Missed(job, False))
                return
            job.found = "awaited-load" if waits else "began-load"
            if not waits and not self._begin_load(now, job.model, info):
                self.tally.refused += 1
                self.actions.append(Refused(job, "no room for a load"))
                return
        self.queue.append(job)
        self._dispatch(now)

    def cancel(self, now: float, job: Job) -> None:
        """Nobody waits for it: dropped if it waits, else it runs on (its end is nobody's)."""
        if job.state == "waiting" and self.facts.cancel_drops and job in self.queue:
            self.queue.remove(job)
            job.state = "dropped"

    def order(self, now: float, order: LoadOrder) -> None:
        info = self.catalog.get(order.model)
        standing = len(self.copies.get(order.model, []))
        for copy in self.copies.get(order.model, []):
            copy.idle_since = max(copy.idle_since, now)
        if order.copies and (self.draining or info is None or self.overloaded):
            self.actions.append(Settled(order, False, standing))
            return
        if standing >= order.copies:
            self.actions.append(Settled(order, True, standing))
            return
        coming = sum(load.model == order.model for load in self.loading)
        assert info is not None
        for _ in range(order.copies - standing - coming):
            if not self._begin_load(now, order.model, info):
                self.actions.append(Settled(order, False, standing))
                return
        self.orders.append(order)

    def unload(self, now: float, model: str) -> int:
        """Idle copies of the model go; those at work stay. Gives how many went."""
        copies = self.copies.get(model, [])
        idle = [copy for copy in copies if not copy.busy]
        self._remove(idle)
        return len(idle)

    def flush(self, models: list[str] | None = None) -> None:
        """All copies (of these models) go void at once (a release); those at work with their ends."""
        for copies in [self.copies[model] for model in (list(self.copies) if models is None else models)]:
            self._remove([copy for copy in copies if not copy.busy])
            for copy in copies:
                copy.idle_since = -math.inf

    def pause(self, now: float, span: float) -> None:
        """Nothing goes on for a while: all that runs or starts ends so much later."""
        self.paused_until = max(self.paused_until, now + span)
        self.running = [(end + span, n, job) for end, n, job in self.running]
        self.starting = [(end + span, n, load) for end, n, load in self.starting]

    # Loads

    def _remove(self, copies: list[Copy]):
        for copy in copies:
            self.copies[copy.model].remove(copy)
            if not self.copies[copy.model]:
                del self.copies[copy.model]

    def _begin_load(self, now: float, model: str, info: ModelInfo) -> bool:
        queued = sum(load.state == "queued" for load in self.loading)
        if info.memory > self.facts.memory or queued >= self.facts.load_queue:
            return False
        self.loading.append(Load(model, info, began=now))
        self._start_loads(now)
        return True

    def _start_loads(self, now: float):
        for load in self.loading:
            under_way = sum(other.state != "queued" for other in self.loading)
            if load.state != "queued" or under_way >= self.facts.loads:
                continue
            if not self._make_room(now, load.info.memory, load.model):
                break
            load.state = "fetching"
            self.tally.loads += 1
            self.actions.append(FetchWanted(load))

    def _make_room(self, now: float, memory: float, model: str) -> bool:
        # A copy that somebody waits for is not idle: it would be loaded again at once.
        wanted = {job.model for job in self.queue}
        idle = sorted(
            (copy for copies in self.copies.values() for copy in copies if not copy.busy and copy.model not in wanted),
            key=lambda copy: copy.idle_since,
        )
        free = self.facts.memory - self.used()
        for copy in idle:
            if free >= memory:
                break
            if copy.model == model:
                continue
            self._remove([copy])
            self.tally.evicted += 1
            free += copy.info.memory
        return free >= memory

    def fetched(self, now: float, load: Load, ok: bool) -> None:
        """The library answered, or turned the fetch away."""
        if load not in self.loading:
            return
        if not ok:
            self.loading.remove(load)
            self.tally.load_failures += 1
            self._load_over(now, load, False)
        else:
            load.state = "starting"
            self.last_number += 1
            heapq.heappush(self.starting, (now + load.info.start * self.slowdown, self.last_number, load))
        self._start_loads(now)

    def _load_over(self, now: float, load: Load, stands: bool):
        if stands:
            self.copies.setdefault(load.model, []).append(Copy(load.model, load.info, idle_since=now))
        standing = len(self.copies.get(load.model, []))
        coming = sum(other.model == load.model for other in self.loading)
        if not stands and not standing and not coming:
            for job in [job for job in self.queue if job.model == load.model]:
                self.queue.remove(job)
                self.tally.missed += 1
                self.actions.append(Missed(job, True))
        for order in [order for order in self.orders if order.model == load.model]:
            if standing >= order.copies or standing + coming < order.copies:
                self.orders.remove(order)
                self.actions.append(Settled(order, standing >= order.copies, standing))

    # Time

    def next_due(self) -> float:
        """When to call `advance` next; infinity if nothing is due."""
        due = min(self.running[0][0] if self.running else math.inf, self.starting[0][0] if self.starting else math.inf)
        # A copy that somebody waits for does not expire, so its time is nothing to come back for.
        wanted = {job.model for job in self.queue}
        idle = [
            copy.idle_since
            for model, copies in self.copies.items()
            if model not in wanted
            for copy in copies
            if not copy.busy
        ]
        due = min(due, min(idle) + self.facts.keep_alive if idle else math.inf)
        return max(due, self.paused_until) if due < math.inf else due

    def advance(self, now: float) -> None:
        if now < self.paused_until:
            return
        while self.starting and self.starting[0][0] <= now:
            load = heapq.heappop(self.starting)[2]
            self.loading.remove(load)
            self._load_over(now, load, True)
        while self.running and self.running[0][0] <= now:
            job = heapq.heappop(self.running)[2]
            job.state = "done"
            assert job.copy is not None
            job.copy.busy -= 1
            job.copy.idle_since = max(now, job.copy.idle_since) if job.copy.idle_since > -math.inf else -math.inf
            self.tally.ran += 1
            if job.key:
                self.finished_keys[job.key] = now
                if len(self.finished_keys) > 10_000:
                    self.finished_keys = {
                        key: at for key, at in self.finished_keys.items() if at > now - self.facts.dedup_window
                    }
            self.actions.append(Finished(job))
        for copies in list(self.copies.values()):
            # The very sum that `next_due` tells: rounded another way it would be due for ever.
            old = [copy for copy in copies if not copy.busy and copy.idle_since + self.facts.keep_alive <= now]
            if old and not any(job.model == old[0].model for job in self.queue):
                self.tally.expired += sum(copy.idle_since > -math.inf for copy in old)
                self._remove(old)
        self._start_loads(now)
        self._dispatch(now)

    def _dispatch(self, now: float):
        if now < self.paused_until or self.overloaded:
            return
        waiting: set[str] = set()
        for job in list(self.queue):
            if len(self.running) >= self.facts.cores:
                break
            if job.model in waiting:
                continue
            free = [
                copy
                for copy in self.copies.get(job.model, [])
                if copy.busy < copy.info.lanes and copy.idle_since > -math.inf
            ]
            if not free:
                waiting.add(job.model)
                continue
            copy = min(free, key=lambda copy: copy.busy)
            self.queue.remove(job)
            copy.busy += 1
            job.copy, job.state = copy, "running"
            self.last_number += 1
            pace = max(0.01, self.facts.speed * self.share(now)) / self.slowdown
            heapq.heappush(self.running, (now + job.work / pace, self.last_number, job))
        for model in sorted(waiting):
            if not self.copies.get(model) and not any(load.model == model for load in self.loading):
                # Its copy went (unloaded, void) while they waited for a lane.
                if not self._begin_load(now, model, self.catalog[model]):
                    for job in [job for job in self.queue if job.model == model]:
                        self.queue.remove(job)
                        self.tally.missed += 1
                        self.actions.append(Missed(job, False))
        if self.facts.scales:
            for model in sorted(waiting):
                held = self.copies.get(model)
                wants = sum(job.model == model for job in self.queue)
                coming = sum(load.model == model for load in self.loading)
                if held and not coming and wants >= held[0].info.lanes:
                    self._begin_load(now, model, held[0].info)

    @property
    def idle(self) -> bool:
        return not self.queue and not self.running
