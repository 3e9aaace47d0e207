"""Ids of requests that have ended though an attempt may have run, so that none of them runs again."""

from __future__ import annotations

# An id of 16 characters, with its place in the table.
ENTRY_BYTES = 192


class RecentRequests:
    """Remembers the latest ids, within `max_bytes`."""

    def __init__(self, max_bytes: int):
        self.max_entries = max(1, max_bytes // ENTRY_BYTES)
        self._ids: dict[str, None] = {}

    def __len__(self) -> int:
        return len(self._ids)

    def add(self, request_id: str) -> None:
        self._ids.pop(request_id, None)
        self._ids[request_id] = None
        if len(self._ids) > self.max_entries:
            del self._ids[next(iter(self._ids))]

    def discard(self, request_id: str) -> None:
        """It is proven that no attempt ran."""
        self._ids.pop(request_id, None)

    def may_have_run(self, request_id: str) -> bool:
        return request_id in self._ids
