"""Broken views of the fleet, each without one thing that an invariant rests on. For proving the checker only."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import replace

from sprucespool.emulator.cases import Liar
from sprucespool.fleet import Fleet, Note, Process, Record, Send, Told, Witness


class Mute(Fleet):
    """(a) Tells nobody what is new, and never compares."""

    def _compare(self, address: str, at_once: bool) -> list[Send]:
        return []

    def _push(self) -> list[Send]:
        self._hurry.clear()
        self._push_at = float("inf")
        return []

    def cargo(self, now: float) -> Note:
        return self._note("cargo")


class Deaf(Fleet):
    """(b) Takes nobody's word that a process drains or is gone."""

    def _learn(self, told: Record):
        super()._learn(replace(told, words={}))


class Clinging(Fleet):
    """(c) Holds on to a process in whose place another stands."""

    def _succeeds(self, process: Process, version: int):
        pass

    def _told_boot(self, address: str, boot: str, draining: bool, age: float | None):
        pass

    def current(self, address: str) -> Record | None:
        return next(iter(self.view.at(address)), None)


class Gullible(Fleet):
    """(d) Believes everybody, whatever its own eyes see."""

    def _judged(self, witness: Witness, process: Process, matter: str, right: bool, why: str):
        pass


class LyingSoon(Liar):
    """A liar from its first roster on."""

    def roster(self, now: float, whole: bool, source: str, version: int, rows: Iterable[Told]) -> None:
        super().roster(now, whole, source, version, rows)
        self.lying = True


VIEWS: dict[str, type[Fleet]] = {
    "fleet-a": Mute,
    "fleet-b": Deaf,
    "fleet-c": Clinging,
    "fleet-d": Gullible,
    "fleet-liar": LyingSoon,
}
