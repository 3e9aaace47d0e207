"""Runs a day's script in virtual time and judges it by the same rules, table and invariants as a stage of processes."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import msgspec

from sprucespool import interface as it
from sprucespool.gateway import Decider, Gateway
from sprucespool.judge import BrokenRule, Table, judge, score, seen
from sprucespool.judge import failover as failover_seen
from sprucespool.judge import fleet as fleet_seen
from sprucespool.judge import group as group_seen
from sprucespool.judge.group import BrokenInvariant
from sprucespool.judge.score import GroupValue
from sprucespool.lab.world import DayWorld
from sprucespool.policy import Controller
from sprucespool.standin.script import Day
from sprucespool.standin.verdicts import attempts_reached, facts

# Time after the day's end in which clients still wait for answers, and the interval of the checks of the group.
SETTLE_MS, CHECK_INTERVAL_MS = 6_000.0, 500.0


@dataclass(slots=True)
class DayResult:
    """The result of a day in virtual time. `settled` and `followed` are in ms from the last fault."""

    day: str
    seed: int
    controllers: int
    table: Table
    broken: list[BrokenRule]
    invariants: list[BrokenInvariant] = field(default_factory=list)
    settled: float | None = None
    followed: float | None = None
    crossed: float = 0.0
    events: int = 0
    faults: int = 0

    def as_dict(self) -> dict[str, Any]:
        return {
            "day": self.day,
            "seed": self.seed,
            "controllers": self.controllers,
            **self.table.as_dict(),
            "rules_broken": len(self.broken),
            "broken": [f"rule {b.rule}: {b.what}" for b in self.broken[:20]],
            "invariants_broken": [f"({b.which}) {b.what}" for b in self.invariants[:20]],
            "settled_ms": self.settled,
            "followed_ms": self.followed,
            "crossed": self.crossed,
            "module_faults": self.faults,
            "events": self.events,
        }


def scaled(day: Day, invokers: int) -> Day:
    """The same day with the machines of each kind, the traffic and the library scaled to another number of invokers."""
    base_count = sum(machines.count for machines in day.machines)
    machines = [
        msgspec.structs.replace(kind, count=max(1, round(kind.count * invokers / base_count))) for kind in day.machines
    ]
    traffics = [
        msgspec.structs.replace(
            traffic, rate=traffic.rate * invokers / base_count, users=round(traffic.users * invokers / base_count)
        )
        for traffic in day.traffics
    ]
    # With the library of 18 invokers, 120 invokers took a minute to load models, and that dominated the measurement.
    library = msgspec.structs.replace(
        day.library,
        smooth=max(1, round(day.library.smooth * invokers / base_count)),
        most=max(1, round(day.library.most * invokers / base_count)),
    )
    return msgspec.structs.replace(day, machines=machines, traffics=traffics, library=library)


def start_day(
    day: Day,
    decider: Callable[[it.Deployment, int], Decider] = Controller,
    controllers: int | None = None,
    gateway: type[Gateway] = Gateway,
    **kinds: Any,
) -> DayWorld:
    """Creates the world of a day at time 0. Raises ValueError for a day that cannot run in virtual time."""
    world = DayWorld(day, decider, controllers, gateway, **kinds)
    if day.group is not None:
        world.observe_every(CHECK_INTERVAL_MS)
    world.schedule_day()
    return world


def finish_day(world: DayWorld) -> DayResult:
    """Runs the world from its current time to the end of the day and judges it. Raises StandsStill."""
    world.run(world.day.lasts + SETTLE_MS - world.now)
    world.notes += world.bad_links.close_all(world.now)
    return _judge_day(world)


def play(day: Day, *how: Any, **kinds: Any) -> DayResult:
    """Runs a whole day; takes the arguments of `start_day`."""
    return finish_day(start_day(day, *how, **kinds))


def _judge_day(world: DayWorld) -> DayResult:
    day, notes = world.day, world.notes
    groups = {group.name: GroupValue(group.slo_time, group.value, group.late_value) for group in day.model_groups}
    result = DayResult(
        day.name, day.seed, world.controllers, score(notes, groups), judge(notes, facts(day)), events=next(world.number)
    )
    result.faults = sum(isinstance(note, seen.Count) and note.name == "module faults" for note in notes)
    bounds = day.group
    if bounds is None:
        return result
    group = world.group_verdict(group_seen.Bounds(bounds.alike_within, bounds.cleared_within, bounds.dead_within))
    result.invariants += [BrokenInvariant(f"group {broken.which}", broken.at, broken.what) for broken in group.broken]
    result.settled = group.settled
    if bounds.view:
        fleet = world.verdict(
            fleet_seen.FleetBounds(
                bounds.fleet_alike_within, day.fleet.drain_grace, bounds.spread_within, bounds.replaced_within
            )
        )
        result.invariants += [
            BrokenInvariant(f"fleet {broken.which}", broken.at, broken.what) for broken in fleet.broken
        ]
    if day.failover is not None:
        failover = _judge_failover(world, day)
        result.invariants += [
            BrokenInvariant(f"failover {broken.which}", broken.at, broken.what) for broken in failover.broken
        ]
        result.followed, result.crossed = failover.settled, failover.crossed
    return result


def _judge_failover(world: DayWorld, day: Day) -> failover_seen.FailoverVerdict:
    script = day.failover
    assert script is not None
    zones = {number: world.zone_of(number) for number in range(world.controllers)}
    reached = attempts_reached(day, world.notes, zones)
    first_fault = min((trouble.at for trouble in day.troubles), default=day.lasts)
    bounds = failover_seen.FailoverBounds(
        world.topology.regions,
        3_000.0,
        first_fault,
        world.last_fault,
        frozenset(world.members),
        script.cap_slack,
        script.slack_cores,
        script.over_for,
        changes=script.changes,
        follow_within=script.follow_within,
        near_within=script.near_within,
    )
    return failover_seen.check(world.views, reached, bounds, world.now)
