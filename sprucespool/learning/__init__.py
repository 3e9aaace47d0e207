"""How a starting controller learns loaded copies from other controllers, and how far it trusts them. No I/O, no clock.

`knowledge`: claims and their merge. `codec`: pages of claims as bytes. `trust`: for how long a claim is trusted, by
its age, its hops and its source's record. `joining`: which sources to ask, which claims to report to the module, and
which claims proved wrong.
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
