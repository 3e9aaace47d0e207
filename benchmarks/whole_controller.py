"""What a whole controller process needs as the fleet grows and its own traffic stays the same, on loopback.

    python benchmarks/whole_controller.py [--runs 3] [--times 1,4,16] [--lasts 20]

One controller of the platform as a process, stand-ins for its invokers, clients and command channel in this one: 15
requests a second of 400 models at 200 invokers times each factor; within the time a third of them is replaced in steps,
told as changes. Each figure is held against the operators' bound, as a multiple of the same run's usual size.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import random
import signal
import socket
import statistics
import subprocess
import sys
import tempfile
import time
from dataclasses import dataclass, fields
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "tests"))

from platform_scene import entry, event, hit, lines_of  # noqa: E402
from platform_world import SETTINGS, configuration, request_frame  # noqa: E402

USUAL, RATE, MODELS, STEPS = 200, 15.0, 400, 20
ANSWER, RETURNED = 17, 0
COMMENT_EVERY = 0.5
TICKS = os.sysconf("SC_CLK_TCK")


@dataclass(frozen=True, slots=True)
class Need:
    """What the process needed: seconds, MB, bytes of lists while changes are told."""

    cpu: float
    memory: float
    descriptors: float
    connections: float
    list_bytes: float
    served: float


NAMES = [one.name for one in fields(Need)]


@dataclass(frozen=True, slots=True)
class Bound:
    """So many times the usual size's figure, and so much more, at once and for each thousand invokers."""

    times: float
    plus: float = 0.0
    a_thousand: float = 0.0

    def most(self, usual: float, invokers: int) -> float:
        return usual * self.times + self.plus + self.a_thousand * invokers / 1000.0


BOUNDS = {
    "cpu": Bound(1.4, 0.02, 0.12),
    "memory": Bound(1.5, 8.0, 4.0),
    "descriptors": Bound(2.0, 40.0),
    "connections": Bound(2.5, 40.0),
    "list_bytes": Bound(2.0, 64_000.0, 500_000.0),
}
LEAST_SERVED = 0.85


class Invokers:
    """Listening sockets of many invokers; each run is answered at once, the first of a model after a load's time."""

    def __init__(self) -> None:
        self.connections = 0
        self.ports: dict[str, int] = {}
        self.servers: list[asyncio.Server] = []

    async def add(self, name: str) -> tuple[str, int, str]:
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.servers.append(server)
        self.ports[name] = server.sockets[0].getsockname()[1]
        return name, self.ports[name], "up"

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        try:
            async for words in lines_of(reader):
                if words[0] != "drop":
                    asyncio.get_running_loop().call_later(0.03, writer.write, hit(words[1]))
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    def close(self) -> None:
        for server in self.servers:
            server.close()


class Channel:
    """The command channel: tells what it is given to the watch that stands."""

    def __init__(self) -> None:
        self.writers: list[asyncio.StreamWriter] = []
        self.written = 0

    async def start(self) -> int:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return self.server.sockets[0].getsockname()[1]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n")
            self.writers.append(writer)
            while not writer.is_closing():
                writer.write(b": here\n\n")
                await asyncio.sleep(COMMENT_EVERY)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass

    async def close(self) -> None:
        """Wait for the watches to see it."""
        self.server.close()
        for writer in self.writers:
            writer.close()
        await asyncio.sleep(COMMENT_EVERY + 0.1)

    def tell(self, data: bytes) -> None:
        self.written += len(data)
        self.writers[-1].write(data)


def cpu_seconds(pid: int) -> float:
    words = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(words[11]) + int(words[12])) / TICKS


def peak_mb(pid: int) -> float:
    lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    return next(float(line.split()[1]) / 1024.0 for line in lines if line.startswith("VmHWM"))


class Descriptors:
    """The most descriptors that a process was seen to have open."""

    def __init__(self, pid: int):
        self.folder, self.most = f"/proc/{pid}/fd", 0

    async def watch(self) -> None:
        """Look ten times a second."""
        while True:
            self.most = max(self.most, len(os.listdir(self.folder)))
            await asyncio.sleep(0.1)


def _free_port() -> int:
    with socket.socket() as one:
        one.bind(("127.0.0.1", 0))
        return one.getsockname()[1]


async def _clients(port: int, lasts: float, chance: random.Random) -> float:
    """Sends the traffic; gives the share returned."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    until, number, returned = time.monotonic() + lasts, 0, 0

    async def hear() -> None:
        nonlocal returned
        while True:
            size = int.from_bytes(await reader.readexactly(4), "big")
            data = await reader.readexactly(size)
            returned += data[0] == ANSWER and data[5] == RETURNED

    hearing = asyncio.ensure_future(hear())
    while time.monotonic() < until:
        await asyncio.sleep(chance.expovariate(RATE))
        number += 1
        # A few favourites, many rare ones.
        model = int(MODELS * chance.random() ** 3)
        writer.write(request_frame(number, id=f"{number:016x}", key=f"{model:016x}"))
    await asyncio.sleep(2.0)
    hearing.cancel()
    writer.close()
    return returned / number


async def _changes(invokers: Invokers, channel: Channel, count: int, lasts: float) -> None:
    """A third of the invokers is replaced, in steps over the time."""
    names = [f"s-{number}" for number in range(count // 3)]
    last = 1
    for step in range(STEPS):
        await asyncio.sleep(0.9 * lasts / STEPS)
        part = names[step * len(names) // STEPS : (step + 1) * len(names) // STEPS]
        for state in ("draining", "removed"):
            last += 1
            channel.tell(event(last, *[(name, invokers.ports[name], state) for name in part]))
        last += 1
        born = int(time.time() * 1000.0)
        channel.tell(event(last, *[await invokers.add(f"{name}-new") for name in part], born=born))


async def play(count: int, lasts: float, seed: int) -> Need:
    """One day of one process."""
    invokers, channel = Invokers(), Channel()
    hosts = [await invokers.add(f"s-{number}") for number in range(count)]
    port = _free_port()
    told = configuration(
        listen=f"127.0.0.1:{port}",
        channel=f"127.0.0.1:{await channel.start()}",
        known={"cursor": 1, "cmds": [entry(1, *hosts, whole=True)]},
        settings={**SETTINGS, "balancers": 200},
    )
    with tempfile.TemporaryDirectory() as folder:
        file = Path(folder) / "configuration.json"
        file.write_text(json.dumps(told))
        process = subprocess.Popen(
            [sys.executable, "-m", "sprucespool.node"],
            env={**os.environ, "RELAY_CONFIG": str(file), "SPRUCESPOOL_LOG": "info"},
            stderr=subprocess.DEVNULL,
        )
        try:
            while not channel.writers:
                await asyncio.sleep(0.01)
            descriptors = Descriptors(process.pid)
            watching = asyncio.ensure_future(descriptors.watch())
            changes = asyncio.ensure_future(_changes(invokers, channel, count, lasts))
            served = await _clients(port, lasts, random.Random(seed))
            await changes
            watching.cancel()
            pid = process.pid
            need = Need(cpu_seconds(pid), peak_mb(pid), descriptors.most, invokers.connections, channel.written, served)
        finally:
            process.send_signal(signal.SIGTERM)
            await asyncio.to_thread(process.wait, 20)
            invokers.close()
            await channel.close()
    return need


def _within(name: str, found: float, usual: float, invokers: int) -> bool:
    if name == "served":
        return found >= LEAST_SERVED * usual
    return found <= BOUNDS[name].most(usual, invokers)


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--runs", type=int, default=3)
    parser.add_argument("--times", default="1,4,16")
    parser.add_argument("--lasts", type=float, default=20.0)
    told = parser.parse_args()
    print("Each figure: median (least, most); ! beyond its bound.")
    print("| invokers | " + " | ".join(NAMES) + " |")
    print("| --- " * (len(NAMES) + 1) + "|")
    usual: dict[str, float] = {}
    for factor in map(int, told.times.split(",")):
        needs = [asyncio.run(play(USUAL * factor, told.lasts, seed)) for seed in range(told.runs)]
        cells = []
        for name in NAMES:
            figures = sorted(float(getattr(need, name)) for need in needs)
            middle = statistics.median(figures)
            mark = "" if _within(name, middle, usual.setdefault(name, middle), USUAL * factor) else " !"
            cells.append(f"{middle:.6g} ({figures[0]:.6g}, {figures[-1]:.6g}){mark}")
        print(f"| {USUAL * factor} | " + " | ".join(cells) + " |", flush=True)


if __name__ == "__main__":
    main()
