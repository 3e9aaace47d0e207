"""Applies KNOWN-RED.txt: its tests run and their results are printed, but their failures do not fail the suite."""

from __future__ import annotations

from pathlib import Path

import pytest
from known_red import KnownRedError, read_known_red, unknown_tests


@pytest.hookimpl(tryfirst=True)
def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    try:
        entries = read_known_red(Path(config.rootpath) / "KNOWN-RED.txt")
    except KnownRedError as error:
        raise pytest.UsageError(str(error)) from None
    whole_suite = not config.invocation_params.args or not any(
        Path(str(arg).partition("::")[0]).exists() for arg in config.invocation_params.args
    )
    if whole_suite and (unknown := unknown_tests(entries, {item.nodeid for item in items})):
        raise pytest.UsageError(f"KNOWN-RED.txt: no such test: {', '.join(unknown)}")
    reasons = {entry.test: f"{entry.cause} (issue {entry.issue})" for entry in entries}
    for item in items:
        if item.nodeid in reasons:
            item.add_marker(pytest.mark.xfail(reason=reasons[item.nodeid], strict=False))
