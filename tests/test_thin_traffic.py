"""Own traffic is thin where copies lapse before it renews them: only then is a model sought in all its places."""

import pytest
from world import World, deployment

from sprucespool import interface as it


def used(world, calls, gap, **facts):
    """The invokers that get the calls, one every `gap` ms, each answered after 30 ms."""
    invokers = []
    for _ in range(calls):
        _, actions = world.arrive("m", **facts)
        for forward in (action for action in actions if isinstance(action, it.Forward)):
            invokers.append(forward.invoker.name)
            world.wait(30.0)
            world.end(forward)
        world.wait(gap - 30.0)
    return invokers


def zoned_world():
    """Twelve controllers and eighteen invokers in six zones; crossings between zones have a price."""
    world = World(deployment(controllers=12, crossing_price=0.02))
    for zone in "abcdef":
        world.roster(*(f"{zone}{number}" for number in range(3)), zone=zone)
    return world


def test_traffic_is_measured_by_the_invokers_that_are_near():
    world = zoned_world()
    used(world, 60, 170.0)
    # About 47 calls in a keep-alive: few for 18 invokers, many for the three near ones.
    warm = used(world, 20, 170.0)
    assert len(set(warm)) <= 2 and all(name.startswith("a") for name in warm)


def test_traffic_of_a_process_that_just_began_is_not_taken_for_thin():
    world = zoned_world()
    # A second place at the most, from the first calls: so few say nothing yet.
    assert len(set(used(world, 12, 170.0))) <= 2


@pytest.mark.parametrize("began", [0.0, 30_000.0])
def test_thin_traffic_is_spread_over_the_shared_places(began):
    world = World(deployment(controllers=12))
    world.roster(*(f"w{number}" for number in range(6)))
    world.wait(began)
    # Four calls in a keep-alive for six invokers.
    assert len(set(used(world, 12, 2_000.0))) > 1


def test_a_first_burst_does_not_make_thin_traffic_look_busy():
    world = World(deployment(controllers=12))
    world.roster(*(f"w{number}" for number in range(40)))
    # Ten calls in a tenth of a second are less than a tenth of a keep-alive of busy traffic would bring.
    assert len(set(used(world, 10, 40.0))) > 1


def test_traffic_that_goes_by_a_plan_of_zones_is_never_thin_by_own_calls():
    world = World(deployment(controllers=12))
    for zone in "ab":
        world.roster(*(f"{zone}{number}" for number in range(20)), zone=zone)
    invokers = used(world, 12, 2_000.0, zones=("a", "b"))
    assert len(set(invokers)) == 1 and invokers[0].startswith("a")
