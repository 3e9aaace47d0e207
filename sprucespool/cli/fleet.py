"""`sprucespool fleet`: the invokers as a running controller knows them."""

from __future__ import annotations

from rich.table import Table

from sprucespool.cli.asking import Unreachable, fetched, show
from sprucespool.daemon.fleet import FleetShown, Shown
from sprucespool.wire import names

__all__ = ["Unreachable", "differences", "fetch", "run"]


async def fetch(where: str) -> FleetShown:
    """Raises Unreachable."""
    return await fetched(where, names.MEMBERSHIP_FLEET, FleetShown)


def differences(views: list[FleetShown]) -> list[str]:
    """Processes of which the views hold different things, a line each."""

    def told(line: Shown | None) -> str:
        return "not known" if line is None else f"{line.status}, zone {line.zone or '-'}, {line.kind or 'no kind'}"

    rows = [{(line.address, line.boot): line for line in view.invokers} for view in views]
    lines = []
    for process in sorted(set().union(*rows)):
        said = [told(found.get(process)) for found in rows]
        if len(set(said)) > 1:
            lines.append(
                f"{process[0]} {process[1] or '(no boot)'}: "
                + "; ".join(f"{view.me}: {text}" for view, text in zip(views, said, strict=True))
            )
    return lines


def _who(line: Shown) -> str:
    parts = []
    for one in line.said:
        source = f" ({one.source} {one.version})" if one.source else f" ({one.age_ms / 1000:.1f} s)" * (one.age_ms >= 0)
        parts.append(f"{one.by}: {one.says}{source}")
    return "; ".join(parts)


def _table(view: FleetShown) -> Table:
    roster = f"roster {view.source or '-'} {view.version}" + ("" if view.live else ", LOST")
    more = "".join(
        f", {what} {', '.join(map(str, found))}"
        for what, found in (("PANIC in zone", [zone or "-" for zone in view.panic]), ("not believed:", view.distrusted))
        if found
    )
    table = Table(title=f"invokers of group {view.group} as {view.me} knows them: digest {view.digest}, {roster}{more}")
    for name in ("zone", "invoker", "process", "kind", "state", "running", "copies", "who says what"):
        table.add_column(name)
    for line in view.invokers:
        state = line.status + (f", UNREACHABLE: {line.doubted}" if line.doubted else "")
        running = f"{line.running_ms / 1000:.0f} s" if line.running_ms >= 0 else "-"
        table.add_row(line.zone, line.address, line.boot, line.kind, state, running, str(line.copies), _who(line))
    return table


def run(addresses: list[str], watch: bool, as_json: bool, compare: bool) -> int:
    """Raises Unreachable, and ValueError on what is no address."""
    return show(fetch, differences, _table, "know the same", addresses, watch, as_json, compare)
