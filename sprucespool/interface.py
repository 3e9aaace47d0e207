"""What the decision module is told and what it answers. Plain data: nothing here decides.

Times are float milliseconds. Objects point to each other; `name` is for the door and for logs only.
`belief` on a fact belongs to the controller that was handed the fact; whoever hands it over leaves it alone.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from enum import Enum
from typing import Any


class Effect(Enum):
    RETRIABLE = "retriable"
    DEDUPED = "deduped"
    NON_RETRIABLE = "non-retriable"


class Scope(Enum):
    """Which invokers drop the repeats of a deduped inference together."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class Status(Enum):
    IN_SERVICE = "in service"
    DRAINING = "draining"
    GONE = "gone"


class Outcome(Enum):
    RETURNED = "returned"
    ERROR = "error"
    FULL = "full"
    TIMED_OUT = "timed out"
    UNCONNECTED = "unconnected"
    RESET = "reset"
    CALLED_OFF = "called off"
    NOT_SENT = "not sent"
    MISS = "miss"


class Found(Enum):
    """What a returned forward found at the invoker."""

    UNTOLD = "untold"
    WARM = "warm"
    BEGAN_LOAD = "began load"
    AWAITED_LOAD = "awaited load"


class News(Enum):
    UPDATE = "update"
    REPLACE = "replace"
    RESTORED = "restored"
    UNAVAILABLE = "unavailable"


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
    """What holds for the whole life of a controller."""

    controllers: int
    own_number: int
    own_zone: str
    groups: list[ModelGroup]
    tenants: list[Tenant]
    over_share_value: float
    tick: float
    answer_slack: float
    drain_grace: float
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
    # Zones of invokers that it may go to, the first of them first; none at all: it is to be shed. None: anywhere.
    # Told only where controllers follow a plan of zones in common.
    zones: tuple[str, ...] | None = None
    # For how long it may have waited unread, as through a pause of the process.
    waited: float = 0.0
    forwards: list[Forward] = field(default_factory=list)
    belief: Any = None


@dataclass(slots=True, eq=False)
class Forward:
    """Action: send the inference to the invoker. The same object comes back in `Ended`."""

    inference: Inference
    invoker: Invoker
    time_out: float
    belief: Any = None
    # When it is too late to begin to write it: it ends as not sent then.
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
    inference: Inference


@dataclass(slots=True, eq=False)
class Ended:
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
    forward: Forward
    elapsed: float


@dataclass(slots=True, eq=False)
class RosterNews:
    kind: News
    version: int
    entries: list[RosterEntry]


@dataclass(slots=True, eq=False)
class DiscoveryHeard:
    """All that discovery has to tell was last heard so long ago; None: it is asked, and was not heard yet. Told where
    a watch stands; where nobody tells of it, the list of invokers counts as current."""

    age: float | None


@dataclass(slots=True, eq=False)
class Disconnected:
    """The invoker ended the last connection to it: what answers there next may be another process."""

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
    """Another's word that copies stand, good for `life` at the most; none of it left takes the word back."""

    invoker: Invoker
    model: Model
    copies: int
    lanes: int
    life: float


@dataclass(slots=True, eq=False)
class BeliefsAsked:
    """Somebody wants to know what is believed to stand where."""

    token: int


@dataclass(slots=True, eq=False)
class Sharing:
    """So many controllers are there, and what all share is to be divided by `sharers` for this one's part: infinite
    while it may hold none of it. Told only where controllers know of each other."""

    live: int
    sharers: float


@dataclass(slots=True, eq=False)
class Doubted:
    """Other controllers cannot reach the invoker, and this one has not just heard from it; or they no longer say so.
    Told only where controllers know of each other."""

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
    """Hold at least `copies` of the model at the invoker; none only asks."""

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
    invoker: Invoker


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
    """Copies believed to stand; `age` since the last sign of them, `own` if that was an own answer."""

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
