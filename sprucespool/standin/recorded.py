"""Recorded traffic: what controllers wrote down of their inputs as a file of inferences, and such a file into a day."""

from __future__ import annotations

from collections.abc import Iterable
from pathlib import Path

import msgspec

from sprucespool.gateway import messages as ms
from sprucespool.gateway.record import batches
from sprucespool.standin.script import Ask, Day

_ASKS = msgspec.json.Decoder(Ask)


def with_recorded(day: Day, folder: Path) -> Day:
    """The day with the inferences of its `recorded` file, found in `folder`, those within its length. Raises ValueError
    with file, line and what was expected."""
    if day.recorded is None:
        return day
    path, speed, asks = folder / day.recorded.file, day.recorded.speed, list(day.asks)
    try:
        lines = path.read_bytes().splitlines()
    except OSError as problem:
        raise ValueError(f"recorded: {path}: {problem.strerror or problem}") from None
    groups = {group.name for group in day.model_groups}
    for number, line in enumerate(lines, 1):
        if not line.strip():
            continue
        try:
            ask = _ASKS.decode(line)
        except msgspec.DecodeError as problem:
            raise ValueError(f"recorded: {path}:{number}: {problem}") from None
        if ask.group not in groups:
            raise ValueError(f"recorded: {path}:{number}: no model-group {ask.group!r}")
        if ask.at / speed < day.lasts:
            asks.append(msgspec.structs.replace(ask, at=ask.at / speed))
    return msgspec.structs.replace(day, asks=asks, recorded=None)


def recorded_asks(records: Iterable[Path], work: float) -> list[Ask]:
    """What the controllers that wrote these records were asked, in order of time from the first on; repeats are left
    out, as clients of a day make their own. `work`: ms of one whose client gave no hint. Clocks are those of one
    machine. Raises ReplayError, OSError."""
    found = []
    for path in records:
        with open(path, "rb") as source:
            for now, inputs in batches(source):
                found += [
                    Ask(one.group, now, one.model, one.work or work, one.tenant, one.ttl)
                    for one in inputs
                    if isinstance(one, ms.Call) and not one.repeat
                ]
    first = min((ask.at for ask in found), default=0.0)
    return sorted(
        (msgspec.structs.replace(ask, at=round(ask.at - first, 3)) for ask in found),
        key=lambda ask: (ask.at, ask.group, ask.model),
    )


def encode_asks(asks: Iterable[Ask]) -> bytes:
    """A line each."""
    return b"".join(msgspec.json.encode(ask) + b"\n" for ask in asks)
