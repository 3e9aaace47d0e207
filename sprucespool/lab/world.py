"""A day's script in virtual time, on what the daemon runs: `Gateway` and policy, `Group`, `Fleet`, `Failover`.

What sockets carry in a stage of processes is handed over here, one event after the other from one seed; the worker and
library models, clients' habits, the schedule of troubles and what is written down are those of the stage. No I/O, no
clock.
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
from sprucespool.emulator.fleet import Box, status_of
from sprucespool.emulator.library import Fetch, Library, LibraryFacts
from sprucespool.emulator.plans import Habits, PlanWorld
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

# One way between two processes of a machine, ms; what a piece that is lost costs until it is sent again.
WAY, AGAIN = LinkState(0.2, 0.3), 200.0
# A dead process is listed as gone after so long; a drained one is told to end after so long.
NOTICED, TOLD_TO_END = 500.0, 200.0
# Results of a streamed inference, and what lies between them.
RESULTS, GAP = 5, 20.0
CANNOT = {"go-away", "half-frame"}


@dataclass(slots=True, eq=False)
class _Process:
    """An invoker's process; another one may stand at its address later."""

    slot: Slot
    box: Box
    boot: str
    worker: wk.Worker
    numbers: int = 0
    held: dict[wk.Job, _Held] = field(default_factory=dict)
    withheld: list[wk.Finished] = field(default_factory=list)
    looked_for: float = math.inf
    up: bool = True


@dataclass(slots=True, eq=False)
class _Held:
    """A forward at an invoker."""

    one: Group
    forward: int
    n: int
    id: str


@dataclass(slots=True, eq=False)
class _Out:
    """A forward as its controller holds it."""

    address: str
    group: str
    zone: str
    since: float
    due: float
    streaming: bool = False
    at: tuple[_Process, wk.Job] | None = None


@dataclass(slots=True, eq=False)
class _Order:
    """An order to load as its controller knows it."""

    one: Group
    number: int


@dataclass(slots=True, eq=False)
class _Fetching:
    process: _Process
    load: wk.Load


@dataclass(slots=True, eq=False)
class _Try:
    plan: Plan
    id: str
    nth: int
    begun: float
    ttl: float
    which: int
    over: bool = False


@dataclass(slots=True, eq=False)
class _Desk:
    """A controller's gateway and what it has open."""

    gateway: Gateway
    inputs: list[ms.Input] = field(default_factory=list)
    taking: bool = False
    wake_at: float = math.inf
    tries: dict[str, _Try] = field(default_factory=dict)
    out: dict[int, _Out] = field(default_factory=dict)
    sharing: tuple[int, float] = (0, 0.0)
    # Invokers that a roster told it of by itself, where no view is kept.
    ever: set[str] = field(default_factory=set)


class DayWorld(PlanWorld):
    """`controllers`: more of them than the script says, each zone with its part. Raises ValueError on a trouble that
    has no meaning without connections."""

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
            if trouble.kind in CANNOT:
                raise ValueError(f"trouble {trouble.kind}: not in virtual time, where nothing has connections")
        if day.told != "none":
            raise ValueError(f"told: expected none in virtual time, got {day.told!r}")
        self.day, self.module, self.gateway_kind = day, decider, gateway
        self.plan: Schedule = schedule(day)
        self.controllers = controllers or day.controllers
        self.catalog = catalog(day)
        self.notes: list[seen.Seen] = []
        self.desks: dict[Group, _Desk] = {}
        self.processes: dict[str, _Process] = {}
        self.standing: dict[int, _Process] = {}
        self.model_groups = {group.name: group for group in day.model_groups}
        self.bound_tenants = {tenant.name for tenant in day.tenants if tenant.stay}
        self.troubled = random.Random(day.seed * 100)
        self.client_chance = random.Random(day.seed + 77)
        self.turn = itertools.count()
        self.asking = RequestSource(day)
        self.library = Library(LibraryFacts(day.library.smooth, day.library.most))
        self.library_due = math.inf
        self.listed_due = 0.0
        # What the roster said when, to be restored from.
        self.copies: list[tuple[float, int, dict[str, RosterRow]]] = []
        self.views_kept = day.group is not None and day.group.view
        self.bad_links = BadLinks()
        fleet, told = day.fleet, day.failover
        super().__init__(
            self.controllers,
            len(self.plan.slots),
            day.seed,
            "common" if told is not None else "today",
            len(day.zones),
            1,
            Habits(1, cold_share=fleet.cold_share, warm_after=fleet.warm_after),
            voters=tuple(told.voters.split(",")) if told is not None else (),
            replace_after=told.replace_after if told is not None else 30_000.0,
            lag=day.roster.lag,
            grace=fleet.drain_grace,
            group_limits=GroupLimits(period=day.group.period, ack_within=0.3 * day.group.period)
            if day.group is not None
            else None,
            **kinds,
        )
        self.share = self.views_kept
        self.links.default = WAY
        # Over a connection what is lost is sent again.
        for n, distance in enumerate(day.distances if day.group else []):
            self.links.put(
                f"distance {n}",
                day.processes_named(distance.one),
                day.processes_named(distance.other),
                LinkState(distance.latency, distance.jitter),
            )
        for slot in self.plan.slots:
            box = self.boxes[f"w{slot.number}"]
            box.born = -3.6e6
            self._stand(slot, box, False)
            self.rows[box.address] = self._row(box)
        self.copies.append((0.0, self.version, dict(self.rows)))

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
        one = super().join(name, address, zone, seeds, number, of)
        plan = ControllerPlan(
            listen="127.0.0.1:0",
            roster=RosterSource(watch="127.0.0.1:1"),
            model_groups=self.day.model_groups,
            controller=At(number, self.controllers, one.about.zone, self.day.region_of(one.about.zone)),
            tenants=self.day.tenants,
            fleet=self.day.fleet,
            forwards=self.day.forwards,
            orders=self.day.orders,
            answers=self.day.answers,
        )
        gateway = self.gateway_kind(
            deployment(plan), self.day.seed * 10 + number, lambda effect: self._effect(one, effect), self.module
        )
        self.desks[one] = _Desk(gateway)
        self._give(one, ms.Roster(it.News.RESTORED.value))
        return one

    def kill(self, name: str) -> Group:
        one = super().kill(name)
        desk = self.desks.pop(one)
        self.note(seen.Killed(self.now, one.about.number))
        for tried in list(desk.tries.values()):
            self._later(0.5, partial(self._unreached, tried, True))
        for out in desk.out.values():
            if out.at is not None:
                self._cancelled(*out.at)
        return one

    def _tick(self, one: Group):
        # Alone without a group: it says nothing and hears nothing.
        if self.day.group is not None:
            super()._tick(one)
            self._shared(one)

    def _heard(self, to: str, message: Any):
        super()._heard(to, message)
        one = self.by_address.get(to)
        if one is not None:
            self._shared(one)

    def _shared(self, one: Group):
        desk = self.desks.get(one)
        if desk is None:
            return
        sharing = one.sharing()
        if sharing != desk.sharing:
            desk.sharing = sharing
            self._give(one, ms.Sharing(*sharing))

    def _forward(self, one: Group):
        """Clients of the day come by its own plan, not by the world's rate."""

    def _give(self, one: Group, given: ms.Input):
        """To the gateway, with all else that comes in the same turn of its loop."""
        desk = self.desks.get(one)
        if desk is None:
            return
        desk.inputs.append(given)
        if not desk.taking:
            desk.taking = True
            self._later(0.0, partial(self._take, one, desk))

    def _take(self, one: Group, desk: _Desk):
        if self.desks.get(one) is not desk:
            return
        if one.name in self.still:
            return self._later(10.0, partial(self._take, one, desk))
        desk.taking = False
        inputs, desk.inputs = desk.inputs, []
        desk.gateway.take(self._time(one), inputs)

    def _learned(self, one: Group, places: list[InvokerState], doubts: list[Suspicion]):
        if not self.views_kept:
            return
        for given in gateway_inputs(places, doubts, self.fleets[one].version, self._time(one)):
            self._give(one, given)

    # The roster

    def _row(self, box: Box, gone: bool = False) -> RosterRow:
        row = super()._row(box, gone)
        slot = self.plan.slots[int(box.name[1:])]
        return RosterRow(
            row.process, row.listed, gone, box.zone, slot.machines.kind, slot.cell, float(slot.machines.cores), row.age
        )

    def publish(self, box: Box, gone: bool = False) -> None:
        row = self._row(box, gone)
        due = self.now + self.lag * self.chance.uniform(0.7, 1.3) + self.extra
        # In order: who is gone is not listed again by what was on its way.
        self.listed_due = due = max(due, self.listed_due + 0.01)
        self._later(due - self.now, lambda: self._published(box, row))

    def _published(self, box: Box, row: RosterRow):
        super()._published(box, row)
        self.copies.append((self.now, self.version, dict(self.rows)))

    def _tell(self, one: Group, whole: bool, version: int, rows: list[RosterRow], source: str = "roster"):
        desk = self.desks.get(one)
        if desk is None or not self._reaches(one):
            return
        if one.name in self.still:
            return self._later(50.0, lambda: self._tell(one, whole, version, rows, source))
        number = one.about.number
        for row in rows:
            self.note(seen.Told(self.now, number, *row.process, status_of(row)))
        if whole:
            for address in sorted(desk.ever - {row.process[0] for row in rows}):
                self.note(seen.Told(self.now, number, address, "", "gone"))
        desk.ever |= {row.process[0] for row in rows}
        if self.views_kept:
            return super()._tell(one, whole, version, rows, source)
        told = [
            ms.Row(row.process[0], row.zone, row.kind, row.cell, status_of(row), row.size, row.process[1], row.age)
            for row in rows
        ]
        self._give(one, ms.Roster((it.News.REPLACE if whole else it.News.UPDATE).value, version, told))

    def _break(self, one: Group):
        was = one in self.minds and self.minds[one].connected
        super()._break(one)
        if was and not self.minds[one].connected and not self.views_kept:
            self._give(one, ms.Roster(it.News.UNAVAILABLE.value))

    # Clients

    def open_doors(self) -> None:
        """All of the day's inferences to come, and its troubles."""
        for plan in self.asking.first():
            self._later(plan.at - self.now, partial(self._send_try, plan, 0, 0.0, -1))
        for slot in self.plan.slots:
            for fault in self.plan.faults[slot.number]:
                self._later(fault.at - self.now, partial(self._fault, slot.number, fault))
        for step in self.plan.steps:
            self.at(step.at, partial(self._step, step))

    def _send_try(self, plan: Plan, nth: int, begun: float, avoid: int):
        group = self.model_groups[plan.group]
        begun = begun or self.now
        ttl = attempt_timeout(plan, group, nth, begun, self.now)
        if ttl < MIN_WAIT_MS:
            return self._next(plan)
        which = next(self.turn) % self.controllers
        if which == avoid:
            which = (which + 1) % self.controllers
        tried = _Try(plan, f"{plan.root}.{nth}", nth, begun, ttl, which)
        self.note(seen.Sent(self.now, tried.id, plan.root, which, plan.group, ttl, plan.tenant, nth))
        self._later(WAY.delay, partial(self._at_door, tried, self.now, self.now + ttl))
        wait = ttl + EXTRA_LISTEN_MS if plan.leave_share is None else ttl * plan.leave_share
        self._later(wait, partial(self._waited, tried))

    def _at_door(self, tried: _Try, sent: float, until: float):
        if tried.over:
            return
        one = self.members.get(f"c{tried.which}")
        if one is None:
            return self._unreached(tried, False)
        desk, plan = self.desks[one], tried.plan
        desk.tries[tried.id] = tried
        if one.name in self.still:
            # It waits in the socket.
            return self._later(10.0, partial(self._at_door, tried, sent, until))
        call = ms.Call(
            tried.id,
            plan.group,
            plan.model,
            max(0.0, until - self.now),
            plan.tenant,
            plan.hint,
            None,
            None,
            None,
            bool(tried.nth) and self.day.clients.marked,
            waited=max(0.0, self.now - sent - WAY.delay),
        )
        if self.day.failover is not None:
            part, group = self.parts[one], self.model_groups[plan.group]
            now, bound = self._time(one), bool(group.stay) or plan.tenant in self.bound_tenants
            if not call.repeat:
                part.meter.arrived(now, call.group, bound, call.work or group.slo_time / 4)
            call.zones = part.steer.zones(now, part.failover.follow(now), bound, group.value)
        self._give(one, call)

    def _waited(self, tried: _Try):
        if tried.over:
            return
        tried.over = True
        self.note((seen.NoAnswer if tried.plan.leave_share is None else seen.LeftEarly)(self.now, tried.id))
        one = self.members.get(f"c{tried.which}")
        if one is not None and self.desks[one].tries.pop(tried.id, None) is not None:
            self._later(WAY.delay, partial(self._give, one, ms.Left(tried.id)))
        self._next(tried.plan)

    def _next(self, plan: Plan):
        """Where a user asked, it asks again."""
        found = self.asking.after(plan, self.now)
        if found is not None:
            self._later(found.at - self.now, partial(self._send_try, found, 0, 0.0, -1))

    def _unreached(self, tried: _Try, sent: bool):
        if tried.over:
            return
        tried.over = True
        self.note(seen.Unreached(self.now, tried.id, sent))
        self._repeat(tried, None, not sent, self.day.clients.wait)

    def _answer(self, one: Group, call: str, status: Status, message: str = "", pushback: float | None = None):
        tried = self.desks[one].tries.pop(call, None)
        if tried is not None:
            self._later(WAY.delay, partial(self._answered, tried, status, message, pushback))

    def _answered(self, tried: _Try, status: Status, message: str, pushback: float | None):
        if tried.over:
            return
        tried.over = True
        self.note(seen.Answer(self.now, tried.id, int(status), message, pushback))
        wait = self.day.clients.wait
        if status is Status.RESOURCE_EXHAUSTED:
            wait = max(wait, pushback or 0.0)
        self._repeat(tried, status, False, wait)

    def _repeat(self, tried: _Try, status: Status | None, never_ran: bool, wait: float):
        if should_retry(
            tried.plan, self.model_groups[tried.plan.group], self.day.clients, tried.nth, status, never_ran
        ):
            self._later(
                wait * self.client_chance.uniform(0.8, 1.2),
                partial(self._send_try, tried.plan, tried.nth + 1, tried.begun, tried.which),
            )
        else:
            self._next(tried.plan)

    # Effects

    def _effect(self, one: Group, effect: ms.Effect):
        act = EFFECTS.get(type(effect))
        if act is not None:
            act(self, one, effect)

    def _wake_at(self, one: Group, effect: ms.WakeAt):
        desk = self.desks[one]
        desk.wake_at = effect.at

        def wake():
            if self.desks.get(one) is desk and desk.wake_at == effect.at:
                desk.wake_at = math.inf
                self._give(one, ms.Woke())

        self._later(max(0.0, effect.at - self._time(one)), wake)

    def _carried(self, source: str, to: str, then: Callable[[], None], refused: Callable[[], None] | None = None):
        """What goes over a connection: late where pieces are lost; nowhere while the link is cut."""
        state = self.links.between(source, to)
        if state.cut:
            if state.cut in ("refused", "reset") and refused is not None:
                self._later(1.0, refused)
            return
        again = AGAIN if state.loss and self.chance.random() < state.loss else 0.0
        self._later(state.delay + self.chance.random() * state.jitter + again, then)

    def _send_forward(self, one: Group, effect: ms.SendForward):
        desk, now = self.desks[one], self._time(one)
        tried = desk.tries.get(effect.call)
        if tried is None:
            return self._give(one, ms.ForwardEnded(effect.forward, it.Outcome.NOT_SENT.value))
        place = self.fleets[one].reported.get(effect.invoker)
        desk.out[effect.forward] = _Out(
            effect.invoker, tried.plan.group, place.zone if place else "", self.now, self.now + effect.time_out
        )
        if self.views_kept:
            self.fleets[one].sent(now, effect.forward, effect.invoker)
        ends = partial(self._forward_ends, one, effect.forward)
        there = self.processes.get(effect.invoker)
        name = there.box.name if there is not None else "nobody"
        self._carried(one.name, name, lambda: self._came(one, effect, tried, name), lambda: ends("unconnected"))

    def _came(self, one: Group, effect: ms.SendForward, tried: _Try, name: str):
        process, desk = self.processes.get(effect.invoker), self.desks.get(one)
        out = desk.out.get(effect.forward) if desk is not None else None
        if desk is None or out is None:
            return  # called off on its way
        ends = partial(self._forward_ends, one, effect.forward)
        if process is None or not process.up:
            return self._carried(name, one.name, lambda: ends("unconnected"))
        process.numbers += 1
        job = wk.Job(
            effect.forward,
            effect.model,
            tried.plan.work,
            tried.plan.root if self.model_groups[tried.plan.group].effect == "deduped" else "",
        )
        process.held[job] = _Held(one, effect.forward, process.numbers, tried.id)
        out.at = process, job
        self.note(
            seen.Came(
                self.now,
                process.box.address,
                process.boot,
                process.numbers,
                tried.id,
                one.about.number,
                tried.plan.work,
                effect.model,
            )
        )
        if self._on(process, "refuse"):
            process.worker._weigh(self.now, job.work)
            self._gone_from(process, job, "refused", "full")
        else:
            process.worker.arrive(self.now, job)
        self._after(process)

    def _forward_ends(
        self,
        one: Group,
        number: int,
        outcome: str,
        process: _Process | None = None,
        job: wk.Job | None = None,
        **told: Any,
    ):
        """The controller hears of a forward's end."""
        desk = self.desks.get(one)
        out = desk.out.get(number) if desk is not None else None
        if desk is None or out is None:
            return
        if one.name in self.still:
            return self._later(10.0, lambda: self._forward_ends(one, number, outcome, process, job, **told))
        found = job.found.replace("-", " ") if job is not None and outcome in ("returned", "full") else "untold"
        tells = process is not None and job is not None and self.day.invokers.tells
        if not tells:
            found = "untold"
        boot, draining, age = "", False, None
        if tells and process is not None and outcome in ("returned", "full"):
            boot, draining, age = process.boot, process.worker.draining, self.now - process.box.born
        self._eyes_ended(one, number, out, outcome, found, boot, draining, age)
        same = min(30, job.same_model) if tells and job is not None and outcome in ("returned", "full") else None
        self._give(one, ms.ForwardEnded(number, outcome, found, bool(told.get("load_failed")), same))

    def _eyes_ended(
        self,
        one: Group,
        number: int,
        out: _Out,
        outcome: str,
        found: str,
        boot: str = "",
        draining: bool = False,
        age: float | None = None,
    ):
        now = self._time(one)
        if self.views_kept:
            self.fleets[one].ended(now, number, outcome, boot, draining, age)
            self._fleet_do(one, [])
        if self.day.failover is not None and out.zone and outcome not in ("called off", "not sent"):
            part = self.parts[one]
            part.steer.ended(now, out.zone, outcome in ("returned", "full", "miss", "error"))
            part.meter.ended(
                now,
                out.group,
                out.zone,
                self.now - out.since,
                outcome,
                found in ("warm", "untold"),
                self.model_groups[out.group].slo_time,
            )

    def _recall(self, one: Group, effect: ms.Recall):
        out = self.desks[one].out.pop(effect.forward, None)
        if out is None:
            return
        over = self.now >= out.due - 1.0 and not out.streaming
        self._eyes_ended(
            one, effect.forward, out, (it.Outcome.TIMED_OUT if over else it.Outcome.CALLED_OFF).value, "untold"
        )
        if out.at is not None:
            process, job = out.at
            self._carried(one.name, process.box.name, lambda: self._cancelled(process, job))

    def _cancelled(self, process: _Process, job: wk.Job):
        held = process.held.pop(job, None)
        if held is not None and process.up:
            self.note(seen.Went(self.now, process.box.address, process.boot, held.n, "cancelled"))
            process.worker.cancel(self.now, job)
            self._after(process)

    def _returned(self, one: Group, effect: ms.AnswerReturned):
        self.desks[one].out.pop(effect.forward, None)
        self._answer(one, effect.call, Status.OK)

    def _stream_begun(self, one: Group, effect: ms.StreamBegun):
        out = self.desks[one].out.get(effect.forward)
        if out is not None:
            out.streaming = True

    def _stream_ended(self, one: Group, effect: ms.StreamEnded):
        self.desks[one].out.pop(effect.forward, None)
        self._answer(one, effect.call, Status.OK if effect.whole else outcomes.FAILED)

    def _shed(self, one: Group, effect: ms.AnswerShed):
        self._answer(one, effect.call, outcomes.SHED, "shed", float(round(effect.retry_after)))

    def _failed(self, one: Group, effect: ms.AnswerFailed):
        self._answer(one, effect.call, outcomes.FAILED_LATE if effect.late else outcomes.FAILED, "failed")

    def _send_order(self, one: Group, effect: ms.SendOrder):
        there = self.processes.get(effect.invoker)
        name = there.box.name if there is not None else "nobody"

        def came():
            process = self.processes.get(effect.invoker)
            if process is None or not process.up:
                return self._carried(
                    name, one.name, lambda: self._give(one, ms.OrderEnded(effect.order, "unconnected"))
                )
            self.note(
                seen.Ordered(self.now, process.box.address, process.boot, one.about.number, effect.model, effect.copies)
            )
            if self._on(process, "hang") is None:
                process.worker.order(self.now, wk.Ask(_Order(one, effect.order), effect.model, min(16, effect.copies)))
                self._after(process)

        self._carried(one.name, name, came, lambda: self._give(one, ms.OrderEnded(effect.order, "unconnected")))

    def _send_unload(self, one: Group, effect: ms.SendUnload):
        process = self.processes.get(effect.invoker)
        if process is not None and process.up:
            worker = process.worker

            def came():
                worker.unload(self.now, effect.model)

            self._carried(one.name, process.box.name, came)

    def _noted(self, one: Group, effect: ms.Note):
        if effect.fault:
            self.note(seen.Count(self.now, "module faults", 1))

    # Invokers

    def _stand(self, slot: Slot, box: Box, cold: bool) -> _Process:
        machines = slot.machines
        worker = wk.Worker(worker_facts(self.day, machines), self.catalog, self.now, cold=cold)
        process = _Process(slot, box, box.boot, worker)
        self.processes[box.address] = self.standing[slot.number] = process
        self.note(
            seen.Booted(
                self.now, box.address, box.boot, machines.cores, machines.speed, cold, slot.zone, slot.cell, box.name
            )
        )
        for fault in self.plan.faults[slot.number]:
            if fault.kind in ("crawl", "hang") and fault.at <= self.now < fault.at + fault.lasts:
                self._later(0.0, partial(self._fault, slot.number, fault))
        return process

    def start(self, box: Box) -> None:
        super().start(box)
        self._stand(self.plan.slots[int(box.name[1:])], box, True)

    def down(self, box: Box) -> None:
        box.up = False
        process = self.processes[box.address]
        if not process.up:
            return
        process.up = False
        self.note(seen.Died(self.now, box.address, process.boot))
        for held in list(process.held.values()):
            self._carried(box.name, held.one.name, partial(self._forward_ends, held.one, held.forward, "reset"))
        process.held.clear()
        for ask in process.worker.asks:
            order = ask.tag
            assert isinstance(order, _Order)
            self._give(order.one, ms.OrderEnded(order.number, "reset"))

    def _on(self, process: _Process, kind: str) -> Fault | None:
        return next(
            (
                fault
                for fault in self.plan.faults[process.slot.number]
                if fault.kind == kind and fault.at <= self.now < fault.at + fault.lasts
            ),
            None,
        )

    def _fault(self, number: int, fault: Fault):
        process, ends = self.standing[number], fault.at + fault.lasts
        worker = process.worker
        if self.now >= ends and fault.kind != "flush" or not process.up:
            return
        if fault.kind == "crawl":
            worker.crawl = fault.factor
            self._later(ends - self.now, lambda: setattr(worker, "crawl", 1.0))
        elif fault.kind == "pauses":
            worker.stand_still(self.now, fault.span)
            self._later(fault.every, partial(self._fault, number, fault))
        elif fault.kind == "flush":
            part = fault.share * 2**32
            worker.flush([model for model in worker.copies if zlib.crc32(model.encode()) < part])
        elif fault.kind == "hang":
            self._later(ends - self.now, partial(self._unhang, process))
        self._after(process)

    def _unhang(self, process: _Process):
        withheld, process.withheld = process.withheld, []
        for act in withheld:
            self._finished(process, act)

    def _after(self, process: _Process):
        """Carry out what the worker's last step left."""
        worker = process.worker
        while worker.acts and process.up:
            acts, worker.acts = worker.acts, []
            for act in acts:
                ACTS[type(act)](self, process, act)
        due = worker.next_due()
        if due < process.looked_for and process.up and not worker.fallen:
            process.looked_for = due
            self._later(max(0.0, due - self.now), partial(self._look_at, process, due))
        if worker.draining and worker.idle and not process.held and process.up:
            self.down(process.box)

    def _look_at(self, process: _Process, due: float):
        # An earlier look has been there since, and set another one.
        if process.up and process.looked_for == due:
            process.looked_for = math.inf
            process.worker.look(self.now)
            self._after(process)

    def _gone_from(self, process: _Process, job: wk.Job, how: str, outcome: str, **told: Any) -> None:
        """A forward ends at its invoker; the word of it goes to its controller."""
        held = process.held.pop(job, None)
        if held is None:
            return
        self.note(seen.Went(self.now, process.box.address, process.boot, held.n, how))
        self._carried(
            process.box.name,
            held.one.name,
            lambda: self._forward_ends(held.one, held.forward, outcome, process, job, **told),
        )

    def _finished(self, process: _Process, act: wk.Finished):
        job = act.job
        if self._on(process, "hang"):
            process.withheld.append(act)
            return
        held, lost = process.held.get(job), self._on(process, "answer-lost")
        if held is None:
            return
        if lost and self.troubled.random() < lost.share:
            return self._gone_from(process, job, "lost", "reset")
        out = self.desks[held.one].out.get(held.forward) if held.one in self.desks else None
        if out is not None and self.model_groups[out.group].streamed:
            self._carried(process.box.name, held.one.name, lambda: self._give(held.one, ms.FirstResult(held.forward)))
            return self._later((RESULTS - 1) * GAP, lambda: self._gone_from(process, job, "returned", "returned"))
        self._gone_from(process, job, "returned", "returned")

    def _refused(self, process: _Process, act: wk.Refused):
        self._gone_from(process, act.job, "refused", "full")

    def _missed(self, process: _Process, act: wk.Missed):
        self._gone_from(process, act.job, "missed", "miss", load_failed=act.load_failed and self.day.invokers.tells)

    def _settled(self, process: _Process, act: wk.Settled):
        order = act.ask.tag
        assert isinstance(order, _Order)
        ended = ms.OrderEnded(
            order.number, "returned" if act.stands else "full", act.standing if self.day.invokers.tells else 0
        )
        self._carried(process.box.name, order.one.name, lambda: self._give(order.one, ended))

    def _fell(self, process: _Process, act: wk.Fell):
        self.note(seen.PushedOver(self.now, process.box.address, process.boot, act.sent, act.allowed))
        self.down(process.box)

    def _fetch(self, process: _Process, act: wk.FetchWanted):
        self.note(seen.Count(self.now, "loads", 1))
        done = self.library.advance(self.now)
        fetch = Fetch(_Fetching(process, act.load), act.load.info.fetch)
        if not self.library.begin(fetch):
            self.note(seen.Count(self.now, "turned away", 1))
            self._later(WAY.delay, partial(self._fetched, fetch, False))
        self._library_done(done)

    def _fetched(self, fetch: Fetch, ok: bool):
        asked = fetch.tag
        assert isinstance(asked, _Fetching)
        if asked.process.up:
            asked.process.worker.fetched(self.now, asked.load, ok)
            self._after(asked.process)

    def _library_done(self, done: list[Fetch]):
        for fetch in done:
            self._fetched(fetch, True)
        due = self.library.next_due()
        if due < self.library_due or self.library_due <= self.now:
            self.library_due = due
            if due < math.inf:
                self._later(due - self.now, self._library_look)

    def _library_look(self):
        self.library_due = math.inf
        self._library_done(self.library.advance(self.now + 1e-6))

    # Troubles

    def _step(self, step: Step):
        act = STEPS.get(step.what)
        if act is None:
            raise ValueError(f"no such step in virtual time: {step.what}")
        act(self, step)

    def _replace(self, step: Step):
        """Its successor starts elsewhere while it ends what it has."""
        old = self.standing[step.target]
        self._renew_at(old, lambda: self._start_new(step), f"{old.box.address}+")

    def _renew(self, step: Step):
        old = self.standing[step.target]
        self._renew_at(old, None, old.box.address)

    def _renew_at(self, old: _Process, anew: Callable[[], None] | None, address: str):
        self.drain(old.box)

        def told_to_end():
            if not old.up:
                return
            old.worker.draining = True
            if anew is not None:
                anew()
            self._after(old)
            self._later(10_000.0, lambda: self.down(old.box) if old.up else None)
            self._ended_then(old, anew is None)

        self._later(TOLD_TO_END, told_to_end)

    def _ended_then(self, old: _Process, again: bool):
        if old.up:
            return self._later(10.0, partial(self._ended_then, old, again))
        if again:
            self.start(old.box)
        elif self.processes.get(old.box.address) is old:
            self.publish(old.box, gone=True)

    def _start_new(self, step: Step):
        """A cold process at an address of its own."""
        slot = self.plan.slots[step.target]
        count = sum(box.name == f"i{slot.number}" for box in self.boxes.values())
        box = Box(f"i{slot.number}", f"w{slot.number}+{count}", slot.zone, "", self.now, up=False)
        self.boxes[box.address] = box
        self.start(box)

    def _kill_step(self, step: Step):
        process = self.standing[step.target]
        boot = process.boot
        self.down(process.box)
        self._later(NOTICED, partial(self._found_gone, process.box, boot))

    def _stall(self, step: Step):
        name = f"c{step.target}"
        if name not in self.members:
            return
        self.hold({name}, True)
        self.changed()
        began = self.now

        def goes_on():
            self.hold({name}, False)
            self.note(seen.Stalled(began, step.target, self.now))
            self.changed()

        self._later(step.span, goes_on)

    def _controller_kill(self, step: Step):
        if f"c{step.target}" in self.members:
            self.kill(f"c{step.target}")

    def _controller_start(self, step: Step):
        name = f"c{step.target}"
        if name not in self.members:
            self.join(name, f"a{step.target}", None, None, step.target, self.controllers)

    def _roster_old(self, step: Step):
        _, self.version, rows = max(
            (one for one in self.copies if one[0] <= self.now - step.value),
            default=self.copies[0],
            key=lambda one: one[0],
        )
        self.rows = dict(rows)
        self.roster_down()
        self._later(100.0, lambda: setattr(self, "roster_up", True))

    def _drain_zone(self, step: Step):
        """The operators' command, asked of whoever leads; again while nobody does or the figures say no."""
        until = self.now + 15_000.0

        def ask():
            for one, part in self.parts.items():
                if part.failover.council.leads(self._time(one)):
                    if not part.failover.drain(step.name, step.what == "drain-zone", False):
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
            one, other = step.sides
            self.links.put(step.name, one, other, step.state, step.both)
        self.changed()

    def changed(self) -> None:
        """Links or who is held changed: for the judges, and for those whose connections broke."""
        sides, uneven = partition_sides(self.links, (f"c{n}" for n in range(self.controllers)))
        self.noted.append(Faulted(self.now, sides, sorted(self.still), uneven))
        self.notes += self.bad_links.update(self.now, self.links, range(self.controllers), self.places)
        self.links_changed()

    @property
    def places(self) -> list[str]:
        return [f"i{slot.number}" for slot in self.plan.slots]

    def look(self) -> None:
        super().look()
        self.note_members()
        if self.views_kept:
            self.note_views()


EFFECTS: dict[type, Callable[[DayWorld, Group, Any], None]] = {
    ms.SendForward: DayWorld._send_forward,
    ms.Recall: DayWorld._recall,
    ms.AnswerReturned: DayWorld._returned,
    ms.StreamBegun: DayWorld._stream_begun,
    ms.StreamEnded: DayWorld._stream_ended,
    ms.AnswerShed: DayWorld._shed,
    ms.AnswerFailed: DayWorld._failed,
    ms.SendOrder: DayWorld._send_order,
    ms.SendUnload: DayWorld._send_unload,
    ms.WakeAt: DayWorld._wake_at,
    ms.Note: DayWorld._noted,
    ms.Rejected: lambda world, one, effect: world._answer(one, effect.call, outcomes.MALFORMED, effect.why),
}
ACTS: dict[type, Callable[[DayWorld, _Process, Any], None]] = {
    wk.Finished: DayWorld._finished,
    wk.Refused: DayWorld._refused,
    wk.Missed: DayWorld._missed,
    wk.Settled: DayWorld._settled,
    wk.Fell: DayWorld._fell,
    wk.FetchWanted: DayWorld._fetch,
}


def _library(**what: Any) -> Callable[[DayWorld, Step], None]:
    def act(world: DayWorld, step: Step):
        world._library_done(world.library.advance(world.now))
        for name, value in what.items():
            setattr(world.library, name, step.value if value is None else value)
        world._library_done([])

    return act


STEPS: dict[str, Callable[[DayWorld, Step], None]] = {
    "replace": DayWorld._replace,
    "renew": DayWorld._renew,
    "kill": DayWorld._kill_step,
    "listed-draining": lambda world, step: world.drain(world.standing[step.target].box),
    "restart": lambda world, step: world.start(world.standing[step.target].box),
    "start-new": DayWorld._start_new,
    "roster-old": DayWorld._roster_old,
    "roster-lag": lambda world, step: setattr(world, "extra", step.value),
    "roster-down": lambda world, step: world.roster_down(),
    "roster-up": lambda world, step: world.roster_down(False),
    "library-slow": _library(slow=None),
    "library-down": _library(down=True),
    "library-up": _library(down=False),
    "stall": DayWorld._stall,
    "controller-kill": DayWorld._controller_kill,
    "controller-start": DayWorld._controller_start,
    "clock-jump": lambda world, step: world.clock.update({f"c{step.target}": 180_000.0}),
    "drain-zone": DayWorld._drain_zone,
    "undrain-zone": DayWorld._drain_zone,
    "link": DayWorld._link,
    "heal": DayWorld._link,
}
