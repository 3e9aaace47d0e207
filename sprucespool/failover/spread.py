"""How the plan in force reaches all: by a tree of two steps from who leads, and on whatever is said anyway. No I/O.

Messages of the group alone would do, but slowly: at 300 members the last one hears after many periods, and whoever
hears no renewal for long goes by the safe plan.
"""

from __future__ import annotations

import math
import zlib
from collections.abc import Sequence
from dataclasses import dataclass

from sprucespool.failover.council import Renewal


@dataclass(frozen=True, slots=True)
class RenewalDelivery:
    """Tell `renewal` at an address, which tells it on to `pass_on`."""

    to: str
    renewal: Renewal
    pass_on: tuple[str, ...] = ()


@dataclass(slots=True, eq=False)
class Spread:
    """`every`: ms between renewals told to all; a new plan is told at once."""

    seed: int = 1
    interval: float = 2_000.0
    epoch: tuple[int, int] = (0, 0)
    sent_at: float = -math.inf
    draws: int = 0

    def distribute(self, now: float, renewal: Renewal | None, others: Sequence[str]) -> list[RenewalDelivery]:
        """At who leads, as often as it likes."""
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
        """At whoever was told with others to tell: the second step, and the last."""
        return [RenewalDelivery(to, renewal) for to in pass_on]
