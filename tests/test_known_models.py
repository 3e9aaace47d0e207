"""How many models a controller keeps in mind, which ones it forgets first, and that what has ended is let go."""

import random

import pytest
from world import World, deployment

from sprucespool import interface as it
from sprucespool.policy.controller import DUE_SWEEP_COUNT, MIN_CHECKS_SWEPT

MAX_MODELS = 20
OUTCOMES = (it.Outcome.RETURNED, it.Outcome.FULL, it.Outcome.MISS, it.Outcome.ERROR, it.Outcome.RESET)


def serve(world: World, model: str):
    _, actions = world.arrive(model)
    for forward in [action for action in actions if isinstance(action, it.Forward)]:
        world.end(forward)


def test_ever_new_models_displace_neither_each_other_past_the_limit_nor_those_in_use():
    world = World(deployment(max_models=MAX_MODELS))
    world.roster("w0", "w1", "w2")
    for number in range(500):
        serve(world, f"in use {number % 5}")
        serve(world, f"new {number}")
        world.wait(1.0)
    known = [belief.model.name for belief in world.controller.known_models]
    assert len(known) == MAX_MODELS
    assert {f"in use {number}" for number in range(5)} <= set(known)
    assert "new 499" in known


@pytest.mark.parametrize("seed", range(20))
def test_forgetting_models_breaks_no_rule_whatever_ends_when(seed):
    """Guards against: a model is forgotten while a request, an attempt or a load of it has not ended."""
    chance = random.Random(seed)
    world = World(deployment(max_models=chance.randint(1, 6), may_probe=True))
    world.roster("w0", "w1", "w2", "w3")
    for _ in range(400):
        step = chance.random()
        if step < 0.5:
            world.arrive(f"m{chance.randint(0, 30)}")
        elif step < 0.8 and world.in_flight:
            world.end(chance.choice(list(world.in_flight)), chance.choice(OUTCOMES))
        elif step < 0.85 and world.unanswered:
            world.depart(chance.choice(list(world.unanswered)))
        elif step < 0.9 and world.orders:
            world.settle(chance.choice(world.orders), chance.choice(OUTCOMES[:2]))
        elif step < 0.93:
            name = f"w{chance.randint(0, 3)}"
            world.roster(name, status=it.Status.DRAINING)
            world.roster(name, started=world.now)
        else:
            world.wait(chance.choice((1.0, 50.0, 900.0)))
    world.wait(60_000.0)
    assert not world.unanswered
    assert not any(belief.open_requests or belief.lanes_in_use for belief in world.controller.known_models)


def test_what_has_ended_is_not_kept_until_its_time_comes():
    """Guards against: each request was kept until its deadline, each model until its next check."""
    world = World(deployment(max_models=MAX_MODELS))
    world.roster("w0", "w1", "w2")
    for number in range(3 * DUE_SWEEP_COUNT):
        serve(world, f"new {number}")
    assert len(world.controller.due_items) <= DUE_SWEEP_COUNT
    assert len(world.controller.model_checks) <= 2 * MAX_MODELS + MIN_CHECKS_SWEPT + 1
