"""All decisions of a controller: pull-based placement (HIKU), and the rules that keep it working through failures.

`Controller(deployment, seed)` is created once when the controller starts; `handle(now, events)` takes each batch of
events and returns the list of actions to carry out, in order. Events and actions are defined in
`sprucespool.interface`.
"""

from sprucespool.policy.controller import Controller

__all__ = ["Controller"]
