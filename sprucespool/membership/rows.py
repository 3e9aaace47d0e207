"""The row that describes a member, and the merge of two rows. Plain data, no I/O.

A row belongs to a seat (name and address); `start` identifies the process on it. Within a process three parts merge
independently: liveness by (left, incarnation, state), the owner's description of itself by version, its figures by
`figures_version`. So the merge is a join: the order, grouping and repetition of updates do not matter
(`tests/test_membership.py` checks the laws).
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
    """A member's description of itself. `of`: how many controllers there are in all, by its settings."""

    region: str = ""
    zone: str = ""
    number: int = 0
    of: int = 1
    build: str = ""
    phase: Phase = Phase.SERVING


@dataclass(frozen=True, slots=True)
class Row:
    """`seal`: a hash of a secret of the process; in state LEFT the secret itself, so that only the owner can announce
    its leave. `accusers`: a few of the members that report it as silent. `figures`: its load and capacity, a few
    floats whose meaning is defined by the users of the group, numbered by the owner (`figures_version`). No mark
    covers the figures, as views would otherwise never be equal for long."""

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


def seal_of(secret: bytes) -> bytes:
    return hashlib.blake2b(secret, digest_size=8).digest()


def merge(one: Row, other: Row) -> Row:
    """The join of two rows of the same seat."""
    if one.start != other.start:
        return one if one.start > other.start else other
    if one == other:
        return one
    newer_about = one if (one.version, _about_fields(one)) >= (other.version, _about_fields(other)) else other
    higher, lower = (one, other) if (one.liveness, one.seal) >= (other.liveness, other.seal) else (other, one)
    accusers = higher.accusers
    if higher.liveness == lower.liveness:
        accusers = tuple(sorted({*one.accusers, *other.accusers})[:MAX_ACCUSERS])
    figures_version, figures = max((one.figures_version, one.figures), (other.figures_version, other.figures))
    return replace(
        newer_about,
        incarnation=higher.incarnation,
        state=higher.state,
        seal=higher.seal,
        accusers=accusers,
        figures_version=figures_version,
        figures=figures,
    )


def _about_fields(row: Row) -> tuple:
    about = row.about
    return about.region, about.zone, about.number, about.of, about.build, about.phase


def mark(row: Row) -> int:
    """64-bit hash of what two members must agree on: process, end, version. Suspicions are left out, as they are
    short-lived."""
    final_state = int(row.state) if not row.present else 0
    text = f"{row.name}\0{row.address}\0{row.start}\0{row.incarnation}\0{final_state}\0{row.version}"
    return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=8).digest(), "big")


def visible_mark(row: Row) -> int:
    """64-bit hash of what users of the view see: which processes are present, and their description of themselves."""
    text = f"{row.name}\0{row.address}\0{row.start}\0{row.version}"
    return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=8).digest(), "big")
