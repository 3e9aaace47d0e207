"""What came out of a day that was played."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from sprucespool.judge import BrokenRule, Table
from sprucespool.judge import failover as failover_seen
from sprucespool.judge import fleet as fleet_seen
from sprucespool.judge import group as group_seen


@dataclass(slots=True)
class Result:
    """What came out of a day. `unclean`: processes that did not end as they ought to."""

    day: str
    seed: int
    decider: str
    table: Table
    broken: list[BrokenRule]
    unclean: list[str]
    controllers: list[dict[str, Any]]
    # For each controller started within the day: what its first ten seconds were like.
    newcomers: list[dict[str, float]] = field(default_factory=list)
    # Where the day has a group: what of its invariants was broken, and ms from the last fault to equal views.
    invariants: list[group_seen.BrokenInvariant] = field(default_factory=list)
    settled: float | None = None
    # Where a view of the fleet is kept: its own invariants, how far it went, how soon it was told.
    fleet: fleet_seen.FleetVerdict | None = None
    # Where plans of zones are followed: their invariants, how soon all followed one, what crossed.
    failover: failover_seen.FailoverVerdict | None = None

    def as_dict(self) -> dict[str, Any]:
        """For JSON."""
        return {
            "day": self.day,
            "seed": self.seed,
            "decider": self.decider,
            **self.table.as_dict(),
            "rules_broken": len(self.broken),
            "broken": [f"rule {b.rule}: {b.what}" for b in self.broken[:50]],
            "invariants_broken": [f"({b.which}) {b.what}" for b in self.invariants[:50]],
            "settled_ms": self.settled,
            "fleet": self._fleet_dict(),
            "failover": self._failover_dict(),
            "unclean": self.unclean,
            "controllers": self.controllers,
            "newcomers": self.newcomers,
        }

    def _failover_dict(self) -> dict[str, Any] | None:
        found = self.failover
        if found is None:
            return None
        return {
            "settled_ms": found.settled,
            "near_ms": found.near,
            "plans": found.plans,
            "views": found.views,
            "crossed": found.crossed,
            "calm_crossed": found.calm_crossed,
            "invariants_broken": _some(found.broken),
        }

    def _fleet_dict(self) -> dict[str, Any] | None:
        if self.fleet is None:
            return None
        told = sorted(self.fleet.told)
        return {
            "settled_ms": self.fleet.settled,
            "views": self.fleet.views,
            "late_forwards": len(self.fleet.late),
            "facts": len(told),
            "told_p50_ms": told[len(told) // 2] if told else None,
            "told_last_ms": told[-1] if told else None,
            "invariants_broken": _some(self.fleet.broken),
        }


def _some(broken: list[group_seen.BrokenInvariant]) -> list[str]:
    """Some of each: one that breaks all the time hides no other."""
    return [
        f"({b.which}) {b.what}"
        for which in sorted({b.which for b in broken})
        for b in [one for one in broken if one.which == which][:10]
    ]
