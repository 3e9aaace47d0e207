"""What clients ask for on a day, drawn from its seed: models, times of arrival, work, patience. No I/O, no clock."""

from __future__ import annotations

import bisect
import itertools
import random
from collections.abc import Iterator
from dataclasses import dataclass

from sprucespool.emulator.worker import ModelInfo
from sprucespool.grpc.status import Status
from sprucespool.settings.controller import Group
from sprucespool.standin.script import ClientHabits, Day, Traffic, Trouble

ONE_OFF = "once"
# Nobody asks for what leaves less, ms.
MIN_WAIT_MS = 20.0


@dataclass(slots=True)
class Plan:
    """One inference to come; `at` is ms after the day's begin."""

    at: float
    root: str
    group: str
    model: str
    tenant: str
    work: float
    hint: float
    ttl_part: float
    leaves_part: float | None
    payload: int


def attempt_timeout(plan: Plan, group: Group, nth: int, begun: float, now: float) -> float:
    """What a client's try waits, ms: the first a part of the route timeout, a repeat no more than is left of it."""
    wait = plan.ttl_part * group.route_timeout
    return min(wait, begun + group.route_timeout - now) if nth else wait


def should_retry(
    plan: Plan, group: Group, clients: ClientHabits, nth: int, status: int | None, never_ran: bool
) -> bool:
    """Whether a client tries again: what was shed or never ran, any group; else only what is retriable. `status`: of
    the answer, None where there was none."""
    if nth >= clients.retries or plan.leaves_part is not None or status == Status.OK:
        return False
    return status == Status.RESOURCE_EXHAUSTED or status is None and never_ran or group.effect == "retriable"


def _around(chance: random.Random, mean: float, third: float = 1 / 3) -> float:
    return mean * chance.uniform(1 - third, 1 + third)


def catalog(day: Day) -> dict[str, ModelInfo]:
    """All models that can be asked for on the day, one-off ones included."""
    chance, found = random.Random(day.seed * 7 + 1), {}
    for traffic in day.traffics:
        names = [f"{traffic.group}-{n}" for n in range(traffic.models)]
        names += [f"{traffic.group}-hot-{n}" for n in range(len(day.troubles) + 1)]
        names += (
            [f"{traffic.group}-{ONE_OFF}-{n}" for n in range(_one_offs(day, traffic))]
            if any(trouble.kind == "scan" for trouble in day.troubles)
            else []
        )
        for name in names:
            found[name] = _model(chance, traffic)
    for model, group in sorted({ask.model: ask.group for ask in day.asks}.items()):
        if model not in found:
            # Recorded or named one by one: of the size of its group's traffic, where it has one.
            found[model] = _model(
                chance, next((one for one in day.traffics if one.group == group), Traffic(group, 1.0))
            )
    return found


def _model(chance: random.Random, traffic: Traffic) -> ModelInfo:
    return ModelInfo(
        _around(chance, traffic.memory / 1e6),
        traffic.lanes,
        _around(chance, traffic.start),
        _around(chance, traffic.fetch),
    )


def _one_offs(day: Day, traffic: Traffic) -> int:
    # One at least, as a user of a short day may ask for one all the same.
    return max(1, int(traffic.max_rate * day.lasts / 1000 * 0.5))


def _active(troubles: list[Trouble], kind: str, at: float) -> Trouble | None:
    return next((one for one in troubles if one.kind == kind and one.at <= at < one.at + one.lasts), None)


def _arrivals(day: Day, traffic: Traffic, chance: random.Random) -> Iterator[float]:
    """Poisson, thinned from the highest rate of the day so that a burst changes no other draw."""
    bursts = [trouble.factor for trouble in day.troubles if trouble.kind == "burst"]
    most = traffic.rate * max([1.0, *bursts])
    if traffic.wave or traffic.rush_factor > 1:
        most *= (1 + traffic.wave) * traffic.rush_factor
    at = 0.0
    while True:
        at += chance.expovariate(most / 1000.0)
        if at >= day.lasts:
            return
        burst = _active(day.troubles, "burst", at)
        keep = chance.random()
        if keep * most <= traffic.rate_at(at) * (burst.factor if burst else 1.0):
            yield at


class RequestSource:
    """What all clients of a day ask for: `first` is known from its begin; of users whose next question hangs on when
    they got their last answer, `after` draws it. Each user has chance of its own, so who is late changes nothing of
    what others ask."""

    def __init__(self, day: Day):
        self.day = day
        self.weights = [
            list(itertools.accumulate(1.0 / (rank + 1) ** traffic.zipf for rank in range(traffic.models)))
            for traffic in day.traffics
        ]
        self.shares = list(itertools.accumulate(tenant.share for tenant in day.tenants))
        self.once = [0] * len(day.traffics)

    def first(self) -> list[Plan]:
        """In order of time: the whole day, but for users, of whom each begins once."""
        plans: list[Plan] = []
        for number, traffic in enumerate(self.day.traffics):
            if traffic.users:
                begins = [self._of_user(number, user, 0, 0.0) for user in range(traffic.users)]
                plans += [plan for plan in begins if plan is not None]
                continue
            chance = random.Random(self.day.seed * 1000 + number)
            for count, at in enumerate(_arrivals(self.day, traffic, chance)):
                plans.append(self._plan(number, f"{number}-{count}", at, chance))
        groups = {group.name: group for group in self.day.model_groups}
        for count, ask in enumerate(self.day.asks):
            part = min(1.0, ask.wait / groups[ask.group].route_timeout) if ask.wait else 1.0
            plans.append(
                Plan(
                    ask.at,
                    f"ask-{count}",
                    ask.group,
                    ask.model,
                    ask.tenant,
                    ask.work,
                    ask.work,
                    part,
                    None,
                    ask.payload,
                )
            )
        return sorted(plans, key=lambda plan: plan.at)

    def after(self, plan: Plan, now: float) -> Plan | None:
        """What the same user asks next, whose inference was over at `now` ms of the day: nothing after its end, nor
        of traffic that comes at a rate."""
        number, user, count = (*plan.root.split("-"), "", "")[:3]
        return self._of_user(int(number), int(user[1:]), int(count) + 1, now) if user.startswith("u") else None

    def _of_user(self, number: int, user: int, count: int, since: float) -> Plan | None:
        traffic, chance = self.day.traffics[number], random.Random(f"{self.day.seed} {number} {user} {count}")
        burst = _active(self.day.troubles, "burst", since)
        at = since + chance.expovariate((burst.factor if burst else 1.0) / traffic.think)
        return self._plan(number, f"{number}-u{user}-{count}", at, chance) if at < self.day.lasts else None

    def _plan(self, number: int, root: str, at: float, chance: random.Random) -> Plan:
        day, traffic = self.day, self.day.traffics[number]
        weights = self.weights[number]
        rank = bisect.bisect(weights, chance.random() * weights[-1])
        rank = min(rank, traffic.models - 1)
        draw, other = chance.random(), chance.random()
        if traffic.in_rush(at) and draw * traffic.rush_factor < traffic.rush_factor - 1:
            rank = 0
        if traffic.drift:
            rank = (rank + int(at // traffic.drift)) % traffic.models
        model = f"{traffic.group}-{rank}"
        hot, scan = _active(day.troubles, "hot-key", at), _active(day.troubles, "scan", at)
        if hot and draw < hot.share:
            model = f"{traffic.group}-hot-{day.troubles.index(hot)}"
        elif scan and other < scan.share:
            once = self.once[number] if not traffic.users else self.once[number] % _one_offs(day, traffic)
            model, self.once[number] = f"{traffic.group}-{ONE_OFF}-{once}", self.once[number] + 1
        tenant = ""
        if day.tenants:
            tenant = day.tenants[bisect.bisect(self.shares, chance.random() * self.shares[-1]) % len(day.tenants)].name
        work = _around(chance, traffic.work, 0.5)
        part = chance.uniform(day.clients.least_wait, day.clients.most_wait)
        leaves = chance.random()
        give_up = _active(day.troubles, "give-up", at)
        return Plan(
            at,
            root,
            traffic.group,
            model,
            tenant,
            work,
            _around(chance, work),
            part,
            0.05 + 0.3 * leaves / give_up.share if give_up and leaves < give_up.share else None,
            traffic.payload,
        )


def draw_troubles(day: Day, seed: int) -> list[Trouble]:
    """Troubles of a day drawn by chance, for one that nobody thought out."""
    chance, found = random.Random(seed * 31 + 5), []
    kinds = {
        "deploy": dict(share=0.5, batch=2),
        "crash": dict(share=0.25, span=2000.0),
        "hang": dict(share=0.2),
        "crawl": dict(share=0.25, factor=6.0),
        "pauses": dict(share=0.5, span=300.0, every=2000.0),
        "flush": dict(share=0.6),
        "burst": dict(factor=2.0),
        "hot-key": dict(share=0.2),
        "scan": dict(share=0.1),
        "answer-lost": dict(share=0.03),
        "half-frame": dict(share=0.02),
        "go-away": dict(share=0.5, every=1500.0),
        "refuse": dict(share=0.2),
        "stale-roster": dict(span=2500.0),
        "roster-down": {},
        "library-slow": dict(factor=4.0),
        "library-down": {},
        "stall": dict(span=400.0, every=3000.0),
        "controller-restart": {},
        "give-up": dict(share=0.3),
    }
    for _ in range(day.drawn.count if day.drawn else 0):
        kind = chance.choice(sorted(kinds))
        lasts = chance.uniform(0.15, 0.4) * day.lasts
        at = chance.uniform(0.15 * day.lasts, day.lasts - lasts - 0.1 * day.lasts)
        found.append(Trouble(kind, round(at), round(lasts), **kinds[kind]))  # type: ignore[arg-type]
    return sorted(found, key=lambda trouble: trouble.at)
