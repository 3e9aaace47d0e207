"""Clients that send at full speed: others are answered in time, and the memory stays within its limit."""

import asyncio
import sys
from pathlib import Path

import pytest
from platform_process import SERVED, Platform, platform
from platform_scene import InvokerStandIn
from usual_clients import UsualClients

pytestmark = pytest.mark.sockets

# The limits of the deployment at which the failure was seen.
MEMORY_MB, SOCKETS = 80, 384
USUAL_WAIT_MS = 700.0
# No usual client's id is so large.
FIRST_FLOOD_ID = 1 << 40
FLOOD_SECONDS = 6.0


async def comment(world: Platform):
    """Discovery writes a comment each second, as the platform's does."""
    while True:
        world.channel.send(b": here\n\n")
        await asyncio.sleep(0.5)


async def flood(world: Platform, kind: str, connections: int):
    program = Path(__file__).parent / "flooding_clients.py"
    arguments = [f"127.0.0.1:{world.port}", kind, str(connections), str(FLOOD_SECONDS), str(FIRST_FLOOD_ID)]
    process = await asyncio.create_subprocess_exec(
        sys.executable, str(program), *arguments, stdout=asyncio.subprocess.PIPE
    )
    output, _ = await process.communicate()
    print(f"{kind}: bytes sent {output.decode().strip()}")


class FloodingInvoker(InvokerStandIn):
    """Sends answers that nobody asked for at full speed, beside those to its runs."""

    async def _serve(self, reader, writer):
        async def send():
            try:
                while True:
                    writer.write(b"noise HIT - 0\r\n\r\n" * 4000)
                    await writer.drain()
            except ConnectionError:
                pass

        sending = asyncio.create_task(send())
        try:
            await super()._serve(reader, writer)
        finally:
            sending.cancel()


def test_an_invoker_at_full_speed_keeps_no_client_waiting():
    """Guards against: all answers that a read brought were handled at once."""

    async def scene():
        invokers = [FloodingInvoker(), *[InvokerStandIn() for _ in range(5)]]
        async with platform(*invokers, memory_mb=MEMORY_MB, sockets=SOCKETS) as world:
            commenting = asyncio.create_task(comment(world))
            usual = UsualClients(world.port, 8, USUAL_WAIT_MS)
            usual.start()
            await asyncio.sleep(FLOOD_SECONDS)
            await usual.stop()
            commenting.cancel()
            print(f"flooding invoker: {usual.summary()}")
            assert not usual.late()
            assert usual.share_with(SERVED) > 0.5

    asyncio.run(scene())


@pytest.mark.parametrize(
    ("kind", "connections"),
    [
        ("checks", 1),
        ("checks", 6),
        ("new-names-taken-back-at-once", 8),
        ("new-names-taken-back", 1),
        ("new-names-taken-back", 8),
        ("new-names-taken-back-later", 8),
        ("unknown-classes", 6),
        ("too-long-frames", 8),
    ],
)
def test_clients_at_full_speed_keep_no_other_client_waiting(kind, connections):
    """Guards against: all that a read brought was handled at once, so one client could hold the loop for seconds."""

    async def scene():
        async with platform(*[InvokerStandIn() for _ in range(6)], memory_mb=MEMORY_MB, sockets=SOCKETS) as world:
            commenting = asyncio.create_task(comment(world))
            usual = UsualClients(world.port, 8, USUAL_WAIT_MS)
            usual.start()
            await asyncio.sleep(0.5)
            await flood(world, kind, connections)
            await asyncio.sleep(0.5)
            await usual.stop()
            commenting.cancel()
            print(f"{kind} x {connections}: {usual.summary()}; memory {world.highest_mb:.1f} of {MEMORY_MB} MB")
            assert not usual.late()
            assert usual.share_with(SERVED) > 0.5
            if kind == "checks":
                assert "client sends faster than it is served" in world.log.read_text()

    asyncio.run(scene())
