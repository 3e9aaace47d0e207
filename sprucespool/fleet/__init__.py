"""What controllers know of the invokers among themselves: facts that are never taken back, opinions that lapse.

Records and their joins; not yet carried between controllers. No I/O, no clock.
"""
from sprucespool.fleet.opinions import Judged, OpinionLimits, judged
from sprucespool.fleet.records import Course, Listing, Opinion, Process, Record, View, merged

__all__ = ["Course", "Judged", "Listing", "Opinion", "OpinionLimits", "Process", "Record", "View", "judged", "merged"]
