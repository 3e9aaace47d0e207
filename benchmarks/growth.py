"""What one controller's decisions need as the fleet grows and its own traffic stays the same, in virtual time.

    python benchmarks/growth.py [--runs 3] [--times 1,4,16]

Each run plays 32 s of the same traffic (15 requests a second of 400 models, one of 200 controllers) at 200 invokers
times each factor, a third of them replaced in steps. CPU is that of `handle` alone; the state is all that the decisions
hold.
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

USUAL, LASTS, STEPS = 200, 32_000.0, 40


@dataclass(frozen=True, slots=True)
class Need:
    """What one run needed."""

    invokers: int
    cpu: float
    state_mb: float
    forwards: int
    invokers_met: int
    returned: float


class Metered:
    """A controller with the CPU time that it took."""

    def __init__(self, deployment: Any, seed: int):
        self.module, self.cpu = Controller(deployment, seed), 0.0

    def handle(self, now: float, events: list) -> list:
        began = time.process_time()
        actions = self.module.handle(now, events)
        self.cpu += time.process_time() - began
        return actions


def size_of(root: Any) -> int:
    """Bytes of all that hangs on the object, of this program's own classes and plain containers."""
    seen: set[int] = set()
    total, left = 0, [root]
    while left:
        one = left.pop()
        if id(one) in seen:
            continue
        seen.add(id(one))
        total += sys.getsizeof(one)
        if isinstance(one, dict):
            left += [*one.keys(), *one.values()]
        elif isinstance(one, list | tuple | set):
            left += one
        elif type(one).__module__.startswith("sprucespool"):
            left += [getattr(one, name) for name in getattr(one, "__slots__", ()) if hasattr(one, name)]
            left += [one.__dict__] if hasattr(one, "__dict__") else []
    return total


def play(invokers: int, seed: int) -> Need:
    replaced = invokers // 3
    steps = [range(step * replaced // STEPS, (step + 1) * replaced // STEPS) for step in range(STEPS)]
    troubles = [
        Troubled(2_000.0 + 700.0 * number, "replace", list(step), 1_500.0) for number, step in enumerate(steps) if step
    ]
    plan = SoloPlan(invokers=invokers, models=400, rate=15.0, lasts=LASTS, kinds=2, seed=seed, troubles=troubles)
    made: list[Metered] = []

    def decider(told: Any, seed: int) -> Metered:
        made.append(Metered(told, seed))
        return made[0]

    solo = Solo(deployment(controllers=200, handshake_price=0.08), plan, decider)
    solo.run()
    counts = solo.gateway.counts
    met = sum(not worker.new for worker in made[0].module.workers)
    share = counts.returned / max(1, counts.taken)
    return Need(invokers, made[0].cpu, size_of(made[0].module) / 1e6, counts.forwards, met, share)


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--runs", type=int, default=3)
    parser.add_argument("--times", default="1,4,16")
    told = parser.parse_args()
    print("| invokers | CPU s (median, least, most) | state MB | forwards | invokers met | returned |")
    print("| --- | --- | --- | --- | --- | --- |")
    for factor in map(int, told.times.split(",")):
        needs = [play(USUAL * factor, seed) for seed in range(told.runs)]
        cpu = sorted(need.cpu for need in needs)
        middle = [
            statistics.median(values)
            for values in zip(*((n.state_mb, n.forwards, n.invokers_met, n.returned) for n in needs), strict=True)
        ]
        print(
            f"| {USUAL * factor} | {statistics.median(cpu):.2f} ({cpu[0]:.2f}, {cpu[-1]:.2f}) | {middle[0]:.1f} "
            f"| {middle[1]:.0f} | {middle[2]:.0f} | {middle[3]:.3f} |"
        )


if __name__ == "__main__":
    main()
