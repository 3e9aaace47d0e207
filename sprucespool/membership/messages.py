"""What members say to each other, and what a view tells its users. Plain data; times are float milliseconds."""

from __future__ import annotations

from dataclasses import dataclass, field

from sprucespool.membership.rows import Row, Seat

# ping, ack, nack (a helper's word that it tried), ask (check `seat` for me), join, digest (marks of all buckets), rows
# (all of mine in `buckets`; answer with what you have beyond), extra (that answer), urgent (news to be passed on to
# `pass_on` at once), moved (who you look for is not here: I am), lend, lent, freed (see shares).
KINDS = ("ping", "ack", "nack", "ask", "join", "digest", "rows", "extra", "urgent", "moved", "lend", "lent", "freed")


# Events after which others are there than before, or not for sure.
PRESENCE_KINDS = ("joined", "left", "died", "restarted", "suspected", "cleared")


@dataclass(frozen=True, slots=True)
class Message:
    """`sender` is the sender's own row. `to`: name and start of whom it is meant for, start 0 for whoever has the
    name, no name for whoever is there. `number` joins an answer to its question."""

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
    """Send `message` to the address `to`. Nobody waits for it to arrive."""

    to: str
    message: Message


@dataclass(frozen=True, slots=True)
class Event:
    """`kind`: joined, suspected, cleared, died, left, restarted, changed; and of this member itself or of others'
    conduct: isolated, answered, stalled, renumbered, twin, distrusted, refused. `epoch` numbers the events."""

    kind: str
    at: float
    epoch: int
    row: Row | None = None
    by: tuple[str, ...] = ()
    why: str = ""


@dataclass(slots=True)
class Tally:
    said: int = 0
    heard: int = 0
    suspected: int = 0
    cleared: int = 0
    died: int = 0
    refuted: int = 0
    distrusted: int = 0
    refused: dict[str, int] = field(default_factory=dict)
