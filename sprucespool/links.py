"""The interface of a connection's protocol to its socket (bytes in, events and bytes out), and address parsing."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any, Protocol


class LinkError(Exception):
    """The peer violated the protocol or a limit; the whole connection ends with this reason."""


class SendNotAllowed(ValueError):
    """The protocol does not allow this end to send the message in the connection's current state."""


def address(text: str) -> tuple[str, int]:
    """Parses HOST:PORT. Raises ValueError."""
    host, colon, port = text.rpartition(":")
    host = host.strip("[]")
    if not colon or not host or not port.isdigit() or int(port) > 65535:
        raise ValueError(f"expected an address such as 127.0.0.1:7700, got {text!r}")
    return host, int(port)


class Link(Protocol):
    """The protocol of one connection, without I/O."""

    @property
    def more(self) -> bool:
        """Whether `outgoing` has more to write. Only true for links whose `outgoing` returns one message at a time."""

    @property
    def deferred(self) -> bool:
        """Whether `receive` left complete messages for its next call. Only true for links that limit their part."""

    @property
    def buffered_bytes(self) -> int:
        """Bytes kept of incomplete input and of output that `outgoing` has not returned yet."""

    @property
    def incomplete_since(self) -> float:
        """When (ms) the oldest incomplete message began; infinity if there is none."""

    @property
    def missing_bytes(self) -> int:
        """How many more bytes an incomplete message is known to need; 0 if that is not known."""

    def receive(self, data: memoryview | bytes, now: float) -> list[Any]:
        """Handles received data, and what the last call deferred, and returns its events.

        Raises LinkError if the connection must end; `outgoing` then still returns the final bytes for the peer.
        """

    def outgoing(self, data_too: bool = True) -> tuple[bytes, Sequence[Any]]:
        """The bytes to write now and the resulting events. Without `data_too` only a few control bytes are returned."""

    def forget(self) -> None:
        """Releases the state of the connection, which is closed."""
