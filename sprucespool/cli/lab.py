"""`sprucespool lab`: fault search, days, sweeps in virtual time."""

from __future__ import annotations

import sys
from pathlib import Path

import msgspec
from rich.console import Console
from rich.table import Table

from sprucespool.emulator.hunt import Course
from sprucespool.gateway import Gateway
from sprucespool.lab.coursedays import MODULE_BUILDS
from sprucespool.lab.defects import BUILDS, DEFECTS
from sprucespool.lab.days import Played, begun, ended, sized
from sprucespool.lab.hunting import Hunted, hunt, played
from sprucespool.lab.sweep import SweepPlan, run
from sprucespool.standin.baselines import DECIDERS, GATEWAYS
from sprucespool.standin.script import Day


def _span(text: str) -> range:
    first, dash, last = text.partition("-")
    if not first.isdigit() or dash and not last.isdigit() or int(last or first) < int(first):
        raise ValueError(f"--seeds: expected FIRST-LAST, such as 1-100, got {text!r}")
    return range(int(first), int(last or first) + 1)


def run_hunt(seeds: str, build: str, most: int, workers: int, folder: Path, module: bool = False) -> int:
    """Gives the exit status. Raises ValueError on what is no build or span, OSError."""
    span = _span(seeds)
    builds, defects = (MODULE_BUILDS, MODULE_BUILDS[1:]) if module else (tuple(BUILDS), tuple(DEFECTS))
    if build not in (*builds, "all"):
        raise ValueError(f"--build: expected one of {', '.join((*builds, 'all'))}, got {build!r}")
    found = [
        hunt(name, span, most, workers, folder, lambda line: print(line, file=sys.stderr), module)
        for name in (defects if build == "all" else [build])
    ]
    Console(width=140).print(_table(found))
    return int(any(one.build == "sound" and one.small is not None for one in found))


def _table(found: list[Hunted]) -> Table:
    seen = sum(one.small is not None for one in found)
    table = Table(title=f"fault search in virtual time: {seen} of {len(found)} builds broken")
    for name in ("build", "courses", "s", "broken first", "faults, shrunk to", "written to"):
        table.add_column(name)
    for one in found:
        small, first = one.small, one.first
        told = f"({small.broken[0].which}) {small.broken[0].what}"[:70] if small else "nothing"
        faults = f"{len(first.course.faults)}, {len(small.course.faults)}" if first and small else "-"
        table.add_row(one.build, str(one.tried), f"{one.seconds:.0f}", told, faults, str(one.path or "-"))
    return table


def run_replay(course: Course, module: bool = False) -> int:
    """Raises ValueError on an unknown build."""
    found = played(course, module)
    for one in found.broken:
        print(f"({one.which}) at {one.at / 1000:.1f} s: {one.what}")
    print(f"{len(course.faults)} faults, build {course.build}: {len(found.broken)} broken")
    return int(bool(found.broken))


# What both ways of playing a day tell.
FIGURES = (
    "taken",
    "in_slo_time",
    "late",
    "shed",
    "failed",
    "left",
    "unreached",
    "forwards",
    "orders",
    "loads",
    "service",
    "worst_10s",
    "p50_ms",
    "p99_ms",
    "rules_broken",
    "settled_ms",
)


def run_day(
    day: Day,
    controllers: int | None,
    invokers: int | None,
    decider: str,
    json: bool,
    sockets: bool,
    save: Path | None,
    at: float,
) -> int:
    """Gives the exit status. Raises ValueError on what cannot be played so, TimeStalled, OSError."""
    if sockets and (controllers or invokers):
        raise ValueError("--sockets: expected the script's own sizes")
    beside = _over_sockets(day, decider) if sockets else None
    world = begun(
        sized(day, invokers) if invokers else day,
        DECIDERS[decider if decider in DECIDERS else "hiku"],
        controllers,
        GATEWAYS.get(decider, Gateway),
    )
    if save is not None:
        from sprucespool.lab.saving import save as write_world

        world.run(at)
        write_world(world, save)
        print(f"{day.name}: stands at {at / 1000:.1f} s in {save}")
        return 0
    return _shown(ended(world), json, beside)


def run_go_on(path: Path, json: bool) -> int:
    """Raises SavedError, OSError."""
    from sprucespool.lab.saving import load

    return _shown(ended(load(path)), json, None)


def _over_sockets(day: Day, decider: str) -> dict:
    from sprucespool.standin.stage import Options, StageFailed, play

    try:
        return play(msgspec.structs.replace(day), Options(decider)).as_dict()
    except StageFailed as problem:
        raise ValueError(f"the day was not played over sockets: {problem}") from None


def _shown(found: Played, json: bool, beside: dict | None) -> int:
    told = found.as_dict()
    if json:
        print(msgspec.json.encode({"virtual": told, "sockets": beside} if beside else told).decode())
    else:
        table = Table(title=f"{found.day} (seed {found.seed}, {found.controllers} controllers; simulated servers)")
        table.add_column("what")
        for name in ("virtual time", *(["sockets"] if beside else [])):
            table.add_column(name, justify="right")
        for name in FIGURES:
            table.add_row(name.replace("_", " "), *(_figure(one[name]) for one in (told, beside) if one is not None))
        Console().print(table)
        for line in (*told["broken"], *told["invariants_broken"]):
            print(line)
    return int(bool(found.broken or found.invariants or found.faults))


def _figure(value: float | None) -> str:
    return "-" if value is None else f"{value:.3f}" if isinstance(value, float) else str(value)


def run_sweep(plan: SweepPlan, folder: Path, workers: int) -> int:
    """Raises ResultsError, OSError."""
    rows = run(plan, folder, workers, lambda line: print(line, file=sys.stderr, flush=True))
    failed = [row for row in rows if row.problem]
    print(
        f"{plan.name}: {len(rows)} plays, {len(failed)} without figures, "
        f"{sum(bool(row.broken) for row in rows)} that broke something; {folder / 'rows.parquet'}"
    )
    return int(bool(failed))
