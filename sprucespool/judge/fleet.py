"""Checks the invariants of the shared fleet view over what controllers reported and what reached the invokers.

A simple, unoptimised checker over a recorded history. It imports nothing from the code that maintains the invariants.

(a) after the last fault or change all live controllers' digests of the fleet are equal within `alike_within`;
(b) nothing reaches a process later than `grace` plus `spread_within` after any reachable controller was informed that
    it is draining or gone;
(c) no controller lists a process as in service or draining for longer than `replaced_within` after a controller that
    it could reach was informed of a later process at the same address;
(d) with a lying member in the group, service falls by no more than `liar_costs` (see `loss`).
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

import msgspec

from sprucespool.judge.group import Began, BrokenInvariant, Ended, Faulted, History, last_fault, read


class FleetView(msgspec.Struct):
    """The view that `by` reported at `t` ms: rows of address, boot, and status (in service, draining or gone)."""

    t: float
    by: str
    digest: str
    rows: list[tuple[str, str, str]]


class WasTold(msgspec.Struct):
    """A roster, or the invoker itself, informed controller `by` of the status at `t`."""

    t: float
    by: str
    address: str
    boot: str
    status: str


class Reached(msgspec.Struct):
    """A forward or order of controller `by` reached a process at `t`."""

    t: float
    by: str
    address: str
    boot: str
    what: str = "forward"


class Born(msgspec.Struct):
    """An invoker process started."""

    t: float
    address: str
    boot: str


Happened = FleetView | WasTold | Reached | Born | Began | Ended | Faulted


@dataclass(slots=True)
class FleetBounds:
    """Limits of the invariants; times in ms. `slack` allows for the delay between the sockets of two processes."""

    alike_within: float = 5_000.0
    grace: float = 2_000.0
    spread_within: float = 3_000.0
    replaced_within: float = 5_000.0
    slack: float = 250.0
    liar_costs: float = 0.1
    # Lying members: their own views and forwards are not checked.
    liars: frozenset[str] = frozenset()


@dataclass(slots=True)
class FleetVerdict:
    """`settled`: ms from the last fault or change until digests were equal. `late`: for each arrival at a process that
    a reachable controller knew to be draining or gone, ms since that controller was informed. `told`: for each process
    that ended, ms until the last controller knew."""

    broken: list[BrokenInvariant]
    settled: float | None = None
    late: list[float] = field(default_factory=list)
    told: list[float] = field(default_factory=list)
    views: int = 0


def check(events: Iterable[Happened], bounds: FleetBounds, end: float) -> FleetVerdict:
    """Checks all invariants but (d). `end`: when the observation ended."""
    sorted_events = sorted(events, key=lambda event: event.t)
    history = read(event for event in sorted_events if isinstance(event, Began | Ended | Faulted))
    views = [event for event in sorted_events if isinstance(event, FleetView)]
    reports = [event for event in sorted_events if isinstance(event, WasTold)]
    verdict = FleetVerdict([], views=len(views))
    _check_digests(history, views, reports, bounds, end, verdict)
    _check_late_arrivals(
        history, reports, [event for event in sorted_events if isinstance(event, Reached)], bounds, verdict
    )
    _check_replaced(
        history, views, reports, [event for event in sorted_events if isinstance(event, Born)], bounds, verdict
    )
    _measure_spread(views, reports, verdict)
    verdict.broken.sort(key=lambda violation: violation.at)
    return verdict


def _live(history: History) -> set[str]:
    return {
        lifetime.name for lifetime in history.lives if lifetime.ended == float("inf") and lifetime.left == float("inf")
    }


def _check_digests(
    history: History,
    views: list[FleetView],
    reports: list[WasTold],
    bounds: FleetBounds,
    end: float,
    verdict: FleetVerdict,
):
    """Invariant (a)."""
    if history.faults and (history.faults[-1].sides or history.faults[-1].held or history.faults[-1].uneven):
        return
    last_change_at = max(last_fault(history), max((report.t for report in reports), default=0.0))
    live = _live(history) - bounds.liars
    digests: dict[str, str] = {}
    same_since: float | None = None
    for view in views:
        if view.t < last_change_at or view.by not in live:
            continue
        digests[view.by] = view.digest
        all_same = set(digests) == live and len(set(digests.values())) == 1
        same_since = (same_since if same_since is not None else view.t) if all_same else None
    verdict.settled = same_since - last_change_at if same_since is not None else None
    if end - last_change_at >= bounds.alike_within and (
        verdict.settled is None or verdict.settled > bounds.alike_within
    ):
        when = "never" if verdict.settled is None else f"after {verdict.settled:.0f} ms"
        verdict.broken.append(
            BrokenInvariant(
                "a",
                end,
                f"{len(live)} controllers held the same fleet view {when}, "
                f"{len(set(digests.values()))} digests at the end",
            )
        )


def _end_reports(reports: list[WasTold]) -> dict[tuple[str, str], list[WasTold]]:
    """Groups the reports of draining or gone by process."""
    by_process: dict[tuple[str, str], list[WasTold]] = {}
    for report in reports:
        if report.boot and report.status in ("draining", "gone"):
            by_process.setdefault((report.address, report.boot), []).append(report)
    return by_process


def _check_late_arrivals(
    history: History, reports: list[WasTold], reached: list[Reached], bounds: FleetBounds, verdict: FleetVerdict
):
    """Invariant (b)."""
    end_reports = _end_reports(reports)
    for arrival in reached:
        if arrival.by in bounds.liars:
            continue
        for report in end_reports.get((arrival.address, arrival.boot), ()):
            delay_ms = arrival.t - report.t
            if delay_ms <= bounds.grace + bounds.slack:
                break  # reports are in order of time: the time since later ones is shorter still
            if report.by != arrival.by and not history.reach(report.by, arrival.by, report.t, arrival.t):
                continue
            if not any(
                lifetime.name == report.by
                and lifetime.begun <= report.t
                and min(lifetime.ended, lifetime.left) > report.t + 1_000.0
                for lifetime in history.lives
            ):
                continue
            verdict.late.append(delay_ms)
            if delay_ms > bounds.grace + bounds.spread_within + bounds.slack:
                verdict.broken.append(
                    BrokenInvariant(
                        "b",
                        arrival.t,
                        f"a {arrival.what} of {arrival.by} reached {arrival.address} {arrival.boot}, {report.status} "
                        f"for {report.by} since {delay_ms / 1000:.1f} s",
                    )
                )
            break


def _check_replaced(
    history: History,
    views: list[FleetView],
    reports: list[WasTold],
    births: list[Born],
    bounds: FleetBounds,
    verdict: FleetVerdict,
):
    """Invariant (c)."""
    boots: dict[str, list[str]] = {}
    for birth in births:
        boots.setdefault(birth.address, []).append(birth.boot)
    starts: dict[str, list[WasTold]] = {}
    for report in reports:
        if report.status == "in service" and report.boot in boots.get(report.address, ()):
            starts.setdefault(report.address, []).append(report)
    for view in views:
        for address, boot, status in view.rows if view.by not in bounds.liars else ():
            if status == "gone" or boot not in boots.get(address, ()):
                continue
            position = boots[address].index(boot)
            for report in starts.get(address, ()):
                if (
                    boots[address].index(report.boot) > position
                    and view.t > report.t + bounds.replaced_within
                    and history.reach(report.by, view.by, report.t, view.t)
                    and view.by in _live(history)
                ):
                    verdict.broken.append(
                        BrokenInvariant(
                            "c", view.t, f"{view.by} holds {address} {boot} {status}, already replaced by {report.boot}"
                        )
                    )
                    break


def _measure_spread(views: list[FleetView], reports: list[WasTold], verdict: FleetVerdict):
    """Measures for each end of a process how many ms passed until the views of all controllers showed it."""
    names = {view.by for view in views}
    for process, end_reports in _end_reports(reports).items():
        reported_at, missing = end_reports[0].t, set(names)
        for view in views:
            if view.t >= reported_at and view.by in missing and (*process, "in service") not in view.rows:
                missing.discard(view.by)
                if not missing:
                    verdict.told.append(view.t - reported_at)
                    break


def loss(with_liar: float, without: float, bounds: FleetBounds, at: float = 0.0) -> list[BrokenInvariant]:
    """Checks (d) on the service of two runs that differ only in the lying member."""
    if with_liar >= without - bounds.liar_costs:
        return []
    return [BrokenInvariant("d", at, f"service {with_liar:.3f} with a liar, {without:.3f} without")]
