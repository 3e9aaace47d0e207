"""The command channel: HTTP and server-sent events of one connection, and the roster that its events carry."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import Any

import h11
import msgspec

from sprucespool import interface as it
from sprucespool.gateway import messages as ms
from sprucespool.links import LinkError, address

PATH = "/cmd/next"
LARGEST_EVENT = 8 * 1024 * 1024
# No start of an invoker for so long (ms), and the own clock is taken to be ahead rather than the fleet so quiet.
LONGEST_CREDIBLE = 30 * 60_000.0
# How late the news of an invoker's start may be.
MAX_START_REPORT_DELAY_MS = 60_000.0
STATES = {"up": it.Status.IN_SERVICE, "draining": it.Status.DRAINING, "removed": it.Status.GONE}


class FeedError(LinkError):
    """What can't be read on the command channel."""


class EntryError(ValueError):
    """A command that can't be used; the text names the place and what was expected."""


@dataclass(slots=True)
class ChannelEvent:
    """One event: its number, and what it says."""

    number: int
    data: bytes


class FeedLink:
    """The asking end of one connection to the command channel. Comments are heard as bytes and bring no event."""

    more = False

    def __init__(self, host: str, last: int):
        self.http = h11.Connection(h11.CLIENT, max_incomplete_event_size=LARGEST_EVENT)
        self.out = self.http.send(
            h11.Request(
                method="GET",
                target=PATH,
                headers=[("Host", host), ("Accept", "text/event-stream"), ("Last-Event-ID", str(last))],
            )
        )
        self.out = (self.out or b"") + (self.http.send(h11.EndOfMessage()) or b"")
        self.partial_line = b""
        self.number: int | None = None
        self.data: list[bytes] = []
        self.ended = False
        # When an event or a comment last ended with nothing half told behind it (ms); None before the first.
        self.current_at: float | None = None

    def outgoing(self, data_too: bool = True) -> tuple[bytes, list[ChannelEvent]]:
        out, self.out = self.out or b"", b""
        return out, []

    def forget(self) -> None:
        self.partial_line = b""

    def receive(self, data: memoryview | bytes, now: float) -> list[ChannelEvent]:
        told: list[ChannelEvent] = []
        try:
            self.http.receive_data(bytes(data))
            while True:
                event = self.http.next_event()
                if event is h11.NEED_DATA or event is h11.PAUSED:
                    return told
                if isinstance(event, h11.Response) and event.status_code != 200:
                    raise FeedError(f"expected status 200, got {event.status_code}")
                if isinstance(event, h11.Data):
                    self._lines(bytes(event.data), told)
                    if not self.partial_line and self.number is None and not self.data:
                        self.current_at = now
                elif isinstance(event, h11.EndOfMessage | h11.ConnectionClosed):
                    self.ended = True
                    return told
        except h11.RemoteProtocolError as problem:
            raise FeedError(f"no HTTP: {problem}") from None

    def _lines(self, data: bytes, told: list[ChannelEvent]):
        *lines, self.partial_line = (self.partial_line + data).split(b"\n")
        if len(self.partial_line) + sum(map(len, self.data)) > LARGEST_EVENT:
            raise FeedError(f"expected an event of at most {LARGEST_EVENT} bytes")
        for line in lines:
            line = line.removesuffix(b"\r")
            name, _, value = line.partition(b":")
            value = value.removeprefix(b" ")
            if not line:
                if self.number is not None and self.data:
                    told.append(ChannelEvent(self.number, b"\n".join(self.data)))
                self.number, self.data = None, []
            elif name == b"id":
                if not value.isdigit() or len(value) > 15:
                    raise FeedError(f"expected id as a number, got {value[:40]!r}")
                self.number = int(value)
            elif name == b"data":
                self.data.append(value)


@dataclass(slots=True, frozen=True)
class Place:
    """Where one process of an invoker listens."""

    host: str
    port: int
    boot: str


class Ages:
    """Ages of invokers from the wall time at which each was born, told by others' clocks.

    The own clock may have been wrong when the process began. An invoker taken for older than it is would be overloaded,
    one taken for younger is only used less for a while: so what can't be is read as young.
    """

    def __init__(self) -> None:
        self.began = 0.0
        # Added to the own wall time.
        self.correction = 0.0

    def start(self, commands: list[Any], unix: float) -> None:
        """Compare the own clock with the youngest invoker of the list that a process begins with."""
        self.began = unix
        changes = [change for change in map(read_change, commands) if change is not None]
        born = [time for change in changes for time in change.births()]
        if not born:
            return
        youngest = unix - max(born)
        if not 0 <= youngest <= LONGEST_CREDIBLE:
            self.correction = -youngest

    def age(self, born: float, unix: float, known: bool) -> float:
        """`known`: the invoker was listed before, perhaps as another process."""
        age = max(0.0, unix + self.correction - born)
        if not known and unix > self.began and age > unix - self.began + MAX_START_REPORT_DELAY_MS:
            # It was in no list when this process began: it can't be much older than that.
            return 0.0
        return age


@dataclass(slots=True, frozen=True)
class ListChange:
    """What a command says of the list of invokers; `hosts` is None where it has no list of them."""

    hosts: list[Any] | None
    whole: bool
    version: int

    def births(self) -> list[float]:
        """The wall times (ms) of those of its invokers that have one."""
        told = [host.get("born_ms") for host in self.hosts or [] if isinstance(host, dict)]
        return [float(born) for born in told if isinstance(born, int | float) and born > 0 and math.isfinite(born)]


def read_change(command: Any) -> ListChange | None:
    """None for a command of another kind, which is not about invokers."""
    nodes = command.get("nodes") if isinstance(command, dict) else None
    if nodes is None:
        return None
    if not isinstance(nodes, dict):
        return ListChange(None, False, 0)
    hosts, version = nodes.get("hosts"), nodes.get("seq")
    return ListChange(
        hosts if isinstance(hosts, list) else None,
        nodes.get("whole") is True,
        version if isinstance(version, int) else 0,
    )


class Roster:
    """Events of the command channel, each counted once, as rows for the gateway and places to connect to.

    Kept through every connection, as the numbers go on; a gap is not passed over but asked for again.
    """

    def __init__(self) -> None:
        self.last = 0
        self.places: dict[str, Place] = {}
        self.ages = Ages()

    def restore(self, cursor: int, commands: list[Any], unix: float) -> list[ms.Roster]:
        """What the configuration tells: all up to `cursor`, older than what the channel told since."""
        news = [ms.Roster(it.News.RESTORED.value)] if not self.last else []
        self.ages.start(commands, unix)
        for command in commands:
            number = command.get("cursor") if isinstance(command, dict) else None
            if isinstance(number, int) and number > self.last:
                news += self._read(number, read_change(command), unix)
        self.last = max(self.last, cursor)
        return news

    def apply(self, event: ChannelEvent, unix: float) -> list[ms.Roster] | None:
        """None where events between are missing. Raises EntryError."""
        if event.number <= self.last:
            return []
        try:
            command = msgspec.json.decode(event.data)
        except msgspec.DecodeError as problem:
            raise EntryError(f"event {event.number}: expected JSON: {problem}") from None
        change = read_change(command)
        if event.number != self.last + 1 and not (change is not None and change.whole):
            return None
        return self._read(event.number, change, unix)

    def apply_usable(self, event: ChannelEvent, unix: float) -> list[ms.Roster]:
        """What can be used of an event that has something else in it, however often it is asked for."""
        try:
            command = msgspec.json.decode(event.data)
            return self._read(event.number, read_change(command), unix, lenient=True)
        except (msgspec.DecodeError, EntryError):
            self.last = event.number
            return []

    def _read(self, number: int, change: ListChange | None, unix: float, lenient: bool = False) -> list[ms.Roster]:
        if change is None:
            self.last = number
            return []
        if change.hosts is None:
            raise EntryError(f"event {number}: expected nodes with hosts")
        rows = []
        for host in change.hosts:
            try:
                rows.append(self._row(number, host, unix))
            except EntryError:
                if not lenient:
                    raise
        self.last = number
        if change.whole:
            self.places = {}
        for row, place in rows:
            if row.status == it.Status.GONE.value:
                self.places.pop(row.invoker, None)
            else:
                self.places[row.invoker] = place
        news = it.News.REPLACE if change.whole else it.News.UPDATE
        listed = [row for row, _ in rows if not change.whole or row.status != it.Status.GONE.value]
        return [ms.Roster(news.value, change.version, listed)]

    def _row(self, number: int, host: Any, unix: float) -> tuple[ms.Row, Place]:
        if not isinstance(host, dict):
            raise EntryError(f"event {number}: expected hosts as objects")

        def text(name: str) -> str:
            value = host.get(name)
            if not isinstance(value, str) or not value:
                raise EntryError(f"event {number}: expected {name} as text, got {value!r}")
            return value

        name, state = text("host"), text("health")
        if state not in STATES:
            raise EntryError(f"event {number}: expected health as one of {', '.join(STATES)}, got {state!r}")
        status = STATES[state]
        old = self.places.get(name)
        where = text("dial") if host.get("dial") or old is None else f"{old.host}:{old.port}"
        try:
            at, port = address(where)
        except ValueError as problem:
            raise EntryError(f"event {number}: dial: {problem}") from None
        if not port:
            raise EntryError(f"event {number}: expected dial with a port, got {where!r}")
        born, size = host.get("born_ms") or 0, host.get("share", 1)
        for what, figure in (("born_ms", born), ("share", size)):
            if not isinstance(figure, int | float) or not math.isfinite(figure):
                raise EntryError(f"event {number}: expected {what} as a number, got {figure!r}")
        age = self.ages.age(float(born), unix, name in self.places) if born else None
        row = ms.Row(
            name,
            str(host.get("site", "")),
            str(host.get("class", "")),
            str(host.get("block", "")),
            status.value,
            float(size),
            str(born),
            age,
        )
        return row, Place(at, port, str(born))
