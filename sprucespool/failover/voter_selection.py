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
    size: int
    absent_after: float = 30_000.0
    change_interval: float = 500.0
    gone_since: dict[str, float] = field(default_factory=dict)
    changed_at: float = -1e18

    def watch(self, now: float, voters: Sequence[str], places: Mapping[str, str]) -> None:
        self.gone_since = {name: self.gone_since.get(name, now) for name in voters if name not in places}

    def next(self, now: float, me: str, voters: Sequence[str], places: Mapping[str, str]) -> tuple[str, ...] | None:
        """The set that should be next, or None to leave it. `places`: the zone of each member that is there, serves
        and speaks of plans, the own one among them."""
        self.watch(now, voters, places)
        lost = [name for name in voters if now - self.gone_since.get(name, now) >= self.absent_after]
        if now - self.changed_at < self.change_interval:
            return None
        found: tuple[str, ...] | None = None
        if len(voters) > self.size:
            found = self._less(me, voters, places)
        elif lost and len(voters) < MAX_VOTERS:
            found = self._more(voters, places, set(lost))
        if found is not None:
            self.changed_at = now
        return found

    def _crowd(self, zone: str, others: Sequence[str], places: Mapping[str, str]) -> tuple[int, int]:
        """How many of the others stand in its region, and in its zone."""
        zones = [places[name] for name in others if name in places]
        return sum(self.topology.same_region(zone, one) for one in zones), zones.count(zone)

    def _more(self, voters: Sequence[str], places: Mapping[str, str], lost: set[str]) -> tuple[str, ...] | None:
        stay = [name for name in voters if name not in lost]
        able = [name for name in places if name not in voters and places[name] in self.topology.regions]
        if not able:
            return None
        return (*voters, min(able, key=lambda name: (self._crowd(places[name], stay, places), name)))

    def _less(self, me: str, voters: Sequence[str], places: Mapping[str, str]) -> tuple[str, ...] | None:
        """Without one that is gone; if all are back, without one of those that stand closest together."""
        gone = sorted((name for name in voters if name in self.gone_since), key=lambda name: self.gone_since[name])
        if gone:
            return tuple(name for name in voters if name != gone[0])
        others = [name for name in voters if name != me]
        out = max(
            others, key=lambda name: (self._crowd(places[name], [one for one in voters if one != name], places), name)
        )
        return tuple(name for name in voters if name != out)
