"""Runs a plan of experiments over sizes, deciders and seeds in parallel; an interrupted sweep can be resumed.

Each result is appended to `rows.jsonl` as soon as it is known. When all are known, they are written to `rows.parquet`
too.
"""

from __future__ import annotations

import hashlib
import itertools
import time
from collections.abc import Callable, Iterable, Iterator
from concurrent.futures import ProcessPoolExecutor, as_completed
from dataclasses import dataclass
from pathlib import Path

import msgspec

from sprucespool.emulator import cases as fleet_cases
from sprucespool.emulator import plans as failover_cases
from sprucespool.emulator.group import VirtualGroup
from sprucespool.lab.days import play as play_day
from sprucespool.lab.days import scaled
from sprucespool.settings import read, write
from sprucespool.standin.baselines import DECIDERS
from sprucespool.standin.recorded import with_recorded
from sprucespool.standin.script import Day

# The cases and the deciders of each kind of experiment. The first decider is the baseline of comparisons.
FLEET, GROUP = ("alone", "common"), ("parts", "deaths", "steady")
KINDS: dict[str, tuple[tuple[str, ...] | None, tuple[str, ...]]] = {
    "failover": (tuple(failover_cases.CASES), failover_cases.DECIDERS),
    "fleet": (tuple(fleet_cases.CASES), FLEET),
    "group": (GROUP, ("group",)),
    "day": (None, tuple(name for name in DECIDERS if not name.startswith("broken"))),
}


class Experiment(msgspec.Struct):
    """One kind and case, run with all sizes, deciders and seeds. For a day, `case` is the path of its script."""

    __args__ = ("kind",)
    kind: str
    case: str
    deciders: str = ""
    controllers: str = "24"
    invokers: str = "36"
    loss: str = "0"

    def __post_init__(self):
        if self.kind not in KINDS:
            raise ValueError(f"expected one of {', '.join(KINDS)}, got {self.kind!r}")
        cases, deciders = KINDS[self.kind]
        if cases is not None and self.case not in cases:
            raise ValueError(f"case: expected one of {', '.join(cases)}, got {self.case!r}")
        for name in self.who:
            if name not in deciders:
                raise ValueError(f"deciders: expected some of {', '.join(deciders)}, got {name!r}")
        for option, numbers, minimum, maximum in (
            ("controllers", self.controllers, 3, 1_000),
            ("invokers", self.invokers, 3, 1_000),
        ):
            if not all(number.isdigit() and minimum <= int(number) <= maximum for number in numbers.split(",")):
                raise ValueError(
                    f"{option}: expected whole numbers from {minimum} to {maximum} with commas, got {numbers!r}"
                )
        try:
            if not all(0 <= float(number) < 1 for number in self.loss.split(",")):
                raise ValueError
        except ValueError:
            raise ValueError(f"loss: expected numbers from 0 to below 1 with commas, got {self.loss!r}") from None

    @property
    def who(self) -> tuple[str, ...]:
        return tuple(self.deciders.split(",")) if self.deciders else KINDS[self.kind][1]


class SweepPlan(msgspec.Struct):
    """`seeds` is the number of seeds, starting at `first_seed`; all deciders run with the same ones."""

    name: str
    experiments: list[Experiment]
    seeds: int = 5
    first_seed: int = 1

    def __post_init__(self):
        if not 1 <= self.seeds <= 10_000:
            raise ValueError("seeds: expected 1 to 10000")
        if not self.experiments:
            raise ValueError("expected at least one experiment")


class Job(msgspec.Struct, frozen=True):
    kind: str
    case: str
    decider: str
    controllers: int
    invokers: int
    loss: float
    seed: int


class Row(msgspec.Struct):
    """The metrics of one run by name; `problem` is the error if there are none."""

    job: Job
    figures: dict[str, float | None] = {}
    broken: list[str] = []
    problem: str = ""
    seconds: float = 0.0


class _First(msgspec.Struct):
    """The first line of `rows.jsonl`: the digest and name of the plan."""

    plan: str
    name: str


def jobs(plan: SweepPlan) -> list[Job]:
    """All jobs in the order in which they start: seed by seed, so that an interrupted sweep covers all settings."""
    result = []
    for seed in range(plan.first_seed, plan.first_seed + plan.seeds):
        for experiment in plan.experiments:
            for controllers, invokers, loss, decider in itertools.product(
                experiment.controllers.split(","),
                experiment.invokers.split(","),
                experiment.loss.split(","),
                experiment.who,
            ):
                result.append(
                    Job(experiment.kind, experiment.case, decider, int(controllers), int(invokers), float(loss), seed)
                )
    return result


# Runs


def _run_failover(job: Job) -> tuple[dict[str, float | None], list[str]]:
    result = failover_cases.play(job.case, job.decider, job.seed, job.controllers, job.invokers, loss=job.loss)
    return {
        "service": result.service,
        "worst_10s": result.worst_10s,
        "shed": result.shed,
        "crossed": result.crossed,
        "plans": result.plans,
        "settled_s": _seconds(result.settled),
        "near_s": _seconds(result.near),
    }, result.broken


def _run_fleet(job: Job) -> tuple[dict[str, float | None], list[str]]:
    result = fleet_cases.play(
        job.case, job.controllers, job.invokers, job.seed, job.decider == "common", 1.0, observe_interval=2_000.0
    )
    figures = result.figures
    return {
        "settled_s": _seconds(result.alike),
        "late_forwards": result.late,
        "refused": figures["refused"],
        "timed_out": figures["timed_out"],
        "returned": figures["returned"] / max(1, figures["forwards"]),
        "usable": result.usable,
    }, [f"({broken.which}) {broken.what}" for broken in result.broken]


def _run_group(job: Job) -> tuple[dict[str, float | None], list[str]]:
    world = VirtualGroup(job.controllers, job.seed, loss=job.loss, settled=True)
    world.run(5_000.0)
    sent_before, started_at = world.said, time.process_time()
    broken: list[str] = []
    if job.case == "parts":
        names = sorted(world.members)
        world.links.partition("parts", [names[n::3] for n in range(3)])
        world.run(60_000.0)
        world.links.heal("parts")
        settled = world.run(120_000.0, world.alike)
    elif job.case == "deaths":
        dead = sorted(world.members)[1::10]
        for name in dead:
            world.kill(name)
        settled = world.run(120_000.0, lambda: all(world.all_hold_gone(name) for name in dead))
        if settled is not None and not world.alike():
            settled = (world.run(60_000.0, world.alike) or 0.0) + settled
    else:
        settled = 0.0 if world.run(30_000.0) is None and world.alike() else None
    duration_s = (world.now - 5_000.0) / 1_000.0
    if settled is None:
        broken.append("views were never equal")
    return {
        "settled_s": _seconds(settled),
        "messages_a_second": (world.said - sent_before) / duration_s / job.controllers,
        "core": (time.process_time() - started_at) / duration_s / job.controllers,
    }, broken


def _run_day(job: Job) -> tuple[dict[str, float | None], list[str]]:
    path = Path(job.case)
    day = with_recorded(read(Day, path.read_text(encoding="utf-8"), job.case), path.parent)
    day = msgspec.structs.replace(scaled(day, job.invokers), seed=job.seed)
    result = play_day(day, DECIDERS[job.decider], job.controllers)
    table = result.table
    return {
        "service": table.service,
        "worst_10s": table.worst_10s,
        "shed": table.shed / max(1, table.taken),
        "p50_ms": table.p50_ms,
        "p99_ms": table.p99_ms,
        "loads": table.loads,
        "crossed": result.crossed,
        "settled_s": _seconds(result.settled),
    }, [
        *(f"rule {broken.rule}: {broken.what}" for broken in result.broken),
        *(f"({invariant.which}) {invariant.what}" for invariant in result.invariants),
    ]


def _seconds(ms: float | None) -> float | None:
    return None if ms is None else round(ms / 1000.0, 3)


RUNNERS: dict[str, Callable[[Job], tuple[dict[str, float | None], list[str]]]] = {
    "failover": _run_failover,
    "fleet": _run_fleet,
    "group": _run_group,
    "day": _run_day,
}


def run_job(job: Job) -> Row:
    """Runs one job. An exception becomes the `problem` of its row and does not end the sweep."""
    started_at = time.process_time()
    try:
        figures, broken = RUNNERS[job.kind](job)
    except Exception as error:
        return Row(job, problem=f"{type(error).__name__}: {error}"[:300], seconds=time.process_time() - started_at)
    return Row(job, figures, broken[:20], "", round(time.process_time() - started_at, 2))


# A folder of results


class ResultsError(ValueError):
    """A folder that holds something other than results of this plan."""


@dataclass
class Results:
    """The results of a sweep in `folder`, one per line of `rows.jsonl`."""

    folder: Path

    @property
    def path(self) -> Path:
        return self.folder / "rows.jsonl"

    def begin(self, plan: SweepPlan) -> dict[Job, Row]:
        """Prepares the folder and returns the results of this plan already in it. Raises OSError, ResultsError."""
        self.folder.mkdir(parents=True, exist_ok=True)
        text = write(plan)
        first = _First(hashlib.blake2b(text.encode(), digest_size=12).hexdigest(), plan.name)
        if not self.path.exists():
            (self.folder / "plan.kdl").write_text(text, encoding="utf-8")
            self._append(msgspec.json.encode(first))
            return {}
        head, rows, complete_bytes = self._read()
        if head.plan != first.plan:
            raise ResultsError(
                f"{self.path}: expected results of the plan {plan.name!r} as it is now; "
                "another folder, or the plan as it was"
            )
        if complete_bytes < self.path.stat().st_size:
            # The last line is incomplete because the sweep was interrupted; its job runs again.
            with open(self.path, "r+b") as out:
                out.truncate(complete_bytes)
        return {row.job: row for row in rows}

    def add(self, row: Row) -> None:
        self._append(msgspec.json.encode(row))

    def _append(self, line: bytes):
        size_before = self.path.stat().st_size if self.path.exists() else 0
        try:
            with open(self.path, "ab") as out:
                out.write(line + b"\n")
        except OSError as error:
            # Removes a partial line: later lines would follow it and make the file unreadable.
            if self.path.exists():
                with open(self.path, "r+b") as out:
                    out.truncate(size_before)
            raise OSError(error.errno, error.strerror, str(self.path)) from None

    def _read(self) -> tuple[_First, list[Row], int]:
        data = self.path.read_bytes()
        complete_bytes = data.rfind(b"\n") + 1
        lines = data[:complete_bytes].splitlines()
        try:
            head = msgspec.json.decode(lines[0], type=_First)
            rows = [msgspec.json.decode(line, type=Row) for line in lines[1:]]
        except (msgspec.MsgspecError, IndexError) as error:
            raise ResultsError(f"{self.path}: expected results of a sweep: {error}") from None
        return head, rows, complete_bytes

    def rows(self) -> list[Row]:
        """Raises OSError, ResultsError."""
        return self._read()[1]

    def table(self) -> Path:
        """Writes all rows as Parquet with a column for each metric; returns the path."""
        import polars

        lines = [
            {
                **msgspec.structs.asdict(row.job),
                **row.figures,
                "broken": len(row.broken),
                "problem": row.problem,
                "seconds": row.seconds,
            }
            for row in sorted(self.rows(), key=lambda row: repr(row.job))
        ]
        path = self.folder / "rows.parquet"
        polars.DataFrame(lines, infer_schema_length=None).write_parquet(path)
        return path


def run(plan: SweepPlan, folder: Path, workers: int, progress: Callable[[str], None] = lambda line: None) -> list[Row]:
    """Runs the whole plan except the jobs whose results are in the folder already. Raises OSError, ResultsError."""
    results = Results(folder)
    known = results.begin(plan)
    wanted = jobs(plan)
    remaining = [job for job in wanted if job not in known]
    if known:
        progress(f"{plan.name}: {len(wanted) - len(remaining)} of {len(wanted)} plays were there already")
    for number, row in enumerate(_run_all(remaining, workers), 1):
        results.add(row)
        known[row.job] = row
        job = row.job
        progress(
            f"{plan.name}: {len(wanted) - len(remaining) + number} of {len(wanted)}: {job.kind} {job.case}, "
            f"{job.decider}, {job.controllers} controllers, seed {job.seed}: "
            + (row.problem or f"{len(row.broken)} broken, {row.seconds:.0f} s")
        )
    results.table()
    return [known[job] for job in wanted]


def _run_all(remaining: list[Job], workers: int) -> Iterator[Row]:
    if workers <= 1:
        yield from map(run_job, remaining)
        return
    with ProcessPoolExecutor(workers) as pool:
        try:
            for future in as_completed([pool.submit(run_job, job) for job in remaining]):
                yield future.result()
        finally:
            pool.shutdown(wait=False, cancel_futures=True)


def settings_of(job: Job) -> tuple[str, str, int, int, float]:
    """The settings that rows must share to be compared."""
    return job.kind, job.case, job.controllers, job.invokers, job.loss


def by_settings(rows: Iterable[Row]) -> dict[tuple[str, str, int, int, float], dict[str, dict[int, Row]]]:
    """Rows without a problem, by settings, decider and seed."""
    found: dict[tuple[str, str, int, int, float], dict[str, dict[int, Row]]] = {}
    for row in rows:
        if not row.problem:
            found.setdefault(settings_of(row.job), {}).setdefault(row.job.decider, {})[row.job.seed] = row
    return found


__all__ = [
    "Experiment",
    "Job",
    "Results",
    "ResultsError",
    "Row",
    "SweepPlan",
    "by_settings",
    "jobs",
    "run",
    "run_job",
    "settings_of",
]
