"""Runs one controller process on the platform: configuration, start, signals and shutdown."""

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
from sprucespool.transport.errors import TRANSIENT_ERRORS, TRANSIENT_RETRY_SECONDS

# Clients go on to send requests for this long after SIGTERM.
STILL_ACCEPTING_MS = 700.0
# The platform kills the process no sooner than the longest deadline of a request, counted as at most MAX_DEADLINE_MS,
# plus KILL_GRACE_MS. All calls are answered KILL_MARGIN_MS before that.
MAX_DEADLINE_MS, KILL_GRACE_MS, KILL_MARGIN_MS = 3_000.0, 700.0, 400.0
# The process ends when nothing was received, and nothing was left to write, for this long.
QUIET_MS = 150.0
FINAL_ANSWERS_MS = 100.0
POLL_INTERVAL_SECONDS = 0.01
# How long the start is retried while an address or a file descriptor is not available.
START_TIMEOUT_SECONDS = 8.0
# Pauses between attempts to read a new configuration file that could not be read.
READ_RETRY_PAUSES_SECONDS = (0.05, 0.1, 0.2, 0.4, 0.8)
Result = TypeVar("Result")


def _read_configuration(path: str) -> Configuration:
    with open(path, "rb") as file:
        return read(file.read())


def answers_due(deployment: it.Deployment) -> float:
    """The time (ms) after SIGTERM by which all open calls must be answered."""
    longest = min(MAX_DEADLINE_MS, max(group.route_timeout for group in deployment.groups))
    return max(STILL_ACCEPTING_MS + FINAL_ANSWERS_MS, longest + KILL_GRACE_MS - KILL_MARGIN_MS)


class Node:
    """One controller: starts, reconfigures and stops its gateway server and command channel."""

    def __init__(self, path: str, config: Configuration, log: Log, clock: AnchoredClock | None = None):
        self.path, self.config, self.log = path, config, log
        self.clock = clock or AnchoredClock()
        self.loop = asyncio.get_running_loop()
        self.server = GatewayServer(config, log, self.clock)
        self.channel: Channel | None = None
        self.read_timer: asyncio.TimerHandle | None = None

    async def start(self) -> int:
        """Returns the port. Raises OSError if the address is not available, EntryError if the known list is invalid."""
        self.server.start()
        port = await self.server.listener.start(self.config.host, self.config.port)
        self.channel = Channel(
            self.config.channel_host,
            self.config.channel_port,
            self.server.roster,
            self.server.apply_roster,
            self.server.discovery_received,
            self.log,
            self.config.seed,
            self.clock,
            self.config.memory_mb,
        )
        self.server.discovery_silence_ms = self.channel.silence_ms
        return port

    def reread(self, attempt: int = 0) -> None:
        """Read a replaced configuration: only the channel's address changes. An invalid file is refused."""
        if self.read_timer is not None:
            self.read_timer.cancel()
            self.read_timer = None
        try:
            config = _read_configuration(self.path)
        except (OSError, ConfigurationError) as error:
            if isinstance(error, OSError) and attempt < len(READ_RETRY_PAUSES_SECONDS):
                self.read_timer = self.loop.call_later(READ_RETRY_PAUSES_SECONDS[attempt], self.reread, attempt + 1)
                return
            return self.log.error("new configuration refused", path=self.path, problem=error)
        self.log.info("configuration read again", channel=f"{config.channel_host}:{config.channel_port}")
        assert self.channel is not None
        if (config.channel_host, config.channel_port) != (self.channel.host, self.channel.port):
            self.channel.move(config.channel_host, config.channel_port)

    async def stop(self) -> int:
        """Accept requests for a while, then answer the open calls; returns how many were failed for lack of time."""
        due_at = self._now() + answers_due(self.config.deployment)
        self.server.answers_due_at = due_at - FINAL_ANSWERS_MS
        await asyncio.sleep(STILL_ACCEPTING_MS / 1000.0)
        self.server.ready = False
        self.server.listener.announce_stop()
        await self._wait_until_quiet(due_at)
        failed = self.server.fail_the_rest()
        await self._wait_until_quiet(min(due_at + FINAL_ANSWERS_MS, self._now() + QUIET_MS))
        self.close()
        await asyncio.sleep(0.05)
        return failed

    def _now(self) -> float:
        return self.loop.time() * 1000.0

    async def _wait_until_quiet(self, latest: float):
        """Wait until no call is open and nothing is being received or written for QUIET_MS, or until `latest`."""
        listener = self.server.listener
        quiet_since = self._now()
        while self._now() < latest and self._now() - quiet_since < QUIET_MS:
            await asyncio.sleep(POLL_INTERVAL_SECONDS)
            listener.acceptor.accept_waiting()
            if self.server.calls or listener.acceptor.busy or listener.half_received or listener.unwritten:
                quiet_since = self._now()

    def close(self) -> None:
        if self.read_timer is not None:
            self.read_timer.cancel()
        if self.channel is not None:
            self.channel.close()
        self.server.close()


class StartRetries:
    """Decides whether a start that failed for a temporary lack of resources on this machine is retried."""

    def __init__(self) -> None:
        self._give_up_at = time.monotonic() + START_TIMEOUT_SECONDS

    def should_retry(self, error: OSError) -> bool:
        transient = error.errno in TRANSIENT_ERRORS or error.errno == errno.EADDRINUSE
        return transient and time.monotonic() <= self._give_up_at


async def start_with_retries(node: Node, early_signals: list[int]) -> int:
    """Start the node; errors from a temporary lack of resources on this machine are retried for a while."""
    retries = StartRetries()
    while True:
        try:
            return await node.start()
        except OSError as error:
            if not retries.should_retry(error) or signal.SIGTERM in early_signals:
                raise
        await asyncio.sleep(TRANSIENT_RETRY_SECONDS)


async def _serve(path: str, config: Configuration, log: Log, early_signals: list[int]) -> int:
    loop = asyncio.get_running_loop()
    stop_requested = asyncio.Event()
    node = Node(path, config, log)
    try:
        port = await start_with_retries(node, early_signals)
    except EntryError as error:
        print(f"RELAY_CONFIG {path}: known: {error}", file=sys.stderr)
        node.close()
        return 2
    except OSError as error:
        print(f"listen {config.host}:{config.port}: {error.strerror or error}", file=sys.stderr)
        node.close()
        return 2
    loop.add_signal_handler(signal.SIGHUP, node.reread)
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop_requested.set)
    if signal.SIGTERM in early_signals:
        stop_requested.set()
    if signal.SIGHUP in early_signals:
        node.reread()
    log.info(
        "listening",
        address=f"{config.host}:{port}",
        name=config.name,
        invokers=len(node.server.roster.places),
        memory_mb=config.memory_mb,
        sockets=config.sockets,
    )
    # Objects created by the start live as long as the process: the garbage collector need not scan them again.
    gc.collect()
    gc.freeze()
    gc.set_threshold(20_000, 20, 100)
    await stop_requested.wait()
    log.info("stopping", owed=len(node.server.calls))
    failed = await node.stop()
    log.info(
        "stopped",
        failed_at_the_end=failed,
        turned_away=node.server.turned_away,
        accepted=node.server.listener.accepted,
        cut=node.server.listener.cut,
        evicted=node.server.listener.connections.evicted,
        channel=node.channel and node.channel.connections,
        counts=json.dumps(node.server.gateway.counts.as_dict()),
    )
    return 0


def _with_retries(call: Callable[[], Result]) -> Result:
    """Returns the call's result; errors from a temporary lack of resources on this machine are retried for a while."""
    retries = StartRetries()
    while True:
        try:
            return call()
        except OSError as error:
            if not retries.should_retry(error):
                raise
        time.sleep(TRANSIENT_RETRY_SECONDS)


def serve(early_signals: list[int]) -> int:
    """Run one controller until it is asked to stop; returns the exit status.

    `early_signals` holds the signals received before the event loop runs.
    """
    path = os.environ.get("RELAY_CONFIG", "")
    if not path:
        print("expected RELAY_CONFIG to name the configuration file", file=sys.stderr)
        return 2
    try:
        config = _with_retries(lambda: _read_configuration(path))
    except OSError as error:
        print(f"RELAY_CONFIG {path}: {error.strerror or error}", file=sys.stderr)
        return 2
    except ConfigurationError as error:
        print(f"RELAY_CONFIG {path}: {error}", file=sys.stderr)
        return 2
    with asyncio.Runner(loop_factory=lambda: _with_retries(asyncio.new_event_loop)) as runner:
        return runner.run(_serve(path, config, Log(os.environ.get("SPRUCESPOOL_LOG", "info")), early_signals))
