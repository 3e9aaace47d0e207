"""Errors of system calls that are transient, so that a retry may succeed."""

from __future__ import annotations

import errno

# A resource limit of this process or machine was reached; the peer is not at fault.
RESOURCE_ERRORS = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM})
# Also includes what Linux reports when an address or a route is temporarily missing.
TRANSIENT_ERRORS = RESOURCE_ERRORS | {errno.EADDRNOTAVAIL, errno.ENETUNREACH, errno.ENETDOWN, errno.EAGAIN, errno.EINTR}
# Pause before a system call that failed with a transient error is retried.
TRANSIENT_RETRY_SECONDS = 0.02
