"""Membership of the group of controllers: identity, failure detection, repair, events, shared quotas. No I/O, no clock.

`Group` is one member, `Codec` encodes its messages, and `Shares` computes its share of the common quotas.
"""

from sprucespool.membership.codec import Codec, MessageError
from sprucespool.membership.group import Group, GroupLimits
from sprucespool.membership.messages import Event, Message, Outgoing
from sprucespool.membership.rows import About, Phase, Row, Seat, State, merge

__all__ = [
    "About",
    "Codec",
    "Event",
    "Group",
    "GroupLimits",
    "Message",
    "MessageError",
    "Outgoing",
    "Phase",
    "Row",
    "Seat",
    "State",
    "merge",
]
