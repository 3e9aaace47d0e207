"""Measures how late an event loop runs and whether input that arrived during a stall has been read."""

from __future__ import annotations

import asyncio

TIMER_PERIOD_SECONDS = 0.02
LAG_SMOOTHING = 0.3
# If the timer fires later than this, the loop has stalled, and input that arrived meanwhile may still be unread.
STALL_SECONDS = 0.02
# Loop iterations to wait after a stall. The iteration that noticed the stall may have polled before it; reading data,
# then the end of the connection behind that data, takes one iteration each.
ITERATIONS_AFTER_STALL = 3
# Input read within this time after a stall may have waited through it, behind other input or in an accept queue.
AFTER_STALL_SECONDS = 0.05
# Limits for one wait: for a loop that stalls repeatedly, and for a loop that polls quickly again, within QUICK_SECONDS.
# Accepting a connection, reading from it and noticing its end take an iteration each.
MAX_ITERATIONS = 4
MAX_QUICK_ITERATIONS, QUICK_SECONDS = 16, 0.05


class LoopPace:
    """Watches the event loop with a timer. Public durations are in milliseconds, `since` values are loop time (s)."""

    def __init__(self, loop: asyncio.AbstractEventLoop):
        self.loop = loop
        # Smoothed, since a single slow iteration is not congestion.
        self.lag = 0.0
        self._due_at = loop.time() + TIMER_PERIOD_SECONDS
        self._timer = loop.call_at(self._due_at, self._tick)
        self._stall_seconds = 0.0
        self._stall_ended_at = float("-inf")
        self._longest_stall_seconds = 0.0
        # Iterations left until all input that arrived during a stall has been read, and the handle that counts them.
        self._iterations = 0
        self._count_handle: asyncio.Handle | None = None

    def _lateness(self) -> float:
        return max(0.0, self.loop.time() - self._due_at)

    def _tick(self) -> None:
        lateness = self._lateness()
        if lateness > STALL_SECONDS:
            self._note_stall(lateness)
        self.lag += LAG_SMOOTHING * (lateness * 1000.0 - self.lag)
        self._due_at = self.loop.time() + TIMER_PERIOD_SECONDS
        self._timer = self.loop.call_at(self._due_at, self._tick)

    def _note_stall(self, lateness: float) -> None:
        self._restart_count()
        now = self.loop.time()
        self._longest_stall_seconds = max(self._longest_stall_seconds, lateness)
        # Shortly after a long stall, input may still have waited through that one: keep it when a shorter one follows.
        if lateness >= self._stall_seconds or now - self._stall_ended_at >= AFTER_STALL_SECONDS:
            self._stall_seconds, self._stall_ended_at = lateness, now

    def _restart_count(self) -> None:
        """Restart the countdown of loop iterations, which does not depend on how many callers check in each of them."""
        self._iterations = ITERATIONS_AFTER_STALL
        if self._count_handle is None:
            self._count_handle = self.loop.call_soon(self._count_iteration)

    def _count_iteration(self) -> None:
        self._iterations -= 1
        self._count_handle = self.loop.call_soon(self._count_iteration) if self._iterations > 0 else None

    @property
    def stalled(self) -> bool:
        """Whether the loop is stalled at this moment: decisions made in this iteration may be outdated."""
        return self._lateness() > STALL_SECONDS

    def take_longest_stall_ms(self) -> float:
        """The longest stall (ms) since the last call; 0 if there was none."""
        longest, self._longest_stall_seconds = self._longest_stall_seconds, 0.0
        return longest * 1000.0

    def may_wait_more(self, iterations: int, since: float) -> bool:
        """Whether to wait for one more iteration, after `iterations` of them since `since` (loop time, seconds)."""
        return (
            iterations < MAX_ITERATIONS
            or iterations < MAX_QUICK_ITERATIONS
            and self.loop.time() - since < QUICK_SECONDS
        )

    def possible_wait_ms(self) -> float:
        """Upper bound (ms) of how long input that is read now may have waited unread."""
        lateness = self._lateness()
        if lateness <= STALL_SECONDS and self.loop.time() - self._stall_ended_at < AFTER_STALL_SECONDS:
            lateness = self._stall_seconds
        return lateness * 1000.0 if lateness > STALL_SECONDS else 0.0

    def possible_wait_on_connection_ms(self, waited: float) -> float:
        """Like `possible_wait_ms`, for a request on a connection that waited `waited` ms to be accepted.

        If the request may have waited, its client may have disconnected meanwhile. The end of its connection is read
        after the request, so the loop only counts as settled once that end would have been read.
        """
        waited = max(waited, self.possible_wait_ms())
        if waited > 0.0:
            self._restart_count()
        return waited

    def settled(self, since: float) -> bool:
        """Whether something planned at `since` (loop time, seconds) may be done now.

        False after a stall of the loop until it has polled its sockets again.
        """
        now = self.loop.time()
        if now - since > STALL_SECONDS:
            self._note_stall(now - since)
        elif self._lateness() > STALL_SECONDS:
            self._note_stall(self._lateness())
        return self._iterations <= 0

    async def settle(self) -> None:
        """Wait until the sockets have been polled without a stall."""
        started_at, iterations = self.loop.time(), 0
        while self.may_wait_more(iterations, started_at):
            since = self.loop.time()
            await asyncio.sleep(0)
            if self.settled(since):
                return
            iterations += 1

    def close(self) -> None:
        self._timer.cancel()
        if self._count_handle is not None:
            self._count_handle.cancel()
