"""Deferred input: each connection gets its part in turn, and one that fails keeps no other waiting."""

import asyncio

from sprucespool.transport.input_scheduler import ITERATION_SECONDS, InputScheduler


class Connection:
    def __init__(self, name: str, parts: int, handled: list[str], seconds: float = 0.0, fails: bool = False):
        self.name, self.parts, self.handled, self.seconds, self.fails = name, parts, handled, seconds, fails
        self.ended = ""

    def handle_deferred(self) -> bool:
        if self.fails:
            raise ValueError("unexpected")
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + self.seconds
        while loop.time() < ends_at:
            pass
        self.handled.append(self.name)
        self.parts -= 1
        return self.parts > 0

    def end(self, why: str) -> None:
        self.ended = why


def run(scene):
    async def with_quiet_errors():
        asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
        await scene()

    asyncio.run(with_quiet_errors())


def test_connections_take_turns_and_a_failing_one_ends_alone():
    async def scene():
        handled: list[str] = []
        scheduler = InputScheduler()
        failing = Connection("failing", 1, handled, fails=True)
        for one in (failing, Connection("a", 3, handled), Connection("b", 2, handled)):
            scheduler.defer(one)
        for _ in range(10):
            await asyncio.sleep(0)
        assert handled == ["a", "b", "a", "b", "a"]
        assert failing.ended and not scheduler.queue

    run(scene)


def test_an_iteration_ends_when_its_time_is_used_and_others_run_in_between():
    """Guards against: connections with much input hold the loop together, however small each part is."""

    async def scene():
        handled: list[str] = []
        scheduler = InputScheduler()
        for number in range(6):
            scheduler.defer(Connection(str(number), 1, handled, seconds=ITERATION_SECONDS))
        for iteration in range(1, 7):
            await asyncio.sleep(0)
            assert handled == [str(number) for number in range(iteration)]

    run(scene)


def test_a_connection_that_has_ended_is_not_handled_any_more():
    async def scene():
        handled: list[str] = []
        scheduler = InputScheduler()
        ended = Connection("ended", 1, handled)
        scheduler.defer(ended)
        scheduler.forget(ended)
        await asyncio.sleep(0.01)
        assert handled == []

    run(scene)
