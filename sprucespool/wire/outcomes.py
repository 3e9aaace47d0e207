"""What gRPC statuses mean, from invokers and to clients, in one table (shown in docs/operate/running.md)."""

from __future__ import annotations

from sprucespool import interface as it
from sprucespool.grpc.status import Metadata, Status
from sprucespool.wire import names

FOUND_BY_TRAILER = {found.value.replace(" ", "-"): found for found in it.Found}


def of_answer(status: Status, messages: int) -> it.Outcome:
    """The outcome of a forward by the invoker's status. A status proves that an inference did not run only if no result
    was received before it: an invoker that sent a result and then reports "full" did run it."""
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
    """A refused stream, or one above the last stream of a GOAWAY, was never processed (RFC 9113, 6.8 and 8.7)."""
    return it.Outcome.FULL if never_ran and not messages else it.Outcome.RESET


def read_found(trailers: Metadata) -> it.Found:
    return FOUND_BY_TRAILER.get(trailers.get(names.FOUND, ""), it.Found.UNTOLD)


def read_int(trailers: Metadata, name: str) -> int | None:
    """A whole number in the metadata; None if it is missing or malformed."""
    text = trailers.get(name, "")
    return int(text) if text.isascii() and text.isdigit() and len(text) < 10 else None


def read_float(trailers: Metadata, name: str) -> float | None:
    """A number of at least 0 in the metadata; None if it is missing or malformed."""
    try:
        value = float(trailers.get(name, ""))
    except ValueError:
        return None
    return value if 0 <= value < 1e12 else None


def read_controller(metadata: Metadata) -> int:
    """The number that a controller sends with its calls; -1 if there is none."""
    number = read_int(metadata, names.CONTROLLER)
    return -1 if number is None else number


def read_report(trailers: Metadata) -> dict[str, float]:
    """Parses `name=value,...`; entries without a number are ignored."""
    values = {}
    for entry in trailers.get(names.REPORT, "").split(","):
        name, _, text = entry.partition("=")
        try:
            value = float(text)
        except ValueError:
            continue
        if name and abs(value) < 1e12:
            values[name] = value
    return values


def pushback_metadata(retry_after: float) -> Metadata:
    return {names.PUSHBACK: str(max(0, round(retry_after)))}


# Statuses sent to clients. A failure must never use UNAVAILABLE, which clients retry by default: it does not promise
# that the inference did not run.
SHED, FAILED, FAILED_LATE, MALFORMED = (
    Status.RESOURCE_EXHAUSTED,
    Status.UNKNOWN,
    Status.DEADLINE_EXCEEDED,
    Status.INVALID_ARGUMENT,
)
