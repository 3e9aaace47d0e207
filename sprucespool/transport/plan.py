"""When to open, use and close connections to one invoker. Decides on what it is told; no I/O, no clock."""

from __future__ import annotations

import itertools
import zlib
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class PoolLimits:
    """Times in milliseconds."""

    connections: int = 4
    connect_timeout: float = 250.0
    idle_close: float = 30_000.0
    keepalive: float = 10_000.0
    keepalive_timeout: float = 5_000.0
    initial_backoff: float = 50.0
    max_backoff: float = 3_000.0
    # Calls that may wait for a connection being opened; more are unconnected at once.
    waiting: int = 1000
    # The own address that connections are made from; empty: the system's choice.
    source: str = ""


class Backoff:
    """Jittered exponential pauses between attempts to connect (as gRPC's connection back-off, with decorrelated
    jitter so that controllers that lost an invoker together do not come back together)."""

    def __init__(self, limits: PoolLimits, seed: int):
        self.limits, self.seed, self.counter = limits, seed, itertools.count()
        self.pause, self.until = 0.0, 0.0

    def failed(self, now: float) -> None:
        chance = zlib.crc32(b"%d:%d" % (self.seed, next(self.counter))) / 2**32
        first, last = self.limits.initial_backoff, self.limits.max_backoff
        self.pause = min(last, first + chance * max(0.0, 3 * max(self.pause, first) - first))
        self.until = now + self.pause

    def succeeded(self) -> None:
        self.pause, self.until = 0.0, 0.0

    def active(self, now: float) -> bool:
        return now < self.until


@dataclass(slots=True, eq=False)
class Slot:
    """One connection as the plan sees it. `room` is how many more calls its peer takes; `held`: the system takes
    nothing more to be written on it for now; `leaving`: its peer ends it once the calls on it are over."""

    ready: bool = False
    room: int = 0
    open_calls: int = 0
    idle_since: float = 0.0
    last_received_at: float = 0.0
    pinged_at: float | None = None
    write_blocked: bool = False
    closing: bool = False


class PoolPlan:
    """Answers, for one call or one look round, what is to be done with the connections."""

    def __init__(self, limits: PoolLimits, seed: int):
        self.limits = limits
        self.backoff = Backoff(limits, seed)
        self.slots: list[Slot] = []

    def place(self, now: float, waiting: int) -> tuple[Slot | None, bool, str]:
        """For one more call with `waiting` before it: (connection to use, whether to open one, why not at all).

        None and no reason: it waits for a connection that is being opened.
        """
        open_to = [slot for slot in self.slots if slot.ready and slot.room > 0 and not slot.write_blocked]
        if open_to:
            return min(open_to, key=lambda slot: slot.open_calls), False, ""
        lasting = [slot for slot in self.slots if not slot.closing]
        opening = sum(not slot.ready for slot in lasting)
        if not opening and self.backoff.active(now):
            return None, False, "not tried again yet after a failed connection"
        if waiting >= self.limits.waiting:
            return None, False, "too many calls wait for a connection"
        # One that is held takes calls again when its peer reads: they wait for it.
        full = sum(slot.ready and not (slot.write_blocked and slot.room > 0) for slot in lasting)
        if full >= self.limits.connections and not opening:
            return None, False, "all connections are full"
        # One at a time: a burst must not open a connection for each of its calls.
        return None, not opening and len(lasting) < self.limits.connections, ""

    def check(self, now: float) -> tuple[list[Slot], list[Slot], list[Slot]]:
        """(to close as idle, to ping, to give up since a ping was not answered)."""
        idle, ping, dead = [], [], []
        for slot in self.slots:
            if not slot.ready:
                continue
            if slot.pinged_at is not None and slot.last_received_at < slot.pinged_at:
                if now - slot.pinged_at >= self.limits.keepalive_timeout:
                    dead.append(slot)
            elif not slot.open_calls and now - slot.idle_since >= self.limits.idle_close:
                idle.append(slot)
            elif slot.open_calls and now - slot.last_received_at >= self.limits.keepalive:
                ping.append(slot)
        return idle, ping, dead
