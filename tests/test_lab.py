"""Fault search in virtual time: replayed courses, a defect that is found and shrunk, error messages of course files."""

import subprocess
import sys

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from sprucespool.emulator.hunt import (
    KINDS,
    KINDS_GUIDED,
    Course,
    CourseResult,
    Fault,
    guided_course,
    play,
    random_course,
    shrink,
)
from sprucespool.judge.group import BrokenInvariant
from sprucespool.lab.coursedays import as_day
from sprucespool.lab.hunting import hunt, load_course, run_course
from sprucespool.settings import read, write
from sprucespool.standin.schedule import schedule
from sprucespool.standin.script import Day


def lab_command(*arguments):
    return subprocess.run(
        [sys.executable, "-m", "sprucespool.cli.main", "lab", *map(str, arguments)],
        capture_output=True,
        text=True,
        timeout=120,
    )


def test_a_course_is_deterministic_and_the_sound_build_breaks_no_invariant():
    first, again, other = (play(random_course(seed), after=46_000.0) for seed in (8, 8, 3))
    assert first == again and first.events > 10_000 and other.events != first.events
    assert first.broken == [] and other.broken == []


def test_random_courses_end_in_time_and_contain_every_kind_of_fault():
    courses = [random_course(seed) for seed in range(200)]
    assert {fault.kind for course in courses for fault in course.faults} == set(KINDS)
    assert all(fault.at + fault.lasts <= 26_000.0 for course in courses for fault in course.faults)
    assert len({str(course.faults) for course in courses}) == 200


def test_a_seeded_defect_is_found_shrunk_written_and_replayed(tmp_path):
    found = hunt("failover-a", range(5, 6), workers=1, folder=tmp_path)
    assert found.small is not None and found.first is not None and found.path is not None
    assert len(found.small.course.faults) <= len(found.first.course.faults)
    assert "failover a" in found.small.which
    course = load_course(found.path)
    assert course == found.small.course and run_course(course).broken == found.small.broken
    replay = lab_command("replay", found.path)
    assert replay.returncode == 1 and "(failover a) at" in replay.stdout


def test_guided_courses_find_defects_and_the_sound_build_passes_them():
    """Cases: ends that few controllers learn of, a leader with only its own vote, a plan that nobody renews."""
    assert "fleet c" in run_course(guided_course(1, "fleet-b")).which
    assert "failover a" in run_course(guided_course(2, "council-minority")).which
    assert "failover g" in run_course(guided_course(4, "council-endless")).which
    assert all(run_course(guided_course(seed)).broken == [] for seed in (1, 2, 4))
    assert all(fault.at + fault.lasts <= 26_000.0 for seed in range(100) for fault in guided_course(seed).faults)


@settings(max_examples=100, deadline=None, derandomize=True, database=None)
@given(st.integers(1, 6), st.sets(st.integers(0, 5), min_size=1, max_size=3), st.integers(1, 10_000))
def test_a_shrunk_course_still_breaks_and_keeps_only_the_needed_faults(fault_count, needed, min_lasts):
    """Uses a fake world that breaks if the course has all needed faults and each of them lasts long enough."""
    fault_count = max(fault_count, max(needed) + 1)
    faults = [Fault("rising", 1_000.0 * n, 12_000.0, f"z{n % 3}") for n in range(fault_count)]
    wanted = {1_000.0 * n for n in needed}

    def replay(course):
        present = {fault.at for fault in course.faults if fault.lasts >= min_lasts}
        return CourseResult(course, [BrokenInvariant("x", 0.0, "")] if wanted <= present else [])

    small = shrink(replay(Course(faults=faults)), replay)
    assert {fault.at for fault in small.course.faults} == wanted and small.broken
    assert all(fault.lasts < 2 * max(min_lasts, 1_000.0) + 200.0 for fault in small.course.faults)


BAD = {
    'fault "kil" at="1s" lasts="1s"': "expected one of hang, hold",
    'fault "kill" at="1s" lasts="0s" who="c1"': "lasts above 0",
    'fault "kill" at="1s" lasts="1s" who="c99"': "no controller 'c99'",
    'fault "hang" at="1s" lasts="1s" zone="z9"': "no zone 'z9'",
    "controllers 2": "expected 3 to 1000 controllers",
    'fualt "kill" at="1s" lasts="1s"': "fualt",
}


@pytest.mark.parametrize("line", BAD)
def test_a_course_with_a_typo_is_rejected_with_the_line_and_what_was_expected(tmp_path, line):
    path = tmp_path / "course.kdl"
    path.write_text(f"seed 1\n{line}\n")
    found = lab_command("replay", path)
    assert (
        found.returncode == 2
        and len(found.stderr.splitlines()) == 1
        and BAD[line].replace("hang, hold", "") in found.stderr
    ), found.stderr
    assert "course.kdl" in found.stderr


def test_unknown_builds_malformed_seeds_and_an_unusable_folder_are_rejected(tmp_path):
    unknown = lab_command("hunt", "--build", "oracle")
    assert unknown.returncode == 2 and "expected one of sound" in unknown.stderr
    span = lab_command("hunt", "--seeds", "5-1")
    assert span.returncode == 2 and "expected FIRST-LAST" in span.stderr
    with pytest.raises(ValueError, match="build: expected one of sound"):
        run_course(msgspec.structs.replace(random_course(1), build="oracle"))
    (tmp_path / "file").write_text("")
    with pytest.raises(OSError):
        hunt("failover-e", range(1, 3), workers=1, folder=tmp_path / "file")


def test_a_course_converted_to_a_day_runs_on_the_module_and_can_be_read_back(tmp_path):
    course = random_course(5)
    day = as_day(course)
    assert read(Day, write(day), "day") == day and {one.kind for one in day.troubles} == {"hang", "controller-restart"}
    assert [one.what for one in day.troubles if one.at == day.troubles[-1].at] and day.lasts > 50_000.0
    found = run_course(msgspec.structs.replace(course, faults=course.faults[:1]), module=True)
    assert found.broken == [] and found.events > 10_000
    for kind, location in LOCATIONS_BY_KIND.items():
        fault = Fault(kind, 6_000.0, 5_000.0, *location)
        converted = as_day(Course(faults=[fault]))
        assert (
            read(Day, write(converted), kind) == converted and schedule(converted).steps or schedule(converted).faults
        )
    with pytest.raises(ValueError, match="at most 32 in a day, got 300"):
        as_day(Course(controllers=300, invokers=120))
    with pytest.raises(ValueError, match="build: expected one of sound, broken-1"):
        run_course(Course(build="group-a"), module=True)


LOCATIONS_BY_KIND = {
    kind: ("z1", "") if "`zone`" in what else ("", "c1,c2") if "`who`" in what else ("", "")
    for kind, what in {**KINDS, **KINDS_GUIDED}.items()
}


def test_a_module_without_a_guard_is_found_and_written_as_a_day(tmp_path):
    found = hunt("broken-2", range(5, 9), 5, 1, tmp_path, module=True)
    assert found.small is not None and {one.which for one in found.small.broken} & {"rule 2"}
    written = found.path.with_suffix(".day.kdl").read_text()
    assert "--decider broken-2" in written and read(Day, written, "day").name.startswith("broken-2")
