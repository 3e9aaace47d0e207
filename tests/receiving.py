"""Drives a link as the event loop does."""

from __future__ import annotations


def receive_all(link, data, now=0.0):
    """Passes received data to the link until it defers nothing; returns the events in order."""
    events = link.receive(data, now)
    while link.deferred:
        events += link.receive(b"", now)
    return events
