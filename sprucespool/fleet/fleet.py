"""One controller's part of the fleet's view in common: takes what it hears and sees, says what others should know.

No I/O; time and chance handed in. Everything that happens enters by a method with its time; `take` gives what changed:
places of invokers, doubts of others, events. `cargo` rides on the group's messages; the rest is sent on its own.
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
    """Times in ms."""

    opinions: OpinionLimits = field(default_factory=OpinionLimits)
    silent_after: float = 2_000.0
    # An own answer so young outranks what others say.
    own_fresh: float = 3_000.0
    # The own opinion of an invoker changes no more often, and is said again while it holds.
    opinion_min_interval: float = 1_000.0
    opinion_repeat_interval: float = 6_000.0
    # So many observers of a zone are enough: hundreds that say the same would tell each other of nothing else.
    enough_observers: int = 3
    # News is sent at once, but what comes within so long goes together; to so many.
    push_delay: float = 60.0
    push_fanout: int = 3
    max_processes_per_push: int = 64
    # How often news rides besides, for each doubling of the group, and how much at once.
    repeats_per_doubling: float = 0.5
    max_processes_per_piggyback: int = 12
    # Views that differ for so long are compared, no more often than that.
    compare_after: float = 700.0
    # While news goes on coming views differ all the time; what was missed of it is found by a look so often.
    busy_compare_interval: float = 2_000.0
    page_size: int = 48
    # What another's roster is ahead of a living own one waits so long for the own one's word.
    own_roster_wait: float = 3_000.0
    # An answer so long after the word that a process is gone speaks against the word.
    contradiction_delay: float = 400.0
    check_interval: float = 200.0
    # While the own roster is dark, so often somebody looks whether another process stands where one ended.
    probe_interval: float = 600.0
    probers: int = 2
    remember_gone: float = 600_000.0


@dataclass(slots=True)
class _OwnRow:
    """What the own roster last said of a process, since which of its versions."""

    listed: Listed
    since: int


@dataclass(slots=True)
class _PendingUpdate:
    """Of a process: how often its words and rows are still to be told, and each observer's opinion; what of these no
    push has told yet."""

    facts: int = 0
    opinions: dict[Witness, int] = field(default_factory=dict)
    unsent_opinions: dict[Witness, None] = field(default_factory=dict)
    facts_unsent: bool = False

    @property
    def repeats_left(self) -> int:
        return max(self.facts, max(self.opinions.values(), default=0))

    def count_sent(self) -> bool:
        """Once more; True where all was told often enough."""
        self.facts = max(0, self.facts - 1)
        self.opinions = {who: left - 1 for who, left in self.opinions.items() if left > 1}
        return not self.repeats_left


@dataclass(slots=True)
class Peer:
    name: str
    address: str


class Fleet:
    def __init__(self, me: Witness, address: str, zone: str = "", seed: int = 1, limits: FleetLimits | None = None):
        self.me, self.address, self.zone, self.seed = me, address, zone, seed
        self.limits = limits or FleetLimits()
        self.view = View(self.limits.remember_gone, self.limits.opinions.opinion_lifetime)
        self.observations, self.trust = Observations(self.limits.silent_after), WitnessTrust()
        self.now, self.draws = 0.0, 0
        # The own roster: living, its name, version, the version from which on nothing was missed, its rows.
        self.live, self.source, self.version, self.complete_since = False, "", 0, 0
        self.own_rows: dict[Process, _OwnRow] = {}
        # Versions of their rosters as members tell them.
        self.versions: dict[Witness, int] = {}
        # What others' rosters say beyond the own version: told again to `_check` when that has come so far.
        self.ahead_of_own: dict[tuple[Process, Witness], int] = {}
        self.ahead_since: dict[Process, float] = {}
        self.unconfirmed: deque[tuple[float, Process]] = deque()
        self.reported: dict[str, InvokerState] = {}
        self.suspected: dict[str, str] = {}
        self.panic: tuple[str, ...] = ()
        # By address: the boot that the invoker itself told this controller.
        self.boots: dict[str, str] = {}
        # Starts as the own roster or the invoker itself told them: others' word of an earlier one does not count.
        self.born: dict[Process, float] = {}
        self.claimed_at: dict[Process, float] = {}
        self.own_opinions: dict[Process, tuple[Opinion, float]] = {}
        self.peers: list[Peer] = []
        self._pending: dict[Process, _PendingUpdate] = {}
        self._urgent: dict[Process, None] = {}
        self._push_at = math.inf
        self._changed_at, self._compared_at = -math.inf, 0.0
        self._check_at = -math.inf
        # Processes to be weighed anew; all of them where witnesses lost their credit.
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
        """Equal where two controllers hold the same of the same processes."""
        return self.view.digest

    @property
    def known(self) -> bool:
        """Something of the fleet is known, whoever told it."""
        return bool(self.reported)

    def take(self) -> tuple[list[InvokerState], list[Suspicion], list[FleetEvent]]:
        states, self._states = list(self._states.values()), {}
        suspicions, self._suspicions = self._suspicions, []
        events, self._events = self._events, []
        return states, suspicions, events

    def take_probes(self) -> list[str]:
        """Addresses to be asked whether they are ready: that is neither an inference nor an order, and no load."""
        probes, self._probes = self._probes, []
        return probes

    def course(self, process: Process) -> Course:
        record = self.view.records.get(process)
        return record.course(self.trust.believed) if record else Course.SERVING

    def current(self, address: str) -> Record | None:
        """The process that stands at the address, as far as is known: one whose own word was heard here first, then
        by the newest roster."""
        reported_boot = self.boots.get(address)
        reported_start = self.born.get((address, reported_boot or ""), -math.inf)

        def is_older(record: Record) -> bool:
            # A roster, or a note, that lags: the invoker itself has told of a process that began later.
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
        """The newest, less what a living own roster has yet to confirm."""
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
        """Tell the user what changed at the address."""
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
            self._event("started", (address, state.boot), why=f"in the place of {before.boot or 'one unnamed'}")
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

    # Chance and time

    def _draw(self, below: int) -> int:
        self.draws += 1
        return zlib.crc32(b"%d:%d:%d" % (self.seed, self.me[1], self.draws)) % below

    def _clock(self, now: float) -> float:
        """Time never goes back here, whatever clock the owner has."""
        self.now = max(self.now, now)
        return self.now

    # The record

    def _join(self, received: Record):
        """Join a record in and do what follows."""
        before, after = self.view.join(self.now, received)
        if after is before or after is None:
            return
        process = received.process
        content = before is None or before.content != after.content
        # A second witness is worth telling, against one that is left out later; a third is not.
        facts = (
            content
            or before is None
            or (len(before.claims) < min(2, len(after.claims)) or len(before.listings) < min(2, len(after.listings)))
        )
        if content:
            self._changed_at = self.now
            if after.claims and (before is None or after.course() is not before.course()):
                self.claimed_at[process] = self.now
        if content or before is None or after.opinions != before.opinions:
            self._to_assess[process] = None
        opinions = self._opinions_to_send(before, after)
        if facts or opinions:
            pending = self._pending.setdefault(process, _PendingUpdate())
            repeats = math.ceil(self.limits.repeats_per_doubling * math.log2(len(self.peers) + 2))
            if facts:
                pending.facts, pending.facts_unsent = repeats, True
            pending.opinions.update(dict.fromkeys(opinions, repeats))
            pending.unsent_opinions.update(opinions)
            if content or before is None or _opinion_kinds(after) != _opinion_kinds(before):
                self._urgent[process] = None
                self._push_at = min(self._push_at, self.now + self.limits.push_delay)
        self._report_address(process[0])

    def _opinions_to_send(self, before: Record | None, after: Record) -> dict[Witness, None]:
        """Opinions that are new and that others have a use for: where enough of a zone say so already, one more changes
        nobody's mind, and one that its owner has had the time to say again is as old as it looks. The same one heard by
        a quicker way, of an older moment, is no news: when it was, each telling of one set off the next."""
        held = before.opinions if before is not None else {}
        fresh = self.now - self.limits.opinion_repeat_interval

        def count_agreeing(who: Witness, one: Opinion) -> int:
            return sum(
                other.zone == one.zone and (other.kind in BAD_KINDS) is (one.kind in BAD_KINDS) and other.at > fresh
                for witness, other in held.items()
                if witness != who
            )

        return {
            who: None
            for who, one in after.opinions.items()
            if (who not in held or one.count > held[who].count)
            and one.at > fresh
            and count_agreeing(who, one) < self.limits.enough_observers
        }

    def _claim_listing(self, process: Process, listing: Listing, born: float | None):
        """State a row under the own name, if it is not held so on the word of two already."""
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
        """A fact that this controller was told or saw. Two witnesses are enough."""
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
        """The own roster told its whole list, or changes. A version that goes back is named, and what it says of
        rows that others know newer does not count; that a process drains or is gone counts whenever it is heard."""
        self._clock(now)
        back = self.source == source and version < self.version
        if back:
            self._event("back", why=f"{source} went from version {self.version} to {version}")
        elif (newer := self._confirmed_version()) > version and whole:
            self._event("behind", why=f"{source} says version {version}, two others have {newer}")
            back = True
        if not self.live or whole:
            self.complete_since = version
        if source != self.source:
            self.own_rows.clear()
        self.live, self.source, self.version = True, source, version
        named: set[Process] = set()
        for row in rows:
            named.add(row.process)
            self._row(row, version, back)
        for process in [one for one in self.own_rows if one not in named] if whole else ():
            del self.own_rows[process]
        if whole and not back:
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
        """What two members' rosters have reached: one that lies about its version alone moves nothing."""
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

    def _row(self, row: RosterRow, version: int, back: bool):
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
        if not back or newest is None:
            # A drain of a named process is a fact beside the row; of one without a boot the row is all there is.
            shown = listed if not boot or listed is Listed.NOT else Listed.IN_SERVICE
            born = self.now - row.age if row.age is not None else None
            if born is not None:
                self.born.setdefault(process, born)
            self._claim_listing(
                process, Listing(version, self.source, shown, row.zone, row.kind, row.cell, row.size), born
            )
        if not back and not row.gone and self.course(process) is not Course.GONE:
            self._end_predecessors(process, version)

    def _end_predecessors(self, process: Process, version: int):
        """A newer row names another process at the address: those before it are gone."""
        for record in self.view.at(process[0]):
            if record.process == process or record.course(self.trust.believed) is Course.GONE:
                continue
            listing = record.listing(self.trust.believed)
            if listing is None or listing.source == self.source and listing.version < version:
                self._claim_course(record.process, CourseClaim(Course.GONE, version, self.source))

    def roster_lost(self, now: float) -> None:
        """The connection to the own roster broke: until it tells its whole list again others' word counts at once."""
        self._clock(now)
        if self.live:
            self.live = False
            self.ahead_since.clear()
            for address in {process[0] for process, _ in self.ahead_of_own}:
                self._report_address(address)
            self.ahead_of_own.clear()

    # Own eyes

    def sent(self, now: float, number: int, address: str) -> None:
        self.observations.sent(self._clock(now), number, address)

    def ended(
        self, now: float, number: int, outcome: str, boot: str = "", draining: bool = False, age: float | None = None
    ) -> None:
        """An own forward ended; `boot`, `draining` and `age` as the invoker itself told with it, if it did."""
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
            return  # a roster that names no processes: its row is all there is to go by
        before, self.boots[address] = self.boots.get(address), boot
        if before != boot and self.course(process) is not Course.GONE:
            if age is not None:
                self.born.setdefault(process, self.now - age)
            old = [record for record in self.view.at(address) if record.process != process]
            listing = max((one for record in old if (one := record.listing(self.trust.believed))), default=None)
            if process not in self.view.records and listing is not None:
                # No roster named it yet: it stands where the one before it stood, of the same kind.
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
        """An invoker answered a probe and told which process it is."""
        self._clock(now)
        if boot:
            self._process_seen(address, boot, draining, age)

    def _contradict_claims(self, address: str, boot: str, draining: bool):
        """Own answers outrank all that is told: who said that this process is gone, or drains, was wrong."""
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
                continue  # which of them answered is not known
            for witness, claim in list(record.claims.items()):
                wrong = claim.course is Course.GONE or boot and not draining and not claim.source
                if witness != self.me and wrong:
                    self._record_result(
                        witness, process, f"said {claim.course.name}", False, "its answers say otherwise"
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
        """Say what is seen of the process, if it is bad or takes back what was."""
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
        fresh = self.now - self.limits.opinion_repeat_interval
        return (
            sum(
                one.kind in BAD_KINDS
                and one.zone == self.zone
                and one.at > fresh
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

    # Others

    def set_peers(self, peers: list[Peer]) -> None:
        """The other members that are there."""
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
            return  # opinions of a process that nobody told of: they come with its row

        def without_own(claims: dict, held: dict) -> dict:
            # Nobody else speaks under this controller's name.
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
        # Opinions of one that is not believed go no further: they change all the time and would flood the group. Its
        # words and rows do, or views would differ for good.
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
        """Others say that the invoker does not answer; this controller has just heard from it."""
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
                        witness, process, f"{opinion.kind} {opinion.count // 4}", False, "it was just heard from here"
                    )
                record = self.view.records[process]
                stated, at = self.own_opinions.get(process, (None, -math.inf))
                well = sum(one.kind == "well" for one in record.opinions.values())
                bad = sum(one.kind in BAD_KINDS for one in record.opinions.values())
                # One observer's word sets nobody aside: nothing is to be said against it.
                if (
                    well < 3
                    and bad >= self.limits.opinions.observers
                    and self.now - at >= self.limits.opinion_min_interval
                ):
                    self._state_opinion(process, "well")

    def _check_claims(self, process: Process, witness: Witness):
        """What a witness says of a roster's version that the own one has seen too."""
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
                    continue  # all that have a roster repeat it: no credit comes of that
                right = own is not None or listed is Listed.NOT or record.course() is Course.GONE
                seen = own is None or own.since > version or (own.listed is Listed.NOT) == (listed is Listed.NOT)
                right = right and seen
            else:
                right = own is None or own.since > version or own.listed is not Listed.IN_SERVICE
            self._record_result(witness, process, f"{version}", right, f"{source} {version} says otherwise here")

    def _correct(self, process: Process):
        """An older row that won for want of this controller's newer one."""
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
        """When `tick` is to be called next at the latest."""
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
        """Nothing is sent to a process that drains or is gone, so nobody would meet the next one while no roster names
        it. Few ask each address, drawn alike by all, whatever their number."""
        names = [peer.name for peer in self.peers] + [self.me[0]]
        for address, state in self.reported.items():
            if state.status == "in service":
                continue
            probers = sorted(names, key=lambda name: zlib.crc32(f"{name}\0{address}".encode()))[: self.limits.probers]
            if self.me[0] in probers:
                self._probes.append(address)

    def _repeat_opinions(self, now: float):
        """A bad opinion that still holds is said again before it lapses."""
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
                    why=f"more than {max_share} of zone {zone or '-'} would be left aside: all of it is in again",
                )
        if self.panic and not found.panic:
            self._event("calm", why="no zone is doubted as a whole any more")
        self.panic = found.panic

    def _recently_replied(self, process: Process) -> bool:
        return self.observations.replied_since(process[0], self.now - self.limits.own_fresh)

    def _drop_forgotten(self):
        """What is kept of processes that are forgotten."""
        for kept in (self.claimed_at, self.own_opinions, self.ahead_since, self.born):
            for process in [one for one in kept if one not in self.view.records]:
                del kept[process]
        for address in [one for one in self.reported if one not in self.view.by_address]:
            del self.reported[address]
            self.boots.pop(address, None)
            self.observations.forget(address)

    # Saying

    def _message(self, kind: str, records: tuple[Record, ...] = (), **more) -> FleetMessage:
        return FleetMessage(kind, self.me, self.address, self.digest, self.version if self.live else 0, records, **more)

    def piggyback_message(self, now: float) -> FleetMessage:
        """What rides on a message of the group: the digest, and the news told least often."""
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
        """What is new of it, and nothing that all have: whole rows made nine tenths of the bytes at a cold start."""
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
        """What this controller has in the told buckets beyond what it was told of them."""
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
        """All that is worth keeping over a restart; opinions are not."""
        return [replace(record, opinions={}) for record in self.view.records.values()]

    def restore(self, now: float, records: Iterable[Record]) -> None:
        """One more source, as old as it is: what is newer wins at all."""
        self._clock(now)
        for record in records:
            self._learn(replace(record, opinions={}))


def _opinion_kinds(record: Record) -> set[tuple[Witness, str]]:
    return {(witness, opinion.kind) for witness, opinion in record.opinions.items()}
