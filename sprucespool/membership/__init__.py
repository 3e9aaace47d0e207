"""Who else is in the group of controllers: identity, detection, repair, events, shared parts. No I/O, no clock.

`Group` is one member; `Codec` its messages as bytes; `Shares` its part of what all divide.
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
