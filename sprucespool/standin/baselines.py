"""Simple deciders behind the same interface for comparison, and broken ones that the judge must detect."""

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


class _SimpleDecider:
    """Picks an invoker by one simple rule and keeps the five rules in the simplest way: one forward at a time."""

    def __init__(self, deployment: it.Deployment, seed: int):
        self.deployment, self.seed, self.draw_count = deployment, seed, 0
        self.entries: dict[it.Invoker, it.RosterEntry] = {}
        self.in_flight: dict[it.Invoker, int] = {}

    def draw(self, below: int) -> int:
        self.draw_count += 1
        return zlib.crc32(b"%d:%d" % (self.seed, self.draw_count)) % below

    def pick(self, invokers: list[it.Invoker]) -> it.Invoker:
        raise NotImplementedError

    def handle(self, now: float, events: list) -> list:
        actions: list = []
        for event in events:
            if isinstance(event, it.RosterNews):
                if event.kind in (it.News.REPLACE, it.News.RESTORED):
                    self.entries.clear()
                for entry in event.entries:
                    self.entries.pop(entry.invoker, None)
                    if entry.status is it.Status.IN_SERVICE:
                        self.entries[entry.invoker] = entry
            elif isinstance(event, it.Arrived):
                self._place(now, event.inference, actions)
            elif isinstance(event, it.Ended):
                inference = event.forward.inference
                self.in_flight[event.forward.invoker] = self.in_flight.get(event.forward.invoker, 1) - 1
                if event.final:
                    continue
                never_ran = event.outcome in (it.Outcome.FULL, it.Outcome.MISS, it.Outcome.UNCONNECTED)
                if (
                    len(inference.forwards) < self.deployment.most_forwards
                    and now < inference.belief
                    and (never_ran or inference.group.effect is it.Effect.RETRIABLE)
                ):
                    self._place(now, inference, actions)
                else:
                    shed = never_ran or inference.group.effect is it.Effect.RETRIABLE
                    actions.append(it.Shed(inference, 500.0) if shed else it.Fail(inference))
        return actions

    def _place(self, now: float, inference: it.Inference, actions: list):
        inference.belief = inference.belief or now + inference.ttl - 2 * self.deployment.tick
        warm_after = self.deployment.warm_after
        invokers = [
            invoker for invoker, entry in self.entries.items() if not entry.started or now > entry.started + warm_after
        ]
        if not invokers:
            actions.append(it.Shed(inference, 500.0))
            return
        invoker = self.pick(invokers)
        forward = it.Forward(inference, invoker, max(1.0, inference.belief - now))
        inference.forwards.append(forward)
        self.in_flight[invoker] = self.in_flight.get(invoker, 0) + 1
        actions.append(forward)


class RandomChoice(_SimpleDecider):
    def pick(self, invokers: list[it.Invoker]) -> it.Invoker:
        return invokers[self.draw(len(invokers))]


class LeastInFlight(_SimpleDecider):
    def pick(self, invokers: list[it.Invoker]) -> it.Invoker:
        least = min(self.in_flight.get(invoker, 0) for invoker in invokers)
        candidates = [invoker for invoker in invokers if self.in_flight.get(invoker, 0) == least]
        return candidates[self.draw(len(candidates))]


# Deciders without one of the guards. The judge must detect each.


class _AllowAllRetries(RetryRules):
    def may_repeat(self, request: it.Inference, now: float) -> bool:
        return len(request.forwards) < 4 and not request.belief.in_flight and now < request.belief.deadline

    def may_shed(self, request: it.Inference) -> bool:
        return True


class _RetriesUnsafely(Controller):
    """Rule 2: retries and sheds inferences that may have run."""

    def __init__(self, deployment: it.Deployment, seed: int):
        super().__init__(deployment, seed)
        self.rules = _AllowAllRetries(deployment)


class _IgnoresDrains(Controller):
    """Rule 3: ignores that invokers drain or leave."""

    def _roster(self, update: it.RosterNews):
        entries = [replace(entry, status=it.Status.IN_SERVICE) for entry in update.entries]
        kind = it.News.UPDATE if update.kind is it.News.REPLACE else update.kind
        super()._roster(it.RosterNews(kind, update.version, entries))


class _PushesCold(Controller):
    """Rule 4: treats cold invokers as warm and prefers them."""

    def _is_cold(self, worker: Worker) -> bool:
        return False

    def _place(self, request: it.Inference):
        warm_after = self.deployment.warm_after
        cold_workers = [worker for worker in self.workers if worker.started and self.now < worker.started + warm_after]
        if cold_workers and not request.forwards:
            return self._forward(request, cold_workers[0])
        return super()._place(request)


class _OrdersFreely(Controller):
    """Rule 5: does not limit orders and sends one with every inference."""

    def _arrived(self, event: it.Arrived):
        super()._arrived(event)
        if self.workers:
            self.actions.append(it.Order(self.workers[0].entry.invoker, event.inference.model, 1))


DECIDERS: dict[str, Callable[[it.Deployment, int], Decider]] = {
    "hiku": Controller,
    "random": RandomChoice,
    "least-in-flight": LeastInFlight,
    "broken-1": Controller,
    "broken-2": _RetriesUnsafely,
    "broken-3": _IgnoresDrains,
    "broken-4": _PushesCold,
    "broken-5": _OrdersFreely,
}


class _ForgetfulGateway(Gateway):
    """Rule 1: drops all answers but returned results."""

    def __init__(self, deployment, seed, port, decider):
        super().__init__(
            deployment,
            seed,
            lambda effect: None if isinstance(effect, (AnswerShed, AnswerFailed)) else port(effect),
            decider,
        )


# The gateway answers requests that the decider forgets, so breaking rule 1 needs a broken gateway.
GATEWAYS: dict[str, type[Gateway]] = {"broken-1": _ForgetfulGateway}
