"""Failover between zones and regions: what goes where, decided in common. No I/O, no clock.

`Gauge` and `Meter` say what is known of the zones, `Planner` makes plans from it, `Council` has one of them in force,
`Spread` takes it to all, `Steer` has each inference go by it. `daemon/failover.py` carries it.
"""

from sprucespool.failover.codec import Codec, PlanMessage, PlanMessageError, decode_ballot, encode_ballot
from sprucespool.failover.council import (
    Ballot,
    Council,
    CouncilLimits,
    CouncilMessage,
    Renewal,
    SendToVoter,
    StoreBallot,
    VoterSet,
)
from sprucespool.failover.failover import Failover, FailoverEvent
from sprucespool.failover.gauge import Gauge, GaugeLimits, LoadReport, Reports, ServingInvoker
from sprucespool.failover.meter import Meter
from sprucespool.failover.plan import Plan, distance, home_plan, plan_errors, rounded
from sprucespool.failover.planner import Planner, PlannerLimits, ZoneState, fallback_plan, zone_loads
from sprucespool.failover.solver import Demand, Placement, place
from sprucespool.failover.spread import RenewalDelivery, Spread
from sprucespool.failover.steer import Steer, SteerLimits, ValueShedder
from sprucespool.failover.topology import Topology
from sprucespool.failover.voter_selection import VoterSelection
from sprucespool.failover.zone_costs import ZoneCosts

__all__ = [
    "Demand",
    "Ballot",
    "Codec",
    "Council",
    "CouncilLimits",
    "Failover",
    "Gauge",
    "GaugeLimits",
    "StoreBallot",
    "LoadReport",
    "Meter",
    "RenewalDelivery",
    "Placement",
    "Plan",
    "Planner",
    "PlannerLimits",
    "Renewal",
    "Reports",
    "PlanMessage",
    "PlanMessageError",
    "VoterSelection",
    "VoterSet",
    "ValueShedder",
    "Spread",
    "ServingInvoker",
    "Steer",
    "SteerLimits",
    "SendToVoter",
    "Topology",
    "FailoverEvent",
    "ZoneCosts",
    "CouncilMessage",
    "ZoneState",
    "decode_ballot",
    "zone_loads",
    "distance",
    "plan_errors",
    "encode_ballot",
    "home_plan",
    "place",
    "rounded",
    "fallback_plan",
]
