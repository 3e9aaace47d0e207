"""Whose accusations are worth listening to, going by own evidence. No I/O, no clock.

Against a member that hears nothing and blames everybody, and against one that lies: whoever accuses several members
that this one has just heard from itself is not believed for a while, and is named.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from sprucespool.membership.rows import Seat


@dataclass(slots=True)
class AccuserTrust:
    distrust_after: int = 3
    window_ms: float = 30_000.0
    distrust_ms: float = 60_000.0
    _wrong: dict[str, dict[Seat, float]] = field(default_factory=dict)
    _until: dict[str, float] = field(default_factory=dict)

    def contradicted(self, now: float, accuser: str, seat: Seat) -> bool:
        """Own evidence spoke against an accusation; true if the accuser is distrusted from now on."""
        if self.distrusted(now, accuser):
            return False
        wrong = self._wrong.setdefault(accuser, {})
        wrong[seat] = now
        for other, at in list(wrong.items()):
            if now - at > self.window_ms:
                del wrong[other]
        if len(self._wrong) > 256:
            # Names come from messages: invented ones must not fill the memory.
            self._wrong.pop(next(iter(self._wrong)))
        if len(wrong) < self.distrust_after:
            return False
        self._wrong.pop(accuser, None)
        self._until[accuser] = now + self.distrust_ms
        if len(self._until) > 256:
            self._until.pop(next(iter(self._until)))
        return True

    def distrusted(self, now: float, accuser: str) -> bool:
        return self._until.get(accuser, -1.0) > now
