"""What the system allows this process."""

from __future__ import annotations

import resource

from sprucespool.transport.descriptor_budget import UNLIMITED_DESCRIPTORS


def descriptor_limit() -> int:
    """The system's limit on this process's descriptors."""
    limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return UNLIMITED_DESCRIPTORS if limit == resource.RLIM_INFINITY else limit
