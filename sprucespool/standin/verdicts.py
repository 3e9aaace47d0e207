"""Verdicts on a played day: prepares the notes of its processes for the judges."""

from __future__ import annotations

from sprucespool.judge import RuleFacts, seen
from sprucespool.judge import failover as failover_seen
from sprucespool.judge import fleet as fleet_seen
from sprucespool.judge import group as group_seen
from sprucespool.judge.rules import GroupRule
from sprucespool.standin.script import Day
from sprucespool.standin.watching import Watch


def facts(day: Day) -> RuleFacts:
    """The settings of the day that the judge of the five rules needs."""
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
    day: Day, watch: Watch, watched_until: float, notes: list[seen.Seen]
) -> fleet_seen.FleetVerdict | None:
    """The verdict on the controllers' views of the invokers; None if the day has no group."""
    settings = day.group
    if settings is None:
        return None
    history: list[fleet_seen.Happened] = [*watch.fleets]
    history += [note for note in watch.noted if not isinstance(note, group_seen.SeenView)]
    for note in notes:
        if isinstance(note, seen.Told):
            history.append(fleet_seen.WasTold(note.t, f"c{note.controller}", note.invoker, note.boot, note.status))
        elif isinstance(note, seen.Came):
            history.append(fleet_seen.Reached(note.t, f"c{note.controller}", note.invoker, note.boot))
        elif isinstance(note, seen.Ordered) and note.copies:
            history.append(fleet_seen.Reached(note.t, f"c{note.controller}", note.invoker, note.boot, "order"))
        elif isinstance(note, seen.Booted):
            history.append(fleet_seen.Born(note.t, note.invoker, note.boot))
    # Without views only late attempts are counted, so that days with and without views can be compared.
    liars = frozenset({f"c{settings.liar}"} if settings.liar >= 0 else ())
    bounds = fleet_seen.FleetBounds(
        settings.fleet_alike_within,
        day.fleet.drain_grace,
        settings.spread_within,
        settings.replaced_within,
        liars=liars,
    )
    verdict = fleet_seen.check(history, bounds, watched_until)
    return verdict if settings.view else fleet_seen.FleetVerdict([], None, verdict.late, [], 0)


def attempts_reached(day: Day, notes: list[seen.Seen], zones: dict[int, str]) -> list[failover_seen.Reached]:
    """Attempts that arrived at an invoker, with the zones of both sides; `zones`: the zones of the controllers."""
    places = {(note.invoker, note.boot): note.zone for note in notes if isinstance(note, seen.Booted)}
    stays = {group.name for group in day.model_groups if group.stay}
    sent = {note.id: note for note in notes if isinstance(note, seen.Sent)}
    reached, seen_ids = [], set()
    for note in notes:
        if isinstance(note, seen.Came) and note.controller in zones and (note.invoker, note.boot) in places:
            reached.append(
                failover_seen.Reached(
                    note.t,
                    f"c{note.controller}",
                    zones[note.controller],
                    places[note.invoker, note.boot],
                    note.work,
                    note.id in sent and sent[note.id].group in stays,
                    note.id in seen_ids,
                )
            )
            seen_ids.add(note.id)
    return reached


def failover_verdict(
    day: Day, watch: Watch, begin: float, watched_until: float, notes: list[seen.Seen]
) -> failover_seen.FailoverVerdict | None:
    """The verdict on the plans of zones; None if the day has no failover."""
    settings = day.failover
    if settings is None:
        return None
    zones = {number: day.zones[number % len(day.zones)] for number in range(day.controllers)}
    reached = attempts_reached(day, notes, zones)
    first_fault = min((trouble.at for trouble in day.troubles), default=day.lasts) if settings.liar < 0 else 0.0
    last_fault_end = begin + max(
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
        begin + first_fault,
        last_fault_end,
        frozenset(f"c{number}" for number in zones) - killed,
        settings.cap_slack,
        settings.slack_cores,
        settings.over_for,
        changes=settings.changes,
        follow_within=settings.follow_within,
        near_within=settings.near_within,
    )
    return failover_seen.check(watch.plans, reached, bounds, watched_until)


def first_seconds(day: Day, notes: list[seen.Seen], number: int, at: float, span: float = 30_000.0) -> dict[str, float]:
    """Statistics of the first `span` ms of a started controller.

    First attempts sent to it, those returned in SLO time, and loads in the whole fleet.
    """
    groups = {group.name: group for group in day.model_groups}
    sent = {
        note.id: note
        for note in notes
        if isinstance(note, seen.Sent) and note.controller == number and note.nth == 0 and at <= note.t < at + span
    }
    in_slo_time = sum(
        note.id in sent and note.code == 0 and note.t - sent[note.id].t <= groups[sent[note.id].group].slo_time
        for note in notes
        if isinstance(note, seen.Answer)
    )
    loads = sum(isinstance(note, seen.Count) and note.name == "loads" and at <= note.t < at + span for note in notes)
    return {"controller": number, "sent": len(sent), "in_slo_time": in_slo_time, "fleet_loads": loads}
