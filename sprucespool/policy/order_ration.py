"""Limit on load orders: a fixed number, plus a share of the requests that were sent to the controller."""

from __future__ import annotations

from bisect import insort
from collections import deque


class OrderRation:
    """Counts over a sliding `window`; with a window of 0 orders are not limited. Times are in milliseconds."""

    def __init__(self, floor: float, share: float, window: float):
        self.floor, self.share, self.window = floor, share, window
        self._requests: deque[float] = deque()
        self._orders: deque[float] = deque()

    def request_sent(self, at: float, now: float) -> None:
        """Count a request read at `now` that was sent at `at` or later.

        After a pause of the process it may have been sent long before it is read.
        """
        if self.window <= 0:
            return
        if at >= now:
            self._requests.append(now)
        elif at > now - self.window:
            insort(self._requests, at)

    def order_sent(self, now: float) -> None:
        if self.window > 0:
            self._orders.append(now)

    def allows_order(self, now: float) -> bool:
        if self.window <= 0:
            return True
        while self._orders and self._orders[0] < now - self.window:
            self._orders.popleft()
        while self._requests and self._requests[0] <= now - self.window:
            self._requests.popleft()
        return len(self._orders) + 1 <= self.floor + self.share * len(self._requests)
