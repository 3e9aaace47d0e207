"""Encoding of failover messages between controllers (msgpack, bounded, sealed with the group's name and mark) and of
the ballot that a voter stores on disk, with a checksum.

Data that does not belong to this group or is out of bounds is refused with an error that says what was expected.
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

MAX_MESSAGE_BYTES, SEAL_BYTES, MAX_ZONES, MAX_NAME_LENGTH, MAX_PASS_ON, COUNT_LIMIT = 65_536, 16, 64, 128, 512, 2**53
Shares = dict[str, dict[str, float]]


class PlanMessageError(ValueError):
    """Data that is not a valid message of this group, or not a valid ballot."""


@dataclass(frozen=True, slots=True)
class PlanMessage:
    """A message of the council, the plan in force, or measurements. `epoch`: of the plan that the sender follows."""

    sender: str
    epoch: tuple[int, int]
    council_message: CouncilMessage | None = None
    renewal: Renewal | None = None
    pass_on: tuple[str, ...] = ()
    # To voters: measurements of the sender's own traffic, when they changed.
    metrics: tuple[float, ...] = ()
    # Costs from the sender's zone to others, measured one-way times in ms.
    costs: dict[str, float] = field(default_factory=dict)


class _WirePlan(msgspec.Struct, array_like=True):
    epoch: tuple[int, int]
    free: Shares
    bound: Shares
    caps: dict[str, float]
    reason: str
    drained: list[str]


class _WireVoterSet(msgspec.Struct, array_like=True):
    epoch: tuple[int, int]
    voters: list[str]


class _WireCouncilMessage(msgspec.Struct, array_like=True):
    kind: Literal["may", "might", "vote", "voted", "beat", "held"]
    term: int
    number: int
    plan: _WirePlan | None
    decided: tuple[int, int]
    renewals: int
    voter_set: _WireVoterSet


class _Wire(msgspec.Struct, array_like=True):
    sender: str
    epoch: tuple[int, int]
    council_message: _WireCouncilMessage | None
    plan: _WirePlan | None
    renewals: int
    age: float
    pass_on: list[str]
    metrics: list[float]
    costs: dict[str, float]
    voter_set: _WireVoterSet


_ENCODER, _DECODER = msgspec.msgpack.Encoder(), msgspec.msgpack.Decoder(_Wire)


def _plan_out(plan: Plan | None) -> _WirePlan | None:
    return (
        None
        if plan is None
        else _WirePlan(plan.epoch, plan.free, plan.bound, plan.caps, plan.reason, list(plan.drained))
    )


def _require(condition: bool, expected: str):
    if not condition:
        raise PlanMessageError(f"expected {expected}")


def _require_counts(*counts: int):
    _require(all(0 <= count < COUNT_LIMIT for count in counts), "counts from 0 to 2^53")


def _plan_in(encoded: _WirePlan | None) -> Plan | None:
    if encoded is None:
        return None
    _require_counts(*encoded.epoch)
    rows = [*encoded.free.values(), *encoded.bound.values(), encoded.caps]
    _require(
        len(encoded.free) <= MAX_ZONES
        and len(encoded.bound) <= MAX_ZONES
        and len(encoded.drained) <= MAX_ZONES
        and all(len(row) <= MAX_ZONES for row in rows),
        f"{MAX_ZONES} zones at the most",
    )
    _require(
        len(encoded.reason) <= 1_000 and all(len(name) <= MAX_NAME_LENGTH for row in rows for name in row),
        f"names of up to {MAX_NAME_LENGTH} characters",
    )
    return Plan(encoded.epoch, encoded.free, encoded.bound, encoded.caps, encoded.reason, tuple(encoded.drained))


def _voters_out(voter_set: VoterSet) -> _WireVoterSet:
    return _WireVoterSet(voter_set.epoch, list(voter_set.voters))


def _voters_in(encoded: _WireVoterSet) -> VoterSet:
    _require_counts(*encoded.epoch)
    # One more than the largest set, for the time of a change.
    _require(
        len(encoded.voters) <= MAX_VOTERS + 1
        and len(set(encoded.voters)) == len(encoded.voters)
        and all(0 < len(name) <= MAX_NAME_LENGTH for name in encoded.voters),
        f"up to {MAX_VOTERS} different voters",
    )
    return VoterSet(encoded.epoch, tuple(encoded.voters))


class Codec:
    """Encodes and decodes the messages of one group; those of another group are refused."""

    def __init__(self, group: str, mark: str):
        self.key = hashlib.blake2b(f"failover\0{group}\0{mark}".encode(), digest_size=32).digest()

    def _seal(self, data: bytes) -> bytes:
        return hashlib.blake2b(data, key=self.key, digest_size=SEAL_BYTES).digest()

    def encode(self, message: PlanMessage) -> bytes:
        council_message, renewal = message.council_message, message.renewal
        wire = _Wire(
            message.sender,
            message.epoch,
            None
            if council_message is None
            else _WireCouncilMessage(
                council_message.kind,
                council_message.term,
                council_message.number,
                _plan_out(council_message.plan),
                council_message.decided,
                council_message.renewals,
                _voters_out(council_message.voter_set),
            ),
            None if renewal is None else _plan_out(renewal.plan),
            0 if renewal is None else renewal.renewals,
            0.0 if renewal is None else renewal.age,
            list(message.pass_on),
            list(message.metrics),
            message.costs,
            _voters_out(VoterSet() if renewal is None else renewal.voter_set),
        )
        data = _ENCODER.encode(wire)
        return self._seal(data) + data

    def decode(self, data: bytes) -> PlanMessage:
        """Raises PlanMessageError."""
        _require(
            SEAL_BYTES < len(data) <= MAX_MESSAGE_BYTES, f"{SEAL_BYTES} to {MAX_MESSAGE_BYTES} bytes, got {len(data)}"
        )
        body = data[SEAL_BYTES:]
        _require(hmac.compare_digest(data[:SEAL_BYTES], self._seal(body)), "the seal of this group")
        try:
            wire = _DECODER.decode(body)
        except (msgspec.DecodeError, msgspec.ValidationError, RecursionError) as error:
            raise PlanMessageError(f"expected a word of the council: {error}") from None
        _require_counts(*wire.epoch, wire.renewals)
        _require(
            0 < len(wire.sender) <= MAX_NAME_LENGTH and len(wire.pass_on) <= MAX_PASS_ON, "a sender and a short list"
        )
        _require(0.0 <= wire.age < 1e9, "an age in ms")
        _require(len(wire.metrics) <= 8 and all(-1.0 <= one < 1e9 for one in wire.metrics), "a few figures")
        _require(
            len(wire.costs) <= MAX_ZONES
            and all(len(name) <= MAX_NAME_LENGTH for name in wire.costs)
            and all(0.0 <= one < 1e6 for one in wire.costs.values()),
            "ways to a few zones, ms",
        )
        council_message, plan = None, _plan_in(wire.plan)
        if wire.council_message is not None:
            encoded = wire.council_message
            _require_counts(encoded.term, encoded.number, encoded.renewals, *encoded.decided)
            council_message = CouncilMessage(
                encoded.kind,
                wire.sender,
                encoded.term,
                encoded.number,
                _plan_in(encoded.plan),
                encoded.decided,
                encoded.renewals,
                _voters_in(encoded.voter_set),
            )
        renewal = None if plan is None else Renewal(plan, wire.renewals, wire.age, _voters_in(wire.voter_set))
        return PlanMessage(
            wire.sender, wire.epoch, council_message, renewal, tuple(wire.pass_on), tuple(wire.metrics), wire.costs
        )


def encode_ballot(ballot: Ballot) -> bytes:
    """A ballot in its form on disk."""
    data = msgspec.json.encode([ballot.term, ballot.voted, ballot.voter_set.epoch, ballot.voter_set.voters])
    return b"%08x %s\n" % (zlib.crc32(data), data)


def decode_ballot(data: bytes) -> Ballot:
    """Raises PlanMessageError if the data is truncated or corrupt."""
    mark, _, rest = data.partition(b" ")
    rest = rest.rstrip(b"\n")
    _require(len(mark) == 8 and mark == b"%08x" % zlib.crc32(rest), "a ballot with its checksum")
    try:
        term, voted, epoch, voters = msgspec.json.decode(rest, type=tuple[int, str, tuple[int, int], list[str]])
    except (msgspec.DecodeError, msgspec.ValidationError) as error:
        raise PlanMessageError(f"expected a ballot: {error}") from None
    _require_counts(term)
    return Ballot(term, voted, _voters_in(_WireVoterSet(epoch, voters)))
