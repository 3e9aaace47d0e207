"""An invoker drains while discovery is silent, in a deployment whose settings don't allow probes."""

import asyncio
from pathlib import Path

from stand_ins import SLACK, Asked, Channel, Client, Controller, Invoker, host, main, now, settings, trouble

FUNCTIONS = [f"{number:016x}" for number in range(0xA1, 0xA1 + 24)]
SILENCE, RATE, GRACE = 8.0, 5.0, 0.5
# The channel's silence counts as told 4 s after it began; the drain is put into the channel later than that.
DRAIN_AFTER = 4.2


async def case(record):
    invokers = [await Invoker(f"s-{number}", record).start() for number in range(12)]
    channel = await Channel(record).start()
    channel.add(*[host(one) for one in invokers], whole=True)
    given = settings(ceilings={"probes": False, "peers": True})
    controller = Controller(record, channel, given)
    controller.start()
    asked = []
    told_at = None
    try:
        await controller.ready()
        client = await Client("client", record).connect(controller.port)
        began = now()
        silent = spoken = False
        while (elapsed := now() - began) < 4.0 + SILENCE + 2.0:
            if trouble() and not silent and elapsed >= 4.0:
                silent = True
                channel.go_silent()
            if told_at is None and elapsed >= 4.0 + DRAIN_AFTER:
                channel.add(host(invokers[0], "draining"))
                told_at = now()
                invokers[0].draining = True
                record.add("s-0", "drains")
            if silent and not spoken and elapsed >= 4.0 + SILENCE:
                spoken = True
                channel.speak()
            number = len(asked)
            asked.append(
                client.ask(Asked(f"{number + 1:016x}", "call", FUNCTIONS[number % len(FUNCTIONS)], 2.0, b"audio"))
            )
            await asyncio.sleep(1 / RATE)
        await asyncio.sleep(2.0)
        client.close()
    finally:
        controller.stop()
        channel.close()
        for one in invokers:
            one.close()
    latest = told_at + GRACE + SLACK
    late = [one for one in invokers[0].attempts if one.at > latest]
    late_orders = [one for one in invokers[0].orders if one.copies and one.at > latest]
    return [f"exec {one.id} reached s-0 {one.at - told_at:.3f} s after its drain was told" for one in late] + [
        f"ensure {one.item} n={one.copies} reached s-0 {one.at - told_at:.3f} s after its drain was told"
        for one in late_orders
    ]


main(case, Path(__file__).parent)
