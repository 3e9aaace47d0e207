"""Which accusers to trust, judged by this member's own observations. No I/O, no clock.

Guards against a member that receives nothing and suspects everybody, and against one that lies: an accuser of several
members that this one has just received messages from is distrusted for a while and reported in an event.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from sprucespool.membership.rows import Seat


@dataclass(slots=True)
class AccuserTrust:
    """Contradicted accusations by accuser. `distrust_after` contradicted targets within `window_ms` make it distrusted
    for `distrust_ms`."""

    distrust_after: int = 3
    window_ms: float = 30_000.0
    distrust_ms: float = 60_000.0
    _contradictions: dict[str, dict[Seat, float]] = field(default_factory=dict)
    _distrusted_until: dict[str, float] = field(default_factory=dict)

    def contradicted(self, now: float, accuser: str, seat: Seat) -> bool:
        """Record an accusation that own observations contradict; true if the accuser is distrusted from now on."""
        if self.distrusted(now, accuser):
            return False
        contradictions = self._contradictions.setdefault(accuser, {})
        contradictions[seat] = now
        for other, at in list(contradictions.items()):
            if now - at > self.window_ms:
                del contradictions[other]
        if len(self._contradictions) > 256:
            # Names come from messages, so made-up ones must not use up memory.
            self._contradictions.pop(next(iter(self._contradictions)))
        if len(contradictions) < self.distrust_after:
            return False
        self._contradictions.pop(accuser, None)
        self._distrusted_until[accuser] = now + self.distrust_ms
        if len(self._distrusted_until) > 256:
            self._distrusted_until.pop(next(iter(self._distrusted_until)))
        return True

    def distrusted(self, now: float, accuser: str) -> bool:
        return self._distrusted_until.get(accuser, -1.0) > now
