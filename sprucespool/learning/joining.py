"""A controller that starts, and what it is told: whom to ask, what to pass on to the module, what proved wrong.

Told knowledge comes in pages, best first, from a few sources at a time within a time limit. Claims wait until the
roster names their process. A source's claims are passed on a few at first, and more as they prove right; one whose
claims prove wrong loses all that is still believed of it. The first inference never waits for any of this.
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
    # What waits for the roster to name its process.
    max_waiting: int = 20_000


@dataclass(frozen=True, slots=True)
class FetchPage:
    """Ask the source for the page at `cursor`."""

    source: str
    cursor: int
    max_rows: int


@dataclass(frozen=True, slots=True)
class ReportClaim:
    """Pass on to the module; a claim without life takes an earlier word back."""

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
    # Taken in and not passed on yet, best first; passed on and not tried yet.
    held_back: deque[Claim] = field(default_factory=deque)
    given: int = 0


class JoiningController:
    """Call `start`, then `page_received`, `source_failed`, `roster_changed`, `forward_ended` and `check` as events
    occur; each returns the steps to carry out."""

    def __init__(self, sources: list[str], keep_alive: float, limits: JoiningLimits | None = None):
        self.keep_alive, self.limits = keep_alive, limits or JoiningLimits()
        self.sources = {name: _Source(name) for name in sources}
        self.knowledge = ClaimStore(keep_alive, self.limits.max_waiting)
        self.untested: dict[tuple[str, str], dict[str, Claim]] = {}
        self.boots: dict[str, str] = {}
        self.began = 0.0
        self.tried: set[Key] = set()

    # Asking

    def start(self, now: float) -> list[Step]:
        self.began = now
        return self._ask_more(now)

    def add_source(self, now: float, name: str) -> list[Step]:
        """Another source was found (membership); it is asked if there is time left for it."""
        if name in self.sources:
            return []
        self.sources[name] = _Source(name)
        return self._ask_more(now)

    def _ask_more(self, now: float) -> list[Step]:
        asking = sum(source.asked_at is not None for source in self.sources.values())
        steps: list[Step] = []
        for source in self.sources.values():
            if now - self.began >= self.limits.total_timeout:
                source.done = True
            if source.asked_at is None and not source.done and asking + len(steps) < self.limits.max_concurrent:
                source.asked_at = now
                steps.append(FetchPage(source.name, source.pages * self.limits.page_rows, self.limits.page_rows))
        return steps

    def page_received(self, now: float, name: str, rows: list[Row], more: bool) -> list[Step]:
        """A page came in. Late or unasked ones are passed over."""
        source = self.sources.get(name)
        if source is None or source.asked_at is None or source.done:
            return []
        asked_at, source.asked_at = source.asked_at, None
        source.pages += 1
        if not more or source.pages >= self.limits.max_pages or not source.record.believed:
            source.done = True
        claims = [claim_from_row(row, asked_at, name) for row in rows[: self.limits.page_rows]]
        # The sign's own age decides; what can't be believed at all is not even kept.
        claims = [claim for claim in claims if self._life(now, claim) >= self.limits.min_lifetime]
        source.held_back.extend(self.knowledge.merge(claims))
        return [*self._pass_on(now, source), *self._ask_more(now)]

    def source_failed(self, now: float, name: str, why: str) -> list[Step]:
        """The source was not had, broke off, or told nonsense: what it told so far is as good as before."""
        source = self.sources.get(name)
        if source is not None and source.asked_at is not None:
            source.asked_at, source.done, source.why = None, True, why
        return self._ask_more(now)

    def snapshot(self, now: float, rows: list[Row], age: float, name: str = "snapshot") -> list[Step]:
        """What an earlier life of this controller wrote down `age` ms ago: one more source, as old as it is."""
        source = self.sources.setdefault(name, _Source(name, done=True))
        claims = [claim_from_row(row, now - age, name) for row in rows]
        claims = [claim for claim in claims if self._life(now, claim) >= self.limits.min_lifetime]
        source.held_back.extend(self.knowledge.merge(sorted(claims, key=lambda claim: -claim.seen_at)))
        return self._pass_on(now, source)

    # Passing on

    def _life(self, now: float, claim: Claim) -> float:
        trust = self.sources[claim.source].record.trust
        return claim_lifetime(now - claim.seen_at, claim.hops, self.keep_alive, trust)

    def _pass_on(self, now: float, source: _Source) -> list[Step]:
        steps: list[Step] = []
        limits = self.limits
        allowed = limits.initial_allowance * 2 ** min(20, source.record.right // limits.right_per_doubling)
        waiting: deque[Claim] = deque()
        while source.held_back and source.given < allowed:
            claim = source.held_back.popleft()
            if self.knowledge.claims.get(claim.key) is not claim or claim.key in self.tried:
                continue
            life = self._life(now, claim)
            if life < limits.min_lifetime:
                continue
            boot = self.boots.get(claim.invoker)
            if boot is None:
                waiting.append(claim)
            elif boot == claim.boot:
                source.given += 1
                self.untested.setdefault((claim.invoker, claim.boot), {})[claim.model] = claim
                steps.append(ReportClaim(claim, life))
            else:
                # Of a process that is no more: whatever clocks say, what it held went with it.
                self.knowledge.forget(claim.key)
        source.held_back.extendleft(reversed(waiting))
        return steps

    def roster_changed(self, now: float, processes: Iterable[tuple[str, str]], gone: Iterable[str] = ()) -> list[Step]:
        """The roster named processes in service (invoker, boot), or told of some that drain or went."""
        fresh = False
        for invoker in gone:
            if invoker in self.boots:
                self.untested.pop((invoker, self.boots.pop(invoker)), None)
        for invoker, boot in processes:
            before = self.boots.get(invoker)
            if before != boot:
                fresh = True
                self.boots[invoker] = boot
                if before is not None:
                    self.untested.pop((invoker, before), None)
        if not fresh:
            return []
        return [step for source in self.sources.values() for step in self._pass_on(now, source)]

    # What became of it

    def forward_ended(self, now: float, invoker: str, model: str, found: str | None) -> list[Step]:
        """An own forward ended there. `found`: warm, began load, awaited load, miss; None where nobody tells."""
        boot = self.boots.get(invoker, "")
        claim = self.untested.get((invoker, boot), {}).get(model)
        if claim is None:
            return []
        if found not in ("warm", "began load", "miss"):
            return []
        del self.untested[invoker, boot][model]
        self.tried.add(claim.key)
        self.knowledge.forget(claim.key)
        source = self.sources[claim.source]
        believed = source.record.believed
        if found == "warm":
            source.record.right += 1
            source.given -= 1
        else:
            # What proved wrong makes no room for more.
            source.record.wrong += 1
        if believed and not source.record.believed:
            return self._take_back(now, source)
        return self._pass_on(now, source)

    def _take_back(self, now: float, source: _Source) -> list[Step]:
        """Too much of it was wrong: nothing of it is believed any more, and nothing more is asked of it."""
        source.done, source.why = True, "what it told proved wrong"
        source.held_back.clear()
        steps: list[Step] = []
        for models in self.untested.values():
            for model, claim in list(models.items()):
                if claim.source == source.name:
                    del models[model]
                    self.knowledge.forget(claim.key)
                    steps.append(ReportClaim(claim, 0.0))
        source.given = 0
        return steps

    def check(self, now: float) -> list[Step]:
        """Called now and then: sources that are too slow are given up, old claims forgotten."""
        for source in self.sources.values():
            if source.asked_at is not None and now - source.asked_at >= self.limits.page_timeout:
                source.asked_at, source.done, source.why = None, True, "too slow"
        self.knowledge.expire(now)
        for key, models in list(self.untested.items()):
            for model in [m for m, claim in models.items() if self._life(now, claim) <= 0]:
                self.sources[models.pop(model).source].given -= 1
            if not models:
                del self.untested[key]
        return self._ask_more(now)

    @property
    def over(self) -> bool:
        """Nothing is asked any more and nothing told is still believed."""
        return (
            all(source.done and source.asked_at is None for source in self.sources.values())
            and not self.knowledge.claims
            and not any(self.untested.values())
        )

    def untested_claim(self, invoker: str, boot: str, model: str) -> Claim | None:
        """The claim that a belief still rests on, where it is not the own answer."""
        return self.untested.get((invoker, boot), {}).get(model)


class PageBuilder:
    """The other side: pages cut from what is believed here, best first, made anew at most once in `every` ms, so that
    however many ask, a controller in service spends a bounded part of its time on it."""

    def __init__(self, every: float = 1_000.0, most: int = 10_000):
        self.every, self.most = every, most
        self.rows: list[Row] = []
        self.made_at = -1e18

    def stale(self, now: float) -> bool:
        return now - self.made_at >= self.every

    def rebuild(
        self,
        now: float,
        known: Iterable[tuple[str, str, str, int, int, float, bool]],
        claim_of: Callable[[str, str, str], Claim | None],
    ) -> None:
        """`known`: (invoker, boot, model, copies, lanes, age, own) as the module gives them."""
        rows = []
        for invoker, boot, model, copies, lanes, age, own in known:
            if own:
                rows.append(Row(invoker, boot, model, copies, lanes, max(0.0, age), 0))
            elif (claim := claim_of(invoker, boot, model)) is not None:
                # Not the age that the module works with, which is shortened by distrust, but the sign's own.
                rows.append(row_from_claim(claim, now))
        rows.sort(key=lambda row: (row.hops, row.age))
        self.rows, self.made_at = rows[: self.most], now

    def page(self, now: float, cursor: int, most: int) -> tuple[list[Row], bool]:
        """(rows with their ages as of now, whether there are more)."""
        since = now - self.made_at
        cut = self.rows[cursor : cursor + most]
        rows = [_older(row, since) for row in cut]
        return rows, cursor + len(cut) < len(self.rows)


def _older(row: Row, older: float) -> Row:
    return Row(row.invoker, row.boot, row.model, row.copies, row.lanes, row.age + older, row.hops)
