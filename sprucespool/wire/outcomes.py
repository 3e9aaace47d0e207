"""One table of what statuses mean, towards invokers and towards clients (docs/operate/running.md shows it)."""

from __future__ import annotations

from sprucespool import interface as it
from sprucespool.grpc.status import Metadata, Status
from sprucespool.wire import names

FOUND = {found.value.replace(" ", "-"): found for found in it.Found}


def of_answer(status: Status, messages: int) -> it.Outcome:
    """What an invoker's status says of a forward. A status that proves not run does so only where no result came
    before it: one that ran and then said "full" has run."""
    if status is Status.OK:
        return it.Outcome.RETURNED if messages else it.Outcome.ERROR
    if not messages and status is Status.NOT_FOUND:
        return it.Outcome.MISS
    if not messages and status is Status.RESOURCE_EXHAUSTED:
        return it.Outcome.FULL
    if status is Status.DEADLINE_EXCEEDED:
        return it.Outcome.TIMED_OUT
    return it.Outcome.ERROR


def of_reset(never_ran: bool, messages: int) -> it.Outcome:
    """A refused stream, or one above the last of a GOAWAY, was never looked at (RFC 9113, 6.8 and 8.7)."""
    return it.Outcome.FULL if never_ran and not messages else it.Outcome.RESET


def read_found(trailers: Metadata) -> it.Found:
    return FOUND.get(trailers.get(names.FOUND, ""), it.Found.UNTOLD)


def read_int(trailers: Metadata, name: str) -> int | None:
    """A number an invoker told; None where it told none or nonsense."""
    text = trailers.get(name, "")
    return int(text) if text.isascii() and text.isdigit() and len(text) < 10 else None


def read_float(trailers: Metadata, name: str) -> float | None:
    """A figure of 0 or more that an invoker told; None where it told none or nonsense."""
    try:
        value = float(trailers.get(name, ""))
    except ValueError:
        return None
    return value if 0 <= value < 1e12 else None


def read_controller(metadata: Metadata) -> int:
    """The number that a controller gives with its calls; -1 where there is none."""
    told = read_int(metadata, names.CONTROLLER)
    return -1 if told is None else told


def read_report(trailers: Metadata) -> dict[str, float]:
    """`name=figure,...`; what is no figure is passed over."""
    figures = {}
    for part in trailers.get(names.REPORT, "").split(","):
        name, _, figure = part.partition("=")
        try:
            value = float(figure)
        except ValueError:
            continue
        if name and abs(value) < 1e12:
            figures[name] = value
    return figures


def pushback_metadata(retry_after: float) -> Metadata:
    return {names.PUSHBACK: str(max(0, round(retry_after)))}


# Towards clients. A failure must never be a code that clients repeat by habit (UNAVAILABLE): it promises nothing.
SHED, FAILED, FAILED_LATE, MALFORMED = (
    Status.RESOURCE_EXHAUSTED,
    Status.UNKNOWN,
    Status.DEADLINE_EXCEEDED,
    Status.INVALID_ARGUMENT,
)
