"""Verdicts on a day that was played: what was noted by its processes, handed to the judges."""

from __future__ import annotations

from sprucespool.judge import RuleFacts, seen
from sprucespool.judge import failover as failover_seen
from sprucespool.judge import fleet as fleet_seen
from sprucespool.judge import group as group_seen
from sprucespool.judge.rules import GroupRule
from sprucespool.standin.script import Day
from sprucespool.standin.watching import Watch


def facts(day: Day) -> RuleFacts:
    """What the judge of the five rules needs to know of the day."""
    return RuleFacts(
        {g.name: GroupRule(g.effect, g.scope, g.dedup_window) for g in day.model_groups},
        day.fleet.drain_grace,
        day.forwards.duplicate,
        day.fleet.cold_share,
        day.fleet.warm_after,
        day.fleet.fall_multiple,
        day.fleet.fall_window,
        day.orders.floor,
        day.orders.share,
        day.orders.window,
    )


def fleet_verdict(
    day: Day, watch: Watch, watched_until: float, found: list[seen.Seen]
) -> fleet_seen.FleetVerdict | None:
    """Of what controllers knew of the invokers; None where the day has no group."""
    told = day.group
    if told is None:
        return None
    happened: list[fleet_seen.Happened] = [*watch.fleets]
    happened += [one for one in watch.noted if not isinstance(one, group_seen.SeenView)]
    for one in found:
        if isinstance(one, seen.Told):
            happened.append(fleet_seen.WasTold(one.t, f"c{one.controller}", one.invoker, one.boot, one.status))
        elif isinstance(one, seen.Came):
            happened.append(fleet_seen.Reached(one.t, f"c{one.controller}", one.invoker, one.boot))
        elif isinstance(one, seen.Ordered) and one.copies:
            happened.append(fleet_seen.Reached(one.t, f"c{one.controller}", one.invoker, one.boot, "order"))
        elif isinstance(one, seen.Booted):
            happened.append(fleet_seen.Born(one.t, one.invoker, one.boot))
    # Without views only what reached whom is counted: the same figure for the same day with none.
    liars = frozenset({f"c{told.liar}"} if told.liar >= 0 else ())
    bounds = fleet_seen.FleetBounds(
        told.fleet_alike_within, day.fleet.drain_grace, told.spread_within, told.replaced_within, liars=liars
    )
    verdict = fleet_seen.check(happened, bounds, watched_until)
    return verdict if told.view else fleet_seen.FleetVerdict([], None, verdict.late, [], 0)


def attempts_reached(day: Day, found: list[seen.Seen], zones: dict[int, str]) -> list[failover_seen.Reached]:
    """Attempts that came to an invoker, with the zones of both sides; `zones` are those of the controllers."""
    places = {(one.invoker, one.boot): one.zone for one in found if isinstance(one, seen.Booted)}
    stays = {group.name for group in day.model_groups if group.stay}
    sent = {one.id: one for one in found if isinstance(one, seen.Sent)}
    reached, ids = [], set()
    for one in found:
        if isinstance(one, seen.Came) and one.controller in zones and (one.invoker, one.boot) in places:
            reached.append(
                failover_seen.Reached(
                    one.t,
                    f"c{one.controller}",
                    zones[one.controller],
                    places[one.invoker, one.boot],
                    one.work,
                    one.id in sent and sent[one.id].group in stays,
                    one.id in ids,
                )
            )
            ids.add(one.id)
    return reached


def failover_verdict(
    day: Day, watch: Watch, begin: float, watched_until: float, found: list[seen.Seen]
) -> failover_seen.FailoverVerdict | None:
    """Of the plans of zones; None where the day has none."""
    told = day.failover
    if told is None:
        return None
    zones = {number: day.zones[number % len(day.zones)] for number in range(day.controllers)}
    reached = attempts_reached(day, found, zones)
    first = min((trouble.at for trouble in day.troubles), default=day.lasts) if told.liar < 0 else 0.0
    last = begin + max(
        (
            trouble.at
            + trouble.lasts
            + trouble.span * (trouble.kind in ("crash", "controller-restart", "all-restart", "preempt"))
            for trouble in day.troubles
        ),
        default=0.0,
    )
    killed = {
        name
        for trouble in day.troubles
        if trouble.kind == "controller-kill"
        for name in day.processes_named(trouble.what)
    }
    bounds = failover_seen.FailoverBounds(
        {zone: day.region_of(zone) or zone for zone in day.zones},
        begin + 3_000.0,
        begin + first,
        last,
        frozenset(f"c{number}" for number in zones) - killed,
        told.cap_slack,
        told.slack_cores,
        told.over_for,
        changes=told.changes,
        follow_within=told.follow_within,
        near_within=told.near_within,
    )
    return failover_seen.check(watch.plans, reached, bounds, watched_until)


def first_seconds(day: Day, found: list[seen.Seen], number: int, at: float, span: float = 30_000.0) -> dict[str, float]:
    """A started controller's first seconds: first tries sent to it and returned in SLO time, the fleet's loads."""
    groups = {group.name: group for group in day.model_groups}
    sent = {
        one.id: one
        for one in found
        if isinstance(one, seen.Sent) and one.controller == number and one.nth == 0 and at <= one.t < at + span
    }
    quick = sum(
        one.id in sent and one.code == 0 and one.t - sent[one.id].t <= groups[sent[one.id].group].slo_time
        for one in found
        if isinstance(one, seen.Answer)
    )
    loads = sum(isinstance(one, seen.Count) and one.name == "loads" and at <= one.t < at + span for one in found)
    return {"controller": number, "sent": len(sent), "in_slo_time": quick, "fleet_loads": loads}
