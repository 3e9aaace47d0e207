"""Periodically reads the views of running controllers, directly at their own addresses rather than through relays."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import msgspec

from sprucespool.grpc.events import Message
from sprucespool.grpc.status import Limits
from sprucespool.judge import failover as failover_seen
from sprucespool.judge import fleet as fleet_seen
from sprucespool.judge import group as seen
from sprucespool.standin.trace import now_ms
from sprucespool.transport.plan import PoolLimits
from sprucespool.transport.pool import CallEvent, Pool
from sprucespool.wire import names
from sprucespool.wire import platform_pb2 as platform


class _Line(msgspec.Struct):
    name: str
    start: int
    state: str
    incarnation: int
    version: int


class _View(msgspec.Struct):
    me: str
    start: int
    digest: str
    part: float
    members: list[_Line]
    gone: list[_Line]


class _Process(msgspec.Struct):
    address: str
    boot: str
    status: str
    current: bool


class _Fleet(msgspec.Struct):
    digest: str
    invokers: list[_Process]


class _Zone(msgspec.Struct):
    zone: str
    cap: float
    free: dict[str, float]
    bound: dict[str, float]


class _Zones(msgspec.Struct):
    start: int
    epoch: tuple[int, int]
    why: str
    zones: list[_Zone]


class Watch:
    """`noted` is the history for the judge, `newest` the last view of each process, `quiet` the processes to skip."""

    def __init__(self, every: float = 250.0):
        self.interval_ms = every
        self.loop = asyncio.get_running_loop()
        self.pools: dict[str, Pool] = {}
        self.newest: dict[str, seen.SeenView] = {}
        self.noted: list[seen.Happened] = []
        self.quiet: set[str] = set()
        self.timer: asyncio.TimerHandle | None = None
        # Views of the invokers, if the controllers keep them, for the judge of the fleet; read in every second round.
        self.fleets: list[fleet_seen.FleetView] = []
        self.newest_fleet: dict[str, fleet_seen.FleetView] = {}
        self.watch_fleet, self.rounds = False, 0
        self.watch_plans = False
        self.plans: list[failover_seen.PlanView] = []
        self.newest_plan: dict[str, failover_seen.PlanView] = {}

    def note(self, event: seen.Happened) -> None:
        self.noted.append(event)

    def add(self, name: str, address: str) -> None:
        self.drop(name)
        host, _, port = address.rpartition(":")
        self.pools[name] = Pool(
            host,
            int(port),
            Limits(message=2**22),
            PoolLimits(connections=1, connect_timeout=1_000.0, initial_backoff=20.0, max_backoff=200.0),
            1,
        )

    def drop(self, name: str) -> None:
        self.newest.pop(name, None)
        self.newest_fleet.pop(name, None)
        self.newest_plan.pop(name, None)
        if name in self.pools:
            self.pools.pop(name).close()

    def start(self) -> None:
        self.timer = self.loop.call_later(self.interval_ms / 1000.0, self.start)
        self.rounds += 1
        for name, pool in self.pools.items():
            if name not in self.quiet:
                self._ask(name, pool, names.MEMBERSHIP_VIEW, self._seen)
                if self.watch_fleet and self.rounds % 2 == 0:
                    self._ask(name, pool, names.MEMBERSHIP_FLEET, self._seen_fleet)
                if self.watch_plans:
                    self._ask(name, pool, names.MEMBERSHIP_ZONES, self._seen_plan)

    def _ask(self, name: str, pool: Pool, path: str, on_view: Callable[[float, str, bytes], None]):
        asked_at = now_ms()

        def on_event(event: CallEvent):
            if isinstance(event, Message):
                call.consumed(event.size)
                if self.pools.get(name) is pool:
                    on_view(asked_at, name, event.data)

        call = pool.call(path, {}, 2_000.0, platform.ViewRequest().SerializeToString(), on_event)
        self.loop.call_later(3.0, call.cancel)

    def _seen(self, asked_at: float, name: str, data: bytes):
        view = msgspec.json.decode(platform.ViewReply.FromString(data).view, type=_View)
        rows = [
            seen.SeenRow(line.name, line.start, line.state, line.incarnation, line.version)
            for line in (*view.members, *view.gone)
        ]
        # The time of the request: a reply that a slow machine delays must not make the view look newer than it is.
        view_seen = self.newest[name] = seen.SeenView(asked_at, name, view.start, view.digest, view.part, rows)
        self.noted.append(view_seen)

    def _seen_fleet(self, asked_at: float, name: str, data: bytes):
        shown = msgspec.json.decode(platform.ViewReply.FromString(data).view, type=_Fleet)
        fleet_view = self.newest_fleet[name] = fleet_seen.FleetView(
            asked_at,
            name,
            shown.digest,
            [(line.address, line.boot, line.status) for line in shown.invokers if line.current],
        )
        self.fleets.append(fleet_view)

    def _seen_plan(self, asked_at: float, name: str, data: bytes):
        shown = msgspec.json.decode(platform.ViewReply.FromString(data).view, type=_Zones)
        plan = msgspec.json.encode([[line.free, line.bound, line.cap] for line in shown.zones] + [shown.why]).decode()
        plan_view = self.newest_plan[name] = failover_seen.PlanView(
            asked_at,
            name,
            shown.start,
            shown.epoch,
            plan,
            {line.zone: line.cap for line in shown.zones if line.cap >= 0} if shown.epoch != failover_seen.NONE else {},
        )
        self.plans.append(plan_view)

    def stop(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
        for pool in self.pools.values():
            pool.close()
