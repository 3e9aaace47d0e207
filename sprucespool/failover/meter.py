"""What one controller's own traffic shows about load and about the health of its home zone. No I/O, no clock.

Load is measured in busy cores: inferences per second times the run time of one that does not queue.
"""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field


@dataclass(slots=True)
class Meter:
    """`zone` is the controller's home zone; times are in ms."""

    zone: str
    window: float = 2_000.0
    # The quantile of run times that is tracked. Queueing only lengthens them, so a low one is nearest to the work.
    quantile: float = 0.4
    step: float = 0.01
    in_time_threshold: float = 0.9
    # The health of the home zone is judged by this number of its latest outcomes, none older than this.
    max_outcomes: int = 24
    max_outcome_age: float = 6_000.0
    # Fewer outcomes than this can show that the home zone is healthy, but not that it is unhealthy: two forwards that
    # waited behind cold loads cost a zone its trust for half a minute.
    min_outcomes: int = 6
    # A change is reported at once if it exceeds both this share and this multiple of the statistical noise, but not
    # more often than `min_report_interval`.
    change_threshold: float = 0.15
    noise_factor: float = 2.5
    min_report_interval: float = 500.0
    # Without a change a report is repeated after this time. Where each of hundreds of controllers has a few inferences
    # per second, nothing ever changes beyond noise, and the planner saw 0.6 of the demand for the first half minute.
    max_report_interval: float = 5_000.0
    run_times: dict[str, float] = field(default_factory=dict)
    sample_counts: dict[str, int] = field(default_factory=dict)
    _arrivals: deque[tuple[float, bool, str]] = field(default_factory=deque)
    # Per forward to the home zone: when it ended, whether it returned in SLO time, whether it returned at all, its work
    # (ms of a core), whether it waited for a model load.
    _outcomes: deque[tuple[float, bool, bool, float, bool]] = field(default_factory=deque)
    _reported: tuple[float, float, float, float, float] = (0.0, 0.0, 0.0, -1.0, -1.0)
    _reported_at: float = -math.inf

    def arrived(self, now: float, group: str, bound: bool, expected_run_time: float) -> None:
        """`expected_run_time` is used for a model group until its first run is measured."""
        self.run_times.setdefault(group, expected_run_time)
        self._arrivals.append((now, bound, group))
        self._forget(now)

    def ended(self, now: float, group: str, zone: str, elapsed: float, outcome: str, warm: bool, slo: float) -> None:
        """A forward to that zone ended; `outcome` is a value of `interface.Outcome`. Misses are ignored: a model that
        is not loaded says nothing about health. When misses counted, a cold start of 120 invokers that answer misses
        cost all zones their trust, and four fifths of all traffic was shed without recovery."""
        if zone != self.zone or outcome == "miss":
            return
        returned = outcome == "returned"
        self._outcomes.append(
            (
                now,
                returned and elapsed <= slo,
                returned,
                self.run_times.get(group, 0.0) if returned else 0.0,
                returned and not warm,
            )
        )
        self._forget(now)
        if (
            returned
            and warm
            and group in self.run_times
            and (elapsed <= self.run_times[group] or self._mostly_in_time())
        ):
            run_time, self.sample_counts[group] = self.run_times[group], self.sample_counts.get(group, 0) + 1
            # Large steps at first, as the expected run time may be far off.
            step = max(self.step, 0.5 / self.sample_counts[group])
            self.run_times[group] = max(
                1.0, run_time * (1.0 + step * (self.quantile if elapsed > run_time else self.quantile - 1.0))
            )

    def _mostly_in_time(self) -> bool:
        """Longer answers mean longer work only where nearly all return in time. Otherwise growing queues would look
        like growing work, and shedding because of it would make the demand look higher still."""
        return sum(one[1] for one in self._outcomes) >= self.in_time_threshold * len(self._outcomes)

    def _forget(self, now: float):
        while self._arrivals and self._arrivals[0][0] < now - self.window:
            self._arrivals.popleft()
        while self._outcomes and (
            self._outcomes[0][0] < now - self.max_outcome_age
            or len(self._outcomes) > self.max_outcomes
            and self._outcomes[0][0] < now - self.window
        ):
            self._outcomes.popleft()

    def measure(self, now: float) -> tuple[float, float, float, float, float]:
        """(free, bound, home work, returned share, in-time share): cores that arriving inferences need (free, and bound
        to their region), cores that the home zone delivered to this controller, the share of forwards to the home zone
        that returned, and that returned in SLO time; -1 where that is not known. Late answers are no sign of unhealthy
        invokers: cold models and queues cause them as well."""
        self._forget(now)
        demand = [0.0, 0.0]
        for _, bound, group in self._arrivals:
            demand[bound] += self.run_times[group]
        home_work = sum(work for at, _, _, work, _ in self._outcomes if at >= now - self.window) / self.window
        returned_share, in_time_share = self._home_health()
        return (
            round(demand[0] / self.window, 2),
            round(demand[1] / self.window, 2),
            round(home_work, 2),
            round(returned_share, 2),
            round(in_time_share, 2),
        )

    def _home_health(self) -> tuple[float, float]:
        newest = list(self._outcomes)[-self.max_outcomes :]
        returned_count = sum(one[2] for one in newest)
        cold_count = sum(one[4] for one in newest)
        # While most of what returns waited for a model load, what does not return was probably waiting for one too, so
        # nothing is known about health.
        if (
            not newest
            or returned_count < len(newest)
            and (len(newest) < self.min_outcomes or 2 * cold_count >= returned_count > 0)
        ):
            return -1.0, -1.0
        # A forward that waits for a load is late whatever the invokers' health, and a zone with little traffic is cold
        # for each of its models.
        in_time = [one[1] for one in newest if one[1] or not one[4]]
        return returned_count / len(newest), sum(in_time) / len(in_time) if in_time else -1.0

    def forget_outcomes(self) -> None:
        """The home zone has no invokers: past outcomes say nothing about those that start there later."""
        self._outcomes.clear()

    def report_if_due(self, now: float) -> tuple[float, float, float, float, float] | None:
        """The measurements, if they should be sent to the voters now: among hundreds of members the group's own updates
        may take a minute. Changes within the statistical noise of a few arrivals are not reported."""
        since = now - self._reported_at
        if since < self.min_report_interval or not self._arrivals and math.isinf(since):
            return None
        measured, before = self.measure(now), self._reported
        demand, reported = measured[0] + measured[1], before[0] + before[1]
        run_time = max(self.run_times.values(), default=0.0)
        # The noise follows from the larger of both counts. Otherwise lulls would be reported and rushes would not, and
        # the reported demand would be too low.
        count = max(1.0, len(self._arrivals), reported * self.window / run_time if run_time > 0 else 0.0)
        noise = self.noise_factor * math.sqrt(count) * run_time / self.window
        health_flipped = measured[3] >= 0 and before[3] >= 0 and (measured[3] < 0.5) is not (before[3] < 0.5)
        reported_recently = since < self.max_report_interval and (
            not math.isinf(since) or now - self._arrivals[0][0] < 0.9 * self.window
        )
        if (
            reported_recently
            and abs(demand - reported) <= max(self.change_threshold * max(demand, reported), noise)
            and not health_flipped
        ):
            return None
        self._reported, self._reported_at = measured, now
        return measured
