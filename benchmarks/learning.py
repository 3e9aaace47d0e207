"""What told knowledge costs: memory, bytes and CPU a page for 10,000 models on 500 invokers, and the bucketed store
beside a dict that is sorted for each look.

    python benchmarks/learning.py
"""

from __future__ import annotations

import json
import random
import time
import tracemalloc

from sprucespool.learning import Claim, ClaimStore, JoiningController, Row, decode, encode
from sprucespool.learning.joining import PageBuilder

KEEP, MODELS, INVOKERS = 10_000.0, 10_000, 500


def claims(count: int, chance: random.Random) -> list[Claim]:
    return [
        Claim(
            f"10.0.{n % INVOKERS // 250}.{n % 250}:9000",
            f"boot-{n % INVOKERS}",
            f"model-{n % MODELS}",
            1,
            2,
            chance.uniform(0, KEEP),
            1,
            "s",
        )
        for n in range(count)
    ]


class Plain:
    """The same, as one would write it first: a dict, sorted for each look."""

    def __init__(self, keep: float):
        self.keep, self.claims = keep, {}

    def merge(self, found):
        for claim in found:
            held = self.claims.get(claim.key)
            if held is None or held.rank < claim.rank:
                self.claims[claim.key] = claim

    def expire(self, now: float):
        for claim in sorted(self.claims.values(), key=lambda claim: claim.seen_at):
            if claim.seen_at > now - self.keep:
                break
            del self.claims[claim.key]


def timed(work) -> float:
    begun = time.process_time()
    work()
    return (time.process_time() - begun) * 1000.0


def store(make) -> dict:
    chance = random.Random(1)
    found, more = claims(20_000, chance), claims(2_000, chance)
    one = make()
    merged = timed(lambda: one.merge(found))

    def run():
        for step in range(200):
            one.merge(more[step * 10 : step * 10 + 10])
            one.expire(KEEP + step * 50.0)

    return {"merge_20000_ms": round(merged, 1), "200_looks_ms": round(timed(run), 1)}


def main() -> None:
    chance = random.Random(2)
    rows = [
        Row(
            f"10.0.{n % INVOKERS // 250}.{n % 250}:9000",
            f"boot-{n % INVOKERS}",
            f"model-{n}",
            1,
            2,
            chance.uniform(0, KEEP / 2),
            0,
        )
        for n in range(MODELS)
    ]
    teller = PageBuilder()
    made = timed(
        lambda: teller.rebuild(0.0, [(r.invoker, r.boot, r.model, 1, 2, r.age, True) for r in rows], lambda *_: None)
    )
    page, _ = teller.page(10.0, 0, 200)
    data = encode(page)
    found = {
        "rows": MODELS,
        "invokers": INVOKERS,
        "made_ms": round(made, 1),
        "page_rows": 200,
        "page_bytes": len(data),
        "whole_bytes": len(encode(teller.rows)),
        "page_encode_ms": round(timed(lambda: [encode(page) for _ in range(100)]) / 100, 3),
        "page_decode_ms": round(timed(lambda: [decode(data) for _ in range(100)]) / 100, 3),
    }
    tracemalloc.start()
    newcomer = JoiningController(["s"], KEEP)
    newcomer.roster_changed(0.0, {(row.invoker, row.boot) for row in rows})
    newcomer.start(0.0)
    found["take_in_ms"] = round(
        timed(lambda: [newcomer.page_received(1.0, "s", rows[n : n + 200], True) for n in range(0, MODELS, 200)]), 1
    )
    found["newcomer_mb"] = round(tracemalloc.get_traced_memory()[0] / 2**20, 1)
    tracemalloc.stop()
    found["buckets"], found["dict_and_sort"] = store(lambda: ClaimStore(KEEP)), store(lambda: Plain(KEEP))
    print(json.dumps(found, indent=1))


if __name__ == "__main__":
    main()
