"""Which failures of system calls pass by themselves, so that a later try may succeed."""

from __future__ import annotations

import errno

# A limit of this process or machine was met: nothing is wrong with the peer.
EXHAUSTED = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM})
# Those, and what Linux reports of an address or a route that is missing for a moment.
TRANSIENT_ERRORS = EXHAUSTED | {errno.EADDRNOTAVAIL, errno.ENETUNREACH, errno.ENETDOWN, errno.EAGAIN, errno.EINTR}
# Seconds before a call that failed in such a way is tried again.
TRANSIENT_RETRY_SECONDS = 0.02
