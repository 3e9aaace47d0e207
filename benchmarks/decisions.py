"""CPU cost of the decision module alone, on generated days in virtual time without sockets.

    python benchmarks/decisions.py [--sizes] [--hard] [--against OLD_POLICY.py] [--json FILE]

`--sizes` runs 3, 30 and 300 invokers with 10 to 10,000 models, `--hard` the hard cases. Times are microseconds of CPU
in `handle`.
"""

from __future__ import annotations

import argparse
import gc
import importlib.util
import json
import sys
import time
from collections import defaultdict
from pathlib import Path

from sprucespool import interface as it
from sprucespool.emulator.solo import Solo, SoloPlan, Troubled
from sprucespool.policy import Controller


def deployment(**overrides) -> it.Deployment:
    group = it.ModelGroup("line", 600.0, 0.0, 2500.0, 1.0, 0.1, it.Effect.RETRIABLE, it.Scope.ALL, 0.0, False)
    facts = dict(
        controllers=1,
        own_number=0,
        own_zone="zone-0",
        groups=[group],
        tenants=[],
        over_share_value=0.1,
        tick=4.0,
        answer_slack=16.0,
        drain_grace=2000.0,
        cold_share=0.25,
        warm_after=10_000.0,
        fall_multiple=3.0,
        fall_window=1500.0,
        roster_asked=False,
        ask_every=10_000.0,
        may_call_off=True,
        may_probe=False,
        may_duplicate=False,
        may_message=False,
        may_order=True,
        tells_retry_after=True,
        longest_retry_after=2000.0,
        most_forwards=3,
        connect_timeout=250.0,
        keep_alive=8000.0,
        loads_on_miss=True,
        order_timeout=10_000.0,
        order_floor=0.0,
        order_share=0.0,
        order_window=0.0,
        tells_found=True,
        tells_same_model=True,
        valued_by_work=False,
        report_fields=[],
        report_meanings={},
        memory_mb={},
        crossing_price=0.0,
        handshake_price=0.0,
    )
    return it.Deployment(**{**facts, **overrides})


class Timed:
    """Wraps a module and measures its CPU time by kind of event; the time of a batch is divided evenly among its
    events. Batches before `since` (ms) are not counted, because a cold fleet loads its first models then."""

    def __init__(self, dep: it.Deployment, seed: int, decider=Controller, since: float = 0.0):
        self.module, self.since = decider(dep, seed), since
        self.spent_us: dict[str, float] = defaultdict(float)
        self.count: dict[str, int] = defaultdict(int)
        self.worst, self.worst_events, self.worst_at = 0.0, 0, 0.0

    def handle(self, now, events):
        started_at = time.process_time_ns()
        actions = self.module.handle(now, events)
        elapsed_us = (time.process_time_ns() - started_at) / 1000.0
        if now < self.since:
            return actions
        for event in events:
            name = type(event).__name__
            if name == "TimerDue":
                name += " pulse" if event.token == 1 else " due"
            self.spent_us[name] += elapsed_us / len(events)
            self.count[name] += 1
        if elapsed_us > self.worst:
            self.worst, self.worst_events, self.worst_at = elapsed_us, len(events), now
        return actions


def other_module(path: str):
    """The `Controller` of another policy file, such as an earlier one taken from the history."""
    spec = importlib.util.spec_from_file_location("other_policy", path)
    assert spec and spec.loader
    module = importlib.util.module_from_spec(spec)
    sys.modules["other_policy"] = module
    spec.loader.exec_module(module)
    return module.Controller


def run(plan: SoloPlan, module=Controller, since: float = 0.0, **overrides) -> dict:
    timed: list[Timed] = []

    def decider(dep, seed):
        timed.append(Timed(dep, seed, module, since))
        return timed[0]

    solo = Solo(deployment(**overrides), plan, decider)
    # The garbage collector is off: it would also traverse the simulated fleet, and its pauses would count as decisions.
    gc.collect()
    gc.disable()
    solo.run()
    gc.enable()
    measured = timed[0]
    accepted = measured.count["Arrived"]
    return {
        "taken": accepted,
        "us_an_inference": round(sum(measured.spent_us.values()) / max(1, accepted), 1),
        "answers": solo.answers,
        "us_an_event": {
            name: round(measured.spent_us[name] / count, 1) for name, count in sorted(measured.count.items())
        },
        "events": dict(sorted(measured.count.items())),
        "worst_batch_ms": round(measured.worst / 1000, 1),
        "worst_batch_events": measured.worst_events,
    }


WARM_UP_MS = 10_000.0


def share(invokers: int, models: int, controllers: int = 1, **overrides) -> tuple[SoloPlan, dict]:
    """The plan of one controller's share of a fleet that runs near its capacity."""
    rate = max(2.0, invokers * 25.0 / controllers)
    seconds = max(WARM_UP_MS / 1000.0 + 5.0, min(120.0, 6000.0 / rate))
    return SoloPlan(invokers=invokers, models=models, rate=rate, lasts=seconds * 1000.0, **overrides), {
        "controllers": controllers
    }


def sizes(against: str | None) -> list[dict]:
    """Steady traffic by size, after the first loads. `before` is the cost of an earlier module in the same run."""
    results = []
    for controllers in (1, 300):
        for invokers in (3, 30, 300):
            for models in (10, 100, 1000, 10_000):
                plan, overrides = share(invokers, models, controllers)
                row = {
                    "controllers": controllers,
                    "invokers": invokers,
                    "models": models,
                    **run(plan, since=WARM_UP_MS, **overrides),
                }
                if against:
                    row["before"] = run(plan, other_module(against), since=WARM_UP_MS, **overrides)["us_an_inference"]
                results.append(row)
                shown = ("controllers", "invokers", "models", "taken", "us_an_inference", "before", "worst_batch_ms")
                print({key: row[key] for key in shown if key in row}, file=sys.stderr, flush=True)
    return results


HARD_CASES = {
    "the day of the issue (one of 262 controllers)": (
        SoloPlan(
            invokers=63,
            models=120,
            rate=12.0,
            lasts=60_000.0,
            zones=3,
            kinds=2,
            troubles=[Troubled(8000.0 + 800.0 * n, "replace", [n], 4000.0) for n in range(50)],
        ),
        {"controllers": 262, "crossing_price": 0.03},
    ),
    "quiet (one of three)": (SoloPlan(invokers=12, models=30, rate=40.0, lasts=60_000.0), {"controllers": 3}),
    "1,000 held when the fleet comes back": (
        SoloPlan(
            invokers=30,
            models=100,
            rate=1200.0,
            lasts=6000.0,
            troubles=[Troubled(1000.0, "hang", list(range(30)), 1500.0)],
        ),
        {},
    ),
    "300 replaced within 30 s": (
        SoloPlan(
            invokers=300,
            models=200,
            rate=300.0,
            lasts=35_000.0,
            troubles=[Troubled(1000.0 + 95.0 * n, "replace", [n], 2000.0) for n in range(300)],
        ),
        {"controllers": 10},
    ),
    "10,000 models each asked for once": (
        SoloPlan(invokers=100, models=10, rate=400.0, lasts=25_000.0, one_off=1.0),
        {"controllers": 3},
    ),
    "a batch of 5,000 after a stall": (
        SoloPlan(invokers=60, models=100, rate=900.0, lasts=8000.0, stalls=[(3000.0, 6000.0)]),
        {},
    ),
    "a roster of 1,000 sent whole every second": (
        SoloPlan(invokers=1000, models=100, rate=200.0, lasts=10_000.0, full_rosters_every=1000.0),
        {"controllers": 10},
    ),
}


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--sizes", action="store_true")
    parser.add_argument("--hard", action="store_true")
    parser.add_argument("--only")
    parser.add_argument("--against", help="an earlier policy file, to time in the same run")
    parser.add_argument("--json", type=Path)
    args = parser.parse_args()
    results: dict = {}
    if args.hard or args.only or not args.sizes:
        results["hard"] = {}
        for name, (plan, overrides) in HARD_CASES.items():
            if args.only and args.only not in name:
                continue
            results["hard"][name] = row = run(plan, **overrides)
            if args.against:
                before = run(plan, other_module(args.against), **overrides)
                row["before"] = {key: before[key] for key in ("us_an_inference", "worst_batch_ms")}
            shown = ("taken", "us_an_inference", "worst_batch_ms", "worst_batch_events", "before")
            print(name, {key: row[key] for key in shown if key in row}, file=sys.stderr, flush=True)
    if args.sizes:
        results["sizes"] = sizes(args.against)
    print(json.dumps(results, indent=1))
    if args.json:
        args.json.write_text(json.dumps(results, indent=1) + "\n")


if __name__ == "__main__":
    main()
