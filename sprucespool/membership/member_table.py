"""The bounded table of all rows known to a member, with marks by bucket for comparison and events for its changes."""

from __future__ import annotations

import zlib
from dataclasses import dataclass, field, replace

from sprucespool.membership.messages import Event
from sprucespool.membership.rows import MAX_ACCUSERS, Row, Seat, State, mark, merge, seal_of, visible_mark

BUCKETS = 32
# An owner raises its incarnation by one each time it is accused, so honest updates are never far ahead of the table.
MAX_INCARNATION_STEP, MAX_INCARNATION, MAX_VERSION_STEP = 64, 2**40, 2**20


def bucket_of(seat: Seat) -> int:
    return zlib.crc32(f"{seat[0]}@{seat[1]}".encode()) % BUCKETS


@dataclass(slots=True, eq=False)
class MemberRecord:
    row: Row
    mark: int
    # When its state last changed in this table.
    state_since: float
    # When a message of its own, or an ack for it through a helper, arrived last.
    last_received_at: float
    # The same, or when a suspicion of it was cleared.
    last_known_at: float


@dataclass(slots=True)
class MemberTable:
    """`me` is this member's own row and is not among `records`."""

    me: Row
    max_present: int = 4_000
    max_gone: int = 1_024
    forget_after: float = 600_000.0
    records: dict[Seat, MemberRecord] = field(default_factory=dict)
    present: dict[Seat, MemberRecord] = field(default_factory=dict)
    # In the order in which they ended, the earliest first.
    gone: dict[Seat, MemberRecord] = field(default_factory=dict)
    marks: list[int] = field(default_factory=lambda: [0] * BUCKETS)
    by_bucket: list[dict[Seat, MemberRecord]] = field(default_factory=lambda: [{} for _ in range(BUCKETS)])
    digest: int = 0
    epoch: int = 0
    events: list[Event] = field(default_factory=list)
    # Seats by name, to notice two members with the same name.
    names: dict[str, set[Seat]] = field(default_factory=dict)

    def __post_init__(self):
        self._toggle_marks(self.me)

    def _toggle_marks(self, row: Row):
        self.marks[bucket_of(row.seat)] ^= mark(row)
        if row.present:
            self.digest ^= visible_mark(row)

    def set_me(self, row: Row) -> None:
        self._toggle_marks(self.me)
        self.me = row
        self._toggle_marks(row)

    def event(self, now: float, kind: str, row: Row | None = None, by: tuple[str, ...] = (), why: str = "") -> None:
        self.epoch += 1
        self.events.append(Event(kind, now, self.epoch, row, by, why))

    def refusal(self, row: Row) -> str:
        """Why a row cannot be an honest report; empty if it can. The texts are counted in the view, so they stay."""
        found = self.records.get(row.seat)
        same_process = found is not None and found.row.start == row.start
        if row.version > MAX_VERSION_STEP + (found.row.version if found is not None and same_process else 0):
            return "a version that leaps"
        if row.figures_version > MAX_VERSION_STEP + (
            found.row.figures_version if found is not None and same_process else 0
        ):
            return "a beat that leaps"
        if row.state is State.ALIVE:
            # A large step does no harm, as accusations are checked against the table. Refuse impossible values only.
            return "an incarnation out of bounds" if row.incarnation > MAX_INCARNATION else ""
        if found is None or not same_process:
            return "an incarnation out of bounds" if row.incarnation > MAX_INCARNATION_STEP * 64 else ""
        if row.incarnation > found.row.incarnation + MAX_INCARNATION_STEP:
            return "an incarnation that leaps"
        if row.state is State.LEFT and found.row.state is not State.LEFT and seal_of(row.seal) != found.row.seal:
            return "a leave that its owner did not say"
        return ""

    def learn(self, now: float, row: Row) -> tuple[Row | None, Row | None]:
        """Merge a row: (the row before, the row now); the same object twice if nothing changed."""
        found = self.records.get(row.seat)
        if found is None:
            if row.present and len(self.present) >= self.max_present:
                return None, None
            self._add(now, row)
            return None, row
        new = merge(found.row, row)
        old = found.row
        if new is old or new == old:
            return old, old
        self._toggle_marks(old)
        if old.state is not new.state or old.start != new.start:
            found.state_since = now
        if new.start != old.start:
            found.last_received_at = found.last_known_at = now
        found.row, found.mark = new, mark(new)
        self._toggle_marks(new)
        self._index(found, old.present)
        self._record_events(now, old, new)
        return old, new

    def _add(self, now: float, row: Row):
        found = MemberRecord(row, mark(row), now, now, now)
        self.records[row.seat] = found
        self.by_bucket[bucket_of(row.seat)][row.seat] = found
        self._toggle_marks(row)
        self._index(found, not row.present)
        if row.present:
            self.event(now, "joined", row)
            if row.state is State.SUSPECT:
                self.event(now, "suspected", row, row.accusers)

    def _index(self, found: MemberRecord, was_present: bool):
        row = found.row
        if row.present and row.seat not in self.present:
            self.present[row.seat] = found
            self.gone.pop(row.seat, None)
            seats = self.names.setdefault(row.name, set())
            seats.add(row.seat)
            if len(seats) > 1 or row.name == self.me.name:
                self.event(
                    found.state_since,
                    "twin",
                    row,
                    tuple(sorted(address for _, address in seats)),
                    f"the name {row.name!r} is used at more than one address",
                )
        elif not row.present and row.seat not in self.gone:
            if self.present.pop(row.seat, None) is not None:
                self.names[row.name].discard(row.seat)
                if not self.names[row.name]:
                    del self.names[row.name]
            self.gone[row.seat] = found
            if len(self.gone) > self.max_gone:
                self.forget(next(iter(self.gone)))

    def _record_events(self, now: float, old: Row, new: Row):
        if new.start != old.start:
            self.event(now, "restarted" if old.present else "joined", new)
        elif not old.present and new.present:
            self.event(now, "joined", new)
        elif new.state is not old.state and new.present:
            if new.state is State.SUSPECT:
                self.event(now, "suspected", new, new.accusers)
            else:
                self.event(now, "cleared", new, old.accusers)
        elif old.present and not new.present:
            self.event(now, "left" if new.state is State.LEFT else "died", new, new.accusers)
        if new.present and old.present and new.start == old.start and new.version != old.version:
            self.event(now, "changed", new)

    def forget(self, seat: Seat) -> None:
        found = self.records.pop(seat)
        self.gone.pop(seat, None)
        self._toggle_marks(found.row)
        del self.by_bucket[bucket_of(seat)][seat]

    def sweep(self, now: float) -> None:
        """Forget members that ended long ago; `gone` is in the order in which they ended."""
        for seat, found in list(self.gone.items()):
            if now - found.state_since < self.forget_after:
                break
            self.forget(seat)

    def rows_in(self, buckets: tuple[int, ...]) -> list[Row]:
        rows = [found.row for bucket in buckets for found in self.by_bucket[bucket].values()]
        return rows + [self.me] * (bucket_of(self.me.seat) in buckets)

    def row(self, seat: Seat) -> Row | None:
        if seat == self.me.seat:
            return self.me
        found = self.records.get(seat)
        return found.row if found else None

    def suspected(self, seat: Seat, accuser: str) -> Row:
        """The row with which `accuser` reports that the seat is silent."""
        row = self.records[seat].row
        accusers = row.accusers if row.state is State.SUSPECT else ()
        return replace(row, state=State.SUSPECT, accusers=tuple(sorted({*accusers, accuser})[:MAX_ACCUSERS]))
