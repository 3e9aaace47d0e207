"""A controller process with its peers on loopback: its memory and what a usual client is answered are recorded."""

from __future__ import annotations

import asyncio
import json
import subprocess
import tempfile
from collections import Counter
from contextlib import asynccontextmanager
from pathlib import Path

from platform_scene import (
    ChannelStandIn,
    InvokerStandIn,
    controller_process,
    entry,
    listening_port,
    read_frames,
    until,
)
from platform_world import configuration, request_frame

MEMORY_MB, SOCKETS = 64, 1024
# Above this share of its memory limit, a controller keeps something that no limit counts.
MAX_SHARE = 0.8
SERVED, REFUSED = 0, 14


def own_memory_mb(pid: int) -> float:
    """The memory of the process that it shares with no other."""
    status = Path(f"/proc/{pid}/status").read_text()
    return next(int(line.split()[1]) / 1024 for line in status.splitlines() if line.startswith("RssAnon"))


class Platform:
    """A controller process with its peers on loopback; its highest memory is recorded."""

    def __init__(
        self,
        process: subprocess.Popen,
        log: Path,
        invokers: list[InvokerStandIn],
        channel: ChannelStandIn,
        memory_mb: int = MEMORY_MB,
    ):
        self.process, self.log, self.invokers, self.channel = process, log, invokers, channel
        self.port, self.memory_mb = listening_port(log.read_text()), memory_mb
        self.highest_mb = 0.0
        self.codes: list[int] = []
        self.asked = 0

    async def watch_memory(self):
        while self.process.poll() is None:
            self.highest_mb = max(self.highest_mb, own_memory_mb(self.process.pid))
            await asyncio.sleep(0.002)

    async def ask_as_usual_client(self, body: bytes = b"small"):
        """Ask for one request after another on one connection."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        data = b""
        while True:
            self.asked += 1
            writer.write(request_frame(self.asked, body, id=f"{self.asked:016x}"))
            found = await read_frames(reader, data)
            if found is None:
                return
            frames, data = found
            self.codes += [code for _, _, code in frames]
            await asyncio.sleep(0.02)

    async def check(self, stopped: bool = False):
        """Each request that the usual client asked is answered, also the last one.

        A limit on memory would fail its requests or end its connection; the decisions may refuse them, as where bad
        clients take all of the processor or of the invokers.
        """
        assert (self.process.poll() is not None) is stopped
        assert self.highest_mb < MAX_SHARE * self.memory_mb
        asked = self.asked
        await until(lambda: len(self.codes) >= asked)
        assert set(self.codes) <= {SERVED, REFUSED}


@asynccontextmanager
async def platform(
    *invokers: InvokerStandIn,
    memory_mb: int = MEMORY_MB,
    sockets: int = SOCKETS,
    usual: bool = True,
    stopped: bool = False,
    **change,
):
    """A controller process; on exit its memory and the answers to the usual client are checked.

    Without the `usual` client a test asks with clients of its own; `stopped`: the test ends the process itself.
    """
    channel = await ChannelStandIn().start()
    for invoker in invokers:
        await invoker.start()
    hosts = [(f"s-{n}", one.port, "up") for n, one in enumerate(invokers)]
    config = configuration(
        channel=f"127.0.0.1:{channel.port}",
        known={"cursor": 1, "cmds": [entry(1, *hosts, whole=True)]},
        limits={"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets},
        **change,
    )
    with tempfile.TemporaryDirectory() as folder:
        path, log = Path(folder) / "config.json", Path(folder) / "log"
        path.write_text(json.dumps(config))
        with log.open("w") as stderr:
            process = controller_process(path, stderr=stderr)
        tasks = []
        try:
            await until(lambda: "listening" in log.read_text() and channel.writers, 20.0)
            await asyncio.sleep(0.2)
            world = Platform(process, log, list(invokers), channel, memory_mb)
            tasks = [asyncio.create_task(world.watch_memory())]
            if usual:
                tasks.append(asyncio.create_task(world.ask_as_usual_client()))
                await until(lambda: world.codes, 5.0)
            yield world
            print(f"highest memory: {world.highest_mb:.1f} MB of {memory_mb}, codes {Counter(world.codes)}")
            await world.check(stopped)
        finally:
            for task in tasks:
                task.cancel()
            process.kill()
            process.wait()
            channel.close()
            for invoker in invokers:
                invoker.close()
