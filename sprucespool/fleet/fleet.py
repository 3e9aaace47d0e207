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

from sprucespool.fleet.credit import Credit
from sprucespool.fleet.eyes import Eyes
from sprucespool.fleet.notes import Doubt, Happened, Note, Place, Send, Told
from sprucespool.fleet.opinions import BAD, OpinionLimits, Weighing
from sprucespool.fleet.records import Course, Listed, Listing, Opinion, Process, Record, Witness, Word, adds
from sprucespool.fleet.view import View

STATUS = {Listed.IN_SERVICE: "in service", Listed.DRAINING: "draining", Listed.NOT: "gone"}


@dataclass(frozen=True, slots=True)
class FleetLimits:
    """Times in ms."""

    opinions: OpinionLimits = field(default_factory=OpinionLimits)
    silent_after: float = 2_000.0
    # An own answer so young outranks what others say.
    own_fresh: float = 3_000.0
    # The own opinion of an invoker changes no more often, and is said again while it holds.
    opinion_every: float = 1_000.0
    opinion_again: float = 6_000.0
    # So many observers of a zone are enough: hundreds that say the same would tell each other of nothing else.
    enough: int = 3
    # News is sent at once, but what comes within so long goes together; to so many.
    gather: float = 60.0
    push_to: int = 3
    push_most: int = 64
    # How often news rides besides, for each doubling of the group, and how much at once.
    spread: float = 0.5
    cargo_most: int = 12
    # Views that differ for so long are compared, no more often than that.
    differ_for: float = 700.0
    # While news goes on coming views differ all the time; what was missed of it is found by a look so often.
    storm_every: float = 2_000.0
    page: int = 48
    # What another's roster is ahead of a living own one waits so long for the own one's word.
    wait_for_own: float = 3_000.0
    # An answer so long after the word that a process is gone speaks against the word.
    overrule_after: float = 400.0
    look_every: float = 200.0
    # While the own roster is dark, so often somebody looks whether another process stands where one ended.
    probe_every: float = 600.0
    probers: int = 2
    remember: float = 600_000.0


@dataclass(slots=True)
class _Own:
    """What the own roster last said of a process, since which of its versions."""

    listed: Listed
    since: int


@dataclass(slots=True)
class _News:
    """Of a process: how often its words and rows are still to be told, and each observer's opinion; what of these no
    push has told yet."""

    facts: int = 0
    opinions: dict[Witness, int] = field(default_factory=dict)
    unsent: dict[Witness, None] = field(default_factory=dict)
    facts_unsent: bool = False

    @property
    def left(self) -> int:
        return max(self.facts, max(self.opinions.values(), default=0))

    def told(self) -> bool:
        """Once more; True where all was told often enough."""
        self.facts = max(0, self.facts - 1)
        self.opinions = {who: left - 1 for who, left in self.opinions.items() if left > 1}
        return not self.left


@dataclass(slots=True)
class Peer:
    name: str
    address: str


class Fleet:
    def __init__(self, me: Witness, address: str, zone: str = "", seed: int = 1, limits: FleetLimits | None = None):
        self.me, self.address, self.zone, self.seed = me, address, zone, seed
        self.limits = limits or FleetLimits()
        self.view = View(self.limits.remember, self.limits.opinions.fresh)
        self.eyes, self.credit = Eyes(self.limits.silent_after), Credit()
        self.now, self.drawn = 0.0, 0
        # The own roster: living, its name, version, the version from which on nothing was missed, its rows.
        self.live, self.source, self.version, self.whole_from = False, "", 0, 0
        self.own: dict[Process, _Own] = {}
        # Versions of their rosters as members tell them.
        self.versions: dict[Witness, int] = {}
        # What others' rosters say beyond the own version: told again to `_check` when that has come so far.
        self.ahead: dict[tuple[Process, Witness], int] = {}
        self.ahead_since: dict[Process, float] = {}
        self.unconfirmed: deque[tuple[float, Process]] = deque()
        self.told: dict[str, Place] = {}
        self.doubted: dict[str, str] = {}
        self.panic: tuple[str, ...] = ()
        # By address: the boot that the invoker itself told this controller.
        self.boots: dict[str, str] = {}
        # Starts as the own roster or the invoker itself told them: others' word of an earlier one does not count.
        self.born: dict[Process, float] = {}
        self.words_at: dict[Process, float] = {}
        self.said: dict[Process, tuple[Opinion, float]] = {}
        self.peers: list[Peer] = []
        self._news: dict[Process, _News] = {}
        self._hurry: dict[Process, None] = {}
        self._push_at = math.inf
        self._changed_at, self._compared_at = -math.inf, 0.0
        self._look_at = -math.inf
        # Processes to be weighed anew; all of them where witnesses lost their credit.
        self.weighing = Weighing(self.limits.opinions)
        self._weigh_these: dict[Process, None] = {}
        self._weigh_all = False
        self._probes: list[str] = []
        self._probe_at = -math.inf
        self._places: dict[str, Place] = {}
        self._doubts: list[Doubt] = []
        self._events: list[Happened] = []

    # Reading

    @property
    def digest(self) -> int:
        """Equal where two controllers hold the same of the same processes."""
        return self.view.digest

    @property
    def known(self) -> bool:
        """Something of the fleet is known, whoever told it."""
        return bool(self.told)

    def take(self) -> tuple[list[Place], list[Doubt], list[Happened]]:
        places, self._places = list(self._places.values()), {}
        doubts, self._doubts = self._doubts, []
        events, self._events = self._events, []
        return places, doubts, events

    def take_probes(self) -> list[str]:
        """Addresses to be asked whether they are ready: that is neither an inference nor an order, and no load."""
        probes, self._probes = self._probes, []
        return probes

    def course(self, process: Process) -> Course:
        record = self.view.records.get(process)
        return record.course(self.credit.believed) if record else Course.SERVING

    def current(self, address: str) -> Record | None:
        """The process that stands at the address, as far as is known: one whose own word was heard here first, then
        by the newest roster."""
        told = self.boots.get(address)
        met = self.born.get((address, told or ""), -math.inf)

        def before(record: Record) -> bool:
            # A roster, or a note, that lags: the invoker itself has told of a process that began later.
            born = self.born.get(record.process, record.born)
            return record.process[1] not in ("", told or "") and born is not None and born < met

        found = [
            record
            for record in self.view.at(address)
            if record.course(self.credit.believed) is not Course.GONE and not before(record)
        ]

        def rank(record: Record) -> tuple:
            listing = self._listing(record)
            return (
                told == record.process[1],
                listing is not None and listing.listed is not Listed.NOT,
                listing.version if listing else -1,
                record.process,
            )

        return max(found, key=rank, default=None)

    def _listing(self, record: Record) -> Listing | None:
        """The newest, less what a living own roster has yet to confirm."""
        listing = record.listing(self.credit.believed)
        if listing is None or not self.live or listing.source != self.source or listing.version <= self.version:
            return listing
        since = self.ahead_since.get(record.process)
        if since is None:
            since = self.ahead_since[record.process] = self.now
            self.unconfirmed.append((self.now + self.limits.wait_for_own, record.process))
        if self.now - since >= self.limits.wait_for_own:
            return listing
        return max(
            (
                one
                for witness, one in record.listings.items()
                if self.credit.believed(witness) and one.version <= self.version
            ),
            default=None,
        )

    def _place(self, address: str) -> Place | None:
        record = self.current(address)
        if record is None:
            return None
        listing = self._listing(record)
        if listing is None:
            return None
        status = STATUS[listing.listed]
        if record.course(self.credit.believed) is Course.DRAINING and status != "gone":
            status = "draining"
        return Place(
            address,
            record.process[1],
            status,
            listing.zone,
            listing.kind,
            listing.cell,
            listing.size,
            self.born.get(record.process, record.born),
        )

    def _settle(self, address: str):
        """Tell the user what changed at the address."""
        place, before = self._place(address), self.told.get(address)
        if place is None:
            if before is None or before.status == "gone":
                return
            place = replace(before, status="gone")
        if before is not None and replace(place, born=before.born) == before:
            return
        if before is None and place.status == "gone":
            return
        self.told[address] = self._places[address] = place
        if before is not None and before.boot != place.boot:
            self._happened("started", (address, place.boot), why=f"in the place of {before.boot or 'one unnamed'}")
        elif before is None or place.status == "in service":
            self._happened("started", (address, place.boot))
        if place.status == "draining":
            self._happened("draining", (address, place.boot), self._by((address, place.boot)))
        elif place.status == "gone":
            self._happened("gone", (address, place.boot), self._by((address, place.boot)))

    def _by(self, process: Process) -> tuple[str, ...]:
        record = self.view.records.get(process)
        return tuple(sorted({witness[0] for witness in record.words})) if record else ()

    def _happened(self, kind: str, process: Process | None = None, by: tuple[str, ...] = (), why: str = ""):
        self._events.append(Happened(kind, self.now, process, by, why))

    # Chance and time

    def _chance(self, below: int) -> int:
        self.drawn += 1
        return zlib.crc32(b"%d:%d:%d" % (self.seed, self.me[1], self.drawn)) % below

    def _clock(self, now: float) -> float:
        """Time never goes back here, whatever clock the owner has."""
        self.now = max(self.now, now)
        return self.now

    # The record

    def _join(self, told: Record):
        """Join a record in and do what follows."""
        before, after = self.view.join(self.now, told)
        if after is before or after is None:
            return
        process = told.process
        content = before is None or before.content != after.content
        # A second witness is worth telling, against one that is left out later; a third is not.
        facts = (
            content
            or before is None
            or (len(before.words) < min(2, len(after.words)) or len(before.listings) < min(2, len(after.listings)))
        )
        if content:
            self._changed_at = self.now
            if after.words and (before is None or after.course() is not before.course()):
                self.words_at[process] = self.now
        if content or before is None or after.opinions != before.opinions:
            self._weigh_these[process] = None
        opinions = self._worth_telling(before, after)
        if facts or opinions:
            news = self._news.setdefault(process, _News())
            often = math.ceil(self.limits.spread * math.log2(len(self.peers) + 2))
            if facts:
                news.facts, news.facts_unsent = often, True
            news.opinions.update(dict.fromkeys(opinions, often))
            news.unsent.update(opinions)
            if content or before is None or _kinds(after) != _kinds(before):
                self._hurry[process] = None
                self._push_at = min(self._push_at, self.now + self.limits.gather)
        self._settle(process[0])

    def _worth_telling(self, before: Record | None, after: Record) -> dict[Witness, None]:
        """Opinions that are new and that others have a use for: where enough of a zone say so already, one more changes
        nobody's mind, and one that its owner has had the time to say again is as old as it looks. The same one heard by
        a quicker way, of an older moment, is no news: when it was, each telling of one set off the next."""
        held = before.opinions if before is not None else {}
        fresh = self.now - self.limits.opinion_again

        def alike(who: Witness, one: Opinion) -> int:
            return sum(
                other.zone == one.zone and (other.kind in BAD) is (one.kind in BAD) and other.at > fresh
                for witness, other in held.items()
                if witness != who
            )

        return {
            who: None
            for who, one in after.opinions.items()
            if (who not in held or one.count > held[who].count)
            and one.at > fresh
            and alike(who, one) < self.limits.enough
        }

    def _say_listing(self, process: Process, listing: Listing, born: float | None):
        """State a row under the own name, if it is not held so on the word of two already."""
        record = self.view.records.get(process)
        newest = record.listing(self.credit.believed) if record else None
        if newest is not None and record is not None:
            if (
                newest.version == listing.version
                and newest.content != listing.content
                and newest.source == (listing.source)
            ):
                others = tuple(sorted(witness[0] for witness, one in record.listings.items() if one == newest))
                self._happened(
                    "contradiction",
                    process,
                    others,
                    f"{listing.source} {listing.version} says {listing.listed.name} here, {newest.listed.name} there",
                )
            same = sum(
                one.content == listing.content
                for witness, one in record.listings.items()
                if self.credit.believed(witness)
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

    def _say_word(self, process: Process, word: Word):
        """A fact that this controller was told or saw. Two witnesses are enough."""
        record = self.view.records.get(process)
        if (
            record is not None
            and sum(one.course >= word.course for witness, one in record.words.items() if self.credit.believed(witness))
            >= 2
        ):
            return
        if process[1]:
            self._join(Record(process, words={self.me: word}))

    # The own roster

    def roster(self, now: float, whole: bool, source: str, version: int, rows: Iterable[Told]) -> None:
        """The own roster told its whole list, or changes. A version that goes back is named, and what it says of
        rows that others know newer does not count; that a process drains or is gone counts whenever it is heard."""
        self._clock(now)
        back = self.source == source and version < self.version
        if back:
            self._happened("back", why=f"{source} went from version {self.version} to {version}")
        elif (newer := self._second_version()) > version and whole:
            self._happened("behind", why=f"{source} says version {version}, two others have {newer}")
            back = True
        if not self.live or whole:
            self.whole_from = version
        if source != self.source:
            self.own.clear()
        self.live, self.source, self.version = True, source, version
        named: set[Process] = set()
        for row in rows:
            named.add(row.process)
            self._row(row, version, back)
        for process in [one for one in self.own if one not in named] if whole else ():
            del self.own[process]
        if whole and not back:
            for record in list(self.view.records.values()):
                listing = record.listing(self.credit.believed)
                if (
                    record.process not in named
                    and listing is not None
                    and listing.source == source
                    and listing.listed is not Listed.NOT
                    and listing.version < version
                    and record.course() is not Course.GONE
                ):
                    self._say_listing(record.process, replace(listing, version=version, listed=Listed.NOT), None)
        for (process, witness), wanted in list(self.ahead.items()):
            if wanted <= version:
                del self.ahead[process, witness]
                self.ahead_since.pop(process, None)
                self._check(process, witness)
        for address in {process[0] for process in self.ahead_since}:
            self._settle(address)

    def _second_version(self) -> int:
        """What two members' rosters have reached: one that lies about its version alone moves nothing."""
        names = {peer.name for peer in self.peers}
        held = sorted(
            (
                version
                for witness, version in self.versions.items()
                if witness[0] in names and self.credit.believed(witness)
            ),
            reverse=True,
        )
        return held[1] if len(held) > 1 else 0

    def _row(self, row: Told, version: int, back: bool):
        process, listed = row.process, Listed.NOT if row.gone else row.listed
        address, boot = process
        before = self.own.get(process)
        if before is None or before.listed is not listed:
            self.own[process] = _Own(listed, version)
        for other in self.view.by_address.get(address, ()) if before is None else ():
            if other != boot:
                self.own.pop((address, other), None)
        record = self.view.records.get(process)
        newest = record.listing(self.credit.believed) if record else None
        if row.gone:
            self._say_word(process, Word(Course.GONE, version, self.source))
        elif listed is Listed.DRAINING:
            self._say_word(process, Word(Course.DRAINING, version, self.source))
        if not back or newest is None:
            # A drain of a named process is a fact beside the row; of one without a boot the row is all there is.
            shown = listed if not boot or listed is Listed.NOT else Listed.IN_SERVICE
            born = self.now - row.age if row.age is not None else None
            if born is not None:
                self.born.setdefault(process, born)
            self._say_listing(
                process, Listing(version, self.source, shown, row.zone, row.kind, row.cell, row.size), born
            )
        if not back and not row.gone and self.course(process) is not Course.GONE:
            self._succeeds(process, version)

    def _succeeds(self, process: Process, version: int):
        """A newer row names another process at the address: those before it are gone."""
        for record in self.view.at(process[0]):
            if record.process == process or record.course(self.credit.believed) is Course.GONE:
                continue
            listing = record.listing(self.credit.believed)
            if listing is None or listing.source == self.source and listing.version < version:
                self._say_word(record.process, Word(Course.GONE, version, self.source))

    def roster_lost(self, now: float) -> None:
        """The connection to the own roster broke: until it tells its whole list again others' word counts at once."""
        self._clock(now)
        if self.live:
            self.live = False
            self.ahead_since.clear()
            for address in {process[0] for process, _ in self.ahead}:
                self._settle(address)
            self.ahead.clear()

    # Own eyes

    def sent(self, now: float, number: int, address: str) -> None:
        self.eyes.sent(self._clock(now), number, address)

    def ended(
        self, now: float, number: int, outcome: str, boot: str = "", draining: bool = False, age: float | None = None
    ) -> None:
        """An own forward ended; `boot`, `draining` and `age` as the invoker itself told with it, if it did."""
        now = self._clock(now)
        address = self.eyes.ended(now, number, outcome)
        if address is None:
            return
        if boot:
            self._told_boot(address, boot, draining, age)
        record = self.current(address)
        if record is not None:
            self._opine(record, self.eyes.sights[address].kind)
        if outcome in ("returned", "error", "full", "miss"):
            self._overrule(address, boot, draining)
            for name in self.view.by_address.get(address, ()):
                if (address, name) in self.weighing.out:
                    self._weigh_these[address, name] = None

    def _told_boot(self, address: str, boot: str, draining: bool, age: float | None):
        process, unnamed = (address, boot), self.view.records.get((address, ""))
        if unnamed is not None and (listing := self._listing(unnamed)) is not None and listing.listed is not Listed.NOT:
            return  # a roster that names no processes: its row is all there is to go by
        before, self.boots[address] = self.boots.get(address), boot
        if before != boot and self.course(process) is not Course.GONE:
            if age is not None:
                self.born.setdefault(process, self.now - age)
            old = [record for record in self.view.at(address) if record.process != process]
            listing = max((one for record in old if (one := record.listing(self.credit.believed))), default=None)
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
                if record.course(self.credit.believed) is not Course.GONE:
                    self._say_word(record.process, Word(Course.GONE))
            self._settle(address)
        if draining:
            self._say_word(process, Word(Course.DRAINING))

    def probed(self, now: float, address: str, boot: str, draining: bool, age: float | None) -> None:
        """An invoker answered a probe and told which process it is."""
        self._clock(now)
        if boot:
            self._told_boot(address, boot, draining, age)

    def _overrule(self, address: str, boot: str, draining: bool):
        """Own answers outrank all that is told: who said that this process is gone, or drains, was wrong."""
        for record in self.view.at(address):
            process = record.process
            if (
                not record.words
                or boot
                and process[1] != boot
                or (self.now - self.words_at.get(process, self.now) < self.limits.overrule_after)
            ):
                continue
            if not boot and len(self.view.at(address)) > 1:
                continue  # which of them answered is not known
            for witness, word in list(record.words.items()):
                wrong = word.course is Course.GONE or boot and not draining and not word.source
                if witness != self.me and wrong:
                    self._judged(witness, process, f"said {word.course.name}", False, "its answers say otherwise")

    def _judged(self, witness: Witness, process: Process, matter: str, right: bool, why: str):
        if not self.credit.believed(witness):
            return
        if self.credit.judge(witness, process, matter, right):
            self._happened("distrusted", process, (witness[0],), why)
            self._weigh_all = True
            for address in sorted(self.view.by_address):
                self._settle(address)

    def _opine(self, record: Record, kind: str):
        """Say what is seen of the process, if it is bad or takes back what was."""
        now, process = self.now, record.process
        said, at = self.said.get(process, (None, -math.inf))
        bad = kind in BAD
        if said is None and not bad or not kind:
            return
        changed = said is None or said.kind != kind
        if (
            not changed
            and (not bad or now - at < self.limits.opinion_again)
            or (changed and now - at < self.limits.opinion_every)
        ):
            return
        if not bad or not self._enough(record):
            self._speak(process, kind)

    def _enough(self, record: Record) -> bool:
        fresh = self.now - self.limits.opinion_again
        return (
            sum(
                one.kind in BAD
                and one.zone == self.zone
                and one.at > fresh
                and who != self.me
                and self.credit.believed(who)
                for who, one in record.opinions.items()
            )
            >= self.limits.enough
        )

    def _speak(self, process: Process, kind: str):
        said = self.said.get(process)
        opinion = Opinion(said[0].count + 1 if said else 1, kind, self.zone, self.now)
        self.said[process] = opinion, self.now
        self._join(Record(process, opinions={self.me: opinion}))

    # Others

    def set_peers(self, peers: list[Peer]) -> None:
        """The other members that are there."""
        self.peers = peers
        names = {peer.name for peer in peers}
        self.versions = {witness: one for witness, one in self.versions.items() if witness[0] in names}

    def heard(self, now: float, note: Note) -> list[Send]:
        now = self._clock(now)
        if note.sender == self.me:
            return []
        if note.version:
            self.versions[note.sender] = note.version
        empty = not self.view.records
        for record in note.records:
            self._learn(record)
        if note.kind == "marks":
            return self._differing(note)
        if note.kind == "rows":
            return self._beyond(note)
        quiet = now - self._changed_at >= self.limits.differ_for and not self._hurry
        if note.digest != self.digest and (empty or quiet or now - self._compared_at >= self.limits.storm_every):
            return self._compare(note.address, empty)
        return []

    def _learn(self, told: Record):
        mine = self.view.records.get(told.process)
        if mine is not None and not adds(mine, told):
            return
        if mine is None and not (told.words or told.listings):
            return  # opinions of a process that nobody told of: they come with its row

        def others(said: dict, held: dict) -> dict:
            # Nobody else speaks under this controller's name.
            if self.me in said and said[self.me] != held.get(self.me):
                said = {witness: one for witness, one in said.items() if witness != self.me}
            return said

        told = replace(
            told,
            words=others(told.words, mine.words if mine else {}),
            listings=others(told.listings, mine.listings if mine else {}),
            opinions={
                who: one
                for who, one in others(told.opinions, mine.opinions if mine else {}).items()
                if self.credit.believed(who)
            },
        )
        # Opinions of one that is not believed go no further: they change all the time and would flood the group. Its
        # words and rows do, or views would differ for good.
        if mine is not None and not adds(mine, told):
            return
        self._join(told)
        process = told.process
        for witness in {**told.words, **told.listings}:
            if witness != self.me:
                self._check(process, witness)
        if process[0] in self.told and self.told[process[0]].boot == process[1]:
            self._contradict(process, told)
        if process in self.own and self.live:
            self._correct(process)

    def _contradict(self, process: Process, told: Record):
        """Others say that the invoker does not answer; this controller has just heard from it."""
        heard = self.eyes.sights[process[0]].heard if process[0] in self.eyes.sights else -math.inf
        for witness, opinion in told.opinions.items():
            if witness == self.me or opinion.kind not in BAD or heard <= opinion.at:
                continue
            if self.now - heard < self.limits.own_fresh:
                if opinion.zone == self.zone:
                    self._judged(
                        witness, process, f"{opinion.kind} {opinion.count // 4}", False, "it was just heard from here"
                    )
                record = self.view.records[process]
                said, at = self.said.get(process, (None, -math.inf))
                well = sum(one.kind == "well" for one in record.opinions.values())
                bad = sum(one.kind in BAD for one in record.opinions.values())
                # One observer's word sets nobody aside: nothing is to be said against it.
                if well < 3 and bad >= self.limits.opinions.observers and self.now - at >= self.limits.opinion_every:
                    self._speak(process, "well")

    def _check(self, process: Process, witness: Witness):
        """What a witness says of a roster's version that the own one has seen too."""
        record = self.view.records.get(process)
        if record is None or not self.live:
            return
        listing, word = record.listings.get(witness), record.words.get(witness)
        own = self.own.get(process)
        for version, source, listed in (
            (listing.version, listing.source, listing.listed) if listing else (0, "", None),
            (word.version, word.source, word.course) if word else (0, "", None),
        ):
            if source != self.source or listed is None:
                continue
            if version > self.version:
                if len(self.ahead) < 4_096:
                    self.ahead[process, witness] = version
                continue
            if version < self.whole_from:
                continue
            if isinstance(listed, Listed):
                if own is not None and own.listed is listed:
                    continue  # all that have a roster repeat it: no credit comes of that
                right = own is not None or listed is Listed.NOT or record.course() is Course.GONE
                seen = own is None or own.since > version or (own.listed is Listed.NOT) == (listed is Listed.NOT)
                right = right and seen
            else:
                right = own is None or own.since > version or own.listed is not Listed.IN_SERVICE
            self._judged(witness, process, f"{version}", right, f"{source} {version} says otherwise here")

    def _correct(self, process: Process):
        """An older row that won for want of this controller's newer one."""
        own, record = self.own[process], self.view.records[process]
        newest = record.listing(self.credit.believed)
        if (
            newest is not None
            and newest.source == self.source
            and newest.version < self.version
            and newest.listed is Listed.NOT
            and own.listed is not Listed.NOT
            and record.course(self.credit.believed) is not Course.GONE
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
        return min(self._push_at, self._look_at)

    def tick(self, now: float) -> list[Send]:
        now, limits = self._clock(now), self.limits
        if now >= self._look_at:
            self._look_at = now + limits.look_every
            for address in self.eyes.look(now):
                record = self.current(address)
                if record is not None:
                    self._opine(record, "silent")
            self._again(now)
            for process in self.view.sweep(now):
                self._weigh_these[process] = None
                if process not in self.view.records:
                    self.said.pop(process, None)
            while self.unconfirmed and self.unconfirmed[0][0] <= now:
                self._settle(self.unconfirmed.popleft()[1][0])
            if len(self.born) + len(self.words_at) > 4 * len(self.view.records) + 64:
                self._shrink()
        if not self.live and now >= self._probe_at:
            self._probe_at = now + limits.probe_every
            self._look_for_successors()
        if self._weigh_these or self._weigh_all:
            self._weigh(now)
        said: list[Send] = []
        if now >= self._push_at:
            said = self._push()
        return said

    def _look_for_successors(self):
        """Nothing is sent to a process that drains or is gone, so nobody would meet the next one while no roster names
        it. Few ask each address, drawn alike by all, whatever their number."""
        names = [peer.name for peer in self.peers] + [self.me[0]]
        for address, place in self.told.items():
            if place.status == "in service":
                continue
            turn = sorted(names, key=lambda name: zlib.crc32(f"{name}\0{address}".encode()))[: self.limits.probers]
            if self.me[0] in turn:
                self._probes.append(address)

    def _again(self, now: float):
        """A bad opinion that still holds is said again before it lapses."""
        for process, (opinion, at) in list(self.said.items()):
            if now - at < self.limits.opinion_again:
                continue
            sight = self.eyes.sights.get(process[0])
            record = self.view.records.get(process)
            if (
                opinion.kind in BAD
                and sight is not None
                and sight.kind == opinion.kind
                and sight.out
                and (record is not None and not self._enough(record))
            ):
                self._speak(process, opinion.kind)
            elif now - at >= self.limits.opinions.fresh:
                del self.said[process]

    def _weigh(self, now: float):
        changed, self._weigh_these = self._weigh_these, {}
        found = self.weighing.look(
            now, self.view, self.zone, self._own_speaks, None if self._weigh_all else changed, self.credit.believed
        )
        self._weigh_all = False
        out = {
            process[0]: why
            for process, why in found.out.items()
            if process[0] in self.told and self.told[process[0]].boot == process[1]
        }
        for address, why in out.items():
            if address not in self.doubted:
                self._doubts.append(Doubt(address, True, why))
                self._happened("unreachable", (address, self.told[address].boot), why=why)
        for address in self.doubted:
            if address not in out:
                self._doubts.append(Doubt(address, False))
                self._happened("reachable", (address, self.told[address].boot if address in self.told else ""))
        self.doubted = out
        for zone in found.panic:
            if zone not in self.panic:
                part = f"{self.limits.opinions.most_out:.0%}"
                self._happened(
                    "panic", why=f"more than {part} of zone {zone or '-'} would be left aside: all of it is in again"
                )
        if self.panic and not found.panic:
            self._happened("calm", why="no zone is doubted as a whole any more")
        self.panic = found.panic

    def _own_speaks(self, process: Process) -> bool:
        return self.eyes.heard_since(process[0], self.now - self.limits.own_fresh)

    def _shrink(self):
        """What is kept of processes that are forgotten."""
        for kept in (self.words_at, self.said, self.ahead_since, self.born):
            for process in [one for one in kept if one not in self.view.records]:
                del kept[process]
        for address in [one for one in self.told if one not in self.view.by_address]:
            del self.told[address]
            self.boots.pop(address, None)
            self.eyes.forget(address)

    # Saying

    def _note(self, kind: str, records: tuple[Record, ...] = (), **more) -> Note:
        return Note(kind, self.me, self.address, self.digest, self.version if self.live else 0, records, **more)

    def cargo(self, now: float) -> Note:
        """What rides on a message of the group: the digest, and the news told least often."""
        self._clock(now)
        if not self._news:
            return self._note("cargo")
        picked = sorted(self._news, key=lambda process: (-self._news[process].left, process))[: self.limits.cargo_most]
        rows = []
        for process in picked:
            news = self._news[process]
            rows += self._told_of(process, bool(news.facts), news.opinions)
            if news.told() or process not in self.view.records:
                del self._news[process]
        return self._note("cargo", tuple(rows))

    def _told_of(self, process: Process, facts: bool, whose: Iterable[Witness]) -> list[Record]:
        """What is new of it, and nothing that all have: whole rows made nine tenths of the bytes at a cold start."""
        record = self.view.records.get(process)
        if record is None:
            return []
        opinions = {who: record.opinions[who] for who in whose if who in record.opinions}
        if facts:
            return [replace(record, opinions=opinions)]
        return [Record(process, opinions=opinions)] if opinions else []

    def _push(self) -> list[Send]:
        picked = list(self._hurry)[: self.limits.push_most]
        for process in picked:
            del self._hurry[process]
        self._push_at = self.now + self.limits.gather if self._hurry else math.inf
        rows: list[Record] = []
        for process in picked:
            news = self._news.get(process)
            if news is not None:
                rows += self._told_of(process, news.facts_unsent, news.unsent)
                news.unsent, news.facts_unsent = {}, False
        if not rows:
            return []
        note, peers, said = self._note("push", tuple(rows)), list(self.peers), []
        for _ in range(min(self.limits.push_to, len(peers))):
            said.append(Send(peers.pop(self._chance(len(peers))).address, note))
        return said

    def _compare(self, address: str, at_once: bool) -> list[Send]:
        if not at_once and self.now - self._compared_at < self.limits.differ_for:
            return []
        self._compared_at = self.now
        return [Send(address, self._note("marks", marks=tuple(self.view.marks)))]

    def _differing(self, note: Note) -> list[Send]:
        differ = [n for n, (mine, its) in enumerate(zip(self.view.marks, note.marks, strict=False)) if mine != its]
        said: list[Send] = []
        page: list[Record] = []
        covered: list[int] = []
        for bucket in differ:
            more = self.view.rows_in((bucket,))
            if covered and len(page) + len(more) > self.limits.page:
                said.append(Send(note.address, self._note("rows", tuple(page), buckets=tuple(covered))))
                page, covered = [], []
            page += more
            covered.append(bucket)
        if covered:
            said.append(Send(note.address, self._note("rows", tuple(page), buckets=tuple(covered))))
        return said

    def _beyond(self, note: Note) -> list[Send]:
        """What this controller has in the told buckets beyond what it was told of them."""
        told = {record.process: record for record in note.records}
        rows = [
            record
            for record in self.view.rows_in(note.buckets)
            if record.process not in told or told[record.process].content != record.content
        ]
        return [
            Send(note.address, self._note("extra", tuple(rows[n : n + self.limits.page])))
            for n in range(0, len(rows), self.limits.page)
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


def _kinds(record: Record) -> set[tuple[Witness, str]]:
    return {(witness, opinion.kind) for witness, opinion in record.opinions.items()}
