"""A process of clients that send at full speed: `python flooding_clients.py ADDRESS KIND CONNECTIONS SECONDS FIRST_ID`.

Each connection is opened again at once when it ends. What the controller writes is read and discarded.
"""

from __future__ import annotations

import itertools
import selectors
import socket
import sys
import time
from collections.abc import Callable, Iterator

from platform_world import frame, request_frame

CANCEL, READINESS_QUERY = 18, 32
FRAMES_PER_WRITE = 2048
# The limit on open requests of a connection is 32.
OPEN_REQUESTS = 16
# How long requests stay open that are taken back once their attempts have begun.
OPEN_SECONDS = 0.02
PLACEHOLDER_ID, PLACEHOLDER_KEY = "0" * 15 + "1", "0" * 15 + "2"


class Frames:
    """Builds frames with ids, models and classes that no other connection of the process uses."""

    def __init__(self, first_id: int):
        self.ids = itertools.count(first_id)
        request = request_frame(1, id=PLACEHOLDER_ID, key=PLACEHOLDER_KEY)
        self.start, rest = request[:5], request[9:]
        self.before_id, rest = rest.split(PLACEHOLDER_ID.encode())
        self.before_key, self.after_key = rest.split(PLACEHOLDER_KEY.encode())

    def request(self, stream: int) -> bytes:
        name = b"%016x" % next(self.ids)
        number = stream.to_bytes(4, "big")
        return b"".join((self.start, number, self.before_id, name, self.before_key, name, self.after_key))

    def cancellation(self, stream: int) -> bytes:
        return frame(CANCEL, stream)

    def unknown_class(self, stream: int) -> bytes:
        return request_frame(stream, **{"class": f"no-{next(self.ids):010x}"})


def checks(frames: Frames) -> Iterator[bytes]:
    data = frame(READINESS_QUERY, 0, b"\0") * FRAMES_PER_WRITE
    while True:
        yield data


def new_names_taken_back_at_once(frames: Frames) -> Iterator[bytes]:
    for first in itertools.count(1, FRAMES_PER_WRITE):
        yield b"".join(frames.request(n) + frames.cancellation(n) for n in range(first, first + FRAMES_PER_WRITE))


def new_names_taken_back(frames: Frames) -> Iterator[bytes]:
    """Each request is open until as many others have been sent behind it."""
    for first in itertools.count(1, OPEN_REQUESTS):
        yield b"".join(frames.cancellation(n) for n in range(max(1, first - OPEN_REQUESTS), first)) + b"".join(
            frames.request(n) for n in range(first, first + OPEN_REQUESTS)
        )


def new_names_taken_back_later(frames: Frames) -> Iterator[bytes]:
    """Requests stay open until their attempts have begun; an empty write stands for a pause."""
    for first in itertools.count(1, OPEN_REQUESTS):
        yield b"".join(frames.request(n) for n in range(first, first + OPEN_REQUESTS))
        yield b""
        yield b"".join(frames.cancellation(n) for n in range(first, first + OPEN_REQUESTS))


def unknown_classes(frames: Frames) -> Iterator[bytes]:
    yield b"".join(frames.request(n) + frames.cancellation(n) for n in range(1, 500)) + frames.unknown_class(1000)
    while True:
        yield b"".join(frames.unknown_class(n) for n in range(2000, 2100))


def too_long_frames(frames: Frames) -> Iterator[bytes]:
    while True:
        yield (62_914_560).to_bytes(4, "big") + bytes(16_000)


def half_requests(frames: Frames) -> Iterator[bytes]:
    """A request of the largest size that stops half way."""
    yield request_frame(1, bytes(16_384))[:9_000]
    while True:
        yield b""


KINDS: dict[str, Callable[[Frames], Iterator[bytes]]] = {
    "checks": checks,
    "new-names-taken-back-at-once": new_names_taken_back_at_once,
    "new-names-taken-back": new_names_taken_back,
    "new-names-taken-back-later": new_names_taken_back_later,
    "unknown-classes": unknown_classes,
    "too-long-frames": too_long_frames,
    "half-requests": half_requests,
}


class FloodingClient:
    def __init__(self, address: tuple[str, int], kind: str, frames: Frames, selector: selectors.BaseSelector):
        self.address, self.kind, self.frames, self.selector = address, kind, frames, selector
        self.sent_bytes = 0
        self._connect()

    def _connect(self):
        self.sock = socket.create_connection(self.address, 5.0)
        self.sock.setblocking(False)
        self.writes, self.unsent = KINDS[self.kind](self.frames), b""
        self.paused_until = 0.0
        self.selector.register(self.sock, selectors.EVENT_READ | selectors.EVENT_WRITE, self)

    def ready(self, events: int):
        try:
            if events & selectors.EVENT_READ and not self.sock.recv(1 << 18):
                raise ConnectionError("ended by the controller")
            if events & selectors.EVENT_WRITE and time.monotonic() >= self.paused_until:
                data = self.unsent or next(self.writes)
                if not data:
                    self.paused_until = time.monotonic() + OPEN_SECONDS
                sent = self.sock.send(data)
                self.sent_bytes += sent
                self.unsent = data[sent:]
        except BlockingIOError:
            pass
        except OSError:
            self.selector.unregister(self.sock)
            self.sock.close()
            self._connect()


def flood(address: tuple[str, int], kind: str, connections: int, seconds: float, first_id: int) -> int:
    """Returns the number of bytes sent."""
    frames, selector = Frames(first_id), selectors.DefaultSelector()
    clients = [FloodingClient(address, kind, frames, selector) for _ in range(connections)]
    ends_at = time.monotonic() + seconds
    while time.monotonic() < ends_at:
        for key, events in selector.select(0.05):
            key.data.ready(events)
    return sum(client.sent_bytes for client in clients)


if __name__ == "__main__":
    _, listening, kind, connections, seconds, first_id = sys.argv
    host, _, port = listening.rpartition(":")
    try:
        print(flood((host, int(port)), kind, int(connections), float(seconds), int(first_id)))
    except OSError as error:
        print(f"flood ended: {error}", file=sys.stderr)
