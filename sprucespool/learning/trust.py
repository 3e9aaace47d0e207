"""For how long a claim is trusted: the rest of its keep-alive, reduced by its hops and by its source's record."""

from __future__ import annotations

from dataclasses import dataclass

# A claim that was passed on once counts half as much as one from a response that the sender itself received; a claim
# that was passed on twice is ignored.
WEIGHT_BY_HOPS = {1: 1.0, 2: 0.5}
# A source starts as if this many of its claims had been tested: a source that only sends wrong claims must be detected
# within a few loads (five), and one with 30% wrong claims must not be dropped for a bad start (one in fifty is).
PRIOR_RIGHT, PRIOR_WRONG = 4.0, 2.0
MIN_TRUST = 0.4


@dataclass(slots=True)
class SourceRecord:
    """How many of a source's claims proved right and wrong when they were used."""

    right: int = 0
    wrong: int = 0

    @property
    def trust(self) -> float:
        """The expected fraction of correct claims (mean of a beta distribution)."""
        return (self.right + PRIOR_RIGHT) / (self.right + self.wrong + PRIOR_RIGHT + PRIOR_WRONG)

    @property
    def believed(self) -> bool:
        return self.trust >= MIN_TRUST


def claim_lifetime(age: float, hops: int, keep_alive: float, trust: float) -> float:
    """For how many ms a claim may be used; 0 if not at all. `age` and `keep_alive` are in ms."""
    return max(0.0, keep_alive - age) * WEIGHT_BY_HOPS.get(hops, 0.0) * (trust if trust >= MIN_TRUST else 0.0)
