"""What a controller logs of its own course: who turned requests away, and its counts every ten seconds."""

from __future__ import annotations

import json
from collections import Counter
from collections.abc import Callable
from typing import Any

from sprucespool.gateway.core import Counts
from sprucespool.node.logs import Log

# Times in milliseconds.
REFUSALS_EVERY, STATUS_EVERY = 1_000.0, 10_000.0
# Invokers named in a line.
MOST_NAMED = 8


class Reports:
    """`look` is called now and then and writes what is due; `status` gives further figures for the status line."""

    def __init__(self, log: Log, counts: Counts, status: Callable[[], dict[str, Any]], now: float):
        self.log, self.counts, self.status = log, counts, status
        self._refusals: Counter[str] = Counter()
        self._last_refused = ""
        self._refusals_at = self._status_at = now

    def turned_away(self, invoker: str, request: str) -> None:
        """The invoker refused an attempt of the request unseen."""
        self._refusals[invoker] += 1
        self._last_refused = request

    def look(self, now: float) -> None:
        if self._refusals and now - self._refusals_at >= REFUSALS_EVERY:
            self._refusals_at = now
            self._log_refusals()
        if now - self._status_at >= STATUS_EVERY:
            self._status_at = now
            counts = {name: count for name, count in self.counts.as_dict().items() if count}
            self.log.info("status", **self.status(), counts=json.dumps(counts, separators=(",", ":")))

    def _log_refusals(self) -> None:
        refusals, self._refusals = self._refusals, Counter()
        by = ",".join(f"{invoker}:{times}" for invoker, times in refusals.most_common(MOST_NAMED))
        self.log.info(
            "turned away by invokers",
            attempts=refusals.total(),
            invokers=len(refusals),
            by=by,
            last_request=self._last_refused,
        )
