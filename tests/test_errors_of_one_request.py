"""An unexpected error in handling one request ends that request alone, not what others wait for beside it."""

import asyncio
import contextlib

import pytest
from platform_scene import InvokerStandIn, Scene, hit, run_scene, until
from platform_world import frame, request_frame

from sprucespool.gateway import messages as ms
from sprucespool.grpc.events import Answered
from sprucespool.grpc.status import Limits, Status
from sprucespool.node.gateway_server import EFFECTS, GatewayServer
from sprucespool.node.invokers import InvokerRequest
from sprucespool.relay.frames import Request
from sprucespool.transport.listener import Listener, Server, unary
from sprucespool.transport.plan import PoolLimits
from sprucespool.transport.pool import Pool

pytestmark = pytest.mark.sockets

BAD_ID = "b" * 16


def failing(method, is_bad):
    """The method, but an unexpected error once it has done its work for an argument that `is_bad` names."""

    def replaced(*arguments):
        result = method(*arguments)
        if is_bad(*arguments):
            raise RuntimeError("a fault put in by the test")
        return result

    return replaced


def stream_of(request: Request | int) -> int:
    return request if isinstance(request, int) else request.stream


@contextlib.asynccontextmanager
async def pool_of(**methods):
    """A pool with one connection to a listener that serves the methods."""
    listener = Listener({f"/a/{name}": method for name, method in methods.items()}, Limits(), Server())
    pool = Pool("127.0.0.1", await listener.start("127.0.0.1", 0), Limits(), PoolLimits(connections=1), 1)
    try:
        yield pool
    finally:
        pool.close()
        listener.close()
        await asyncio.sleep(0.02)


# Towards clients


@pytest.mark.parametrize("method", ["request_received", "request_cancelled"])
def test_an_error_in_handling_one_request_answers_it_and_leaves_its_connection_open(monkeypatch, method):
    """Guards against: the error ended the connection, and the requests beside it got no answer."""

    async def scene():
        async with Scene(InvokerStandIn()) as world:
            server = world.node.server
            monkeypatch.setattr(
                server, method, failing(getattr(server, method), lambda connection, request: stream_of(request) == 2)
            )
            client = await world.client()
            client.send(request_frame(1, id="a" * 16) + request_frame(2, id=BAD_ID) + request_frame(3, id="c" * 16))
            if method == "request_cancelled":
                client.send(frame(18, 2))
            answers = await client.answers_to({1, 3})
            client.send(request_frame(4, id="d" * 16))
            answers += await client.answers_to({4})
            assert sorted(answers) == ([1, 2, 3, 4] if method == "request_received" else [1, 3, 4])
            assert not server.calls and not server.held_bytes and BAD_ID not in world.invokers[0].runs()

    run_scene(scene)


def test_an_error_in_carrying_out_one_effect_leaves_the_others_of_its_batch(monkeypatch):
    """Guards against: the error dropped the forwards and answers that were decided together with it."""

    async def scene():
        async with Scene(InvokerStandIn()) as world:
            client = await world.warmed()
            calls = world.node.server.calls

            def is_bad(server: GatewayServer, effect: ms.SendForward) -> bool:
                return effect.call in calls and calls[effect.call].request.id == BAD_ID

            monkeypatch.setitem(EFFECTS, ms.SendForward, failing(EFFECTS[ms.SendForward], is_bad))
            client.send(request_frame(2, id=BAD_ID) + request_frame(3, id="c" * 16) + request_frame(4, id="d" * 16))
            assert sorted(await client.answers(3)) == [(17, 2, 0), (17, 3, 0), (17, 4, 0)]

    run_scene(scene)


def test_an_error_in_serving_one_grpc_call_ends_it_with_a_status_and_leaves_its_connection_open():
    """Guards against: the error ended the connection, and the calls beside it were cut."""

    async def scene():
        held = []

        def bad(call, data):
            raise RuntimeError("a fault put in by the test")

        async with pool_of(Held=unary(lambda call, data: held.append(call)), Bad=unary(bad)) as pool:
            waiting, failed = [], []
            pool.call("/a/Held", {}, 3_000.0, b"", waiting.append)
            await until(lambda: held)
            pool.call("/a/Bad", {}, 3_000.0, b"", failed.append)
            await until(lambda: failed)
            held[0].finish(Status.OK)
            await until(lambda: waiting)
            assert [event.status for event in failed] == [Status.UNKNOWN]
            assert isinstance(waiting[0], Answered) and waiting[0].status is Status.OK

    run_scene(scene)


# Towards invokers


def test_an_error_at_the_answer_of_one_attempt_leaves_the_others_of_the_same_read(monkeypatch):
    """Guards against: the error ended the connection to the invoker, and the other answers counted as resets."""

    async def scene():
        answers = []

        def collect(tag):
            answers.append(tag)
            return b"".join(map(hit, answers)) if len(answers) == 3 else None

        async with Scene(InvokerStandIn(collect)) as world:
            monkeypatch.setattr(InvokerRequest, "__init__", failing_end(InvokerRequest.__init__, BAD_ID))
            client = await world.client()
            client.send(request_frame(1, id=BAD_ID) + request_frame(2, id="c" * 16) + request_frame(3, id="d" * 16))
            assert sorted(await client.answers_to({1, 2, 3}, 1.0)) == [1, 2, 3]
            assert world.invokers[0].connections == 1

    run_scene(scene)


def failing_end(init, bad_tag):
    """The constructor of requests, but the `on_end` of the one with that tag raises."""

    def replaced(self, invoker, tag, write, on_end, is_wanted, now):
        init(self, invoker, tag, write, failing(on_end, lambda result: tag == bad_tag), is_wanted, now)

    return replaced


def test_an_error_at_the_answer_of_one_grpc_attempt_leaves_the_others_of_the_same_read():
    """Guards against: the error ended the connection to the invoker, and the other answers counted as broken."""

    async def scene():
        held, others = [], []

        def fail(event):
            raise RuntimeError("a fault put in by the test")

        async with pool_of(Held=unary(lambda call, data: held.append(call))) as pool:
            for on_event in (others.append, fail, others.append):
                pool.call("/a/Held", {}, 3_000.0, b"", on_event)
            await until(lambda: len(held) == 3)
            for call in held:
                call.finish(Status.OK)
            await until(lambda: len(others) == 2)
            assert [event.status for event in others] == [Status.OK, Status.OK]

    run_scene(scene)
