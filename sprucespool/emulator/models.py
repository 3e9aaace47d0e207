"""Models for exploration: group members, holders of shares, fleet views and voters, with all faults they may meet."""

from __future__ import annotations

from collections.abc import Callable, Hashable, Iterable
from dataclasses import replace

from sprucespool.failover import Ballot, Council, CouncilMessage, Plan, StoreBallot
from sprucespool.fleet import Course, Fleet, FleetMessage, Listed, Record, RosterRow
from sprucespool.membership import About, Group, GroupLimits, Row, State
from sprucespool.membership.rows import Phase
from sprucespool.membership.shares import Shares

LIMITS = GroupLimits()


class GroupWorld:
    """The rules of merging and refuting, without time.

    Any member may suspect any other, or declare it dead, at any moment.
    A message stays in transit for good: it may arrive in any order, repeatedly, late, or never."""

    def __init__(self, members: int = 3, kind: type[Group] = Group, max_messages: int = 3):
        self.kind, self.max_messages = kind, max_messages
        self.names = [f"m{n}" for n in range(members)]
        self.starts = 100
        self.members: dict[str, Group] = {}
        self.in_transit: list[tuple[Row, ...]] = []
        # By viewer and seat: the highest incarnation and version seen.
        self.highest_seen: dict[tuple[str, str, int], tuple[int, int]] = {}
        # Who received whose leave.
        self.left: set[tuple[str, str, int]] = set()
        self.broken = ""
        for name in self.names:
            self._start(name)
        for one in self.members.values():
            for other in self.members.values():
                one._learn(0.0, other.me, "")

    def _start(self, name: str):
        self.starts += 1
        self.members[name] = self.kind(
            name, f"at-{name}", self.starts, [], About("", "z"), 1, LIMITS, b"secret %d" % self.starts
        )

    def moves(self) -> Iterable[Hashable]:
        for name, one in self.members.items():
            if one.left:
                yield "restart", name
                continue
            yield "crash", name
            yield "leave", name
            yield "say", name
            if len(self.in_transit) < self.max_messages:
                yield "tell", name
            for seat, held in one.table.present.items():
                yield ("accuse" if held.row.state is State.ALIVE else "give up"), name, seat[0]
            for n in range(len(self.in_transit)):
                yield "hear", name, n

    def play(self, move: Hashable) -> None:
        assert isinstance(move, tuple)
        what, name = move[0], move[1]
        one = self.members[name]
        if what in ("restart", "crash"):
            self._start(name)
        elif what == "leave":
            one.leave(0.0)
            self.in_transit.append((one.me,))
        elif what == "say":
            one.update_about(0.0, replace(one.about, phase=Phase((one.about.phase + 1) % 3)))
        elif what == "tell":
            self.in_transit.append((one.me, *(held.row for held in one.table.records.values())))
        elif what == "hear":
            for row in self.in_transit[move[2]]:
                one._learn(0.0, row, "m?")
        else:
            seat = (move[2], f"at-{move[2]}")
            if what == "accuse":
                one._learn(0.0, one.table.suspected(seat, name), "")
            else:
                one._declare_dead(0.0, seat)
        self._watch()

    def _watch(self):
        for name, one in self.members.items():
            for row in (one.me, *(held.row for held in one.table.records.values())):
                key = (f"{name} {one.start}", row.name, row.start)
                before = self.highest_seen.get(key, (0, 0))
                if row.incarnation < before[0] or row.version < before[1]:
                    self.broken = f"{name} saw an earlier row of {row.name} again"
                self.highest_seen[key] = max(before[0], row.incarnation), max(before[1], row.version)
                owner = self.members.get(row.name)
                if owner is not None and owner.start == row.start and row.incarnation > owner.me.incarnation:
                    self.broken = f"{name} holds {row.name} at an incarnation that it never announced"
                if row.state is State.LEFT:
                    self.left.add(key)
                elif key in self.left:
                    self.broken = f"{name} holds {row.name} {row.state.name.lower()} although it received its leave"

    def key(self) -> Hashable:
        def row_key(row: Row) -> tuple:
            return row.name, row.start, row.liveness, row.version, row.accusers

        return (
            tuple(
                (
                    name,
                    one.left,
                    row_key(one.me),
                    tuple(sorted(row_key(held.row) for held in one.table.records.values())),
                )
                for name, one in self.members.items()
            ),
            tuple(sorted(tuple(map(row_key, rows)) for rows in self.in_transit)),
        )

    def violation(self) -> str:
        return self.broken or self._unsettled()

    def _unsettled(self) -> str:
        """Lets all live members exchange rows until nothing changes, without new suspicions.

        They must then see the same, and no live member may be held dead. Changes the model itself, which is not used
        again afterwards."""
        live = [one for one in self.members.values() if not one.left]
        for _ in range(8):
            before = self.key()
            for one in live:
                for other in live:
                    if one is not other:
                        for row in (other.me, *(held.row for held in list(other.table.records.values()))):
                            one._learn(0.0, row, other.name)
                # Suspicions end after a while; those of running members are refuted before.
                for seat, held in list(one.table.present.items()):
                    owner = self.members[seat[0]]
                    if held.row.state is State.SUSPECT and (owner.left or owner.start != held.row.start):
                        one._declare_dead(0.0, seat)
            if self.key() == before:
                break
        else:
            return "changes circulate for ever"
        self._watch()
        for one in live:
            for other in live:
                if one is not other and not (found := one.table.records[other.me.seat].row).present:
                    return f"{one.name} holds {other.name} {found.state.name.lower()}, which is running"
        if len({one.digest for one in live}) > 1:
            return "members that exchanged all rows have different views"
        return self.broken


class SharesWorld:
    """Processes of a few numbers that leave, crash, restart, request and lend shares, with messages in any order.

    Time advances in steps of half a loan. The shares of all running processes must never exceed the total."""

    def __init__(self, of: int = 3, kind: type[Shares] = Shares, steps: int = 6):
        self.of, self.kind, self.steps_left = of, kind, steps
        self.now, self.starts, self.number = 0.0, 0, 0
        self.run: dict[int, Shares] = {}
        # Messages in transit: (kind, from, start, to, its start, number, value). Kept for good: each may arrive again.
        self.in_transit: dict[tuple, None] = {}
        for number in range(of):
            self._start(number)
            # They have run for long, so the restrictions after a start are over.
            self.run[number].ready = True

    def _start(self, number: int):
        self.starts += 1
        self.run[number] = self.kind(number, self.of, self.starts, 2.0, 0.0)
        self.run[number].begin(self.now)

    def moves(self) -> Iterable[Hashable]:
        if self.steps_left:
            yield "time", 0
        for number, one in self.run.items():
            if not one.closed:
                yield "close", number
            yield "restart", number
            for other, its in self.run.items():
                if other != number:
                    # Also asked of a process that has not ended, since the asking one may be wrong about that.
                    if not one.closed and number not in {
                        lend[1] for lend in self.in_transit if (lend[0] == "lend" and lend[4] == its.start)
                    }:
                        yield "ask", number, other
                    if other in one.unconfirmed_numbers(set(self.run)):
                        yield "freed?", number, other
        for message in self.in_transit:
            if self.run[message[3]].start == message[4]:
                yield "come", message

    def play(self, move: Hashable) -> None:
        assert isinstance(move, tuple)
        what, who = move[0], move[1]
        if what == "time":
            self.now += 1.0
            self.steps_left -= 1
        elif what == "close":
            self.run[who].close()
        elif what == "restart":
            self._start(who)
        elif what == "ask":
            one, other = self.run[who], self.run[move[2]]
            self.number += 1
            if one.may_borrow(self.now, move[2], other.start, self.of, self.number):
                self._post("lend", one, other.number, other.start, self.number)
        elif what == "freed?":
            one, other = self.run[who], self.run[move[2]]
            self._post("freed?", one, other.number, other.start, 0)
        else:
            self._deliver(who)

    def _post(self, kind: str, sender: Shares, to: int, start: int, number: int, value: float = 0.0):
        self.in_transit[kind, sender.number, sender.start, to, start, number, value] = None

    def _deliver(self, message: tuple):
        kind, number, start, to, _, request, value = message
        one = self.run[to]
        if kind == "lend":
            share = one.grant_loan(self.of)
            if share:
                self._post("lent", one, number, start, request, share)
        elif kind == "lent":
            one.accept_loan(self.now, request, number, start, value)
        elif kind == "freed?":
            one.release(number, start)
            self._post("freed", one, number, start, 0)
        else:
            one.confirm_freed(self.now, number)

    def key(self) -> Hashable:
        return (
            self.now,
            tuple(
                (
                    n,
                    one.start,
                    one.closed,
                    one.ready,
                    one.started_at,
                    one.granted,
                    tuple(sorted(one.freed)),
                    tuple(sorted(one.newest_starts.items())),
                    tuple(sorted(one.requested)),
                    tuple(sorted((m, loan.share, loan.expires_at) for m, loan in one.borrowed.items())),
                )
                for n, one in self.run.items()
            ),
            tuple(sorted(self.in_transit)),
        )

    def violation(self) -> str:
        shares = {number: one.share(self.now) for number, one in self.run.items()}
        return f"the shares add up to {sum(shares.values()):.3f}: {shares}" if sum(shares.values()) > 1 + 1e-9 else ""


def world_factory(world: Callable[..., object], **options):
    """Returns a function that creates such a model."""
    return lambda: world(**options)


class ViewWorld:
    """The view of one address among a few controllers, without time.

    The roster's script: a process, its drain, its end, another process in its place. Each controller's own roster
    connection is somewhere in the script, may start over from an old copy, break, or never be made. Messages stay in
    transit and may arrive in any order, repeatedly, late, or never. Both processes may report their identity."""

    SCRIPT = (
        (False, "1", Listed.IN_SERVICE, False),
        (False, "1", Listed.DRAINING, False),
        (False, "1", Listed.IN_SERVICE, True),
        (True, "2", Listed.IN_SERVICE, False),
    )

    def __init__(self, controllers: int = 2, kind: type[Fleet] = Fleet, max_messages: int = 2):
        self.kind, self.max_messages, self.starts = kind, max_messages, 0
        self.fleets: dict[str, Fleet] = {}
        self.at: dict[str, int] = {}
        # What each controller has learned from anybody: the end of the first process, the second process.
        self.ended: dict[str, bool] = {}
        self.replaced: dict[str, bool] = {}
        self.in_transit: list[tuple[Record, ...]] = []
        self.broken = ""
        self.names = [f"c{n}" for n in range(controllers)]
        for name in self.names:
            self._start(name)

    def _start(self, name: str):
        self.starts += 1
        self.fleets[name] = self.kind((name, self.starts), f"at-{name}", "z")
        self.at[name], self.ended[name], self.replaced[name] = 0, False, False

    def moves(self) -> Iterable[Hashable]:
        reached = max(self.at.values())
        for name in self.names:
            if self.at[name] < len(self.SCRIPT):
                yield "roster", name
            if self.at[name] > 1:
                yield "old copy", name
            yield "lost", name
            if reached >= 4:
                yield "sees", name, "2", False
            elif reached >= 2:
                yield "sees", name, "1", True
            if len(self.in_transit) < self.max_messages and self.fleets[name].view.records:
                yield "tell", name
            for n in range(len(self.in_transit)):
                yield "hear", name, n
            if self.starts < len(self.names) + 1:
                yield "restart", name

    def play(self, move: Hashable) -> None:
        assert isinstance(move, tuple)
        what, name = move[0], move[1]
        one = self.fleets[name]
        if what in ("roster", "old copy"):
            step = self.at[name] if what == "roster" else 0
            whole, boot, listed, gone = self.SCRIPT[step]
            one.roster(
                0.0,
                whole or what == "old copy",
                "r",
                step + 1,
                [RosterRow(("w", boot), listed, gone, age=1_000.0 if boot == "1" else 10.0)],
            )
            self.at[name] = step + 1
            self.ended[name] |= step in (1, 2)
            self.replaced[name] |= step == 3
        elif what == "lost":
            one.roster_lost(0.0)
        elif what == "sees":
            one.probed(0.0, "w", move[2], move[3], 10.0)
            self.ended[name] |= move[3]
            self.replaced[name] |= move[2] == "2"
        elif what == "tell":
            self.in_transit.append(tuple(one.view.records.values()))
        elif what == "hear":
            one.receive(0.0, FleetMessage("extra", ("c?", 1), "at-c?", one.digest, 0, self.in_transit[move[2]]))
            for record in self.in_transit[move[2]]:
                self.ended[name] |= record.process[1] == "1" and record.course() > Course.SERVING
        else:
            self._start(name)
        one.take()
        self._watch(name)

    def _watch(self, name: str):
        if self.fleets[name].course(("w", "2")) is not Course.SERVING:
            self.broken = f"{name} considers the serving process ended"
        place = self.fleets[name].reported.get("w")
        if place is None or place.boot != "1":
            return
        if self.ended[name] and place.status == "in service":
            self.broken = f"{name} uses a process that was reported to it as draining or gone"
        if self.replaced[name] and place.status != "gone":
            self.broken = f"{name} holds a process that was reported to it as replaced"

    def key(self) -> Hashable:
        return (
            tuple(
                (
                    name,
                    repr(sorted(one.view.records.items())),
                    one.live,
                    one.version,
                    one.complete_since,
                    repr(sorted(one.own_rows.items(), key=repr)),
                    one.boots.get("w"),
                    repr(one.reported.get("w")),
                    self.at[name],
                    self.ended[name],
                    self.replaced[name],
                    one.me,
                )
                for name, one in self.fleets.items()
            ),
            repr(self.in_transit),
            self.starts,
        )

    def violation(self) -> str:
        if self.broken:
            return self.broken
        # Whoever receives all records of all controllers must hold the same view.
        merged: list[Fleet] = []
        for reverse in (False, True):
            one = self.kind(("m", 1), "at-m", "z")
            for fleet in sorted(self.fleets.values(), key=lambda fleet: fleet.me, reverse=reverse):
                one.receive(
                    0.0, FleetMessage("extra", ("c?", 1), "at-c?", one.digest, 0, tuple(fleet.view.records.values()))
                )
            merged.append(one)
        return (
            ""
            if merged[0].digest == merged[1].digest
            else "received in another order the same records give another view"
        )


class CouncilWorld:
    """Voters and the messages between them, without time.

    Any voter's wait may end at any moment, and no voter's silence is counted. A message may arrive in any order, twice,
    late, or never. A voter may crash and restart with what it stored. A leader may propose, and give one of `spares` a
    vote or take one away. Invariants: one leader per term, one plan per epoch, epochs never decrease, and no plan in
    force is lost by a later one."""

    def __init__(
        self,
        voters: int = 3,
        kind: type[Council] = Council,
        max_messages: int = 6,
        keeps: bool = True,
        asks: bool = True,
        crashes: int = 1,
        proposals: int = 2,
        spares: int = 0,
        reseats: int = 0,
    ):
        self.reseats, self.reseated = reseats, 0
        self.kind, self.max_messages, self.keeps, self.asks = kind, max_messages, keeps, asks
        self.crashes, self.proposals = crashes, proposals
        self.names = tuple(f"v{n}" for n in range(voters))
        self.every = (*self.names, *(f"w{n}" for n in range(spares)))
        self.disks: dict[str, Ballot] = {name: Ballot() for name in self.every}
        self.councils = {name: self._new(name) for name in self.every}
        self.in_transit: list[tuple[str, CouncilMessage]] = []
        self.leaders: dict[int, str] = {}
        self.plans: dict[tuple[int, int], Plan] = {}
        self.highest: dict[str, tuple[int, int]] = {}
        self.proposed = self.crashed = 0
        self.broken = ""

    def _new(self, name: str) -> Council:
        one = self.kind(name, self.names, 1, self.disks[name] if self.keeps else Ballot())
        one.started_at, one.election_at = 0.0, float("inf")
        return one

    def moves(self) -> Iterable[Hashable]:
        for name, one in self.councils.items():
            if one.role != "leader" and one.is_voter and len(self.in_transit) < self.max_messages:
                yield "stand", name
                if self.asks:
                    yield "wait over", name
            if one.role == "leader" and self.proposed < self.proposals and len(self.in_transit) < self.max_messages:
                yield "propose", name
            if one.role == "leader" and self.reseated < self.reseats and len(self.in_transit) < self.max_messages:
                for other in self.every:
                    if other != name:
                        yield "reseat", name, other
            if self.crashed < self.crashes:
                yield "crash", name
        for n in range(len(self.in_transit)):
            yield "hear", n

    def play(self, move: Hashable) -> None:
        assert isinstance(move, tuple)
        what = move[0]
        if what == "hear":
            name, word = self.in_transit[move[1]]
            # Silence is not counted here: a leader that was just heard may be voted out at any moment.
            one = self.councils[name]
            one.last_beat_at = one.lease_until = -1e9
            effects = one.receive(0.0, word)
        else:
            name = move[1]
            one = self.councils[name]
            if what == "wait over":
                effects = one._request_pre_votes(0.0)
            elif what == "stand":
                # As if a majority had agreed beforehand: that inquiry only keeps terms low; safety does not need it.
                effects = one._start_election(0.0)
            elif what == "propose":
                self.proposed += 1
                effects = one.propose(0.0, Plan((0, 0), {"z": {"z": 1.0}}, {}, reason=f"{name} {self.proposed}"))
            elif what == "reseat":
                self.reseated += 1
                effects = one.change_voters(0.0, tuple(sorted(set(one.voters) ^ {move[2]})))
            else:
                self.crashed += 1
                self.councils[name] = self._new(name)
                effects = []
        for effect in effects:
            if isinstance(effect, StoreBallot):
                self.disks[name] = effect.ballot
            else:
                self.in_transit.append((effect.to, effect.message))
        self._watch(name)

    def _watch(self, name: str):
        one = self.councils[name]
        if one.role == "leader":
            before = self.leaders.setdefault(one.ballot.term, name)
            if before != name:
                self.broken = f"{before} and {name} lead in term {one.ballot.term}"
        for plan in (one.plan, one.decided):
            if plan is not None and self.plans.setdefault(plan.epoch, plan) != plan:
                self.broken = f"two plans of epoch {plan.epoch}"
        if one.decided is not None:
            if one.decided.epoch < self.highest.get(name, (0, 0)) and self.crashed == 0:
                self.broken = f"{name} went back to epoch {one.decided.epoch}"
            self.highest[name] = max(self.highest.get(name, (0, 0)), one.decided.epoch)

    def key(self) -> Hashable:
        held = [
            (
                name,
                one.role,
                one.ballot,
                one.leader,
                one.plan,
                one.decided,
                one.renewals,
                sorted(one.votes_received),
                sorted((n, sorted(who)) for n, who in one.answers.items()),
            )
            for name, one in self.councils.items()
        ]
        return repr(held), repr(self.in_transit), self.proposed, self.crashed, self.reseated

    def violation(self) -> str:
        return self.broken
