"""A seeded soak of controller processes under floods, crowds, signals and replaced invokers, judged from outside.

`python soak.py FIRST_SEED LAST_SEED [PARALLEL]` plays the seeds and prints a line for each; exit status 1 if one broke.
"""

from __future__ import annotations

import asyncio
import itertools
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections import Counter
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, field
from pathlib import Path

from platform_process import own_memory_mb
from platform_scene import InvokerStandIn, RawClient, controller_process, cut_frames, entry, hit, until
from platform_world import configuration, frame, request_frame, settings_of_all_effects
from troubled_scene import ReplayingChannel

NODES, INVOKERS, CLIENTS_A_NODE = 3, 5, 5
MEMORY_MB, SOCKETS = 80, 384
# A third of the descriptors, less the usual clients.
CROWD = 118
RUN_SECONDS = 10.0
PORT = 10_080
ANSWER, READINESS_QUERY = 17, 32
# The protocol page: an answer up to this much after its time only earns nothing; later it is lost.
LATE_SECONDS = 0.5
CLIENT_LEFT_SECONDS, DRAIN_GRACE_SECONDS = 0.1, 0.5
# What a busy machine may add on either side.
MACHINE_SECONDS = 0.15
# The page's earliest kill after SIGTERM: the longest deadline of the settings, and 0.7 s more.
STILL_ACCEPTED_SECONDS, KILL_AFTER_SECONDS = 0.7, 2.7
RESTART_SECONDS = 1.0
LONGEST_WAIT_MS = 1_900.0
MAX_MEMORY_SHARE = 0.8
FLOODS = [
    ("checks", 6),
    ("new-names-taken-back-at-once", 8),
    ("new-names-taken-back", 8),
    ("new-names-taken-back-later", 8),
    ("unknown-classes", 6),
    ("too-long-frames", 8),
]
FIRST_FLOOD_ID, FIRST_LEAVER_ID = 1 << 44, 1 << 36


@dataclass(eq=False)
class Life:
    """One process of a controller; times are seconds of the monotonic clock."""

    process: subprocess.Popen
    log: Path
    term_at: float | None = None
    killed_at: float | None = None
    highest_mb: float = 0.0
    # When it was stopped and continued.
    stops: list[tuple[float, float]] = field(default_factory=list)


@dataclass(eq=False)
class Request:
    id: str
    group: str
    life: Life
    sent_at: float
    wait: float
    answers: list[float] = field(default_factory=list)
    codes: list[int] = field(default_factory=list)

    def is_excused(self) -> bool:
        """Whether the process was killed before an answer was due, as the platform may."""
        life = self.life
        if life.killed_at is None:
            return False
        if life.term_at is not None and self.sent_at < life.term_at + STILL_ACCEPTED_SECONDS:
            return life.killed_at < self.sent_at + self.wait
        if life.term_at is not None:
            return True
        return life.killed_at < self.sent_at + self.wait + LATE_SECONDS

    def due_at(self) -> float:
        """When the answer is lost; a stopped process can't answer."""
        held = sum(
            max(0.0, min(ended, self.sent_at + self.wait) - max(began, self.sent_at))
            for began, ended in self.life.stops
        )
        return self.sent_at + self.wait + held + LATE_SECONDS + MACHINE_SECONDS


@dataclass(eq=False)
class Left:
    """A request whose client closed its connection."""

    id: str
    left_at: float


class DelayedInvoker(InvokerStandIn):
    """Answers each run after some milliseconds, as long as its process lives."""

    def __init__(self, chance: random.Random, port: int = 0):
        super().__init__(port=port)
        self.chance = chance
        # What it ran and when (seconds, monotonic); what it refuses while it drains never runs.
        self.ran: list[tuple[str, float]] = []

    async def _serve(self, reader, writer):
        loop = asyncio.get_running_loop()

        def answer_later(tag: str):
            self.ran.append((tag, time.monotonic()))
            loop.call_later(self.chance.uniform(0.005, 0.04), self._write, writer, hit(tag))

        self.behave = answer_later
        await super()._serve(reader, writer)

    def _write(self, writer, data: bytes):
        if not writer.is_closing():
            writer.write(data)

    async def die(self):
        """The process ends: its connections are reset and its address is free."""
        self.server.close()
        self.listener.close()
        for writer in self.writers:
            writer.transport.abort()
        await asyncio.sleep(0.02)


class Node:
    """One controller at an address of its own, over all its processes."""

    def __init__(self, number: int, host: str, folder: Path, channel: ReplayingChannel, first: dict):
        self.number, self.host, self.folder, self.channel = number, host, folder, channel
        self.known = first
        self.lives: list[Life] = []
        self.path = folder / f"n{number}.json"

    @property
    def life(self) -> Life:
        return self.lives[-1]

    def write_configuration(self, channel_port: int | None = None) -> None:
        config = configuration(
            name=f"n{self.number}",
            listen=f"{self.host}:{PORT}",
            channel=f"127.0.0.1:{channel_port or self.channel.port}",
            known=self.known,
            limits={"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": SOCKETS},
            settings=settings_of_all_effects(),
        )
        self.path.write_text(json.dumps(config))

    async def start(self) -> None:
        self.write_configuration()
        log = self.folder / f"n{self.number}-{len(self.lives)}.log"
        with log.open("w") as stderr:
            self.lives.append(Life(controller_process(self.path, stderr=stderr), log))
        await until(lambda: "listening" in log.read_text(), 20.0)

    def send_signal(self, number: int) -> None:
        if self.life.process.poll() is None:
            self.life.process.send_signal(number)

    def kill(self) -> None:
        self.life.killed_at = time.monotonic()
        self.send_signal(signal.SIGKILL)
        self.life.process.wait()


class Soak:
    """One seed: its world, its schedule of troubles and its judge."""

    def __init__(self, seed: int, folder: Path):
        self.seed, self.folder, self.chance = seed, folder, random.Random(seed)
        self.channel = ReplayingChannel()
        self.invokers: dict[str, DelayedInvoker] = {}
        self.all_invokers: list[DelayedInvoker] = []
        self.drained: list[tuple[DelayedInvoker, float]] = []
        self.nodes: list[Node] = []
        self.requests: list[Request] = []
        self.left: list[Left] = []
        self.ids = itertools.count(1)
        self.leaver_ids = itertools.count(FIRST_LEAVER_ID)
        self.flood_ids = itertools.count(FIRST_FLOOD_ID, 1 << 32)
        self.floods: list[asyncio.subprocess.Process] = []
        self.ends_at = 0.0
        self.done: list[str] = []

    # The world

    async def play(self) -> list[str]:
        """Returns what broke."""
        await self.channel.start()
        for number in range(INVOKERS):
            await self._add_invoker(f"s-{number}", 0)
        hosts = [(name, one.port, "up") for name, one in self.invokers.items()]
        first = {"cursor": 1, "cmds": [entry(1, *hosts, whole=True)]}
        # Addresses that no other run on this machine uses.
        net = f"127.{10 + os.getpid() % 200}.{self.seed % 250}"
        self.nodes = [Node(n, f"{net}.{n + 1}", self.folder, self.channel, first) for n in range(NODES)]
        tasks: list[asyncio.Task] = []
        try:
            await asyncio.gather(*[node.start() for node in self.nodes])
            self.ends_at = time.monotonic() + RUN_SECONDS
            tasks = [asyncio.create_task(self._comment()), asyncio.create_task(self._watch_memory())]
            clients = [asyncio.create_task(self._ask(node)) for node in self.nodes for _ in range(CLIENTS_A_NODE)]
            await asyncio.sleep(0.5)
            await asyncio.gather(*[self._trouble(node) for node in self.nodes], self._replace_invokers())
            await asyncio.gather(*clients)
            return self._judge()
        finally:
            for task in tasks:
                task.cancel()
            for process in self.floods:
                if process.returncode is None:
                    process.kill()
                    await process.wait()
            for node in self.nodes:
                for life in node.lives:
                    if life.process.poll() is None:
                        life.process.kill()
                        life.process.wait()
            self.channel.close()
            for one in self.all_invokers:
                one.close()

    async def _add_invoker(self, name: str, port: int):
        one = DelayedInvoker(random.Random(f"{self.seed} {name}"), port)
        await one.start()
        self.invokers[name] = one
        self.all_invokers.append(one)

    async def _comment(self):
        while True:
            self.channel.write(b": here\n\n")
            await asyncio.sleep(0.5)

    async def _watch_memory(self):
        while True:
            for node in self.nodes:
                try:
                    node.life.highest_mb = max(node.life.highest_mb, own_memory_mb(node.life.process.pid))
                except (OSError, StopIteration):
                    pass
            await asyncio.sleep(0.02)

    # Usual clients

    async def _ask(self, node: Node):
        """One request after another on an open connection, until the process at its end is gone."""
        chance = random.Random(f"{self.seed} {next(self.ids)}")
        while time.monotonic() < self.ends_at:
            life = node.life
            try:
                reader, writer = await asyncio.open_connection(node.host, PORT)
            except OSError:
                await asyncio.sleep(0.03)
                continue
            try:
                await self._ask_on(reader, writer, life, chance)
            except OSError:
                pass
            finally:
                writer.transport.abort()

    async def _ask_on(self, reader, writer, life: Life, chance: random.Random):
        streams: dict[int, Request] = {}
        data = b""
        for stream in itertools.count(1):
            if time.monotonic() >= self.ends_at:
                return
            request = self._request(life, chance)
            streams[stream] = request
            more = {"once": f"{int(request.id, 16):032x}"} if request.group == "publish" else {}
            wait, model = f"{request.wait * 1000:.0f}", f"{chance.randint(1, 4):016x}"
            body = bytes(chance.choice((0, 10, 3_000, 16_000)))
            writer.write(
                request_frame(stream, body, id=request.id, wait=wait, key=model, **{"class": request.group}, **more)
            )
            self.requests.append(request)
            while not request.answers:
                timeout = request.due_at() + 1.0 - time.monotonic()
                try:
                    chunk = await asyncio.wait_for(reader.read(65_536), max(0.01, timeout))
                except TimeoutError:
                    return
                if not chunk:
                    return
                frames, data = cut_frames(data + chunk)
                for kind, number, code in frames:
                    if kind == ANSWER and number in streams:
                        streams[number].answers.append(time.monotonic())
                        streams[number].codes.append(code)
            await asyncio.sleep(chance.uniform(0.0, 0.06))

    def _request(self, life: Life, chance: random.Random) -> Request:
        group = chance.choice(("call", "publish", "once"))
        wait = chance.uniform(0.6, LONGEST_WAIT_MS / 1000.0)
        return Request(f"{next(self.ids):016x}", group, life, time.monotonic(), wait)

    # Troubles

    async def _trouble(self, node: Node):
        """A series of troubles at one controller; some runs have a crowd at all of them."""
        chance = random.Random(f"{self.seed} trouble {node.number}")
        crowd = []
        if self.seed % 3 == 0:
            crowd = [asyncio.create_task(self._flood(node, "half-requests", CROWD, RUN_SECONDS - 2.0))]
        troubles = (
            self._flood_some,
            self._flood_some,
            self._leave,
            self._signals,
            self._hold,
            self._terminate,
            self._kill,
        )
        while time.monotonic() < self.ends_at - 3.5:
            await chance.choice(troubles)(node, chance)
            await asyncio.sleep(chance.uniform(0.0, 0.5))
        for task in crowd:
            await task

    async def _flood_some(self, node: Node, chance: random.Random):
        kind, connections = chance.choice(FLOODS)
        flooding = asyncio.create_task(self._flood(node, kind, connections, chance.uniform(1.0, 2.5)))
        # Others trouble the same controller meanwhile.
        await asyncio.sleep(chance.uniform(0.2, 0.6))
        await chance.choice((self._leave, self._hold, self._signals))(node, chance)
        await flooding

    async def _flood(self, node: Node, kind: str, connections: int, seconds: float):
        self.done.append(f"{kind}@n{node.number}")
        program = str(Path(__file__).parent / "flooding_clients.py")
        arguments = [f"{node.host}:{PORT}", kind, str(connections), f"{seconds:.2f}", str(next(self.flood_ids))]
        process = await asyncio.create_subprocess_exec(
            sys.executable, program, *arguments, stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL
        )
        self.floods.append(process)
        await process.wait()

    async def _leave(self, node: Node, chance: random.Random):
        """A client sends requests that must not run twice, closes with or without much unread, and comes again."""
        self.done.append(f"leave@n{node.number}")
        life = node.life
        names = [f"{next(self.leaver_ids):016x}" for _ in range(8)]
        data = b"".join(request_frame(n, id=name, **{"class": "once"}) for n, name in enumerate(names, 1))
        data += frame(READINESS_QUERY, 0, b"\0") * chance.choice((0, 0, 20_000))
        for again in (False, True):
            client = RawClientAt(node.host)
            if client.sock is None or node.life is not life or life.term_at is not None:
                return
            client.send(data)
            await asyncio.sleep(chance.choice((0.0, 0.002, 0.3)))
            client.close(reset=chance.random() < 0.5)
            if not again:
                left_at = time.monotonic()
                await asyncio.sleep(chance.choice((0.0, 0.2)))
        self.left += [Left(name, max(left_at, time.monotonic())) for name in names]

    async def _signals(self, node: Node, chance: random.Random):
        """Configurations in quick succession, the last but one bad."""
        self.done.append(f"hup@n{node.number}")
        for broken in (False, True, False):
            if broken:
                node.path.write_text("{")
            else:
                node.write_configuration()
            node.send_signal(signal.SIGHUP)
            await asyncio.sleep(chance.uniform(0.0, 0.05))
        node.write_configuration()
        node.send_signal(signal.SIGHUP)

    async def _hold(self, node: Node, chance: random.Random):
        self.done.append(f"stop@n{node.number}")
        life, began = node.life, time.monotonic()
        node.send_signal(signal.SIGSTOP)
        await asyncio.sleep(chance.uniform(0.05, 0.4))
        node.send_signal(signal.SIGCONT)
        life.stops.append((began, time.monotonic()))

    async def _terminate(self, node: Node, chance: random.Random):
        """SIGTERM, further signals, and SIGKILL at the earliest; clients use open connections until then."""
        self.done.append(f"term@n{node.number}")
        node.life.term_at = time.monotonic()
        node.send_signal(signal.SIGTERM)
        await asyncio.sleep(chance.uniform(0.0, 0.5))
        node.send_signal(chance.choice((signal.SIGTERM, signal.SIGHUP)))
        await asyncio.sleep(max(0.0, node.life.term_at + KILL_AFTER_SECONDS - time.monotonic()))
        node.kill()
        await asyncio.sleep(chance.uniform(0.0, RESTART_SECONDS))
        await node.start()

    async def _kill(self, node: Node, chance: random.Random):
        self.done.append(f"kill@n{node.number}")
        node.kill()
        await asyncio.sleep(RESTART_SECONDS)
        await node.start()

    async def _replace_invokers(self):
        """Invokers drain and leave, or die; others come up at their addresses, told of early or late."""
        chance = random.Random(f"{self.seed} invokers")
        for number in itertools.count(INVOKERS):
            await asyncio.sleep(chance.uniform(0.8, 2.0))
            if time.monotonic() > self.ends_at - 2.0:
                return
            old = chance.choice(list(self.invokers))
            one = self.invokers.pop(old)
            name = f"s-{number}"
            self.done.append(f"{old}>{name}")
            if chance.random() < 0.5:
                self.channel.change((old, one.port, "draining"))
                one.drain()
                self.drained.append((one, time.monotonic()))
                await asyncio.sleep(DRAIN_GRACE_SECONDS + 0.3)
            await one.die()
            await self._add_invoker(name, one.port)
            await asyncio.sleep(chance.uniform(0.0, 0.3))
            news = [(old, one.port, "removed"), (name, one.port, "up")]
            for host in news if chance.random() < 0.5 else reversed(news):
                self.channel.change(host)
                await asyncio.sleep(chance.uniform(0.0, 0.2))

    # The judge

    def _judge(self) -> list[str]:
        broken = []
        for request in self.requests:
            broken += self._judge_request(request)
        broken += self._judge_repeats()
        left = {one.id: one.left_at for one in self.left}
        for invoker in self.all_invokers:
            for one in invoker.attempts():
                allowed = left.get(one.tag, one.received_at) + CLIENT_LEFT_SECONDS + MACHINE_SECONDS
                if one.received_at > allowed:
                    broken.append(f"begun {one.received_at - left[one.tag]:.2f} s after its client had left: {one.tag}")
        for invoker, drained_at in self.drained:
            allowed = drained_at + DRAIN_GRACE_SECONDS + MACHINE_SECONDS
            broken += [
                f"sent to a drained invoker: {one.tag}" for one in invoker.attempts() if one.received_at > allowed
            ]
        for node in self.nodes:
            for life in node.lives:
                broken += self._judge_life(node, life)
        return broken

    def _judge_repeats(self) -> list[str]:
        """Requests that must not run twice, and their runs."""
        never_twice = {request.id for request in self.requests if request.group == "once"} | {
            one.id for one in self.left
        }
        runs: dict[str, list[str]] = {}
        for invoker in self.all_invokers:
            for name, at in invoker.ran:
                runs.setdefault(name, []).append(f"at {at:.3f} by port {invoker.port}")
        return [
            f"ran twice: {name}: {', '.join(runs[name])}" for name in sorted(never_twice) if len(runs.get(name, [])) > 1
        ]

    def _judge_request(self, request: Request) -> list[str]:
        what = f"{request.id} ({request.group}, wait {request.wait:.2f} s)"
        if len(request.answers) > 1:
            return [f"answered twice: {what}"]
        if request.is_excused():
            return []
        if not request.answers:
            return [f"never answered: {what}"]
        if request.answers[0] > request.due_at():
            return [f"answered after {request.answers[0] - request.sent_at:.2f} s: {what}"]
        return []

    def _judge_life(self, node: Node, life: Life) -> list[str]:
        broken = []
        status = life.process.poll()
        if status is not None and life.term_at is None and life.killed_at is None:
            broken.append(f"n{node.number} ended by itself with status {status}")
        if life.highest_mb > MAX_MEMORY_SHARE * MEMORY_MB:
            broken.append(f"n{node.number} took {life.highest_mb:.1f} MB")
        log = life.log.read_text()
        for sign in ("Traceback", "unexpected error"):
            if sign in log:
                broken.append(f"n{node.number} logged an error: {log[log.index(sign) :][:600]}")
        return broken

    def summary(self) -> str:
        codes = Counter(code for request in self.requests for code in request.codes)
        times = sorted(request.answers[0] - request.sent_at for request in self.requests if request.answers)
        highest = max(life.highest_mb for node in self.nodes for life in node.lives)
        return (
            f"{len(self.requests)} requests, codes {dict(codes)}, p99 {times[int(0.99 * len(times))] * 1000:.0f} ms, "
            f"highest {times[-1] * 1000:.0f} ms, {highest:.1f} MB, {len(self.left)} left, {len(self.done)} troubles"
        )


class RawClientAt(RawClient):
    """A client of the controller at another loopback address; `sock` is None if it takes no connection."""

    def __init__(self, host: str):
        self.unread = b""
        self.sock = None
        try:
            self.sock = socket.create_connection((host, PORT), 0.5)
        except OSError:
            return
        self.sock.setblocking(False)

    def send(self, data: bytes):
        try:
            self.sock.send(data)
        except OSError:
            pass


def play(seed: int) -> tuple[list[str], str]:
    """Plays one seed; returns what broke, and a summary."""

    async def scene():
        with tempfile.TemporaryDirectory() as folder:
            soak = Soak(seed, Path(folder))
            broken = await asyncio.wait_for(soak.play(), 60.0)
            return broken, f"{soak.summary()}: {' '.join(soak.done)}"

    return asyncio.run(scene())


def main(first: int, last: int, parallel: int) -> int:
    """Plays the seeds, so many at a time, each in a process of its own; returns the exit status."""
    failed = 0
    with ProcessPoolExecutor(parallel) as pool:
        for seed, (broken, summary) in zip(range(first, last + 1), pool.map(play, range(first, last + 1)), strict=True):
            failed += bool(broken)
            print(f"seed {seed}: {'BROKEN ' + '; '.join(broken[:6]) if broken else 'held'}; {summary}", flush=True)
    print(f"{last - first + 1 - failed} held, {failed} broken")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main(int(sys.argv[1]), int(sys.argv[2]), int(sys.argv[3]) if len(sys.argv) > 3 else 1))
