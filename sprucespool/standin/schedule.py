"""What a day's troubles mean for which process and when, drawn from the seed. No I/O, no clock."""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from sprucespool.emulator.worker import WorkerFacts
from sprucespool.faults import HEALTHY, LinkState
from sprucespool.standin.invoker import Fault
from sprucespool.standin.script import AT_LINKS, Day, Machines, Trouble

AT_INVOKER = ("hang", "crawl", "pauses", "flush", "answer-lost", "half-frame", "go-away", "refuse")


@dataclass(slots=True)
class Slot:
    """A place in the fleet: whatever process stands there."""

    number: int
    machines: Machines
    zone: str
    cell: str


def worker_facts(day: Day, machines: Machines) -> WorkerFacts:
    """What an invoker of that kind is made of on the day."""
    fleet, habits = day.fleet, day.invokers
    return WorkerFacts(
        machines.memory / 1e6,
        machines.cores,
        machines.speed,
        habits.queue,
        habits.loads,
        habits.load_queue,
        fleet.keep_alive,
        fleet.cold_share,
        fleet.warm_after,
        fleet.fall_multiple,
        fleet.fall_window,
        fleet.loads_on_miss,
        habits.scales,
        habits.cancel_drops,
        max([group.dedup_window for group in day.model_groups] + [1000.0]),
    )


@dataclass(slots=True)
class Step:
    """At `at` ms after the day's begin the stage does `what` to the slot or controller `target`."""

    at: float
    what: str
    target: int = -1
    span: float = 0.0
    value: float = 0.0
    # Of a fault of links: its name, the sides it parts, and what holds between them.
    name: str = ""
    sides: tuple[frozenset[str], ...] = ()
    state: LinkState = HEALTHY
    both: bool = True


@dataclass(slots=True)
class Schedule:
    slots: list[Slot]
    # By slot: faults that any process standing there then has; times after the day's begin.
    faults: dict[int, list[Fault]] = field(default_factory=dict)
    steps: list[Step] = field(default_factory=list)


def schedule(day: Day) -> Schedule:
    chance = random.Random(day.seed * 13 + 3)
    slots: list[Slot] = []
    for machines in day.machines:
        for _ in range(machines.count):
            number = len(slots)
            zone = day.zones[number % len(day.zones)]
            slots.append(Slot(number, machines, zone, day.cell_of(number)))
    found = Schedule(slots, {slot.number: [] for slot in slots})
    for trouble in day.troubles:
        _expand(found, trouble, day, chance)
    found.steps.sort(key=lambda step: step.at)
    return found


def _some(slots: list[Slot], share: float, chance: random.Random) -> list[Slot]:
    return chance.sample(slots, max(1, round(share * len(slots))))


def _near(found: Schedule, trouble: Trouble, day: Day) -> list[Slot]:
    """Those of the zone, region, cell or invoker that the trouble names; all of them, if it names none."""
    names = day.processes_named(trouble.what) if trouble.what else None
    return [slot for slot in found.slots if names is None or f"i{slot.number}" in names]


def _link(trouble: Trouble, day: Day, name: str) -> list[Step]:
    def named(names: str) -> frozenset[str]:
        return frozenset().union(*(day.processes_named(one) for one in names.split(",")))

    if trouble.and_:
        sides: tuple[frozenset[str], ...] = (named(trouble.between), named(trouble.and_))
    elif "," in trouble.between:
        sides = tuple(frozenset(day.processes_named(one)) for one in trouble.between.split(","))
    else:
        alone = named(trouble.between)
        every = frozenset().union(*(day.processes_named(zone) for zone in day.zones)) | {"roster"}
        sides = (alone, every - alone)
    state = {
        "partition": LinkState(cut=trouble.how),
        "link-slow": LinkState(delay=trouble.span, jitter=trouble.span / 2),
        "link-lossy": LinkState(delay=1.0, loss=trouble.share),
    }[trouble.kind]
    if trouble.way == "back":
        sides = sides[::-1]
    begins = Step(trouble.at, "link", name=name, sides=sides, state=state, both=trouble.way == "both")
    # What lasts for no time lasts to the end.
    return [begins] + [Step(trouble.at + trouble.lasts, "heal", name=name)] * (trouble.lasts > 0)


def _expand(found: Schedule, trouble: Trouble, day: Day, chance: random.Random):
    kind, at, lasts, steps = trouble.kind, trouble.at, trouble.lasts, found.steps
    if kind in AT_INVOKER:
        everywhere = kind in ("flush", "answer-lost", "half-frame")
        near = _near(found, trouble, day)
        chosen = near if everywhere else _some(near, trouble.share, chance)
        for slot in chosen:
            # Those that stand still together do so because of something shared, but not to the millisecond.
            shift = chance.uniform(0, trouble.every) if kind in ("pauses", "go-away") else 0.0
            found.faults[slot.number].append(
                Fault(
                    kind,
                    at + min(shift, lasts / 2),
                    max(1.0, lasts - shift / 2),
                    trouble.share,
                    trouble.factor,
                    trouble.span,
                    trouble.every,
                )
            )
    elif kind in ("deploy", "renew"):
        chosen = _some(_near(found, trouble, day), trouble.share, chance)
        batches = [chosen[n : n + trouble.batch] for n in range(0, len(chosen), trouble.batch)]
        for n, batch in enumerate(batches):
            for slot in batch:
                act = "replace" if kind == "deploy" else "renew"
                steps.append(Step(at + lasts * n / len(batches), act, slot.number, trouble.span))
    elif kind == "preempt":
        for slot in _some(found.slots, trouble.share, chance):
            begin = at + chance.uniform(0, lasts / 2)
            # The machine's owner tells the roster, nobody the process: it serves on until it is killed.
            steps.append(Step(begin, "listed-draining", slot.number))
            steps.append(Step(begin + trouble.span, "kill", slot.number))
            steps.append(Step(begin + trouble.span + trouble.every, "start-new", slot.number))
    elif kind in ("crash", "mass-restart"):
        chosen = (
            _some(found.slots, trouble.share, chance)
            if kind == "crash"
            else [slot for slot in found.slots if slot.machines.kind == trouble.what]
        )
        for slot in chosen:
            steps.append(Step(at, "kill", slot.number))
            steps.append(Step(at + trouble.span, "restart", slot.number))
    elif kind == "stale-roster":
        steps += [Step(at, "roster-lag", value=trouble.span), Step(at + lasts, "roster-lag")]
    elif kind == "roster-old":
        steps.append(Step(at, "roster-old", value=trouble.span))
    elif kind == "roster-down":
        steps += [Step(at, "roster-down"), Step(at + lasts, "roster-up")]
    elif kind == "library-slow":
        steps += [Step(at, "library-slow", value=trouble.factor), Step(at + lasts, "library-slow", value=1.0)]
    elif kind == "library-down":
        steps += [Step(at, "library-down"), Step(at + lasts, "library-up")]
    elif kind == "stall":
        target, when = chance.randrange(day.controllers), at
        while when < at + lasts:
            steps.append(Step(when, "stall", target, trouble.span))
            when += trouble.every
    elif kind in AT_LINKS:
        steps += _link(trouble, day, f"{kind} {len(steps)}")
    elif kind in ("zone-lost", "invokers-lost"):
        for name in sorted(day.processes_named(trouble.what)):
            if kind == "invokers-lost" and name[0] != "i":
                continue
            number = int(name[1:])
            what = ("kill", "restart") if name[0] == "i" else ("controller-kill", "controller-start")
            steps += [Step(at, what[0], number), Step(at + lasts, what[1], number)]
    elif kind == "controller-kill":
        names = sorted(day.processes_named(trouble.what)) if trouble.what else [f"c{chance.randrange(day.controllers)}"]
        steps += [Step(at, "controller-kill", int(name[1:])) for name in names if name[0] == "c"]
    elif kind == "controller-stop":
        steps += [
            Step(at, "stall", int(name[1:]), lasts)
            for name in sorted(day.processes_named(trouble.what))
            if name[0] == "c"
        ]
    elif kind == "clock-jump":
        steps += [
            Step(at, "clock-jump", int(name[1:]))
            for name in sorted(day.processes_named(trouble.what))
            if name[0] == "c"
        ]
    elif kind == "drain-zone":
        steps += [Step(at, "drain-zone", name=trouble.what), Step(at + lasts, "undrain-zone", name=trouble.what)]
    elif kind == "controller-restart":
        restarted = day.processes_named(trouble.what) if trouble.what else {f"c{chance.randrange(day.controllers)}"}
        for target in sorted(int(name[1:]) for name in restarted if name[0] == "c"):
            steps.append(Step(at, "controller-kill", target))
            steps.append(Step(at + trouble.span, "controller-start", target))
    elif kind == "all-restart":
        steps += [Step(at, "controller-kill", target) for target in range(day.controllers)]
        steps += [Step(at + trouble.span, "controller-start", target) for target in range(day.controllers)]
