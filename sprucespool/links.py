"""What a connection's protocol looks like to the socket below it (bytes in, events and bytes out), and addresses."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any, Protocol


class LinkError(Exception):
    """The peer broke the protocol or a limit: the whole connection ends, with this reason."""


class SendNotAllowed(ValueError):
    """What the protocol does not allow this end to send on the connection now."""


def address(text: str) -> tuple[str, int]:
    """HOST:PORT taken apart. Raises ValueError."""
    host, colon, port = text.rpartition(":")
    host = host.strip("[]")
    if not colon or not host or not port.isdigit() or int(port) > 65535:
        raise ValueError(f"expected an address such as 127.0.0.1:7700, got {text!r}")
    return host, int(port)


class Link(Protocol):
    @property
    def more(self) -> bool:
        """Whether `outgoing` has more that may be written; only links that give one message at a time ever do."""

    def receive(self, data: memoryview, now: float) -> list[Any]:
        """Raises LinkError when the connection is to end; `outgoing` then still has the last words for the peer."""

    def outgoing(self, data_too: bool = True) -> tuple[bytes, Sequence[Any]]:
        """What is to be written now, and what came of it; without `data_too` no more than a few control bytes."""

    def forget(self) -> None:
        """The connection is gone."""
