"""Replaces voters that are absent; the leader of the council decides. No I/O, no clock.

The set changes by one name at a time, first one more, then one less, so that a majority never depends on an absent
voter. The set returns to the size that the settings name. The next voter comes from the region and zone with the fewest
voters, so that no loss of one region takes the majority with it.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

from sprucespool.failover.topology import Topology

# Sets of voters are small: each beat is one message to each of them.
MAX_VOTERS = 9


@dataclass(slots=True, eq=False)
class VoterSelection:
    """`target_size`: the number of voters in the settings. `absent_after`: ms after which an absent voter is replaced.
    `change_interval`: ms between two changes. All voters `watch`, so that a new leader does not start counting anew."""

    topology: Topology
    target_size: int
    absent_after: float = 30_000.0
    change_interval: float = 500.0
    absent_since: dict[str, float] = field(default_factory=dict)
    changed_at: float = -1e18

    def watch(self, now: float, voters: Sequence[str], member_zones: Mapping[str, str]) -> None:
        self.absent_since = {name: self.absent_since.get(name, now) for name in voters if name not in member_zones}

    def next(
        self, now: float, me: str, voters: Sequence[str], member_zones: Mapping[str, str]
    ) -> tuple[str, ...] | None:
        """The next set of voters, or None to keep the current one. `member_zones`: the zone of each member that is
        present, serves and takes part in failover, including this one."""
        self.watch(now, voters, member_zones)
        long_absent = [name for name in voters if now - self.absent_since.get(name, now) >= self.absent_after]
        if now - self.changed_at < self.change_interval:
            return None
        new_voters: tuple[str, ...] | None = None
        if len(voters) > self.target_size:
            new_voters = self._remove_voter(me, voters, member_zones)
        elif long_absent and len(voters) < MAX_VOTERS:
            new_voters = self._add_voter(voters, member_zones, set(long_absent))
        if new_voters is not None:
            self.changed_at = now
        return new_voters

    def _voters_nearby(self, zone: str, others: Sequence[str], member_zones: Mapping[str, str]) -> tuple[int, int]:
        """The number of the others in its region, and in its zone."""
        zones = [member_zones[name] for name in others if name in member_zones]
        return sum(self.topology.same_region(zone, one) for one in zones), zones.count(zone)

    def _add_voter(
        self, voters: Sequence[str], member_zones: Mapping[str, str], long_absent: set[str]
    ) -> tuple[str, ...] | None:
        remaining = [name for name in voters if name not in long_absent]
        candidates = [
            name for name in member_zones if name not in voters and member_zones[name] in self.topology.regions
        ]
        if not candidates:
            return None
        return (
            *voters,
            min(candidates, key=lambda name: (self._voters_nearby(member_zones[name], remaining, member_zones), name)),
        )

    def _remove_voter(self, me: str, voters: Sequence[str], member_zones: Mapping[str, str]) -> tuple[str, ...] | None:
        """Removes a voter that is absent; if none is, one of those with the most voters in its region and zone."""
        absent = sorted(
            (name for name in voters if name in self.absent_since), key=lambda name: self.absent_since[name]
        )
        if absent:
            return tuple(name for name in voters if name != absent[0])
        others = [name for name in voters if name != me]
        removed = max(
            others,
            key=lambda name: (
                self._voters_nearby(member_zones[name], [one for one in voters if one != name], member_zones),
                name,
            ),
        )
        return tuple(name for name in voters if name != removed)
