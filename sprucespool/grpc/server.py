"""The server end of a connection."""

from __future__ import annotations

import math

from sprucespool.grpc.events import CallStarted, HalfClosed, Reset
from sprucespool.grpc.link import Codes, Link
from sprucespool.grpc.status import (
    Limits,
    Metadata,
    Status,
    read_metadata,
    read_timeout,
    write_message,
    write_metadata,
)
from sprucespool.grpc.streams import ReceiveBudget, Stream


# What an open call takes without its headers, and a field of its headers beside its name, value and the 32 bytes for
# which HTTP/2 counts it.
CALL_OVERHEAD_BYTES, FIELD_OVERHEAD_BYTES = 4096, 64


class ServerLink(Link):
    """Receives calls, and sends messages and one final status for each."""

    def __init__(self, limits: Limits, budget: ReceiveBudget | None = None):
        super().__init__(limits, True, budget)

    def _on_request(self, event, events: list, now: float):
        number = event.stream_id
        if self.leaving or self.unsent > self.limits.unsent:
            # The stream is above the last one named in GOAWAY, or too much data waits to be sent. REFUSED_STREAM tells
            # the client that the call was not processed.
            return self.h2.reset_stream(number, Codes.REFUSED_STREAM)
        if len(self.streams) >= self.limits.streams:
            return self.h2.reset_stream(number, Codes.REFUSED_STREAM)
        self.highest = max(self.highest, number)
        stream = self.streams[number] = Stream(waiting_since=now)
        size = sum(len(name) + len(value) + 32 for name, value in event.headers)
        metadata = read_metadata(event.headers)
        if size > self.limits.header_list:
            return self.refuse(
                number, Status.RESOURCE_EXHAUSTED, f"headers of {size} bytes, {self.limits.header_list} are allowed"
            )
        if metadata.get(":method") != "POST":
            return self._refuse_with_http_status(number, "405")
        content_type = metadata.get("content-type", "")
        if not (
            content_type == "application/grpc" or content_type.startswith(("application/grpc+", "application/grpc;"))
        ):
            return self._refuse_with_http_status(number, "415")
        if metadata.get("grpc-encoding", "identity") != "identity":
            return self.refuse(number, Status.UNIMPLEMENTED, "expected grpc-encoding identity")
        timeout = None
        if "grpc-timeout" in metadata:
            try:
                timeout = read_timeout(metadata["grpc-timeout"])
            except ValueError as error:
                return self.refuse(number, Status.INVALID_ARGUMENT, str(error))
        stream.head_bytes = CALL_OVERHEAD_BYTES + size + FIELD_OVERHEAD_BYTES * len(event.headers)
        self._received_bytes += stream.head_bytes
        events.append(CallStarted(number, metadata[":path"], metadata, timeout))

    def _refuse_with_http_status(self, number: int, status: str):
        stream = self.streams[number]
        stream.answered = stream.refused = True
        self._send_headers(number, [(b":status", status.encode())], end=True)
        self._close(number)

    def _bad_message(self, number, stream, compressed, why, events):
        events.append(Reset(number, int(Codes.CANCEL), False))
        self.refuse(number, Status.UNIMPLEMENTED if compressed else Status.RESOURCE_EXHAUSTED, why)

    def _on_ended(self, event, events: list, now: float):
        stream = self.streams.get(event.stream_id)
        if stream is None or stream.refused:
            return
        if stream.partial:
            events.append(Reset(event.stream_id, int(Codes.CANCEL), False))
            return self.refuse(event.stream_id, Status.INVALID_ARGUMENT, "a message that is cut off")
        if not stream.kept:
            stream.waiting_since = math.inf
        events.append(HalfClosed(event.stream_id))

    def refuse(self, number: int, status: Status, message: str, trailers: Metadata | None = None):
        """Ends a call with an error; a client that is still sending is told to stop."""
        self.finish(number, status, message, trailers)
        if number in self.streams:
            self.streams[number].refused = True

    def begin(self, number: int, metadata: Metadata | None = None):
        """Sends the response headers; without this call they are sent with the first message."""
        stream = self.streams.get(number)
        if stream is not None and not stream.answered:
            stream.answered = True
            self._send_headers(
                number, [(b":status", b"200"), (b"content-type", b"application/grpc"), *write_metadata(metadata)]
            )

    def send(self, number: int, message: bytes) -> int:
        self.begin(number)
        return super().send(number, message)

    def finish(self, number: int, status: Status, message: str = "", trailers: Metadata | None = None):
        """Sends the final status of a call. Does nothing after the first time or if the stream has ended."""
        stream = self.streams.get(number)
        if stream is None or stream.flow.trailers is not None or self.dead:
            return
        trailing_headers = [(b"grpc-status", str(int(status)).encode()), *write_metadata(trailers)]
        if message:
            trailing_headers.append((b"grpc-message", write_message(message).encode()))
        if not stream.answered:
            stream.answered = True
            trailing_headers = [(b":status", b"200"), (b"content-type", b"application/grpc"), *trailing_headers]
        stream.flow.trailers, stream.flow.end = trailing_headers, True
        if stream.flow.waiting:
            self.sending[number] = None
            return
        self._send_headers(number, trailing_headers, end=True)
        self._close(number)
