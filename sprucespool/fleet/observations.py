"""What a controller observes of invokers through its own forwards. No I/O and no clock."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

# Values of `interface.Outcome` that prove a reply from the invoker itself.
REPLY_OUTCOMES = ("returned", "error", "full", "miss")
FAILING_AFTER_ERRORS = 5


@dataclass(slots=True, eq=False)
class InvokerObservation:
    """Observation of one address. `kind`: the kind of opinion it supports; empty while there is none."""

    last_reply_at: float = -math.inf
    kind: str = ""
    failures: int = 0
    in_flight: dict[int, float] = field(default_factory=dict)


@dataclass(slots=True, eq=False)
class Observations:
    """`silent_after`: ms without a reply to a forward in flight after which an invoker counts as silent. It must be
    longer than loading a model takes."""

    silent_after: float = 2_000.0
    by_address: dict[str, InvokerObservation] = field(default_factory=dict)
    # Forwards in flight by number, oldest first: address and time sent.
    in_flight: dict[int, tuple[str, float]] = field(default_factory=dict)

    def sent(self, now: float, number: int, address: str) -> None:
        self.by_address.setdefault(address, InvokerObservation()).in_flight[number] = now
        self.in_flight[number] = address, now

    def ended(self, now: float, number: int, outcome: str) -> str | None:
        """Records the outcome of a forward. Returns its address, or None if the forward is unknown."""
        address, at = self.in_flight.pop(number, (None, 0.0))
        if address is None:
            return None
        observation = self.by_address[address]
        observation.in_flight.pop(number, None)
        if outcome in REPLY_OUTCOMES:
            observation.last_reply_at = now
            observation.failures = observation.failures + 1 if outcome == "error" else 0
            observation.kind = "failing" if observation.failures >= FAILING_AFTER_ERRORS else "well"
        elif outcome == "unconnected":
            observation.kind = "refused"
        elif outcome == "timed out" and observation.last_reply_at < at:
            observation.kind = "silent"
        return address

    def find_silent(self, now: float) -> list[str]:
        """Returns the addresses with forwards in flight that have just become silent."""
        found = []
        for address, at in self.in_flight.values():
            if now - at < self.silent_after:
                break
            observation = self.by_address[address]
            if observation.last_reply_at < at and observation.kind not in ("silent", "refused"):
                observation.kind = "silent"
                found.append(address)
        return found

    def replied_since(self, address: str, since: float) -> bool:
        observation = self.by_address.get(address)
        return observation is not None and observation.last_reply_at > since

    def forget(self, address: str) -> None:
        observation = self.by_address.get(address)
        if observation is not None and not observation.in_flight:
            del self.by_address[address]
