"""Controllers that lie, to see what it costs the others; played in virtual time and over sockets."""

from __future__ import annotations

from sprucespool.failover.meter import Meter


class LyingMeter(Meter):
    """Its zone is asked a million cores, and home answers nothing."""

    def measure(self, now: float) -> tuple[float, float, float, float, float]:
        return 1e6, 1e6, 0.0, 0.0, 0.0
