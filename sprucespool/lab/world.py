"""Runs a day's script in virtual time on the daemon's own modules: `Gateway` and policy, `Group`, `Fleet`, `Failover`.

A discrete-event simulation that is deterministic for a seed. Events stand for what a stage of processes sends over
sockets. The worker and library models, the clients' behaviour, the schedule of troubles and the recorded notes are the
same as on the stage. Does no I/O and reads no clock.
"""

from __future__ import annotations

import itertools
import math
import random
import zlib
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from typing import Any

from sprucespool import interface as it
from sprucespool.emulator import worker as wk
from sprucespool.emulator.fleet import VirtualInvoker, status_of
from sprucespool.emulator.library import Fetch, Library, LibraryFacts
from sprucespool.emulator.plans import PlanWorld, WorldParameters
from sprucespool.faults import LinkState
from sprucespool.fleet import InvokerState, RosterRow, Suspicion
from sprucespool.fleet.gateway_inputs import gateway_inputs
from sprucespool.gateway import Decider, Gateway
from sprucespool.gateway import messages as ms
from sprucespool.grpc.status import Status
from sprucespool.judge import seen
from sprucespool.judge.group import Faulted
from sprucespool.membership import Group, GroupLimits
from sprucespool.policy import Controller
from sprucespool.settings.controller import ControllerPlan, Place as At, RosterSource, deployment
from sprucespool.standin.clients import EXTRA_LISTEN_MS
from sprucespool.standin.badlinks import BadLinks, partition_sides
from sprucespool.standin.invoker import Fault
from sprucespool.standin.schedule import Schedule, Slot, Step, schedule, worker_facts
from sprucespool.standin.script import Day
from sprucespool.standin.traffic import (
    MIN_WAIT_MS,
    RequestSource,
    Plan,
    catalog,
    draw_troubles,
    attempt_timeout,
    should_retry,
)
from sprucespool.wire import outcomes

# The one-way link between two processes on a machine (ms), and the delay until a lost segment is retransmitted.
LOCAL_LINK, RETRANSMIT_MS = LinkState(0.2, 0.3), 200.0
# Delay until the roster lists a dead process as gone, and until a drained process is told to end.
DEATH_LISTED_AFTER_MS, TERMINATE_AFTER_MS = 500.0, 200.0
# Number of results of a streamed inference, and the time between two of them.
STREAM_RESULTS, RESULT_GAP_MS = 5, 20.0
UNSUPPORTED_TROUBLES = {"go-away", "half-frame"}


@dataclass(slots=True, eq=False)
class _Process:
    """An invoker's process. A later process may have the same address."""

    slot: Slot
    box: VirtualInvoker
    boot: str
    worker: wk.Worker
    arrival_count: int = 0
    forwards: dict[wk.Job, _ArrivedForward] = field(default_factory=dict)
    withheld: list[wk.Finished] = field(default_factory=list)
    next_check_at: float = math.inf
    up: bool = True


@dataclass(slots=True, eq=False)
class _ArrivedForward:
    """A forward that an invoker holds."""

    member: Group
    forward: int
    n: int
    id: str


@dataclass(slots=True, eq=False)
class _PendingForward:
    """The controller's state of a forward in flight."""

    address: str
    group: str
    zone: str
    sent_at: float
    deadline: float
    streaming: bool = False
    target: tuple[_Process, wk.Job] | None = None


@dataclass(slots=True, eq=False)
class _Order:
    """Tag of a load order at a worker: the controller that sent it and its number there."""

    member: Group
    number: int


@dataclass(slots=True, eq=False)
class _FetchTag:
    """Tag of a library fetch: the load that it is for."""

    process: _Process
    load: wk.Load


@dataclass(slots=True, eq=False)
class _Request:
    """A client's first request of an inference or a retry of it."""

    plan: Plan
    id: str
    nth: int
    started_at: float
    ttl: float
    controller: int
    ended: bool = False


@dataclass(slots=True, eq=False)
class _Frontend:
    """A controller's gateway with its open requests and forwards."""

    gateway: Gateway
    inputs: list[ms.Input] = field(default_factory=list)
    delivery_scheduled: bool = False
    wake_at: float = math.inf
    requests: dict[str, _Request] = field(default_factory=dict)
    pending_forwards: dict[int, _PendingForward] = field(default_factory=dict)
    sharing: tuple[int, float] = (0, 0.0)
    # Addresses of all invokers that the roster has reported to this controller.
    ever_listed: set[str] = field(default_factory=set)


class DayWorld(PlanWorld):
    """The simulation of a day. `controllers` overrides the script's count; they are spread evenly over the zones.
    Raises ValueError for a trouble that has no meaning without connections."""

    def __init__(
        self,
        day: Day,
        decider: Callable[[it.Deployment, int], Decider] = Controller,
        controllers: int | None = None,
        gateway: type[Gateway] = Gateway,
        **kinds: Any,
    ):
        if day.drawn:
            day.troubles = sorted([*day.troubles, *draw_troubles(day, day.seed)], key=lambda trouble: trouble.at)
        for trouble in day.troubles:
            if trouble.kind in UNSUPPORTED_TROUBLES:
                raise ValueError(f"trouble {trouble.kind}: not supported in virtual time, which has no connections")
        if day.told != "none":
            raise ValueError(f"told: expected none in virtual time, got {day.told!r}")
        self.day, self.module, self.gateway_kind = day, decider, gateway
        self.plan: Schedule = schedule(day)
        self.controllers = controllers or day.controllers
        self.catalog = catalog(day)
        self.notes: list[seen.Seen] = []
        self.frontends: dict[Group, _Frontend] = {}
        self.processes: dict[str, _Process] = {}
        self.current_processes: dict[int, _Process] = {}
        self.model_groups = {group.name: group for group in day.model_groups}
        self.bound_tenants = {tenant.name for tenant in day.tenants if tenant.stay}
        self.fault_chance = random.Random(day.seed * 100)
        self.client_chance = random.Random(day.seed + 77)
        self.controller_order = itertools.count()
        self.asking = RequestSource(day)
        self.library = Library(LibraryFacts(day.library.smooth, day.library.most))
        self.library_due = math.inf
        self.last_publish_at = 0.0
        # Time, version and rows of each state of the roster, for the trouble that restores an old one.
        self.roster_history: list[tuple[float, int, dict[str, RosterRow]]] = []
        self.views_kept = day.group is not None and day.group.view
        self.bad_links = BadLinks()
        fleet, failover = day.fleet, day.failover
        super().__init__(
            self.controllers,
            len(self.plan.slots),
            day.seed,
            "common" if failover is not None else "today",
            len(day.zones),
            1,
            WorldParameters(1, cold_share=fleet.cold_share, warm_after=fleet.warm_after),
            voters=tuple(failover.voters.split(",")) if failover is not None else (),
            replace_after=failover.replace_after if failover is not None else 30_000.0,
            lag=day.roster.lag,
            grace=fleet.drain_grace,
            group_limits=GroupLimits(period=day.group.period, ack_within=0.3 * day.group.period)
            if day.group is not None
            else None,
            **kinds,
        )
        self.share = self.views_kept
        self.links.default = LOCAL_LINK
        # These links have no loss: a connection retransmits what is lost.
        for n, distance in enumerate(day.distances if day.group else []):
            self.links.put(
                f"distance {n}",
                day.processes_named(distance.one),
                day.processes_named(distance.other),
                LinkState(distance.latency, distance.jitter),
            )
        for slot in self.plan.slots:
            box = self.invokers[f"w{slot.number}"]
            box.born = -3.6e6
            self._start_process(slot, box, False)
            self.rows[box.address] = self._row(box)
        self.roster_history.append((0.0, self.version, dict(self.rows)))

    def zone_of(self, number: int) -> str:
        return self.day.zones[number % len(self.day.zones)]

    def regions_of(self, zones: int, regions: int) -> dict[str, str]:
        return {zone: self.day.region_of(zone) or zone for zone in self.day.zones}

    def note(self, what: seen.Seen) -> None:
        self.notes.append(what)

    # Controllers

    def join(
        self,
        name: str,
        address: str,
        zone: str | None = None,
        seeds: list[str] | None = None,
        number: int = 0,
        of: int = 1,
    ) -> Group:
        member = super().join(name, address, zone, seeds, number, of)
        plan = ControllerPlan(
            listen="127.0.0.1:0",
            roster=RosterSource(watch="127.0.0.1:1"),
            model_groups=self.day.model_groups,
            controller=At(number, self.controllers, member.about.zone, self.day.region_of(member.about.zone)),
            tenants=self.day.tenants,
            fleet=self.day.fleet,
            forwards=self.day.forwards,
            orders=self.day.orders,
            answers=self.day.answers,
        )
        gateway = self.gateway_kind(
            deployment(plan),
            self.day.seed * 10 + number,
            lambda effect: self._apply_effect(member, effect),
            self.module,
        )
        self.frontends[member] = _Frontend(gateway)
        self._queue_input(member, ms.Roster(it.News.RESTORED.value))
        return member

    def kill(self, name: str) -> Group:
        member = super().kill(name)
        frontend = self.frontends.pop(member)
        self.note(seen.Killed(self.now, member.about.number))
        for request in list(frontend.requests.values()):
            self._later(0.5, partial(self._unreached, request, True))
        for pending in frontend.pending_forwards.values():
            if pending.target is not None:
                self._cancel_at_invoker(*pending.target)
        return member

    def _tick(self, member: Group):
        # Without a group a controller exchanges no messages with others.
        if self.day.group is not None:
            super()._tick(member)
            self._update_sharing(member)

    def _receive(self, to: str, message: Any):
        super()._receive(to, message)
        member = self.by_address.get(to)
        if member is not None:
            self._update_sharing(member)

    def _update_sharing(self, member: Group):
        frontend = self.frontends.get(member)
        if frontend is None:
            return
        sharing = member.sharing()
        if sharing != frontend.sharing:
            frontend.sharing = sharing
            self._queue_input(member, ms.Sharing(*sharing))

    def _forward(self, member: Group):
        """Does nothing: the day's plan creates the clients' requests, not the base class's rate."""

    def _queue_input(self, member: Group, gateway_input: ms.Input):
        """Queues an input for the gateway; all inputs of one loop iteration are delivered as a batch."""
        frontend = self.frontends.get(member)
        if frontend is None:
            return
        frontend.inputs.append(gateway_input)
        if not frontend.delivery_scheduled:
            frontend.delivery_scheduled = True
            self._later(0.0, partial(self._deliver_inputs, member, frontend))

    def _deliver_inputs(self, member: Group, frontend: _Frontend):
        if self.frontends.get(member) is not frontend:
            return
        if member.name in self.paused:
            return self._later(10.0, partial(self._deliver_inputs, member, frontend))
        frontend.delivery_scheduled = False
        inputs, frontend.inputs = frontend.inputs, []
        frontend.gateway.take(self._time(member), inputs)

    def _view_changed(self, member: Group, places: list[InvokerState], doubts: list[Suspicion]):
        if not self.views_kept:
            return
        for gateway_input in gateway_inputs(places, doubts, self.fleets[member].version, self._time(member)):
            self._queue_input(member, gateway_input)

    # The roster

    def _row(self, box: VirtualInvoker, gone: bool = False) -> RosterRow:
        row = super()._row(box, gone)
        slot = self.plan.slots[int(box.name[1:])]
        return RosterRow(
            row.process, row.listed, gone, box.zone, slot.machines.kind, slot.cell, float(slot.machines.cores), row.age
        )

    def publish(self, box: VirtualInvoker, gone: bool = False) -> None:
        row = self._row(box, gone)
        due = self.now + self.lag * self.chance.uniform(0.7, 1.3) + self.extra
        # Changes are published in order, so that an update still on its way does not list a removed process again.
        self.last_publish_at = due = max(due, self.last_publish_at + 0.01)
        self._later(due - self.now, lambda: self._published(box, row))

    def _published(self, box: VirtualInvoker, row: RosterRow):
        super()._published(box, row)
        self.roster_history.append((self.now, self.version, dict(self.rows)))

    def _report_roster(self, member: Group, whole: bool, version: int, rows: list[RosterRow], source: str = "roster"):
        frontend = self.frontends.get(member)
        if frontend is None or not self._reaches(member):
            return
        if member.name in self.paused:
            return self._later(50.0, lambda: self._report_roster(member, whole, version, rows, source))
        number = member.about.number
        for row in rows:
            self.note(seen.Told(self.now, number, *row.process, status_of(row)))
        if whole:
            for address in sorted(frontend.ever_listed - {row.process[0] for row in rows}):
                self.note(seen.Told(self.now, number, address, "", "gone"))
        frontend.ever_listed |= {row.process[0] for row in rows}
        if self.views_kept:
            return super()._report_roster(member, whole, version, rows, source)
        roster_rows = [
            ms.Row(row.process[0], row.zone, row.kind, row.cell, status_of(row), row.size, row.process[1], row.age)
            for row in rows
        ]
        self._queue_input(member, ms.Roster((it.News.REPLACE if whole else it.News.UPDATE).value, version, roster_rows))

    def _check_roster_link(self, member: Group):
        was_connected = member in self.routings and self.routings[member].connected
        super()._check_roster_link(member)
        if was_connected and not self.routings[member].connected and not self.views_kept:
            self._queue_input(member, ms.Roster(it.News.UNAVAILABLE.value))

    # Clients

    def schedule_day(self) -> None:
        """Schedules the day's inferences and troubles."""
        for plan in self.asking.first():
            self._later(plan.at - self.now, partial(self._send_request, plan, 0, 0.0, -1))
        for slot in self.plan.slots:
            for fault in self.plan.faults[slot.number]:
                self._later(fault.at - self.now, partial(self._apply_fault, slot.number, fault))
        for step in self.plan.steps:
            self.at(step.at, partial(self._apply_step, step))

    def _send_request(self, plan: Plan, nth: int, started_at: float, avoid: int):
        group = self.model_groups[plan.group]
        started_at = started_at or self.now
        ttl = attempt_timeout(plan, group, nth, started_at, self.now)
        if ttl < MIN_WAIT_MS:
            return self._schedule_next(plan)
        controller = next(self.controller_order) % self.controllers
        if controller == avoid:
            controller = (controller + 1) % self.controllers
        request = _Request(plan, f"{plan.root}.{nth}", nth, started_at, ttl, controller)
        self.note(seen.Sent(self.now, request.id, plan.root, controller, plan.group, ttl, plan.tenant, nth))
        self._later(LOCAL_LINK.delay, partial(self._request_arrives, request, self.now, self.now + ttl))
        wait = ttl + EXTRA_LISTEN_MS if plan.leave_share is None else ttl * plan.leave_share
        self._later(wait, partial(self._client_gives_up, request))

    def _request_arrives(self, request: _Request, sent: float, until: float):
        if request.ended:
            return
        member = self.members.get(f"c{request.controller}")
        if member is None:
            return self._unreached(request, False)
        frontend, plan = self.frontends[member], request.plan
        frontend.requests[request.id] = request
        if member.name in self.paused:
            # The request waits in the socket of a stalled controller.
            return self._later(10.0, partial(self._request_arrives, request, sent, until))
        call = ms.Call(
            request.id,
            plan.group,
            plan.model,
            max(0.0, until - self.now),
            plan.tenant,
            plan.hint,
            None,
            None,
            None,
            bool(request.nth) and self.day.clients.marked,
            waited=max(0.0, self.now - sent - LOCAL_LINK.delay),
        )
        if self.day.failover is not None:
            parts, group = self.failover_states[member], self.model_groups[plan.group]
            now, bound = self._time(member), bool(group.stay) or plan.tenant in self.bound_tenants
            if not call.repeat:
                parts.meter.arrived(now, call.group, bound, call.work or group.slo_time / 4)
            call.zones = parts.steer.zones(now, parts.failover.follow(now), bound, group.value)
        self._queue_input(member, call)

    def _client_gives_up(self, request: _Request):
        if request.ended:
            return
        request.ended = True
        self.note((seen.NoAnswer if request.plan.leave_share is None else seen.LeftEarly)(self.now, request.id))
        member = self.members.get(f"c{request.controller}")
        if member is not None and self.frontends[member].requests.pop(request.id, None) is not None:
            self._later(LOCAL_LINK.delay, partial(self._queue_input, member, ms.Left(request.id)))
        self._schedule_next(request.plan)

    def _schedule_next(self, plan: Plan):
        """Schedules the next inference if this one came from a simulated user."""
        next_plan = self.asking.after(plan, self.now)
        if next_plan is not None:
            self._later(next_plan.at - self.now, partial(self._send_request, next_plan, 0, 0.0, -1))

    def _unreached(self, request: _Request, sent: bool):
        if request.ended:
            return
        request.ended = True
        self.note(seen.Unreached(self.now, request.id, sent))
        self._retry(request, None, not sent, self.day.clients.wait)

    def _send_answer(self, member: Group, call: str, status: Status, message: str = "", pushback: float | None = None):
        request = self.frontends[member].requests.pop(call, None)
        if request is not None:
            self._later(LOCAL_LINK.delay, partial(self._answer_arrives, request, status, message, pushback))

    def _answer_arrives(self, request: _Request, status: Status, message: str, pushback: float | None):
        if request.ended:
            return
        request.ended = True
        self.note(seen.Answer(self.now, request.id, int(status), message, pushback))
        wait = self.day.clients.wait
        if status is Status.RESOURCE_EXHAUSTED:
            wait = max(wait, pushback or 0.0)
        self._retry(request, status, False, wait)

    def _retry(self, request: _Request, status: Status | None, never_ran: bool, wait: float):
        if should_retry(
            request.plan, self.model_groups[request.plan.group], self.day.clients, request.nth, status, never_ran
        ):
            self._later(
                wait * self.client_chance.uniform(0.8, 1.2),
                partial(self._send_request, request.plan, request.nth + 1, request.started_at, request.controller),
            )
        else:
            self._schedule_next(request.plan)

    # Effects

    def _apply_effect(self, member: Group, effect: ms.Effect):
        act = EFFECTS.get(type(effect))
        if act is not None:
            act(self, member, effect)

    def _wake_at(self, member: Group, effect: ms.WakeAt):
        frontend = self.frontends[member]
        frontend.wake_at = effect.at

        def wake():
            if self.frontends.get(member) is frontend and frontend.wake_at == effect.at:
                frontend.wake_at = math.inf
                self._queue_input(member, ms.Woke())

        self._later(max(0.0, effect.at - self._time(member)), wake)

    def _transmit(
        self, source: str, to: str, on_arrival: Callable[[], None], on_refusal: Callable[[], None] | None = None
    ):
        """Sends over a connection: with an extra delay on a lossy link, and not at all while the link is cut."""
        state = self.links.between(source, to)
        if state.cut:
            if state.cut in ("refused", "reset") and on_refusal is not None:
                self._later(1.0, on_refusal)
            return
        retransmit_ms = RETRANSMIT_MS if state.loss and self.chance.random() < state.loss else 0.0
        self._later(state.delay + self.chance.random() * state.jitter + retransmit_ms, on_arrival)

    def _send_forward(self, member: Group, effect: ms.SendForward):
        frontend, now = self.frontends[member], self._time(member)
        request = frontend.requests.get(effect.call)
        if request is None:
            return self._queue_input(member, ms.ForwardEnded(effect.forward, it.Outcome.NOT_SENT.value))
        place = self.fleets[member].reported.get(effect.invoker)
        frontend.pending_forwards[effect.forward] = _PendingForward(
            effect.invoker, request.plan.group, place.zone if place else "", self.now, self.now + effect.time_out
        )
        if self.views_kept:
            self.fleets[member].sent(now, effect.forward, effect.invoker)
        ends = partial(self._forward_ends, member, effect.forward)
        target = self.processes.get(effect.invoker)
        name = target.box.name if target is not None else "nobody"
        self._transmit(
            member.name, name, lambda: self._forward_arrives(member, effect, request, name), lambda: ends("unconnected")
        )

    def _forward_arrives(self, member: Group, effect: ms.SendForward, request: _Request, name: str):
        process, frontend = self.processes.get(effect.invoker), self.frontends.get(member)
        pending = frontend.pending_forwards.get(effect.forward) if frontend is not None else None
        if frontend is None or pending is None:
            return  # called off before it arrived
        ends = partial(self._forward_ends, member, effect.forward)
        if process is None or not process.up:
            return self._transmit(name, member.name, lambda: ends("unconnected"))
        process.arrival_count += 1
        job = wk.Job(
            effect.forward,
            effect.model,
            request.plan.work,
            request.plan.root if self.model_groups[request.plan.group].effect == "deduped" else "",
        )
        process.forwards[job] = _ArrivedForward(member, effect.forward, process.arrival_count, request.id)
        pending.target = process, job
        self.note(
            seen.Came(
                self.now,
                process.box.address,
                process.boot,
                process.arrival_count,
                request.id,
                member.about.number,
                request.plan.work,
                effect.model,
            )
        )
        if self._active_fault(process, "refuse"):
            process.worker._record_sent_work(self.now, job.work)
            self._end_at_invoker(process, job, "refused", "full")
        else:
            process.worker.arrive(self.now, job)
        self._apply_acts(process)

    def _forward_ends(
        self,
        member: Group,
        number: int,
        outcome: str,
        process: _Process | None = None,
        job: wk.Job | None = None,
        **report: Any,
    ):
        """The controller is informed of a forward's end."""
        frontend = self.frontends.get(member)
        pending = frontend.pending_forwards.get(number) if frontend is not None else None
        if frontend is None or pending is None:
            return
        if member.name in self.paused:
            return self._later(10.0, lambda: self._forward_ends(member, number, outcome, process, job, **report))
        found = job.found.replace("-", " ") if job is not None and outcome in ("returned", "full") else "untold"
        reports = process is not None and job is not None and self.day.invokers.tells
        if not reports:
            found = "untold"
        boot, draining, age = "", False, None
        if reports and process is not None and outcome in ("returned", "full"):
            boot, draining, age = process.boot, process.worker.draining, self.now - process.box.born
        self._observe_end(member, number, pending, outcome, found, boot, draining, age)
        same_model = (
            min(30, job.same_model) if reports and job is not None and outcome in ("returned", "full") else None
        )
        self._queue_input(member, ms.ForwardEnded(number, outcome, found, bool(report.get("load_failed")), same_model))

    def _observe_end(
        self,
        member: Group,
        number: int,
        pending: _PendingForward,
        outcome: str,
        found: str,
        boot: str = "",
        draining: bool = False,
        age: float | None = None,
    ):
        now = self._time(member)
        if self.views_kept:
            self.fleets[member].ended(now, number, outcome, boot, draining, age)
            self._carry_out(member, [])
        if self.day.failover is not None and pending.zone and outcome not in ("called off", "not sent"):
            parts = self.failover_states[member]
            parts.steer.ended(now, pending.zone, outcome in ("returned", "full", "miss", "error"))
            parts.meter.ended(
                now,
                pending.group,
                pending.zone,
                self.now - pending.sent_at,
                outcome,
                found in ("warm", "untold"),
                self.model_groups[pending.group].slo_time,
            )

    def _recall(self, member: Group, effect: ms.Recall):
        pending = self.frontends[member].pending_forwards.pop(effect.forward, None)
        if pending is None:
            return
        timed_out = self.now >= pending.deadline - 1.0 and not pending.streaming
        self._observe_end(
            member,
            effect.forward,
            pending,
            (it.Outcome.TIMED_OUT if timed_out else it.Outcome.CALLED_OFF).value,
            "untold",
        )
        if pending.target is not None:
            process, job = pending.target
            self._transmit(member.name, process.box.name, lambda: self._cancel_at_invoker(process, job))

    def _cancel_at_invoker(self, process: _Process, job: wk.Job):
        arrived = process.forwards.pop(job, None)
        if arrived is not None and process.up:
            self.note(seen.Went(self.now, process.box.address, process.boot, arrived.n, "cancelled"))
            process.worker.cancel(self.now, job)
            self._apply_acts(process)

    def _answer_returned(self, member: Group, effect: ms.AnswerReturned):
        self.frontends[member].pending_forwards.pop(effect.forward, None)
        self._send_answer(member, effect.call, Status.OK)

    def _stream_begun(self, member: Group, effect: ms.StreamBegun):
        pending = self.frontends[member].pending_forwards.get(effect.forward)
        if pending is not None:
            pending.streaming = True

    def _stream_ended(self, member: Group, effect: ms.StreamEnded):
        self.frontends[member].pending_forwards.pop(effect.forward, None)
        self._send_answer(member, effect.call, Status.OK if effect.whole else outcomes.FAILED)

    def _answer_shed(self, member: Group, effect: ms.AnswerShed):
        self._send_answer(member, effect.call, outcomes.SHED, "shed", float(round(effect.retry_after)))

    def _answer_failed(self, member: Group, effect: ms.AnswerFailed):
        self._send_answer(member, effect.call, outcomes.FAILED_LATE if effect.late else outcomes.FAILED, "failed")

    def _send_order(self, member: Group, effect: ms.SendOrder):
        target = self.processes.get(effect.invoker)
        name = target.box.name if target is not None else "nobody"

        def arrive():
            process = self.processes.get(effect.invoker)
            if process is None or not process.up:
                return self._transmit(
                    name, member.name, lambda: self._queue_input(member, ms.OrderEnded(effect.order, "unconnected"))
                )
            self.note(
                seen.Ordered(
                    self.now,
                    process.box.address,
                    process.boot,
                    member.about.number,
                    effect.model,
                    effect.copies,
                )
            )
            if self._active_fault(process, "hang") is None:
                process.worker.order(
                    self.now, wk.LoadOrder(_Order(member, effect.order), effect.model, min(16, effect.copies))
                )
                self._apply_acts(process)

        self._transmit(
            member.name, name, arrive, lambda: self._queue_input(member, ms.OrderEnded(effect.order, "unconnected"))
        )

    def _send_unload(self, member: Group, effect: ms.SendUnload):
        process = self.processes.get(effect.invoker)
        if process is not None and process.up:
            worker = process.worker

            def arrive():
                worker.unload(self.now, effect.model)

            self._transmit(member.name, process.box.name, arrive)

    def _count_module_fault(self, member: Group, effect: ms.Note):
        if effect.fault:
            self.note(seen.Count(self.now, "module faults", 1))

    # Invokers

    def _start_process(self, slot: Slot, box: VirtualInvoker, cold: bool) -> _Process:
        machines = slot.machines
        worker = wk.Worker(worker_facts(self.day, machines), self.catalog, self.now, cold=cold)
        process = _Process(slot, box, box.boot, worker)
        self.processes[box.address] = self.current_processes[slot.number] = process
        self.note(
            seen.Booted(
                self.now, box.address, box.boot, machines.cores, machines.speed, cold, slot.zone, slot.cell, box.name
            )
        )
        for fault in self.plan.faults[slot.number]:
            if fault.kind in ("crawl", "hang") and fault.at <= self.now < fault.at + fault.lasts:
                self._later(0.0, partial(self._apply_fault, slot.number, fault))
        return process

    def start(self, box: VirtualInvoker) -> None:
        super().start(box)
        self._start_process(self.plan.slots[int(box.name[1:])], box, True)

    def down(self, box: VirtualInvoker) -> None:
        box.up = False
        process = self.processes[box.address]
        if not process.up:
            return
        process.up = False
        self.note(seen.Died(self.now, box.address, process.boot))
        for arrived in list(process.forwards.values()):
            self._transmit(
                box.name, arrived.member.name, partial(self._forward_ends, arrived.member, arrived.forward, "reset")
            )
        process.forwards.clear()
        for ask in process.worker.orders:
            order = ask.tag
            assert isinstance(order, _Order)
            self._queue_input(order.member, ms.OrderEnded(order.number, "reset"))

    def _active_fault(self, process: _Process, kind: str) -> Fault | None:
        return next(
            (
                fault
                for fault in self.plan.faults[process.slot.number]
                if fault.kind == kind and fault.at <= self.now < fault.at + fault.lasts
            ),
            None,
        )

    def _apply_fault(self, number: int, fault: Fault):
        process, ends = self.current_processes[number], fault.at + fault.lasts
        worker = process.worker
        if self.now >= ends and fault.kind != "flush" or not process.up:
            return
        if fault.kind == "crawl":
            worker.slowdown = fault.factor
            self._later(ends - self.now, lambda: setattr(worker, "slowdown", 1.0))
        elif fault.kind == "pauses":
            worker.pause(self.now, fault.span)
            self._later(fault.every, partial(self._apply_fault, number, fault))
        elif fault.kind == "flush":
            hash_limit = fault.share * 2**32
            worker.flush([model for model in worker.copies if zlib.crc32(model.encode()) < hash_limit])
        elif fault.kind == "hang":
            self._later(ends - self.now, partial(self._end_hang, process))
        self._apply_acts(process)

    def _end_hang(self, process: _Process):
        withheld, process.withheld = process.withheld, []
        for act in withheld:
            self._finished(process, act)

    def _apply_acts(self, process: _Process):
        """Carries out the actions of the worker's last step and schedules its next check."""
        worker = process.worker
        while worker.actions and process.up:
            acts, worker.actions = worker.actions, []
            for act in acts:
                ACTS[type(act)](self, process, act)
        due = worker.next_due()
        if due < process.next_check_at and process.up and not worker.overloaded:
            process.next_check_at = due
            self._later(max(0.0, due - self.now), partial(self._check_worker, process, due))
        if worker.draining and worker.idle and not process.forwards and process.up:
            self.down(process.box)

    def _check_worker(self, process: _Process, due: float):
        # Otherwise an earlier check has run since and scheduled another one.
        if process.up and process.next_check_at == due:
            process.next_check_at = math.inf
            process.worker.advance(self.now)
            self._apply_acts(process)

    def _end_at_invoker(self, process: _Process, job: wk.Job, how: str, outcome: str, **report: Any) -> None:
        """Ends a forward at its invoker and informs the controller."""
        arrived = process.forwards.pop(job, None)
        if arrived is None:
            return
        self.note(seen.Went(self.now, process.box.address, process.boot, arrived.n, how))
        self._transmit(
            process.box.name,
            arrived.member.name,
            lambda: self._forward_ends(arrived.member, arrived.forward, outcome, process, job, **report),
        )

    def _finished(self, process: _Process, act: wk.Finished):
        job = act.job
        if self._active_fault(process, "hang"):
            process.withheld.append(act)
            return
        arrived, answer_lost = process.forwards.get(job), self._active_fault(process, "answer-lost")
        if arrived is None:
            return
        if answer_lost and self.fault_chance.random() < answer_lost.share:
            return self._end_at_invoker(process, job, "lost", "reset")
        pending = (
            self.frontends[arrived.member].pending_forwards.get(arrived.forward)
            if arrived.member in self.frontends
            else None
        )
        if pending is not None and self.model_groups[pending.group].streamed:
            self._transmit(
                process.box.name,
                arrived.member.name,
                lambda: self._queue_input(arrived.member, ms.FirstResult(arrived.forward)),
            )
            return self._later(
                (STREAM_RESULTS - 1) * RESULT_GAP_MS, lambda: self._end_at_invoker(process, job, "returned", "returned")
            )
        self._end_at_invoker(process, job, "returned", "returned")

    def _refuse(self, process: _Process, act: wk.Refused):
        self._end_at_invoker(process, act.job, "refused", "full")

    def _miss(self, process: _Process, act: wk.Missed):
        self._end_at_invoker(
            process, act.job, "missed", "miss", load_failed=act.load_failed and self.day.invokers.tells
        )

    def _order_settled(self, process: _Process, act: wk.Settled):
        order = act.order.tag
        assert isinstance(order, _Order)
        order_ended = ms.OrderEnded(
            order.number, "returned" if act.fulfilled else "full", act.loaded_copies if self.day.invokers.tells else 0
        )
        self._transmit(process.box.name, order.member.name, lambda: self._queue_input(order.member, order_ended))

    def _fall_over(self, process: _Process, act: wk.Overloaded):
        self.note(seen.PushedOver(self.now, process.box.address, process.boot, act.sent, act.allowed))
        self.down(process.box)

    def _start_fetch(self, process: _Process, act: wk.FetchWanted):
        self.note(seen.Count(self.now, "loads", 1))
        done = self.library.advance(self.now)
        fetch = Fetch(_FetchTag(process, act.load), act.load.info.fetch)
        if not self.library.begin(fetch):
            self.note(seen.Count(self.now, "turned away", 1))
            self._later(LOCAL_LINK.delay, partial(self._fetched, fetch, False))
        self._library_done(done)

    def _fetched(self, fetch: Fetch, ok: bool):
        tag = fetch.tag
        assert isinstance(tag, _FetchTag)
        if tag.process.up:
            tag.process.worker.fetched(self.now, tag.load, ok)
            self._apply_acts(tag.process)

    def _library_done(self, done: list[Fetch]):
        for fetch in done:
            self._fetched(fetch, True)
        due = self.library.next_due()
        if due < self.library_due or self.library_due <= self.now:
            self.library_due = due
            if due < math.inf:
                self._later(due - self.now, self._check_library)

    def _check_library(self):
        self.library_due = math.inf
        self._library_done(self.library.advance(self.now + 1e-6))

    # Troubles

    def _apply_step(self, step: Step):
        act = STEPS.get(step.what)
        if act is None:
            raise ValueError(f"step not supported in virtual time: {step.what}")
        act(self, step)

    def _replace(self, step: Step):
        """Starts a successor at another address while the old process finishes its forwards."""
        old = self.current_processes[step.target]
        self._drain_and_end(old, lambda: self._start_new(step), f"{old.box.address}+")

    def _renew(self, step: Step):
        old = self.current_processes[step.target]
        self._drain_and_end(old, None, old.box.address)

    def _drain_and_end(self, old: _Process, start_successor: Callable[[], None] | None, address: str):
        self.drain(old.box)

        def terminate():
            if not old.up:
                return
            old.worker.draining = True
            if start_successor is not None:
                start_successor()
            self._apply_acts(old)
            self._later(10_000.0, lambda: self.down(old.box) if old.up else None)
            self._after_end(old, start_successor is None)

        self._later(TERMINATE_AFTER_MS, terminate)

    def _after_end(self, old: _Process, restart: bool):
        if old.up:
            return self._later(10.0, partial(self._after_end, old, restart))
        if restart:
            self.start(old.box)
        elif self.processes.get(old.box.address) is old:
            self.publish(old.box, gone=True)

    def _start_new(self, step: Step):
        """Starts a cold process at an address of its own."""
        slot = self.plan.slots[step.target]
        count = sum(box.name == f"i{slot.number}" for box in self.invokers.values())
        box = VirtualInvoker(f"i{slot.number}", f"w{slot.number}+{count}", slot.zone, "", self.now, up=False)
        self.invokers[box.address] = box
        self.start(box)

    def _kill_step(self, step: Step):
        process = self.current_processes[step.target]
        boot = process.boot
        self.down(process.box)
        self._later(DEATH_LISTED_AFTER_MS, partial(self._found_gone, process.box, boot))

    def _stall(self, step: Step):
        name = f"c{step.target}"
        if name not in self.members:
            return
        self.pause_controllers({name}, True)
        self.changed()
        began = self.now

        def resume():
            self.pause_controllers({name}, False)
            self.note(seen.Stalled(began, step.target, self.now))
            self.changed()

        self._later(step.span, resume)

    def _controller_kill(self, step: Step):
        if f"c{step.target}" in self.members:
            self.kill(f"c{step.target}")

    def _controller_start(self, step: Step):
        name = f"c{step.target}"
        if name not in self.members:
            self.join(name, f"a{step.target}", None, None, step.target, self.controllers)

    def _roster_old(self, step: Step):
        _, self.version, rows = max(
            (snapshot for snapshot in self.roster_history if snapshot[0] <= self.now - step.value),
            default=self.roster_history[0],
            key=lambda snapshot: snapshot[0],
        )
        self.rows = dict(rows)
        self.roster_down()
        self._later(100.0, lambda: setattr(self, "roster_up", True))

    def _drain_zone(self, step: Step):
        """Gives the operators' command to the leader; repeats it for up to 15 s while there is no leader
        or the leader refuses for lack of capacity."""
        until = self.now + 15_000.0

        def ask():
            for member, parts in self.failover_states.items():
                if parts.failover.council.leads(self._time(member)):
                    if not parts.failover.drain(step.name, step.what == "drain-zone", False):
                        return
            if self.now < until:
                self._later(500.0, ask)

        ask()

    def _link(self, step: Step):
        if step.what == "heal":
            self.links.heal(step.name)
        elif len(step.sides) > 2:
            self.links.partition(step.name, step.sides, step.state.cut)
        else:
            side, other_side = step.sides
            self.links.put(step.name, side, other_side, step.state, step.both)
        self.changed()

    def changed(self) -> None:
        """Records a change of links or stalled controllers for the judge, and breaks the connections concerned."""
        sides, uneven = partition_sides(self.links, (f"c{n}" for n in range(self.controllers)))
        self.noted.append(Faulted(self.now, sides, sorted(self.paused), uneven))
        self.notes += self.bad_links.update(self.now, self.links, range(self.controllers), self.places)
        self.links_changed()

    @property
    def places(self) -> list[str]:
        return [f"i{slot.number}" for slot in self.plan.slots]

    def observe(self) -> None:
        super().observe()
        self.note_members()
        if self.views_kept:
            self.note_views()


EFFECTS: dict[type, Callable[[DayWorld, Group, Any], None]] = {
    ms.SendForward: DayWorld._send_forward,
    ms.Recall: DayWorld._recall,
    ms.AnswerReturned: DayWorld._answer_returned,
    ms.StreamBegun: DayWorld._stream_begun,
    ms.StreamEnded: DayWorld._stream_ended,
    ms.AnswerShed: DayWorld._answer_shed,
    ms.AnswerFailed: DayWorld._answer_failed,
    ms.SendOrder: DayWorld._send_order,
    ms.SendUnload: DayWorld._send_unload,
    ms.WakeAt: DayWorld._wake_at,
    ms.Note: DayWorld._count_module_fault,
    ms.Rejected: lambda world, member, effect: world._send_answer(member, effect.call, outcomes.MALFORMED, effect.why),
}
ACTS: dict[type, Callable[[DayWorld, _Process, Any], None]] = {
    wk.Finished: DayWorld._finished,
    wk.Refused: DayWorld._refuse,
    wk.Missed: DayWorld._miss,
    wk.Settled: DayWorld._order_settled,
    wk.Overloaded: DayWorld._fall_over,
    wk.FetchWanted: DayWorld._start_fetch,
}


def _set_library(**changes: Any) -> Callable[[DayWorld, Step], None]:
    def act(world: DayWorld, step: Step):
        world._library_done(world.library.advance(world.now))
        for name, value in changes.items():
            setattr(world.library, name, step.value if value is None else value)
        world._library_done([])

    return act


STEPS: dict[str, Callable[[DayWorld, Step], None]] = {
    "replace": DayWorld._replace,
    "renew": DayWorld._renew,
    "kill": DayWorld._kill_step,
    "listed-draining": lambda world, step: world.drain(world.current_processes[step.target].box),
    "restart": lambda world, step: world.start(world.current_processes[step.target].box),
    "start-new": DayWorld._start_new,
    "roster-old": DayWorld._roster_old,
    "roster-lag": lambda world, step: setattr(world, "extra", step.value),
    "roster-down": lambda world, step: world.roster_down(),
    "roster-up": lambda world, step: world.roster_down(False),
    "library-slow": _set_library(slowdown=None),
    "library-down": _set_library(down=True),
    "library-up": _set_library(down=False),
    "stall": DayWorld._stall,
    "controller-kill": DayWorld._controller_kill,
    "controller-start": DayWorld._controller_start,
    "clock-jump": lambda world, step: world.clock.update({f"c{step.target}": 180_000.0}),
    "drain-zone": DayWorld._drain_zone,
    "undrain-zone": DayWorld._drain_zone,
    "link": DayWorld._link,
    "heal": DayWorld._link,
}
