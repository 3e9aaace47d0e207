"""Slow start: this controller's share of the work that all controllers may send to workers that just started."""

from __future__ import annotations

from collections.abc import Iterable

from sprucespool.interface import Deployment
from sprucespool.policy.beliefs import Worker
from sprucespool.policy.chance import Chance
from sprucespool.policy.readiness import Readiness

# Fraction of the budget that is used, because arrivals come in bursts.
USED_FRACTION = 0.4
# Time constant of the average of completed work.
AVERAGING_TIME_MS = 5000.0


class SlowStart:
    """Budgets relative to the work that warm workers of the same kind and zone do for this controller.

    Times are in milliseconds.
    """

    def __init__(self, deployment: Deployment, chance: Chance, readiness: Readiness):
        self.deployment, self.chance, self.readiness = deployment, chance, readiness
        # Work per ms completed by a warm worker, by kind and zone; and the rate used if the zone has no warm worker of
        # the kind.
        self.rates: dict[tuple[str, str], float] = {}
        self.even_rate = 0.0
        # The averages start at zero, so shortly after the start of the controller they are too low by this factor.
        self._average_weight = 0.0

    def is_cold(self, worker: Worker, now: float) -> bool:
        return (
            now < worker.warm_at or now < self.readiness.suspected_restart_at(worker, now) + self.deployment.warm_after
        )

    def has_budget(self, worker: Worker, weight: float, now: float, sharers: float) -> bool:
        """Whether an attempt of that weight may go to the cold worker.

        The budget accumulates from a random initial value: if each of many controllers had one attempt free at the
        start, together they would overload the worker.
        """
        deployment = self.deployment
        started = max(worker.started, self.readiness.suspected_restart_at(worker, now))
        age = max(0.0, now - deployment.fall_window - started)
        share = deployment.cold_share + (1 - deployment.cold_share) * age / deployment.warm_after
        rate = USED_FRACTION * deployment.fall_multiple * share * min(1.0, deployment.controllers / sharers)
        rate *= self.rates.get((worker.kind, worker.zone), self.even_rate)
        budget = worker.budget
        if budget is None:
            budget = weight * self.chance.fraction()
        capacity = max(weight, rate * deployment.fall_window / 2)
        worker.budget = budget = min(capacity, budget + rate * (now - worker.budget_updated_at))
        worker.budget_updated_at = now
        return budget >= weight

    def attempt_sent(self, worker: Worker, weight: float) -> None:
        if worker.budget is not None:
            worker.budget -= weight

    def update_average(self, worker: Worker, elapsed: float) -> None:
        """Update the worker's average rate with the work completed in the elapsed time."""
        if worker.completed_work or worker.work_rate > 1e-9:
            worker.work_rate += elapsed / AVERAGING_TIME_MS * (worker.completed_work / elapsed - worker.work_rate)
            worker.completed_work = 0.0

    def time_passed(self, elapsed: float) -> None:
        self._average_weight += elapsed / AVERAGING_TIME_MS * (1.0 - self._average_weight)

    def update_rates(self, workers: Iterable[Worker], now: float, even_rate: float) -> None:
        """Recompute the rates. `even_rate` is the own traffic divided evenly, per worker."""
        groups: dict[tuple[str, str], list[float]] = {}
        for worker in workers:
            if not self.is_cold(worker, now):
                groups.setdefault((worker.kind, worker.zone), []).append(worker.work_rate)
        self.rates = {group: sum(rates) / len(rates) / self._average_weight for group, rates in groups.items()}
        self.even_rate = even_rate / 2
