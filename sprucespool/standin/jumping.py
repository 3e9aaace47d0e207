"""A controller whose clock can be made to jump: for days in which a machine sleeps and wakes minutes later."""

from __future__ import annotations

import asyncio
import signal

# SIGUSR2 takes its clock so many seconds ahead.
AHEAD = 180.0


class JumpingLoop(asyncio.SelectorEventLoop):
    """All that a controller knows of time is its loop's."""

    def __init__(self) -> None:
        self.ahead = 0.0
        super().__init__()
        self.add_signal_handler(signal.SIGUSR2, self._jump)

    def _jump(self) -> None:
        self.ahead += AHEAD

    def time(self) -> float:
        return super().time() + self.ahead


LOOPS = {"clock-jumps": JumpingLoop}
