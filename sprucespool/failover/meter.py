"""What one controller's own traffic shows of load and of its home zone. No I/O, no clock.

Load is in cores busy: inferences a second times how long one runs when nothing waits before it.
"""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field


@dataclass(slots=True)
class Meter:
    """`zone` is the controller's own; times in ms."""

    zone: str
    window: float = 2_000.0
    # Of run times the part that lies under what is counted: queues only lengthen, so a low one is nearest to the work.
    quantile: float = 0.4
    step: float = 0.01
    in_time_threshold: float = 0.9
    # How home does is judged by so many of its last ends, of so long at the most.
    max_outcomes: int = 24
    max_outcome_age: float = 6_000.0
    # Fewer ends than that speak for home, never against it: seen, two forwards behind cold loads took a zone's trust
    # for half a minute.
    min_outcomes: int = 6
    # Worth telling at once: moved by this part, and by so many times what chance makes of it; no more often than that.
    change_threshold: float = 0.15
    noise_factor: float = 2.5
    min_report_interval: float = 500.0
    # And again after so long, moved or not: where each of hundreds has a few inferences a second, nothing ever moves
    # beyond chance, and those who plan saw 0.6 of what was asked for the first half minute.
    max_report_interval: float = 5_000.0
    run_times: dict[str, float] = field(default_factory=dict)
    sample_counts: dict[str, int] = field(default_factory=dict)
    _arrivals: deque[tuple[float, bool, str]] = field(default_factory=deque)
    # When a forward home ended, whether in SLO time, whether it came back at all, the work it did (ms of a core),
    # whether it met a load.
    _outcomes: deque[tuple[float, bool, bool, float, bool]] = field(default_factory=deque)
    _reported: tuple[float, float, float, float, float] = (0.0, 0.0, 0.0, -1.0, -1.0)
    _reported_at: float = -math.inf

    def arrived(self, now: float, group: str, bound: bool, expected_run_time: float) -> None:
        """`guess` is how long one of this model group runs, where none was seen yet."""
        self.run_times.setdefault(group, expected_run_time)
        self._arrivals.append((now, bound, group))
        self._forget(now)

    def ended(self, now: float, group: str, zone: str, elapsed: float, outcome: str, warm: bool, slo: float) -> None:
        """A forward ended in that zone; `outcome` as values of `interface.Outcome`. A miss tells of a model that is not
        there, not of health. Seen: at a cold start of 120 invokers that answer misses all zones lost their trust by
        them, and four fifths of all was shed for as long as anybody looked."""
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
            # In long strides at first, as the guess may be far off.
            step = max(self.step, 0.5 / self.sample_counts[group])
            self.run_times[group] = max(
                1.0, run_time * (1.0 + step * (self.quantile if elapsed > run_time else self.quantile - 1.0))
            )

    def _mostly_in_time(self) -> bool:
        """Against work that seems to grow while queues do: the more were shed for it, the more would seem to be asked.
        Only where nearly all comes back in time do longer answers mean longer work."""
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
        """(free, bound, did, well, soon): cores that arriving inferences ask, cores that home did for this controller,
        the part of forwards home that came back, and that came in SLO time; -1 where that is not known. Late ones are
        no sign of ill invokers: cold models and queues make them as well."""
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
        # While most of what comes back met a load, what does not come back waited for one: nothing is known of health.
        if (
            not newest
            or returned_count < len(newest)
            and (len(newest) < self.min_outcomes or 2 * cold_count >= returned_count > 0)
        ):
            return -1.0, -1.0
        # A load is late whatever the invokers' health, and a zone that gets a trickle is cold for each model of it.
        in_time = [one[1] for one in newest if one[1] or not one[4]]
        return returned_count / len(newest), sum(in_time) / len(in_time) if in_time else -1.0

    def forget_outcomes(self) -> None:
        """Nothing stands at home: what was seen there says nothing of who will."""
        self._outcomes.clear()

    def report_if_due(self, now: float) -> tuple[float, float, float, float, float] | None:
        """The figures, where those who plan ought to hear of them at once: the group's own news may take a minute among
        hundreds. What chance makes of a few arrivals is no news."""
        since = now - self._reported_at
        if since < self.min_report_interval or not self._arrivals and math.isinf(since):
            return None
        measured, before = self.measure(now), self._reported
        demand, reported = measured[0] + measured[1], before[0] + before[1]
        run_time = max(self.run_times.values(), default=0.0)
        # By the larger of both counts: else a lull is news and a rush is not, and all that is told is too little.
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
