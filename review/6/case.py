"""A fleet of sixteen times the invokers, with the same traffic and limits: accepted requests are never answered."""

import asyncio
import random
from pathlib import Path

from stand_ins import SLACK, Asked, Channel, Client, Controller, Invoker, host, main, now, profile, settings, trouble

USUAL, TIMES = 20, 16
SOCKETS, RATE, SECONDS = 256, 120.0, 50.0
# Clients hold at most a third of the descriptor limit.
CLIENTS = SOCKETS // 3
DEADLINE, WAIT = 2.5, 2.0
# Up to half a second after its time an answer only earns nothing; later, or never, the request is lost.
LATE = 0.5
FUNCTIONS = [f"{number:016x}" for number in range(0xA0000, 0xA0000 + 2000)]
WEIGHTS = [1 / (rank + 3) for rank in range(len(FUNCTIONS))]


async def case(record):
    chance = random.Random(6)
    count = USUAL * TIMES if trouble() else USUAL
    invokers = [await Invoker(f"s-{number}", record, work=0.1, load=0.4).start() for number in range(count)]
    channel = await Channel(record).start()
    channel.add(*[host(one) for one in invokers], whole=True)
    given = settings(
        balancers=2,
        profiles=[profile("call", deadline=DEADLINE * 1000)],
        prices={"handshake": 0.02, "connection": 0.01},
    )
    controller = Controller(record, channel, given, sockets=SOCKETS)
    controller.start()
    asked, tasks, open_now, held_back = [], set(), set(), 0

    async def ask_once(one):
        """A new connection for one request; it is closed with the answer, or when the request counts as lost."""
        client = await Client(f"client-{len(asked)}", record).connect(controller.port)
        client.ask(one, attrs="memory_mb:512;lanes:2;load_ms:400")
        try:
            async with asyncio.timeout(WAIT + LATE + SLACK + 0.1):
                await one.done.wait()
        except TimeoutError:
            record.add(client.name, f"{one.id}: no answer within its time and {LATE} s; closes")
        client.close()

    def done(task):
        tasks.discard(task)
        open_now.discard(task)
        task.exception()

    try:
        await controller.ready()
        began, highest = now(), 0
        while now() - began < SECONDS:
            await asyncio.sleep(chance.expovariate(RATE))
            if len(open_now) >= CLIENTS:
                held_back += 1
                continue
            asked.append(
                Asked(f"{chance.getrandbits(64):016x}", "call", chance.choices(FUNCTIONS, WEIGHTS)[0], WAIT, b"audio")
            )
            task = asyncio.create_task(ask_once(asked[-1]))
            tasks.add(task)
            open_now.add(task)
            task.add_done_callback(done)
            if len(asked) % 25 == 0:
                highest = max(highest, controller.descriptors())
        await asyncio.sleep(WAIT + LATE + 0.5)
        record.add("judge", f"descriptors: at most {highest} of {SOCKETS}; connections of clients: at most {CLIENTS}")
    finally:
        controller.stop()
        channel.close()
        for one in invokers:
            one.close()
    sent = [one for one in asked if one.sent_at]
    lost = [one for one in sent if one.answered_at is None or one.answered_at > one.sent_at + WAIT + LATE + SLACK]
    codes = {code: sum(one.code == code for one in sent) for code in (0, 14, 2, None)}
    record.add("judge", f"{count} invokers; asked {len(sent)}, held back {held_back}, by answer {codes}")
    return [f"{one.id}: sent, and no answer within its time and {LATE} s" for one in lost]


main(case, Path(__file__).parent)
