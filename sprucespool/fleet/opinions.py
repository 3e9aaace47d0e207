"""Evaluates other controllers' opinions of invokers.

Opinions change which invokers are preferred; one observer alone excludes none, and opinions never exclude a whole zone.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from sprucespool.fleet.records import Course, Process, Record, Witness
from sprucespool.fleet.view import View

BAD_KINDS = ("silent", "refused", "failing")


@dataclass(frozen=True, slots=True)
class OpinionLimits:
    """`observers`: controllers that must agree. `max_excluded_share`: share of a zone that opinions may exclude.
    `opinion_lifetime`: ms after which an opinion expires."""

    observers: int = 2
    max_excluded_share: float = 0.5
    opinion_lifetime: float = 15_000.0


@dataclass(frozen=True, slots=True)
class Assessment:
    """Excluded processes as seen from a zone, each with the reason. `panic`: zones in which so many processes would be
    excluded that none are."""

    excluded: dict[Process, str]
    panic: tuple[str, ...]


def _exclusion_reason(
    now: float, record: Record, zone: str, limits: OpinionLimits, believed: Callable[[Witness], bool]
) -> str:
    """Returns why the process is excluded as seen from the zone; empty if it is not."""
    fresh = [one for one in record.opinions.items() if now - one[1].at < limits.opinion_lifetime and believed(one[0])]
    near = [one for one in fresh if one[1].zone == zone] or fresh
    bad = {observer[0] for observer, opinion in near if opinion.kind in BAD_KINDS}
    well = {observer[0] for observer, opinion in near if opinion.kind == "well"}
    if len(bad) >= limits.observers and len(bad) > len(well):
        return f"{', '.join(sorted(bad)[:4])} can't reach it"
    return ""


def _limited(
    excluded: dict[Process, str],
    zone_by_process: dict[Process, str],
    zone_sizes: dict[str, int],
    max_excluded_share: float,
) -> Assessment:
    excluded_by_zone: dict[str, int] = {}
    for process in excluded:
        excluded_by_zone[zone_by_process[process]] = excluded_by_zone.get(zone_by_process[process], 0) + 1
    panic = tuple(
        sorted(name for name, count in excluded_by_zone.items() if count > max_excluded_share * zone_sizes.get(name, 0))
    )
    return Assessment(
        {process: reason for process, reason in excluded.items() if zone_by_process[process] not in panic}, panic
    )


def assess(
    now: float,
    records: Iterable[Record],
    zone: str,
    with_own_evidence: set[Process],
    limits: OpinionLimits,
    believed: Callable[[Witness], bool] = lambda witness: True,
) -> Assessment:
    """Evaluates all records as seen by a controller in `zone`. `with_own_evidence`: processes that have just replied to
    this controller, which outranks all opinions received. Observers in the own zone count; if an invoker has none
    there, those of other zones do. Goes through all records: the slow reference of `IncrementalAssessment`."""
    excluded: dict[Process, str] = {}
    zone_sizes: dict[str, int] = {}
    zone_by_process: dict[Process, str] = {}
    for record in records:
        if record.course() is Course.GONE:
            continue
        zone_by_process[record.process] = its_zone = _zone_of(record)
        zone_sizes[its_zone] = zone_sizes.get(its_zone, 0) + 1
        if record.process not in with_own_evidence and (
            reason := _exclusion_reason(now, record, zone, limits, believed)
        ):
            excluded[record.process] = reason
    return _limited(excluded, zone_by_process, zone_sizes, limits.max_excluded_share)


def _zone_of(record: Record) -> str:
    listing = record.listing()
    return listing.zone if listing else ""


@dataclass(slots=True, eq=False)
class IncrementalAssessment:
    """The same result as `assess`, kept up to date: checks only processes that changed, and those overridden by own
    evidence, because that evidence ages. At 300 controllers, checking all of them each time took a quarter of all
    processor time."""

    limits: OpinionLimits
    excluded: dict[Process, str] = field(default_factory=dict)
    # Processes that opinions would exclude but own evidence keeps.
    overridden: set[Process] = field(default_factory=set)

    def update(
        self,
        now: float,
        view: View,
        zone: str,
        has_own_evidence: Callable[[Process], bool],
        changed: Iterable[Process] | None,
        believed: Callable[[Witness], bool] = lambda witness: True,
    ) -> Assessment:
        """`changed`: processes with a new opinion, course or reply to this controller; None: any may have changed."""
        if changed is None:
            self.excluded.clear()
            self.overridden.clear()
            to_check = set(view.with_opinions)
        else:
            to_check = {*changed, *self.overridden}
        # Sorted, because the order of the results must not depend on hashes.
        for process in sorted(to_check):
            record = view.records.get(process)
            self.excluded.pop(process, None)
            self.overridden.discard(process)
            if record is None or not record.opinions or record.course() is Course.GONE:
                continue
            if reason := _exclusion_reason(now, record, zone, self.limits, believed):
                if has_own_evidence(process):
                    self.overridden.add(process)
                else:
                    self.excluded[process] = reason
        for process in [one for one in self.excluded if one not in view.records]:
            del self.excluded[process]
        zone_by_process = {process: _zone_of(view.records[process]) for process in self.excluded}
        return _limited(self.excluded, zone_by_process, view.zones, self.limits.max_excluded_share)
