"""Failover between zones and regions: what goes where, decided in common. No I/O, no clock.

`Gauge` and `Meter` say what is known of the zones, `Planner` makes plans from it, `Council` has one of them in force,
`Spread` takes it to all, `Steer` has each inference go by it. `daemon/failover.py` carries it.
"""

from sprucespool.failover.codec import Codec, Said, SaidError, ballot, kept
from sprucespool.failover.council import Ballot, Council, CouncilLimits, Keep, Renewal, Seats, Tell, Word
from sprucespool.failover.failover import Failover, Turned
from sprucespool.failover.gauge import Gauge, GaugeLimits, Loaded, Reports, Standing
from sprucespool.failover.meter import Meter
from sprucespool.failover.plan import Plan, distance, faults, near, rounded
from sprucespool.failover.planner import Planner, PlannerLimits, ZoneState, carries, safe
from sprucespool.failover.seating import Seating
from sprucespool.failover.solver import Asked, Placed, place
from sprucespool.failover.spread import Pass, Spread
from sprucespool.failover.steer import Sifter, Steer, SteerLimits
from sprucespool.failover.topology import Topology
from sprucespool.failover.ways import Ways

__all__ = [
    "Asked",
    "Ballot",
    "Codec",
    "Council",
    "CouncilLimits",
    "Failover",
    "Gauge",
    "GaugeLimits",
    "Keep",
    "Loaded",
    "Meter",
    "Pass",
    "Placed",
    "Plan",
    "Planner",
    "PlannerLimits",
    "Renewal",
    "Reports",
    "Said",
    "SaidError",
    "Seating",
    "Seats",
    "Sifter",
    "Spread",
    "Standing",
    "Steer",
    "SteerLimits",
    "Tell",
    "Topology",
    "Turned",
    "Ways",
    "Word",
    "ZoneState",
    "ballot",
    "carries",
    "distance",
    "faults",
    "kept",
    "near",
    "place",
    "rounded",
    "safe",
]
