"""Status codes, time-outs, metadata and limits of gRPC ("gRPC over HTTP2" in the protocol's own pages)."""

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


# What an HTTP status means where no grpc-status came ("HTTP to gRPC Status Code Mapping").
FROM_HTTP = {
    "400": Status.INTERNAL,
    "401": Status.UNAUTHENTICATED,
    "403": Status.PERMISSION_DENIED,
    "404": Status.UNIMPLEMENTED,
    "429": Status.UNAVAILABLE,
    "502": Status.UNAVAILABLE,
    "503": Status.UNAVAILABLE,
    "504": Status.UNAVAILABLE,
}

UNITS = {"H": 3_600_000.0, "M": 60_000.0, "S": 1000.0, "m": 1.0, "u": 1e-3, "n": 1e-6}
LONGEST = 8.64e7


@dataclass(frozen=True, slots=True)
class Limits:
    """Bounds of one connection; sizes in bytes, times in milliseconds."""

    streams: int = 1000
    header_list: int = 16384
    message: int = 8 * 1024 * 1024
    # What may wait to be written to the peer, over all streams, before no more is taken in from it.
    unsent: int = 32 * 1024 * 1024
    # Receive windows: what a peer may send on a stream, or on all, before it is consumed here.
    stream_window: int = 128 * 1024
    link_window: int = 2 * 1024 * 1024
    # Frames of no use (resets, pings, settings, empty data) a second, beyond which the peer is cut off.
    useless_frames: int = 2000
    # Streams that the peer opens and resets at once, a second ("rapid reset").
    resets: int = 400

    @property
    def header_cut(self) -> int:
        """Past this the connection ends; between the two the call alone is refused."""
        return 4 * self.header_list


def read_timeout(text: str) -> float:
    """`grpc-timeout` in ms. Raises ValueError on what the protocol does not allow."""
    digits, unit = text[:-1], text[-1:]
    if not (digits.isascii() and digits.isdigit()) or len(digits) > 8 or unit not in UNITS:
        raise ValueError(f"expected grpc-timeout as up to 8 digits and one of H M S m u n, got {text[:20]!r}")
    return min(LONGEST, int(digits) * UNITS[unit])


def write_timeout(ms: float) -> str:
    micros = max(1, int(ms * 1000))
    return f"{micros}u" if micros < 10**8 else f"{min(int(ms), 10**8 - 1)}m"


def read_metadata(headers: list[tuple[bytes, bytes]]) -> Metadata:
    """Names and values as text; `-bin` values stay base64. A repeated name is joined by commas."""
    found: Metadata = {}
    for name, value in headers:
        key, text = name.decode("ascii", "replace"), value.decode("latin-1")
        found[key] = f"{found[key]},{text}" if key in found else text
    return found


def write_message(text: str) -> str:
    return quote(text[:1024], safe=" !\"#$&'()*+,-./:;<=>?@[\\]^_`{|}~")


def read_message(text: str) -> str:
    return unquote(text, errors="replace")


def write_metadata(metadata: Metadata | None) -> list[tuple[bytes, bytes]]:
    """As header fields."""
    return [(name.encode(), value.encode("latin-1", "replace")) for name, value in metadata.items()] if metadata else []
