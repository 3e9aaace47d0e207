"""What to make of others' opinions of invokers: they bend choices, never forbid alone, never empty the fleet."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

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


def judged(
    now: float,
    records: Iterable[Record],
    zone: str,
    own: set[Process],
    limits: OpinionLimits,
    believed: Callable[[Witness], bool] = lambda witness: True,
) -> Judged:
    """As seen by a controller in `zone`. `own`: processes that this controller's own answers speak for: they outrank
    all that is told. Observers of the own zone count; where the zone has none for an invoker, those of others do.
    Goes through all records: the slow model of `Weighing`."""
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


@dataclass(slots=True, eq=False)
class Weighing:
    """The same, kept up to date: looks only at processes of which something changed, and at those that own answers
    speak for, as these grow old. At 300 controllers a quarter of all work was to look at all of them anew."""

    limits: OpinionLimits
    out: dict[Process, str] = field(default_factory=dict)
    # Others would have them out, own answers speak for them.
    held: set[Process] = field(default_factory=set)

    def look(
        self,
        now: float,
        view: View,
        zone: str,
        own: Callable[[Process], bool],
        changed: Iterable[Process] | None,
        believed: Callable[[Witness], bool] = lambda witness: True,
    ) -> Judged:
        """`changed`: processes whose opinions or course changed, or that own answers came from; None: all may have."""
        if changed is None:
            self.out.clear()
            self.held.clear()
            looked_at = set(view.disputed)
        else:
            looked_at = {*changed, *self.held}
        # In an order that hangs on no hash: what follows is told in it.
        for process in sorted(looked_at):
            record = view.records.get(process)
            self.out.pop(process, None)
            self.held.discard(process)
            if record is None or not record.opinions or record.course() is Course.GONE:
                continue
            if why := _why(now, record, zone, self.limits, believed):
                if own(process):
                    self.held.add(process)
                else:
                    self.out[process] = why
        for process in [one for one in self.out if one not in view.records]:
            del self.out[process]
        where = {process: _zone_of(view.records[process]) for process in self.out}
        return _settled(self.out, where, view.zones, self.limits.most_out)
