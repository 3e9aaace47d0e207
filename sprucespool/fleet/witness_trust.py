"""Decides which witnesses are believed, by how many of their claims proved right. No I/O and no clock.

Uses the record of `learning.trust`: a witness starts with some credit, and is no longer believed once most of its
claims proved wrong (five wrong ones at the start are enough). It is excluded under its name and start time, so a
restarted controller counts as a new witness.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from sprucespool.fleet.records import Process, Witness
from sprucespool.learning.trust import SourceRecord

MAX_ENTRIES = 1_024


@dataclass(slots=True, eq=False)
class WitnessTrust:
    records: dict[Witness, SourceRecord] = field(default_factory=dict)
    # Claims already counted, by witness: a claim counts once, however often it is repeated.
    judged: dict[Witness, set[tuple[Process, str]]] = field(default_factory=dict)
    distrusted: set[Witness] = field(default_factory=set)

    def believed(self, witness: Witness) -> bool:
        return witness not in self.distrusted

    def record_result(self, witness: Witness, process: Process, matter: str, right: bool) -> bool:
        """Counts a claim as right or wrong. Returns True if the witness is distrusted from now on."""
        seen = self.judged.setdefault(witness, set())
        if (process, matter) in seen:
            return False
        if len(seen) >= MAX_ENTRIES:
            seen.clear()
        seen.add((process, matter))
        record = self.records.setdefault(witness, SourceRecord())
        if len(self.records) > MAX_ENTRIES:
            # Names come from messages, so invented names must not use up the memory.
            old = next(one for one in self.records if one != witness)
            del self.records[old]
            self.judged.pop(old, None)
        if right:
            record.right += 1
        else:
            record.wrong += 1
        if record.believed or witness in self.distrusted:
            return False
        self.distrusted.add(witness)
        return True
