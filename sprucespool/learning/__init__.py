"""What a new controller is told by others, and how far it is believed. No I/O, no clock.

`knowledge`: claims and their merge. `codec`: pages of claims as bytes. `trust`: how long a claim is believed, by age,
distance and its source's record. `newcomer`: whom to ask, what to pass on to the module, what proved wrong.
"""

from sprucespool.learning.codec import CodecError, decode, encode
from sprucespool.learning.joining import FetchPage, JoiningController, JoiningLimits, PageBuilder, ReportClaim
from sprucespool.learning.knowledge import Claim, ClaimStore, Row
from sprucespool.learning.trust import SourceRecord, claim_lifetime

__all__ = [
    "Claim",
    "ClaimStore",
    "CodecError",
    "FetchPage",
    "JoiningController",
    "JoiningLimits",
    "PageBuilder",
    "ReportClaim",
    "Row",
    "SourceRecord",
    "claim_lifetime",
    "decode",
    "encode",
]
