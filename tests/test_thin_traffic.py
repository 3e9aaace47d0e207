"""Thin traffic: own requests are too few to renew copies before they expire.

Only then are requests for a model spread over all its places in the shared order.
"""

import pytest
from world import World, deployment

from sprucespool import interface as it


def used(world, count, gap, **facts):
    """The invokers that get `count` requests, one every `gap` ms, each answered after 30 ms."""
    invokers = []
    for _ in range(count):
        _, actions = world.arrive("m", **facts)
        for forward in (action for action in actions if isinstance(action, it.Forward)):
            invokers.append(forward.invoker.name)
            world.wait(30.0)
            world.end(forward)
        world.wait(gap - 30.0)
    return invokers


def zoned_world():
    """Twelve controllers and eighteen invokers in six zones, with a price for crossing zones."""
    world = World(deployment(controllers=12, crossing_price=0.02))
    for zone in "abcdef":
        world.roster(*(f"{zone}{number}" for number in range(3)), zone=zone)
    return world


def test_traffic_is_compared_with_the_number_of_near_invokers():
    world = zoned_world()
    used(world, 60, 170.0)
    # About 47 requests in a keep-alive: few for 18 invokers, many for the three near ones.
    warm = used(world, 20, 170.0)
    assert len(set(warm)) <= 2 and all(name.startswith("a") for name in warm)


def test_traffic_of_a_controller_that_just_started_is_not_thin():
    world = zoned_world()
    # At most a second place, used by the first requests, which are too few to tell.
    assert len(set(used(world, 12, 170.0))) <= 2


@pytest.mark.parametrize("began", [0.0, 30_000.0])
def test_thin_traffic_is_spread_over_the_shared_places(began):
    world = World(deployment(controllers=12))
    world.roster(*(f"w{number}" for number in range(6)))
    world.wait(began)
    # Four requests in a keep-alive for six invokers.
    assert len(set(used(world, 12, 2_000.0))) > 1


def test_an_initial_burst_of_thin_traffic_still_counts_as_thin():
    world = World(deployment(controllers=12))
    world.roster(*(f"w{number}" for number in range(40)))
    # Ten requests in 0.4 s are fewer than busy traffic would bring in a tenth of a keep-alive.
    assert len(set(used(world, 10, 40.0))) > 1


def test_traffic_under_a_plan_of_zones_is_never_thin_by_own_requests():
    world = World(deployment(controllers=12))
    for zone in "ab":
        world.roster(*(f"{zone}{number}" for number in range(20)), zone=zone)
    invokers = used(world, 12, 2_000.0, zones=("a", "b"))
    assert len(set(invokers)) == 1 and invokers[0].startswith("a")
