"""One HTTP/2 connection that carries gRPC calls, without I/O.

h2 keeps the frame and stream states; around it stand what it leaves open: messages cut from data, flow control that
follows what the user consumed, graceful GOAWAY in both directions (h2 ends a connection with the first GOAWAY, while
RFC 9113 section 6.8 lets the streams below it finish, so those frames are handled here), and the bounds against peers
that flood. `receive` takes bytes and gives events; `outgoing` gives the bytes to write.
"""

from __future__ import annotations


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

FRAME_HEAD, LARGEST_FRAME = 9, 16384
# Half-received bytes that any connection may hold, however crowded the server.
FAIR_PART = 65536
DATA, RST_STREAM, SETTINGS, PING, GOAWAY = 0, 3, 4, 6, 7
PREFACE = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"
Codes = h2.errors.ErrorCodes


class Link:
    """What both ends share."""

    more = False

    low_mark = 16384

    def __init__(self, limits: Limits, server: bool, ledger: ReceiveBudget | None = None):
        self.limits, self.server, self.ledger = limits, server, ledger or ReceiveBudget(4 * limits.unsent)
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
        told = {
            codes.MAX_CONCURRENT_STREAMS: limits.streams,
            codes.INITIAL_WINDOW_SIZE: limits.stream_window,
            codes.MAX_HEADER_LIST_SIZE: limits.header_list,
            codes.MAX_FRAME_SIZE: LARGEST_FRAME,
            codes.ENABLE_PUSH: 0,
        }
        # h2 would end the connection over one stream or header too many; only the call is refused here, so h2
        # works by wider bounds than the peer is told.
        self.h2.local_settings = h2.settings.Settings(
            client=not server,
            initial_values={
                **told,
                codes.MAX_CONCURRENT_STREAMS: 2**31 - 1,
                codes.MAX_HEADER_LIST_SIZE: limits.header_cut,
            },
        )
        self.h2.initiate_connection()
        self.h2.data_to_send()
        self.h2.max_inbound_frame_size = LARGEST_FRAME
        frame = SettingsFrame(
            0, settings={int(code): value for code, value in told.items() if not (server and code is codes.ENABLE_PUSH)}
        )
        self._out: list[bytes] = [b"" if server else PREFACE, frame.serialize()]
        self.h2.increment_flow_control_window(limits.link_window - 65535)
        self.streams: dict[int, Stream] = {}
        self.sending: dict[int, None] = {}
        self.starved: dict[int, None] = {}
        self.unsent = 0
        self.leaving, self.peer_leaving, self.dead = False, False, ""
        self.highest = 0
        self._rest = b""
        self._preface = len(PREFACE) if server else 0
        self._useless, self._resets = RateBucket(limits.useless_frames), RateBucket(limits.resets)

    # Bytes in

    def receive(self, data: bytes | memoryview, now: float) -> list[Event]:
        """Raises LinkError when the connection is to end; `outgoing` then still has the last words for the peer."""
        events: list[Event] = []
        buffered = self._rest + bytes(data) if self._rest else bytes(data)
        at = 0
        if self._preface:
            if not PREFACE.startswith(buffered[: self._preface]):
                self._die(Codes.PROTOCOL_ERROR, "expected the HTTP/2 preface")
            if len(buffered) < self._preface:
                self._rest = buffered
                return events
            at, self._preface = self._preface, 0
            self.h2.receive_data(PREFACE)
        begin = at
        while len(buffered) - at >= FRAME_HEAD:
            size = int.from_bytes(buffered[at : at + 3], "big")
            if size > LARGEST_FRAME:
                self._die(Codes.FRAME_SIZE_ERROR, f"a frame of {size} bytes, {LARGEST_FRAME} are allowed")
            end = at + FRAME_HEAD + size
            if end > len(buffered):
                break
            kind = buffered[at + 3]
            if kind == GOAWAY:
                self._feed(buffered[begin:at], events, now)
                self._go_away_came(buffered[at + FRAME_HEAD : end], events)
                begin = end
            elif (
                kind in (RST_STREAM, SETTINGS, PING) or kind == DATA and not size and not buffered[at + 4] & 1
            ) and self._useless.spill(now):
                self._die(Codes.ENHANCE_YOUR_CALM, "too many frames of no use")
            at = end
        self._feed(buffered[begin:at], events, now)
        self._rest = buffered[at:]
        return events

    def _feed(self, data: bytes, events: list, now: float):
        if not data:
            return
        try:
            for event in self.h2.receive_data(data):
                handler = HANDLERS.get(type(event))
                if handler:
                    handler(self, event, events, now)
        except h2.exceptions.ProtocolError as problem:
            # h2 has put the GOAWAY with the reason into its own output.
            self.dead = f"{type(problem).__name__}: {problem}"
            raise LinkError(self.dead) from None
        except (ValueError, IndexError, KeyError) as problem:  # codec bugs on hostile input end this link only
            self._die(Codes.PROTOCOL_ERROR, f"unreadable: {type(problem).__name__}: {problem}")

    def _die(self, code: Codes, why: str):
        self.dead = why
        self._out.append(
            GoAwayFrame(
                0, last_stream_id=self.highest, error_code=int(code), additional_data=why.encode()[:200]
            ).serialize()
        )
        raise LinkError(why)

    def _go_away_came(self, body: bytes, events: list):
        if len(body) < 8:
            self._die(Codes.FRAME_SIZE_ERROR, "a GOAWAY of under 8 bytes")
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
        stream.part += event.data
        stream.held += size
        self.ledger.used += len(event.data)
        if self.ledger.used > 2 * self.ledger.most and sum(len(one.part) for one in self.streams.values()) > FAIR_PART:
            # Windows already granted to thousands of connections can still fill the memory: the greedy ones go.
            self._die(Codes.ENHANCE_YOUR_CALM, "too many half-sent messages")
        part, at = stream.part, 0
        while len(part) - at >= 5:
            length = int.from_bytes(part[at + 1 : at + 5], "big")
            if part[at] or length > self.limits.message:
                why = (
                    "a compressed message without an encoding agreed"
                    if part[at]
                    else f"a message of {length} bytes, {self.limits.message} are allowed"
                )
                return self._bad_message(event.stream_id, stream, bool(part[at]), why, events)
            if len(part) - at - 5 < length:
                break
            stream.messages += 1
            stream.owed += length + 5
            # One message may straddle windows: its bytes go back when the user consumed it.
            events.append(Message(event.stream_id, bytes(part[at + 5 : at + 5 + length]), length + 5))
            at += 5 + length
        if at:
            del part[:at]
            self.ledger.used -= at
        self._starves(event.stream_id, stream)
        self._feed_starved()

    def _starves(self, number: int, stream: Stream):
        """The rest of a message larger than the window must be let in before there is a message to consume; where
        whole ones wait to be consumed that is what holds the peer, rightly."""
        if stream.part and stream.held and not stream.owed:
            self.starved[number] = None

    def _feed_starved(self):
        """No more than the ledger has room for, or many cut-off messages together would fill the memory."""
        while self.starved and self.ledger.used < self.ledger.most:
            number = next(iter(self.starved))
            del self.starved[number]
            stream = self.streams.get(number)
            if stream is not None and stream.part and not stream.owed:
                self._give_back(number, stream, min(stream.held, len(stream.part)))

    def _give_back(self, number: int, stream: Stream, size: int):
        size = min(size, stream.held)
        if size > 0 and not self.dead:
            stream.held -= size
            self.h2.acknowledge_received_data(size, number)

    def consumed(self, stream_id: int, size: int):
        """The user is done with so many bytes of the stream: the peer may send as many more."""
        stream = self.streams.get(stream_id)
        if stream is None:
            return
        stream.owed = max(0, stream.owed - size)
        self._give_back(stream_id, stream, size)
        self._starves(stream_id, stream)
        if self.starved:
            self._feed_starved()

    def _bad_message(self, number: int, stream: Stream, compressed: bool, why: str, events: list):
        raise NotImplementedError

    def _on_reset(self, event, events: list, now: float):
        if event.stream_id in self.streams and event.remote_reset is not False:
            code = int(event.error_code)
            self._drop(event.stream_id)
            events.append(Reset(event.stream_id, code, code == Codes.REFUSED_STREAM))
        if self.server and self._resets.spill(now):
            self._die(Codes.ENHANCE_YOUR_CALM, "too many streams opened and reset")

    def _on_pong(self, event, events: list, now: float):
        events.append(PingAcknowledged())

    def _drop(self, number: int):
        stream = self.streams.pop(number, None)
        if stream is not None:
            self.unsent -= stream.flow.size
            self.ledger.used -= len(stream.part)
            self.sending.pop(number, None)
            self.starved.pop(number, None)
            if stream.held and not self.dead:
                # The connection's window must not bleed out with streams that ended unread.
                try:
                    self.h2.acknowledge_received_data(stream.held, number)
                except (h2.exceptions.ProtocolError, ValueError):
                    self.h2.increment_flow_control_window(stream.held)

    def forget(self):
        """The connection is gone: what it held of the ledger goes back."""
        self.ledger.used -= sum(len(stream.part) for stream in self.streams.values())
        self.streams.clear()
        self.sending.clear()
        self.starved.clear()
        self.unsent = 0

    # Bytes out

    def _send_headers(self, number: int, headers: list, end: bool = False):
        self.h2.send_headers(number, headers, end_stream=end)

    def send(self, number: int, message: bytes) -> int:
        """Queue a message; gives what waits on the stream now. Unknown streams (reset a moment ago) are passed by."""
        stream = self.streams.get(number)
        if stream is None or stream.flow.end:
            return 0
        self._queue(number, stream, b"\x00" + len(message).to_bytes(4, "big"))
        self._queue(number, stream, message)
        return stream.flow.size

    def _queue(self, number: int, stream: Stream, data: bytes):
        if data:
            stream.flow.waiting.append(memoryview(data))
            stream.flow.size += len(data)
            self.unsent += len(data)
            self.sending[number] = None

    def waiting_on(self, number: int) -> int:
        return self.streams[number].flow.size if number in self.streams else 0

    def outgoing(self, data_too: bool = True) -> tuple[bytes, list[Event]]:
        """What is to be written now, and streams that drained. Without `data_too` only control frames leave."""
        drained: list[Event] = []
        if data_too and self.sending and not self.dead:
            self._pump(drained)
        self._out.append(self.h2.data_to_send())
        out = b"".join(self._out)
        self._out.clear()
        return out, drained

    def control_size(self) -> int:
        """Bytes of frames other than DATA that are to be written."""
        self._out.append(self.h2.data_to_send())
        return sum(map(len, self._out))

    def _pump(self, drained: list[Event]):
        """Round the streams, a frame each, so that no long answer holds up the others."""
        turn = list(self.sending)
        while turn:
            again = []
            for number in turn:
                stream = self.streams[number]
                flow = stream.flow
                if flow.waiting:
                    room = min(self.h2.local_flow_control_window(number), self.h2.max_outbound_frame_size)
                    if room <= 0:
                        continue
                    self._send_chunk(number, flow, room)
                    if flow.marked and flow.size <= self.low_mark:
                        flow.marked = False
                        drained.append(Drained(number))
                if flow.waiting:
                    again.append(number)
                    continue
                del self.sending[number]
                if flow.trailers is not None:
                    self._send_headers(number, flow.trailers, end=True)
                    self._close(number)
            turn = again

    def _close(self, number: int):
        """The answer is whole. Where the client still sends, RFC 9113 section 8.1 has it told to stop."""
        self._drop(number)
        still = self.h2.streams.get(number)
        if still is not None and not still.closed:
            try:
                self.h2.reset_stream(number, Codes.NO_ERROR)
            except h2.exceptions.ProtocolError:
                pass  # closed by the peer a moment ago

    def sweep(self, patience: int) -> list[Event]:
        """Called in even steps: streams of which the peer read nothing for so many of them are given up. Against
        windows of zero held for ever and clients that never read, which would keep their answers in memory."""
        lost: list[Event] = []
        for number in list(self.sending):
            flow = self.streams[number].flow
            flow.still = flow.still + 1 if flow.size == flow.size_swept else 0
            flow.size_swept = flow.size
            if flow.still >= patience:
                self.reset(number, Codes.CANCEL)
                lost.append(Reset(number, int(Codes.CANCEL), False))
        return lost

    def _send_chunk(self, number: int, flow: Flow, room: int):
        parts, size = [], 0
        while flow.waiting and size < room:
            first = flow.waiting[0]
            take = min(len(first), room - size)
            parts.append(first[:take])
            size += take
            if take == len(first):
                flow.waiting.popleft()
            else:
                flow.waiting[0] = first[take:]
        flow.size -= size
        self.unsent -= size
        last = not flow.waiting and flow.end and flow.trailers is None
        self.h2.send_data(number, b"".join(parts), end_stream=last)

    def notify_when_drained(self, number: int):
        """Ask for `Drained` once what waits on the stream has mostly left."""
        if number in self.streams:
            self.streams[number].flow.marked = True

    def ping(self):
        if not self.dead:
            self.h2.ping(b"spruce\x00\x01")

    def go_away(self, code: int = 0, why: str = ""):
        """Take no new streams; those begun go on."""
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
        """Give a stream up."""
        if number in self.streams:
            self._drop(number)
            if not self.dead:
                try:
                    self.h2.reset_stream(number, code)
                except h2.exceptions.ProtocolError:
                    pass  # closed by the peer a moment ago


HANDLERS = {
    h2.events.RequestReceived: lambda link, *rest: link._on_request(*rest),
    h2.events.ResponseReceived: lambda link, *rest: link._on_response(*rest),
    h2.events.TrailersReceived: lambda link, *rest: link._on_trailers(*rest) if not link.server else None,
    h2.events.StreamEnded: lambda link, *rest: link._on_ended(*rest),
    h2.events.DataReceived: lambda link, *rest: link._on_data(*rest),
    h2.events.StreamReset: lambda link, *rest: link._on_reset(*rest),
    h2.events.PingAckReceived: lambda link, *rest: link._on_pong(*rest),
}
