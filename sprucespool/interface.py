"""Events that the decision module receives and actions that it returns. Plain data without any decisions.

Times are float milliseconds. Objects refer to each other directly; `name` is only for the adapter and for logs.
The attribute `belief` belongs to the controller that received the object; its caller must not touch it.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from enum import Enum
from typing import Any


class Effect(Enum):
    """Whether an inference may run more than once: always, with the invokers dropping repeats, or never."""

    RETRIABLE = "retriable"
    DEDUPED = "deduped"
    NON_RETRIABLE = "non-retriable"


class Scope(Enum):
    """Which invokers deduplicate inferences together."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class Status(Enum):
    IN_SERVICE = "in service"
    DRAINING = "draining"
    GONE = "gone"


class Outcome(Enum):
    """How a forward, a load order or a probe ended."""

    RETURNED = "returned"
    ERROR = "error"
    FULL = "full"
    TIMED_OUT = "timed out"
    UNCONNECTED = "unconnected"
    RESET = "reset"
    CALLED_OFF = "called off"
    NOT_SENT = "not sent"
    MISS = "miss"


# Outcomes that prove that an attempt never ran.
NEVER_RAN = frozenset({Outcome.FULL, Outcome.UNCONNECTED, Outcome.NOT_SENT, Outcome.MISS})


class Found(Enum):
    """The state of the model at the invoker when a returned forward arrived there."""

    UNTOLD = "untold"
    WARM = "warm"
    BEGAN_LOAD = "began load"
    AWAITED_LOAD = "awaited load"


class News(Enum):
    """Kind of a roster change: an update names only changed entries, `REPLACE` and `RESTORED` are full lists."""

    UPDATE = "update"
    REPLACE = "replace"
    RESTORED = "restored"
    UNAVAILABLE = "unavailable"


# For deployments that don't say how much memory there is.
DEFAULT_MAX_MODELS = 16_384
DEFAULT_MAX_ORDER_PLACES = 1 << 18
# Without a limit on descriptors.
DEFAULT_MAX_CONNECTED_WORKERS = 1 << 20


@dataclass(slots=True, eq=False)
class ModelGroup:
    name: str
    slo_time: float
    slo_per_work: float
    route_timeout: float
    value: float
    late_value: float
    effect: Effect
    scope: Scope
    dedup_window: float
    streamed: bool


@dataclass(slots=True, eq=False)
class Tenant:
    name: str
    share: float
    quota_per_s: float


@dataclass(slots=True, eq=False)
class Deployment:
    """Facts and settings that stay fixed for the lifetime of a controller."""

    controllers: int
    own_number: int
    own_zone: str
    groups: list[ModelGroup]
    tenants: list[Tenant]
    over_share_value: float
    tick: float
    answer_slack: float
    # After a drain is announced, nothing more may be sent to the invoker after this time.
    drain_grace: float
    # Slow start: within `fall_window` ms an invoker that just started may be sent at most `fall_multiple` times a share
    # of the work of a warm invoker. The share rises from `cold_share` to 1 over `warm_after` ms.
    cold_share: float
    warm_after: float
    fall_multiple: float
    fall_window: float
    roster_asked: bool
    ask_every: float
    may_call_off: bool
    may_probe: bool
    may_duplicate: bool
    may_message: bool
    may_order: bool
    tells_retry_after: bool
    longest_retry_after: float
    most_forwards: int
    connect_timeout: float
    keep_alive: float
    loads_on_miss: bool
    order_timeout: float
    # Within `order_window` ms at most `order_floor` load orders plus `order_share` per request; no limit if it is 0.
    order_floor: float
    order_share: float
    order_window: float
    tells_found: bool
    tells_same_model: bool
    valued_by_work: bool
    report_fields: list[str]
    report_meanings: dict[str, str]
    memory_mb: dict[str, float]
    crossing_price: float
    handshake_price: float
    # Models of which the decision module keeps what it has learned; clients name them, and each takes memory.
    max_models: int = DEFAULT_MAX_MODELS
    # Places of invokers in the shared orders that the decision module keeps; each takes memory.
    max_order_places: int = DEFAULT_MAX_ORDER_PLACES
    # To how many invokers the controller should hold connections at the same time, as it has a descriptor for each.
    max_connected_workers: int = DEFAULT_MAX_CONNECTED_WORKERS


@dataclass(slots=True, eq=False)
class Invoker:
    name: str
    belief: Any = None


@dataclass(slots=True, eq=False)
class Model:
    name: str
    belief: Any = None


@dataclass(slots=True, eq=False)
class Inference:
    name: str
    group: ModelGroup
    model: Model
    tenant: Tenant | None
    ttl: float
    work: float | None
    memory_mb: float | None
    lanes: int | None
    load_time: float | None
    repeat: bool
    write: bool
    # Zones of the invokers that it may go to, in order of preference; empty: it is to be shed; None: any zone. Set only
    # if the controllers follow a common plan of zones.
    zones: tuple[str, ...] | None = None
    # How long it may have waited before it was read, for example during a pause of the process.
    waited: float = 0.0
    forwards: list[Forward] = field(default_factory=list)
    belief: Any = None


@dataclass(slots=True, eq=False)
class Forward:
    """Action: send the inference to the invoker. `Ended` returns the same object."""

    inference: Inference
    invoker: Invoker
    time_out: float
    belief: Any = None
    # If writing has not begun by this time, the forward ends as not sent.
    write_by: float = math.inf


@dataclass(slots=True, eq=False)
class RosterEntry:
    invoker: Invoker
    zone: str
    kind: str
    cell: str
    status: Status
    size: float
    started: float


# Events


@dataclass(slots=True, eq=False)
class Arrived:
    inference: Inference


@dataclass(slots=True, eq=False)
class Departed:
    """The client left before the answer."""

    inference: Inference


@dataclass(slots=True, eq=False)
class Ended:
    """A forward ended; `final`: the inference needs no further answer."""

    forward: Forward
    outcome: Outcome
    final: bool
    elapsed: float
    found: Found
    load_failed: bool
    same_model: int | None
    report: dict[str, float]


@dataclass(slots=True, eq=False)
class Streaming:
    """The first part of a streamed answer arrived."""

    forward: Forward
    elapsed: float


@dataclass(slots=True, eq=False)
class RosterNews:
    kind: News
    version: int
    entries: list[RosterEntry]


@dataclass(slots=True, eq=False)
class DiscoveryHeard:
    """All that discovery had to report until `age` ms ago is known; None: it was asked and has not answered yet.

    Sent only where discovery is watched; without it the list of invokers counts as current.
    """

    age: float | None


@dataclass(slots=True, eq=False)
class Disconnected:
    """The invoker closed the last connection to it: the next answer may come from another process."""

    invoker: Invoker


@dataclass(slots=True, eq=False)
class OrderSettled:
    invoker: Invoker
    model: Model
    outcome: Outcome
    standing: int
    elapsed: float


@dataclass(slots=True, eq=False)
class Probed:
    invoker: Invoker
    outcome: Outcome
    elapsed: float
    report: dict[str, float]


@dataclass(slots=True, eq=False)
class TimerDue:
    token: int


@dataclass(slots=True, eq=False)
class PeerSaid:
    peer: int
    payload: bytes


@dataclass(slots=True, eq=False)
class Told:
    """Another controller reports resident copies, valid for `life` ms at most; 0 or less withdraws the report."""

    invoker: Invoker
    model: Model
    copies: int
    lanes: int
    life: float


@dataclass(slots=True, eq=False)
class BeliefsAsked:
    """Request for the copies that are believed to be resident, answered by `Beliefs`."""

    token: int


@dataclass(slots=True, eq=False)
class Sharing:
    """Number of live controllers, and the divisor that gives this controller's share of what all of them share.

    `sharers` is infinite while this controller may use no share. Sent only where controllers know each other.
    """

    live: int
    sharers: float


@dataclass(slots=True, eq=False)
class Doubted:
    """Reported suspicion of an invoker. Sent only where controllers know each other.

    `ill`: other controllers cannot reach the invoker, and this one has not just received anything from it. Otherwise
    the earlier report is withdrawn.
    """

    invoker: Invoker
    ill: bool


# Actions (with Forward)


@dataclass(slots=True, eq=False)
class Shed:
    inference: Inference
    retry_after: float


@dataclass(slots=True, eq=False)
class Fail:
    inference: Inference


@dataclass(slots=True, eq=False)
class CallOff:
    forward: Forward


@dataclass(slots=True, eq=False)
class Order:
    """Load order: hold at least `copies` of the model at the invoker; 0 only asks for the number of copies."""

    invoker: Invoker
    model: Model
    copies: int


@dataclass(slots=True, eq=False)
class Unload:
    invoker: Invoker
    model: Model


@dataclass(slots=True, eq=False)
class SetTimer:
    after: float
    token: int


@dataclass(slots=True, eq=False)
class Probe:
    """Check the invoker: by a health check, or by asking how many copies of `model` stand, where one is named."""

    invoker: Invoker
    model: Model | None = None


@dataclass(slots=True, eq=False)
class CloseIdle:
    invoker: Invoker


@dataclass(slots=True, eq=False)
class Message:
    peer: int | None
    payload: bytes


@dataclass(slots=True, eq=False)
class Subscribe:
    active: bool


@dataclass(slots=True, eq=False)
class FetchRoster:
    pass


@dataclass(slots=True, eq=False)
class Log:
    text: str


@dataclass(slots=True, eq=False)
class Standing:
    """Copies believed to be resident; `age` since the last evidence of them, `own` if that was an own answer."""

    invoker: Invoker
    model: Model
    copies: int
    lanes: int
    age: float
    own: bool


@dataclass(slots=True, eq=False)
class Beliefs:
    """Answer to `BeliefsAsked`."""

    token: int
    standing: list[Standing]
