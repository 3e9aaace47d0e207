"""Parses protobuf requests for the gRPC methods of the daemon."""

from __future__ import annotations

from typing import Any

from google.protobuf.message import DecodeError

from sprucespool.transport.listener import ServerCall
from sprucespool.wire import outcomes


def parse_request(call: ServerCall, kind: Any, data: bytes) -> Any:
    """Returns the message, or None if it cannot be parsed; the call is then ended with the status MALFORMED."""
    try:
        return kind.FromString(data)
    except DecodeError:
        call.finish(outcomes.MALFORMED, f"no {kind.DESCRIPTOR.name}")
        return None
