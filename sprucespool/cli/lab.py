"""`sprucespool lab`: fault search, days and sweeps in virtual time."""

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
from sprucespool.lab.days import DayResult, start_day, finish_day, scaled
from sprucespool.lab.hunting import HuntResult, hunt, run_course
from sprucespool.lab.sweep import SweepPlan, run
from sprucespool.standin.baselines import DECIDERS, GATEWAYS
from sprucespool.standin.script import Day


def _parse_seeds(text: str) -> range:
    first, dash, last = text.partition("-")
    if not first.isdigit() or dash and not last.isdigit() or int(last or first) < int(first):
        raise ValueError(f"--seeds: expected FIRST-LAST, such as 1-100, got {text!r}")
    return range(int(first), int(last or first) + 1)


def run_hunt(seeds: str, build: str, most: int, workers: int, folder: Path, module: bool = False) -> int:
    """Returns the exit status. Raises ValueError for an unknown build or a malformed range of seeds, and OSError."""
    seed_range = _parse_seeds(seeds)
    builds, defects = (MODULE_BUILDS, MODULE_BUILDS[1:]) if module else (tuple(BUILDS), tuple(DEFECTS))
    if build not in (*builds, "all"):
        raise ValueError(f"--build: expected one of {', '.join((*builds, 'all'))}, got {build!r}")
    results = [
        hunt(name, seed_range, most, workers, folder, lambda line: print(line, file=sys.stderr), module)
        for name in (defects if build == "all" else [build])
    ]
    Console(width=140).print(_table(results))
    return int(any(result.build == "sound" and result.small is not None for result in results))


def _table(results: list[HuntResult]) -> Table:
    broken_builds = sum(result.small is not None for result in results)
    table = Table(title=f"fault search in virtual time: {broken_builds} of {len(results)} builds broken")
    for name in ("build", "courses", "s", "broken first", "faults, shrunk to", "written to"):
        table.add_column(name)
    for result in results:
        small, first = result.small, result.first
        summary = f"({small.broken[0].which}) {small.broken[0].what}"[:70] if small else "nothing"
        faults = f"{len(first.course.faults)}, {len(small.course.faults)}" if first and small else "-"
        table.add_row(
            result.build, str(result.tried), f"{result.seconds:.0f}", summary, faults, str(result.path or "-")
        )
    return table


def run_replay(course: Course, module: bool = False) -> int:
    """Returns the exit status. Raises ValueError for an unknown build."""
    replayed = run_course(course, module)
    for invariant in replayed.broken:
        print(f"({invariant.which}) at {invariant.at / 1000:.1f} s: {invariant.what}")
    print(f"{len(course.faults)} faults, build {course.build}: {len(replayed.broken)} broken")
    return int(bool(replayed.broken))


# The metrics that a day reports both in virtual time and over sockets.
METRICS = (
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
    """Returns the exit status. Raises ValueError for a day that cannot be played this way, StandsStill and OSError."""
    if sockets and (controllers or invokers):
        raise ValueError("--sockets: cannot be combined with --controllers or --invokers")
    socket_result = _over_sockets(day, decider) if sockets else None
    world = start_day(
        scaled(day, invokers) if invokers else day,
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
    return _print_result(finish_day(world), json, socket_result)


def run_go_on(path: Path, json: bool) -> int:
    """Returns the exit status. Raises SavedError, OSError."""
    from sprucespool.lab.saving import load

    return _print_result(finish_day(load(path)), json, None)


def _over_sockets(day: Day, decider: str) -> dict:
    from sprucespool.standin.stage import Options, StageFailed, play

    try:
        return play(msgspec.structs.replace(day), Options(decider)).as_dict()
    except StageFailed as error:
        raise ValueError(f"the day was not played over sockets: {error}") from None


def _print_result(result: DayResult, json: bool, socket_result: dict | None) -> int:
    metrics = result.as_dict()
    if json:
        print(
            msgspec.json.encode({"virtual": metrics, "sockets": socket_result} if socket_result else metrics).decode()
        )
    else:
        table = Table(title=f"{result.day} (seed {result.seed}, {result.controllers} controllers; simulated servers)")
        table.add_column("what")
        for name in ("virtual time", *(["sockets"] if socket_result else [])):
            table.add_column(name, justify="right")
        for name in METRICS:
            table.add_row(
                name.replace("_", " "),
                *(_format_metric(column[name]) for column in (metrics, socket_result) if column is not None),
            )
        Console().print(table)
        for line in (*metrics["broken"], *metrics["invariants_broken"]):
            print(line)
    return int(bool(result.broken or result.invariants or result.faults))


def _format_metric(value: float | None) -> str:
    return "-" if value is None else f"{value:.3f}" if isinstance(value, float) else str(value)


def run_sweep(plan: SweepPlan, folder: Path, workers: int) -> int:
    """Returns the exit status: 1 if some run has no result. Raises ResultsError, OSError."""
    rows = run(plan, folder, workers, lambda line: print(line, file=sys.stderr, flush=True))
    failed = [row for row in rows if row.problem]
    print(
        f"{plan.name}: {len(rows)} plays, {len(failed)} without figures, "
        f"{sum(bool(row.broken) for row in rows)} that broke something; {folder / 'rows.parquet'}"
    )
    return int(bool(failed))
