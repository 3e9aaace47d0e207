"""Explicit-state exploration: every order of what may happen, to a depth, on the very objects that run.

A state is reached by playing its moves from the start: objects need no copying, and a broken state comes with its way.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Hashable, Iterable
from dataclasses import dataclass
from typing import Protocol


class World(Protocol):
    """`wrong` names what must not be, or is empty. A move is plain data."""

    def moves(self) -> Iterable[Hashable]: ...

    def play(self, move: Hashable) -> None: ...

    def key(self) -> Hashable: ...

    def wrong(self) -> str: ...


@dataclass(slots=True)
class Explored:
    """`wrong` with the way to it, or empty; `whole`: no state within the depth was left out."""

    states: int
    depth: int
    whole: bool
    wrong: str = ""
    way: tuple = ()


def explore(make: Callable[[], World], depth: int, most: int = 1_000_000) -> Explored:
    """Breadth first, so that a way to something wrong is one of the shortest."""
    first = make()
    if first.wrong():
        return Explored(1, 0, True, first.wrong())
    seen = {first.key()}
    waiting: deque[tuple] = deque([()])
    deepest = 0
    while waiting:
        way = waiting.popleft()
        if len(way) == depth:
            continue
        for move in list(_at(make, way).moves()):
            world = _at(make, (*way, move))
            wrong = world.wrong()
            if wrong:
                return Explored(len(seen), len(way) + 1, False, wrong, (*way, move))
            key = world.key()
            if key in seen:
                continue
            if len(seen) >= most:
                return Explored(len(seen), deepest, False)
            seen.add(key)
            deepest = len(way) + 1
            waiting.append((*way, move))
    return Explored(len(seen), deepest, True)


def _at(make: Callable[[], World], way: tuple) -> World:
    world = make()
    for move in way:
        world.play(move)
    return world
