"""Clients of a day, as a process: at a rate or as users, repeats as the script says, each try's end written down."""

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

# How long a client listens on after its time, only to see whether an answer comes all the same.
EXTRA_LISTEN_MS = 1500.0


class ClientsPlan(msgspec.Struct):
    day: Day
    begin: float
    controllers: list[str]
    notes: str


@dataclass(slots=True, eq=False)
class _Try:
    plan: Plan
    id: str
    nth: int
    begun: float
    sent: float
    ttl: float
    controller: int
    call: PoolCall | None = None
    over: bool = False
    timer: asyncio.TimerHandle | None = None


class Clients:
    def __init__(self, told: ClientsPlan):
        self.day, self.told = told.day, told
        self.loop = asyncio.get_running_loop()
        self.notes = Notes(told.notes)
        self.chance = random.Random(told.day.seed + 77)
        self.groups: dict[str, Group] = {group.name: group for group in told.day.model_groups}
        limits = PoolLimits(
            connections=told.day.clients.connections,
            connect_timeout=500.0,
            waiting=10_000,
            initial_backoff=20.0,
            max_backoff=300.0,
        )
        self.pools = [Pool(*address(where), Limits(), limits, n) for n, where in enumerate(told.controllers)]
        self.turn = itertools.count()
        self.asking = RequestSource(told.day)
        # Tries out, and users that think.
        self.open = 0
        self.quiet = asyncio.Event()
        self.answers: dict[int, int] = {}

    async def run(self) -> None:
        plans = self.asking.first()
        gc.freeze()
        for plan in plans:
            wait = self.told.begin + plan.at - now_ms()
            if wait > 0:
                await asyncio.sleep(wait / 1000.0)
            self._send(plan, 0, 0.0, -1)
        end = self.told.begin + self.day.lasts + 30_000.0
        while self.open and now_ms() < end:
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
            return self._next(plan)
        which = next(self.turn) % len(self.pools)
        if which == avoid:
            which = (which + 1) % len(self.pools)
        one = _Try(plan, f"{plan.root}.{nth}", nth, begun, now, ttl, which)
        self.open += 1
        self.notes.write(seen.Sent(now, one.id, plan.root, which, plan.group, ttl, plan.tenant, nth))
        metadata = {names.PREVIOUS_ATTEMPTS: str(nth)} if nth and self.day.clients.marked else {}
        path = names.MODEL_STREAM_INFER if group.streamed else names.MODEL_INFER
        one.call = self.pools[which].call(
            path, metadata, ttl, self._request(plan, one.id, group), lambda event: self._heard(one, event)
        )
        wait = ttl + EXTRA_LISTEN_MS if plan.leaves_part is None else ttl * plan.leaves_part
        one.timer = self.loop.call_later(wait / 1000.0, self._waited, one)

    def _waited(self, one: _Try):
        if one.over:
            return
        if one.call is not None:
            one.call.cancel()
        if one.plan.leaves_part is not None:
            self.notes.write(seen.LeftEarly(now_ms(), one.id))
        else:
            self.notes.write(seen.NoAnswer(now_ms(), one.id))
        self._over(one)
        self._next(one.plan)

    def _over(self, one: _Try):
        one.over = True
        self.open -= 1
        if one.timer is not None:
            one.timer.cancel()

    def _heard(self, one: _Try, event: CallEvent):
        if isinstance(event, Message):
            if one.call is not None:
                one.call.consumed(event.size)
            return
        if not isinstance(event, FINAL_EVENTS) or one.over:
            return
        now, group = now_ms(), self.groups[one.plan.group]
        status, never, wait = None, False, self.day.clients.wait
        if isinstance(event, Answered):
            pushback = outcomes.read_int(event.trailers, names.PUSHBACK)
            self.notes.write(seen.Answer(now, one.id, int(event.status), event.message, pushback))
            status = event.status
            if status is Status.RESOURCE_EXHAUSTED:
                wait = max(wait, pushback or 0.0)
        else:
            # The stream or the connection went. Unconnected, or refused unseen: harmless to any group.
            never = isinstance(event, Unconnected) or isinstance(event, Reset) and event.never_ran
            self.notes.write(seen.Unreached(now, one.id, isinstance(event, (Broken, Reset)) and not never))
        self._over(one)
        if should_retry(one.plan, group, self.day.clients, one.nth, status, never):
            spread = wait * self.chance.uniform(0.8, 1.2)
            self.open += 1
            self.loop.call_later(spread / 1000.0, self._again, one)
        else:
            self._next(one.plan)

    def _next(self, plan: Plan):
        """Where a user asked, it asks again."""
        now = now_ms()
        found = self.asking.after(plan, now - self.told.begin)
        if found is not None:
            self.open += 1
            self.loop.call_later(max(0.0, self.told.begin + found.at - now) / 1000.0, self._thought, found)

    def _thought(self, plan: Plan):
        self.open -= 1
        self._send(plan, 0, 0.0, -1)

    def _again(self, one: _Try):
        self.open -= 1
        self._send(one.plan, one.nth + 1, one.begun, one.controller)


async def _main(path: str) -> None:
    with open(path, "rb") as source:
        told = msgspec.json.decode(source.read(), type=ClientsPlan)
    clients = Clients(told)
    print("ready", flush=True)
    await clients.run()


if __name__ == "__main__":
    asyncio.run(_main(sys.argv[1]))
