"""Broken group members, each without one property that an invariant needs. Used only to test the checker."""

from __future__ import annotations

from dataclasses import replace

from sprucespool.membership import About, Group, Message, Row, Outgoing, State


class Shunning(Group):
    """(a) Ignores members that it considers dead, so partitions never merge again."""

    def receive(self, now: float, message: Message) -> list[Outgoing]:
        held = self.table.records.get(message.sender.seat)
        if held is not None and held.row.state is State.DEAD:
            return []
        return super().receive(now, message)


class Silent(Group):
    """(b) Does not refute a report of its own death."""

    def _learn_about_self(self, now: float, row: Row, reporter: str) -> bool:
        return False


class Trusting(Group):
    """(c) Suspects no member and accepts no suspicion."""

    def _check_failed(self, now: float, check) -> None:
        pass

    def _is_credible(self, now, row, held, reporter) -> bool:
        return False


class Forgetful(Group):
    """(d) Restarts the version numbers of its own row."""

    def _period(self, now: float) -> list[Outgoing]:
        if self._periods % 4 == 0:
            self.table.set_me(replace(self.me, version=0 if self.me.version else 3))
        return super()._period(now)

    def _learn_about_self(self, now: float, row: Row, reporter: str) -> bool:
        # Otherwise the versions that others remember would correct it before a check sees it.
        return False


class Wordless(Group):
    """(e) Leaves without notifying anyone."""

    def leave(self, now: float) -> list[Outgoing]:
        super().leave(now)
        return []

    def update_about(self, now: float, about: About) -> list[Outgoing]:
        super().update_about(now, about)
        return []


class Greedy(Group):
    """(f) Computes its share from the members that it sees, ignoring any others."""

    def share(self) -> float:
        return 1.0 / max(1, len(self.live()))


class Liar(Group):
    """Reports all others as suspected, repeatedly and with rising incarnations. Breaks no invariant itself."""

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
