"""One controller's share of common quotas: quotas of tenants, allowances of cold invokers. No I/O, no clock.

The total is divided into `of` slots, one for each controller number. Only the process with that number uses a slot,
except for loans: a process that leaves and will send nothing more lends its slot to some of those that request it, for
`loan` ms. The sum of all shares never exceeds the total, even with lost or late messages, partitions and restarts:

- A borrower counts a loan from the time of its request, which is before the lender granted it. So every loan of a slot
  has expired `loan` ms after its lender ended, however the clocks are set; only their rates must agree (`drift`).
- A process uses its slot only `loan` ms after its own start, which is after its predecessor's end, or earlier once all
  other numbers have confirmed that they hold no loan of it and never will again.
- A borrower gives up a loan at once when it learns of a new process of that number.

This relies on two rules for operators: a controller of a number starts only after the previous one has ended, and all
agree on `of`. If members report a larger `of`, or two report the same number, a share shrinks at once. That limits the
damage but does not guarantee the sum.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

MAX_BORROWERS, MAX_UNCONFIRMED = 8, 32


@dataclass(slots=True, eq=False)
class Loan:
    start: int
    share: float
    expires_at: float


@dataclass(slots=True, eq=False)
class Shares:
    """The share of controller `number` of `of`. Times are in ms of the owner's clock."""

    number: int
    of: int
    start: int
    loan: float = 10_000.0
    drift: float = 0.01
    started_at: float = math.nan
    ready: bool = False
    closed: bool = False
    # Numbers that confirmed that they hold no loan of this slot, and the start of the newest known process by number.
    freed: set[int] = field(default_factory=set)
    newest_starts: dict[int, int] = field(default_factory=dict)
    borrowed: dict[int, Loan] = field(default_factory=dict)
    requested: dict[int, tuple[float, int, int]] = field(default_factory=dict)
    granted: float = 0.0

    def begin(self, now: float) -> None:
        if math.isnan(self.started_at):
            self.started_at = now
        self._advance(now)

    def _advance(self, now: float):
        if not self.ready and (
            self.loan <= 0 or now - self.started_at >= self.loan * (1 + self.drift) or len(self.freed) >= self.of - 1
        ):
            self.ready = True
        for number, loan in list(self.borrowed.items()):
            if now >= loan.expires_at:
                del self.borrowed[number]

    # Requests

    def unconfirmed_numbers(self, present: set[int]) -> set[int]:
        """Numbers among those present that have yet to confirm that they hold no loan of this slot. None if more than
        `MAX_UNCONFIRMED` are missing: a share is then small, and the wait costs less than the burst of messages."""
        if self.ready or self.of - 1 - len(self.freed) > MAX_UNCONFIRMED:
            return set()
        return present - self.freed - {self.number}

    def may_borrow(self, now: float, number: int, start: int, of: int, request: int) -> bool:
        """Whether to request a loan from the leaving member, with the number `request`; the loan counts from now."""
        if (
            self.closed
            or not self.ready
            or self.loan <= 0
            or number == self.number
            or of != self.of
            or not 0 <= number < self.of
            or self.newest_starts.get(number, start) > start
        ):
            return False
        for expired, (at, _, _) in list(self.requested.items()):
            if now - at >= self.loan:
                del self.requested[expired]
        self.requested[request] = now, number, start
        return True

    # Answers

    def grant_loan(self, members: int) -> float:
        """The fraction of the slot lent to one requester; 0 unless this process will send nothing more."""
        borrowers = min(MAX_BORROWERS, max(1, members - 1))
        share = 1.0 / borrowers
        if not self.closed or not self.ready or self.granted + share > 1.0 + 1e-9:
            return 0.0
        self.granted += share
        return share

    @property
    def all_lent(self) -> bool:
        """Whether nothing of the slot remains to be lent."""
        return not self.ready or self.loan <= 0 or self.granted > 1.0 - 1e-9

    def accept_loan(self, now: float, request: int, number: int, start: int, share: float) -> None:
        requested = self.requested.pop(request, None)
        if requested is None or requested[1:] != (number, start) or not 0 < share <= 1 or self.closed:
            return
        until = requested[0] + self.loan
        if now < until and self.newest_starts.get(number, start) <= start:
            self.borrowed[number] = Loan(start, share, until)

    def release(self, number: int, start: int) -> None:
        """Drop any loan of the slot of `number`: its process `start` asks for confirmation that none is held."""
        self.note_process(number, start)

    def confirm_freed(self, now: float, number: int) -> None:
        if number != self.number and 0 <= number < self.of:
            self.freed.add(number)
            self._advance(now)

    def note_process(self, number: int, start: int) -> None:
        """Learn of a process of that number; a loan from an earlier process of the number ends."""
        if number != self.number and start > self.newest_starts.get(number, -1):
            self.newest_starts[number] = start
            loan = self.borrowed.get(number)
            if loan is not None and loan.start < start:
                del self.borrowed[number]
            self.requested = {
                request: one for request, one in self.requested.items() if one[1] != number or one[2] >= start
            }

    def close(self) -> None:
        """This process will send nothing more, so it gives up its slot and its loans."""
        self.closed = True
        self.borrowed.clear()

    # Resulting share

    def share(self, now: float, of: int = 0, same_number: int = 1) -> float:
        """The share of the total, 0 to 1. `of`: the largest reported by a member; `same_number`: how many processes
        report this number."""
        self._advance(now)
        if self.closed:
            return 0.0
        slots = (1.0 if self.ready else 0.0) / max(1, same_number) + sum(loan.share for loan in self.borrowed.values())
        return min(1.0, slots / max(self.of, of))

    def due(self, now: float) -> float:
        """When the share next changes without a message."""
        times = [loan.expires_at for loan in self.borrowed.values()]
        if not self.ready and not math.isnan(self.started_at):
            times.append(self.started_at + self.loan * (1 + self.drift))
        return min((at for at in times if at > now), default=math.inf)
