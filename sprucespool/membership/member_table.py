"""All rows a member holds: bounded, with marks by bucket for comparing, and the events that changes make."""

from __future__ import annotations

import zlib
from dataclasses import dataclass, field, replace

from sprucespool.membership.messages import Event
from sprucespool.membership.rows import MAX_ACCUSERS, Row, Seat, State, mark, merge, seen_mark, sealed

BUCKETS = 32
# An owner raises its incarnation by one each time it is accused: honest news never leaps far ahead of what is held.
FARTHEST_LEAP, MOST_INCARNATIONS, FARTHEST_VERSION = 64, 2**40, 2**20


def bucket_of(seat: Seat) -> int:
    return zlib.crc32(f"{seat[0]}@{seat[1]}".encode()) % BUCKETS


@dataclass(slots=True, eq=False)
class MemberRecord:
    row: Row
    mark: int
    # When its state last changed here, and the last word of it (its own, or an answer to a check).
    state_since: float
    last_received_at: float
    last_known_at: float


@dataclass(slots=True)
class MemberTable:
    """`me` is not among `held`."""

    me: Row
    most: int = 4_000
    most_gone: int = 1_024
    forget_after: float = 600_000.0
    records: dict[Seat, MemberRecord] = field(default_factory=dict)
    present: dict[Seat, MemberRecord] = field(default_factory=dict)
    # In the order of their going, the oldest first.
    gone: dict[Seat, MemberRecord] = field(default_factory=dict)
    marks: list[int] = field(default_factory=lambda: [0] * BUCKETS)
    by_bucket: list[dict[Seat, MemberRecord]] = field(default_factory=lambda: [{} for _ in range(BUCKETS)])
    digest: int = 0
    epoch: int = 0
    events: list[Event] = field(default_factory=list)
    # Members by name, to notice two with one.
    names: dict[str, set[Seat]] = field(default_factory=dict)

    def __post_init__(self):
        self._count(self.me)

    def _count(self, row: Row):
        self.marks[bucket_of(row.seat)] ^= mark(row)
        if row.present:
            self.digest ^= seen_mark(row)

    def set_me(self, row: Row) -> None:
        self._count(self.me)
        self.me = row
        self._count(row)

    def event(self, now: float, kind: str, row: Row | None = None, by: tuple[str, ...] = (), why: str = "") -> None:
        self.epoch += 1
        self.events.append(Event(kind, now, self.epoch, row, by, why))

    def refusal(self, row: Row) -> str:
        """Why a row can't be what its owner or an honest teller says; empty where it can."""
        found = self.records.get(row.seat)
        same = found is not None and found.row.start == row.start
        if row.version > FARTHEST_VERSION + (found.row.version if found is not None and same else 0):
            return "a version that leaps"
        if row.figures_version > FARTHEST_VERSION + (found.row.figures_version if found is not None and same else 0):
            return "a beat that leaps"
        if row.state is State.ALIVE:
            # A leap does no harm here: accusations go by what is held. Only what could never be is refused.
            return "an incarnation out of bounds" if row.incarnation > MOST_INCARNATIONS else ""
        if found is None or not same:
            return "an incarnation out of bounds" if row.incarnation > FARTHEST_LEAP * 64 else ""
        if row.incarnation > found.row.incarnation + FARTHEST_LEAP:
            return "an incarnation that leaps"
        if row.state is State.LEFT and found.row.state is not State.LEFT and sealed(row.seal) != found.row.seal:
            return "a leave that its owner did not say"
        return ""

    def learn(self, now: float, row: Row) -> tuple[Row | None, Row | None]:
        """Join a row in: (what was held, what is held now); the same object twice where nothing changed."""
        found = self.records.get(row.seat)
        if found is None:
            if row.present and len(self.present) >= self.most:
                return None, None
            self._enter(now, row)
            return None, row
        new = merge(found.row, row)
        old = found.row
        if new is old or new == old:
            return old, old
        self._count(old)
        if old.state is not new.state or old.start != new.start:
            found.state_since = now
        if new.start != old.start:
            found.last_received_at = found.last_known_at = now
        found.row, found.mark = new, mark(new)
        self._count(new)
        self._place(found, old.present)
        self._tell(now, old, new)
        return old, new

    def _enter(self, now: float, row: Row):
        found = MemberRecord(row, mark(row), now, now, now)
        self.records[row.seat] = found
        self.by_bucket[bucket_of(row.seat)][row.seat] = found
        self._count(row)
        self._place(found, not row.present)
        if row.present:
            self.event(now, "joined", row)
            if row.state is State.SUSPECT:
                self.event(now, "suspected", row, row.accusers)

    def _place(self, found: MemberRecord, was_present: bool):
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
            if len(self.gone) > self.most_gone:
                self.forget(next(iter(self.gone)))

    def _tell(self, now: float, old: Row, new: Row):
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
        self._count(found.row)
        del self.by_bucket[bucket_of(seat)][seat]

    def sweep(self, now: float) -> None:
        """The long gone are forgotten; they lie in the order of their going."""
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
        """What this member says when it finds the seat silent, or agrees with who does."""
        row = self.records[seat].row
        accusers = row.accusers if row.state is State.SUSPECT else ()
        return replace(row, state=State.SUSPECT, accusers=tuple(sorted({*accusers, accuser})[:MAX_ACCUSERS]))
