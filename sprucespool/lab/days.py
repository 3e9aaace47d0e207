"""A day's script played in virtual time and judged as its processes are: the same rules, table and invariants."""

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

# After the day's end clients still wait for what they asked.
AFTER, LOOK = 6_000.0, 500.0


@dataclass(slots=True)
class Played:
    """What came of a day in virtual time. `settled` and `near` in ms from the last fault."""

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


def sized(day: Day, invokers: int) -> Day:
    """The same day for another fleet: as many of each kind of machine, as much traffic, as large a library as is its
    part."""
    had = sum(machines.count for machines in day.machines)
    machines = [msgspec.structs.replace(one, count=max(1, round(one.count * invokers / had))) for one in day.machines]
    traffics = [
        msgspec.structs.replace(one, rate=one.rate * invokers / had, users=round(one.users * invokers / had))
        for one in day.traffics
    ]
    # Seen: 120 invokers at the library of 18 loaded for a minute, and what was measured was that.
    library = msgspec.structs.replace(
        day.library,
        smooth=max(1, round(day.library.smooth * invokers / had)),
        most=max(1, round(day.library.most * invokers / had)),
    )
    return msgspec.structs.replace(day, machines=machines, traffics=traffics, library=library)


def begun(
    day: Day,
    decider: Callable[[it.Deployment, int], Decider] = Controller,
    controllers: int | None = None,
    gateway: type[Gateway] = Gateway,
    **kinds: Any,
) -> DayWorld:
    """A day's world at its first moment. Raises ValueError on a day that cannot be played so."""
    world = DayWorld(day, decider, controllers, gateway, **kinds)
    if day.group is not None:
        world.looking(LOOK)
    world.open_doors()
    return world


def ended(world: DayWorld) -> Played:
    """Play it from where it stands to its end, and judge it. Raises StandsStill."""
    world.run(world.day.lasts + AFTER - world.now)
    world.notes += world.bad_links.close_all(world.now)
    return _came(world)


def play(day: Day, *how: Any, **kinds: Any) -> Played:
    """As `begun`, to the end."""
    return ended(begun(day, *how, **kinds))


def _came(world: DayWorld) -> Played:
    day, notes = world.day, world.notes
    groups = {group.name: GroupValue(group.slo_time, group.value, group.late_value) for group in day.model_groups}
    found = Played(
        day.name, day.seed, world.controllers, score(notes, groups), judge(notes, facts(day)), events=next(world.number)
    )
    found.faults = sum(isinstance(one, seen.Count) and one.name == "module faults" for one in notes)
    told = day.group
    if told is None:
        return found
    group = world.group_verdict(group_seen.Bounds(told.alike_within, told.cleared_within, told.dead_within))
    found.invariants += [BrokenInvariant(f"group {one.which}", one.at, one.what) for one in group.broken]
    found.settled = group.settled
    if told.view:
        fleet = world.verdict(
            fleet_seen.FleetBounds(
                told.fleet_alike_within, day.fleet.drain_grace, told.spread_within, told.replaced_within
            )
        )
        found.invariants += [BrokenInvariant(f"fleet {one.which}", one.at, one.what) for one in fleet.broken]
    if day.failover is not None:
        failover = _failover(world, day)
        found.invariants += [BrokenInvariant(f"failover {one.which}", one.at, one.what) for one in failover.broken]
        found.followed, found.crossed = failover.settled, failover.crossed
    return found


def _failover(world: DayWorld, day: Day) -> failover_seen.FailoverVerdict:
    told = day.failover
    assert told is not None
    zones = {number: world.zone_of(number) for number in range(world.controllers)}
    reached = attempts_reached(day, world.notes, zones)
    first = min((trouble.at for trouble in day.troubles), default=day.lasts)
    bounds = failover_seen.FailoverBounds(
        world.topology.regions,
        3_000.0,
        first,
        world.last_fault,
        frozenset(world.members),
        told.cap_slack,
        told.slack_cores,
        told.over_for,
        changes=told.changes,
        follow_within=told.follow_within,
        near_within=told.near_within,
    )
    return failover_seen.check(world.views, reached, bounds, world.now)
