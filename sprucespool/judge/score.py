"""A day's results table: the inferences sent, how they ended, and what they cost in forwards, orders and loads."""

from __future__ import annotations

from dataclasses import asdict, dataclass

from sprucespool.judge.seen import Answer, Came, Count, LeftEarly, NoAnswer, Ordered, Seen, Sent, Unreached

OK, SHED = 0, 8


@dataclass(frozen=True, slots=True)
class GroupValue:
    """SLO time (ms) of a model group, value of an answer in time, and fraction of it for a late answer."""

    slo_time: float
    value: float
    late_value: float


@dataclass(slots=True)
class Table:
    """Counts of first tries, except `tries`, which includes repeats. `service` is the value gained divided by the value
    asked for."""

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


def score(events: list[Seen], groups: dict[str, GroupValue]) -> Table:
    """Counts a client's repeats with its first try; the SLO time runs from the first try."""
    table = Table()
    roots: dict[str, Sent] = {}
    root_of_try: dict[str, str] = {}
    latencies: dict[str, float] = {}
    last_end: dict[str, str] = {}
    for event in sorted(events, key=lambda event: event.t):
        if isinstance(event, Sent):
            table.tries += 1
            root_of_try[event.id] = event.root
            if event.nth == 0:
                roots[event.root] = event
        elif isinstance(event, Answer):
            root = root_of_try[event.id]
            if event.code == OK and root not in latencies:
                latencies[root] = event.t - roots[root].t
            last_end[root] = "shed" if event.code == SHED else "failed"
        elif isinstance(event, LeftEarly):
            last_end.setdefault(root_of_try[event.id], "left")
        elif isinstance(event, (NoAnswer, Unreached)):
            last_end[root_of_try[event.id]] = "unreached"
        elif isinstance(event, Came):
            table.forwards += 1
        elif isinstance(event, Ordered):
            table.orders += bool(event.copies)
        elif isinstance(event, Count):
            if event.name == "loads":
                table.loads += int(event.value)
            elif event.name == "turned away":
                table.fetches_turned_away += int(event.value)
    table.taken = len(roots)
    value_asked = value_gained = 0.0
    intervals: dict[int, list[float]] = {}
    first_sent_at = min((sent.t for sent in roots.values()), default=0.0)
    for root, sent in roots.items():
        group, value = groups[sent.group], 0.0
        if root in latencies:
            in_time = latencies[root] <= group.slo_time
            table.in_slo_time += in_time
            table.late += not in_time
            value = group.value if in_time else group.value * group.late_value
        else:
            end = last_end.get(root, "unreached")
            setattr(table, end, getattr(table, end) + 1)
        value_asked += group.value
        value_gained += value
        interval = intervals.setdefault(int((sent.t - first_sent_at) // 10_000), [0.0, 0.0])
        interval[0] += value
        interval[1] += group.value
    table.service = value_gained / value_asked if value_asked else 0.0
    # Leaves out a short last interval: one of some tenths of a second is not meaningful.
    interval_services = [
        value_in_interval / asked_in_interval
        for value_in_interval, asked_in_interval in intervals.values()
        if asked_in_interval >= value_asked / max(1, len(intervals)) / 2
    ]
    table.worst_10s = min(interval_services, default=0.0)
    sorted_latencies = sorted(latencies.values())
    if sorted_latencies:
        table.p50_ms = sorted_latencies[len(sorted_latencies) // 2]
        table.p99_ms = sorted_latencies[min(len(sorted_latencies) - 1, int(len(sorted_latencies) * 0.99))]
    return table
