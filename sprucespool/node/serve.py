"""One controller process on the platform, from its configuration to its end."""

from __future__ import annotations

import asyncio
import errno
import gc
import json
import os
import signal
import sys
import time
from collections.abc import Callable
from typing import TypeVar

from sprucespool import interface as it
from sprucespool.node.channel import Channel
from sprucespool.transport.clock import AnchoredClock
from sprucespool.node.gateway_server import GatewayServer
from sprucespool.node.logs import Log
from sprucespool.relay.configuration import Configuration, ConfigurationError, read
from sprucespool.relay.feed import EntryError
from sprucespool.transport.errors import PASSING_ERRORS, PASSING_PAUSE

# Times in milliseconds. After SIGTERM clients still come for a while. The platform kills no sooner than the longest
# deadline of a request, counted as so much at the most, and a while more; what is owed is answered well before.
STILL_COMING = 700.0
LONGEST_DEADLINE, KILL_AFTER, BEFORE_KILL = 3_000.0, 700.0, 400.0
# The end comes when nothing has come, or was left to be written, for so long.
QUIET = 150.0
FINAL_ANSWERS = 100.0
POLL = 0.01
# How long an address or a descriptor that can't be had at the start is waited for, in seconds.
START_PATIENCE = 8.0
# Pauses, in seconds, between readings of a new configuration that could not be read.
READING_PAUSES = (0.05, 0.1, 0.2, 0.4, 0.8)
Result = TypeVar("Result")


def _plan(path: str) -> Configuration:
    with open(path, "rb") as file:
        return read(file.read())


def answers_due(deployment: it.Deployment) -> float:
    """How long after SIGTERM all that is owed has to be answered."""
    longest = min(LONGEST_DEADLINE, max(group.route_timeout for group in deployment.groups))
    return max(STILL_COMING + FINAL_ANSWERS, longest + KILL_AFTER - BEFORE_KILL)


class Node:
    """The parts of one controller and their life."""

    def __init__(self, path: str, plan: Configuration, log: Log, clock: AnchoredClock | None = None):
        self.path, self.plan, self.log = path, plan, log
        self.clock = clock or AnchoredClock()
        self.loop = asyncio.get_running_loop()
        self.server = GatewayServer(plan, log, self.clock)
        self.channel: Channel | None = None
        self.reading: asyncio.TimerHandle | None = None

    async def start(self) -> int:
        """Gives the port. Raises OSError where the address can't be had, EntryError for a list that can't be used."""
        self.server.start()
        port = await self.server.listener.start(self.plan.host, self.plan.port)
        self.channel = Channel(
            self.plan.channel_host,
            self.plan.channel_port,
            self.server.roster,
            self.server.apply_roster,
            self.server.discovery_heard,
            self.log,
            self.plan.seed,
            self.clock,
        )
        self.server.unheard_for = self.channel.unheard_for
        return port

    def reread(self, tries: int = 0) -> None:
        """The configuration was replaced: the channel moves, all else goes on. A file that can't be used is refused."""
        if self.reading is not None:
            self.reading.cancel()
            self.reading = None
        try:
            plan = _plan(self.path)
        except (OSError, ConfigurationError) as problem:
            if isinstance(problem, OSError) and tries < len(READING_PAUSES):
                self.reading = self.loop.call_later(READING_PAUSES[tries], self.reread, tries + 1)
                return
            return self.log.error("new configuration refused", path=self.path, problem=problem)
        self.log.info("configuration read again", channel=f"{plan.channel_host}:{plan.channel_port}")
        assert self.channel is not None
        if (plan.channel_host, plan.channel_port) != (self.channel.host, self.channel.port):
            self.channel.move(plan.channel_host, plan.channel_port)

    async def stop(self) -> int:
        """Go on while clients still come, answer what is owed; gives how many were failed for want of time."""
        due = self._now() + answers_due(self.plan.deployment)
        self.server.until = due - FINAL_ANSWERS
        await asyncio.sleep(STILL_COMING / 1000.0)
        self.server.ready = False
        self.server.listener.no_more()
        await self._until_quiet(due)
        left = self.server.fail_the_rest()
        await self._until_quiet(min(due + FINAL_ANSWERS, self._now() + QUIET))
        self.close()
        await asyncio.sleep(0.05)
        return left

    def _now(self) -> float:
        return self.loop.time() * 1000.0

    async def _until_quiet(self, until: float):
        """Nothing owed, nothing on its way in or out, for a while; at the longest until the time given."""
        front = self.server.listener
        quiet_since = self._now()
        while self._now() < until and self._now() - quiet_since < QUIET:
            await asyncio.sleep(POLL)
            front.acceptor.accept_waiting()
            if self.server.calls or front.acceptor.busy or front.half_received or front.unwritten:
                quiet_since = self._now()

    def close(self) -> None:
        if self.reading is not None:
            self.reading.cancel()
        if self.channel is not None:
            self.channel.close()
        self.server.close()


class StartPatience:
    """How long a start goes on trying against a machine that lacks something for a moment."""

    def __init__(self) -> None:
        self._until = time.monotonic() + START_PATIENCE

    def allows(self, problem: OSError) -> bool:
        """Whether it is worth another try."""
        passing = problem.errno in PASSING_ERRORS or problem.errno == errno.EADDRINUSE
        return passing and time.monotonic() <= self._until


async def start_with_retries(node: Node, early: list[int]) -> int:
    """Start; what fails for want of something on this machine is tried again for a while."""
    patience = StartPatience()
    while True:
        try:
            return await node.start()
        except OSError as problem:
            if not patience.allows(problem) or signal.SIGTERM in early:
                raise
        await asyncio.sleep(PASSING_PAUSE)


async def _serve(path: str, plan: Configuration, log: Log, early: list[int]) -> int:
    loop = asyncio.get_running_loop()
    ending = asyncio.Event()
    node = Node(path, plan, log)
    try:
        port = await start_with_retries(node, early)
    except EntryError as problem:
        print(f"RELAY_CONFIG {path}: known: {problem}", file=sys.stderr)
        node.close()
        return 2
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
        invokers=len(node.server.roster.places),
        memory_mb=plan.memory_mb,
        sockets=plan.sockets,
    )
    # What stands after the start lives as long as the process: the collector need not look through it again.
    gc.collect()
    gc.freeze()
    gc.set_threshold(20_000, 20, 100)
    await ending.wait()
    log.info("stopping", owed=len(node.server.calls))
    left = await node.stop()
    log.info(
        "stopped",
        failed_at_the_end=left,
        turned_away=node.server.turned_away,
        accepted=node.server.listener.accepted,
        cut=node.server.listener.bad,
        evicted=node.server.listener.evicted,
        channel=node.channel and node.channel.connected,
        counts=json.dumps(node.server.gateway.counts.as_dict()),
    )
    return 0


def _patiently(call: Callable[[], Result]) -> Result:
    """The call's result; what fails for want of something on this machine is tried again for a while."""
    patience = StartPatience()
    while True:
        try:
            return call()
        except OSError as problem:
            if not patience.allows(problem):
                raise
        time.sleep(PASSING_PAUSE)


def serve(early: list[int]) -> int:
    """Run one controller until it is told to end; gives the exit status. `early` holds signals that came before."""
    path = os.environ.get("RELAY_CONFIG", "")
    if not path:
        print("expected RELAY_CONFIG to name the configuration file", file=sys.stderr)
        return 2
    try:
        plan = _patiently(lambda: _plan(path))
    except OSError as problem:
        print(f"RELAY_CONFIG {path}: {problem.strerror or problem}", file=sys.stderr)
        return 2
    except ConfigurationError as problem:
        print(f"RELAY_CONFIG {path}: {problem}", file=sys.stderr)
        return 2
    with asyncio.Runner(loop_factory=lambda: _patiently(asyncio.new_event_loop)) as runner:
        return runner.run(_serve(path, plan, Log(os.environ.get("SPRUCESPOOL_LOG", "info")), early))
