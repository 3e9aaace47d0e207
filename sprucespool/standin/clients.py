"""The clients of a day, as one process: sends inferences at a rate or as users, retries as the script says, and notes
the result of each attempt."""

from __future__ import annotations

import asyncio
import gc
import itertools
import random
import sys
from dataclasses import dataclass

import msgspec

from sprucespool.grpc.events import Answered, Message, Reset
from sprucespool.grpc.status import Limits, Status
from sprucespool.judge import seen
from sprucespool.settings.controller import Group, address
from sprucespool.standin.script import Day
from sprucespool.standin.trace import Notes, now_ms
from sprucespool.standin.traffic import MIN_WAIT_MS, RequestSource, Plan, attempt_timeout, should_retry
from sprucespool.transport.plan import PoolLimits
from sprucespool.transport.pool import FINAL_EVENTS, Broken, CallEvent, Pool, PoolCall, Unconnected
from sprucespool.wire import inference_pb2 as oip
from sprucespool.wire import names, outcomes

# How long a client listens after its timeout, only to see whether an answer still arrives.
EXTRA_LISTEN_MS = 1500.0


class ClientsPlan(msgspec.Struct):
    day: Day
    begin: float
    controllers: list[str]
    notes: str


@dataclass(slots=True, eq=False)
class _Attempt:
    plan: Plan
    id: str
    nth: int
    begun: float
    sent: float
    ttl: float
    controller: int
    call: PoolCall | None = None
    closed: bool = False
    timer: asyncio.TimerHandle | None = None


class Clients:
    def __init__(self, config: ClientsPlan):
        self.day, self.config = config.day, config
        self.loop = asyncio.get_running_loop()
        self.notes = Notes(config.notes)
        self.rng = random.Random(config.day.seed + 77)
        self.groups: dict[str, Group] = {group.name: group for group in config.day.model_groups}
        limits = PoolLimits(
            connections=config.day.clients.connections,
            connect_timeout=500.0,
            waiting=10_000,
            initial_backoff=20.0,
            max_backoff=300.0,
        )
        self.pools = [
            Pool(*address(controller_address), Limits(), limits, n)
            for n, controller_address in enumerate(config.controllers)
        ]
        self.next_controller = itertools.count()
        self.requests = RequestSource(config.day)
        # Attempts in flight, pending retries, and users that pause before their next inference.
        self.open_count = 0
        self.quiet = asyncio.Event()
        self.answers: dict[int, int] = {}

    async def run(self) -> None:
        plans = self.requests.first()
        gc.freeze()
        for plan in plans:
            wait = self.config.begin + plan.at - now_ms()
            if wait > 0:
                await asyncio.sleep(wait / 1000.0)
            self._send(plan, 0, 0.0, -1)
        end = self.config.begin + self.day.lasts + 30_000.0
        while self.open_count and now_ms() < end:
            await asyncio.sleep(0.05)
        for pool in self.pools:
            pool.close()
        self.notes.close()

    def _request(self, plan: Plan, id: str, group: Group) -> bytes:
        request = oip.ModelInferRequest(model_name=plan.model, id=id)
        request.parameters[names.MODEL_GROUP].string_param = plan.group
        if plan.tenant:
            request.parameters[names.TENANT].string_param = plan.tenant
        request.parameters[names.COST].double_param = plan.hint
        request.parameters["work_ms"].double_param = plan.work
        if group.effect == "deduped":
            request.parameters["dedup_key"].string_param = plan.root
        if group.streamed:
            request.parameters["results"].int64_param = 5
        request.raw_input_contents.append(bytes(plan.payload))
        return request.SerializeToString()

    def _send(self, plan: Plan, nth: int, begun: float, avoid: int):
        now, group = now_ms(), self.groups[plan.group]
        begun = begun or now
        ttl = attempt_timeout(plan, group, nth, begun, now)
        if ttl < MIN_WAIT_MS:
            return self._send_following(plan)
        controller = next(self.next_controller) % len(self.pools)
        if controller == avoid:
            controller = (controller + 1) % len(self.pools)
        attempt = _Attempt(plan, f"{plan.root}.{nth}", nth, begun, now, ttl, controller)
        self.open_count += 1
        self.notes.write(seen.Sent(now, attempt.id, plan.root, controller, plan.group, ttl, plan.tenant, nth))
        metadata = {names.PREVIOUS_ATTEMPTS: str(nth)} if nth and self.day.clients.marked else {}
        path = names.MODEL_STREAM_INFER if group.streamed else names.MODEL_INFER
        attempt.call = self.pools[controller].call(
            path, metadata, ttl, self._request(plan, attempt.id, group), lambda event: self._on_event(attempt, event)
        )
        wait = ttl + EXTRA_LISTEN_MS if plan.leave_share is None else ttl * plan.leave_share
        attempt.timer = self.loop.call_later(wait / 1000.0, self._on_timeout, attempt)

    def _on_timeout(self, attempt: _Attempt):
        if attempt.closed:
            return
        if attempt.call is not None:
            attempt.call.cancel()
        if attempt.plan.leave_share is not None:
            self.notes.write(seen.LeftEarly(now_ms(), attempt.id))
        else:
            self.notes.write(seen.NoAnswer(now_ms(), attempt.id))
        self._close(attempt)
        self._send_following(attempt.plan)

    def _close(self, attempt: _Attempt):
        attempt.closed = True
        self.open_count -= 1
        if attempt.timer is not None:
            attempt.timer.cancel()

    def _on_event(self, attempt: _Attempt, event: CallEvent):
        if isinstance(event, Message):
            if attempt.call is not None:
                attempt.call.consumed(event.size)
            return
        if not isinstance(event, FINAL_EVENTS) or attempt.closed:
            return
        now, group = now_ms(), self.groups[attempt.plan.group]
        status, never_ran, wait = None, False, self.day.clients.wait
        if isinstance(event, Answered):
            pushback = outcomes.read_int(event.trailers, names.PUSHBACK)
            self.notes.write(seen.Answer(now, attempt.id, int(event.status), event.message, pushback))
            status = event.status
            if status is Status.RESOURCE_EXHAUSTED:
                wait = max(wait, pushback or 0.0)
        else:
            # The stream or the connection was lost. Without a connection, or if the request was refused before it was
            # processed, a retry is safe for every group.
            never_ran = isinstance(event, Unconnected) or isinstance(event, Reset) and event.never_ran
            self.notes.write(seen.Unreached(now, attempt.id, isinstance(event, (Broken, Reset)) and not never_ran))
        self._close(attempt)
        if should_retry(attempt.plan, group, self.day.clients, attempt.nth, status, never_ran):
            delay = wait * self.rng.uniform(0.8, 1.2)
            self.open_count += 1
            self.loop.call_later(delay / 1000.0, self._retry, attempt)
        else:
            self._send_following(attempt.plan)

    def _send_following(self, plan: Plan):
        """If the attempt belonged to a user, schedule the next inference of that user."""
        now = now_ms()
        following = self.requests.after(plan, now - self.config.begin)
        if following is not None:
            self.open_count += 1
            self.loop.call_later(max(0.0, self.config.begin + following.at - now) / 1000.0, self._send_first, following)

    def _send_first(self, plan: Plan):
        self.open_count -= 1
        self._send(plan, 0, 0.0, -1)

    def _retry(self, attempt: _Attempt):
        self.open_count -= 1
        self._send(attempt.plan, attempt.nth + 1, attempt.begun, attempt.controller)


async def _main(path: str) -> None:
    with open(path, "rb") as source:
        config = msgspec.json.decode(source.read(), type=ClientsPlan)
    clients = Clients(config)
    print("ready", flush=True)
    await clients.run()


if __name__ == "__main__":
    asyncio.run(_main(sys.argv[1]))
