"""A usual client gives one request up while the controller holds as many bodies as it allows itself."""

import asyncio
from pathlib import Path

from scene import TROUBLE, Channel, Client, Controller, Invoker, Record, lost, run_case, verdict

MEMORY_MB, SOCKETS = 64, 256
# Usual clients: 28 connections, a third of the descriptors is 85; at most 32 open requests on each.
USUAL, CROWD, OPEN_BEFORE = 6, 22, 6
BODY = bytes(16 * 1024)


async def case(folder: Path, record: Record) -> int:
    invokers = [await Invoker(f"s-{n}", record, work=0.4).start() for n in range(6)]
    channel = await Channel().start()
    controller = Controller(folder, invokers, channel, MEMORY_MB, SOCKETS)
    try:
        await controller.ready()
        usual = [await Client(f"usual-{n}", record).connect(controller.port) for n in range(USUAL)]
        crowd = [await Client(f"crowd-{n}", record).connect(controller.port) for n in range(CROWD)]
        for client in usual:
            await client.ask(OPEN_BEFORE, b"small")
        # A burst: 704 requests with the largest bodies.
        burst = [asyncio.create_task(client.ask(32, BODY)) for client in crowd]
        for client in usual:
            await asyncio.sleep(0.02)
            await client.ask(1, BODY, give_up=TROUBLE)
        await asyncio.gather(*burst)
        await asyncio.sleep(4.0)
        record("platform", f"the controller's last lines: {controller.log.read_text()[-1500:]}")
        return verdict(record, lost([*usual, *crowd], invokers))
    finally:
        controller.end()


run_case(case)
