"""An event loop whose clock can jump, to simulate a machine that sleeps and wakes minutes later."""

from __future__ import annotations

import asyncio
import signal

# SIGUSR2 moves the clock ahead by this much.
JUMP_SECONDS = 180.0


class JumpingLoop(asyncio.SelectorEventLoop):
    """An event loop with an adjustable clock. A controller reads the time only from its loop."""

    def __init__(self) -> None:
        self.offset = 0.0
        super().__init__()
        self.add_signal_handler(signal.SIGUSR2, self._jump)

    def _jump(self) -> None:
        self.offset += JUMP_SECONDS

    def time(self) -> float:
        return super().time() + self.offset


LOOPS = {"clock-jumps": JumpingLoop}
