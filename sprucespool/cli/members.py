"""`sprucespool members`: the group of controllers in the view of a running controller."""

from __future__ import annotations

from rich.table import Table

from sprucespool.cli.asking import Unreachable, fetch_view, show
from sprucespool.daemon.group import Line, View
from sprucespool.wire import names

__all__ = ["Unreachable", "differences", "fetch", "run"]


async def fetch(where: str) -> View:
    """Raises Unreachable."""
    return await fetch_view(where, names.MEMBERSHIP_VIEW, View)


def differences(views: list[View]) -> list[str]:
    """One line for each member whose rows differ between the views, with the row of each view."""

    def describe(line: Line | None) -> str:
        if line is None:
            return "not there"
        suspected = f" (silent, say {', '.join(line.suspected_by)})" if line.suspected_by else ""
        return f"process {line.start}, version {line.version}, {line.phase}{suspected}"

    rows = [{(line.name, line.address): line for line in view.members} for view in views]
    differing = []
    for member in sorted(set().union(*rows)):
        descriptions = [describe(by_member.get(member)) for by_member in rows]
        if len(set(descriptions)) > 1:
            differing.append(
                f"{member[0]} at {member[1]}: "
                + "; ".join(f"{view.me}: {text}" for view, text in zip(views, descriptions, strict=True))
            )
    return differing


def _load(view: View, line: Line) -> str:
    metrics = dict(zip(view.figures, line.figures, strict=False))
    return f"{metrics['taken_a_second']:g}/s, owes {metrics['owed']:g}, cpu {metrics['cpu']:.0%}" if metrics else ""


def _common_cells(line: Line) -> tuple[str, ...]:
    """The table cells that rows of current and of former members have in common."""
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
            *_common_cells(line),
            _load(view, line),
            ", ".join(line.suspected_by),
        )
    for line in view.gone:
        table.add_row(
            *_common_cells(line),
            "",
            "",
        )
    return table


def run(addresses: list[str], watch: bool, as_json: bool, compare: bool) -> int:
    """Returns the exit status. Raises Unreachable, and ValueError if an address is malformed."""
    return show(fetch, differences, _table, "see the same", addresses, watch, as_json, compare)
