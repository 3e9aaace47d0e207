"""What to make of others' opinions of invokers: they bend choices, never forbid alone, never empty the fleet."""
from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from sprucespool.fleet.records import Process, Record

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


def judged(now: float, records: Iterable[Record], zone: str, own: set[Process], limits: OpinionLimits) -> Judged:
    """As seen by a controller in `zone`. `own`: processes that this controller's own answers speak for: they outrank
    all that is told. Observers of the own zone count; where the zone has none for an invoker, those of others do."""
    out: dict[Process, str] = {}
    size: dict[str, int] = {}
    where: dict[Process, str] = {}
    for record in records:
        its_zone = record.listing.zone if record.listing else ""
        size[its_zone] = size.get(its_zone, 0) + 1
        where[record.process] = its_zone
        if record.process in own:
            continue
        fresh = [one for one in record.opinions.items() if now - one[1].at < limits.fresh]
        near = [one for one in fresh if one[1].zone == zone] or fresh
        bad = {observer[0] for observer, opinion in near if opinion.kind in BAD}
        well = {observer[0] for observer, opinion in near if opinion.kind == "well"}
        if len(bad) >= limits.observers and len(bad) > len(well):
            out[record.process] = f"{', '.join(sorted(bad)[:4])} can't reach it"
    lost = dict.fromkeys(size, 0)
    for process in out:
        lost[where[process]] += 1
    panic = tuple(sorted(name for name, count in lost.items() if count and count > limits.most_out * size[name]))
    return Judged({process: why for process, why in out.items() if where[process] not in panic}, panic)
