"""What each way of deciding where traffic goes makes of the same troubles, in virtual time, over seeds.

    python benchmarks/failover.py [--seeds 10] [--size 24] [--boxes 36] [--cases quiet,...] [--deciders today,...]

Simulated invokers, links and clients: the figures compare, they promise nothing. One line a run as JSON with --json.
"""

from __future__ import annotations

import argparse
import json
import sys
import time
from concurrent.futures import ProcessPoolExecutor
from dataclasses import asdict
from pathlib import Path
from statistics import mean, stdev

sys.path.insert(0, str(Path(__file__).parent.parent))

from sprucespool.emulator.plans import CASES, DECIDERS, play


def one(job):
    case, decider, seed, size, boxes = job
    begun = time.process_time()
    came = play(case, decider, seed, size, boxes)
    return case, {**asdict(came), "cpu_s": round(time.process_time() - begun, 1)}


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--seeds", type=int, default=10)
    parser.add_argument("--size", type=int, default=24)
    parser.add_argument("--boxes", type=int, default=36)
    parser.add_argument("--cases", default=",".join(CASES))
    parser.add_argument("--deciders", default=",".join(DECIDERS))
    parser.add_argument("--workers", type=int, default=4)
    parser.add_argument("--json", action="store_true")
    told = parser.parse_args()
    jobs = [
        (case, decider, seed, told.size, told.boxes)
        for case in told.cases.split(",")
        for decider in told.deciders.split(",")
        for seed in range(1, told.seeds + 1)
    ]
    found: dict[tuple[str, str], list[dict]] = {}
    with ProcessPoolExecutor(told.workers) as pool:
        for case, came in pool.map(one, jobs):
            found.setdefault((case, came["decider"]), []).append(came)
            if told.json:
                print(json.dumps({"case": case, **came}), flush=True)
    print(
        f"{told.size} controllers, {told.boxes} invokers, {told.seeds} seeds; service mean (deviation), worst 10 s, "
        "shed, crossings, plans, ms until one plan is followed (last fault on) and near traffic back, at the most"
    )
    for (case, decider), runs in found.items():

        def of(name, runs=runs):
            return [run[name] for run in runs]

        spread = stdev(of("service")) if len(runs) > 1 else 0.0
        settled, back = ([value for value in of(name) if value is not None] for name in ("settled", "near"))
        print(
            f"| {case} | {decider} | {mean(of('service')):.4f} ({spread:.4f}) | {mean(of('worst_10s')):.3f} | "
            f"{mean(of('shed')):.3f} | {mean(of('crossed')):.3f} | {mean(of('plans')):.0f} | "
            f"{max(settled, default=-1):.0f} ({len(settled)}) | {max(back, default=-1):.0f} ({len(back)}) | "
            f"{sum(bool(run['broken']) for run in runs)} broken | {mean(of('cpu_s')):.0f} s |",
            flush=True,
        )
        for line in sorted({line for run in runs for line in run["broken"]})[:4]:
            print("   ", line)


if __name__ == "__main__":
    main()
