"""`sprucespool members`: the group as a running controller sees it."""
from __future__ import annotations

import asyncio
import sys
import time

import msgspec
from rich.console import Console
from rich.table import Table

from sprucespool.cli.asking import Unreachable, ask
from sprucespool.daemon.group import Line, View
from sprucespool.wire import names
from sprucespool.wire import platform_pb2 as platform

__all__ = ["Unreachable", "differences", "fetch", "run"]


async def fetch(where: str) -> View:
    """Raises Unreachable."""
    reply = await ask(where, names.MEMBERSHIP_VIEW, platform.ViewRequest(), platform.ViewReply)
    return msgspec.json.decode(reply.view, type=View)


async def _all(addresses: list[str]) -> list[View]:
    return list(await asyncio.gather(*(fetch(where) for where in addresses)))


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
            lines.append(f"{seat[0]} at {seat[1]}: " + "; ".join(
                f"{view.me}: {text}" for view, text in zip(views, said, strict=True)))
    return lines


def _table(view: View) -> Table:
    table = Table(title=f"group {view.group} as {view.me} sees it: {view.live} there, digest {view.digest}, "
                        f"epoch {view.epoch}, own part {view.part:.3f}" + (", ISOLATED" if view.isolated else ""))
    for name in ("region", "zone", "member", "address", "number", "phase", "state", "last word", "silent, say"):
        table.add_column(name)
    for line in sorted(view.members, key=lambda line: (line.region, line.zone, line.name)):
        table.add_row(line.region, line.zone, line.name, line.address, f"{line.number}/{line.of}", line.phase,
                      line.state, f"{line.age_ms / 1000:.1f} s", ", ".join(line.suspected_by))
    for line in view.gone:
        table.add_row(line.region, line.zone, line.name, line.address, f"{line.number}/{line.of}", line.phase,
                      line.state, f"{line.age_ms / 1000:.1f} s", "")
    return table


def run(addresses: list[str], watch: bool, as_json: bool, compare: bool) -> int:
    """Raises Unreachable, and ValueError on what is no address."""
    while True:
        views = asyncio.run(_all(addresses if compare else addresses[:1]))
        if as_json:
            print(msgspec.json.encode(views if compare else views[0]).decode(), flush=True)
        elif compare:
            found = differences(views)
            alike = f"{len(views)} controllers see the same: {views[0].digest}"
            print("\n".join(found) if found else alike, flush=True)
        else:
            Console(width=None if sys.stdout.isatty() else 140).print(_table(views[0]))
        if not watch:
            return int(compare and bool(differences(views)))
        time.sleep(1.0)
