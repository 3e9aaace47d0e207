"""What controllers tell each other of the invokers, and what a view tells its user. Plain data; times in ms."""

from __future__ import annotations

from dataclasses import dataclass

from sprucespool.fleet.records import Listed, Process, Record, Witness

# cargo (rides on the group's messages), push (news sent at once), marks (of all buckets), rows (all of mine in
# `buckets`; answer with what you have beyond), extra (that answer).
KINDS = ("cargo", "push", "marks", "rows", "extra")


@dataclass(frozen=True, slots=True)
class FleetMessage:
    """`address`: where the sender is reached. `version`: of its own roster, 0 where it has none that lives."""

    kind: str
    sender: Witness
    address: str
    digest: int
    version: int = 0
    records: tuple[Record, ...] = ()
    bucket_digests: tuple[int, ...] = ()
    buckets: tuple[int, ...] = ()


@dataclass(frozen=True, slots=True)
class Send:
    """Send the note to the controller at `to`. Nobody waits for it to arrive."""

    to: str
    message: FleetMessage


@dataclass(frozen=True, slots=True)
class RosterRow:
    """A row of the own roster. `gone` where it says so of the process; `age` where it tells."""

    process: Process
    listed: Listed = Listed.IN_SERVICE
    gone: bool = False
    zone: str = ""
    kind: str = ""
    cell: str = ""
    size: float = 1.0
    age: float | None = None


@dataclass(frozen=True, slots=True)
class InvokerState:
    """What is to be known of an address from now on. `status`: in service, draining or gone. `born`: when the process
    started, ms of this controller's clock."""

    address: str
    boot: str
    status: str
    zone: str = ""
    kind: str = ""
    cell: str = ""
    size: float = 1.0
    born: float | None = None


@dataclass(frozen=True, slots=True)
class Suspicion:
    """Others cannot reach the invoker, as seen from here (`ill`), or no longer say so."""

    address: str
    ill: bool
    why: str = ""


@dataclass(frozen=True, slots=True)
class FleetEvent:
    """`kind`: started, draining, gone, unlisted; unreachable, reachable, panic, calm; behind, back, contradiction (of
    rosters); distrusted (a witness)."""

    kind: str
    at: float
    process: Process | None = None
    by: tuple[str, ...] = ()
    why: str = ""
