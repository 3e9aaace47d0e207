"""`sprucespool members`: the group as a running controller sees it."""

from __future__ import annotations

from rich.table import Table

from sprucespool.cli.asking import Unreachable, fetched, show
from sprucespool.daemon.group import Line, View
from sprucespool.wire import names

__all__ = ["Unreachable", "differences", "fetch", "run"]


async def fetch(where: str) -> View:
    """Raises Unreachable."""
    return await fetched(where, names.MEMBERSHIP_VIEW, View)


def differences(views: list[View]) -> list[str]:
    """Rows in which the views differ, a line each: what each view has in its place."""

    def told(line: Line | None) -> str:
        if line is None:
            return "not there"
        suspected = f" (silent, say {', '.join(line.suspected_by)})" if line.suspected_by else ""
        return f"process {line.start}, version {line.version}, {line.phase}{suspected}"

    rows = [{(line.name, line.address): line for line in view.members} for view in views]
    lines = []
    for seat in sorted(set().union(*rows)):
        said = [told(by_seat.get(seat)) for by_seat in rows]
        if len(set(said)) > 1:
            lines.append(
                f"{seat[0]} at {seat[1]}: "
                + "; ".join(f"{view.me}: {text}" for view, text in zip(views, said, strict=True))
            )
    return lines


def _load(view: View, line: Line) -> str:
    told = dict(zip(view.figures, line.figures, strict=False))
    return f"{told['taken_a_second']:g}/s, owes {told['owed']:g}, cpu {told['cpu']:.0%}" if told else ""


def _facts(line: Line) -> tuple[str, ...]:
    """The cells that members and those that are gone have in common."""
    return (
        line.region,
        line.zone,
        line.name,
        line.address,
        f"{line.number}/{line.of}",
        line.phase,
        line.state,
        f"{line.age_ms / 1000:.1f} s",
    )


def _table(view: View) -> Table:
    table = Table(
        title=f"group {view.group} as {view.me} sees it: {view.live} there, digest {view.digest}, "
        f"epoch {view.epoch}, own part {view.part:.3f}" + (", ISOLATED" if view.isolated else "")
    )
    for name in ("region", "zone", "member", "address", "number", "phase", "state", "last word", "load", "silent, say"):
        table.add_column(name)
    for line in sorted(view.members, key=lambda line: (line.region, line.zone, line.name)):
        table.add_row(
            *_facts(line),
            _load(view, line),
            ", ".join(line.suspected_by),
        )
    for line in view.gone:
        table.add_row(
            *_facts(line),
            "",
            "",
        )
    return table


def run(addresses: list[str], watch: bool, as_json: bool, compare: bool) -> int:
    """Raises Unreachable, and ValueError on what is no address."""
    return show(fetch, differences, _table, "see the same", addresses, watch, as_json, compare)
