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
    calm: float = 0.9
    # How home does is judged by so many of its last ends, of so long at the most.
    ends: int = 24
    ends_for: float = 6_000.0
    # Fewer ends than that speak for home, never against it: seen, two forwards behind cold loads took a zone's trust
    # for half a minute.
    least_ends: int = 6
    # Worth telling at once: moved by this part, and by so many times what chance makes of it; no more often than that.
    moved: float = 0.15
    chance: float = 2.5
    tell_every: float = 500.0
    # And again after so long, moved or not: where each of hundreds has a few inferences a second, nothing ever moves
    # beyond chance, and those who plan saw 0.6 of what was asked for the first half minute.
    max_report_interval: float = 5_000.0
    run_times: dict[str, float] = field(default_factory=dict)
    seen: dict[str, int] = field(default_factory=dict)
    _came: deque[tuple[float, bool, str]] = field(default_factory=deque)
    # When a forward home ended, whether in SLO time, whether it came back at all, the work it did (ms of a core),
    # whether it met a load.
    _ends: deque[tuple[float, bool, bool, float, bool]] = field(default_factory=deque)
    _told: tuple[float, float, float, float, float] = (0.0, 0.0, 0.0, -1.0, -1.0)
    _told_at: float = -math.inf

    def arrived(self, now: float, group: str, bound: bool, guess: float) -> None:
        """`guess` is how long one of this model group runs, where none was seen yet."""
        self.run_times.setdefault(group, guess)
        self._came.append((now, bound, group))
        self._forget(now)

    def ended(self, now: float, group: str, zone: str, elapsed: float, outcome: str, warm: bool, slo: float) -> None:
        """A forward ended in that zone; `outcome` as values of `interface.Outcome`. A miss tells of a model that is not
        there, not of health. Seen: at a cold start of 120 invokers that answer misses all zones lost their trust by
        them, and four fifths of all was shed for as long as anybody looked."""
        if zone != self.zone or outcome == "miss":
            return
        returned = outcome == "returned"
        self._ends.append(
            (
                now,
                returned and elapsed <= slo,
                returned,
                self.run_times.get(group, 0.0) if returned else 0.0,
                returned and not warm,
            )
        )
        self._forget(now)
        if returned and warm and group in self.run_times and (elapsed <= self.run_times[group] or self._calm()):
            usual, self.seen[group] = self.run_times[group], self.seen.get(group, 0) + 1
            # In long strides at first, as the guess may be far off.
            step = max(self.step, 0.5 / self.seen[group])
            self.run_times[group] = max(
                1.0, usual * (1.0 + step * (self.quantile if elapsed > usual else self.quantile - 1.0))
            )

    def _calm(self) -> bool:
        """Against work that seems to grow while queues do: the more were shed for it, the more would seem to be asked.
        Only where nearly all comes back in time do longer answers mean longer work."""
        return sum(one[1] for one in self._ends) >= self.calm * len(self._ends)

    def _forget(self, now: float):
        while self._came and self._came[0][0] < now - self.window:
            self._came.popleft()
        while self._ends and (
            self._ends[0][0] < now - self.ends_for
            or len(self._ends) > self.ends
            and self._ends[0][0] < now - self.window
        ):
            self._ends.popleft()

    def measure(self, now: float) -> tuple[float, float, float, float, float]:
        """(free, bound, did, well, soon): cores that arriving inferences ask, cores that home did for this controller,
        the part of forwards home that came back, and that came in SLO time; -1 where that is not known. Late ones are
        no sign of ill invokers: cold models and queues make them as well."""
        self._forget(now)
        asked = [0.0, 0.0]
        for _, bound, group in self._came:
            asked[bound] += self.run_times[group]
        did = sum(work for at, _, _, work, _ in self._ends if at >= now - self.window) / self.window
        well, soon = self._home()
        return (
            round(asked[0] / self.window, 2),
            round(asked[1] / self.window, 2),
            round(did, 2),
            round(well, 2),
            round(soon, 2),
        )

    def _home(self) -> tuple[float, float]:
        newest = list(self._ends)[-self.ends :]
        back = sum(one[2] for one in newest)
        loading = sum(one[4] for one in newest)
        # While most of what comes back met a load, what does not come back waited for one: nothing is known of health.
        if not newest or back < len(newest) and (len(newest) < self.least_ends or 2 * loading >= back > 0):
            return -1.0, -1.0
        # A load is late whatever the invokers' health, and a zone that gets a trickle is cold for each model of it.
        judged = [one[1] for one in newest if one[1] or not one[4]]
        return back / len(newest), sum(judged) / len(judged) if judged else -1.0

    def forget_outcomes(self) -> None:
        """Nothing stands at home: what was seen there says nothing of who will."""
        self._ends.clear()

    def report_if_due(self, now: float) -> tuple[float, float, float, float, float] | None:
        """The figures, where those who plan ought to hear of them at once: the group's own news may take a minute among
        hundreds. What chance makes of a few arrivals is no news."""
        since = now - self._told_at
        if since < self.tell_every or not self._came and math.isinf(since):
            return None
        found, before = self.measure(now), self._told
        asked, said = found[0] + found[1], before[0] + before[1]
        usual = max(self.run_times.values(), default=0.0)
        # By the larger of both counts: else a lull is news and a rush is not, and all that is told is too little.
        count = max(1.0, len(self._came), said * self.window / usual if usual > 0 else 0.0)
        noise = self.chance * math.sqrt(count) * usual / self.window
        turned = found[3] >= 0 and before[3] >= 0 and (found[3] < 0.5) is not (before[3] < 0.5)
        told_lately = since < self.max_report_interval and (
            not math.isinf(since) or now - self._came[0][0] < 0.9 * self.window
        )
        if told_lately and abs(asked - said) <= max(self.moved * max(asked, said), noise) and not turned:
            return None
        self._told, self._told_at = found, now
        return found
