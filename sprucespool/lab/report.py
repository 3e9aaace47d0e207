"""Renders a sweep's results as one HTML page: tables with intervals, inline SVG charts, and failovers over time."""

from __future__ import annotations

import io
from collections import defaultdict
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from sprucespool.emulator.plans import CASES, PlanWorld
from sprucespool.lab.compare import CONFIDENCE, Comparison, compare_rows
from sprucespool.lab.sweep import Job, Results, Row, SweepPlan, jobs
from sprucespool.settings import read

# Metrics that a chart may show, by kind; the first one whose values differ is shown.
CHART_METRICS = {
    "failover": ("service",),
    "fleet": ("late_forwards", "refused", "timed_out", "settled_s"),
    "group": ("settled_s",),
    "day": ("service",),
}
# Resolution and length of the picture of a failover over time.
STEP_MS, DURATION_MS = 3_000.0, 75_000.0


@dataclass(slots=True)
class _Section:
    title: str
    lines: list[Comparison]
    chart: Any = ""
    broken: list[str] = field(default_factory=list)


@dataclass(slots=True)
class _Picture:
    title: str
    chart: Any


def _svg(chart: Any) -> Any:
    """Renders a chart as inline SVG, so that the page needs no script and fetches nothing."""
    from markupsafe import Markup

    out = io.StringIO()
    chart.save(out, format="svg")
    return Markup(out.getvalue())


def _chart(lines: list[Comparison]) -> Any:
    """A chart by number of controllers if the lines have several, else by decider."""
    import altair

    losses = len({one.loss for one in lines}) > 1
    data = altair.Data(
        values=[
            {
                "controllers": one.controllers,
                "value": one.mean,
                "decider": one.decider + (f", loss {one.loss:g}" if losses else ""),
            }
            for one in lines
        ]
    )
    title = lines[0].figure
    if len({one.controllers for one in lines}) > 1:
        return _svg(
            altair.Chart(data, width=520, height=220)
            .mark_line(point=True)
            .encode(
                x=altair.X("controllers:Q", scale=altair.Scale(type="log")),
                y=altair.Y("value:Q", title=title),
                color="decider:N",
            )
        )
    return _svg(
        altair.Chart(data, width=520, height=28 * len(lines))
        .mark_bar()
        .encode(x=altair.X("value:Q", title=title), y=altair.Y("decider:N", sort=None), color="decider:N")
    )


def over_time(job: Job) -> list[dict[str, Any]]:
    """The service of one failover by zone of the clients, in steps of `STEP_MS`."""
    world = PlanWorld(job.controllers, job.invokers, job.seed, job.decider, loss=job.loss)
    CASES[job.case](world)
    world.run(DURATION_MS)
    found: dict[tuple[int, str], list[int]] = defaultdict(lambda: [0, 0])
    for at, zone, good in world.asked:
        counts = found[int(at // STEP_MS), zone]
        counts[0] += good
        counts[1] += 1
    return [
        {"s": int(step * STEP_MS / 1_000.0), "zone": zone, "service": good / total, "decider": job.decider}
        for (step, zone), (good, total) in sorted(found.items())
    ]


def _picture(plays: list[Job]) -> _Picture:
    import altair

    rows = [row for job in plays for row in over_time(job)]
    chart = (
        altair.Chart(altair.Data(values=rows), width=520, height=130)
        .mark_rect()
        .encode(
            x=altair.X("s:O", title="seconds", axis=altair.Axis(values=list(range(0, 76, 15)))),
            y=altair.Y("zone:N", title="zone of the clients"),
            color=altair.Color("service:Q", scale=altair.Scale(domain=[0, 1], scheme="redyellowgreen")),
        )
        .facet(row=altair.Row("decider:N", sort=[job.decider for job in plays]))
    )
    first = plays[0]
    return _Picture(
        f"{first.case} over time, {first.controllers} controllers, {first.invokers} invokers, seed {first.seed}",
        _svg(chart),
    )


def _chart_lines(kind: str, lines: list[Comparison]) -> list[Comparison]:
    by_metric = [[one for one in lines if one.figure == name] for name in CHART_METRICS[kind]]
    return next((values for values in by_metric if len({one.mean for one in values}) > 1), [])


def _sections(rows: list[Row]) -> list[_Section]:
    by_case: dict[tuple[str, str], list[Comparison]] = {}
    for one in compare_rows(rows):
        by_case.setdefault((one.kind, one.case), []).append(one)
    parts = []
    for (kind, case), lines in by_case.items():
        shown = _chart_lines(kind, lines)
        broken = sorted(
            {
                f"{row.job.decider}, {row.job.controllers} controllers, seed {row.job.seed}: {row.broken[0]}"
                for row in rows
                if row.broken and (row.job.kind, row.job.case) == (kind, case)
            }
        )
        parts.append(_Section(f"{kind}: {case}", lines, _chart(shown) if shown else "", broken[:20]))
    return parts


def report(folder: Path) -> str:
    """Returns the page as HTML. Raises OSError, SettingsError, ResultsError."""
    import jinja2

    text = (folder / "plan.kdl").read_text(encoding="utf-8")
    plan = read(SweepPlan, text, str(folder / "plan.kdl"))
    order = {job: number for number, job in enumerate(jobs(plan))}
    rows = sorted(Results(folder).rows(), key=lambda row: order.get(row.job, len(order)))
    pictures = []
    for experiment in plan.experiments:
        if experiment.kind == "failover":
            sizes = int(experiment.controllers.split(",")[0]), int(experiment.invokers.split(",")[0])
            pictures.append(
                _picture(
                    [
                        Job(
                            "failover",
                            experiment.case,
                            decider,
                            *sizes,
                            float(experiment.loss.split(",")[0]),
                            plan.first_seed,
                        )
                        for decider in experiment.who
                    ]
                )
            )
    template = jinja2.Environment(autoescape=True, undefined=jinja2.StrictUndefined, trim_blocks=True).from_string(
        (Path(__file__).parent / "report.html").read_text(encoding="utf-8")
    )
    return template.render(
        plan=plan,
        text=text,
        plays=len(rows),
        failed=sum(bool(row.problem) for row in rows),
        broken=sum(bool(row.broken) for row in rows),
        sure=f"{CONFIDENCE:.0%}",
        parts=_sections(rows),
        pictures=pictures,
    )
