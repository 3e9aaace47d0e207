"""The world's queue of events, heapq, against buckets of a millisecond: hold as many as a day does, take one, put one.

python benchmarks/event_queue.py [--held 1000,10000,100000] [--events 1000000]
"""

from __future__ import annotations

import argparse
import heapq
import random
import time
from collections import defaultdict


class Heap:
    def __init__(self):
        self.held: list = []

    def put(self, one):
        heapq.heappush(self.held, one)

    def take(self):
        return heapq.heappop(self.held)


class Buckets:
    """Sorted only when their millisecond comes; which come next is a heap of numbers."""

    def __init__(self):
        self.held: dict[int, list] = defaultdict(list)
        self.order: list[int] = []
        self.now: list = []
        self.number = -1

    def put(self, one):
        number = int(one[0])
        if number <= self.number:
            heapq.heappush(self.now, one)
            return
        if number not in self.held:
            heapq.heappush(self.order, number)
        self.held[number].append(one)

    def take(self):
        if not self.now:
            self.number = heapq.heappop(self.order)
            self.now = self.held.pop(self.number)
            heapq.heapify(self.now)
        return heapq.heappop(self.now)


def measured(kind, held: int, events: int) -> tuple[float, float]:
    """Microseconds an event, and the sum of times taken, which both must have alike."""
    chance, queue = random.Random(1), kind()
    for number in range(held):
        queue.put((chance.expovariate(1 / 300.0), number, None))
    gaps = [chance.expovariate(1 / 300.0) for _ in range(events)]
    total, begun = 0.0, time.process_time()
    for number, gap in enumerate(gaps, held):
        at = queue.take()[0]
        total += at
        queue.put((at + gap, number, None))
    return 1e6 * (time.process_time() - begun) / events, total


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--held", default="1000,10000,100000")
    parser.add_argument("--events", type=int, default=1_000_000)
    told = parser.parse_args()
    for held in map(int, told.held.split(",")):
        (heap, one), (buckets, other) = measured(Heap, held, told.events), measured(Buckets, held, told.events)
        assert one == other, "the two took events in different orders"
        print(f"{held} held: heapq {heap:.2f} us an event, buckets {buckets:.2f}", flush=True)


if __name__ == "__main__":
    main()
