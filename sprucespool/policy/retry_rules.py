"""What the earlier attempts of a request allow: another attempt, on which workers, or a shed answer."""

from __future__ import annotations

from sprucespool.interface import Deployment, Effect, Inference, Scope
from sprucespool.policy.beliefs import RequestBelief, Worker


def attempts_perhaps_run(belief: RequestBelief) -> list[tuple[Worker, float]]:
    """Attempts that may have run: the worker, and when they were sent."""
    return belief.ended_attempts + [(forward.belief.worker, forward.belief.at) for forward in belief.in_flight]


class RetryRules:
    """The rules of a deployment's request classes. Times are in milliseconds."""

    def __init__(self, deployment: Deployment):
        self.max_attempts = deployment.most_forwards
        self.may_duplicate = deployment.may_duplicate
        # An attempt is written to the invoker only once its connection is open, after the decision.
        self.max_write_delay = deployment.connect_timeout + deployment.answer_slack

    def may_repeat(self, request: Inference, now: float) -> bool:
        """Whether another attempt could be sent to any worker."""
        belief, group = request.belief, request.group
        if len(request.forwards) >= self.max_attempts or now >= belief.deadline:
            return False
        if belief.in_flight and not self.may_duplicate:
            return False
        if group.effect is Effect.NON_RETRIABLE:
            return not belief.ended_attempts and not belief.in_flight
        if group.effect is Effect.RETRIABLE:
            return True
        window = group.dedup_window - self.max_write_delay
        return all(now - at < window for _, at in attempts_perhaps_run(belief))

    def may_shed(self, request: Inference) -> bool:
        """Whether the client may be told that it is safe to retry."""
        group = request.group
        return (
            group.effect is Effect.RETRIABLE
            or not attempts_perhaps_run(request.belief)
            or (group.effect is Effect.DEDUPED and group.scope is Scope.ALL)
        )

    def in_scope(self, request: Inference, worker: Worker) -> bool:
        """Whether the worker shares its deduplication record with all workers that may have run the request."""
        scope = request.group.scope
        if scope is Scope.ALL:
            return True
        return not any(
            other.zone != worker.zone or (scope is Scope.CELL and other.entry.cell != worker.entry.cell)
            for other, _ in attempts_perhaps_run(request.belief)
        )
