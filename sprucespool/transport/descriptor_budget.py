"""Shares the file descriptors of a process between clients, invokers and the rest, without I/O and without a clock."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable
from enum import Enum
from typing import Protocol

from sprucespool.transport.connection_budget import MAX_CANDIDATES, ConnectionBudget

# Kept back for the process itself: standard streams, event loop and listener (8), three watches of the command channel
# and a new one (4), a configuration file that is read, and sockets that are closed in the next iteration of the loop.
RESERVED_DESCRIPTORS = 24
# In a process with few descriptors the reserve is this share of them, but not less than the minimum.
RESERVED_SHARE, MIN_RESERVED_DESCRIPTORS = 0.125, 12
# Kept free for clients that connect: as many as are accepted in one iteration of the event loop.
CLIENT_HEADROOM = 16
# Invokers hold at least this many connections, however few descriptors there are.
MIN_INVOKER_CONNECTIONS = 4
# The most descriptors of a process without a limit.
UNLIMITED_DESCRIPTORS = 1 << 20
# Share of the descriptors that clients hold at most where none of them misbehaves.
USUAL_CLIENTS_SHARE = 1 / 3


class InvokerConnectionState(Enum):
    """What a connection to an invoker does, as far as it matters for who gives way."""

    OPENING = "opening"
    IDLE = "idle"
    BUSY = "busy"
    # It takes no new request and is closed when those on it have ended.
    RETIRING = "retiring"
    # It gave way; its socket is closed in the next iteration of the event loop.
    CLOSING = "closing"


class InvokerConnection(Protocol):
    """A connection to an invoker, from before it is opened until its socket is closed."""

    def is_quiet(self) -> bool:
        """Whether nothing waits to be written, or to be read."""

    def end_to_make_room(self) -> None:
        """Close the connection, on which nothing is open."""

    def retire(self) -> None:
        """Take no new request; the budget closes the connection when it becomes idle."""


class ConnectionOpener(Protocol):
    """Opens connections to one invoker."""

    def place_soon(self) -> None:
        """Try again to place the requests that wait, and to open a connection for them."""

    @property
    def wants_connection(self) -> bool:
        """Whether requests still wait."""


def reserved_descriptors(limit: int) -> int:
    """How many of the `limit` descriptors of a process neither clients nor invokers may use."""
    return min(RESERVED_DESCRIPTORS, max(MIN_RESERVED_DESCRIPTORS, int(RESERVED_SHARE * limit)))


def max_connected_invokers(limit: int) -> int:
    """To how many invokers at most a process with `limit` descriptors should hold connections at the same time."""
    usual_rest = (1 - USUAL_CLIENTS_SHARE) * limit - reserved_descriptors(limit) - CLIENT_HEADROOM
    return max(MIN_INVOKER_CONNECTIONS, int(usual_rest))


class DescriptorBudget:
    """Decides whether a connection may be accepted or opened, and which connection to an invoker gives way for it.

    - `reserved_descriptors` are never used for connections of clients or to invokers.
    - Connections of clients are bounded by their own budget. What they do not use, invokers may.
    - Connections to invokers are guaranteed what the clients' bound leaves. Beyond that they leave CLIENT_HEADROOM free
      for clients: idle ones give way, the longest idle first, then busy ones are retired.
    - A connection that is opened for a request, where there is no room, takes the place of the longest idle one. If
      none is idle the opener waits; openers are served in the order in which they asked.

    A connection to an invoker on which a request is open is never closed.
    """

    def __init__(self, limit: int, clients: ConnectionBudget, accepting: Callable[[], int] = lambda: 0):
        self.limit, self.clients = limit, clients
        # Returns how many connections were accepted that the clients' budget does not count yet.
        self.accepting = accepting
        self.max_connections = limit - reserved_descriptors(limit)
        self.guaranteed = max(MIN_INVOKER_CONNECTIONS, self.max_connections - clients.max_connections)
        # Connections to invokers that gave way, that were opened, and that had to wait for a descriptor.
        self.evicted = self.opened = self.waits = 0
        self._states: dict[InvokerConnection, InvokerConnectionState] = {}
        # For each state its connections, in the order in which they came to it.
        self._by_state: dict[InvokerConnectionState, OrderedDict[InvokerConnection, None]] = {
            state: OrderedDict() for state in InvokerConnectionState
        }
        self._waiting: OrderedDict[ConnectionOpener, None] = OrderedDict()

    def count(self, state: InvokerConnectionState) -> int:
        """How many connections to invokers are in the state."""
        return len(self._by_state[state])

    def status(self) -> dict[str, int]:
        """What holds the descriptors of connections to invokers, for the log."""
        return {
            "to_invokers": len(self._states),
            **{f"to_invokers_{state.value}": len(members) for state, members in self._by_state.items() if members},
            "to_invokers_opened": self.opened,
            "to_invokers_evicted": self.evicted,
            "waits_for_descriptor": self.waits,
        }

    @property
    def free(self) -> int:
        """How many more connections the process may hold; negative if there are too many."""
        return self.max_connections - len(self.clients) - self.accepting() - len(self._states)

    # Clients

    def room_for_clients(self, now: float) -> int:
        """How many more connections of clients may be accepted now; connections to invokers give way to them.

        Those that were accepted and are not counted as clients yet are not subtracted.
        """
        allowed = self.clients.room(now)
        self._restore_headroom()
        return min(allowed, max(0, self.free) + self.accepting())

    def _restore_headroom(self) -> None:
        """Close or retire connections beyond the guaranteed ones until the headroom is free again."""
        leaving = self.count(InvokerConnectionState.CLOSING) + self.count(InvokerConnectionState.RETIRING)
        shortage = min(CLIENT_HEADROOM - self.free, len(self._states) - self.guaranteed) - leaving
        for _ in range(shortage):
            if not self.evict_idle() and not self._retire_one():
                return

    def _retire_one(self) -> bool:
        busy = self._by_state[InvokerConnectionState.BUSY]
        if not busy:
            return False
        connection = next(iter(busy))
        self._move(connection, InvokerConnectionState.RETIRING)
        connection.retire()
        return True

    # Invokers

    def may_open(self, opener: ConnectionOpener) -> bool:
        """Whether the opener may open a connection now. If not, its `place_soon` is called when it may try again."""
        is_first = next(iter(self._waiting), opener) is opener
        if is_first and (self._is_room_to_open() or self.evict_idle()):
            self._waiting.pop(opener, None)
            return True
        self.waits += opener not in self._waiting
        self._waiting[opener] = None
        return False

    def _is_room_to_open(self) -> bool:
        free = self.free
        return free > CLIENT_HEADROOM or (free > 0 and len(self._states) < self.guaranteed)

    def add(self, connection: InvokerConnection) -> None:
        """Count a connection that is about to be opened."""
        self.opened += 1
        self._states[connection] = InvokerConnectionState.OPENING
        self._by_state[InvokerConnectionState.OPENING][connection] = None
        self._wake_next()

    def update(self, connection: InvokerConnection, busy: bool) -> None:
        """Note whether a request is open on the connection; to be called after each change."""
        before = self._states.get(connection)
        if before is None or before is InvokerConnectionState.CLOSING:
            return
        if before is InvokerConnectionState.RETIRING:
            if not busy:
                self._evict(connection)
            return
        state = InvokerConnectionState.BUSY if busy else InvokerConnectionState.IDLE
        if state is not before:
            self._move(connection, state)
            if not busy:
                self._wake_next()

    def remove(self, connection: InvokerConnection) -> None:
        """The socket of the connection is closed, or was never opened."""
        state = self._states.pop(connection, None)
        if state is not None:
            del self._by_state[state][connection]
            self._wake_next()

    def evict_idle(self) -> bool:
        """Close the connection that has been idle for longest; returns whether there was one."""
        idle = self._by_state[InvokerConnectionState.IDLE]
        for _ in range(min(MAX_CANDIDATES, len(idle))):
            connection = next(iter(idle))
            if connection.is_quiet():
                self._evict(connection)
                return True
            # It is at work: as one that has just become idle.
            idle.move_to_end(connection)
        return False

    def _evict(self, connection: InvokerConnection) -> None:
        self._move(connection, InvokerConnectionState.CLOSING)
        self.evicted += 1
        connection.end_to_make_room()

    def _move(self, connection: InvokerConnection, state: InvokerConnectionState) -> None:
        del self._by_state[self._states[connection]][connection]
        self._states[connection] = state
        self._by_state[state][connection] = None

    def _wake_next(self) -> None:
        """Let the opener that has waited for longest try again, if it could open a connection now."""
        while self._waiting and (self.count(InvokerConnectionState.IDLE) or self._is_room_to_open()):
            opener = next(iter(self._waiting))
            if opener.wants_connection:
                return opener.place_soon()
            del self._waiting[opener]

    def forget(self, opener: ConnectionOpener) -> None:
        """The opener does not want a connection any more."""
        if opener in self._waiting:
            del self._waiting[opener]
            self._wake_next()
