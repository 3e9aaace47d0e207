"""The view of the invokers that controllers share: facts that are never revoked, and opinions that expire.

`Fleet` is one controller's view; `Codec` encodes its messages and snapshots. No I/O and no clock.
"""

from sprucespool.fleet.codec import Codec, FleetMessageError
from sprucespool.fleet.fleet import Fleet, FleetLimits, Peer
from sprucespool.fleet.messages import FleetEvent, FleetMessage, InvokerState, RosterRow, Send, Suspicion
from sprucespool.fleet.opinions import Assessment, IncrementalAssessment, OpinionLimits, assess
from sprucespool.fleet.records import Course, CourseClaim, Listed, Listing, Opinion, Process, Record, Witness, merged
from sprucespool.fleet.view import View

__all__ = [
    "Codec",
    "Course",
    "Suspicion",
    "Fleet",
    "FleetLimits",
    "FleetEvent",
    "Assessment",
    "Listed",
    "Listing",
    "FleetMessage",
    "FleetMessageError",
    "Opinion",
    "OpinionLimits",
    "Peer",
    "InvokerState",
    "Process",
    "Record",
    "Send",
    "RosterRow",
    "View",
    "IncrementalAssessment",
    "Witness",
    "CourseClaim",
    "assess",
    "merged",
]
