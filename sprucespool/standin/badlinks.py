"""The states of the links for the judges: which links were bad when, and which controllers were partitioned.

Over a bad link a call-off arrives late or never, so it does not end an attempt in time.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from sprucespool.faults import Links, LinkState
from sprucespool.judge.seen import BadLink

# The rules allow more time than this between a call-off and the next forward.
MAX_GOOD_DELAY_MS = 40.0


def is_bad(state: LinkState) -> bool:
    return bool(state.cut) or state.loss > 0 or state.delay + state.jitter > MAX_GOOD_DELAY_MS


def partition_sides(links: Links, members: Iterable[str]) -> tuple[list[list[str]], bool]:
    """How the current faults affect the links among `members`.

    Returns the sides of a clean partition, if there is one, and whether other faults affect them (an uneven state). A
    member that is cut off only from the roster or from invokers still reaches all others. Distances are no faults.
    """
    members_set = set(members)
    rules = {
        name: rules_of_fault
        for name, rules_of_fault in links.rules.items()
        if not name.startswith("distance")
        and any(
            (rule.sources is None or rule.sources & members_set)
            and (rule.targets is None or rule.targets & members_set)
            for rule in rules_of_fault
        )
    }
    for rules_of_fault in rules.values():
        sides = [side for rule in rules_of_fault for side in (rule.sources, rule.targets) if side is not None]
        distinct_sides = {frozenset(members_set & side) for side in sides}
        clean = all(rule.state.cut for rule in rules_of_fault) and len(rules_of_fault) == len(distinct_sides) * (
            len(distinct_sides) - 1
        )
        if (
            len(rules) == 1
            and clean
            and set().union(*distinct_sides) == members_set
            and sum(map(len, distinct_sides)) == len(members_set)
        ):
            return [sorted(side) for side in distinct_sides], False
    return [], bool(rules)


@dataclass(slots=True)
class BadLinks:
    """Tracks which links are bad. To be updated each time that the links change."""

    since: dict[tuple[int, str], float] = field(default_factory=dict)

    def update(self, now: float, links: Links, controllers: Iterable[int], invokers: Iterable[str]) -> list[BadLink]:
        """Update to the current states. Returns the links that have recovered. `invokers`: their names in `links`."""
        places = list(invokers)
        now_bad = {
            (number, place)
            for number in controllers
            for place in places
            if is_bad(links.between(f"c{number}", place)) or is_bad(links.between(place, f"c{number}"))
        }
        for pair in now_bad - self.since.keys():
            self.since[pair] = now
        return [BadLink(self.since.pop(pair), *pair, now) for pair in sorted(self.since.keys() - now_bad)]

    def close_all(self, now: float) -> list[BadLink]:
        """The links that are still bad at the end."""
        ended = [BadLink(since, *pair, now) for pair, since in sorted(self.since.items())]
        self.since.clear()
        return ended
