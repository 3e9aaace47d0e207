"""Plain deciders behind the same interface, to compare with, and broken ones, to prove that the judge sees."""

from __future__ import annotations

import zlib
from collections.abc import Callable
from dataclasses import replace

from sprucespool import interface as it
from sprucespool.gateway import Decider, Gateway
from sprucespool.gateway.messages import AnswerFailed, AnswerShed
from sprucespool.policy import Controller
from sprucespool.policy.beliefs import Worker
from sprucespool.policy.retry_rules import RetryRules


class _Plain:
    """Picks an invoker by one simple rule; keeps the five rules in the plainest way: one forward, then the end."""

    def __init__(self, deployment: it.Deployment, seed: int):
        self.dep, self.seed, self.drawn = deployment, seed, 0
        self.pods: dict[it.Invoker, it.RosterEntry] = {}
        self.out: dict[it.Invoker, int] = {}

    def chance(self, below: int) -> int:
        self.drawn += 1
        return zlib.crc32(b"%d:%d" % (self.seed, self.drawn)) % below

    def pick(self, pods: list[it.Invoker]) -> it.Invoker:
        raise NotImplementedError

    def handle(self, now: float, events: list) -> list:
        actions: list = []
        for event in events:
            if isinstance(event, it.RosterNews):
                if event.kind in (it.News.REPLACE, it.News.RESTORED):
                    self.pods.clear()
                for entry in event.entries:
                    self.pods.pop(entry.invoker, None)
                    if entry.status is it.Status.IN_SERVICE:
                        self.pods[entry.invoker] = entry
            elif isinstance(event, it.Arrived):
                self._place(now, event.inference, actions)
            elif isinstance(event, it.Ended):
                inf = event.forward.inference
                self.out[event.forward.invoker] = self.out.get(event.forward.invoker, 1) - 1
                if event.final:
                    continue
                never_ran = event.outcome in (it.Outcome.FULL, it.Outcome.MISS, it.Outcome.UNCONNECTED)
                if (
                    len(inf.forwards) < self.dep.most_forwards
                    and now < inf.belief
                    and (never_ran or inf.group.effect is it.Effect.RETRIABLE)
                ):
                    self._place(now, inf, actions)
                else:
                    shed = never_ran or inf.group.effect is it.Effect.RETRIABLE
                    actions.append(it.Shed(inf, 500.0) if shed else it.Fail(inf))
        return actions

    def _place(self, now: float, inf: it.Inference, actions: list):
        inf.belief = inf.belief or now + inf.ttl - 2 * self.dep.tick
        cold = self.dep.warm_after
        pods = [pod for pod, entry in self.pods.items() if not entry.started or now > entry.started + cold]
        if not pods:
            actions.append(it.Shed(inf, 500.0))
            return
        pod = self.pick(pods)
        forward = it.Forward(inf, pod, max(1.0, inf.belief - now))
        inf.forwards.append(forward)
        self.out[pod] = self.out.get(pod, 0) + 1
        actions.append(forward)


class RandomChoice(_Plain):
    def pick(self, pods: list[it.Invoker]) -> it.Invoker:
        return pods[self.chance(len(pods))]


class LeastInFlight(_Plain):
    def pick(self, pods: list[it.Invoker]) -> it.Invoker:
        least = min(self.out.get(pod, 0) for pod in pods)
        few = [pod for pod in pods if self.out.get(pod, 0) == least]
        return few[self.chance(len(few))]


# Deciders with one guard out: the judge must tell each.


class _AnyRetry(RetryRules):
    def may_repeat(self, request: it.Inference, now: float) -> bool:
        return len(request.forwards) < 4 and not request.belief.in_flight and now < request.belief.deadline

    def may_shed(self, request: it.Inference) -> bool:
        return True


class _Repeats(Controller):
    """Rule 2: sends again what may have run, and sheds it."""

    def __init__(self, deployment: it.Deployment, seed: int):
        super().__init__(deployment, seed)
        self.rules = _AnyRetry(deployment)


class _IgnoresDrains(Controller):
    """Rule 3: hears of nobody who leaves."""

    def _roster(self, news: it.RosterNews):
        entries = [replace(entry, status=it.Status.IN_SERVICE) for entry in news.entries]
        kind = it.News.UPDATE if news.kind is it.News.REPLACE else news.kind
        super()._roster(it.RosterNews(kind, news.version, entries))


class _PushesCold(Controller):
    """Rule 4: takes a cold invoker for a warm one, and the emptiest."""

    def _is_cold(self, worker: Worker) -> bool:
        return False

    def _place(self, request: it.Inference):
        warm_after = self.deployment.warm_after
        young = [worker for worker in self.workers if worker.started and self.now < worker.started + warm_after]
        if young and not request.forwards:
            return self._forward(request, young[0])
        return super()._place(request)


class _OrdersFreely(Controller):
    """Rule 5: counts no orders, and orders with every inference."""

    def _arrived(self, event: it.Arrived):
        super()._arrived(event)
        if self.workers:
            self.actions.append(it.Order(self.workers[0].entry.invoker, event.inference.model, 1))


DECIDERS: dict[str, Callable[[it.Deployment, int], Decider]] = {
    "hiku": Controller,
    "random": RandomChoice,
    "least-in-flight": LeastInFlight,
    "broken-1": Controller,
    "broken-2": _Repeats,
    "broken-3": _IgnoresDrains,
    "broken-4": _PushesCold,
    "broken-5": _OrdersFreely,
}


class _ForgetfulGateway(Gateway):
    """Rule 1: passes on no answer but returned ones."""

    def __init__(self, deployment, seed, port, decider):
        super().__init__(
            deployment,
            seed,
            lambda effect: None if isinstance(effect, (AnswerShed, AnswerFailed)) else port(effect),
            decider,
        )


# The gateway answers what a module forgets, so a controller that breaks rule 1 takes a broken gateway.
GATEWAYS: dict[str, type[Gateway]] = {"broken-1": _ForgetfulGateway}
