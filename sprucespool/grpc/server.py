"""The serving end of a connection."""

from __future__ import annotations

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


class ServerLink(Link):
    """Takes calls, sends messages and one status for each."""

    def __init__(self, limits: Limits, ledger: ReceiveBudget | None = None):
        super().__init__(limits, True, ledger)

    def _on_request(self, event, events: list, now: float):
        number = event.stream_id
        if self.leaving or self.unsent > self.limits.unsent:
            # Above the last stream told of in GOAWAY, or too much waits to be written: surely not looked at.
            return self.h2.reset_stream(number, Codes.REFUSED_STREAM)
        if len(self.streams) >= self.limits.streams:
            return self.h2.reset_stream(number, Codes.REFUSED_STREAM)
        self.highest = max(self.highest, number)
        self.streams[number] = Stream()
        size = sum(len(name) + len(value) + 32 for name, value in event.headers)
        found = read_metadata(event.headers)
        if size > self.limits.header_list:
            return self.refuse(
                number, Status.RESOURCE_EXHAUSTED, f"headers of {size} bytes, {self.limits.header_list} are allowed"
            )
        if found.get(":method") != "POST":
            return self._http(number, "405")
        kind = found.get("content-type", "")
        if not (kind == "application/grpc" or kind.startswith(("application/grpc+", "application/grpc;"))):
            return self._http(number, "415")
        if found.get("grpc-encoding", "identity") != "identity":
            return self.refuse(number, Status.UNIMPLEMENTED, "expected grpc-encoding identity")
        timeout = None
        if "grpc-timeout" in found:
            try:
                timeout = read_timeout(found["grpc-timeout"])
            except ValueError as problem:
                return self.refuse(number, Status.INVALID_ARGUMENT, str(problem))
        events.append(CallStarted(number, found[":path"], found, timeout))

    def _http(self, number: int, status: str):
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
        if stream.part:
            events.append(Reset(event.stream_id, int(Codes.CANCEL), False))
            return self.refuse(event.stream_id, Status.INVALID_ARGUMENT, "a message that is cut off")
        events.append(HalfClosed(event.stream_id))

    def refuse(self, number: int, status: Status, message: str, trailers: Metadata | None = None):
        """End a call; a client that still sends is told to stop."""
        self.finish(number, status, message, trailers)
        if number in self.streams:
            self.streams[number].refused = True

    def begin(self, number: int, metadata: Metadata | None = None):
        """Send the head of an answer (it goes with the first message otherwise)."""
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
        """The call's final status. A second one, or one for a stream that is gone, does nothing."""
        stream = self.streams.get(number)
        if stream is None or stream.flow.trailers is not None or self.dead:
            return
        last = [(b"grpc-status", str(int(status)).encode()), *write_metadata(trailers)]
        if message:
            last.append((b"grpc-message", write_message(message).encode()))
        if not stream.answered:
            stream.answered = True
            last = [(b":status", b"200"), (b"content-type", b"application/grpc"), *last]
        stream.flow.trailers, stream.flow.end = last, True
        if stream.flow.waiting:
            self.sending[number] = None
            return
        self._send_headers(number, last, end=True)
        self._close(number)
