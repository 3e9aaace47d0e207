"""The model library that all invokers fetch from: slows when crowded, turns fetches away past a limit."""

from __future__ import annotations

import heapq
import math
from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class LibraryFacts:
    """`smooth` fetches at once run at full speed; `most` are taken at once."""

    smooth: int = 8
    most: int = 40


@dataclass(slots=True, eq=False)
class Fetch:
    tag: object
    remaining: float


@dataclass(slots=True, eq=False)
class Library:
    """Processor sharing: with more than `smooth` fetches each gets an even part. Times in ms."""

    facts: LibraryFacts
    now: float = 0.0
    slowdown: float = 1.0
    down: bool = False
    under_way: list[Fetch] = field(default_factory=list)
    fetched: int = 0
    turned_away: int = 0

    def _pace(self) -> float:
        if self.down or not self.under_way:
            return 0.0
        return min(1.0, self.facts.smooth / len(self.under_way)) / self.slowdown

    def advance(self, now: float) -> list[Fetch]:
        """Fetches that are done by now. Call before any change."""
        done: list[Fetch] = []
        while self.under_way and self.now < now:
            pace = self._pace()
            least = heapq.nsmallest(1, (fetch.remaining for fetch in self.under_way))[0]
            span = min(now - self.now, least / pace if pace else math.inf)
            for fetch in self.under_way:
                fetch.remaining -= span * pace
            self.now += span
            over = [fetch for fetch in self.under_way if fetch.remaining <= 1e-6]
            self.under_way = [fetch for fetch in self.under_way if fetch.remaining > 1e-6]
            self.fetched += len(over)
            done += over
            if not pace:
                break
        self.now = now
        return done

    def begin(self, fetch: Fetch) -> bool:
        """After `advance`. False: turned away."""
        if self.down or len(self.under_way) >= self.facts.most:
            self.turned_away += 1
            return False
        self.under_way.append(fetch)
        return True

    def cancel(self, fetch: Fetch) -> None:
        if fetch in self.under_way:
            self.under_way.remove(fetch)

    def next_due(self) -> float:
        pace = self._pace()
        return self.now + min(fetch.remaining for fetch in self.under_way) / pace if pace else math.inf
