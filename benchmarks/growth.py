"""CPU and memory of one controller's decisions as the fleet grows at constant traffic of its own, in virtual time.

    python benchmarks/growth.py [--runs 3] [--times 1,4,16]

Each run takes 32 s of the same traffic (15 requests a second of 400 models, one of 200 controllers) with 200 invokers
times each factor, of which a third is replaced in steps. CPU time is that of `handle` alone; state is the memory of all
objects that the module holds.
"""

from __future__ import annotations

import argparse
import statistics
import sys
import time
from dataclasses import dataclass
from typing import Any

from decisions import deployment

from sprucespool.emulator.solo import Solo, SoloPlan, Troubled
from sprucespool.policy import Controller

BASE_COUNT, DURATION_MS, REPLACEMENT_STEPS = 200, 32_000.0, 40


@dataclass(frozen=True, slots=True)
class Need:
    """The resources that one run used."""

    invokers: int
    cpu: float
    state_mb: float
    forwards: int
    invokers_met: int
    returned: float


class Metered:
    """Wraps a controller and measures its CPU time."""

    def __init__(self, deployment: Any, seed: int):
        self.module, self.cpu = Controller(deployment, seed), 0.0

    def handle(self, now: float, events: list) -> list:
        started_at = time.process_time()
        actions = self.module.handle(now, events)
        self.cpu += time.process_time() - started_at
        return actions


def size_of(root: Any) -> int:
    """Bytes of all objects reachable through this program's classes and plain containers."""
    seen: set[int] = set()
    total, pending = 0, [root]
    while pending:
        item = pending.pop()
        if id(item) in seen:
            continue
        seen.add(id(item))
        total += sys.getsizeof(item)
        if isinstance(item, dict):
            pending += [*item.keys(), *item.values()]
        elif isinstance(item, list | tuple | set):
            pending += item
        elif type(item).__module__.startswith("sprucespool"):
            pending += [getattr(item, name) for name in getattr(item, "__slots__", ()) if hasattr(item, name)]
            pending += [item.__dict__] if hasattr(item, "__dict__") else []
    return total


def play(invokers: int, seed: int) -> Need:
    replaced = invokers // 3
    steps = [
        range(step * replaced // REPLACEMENT_STEPS, (step + 1) * replaced // REPLACEMENT_STEPS)
        for step in range(REPLACEMENT_STEPS)
    ]
    troubles = [
        Troubled(2_000.0 + 700.0 * number, "replace", list(step), 1_500.0) for number, step in enumerate(steps) if step
    ]
    plan = SoloPlan(invokers=invokers, models=400, rate=15.0, lasts=DURATION_MS, kinds=2, seed=seed, troubles=troubles)
    controllers: list[Metered] = []

    def decider(facts: Any, seed: int) -> Metered:
        controllers.append(Metered(facts, seed))
        return controllers[0]

    solo = Solo(deployment(controllers=200, handshake_price=0.08), plan, decider)
    solo.run()
    counts = solo.gateway.counts
    met = sum(not worker.new for worker in controllers[0].module.workers)
    share = counts.returned / max(1, counts.taken)
    return Need(invokers, controllers[0].cpu, size_of(controllers[0].module) / 1e6, counts.forwards, met, share)


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--runs", type=int, default=3)
    parser.add_argument("--times", default="1,4,16")
    args = parser.parse_args()
    print("| invokers | CPU s (median, least, most) | state MB | forwards | invokers met | returned |")
    print("| --- | --- | --- | --- | --- | --- |")
    for factor in map(int, args.times.split(",")):
        needs = [play(BASE_COUNT * factor, seed) for seed in range(args.runs)]
        cpu = sorted(need.cpu for need in needs)
        medians = [
            statistics.median(values)
            for values in zip(*((n.state_mb, n.forwards, n.invokers_met, n.returned) for n in needs), strict=True)
        ]
        print(
            f"| {BASE_COUNT * factor} | {statistics.median(cpu):.2f} ({cpu[0]:.2f}, {cpu[-1]:.2f}) | {medians[0]:.1f} "
            f"| {medians[1]:.0f} | {medians[2]:.0f} | {medians[3]:.3f} |"
        )


if __name__ == "__main__":
    main()
