"""How far each witness is believed, by what became of what it said. No I/O, no clock.

The record is learning's: a witness begins with some credit; one of whose words most proved wrong (five lies at once)
is left out, under its name and start. A restart is another witness.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from sprucespool.fleet.records import Process, Witness
from sprucespool.learning.trust import SourceRecord

MAX_ENTRIES = 1_024


@dataclass(slots=True, eq=False)
class WitnessTrust:
    records: dict[Witness, SourceRecord] = field(default_factory=dict)
    # What each was judged by: one matter counts once, however often it is told.
    judged: dict[Witness, set[tuple[Process, str]]] = field(default_factory=dict)
    distrusted: set[Witness] = field(default_factory=set)

    def believed(self, witness: Witness) -> bool:
        return witness not in self.distrusted

    def record_result(self, witness: Witness, process: Process, matter: str, right: bool) -> bool:
        """True if the witness is not believed from now on."""
        seen = self.judged.setdefault(witness, set())
        if (process, matter) in seen:
            return False
        if len(seen) >= MAX_ENTRIES:
            seen.clear()
        seen.add((process, matter))
        record = self.records.setdefault(witness, SourceRecord())
        if len(self.records) > MAX_ENTRIES:
            # Names come from messages: invented ones must not fill the memory.
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
