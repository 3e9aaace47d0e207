"""Compares the simulation's event queue (heapq) with one of millisecond buckets. Each step takes an event and adds one,
while the queue holds about as many events as on a day.

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
        self.events: list = []

    def put(self, event):
        heapq.heappush(self.events, event)

    def take(self):
        return heapq.heappop(self.events)


class Buckets:
    """Events by millisecond; a bucket is sorted when its millisecond is reached. A heap holds the bucket numbers."""

    def __init__(self):
        self.events: dict[int, list] = defaultdict(list)
        self.bucket_order: list[int] = []
        self.current: list = []
        self.number = -1

    def put(self, event):
        number = int(event[0])
        if number <= self.number:
            heapq.heappush(self.current, event)
            return
        if number not in self.events:
            heapq.heappush(self.bucket_order, number)
        self.events[number].append(event)

    def take(self):
        if not self.current:
            self.number = heapq.heappop(self.bucket_order)
            self.current = self.events.pop(self.number)
            heapq.heapify(self.current)
        return heapq.heappop(self.current)


def measure(kind, held: int, events: int) -> tuple[float, float]:
    """Returns the microseconds per event and the sum of the event times, which must be equal for both queues."""
    chance, queue = random.Random(1), kind()
    for number in range(held):
        queue.put((chance.expovariate(1 / 300.0), number, None))
    gaps = [chance.expovariate(1 / 300.0) for _ in range(events)]
    total, started_at = 0.0, time.process_time()
    for number, gap in enumerate(gaps, held):
        at = queue.take()[0]
        total += at
        queue.put((at + gap, number, None))
    return 1e6 * (time.process_time() - started_at) / events, total


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--held", default="1000,10000,100000")
    parser.add_argument("--events", type=int, default=1_000_000)
    args = parser.parse_args()
    for held in map(int, args.held.split(",")):
        (heap, heap_sum), (buckets, buckets_sum) = measure(Heap, held, args.events), measure(Buckets, held, args.events)
        assert heap_sum == buckets_sum, "the two took events in different orders"
        print(f"{held} held: heapq {heap:.2f} us an event, buckets {buckets:.2f}", flush=True)


if __name__ == "__main__":
    main()
