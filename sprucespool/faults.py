"""One vocabulary of faults between processes, for relays on sockets and for links in virtual time alike. Plain data.

`silent`: accepts and delivers nothing (half-open, a cut that nobody is told of). `refused`: no new connection, those
that stand are closed. `reset`: connections are reset, new ones too. `stopped`: what is under way stops in the middle of
a message. In virtual time, where there are no connections, each of them delivers nothing.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

CUTS = ("", "silent", "refused", "reset", "stopped")


@dataclass(frozen=True, slots=True)
class LinkState:
    """One direction of a link. `delay` and `jitter` in ms one way; `loss` a part of the messages (on a stream: of the
    pieces, which then come as late as a retransmission takes); `bandwidth` in bytes a second, 0 without limit."""

    delay: float = 0.0
    jitter: float = 0.0
    loss: float = 0.0
    bandwidth: float = 0.0
    cut: str = ""

    def __post_init__(self):
        if self.cut not in CUTS:
            raise ValueError(f"cut: expected one of {', '.join(map(repr, CUTS))}, got {self.cut!r}")
        if self.delay < 0 or self.jitter < 0 or not 0 <= self.loss <= 1 or self.bandwidth < 0:
            raise ValueError("expected delay, jitter and bandwidth of 0 or more and a loss from 0 to 1")


HEALTHY = LinkState()


@dataclass(slots=True)
class Rule:
    """From any of `sources` to any of `targets`; None stands for all."""

    sources: frozenset[str] | None
    targets: frozenset[str] | None
    state: LinkState

    def matches(self, source: str, target: str) -> bool:
        return (self.sources is None or source in self.sources) and (self.targets is None or target in self.targets)


@dataclass(slots=True)
class Links:
    """What holds between any two processes: the last rule that speaks of them, else `default`."""

    default: LinkState = HEALTHY
    rules: dict[str, list[Rule]] = field(default_factory=dict)
    # Processes that stand at the place of another name: its faults are theirs.
    alias: dict[str, str] = field(default_factory=dict)

    def between(self, source: str, target: str) -> LinkState:
        source, target = self.alias.get(source, source), self.alias.get(target, target)
        for rules in reversed(self.rules.values()):
            for rule in rules:
                if rule.matches(source, target):
                    return rule.state
        return self.default

    def put(
        self, name: str, one: Iterable[str] | None, other: Iterable[str] | None, state: LinkState, both: bool = True
    ) -> None:
        """`name` takes it back (`heal`)."""
        first = None if one is None else frozenset(one)
        second = None if other is None else frozenset(other)
        self.rules[name] = [Rule(first, second, state)] + ([Rule(second, first, state)] if both else [])

    def partition(self, name: str, sides: Iterable[Iterable[str]], cut: str = "silent") -> None:
        """No side reaches another."""
        groups = [frozenset(side) for side in sides]
        self.rules[name] = [
            Rule(one, other, LinkState(cut=cut)) for one in groups for other in groups if one is not other
        ]

    def heal(self, name: str) -> None:
        self.rules.pop(name, None)
