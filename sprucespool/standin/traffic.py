"""The inferences of a day, drawn from its seed: models, arrival times, work, client timeouts. No I/O, no clock."""

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
# Clients send no attempt with a shorter timeout.
MIN_WAIT_MS = 20.0


@dataclass(slots=True)
class Plan:
    """One inference to be sent, `at` ms after the start of the day."""

    at: float
    root: str
    group: str
    model: str
    tenant: str
    work: float
    hint: float
    ttl_share: float
    leave_share: float | None
    payload: int


def attempt_timeout(plan: Plan, group: Group, nth: int, begun: float, now: float) -> float:
    """The timeout of an attempt, ms: a fraction of the route timeout, for a retry at most what is left of it."""
    wait = plan.ttl_share * group.route_timeout
    return min(wait, begun + group.route_timeout - now) if nth else wait


def should_retry(
    plan: Plan, group: Group, clients: ClientHabits, nth: int, status: int | None, never_ran: bool
) -> bool:
    """Whether a client retries: in any group if the attempt was shed or never ran, otherwise only if it is retriable.

    `status`: the status of the answer, None if there was none.
    """
    if nth >= clients.retries or plan.leave_share is not None or status == Status.OK:
        return False
    return status == Status.RESOURCE_EXHAUSTED or status is None and never_ran or group.effect == "retriable"


def _draw_around(rng: random.Random, mean: float, spread: float = 1 / 3) -> float:
    return mean * rng.uniform(1 - spread, 1 + spread)


def catalog(day: Day) -> dict[str, ModelInfo]:
    """All models that can be requested on the day, including those that are requested once."""
    rng, found = random.Random(day.seed * 7 + 1), {}
    for traffic in day.traffics:
        names = [f"{traffic.group}-{n}" for n in range(traffic.models)]
        names += [f"{traffic.group}-hot-{n}" for n in range(len(day.troubles) + 1)]
        names += (
            [f"{traffic.group}-{ONE_OFF}-{n}" for n in range(_one_offs(day, traffic))]
            if any(trouble.kind == "scan" for trouble in day.troubles)
            else []
        )
        for name in names:
            found[name] = _model(rng, traffic)
    for model, group in sorted({ask.model: ask.group for ask in day.asks}.items()):
        if model not in found:
            # Models of single or recorded inferences get the size of their group's traffic, if there is any.
            found[model] = _model(rng, next((one for one in day.traffics if one.group == group), Traffic(group, 1.0)))
    return found


def _model(rng: random.Random, traffic: Traffic) -> ModelInfo:
    return ModelInfo(
        _draw_around(rng, traffic.memory / 1e6),
        traffic.lanes,
        _draw_around(rng, traffic.start),
        _draw_around(rng, traffic.fetch),
    )


def _one_offs(day: Day, traffic: Traffic) -> int:
    # At least one, because a user may request one even on a short day.
    return max(1, int(traffic.max_rate * day.lasts / 1000 * 0.5))


def _active(troubles: list[Trouble], kind: str, at: float) -> Trouble | None:
    return next((one for one in troubles if one.kind == kind and one.at <= at < one.at + one.lasts), None)


def _arrivals(day: Day, traffic: Traffic, rng: random.Random) -> Iterator[float]:
    """Poisson arrivals, thinned from the highest rate of the day so that a burst changes no other draw."""
    bursts = [trouble.factor for trouble in day.troubles if trouble.kind == "burst"]
    max_rate = traffic.rate * max([1.0, *bursts])
    if traffic.wave or traffic.rush_factor > 1:
        max_rate *= (1 + traffic.wave) * traffic.rush_factor
    at = 0.0
    while True:
        at += rng.expovariate(max_rate / 1000.0)
        if at >= day.lasts:
            return
        burst = _active(day.troubles, "burst", at)
        accept = rng.random()
        if accept * max_rate <= traffic.rate_at(at) * (burst.factor if burst else 1.0):
            yield at


class RequestSource:
    """Draws the inferences of all clients of a day.

    `first` returns those that are known from the start. A user sends its next inference after the answer to the last
    one: `after` draws it. Each user has a random generator of its own, so a late answer to one user does not change
    what the others request.
    """

    def __init__(self, day: Day):
        self.day = day
        self.weights = [
            list(itertools.accumulate(1.0 / (rank + 1) ** traffic.zipf for rank in range(traffic.models)))
            for traffic in day.traffics
        ]
        self.shares = list(itertools.accumulate(tenant.share for tenant in day.tenants))
        self.one_off_counts = [0] * len(day.traffics)

    def first(self) -> list[Plan]:
        """The inferences of the whole day in order of time; of each user only the first one."""
        plans: list[Plan] = []
        for number, traffic in enumerate(self.day.traffics):
            if traffic.users:
                first_plans = [self._of_user(number, user, 0, 0.0) for user in range(traffic.users)]
                plans += [plan for plan in first_plans if plan is not None]
                continue
            rng = random.Random(self.day.seed * 1000 + number)
            for count, at in enumerate(_arrivals(self.day, traffic, rng)):
                plans.append(self._plan(number, f"{number}-{count}", at, rng))
        groups = {group.name: group for group in self.day.model_groups}
        for count, ask in enumerate(self.day.asks):
            timeout_share = min(1.0, ask.wait / groups[ask.group].route_timeout) if ask.wait else 1.0
            plans.append(
                Plan(
                    ask.at,
                    f"ask-{count}",
                    ask.group,
                    ask.model,
                    ask.tenant,
                    ask.work,
                    ask.work,
                    timeout_share,
                    None,
                    ask.payload,
                )
            )
        return sorted(plans, key=lambda plan: plan.at)

    def after(self, plan: Plan, now: float) -> Plan | None:
        """The next inference of the user whose last one ended `now` ms after the start of the day.

        None after the end of the day, and for traffic at a rate.
        """
        number, user, count = (*plan.root.split("-"), "", "")[:3]
        return self._of_user(int(number), int(user[1:]), int(count) + 1, now) if user.startswith("u") else None

    def _of_user(self, number: int, user: int, count: int, since: float) -> Plan | None:
        traffic, rng = self.day.traffics[number], random.Random(f"{self.day.seed} {number} {user} {count}")
        burst = _active(self.day.troubles, "burst", since)
        at = since + rng.expovariate((burst.factor if burst else 1.0) / traffic.think)
        return self._plan(number, f"{number}-u{user}-{count}", at, rng) if at < self.day.lasts else None

    def _plan(self, number: int, root: str, at: float, rng: random.Random) -> Plan:
        day, traffic = self.day, self.day.traffics[number]
        weights = self.weights[number]
        rank = bisect.bisect(weights, rng.random() * weights[-1])
        rank = min(rank, traffic.models - 1)
        draw, scan_draw = rng.random(), rng.random()
        if traffic.in_rush(at) and draw * traffic.rush_factor < traffic.rush_factor - 1:
            rank = 0
        if traffic.drift:
            rank = (rank + int(at // traffic.drift)) % traffic.models
        model = f"{traffic.group}-{rank}"
        hot_key, scan = _active(day.troubles, "hot-key", at), _active(day.troubles, "scan", at)
        if hot_key and draw < hot_key.share:
            model = f"{traffic.group}-hot-{day.troubles.index(hot_key)}"
        elif scan and scan_draw < scan.share:
            one_off = (
                self.one_off_counts[number]
                if not traffic.users
                else self.one_off_counts[number] % _one_offs(day, traffic)
            )
            model, self.one_off_counts[number] = f"{traffic.group}-{ONE_OFF}-{one_off}", self.one_off_counts[number] + 1
        tenant = ""
        if day.tenants:
            tenant = day.tenants[bisect.bisect(self.shares, rng.random() * self.shares[-1]) % len(day.tenants)].name
        work = _draw_around(rng, traffic.work, 0.5)
        timeout_share = rng.uniform(day.clients.least_wait, day.clients.most_wait)
        leave_draw = rng.random()
        give_up = _active(day.troubles, "give-up", at)
        return Plan(
            at,
            root,
            traffic.group,
            model,
            tenant,
            work,
            _draw_around(rng, work),
            timeout_share,
            0.05 + 0.3 * leave_draw / give_up.share if give_up and leave_draw < give_up.share else None,
            traffic.payload,
        )


def draw_troubles(day: Day, seed: int) -> list[Trouble]:
    """Random troubles for a day, drawn from the seed."""
    rng, found = random.Random(seed * 31 + 5), []
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
        kind = rng.choice(sorted(kinds))
        lasts = rng.uniform(0.15, 0.4) * day.lasts
        at = rng.uniform(0.15 * day.lasts, day.lasts - lasts - 0.1 * day.lasts)
        found.append(Trouble(kind, round(at), round(lasts), **kinds[kind]))  # type: ignore[arg-type]
    return sorted(found, key=lambda trouble: trouble.at)
