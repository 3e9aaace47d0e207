"""Controllers that send false reports, to measure the effect on the others; used in virtual time and over sockets."""

from __future__ import annotations

from sprucespool.failover.meter import Meter


class LyingMeter(Meter):
    """Reports a demand of a million cores in its zone, and that the home zone answers nothing."""

    def measure(self, now: float) -> tuple[float, float, float, float, float]:
        return 1e6, 1e6, 0.0, 0.0, 0.0
