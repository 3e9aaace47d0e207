"""Distributes the plan in force to all controllers, over a tree of two levels from the leader. No I/O.

The plan also travels with every message of the group. That alone would be too slow: among 300 members the last one
would receive it after many periods, and a controller without renewals falls back to the fallback plan.
"""

from __future__ import annotations

import math
import zlib
from collections.abc import Sequence
from dataclasses import dataclass

from sprucespool.failover.council import Renewal


@dataclass(frozen=True, slots=True)
class RenewalDelivery:
    """Send `renewal` to an address, whose controller forwards it to `pass_on`."""

    to: str
    renewal: Renewal
    pass_on: tuple[str, ...] = ()


@dataclass(slots=True, eq=False)
class Spread:
    """`interval`: ms between renewals; a new plan is sent at once."""

    seed: int = 1
    interval: float = 2_000.0
    epoch: tuple[int, int] = (0, 0)
    sent_at: float = -math.inf
    draws: int = 0

    def distribute(self, now: float, renewal: Renewal | None, others: Sequence[str]) -> list[RenewalDelivery]:
        """Called by the leader, at any rate: the deliveries that are due now."""
        if renewal is None or renewal.plan.epoch == self.epoch and now - self.sent_at < self.interval:
            return []
        self.epoch, self.sent_at = renewal.plan.epoch, now
        addresses = sorted(others)
        for index in range(len(addresses) - 1, 0, -1):
            self.draws += 1
            other = zlib.crc32(b"%d:%d" % (self.seed, self.draws)) % (index + 1)
            addresses[index], addresses[other] = addresses[other], addresses[index]
        relays = math.ceil(math.sqrt(len(addresses)))
        return [RenewalDelivery(addresses[n], renewal, tuple(addresses[relays + n :: relays])) for n in range(relays)]

    @staticmethod
    def relay(renewal: Renewal, pass_on: Sequence[str]) -> list[RenewalDelivery]:
        """At a controller that received `pass_on`: the second level of the tree, which is the last."""
        return [RenewalDelivery(to, renewal) for to in pass_on]
