"""Regression: new work reached draining invokers while discovery was out of reach (report 41723a).

Symptom: 387 attempts, from 48 controllers, at invokers that drained, after the drain counted as told and the grace.
Sequence: discovery refuses all connections; just after that two busy invokers begin to drain and stay up; the
controllers keep the list of before and go on sending, each attempt is turned away unseen and goes elsewhere.
Cause: the list of before was believed without bound, and a refusal was read as a full queue alone.
What settled it: `channel not connected why=ConnectionRefusedError` each 0.25 to 0.5 s through the whole outage, and
beside it one request that tried two draining invokers in turn, 7.6 s after they began to drain.
"""

import asyncio
import json
import random
import signal
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass

import pytest
from platform_scene import (
    InvokerStandIn,
    RawClient,
    Scene,
    controller_process,
    cut_frames,
    entry,
    hit,
    listening_port,
    run_scene,
    until,
)
from platform_world import configuration, request_frame
from troubled_scene import Client, ReplayingChannel, Sent

from sprucespool.gateway import messages as ms

pytestmark = pytest.mark.sockets

ANSWER, SERVED = 17, 0
INVOKERS, CLIENTS = 6, 3
WAIT = 1_500.0
# Seconds. A drain that discovery would have told counts as told so long after a break, or at once where it is later.
TOLD_AFTER_BREAK, GRACE = 2.0, 0.5
# What the machine may hold up a line on its way.
MACHINE = 0.1
COMMENT_EVERY = 0.5


class FailingDiscovery(ReplayingChannel):
    """Comments twice a second while it is well. It fails in one of three ways and can be mended."""

    def __init__(self) -> None:
        super().__init__()
        self.failing = False
        self.beat: asyncio.Task | None = None

    async def start(self):
        self.beat = asyncio.ensure_future(self._comment())
        return await super().start()

    async def _comment(self) -> None:
        while True:
            await asyncio.sleep(COMMENT_EVERY)
            if not self.failing:
                self.write(b": here\n\n")

    def change(self, *hosts: tuple, whole: bool = False) -> None:
        """While it fails the change is kept, and told when it is mended."""
        if self.failing:
            writers, self.writers = self.writers, []
            super().change(*hosts, whole=whole)
            self.writers = writers
        else:
            super().change(*hosts, whole=whole)

    async def refuse(self) -> None:
        """No connection comes up, and those that stood are reset."""
        self.failing = True
        await self.go_away()

    async def fall_silent(self) -> None:
        """Connections stand and come up; nothing is said on them."""
        self.failing, self.answers = True, False

    async def break_off(self) -> None:
        """Connections come up and end at once, before a word."""
        self.failing, self.answers = True, False
        for writer in self.writers:
            writer.transport.abort()
        self.ending = asyncio.ensure_future(self._end_new())

    async def _end_new(self) -> None:
        while self.failing:
            for writer in self.writers:
                writer.transport.abort()
            await asyncio.sleep(0.02)

    async def mend(self) -> None:
        self.failing, self.answers = False, True
        if not self.server.is_serving():
            await self.come_back()
        for writer in self.writers:
            if writer not in self.over:
                self.begin(writer)

    def close(self):
        if self.beat is not None:
            self.beat.cancel()
        self.failing = False
        super().close()


@dataclass(frozen=True)
class Outage:
    """How discovery fails, and how often clients ask (requests a second)."""

    fails: Callable
    rate: float


class OutageScene:
    """One controller process between stand-ins, and clients that ask all the time."""

    def __init__(self, folder, rate: float, seed: int = 1, begins_failing: bool = False):
        self.folder, self.rate, self.chance = folder, rate, random.Random(seed)
        self.begins_failing = begins_failing
        self.discovery = FailingDiscovery()
        self.invokers = [InvokerStandIn(hit) for _ in range(INVOKERS)]
        self.clients: list[Client] = []
        self.drained: dict[int, float] = {}
        self.codes: list[tuple[float, int]] = []
        self.streams = 0

    async def __aenter__(self):
        await self.discovery.start()
        for one in self.invokers:
            await one.start()
        self.start_process()
        if self.begins_failing:
            await self.discovery.refuse()
        else:
            await until(lambda: self.discovery.last_event_ids, 10.0)
        await until(lambda: "listening address=127.0.0.1:" in self.said(), 10.0)
        self.port = listening_port(self.said())
        self.connect()
        self.asking = asyncio.ensure_future(self._ask())
        return self

    def start_process(self) -> None:
        hosts = [(f"s-{number}", one.port, "up") for number, one in enumerate(self.invokers)]
        told = configuration(
            channel=f"127.0.0.1:{self.discovery.port}",
            known={"cursor": 1, "cmds": [entry(1, *hosts, whole=True)]},
        )
        path = self.folder / "config.json"
        path.write_text(json.dumps(told))
        self.errors = open(self.folder / "said", "w+")
        self.process = controller_process(path, stderr=self.errors)

    def said(self) -> str:
        return (self.folder / "said").read_text()

    def connect(self) -> None:
        for _ in range(CLIENTS):
            client = Client(RawClient(self.port))
            client.listener = asyncio.ensure_future(self._listen(client))
            self.clients.append(client)

    async def _listen(self, client: Client) -> None:
        loop, data = asyncio.get_running_loop(), b""
        client.raw.sock.setblocking(False)
        while part := await loop.sock_recv(client.raw.sock, 65_536):
            frames, data = cut_frames(data + part)
            for kind, stream, code in frames:
                if kind == ANSWER:
                    client.answers.append((stream, time.monotonic()))
                    self.codes.append((time.monotonic(), code))

    async def _ask(self) -> None:
        while True:
            await asyncio.sleep(self.chance.expovariate(self.rate))
            self.streams += 1
            name, client = f"{self.streams:016x}", self.clients[self.streams % CLIENTS]
            client.sent[name] = Sent(self.streams, "call", time.monotonic(), WAIT / 1000.0)
            key = f"{self.chance.randrange(8):016x}"
            client.raw.send(request_frame(self.streams, id=name, wait=str(int(WAIT)), key=key))

    def drain_the_busiest(self) -> None:
        """Of those that still serve; discovery would tell of it at once."""
        left = [place for place in range(INVOKERS) if place not in self.drained]
        place = max(left, key=lambda place: len(self.invokers[place].runs()))
        self.invokers[place].drain()
        self.drained[place] = time.monotonic()
        self.discovery.change((f"s-{place}", self.invokers[place].port, "draining"))

    def late_sends(self, failed_at: float) -> list[str]:
        """Runs and orders that came to a draining invoker after its drain counted as told and the grace."""
        late = []
        for place, began in self.drained.items():
            due = max(began, failed_at + TOLD_AFTER_BREAK) + GRACE + MACHINE
            lines = [(words, came) for words, came in self.invokers[place].lines if came > due]
            late += [f"s-{place} {words[:2]} {came - due:.3f} s late" for words, came in lines if self._is_new(words)]
        return late

    @staticmethod
    def _is_new(words: list[str]) -> bool:
        return words[0] == "exec" or words[0] == "ensure" and not words[2].endswith("n=0")

    def unanswered(self) -> list[str]:
        found = []
        for client in self.clients:
            counts = Counter(stream for stream, _ in client.answers)
            found += [f"{name}: {counts[one.stream]}" for name, one in client.sent.items() if counts[one.stream] != 1]
        return found

    def served_share(self, since: float, until_then: float) -> float:
        codes = [code for at, code in self.codes if since <= at < until_then]
        return codes.count(SERVED) / max(1, len(codes))

    async def stop_asking(self) -> None:
        self.asking.cancel()
        await asyncio.sleep(WAIT / 1000.0 + 0.2)

    async def __aexit__(self, *problem):
        self.asking.cancel()
        for client in self.clients:
            await client.close()
        self.process.send_signal(signal.SIGTERM)
        self.process.kill()
        self.process.wait()
        self.errors.close()
        for one in [*self.invokers, self.discovery]:
            one.close()


OUTAGES = [
    pytest.param(Outage(FailingDiscovery.refuse, 60.0), id="refused"),
    pytest.param(Outage(FailingDiscovery.fall_silent, 60.0), id="silent"),
    pytest.param(Outage(FailingDiscovery.break_off, 5.0), id="broken-off-with-thin-traffic"),
]


@pytest.mark.parametrize("outage", OUTAGES)
def test_nothing_new_is_sent_to_an_invoker_that_drains_while_discovery_is_out_of_reach(outage, tmp_path):
    async def scene():
        async with OutageScene(tmp_path, outage.rate) as world:
            await asyncio.sleep(1.5)
            failed_at = time.monotonic()
            await outage.fails(world.discovery)
            await asyncio.sleep(0.2)
            world.drain_the_busiest()
            world.drain_the_busiest()
            await asyncio.sleep(3.8)
            # One more, long after the outage counts as noticed: told at once.
            world.drain_the_busiest()
            await asyncio.sleep(2.5)
            mended_at = time.monotonic()
            await world.discovery.mend()
            await asyncio.sleep(1.5)
            await world.stop_asking()
            assert not world.late_sends(failed_at)
            assert not world.unanswered()
            assert world.served_share(failed_at, mended_at) > 0.9
            assert world.served_share(mended_at, time.monotonic()) > 0.9

    run_scene(scene)


def test_a_controller_that_starts_during_an_outage_checks_from_its_first_request_on(tmp_path):
    async def scene():
        async with OutageScene(tmp_path, 30.0, begins_failing=True) as world:
            await asyncio.sleep(1.0)
            world.drain_the_busiest()
            await asyncio.sleep(1.5)
            world.drain_the_busiest()
            await asyncio.sleep(2.0)
            await world.stop_asking()
            # The outage began long before: each drain counts as told at once.
            assert not world.late_sends(failed_at=0.0)
            assert not world.unanswered()
            assert world.served_share(0.0, time.monotonic()) > 0.9

    run_scene(scene)


def test_an_invoker_that_ends_all_connections_is_told_of_and_idle_ones_that_close_here_are_not():
    """What a process that comes back unheard of is known by."""

    async def scene():
        async with Scene(InvokerStandIn(hit)) as world:
            told = []
            take = world.node.server.batch.take
            world.node.server.batch.take = lambda now, inputs: (told.extend(inputs), take(now, inputs))
            await world.warmed()
            world.node.server.invokers["s-0"].close_idle()
            await asyncio.sleep(0.1)
            assert not [given for given in told if isinstance(given, ms.Disconnected)]
            client = await world.client()
            client.send(request_frame(2, id="e" * 16))
            assert await client.answers(1) == [(ANSWER, 2, SERVED)]
            world.invokers[0].writers[-1].transport.abort()
            await until(lambda: [given for given in told if isinstance(given, ms.Disconnected)])

    run_scene(scene)
