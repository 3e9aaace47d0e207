"""Generated days for the decisions, and a digest of all that the module was told and did on them."""

from __future__ import annotations

import hashlib

from world import deployment, group

from sprucespool import interface as it
from sprucespool.emulator.solo import Solo, SoloPlan, Troubled
from sprucespool.emulator.worker import WorkerFacts
from sprucespool.policy import Controller


def told(what) -> str:
    """An event or action as a line: what it says, by names."""
    if isinstance(what, it.Forward):
        return f"forward {what.inference.name} {what.invoker.name} {what.time_out:.6f}"
    parts = [type(what).__name__]
    for field in what.__slots__:
        value = getattr(what, field)
        if isinstance(value, it.Forward):
            parts.append(f"{value.inference.name}>{value.invoker.name}")
        elif isinstance(value, list):
            parts.append(str(len(value)))
        elif isinstance(value, float):
            parts.append(f"{value:.6f}")
        else:
            parts.append(getattr(value, "name", str(value)))
    return " ".join(parts)


class Recorded:
    """Digests after each 200 batches, so that a difference is found near where it began; lines where wanted."""

    def __init__(self, dep, seed, keep=False, decider=Controller):
        self.module, self.digest, self.batches = decider(dep, seed), hashlib.blake2b(digest_size=8), 0
        self.marks, self.lines, self.keep, self.actions = [], [], keep, 0

    def handle(self, now, events):
        actions = self.module.handle(now, events)
        lines = [f"{now:.6f}", *map(told, events), "->", *map(told, actions)]
        self.digest.update("\n".join(lines).encode())
        if self.keep:
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


def play(name: str, keep: bool = False, decider=Controller) -> Recorded:
    plan, over = DAYS[name]
    made = []

    def recorded(dep, seed):
        made.append(Recorded(dep, seed, keep, decider))
        return made[0]

    # The decider's own times for parts of a day must not matter: virtual time alone moves it.
    Solo(deployment(FREE, ONCE, ZONE, **{"tick": 4.0, "warm_after": 5000.0, **over}), plan, recorded).run()
    return made[0]
