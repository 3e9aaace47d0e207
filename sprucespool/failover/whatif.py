"""Computes the plans for described states and checks them against the operators' expectations. No I/O."""

from __future__ import annotations

import msgspec

from sprucespool.failover.planner import Planner, PlannerLimits, ZoneState
from sprucespool.failover.topology import Topology
from sprucespool.settings.controller import Distance, ZonePlace


class Expectation(msgspec.Struct):
    """Of the traffic that enters at `zone`, the share that goes `to` a zone (or is `shed`) lies between `least` and
    `most`."""

    __args__ = ("zone",)
    zone: str
    to: str = ""
    shed: bool = False
    bound: bool = False
    least: float = 0.0
    most: float = 1.0

    def __post_init__(self):
        if bool(self.to) is self.shed:
            raise ValueError("expected one of to= and shed=#true")
        if not 0 <= self.least <= self.most <= 1:
            raise ValueError("expected least and most from 0 to 1, the second not smaller")


class ZoneFigures(msgspec.Struct):
    """In cores: the current capacity of the invokers (`warm` if not given), and the demand of the clients here."""

    __args__ = ("zone",)
    zone: str
    warm: float
    now: float | None = None
    free: float = 0.0
    bound: float = 0.0
    trust: float = 1.0


class Drained(msgspec.Struct):
    __args__ = ("zone",)
    zone: str


class State(msgspec.Struct):
    __args__ = ("name",)
    name: str
    zones: list[ZoneFigures] = []
    draineds: list[Drained] = []
    expects: list[Expectation] = []


class WhatIf(msgspec.Struct):
    """A file of states with the expectations about each."""

    zones: list[ZonePlace] = []
    distances: list[Distance] = []
    own_most: float = 0.85
    far_most: float = 0.85
    states: list[State] = []

    def __post_init__(self):
        known = {one.zone for one in self.zones}
        if not known or not self.states:
            raise ValueError("expected zones and at least one state")
        for state in self.states:
            named = [one.zone for one in state.zones] + [one.zone for one in state.draineds]
            named += [zone for one in state.expects for zone in (one.zone, one.to) if zone]
            for name in named + [zone for distance in self.distances for zone in (distance.one, distance.other)]:
                if name not in known:
                    raise ValueError(f"state {state.name!r}: no zone {name!r}")


class Answer(msgspec.Struct):
    """The plan for one state. `broken`: a line for each expectation that does not hold, with route and state."""

    state: str
    free: dict[str, dict[str, float]]
    bound: dict[str, dict[str, float]]
    caps: dict[str, float]
    shed: dict[str, float]
    broken: list[str]


def what_if(question: WhatIf) -> list[Answer]:
    topology = Topology.of(question.zones, question.distances)
    answers = []
    for state in question.states:
        states = {
            one.zone: ZoneState(
                one.zone, one.warm if one.now is None else one.now, one.warm, one.free, one.bound, one.trust
            )
            for one in state.zones
        }
        planner = Planner(
            topology,
            PlannerLimits(own_most=question.own_most, far_most=question.far_most),
            drained=frozenset(one.zone for one in state.draineds),
        )
        free, bound, caps, shed = planner.target(states)
        broken = []
        for expected in state.expects:
            row = (bound if expected.bound else free).get(expected.zone, {})
            share = round(max(0.0, 1.0 - sum(row.values())), 3) if expected.shed else row.get(expected.to, 0.0)
            if not expected.least - 1e-9 <= share <= expected.most + 1e-9:
                route = f"{expected.zone} -> {'shed' if expected.shed else expected.to}{' (bound)' * expected.bound}"
                broken.append(
                    f"state {state.name!r}: {route}: expected {expected.least:g} to {expected.most:g}, got {share:g}"
                )
        answers.append(Answer(state.name, free, bound, caps, shed, broken))
    return answers
