"""One turn of the loop around a gateway, the same at every door: inputs together, one wake-up, how late it runs."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from sprucespool.gateway import messages as ms

LAG_EVERY = 0.02


class Turn:
    """`take` gets what was told within one turn, with its time; `after` is called when it was taken."""

    def __init__(self, take: Callable[[float, list[ms.Input]], None], after: Callable[[], None]):
        self.take, self.after = take, after
        self.loop = asyncio.get_running_loop()
        self.inputs: list[ms.Input] = []
        self.scheduled, self.closed = False, False
        self.wake: asyncio.TimerHandle | None = None
        # How late the loop runs, as a timer of its own sees it; smoothed, since one slow turn is no jam.
        self.lag = 0.0
        self.lag_due = self.loop.time() + LAG_EVERY
        self.lag_timer = self.loop.call_at(self.lag_due, self._lag)

    def now(self) -> float:
        return self.loop.time() * 1000.0

    def tell(self, given: ms.Input) -> None:
        """Inputs of one turn of the loop go in together: the module looks at what waits once a batch."""
        if self.closed:
            return
        self.inputs.append(given)
        if not self.scheduled:
            self.scheduled = True
            self.loop.call_soon(self.flush)

    def withdraw(self, given: ms.Input) -> bool:
        """Take back what was told in this very turn; False where it went in already."""
        for place in range(len(self.inputs) - 1, -1, -1):
            if self.inputs[place] is given:
                del self.inputs[place]
                return True
        return False

    def flush(self) -> None:
        """Hand over what was told so far."""
        self.scheduled = False
        if self.closed:
            return
        inputs, self.inputs = self.inputs, []
        self.take(self.now(), inputs)
        self.after()

    def wake_at(self, at: float) -> None:
        if self.wake is not None:
            self.wake.cancel()
        self.wake = self.loop.call_at(at / 1000.0, self._woke)

    def _woke(self):
        self.wake = None
        self.tell(ms.Woke())

    def _lag(self):
        now = self.loop.time()
        self.lag += 0.3 * (max(0.0, now - self.lag_due) * 1000.0 - self.lag)
        self.lag_due = now + LAG_EVERY
        self.lag_timer = self.loop.call_at(self.lag_due, self._lag)

    def close(self) -> None:
        self.closed = True
        self.lag_timer.cancel()
        if self.wake is not None:
            self.wake.cancel()
