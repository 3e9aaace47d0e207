"""Checks the invariants of the group of controllers over the views that processes reported and the faults injected.

A simple, unoptimised checker over a recorded history. It imports nothing from the code that maintains the invariants.

(a) after the last fault all live members of a reachable group report the same digest within `alike_within`;
(b) no live member reachable in both directions is listed as dead for longer than `cleared_within` (with `never_dead`:
    at any time);
(c) no dead member is listed as alive for longer than `dead_within`;
(d) a process's incarnation and version never decrease in the view of one process;
(e) a member that left is never suspected;
(f) the shares held at the same time never add up to more than the whole.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

import msgspec

ALIVE, SUSPECT, DEAD, LEFT = "alive", "suspect", "dead", "left"


class SeenRow(msgspec.Struct, array_like=True):
    """The row of one member in a view."""

    name: str
    start: int
    state: str
    incarnation: int
    version: int


class SeenView(msgspec.Struct):
    """The view that process `start` of member `by` reported at `t` ms; its own row is among the rows."""

    t: float
    by: str
    start: int
    digest: str
    part: float
    rows: list[SeenRow]


class Began(msgspec.Struct):
    """A process of member `name` runs from `t` on; its start number is known from its first view."""

    t: float
    name: str


class Ended(msgspec.Struct):
    """A process ended. `how`: killed, or left (asked to leave at `t`; it ends soon after)."""

    t: float
    name: str
    how: str


class Faulted(msgspec.Struct):
    """From `t` on the groups of names in `sides` cannot reach each other and those in `held` are stopped; if both are
    empty, these faults are over. `uneven`: links have other faults, so that no two members surely reach each other."""

    t: float
    sides: list[list[str]] = []
    held: list[str] = []
    uneven: bool = False


Happened = SeenView | Began | Ended | Faulted


@dataclass(slots=True)
class Bounds:
    """Time limits of the invariants, in ms."""

    alike_within: float = 10_000.0
    cleared_within: float = 15_000.0
    dead_within: float = 40_000.0
    never_dead: bool = False


@dataclass(frozen=True, slots=True)
class BrokenInvariant:
    """A violation of invariant `which` at `at` ms."""

    which: str
    at: float
    what: str


@dataclass(slots=True)
class _Lifetime:
    name: str
    begun: float
    start: int = -1
    ended: float = float("inf")
    left: float = float("inf")


@dataclass(slots=True)
class Verdict:
    """`settled`: ms from the last fault until the views were equal, or None if they did not become equal."""

    broken: list[BrokenInvariant]
    settled: float | None = None
    views: int = 0


@dataclass(slots=True)
class History:
    """Lifetimes of processes, faults and views, in order of time."""

    lives: list[_Lifetime] = field(default_factory=list)
    faults: list[Faulted] = field(default_factory=list)
    views: list[SeenView] = field(default_factory=list)

    def life(self, name: str, t: float) -> _Lifetime | None:
        matching = [
            lifetime for lifetime in self.lives if lifetime.name == name and lifetime.begun <= t < lifetime.ended
        ]
        return matching[-1] if matching else None

    def reach(self, first: str, second: str, since: float, until: float) -> bool:
        """Whether the two members could reach each other in both directions during the whole time."""
        ends = [*(fault.t for fault in self.faults[1:]), float("inf")]
        for fault, end in zip(self.faults, ends, strict=False):
            if fault.t > until or end < since:
                continue
            if fault.uneven or first in fault.held or second in fault.held:
                return False
            sides = [n for n, names in enumerate(fault.sides) if first in names or second in names]
            if len(sides) > 1 or len(sides) == 1 and not {first, second} <= set(fault.sides[sides[0]]):
                return False
        return True


def read(events: Iterable[Happened]) -> History:
    """Builds the history from recorded events."""
    history = History()
    for event in sorted(events, key=lambda event: event.t):
        if isinstance(event, Began):
            history.lives.append(_Lifetime(event.name, event.t))
        elif isinstance(event, Ended):
            for lifetime in history.lives:
                if lifetime.name == event.name and lifetime.ended == float("inf") and lifetime.left == float("inf"):
                    if event.how == "left":
                        lifetime.left = event.t
                    else:
                        lifetime.ended = event.t
        elif isinstance(event, Faulted):
            history.faults.append(event)
        else:
            history.views.append(event)
            lifetime_of_view = history.life(event.by, event.t)
            if lifetime_of_view is not None and lifetime_of_view.start < 0:
                lifetime_of_view.start = event.start
    return history


def check(events: Iterable[Happened], bounds: Bounds, end: float) -> Verdict:
    """Checks all invariants. `end`: when the observation ended, on the clock of the views."""
    history = read(events)
    violations: list[BrokenInvariant] = []
    _check_states(history, bounds, violations)
    _check_versions(history, violations)
    _check_shares(history, violations)
    settled = _check_digests(history, bounds, end, violations)
    return Verdict(sorted(violations, key=lambda violation: violation.at), settled, len(history.views))


def last_fault(history: History) -> float:
    """The time of the last fault, or of the last start, end or leave of a process."""
    times = [fault.t for fault in history.faults]
    times += [
        at for lifetime in history.lives for at in (lifetime.begun, lifetime.ended, lifetime.left) if at < float("inf")
    ]
    return max(times, default=0.0)


def _check_digests(history: History, bounds: Bounds, end: float, violations: list[BrokenInvariant]) -> float | None:
    """Invariant (a); returns the ms from the last fault until the digests were equal."""
    last_fault_at = last_fault(history)
    if history.faults and (history.faults[-1].sides or history.faults[-1].held or history.faults[-1].uneven):
        return None
    live = {
        lifetime.name for lifetime in history.lives if lifetime.ended == float("inf") and lifetime.left == float("inf")
    }
    digests: dict[str, str] = {}
    same_since: float | None = None
    for view in history.views:
        if view.t < last_fault_at or view.by not in live:
            continue
        digests[view.by] = view.digest
        all_same = set(digests) == live and len(set(digests.values())) == 1
        same_since = (same_since if same_since is not None else view.t) if all_same else None
    settled = same_since - last_fault_at if same_since is not None else None
    if end - last_fault_at >= bounds.alike_within and (settled is None or settled > bounds.alike_within):
        when = "never" if settled is None else f"after {settled:.0f} ms"
        violations.append(
            BrokenInvariant(
                "a",
                end,
                f"{len(live)} live members reported the same digest {when}, "
                f"{len(set(digests.values()))} digests at the end",
            )
        )
    return settled


def _check_states(history: History, bounds: Bounds, violations: list[BrokenInvariant]):
    """Invariants (b), (c) and (e)."""
    by_start = {(lifetime.name, lifetime.start): lifetime for lifetime in history.lives if lifetime.start >= 0}
    for view in history.views:
        viewer = history.life(view.by, view.t)
        if viewer is None:
            continue
        for row in view.rows:
            lifetime = by_start.get((row.name, row.start))
            if lifetime is None or row.name == view.by:
                continue
            grace = 0.0 if bounds.never_dead else bounds.cleared_within
            if (
                row.state == DEAD
                and view.t < min(lifetime.ended, lifetime.left)
                and max(lifetime.begun, viewer.begun) <= view.t - grace
                and history.reach(view.by, row.name, view.t - grace, view.t)
            ):
                violations.append(BrokenInvariant("b", view.t, f"{view.by} holds {row.name} dead although it runs"))
            ended_at = min(lifetime.ended, lifetime.left)
            if (
                row.state in (ALIVE, SUSPECT)
                and view.t > ended_at + bounds.dead_within
                and view.t > (viewer.begun + bounds.dead_within)
            ):
                violations.append(
                    BrokenInvariant(
                        "c", view.t, f"{view.by} holds {row.name} alive, gone for {(view.t - ended_at) / 1000:.0f} s"
                    )
                )
            if (
                lifetime.left < view.t
                and row.state in (SUSPECT, DEAD)
                and history.reach(view.by, row.name, lifetime.left - 2_000.0, view.t)
            ):
                violations.append(
                    BrokenInvariant("e", view.t, f"{view.by} holds {row.name} {row.state} although it left")
                )


def _check_versions(history: History, violations: list[BrokenInvariant]):
    """Invariant (d)."""
    highest: dict[tuple[str, int, str, int], tuple[int, int]] = {}
    for view in history.views:
        for row in view.rows:
            key = view.by, view.start, row.name, row.start
            before = highest.get(key, (0, 0))
            if row.incarnation < before[0] or row.version < before[1]:
                violations.append(
                    BrokenInvariant(
                        "d",
                        view.t,
                        f"{view.by} saw {row.name} go back from incarnation and "
                        f"version {before} to {(row.incarnation, row.version)}",
                    )
                )
            highest[key] = max(row.incarnation, before[0]), max(row.version, before[1])


def _check_shares(history: History, violations: list[BrokenInvariant]):
    """Invariant (f). A share that two consecutive views of a process report alike counts as held between them."""
    steps: list[tuple[float, float]] = []
    last_view: dict[tuple[str, int], SeenView] = {}
    for view in history.views:
        before = last_view.get((view.by, view.start))
        if before is not None and before.part == view.part and view.part > 0:
            steps += [(before.t, view.part), (view.t, -view.part)]
        last_view[view.by, view.start] = view
    total = 0.0
    # Of steps at the same time, those that end a share sort first.
    for t, share in sorted(steps):
        total += share
        if total > 1.0 + 1e-6:
            violations.append(
                BrokenInvariant("f", t, f"the shares held at the same time add up to {total:.3f} of the whole")
            )
            return
