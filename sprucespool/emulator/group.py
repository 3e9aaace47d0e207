"""A group of members in virtual time: loss, delay, partitions, deaths, stalls, clocks; deterministic from its seed."""

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
# Events at one instant; a whole fleet that starts at once has some thousands.
MAX_EVENTS_AT_ONE_INSTANT = 1_000_000


class TimeStalled(RuntimeError):
    """Time does not go on: something is due again and again at one instant."""

    def __init__(self, now: float, act: Callable[[], None]):
        inner = getattr(act, "func", act)
        super().__init__(f"time stands still at {now:.3f} ms: {getattr(inner, '__qualname__', inner)} comes up again")


class VirtualGroup:
    """`members` by name are those that run now. `watch` sees each event with the member that had it."""

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
        # A member's load and capacity, told as the daemon does with each tick.
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
        """A process starts, knowing nothing; on an address that was another's, if it was."""
        self.starts += 1
        old = self.by_address.get(address)
        if old is not None and self.members.get(old.name) is old:
            del self.members[old.name]
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
        """Of the controller, or the invoker, of that number."""
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
        """All know all, as a group does that ran for a while; quicker than playing its start."""
        rows = [one.me for one in self.members.values()]
        for one in self.members.values():
            for row in rows:
                if row.seat != one.me.seat:
                    one.table.learn(0.0, row)
            one.take_events()
            one._joins = 4

    # The machinery

    def _time(self, one: Group) -> float:
        return self.now + self.clock.get(one.name, 0.0)

    def _later(self, after: float, act: Callable[[], None]):
        heapq.heappush(self.heap, (self.now + after, next(self.number), act))

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
        # A clock that went back: the owner of a member looks again after a while all the same.
        due = min(due, self.now + 2 * self.limits.period)
        self.armed[one] = due

        def act():
            if self.armed.get(one) == due:
                self._tick(one)

        self._later(due - self.now, act)

    def _drain(self, one: Group):
        for event in one.take_events():
            self.watch(one, event)

    def _send(self, one: Group, said: list[Outgoing]):
        for say in said:
            self.said += 1
            if self.said % 50 == 0:
                self.bytes += len(self.codec.encode(say.message))
                self.weighed += 1
            self.post(one.name, say.to, self._wrapped(one, say.message))

    def _wrapped(self, one: Group, message: Message) -> Any:
        """What goes out for a member's message: more than it, where something rides on it."""
        return message

    def _delivered(self, one: Group, message: Any):
        self._send(one, one.receive(self._time(one), message))

    def post(self, source: str, to: str, message: Any) -> None:
        """Also for what no member says: replayed messages and made-up ones."""
        target = self.by_address.get(to)
        state = self.links.between(source, target.name if target else to)
        if target is None or state.cut or state.loss and self.chance.random() < state.loss:
            self.lost += 1
            return
        after = state.delay + self.chance.random() * state.jitter + self.slow.get(target.name, 0.0)
        self._later(after, lambda: self._heard(to, message))

    def _heard(self, to: str, message: Any):
        one = self.by_address.get(to)
        if one is None or not self._running(one):
            return
        if one.name in self.paused:
            # It waits in the socket and is read when the process goes on.
            return self._later(50.0, lambda: self._heard(to, message))
        before = one.due()
        self._delivered(one, message)
        self._drain(one)
        if one.due() < before:
            self._arm(one)

    def run(
        self, span: float, until: Callable[[], bool] | None = None, every: float = CHECK_INTERVAL_MS
    ) -> float | None:
        """Let time go on; gives after how many ms `until` held, or None. Raises TimeStalled."""
        begun, end, looked, same = self.now, self.now + span, self.now, 0
        while self.heap and self.heap[0][0] <= end:
            at, _, act = heapq.heappop(self.heap)
            same = same + 1 if at == self.now else 0
            self.now = at
            if same > MAX_EVENTS_AT_ONE_INSTANT:
                raise TimeStalled(self.now, act)
            act()
            if until is not None and self.now - looked >= every:
                looked = self.now
                if until():
                    return self.now - begun
        self.now = end
        return None

    # Looking

    def alike(self, names: set[str] | None = None) -> bool:
        """The members named, or all, see the same, and see each other and nobody else."""
        chosen = [one for name, one in self.members.items() if names is None or name in names]
        digests = {one.digest for one in chosen}
        return len(digests) == 1 and len(chosen[0].live()) == len(chosen)

    def all_hold_gone(self, name: str) -> bool:
        return all(row.name != name for one in self.members.values() for row in one.live())

    def tell(self, name: str, **over) -> None:
        one = self.members[name]
        self._send(one, one.update_about(self._time(one), replace(one.about, **over)))
