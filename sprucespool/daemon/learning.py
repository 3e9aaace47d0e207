"""Exchanges claims about loaded copies between controllers and keeps snapshots: the I/O for `sprucespool.learning`."""

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
# Limit for a page, however many rows another controller requests.
MAX_PAGE_ROWS = 500
SERVING = it.Status.IN_SERVICE.value


class Exchange:
    """Requests claims at the start, answers the requests of other controllers, and reads and writes the snapshot."""

    def __init__(
        self,
        plan: Learning,
        keep_alive: float,
        add_input: Callable[[ms.Input], None],
        log: Any,
        own_metadata: Metadata,
        seed: int,
        wall_clock: Callable[[], float] | None = None,
        source: str = "",
    ):
        self.source = source
        self.plan, self.add_input, self.log, self.own_metadata = plan, add_input, log, own_metadata
        self.wall_clock = wall_clock or AnchoredClock().unix
        self.loop = asyncio.get_running_loop()
        self.joining = JoiningController(
            [source.address for source in plan.sources], keep_alive, JoiningLimits(total_timeout=plan.within)
        )
        self.page_builder = PageBuilder()
        self.pools: dict[str, Pool] = {}
        self.seed = seed
        self.last_token = 0
        self.waiting_requests: list[tuple[ServerCall, int, int]] = []
        self.file = SnapshotFile(plan.snapshot, log, MAX_BYTES) if plan.snapshot else None
        self.snapshot_due = self.loop.time() + plan.snapshot_every / 1000.0
        self.snapshot_requested = False
        self.timer: asyncio.TimerHandle | None = None
        self.claims_reported = self.claims_withdrawn = 0

    def now(self) -> float:
        return self.loop.time() * 1000.0

    def start(self) -> None:
        if self.file is not None:
            self._restore(self.file, self.wall_clock() * 1000.0)
        self._carry_out(self.joining.start(self.now()))
        self._check()

    def _restore(self, file: SnapshotFile, wall_ms: float):
        data = file.read()
        if data is None:
            return
        try:
            rows, written_at = decode(data)
            if written_at <= 0 or written_at > wall_ms:
                # The clock was set back: the age of the snapshot is unknown.
                raise CodecError("written at a time in the future")
        except CodecError as error:
            return file.refuse(str(error))
        age = wall_ms - written_at
        self.log.info("snapshot read", rows=len(rows), age_ms=round(age))
        self._carry_out(self.joining.snapshot(self.now(), rows, age))

    def _check(self):
        self.timer = self.loop.call_later(CHECK_INTERVAL_SECONDS, self._check)
        self._carry_out(self.joining.check(self.now()))
        if self.file is not None and self.loop.time() >= self.snapshot_due and not self.snapshot_requested:
            self.snapshot_due = self.loop.time() + self.plan.snapshot_every / 1000.0
            self.snapshot_requested = True
            self._request_beliefs()

    def _carry_out(self, steps: Iterable[FetchPage | ReportClaim]):
        claims = []
        for step in steps:
            if isinstance(step, ReportClaim):
                claim = step.claim
                claims.append(
                    ms.Claim(claim.invoker, claim.boot, claim.model, claim.copies, claim.lanes, step.lifetime)
                )
                self.claims_reported += step.lifetime > 0
                self.claims_withdrawn += step.lifetime <= 0
            else:
                self._fetch_page(step)
        if claims:
            self.add_input(ms.Told(claims))

    # Events of the daemon

    def roster(self, change: ms.Roster) -> None:
        serving = [(row.invoker, row.boot) for row in change.rows if row.status == SERVING]
        removed = [row.invoker for row in change.rows if row.status != SERVING]
        if change.kind in (it.News.REPLACE.value, it.News.RESTORED.value):
            named = {invoker for invoker, _ in serving}
            removed += [invoker for invoker in self.joining.boots if invoker not in named]
        # After the module received the roster: it must know an invoker before it gets claims about it.
        self.loop.call_soon(lambda: self._carry_out(self.joining.roster_changed(self.now(), serving, removed)))

    def forward_ended(self, invoker: str, model: str, outcome: it.Outcome, found: it.Found) -> None:
        if not self.joining.untested:
            return
        result = found.value if outcome is it.Outcome.RETURNED else "miss" if outcome is it.Outcome.MISS else None
        self._carry_out(self.joining.forward_ended(self.now(), invoker, model, result))

    def member_joined(self, address: str) -> None:
        """The group reports a present member: it may be used as a source."""
        if self.plan.members:
            self._carry_out(self.joining.add_source(self.now(), address))

    # Requests to sources

    def _pool(self, source: str) -> Pool:
        """Raises ValueError if `source` is not an address."""
        if source not in self.pools:
            host, port = address(source)
            self.pools[source] = Pool(
                host,
                port,
                Limits(message=MAX_BYTES + 4096),
                PoolLimits(connections=1, connect_timeout=500.0, source=self.source),
                self.seed,
            )
        return self.pools[source]

    def _fetch_page(self, step: FetchPage):
        request = platform.PageRequest(cursor=step.cursor, most=step.max_rows).SerializeToString()
        messages: list[bytes] = []

        def on_event(event: CallEvent):
            if isinstance(event, Message):
                messages.append(event.data)
                call.consumed(event.size)
            elif isinstance(event, FINAL_EVENTS):
                self._page_ended(step, event, messages)

        limit = self.joining.limits.page_timeout
        call = self._pool(step.source).call(names.LEARNING_PAGE, self.own_metadata, limit, request, on_event)
        # Guards against a source that accepts the call and never answers.
        self.loop.call_later(limit / 1000.0 + 0.05, call.cancel)

    def _page_ended(self, step: FetchPage, event: Any, messages: list[bytes]):
        why = ""
        if isinstance(event, Answered) and event.status is Status.OK and len(messages) == 1:
            try:
                reply = platform.PageReply.FromString(messages[0])
                rows, _ = decode(reply.page)
                return self._carry_out(self.joining.page_received(self.now(), step.source, rows, reply.more))
            except (DecodeError, CodecError) as error:
                why = str(error)
        why = why or str(event)[:200]
        self.log.warning("source lost", source=step.source, why=why)
        self._carry_out(self.joining.source_failed(self.now(), step.source, why))

    # Answers to other controllers

    def methods(self) -> dict[str, Method]:
        return {names.LEARNING_PAGE: unary(self._page)}

    def _page(self, call: ServerCall, data: bytes):
        if not self.plan.answer:
            return call.finish(Status.PERMISSION_DENIED, "this controller tells nothing")
        request = parse_request(call, platform.PageRequest, data)
        if request is None:
            return
        self.waiting_requests.append((call, request.cursor, max(1, min(MAX_PAGE_ROWS, request.most or MAX_PAGE_ROWS))))
        # Later pages are cut from the same rows as the first.
        if request.cursor == 0 and self.page_builder.stale(self.now()):
            self._request_beliefs()
        else:
            self._answer_waiting()

    def _request_beliefs(self):
        self.last_token += 1
        self.add_input(ms.BeliefsAsked(self.last_token))

    def beliefs_received(self, effect: ms.BeliefsGiven) -> None:
        """Use the module's beliefs, which were requested for a page or for a snapshot."""
        now = self.now()
        self.page_builder.rebuild(
            now,
            (
                (known.invoker, known.boot, known.model, known.copies, known.lanes, known.age, known.own)
                for known in effect.known
            ),
            self.joining.untested_claim,
        )
        if self.snapshot_requested and self.file is not None:
            self.snapshot_requested = False
            self.file.write(self.snapshot_bytes())
        self._answer_waiting()

    def snapshot_bytes(self) -> bytes:
        rows, _ = self.page_builder.page(self.now(), 0, len(self.page_builder.rows))
        return encode(rows, self.wall_clock() * 1000.0)

    def _answer_waiting(self):
        waiting, self.waiting_requests = self.waiting_requests, []
        for call, cursor, max_rows in waiting:
            rows, more = self.page_builder.page(self.now(), cursor, max_rows)
            call.send(platform.PageReply(page=encode(rows), more=more).SerializeToString())
            call.finish(Status.OK)

    def stop(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
        for pool in self.pools.values():
            pool.close()

    def write_last_snapshot(self, flush: Callable[[], None]) -> None:
        """At shutdown, write a snapshot of the present beliefs. `flush` makes the gateway take its waiting inputs."""
        if self.file is not None:
            self.snapshot_requested = True
            self._request_beliefs()
            flush()
