"""Explicit-state exploration: every order of what may happen, to a depth, on the very objects that run.

A state is reached by playing its moves from the start: objects need no copying, and a broken state comes with its path.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Hashable, Iterable
from dataclasses import dataclass
from typing import Protocol


class World(Protocol):
    """`violation` names what must not be, or is empty. A move is plain data."""

    def moves(self) -> Iterable[Hashable]: ...

    def play(self, move: Hashable) -> None: ...

    def key(self) -> Hashable: ...

    def violation(self) -> str: ...


@dataclass(slots=True)
class Explored:
    """`violation` with the path to it, or empty; `complete`: no state within the depth was left out."""

    states: int
    depth: int
    complete: bool
    violation: str = ""
    path: tuple = ()


def explore(make: Callable[[], World], depth: int, max_states: int = 1_000_000) -> Explored:
    """Breadth first, so that a path to something violation is one of the shortest."""
    first = make()
    if first.violation():
        return Explored(1, 0, True, first.violation())
    seen = {first.key()}
    waiting: deque[tuple] = deque([()])
    deepest = 0
    while waiting:
        path = waiting.popleft()
        if len(path) == depth:
            continue
        for move in list(_at(make, path).moves()):
            world = _at(make, (*path, move))
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
            waiting.append((*path, move))
    return Explored(len(seen), deepest, True)


def _at(make: Callable[[], World], path: tuple) -> World:
    world = make()
    for move in path:
        world.play(move)
    return world
