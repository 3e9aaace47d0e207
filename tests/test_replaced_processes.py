"""A new process at the address of one that has gone: it is not taken for the old one, by either controller."""

import asyncio

import pytest
from platform_scene import InvokerStandIn, Scene, event, run_scene, until
from platform_world import request_frame
from program import Stage

from sprucespool import interface as it
from sprucespool.gateway import messages as ms

pytestmark = pytest.mark.sockets

SERVED = 0


async def places_in_service(world: Scene) -> set[str]:
    await asyncio.sleep(0.05)
    return {worker.entry.invoker.name for worker in world.node.server.gateway.module.workers}


def test_an_invoker_announced_at_the_address_of_another_replaces_it():
    """Guards against: the old name stayed in service, so the new process got its work, as a warm one and twice over."""

    async def scene():
        async with Scene(InvokerStandIn()) as world:
            client = await world.warmed()
            port = world.invokers[0].port
            world.channel.send(event(2, ("s-new", port, "up")))
            await until(lambda: world.node.server.roster.last == 2)
            assert await places_in_service(world) == {"s-new"}
            client.send(request_frame(2, id="e" * 16))
            assert await client.answers(1) == [(17, 2, SERVED)]
            # One connection to the process that has gone, one to its successor.
            assert world.invokers[0].connections == 2
            # The removal that discovery tells later concerns the old name alone.
            world.channel.send(event(3, ("s-0", port, "removed")))
            await until(lambda: world.node.server.roster.last == 3)
            assert await places_in_service(world) == {"s-new"}

    run_scene(scene)


@pytest.mark.parametrize("how", ["another start", "removed and listed again"])
def test_a_restarted_invoker_gets_connections_of_its_own(how):
    """Guards against: a new process at an old address inherits the connections of the old one."""

    async def scene():
        async with Scene(InvokerStandIn()) as world:
            client = await world.warmed()
            port, again = world.invokers[0].port, 3
            if how == "another start":
                again = 2
                world.channel.send(event(2, ("s-0", port, "up"), born=1_796_436_000_000))
            else:
                world.channel.send(event(2, ("s-0", port, "removed")) + event(3, ("s-0", port, "up")))
            await until(lambda: world.node.server.roster.last == again)
            client.send(request_frame(2, id="e" * 16))
            assert await client.answers(1) == [(17, 2, SERVED)]
            assert world.invokers[0].connections == 2

    run_scene(scene)


def row(name: str, boot: str) -> ms.Roster:
    rows = [ms.Row(name, "", "", "", it.Status.IN_SERVICE.value, 1.0, boot, 0.0)]
    return ms.Roster(it.News.UPDATE.value, 1, rows)


def test_grpc_calls_go_to_a_restarted_invoker_on_connections_of_its_own(tmp_path):
    """Guards against: calls, those that waited among them, went on over connections to the process that had gone."""
    stage = Stage()
    standin = stage.invoker()
    daemon = stage.controller(tmp_path, [standin.name])
    server = daemon.server
    ended = []
    try:
        stage.call(server.add_input, row(standin.name, "1"))
        old = stage.call(server.pools.get, standin.name)
        stage.call(lambda: old.call("/a.B/C", {}, 500.0, b"", ended.append))

        async def replace():
            # This call waits for its connection when the new process is announced.
            await asyncio.sleep(0.3)
            assert len(old.conns) == 1 and ended
            for slot in old.plan.slots:
                slot.room = 0
            old.call("/a.B/C", {}, 500.0, b"", waiting.append)
            server.add_input(row(standin.name, "2"))
            await asyncio.sleep(0.3)

        waiting = []
        stage.run(replace())
        assert [type(one).__name__ for one in waiting] == ["Unconnected"]
        assert stage.call(server.pools.get, standin.name) is not old
        assert stage.call(lambda: len(old.conns)) == 0
    finally:
        stage.run(daemon.stop(500))
        stage.close()
