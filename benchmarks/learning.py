"""Cost of sharing knowledge with a joining controller: memory, bytes and CPU per page, for 10,000 models on 500
invokers. Also compares the bucketed claim store with a dict that is sorted at each expiry.

    python benchmarks/learning.py
"""

from __future__ import annotations

import json
import random
import time
import tracemalloc

from sprucespool.learning import Claim, ClaimStore, JoiningController, Row, decode, encode
from sprucespool.learning.joining import PageBuilder

KEEP_MS, MODELS, INVOKERS = 10_000.0, 10_000, 500


def claims(count: int, chance: random.Random) -> list[Claim]:
    return [
        Claim(
            f"10.0.{n % INVOKERS // 250}.{n % 250}:9000",
            f"boot-{n % INVOKERS}",
            f"model-{n % MODELS}",
            1,
            2,
            chance.uniform(0, KEEP_MS),
            1,
            "s",
        )
        for n in range(count)
    ]


class SortedDictStore:
    """The simplest claim store: a dict that is sorted at each expiry."""

    def __init__(self, keep: float):
        self.keep, self.claims = keep, {}

    def merge(self, claims):
        for claim in claims:
            known = self.claims.get(claim.key)
            if known is None or known.rank < claim.rank:
                self.claims[claim.key] = claim

    def expire(self, now: float):
        for claim in sorted(self.claims.values(), key=lambda claim: claim.seen_at):
            if claim.seen_at > now - self.keep:
                break
            del self.claims[claim.key]


def timed(work) -> float:
    started_at = time.process_time()
    work()
    return (time.process_time() - started_at) * 1000.0


def store(make) -> dict:
    chance = random.Random(1)
    initial, updates = claims(20_000, chance), claims(2_000, chance)
    claim_store = make()
    merge_ms = timed(lambda: claim_store.merge(initial))

    def run():
        for step in range(200):
            claim_store.merge(updates[step * 10 : step * 10 + 10])
            claim_store.expire(KEEP_MS + step * 50.0)

    return {"merge_20000_ms": round(merge_ms, 1), "200_looks_ms": round(timed(run), 1)}


def main() -> None:
    chance = random.Random(2)
    rows = [
        Row(
            f"10.0.{n % INVOKERS // 250}.{n % 250}:9000",
            f"boot-{n % INVOKERS}",
            f"model-{n}",
            1,
            2,
            chance.uniform(0, KEEP_MS / 2),
            0,
        )
        for n in range(MODELS)
    ]
    builder = PageBuilder()
    build_ms = timed(
        lambda: builder.rebuild(0.0, [(r.invoker, r.boot, r.model, 1, 2, r.age, True) for r in rows], lambda *_: None)
    )
    page, _ = builder.page(10.0, 0, 200)
    data = encode(page)
    result = {
        "rows": MODELS,
        "invokers": INVOKERS,
        "made_ms": round(build_ms, 1),
        "page_rows": 200,
        "page_bytes": len(data),
        "whole_bytes": len(encode(builder.rows)),
        "page_encode_ms": round(timed(lambda: [encode(page) for _ in range(100)]) / 100, 3),
        "page_decode_ms": round(timed(lambda: [decode(data) for _ in range(100)]) / 100, 3),
    }
    tracemalloc.start()
    joining = JoiningController(["s"], KEEP_MS)
    joining.roster_changed(0.0, {(row.invoker, row.boot) for row in rows})
    joining.start(0.0)
    result["take_in_ms"] = round(
        timed(lambda: [joining.page_received(1.0, "s", rows[n : n + 200], True) for n in range(0, MODELS, 200)]), 1
    )
    result["newcomer_mb"] = round(tracemalloc.get_traced_memory()[0] / 2**20, 1)
    tracemalloc.stop()
    result["buckets"], result["dict_and_sort"] = (
        store(lambda: ClaimStore(KEEP_MS)),
        store(lambda: SortedDictStore(KEEP_MS)),
    )
    print(json.dumps(result, indent=1))


if __name__ == "__main__":
    main()
