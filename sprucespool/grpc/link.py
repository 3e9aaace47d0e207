"""One HTTP/2 connection that carries gRPC calls, without I/O.

h2 keeps the state of frames and streams. This module adds what h2 lacks: splitting data into messages, flow control
that follows what the user consumed, graceful GOAWAY in both directions (h2 ends a connection with the first GOAWAY,
while RFC 9113 section 6.8 lets the streams below it finish, so those frames are handled here), and limits against peers
that flood. `receive` takes bytes and returns events; `outgoing` returns the bytes to send.
"""

from __future__ import annotations

import math

import h2.config
import h2.connection
import h2.errors
import h2.events
import h2.exceptions
import h2.settings
from hyperframe.frame import GoAwayFrame, SettingsFrame

from sprucespool.grpc.events import Drained, Event, GoingAway, Message, PingAcknowledged, Reset
from sprucespool.grpc.status import Limits, LinkError
from sprucespool.grpc.streams import Flow, RateBucket, ReceiveBudget, Stream

FRAME_HEADER_BYTES, MAX_FRAME_BYTES = 9, 16384
# Bytes of partial messages that every connection may hold, even when the receive budget is exceeded.
GUARANTEED_PARTIAL_BYTES = 65536
DATA, RST_STREAM, SETTINGS, PING, GOAWAY, WINDOW_UPDATE = 0, 3, 4, 6, 7, 8
# Frames that may close a stream on which this end can still send. The events of the frames before one are handled
# first: h2 would refuse an answer on a stream that a later frame of the same read has closed.
CLOSING_FRAMES = frozenset({RST_STREAM, GOAWAY, WINDOW_UPDATE})
HEADER_FRAMES, END_HEADERS = frozenset({1, 9}), 4
# Cost of the frames that one call of `receive` of a server handles: 1 a frame, and 1 for this many bytes of headers,
# of which each byte can stand for a whole field.
MAX_COST_PER_RECEIVE, HEADER_BYTES_PER_COST = 32, 32
PREFACE = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"
Codes = h2.errors.ErrorCodes


class Link:
    """The parts of a connection that client and server share."""

    more = False
    # Whether complete frames wait for the next call of `receive`; only servers limit what one call handles.
    deferred = False
    missing_bytes = 0

    low_mark_bytes = 16384

    def __init__(self, limits: Limits, server: bool, budget: ReceiveBudget | None = None):
        self.limits, self.server, self.budget = limits, server, budget or ReceiveBudget(4 * limits.unsent)
        self.h2 = h2.connection.H2Connection(
            h2.config.H2Configuration(
                client_side=not server,
                header_encoding=None,
                validate_outbound_headers=False,
                normalize_outbound_headers=False,
                validate_inbound_headers=True,
            )
        )
        codes = h2.settings.SettingCodes
        advertised = {
            codes.MAX_CONCURRENT_STREAMS: limits.streams,
            codes.INITIAL_WINDOW_SIZE: limits.stream_window,
            codes.MAX_HEADER_LIST_SIZE: limits.header_list,
            codes.MAX_FRAME_SIZE: MAX_FRAME_BYTES,
            codes.ENABLE_PUSH: 0,
        }
        # h2 would end the connection when the peer exceeds the limit of streams or headers. Only the call is refused
        # here, so h2 gets wider limits than those advertised to the peer.
        self.h2.local_settings = h2.settings.Settings(
            client=not server,
            initial_values={
                **advertised,
                codes.MAX_CONCURRENT_STREAMS: 2**31 - 1,
                codes.MAX_HEADER_LIST_SIZE: limits.header_list_hard_limit,
            },
        )
        self.h2.initiate_connection()
        self.h2.data_to_send()
        self.h2.max_inbound_frame_size = MAX_FRAME_BYTES
        frame = SettingsFrame(
            0,
            settings={
                int(code): value for code, value in advertised.items() if not (server and code is codes.ENABLE_PUSH)
            },
        )
        self._out: list[bytes] = [b"" if server else PREFACE, frame.serialize()]
        self.h2.increment_flow_control_window(limits.link_window - 65535)
        self.streams: dict[int, Stream] = {}
        self.sending: dict[int, None] = {}
        self.starved: dict[int, None] = {}
        self.unsent = 0
        self.leaving, self.peer_leaving, self.dead = False, False, ""
        # Client: why a read stopped after valid events; the connection must end once they are handled.
        self.read_error = ""
        self.highest = 0
        self._unparsed = b""
        # Bytes of a header block whose end was not received, and of messages that are incomplete, not consumed or kept.
        self._header_block_bytes = self._received_bytes = 0
        self._received_at = 0.0
        self._preface = len(PREFACE) if server else 0
        self._overhead_frames, self._resets = (
            RateBucket(limits.overhead_frames_per_second),
            RateBucket(limits.resets_per_second),
        )

    @property
    def buffered_bytes(self) -> int:
        """Bytes of incomplete input, open calls with their headers, messages not consumed or kept, and output."""
        return len(self._unparsed) + self._header_block_bytes + self._received_bytes + self.unsent

    @property
    def incomplete_since(self) -> float:
        """When (ms) the peer last left off sending or reading on the stream that has waited for it longest."""
        streams = self.streams.values()
        return min((min(stream.waiting_since, stream.flow.waiting_since) for stream in streams), default=math.inf)

    # Receiving

    def receive(self, data: bytes | memoryview, now: float) -> list[Event]:
        """Raises LinkError when the connection must end; `outgoing` then still returns the GOAWAY for the peer.

        A client that received events before the invalid input returns them instead and keeps the error in `read_error`:
        calls that were answered must not count as interrupted.
        """
        events: list[Event] = []
        self._received_at = now
        try:
            self._receive(data, now, events)
        except LinkError as error:
            if self.server or not events:
                raise
            self.read_error = str(error)
        return events

    def _receive(self, data: bytes | memoryview, now: float, events: list[Event]):
        buffered = self._unparsed + bytes(data) if self._unparsed else bytes(data)
        at = 0
        if self._preface:
            if not PREFACE.startswith(buffered[: self._preface]):
                self._fail(Codes.PROTOCOL_ERROR, "expected the HTTP/2 preface")
            if len(buffered) < self._preface:
                self._unparsed = buffered
                return
            at, self._preface = self._preface, 0
            self.h2.receive_data(PREFACE)
        begin, cost = at, 0
        self.deferred = False
        while len(buffered) - at >= FRAME_HEADER_BYTES:
            size = int.from_bytes(buffered[at : at + 3], "big")
            if size > MAX_FRAME_BYTES:
                self._fail(Codes.FRAME_SIZE_ERROR, f"a frame of {size} bytes, {MAX_FRAME_BYTES} are allowed")
            end = at + FRAME_HEADER_BYTES + size
            if end > len(buffered):
                break
            if self.server and cost >= MAX_COST_PER_RECEIVE:
                self.deferred = True
                break
            kind = buffered[at + 3]
            cost += 1 + (size // HEADER_BYTES_PER_COST if kind in HEADER_FRAMES else 0)
            self._count_header_block(kind, buffered[at + 4], size)
            # h2 returns no events of the frames before an invalid one, so a client gives it each frame alone.
            if kind in CLOSING_FRAMES or not self.server:
                self._feed(buffered[begin:at], events, now)
                begin = at
            if kind == GOAWAY:
                self._on_go_away(buffered[at + FRAME_HEADER_BYTES : end], events)
                begin = end
            elif (
                kind in (RST_STREAM, SETTINGS, PING) or kind == DATA and not size and not buffered[at + 4] & 1
            ) and self._overhead_frames.add(now):
                self._fail(Codes.ENHANCE_YOUR_CALM, "too many frames of no use")
            at = end
        self._feed(buffered[begin:at], events, now)
        self._unparsed = buffered[at:]

    def _count_header_block(self, kind: int, flags: int, size: int):
        if kind not in HEADER_FRAMES:
            return
        self._header_block_bytes += size
        if self._header_block_bytes > self.limits.header_list_hard_limit:
            self._fail(Codes.ENHANCE_YOUR_CALM, f"headers of over {self.limits.header_list_hard_limit} bytes")
        if flags & END_HEADERS:
            self._header_block_bytes = 0

    def _feed(self, frames: bytes, events: list, now: float):
        if not frames:
            return
        try:
            for event in self.h2.receive_data(frames):
                handler = HANDLERS.get(type(event))
                if handler:
                    handler(self, event, events, now)
        except h2.exceptions.ProtocolError as error:
            # h2 has already queued the GOAWAY with the reason in its own output.
            self.dead = f"{type(error).__name__}: {error}"
            raise LinkError(self.dead) from None
        except (ValueError, IndexError, KeyError) as error:  # codec bugs on hostile input must only end this connection
            self._fail(Codes.PROTOCOL_ERROR, f"unreadable: {type(error).__name__}: {error}")

    def _fail(self, code: Codes, why: str):
        self.dead = why
        self._out.append(
            GoAwayFrame(
                0, last_stream_id=self.highest, error_code=int(code), additional_data=why.encode()[:200]
            ).serialize()
        )
        raise LinkError(why)

    def _on_go_away(self, body: bytes, events: list):
        if len(body) < 8:
            self._fail(Codes.FRAME_SIZE_ERROR, "a GOAWAY of under 8 bytes")
        last, code = int.from_bytes(body[:4], "big") & 0x7FFFFFFF, int.from_bytes(body[4:8], "big")
        self.peer_leaving = True
        events.append(GoingAway(code, body[8:208].decode("utf-8", "replace")))
        if not self.server:
            for stream in [stream for stream in self.streams if stream > last]:
                self._drop(stream)
                events.append(Reset(stream, code, True))

    def _on_data(self, event, events: list, now: float):
        stream = self.streams.get(event.stream_id)
        size = event.flow_controlled_length or 0
        if stream is None or stream.answered or stream.refused:
            self.h2.acknowledge_received_data(size, event.stream_id) if size else None
            return
        if not stream.partial:
            stream.waiting_since = now
        stream.partial += event.data
        stream.unacknowledged += size
        self.budget.used += len(event.data)
        self._received_bytes += len(event.data)
        if (
            self.budget.used > 2 * self.budget.max_bytes
            and sum(len(other.partial) for other in self.streams.values()) > GUARANTEED_PARTIAL_BYTES
        ):
            # Windows already granted to thousands of connections can still exhaust memory, so connections that hold
            # more than the guaranteed amount are ended.
            self._fail(Codes.ENHANCE_YOUR_CALM, "too many half-sent messages")
        partial, at = stream.partial, 0
        while len(partial) - at >= 5:
            length = int.from_bytes(partial[at + 1 : at + 5], "big")
            if partial[at] or length > self.limits.message:
                why = (
                    "a compressed message without an encoding agreed"
                    if partial[at]
                    else f"a message of {length} bytes, {self.limits.message} are allowed"
                )
                return self._bad_message(event.stream_id, stream, bool(partial[at]), why, events)
            if len(partial) - at - 5 < length:
                break
            stream.messages += 1
            stream.unconsumed += length + 5
            # A message may span several windows; its bytes are returned to the window when the user has consumed it.
            events.append(Message(event.stream_id, bytes(partial[at + 5 : at + 5 + length]), length + 5))
            at += 5 + length
        if at:
            del partial[:at]
            self.budget.used -= at
        self._mark_starved(event.stream_id, stream)
        self._extend_starved_windows()

    def _mark_starved(self, number: int, stream: Stream):
        """Marks a stream that needs more window to complete a message larger than the window. A stream with complete
        messages that wait to be consumed is not marked: its peer is held back on purpose."""
        if stream.partial and stream.unacknowledged and not stream.unconsumed:
            self.starved[number] = None

    def _extend_starved_windows(self):
        """Extends windows only within the receive budget; otherwise many partial messages could exhaust memory."""
        while self.starved and self.budget.used < self.budget.max_bytes:
            number = next(iter(self.starved))
            del self.starved[number]
            stream = self.streams.get(number)
            if stream is not None and stream.partial and not stream.unconsumed:
                self._return_to_window(number, stream, min(stream.unacknowledged, len(stream.partial)))

    def _return_to_window(self, number: int, stream: Stream, size: int):
        size = min(size, stream.unacknowledged)
        if size > 0 and not self.dead:
            stream.unacknowledged -= size
            self.h2.acknowledge_received_data(size, number)

    def consumed(self, stream_id: int, size: int):
        """The user has consumed this many bytes of the stream; the peer may send as many again."""
        stream = self.streams.get(stream_id)
        if stream is None:
            return
        self._received_bytes -= min(size, stream.unconsumed)
        stream.unconsumed = max(0, stream.unconsumed - size)
        if not stream.unconsumed and not stream.partial and not stream.kept:
            stream.waiting_since = math.inf
        self._return_to_window(stream_id, stream, size)
        self._mark_starved(stream_id, stream)
        if self.starved:
            self._extend_starved_windows()

    def keep(self, stream_id: int, size: int):
        """The user keeps so many bytes of messages that it consumed, until `release` or the end of the stream."""
        stream = self.streams.get(stream_id)
        if stream is not None:
            stream.kept += size
            self._received_bytes += size

    def release(self, stream_id: int):
        """What the user keeps of the stream is counted elsewhere from now on."""
        stream = self.streams.get(stream_id)
        if stream is not None:
            self._received_bytes -= stream.kept
            stream.kept, stream.waiting_since = 0, math.inf

    def _bad_message(self, number: int, stream: Stream, compressed: bool, why: str, events: list):
        raise NotImplementedError

    def _on_reset(self, event, events: list, now: float):
        # Also if h2 reset the stream itself, for an error of the peer that concerns this stream alone.
        if event.stream_id in self.streams:
            code = int(event.error_code)
            self._drop(event.stream_id)
            events.append(Reset(event.stream_id, code, code == Codes.REFUSED_STREAM))
        if self.server and self._resets.add(now):
            self._fail(Codes.ENHANCE_YOUR_CALM, "too many streams opened and reset")

    def _on_pong(self, event, events: list, now: float):
        events.append(PingAcknowledged())

    def _drop(self, number: int):
        stream = self.streams.pop(number, None)
        if stream is not None:
            self.unsent -= stream.flow.size
            self.budget.used -= len(stream.partial)
            self._received_bytes -= len(stream.partial) + stream.unconsumed + stream.kept + stream.head_bytes
            self.sending.pop(number, None)
            self.starved.pop(number, None)
            if stream.unacknowledged and not self.dead:
                # Return the bytes, or streams that end unread would use up the connection's window.
                try:
                    self.h2.acknowledge_received_data(stream.unacknowledged, number)
                except (h2.exceptions.ProtocolError, ValueError):
                    self.h2.increment_flow_control_window(stream.unacknowledged)

    def forget(self):
        """The connection is closed: returns its bytes to the receive budget."""
        self.budget.used -= sum(len(stream.partial) for stream in self.streams.values())
        self.streams.clear()
        self.sending.clear()
        self.starved.clear()
        self.unsent = self._received_bytes = self._header_block_bytes = 0
        self._unparsed = b""

    # Sending

    def _send_headers(self, number: int, headers: list, end: bool = False):
        self.h2.send_headers(number, headers, end_stream=end)

    def send(self, number: int, message: bytes) -> int:
        """Queues a message; returns the bytes waiting on the stream. Ignores unknown streams (perhaps just reset)."""
        stream = self.streams.get(number)
        if stream is None or stream.flow.end:
            return 0
        self._queue(number, stream, b"\x00" + len(message).to_bytes(4, "big"))
        self._queue(number, stream, message)
        return stream.flow.size

    def _queue(self, number: int, stream: Stream, data: bytes):
        if data:
            if not stream.flow.size:
                stream.flow.waiting_since = self._received_at
            stream.flow.waiting.append(memoryview(data))
            stream.flow.size += len(data)
            self.unsent += len(data)
            self.sending[number] = None

    def waiting_on(self, number: int) -> int:
        return self.streams[number].flow.size if number in self.streams else 0

    def outgoing(self, data_too: bool = True) -> tuple[bytes, list[Event]]:
        """Returns the bytes to send now and events of drained streams. Without `data_too`, only control frames."""
        drained: list[Event] = []
        if data_too and self.sending and not self.dead:
            self._send_queued(drained)
        self._out.append(self.h2.data_to_send())
        out = b"".join(self._out)
        self._out.clear()
        return out, drained

    def control_size(self) -> int:
        """Bytes of frames other than DATA that wait to be sent."""
        self._out.append(self.h2.data_to_send())
        return sum(map(len, self._out))

    def _send_queued(self, drained: list[Event]):
        """Sends one frame per stream in round-robin order, so that a long response does not delay the others."""
        current_round = list(self.sending)
        while current_round:
            next_round = []
            for number in current_round:
                stream = self.streams[number]
                flow = stream.flow
                if flow.waiting:
                    room = min(self.h2.local_flow_control_window(number), self.h2.max_outbound_frame_size)
                    if room <= 0:
                        continue
                    self._send_chunk(number, flow, room)
                    if flow.notify_drained and flow.size <= self.low_mark_bytes:
                        flow.notify_drained = False
                        drained.append(Drained(number))
                if flow.waiting:
                    next_round.append(number)
                    continue
                del self.sending[number]
                if flow.trailers is not None:
                    self._send_headers(number, flow.trailers, end=True)
                    self._close(number)
            current_round = next_round

    def _close(self, number: int):
        """The response is complete. A client that is still sending is told to stop (RFC 9113 section 8.1)."""
        self._drop(number)
        h2_stream = self.h2.streams.get(number)
        if h2_stream is not None and not h2_stream.closed:
            try:
                self.h2.reset_stream(number, Codes.NO_ERROR)
            except h2.exceptions.ProtocolError:
                pass  # the peer has just closed the stream

    def sweep(self, max_idle_sweeps: int) -> list[Event]:
        """Called at a fixed interval: resets streams from which the peer read nothing for so many sweeps. Otherwise
        peers that keep a window of zero or never read would keep their responses in memory forever."""
        resets: list[Event] = []
        for number in list(self.sending):
            flow = self.streams[number].flow
            flow.idle_sweeps = flow.idle_sweeps + 1 if flow.size == flow.size_at_last_sweep else 0
            flow.size_at_last_sweep = flow.size
            if flow.idle_sweeps >= max_idle_sweeps:
                self.reset(number, Codes.CANCEL)
                resets.append(Reset(number, int(Codes.CANCEL), False))
        return resets

    def _send_chunk(self, number: int, flow: Flow, room: int):
        chunks, size = [], 0
        while flow.waiting and size < room:
            first = flow.waiting[0]
            length = min(len(first), room - size)
            chunks.append(first[:length])
            size += length
            if length == len(first):
                flow.waiting.popleft()
            else:
                flow.waiting[0] = first[length:]
        flow.size -= size
        flow.waiting_since = self._received_at if flow.size else math.inf
        self.unsent -= size
        last = not flow.waiting and flow.end and flow.trailers is None
        self.h2.send_data(number, b"".join(chunks), end_stream=last)

    def notify_when_drained(self, number: int):
        """Requests a `Drained` event once the data waiting on the stream falls to the low mark."""
        if number in self.streams:
            self.streams[number].flow.notify_drained = True

    def ping(self):
        if not self.dead:
            self.h2.ping(b"spruce\x00\x01")

    def go_away(self, code: int = 0, why: str = ""):
        """Accepts no new streams from now on; open streams continue."""
        if not self.leaving:
            self.leaving = True
            self._out.append(self.h2.data_to_send())
            self._out.append(
                GoAwayFrame(
                    0,
                    last_stream_id=self.highest if self.server else 0,
                    error_code=code,
                    additional_data=why.encode()[:200],
                ).serialize()
            )

    def reset(self, number: int, code: int = Codes.CANCEL):
        """Resets a stream."""
        if number in self.streams:
            self._drop(number)
            if not self.dead:
                try:
                    self.h2.reset_stream(number, code)
                except h2.exceptions.ProtocolError:
                    pass  # the peer has just closed the stream


HANDLERS = {
    h2.events.RequestReceived: lambda link, *rest: link._on_request(*rest),
    h2.events.ResponseReceived: lambda link, *rest: link._on_response(*rest),
    h2.events.TrailersReceived: lambda link, *rest: link._on_trailers(*rest) if not link.server else None,
    h2.events.StreamEnded: lambda link, *rest: link._on_ended(*rest),
    h2.events.DataReceived: lambda link, *rest: link._on_data(*rest),
    h2.events.StreamReset: lambda link, *rest: link._on_reset(*rest),
    h2.events.RemoteSettingsChanged: lambda link, *rest: link._on_settings(*rest) if not link.server else None,
    h2.events.PingAckReceived: lambda link, *rest: link._on_pong(*rest),
}
