"""The library: one complete controller without sockets or a clock.

`Gateway(deployment, seed, port)` takes inputs with their times and calls its port with effects to carry out. The same
inputs always give the same effects, so the daemon, an emulator and a test harness can all drive the same class.
"""

from sprucespool.gateway.core import Counts, Decider, Gateway
from sprucespool.gateway.record import Recorder, ReplayError, replay

__all__ = ["Counts", "Decider", "Gateway", "Recorder", "ReplayError", "replay"]
