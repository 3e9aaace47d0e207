"""Runs one controller process, from its settings to its shutdown."""

from __future__ import annotations

import asyncio
import gc
import json
import signal
import sys
import time
from collections.abc import Callable
from typing import Any

from sprucespool import interface as it
from sprucespool.daemon.gateway_server import GatewayServer
from sprucespool.daemon.failover import FailoverCarrier
from sprucespool.daemon.fleet import FleetCarrier
from sprucespool.daemon.group import GroupCarrier
from sprucespool.daemon.logs import open_log
from sprucespool.daemon.roster import RosterFile, RosterWatch
from sprucespool.failover import Failover, Steer
from sprucespool.fleet import Fleet
from sprucespool.gateway import Decider, Gateway, Recorder
from sprucespool.gateway import messages as ms
from sprucespool.grpc.status import Limits
from sprucespool.membership import Event, Group
from sprucespool.policy import Controller
from sprucespool.settings.controller import ControllerPlan, loopback
from sprucespool.transport.connection_budget import TARGET_DESCRIPTORS_SHARE
from sprucespool.transport.listener import Listener, Server
from sprucespool.transport.process_limits import descriptor_limit


def max_client_connections() -> int:
    """How many connections of clients may stay within the limit on this process's descriptors."""
    return max(1, int(TARGET_DESCRIPTORS_SHARE * descriptor_limit()))


class LoadMeter:
    """Measures load and capacity of this process since the last call, in the order of `group.LOAD_METRICS`."""

    def __init__(self, server: GatewayServer):
        self.server = server
        self.previous = server.now(), 0, 0, time.process_time()

    def values(self) -> tuple[float, ...]:
        server, counts = self.server, self.server.gateway.counts
        since, taken, shed, cpu = self.previous
        now, shed_now = server.now(), counts.shed + server.turned_away
        self.previous = now, counts.taken, shed_now, time.process_time()
        duration_seconds = max(1.0, now - since) / 1000.0
        return (
            round((counts.taken - taken) / duration_seconds, 1),
            round((shed_now - shed) / duration_seconds, 1),
            float(len(server.clients)),
            float(server.plan.bounds.calls),
            round(server.batch.lag, 1),
            round((self.previous[3] - cpu) / duration_seconds, 3),
        )


class Daemon:
    """Connects the parts of a controller. Call `start`, then `stop`."""

    def __init__(
        self,
        plan: ControllerPlan,
        log: Any,
        decider: Callable[[it.Deployment, int], Decider] = Controller,
        library: type[Gateway] = Gateway,
        member: type[Group] = Group,
        view: type[Fleet] = Fleet,
        failover: type[Failover] = Failover,
        steer: type[Steer] = Steer,
    ):
        self.plan, self.log = plan, log
        self.record_file = open(plan.record, "wb") if plan.record else None
        self.server = GatewayServer(plan, log, self.record_file, decider, library)
        self.group: GroupCarrier | None = None
        if plan.group is not None:
            self.group = GroupCarrier(plan, plan.group, self.server.add_input, log, self.server.own_metadata, member)
            self.group.on_event.append(self._member_event)
            self.group.measure_load = LoadMeter(self.server).values
        self.fleet: FleetCarrier | None = None
        if plan.fleet_view is not None and plan.group is not None and self.group is not None:
            self.fleet = self.server.fleet = FleetCarrier(
                plan, plan.fleet_view, plan.group, self.group, self._add_input, log, view
            )
            self.fleet.probe = self.server.request_readiness
        self.failover: FailoverCarrier | None = None
        if plan.failover is not None and self.group is not None and self.fleet is not None:
            self.failover = self.server.failover = FailoverCarrier(
                plan, plan.failover, self.group, self.fleet, log, failover, steer
            )
        bounds = plan.bounds
        self.listener = Listener(
            {
                **self.server.methods(),
                **(self.group.methods() if self.group else {}),
                **(self.fleet.methods() if self.fleet else {}),
                **(self.failover.methods() if self.failover else {}),
            },
            Limits(streams=bounds.streams, header_list=bounds.headers, message=bounds.message, unsent=bounds.unsent),
            Server(
                connections=min(bounds.connections, max_client_connections()),
                descriptors=descriptor_limit(),
                handshake=bounds.handshake,
                idle_close=bounds.idle_close,
                keepalive=bounds.keepalive,
                keepalive_timeout=bounds.keepalive_timeout,
                unread=bounds.unread,
                half_received=bounds.half_received,
                buffers=bounds.buffers,
            ),
        )
        # The listener takes from the server how long an accepted connection may have waited for the event loop.
        self.listener.acceptor.possible_wait_ms = self.server.batch.pace.possible_wait_ms
        self.server.descriptors = self.listener.descriptors
        on_roster = self._roster_input
        self.roster: RosterFile | RosterWatch
        if plan.roster.watch is not None:
            self.roster = RosterWatch(
                plan.roster.watch,
                plan.roster.asked,
                on_roster,
                log,
                plan.seed * 31 + plan.controller.number,
                dict(self.server.own_metadata),
                plan.source,
            )
            if self.fleet is not None:
                self.roster.on_lost = self.fleet.roster_lost
            self.server.fetch_roster = self.roster.fetch
        else:
            assert plan.roster.file is not None
            self.roster = RosterFile(plan.roster.file, on_roster, log)
        self.server.subscribe = self.roster.subscribe

    def _roster_input(self, item: ms.Input):
        if self.fleet is not None and isinstance(item, ms.Roster):
            # The shared view passes on to the module what the whole group knows of the roster.
            return self.fleet.roster(item, self.roster.source or self.plan.roster.name)
        self._add_input(item)

    def _add_input(self, item: ms.Input):
        self.server.ready = self.server.ready or isinstance(item, ms.Roster)
        self.server.add_input(item)
        if self.server.exchange is not None and isinstance(item, ms.Roster):
            self.server.exchange.roster(item)

    def _member_event(self, event: Event):
        if self.server.exchange is not None and event.row is not None and event.kind in ("joined", "restarted"):
            self.server.exchange.member_joined(event.row.address)

    async def start(self) -> int:
        """Returns the port. Raises OSError if the address is not available."""
        host, listen_port = loopback(self.plan.listen)
        port = await self.listener.start(host, listen_port)
        self.server.add_input(ms.Roster(it.News.RESTORED.value))
        self.roster.start()
        if self.server.exchange is not None:
            self.server.exchange.start()
        if self.group is not None:
            self.group.start(f"{host}:{port}")
        if self.fleet is not None:
            self.fleet.start()
        if self.failover is not None:
            self.failover.start()
        return port

    async def stop(self, timeout: float) -> int:
        """Accept no new calls and answer the open ones. Returns how many were failed because the time was up."""
        self.server.stopping = True
        # Group messages are accepted to the end: other members must not take a draining controller for a dead one.
        self.listener.go_away(frozenset(self.group.methods()) if self.group is not None else frozenset())
        if self.group is not None:
            self.group.draining()
        left = await self.server.stop(timeout)
        if self.group is not None:
            await self.group.leave()
        await self.listener.drain(500.0)
        self.close()
        return left

    def close(self) -> None:
        self.roster.stop()
        if self.failover is not None:
            self.failover.stop()
        if self.fleet is not None:
            self.fleet.stop()
        if self.group is not None:
            self.group.stop()
        self.server.close()
        self.listener.close()
        if isinstance(self.server.input_sink, Recorder):
            self.server.input_sink.close()


async def _serve(
    plan: ControllerPlan,
    decider: Callable[[it.Deployment, int], Decider],
    library: type[Gateway],
    member: type[Group],
    view: type[Fleet],
    failover: type[Failover],
    steer: type[Steer],
) -> int:
    loop = asyncio.get_running_loop()
    log = open_log(plan.log.level, plan.log.file, controller=plan.controller.number)
    daemon = Daemon(plan, log, decider, library, member, view, failover, steer)
    try:
        port = await daemon.start()
    except OSError as error:
        print(f"{plan.listen}: can't listen: {error.strerror or error}", file=sys.stderr)
        daemon.close()
        return 2
    shutdown, immediate = asyncio.Event(), asyncio.Event()

    def on_signal():
        (immediate if shutdown.is_set() else shutdown).set()

    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, on_signal)
    log.info("listening", address=f"{plan.listen.rpartition(':')[0]}:{port}")
    print(f"listening on {plan.listen.rpartition(':')[0]}:{port}", flush=True)
    # Objects that exist after the start live as long as the process: the garbage collector need not scan them again.
    gc.freeze()
    gc.set_threshold(50_000, 20, 100)
    await shutdown.wait()
    log.info("stopping", owed=daemon.server.gateway.owed)
    stopping = loop.create_task(daemon.stop(plan.stop_within))
    interrupt = loop.create_task(immediate.wait())
    await asyncio.wait({stopping, interrupt}, return_when=asyncio.FIRST_COMPLETED)
    left = stopping.result() if stopping.done() else len(daemon.server.clients)
    interrupt.cancel()
    stopping.cancel()
    daemon.close()
    counts = {
        "controller": plan.controller.number,
        "failed_at_the_end": left,
        "turned_away": daemon.server.turned_away,
        **daemon.server.gateway.counts.as_dict(),
    }
    log.info("stopped", **counts)
    print(f"stopped {json.dumps(counts)}", flush=True)
    return 0


def serve(
    plan: ControllerPlan,
    decider: Callable[[it.Deployment, int], Decider] = Controller,
    library: type[Gateway] = Gateway,
    member: type[Group] = Group,
    view: type[Fleet] = Fleet,
    failover: type[Failover] = Failover,
    steer: type[Steer] = Steer,
    loop: Callable[[], asyncio.AbstractEventLoop] | None = None,
) -> int:
    """Run one controller until a signal stops it. Returns the exit status."""
    with asyncio.Runner(loop_factory=loop) as runner:
        return runner.run(_serve(plan, decider, library, member, view, failover, steer))
