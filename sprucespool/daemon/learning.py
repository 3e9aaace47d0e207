"""Exchange of what is known between controllers, and snapshots: the I/O round `sprucespool.learning`."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable
from typing import Any

from google.protobuf.message import DecodeError

from sprucespool import interface as it
from sprucespool.daemon.request import parse_request
from sprucespool.daemon.snapshots import SnapshotFile
from sprucespool.gateway import messages as ms
from sprucespool.grpc.events import Answered, Message
from sprucespool.grpc.status import Limits, Metadata, Status
from sprucespool.learning import (
    CodecError,
    FetchPage,
    JoiningController,
    JoiningLimits,
    PageBuilder,
    ReportClaim,
    decode,
    encode,
)
from sprucespool.learning.codec import MAX_BYTES
from sprucespool.settings.controller import Learning, address
from sprucespool.transport.clock import AnchoredClock
from sprucespool.transport.listener import Method, ServerCall, unary
from sprucespool.transport.plan import PoolLimits
from sprucespool.transport.pool import FINAL_EVENTS, CallEvent, Pool
from sprucespool.wire import names
from sprucespool.wire import platform_pb2 as platform

CHECK_INTERVAL_SECONDS = 0.1
# Rows in a page for others, whatever they ask for.
MAX_PAGE_ROWS = 500
SERVING = it.Status.IN_SERVICE.value


class Exchange:
    """One controller's part: asks at its start, answers others, writes and reads its snapshot."""

    def __init__(
        self,
        plan: Learning,
        keep_alive: float,
        add_input: Callable[[ms.Input], None],
        log: Any,
        about: Metadata,
        seed: int,
        wall: Callable[[], float] | None = None,
        source: str = "",
    ):
        self.source = source
        self.plan, self.add_input, self.log, self.about = plan, add_input, log, about
        self.wall = wall or AnchoredClock().unix
        self.loop = asyncio.get_running_loop()
        self.joining = JoiningController(
            [source.address for source in plan.sources], keep_alive, JoiningLimits(total_timeout=plan.within)
        )
        self.page_builder = PageBuilder()
        self.pools: dict[str, Pool] = {}
        self.seed = seed
        self.token = 0
        self.waiting: list[tuple[ServerCall, int, int]] = []
        self.file = SnapshotFile(plan.snapshot, log, MAX_BYTES) if plan.snapshot else None
        self.snapshot_due = self.loop.time() + plan.snapshot_every / 1000.0
        self.writing = False
        self.timer: asyncio.TimerHandle | None = None
        self.claims_reported = self.claims_withdrawn = 0

    def now(self) -> float:
        return self.loop.time() * 1000.0

    def start(self) -> None:
        if self.file is not None:
            self._restore(self.file, self.wall() * 1000.0)
        self._do(self.joining.start(self.now()))
        self._check()

    def _restore(self, file: SnapshotFile, wall_ms: float):
        data = file.read()
        if data is None:
            return
        try:
            rows, written_at = decode(data)
            if written_at <= 0 or written_at > wall_ms:
                # A clock that went back: how old it is can't be known.
                raise CodecError("written at a time that has not come")
        except CodecError as problem:
            return file.refuse(str(problem))
        age = wall_ms - written_at
        self.log.info("snapshot read", rows=len(rows), age_ms=round(age))
        self._do(self.joining.snapshot(self.now(), rows, age))

    def _check(self):
        self.timer = self.loop.call_later(CHECK_INTERVAL_SECONDS, self._check)
        self._do(self.joining.check(self.now()))
        if self.file is not None and self.loop.time() >= self.snapshot_due and not self.writing:
            self.snapshot_due = self.loop.time() + self.plan.snapshot_every / 1000.0
            self.writing = True
            self._ask_module()

    def _do(self, steps: Iterable[FetchPage | ReportClaim]):
        claims = []
        for step in steps:
            if isinstance(step, ReportClaim):
                one = step.claim
                claims.append(ms.Claim(one.invoker, one.boot, one.model, one.copies, one.lanes, step.lifetime))
                self.claims_reported += step.lifetime > 0
                self.claims_withdrawn += step.lifetime <= 0
            else:
                self._ask(step)
        if claims:
            self.add_input(ms.Told(claims))

    # What the daemon sees pass by

    def roster(self, given: ms.Roster) -> None:
        serving = [(row.invoker, row.boot) for row in given.rows if row.status == SERVING]
        gone = [row.invoker for row in given.rows if row.status != SERVING]
        if given.kind in (it.News.REPLACE.value, it.News.RESTORED.value):
            named = {invoker for invoker, _ in serving}
            gone += [invoker for invoker in self.joining.boots if invoker not in named]
        # After the module heard of it: it must know an invoker before anything is told of it.
        self.loop.call_soon(lambda: self._do(self.joining.roster_changed(self.now(), serving, gone)))

    def ended(self, invoker: str, model: str, outcome: it.Outcome, found: it.Found) -> None:
        if not self.joining.untested:
            return
        how = found.value if outcome is it.Outcome.RETURNED else "miss" if outcome is it.Outcome.MISS else None
        self._do(self.joining.forward_ended(self.now(), invoker, model, how))

    def member(self, address: str) -> None:
        """The group told of a member that is there: it may be asked."""
        if self.plan.members:
            self._do(self.joining.add_source(self.now(), address))

    # Asking

    def _pool(self, where: str) -> Pool:
        """Raises ValueError on what is no address."""
        if where not in self.pools:
            host, port = address(where)
            self.pools[where] = Pool(
                host,
                port,
                Limits(message=MAX_BYTES + 4096),
                PoolLimits(connections=1, connect_timeout=500.0, source=self.source),
                self.seed,
            )
        return self.pools[where]

    def _ask(self, step: FetchPage):
        request = platform.PageRequest(cursor=step.cursor, most=step.max_rows).SerializeToString()
        got: list[bytes] = []

        def heard(event: CallEvent):
            if isinstance(event, Message):
                got.append(event.data)
                call.consumed(event.size)
            elif isinstance(event, FINAL_EVENTS):
                self._asked(step, event, got)

        limit = self.joining.limits.page_timeout
        call = self._pool(step.source).call(names.LEARNING_PAGE, self.about, limit, request, heard)
        # A source that accepts and never answers.
        self.loop.call_later(limit / 1000.0 + 0.05, call.cancel)

    def _asked(self, step: FetchPage, event: Any, got: list[bytes]):
        why = ""
        if isinstance(event, Answered) and event.status is Status.OK and len(got) == 1:
            try:
                reply = platform.PageReply.FromString(got[0])
                rows, _ = decode(reply.page)
                return self._do(self.joining.page_received(self.now(), step.source, rows, reply.more))
            except (DecodeError, CodecError) as problem:
                why = str(problem)
        why = why or str(event)[:200]
        self.log.warning("source lost", source=step.source, why=why)
        self._do(self.joining.source_failed(self.now(), step.source, why))

    # Answering

    def methods(self) -> dict[str, Method]:
        return {names.LEARNING_PAGE: unary(self._page)}

    def _page(self, call: ServerCall, data: bytes):
        if not self.plan.answer:
            return call.finish(Status.PERMISSION_DENIED, "this controller tells nothing")
        asked = parse_request(call, platform.PageRequest, data)
        if asked is None:
            return
        self.waiting.append((call, asked.cursor, max(1, min(MAX_PAGE_ROWS, asked.most or MAX_PAGE_ROWS))))
        # Pages after the first go by the rows that the first was cut from.
        if asked.cursor == 0 and self.page_builder.stale(self.now()):
            self._ask_module()
        else:
            self._answer_waiting()

    def _ask_module(self):
        self.token += 1
        self.add_input(ms.BeliefsAsked(self.token))

    def given(self, effect: ms.BeliefsGiven) -> None:
        """The module's beliefs, asked for a page or for a snapshot."""
        now = self.now()
        self.page_builder.rebuild(
            now,
            ((one.invoker, one.boot, one.model, one.copies, one.lanes, one.age, one.own) for one in effect.known),
            self.joining.untested_claim,
        )
        if self.writing and self.file is not None:
            self.writing = False
            self.file.write(self.snapshot_bytes())
        self._answer_waiting()

    def snapshot_bytes(self) -> bytes:
        rows, _ = self.page_builder.page(self.now(), 0, len(self.page_builder.rows))
        return encode(rows, self.wall() * 1000.0)

    def _answer_waiting(self):
        waiting, self.waiting = self.waiting, []
        for call, cursor, most in waiting:
            rows, more = self.page_builder.page(self.now(), cursor, most)
            call.send(platform.PageReply(page=encode(rows), more=more).SerializeToString())
            call.finish(Status.OK)

    def stop(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
        for pool in self.pools.values():
            pool.close()

    def write_last_snapshot(self, take: Callable[[], None]) -> None:
        """At SIGTERM: one more snapshot, of what is believed now. `take` has the gateway take what waits."""
        if self.file is not None:
            self.writing = True
            self._ask_module()
            take()
