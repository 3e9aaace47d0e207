"""The command channel: HTTP and server-sent events on one connection, and the roster that the events carry."""

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
# Limit of the head of the response, and of a line of chunk sizes.
MAX_HEAD_BYTES = 64 * 1024
# What a line of data costs beside its bytes.
LINE_OVERHEAD_BYTES = 48
# If the youngest invoker seems older than this, the local clock is assumed to be ahead, since so long without any
# start of an invoker is implausible.
MAX_CREDIBLE_AGE_MS = 30 * 60_000.0
# How late the start of an invoker may be reported.
MAX_START_REPORT_DELAY_MS = 60_000.0
STATES = {"up": it.Status.IN_SERVICE, "draining": it.Status.DRAINING, "removed": it.Status.GONE}


class FeedError(LinkError):
    """Input on the command channel that can't be parsed."""


class EntryError(ValueError):
    """A command that can't be used; the message names the place and what was expected."""


@dataclass(slots=True)
class ChannelEvent:
    """One event of the channel: its number and its data."""

    number: int
    data: bytes


class FeedLink:
    """The client side of one connection to the command channel. Comments count as received bytes but yield no event.

    `max_event_bytes`: what an incomplete event may take, with the overhead of its lines.
    """

    more = deferred = False
    missing_bytes = 0

    def __init__(self, host: str, last: int, max_event_bytes: int):
        self.max_event_bytes = max_event_bytes
        self.http = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)
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
        self.data_bytes = 0
        self.ended = False
        # When (ms) an event or a comment last ended with no incomplete event behind it; None before the first.
        self.current_at: float | None = None

    @property
    def buffered_bytes(self) -> int:
        return len(self.partial_line) + self.data_bytes

    @property
    def incomplete_since(self) -> float:
        return math.inf

    def outgoing(self, data_too: bool = True) -> tuple[bytes, list[ChannelEvent]]:
        out, self.out = self.out or b"", b""
        return out, []

    def forget(self) -> None:
        self.partial_line = b""
        self._forget_event()

    def receive(self, data: memoryview | bytes, now: float) -> list[ChannelEvent]:
        events: list[ChannelEvent] = []
        try:
            self.http.receive_data(bytes(data))
            while True:
                event = self.http.next_event()
                if event is h11.NEED_DATA or event is h11.PAUSED:
                    return events
                if isinstance(event, h11.Response) and event.status_code != 200:
                    raise FeedError(f"expected status 200, got {event.status_code}")
                if isinstance(event, h11.Data):
                    self._lines(bytes(event.data), events)
                    if not self.partial_line and self.number is None and not self.data:
                        self.current_at = now
                elif isinstance(event, h11.EndOfMessage | h11.ConnectionClosed):
                    self.ended = True
                    return events
        except h11.RemoteProtocolError as error:
            raise FeedError(f"no HTTP: {error}") from None

    def _lines(self, data: bytes, events: list[ChannelEvent]):
        *lines, self.partial_line = (self.partial_line + data).split(b"\n")
        for line in lines:
            line = line.removesuffix(b"\r")
            name, _, value = line.partition(b":")
            value = value.removeprefix(b" ")
            if not line:
                if self.number is not None and self.data:
                    events.append(ChannelEvent(self.number, b"\n".join(self.data)))
                self._forget_event()
            elif name == b"id":
                if not value.isdigit() or len(value) > 15:
                    raise FeedError(f"expected id as a number, got {value[:40]!r}")
                self.number = int(value)
            elif name == b"data":
                self.data.append(value)
                self.data_bytes += len(value) + LINE_OVERHEAD_BYTES
        if self.buffered_bytes > self.max_event_bytes:
            raise FeedError(f"expected an event of at most {self.max_event_bytes} bytes")

    def _forget_event(self):
        self.number, self.data, self.data_bytes = None, [], 0


@dataclass(slots=True, frozen=True)
class Place:
    """The address at which one process of an invoker listens."""

    host: str
    port: int
    boot: str


class Ages:
    """Computes ages of invokers from the wall time of their start, as reported by other clocks.

    The local clock may have been wrong when this process started. An invoker that is assumed older than it is would be
    overloaded, one that is assumed younger is only used less for a while. Implausible ages are therefore read as young.
    """

    def __init__(self) -> None:
        self.began = 0.0
        # Added to the local wall time.
        self.correction = 0.0

    def start(self, commands: list[Any], unix: float) -> None:
        """Compare the local clock with the youngest invoker of the list that this process starts with."""
        self.began = unix
        changes = [change for change in map(read_change, commands) if change is not None]
        born = [time for change in changes for time in change.births()]
        if not born:
            return
        youngest = unix - max(born)
        if not 0 <= youngest <= MAX_CREDIBLE_AGE_MS:
            self.correction = -youngest

    def age(self, born: float, unix: float, known: bool) -> float:
        """Return the age in ms. `known`: the invoker was listed before, perhaps as another process."""
        age = max(0.0, unix + self.correction - born)
        if not known and unix > self.began and age > unix - self.began + MAX_START_REPORT_DELAY_MS:
            # It was in no list when this process started, so it can't be much older than this process.
            return 0.0
        return age


@dataclass(slots=True, frozen=True)
class ListChange:
    """A change of the list of invokers by a command; `hosts` is None if the command has no list of hosts."""

    hosts: list[Any] | None
    whole: bool
    version: int

    def births(self) -> list[float]:
        """The start times (wall time, ms) of the invokers that have one."""
        births = [host.get("born_ms") for host in self.hosts or [] if isinstance(host, dict)]
        return [float(born) for born in births if isinstance(born, int | float) and born > 0 and math.isfinite(born)]


def read_change(command: Any) -> ListChange | None:
    """Read the change of the invoker list from a command; None if the command is of another kind."""
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
    """Turns the events of the command channel, each applied once, into rows for the gateway and places to connect to.

    It outlives the connections to the channel, since event numbers continue over all of them. A gap in the numbers is
    never skipped: the missing events are requested again.
    """

    def __init__(self) -> None:
        self.last = 0
        self.places: dict[str, Place] = {}
        self.ages = Ages()

    def restore(self, cursor: int, commands: list[Any], unix: float) -> list[ms.Roster]:
        """Apply the commands of the configuration: all up to `cursor`, older than what the channel has sent since."""
        changes = [ms.Roster(it.News.RESTORED.value)] if not self.last else []
        self.ages.start(commands, unix)
        for command in commands:
            number = command.get("cursor") if isinstance(command, dict) else None
            if isinstance(number, int) and number > self.last:
                changes += self._read(number, read_change(command), unix)
        self.last = max(self.last, cursor)
        return changes

    def apply(self, event: ChannelEvent, unix: float) -> list[ms.Roster] | None:
        """Apply an event; None if events before it are missing. Raises EntryError."""
        if event.number <= self.last:
            return []
        try:
            command = msgspec.json.decode(event.data)
        except msgspec.DecodeError as error:
            raise EntryError(f"event {event.number}: expected JSON: {error}") from None
        change = read_change(command)
        if event.number != self.last + 1 and not (change is not None and change.whole):
            return None
        return self._read(event.number, change, unix)

    def apply_usable(self, event: ChannelEvent, unix: float) -> list[ms.Roster]:
        """Apply the usable part of an event that stays invalid however often it is requested."""
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
        else:
            rows = self._displaced(rows) + rows
        for row, place in rows:
            if row.status == it.Status.GONE.value:
                self.places.pop(row.invoker, None)
            else:
                self.places[row.invoker] = place
        kind = it.News.REPLACE if change.whole else it.News.UPDATE
        listed = [row for row, _ in rows if not change.whole or row.status != it.Status.GONE.value]
        return [ms.Roster(kind.value, change.version, listed)]

    def _displaced(self, rows: list[tuple[ms.Row, Place]]) -> list[tuple[ms.Row, Place]]:
        """The invokers at whose addresses new processes are announced: only one process listens at an address."""
        named = {row.invoker for row, _ in rows}
        taken = {
            (place.host, place.port)
            for row, place in rows
            if row.status == it.Status.IN_SERVICE.value and self.places.get(row.invoker) != place
        }
        return [
            (ms.Row(name, status=it.Status.GONE.value), place)
            for name, place in self.places.items()
            if name not in named and (place.host, place.port) in taken
        ]

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
        previous = self.places.get(name)
        dialled = text("dial") if host.get("dial") or previous is None else f"{previous.host}:{previous.port}"
        try:
            at, port = address(dialled)
        except ValueError as error:
            raise EntryError(f"event {number}: dial: {error}") from None
        if not port:
            raise EntryError(f"event {number}: expected dial with a port, got {dialled!r}")
        born, size = host.get("born_ms") or 0, host.get("share", 1)
        for what, number_value in (("born_ms", born), ("share", size)):
            if not isinstance(number_value, int | float) or not math.isfinite(number_value):
                raise EntryError(f"event {number}: expected {what} as a number, got {number_value!r}")
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
