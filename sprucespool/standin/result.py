"""The result of a played day."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from sprucespool.judge import BrokenRule, Table
from sprucespool.judge import failover as failover_seen
from sprucespool.judge import fleet as fleet_seen
from sprucespool.judge import group as group_seen


@dataclass(slots=True)
class Result:
    """The result of a day. `unclean`: errors of processes that did not exit as expected, and of the stage."""

    day: str
    seed: int
    decider: str
    table: Table
    broken: list[BrokenRule]
    unclean: list[str]
    controllers: list[dict[str, Any]]
    # For each controller started during the day: the statistics of its first seconds (`first_seconds`).
    newcomers: list[dict[str, float]] = field(default_factory=list)
    # If the day has a group: broken invariants, and the time from the last fault to equal views, ms.
    invariants: list[group_seen.BrokenInvariant] = field(default_factory=list)
    settled: float | None = None
    # If the controllers keep a view of the fleet: its invariants, late forwards, and how soon changes spread.
    fleet: fleet_seen.FleetVerdict | None = None
    # If the day has failover: the invariants of plans, how soon all followed one, and traffic between zones.
    failover: failover_seen.FailoverVerdict | None = None

    def as_dict(self) -> dict[str, Any]:
        """The result as a dictionary for JSON."""
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
        verdict = self.failover
        if verdict is None:
            return None
        return {
            "settled_ms": verdict.settled,
            "near_ms": verdict.near,
            "plans": verdict.plans,
            "views": verdict.views,
            "crossed": verdict.crossed,
            "calm_crossed": verdict.calm_crossed,
            "invariants_broken": _some(verdict.broken),
        }

    def _fleet_dict(self) -> dict[str, Any] | None:
        if self.fleet is None:
            return None
        delays = sorted(self.fleet.told)
        return {
            "settled_ms": self.fleet.settled,
            "views": self.fleet.views,
            "late_forwards": len(self.fleet.late),
            "facts": len(delays),
            "told_p50_ms": delays[len(delays) // 2] if delays else None,
            "told_last_ms": delays[-1] if delays else None,
            "invariants_broken": _some(self.fleet.broken),
        }


def _some(broken: list[group_seen.BrokenInvariant]) -> list[str]:
    """The first ten violations of each invariant, so that a frequent one does not hide the others."""
    return [
        f"({b.which}) {b.what}"
        for which in sorted({b.which for b in broken})
        for b in [other for other in broken if other.which == which][:10]
    ]
