"""Connects the plans of zones to sockets: the group's messages carry them, each inference gets the zones that it may go
to, and the plan in force is served as a view."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Iterable
from typing import Any

import msgspec

from sprucespool import interface as it
from sprucespool.daemon.fleet import FleetCarrier
from sprucespool.daemon.group import LOAD_METRICS, GroupCarrier
from sprucespool.daemon.request import parse_request
from sprucespool.daemon.snapshots import SnapshotFile
from sprucespool.failover import (
    Ballot,
    Codec,
    Failover,
    Gauge,
    GaugeLimits,
    LoadReport,
    PlanMessage,
    PlanMessageError,
    PlannerLimits,
    RenewalDelivery,
    Reports,
    SendToVoter,
    ServingInvoker,
    Spread,
    Steer,
    StoreBallot,
    Topology,
    ZoneCosts,
    ZoneState,
    decode_ballot,
    encode_ballot,
)
from sprucespool.gateway import messages as ms
from sprucespool.grpc.status import Status
from sprucespool.membership import Phase
from sprucespool.settings.controller import ControllerPlan, FailoverPlan, loopback
from sprucespool.transport.listener import Method, ServerCall, unary
from sprucespool.wire import names
from sprucespool.wire import platform_pb2 as platform

# What a member reports beyond `group.LOAD_METRICS`: cores that its inferences need, free and bound to the region; cores
# that its own zone provided for it; the shares of forwards to its own zone that returned, and that did so in SLO time.
FAILOVER_METRICS = ("free_cores", "bound_cores", "home_cores", "home_well", "home_soon")
CHECK_INTERVAL_SECONDS = 0.25
# How often, and for how long, to check whether a command is in a plan that most voters have.
CONFIRM_CHECK_INTERVAL_SECONDS, CONFIRM_TIMEOUT_MS = 0.05, 8_000.0
# How often the states of the zones are computed from all members and invokers, which is the expensive step when there
# are hundreds of them. A controller that does not plan does so half as often.
STATES_INTERVAL_MS = 500.0
# How often measured costs between zones are reported and evaluated.
ZONE_COSTS_INTERVAL_MS = 5_000.0
MAX_BALLOT_BYTES = 1024
WARNING_KINDS = {"alone", "refused"}


class ZoneShown(msgspec.Struct):
    """One zone in the view; quantities in cores. `free`, `bound`: where the traffic that enters here goes, by zone of
    invokers."""

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
    # Cores by cell of its invokers, if the roster contains cells.
    cells: dict[str, float] = {}


class ZonesShown(msgspec.Struct):
    """The plan that a controller follows. `epoch` is (0, 0) if no plan is in force; `why` then says what is used
    instead. `digest` is equal for two controllers that follow the same plan. `follows`: the epoch that each member
    reported last; `wanted`: zones that operators want to be drained."""

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
    """Runs one controller's part in the failover: takes in the view of the fleet and its own traffic, and decides which
    zones each inference may go to."""

    def __init__(
        self,
        plan: ControllerPlan,
        settings: FailoverPlan,
        group: GroupCarrier,
        fleet: FleetCarrier,
        log: Any,
        failover_class: type[Failover] = Failover,
        steer_class: type[Steer] = Steer,
    ):
        self.plan, self.settings, self.group, self.fleet, self.log = plan, settings, group, fleet, log
        self.loop = asyncio.get_running_loop()
        assert plan.group is not None
        self.codec = Codec(plan.group.name, plan.group.mark)
        self.topology, self.zone = Topology.of(settings.zones, settings.distances), plan.controller.zone
        # The last ballot, if it could not be written yet.
        self.unstored_ballot: Ballot | None = None
        # A voter that cannot read its ballot gives no vote for a while, because it may already have voted.
        self.file = SnapshotFile(settings.keep, log, MAX_BALLOT_BYTES) if settings.keep else None
        self.failover = failover_class(
            plan.group.member or f"controller-{plan.controller.number}",
            self.topology,
            tuple(voter.member for voter in settings.voters),
            self._read_ballot(),
            plan.seed * 29 + plan.controller.number,
            planner_limits=PlannerLimits(own_most=settings.own_most, far_most=settings.far_most),
            replace_after=settings.replace_after,
        )
        self.steer, self.meter = steer_class(self.zone, self.topology), failover_class.meter_kind(self.zone)
        self.spread = Spread(plan.seed * 37 + plan.controller.number)
        self.gauge = Gauge(self.topology, GaugeLimits(plan.fleet.cold_share, plan.fleet.warm_after, settings.cores))
        self.reports, self.zone_costs = Reports(), ZoneCosts(self.zone, self.topology)
        self.zone_costs_due_at = self.states_due_at = 0.0
        self.groups = {group.name: group for group in plan.model_groups}
        self.bound_tenants = {tenant.name for tenant in plan.tenants if tenant.stay}
        # Forwards in flight: zone, start time and model group.
        self.in_flight: dict[int, tuple[str, float, str]] = {}
        self.followed_epochs: dict[str, tuple[int, int]] = {}
        self.timer: asyncio.TimerHandle | None = None
        self.stopped = False
        measure_load, self.group.metric_names = group.measure_load, (*LOAD_METRICS, *FAILOVER_METRICS)
        group.measure_load = lambda: (*measure_load(), *self.meter.measure(self.now()))
        group.failover_payload, group.on_plan = self._payload, self._receive

    def now(self) -> float:
        return self.loop.time() * 1000.0

    def start(self) -> None:
        """Start the failover. Called after the start of the group and the view."""
        self._tick()

    def _read_ballot(self) -> Ballot | None:
        data = self.file.read() if self.file is not None else None
        if self.file is None or data is None:
            return None
        try:
            return decode_ballot(data)
        except PlanMessageError as error:
            self.file.refuse(str(error))
            return None

    # Time

    def _tick(self):
        if self.stopped:
            return
        # Scheduled first: after an exception below, a controller without a timer would follow an old plan unnoticed.
        self.timer = self.loop.call_later(CHECK_INTERVAL_SECONDS, self._tick)
        now = self.now()
        if now >= self.states_due_at:
            council = self.failover.council
            plans = council.is_voter or council.in_force(now) is None
            self.states_due_at = now + (STATES_INTERVAL_MS if plans else 2 * STATES_INTERVAL_MS)
            states = self.states()
            self.steer.serving_zones = frozenset(zone for zone, state in states.items() if state.now > 0) or None
            if not states[self.zone].warm:
                self.meter.forget_outcomes()
            self.failover.update_states(now, states)
            self.failover.update_members(self._plan_members())
        if self.unstored_ballot is not None and self.file is not None:
            self._store_ballot(self.file, self.unstored_ballot)
        self._carry_out(self.failover.tick(now))
        if self.failover.council.leads(now):
            self._send_renewals(
                self.spread.distribute(now, self.failover.council.renewal(now), [row.address for row in self.others()])
            )
        costs, metrics = self._measured_costs(now), self.meter.report_if_due(now)
        if metrics is not None or costs:
            for row in self.others():
                if row.name in self.failover.council.voters:
                    self._send(
                        row.address,
                        PlanMessage(self.failover.name, self.failover.epoch, metrics=metrics or (), costs=costs),
                    )
        delay_seconds = (self.failover.due() - now) / 1000.0
        if delay_seconds < CHECK_INTERVAL_SECONDS:
            self.timer.cancel()
            self.timer = self.loop.call_later(max(0.01, delay_seconds), self._tick)

    def _measured_costs(self, now: float) -> dict[str, float]:
        """Returns the measured costs to report, if a report is due. A voter then also updates its costs from the
        reports of others."""
        member = self.group.group
        while member is not None and member.round_trips:
            self.zone_costs.record_round_trip(*member.round_trips.popleft())
        if now < self.zone_costs_due_at:
            return {}
        self.zone_costs_due_at = now + ZONE_COSTS_INTERVAL_MS
        self.reports.keep(row.name for row in self.others())
        if self.failover.council.is_voter and self.zone_costs.update(row.name for row in self.others()):
            self.log.info(
                "failover",
                kind="ways",
                costs={f"{one} {other}": cost for (one, other), cost in sorted(self.topology.costs.items())},
            )
        return self.zone_costs.measured()

    def others(self) -> list[Any]:
        member = self.group.group
        return [row for row in member.live() if row.seat != member.me.seat] if member is not None else []

    def _plan_members(self) -> dict[str, str]:
        """The zone of each serving member that has sent messages about plans. A member without the failover would be a
        voter that never answers."""
        rows = [row for row in self.others() if row.name in self.followed_epochs and row.about.phase is Phase.SERVING]
        return {**{row.name: row.about.zone for row in rows}, self.failover.name: self.zone}

    def states(self) -> dict[str, ZoneState]:
        """Returns the present state of each zone."""
        now, fleet, member = self.now(), self.fleet.fleet, self.group.group
        serving = (
            []
            if fleet is None
            else [
                ServingInvoker(
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
        loads = [LoadReport(self.zone, *self.meter.measure(now), reported_at=now)]
        metric_count = len(self.group.metric_names)
        for row in self.others() if member is not None else ():
            metrics, at = self.reports.of(
                now, row.name, row.figures[len(LOAD_METRICS) :] if len(row.figures) == metric_count else ()
            )
            if len(metrics) == len(FAILOVER_METRICS):
                free, bound, home_cores, returned_share, in_time_share = metrics
                loads.append(
                    LoadReport(row.about.zone, free, bound, home_cores, returned_share, in_time_share, row.name, at)
                )
        return self.gauge.states(now, serving, loads, self.failover.council.in_force(now))

    def _carry_out(self, effects: Iterable[Any]):
        addresses = {row.name: row.address for row in self.others()}
        for effect in effects:
            if isinstance(effect, StoreBallot):
                if self.file is not None:
                    self._store_ballot(self.file, effect.ballot)
            elif isinstance(effect, SendToVoter) and effect.to in addresses and self.unstored_ballot is None:
                self._send(addresses[effect.to], PlanMessage(self.failover.name, self.failover.epoch, effect.message))
        for event in self.failover.take_events():
            log = self.log.warning if event.kind in WARNING_KINDS else self.log.info
            log("failover", kind=event.kind, epoch=event.epoch, **({"why": event.why} if event.why else {}))

    def _store_ballot(self, file: SnapshotFile, to_store: Ballot):
        """Messages to voters depend on the ballot: none is sent while it is not durably stored, as if all were lost."""
        self.unstored_ballot = None if file.write(encode_ballot(to_store)) else to_store

    def _send(self, to: str, message: PlanMessage):
        self.group.send_plan(to, self.codec.encode(message))

    def _send_renewals(self, deliveries: Iterable[RenewalDelivery]):
        for delivery in deliveries:
            self._send(
                delivery.to,
                PlanMessage(self.failover.name, self.failover.epoch, None, delivery.renewal, delivery.pass_on),
            )

    # The group's messages

    def _payload(self) -> bytes:
        renewal = self.failover.council.renewal(self.now())
        return self.codec.encode(PlanMessage(self.failover.name, self.failover.epoch, None, renewal))

    def _receive(self, data: bytes):
        """Raises PlanMessageError; its text says what was expected."""
        message, now = self.codec.decode(data), self.now()
        if len(self.followed_epochs) < 4096 or message.sender in self.followed_epochs:
            self.followed_epochs[message.sender] = message.epoch
        if message.renewal is not None:
            self.failover.receive_renewal(now, message.renewal)
            for to in message.pass_on:
                loopback(to)
            self._send_renewals(Spread.relay(message.renewal, message.pass_on))
        has_report = message.metrics or message.costs
        row = next((member for member in self.others() if member.name == message.sender), None) if has_report else None
        if row is not None and message.metrics:
            self.reports.receive(now, message.sender, message.metrics)
        if row is not None and message.costs:
            self.zone_costs.receive(message.sender, row.about.zone, message.costs)
        self._carry_out(
            self.failover.receive(now, message.council_message) if message.council_message is not None else ()
        )

    # Inferences

    def zones(self, call: ms.Call) -> tuple[str, ...]:
        """Returns the zones that this inference may go to, in order of preference; none: it must be shed."""
        now, group = self.now(), self.groups[call.group]
        bound = bool(group.stay) or call.tenant in self.bound_tenants
        if not call.repeat:
            # Retries do not count: shed requests that come again would raise the load estimate and cause more shedding.
            self.meter.arrived(now, call.group, bound, call.work or group.slo_time / 4)
        return self.steer.zones(now, self.failover.follow(now), bound, group.value)

    def forward_sent(self, number: int, invoker: str, group: str) -> None:
        place = self.fleet.fleet.reported.get(invoker) if self.fleet.fleet is not None else None
        if place is not None:
            self.in_flight[number] = place.zone, self.now(), group

    def forward_ended(self, number: int, outcome: it.Outcome, found: it.Found) -> None:
        zone, sent_at, group = self.in_flight.pop(number, ("", 0.0, ""))
        if not zone or outcome in (it.Outcome.CALLED_OFF, it.Outcome.NOT_SENT):
            return
        now = self.now()
        self.steer.ended(
            now, zone, outcome in (it.Outcome.RETURNED, it.Outcome.FULL, it.Outcome.MISS, it.Outcome.ERROR)
        )
        self.meter.ended(
            now,
            group,
            zone,
            now - sent_at,
            outcome.value,
            found in (it.Found.WARM, it.Found.UNTOLD),
            self.groups[group].slo_time,
        )

    # Serving the view and commands of operators

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
        follows = {**self.followed_epochs, council.name: in_force.epoch if in_force is not None else (0, 0)}
        live = {row.name for row in self.others()} | {council.name}
        epoch = follows[council.name]
        member = self.group.group
        return ZonesShown(
            self.group.settings.name,
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
            sorted(failover.requested_drains),
            [zone for zone in self.topology.zones if not self.steer.open(zone)],
            {name: follows[name] for name in sorted(live) if name in follows},
            lines,
        )

    def _drain(self, call: ServerCall, data: bytes):
        request = parse_request(call, platform.DrainZoneRequest, data)
        if request is None:
            return
        now, failover = self.now(), self.failover
        if not failover.council.leads(now):
            return self._name_leader(call)
        why = failover.drain(request.zone, request.drain, request.force)
        self.log.info("drain zone", zone=request.zone, drain=request.drain, force=request.force, refused=why)
        if why:
            _reply(call, platform.DrainZoneReply(why=why))
        else:
            self._confirm_drain(call, request, now + CONFIRM_TIMEOUT_MS)

    def _name_leader(self, call: ServerCall):
        council = self.failover.council
        leader = council.leader
        leader_address = next((row.address for row in self.others() if row.name == leader), "")
        if not leader_address and council.is_voter is False:
            # Only voters know the leader: any of them can name it.
            leader_address = next((row.address for row in self.others() if row.name in council.voters), "")
        _reply(call, platform.DrainZoneReply(why=f"{leader or 'nobody known here'} leads", leader=leader_address))

    def _confirm_drain(self, call: ServerCall, request: platform.DrainZoneRequest, until: float):
        """Answer that the command is done once most voters have a plan with it: before that, it is lost if the leader
        ends or loses its leadership."""
        if call.over or self.stopped:
            return
        now, council = self.now(), self.failover.council
        decided = council.in_force(now)
        agreed = decided is not None and (request.zone in decided.drained) is request.drain
        if agreed and council.plan is not None and (request.zone in council.plan.drained) is request.drain:
            _reply(call, platform.DrainZoneReply(done=True))
        elif not council.leads(now):
            self._name_leader(call)
        elif now >= until:
            why = f"most voters have not agreed within {CONFIRM_TIMEOUT_MS / 1000.0:.0f} s; ask again"
            _reply(call, platform.DrainZoneReply(why=why))
        else:
            self.loop.call_later(CONFIRM_CHECK_INTERVAL_SECONDS, self._confirm_drain, call, request, until)

    def stop(self) -> None:
        self.stopped = True
        if self.timer is not None:
            self.timer.cancel()


def _reply(call: ServerCall, reply: platform.DrainZoneReply):
    call.send(reply.SerializeToString())
    call.finish(Status.OK)
