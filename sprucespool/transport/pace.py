"""How late an event loop runs, and whether input that waited through a stall has been read."""

from __future__ import annotations

import asyncio

TIMER_PERIOD = 0.02
SMOOTHING = 0.3
# Behind its own timer by more than this the loop has stalled: what came meanwhile may still be unread.
STALL = 0.02
# Rounds of the loop after a stall: that in which it was noticed may have polled before it; data, then the end of the
# connection behind it, each take one of their own.
ROUNDS_AFTER_STALL = 3
# For so long after a stall what is read may have waited through it, behind other input or in an accept queue.
AFTERMATH = 0.05
# Of one caller's waiting for a loop that stalls again and again; of that for one that has gone on and polls quickly,
# within so many seconds: accepting a connection, reading from it and hearing of its end take rounds of their own.
MOST_ROUNDS = 4
MOST_QUICK_ROUNDS, QUICK = 16, 0.05


class LoopPace:
    """Watches the running loop by a timer of its own. Times are milliseconds."""

    def __init__(self, loop: asyncio.AbstractEventLoop):
        self.loop = loop
        # Smoothed, since one slow turn is no jam.
        self.lag = 0.0
        self._due = loop.time() + TIMER_PERIOD
        self._timer = loop.call_at(self._due, self._tick)
        self._stalled_for = 0.0
        self._stall_ended = float("-inf")
        # Rounds until all that came during a stall has been read, and whether they are being counted.
        self._rounds = 0
        self._counter: asyncio.Handle | None = None

    def _lateness(self) -> float:
        return max(0.0, self.loop.time() - self._due)

    def _tick(self) -> None:
        late = self._lateness()
        if late > STALL:
            self._stalled(late)
        self.lag += SMOOTHING * (late * 1000.0 - self.lag)
        self._due = self.loop.time() + TIMER_PERIOD
        self._timer = self.loop.call_at(self._due, self._tick)

    def _stalled(self, late: float) -> None:
        self._unsettle()
        now = self.loop.time()
        # A short one just after a long one: what is read may still have waited through the long one.
        if late >= self._stalled_for or now - self._stall_ended >= AFTERMATH:
            self._stalled_for, self._stall_ended = late, now

    def _unsettle(self) -> None:
        """Count rounds of the loop itself: several may wait for them, and ask in each."""
        self._rounds = ROUNDS_AFTER_STALL
        if self._counter is None:
            self._counter = self.loop.call_soon(self._count_round)

    def _count_round(self) -> None:
        self._rounds -= 1
        self._counter = self.loop.call_soon(self._count_round) if self._rounds > 0 else None

    @property
    def stalled(self) -> bool:
        """Whether the loop stands still at this moment: what was decided in this turn may be old."""
        return self._lateness() > STALL

    def may_wait_more(self, rounds: int, since: float) -> bool:
        """Whether one more round may be waited for, after so many since `since` (loop time, seconds)."""
        return rounds < MOST_ROUNDS or rounds < MOST_QUICK_ROUNDS and self.loop.time() - since < QUICK

    def possible_wait_ms(self) -> float:
        """How long what is read now may have waited unread, at the most."""
        late = self._lateness()
        if late <= STALL and self.loop.time() - self._stall_ended < AFTERMATH:
            late = self._stalled_for
        return late * 1000.0 if late > STALL else 0.0

    def possible_wait_on_connection_ms(self, waited: float) -> float:
        """As `unread`, of a request on a connection that waited so long to be accepted.

        Where it may have waited its client may have left meanwhile: nothing is settled before the end of its
        connection, which is read behind it, would have been.
        """
        waited = max(waited, self.possible_wait_ms())
        if waited > 0.0:
            self._unsettle()
        return waited

    def settled(self, since: float) -> bool:
        """Whether something planned at `since` (loop time, seconds) may be done now: False where the loop stalled,
        until it has polled its sockets again."""
        now = self.loop.time()
        if now - since > STALL:
            self._stalled(now - since)
        elif self._lateness() > STALL:
            self._stalled(self._lateness())
        return self._rounds <= 0

    async def settle(self) -> None:
        """Wait until the sockets were polled without a stall."""
        began, rounds = self.loop.time(), 0
        while self.may_wait_more(rounds, began):
            since = self.loop.time()
            await asyncio.sleep(0)
            if self.settled(since):
                return
            rounds += 1

    def close(self) -> None:
        self._timer.cancel()
        if self._counter is not None:
            self._counter.cancel()
