"""A protobuf request read at any of the daemon's doors."""

from __future__ import annotations

from typing import Any

from google.protobuf.message import DecodeError

from sprucespool.transport.listener import ServerCall
from sprucespool.wire import outcomes


def parse_request(call: ServerCall, kind: Any, data: bytes) -> Any:
    """The message, or None where it can't be read: the call is then answered with the status of malformed ones."""
    try:
        return kind.FromString(data)
    except DecodeError:
        call.finish(outcomes.MALFORMED, f"no {kind.DESCRIPTOR.name}")
        return None
