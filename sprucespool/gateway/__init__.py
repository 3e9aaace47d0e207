"""The library: one controller's whole life without a socket and without a clock.

`Gateway(deployment, seed, port)` is fed what happened with its time and tells its port what to do. The same inputs
give the same effects, so the daemon, an emulator or a test harness drive the very same object.
"""

from sprucespool.gateway.core import Counts, Decider, Gateway
from sprucespool.gateway.record import Recorder, ReplayError, replay

__all__ = ["Counts", "Decider", "Gateway", "Recorder", "ReplayError", "replay"]
