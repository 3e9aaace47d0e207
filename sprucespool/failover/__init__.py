"""Failover between zones and regions: the controllers agree on where each zone's traffic goes. No I/O, no clock.

`Meter` measures a controller's own traffic and `Gauge` estimates the state of the zones from all reports. `Planner`
makes plans from these states, `Council` (the consensus of the voters) decides which plan is in force, `Spread`
distributes it to all controllers, and `Steer` picks the zones of each inference by it. `daemon/failover.py` connects
this package to sockets and files.
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
