"""Traffic of this controller alone: how many requests, and each model's share of them."""

from __future__ import annotations

import math

from sprucespool.interface import Deployment
from sprucespool.policy.beliefs import ModelBelief

# Places that a model with all of the traffic gets for each near worker.
PLACES_PER_WORKER = 3.0
# THIN_REQUESTS_PER_WORKER: with several controllers, own traffic is thin below this number of own requests in a
# keep-alive for each near worker, as own entries then expire before they are renewed.
# MIN_COUNTED_FRACTION: the fraction of a keep-alive that a process is assumed to have counted for at least.
THIN_REQUESTS_PER_WORKER, MIN_COUNTED_FRACTION = 4.0, 0.1


class OwnTraffic:
    """Request counts that decay exponentially over a keep-alive. Times are in milliseconds."""

    def __init__(self, deployment: Deployment):
        self.decay_time = max(deployment.keep_alive, 1.0)
        self.recent, self._counted_at = 0.0, 0.0
        # When the first request arrived.
        self._first_request_at: float | None = None
        # Whether requests follow a plan of zones.
        self._zones_planned = False

    def arrived(self, model: ModelBelief, now: float, zones_planned: bool) -> None:
        if self._first_request_at is None:
            self._first_request_at = now
        self._zones_planned = zones_planned
        model.recent_requests *= math.exp((model.last_request_at - now) / self.decay_time)
        model.request_count, model.last_request_at = model.request_count + 1, now

    def count(self, model: ModelBelief, now: float) -> None:
        """Count a request. Called after it is placed: counted before, each rare model would look popular."""
        self.recent = 1.0 + self.recent * math.exp((self._counted_at - now) / self.decay_time)
        model.recent_requests, self._counted_at = model.recent_requests + 1.0, now

    def places(self, model: ModelBelief, near_workers: int) -> int:
        """How many places in its shared order the model gets for its share of the traffic."""
        return math.ceil(PLACES_PER_WORKER * near_workers * model.recent_requests / max(1.0, self.recent))

    def is_thin(self, now: float, controllers: int, workers: int, near_workers: int) -> bool:
        """Whether own entries expire before own traffic renews them.

        A popular model is then looked for in all its places.
        """
        if controllers > workers:
            return True
        # A plan of zones assigns traffic by what the zones accept. With more copies than own traffic keeps warm, the
        # zones would seem to accept little and the plan would move traffic away.
        if controllers == 1 or self._first_request_at is None or self._zones_planned:
            return False
        # The count starts at zero, so it is extrapolated to a whole keep-alive.
        counted = max(MIN_COUNTED_FRACTION, 1.0 - math.exp((self._first_request_at - now) / self.decay_time))
        return self.recent < THIN_REQUESTS_PER_WORKER * near_workers * counted
