"""`sprucespool zones`, `drain-zone`, `undrain-zone`, `failover what-if`: the plan of zones, and what operators want."""

from __future__ import annotations

import asyncio

import msgspec
from rich.console import Console
from rich.table import Table

from sprucespool.cli.asking import Unreachable, ask, fetched, show
from sprucespool.daemon.failover import ZonesShown
from sprucespool.failover.whatif import Answer, WhatIf, what_if
from sprucespool.wire import names
from sprucespool.wire import platform_pb2 as platform

__all__ = ["Unreachable", "differences", "drain", "fetch", "run", "what_if_of"]


# Longer (ms) than a leader waits for most voters to agree.
DRAIN_WITHIN = 10_000.0


async def fetch(where: str) -> ZonesShown:
    """Raises Unreachable."""
    return await fetched(where, names.MEMBERSHIP_ZONES, ZonesShown)


def differences(views: list[ZonesShown]) -> list[str]:
    """A line if they follow different plans, and one for each zone that operators want empty by some only."""
    lines = []
    if len({view.epoch for view in views}) > 1:
        lines.append("plans: " + "; ".join(f"{view.me}: {view.digest} ({view.why})" for view in views))
    for zone in sorted({zone for view in views for zone in view.wanted}):
        if any(zone not in view.wanted for view in views):
            lines.append(f"zone {zone}: to be empty at " + ", ".join(v.me for v in views if zone in v.wanted) + " only")
    return lines


def _row(shares: dict[str, float], home: str) -> str:
    if shares == {home: 1.0}:
        return "home"
    shed = 1.0 - sum(shares.values())
    parts = [f"{zone} {part:.1%}" for zone, part in sorted(shares.items(), key=lambda item: -item[1])]
    return ", ".join(parts + ([f"shed {shed:.1%}"] if shed > 1e-4 else [])) or "shed"


def _table(view: ZonesShown) -> Table:
    agree = sum(epoch == view.epoch for epoch in view.follows.values())
    plan = f"plan {view.digest}, renewed {view.age_ms / 1000:.1f} s ago" if view.age_ms >= 0 else "NO PLAN in force"
    title = (
        f"zones as {view.me} (zone {view.zone}) follows them: {plan}: {view.why}; "
        f"leader {view.leader or '-'} of voters {', '.join(view.voters)}; {agree} of {len(view.follows)} agree"
    )
    table = Table(title=title + (f"; left by own eyes: {', '.join(view.left)}" if view.left else ""))
    for name in (
        "region",
        "zone",
        "takes now",
        "warm",
        "asked",
        "bound",
        "trust",
        "cap",
        "traffic",
        "bound traffic",
        "cells",
    ):
        table.add_column(name)
    for line in view.zones:
        mark = " DRAINED" if line.drained else ""
        table.add_row(
            line.region,
            line.zone + mark,
            f"{line.now:.1f}",
            f"{line.warm:.1f}",
            f"{line.asked:.1f}",
            f"{line.bound_asked:.1f}",
            f"{line.trust:.2f}",
            f"{line.cap:.1f}" if line.cap >= 0 else "-",
            _row(line.free, line.zone),
            _row(line.bound, line.zone),
            ", ".join(f"{cell} {cores:.1f}" for cell, cores in line.cells.items()),
        )
    return table


def run(addresses: list[str], watch: bool, as_json: bool, compare: bool) -> int:
    """Raises Unreachable, and ValueError on what is no address."""
    return show(fetch, differences, _table, "follow the same plan", addresses, watch, as_json, compare)


async def drain(where: str, zone: str, away: bool, force: bool) -> str:
    """Asks who leads, wherever that is; gives why it was refused, or nothing. Raises Unreachable, ValueError."""
    request = platform.DrainZoneRequest(zone=zone, drain=away, force=force)
    asked = [where]
    while True:
        reply = await ask(asked[-1], names.MEMBERSHIP_DRAIN_ZONE, request, platform.DrainZoneReply, DRAIN_WITHIN)
        if reply.done:
            return ""
        if not reply.leader or reply.leader in asked or len(asked) > 4:
            return reply.why
        asked.append(reply.leader)


def run_drain(where: str, zone: str, away: bool, force: bool) -> int:
    """Gives the exit status: 1 where it was refused."""
    why = asyncio.run(drain(where, zone, away, force))
    print(f"zone {zone}: " + (f"refused: {why}" if why else "to be empty" if away else "open again"))
    return 1 if why else 0


def what_if_of(told: WhatIf, as_json: bool) -> int:
    """Prints what would be planned; gives the exit status: 1 where an expectation does not hold."""
    answers = what_if(told)
    if as_json:
        print(msgspec.json.encode(answers).decode())
    else:
        for answer in answers:
            Console(width=120).print(_planned(answer))
            for line in answer.broken:
                print(line)
    return int(any(answer.broken for answer in answers))


def _planned(answer: Answer) -> Table:
    table = Table(title=f"state {answer.state}")
    for name in ("zone", "cap", "traffic", "bound traffic", "shed (cores)"):
        table.add_column(name)
    for zone in sorted(answer.caps):
        table.add_row(
            zone,
            f"{answer.caps[zone]:.1f}",
            _row(answer.free.get(zone, {}), zone),
            _row(answer.bound.get(zone, {}), zone),
            f"{answer.shed.get(zone, 0.0):.1f}",
        )
    return table
