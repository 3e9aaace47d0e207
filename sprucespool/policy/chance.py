"""Random draws that the same seed reproduces."""

from __future__ import annotations

import zlib
from collections.abc import Sequence
from typing import Any, TypeVar

Item = TypeVar("Item")


class Chance:
    """Random numbers, each computed from the seed and the sequence number of the draw alone."""

    def __init__(self, seed: int):
        self.seed, self._reserved = seed, 0

    def reserve(self, count: int = 1) -> int:
        """Reserve `count` sequence numbers; returns the first of them."""
        self._reserved += count
        return self._reserved - count

    def draw(self, number: int) -> int:
        """The 32-bit random number with this sequence number."""
        return zlib.crc32(b"%d:%d" % (self.seed, number))

    def next(self) -> int:
        return self.draw(self.reserve())

    def fraction(self) -> float:
        """A random number from 0 to 1."""
        return self.next() / 2**32

    def pick_min(self, keys: Sequence[Any], items: Sequence[Item]) -> Item:
        """The item with the smallest key, ties broken at random.

        Each position reserves a sequence number, but a number is drawn only for ties.
        """
        best, start = min(keys), self.reserve(len(items))
        ties = [position for position, key in enumerate(keys) if key == best]
        if len(ties) == 1:
            return items[ties[0]]
        return items[min(ties, key=lambda position: self.draw(start + position))]
