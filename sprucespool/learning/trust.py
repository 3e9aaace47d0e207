"""How long a claim is believed: what is left of its keep-alive, less by the way it came and its source's record."""

from __future__ import annotations

from dataclasses import dataclass

# A claim told on is worth half of one that rests on the teller's own answer; told on twice it is worth nothing.
BY_HOPS = {1: 1.0, 2: 0.5}
# What a source begins with, as if so many of its claims had been tried: a liar must show within
# a few loads (five), a source of which 30% is wrong must not be dropped for a bad begin (one in fifty is).
FIRST_RIGHT, FIRST_WRONG = 4.0, 2.0
LEAST_TRUST = 0.4


@dataclass(slots=True)
class SourceRecord:
    """What became of a source's claims once they were used."""

    right: int = 0
    wrong: int = 0

    @property
    def trust(self) -> float:
        """The part of its claims expected to hold (mean of a beta distribution)."""
        return (self.right + FIRST_RIGHT) / (self.right + self.wrong + FIRST_RIGHT + FIRST_WRONG)

    @property
    def believed(self) -> bool:
        return self.trust >= LEAST_TRUST


def claim_lifetime(age: float, hops: int, keep_alive: float, trust: float) -> float:
    """For how many ms a claim may be used; 0: not at all. `age` and `keep_alive` in ms."""
    return max(0.0, keep_alive - age) * BY_HOPS.get(hops, 0.0) * (trust if trust >= LEAST_TRUST else 0.0)
