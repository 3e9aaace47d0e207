"""Decides when to open, use and close connections to one address, without I/O and without a clock."""

from __future__ import annotations

import itertools
import zlib
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class PoolLimits:
    """Limits of a connection pool; times in milliseconds."""

    connections: int = 4
    connect_timeout: float = 250.0
    idle_close: float = 30_000.0
    keepalive: float = 10_000.0
    keepalive_timeout: float = 5_000.0
    initial_backoff: float = 50.0
    max_backoff: float = 3_000.0
    # Calls that may wait for a connection being opened; further ones fail immediately as unconnected.
    waiting: int = 1000
    # Local address that connections are made from; empty: chosen by the system.
    source: str = ""


class Backoff:
    """Jittered exponential pauses between connection attempts, like gRPC's connection backoff.

    The jitter is decorrelated, so that controllers that lost an invoker at the same time do not reconnect at the same
    time.
    """

    def __init__(self, limits: PoolLimits, seed: int):
        self.limits, self.seed, self.counter = limits, seed, itertools.count()
        self.pause, self.ends_at = 0.0, 0.0

    def failed(self, now: float) -> None:
        chance = zlib.crc32(b"%d:%d" % (self.seed, next(self.counter))) / 2**32
        initial, maximum = self.limits.initial_backoff, self.limits.max_backoff
        self.pause = min(maximum, initial + chance * max(0.0, 3 * max(self.pause, initial) - initial))
        self.ends_at = now + self.pause

    def succeeded(self) -> None:
        self.pause, self.ends_at = 0.0, 0.0

    def active(self, now: float) -> bool:
        return now < self.ends_at


@dataclass(slots=True, eq=False)
class Slot:
    """State of one connection that the plan depends on.

    `room` is how many more calls the peer accepts. `write_blocked`: the system accepts no more bytes for now.
    `closing`: the peer closes the connection once the calls on it have ended.
    """

    ready: bool = False
    room: int = 0
    open_calls: int = 0
    idle_since: float = 0.0
    last_received_at: float = 0.0
    pinged_at: float | None = None
    write_blocked: bool = False
    closing: bool = False


class PoolPlan:
    """Decides what to do with the connections, for one call or for one periodic check."""

    def __init__(self, limits: PoolLimits, seed: int):
        self.limits = limits
        self.backoff = Backoff(limits, seed)
        self.slots: list[Slot] = []

    def place(self, now: float, waiting: int) -> tuple[Slot | None, bool, str]:
        """Place a call with `waiting` calls before it: (connection to use, whether to open one, reason for failure).

        Without a connection and without a reason, the call waits for a connection that is being opened.
        """
        usable = [slot for slot in self.slots if slot.ready and slot.room > 0 and not slot.write_blocked]
        if usable:
            return min(usable, key=lambda slot: slot.open_calls), False, ""
        remaining = [slot for slot in self.slots if not slot.closing]
        opening = sum(not slot.ready for slot in remaining)
        if not opening and self.backoff.active(now):
            return None, False, "not tried again yet after a failed connection"
        if waiting >= self.limits.waiting:
            return None, False, "too many calls wait for a connection"
        # A connection whose writes are blocked accepts calls again once its peer reads: calls wait for it.
        full = sum(slot.ready and not (slot.write_blocked and slot.room > 0) for slot in remaining)
        if full >= self.limits.connections and not opening:
            return None, False, "all connections are full"
        # Open one connection at a time: a burst must not open a connection for each of its calls.
        return None, not opening and len(remaining) < self.limits.connections, ""

    def check(self, now: float) -> tuple[list[Slot], list[Slot], list[Slot]]:
        """Return the connections (to close as idle, to ping, to drop because a ping was not answered)."""
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
