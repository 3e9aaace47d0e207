"""Explicit-state exploration: every order of possible moves, to a depth, on the production classes.

A state is reached by playing its moves from the start. Objects therefore need no copying, and a violation comes with
the path to it.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Hashable, Iterable
from dataclasses import dataclass
from typing import Protocol


class World(Protocol):
    """A model to explore. `violation` describes a broken invariant, or is empty. A move is plain data."""

    def moves(self) -> Iterable[Hashable]: ...

    def play(self, move: Hashable) -> None: ...

    def key(self) -> Hashable: ...

    def violation(self) -> str: ...


@dataclass(slots=True)
class Explored:
    """`violation` (empty if none) and `path`, the moves to it; `complete`: no state within the depth was left out."""

    states: int
    depth: int
    complete: bool
    violation: str = ""
    path: tuple = ()


def explore(make: Callable[[], World], depth: int, max_states: int = 1_000_000) -> Explored:
    """Explores breadth first, so that the path to a violation is one of the shortest."""
    initial = make()
    if initial.violation():
        return Explored(1, 0, True, initial.violation())
    seen = {initial.key()}
    pending: deque[tuple] = deque([()])
    deepest = 0
    while pending:
        path = pending.popleft()
        if len(path) == depth:
            continue
        for move in list(_replay(make, path).moves()):
            world = _replay(make, (*path, move))
            violation = world.violation()
            if violation:
                return Explored(len(seen), len(path) + 1, False, violation, (*path, move))
            key = world.key()
            if key in seen:
                continue
            if len(seen) >= max_states:
                return Explored(len(seen), deepest, False)
            seen.add(key)
            deepest = len(path) + 1
            pending.append((*path, move))
    return Explored(len(seen), deepest, True)


def _replay(make: Callable[[], World], path: tuple) -> World:
    world = make()
    for move in path:
        world.play(move)
    return world
