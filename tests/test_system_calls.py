"""All rules hold when system calls fail as Linux documents, at chosen calls, and when wall clocks are stepped."""

import asyncio
import errno
import random
import time
from collections import Counter

import pytest
from faulty_sockets import ERRORS, HARMLESS, Faults, faulty_sockets
from platform_scene import InvokerStandIn, RawClient, Scene, entry, event, hit, run_scene, until
from platform_world import frame, request_frame, settings_of_all_effects

from sprucespool.transport.clock import AnchoredClock
from sprucespool.node.serve import start_with_retries
from sprucespool.relay.feed import MAX_START_REPORT_DELAY_MS, Roster, ChannelEvent
from sprucespool.transport.acceptor import Acceptor

pytestmark = pytest.mark.sockets

HOUR = 3_600.0


def answered_once(answers, streams):
    return Counter(stream for kind, stream, _ in answers if kind == 17) == Counter(streams)


@pytest.mark.parametrize("error", ERRORS["accept"])
def test_a_failing_accept_delays_a_connection_and_never_spins_the_loop(error):
    async def scene():
        with faulty_sockets(Faults()) as faults:
            async with Scene(InvokerStandIn(), begin=faults.begin) as world:
                first = faults.counts["client", "accept"]
                faults.planned = {("client", "accept", first + n): error for n in range(1, 6)}
                began, client = time.monotonic(), RawClient(world.port)
                client.send(request_frame(1))
                assert await client.answers(1) == [(17, 1, 0)]
                # Five failures with growing pauses; without a pause there would be thousands of calls.
                assert len(faults.injected) == 5 and faults.counts["client", "accept"] - first < 20
                assert time.monotonic() - began < 0.8

    run_scene(scene)


def test_time_in_the_accept_queue_while_descriptors_run_out_counts_against_the_deadline():
    async def scene():
        with faulty_sockets(Faults()) as faults:
            async with Scene(InvokerStandIn(), begin=faults.begin) as world:
                first = faults.counts["client", "accept"]
                faults.planned = {("client", "accept", first + n): errno.EMFILE for n in range(1, 9)}
                began, client = time.monotonic(), RawClient(world.port)
                client.send(request_frame(1, wait="1500"))
                await until(lambda: world.invokers[0].runs())
                waited = (world.invokers[0].lines[0][1] - began) * 1000.0
                assert waited > 300 and world.invokers[0].limits()[0] <= 1500 - waited + 150

    run_scene(scene)


def test_a_shutdown_answers_what_waits_to_be_accepted():
    """Guards against: while connections could not be accepted, the process ended and reset those that waited."""

    async def scene():
        with faulty_sockets(Faults()) as faults:
            async with Scene(InvokerStandIn(), begin=faults.begin) as world:
                (await world.warmed()).close()
                stopping = asyncio.create_task(world.node.stop())
                await asyncio.sleep(0.6)
                first = faults.counts["client", "accept"]
                faults.planned = {("client", "accept", first + n): errno.EMFILE for n in range(1, 8)}
                client = RawClient(world.port)
                client.send(request_frame(1))
                assert await client.answers(1) == [(17, 1, 0)]
                assert len(faults.injected) == 7
                await stopping

    run_scene(scene)


@pytest.mark.parametrize("error", [errno.ENOTCONN, errno.ECONNRESET, errno.EPIPE])
def test_a_connection_ends_when_its_shutdown_fails(error):
    """Guards against: the peer was gone as the error was written; reading stayed paused and no timer was set."""

    async def scene():
        with faulty_sockets(Faults()) as faults:
            async with Scene(InvokerStandIn(), begin=faults.begin) as world:
                listener = world.node.server.listener
                faults.planned = {("client", "shutdown", faults.counts["client", "shutdown"] + 1): error}
                client = await world.client()
                client.send(frame(99, 0))
                await until(lambda: not listener.open and faults.injected)
                await until(lambda: not listener.connections, 0.5)

    run_scene(scene)


@pytest.mark.parametrize("reset", [False, True])
def test_a_client_that_left_while_it_waited_to_be_accepted_gets_no_attempt(reset):
    async def scene():
        with faulty_sockets(Faults()) as faults:
            async with Scene(InvokerStandIn(), begin=faults.begin) as world:
                (await world.warmed()).close()
                first = faults.counts["client", "accept"]
                faults.planned = {("client", "accept", first + n): errno.EMFILE for n in range(1, 7)}
                client = RawClient(world.port)
                client.send(request_frame(2, id="e" * 16))
                client.close(reset)
                accepted = world.node.server.listener.accepted
                await until(lambda: world.node.server.listener.accepted > accepted)
                await asyncio.sleep(0.1)
                assert world.invokers[0].runs() == ["f" * 16]
                assert len(faults.injected) == 6

    run_scene(scene)


@pytest.mark.parametrize("error", [errno.EADDRNOTAVAIL, errno.ENETUNREACH, errno.ENOBUFS, errno.EMFILE, errno.ENFILE])
def test_a_transient_connect_error_costs_no_attempt(error):
    async def scene():
        with faulty_sockets(Faults()) as faults:
            one = InvokerStandIn()
            async with Scene(one) as world:
                faults.invoker_ports = {one.port}
                faults.planned = {("invoker", "connect", n): error for n in range(1, 5)}
                client = await world.client()
                client.send(request_frame(1))
                assert await client.answers(1) == [(17, 1, 0)]
                assert len(faults.injected) == 4 and len(one.runs()) == 1

    run_scene(scene)


@pytest.mark.parametrize("error", [errno.ENOBUFS, errno.EADDRNOTAVAIL, errno.EMFILE])
def test_an_address_that_is_unavailable_for_a_moment_does_not_end_the_start(error, monkeypatch):
    listen, failures = Acceptor._listen, []

    def failing(self, *args):
        if len(failures) < 4:
            failures.append(error)
            raise OSError(error, "injected")
        return listen(self, *args)

    monkeypatch.setattr(Acceptor, "_listen", failing)

    async def scene():
        async with Scene(InvokerStandIn(), begin=lambda node: start_with_retries(node, [])) as world:
            assert len(failures) == 4
            client = await world.warmed()
            # One watch, no matter how often the start was retried.
            assert len(world.channel.last_event_ids) == 1
            client.close()

    run_scene(scene)


# Many schedules of failures, judged by the rules


SCHEDULES = 24
REQUESTS = 40


def schedule_of(seed: int) -> dict[tuple[str, str, int], int]:
    chance = random.Random(seed)
    planned = {}
    for _ in range(chance.randint(4, 30)):
        call = chance.choice(["accept", "connect", "send", "recv"])
        side = (
            "client" if call == "accept" else "invoker" if call == "connect" else chance.choice(["client", "invoker"])
        )
        errors = HARMLESS if side == "client" and call != "accept" else ERRORS[call]
        planned[side, call, chance.randint(1, 60)] = chance.choice(errors)
    return planned


@pytest.mark.parametrize("seed", range(SCHEDULES))
def test_every_schedule_of_failures_keeps_the_rules(seed):
    chance = random.Random(seed + 1000)
    missed: Counter = Counter()

    def behave(tag):
        drawn = chance.random()
        if drawn < 0.05:
            return None
        if drawn < 0.1:
            missed[tag] += 1
            return f"{tag} NONE - 0\r\n\r\n".encode()
        return hit(tag)

    async def scene():
        with faulty_sockets(Faults(schedule_of(seed))) as faults:
            invokers = [InvokerStandIn(behave) for _ in range(3)]
            async with Scene(*invokers, begin=faults.begin, settings=settings_of_all_effects()) as world:
                faults.invoker_ports = {one.port for one in invokers}
                groups = {f"{n:016x}": chance.choice(["call", "publish", "once"]) for n in range(REQUESTS)}
                clients = [RawClient(world.port) for _ in range(4)]
                streams: dict[RawClient, list[int]] = {client: [] for client in clients}
                for number, (name, group) in enumerate(groups.items()):
                    client = clients[number % 4]
                    streams[client].append(number + 1)
                    more = {"class": group, "wait": "1200", "key": f"{number % 5:016x}"}
                    if group == "publish":
                        more["once"] = name * 2
                    client.send(request_frame(number + 1, id=name, **more))
                    if chance.random() < 0.3:
                        await asyncio.sleep(0.02)
                sent = time.monotonic()
                disconnected = clients.pop()
                disconnected.close()
                for client in clients:
                    left = max(0.3, 1.6 - (time.monotonic() - sent))
                    answers = await client.answers(len(streams[client]) + 1, left)
                    assert answered_once(answers, streams[client]), (answers, faults.injected)
                assert not world.node.server.calls
            runs = Counter(tag for one in invokers for tag in one.runs())
            assert all(runs[name] <= 1 + missed[name] for name, group in groups.items() if group == "once")
            of_disconnected = {f"{stream - 1:016x}" for stream in streams[disconnected]}
            # Judged by what the socket of the controller accepted: a stand-in in this process may read it later.
            begun = faults.attempts()
            assert {tag for tag, _ in begun} >= {tag for one in invokers for tag in one.runs()}
            assert not [tag for tag, at in begun if tag in of_disconnected and at > sent + 0.1]
            assert all(1 <= limit <= 1200 for one in invokers for limit in one.limits())

    run_scene(scene)


# Wall clocks


class SteppedWall:
    def __init__(self):
        self.step = 0.0

    def __call__(self) -> float:
        return time.time() + self.step


@pytest.mark.parametrize("step", [-HOUR, HOUR, 5.0, -5.0])
def test_a_stepped_wall_clock_changes_no_age_and_no_answer(step):
    async def scene():
        wall = SteppedWall()
        late = await InvokerStandIn().start()
        async with Scene(InvokerStandIn(), clock=AnchoredClock(wall)) as world:
            client = await world.warmed()
            wall.step = step
            born = int(time.time() * 1000.0) - 1_000
            world.channel.send(event(2, ("s-7", late.port, "up"), born=born))
            await until(lambda: "s-7" in world.node.server.gateway.boots)
            _, started = world.node.server.gateway.boots["s-7"]
            assert 900 <= world.node.server.batch.now() - started <= 3_000
            client.send(request_frame(2))
            assert await client.answers(1) == [(17, 2, 0)]
        late.close()

    run_scene(scene)


def event_of(number, born, whole=False, name="s-1", port=9):
    data = event(number, (name, port, "up"), whole=whole, born=born)
    return ChannelEvent(number, data.split(b"data: ")[1].strip())


@pytest.mark.parametrize("ahead", [-HOUR, HOUR, 0.0])
def test_a_wrong_clock_at_the_start_does_not_make_a_cold_invoker_warm(ahead):
    true, roster = 1e12, Roster()
    own = true + ahead * 1000.0
    hosts = entry(1, ("s-1", 9, "up"), whole=True, born=int(true - 4_000))
    [_, news] = roster.restore(1, [hosts], own)
    assert 0 <= news.rows[0].age <= 4_000
    # An invoker reported later as just started: it was in no list before.
    [news] = roster.apply(event_of(2, int(true + 9_000), name="s-2", port=10), own + 10_000)
    assert 0 <= news.rows[0].age <= 1_000 + (4_000 if ahead else 0)


def test_an_invoker_reported_late_is_no_older_than_it_can_be():
    roster = Roster()
    roster.restore(1, [], 1e12)
    [news] = roster.apply(event_of(2, int(1e12 - HOUR * 1000.0), whole=True), 1e12 + 2_000)
    assert news.rows[0].age == 0.0
    roster = Roster()
    roster.restore(1, [], 1e12)
    [news] = roster.apply(event_of(2, int(1e12 - 3_000)), 1e12 + 2_000)
    assert news.rows[0].age == 5_000 < MAX_START_REPORT_DELAY_MS
