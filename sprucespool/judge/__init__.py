"""The five rules as slow plain checks over what was seen on sockets by stand-ins and clients, never by a controller."""

from sprucespool.judge.rules import BrokenRule, RuleFacts, judge
from sprucespool.judge.score import Table, score

__all__ = ["BrokenRule", "RuleFacts", "Table", "judge", "score"]
