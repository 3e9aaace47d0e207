"""`python -m sprucespool.node`: one controller, told by its environment."""

import signal
import sys

# Before anything else is read in: until the loop runs, a signal would end the process.
early: list[int] = []
for number in (signal.SIGHUP, signal.SIGTERM):
    signal.signal(number, lambda number, frame: early.append(number))

from sprucespool.node.serve import serve  # noqa: E402

sys.exit(serve(early))
