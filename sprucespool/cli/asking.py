"""One unary call to a running controller, for commands that show something of it."""
from __future__ import annotations

import asyncio
from typing import Any

from sprucespool.grpc.link import Answered, Message
from sprucespool.grpc.status import Limits, Status
from sprucespool.settings.controller import address
from sprucespool.transport.plan import PoolLimits
from sprucespool.transport.pool import ENDS, Heard, Pool

LARGEST_ANSWER = 16 * 2**20


class Unreachable(Exception):
    """The controller gave no answer of use; the text says which one and why."""


async def ask(where: str, path: str, request: Any, reply: Any, within: float = 3_000.0) -> Any:
    """The decoded reply. `within` in ms. Raises ValueError on what is no address, Unreachable."""
    host, port = address(where)
    pool = Pool(host, port, Limits(message=LARGEST_ANSWER), PoolLimits(connections=1, connect_timeout=within), 1)
    done: asyncio.Future[Heard] = asyncio.get_running_loop().create_future()
    got: list[bytes] = []

    def heard(event: Heard):
        if isinstance(event, Message):
            got.append(event.data)
            call.consumed(event.size)
        elif isinstance(event, ENDS) and not done.done():
            done.set_result(event)
    call = pool.call(path, {}, within, request.SerializeToString(), heard)
    try:
        event = await asyncio.wait_for(done, within / 1000.0)
    except TimeoutError:
        raise Unreachable(f"{where}: no answer within {within:.0f} ms") from None
    finally:
        pool.close()
    if isinstance(event, Answered) and event.status is Status.OK and got:
        return reply.FromString(got[0])
    if isinstance(event, Answered):
        raise Unreachable(f"{where}: {event.status.name}: {event.message}")
    raise Unreachable(f"{where}: {event}")
