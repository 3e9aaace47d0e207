"""How long a connection may have waited in the queue of a listening socket before it is accepted."""

from __future__ import annotations

import socket
import sys
from collections import deque
from dataclasses import dataclass

# Of the structure that TCP_INFO returns: the state and, for a listening socket, the number of connections that wait.
_STATE_AT, _WAITING_AT, _WAITING_END = 0, 24, 28
_TCP_LISTEN = 10


def waiting_connections(listener: socket.socket) -> int | None:
    """How many connections wait to be accepted; None where the system does not tell."""
    try:
        info = listener.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, _WAITING_END)
    except (AttributeError, OSError):
        return None
    if len(info) < _WAITING_END or info[_STATE_AT] != _TCP_LISTEN:
        return None
    return int.from_bytes(info[_WAITING_AT:_WAITING_END], sys.byteorder)


@dataclass(frozen=True, slots=True)
class _Arrivals:
    """At the time `at` (loop time, seconds) `count` connections had arrived, accepted ones included."""

    at: float
    count: int


class AcceptQueue:
    """Bounds the wait of connections that are not accepted on arrival. Times are loop time, in seconds.

    Connections are accepted in the order of their arrival. So one that is accepted as the n-th arrived after each
    moment at which fewer than n had arrived.
    """

    def __init__(self, listener: socket.socket, backlog: int):
        self.listener, self.backlog = listener, backlog
        self.accepted = 0
        self._arrivals: deque[_Arrivals] = deque()

    @property
    def waiting(self) -> bool:
        """Whether connections may wait that could not be accepted yet."""
        return bool(self._arrivals)

    def begin(self, now: float, usual_wait: float) -> None:
        """Connections are about to be accepted; those that just arrived may have waited for `usual_wait`."""
        if self._arrivals:
            self.observe(now)
        else:
            self._arrivals.append(_Arrivals(now - usual_wait, self.accepted))

    def observe(self, now: float) -> int | None:
        """Note how many connections wait: no later one has waited since before `now`. Returns None if unknown."""
        waiting = waiting_connections(self.listener)
        if waiting == 0:
            self.drained()
            return waiting
        count = self.accepted + (self.backlog if waiting is None else waiting)
        if len(self._arrivals) > 1 and self._arrivals[-1].count == count:
            self._arrivals.pop()
        self._arrivals.append(_Arrivals(now, count))
        return waiting

    def drained(self) -> None:
        """No connection waits."""
        self._arrivals.clear()

    def accept(self, now: float) -> float:
        """Count one accepted connection; returns how long it may have waited."""
        while len(self._arrivals) > 1 and self._arrivals[1].count <= self.accepted:
            self._arrivals.popleft()
        self.accepted += 1
        return now - self._arrivals[0].at if self._arrivals else 0.0
