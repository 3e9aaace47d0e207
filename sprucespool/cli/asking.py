"""A unary call to a running controller, and the loop that displays its views, for the operator commands."""

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

MAX_REPLY_BYTES = 16 * 2**20
Shown = TypeVar("Shown")


class Unreachable(Exception):
    """The controller gave no usable reply; the message names the controller and the cause."""


async def ask(where: str, path: str, request: Any, reply_type: Any, timeout_ms: float = 3_000.0) -> Any:
    """Returns the decoded reply. Raises ValueError if `where` is not an address, and Unreachable."""
    host, port = address(where)
    pool = Pool(host, port, Limits(message=MAX_REPLY_BYTES), PoolLimits(connections=1, connect_timeout=timeout_ms), 1)
    final_event: asyncio.Future[CallEvent] = asyncio.get_running_loop().create_future()
    replies: list[bytes] = []

    def on_event(event: CallEvent):
        if isinstance(event, Message):
            replies.append(event.data)
            call.consumed(event.size)
        elif isinstance(event, FINAL_EVENTS) and not final_event.done():
            final_event.set_result(event)

    call = pool.call(path, {}, timeout_ms, request.SerializeToString(), on_event)
    try:
        event = await asyncio.wait_for(final_event, timeout_ms / 1000.0)
    except TimeoutError:
        raise Unreachable(f"{where}: no reply within {timeout_ms:.0f} ms") from None
    finally:
        pool.close()
    if isinstance(event, Answered) and event.status is Status.OK and replies:
        return reply_type.FromString(replies[0])
    if isinstance(event, Answered):
        raise Unreachable(f"{where}: {event.status.name}: {event.message}")
    raise Unreachable(f"{where}: {event}")


async def fetch_view(where: str, path: str, kind: type[Shown]) -> Shown:
    """Decodes the view that a controller returns as JSON in its reply. Raises Unreachable."""
    reply = await ask(where, path, platform.ViewRequest(), platform.ViewReply)
    return msgspec.json.decode(reply.view, type=kind)


def show(
    fetch: Callable[[str], Awaitable[Any]],
    differences: Callable[[list[Any]], list[str]],
    table: Callable[[Any], Table],
    agreement: str,
    addresses: list[str],
    watch: bool,
    as_json: bool,
    compare: bool,
) -> int:
    """Prints the view of the first address, or the differences between the views of all; with `watch`, repeats this
    every second. Returns the exit status: 1 if the compared views differ. Raises Unreachable, and ValueError if an
    address is malformed."""

    async def fetch_all(targets: list[str]) -> list[Any]:
        return list(await asyncio.gather(*(fetch(where) for where in targets)))

    while True:
        views = asyncio.run(fetch_all(addresses if compare else addresses[:1]))
        differing = differences(views) if compare else []
        if as_json:
            print(msgspec.json.encode(views if compare else views[0]).decode(), flush=True)
        elif compare:
            print(
                "\n".join(differing) if differing else f"{len(views)} controllers {agreement}: {views[0].digest}",
                flush=True,
            )
        else:
            Console(width=None if sys.stdout.isatty() else 160).print(table(views[0]))
        if not watch:
            return int(bool(differing))
        time.sleep(1.0)
