"""A day's table: what was asked for, what became of it, what it cost."""

from __future__ import annotations

from dataclasses import asdict, dataclass

from sprucespool.judge.seen import Answer, Came, Count, LeftEarly, NoAnswer, Ordered, Seen, Sent, Unreached

OK, SHED = 0, 8


@dataclass(frozen=True, slots=True)
class GroupValue:
    slo_time: float
    value: float
    late_value: float


@dataclass(slots=True)
class Table:
    """Numbers of first tries but where a line says tries. `service` is value got over value asked for."""

    taken: int = 0
    tries: int = 0
    in_slo_time: int = 0
    late: int = 0
    shed: int = 0
    failed: int = 0
    left: int = 0
    unreached: int = 0
    forwards: int = 0
    orders: int = 0
    loads: int = 0
    fetches_turned_away: int = 0
    service: float = 0.0
    worst_10s: float = 0.0
    p50_ms: float = 0.0
    p99_ms: float = 0.0

    def as_dict(self) -> dict[str, float]:
        return asdict(self)


def score(seen: list[Seen], groups: dict[str, GroupValue]) -> Table:
    """A client's repeats count with its first try; the SLO time runs from that."""
    table = Table()
    roots: dict[str, Sent] = {}
    of_try: dict[str, str] = {}
    best: dict[str, float] = {}
    last: dict[str, str] = {}
    for one in sorted(seen, key=lambda one: one.t):
        if isinstance(one, Sent):
            table.tries += 1
            of_try[one.id] = one.root
            if one.nth == 0:
                roots[one.root] = one
        elif isinstance(one, Answer):
            root = of_try[one.id]
            if one.code == OK and root not in best:
                best[root] = one.t - roots[root].t
            last[root] = "shed" if one.code == SHED else "failed"
        elif isinstance(one, LeftEarly):
            last.setdefault(of_try[one.id], "left")
        elif isinstance(one, (NoAnswer, Unreached)):
            last[of_try[one.id]] = "unreached"
        elif isinstance(one, Came):
            table.forwards += 1
        elif isinstance(one, Ordered):
            table.orders += bool(one.copies)
        elif isinstance(one, Count):
            if one.name == "loads":
                table.loads += int(one.value)
            elif one.name == "turned away":
                table.fetches_turned_away += int(one.value)
    table.taken = len(roots)
    asked = got = 0.0
    spans: dict[int, list[float]] = {}
    begin = min((sent.t for sent in roots.values()), default=0.0)
    for root, sent in roots.items():
        group, gained = groups[sent.group], 0.0
        if root in best:
            in_time = best[root] <= group.slo_time
            table.in_slo_time += in_time
            table.late += not in_time
            gained = group.value if in_time else group.value * group.late_value
        else:
            how = last.get(root, "unreached")
            setattr(table, how, getattr(table, how) + 1)
        asked += group.value
        got += gained
        span = spans.setdefault(int((sent.t - begin) // 10_000), [0.0, 0.0])
        span[0] += gained
        span[1] += group.value
    table.service = got / asked if asked else 0.0
    # A last span of some tenths of a second says nothing.
    full = [gain / want for gain, want in spans.values() if want >= asked / max(1, len(spans)) / 2]
    table.worst_10s = min(full, default=0.0)
    times = sorted(best.values())
    if times:
        table.p50_ms = times[len(times) // 2]
        table.p99_ms = times[min(len(times) - 1, int(len(times) * 0.99))]
    return table
