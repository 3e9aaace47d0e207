"""Broken views of the fleet, each without one thing that an invariant rests on. For proving the checker only."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import replace

from sprucespool.emulator.cases import Liar
from sprucespool.fleet import Fleet, FleetMessage, Process, Record, RosterRow, Send, Witness


class Mute(Fleet):
    """(a) Tells nobody what is new, and never compares."""

    def _compare(self, address: str, at_once: bool) -> list[Send]:
        return []

    def _push(self) -> list[Send]:
        self._urgent.clear()
        self._push_at = float("inf")
        return []

    def piggyback_message(self, now: float) -> FleetMessage:
        return self._message("cargo")


class Deaf(Fleet):
    """(b) Takes nobody's word that a process drains or is gone."""

    def _learn(self, received: Record):
        super()._learn(replace(received, claims={}))


class Clinging(Fleet):
    """(c) Holds on to a process in whose place another stands."""

    def _end_predecessors(self, process: Process, version: int):
        pass

    def _process_seen(self, address: str, boot: str, draining: bool, age: float | None):
        pass

    def current(self, address: str) -> Record | None:
        return next(iter(self.view.at(address)), None)


class Gullible(Fleet):
    """(d) Believes everybody, whatever its own eyes see."""

    def _record_result(self, witness: Witness, process: Process, matter: str, right: bool, why: str):
        pass


class LyingSoon(Liar):
    """A liar from its first roster on."""

    def roster(self, now: float, whole: bool, source: str, version: int, rows: Iterable[RosterRow]) -> None:
        super().roster(now, whole, source, version, rows)
        self.lying = True


VIEWS: dict[str, type[Fleet]] = {
    "fleet-a": Mute,
    "fleet-b": Deaf,
    "fleet-c": Clinging,
    "fleet-d": Gullible,
    "fleet-liar": LyingSoon,
}
