"""What a connection's protocol looks like to the socket below it: bytes in, events and bytes out."""
from __future__ import annotations

from collections.abc import Sequence
from typing import Any, Protocol


class LinkError(Exception):
    """The peer broke the protocol or a limit: the whole connection ends, with this reason."""


class Link(Protocol):
    def receive(self, data: memoryview, now: float) -> list[Any]:
        """Raises LinkError when the connection is to end; `outgoing` then still has the last words for the peer."""

    def outgoing(self, data_too: bool = True) -> tuple[bytes, Sequence[Any]]:
        """What is to be written now, and what came of it; without `data_too` no more than a few control bytes."""

    def forget(self) -> None:
        """The connection is gone."""
