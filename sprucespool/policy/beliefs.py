"""What a controller believes about invokers, models, requests and loads. Only state: no decision is made here."""

from __future__ import annotations

import math

from sprucespool.interface import Deployment, Forward, Inference, Model, RosterEntry
from sprucespool.policy.shared_order import salt_of

# Own requests that may be in flight to an invoker that has not answered yet.
INITIAL_WINDOW = 4.0
# Delay before a worker that failed a readiness check is checked again.
INITIAL_RECHECK_DELAY_MS = 500.0
# Delay before the first trial request to a suspect.
INITIAL_TRIAL_DELAY_MS = 1000.0


class RunningMean:
    """Running mean and mean deviation of a value, computed as for a retransmission timer."""

    def __init__(self, initial: float):
        self.mean, self.deviation, self.samples = initial, initial / 2, 0

    def add(self, value: float):
        self.samples += 1
        gain = max(0.05, 1.0 / self.samples)
        self.deviation += min(0.5, gain) * (abs(value - self.mean) - self.deviation)
        self.mean += gain * (value - self.mean)

    def timeout(self) -> float:
        """How long to wait for a value of this kind before it counts as overdue."""
        return self.mean + 4 * self.deviation


class Worker:
    """What is believed about one process of an invoker."""

    __slots__ = (
        "entry",
        "zone",
        "kind",
        "started",
        "warm_at",
        "far",
        "models_held",
        "level",
        "in_warming_queue",
        "salt",
        "serving",
        "last_received_at",
        "new",
        "cold_in_flight",
        "in_flight",
        "suspect",
        "suspected_by_report",
        "trial_at",
        "trial_interval",
        "full_until",
        "no_loads_until",
        "completed_work",
        "work_rate",
        "window_narrowed_at",
        "latency_ratio",
        "budget",
        "budget_updated_at",
        "window",
        "last_reset_at",
        "ready_at",
        "refused_at",
        "unready_until",
        "recheck_delay",
        "check",
        "may_have_ended",
        "possible_restart_at",
    )

    def __init__(self, entry: RosterEntry, now: float, deployment: Deployment):
        self.entry, self.zone, self.kind, self.started = entry, entry.zone, entry.kind, entry.started
        # End of the slow start.
        self.warm_at = entry.started and entry.started + deployment.warm_after
        # Whether it is in another zone than the controller and crossing zones has a price.
        self.far = deployment.crossing_price > 0 and entry.zone != deployment.own_zone
        self.models_held: dict[ModelBelief, None] = {}
        # Its level in the index of workers (None: not in the index), and whether the index will update it when it
        # becomes warm.
        self.level: int | None = None
        self.in_warming_queue = False
        self.salt = salt_of(entry.invoker.name)
        # `new`: it has not answered a request of this controller yet. `cold_in_flight`: number of attempts in flight
        # for models without an own entry here.
        self.serving, self.last_received_at, self.new, self.cold_in_flight = False, now, True, 0
        self.in_flight: dict[Forward, None] = {}
        self.suspect, self.suspected_by_report, self.trial_at, self.trial_interval = (
            False,
            False,
            0.0,
            INITIAL_TRIAL_DELAY_MS,
        )
        # `full_until`: no attempts before; `no_loads_until`: no attempts that need a load before. `completed_work`
        # since the last update and its average per ms, `work_rate`. `latency_ratio`: average of answer time over SLO
        # time.
        self.full_until = self.no_loads_until = self.completed_work = self.work_rate = self.window_narrowed_at = (
            self.latency_ratio
        ) = 0.0
        # Slow start: work that it may be sent now; None until it is asked for.
        self.budget: float | None = None
        self.budget_updated_at, self.window, self.last_reset_at = now, INITIAL_WINDOW, 0.0
        # Readiness: when the latest request that it accepted was sent, when it last refused one, the time before
        # which it is not checked again and the next such delay, and the check in flight.
        self.ready_at = self.refused_at = -math.inf
        self.unready_until, self.recheck_delay = 0.0, INITIAL_RECHECK_DELAY_MS
        self.check: ReadinessCheck | None = None
        # Whether its process may have ended since the last check that it passed, and when that was last noticed or
        # resolved by a check.
        self.may_have_ended, self.possible_restart_at = False, -math.inf

    @property
    def size(self) -> float:
        return self.entry.size

    @property
    def needs_update(self) -> bool:
        """Whether the periodic update has anything to do for it."""
        return bool(self.in_flight) or self.suspect or self.completed_work > 0 or self.work_rate > 1e-9

    @property
    def running_attempts(self) -> int:
        """Attempts in flight that do not wait for a load.

        An attempt that waits for a load uses no core, so it must not keep the warm copies on the worker idle.
        """
        return len(self.in_flight) - self.cold_in_flight


def is_zone_allowed(request: Inference, worker: Worker) -> bool:
    """Whether the plan of zones, if any, allows the worker: the first zone only, or any of them after a forward."""
    if request.zones is None:
        return True
    return worker.zone in (request.zones if request.forwards else request.zones[:1])


class ReadinessCheck:
    """A health check in flight, with the requests that wait for its result."""

    def __init__(self, worker: Worker):
        self.worker = worker
        self.waiting: dict[Inference, None] = {}


class OwnLoad:
    """A load that this controller started, with the inferences that wait here until the copy is resident."""

    def __init__(self, model_belief: ModelBelief, worker: Worker, ordered: bool):
        self.model_belief, self.worker, self.ordered = model_belief, worker, ordered
        self.waiting: dict[Inference, None] = {}
        model_belief.loads[worker] = self
        model_belief.hold(worker)


class ModelBelief:
    """What is believed about one model: its warm invokers, own lanes in use and loads."""

    def __init__(self, model: Model, number: int, order_number: int):
        self.model, self.number, self.lanes, self.check_at = model, number, 1, math.inf
        self.load_time: float | None = None
        # `recent_requests` decays over a keep-alive.
        self.request_count, self.last_request_at, self.recent_requests = 0, 0.0, 0.0
        # Requests that have not been answered yet.
        self.open_requests = 0
        # Number of its shared order.
        self.order_number = order_number
        # By worker: expiry of the entry and its number of copies; own lanes in use; own loads; those that hold or load
        # the model, or did so since the last check; expiry of the entry if it rests on another controller's report.
        self.warm: dict[Worker, tuple[float, int]] = {}
        self.lanes_in_use: dict[Worker, int] = {}
        self.loads: dict[Worker, OwnLoad] = {}
        self.holders: dict[Worker, None] = {}
        self.reported: dict[Worker, float] = {}

    def hold(self, worker: Worker) -> None:
        """The worker holds the model, or loads it."""
        worker.models_held[self] = self.holders[worker] = None

    def forget_former_holders(self) -> None:
        """Forget the workers that neither hold the model any more nor load it."""
        if len(self.holders) > len(self.warm):
            for worker in [one for one in self.holders if one not in self.warm and one not in self.loads]:
                del self.holders[worker]
                worker.models_held.pop(self, None)
        if self.reported:
            self.reported = {worker: until for worker, until in self.reported.items() if worker in self.warm}

    @property
    def at_work(self) -> bool:
        """Whether a request, an attempt or an own load for the model has not ended yet."""
        return bool(self.open_requests or self.lanes_in_use or self.loads)


class AttemptBelief:
    """An attempt in flight. `cold`: no own entry says that the worker holds the model.

    `rescued`: another attempt was already made, or this one called off, because it is overdue at a suspect.
    """

    __slots__ = ("worker", "at", "cold", "rescued")

    def __init__(self, worker: Worker, at: float, cold: bool):
        self.worker, self.at, self.cold, self.rescued = worker, at, cold, False


class RequestBelief:
    """A request that has not been answered yet.

    `low_priority`: beyond its tenant's share, or without any zone to go to. `jitter`: a random fraction added to a
    worker's load when it is compared with the window.
    """

    def __init__(self, arrived: float, deadline: float, low_priority: bool, jitter: float):
        self.arrived, self.deadline, self.low_priority, self.jitter = arrived, deadline, low_priority, jitter
        # Attempts that ended and may have run: the worker, and when they were sent.
        self.ended_attempts: list[tuple[Worker, float]] = []
        self.in_flight: dict[Forward, None] = {}
        self.tried: list[Worker] = []
        self.load: OwnLoad | None = None
        self.check: ReadinessCheck | None = None
