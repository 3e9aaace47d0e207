"""Timeouts of suspicions: how long a suspected member has to refute, shorter the more members accuse it (Lifeguard,
Dadgar, Phillips and Currey, DSN 2018, section IV.B). No I/O, no clock."""

from __future__ import annotations

import heapq
import math
from dataclasses import dataclass, field

from sprucespool.membership.rows import Seat


@dataclass(slots=True, eq=False)
class Suspicion:
    start: int
    incarnation: int
    started_at: float
    accusers: set[str]
    due_at: float = math.inf
    # The member was checked once more after the timeout.
    rechecked: bool = False


@dataclass(slots=True)
class Suspicions:
    """Open suspicions by seat. Each lasts `max_ms` with a single accuser and shrinks to `min_ms` once `confirmations`
    more accusers confirm it."""

    confirmations: int = 3
    active: dict[Seat, Suspicion] = field(default_factory=dict)
    _heap: list[tuple[float, Seat]] = field(default_factory=list)

    def add(
        self,
        now: float,
        seat: Seat,
        start: int,
        incarnation: int,
        accusers: set[str],
        min_ms: float,
        max_ms: float,
        members: int,
    ) -> None:
        found = self.active.get(seat)
        if found is None or (found.start, found.incarnation) != (start, incarnation):
            found = self.active[seat] = Suspicion(start, incarnation, now, set())
        found.accusers |= accusers
        # In a group of three only one other member could confirm the suspicion, in a group of two none.
        confirmations = min(self.confirmations, max(0, members - 2))
        confirmed_by = min(len(found.accusers) - 1, confirmations)
        fraction = math.log(confirmed_by + 1) / math.log(confirmations + 1) if confirmations else 1.0
        due_at = found.started_at + max(min_ms, max_ms - (max_ms - min_ms) * fraction)
        if due_at < found.due_at:
            found.due_at = due_at
            heapq.heappush(self._heap, (due_at, seat))

    def clear(self, seat: Seat) -> None:
        self.active.pop(seat, None)

    def shift(self, ms: float) -> None:
        """Postpone all deadlines: time in which this process itself was suspended must not count against others."""
        for found in self.active.values():
            found.started_at += ms
            found.due_at += ms
        self._heap = [(found.due_at, seat) for seat, found in self.active.items()]
        heapq.heapify(self._heap)

    def next_due(self) -> float:
        while self._heap:
            due_at, seat = self._heap[0]
            found = self.active.get(seat)
            if found is not None and found.due_at == due_at:
                return due_at
            heapq.heappop(self._heap)
        return math.inf

    def expired(self, now: float) -> list[tuple[Seat, Suspicion]]:
        due_now = []
        while self.next_due() <= now:
            _, seat = heapq.heappop(self._heap)
            due_now.append((seat, self.active.pop(seat)))
        return due_now

    def recheck_at(self, seat: Seat, suspicion: Suspicion, due_at: float) -> None:
        suspicion.rechecked, suspicion.due_at = True, due_at
        self.active[seat] = suspicion
        heapq.heappush(self._heap, (due_at, seat))
