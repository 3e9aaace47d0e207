"""The client end of a connection."""

from __future__ import annotations

from sprucespool.grpc.events import Answered, SettingsChanged
from sprucespool.grpc.link import Link
from sprucespool.grpc.status import (
    STATUS_FROM_HTTP,
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
    """Starts calls and receives their responses."""

    def __init__(self, limits: Limits, budget: ReceiveBudget | None = None):
        super().__init__(limits, False, budget)

    @property
    def room(self) -> int:
        """How many more streams the peer accepts now."""
        if self.dead or self.leaving or self.peer_leaving or self.h2.highest_outbound_stream_id > 2**31 - 1000:
            return 0
        return min(self.limits.streams, self.h2.remote_settings.max_concurrent_streams) - len(self.streams)

    def call(self, path: str, authority: str, metadata: Metadata | None = None, timeout: float | None = None) -> int:
        """Starts a call and returns its stream id; `timeout` is in ms."""
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

    def _on_settings(self, event, events: list, now: float):
        events.append(SettingsChanged())

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
        headers = stream.headers or {}
        status_text, message = headers.get("grpc-status"), read_message(headers.get("grpc-message", ""))
        if status_text is not None:
            known = status_text.isascii() and status_text.isdigit() and int(status_text) in Status._value2member_map_
            status = Status(int(status_text)) if known else Status.UNKNOWN
        else:
            status = STATUS_FROM_HTTP.get(stream.status, Status.UNKNOWN)
            message = message or f"an end without grpc-status, HTTP status {stream.status or 'none'}"
        if stream.partial:
            status, message = Status.INTERNAL, "a message that is cut off"
        self._close(number)
        events.append(Answered(number, status, message, headers, stream.messages))
