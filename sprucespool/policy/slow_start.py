"""The budget of workers that just started: this controller's part of what all may send them."""

from __future__ import annotations

from collections.abc import Iterable

from sprucespool.interface import Deployment
from sprucespool.policy.beliefs import Worker
from sprucespool.policy.chance import Chance
from sprucespool.policy.readiness import Readiness

# The part of the budget that is used, as arrivals bunch.
CAUTION = 0.4
# Time over which carried work is averaged.
AVERAGED_OVER = 5000.0


class SlowStart:
    """Goes by what warm workers of the same kind and zone carry for this controller. Times are milliseconds."""

    def __init__(self, deployment: Deployment, chance: Chance, readiness: Readiness):
        self.deployment, self.chance, self.readiness = deployment, chance, readiness
        # Work carried a millisecond by a warm worker, by kind and zone; for a kind of which none is warm in the zone.
        self.rates: dict[tuple[str, str], float] = {}
        self.even_rate = 0.0
        # The averages start at nothing: of a controller that began a moment ago they are that much too low.
        self._averaged = 0.0

    def is_cold(self, worker: Worker, now: float) -> bool:
        return now < worker.warm_at or now < self.readiness.restarted_at(worker, now) + self.deployment.warm_after

    def has_room(self, worker: Worker, weight: float, now: float, sharers: float) -> bool:
        """Whether an attempt of that weight may go to the cold worker.

        The budget is saved up from a start drawn by chance: an attempt free for each of many controllers would push the
        worker over.
        """
        deployment = self.deployment
        started = max(worker.started, self.readiness.restarted_at(worker, now))
        age = max(0.0, now - deployment.fall_window - started)
        share = deployment.cold_share + (1 - deployment.cold_share) * age / deployment.warm_after
        rate = CAUTION * deployment.fall_multiple * share * min(1.0, deployment.controllers / sharers)
        rate *= self.rates.get((worker.kind, worker.zone), self.even_rate)
        grant = worker.grant
        if grant is None:
            grant = weight * self.chance.fraction()
        most = max(weight, rate * deployment.fall_window / 2)
        worker.grant = grant = min(most, grant + rate * (now - worker.granted_at))
        worker.granted_at = now
        return grant >= weight

    def attempt_sent(self, worker: Worker, weight: float) -> None:
        if worker.grant is not None:
            worker.grant -= weight

    def average(self, worker: Worker, elapsed: float) -> None:
        """Take in what the worker carried in the time that passed."""
        if worker.carried or worker.rate > 1e-9:
            worker.rate += elapsed / AVERAGED_OVER * (worker.carried / elapsed - worker.rate)
            worker.carried = 0.0

    def time_passed(self, elapsed: float) -> None:
        self._averaged += elapsed / AVERAGED_OVER * (1.0 - self._averaged)

    def weigh(self, workers: Iterable[Worker], now: float, even_rate: float) -> None:
        """Set the rates anew. `even_rate` is an even part of the own traffic, per worker."""
        groups: dict[tuple[str, str], list[float]] = {}
        for worker in workers:
            if not self.is_cold(worker, now):
                groups.setdefault((worker.kind, worker.zone), []).append(worker.rate)
        self.rates = {group: sum(rates) / len(rates) / self._averaged for group, rates in groups.items()}
        self.even_rate = even_rate / 2
