"""What the system has received on a socket: found without reading it."""

from __future__ import annotations

import select
import socket
from typing import Any

# Linux only; elsewhere the end of a connection is found by reading up to it.
_HANG_UP = getattr(select, "POLLRDHUP", 0) | select.POLLHUP | select.POLLERR


def has_peer_closed(sock: socket.socket | Any) -> bool:
    """Whether the peer closed, half-closed or reset the connection. False if the system can't tell."""
    return bool(_poll(sock, getattr(select, "POLLRDHUP", 0)) & _HANG_UP)


def has_unread_input(sock: socket.socket | Any) -> bool:
    """Whether input, or the end of it, waits to be read. False if the system can't tell."""
    return bool(_poll(sock, select.POLLIN) & select.POLLIN)


def _poll(sock: socket.socket | Any, events: int) -> int:
    """The events that hold now, of those asked for and those that are always told."""
    poller = select.poll()
    try:
        poller.register(sock.fileno(), events)
        found = poller.poll(0)
    except (OSError, ValueError):
        return 0
    return found[0][1] if found else 0
