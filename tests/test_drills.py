"""Malformed and hostile input to the daemon over sockets: the sender gets an error, other clients are not affected,
and memory stays bounded."""

import random
import resource
import socket
import time

import grpc
import pytest
from program import Stage, request, send_raw
from test_link import GRPC, HELLO, Encoder, frame

from sprucespool.wire import names

pytestmark = pytest.mark.sockets

Code = grpc.StatusCode


@pytest.fixture(scope="module")
def served(tmp_path_factory):
    stage = Stage()
    standin = stage.invoker(cores=200)
    daemon = stage.controller(
        tmp_path_factory.mktemp("drills"),
        [standin.name],
        'bounds message="1MiB" connections=200 unread="2s" handshake="1s" half-received="8MiB" buffers="16MiB"\n'
        "to-invokers connections=8 streams=100",
    )
    with grpc.insecure_channel(f"127.0.0.1:{daemon.port}") as grpc_channel:
        infer = grpc_channel.unary_unary(names.MODEL_INFER)
        infer(request(), timeout=5)
        yield stage, daemon, infer
    stage.run(daemon.stop(500))
    stage.close()


@pytest.fixture(autouse=True)
def other_clients_are_unaffected(served):
    _, _, infer = served
    yield
    for n in range(5):
        infer(request(id=f"after{n}"), timeout=2)


def error_of(infer, data, **options):
    with pytest.raises(grpc.RpcError) as caught:
        infer(data, timeout=2, **options)
    return caught.value.code(), caught.value.details()


@pytest.mark.parametrize(
    ("data", "expected"),
    [
        (b"\xff\xff\xff", "no ModelInferRequest"),
        (b"", "expected model_name"),
        (request(model_group="none"), "expected model_group as one of line, bill, stream, got 'none'"),
        (request(model_group=7), "expected model_group as a string"),
        (request(tenant="x"), "expected tenant"),
        (request(cost_ms="much"), "expected cost_ms as a number"),
        (request(lanes=-2), "expected lanes as a number"),
        (request("m" * 600), "512 are allowed"),
    ],
)
def test_a_malformed_request_gets_an_error_that_says_what_was_expected(served, data, expected):
    status, details = error_of(served[2], data)
    assert status is Code.INVALID_ARGUMENT and expected in details


def test_too_large_messages_and_unknown_methods_get_an_error(served):
    assert error_of(served[2], request(payload=bytes(2 * 2**20)))[0] is Code.RESOURCE_EXHAUSTED
    with grpc.insecure_channel(f"127.0.0.1:{served[1].port}") as grpc_channel:
        assert (
            error_of(grpc_channel.unary_unary("/inference.GRPCInferenceService/Nothing"), b"")[0] is Code.UNIMPLEMENTED
        )
        assert error_of(grpc_channel.unary_unary("/"), b"")[0] is Code.UNIMPLEMENTED


def test_random_bytes_and_truncated_frames_close_only_their_connection(served):
    rng = random.Random(5)
    for n in range(30):
        data = rng.randbytes(rng.randint(1, 3000))
        send_raw(served[1].port, data if n % 2 else HELLO + data, wait=0.05)
    for cut in (1, 10, 24, 30, 40):
        send_raw(served[1].port, (HELLO + frame(1, 4, 1, Encoder().encode(GRPC)))[:cut], wait=0.05)
    assert b"expected the HTTP/2 preface" in send_raw(served[1].port, b"GET / HTTP/1.1\r\nhost: x\r\n\r\n")


def test_floods_are_answered_with_a_goaway(served):
    block = Encoder().encode(GRPC)
    resets = b"".join(frame(1, 4, n, block) + frame(3, 0, n, b"\0\0\0\x08") for n in range(1, 2001, 2))
    headers = frame(1, 0, 1, b"\x00\x01a\x01b" * 3000) + frame(9, 0, 1, b"\x00\x01a\x01b" * 3000) * 100
    for flood in (resets, headers, frame(6, 0, 0, bytes(8)) * 5000, frame(4, 0, 0) * 5000):
        received = send_raw(served[1].port, HELLO + flood, wait=1.0)
        assert b"\x07\x00\x00\x00\x00\x00" in received


def test_clients_with_a_zero_window_lose_only_their_own_responses(served):
    stage, daemon, _ = served
    block = Encoder().encode([*GRPC[:2], (b":path", names.MODEL_INFER.encode()), *GRPC[3:]])
    body = request(payload=b"x")
    call = frame(0, 1, 1, b"\x00" + len(body).to_bytes(4, "big") + body)
    zero_window = HELLO + frame(4, 0, 0, b"\x00\x04\x00\x00\x00\x00") + frame(1, 4, 1, block) + call
    with socket.create_connection(("127.0.0.1", daemon.port)) as conn:
        conn.sendall(zero_window)
        deadline = time.monotonic() + 6
        while time.monotonic() < deadline:
            time.sleep(0.1)
            if not stage.call(lambda: sum(peer.link.unsent for peer in daemon.listener.peers)):
                unsent = stage.call(lambda: [len(peer.link.sending) for peer in daemon.listener.peers])
                if not any(unsent) and time.monotonic() > deadline - 3:
                    break
        assert stage.call(lambda: sum(peer.link.unsent for peer in daemon.listener.peers)) == 0
    assert stage.call(lambda: len(daemon.server.clients)) == 0


def test_silent_connections_are_closed_and_those_above_the_limit_refused(served):
    stage, daemon, _ = served
    conns = [socket.create_connection(("127.0.0.1", daemon.port)) for _ in range(260)]
    deadline = time.monotonic() + 5
    while time.monotonic() < deadline and stage.call(lambda: len(daemon.listener.peers)) > 5:
        time.sleep(0.1)
    assert stage.call(lambda: daemon.listener.turned_away) >= 50
    assert stage.call(lambda: len(daemon.listener.peers)) <= 5
    for conn in conns:
        conn.close()


def test_partial_messages_of_many_connections_stay_within_the_limit(served):
    stage, daemon, _ = served
    block = Encoder().encode([*GRPC[:2], (b":path", names.MODEL_INFER.encode()), *GRPC[3:]])
    before = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    conns = []
    for _ in range(40):
        conn = socket.create_connection(("127.0.0.1", daemon.port))
        conn.settimeout(0.2)
        message_header = b"\x00" + (2**20).to_bytes(4, "big")
        data = HELLO + b"".join(
            frame(1, 4, n, block) + frame(0, 0, n, message_header + bytes(16_000)) + frame(0, 0, n, bytes(16_000)) * 62
            for n in range(1, 9, 2)
        )
        try:
            conn.sendall(data)
        except OSError:
            pass
        conns.append(conn)
    time.sleep(0.3)
    used_bytes = stage.call(lambda: daemon.listener.ledger.used)
    growth_kib = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss - before
    for conn in conns:
        conn.close()
    time.sleep(0.3)
    assert used_bytes <= 17 * 2**20 and growth_kib < 200 * 1024
    assert stage.call(lambda: daemon.listener.ledger.used) == 0


def test_messages_of_calls_that_are_never_finished_stay_within_the_limit(served):
    """Guards against: a whole message whose client never finished sending was counted nowhere."""
    stage, daemon, _ = served
    block = Encoder().encode([*GRPC[:2], (b":path", names.MODEL_INFER.encode()), *GRPC[3:]])
    message = b"\x00" + (60_000).to_bytes(4, "big") + bytes(60_000)
    pieces = [message[at : at + 16_000] for at in range(0, len(message), 16_000)]
    conns = []
    for _ in range(40):
        conn = socket.create_connection(("127.0.0.1", daemon.port))
        streams = range(1, 33, 2)
        frames = [frame(1, 4, n, block) + b"".join(frame(0, 0, n, piece) for piece in pieces) for n in streams]
        conn.sendall(HELLO + b"".join(frames))
        conns.append(conn)
    time.sleep(0.5)
    # Sixteen messages of 60,000 bytes on each.
    bytes_held = 16 * 60_000 * (stage.call(lambda: len(daemon.listener.peers)) - 2)
    for conn in conns:
        conn.close()
    time.sleep(0.3)
    assert 8 * 2**20 < bytes_held <= 16 * 2**20
    assert stage.call(lambda: daemon.listener.buffer_budget.used) < 2**16
