"""The fleet's view in common: hard cases with and without it, its cost, its index against a plain dict.

    python benchmarks/fleet.py --cases all --controllers 300 --invokers 120 [--seeds 1] [--jobs 3]
    python benchmarks/fleet.py --cost 12,60,300         # steady bytes and CPU a controller a second, virtual time
    python benchmarks/fleet.py --index                  # judged and swept: the view against going through a dict
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
from sprucespool.fleet import Listing, Opinion, OpinionLimits, Record, View, Weighing, judged


def _case(told: tuple[str, int, int, int, bool]) -> dict:
    case, size, boxes, seed, share = told
    begun = time.process_time()
    found = play(case, size, boxes, seed, share, rate=1.0, observe_interval=2_000.0).as_dict()
    return {**found, "cpu": round(time.process_time() - begun, 1)}


def cases(names: list[str], size: int, boxes: int, seeds: int, jobs: int) -> None:
    runs = [
        (case, size, boxes, seed, share) for case in names for seed in range(1, seeds + 1) for share in (False, True)
    ]
    with ProcessPoolExecutor(jobs) as pool:
        for found in pool.map(_case, runs):
            print(json.dumps(found), flush=True)


def cost(sizes: list[int], boxes: int) -> None:
    """Steady state and a join day; what the same world costs without notes is taken off."""
    for size in sizes:
        spent = {}
        for share in (False, True):
            world = FleetWorld(size, boxes, share=share, rate=1.0)
            world.run(15_000)
            said, begun = world.figures.note_bytes, time.process_time()
            world.run(20_000)
            spent[share] = time.process_time() - begun, world.figures.note_bytes - said
        busy = FleetWorld(size, boxes, rate=1.0)
        busy.run(15_000)
        said = busy.figures.note_bytes
        CASES["replaced"](busy)
        print(
            json.dumps(
                {
                    "controllers": size,
                    "invokers": boxes,
                    "bytes_a_second": round(spent[True][1] / size / 20),
                    "cpu_of_a_core_%": round(100 * (spent[True][0] - spent[False][0]) / size / 20, 3),
                    "bytes_a_second_while_60%_are_replaced": round((busy.figures.note_bytes - said) / size / 14),
                }
            ),
            flush=True,
        )


def index() -> None:
    """300 observers; one in twenty invokers doubted by some; 100 looks and sweeps."""
    for boxes in (10, 100, 1_000):
        chance, limits, view = random.Random(boxes), OpinionLimits(), View()
        for n in range(boxes):
            view.join(0.0, Record((f"w{n}", "1"), listings={("c", 1): Listing(1, "r", zone=f"z{n % 3}")}))
        for n in range(max(1, boxes // 20)):
            for who in chance.sample(range(300), 8):
                view.join(0.0, Record((f"w{n}", "1"), opinions={(f"c{who}", 1): Opinion(1, "silent", "z0", 0.0)}))
        plain = list(view.records.values())
        begun = time.process_time()
        for _ in range(100):
            judged(1.0, plain, "z0", set(), limits)
            for record in plain:
                any(1.0 - one.at > 15_000.0 for one in record.opinions.values())
        through = time.process_time() - begun
        weighing = Weighing(limits)
        weighing.look(1.0, view, "z0", lambda process: False, None)
        begun = time.process_time()
        for n in range(100):
            weighing.look(1.0, view, "z0", lambda process: False, [(f"w{n % max(1, boxes // 20)}", "1")])
            view.sweep(1.0)
        indexed = time.process_time() - begun
        print(
            json.dumps({"invokers": boxes, "dict_us": round(1e4 * through, 1), "view_us": round(1e4 * indexed, 1)}),
            flush=True,
        )


def _day(told: tuple[Path, int, bool]) -> dict:
    path, seed, view = told
    with tempfile.TemporaryDirectory() as folder:
        lines = [line for line in path.read_text().splitlines() if not line.startswith("group ")]
        lines.append(f'group period="500ms" view={"true" if view else "false"}')
        copy = Path(folder) / path.name
        copy.write_text("\n".join(lines) + "\n")
        done = subprocess.run(
            [sys.executable, "-m", "sprucespool.cli.main", "day", str(copy), "--seed", str(seed), "--json"],
            capture_output=True,
            text=True,
        )
        found = json.loads(done.stdout.splitlines()[-1])
    return {
        "day": found["day"],
        "seed": seed,
        "view": view,
        "service": round(found["service"], 4),
        "worst_10s": round(found["worst_10s"], 4),
        "loads": found["loads"],
        "rules_broken": found["rules_broken"],
        "timed_out": sum(one["timed_out"] for one in found["controllers"]),
        "fleet": found["fleet"],
    }


def days(path: Path, seeds: int, jobs: int) -> None:
    with ThreadPoolExecutor(jobs) as pool:
        for found in pool.map(_day, [(path, seed, view) for seed in range(1, seeds + 1) for view in (False, True)]):
            print(json.dumps(found), flush=True)


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
    told = parser.parse_args()
    if told.index:
        index()
    if told.cost:
        cost([int(size) for size in told.cost.split(",")], told.invokers)
    if told.day:
        days(told.day, told.seeds, told.jobs)
    if told.cases:
        cases(
            list(CASES) if told.cases == "all" else told.cases.split(","),
            told.controllers,
            told.invokers,
            told.seeds,
            told.jobs,
        )


if __name__ == "__main__":
    main()
