"""Controllers that follow plans of zones in virtual time: invokers with queues, lost zones, failing links.

The objects that run in the daemon (`Group`, `Fleet`, `Failover`, `Steer`, `Meter`, `gauge`, `Spread`) over a world of
invokers with cores and queues; deterministic from its seed. The invoker within a zone is simply chosen (fewest own
forwards in flight, ties at random) and alike for all deciders, since what is compared is where traffic goes.

`today`: the nearest zone with a usable invoker, by own observations and the fleet's view alone. `alone`: each
controller plans for itself. `common`: the plan that the council has in force. `top`: the exact solver with perfect
knowledge, at once.
"""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from functools import partial
from typing import Any

from sprucespool.emulator.fleet import FleetWorld, VirtualInvoker
from sprucespool.emulator.liars import LyingMeter
from sprucespool.failover import (
    Codec,
    Failover,
    Gauge,
    GaugeLimits,
    LoadReport,
    Meter,
    Plan,
    PlanMessage,
    Planner,
    PlannerLimits,
    RenewalDelivery,
    Reports,
    SendToVoter,
    ServingInvoker,
    Spread,
    Steer,
    StoreBallot,
    Topology,
    ZoneState,
    home_plan,
)
from sprucespool.failover.council import Ballot, Effect
from sprucespool.fleet import Fleet, InvokerState
from sprucespool.judge import failover as judged
from sprucespool.membership import Group, GroupLimits, Message

DECIDERS = ("today", "alone", "common", "top")
SLO_MS, TTL_MS, GROUP = 600.0, 1_500.0, "line"
TICK_MS = 250.0


@dataclass(slots=True)
class WorldParameters:
    """`load`: demand as a fraction of all warm cores; `stays`: the fraction of it that must stay in its region.

    `run`: range of run times (ms).
    """

    cores: int = 2
    queue: int = 12
    run: tuple[float, float] = (80.0, 240.0)
    load: float = 0.5
    stays: float = 0.1
    cold_share: float = 0.25
    warm_after: float = 15_000.0


@dataclass(slots=True, eq=False)
class _FailoverState:
    """The failover objects of one controller."""

    failover: Failover
    steer: Steer
    meter: Meter
    spread: Spread
    planner: Planner
    gauge: Gauge
    plan: Plan
    reports: Reports = field(default_factory=Reports)
    own: dict[str, int] = field(default_factory=dict)


@dataclass(slots=True)
class Came:
    """Outcome of a run. `worst_10s`: lowest service within ten seconds; `zones`: service by zone of clients.

    Times in ms."""

    decider: str
    seed: int
    asked: int
    service: float
    worst_10s: float
    shed: float
    crossed: float
    zones: dict[str, float]
    settled: float | None
    near: float | None
    plans: int
    broken: list[str]


class PlanWorld(FleetWorld):
    """`size` controllers and `invokers` invokers in `zones` zones of `regions` regions."""

    def __init__(
        self,
        size: int,
        invokers: int,
        seed: int = 1,
        decider: str = "common",
        zones: int = 6,
        regions: int = 3,
        parameters: WorldParameters | None = None,
        kind: type[Failover] = Failover,
        steer: type[Steer] = Steer,
        limits: PlannerLimits | None = None,
        voters: int | tuple[str, ...] = 3,
        replace_after: float = 30_000.0,
        fleet: type[Fleet] = Fleet,
        group_limits: GroupLimits | None = None,
        **more: Any,
    ):
        if decider not in DECIDERS:
            raise ValueError(f"decider: expected one of {', '.join(DECIDERS)}, got {decider!r}")
        self.decider, self.parameters, self.failover_kind, self.steer_kind = (
            decider,
            parameters or WorldParameters(),
            kind,
            steer,
        )
        self.topology = Topology(self.regions_of(zones, regions))
        self.planner_limits = limits or PlannerLimits()
        self.plan_codec = Codec("virtual", "mark")
        self.voters = tuple(f"c{n}" for n in range(voters)) if isinstance(voters, int) else voters
        self.replace_after = replace_after
        self.failover_states: dict[Group, _FailoverState] = {}
        self.ballots: dict[str, Ballot] = {}
        self.queues: dict[str, deque[float]] = {}
        self.asked: list[tuple[float, str, bool]] = []
        self.reached: list[judged.Reached] = []
        self.views: list[judged.PlanView] = []
        # Each controller's clients have their own random numbers, so that all deciders meet the same traffic.
        self.clients: dict[str, random.Random] = {}
        self.shed, self.last_fault, self.first_fault = 0, 0.0, float("inf")
        # By zone: factor of its clients' demand, factor by which its invokers are slower. By invoker: full until when.
        self.demand_factor: dict[str, float] = {}
        self.full_until: dict[str, float] = {}
        self.slowness: dict[str, float] = {}
        mean = sum(self.parameters.run) / 2
        rate = self.parameters.load * invokers * self.parameters.cores / (mean / 1000.0) / size
        self.perfect_states: dict[str, ZoneState] = {}
        super().__init__(size, invokers, seed, True, rate, kind=fleet, zones=zones, limits=group_limits, **more)
        self.load = lambda one: self.failover_states[one].meter.measure(self.now) if one in self.failover_states else ()
        self.latency: dict[tuple[str, str], tuple[float, float]] = {}
        for one, other in ((a, b) for a in self.topology.zones for b in self.topology.zones if a < b):
            same = self.topology.same_region(one, other)
            self.latency[one, other] = self.latency[other, one] = (1.0, 3.0) if same else (8.0, 14.0)
        self._later(0.0, self._plan_perfectly)

    def regions_of(self, zones: int, regions: int) -> dict[str, str]:
        """Returns the region of each zone."""
        return {f"z{n}": f"r{n % regions}" for n in range(zones)}

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
        ballot = self.ballots.get(name, Ballot() if name in self.voters else None)
        home = one.about.zone
        self.failover_states[one] = _FailoverState(
            self.failover_kind(
                name,
                self.topology,
                self.voters,
                ballot,
                self.seed * 31 + number,
                planner_limits=self.planner_limits,
                replace_after=self.replace_after,
            ),
            self.steer_kind(home, self.topology),
            Meter(home),
            Spread(self.seed * 37 + number),
            Planner(self.topology, self.planner_limits),
            Gauge(self.topology, GaugeLimits(self.parameters.cold_share, self.parameters.warm_after)),
            home_plan(self.topology.zones),
        )
        self._later(self.chance.uniform(0, TICK_MS), lambda: self._plan_tick(one))
        return one

    def kill(self, name: str) -> Group:
        one = super().kill(name)
        self.failover_states.pop(one)
        return one

    # Data attached to group messages, and messages of failover itself

    def _wrapped(self, one: Group, message: Message) -> Any:
        wrapped = super()._wrapped(one, message)
        if self.decider != "common" or one not in self.failover_states:
            return wrapped
        failover = self.failover_states[one].failover
        return (
            *wrapped,
            self.plan_codec.encode(
                PlanMessage(one.name, failover.epoch, None, failover.council.renewal(self._time(one)))
            ),
        )

    def _delivered(self, one: Group, message: Any):
        if isinstance(message, PlanMessage):
            return self._receive_plan(one, message)
        if isinstance(message, tuple) and len(message) == 3:
            super()._delivered(one, message[:2])
            return self._receive_plan(one, self.plan_codec.decode(message[2]))
        super()._delivered(one, message)

    def _receive_plan(self, one: Group, said: PlanMessage):
        part, now = self.failover_states.get(one), self._time(one)
        if part is None:
            return
        if said.renewal is not None:
            part.failover.receive_renewal(now, said.renewal)
            self._pass_on(one, Spread.relay(said.renewal, said.pass_on))
        if said.metrics:
            if any(row.name == said.sender for row in one.live()):
                part.reports.receive(now, said.sender, said.metrics)
        if said.council_message is not None:
            self._carry_out_plan(one, part.failover.receive(now, said.council_message))

    def _pass_on(self, one: Group, passes: list[RenewalDelivery]):
        for passed in passes:
            self.post(one.name, passed.to, PlanMessage(one.name, (0, 0), None, passed.renewal, passed.pass_on))

    def _carry_out_plan(self, one: Group, effects: list[Effect]):
        for effect in effects:
            if isinstance(effect, StoreBallot):
                self.ballots[one.name] = effect.ballot
            elif isinstance(effect, SendToVoter):
                row = self.members.get(effect.to)
                if row is not None:
                    self.post(one.name, row.address, PlanMessage(one.name, (0, 0), effect.message))

    # A controller's planning

    def states(self, one: Group) -> dict[str, ZoneState]:
        now, fleet = self._time(one), self.fleets[one]
        standing = [
            ServingInvoker(
                place.zone,
                place.size * self.parameters.cores,
                None if place.born is None else now - place.born,
                place.address in fleet.suspected,
            )
            for place in fleet.reported.values()
            if place.status == "in service"
        ]
        loaded = [LoadReport(one.about.zone, *self.failover_states[one].meter.measure(now), reported_at=now)]
        part = self.failover_states[one]
        for row in one.live():
            told, at = part.reports.of(now, row.name, row.figures)
            if row.seat != one.me.seat and len(told) == 5:
                free, bound, did, well, soon = told
                loaded.append(LoadReport(row.about.zone, free, bound, did, well, soon, row.name, at))
        plan = part.plan if self.decider == "alone" else part.failover.council.in_force(now)
        return part.gauge.states(now, standing, loaded, plan)

    def _plan_tick(self, one: Group):
        if one not in self.failover_states:
            return
        self._later(TICK_MS, lambda: self._plan_tick(one))
        if one.name in self.paused or self.decider in ("today", "top"):
            return
        part, now = self.failover_states[one], self._time(one)
        council = part.failover.council
        if self.decider == "alone" or council.is_voter or council.in_force(now) is None or not int(now / TICK_MS) % 8:
            # A mere follower needs the states for its own safety only, so it checks them less often.
            states = self.states(one)
            part.steer.serving_zones = frozenset(zone for zone, state in states.items() if state.now > 0) or None
            if not states[one.about.zone].warm:
                part.meter.forget_outcomes()
            part.failover.update_states(now, states)
            part.failover.update_members({row.name: row.about.zone for row in one.live()})
            if self.decider == "alone":
                part.plan = part.planner.next(now, states, part.plan) or part.plan
        if self.decider == "common":
            report = part.meter.report_if_due(now)
            for voter in council.voters:
                if report is not None and voter in self.members and voter != one.name:
                    self.post(one.name, self.members[voter].address, PlanMessage(one.name, (0, 0), metrics=report))
            self._carry_out_plan(one, part.failover.tick(now))
            if council.leads(now):
                self._pass_on(
                    one,
                    part.spread.distribute(
                        now, council.renewal(now), [row.address for row in one.live() if row.seat != one.me.seat]
                    ),
                )

    def _plan_perfectly(self):
        """Plans with perfect knowledge of all zones, for `top`."""
        self._later(TICK_MS, self._plan_perfectly)
        if self.decider != "top":
            return
        cores = dict.fromkeys(self.topology.zones, 0.0)
        for invoker in self.invokers.values():
            if invoker.up and not invoker.hung and not invoker.draining:
                cores[invoker.zone] += self._speed(invoker) * self.parameters.cores
        alive: dict[str, int] = {}
        for member in self.members.values():
            alive[member.about.zone] = alive.get(member.about.zone, 0) + 1
        mean = sum(self.parameters.run) / 2_000.0
        self.perfect_states = {}
        for zone in self.topology.zones:
            asked = alive.get(zone, 0) * self.rate * self.demand_factor.get(zone, 1.0) * mean
            self.perfect_states[zone] = ZoneState(
                zone, cores[zone], cores[zone], asked * (1 - self.parameters.stays), asked * self.parameters.stays
            )
        free, bound, caps, _ = Planner(self.topology, self.planner_limits).target(self.perfect_states)
        plan = Plan((1, 1), free, bound, caps)
        for part in self.failover_states.values():
            part.plan = plan

    def _zones(self, one: Group, bound: bool) -> tuple[str, ...]:
        part, now = self.failover_states[one], self._time(one)
        if self.decider == "today":
            return (
                tuple(self.topology.zones)
                if not bound
                else tuple(zone for zone in self.topology.zones if self.topology.same_region(zone, one.about.zone))
            )
        plan = part.failover.follow(now) if self.decider == "common" else part.plan
        return part.steer.zones(now, plan, bound, 1.0)

    # Inferences

    def _forward(self, one: Group):
        if one not in self.routings:
            return
        rate = self.rate * self.demand_factor.get(one.about.zone, 1.0)
        clients = self.clients.setdefault(one.name, random.Random(f"{self.seed} {one.name}"))
        self._later(clients.expovariate(rate) * 1000, lambda: self._forward(one))
        bound, work = clients.random() < self.parameters.stays, clients.uniform(*self.parameters.run)
        if one.name in self.paused or not self.routings[one].places:
            return
        self.failover_states[one].meter.arrived(self._time(one), GROUP, bound, sum(self.parameters.run) / 2)
        self._attempt(one, self._zones(one, bound), bound, work, self.now, 0)

    def _attempt(self, one: Group, zones: tuple[str, ...], bound: bool, work: float, since: float, nth: int):
        if one not in self.routings:
            return
        home, own = one.about.zone, self.failover_states[one].own
        usable = [
            place
            for place in self._usable(one)
            if place.zone in (zones if nth or self.decider == "today" else zones[:1])
            and self.full_until.get(place.address, 0.0) <= self.now
        ]
        if not usable or nth > 1 or self.now - since > SLO_MS:
            self.shed += not usable
            return self.asked.append((since, home, False))
        if self.decider == "today":
            lowest_cost = min(self.topology.cost(home, place.zone) for place in usable)
            usable = [place for place in usable if self.topology.cost(home, place.zone) <= lowest_cost]
        fewest = min(own.get(place.address, 0) for place in usable)
        usable = [place for place in usable if own.get(place.address, 0) == fewest]
        place = usable[self.chance.randrange(len(usable))]
        own[place.address] = own.get(place.address, 0) + 1
        invoker, number = self.invokers.get(place.address), next(self.numbers)
        self.figures.forwards += 1
        self.fleets[one].sent(self._time(one), number, place.address)
        min_delay, max_delay = self.latency.get((home, place.zone), (0.5, 1.5))
        delay = self.chance.uniform(min_delay, max_delay)
        then = partial(self._ended, one, number, place, bound, work, since, nth, zones)
        if invoker is not None:
            self.in_flight[number] = one, invoker, invoker.boot
            self._later(delay, lambda: self._at_invoker(one, number, invoker, bound, work, nth, delay, then))

    def _speed(self, invoker: VirtualInvoker) -> float:
        grown = min(1.0, max(0.0, self.now - invoker.born) / self.parameters.warm_after)
        return (self.parameters.cold_share + (1 - self.parameters.cold_share) * grown) / self.slowness.get(
            invoker.zone, 1.0
        )

    def _at_invoker(
        self,
        one: Group,
        number: int,
        invoker: VirtualInvoker,
        bound: bool,
        work: float,
        nth: int,
        delay: float,
        then: Callable[[str, float], None],
    ):
        if number not in self.in_flight:
            return then("reset", 0.0)
        if (
            self.links.between(one.name, invoker.name).cut
            or self.links.between(invoker.name, one.name).cut
            or invoker.hung
        ):
            return self._later(TTL_MS - SLO_MS, lambda: then("timed out", 0.0))
        if not invoker.up:
            return self._later(delay, lambda: then("unconnected", 0.0))
        self.reached.append(judged.Reached(self.now, one.name, one.about.zone, invoker.zone, work, bound, nth > 0))
        ends = self.queues.setdefault(invoker.address, deque())
        while ends and ends[0] <= self.now:
            ends.popleft()
        if len(ends) >= self.parameters.queue:
            return self._later(delay, lambda: then("full", 0.0))
        # The queue holds the end times of the accepted work; work begins at the earliest time when a core is free.
        busy = sorted(ends)
        begins = self.now if len(busy) < self.parameters.cores else busy[len(busy) - self.parameters.cores]
        done = begins + work / self._speed(invoker)
        ends.append(done)
        if len(ends) > 1 and ends[-2] > done:
            self.queues[invoker.address] = deque(sorted(ends))
        self._later(done - self.now + delay, lambda: then("returned", done - self.now))

    def _ended(
        self,
        one: Group,
        number: int,
        place: InvokerState,
        bound: bool,
        work: float,
        since: float,
        nth: int,
        zones: tuple[str, ...],
        outcome: str,
        ran: float,
    ):
        if number in self.in_flight:
            del self.in_flight[number]
        elif outcome == "returned":
            outcome = "reset"
        part = self.failover_states.get(one)
        if part is None:
            return
        part.own[place.address] -= 1
        now, well = self._time(one), outcome == "returned"
        self.figures.returned += well
        self.figures.refused += outcome in ("unconnected", "reset")
        self.figures.timed_out += outcome == "timed out"
        routing, invoker = self.routings[one], self.invokers[place.address]
        if outcome == "full":
            # As the policy does: no more forwards to this invoker for about a run time.
            self.full_until[place.address] = self.now + sum(self.parameters.run) / 4
        if well or outcome == "full":
            routing.avoided_until.pop(place.address, None)
            routing.backoff.pop(place.address, None)
        else:
            backoff = routing.backoff[place.address] = min(8_000.0, 2 * routing.backoff.get(place.address, 500.0))
            routing.avoided_until[place.address] = self.now + backoff
        self.fleets[one].ended(
            now,
            number,
            outcome,
            *((invoker.boot, invoker.draining, self.now - invoker.born) if well else ("", False, None)),
        )
        self._carry_out(one, [])
        part.steer.ended(now, place.zone, well or outcome == "full")
        part.meter.ended(now, GROUP, place.zone, self.now - since, "returned" if well else "timed out", True, SLO_MS)
        if well:
            return self.asked.append((since, one.about.zone, self.now - since <= SLO_MS))
        # After a rejection as full the inference stays in its zone: the plan's next zones are not for overflow.
        self._attempt(
            one, zones[:1] if outcome == "full" and self.decider != "today" else zones, bound, work, since, nth + 1
        )

    # Faults

    def at(self, when: float, action: Callable[[], None]) -> None:
        """Schedules a fault, or its end, at `when` of virtual time."""

        def happen():
            action()
            self.last_fault = self.now

        self.first_fault = min(self.first_fault, when)
        self._later(when - self.now, happen)

    def lose_zones(self, zones: set[str]) -> None:
        """Kills all invokers of the zones at once."""
        for invoker in self.invokers.values():
            if invoker.zone in zones and invoker.up:
                self.down(invoker)
                self._later(500.0, partial(self._found_gone, invoker, invoker.boot))

    def _found_gone(self, invoker: VirtualInvoker, boot: str):
        if not invoker.up and invoker.boot == boot:
            self.publish(invoker, gone=True)

    def restore_zones(self, zones: set[str]) -> None:
        """Starts the lost invokers of the zones again, cold."""
        for invoker in self.invokers.values():
            if invoker.zone in zones and not invoker.up:
                self.start(invoker)

    def pause_controllers(self, names: set[str], held: bool) -> None:
        self.paused = self.paused | names if held else self.paused - names

    # Observation

    def observe(self) -> None:
        for name, one in self.members.items():
            part, now = self.failover_states[one], self._time(one)
            plan = part.failover.council.in_force(now) if self.decider == "common" else None
            if plan is not None:
                self.views.append(
                    judged.PlanView(
                        self.now, name, one.start, plan.epoch, str((plan.free, plan.bound, plan.caps)), plan.caps
                    )
                )
            else:
                self.views.append(judged.PlanView(self.now, name, one.start, (0, 0), ""))

    def result(self, bounds: judged.FailoverBounds | None = None) -> Came:
        """Judges the run so far and returns its outcome."""
        begin = 3_000.0
        run_bounds = replace(
            bounds or judged.FailoverBounds(),
            regions=self.topology.regions,
            calm_from=begin,
            calm_until=min(self.first_fault, self.now),
            last_fault=self.last_fault,
            live=frozenset(self.members),
        )
        verdict = judged.check(self.views if self.decider == "common" else [], self.reached, run_bounds, self.now)
        broken = [one for one in verdict.broken if self.decider == "common" or one.which == "d"]
        asked = [one for one in self.asked if one[0] >= begin]
        seconds = [[0, 0] for _ in range(int(self.now / 1000.0) + 1)]
        by_zone: dict[str, list[int]] = {zone: [0, 0] for zone in self.topology.zones}
        for at, zone, good in asked:
            for counts in (seconds[int(at / 1000.0)], by_zone[zone]):
                counts[0] += good
                counts[1] += 1
        windows = [
            (sum(one[0] for one in seconds[n : n + 10]), sum(one[1] for one in seconds[n : n + 10]))
            for n in range(int(begin / 1000.0), len(seconds) - 11)
        ]
        return Came(
            self.decider,
            self.seed,
            len(asked),
            sum(good for *_, good in asked) / max(1, len(asked)),
            min((good / of for good, of in windows if of), default=1.0),
            self.shed / max(1, len(asked)),
            verdict.crossed,
            {zone: round(good / max(1, of), 4) for zone, (good, of) in by_zone.items()},
            verdict.settled,
            verdict.near,
            verdict.plans,
            [f"({one.which}) {one.what}" for one in broken],
        )


def zone_lost(world: PlanWorld, duration: float = 30_000.0) -> None:
    world.at(10_000.0, lambda: world.lose_zones({"z0"}))
    world.at(10_000.0 + duration, lambda: world.restore_zones({"z0"}))


def region_lost(world: PlanWorld) -> None:
    world.at(10_000.0, lambda: world.lose_zones({"z0", "z3"}))
    world.at(40_000.0, lambda: world.restore_zones({"z0", "z3"}))


def flapping(world: PlanWorld) -> None:
    for n in range(8):
        world.at(10_000.0 + 4_000.0 * n, lambda: world.lose_zones({"z0"}))
        world.at(12_000.0 + 4_000.0 * n, lambda: world.restore_zones({"z0"}))


def grey(world: PlanWorld) -> None:
    """The invokers of a zone are ten times slower and half of them hang, while they report good health."""

    def begin():
        world.slowness["z0"] = 10.0
        for n, invoker in enumerate(one for one in world.invokers.values() if one.zone == "z0"):
            invoker.hung = n % 2 == 0

    def end():
        world.slowness.pop("z0")
        for invoker in world.invokers.values():
            invoker.hung = False

    world.at(10_000.0, begin)
    world.at(40_000.0, end)


def rising(world: PlanWorld) -> None:
    """Load rises to 1.2 times the remaining capacity while a zone is lost."""

    def set_demand(factor: float):
        world.demand_factor.update(dict.fromkeys(world.topology.zones, factor))

    zone_lost(world)
    world.at(15_000.0, lambda: set_demand(1.2 / world.parameters.load * (1 - 1 / len(world.topology.zones))))
    world.at(30_000.0, lambda: set_demand(1.0))


def makers_lost(world: PlanWorld) -> None:
    """The makers of the plan die as a zone is lost; another zone is lost a second later; the makers restart."""
    zone_lost(world)

    def kill_makers():
        for name in ("c0", "c1"):
            world.kill(name)

    def restart():
        for n in (0, 1):
            world.join(f"c{n}", f"a{n}", f"z{n}", number=n, of=len(world.members) + 1)

    world.at(10_500.0, kill_makers)
    world.at(11_000.0, lambda: world.lose_zones({"z1"}))
    world.at(25_000.0, restart)
    world.at(40_000.0, lambda: world.restore_zones({"z1"}))


def makers_held(world: PlanWorld) -> None:
    """The controllers that made the plan are stopped for 5 s and resume with an old lease."""
    zone_lost(world)
    world.at(10_500.0, lambda: world.pause_controllers({"c0", "c1", "c2"}, True))
    world.at(15_500.0, lambda: world.pause_controllers({"c0", "c1", "c2"}, False))


def halves(world: PlanWorld) -> None:
    """A partition: each side considers the other gone, while a zone is lost and the roster is down."""

    def side(n: int) -> set[str]:
        return {name for name, one in world.members.items() if int(one.about.zone[1:]) % 2 == n}

    world.at(10_000.0, lambda: world.partition([side(0), side(1)]))
    world.at(11_000.0, lambda: world.roster_down())
    world.at(12_000.0, lambda: world.lose_zones({"z1"}))
    world.at(32_000.0, lambda: world.roster_down(False))
    world.at(32_000.0, lambda: world.heal())
    world.at(40_000.0, lambda: world.restore_zones({"z1"}))


def clocks(world: PlanWorld) -> None:
    """The clocks of a third of the controllers, one voter among them, jump minutes ahead while a zone is lost."""
    zone_lost(world)
    world.at(12_000.0, lambda: world.clock.update({f"c{n}": 180_000.0 for n in range(0, len(world.members), 3)}))


def voters_lost(world: PlanWorld) -> None:
    """Two of three voters die for good, one long after the other; then a zone is lost."""

    def die(name: str):
        world.kill(name)

    world.at(10_000.0, partial(die, "c0"))
    world.at(35_000.0, partial(die, "c1"))
    world.at(50_000.0, lambda: world.lose_zones({"z3"}))
    world.at(60_000.0, lambda: world.restore_zones({"z3"}))


def liar(world: PlanWorld) -> None:
    """One controller reports a demand of a million cores in its zone, and that the home zone answers nothing."""

    def lie():
        one = world.members["c6"]
        world.failover_states[one].meter = LyingMeter(one.about.zone)

    world.at(8_000.0, lie)
    zone_lost(world)


CASES: dict[str, Callable[[PlanWorld], None]] = {
    "quiet": lambda world: None,
    "zone lost 5 s": lambda world: zone_lost(world, 5_000.0),
    "zone lost 30 s": zone_lost,
    "region lost": region_lost,
    "flapping": flapping,
    "grey zone": grey,
    "load to 1.2 of what is left": rising,
    "makers lost": makers_lost,
    "makers held": makers_held,
    "halves": halves,
    "clocks": clocks,
    "liar": liar,
    "voters lost": voters_lost,
}


def play(
    case: str,
    decider: str,
    seed: int = 1,
    size: int = 60,
    invokers: int = 36,
    duration: float = 75_000.0,
    every: float = 1_000.0,
    bounds: judged.FailoverBounds | None = None,
    **more: Any,
) -> Came:
    world = PlanWorld(size, invokers, seed, decider, **more)
    world.observe_every(every)
    CASES[case](world)
    world.run(duration)
    return world.result(bounds)
