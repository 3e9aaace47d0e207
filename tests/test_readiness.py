"""While discovery is not heard, only workers that just showed that they take requests are sent to."""

import heapq
import random

import pytest
from world import World, deployment

from sprucespool import interface as it

GRACE = 500.0
RETURNED, SICK = it.Outcome.RETURNED, it.Outcome.ERROR


def world(*names, heard=0.0, **over):
    """A world whose list of workers was heard so long ago (ms)."""
    run = World(deployment(**{"may_probe": True, "controllers": 1, **over}))
    run.roster(*names or ("w1", "w2"))
    run.tell(it.DiscoveryHeard(heard))
    return run


def of_kind(actions, kind):
    return [action for action in actions if isinstance(action, kind)]


def probed(run, probe, outcome=RETURNED, elapsed=2.0):
    run.now += elapsed
    return run.tell(it.Probed(probe.invoker, outcome, elapsed, {}))


def probe_of(run, **request):
    inference, actions = run.arrive(**request)
    (probe,) = of_kind(actions, it.Probe)
    assert not of_kind(actions, it.Forward)
    return inference, probe


def test_a_current_list_is_trusted_without_a_check():
    run = world(heard=1_900.0)
    assert of_kind(run.arrive()[1], it.Forward) and not of_kind(run.arrive()[1], it.Probe)


def test_where_nobody_watches_discovery_nothing_is_checked():
    run = World(deployment(may_probe=True))
    run.roster("w1")
    run.wait(60_000.0)
    assert of_kind(run.arrive()[1], it.Forward)


def test_an_old_list_has_a_worker_checked_first_and_its_answer_stands_for_a_while():
    run = world(heard=2_000.0)
    _, probe = probe_of(run)
    (forward,) = of_kind(probed(run, probe), it.Forward)
    assert forward.invoker is probe.invoker and forward.write_by == pytest.approx(run.now - 2.0 + GRACE)
    run.now += 350.0
    (again,) = of_kind(run.arrive(lanes=4)[1], it.Forward)
    assert again.invoker is probe.invoker
    run.end(forward), run.end(again)
    # What it took last was sent at once: that proves as much as a check.
    run.now += 350.0
    assert not of_kind(run.arrive()[1], it.Probe)
    run.now += 450.0
    probe_of(run, model="another")


def test_requests_that_meet_a_check_wait_for_it_together():
    run = world("w1", heard=None)
    probe_of(run)
    assert not of_kind(run.arrive()[1], (it.Probe, it.Forward))
    assert len(of_kind(probed(run, run.controller.workers[0].entry), it.Forward)) == 2


def test_one_that_fails_its_check_is_passed_over_and_checked_again_later():
    run = world(heard=None)
    _, probe = probe_of(run)
    (other,) = of_kind(probed(run, probe, SICK), it.Probe)
    assert other.invoker is not probe.invoker
    (forward,) = of_kind(probed(run, other), it.Forward)
    run.end(forward)
    assert all(action.invoker is other.invoker for action in of_kind(run.arrive(model="n")[1], it.Forward))
    run.wait(600.0)
    assert probe.invoker in {one.invoker for n in range(6) for one in of_kind(run.arrive(model=f"m{n}")[1], it.Probe)}


def test_a_check_without_an_answer_is_given_up_in_time_for_another_worker():
    run = world(heard=None)
    _, probe = probe_of(run)
    (other,) = of_kind(run.wait(260.0), it.Probe)
    assert other.invoker is not probe.invoker
    assert of_kind(probed(run, other), it.Forward)


def test_a_refusal_takes_back_what_was_shown():
    run = world("w1", heard=None)
    _, probe = probe_of(run)
    (forward,) = of_kind(probed(run, probe), it.Forward)
    run.end(forward, it.Outcome.FULL)
    run.wait(200.0)
    assert of_kind(run.wait(400.0) + run.arrive(model="other")[1], it.Probe)


def test_an_answer_to_what_was_sent_before_a_refusal_shows_nothing():
    run = world("w1", heard=None, may_duplicate=True)
    _, probe = probe_of(run)
    (taken,) = of_kind(probed(run, probe), it.Forward)
    run.now += 10.0
    (refused,) = of_kind(run.arrive(lanes=4)[1], it.Forward)
    run.now += 5.0
    run.end(refused, it.Outcome.FULL)
    run.now += 5.0
    assert not of_kind(run.end(taken), it.Forward)
    run.wait(200.0)
    assert of_kind(run.wait(600.0) + run.arrive(model="other")[1], it.Probe)


def test_all_that_waits_for_a_check_is_answered_and_nothing_is_sent_for_those_who_left():
    run = world("w1", heard=None)
    left, probe = probe_of(run)
    kept, _ = run.arrive()
    run.depart(left)
    (forward,) = of_kind(probed(run, probe), it.Forward)
    assert forward.inference is kept
    late = world("w1", heard=None)
    probe_of(late, ttl=100.0)
    assert of_kind(late.wait(120.0), (it.Shed, it.Fail)) and not late.open
    assert not of_kind(probed(late, probe), it.Forward)


def test_a_worker_withdrawn_under_its_check_lets_its_requests_go():
    run = world(heard=None)
    _, probe = probe_of(run)
    (other,) = of_kind(run.roster(probe.invoker.name, status=it.Status.GONE), it.Probe)
    assert other.invoker is not probe.invoker and of_kind(probed(run, other), it.Forward)


def test_nothing_is_checked_any_more_once_the_list_is_heard():
    run = world("w1", heard=None)
    _, probe = probe_of(run)
    probed(run, probe, SICK)
    run.tell(it.DiscoveryHeard(0.0))
    assert of_kind(run.arrive()[1], it.Forward)


def test_load_orders_go_only_to_workers_that_just_took_something():
    run = world(heard=0.0, loads_on_miss=False, may_order=True)
    (forward,) = of_kind(run.arrive()[1], it.Forward)
    (order,) = of_kind(run.end(forward, it.Outcome.MISS), it.Order)
    run.settle(order)
    run.now += 2_000.0
    _, probe = probe_of(run, model="n")
    (forward,) = of_kind(probed(run, probe), it.Forward)
    run.now += 300.0
    # Its miss shows that it took the request 300 ms ago: an order may be written 250 ms later than it is decided.
    assert not of_kind(run.end(forward, it.Outcome.MISS), it.Order)


def test_where_checks_are_not_allowed_the_first_refusal_bars_a_worker_until_the_list_is_heard():
    run = world("w1", heard=None, may_probe=False)
    _, actions = run.arrive()
    (forward,) = of_kind(actions, it.Forward)
    run.end(forward, it.Outcome.FULL)
    run.wait(3_000.0)
    assert not of_kind(run.arrive()[1], it.Forward)
    run.tell(it.DiscoveryHeard(0.0))
    assert of_kind(run.arrive()[1], it.Forward)


RESTARTS = {
    "ended all connections": lambda run, worker: run.tell(it.Disconnected(worker)),
    "refused a connection": lambda run, worker: run.tell(it.Probed(worker, it.Outcome.UNCONNECTED, 1.0, {})),
    "called itself sick": lambda run, worker: run.tell(it.Probed(worker, SICK, 1.0, {})),
}


def sent_to(run, invoker, span, gap):
    """How many requests go to the invoker, of one each `gap` ms; all are answered after 50 ms."""
    until, sent, answers = run.now + span, 0, []

    def act(actions):
        nonlocal sent
        for probe in of_kind(actions, it.Probe):
            act(run.tell(it.Probed(probe.invoker, RETURNED, 1.0, {})))
        for forward in of_kind(actions, it.Forward):
            sent += forward.invoker is invoker and run.now < until
            answers.append((run.now + 50.0, forward))

    while run.now < until or answers:
        act(run.wait(gap))
        while answers and answers[0][0] <= run.now:
            act(run.end(answers.pop(0)[1]))
        if run.now < until:
            act(run.arrive(model=f"m{len(run.arrival_times) % 4}", lanes=4)[1])
    return sent


@pytest.mark.parametrize("how", [None, *RESTARTS])
def test_a_worker_that_came_back_unheard_of_is_sent_to_as_one_that_just_started(how):
    run = world("w1", heard=0.0)
    returning = run.invokers["w1"]
    sent_to(run, returning, 6_000.0, 10.0)
    usual = sent_to(run, returning, run.dep.fall_window, 10.0)
    if how:
        RESTARTS[how](run, returning)
    run.now += 600.0
    sent = sent_to(run, returning, run.dep.fall_window, 10.0)
    allowed = run.dep.fall_multiple * run.dep.cold_share * usual
    assert (0 < sent <= allowed / 2) if how else (sent > allowed)
    # Once the list is heard it tells of restarts itself.
    run.tell(it.DiscoveryHeard(0.0))
    assert sent_to(run, returning, 3 * run.dep.fall_window, 10.0) > 1.5 * allowed


def test_one_that_answers_at_once_after_the_end_of_its_connections_is_the_same_process():
    run = world("w1", heard=0.0)
    returning = run.invokers["w1"]
    sent_to(run, returning, 6_000.0, 10.0)
    (probe,) = of_kind(run.tell(it.Disconnected(returning)), it.Probe)
    probed(run, probe, elapsed=20.0)
    assert sent_to(run, returning, run.dep.fall_window, 10.0) > 140


def test_an_end_of_all_connections_before_the_list_was_last_heard_is_no_restart():
    run = world("w1", heard=0.0)
    returning = run.invokers["w1"]
    run.tell(it.Disconnected(returning))
    run.now += 10.0
    run.tell(it.DiscoveryHeard(0.0))
    run.wait(5_000.0)
    assert sent_to(run, returning, 3_000.0, 20.0) > 120


@pytest.mark.parametrize("seed", range(12))
def test_hidden_drains_are_met_by_nothing_new_past_the_grace(seed):
    """A fleet with drains that no list tells: each forward and order is held against what really drains."""
    chance = random.Random(seed)
    names = [f"w{n}" for n in range(chance.choice([3, 8, 20]))]
    run = world(*names, heard=None, may_call_off=True)
    drains = {name: chance.uniform(500.0, 4_000.0) for name in names[: len(names) // 2]}
    pending: list[tuple[float, float, float, object]] = []
    taken, served = 0, 0
    gap = chance.choice([30.0, 60.0, 400.0])

    def later(after, what):
        heapq.heappush(pending, (run.now + after, chance.random(), run.now, what))

    def act(actions):
        for action in actions:
            if isinstance(action, (it.Forward, it.Order)):
                began = drains.get(action.invoker.name, 1e9)
                assert run.now <= began + GRACE, f"{action.invoker.name} drains since {run.now - began:.0f} ms"
            if isinstance(action, it.Forward):
                later(1.0 if drains.get(action.invoker.name, 1e9) <= run.now else chance.uniform(20, 300), action)
            elif isinstance(action, it.Probe):
                later(chance.choice([1.0, 3.0, 400.0]) if chance.random() < 0.1 else 1.0, action)

    while run.now < 5_000.0 or pending:
        act(run.wait(min(chance.expovariate(1.0 / gap), max(0.0, (pending or [(1e9,)])[0][0] - run.now))))
        while pending and pending[0][0] <= run.now:
            _, _, asked_at, what = heapq.heappop(pending)
            drained = drains.get(what.invoker.name, 1e9) <= run.now
            if isinstance(what, it.Probe):
                act(run.tell(it.Probed(what.invoker, SICK if drained else RETURNED, run.now - asked_at, {})))
            elif what in run.out:
                refused = drains.get(what.invoker.name, 1e9) <= run.out[what]
                served += not refused
                act(run.end(what, it.Outcome.FULL if refused else RETURNED))
        if run.now >= 5_000.0:
            continue
        taken += 1
        act(run.arrive(model=f"m{chance.randrange(6)}", lanes=2)[1])
    act(run.wait(3_000.0))
    assert not run.open and served > 0.95 * taken
