"""The group of controllers in virtual time: discovery, deaths, loss, a member that receives nothing, partitions, cost.

    python benchmarks/membership.py [--sizes 12,60,300,1000] [--seeds 3] [--against FOLDER]
    python benchmarks/membership.py --model            # states explored, depth and time
    python benchmarks/membership.py --sockets 16 --seeds 20   # 16 real processes, seconds from heal to equal views

FOLDER holds an earlier version (`membership_old/` and `group_old.py`, its package and its virtual group), which is
measured in the same run. Each line is one JSON object; times are in seconds.
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
from sprucespool.emulator.group import VirtualGroup
from sprucespool.emulator.models import GroupWorld, SharesWorld, world_factory
from sprucespool.faults import LinkState


def seconds(ms: float | None) -> float | None:
    return None if ms is None else round(ms / 1000, 1)


def quantile(values: list[float], fraction: float) -> float | None:
    return round(sorted(values)[min(len(values) - 1, int(fraction * len(values)))], 2) if values else None


def sides_of(names: list[str]) -> list[set[str]]:
    return [set(names[n::3]) for n in range(3)]


def measure(size: int, seed: int, lossy: float) -> dict:
    virtual = VirtualGroup(size, seed=seed)
    found_after = virtual.run(60_000, virtual.alike)
    virtual.run(20_000)
    sent_before, started_at, at = virtual.said, time.process_time(), virtual.now
    virtual.run(20_000)
    duration_s = (virtual.now - at) / 1000
    steady = (virtual.said - sent_before) / size / duration_s
    cpu = (time.process_time() - started_at) / size / duration_s
    with_metrics = VirtualGroup(size, seed=seed, settled=True)
    with_metrics.load = lambda member: tuple(with_metrics.chance.uniform(1, 100) for _ in range(6))
    with_metrics.run(60_000)
    metrics_held = [
        sum(bool(entry.row.figures) for entry in member.table.present.values())
        for member in with_metrics.members.values()
    ]
    death_delays: list[float] = []
    dead_name, at = f"c{size - 1}", virtual.now
    virtual.watch = lambda member, event: death_delays.append(virtual.now - at) if event.kind == "died" else None
    virtual.kill(dead_name)
    virtual.run(90_000, lambda: virtual.all_hold_gone(dead_name))
    virtual.watch = lambda member, event: None
    sides = sides_of(sorted(virtual.members))
    virtual.links.partition("partition", sides)
    split_after = virtual.run(120_000, lambda: all(virtual.alike(side) for side in sides), 500)
    virtual.links.heal("partition")
    merged_after = virtual.run(240_000, virtual.alike)
    lossy_group = VirtualGroup(size, seed=seed, loss=0.05, settled=True)
    kinds: Counter[str] = Counter()
    lossy_group.watch = lambda member, event: kinds.update([event.kind])
    lossy_group.run(lossy)
    deaf = VirtualGroup(size, seed=seed, settled=True)
    deaf.run(3_000)
    change_counts: Counter[tuple[str, str]] = Counter()
    deaf.watch = lambda member, event: change_counts.update(
        [(event.row.name if event.row else "", event.kind)] if member.name != "c5" else []
    )
    deaf.links.put("cut", None, {"c5"}, LinkState(cut="silent"), both=False)
    deaf.run(120_000)
    changes = sum(count for (name, kind), count in change_counts.items()) / (size - 1)
    return {
        "form": "new",
        "members": size,
        "seed": seed,
        "all_found": seconds(found_after),
        "death_known_p50": seconds(quantile(death_delays, 0.5)),
        "death_known_p99": seconds(quantile(death_delays, 0.99)),
        "sides_settled": seconds(split_after),
        "whole_again": seconds(merged_after),
        "falsely_dead_at_5%": kinds["died"],
        "loss_for": seconds(lossy),
        "changes_of_a_deaf_member": round(changes, 2),
        "messages_a_second": round(steady, 2),
        "bytes_a_message": round(virtual.bytes / max(1, virtual.weighed)),
        "cpu_of_a_core_%": round(100 * cpu, 3),
        "with_figures": {
            "bytes_a_message": round(with_metrics.bytes / max(1, with_metrics.weighed)),
            "messages_a_second": round(with_metrics.said / size / 60, 2),
            "held_of_others_at_least": min(metrics_held),
            "members": size - 1,
        },
    }


def measure_earlier(size: int, seed: int, lossy: float, folder: str) -> dict:
    sys.path.insert(0, folder)
    old = importlib.import_module("group_old")
    state = importlib.import_module("membership_old").State
    group = old.Group(size, seed=seed)
    found_after = group.run(120_000, group.all_know_all)
    group.run(20_000)
    sent_before, started_at, at = group.said, time.process_time(), group.now
    group.run(20_000)
    duration_s = (group.now - at) / 1000
    steady, cpu = (group.said - sent_before) / size / duration_s, (time.process_time() - started_at) / size / duration_s
    dead_name = f"c{size - 1}"
    group.down.add(dead_name)
    death_known_after = group.run(180_000, lambda: group.all_think(dead_name, state.DEAD))
    names = sorted(member.me for member in group.up())
    sides = sides_of(names)
    group.side = {name: n for n, side in enumerate(sides) for name in side}
    split_after = group.run(
        120_000, lambda: all(set(member.alive()) == sides[group.side[member.me]] - {member.me} for member in group.up())
    )
    group.side = {}
    merged_after = group.run(300_000, group.all_know_all)
    lossy_group = old.Group(size, seed=seed, loss=0.05)
    lossy_group.run(30_000, lossy_group.all_know_all)
    died_before = sum(member.tally.died for member in lossy_group.members.values())
    lossy_group.run(lossy)
    died = sum(member.tally.died for member in lossy_group.members.values()) - died_before
    return {
        "form": "earlier",
        "members": size,
        "seed": seed,
        "all_found": seconds(found_after),
        "death_known_to_all": seconds(death_known_after),
        "sides_settled": seconds(split_after),
        "whole_again": seconds(merged_after),
        "falsely_dead_at_5%": died,
        "loss_for": seconds(lossy),
        "messages_a_second": round(steady, 2),
        "cpu_of_a_core_%": round(100 * cpu, 3),
    }


def model() -> None:
    for name, make_world, depth in (
        ("rules of merging and refuting, 3 members", world_factory(GroupWorld), 5),
        ("the same, 4 members", world_factory(GroupWorld, members=4), 4),
        ("shared parts, 2 numbers", world_factory(SharesWorld, of=2), 9),
        ("shared parts, 3 numbers", world_factory(SharesWorld, of=3), 6),
    ):
        started_at = time.process_time()
        result = explore(make_world, depth)
        print(
            json.dumps(
                {
                    "model": name,
                    "depth": result.depth,
                    "states": result.states,
                    "whole": result.complete,
                    "wrong": result.violation,
                    "cpu": round(time.process_time() - started_at, 1),
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
            found_after = await rig.until(rig.alike)
            sides = [names[n::3] for n in range(3)]
            rig.partition(sides)
            split_after = await rig.until(lambda: all(rig.alike(side) for side in sides), 120)
            rig.heal()
            await asyncio.sleep(12)
            verdict = rig.verdict(Bounds())
            return {
                "seed": seed,
                "all_found": found_after,
                "sides_settled": split_after,
                "settled_after_heal": verdict.settled,
                "broken": [broken.what for broken in verdict.broken],
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
    args = parser.parse_args()
    if args.model:
        return model()
    if args.sockets:
        return sockets(args.sockets, args.seeds)
    for size in map(int, args.sizes.split(",")):
        for seed in range(1, args.seeds + 1):
            print(json.dumps(measure(size, seed, 1000 * args.lossy)), flush=True)
            if args.against:
                print(json.dumps(measure_earlier(size, seed, 1000 * args.lossy, args.against)), flush=True)


if __name__ == "__main__":
    main()
