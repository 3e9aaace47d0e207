"""Clients that come in crowds, and usual clients that come on new connections meanwhile."""

from __future__ import annotations

import asyncio
import itertools
import time
from collections import Counter
from collections.abc import Awaitable, Callable
from pathlib import Path

from platform_scene import read_frames
from platform_world import frame, request_frame

CANCEL = 18
# A request that crosses the end of its connection within this time is sent once more, on a new connection.
CROSSING_SECONDS = 0.05
# What an answer may come after its time: the settings' slack, and half a second in which it earns nothing.
LATE_SECONDS = 0.55
WAIT_SECONDS = 2.0
# Pause of a crowd's client that could not connect.
RETRY_SECONDS = 0.01
# The ids of the crowd are above those of usual clients.
FIRST_CROWD_ID = 1 << 40

Streams = tuple[asyncio.StreamReader, asyncio.StreamWriter]


def descriptors(pid: int) -> int:
    """How many descriptors the process uses."""
    return sum(1 for _ in Path(f"/proc/{pid}/fd").iterdir())


class NewClients:
    """Usual clients: each comes on a connection of its own, asks four times at once and leaves when it is answered."""

    REQUESTS = 4

    def __init__(self, port: int, first_id: int = 1 << 20):
        self.port, self.ids = port, itertools.count(first_id)
        # How many requests ended in each way, and for those that were lost how.
        self.ends: Counter[str] = Counter()
        self.lost: list[str] = []
        self.tasks: list[asyncio.Task] = []

    async def come(self, count: int, seconds: float) -> None:
        """`count` clients, `seconds` apart; returns when all have their answers or have given up."""
        for _ in range(count):
            self.tasks.append(asyncio.create_task(self._visit()))
            await asyncio.sleep(seconds)
        await asyncio.gather(*self.tasks)

    async def _visit(self) -> None:
        wanted = [f"{next(self.ids):016x}" for _ in range(self.REQUESTS)]
        left, after = await self._exchange(wanted)
        if left and after is not None and after <= CROSSING_SECONDS:
            self.ends["crossed"] += len(left)
            left, after = await self._exchange(left)
        self.ends["lost"] += len(left)
        if left:
            self.lost.append(f"{len(left)} of {len(wanted)}: ended after {after} s")

    async def _exchange(self, wanted: list[str]) -> tuple[list[str], float | None]:
        """Returns the ids without an answer, and how long after they were sent the connection was ended, if it was."""
        left = dict(enumerate(wanted, 1))
        sent_at, data = time.monotonic(), b""
        try:
            async with asyncio.timeout(5.0):
                reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        except (OSError, TimeoutError):
            return wanted, None
        try:
            wait = f"{WAIT_SECONDS * 1000:g}"
            writer.write(b"".join(request_frame(stream, id=name, wait=wait) for stream, name in left.items()))
            sent_at = time.monotonic()
            async with asyncio.timeout(WAIT_SECONDS + LATE_SECONDS):
                while left:
                    found = await read_frames(reader, data)
                    if found is None:
                        return list(left.values()), time.monotonic() - sent_at
                    frames, data = found
                    for _, stream, code in frames:
                        if left.pop(stream, None):
                            self.ends[f"code {code}"] += 1
        except ConnectionError:
            return list(left.values()), time.monotonic() - sent_at
        except TimeoutError:
            pass
        finally:
            writer.close()
        return list(left.values()), None


class StayingClients(NewClients):
    """Usual clients that ask for one request after another on a connection that they keep while it stands."""

    def __init__(self, port: int, pause: float = 0.1):
        super().__init__(port, first_id=1 << 30)
        self.pause = pause
        # How often a connection was ended while nothing was open on it.
        self.reconnections = 0
        self.stopping = False

    def start(self, count: int) -> None:
        self.tasks = [asyncio.create_task(self._stay()) for _ in range(count)]

    async def stop(self) -> None:
        """Ends the clients when their open requests have their answers."""
        self.stopping = True
        await asyncio.gather(*self.tasks)

    async def _stay(self) -> None:
        while not self.stopping:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
            await self._ask_on(reader, writer)
            writer.close()

    async def _ask_on(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Asks until the connection ends; what crosses its end is sent once more."""
        for stream in itertools.count(1):
            if reader.at_eof() or self.stopping:
                self.reconnections += not self.stopping
                return
            name, sent_at = f"{next(self.ids):016x}", time.monotonic()
            try:
                writer.write(request_frame(stream, id=name, wait=f"{WAIT_SECONDS * 1000:g}"))
                async with asyncio.timeout(WAIT_SECONDS + LATE_SECONDS):
                    found = await self._read_answer(reader)
            except (ConnectionError, TimeoutError):
                found = None
            if found is None:
                return await self._ask_again(name, time.monotonic() - sent_at)
            self.ends[f"code {found}"] += 1
            await asyncio.sleep(self.pause)

    async def _read_answer(self, reader: asyncio.StreamReader) -> int | None:
        """Returns the code of an answer to a request; None if the connection has ended."""
        data = b""
        while (found := await read_frames(reader, data)) is not None:
            frames, data = found
            for _, stream, code in frames:
                if stream:
                    return code
        return None

    async def _ask_again(self, name: str, after: float) -> None:
        left = [name]
        if after <= CROSSING_SECONDS:
            self.ends["crossed"] += 1
            left, _ = await self._exchange(left)
        if left:
            self.ends["lost"] += 1
            self.lost.append(f"ended after {after} s")


class Crowd:
    """Connections that each do what `act` says, until the crowd is ended."""

    def __init__(self, port: int, act: Callable[[Crowd, Streams], Awaitable[None]]):
        self.port, self.act = port, act
        self.ids = itertools.count(FIRST_CROWD_ID)
        self.connected = 0
        self.tasks: set[asyncio.Task] = set()

    def next_request(self, stream: int) -> bytes:
        return request_frame(stream, id=f"{next(self.ids):016x}", wait="2000")

    async def _connect(self) -> None:
        try:
            streams = await asyncio.open_connection("127.0.0.1", self.port)
        except OSError:
            return await asyncio.sleep(RETRY_SECONDS)
        self.connected += 1
        try:
            await self.act(self, streams)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            streams[1].transport.abort()

    async def _connect_again(self) -> None:
        while True:
            await self._connect()
            await asyncio.sleep(0)

    def _start(self, coroutine) -> None:
        task = asyncio.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def come_in_bursts(self, count: int = 60, seconds: float = 0.5) -> None:
        """`count` connections each `seconds`."""
        while True:
            for _ in range(count):
                self._start(self._connect())
            await asyncio.sleep(seconds)

    async def come_again(self, count: int = 300) -> None:
        """`count` connections, each opened again at once when it has ended."""
        for _ in range(count):
            self._start(self._connect_again())
        await asyncio.Event().wait()

    async def end(self) -> None:
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)


async def say_nothing(crowd: Crowd, streams: Streams) -> None:
    await streams[0].read()


async def take_back(crowd: Crowd, streams: Streams) -> None:
    """Takes eight requests back at once, then says nothing more."""
    reader, writer = streams
    writer.write(b"".join(crowd.next_request(n) + frame(CANCEL, n) for n in range(1, 9)))
    while await reader.read(65_536):
        pass


async def ask_and_stay(crowd: Crowd, streams: Streams) -> None:
    """Asks once, and keeps its connection."""
    reader, writer = streams
    writer.write(crowd.next_request(1))
    while await reader.read(65_536):
        pass


async def send_half(crowd: Crowd, streams: Streams) -> None:
    """Sends half a request, and keeps its connection."""
    reader, writer = streams
    writer.write(crowd.next_request(1)[:-20])
    while await reader.read(65_536):
        pass


async def ask_and_break_off(crowd: Crowd, streams: Streams) -> None:
    """Asks, and resets its connection."""
    streams[1].write(crowd.next_request(1))
    await asyncio.sleep(0.02)


async def send_invalid(crowd: Crowd, streams: Streams) -> None:
    """Sends what no client may send, and reads until its connection ends."""
    reader, writer = streams
    writer.write(frame(99, 0))
    while await reader.read(65_536):
        pass
