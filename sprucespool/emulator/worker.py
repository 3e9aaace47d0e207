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
    """What a copy of a model needs: memory (MB), lanes, start time after the fetch and fetch time (both ms)."""

    memory: float
    lanes: int
    start: float
    fetch: float


@dataclass(frozen=True, slots=True)
class WorkerFacts:
    """Memory in MB, times in ms. `queue` and `load_queue` limit the waiting inferences and loads."""

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
    # Whether the invoker loads another copy on its own when all lanes of a model are busy.
    scales: bool = True
    cancel_drops: bool = True
    dedup_window: float = 5_000.0


@dataclass(slots=True, eq=False)
class Job:
    """An inference at the worker; `work` is in ms on a core of speed 1. `tag` belongs to the owner of the worker."""

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
    """A load order: settled when `copies` copies are loaded, or when it is clear that they will not be."""

    tag: object
    model: str
    copies: int


# Actions for the owner of the worker to carry out


@dataclass(slots=True)
class Finished:
    job: Job


@dataclass(slots=True)
class Refused:
    """The job was rejected on arrival and never ran."""

    job: Job
    why: str


@dataclass(slots=True)
class Missed:
    """The model is not loaded and no load is going to provide it; the job never ran."""

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
    """The invoker failed for good because it received more work while cold than it bears."""

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
    # Whether the invoker goes through a slow start; False for one that has run for long.
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
        """Returns the fraction of the capacity that is available at `now`."""
        if not self.cold:
            return 1.0
        grown = min(1.0, (now - self.started_at) / self.facts.warm_after)
        return self.facts.cold_share + (1 - self.facts.cold_share) * grown

    def used(self) -> float:
        """Returns the memory in use, in MB: loaded copies and loads that have begun."""
        resident = sum(copy.info.memory for copies in self.copies.values() for copy in copies)
        return resident + sum(load.info.memory for load in self.loading if load.state != "queued")

    def _record_sent_work(self, now: float, work: float):
        """Compares the work sent within the window, including rejected work, with what a cold invoker bears."""
        facts = self.facts
        if not self.cold or now - self.started_at > facts.warm_after or self.overloaded:
            return
        self.recent_work.append((now, work))
        while self.recent_work[0][0] < now - facts.fall_window:
            self.recent_work.popleft()
        total = sum(sent for _, sent in self.recent_work)
        allowed = facts.fall_multiple * self.share(now) * facts.cores * facts.speed * facts.fall_window
        if total > allowed:
            self.overloaded = True
            self.actions.append(Overloaded(total, allowed))

    # Requests

    def arrive(self, now: float, job: Job) -> None:
        self._record_sent_work(now, job.work)
        running = sum(other.model == job.model for _, _, other in self.running)
        job.same_model = running + sum(other.model == job.model for other in self.queue)
        info = self.catalog.get(job.model)
        if self.overloaded:
            return
        if job.key and self.finished_keys.get(job.key, -math.inf) > now - self.facts.dedup_window:
            # The same inference ran here a moment ago: it is answered without running again.
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
            load_pending = any(load.model == job.model for load in self.loading)
            if not load_pending and not self.facts.loads_on_miss:
                self.tally.missed += 1
                self.actions.append(Missed(job, False))
                return
            job.found = "awaited-load" if load_pending else "began-load"
            if not load_pending and not self._begin_load(now, job.model, info):
                self.tally.refused += 1
                self.actions.append(Refused(job, "no room for a load"))
                return
        self.queue.append(job)
        self._dispatch(now)

    def cancel(self, now: float, job: Job) -> None:
        """The caller gave up: a waiting job is dropped, a running one goes on and its result is ignored."""
        if job.state == "waiting" and self.facts.cancel_drops and job in self.queue:
            self.queue.remove(job)
            job.state = "dropped"

    def order(self, now: float, order: LoadOrder) -> None:
        info = self.catalog.get(order.model)
        loaded = len(self.copies.get(order.model, []))
        for copy in self.copies.get(order.model, []):
            copy.idle_since = max(copy.idle_since, now)
        if order.copies and (self.draining or info is None or self.overloaded):
            self.actions.append(Settled(order, False, loaded))
            return
        if loaded >= order.copies:
            self.actions.append(Settled(order, True, loaded))
            return
        pending = sum(load.model == order.model for load in self.loading)
        assert info is not None
        for _ in range(order.copies - loaded - pending):
            if not self._begin_load(now, order.model, info):
                self.actions.append(Settled(order, False, loaded))
                return
        self.orders.append(order)

    def unload(self, now: float, model: str) -> int:
        """Removes the idle copies of the model; busy ones stay. Returns how many were removed."""
        copies = self.copies.get(model, [])
        idle = [copy for copy in copies if not copy.busy]
        self._remove(idle)
        return len(idle)

    def flush(self, models: list[str] | None = None) -> None:
        """Invalidates all copies (of these models) at once, as a release does; busy ones once their jobs end."""
        for copies in [self.copies[model] for model in (list(self.copies) if models is None else models)]:
            self._remove([copy for copy in copies if not copy.busy])
            for copy in copies:
                copy.idle_since = -math.inf

    def pause(self, now: float, duration: float) -> None:
        """Nothing makes progress for `duration` ms: all that runs or starts ends that much later."""
        self.paused_until = max(self.paused_until, now + duration)
        self.running = [(end + duration, n, job) for end, n, job in self.running]
        self.starting = [(end + duration, n, load) for end, n, load in self.starting]

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
            begun = sum(other.state != "queued" for other in self.loading)
            if load.state != "queued" or begun >= self.facts.loads:
                continue
            if not self._make_room(now, load.info.memory, load.model):
                break
            load.state = "fetching"
            self.tally.loads += 1
            self.actions.append(FetchWanted(load))

    def _make_room(self, now: float, memory: float, model: str) -> bool:
        # A copy that queued jobs wait for is not idle: it would be loaded again at once.
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
        """The library has completed the fetch of `load` (`ok`) or rejected it."""
        if load not in self.loading:
            return
        if not ok:
            self.loading.remove(load)
            self.tally.load_failures += 1
            self._load_ended(now, load, False)
        else:
            load.state = "starting"
            self.last_number += 1
            heapq.heappush(self.starting, (now + load.info.start * self.slowdown, self.last_number, load))
        self._start_loads(now)

    def _load_ended(self, now: float, load: Load, succeeded: bool):
        if succeeded:
            self.copies.setdefault(load.model, []).append(Copy(load.model, load.info, idle_since=now))
        loaded = len(self.copies.get(load.model, []))
        pending = sum(other.model == load.model for other in self.loading)
        if not succeeded and not loaded and not pending:
            for job in [job for job in self.queue if job.model == load.model]:
                self.queue.remove(job)
                self.tally.missed += 1
                self.actions.append(Missed(job, True))
        for order in [order for order in self.orders if order.model == load.model]:
            if loaded >= order.copies or loaded + pending < order.copies:
                self.orders.remove(order)
                self.actions.append(Settled(order, loaded >= order.copies, loaded))

    # Time

    def next_due(self) -> float:
        """Returns when to call `advance` next; infinity if nothing is due."""
        due = min(self.running[0][0] if self.running else math.inf, self.starting[0][0] if self.starting else math.inf)
        # A copy that queued jobs wait for does not expire, so its keep-alive makes nothing due.
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
        """Carries out everything that is due by `now`."""
        if now < self.paused_until:
            return
        while self.starting and self.starting[0][0] <= now:
            load = heapq.heappop(self.starting)[2]
            self.loading.remove(load)
            self._load_ended(now, load, True)
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
            # The same sum as in `next_due`: rounded differently, the copy would be due for ever.
            expired = [copy for copy in copies if not copy.busy and copy.idle_since + self.facts.keep_alive <= now]
            if expired and not any(job.model == expired[0].model for job in self.queue):
                self.tally.expired += sum(copy.idle_since > -math.inf for copy in expired)
                self._remove(expired)
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
                # The copy was unloaded or invalidated while these jobs waited for a lane.
                if not self._begin_load(now, model, self.catalog[model]):
                    for job in [job for job in self.queue if job.model == model]:
                        self.queue.remove(job)
                        self.tally.missed += 1
                        self.actions.append(Missed(job, False))
        if self.facts.scales:
            for model in sorted(waiting):
                loaded = self.copies.get(model)
                queued = sum(job.model == model for job in self.queue)
                pending = sum(load.model == model for load in self.loading)
                if loaded and not pending and queued >= loaded[0].info.lanes:
                    self._begin_load(now, model, loaded[0].info)

    @property
    def idle(self) -> bool:
        return not self.queue and not self.running
