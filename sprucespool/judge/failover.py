"""Checks the invariants of failover over the plans that controllers reported and what reached the invokers.

A simple, unoptimised checker over a recorded history. It imports nothing from the code that maintains the invariants.

(a) an epoch has one plan, whichever controller reports it, and no process returns to an earlier epoch;
(b) no zone receives more than its cap plus `cap_slack` for longer than `over_for`, summed over all controllers that
    follow a plan, as observed at the invokers (a controller without a plan uses the safe plan, which has no caps);
(c) without faults, a share of less than `crossings` of the forwards leaves its zone;
(d) traffic that is bound to its region never leaves it;
(e) no more than `changes` plans come into force within any minute;
(f) after the last fault all follow one plan within `follow_within`, and the share of traffic that stays in its zone is
    back to `near_again` within `near_within`;
(g) a controller that is cut off from the majority of voters for longer than `unrenewed` follows no plan, since it
    receives no renewal.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field

import msgspec

from sprucespool.judge.group import BrokenInvariant

WINDOW_MS = 2_000.0
NONE = (0, 0)


class PlanView(msgspec.Struct):
    """The plan that process `start` of `by` reported at `t` ms as followed; `plan` identifies all of its shares."""

    t: float
    by: str
    start: int
    epoch: tuple[int, int]
    plan: str
    caps: dict[str, float] = {}


class Reached(msgspec.Struct):
    """A forward of a controller in `zone` reached an invoker in zone `to`; `work` in ms of a core. `bound`: it must
    stay in its region; `again`: it is not the first forward of its inference."""

    t: float
    by: str
    zone: str
    to: str
    work: float
    bound: bool = False
    again: bool = False


@dataclass(slots=True)
class FailoverBounds:
    """Limits of the invariants; times in ms. `regions` gives the region of each zone. No fault is active from
    `calm_from` to `calm_until`."""

    regions: dict[str, str] = field(default_factory=dict)
    calm_from: float = 0.0
    calm_until: float = 0.0
    last_fault: float = 0.0
    live: frozenset[str] = frozenset()
    cap_slack: float = 0.4
    slack_cores: float = 1.5
    over_for: float = 5_000.0
    crossings: float = 0.01
    changes: int = 24
    follow_within: float = 10_000.0
    near_again: float = 0.95
    near_within: float = 30_000.0
    # Names that reach less than a majority of the voters, from when and until when. `unrenewed` is how long a plan
    # lasts without renewal, plus how long a report of the last renewal may circulate among them.
    cut_off: list[tuple[frozenset[str], float, float]] = field(default_factory=list)
    unrenewed: float = 10_500.0


@dataclass(slots=True)
class FailoverVerdict:
    """`settled`: ms from the last fault until all followed one plan; `near`: until the share of traffic that stays in
    its zone had recovered."""

    broken: list[BrokenInvariant]
    settled: float | None = None
    near: float | None = None
    plans: int = 0
    views: int = 0
    crossed: float = 0.0
    calm_crossed: float = 0.0


def check(views: Iterable[PlanView], reached: Iterable[Reached], bounds: FailoverBounds, end: float) -> FailoverVerdict:
    """Checks all invariants. `end`: when the observation ended."""
    sorted_views, arrivals = sorted(views, key=lambda view: view.t), sorted(reached, key=lambda arrival: arrival.t)
    verdict = FailoverVerdict([], views=len(sorted_views))
    first_forwards = [arrival for arrival in arrivals if not arrival.again]
    crossings = sum(arrival.zone != arrival.to for arrival in first_forwards)
    verdict.crossed = crossings / len(first_forwards) if first_forwards else 0.0
    _check_epochs(sorted_views, verdict)
    _check_caps(sorted_views, arrivals, bounds, verdict)
    _check_calm_crossings(first_forwards, bounds, verdict)
    for arrival in arrivals:
        if arrival.bound and bounds.regions.get(arrival.zone) != bounds.regions.get(arrival.to):
            verdict.broken.append(
                BrokenInvariant(
                    "d",
                    arrival.t,
                    f"traffic bound to its region came from {arrival.by} in {arrival.zone} to {arrival.to}",
                )
            )
    _check_plan_changes(sorted_views, bounds, verdict)
    _check_recovery(sorted_views, first_forwards, bounds, end, verdict)
    _check_cut_off(sorted_views, bounds, verdict)
    verdict.broken.sort(key=lambda violation: violation.at)
    return verdict


def _check_cut_off(views: list[PlanView], bounds: FailoverBounds, verdict: FailoverVerdict):
    """Invariant (g)."""
    for names, since, until in bounds.cut_off:
        for view in views:
            if view.by in names and since + bounds.unrenewed < view.t < until and view.epoch != NONE:
                verdict.broken.append(
                    BrokenInvariant(
                        "g",
                        view.t,
                        f"{view.by} follows plan {view.epoch}, cut off from most voters for {view.t - since:.0f} ms",
                    )
                )


def _check_epochs(views: list[PlanView], verdict: FailoverVerdict):
    """Invariant (a)."""
    plans: dict[tuple[int, int], str] = {}
    newest: dict[tuple[str, int], tuple[int, int]] = {}
    for view in views:
        if view.epoch == NONE:
            continue
        if plans.setdefault(view.epoch, view.plan) != view.plan:
            verdict.broken.append(
                BrokenInvariant("a", view.t, f"{view.by} reports another plan for epoch {view.epoch}")
            )
        before = newest.get((view.by, view.start), NONE)
        if view.epoch < before:
            verdict.broken.append(
                BrokenInvariant("a", view.t, f"{view.by} went back from epoch {before} to {view.epoch}")
            )
        newest[view.by, view.start] = view.epoch
    verdict.plans = len(plans)


def _check_caps(views: list[PlanView], arrivals: list[Reached], bounds: FailoverBounds, verdict: FailoverVerdict):
    """Invariant (b). The caps in force at a time are those of the newest epoch reported by then."""
    caps: list[tuple[float, dict[str, float]]] = []
    newest = NONE
    views_of: dict[str, list[PlanView]] = {}
    for view in views:
        views_of.setdefault(view.by, []).append(view)
        if view.epoch > newest and view.caps:
            newest = view.epoch
            caps.append((view.t, view.caps))
    views_passed = dict.fromkeys(views_of, 0)
    recent: dict[str, deque[tuple[float, float]]] = {}
    sums: dict[str, float] = {}
    over_since: dict[str, float] = {}
    cap_position = 0
    for arrival in arrivals:
        while cap_position < len(caps) and caps[cap_position][0] <= arrival.t:
            cap_position += 1
        own_views = views_of.get(arrival.by, [])
        while (
            arrival.by in views_passed
            and views_passed[arrival.by] < len(own_views)
            and own_views[views_passed[arrival.by]].t <= arrival.t
        ):
            views_passed[arrival.by] += 1
        if (
            not cap_position
            or arrival.to not in caps[cap_position - 1][1]
            or not views_passed.get(arrival.by)
            or own_views[views_passed[arrival.by] - 1].epoch == NONE
        ):
            continue
        window = recent.setdefault(arrival.to, deque())
        window.append((arrival.t, arrival.work))
        sums[arrival.to] = sums.get(arrival.to, 0.0) + arrival.work
        while window[0][0] < arrival.t - WINDOW_MS:
            sums[arrival.to] -= window.popleft()[1]
        cap = caps[cap_position - 1][1][arrival.to]
        if sums[arrival.to] / WINDOW_MS <= cap * (1 + bounds.cap_slack) + bounds.slack_cores:
            over_since.pop(arrival.to, None)
        elif arrival.t - over_since.setdefault(arrival.to, arrival.t) > bounds.over_for:
            verdict.broken.append(
                BrokenInvariant(
                    "b",
                    arrival.t,
                    f"zone {arrival.to} gets {sums[arrival.to] / WINDOW_MS:.1f} cores since "
                    f"{(arrival.t - over_since.pop(arrival.to)) / 1000:.1f} s, its cap is {cap:.1f}",
                )
            )


def _check_calm_crossings(first_forwards: list[Reached], bounds: FailoverBounds, verdict: FailoverVerdict):
    """Invariant (c)."""
    calm = [arrival for arrival in first_forwards if bounds.calm_from <= arrival.t < bounds.calm_until]
    if not calm:
        return
    verdict.calm_crossed = sum(arrival.zone != arrival.to for arrival in calm) / len(calm)
    if verdict.calm_crossed >= bounds.crossings:
        verdict.broken.append(
            BrokenInvariant(
                "c",
                bounds.calm_until,
                f"{verdict.calm_crossed:.1%} of the forwards left their zone without any fault",
            )
        )


def _check_plan_changes(views: list[PlanView], bounds: FailoverBounds, verdict: FailoverVerdict):
    """Invariant (e)."""
    first_reported_at: dict[tuple[int, int], float] = {}
    for view in views:
        if view.epoch != NONE:
            first_reported_at.setdefault(view.epoch, view.t)
    minute: deque[float] = deque()
    for reported_at in sorted(first_reported_at.values()):
        minute.append(reported_at)
        while minute[0] < reported_at - 60_000.0:
            minute.popleft()
        if len(minute) > bounds.changes:
            verdict.broken.append(
                BrokenInvariant("e", reported_at, f"{len(minute)} plans came into force within a minute")
            )
            return


def _check_recovery(
    views: list[PlanView], first_forwards: list[Reached], bounds: FailoverBounds, end: float, verdict: FailoverVerdict
):
    """Invariant (f)."""
    epochs: dict[str, tuple[int, int]] = {}
    same_since: float | None = None
    for view in views:
        if view.t < bounds.last_fault or view.by not in bounds.live:
            continue
        previous = epochs.get(view.by)
        epochs[view.by] = view.epoch
        all_same = set(epochs) == bounds.live and len(set(epochs.values())) == 1 and view.epoch != NONE
        # A change of plan alone does not reset the time, as all controllers follow the new plan soon after.
        if all_same:
            same_since = view.t if same_since is None else same_since
        elif previous is not None and view.epoch == NONE or set(epochs) != bounds.live:
            same_since = None
    verdict.settled = None if same_since is None else same_since - bounds.last_fault
    if (
        bounds.live
        and end - bounds.last_fault >= bounds.follow_within
        and (verdict.settled is None or verdict.settled > bounds.follow_within)
    ):
        when = "never" if verdict.settled is None else f"after {verdict.settled:.0f} ms"
        verdict.broken.append(
            BrokenInvariant(
                "f", end, f"{len(bounds.live)} controllers followed one plan {when}: {sorted(set(epochs.values()))}"
            )
        )
    later = [arrival for arrival in first_forwards if arrival.t >= bounds.last_fault]
    remaining, remaining_near = len(later), sum(arrival.zone == arrival.to for arrival in later)
    window: deque[Reached] = deque()
    near = 0
    for arrival in later:
        window.append(arrival)
        near += arrival.zone == arrival.to
        remaining -= 1
        remaining_near -= arrival.zone == arrival.to
        while window[0].t < arrival.t - WINDOW_MS:
            near -= window[0].zone == window.popleft().to
        # Recovered for good: of all later traffic, only a small share leaves its zone.
        if (
            arrival.t - bounds.last_fault >= WINDOW_MS
            and near / len(window) >= bounds.near_again
            and remaining_near >= bounds.near_again * remaining
        ):
            verdict.near = arrival.t - bounds.last_fault
            break
    if (
        later
        and end - bounds.last_fault >= bounds.near_within
        and (verdict.near is None or verdict.near > bounds.near_within)
    ):
        when = "not" if verdict.near is None else f"{verdict.near / 1000:.1f} s after"
        verdict.broken.append(BrokenInvariant("f", end, f"near traffic was {when} back to {bounds.near_again:.0%}"))
