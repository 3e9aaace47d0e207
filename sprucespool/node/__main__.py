"""`python -m sprucespool.node`: runs one controller, configured by environment variables."""

import signal
import sys

# Installed before the other imports: until the event loop runs, these signals would end the process.
early_signals: list[int] = []
for number in (signal.SIGHUP, signal.SIGTERM):
    signal.signal(number, lambda number, frame: early_signals.append(number))

from sprucespool.node.serve import serve  # noqa: E402

sys.exit(serve(early_signals))
