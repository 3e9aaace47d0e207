"""A stand-in invoker process: the worker model behind the Open Inference Protocol, with faults by time.

Run as `sprucespool invoker` or, with all its faults, by the stage: `python -m sprucespool.standin.invoker PLAN.json`.
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
    """From `at` (ms after the day's begin) for `lasts`; `share` of answers or models, where that is meant."""

    kind: str
    at: float
    lasts: float
    share: float = 1.0
    factor: float = 1.0
    span: float = 0.0
    every: float = 1e9


class InvokerPlan(msgspec.Struct):
    """All that a stand-in invoker is started with."""

    listen: str
    boot: str
    facts: WorkerFacts
    catalog: dict[str, ModelInfo] = {}
    # For models that the catalog does not have; None: they are refused.
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
    # The address that others know it by; None: where it listens.
    advertise: str | None = None
    # Its place in the day, by which links to it are cut.
    place: str = ""


@dataclass(slots=True, eq=False)
class _Held:
    call: ServerCall
    n: int
    id: str
    model: str
    results: int = 0
    gap: float = 0.0
    over: bool = False


class _Catalog(dict):
    """Knows any model, where the plan says so."""

    def __init__(self, plan: InvokerPlan):
        super().__init__(plan.catalog)
        self.any_model = plan.any_model

    def get(self, model, default=None):
        return super().get(model, self.any_model if self.any_model is not None else default)


class StandIn:
    """The process's whole life: sockets on one side, the worker model on the other."""

    def __init__(self, plan: InvokerPlan):
        self.plan, self.loop = plan, asyncio.get_running_loop()
        self.notes = Notes(plan.notes) if plan.notes else None
        self.chance = random.Random(plan.seed)
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
        self.numbers = 0
        self.held: dict[Job, _Held] = {}
        self.withheld: list[Finished] = []
        self.timer: asyncio.TimerHandle | None = None
        self.ended = asyncio.Event()
        self.name = self.where = plan.listen
        self.bad_calls = 0
        self.faults: list[Fault] = []

    def note(self, what: Any):
        if self.notes:
            self.notes.write(what)

    async def start(self) -> int:
        host, port = address(self.plan.listen)
        found = await self.listener.start(host, port)
        self.where = f"{host}:{found}"
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
        return found

    def begin(self, at: float) -> None:
        """The day's begin on the machine's clock, known only when all processes stand: faults run from it."""
        self.faults = [msgspec.structs.replace(fault, at=fault.at + at) for fault in self.plan.faults]
        for fault in self.faults:
            self.loop.call_at(fault.at / 1000.0, self._fault, fault)

    def _read_begin(self):
        self.loop.remove_reader(0)
        line = sys.stdin.readline().strip()
        if line:
            self.begin(float(line))

    # Faults

    def _on(self, kind: str) -> Fault | None:
        now = now_ms()
        return next(
            (fault for fault in self.faults if fault.kind == kind and fault.at <= now < fault.at + fault.lasts), None
        )

    def _fault(self, fault: Fault):
        now = now_ms()
        if now >= fault.at + fault.lasts and fault.kind != "flush":
            return
        if fault.kind == "crawl":
            self.worker.slowdown = fault.factor
            self.loop.call_at((fault.at + fault.lasts) / 1000.0, self._uncrawl)
        elif fault.kind == "pauses":
            self.worker.pause(now, fault.span)
            self.loop.call_later(fault.every / 1000.0, self._fault, fault)
        elif fault.kind == "flush":
            part = fault.share * 2**32
            self.worker.flush([model for model in self.worker.copies if zlib.crc32(model.encode()) < part])
        elif fault.kind == "go-away":
            for peer in list(self.listener.peers):
                peer.link.go_away(why="a fault of the script")
                peer.wire.flush_soon()
            self.loop.call_later(fault.every / 1000.0, self._fault, fault)
        elif fault.kind == "hang":
            self.loop.call_at((fault.at + fault.lasts) / 1000.0, self._unhang)
        self._after(now)

    def _uncrawl(self):
        self.worker.slowdown = 1.0

    def _unhang(self):
        withheld, self.withheld = self.withheld, []
        for act in withheld:
            self._finished(act)

    # Calls

    def _infer(self, call: ServerCall, data: bytes):
        try:
            told = peek_request(data)
        except MalformedRequest as problem:
            self.bad_calls += 1
            return call.finish(Status.INVALID_ARGUMENT, str(problem))
        now = now_ms()
        self.numbers += 1
        work = told.parameters.get("work_ms", 80.0)
        work = float(work) if isinstance(work, (int, float)) else 80.0
        results = told.parameters.get("results", 1)
        held = _Held(
            call,
            self.numbers,
            told.id,
            told.model,
            int(results) if call.path == names.MODEL_STREAM_INFER and isinstance(results, int) else 0,
            float(told.parameters.get("gap_ms", 20.0)),
        )
        self.note(
            seen.Came(
                now,
                self.name,
                self.plan.boot,
                held.n,
                told.id,
                outcomes.read_controller(call.metadata),
                work,
                told.model,
            )
        )
        key = told.parameters.get("dedup_key", "")
        job = Job(held, told.model, work, key if isinstance(key, str) else "")
        self.held[job] = held
        call.on_cancelled = lambda: self._gone(job)
        refusing = self._on("refuse")
        if refusing:
            self.worker._record_sent_work(now, work)
            return self._refused(Refused(job, "a fault of the script"))
        self.worker.arrive(now, job)
        self._after(now)

    def _gone(self, job: Job):
        held = self.held.pop(job, None)
        if held is not None and not held.over:
            held.over = True
            self.note(seen.Went(now_ms(), self.name, self.plan.boot, held.n, "cancelled"))
            self.worker.cancel(now_ms(), job)
            self._after(now_ms())

    def _end(self, job: Job, how: str) -> _Held | None:
        held = self.held.pop(job, None)
        if held is None or held.over:
            return None
        held.over = True
        self.note(seen.Went(now_ms(), self.name, self.plan.boot, held.n, how))
        return held

    def _trailers(self, job: Job) -> Metadata:
        if not self.plan.tells:
            return {}
        running = len(self.worker.running) / max(1, self.plan.facts.cores)
        return {
            **self._process(),
            names.FOUND: job.found,
            names.SAME_MODEL: str(min(30, job.same_model)),
            names.REPORT: f"util={min(1.0, running):.3f},x1={len(self.worker.loading)}",
        }

    def _process(self) -> Metadata:
        process = {names.BOOT: self.plan.boot, names.AGE: f"{now_ms() - self.worker.started_at:.0f}"}
        return {**process, names.DRAINING: "1"} if self.worker.draining else process

    def _finished(self, act: Finished):
        job = act.job
        if self._on("hang"):
            self.withheld.append(act)
            return
        lost, half = self._on("answer-lost"), self._on("half-frame")
        if lost and self.chance.random() < lost.share:
            if held := self._end(job, "lost"):
                held.call.wire.end("an answer lost", at_once=True)
            return
        if half and self.chance.random() < half.share:
            if held := self._end(job, "lost"):
                wire = held.call.wire
                if wire.transport is not None and not wire.lost:
                    # A DATA frame of 64 bytes of which 7 are sent.
                    wire._flush()
                    wire.transport.write(b"\x00\x00\x40\x00\x00" + held.call.stream.to_bytes(4, "big") + b"\0" * 7)
                    wire.transport.close()
                    wire._report_lost("half a frame")
            return
        held = self.held.get(job)
        if held is None or held.over:
            return
        result = oip.ModelInferResponse(model_name=job.model, id=held.id)
        result.raw_output_contents.append(b"caption " * 16)
        data = result.SerializeToString()
        if held.results:
            self._stream(job, held, data, held.results)
            return
        self._end(job, "returned")
        held.call.send(wrap_stream_result(data) if held.call.path == names.MODEL_STREAM_INFER else data)
        held.call.finish(Status.OK, trailers=self._trailers(job))

    def _stream(self, job: Job, held: _Held, data: bytes, left: int):
        if held.over:
            return
        held.call.send(wrap_stream_result(data))
        if left > 1:
            self.loop.call_later(held.gap / 1000.0, self._stream, job, held, data, left - 1)
        elif self._end(job, "returned"):
            held.call.finish(Status.OK, trailers=self._trailers(job))

    def _refused(self, act: Refused):
        if held := self._end(act.job, "refused"):
            held.call.finish(Status.RESOURCE_EXHAUSTED, act.why, self._trailers(act.job))

    def _missed(self, act: Missed):
        if held := self._end(act.job, "missed"):
            trailers = {names.LOAD_FAILED: "1"} if act.load_failed and self.plan.tells else {}
            held.call.finish(Status.NOT_FOUND, "the model is not loaded here", trailers)

    def _order(self, call: ServerCall, data: bytes):
        try:
            asked = oip.RepositoryModelLoadRequest.FromString(data)
        except Exception:
            self.bad_calls += 1
            return call.finish(Status.INVALID_ARGUMENT, "no RepositoryModelLoadRequest")
        copies = asked.parameters[names.COPIES].int64_param if names.COPIES in asked.parameters else 1
        self.note(
            seen.Ordered(
                now_ms(), self.name, self.plan.boot, outcomes.read_controller(call.metadata), asked.model_name, copies
            )
        )
        if self._on("hang"):
            return
        self.worker.order(now_ms(), LoadOrder(call, asked.model_name, min(16, copies)))
        self._after(now_ms())

    def _settled(self, act: Settled):
        call = act.order.tag
        assert isinstance(call, ServerCall)
        trailers = {names.STANDING: str(act.loaded_copies)} if self.plan.tells else {}
        if act.fulfilled:
            call.send(oip.RepositoryModelLoadResponse().SerializeToString())
            call.finish(Status.OK, trailers=trailers)
        else:
            call.finish(Status.RESOURCE_EXHAUSTED, "the copies will not stand", trailers)

    def _unload(self, call: ServerCall, data: bytes):
        asked = oip.RepositoryModelUnloadRequest.FromString(data)
        self.worker.unload(now_ms(), asked.model_name)
        call.send(oip.RepositoryModelUnloadResponse().SerializeToString())
        call.finish(Status.OK)

    def _live(self, call: ServerCall, data: bytes):
        call.send(oip.ServerLiveResponse(live=True).SerializeToString())
        call.finish(Status.OK, trailers={names.REPORT: f"depth={len(self.worker.queue)}"})

    def _ready(self, call: ServerCall, data: bytes):
        call.send(oip.ServerReadyResponse(ready=not self.worker.draining).SerializeToString())
        call.finish(Status.OK, trailers=self._process() if self.plan.tells else {})

    def _model_ready(self, call: ServerCall, data: bytes):
        name = oip.ModelReadyRequest.FromString(data).name
        call.send(oip.ModelReadyResponse(ready=bool(self.worker.copies.get(name))).SerializeToString())
        call.finish(Status.OK)

    # The worker

    def _fetch(self, load: Load):
        if self.library is None:
            self.loop.call_later(load.info.fetch / 1000.0, self._fetched, load, True)
            return

        def heard(event: CallEvent):
            if isinstance(event, Message):
                call.consumed(event.size)
            elif isinstance(event, FINAL_EVENTS):
                self._fetched(load, isinstance(event, Answered) and event.status is Status.OK)

        request = platform.FetchRequest(model=load.model, invoker=self.name).SerializeToString()
        call = self.library.call(names.LIBRARY_FETCH, {}, 30_000.0, request, heard)

    def _fetched(self, load: Load, ok: bool):
        self.worker.fetched(now_ms(), load, ok)
        self._after(now_ms())

    def _after(self, now: float):
        """Carry out what the worker's last step left, and come back when something is due."""
        while self.worker.actions:
            acts, self.worker.actions = self.worker.actions, []
            for act in acts:
                self._act(act)
        due = self.worker.next_due()
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        if due < math.inf and not self.worker.overloaded:
            self.timer = self.loop.call_at(max(due, now) / 1000.0, self._due)
        if self.worker.draining and self.worker.idle and not self.held:
            self.ended.set()

    def _act(self, act: Any):
        if isinstance(act, Finished):
            self._finished(act)
        elif isinstance(act, Refused):
            self._refused(act)
        elif isinstance(act, Missed):
            self._missed(act)
        elif isinstance(act, FetchWanted):
            self.note(seen.Count(now_ms(), "loads", 1))
            self._fetch(act.load)
        elif isinstance(act, Settled):
            self._settled(act)
        elif isinstance(act, Overloaded):
            self.note(seen.PushedOver(now_ms(), self.name, self.plan.boot, act.sent, act.allowed))
            self.listener.close()

    def _due(self):
        self.timer = None
        now = now_ms()
        self.worker.advance(now)
        self._after(now)

    # The end

    def drain(self) -> None:
        if not self.worker.draining:
            self.worker.draining = True
            self.listener.go_away()
            self.loop.call_later(self.plan.drain_within / 1000.0, self.ended.set)
            self._after(now_ms())

    async def run(self) -> None:
        for number in (signal.SIGTERM, signal.SIGINT):
            self.loop.add_signal_handler(number, self.drain)
        if self.plan.faults:
            self.loop.add_reader(0, self._read_begin)
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
    except OSError as problem:
        print(f"{plan.listen}: can't listen: {problem.strerror or problem}", file=sys.stderr)
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
