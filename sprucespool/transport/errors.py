"""Errors of system calls that are transient, so that a retry may succeed, and reports of unexpected errors."""

from __future__ import annotations

import asyncio
import errno

# A resource limit of this process or machine was reached; the peer is not at fault.
RESOURCE_ERRORS = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM})
# Also includes what Linux reports when an address or a route is temporarily missing.
TRANSIENT_ERRORS = RESOURCE_ERRORS | {errno.EADDRNOTAVAIL, errno.ENETUNREACH, errno.ENETDOWN, errno.EAGAIN, errno.EINTR}
# Pause before a system call that failed with a transient error is retried.
TRANSIENT_RETRY_SECONDS = 0.02


def report_unexpected(what: str, error: Exception) -> None:
    """Log an error of this program with its traceback, by the running loop's exception handler.

    For the places that handle one request of many, which must go on with the others.
    """
    asyncio.get_running_loop().call_exception_handler({"message": f"unexpected error: {what}", "exception": error})
