"""The group of controllers in virtual time: finding, deaths, loss, a deaf member, partitions, cost.

    python benchmarks/membership.py [--sizes 12,60,300,1000] [--seeds 3] [--against FOLDER]
    python benchmarks/membership.py --model            # states explored, depth and time
    python benchmarks/membership.py --sockets 16 --seeds 20   # 16 real processes, seconds from heal to equal views

FOLDER holds an earlier form (`membership_old/` and `group_old.py`, its package and its virtual group): it is measured
in the same run. Each line is one JSON object; times in s.
"""

from __future__ import annotations

import argparse
import asyncio
import importlib
import json
import sys
import tempfile
import time
from collections import Counter
from pathlib import Path

from sprucespool.emulator.explore import explore
from sprucespool.emulator.group import Virtual
from sprucespool.emulator.models import GroupWorld, SharesWorld, of_kind
from sprucespool.faults import LinkState


def seconds(ms: float | None) -> float | None:
    return None if ms is None else round(ms / 1000, 1)


def quantile(figures: list[float], part: float) -> float | None:
    return round(sorted(figures)[min(len(figures) - 1, int(part * len(figures)))], 2) if figures else None


def sides_of(names: list[str]) -> list[set[str]]:
    return [set(names[n::3]) for n in range(3)]


def measure(size: int, seed: int, lossy: float) -> dict:
    virtual = Virtual(size, seed=seed)
    found = virtual.run(60_000, virtual.alike)
    virtual.run(20_000)
    said, begun, at = virtual.said, time.process_time(), virtual.now
    virtual.run(20_000)
    span = (virtual.now - at) / 1000
    steady = (virtual.said - said) / size / span
    cpu = (time.process_time() - begun) / size / span
    weighing = Virtual(size, seed=seed, settled=True)
    weighing.load = lambda one: tuple(weighing.chance.uniform(1, 100) for _ in range(6))
    weighing.run(60_000)
    held = [sum(bool(found.row.figures) for found in one.table.present.values()) for one in weighing.members.values()]
    told: list[float] = []
    gone, at = f"c{size - 1}", virtual.now
    virtual.watch = lambda member, event: told.append(virtual.now - at) if event.kind == "died" else None
    virtual.kill(gone)
    virtual.run(90_000, lambda: virtual.all_hold_gone(gone))
    virtual.watch = lambda member, event: None
    sides = sides_of(sorted(virtual.members))
    virtual.links.partition("partition", sides)
    apart = virtual.run(120_000, lambda: all(virtual.alike(side) for side in sides), 500)
    virtual.links.heal("partition")
    whole = virtual.run(240_000, virtual.alike)
    quiet = Virtual(size, seed=seed, loss=0.05, settled=True)
    kinds: Counter[str] = Counter()
    quiet.watch = lambda member, event: kinds.update([event.kind])
    quiet.run(lossy)
    deaf = Virtual(size, seed=seed, settled=True)
    deaf.run(3_000)
    turns: Counter[tuple[str, str]] = Counter()
    deaf.watch = lambda member, event: turns.update(
        [(event.row.name if event.row else "", event.kind)] if member.name != "c5" else []
    )
    deaf.links.put("cut", None, {"c5"}, LinkState(cut="silent"), both=False)
    deaf.run(120_000)
    changes = sum(count for (name, kind), count in turns.items()) / (size - 1)
    return {
        "form": "new",
        "members": size,
        "seed": seed,
        "all_found": seconds(found),
        "death_known_p50": seconds(quantile(told, 0.5)),
        "death_known_p99": seconds(quantile(told, 0.99)),
        "sides_settled": seconds(apart),
        "whole_again": seconds(whole),
        "falsely_dead_at_5%": kinds["died"],
        "loss_for": seconds(lossy),
        "changes_of_a_deaf_member": round(changes, 2),
        "messages_a_second": round(steady, 2),
        "bytes_a_message": round(virtual.bytes / max(1, virtual.weighed)),
        "cpu_of_a_core_%": round(100 * cpu, 3),
        "with_figures": {
            "bytes_a_message": round(weighing.bytes / max(1, weighing.weighed)),
            "messages_a_second": round(weighing.said / size / 60, 2),
            "held_of_others_at_least": min(held),
            "members": size - 1,
        },
    }


def earlier(size: int, seed: int, lossy: float, folder: str) -> dict:
    sys.path.insert(0, folder)
    old = importlib.import_module("group_old")
    state = importlib.import_module("membership_old").State
    group = old.Group(size, seed=seed)
    found = group.run(120_000, group.all_know_all)
    group.run(20_000)
    said, begun, at = group.said, time.process_time(), group.now
    group.run(20_000)
    span = (group.now - at) / 1000
    steady, cpu = (group.said - said) / size / span, (time.process_time() - begun) / size / span
    gone = f"c{size - 1}"
    group.down.add(gone)
    noticed = group.run(180_000, lambda: group.all_think(gone, state.DEAD))
    names = sorted(one.me for one in group.up())
    sides = sides_of(names)
    group.side = {name: n for n, side in enumerate(sides) for name in side}
    apart = group.run(
        120_000, lambda: all(set(one.alive()) == sides[group.side[one.me]] - {one.me} for one in group.up())
    )
    group.side = {}
    whole = group.run(300_000, group.all_know_all)
    quiet = old.Group(size, seed=seed, loss=0.05)
    quiet.run(30_000, quiet.all_know_all)
    before = sum(one.tally.died for one in quiet.members.values())
    quiet.run(lossy)
    died = sum(one.tally.died for one in quiet.members.values()) - before
    return {
        "form": "earlier",
        "members": size,
        "seed": seed,
        "all_found": seconds(found),
        "death_known_to_all": seconds(noticed),
        "sides_settled": seconds(apart),
        "whole_again": seconds(whole),
        "falsely_dead_at_5%": died,
        "loss_for": seconds(lossy),
        "messages_a_second": round(steady, 2),
        "cpu_of_a_core_%": round(100 * cpu, 3),
    }


def model() -> None:
    for name, make, depth in (
        ("rules of merging and refuting, 3 members", of_kind(GroupWorld), 5),
        ("the same, 4 members", of_kind(GroupWorld, members=4), 4),
        ("shared parts, 2 numbers", of_kind(SharesWorld, of=2), 9),
        ("shared parts, 3 numbers", of_kind(SharesWorld, of=3), 6),
    ):
        begun = time.process_time()
        found = explore(make, depth)
        print(
            json.dumps(
                {
                    "model": name,
                    "depth": found.depth,
                    "states": found.states,
                    "whole": found.whole,
                    "wrong": found.wrong,
                    "cpu": round(time.process_time() - begun, 1),
                }
            ),
            flush=True,
        )


async def _sockets(count: int, seed: int) -> dict:
    from sprucespool.judge.group import Bounds
    from sprucespool.standin.rig import Rig

    with tempfile.TemporaryDirectory() as folder:
        async with Rig(Path(folder), seed, period=1_000.0) as rig:
            names = await rig.start_all(count, regions=1, zones=3)
            found = await rig.until(rig.alike)
            sides = [names[n::3] for n in range(3)]
            rig.partition(sides)
            apart = await rig.until(lambda: all(rig.alike(side) for side in sides), 120)
            rig.heal()
            await asyncio.sleep(12)
            verdict = rig.verdict(Bounds())
            return {
                "seed": seed,
                "all_found": found,
                "sides_settled": apart,
                "settled_after_heal": verdict.settled,
                "broken": [one.what for one in verdict.broken],
            }


def sockets(count: int, seeds: int) -> None:
    rows = []
    for seed in range(1, seeds + 1):
        rows.append(asyncio.run(_sockets(count, seed)))
        print(json.dumps(rows[-1]), flush=True)
    settled = [row["settled_after_heal"] / 1000 for row in rows if row["settled_after_heal"] is not None]
    print(
        json.dumps(
            {
                "processes": count,
                "seeds": seeds,
                "settled": len(settled),
                "p50": quantile(settled, 0.5),
                "p95": quantile(settled, 0.95),
                "broken": sum(bool(row["broken"]) for row in rows),
            }
        )
    )


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--sizes", default="12,60,300,1000")
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument("--lossy", type=float, default=600.0, help="seconds at 5%% loss")
    parser.add_argument("--against")
    parser.add_argument("--model", action="store_true")
    parser.add_argument("--sockets", type=int)
    told = parser.parse_args()
    if told.model:
        return model()
    if told.sockets:
        return sockets(told.sockets, told.seeds)
    for size in map(int, told.sizes.split(",")):
        for seed in range(1, told.seeds + 1):
            print(json.dumps(measure(size, seed, 1000 * told.lossy)), flush=True)
            if told.against:
                print(json.dumps(earlier(size, seed, 1000 * told.lossy, told.against)), flush=True)


if __name__ == "__main__":
    main()
