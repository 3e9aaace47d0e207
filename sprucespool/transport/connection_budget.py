"""Decides which client connections give way when descriptors run short, without I/O and without a clock."""

from __future__ import annotations

from collections import OrderedDict
from enum import Enum
from typing import Protocol

# Shares of a process's file descriptors: the most that connections of clients hold, and how many of them stay while
# others still come. The rest is for connections to invokers, the group and discovery.
MAX_DESCRIPTORS_SHARE, TARGET_DESCRIPTORS_SHARE = 0.55, 0.45
# A pending connection is kept for this long (ms), so that a client that has just connected can send its request.
NEWCOMER_GRACE_MS = 50.0
# A client that has not completed a message for this long (ms) does not send like a usual one.
SLOW_MESSAGE_MS = 500.0
# Share of the target beyond which pending connections give way to each other, before idle ones do.
PENDING_SHARE = 0.5
# Connections of one state that are considered for one eviction, so that its cost does not grow with their number.
MAX_CANDIDATES = 8


class ConnectionState(Enum):
    """What a connection does, as far as it matters for who gives way."""

    # No complete message was received yet, or one is half received and no request is open.
    PENDING = "pending"
    # No request is open, and none was ever answered.
    UNANSWERED = "unanswered"
    # No request is open; one was answered before.
    IDLE = "idle"
    # A request is open, its answer is not written yet, or input waits to be handled.
    BUSY = "busy"
    # The connection has ended, but its socket is still open for a final message.
    LINGERING = "lingering"
    # The connection gave way; its socket is closed in the next iteration of the event loop.
    CLOSING = "closing"


class BudgetedConnection(Protocol):
    """A connection that a budget counts."""

    def is_quiet(self) -> bool:
        """Whether nothing that the system has received waits to be read, and nothing waits to be written."""

    def end_to_make_room(self) -> None:
        """Close the connection at once; one that lingers discards its final message."""


class ConnectionBudget:
    """Counts the connections that hold a descriptor, and chooses those that are closed to make room for new ones.

    While more than `target` connections stand, they are closed in this order, the oldest of each kind first:

    1. lingering ones;
    2. while more than PENDING_SHARE of the target are pending: pending ones past NEWCOMER_GRACE_MS, and no others;
    3. pending ones past SLOW_MESSAGE_MS;
    4. idle ones that were never answered, then the other idle ones;
    5. pending ones past NEWCOMER_GRACE_MS.

    A busy connection is never closed. There are at most `max_connections` if no more than `room` are accepted.
    """

    def __init__(self, max_connections: int, target: int):
        self.max_connections, self.target = max_connections, target
        self.max_pending = int(PENDING_SHARE * target)
        self.evicted = 0
        self._states: dict[BudgetedConnection, ConnectionState] = {}
        # For each state its connections, in the order in which they came to it, with the time (ms) of that.
        self._since: dict[ConnectionState, OrderedDict[BudgetedConnection, float]] = {
            state: OrderedDict() for state in ConnectionState
        }

    def __len__(self) -> int:
        return len(self._states)

    def count(self, state: ConnectionState) -> int:
        """How many connections are in the state."""
        return len(self._since[state])

    def counts(self) -> dict[str, int]:
        """How many connections are in each state, by its name; states without any are left out."""
        return {state.value: len(connections) for state, connections in self._since.items() if connections}

    def add(self, connection: BudgetedConnection, now: float) -> None:
        """Count a new connection from `now` (ms) on."""
        self._states[connection] = ConnectionState.PENDING
        self._since[ConnectionState.PENDING][connection] = now

    def update(self, connection: BudgetedConnection, state: ConnectionState, now: float) -> None:
        """Note the state of the connection; to be called after each change. One that gave way stays CLOSING."""
        before = self._states.get(connection)
        if before is None or before is state or before is ConnectionState.CLOSING:
            return
        del self._since[before][connection]
        self._states[connection] = state
        self._since[state][connection] = now

    def remove(self, connection: BudgetedConnection) -> None:
        """The socket of the connection is closed."""
        state = self._states.pop(connection, None)
        if state is not None:
            del self._since[state][connection]

    def room(self, now: float) -> int:
        """How many more connections may be accepted now. Others give way first if there are too many."""
        self.make_room(now)
        return self.max_connections - len(self._states)

    def make_room(self, now: float) -> None:
        """Close connections until the target is met, or no other may be closed."""
        while len(self._states) - self.count(ConnectionState.CLOSING) > self.target:
            if not self.evict_one(now):
                return

    def evict_one(self, now: float) -> bool:
        """Close the connection that gives way first; returns whether there was one."""
        connection = self._choose(now)
        if connection is None:
            return False
        self.update(connection, ConnectionState.CLOSING, now)
        self.evicted += 1
        connection.end_to_make_room()
        return True

    def _choose(self, now: float) -> BudgetedConnection | None:
        lingering = self._since[ConnectionState.LINGERING]
        if lingering:
            return next(iter(lingering))
        if self.count(ConnectionState.PENDING) > self.max_pending:
            # Where all of them have just come, accepting waits: idle connections do not give way to such a crowd.
            return self._oldest_quiet(ConnectionState.PENDING, now - NEWCOMER_GRACE_MS, now)
        return (
            self._oldest_quiet(ConnectionState.PENDING, now - SLOW_MESSAGE_MS, now)
            or self._oldest_quiet(ConnectionState.UNANSWERED, now, now)
            or self._oldest_quiet(ConnectionState.IDLE, now, now)
            or self._oldest_quiet(ConnectionState.PENDING, now - NEWCOMER_GRACE_MS, now)
        )

    def _oldest_quiet(self, state: ConnectionState, latest: float, now: float) -> BudgetedConnection | None:
        """The connection that has been in the state for longest, since `latest` at the latest.

        One that is not quiet is at work: it counts as having come to its state now.
        """
        connections = self._since[state]
        for _ in range(min(MAX_CANDIDATES, len(connections))):
            connection, since = next(iter(connections.items()))
            if since > latest:
                return None
            if connection.is_quiet():
                return connection
            connections[connection] = now
            connections.move_to_end(connection)
        return None
