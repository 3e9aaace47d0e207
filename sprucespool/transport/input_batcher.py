"""One turn of the loop around a gateway, the same for every server: inputs together, one wake-up."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from sprucespool.gateway import messages as ms
from sprucespool.transport.pace import LoopPace

# Against sending to an endpoint that drains, or for a client that left, because of the order in which sockets were
# read: of what came in one turn, changes of the fleet count first, then clients that left.
FIRST_INPUTS: dict[type, int] = {ms.Roster: 0, ms.DiscoveryHeard: 1, ms.Left: 2}
OTHER_INPUTS = 3


class InputBatcher:
    """`take` gets what was told within one turn, with its time; `after` is called when it was taken."""

    def __init__(self, on_batch: Callable[[float, list[ms.Input]], None], after_batch: Callable[[], None]):
        self.on_batch, self.after_batch = on_batch, after_batch
        self.loop = asyncio.get_running_loop()
        self.pace = LoopPace(self.loop)
        self.inputs: list[ms.Input] = []
        self.scheduled, self.closed = False, False
        self.wake: asyncio.TimerHandle | None = None
        # When the batch was planned, and how often and since when it was put off.
        self._planned_at, self._postponed, self._postponed_since = 0.0, 0, 0.0

    @property
    def lag(self) -> float:
        """How late the loop runs, smoothed."""
        return self.pace.lag

    def now(self) -> float:
        return self.loop.time() * 1000.0

    def add(self, given: ms.Input) -> None:
        """Inputs of one turn of the loop go in together: the module looks at what waits once a batch."""
        if self.closed:
            return
        self.inputs.append(given)
        if not self.scheduled:
            self.scheduled, self._postponed = True, 0
            self._plan()

    def _plan(self) -> None:
        self._planned_at = self.loop.time()
        self.loop.call_soon(self._run)

    def _run(self) -> None:
        """After a stall the decisions wait for what came meanwhile: cancellations, drains, answers."""
        if not self._postponed:
            self._postponed_since = self.loop.time()
        patient = self.pace.may_wait_more(self._postponed, self._postponed_since)
        if not self.closed and patient and not self.pace.settled(self._planned_at):
            self._postponed += 1
            self._plan()
        else:
            self.flush()

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
        inputs.sort(key=lambda given: FIRST_INPUTS.get(type(given), OTHER_INPUTS))
        self.on_batch(self.now(), inputs)
        self.after_batch()

    def wake_at(self, at: float) -> None:
        if self.wake is not None:
            self.wake.cancel()
        self.wake = self.loop.call_at(at / 1000.0, self._woke)

    def _woke(self):
        self.wake = None
        self.add(ms.Woke())

    def close(self) -> None:
        self.closed = True
        self.pace.close()
        if self.wake is not None:
            self.wake.cancel()
