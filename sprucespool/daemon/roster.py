"""Sources of the roster of invokers: a stream from a roster service, or a watched file."""

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

FILE_CHECK_INTERVAL_SECONDS = 0.25
# The roster service is pinged after this time without anything from it, so that its silence is noticed before the list
# counts as old; checked in the interval.
SERVICE_PING_MS, SERVICE_CHECK_INTERVAL_SECONDS = 500.0, 0.25
STATUSES = {0: it.Status.IN_SERVICE.value, 1: it.Status.DRAINING.value, 2: it.Status.GONE.value}
KINDS = {0: it.News.UPDATE.value, 1: it.News.REPLACE.value}
AddInput = Callable[[ms.Input], None]


class RosterFile:
    """Reads the file again whenever it changes. An invalid file is logged; the last valid content stays in force."""

    def __init__(self, path: str, add_input: AddInput, log: Any):
        self.path, self.add_input, self.log, self.source = path, add_input, log, path
        self.loop = asyncio.get_running_loop()
        self.last_mark: tuple | None = None
        self.version, self.last_error = 0, ""
        self.timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        self._check()

    def _check(self):
        self.timer = self.loop.call_later(FILE_CHECK_INTERVAL_SECONDS, self._check)
        try:
            stat = os.stat(self.path)
            mark = stat.st_mtime_ns, stat.st_size, stat.st_ino
            if mark == self.last_mark:
                return
            self.last_mark = mark
            with open(self.path, encoding="utf-8") as source:
                content = read(Invokers, source.read(), self.path)
        except (OSError, UnicodeDecodeError, SettingsError) as error:
            # Logged once for each state of the file, not at every check.
            if str(error) != self.last_error:
                self.log.error("roster file refused", why=str(error))
            self.last_error = str(error)
            return
        self.last_error = ""
        # The version comes from the file's modification time, so that all readers of the file have the same versions.
        self.version = max(self.version + 1, stat.st_mtime_ns // 1_000_000)
        rows = [
            ms.Row(
                line.address,
                line.zone,
                line.kind,
                line.cell,
                it.Status.DRAINING.value if line.draining else it.Status.IN_SERVICE.value,
                line.size,
            )
            for line in content.invokers
        ]
        self.log.info("roster", source=self.path, version=self.version, invokers=len(rows))
        self.add_input(ms.Roster(it.News.REPLACE.value, self.version, rows))

    def subscribe(self, active: bool) -> None:
        """On request of the module, report the file's content again."""
        if active:
            self.last_mark = None

    def stop(self) -> None:
        if self.timer:
            self.timer.cancel()


class RosterWatch:
    """Keeps a subscription to a roster service. After a break it subscribes again with jittered backoff or, if the
    decision module requests the roster itself (`asked`), reports the break to the module."""

    def __init__(
        self,
        service: str,
        asked: bool,
        add_input: AddInput,
        log: Any,
        seed: int,
        own_metadata: Metadata,
        source: str = "",
    ):
        host, port = address(service)
        self.service, self.asked, self.add_input, self.log, self.own_metadata = (
            service,
            asked,
            add_input,
            log,
            own_metadata,
        )
        # Name that the roster service gives itself in its messages; `on_lost` is called when the stream has ended.
        self.source = ""
        self.on_lost: Callable[[], None] = lambda: None
        self.loop = asyncio.get_running_loop()
        limits = PoolLimits(
            connections=1,
            connect_timeout=1000.0,
            initial_backoff=20.0,
            max_backoff=2000.0,
            keepalive=SERVICE_PING_MS,
            keepalive_timeout=2000.0,
            source=source,
        )
        self.pool = Pool(host, port, Limits(), limits, seed)
        # When something was last received on the connection of the subscription (ms); None before the first roster.
        self.heard_at: float | None = None
        self.backoff = Backoff(limits, seed + 1)
        self.call: PoolCall | None = None
        self.version = 0
        self.timer: asyncio.TimerHandle | None = None
        self.stopped = False

    def start(self) -> None:
        self._check()
        if not self.asked:
            self._watch()

    def _check(self):
        if not self.stopped:
            self.pool.check()
            self._report_contact()
            self.loop.call_later(SERVICE_CHECK_INTERVAL_SECONDS, self._check)

    def _report_contact(self):
        """Tell until when the roster was up to date: whatever is received follows all changes sent before it."""
        if self.heard_at is None or self.call is None or self.call.over or self.call.conn is None:
            return
        received_at = self.call.conn.wire.last_received_at
        if received_at > self.heard_at:
            self.heard_at = received_at
            self.add_input(ms.DiscoveryHeard(self.loop.time() * 1000.0 - received_at))

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
        request = platform.RosterRequest(controller=self.own_metadata.get(names.CONTROLLER, ""))
        self.call = self.pool.call(
            names.ROSTER_WATCH, self.own_metadata, None, request.SerializeToString(), self._watch_event
        )

    def fetch(self) -> None:
        def on_event(event: CallEvent):
            if isinstance(event, Message):
                self._received(event.data)
                call.consumed(event.size)
            elif not isinstance(event, (Answered, Drained)) or isinstance(event, Answered) and event.status:
                self.add_input(ms.Roster(it.News.UNAVAILABLE.value))

        call = self.pool.call(names.ROSTER_FETCH, self.own_metadata, 5000.0, b"", on_event)

    def _watch_event(self, event: CallEvent):
        if isinstance(event, Message):
            self.backoff.succeeded()
            self._received(event.data)
            if self.call is not None:
                self.call.consumed(event.size)
            if self.heard_at is None:
                self.heard_at = 0.0
            self._report_contact()
        elif not isinstance(event, Drained) and not self.stopped:
            # The last roster stays in force: the loss of the roster service must not empty the fleet.
            self.log.warning("roster lost", source=self.service, why=str(event)[:200])
            self.on_lost()
            if self.asked:
                self.add_input(ms.Roster(it.News.UNAVAILABLE.value))
            else:
                self.backoff.failed(self.loop.time() * 1000.0)
                self.timer = self.loop.call_later(self.backoff.pause / 1000.0, self._watch)

    def _received(self, data: bytes):
        try:
            message = platform.RosterNews.FromString(data)
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
                for entry in message.entries
            ]
            for row in rows:
                address(row.invoker)
        except (DecodeError, KeyError, ValueError) as error:
            return self.log.error("roster news refused", source=self.service, why=str(error)[:200])
        self.log.info("roster", source=self.service, version=message.version, entries=len(rows))
        self.source = message.source[:64]
        self.add_input(ms.Roster(KINDS.get(message.kind, it.News.UPDATE.value), message.version, rows))

    def stop(self) -> None:
        self.stopped = True
        if self.timer:
            self.timer.cancel()
        self.pool.close()
