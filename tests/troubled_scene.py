"""Troubles of production on a running controller, on real sockets, and a check of the rules afterwards."""

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
# Allowances in seconds: for delays of a busy machine on either side, and those of the rules themselves.
MACHINE_ALLOWANCE, DEADLINE_ALLOWANCE, CANCEL_ALLOWANCE = 0.25, 0.15, 0.1
DRAIN_GRACE = 0.5
CLASSES = ["call", "publish", "once"]
REQUEST_ID = "{:016x}"


class ReplayingChannel(ChannelStandIn):
    """Sends each watch the events that it has not received; can be shut down and restarted at its address."""

    def __init__(self):
        super().__init__()
        self.events: list[tuple[int, bytes]] = []
        self.last = 1

    def begin(self, writer):
        super().begin(writer)
        last_event_id = int(self.last_event_ids[-1])
        for number, data in self.events:
            if number > last_event_id:
                writer.write(data)

    def change(self, *hosts: tuple, whole: bool = False) -> None:
        """Send one more event to all open watches."""
        self.last += 1
        data = event(self.last, *hosts, whole=whole)
        self.events.append((self.last, data))
        self.write(data)

    def write(self, data: bytes) -> None:
        for writer in self.writers:
            if writer not in self.closed_writers and not writer.is_closing():
                writer.write(data)

    async def shut_down(self) -> None:
        self.server.close()
        for writer in self.writers:
            writer.transport.abort()

    async def restart(self) -> None:
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
    """One client, the requests that it sent and the answers that it received."""

    raw: RawClient
    sent: dict[str, Sent] = field(default_factory=dict)
    answers: list[tuple[int, float]] = field(default_factory=list)
    left_at: float | None = None
    ended: bool = False
    listener: asyncio.Future | None = None

    async def close(self, reset: bool = False) -> None:
        """Stop listening first: the descriptor may be reused, and the loop must not read from another socket."""
        if self.listener is not None:
            self.listener.cancel()
            await asyncio.wait([self.listener])
        self.raw.close(reset)

    async def listen(self) -> None:
        """Record each answer until the connection ends."""
        loop, data = asyncio.get_running_loop(), b""
        self.raw.sock.setblocking(False)
        try:
            while chunk := await loop.sock_recv(self.raw.sock, 65_536):
                frames, data = cut_frames(data + chunk)
                self.answers += [(stream, time.monotonic()) for kind, stream, _ in frames if kind == ANSWER]
        except OSError:
            pass
        self.ended = True


class TroubledWorld:
    """Three clients that send requests all the time, four invokers and one controller, with injected troubles."""

    def __init__(self, seed: int, folder, settings: dict | None = None):
        self.chance = random.Random(seed)
        self.invokers = [InvokerStandIn(self._behave) for _ in range(4)]
        self.scene = Scene(*self.invokers, settings=settings or settings_of_all_effects())
        self.scene.channel = self.channel = ReplayingChannel()
        self.file = folder / "configuration.json"
        self.clients: list[Client] = []
        # Indexes of invokers that refuse at once, or answer nothing; requests that invokers drop without an answer.
        self.refusing: set[int] = set()
        self.silent: set[int] = set()
        self.dropped: set[str] = set()
        # Requests that an invoker got and did not answer.
        self.unanswered: set[str] = set()
        self.refusals: Counter = Counter()
        self.draining: dict[int, float] = {}
        self.paused = False
        self.min_wait_ms = 1_200.0
        self.stopping: asyncio.Task | None = None

    # Behaviour of the invokers

    def _behave(self, tag: str) -> bytes | None:
        place = next(n for n, one in enumerate(self.invokers) if one.lines and one.lines[-1][0][1] == tag)
        if place in self.silent or tag in self.dropped:
            self.unanswered.add(tag)
            return None
        if place in self.refusing:
            self.refusals[tag] += 1
            return turned_away(tag)
        return hit(tag)

    # One run

    async def play(self, troubles: list[Callable[[TroubledWorld], Awaitable[None]]], lasts: float = 2.0) -> list[str]:
        """Run all troubles and the clients for the time; returns the rules that were broken."""
        async with self.scene:
            self.scene.node.path = str(self.file)
            self.write_configuration(self.channel.port)
            for _ in range(3):
                self.clients.append(Client(await self.scene.client()))
            for client in self.clients:
                client.listener = asyncio.ensure_future(client.listen())
            tasks = [asyncio.ensure_future(self._start_later(trouble)) for trouble in troubles]
            await self._send_requests(lasts)
            await asyncio.gather(*tasks)
            if self.stopping is None:
                await asyncio.sleep(1.3 + MACHINE_ALLOWANCE)
            else:
                await self.stopping
                await asyncio.sleep(0.1)
            broken = self._broken()
            for client in self.clients:
                await client.close()
        return broken

    def was_left_unanswered(self, group: str) -> bool:
        """Whether an invoker got a request of the group and did not answer it."""
        return any(
            sent.group == group
            for client in self.clients
            for name, sent in client.sent.items()
            if name in self.unanswered
        )

    async def _start_later(self, trouble):
        await asyncio.sleep(self.chance.uniform(0.1, 0.8))
        await trouble(self)

    async def _send_requests(self, lasts: float):
        until, number = time.monotonic() + lasts, 0
        leave_at = time.monotonic() + self.chance.uniform(0.5, 1.5)
        while time.monotonic() < until:
            await asyncio.sleep(0.02)
            leaving_client = self.clients[-1]
            if leaving_client.left_at is None and time.monotonic() >= leave_at:
                await leaving_client.close(reset=self.chance.random() < 0.5)
                leaving_client.left_at = time.monotonic()
            if self.paused or self.stopping is not None:
                continue
            number += 1
            client = self.clients[number % 3]
            if client.left_at is None and not client.ended:
                self._send(client, number)

    def _send(self, client: Client, number: int):
        name, group = REQUEST_ID.format(number), self.chance.choice(CLASSES)
        wait = round(self.chance.uniform(self.min_wait_ms, max(self.min_wait_ms, min(50.0, 1_200.0))))
        wait = wait if self.min_wait_ms < 50.0 and self.chance.random() < 0.5 else 1_200
        if wait < 50:
            self.dropped.add(name)
        more = {"class": group, "wait": str(wait), "key": REQUEST_ID.format(number % 5)}
        if group == "publish":
            more["once"] = name * 2
        client.sent[name] = Sent(number, group, time.monotonic(), wait / 1000.0)
        client.raw.send(request_frame(number, id=name, **more))

    def write_configuration(self, port: int) -> None:
        config = configuration(channel=f"127.0.0.1:{port}", settings=settings_of_all_effects())
        self.file.write_text(json.dumps(config))

    # The rules

    def _broken(self) -> list[str]:
        broken = []
        attempts_by_request = self._attempts_by_request()
        for client in self.clients:
            counts = Counter(stream for stream, _ in client.answers)
            at = dict(reversed(client.answers))
            for name, sent in client.sent.items():
                due = sent.at + sent.wait + DEADLINE_ALLOWANCE + MACHINE_ALLOWANCE
                if client.left_at is None and counts[sent.stream] != 1:
                    broken.append(f"1: {name} has {counts[sent.stream]} answers, {attempts_by_request.get(name)}")
                if client.left_at is None and sent.stream in at and at[sent.stream] > due:
                    broken.append(f"1: {name} answered {at[sent.stream] - due:.3f} s after its time")
                broken += self._broken_by_attempts(
                    client, name, sent, attempts_by_request.get(name, []), at.get(sent.stream)
                )
        for place, drain_sent_at in self.draining.items():
            late = [
                words
                for words, received_at in self.invokers[place].lines
                if received_at > drain_sent_at + DRAIN_GRACE + DEADLINE_ALLOWANCE
            ]
            broken += [f"3: {words[:2]} sent to the draining invoker {place}" for words in late if words[0] != "drop"]
        return broken

    def _attempts_by_request(self) -> dict[str, list[tuple[float, float]]]:
        """By request: when each attempt was received, and the time limit that it carried (seconds)."""
        attempts_by_request: dict[str, list[tuple[float, float]]] = {}
        for one in self.invokers:
            for attempt in one.attempts():
                attempts_by_request.setdefault(attempt.tag, []).append((attempt.received_at, attempt.limit / 1000.0))
        return attempts_by_request

    def _broken_by_attempts(
        self, client: Client, name: str, sent: Sent, attempts: list, answered: float | None
    ) -> list[str]:
        broken = []
        if sent.group == "once" and len(attempts) > 1 + self.refusals[name]:
            broken.append(f"2: {name} ran {len(attempts)} times, {self.refusals[name]} of them refused")
        for received_at, limit in attempts:
            if limit > sent.at + sent.wait - received_at + DEADLINE_ALLOWANCE + MACHINE_ALLOWANCE:
                broken.append(f"1: {name} was told {limit:.3f} s with {sent.at + sent.wait - received_at:.3f} s left")
            if client.left_at is not None and received_at > client.left_at + CANCEL_ALLOWANCE + MACHINE_ALLOWANCE:
                broken.append(f"1: {name} began {received_at - client.left_at:.3f} s after its client left")
            if answered is not None and received_at > answered + MACHINE_ALLOWANCE:
                broken.append(f"1: {name} began {received_at - answered:.3f} s after its answer")
        return broken


# Troubles


async def idle_connections_close(world: TroubledWorld) -> None:
    """An invoker repeatedly closes all its connections."""
    one = world.chance.choice(world.invokers)
    for _ in range(5):
        for writer in one.writers:
            writer.close()
        await asyncio.sleep(0.12)


async def idle_connections_reset(world: TroubledWorld) -> None:
    """An invoker repeatedly resets all its connections."""
    one = world.chance.choice(world.invokers)
    for _ in range(5):
        for writer in one.writers:
            writer.transport.abort()
        await asyncio.sleep(0.12)


async def connections_are_not_read(world: TroubledWorld) -> None:
    """An invoker no longer reads from its open connections, without closing them."""
    one = world.chance.choice(world.invokers)
    for writer in one.writers:
        writer.transport.pause_reading()
    await asyncio.sleep(1.0)


async def all_refuse(world: TroubledWorld) -> None:
    """All invokers refuse attempts and their retries at once."""
    world.refusing = set(range(4))
    await asyncio.sleep(0.4)
    world.refusing = set()


async def one_hangs(world: TroubledWorld) -> None:
    place = world.chance.randrange(4)
    world.silent.add(place)
    await asyncio.sleep(0.9)
    world.silent.discard(place)


async def one_drains(world: TroubledWorld) -> None:
    """The busiest invoker drains, and is removed a while later."""
    place = max(range(4), key=lambda place: len(world.invokers[place].runs()))
    name, port = f"s-{place}", world.invokers[place].port
    world.channel.change((name, port, "draining"))
    # The drain counts from when the controller has received it.
    while world.scene.node.server.roster.last < world.channel.last:
        await asyncio.sleep(0.01)
    world.draining.setdefault(place, time.monotonic())
    await asyncio.sleep(0.9)
    world.channel.change((name, port, "removed"))


async def complete_list_is_repeated(world: TroubledWorld) -> None:
    """The same complete list is sent five times in a row."""
    for _ in range(5):
        hosts = [
            (f"s-{n}", one.port, "draining" if n in world.draining else "up") for n, one in enumerate(world.invokers)
        ]
        world.channel.change(*hosts, whole=True)
        await asyncio.sleep(0.05)


async def discovery_is_down(world: TroubledWorld) -> None:
    await world.channel.shut_down()
    await asyncio.sleep(1.0)
    await world.channel.restart()


async def discovery_is_slow(world: TroubledWorld) -> None:
    """An event arrives in pieces over half a second."""
    world.channel.last += 1
    data = event(world.channel.last)
    world.channel.events.append((world.channel.last, data))
    for at in range(0, len(data), 10):
        world.channel.write(data[at : at + 10])
        await asyncio.sleep(0.05)


async def discovery_accepts_no_watches(world: TroubledWorld) -> None:
    """Open watches are reset, and new ones receive nothing for a while."""
    world.channel.answers = False
    for writer in world.channel.writers:
        writer.transport.abort()
    await asyncio.sleep(1.0)
    world.channel.answers = True
    for writer in world.channel.writers:
        if writer not in world.channel.closed_writers:
            world.channel.begin(writer)


async def five_configurations(world: TroubledWorld) -> None:
    """Four valid configurations, then a truncated one."""
    for _ in range(4):
        world.write_configuration(world.channel.port)
        world.scene.node.reread()
        await asyncio.sleep(0.02)
    world.file.write_text(world.file.read_text()[:-200])
    world.scene.node.reread()


async def short_deadlines(world: TroubledWorld) -> None:
    """Half of the requests have 1 to 50 ms left, and invokers drop them without an answer."""
    world.min_wait_ms = 1.0
    await asyncio.sleep(0.8)
    world.min_wait_ms = 1_200.0


async def no_requests(world: TroubledWorld) -> None:
    """Clients send no requests for a while."""
    world.paused = True
    await asyncio.sleep(0.7)
    world.paused = False


async def invalid_client_input(world: TroubledWorld) -> None:
    """Other clients send bytes that are no frame, a truncated request, and a frame of an unknown type."""
    for data in (b"\xff" * 64, request_frame(1)[:40], frame(99, 1, b"x")):
        client = RawClient(world.scene.port)
        client.send(data)
        await asyncio.sleep(0.05)
        client.close(reset=True)


async def stop_while_all_hang(world: TroubledWorld) -> None:
    """The shutdown that SIGTERM starts, while no invoker answers."""
    world.silent = set(range(4))
    await asyncio.sleep(0.2)
    world.stopping = asyncio.ensure_future(world.scene.node.stop())


TROUBLES = [
    idle_connections_close,
    idle_connections_reset,
    connections_are_not_read,
    all_refuse,
    one_hangs,
    one_drains,
    complete_list_is_repeated,
    discovery_is_down,
    discovery_is_slow,
    discovery_accepts_no_watches,
    five_configurations,
    short_deadlines,
    no_requests,
    invalid_client_input,
    stop_while_all_hang,
]
