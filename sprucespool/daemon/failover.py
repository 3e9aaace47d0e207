"""Plans of zones on sockets: what the group's messages carry of them, where each inference may go, the view of it."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Iterable
from typing import Any

import msgspec

from sprucespool import interface as it
from sprucespool.daemon.fleet import FleetCarrier
from sprucespool.daemon.group import FIGURES, GroupCarrier
from sprucespool.daemon.request import parsed
from sprucespool.daemon.snapshots import SnapshotFile
from sprucespool.failover import (
    Ballot,
    Codec,
    Failover,
    Gauge,
    GaugeLimits,
    Keep,
    Loaded,
    Pass,
    PlannerLimits,
    Reports,
    Said,
    SaidError,
    Spread,
    Standing,
    Steer,
    Tell,
    Topology,
    Ways,
    ZoneState,
    ballot,
    kept,
)
from sprucespool.gateway import messages as ms
from sprucespool.grpc.status import Status
from sprucespool.membership import Phase
from sprucespool.settings.controller import ControllerPlan, FailoverPlan, loopback
from sprucespool.transport.listener import Method, ServerCall, unary
from sprucespool.wire import names
from sprucespool.wire import platform_pb2 as platform

# What a member tells beyond `group.FIGURES`: cores its inferences ask, free and bound to the region; cores that home
# did for it, and the parts of what it sent home that came back, and in SLO time.
MORE_FIGURES = ("free_cores", "bound_cores", "home_cores", "home_well", "home_soon")
LOOK_EVERY = 0.25
# Whether a command is in a plan that most voters have is looked at so often (seconds), for so long (ms).
CONFIRM_EVERY, CONFIRM_WITHIN = 0.05, 8_000.0
# All members and invokers are gone through so often, ms: among hundreds that is what costs. Half as often where others
# plan.
STATES_EVERY = 500.0
# Rows of ways are told and weighed so often, ms.
WAYS_EVERY = 5_000.0
MOST_BALLOT = 1024
LOUD = {"alone", "refused"}


class ZoneShown(msgspec.Struct):
    """Figures in cores. `free`, `bound`: where the traffic that enters here goes, by zone of invokers."""

    zone: str
    region: str
    now: float
    warm: float
    asked: float
    bound_asked: float
    trust: float
    cap: float
    drained: bool
    free: dict[str, float]
    bound: dict[str, float]
    # Cores by cell of its invokers, where the roster tells cells.
    cells: dict[str, float] = {}


class ZonesShown(msgspec.Struct):
    """`epoch` is (0, 0) where no plan is in force: then `why` says what is gone by. `digest` is equal where two follow
    the same. `follows`: the epoch that each member told last; `wanted`: zones that operators want empty."""

    group: str
    me: str
    start: int
    zone: str
    digest: str
    epoch: tuple[int, int]
    why: str
    age_ms: float
    leader: str
    voters: list[str]
    changes: int
    wanted: list[str]
    left: list[str]
    follows: dict[str, tuple[int, int]]
    zones: list[ZoneShown]


class FailoverCarrier:
    """One controller's part, wired: the fleet's view and own traffic in, zones open to each inference out."""

    def __init__(
        self,
        plan: ControllerPlan,
        told: FailoverPlan,
        group: GroupCarrier,
        fleet: FleetCarrier,
        log: Any,
        kind: type[Failover] = Failover,
        steer: type[Steer] = Steer,
    ):
        self.plan, self.told, self.group, self.fleet, self.log = plan, told, group, fleet, log
        self.loop = asyncio.get_running_loop()
        assert plan.group is not None
        self.codec = Codec(plan.group.name, plan.group.mark)
        self.topology, self.zone = Topology.of(told.zones, told.distances), plan.controller.zone
        # The last ballot, where it could not be written yet.
        self.unkept: Ballot | None = None
        # Who cannot read its ballot gives no vote for a while: it may have given one.
        self.file = SnapshotFile(told.keep, log, MOST_BALLOT) if told.keep else None
        self.failover = kind(
            plan.group.member or f"controller-{plan.controller.number}",
            self.topology,
            tuple(voter.member for voter in told.voters),
            self._read(),
            plan.seed * 29 + plan.controller.number,
            planner_limits=PlannerLimits(own_most=told.own_most, far_most=told.far_most),
            replace_after=told.replace_after,
        )
        self.steer, self.meter = steer(self.zone, self.topology), kind.meter_kind(self.zone)
        self.spread = Spread(plan.seed * 37 + plan.controller.number)
        self.gauge = Gauge(self.topology, GaugeLimits(plan.fleet.cold_share, plan.fleet.warm_after, told.cores))
        self.reports, self.ways = Reports(), Ways(self.zone, self.topology)
        self.ways_at = self.states_at = 0.0
        self.groups = {group.name: group for group in plan.model_groups}
        self.bound = {tenant.name for tenant in plan.tenants if tenant.stay}
        # Forwards out: where and since when, of which model group.
        self.out: dict[int, tuple[str, float, str]] = {}
        self.follows: dict[str, tuple[int, int]] = {}
        self.timer: asyncio.TimerHandle | None = None
        self.stopped = False
        weigh, self.group.figures = group.weigh, (*FIGURES, *MORE_FIGURES)
        group.weigh = lambda: (*weigh(), *self.meter.figures(self.now()))
        group.ride_plan, group.on_plan = self._ride, self._heard

    def now(self) -> float:
        return self.loop.time() * 1000.0

    def start(self) -> None:
        """When the group and the view have begun."""
        self._tick()

    def _read(self) -> Ballot | None:
        data = self.file.read() if self.file is not None else None
        if self.file is None or data is None:
            return None
        try:
            return ballot(data)
        except SaidError as problem:
            self.file.refuse(str(problem))
            return None

    # Time

    def _tick(self):
        if self.stopped:
            return
        # Whatever goes wrong below, the next look comes: one that never looks again would go by an old plan unseen.
        self.timer = self.loop.call_later(LOOK_EVERY, self._tick)
        now = self.now()
        if now >= self.states_at:
            council = self.failover.council
            plans = council.votes or council.in_force(now) is None
            self.states_at = now + (STATES_EVERY if plans else 2 * STATES_EVERY)
            states = self.states()
            self.steer.serves = frozenset(zone for zone, state in states.items() if state.now > 0) or None
            if not states[self.zone].warm:
                self.meter.emptied()
            self.failover.know(now, states)
            self.failover.know_members(self._speakers())
        if self.unkept is not None and self.file is not None:
            self._keep(self.file, self.unkept)
        self._do(self.failover.tick(now))
        if self.failover.council.leads(now):
            self._pass(
                self.spread.lead(now, self.failover.council.renewal(now), [row.address for row in self.others()])
            )
        ways, news = self._measured(now), self.meter.news(now)
        if news is not None or ways:
            for row in self.others():
                if row.name in self.failover.council.voters:
                    self._send(
                        row.address, Said(self.failover.name, self.failover.epoch, figures=news or (), ways=ways)
                    )
        soon = (self.failover.due() - now) / 1000.0
        if soon < LOOK_EVERY:
            self.timer.cancel()
            self.timer = self.loop.call_later(max(0.01, soon), self._tick)

    def _measured(self, now: float) -> dict[str, float]:
        """Ways to be told now, if it is time; a voter brings its costs up to date by what it was told."""
        member = self.group.group
        while member is not None and member.round_trips:
            self.ways.answered(*member.round_trips.popleft())
        if now < self.ways_at:
            return {}
        self.ways_at = now + WAYS_EVERY
        self.reports.keep(row.name for row in self.others())
        if self.failover.council.votes and self.ways.weigh(row.name for row in self.others()):
            self.log.info(
                "failover",
                kind="ways",
                costs={f"{one} {other}": cost for (one, other), cost in sorted(self.topology.costs.items())},
            )
        return self.ways.row()

    def others(self) -> list[Any]:
        member = self.group.group
        return [row for row in member.live() if row.seat != member.me.seat] if member is not None else []

    def _speakers(self) -> dict[str, str]:
        """The zone of each member that serves and was heard to speak of plans: who has no such node would be a voter
        that never answers."""
        rows = [row for row in self.others() if row.name in self.follows and row.about.phase is Phase.SERVING]
        return {**{row.name: row.about.zone for row in rows}, self.failover.name: self.zone}

    def states(self) -> dict[str, ZoneState]:
        """What is known of the zones now."""
        now, fleet, member = self.now(), self.fleet.fleet, self.group.group
        standing = (
            []
            if fleet is None
            else [
                Standing(
                    place.zone,
                    place.size,
                    None if place.born is None else now - place.born,
                    bool(fleet.suspected.get(place.address)),
                    place.cell,
                )
                for place in fleet.reported.values()
                if place.status == it.Status.IN_SERVICE.value
            ]
        )
        loaded = [Loaded(self.zone, *self.meter.figures(now), at=now)]
        size = len(self.group.figures)
        for row in self.others() if member is not None else ():
            told, at = self.reports.of(now, row.name, row.figures[len(FIGURES) :] if len(row.figures) == size else ())
            if len(told) == len(MORE_FIGURES):
                free, bound, did, well, soon = told
                loaded.append(Loaded(row.about.zone, free, bound, did, well, soon, row.name, at))
        return self.gauge.states(now, standing, loaded, self.failover.council.in_force(now))

    def _do(self, effects: Iterable[Any]):
        where = {row.name: row.address for row in self.others()}
        for effect in effects:
            if isinstance(effect, Keep):
                if self.file is not None:
                    self._keep(self.file, effect.ballot)
            elif isinstance(effect, Tell) and effect.to in where and self.unkept is None:
                self._send(where[effect.to], Said(self.failover.name, self.failover.epoch, effect.word))
        for event in self.failover.take_events():
            log = self.log.warning if event.kind in LOUD else self.log.info
            log("failover", kind=event.kind, epoch=event.epoch, **({"why": event.why} if event.why else {}))

    def _keep(self, file: SnapshotFile, promised: Ballot):
        """What is told rests on the ballot: while it does not last nothing is told, as if the messages were lost."""
        self.unkept = None if file.write(kept(promised)) else promised

    def _send(self, to: str, said: Said):
        self.group.send_plan(to, self.codec.encode(said))

    def _pass(self, passes: Iterable[Pass]):
        for one in passes:
            self._send(one.to, Said(self.failover.name, self.failover.epoch, None, one.renewal, one.pass_on))

    # The group's messages

    def _ride(self) -> bytes:
        renewal = self.failover.council.renewal(self.now())
        return self.codec.encode(Said(self.failover.name, self.failover.epoch, None, renewal))

    def _heard(self, data: bytes):
        """Raises SaidError with what was expected."""
        said, now = self.codec.decode(data), self.now()
        if len(self.follows) < 4096 or said.sender in self.follows:
            self.follows[said.sender] = said.epoch
        if said.renewal is not None:
            self.failover.rode(now, said.renewal)
            for to in said.pass_on:
                loopback(to)
            self._pass(Spread.on(said.renewal, said.pass_on))
        told = said.figures or said.ways
        row = next((one for one in self.others() if one.name == said.sender), None) if told else None
        if row is not None and said.figures:
            self.reports.heard(now, said.sender, said.figures)
        if row is not None and said.ways:
            self.ways.heard(said.sender, row.about.zone, said.ways)
        self._do(self.failover.heard(now, said.word) if said.word is not None else ())

    # Inferences

    def zones(self, given: ms.Call) -> tuple[str, ...]:
        """Where this inference may go, the first of them first; none: it is to be shed."""
        now, group = self.now(), self.groups[given.group]
        bound = bool(group.stay) or given.tenant in self.bound
        if not given.repeat:
            # Against shedding that feeds itself: what was shed comes again, and is no more work than it was.
            self.meter.arrived(now, given.group, bound, given.work or group.slo_time / 4)
        return self.steer.zones(now, self.failover.follow(now), bound, group.value)

    def sent(self, number: int, invoker: str, group: str) -> None:
        place = self.fleet.fleet.reported.get(invoker) if self.fleet.fleet is not None else None
        if place is not None:
            self.out[number] = place.zone, self.now(), group

    def ended(self, number: int, outcome: it.Outcome, found: it.Found) -> None:
        zone, since, name = self.out.pop(number, ("", 0.0, ""))
        if not zone or outcome in (it.Outcome.CALLED_OFF, it.Outcome.NOT_SENT):
            return
        now = self.now()
        self.steer.ended(
            now, zone, outcome in (it.Outcome.RETURNED, it.Outcome.FULL, it.Outcome.MISS, it.Outcome.ERROR)
        )
        self.meter.ended(
            now,
            name,
            zone,
            now - since,
            outcome.value,
            found in (it.Found.WARM, it.Found.UNTOLD),
            self.groups[name].slo_time,
        )

    # Showing

    def methods(self) -> dict[str, Method]:
        return {names.MEMBERSHIP_ZONES: unary(self._view), names.MEMBERSHIP_DRAIN_ZONE: unary(self._drain)}

    def _view(self, call: ServerCall, data: bytes):
        call.send(platform.ViewReply(view=msgspec.json.encode(self.shown())).SerializeToString())
        call.finish(Status.OK)

    def shown(self) -> ZonesShown:
        now, failover = self.now(), self.failover
        plan, states, council = failover.follow(now), self.states(), failover.council
        lines = []
        for zone in self.topology.zones:
            state = states[zone]
            lines.append(
                ZoneShown(
                    zone,
                    self.topology.regions[zone],
                    state.now,
                    state.warm,
                    state.free,
                    state.bound,
                    round(state.trust, 2),
                    plan.caps.get(zone, -1.0),
                    zone in plan.drained,
                    plan.free.get(zone, {}),
                    plan.bound.get(zone, {}),
                    {cell: round(cores, 2) for cell, cores in sorted(self.gauge.cells.get(zone, {}).items())},
                )
            )
        in_force = council.in_force(now)
        age = now - council.renewed_at if in_force is not None else -1.0
        leader = council.name if council.leads(now) else council.leader
        follows = {**self.follows, council.name: in_force.epoch if in_force is not None else (0, 0)}
        live = {row.name for row in self.others()} | {council.name}
        epoch = follows[council.name]
        member = self.group.group
        return ZonesShown(
            self.group.told.name,
            council.name,
            member.start if member is not None else 0,
            self.zone,
            f"{epoch[0]}.{epoch[1]}",
            epoch,
            plan.reason,
            round(age, 1) if math.isfinite(age) else -1.0,
            leader,
            list(council.voters),
            failover.planner.changes,
            sorted(failover.wanted),
            [zone for zone in self.topology.zones if not self.steer.open(zone)],
            {name: follows[name] for name in sorted(live) if name in follows},
            lines,
        )

    def _drain(self, call: ServerCall, data: bytes):
        asked = parsed(call, platform.DrainZoneRequest, data)
        if asked is None:
            return
        now, failover = self.now(), self.failover
        if not failover.council.leads(now):
            return self._name_leader(call)
        why = failover.drain(asked.zone, asked.drain, asked.force)
        self.log.info("drain zone", zone=asked.zone, drain=asked.drain, force=asked.force, refused=why)
        if why:
            _reply(call, platform.DrainZoneReply(why=why))
        else:
            self._confirm_drain(call, asked, now + CONFIRM_WITHIN)

    def _name_leader(self, call: ServerCall):
        council = self.failover.council
        leader = council.leader
        where = next((row.address for row in self.others() if row.name == leader), "")
        if not where and council.votes is False:
            # Only voters hear who leads: any of them can say.
            where = next((row.address for row in self.others() if row.name in council.voters), "")
        _reply(call, platform.DrainZoneReply(why=f"{leader or 'nobody known here'} leads", leader=where))

    def _confirm_drain(self, call: ServerCall, asked: platform.DrainZoneRequest, until: float):
        """Say that it is done when most voters have a plan with it: a leader may end, or lose its lead, at any time."""
        if call.over or self.stopped:
            return
        now, council = self.now(), self.failover.council
        decided = council.in_force(now)
        agreed = decided is not None and (asked.zone in decided.drained) is asked.drain
        if agreed and council.plan is not None and (asked.zone in council.plan.drained) is asked.drain:
            _reply(call, platform.DrainZoneReply(done=True))
        elif not council.leads(now):
            self._name_leader(call)
        elif now >= until:
            why = f"most voters have not agreed within {CONFIRM_WITHIN / 1000.0:.0f} s; ask again"
            _reply(call, platform.DrainZoneReply(why=why))
        else:
            self.loop.call_later(CONFIRM_EVERY, self._confirm_drain, call, asked, until)

    def stop(self) -> None:
        self.stopped = True
        if self.timer is not None:
            self.timer.cancel()


def _reply(call: ServerCall, reply: platform.DrainZoneReply):
    call.send(reply.SerializeToString())
    call.finish(Status.OK)
