"""Shares an event loop among connections whose input exceeds what one loop iteration handles.

A link handles a bounded part of its input at a time. What is left is handled in later iterations, round-robin over the
connections, so that a peer that sends faster than it can be served delays only itself.
"""

from __future__ import annotations

import asyncio
from collections import OrderedDict
from typing import Protocol

from sprucespool.transport.errors import report_unexpected

# Time (s) of one iteration for deferred input. An iteration must stay well below a stall of the loop.
ITERATION_SECONDS = 0.004


class DeferringConnection(Protocol):
    """A connection with input that was received and not handled yet."""

    def handle_deferred(self) -> bool:
        """Handles the next part of the input; returns whether more is left."""

    def end(self, why: str) -> None:
        """Ends the connection."""


class InputScheduler:
    """Handles the deferred input of the connections of one event loop."""

    def __init__(self) -> None:
        self.loop = asyncio.get_running_loop()
        # Connections with deferred input, the next one first.
        self.queue: OrderedDict[DeferringConnection, None] = OrderedDict()
        # How often the input of a connection was deferred.
        self.deferrals = 0
        self._handle: asyncio.Handle | None = None

    def defer(self, connection: DeferringConnection) -> None:
        """Handle the rest of the connection's input in later iterations."""
        if connection not in self.queue:
            self.deferrals += 1
            self.queue[connection] = None
        self._schedule()

    def _schedule(self) -> None:
        if self._handle is None and self.queue:
            self._handle = self.loop.call_soon(self._handle_iteration)

    def _handle_iteration(self) -> None:
        self._handle = None
        ends_at = self.loop.time() + ITERATION_SECONDS
        for _ in range(len(self.queue)):
            connection, _ = self.queue.popitem(last=False)
            if self._handle_part(connection):
                self.queue[connection] = None
            if self.loop.time() >= ends_at:
                break
        self._schedule()

    def _handle_part(self, connection: DeferringConnection) -> bool:
        try:
            return connection.handle_deferred()
        except Exception as error:  # must not keep the other connections from their parts
            report_unexpected("deferred input", error)
            connection.end("unexpected error")
            return False

    def forget(self, connection: DeferringConnection) -> None:
        """The connection has ended: its input is not handled any more."""
        self.queue.pop(connection, None)
