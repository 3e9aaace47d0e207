"""Broken members, each without one thing that an invariant of the group rests on. For proving the checker only."""

from __future__ import annotations

from dataclasses import replace

from sprucespool.membership import About, Group, Message, Row, Outgoing, State


class Shunning(Group):
    """(a) Hears nobody whom it holds dead: halves that lost each other never meet again."""

    def receive(self, now: float, message: Message) -> list[Outgoing]:
        held = self.table.records.get(message.sender.seat)
        if held is not None and held.row.state is State.DEAD:
            return []
        return super().receive(now, message)


class Silent(Group):
    """(b) Says nothing when it hears that it is taken for dead."""

    def _learn_about_self(self, now: float, row: Row, reporter: str) -> bool:
        return False


class Trusting(Group):
    """(c) Accuses nobody and believes no accusation."""

    def _check_failed(self, now: float, check) -> None:
        pass

    def _is_credible(self, now, row, held, reporter) -> bool:
        return False


class Forgetful(Group):
    """(d) Counts its own tellings from the start again."""

    def _period(self, now: float) -> list[Outgoing]:
        if self._periods % 4 == 0:
            self.table.set_me(replace(self.me, version=0 if self.me.version else 3))
        return super()._period(now)

    def _learn_about_self(self, now: float, row: Row, reporter: str) -> bool:
        # What others remember of its tellings would else put it right before anybody looks.
        return False


class Wordless(Group):
    """(e) Leaves without a word."""

    def leave(self, now: float) -> list[Outgoing]:
        super().leave(now)
        return []

    def update_about(self, now: float, about: About) -> list[Outgoing]:
        super().update_about(now, about)
        return []


class Greedy(Group):
    """(f) Divides by those it sees, whoever else there may be."""

    def share(self) -> float:
        return 1.0 / max(1, len(self.live()))


class Liar(Group):
    """Breaks no invariant by itself: says of all others, again and again and ever higher, that they are silent."""

    def _period(self, now: float) -> list[Outgoing]:
        rows = tuple(
            replace(
                held.row,
                state=State.SUSPECT,
                accusers=(self.name,),
                incarnation=held.row.incarnation + (10**9 if self._periods % 2 else 1),
            )
            for held in list(self.table.present.values())[:8]
        )
        return super()._period(now) + [
            self._send(seat[1], "ping", self._by_name(seat), self._next_number(), rows)
            for seat in list(self.table.present)[:4]
        ]


MEMBERS: dict[str, type[Group]] = {
    "group-a": Shunning,
    "group-b": Silent,
    "group-c": Trusting,
    "group-d": Forgetful,
    "group-e": Wordless,
    "group-f": Greedy,
    "group-liar": Liar,
}
