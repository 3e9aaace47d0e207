"""Generated days for the decisions, and digests of all events and actions of the decision module on them."""

from __future__ import annotations

import hashlib

from world import deployment, group

from sprucespool import interface as it
from sprucespool.emulator.solo import Solo, SoloPlan, Troubled
from sprucespool.emulator.worker import WorkerFacts
from sprucespool.policy import Controller


def describe(item) -> str:
    """An event or action as a line of text, with objects by their names."""
    if isinstance(item, it.Forward):
        return f"forward {item.inference.name} {item.invoker.name} {item.time_out:.6f}"
    words = [type(item).__name__]
    for field in item.__slots__:
        value = getattr(item, field)
        if isinstance(value, it.Forward):
            words.append(f"{value.inference.name}>{value.invoker.name}")
        elif isinstance(value, list):
            words.append(str(len(value)))
        elif isinstance(value, float):
            words.append(f"{value:.6f}")
        else:
            words.append(getattr(value, "name", str(value)))
    return " ".join(words)


class RecordingController:
    """Records a digest after every 200 batches, to locate the first difference; also the lines if `keep_lines`."""

    def __init__(self, dep, seed, keep_lines=False, decider=Controller):
        self.module, self.digest, self.batches = decider(dep, seed), hashlib.blake2b(digest_size=8), 0
        self.marks, self.lines, self.keep_lines, self.actions = [], [], keep_lines, 0

    def handle(self, now, events):
        actions = self.module.handle(now, events)
        lines = [f"{now:.6f}", *map(describe, events), "->", *map(describe, actions)]
        self.digest.update("\n".join(lines).encode())
        if self.keep_lines:
            self.lines += lines
        self.batches, self.actions = self.batches + 1, self.actions + len(actions)
        if self.batches % 200 == 0:
            self.marks.append(self.digest.hexdigest())
        return actions


FREE, ONCE = group("free"), group("once", it.Effect.NON_RETRIABLE)
ZONE = group("zone", it.Effect.DEDUPED, it.Scope.ZONE)
MIXED = [
    Troubled(2000.0, "crash", [0, 1], 3000.0),
    Troubled(4000.0, "hang", [2, 3], 3000.0),
    Troubled(5000.0, "crawl", [4, 5], 4000.0),
    Troubled(6000.0, "replace", [6, 7, 8], 1500.0),
]
DAYS = {
    "thin": (
        SoloPlan(invokers=20, models=40, rate=12.0, lasts=45_000.0, zones=2, kinds=2, troubles=MIXED, seed=3),
        dict(controllers=60, crossing_price=0.03),
    ),
    "busy": (SoloPlan(invokers=10, models=25, rate=260.0, lasts=9000.0, troubles=MIXED, seed=4), dict(controllers=2)),
    "over": (
        SoloPlan(invokers=5, models=30, rate=400.0, lasts=6000.0, seed=5, one_off=0.05),
        dict(controllers=1, tenants=[it.Tenant("a", 0.5, 60.0), it.Tenant("b", 0.5, 500.0)]),
    ),
    "misses": (
        SoloPlan(
            invokers=8,
            models=60,
            rate=60.0,
            lasts=12_000.0,
            seed=6,
            memory=900.0,
            troubles=MIXED,
            facts=WorkerFacts(memory=4000.0, cores=4, loads_on_miss=False),
        ),
        dict(controllers=3, loads_on_miss=False, order_window=1000.0, order_floor=2.0, order_share=0.2),
    ),
    "duplicates": (
        SoloPlan(
            invokers=12,
            models=30,
            rate=80.0,
            lasts=10_000.0,
            seed=7,
            zones=3,
            troubles=MIXED,
            stalls=[(3000.0, 4200.0)],
        ),
        dict(controllers=4, may_duplicate=True),
    ),
    "lists": (
        SoloPlan(
            invokers=40,
            models=500,
            rate=80.0,
            lasts=8000.0,
            seed=8,
            full_rosters_every=700.0,
            troubles=MIXED,
            one_off=0.3,
        ),
        dict(controllers=50),
    ),
    "no call-off": (
        SoloPlan(invokers=6, models=20, rate=90.0, lasts=8000.0, seed=9, troubles=MIXED, leaves=0.2),
        dict(controllers=2, may_call_off=False, tells_retry_after=False),
    ),
}


def play(name: str, keep_lines: bool = False, decider=Controller) -> RecordingController:
    plan, overrides = DAYS[name]
    created = []

    def create_recorder(dep, seed):
        created.append(RecordingController(dep, seed, keep_lines, decider))
        return created[0]

    # The time that the decisions take must not matter, so the day runs on virtual time only.
    Solo(deployment(FREE, ONCE, ZONE, **{"tick": 4.0, "warm_after": 5000.0, **overrides}), plan, create_recorder).run()
    return created[0]
