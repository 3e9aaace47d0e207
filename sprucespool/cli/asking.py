"""One unary call to a running controller, for commands that show something of it."""

from __future__ import annotations

import asyncio
import sys
import time
from collections.abc import Awaitable, Callable
from typing import Any, TypeVar

import msgspec
from rich.console import Console
from rich.table import Table

from sprucespool.grpc.events import Answered, Message
from sprucespool.grpc.status import Limits, Status
from sprucespool.settings.controller import address
from sprucespool.transport.plan import PoolLimits
from sprucespool.transport.pool import FINAL_EVENTS, CallEvent, Pool
from sprucespool.wire import platform_pb2 as platform

LARGEST_ANSWER = 16 * 2**20
Shown = TypeVar("Shown")


class Unreachable(Exception):
    """The controller gave no answer of use; the text says which one and why."""


async def ask(where: str, path: str, request: Any, reply: Any, within: float = 3_000.0) -> Any:
    """The decoded reply. `within` in ms. Raises ValueError on what is no address, Unreachable."""
    host, port = address(where)
    pool = Pool(host, port, Limits(message=LARGEST_ANSWER), PoolLimits(connections=1, connect_timeout=within), 1)
    done: asyncio.Future[CallEvent] = asyncio.get_running_loop().create_future()
    got: list[bytes] = []

    def heard(event: CallEvent):
        if isinstance(event, Message):
            got.append(event.data)
            call.consumed(event.size)
        elif isinstance(event, FINAL_EVENTS) and not done.done():
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


async def fetched(where: str, path: str, kind: type[Shown]) -> Shown:
    """What a controller shows of itself, as JSON in its reply. Raises Unreachable."""
    reply = await ask(where, path, platform.ViewRequest(), platform.ViewReply)
    return msgspec.json.decode(reply.view, type=kind)


def show(
    fetch: Callable[[str], Awaitable[Any]],
    differences: Callable[[list[Any]], list[str]],
    table: Callable[[Any], Table],
    same: str,
    addresses: list[str],
    watch: bool,
    as_json: bool,
    compare: bool,
) -> int:
    """The view of the first address, or in what those of all differ; again each second with `watch`. Gives the exit
    status: 1 where those compared differ. Raises Unreachable, and ValueError on what is no address."""

    async def all_of(wanted: list[str]) -> list[Any]:
        return list(await asyncio.gather(*(fetch(where) for where in wanted)))

    while True:
        views = asyncio.run(all_of(addresses if compare else addresses[:1]))
        found = differences(views) if compare else []
        if as_json:
            print(msgspec.json.encode(views if compare else views[0]).decode(), flush=True)
        elif compare:
            print("\n".join(found) if found else f"{len(views)} controllers {same}: {views[0].digest}", flush=True)
        else:
            Console(width=None if sys.stdout.isatty() else 160).print(table(views[0]))
        if not watch:
            return int(bool(found))
        time.sleep(1.0)
