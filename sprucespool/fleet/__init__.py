"""What controllers know of the invokers among themselves: facts that are never taken back, opinions that lapse.

`Fleet` is one controller's part; `Codec` its notes as bytes. No I/O, no clock.
"""

from sprucespool.fleet.codec import Codec, NoteError
from sprucespool.fleet.fleet import Fleet, FleetLimits, Peer
from sprucespool.fleet.notes import Doubt, Happened, Note, Place, Send, Told
from sprucespool.fleet.opinions import Judged, OpinionLimits, Weighing, judged
from sprucespool.fleet.records import Course, Listed, Listing, Opinion, Process, Record, Witness, Word, merged
from sprucespool.fleet.view import View

__all__ = [
    "Codec",
    "Course",
    "Doubt",
    "Fleet",
    "FleetLimits",
    "Happened",
    "Judged",
    "Listed",
    "Listing",
    "Note",
    "NoteError",
    "Opinion",
    "OpinionLimits",
    "Peer",
    "Place",
    "Process",
    "Record",
    "Send",
    "Told",
    "View",
    "Weighing",
    "Witness",
    "Word",
    "judged",
    "merged",
]
