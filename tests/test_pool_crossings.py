"""Calls of a pool to a peer that stops reading or goes away.

A call that the system has not accepted for writing can still be withdrawn. A call that crosses the peer's announcement
of closing the connection is known not to have run.
"""

import asyncio
import contextlib
import socket

import pytest
from h2.settings import SettingCodes
from faulty_sockets import Faults, faulty_sockets
from platform_scene import run_scene, until

from sprucespool.grpc import Status
from sprucespool.daemon.group import GroupCarrier
from sprucespool.grpc.events import CallStarted, HalfClosed, Message, Reset
from sprucespool.grpc.client import ClientLink
from sprucespool.grpc.server import ServerLink
from sprucespool.grpc.status import Limits
from sprucespool.settings.controller import ControllerPlan, GroupPlan, Place, RosterSource
from sprucespool.transport.buffers import BufferBudget
from sprucespool.transport.listener import Listener, Server, unary
from sprucespool.transport.plan import PoolLimits
from sprucespool.transport.pool import Broken, Pool, Unconnected
from sprucespool.wire import names
from sprucespool.wire import platform_pb2 as platform

pytestmark = pytest.mark.sockets

WIDE = Limits(stream_window=32 * 2**20, link_window=32 * 2**20, message=32 * 2**20)
# More than the system buffers between two sockets.
LARGE = 24 * 2**20
SMALL_BUFFER = 16 * 1024


class PausedPeer:
    """Accepts one connection and reads from it only on request."""

    def __init__(self):
        self.listening = socket.socket()
        self.listening.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER)
        self.listening.bind(("127.0.0.1", 0))
        self.listening.listen()
        self.listening.setblocking(False)
        self.port = self.listening.getsockname()[1]
        self.link = ServerLink(WIDE)
        self.events = []
        self.ended = False

    async def accept(self):
        loop = asyncio.get_running_loop()
        self.connection, _ = await loop.sock_accept(self.listening)
        self.connection.setblocking(False)
        await self.read(0.2)

    async def read(self, quiet):
        """Read and answer frames until nothing has arrived for `quiet` seconds."""
        loop = asyncio.get_running_loop()
        with contextlib.suppress(TimeoutError, ConnectionError):
            while not self.ended:
                await loop.sock_sendall(self.connection, self.link.outgoing()[0])
                data = await asyncio.wait_for(loop.sock_recv(self.connection, 1 << 18), quiet)
                self.ended = not data
                for event in self.link.receive(data, 0.0):
                    self.events.append(event)
                    if isinstance(event, Message):
                        self.link.consumed(event.stream, event.size)

    @property
    def begun(self):
        return [event.path for event in self.events if isinstance(event, CallStarted)]

    def close(self):
        self.connection.close()
        self.listening.close()


@contextlib.asynccontextmanager
async def pool_and_peer(**limits):
    """A pool with one connection to a peer, after the handshake."""
    peer = PausedPeer()
    pool = Pool("127.0.0.1", peer.port, WIDE, PoolLimits(connect_timeout=3_000.0, **limits), 1)
    warm = []
    pool.call("/a/Warm", {}, 5_000.0, b"", warm.append)
    await peer.accept()
    assert peer.begun == ["/a/Warm"]
    yield pool, peer
    pool.close()
    peer.close()


async def block_with_a_large_call(pool):
    large = []
    call = pool.call("/a/Large", {}, 10_000.0, b"x" * LARGE, large.append)
    await until(lambda: all(conn.wire.paused for conn in pool.conns.values()))
    return call, large


@pytest.mark.parametrize("how", ["cancel", "drain", "deadline"])
def test_a_call_behind_an_unread_socket_can_be_withdrawn(how):
    async def scene():
        async with pool_and_peer(connections=1) as (pool, peer):
            await block_with_a_large_call(pool)
            received = []
            call = pool.call("/a/Behind", {}, 200.0 if how == "deadline" else 5_000.0, b"small", received.append)
            await asyncio.sleep(0.05)
            assert not received
            if how == "cancel":
                call.cancel()
            elif how == "drain":
                pool.withdraw_waiting("drains")
                assert [type(event) for event in received] == [Unconnected]
            else:
                await asyncio.sleep(0.25)
            await peer.read(0.3)
            assert peer.begun == ["/a/Warm", "/a/Large"]
            assert [type(event) for event in received] == ([] if how == "cancel" else [Unconnected])

    run_scene(scene)


def test_a_call_behind_an_unread_socket_is_sent_when_the_peer_reads_with_the_remaining_time():
    async def scene():
        async with pool_and_peer(connections=1) as (pool, peer):
            await block_with_a_large_call(pool)
            pool.call("/a/Behind", {}, 2_000.0, b"small", lambda event: None)
            await asyncio.sleep(0.5)
            await peer.read(0.3)
            [behind] = [event for event in peer.events if isinstance(event, CallStarted) and event.path == "/a/Behind"]
            assert behind.timeout <= 1_550.0
            whole = {event.stream for event in peer.events if isinstance(event, HalfClosed)}
            assert behind.stream in whole and len(whole) == 3

    run_scene(scene)


def test_a_call_beside_an_unread_socket_uses_another_connection():
    async def scene():
        async with pool_and_peer(connections=2) as (pool, peer):
            await block_with_a_large_call(pool)
            pool.call("/a/Beside", {}, 2_000.0, b"small", lambda event: None)
            await until(lambda: len(pool.conns) == 2)
            [free] = [conn for conn in pool.conns.values() if not conn.wire.paused]
            await until(lambda: free.calls)
            assert [call.path for call in free.calls.values()] == ["/a/Beside"]

    run_scene(scene)


def test_a_call_cancelled_before_its_headers_were_written_ends_the_connection_and_never_begins():
    async def scene():
        with faulty_sockets(Faults()) as faults:
            peer = PausedPeer()
            faults.invoker_ports.add(peer.port)
            pool = Pool("127.0.0.1", peer.port, WIDE, PoolLimits(connect_timeout=3_000.0), 1)
            other = []
            pool.call("/a/Warm", {}, 5_000.0, b"", other.append)
            await peer.accept()
            faults.hold_sends = 0
            received = []
            call = pool.call("/a/Held", {}, 5_000.0, b"held", received.append)
            await asyncio.sleep(0.02)
            call.cancel()
            await asyncio.sleep(0.1)
            faults.hold_sends = None
            await peer.read(0.3)
            assert peer.begun == ["/a/Warm"] and peer.ended
            # A call already written on the same connection may have run.
            assert not received and [type(event) for event in other] == [Broken]
            pool.close()
            peer.close()

    run_scene(scene)


def test_a_large_answer_that_the_system_accepts_in_parts_is_not_mistaken_for_a_peer_that_does_not_read():
    async def scene():
        answer = b"a" * LARGE

        def serve(call, data):
            call.send(answer)
            call.finish(Status.OK)

        listener = Listener({"/a/Large": unary(serve)}, WIDE, Server())
        port = await listener.start("127.0.0.1", 0)
        loop = asyncio.get_running_loop()
        client = socket.socket()
        client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER)
        client.setblocking(False)
        await loop.sock_connect(client, ("127.0.0.1", port))
        link = ClientLink(WIDE)
        number = link.call("/a/Large", "a", {}, 10_000.0)
        link.send(number, b"")
        link.half_close(number)
        await loop.sock_sendall(client, link.outgoing()[0])
        await asyncio.sleep(0.3)
        got = []
        while not got:
            data = await asyncio.wait_for(loop.sock_recv(client, 1 << 18), 3.0)
            assert data, "closed before the answer was whole"
            got += [event for event in link.receive(data, 0.0) if isinstance(event, Message)]
            await loop.sock_sendall(client, link.outgoing()[0])
        assert len(got[0].data) == LARGE
        client.close()
        listener.close()

    run_scene(scene)


# A peer that goes away


def test_a_call_that_crosses_the_end_of_its_connection_is_reported_as_never_run():
    async def scene():
        async with pool_and_peer(connections=1) as (pool, peer):
            received = []
            peer.link.go_away()
            pool.call("/a/Crossing", {}, 2_000.0, b"small", received.append)
            await peer.read(0.1)
            await until(lambda: received)
            assert [(type(event), event.never_ran) for event in received] == [(Reset, True)]
            assert peer.begun == ["/a/Warm"]

    run_scene(scene)


def test_a_call_after_the_peer_lowered_its_limit_of_streams_waits_for_another_connection():
    """Guards against: the limit was not seen before the next event, and the call beyond it raised an error."""

    async def scene():
        async with pool_and_peer(connections=2) as (pool, peer):
            old = list(pool.conns)
            peer.link.h2.update_settings({SettingCodes.MAX_CONCURRENT_STREAMS: 1})
            await peer.read(0.1)
            received = []
            pool.call("/a/Next", {}, 2_000.0, b"small", received.append)
            first, peer.link = peer.connection, ServerLink(WIDE)
            await peer.accept()
            assert peer.begun == ["/a/Warm", "/a/Next"] and old[0].room == 0 and len(pool.conns) == 2
            first.close()

    run_scene(scene)


def test_a_call_made_at_an_answer_read_together_with_a_goaway_uses_another_connection():
    """Guards against: it was begun on a connection of which a later event of the same read had said the end."""

    async def scene():
        async with pool_and_peer(connections=1) as (pool, peer):
            received = []

            def call_again(event):
                pool.call("/a/Again", {}, 2_000.0, b"small", received.append)

            pool.call("/a/First", {}, 2_000.0, b"small", call_again)
            await peer.read(0.1)
            peer.link.finish(3, Status.OK)
            peer.link.go_away()
            await peer.read(0.1)
            assert peer.begun == ["/a/Warm", "/a/First"] and not received
            peer.link = ServerLink(WIDE)
            await peer.accept()
            assert peer.begun == ["/a/Warm", "/a/First", "/a/Again"]

    run_scene(scene)


def test_an_answer_read_together_with_invalid_input_counts_and_the_other_calls_are_broken():
    """Guards against: a call that was answered was reported as broken with its connection."""

    async def scene():
        async with pool_and_peer(connections=1) as (pool, peer):
            received, others = [], []
            pool.call("/a/First", {}, 2_000.0, b"small", received.append)
            pool.call("/a/Other", {}, 2_000.0, b"small", others.append)
            await peer.read(0.1)
            peer.link.finish(3, Status.OK)
            data_on_no_stream = bytes((0, 0, 1, 0, 0, 0, 0, 0, 0, 0))
            peer.connection.send(peer.link.outgoing()[0] + data_on_no_stream)
            await until(lambda: received and others)
            assert [event.status for event in received] == [Status.OK]
            assert [type(event) for event in others] == [Broken] and not pool.conns

    run_scene(scene)


def test_new_calls_use_another_connection_while_the_old_one_still_answers():
    async def scene():
        async with pool_and_peer(connections=1) as (pool, peer):
            old = list(pool.conns)
            peer.link.go_away()
            await peer.read(0.1)
            await until(lambda: old[0].closing)
            pool.call("/a/Next", {}, 2_000.0, b"small", lambda event: None)
            first, peer.link = peer.connection, ServerLink(WIDE)
            await peer.accept()
            assert peer.begun == ["/a/Warm", "/a/Next"] and old[0] in pool.conns and old[0].open_calls == 1
            first.close()

    run_scene(scene)


def test_a_group_message_that_crosses_the_end_of_its_connection_is_sent_again_once():
    async def scene():
        received = []

        def say(call, data):
            received.append(platform.MemberMessage.FromString(data).fleet)
            call.finish(Status.OK)

        listener = Listener({names.MEMBERSHIP_SAY: unary(say)}, WIDE, Server())
        address = f"127.0.0.1:{await listener.start('127.0.0.1', 0)}"
        plan = ControllerPlan("127.0.0.1:0", RosterSource(file="unused"), [], Place(0, 1))
        carrier = GroupCarrier(plan, GroupPlan("of a test", "a mark"), lambda given: None, None, {})
        carrier._post(address, platform.MemberMessage(fleet=b"first"))
        await until(lambda: received)
        listener.go_away(frozenset({names.MEMBERSHIP_SAY}))
        carrier._post(address, platform.MemberMessage(fleet=b"crossing"))
        await until(lambda: len(received) == 2)
        await asyncio.sleep(0.1)
        assert received == [b"first", b"crossing"]
        carrier.stop()
        listener.close()

    run_scene(scene)


def test_answers_that_never_end_stay_within_the_limit_of_all_pools():
    """Guards against: what invokers had sent of their answers was limited for each connection alone."""

    async def scene():
        # Each invoker sends a message of 60,000 bytes, which the caller does not consume, and no end.
        methods = {"/a/Open": unary(lambda call, data: call.send(bytes(60_000)))}
        listeners = [Listener(methods, Limits(), Server()) for _ in range(2)]
        budget, events, pools = BufferBudget(100_000), [], []

        def all_answered() -> bool:
            return sum(isinstance(event, Message) for event in events) == len(pools)

        for listener in listeners:
            port = await listener.start("127.0.0.1", 0)
            pools.append(Pool("127.0.0.1", port, Limits(), PoolLimits(), 1, buffer_budget=budget))
            pools[-1].call("/a/Open", {}, 5_000.0, b"", events.append)
            await until(all_answered)
        await until(lambda: any(isinstance(event, Broken) for event in events))
        # The older one ended.
        assert not pools[0].conns and len(pools[1].conns) == 1 and 60_000 <= budget.used <= 100_000
        for end in [*pools, *listeners]:
            end.close()

    run_scene(scene)
