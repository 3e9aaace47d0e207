"""HTTP/2 and gRPC at the byte level: any input leads to a status or to an end with a reason, and never to a crash."""

import h2.config
import h2.connection
import pytest
from receiving import receive_all
from hpack import Encoder
from hypothesis import given, settings
from hypothesis import strategies as st

from sprucespool.grpc import ClientLink, Limits, LinkError, ReceiveBudget, ServerLink, Status
from sprucespool.grpc.events import Answered, CallStarted, HalfClosed, Message, Reset
from sprucespool.grpc.link import PREFACE
from sprucespool.grpc.status import read_timeout, write_timeout

FAST = settings(max_examples=300, deadline=None, derandomize=True, database=None)


def shuttle(client, server, now=0.0, step=1 << 20):
    """Transfers bytes both ways, in pieces, until nothing is left; returns the events of client and server."""
    events = {client: [], server: []}
    for _ in range(10_000):
        moved = False
        for sender, receiver in ((client, server), (server, client)):
            data, drained = sender.outgoing()
            events[sender] += drained
            for at in range(0, len(data), step):
                events[receiver] += receive_all(receiver, data[at : at + step], now)
                moved = True
        if not moved:
            return events[client], events[server]
    raise AssertionError("the two ends never stop sending")


def pair(**limits):
    client, server = ClientLink(Limits(**limits)), ServerLink(Limits(**limits))
    shuttle(client, server)
    return client, server


def of_type(events, event_type):
    return [event for event in events if isinstance(event, event_type)]


@pytest.mark.parametrize("step", [1, 2, 7, 1000, 1 << 20])
def test_a_call_and_its_response_in_pieces_of_any_size(step):
    client, server = ClientLink(Limits()), ServerLink(Limits())
    number = client.call("/a.B/C", "h", {"x-one": "1"}, 1500.0)
    client.send(number, b"question" * 5000)
    client.half_close(number)
    _, events = shuttle(client, server, step=step)
    started, message, closed = events
    assert (started.path, started.timeout, started.metadata["x-one"]) == ("/a.B/C", 1500.0, "1")
    assert message.data == b"question" * 5000 and isinstance(closed, HalfClosed)
    server.send(number, b"answer")
    server.finish(number, Status.OK, "", {"spruce-found": "warm"})
    events, _ = shuttle(client, server, step=step)
    assert events[0].data == b"answer" and events[1].status is Status.OK
    assert events[1].trailers["spruce-found"] == "warm" and not client.streams and not server.streams


def test_messages_far_larger_than_the_windows_arrive_and_the_windows_recover():
    client, server = pair(stream_window=65536, link_window=100_000)
    for attempt in range(3):
        number = client.call("/a.B/C", "h")
        client.send(number, bytes(4_000_000))
        client.half_close(number)
        received = []
        for _ in range(200):
            _, events = shuttle(client, server)
            received += events
            for message in of_type(events, Message):
                server.consumed(number, message.size)
        assert [len(message.data) for message in of_type(received, Message)] == [4_000_000], attempt
        server.finish(number, Status.OK)
        shuttle(client, server)


def test_unconsumed_data_blocks_only_its_own_stream():
    client, server = pair(stream_window=65536, link_window=1 << 20)
    slow, fast = client.call("/a.B/C", "h"), client.call("/a.B/C", "h")
    for _ in range(100):
        server.send(slow, bytes(10_000)) if slow in server.streams else shuttle(client, server)
    shuttle(client, server)
    waiting = server.waiting_on(slow)
    assert 800_000 < waiting < 1_000_000
    server.send(fast, b"x")
    server.finish(fast, Status.OK)
    client_events, _ = shuttle(client, server)
    assert [event.stream for event in of_type(client_events, Answered)] == [fast]
    client.consumed(slow, 60_000)
    shuttle(client, server)
    assert server.waiting_on(slow) < waiting
    assert server.sweep(2) == [] and server.sweep(2) == []
    assert [event.stream for event in server.sweep(2)] == [slow] and slow not in server.streams


def test_a_goaway_resets_later_streams_as_never_run_and_earlier_ones_finish():
    client, server = pair()
    first = client.call("/a.B/C", "h")
    shuttle(client, server)
    server.go_away()
    second = client.call("/a.B/C", "h")
    client_events, server_events = shuttle(client, server)
    assert not of_type(server_events, CallStarted) and client.room == 0
    assert [(event.stream, event.never_ran) for event in of_type(client_events, Reset)] == [(second, True)]
    server.send(first, b"still")
    server.finish(first, Status.OK)
    client_events, _ = shuttle(client, server)
    assert (
        of_type(client_events, Message)[0].data == b"still" and of_type(client_events, Answered)[0].status is Status.OK
    )


def test_answers_before_invalid_input_in_the_same_read_count():
    """Guards against: a call that was answered counted as interrupted, so that it failed or ran again."""
    client, server = pair()
    numbers = [client.call("/a.B/C", "h") for _ in range(2)]
    shuttle(client, server)
    server.send(numbers[0], b"answer")
    server.finish(numbers[0], Status.OK)
    invalid = frame(0, 0, 0, b"data on no stream")
    events = client.receive(server.outgoing()[0] + invalid, 0.0)
    assert [type(event) for event in events] == [Message, Answered] and client.read_error and client.room == 0
    with pytest.raises(LinkError):
        pair()[0].receive(invalid, 0.0)


def test_streams_above_the_limit_are_refused_as_never_run_and_the_others_continue():
    client, server = ClientLink(Limits(streams=50)), ServerLink(Limits(streams=3))
    # A client may open more streams before it knows the server's SETTINGS.
    numbers = [client.call("/a.B/C", "h") for _ in range(5)]
    client_events, server_events = shuttle(client, server)
    assert [event.stream for event in of_type(server_events, CallStarted)] == numbers[:3]
    assert [(e.stream, e.never_ran) for e in of_type(client_events, Reset)] == [(n, True) for n in numbers[3:]]
    assert client.room == 0


@pytest.mark.parametrize(
    ("headers", "status"),
    [
        ({"grpc-timeout": "5x"}, Status.INVALID_ARGUMENT),
        ({"grpc-timeout": "123456789S"}, Status.INVALID_ARGUMENT),
        ({"grpc-encoding": "gzip"}, Status.UNIMPLEMENTED),
        ({"x-long": "v" * 20_000}, Status.RESOURCE_EXHAUSTED),
    ],
)
def test_bad_headers_get_a_status_on_their_own_stream(headers, status):
    client, server = pair()
    bad, good = client.call("/a.B/C", "h", headers), client.call("/a.B/C", "h")
    client_events, server_events = shuttle(client, server)
    assert [(event.stream, event.status) for event in of_type(client_events, Answered)] == [(bad, status)]
    assert [event.stream for event in of_type(server_events, CallStarted)] == [good]


def plain_http2(headers, body=b""):
    """The connection of an HTTP/2 client that does not use gRPC."""
    conn = h2.connection.H2Connection(h2.config.H2Configuration(client_side=True, header_encoding=None))
    conn.initiate_connection()
    conn.send_headers(1, headers, end_stream=not body)
    if body:
        conn.send_data(1, body, end_stream=True)
    return conn


def response_headers(conn, server):
    server.receive(conn.data_to_send(), 0.0)
    events = conn.receive_data(server.outgoing()[0])
    return [dict(event.headers) for event in events if hasattr(event, "headers")]


@pytest.mark.parametrize(
    ("method", "content_type", "status"),
    [(b"GET", b"application/grpc", b"405"), (b"POST", b"text/html", b"415"), (b"POST", b"application/grpcx", b"415")],
)
def test_a_request_that_is_not_grpc_gets_an_http_status(method, content_type, status):
    headers = [
        (b":method", method),
        (b":scheme", b"http"),
        (b":path", b"/"),
        (b":authority", b"h"),
        (b"content-type", content_type),
    ]
    assert response_headers(plain_http2(headers), ServerLink(Limits()))[0][b":status"] == status


GRPC = [
    (b":method", b"POST"),
    (b":scheme", b"http"),
    (b":path", b"/a.B/C"),
    (b":authority", b"h"),
    (b"te", b"trailers"),
    (b"content-type", b"application/grpc"),
]


@pytest.mark.parametrize(
    ("body", "status"),
    [
        (b"\x01\x00\x00\x00\x01x", b"12"),
        (b"\x00\xff\xff\xff\xffx", b"8"),
        (b"\x00\x00\x00\x00\x09half", b"3"),
        (b"\x00\x00", b"3"),
    ],
)
def test_compressed_too_large_or_truncated_messages_get_a_status(body, status):
    assert response_headers(plain_http2(GRPC, body), ServerLink(Limits()))[0][b"grpc-status"] == status


def frame(kind, flags, stream, body=b""):
    return len(body).to_bytes(3, "big") + bytes([kind, flags]) + stream.to_bytes(4, "big") + body


HELLO = PREFACE + frame(4, 0, 0)


def flood(server, data, now=0.0):
    with pytest.raises(LinkError) as caught:
        receive_all(server, data, now)
    out, _ = server.outgoing()
    assert frame(7, 0, 0)[3:5] in out, "no GOAWAY with the reason"
    return str(caught.value)


HEADERS = 1
WHOLE, CUT_OFF, COMPRESSED = b"\x00\x00\x00\x00\x04body", b"\x00\x00\x00\x00\x09half", b"\x01\x00\x00\x00\x01x"


@pytest.mark.parametrize("cut", [False, True], ids=["one read", "a read a frame"])
@pytest.mark.parametrize(
    ("headers", "body", "state"),
    [
        ([*GRPC[:-1], (b"content-type", b"text/html")], WHOLE, ""),
        ([*GRPC, (b"grpc-encoding", b"gzip")], WHOLE, ""),
        ([*GRPC, (b"grpc-timeout", b"5x")], WHOLE, ""),
        ([*GRPC, (b"x-long", b"v" * 20_000)], WHOLE, ""),
        (GRPC, CUT_OFF, ""),
        (GRPC, COMPRESSED, ""),
        (GRPC, WHOLE, "at the limit of streams"),
        (GRPC, WHOLE, "going away"),
    ],
)
def test_a_call_that_is_refused_and_was_reset_in_the_same_read_leaves_the_others(headers, body, state, cut):
    """Guards against: the answer to a stream that a later frame had ended was an error of the connection."""
    conn = plain_http2(GRPC, WHOLE)
    server = ServerLink(Limits(streams=1 if "limit" in state else 100))
    server.receive(conn.data_to_send(), 0.0)
    if state == "going away":
        server.go_away()
    pieces = []
    conn.send_headers(3, headers)
    pieces.append(conn.data_to_send())
    conn.send_data(3, body, end_stream=True)
    pieces.append(conn.data_to_send())
    conn.reset_stream(3, 8)
    pieces.append(conn.data_to_send())
    for piece in pieces if cut else [b"".join(pieces)]:
        server.receive(piece, 0.0)
    assert list(server.streams) == [1]
    server.outgoing()
    server.finish(1, Status.OK)
    out, _ = server.outgoing()
    assert out[3] == HEADERS and int.from_bytes(out[5:9], "big") == 1 and not server.streams


@pytest.mark.parametrize("queued", [0, 200_000])
def test_a_stream_whose_window_overflows_is_reset_and_the_others_are_answered(queued):
    """Guards against: the stream stayed open here, and an answer on it raised an error."""
    conn = plain_http2(GRPC, WHOLE)
    server = ServerLink(Limits())
    conn.increment_flow_control_window(2**20)
    conn.send_headers(3, GRPC)
    conn.send_data(3, WHOLE, end_stream=True)
    server.receive(conn.data_to_send(), 0.0)
    server.send(1, bytes(queued))
    server.outgoing()
    events = server.receive(overflow(1), 0.0)
    assert [(type(event), event.stream) for event in events] == [(Reset, 1)] and list(server.streams) == [3]
    server.finish(1, Status.OK)
    server.finish(3, Status.OK)
    assert HEADERS in kinds_on_stream(server.outgoing()[0], 3)


def overflow(stream):
    """Frames that widen the window of the stream further than HTTP/2 allows."""
    return 2 * frame(8, 0, stream, (2**31 - 1).to_bytes(4, "big"))


def kinds_on_stream(data, stream):
    """The types of the frames on the stream."""
    kinds = []
    while data:
        end = 9 + int.from_bytes(data[:3], "big")
        if int.from_bytes(data[5:9], "big") == stream:
            kinds.append(data[3])
        data = data[end:]
    return kinds


# What a client may do to one of its calls: begin it well or in a way that is refused, go on, end, reset, break a rule.
STEPS = st.sampled_from(["begin", "begin badly", "message", "cut off", "compressed", "end", "reset", "overflow"])


@given(st.lists(st.tuples(STEPS, st.integers(0, 3)), max_size=40), st.booleans())
@FAST
def test_the_calls_of_a_read_fare_the_same_however_it_is_cut(steps, leaving):
    """Guards against: an event is handled in a state of its stream that belongs to a later frame."""
    conn = h2.connection.H2Connection(h2.config.H2Configuration(client_side=True, header_encoding=None))
    conn.initiate_connection()
    opening, frames, open_streams = conn.data_to_send(), [], []
    for step, which in steps:
        if step.startswith("begin"):
            open_streams.append(conn.get_next_available_stream_id())
            conn.send_headers(open_streams[-1], GRPC if step == "begin" else [*GRPC, (b"grpc-timeout", b"5x")])
        elif not open_streams:
            continue
        else:
            stream = open_streams[which % len(open_streams)]
            if step == "overflow":
                frames.append(overflow(stream))
                continue
            if step == "reset":
                conn.reset_stream(stream, 8)
            else:
                body = {"message": WHOLE, "cut off": CUT_OFF, "compressed": COMPRESSED, "end": b""}[step]
                conn.send_data(stream, body, end_stream=step == "end")
            if step in ("reset", "end"):
                open_streams.remove(stream)
        frames.append(conn.data_to_send())
    fared = []
    for reads in ([b"".join(frames)], frames):
        server = ServerLink(Limits())
        server.receive(opening, 0.0)
        if leaving:
            server.go_away()
        events = [event for read in reads for event in receive_all(server, read)]
        for number in list(server.streams):
            server.finish(number, Status.OK)
        server.outgoing()
        fared.append(([repr(event) for event in events], list(server.streams)))
    assert fared[0] == fared[1] and not fared[0][1]


def test_floods_of_resets_pings_settings_and_empty_frames_end_the_connection():
    block = Encoder().encode(GRPC)
    resets = b"".join(frame(1, 4, n, block) + frame(3, 0, n, b"\0\0\0\x08") for n in range(1, 1201, 2))
    assert "reset" in flood(ServerLink(Limits()), HELLO + resets)
    assert "no use" in flood(ServerLink(Limits()), HELLO + frame(6, 0, 0, bytes(8)) * 3000)
    assert "no use" in flood(ServerLink(Limits()), HELLO + frame(4, 0, 0) * 3000)
    empty = HELLO + frame(1, 4, 1, block) + frame(0, 0, 1) * 3000
    assert "no use" in flood(ServerLink(Limits()), empty)


def test_a_flood_of_headers_ends_the_connection():
    headers = HELLO + frame(1, 0, 1, b"\x00\x01a\x01b" * 3000) + frame(9, 0, 1, b"\x00\x01a\x01b" * 3000) * 200
    flood(ServerLink(Limits()), headers)
    encoder = Encoder()
    encoder.header_table_size = 4096
    block = encoder.encode([*GRPC, *[(b"x", b"y" * 3000)] * 2000])
    flood(ServerLink(Limits()), HELLO + frame(1, 4, 1, block[:16000]))


def connection_with_partial_messages(budget):
    client, server = ClientLink(Limits()), ServerLink(Limits(stream_window=65536), budget)
    for _ in range(20):
        number = client.call("/a.B/C", "h")
        client._queue(number, client.streams[number], b"\x00" + (4_000_000).to_bytes(4, "big") + bytes(2_000_000))
    return client, server


def test_partial_messages_stay_within_the_receive_budget_and_excess_ends_the_connection():
    budget = ReceiveBudget(2_000_000)
    client, server = connection_with_partial_messages(budget)
    shuttle(client, server)
    # Granted window that is not used yet is not counted: up to one window per stream.
    assert 1_000_000 < budget.used < 2_000_000 + 21 * 65536
    for number in list(client.streams):
        client.reset(number)
    shuttle(client, server)
    assert budget.used == 0
    budget = ReceiveBudget(300_000)
    client, server = connection_with_partial_messages(budget)
    with pytest.raises(LinkError, match="half-sent"):
        shuttle(client, server)
    server.forget()
    assert budget.used == 0


@FAST
@given(st.binary(max_size=300), st.booleans())
def test_random_bytes_never_crash_either_end(data, after_preface):
    server, client = ServerLink(Limits()), ClientLink(Limits())
    number = client.call("/a.B/C", "h")
    for link, prefix in ((server, HELLO if after_preface else b""), (client, frame(4, 0, 0))):
        try:
            receive_all(link, prefix + data)
        except LinkError:
            assert link.dead
        link.outgoing()
    client.reset(number)


@FAST
@given(st.data())
def test_a_corrupted_connection_ends_in_events_or_a_reason(data):
    client = ClientLink(Limits())
    for n in range(3):
        number = client.call("/a.B/C", "h", {"k": "v" * n})
        client.send(number, b"hello" * n)
        client.half_close(number)
    good = bytearray(client.outgoing()[0])
    for _ in range(data.draw(st.integers(1, 4))):
        good[data.draw(st.integers(0, len(good) - 1))] = data.draw(st.integers(0, 255))
    cut = data.draw(st.integers(0, len(good)))
    server = ServerLink(Limits())
    try:
        server.receive(bytes(good[:cut]), 0.0)
        server.receive(bytes(good[cut:]), 1.0)
    except LinkError:
        assert server.dead
    server.outgoing()


@FAST
@given(st.floats(0.001, 8e7))
def test_timeouts_round_trip(ms):
    assert abs(read_timeout(write_timeout(ms)) - ms) <= max(0.001, ms * 1e-4)


def test_headers_that_never_end_are_refused_at_the_limit_on_headers():
    """Guards against: h2 keeps up to a megabyte of frames until the end of the headers, counted nowhere."""
    server = ServerLink(Limits(header_list=16_384))
    server.receive(HELLO, 0.0)
    server.receive(frame(1, 0, 1, bytes(16_000)), 0.0)
    for number in range(2, 5):
        server.receive(frame(9, 0, 1, bytes(16_000)), 0.0)
        assert server.buffered_bytes == number * 16_000
    with pytest.raises(LinkError, match="headers of over 65536 bytes"):
        server.receive(frame(9, 0, 1, bytes(16_000)), 0.0)
