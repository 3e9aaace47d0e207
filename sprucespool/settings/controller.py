"""What an operator says of one controller, and the deployment facts that follow from it."""

from __future__ import annotations

import fnmatch
import ipaddress

import msgspec

from sprucespool import interface as it
from sprucespool.links import address as address
from sprucespool.settings.kdl import Bytes, Duration

EFFECTS = {effect.value: effect for effect in it.Effect}
SCOPES = {scope.value: scope for scope in it.Scope}


def loopback(text: str) -> tuple[str, int]:
    host, port = address(text)
    try:
        inside = host == "localhost" or ipaddress.ip_address(host).is_loopback
    except ValueError:
        inside = False
    if not inside:
        raise ValueError(f"expected a loopback address (there is no TLS yet), got {text!r}")
    return host, port


def _stays(stay: str):
    if stay not in ("", "region"):
        raise ValueError(f'stay: expected "region" or nothing, got {stay!r}')


class Place(msgspec.Struct, forbid_unknown_fields=True):
    """Which of how many controllers this is."""

    number: int = 0
    of: int = 1
    zone: str = ""
    region: str = ""

    def __post_init__(self):
        if not 0 <= self.number < self.of:
            raise ValueError(f"expected a number from 0 to {self.of - 1}, got {self.number}")


class RosterSource(msgspec.Struct):
    """Where the list of invokers comes from: a roster service, or a file that is watched."""

    watch: str | None = None
    file: str | None = None
    # True: the decision module says when to subscribe; else the daemon does by itself.
    asked: bool = False
    ask_every: Duration = 10_000.0
    # Which roster it is, where it does not say so itself: versions of one name are compared between controllers.
    name: str = "roster"

    def __post_init__(self):
        if (self.watch is None) == (self.file is None):
            raise ValueError('expected one of watch="HOST:PORT" and file="PATH"')
        if self.watch is not None:
            address(self.watch)


class Group(msgspec.Struct):
    """A model group."""

    __args__ = ("name",)
    name: str
    slo_time: Duration
    route_timeout: Duration
    value: float = 1.0
    late_value: float = 0.1
    effect: str = "retriable"
    scope: str = "all"
    dedup_window: Duration = 0.0
    streamed: bool = False
    # "region": its data must not leave the region of the controller that it enters.
    stay: str = ""

    def __post_init__(self):
        _stays(self.stay)
        if self.effect not in EFFECTS:
            raise ValueError(f"effect: expected one of {', '.join(EFFECTS)}, got {self.effect!r}")
        if self.scope not in SCOPES:
            raise ValueError(f"scope: expected one of {', '.join(SCOPES)}, got {self.scope!r}")
        if self.slo_time <= 0 or self.route_timeout < self.slo_time:
            raise ValueError("expected a slo-time above 0 and a route-timeout that is not shorter")
        if self.effect == "deduped" and self.dedup_window <= 0:
            raise ValueError("expected a dedup-window for a deduped model group")


class TenantShare(msgspec.Struct):
    __args__ = ("name",)
    name: str
    share: float = 1.0
    # Inferences a second over all controllers, within its share.
    quota: float = 1e9
    stay: str = ""

    def __post_init__(self):
        _stays(self.stay)


class ModelFacts(msgspec.Struct):
    """What holds for models whose name fits the pattern, where the inference itself does not tell."""

    __args__ = ("pattern",)
    pattern: str
    group: str | None = None
    tenant: str | None = None
    memory: Bytes | None = None
    lanes: int | None = None
    load_time: Duration | None = None


class Fleet(msgspec.Struct):
    """What is known of the invokers, and the guards that go with it."""

    drain_grace: Duration = 2_000.0
    cold_share: float = 0.25
    warm_after: Duration = 15_000.0
    fall_multiple: float = 3.0
    fall_window: Duration = 1_500.0
    keep_alive: Duration = 10_000.0
    loads_on_miss: bool = True
    tells_found: bool = True
    tells_same_model: bool = True
    crossing_price: float = 0.0
    handshake_price: float = 0.0

    def __post_init__(self):
        if not 0 < self.cold_share <= 1:
            raise ValueError(f"cold-share: expected a part above 0 and up to 1, got {self.cold_share}")
        if self.warm_after <= 0 or self.fall_window <= 0 or self.fall_multiple <= 0:
            raise ValueError("expected warm-after, fall-window and fall-multiple above 0")


class Forwards(msgspec.Struct):
    most: int = 3
    # Two forwards of one inference out at once.
    duplicate: bool = False
    call_off: bool = True
    connect_timeout: Duration = 250.0

    def __post_init__(self):
        if self.most < 1:
            raise ValueError(f"most: expected at least 1, got {self.most}")


class Orders(msgspec.Struct):
    """Orders to load: whether there are any, and their ration (none where `window` is 0)."""

    allowed: bool = True
    time_out: Duration = 10_000.0
    floor: float = 0.0
    share: float = 0.0
    window: Duration = 0.0


class Answers(msgspec.Struct):
    # Two of these before an inference's time is up it is answered: what a loop's turn and the way back take.
    margin: Duration = 10.0
    retry_after: bool = True
    longest_retry_after: Duration = 2_000.0


class Bounds(msgspec.Struct):
    """Limits of the serving side; each one that is met is answered with a status of its own."""

    connections: int = 4096
    streams: int = 1000
    headers: Bytes = 16_384
    message: Bytes = 8 * 2**20
    unsent: Bytes = 32 * 2**20
    half_received: Bytes = 256 * 2**20
    # Inferences held at once, and the bytes of their requests.
    calls: int = 20_000
    held: Bytes = 512 * 2**20
    stream_buffer: Bytes = 65_536
    # The loop's delay, on the mean of the last tenth of a second, from which on new inferences are shed unseen.
    lag: Duration = 100.0
    handshake: Duration = 5_000.0
    idle_close: Duration = 600_000.0
    keepalive: Duration = 30_000.0
    keepalive_timeout: Duration = 10_000.0
    unread: Duration = 20_000.0

    def __post_init__(self):
        for name in ("connections", "streams", "headers", "message", "calls", "held"):
            if getattr(self, name) < 1:
                raise ValueError(f"{name}: expected at least 1")


class ToInvokers(msgspec.Struct):
    """Connections to each invoker."""

    connections: int = 4
    streams: int = 100
    idle_close: Duration = 30_000.0
    keepalive: Duration = 10_000.0
    keepalive_timeout: Duration = 5_000.0
    first_backoff: Duration = 50.0
    last_backoff: Duration = 3_000.0

    def __post_init__(self):
        if self.connections < 1 or self.streams < 1:
            raise ValueError("expected at least one connection of at least one stream")


class Log(msgspec.Struct):
    level: str = "info"
    file: str | None = None

    def __post_init__(self):
        if self.level not in ("debug", "info", "warning", "error"):
            raise ValueError(f"level: expected debug, info, warning or error, got {self.level!r}")


class Peer(msgspec.Struct):
    """Another controller that may be sent notes."""

    __args__ = ("number", "address")
    number: int
    address: str

    def __post_init__(self):
        address(self.address)


class Source(msgspec.Struct):
    """A controller that may be asked what it knows."""

    __args__ = ("address",)
    address: str

    def __post_init__(self):
        address(self.address)


class Seed(msgspec.Struct):
    """A controller through which the group is found."""

    __args__ = ("address",)
    address: str

    def __post_init__(self):
        address(self.address)


class GroupPlan(msgspec.Struct):
    """The group of controllers. Without this node nothing is said to any other and nothing heard of any."""

    __args__ = ("name",)
    name: str
    # What all members share and nobody else knows.
    mark: str
    seeds: list[Seed] = []
    # This controller's name in the group; None: by its number. Where others reach it; None: where it listens.
    member: str | None = None
    advertise: str | None = None
    period: Duration = 1_000.0
    # How long the part of one that left may be used by others. 0 lends nothing.
    loan: Duration = 10_000.0

    def __post_init__(self):
        if not self.name or not self.mark:
            raise ValueError("expected a name and a mark")
        if self.advertise is not None:
            loopback(self.advertise)
        if not 50.0 <= self.period <= 60_000.0:
            raise ValueError(f"period: expected 50ms to 60s, got {self.period:g}ms")
        if self.loan < 0:
            raise ValueError("loan: expected 0s or more")
        if self.member is not None and not 0 < len(self.member) <= 64:
            raise ValueError("member: expected a name of 1 to 64 characters")


class FleetView(msgspec.Struct):
    """The view of the invokers that the group keeps in common. Without this node each goes by its own roster."""

    # A forward out for so long without a word makes an invoker silent in this controller's eyes; longer than a load.
    silent_after: Duration = 1_500.0
    # Controllers that must agree before an invoker is left aside for what others see; the part of a zone that may be.
    observers: int = 2
    most_out: float = 0.5
    opinions_lapse: Duration = 15_000.0
    snapshot: str | None = None
    snapshot_every: Duration = 2_000.0

    def __post_init__(self):
        if self.silent_after < 50.0 or self.opinions_lapse < 1_000.0 or self.snapshot_every < 100.0:
            raise ValueError("expected silent-after of 50ms, opinions-lapse of 1s, snapshot-every of 100ms at least")
        if self.observers < 2:
            raise ValueError(f"observers: expected at least 2, got {self.observers}")
        if not 0 < self.most_out < 1:
            raise ValueError(f"most-out: expected a part between 0 and 1, got {self.most_out:g}")


class ZonePlace(msgspec.Struct):
    """A zone of invokers and controllers, and the region it lies in."""

    __args__ = ("zone",)
    zone: str
    region: str


class Distance(msgspec.Struct):
    """What it costs to go from one zone to another, and back: ms of the way or whatever else is counted."""

    __args__ = ("one", "other", "cost")
    one: str
    other: str
    cost: float

    def __post_init__(self):
        if not 0 < self.cost < 1e6:
            raise ValueError(f"distance: expected a cost above 0, got {self.cost:g}")


class Voter(msgspec.Struct):
    """A member of the group that has a vote in what plan is in force."""

    __args__ = ("member",)
    member: str


class FailoverPlan(msgspec.Struct):
    """Plans of zones that the group decides and follows. Without this node every inference may go anywhere."""

    zones: list[ZonePlace] = []
    voters: list[Voter] = []
    distances: list[Distance] = []
    # A voter's file: whom it gave its vote. Without it, it gives none for 10 s after each start.
    keep: str | None = None
    # Another member has the vote of one that was gone for so long.
    replace_after: Duration = 30_000.0
    # Cores that a unit of an invoker's size stands for.
    cores: float = 1.0
    # The part of a zone that its own traffic, and others', may fill.
    own_most: float = 0.85
    far_most: float = 0.85

    def __post_init__(self):
        names = [place.zone for place in self.zones]
        for name in names:
            if names.count(name) > 1:
                raise ValueError(f"zone {name!r} is given twice")
        if len(names) < 2:
            raise ValueError("expected at least two zones")
        for distance in self.distances:
            for name in (distance.one, distance.other):
                if name not in names:
                    raise ValueError(f"distance: no zone {name!r}")
        voters = [voter.member for voter in self.voters]
        if len(voters) % 2 == 0 or len(set(voters)) < len(voters) or len(voters) > 9:
            raise ValueError(f"voters: expected an odd number of different members, 9 at the most, got {len(voters)}")
        if self.replace_after <= 0:
            raise ValueError("replace-after: expected a time above 0")
        if not 0 < self.far_most <= self.own_most <= 1 or self.cores <= 0:
            raise ValueError("expected far-most and own-most from 0 to 1, the second not smaller, and cores above 0")


class Learning(msgspec.Struct):
    """What a new controller may be told. Without this node nothing is asked, answered or written."""

    sources: list[Source] = []
    within: Duration = 5_000.0
    # Members of the group may be asked as well, without being named here.
    members: bool = False
    # Whether others may ask this one.
    answer: bool = True
    snapshot: str | None = None
    snapshot_every: Duration = 2_000.0


class ControllerPlan(msgspec.Struct):
    """All of a controller's file."""

    listen: str
    roster: RosterSource
    model_groups: list[Group]
    controller: Place = msgspec.field(default_factory=Place)
    tenants: list[TenantShare] = []
    models: list[ModelFacts] = []
    peers: list[Peer] = []
    learning: Learning | None = None
    group: GroupPlan | None = None
    fleet_view: FleetView | None = None
    failover: FailoverPlan | None = None
    fleet: Fleet = msgspec.field(default_factory=Fleet)
    forwards: Forwards = msgspec.field(default_factory=Forwards)
    orders: Orders = msgspec.field(default_factory=Orders)
    answers: Answers = msgspec.field(default_factory=Answers)
    bounds: Bounds = msgspec.field(default_factory=Bounds)
    to_invokers: ToInvokers = msgspec.field(default_factory=ToInvokers)
    log: Log = msgspec.field(default_factory=Log)
    # The own address that connections to others are made from; empty: the system's choice.
    source: str = ""
    seed: int = 1
    # SIGTERM: owed answers have so long, then what is left is failed.
    stop_within: Duration = 10_000.0
    # A file that all inputs are written to, for replay.
    record: str | None = None

    def __post_init__(self):
        loopback(self.listen)
        if self.source:
            loopback(f"{self.source}:0")
        if self.learning is not None and self.learning.members and self.group is None:
            raise ValueError("learning members: expected a group node, whose members they are")
        if self.fleet_view is not None and self.group is None:
            raise ValueError("fleet-view: expected a group node, whose members keep it")
        if self.failover is not None and self.fleet_view is None:
            raise ValueError("failover: expected a fleet-view node, from which it knows what the zones can take")
        if self.failover is not None and self.controller.zone not in {one.zone for one in self.failover.zones}:
            raise ValueError(f"failover: expected the controller's own zone {self.controller.zone!r} among its zones")
        if self.fleet_view is not None and self.roster.asked:
            raise ValueError("fleet-view: expected a roster that is not asked: the view tells the module by itself")
        for what, names in (
            ("model-group", [group.name for group in self.model_groups]),
            ("tenant", [tenant.name for tenant in self.tenants]),
        ):
            for name in names:
                if names.count(name) > 1:
                    raise ValueError(f"{what} {name!r} is given twice")
        for facts in self.models:
            if facts.group is not None and facts.group not in {group.name for group in self.model_groups}:
                raise ValueError(f"model {facts.pattern!r}: no model-group {facts.group!r}")
            if facts.tenant is not None and facts.tenant not in {tenant.name for tenant in self.tenants}:
                raise ValueError(f"model {facts.pattern!r}: no tenant {facts.tenant!r}")


class InvokerLine(msgspec.Struct):
    __args__ = ("address",)
    address: str
    zone: str = ""
    kind: str = ""
    cell: str = ""
    size: float = 1.0
    draining: bool = False

    def __post_init__(self):
        address(self.address)


class Invokers(msgspec.Struct):
    """A roster file: for a user with ten fixed invokers."""

    invokers: list[InvokerLine] = []

    def __post_init__(self):
        names = [line.address for line in self.invokers]
        for name in names:
            if names.count(name) > 1:
                raise ValueError(f"invoker {name!r} is given twice")


def deployment(plan: ControllerPlan) -> it.Deployment:
    """The facts that the decision module is handed."""
    fleet, forwards, orders, answers = plan.fleet, plan.forwards, plan.orders, plan.answers
    groups = [
        it.ModelGroup(
            g.name,
            g.slo_time,
            0.0,
            g.route_timeout,
            g.value,
            g.late_value,
            EFFECTS[g.effect],
            SCOPES[g.scope],
            g.dedup_window,
            g.streamed,
        )
        for g in plan.model_groups
    ]
    return it.Deployment(
        controllers=plan.controller.of,
        own_number=plan.controller.number,
        own_zone=plan.controller.zone,
        groups=groups,
        tenants=[it.Tenant(t.name, t.share, t.quota) for t in plan.tenants],
        over_share_value=0.1,
        tick=answers.margin,
        answer_slack=answers.margin,
        drain_grace=fleet.drain_grace,
        cold_share=fleet.cold_share,
        warm_after=fleet.warm_after,
        fall_multiple=fleet.fall_multiple,
        fall_window=fleet.fall_window,
        roster_asked=plan.roster.asked,
        ask_every=plan.roster.ask_every,
        may_call_off=forwards.call_off,
        may_probe=False,
        may_duplicate=forwards.duplicate,
        may_message=bool(plan.peers),
        may_order=orders.allowed,
        tells_retry_after=answers.retry_after,
        longest_retry_after=answers.longest_retry_after,
        most_forwards=forwards.most,
        connect_timeout=forwards.connect_timeout,
        keep_alive=fleet.keep_alive,
        loads_on_miss=fleet.loads_on_miss,
        order_timeout=orders.time_out,
        order_floor=orders.floor,
        order_share=orders.share,
        order_window=orders.window,
        tells_found=fleet.tells_found,
        tells_same_model=fleet.tells_same_model,
        valued_by_work=False,
        report_fields=[],
        report_meanings={},
        memory_mb={},
        crossing_price=fleet.crossing_price,
        handshake_price=fleet.handshake_price,
    )


class ModelTable:
    """Facts of a model by its name: the first line whose pattern fits."""

    def __init__(self, lines: list[ModelFacts]):
        self.lines = lines
        self.found: dict[str, ModelFacts | None] = {}

    def of(self, model: str) -> ModelFacts | None:
        if model not in self.found:
            if len(self.found) > 100_000:
                # Names come from clients: one-off ones must not fill the memory.
                self.found.clear()
            self.found[model] = next((line for line in self.lines if fnmatch.fnmatchcase(model, line.pattern)), None)
        return self.found[model]
