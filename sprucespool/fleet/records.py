"""What is known of each process of an invoker, and how two tellings become one. Times are ms of the holder's clock.

A process (address, boot) takes its course: serving, draining, gone, and never back. That is fact: one honest word is
enough. A restart needs no order of boots: it is the fact that the old process is gone, beside the new one that serves.
What a roster lists of it goes by that roster's version. An opinion is one observer's; only that observer renews it, by
its own count. Each part is a join of its own, so order, grouping and repeats of tellings do not matter.

Ages travel, clocks never: who is told counts back from the moment of the telling. Told of one opinion twice, the older
moment holds, as no way makes evidence younger.
"""
from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field, replace
from enum import IntEnum

Process = tuple[str, str]
Observer = tuple[str, int]


class Course(IntEnum):
    SERVING = 0
    DRAINING = 1
    GONE = 2


@dataclass(frozen=True, slots=True, order=True)
class Listing:
    """A roster's row: of which source and version, and what it says."""
    version: int
    source: str
    zone: str = ""
    kind: str = ""
    cell: str = ""
    size: float = 1.0


@dataclass(frozen=True, slots=True)
class Opinion:
    """Of one observer, numbered by itself. `kind`: well, silent, refused, slow, failing. `at`: when it was so."""
    count: int
    kind: str
    zone: str
    at: float

    def later(self, other: Opinion) -> Opinion:
        """The join: the higher count, else the older moment."""
        if self.count != other.count:
            return self if self.count > other.count else other
        one, two = (-self.at, self.kind, self.zone), (-other.at, other.kind, other.zone)
        return self if one >= two else other


@dataclass(frozen=True, slots=True)
class Record:
    """Of one process. `opinions` by observer: a controller's name and start."""
    process: Process
    course: Course = Course.SERVING
    listing: Listing | None = None
    opinions: dict[Observer, Opinion] = field(default_factory=dict)


def merged(one: Record, other: Record) -> Record:
    """The join of two records of one process."""
    opinions = dict(one.opinions)
    for observer, opinion in other.opinions.items():
        opinions[observer] = opinion.later(opinions[observer]) if observer in opinions else opinion
    listings = [found for found in (one.listing, other.listing) if found is not None]
    return Record(one.process, max(one.course, other.course), max(listings, default=None), opinions)


@dataclass(slots=True)
class View:
    """Records by process, bounded by expiry: a gone process is remembered so long that no old word revives it."""
    remember: float = 600_000.0
    lapse: float = 15_000.0
    records: dict[Process, Record] = field(default_factory=dict)
    gone_at: dict[Process, float] = field(default_factory=dict)
    by_address: dict[str, set[str]] = field(default_factory=dict)

    def join(self, now: float, record: Record) -> bool:
        """True if it told anything new. A new process at an address is the end of those before it only where it is
        told so: two boots may serve in two parts of a network until somebody knows."""
        found = self.records.get(record.process)
        new = record if found is None else merged(found, record)
        if found is not None and new == found:
            return False
        self.records[record.process] = new
        address, boot = record.process
        self.by_address.setdefault(address, set()).add(boot)
        if new.course is Course.GONE and record.process not in self.gone_at:
            self.gone_at[record.process] = now
        return True

    def course(self, now: float, process: Process, course: Course) -> bool:
        """A fact heard."""
        return self.join(now, Record(process, course))

    def started(self, now: float, address: str, boot: str) -> list[Process]:
        """Seen to have started, by its own word or a roster's: all other processes at the address are gone."""
        ended = [(address, old) for old in self.by_address.get(address, ()) if old != boot
                 and self.records[address, old].course is not Course.GONE]
        self.join(now, Record((address, boot)))
        for process in ended:
            self.course(now, process, Course.GONE)
        return ended

    def said(self, now: float, process: Process, observer: Observer, opinion: Opinion) -> bool:
        return self.join(now, Record(process, opinions={observer: opinion}))

    def serving(self) -> list[Record]:
        return [record for record in self.records.values() if record.course is Course.SERVING]

    def sweep(self, now: float) -> None:
        """Opinions lapse, gone processes are forgotten in the end."""
        for process, at in list(self.gone_at.items()):
            if now - at >= self.remember:
                del self.gone_at[process], self.records[process]
                self.by_address[process[0]].discard(process[1])
        for process, record in list(self.records.items()):
            fresh = {observer: opinion for observer, opinion in record.opinions.items()
                     if now - opinion.at < self.lapse}
            if len(fresh) < len(record.opinions):
                self.records[process] = replace(record, opinions=fresh)

    def joined(self, now: float, records: Iterable[Record]) -> int:
        return sum(self.join(now, record) for record in records)
