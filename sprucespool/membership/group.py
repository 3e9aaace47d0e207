"""One member of the group: gossip membership by checks, updates and repair. No I/O; time and random seed are inputs.

Checks and suspicion follow SWIM (Das, Gupta, Motivala, DSN 2002) and Lifeguard (Dadgar, Phillips, Currey, DSN 2018).
Repair compares the marks of buckets of rows with random peers. Call `tick` at the time `due` and `receive` for each
message; both return the messages to send. `take_events` returns what changed.
"""

from __future__ import annotations

import math
import zlib
from collections import OrderedDict, deque
from dataclasses import dataclass, field, replace

from sprucespool.membership.accuser_trust import AccuserTrust
from sprucespool.membership.member_table import MAX_INCARNATION_STEP, MAX_VERSION_STEP, MemberRecord, MemberTable
from sprucespool.membership.messages import Event, Message, Outgoing, Tally
from sprucespool.membership.rows import MAX_FIGURES, About, Phase, Row, Seat, State, seal_of
from sprucespool.membership.shares import MAX_BORROWERS, Shares
from sprucespool.membership.suspicions import Suspicions

# Rows that one message carries as updates, and in an answer to marks that differ.
MAX_UPDATES, PAGE_ROWS = 12, 64
# Members that a refutation is sent to at once.
REFUTATION_RECEIVERS = 3


@dataclass(frozen=True, slots=True)
class GroupLimits:
    """Times in ms."""

    period: float = 1_000.0
    ack_within: float = 300.0
    helpers: int = 3
    # Length of a suspicion in periods: a constant, and an addition for each doubling of the group.
    suspicion_periods: float = 0.8
    suspicion_periods_per_doubling: float = 0.3
    # A small group also needs time to carry a suspicion to the accused member and the refutation back.
    min_suspicion_periods: float = 3.0
    # How many times longer a suspicion lasts that no other member confirms.
    unconfirmed_factor: float = 4.0
    # How often an update is sent, for each doubling of the group.
    sends_per_doubling: float = 3.0
    # Every how many periods the check prefers a member of another zone.
    other_zone_every: int = 4
    # Every how many periods a dead member is sent a digest, in case it is back.
    dead_check_every: int = 3
    # The interval of repair in periods.
    repair_every: int = 10
    # Figures are sent at most once in `figures_every` periods, and at most for so many members per period, as those of
    # all members must fit into the updates. Unless they changed by a quarter, they wait `figures_unchanged_every`.
    figures_every: float = 5.0
    figures_members_per_period: float = 10.0
    figures_unchanged_every: float = 30.0
    # The interval of repair while many members change, and how long it lasts after that, both in periods.
    fast_repair_every: float = 0.3
    fast_repair_for: float = 6.0
    forget_after: float = 600_000.0
    max_members: int = 4_000
    max_gone: int = 1_024


@dataclass(slots=True)
class _Check:
    seat: Seat
    number: int
    started_at: float
    helpers_asked: bool = False
    # Any member answered during the check, so this member can send and receive.
    any_answer: bool = False


@dataclass(slots=True)
class _RelayedCheck:
    """A ping sent on behalf of another member, which gets a nack at `nack_at` if there is no answer until then."""

    requester: str
    requester_to: tuple[str, int]
    number: int
    seat: Seat
    nack_at: float


@dataclass(slots=True)
class _Update:
    seat: Seat
    sent: int = 0


@dataclass(eq=False)
class Group:
    """One member, on its own address; `seeds` are addresses to join through."""

    name: str
    address: str
    start: int
    seeds: list[str]
    about: About = field(default_factory=About)
    seed: int = 1
    limits: GroupLimits = field(default_factory=GroupLimits)
    secret: bytes = b"no secret"
    # How long others may use the slot of a member that left, ms; with 0 nothing is lent or waited for.
    loan: float = 10_000.0

    def __post_init__(self):
        limits = self.limits
        me = Row(self.name, self.address, self.start, about=self.about, seal=seal_of(self.secret))
        self.table = MemberTable(me, limits.max_members, limits.max_gone, limits.forget_after)
        self.tally, self.suspicions, self.accuser_trust = Tally(), Suspicions(), AccuserTrust()
        self.shares = Shares(self.about.number, self.about.of, self.start, self.loan)
        self.accuser_trust.window_ms, self.accuser_trust.distrust_ms = 30 * limits.period, 60 * limits.period
        self.now, self.started_at, self.next_due_at = 0.0, math.nan, math.inf
        self.health, self.left, self.isolated = 0, False, False
        self.last_answer_at = 0.0
        self._updates: dict[Seat, _Update] = {}
        self._check: _Check | None = None
        self._relayed_checks: dict[int, _RelayedCheck] = {}
        self._recheck_seat: Seat | None = None
        self._same_zone_queue: list[Seat] = []
        self._other_zones_queue: list[Seat] = []
        self._recent_senders: OrderedDict[Seat, float] = OrderedDict()
        # Members suspected while nobody answers this member: not sent to others, dropped once any message arrives.
        self._private_suspicions: dict[Seat, float] = {}
        # An accusation of this member was refuted in this step.
        self._has_refuted = False
        # Zone of the answering member and round-trip time of own checks, for measuring distances between zones.
        self.round_trips: deque[tuple[str, float]] = deque(maxlen=64)
        # Members that just announced that they are leaving.
        self._leaving: list[Row] = []
        self._next_period = self._next_repair = self._next_join = -math.inf
        self._joins = self._periods = self._number = self._random_draws = self._renumbered = 0
        self._fast_repair_until = -math.inf
        # Members that joined, ended or were replaced within about a period, decaying exponentially.
        self._change_rate, self._change_rate_at = 0.0, 0.0
        self._figures_updated_at = -math.inf
        # The cached result of `_counts`, and what it was computed for.
        self._counts_key: tuple[int, tuple[Seat, ...], bool] | None = None
        self._cached_counts = 0, 0, 1

    # State

    @property
    def me(self) -> Row:
        return self.table.me

    @property
    def digest(self) -> int:
        """Equal if two members see the same processes with the same descriptions of themselves."""
        return self.table.digest

    def live(self) -> list[Row]:
        """Present members, including this one, in order of name. Suspects are included; members that only this one
        considers silent are not."""
        rows = [one.row for seat, one in self.table.present.items() if seat not in self._private_suspicions]
        return sorted([*rows, self.me] if self.me.present else rows, key=lambda row: row.seat)

    def share(self) -> float:
        """This controller's share of the common quotas, 0 to 1, at the time of the last call."""
        _, of, same_number = self._counts()
        return self.shares.share(self.now, of, same_number)

    def sharing(self) -> tuple[int, float]:
        """The number of present controllers, and the divisor for this one's share of quotas (infinite: no share)."""
        share = self.share()
        return max(1, self._counts()[0]), 1.0 / share if share > 0 else math.inf

    def _counts(self) -> tuple[int, int, int]:
        """(present members, the largest `of` that one reports, how many report this one's number). Cached, as it is
        needed after each message: at 300 members, counting anew took a sixth of all processor time."""
        cache_key = self.table.epoch, tuple(self._private_suspicions), self.me.present
        if cache_key != self._counts_key:
            self._counts_key = cache_key
            rows = [one.row for one in self.table.present.values()]
            self._cached_counts = (
                self.me.present + sum(seat not in self._private_suspicions for seat in self.table.present),
                max((row.about.of for row in rows), default=0),
                1 + sum(row.about.number == self.about.number for row in rows),
            )
        return self._cached_counts

    def take_events(self) -> list[Event]:
        events, self.table.events = self.table.events, []
        return events

    # Random choices and small helpers

    def _random_below(self, below: int) -> int:
        self._random_draws += 1
        return zlib.crc32(b"%d:%d:%d" % (self.seed, self.start, self._random_draws)) % below

    def _shuffle(self, seats: list[Seat]):
        for place in range(len(seats) - 1, 0, -1):
            other = self._random_below(place + 1)
            seats[place], seats[other] = seats[other], seats[place]

    def _log2_size(self) -> float:
        return math.log2(len(self.table.present) + 2)

    def _min_suspicion_ms(self) -> float:
        limits = self.limits
        grown = limits.suspicion_periods + limits.suspicion_periods_per_doubling * self._log2_size()
        return limits.period * max(limits.min_suspicion_periods, grown)

    def _next_number(self) -> int:
        self._number += 1
        return self._number

    def _by_name(self, seat: Seat) -> tuple[str, int]:
        return seat[0], 0

    def _pick_random(self, seats: list[Seat]) -> Seat:
        return seats[self._random_below(len(seats))]

    # Sending

    def _take_updates(self) -> tuple[Row, ...]:
        """The updates sent least often; each is dropped once sent often enough to have reached all members."""
        if not self._updates:
            return ()
        max_sends = math.ceil(self.limits.sends_per_doubling * self._log2_size())
        picked = sorted(self._updates.values(), key=lambda one: (one.sent, one.seat))[:MAX_UPDATES]
        rows = []
        for one in picked:
            row = self.table.row(one.seat)
            one.sent += 1
            if row is None or one.sent >= max_sends:
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
        updates = () if kind in ("rows", "extra", "lend", "lent", "freed") else self._take_updates()
        return Outgoing(address, Message(kind, self.me, to, number, rows=(*extra, *updates), **more))

    def _queue_update(self, seat: Seat):
        self._updates[seat] = _Update(seat)

    # This member's own row

    def update_about(self, now: float, about: About) -> list[Outgoing]:
        """Change this member's description of itself; a new phase is sent to all members at once."""
        self._advance_clock(now)
        urgent = about.phase is not self.me.about.phase
        if about == self.me.about or self.left:
            return []
        if about.phase is Phase.LEAVING:
            self.shares.close()
        self.about = about
        self.table.set_me(replace(self.me, about=about, version=self.me.version + 1))
        self._queue_update(self.me.seat)
        return (
            self._send_urgent(self.me, [row.seat for row in self.live() if row.seat != self.me.seat]) if urgent else []
        )

    def update_figures(self, now: float, figures: tuple[float, ...]) -> bool:
        """Set the current load and capacity; true if they are sent. May be called at any rate. Raises ValueError."""
        if len(figures) > MAX_FIGURES:
            # Checked here, as all other members would refuse every row of this member without an answer to it.
            raise ValueError(f"expected {MAX_FIGURES} figures at the most, got {len(figures)}")
        now, limits, last_sent = self._advance_clock(now), self.limits, self.me.figures
        elapsed_periods = (now - self._figures_updated_at) / limits.period
        if self.left or elapsed_periods < max(
            limits.figures_every, len(self.table.present) / limits.figures_members_per_period
        ):
            return False
        changed = len(last_sent) != len(figures) or any(
            abs(new - old) > 0.25 * max(abs(new), abs(old)) for old, new in zip(last_sent, figures, strict=True)
        )
        if not changed and elapsed_periods < limits.figures_unchanged_every:
            return False
        self._figures_updated_at = now
        self.table.set_me(replace(self.me, figures_version=self.me.figures_version + 1, figures=figures))
        self._queue_update(self.me.seat)
        return True

    @property
    def share_is_lent(self) -> bool:
        """Whether this leaving member has nothing left to lend, or nobody to lend it to."""
        return self.shares.all_lent or not self.table.present

    def leave(self, now: float) -> list[Outgoing]:
        """The final messages of this member; it sends nothing after them."""
        self._advance_clock(now)
        if self.left:
            return []
        self.left = True
        self.shares.close()
        about = replace(self.about, phase=Phase.LEAVING)
        self.table.set_me(
            replace(self.me, about=about, version=self.me.version + 1, state=State.LEFT, seal=self.secret)
        )
        return self._send_urgent(self.me, [seat for seat in self.table.present])

    def _send_urgent(self, row: Row, seats: list[Seat]) -> list[Outgoing]:
        """Send the row through a tree of two levels: each member gets it once, and no member sends to more than
        about the square root of their number."""
        seats = sorted(seats)
        self._shuffle(seats)
        first_level = max(1, math.ceil(math.sqrt(len(seats))))
        outgoing = []
        for n in range(min(first_level, len(seats))):
            first, others = seats[n], tuple(seats[first_level + n :: first_level])
            outgoing.append(self._send(first[1], "urgent", self._by_name(first), extra=(row,), pass_on=others))
        return outgoing

    # Time

    def _advance_clock(self, now: float) -> float:
        """Time never goes back here, whatever the clock of the caller does."""
        self.now = max(self.now, now)
        return self.now

    def due(self) -> float:
        """The latest time for the next call of `tick`."""
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
        if check is not None and not check.helpers_asked:
            times.append(check.started_at + limits.ack_within * (1 + self.health / 4))
        if self._relayed_checks:
            times.append(min(relayed.nack_at for relayed in self._relayed_checks.values()))
        return min(times)

    def tick(self, now: float) -> list[Outgoing]:
        now = self._advance_clock(now)
        if self.left:
            return []
        limits, outgoing = self.limits, []
        if math.isnan(self.started_at):
            self._start_running(now)
        late_ms = now - self.next_due_at
        if late_ms > 2 * limits.period:
            # After its own suspension a member must not suspect others for the messages it missed.
            self.suspicions.shift(late_ms)
            self._check = None
            self._private_suspicions.clear()
            self.last_answer_at = now
            self._fast_repair_until = now + limits.fast_repair_for * limits.period
            self.table.event(now, "stalled", self.me, why=f"suspended for {late_ms:.0f} ms")
        check = self._check
        if (
            check is not None
            and not check.helpers_asked
            and now - check.started_at >= limits.ack_within * (1 + self.health / 4)
        ):
            check.helpers_asked = True
            outgoing += self._ask_helpers(check)
        for number, relayed in list(self._relayed_checks.items()):
            if now >= relayed.nack_at:
                del self._relayed_checks[number]
                outgoing.append(
                    self._send(relayed.requester, "nack", relayed.requester_to, relayed.number, seat=relayed.seat)
                )
        if now >= self._next_period:
            self._periods += 1
            self._next_period = now + limits.period * (0.9 + 0.2 * self._random_below(1000) / 1000)
            if check is not None and now - check.started_at >= 0.8 * limits.period * (1 + self.health / 4):
                self._check_failed(now, check)
                self._check = None
            outgoing += self._period(now)
        for seat, suspicion in self.suspicions.expired(now):
            if suspicion.rechecked or len(suspicion.accusers) > 1 or self.name in suspicion.accusers:
                self._declare_dead(now, seat)
                continue
            # A single accuser, not this member: the update may have reached few, and not the accused, so check again.
            row = self.table.records[seat].row
            outgoing.append(self._send(row.address, "ping", self._by_name(seat), self._next_number(), (row,)))
            self.suspicions.recheck_at(seat, suspicion, now + limits.period)
        if now >= self._next_repair:
            outgoing += self._repair(now)
        if now >= self._next_join:
            outgoing += self._join(now)
        self.next_due_at = self.due()
        return outgoing

    def _start_running(self, now: float):
        period = self.limits.period
        self.started_at = self.last_answer_at = now
        self.shares.begin(now)
        self._next_period = now + period * self._random_below(1000) / 1000
        self._next_join, self._next_repair = now, now + 0.4 * period
        self._fast_repair_until = now + self.limits.fast_repair_for * period
        self._queue_update(self.me.seat)

    def _is_fast_repair(self) -> bool:
        return self.now < self._fast_repair_until

    def _join(self, now: float) -> list[Outgoing]:
        """Send joins to the seeds: often at first, later only to those that are not present."""
        period = self.limits.period
        self._joins += 1
        addresses = {one.row.address for one in self.table.present.values()}
        wanted = [seed for seed in self.seeds if seed != self.address and (self._joins <= 3 or seed not in addresses)]
        self._next_join = now + period * (0.5 if self._joins <= 3 else 2.0 if not addresses else 10.0)
        if len(wanted) > 3:
            # Limits the messages when hundreds of members start together.
            at = self._random_below(len(wanted))
            wanted = (wanted + wanted)[at : at + 3]
        return [self._send(seed, "join", number=self._next_number(), marks=tuple(self.table.marks)) for seed in wanted]

    def _period(self, now: float) -> list[Outgoing]:
        outgoing, limits = [], self.limits
        self.table.sweep(now)
        wanted = self.shares.unconfirmed_numbers({one.row.about.number for one in self.table.present.values()})
        for seat, one in self.table.present.items() if wanted else ():
            if one.row.about.number in wanted:
                outgoing.append(self._send(seat[1], "freed", (seat[0], one.row.start), self._next_number()))
        if self._periods % limits.dead_check_every == 0:
            dead = [seat for seat, one in self.table.gone.items() if one.row.state is State.DEAD]
            if dead:
                seat = self._pick_random(dead)
                row = self.table.gone[seat].row
                outgoing.append(
                    self._send(
                        seat[1], "digest", number=self._next_number(), extra=(row,), marks=tuple(self.table.marks)
                    )
                )
        if self._check is None:
            target = self._next_target()
            if target is not None:
                row = self.table.records[target].row
                self._check = _Check(target, self._next_number(), now)
                # The check tells a suspected member of the suspicion, so that it can refute it.
                extra = (row,) if row.state is State.SUSPECT else ()
                outgoing.append(self._send(row.address, "ping", self._by_name(target), self._check.number, extra))
        silent_ms = now - self.last_answer_at
        if not self.isolated and self.table.present and silent_ms > self._min_suspicion_ms() + 3 * limits.period:
            self.isolated = True
            self.table.event(now, "isolated", self.me, why=f"nobody answered for {silent_ms:.0f} ms")
        return outgoing

    def _next_target(self) -> Seat | None:
        """Each member is checked once per round in random order: mostly those of the same zone, sometimes others."""
        present, zone = self.table.present, self.about.zone
        recheck = self._recheck_seat
        if recheck is not None and recheck in present and recheck not in self._private_suspicions:
            return recheck
        for far in (True, False) if self._periods % self.limits.other_zone_every == 0 else (False, True):
            queue = self._other_zones_queue if far else self._same_zone_queue
            for _ in range(2):
                while queue:
                    found = queue.pop()
                    if found in present and found not in self._private_suspicions:
                        return found
                queue += sorted(seat for seat, one in present.items() if (one.row.about.zone != zone) is far)
                self._shuffle(queue)
        return None

    def _ask_helpers(self, check: _Check) -> list[Outgoing]:
        """Prefer members that sent a message recently: in a partition they are on this side, and their nacks show
        that this member does receive messages."""
        row = self.table.row(check.seat)
        if row is None:
            return []
        recent = [seat for seat in reversed(self._recent_senders) if seat in self.table.present and seat != check.seat][
            :6
        ]
        others = [seat for seat in self.table.present if seat != check.seat and seat not in recent]
        picked: list[Seat] = []
        while recent and len(picked) < self.limits.helpers - 1:
            picked.append(recent.pop(self._random_below(len(recent))))
        pool = others or recent
        while pool and len(picked) < self.limits.helpers:
            picked.append(pool.pop(self._random_below(len(pool))))
        return [self._send(seat[1], "ask", self._by_name(seat), check.number, seat=check.seat) for seat in picked]

    # Suspicion and death

    def _check_failed(self, now: float, check: _Check):
        found = self.table.present.get(check.seat)
        if found is None:
            return
        limits = self.limits
        if found.last_received_at > check.started_at:
            return
        if check.any_answer:
            self.health = max(0, self.health - 1)
            if found.row.state is State.ALIVE and self._recheck_seat != check.seat:
                # Guards against lost messages: a member not yet suspected is checked twice before it is accused.
                self._recheck_seat = check.seat
                return
            self._recheck_seat = None
            self._learn(now, self.table.suspected(check.seat, self.name), "")
            return
        # Nobody answered at all, so this member itself may be cut off or slow. It accuses nobody.
        self.health = min(8, self.health + 1)
        if self.isolated or len(self.table.present) == 1:
            # Isolated, it judges for itself only, more slowly, and sends no accusation.
            min_ms = self._min_suspicion_ms() * limits.unconfirmed_factor / 2
            if now - max(self.last_answer_at, found.last_received_at) > min_ms:
                self._private_suspicions[check.seat] = now

    def _declare_dead(self, now: float, seat: Seat):
        found = self.table.present.get(seat)
        if found is not None and found.row.state is State.SUSPECT:
            self._learn(now, replace(found.row, state=State.DEAD), "")

    def _learn(self, now: float, row: Row, reporter: str) -> bool:
        """Merge a row and act on the change; true if anything changed."""
        me = self.me
        if row.seat == me.seat:
            return self._learn_about_self(now, row, reporter)
        record = self.table.records.get(row.seat)
        old = record.row if record else None
        if old is not None and (old is row or old == row):
            return False
        why = self.table.refusal(row)
        if why:
            self._refuse(now, why, reporter)
            return False
        same_process = old is not None and old.start == row.start
        if same_process and row.state in (State.SUSPECT, State.DEAD) and row.liveness > old.liveness:  # type: ignore[union-attr]
            assert old is not None and record is not None
            if not self._is_credible(now, row, record, reporter):
                return False
            if row.state is State.DEAD and old.present and reporter:
                # Another member's report of a death counts at most as a fully confirmed suspicion: when a partition
                # heals, both sides report each other's members as dead, and those are alive to refute it.
                row = replace(row, state=State.SUSPECT, accusers=row.accusers or (reporter,))
                if row.seat in self.suspicions.active or row.liveness <= old.liveness:
                    self._suspect(now, row, not self._is_fast_repair())
                    if row.liveness <= old.liveness:
                        return False
                fully_confirmed = not self._is_fast_repair()
            else:
                fully_confirmed = False
        else:
            fully_confirmed = False
        before, after = self.table.learn(now, row)
        if after is before or after is None:
            return False
        if after.state is State.SUSPECT:
            self._suspect(now, after, fully_confirmed)
            self.tally.suspected += before is None or before.state is not State.SUSPECT
        else:
            self.suspicions.clear(row.seat)
            if before is not None and before.state is State.SUSPECT and after.state is State.ALIVE:
                self.tally.cleared += 1
                self.table.records[row.seat].last_known_at = now
        self.tally.died += after.state is State.DEAD and before is not None and before.present
        self._private_suspicions.pop(row.seat, None)
        self._queue_update(row.seat)
        if after.present:
            self.shares.note_process(after.about.number, after.start)
            leaves = after.about.phase is Phase.LEAVING
            if leaves and (before is None or before.about.phase is not Phase.LEAVING):
                self._leaving.append(after)
        if before is None or before.present is not after.present or before.start != after.start:
            self._note_change(now)
        return True

    def _note_change(self, now: float):
        limits = self.limits
        self._change_rate = 1.0 + self._change_rate * math.exp((self._change_rate_at - now) / limits.period)
        self._change_rate_at = now
        if self._change_rate > min(8.0, 2.0 + len(self.table.present) / 8):
            # Many changes at once: others miss some of them too, and repair spreads them faster than updates alone.
            if not self._is_fast_repair():
                self._next_repair = min(self._next_repair, now + limits.fast_repair_every * limits.period)
            self._fast_repair_until = now + limits.fast_repair_for * limits.period

    def _suspect(self, now: float, row: Row, fully_confirmed: bool = False):
        # When a partition heals, both sides report many deaths at once, so each member gets more time to refute.
        min_ms = self._min_suspicion_ms() * (2 if self._is_fast_repair() else 1)
        accusers = set(row.accusers) or {"?"}
        if fully_confirmed:
            accusers |= {f"?{n}" for n in range(4)}
        self.suspicions.add(
            now,
            row.seat,
            row.start,
            row.incarnation,
            accusers,
            min_ms,
            min_ms * self.limits.unconfirmed_factor,
            len(self.table.present) + 1,
        )

    def _is_credible(self, now: float, row: Row, record: MemberRecord, reporter: str) -> bool:
        """Own observations outrank reports: accusations of members that just sent a message count against the accuser,
        which is distrusted in the end. During fast repair (a partition just healed) old accusations are still being
        passed on and do not count."""
        recently_received = (
            now - record.last_received_at < 2 * self.limits.period
            and record.row.state is State.ALIVE
            and not self._is_fast_repair()
        )
        credible = not row.accusers
        for accuser in row.accusers:
            if accuser == self.name:
                credible = True
                continue
            contradicted = recently_received and row.state is State.SUSPECT and self._is_long_present(now, accuser)
            if contradicted and self.accuser_trust.contradicted(now, accuser, row.seat):
                self.tally.distrusted += 1
                self.table.event(now, "distrusted", row, (accuser,), "accuses members that were just heard from")
            credible = credible or not self.accuser_trust.distrusted(now, accuser)
        return credible or row.state is State.DEAD and not recently_received

    def _is_long_present(self, now: float, name: str) -> bool:
        """Whether an accuser has been present for long. One that just came back reports what it saw while it was cut
        off, which must not count against it."""
        return any(
            now - self.table.present[seat].state_since > 15 * self.limits.period
            for seat in self.table.names.get(name, ())
        )

    def _learn_about_self(self, now: float, row: Row, reporter: str) -> bool:
        me = self.me
        if row.start > me.start:
            if row.address == me.address and self._renumbered < 8 and not self.left:
                # A predecessor on this seat had a clock that ran ahead; the start orders processes, so raise it.
                self._renumbered += 1
                self.start = row.start + 1
                self.table.set_me(replace(me, start=self.start, incarnation=0))
                self._queue_update(me.seat)
                self.table.event(now, "renumbered", self.me, (reporter,), "a later start of this name was told of")
                return True
            return False
        if row.start < me.start or self.left:
            return False
        if (
            row.state is State.LEFT
            and seal_of(row.seal) != me.seal
            or (
                row.incarnation > me.incarnation + MAX_INCARNATION_STEP
                or row.version > me.version + MAX_VERSION_STEP
                or row.figures_version > me.figures_version + MAX_VERSION_STEP
            )
        ):
            self._refuse(now, "of this member itself what it never said", reporter)
            return False
        changed = False
        if row.version > me.version or row.version == me.version and row.about != me.about:
            # A report about this member that it never sent: publish its own description under a higher version.
            self.table.set_me(replace(me, version=row.version + 1))
            self._refuse(now, "of this member itself what it never said", reporter)
            changed = True
        if (
            row.figures_version > me.figures_version
            or row.figures_version == me.figures_version
            and row.figures != me.figures
        ):
            # Figures that this member never sent: number its own past them.
            self.table.set_me(replace(self.me, figures_version=row.figures_version + 1))
            changed = True
        if row.state is not State.ALIVE and row.incarnation >= me.incarnation:
            self.table.set_me(replace(self.me, incarnation=row.incarnation + 1))
            self.tally.refuted += 1
            self._has_refuted = True
            self.health = min(8, self.health + 1)
            changed = True
        if changed:
            self._queue_update(me.seat)
        return changed

    def _refuse(self, now: float, why: str, reporter: str):
        known = self.tally.refused.get(why, 0)
        self.tally.refused[why] = known + 1
        if known & (known + 1) == 0:
            # An event for the 1st, 2nd, 4th, 8th and so on, so that a flood does not fill the log.
            self.table.event(now, "refused", None, (reporter,), why)

    # Repair

    def _repair(self, now: float) -> list[Outgoing]:
        limits = self.limits
        fast = self._is_fast_repair()
        interval = limits.fast_repair_every if fast else limits.repair_every
        self._next_repair = now + limits.period * interval * (0.8 + 0.4 * self._random_below(1000) / 1000)
        present = [seat for seat in self.table.present if seat not in self._private_suspicions]
        if not present:
            return []
        far = [seat for seat in present if self.table.present[seat].row.about.zone != self.about.zone]
        seat = self._pick_random(far if far and self._random_below(2) else present)
        return [self._send(seat[1], "digest", self._by_name(seat), self._next_number(), marks=tuple(self.table.marks))]

    def _pages(
        self, kind: str, to: Row, number: int, buckets: list[int], rows: list[Row] | None = None
    ) -> list[Outgoing]:
        """Rows in messages of bounded size; each message of kind `rows` covers whole buckets."""
        outgoing: list[Outgoing] = []
        if rows is not None:
            for n in range(0, len(rows), PAGE_ROWS):
                outgoing.append(self._send(to.address, kind, (to.name, 0), number, tuple(rows[n : n + PAGE_ROWS])))
            return outgoing
        page: list[Row] = []
        page_buckets: list[int] = []
        for bucket in buckets:
            bucket_rows = self.table.rows_in((bucket,))
            if page_buckets and len(page) + len(bucket_rows) > PAGE_ROWS:
                outgoing.append(
                    self._send(to.address, kind, (to.name, 0), number, tuple(page), buckets=tuple(page_buckets))
                )
                page, page_buckets = [], []
            page += bucket_rows
            page_buckets.append(bucket)
        if page_buckets:
            outgoing.append(
                self._send(to.address, kind, (to.name, 0), number, tuple(page), buckets=tuple(page_buckets))
            )
        return outgoing

    def _compare(self, message: Message) -> list[Outgoing]:
        differing_buckets = [
            n for n, (mine, theirs) in enumerate(zip(self.table.marks, message.marks, strict=False)) if mine != theirs
        ]
        return self._pages("rows", message.sender, message.number, differing_buckets) if differing_buckets else []

    def _newer_rows(self, message: Message) -> list[Outgoing]:
        """Rows in the message's buckets that are missing from the message or newer than there."""
        sent_rows = {row.seat: row for row in message.rows}
        rows = []
        for row in self.table.rows_in(message.buckets):
            theirs = sent_rows.get(row.seat)
            if theirs is None or (theirs.start, theirs.liveness, theirs.version, theirs.figures_version) < (
                row.start,
                row.liveness,
                row.version,
                row.figures_version,
            ):
                rows.append(row)
        return self._pages("extra", message.sender, message.number, [], rows)

    # Receiving

    def receive(self, now: float, message: Message) -> list[Outgoing]:
        now = self._advance_clock(now)
        sender = message.sender
        if self.left or sender.seat == self.me.seat and sender.start == self.me.start:
            return []
        self.tally.heard += 1
        wanted, start = message.to
        if wanted and wanted != self.name:
            # The wanted member had this address before, so it is gone.
            return [self._send(sender.address, "moved", (sender.name, sender.start), message.number)]
        if start and start != self.me.start:
            return []
        self._learn_sender(now, sender)
        for row in message.rows:
            self._learn(now, row, sender.name)
        outgoing = self._request_loans(now) + self._answer(now, message)
        if self._has_refuted:
            # A suspicion that others confirm is short, so do not wait for the next checks to spread the refutation.
            self._has_refuted = False
            seats = list(self.table.present)
            for _ in range(min(REFUTATION_RECEIVERS, len(seats))):
                seat = self._pick_random(seats)
                outgoing.append(self._send(seat[1], "ack", self._by_name(seat)))
        return outgoing

    def _request_loans(self, now: float) -> list[Outgoing]:
        """Request loans from leaving members. A random selection of members does so: enough that the slot is lent,
        few enough that the leaving member is not flooded."""
        outgoing, leaving = [], self._leaving
        self._leaving = []
        for row in leaving:
            request = self._next_number()
            selected = self._random_below(max(1, len(self.table.present))) < 2 * MAX_BORROWERS
            if selected and self.shares.may_borrow(now, row.about.number, row.start, row.about.of, request):
                outgoing.append(self._send(row.address, "lend", (row.name, row.start), request))
        return outgoing

    def _answer_share_message(self, now: float, message: Message) -> list[Outgoing]:
        sender, reply_to = message.sender, (message.sender.name, message.sender.start)
        number = sender.about.number
        if message.kind == "lend":
            share = self.shares.grant_loan(len(self.table.present) + 1)
            return [self._send(sender.address, "lent", reply_to, message.number, figure=share)] if share else []
        if message.kind == "lent":
            self.shares.accept_loan(now, message.number, number, sender.start, message.figure)
        elif message.figure:
            self.shares.confirm_freed(now, number)
        else:
            self.shares.release(number, sender.start)
            return [self._send(sender.address, "freed", reply_to, message.number, figure=1.0)]
        return []

    def _learn_sender(self, now: float, sender: Row):
        if sender.seat == self.me.seat:
            # Another process claims this member's own seat.
            self._learn_about_self(now, replace(sender, state=State.ALIVE), sender.name)
            return
        self._learn(now, sender, sender.name)
        found = self.table.records.get(sender.seat)
        if found is not None and found.row.start == sender.start:
            found.last_received_at = found.last_known_at = now
            self._recent_senders[sender.seat] = now
            self._recent_senders.move_to_end(sender.seat)
            while len(self._recent_senders) > 24:
                self._recent_senders.popitem(last=False)
            if self._private_suspicions:
                # This member receives again, so drop what it concluded while nobody answered.
                self._private_suspicions.clear()

    def _answer(self, now: float, message: Message) -> list[Outgoing]:
        sender, kind, outgoing = message.sender, message.kind, []
        record = self.table.row(sender.seat)
        # Tells a sender that is held to be suspected, dead or replaced, so that it can refute it.
        correction = (
            (record,)
            if record is not None
            and record != sender
            and (not record.present or record.state is State.SUSPECT or record.start > sender.start)
            else ()
        )
        reply_to = (sender.name, sender.start)
        if kind in ("ping", "join"):
            outgoing.append(self._send(sender.address, "ack", reply_to, message.number, correction))
            if kind == "join":
                outgoing += self._compare(message)
        elif kind == "ask":
            row = self.table.row(message.seat)
            if message.seat == self.me.seat:
                outgoing.append(self._send(sender.address, "ack", reply_to, message.number))
            elif row is not None and len(self._relayed_checks) < 256:
                number = self._next_number()
                self._relayed_checks[number] = _RelayedCheck(
                    sender.address, reply_to, message.number, message.seat, now + 0.8 * self.limits.ack_within
                )
                extra = (row,) if row.state is State.SUSPECT else ()
                outgoing.append(self._send(row.address, "ping", self._by_name(message.seat), number, extra))
        elif kind in ("ack", "nack"):
            outgoing += self._receive_ack(now, message)
        elif kind == "digest":
            outgoing += self._compare(message)
            if correction:
                outgoing.append(self._send(sender.address, "ack", reply_to, message.number, correction))
        elif kind == "rows":
            outgoing += self._newer_rows(message)
            if correction:
                outgoing.append(self._send(sender.address, "ack", reply_to, 0, correction))
        elif kind == "urgent":
            # The tree has two levels: the receivers of these messages forward nothing.
            for seat in message.pass_on:
                if seat != self.me.seat:
                    outgoing.append(self._send(seat[1], "urgent", self._by_name(seat), extra=message.rows[:1]))
        elif kind == "moved":
            self._receive_moved(now, message)
        elif kind in ("lend", "lent", "freed"):
            outgoing += self._answer_share_message(now, message)
        return outgoing

    def _receive_ack(self, now: float, message: Message) -> list[Outgoing]:
        check, relayed = self._check, self._relayed_checks.pop(message.number, None)
        outgoing: list[Outgoing] = []
        if check is not None and message.number == check.number:
            is_target = message.kind == "ack" and check.seat in (message.sender.seat, message.seat)
            check.any_answer = True
            self._note_answer(now)
            if is_target:
                found = self.table.records.get(check.seat)
                if found is not None:
                    found.last_known_at = now
                    if message.sender.seat != check.seat:
                        found.last_received_at = now
                    elif not check.helpers_asked:
                        # With helpers asked, this could be the answer to a helper's ping.
                        self.round_trips.append((found.row.about.zone, now - check.started_at))
                self.health = max(0, self.health - 1)
                self._check = self._recheck_seat = None
        elif relayed is not None and message.sender.seat == relayed.seat:
            outgoing.append(
                self._send(
                    relayed.requester, "ack", relayed.requester_to, relayed.number, (message.sender,), seat=relayed.seat
                )
            )
            self._note_answer(now)
        elif message.kind == "ack":
            self._note_answer(now)
        return outgoing

    def _note_answer(self, now: float):
        self.last_answer_at = now
        if self.isolated:
            self.isolated = False
            self._fast_repair_until = now + self.limits.fast_repair_for * self.limits.period
            self.table.event(now, "answered", self.me, why="somebody answers again")

    def _receive_moved(self, now: float, message: Message):
        check = self._check
        if check is None or message.number != check.number or message.sender.address != check.seat[1]:
            return
        row = self.table.row(check.seat)
        self._check = None
        if row is not None and row.present and row.seat != message.sender.seat:
            self._learn(now, replace(row, state=State.DEAD, accusers=(self.name,)), "")
