"""Converts a course of the fault search to a day with the same faults at the same times, for the module and sockets.

Faults without an exact equivalent in a day get the nearest one: a controller that leaves and returns is killed and
restarted, a rise of requests in one zone becomes a rise in all zones, and half of a zone's invokers are replaced one
after the other.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from sprucespool.emulator.hunt import VOTERS, Course, CourseResult, Fault
from sprucespool.emulator.plans import WorldParameters
from sprucespool.gateway import Gateway
from sprucespool.judge.group import BrokenInvariant
from sprucespool.lab.days import play
from sprucespool.settings.controller import Fleet, Group, Orders, ZonePlace
from sprucespool.standin.baselines import DECIDERS, GATEWAYS
from sprucespool.standin.script import Day, DayFailover, DayGroup, Machines, RosterHabits, Traffic, Trouble

# Time that a course runs on after its last fault, and the judge's bounds for the group and the fleet view to settle.
RUN_ON_MS, GROUP_SETTLE_MS, FLEET_SETTLE_MS = 50_000.0, 45_000.0, 20_000.0
MAX_CONTROLLERS = 32
# The unchanged module, and the builds that lack one of its guards.
MODULE_BUILDS = ("sound", *(name for name in DECIDERS if name.startswith("broken-")))


def as_day(course: Course) -> Day:
    """Raises ValueError for a course that has too many controllers for a day."""
    if course.controllers > MAX_CONTROLLERS:
        raise ValueError(f"controllers: expected at most {MAX_CONTROLLERS} in a day, got {course.controllers}")
    habits, zones = WorldParameters(), [f"z{n}" for n in range(course.zones)]
    run = sum(habits.run) / 2
    rate = habits.load * course.invokers * habits.cores / (run / 1000.0)
    last_end = max((fault.at + fault.lasts for fault in course.faults), default=0.0)
    troubles = [trouble for fault in course.faults for trouble in CONVERTERS[fault.kind](course, fault)]
    return Day(
        f"{course.build}-{course.seed}",
        last_end + RUN_ON_MS,
        [Machines("plain", course.invokers, habits.cores)],
        [Group("line", 600.0, 1_500.0), Group("home", 600.0, 1_500.0, effect="non-retriable", stay="region")],
        [
            Traffic("line", round(rate * (1 - habits.stays), 1), models=6, work=run),
            Traffic("home", round(rate * habits.stays, 1), models=2, work=run),
        ],
        seed=course.seed,
        controllers=course.controllers,
        zones=zones,
        # Limits that are tight enough to expose a module that lacks one of its guards.
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
            alike_within=GROUP_SETTLE_MS,
            cleared_within=GROUP_SETTLE_MS,
            dead_within=GROUP_SETTLE_MS,
            view=True,
            fleet_alike_within=FLEET_SETTLE_MS,
            spread_within=FLEET_SETTLE_MS,
            replaced_within=FLEET_SETTLE_MS,
        ),
        failover=DayFailover(
            ",".join(f"c{n}" for n in range(VOTERS)),
            replace_after=1e9,
            follow_within=FLEET_SETTLE_MS,
            near_within=GROUP_SETTLE_MS,
        ),
        places=[ZonePlace(zone, f"r{n % course.regions}") for n, zone in enumerate(zones)],
    )


def run_course(course: Course) -> CourseResult:
    """Runs a course on the module and also checks the five rules. Raises ValueError for an unknown build."""
    if course.build not in MODULE_BUILDS:
        raise ValueError(f"build: expected one of {', '.join(MODULE_BUILDS)}, got {course.build!r}")
    decider = DECIDERS[course.build if course.build in DECIDERS else "hiku"]
    result = play(as_day(course), decider, None, GATEWAYS.get(course.build, Gateway))
    rules = [BrokenInvariant(f"rule {broken.rule}", broken.at, broken.what) for broken in result.broken]
    return CourseResult(course, rules + result.invariants, result.events)


def _other_controllers(course: Course, fault: Fault) -> str:
    return ",".join(f"c{n}" for n in range(course.controllers) if f"c{n}" not in fault.names)


def _all_places(course: Course) -> str:
    return ",".join([*(f"z{n}" for n in range(course.zones)), "roster"])


def _invoker_trouble(kind: str, **options: Any) -> Callable[[Course, Fault], list[Trouble]]:
    return lambda course, fault: [Trouble(kind, fault.at, fault.lasts, what=fault.zone, **options)]


def _controller_trouble(kind: str, lasts: bool = False) -> Callable[[Course, Fault], list[Trouble]]:
    return lambda course, fault: [
        Trouble(kind, fault.at, fault.lasts if lasts else 0.0, span=fault.lasts, what=name)
        for name in sorted(fault.names)
    ]


def _partition(course: Course, fault: Fault) -> list[Trouble]:
    if not (others := _other_controllers(course, fault)):
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


def _link_trouble(kind: str, **options: Any) -> Callable[[Course, Fault], list[Trouble]]:
    def convert(course: Course, fault: Fault) -> list[Trouble]:
        places = _all_places(course)
        return [Trouble(kind, fault.at, fault.lasts, between=places, and_=places, **options)]

    return convert


def _roster_partition(course: Course, fault: Fault) -> list[Trouble]:
    others = _other_controllers(course, fault)
    return [Trouble("partition", fault.at, fault.lasts, between="roster", and_=others)] if others else []


CONVERTERS: dict[str, Callable[[Course, Fault], list[Trouble]]] = {
    "invokers-lost": _invoker_trouble("invokers-lost"),
    "hang": _invoker_trouble("hang", share=1.0),
    "renew": _invoker_trouble("renew", share=0.5, batch=1),
    "drained": _invoker_trouble("renew", share=0.5, batch=1),
    "kill": _controller_trouble("controller-restart"),
    "leave": _controller_trouble("controller-restart"),
    "gone": _controller_trouble("controller-kill"),
    "hold": _controller_trouble("controller-stop", lasts=True),
    "part": _partition,
    "one-way": _partition,
    "lossy": _link_trouble("link-lossy", share=0.05),
    "slow": _link_trouble("link-slow", span=150.0),
    "roster-down": lambda course, fault: [Trouble("roster-down", fault.at, fault.lasts)],
    "roster-one": _roster_partition,
    "rising": lambda course, fault: [Trouble("burst", fault.at, fault.lasts, factor=1.5)],
}
