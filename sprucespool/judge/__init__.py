"""The five rules as simple checks over what stand-ins and clients observed on sockets, never a controller."""

from sprucespool.judge.rules import BrokenRule, RuleFacts, judge
from sprucespool.judge.score import Table, score

__all__ = ["BrokenRule", "RuleFacts", "Table", "judge", "score"]
