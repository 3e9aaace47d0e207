"""One controller process on the platform, from its configuration to its end."""

from __future__ import annotations

import asyncio
import gc
import json
import os
import signal
import sys

from sprucespool.node.channel import Channel
from sprucespool.node.door import Door
from sprucespool.node.logs import Log
from sprucespool.relay.configuration import Configuration, ConfigurationError, read

# After SIGTERM clients still come for a while; then what is owed is answered, well before the platform kills.
STILL_COMING, ANSWERED_BY = 700.0, 3_300.0


def _plan(path: str) -> Configuration:
    with open(path, "rb") as file:
        return read(file.read())


class Node:
    def __init__(self, path: str, plan: Configuration, log: Log):
        self.path, self.plan, self.log = path, plan, log
        self.loop = asyncio.get_running_loop()
        self.door = Door(plan, log)
        self.channel: Channel | None = None

    async def start(self) -> int:
        """Gives the port. Raises OSError where the address can't be had."""
        self.door.start()
        self.channel = Channel(
            self.plan.channel_host,
            self.plan.channel_port,
            self.door.roster,
            self.door.rostered,
            self.log,
            self.plan.seed,
        )
        return await self.door.front.start(self.plan.host, self.plan.port)

    def reread(self) -> None:
        """The configuration was replaced: the channel moves, all else goes on. A file that can't be used is refused."""
        try:
            plan = _plan(self.path)
        except (OSError, ConfigurationError) as problem:
            return self.log.error("new configuration refused", path=self.path, problem=problem)
        self.log.info("configuration read again", channel=f"{plan.channel_host}:{plan.channel_port}")
        assert self.channel is not None
        if (plan.channel_host, plan.channel_port) != (self.channel.host, self.channel.port):
            self.channel.move(plan.channel_host, plan.channel_port)

    async def stop(self) -> int:
        """Go on while clients still come, answer what is owed; gives how many were failed for want of time."""
        began = self.loop.time() * 1000.0
        self.door.until = began + ANSWERED_BY - 100.0
        await asyncio.sleep(STILL_COMING / 1000.0)
        self.door.ready = False
        self.door.front.no_more()
        while self.door.clients and self.loop.time() * 1000.0 < began + ANSWERED_BY:
            await asyncio.sleep(0.01)
        left = self.door.fail_the_rest()
        await asyncio.sleep(0.05)
        self.close()
        await asyncio.sleep(0.05)
        return left

    def close(self) -> None:
        if self.channel is not None:
            self.channel.close()
        self.door.close()


async def _serve(path: str, plan: Configuration, log: Log, early: list[int]) -> int:
    loop = asyncio.get_running_loop()
    ending = asyncio.Event()
    node = Node(path, plan, log)
    try:
        port = await node.start()
    except OSError as problem:
        print(f"listen {plan.host}:{plan.port}: {problem.strerror or problem}", file=sys.stderr)
        node.close()
        return 2
    loop.add_signal_handler(signal.SIGHUP, node.reread)
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, ending.set)
    if signal.SIGTERM in early:
        ending.set()
    if signal.SIGHUP in early:
        node.reread()
    log.info(
        "listening",
        address=f"{plan.host}:{port}",
        name=plan.name,
        invokers=len(node.door.roster.places),
        memory_mb=plan.memory_mb,
        sockets=plan.sockets,
    )
    # What stands after the start lives as long as the process: the collector need not look through it again.
    gc.collect()
    gc.freeze()
    gc.set_threshold(20_000, 20, 100)
    await ending.wait()
    log.info("stopping", owed=len(node.door.clients))
    left = await node.stop()
    log.info(
        "stopped",
        failed_at_the_end=left,
        turned_away=node.door.turned_away,
        accepted=node.door.front.accepted,
        cut=node.door.front.bad,
        evicted=node.door.front.evicted,
        channel=node.channel and node.channel.connected,
        counts=json.dumps(node.door.gateway.counts.as_dict()),
    )
    return 0


def serve(early: list[int]) -> int:
    """Run one controller until it is told to end; gives the exit status. `early` holds signals that came before."""
    path = os.environ.get("RELAY_CONFIG", "")
    if not path:
        print("expected RELAY_CONFIG to name the configuration file", file=sys.stderr)
        return 2
    try:
        plan = _plan(path)
    except OSError as problem:
        print(f"RELAY_CONFIG {path}: {problem.strerror or problem}", file=sys.stderr)
        return 2
    except ConfigurationError as problem:
        print(f"RELAY_CONFIG {path}: {problem}", file=sys.stderr)
        return 2
    return asyncio.run(_serve(path, plan, Log(os.environ.get("SPRUCESPOOL_LOG", "info")), early))
