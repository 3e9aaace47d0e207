"""Messages between controllers about invokers, and the inputs and outputs of a view. Plain data; times in ms."""

from __future__ import annotations

from dataclasses import dataclass

from sprucespool.fleet.records import Listed, Process, Record, Witness

# cargo: piggybacked on the group's messages. push: updates sent at once. marks: the digests of all buckets.
# rows: all records of the sender in `buckets`, to be answered with the records that it lacks. extra: that answer.
KINDS = ("cargo", "push", "marks", "rows", "extra")


@dataclass(frozen=True, slots=True)
class FleetMessage:
    """`address`: where the sender can be reached. `version`: version of its own roster, 0 without a live one."""

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
    """Asks the caller to send the message to the controller at `to`. Delivery is not confirmed."""

    to: str
    message: FleetMessage


@dataclass(frozen=True, slots=True)
class RosterRow:
    """A row of the own roster. `gone`: the roster says that the process has ended. `age`: of the process, if given."""

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
    """The current state of an address. `status`: in service, draining or gone. `born`: when the process started, in
    ms of this controller's clock."""

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
    """Starts (`ill`) or ends a suspicion: other controllers report that they cannot reach the invoker."""

    address: str
    ill: bool
    why: str = ""


@dataclass(frozen=True, slots=True)
class FleetEvent:
    """An event for the log. `kind`: started, draining, gone or unlisted; unreachable, reachable, panic or calm; behind,
    back or contradiction (of rosters); distrusted (a witness)."""

    kind: str
    at: float
    process: Process | None = None
    by: tuple[str, ...] = ()
    why: str = ""
