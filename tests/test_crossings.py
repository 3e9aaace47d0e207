"""Races of two events, each at a point that the test controls: docs/design/crossings.md has a row for each."""

import asyncio
import errno
import json
import time
from random import Random
from types import SimpleNamespace

import pytest
from faulty_sockets import Faults, faulty_sockets
from platform_scene import ChannelStandIn, InvokerStandIn, RawClient, Scene, entry, event, hit, run_scene, until
from platform_world import SETTINGS, frame, request_frame, settings_of_all_effects

from sprucespool.daemon.gateway_server import GatewayServer
from sprucespool.daemon.invoker_pools import InvokerPools
from sprucespool.gateway import messages as ms
from sprucespool.grpc.status import Limits
from sprucespool.node.gateway_server import EFFECTS
from sprucespool.transport.plan import PoolLimits
from sprucespool.transport.pool import Pool, Unconnected

pytestmark = pytest.mark.sockets

STALL_SECONDS = 0.4
# Longer than any time limit of a client's connection.
LONGEST_LIMIT_MS = 11_000.0


def never_answer(tag):
    return None


def settings(**change):
    """The settings of the platform's tests with changed ceilings."""
    changed = json.loads(json.dumps(SETTINGS))
    changed["ceilings"].update(change)
    return changed


SMALL_MEMORY = {"memory_mb": 1, "sockets": 256}
LONG_CONNECT_TIMEOUT = dict(settings=settings(connectTimeout=3000))


# Events of one read


def test_a_request_cancelled_in_its_own_read_leaves_the_connection_to_the_others():
    """Guards against: it was shed over the limit on bodies after its stream had ended, which ended the connection."""

    async def scene():
        async with Scene(InvokerStandIn(), limits=SMALL_MEMORY) as world:
            client = await world.client()
            waiting = b"".join(request_frame(n, bytes(15_000), id=f"{n:016x}") for n in range(1, 11))
            client.send(waiting + request_frame(11, bytes(15_000), id=f"{11:016x}") + frame(18, 11))
            assert {(17, n, 0) for n in range(1, 11)} == set(await client.answers(10))
            client.send(request_frame(12, id=f"{12:016x}"))
            assert await client.answers(2, 0.5) == [(17, 12, 0)]
            assert f"{11:016x}" not in world.invokers[0].runs()

    run_scene(scene)


@pytest.mark.parametrize("seed", range(6))
def test_frames_of_one_read_in_any_order_leave_each_request_one_answer(seed):
    """Guards against: a frame that is handled in a state of the connection that belongs to a later frame."""

    async def scene():
        chance = Random(seed)
        async with Scene(InvokerStandIn(), limits=SMALL_MEMORY) as world:
            client, asked, answered = await world.client(), 0, []
            for _ in range(8):
                frames, owed = b"", set()
                for _ in range(chance.randrange(2, 32)):
                    step = chance.random()
                    if step < 0.1:
                        frames += frame(32, 0)
                    elif step < 0.4 and asked:
                        cancelled = chance.randrange(max(1, asked - 5), asked + 1)
                        owed.discard(cancelled)
                        frames += frame(18, cancelled)
                    else:
                        asked += 1
                        owed.add(asked)
                        frames += request_frame(
                            asked, bytes(chance.choice((0, 16_000, 16_000, 16_000))), id=f"{asked:016x}"
                        )
                client.send(frames)
                answered += await client.answers_to(owed)
            assert len(answered) == len(set(answered)) and 0 not in answered
            assert not world.node.server.calls and not world.node.server.held_bytes

    run_scene(scene)


# A request and the end of its client


@pytest.mark.parametrize("reset", [False, True])
def test_a_client_that_left_during_a_stall_gets_no_attempt(reset):
    async def scene():
        async with Scene(InvokerStandIn()) as world:
            await world.warmed()
            client = await world.client()
            client.send(request_frame(1))
            client.close(reset)
            time.sleep(STALL_SECONDS)
            await asyncio.sleep(0.3)
            assert world.invokers[0].runs() == ["f" * 16] and not world.node.server.calls

    run_scene(scene)


@pytest.mark.parametrize("reset", [False, True])
def test_a_client_that_connected_and_left_during_a_stall_gets_no_attempt_beside_requests_of_others(reset):
    """Accepting the new client and noticing its end takes more loop iterations than the decisions for other clients."""

    async def scene():
        async with Scene(InvokerStandIn()) as world:
            others = [await world.warmed(), await world.client(), await world.client()]
            for round_ in range(5):
                new_client = RawClient(world.port)
                new_client.send(request_frame(1, id=f"{round_:x}" + "e" * 15))
                new_client.close(reset)
                for number, other in enumerate(others):
                    other.send(request_frame(round_ + 2, id=f"{round_:x}" + f"{number}" * 15))
                time.sleep(STALL_SECONDS)
                for other in others:
                    assert await other.answers(1) == [(17, round_ + 2, 0)]
                await asyncio.sleep(0.05)
            assert not [run for run in world.invokers[0].runs() if run.endswith("e" * 15)]
            assert len(world.invokers[0].runs()) == 1 + 5 * len(others)

    run_scene(scene)


def test_a_request_cancelled_during_a_stall_gets_no_attempt():
    async def scene():
        async with Scene(InvokerStandIn()) as world:
            client = await world.warmed()
            client.send(request_frame(2))
            client.send(frame(18, 2))
            time.sleep(STALL_SECONDS)
            await asyncio.sleep(0.3)
            assert world.invokers[0].runs() == ["f" * 16]

    run_scene(scene)


@pytest.mark.parametrize("how", ["close", "reset", "cancel", "half-close"])
def test_a_request_whose_client_leaves_during_the_connect_is_never_written(how):
    async def scene():
        async with Scene(InvokerStandIn(full=True), **LONG_CONNECT_TIMEOUT) as world:
            client = await world.client()
            client.send(request_frame(1))
            await until(lambda: world.node.server.in_flight)
            if how == "cancel":
                client.send(frame(18, 1))
            elif how == "half-close":
                client.sock.shutdown(1)
            else:
                client.close(how == "reset")
            await until(lambda: not world.node.server.calls)
            await world.invokers[0].accept_now()
            await until(lambda: world.node.server.invokers["s-0"].conns)
            await asyncio.sleep(0.1)
            assert world.invokers[0].runs() == []

    run_scene(scene)


def test_an_answer_that_frees_a_stream_in_a_stall_does_not_release_the_request_of_a_client_that_left_in_it():
    """The answer is read first: the waiting request could be written before the end of its client is known."""

    async def scene():
        with faulty_sockets(Faults()) as faults:
            one = InvokerStandIn(lambda tag: None if tag == "a" * 16 else hit(tag))
            async with Scene(one, settings=settings(streamsPerConn=1, connectTimeout=3000)) as world:
                await world.warmed()
                faults.invoker_ports = {one.port}
                faults.planned = {("invoker", "connect", n): errno.EADDRNOTAVAIL for n in range(1, 1_000)}
                first, second = await world.client(), await world.client()
                first.send(request_frame(1, id="a" * 16))
                await until(lambda: one.runs() == ["f" * 16, "a" * 16])
                second.send(request_frame(1, id="b" * 16))
                await until(lambda: world.node.server.invokers["s-0"].waiting)
                one.writers[0].write(hit("a" * 16))
                second.close()
                time.sleep(STALL_SECONDS)
                assert await first.answers(1) == [(17, 1, 0)]
                await asyncio.sleep(0.1)
                assert one.runs() == ["f" * 16, "a" * 16] and not world.node.server.calls

    run_scene(scene)


def test_a_connection_established_in_the_loop_iteration_in_which_the_client_leaves_writes_nothing(monkeypatch):
    async def scene():
        async with Scene(InvokerStandIn(full=True), **LONG_CONNECT_TIMEOUT) as world:
            client, server = await world.client(), world.node.server
            client.send(request_frame(1))
            await until(lambda: server.in_flight)
            # The server knows that the client has left; the test holds back the message to the gateway.
            held_back = []
            monkeypatch.setattr(server.batch, "add", held_back.append)
            client.close()
            await until(lambda: held_back)
            await world.invokers[0].accept_now()
            await until(lambda: server.invokers["s-0"].conns)
            await asyncio.sleep(0.1)
            assert world.invokers[0].runs() == [] and not server.invokers["s-0"].waiting

    run_scene(scene)


def test_a_client_that_left_is_noticed_while_it_has_unread_answers():
    async def scene():
        def behave(tag):
            return None if tag == "e" * 16 else hit(tag, bytes(250_000))

        async with Scene(InvokerStandIn(behave), limits={"memory_mb": 512, "sockets": 256}) as world:
            client = await world.client(receive_buffer=4096)
            [peer] = world.node.server.listener.open
            for n in range(1, 100):
                client.send(request_frame(n, id=f"{n:016x}"))
                await until(lambda n=n: len(world.invokers[0].runs()) == n and not world.node.server.calls)
                await asyncio.sleep(0.01)
                if peer.wire.paused:
                    break
            assert peer.wire.paused and not peer.wire.lost
            client.send(request_frame(100, id="e" * 16))
            await until(lambda: "e" * 16 in world.invokers[0].runs())
            left = time.monotonic()
            client.sock.shutdown(1)
            await until(lambda: "e" * 16 in world.invokers[0].dropped(), 1.0)
            assert time.monotonic() - left < 0.3

    run_scene(scene)


# The deadline and the time of writing


def test_the_deadline_sent_is_the_time_left_when_the_line_is_written():
    async def scene():
        async with Scene(InvokerStandIn(full=True), **LONG_CONNECT_TIMEOUT) as world:
            client = await world.client()
            sent = time.monotonic()
            client.send(request_frame(1, wait="1900"))
            await until(lambda: world.node.server.in_flight)
            await world.invokers[0].accept_now()
            await until(lambda: world.invokers[0].runs())
            [(_, received_at)], [limit] = [one for one in world.invokers[0].lines], world.invokers[0].limits()
            assert received_at - sent > 0.5 and limit <= 1900 - (received_at - sent) * 1000 + 150
            assert await client.answers(1) == [(17, 1, 0)]

    run_scene(scene)


def test_a_request_that_expires_before_the_connection_is_established_is_never_written():
    async def scene():
        async with Scene(InvokerStandIn(full=True), **LONG_CONNECT_TIMEOUT) as world:
            client = await world.client()
            client.send(request_frame(1, wait="300"))
            [answer] = await client.answers(1)
            assert answer[:2] == (17, 1) and answer[2] != 0
            await world.invokers[0].accept_now()
            await until(lambda: world.node.server.invokers["s-0"].conns)
            await asyncio.sleep(0.1)
            assert world.invokers[0].runs() == []

    run_scene(scene)


def test_the_time_that_a_request_waited_unread_counts_towards_its_deadline():
    async def scene():
        async with Scene(InvokerStandIn()) as world:
            client = await world.warmed()
            client.send(request_frame(2, wait="1500"))
            time.sleep(STALL_SECONDS)
            await until(lambda: len(world.invokers[0].runs()) == 2)
            assert world.invokers[0].limits()[1] <= 1500 - STALL_SECONDS * 1000 + 150

    run_scene(scene)


def test_a_request_that_expired_unread_is_answered_and_not_sent():
    async def scene():
        async with Scene(InvokerStandIn()) as world:
            client = await world.warmed()
            client.send(request_frame(2, wait="300"))
            time.sleep(STALL_SECONDS)
            [answer] = await client.answers(1)
            assert answer[:2] == (17, 2) and answer[2] != 0 and len(world.invokers[0].runs()) == 1

    run_scene(scene)


# Drains and requests to be sent


@pytest.mark.parametrize("first", ["drain", "request"])
def test_a_drain_received_with_a_request_during_a_stall_is_applied_first(first):
    async def scene():
        async with Scene(InvokerStandIn()) as world:
            client = await world.warmed()
            drain = event(2, ("s-0", world.invokers[0].port, "draining"))
            if first == "drain":
                world.channel.send(drain)
            client.send(request_frame(2))
            if first == "request":
                world.channel.send(drain)
            time.sleep(STALL_SECONDS)
            [answer] = await client.answers(1)
            assert answer == (17, 2, 14) and world.invokers[0].runs() == ["f" * 16]

    run_scene(scene)


@pytest.mark.parametrize("state", ["draining", "removed"])
def test_a_drain_during_a_connect_withdraws_the_requests_that_wait_for_it(state):
    async def scene():
        async with Scene(InvokerStandIn(full=True), InvokerStandIn(), **LONG_CONNECT_TIMEOUT) as world:
            full, other = world.invokers
            client = await world.client()
            for n in range(1, 7):
                client.send(request_frame(n, id=f"{n:016x}", key=f"{n:016x}"))
            await until(lambda: any(forward.invoker == "s-0" for forward in world.node.server.in_flight.values()))
            world.channel.send(event(2, ("s-0", full.port, state)))
            # They are sent to the other invoker at once, not when the connection would have been established.
            assert sorted(await client.answers(6, 0.8)) == [(17, n, 0) for n in range(1, 7)]
            await full.accept_now()
            await asyncio.sleep(1.3)
            assert full.runs() == [] and len(other.runs()) == 6

    run_scene(scene)


def test_an_invoker_replaced_at_its_address_in_one_event_gets_a_new_connection():
    async def scene():
        async with Scene(InvokerStandIn()) as world:
            client = await world.warmed()
            port = world.invokers[0].port
            world.channel.send(event(2, ("s-0", port, "removed"), ("s-9", port, "up")))
            await until(lambda: "s-9" in world.node.server.roster.places)
            client.send(request_frame(2))
            assert await client.answers(1) == [(17, 2, 0)]
            assert world.invokers[0].connections == 2 and list(world.node.server.invokers) == ["s-9"]

    run_scene(scene)


# Lines that the socket does not accept


@pytest.mark.parametrize("ends", ["cancel", "drain", "time"])
def test_a_line_that_the_socket_did_not_accept_is_never_written_once_its_request_has_ended(ends):
    async def scene():
        with faulty_sockets(Faults()) as faults:
            one = InvokerStandIn()
            async with Scene(one) as world:
                faults.invoker_ports = {one.port}
                client = await world.warmed()
                # The socket accepts part of the first line, none of the second. The first is withdrawn, then the other.
                faults.hold_sends = 10
                client.send(request_frame(2, id="a" * 16) + request_frame(3, id="b" * 16, wait="400"))
                await until(lambda: len(world.node.server.in_flight) == 2)
                if ends == "cancel":
                    client.send(frame(18, 3))
                elif ends == "drain":
                    world.channel.send(event(2, ("s-0", one.port, "draining")))
                else:
                    await asyncio.sleep(0.5)
                await asyncio.sleep(0.1)
                faults.hold_sends = None
                await asyncio.sleep(0.3)
                assert "b" * 16 not in one.runs()

    run_scene(scene)


def test_a_partly_written_request_whose_client_left_does_not_start_later():
    async def scene():
        with faulty_sockets(Faults()) as faults:
            one = InvokerStandIn()
            async with Scene(one) as world:
                faults.invoker_ports = {one.port}
                client = await world.warmed()
                faults.hold_sends = 10
                client.send(request_frame(2, id="a" * 16))
                await until(lambda: world.node.server.in_flight)
                client.close()
                await asyncio.sleep(0.15)
                faults.hold_sends = None
                await asyncio.sleep(0.3)
                assert one.runs() == ["f" * 16]
                # The invoker still works: the next request gets a connection.
                assert (await world.warmed()) and one.connections == 2

    run_scene(scene)


def test_no_line_that_waits_is_written_to_an_invoker_whose_answer_is_invalid():
    """Guards against: the next line was written while the connection ended, and the request counted as perhaps run."""

    async def scene():
        with faulty_sockets(Faults()) as faults:
            one = InvokerStandIn()
            async with Scene(one, settings=settings_of_all_effects()) as world:
                faults.invoker_ports = {one.port}
                client = await world.warmed()
                faults.hold_sends = 10
                second = request_frame(3, id="b" * 16, **{"class": "once"})
                client.send(request_frame(2, id="a" * 16) + second)
                await until(lambda: len(world.node.server.in_flight) == 2)
                one.writers[-1].write(b"noise\r\n")
                await asyncio.sleep(0.1)
                faults.hold_sends = None
                # The second request was certainly not run: it may be sent again though its class must not run twice.
                assert sorted(await client.answers(2)) == [(17, 2, 0), (17, 3, 0)]
                assert sorted(one.runs()) == ["a" * 16, "b" * 16, "f" * 16]

    run_scene(scene)


# Errors of one request and the answers to others


def test_open_requests_of_a_connection_that_the_server_ends_are_failed_first():
    async def scene():
        async with Scene(InvokerStandIn(never_answer)) as world:
            for bad in (b"\xff\xff\xff\xff", request_frame(3, id=""), request_frame(3, id="a" * 16)):
                client = await world.client()
                client.send(request_frame(1, id="a" * 16) + request_frame(2, id="b" * 16))
                await until(lambda: len(world.node.server.calls) == 2)
                client.send(bad)
                answers = await client.answers(5)
                assert {(17, 1, 2), (17, 2, 2)} <= set(answers)
                assert all(code == 2 for _, _, code in answers) and len(answers) == len(set(answers)) >= 3
                await until(lambda: not world.node.server.calls)

    run_scene(scene)


def test_an_answer_in_the_loop_iteration_in_which_the_connection_is_ended_is_written():
    async def scene():
        async with Scene(InvokerStandIn(never_answer), limits={"memory_mb": 1, "sockets": 256}) as world:
            client = await world.client()
            # Ten bodies fill the memory limit, the eleventh is shed at once, then a duplicate id ends the connection.
            requests = b"".join(request_frame(n, bytes(15_000), id=f"{n:016x}") for n in range(1, 12))
            client.send(requests + request_frame(12, id=f"{1:016x}"))
            answers = await client.answers(13)
            assert {(17, n, 2) for n in (0, *range(1, 11), 12)} <= set(answers) and (17, 11, 14) in answers
            assert len(answers) == 13

    run_scene(scene)


def test_requests_read_together_with_invalid_data_are_failed_not_dropped():
    async def scene():
        async with Scene(InvokerStandIn()) as world:
            client = await world.client()
            client.send(request_frame(1, id="a" * 16) + request_frame(2, id="b" * 16) + b"\xff\xff\xff\xff")
            assert set(await client.answers(3)) == {(17, 1, 2), (17, 2, 2), (17, 0, 2)}
            assert world.invokers[0].runs() == []

    run_scene(scene)


@pytest.mark.parametrize("effect, code", [("call", 0), ("once", 2)])
def test_after_a_reset_of_an_idle_connection_during_a_write_the_request_may_have_run(effect, code):
    async def scene():
        async with Scene(InvokerStandIn(), InvokerStandIn(), settings=settings_of_all_effects()) as world:
            client = await world.warmed()
            [used] = [one for one in world.invokers if one.runs()]
            used.behave = lambda tag: used.writers[-1].transport.abort()
            before = sum(len(one.runs()) for one in world.invokers)
            client.send(request_frame(2, **{"class": effect}))
            [answer] = await client.answers(1)
            runs = sum(len(one.runs()) for one in world.invokers) - before
            # It may have run: a retriable one is sent elsewhere; the other is failed, never shed, never sent again.
            assert answer == (17, 2, code) and runs == (2 if effect == "call" else 1)

    run_scene(scene)


def test_a_duplicate_answer_or_one_to_a_cancelled_request_does_not_affect_other_answers():
    async def scene():
        def behave(tag):
            if tag == "a" * 16:
                return None
            return hit("a" * 16) + hit(tag) + hit(tag, b"again")

        async with Scene(InvokerStandIn(behave)) as world:
            client = await world.client()
            client.send(request_frame(1, id="a" * 16))
            await until(lambda: world.invokers[0].runs())
            client.send(frame(18, 1))
            await until(lambda: world.invokers[0].dropped())
            for n in (2, 3):
                client.send(request_frame(n, id=f"{n:016x}"))
                assert await client.answers(1) == [(17, n, 0)]
            assert world.invokers[0].connections == 1 and await client.answers(1, 0.2) == []

    run_scene(scene)


# Shutdown


async def stop_node(world):
    began = time.monotonic()
    left = await world.node.stop()
    return left, time.monotonic() - began


def test_requests_on_new_and_old_connections_after_the_goaway_are_answered():
    async def scene():
        async with Scene(InvokerStandIn()) as world:
            client = await world.warmed()
            stopping = asyncio.create_task(stop_node(world))
            assert await client.answers(1, 2.0) == [(48, 0, 0)]
            client.send(request_frame(2))
            late = await world.client()
            late.send(request_frame(1, id="c" * 16))
            assert await client.answers(1) == [(17, 2, 0)] and await late.answers(1) == [(17, 1, 0)]
            assert (await stopping)[0] == 0

    run_scene(scene)


def test_a_request_in_the_accept_queue_when_the_shutdown_begins_is_answered():
    async def scene():
        async with Scene(InvokerStandIn()) as world:
            await world.warmed()
            stopping = asyncio.create_task(stop_node(world))
            await until(lambda: not world.node.server.ready)
            client = RawClient(world.port)
            client.send(request_frame(1, id="c" * 16))
            time.sleep(0.1)
            assert await client.answers(1) == [(17, 1, 0)]
            assert (await stopping)[0] == 0

    run_scene(scene)


def test_a_partly_received_request_when_the_shutdown_begins_is_completed_and_answered():
    async def scene():
        async with Scene(InvokerStandIn()) as world:
            client = await world.warmed()
            data = request_frame(2)
            client.send(data[:20])
            stopping = asyncio.create_task(stop_node(world))
            assert await client.answers(1, 2.0) == [(48, 0, 0)]
            await asyncio.sleep(0.3)
            client.send(data[20:])
            assert await client.answers(1) == [(17, 2, 0)] and (await stopping)[0] == 0

    run_scene(scene)


@pytest.mark.parametrize("deadline, kill", [(1000.0, 1.7), (2000.0, 2.7), (5000.0, 3.7)])
def test_every_request_is_answered_when_invokers_hang_during_the_shutdown(deadline, kill):
    long_settings = settings()
    for profile in long_settings["profiles"]:
        profile["deadline"] = deadline

    async def scene():
        async with Scene(InvokerStandIn(never_answer), settings=long_settings) as world:
            client = await world.client()
            stopping = asyncio.create_task(stop_node(world))
            began = time.monotonic()
            await asyncio.sleep(0.55)
            client.send(request_frame(1, wait=str(int(deadline))))
            answers = await client.answers(2, 5.0)
            assert [one[:2] for one in sorted(answers)] == [(17, 1), (48, 0)]
            _, lasted = await stopping
            # The platform does not kill the process before this time.
            assert time.monotonic() - began < kill and lasted < kill - 0.1

    run_scene(scene)


def test_nothing_is_written_for_requests_failed_at_shutdown():
    async def scene():
        with faulty_sockets(Faults()) as faults:
            one = InvokerStandIn()
            async with Scene(one) as world:
                faults.invoker_ports = {one.port}
                client = await world.warmed()
                faults.hold_sends = 10
                client.send(request_frame(2, id="a" * 16) + request_frame(3, id="b" * 16))
                await until(lambda: len(world.node.server.in_flight) == 2)
                assert world.node.server.fail_the_rest() == 2
                assert sorted(await client.answers(2)) == [(17, 2, 2), (17, 3, 2)]
                faults.hold_sends = None
                world.node.close()
                await asyncio.sleep(0.2)
                assert "b" * 16 not in one.runs()

    run_scene(scene)


# The command channel


def test_a_silent_watch_gets_a_second_one_beside_it_and_its_late_events_still_count():
    async def scene():
        async with Scene(InvokerStandIn()) as world:
            channel, last = world.channel, world.node.server.roster
            channel.answers = False
            await until(lambda: len(channel.last_event_ids) >= 2, 4.0)
            # The second is not answered; a late event of the first is applied.
            channel.send(event(2, ("s-7", 9, "up")), watch=0)
            await until(lambda: last.last == 2)
            # The second is answered: it replaces the first.
            channel.begin(channel.writers[1])
            await until(lambda: len(world.node.channel.watches) == 1)
            channel.send(event(3, ("s-8", 9, "up")), watch=1)
            await until(lambda: last.last == 3)

    run_scene(scene)


def test_missing_events_are_requested_older_ones_ignored_and_full_lists_applied():
    async def scene():
        async with Scene(InvokerStandIn()) as world:
            channel, roster = world.channel, world.node.server.roster
            port = world.invokers[0].port
            channel.send(event(2, ("s-2", 9, "up")) + event(1, ("s-1", 9, "up")) + event(4, ("s-4", 9, "up")))
            await until(lambda: len(channel.last_event_ids) == 2)
            assert channel.last_event_ids[1] == "2" and set(roster.places) == {"s-0", "s-2"}
            channel.send(event(9, ("s-0", port, "up"), ("s-9", 9, "up"), whole=True))
            await until(lambda: roster.last == 9)
            assert set(roster.places) == {"s-0", "s-9"}

    run_scene(scene)


def test_an_invalid_event_is_requested_again_and_then_its_valid_entries_are_applied():
    async def scene():
        async with Scene(InvokerStandIn()) as world:
            channel, roster = world.channel, world.node.server.roster
            event_data = entry(2, ("s-2", 9, "up"), ("s-3", 9, "odd"), ("s-0", world.invokers[0].port, "draining"))
            for reading in range(1, 4):
                await until(lambda reading=reading: len(channel.writers) == reading)
                channel.send(b"id: 2\ndata: %b\n\n" % json.dumps(event_data).encode())
            await until(lambda: roster.last == 2)
            assert set(channel.last_event_ids) == {"1"} and set(roster.places) == {"s-0", "s-2"}
            assert not world.node.server.invokers.get("s-0") or not world.node.server.invokers["s-0"].accepting
            channel.send(event(3, ("s-4", 9, "up")))
            await until(lambda: roster.last == 3)

    run_scene(scene)


def test_rapid_moves_of_the_channel_leave_one_watch_at_the_last_address():
    async def scene():
        channels = [await ChannelStandIn().start() for _ in range(4)]
        async with Scene(InvokerStandIn()) as world:
            for one in channels:
                world.node.channel.move("127.0.0.1", one.port)
                await asyncio.sleep(0)
            await until(lambda: channels[-1].last_event_ids)
            await asyncio.sleep(0.2)
            assert len(world.node.channel.watches) == 1 and channels[-1].last_event_ids == ["1"]
            # The earlier ones were closed, whatever the state of their connection.
            for one in [world.channel, *channels[:-1]]:
                for number in range(len(one.writers)):
                    await until(lambda one=one, number=number: one.ended(number))
            channels[-1].send(event(2, ("s-7", 9, "up")))
            await until(lambda: world.node.server.roster.last == 2)
        for one in channels:
            one.close()

    run_scene(scene)


# Connections of the gRPC server


def test_a_call_that_waits_for_a_connection_of_a_pool_is_withdrawn_by_a_drain():
    async def scene():
        events = []
        one = await InvokerStandIn(full=True).start()
        pool = Pool("127.0.0.1", one.port, Limits(), PoolLimits(connect_timeout=3_000.0), 1)
        pool.call("/a/B", {}, 2_000.0, b"x", events.append)
        await asyncio.sleep(0.05)
        pool.withdraw_waiting("drains")
        assert [type(event) for event in events] == [Unconnected]
        await one.accept_now()
        await until(lambda: pool.conns)
        await asyncio.sleep(0.05)
        [conn] = pool.conns.values()
        assert not conn.calls and len(events) == 1
        pool.close()
        one.close()

    run_scene(scene)


def test_a_drain_in_the_roster_reaches_the_pools_of_the_server():
    withdrawn = []
    server = GatewayServer.__new__(GatewayServer)
    server.pools = InvokerPools(
        lambda host, port, number: SimpleNamespace(withdraw_waiting=lambda why: withdrawn.append(host))
    )
    for name in "abc":
        server.pools.get(f"{name}:1")
    server.batch = SimpleNamespace(add=lambda item: None)
    rows = [ms.Row("a:1", status="draining"), ms.Row("b:1"), ms.Row("x:1", status="gone")]
    server.add_input(ms.Roster("update", 1, rows))
    assert withdrawn == ["a"]
    server.add_input(ms.Roster("replace", 2, [ms.Row("b:1")]))
    assert withdrawn == ["a", "a", "c"]


@pytest.mark.parametrize("reset", [False, True], ids=["closes", "resets"])
def test_a_client_that_leaves_between_decision_and_write_gets_no_attempt(reset, monkeypatch):
    """Guards against: after a stall the end of a connection was read one iteration after what waited was sent."""

    async def scene():
        async with Scene(InvokerStandIn()) as world:
            (await world.warmed()).close()
            client = await world.client()
            forward = EFFECTS[ms.SendForward]

            def leave_and_forward(server, effect):
                client.close(reset)
                forward(server, effect)

            monkeypatch.setitem(EFFECTS, ms.SendForward, leave_and_forward)
            client.send(request_frame(1, id="e" * 16))
            await asyncio.sleep(0.3)
            assert world.invokers[0].runs() == ["f" * 16]
            assert not world.node.server.calls and not world.node.server.in_flight

    run_scene(scene)


# Time limits of a client's connection, after a stall


@pytest.mark.parametrize("sent_before", [b"", request_frame(1), request_frame(1)[:40]], ids=["new", "idle", "half"])
def test_a_request_that_has_arrived_meets_no_time_limit_of_its_connection(sent_before):
    """Guards against: after a stall the timer ended the connection before the input that had arrived was read."""

    async def scene():
        async with Scene(InvokerStandIn()) as world:
            client = await world.client()
            [connection] = world.node.server.listener.open
            answered = 0
            if sent_before:
                client.send(sent_before)
                answered = len(await client.answers(1, 0.3))
            # The system has it; the loop has not run since.
            client.sock.setblocking(True)
            client.send(request_frame(1)[len(sent_before) :] or request_frame(2, id="e" * 16))
            connection.check(world.node.server.listener.now() + LONGEST_LIMIT_MS)
            assert await client.answers(1) == [(17, 1 + answered, 0)]

    run_scene(scene)
