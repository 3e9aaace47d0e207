"""The script of a day: machines, traffic, settings and troubles. No I/O."""

from __future__ import annotations

import math

import msgspec

from sprucespool.faults import CUTS
from sprucespool.settings.controller import Answers, Fleet, Forwards, Group, Orders, TenantShare, ZonePlace
from sprucespool.settings.kdl import Bytes, Duration

# Kinds of troubles and the meaning of their properties. `docs/operate/days.md` lists the trouble of the bench that
# each one reproduces.
KINDS = {
    "deploy": "invokers are replaced by cold ones, `batch` at a time, until `share` of them were",
    "renew": "like deploy, but the cold ones stand at the addresses of those before them",
    "preempt": "`share` of the invokers are told to drain and killed `span` later; cold ones come `every` later",
    "crash": "`share` of the invokers are killed at once and come back cold after `span`",
    "mass-restart": "all invokers of the machine kind `what` are killed and come back cold after `span`",
    "hang": "`share` of the invokers take inferences and answer none",
    "crawl": "`share` of the invokers work `factor` times slower",
    "pauses": "`share` of the invokers stand still for `span` every `every`",
    "flush": "copies of `share` of the models go void at once",
    "burst": "traffic grows `factor` times",
    "hot-key": "a model not seen before draws `share` of the traffic",
    "scan": "`share` of the traffic is for models that are wanted once",
    "answer-lost": "`share` of the answers are lost with their connection, after the work ran",
    "half-frame": "`share` of the answers end in the middle of an HTTP/2 frame",
    "go-away": "`share` of the invokers send GOAWAY every `every` and go on with new connections",
    "refuse": "`share` of the invokers refuse all inferences",
    "stale-roster": "the roster runs `span` further behind",
    "roster-old": "the roster is restored from a copy `span` old: versions and rows go back, all subscriptions break",
    "roster-down": "the roster breaks all subscriptions and refuses new ones",
    "library-slow": "fetches take `factor` times as long",
    "library-down": "the library turns all fetches away",
    "stall": "a controller is held by SIGSTOP for `span` every `every`",
    "controller-restart": "the controllers that `what` names, or one of chance, are killed and start after `span`",
    "all-restart": "all controllers are killed and started again after `span`",
    "partition": "what `between` names reaches what `and` names no more (`way`: both, there, back; `how`: silent, "
    "refused, reset, stopped); a comma in `between` alone parts each from each",
    "zone-lost": "all invokers and controllers of the zone or region `what` are killed and start anew after `lasts`",
    "invokers-lost": "all invokers of the zone or region `what` are killed and start anew after `lasts`; controllers "
    "go on",
    "controller-kill": "the controller `what`, or one of chance, is killed for good",
    "controller-stop": "the controllers that `what` names (a zone, a region, one) are held by SIGSTOP for `lasts`",
    "clock-jump": "the clocks of the controllers that `what` names jump three minutes ahead, once",
    "drain-zone": "operators drain the zone `what`, and open it again after `lasts`",
    "link-slow": "from `between` to `and` and back everything takes `span` longer one way",
    "link-lossy": "`share` of what goes from `between` to `and` and back is lost and sent again",
    "give-up": "`share` of the clients leave after a part of their time",
}


AT_LINKS = ("partition", "link-slow", "link-lossy")
# Kinds that `what` can limit to a zone, a region or an invoker.
AT_PLACES = ("deploy", "renew", "hang", "crawl", "pauses", "answer-lost", "half-frame", "go-away", "refuse")


class Machines(msgspec.Struct):
    """`count` invokers of one kind."""

    __args__ = ("kind",)
    kind: str
    count: int
    cores: int = 3
    speed: float = 1.0
    memory: Bytes = 8 * 10**9

    def __post_init__(self):
        if self.count < 1 or self.cores < 1 or self.speed <= 0:
            raise ValueError("expected count and cores of at least 1 and a speed above 0")


class InvokerHabits(msgspec.Struct):
    """Settings of the stand-in invokers."""

    queue: int = 60
    loads: int = 3
    load_queue: int = 8
    scales: bool = True
    cancel_drops: bool = True
    # False: they answer inferences as any server of the protocol does, without trailers about copies.
    tells: bool = True


class LibraryHabits(msgspec.Struct):
    smooth: int = 8
    most: int = 40


class RosterHabits(msgspec.Struct):
    lag: Duration = 800.0


class Traffic(msgspec.Struct):
    """Inferences of one model group. Times of models are means; each model's time is within a third of it."""

    __args__ = ("group",)
    group: str
    # Either inferences per second, independent of the answers, or a number of users, each of whom sends the next
    # inference after the answer to the last one and a pause of `think` on average.
    rate: float = 0.0
    users: int = 0
    think: Duration = 1_000.0
    models: int = 20
    zipf: float = 1.0
    work: Duration = 80.0
    memory: Bytes = 600 * 10**6
    lanes: int = 2
    start: Duration = 250.0
    fetch: Duration = 400.0
    payload: Bytes = 2000
    # Daily cycle: the rate varies by this fraction of itself, with the period `wave_period`.
    wave: float = 0.0
    wave_period: Duration = 20_000.0
    # A rush: `rush_factor` times the traffic from `rush_at` for `rush_lasts`; the added traffic is for the first model.
    rush_at: Duration = 0.0
    rush_lasts: Duration = 0.0
    rush_factor: float = 1.0
    # Interval after which the most popular model changes to the next one; 0: never.
    drift: Duration = 0.0

    def __post_init__(self):
        if self.rate < 0 or self.users < 0 or (self.rate > 0) is (self.users > 0):
            raise ValueError("expected either a rate above 0 or users")
        if self.think <= 0 or self.models < 1 or self.lanes < 1:
            raise ValueError("expected think above 0 and models and lanes of at least 1")
        if not 0 <= self.wave <= 1 or self.wave_period <= 0 or self.rush_factor < 1 or self.drift < 0:
            raise ValueError(
                "expected a wave from 0 to 1, a wave-period above 0, a rush-factor of at least 1 and a "
                "drift of 0 or more"
            )

    def in_rush(self, at: float) -> bool:
        return self.rush_factor > 1 and self.rush_at <= at < self.rush_at + self.rush_lasts

    @property
    def max_rate(self) -> float:
        """Inferences per second without troubles; for users, the rate if answers took no time."""
        return self.rate or self.users * 1000.0 / self.think

    def rate_at(self, at: float) -> float:
        """Inferences per second at that time, without the effect of troubles."""
        rate = self.rate * (1 + self.wave * math.sin(2 * math.pi * at / self.wave_period)) if self.wave else self.rate
        return rate * self.rush_factor if self.in_rush(at) else rate


class Ask(msgspec.Struct):
    """One inference, recorded or to be sent. `wait`: the timeout of its client; 0: the route timeout."""

    __args__ = ("group",)
    group: str
    at: Duration
    model: str
    work: Duration = 80.0
    tenant: str = ""
    wait: Duration = 0.0
    payload: Bytes = 2000

    def __post_init__(self):
        if not self.model or self.at < 0 or self.work <= 0 or self.wait < 0 or self.payload < 0:
            raise ValueError("expected a model, a work above 0, and at, wait and payload of 0 or more")


class Recorded(msgspec.Struct):
    """Inferences from a file beside the script: one `Ask` per line as a JSON object, times in ms.

    They are sent `speed` times as fast as they were recorded.
    """

    __args__ = ("file",)
    file: str
    speed: float = 1.0

    def __post_init__(self):
        if not self.file or not self.speed > 0:
            raise ValueError("expected a file and a speed above 0")


class ClientHabits(msgspec.Struct):
    retries: int = 1
    wait: Duration = 150.0
    marked: bool = True
    # The timeout of an attempt as a fraction of the route timeout, drawn between these two.
    least_wait: float = 0.5
    most_wait: float = 1.0
    connections: int = 2


class Trouble(msgspec.Struct):
    __args__ = ("kind",)
    kind: str
    at: Duration
    lasts: Duration = 0.0
    share: float = 0.2
    factor: float = 3.0
    span: Duration = 1_000.0
    every: Duration = 2_000.0
    batch: int = 2
    what: str = ""
    # Names of zones, regions, controllers (c0), invokers (i0), or the roster; several are separated by commas.
    between: str = ""
    and_: str = ""
    way: str = "both"
    how: str = "silent"

    def __post_init__(self):
        if self.way not in ("both", "there", "back"):
            raise ValueError(f"way: expected both, there or back, got {self.way!r}")
        if self.how not in CUTS[1:]:
            raise ValueError(f"how: expected one of {', '.join(CUTS[1:])}, got {self.how!r}")
        if self.kind in ("partition", "link-slow", "link-lossy") and not self.between:
            raise ValueError("expected between")
        if self.kind not in KINDS:
            raise ValueError(f"expected one of {', '.join(KINDS)}, got {self.kind!r}")
        if not 0 < self.share <= 1 or self.factor <= 0 or self.batch < 1 or self.every <= 0:
            raise ValueError("expected a share above 0 and up to 1, factor and every above 0, a batch of at least 1")


class Distance(msgspec.Struct):
    """The one-way latency between two zones or regions."""

    __args__ = ("one", "other")
    one: str
    other: str
    latency: Duration
    jitter: Duration = 0.0


class DayGroup(msgspec.Struct):
    """The controllers form a group, and all connections go through relays, so that links can fail."""

    period: Duration = 500.0
    loan: Duration = 6_000.0
    # Limits of the invariants of the group.
    alike_within: Duration = 15_000.0
    cleared_within: Duration = 20_000.0
    dead_within: Duration = 40_000.0
    # Whether the controllers share a view of the invokers, and which controller reports false data in it (none: -1).
    view: bool = False
    liar: int = -1
    fleet_alike_within: Duration = 5_000.0
    spread_within: Duration = 3_000.0
    replaced_within: Duration = 6_000.0


class DayFailover(msgspec.Struct):
    """The group plans how traffic is divided among the zones.

    `voters`: controllers (c0), separated by commas; `liar`: the controller that reports a false load of its zone
    (none: -1).
    """

    voters: str = "c0,c1,c2"
    replace_after: Duration = 30_000.0
    liar: int = -1
    # Limits of the invariants of failover.
    follow_within: Duration = 10_000.0
    near_within: Duration = 30_000.0
    cap_slack: float = 0.4
    slack_cores: float = 1.5
    over_for: Duration = 5_000.0
    changes: int = 24


class Drawn(msgspec.Struct):
    """Random troubles, drawn from the seed: `count` of them, at any time of the day."""

    count: int = 3


class Day(msgspec.Struct):
    """The whole script of a day."""

    name: str
    lasts: Duration
    machines: list[Machines]
    model_groups: list[Group]
    traffics: list[Traffic] = []
    # Single inferences in addition to the traffic; `recorded` adds more of them.
    asks: list[Ask] = []
    recorded: Recorded | None = None
    seed: int = 1
    controllers: int = 3
    zones: list[str] = msgspec.field(default_factory=lambda: ["hall-a"])
    tenants: list[TenantShare] = []
    fleet: Fleet = msgspec.field(default_factory=lambda: Fleet(warm_after=8000.0))
    forwards: Forwards = msgspec.field(default_factory=Forwards)
    orders: Orders = msgspec.field(default_factory=Orders)
    answers: Answers = msgspec.field(default_factory=Answers)
    invokers: InvokerHabits = msgspec.field(default_factory=InvokerHabits)
    library: LibraryHabits = msgspec.field(default_factory=LibraryHabits)
    roster: RosterHabits = msgspec.field(default_factory=RosterHabits)
    clients: ClientHabits = msgspec.field(default_factory=ClientHabits)
    troubles: list[Trouble] = []
    drawn: Drawn | None = None
    group: DayGroup | None = None
    failover: DayFailover | None = None
    places: list[ZonePlace] = []
    distances: list[Distance] = []
    # What a controller that starts during the day learns from: "none", "one" or "all" of the others, or its "snapshot".
    told: str = "none"

    def __post_init__(self):
        known = {group.name for group in self.model_groups}
        for traffic in self.traffics:
            if traffic.group not in known:
                raise ValueError(f"traffic: no model-group {traffic.group!r}")
        for ask in self.asks:
            if ask.group not in known:
                raise ValueError(f"ask: no model-group {ask.group!r}")
        if not self.traffics and not self.asks and self.recorded is None:
            raise ValueError("expected traffic, ask or recorded")
        if self.told not in ("none", "one", "all", "snapshot"):
            raise ValueError(f"told: expected none, one, all or snapshot, got {self.told!r}")
        if not 1 <= self.controllers <= 32 or not self.zones:
            raise ValueError("expected 1 to 32 controllers and at least one zone")
        invokers = sum(machines.count for machines in self.machines)
        processes = {"roster", *(f"c{n}" for n in range(self.controllers)), *(f"i{n}" for n in range(invokers))}
        for name in (*self.zones, *(place.region for place in self.places)):
            # With a zone named c1, a day that killed the controller c1 killed all controllers of that zone as well.
            if name in processes:
                raise ValueError(f"zone or region {name!r}: expected another name than a process has")
        for trouble in self.troubles:
            if trouble.kind in AT_LINKS and self.group is None:
                raise ValueError(f"trouble {trouble.kind}: expected a group node, which brings the links")
            for name in filter(None, (*trouble.between.split(","), *trouble.and_.split(","))):
                self.processes_named(name)
            if trouble.kind in AT_PLACES and trouble.what:
                self.processes_named(trouble.what)
            if trouble.kind in ("zone-lost", "invokers-lost", "controller-stop", "clock-jump") or (
                trouble.kind in ("controller-kill", "controller-restart") and trouble.what
            ):
                self.processes_named(trouble.what)
            if trouble.kind == "drain-zone" and (self.failover is None or trouble.what not in self.zones):
                raise ValueError("trouble drain-zone: expected a failover node and a zone in what")
            if trouble.at + trouble.lasts > self.lasts:
                raise ValueError(f"trouble {trouble.kind}: ends after the day")
            if trouble.kind == "mass-restart" and trouble.what not in {kind.kind for kind in self.machines}:
                raise ValueError(f"trouble mass-restart: what: no machines {trouble.what!r}")
        if self.failover is not None and (self.group is None or not self.group.view):
            raise ValueError("failover: expected a group node with view=#true")
        for distance in self.distances:
            self.processes_named(distance.one), self.processes_named(distance.other)

    def region_of(self, zone: str) -> str:
        return next((place.region for place in self.places if place.zone == zone), "")

    def cell_of(self, invoker: int) -> str:
        """The cell of an invoker: the invokers of each zone alternate between two cells."""
        zone = self.zones[invoker % len(self.zones)]
        return f"{zone}-{invoker // len(self.zones) % 2}"

    def processes_named(self, name: str) -> set[str]:
        """The processes in a zone, region or cell (hall-a-0), or the process of that name. Raises ValueError."""
        invokers = sum(machines.count for machines in self.machines)
        processes = [(f"c{n}", n) for n in range(self.controllers)] + [(f"i{n}", n) for n in range(invokers)]
        found = {
            process
            for process, n in processes
            if name
            in (
                process,
                self.zones[n % len(self.zones)],
                self.region_of(self.zones[n % len(self.zones)]),
                self.cell_of(n) if process[0] == "i" else process,
            )
        }
        if not found and name != "roster":
            raise ValueError(f"no zone, region, cell, controller (c0), invoker (i0) or roster is named {name!r}")
        return found or {name}
