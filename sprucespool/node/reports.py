"""Periodic log lines of a controller: refusals, its own and by invoker, and a status line every ten seconds."""

from __future__ import annotations

import json
from collections import Counter
from collections.abc import Callable
from typing import Any

from sprucespool.gateway.core import Counts
from sprucespool.node.logs import Log

REFUSALS_INTERVAL_MS, STATUS_INTERVAL_MS = 1_000.0, 10_000.0
# The log line of refusals names this number of invokers at most.
MAX_INVOKERS_NAMED = 8


class Reports:
    """`write_due` is called periodically and writes the lines that are due; `status` returns extra status fields."""

    def __init__(self, log: Log, counts: Counts, status: Callable[[], dict[str, Any]], now: float):
        self.log, self.counts, self.status = log, counts, status
        self._refusals: Counter[str] = Counter()
        self._last_refused = ""
        # Requests that were answered without an attempt: how many for each reason, and the last of them.
        self._turned_away: dict[str, tuple[int, str]] = {}
        self._refusals_logged_at = self._status_logged_at = now

    def add_refusal(self, invoker: str, request: str) -> None:
        """Counts an attempt that the invoker refused without running it."""
        self._refusals[invoker] += 1
        self._last_refused = request

    def add_turned_away(self, why: str, request: str) -> None:
        """Counts a request that was refused or failed here without an attempt; `why` is one of few texts."""
        count, _ = self._turned_away.get(why, (0, ""))
        self._turned_away[why] = count + 1, request

    def write_due(self, now: float) -> None:
        if now - self._refusals_logged_at >= REFUSALS_INTERVAL_MS:
            self._refusals_logged_at = now
            self._log_turned_away()
            if self._refusals:
                self._log_refusals()
        if now - self._status_logged_at >= STATUS_INTERVAL_MS:
            self._status_logged_at = now
            counts = {name: count for name, count in self.counts.as_dict().items() if count}
            self.log.info("status", **self.status(), counts=json.dumps(counts, separators=(",", ":")))

    def _log_turned_away(self) -> None:
        turned_away, self._turned_away = self._turned_away, {}
        for why, (count, last_request) in turned_away.items():
            self.log.info("turned away", why=why, requests=count, last_request=last_request)

    def _log_refusals(self) -> None:
        refusals, self._refusals = self._refusals, Counter()
        by_invoker = ",".join(f"{invoker}:{count}" for invoker, count in refusals.most_common(MAX_INVOKERS_NAMED))
        self.log.info(
            "turned away by invokers",
            attempts=refusals.total(),
            invokers=len(refusals),
            by=by_invoker,
            last_request=self._last_refused,
        )
