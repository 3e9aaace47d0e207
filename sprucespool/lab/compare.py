"""Deciders against each other by seed: means and intervals of differences. No I/O; the draws come from a fixed seed."""

from __future__ import annotations

import random
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from statistics import fmean

from sprucespool.lab.sweep import KINDS, Row, by_settings

DRAWS, SURE = 2_000, 0.95


@dataclass(frozen=True, slots=True)
class Comparison:
    """One figure of one decider under one setting. `more`: by how much more than the first decider over the same
    seeds, with its interval; None for the first itself. `seeds` that count in it."""

    kind: str
    case: str
    controllers: int
    invokers: int
    loss: float
    decider: str
    figure: str
    mean: float
    seeds: int
    more: float | None = None
    least: float | None = None
    most: float | None = None

    @property
    def clear(self) -> bool:
        """Whether the interval leaves no doubt on which side of none the difference is."""
        return self.least is not None and self.most is not None and (self.least > 0 or self.most < 0)


def interval(differences: Sequence[float], sure: float = SURE, draws: int = DRAWS) -> tuple[float, float]:
    """Of the mean: percentiles of means of samples drawn with replacement. Raises ValueError on none at all."""
    if not differences:
        raise ValueError("expected at least one difference")
    chance, many = random.Random(0), len(differences)
    means = sorted(fmean(chance.choices(differences, k=many)) for _ in range(draws))
    cut = (1 - sure) / 2
    return means[int(cut * draws)], means[min(draws - 1, int((1 - cut) * draws))]


def compare_rows(rows: Iterable[Row]) -> list[Comparison]:
    """All figures, in the order of the rows' first coming; a seed that one of two lacks counts for neither."""
    found = []
    for (kind, case, controllers, invokers, loss), deciders in by_settings(rows).items():
        order = [name for name in KINDS[kind][1] if name in deciders]
        base = deciders[order[0]]
        for who in order:
            names = dict.fromkeys(name for row in deciders[who].values() for name in row.figures)
            for name in names:
                values = {
                    seed: value
                    for seed, row in sorted(deciders[who].items())
                    if (value := row.figures.get(name)) is not None
                }
                if not values:
                    continue
                told = kind, case, controllers, invokers, loss, who, name, fmean(values.values()), len(values)
                pairs = [
                    value - before
                    for seed, value in values.items()
                    if seed in base and (before := base[seed].figures.get(name)) is not None
                ]
                if who == order[0] or not pairs:
                    found.append(Comparison(*told))
                else:
                    found.append(Comparison(*told, fmean(pairs), *interval(pairs)))
    return found
