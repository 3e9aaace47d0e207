"""Logs with one JSON object per line."""

from __future__ import annotations

import logging
import sys
from typing import Any, TextIO

import msgspec
import structlog

LEVELS = {"debug": logging.DEBUG, "info": logging.INFO, "warning": logging.WARNING, "error": logging.ERROR}


class _FaultTolerantFile:
    """A log file whose write errors are ignored: lines that cannot be written are lost, and the process goes on."""

    def __init__(self, file: TextIO):
        self.file = file

    def write(self, text: str) -> None:
        try:
            self.file.write(text)
        except OSError:
            pass

    def flush(self) -> None:
        try:
            self.file.flush()
        except OSError:
            pass


def open_log(level: str, file: str | None, **bound: Any) -> Any:
    """Open a logger that adds `bound` to each line; without `file` it writes to standard error. Raises OSError if the
    file cannot be opened."""
    log_file = _FaultTolerantFile(open(file, "a", buffering=1) if file else sys.stderr)
    encoder = msgspec.json.Encoder(enc_hook=str)
    return structlog.wrap_logger(
        structlog.WriteLogger(log_file),  # type: ignore[arg-type]
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            lambda logger, name, entry: encoder.encode(entry).decode(),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(LEVELS[level]),
        cache_logger_on_first_use=True,
        **bound,
    ).bind(**bound)
