"""Whether a worker may still be sent to while the list of workers may be out of date.

While discovery is unreachable its last list stays in force, but a drain counts as announced as soon as discovery would
have announced it. A draining worker refuses requests and fails health checks. So before an attempt is sent, the worker
must have shown within the drain grace that it accepts requests: by an answer to a request, or by a readiness check.
A worker that may have restarted unnoticed in the meantime is treated as one that just started.

A check is a health check. Where those are not allowed it is the question how many copies of a model the worker holds:
an order for no copies, which may go to a draining worker, and which a draining worker refuses as any order. Where
neither is allowed, requests go to the workers that have shown by others that they accept them.
"""

from __future__ import annotations

import math

from sprucespool.interface import Deployment, Inference, Outcome
from sprucespool.policy.beliefs import INITIAL_RECHECK_DELAY_MS, ReadinessCheck, Worker

# A change that discovery could not announce counts as announced two seconds after the interruption at the earliest.
LIST_TRUSTED_MS = 2_000.0
# Fraction of the drain grace for which an answer of a worker is valid; the rest is for requests still to be written.
PROOF_VALID_FRACTION = 0.8
# Minimum timeout of a health check, and its timeout as a fraction of the drain grace.
MIN_CHECK_TIMEOUT_MS, CHECK_TIMEOUT_FRACTION = 100.0, 0.4
# A worker that answers this soon after it closed its connections is still the same process.
SAME_PROCESS_WITHIN_MS = 100.0
# Outcomes of a check that may mean that the process ended or is draining before its end.
MAY_HAVE_ENDED = (Outcome.ERROR, Outcome.UNCONNECTED, Outcome.RESET)
# Maximum delay before a worker that failed its check is checked again; the delay doubles each time.
MAX_RECHECK_DELAY_MS = 4_000.0


class Readiness:
    """Decides by the time of the last message from discovery; if that is never reported, the list counts as current.

    Times are in milliseconds.
    """

    def __init__(self, deployment: Deployment):
        self.may_probe = deployment.may_probe
        self.may_check = deployment.may_probe or deployment.may_order
        self.grace = deployment.drain_grace
        # Where health checks are served like requests they take as long; a result after the grace proves nothing.
        self.check_timeout = max(MIN_CHECK_TIMEOUT_MS, deployment.connect_timeout, CHECK_TIMEOUT_FRACTION * self.grace)
        # A load order is written within this time after the decision, or not at all.
        self.max_write_delay = deployment.connect_timeout
        # Until when the list is current (forever if discovery is not watched), and when it was last known to be right.
        self._current_until, self._list_known_at = math.inf, -math.inf

    def discovery_received(self, age: float | None, now: float) -> None:
        """All that discovery had to report until `age` ms ago is known; None: it was asked and has not answered yet."""
        self._current_until = now - age + LIST_TRUSTED_MS if age is not None else -math.inf
        self._list_known_at = now - (age or 0.0)

    def is_list_current(self, now: float) -> bool:
        return now < self._current_until

    def is_excluded(self, worker: Worker, now: float) -> bool:
        """Whether the worker is neither sent to nor checked for now."""
        if self.is_list_current(now):
            return False
        if self.may_check:
            return now < worker.unready_until
        # Without checks only a request can show that the worker is draining: the first one that it refuses does.
        return worker.refused_at >= self._list_known_at

    def is_proof_preferred(self, now: float) -> bool:
        """Whether workers that recently accepted a request go before others, as no check can tell of the others."""
        return not self.may_check and not self.is_list_current(now)

    def is_proven(self, worker: Worker, now: float) -> bool:
        """Whether the worker has shown within the drain grace that it accepts requests."""
        return now < worker.ready_at + PROOF_VALID_FRACTION * self.grace

    def is_checking(self, now: float) -> bool:
        """Whether workers have to be checked at the moment."""
        return self.may_check and not self.is_list_current(now)

    def needs_check(self, worker: Worker, now: float) -> bool:
        """Whether the worker must pass a check before anything new is sent to it."""
        return self.is_checking(now) and not self.is_proven(worker, now)

    def may_order(self, worker: Worker, now: float) -> bool:
        """Whether a load order may be sent to the worker.

        Orders do not wait for a check: without recent proof that the worker accepts requests, none is sent.
        """
        if self.is_excluded(worker, now):
            return False
        return not self.is_checking(now) or now + self.max_write_delay <= worker.ready_at + self.grace

    def write_by(self, worker: Worker, now: float) -> float:
        """The time after which an attempt that is decided now must not be written any more."""
        return worker.ready_at + self.grace if self.is_checking(now) else math.inf

    def request_accepted(self, worker: Worker, sent_at: float) -> None:
        """The worker accepted a request sent at `sent_at`; a refusal since then takes precedence."""
        self._note_proof(worker, sent_at)
        if not self.may_probe:
            worker.recheck_delay = INITIAL_RECHECK_DELAY_MS

    def request_refused(self, worker: Worker, now: float) -> None:
        """The worker refused a request: it is full or draining, and the refusal does not say which."""
        self._note_refusal(worker, now)
        if self.is_checking(now) and not self.may_probe:
            # It had answered the question about its copies, so asking again at once would show nothing new.
            self._delay_check(worker, now)

    def _note_proof(self, worker: Worker, sent_at: float) -> None:
        if sent_at > worker.refused_at:
            worker.ready_at = max(worker.ready_at, sent_at)

    def _note_refusal(self, worker: Worker, now: float) -> None:
        worker.ready_at, worker.refused_at = -math.inf, now

    def _delay_check(self, worker: Worker, now: float) -> None:
        worker.unready_until = now + worker.recheck_delay
        worker.recheck_delay = min(2 * worker.recheck_delay, MAX_RECHECK_DELAY_MS)

    def begin_check(self, worker: Worker) -> ReadinessCheck:
        worker.check = ReadinessCheck(worker)
        return worker.check

    def add_waiting(self, request: Inference, check: ReadinessCheck) -> None:
        check.waiting[request] = None
        request.belief.check = check

    def suspected_restart_at(self, worker: Worker, now: float) -> float:
        """When the worker may have restarted without the list showing it; minus infinity if no restart is suspected."""
        if self.is_list_current(now) or worker.possible_restart_at < self._list_known_at:
            return -math.inf
        return worker.possible_restart_at

    def process_may_have_ended(self, worker: Worker, now: float) -> None:
        """The worker's process may have ended: the next one to answer may have just started."""
        worker.may_have_ended, worker.possible_restart_at = True, now

    def check_passed(self, worker: Worker, checked_at: float, now: float) -> None:
        if worker.may_have_ended and worker.possible_restart_at >= self._list_known_at:
            same_process = now - worker.possible_restart_at <= SAME_PROCESS_WITHIN_MS and worker.unready_until <= now
            worker.possible_restart_at = -math.inf if same_process else now
        worker.may_have_ended = False
        self._note_proof(worker, checked_at)
        worker.unready_until = 0.0
        if self.may_probe:
            worker.recheck_delay = INITIAL_RECHECK_DELAY_MS

    def check_failed(self, worker: Worker, outcome: Outcome, now: float) -> None:
        if outcome in MAY_HAVE_ENDED:
            self.process_may_have_ended(worker, now)
        self._note_refusal(worker, now)
        if outcome is Outcome.TIMED_OUT:
            worker.unready_until = now + worker.recheck_delay
        else:
            self._delay_check(worker, now)

    def release(self, check: ReadinessCheck) -> list[Inference]:
        """End the check; returns the requests that waited for it."""
        if check.worker.check is check:
            check.worker.check = None
        waiting, check.waiting = list(check.waiting), {}
        for request in waiting:
            request.belief.check = None
        return waiting
