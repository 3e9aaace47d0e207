"""`sprucespool zones`, `drain-zone`, `undrain-zone`, `failover what-if`: the plan of zones and operators' drains."""

from __future__ import annotations

import asyncio

import msgspec
from rich.console import Console
from rich.table import Table

from sprucespool.cli.asking import Unreachable, ask, fetch_view, show
from sprucespool.daemon.failover import ZonesShown
from sprucespool.failover.whatif import Answer, WhatIf, what_if
from sprucespool.wire import names
from sprucespool.wire import platform_pb2 as platform

__all__ = ["Unreachable", "differences", "drain", "fetch", "run", "what_if_of"]


# Longer than a leader waits for a majority of the voters to agree.
DRAIN_TIMEOUT_MS = 10_000.0


async def fetch(where: str) -> ZonesShown:
    """Raises Unreachable."""
    return await fetch_view(where, names.MEMBERSHIP_ZONES, ZonesShown)


def differences(views: list[ZonesShown]) -> list[str]:
    """One line if the views follow different plans, and one for each zone that only some list as drained."""
    differing = []
    if len({view.epoch for view in views}) > 1:
        differing.append("plans: " + "; ".join(f"{view.me}: {view.digest} ({view.why})" for view in views))
    for zone in sorted({zone for view in views for zone in view.wanted}):
        if any(zone not in view.wanted for view in views):
            differing.append(
                f"zone {zone}: to be empty at " + ", ".join(v.me for v in views if zone in v.wanted) + " only"
            )
    return differing


def _format_shares(shares: dict[str, float], home: str) -> str:
    if shares == {home: 1.0}:
        return "home"
    shed = 1.0 - sum(shares.values())
    portions = [f"{zone} {share:.1%}" for zone, share in sorted(shares.items(), key=lambda item: -item[1])]
    return ", ".join(portions + ([f"shed {shed:.1%}"] if shed > 1e-4 else [])) or "shed"


def _table(view: ZonesShown) -> Table:
    agreeing = sum(epoch == view.epoch for epoch in view.follows.values())
    plan = f"plan {view.digest}, renewed {view.age_ms / 1000:.1f} s ago" if view.age_ms >= 0 else "NO PLAN in force"
    title = (
        f"zones as {view.me} (zone {view.zone}) follows them: {plan}: {view.why}; "
        f"leader {view.leader or '-'} of voters {', '.join(view.voters)}; {agreeing} of {len(view.follows)} agree"
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
            _format_shares(line.free, line.zone),
            _format_shares(line.bound, line.zone),
            ", ".join(f"{cell} {cores:.1f}" for cell, cores in line.cells.items()),
        )
    return table


def run(addresses: list[str], watch: bool, as_json: bool, compare: bool) -> int:
    """Returns the exit status. Raises Unreachable, and ValueError if an address is malformed."""
    return show(fetch, differences, _table, "follow the same plan", addresses, watch, as_json, compare)


async def drain(where: str, zone: str, draining: bool, force: bool) -> str:
    """Sends the request to a controller and follows the replies to the leader; returns the reason for a refusal, or an
    empty string. Raises Unreachable, and ValueError if an address is malformed."""
    request = platform.DrainZoneRequest(zone=zone, drain=draining, force=force)
    contacted = [where]
    while True:
        reply = await ask(
            contacted[-1], names.MEMBERSHIP_DRAIN_ZONE, request, platform.DrainZoneReply, DRAIN_TIMEOUT_MS
        )
        if reply.done:
            return ""
        if not reply.leader or reply.leader in contacted or len(contacted) > 4:
            return reply.why
        contacted.append(reply.leader)


def run_drain(where: str, zone: str, draining: bool, force: bool) -> int:
    """Returns the exit status: 1 if the request was refused."""
    refusal = asyncio.run(drain(where, zone, draining, force))
    print(f"zone {zone}: " + (f"refused: {refusal}" if refusal else "to be empty" if draining else "open again"))
    return 1 if refusal else 0


def what_if_of(states: WhatIf, as_json: bool) -> int:
    """Prints the plan of each described state; returns the exit status: 1 if an expectation does not hold."""
    answers = what_if(states)
    if as_json:
        print(msgspec.json.encode(answers).decode())
    else:
        for answer in answers:
            Console(width=120).print(_plan_table(answer))
            for line in answer.broken:
                print(line)
    return int(any(answer.broken for answer in answers))


def _plan_table(answer: Answer) -> Table:
    table = Table(title=f"state {answer.state}")
    for name in ("zone", "cap", "traffic", "bound traffic", "shed (cores)"):
        table.add_column(name)
    for zone in sorted(answer.caps):
        table.add_row(
            zone,
            f"{answer.caps[zone]:.1f}",
            _format_shares(answer.free.get(zone, {}), zone),
            _format_shares(answer.bound.get(zone, {}), zone),
            f"{answer.shed.get(zone, 0.0):.1f}",
        )
    return table
