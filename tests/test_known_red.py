"""KNOWN-RED.txt excuses the failures that it names and no others."""

import shutil
import subprocess
import sys
from pathlib import Path

import pytest
from known_red import MAX_ENTRIES

HERE = Path(__file__).parent
SUITE = "def test_good():\n    pass\n\n\ndef test_bad():\n    assert False\n"


def run_suite(folder: Path, known_red: str | None) -> subprocess.CompletedProcess:
    (folder / "tests").mkdir()
    for name in ("conftest.py", "known_red.py"):
        shutil.copy(HERE / name, folder / "tests" / name)
    (folder / "tests" / "test_suite.py").write_text(SUITE)
    (folder / "pytest.ini").write_text("[pytest]\ntestpaths = tests\npythonpath = tests\naddopts = -q -rxX\n")
    if known_red is not None:
        (folder / "KNOWN-RED.txt").write_text(known_red)
    return subprocess.run([sys.executable, "-m", "pytest"], cwd=folder, capture_output=True, text=True, timeout=60)


def entry(test: str = "tests/test_suite.py::test_bad") -> str:
    return f"{test} | the sum is wrong | 7\n"


@pytest.mark.parametrize(
    "known_red, status, expected",
    [
        (None, 1, "1 failed, 1 passed"),
        ("", 1, "1 failed, 1 passed"),
        (entry(), 0, "the sum is wrong (issue 7)"),
        (entry("tests/test_suite.py::test_good"), 1, "1 failed, 1 xpassed"),
        ("tests/test_suite.py::test_bad | no issue\n", 4, "line 1: expected TEST | CAUSE | ISSUE"),
        (entry("tests/test_suite.py::test_none"), 4, "no such test: tests/test_suite.py::test_none"),
        ((MAX_ENTRIES + 1) * entry(), 4, f"expected at most {MAX_ENTRIES} entries, got {MAX_ENTRIES + 1}"),
    ],
)
def test_only_named_failures_are_excused_and_an_invalid_file_fails(tmp_path, known_red, status, expected):
    result = run_suite(tmp_path, known_red)
    assert result.returncode == status and expected in result.stdout + result.stderr
