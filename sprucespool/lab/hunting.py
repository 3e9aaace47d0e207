"""Fault search over many seeds in parallel; a failing course is shrunk and written to a file that can be replayed."""

from __future__ import annotations

import time
from collections.abc import Callable, Iterator
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from functools import partial
from pathlib import Path

from sprucespool.emulator.hunt import Course, CourseResult, guided_course, play, random_course, shrink
from sprucespool.lab.coursedays import MAX_CONTROLLERS, as_day
from sprucespool.lab.coursedays import run_course as run_course_as_day
from sprucespool.lab.defects import BUILDS
from sprucespool.settings import read, write


@dataclass(slots=True)
class HuntResult:
    """`tried` is the number of courses up to the first that broke something, or of all if none did; `seconds` is wall
    time."""

    build: str
    tried: int
    seconds: float
    first: CourseResult | None = None
    small: CourseResult | None = None
    path: Path | None = None


def run_course(course: Course, module: bool = False) -> CourseResult:
    """Runs a course on the build that it names. With `module`, runs it as a day on the decision module."""
    if module:
        return run_course_as_day(course)
    if course.build not in BUILDS:
        raise ValueError(f"build: expected one of {', '.join(BUILDS)}, got {course.build!r}")
    return play(course, BUILDS[course.build])


def _run_seed(job: tuple[int, str, int, bool]) -> CourseResult:
    """Draws and runs the course of a seed: a guided one if `most` is 0."""
    seed, build, most, module = job
    return run_course(random_course(seed, most, build) if most else guided_course(seed, build), module)


def search(build: str, seeds: range, most: int, workers: int, module: bool = False) -> Iterator[CourseResult]:
    """Yields results in the order of the seeds. With `most` 0, runs guided courses instead of random ones."""
    jobs = [(seed, build, most, module) for seed in seeds]
    if workers <= 1:
        yield from map(_run_seed, jobs)
        return
    with ProcessPoolExecutor(workers) as pool:
        try:
            yield from pool.map(_run_seed, jobs)
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
) -> HuntResult:
    """Runs courses until one breaks something. Raises OSError if that one cannot be written to `folder`."""
    started_at, tried = time.monotonic(), 0
    for found in search(build, seeds, most, workers, module):
        tried += 1
        if not found.broken:
            if tried % 10 == 0:
                progress(f"{build}: {tried} of {len(seeds)} courses, nothing broken")
            continue
        result = HuntResult(
            build, tried, time.monotonic() - started_at, found, shrink(found, partial(run_course, module=module))
        )
        if folder is not None and result.small is not None:
            folder.mkdir(parents=True, exist_ok=True)
            result.path = folder / f"{build}-{found.course.seed}.kdl"
            result.path.write_text(course_text(result.small))
            if result.small.course.controllers <= MAX_CONTROLLERS:
                result.path.with_suffix(".day.kdl").write_text(day_text(result.small))
        return result
    return HuntResult(build, tried, time.monotonic() - started_at)


def course_text(found: CourseResult) -> str:
    """The text of a course file, with the broken invariants as comments."""
    comments = "".join(f"// ({broken.which}) {broken.what}\n" for broken in found.broken[:5])
    return comments + write(found.course)


def day_text(found: CourseResult) -> str:
    """The course as a day's script, with the broken invariants as comments."""
    comments = "".join(f"// ({broken.which}) {broken.what}\n" for broken in found.broken[:5])
    build = f"// Over sockets: sprucespool day --decider {found.course.build}\n" * (found.course.build != "sound")
    return comments + build + write(as_day(found.course))


def load_course(path: Path) -> Course:
    """Reads a course file. Raises OSError, and SettingsError with the line and what was expected."""
    return read(Course, path.read_text(encoding="utf-8"), str(path))
