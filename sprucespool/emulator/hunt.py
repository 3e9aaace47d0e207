"""Fault search: courses of faults drawn by chance against all that must hold, and the fewest faults that break it.

The objects that run in the daemon (`Group`, `Fleet`, `Failover`, `Steer`) in virtual time, all three judges over them.
A course is plain data; the same course and seed play the same, so a broken one is a bug report (`write`, `read`).
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import msgspec

from sprucespool.emulator.fleet import VirtualInvoker
from sprucespool.emulator.plans import PlanWorld
from sprucespool.faults import LinkState
from sprucespool.fleet import Fleet
from sprucespool.judge import failover as failover_seen
from sprucespool.judge import fleet as fleet_seen
from sprucespool.judge import group as group_seen
from sprucespool.judge.group import BrokenInvariant, Ended, Faulted
from sprucespool.membership import Group
from sprucespool.settings.kdl import Duration

KINDS = {
    "invokers-lost": "invokers of `zone` are killed and start anew after `lasts`",
    "hang": "invokers of `zone` take forwards and answer none",
    "renew": "invokers of `zone` drain and are replaced at their addresses",
    "kill": "the controllers `who` are killed and start anew after `lasts`",
    "gone": "the controllers `who` are killed for good",
    "hold": "the controllers `who` are held still",
    "leave": "the controllers `who` leave and start anew after `lasts`",
    "part": "the controllers `who` and the others do not reach each other",
    "one-way": "the controllers `who` reach the others no more, and hear them",
    "lossy": "a twentieth of all messages is lost",
    "slow": "all messages take 150 ms longer",
    "roster-down": "the roster reaches nobody",
    "roster-one": "the roster reaches the controllers `who` alone",
    "rising": "clients in `zone` ask half as much again",
}
# Besides those that are drawn blindly: of use only together with others.
KINDS_GUIDED = {"drained": "half the invokers of `zone` drain, and are replaced when `lasts` is over"}
FIRST, LAST = 6_000.0, 26_000.0
VOTERS = 3


class Fault(msgspec.Struct, frozen=True):
    """At `at` ms of the course's time it begins, and ends `lasts` later."""

    __args__ = ("kind",)
    kind: str
    at: Duration
    lasts: Duration
    zone: str = ""
    who: str = ""

    def __post_init__(self):
        if self.kind not in KINDS and self.kind not in KINDS_GUIDED:
            raise ValueError(f"expected one of {', '.join((*KINDS, *KINDS_GUIDED))}, got {self.kind!r}")
        if self.at < 0 or self.lasts <= 0:
            raise ValueError("expected at of 0 or more and lasts above 0")

    @property
    def names(self) -> set[str]:
        return set(filter(None, self.who.split(",")))


class Course(msgspec.Struct):
    """All of one play: `seed` of the world, how many stand in it, its faults. `build`: with which seeded defect."""

    seed: int = 1
    controllers: int = 9
    invokers: int = 18
    zones: int = 3
    regions: int = 3
    build: str = "sound"
    faults: list[Fault] = []

    def __post_init__(self):
        if not 3 <= self.controllers <= 1_000 or not 1 <= self.zones <= self.controllers or self.invokers < self.zones:
            raise ValueError("expected 3 to 1000 controllers, a zone at the least, and an invoker for each zone")
        zones, names = {f"z{n}" for n in range(self.zones)}, {f"c{n}" for n in range(self.controllers)}
        for fault in self.faults:
            if fault.zone and fault.zone not in zones:
                raise ValueError(f"fault {fault.kind}: no zone {fault.zone!r}")
            if fault.names - names:
                raise ValueError(f"fault {fault.kind}: no controller {sorted(fault.names - names)[0]!r}")


@dataclass(frozen=True, slots=True)
class Build:
    """The kinds of which a world is made; a seeded defect is in one of them."""

    member: type[Group] = Group
    fleet: type[Fleet] = Fleet
    more: dict[str, Any] = field(default_factory=dict)


@dataclass(slots=True)
class CourseResult:
    """What a course came to. `events`: how many the queue held."""

    course: Course
    broken: list[BrokenInvariant]
    events: int = 0

    @property
    def which(self) -> set[str]:
        return {one.which for one in self.broken}


class HuntWorld(PlanWorld):
    """Notes besides what the group's judge reads."""

    def __init__(self, course: Course, build: Build):
        self.parted: dict[str, list[list[str]]] = {}
        self.uneven: set[str] = set()
        self.names = {f"c{n}" for n in range(course.controllers)}
        super().__init__(
            course.controllers,
            course.invokers,
            course.seed,
            "common",
            course.zones,
            course.regions,
            fleet=build.fleet,
            member=build.member,
            voters=VOTERS,
            replace_after=1e9,
            **build.more,
        )

    def observe(self) -> None:
        super().observe()
        self.note_views()
        self.note_members()

    def changed(self) -> None:
        """What of it concerns the group: a clean part by its sides, all else as uneven."""
        sides = next(iter(self.parted.values())) if len(self.parted) == 1 and not self.uneven else []
        uneven = bool(self.uneven) or len(self.parted) > 1
        self.noted.append(Faulted(self.now, sides, sorted(self.paused), uneven))
        self.links_changed()

    # Faults

    def set(self, fault: Fault) -> None:
        number = id(fault)

        def both(begin: Callable[[], None], end: Callable[[], None]):
            self.at(fault.at, begin)
            self.at(fault.at + fault.lasts, end)

        BEGINS[fault.kind](self, fault, f"{fault.kind} {number}", both)

    def invokers_of(self, zone: str) -> list[VirtualInvoker]:
        return [invoker for invoker in self.invokers.values() if invoker.zone == zone]


Both = Callable[[Callable[[], None], Callable[[], None]], None]


def _lost(world: HuntWorld, fault: Fault, name: str, both: Both):
    both(lambda: world.lose_zones({fault.zone}), lambda: world.restore_zones({fault.zone}))


def _hang(world: HuntWorld, fault: Fault, name: str, both: Both):
    def hung(yes: bool):
        for invoker in world.invokers_of(fault.zone):
            invoker.hung = yes

    both(lambda: hung(True), lambda: hung(False))


def _renew(world: HuntWorld, fault: Fault, name: str, both: Both):
    def begin():
        for invoker in world.invokers_of(fault.zone)[::2]:
            if invoker.up and not invoker.draining:
                world.replace(invoker, 1_000.0, 300.0)

    both(begin, lambda: None)


def _drained(world: HuntWorld, fault: Fault, name: str, both: Both):
    def begin():
        for invoker in world.invokers_of(fault.zone)[::2]:
            if invoker.up and not invoker.draining:
                world.replace(invoker, fault.lasts, 300.0)

    both(begin, lambda: None)


def _kill(world: HuntWorld, fault: Fault, name: str, both: Both):
    homes: dict[str, tuple[str, str, int, int]] = {}

    def begin():
        for who in sorted(fault.names & set(world.members)):
            one = world.members[who]
            homes[who] = one.address, one.about.zone, one.about.number, one.about.of
            if fault.kind == "leave":
                world._send(one, one.leave(world._time(one)))
                world.noted.append(Ended(world.now, who, "left"))
            world.kill(who)

    def end():
        for who, (address, zone, number, of) in homes.items():
            if who not in world.members:
                world.join(who, address, zone, None, number, of)

    both(begin, end if fault.kind != "gone" else lambda: None)


def _hold(world: HuntWorld, fault: Fault, name: str, both: Both):
    def held(yes: bool):
        world.pause_controllers(fault.names, yes)
        world.changed()

    both(lambda: held(True), lambda: held(False))


def _part(world: HuntWorld, fault: Fault, name: str, both: Both):
    def begin():
        sides = [fault.names, world.names - fault.names]
        world.links.partition(name, sides)
        world.parted[name] = [sorted(side) for side in sides]
        world.changed()

    def end():
        world.links.heal(name)
        world.parted.pop(name, None)
        world.changed()

    both(begin, end)


def _uneven(state: LinkState, mine: bool) -> Callable[[HuntWorld, Fault, str, Both], None]:
    def set_(world: HuntWorld, fault: Fault, name: str, both: Both):
        def begin():
            if mine:
                world.links.put(name, fault.names, world.names - fault.names, state, both=False)
            else:
                world.links.put(name, None, None, state)
            world.uneven.add(name)
            world.changed()

        def end():
            world.links.heal(name)
            world.uneven.discard(name)
            world.changed()

        both(begin, end)

    return set_


def _roster(world: HuntWorld, fault: Fault, name: str, both: Both):
    def begin():
        if fault.kind == "roster-down":
            world.roster_down()
        else:
            world.only = fault.names
            world.links_changed()

    def end():
        world.only = None
        world.roster_down(False)

    both(begin, end)


def _rising(world: HuntWorld, fault: Fault, name: str, both: Both):
    both(lambda: world.demand_factor.update({fault.zone: 1.5}), lambda: world.demand_factor.update({fault.zone: 1.0}))


BEGINS: dict[str, Callable[[HuntWorld, Fault, str, Both], None]] = {
    "invokers-lost": _lost,
    "hang": _hang,
    "renew": _renew,
    "drained": _drained,
    "kill": _kill,
    "leave": _kill,
    "gone": _kill,
    "hold": _hold,
    "part": _part,
    "one-way": _uneven(LinkState(cut="silent"), True),
    "lossy": _uneven(LinkState(1.0, 24.0, 0.05), False),
    "slow": _uneven(LinkState(150.0, 50.0), False),
    "roster-down": _roster,
    "roster-one": _roster,
    "rising": _rising,
}


def random_course(seed: int, most: int = 5, build: str = "sound") -> Course:
    """A course by chance: one to `most` faults, all of them over at `LAST`."""
    chance = random.Random(f"course {seed}")
    course = Course(seed=seed, build=build)
    faults = []
    for _ in range(chance.randint(1, most)):
        kind = chance.choice(sorted(KINDS))
        at = float(round(chance.uniform(FIRST, LAST - 4_000.0), -2))
        lasts = float(round(min(chance.uniform(1_000.0, 15_000.0), LAST - at), -2))
        zone = f"z{chance.randrange(course.zones)}" if kind in ("invokers-lost", "hang", "renew", "rising") else ""
        who = ""
        if kind in ("kill", "leave", "gone", "hold", "part", "one-way", "roster-one"):
            # Never most of the voters for good: nobody could plan, as is stated.
            some = chance.sample(
                range(VOTERS if kind == "gone" else 0, course.controllers),
                chance.randint(1, course.controllers // (4 if kind == "gone" else 2)),
            )
            who = ",".join(f"c{n}" for n in sorted(some))
        faults.append(Fault(kind, at, lasts, zone, who))
    course.faults = sorted(faults, key=lambda fault: fault.at)
    return course


def guided_course(seed: int, build: str = "sound") -> Course:
    """A course drawn at where one word decides, by the seed: ends of invokers that few controllers are told of (odd
    ones), a side that hears of no renewal (multiples of four), voters that hardly hear each other (the other even
    ones), while zones go and come."""
    chance = random.Random(f"guided {seed}")
    course = Course(seed=seed, build=build)
    zone = f"z{chance.randrange(course.zones)}"

    def fault(kind: str, least: float, most: float, zone: str = "", who: list[int] | None = None) -> Fault:
        at = float(round(chance.uniform(least, most), -2))
        lasts = float(round(min(chance.uniform(2_000.0, 9_000.0), LAST - at), -2))
        return Fault(kind, at, lasts, zone, ",".join(f"c{n}" for n in sorted(who or [])))

    if seed % 2:
        few = chance.sample(range(course.controllers), chance.randint(1, 2))
        course.faults = [
            Fault("roster-one", FIRST, 16_000.0, "", ",".join(f"c{n}" for n in sorted(few))),
            Fault("drained", FIRST + 1_500.0, 14_000.0, zone),
        ]
        course.faults += [
            fault(chance.choice(["lossy", "slow", "renew"]), FIRST, 14_000.0, zone) for _ in range(chance.randint(0, 1))
        ]
    elif seed % 4 == 0:
        side = chance.choice([[0, 1], list(range(VOTERS, VOTERS + chance.randint(1, 4)))])
        course.faults = [
            Fault("part", FIRST, 18_000.0, "", ",".join(f"c{n}" for n in side)),
            fault("invokers-lost", FIRST, 14_000.0, zone),
            fault("rising", FIRST, 14_000.0, zone),
        ]
    else:
        course.faults = [
            fault(
                chance.choice(["part", "one-way", "hold", "kill"]),
                FIRST,
                18_000.0,
                "",
                chance.sample(range(VOTERS), chance.randint(1, 2)),
            )
            for _ in range(chance.randint(2, 5))
        ]
        course.faults += [
            fault(chance.choice(["invokers-lost", "rising"]), FIRST, 18_000.0, f"z{n}")
            for n in chance.sample(range(course.zones), 2)
        ]
        course.faults.append(fault("slow", FIRST, 10_000.0))
    course.faults.sort(key=lambda one: one.at)
    return course


def cut_off(course: Course) -> list[tuple[frozenset[str], float, float]]:
    """Who reaches too few voters, and when, by parts that no other fault of links may have opened."""
    links = [fault for fault in course.faults if fault.kind in ("part", "one-way", "lossy", "slow")]
    every, voters, found = {f"c{n}" for n in range(course.controllers)}, {f"c{n}" for n in range(VOTERS)}, []
    for fault in links:
        until = fault.at + fault.lasts
        if fault.kind != "part" or any(
            other is not fault and other.at < until and fault.at < other.at + other.lasts for other in links
        ):
            continue
        for side in (fault.names, every - fault.names):
            if 2 * len(side & voters) <= VOTERS:
                found.append((frozenset(side), fault.at, until))
    return found


def play(course: Course, build: Build | None = None, after: float = 50_000.0, every: float = 500.0) -> CourseResult:
    """One course, to `after` ms beyond its last fault, judged by all that must hold."""
    world = HuntWorld(course, build or Build())
    world.observe_every(every)
    for fault in course.faults:
        world.set(fault)
    last = max((fault.at + fault.lasts for fault in course.faults), default=FIRST)
    world.run(last + after)
    group = world.group_verdict(group_seen.Bounds(30_000.0, 30_000.0, 45_000.0))
    fleet = world.verdict(fleet_seen.FleetBounds(30_000.0, 2_000.0, 8_000.0, 12_000.0))
    bounds = failover_seen.FailoverBounds(
        world.topology.regions,
        3_000.0,
        min((fault.at for fault in course.faults), default=world.now),
        world.last_fault,
        frozenset(world.members),
        0.6,
        3.0,
        8_000.0,
        0.03,
        30,
        30_000.0,
        0.9,
        45_000.0,
        cut_off(course),
    )
    failover = failover_seen.check(world.views, world.reached, bounds, world.now)
    broken = [
        BrokenInvariant(f"{part} {one.which}", one.at, one.what)
        for part, verdict in (("group", group.broken), ("fleet", fleet.broken), ("failover", failover.broken))
        for one in verdict
    ]
    return CourseResult(course, broken, next(world.number))


def shrink(found: CourseResult, again: Callable[[Course], CourseResult]) -> CourseResult:
    """The fewest faults that still break one of the same: first without each in turn, then each shorter."""
    wanted, best = found.which, found
    changed = True
    while changed:
        changed = False
        for n in range(len(best.course.faults)):
            less = msgspec.structs.replace(best.course, faults=best.course.faults[:n] + best.course.faults[n + 1 :])
            tried = again(less)
            if tried.which & wanted:
                best, changed = tried, True
                break
    for n in range(len(best.course.faults)):
        while best.course.faults[n].lasts >= 2_000.0:
            faults = list(best.course.faults)
            faults[n] = msgspec.structs.replace(faults[n], lasts=float(round(faults[n].lasts / 2, -2)))
            tried = again(msgspec.structs.replace(best.course, faults=faults))
            if not tried.which & wanted:
                break
            best = tried
    return best
