"""The configuration file of the controller: JSON, with the settings of the simulator as nested objects."""

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
    """The file is invalid; the message names the place and what was expected."""


@dataclass(frozen=True, slots=True)
class Configuration:
    """A configuration file that was read and checked."""

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


def flatten(settings: dict[str, Any]) -> dict[str, str]:
    """Convert nested settings to the path=value pairs of the simulator's protocol, which have a parser already."""
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
    """Parse a configuration file. Raises ConfigurationError with what was expected."""
    try:
        decoded = msgspec.json.decode(data)
    except msgspec.DecodeError as error:
        raise ConfigurationError(f"expected JSON: {error}") from None
    if not isinstance(decoded, dict):
        raise ConfigurationError("expected a JSON object")

    def typed_value(whole: dict, name: str, kind: type, place: str) -> Any:
        value = whole.get(name)
        if not isinstance(value, kind):
            raise ConfigurationError(f"expected {place} as {kind.__name__}, got {value!r:.60}")
        return value

    def address_of(name: str) -> tuple[str, int]:
        try:
            return address(typed_value(decoded, name, str, name))
        except ValueError as error:
            raise ConfigurationError(f"{name}: {error}") from None

    def limit(name: str, minimum: float, default: float) -> float:
        value = limits.get(name, default)
        if isinstance(value, bool) or not isinstance(value, int | float) or not value >= minimum:
            raise ConfigurationError(f"expected limits.{name} as a number of at least {minimum:g}, got {value!r}")
        return float(value)

    settings = typed_value(decoded, "settings", dict, "settings")
    limits = typed_value(decoded, "limits", dict, "limits")
    known = typed_value(decoded, "known", dict, "known")
    cursor = typed_value(known, "cursor", int, "known.cursor")
    commands = typed_value(known, "cmds", list, "known.cmds")
    pairs = Settings(flatten(settings))
    try:
        parsed = deployment(pairs)
        idle_close_ms, streams = pairs.number("ceilings.idleClose", 0.0), pairs.number("ceilings.streamsPerConn", 0.0)
    except Malformed as error:
        raise ConfigurationError(f"settings: {error}") from None
    return Configuration(
        str(decoded.get("name", "")),
        *address_of("listen"),
        _seed(decoded.get("seed")),
        limit("memory_mb", 1.0, 1e9),
        int(limit("sockets", 32.0, 1024.0)),
        *address_of("channel"),
        cursor,
        commands,
        parsed,
        idle_close_ms or 15_000.0,
        int(streams) or 100,
    )
