"""Lines of the wire taken apart into typed fields."""

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
    """A line that the wire page does not allow; the text says what was expected."""


class Fields:
    """The name=value pairs of one line."""

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
        figures = {}
        for part in value.split(",") if value else ():
            key, colon, figure = part.partition(":")
            if not colon or not key:
                raise Malformed(f"expected {name} as NAME:FIGURE,..., got {part!r}")
            figures[key] = _number(f"{name} {key}", figure)
        return figures


class Settings:
    """The path=value pairs of CONFIGURE. Against a typo that only shows when it breaks a rule: a value out of its
    range is refused here, whoever tells it, and one that is absent is never taken for one that can't be read."""

    __slots__ = ("pairs", "inner")

    def __init__(self, pairs: dict[str, str]):
        self.pairs = pairs
        self.inner = {path[:at] for path in pairs for at in range(len(path)) if path[at] == "."}

    def _absent(self, path: str) -> bool:
        if path in self.inner:
            raise Malformed(f"expected {path} as one value, got an object or a list of them")
        return path not in self.pairs

    def text(self, path: str) -> str:
        if self._absent(path):
            raise Malformed(f"expected the setting {path}")
        return self.pairs[path]

    def number(self, path: str, absent: float | None = None, most: float = math.inf, positive: bool = False) -> float:
        if absent is not None and self._absent(path):
            return absent
        value = _number(path, self.text(path))
        if not 0.0 <= value <= most or positive and not value:
            bound = "above 0" if positive else "of at least 0"
            bound += f" and at most {most:g}" if most < math.inf else ""
            raise Malformed(f"expected {path} as a number {bound}, got {value:g}")
        return value

    def whole(self, path: str, least: int = 0) -> int:
        value = self.text(path)
        if not _DIGITS.match(value) or int(value) < least:
            raise Malformed(f"expected {path} as a whole number of at least {least}, got {value!r}")
        return int(value)

    def flag(self, path: str, absent: bool | None = None) -> bool:
        if absent is not None and self._absent(path):
            return absent
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
        value = "" if self._absent(path) else self.pairs[path]
        return value.split(",") if value else []

    def numbers(self, path: str) -> list[float]:
        figures = [_number(path, value) for value in self.names(path)]
        if any(figure < 0.0 for figure in figures):
            raise Malformed(f"expected {path} as numbers of at least 0, got {self.pairs[path]!r}")
        return figures

    def count(self, path: str) -> int:
        return self.whole(f"{path}.count") if f"{path}.count" in self.pairs else 0


def _number(name: str, value: str) -> float:
    try:
        figure = float(value)
    except ValueError:
        figure = math.nan
    if not math.isfinite(figure):
        raise Malformed(f"expected {name} as a number, got {value!r}")
    return figure
