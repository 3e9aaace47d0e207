"""Model of the model library that all invokers fetch from: slow under many fetches, rejects fetches past a limit."""

from __future__ import annotations

import heapq
import math
from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class LibraryFacts:
    """Up to `smooth` concurrent fetches run at full speed; at most `most` are accepted."""

    smooth: int = 8
    most: int = 40


@dataclass(slots=True, eq=False)
class Fetch:
    # Belongs to the caller.
    tag: object
    # Remaining time at full speed, in ms.
    remaining: float


@dataclass(slots=True, eq=False)
class Library:
    """Processor sharing: with more than `smooth` fetches each gets an equal share. Times in ms."""

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
        """Returns the fetches that are done by `now`. Must be called before any change."""
        done: list[Fetch] = []
        while self.under_way and self.now < now:
            pace = self._pace()
            shortest = heapq.nsmallest(1, (fetch.remaining for fetch in self.under_way))[0]
            duration = min(now - self.now, shortest / pace if pace else math.inf)
            for fetch in self.under_way:
                fetch.remaining -= duration * pace
            self.now += duration
            completed = [fetch for fetch in self.under_way if fetch.remaining <= 1e-6]
            self.under_way = [fetch for fetch in self.under_way if fetch.remaining > 1e-6]
            self.fetched += len(completed)
            done += completed
            if not pace:
                break
        self.now = now
        return done

    def begin(self, fetch: Fetch) -> bool:
        """Starts a fetch; call `advance` first. Returns False if the fetch is rejected."""
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
