"""What the view of the fleet tells a gateway."""

from __future__ import annotations

from collections.abc import Iterable

from sprucespool import interface as it
from sprucespool.fleet.notes import Doubt, Place
from sprucespool.gateway import messages as ms


def gateway_inputs(places: Iterable[Place], doubts: Iterable[Doubt], version: int, now: float) -> list[ms.Input]:
    """Changes of places as one update of the list of invokers, and each doubt. `now` is of the places' clock (ms)."""
    rows = [_row(place, now) for place in places]
    inputs: list[ms.Input] = [ms.Roster(it.News.UPDATE.value, version, rows)] if rows else []
    inputs += [ms.Doubted(doubt.address, doubt.ill) for doubt in doubts]
    return inputs


def _row(place: Place, now: float) -> ms.Row:
    age = None if place.born is None else max(0.0, now - place.born)
    return ms.Row(place.address, place.zone, place.kind, place.cell, place.status, place.size, place.boot, age)
