"""Compares the deciders of zone failover on the same troubles over several seeds, in virtual time.

    python benchmarks/failover.py [--seeds 10] [--size 24] [--boxes 36] [--cases quiet,...] [--deciders today,...]

Invokers, links and clients are simulated: the numbers are for comparison only. `--json` prints one JSON line per run.
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


def run_job(job):
    case, decider, seed, size, boxes = job
    started_at = time.process_time()
    result = play(case, decider, seed, size, boxes)
    return case, {**asdict(result), "cpu_s": round(time.process_time() - started_at, 1)}


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--seeds", type=int, default=10)
    parser.add_argument("--size", type=int, default=24)
    parser.add_argument("--boxes", type=int, default=36)
    parser.add_argument("--cases", default=",".join(CASES))
    parser.add_argument("--deciders", default=",".join(DECIDERS))
    parser.add_argument("--workers", type=int, default=4)
    parser.add_argument("--json", action="store_true")
    args = parser.parse_args()
    jobs = [
        (case, decider, seed, args.size, args.boxes)
        for case in args.cases.split(",")
        for decider in args.deciders.split(",")
        for seed in range(1, args.seeds + 1)
    ]
    runs_by_case: dict[tuple[str, str], list[dict]] = {}
    with ProcessPoolExecutor(args.workers) as pool:
        for case, result in pool.map(run_job, jobs):
            runs_by_case.setdefault((case, result["decider"]), []).append(result)
            if args.json:
                print(json.dumps({"case": case, **result}), flush=True)
    print(
        f"{args.size} controllers, {args.boxes} invokers, {args.seeds} seeds; service mean (deviation), worst 10 s, "
        "shed, crossings, plans, ms until one plan is followed (last fault on) and near traffic back, at the most"
    )
    for (case, decider), runs in runs_by_case.items():

        def column(name, runs=runs):
            return [run[name] for run in runs]

        spread = stdev(column("service")) if len(runs) > 1 else 0.0
        settled, back = ([value for value in column(name) if value is not None] for name in ("settled", "near"))
        print(
            f"| {case} | {decider} | {mean(column('service')):.4f} ({spread:.4f}) | {mean(column('worst_10s')):.3f} | "
            f"{mean(column('shed')):.3f} | {mean(column('crossed')):.3f} | {mean(column('plans')):.0f} | "
            f"{max(settled, default=-1):.0f} ({len(settled)}) | {max(back, default=-1):.0f} ({len(back)}) | "
            f"{sum(bool(run['broken']) for run in runs)} broken | {mean(column('cpu_s')):.0f} s |",
            flush=True,
        )
        for line in sorted({line for run in runs for line in run["broken"]})[:4]:
            print("   ", line)


if __name__ == "__main__":
    main()
