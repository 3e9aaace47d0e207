"""Worlds for exploration: a few members of the group, and a few holders of shared parts, with all that may go wrong."""
from __future__ import annotations

from collections.abc import Callable, Hashable, Iterable
from dataclasses import replace

from sprucespool.membership import About, Group, GroupLimits, Row, State
from sprucespool.membership.rows import Phase
from sprucespool.membership.shares import Shares

LIMITS = GroupLimits()


class GroupWorld:
    """Rules of merging and refuting, time left out: any member may accuse any other and give it up at any moment.
    What is told stays in the air for good: it may come in any order, again, late, or never."""

    def __init__(self, members: int = 3, kind: type[Group] = Group, told: int = 3):
        self.kind, self.most_told = kind, told
        self.names = [f"m{n}" for n in range(members)]
        self.starts = 100
        self.members: dict[str, Group] = {}
        self.air: list[tuple[Row, ...]] = []
        self.best: dict[tuple[str, str, int], tuple[int, int]] = {}
        # Who heard of whose leave.
        self.left: set[tuple[str, str, int]] = set()
        self.sins = ""
        for name in self.names:
            self._start(name)
        for one in self.members.values():
            for other in self.members.values():
                one._learn(0.0, other.me, "")

    def _start(self, name: str):
        self.starts += 1
        self.members[name] = self.kind(name, f"at-{name}", self.starts, [], About("", "z"),
                                       1, LIMITS, b"secret %d" % self.starts)

    def moves(self) -> Iterable[Hashable]:
        for name, one in self.members.items():
            if one.left:
                yield "restart", name
                continue
            yield "crash", name
            yield "leave", name
            yield "say", name
            if len(self.air) < self.most_told:
                yield "tell", name
            for seat, held in one.book.present.items():
                yield ("accuse" if held.row.state is State.ALIVE else "give up"), name, seat[0]
            for n in range(len(self.air)):
                yield "hear", name, n

    def play(self, move: Hashable) -> None:
        assert isinstance(move, tuple)
        what, name = move[0], move[1]
        one = self.members[name]
        if what in ("restart", "crash"):
            self._start(name)
        elif what == "leave":
            one.leave(0.0)
            self.air.append((one.me,))
        elif what == "say":
            one.tell(0.0, replace(one.about, phase=Phase((one.about.phase + 1) % 3)))
        elif what == "tell":
            self.air.append((one.me, *(held.row for held in one.book.held.values())))
        elif what == "hear":
            for row in self.air[move[2]]:
                one._learn(0.0, row, "m?")
        else:
            seat = (move[2], f"at-{move[2]}")
            if what == "accuse":
                one._learn(0.0, one.book.suspected(seat, name), "")
            else:
                one._give_up(0.0, seat)
        self._watch()

    def _watch(self):
        for name, one in self.members.items():
            for row in (one.me, *(held.row for held in one.book.held.values())):
                key = (f"{name} {one.start}", row.name, row.start)
                before = self.best.get(key, (0, 0))
                if row.incarnation < before[0] or row.version < before[1]:
                    self.sins = f"{name} saw {row.name} go back"
                self.best[key] = max(before[0], row.incarnation), max(before[1], row.version)
                owner = self.members.get(row.name)
                if owner is not None and owner.start == row.start and row.incarnation > owner.me.incarnation:
                    self.sins = f"{name} holds {row.name} at an incarnation it never said"
                if row.state is State.LEFT:
                    self.left.add(key)
                elif key in self.left:
                    self.sins = f"{name} holds {row.name} {row.state.name.lower()} though it heard that it left"

    def key(self) -> Hashable:
        def told(row: Row) -> tuple:
            return row.name, row.start, row.life, row.version, row.accusers
        return (tuple((name, one.left, told(one.me), tuple(sorted(told(held.row) for held in one.book.held.values())))
                      for name, one in self.members.items()),
                tuple(sorted(tuple(map(told, rows)) for rows in self.air)))

    def wrong(self) -> str:
        return self.sins or self._unsettled()

    def _unsettled(self) -> str:
        """Let all that live hear each other until nothing is new, with nobody accusing: they must see the same, and
        nobody that lives may be held dead. Played on the world itself: it is not used again afterwards."""
        live = [one for one in self.members.values() if not one.left]
        for _ in range(8):
            before = self.key()
            for one in live:
                for other in live:
                    if one is not other:
                        for row in (other.me, *(held.row for held in list(other.book.held.values()))):
                            one._learn(0.0, row, other.name)
                # Doubts end in time; of who runs they are refuted before.
                for seat, held in list(one.book.present.items()):
                    owner = self.members[seat[0]]
                    if held.row.state is State.SUSPECT and (owner.left or owner.start != held.row.start):
                        one._give_up(0.0, seat)
            if self.key() == before:
                break
        else:
            return "news goes round for ever"
        self._watch()
        for one in live:
            for other in live:
                if one is not other and not (found := one.book.held[other.me.seat].row).present:
                    return f"{one.name} holds {other.name} {found.state.name.lower()}, which runs"
        if len({one.digest for one in live}) > 1:
            return "members that told each other all see different things"
        return self.sins


class SharesWorld:
    """Processes of a few numbers that leave, crash, start anew, ask and lend, with messages in any order, and time in
    steps of half a loan. The sum of the parts of all that run must never exceed the whole."""

    def __init__(self, of: int = 3, kind: type[Shares] = Shares, steps: int = 6):
        self.of, self.kind, self.left_steps = of, kind, steps
        self.now, self.starts, self.number = 0.0, 0, 0
        self.run: dict[int, Shares] = {}
        # What is in the air: (kind, from, start, to, its start, number, figure); kept for ever, so it may come again.
        self.air: dict[tuple, None] = {}
        for number in range(of):
            self._start(number)
            # They run for long: what held at their start is over.
            self.run[number].ready = True

    def _start(self, number: int):
        self.starts += 1
        self.run[number] = self.kind(number, self.of, self.starts, 2.0, 0.0)
        self.run[number].begin(self.now)

    def moves(self) -> Iterable[Hashable]:
        if self.left_steps:
            yield "time", 0
        for number, one in self.run.items():
            if not one.closed:
                yield "close", number
            yield "restart", number
            for other, its in self.run.items():
                if other != number:
                    # Also of one that has not ended: what an asker believes may be wrong.
                    if not one.closed and number not in {lend[1] for lend in self.air if (
                            lend[0] == "lend" and lend[4] == its.start)}:
                        yield "ask", number, other
                    if other in one.wanted(set(self.run)):
                        yield "freed?", number, other
        for message in self.air:
            if self.run[message[3]].start == message[4]:
                yield "come", message

    def play(self, move: Hashable) -> None:
        assert isinstance(move, tuple)
        what, who = move[0], move[1]
        if what == "time":
            self.now += 1.0
            self.left_steps -= 1
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
            self._come(who)

    def _post(self, kind: str, sender: Shares, to: int, start: int, number: int, figure: float = 0.0):
        self.air[kind, sender.number, sender.start, to, start, number, figure] = None

    def _come(self, message: tuple):
        kind, number, start, to, _, asks, figure = message
        one = self.run[to]
        if kind == "lend":
            part = one.lend(self.of)
            if part:
                self._post("lent", one, number, start, asks, part)
        elif kind == "lent":
            one.lent(self.now, asks, number, start, figure)
        elif kind == "freed?":
            one.free(number, start)
            self._post("freed", one, number, start, 0)
        else:
            one.told_free(self.now, number)

    def key(self) -> Hashable:
        return (self.now, tuple((n, one.start, one.closed, one.ready, one.begun, one.granted, tuple(sorted(one.freed)),
                                 tuple(sorted(one.newest.items())), tuple(sorted(one.asked)),
                                 tuple(sorted((m, loan.part, loan.until) for m, loan in one.borrowed.items())))
                                for n, one in self.run.items()), tuple(sorted(self.air)))

    def wrong(self) -> str:
        parts = {number: one.part(self.now) for number, one in self.run.items()}
        return f"the parts come to {sum(parts.values()):.3f}: {parts}" if sum(parts.values()) > 1 + 1e-9 else ""


def of_kind(world: Callable[..., object], **over):
    """A maker of worlds of that kind."""
    return lambda: world(**over)
