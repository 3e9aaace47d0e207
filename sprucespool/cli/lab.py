"""`sprucespool lab`: fault search in virtual time, and courses played again."""
from __future__ import annotations

import sys
from pathlib import Path

from rich.console import Console
from rich.table import Table

from sprucespool.emulator.hunt import Course
from sprucespool.lab.defects import BUILDS, DEFECTS
from sprucespool.lab.hunting import Hunted, hunt, played


def _span(text: str) -> range:
    first, dash, last = text.partition("-")
    if not first.isdigit() or dash and not last.isdigit() or int(last or first) < int(first):
        raise ValueError(f"--seeds: expected FIRST-LAST, such as 1-100, got {text!r}")
    return range(int(first), int(last or first) + 1)


def run_hunt(seeds: str, build: str, most: int, workers: int, folder: Path) -> int:
    """Gives the exit status. Raises ValueError on what is no build or span, OSError."""
    span = _span(seeds)
    if build not in (*BUILDS, "all"):
        raise ValueError(f"--build: expected one of {', '.join((*BUILDS, 'all'))}, got {build!r}")
    found = [hunt(name, span, most, workers, folder, lambda line: print(line, file=sys.stderr))
             for name in (DEFECTS if build == "all" else [build])]
    Console(width=140).print(_table(found))
    return int(any(one.build == "sound" and one.small is not None for one in found))


def _table(found: list[Hunted]) -> Table:
    seen = sum(one.small is not None for one in found)
    table = Table(title=f"fault search in virtual time: {seen} of {len(found)} builds broken")
    for name in ("build", "courses", "s", "broken first", "faults, shrunk to", "written to"):
        table.add_column(name)
    for one in found:
        small, first = one.small, one.first
        told = f"({small.broken[0].which}) {small.broken[0].what}"[:70] if small else "nothing"
        faults = f"{len(first.course.faults)}, {len(small.course.faults)}" if first and small else "-"
        table.add_row(one.build, str(one.tried), f"{one.seconds:.0f}", told, faults, str(one.path or "-"))
    return table


def run_replay(course: Course) -> int:
    """Raises ValueError on an unknown build."""
    found = played(course)
    for one in found.broken:
        print(f"({one.which}) at {one.at / 1000:.1f} s: {one.what}")
    print(f"{len(course.faults)} faults, build {course.build}: {len(found.broken)} broken")
    return int(bool(found.broken))
