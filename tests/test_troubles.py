"""Pairs of overlapping troubles, chosen by seed, on a running controller: no rule may be broken."""

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
from sprucespool.relay.frames import FrameLink

pytestmark = pytest.mark.sockets

PAIRS = 24
# Scenes that are played until one has a request that must run once at the invoker that hangs.
MAX_SCENES = 6


@pytest.mark.parametrize("seed", range(PAIRS))
def test_overlapping_troubles_break_no_rule(seed, tmp_path):
    first, second = random.Random(seed).sample(TROUBLES, 2)

    async def scene():
        world = TroubledWorld(seed, tmp_path)
        broken = await world.play([first, second])
        assert not broken, (first.__name__, second.__name__, broken[:5], len(broken))
        assert sum(len(one.runs()) for one in world.invokers) > 10

    run_scene(scene)


# Checks of the rules themselves: each controller here has a fault that a rule must detect


def broken_rules(folder, troubles, settings=None):
    """Returns the numbers of the rules reported as broken."""
    return broken_rules_of(TroubledWorld(1, folder, settings), troubles)


def broken_rules_of(world, troubles):
    found = []

    async def scene():
        found.extend(await world.play(troubles))

    run_scene(scene)
    return {rule.split(":")[0] for rule in found}


def test_a_controller_that_repeats_a_request_that_must_run_once_is_detected(tmp_path):
    """The first scene counts in which such a request met the invoker that hangs; in others nothing is repeated."""
    wrong_settings = settings_of_all_effects()
    wrong_settings["profiles"][-1]["effect"] = wrong_settings["profiles"][0]["effect"]
    for _ in range(MAX_SCENES):
        world = TroubledWorld(1, tmp_path, wrong_settings)
        broken = broken_rules_of(world, [one_hangs, idle_connections_reset])
        if world.was_left_unanswered("once"):
            break
    assert world.was_left_unanswered("once")
    assert "2" in broken


def test_a_controller_that_sends_too_long_time_limits_is_detected(tmp_path, monkeypatch):
    original = lines._Line.written
    monkeypatch.setattr(lines._Line, "written", lambda line, now: original(line, now - 1_000.0))
    assert broken_rules(tmp_path, [one_hangs]) == {"1"}


def test_a_controller_that_ignores_drains_is_detected(tmp_path, monkeypatch):
    original = GatewayServer.apply_roster

    def without_drains(server, change):
        change.rows[:] = [row for row in change.rows if row.status == it.Status.IN_SERVICE.value]
        original(server, change)

    monkeypatch.setattr(GatewayServer, "apply_roster", without_drains)
    assert "3" in broken_rules(tmp_path, [one_drains])


def test_a_controller_that_loses_an_answer_is_detected(tmp_path, monkeypatch):
    original = FrameLink.returned

    def losing_answers(link, stream, body):
        if stream % 10 != 7:
            original(link, stream, body)

    monkeypatch.setattr(FrameLink, "returned", losing_answers)
    assert "1" in broken_rules(tmp_path, [])
