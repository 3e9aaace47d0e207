"""Draws by chance that the same seed gives again."""

from __future__ import annotations

import zlib
from collections.abc import Sequence
from typing import Any, TypeVar

Item = TypeVar("Item")


class Chance:
    """Numbers its draws: each is made from the seed and its number alone."""

    def __init__(self, seed: int):
        self.seed, self._taken = seed, 0

    def take(self, many: int = 1) -> int:
        """Set so many numbers aside; gives the first of them."""
        self._taken += many
        return self._taken - many

    def draw(self, number: int) -> int:
        """32 bits."""
        return zlib.crc32(b"%d:%d" % (self.seed, number))

    def next(self) -> int:
        return self.draw(self.take())

    def fraction(self) -> float:
        """From 0 to 1."""
        return self.next() / 2**32

    def first(self, keys: Sequence[Any], items: Sequence[Item]) -> Item:
        """The item with the least key, ties by chance: each place has a draw of its own, made for ties alone."""
        best, start = min(keys), self.take(len(items))
        ties = [place for place, key in enumerate(keys) if key == best]
        if len(ties) == 1:
            return items[ties[0]]
        return items[min(ties, key=lambda place: self.draw(start + place))]
