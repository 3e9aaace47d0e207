"""What a controller sees of invokers with its own eyes, from its own forwards. No I/O, no clock."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

# Values of `interface.Outcome`: with these the invoker itself was heard.
HEARD = ("returned", "error", "full", "miss")
FAILURES = 5


@dataclass(slots=True, eq=False)
class Sight:
    """Of one address. `kind`: what is to be said of it, empty while there is nothing."""

    heard: float = -math.inf
    kind: str = ""
    failures: int = 0
    out: dict[int, float] = field(default_factory=dict)


@dataclass(slots=True, eq=False)
class Eyes:
    """`silent_after`: ms without a word, with a forward out, after which an invoker is called silent; longer than a
    load takes."""

    silent_after: float = 2_000.0
    sights: dict[str, Sight] = field(default_factory=dict)
    # Addresses with forwards out, the oldest first.
    waiting: dict[int, tuple[str, float]] = field(default_factory=dict)

    def sent(self, now: float, number: int, address: str) -> None:
        self.sights.setdefault(address, Sight()).out[number] = now
        self.waiting[number] = address, now

    def ended(self, now: float, number: int, outcome: str) -> str | None:
        """The forward ended; gives the address."""
        address, at = self.waiting.pop(number, (None, 0.0))
        if address is None:
            return None
        sight = self.sights[address]
        sight.out.pop(number, None)
        if outcome in HEARD:
            sight.heard = now
            sight.failures = sight.failures + 1 if outcome == "error" else 0
            sight.kind = "failing" if sight.failures >= FAILURES else "well"
        elif outcome == "unconnected":
            sight.kind = "refused"
        elif outcome == "timed out" and sight.heard < at:
            sight.kind = "silent"
        return address

    def look(self, now: float) -> list[str]:
        """Addresses that are silent since now, though something is out there."""
        found = []
        for address, at in self.waiting.values():
            if now - at < self.silent_after:
                break
            sight = self.sights[address]
            if sight.heard < at and sight.kind not in ("silent", "refused"):
                sight.kind = "silent"
                found.append(address)
        return found

    def heard_since(self, address: str, since: float) -> bool:
        sight = self.sights.get(address)
        return sight is not None and sight.heard > since

    def forget(self, address: str) -> None:
        sight = self.sights.get(address)
        if sight is not None and not sight.out:
            del self.sights[address]
