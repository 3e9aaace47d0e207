"""Log lines about refusals, silent discovery and the counts."""

import asyncio

from platform_scene import Scene, InvokerStandIn, run_scene, turned_away
from platform_world import request_frame

from sprucespool.gateway.core import Counts
from sprucespool.node.logs import Log
from sprucespool.node.reports import Reports

import pytest


class KeptLog(Log):
    """Keeps each line as its event and fields."""

    def __init__(self):
        super().__init__("info")
        self.entries: list[tuple[str, dict]] = []

    def _line(self, level, event, fields):
        self.entries.append((event, fields))

    def fields(self, event: str) -> list[dict]:
        return [fields for name, fields in self.entries if name == event]


def test_refusals_are_logged_once_a_second_by_invoker():
    log, counts = KeptLog(), Counts(taken=4, turned_away=4)
    reports = Reports(log, counts, lambda: {"owed": 1}, 0.0)
    for number in range(3):
        reports.add_refusal("s-1", f"r{number}")
    reports.write_due(400.0)
    reports.add_refusal("s-2", "r3")
    reports.write_due(1_100.0)
    reports.write_due(9_000.0)
    assert log.entries == [
        ("turned away by invokers", {"attempts": 4, "invokers": 2, "by": "s-1:3,s-2:1", "last_request": "r3"})
    ]
    reports.write_due(10_000.0)
    assert log.fields("status") == [{"owed": 1, "counts": '{"taken":4,"turned_away":4}'}]


def test_requests_turned_away_here_are_logged_once_a_second_by_reason():
    log = KeptLog()
    reports = Reports(log, Counts(), dict, 0.0)
    for number in range(3):
        reports.add_turned_away("full", f"r{number}")
    reports.add_turned_away("late", "r3")
    reports.write_due(1_100.0)
    reports.write_due(9_000.0)
    assert log.entries == [
        ("turned away", {"why": "full", "requests": 3, "last_request": "r2"}),
        ("turned away", {"why": "late", "requests": 1, "last_request": "r3"}),
    ]


@pytest.mark.sockets
def test_silent_discovery_is_logged_once_and_refusals_are_counted():
    async def scene():
        async with Scene(InvokerStandIn(turned_away)) as world:
            log = world.node.log = world.node.channel.log = KeptLog()
            # A new watch receives nothing either.
            world.channel.answers = False
            await asyncio.sleep(1.9)
            (silence,) = log.fields("discovery not heard")
            assert 1_600 < silence["for_ms"] < 1_900 and silence["last_event"] == 1
            world.channel.send(b"id: 2\ndata: {", watch=0)
            await asyncio.sleep(0.2)
            assert not log.fields("discovery heard again")
            world.channel.send(b"}\n\n", watch=0)
            await asyncio.sleep(0.2)
            (again,) = log.fields("discovery heard again")
            assert again["after_ms"] > 1_900 and again["last_event"] == 2
            client = await world.client()
            client.send(request_frame(1))
            assert [code for _, _, code in await client.answers(1)] != [0]
            assert world.node.server.gateway.counts.turned_away == 1

    run_scene(scene)
