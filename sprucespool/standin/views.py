"""Broken views of the fleet, each without one property that an invariant needs. Used only to test the checker."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import replace

from sprucespool.emulator.cases import Liar
from sprucespool.fleet import Fleet, FleetMessage, Process, Record, RosterRow, Send, Witness


class Mute(Fleet):
    """(a) Sends no updates and never compares digests."""

    def _compare(self, address: str, at_once: bool) -> list[Send]:
        return []

    def _push(self) -> list[Send]:
        self._urgent.clear()
        self._push_at = float("inf")
        return []

    def piggyback_message(self, now: float) -> FleetMessage:
        return self._message("cargo")


class Deaf(Fleet):
    """(b) Ignores reports that a process drains or is gone."""

    def _learn(self, received: Record):
        super()._learn(replace(received, claims={}))


class Clinging(Fleet):
    """(c) Keeps a process that another one has replaced."""

    def _end_predecessors(self, process: Process, version: int):
        pass

    def _process_seen(self, address: str, boot: str, draining: bool, age: float | None):
        pass

    def current(self, address: str) -> Record | None:
        return next(iter(self.view.at(address)), None)


class Gullible(Fleet):
    """(d) Believes every report, whatever it observes itself."""

    def _record_result(self, witness: Witness, process: Process, matter: str, right: bool, why: str):
        pass


class LyingSoon(Liar):
    """A liar that starts to lie with its first roster."""

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
