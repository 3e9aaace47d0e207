"""A stand-in invoker process: serves the worker model over the Open Inference Protocol, with scheduled faults.

Started by `sprucespool invoker`, or by the stage, which also passes faults:
`python -m sprucespool.standin.invoker PLAN.json`.
"""

from __future__ import annotations

import asyncio
import math
import random
import signal
import sys
import zlib
from dataclasses import dataclass
from typing import Any

import msgspec

from sprucespool.emulator.worker import (
    FetchWanted,
    Finished,
    Job,
    Load,
    LoadOrder,
    Missed,
    ModelInfo,
    Overloaded,
    Refused,
    Settled,
    Worker,
    WorkerFacts,
)
from sprucespool.grpc.events import Answered, Message
from sprucespool.grpc.status import Limits, Metadata, Status
from sprucespool.judge import seen
from sprucespool.settings.controller import address
from sprucespool.standin.trace import Notes, now_ms
from sprucespool.transport.listener import Listener, Server, ServerCall, unary
from sprucespool.transport.plan import PoolLimits
from sprucespool.transport.pool import FINAL_EVENTS, CallEvent, Pool
from sprucespool.wire import inference_pb2 as oip
from sprucespool.wire import names, outcomes
from sprucespool.wire import platform_pb2 as platform
from sprucespool.wire.peek import MalformedRequest, peek_request, wrap_stream_result


class Fault(msgspec.Struct):
    """A fault that starts `at` ms after the start of the day and lasts `lasts` ms.

    `share` is a share of the answers or of the models, for the kinds that use it.
    """

    kind: str
    at: float
    lasts: float
    share: float = 1.0
    factor: float = 1.0
    span: float = 0.0
    every: float = 1e9


class InvokerPlan(msgspec.Struct):
    """The configuration that a stand-in invoker is started with."""

    listen: str
    boot: str
    facts: WorkerFacts
    catalog: dict[str, ModelInfo] = {}
    # Used for models that are not in the catalog; None: such models are refused.
    any_model: ModelInfo | None = None
    library: str | None = None
    notes: str | None = None
    cold: bool = True
    tells: bool = True
    zone: str = ""
    cell: str = ""
    seed: int = 1
    drain_within: float = 10_000.0
    faults: list[Fault] = []
    # The address under which other processes reach it; None: the listening address.
    advertise: str | None = None
    # Its name in the links of the day, which faults of links refer to.
    place: str = ""


@dataclass(slots=True, eq=False)
class _PendingCall:
    call: ServerCall
    number: int
    id: str
    model: str
    results: int = 0
    gap_ms: float = 0.0
    closed: bool = False


class _Catalog(dict):
    """The models by name; returns `any_model` of the plan, if set, for models that it does not list."""

    def __init__(self, plan: InvokerPlan):
        super().__init__(plan.catalog)
        self.any_model = plan.any_model

    def get(self, model, default=None):
        return super().get(model, self.any_model if self.any_model is not None else default)


class StandIn:
    """Connects the sockets of the process with the worker model and applies the faults."""

    def __init__(self, plan: InvokerPlan):
        self.plan, self.loop = plan, asyncio.get_running_loop()
        self.notes = Notes(plan.notes) if plan.notes else None
        self.rng = random.Random(plan.seed)
        self.worker = Worker(plan.facts, _Catalog(plan), now_ms(), cold=plan.cold)
        self.listener = Listener(
            {
                names.MODEL_INFER: unary(self._infer),
                names.MODEL_STREAM_INFER: unary(self._infer),
                names.MODEL_LOAD: unary(self._order),
                names.MODEL_UNLOAD: unary(self._unload),
                names.SERVER_LIVE: unary(self._live),
                names.SERVER_READY: unary(self._ready),
                names.MODEL_READY: unary(self._model_ready),
            },
            Limits(),
            Server(),
        )
        self.library: Pool | None = None
        self.call_count = 0
        self.pending_calls: dict[Job, _PendingCall] = {}
        self.withheld: list[Finished] = []
        self.timer: asyncio.TimerHandle | None = None
        self.ended = asyncio.Event()
        self.name = self.where = plan.listen
        self.malformed_calls = 0
        self.faults: list[Fault] = []

    def note(self, what: Any):
        if self.notes:
            self.notes.write(what)

    async def start(self) -> int:
        host, wanted_port = address(self.plan.listen)
        port = await self.listener.start(host, wanted_port)
        self.where = f"{host}:{port}"
        self.name = self.plan.advertise or self.where
        if self.plan.library:
            self.library = Pool(*address(self.plan.library), Limits(), PoolLimits(), self.plan.seed)
        self.worker.started_at = now_ms()
        facts = self.plan.facts
        self.note(
            seen.Booted(
                now_ms(),
                self.name,
                self.plan.boot,
                facts.cores,
                facts.speed,
                self.plan.cold,
                self.plan.zone,
                self.plan.cell,
                self.plan.place,
            )
        )
        return port

    def begin(self, at: float) -> None:
        """Schedule the faults relative to `at`, the start of the day on the machine's clock.

        It is known only once all processes have started.
        """
        self.faults = [msgspec.structs.replace(fault, at=fault.at + at) for fault in self.plan.faults]
        for fault in self.faults:
            self.loop.call_at(fault.at / 1000.0, self._start_fault, fault)

    def _read_begin_time(self):
        self.loop.remove_reader(0)
        line = sys.stdin.readline().strip()
        if line:
            self.begin(float(line))

    # Faults

    def _active_fault(self, kind: str) -> Fault | None:
        now = now_ms()
        return next(
            (fault for fault in self.faults if fault.kind == kind and fault.at <= now < fault.at + fault.lasts), None
        )

    def _start_fault(self, fault: Fault):
        now = now_ms()
        if now >= fault.at + fault.lasts and fault.kind != "flush":
            return
        if fault.kind == "crawl":
            self.worker.slowdown = fault.factor
            self.loop.call_at((fault.at + fault.lasts) / 1000.0, self._end_crawl)
        elif fault.kind == "pauses":
            self.worker.pause(now, fault.span)
            self.loop.call_later(fault.every / 1000.0, self._start_fault, fault)
        elif fault.kind == "flush":
            hash_limit = fault.share * 2**32
            self.worker.flush([model for model in self.worker.copies if zlib.crc32(model.encode()) < hash_limit])
        elif fault.kind == "go-away":
            for peer in list(self.listener.peers):
                peer.link.go_away(why="a fault of the script")
                peer.wire.flush_soon()
            self.loop.call_later(fault.every / 1000.0, self._start_fault, fault)
        elif fault.kind == "hang":
            self.loop.call_at((fault.at + fault.lasts) / 1000.0, self._end_hang)
        self._run_actions(now)

    def _end_crawl(self):
        self.worker.slowdown = 1.0

    def _end_hang(self):
        withheld, self.withheld = self.withheld, []
        for action in withheld:
            self._finished(action)

    # Calls

    def _infer(self, call: ServerCall, data: bytes):
        try:
            request = peek_request(data)
        except MalformedRequest as error:
            self.malformed_calls += 1
            return call.finish(Status.INVALID_ARGUMENT, str(error))
        now = now_ms()
        self.call_count += 1
        work = request.parameters.get("work_ms", 80.0)
        work = float(work) if isinstance(work, (int, float)) else 80.0
        results = request.parameters.get("results", 1)
        pending = _PendingCall(
            call,
            self.call_count,
            request.id,
            request.model,
            int(results) if call.path == names.MODEL_STREAM_INFER and isinstance(results, int) else 0,
            float(request.parameters.get("gap_ms", 20.0)),
        )
        self.note(
            seen.Came(
                now,
                self.name,
                self.plan.boot,
                pending.number,
                request.id,
                outcomes.read_controller(call.metadata),
                work,
                request.model,
            )
        )
        key = request.parameters.get("dedup_key", "")
        job = Job(pending, request.model, work, key if isinstance(key, str) else "")
        self.pending_calls[job] = pending
        call.on_cancelled = lambda: self._cancelled(job)
        refuse_fault = self._active_fault("refuse")
        if refuse_fault:
            self.worker._record_sent_work(now, work)
            return self._refused(Refused(job, "a fault of the script"))
        self.worker.arrive(now, job)
        self._run_actions(now)

    def _cancelled(self, job: Job):
        pending = self.pending_calls.pop(job, None)
        if pending is not None and not pending.closed:
            pending.closed = True
            self.note(seen.Went(now_ms(), self.name, self.plan.boot, pending.number, "cancelled"))
            self.worker.cancel(now_ms(), job)
            self._run_actions(now_ms())

    def _mark_ended(self, job: Job, how: str) -> _PendingCall | None:
        pending = self.pending_calls.pop(job, None)
        if pending is None or pending.closed:
            return None
        pending.closed = True
        self.note(seen.Went(now_ms(), self.name, self.plan.boot, pending.number, how))
        return pending

    def _trailers(self, job: Job) -> Metadata:
        if not self.plan.tells:
            return {}
        running = len(self.worker.running) / max(1, self.plan.facts.cores)
        return {
            **self._process_metadata(),
            names.FOUND: job.found,
            names.SAME_MODEL: str(min(30, job.same_model)),
            names.REPORT: f"util={min(1.0, running):.3f},x1={len(self.worker.loading)}",
        }

    def _process_metadata(self) -> Metadata:
        process = {names.BOOT: self.plan.boot, names.AGE: f"{now_ms() - self.worker.started_at:.0f}"}
        return {**process, names.DRAINING: "1"} if self.worker.draining else process

    def _finished(self, action: Finished):
        job = action.job
        if self._active_fault("hang"):
            self.withheld.append(action)
            return
        lost_fault, half_fault = self._active_fault("answer-lost"), self._active_fault("half-frame")
        if lost_fault and self.rng.random() < lost_fault.share:
            if pending := self._mark_ended(job, "lost"):
                pending.call.wire.end("an answer lost", at_once=True)
            return
        if half_fault and self.rng.random() < half_fault.share:
            if pending := self._mark_ended(job, "lost"):
                wire = pending.call.wire
                if wire.transport is not None and not wire.lost:
                    # Sends 7 bytes of a DATA frame that announces 64.
                    wire._flush()
                    wire.transport.write(b"\x00\x00\x40\x00\x00" + pending.call.stream.to_bytes(4, "big") + b"\0" * 7)
                    wire.transport.close()
                    wire._report_lost("half a frame")
            return
        pending = self.pending_calls.get(job)
        if pending is None or pending.closed:
            return
        result = oip.ModelInferResponse(model_name=job.model, id=pending.id)
        result.raw_output_contents.append(b"caption " * 16)
        data = result.SerializeToString()
        if pending.results:
            self._stream(job, pending, data, pending.results)
            return
        self._mark_ended(job, "returned")
        pending.call.send(wrap_stream_result(data) if pending.call.path == names.MODEL_STREAM_INFER else data)
        pending.call.finish(Status.OK, trailers=self._trailers(job))

    def _stream(self, job: Job, pending: _PendingCall, data: bytes, remaining: int):
        if pending.closed:
            return
        pending.call.send(wrap_stream_result(data))
        if remaining > 1:
            self.loop.call_later(pending.gap_ms / 1000.0, self._stream, job, pending, data, remaining - 1)
        elif self._mark_ended(job, "returned"):
            pending.call.finish(Status.OK, trailers=self._trailers(job))

    def _refused(self, action: Refused):
        if pending := self._mark_ended(action.job, "refused"):
            pending.call.finish(Status.RESOURCE_EXHAUSTED, action.why, self._trailers(action.job))

    def _missed(self, action: Missed):
        if pending := self._mark_ended(action.job, "missed"):
            trailers = {names.LOAD_FAILED: "1"} if action.load_failed and self.plan.tells else {}
            pending.call.finish(Status.NOT_FOUND, "the model is not loaded here", trailers)

    def _order(self, call: ServerCall, data: bytes):
        try:
            request = oip.RepositoryModelLoadRequest.FromString(data)
        except Exception:
            self.malformed_calls += 1
            return call.finish(Status.INVALID_ARGUMENT, "no RepositoryModelLoadRequest")
        copies = request.parameters[names.COPIES].int64_param if names.COPIES in request.parameters else 1
        self.note(
            seen.Ordered(
                now_ms(), self.name, self.plan.boot, outcomes.read_controller(call.metadata), request.model_name, copies
            )
        )
        if self._active_fault("hang"):
            return
        self.worker.order(now_ms(), LoadOrder(call, request.model_name, min(16, copies)))
        self._run_actions(now_ms())

    def _settled(self, action: Settled):
        call = action.order.tag
        assert isinstance(call, ServerCall)
        trailers = {names.STANDING: str(action.loaded_copies)} if self.plan.tells else {}
        if action.fulfilled:
            call.send(oip.RepositoryModelLoadResponse().SerializeToString())
            call.finish(Status.OK, trailers=trailers)
        else:
            call.finish(Status.RESOURCE_EXHAUSTED, "the copies will not stand", trailers)

    def _unload(self, call: ServerCall, data: bytes):
        request = oip.RepositoryModelUnloadRequest.FromString(data)
        self.worker.unload(now_ms(), request.model_name)
        call.send(oip.RepositoryModelUnloadResponse().SerializeToString())
        call.finish(Status.OK)

    def _live(self, call: ServerCall, data: bytes):
        call.send(oip.ServerLiveResponse(live=True).SerializeToString())
        call.finish(Status.OK, trailers={names.REPORT: f"depth={len(self.worker.queue)}"})

    def _ready(self, call: ServerCall, data: bytes):
        call.send(oip.ServerReadyResponse(ready=not self.worker.draining).SerializeToString())
        process = self._process_metadata() if self.plan.tells else {}
        call.finish(Status.OK, trailers={names.REPORT: f"depth={len(self.worker.queue)}", **process})

    def _model_ready(self, call: ServerCall, data: bytes):
        name = oip.ModelReadyRequest.FromString(data).name
        call.send(oip.ModelReadyResponse(ready=bool(self.worker.copies.get(name))).SerializeToString())
        call.finish(Status.OK)

    # The worker

    def _fetch(self, load: Load):
        if self.library is None:
            self.loop.call_later(load.info.fetch / 1000.0, self._fetched, load, True)
            return

        def on_event(event: CallEvent):
            if isinstance(event, Message):
                call.consumed(event.size)
            elif isinstance(event, FINAL_EVENTS):
                self._fetched(load, isinstance(event, Answered) and event.status is Status.OK)

        request = platform.FetchRequest(model=load.model, invoker=self.name).SerializeToString()
        call = self.library.call(names.LIBRARY_FETCH, {}, 30_000.0, request, on_event)

    def _fetched(self, load: Load, ok: bool):
        self.worker.fetched(now_ms(), load, ok)
        self._run_actions(now_ms())

    def _run_actions(self, now: float):
        """Run the actions that the worker queued in its last step and set the timer for its next due time."""
        while self.worker.actions:
            actions, self.worker.actions = self.worker.actions, []
            for action in actions:
                self._run_action(action)
        due = self.worker.next_due()
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        if due < math.inf and not self.worker.overloaded:
            self.timer = self.loop.call_at(max(due, now) / 1000.0, self._timer_due)
        if self.worker.draining and self.worker.idle and not self.pending_calls:
            self.ended.set()

    def _run_action(self, action: Any):
        if isinstance(action, Finished):
            self._finished(action)
        elif isinstance(action, Refused):
            self._refused(action)
        elif isinstance(action, Missed):
            self._missed(action)
        elif isinstance(action, FetchWanted):
            self.note(seen.Count(now_ms(), "loads", 1))
            self._fetch(action.load)
        elif isinstance(action, Settled):
            self._settled(action)
        elif isinstance(action, Overloaded):
            self.note(seen.PushedOver(now_ms(), self.name, self.plan.boot, action.sent, action.allowed))
            self.listener.close()

    def _timer_due(self):
        self.timer = None
        now = now_ms()
        self.worker.advance(now)
        self._run_actions(now)

    # Shutdown

    def drain(self) -> None:
        if not self.worker.draining:
            self.worker.draining = True
            self.listener.go_away()
            self.loop.call_later(self.plan.drain_within / 1000.0, self.ended.set)
            self._run_actions(now_ms())

    async def run(self) -> None:
        for number in (signal.SIGTERM, signal.SIGINT):
            self.loop.add_signal_handler(number, self.drain)
        if self.plan.faults:
            self.loop.add_reader(0, self._read_begin_time)
        await self.ended.wait()
        await self.listener.drain(300.0)
        tally = self.worker.tally
        for name, value in (
            ("load failures", tally.load_failures),
            ("evicted", tally.evicted),
            ("repeats dropped", tally.repeats_dropped),
        ):
            self.note(seen.Count(now_ms(), name, value))
        self.note(seen.Died(now_ms(), self.name, self.plan.boot))
        if self.library:
            self.library.close()
        self.listener.close()
        if self.notes:
            self.notes.close()


async def serve(plan: InvokerPlan) -> int:
    standin = StandIn(plan)
    try:
        await standin.start()
    except OSError as error:
        print(f"{plan.listen}: can't listen: {error.strerror or error}", file=sys.stderr)
        return 2
    print(f"listening on {standin.where}", flush=True)
    await standin.run()
    return 0


def main(path: str) -> int:
    with open(path, "rb") as source:
        plan = msgspec.json.decode(source.read(), type=InvokerPlan)
    return asyncio.run(serve(plan))


if __name__ == "__main__":
    sys.exit(main(sys.argv[1]))
