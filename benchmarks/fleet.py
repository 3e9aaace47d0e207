"""The shared view of the fleet: hard cases with and without it, its cost, and its index compared with a plain dict.

    python benchmarks/fleet.py --cases all --controllers 300 --invokers 120 [--seeds 1] [--jobs 3]
    python benchmarks/fleet.py --cost 12,60,300         # steady bytes and CPU per controller and second, virtual time
    python benchmarks/fleet.py --index                  # judging and sweeping: the view compared with a scan of a dict
    python benchmarks/fleet.py --day days/quiet.kdl --seeds 3 --jobs 2   # over sockets, with and without the view

Each line is one JSON object.
"""

from __future__ import annotations

import argparse
import json
import random
import subprocess
import sys
import tempfile
import time
from concurrent.futures import ProcessPoolExecutor, ThreadPoolExecutor
from pathlib import Path

from sprucespool.emulator.cases import CASES, play
from sprucespool.emulator.fleet import FleetWorld
from sprucespool.fleet import IncrementalAssessment, Listing, Opinion, OpinionLimits, Record, View, assess


def _case(job: tuple[str, int, int, int, bool]) -> dict:
    case, size, boxes, seed, share = job
    started_at = time.process_time()
    result = play(case, size, boxes, seed, share, rate=1.0, observe_interval=2_000.0).as_dict()
    return {**result, "cpu": round(time.process_time() - started_at, 1)}


def cases(names: list[str], size: int, boxes: int, seeds: int, jobs: int) -> None:
    runs = [
        (case, size, boxes, seed, share) for case in names for seed in range(1, seeds + 1) for share in (False, True)
    ]
    with ProcessPoolExecutor(jobs) as pool:
        for result in pool.map(_case, runs):
            print(json.dumps(result), flush=True)


def cost(sizes: list[int], boxes: int) -> None:
    """Steady state, and a time of many joins. The CPU time of the same world without notes is subtracted."""
    for size in sizes:
        spent = {}
        for share in (False, True):
            world = FleetWorld(size, boxes, share=share, rate=1.0)
            world.run(15_000)
            bytes_before, started_at = world.figures.note_bytes, time.process_time()
            world.run(20_000)
            spent[share] = time.process_time() - started_at, world.figures.note_bytes - bytes_before
        joining = FleetWorld(size, boxes, rate=1.0)
        joining.run(15_000)
        bytes_before = joining.figures.note_bytes
        CASES["replaced"](joining)
        print(
            json.dumps(
                {
                    "controllers": size,
                    "invokers": boxes,
                    "bytes_a_second": round(spent[True][1] / size / 20),
                    "cpu_of_a_core_%": round(100 * (spent[True][0] - spent[False][0]) / size / 20, 3),
                    "bytes_a_second_while_60%_are_replaced": round(
                        (joining.figures.note_bytes - bytes_before) / size / 14
                    ),
                }
            ),
            flush=True,
        )


def index() -> None:
    """300 observers, of which some suspect one in twenty invokers; 100 checks and sweeps."""
    for boxes in (10, 100, 1_000):
        chance, limits, view = random.Random(boxes), OpinionLimits(), View()
        for n in range(boxes):
            view.join(0.0, Record((f"w{n}", "1"), listings={("c", 1): Listing(1, "r", zone=f"z{n % 3}")}))
        for n in range(max(1, boxes // 20)):
            for observer in chance.sample(range(300), 8):
                view.join(0.0, Record((f"w{n}", "1"), opinions={(f"c{observer}", 1): Opinion(1, "silent", "z0", 0.0)}))
        plain = list(view.records.values())
        started_at = time.process_time()
        for _ in range(100):
            assess(1.0, plain, "z0", set(), limits)
            for record in plain:
                any(1.0 - opinion.at > 15_000.0 for opinion in record.opinions.values())
        scan_s = time.process_time() - started_at
        assessment = IncrementalAssessment(limits)
        assessment.update(1.0, view, "z0", lambda process: False, None)
        started_at = time.process_time()
        for n in range(100):
            assessment.update(1.0, view, "z0", lambda process: False, [(f"w{n % max(1, boxes // 20)}", "1")])
            view.sweep(1.0)
        indexed_s = time.process_time() - started_at
        print(
            json.dumps({"invokers": boxes, "dict_us": round(1e4 * scan_s, 1), "view_us": round(1e4 * indexed_s, 1)}),
            flush=True,
        )


def _day(job: tuple[Path, int, bool]) -> dict:
    path, seed, view = job
    with tempfile.TemporaryDirectory() as folder:
        lines = [line for line in path.read_text().splitlines() if not line.startswith("group ")]
        lines.append(f'group period="500ms" view={"true" if view else "false"}')
        copy = Path(folder) / path.name
        copy.write_text("\n".join(lines) + "\n")
        process = subprocess.run(
            [sys.executable, "-m", "sprucespool.cli.main", "day", str(copy), "--seed", str(seed), "--json"],
            capture_output=True,
            text=True,
        )
        result = json.loads(process.stdout.splitlines()[-1])
    return {
        "day": result["day"],
        "seed": seed,
        "view": view,
        "service": round(result["service"], 4),
        "worst_10s": round(result["worst_10s"], 4),
        "loads": result["loads"],
        "rules_broken": result["rules_broken"],
        "timed_out": sum(controller["timed_out"] for controller in result["controllers"]),
        "fleet": result["fleet"],
    }


def days(path: Path, seeds: int, jobs: int) -> None:
    with ThreadPoolExecutor(jobs) as pool:
        for result in pool.map(_day, [(path, seed, view) for seed in range(1, seeds + 1) for view in (False, True)]):
            print(json.dumps(result), flush=True)


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--cases")
    parser.add_argument("--controllers", type=int, default=300)
    parser.add_argument("--invokers", type=int, default=120)
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument("--jobs", type=int, default=3)
    parser.add_argument("--cost")
    parser.add_argument("--index", action="store_true")
    parser.add_argument("--day", type=Path)
    args = parser.parse_args()
    if args.index:
        index()
    if args.cost:
        cost([int(size) for size in args.cost.split(",")], args.invokers)
    if args.day:
        days(args.day, args.seeds, args.jobs)
    if args.cases:
        cases(
            list(CASES) if args.cases == "all" else args.cases.split(","),
            args.controllers,
            args.invokers,
            args.seeds,
            args.jobs,
        )


if __name__ == "__main__":
    main()
