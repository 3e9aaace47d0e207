"""When another is to have a vote instead of one that is gone: decided by who leads the council. No I/O, no clock.

One name at a time: first one more, then one less, so that a majority never rests on who is gone. The set goes back to
as many as the files name. Whoever comes next stands where fewest voters stand, by region and zone, so that no lost
region takes the majority with it.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

from sprucespool.failover.topology import Topology

# Sets of voters are small: a word to each of them is said with each beat.
MAX_VOTERS = 9


@dataclass(slots=True, eq=False)
class VoterSelection:
    """`size`: as many as the files name. `absent`: ms that a voter must be gone; `every`: ms between two changes. All
    voters `watch`, so that who leads next does not begin to count anew."""

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
        """The set that should be next, or None to leave it. `places`: the zone of each member that is there, serves
        and speaks of plans, the own one among them."""
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
        """How many of the others stand in its region, and in its zone."""
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
        """Without one that is gone; if all are back, without one of those that stand closest together."""
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
