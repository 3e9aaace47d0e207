"""How a plan is decided in common: a few voters elect one who proposes; what most of them hold is in force. No I/O.

Not a log: only the newest plan matters. After Raft's elections (Ongaro, Ousterhout, USENIX ATC 2014) with its pre-
vote and leader leases; the plan is one register whose value goes by epoch (term, number). Why at most one plan has
an epoch: a term has one leader, as a voter gives one vote a term and keeps it on disk before it says so; and a
leader numbers its plans. Why an older plan never replaces a newer one: nobody goes to a lower epoch, and a plan is
in force only when most voters hold it, of whom any later leader must have asked one. Nobody waits for any of this
before answering an inference.

Who has a vote stands in the files at first, and is changed one name at a time (`reseat`; Ongaro's thesis, 2014, chapter
4): two following sets of voters have no majorities apart, the next change waits until most hold the one before, and
nobody votes for who knows an older set. Each leader states the set anew in its own term before it changes it, so that
what an earlier one began and most never held is outvoted.

Time enters at two places only, and no safety rests on either: voters that heard a leader a moment ago elect no
other, and whoever hears no renewal for `hold` falls back to a safe plan. Call `tick` when `due` has come and
`heard` for each message; `propose` at the leader. Effects come back in order: `Keep` must be on disk before what
follows it is sent.
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
    """Who has a vote, as stated in an epoch; the files' set is of (0, 0)."""

    epoch: tuple[int, int] = (0, 0)
    voters: tuple[str, ...] = ()

    @property
    def majority(self) -> int:
        return len(self.voters) // 2 + 1


@dataclass(frozen=True, slots=True)
class Ballot:
    """What a voter must never forget: the highest term it knows, whom it gave its vote in it, who has a vote. Without
    voters: those of the files."""

    term: int = 0
    voted: str = NOBODY
    voter_set: VoterSet = VoterSet()


@dataclass(frozen=True, slots=True)
class CouncilMessage:
    """Between voters. `may`: would you elect me in this term; `might`: yes; `vote`, `voted`: the same in earnest;
    `beat`: I lead, this is my plan; `held`: I hold it. `number` joins a held to its beat. `seats` as the sender knows
    them."""

    kind: Kind
    sender: str
    term: int
    number: int = 0
    plan: Plan | None = None
    # Of a beat: the newest plan that most hold, and how often that was renewed.
    decided: tuple[int, int] = (0, 0)
    renewals: int = 0
    voter_set: VoterSet = VoterSet()


@dataclass(frozen=True, slots=True)
class StoreBallot:
    ballot: Ballot


@dataclass(frozen=True, slots=True)
class SendToVoter:
    to: str
    message: CouncilMessage


Effect = StoreBallot | SendToVoter


@dataclass(frozen=True, slots=True)
class Renewal:
    """Rides to all controllers: the plan in force and how often it was renewed; `age` of the renewal in ms."""

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
    # Without a renewal for so long a controller goes by the safe plan.
    plan_lifetime: float = 8_000.0
    # A voter that lost what it kept gives no vote before, so that any term it may have voted in is over.
    lost_ballot_wait: float = 10_000.0


@dataclass(slots=True, eq=False)
class Council:
    """One controller's part; `voters` are names: at first the files', then those in office. Who is not among them only
    follows. `kept`: what was on disk, None where nothing was."""

    name: str
    voters: tuple[str, ...]
    seed: int = 1
    stored_ballot: Ballot | None = None
    limits: CouncilLimits = field(default_factory=CouncilLimits)
    now: float = 0.0
    role: str = "follower"
    ballot: Ballot = Ballot()
    leader: str = NOBODY
    # The newest plan held, whoever decided it; the one in force here, and its renewals.
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
    # At the leader: beats that are out, when each was sent, who answered.
    beats: dict[int, tuple[float, tuple[int, int]]] = field(default_factory=dict)
    answers: dict[int, set[str]] = field(default_factory=dict)
    lease_until: float = -math.inf
    # At the leader: the newest set of voters that most of it hold.
    agreed_epoch: tuple[int, int] = (-1, -1)

    def __post_init__(self):
        self.ballot = self.stored_ballot or Ballot()
        if not self.ballot.voter_set.voters:
            self.ballot = replace(self.ballot, voter_set=VoterSet((0, 0), self.voters))
        self.voters = self.voter_set.voters

    # Reading

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
        """Most voters heard this leader a moment ago, by its own clock from when it spoke."""
        return self.role == "leader" and now < self.lease_until

    def in_force(self, now: float) -> Plan | None:
        """The plan to follow, or None: then go by the safe one."""
        return self.decided if self.decided is not None and now - self.renewed_at < self.limits.plan_lifetime else None

    def renewal(self, now: float) -> Renewal | None:
        """What rides to all others."""
        if self.decided is None or now - self.renewed_at >= self.limits.plan_lifetime:
            return None
        return Renewal(self.decided, self.renewals, max(0.0, now - self.renewed_at), self.voter_set)

    def due(self) -> float:
        # Who lost its vote has nothing to wait for: a wait of before would be due for ever.
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
                # Most have not answered for long: there may be another by now.
                return self._step_down(now)
            return self._send_beat(now) if now >= self.beat_at else []
        if now >= self.election_at:
            self._reset_election_timer(now)
            return self._request_pre_votes(now)
        return []

    def _may_vote(self, now: float) -> bool:
        return self.stored_ballot is not None or now - self.started_at >= self.limits.lost_ballot_wait

    def _request_pre_votes(self, now: float) -> list[Effect]:
        """First whether others would: who is cut off raises no terms."""
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
        # Its own plan begins where the newest that it holds left off, under its own term.
        plans = [one for one in (self.plan, self.decided) if one is not None]
        newest = max(plans, key=lambda one: one.epoch, default=None)
        self.plan = replace(newest, epoch=(self.ballot.term, 1)) if newest is not None else None
        self.lease_until = now + self.limits.lease
        self.election_at = math.inf
        self._store_ballot(replace(self.ballot, voter_set=replace(self.voter_set, epoch=(self.ballot.term, 1))))
        return [StoreBallot(self.ballot), *self._send_beat(now)]

    def change_voters(self, now: float, voters: tuple[str, ...]) -> list[Effect]:
        """At the leader: these are to have a vote, one more or one less than now. Nothing happens elsewhere, or while
        most do not yet hold the set before."""
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
        # Answers to what was said under the set before count no more.
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
        """At the leader: this is to be in force. Numbered here; nothing happens elsewhere."""
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
        """Most voters answered a beat: the leader leads from when it was sent, the plan of it is in force."""
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

    # Hearing

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
            # Who speaks in an old term hears of the newer one, and steps down.
            return (
                [SendToVoter(message.sender, CouncilMessage("held", self.name, self.ballot.term))]
                if message.kind == "beat"
                else []
            )
        effects: list[Effect] = []
        if message.kind == "vote":
            return self._on_vote(now, message)
        if message.term > self.ballot.term or voter_set.epoch > self.voter_set.epoch:
            # Who hears a leader gives nobody else its vote in that term, whatever it may have forgotten.
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
        """No leader was heard for so long that its lease is over by any clock."""
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
            return []  # a set of voters that it does not know may have been agreed on
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
            return []  # two of one term: never, and if it were, neither yields to the other's word
        self.role, self.leader, self.last_beat_at = "follower", message.sender, now
        self._reset_election_timer(now)
        if message.plan is not None and (self.plan is None or message.plan.epoch > self.plan.epoch):
            self.plan = message.plan
        if self.plan is not None and message.decided == self.plan.epoch:
            self.learn(now, Renewal(self.plan, message.renewals, 0.0))
        return [SendToVoter(message.sender, CouncilMessage("held", self.name, message.term, message.number))]

    def learn(self, now: float, renewal: Renewal) -> bool:
        """What rides on others' words: a plan in force. True if it was newer. Never back to an earlier epoch."""
        self.now = now = max(self.now, now)
        if renewal.voter_set.epoch > self.voter_set.epoch and renewal.voter_set.voters:
            # Not kept on disk: it answered nobody by it.
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
