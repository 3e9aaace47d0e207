"""Compares deciders seed by seed: means, and bootstrap intervals of differences. No I/O; the random seed is fixed."""

from __future__ import annotations

import random
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from statistics import fmean

from sprucespool.lab.sweep import KINDS, Row, by_settings

BOOTSTRAP_DRAWS, CONFIDENCE = 2_000, 0.95


@dataclass(frozen=True, slots=True)
class Comparison:
    """One metric of one decider under one setting. `more` is the mean difference to the first decider over the same
    seeds, from `least` to `most` by its interval; None for the first decider itself. `seeds`: how many were counted."""

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
        """Whether the interval excludes zero."""
        return self.least is not None and self.most is not None and (self.least > 0 or self.most < 0)


def interval(
    differences: Sequence[float], confidence: float = CONFIDENCE, draws: int = BOOTSTRAP_DRAWS
) -> tuple[float, float]:
    """Bootstrap interval of the mean: percentiles of the means of samples drawn with replacement. Raises ValueError for
    an empty sequence."""
    if not differences:
        raise ValueError("expected at least one difference")
    chance, count = random.Random(0), len(differences)
    means = sorted(fmean(chance.choices(differences, k=count)) for _ in range(draws))
    tail = (1 - confidence) / 2
    return means[int(tail * draws)], means[min(draws - 1, int((1 - tail) * draws))]


def compare_rows(rows: Iterable[Row]) -> list[Comparison]:
    """Compares all metrics, in the order in which they first appear in the rows. A difference counts only seeds for
    which both deciders have a value."""
    comparisons = []
    for (kind, case, controllers, invokers, loss), deciders in by_settings(rows).items():
        order = [name for name in KINDS[kind][1] if name in deciders]
        base = deciders[order[0]]
        for decider in order:
            names = dict.fromkeys(name for row in deciders[decider].values() for name in row.figures)
            for name in names:
                values = {
                    seed: value
                    for seed, row in sorted(deciders[decider].items())
                    if (value := row.figures.get(name)) is not None
                }
                if not values:
                    continue
                fields = kind, case, controllers, invokers, loss, decider, name, fmean(values.values()), len(values)
                differences = [
                    value - base_value
                    for seed, value in values.items()
                    if seed in base and (base_value := base[seed].figures.get(name)) is not None
                ]
                if decider == order[0] or not differences:
                    comparisons.append(Comparison(*fields))
                else:
                    comparisons.append(Comparison(*fields, fmean(differences), *interval(differences)))
    return comparisons
