"""Resources of a whole controller process as the fleet grows at constant traffic of its own, on loopback.

    python benchmarks/whole_controller.py [--runs 3] [--times 1,4,16] [--lasts 20]

Runs one controller of the platform as a process; its invokers, clients and command channel are stand-ins in this
process. Sends 15 requests a second of 400 models with 200 invokers times each factor. During the run a third of them is
replaced in steps, announced as changes. Each metric is checked against the operators' bound, which is a multiple of its
value at the base size in the same run.
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

BASE_INVOKERS, RATE_PER_SECOND, MODELS, REPLACEMENT_STEPS = 200, 15.0, 400, 20
ANSWER, RETURNED = 17, 0
COMMENT_INTERVAL_S = 0.5
CLOCK_TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")


@dataclass(frozen=True, slots=True)
class Need:
    """The resources that the process used: seconds, MB, and bytes of lists while changes are announced."""

    cpu: float
    memory: float
    descriptors: float
    connections: float
    list_bytes: float
    served: float


COLUMNS = [one.name for one in fields(Need)]


@dataclass(frozen=True, slots=True)
class Bound:
    """`times` the value at the base size, plus `plus`, plus `a_thousand` for each thousand invokers."""

    times: float
    plus: float = 0.0
    a_thousand: float = 0.0

    def limit(self, base_value: float, invokers: int) -> float:
        return base_value * self.times + self.plus + self.a_thousand * invokers / 1000.0


BOUNDS = {
    "cpu": Bound(1.4, 0.02, 0.12),
    "memory": Bound(1.5, 8.0, 4.0),
    "descriptors": Bound(2.0, 40.0),
    "connections": Bound(2.5, 40.0),
    "list_bytes": Bound(2.0, 64_000.0, 500_000.0),
}
MIN_SERVED = 0.85


class Invokers:
    """Listening sockets of many invokers. Each run is answered at once, the first of a model after a load's time."""

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
            async for tokens in lines_of(reader):
                if tokens[0] != "drop":
                    asyncio.get_running_loop().call_later(0.03, writer.write, hit(tokens[1]))
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    def close(self) -> None:
        for server in self.servers:
            server.close()


class Channel:
    """The command channel; sends data to the most recent watch."""

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
                await asyncio.sleep(COMMENT_INTERVAL_S)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass

    async def close(self) -> None:
        """Closes the channel and waits until the watches notice it."""
        self.server.close()
        for writer in self.writers:
            writer.close()
        await asyncio.sleep(COMMENT_INTERVAL_S + 0.1)

    def send(self, data: bytes) -> None:
        self.written += len(data)
        self.writers[-1].write(data)


def cpu_seconds(pid: int) -> float:
    tokens = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(tokens[11]) + int(tokens[12])) / CLOCK_TICKS_PER_SECOND


def peak_mb(pid: int) -> float:
    lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    return next(float(line.split()[1]) / 1024.0 for line in lines if line.startswith("VmHWM"))


class Descriptors:
    """The maximum number of open descriptors observed in a process."""

    def __init__(self, pid: int):
        self.folder, self.max_open = f"/proc/{pid}/fd", 0

    async def watch(self) -> None:
        """Checks ten times a second."""
        while True:
            self.max_open = max(self.max_open, len(os.listdir(self.folder)))
            await asyncio.sleep(0.1)


def _free_port() -> int:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


async def _clients(port: int, lasts: float, chance: random.Random) -> float:
    """Sends the traffic; returns the share of requests that were answered."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    end, number, returned = time.monotonic() + lasts, 0, 0

    async def receive() -> None:
        nonlocal returned
        while True:
            size = int.from_bytes(await reader.readexactly(4), "big")
            data = await reader.readexactly(size)
            returned += data[0] == ANSWER and data[5] == RETURNED

    receiving = asyncio.ensure_future(receive())
    while time.monotonic() < end:
        await asyncio.sleep(chance.expovariate(RATE_PER_SECOND))
        number += 1
        # A few frequent models, many rare ones.
        model = int(MODELS * chance.random() ** 3)
        writer.write(request_frame(number, id=f"{number:016x}", key=f"{model:016x}"))
    await asyncio.sleep(2.0)
    receiving.cancel()
    writer.close()
    return returned / number


async def _changes(invokers: Invokers, channel: Channel, count: int, lasts: float) -> None:
    """Replaces a third of the invokers in steps over the run."""
    names = [f"s-{number}" for number in range(count // 3)]
    cursor = 1
    for step in range(REPLACEMENT_STEPS):
        await asyncio.sleep(0.9 * lasts / REPLACEMENT_STEPS)
        batch = names[step * len(names) // REPLACEMENT_STEPS : (step + 1) * len(names) // REPLACEMENT_STEPS]
        for state in ("draining", "removed"):
            cursor += 1
            channel.send(event(cursor, *[(name, invokers.ports[name], state) for name in batch]))
        cursor += 1
        born = int(time.time() * 1000.0)
        channel.send(event(cursor, *[await invokers.add(f"{name}-new") for name in batch], born=born))


async def play(count: int, lasts: float, seed: int) -> Need:
    """One run of one process."""
    invokers, channel = Invokers(), Channel()
    hosts = [await invokers.add(f"s-{number}") for number in range(count)]
    port = _free_port()
    settings = configuration(
        listen=f"127.0.0.1:{port}",
        channel=f"127.0.0.1:{await channel.start()}",
        known={"cursor": 1, "cmds": [entry(1, *hosts, whole=True)]},
        settings={**SETTINGS, "balancers": 200},
    )
    with tempfile.TemporaryDirectory() as folder:
        file = Path(folder) / "configuration.json"
        file.write_text(json.dumps(settings))
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
            need = Need(
                cpu_seconds(pid), peak_mb(pid), descriptors.max_open, invokers.connections, channel.written, served
            )
        finally:
            process.send_signal(signal.SIGTERM)
            await asyncio.to_thread(process.wait, 20)
            invokers.close()
            await channel.close()
    return need


def _within(name: str, value: float, base_value: float, invokers: int) -> bool:
    if name == "served":
        return value >= MIN_SERVED * base_value
    return value <= BOUNDS[name].limit(base_value, invokers)


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--runs", type=int, default=3)
    parser.add_argument("--times", default="1,4,16")
    parser.add_argument("--lasts", type=float, default=20.0)
    args = parser.parse_args()
    print("Each figure: median (least, most); ! beyond its bound.")
    print("| invokers | " + " | ".join(COLUMNS) + " |")
    print("| --- " * (len(COLUMNS) + 1) + "|")
    base_values: dict[str, float] = {}
    for factor in map(int, args.times.split(",")):
        needs = [asyncio.run(play(BASE_INVOKERS * factor, args.lasts, seed)) for seed in range(args.runs)]
        cells = []
        for name in COLUMNS:
            values = sorted(float(getattr(need, name)) for need in needs)
            median = statistics.median(values)
            mark = "" if _within(name, median, base_values.setdefault(name, median), BASE_INVOKERS * factor) else " !"
            cells.append(f"{median:.6g} ({values[0]:.6g}, {values[-1]:.6g}){mark}")
        print(f"| {BASE_INVOKERS * factor} | " + " | ".join(cells) + " |", flush=True)


if __name__ == "__main__":
    main()
