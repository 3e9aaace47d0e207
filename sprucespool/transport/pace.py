"""How late an event loop runs, and whether input that waited through a stall has been read."""

from __future__ import annotations

import asyncio

TIMER_PERIOD = 0.02
SMOOTHING = 0.3
# Behind its own timer by more than this the loop has stalled: what came meanwhile may still be unread.
STALL = 0.02
# Rounds of polling after a stall: data, then the end of the connection behind it, each take one of their own.
ROUNDS_AFTER_STALL = 2
# For so long after a stall what is read may have waited through it, behind other input or in an accept queue.
AFTERMATH = 0.05
# Of one caller's waiting for a loop that stalls again and again.
MOST_ROUNDS = 4


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
        self._rounds = 0

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
        self._rounds = ROUNDS_AFTER_STALL
        self._stalled_for = late
        self._stall_ended = self.loop.time()

    def unread(self) -> float:
        """How long what is read now may have waited unread, at the most."""
        late = self._lateness()
        if late <= STALL and self.loop.time() - self._stall_ended < AFTERMATH:
            late = self._stalled_for
        return late * 1000.0 if late > STALL else 0.0

    def unread_on(self, waited: float) -> float:
        """As `unread`, of a request on a connection that waited so long to be accepted.

        Where it may have waited its client may have left meanwhile: nothing is settled before the end of its
        connection, which is read behind it, would have been.
        """
        waited = max(waited, self.unread())
        if waited > 0.0:
            self._rounds = ROUNDS_AFTER_STALL
        return waited

    def settled(self, since: float) -> bool:
        """Whether something planned at `since` (loop time, seconds) may be done now: False where the loop stalled,
        until it has polled its sockets again."""
        now = self.loop.time()
        if now - since > STALL:
            self._stalled(now - since)
        elif self._lateness() > STALL:
            self._stalled(self._lateness())
        if self._rounds > 0:
            self._rounds -= 1
            return False
        return True

    async def settle(self) -> None:
        """Wait until the sockets were polled without a stall."""
        for _ in range(MOST_ROUNDS):
            since = self.loop.time()
            await asyncio.sleep(0)
            if self.settled(since):
                return

    def close(self) -> None:
        self._timer.cancel()
