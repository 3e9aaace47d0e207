"""What has ended is freed at once: reference cycles would keep its bytes until the garbage collector runs."""

import asyncio
import gc
from contextlib import contextmanager

import pytest
from platform_scene import InvokerStandIn, Scene, run_scene, until
from platform_world import SETTINGS, frame, request_frame

from sprucespool.grpc import Limits
from sprucespool.node.clients import ClientConnection
from sprucespool.node.gateway_server import _Forward
from sprucespool.node.invokers import InvokerRequest
from sprucespool.relay.frames import FrameLink, Request
from sprucespool.relay.lines import InvokerLink, LineError
from sprucespool.relay.unparsed import UnparsedBytes
from sprucespool.transport.plan import PoolLimits
from sprucespool.transport.pool import Pool
from sprucespool.transport.wire import Wire

pytestmark = pytest.mark.sockets

LONG_CONNECT_TIMEOUT = {**SETTINGS, "ceilings": {**SETTINGS["ceilings"], "connectTimeout": 3000}}
NO_CANCELLATION = {**SETTINGS, "ceilings": {**SETTINGS["ceilings"], "cancel": False}}


@contextmanager
def no_garbage_collector():
    gc.collect()
    gc.disable()
    try:
        yield
    finally:
        gc.enable()


def alive(*kinds: type) -> int:
    return sum(type(one) in kinds for one in gc.get_objects())


@pytest.mark.parametrize("cancelled", [False, True])
def test_attempts_that_ended_are_freed(cancelled):
    """Guards against: attempt and request to the invoker referred to each other, and kept the body of the answer."""

    async def scene():
        async with Scene(InvokerStandIn()) as world:
            client = await world.warmed()
            with no_garbage_collector():
                before = alive(_Forward, InvokerRequest)
                world.invokers[0].behave = (lambda tag: None) if cancelled else world.invokers[0].behave
                client.send(b"".join(request_frame(n, id=f"{n:016x}") for n in range(2, 12)))
                if cancelled:
                    await asyncio.sleep(0.2)
                    client.close()
                else:
                    assert len(await client.answers(10)) == 10
                await asyncio.sleep(0.2)
                assert len(world.invokers[0].runs()) > 4
                assert alive(_Forward, InvokerRequest) == before

    run_scene(scene)


def test_connections_that_closed_are_freed():
    """Guards against: the timer of a close that was over, and callbacks, kept clients that come again for 1.5 s."""

    async def scene():
        async with Scene(InvokerStandIn()) as world:
            with no_garbage_collector():
                before = alive(ClientConnection, Wire, FrameLink, UnparsedBytes)
                for _ in range(10):
                    client = await world.client()
                    client.send(frame(99, 0))
                    assert await client.answers(1) == [(17, 0, 2)]
                    client.close()
                await until(lambda: not world.node.server.listener.connections)
                await asyncio.sleep(0.05)
                assert alive(ClientConnection, Wire, FrameLink, UnparsedBytes) == before

    run_scene(scene)


def test_a_connection_to_an_invoker_that_closed_is_freed():
    """Guards against: an answer that can't be read kept what was read with it, and its connection."""

    async def scene():
        async with Scene(InvokerStandIn(lambda tag: bytes(100_000))) as world:
            client = await world.client()
            with no_garbage_collector():
                before = alive(Wire, InvokerLink, LineError)
                for number in range(1, 5):
                    client.send(request_frame(number, id=f"{number:016x}", wait="300"))
                    await asyncio.sleep(0.1)
                client.close()
                await asyncio.sleep(0.5)
                assert world.invokers[0].connections > 2
                assert alive(Wire, InvokerLink, LineError) <= before

    run_scene(scene)


def test_requests_cancelled_before_they_were_sent_are_freed():
    """Guards against: they waited on for a connection with their bodies, and took the places of others."""

    async def scene():
        async with Scene(InvokerStandIn(full=True), settings=LONG_CONNECT_TIMEOUT) as world:
            client = await world.client()
            with no_garbage_collector():
                before = alive(Request)
                numbers = range(1, 6)
                client.send(b"".join(request_frame(n, bytes(16_000), id=f"{n:016x}") for n in numbers))
                await until(lambda: len(world.node.server.in_flight) == len(numbers))
                client.send(b"".join(frame(18, n) for n in numbers))
                await until(lambda: not world.node.server.calls)
                await asyncio.sleep(0.1)
                assert world.node.server.invokers["s-0"].opening
                assert alive(Request) == before

    run_scene(scene)


def test_calls_over_grpc_cancelled_before_they_were_sent_are_freed():
    """Guards against: they waited on for a connection with their messages, and took the places of others."""

    async def scene():
        invoker = await InvokerStandIn(full=True).start()
        pool = Pool("127.0.0.1", invoker.port, Limits(), PoolLimits(connect_timeout=3_000.0, waiting=3), 1)
        for _ in range(10):
            pool.call("/a/b", {}, None, bytes(100_000), lambda event: None).cancel()
        assert pool.opening and not pool.waiting
        pool.close()
        invoker.close()

    run_scene(scene)


def test_an_attempt_that_goes_on_after_its_client_left_keeps_no_body():
    """Guards against: where attempts can't be called off, clients that come again left uncounted bodies behind."""

    async def scene():
        async with Scene(InvokerStandIn(lambda tag: None), settings=NO_CANCELLATION) as world:
            client = await world.client()
            client.send(b"".join(request_frame(n, bytes(16_000), id=f"{n:016x}") for n in range(1, 6)))
            await until(lambda: world.invokers[0].runs())
            client.close()
            await until(lambda: not world.node.server.calls)
            await asyncio.sleep(0.05)
            assert world.node.server.in_flight
            assert not any(one.body for one in gc.get_objects() if type(one) is Request)

    run_scene(scene)
