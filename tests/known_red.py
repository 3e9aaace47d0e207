"""Reads KNOWN-RED.txt, the list of tests that fail because of a known fault that is not fixed yet."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

SEPARATOR = "|"
MAX_ENTRIES = 6


class KnownRedError(ValueError):
    """The file is invalid; the text names the line and what was expected."""


@dataclass(frozen=True, slots=True)
class KnownRed:
    """One failing test: its pytest node id, the cause of its failure and the issue that tracks it."""

    test: str
    cause: str
    issue: str


def read_known_red(path: Path) -> list[KnownRed]:
    """Returns the entries of the file, none if it does not exist. Raises KnownRedError."""
    if not path.exists():
        return []
    entries = []
    for number, line in enumerate(path.read_text().splitlines(), start=1):
        if not line.strip():
            continue
        parts = [part.strip() for part in line.split(SEPARATOR)]
        if len(parts) != 3 or not all(parts):
            raise KnownRedError(f"{path.name} line {number}: expected TEST | CAUSE | ISSUE, got {line!r}")
        entries.append(KnownRed(*parts))
    if len(entries) > MAX_ENTRIES:
        raise KnownRedError(f"{path.name}: expected at most {MAX_ENTRIES} entries, got {len(entries)}")
    return entries


def unknown_tests(entries: list[KnownRed], collected: set[str]) -> list[str]:
    """Returns the names in entries that match no collected test."""
    return [entry.test for entry in entries if entry.test not in collected]
