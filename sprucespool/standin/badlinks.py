"""What links do, for the judges: which were bad when (a call-off that comes late or never ends nothing), who was parted
from whom."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from sprucespool.faults import Links, LinkState
from sprucespool.judge.seen import BadLink

# What the rules allow between a call-off and another forward is more than this, ms.
MAX_GOOD_DELAY_MS = 40.0


def is_bad(state: LinkState) -> bool:
    return bool(state.cut) or state.loss > 0 or state.delay + state.jitter > MAX_GOOD_DELAY_MS


def partition_sides(links: Links, members: Iterable[str]) -> tuple[list[list[str]], bool]:
    """What of the faults concerns these among themselves: their sides, where they are cleanly parted, or that it is
    uneven. Who is cut off from the roster or from invokers alone still reaches all others; distances are no fault."""
    every = set(members)
    rules = {
        name: one
        for name, one in links.rules.items()
        if not name.startswith("distance")
        and any(
            (rule.sources is None or rule.sources & every) and (rule.targets is None or rule.targets & every)
            for rule in one
        )
    }
    for one in rules.values():
        told = [side for rule in one for side in (rule.sources, rule.targets) if side is not None]
        parts = {frozenset(every & side) for side in told}
        clean = all(rule.state.cut for rule in one) and len(one) == len(parts) * (len(parts) - 1)
        if len(rules) == 1 and clean and set().union(*parts) == every and sum(map(len, parts)) == len(every):
            return [sorted(part) for part in parts], False
    return [], bool(rules)


@dataclass(slots=True)
class BadLinks:
    """Looks at the links each time that they change."""

    since: dict[tuple[int, str], float] = field(default_factory=dict)

    def update(self, now: float, links: Links, controllers: Iterable[int], invokers: Iterable[str]) -> list[BadLink]:
        """Those that are well again now; `invokers` by the names that links know."""
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
        """Those that last to the end."""
        found = [BadLink(since, *pair, now) for pair, since in sorted(self.since.items())]
        self.since.clear()
        return found
