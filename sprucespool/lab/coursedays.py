"""A course of the fault search as a day: the same faults at the same times, played on the module and over sockets.

What has no twin in a day comes nearest: a controller that leaves and comes back is killed and comes back, clients that
ask more in one zone do so everywhere, and half of a zone's invokers are replaced one after the other.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from sprucespool.emulator.hunt import VOTERS, Course, Fault, CourseResult
from sprucespool.emulator.plans import WorldParameters
from sprucespool.gateway import Gateway
from sprucespool.judge.group import BrokenInvariant
from sprucespool.lab.days import play
from sprucespool.settings.controller import Fleet, Group, Orders, ZonePlace
from sprucespool.standin.baselines import DECIDERS, GATEWAYS
from sprucespool.standin.script import Day, DayFailover, DayGroup, Machines, RosterHabits, Traffic, Trouble

# What a course goes on after its last fault; what its judges give the group and the view to settle.
AFTER, SETTLES, FLEET_SETTLES = 50_000.0, 45_000.0, 20_000.0
MOST_CONTROLLERS = 32
# The module's own, and those without one of its guards.
MODULE_BUILDS = ("sound", *(name for name in DECIDERS if name.startswith("broken-")))


def as_day(course: Course) -> Day:
    """Raises ValueError on a course that is too large for a day."""
    if course.controllers > MOST_CONTROLLERS:
        raise ValueError(f"controllers: expected at most {MOST_CONTROLLERS} in a day, got {course.controllers}")
    habits, zones = WorldParameters(), [f"z{n}" for n in range(course.zones)]
    run = sum(habits.run) / 2
    rate = habits.load * course.invokers * habits.cores / (run / 1000.0)
    last = max((fault.at + fault.lasts for fault in course.faults), default=0.0)
    troubles = [trouble for fault in course.faults for trouble in TWINS[fault.kind](course, fault)]
    return Day(
        f"{course.build}-{course.seed}",
        last + AFTER,
        [Machines("plain", course.invokers, habits.cores)],
        [Group("line", 600.0, 1_500.0), Group("home", 600.0, 1_500.0, effect="non-retriable", stay="region")],
        [
            Traffic("line", round(rate * (1 - habits.stays), 1), models=6, work=run),
            Traffic("home", round(rate * habits.stays, 1), models=2, work=run),
        ],
        seed=course.seed,
        controllers=course.controllers,
        zones=zones,
        # Limits that bind, so that a module without one of its guards is told.
        fleet=Fleet(
            drain_grace=500.0,
            cold_share=habits.cold_share,
            warm_after=habits.warm_after,
            fall_multiple=2.0,
            fall_window=1_000.0,
        ),
        orders=Orders(floor=4.0, share=0.2, window=1_000.0),
        roster=RosterHabits(lag=300.0),
        troubles=sorted(troubles, key=lambda trouble: trouble.at),
        group=DayGroup(
            alike_within=SETTLES,
            cleared_within=SETTLES,
            dead_within=SETTLES,
            view=True,
            fleet_alike_within=FLEET_SETTLES,
            spread_within=FLEET_SETTLES,
            replaced_within=FLEET_SETTLES,
        ),
        failover=DayFailover(
            ",".join(f"c{n}" for n in range(VOTERS)),
            replace_after=1e9,
            follow_within=FLEET_SETTLES,
            near_within=SETTLES,
        ),
        places=[ZonePlace(zone, f"r{n % course.regions}") for n, zone in enumerate(zones)],
    )


def played(course: Course) -> CourseResult:
    """On the module, under the five rules besides. Raises ValueError on a build that the module's world has not."""
    if course.build not in MODULE_BUILDS:
        raise ValueError(f"build: expected one of {', '.join(MODULE_BUILDS)}, got {course.build!r}")
    decider = DECIDERS[course.build if course.build in DECIDERS else "hiku"]
    came = play(as_day(course), decider, None, GATEWAYS.get(course.build, Gateway))
    rules = [BrokenInvariant(f"rule {one.rule}", one.at, one.what) for one in came.broken]
    return CourseResult(course, rules + came.invariants, came.events)


def _others(course: Course, fault: Fault) -> str:
    return ",".join(f"c{n}" for n in range(course.controllers) if f"c{n}" not in fault.names)


def _everything(course: Course) -> str:
    return ",".join([*(f"z{n}" for n in range(course.zones)), "roster"])


def _invokers(kind: str, **more: Any) -> Callable[[Course, Fault], list[Trouble]]:
    return lambda course, fault: [Trouble(kind, fault.at, fault.lasts, what=fault.zone, **more)]


def _controllers(kind: str, lasts: bool = False) -> Callable[[Course, Fault], list[Trouble]]:
    return lambda course, fault: [
        Trouble(kind, fault.at, fault.lasts if lasts else 0.0, span=fault.lasts, what=name)
        for name in sorted(fault.names)
    ]


def _parted(course: Course, fault: Fault) -> list[Trouble]:
    if not (others := _others(course, fault)):
        return []
    return [
        Trouble(
            "partition",
            fault.at,
            fault.lasts,
            between=",".join(sorted(fault.names)),
            and_=others,
            way="there" if fault.kind == "one-way" else "both",
        )
    ]


def _links(kind: str, **more: Any) -> Callable[[Course, Fault], list[Trouble]]:
    def twin(course: Course, fault: Fault) -> list[Trouble]:
        every = _everything(course)
        return [Trouble(kind, fault.at, fault.lasts, between=every, and_=every, **more)]

    return twin


def _roster_one(course: Course, fault: Fault) -> list[Trouble]:
    others = _others(course, fault)
    return [Trouble("partition", fault.at, fault.lasts, between="roster", and_=others)] if others else []


TWINS: dict[str, Callable[[Course, Fault], list[Trouble]]] = {
    "invokers-lost": _invokers("invokers-lost"),
    "hang": _invokers("hang", share=1.0),
    "renew": _invokers("renew", share=0.5, batch=1),
    "drained": _invokers("renew", share=0.5, batch=1),
    "kill": _controllers("controller-restart"),
    "leave": _controllers("controller-restart"),
    "gone": _controllers("controller-kill"),
    "hold": _controllers("controller-stop", lasts=True),
    "part": _parted,
    "one-way": _parted,
    "lossy": _links("link-lossy", share=0.05),
    "slow": _links("link-slow", span=150.0),
    "roster-down": lambda course, fault: [Trouble("roster-down", fault.at, fault.lasts)],
    "roster-one": _roster_one,
    "rising": lambda course, fault: [Trouble("burst", fault.at, fault.lasts, factor=1.5)],
}
