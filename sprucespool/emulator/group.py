"""A group of members in virtual time with message loss, delay, partitions, crashes, stalls and clock errors.

Deterministic from its seed.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Callable
from dataclasses import replace
from typing import Any

from sprucespool.faults import Links, LinkState
from sprucespool.membership import About, Codec, Event, Group, GroupLimits, Message, Outgoing

CHECK_INTERVAL_MS = 100.0
# More events at one instant count as an endless loop; a whole fleet that starts at once causes some thousands.
MAX_EVENTS_AT_ONE_INSTANT = 1_000_000


class StandsStill(RuntimeError):
    """Virtual time does not advance: an action is due again and again at one instant."""

    def __init__(self, now: float, action: Callable[[], None]):
        inner = getattr(action, "func", action)
        super().__init__(f"time stands still at {now:.3f} ms: {getattr(inner, '__qualname__', inner)} comes up again")


class VirtualGroup:
    """`members` maps names to the running members. `watch` is called with each event and the member it occurred at."""

    def __init__(
        self,
        size: int,
        seed: int = 1,
        zones: int = 3,
        loss: float = 0.0,
        limits: GroupLimits | None = None,
        seeds: int = 3,
        member: type[Group] = Group,
        settled: bool = False,
    ):
        self.chance, self.limits, self.member = random.Random(seed), limits or GroupLimits(), member
        self.links = Links(LinkState(1.0, 24.0, loss))
        self.now, self.number, self.seed = 0.0, itertools.count(), seed
        self.heap: list[tuple[float, int, Callable[[], None]]] = []
        self.members: dict[str, Group] = {}
        self.by_address: dict[str, Group] = {}
        self.paused: set[str] = set()
        self.slow: dict[str, float] = {}
        self.clock: dict[str, float] = {}
        self.armed: dict[Group, float] = {}
        self.starts = 1_000
        self.said = self.lost = self.bytes = self.weighed = 0
        self.codec = Codec("virtual", "mark")
        self.watch: Callable[[Group, Event], None] = lambda member, event: None
        # Returns a member's load and capacity, which it reports with each tick as in the daemon.
        self.load: Callable[[Group], tuple[float, ...]] | None = None
        self.zones = zones
        self.seeds = [f"a{n}" for n in range(min(seeds, size))]
        for n in range(size):
            self.join(f"c{n}", f"a{n}", number=n, of=size)
        if settled:
            self.settle()

    # Members

    def join(
        self,
        name: str,
        address: str,
        zone: str | None = None,
        seeds: list[str] | None = None,
        number: int = 0,
        of: int = 1,
    ) -> Group:
        """Starts a process that knows nothing yet; it may take over the address of an earlier one."""
        self.starts += 1
        previous = self.by_address.get(address)
        if previous is not None and self.members.get(previous.name) is previous:
            del self.members[previous.name]
        about = About("region", zone or self.zone_of(number), number, of)
        one = self.member(
            name,
            address,
            self.starts,
            self.seeds if seeds is None else seeds,
            about,
            self.seed * 100_003 + self.starts,
            self.limits,
            b"secret of %d" % self.starts,
        )
        self.members[name] = self.by_address[address] = one
        self.paused.discard(name)
        self._later(self.chance.uniform(0, 100), lambda: self._tick(one))
        return one

    def zone_of(self, number: int) -> str:
        """Returns the zone of the controller, or the invoker, of that number."""
        return f"z{number % self.zones}"

    def restart(self, name: str, address: str | None = None) -> Group:
        old = self.members[name]
        self.kill(name)
        about = old.about
        return self.join(name, address or old.address, about.zone, None, about.number, about.of)

    def kill(self, name: str) -> Group:
        one = self.members.pop(name)
        if self.by_address.get(one.address) is one:
            del self.by_address[one.address]
        self.armed.pop(one, None)
        return one

    def leave(self, name: str) -> None:
        one = self.members[name]
        self._send(one, one.leave(self._time(one)))
        self.kill(name)

    def settle(self) -> None:
        """Makes all members known to each other, as after a while of running; faster than simulating the start."""
        rows = [one.me for one in self.members.values()]
        for one in self.members.values():
            for row in rows:
                if row.seat != one.me.seat:
                    one.table.learn(0.0, row)
            one.take_events()
            one._joins = 4

    # Virtual time and messages

    def _time(self, one: Group) -> float:
        return self.now + self.clock.get(one.name, 0.0)

    def _later(self, after: float, action: Callable[[], None]):
        heapq.heappush(self.heap, (self.now + after, next(self.number), action))

    def _running(self, one: Group) -> bool:
        return self.by_address.get(one.address) is one

    def _tick(self, one: Group):
        if not self._running(one):
            return
        if one.name in self.paused:
            return self._later(50.0, lambda: self._tick(one))
        if self.load is not None:
            one.update_figures(self._time(one), self.load(one))
        self._send(one, one.tick(self._time(one)))
        self._drain(one)
        self._arm(one)

    def _arm(self, one: Group):
        due = max(self.now + 1.0, one.due() - self.clock.get(one.name, 0.0))
        # If the member's clock was set back, it is checked again after a while all the same.
        due = min(due, self.now + 2 * self.limits.period)
        self.armed[one] = due

        def tick_if_armed():
            if self.armed.get(one) == due:
                self._tick(one)

        self._later(due - self.now, tick_if_armed)

    def _drain(self, one: Group):
        for event in one.take_events():
            self.watch(one, event)

    def _send(self, one: Group, messages: list[Outgoing]):
        for outgoing in messages:
            self.said += 1
            if self.said % 50 == 0:
                self.bytes += len(self.codec.encode(outgoing.message))
                self.weighed += 1
            self.post(one.name, outgoing.to, self._wrapped(one, outgoing.message))

    def _wrapped(self, one: Group, message: Message) -> Any:
        """Returns what is sent for a member's message; subclasses attach further data to it."""
        return message

    def _delivered(self, one: Group, message: Any):
        self._send(one, one.receive(self._time(one), message))

    def post(self, source: str, to: str, message: Any) -> None:
        """Sends a message over the simulated link; also used for replayed and invented messages."""
        target = self.by_address.get(to)
        state = self.links.between(source, target.name if target else to)
        if target is None or state.cut or state.loss and self.chance.random() < state.loss:
            self.lost += 1
            return
        after = state.delay + self.chance.random() * state.jitter + self.slow.get(target.name, 0.0)
        self._later(after, lambda: self._receive(to, message))

    def _receive(self, to: str, message: Any):
        one = self.by_address.get(to)
        if one is None or not self._running(one):
            return
        if one.name in self.paused:
            # The message waits in the socket until the process resumes.
            return self._later(50.0, lambda: self._receive(to, message))
        before = one.due()
        self._delivered(one, message)
        self._drain(one)
        if one.due() < before:
            self._arm(one)

    def run(
        self, duration: float, until: Callable[[], bool] | None = None, every: float = CHECK_INTERVAL_MS
    ) -> float | None:
        """Advances time by `duration` ms. Stops once `until` holds and returns after how many ms; else returns None.

        Raises StandsStill."""
        begun, end, checked_at, events_now = self.now, self.now + duration, self.now, 0
        while self.heap and self.heap[0][0] <= end:
            at, _, action = heapq.heappop(self.heap)
            events_now = events_now + 1 if at == self.now else 0
            self.now = at
            if events_now > MAX_EVENTS_AT_ONE_INSTANT:
                raise StandsStill(self.now, action)
            action()
            if until is not None and self.now - checked_at >= every:
                checked_at = self.now
                if until():
                    return self.now - begun
        self.now = end
        return None

    # Observation

    def alike(self, names: set[str] | None = None) -> bool:
        """Whether the named members (or all) have equal views that contain exactly each other."""
        chosen = [one for name, one in self.members.items() if names is None or name in names]
        digests = {one.digest for one in chosen}
        return len(digests) == 1 and len(chosen[0].live()) == len(chosen)

    def all_hold_gone(self, name: str) -> bool:
        """Whether no member sees `name` as live."""
        return all(row.name != name for one in self.members.values() for row in one.live())

    def update_member(self, name: str, **changes) -> None:
        """Changes what a member announces about itself."""
        one = self.members[name]
        self._send(one, one.update_about(self._time(one), replace(one.about, **changes)))
