"""All records that a controller holds, indexed by bucket (with digests for comparing), address, zone and expiry.

The indexes answer the frequent queries: which records have opinions, how many processes serve in a zone, what expires
next. `opinions.assess` and a sweep over all records are the slow reference; `benchmarks/fleet.py` compares the two.
"""

from __future__ import annotations

import zlib
from collections import deque
from dataclasses import dataclass, field, replace

from sprucespool.fleet.records import Course, Process, Record, merged, record_digest

BUCKETS = 32
# Resolution at which the expiry of opinions is tracked.
LAPSE_STEP_MS = 250.0


def bucket_of(process: Process) -> int:
    return zlib.crc32(f"{process[0]}\0{process[1]}".encode()) % BUCKETS


@dataclass(slots=True)
class View:
    """Bounded by expiry and by `max_records`. A gone process is remembered for `remember_gone` ms, long enough that no
    delayed message revives it."""

    remember_gone: float = 600_000.0
    opinion_lifetime: float = 15_000.0
    max_records: int = 20_000
    records: dict[Process, Record] = field(default_factory=dict)
    by_address: dict[str, set[str]] = field(default_factory=dict)
    # Records with an opinion that has not expired, and the number of processes not gone by zone.
    with_opinions: dict[Process, None] = field(default_factory=dict)
    zones: dict[str, int] = field(default_factory=dict)
    bucket_digests: list[int] = field(default_factory=lambda: [0] * BUCKETS)
    buckets: list[dict[Process, None]] = field(default_factory=lambda: [{} for _ in range(BUCKETS)])
    digest: int = 0
    _digests: dict[Process, int] = field(default_factory=dict)
    # Gone processes in the order in which they ended; records by the step in which their oldest opinion expires.
    _gone: deque[tuple[float, Process]] = field(default_factory=deque)
    _lapsing_by_step: dict[int, set[Process]] = field(default_factory=dict)
    _next_lapse: int = 2**62

    def join(self, now: float, received: Record) -> tuple[Record | None, Record | None]:
        """Returns the record held before and the one held now: the same object twice if nothing changed, None twice if
        there is no room."""
        found = self.records.get(received.process)
        if found is None:
            if len(self.records) >= self.max_records:
                return None, None
            new = merged(Record(received.process), received)
        else:
            new = merged(found, received)
            if new == found:
                return found, found
        self._put(now, found, new)
        return found, new

    def _put(self, now: float, old: Record | None, new: Record):
        process = new.process
        self.records[process] = new
        if old is None:
            self.by_address.setdefault(process[0], set()).add(process[1])
            self.buckets[bucket_of(process)][process] = None
        if old is None or old.content != new.content:
            self._set_digest(process, record_digest(new))
            self._count_zone(old, -1)
            self._count_zone(new, 1)
            if new.course() is Course.GONE and (old is None or old.course() is not Course.GONE):
                self._gone.append((now, process))
        if new.opinions:
            self.with_opinions[process] = None
            if old is None or old.opinions != new.opinions:
                self._lapse_at(min(opinion.at for opinion in new.opinions.values()) + self.opinion_lifetime, process)
        else:
            self.with_opinions.pop(process, None)

    def _set_digest(self, process: Process, new: int):
        change = self._digests.get(process, 0) ^ new
        self.bucket_digests[bucket_of(process)] ^= change
        self.digest ^= change
        self._digests[process] = new

    def _count_zone(self, record: Record | None, by: int):
        if record is None or record.course() is Course.GONE:
            return
        listing = record.listing()
        zone = listing.zone if listing else ""
        self.zones[zone] = self.zones.get(zone, 0) + by
        if not self.zones[zone]:
            del self.zones[zone]

    def _lapse_at(self, at: float, process: Process):
        step = int(at // LAPSE_STEP_MS) + 1
        self._lapsing_by_step.setdefault(step, set()).add(process)
        self._next_lapse = min(self._next_lapse, step)

    def next_due(self) -> float:
        """Returns when `sweep` next has something to do."""
        due = self._gone[0][0] + self.remember_gone if self._gone else float("inf")
        return min(due, self._next_lapse * LAPSE_STEP_MS) if self._lapsing_by_step else due

    def sweep(self, now: float) -> list[Process]:
        """Removes expired opinions and long gone processes. Returns the processes whose opinions changed."""
        while self._gone and now - self._gone[0][0] >= self.remember_gone:
            self._forget(self._gone.popleft()[1])
        if not self._lapsing_by_step or self._next_lapse * LAPSE_STEP_MS > now:
            return []
        changed = []
        for step in [step for step in self._lapsing_by_step if step * LAPSE_STEP_MS <= now]:
            for process in sorted(self._lapsing_by_step.pop(step)):
                record = self.records.get(process)
                if record is None:
                    continue
                fresh = {who: one for who, one in record.opinions.items() if now - one.at < self.opinion_lifetime}
                if len(fresh) < len(record.opinions):
                    self._put(now, record, replace(record, opinions=fresh))
                    changed.append(process)
                elif fresh:
                    self._lapse_at(min(one.at for one in fresh.values()) + self.opinion_lifetime, process)
        self._next_lapse = min(self._lapsing_by_step, default=2**62)
        return changed

    def _forget(self, process: Process):
        record = self.records.pop(process, None)
        if record is None:
            return
        self._set_digest(process, 0)
        del self._digests[process], self.buckets[bucket_of(process)][process]
        self._count_zone(record, -1)
        self.with_opinions.pop(process, None)
        boots = self.by_address[process[0]]
        boots.discard(process[1])
        if not boots:
            del self.by_address[process[0]]

    def at(self, address: str) -> list[Record]:
        """Returns all records at an address, sorted by boot."""
        return [self.records[address, boot] for boot in sorted(self.by_address.get(address, ()))]

    def records_in(self, buckets: tuple[int, ...]) -> list[Record]:
        return [self.records[process] for bucket in buckets for process in self.buckets[bucket]]
