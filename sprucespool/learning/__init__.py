"""What a new controller is told by others, and how far it is believed. No I/O, no clock.

`knowledge`: claims and their merge. `codec`: pages of claims as bytes. `trust`: how long a claim is believed, by age,
distance and its source's record. `newcomer`: whom to ask, what to pass on to the module, what proved wrong.
"""

from sprucespool.learning.codec import CodecError, decode, encode
from sprucespool.learning.knowledge import Claim, Knowledge, Row
from sprucespool.learning.newcomer import Ask, Newcomer, NewcomerLimits, Tell, Teller
from sprucespool.learning.trust import SourceRecord, life_of

__all__ = [
    "Ask",
    "Claim",
    "CodecError",
    "Knowledge",
    "Newcomer",
    "NewcomerLimits",
    "Row",
    "SourceRecord",
    "Tell",
    "Teller",
    "decode",
    "encode",
    "life_of",
]
