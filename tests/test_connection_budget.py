"""Which connections give way when there are too many, and how long others may have waited to be accepted."""

import socket

import pytest

from sprucespool.transport import accept_queue
from sprucespool.transport.accept_queue import AcceptQueue
from sprucespool.transport.connection_budget import (
    MAX_CANDIDATES,
    NEWCOMER_GRACE_MS,
    SLOW_MESSAGE_MS,
    ConnectionBudget,
    ConnectionState,
)

PENDING, UNANSWERED, IDLE, BUSY, LINGERING = (
    ConnectionState.PENDING,
    ConnectionState.UNANSWERED,
    ConnectionState.IDLE,
    ConnectionState.BUSY,
    ConnectionState.LINGERING,
)


class Connection:
    def __init__(self, name: str, ended: list[str]):
        self.name, self.ended, self.quiet, self.looked_at = name, ended, True, 0

    def is_quiet(self) -> bool:
        self.looked_at += 1
        return self.quiet

    def end_to_make_room(self) -> None:
        self.ended.append(self.name)


class World:
    """A budget and its connections, which are named after their states and numbers."""

    def __init__(self, target: int, max_connections: int = 1000):
        self.budget = ConnectionBudget(max_connections, target)
        self.ended: list[str] = []
        self.connections: dict[str, Connection] = {}

    def add(self, count: int, state: ConnectionState, at: float = 0.0) -> None:
        for _ in range(count):
            one = Connection(f"{state.value} {self.count(state)}", self.ended)
            self.connections[one.name] = one
            self.budget.add(one, at)
            self.budget.update(one, state, at)

    def count(self, state: ConnectionState) -> int:
        return sum(name.startswith(state.value + " ") for name in self.connections)


def test_idle_connections_give_way_before_newcomers_and_the_oldest_first():
    """Guards against: the newcomer itself was ended, as the one without a complete frame."""
    world = World(target=6)
    world.add(3, IDLE)
    world.add(3, UNANSWERED)
    world.add(2, PENDING, at=1000.0)
    world.budget.make_room(1000.0)
    assert world.ended == ["unanswered 0", "unanswered 1"]
    world.add(3, BUSY, at=1000.0)
    world.budget.make_room(1000.0)
    assert world.ended[2:] == ["unanswered 2", "idle 0", "idle 1"]


def test_connections_that_linger_give_way_first_and_count_once():
    """Guards against: one that was just ended was ended once more for the next newcomer, and one more stayed."""
    world = World(target=4)
    world.add(2, LINGERING)
    world.add(4, IDLE)
    world.budget.make_room(0.0)
    assert world.ended == ["lingering 0", "lingering 1"]
    world.add(2, PENDING, at=0.0)
    world.budget.make_room(0.0)
    world.budget.make_room(0.0)
    assert world.ended[2:] == ["idle 0", "idle 1"] and world.budget.evicted == 4
    for name in world.ended:
        world.budget.remove(world.connections[name])
    assert len(world.budget) == 4


def test_busy_connections_never_give_way_and_there_is_no_room_beyond_the_maximum():
    """Guards against: where all connections had an open request, the oldest was ended without its answer."""
    world = World(target=4, max_connections=6)
    world.add(6, BUSY)
    assert world.budget.room(1e9) == 0 and not world.ended
    world.budget.update(world.connections["busy 3"], IDLE, 1e9)
    assert world.budget.room(1e9) == 0 and world.ended == ["busy 3"]
    world.budget.remove(world.connections["busy 3"])
    assert world.budget.room(1e9) == 1


def test_more_pending_connections_than_their_share_give_way_to_each_other():
    world = World(target=8)
    world.add(4, IDLE)
    world.add(5, PENDING, at=100.0)
    world.budget.make_room(100.0)
    assert not world.ended
    world.budget.make_room(100.0 + NEWCOMER_GRACE_MS)
    assert world.ended == ["pending 0"]


def test_a_slow_message_gives_way_before_idle_connections():
    world = World(target=4)
    world.add(1, PENDING)
    world.add(4, IDLE, at=SLOW_MESSAGE_MS)
    world.budget.make_room(SLOW_MESSAGE_MS)
    assert world.ended == ["pending 0"]


def test_a_connection_whose_next_request_has_arrived_does_not_give_way():
    world = World(target=2)
    world.add(3, IDLE)
    world.connections["idle 0"].quiet = False
    world.budget.make_room(0.0)
    assert world.ended == ["idle 1"]


def test_connections_at_work_do_not_shield_those_behind_them():
    """Guards against: as many busy senders as are considered stood first, and newcomers were ended instead."""
    world = World(target=MAX_CANDIDATES)
    world.add(MAX_CANDIDATES + 1, IDLE)
    for number in range(MAX_CANDIDATES):
        world.connections[f"idle {number}"].quiet = False
    world.budget.make_room(0.0)
    world.budget.make_room(1.0)
    assert world.ended == [f"idle {MAX_CANDIDATES}"]


@pytest.mark.parametrize("standing", [100, 1000])
def test_the_cost_of_a_newcomer_does_not_grow_with_the_connections_that_stand(standing):
    """Guards against: whom to end was looked for among all connections, for each newcomer."""
    world = World(target=standing)
    world.add(standing, IDLE)
    for connection in world.connections.values():
        connection.quiet = False
    world.add(1, PENDING)
    world.budget.make_room(0.0)
    assert sum(connection.looked_at for connection in world.connections.values()) <= MAX_CANDIDATES + 1
    assert not world.ended


# The queue of a listening socket


@pytest.fixture
def listener():
    with socket.socket() as one:
        one.bind(("127.0.0.1", 0))
        one.listen(64)
        yield one


@pytest.mark.sockets
def test_a_connection_waited_no_longer_than_since_fewer_had_arrived(listener):
    """Guards against: after a pause each connection counted as old as the pause, and its deadline as past."""
    queue, clients = AcceptQueue(listener, 64), []

    def arrive(count: int) -> None:
        clients.extend(socket.create_connection(listener.getsockname()) for _ in range(count))

    arrive(2)
    queue.begin(10.0, 0.5)
    queue.observe(10.0)
    assert queue.waiting
    queue.begin(11.0, 0.0)
    arrive(2)
    queue.begin(12.0, 0.0)
    accepted = [queue.accept(13.0) for _ in range(4)]
    assert accepted == [3.5, 3.5, 2.0, 2.0]
    queue.drained()
    assert not queue.waiting
    queue.begin(20.0, 0.25)
    assert queue.accept(20.0) == 0.25
    for client in clients:
        client.close()


def test_where_the_system_does_not_tell_a_full_queue_is_assumed(monkeypatch):
    monkeypatch.setattr(accept_queue, "waiting_connections", lambda listener: None)
    queue = AcceptQueue(None, 2)
    queue.begin(1.0, 0.0)
    queue.observe(1.0)
    assert [queue.accept(3.0) for _ in range(4)] == [2.0, 2.0, 2.0, 2.0]
    queue.begin(3.0, 0.0)
    queue.observe(3.0)
    # Two may have waited at second 3; the third one behind them has not.
    assert [queue.accept(4.0) for _ in range(3)] == [3.0, 3.0, 1.0]
