"""Where the daemon hears of invokers: a roster service over a stream, or a watched file."""

from __future__ import annotations

import asyncio
import os
from collections.abc import Callable
from typing import Any

from google.protobuf.message import DecodeError

from sprucespool import interface as it
from sprucespool.gateway import messages as ms
from sprucespool.grpc.events import Answered, Drained, Message
from sprucespool.grpc.status import Limits, Metadata
from sprucespool.settings import SettingsError, read
from sprucespool.settings.controller import Invokers, address
from sprucespool.transport.plan import Backoff, PoolLimits
from sprucespool.transport.pool import CallEvent, Pool, PoolCall
from sprucespool.wire import names
from sprucespool.wire import platform_pb2 as platform

FILE_EVERY = 0.25
STATUSES = {0: it.Status.IN_SERVICE.value, 1: it.Status.DRAINING.value, 2: it.Status.GONE.value}
KINDS = {0: it.News.UPDATE.value, 1: it.News.REPLACE.value}
Tell = Callable[[ms.Input], None]


class RosterFile:
    """Reads a file again whenever it changes; a bad one is logged and the last good one stays in force."""

    def __init__(self, path: str, tell: Tell, log: Any):
        self.path, self.tell, self.log, self.source = path, tell, log, path
        self.loop = asyncio.get_running_loop()
        self.seen: tuple | None = None
        self.version, self.complained = 0, ""
        self.timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        self._look()

    def _look(self):
        self.timer = self.loop.call_later(FILE_EVERY, self._look)
        try:
            about = os.stat(self.path)
            mark = about.st_mtime_ns, about.st_size, about.st_ino
            if mark == self.seen:
                return
            self.seen = mark
            with open(self.path, encoding="utf-8") as source:
                found = read(Invokers, source.read(), self.path)
        except (OSError, UnicodeDecodeError, SettingsError) as problem:
            # Told once for each state of the file, not four times a second.
            if str(problem) != self.complained:
                self.log.error("roster file refused", why=str(problem))
            self.complained = str(problem)
            return
        self.complained = ""
        # By the file's own time: who reads the same file has the same versions.
        self.version = max(self.version + 1, about.st_mtime_ns // 1_000_000)
        rows = [
            ms.Row(
                line.address,
                line.zone,
                line.kind,
                line.cell,
                it.Status.DRAINING.value if line.draining else it.Status.IN_SERVICE.value,
                line.size,
            )
            for line in found.invokers
        ]
        self.log.info("roster", source=self.path, version=self.version, invokers=len(rows))
        self.tell(ms.Roster(it.News.REPLACE.value, self.version, rows))

    def subscribe(self, active: bool) -> None:
        """Asked by the module: the file is told again as it stands."""
        if active:
            self.seen = None

    def stop(self) -> None:
        if self.timer:
            self.timer.cancel()


class RosterWatch:
    """Keeps a subscription to a roster service, with jittered pauses after a break; or, where the decision module
    asks for itself, tells it of the break."""

    def __init__(self, where: str, asked: bool, tell: Tell, log: Any, seed: int, about: Metadata, source: str = ""):
        host, port = address(where)
        self.where, self.asked, self.tell, self.log, self.about = where, asked, tell, log, about
        # As it names itself; who hears when the connection to it is gone.
        self.source = ""
        self.on_lost: Callable[[], None] = lambda: None
        self.loop = asyncio.get_running_loop()
        limits = PoolLimits(
            connections=1,
            connect_timeout=1000.0,
            initial_backoff=20.0,
            max_backoff=2000.0,
            keepalive=2000.0,
            keepalive_timeout=2000.0,
            source=source,
        )
        self.pool = Pool(host, port, Limits(), limits, seed)
        self.backoff = Backoff(limits, seed + 1)
        self.call: PoolCall | None = None
        self.version = 0
        self.timer: asyncio.TimerHandle | None = None
        self.stopped = False

    def start(self) -> None:
        self._look()
        if not self.asked:
            self._watch()

    def _look(self):
        if not self.stopped:
            self.pool.check()
            self.loop.call_later(1.0, self._look)

    def subscribe(self, active: bool) -> None:
        if active:
            self._watch()
        elif self.call:
            self.call.cancel()
            self.call = None

    def _watch(self):
        if self.stopped:
            return
        if self.call is not None and not self.call.over:
            self.call.cancel()
        request = platform.RosterRequest(controller=self.about.get(names.CONTROLLER, ""))
        self.call = self.pool.call(names.ROSTER_WATCH, self.about, None, request.SerializeToString(), self._heard)

    def fetch(self) -> None:
        def heard(event: CallEvent):
            if isinstance(event, Message):
                self._news(event.data)
                call.consumed(event.size)
            elif not isinstance(event, (Answered, Drained)) or isinstance(event, Answered) and event.status:
                self.tell(ms.Roster(it.News.UNAVAILABLE.value))

        call = self.pool.call(names.ROSTER_FETCH, self.about, 5000.0, b"", heard)

    def _heard(self, event: CallEvent):
        if isinstance(event, Message):
            self.backoff.succeeded()
            self._news(event.data)
            if self.call is not None:
                self.call.consumed(event.size)
        elif not isinstance(event, Drained) and not self.stopped:
            # The old list stays in force: a dead roster must not empty the fleet.
            self.log.warning("roster lost", source=self.where, why=str(event)[:200])
            self.on_lost()
            if self.asked:
                self.tell(ms.Roster(it.News.UNAVAILABLE.value))
            else:
                self.backoff.failed(self.loop.time() * 1000.0)
                self.timer = self.loop.call_later(self.backoff.pause / 1000.0, self._watch)

    def _news(self, data: bytes):
        try:
            news = platform.RosterNews.FromString(data)
            rows = [
                ms.Row(
                    entry.address,
                    entry.zone,
                    entry.machine_kind,
                    entry.cell,
                    STATUSES[entry.status],
                    entry.size or 1.0,
                    entry.boot,
                    entry.age_ms if entry.HasField("age_ms") else None,
                )
                for entry in news.entries
            ]
            for row in rows:
                address(row.invoker)
        except (DecodeError, KeyError, ValueError) as problem:
            return self.log.error("roster news refused", source=self.where, why=str(problem)[:200])
        self.log.info("roster", source=self.where, version=news.version, entries=len(rows))
        self.source = news.source[:64]
        self.tell(ms.Roster(KINDS.get(news.kind, it.News.UPDATE.value), news.version, rows))

    def stop(self) -> None:
        self.stopped = True
        if self.timer:
            self.timer.cancel()
        self.pool.close()
