"""A plan of experiments over sizes, deciders and seeds, played in parallel; cut off, it goes on where it was.

Each result is a line of `rows.jsonl` as soon as it is there; when all are, they stand in `rows.parquet` too.
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
from sprucespool.lab.days import sized
from sprucespool.settings import read, write
from sprucespool.standin.baselines import DECIDERS
from sprucespool.standin.recorded import with_recorded
from sprucespool.standin.script import Day

# What each kind of experiment can be told: its cases, and who decides (the first is what others are compared with).
FLEET, GROUP = ("alone", "common"), ("parts", "deaths", "steady")
KINDS: dict[str, tuple[tuple[str, ...] | None, tuple[str, ...]]] = {
    "failover": (tuple(failover_cases.CASES), failover_cases.DECIDERS),
    "fleet": (tuple(fleet_cases.CASES), FLEET),
    "group": (GROUP, ("group",)),
    "day": (None, tuple(name for name in DECIDERS if not name.startswith("broken"))),
}


class Experiment(msgspec.Struct):
    """One kind and case; all sizes, deciders and seeds of it are played. `case` of a day is its script's path."""

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
        for what, figures, least, most in (
            ("controllers", self.controllers, 3, 1_000),
            ("invokers", self.invokers, 3, 1_000),
        ):
            if not all(one.isdigit() and least <= int(one) <= most for one in figures.split(",")):
                raise ValueError(f"{what}: expected whole numbers from {least} to {most} with commas, got {figures!r}")
        try:
            if not all(0 <= float(one) < 1 for one in self.loss.split(",")):
                raise ValueError
        except ValueError:
            raise ValueError(f"loss: expected numbers from 0 to below 1 with commas, got {self.loss!r}") from None

    @property
    def who(self) -> tuple[str, ...]:
        return tuple(self.deciders.split(",")) if self.deciders else KINDS[self.kind][1]


class SweepPlan(msgspec.Struct):
    """`seeds`: how many, from `first_seed` on; all deciders meet the same."""

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
    """One play's figures by name; `problem`: why there are none."""

    job: Job
    figures: dict[str, float | None] = {}
    broken: list[str] = []
    problem: str = ""
    seconds: float = 0.0


class _First(msgspec.Struct):
    plan: str
    name: str


def jobs(plan: SweepPlan) -> list[Job]:
    """In the order in which they are begun: seed by seed, so that what is cut off has something of all."""
    found = []
    for seed in range(plan.first_seed, plan.first_seed + plan.seeds):
        for one in plan.experiments:
            for controllers, invokers, loss, who in itertools.product(
                one.controllers.split(","), one.invokers.split(","), one.loss.split(","), one.who
            ):
                found.append(Job(one.kind, one.case, who, int(controllers), int(invokers), float(loss), seed))
    return found


# Playing


def _failover(job: Job) -> tuple[dict[str, float | None], list[str]]:
    came = failover_cases.play(job.case, job.decider, job.seed, job.controllers, job.invokers, loss=job.loss)
    return {
        "service": came.service,
        "worst_10s": came.worst_10s,
        "shed": came.shed,
        "crossed": came.crossed,
        "plans": came.plans,
        "settled_s": _seconds(came.settled),
        "near_s": _seconds(came.near),
    }, came.broken


def _fleet(job: Job) -> tuple[dict[str, float | None], list[str]]:
    came = fleet_cases.play(
        job.case, job.controllers, job.invokers, job.seed, job.decider == "common", 1.0, observe_interval=2_000.0
    )
    figures = came.figures
    return {
        "settled_s": _seconds(came.alike),
        "late_forwards": came.late,
        "refused": figures["refused"],
        "timed_out": figures["timed_out"],
        "returned": figures["returned"] / max(1, figures["forwards"]),
        "usable": came.usable,
    }, [f"({one.which}) {one.what}" for one in came.broken]


def _group(job: Job) -> tuple[dict[str, float | None], list[str]]:
    world = VirtualGroup(job.controllers, job.seed, loss=job.loss, settled=True)
    world.run(5_000.0)
    said, begun = world.said, time.process_time()
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
    span = (world.now - 5_000.0) / 1_000.0
    if settled is None:
        broken.append("views were never equal")
    return {
        "settled_s": _seconds(settled),
        "messages_a_second": (world.said - said) / span / job.controllers,
        "core": (time.process_time() - begun) / span / job.controllers,
    }, broken


def _day(job: Job) -> tuple[dict[str, float | None], list[str]]:
    path = Path(job.case)
    day = with_recorded(read(Day, path.read_text(encoding="utf-8"), job.case), path.parent)
    day = msgspec.structs.replace(sized(day, job.invokers), seed=job.seed)
    came = play_day(day, DECIDERS[job.decider], job.controllers)
    table = came.table
    return {
        "service": table.service,
        "worst_10s": table.worst_10s,
        "shed": table.shed / max(1, table.taken),
        "p50_ms": table.p50_ms,
        "p99_ms": table.p99_ms,
        "loads": table.loads,
        "crossed": came.crossed,
        "settled_s": _seconds(came.settled),
    }, [
        *(f"rule {one.rule}: {one.what}" for one in came.broken),
        *(f"({one.which}) {one.what}" for one in came.invariants),
    ]


def _seconds(ms: float | None) -> float | None:
    return None if ms is None else round(ms / 1000.0, 3)


PLAYS: dict[str, Callable[[Job], tuple[dict[str, float | None], list[str]]]] = {
    "failover": _failover,
    "fleet": _fleet,
    "group": _group,
    "day": _day,
}


def played(job: Job) -> Row:
    """Whatever goes wrong in one play ends that play alone."""
    begun = time.process_time()
    try:
        figures, broken = PLAYS[job.kind](job)
    except Exception as problem:
        return Row(job, problem=f"{type(problem).__name__}: {problem}"[:300], seconds=time.process_time() - begun)
    return Row(job, figures, broken[:20], "", round(time.process_time() - begun, 2))


# A folder of results


class ResultsError(ValueError):
    """A folder that holds something else."""


@dataclass
class Results:
    """`rows.jsonl` in `folder`."""

    folder: Path

    @property
    def path(self) -> Path:
        return self.folder / "rows.jsonl"

    def begin(self, plan: SweepPlan) -> dict[Job, Row]:
        """What is there of this plan already. Raises OSError, ResultsError."""
        self.folder.mkdir(parents=True, exist_ok=True)
        told = write(plan)
        first = _First(hashlib.blake2b(told.encode(), digest_size=12).hexdigest(), plan.name)
        if not self.path.exists():
            (self.folder / "plan.kdl").write_text(told, encoding="utf-8")
            self._append(msgspec.json.encode(first))
            return {}
        head, rows, whole = self._read()
        if head.plan != first.plan:
            raise ResultsError(
                f"{self.path}: expected results of the plan {plan.name!r} as it is now; "
                "another folder, or the plan as it was"
            )
        if whole < self.path.stat().st_size:
            # The last line was cut off with its sweep: played again.
            with open(self.path, "r+b") as out:
                out.truncate(whole)
        return {row.job: row for row in rows}

    def add(self, row: Row) -> None:
        self._append(msgspec.json.encode(row))

    def _append(self, line: bytes):
        before = self.path.stat().st_size if self.path.exists() else 0
        try:
            with open(self.path, "ab") as out:
                out.write(line + b"\n")
        except OSError as problem:
            # Against half a line in the middle, which nobody could read later.
            if self.path.exists():
                with open(self.path, "r+b") as out:
                    out.truncate(before)
            raise OSError(problem.errno, problem.strerror, str(self.path)) from None

    def _read(self) -> tuple[_First, list[Row], int]:
        data = self.path.read_bytes()
        whole = data.rfind(b"\n") + 1
        lines = data[:whole].splitlines()
        try:
            head = msgspec.json.decode(lines[0], type=_First)
            rows = [msgspec.json.decode(line, type=Row) for line in lines[1:]]
        except (msgspec.MsgspecError, IndexError) as problem:
            raise ResultsError(f"{self.path}: expected results of a sweep: {problem}") from None
        return head, rows, whole

    def rows(self) -> list[Row]:
        """Raises OSError, ResultsError."""
        return self._read()[1]

    def table(self) -> Path:
        """All rows as Parquet, a column for each figure; gives the path."""
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
    """All of the plan; what stands in the folder already is not played again. Raises OSError, ResultsError."""
    results = Results(folder)
    known = results.begin(plan)
    wanted = jobs(plan)
    left = [job for job in wanted if job not in known]
    if known:
        progress(f"{plan.name}: {len(wanted) - len(left)} of {len(wanted)} plays were there already")
    for number, row in enumerate(_all(left, workers), 1):
        results.add(row)
        known[row.job] = row
        job = row.job
        progress(
            f"{plan.name}: {len(wanted) - len(left) + number} of {len(wanted)}: {job.kind} {job.case}, "
            f"{job.decider}, {job.controllers} controllers, seed {job.seed}: "
            + (row.problem or f"{len(row.broken)} broken, {row.seconds:.0f} s")
        )
    results.table()
    return [known[job] for job in wanted]


def _all(left: list[Job], workers: int) -> Iterator[Row]:
    if workers <= 1:
        yield from map(played, left)
        return
    with ProcessPoolExecutor(workers) as pool:
        try:
            for done in as_completed([pool.submit(played, job) for job in left]):
                yield done.result()
        finally:
            pool.shutdown(wait=False, cancel_futures=True)


def settings_of(job: Job) -> tuple[str, str, int, int, float]:
    """What rows that are compared with each other share."""
    return job.kind, job.case, job.controllers, job.invokers, job.loss


def by_settings(rows: Iterable[Row]) -> dict[tuple[str, str, int, int, float], dict[str, dict[int, Row]]]:
    """Rows that have figures, by settings, decider and seed."""
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
    "played",
    "run",
    "settings_of",
]
