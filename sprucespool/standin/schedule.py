"""Translates the troubles of a day into timed steps and faults of processes, drawn from the seed. No I/O, no clock."""

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
    """A place in the fleet that one invoker process after another occupies."""

    number: int
    machines: Machines
    zone: str
    cell: str


def worker_facts(day: Day, machines: Machines) -> WorkerFacts:
    """The properties of an invoker on machines of that kind."""
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
    """An action `what` of the stage on the slot or controller `target`, `at` ms after the start of the day."""

    at: float
    what: str
    target: int = -1
    span: float = 0.0
    value: float = 0.0
    # For faults of links: the name, the sides that are affected, and the state of the links between them.
    name: str = ""
    sides: tuple[frozenset[str], ...] = ()
    state: LinkState = HEALTHY
    both: bool = True


@dataclass(slots=True)
class Schedule:
    slots: list[Slot]
    # By slot: the faults of any process that occupies it at that time; times are ms after the start of the day.
    faults: dict[int, list[Fault]] = field(default_factory=dict)
    steps: list[Step] = field(default_factory=list)


def schedule(day: Day) -> Schedule:
    rng = random.Random(day.seed * 13 + 3)
    slots: list[Slot] = []
    for machines in day.machines:
        for _ in range(machines.count):
            number = len(slots)
            zone = day.zones[number % len(day.zones)]
            slots.append(Slot(number, machines, zone, day.cell_of(number)))
    plan = Schedule(slots, {slot.number: [] for slot in slots})
    for trouble in day.troubles:
        _expand(plan, trouble, day, rng)
    plan.steps.sort(key=lambda step: step.at)
    return plan


def _sample(slots: list[Slot], share: float, rng: random.Random) -> list[Slot]:
    return rng.sample(slots, max(1, round(share * len(slots))))


def _slots_named(plan: Schedule, trouble: Trouble, day: Day) -> list[Slot]:
    """The slots in the zone, region, cell or invoker that the trouble names; all slots if it names none."""
    names = day.processes_named(trouble.what) if trouble.what else None
    return [slot for slot in plan.slots if names is None or f"i{slot.number}" in names]


def _link(trouble: Trouble, day: Day, name: str) -> list[Step]:
    def processes(names: str) -> frozenset[str]:
        return frozenset().union(*(day.processes_named(one) for one in names.split(",")))

    if trouble.and_:
        sides: tuple[frozenset[str], ...] = (processes(trouble.between), processes(trouble.and_))
    elif "," in trouble.between:
        sides = tuple(frozenset(day.processes_named(one)) for one in trouble.between.split(","))
    else:
        side = processes(trouble.between)
        everything = frozenset().union(*(day.processes_named(zone) for zone in day.zones)) | {"roster"}
        sides = (side, everything - side)
    state = {
        "partition": LinkState(cut=trouble.how),
        "link-slow": LinkState(delay=trouble.span, jitter=trouble.span / 2),
        "link-lossy": LinkState(delay=1.0, loss=trouble.share),
    }[trouble.kind]
    if trouble.way == "back":
        sides = sides[::-1]
    begins = Step(trouble.at, "link", name=name, sides=sides, state=state, both=trouble.way == "both")
    # A duration of 0 means until the end of the day.
    return [begins] + [Step(trouble.at + trouble.lasts, "heal", name=name)] * (trouble.lasts > 0)


def _expand(plan: Schedule, trouble: Trouble, day: Day, rng: random.Random):
    kind, at, lasts, steps = trouble.kind, trouble.at, trouble.lasts, plan.steps
    if kind in AT_INVOKER:
        at_all_slots = kind in ("flush", "answer-lost", "half-frame")
        candidates = _slots_named(plan, trouble, day)
        chosen = candidates if at_all_slots else _sample(candidates, trouble.share, rng)
        for slot in chosen:
            # Invokers that pause together share a cause, but do not start at the same millisecond.
            shift = rng.uniform(0, trouble.every) if kind in ("pauses", "go-away") else 0.0
            plan.faults[slot.number].append(
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
        chosen = _sample(_slots_named(plan, trouble, day), trouble.share, rng)
        batches = [chosen[n : n + trouble.batch] for n in range(0, len(chosen), trouble.batch)]
        for n, batch in enumerate(batches):
            for slot in batch:
                action = "replace" if kind == "deploy" else "renew"
                steps.append(Step(at + lasts * n / len(batches), action, slot.number, trouble.span))
    elif kind == "preempt":
        for slot in _sample(plan.slots, trouble.share, rng):
            begin = at + rng.uniform(0, lasts / 2)
            # The machine's owner notifies the roster but not the process, which serves until it is killed.
            steps.append(Step(begin, "listed-draining", slot.number))
            steps.append(Step(begin + trouble.span, "kill", slot.number))
            steps.append(Step(begin + trouble.span + trouble.every, "start-new", slot.number))
    elif kind in ("crash", "mass-restart"):
        chosen = (
            _sample(plan.slots, trouble.share, rng)
            if kind == "crash"
            else [slot for slot in plan.slots if slot.machines.kind == trouble.what]
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
        target, next_at = rng.randrange(day.controllers), at
        while next_at < at + lasts:
            steps.append(Step(next_at, "stall", target, trouble.span))
            next_at += trouble.every
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
        names = sorted(day.processes_named(trouble.what)) if trouble.what else [f"c{rng.randrange(day.controllers)}"]
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
        restarted = day.processes_named(trouble.what) if trouble.what else {f"c{rng.randrange(day.controllers)}"}
        for target in sorted(int(name[1:]) for name in restarted if name[0] == "c"):
            steps.append(Step(at, "controller-kill", target))
            steps.append(Step(at + trouble.span, "controller-start", target))
    elif kind == "all-restart":
        steps += [Step(at, "controller-kill", target) for target in range(day.controllers)]
        steps += [Step(at + trouble.span, "controller-start", target) for target in range(day.controllers)]
