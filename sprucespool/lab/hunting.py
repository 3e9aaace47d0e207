"""Fault search over many seeds in parallel: what breaks is shrunk and written down as a course that replays."""

from __future__ import annotations

import time
from collections.abc import Callable, Iterator
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from functools import partial
from pathlib import Path

from sprucespool.emulator.hunt import Course, CourseResult, guided_course, play, random_course, shrink
from sprucespool.lab.coursedays import MOST_CONTROLLERS, as_day
from sprucespool.lab.coursedays import played as played_as_day
from sprucespool.lab.defects import BUILDS
from sprucespool.settings import read, write


@dataclass(slots=True)
class Hunted:
    """`tried`: courses until the first that broke something (all, if none did); `seconds` of wall time."""

    build: str
    tried: int
    seconds: float
    first: CourseResult | None = None
    small: CourseResult | None = None
    path: Path | None = None


def played(course: Course, module: bool = False) -> CourseResult:
    """Of a build by its name: so that a course alone says all. `module`: as a day, on the module that decides."""
    if module:
        return played_as_day(course)
    if course.build not in BUILDS:
        raise ValueError(f"build: expected one of {', '.join(BUILDS)}, got {course.build!r}")
    return play(course, BUILDS[course.build])


def _drawn(job: tuple[int, str, int, bool]) -> CourseResult:
    """`most` 0: a guided course."""
    seed, build, most, module = job
    return played(random_course(seed, most, build) if most else guided_course(seed, build), module)


def found_in(build: str, seeds: range, most: int, workers: int, module: bool = False) -> Iterator[CourseResult]:
    """In order of seeds, whichever process ends first; `most` 0: guided courses instead of blind ones."""
    jobs = [(seed, build, most, module) for seed in seeds]
    if workers <= 1:
        yield from map(_drawn, jobs)
        return
    with ProcessPoolExecutor(workers) as pool:
        try:
            yield from pool.map(_drawn, jobs)
        finally:
            pool.shutdown(wait=False, cancel_futures=True)


def hunt(
    build: str,
    seeds: range,
    most: int = 5,
    workers: int = 4,
    folder: Path | None = None,
    progress: Callable[[str], None] = lambda line: None,
    module: bool = False,
) -> Hunted:
    """Until the first course that breaks something. Raises OSError where it can't be written down."""
    begun, tried = time.monotonic(), 0
    for found in found_in(build, seeds, most, workers, module):
        tried += 1
        if not found.broken:
            if tried % 10 == 0:
                progress(f"{build}: {tried} of {len(seeds)} courses, nothing broken")
            continue
        hunted = Hunted(build, tried, time.monotonic() - begun, found, shrink(found, partial(played, module=module)))
        if folder is not None and hunted.small is not None:
            folder.mkdir(parents=True, exist_ok=True)
            hunted.path = folder / f"{build}-{found.course.seed}.kdl"
            hunted.path.write_text(written(hunted.small))
            if hunted.small.course.controllers <= MOST_CONTROLLERS:
                hunted.path.with_suffix(".day.kdl").write_text(as_a_day(hunted.small))
        return hunted
    return Hunted(build, tried, time.monotonic() - begun)


def written(found: CourseResult) -> str:
    """A course as a file, with what it breaks."""
    told = "".join(f"// ({one.which}) {one.what}\n" for one in found.broken[:5])
    return told + write(found.course)


def as_a_day(found: CourseResult) -> str:
    """The same as a day's script, with what the course breaks."""
    told = "".join(f"// ({one.which}) {one.what}\n" for one in found.broken[:5])
    build = f"// Over sockets: sprucespool day --decider {found.course.build}\n" * (found.course.build != "sound")
    return told + build + write(as_day(found.course))


def opened(path: Path) -> Course:
    """Raises OSError, SettingsError with line and expectation."""
    return read(Course, path.read_text(encoding="utf-8"), str(path))
