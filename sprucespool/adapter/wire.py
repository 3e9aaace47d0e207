"""Parses lines of the wire protocol into typed fields."""

from __future__ import annotations

import math
import re

from sprucespool.interface import Outcome, Status

OUTCOMES = {
    "200": Outcome.RETURNED,
    "502": Outcome.ERROR,
    "429": Outcome.FULL,
    "408": Outcome.TIMED_OUT,
    "521": Outcome.UNCONNECTED,
    "520": Outcome.RESET,
    "444": Outcome.CALLED_OFF,
    "409": Outcome.NOT_SENT,
    "204": Outcome.MISS,
}
STATUSES = {"in_service": Status.IN_SERVICE, "terminating": Status.DRAINING, "terminated": Status.GONE}
_DIGITS = re.compile(r"[0-9]+\Z")


class Malformed(Exception):
    """A line violates the wire protocol. The message says what was expected."""


class Fields:
    """The kind and the name=value pairs of one line. Getters raise Malformed for missing or invalid values."""

    __slots__ = ("kind", "pairs")

    def __init__(self, line: str):
        self.kind, _, rest = line.partition(" ")
        self.pairs: dict[str, str] = {}
        for part in rest.split(" ") if rest else ():
            name, equals, value = part.partition("=")
            if not equals or not name:
                raise Malformed(f"expected name=value, got {part!r}")
            if name in self.pairs:
                raise Malformed(f"expected {name} once")
            self.pairs[name] = value

    def text(self, name: str) -> str:
        value = self.pairs.get(name)
        if not value:
            raise Malformed(f"expected {name}=TEXT")
        return value

    def optional(self, name: str) -> str | None:
        return self.pairs.get(name) or None

    def number(self, name: str) -> float:
        return _number(name, self.text(name))

    def optional_number(self, name: str) -> float | None:
        return _number(name, self.pairs[name]) if self.pairs.get(name) else None

    def whole(self, name: str) -> int:
        value = self.text(name)
        if not _DIGITS.match(value):
            raise Malformed(f"expected {name} as a whole number, got {value!r}")
        return int(value)

    def optional_whole(self, name: str) -> int | None:
        return self.whole(name) if self.pairs.get(name) else None

    def flag(self, name: str) -> bool:
        value = self.pairs.get(name, "0")
        if value not in ("0", "1", "false", "true"):
            raise Malformed(f"expected {name} as 1 or 0, got {value!r}")
        return value in ("1", "true")

    def one_of(self, name: str, table: dict):
        value = self.text(name)
        if value not in table:
            raise Malformed(f"expected {name} as one of {', '.join(table)}, got {value!r}")
        return table[value]

    def octets(self, name: str) -> bytes:
        value = self.text(name)
        try:
            return b"" if value == "-" else bytes.fromhex(value)
        except ValueError:
            raise Malformed(f"expected {name} as hex digits, got {value!r}") from None

    def report(self, name: str) -> dict[str, float]:
        value = self.pairs.get(name)
        values = {}
        for part in value.split(",") if value else ():
            key, colon, number = part.partition(":")
            if not colon or not key:
                raise Malformed(f"expected {name} as NAME:FIGURE,..., got {part!r}")
            values[key] = _number(f"{name} {key}", number)
        return values


class Settings:
    """The path=value pairs of CONFIGURE.

    Every value is checked against its range here, whatever its source, and an unreadable value is never treated as an
    absent one. Otherwise a typo would only show when it leads to a broken rule.
    """

    __slots__ = ("pairs", "inner")

    def __init__(self, pairs: dict[str, str]):
        self.pairs = pairs
        self.inner = {path[:at] for path in pairs for at in range(len(path)) if path[at] == "."}

    def _is_absent(self, path: str) -> bool:
        if path in self.inner:
            raise Malformed(f"expected {path} as one value, got an object or a list of them")
        return path not in self.pairs

    def text(self, path: str) -> str:
        if self._is_absent(path):
            raise Malformed(f"expected the setting {path}")
        return self.pairs[path]

    def number(
        self, path: str, default: float | None = None, max_value: float = math.inf, positive: bool = False
    ) -> float:
        if default is not None and self._is_absent(path):
            return default
        value = _number(path, self.text(path))
        if not 0.0 <= value <= max_value or positive and not value:
            bound = "above 0" if positive else "of at least 0"
            bound += f" and at most {max_value:g}" if max_value < math.inf else ""
            raise Malformed(f"expected {path} as a number {bound}, got {value:g}")
        return value

    def whole(self, path: str, min_value: int = 0) -> int:
        value = self.text(path)
        if not _DIGITS.match(value) or int(value) < min_value:
            raise Malformed(f"expected {path} as a whole number of at least {min_value}, got {value!r}")
        return int(value)

    def flag(self, path: str, default: bool | None = None) -> bool:
        if default is not None and self._is_absent(path):
            return default
        value = self.text(path)
        if value not in ("true", "false", "1", "0"):
            raise Malformed(f"expected {path} as true or false, got {value!r}")
        return value in ("true", "1")

    def one_of(self, path: str, table: dict):
        value = self.text(path)
        if value not in table:
            raise Malformed(f"expected {path} as one of {', '.join(table)}, got {value!r}")
        return table[value]

    def names(self, path: str) -> list[str]:
        value = "" if self._is_absent(path) else self.pairs[path]
        return value.split(",") if value else []

    def numbers(self, path: str) -> list[float]:
        values = [_number(path, value) for value in self.names(path)]
        if any(number < 0.0 for number in values):
            raise Malformed(f"expected {path} as numbers of at least 0, got {self.pairs[path]!r}")
        return values

    def count(self, path: str) -> int:
        return self.whole(f"{path}.count") if f"{path}.count" in self.pairs else 0


def _number(name: str, value: str) -> float:
    try:
        number = float(value)
    except ValueError:
        number = math.nan
    if not math.isfinite(number):
        raise Malformed(f"expected {name} as a number, got {value!r}")
    return number
