"""Collects the inputs of one event loop iteration into a batch for a gateway, and keeps its wake-up timer."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from sprucespool.gateway import messages as ms
from sprucespool.transport.pace import LoopPace

# Order of inputs within a batch: first changes of the fleet, then disconnected clients. Otherwise the order in which
# sockets were read could cause a send to a draining endpoint or for a client that has left.
INPUT_PRIORITY: dict[type, int] = {ms.Roster: 0, ms.DiscoveryHeard: 1, ms.Left: 2}
DEFAULT_PRIORITY = 3


class InputBatcher:
    """Calls `on_batch(now, inputs)` with the inputs of one loop iteration, then `after_batch()`."""

    def __init__(self, on_batch: Callable[[float, list[ms.Input]], None], after_batch: Callable[[], None]):
        self.on_batch, self.after_batch = on_batch, after_batch
        self.loop = asyncio.get_running_loop()
        self.pace = LoopPace(self.loop)
        self.inputs: list[ms.Input] = []
        self.scheduled, self.closed = False, False
        self.wake_timer: asyncio.TimerHandle | None = None
        # When the batch was scheduled, how often it was postponed and since when.
        self._scheduled_at, self._postponed, self._postponed_since = 0.0, 0, 0.0

    @property
    def lag(self) -> float:
        """How late the loop runs (ms), smoothed."""
        return self.pace.lag

    def now(self) -> float:
        return self.loop.time() * 1000.0

    def add(self, item: ms.Input) -> None:
        """Add an input to the batch of this loop iteration; the policy module decides once per batch."""
        if self.closed:
            return
        self.inputs.append(item)
        if not self.scheduled:
            self.scheduled, self._postponed = True, 0
            self._schedule()

    def _schedule(self) -> None:
        self._scheduled_at = self.loop.time()
        self.loop.call_soon(self._run)

    def _run(self) -> None:
        """Run the batch; after a stall, first wait for pending input such as cancellations, drains and answers."""
        if not self._postponed:
            self._postponed_since = self.loop.time()
        may_postpone = self.pace.may_wait_more(self._postponed, self._postponed_since)
        if not self.closed and may_postpone and not self.pace.settled(self._scheduled_at):
            self._postponed += 1
            self._schedule()
        else:
            self.flush()

    def withdraw(self, item: ms.Input) -> bool:
        """Remove an input from the current batch; False if it has been handed over already."""
        for index in range(len(self.inputs) - 1, -1, -1):
            if self.inputs[index] is item:
                del self.inputs[index]
                return True
        return False

    def flush(self) -> None:
        """Hand over the inputs collected so far."""
        self.scheduled = False
        if self.closed:
            return
        inputs, self.inputs = self.inputs, []
        inputs.sort(key=lambda item: INPUT_PRIORITY.get(type(item), DEFAULT_PRIORITY))
        self.on_batch(self.now(), inputs)
        self.after_batch()

    def wake_at(self, at: float) -> None:
        if self.wake_timer is not None:
            self.wake_timer.cancel()
        self.wake_timer = self.loop.call_at(at / 1000.0, self._on_wake)

    def _on_wake(self):
        self.wake_timer = None
        self.add(ms.Woke())

    def close(self) -> None:
        self.closed = True
        self.pace.close()
        if self.wake_timer is not None:
            self.wake_timer.cancel()
