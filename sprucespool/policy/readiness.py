"""Whether a worker may still be sent to while the list of workers may be out of date.

While discovery is out of reach its last list stays in force, but drains that it would have told of count as told. A
worker that drains turns requests away and fails health checks, so before an attempt is sent it must have shown, within
the drain grace, that it takes requests: by an answer of its own, or by a health check made for the purpose.
A worker that may have been restarted meanwhile, as nobody could tell, is taken for one that just started.
"""

from __future__ import annotations

import math

from sprucespool.interface import Deployment, Inference, Outcome
from sprucespool.policy.beliefs import FIRST_RECHECK, ReadinessCheck, Worker

# Times in milliseconds. A change that discovery could not tell counts as told two seconds after a break at the soonest.
LIST_TRUSTED_FOR = 2_000.0
# The part of the drain grace for which a worker's answer stands; the rest is for what is still to be written.
PROOF_PART = 0.8
# The least time that a health check is waited for, and the part of the grace.
LEAST_PATIENCE, PATIENCE_PART = 100.0, 0.4
# A worker that answers so soon after it ended its connections is still the same process.
SAME_PROCESS_WITHIN = 100.0
# Ends of a check that the end of a process, or a drain before it, explains.
PERHAPS_ENDED = (Outcome.ERROR, Outcome.UNCONNECTED, Outcome.RESET)
# The longest pause before a worker that failed its check is checked again: each is twice the one before.
LAST_RECHECK = 4_000.0


class Readiness:
    """Goes by when discovery was last heard; where nobody tells of that, the list is taken to be current."""

    def __init__(self, deployment: Deployment):
        self.may_check = deployment.may_probe
        self.grace = deployment.drain_grace
        # Where health checks are served like requests they take their time; past the grace they prove nothing.
        self.patience = max(LEAST_PATIENCE, deployment.connect_timeout, PATIENCE_PART * self.grace)
        # An order is written by so long after it is decided, or not at all.
        self.written_within = deployment.connect_timeout
        # Until when the list is current (for ever where nobody watches discovery), and when it was known to be right.
        self._current_until, self._list_at = math.inf, -math.inf

    def discovery_heard(self, age: float | None, now: float) -> None:
        """All that it has to tell was heard so long ago; None: it is asked and was not heard yet."""
        self._current_until = now - age + LIST_TRUSTED_FOR if age is not None else -math.inf
        self._list_at = now - (age or 0.0)

    def is_list_current(self, now: float) -> bool:
        return now < self._current_until

    def is_barred(self, worker: Worker, now: float) -> bool:
        """Whether it is not even to be checked for now."""
        if self.is_list_current(now):
            return False
        if self.may_check:
            return now < worker.unready_until
        # Nothing but requests can show that it drains: the first one that is turned away does.
        return worker.turned_away_at >= self._list_at

    def checks_now(self, now: float) -> bool:
        """Whether workers are checked at all."""
        return self.may_check and not self.is_list_current(now)

    def needs_check(self, worker: Worker, now: float) -> bool:
        """Whether nothing but a check allows anything new to be sent to it."""
        return self.checks_now(now) and now >= worker.ready_at + PROOF_PART * self.grace

    def may_order(self, worker: Worker, now: float) -> bool:
        """Orders wait for no check: one to a worker that has not just shown that it takes requests is left out."""
        if self.is_barred(worker, now):
            return False
        return not self.checks_now(now) or now + self.written_within <= worker.ready_at + self.grace

    def write_by(self, worker: Worker, now: float) -> float:
        """When it is too late to write what is decided now."""
        return worker.ready_at + self.grace if self.checks_now(now) else math.inf

    def took_request(self, worker: Worker, sent_at: float) -> None:
        """It did not turn away what was sent to it then. What it refused since outweighs that."""
        if sent_at > worker.turned_away_at:
            worker.ready_at = max(worker.ready_at, sent_at)

    def turned_away(self, worker: Worker, now: float) -> None:
        """Full or draining: nothing in the refusal tells which."""
        worker.ready_at, worker.turned_away_at = -math.inf, now

    def begin_check(self, worker: Worker) -> ReadinessCheck:
        worker.check = ReadinessCheck(worker)
        return worker.check

    def wait(self, request: Inference, check: ReadinessCheck) -> None:
        check.waiting[request] = None
        request.belief.check = check

    def restarted_at(self, worker: Worker, now: float) -> float:
        """When a process of it may have started that the list does not tell of; long ago where none is suspected."""
        if self.is_list_current(now) or worker.restart_seen_at < self._list_at:
            return -math.inf
        return worker.restart_seen_at

    def process_ended(self, worker: Worker, now: float) -> None:
        """Its process may have ended: whatever answers next may have just started."""
        worker.perhaps_ended, worker.restart_seen_at = True, now

    def check_passed(self, worker: Worker, asked_at: float, now: float) -> None:
        if worker.perhaps_ended and worker.restart_seen_at >= self._list_at:
            same = now - worker.restart_seen_at <= SAME_PROCESS_WITHIN and worker.unready_until <= now
            worker.restart_seen_at = -math.inf if same else now
        worker.perhaps_ended = False
        self.took_request(worker, asked_at)
        worker.unready_until, worker.recheck_gap = 0.0, FIRST_RECHECK

    def check_failed(self, worker: Worker, outcome: Outcome, now: float) -> None:
        if outcome in PERHAPS_ENDED:
            self.process_ended(worker, now)
        self.turned_away(worker, now)
        worker.unready_until = now + worker.recheck_gap
        if outcome is not Outcome.TIMED_OUT:
            worker.recheck_gap = min(2 * worker.recheck_gap, LAST_RECHECK)

    def release(self, check: ReadinessCheck) -> list[Inference]:
        """The check is over; gives the requests that waited for it."""
        if check.worker.check is check:
            check.worker.check = None
        waiting, check.waiting = list(check.waiting), {}
        for request in waiting:
            request.belief.check = None
        return waiting
