"""`sprucespool fleet`: the invokers in the fleet view of a running controller."""

from __future__ import annotations

from rich.table import Table

from sprucespool.cli.asking import Unreachable, fetch_view, show
from sprucespool.daemon.fleet import FleetShown, Shown
from sprucespool.wire import names

__all__ = ["Unreachable", "differences", "fetch", "run"]


async def fetch(where: str) -> FleetShown:
    """Raises Unreachable."""
    return await fetch_view(where, names.MEMBERSHIP_FLEET, FleetShown)


def differences(views: list[FleetShown]) -> list[str]:
    """One line for each invoker process whose entries differ between the views."""

    def describe(line: Shown | None) -> str:
        return "not known" if line is None else f"{line.status}, zone {line.zone or '-'}, {line.kind or 'no kind'}"

    rows = [{(line.address, line.boot): line for line in view.invokers} for view in views]
    differing = []
    for process in sorted(set().union(*rows)):
        descriptions = [describe(by_process.get(process)) for by_process in rows]
        if len(set(descriptions)) > 1:
            differing.append(
                f"{process[0]} {process[1] or '(no boot)'}: "
                + "; ".join(f"{view.me}: {text}" for view, text in zip(views, descriptions, strict=True))
            )
    return differing


def _opinions(line: Shown) -> str:
    opinions = []
    for opinion in line.said:
        source = (
            f" ({opinion.source} {opinion.version})"
            if opinion.source
            else f" ({opinion.age_ms / 1000:.1f} s)" * (opinion.age_ms >= 0)
        )
        opinions.append(f"{opinion.by}: {opinion.says}{source}")
    return "; ".join(opinions)


def _table(view: FleetShown) -> Table:
    roster = f"roster {view.source or '-'} {view.version}" + ("" if view.live else ", LOST")
    warnings = "".join(
        f", {label} {', '.join(map(str, values))}"
        for label, values in (
            ("PANIC in zone", [zone or "-" for zone in view.panic]),
            ("not believed:", view.distrusted),
        )
        if values
    )
    table = Table(
        title=f"invokers of group {view.group} as {view.me} knows them: digest {view.digest}, {roster}{warnings}"
    )
    for name in ("zone", "invoker", "process", "kind", "state", "running", "copies", "who says what"):
        table.add_column(name)
    for line in view.invokers:
        state = line.status + (f", UNREACHABLE: {line.doubted}" if line.doubted else "")
        running = f"{line.running_ms / 1000:.0f} s" if line.running_ms >= 0 else "-"
        table.add_row(line.zone, line.address, line.boot, line.kind, state, running, str(line.copies), _opinions(line))
    return table


def run(addresses: list[str], watch: bool, as_json: bool, compare: bool) -> int:
    """Returns the exit status. Raises Unreachable, and ValueError if an address is malformed."""
    return show(fetch, differences, _table, "know the same", addresses, watch, as_json, compare)
