"""Own part of what tenants may ask for."""

from __future__ import annotations

from sprucespool.interface import Inference, Tenant

# The least that a bucket holds, in requests: or chance would empty it.
LEAST_BUCKET = 10.0
UNLIMITED = 1e9


class TenantShares:
    """A bucket of one second for each tenant. Times are milliseconds."""

    def __init__(self) -> None:
        self._buckets: dict[Tenant | None, tuple[float, float]] = {}

    def is_beyond(self, request: Inference, now: float, sharers: float) -> bool:
        """Whether the request goes beyond its tenant's share. A repeat takes nothing, or what was shed would be shed
        again."""
        tenant = request.tenant
        part = tenant.quota_per_s / sharers if tenant else UNLIMITED
        most = max(part, LEAST_BUCKET)
        level, at = self._buckets.get(tenant, (most, now))
        level = min(most, level + part * (now - at) / 1000.0) - (not request.repeat)
        level = max(-1.0, level)
        self._buckets[tenant] = level, now
        return level < 0.0
