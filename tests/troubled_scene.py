"""Troubles of production on a running controller, on real sockets, and the five rules told of what they led to."""

from __future__ import annotations

import asyncio
import json
import random
import time
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from platform_scene import ChannelStandIn, InvokerStandIn, RawClient, Scene, cut_frames, event, hit, turned_away
from platform_world import configuration, frame, request_frame, settings_of_all_effects

ANSWER = 17
# Seconds: for what a busy machine holds up on either side; the rules' own slacks.
MACHINE_SLACK, DEADLINE_SLACK, CANCEL_SLACK = 0.25, 0.15, 0.1
DRAIN_GRACE = 0.5
CLASSES = ["call", "publish", "once"]
REQUEST_ID = "{:016x}"


class ReplayingChannel(ChannelStandIn):
    """Tells each watch what it has not heard; can go away and come back at its address."""

    def __init__(self):
        super().__init__()
        self.events: list[tuple[int, bytes]] = []
        self.last = 1

    def begin(self, writer):
        super().begin(writer)
        heard = int(self.last_event_ids[-1])
        for number, data in self.events:
            if number > heard:
                writer.write(data)

    def change(self, *hosts: tuple, whole: bool = False) -> None:
        """One more event, to all watches that stand."""
        self.last += 1
        data = event(self.last, *hosts, whole=whole)
        self.events.append((self.last, data))
        self.write(data)

    def write(self, data: bytes) -> None:
        for writer in self.writers:
            if writer not in self.over and not writer.is_closing():
                writer.write(data)

    async def go_away(self) -> None:
        self.server.close()
        for writer in self.writers:
            writer.transport.abort()

    async def come_back(self) -> None:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)


@dataclass
class Sent:
    """A request as its client sent it; times are seconds of the monotonic clock."""

    stream: int
    group: str
    at: float
    wait: float


@dataclass
class Client:
    """One client, what it sent and what came back."""

    raw: RawClient
    sent: dict[str, Sent] = field(default_factory=dict)
    answers: list[tuple[int, float]] = field(default_factory=list)
    left_at: float | None = None
    ended: bool = False
    listener: asyncio.Future | None = None

    async def close(self, reset: bool = False) -> None:
        """Stop listening first: the loop must not go on with a number that is another socket's by then."""
        if self.listener is not None:
            self.listener.cancel()
            await asyncio.wait([self.listener])
        self.raw.close(reset)

    async def listen(self) -> None:
        """Note each answer until the connection's end."""
        loop, data = asyncio.get_running_loop(), b""
        self.raw.sock.setblocking(False)
        try:
            while part := await loop.sock_recv(self.raw.sock, 65_536):
                frames, data = cut_frames(data + part)
                self.answers += [(stream, time.monotonic()) for kind, stream, _ in frames if kind == ANSWER]
        except OSError:
            pass
        self.ended = True


class TroubledWorld:
    """Three clients that ask all the time, four invokers, one controller; troubles act on it."""

    def __init__(self, seed: int, folder, settings: dict | None = None):
        self.chance = random.Random(seed)
        self.invokers = [InvokerStandIn(self._behave) for _ in range(4)]
        self.scene = Scene(*self.invokers, settings=settings or settings_of_all_effects())
        self.scene.channel = self.channel = ReplayingChannel()
        self.file = folder / "configuration.json"
        self.clients: list[Client] = []
        # Invokers by their place that refuse at once, or answer nothing; requests that are dropped without a word.
        self.refusing: set[int] = set()
        self.silent: set[int] = set()
        self.dropped: set[str] = set()
        self.missed: Counter = Counter()
        self.draining: dict[int, float] = {}
        self.quiet = False
        self.shortest = 1_200.0
        self.stopping: asyncio.Task | None = None

    # What invokers do

    def _behave(self, tag: str) -> bytes | None:
        place = next(n for n, one in enumerate(self.invokers) if one.lines and one.lines[-1][0][1] == tag)
        if place in self.silent or tag in self.dropped:
            return None
        if place in self.refusing:
            self.missed[tag] += 1
            return turned_away(tag)
        return hit(tag)

    # The day

    async def play(self, troubles: list[Callable[[TroubledWorld], Awaitable[None]]], lasts: float = 2.0) -> list[str]:
        """All troubles within the time, clients beside them; gives what rules were broken."""
        async with self.scene:
            self.scene.node.path = str(self.file)
            self.write_configuration(self.channel.port)
            for _ in range(3):
                self.clients.append(Client(await self.scene.client()))
            for client in self.clients:
                client.listener = asyncio.ensure_future(client.listen())
            acts = [asyncio.ensure_future(self._later(trouble)) for trouble in troubles]
            await self._ask(lasts)
            await asyncio.gather(*acts)
            if self.stopping is None:
                await asyncio.sleep(1.3 + MACHINE_SLACK)
            else:
                await self.stopping
                await asyncio.sleep(0.1)
            broken = self._broken()
            for client in self.clients:
                await client.close()
        return broken

    async def _later(self, trouble):
        await asyncio.sleep(self.chance.uniform(0.1, 0.8))
        await trouble(self)

    async def _ask(self, lasts: float):
        until, number = time.monotonic() + lasts, 0
        leaves_at = time.monotonic() + self.chance.uniform(0.5, 1.5)
        while time.monotonic() < until:
            await asyncio.sleep(0.02)
            leaver = self.clients[-1]
            if leaver.left_at is None and time.monotonic() >= leaves_at:
                await leaver.close(reset=self.chance.random() < 0.5)
                leaver.left_at = time.monotonic()
            if self.quiet or self.stopping is not None:
                continue
            number += 1
            client = self.clients[number % 3]
            if client.left_at is None and not client.ended:
                self._send(client, number)

    def _send(self, client: Client, number: int):
        name, group = REQUEST_ID.format(number), self.chance.choice(CLASSES)
        wait = round(self.chance.uniform(self.shortest, max(self.shortest, min(50.0, 1_200.0))))
        wait = wait if self.shortest < 50.0 and self.chance.random() < 0.5 else 1_200
        if wait < 50:
            self.dropped.add(name)
        more = {"class": group, "wait": str(wait), "key": REQUEST_ID.format(number % 5)}
        if group == "publish":
            more["once"] = name * 2
        client.sent[name] = Sent(number, group, time.monotonic(), wait / 1000.0)
        client.raw.send(request_frame(number, id=name, **more))

    def write_configuration(self, port: int) -> None:
        told = configuration(channel=f"127.0.0.1:{port}", settings=settings_of_all_effects())
        self.file.write_text(json.dumps(told))

    # The rules

    def _broken(self) -> list[str]:
        broken = []
        begun = self._begun()
        for client in self.clients:
            counts = Counter(stream for stream, _ in client.answers)
            at = dict(reversed(client.answers))
            for name, sent in client.sent.items():
                due = sent.at + sent.wait + DEADLINE_SLACK + MACHINE_SLACK
                if client.left_at is None and counts[sent.stream] != 1:
                    broken.append(f"1: {name} has {counts[sent.stream]} answers, {begun.get(name)}")
                if client.left_at is None and sent.stream in at and at[sent.stream] > due:
                    broken.append(f"1: {name} answered {at[sent.stream] - due:.3f} s after its time")
                broken += self._of_attempts(client, name, sent, begun.get(name, []), at.get(sent.stream))
        for place, told in self.draining.items():
            late = [w for w, came in self.invokers[place].lines if came > told + DRAIN_GRACE + DEADLINE_SLACK]
            broken += [f"3: {words[:2]} sent to the draining invoker {place}" for words in late if words[0] != "drop"]
        return broken

    def _begun(self) -> dict[str, list[tuple[float, float]]]:
        """By request: when each attempt came, and the time that it was told to have left."""
        begun: dict[str, list[tuple[float, float]]] = {}
        for one in self.invokers:
            for attempt in one.attempts():
                begun.setdefault(attempt.tag, []).append((attempt.came, attempt.limit / 1000.0))
        return begun

    def _of_attempts(self, client: Client, name: str, sent: Sent, attempts: list, answered: float | None) -> list[str]:
        broken = []
        if sent.group == "once" and len(attempts) > 1 + self.missed[name]:
            broken.append(f"2: {name} ran {len(attempts)} times, {self.missed[name]} of them refused")
        for came, limit in attempts:
            if limit > sent.at + sent.wait - came + DEADLINE_SLACK + MACHINE_SLACK:
                broken.append(f"1: {name} was told {limit:.3f} s with {sent.at + sent.wait - came:.3f} s left")
            if client.left_at is not None and came > client.left_at + CANCEL_SLACK + MACHINE_SLACK:
                broken.append(f"1: {name} began {came - client.left_at:.3f} s after its client left")
            if answered is not None and came > answered + MACHINE_SLACK:
                broken.append(f"1: {name} began {came - answered:.3f} s after its answer")
        return broken


# Troubles


async def idle_connections_close(world: TroubledWorld) -> None:
    """An invoker closes all its connections, again and again."""
    one = world.chance.choice(world.invokers)
    for _ in range(5):
        for writer in one.writers:
            writer.close()
        await asyncio.sleep(0.12)


async def idle_connections_reset(world: TroubledWorld) -> None:
    """An invoker resets all its connections, again and again."""
    one = world.chance.choice(world.invokers)
    for _ in range(5):
        for writer in one.writers:
            writer.transport.abort()
        await asyncio.sleep(0.12)


async def connections_are_forgotten(world: TroubledWorld) -> None:
    """What is sent on an invoker's connections of before reaches nobody, and nothing tells so."""
    one = world.chance.choice(world.invokers)
    for writer in one.writers:
        writer.transport.pause_reading()
    await asyncio.sleep(1.0)


async def all_refuse(world: TroubledWorld) -> None:
    """Attempts and their retries fail at once, everywhere."""
    world.refusing = set(range(4))
    await asyncio.sleep(0.4)
    world.refusing = set()


async def one_hangs(world: TroubledWorld) -> None:
    place = world.chance.randrange(4)
    world.silent.add(place)
    await asyncio.sleep(0.9)
    world.silent.discard(place)


async def one_drains(world: TroubledWorld) -> None:
    """The busiest drains, and is gone a while later."""
    place = max(range(4), key=lambda place: len(world.invokers[place].runs()))
    name, port = f"s-{place}", world.invokers[place].port
    world.channel.change((name, port, "draining"))
    # Counted from when the controller can have heard of it.
    while world.scene.node.server.roster.last < world.channel.last:
        await asyncio.sleep(0.01)
    world.draining.setdefault(place, time.monotonic())
    await asyncio.sleep(0.9)
    world.channel.change((name, port, "removed"))


async def list_is_told_whole_again(world: TroubledWorld) -> None:
    """The same list, whole, five times in a row."""
    for _ in range(5):
        hosts = [
            (f"s-{n}", one.port, "draining" if n in world.draining else "up") for n, one in enumerate(world.invokers)
        ]
        world.channel.change(*hosts, whole=True)
        await asyncio.sleep(0.05)


async def discovery_is_down(world: TroubledWorld) -> None:
    await world.channel.go_away()
    await asyncio.sleep(1.0)
    await world.channel.come_back()


async def discovery_is_slow(world: TroubledWorld) -> None:
    """An event comes in pieces over half a second."""
    world.channel.last += 1
    data = event(world.channel.last)
    world.channel.events.append((world.channel.last, data))
    for at in range(0, len(data), 10):
        world.channel.write(data[at : at + 10])
        await asyncio.sleep(0.05)


async def discovery_is_crowded(world: TroubledWorld) -> None:
    """New watches hear nothing for a while; those that stand are cut."""
    world.channel.answers = False
    for writer in world.channel.writers:
        writer.transport.abort()
    await asyncio.sleep(1.0)
    world.channel.answers = True
    for writer in world.channel.writers:
        if writer not in world.channel.over:
            world.channel.begin(writer)


async def five_configurations(world: TroubledWorld) -> None:
    """Four that can be used, then one that is torn."""
    for _ in range(4):
        world.write_configuration(world.channel.port)
        world.scene.node.reread()
        await asyncio.sleep(0.02)
    world.file.write_text(world.file.read_text()[:-200])
    world.scene.node.reread()


async def little_time(world: TroubledWorld) -> None:
    """Half of the requests have 1 to 50 ms left, and invokers drop them without a word."""
    world.shortest = 1.0
    await asyncio.sleep(0.8)
    world.shortest = 1_200.0


async def quiet(world: TroubledWorld) -> None:
    """Nobody asks for a while."""
    world.quiet = True
    await asyncio.sleep(0.7)
    world.quiet = False


async def noise_of_a_client(world: TroubledWorld) -> None:
    """Another client sends what is no frame, and one a request cut in half."""
    for data in (b"\xff" * 64, request_frame(1)[:40], frame(99, 1, b"x")):
        client = RawClient(world.scene.port)
        client.send(data)
        await asyncio.sleep(0.05)
        client.close(reset=True)


async def told_to_end_while_all_hang(world: TroubledWorld) -> None:
    """SIGTERM's work, with invokers that answer nothing all through."""
    world.silent = set(range(4))
    await asyncio.sleep(0.2)
    world.stopping = asyncio.ensure_future(world.scene.node.stop())


TROUBLES = [
    idle_connections_close,
    idle_connections_reset,
    connections_are_forgotten,
    all_refuse,
    one_hangs,
    one_drains,
    list_is_told_whole_again,
    discovery_is_down,
    discovery_is_slow,
    discovery_is_crowded,
    five_configurations,
    little_time,
    quiet,
    noise_of_a_client,
    told_to_end_while_all_hang,
]
