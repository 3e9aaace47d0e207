"""The controller's configuration file: JSON, with the simulator's settings as nested objects."""

from __future__ import annotations

import zlib
from dataclasses import dataclass
from typing import Any

import msgspec

from sprucespool import interface as it
from sprucespool.adapter.translator import deployment
from sprucespool.adapter.wire import Malformed, Settings
from sprucespool.links import address


class ConfigurationError(ValueError):
    """The file can't be used; the text names the place and what was expected."""


@dataclass(frozen=True, slots=True)
class Configuration:
    name: str
    host: str
    port: int
    seed: int
    memory_mb: float
    sockets: int
    channel_host: str
    channel_port: int
    cursor: int
    commands: list[Any]
    deployment: it.Deployment
    idle_close: float
    streams: int


def flat(settings: dict[str, Any]) -> dict[str, str]:
    """Nested settings as the path=value pairs of the simulator's wire, which have one reading already."""
    pairs: dict[str, str] = {}

    def put(path: str, value: Any):
        if isinstance(value, dict):
            for name, inner in value.items():
                put(f"{path}.{name}" if path else name, inner)
        elif isinstance(value, list) and any(isinstance(inner, dict) for inner in value):
            pairs[f"{path}.count"] = str(len(value))
            for number, inner in enumerate(value):
                put(f"{path}.{number}", inner)
        elif isinstance(value, list):
            pairs[path] = ",".join(plain(inner).replace(",", "_") for inner in value)
        elif value is not None:
            pairs[path] = plain(value)

    def plain(value: Any) -> str:
        return ("true" if value else "false") if isinstance(value, bool) else str(value)

    put("", settings)
    return pairs


def _seed(value: Any) -> int:
    try:
        return int(value, 16) if isinstance(value, str) else int(value)
    except (TypeError, ValueError):
        return zlib.crc32(str(value).encode())


def read(data: bytes) -> Configuration:
    """Raises ConfigurationError with what was expected."""
    try:
        told = msgspec.json.decode(data)
    except msgspec.DecodeError as problem:
        raise ConfigurationError(f"expected JSON: {problem}") from None
    if not isinstance(told, dict):
        raise ConfigurationError("expected a JSON object")

    def inside(whole: dict, name: str, kind: type, place: str) -> Any:
        value = whole.get(name)
        if not isinstance(value, kind):
            raise ConfigurationError(f"expected {place} as {kind.__name__}, got {value!r:.60}")
        return value

    def place(name: str) -> tuple[str, int]:
        try:
            return address(inside(told, name, str, name))
        except ValueError as problem:
            raise ConfigurationError(f"{name}: {problem}") from None

    def limit(name: str, least: float, absent: float) -> float:
        value = limits.get(name, absent)
        if isinstance(value, bool) or not isinstance(value, int | float) or not value >= least:
            raise ConfigurationError(f"expected limits.{name} as a number of at least {least:g}, got {value!r}")
        return float(value)

    settings = inside(told, "settings", dict, "settings")
    limits = inside(told, "limits", dict, "limits")
    known = inside(told, "known", dict, "known")
    cursor = inside(known, "cursor", int, "known.cursor")
    commands = inside(known, "cmds", list, "known.cmds")
    pairs = Settings(flat(settings))
    try:
        dep = deployment(pairs)
        idle, streams = pairs.number("ceilings.idleClose", 0.0), pairs.number("ceilings.streamsPerConn", 0.0)
    except Malformed as problem:
        raise ConfigurationError(f"settings: {problem}") from None
    return Configuration(
        str(told.get("name", "")),
        *place("listen"),
        _seed(told.get("seed")),
        limit("memory_mb", 1.0, 1e9),
        int(limit("sockets", 32.0, 1024.0)),
        *place("channel"),
        cursor,
        commands,
        dep,
        idle or 15_000.0,
        int(streams) or 100,
    )
