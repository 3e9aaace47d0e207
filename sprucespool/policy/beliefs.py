"""What a controller believes of invokers, models, requests and loads. State alone: no decision is made here."""

from __future__ import annotations

import math

from sprucespool.interface import Deployment, Forward, Inference, Model, RosterEntry
from sprucespool.policy.shared_order import SharedOrder, salt_of

# Own requests in flight to an invoker not yet known.
FIRST_WINDOW = 4.0
# Ms before a worker that failed a readiness check is checked again.
FIRST_RECHECK = 500.0
# Ms before the first trial of a suspect.
FIRST_TRIAL = 1000.0


class RunningMean:
    """Mean and mean deviation of a figure, as a retransmission timer keeps them."""

    def __init__(self, guess: float):
        self.mean, self.spread, self.seen = guess, guess / 2, 0

    def add(self, figure: float):
        self.seen += 1
        gain = max(0.05, 1.0 / self.seen)
        self.spread += min(0.5, gain) * (abs(figure - self.mean) - self.spread)
        self.mean += gain * (figure - self.mean)

    def patience(self) -> float:
        return self.mean + 4 * self.spread


class Worker:
    """What is believed of one process of an invoker."""

    def __init__(self, entry: RosterEntry, now: float, deployment: Deployment):
        self.entry, self.zone, self.kind, self.started = entry, entry.zone, entry.kind, entry.started
        self.warm_at = entry.started and entry.started + deployment.warm_after
        self.far = deployment.crossing_price > 0 and entry.zone != deployment.own_zone
        self.holds: dict[ModelBelief, None] = {}
        # Where it stands in the index of workers, and whether that awaits the time at which it is warm.
        self.level: int | None = None
        self.awaited = False
        self.salt = salt_of(entry.invoker.name)
        self.serving, self.heard, self.new, self.cold = False, now, True, 0
        self.out: dict[Forward, None] = {}
        self.suspect, self.rumour, self.trial_at, self.trial_gap = False, False, 0.0, FIRST_TRIAL
        self.full_until = self.unfit_until = self.carried = self.rate = self.narrowed = self.strain = 0.0
        # Of the slow start: what it may be sent now, None while that was never asked.
        self.grant: float | None = None
        self.granted_at, self.window, self.broken_at = now, FIRST_WINDOW, 0.0
        # Readiness: when the last thing that it took was sent, when it last turned one away, until when it is not
        # checked again and the pause after that, the check that is out.
        self.ready_at = self.turned_away_at = -math.inf
        self.unready_until, self.recheck_gap = 0.0, FIRST_RECHECK
        self.check: ReadinessCheck | None = None
        # Whether its process may have ended since the last check that it passed; when that, or the end of such a time,
        # was last seen.
        self.perhaps_ended, self.restart_seen_at = False, -math.inf

    @property
    def size(self) -> float:
        return self.entry.size

    @property
    def busy(self) -> bool:
        """Whether a pulse has something to do with it."""
        return bool(self.out) or self.suspect or self.carried > 0 or self.rate > 1e-9

    @property
    def work(self) -> int:
        # What waits for a load takes no core: it must not keep the warm copies beside it idle.
        return len(self.out) - self.cold


def open_to(request: Inference, worker: Worker) -> bool:
    """Under a plan of zones: the first that it names, and where a forward failed the others too."""
    if request.zones is None:
        return True
    return worker.zone in (request.zones if request.forwards else request.zones[:1])


class ReadinessCheck:
    """A health check that is out, with the requests that wait for its end."""

    def __init__(self, worker: Worker):
        self.worker = worker
        self.waiting: dict[Inference, None] = {}


class OwnLoad:
    """A load this controller has set going, with the inferences that wait here until it stands."""

    def __init__(self, mdl: ModelBelief, worker: Worker, ordered: bool):
        self.mdl, self.worker, self.ordered = mdl, worker, ordered
        self.waiting: dict[Inference, None] = {}
        mdl.loads[worker] = self
        worker.holds[mdl] = mdl.stood[worker] = None


class ModelBelief:
    """What is believed of one model: its queue of warm invokers, own lanes taken, loads, shared places."""

    def __init__(self, model: Model, number: int, turns: SharedOrder[Worker]):
        self.model, self.number, self.lanes, self.look_at = model, number, 1, math.inf
        self.load_time: float | None = None
        self.asked, self.asked_at, self.part = 0, 0.0, 0.0
        self.turns = turns
        # By worker: until when an entry holds, for how many copies; own lanes taken; own loads; all that ever held it;
        # until when an entry holds that others told of.
        self.warm: dict[Worker, tuple[float, int]] = {}
        self.busy: dict[Worker, int] = {}
        self.loads: dict[Worker, OwnLoad] = {}
        self.stood: dict[Worker, None] = {}
        self.told: dict[Worker, float] = {}


class AttemptBelief:
    """An attempt that is out. `cold`: no own entry says that the worker holds the model."""

    __slots__ = ("worker", "at", "cold", "rescued")

    def __init__(self, worker: Worker, at: float, cold: bool):
        self.worker, self.at, self.cold, self.rescued = worker, at, cold, False


class RequestBelief:
    """An inference still owed an answer."""

    def __init__(self, arrived: float, deadline: float, cheap: bool, luck: float):
        self.arrived, self.deadline, self.cheap, self.luck = arrived, deadline, cheap, luck
        # Attempts that may have run and are over: where, and when they were sent.
        self.ran: list[tuple[Worker, float]] = []
        self.in_flight: dict[Forward, None] = {}
        self.tried: list[Worker] = []
        self.load: OwnLoad | None = None
        self.check: ReadinessCheck | None = None
