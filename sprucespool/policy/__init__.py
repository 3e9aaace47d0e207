"""All decisions of a controller: pull-based placement (HIKU) with what keeps it standing when things fail.

`Controller(deployment, seed)` is made once when the controller starts; `handle(now, events)` takes each batch of what
happened and gives the list of what to do, in order. What is handed in and out is defined in `sprucespool.interface`.
"""

from sprucespool.policy.controller import Controller

__all__ = ["Controller"]
