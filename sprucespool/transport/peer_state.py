"""Whether the peer of a socket has closed its end, found without reading what is still unread."""

from __future__ import annotations

import select
import socket
from typing import Any

# Linux only; elsewhere the end of a connection is found by reading up to it.
_HANG_UP = getattr(select, "POLLRDHUP", 0) | select.POLLHUP | select.POLLERR


def has_peer_closed(sock: socket.socket | Any) -> bool:
    """Whether the peer closed, half-closed or reset the connection. False if the system can't tell."""
    poller = select.poll()
    try:
        poller.register(sock.fileno(), getattr(select, "POLLRDHUP", 0))
        events = poller.poll(0)
    except (OSError, ValueError):
        return False
    return any(found & _HANG_UP for _, found in events)
