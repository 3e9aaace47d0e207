"""Recorded traffic: converts recorded inputs of controllers to a file of inferences, and adds such a file to a day."""

from __future__ import annotations

from collections.abc import Iterable
from pathlib import Path

import msgspec

from sprucespool.gateway import messages as ms
from sprucespool.gateway.record import batches
from sprucespool.standin.script import Ask, Day

_ASKS = msgspec.json.Decoder(Ask)


def with_recorded(day: Day, folder: Path) -> Day:
    """The day with the inferences of its `recorded` file in `folder` that lie within its length.

    Raises ValueError with the file, the line and the error.
    """
    if day.recorded is None:
        return day
    path, speed, asks = folder / day.recorded.file, day.recorded.speed, list(day.asks)
    try:
        lines = path.read_bytes().splitlines()
    except OSError as error:
        raise ValueError(f"recorded: {path}: {error.strerror or error}") from None
    groups = {group.name for group in day.model_groups}
    for number, line in enumerate(lines, 1):
        if not line.strip():
            continue
        try:
            ask = _ASKS.decode(line)
        except msgspec.DecodeError as error:
            raise ValueError(f"recorded: {path}:{number}: {error}") from None
        if ask.group not in groups:
            raise ValueError(f"recorded: {path}:{number}: no model-group {ask.group!r}")
        if ask.at / speed < day.lasts:
            asks.append(msgspec.structs.replace(ask, at=ask.at / speed))
    return msgspec.structs.replace(day, asks=asks, recorded=None)


def recorded_asks(records: Iterable[Path], work: float) -> list[Ask]:
    """The inferences in the records of controllers, in order of time, starting at 0.

    Retries are omitted, because the clients of a day make their own. `work`: ms of an inference without a cost hint.
    All records must be from one machine, because their clocks are compared. Raises ReplayError, OSError.
    """
    asks = []
    for path in records:
        with open(path, "rb") as source:
            for now, inputs in batches(source):
                asks += [
                    Ask(call.group, now, call.model, call.work or work, call.tenant, call.ttl)
                    for call in inputs
                    if isinstance(call, ms.Call) and not call.repeat
                ]
    first = min((ask.at for ask in asks), default=0.0)
    return sorted(
        (msgspec.structs.replace(ask, at=round(ask.at - first, 3)) for ask in asks),
        key=lambda ask: (ask.at, ask.group, ask.model),
    )


def encode_asks(asks: Iterable[Ask]) -> bytes:
    """The inferences as JSON, one per line."""
    return b"".join(msgspec.json.encode(ask) + b"\n" for ask in asks)
