"""How long a silent member may still say otherwise: the more members find it silent, the shorter (Lifeguard, Dadgar,
Phillips and Currey, DSN 2018, section IV.B). No I/O, no clock."""

from __future__ import annotations

import heapq
import math
from dataclasses import dataclass, field

from sprucespool.membership.rows import Seat


@dataclass(slots=True, eq=False)
class Suspicion:
    start: int
    incarnation: int
    since: float
    accusers: set[str]
    due: float = math.inf
    # It was asked once more, at the end.
    rechecked: bool = False


@dataclass(slots=True)
class Suspicions:
    """`least` and `most` ms of suspicion; `enough` accusers beyond the first bring it down to the least."""

    enough: int = 3
    active: dict[Seat, Suspicion] = field(default_factory=dict)
    _heap: list[tuple[float, Seat]] = field(default_factory=list)

    def add(
        self,
        now: float,
        seat: Seat,
        start: int,
        incarnation: int,
        accusers: set[str],
        least: float,
        most: float,
        group: int,
    ) -> None:
        found = self.active.get(seat)
        if found is None or (found.start, found.incarnation) != (start, incarnation):
            found = self.active[seat] = Suspicion(start, incarnation, now, set())
        found.accusers |= accusers
        # In a group of three there is one other that could confirm, in a group of two none.
        enough = min(self.enough, max(0, group - 2))
        extra = min(len(found.accusers) - 1, enough)
        part = math.log(extra + 1) / math.log(enough + 1) if enough else 1.0
        due = found.since + max(least, most - (most - least) * part)
        if due < found.due:
            found.due = due
            heapq.heappush(self._heap, (due, seat))

    def clear(self, seat: Seat) -> None:
        self.active.pop(seat, None)

    def shift(self, by: float) -> None:
        """Time in which this member was held still itself counts against nobody."""
        for found in self.active.values():
            found.since += by
            found.due += by
        self._heap = [(found.due, seat) for seat, found in self.active.items()]
        heapq.heapify(self._heap)

    def next_due(self) -> float:
        while self._heap:
            due, seat = self._heap[0]
            found = self.active.get(seat)
            if found is not None and found.due == due:
                return due
            heapq.heappop(self._heap)
        return math.inf

    def expired(self, now: float) -> list[tuple[Seat, Suspicion]]:
        done = []
        while self.next_due() <= now:
            _, seat = heapq.heappop(self._heap)
            done.append((seat, self.active.pop(seat)))
        return done

    def recheck_at(self, seat: Seat, doubt: Suspicion, due: float) -> None:
        doubt.rechecked, doubt.due = True, due
        self.active[seat] = doubt
        heapq.heappush(self._heap, (due, seat))
