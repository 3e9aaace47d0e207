"""Clients that close their connection: nothing is begun for them afterwards, and an id that comes again runs once."""

import asyncio
import signal
import time

import pytest
from platform_process import Platform, platform
from platform_scene import InvokerStandIn, RawClient, Scene, hit, run_scene, until
from platform_world import frame, request_frame, settings_of_all_effects

from sprucespool.interface import Outcome
from sprucespool.node.gateway_server import MAX_BEHIND_MS
from sprucespool.node.recent_requests import ENTRY_BYTES, RecentRequests

pytestmark = pytest.mark.sockets

READINESS_QUERY = 32
SERVED, FAILED, REFUSED = 0, 2, 14
FIRST_ID = 1 << 32
# No attempt begins later after its client has left; the rest allows for delays of a busy machine.
LEFT_ALLOWANCE_SECONDS = 0.1 + 0.05


def identifier(number: int) -> str:
    return f"{FIRST_ID + number:016x}"


def attempts_at(world: Platform | Scene) -> list:
    return [one for invoker in world.invokers for one in invoker.attempts() if int(one.tag, 16) >= FIRST_ID]


@pytest.mark.parametrize("reset", [False, True], ids=["closes", "resets"])
@pytest.mark.parametrize("checks", [0, 60_000, 150_000])
def test_requests_of_a_client_that_closed_with_much_unread_are_not_sent_on(checks, reset):
    """Guards against: requests read before the end of their connection were sent on long after the client had left."""

    async def scene():
        async with platform(InvokerStandIn(), settings=settings_of_all_effects()) as world:
            client = RawClient(world.port)
            await asyncio.sleep(0.1)
            world.process.send_signal(signal.SIGSTOP)
            requests = [request_frame(n, id=identifier(n)) for n in range(1, 33)]
            client.sock.settimeout(1.0)
            try:
                client.send(b"".join(requests) + frame(READINESS_QUERY, 0, b"\0") * checks)
            except TimeoutError:
                print("not all of it fits into the system's buffers")
            client.close(reset)
            left_at = time.monotonic()
            await asyncio.sleep(0.3)
            world.process.send_signal(signal.SIGCONT)
            await asyncio.sleep(1.0)
            late = [one for one in attempts_at(world) if one.received_at > left_at + LEFT_ALLOWANCE_SECONDS]
            print(f"{checks} checks unread: {len(late)} attempts begun after the client had left")
            assert not late

    asyncio.run(scene())


@pytest.mark.parametrize("pause", [0.0, 0.3])
@pytest.mark.parametrize("effect", ["once", "publish"])
def test_an_id_that_comes_again_after_its_client_left_does_not_run_again(effect, pause):
    """Guards against: what was known of a request was forgotten with its client, though an attempt may have run."""
    settings = settings_of_all_effects()
    once = {"once": "5c0f6e1a2b3d4c59a8b7c6d5e4f30211"} if effect == "publish" else {}
    request = request_frame(1, id=identifier(1), **{"class": effect}, **once)

    def answer(tag: str) -> bytes | None:
        return None if int(tag, 16) >= FIRST_ID else hit(tag)

    async def scene():
        async with Scene(*[InvokerStandIn(answer) for _ in range(3)], settings=settings) as world:
            first = await world.client()
            first.send(request)
            await asyncio.sleep(0.2)
            assert len(attempts_at(world)) == 1
            first.close()
            await asyncio.sleep(pause)
            again = RawClient(world.port)
            again.send(request)
            answers = await again.answers(1, 2.5)
            print(f"{effect}, again after {pause} s: {len(attempts_at(world))} attempts, answers {answers}")
            assert len(attempts_at(world)) == 1
            assert answers == [(17, 1, FAILED)]

    run_scene(scene)


def test_an_id_that_comes_again_and_never_ran_is_served():
    """Guards against: an id that merely came before is refused, though none of its attempts can have run."""

    async def scene():
        async with Scene(InvokerStandIn(), settings=settings_of_all_effects()) as world:
            request = request_frame(1, id=identifier(1), **{"class": "once"})
            first = await world.client()
            first.send(request + frame(18, 1))
            await asyncio.sleep(0.2)
            assert not attempts_at(world)
            first.close()
            again = await world.client()
            again.send(request)
            assert await again.answers(1) == [(17, 1, SERVED)]

    run_scene(scene)


def test_an_id_whose_attempt_still_waited_for_a_connection_is_not_failed_when_it_comes_again():
    """Guards against: an attempt that was withdrawn before it was written counts as one that may have run."""

    async def scene():
        invoker = InvokerStandIn(full=True)
        async with Scene(invoker, settings=settings_of_all_effects()) as world:
            request = request_frame(1, id=identifier(1), **{"class": "once"})
            first = await world.client()
            first.send(request)
            await asyncio.sleep(0.1)
            first.close()
            await asyncio.sleep(0.1)
            await invoker.accept_now()
            again = await world.client()
            again.send(request)
            ((kind, _, code),) = await again.answers(1)
            assert kind == 17 and code in (SERVED, REFUSED)
            assert not world.node.server.recent_requests.may_have_run(identifier(1)) or code == SERVED

    run_scene(scene)


def test_a_request_that_waits_is_not_sent_while_its_client_may_have_left_behind_other_input():
    """Guards against: the end of a connection behind much input is found long after a waiting request was sent on."""

    async def scene():
        async with Scene(InvokerStandIn(), settings=settings_of_all_effects()) as world:
            server = world.node.server
            receive = server.request_received

            def receive_with_much_behind(connection, request) -> bool:
                taken = receive(connection, request)
                connection.wire._expect_read = lambda: None
                connection.wire.behind_since = server.batch.now() - 2 * MAX_BEHIND_MS
                return taken

            server.request_received = receive_with_much_behind
            client = await world.client()
            client.send(request_frame(1, id=identifier(1)))
            ((_, stream, code),) = await client.answers(1)
            assert stream == 1 and code in (FAILED, REFUSED)
            assert not attempts_at(world)

    run_scene(scene)


def test_a_request_that_is_not_wanted_any_more_ends_as_not_sent():
    """Guards against: such a request was dropped from the queue without an end, and waited for its time-out."""

    async def scene():
        async with Scene(InvokerStandIn()) as world:
            await world.warmed()
            (invoker,) = world.node.server.invokers.values()
            ends = []
            invoker.request("tag", lambda link: None, ends.append, lambda: False)
            await until(lambda: ends)
            assert ends == [Outcome.NOT_SENT]

    run_scene(scene)


def test_recent_ids_are_kept_within_their_limit_the_latest_longest():
    """Guards against: ids that clients choose fill the memory."""
    recent = RecentRequests(3 * ENTRY_BYTES)
    for name in ("a", "b", "c", "a", "d"):
        recent.add(name)
    assert [name for name in "abcd" if recent.may_have_run(name)] == ["a", "c", "d"]


def test_an_id_that_comes_again_before_the_end_of_its_first_connection_is_read_keeps_the_new_connection():
    """Guards against: the id still counted as in use, so the client's new connection was ended as a bad one."""

    async def scene():
        async with Scene(InvokerStandIn(lambda tag: None), settings=settings_of_all_effects()) as world:
            first = await world.client()
            again = await world.client()
            first.send(request_frame(1, id=identifier(1), wait="1500"))
            await asyncio.sleep(0.1)
            # Both are read in one turn of the loop, the new connection first or last.
            again.send(request_frame(1, id=identifier(1), wait="300") + request_frame(2, id=identifier(2), wait="300"))
            first.close()
            answers = await again.answers(2, 2.0)
            assert sorted(stream for kind, stream, _ in answers if kind == 17) == [1, 2]

    run_scene(scene)
