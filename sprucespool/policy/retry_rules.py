"""What a request's own past allows: another attempt, on which workers, or a shed answer."""

from __future__ import annotations

from sprucespool.interface import Deployment, Effect, Inference, Scope
from sprucespool.policy.beliefs import RequestBelief, Worker


def perhaps_ran(belief: RequestBelief) -> list[tuple[Worker, float]]:
    """Attempts that are not proven not to have run: where, and when they were sent."""
    return belief.ran + [(forward.belief.worker, forward.belief.at) for forward in belief.in_flight]


class RetryRules:
    """The rules of a deployment's request classes. Times are milliseconds."""

    def __init__(self, deployment: Deployment):
        self.most_attempts = deployment.most_forwards
        self.may_duplicate = deployment.may_duplicate
        # An attempt is written a while after it is decided, when its connection stands.
        self.written_within = deployment.connect_timeout + deployment.answer_slack

    def may_repeat(self, request: Inference, now: float) -> bool:
        """Whether another attempt could be sent to any worker."""
        belief, group = request.belief, request.group
        if len(request.forwards) >= self.most_attempts or now >= belief.deadline:
            return False
        if belief.in_flight and not self.may_duplicate:
            return False
        if group.effect is Effect.NON_RETRIABLE:
            return not belief.ran and not belief.in_flight
        if group.effect is Effect.RETRIABLE:
            return True
        window = group.dedup_window - self.written_within
        return all(now - at < window for _, at in perhaps_ran(belief))

    def may_shed(self, request: Inference) -> bool:
        """Whether the client may be told that another try is harmless."""
        group = request.group
        return (
            group.effect is Effect.RETRIABLE
            or not perhaps_ran(request.belief)
            or (group.effect is Effect.DEDUPED and group.scope is Scope.ALL)
        )

    def in_scope(self, request: Inference, worker: Worker) -> bool:
        """Whether the worker shares its record of duplicates with all that may have run the request."""
        scope = request.group.scope
        if scope is Scope.ALL:
            return True
        return not any(
            other.zone != worker.zone or (scope is Scope.CELL and other.entry.cell != worker.entry.cell)
            for other, _ in perhaps_ran(request.belief)
        )
