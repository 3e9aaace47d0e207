"""What a gateway is fed (inputs) and what it asks for (effects): plain data that can be written down and replayed.

Times are float milliseconds on whatever clock the owner hands in. Ids are the owner's (`call`) or the gateway's own
(`forward`, `order`, `probe`: numbers that are never used twice in its life).
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
    """An inference arrived; `ttl` is what its client still waits."""

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
    # Zones of invokers that it may go to, the first of them first; empty: it is to be shed.
    zones: tuple[str, ...] | None = None
    # For how long it may have waited unread, as through a pause of the process.
    waited: float = 0.0


class Left(_Input):
    """The client of the inference went away."""

    call: str


class FirstResult(_Input):
    """A streamed result began to come in on the forward."""

    forward: int


class ForwardEnded(_Input):
    """`outcome` and `found` are the values of `interface.Outcome` and `interface.Found`."""

    forward: int
    outcome: str
    found: str = "untold"
    load_failed: bool = False
    same_model: int | None = None
    report: dict[str, float] = {}


class Row(msgspec.Struct, array_like=True):
    """One invoker of a roster. `boot` names the process, so that a restart is known whatever clocks say; `age` is
    how long it ran when the row was written, None where nobody tells."""

    invoker: str
    zone: str = ""
    kind: str = ""
    cell: str = ""
    status: str = "in service"
    size: float = 1.0
    boot: str = ""
    age: float | None = None


class Roster(_Input):
    """`kind` is a value of `interface.News`."""

    kind: str
    version: int = 0
    rows: list[Row] = []


class DiscoveryHeard(_Input):
    """All that discovery has to tell was last heard so long ago (ms); None: it is asked, and was not heard yet."""

    age: float | None


class Disconnected(_Input):
    """The invoker ended the last connection to it."""

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
    """Copies of a model at one process of an invoker, as somebody tells of them; `life` ms at the most."""

    invoker: str
    boot: str
    model: str
    copies: int
    lanes: int
    life: float


class Told(_Input):
    """Another's word of what stands where; a claim without life takes an earlier one back."""

    claims: list[Claim]


class BeliefsAsked(_Input):
    token: int


class Sharing(_Input):
    """Controllers that are there, and by how many what they share is to be divided here; infinite: nothing of it."""

    live: int
    sharers: float


class Doubted(_Input):
    """Other controllers cannot reach the invoker (`ill`), or no longer say so."""

    invoker: str
    ill: bool


class Woke(_Input):
    """The time asked for by `WakeAt` has come."""


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
    """`attempt` counts the forwards of the call from 0; `time_out` is watched by the gateway itself."""

    forward: int
    call: str
    invoker: str
    model: str
    time_out: float
    attempt: int
    # When it is too late to begin to write it.
    write_by: float = math.inf


class Recall(_Effect):
    """Nobody waits for this forward any more: cancel it; nothing is to be told of it."""

    forward: int
    call: str
    invoker: str


class AnswerReturned(_Effect):
    """The result that came with the forward is the call's final answer."""

    call: str
    forward: int


class StreamBegun(_Effect):
    """The forward's results belong to the client from now on; its end ends the call."""

    call: str
    forward: int


class StreamEnded(_Effect):
    """The stream came to its end: whole, or broken after it had begun."""

    call: str
    forward: int
    whole: bool


class AnswerShed(_Effect):
    call: str
    retry_after: float


class AnswerFailed(_Effect):
    call: str
    late: bool


class Rejected(_Effect):
    """The call was never taken: what it names is not known here."""

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
    probe: int
    invoker: str
    time_out: float


class CloseIdle(_Effect):
    invoker: str


class SendMessage(_Effect):
    """`peer` None means all of them."""

    peer: int | None
    payload: bytes


class SubscribeRoster(_Effect):
    active: bool


class FetchRoster(_Effect):
    pass


class Known(msgspec.Struct, array_like=True):
    """One belief given out; `own` if it rests on an own answer."""

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
    """Feed `Woke` at this time; replaces the wake-up asked for before."""

    at: float


class Note(_Effect):
    """For the log. `fault` marks what the decision module ought not to have done."""

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
