"""Pairs of troubles that overlap, drawn by seed, on the running controller: no rule is broken."""

import random

import pytest
from platform_scene import run_scene
from platform_world import settings_of_all_effects
from troubled_scene import (
    TROUBLES,
    TroubledWorld,
    idle_connections_reset,
    one_drains,
    one_hangs,
)

from sprucespool import interface as it
from sprucespool.node.gateway_server import GatewayServer
from sprucespool.relay import lines
from sprucespool.relay.frames import FrontLink

pytestmark = pytest.mark.sockets

PAIRS = 24


@pytest.mark.parametrize("seed", range(PAIRS))
def test_overlapping_troubles_break_no_rule(seed, tmp_path):
    first, second = random.Random(seed).sample(TROUBLES, 2)

    async def scene():
        world = TroubledWorld(seed, tmp_path)
        broken = await world.play([first, second])
        assert not broken, (first.__name__, second.__name__, broken[:5], len(broken))
        assert sum(len(one.runs()) for one in world.invokers) > 10

    run_scene(scene)


# The judge itself: controllers that each lack what a rule rests on


def broken_rules(folder, troubles, settings=None):
    """The rules that are told to be broken, by their numbers."""
    found = []

    async def scene():
        found.extend(await TroubledWorld(1, folder, settings).play(troubles))

    run_scene(scene)
    return {what.split(":")[0] for what in found}


def test_a_controller_that_runs_again_what_must_run_once_is_told(tmp_path):
    wrong = settings_of_all_effects()
    wrong["profiles"][-1]["effect"] = wrong["profiles"][0]["effect"]
    assert "2" in broken_rules(tmp_path, [one_hangs, idle_connections_reset], wrong)


def test_a_controller_that_tells_more_time_than_is_left_is_told(tmp_path, monkeypatch):
    honest = lines._Line.written
    monkeypatch.setattr(lines._Line, "written", lambda line, now: honest(line, now - 1_000.0))
    assert broken_rules(tmp_path, [one_hangs]) == {"1"}


def test_a_controller_that_does_not_hear_of_drains_is_told(tmp_path, monkeypatch):
    honest = GatewayServer.apply_roster

    def deaf(door, news):
        news.rows[:] = [row for row in news.rows if row.status == it.Status.IN_SERVICE.value]
        honest(door, news)

    monkeypatch.setattr(GatewayServer, "apply_roster", deaf)
    assert "3" in broken_rules(tmp_path, [one_drains])


def test_a_controller_that_loses_an_answer_is_told(tmp_path, monkeypatch):
    honest = FrontLink.returned

    def forgetful(link, stream, body):
        if stream % 10 != 7:
            honest(link, stream, body)

    monkeypatch.setattr(FrontLink, "returned", forgetful)
    assert "1" in broken_rules(tmp_path, [])
