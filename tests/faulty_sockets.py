"""Sockets whose system calls fail, transfer less or block at chosen calls, only for the controller under test."""

from __future__ import annotations

import errno
import re
import socket
import time
from collections import Counter
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field

SHORT = 0
# Errors that Linux documents for each call and that are transient or end only the one connection.
ERRORS = {
    "accept": [
        errno.ECONNABORTED,
        errno.EMFILE,
        errno.ENFILE,
        errno.ENOBUFS,
        errno.ENOMEM,
        errno.EPROTO,
        errno.ENETDOWN,
        errno.EHOSTUNREACH,
        errno.ETIMEDOUT,
        errno.EINTR,
    ],
    "connect": [
        errno.EADDRNOTAVAIL,
        errno.ENETUNREACH,
        errno.ENOBUFS,
        errno.ECONNREFUSED,
        errno.ETIMEDOUT,
        errno.EHOSTUNREACH,
    ],
    "send": [
        SHORT,
        SHORT,
        errno.EPIPE,
        errno.ECONNRESET,
        errno.ETIMEDOUT,
        errno.EHOSTUNREACH,
        errno.EAGAIN,
        errno.EINTR,
    ],
    "recv": [SHORT, SHORT, errno.ECONNRESET, errno.ETIMEDOUT, errno.EHOSTUNREACH, errno.EAGAIN, errno.EINTR],
}
# Faults after which the connection of a client may continue.
HARMLESS = [SHORT, errno.EAGAIN, errno.EINTR]


@dataclass
class Written:
    """The bytes that the system accepted on one connection, and when."""

    data: bytearray = field(default_factory=bytearray)
    # (bytes accepted so far, monotonic time) after each call.
    marks: list[tuple[int, float]] = field(default_factory=list)

    def note(self, data: bytes) -> None:
        self.data += data
        self.marks.append((len(self.data), time.monotonic()))

    def taken_at(self, end: int) -> float:
        return next(at for size, at in self.marks if size >= end)


@dataclass
class Faults:
    """Planned faults: `planned` maps (side, call, n-th such call) to an errno or SHORT.

    Sides are "client" and "invoker".
    """

    planned: dict[tuple[str, str, int], int] = field(default_factory=dict)
    invoker_ports: set[int] = field(default_factory=set)
    # While set, a socket that is bound is the controller's listener.
    listening: bool = False
    # While set, writes to invokers beyond this many bytes are blocked.
    hold_sends: int | None = None
    counts: Counter = field(default_factory=Counter)
    injected: list[tuple[str, str, int]] = field(default_factory=list)
    written: list[Written] = field(default_factory=list)

    async def begin(self, node) -> int:
        """Start the controller; faults apply to its listener and to no other of this process."""
        self.listening = True
        try:
            return await node.start()
        finally:
            self.listening = False

    def attempts(self) -> list[tuple[str, float]]:
        """(tag, when the system accepted the line) of each attempt written to an invoker."""
        return [
            (match[1].decode(), one.taken_at(match.end()))
            for one in self.written
            for match in re.finditer(rb"(?m)^exec ([0-9a-f]{16}) [^\r]*\r\n", one.data)
        ]

    def next_fault(self, side: str, call: str) -> int | None:
        self.counts[side, call] += 1
        found = self.planned.get((side, call, self.counts[side, call]))
        if found is not None:
            self.injected.append((side, call, found))
        return found


class FaultySocket(socket.socket):
    """A socket that applies the planned faults of its class before each call, if it belongs to the controller."""

    faults = Faults()

    def __init__(self, *args, side: str = "", **kwargs):
        super().__init__(*args, **kwargs)
        self.side = side
        self.written = Written()

    def _fault(self, call: str) -> int | None:
        found = self.faults.next_fault(self.side, call) if self.side else None
        if found is not None and found != SHORT:
            raise OSError(found, "injected")
        return found

    def bind(self, address):
        super().bind(address)
        if self.faults.listening:
            self.side = "client"

    def accept(self):
        self._fault("accept")
        number, address = self._accept()
        return FaultySocket(self.family, self.type, self.proto, fileno=number, side=self.side), address

    def connect(self, address):
        if address[1] in self.faults.invoker_ports:
            self.side = "invoker"
            self.faults.written.append(self.written)
        self._fault("connect")
        return super().connect(address)

    def send(self, data, *flags):
        short = self._fault("send") is not None
        if self.side == "invoker" and self.faults.hold_sends is not None:
            if self.faults.hold_sends == 0:
                raise BlockingIOError(errno.EAGAIN, "held")
            data, self.faults.hold_sends = memoryview(data)[: self.faults.hold_sends], 0
        taken = super().send(memoryview(data)[:1] if short else data, *flags)
        self.written.note(bytes(data[:taken]))
        return taken

    def shutdown(self, how):
        self._fault("shutdown")
        return super().shutdown(how)

    def recv_into(self, buffer, nbytes=0, flags=0):
        short = self._fault("recv") is not None
        return super().recv_into(buffer, 1 if short else nbytes, flags)


@contextmanager
def faulty_sockets(faults: Faults) -> Iterator[Faults]:
    """Within this context, sockets created by this process are `FaultySocket`s."""
    usual = socket.socket
    FaultySocket.faults = faults
    socket.socket = FaultySocket  # type: ignore[misc]
    try:
        yield faults
    finally:
        socket.socket = usual  # type: ignore[misc]
