"""Network faults between processes, as plain data. Shared by the relays on sockets and the links in virtual time.

Kinds of cut:
`silent`: connections are accepted but nothing is delivered (half-open; neither side is notified).
`refused`: new connections are refused and existing ones are closed.
`reset`: existing and new connections are reset.
`stopped`: transfers in progress stop in the middle of a message.
In virtual time there are no connections, and each kind of cut delivers nothing.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

CUTS = ("", "silent", "refused", "reset", "stopped")


@dataclass(frozen=True, slots=True)
class LinkState:
    """The state of one direction of a link.

    `delay` and `jitter` are one-way times in ms. `loss` is the fraction of messages lost; on a stream it is the
    fraction of chunks that are delayed by a retransmission. `bandwidth` is in bytes per second, 0 for unlimited.
    """

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
    """The link state from any of `sources` to any of `targets`; None stands for all processes."""

    sources: frozenset[str] | None
    targets: frozenset[str] | None
    state: LinkState

    def matches(self, source: str, target: str) -> bool:
        return (self.sources is None or source in self.sources) and (self.targets is None or target in self.targets)


@dataclass(slots=True)
class Links:
    """The link state between any two processes: that of the last matching rule, otherwise `default`."""

    default: LinkState = HEALTHY
    rules: dict[str, list[Rule]] = field(default_factory=dict)
    # Process name -> name whose rules apply to it, for processes that replace another one.
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
        """Sets the link state between `one` and `other` (None: all) as rule `name`, which `heal` removes."""
        first = None if one is None else frozenset(one)
        second = None if other is None else frozenset(other)
        self.rules[name] = [Rule(first, second, state)] + ([Rule(second, first, state)] if both else [])

    def partition(self, name: str, sides: Iterable[Iterable[str]], cut: str = "silent") -> None:
        """Cuts all links between different `sides` as rule `name`, which `heal` removes."""
        groups = [frozenset(side) for side in sides]
        self.rules[name] = [
            Rule(one, other, LinkState(cut=cut)) for one in groups for other in groups if one is not other
        ]

    def heal(self, name: str) -> None:
        self.rules.pop(name, None)
