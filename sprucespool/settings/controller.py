"""The settings file of a controller, and the deployment facts derived from it."""

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
    """Parses HOST:PORT with a loopback host. Raises ValueError."""
    host, port = address(text)
    try:
        inside = host == "localhost" or ipaddress.ip_address(host).is_loopback
    except ValueError:
        inside = False
    if not inside:
        raise ValueError(f"expected a loopback address (there is no TLS yet), got {text!r}")
    return host, port


def _check_stay(stay: str):
    if stay not in ("", "region"):
        raise ValueError(f'stay: expected "region" or nothing, got {stay!r}')


class Place(msgspec.Struct, forbid_unknown_fields=True):
    """The number of this controller among all controllers, and where it runs."""

    number: int = 0
    of: int = 1
    zone: str = ""
    region: str = ""

    def __post_init__(self):
        if not 0 <= self.number < self.of:
            raise ValueError(f"expected a number from 0 to {self.of - 1}, got {self.number}")


class RosterSource(msgspec.Struct):
    """The source of the list of invokers: a roster service, or a file that is checked for changes."""

    watch: str | None = None
    file: str | None = None
    # True: the decision module decides when to subscribe. False: the daemon subscribes by itself.
    asked: bool = False
    ask_every: Duration = 10_000.0
    # Name of the roster if it does not give one itself. Controllers compare versions of rosters with the same name.
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
    # "region": its data must not leave the region of the controller that receives it.
    stay: str = ""

    def __post_init__(self):
        _check_stay(self.stay)
        if self.effect not in EFFECTS:
            raise ValueError(f"effect: expected one of {', '.join(EFFECTS)}, got {self.effect!r}")
        if self.scope not in SCOPES:
            raise ValueError(f"scope: expected one of {', '.join(SCOPES)}, got {self.scope!r}")
        if self.slo_time <= 0 or self.route_timeout < self.slo_time:
            raise ValueError("expected a slo-time above 0 and a route-timeout that is not shorter")
        if self.effect == "deduped" and self.dedup_window <= 0:
            raise ValueError("expected a dedup-window for a deduped model group")


class TenantShare(msgspec.Struct):
    """A tenant, with its share and quota."""

    __args__ = ("name",)
    name: str
    share: float = 1.0
    # Inferences per second over all controllers that count as within its share.
    quota: float = 1e9
    stay: str = ""

    def __post_init__(self):
        _check_stay(self.stay)


class ModelFacts(msgspec.Struct):
    """Defaults for models whose name matches the pattern, used for what the inference itself does not specify."""

    __args__ = ("pattern",)
    pattern: str
    group: str | None = None
    tenant: str | None = None
    memory: Bytes | None = None
    lanes: int | None = None
    load_time: Duration | None = None


class Fleet(msgspec.Struct):
    """Properties of the invokers, and the limits that protect them."""

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
    # Whether one inference may have two forwards in flight at once.
    duplicate: bool = False
    call_off: bool = True
    connect_timeout: Duration = 250.0

    def __post_init__(self):
        if self.most < 1:
            raise ValueError(f"most: expected at least 1, got {self.most}")


class Orders(msgspec.Struct):
    """Load orders: whether they are allowed, and their rate limit (none if `window` is 0)."""

    allowed: bool = True
    time_out: Duration = 10_000.0
    floor: float = 0.0
    share: float = 0.0
    window: Duration = 0.0


class Answers(msgspec.Struct):
    # An inference is answered two margins before its ttl ends: the time for a loop iteration and the way back.
    margin: Duration = 10.0
    retry_after: bool = True
    longest_retry_after: Duration = 2_000.0


class Bounds(msgspec.Struct):
    """Limits of the server side. Each limit that is reached is answered with its own status, but for connections."""

    # Those that stay, within a share of the process's descriptors; beyond them silent and idle ones are closed.
    connections: int = 4096
    streams: int = 1000
    headers: Bytes = 16_384
    message: Bytes = 8 * 2**20
    unsent: Bytes = 32 * 2**20
    half_received: Bytes = 256 * 2**20
    # All that connections buffer: also messages of calls that are not finished, and responses that are not read.
    buffers: Bytes = 512 * 2**20
    # Maximum number of inferences held at once, and maximum total size of their requests.
    calls: int = 20_000
    held: Bytes = 512 * 2**20
    stream_buffer: Bytes = 65_536
    # Event loop delay, averaged over the last 100 ms, above which new inferences are shed without being decoded.
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
    """Limits and timeouts of the connections to each invoker."""

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
    """Another controller to which messages may be sent."""

    __args__ = ("number", "address")
    number: int
    address: str

    def __post_init__(self):
        address(self.address)


class Source(msgspec.Struct):
    """A controller that may be asked for its knowledge of loaded copies."""

    __args__ = ("address",)
    address: str

    def __post_init__(self):
        address(self.address)


class Seed(msgspec.Struct):
    """A controller through which a joining controller finds the group."""

    __args__ = ("address",)
    address: str

    def __post_init__(self):
        address(self.address)


class GroupPlan(msgspec.Struct):
    """The group of controllers. Without this node the controller neither sends to nor receives from others."""

    __args__ = ("name",)
    name: str
    # A secret that all members share.
    mark: str
    seeds: list[Seed] = []
    # Name of this controller in the group (None: derived from its number), and the address at which the other members
    # reach it (None: its listen address).
    member: str | None = None
    advertise: str | None = None
    period: Duration = 1_000.0
    # How long other members may use the share of a member that left. 0: not at all.
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
    """The group's shared view of the invokers. Without this node each controller relies on its own roster only."""

    # A forward that is pending for this long without any response makes this controller regard the invoker as silent.
    # Must be longer than a model load.
    silent_after: Duration = 1_500.0
    # Number of controllers that must agree before an invoker is excluded because of others' observations, and the
    # largest fraction of a zone that may be excluded this way.
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
    """The cost of crossing between two zones, the same in both directions: latency in ms or any other unit."""

    __args__ = ("one", "other", "cost")
    one: str
    other: str
    cost: float

    def __post_init__(self):
        if not 0 < self.cost < 1e6:
            raise ValueError(f"distance: expected a cost above 0, got {self.cost:g}")


class Voter(msgspec.Struct):
    """A member of the group that votes on the plan in force."""

    __args__ = ("member",)
    member: str


class FailoverPlan(msgspec.Struct):
    """Zone plans that the group decides on and follows. Without this node every inference may go to any zone."""

    zones: list[ZonePlace] = []
    voters: list[Voter] = []
    distances: list[Distance] = []
    # File in which a voter keeps its votes. Without it, the voter does not vote for 10 s after each start.
    keep: str | None = None
    # Another member replaces a voter that has been gone for this long.
    replace_after: Duration = 30_000.0
    # Number of cores per unit of an invoker's size.
    cores: float = 1.0
    # Largest fraction of a zone's capacity that its own traffic may fill, and that traffic of other zones may fill.
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
    """How a joining controller learns what others know. Without this node nothing is asked, answered or saved."""

    sources: list[Source] = []
    within: Duration = 5_000.0
    # Whether members of the group may be asked as well, without being listed here.
    members: bool = False
    # Whether this controller answers others.
    answer: bool = True
    snapshot: str | None = None
    snapshot_every: Duration = 2_000.0


class ControllerPlan(msgspec.Struct):
    """The complete settings file of a controller."""

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
    # Local address for outgoing connections. Empty: chosen by the system.
    source: str = ""
    seed: int = 1
    # After SIGTERM, pending inferences have this long to finish; then the rest are failed.
    stop_within: Duration = 10_000.0
    # File to which all inputs are recorded for replay.
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
    """One invoker of a roster file."""

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
    """A roster file, for small deployments with a fixed list of invokers (about ten)."""

    invokers: list[InvokerLine] = []

    def __post_init__(self):
        names = [line.address for line in self.invokers]
        for name in names:
            if names.count(name) > 1:
                raise ValueError(f"invoker {name!r} is given twice")


def deployment(plan: ControllerPlan) -> it.Deployment:
    """The deployment facts that are passed to the decision module."""
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
        # ServerReady, which each server of the protocol answers.
        may_probe=True,
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
    """Looks up the facts of a model by its name: the first line whose pattern matches applies."""

    def __init__(self, lines: list[ModelFacts]):
        self.lines = lines
        self.cache: dict[str, ModelFacts | None] = {}

    def of(self, model: str) -> ModelFacts | None:
        if model not in self.cache:
            if len(self.cache) > 100_000:
                # Names come from clients; the cache must not fill the memory with names used only once.
                self.cache.clear()
            self.cache[model] = next((line for line in self.lines if fnmatch.fnmatchcase(model, line.pattern)), None)
        return self.cache[model]
