"""This controller's share of the tenants' quotas."""

from __future__ import annotations

from sprucespool.interface import Inference, Tenant

# Minimum size of a bucket; a smaller one would be emptied by random variation alone.
MIN_BUCKET_REQUESTS = 10.0
# Share of requests without a tenant.
UNLIMITED_PER_SECOND = 1e9


class TenantShares:
    """A token bucket of one second for each tenant. Times are in milliseconds."""

    def __init__(self) -> None:
        self._buckets: dict[Tenant | None, tuple[float, float]] = {}

    def is_over_share(self, request: Inference, now: float, sharers: float) -> bool:
        """Whether the request goes beyond its tenant's share.

        A repeat takes no token; otherwise a request that was shed would be shed again.
        """
        tenant = request.tenant
        share_per_second = tenant.quota_per_s / sharers if tenant else UNLIMITED_PER_SECOND
        capacity = max(share_per_second, MIN_BUCKET_REQUESTS)
        tokens, at = self._buckets.get(tenant, (capacity, now))
        tokens = min(capacity, tokens + share_per_second * (now - at) / 1000.0) - (not request.repeat)
        tokens = max(-1.0, tokens)
        self._buckets[tenant] = tokens, now
        return tokens < 0.0
