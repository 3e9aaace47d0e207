"""Inputs and effects of a gateway: plain data that can be recorded and replayed.

Times are float milliseconds on the clock of the gateway's owner. `call` ids are chosen by the owner; `forward`, `order`
and `probe` ids are numbers that the gateway assigns and never reuses.
"""

from __future__ import annotations

import math

import msgspec


class _Input(msgspec.Struct, array_like=True, tag=True):
    pass


class _Effect(msgspec.Struct, array_like=True, tag=True):
    pass


# Inputs


class Call(_Input):
    """An inference arrived. `ttl` is how long its client still waits."""

    call: str
    group: str
    model: str
    ttl: float
    tenant: str = ""
    work: float | None = None
    memory_mb: float | None = None
    lanes: int | None = None
    load_time: float | None = None
    repeat: bool = False
    write: bool = False
    # Zones whose invokers may run it, in order of preference. Empty: it must be shed.
    zones: tuple[str, ...] | None = None
    # How long it may have waited before it was read, for example during a pause of the process.
    waited: float = 0.0


class Left(_Input):
    """The client of the inference disconnected or cancelled."""

    call: str


class FirstResult(_Input):
    """The forward began to receive a streamed result."""

    forward: int


class ForwardEnded(_Input):
    """A forward ended. `outcome` and `found` are the values of `interface.Outcome` and `interface.Found`."""

    forward: int
    outcome: str
    found: str = "untold"
    load_failed: bool = False
    same_model: int | None = None
    report: dict[str, float] = {}


class Row(msgspec.Struct, array_like=True):
    """One invoker of a roster.

    `boot` identifies the process, so that a restart is detected independently of clocks. `age` is how long the process
    had been running when the row was written, or None if this is not reported.
    """

    invoker: str
    zone: str = ""
    kind: str = ""
    cell: str = ""
    status: str = "in service"
    size: float = 1.0
    boot: str = ""
    age: float | None = None


class Roster(_Input):
    """A roster update or snapshot. `kind` is a value of `interface.News`."""

    kind: str
    version: int = 0
    rows: list[Row] = []


class DiscoveryHeard(_Input):
    """The complete state of discovery was last received `age` ms ago. None: requested, but not received yet."""

    age: float | None


class Disconnected(_Input):
    """The invoker closed the last connection to it."""

    invoker: str


class OrderEnded(_Input):
    order: int
    outcome: str
    standing: int = 0


class ProbeEnded(_Input):
    probe: int
    outcome: str
    report: dict[str, float] = {}


class PeerMessage(_Input):
    peer: int
    payload: bytes


class Claim(msgspec.Struct, array_like=True):
    """Reported copies of a model at one process of an invoker, valid for at most `life` ms."""

    invoker: str
    boot: str
    model: str
    copies: int
    lanes: int
    life: float


class Told(_Input):
    """Reports from elsewhere about loaded copies. A claim without a positive `life` withdraws an earlier one."""

    claims: list[Claim]


class BeliefsAsked(_Input):
    """Requests the module's beliefs; `BeliefsGiven` answers with the same token."""

    token: int


class Sharing(_Input):
    """`live` controllers are running; this one may use 1/`sharers` of shared limits (infinite: none of them)."""

    live: int
    sharers: float


class Doubted(_Input):
    """Other controllers report that they cannot reach the invoker (`ill`), or no longer report it."""

    invoker: str
    ill: bool


class Woke(_Input):
    """The time requested by `WakeAt` was reached."""


Input = (
    Call
    | Left
    | FirstResult
    | ForwardEnded
    | Roster
    | DiscoveryHeard
    | Disconnected
    | OrderEnded
    | ProbeEnded
    | PeerMessage
    | Told
    | BeliefsAsked
    | Sharing
    | Doubted
    | Woke
)


# Effects


class SendForward(_Effect):
    """Send a forward. `attempt` counts the forwards of the call from 0; the gateway itself enforces `time_out`."""

    forward: int
    call: str
    invoker: str
    model: str
    time_out: float
    attempt: int
    # Do not start to write it after this time.
    write_by: float = math.inf


class Recall(_Effect):
    """Cancel this forward: its result is no longer needed, and its end need not be reported."""

    forward: int
    call: str
    invoker: str


class AnswerReturned(_Effect):
    """The result of the forward is the call's final answer."""

    call: str
    forward: int


class StreamBegun(_Effect):
    """From now on the forward's results go to the client, and the end of the forward ends the call."""

    call: str
    forward: int


class StreamEnded(_Effect):
    """The stream ended: complete (`whole`), or broken off after it had begun."""

    call: str
    forward: int
    whole: bool


class AnswerShed(_Effect):
    """Shed the call; the client may retry after `retry_after` ms."""

    call: str
    retry_after: float


class AnswerFailed(_Effect):
    """Fail the call; `late` if its time ran out."""

    call: str
    late: bool


class Rejected(_Effect):
    """The call was not accepted: its id is in use, or it names an unknown model group or tenant."""

    call: str
    why: str


class SendOrder(_Effect):
    order: int
    invoker: str
    model: str
    copies: int
    time_out: float


class SendUnload(_Effect):
    invoker: str
    model: str


class SendProbe(_Effect):
    """A health check, or the question how many copies of `model` stand at the invoker, where one is named."""

    probe: int
    invoker: str
    time_out: float
    model: str = ""


class CloseIdle(_Effect):
    invoker: str


class SendMessage(_Effect):
    """Send a message to a peer; `peer` None means all peers."""

    peer: int | None
    payload: bytes


class SubscribeRoster(_Effect):
    active: bool


class FetchRoster(_Effect):
    pass


class Known(msgspec.Struct, array_like=True):
    """One belief of the module; `own` if it is based on an answer that this controller received itself."""

    invoker: str
    boot: str
    model: str
    copies: int
    lanes: int
    age: float
    own: bool


class BeliefsGiven(_Effect):
    token: int
    known: list[Known]


class WakeAt(_Effect):
    """Pass in `Woke` at this time. Replaces the previously requested wake-up."""

    at: float


class Note(_Effect):
    """A log entry. `fault` marks an error of the decision module or of the recording."""

    text: str
    fault: bool = False
    call: str = ""


Effect = (
    SendForward
    | Recall
    | AnswerReturned
    | StreamBegun
    | StreamEnded
    | AnswerShed
    | AnswerFailed
    | Rejected
    | SendOrder
    | SendUnload
    | SendProbe
    | CloseIdle
    | SendMessage
    | SubscribeRoster
    | FetchRoster
    | BeliefsGiven
    | WakeAt
    | Note
)
