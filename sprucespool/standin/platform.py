"""The stand-in roster and the stand-in model library, which run in the process of the stage."""

from __future__ import annotations

import asyncio
import math
import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from sprucespool.emulator.library import Fetch, Library, LibraryFacts
from sprucespool.emulator.worker import ModelInfo
from sprucespool.grpc.status import Status
from sprucespool.judge import seen
from sprucespool.standin.trace import Notes, now_ms
from sprucespool.transport.listener import Method, ServerCall, unary
from sprucespool.wire import names, outcomes
from sprucespool.wire import platform_pb2 as platform

IN_SERVICE, DRAINING, GONE = 0, 1, 2
STATUS = {IN_SERVICE: "in service", DRAINING: "draining", GONE: "gone"}


@dataclass(frozen=True, slots=True)
class Listed:
    address: str
    zone: str
    kind: str
    cell: str
    size: float
    boot: str
    born: float
    status: int = IN_SERVICE


class Roster:
    """The roster service. Publishes changes after `lag` plus what the script adds; each watcher gets them in order."""

    def __init__(self, notes: Notes, lag: float, seed: int):
        self.notes, self.lag, self.extra = notes, lag, 0.0
        self.loop = asyncio.get_running_loop()
        self.rng = random.Random(seed)
        self.listed: dict[str, Listed] = {}
        self.all_addresses: set[str] = set()
        self.watchers: dict[ServerCall, int] = {}
        self.version = 0
        self.last_due = 0.0
        self.down = False
        # Earlier states by time and version, to restore from, and whether messages can reach a controller.
        self.history: list[tuple[float, int, dict[str, Listed]]] = []
        self.reaches: Callable[[int], bool] = lambda controller: True

    def methods(self) -> dict[str, Method]:
        return {names.ROSTER_WATCH: unary(self._watch), names.ROSTER_FETCH: unary(self._fetch)}

    def change(self, entry: Listed, at_once: bool = False) -> None:
        """Record a change of now; controllers are notified later."""
        due = now_ms() + (0.0 if at_once else self.lag * self.rng.uniform(0.7, 1.3) + self.extra)
        self.last_due = due = max(due, self.last_due + 0.01)
        self.loop.call_at(due / 1000.0, self._publish, entry)

    def _publish(self, entry: Listed):
        self.version += 1
        if entry.status == GONE:
            self.listed.pop(entry.address, None)
        else:
            self.listed[entry.address] = entry
        self.history.append((now_ms(), self.version, dict(self.listed)))
        for call in list(self.watchers):
            self._send(call, platform.RosterNews.UPDATE, [entry])

    def _send(self, call: ServerCall, kind: Any, entries: list[Listed]):
        message = platform.RosterNews(
            kind=kind,
            version=self.version,
            source="roster",
            entries=[
                platform.RosterEntry(
                    address=entry.address,
                    zone=entry.zone,
                    machine_kind=entry.kind,
                    cell=entry.cell,
                    status=entry.status,  # type: ignore
                    size=entry.size,
                    boot=entry.boot,
                    age_ms=max(0.0, now_ms() - entry.born),
                )
                for entry in entries
            ],
        )
        now = now_ms()
        reachable = self.reaches(self.watchers.get(call, -1))
        for entry in entries if reachable else ():
            self.notes.write(
                seen.Told(now, self.watchers.get(call, -1), entry.address, entry.boot, STATUS[entry.status])
            )
        if kind == platform.RosterNews.REPLACE and reachable:
            # A process that a full list omits is gone.
            listed_addresses = {entry.address for entry in entries}
            for address in sorted(self.all_addresses - listed_addresses):
                self.notes.write(seen.Told(now, self.watchers.get(call, -1), address, "", "gone"))
        self.all_addresses |= {entry.address for entry in entries}
        call.send(message.SerializeToString())

    def _watch(self, call: ServerCall, data: bytes):
        if self.down:
            return call.finish(Status.UNAVAILABLE, "the roster is down")
        self.watchers[call] = outcomes.read_controller(call.metadata)
        call.on_cancelled = lambda: self._unsubscribe(call)
        self._send(call, platform.RosterNews.REPLACE, list(self.listed.values()))

    def _unsubscribe(self, call: ServerCall):
        self.watchers.pop(call, None)

    def _fetch(self, call: ServerCall, data: bytes):
        if self.down:
            return call.finish(Status.UNAVAILABLE, "the roster is down")
        self.watchers[call] = outcomes.read_controller(call.metadata)
        self._send(call, platform.RosterNews.REPLACE, list(self.listed.values()))
        del self.watchers[call]
        call.finish(Status.OK)

    def restore(self, span: float) -> None:
        """Restore the state of `span` ms ago; watchers have to subscribe again."""
        _, self.version, listed = max(
            (snapshot for snapshot in self.history if snapshot[0] <= now_ms() - span),
            default=self.history[0],
            key=lambda snapshot: snapshot[0],
        )
        self.listed = dict(listed)
        self.break_all()
        self.down = False

    def break_all(self) -> None:
        self.down = True
        for call in list(self.watchers):
            call.finish(Status.UNAVAILABLE, "the roster is down")
        self.watchers.clear()


class LibraryService:
    """Serves the library model over its one method, Fetch."""

    def __init__(self, notes: Notes, facts: LibraryFacts, catalog: dict[str, ModelInfo]):
        self.notes, self.catalog = notes, catalog
        self.loop = asyncio.get_running_loop()
        self.library = Library(facts, now_ms())
        self.timer: asyncio.TimerHandle | None = None

    def methods(self) -> dict[str, Method]:
        return {names.LIBRARY_FETCH: unary(self._fetch)}

    def set(self, slow: float | None = None, down: bool | None = None) -> None:
        self._advance()
        self.library.slowdown = slow if slow is not None else self.library.slowdown
        self.library.down = down if down is not None else self.library.down
        self._arm()

    def _fetch(self, call: ServerCall, data: bytes):
        request = platform.FetchRequest.FromString(data)
        info = self.catalog.get(request.model)
        if info is None:
            return call.finish(Status.NOT_FOUND, f"no model {request.model[:100]!r}")
        self._advance()
        fetch = Fetch(call, info.fetch)
        if not self.library.begin(fetch):
            self.notes.write(seen.Count(now_ms(), "turned away", 1))
            call.finish(Status.RESOURCE_EXHAUSTED, "too many fetches")
        else:
            call.on_cancelled = lambda: self.library.cancel(fetch)
        self._arm()

    def _advance(self):
        for fetch in self.library.advance(now_ms()):
            call = fetch.tag
            assert isinstance(call, ServerCall)
            call.send(platform.FetchReply(content=b"layer").SerializeToString())
            call.finish(Status.OK)

    def _arm(self):
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        due = self.library.next_due()
        if due < math.inf:
            self.timer = self.loop.call_at(due / 1000.0 + 0.0005, self._due)

    def _due(self):
        self._advance()
        self._arm()
