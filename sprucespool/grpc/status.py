"""Status codes, timeouts, metadata and limits of gRPC (see "gRPC over HTTP2" in the protocol documentation)."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum
from urllib.parse import quote, unquote

from sprucespool.links import LinkError as LinkError

Metadata = dict[str, str]


class Status(IntEnum):
    OK = 0
    CANCELLED = 1
    UNKNOWN = 2
    INVALID_ARGUMENT = 3
    DEADLINE_EXCEEDED = 4
    NOT_FOUND = 5
    ALREADY_EXISTS = 6
    PERMISSION_DENIED = 7
    RESOURCE_EXHAUSTED = 8
    FAILED_PRECONDITION = 9
    ABORTED = 10
    OUT_OF_RANGE = 11
    UNIMPLEMENTED = 12
    INTERNAL = 13
    UNAVAILABLE = 14
    DATA_LOSS = 15
    UNAUTHENTICATED = 16


# gRPC status for a response without grpc-status, by HTTP status ("HTTP to gRPC Status Code Mapping").
STATUS_FROM_HTTP = {
    "400": Status.INTERNAL,
    "401": Status.UNAUTHENTICATED,
    "403": Status.PERMISSION_DENIED,
    "404": Status.UNIMPLEMENTED,
    "429": Status.UNAVAILABLE,
    "502": Status.UNAVAILABLE,
    "503": Status.UNAVAILABLE,
    "504": Status.UNAVAILABLE,
}

UNIT_MS = {"H": 3_600_000.0, "M": 60_000.0, "S": 1000.0, "m": 1.0, "u": 1e-3, "n": 1e-6}
MAX_TIMEOUT_MS = 8.64e7


@dataclass(frozen=True, slots=True)
class Limits:
    """Limits of one connection; sizes in bytes, times in milliseconds."""

    streams: int = 1000
    header_list: int = 16384
    message: int = 8 * 1024 * 1024
    # Bytes that may wait to be sent to the peer, over all streams, before its new requests are refused.
    unsent: int = 32 * 1024 * 1024
    # Receive windows: bytes that a peer may send on one stream, or on all, before they are consumed here.
    stream_window: int = 128 * 1024
    link_window: int = 2 * 1024 * 1024
    # Overhead frames (resets, pings, settings, empty data) that the peer may send per second; above it the
    # connection is ended.
    overhead_frames_per_second: int = 2000
    # Streams that the peer may open and reset immediately, per second ("rapid reset" attack).
    resets_per_second: int = 400

    @property
    def header_list_hard_limit(self) -> int:
        """Above this the connection is ended; between `header_list` and this limit only the call is refused."""
        return 4 * self.header_list


def read_timeout(text: str) -> float:
    """Parses `grpc-timeout` to ms. Raises ValueError if the protocol does not allow the value."""
    digits, unit = text[:-1], text[-1:]
    if not (digits.isascii() and digits.isdigit()) or len(digits) > 8 or unit not in UNIT_MS:
        raise ValueError(f"expected grpc-timeout as up to 8 digits and one of H M S m u n, got {text[:20]!r}")
    return min(MAX_TIMEOUT_MS, int(digits) * UNIT_MS[unit])


def write_timeout(ms: float) -> str:
    micros = max(1, int(ms * 1000))
    return f"{micros}u" if micros < 10**8 else f"{min(int(ms), 10**8 - 1)}m"


def read_metadata(headers: list[tuple[bytes, bytes]]) -> Metadata:
    """Names and values as text; `-bin` values stay base64. Values of a repeated name are joined by commas."""
    metadata: Metadata = {}
    for name, value in headers:
        key, text = name.decode("ascii", "replace"), value.decode("latin-1")
        metadata[key] = f"{metadata[key]},{text}" if key in metadata else text
    return metadata


def write_message(text: str) -> str:
    return quote(text[:1024], safe=" !\"#$&'()*+,-./:;<=>?@[\\]^_`{|}~")


def read_message(text: str) -> str:
    return unquote(text, errors="replace")


def write_metadata(metadata: Metadata | None) -> list[tuple[bytes, bytes]]:
    """Encodes metadata as header fields."""
    return [(name.encode(), value.encode("latin-1", "replace")) for name, value in metadata.items()] if metadata else []
