"""Requests of this controller alone: how many, and which part of them each model is."""

from __future__ import annotations

import math

from sprucespool.interface import Deployment
from sprucespool.policy.beliefs import ModelBelief

# Places that a model's part of the traffic is worth, for each invoker.
PLACES = 3.0
# Of several controllers, own requests within a keep-alive for each near worker below which own entries lapse unrenewed.
# The least part of a keep-alive that a process that just began is taken to have counted for.
THIN_TRAFFIC, LEAST_COUNTED = 4.0, 0.1


class OwnTraffic:
    """Counts requests that fade over a keep-alive. Times are milliseconds."""

    def __init__(self, deployment: Deployment):
        self.memory = max(deployment.keep_alive, 1.0)
        self.recent, self._counted_at = 0.0, 0.0
        # When the first request came.
        self._began: float | None = None
        # Whether requests go by a plan of zones.
        self._planned = False

    def arrived(self, model: ModelBelief, now: float, planned: bool) -> None:
        if self._began is None:
            self._began = now
        self._planned = planned
        model.part *= math.exp((model.asked_at - now) / self.memory)
        model.asked, model.asked_at = model.asked + 1, now

    def count(self, model: ModelBelief, now: float) -> None:
        """To be called when the request is placed: counted before, each rare model would look like a favourite."""
        self.recent = 1.0 + self.recent * math.exp((self._counted_at - now) / self.memory)
        model.part, self._counted_at = model.part + 1.0, now

    def places(self, model: ModelBelief, near: int) -> int:
        """As many of the near workers as the model's part of the traffic is worth."""
        return math.ceil(PLACES * near * model.part / max(1.0, self.recent))

    def is_thin(self, now: float, controllers: int, workers: int, near: int) -> bool:
        """Whether own entries lapse before own traffic renews them: a favourite is sought in all its places."""
        if controllers > workers:
            return True
        # A plan of zones sends traffic by what zones take: more copies than own traffic keeps warm would look like
        # zones that take little, and move it.
        if controllers == 1 or self._began is None or self._planned:
            return False
        # Requests are counted from nothing: what they will be in a whole keep-alive is in question.
        counted = max(LEAST_COUNTED, 1.0 - math.exp((self._began - now) / self.memory))
        return self.recent < THIN_TRAFFIC * near * counted
