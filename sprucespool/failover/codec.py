"""What controllers say of plans, as bytes: msgpack, bounded, sealed with the group's name and mark; and the ballot that
a voter keeps on disk, with its checksum.

What is no word of this group, or out of bounds, is refused with what was expected.
"""

from __future__ import annotations

import hashlib
import hmac
import zlib
from dataclasses import dataclass, field
from typing import Literal

import msgspec

from sprucespool.failover.council import Ballot, CouncilMessage, Renewal, VoterSet
from sprucespool.failover.plan import Plan
from sprucespool.failover.voter_selection import MAX_VOTERS

MOST_BYTES, SEAL, MOST_ZONES, LONGEST, MOST_ON, FARTHEST = 65_536, 16, 64, 128, 512, 2**53
Shares = dict[str, dict[str, float]]


class PlanMessageError(ValueError):
    """Bytes that are no word of this group."""


@dataclass(frozen=True, slots=True)
class PlanMessage:
    """One message: a word of the council, or the plan in force, to be told on. `epoch` is what its sender follows."""

    sender: str
    epoch: tuple[int, int]
    council_message: CouncilMessage | None = None
    renewal: Renewal | None = None
    pass_on: tuple[str, ...] = ()
    # To voters: what the sender's own traffic shows, where that moved.
    metrics: tuple[float, ...] = ()
    # One way from the sender's zone to others, ms, as it measured them.
    costs: dict[str, float] = field(default_factory=dict)


class _Plan(msgspec.Struct, array_like=True):
    epoch: tuple[int, int]
    free: Shares
    bound: Shares
    caps: dict[str, float]
    reason: str
    drained: list[str]


class _Seats(msgspec.Struct, array_like=True):
    epoch: tuple[int, int]
    voters: list[str]


class _Word(msgspec.Struct, array_like=True):
    kind: Literal["may", "might", "vote", "voted", "beat", "held"]
    term: int
    number: int
    plan: _Plan | None
    decided: tuple[int, int]
    renewals: int
    voter_set: _Seats


class _Wire(msgspec.Struct, array_like=True):
    sender: str
    epoch: tuple[int, int]
    word: _Word | None
    plan: _Plan | None
    renewals: int
    age: float
    pass_on: list[str]
    figures: list[float]
    ways: dict[str, float]
    voter_set: _Seats


_ENCODER, _DECODER = msgspec.msgpack.Encoder(), msgspec.msgpack.Decoder(_Wire)


def _plan_out(plan: Plan | None) -> _Plan | None:
    return (
        None if plan is None else _Plan(plan.epoch, plan.free, plan.bound, plan.caps, plan.reason, list(plan.drained))
    )


def _bounded(good: bool, expected: str):
    if not good:
        raise PlanMessageError(f"expected {expected}")


def _counts(*figures: int):
    _bounded(all(0 <= figure < FARTHEST for figure in figures), "counts from 0 to 2^53")


def _plan_in(told: _Plan | None) -> Plan | None:
    if told is None:
        return None
    _counts(*told.epoch)
    rows = [*told.free.values(), *told.bound.values(), told.caps]
    _bounded(
        len(told.free) <= MOST_ZONES
        and len(told.bound) <= MOST_ZONES
        and len(told.drained) <= MOST_ZONES
        and all(len(row) <= MOST_ZONES for row in rows),
        f"{MOST_ZONES} zones at the most",
    )
    _bounded(
        len(told.reason) <= 1_000 and all(len(name) <= LONGEST for row in rows for name in row),
        f"names of up to {LONGEST} characters",
    )
    return Plan(told.epoch, told.free, told.bound, told.caps, told.reason, tuple(told.drained))


def _seats_out(voter_set: VoterSet) -> _Seats:
    return _Seats(voter_set.epoch, list(voter_set.voters))


def _seats_in(told: _Seats) -> VoterSet:
    _counts(*told.epoch)
    # One more than ever is in office, for a while.
    _bounded(
        len(told.voters) <= MAX_VOTERS + 1
        and len(set(told.voters)) == len(told.voters)
        and all(0 < len(name) <= LONGEST for name in told.voters),
        f"up to {MAX_VOTERS} different voters",
    )
    return VoterSet(told.epoch, tuple(told.voters))


class Codec:
    """For one group: messages of another are refused."""

    def __init__(self, group: str, mark: str):
        self.key = hashlib.blake2b(f"failover\0{group}\0{mark}".encode(), digest_size=32).digest()

    def _seal(self, data: bytes) -> bytes:
        return hashlib.blake2b(data, key=self.key, digest_size=SEAL).digest()

    def encode(self, said: PlanMessage) -> bytes:
        word, renewal = said.council_message, said.renewal
        wire = _Wire(
            said.sender,
            said.epoch,
            None
            if word is None
            else _Word(
                word.kind,
                word.term,
                word.number,
                _plan_out(word.plan),
                word.decided,
                word.renewals,
                _seats_out(word.voter_set),
            ),
            None if renewal is None else _plan_out(renewal.plan),
            0 if renewal is None else renewal.renewals,
            0.0 if renewal is None else renewal.age,
            list(said.pass_on),
            list(said.metrics),
            said.costs,
            _seats_out(VoterSet() if renewal is None else renewal.voter_set),
        )
        data = _ENCODER.encode(wire)
        return self._seal(data) + data

    def decode(self, data: bytes) -> PlanMessage:
        """Raises SaidError."""
        _bounded(SEAL < len(data) <= MOST_BYTES, f"{SEAL} to {MOST_BYTES} bytes, got {len(data)}")
        body = data[SEAL:]
        _bounded(hmac.compare_digest(data[:SEAL], self._seal(body)), "the seal of this group")
        try:
            wire = _DECODER.decode(body)
        except (msgspec.DecodeError, msgspec.ValidationError, RecursionError) as problem:
            raise PlanMessageError(f"expected a word of the council: {problem}") from None
        _counts(*wire.epoch, wire.renewals)
        _bounded(0 < len(wire.sender) <= LONGEST and len(wire.pass_on) <= MOST_ON, "a sender and a short list")
        _bounded(0.0 <= wire.age < 1e9, "an age in ms")
        _bounded(len(wire.figures) <= 8 and all(-1.0 <= one < 1e9 for one in wire.figures), "a few figures")
        _bounded(
            len(wire.ways) <= MOST_ZONES
            and all(len(name) <= LONGEST for name in wire.ways)
            and all(0.0 <= one < 1e6 for one in wire.ways.values()),
            "ways to a few zones, ms",
        )
        word, plan = None, _plan_in(wire.plan)
        if wire.word is not None:
            told = wire.word
            _counts(told.term, told.number, told.renewals, *told.decided)
            word = CouncilMessage(
                told.kind,
                wire.sender,
                told.term,
                told.number,
                _plan_in(told.plan),
                told.decided,
                told.renewals,
                _seats_in(told.voter_set),
            )
        renewal = None if plan is None else Renewal(plan, wire.renewals, wire.age, _seats_in(wire.voter_set))
        return PlanMessage(wire.sender, wire.epoch, word, renewal, tuple(wire.pass_on), tuple(wire.figures), wire.ways)


def encode_ballot(ballot: Ballot) -> bytes:
    """A ballot as it stands on disk."""
    data = msgspec.json.encode([ballot.term, ballot.voted, ballot.voter_set.epoch, ballot.voter_set.voters])
    return b"%08x %s\n" % (zlib.crc32(data), data)


def decode_ballot(data: bytes) -> Ballot:
    """Raises SaidError on what was torn or spoilt."""
    mark, _, rest = data.partition(b" ")
    rest = rest.rstrip(b"\n")
    _bounded(len(mark) == 8 and mark == b"%08x" % zlib.crc32(rest), "a ballot with its checksum")
    try:
        term, voted, epoch, voters = msgspec.json.decode(rest, type=tuple[int, str, tuple[int, int], list[str]])
    except (msgspec.DecodeError, msgspec.ValidationError) as problem:
        raise PlanMessageError(f"expected a ballot: {problem}") from None
    _counts(term)
    return Ballot(term, voted, _seats_in(_Seats(epoch, voters)))
