"""How a starting controller learns from other controllers: whom to ask, what to report to the module, what was wrong.

Claims arrive in pages, best first, from a few sources at a time and within a time limit. A claim is queued until the
roster lists its process. Only a few claims of a source are reported at first, and more as they prove right; if too many
prove wrong, all claims of that source that are still in use are withdrawn. The first inference never waits for this.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from sprucespool.learning.knowledge import Claim, ClaimStore, Key, Row, claim_from_row, row_from_claim
from sprucespool.learning.trust import SourceRecord, claim_lifetime


@dataclass(frozen=True, slots=True)
class JoiningLimits:
    """Times in ms. `initial_allowance`: claims of a source reported before any proved right; every `right_per_doubling`
    claims that prove right double it."""

    max_concurrent: int = 3
    total_timeout: float = 5_000.0
    page_rows: int = 200
    max_pages: int = 100
    page_timeout: float = 1_000.0
    initial_allowance: int = 64
    right_per_doubling: int = 4
    min_lifetime: float = 50.0
    # Claims that wait until the roster lists their process.
    max_waiting: int = 20_000


@dataclass(frozen=True, slots=True)
class FetchPage:
    """Request the page at `cursor` from the source."""

    source: str
    cursor: int
    max_rows: int


@dataclass(frozen=True, slots=True)
class ReportClaim:
    """Report a claim to the module; a lifetime of 0 withdraws an earlier report. `lifetime` is in ms."""

    claim: Claim
    lifetime: float


Step = FetchPage | ReportClaim


@dataclass(slots=True)
class _Source:
    name: str
    record: SourceRecord = field(default_factory=SourceRecord)
    asked_at: float | None = None
    pages: int = 0
    done: bool = False
    why: str = ""
    # Claims not reported yet, best first.
    queued: deque[Claim] = field(default_factory=deque)
    # Reported claims that count against the allowance: neither proved right nor expired.
    outstanding: int = 0


class JoiningController:
    """Call `start`, then `page_received`, `source_failed`, `roster_changed`, `forward_ended` and `check` as events
    occur; each returns the steps to carry out."""

    def __init__(self, sources: list[str], keep_alive: float, limits: JoiningLimits | None = None):
        self.keep_alive, self.limits = keep_alive, limits or JoiningLimits()
        self.sources = {name: _Source(name) for name in sources}
        self.store = ClaimStore(keep_alive, self.limits.max_waiting)
        self.untested: dict[tuple[str, str], dict[str, Claim]] = {}
        self.boots: dict[str, str] = {}
        self.started_at = 0.0
        self.tested: set[Key] = set()

    # Requesting pages

    def start(self, now: float) -> list[Step]:
        self.started_at = now
        return self._request_pages(now)

    def add_source(self, now: float, name: str) -> list[Step]:
        """Adds a source found through the group; it is asked if the time limit allows."""
        if name in self.sources:
            return []
        self.sources[name] = _Source(name)
        return self._request_pages(now)

    def _request_pages(self, now: float) -> list[Step]:
        in_flight = sum(source.asked_at is not None for source in self.sources.values())
        steps: list[Step] = []
        for source in self.sources.values():
            if now - self.started_at >= self.limits.total_timeout:
                source.done = True
            if source.asked_at is None and not source.done and in_flight + len(steps) < self.limits.max_concurrent:
                source.asked_at = now
                steps.append(FetchPage(source.name, source.pages * self.limits.page_rows, self.limits.page_rows))
        return steps

    def page_received(self, now: float, name: str, rows: list[Row], more: bool) -> list[Step]:
        """Handles a received page. Late or unrequested pages are ignored."""
        source = self.sources.get(name)
        if source is None or source.asked_at is None or source.done:
            return []
        asked_at, source.asked_at = source.asked_at, None
        source.pages += 1
        if not more or source.pages >= self.limits.max_pages or not source.record.believed:
            source.done = True
        claims = [claim_from_row(row, asked_at, name) for row in rows[: self.limits.page_rows]]
        # The age of the evidence decides; claims that could not be used at all are not stored.
        claims = [claim for claim in claims if self._lifetime(now, claim) >= self.limits.min_lifetime]
        source.queued.extend(self.store.merge(claims))
        return [*self._report_queued(now, source), *self._request_pages(now)]

    def source_failed(self, now: float, name: str, why: str) -> list[Step]:
        """The source was unreachable, reset the call or sent an invalid page; claims received earlier stay valid."""
        source = self.sources.get(name)
        if source is not None and source.asked_at is not None:
            source.asked_at, source.done, source.why = None, True, why
        return self._request_pages(now)

    def snapshot(self, now: float, rows: list[Row], age: float, name: str = "snapshot") -> list[Step]:
        """Handles a snapshot that an earlier process of this controller wrote `age` ms ago, as one more source."""
        source = self.sources.setdefault(name, _Source(name, done=True))
        claims = [claim_from_row(row, now - age, name) for row in rows]
        claims = [claim for claim in claims if self._lifetime(now, claim) >= self.limits.min_lifetime]
        source.queued.extend(self.store.merge(sorted(claims, key=lambda claim: -claim.seen_at)))
        return self._report_queued(now, source)

    # Reporting claims

    def _lifetime(self, now: float, claim: Claim) -> float:
        trust = self.sources[claim.source].record.trust
        return claim_lifetime(now - claim.seen_at, claim.hops, self.keep_alive, trust)

    def _report_queued(self, now: float, source: _Source) -> list[Step]:
        steps: list[Step] = []
        limits = self.limits
        allowed = limits.initial_allowance * 2 ** min(20, source.record.right // limits.right_per_doubling)
        unlisted: deque[Claim] = deque()
        while source.queued and source.outstanding < allowed:
            claim = source.queued.popleft()
            if self.store.claims.get(claim.key) is not claim or claim.key in self.tested:
                continue
            lifetime = self._lifetime(now, claim)
            if lifetime < limits.min_lifetime:
                continue
            boot = self.boots.get(claim.invoker)
            if boot is None:
                unlisted.append(claim)
            elif boot == claim.boot:
                source.outstanding += 1
                self.untested.setdefault((claim.invoker, claim.boot), {})[claim.model] = claim
                steps.append(ReportClaim(claim, lifetime))
            else:
                # The claim is about an earlier process: whatever the clocks say, its copies ended with it.
                self.store.remove(claim.key)
        source.queued.extendleft(reversed(unlisted))
        return steps

    def roster_changed(
        self, now: float, processes: Iterable[tuple[str, str]], removed: Iterable[str] = ()
    ) -> list[Step]:
        """`processes`: (invoker, boot) of processes in service; `removed`: invokers that drain or left the roster."""
        changed = False
        for invoker in removed:
            if invoker in self.boots:
                self.untested.pop((invoker, self.boots.pop(invoker)), None)
        for invoker, boot in processes:
            previous = self.boots.get(invoker)
            if previous != boot:
                changed = True
                self.boots[invoker] = boot
                if previous is not None:
                    self.untested.pop((invoker, previous), None)
        if not changed:
            return []
        return [step for source in self.sources.values() for step in self._report_queued(now, source)]

    # Outcomes

    def forward_ended(self, now: float, invoker: str, model: str, found: str | None) -> list[Step]:
        """A forward of this controller ended at the invoker. `found`: warm, began load, awaited load or miss; None if
        the invoker does not report it."""
        boot = self.boots.get(invoker, "")
        claim = self.untested.get((invoker, boot), {}).get(model)
        if claim is None:
            return []
        if found not in ("warm", "began load", "miss"):
            return []
        del self.untested[invoker, boot][model]
        self.tested.add(claim.key)
        self.store.remove(claim.key)
        source = self.sources[claim.source]
        believed = source.record.believed
        if found == "warm":
            source.record.right += 1
            source.outstanding -= 1
        else:
            # A claim that proved wrong frees no room for another one.
            source.record.wrong += 1
        if believed and not source.record.believed:
            return self._withdraw_all(now, source)
        return self._report_queued(now, source)

    def _withdraw_all(self, now: float, source: _Source) -> list[Step]:
        """Too many claims were wrong: withdraws all claims of the source, and it is not asked again."""
        source.done, source.why = True, "its claims proved wrong"
        source.queued.clear()
        steps: list[Step] = []
        for models in self.untested.values():
            for model, claim in list(models.items()):
                if claim.source == source.name:
                    del models[model]
                    self.store.remove(claim.key)
                    steps.append(ReportClaim(claim, 0.0))
        source.outstanding = 0
        return steps

    def check(self, now: float) -> list[Step]:
        """Called periodically: gives up sources that are too slow and removes expired claims."""
        for source in self.sources.values():
            if source.asked_at is not None and now - source.asked_at >= self.limits.page_timeout:
                source.asked_at, source.done, source.why = None, True, "too slow"
        self.store.expire(now)
        for key, models in list(self.untested.items()):
            for model in [m for m, claim in models.items() if self._lifetime(now, claim) <= 0]:
                self.sources[models.pop(model).source].outstanding -= 1
            if not models:
                del self.untested[key]
        return self._request_pages(now)

    @property
    def finished(self) -> bool:
        """Whether no request is pending and no received claim is still in use."""
        return (
            all(source.done and source.asked_at is None for source in self.sources.values())
            and not self.store.claims
            and not any(self.untested.values())
        )

    def untested_claim(self, invoker: str, boot: str, model: str) -> Claim | None:
        """The claim that a belief is still based on, if no response received here has tested it yet."""
        return self.untested.get((invoker, boot), {}).get(model)


class PageBuilder:
    """Builds pages for other controllers from the local beliefs, best first. Rows are rebuilt at most once per
    `rebuild_interval_ms`, so that any number of requests costs a controller a bounded share of its time."""

    def __init__(self, rebuild_interval_ms: float = 1_000.0, max_rows: int = 10_000):
        self.rebuild_interval_ms, self.max_rows = rebuild_interval_ms, max_rows
        self.rows: list[Row] = []
        self.built_at = -1e18

    def stale(self, now: float) -> bool:
        return now - self.built_at >= self.rebuild_interval_ms

    def rebuild(
        self,
        now: float,
        known: Iterable[tuple[str, str, str, int, int, float, bool]],
        find_claim: Callable[[str, str, str], Claim | None],
    ) -> None:
        """`known`: (invoker, boot, model, copies, lanes, age, own) as reported by the module."""
        rows = []
        for invoker, boot, model, copies, lanes, age, own in known:
            if own:
                rows.append(Row(invoker, boot, model, copies, lanes, max(0.0, age), 0))
            elif (claim := find_claim(invoker, boot, model)) is not None:
                # Send the age of the evidence, not the module's age, which is changed by distrust of the source.
                rows.append(row_from_claim(claim, now))
        rows.sort(key=lambda row: (row.hops, row.age))
        self.rows, self.built_at = rows[: self.max_rows], now

    def page(self, now: float, cursor: int, max_rows: int) -> tuple[list[Row], bool]:
        """Returns (rows with their ages as of now, whether there are more)."""
        elapsed_ms = now - self.built_at
        selected = self.rows[cursor : cursor + max_rows]
        rows = [_with_added_age(row, elapsed_ms) for row in selected]
        return rows, cursor + len(selected) < len(self.rows)


def _with_added_age(row: Row, added_ms: float) -> Row:
    return Row(row.invoker, row.boot, row.model, row.copies, row.lanes, row.age + added_ms, row.hops)
