"""One page of a sweep's results: tables with intervals, charts as pictures in the page itself, a failover over time."""

from __future__ import annotations

import io
from collections import defaultdict
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from sprucespool.emulator.plans import CASES, PlanWorld
from sprucespool.lab.compare import SURE, Comparison, compare_rows
from sprucespool.lab.sweep import Job, Results, Row, SweepPlan, jobs
from sprucespool.settings import read

# Figures that a chart may show, by kind: the first in which its lines differ. The picture's step and span, ms.
SHOWN = {
    "failover": ("service",),
    "fleet": ("late_forwards", "refused", "timed_out", "settled_s"),
    "group": ("settled_s",),
    "day": ("service",),
}
STEP, SPAN = 3_000.0, 75_000.0


@dataclass(slots=True)
class _Part:
    title: str
    lines: list[Comparison]
    chart: Any = ""
    broken: list[str] = field(default_factory=list)


@dataclass(slots=True)
class _Picture:
    title: str
    chart: Any


def _svg(chart: Any) -> Any:
    """In the page itself: no browser draws it, nothing is fetched."""
    from markupsafe import Markup

    out = io.StringIO()
    chart.save(out, format="svg")
    return Markup(out.getvalue())


def _chart(lines: list[Comparison]) -> Any:
    """By size where there are several, else by decider."""
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
    """Service by zone of clients, second by second, of one failover."""
    world = PlanWorld(job.controllers, job.invokers, job.seed, job.decider, loss=job.loss)
    CASES[job.case](world)
    world.run(SPAN)
    found: dict[tuple[int, str], list[int]] = defaultdict(lambda: [0, 0])
    for at, zone, good in world.asked:
        one = found[int(at // STEP), zone]
        one[0] += good
        one[1] += 1
    return [
        {"s": int(second * STEP / 1_000.0), "zone": zone, "service": good / of, "decider": job.decider}
        for (second, zone), (good, of) in sorted(found.items())
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
    one = plays[0]
    return _Picture(
        f"{one.case} over time, {one.controllers} controllers, {one.invokers} invokers, seed {one.seed}", _svg(chart)
    )


def _shown(kind: str, lines: list[Comparison]) -> list[Comparison]:
    by_figure = [[one for one in lines if one.figure == name] for name in SHOWN[kind]]
    return next((some for some in by_figure if len({one.mean for one in some}) > 1), [])


def _parts(rows: list[Row]) -> list[_Part]:
    found: dict[tuple[str, str], list[Comparison]] = {}
    for one in compare_rows(rows):
        found.setdefault((one.kind, one.case), []).append(one)
    parts = []
    for (kind, case), lines in found.items():
        shown = _shown(kind, lines)
        broken = sorted(
            {
                f"{row.job.decider}, {row.job.controllers} controllers, seed {row.job.seed}: {row.broken[0]}"
                for row in rows
                if row.broken and (row.job.kind, row.job.case) == (kind, case)
            }
        )
        parts.append(_Part(f"{kind}: {case}", lines, _chart(shown) if shown else "", broken[:20]))
    return parts


def report(folder: Path) -> str:
    """The page. Raises OSError, SettingsError, ResultsError."""
    import jinja2

    text = (folder / "plan.kdl").read_text(encoding="utf-8")
    plan = read(SweepPlan, text, str(folder / "plan.kdl"))
    order = {job: number for number, job in enumerate(jobs(plan))}
    rows = sorted(Results(folder).rows(), key=lambda row: order.get(row.job, len(order)))
    pictures = []
    for one in plan.experiments:
        if one.kind == "failover":
            sizes = int(one.controllers.split(",")[0]), int(one.invokers.split(",")[0])
            pictures.append(
                _picture(
                    [
                        Job("failover", one.case, who, *sizes, float(one.loss.split(",")[0]), plan.first_seed)
                        for who in one.who
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
        sure=f"{SURE:.0%}",
        parts=_parts(rows),
        pictures=pictures,
    )
