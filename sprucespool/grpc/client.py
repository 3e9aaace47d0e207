"""The calling end of a connection."""

from __future__ import annotations

from sprucespool.grpc.events import Answered
from sprucespool.grpc.link import Link
from sprucespool.grpc.status import (
    FROM_HTTP,
    Limits,
    Metadata,
    Status,
    read_message,
    read_metadata,
    write_metadata,
    write_timeout,
)
from sprucespool.grpc.streams import ReceiveBudget, Stream


class ClientLink(Link):
    """Begins calls and hears their answers."""

    def __init__(self, limits: Limits, ledger: ReceiveBudget | None = None):
        super().__init__(limits, False, ledger)

    @property
    def room(self) -> int:
        """Streams that the peer would take now."""
        if self.dead or self.leaving or self.peer_leaving or self.h2.highest_outbound_stream_id > 2**31 - 1000:
            return 0
        return min(self.limits.streams, self.h2.remote_settings.max_concurrent_streams) - len(self.streams)

    def call(self, path: str, authority: str, metadata: Metadata | None = None, timeout: float | None = None) -> int:
        """Begin a call; `timeout` in ms."""
        number = self.h2.get_next_available_stream_id()
        headers = [
            (b":method", b"POST"),
            (b":scheme", b"http"),
            (b":path", path.encode()),
            (b":authority", authority.encode()),
            (b"te", b"trailers"),
            (b"content-type", b"application/grpc"),
        ]
        if timeout is not None:
            headers.append((b"grpc-timeout", write_timeout(timeout).encode()))
        self._send_headers(number, headers + write_metadata(metadata))
        self.streams[number] = Stream()
        return number

    def half_close(self, number: int):
        stream = self.streams.get(number)
        if stream is None or stream.flow.end:
            return
        stream.flow.end = True
        if not stream.flow.waiting:
            self.h2.end_stream(number)

    def _bad_message(self, number, stream, compressed, why, events):
        self.reset(number)
        events.append(
            Answered(
                number, Status.INTERNAL if compressed else Status.RESOURCE_EXHAUSTED, why, {}, max(1, stream.messages)
            )
        )

    def _on_response(self, event, events: list, now: float):
        stream = self.streams.get(event.stream_id)
        if stream is None:
            return
        stream.headers = read_metadata(event.headers)
        stream.status = stream.headers.get(":status", "")

    def _on_trailers(self, event, events: list, now: float):
        stream = self.streams.get(event.stream_id)
        if stream is not None:
            stream.headers = {**(stream.headers or {}), **read_metadata(event.headers)}

    def _on_ended(self, event, events: list, now: float):
        number = event.stream_id
        stream = self.streams.get(number)
        if stream is None:
            return
        found = stream.headers or {}
        told, message = found.get("grpc-status"), read_message(found.get("grpc-message", ""))
        if told is not None:
            known = told.isascii() and told.isdigit() and int(told) in Status._value2member_map_
            status = Status(int(told)) if known else Status.UNKNOWN
        else:
            status = FROM_HTTP.get(stream.status, Status.UNKNOWN)
            message = message or f"an end without grpc-status, HTTP status {stream.status or 'none'}"
        if stream.part:
            status, message = Status.INTERNAL, "a message that is cut off"
        self._close(number)
        events.append(Answered(number, status, message, found, stream.messages))
