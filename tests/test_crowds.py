"""Crowds of clients do not cost usual clients their answers, nor the controller its descriptors."""

import asyncio
import signal
from collections.abc import Awaitable, Callable

import crowds
import pytest
from crowds import Crowd, NewClients, StayingClients
from platform_process import Platform, platform
from platform_scene import InvokerStandIn, Scene, run_scene, until
from platform_world import request_frame

pytestmark = pytest.mark.sockets

SOCKETS = 256
# What connections of clients hold at most, and what the controller uses beside them here.
MAX_CLIENTS, OTHERS = 140, 40
STAYING = 8
# Served, or refused by the decisions; what crossed the end of a connection was sent once more.
ENDS = {"code 0", "code 14", "crossed", "lost"}


async def watch_descriptors(world: Platform, highest: list[int]) -> None:
    while True:
        highest[0] = max(highest[0], crowds.descriptors(world.process.pid))
        await asyncio.sleep(0.01)


def assert_answered(*all_clients: NewClients) -> None:
    for clients in all_clients:
        assert clients.ends["lost"] == 0, clients.lost[:10]
        assert set(clients.ends) <= ENDS
        assert clients.ends["code 0"]


def play(come: Callable[[Crowd], Awaitable[None]], act: Callable, new_clients: int = 70) -> None:
    """A crowd comes while usual clients come, ten a second and more: each gets its answers."""

    async def scene():
        async with platform(
            *[InvokerStandIn(work=0.1) for _ in range(6)], memory_mb=128, sockets=SOCKETS, usual=False
        ) as world:
            crowd, usual, highest = Crowd(world.port, act), NewClients(world.port), [0]
            staying = StayingClients(world.port)
            staying.start(STAYING)
            await asyncio.sleep(0.3)
            tasks = [asyncio.create_task(come(crowd)), asyncio.create_task(watch_descriptors(world, highest))]
            try:
                await usual.come(new_clients, 0.06)
                await staying.stop()
            finally:
                for task in tasks:
                    task.cancel()
                await crowd.end()
            print(
                f"crowd of {crowd.connected}, new {dict(usual.ends)}, staying {dict(staying.ends)} with "
                f"{staying.reconnections} reconnections, descriptors {highest[0]} of {SOCKETS}"
            )
            assert_answered(usual, staying)
            assert highest[0] <= MAX_CLIENTS + OTHERS
            assert "Traceback" not in world.log.read_text()

    asyncio.run(scene())


@pytest.mark.parametrize(
    "act", [crowds.take_back, crowds.ask_and_stay, crowds.say_nothing, crowds.send_half], ids=lambda act: act.__name__
)
def test_clients_that_come_in_bursts_and_stay_cost_others_no_answer(act):
    """Guards against: newcomers were ended for idle connections, and one more stayed for each that came in a turn."""
    play(Crowd.come_in_bursts, act)


@pytest.mark.parametrize(
    "act",
    [crowds.take_back, crowds.say_nothing, crowds.send_half, crowds.send_invalid, crowds.ask_and_break_off],
    ids=lambda act: act.__name__,
)
def test_clients_that_come_again_at_once_cost_others_no_answer(act):
    """Guards against: a crowd that came again filled the descriptors, and usual clients were ended for it."""
    play(Crowd.come_again, act)


def test_more_clients_with_open_requests_than_may_stay_cost_others_no_answer():
    """Guards against: where all connections had a request open, the oldest was ended without its answer."""
    play(lambda crowd: crowd.come_in_bursts(60, 0.25), crowds.ask_and_stay)


@pytest.mark.parametrize(
    ("come", "act"),
    [
        (Crowd.come_again, crowds.say_nothing),
        (Crowd.come_in_bursts, crowds.take_back),
        (lambda crowd: crowd.come_in_bursts(60, 0.25), crowds.ask_and_stay),
    ],
    ids=["say nothing, again", "take back", "ask and stay"],
)
def test_a_shutdown_in_a_crowd_costs_usual_clients_no_answer(come, act):
    """Guards against: newcomers were ended for idle connections, also while the process was asked to stop.

    The crowd that says nothing lost nothing before either.
    """

    async def scene():
        async with platform(
            *[InvokerStandIn(work=0.1) for _ in range(6)], memory_mb=128, sockets=SOCKETS, usual=False, stopped=True
        ) as world:
            crowd, usual, staying = Crowd(world.port, act), NewClients(world.port), StayingClients(world.port)
            staying.start(STAYING)
            task = asyncio.create_task(come(crowd))
            try:
                await asyncio.sleep(1.5)
                coming = asyncio.create_task(usual.come(20, 0.02))
                await asyncio.sleep(0.1)
                world.process.send_signal(signal.SIGTERM)
                # New connections come for 0.3 s after it, requests on open ones for 0.5 s.
                await asyncio.sleep(0.5)
                await staying.stop()
                await coming
                await until(lambda: world.process.poll() is not None, 3.5)
            finally:
                task.cancel()
                await crowd.end()
            print(f"crowd of {crowd.connected}, new {dict(usual.ends)}, staying {dict(staying.ends)}")
            assert_answered(usual, staying)
            assert "Traceback" not in world.log.read_text()
            assert world.process.returncode == 0

    asyncio.run(scene())


def test_an_idle_connection_that_makes_room_is_closed_without_an_error():
    """Guards against: a usual client was told of an error on stream 0, which stands for a fault of its own."""

    async def scene():
        async with Scene(InvokerStandIn(), limits={"cores": 1.0, "memory_mb": 64, "sockets": 64}) as world:
            clients = []
            for number in range(world.node.server.listener.connections.target + 1):
                clients.append(await world.client())
                clients[-1].send(request_frame(1, id=f"{number:016x}"))
                assert await clients[-1].answers(1) == [(17, 1, 0)]
            assert await clients[0].read(1.0) == b""
            assert world.node.server.listener.connections.evicted == 1
            clients[1].send(request_frame(2, id="e" * 16))
            assert await clients[1].answers(1) == [(17, 2, 0)]
            for client in clients:
                client.close()

    run_scene(scene)
