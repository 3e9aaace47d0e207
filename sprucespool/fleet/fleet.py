"""One controller's view of the invokers, shared with the other controllers.

Takes in roster rows, own observations and messages, and decides what to send to others. No I/O; time and the seed of
random choices are passed in. Every input is a method call with its time; `take` returns what changed: states of
invokers, suspicions and events. `piggyback_message` goes along with the group's messages; the rest is sent separately.
"""

from __future__ import annotations

import math
import zlib
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field, replace

from sprucespool.fleet.messages import FleetEvent, FleetMessage, InvokerState, RosterRow, Send, Suspicion
from sprucespool.fleet.observations import Observations
from sprucespool.fleet.opinions import BAD_KINDS, IncrementalAssessment, OpinionLimits
from sprucespool.fleet.records import (
    Course,
    CourseClaim,
    Listed,
    Listing,
    Opinion,
    Process,
    Record,
    Witness,
    adds_information,
)
from sprucespool.fleet.view import View
from sprucespool.fleet.witness_trust import WitnessTrust

STATUS = {Listed.IN_SERVICE: "in service", Listed.DRAINING: "draining", Listed.NOT: "gone"}


@dataclass(frozen=True, slots=True)
class FleetLimits:
    """Limits of a view. Times in ms."""

    opinions: OpinionLimits = field(default_factory=OpinionLimits)
    silent_after: float = 2_000.0
    # A reply to this controller that is younger than this outranks what others report.
    own_fresh: float = 3_000.0
    # Minimum time between changes of the own opinion of an invoker; interval of repeating it while it holds.
    opinion_min_interval: float = 1_000.0
    opinion_repeat_interval: float = 6_000.0
    # Number of agreeing observers of a zone after which further opinions are not sent: hundreds of observers
    # with the same opinion would fill all messages with it.
    enough_observers: int = 3
    # Updates are pushed at once, except that those within `push_delay` go together; to `push_fanout` peers.
    push_delay: float = 60.0
    push_fanout: int = 3
    max_processes_per_push: int = 64
    # How often an update is also piggybacked, per doubling of the group size; processes per message.
    repeats_per_doubling: float = 0.5
    max_processes_per_piggyback: int = 12
    # Views that differ for this long are compared, and no more often than this.
    compare_after: float = 700.0
    # During continuous updates views always differ; this interval of comparisons finds what was missed.
    busy_compare_interval: float = 2_000.0
    page_size: int = 48
    # How long a row from a newer version of another's roster waits for the own live roster to confirm it.
    own_roster_wait: float = 3_000.0
    # A reply this long after the claim that a process is gone contradicts the claim.
    contradiction_delay: float = 400.0
    check_interval: float = 200.0
    # While the own roster is unavailable, interval of probing for a new process where one ended, and the
    # number of controllers that probe an address.
    probe_interval: float = 600.0
    probers: int = 2
    remember_gone: float = 600_000.0


@dataclass(slots=True)
class _OwnRow:
    """What the own roster last said of a process, and since which of its versions."""

    listed: Listed
    since: int


@dataclass(slots=True)
class _PendingUpdate:
    """Update of a process still to be sent: how often its claims and rows (`facts`) and each observer's opinion are
    still to be piggybacked, and which of them no push has sent yet."""

    facts: int = 0
    opinions: dict[Witness, int] = field(default_factory=dict)
    unsent_opinions: dict[Witness, None] = field(default_factory=dict)
    facts_unsent: bool = False

    @property
    def repeats_left(self) -> int:
        return max(self.facts, max(self.opinions.values(), default=0))

    def count_sent(self) -> bool:
        """Counts one sending. Returns True if everything was sent often enough."""
        self.facts = max(0, self.facts - 1)
        self.opinions = {who: left - 1 for who, left in self.opinions.items() if left > 1}
        return not self.repeats_left


@dataclass(slots=True)
class Peer:
    """Another live controller of the group."""

    name: str
    address: str


class Fleet:
    """One controller's view of the invokers. All times are in ms of the caller's clock."""

    def __init__(self, me: Witness, address: str, zone: str = "", seed: int = 1, limits: FleetLimits | None = None):
        self.me, self.address, self.zone, self.seed = me, address, zone, seed
        self.limits = limits or FleetLimits()
        self.view = View(self.limits.remember_gone, self.limits.opinions.opinion_lifetime)
        self.observations, self.trust = Observations(self.limits.silent_after), WitnessTrust()
        self.now, self.draws = 0.0, 0
        # The own roster: whether it is live, its name, its version, the version since which no change was missed, rows.
        self.live, self.source, self.version, self.complete_since = False, "", 0, 0
        self.own_rows: dict[Process, _OwnRow] = {}
        # Versions of the members' rosters as they report them.
        self.versions: dict[Witness, int] = {}
        # Versions in others' claims that are ahead of the own roster: `_check_claims` runs again once it reaches them.
        self.ahead_of_own: dict[tuple[Process, Witness], int] = {}
        self.ahead_since: dict[Process, float] = {}
        self.unconfirmed: deque[tuple[float, Process]] = deque()
        # Last reported state by address; the reason of each current suspicion by address.
        self.reported: dict[str, InvokerState] = {}
        self.suspected: dict[str, str] = {}
        self.panic: tuple[str, ...] = ()
        # By address: the boot that the invoker itself reported to this controller.
        self.boots: dict[str, str] = {}
        # Start times from the own roster or the invoker itself; earlier start times reported by others do not count.
        self.born: dict[Process, float] = {}
        # When the course of a process last changed by a claim; own opinions and when they were last stated.
        self.claimed_at: dict[Process, float] = {}
        self.own_opinions: dict[Process, tuple[Opinion, float]] = {}
        self.peers: list[Peer] = []
        self._pending: dict[Process, _PendingUpdate] = {}
        self._urgent: dict[Process, None] = {}
        self._push_at = math.inf
        self._changed_at, self._compared_at = -math.inf, 0.0
        self._check_at = -math.inf
        # Processes to assess again; all of them after a witness became distrusted.
        self.assessment = IncrementalAssessment(self.limits.opinions)
        self._to_assess: dict[Process, None] = {}
        self._assess_all = False
        self._probes: list[str] = []
        self._probe_at = -math.inf
        self._states: dict[str, InvokerState] = {}
        self._suspicions: list[Suspicion] = []
        self._events: list[FleetEvent] = []

    # Reading

    @property
    def digest(self) -> int:
        """Equal on two controllers that hold the same content for the same processes."""
        return self.view.digest

    @property
    def known(self) -> bool:
        """Whether any invoker is known, from whichever source."""
        return bool(self.reported)

    def take(self) -> tuple[list[InvokerState], list[Suspicion], list[FleetEvent]]:
        states, self._states = list(self._states.values()), {}
        suspicions, self._suspicions = self._suspicions, []
        events, self._events = self._events, []
        return states, suspicions, events

    def take_probes(self) -> list[str]:
        """Returns the addresses to probe for readiness; a probe is no inference and no order, and causes no load."""
        probes, self._probes = self._probes, []
        return probes

    def course(self, process: Process) -> Course:
        record = self.view.records.get(process)
        return record.course(self.trust.believed) if record else Course.SERVING

    def current(self, address: str) -> Record | None:
        """Returns the process currently at the address, as far as known: the one that the invoker itself reported, else
        the one of the newest roster."""
        reported_boot = self.boots.get(address)
        reported_start = self.born.get((address, reported_boot or ""), -math.inf)

        def is_older(record: Record) -> bool:
            # A roster or message that lags behind: the invoker itself reported a process that started later.
            born = self.born.get(record.process, record.born)
            return record.process[1] not in ("", reported_boot or "") and born is not None and born < reported_start

        found = [
            record
            for record in self.view.at(address)
            if record.course(self.trust.believed) is not Course.GONE and not is_older(record)
        ]

        def rank(record: Record) -> tuple:
            listing = self._listing(record)
            return (
                reported_boot == record.process[1],
                listing is not None and listing.listed is not Listed.NOT,
                listing.version if listing else -1,
                record.process,
            )

        return max(found, key=rank, default=None)

    def _listing(self, record: Record) -> Listing | None:
        """Returns the newest row, except rows that a live own roster still has to confirm."""
        listing = record.listing(self.trust.believed)
        if listing is None or not self.live or listing.source != self.source or listing.version <= self.version:
            return listing
        since = self.ahead_since.get(record.process)
        if since is None:
            since = self.ahead_since[record.process] = self.now
            self.unconfirmed.append((self.now + self.limits.own_roster_wait, record.process))
        if self.now - since >= self.limits.own_roster_wait:
            return listing
        return max(
            (
                one
                for witness, one in record.listings.items()
                if self.trust.believed(witness) and one.version <= self.version
            ),
            default=None,
        )

    def _state(self, address: str) -> InvokerState | None:
        record = self.current(address)
        if record is None:
            return None
        listing = self._listing(record)
        if listing is None:
            return None
        status = STATUS[listing.listed]
        if record.course(self.trust.believed) is Course.DRAINING and status != "gone":
            status = "draining"
        return InvokerState(
            address,
            record.process[1],
            status,
            listing.zone,
            listing.kind,
            listing.cell,
            listing.size,
            self.born.get(record.process, record.born),
        )

    def _report_address(self, address: str):
        """Queues the new state and events if the state of the address changed."""
        state, before = self._state(address), self.reported.get(address)
        if state is None:
            if before is None or before.status == "gone":
                return
            state = replace(before, status="gone")
        if before is not None and replace(state, born=before.born) == before:
            return
        if before is None and state.status == "gone":
            return
        self.reported[address] = self._states[address] = state
        if before is not None and before.boot != state.boot:
            self._event("started", (address, state.boot), why=f"replaces {before.boot or 'an unnamed process'}")
        elif before is None or state.status == "in service":
            self._event("started", (address, state.boot))
        if state.status == "draining":
            self._event("draining", (address, state.boot), self._claimed_by((address, state.boot)))
        elif state.status == "gone":
            self._event("gone", (address, state.boot), self._claimed_by((address, state.boot)))

    def _claimed_by(self, process: Process) -> tuple[str, ...]:
        record = self.view.records.get(process)
        return tuple(sorted({witness[0] for witness in record.claims})) if record else ()

    def _event(self, kind: str, process: Process | None = None, by: tuple[str, ...] = (), why: str = ""):
        self._events.append(FleetEvent(kind, self.now, process, by, why))

    # Random choices and time

    def _draw(self, below: int) -> int:
        self.draws += 1
        return zlib.crc32(b"%d:%d:%d" % (self.seed, self.me[1], self.draws)) % below

    def _clock(self, now: float) -> float:
        """Keeps time from going backwards, whatever the caller's clock does."""
        self.now = max(self.now, now)
        return self.now

    # Records

    def _join(self, received: Record):
        """Merges a record into the view and queues the resulting updates."""
        before, after = self.view.join(self.now, received)
        if after is before or after is None:
            return
        process = received.process
        content_changed = before is None or before.content != after.content
        # A second witness is sent on, because the first may be distrusted later; a third is not.
        facts = (
            content_changed
            or before is None
            or (len(before.claims) < min(2, len(after.claims)) or len(before.listings) < min(2, len(after.listings)))
        )
        if content_changed:
            self._changed_at = self.now
            if after.claims and (before is None or after.course() is not before.course()):
                self.claimed_at[process] = self.now
        if content_changed or before is None or after.opinions != before.opinions:
            self._to_assess[process] = None
        opinions = self._opinions_to_send(before, after)
        if facts or opinions:
            pending = self._pending.setdefault(process, _PendingUpdate())
            repeats = math.ceil(self.limits.repeats_per_doubling * math.log2(len(self.peers) + 2))
            if facts:
                pending.facts, pending.facts_unsent = repeats, True
            pending.opinions.update(dict.fromkeys(opinions, repeats))
            pending.unsent_opinions.update(opinions)
            if content_changed or before is None or _opinion_kinds(after) != _opinion_kinds(before):
                self._urgent[process] = None
                self._push_at = min(self._push_at, self.now + self.limits.push_delay)
        self._report_address(process[0])

    def _opinions_to_send(self, before: Record | None, after: Record) -> dict[Witness, None]:
        """Returns the observers whose opinions are new and useful to others.

        If enough observers of a zone agree already, another one changes nothing; an opinion that its observer should
        have repeated by now is out of date. An opinion that arrives again with an older time, over a faster route, is
        not new: when it counted as new, each message about it triggered the next.
        """
        held = before.opinions if before is not None else {}
        fresh_since = self.now - self.limits.opinion_repeat_interval

        def count_agreeing(who: Witness, one: Opinion) -> int:
            return sum(
                other.zone == one.zone
                and (other.kind in BAD_KINDS) is (one.kind in BAD_KINDS)
                and other.at > fresh_since
                for witness, other in held.items()
                if witness != who
            )

        return {
            who: None
            for who, one in after.opinions.items()
            if (who not in held or one.count > held[who].count)
            and one.at > fresh_since
            and count_agreeing(who, one) < self.limits.enough_observers
        }

    def _claim_listing(self, process: Process, listing: Listing, born: float | None):
        """Claims a roster row as this controller, unless two witnesses already do."""
        record = self.view.records.get(process)
        newest = record.listing(self.trust.believed) if record else None
        if newest is not None and record is not None:
            if (
                newest.version == listing.version
                and newest.content != listing.content
                and newest.source == (listing.source)
            ):
                others = tuple(sorted(witness[0] for witness, one in record.listings.items() if one == newest))
                self._event(
                    "contradiction",
                    process,
                    others,
                    f"{listing.source} {listing.version} says {listing.listed.name} here, {newest.listed.name} there",
                )
            same = sum(
                one.content == listing.content
                for witness, one in record.listings.items()
                if self.trust.believed(witness)
            )
            if (
                newest.content == listing.content
                and same >= 2
                or newest.version > listing.version
                and (newest.content != listing.content)
            ):
                if born is not None and record.born is None:
                    self._join(Record(process, born=born))
                return
        self._join(Record(process, listings={self.me: listing}, born=born))

    def _claim_course(self, process: Process, claim: CourseClaim):
        """Claims a fact that this controller observed or got from its roster, unless two witnesses already do."""
        record = self.view.records.get(process)
        if (
            record is not None
            and sum(
                one.course >= claim.course for witness, one in record.claims.items() if self.trust.believed(witness)
            )
            >= 2
        ):
            return
        if process[1]:
            self._join(Record(process, claims={self.me: claim}))

    # The own roster

    def roster(self, now: float, whole: bool, source: str, version: int, rows: Iterable[RosterRow]) -> None:
        """Takes in the complete list of the own roster, or changes to it.

        A version that goes backwards is reported, and its rows do not replace newer ones from others. That a process
        drains or is gone counts whenever it is received.
        """
        self._clock(now)
        outdated = self.source == source and version < self.version
        if outdated:
            self._event("back", why=f"{source} went from version {self.version} to {version}")
        elif (newer := self._confirmed_version()) > version and whole:
            self._event("behind", why=f"{source} says version {version}, two others have {newer}")
            outdated = True
        if not self.live or whole:
            self.complete_since = version
        if source != self.source:
            self.own_rows.clear()
        self.live, self.source, self.version = True, source, version
        named: set[Process] = set()
        for row in rows:
            named.add(row.process)
            self._row(row, version, outdated)
        for process in [one for one in self.own_rows if one not in named] if whole else ():
            del self.own_rows[process]
        if whole and not outdated:
            for record in list(self.view.records.values()):
                listing = record.listing(self.trust.believed)
                if (
                    record.process not in named
                    and listing is not None
                    and listing.source == source
                    and listing.listed is not Listed.NOT
                    and listing.version < version
                    and record.course() is not Course.GONE
                ):
                    self._claim_listing(record.process, replace(listing, version=version, listed=Listed.NOT), None)
        for (process, witness), wanted in list(self.ahead_of_own.items()):
            if wanted <= version:
                del self.ahead_of_own[process, witness]
                self.ahead_since.pop(process, None)
                self._check_claims(process, witness)
        for address in {process[0] for process in self.ahead_since}:
            self._report_address(address)

    def _confirmed_version(self) -> int:
        """Returns the roster version that two members have reached, so that a single lying member has no effect."""
        names = {peer.name for peer in self.peers}
        held = sorted(
            (
                version
                for witness, version in self.versions.items()
                if witness[0] in names and self.trust.believed(witness)
            ),
            reverse=True,
        )
        return held[1] if len(held) > 1 else 0

    def _row(self, row: RosterRow, version: int, outdated: bool):
        process, listed = row.process, Listed.NOT if row.gone else row.listed
        address, boot = process
        before = self.own_rows.get(process)
        if before is None or before.listed is not listed:
            self.own_rows[process] = _OwnRow(listed, version)
        for other in self.view.by_address.get(address, ()) if before is None else ():
            if other != boot:
                self.own_rows.pop((address, other), None)
        record = self.view.records.get(process)
        newest = record.listing(self.trust.believed) if record else None
        if row.gone:
            self._claim_course(process, CourseClaim(Course.GONE, version, self.source))
        elif listed is Listed.DRAINING:
            self._claim_course(process, CourseClaim(Course.DRAINING, version, self.source))
        if not outdated or newest is None:
            # For a process with a boot, draining is a separate claim; without a boot there is only the row.
            shown = listed if not boot or listed is Listed.NOT else Listed.IN_SERVICE
            born = self.now - row.age if row.age is not None else None
            if born is not None:
                self.born.setdefault(process, born)
            self._claim_listing(
                process, Listing(version, self.source, shown, row.zone, row.kind, row.cell, row.size), born
            )
        if not outdated and not row.gone and self.course(process) is not Course.GONE:
            self._end_predecessors(process, version)

    def _end_predecessors(self, process: Process, version: int):
        """A newer row names another process at the address, so the earlier ones are gone."""
        for record in self.view.at(process[0]):
            if record.process == process or record.course(self.trust.believed) is Course.GONE:
                continue
            listing = record.listing(self.trust.believed)
            if listing is None or listing.source == self.source and listing.version < version:
                self._claim_course(record.process, CourseClaim(Course.GONE, version, self.source))

    def roster_lost(self, now: float) -> None:
        """The connection to the own roster broke. Until its next complete list, others' rows count at once."""
        self._clock(now)
        if self.live:
            self.live = False
            self.ahead_since.clear()
            for address in {process[0] for process, _ in self.ahead_of_own}:
                self._report_address(address)
            self.ahead_of_own.clear()

    # Own observations

    def sent(self, now: float, number: int, address: str) -> None:
        self.observations.sent(self._clock(now), number, address)

    def ended(
        self, now: float, number: int, outcome: str, boot: str = "", draining: bool = False, age: float | None = None
    ) -> None:
        """An own forward ended. `boot`, `draining` and `age`: as reported by the invoker with its reply, if at all."""
        now = self._clock(now)
        address = self.observations.ended(now, number, outcome)
        if address is None:
            return
        if boot:
            self._process_seen(address, boot, draining, age)
        record = self.current(address)
        if record is not None:
            self._update_own_opinion(record, self.observations.by_address[address].kind)
        if outcome in ("returned", "error", "full", "miss"):
            self._contradict_claims(address, boot, draining)
            for name in self.view.by_address.get(address, ()):
                if (address, name) in self.assessment.excluded:
                    self._to_assess[address, name] = None

    def _process_seen(self, address: str, boot: str, draining: bool, age: float | None):
        process, unnamed = (address, boot), self.view.records.get((address, ""))
        if unnamed is not None and (listing := self._listing(unnamed)) is not None and listing.listed is not Listed.NOT:
            return  # the roster names no processes, so its row without a boot decides
        before, self.boots[address] = self.boots.get(address), boot
        if before != boot and self.course(process) is not Course.GONE:
            if age is not None:
                self.born.setdefault(process, self.now - age)
            old = [record for record in self.view.at(address) if record.process != process]
            listing = max((one for record in old if (one := record.listing(self.trust.believed))), default=None)
            if process not in self.view.records and listing is not None:
                # No roster has named it yet: it takes the zone, kind and cell of the process before it.
                self._join(
                    Record(
                        process,
                        listings={self.me: replace(listing, listed=Listed.IN_SERVICE)},
                        born=self.now - age if age is not None else self.now,
                    )
                )
            for record in old:
                if record.course(self.trust.believed) is not Course.GONE:
                    self._claim_course(record.process, CourseClaim(Course.GONE))
            self._report_address(address)
        if draining:
            self._claim_course(process, CourseClaim(Course.DRAINING))

    def probed(self, now: float, address: str, boot: str, draining: bool, age: float | None) -> None:
        """An invoker answered a probe and reported which process it is."""
        self._clock(now)
        if boot:
            self._process_seen(address, boot, draining, age)

    def _contradict_claims(self, address: str, boot: str, draining: bool):
        """Replies to this controller outrank claims: a witness that claimed the process gone or draining was wrong."""
        for record in self.view.at(address):
            process = record.process
            if (
                not record.claims
                or boot
                and process[1] != boot
                or (self.now - self.claimed_at.get(process, self.now) < self.limits.contradiction_delay)
            ):
                continue
            if not boot and len(self.view.at(address)) > 1:
                continue  # it is unknown which of them replied
            for witness, claim in list(record.claims.items()):
                wrong = claim.course is Course.GONE or boot and not draining and not claim.source
                if witness != self.me and wrong:
                    self._record_result(
                        witness, process, f"said {claim.course.name}", False, "its replies contradict the claim"
                    )

    def _record_result(self, witness: Witness, process: Process, matter: str, right: bool, why: str):
        if not self.trust.believed(witness):
            return
        if self.trust.record_result(witness, process, matter, right):
            self._event("distrusted", process, (witness[0],), why)
            self._assess_all = True
            for address in sorted(self.view.by_address):
                self._report_address(address)

    def _update_own_opinion(self, record: Record, kind: str):
        """States the observed opinion of the process if it is bad or replaces an earlier one."""
        now, process = self.now, record.process
        stated, at = self.own_opinions.get(process, (None, -math.inf))
        bad = kind in BAD_KINDS
        if stated is None and not bad or not kind:
            return
        changed = stated is None or stated.kind != kind
        if (
            not changed
            and (not bad or now - at < self.limits.opinion_repeat_interval)
            or (changed and now - at < self.limits.opinion_min_interval)
        ):
            return
        if not bad or not self._enough_observers(record):
            self._state_opinion(process, kind)

    def _enough_observers(self, record: Record) -> bool:
        fresh_since = self.now - self.limits.opinion_repeat_interval
        return (
            sum(
                one.kind in BAD_KINDS
                and one.zone == self.zone
                and one.at > fresh_since
                and who != self.me
                and self.trust.believed(who)
                for who, one in record.opinions.items()
            )
            >= self.limits.enough_observers
        )

    def _state_opinion(self, process: Process, kind: str):
        stated = self.own_opinions.get(process)
        opinion = Opinion(stated[0].count + 1 if stated else 1, kind, self.zone, self.now)
        self.own_opinions[process] = opinion, self.now
        self._join(Record(process, opinions={self.me: opinion}))

    # Other controllers

    def set_peers(self, peers: list[Peer]) -> None:
        """Sets the other live members of the group."""
        self.peers = peers
        names = {peer.name for peer in peers}
        self.versions = {witness: one for witness, one in self.versions.items() if witness[0] in names}

    def receive(self, now: float, message: FleetMessage) -> list[Send]:
        now = self._clock(now)
        if message.sender == self.me:
            return []
        if message.version:
            self.versions[message.sender] = message.version
        empty = not self.view.records
        for record in message.records:
            self._learn(record)
        if message.kind == "marks":
            return self._answer_digests(message)
        if message.kind == "rows":
            return self._answer_records(message)
        quiet = now - self._changed_at >= self.limits.compare_after and not self._urgent
        if message.digest != self.digest and (
            empty or quiet or now - self._compared_at >= self.limits.busy_compare_interval
        ):
            return self._compare(message.address, empty)
        return []

    def _learn(self, received: Record):
        mine = self.view.records.get(received.process)
        if mine is not None and not adds_information(mine, received):
            return
        if mine is None and not (received.claims or received.listings):
            return  # opinions of an unknown process: they are sent again with its row

        def without_own(claims: dict, held: dict) -> dict:
            # Others must not make claims under this controller's name.
            if self.me in claims and claims[self.me] != held.get(self.me):
                claims = {witness: one for witness, one in claims.items() if witness != self.me}
            return claims

        received = replace(
            received,
            claims=without_own(received.claims, mine.claims if mine else {}),
            listings=without_own(received.listings, mine.listings if mine else {}),
            opinions={
                who: one
                for who, one in without_own(received.opinions, mine.opinions if mine else {}).items()
                if self.trust.believed(who)
            },
        )
        # Opinions of a distrusted witness are dropped: they change all the time and would flood the group. Its claims
        # and rows are kept, because views would otherwise differ permanently.
        if mine is not None and not adds_information(mine, received):
            return
        self._join(received)
        process = received.process
        for witness in {**received.claims, **received.listings}:
            if witness != self.me:
                self._check_claims(process, witness)
        if process[0] in self.reported and self.reported[process[0]].boot == process[1]:
            self._contradict_opinions(process, received)
        if process in self.own_rows and self.live:
            self._correct(process)

    def _contradict_opinions(self, process: Process, received: Record):
        """Corrects reports that an invoker does not answer if it has just replied to this controller."""
        last_reply_at = (
            self.observations.by_address[process[0]].last_reply_at
            if process[0] in self.observations.by_address
            else -math.inf
        )
        for witness, opinion in received.opinions.items():
            if witness == self.me or opinion.kind not in BAD_KINDS or last_reply_at <= opinion.at:
                continue
            if self.now - last_reply_at < self.limits.own_fresh:
                if opinion.zone == self.zone:
                    self._record_result(
                        witness,
                        process,
                        f"{opinion.kind} {opinion.count // 4}",
                        False,
                        "it just replied to this controller",
                    )
                record = self.view.records[process]
                stated, at = self.own_opinions.get(process, (None, -math.inf))
                well = sum(one.kind == "well" for one in record.opinions.values())
                bad = sum(one.kind in BAD_KINDS for one in record.opinions.values())
                # One observer alone excludes no invoker, so its opinion needs no contradiction.
                if (
                    well < 3
                    and bad >= self.limits.opinions.observers
                    and self.now - at >= self.limits.opinion_min_interval
                ):
                    self._state_opinion(process, "well")

    def _check_claims(self, process: Process, witness: Witness):
        """Checks the claims of a witness about roster versions that the own roster has reached as well."""
        record = self.view.records.get(process)
        if record is None or not self.live:
            return
        listing, claim = record.listings.get(witness), record.claims.get(witness)
        own = self.own_rows.get(process)
        for version, source, listed in (
            (listing.version, listing.source, listing.listed) if listing else (0, "", None),
            (claim.version, claim.source, claim.course) if claim else (0, "", None),
        ):
            if source != self.source or listed is None:
                continue
            if version > self.version:
                if len(self.ahead_of_own) < 4_096:
                    self.ahead_of_own[process, witness] = version
                continue
            if version < self.complete_since:
                continue
            if isinstance(listed, Listed):
                if own is not None and own.listed is listed:
                    continue  # every controller with a roster repeats it, so it earns no trust
                right = own is not None or listed is Listed.NOT or record.course() is Course.GONE
                seen = own is None or own.since > version or (own.listed is Listed.NOT) == (listed is Listed.NOT)
                right = right and seen
            else:
                right = own is None or own.since > version or own.listed is not Listed.IN_SERVICE
            self._record_result(witness, process, f"{version}", right, f"{source} {version} contradicts the claim here")

    def _correct(self, process: Process):
        """Replaces an older row that says the process is not listed, while the newer own roster lists it."""
        own, record = self.own_rows[process], self.view.records[process]
        newest = record.listing(self.trust.believed)
        if (
            newest is not None
            and newest.source == self.source
            and newest.version < self.version
            and newest.listed is Listed.NOT
            and own.listed is not Listed.NOT
            and record.course(self.trust.believed) is not Course.GONE
        ):
            self._join(
                Record(
                    process,
                    listings={
                        self.me: replace(
                            newest, version=self.version, listed=own.listed if not process[1] else Listed.IN_SERVICE
                        )
                    },
                )
            )

    # Time

    def due(self) -> float:
        """Returns when `tick` must be called next at the latest."""
        return min(self._push_at, self._check_at)

    def tick(self, now: float) -> list[Send]:
        now, limits = self._clock(now), self.limits
        if now >= self._check_at:
            self._check_at = now + limits.check_interval
            for address in self.observations.find_silent(now):
                record = self.current(address)
                if record is not None:
                    self._update_own_opinion(record, "silent")
            self._repeat_opinions(now)
            for process in self.view.sweep(now):
                self._to_assess[process] = None
                if process not in self.view.records:
                    self.own_opinions.pop(process, None)
            while self.unconfirmed and self.unconfirmed[0][0] <= now:
                self._report_address(self.unconfirmed.popleft()[1][0])
            if len(self.born) + len(self.claimed_at) > 4 * len(self.view.records) + 64:
                self._drop_forgotten()
        if not self.live and now >= self._probe_at:
            self._probe_at = now + limits.probe_interval
            self._choose_probes()
        if self._to_assess or self._assess_all:
            self._assess(now)
        sends: list[Send] = []
        if now >= self._push_at:
            sends = self._push()
        return sends

    def _choose_probes(self):
        """Chooses the addresses that this controller probes for a new process.

        Nothing is sent to a process that drains or is gone, so its successor would stay unknown while no roster names
        it. A few controllers probe each address, chosen by the same hash everywhere, whatever the group size.
        """
        names = [peer.name for peer in self.peers] + [self.me[0]]
        for address, state in self.reported.items():
            if state.status == "in service":
                continue
            probers = sorted(names, key=lambda name: zlib.crc32(f"{name}\0{address}".encode()))[: self.limits.probers]
            if self.me[0] in probers:
                self._probes.append(address)

    def _repeat_opinions(self, now: float):
        """Repeats bad opinions that still hold before they expire."""
        for process, (opinion, at) in list(self.own_opinions.items()):
            if now - at < self.limits.opinion_repeat_interval:
                continue
            observation = self.observations.by_address.get(process[0])
            record = self.view.records.get(process)
            if (
                opinion.kind in BAD_KINDS
                and observation is not None
                and observation.kind == opinion.kind
                and observation.in_flight
                and (record is not None and not self._enough_observers(record))
            ):
                self._state_opinion(process, opinion.kind)
            elif now - at >= self.limits.opinions.opinion_lifetime:
                del self.own_opinions[process]

    def _assess(self, now: float):
        changed, self._to_assess = self._to_assess, {}
        found = self.assessment.update(
            now,
            self.view,
            self.zone,
            self._recently_replied,
            None if self._assess_all else changed,
            self.trust.believed,
        )
        self._assess_all = False
        suspected = {
            process[0]: why
            for process, why in found.excluded.items()
            if process[0] in self.reported and self.reported[process[0]].boot == process[1]
        }
        for address, why in suspected.items():
            if address not in self.suspected:
                self._suspicions.append(Suspicion(address, True, why))
                self._event("unreachable", (address, self.reported[address].boot), why=why)
        for address in self.suspected:
            if address not in suspected:
                self._suspicions.append(Suspicion(address, False))
                self._event("reachable", (address, self.reported[address].boot if address in self.reported else ""))
        self.suspected = suspected
        for zone in found.panic:
            if zone not in self.panic:
                max_share = f"{self.limits.opinions.max_excluded_share:.0%}"
                self._event(
                    "panic",
                    why=f"more than {max_share} of zone {zone or '-'} would be excluded, so none of it is",
                )
        if self.panic and not found.panic:
            self._event("calm", why="no zone exceeds the share that may be excluded any more")
        self.panic = found.panic

    def _recently_replied(self, process: Process) -> bool:
        return self.observations.replied_since(process[0], self.now - self.limits.own_fresh)

    def _drop_forgotten(self):
        """Drops data about processes that the view has forgotten."""
        for kept in (self.claimed_at, self.own_opinions, self.ahead_since, self.born):
            for process in [one for one in kept if one not in self.view.records]:
                del kept[process]
        for address in [one for one in self.reported if one not in self.view.by_address]:
            del self.reported[address]
            self.boots.pop(address, None)
            self.observations.forget(address)

    # Sending

    def _message(self, kind: str, records: tuple[Record, ...] = (), **more) -> FleetMessage:
        return FleetMessage(kind, self.me, self.address, self.digest, self.version if self.live else 0, records, **more)

    def piggyback_message(self, now: float) -> FleetMessage:
        """Returns the message to piggyback on a group message: the digest and the updates sent least often so far."""
        self._clock(now)
        if not self._pending:
            return self._message("cargo")
        picked = sorted(self._pending, key=lambda process: (-self._pending[process].repeats_left, process))[
            : self.limits.max_processes_per_piggyback
        ]
        rows = []
        for process in picked:
            pending = self._pending[process]
            rows += self._unsent_parts(process, bool(pending.facts), pending.opinions)
            if pending.count_sent() or process not in self.view.records:
                del self._pending[process]
        return self._message("cargo", tuple(rows))

    def _unsent_parts(self, process: Process, facts: bool, whose: Iterable[Witness]) -> list[Record]:
        """Returns only the new parts of a record: complete rows made up nine tenths of the bytes at a cold start."""
        record = self.view.records.get(process)
        if record is None:
            return []
        opinions = {who: record.opinions[who] for who in whose if who in record.opinions}
        if facts:
            return [replace(record, opinions=opinions)]
        return [Record(process, opinions=opinions)] if opinions else []

    def _push(self) -> list[Send]:
        picked = list(self._urgent)[: self.limits.max_processes_per_push]
        for process in picked:
            del self._urgent[process]
        self._push_at = self.now + self.limits.push_delay if self._urgent else math.inf
        rows: list[Record] = []
        for process in picked:
            pending = self._pending.get(process)
            if pending is not None:
                rows += self._unsent_parts(process, pending.facts_unsent, pending.unsent_opinions)
                pending.unsent_opinions, pending.facts_unsent = {}, False
        if not rows:
            return []
        message, peers, sends = self._message("push", tuple(rows)), list(self.peers), []
        for _ in range(min(self.limits.push_fanout, len(peers))):
            sends.append(Send(peers.pop(self._draw(len(peers))).address, message))
        return sends

    def _compare(self, address: str, at_once: bool) -> list[Send]:
        if not at_once and self.now - self._compared_at < self.limits.compare_after:
            return []
        self._compared_at = self.now
        return [Send(address, self._message("marks", bucket_digests=tuple(self.view.bucket_digests)))]

    def _answer_digests(self, message: FleetMessage) -> list[Send]:
        differ = [
            n
            for n, (mine, its) in enumerate(zip(self.view.bucket_digests, message.bucket_digests, strict=False))
            if mine != its
        ]
        sends: list[Send] = []
        page: list[Record] = []
        covered: list[int] = []
        for bucket in differ:
            more = self.view.records_in((bucket,))
            if covered and len(page) + len(more) > self.limits.page_size:
                sends.append(Send(message.address, self._message("rows", tuple(page), buckets=tuple(covered))))
                page, covered = [], []
            page += more
            covered.append(bucket)
        if covered:
            sends.append(Send(message.address, self._message("rows", tuple(page), buckets=tuple(covered))))
        return sends

    def _answer_records(self, message: FleetMessage) -> list[Send]:
        """Answers with the records in the given buckets that the sender lacks or holds differently."""
        received = {record.process: record for record in message.records}
        rows = [
            record
            for record in self.view.records_in(message.buckets)
            if record.process not in received or received[record.process].content != record.content
        ]
        return [
            Send(message.address, self._message("extra", tuple(rows[n : n + self.limits.page_size])))
            for n in range(0, len(rows), self.limits.page_size)
        ]

    # Snapshots

    def dump(self) -> list[Record]:
        """Returns the records to keep over a restart, without opinions."""
        return [replace(record, opinions={}) for record in self.view.records.values()]

    def restore(self, now: float, records: Iterable[Record]) -> None:
        """Takes in the records of a snapshot as from any other source; newer information wins."""
        self._clock(now)
        for record in records:
            self._learn(replace(record, opinions={}))


def _opinion_kinds(record: Record) -> set[tuple[Witness, str]]:
    return {(witness, opinion.kind) for witness, opinion in record.opinions.items()}
