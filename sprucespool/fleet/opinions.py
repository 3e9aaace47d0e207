"""What to make of others' opinions of invokers: they bend choices, never forbid alone, never empty the fleet."""
from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from sprucespool.fleet.records import Course, Process, Record, Witness
from sprucespool.fleet.view import View

BAD = ("silent", "refused", "failing")


@dataclass(frozen=True, slots=True)
class OpinionLimits:
    """`observers`: controllers that must agree; `most_out`: the part of a zone that opinions may set aside."""
    observers: int = 2
    most_out: float = 0.5
    fresh: float = 15_000.0


@dataclass(frozen=True, slots=True)
class Judged:
    """Processes to be left aside as seen from a zone, by why; `panic`: zones in which so many would be out that all
    are in again."""
    out: dict[Process, str]
    panic: tuple[str, ...]


def _why(now: float, record: Record, zone: str, limits: OpinionLimits, believed: Callable[[Witness], bool]) -> str:
    """Why the process is to be left aside as seen from the zone; empty if it is not."""
    fresh = [one for one in record.opinions.items() if now - one[1].at < limits.fresh and believed(one[0])]
    near = [one for one in fresh if one[1].zone == zone] or fresh
    bad = {observer[0] for observer, opinion in near if opinion.kind in BAD}
    well = {observer[0] for observer, opinion in near if opinion.kind == "well"}
    if len(bad) >= limits.observers and len(bad) > len(well):
        return f"{', '.join(sorted(bad)[:4])} can't reach it"
    return ""


def _settled(out: dict[Process, str], where: dict[Process, str], size: dict[str, int], most_out: float) -> Judged:
    lost: dict[str, int] = {}
    for process in out:
        lost[where[process]] = lost.get(where[process], 0) + 1
    panic = tuple(sorted(name for name, count in lost.items() if count > most_out * size.get(name, 0)))
    return Judged({process: why for process, why in out.items() if where[process] not in panic}, panic)


def judged(now: float, records: Iterable[Record], zone: str, own: set[Process], limits: OpinionLimits,
           believed: Callable[[Witness], bool] = lambda witness: True) -> Judged:
    """As seen by a controller in `zone`. `own`: processes that this controller's own answers speak for: they outrank
    all that is told. Observers of the own zone count; where the zone has none for an invoker, those of others do.
    Goes through all records: the slow model of `judged_in`."""
    out: dict[Process, str] = {}
    size: dict[str, int] = {}
    where: dict[Process, str] = {}
    for record in records:
        if record.course() is Course.GONE:
            continue
        where[record.process] = its_zone = _zone_of(record)
        size[its_zone] = size.get(its_zone, 0) + 1
        if record.process not in own and (why := _why(now, record, zone, limits, believed)):
            out[record.process] = why
    return _settled(out, where, size, limits.most_out)


def _zone_of(record: Record) -> str:
    listing = record.listing()
    return listing.zone if listing else ""


def judged_in(now: float, view: View, zone: str, own: Callable[[Process], bool], limits: OpinionLimits,
              believed: Callable[[Witness], bool] = lambda witness: True) -> Judged:
    """The same from a view, of which only the records with opinions are looked at."""
    out: dict[Process, str] = {}
    for process in view.disputed:
        record = view.records[process]
        if record.course() is Course.GONE or own(process):
            continue
        if why := _why(now, record, zone, limits, believed):
            out[process] = why
    where = {process: _zone_of(view.records[process]) for process in out}
    return _settled(out, where, view.zones, limits.most_out)
