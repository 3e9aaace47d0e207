"""One controller's part of what all divide: quotas of tenants, allowances of cold invokers. No I/O, no clock.

The whole is cut into `of` slots, one for each number of a controller. A slot is used by the process that has its number
and by nobody else, but for loans: a process that leaves, and will send nothing more, lends its slot to some that ask,
for `loan` ms. Why the sum of all parts never exceeds the whole, whatever is lost, late, cut or started anew:

- A loan is counted by its borrower from the moment at which it asked, which lies before the lender granted it. So every
  loan of a slot has ended `loan` after its lender ended, whichever way the clocks are set; only their rates must agree
  (`drift`).
- A process uses its slot only `loan` after its own start, which lies after its predecessor's end, or sooner when all
  other numbers have told it that they hold nothing of it and never will again.
- A borrower gives the loan up at once when it hears of a new process of that number.

It stands on what operators keep: a controller of a number starts after the one before it has ended, and all agree on
`of`. Where members tell a larger `of`, or two tell one number, a part shrinks at once; that is a net, no proof.
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
    """`number` of `of`; times in ms of the owner's clock."""

    number: int
    of: int
    start: int
    loan: float = 10_000.0
    drift: float = 0.01
    started_at: float = math.nan
    ready: bool = False
    closed: bool = False
    # Of other numbers: which process holds nothing of this one's slot; the newest process heard of.
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

    # What is asked

    def unconfirmed_numbers(self, present: set[int]) -> set[int]:
        """Numbers among those present that have yet to say that they hold nothing of this slot. Hundreds are not
        asked: with so many a part is small, and the wait for it short beside the storm."""
        if self.ready or self.of - 1 - len(self.freed) > MAX_UNCONFIRMED:
            return set()
        return present - self.freed - {self.number}

    def may_borrow(self, now: float, number: int, start: int, of: int, request: int) -> bool:
        """Whether to ask the leaver for a loan, with the number `asks`; the loan counts from now."""
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
        for old, (at, _, _) in list(self.requested.items()):
            if now - at >= self.loan:
                del self.requested[old]
        self.requested[request] = now, number, start
        return True

    # What is answered

    def grant_loan(self, live: int) -> float:
        """The part of the slot that one who asks may have: only when nothing more will be sent from here."""
        heirs = min(MAX_BORROWERS, max(1, live - 1))
        share = 1.0 / heirs
        if not self.closed or not self.ready or self.granted + share > 1.0 + 1e-9:
            return 0.0
        self.granted += share
        return share

    @property
    def all_lent(self) -> bool:
        """Whether nothing of the slot is left to lend."""
        return not self.ready or self.loan <= 0 or self.granted > 1.0 - 1e-9

    def accept_loan(self, now: float, request: int, number: int, start: int, share: float) -> None:
        asked = self.requested.pop(request, None)
        if asked is None or asked[1:] != (number, start) or not 0 < share <= 1 or self.closed:
            return
        until = asked[0] + self.loan
        if now < until and self.newest_starts.get(number, start) <= start:
            self.borrowed[number] = Loan(start, share, until)

    def release(self, number: int, start: int) -> None:
        """The process `start` of `number` asks whether anything of its slot is held here: from now on nothing is."""
        self.note_process(number, start)

    def confirm_freed(self, now: float, number: int) -> None:
        if number != self.number and 0 <= number < self.of:
            self.freed.add(number)
            self._advance(now)

    def note_process(self, number: int, start: int) -> None:
        """A process of that number is there."""
        if number != self.number and start > self.newest_starts.get(number, -1):
            self.newest_starts[number] = start
            loan = self.borrowed.get(number)
            if loan is not None and loan.start < start:
                del self.borrowed[number]
            self.requested = {
                request: one for request, one in self.requested.items() if one[1] != number or one[2] >= start
            }

    def close(self) -> None:
        """Nothing is sent from here any more: whatever this process held it holds no longer."""
        self.closed = True
        self.borrowed.clear()

    # What it comes to

    def share(self, now: float, of: int = 0, alike: int = 1) -> float:
        """Of the whole, 0 to 1. `of`: the largest told by a member; `alike`: processes that tell this one's number."""
        self._advance(now)
        if self.closed:
            return 0.0
        slots = (1.0 if self.ready else 0.0) / max(1, alike) + sum(loan.share for loan in self.borrowed.values())
        return min(1.0, slots / max(self.of, of))

    def due(self, now: float) -> float:
        """When the part changes by itself."""
        times = [loan.expires_at for loan in self.borrowed.values()]
        if not self.ready and not math.isnan(self.started_at):
            times.append(self.started_at + self.loan * (1 + self.drift))
        return min((at for at in times if at > now), default=math.inf)
