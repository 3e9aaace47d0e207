"""Fault search: random courses of faults checked against all invariants, and the fewest faults that break one.

Runs the classes of the daemon (`Group`, `Fleet`, `Failover`, `Steer`) in virtual time under all three judges. A course
is plain data; the same course and seed always play alike, so a course that breaks an invariant is a bug report
(`write`, `read`).
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
# Further kinds for guided courses only: they have an effect only together with other faults.
KINDS_GUIDED = {"drained": "half the invokers of `zone` drain, and are replaced when `lasts` is over"}
# Earliest begin and latest end of a fault.
FIRST_BEGIN_MS, LAST_END_MS = 6_000.0, 26_000.0
VOTERS = 3


class Fault(msgspec.Struct, frozen=True):
    """A fault that begins at `at` of the course's time and ends `lasts` later (ms)."""

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
    """Everything that determines one play: seed, sizes, faults, and `build`, the name of a seeded defect or `sound`."""

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
    """The classes that a world is made of; a seeded defect is in one of them."""

    member: type[Group] = Group
    fleet: type[Fleet] = Fleet
    more: dict[str, Any] = field(default_factory=dict)


@dataclass(slots=True)
class CourseResult:
    """Outcome of a course. `events`: how many events were scheduled."""

    course: Course
    broken: list[BrokenInvariant]
    events: int = 0

    @property
    def which(self) -> set[str]:
        return {one.which for one in self.broken}


class HuntWorld(PlanWorld):
    """Also notes what the judge of the group reads."""

    def __init__(self, course: Course, build: Build):
        self.partitions: dict[str, list[list[str]]] = {}
        self.uneven_links: set[str] = set()
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

    def note_link_change(self) -> None:
        """Notes link changes for the group's judge: a clean partition with its sides, all else as uneven."""
        sides = next(iter(self.partitions.values())) if len(self.partitions) == 1 and not self.uneven_links else []
        uneven = bool(self.uneven_links) or len(self.partitions) > 1
        self.noted.append(Faulted(self.now, sides, sorted(self.paused), uneven))
        self.links_changed()

    # Faults

    def schedule(self, fault: Fault) -> None:
        number = id(fault)

        def schedule_both(begin: Callable[[], None], end: Callable[[], None]):
            self.at(fault.at, begin)
            self.at(fault.at + fault.lasts, end)

        BEGINS[fault.kind](self, fault, f"{fault.kind} {number}", schedule_both)

    def invokers_of(self, zone: str) -> list[VirtualInvoker]:
        return [invoker for invoker in self.invokers.values() if invoker.zone == zone]


Schedule = Callable[[Callable[[], None], Callable[[], None]], None]


def _lost(world: HuntWorld, fault: Fault, name: str, schedule: Schedule):
    schedule(lambda: world.lose_zones({fault.zone}), lambda: world.restore_zones({fault.zone}))


def _hang(world: HuntWorld, fault: Fault, name: str, schedule: Schedule):
    def set_hung(hung: bool):
        for invoker in world.invokers_of(fault.zone):
            invoker.hung = hung

    schedule(lambda: set_hung(True), lambda: set_hung(False))


def _renew(world: HuntWorld, fault: Fault, name: str, schedule: Schedule):
    def begin():
        for invoker in world.invokers_of(fault.zone)[::2]:
            if invoker.up and not invoker.draining:
                world.replace(invoker, 1_000.0, 300.0)

    schedule(begin, lambda: None)


def _drained(world: HuntWorld, fault: Fault, name: str, schedule: Schedule):
    def begin():
        for invoker in world.invokers_of(fault.zone)[::2]:
            if invoker.up and not invoker.draining:
                world.replace(invoker, fault.lasts, 300.0)

    schedule(begin, lambda: None)


def _kill(world: HuntWorld, fault: Fault, name: str, schedule: Schedule):
    places: dict[str, tuple[str, str, int, int]] = {}

    def begin():
        for who in sorted(fault.names & set(world.members)):
            one = world.members[who]
            places[who] = one.address, one.about.zone, one.about.number, one.about.of
            if fault.kind == "leave":
                world._send(one, one.leave(world._time(one)))
                world.noted.append(Ended(world.now, who, "left"))
            world.kill(who)

    def end():
        for who, (address, zone, number, of) in places.items():
            if who not in world.members:
                world.join(who, address, zone, None, number, of)

    schedule(begin, end if fault.kind != "gone" else lambda: None)


def _hold(world: HuntWorld, fault: Fault, name: str, schedule: Schedule):
    def set_paused(paused: bool):
        world.pause_controllers(fault.names, paused)
        world.note_link_change()

    schedule(lambda: set_paused(True), lambda: set_paused(False))


def _part(world: HuntWorld, fault: Fault, name: str, schedule: Schedule):
    def begin():
        sides = [fault.names, world.names - fault.names]
        world.links.partition(name, sides)
        world.partitions[name] = [sorted(side) for side in sides]
        world.note_link_change()

    def end():
        world.links.heal(name)
        world.partitions.pop(name, None)
        world.note_link_change()

    schedule(begin, end)


def _uneven(state: LinkState, outgoing_only: bool) -> Callable[[HuntWorld, Fault, str, Schedule], None]:
    def schedule_fault(world: HuntWorld, fault: Fault, name: str, schedule: Schedule):
        def begin():
            if outgoing_only:
                world.links.put(name, fault.names, world.names - fault.names, state, both=False)
            else:
                world.links.put(name, None, None, state)
            world.uneven_links.add(name)
            world.note_link_change()

        def end():
            world.links.heal(name)
            world.uneven_links.discard(name)
            world.note_link_change()

        schedule(begin, end)

    return schedule_fault


def _roster(world: HuntWorld, fault: Fault, name: str, schedule: Schedule):
    def begin():
        if fault.kind == "roster-down":
            world.roster_down()
        else:
            world.only = fault.names
            world.links_changed()

    def end():
        world.only = None
        world.roster_down(False)

    schedule(begin, end)


def _rising(world: HuntWorld, fault: Fault, name: str, schedule: Schedule):
    schedule(
        lambda: world.demand_factor.update({fault.zone: 1.5}), lambda: world.demand_factor.update({fault.zone: 1.0})
    )


BEGINS: dict[str, Callable[[HuntWorld, Fault, str, Schedule], None]] = {
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


def random_course(seed: int, max_faults: int = 5, build: str = "sound") -> Course:
    """A random course: one to `max_faults` faults, all of them over at `LAST_END_MS`."""
    chance = random.Random(f"course {seed}")
    course = Course(seed=seed, build=build)
    faults = []
    for _ in range(chance.randint(1, max_faults)):
        kind = chance.choice(sorted(KINDS))
        at = float(round(chance.uniform(FIRST_BEGIN_MS, LAST_END_MS - 4_000.0), -2))
        lasts = float(round(min(chance.uniform(1_000.0, 15_000.0), LAST_END_MS - at), -2))
        zone = f"z{chance.randrange(course.zones)}" if kind in ("invokers-lost", "hang", "renew", "rising") else ""
        who = ""
        if kind in ("kill", "leave", "gone", "hold", "part", "one-way", "roster-one"):
            # Never a majority of the voters for good: by design nobody could plan then.
            numbers = chance.sample(
                range(VOTERS if kind == "gone" else 0, course.controllers),
                chance.randint(1, course.controllers // (4 if kind == "gone" else 2)),
            )
            who = ",".join(f"c{n}" for n in sorted(numbers))
        faults.append(Fault(kind, at, lasts, zone, who))
    course.faults = sorted(faults, key=lambda fault: fault.at)
    return course


def guided_course(seed: int, build: str = "sound") -> Course:
    """A random course aimed at situations where a single message decides; the seed selects the situation.

    Odd seeds: ends of invokers that few controllers are informed of. Multiples of four: a side that receives no
    renewal. Other even seeds: voters that hardly reach each other. Meanwhile zones fail and return."""
    chance = random.Random(f"guided {seed}")
    course = Course(seed=seed, build=build)
    zone = f"z{chance.randrange(course.zones)}"

    def fault(kind: str, min_at: float, max_at: float, zone: str = "", who: list[int] | None = None) -> Fault:
        at = float(round(chance.uniform(min_at, max_at), -2))
        lasts = float(round(min(chance.uniform(2_000.0, 9_000.0), LAST_END_MS - at), -2))
        return Fault(kind, at, lasts, zone, ",".join(f"c{n}" for n in sorted(who or [])))

    if seed % 2:
        few = chance.sample(range(course.controllers), chance.randint(1, 2))
        course.faults = [
            Fault("roster-one", FIRST_BEGIN_MS, 16_000.0, "", ",".join(f"c{n}" for n in sorted(few))),
            Fault("drained", FIRST_BEGIN_MS + 1_500.0, 14_000.0, zone),
        ]
        course.faults += [
            fault(chance.choice(["lossy", "slow", "renew"]), FIRST_BEGIN_MS, 14_000.0, zone)
            for _ in range(chance.randint(0, 1))
        ]
    elif seed % 4 == 0:
        side = chance.choice([[0, 1], list(range(VOTERS, VOTERS + chance.randint(1, 4)))])
        course.faults = [
            Fault("part", FIRST_BEGIN_MS, 18_000.0, "", ",".join(f"c{n}" for n in side)),
            fault("invokers-lost", FIRST_BEGIN_MS, 14_000.0, zone),
            fault("rising", FIRST_BEGIN_MS, 14_000.0, zone),
        ]
    else:
        course.faults = [
            fault(
                chance.choice(["part", "one-way", "hold", "kill"]),
                FIRST_BEGIN_MS,
                18_000.0,
                "",
                chance.sample(range(VOTERS), chance.randint(1, 2)),
            )
            for _ in range(chance.randint(2, 5))
        ]
        course.faults += [
            fault(chance.choice(["invokers-lost", "rising"]), FIRST_BEGIN_MS, 18_000.0, f"z{n}")
            for n in chance.sample(range(course.zones), 2)
        ]
        course.faults.append(fault("slow", FIRST_BEGIN_MS, 10_000.0))
    course.faults.sort(key=lambda one: one.at)
    return course


def cut_off(course: Course) -> list[tuple[frozenset[str], float, float]]:
    """Returns who reaches too few voters, and when, because of partitions without other link faults at the time."""
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
    """Plays one course until `after` ms beyond its last fault and checks all invariants."""
    world = HuntWorld(course, build or Build())
    world.observe_every(every)
    for fault in course.faults:
        world.schedule(fault)
    last = max((fault.at + fault.lasts for fault in course.faults), default=FIRST_BEGIN_MS)
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
        BrokenInvariant(f"{judge} {one.which}", one.at, one.what)
        for judge, verdict in (("group", group.broken), ("fleet", fleet.broken), ("failover", failover.broken))
        for one in verdict
    ]
    return CourseResult(course, broken, next(world.number))


def shrink(found: CourseResult, replay: Callable[[Course], CourseResult]) -> CourseResult:
    """Returns the fewest faults that still break one of the same invariants: drops faults, then shortens them."""
    wanted, best = found.which, found
    changed = True
    while changed:
        changed = False
        for n in range(len(best.course.faults)):
            fewer = msgspec.structs.replace(best.course, faults=best.course.faults[:n] + best.course.faults[n + 1 :])
            tried = replay(fewer)
            if tried.which & wanted:
                best, changed = tried, True
                break
    for n in range(len(best.course.faults)):
        while best.course.faults[n].lasts >= 2_000.0:
            faults = list(best.course.faults)
            faults[n] = msgspec.structs.replace(faults[n], lasts=float(round(faults[n].lasts / 2, -2)))
            tried = replay(msgspec.structs.replace(best.course, faults=faults))
            if not tried.which & wanted:
                break
            best = tried
    return best
