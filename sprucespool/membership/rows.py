"""What is told of a member, and how two tellings become one. Pure data and one merge.

A row belongs to a seat (name and address); `start` names the process on it. Within a process three parts are joined
each by itself: life by (left, incarnation, state), what the owner tells of itself by version, its figures by beat. So
the merge is a join: order, grouping and repeats of news do not matter (`tests/test_membership.py` proves the laws).
"""

from __future__ import annotations

import hashlib
from dataclasses import dataclass, replace
from enum import IntEnum

MAX_ACCUSERS = 4
MAX_FIGURES = 16
Seat = tuple[str, str]


class State(IntEnum):
    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


class Phase(IntEnum):
    JOINING = 0
    SERVING = 1
    DRAINING = 2
    LEAVING = 3


@dataclass(frozen=True, slots=True)
class About:
    """What a member tells of itself."""

    region: str = ""
    zone: str = ""
    number: int = 0
    of: int = 1
    build: str = ""
    phase: Phase = Phase.SERVING


@dataclass(frozen=True, slots=True)
class Row:
    """`seal`: a hash of a secret of the process; in LEFT the secret itself, so that nobody else can say it left.
    `accusers`: who says that it is silent, a few of them. `figures`: its load and capacity, a few floats whose meaning
    is its users', numbered by the owner (`beat`); no mark counts them, as views would else never be equal for long."""

    name: str
    address: str
    start: int
    incarnation: int = 0
    state: State = State.ALIVE
    version: int = 0
    about: About = About()
    seal: bytes = b""
    accusers: tuple[str, ...] = ()
    figures_version: int = 0
    figures: tuple[float, ...] = ()

    @property
    def seat(self) -> Seat:
        return self.name, self.address

    @property
    def liveness(self) -> tuple[bool, int, int]:
        return self.state is State.LEFT, self.incarnation, self.state

    @property
    def present(self) -> bool:
        return self.state is State.ALIVE or self.state is State.SUSPECT


def sealed(secret: bytes) -> bytes:
    return hashlib.blake2b(secret, digest_size=8).digest()


def merge(one: Row, other: Row) -> Row:
    """The join of two rows of one seat."""
    if one.start != other.start:
        return one if one.start > other.start else other
    if one == other:
        return one
    told = one if (one.version, _content(one)) >= (other.version, _content(other)) else other
    life, less = (one, other) if (one.liveness, one.seal) >= (other.liveness, other.seal) else (other, one)
    accusers = life.accusers
    if life.liveness == less.liveness:
        accusers = tuple(sorted({*one.accusers, *other.accusers})[:MAX_ACCUSERS])
    figures_version, figures = max((one.figures_version, one.figures), (other.figures_version, other.figures))
    return replace(
        told,
        incarnation=life.incarnation,
        state=life.state,
        seal=life.seal,
        accusers=accusers,
        figures_version=figures_version,
        figures=figures,
    )


def _content(row: Row) -> tuple:
    about = row.about
    return about.region, about.zone, about.number, about.of, about.build, about.phase


def mark(row: Row) -> int:
    """64 bits of what two members must hold alike: process, death, version. Suspicions come and go and are left out."""
    gone = int(row.state) if not row.present else 0
    text = f"{row.name}\0{row.address}\0{row.start}\0{row.incarnation}\0{gone}\0{row.version}"
    return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=8).digest(), "big")


def seen_mark(row: Row) -> int:
    """64 bits of what users of the view see: which processes are there, and what they tell."""
    text = f"{row.name}\0{row.address}\0{row.start}\0{row.version}"
    return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=8).digest(), "big")
