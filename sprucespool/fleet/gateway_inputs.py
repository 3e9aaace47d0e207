"""Converts changes of the fleet view into inputs of a gateway."""

from __future__ import annotations

from collections.abc import Iterable

from sprucespool import interface as it
from sprucespool.fleet.messages import InvokerState, Suspicion
from sprucespool.gateway import messages as ms


def gateway_inputs(
    states: Iterable[InvokerState], suspicions: Iterable[Suspicion], version: int, now: float
) -> list[ms.Input]:
    """Returns one roster update for all changed states and one input per suspicion. `now`: ms, clock of `born`."""
    rows = [_row(state, now) for state in states]
    inputs: list[ms.Input] = [ms.Roster(it.News.UPDATE.value, version, rows)] if rows else []
    inputs += [ms.Doubted(suspicion.address, suspicion.ill) for suspicion in suspicions]
    return inputs


def _row(state: InvokerState, now: float) -> ms.Row:
    age = None if state.born is None else max(0.0, now - state.born)
    return ms.Row(state.address, state.zone, state.kind, state.cell, state.status, state.size, state.boot, age)
