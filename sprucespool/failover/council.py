"""Consensus of the voters on the plan: they elect a leader, which proposes plans; a plan that a majority holds is in
force. No I/O.

There is no log, as only the newest plan matters. Elections follow Raft (Ongaro, Ousterhout, USENIX ATC 2014) with its
pre-vote and leader leases; the plan is a single register whose value is ordered by epoch (term, number). At most one
plan has a given epoch: a term has one leader, because a voter gives one vote per term and stores it on disk before it
answers, and a leader numbers its plans. An older plan never replaces a newer one: no controller returns to a lower
epoch, and a plan is in force only when a majority of the voters holds it, which includes at least one voter of any
later leader. No inference waits for any of this.

The voters are first those of the settings, and change one name at a time (`change_voters`; Ongaro's thesis, 2014,
chapter 4): majorities of two successive sets always overlap, the next change waits until a majority holds the previous
one, and no voter votes for a candidate with an older set. Each leader restates the set in its own term before it
changes it, so that a change that an earlier leader began without a majority is superseded.

Time matters in two places only, and safety depends on neither: voters that recently received a beat of a leader elect
no other, and a controller without a renewal for `plan_lifetime` uses the fallback plan. Call `tick` when `due` is
reached, `receive` for each message, and `propose` at the leader. Effects are ordered: a `StoreBallot` must be on disk
before the messages that follow it are sent.
"""

from __future__ import annotations

import math
import zlib
from dataclasses import dataclass, field, replace
from typing import Literal

from sprucespool.failover.plan import Plan

Kind = Literal["may", "might", "vote", "voted", "beat", "held"]
NOBODY = ""


@dataclass(frozen=True, slots=True)
class VoterSet:
    """The voters, as stated in an epoch; the set of the settings has epoch (0, 0)."""

    epoch: tuple[int, int] = (0, 0)
    voters: tuple[str, ...] = ()

    @property
    def majority(self) -> int:
        return len(self.voters) // 2 + 1


@dataclass(frozen=True, slots=True)
class Ballot:
    """What a voter must store durably: the highest term that it knows, its vote in that term, and the voters. If the
    set of voters is empty, that of the settings counts."""

    term: int = 0
    voted: str = NOBODY
    voter_set: VoterSet = VoterSet()


@dataclass(frozen=True, slots=True)
class CouncilMessage:
    """A message between voters. `may`: request for a pre-vote in this term; `might`: pre-vote granted; `vote`: request
    for a vote; `voted`: vote granted; `beat`: heartbeat of the leader with its plan; `held`: acknowledges a beat.
    `number` pairs a `held` with its `beat`. `voter_set`: as the sender knows it."""

    kind: Kind
    sender: str
    term: int
    number: int = 0
    plan: Plan | None = None
    # In a beat: the epoch of the newest plan that a majority holds, and its count of renewals.
    decided: tuple[int, int] = (0, 0)
    renewals: int = 0
    voter_set: VoterSet = VoterSet()


@dataclass(frozen=True, slots=True)
class StoreBallot:
    """Effect: the ballot must be on disk before any later effect is carried out."""

    ballot: Ballot


@dataclass(frozen=True, slots=True)
class SendToVoter:
    """Effect: send `message` to the voter named `to`."""

    to: str
    message: CouncilMessage


Effect = StoreBallot | SendToVoter


@dataclass(frozen=True, slots=True)
class Renewal:
    """Sent to all controllers: the plan in force, its count of renewals, and the `age` of the last one in ms."""

    plan: Plan
    renewals: int
    age: float
    voter_set: VoterSet = VoterSet()


@dataclass(frozen=True, slots=True)
class CouncilLimits:
    """Times in ms. `drift`: how much faster one clock may run than another."""

    beat_interval: float = 500.0
    min_election_wait: float = 1_500.0
    max_election_wait: float = 3_000.0
    lease: float = 1_400.0
    drift: float = 0.05
    # Without a renewal for this time a controller uses the fallback plan.
    plan_lifetime: float = 8_000.0
    # A voter without a stored ballot gives no vote before this time, so that any term it may have voted in is over.
    lost_ballot_wait: float = 10_000.0


@dataclass(slots=True, eq=False)
class Council:
    """One controller's part in the consensus, as a follower, candidate or leader. `voters`: names, at first those of
    the settings, then the current ones. A controller that is not among them only follows. `stored_ballot`: read from
    disk, None if there was none."""

    name: str
    voters: tuple[str, ...]
    seed: int = 1
    stored_ballot: Ballot | None = None
    limits: CouncilLimits = field(default_factory=CouncilLimits)
    now: float = 0.0
    role: str = "follower"
    ballot: Ballot = Ballot()
    leader: str = NOBODY
    # The newest plan held, decided or not; the plan in force here, and its count of renewals.
    plan: Plan | None = None
    decided: Plan | None = None
    renewals: int = 0
    renewed_at: float = -math.inf
    last_beat_at: float = -math.inf
    started_at: float = math.nan
    election_at: float = math.inf
    beat_at: float = math.inf
    number: int = 0
    draws: int = 0
    votes_received: set[str] = field(default_factory=set)
    # At the leader, by number of the beat: when it was sent and with which epoch; who answered it.
    beats: dict[int, tuple[float, tuple[int, int]]] = field(default_factory=dict)
    answers: dict[int, set[str]] = field(default_factory=dict)
    lease_until: float = -math.inf
    # At the leader: the epoch of the newest set of voters that a majority of it holds.
    agreed_epoch: tuple[int, int] = (-1, -1)

    def __post_init__(self):
        self.ballot = self.stored_ballot or Ballot()
        if not self.ballot.voter_set.voters:
            self.ballot = replace(self.ballot, voter_set=VoterSet((0, 0), self.voters))
        self.voters = self.voter_set.voters

    # Queries

    @property
    def is_voter(self) -> bool:
        return self.name in self.voters

    @property
    def voter_set(self) -> VoterSet:
        return self.ballot.voter_set

    @property
    def majority(self) -> int:
        return self.voter_set.majority

    def leads(self, now: float) -> bool:
        """Whether the leader lease is valid: a majority answered a beat, and the lease counts from when that was
        sent."""
        return self.role == "leader" and now < self.lease_until

    def in_force(self, now: float) -> Plan | None:
        """The plan to follow, or None if there is none: then use the fallback plan."""
        return self.decided if self.decided is not None and now - self.renewed_at < self.limits.plan_lifetime else None

    def renewal(self, now: float) -> Renewal | None:
        """The renewal to send to all others, if a plan is in force."""
        if self.decided is None or now - self.renewed_at >= self.limits.plan_lifetime:
            return None
        return Renewal(self.decided, self.renewals, max(0.0, now - self.renewed_at), self.voter_set)

    def due(self) -> float:
        # A controller that lost its vote has no timers: an old election timer would stay due forever.
        return min(self.election_at, self.beat_at) if self.is_voter else math.inf

    # Time

    def _random_delay(self, max_delay: float) -> float:
        self.draws += 1
        return max_delay * (zlib.crc32(b"%d:%s:%d" % (self.seed, self.name.encode(), self.draws)) / 2**32)

    def _reset_election_timer(self, now: float):
        limits = self.limits
        self.election_at = (
            now + limits.min_election_wait + self._random_delay(limits.max_election_wait - limits.min_election_wait)
        )

    def tick(self, now: float) -> list[Effect]:
        self.now = now = max(self.now, now)
        if not self.is_voter:
            return []
        if math.isnan(self.started_at):
            self.started_at = now
            self._reset_election_timer(now)
        if self.role == "leader":
            if now >= self.lease_until + self.limits.lease:
                # A majority has not answered for long, so there may be another leader by now.
                return self._step_down(now)
            return self._send_beat(now) if now >= self.beat_at else []
        if now >= self.election_at:
            self._reset_election_timer(now)
            return self._request_pre_votes(now)
        return []

    def _may_vote(self, now: float) -> bool:
        return self.stored_ballot is not None or now - self.started_at >= self.limits.lost_ballot_wait

    def _request_pre_votes(self, now: float) -> list[Effect]:
        """Pre-vote: asks first whether others would vote, so that a partitioned voter does not raise the term."""
        if not self._may_vote(now):
            return []
        self.role, self.leader, self.votes_received = "asking", NOBODY, {self.name}
        message = CouncilMessage("may", self.name, self.ballot.term + 1, voter_set=self.voter_set)
        return self._to_others(message) + (
            self._start_election(now) if len(self.votes_received) >= self.majority else []
        )

    def _start_election(self, now: float) -> list[Effect]:
        self.role, self.votes_received = "candidate", {self.name}
        self._store_ballot(replace(self.ballot, term=self.ballot.term + 1, voted=self.name))
        effects: list[Effect] = [
            StoreBallot(self.ballot),
            *self._to_others(CouncilMessage("vote", self.name, self.ballot.term, voter_set=self.voter_set)),
        ]
        return effects + (self._become_leader(now) if len(self.votes_received) >= self.majority else [])

    def _become_leader(self, now: float) -> list[Effect]:
        self.role, self.leader, self.number = "leader", self.name, 0
        self.beats.clear()
        self.answers.clear()
        # The leader starts with the newest plan that it holds, restated in its own term.
        plans = [one for one in (self.plan, self.decided) if one is not None]
        newest = max(plans, key=lambda one: one.epoch, default=None)
        self.plan = replace(newest, epoch=(self.ballot.term, 1)) if newest is not None else None
        self.lease_until = now + self.limits.lease
        self.election_at = math.inf
        self._store_ballot(replace(self.ballot, voter_set=replace(self.voter_set, epoch=(self.ballot.term, 1))))
        return [StoreBallot(self.ballot), *self._send_beat(now)]

    def change_voters(self, now: float, voters: tuple[str, ...]) -> list[Effect]:
        """At the leader: changes the voters to these, one more or one less than now. No effect at other controllers, or
        while a majority does not hold the previous set yet."""
        self.now = now = max(self.now, now)
        if (
            self.role != "leader"
            or self.agreed_epoch != self.voter_set.epoch
            or self.name not in voters
            or len(set(voters) ^ set(self.voters)) != 1
        ):
            return []
        term, number = self.voter_set.epoch
        self._store_ballot(replace(self.ballot, voter_set=VoterSet((term, number + 1), tuple(sorted(voters)))))
        # Answers to beats sent under the previous set no longer count.
        self.beats.clear()
        self.answers.clear()
        return [StoreBallot(self.ballot), *self._send_beat(now)]

    def _step_down(self, now: float) -> list[Effect]:
        self.role, self.leader, self.beat_at = "follower", NOBODY, math.inf
        self.beats.clear()
        self.answers.clear()
        self._reset_election_timer(now)
        return []

    def _store_ballot(self, ballot: Ballot):
        self.ballot = self.stored_ballot = ballot
        self.voters = ballot.voter_set.voters

    def _to_others(self, message: CouncilMessage) -> list[Effect]:
        return [SendToVoter(voter, message) for voter in self.voters if voter != self.name]

    # The leader

    def propose(self, now: float, plan: Plan) -> list[Effect]:
        """At the leader: proposes this plan with the next epoch. No effect at other controllers."""
        self.now = now = max(self.now, now)
        if self.role != "leader":
            return []
        last_number = self.plan.epoch[1] if self.plan is not None and self.plan.epoch[0] == self.ballot.term else 0
        self.plan = replace(plan, epoch=(self.ballot.term, last_number + 1))
        return self._send_beat(now)

    def _send_beat(self, now: float) -> list[Effect]:
        self.beat_at = now + self.limits.beat_interval
        self.number += 1
        epoch = self.plan.epoch if self.plan is not None else (0, 0)
        self.beats[self.number] = now, epoch
        self.answers[self.number] = {self.name}
        for old in [number for number in self.beats if number <= self.number - 32]:
            del self.beats[old], self.answers[old]
        effects = self._to_others(
            CouncilMessage(
                "beat",
                self.name,
                self.ballot.term,
                self.number,
                self.plan,
                self.decided.epoch if self.decided is not None else (0, 0),
                self.renewals,
                self.voter_set,
            )
        )
        self._count_answers(self.number)
        return effects

    def _count_answers(self, number: int):
        """Once a majority answered a beat: the lease runs from when that was sent, and its plan is in force."""
        if len(self.answers[number]) < self.majority:
            return
        sent, epoch = self.beats[number]
        self.agreed_epoch = self.voter_set.epoch
        self.lease_until = max(self.lease_until, sent + self.limits.lease)
        if self.plan is None or epoch != self.plan.epoch:
            return
        if self.decided is None or self.decided.epoch < epoch:
            self.decided, self.renewals = self.plan, 0
        if sent > self.renewed_at:
            self.renewals += 1
            self.renewed_at = sent

    # Receiving

    def receive(self, now: float, message: CouncilMessage) -> list[Effect]:
        self.now = now = max(self.now, now)
        is_request = message.kind in ("may", "vote", "beat")
        voter_set = (
            message.voter_set
            if is_request and message.voter_set.epoch >= self.voter_set.epoch and message.voter_set.voters
            else self.voter_set
        )
        if message.sender == self.name or message.sender not in voter_set.voters or self.name not in voter_set.voters:
            return []
        if math.isnan(self.started_at):
            self.started_at = now
            self._reset_election_timer(now)
        if message.kind == "may":
            return self._on_pre_vote(now, message)
        if message.kind == "might":
            if self.role == "asking" and message.term == self.ballot.term + 1:
                self.votes_received.add(message.sender)
                if len(self.votes_received) >= self.majority:
                    return self._start_election(now)
            return []
        if message.term < self.ballot.term:
            # A leader of an old term learns of the newer one by this, and steps down.
            return (
                [SendToVoter(message.sender, CouncilMessage("held", self.name, self.ballot.term))]
                if message.kind == "beat"
                else []
            )
        effects: list[Effect] = []
        if message.kind == "vote":
            return self._on_vote(now, message)
        if message.term > self.ballot.term or voter_set.epoch > self.voter_set.epoch:
            # A beat binds the vote in its term to its sender, even if an earlier vote was lost from disk.
            voted = message.sender if message.kind == "beat" else NOBODY
            raised = message.term > self.ballot.term
            self._store_ballot(Ballot(message.term, voted if raised else self.ballot.voted, voter_set))
            effects.append(StoreBallot(self.ballot))
            if self.role != "follower":
                self._step_down(now)
        if message.kind == "voted":
            if self.role == "candidate" and message.term == self.ballot.term:
                self.votes_received.add(message.sender)
                if len(self.votes_received) >= self.majority:
                    effects += self._become_leader(now)
        elif message.kind == "beat":
            effects += self._on_beat(now, message)
        elif message.kind == "held" and self.role == "leader" and message.number in self.answers:
            self.answers[message.number].add(message.sender)
            self._count_answers(message.number)
        return effects

    def _no_leader_alive(self, now: float) -> bool:
        """Whether the last beat is so old that the lease of its leader has ended by any clock."""
        return now - self.last_beat_at >= self.limits.lease * (1 + self.limits.drift) and not self.leads(now)

    def _on_pre_vote(self, now: float, message: CouncilMessage) -> list[Effect]:
        if (
            message.term > self.ballot.term
            and message.voter_set.epoch >= self.voter_set.epoch
            and self._no_leader_alive(now)
            and self._may_vote(now)
        ):
            return [SendToVoter(message.sender, CouncilMessage("might", self.name, message.term))]
        return []

    def _on_vote(self, now: float, message: CouncilMessage) -> list[Effect]:
        if message.voter_set.epoch < self.voter_set.epoch:
            return []  # the candidate may not know a set of voters that was agreed on
        if (
            not self._may_vote(now)
            or not self._no_leader_alive(now)
            or message.term <= self.ballot.term
            and not (message.term == self.ballot.term and self.ballot.voted in (NOBODY, message.sender))
        ):
            return []
        if self.role != "follower":
            self._step_down(now)
        self._store_ballot(replace(self.ballot, term=message.term, voted=message.sender))
        self._reset_election_timer(now)
        return [StoreBallot(self.ballot), SendToVoter(message.sender, CouncilMessage("voted", self.name, message.term))]

    def _on_beat(self, now: float, message: CouncilMessage) -> list[Effect]:
        if self.role == "leader":
            return []  # a term never has two leaders; if it had, neither would yield to the other
        self.role, self.leader, self.last_beat_at = "follower", message.sender, now
        self._reset_election_timer(now)
        if message.plan is not None and (self.plan is None or message.plan.epoch > self.plan.epoch):
            self.plan = message.plan
        if self.plan is not None and message.decided == self.plan.epoch:
            self.learn(now, Renewal(self.plan, message.renewals, 0.0))
        return [SendToVoter(message.sender, CouncilMessage("held", self.name, message.term, message.number))]

    def learn(self, now: float, renewal: Renewal) -> bool:
        """Takes over a plan in force that was received from another controller; true if it was newer or renewed. Never
        returns to an earlier epoch."""
        self.now = now = max(self.now, now)
        if renewal.voter_set.epoch > self.voter_set.epoch and renewal.voter_set.voters:
            # Not stored on disk, as no answer depends on it.
            self.ballot = replace(self.ballot, voter_set=renewal.voter_set)
            self.voters = renewal.voter_set.voters
            if self.role != "follower":
                self._step_down(now)
        current = self.decided
        if current is not None and (renewal.plan.epoch, renewal.renewals) <= (current.epoch, self.renewals):
            return False
        if current is not None and renewal.plan.epoch == current.epoch and renewal.plan != current:
            return False
        newer = current is None or renewal.plan.epoch > current.epoch
        self.decided, self.renewals = (renewal.plan if newer else current), renewal.renewals
        self.renewed_at = max(now - renewal.age, self.renewed_at) if not newer else now - renewal.age
        if self.plan is None or self.plan.epoch < renewal.plan.epoch:
            self.plan = renewal.plan
        return True
