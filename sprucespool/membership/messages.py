"""Messages between members and events for the users of the view. Plain data; times are float milliseconds."""

from __future__ import annotations

from dataclasses import dataclass, field

from sprucespool.membership.rows import Row, Seat

# ping, ack, nack (a helper tried and got no answer yet), ask (a request to check `seat` for the sender), join, digest
# (the marks of all buckets), rows (all rows of the sender in `buckets`; the receiver answers with its newer ones),
# extra (that answer), urgent (an update to be forwarded to `pass_on` at once), moved (another member now has this
# address), lend, lent, freed (see shares.py). The order is encoded.
KINDS = ("ping", "ack", "nack", "ask", "join", "digest", "rows", "extra", "urgent", "moved", "lend", "lent", "freed")


# Kinds of events that change which members are present, or how certain that is.
PRESENCE_KINDS = ("joined", "left", "died", "restarted", "suspected", "cleared")


@dataclass(frozen=True, slots=True)
class Message:
    """`sender` is the sender's own row. `to`: name and start of the addressed process; start 0 stands for any process
    of that name, an empty name for any process at the address. `number` matches an answer to its request."""

    kind: str
    sender: Row
    to: tuple[str, int] = ("", 0)
    number: int = 0
    seat: Seat = ("", "")
    rows: tuple[Row, ...] = ()
    marks: tuple[int, ...] = ()
    buckets: tuple[int, ...] = ()
    pass_on: tuple[Seat, ...] = ()
    figure: float = 0.0


@dataclass(frozen=True, slots=True)
class Outgoing:
    """Send `message` to the address `to`, without waiting for delivery."""

    to: str
    message: Message


@dataclass(frozen=True, slots=True)
class Event:
    """`kind` is joined, suspected, cleared, died, left, restarted or changed; about this member itself or about invalid
    reports of others also isolated, answered, stalled, renumbered, twin, distrusted and refused. `epoch` numbers the
    events."""

    kind: str
    at: float
    epoch: int
    row: Row | None = None
    by: tuple[str, ...] = ()
    why: str = ""


@dataclass(slots=True)
class Tally:
    """Counters that the view shows."""

    said: int = 0
    heard: int = 0
    suspected: int = 0
    cleared: int = 0
    died: int = 0
    refuted: int = 0
    distrusted: int = 0
    refused: dict[str, int] = field(default_factory=dict)
