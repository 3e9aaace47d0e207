"""One member of the group: who else is there, told by checks, news and repair. No I/O; time and chance handed in.

Checks and suspicion after SWIM (Das, Gupta, Motivala, DSN 2002) and Lifeguard (Dadgar, Phillips, Currey, DSN 2018);
repair by comparing marks of buckets of rows with a few peers of chance. Call `tick` when `due` has come and `heard` for
each message; both give what is to be said. `take_events` gives what changed.
"""

from __future__ import annotations

import math
import zlib
from collections import OrderedDict, deque
from dataclasses import dataclass, field, replace

from sprucespool.membership.accuser_trust import AccuserTrust
from sprucespool.membership.member_table import FARTHEST_LEAP, FARTHEST_VERSION, MemberRecord, MemberTable
from sprucespool.membership.messages import Event, Message, Outgoing, Tally
from sprucespool.membership.rows import MAX_FIGURES, About, Phase, Row, Seat, State, sealed
from sprucespool.membership.shares import MAX_BORROWERS, Shares
from sprucespool.membership.suspicions import Suspicions

# Rows that one message carries as news, and in answer to marks that differ.
NEWS, PAGE = 12, 64
# Members that a refutation is told to at once.
REFUTE_TO = 3


@dataclass(frozen=True, slots=True)
class GroupLimits:
    """Times in ms."""

    period: float = 1_000.0
    ack_within: float = 300.0
    helpers: int = 3
    # Periods of suspicion: this many, and as many again for each so many doublings of the group.
    patience: float = 0.8
    patience_a_doubling: float = 0.3
    # A small group too needs time to carry a doubt to the accused and the answer back.
    least_patience: float = 3.0
    # How much longer suspicion takes that nobody confirms.
    unconfirmed: float = 4.0
    # How often news is told, for each doubling of the group.
    spread: float = 3.0
    # Every so many checks one goes to another zone.
    across_every: int = 4
    lost_every: int = 3
    repair_every: int = 10
    # Figures are told anew no more often than every so many periods, and than each so many members allow: what all tell
    # must fit into the news. Sooner than `figures_keep` only when they changed by a quarter.
    figures_every: float = 5.0
    figures_members: float = 10.0
    figures_keep: float = 30.0
    # Repair at this part of the period while much is new, and for so many periods after.
    quick: float = 0.3
    quick_for: float = 6.0
    forget_after: float = 600_000.0
    max_members: int = 4_000
    max_gone: int = 1_024


@dataclass(slots=True)
class _Check:
    seat: Seat
    number: int
    begun: float
    helped: bool = False
    # Somebody answered during the check: what this member says is heard, and it hears.
    answered: bool = False


@dataclass(slots=True)
class _Errand:
    """A ping sent for another; `until` then a nack goes back."""

    asker: str
    asker_to: tuple[str, int]
    number: int
    seat: Seat
    until: float


@dataclass(slots=True)
class _News:
    seat: Seat
    told: int = 0


@dataclass(eq=False)
class Group:
    name: str
    address: str
    start: int
    seeds: list[str]
    about: About = field(default_factory=About)
    seed: int = 1
    limits: GroupLimits = field(default_factory=GroupLimits)
    secret: bytes = b"no secret"
    # How long a slot of one that left may be used by others, ms; 0 lends nothing and waits for nothing.
    loan: float = 10_000.0

    def __post_init__(self):
        limits = self.limits
        me = Row(self.name, self.address, self.start, about=self.about, seal=sealed(self.secret))
        self.table = MemberTable(me, limits.max_members, limits.max_gone, limits.forget_after)
        self.tally, self.suspicions, self.accuser_trust = Tally(), Suspicions(), AccuserTrust()
        self.shares = Shares(self.about.number, self.about.of, self.start, self.loan)
        self.accuser_trust.window_ms, self.accuser_trust.distrust_ms = 30 * limits.period, 60 * limits.period
        self.now, self.begun, self.expected = 0.0, math.nan, math.inf
        self.health, self.left, self.isolated = 0, False, False
        self.answered_at = 0.0
        self._updates: dict[Seat, _News] = {}
        self._check: _Check | None = None
        self._errands: dict[int, _Errand] = {}
        self._second: Seat | None = None
        self._near: list[Seat] = []
        self._far: list[Seat] = []
        self._recent: OrderedDict[Seat, float] = OrderedDict()
        # Doubts of this member alone, while nobody answers it: told to none, dropped when anybody does.
        self._private: dict[Seat, float] = {}
        # Said otherwise of an accusation in this step.
        self._refuting = False
        # How long answers to own checks took, by the zone of who answered; for whoever measures ways.
        self.round_trips: deque[tuple[str, float]] = deque(maxlen=64)
        # Members that just said that they send nothing more.
        self._leaving: list[Row] = []
        self._next_period = self._next_repair = self._next_join = -math.inf
        self._joins = self._periods = self._number = self._drawn = self._renumbered = 0
        self._quick_until = -math.inf
        # Members that came, went or were replaced within about a period.
        self._heat, self._heat_at = 0.0, 0.0
        self._weighed_at = -math.inf
        # What `_counts` found, and for which present members.
        self._counted_at: tuple[int, tuple[Seat, ...], bool] | None = None
        self._counted = 0, 0, 1

    # Reading

    @property
    def me(self) -> Row:
        return self.table.me

    @property
    def digest(self) -> int:
        """Equal where two members see the same processes telling the same of themselves."""
        return self.table.digest

    def live(self) -> list[Row]:
        """Members that are there, this one among them, in order of name; suspects are, who is only silent here is
        not."""
        rows = [one.row for seat, one in self.table.present.items() if seat not in self._private]
        return sorted([*rows, self.me] if self.me.present else rows, key=lambda row: row.seat)

    def share(self) -> float:
        """This controller's part, 0 to 1, of what all divide; by its clock of the last call."""
        _, of, alike = self._counts()
        return self.shares.share(self.now, of, alike)

    def sharing(self) -> tuple[int, float]:
        """Controllers that are there, and by how many this one is to divide what all share; infinite: nothing of it."""
        part = self.share()
        return max(1, self._counts()[0]), 1.0 / part if part > 0 else math.inf

    def _counts(self) -> tuple[int, int, int]:
        """(members that are there, the largest number of all that one tells, how many tell this one's number). Asked
        after each message: at 300 members a sixth of all work was to count them anew."""
        seen = self.table.epoch, tuple(self._private), self.me.present
        if seen != self._counted_at:
            self._counted_at = seen
            rows = [one.row for one in self.table.present.values()]
            self._counted = (
                self.me.present + sum(seat not in self._private for seat in self.table.present),
                max((row.about.of for row in rows), default=0),
                1 + sum(row.about.number == self.about.number for row in rows),
            )
        return self._counted

    def take_events(self) -> list[Event]:
        events, self.table.events = self.table.events, []
        return events

    # Chance and helpers

    def _chance(self, below: int) -> int:
        self._drawn += 1
        return zlib.crc32(b"%d:%d:%d" % (self.seed, self.start, self._drawn)) % below

    def _shuffle(self, seats: list[Seat]):
        for place in range(len(seats) - 1, 0, -1):
            other = self._chance(place + 1)
            seats[place], seats[other] = seats[other], seats[place]

    def _doublings(self) -> float:
        return math.log2(len(self.table.present) + 2)

    def _least(self) -> float:
        limits = self.limits
        grown = limits.patience + limits.patience_a_doubling * self._doublings()
        return limits.period * max(limits.least_patience, grown)

    def _next_number(self) -> int:
        self._number += 1
        return self._number

    def _by_name(self, seat: Seat) -> tuple[str, int]:
        return seat[0], 0

    def _pick(self, seats: list[Seat]) -> Seat:
        return seats[self._chance(len(seats))]

    # Saying

    def _carry(self) -> tuple[Row, ...]:
        """The news told least often; each is dropped once it was told often enough to have reached all."""
        if not self._updates:
            return ()
        often = math.ceil(self.limits.spread * self._doublings())
        picked = sorted(self._updates.values(), key=lambda one: (one.told, one.seat))[:NEWS]
        rows = []
        for one in picked:
            row = self.table.row(one.seat)
            one.told += 1
            if row is None or one.told >= often:
                del self._updates[one.seat]
            if row is not None:
                rows.append(row)
        return tuple(rows)

    def _send(
        self,
        address: str,
        kind: str,
        to: tuple[str, int] = ("", 0),
        number: int = 0,
        extra: tuple[Row, ...] = (),
        **more,
    ) -> Outgoing:
        self.tally.said += 1
        news = () if kind in ("rows", "extra", "lend", "lent", "freed") else self._carry()
        return Outgoing(address, Message(kind, self.me, to, number, rows=(*extra, *news), **more))

    def _spread(self, seat: Seat):
        self._updates[seat] = _News(seat)

    # This member's own row

    def update_about(self, now: float, about: About) -> list[Outgoing]:
        """Say something else of oneself; a new phase is made known at once."""
        self._clock(now)
        urgent = about.phase is not self.me.about.phase
        if about == self.me.about or self.left:
            return []
        if about.phase is Phase.LEAVING:
            self.shares.close()
        self.about = about
        self.table.set_me(replace(self.me, about=about, version=self.me.version + 1))
        self._spread(self.me.seat)
        return self._urgent(self.me, [row.seat for row in self.live() if row.seat != self.me.seat]) if urgent else []

    def update_figures(self, now: float, figures: tuple[float, ...]) -> bool:
        """Own load and capacity as of now; true if they are told anew. Call as often as you like. Raises ValueError."""
        if len(figures) > MAX_FIGURES:
            # Here, and not at all others: they would refuse every row of this member, and never say so to it.
            raise ValueError(f"expected {MAX_FIGURES} figures at the most, got {len(figures)}")
        now, limits, told = self._clock(now), self.limits, self.me.figures
        since = (now - self._weighed_at) / limits.period
        if self.left or since < max(limits.figures_every, len(self.table.present) / limits.figures_members):
            return False
        moved = len(told) != len(figures) or any(
            abs(new - old) > 0.25 * max(abs(new), abs(old)) for old, new in zip(told, figures, strict=True)
        )
        if not moved and since < limits.figures_keep:
            return False
        self._weighed_at = now
        self.table.set_me(replace(self.me, figures_version=self.me.figures_version + 1, figures=figures))
        self._spread(self.me.seat)
        return True

    @property
    def share_is_lent(self) -> bool:
        """Of one that leaves: whether nobody else could borrow of its part."""
        return self.shares.all_lent or not self.table.present

    def leave(self, now: float) -> list[Outgoing]:
        """The last words: nothing is said after them."""
        self._clock(now)
        if self.left:
            return []
        self.left = True
        self.shares.close()
        about = replace(self.about, phase=Phase.LEAVING)
        self.table.set_me(
            replace(self.me, about=about, version=self.me.version + 1, state=State.LEFT, seal=self.secret)
        )
        return self._urgent(self.me, [seat for seat in self.table.present])

    def _urgent(self, row: Row, seats: list[Seat]) -> list[Outgoing]:
        """By a tree of two steps: each is told once, and no member has to tell more than the root of them."""
        seats = sorted(seats)
        self._shuffle(seats)
        heads = max(1, math.ceil(math.sqrt(len(seats))))
        said = []
        for n in range(min(heads, len(seats))):
            head, rest = seats[n], tuple(seats[heads + n :: heads])
            said.append(self._send(head[1], "urgent", self._by_name(head), extra=(row,), pass_on=rest))
        return said

    # Time

    def _clock(self, now: float) -> float:
        """Time never goes back here, whatever clock the owner has."""
        self.now = max(self.now, now)
        return self.now

    def due(self) -> float:
        """When `tick` is to be called next at the latest."""
        if self.left:
            return math.inf
        check, limits = self._check, self.limits
        times = [
            self._next_period,
            self._next_repair,
            self._next_join,
            self.suspicions.next_due(),
            self.shares.due(self.now),
        ]
        if check is not None and not check.helped:
            times.append(check.begun + limits.ack_within * (1 + self.health / 4))
        if self._errands:
            times.append(min(errand.until for errand in self._errands.values()))
        return min(times)

    def tick(self, now: float) -> list[Outgoing]:
        now = self._clock(now)
        if self.left:
            return []
        limits, said = self.limits, []
        if math.isnan(self.begun):
            self._begin_life(now)
        late = now - self.expected
        if late > 2 * limits.period:
            # A member that was held still itself must not blame others for its own silence.
            self.suspicions.shift(late)
            self._check = None
            self._private.clear()
            self.answered_at = now
            self._quick_until = now + limits.quick_for * limits.period
            self.table.event(now, "stalled", self.me, why=f"held still for {late:.0f} ms")
        check = self._check
        if check is not None and not check.helped and now - check.begun >= limits.ack_within * (1 + self.health / 4):
            check.helped = True
            said += self._ask_helpers(check)
        for number, errand in list(self._errands.items()):
            if now >= errand.until:
                del self._errands[number]
                said.append(self._send(errand.asker, "nack", errand.asker_to, errand.number, seat=errand.seat))
        if now >= self._next_period:
            self._periods += 1
            self._next_period = now + limits.period * (0.9 + 0.2 * self._chance(1000) / 1000)
            if check is not None and now - check.begun >= 0.8 * limits.period * (1 + self.health / 4):
                self._check_failed(now, check)
                self._check = None
            said += self._period(now)
        for seat, doubt in self.suspicions.expired(now):
            if doubt.rechecked or len(doubt.accusers) > 1 or self.name in doubt.accusers:
                self._declare_dead(now, seat)
                continue
            # One accuser that is not this member: few may have heard of it, and the accused not at all.
            row = self.table.records[seat].row
            said.append(self._send(row.address, "ping", self._by_name(seat), self._next_number(), (row,)))
            self.suspicions.recheck_at(seat, doubt, now + limits.period)
        if now >= self._next_repair:
            said += self._repair(now)
        if now >= self._next_join:
            said += self._join(now)
        self.expected = self.due()
        return said

    def _begin_life(self, now: float):
        period = self.limits.period
        self.begun = self.answered_at = now
        self.shares.begin(now)
        self._next_period = now + period * self._chance(1000) / 1000
        self._next_join, self._next_repair = now, now + 0.4 * period
        self._quick_until = now + self.limits.quick_for * period
        self._spread(self.me.seat)

    def _quick(self) -> bool:
        return self.now < self._quick_until

    def _join(self, now: float) -> list[Outgoing]:
        """Ask the seeds: often at first, then only those that are not there."""
        period = self.limits.period
        self._joins += 1
        addresses = {one.row.address for one in self.table.present.values()}
        wanted = [seed for seed in self.seeds if seed != self.address and (self._joins <= 3 or seed not in addresses)]
        self._next_join = now + period * (0.5 if self._joins <= 3 else 2.0 if not addresses else 10.0)
        if len(wanted) > 3:
            # Hundreds that start together do not all ask all.
            at = self._chance(len(wanted))
            wanted = (wanted + wanted)[at : at + 3]
        return [self._send(seed, "join", number=self._next_number(), marks=tuple(self.table.marks)) for seed in wanted]

    def _period(self, now: float) -> list[Outgoing]:
        said, limits = [], self.limits
        self.table.sweep(now)
        wanted = self.shares.unconfirmed_numbers({one.row.about.number for one in self.table.present.values()})
        for seat, one in self.table.present.items() if wanted else ():
            if one.row.about.number in wanted:
                said.append(self._send(seat[1], "freed", (seat[0], one.row.start), self._next_number()))
        if self._periods % limits.lost_every == 0:
            lost = [seat for seat, one in self.table.gone.items() if one.row.state is State.DEAD]
            if lost:
                seat = self._pick(lost)
                row = self.table.gone[seat].row
                said.append(
                    self._send(
                        seat[1], "digest", number=self._next_number(), extra=(row,), marks=tuple(self.table.marks)
                    )
                )
        if self._check is None:
            target = self._next_target()
            if target is not None:
                row = self.table.records[target].row
                self._check = _Check(target, self._next_number(), now)
                # A suspect hears of it with the very check, so that it can say otherwise.
                extra = (row,) if row.state is State.SUSPECT else ()
                said.append(self._send(row.address, "ping", self._by_name(target), self._check.number, extra))
        silent = now - self.answered_at
        if not self.isolated and self.table.present and silent > self._least() + 3 * limits.period:
            self.isolated = True
            self.table.event(now, "isolated", self.me, why=f"nobody answered for {silent:.0f} ms")
        return said

    def _next_target(self) -> Seat | None:
        """Each is checked once a round in an order of chance: mostly those of the own zone, now and then others."""
        present, zone = self.table.present, self.about.zone
        second = self._second
        if second is not None and second in present and second not in self._private:
            return second
        for far in (True, False) if self._periods % self.limits.across_every == 0 else (False, True):
            turn = self._far if far else self._near
            for _ in range(2):
                while turn:
                    found = turn.pop()
                    if found in present and found not in self._private:
                        return found
                turn += sorted(seat for seat, one in present.items() if (one.row.about.zone != zone) is far)
                self._shuffle(turn)
        return None

    def _ask_helpers(self, check: _Check) -> list[Outgoing]:
        """Those heard from a moment ago first: in a partition they are on this side, and their word that they tried
        shows that it is not this member who is deaf."""
        row = self.table.row(check.seat)
        if row is None:
            return []
        recent = [seat for seat in reversed(self._recent) if seat in self.table.present and seat != check.seat][:6]
        others = [seat for seat in self.table.present if seat != check.seat and seat not in recent]
        picked: list[Seat] = []
        while recent and len(picked) < self.limits.helpers - 1:
            picked.append(recent.pop(self._chance(len(recent))))
        pool = others or recent
        while pool and len(picked) < self.limits.helpers:
            picked.append(pool.pop(self._chance(len(pool))))
        return [self._send(seat[1], "ask", self._by_name(seat), check.number, seat=check.seat) for seat in picked]

    # Doubt and death

    def _check_failed(self, now: float, check: _Check):
        found = self.table.present.get(check.seat)
        if found is None:
            return
        limits = self.limits
        if found.last_received_at > check.begun:
            return
        if check.answered:
            self.health = max(0, self.health - 1)
            if found.row.state is State.ALIVE and self._second != check.seat:
                # Against lost messages: whom nobody doubts yet is looked at twice before it is accused.
                self._second = check.seat
                return
            self._second = None
            self._learn(now, self.table.suspected(check.seat, self.name), "")
            return
        # Nobody answered at all: as likely this member is deaf, cut off or slow. It says nothing of others.
        self.health = min(8, self.health + 1)
        if self.isolated or len(self.table.present) == 1:
            # Alone it judges for itself, slowly, and tells nobody.
            least = self._least() * limits.unconfirmed / 2
            if now - max(self.answered_at, found.last_received_at) > least:
                self._private[check.seat] = now

    def _declare_dead(self, now: float, seat: Seat):
        found = self.table.present.get(seat)
        if found is not None and found.row.state is State.SUSPECT:
            self._learn(now, replace(found.row, state=State.DEAD), "")

    def _learn(self, now: float, row: Row, reporter: str) -> bool:
        """Join a row in and do what follows; true if it was news."""
        me = self.me
        if row.seat == me.seat:
            return self._learn_about_self(now, row, reporter)
        held = self.table.records.get(row.seat)
        old = held.row if held else None
        if old is not None and (old is row or old == row):
            return False
        why = self.table.refusal(row)
        if why:
            self._refuse(now, why, reporter)
            return False
        same = old is not None and old.start == row.start
        if same and row.state in (State.SUSPECT, State.DEAD) and row.liveness > old.liveness:  # type: ignore[union-attr]
            assert old is not None and held is not None
            if not self._is_credible(now, row, held, reporter):
                return False
            if row.state is State.DEAD and old.present and reporter:
                # Another's word of a death is the strongest doubt, no more: two halves that meet again call each
                # other's members dead, and those are there to say otherwise.
                row = replace(row, state=State.SUSPECT, accusers=row.accusers or (reporter,))
                if row.seat in self.suspicions.active or row.liveness <= old.liveness:
                    self._doubt(now, row, not self._quick())
                    if row.liveness <= old.liveness:
                        return False
                full = not self._quick()
            else:
                full = False
        else:
            full = False
        before, after = self.table.learn(now, row)
        if after is before or after is None:
            return False
        if after.state is State.SUSPECT:
            self._doubt(now, after, full)
            self.tally.suspected += before is None or before.state is not State.SUSPECT
        else:
            self.suspicions.clear(row.seat)
            if before is not None and before.state is State.SUSPECT and after.state is State.ALIVE:
                self.tally.cleared += 1
                self.table.records[row.seat].last_known_at = now
        self.tally.died += after.state is State.DEAD and before is not None and before.present
        self._private.pop(row.seat, None)
        self._spread(row.seat)
        if after.present:
            self.shares.note_process(after.about.number, after.start)
            leaves = after.about.phase is Phase.LEAVING
            if leaves and (before is None or before.about.phase is not Phase.LEAVING):
                self._leaving.append(after)
        if before is None or before.present is not after.present or before.start != after.start:
            self._turned(now)
        return True

    def _turned(self, now: float):
        limits = self.limits
        self._heat = 1.0 + self._heat * math.exp((self._heat_at - now) / limits.period)
        self._heat_at = now
        if self._heat > min(8.0, 2.0 + len(self.table.present) / 8):
            # Many at once: others miss them too, and repair evens that out faster than news alone.
            if not self._quick():
                self._next_repair = min(self._next_repair, now + limits.quick * limits.period)
            self._quick_until = now + limits.quick_for * limits.period

    def _doubt(self, now: float, row: Row, full: bool = False):
        # Two halves that meet tell each other's members dead, all at once: each has longer to say otherwise.
        least = self._least() * (2 if self._quick() else 1)
        accusers = set(row.accusers) or {"?"}
        if full:
            accusers |= {f"?{n}" for n in range(4)}
        self.suspicions.add(
            now,
            row.seat,
            row.start,
            row.incarnation,
            accusers,
            least,
            least * self.limits.unconfirmed,
            len(self.table.present) + 1,
        )

    def _is_credible(self, now: float, row: Row, held: MemberRecord, reporter: str) -> bool:
        """Own evidence outranks what is told: accusers of members just heard from are counted, and in the end not
        believed. While much is new (a partition just healed) old accusations go round, and nobody is blamed for it."""
        fresh = (
            now - held.last_received_at < 2 * self.limits.period and held.row.state is State.ALIVE and not self._quick()
        )
        worth = not row.accusers
        for accuser in row.accusers:
            if accuser == self.name:
                worth = True
                continue
            blamed = fresh and row.state is State.SUSPECT and self._long_here(now, accuser)
            if blamed and self.accuser_trust.contradicted(now, accuser, row.seat):
                self.tally.distrusted += 1
                self.table.event(now, "distrusted", row, (accuser,), "accuses members that were just heard from")
            worth = worth or not self.accuser_trust.distrusted(now, accuser)
        return worth or row.state is State.DEAD and not fresh

    def _long_here(self, now: float, name: str) -> bool:
        """One that came back a moment ago tells what it saw while it was cut off: no reason to blame it."""
        return any(
            now - self.table.present[seat].state_since > 15 * self.limits.period
            for seat in self.table.names.get(name, ())
        )

    def _learn_about_self(self, now: float, row: Row, reporter: str) -> bool:
        me = self.me
        if row.start > me.start:
            if row.address == me.address and self._renumbered < 8 and not self.left:
                # A predecessor on this seat whose clock ran ahead: processes on a seat are told apart by their order.
                self._renumbered += 1
                self.start = row.start + 1
                self.table.set_me(replace(me, start=self.start, incarnation=0))
                self._spread(me.seat)
                self.table.event(now, "renumbered", self.me, (reporter,), "a later start of this name was told of")
                return True
            return False
        if row.start < me.start or self.left:
            return False
        if (
            row.state is State.LEFT
            and sealed(row.seal) != me.seal
            or (
                row.incarnation > me.incarnation + FARTHEST_LEAP
                or row.version > me.version + FARTHEST_VERSION
                or row.figures_version > me.figures_version + FARTHEST_VERSION
            )
        ):
            self._refuse(now, "of this member itself what it never said", reporter)
            return False
        changed = False
        if row.version > me.version or row.version == me.version and row.about != me.about:
            # Somebody tells of this member what it did not say: said again, so that all have its own word.
            self.table.set_me(replace(me, version=row.version + 1))
            self._refuse(now, "of this member itself what it never said", reporter)
            changed = True
        if (
            row.figures_version > me.figures_version
            or row.figures_version == me.figures_version
            and row.figures != me.figures
        ):
            # Figures made up for this member: its own are numbered past them.
            self.table.set_me(replace(self.me, figures_version=row.figures_version + 1))
            changed = True
        if row.state is not State.ALIVE and row.incarnation >= me.incarnation:
            self.table.set_me(replace(self.me, incarnation=row.incarnation + 1))
            self.tally.refuted += 1
            self._refuting = True
            self.health = min(8, self.health + 1)
            changed = True
        if changed:
            self._spread(me.seat)
        return changed

    def _refuse(self, now: float, why: str, reporter: str):
        known = self.tally.refused.get(why, 0)
        self.tally.refused[why] = known + 1
        if known & (known + 1) == 0:
            # Told at the 1st, 2nd, 4th, 8th: a flood fills no log.
            self.table.event(now, "refused", None, (reporter,), why)

    # Repair

    def _repair(self, now: float) -> list[Outgoing]:
        limits = self.limits
        quick = self._quick()
        step = limits.quick if quick else limits.repair_every
        self._next_repair = now + limits.period * step * (0.8 + 0.4 * self._chance(1000) / 1000)
        present = [seat for seat in self.table.present if seat not in self._private]
        if not present:
            return []
        far = [seat for seat in present if self.table.present[seat].row.about.zone != self.about.zone]
        seat = self._pick(far if far and self._chance(2) else present)
        return [self._send(seat[1], "digest", self._by_name(seat), self._next_number(), marks=tuple(self.table.marks))]

    def _pages(
        self, kind: str, to: Row, number: int, buckets: list[int], rows: list[Row] | None = None
    ) -> list[Outgoing]:
        """Rows in messages of bounded size; of kind `rows` each tells whole buckets."""
        said: list[Outgoing] = []
        if rows is not None:
            for n in range(0, len(rows), PAGE):
                said.append(self._send(to.address, kind, (to.name, 0), number, tuple(rows[n : n + PAGE])))
            return said
        page: list[Row] = []
        covered: list[int] = []
        for bucket in buckets:
            more = self.table.rows_in((bucket,))
            if covered and len(page) + len(more) > PAGE:
                said.append(self._send(to.address, kind, (to.name, 0), number, tuple(page), buckets=tuple(covered)))
                page, covered = [], []
            page += more
            covered.append(bucket)
        if covered:
            said.append(self._send(to.address, kind, (to.name, 0), number, tuple(page), buckets=tuple(covered)))
        return said

    def _compare(self, message: Message) -> list[Outgoing]:
        differ = [n for n, (mine, its) in enumerate(zip(self.table.marks, message.marks, strict=False)) if mine != its]
        return self._pages("rows", message.sender, message.number, differ) if differ else []

    def _beyond(self, message: Message) -> list[Outgoing]:
        """What this member has in the told buckets beyond what it was told of them."""
        told = {row.seat: row for row in message.rows}
        rows = []
        for row in self.table.rows_in(message.buckets):
            its = told.get(row.seat)
            if its is None or (its.start, its.liveness, its.version, its.figures_version) < (
                row.start,
                row.liveness,
                row.version,
                row.figures_version,
            ):
                rows.append(row)
        return self._pages("extra", message.sender, message.number, [], rows)

    # Hearing

    def receive(self, now: float, message: Message) -> list[Outgoing]:
        now = self._clock(now)
        sender = message.sender
        if self.left or sender.seat == self.me.seat and sender.start == self.me.start:
            return []
        self.tally.heard += 1
        wanted, start = message.to
        if wanted and wanted != self.name:
            # Whoever it looks for had this address before: it can be there no more.
            return [self._send(sender.address, "moved", (sender.name, sender.start), message.number)]
        if start and start != self.me.start:
            return []
        self._hear_sender(now, sender)
        for row in message.rows:
            self._learn(now, row, sender.name)
        said = self._borrow(now) + self._answer(now, message)
        if self._refuting:
            # A doubt that others confirm is short: not only the next to be checked hear the answer to it.
            self._refuting = False
            seats = list(self.table.present)
            for _ in range(min(REFUTE_TO, len(seats))):
                seat = self._pick(seats)
                said.append(self._send(seat[1], "ack", self._by_name(seat)))
        return said

    def _borrow(self, now: float) -> list[Outgoing]:
        """Some of the others ask the leaver for its slot; so many that it is lent, so few that it is not stormed."""
        said, leaving = [], self._leaving
        self._leaving = []
        for row in leaving:
            asks = self._next_number()
            few = self._chance(max(1, len(self.table.present))) < 2 * MAX_BORROWERS
            if few and self.shares.may_borrow(now, row.about.number, row.start, row.about.of, asks):
                said.append(self._send(row.address, "lend", (row.name, row.start), asks))
        return said

    def _divide(self, now: float, message: Message) -> list[Outgoing]:
        sender, back = message.sender, (message.sender.name, message.sender.start)
        number = sender.about.number
        if message.kind == "lend":
            part = self.shares.grant_loan(len(self.table.present) + 1)
            return [self._send(sender.address, "lent", back, message.number, figure=part)] if part else []
        if message.kind == "lent":
            self.shares.accept_loan(now, message.number, number, sender.start, message.figure)
        elif message.figure:
            self.shares.confirm_freed(now, number)
        else:
            self.shares.release(number, sender.start)
            return [self._send(sender.address, "freed", back, message.number, figure=1.0)]
        return []

    def _hear_sender(self, now: float, sender: Row):
        if sender.seat == self.me.seat:
            # Another process tells that it stands on this very seat.
            self._learn_about_self(now, replace(sender, state=State.ALIVE), sender.name)
            return
        self._learn(now, sender, sender.name)
        found = self.table.records.get(sender.seat)
        if found is not None and found.row.start == sender.start:
            found.last_received_at = found.last_known_at = now
            self._recent[sender.seat] = now
            self._recent.move_to_end(sender.seat)
            while len(self._recent) > 24:
                self._recent.popitem(last=False)
            if self._private:
                # Somebody is heard: what was judged in silence is judged anew.
                self._private.clear()

    def _answer(self, now: float, message: Message) -> list[Outgoing]:
        sender, kind, said = message.sender, message.kind, []
        held = self.table.row(sender.seat)
        # Who is thought silent, dead or somebody else hears so, and says otherwise.
        wrong = (
            (held,)
            if held is not None
            and held != sender
            and (not held.present or held.state is State.SUSPECT or held.start > sender.start)
            else ()
        )
        back = (sender.name, sender.start)
        if kind in ("ping", "join"):
            said.append(self._send(sender.address, "ack", back, message.number, wrong))
            if kind == "join":
                said += self._compare(message)
        elif kind == "ask":
            row = self.table.row(message.seat)
            if message.seat == self.me.seat:
                said.append(self._send(sender.address, "ack", back, message.number))
            elif row is not None and len(self._errands) < 256:
                number = self._next_number()
                self._errands[number] = _Errand(
                    sender.address, back, message.number, message.seat, now + 0.8 * self.limits.ack_within
                )
                extra = (row,) if row.state is State.SUSPECT else ()
                said.append(self._send(row.address, "ping", self._by_name(message.seat), number, extra))
        elif kind in ("ack", "nack"):
            said += self._acked(now, message)
        elif kind == "digest":
            said += self._compare(message)
            if wrong:
                said.append(self._send(sender.address, "ack", back, message.number, wrong))
        elif kind == "rows":
            said += self._beyond(message)
            if wrong:
                said.append(self._send(sender.address, "ack", back, 0, wrong))
        elif kind == "urgent":
            # All of it: the tree has two steps, and the second tells nobody further.
            for seat in message.pass_on:
                if seat != self.me.seat:
                    said.append(self._send(seat[1], "urgent", self._by_name(seat), extra=message.rows[:1]))
        elif kind == "moved":
            self._moved(now, message)
        elif kind in ("lend", "lent", "freed"):
            said += self._divide(now, message)
        return said

    def _acked(self, now: float, message: Message) -> list[Outgoing]:
        check, errand = self._check, self._errands.pop(message.number, None)
        said: list[Outgoing] = []
        if check is not None and message.number == check.number:
            its = message.kind == "ack" and check.seat in (message.sender.seat, message.seat)
            check.answered = True
            self._heard_back(now)
            if its:
                found = self.table.records.get(check.seat)
                if found is not None:
                    found.last_known_at = now
                    if message.sender.seat != check.seat:
                        found.last_received_at = now
                    elif not check.helped:
                        # With a helper's question out it could be the answer to that.
                        self.round_trips.append((found.row.about.zone, now - check.begun))
                self.health = max(0, self.health - 1)
                self._check = self._second = None
        elif errand is not None and message.sender.seat == errand.seat:
            said.append(
                self._send(errand.asker, "ack", errand.asker_to, errand.number, (message.sender,), seat=errand.seat)
            )
            self._heard_back(now)
        elif message.kind == "ack":
            self._heard_back(now)
        return said

    def _heard_back(self, now: float):
        self.answered_at = now
        if self.isolated:
            self.isolated = False
            self._quick_until = now + self.limits.quick_for * self.limits.period
            self.table.event(now, "answered", self.me, why="somebody answers again")

    def _moved(self, now: float, message: Message):
        check = self._check
        if check is None or message.number != check.number or message.sender.address != check.seat[1]:
            return
        row = self.table.row(check.seat)
        self._check = None
        if row is not None and row.present and row.seat != message.sender.seat:
            self._learn(now, replace(row, state=State.DEAD, accusers=(self.name,)), "")
