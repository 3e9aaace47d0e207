"""Plays a day: starts roster, library, invokers, controllers and clients, does what the script says, asks the judge."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
import tempfile
import threading
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import msgspec

from sprucespool.emulator.library import LibraryFacts
from sprucespool.grpc.status import Limits
from sprucespool.faults import LinkState
from sprucespool.judge import judge, score, seen
from sprucespool.judge import group as group_seen
from sprucespool.judge.score import GroupValue
from sprucespool.settings import write
from sprucespool.settings.controller import (
    ControllerPlan,
    FailoverPlan,
    FleetView,
    GroupPlan,
    Learning,
    Log,
    Place,
    RosterSource,
    Seed,
    Source,
    Voter,
    ZonePlace,
)
from sprucespool.standin.clients import ClientsPlan
from sprucespool.standin.badlinks import BadLinks, partition_sides
from sprucespool.standin.invoker import InvokerPlan
from sprucespool.standin.links import Relays
from sprucespool.standin.platform import DRAINING, GONE, LibraryService, Listed, Roster
from sprucespool.standin.processes import Process, StageFailed
from sprucespool.standin.result import Result
from sprucespool.standin.verdicts import facts, failover_verdict, first_seconds, fleet_verdict
from sprucespool.standin.schedule import Schedule, Slot, Step, schedule, worker_facts
from sprucespool.standin.script import Day
from sprucespool.standin.starving import Starving
from sprucespool.standin.trace import Notes, now_ms
from sprucespool.standin.traffic import catalog, draw_troubles
from sprucespool.standin.watching import Watch
from sprucespool.transport.listener import Listener, Server

Progress = Callable[[str], None]


@dataclass(slots=True)
class _Standing:
    slot: Slot
    process: Process
    listed: Listed
    notes: Path


@dataclass(slots=True)
class Options:
    """How a day is played; the rest is in its script."""

    decider: str = "hiku"
    folder: Path | None = None
    log_level: str = "warning"
    record: bool = False
    progress: Progress = field(default=lambda line: None)


class Stage:
    """All processes of one day, from their start to their end."""

    def __init__(self, day: Day, options: Options, folder: Path):
        self.day, self.options, self.folder = day, options, folder
        if day.drawn:
            day.troubles = sorted([*day.troubles, *draw_troubles(day, day.seed)], key=lambda trouble: trouble.at)
        self.plan: Schedule = schedule(day)
        self.catalog = catalog(day)
        self.notes = Notes(str(folder / "stage.jsonl"))
        self.loop = asyncio.get_running_loop()
        self.roster = Roster(self.notes, day.roster.lag, day.seed)
        self.library = LibraryService(self.notes, LibraryFacts(day.library.smooth, day.library.most), self.catalog)
        self.listener = Listener({**self.roster.methods(), **self.library.methods()}, Limits(), Server())
        self.platform = ""
        self.begin = self.watched_until = 0.0
        self.faulted: tuple[list[list[str]], list[str], bool] = ([], [], False)
        self.boots = 0
        self.standing: dict[int, _Standing] = {}
        self.controllers: dict[int, Process] = {}
        self.addresses: list[str] = []
        self.unclean: list[str] = []
        self.joined: list[tuple[int, float]] = []
        self.tasks: set[asyncio.Task] = set()
        self.all: list[Process] = []
        self.killed: set[Process] = set()
        self.bad_links = BadLinks()
        self.starving = Starving(self.notes)
        self.starving.add("stage", os.getpid())
        # Only where the day has a group: what stands between processes, and the watch on their views.
        self.relays = Relays(day.seed) if day.group else None
        self.watch = Watch() if day.group else None
        if self.watch is not None and day.group is not None and day.group.view:
            self.watch.watch_fleet = True
            self.watch.watch_plans = day.failover is not None
        self.roster.reaches = lambda number: (
            self.relays is None or not self.relays.links.between("roster", f"c{number}").cut
        )
        for n, distance in enumerate(day.distances if self.relays else []):
            assert self.relays is not None
            self.relays.links.put(
                f"distance {n}",
                day.processes_named(distance.one),
                day.processes_named(distance.other),
                LinkState(distance.latency, distance.jitter),
            )

    # Invokers

    async def _start_invoker(self, slot: Slot, listen: str, cold: bool) -> _Standing:
        self.boots += 1
        boot, day = f"{slot.number}-{self.boots}", self.day
        habits, facts = day.invokers, worker_facts(day, slot.machines)
        notes = self.folder / f"invoker-{boot}.jsonl"
        relay, old = None, self.standing.get(slot.number)
        if self.relays is not None:
            # Anew in place: behind the relay that the one before it had.
            place = next((name for name, one in self.relays.relays.items() if one.address == listen), None)
            name = place or (f"i{slot.number}" if old is None else f"i{slot.number}+{boot}")
            self.relays.links.alias[name] = f"i{slot.number}"
            relay = await self.relays.relay_for(name)
            listen = "127.0.0.1:0"
        plan = InvokerPlan(
            listen,
            boot,
            facts,
            self.catalog,
            None,
            self.platform,
            str(notes),
            cold,
            habits.tells,
            slot.zone,
            slot.cell,
            day.seed * 100 + self.boots,
            10_000.0,
            self.plan.faults[slot.number],
            relay.address if relay else None,
            f"i{slot.number}",
        )
        path = self.folder / f"invoker-{boot}.json"
        path.write_bytes(msgspec.json.encode(plan))
        process = Process(
            [sys.executable, "-m", "sprucespool.standin.invoker", str(path)], self.folder / f"invoker-{boot}.log"
        )
        self.all.append(process)
        line = await process.started()
        self.starving.add(boot, process.popen.pid)
        if self.begin:
            process.begin(self.begin)
        where = line.removeprefix("listening on ")
        if relay is not None:
            await relay.set_target(where)
            where = relay.address
        listed = Listed(
            where,
            slot.zone,
            slot.machines.kind,
            slot.cell,
            float(slot.machines.cores),
            boot,
            now_ms() if cold else now_ms() - 3.6e6,
        )
        return _Standing(slot, process, listed, notes)

    async def _join(self, number: int, listen: str = "127.0.0.1:0"):
        standing = await self._start_invoker(self.plan.slots[number], listen, True)
        self.standing[number] = standing
        self.roster.change(standing.listed)

    async def _replace(self, number: int, span: float):
        """A rolling deploy: the successor starts while the predecessor ends what it has."""
        old = self.standing[number]
        self._leave(old, DRAINING)
        await asyncio.sleep(0.2)
        old.process.signal(signal.SIGTERM)
        await self._join(number)
        if await old.process.ended(15.0) is None:
            self.unclean.append(f"invoker {old.listed.boot} did not end its drain")
        self._leave(old, GONE)

    async def _renew(self, number: int):
        """It drains, ends, and another process stands at its address."""
        old = self.standing[number]
        self._leave(old, DRAINING)
        await asyncio.sleep(0.2)
        old.process.signal(signal.SIGTERM)
        if await old.process.ended(15.0) is None:
            self.unclean.append(f"invoker {old.listed.boot} did not end its drain")
        await self._join(number, old.listed.address)

    def _leave(self, standing: _Standing, status: int):
        one = standing.listed
        self.roster.change(Listed(one.address, one.zone, one.kind, one.cell, one.size, one.boot, one.born, status))

    def _kill(self, number: int):
        standing = self.standing[number]
        self.killed.add(standing.process)
        standing.process.signal(signal.SIGKILL)
        for relay in self.relays.relays.values() if self.relays else ():
            if relay.address == standing.listed.address:
                relay.stop_listening()
        self.notes.write(seen.Died(now_ms(), standing.listed.address, standing.listed.boot))

    # Controllers

    def _controller_plan(self, number: int, listen: str) -> ControllerPlan:
        day = self.day
        others = [where for other, where in enumerate(self.addresses) if other != number]
        learning = (
            None
            if day.told == "none"
            else Learning(
                sources=[Source(where) for where in (others[:1] if day.told == "one" else others)]
                if day.told != "snapshot"
                else [],
                snapshot=str(self.folder / f"controller-{number}.snap") if day.told == "snapshot" else None,
            )
        )
        zone = day.zones[number % len(day.zones)]
        group, view, source, watched = None, None, "", self.platform
        failover = None
        if day.failover is not None:
            failover = FailoverPlan(
                [ZonePlace(one, day.region_of(one) or one) for one in day.zones],
                [Voter(name) for name in day.failover.voters.split(",")],
                keep=str(self.folder / f"ballot-{number}"),
                replace_after=day.failover.replace_after,
            )
        if self.relays is not None and day.group is not None:
            relays = self.relays.relays
            seeds = [Seed(relays[f"c{n}"].address) for n in range(min(3, day.controllers))]
            group = GroupPlan(
                day.name,
                "a mark of the stage",
                seeds,
                f"c{number}",
                relays[f"c{number}"].address,
                day.group.period,
                day.group.loan,
            )
            source, watched = self.relays.source_of(f"c{number}"), relays["roster"].address
            view = FleetView(snapshot=str(self.folder / f"fleet-{number}.snap")) if day.group.view else None
        return ControllerPlan(
            listen=listen,
            roster=RosterSource(watch=watched),
            model_groups=day.model_groups,
            controller=Place(number, day.controllers, zone, day.region_of(zone)),
            tenants=day.tenants,
            learning=learning,
            group=group,
            fleet_view=view,
            failover=failover,
            source=source,
            fleet=day.fleet,
            forwards=day.forwards,
            orders=day.orders,
            answers=day.answers,
            log=Log(self.options.log_level, str(self.folder / f"controller-{number}.log")),
            seed=day.seed * 10 + number,
            stop_within=6_000.0,
            record=str(self.folder / f"controller-{number}.inputs") if self.options.record else None,
        )

    async def _start_controller(self, number: int, listen: str) -> str:
        path = self.folder / f"controller-{number}.kdl"
        path.write_text(write(self._controller_plan(number, listen)))
        command = [sys.executable, "-m", "sprucespool.cli.main", "serve", str(path)]
        build = self._build(number)
        if build != "hiku":
            command += ["--decider", build]
        process = self.controllers[number] = Process(command, self.folder / f"controller-{number}.err")
        self.all.append(process)
        where = (await process.started()).removeprefix("listening on ")
        self.starving.add(f"c{number}", process.popen.pid)
        if self.relays is not None and self.watch is not None:
            await self.relays.relays[f"c{number}"].set_target(where)
            self.watch.note(group_seen.Began(now_ms(), f"c{number}"))
            self.watch.add(f"c{number}", where)
        if self.begin:
            self.joined.append((number, now_ms()))
        return where

    def _build(self, number: int) -> str:
        """What the controller is started as."""
        day = self.day
        if day.group is not None and number == day.group.liar:
            return "fleet-liar"
        if day.failover is not None and number == day.failover.liar:
            return "failover-liar"
        jumps = any(step.what == "clock-jump" and step.target == number for step in self.plan.steps)
        return "clock-jumps" if jumps else self.options.decider

    async def _drain(self, zone: str, away: bool):
        """The operators' command, asked of one that is there; again while nobody leads or the figures say no."""
        end, why = self.loop.time() + 15.0, ""
        while self.loop.time() < end:
            there = [n for n, process in self.controllers.items() if process.popen.poll() is None]
            command = [
                sys.executable,
                "-m",
                "sprucespool.cli.main",
                "drain-zone" if away else "undrain-zone",
                zone,
                "--at",
                self.addresses[there[-1]],
            ]
            child = await asyncio.create_subprocess_exec(*command, stdout=asyncio.subprocess.PIPE)
            told, _ = await child.communicate()
            why = told.decode(errors="replace").strip()
            if child.returncode == 0:
                return
            await asyncio.sleep(0.5)
        self.unclean.append(f"{'drain' if away else 'undrain'} of {zone}: {why}")

    async def _stall(self, number: int, span: float):
        process = self.controllers[number]
        at = now_ms()
        process.signal(signal.SIGSTOP)
        if self.watch is not None:
            self.watch.quiet.add(f"c{number}")
        self._faulted()
        await asyncio.sleep(span / 1000.0)
        process.signal(signal.SIGCONT)
        if self.watch is not None:
            self.watch.quiet.discard(f"c{number}")
        self._faulted()
        self.notes.write(seen.Stalled(at, number, now_ms()))

    # The day

    def _do(self, step: Step):
        if step.what == "replace":
            self._task(self._replace(step.target, step.span))
        elif step.what == "renew":
            self._task(self._renew(step.target))
        elif step.what == "listed-draining":
            self._leave(self.standing[step.target], DRAINING)
        elif step.what == "kill":
            self._kill(step.target)
            self._task(self._noticed(self.standing[step.target]))
        elif step.what == "restart":
            self._task(self._join(step.target, self.standing[step.target].listed.address))
        elif step.what == "start-new":
            self._task(self._join(step.target))
        elif step.what == "roster-lag":
            self.roster.extra = step.value
        elif step.what == "roster-old":
            self.roster.restore(step.value)
        elif step.what == "roster-down":
            self.roster.break_all()
        elif step.what == "roster-up":
            self.roster.down = False
        elif step.what == "library-slow":
            self.library.set(slow=step.value)
        elif step.what in ("library-down", "library-up"):
            self.library.set(down=step.what == "library-down")
        elif step.what == "stall":
            self._task(self._stall(step.target, step.span))
        elif step.what == "controller-kill":
            self.killed.add(self.controllers[step.target])
            self.controllers[step.target].signal(signal.SIGKILL)
            if self.relays is not None and self.watch is not None:
                self.relays.relays[f"c{step.target}"].stop_listening()
                self.watch.drop(f"c{step.target}")
                self.watch.note(group_seen.Ended(now_ms(), f"c{step.target}", "killed"))
            self.notes.write(seen.Killed(now_ms(), step.target))
        elif step.what == "controller-start":
            self._task(self._start_controller(step.target, self.addresses[step.target]))
        elif step.what == "clock-jump":
            self.controllers[step.target].signal(signal.SIGUSR2)
        elif step.what in ("drain-zone", "undrain-zone"):
            self._task(self._drain(step.name, step.what == "drain-zone"))
        elif step.what in ("link", "heal"):
            self._link(step)
        else:
            raise StageFailed(f"no such step: {step.what}")

    def _links_changed(self):
        assert self.relays is not None
        return self.bad_links.update(
            now_ms(), self.relays.links, range(self.day.controllers), [f"i{slot.number}" for slot in self.plan.slots]
        )

    def _link(self, step: Step):
        assert self.relays is not None
        links = self.relays.links
        if step.what == "heal":
            links.heal(step.name)
        elif len(step.sides) > 2:
            links.partition(step.name, step.sides, step.state.cut)
        else:
            one, other = step.sides
            links.put(step.name, one, other, step.state, step.both)
        self.relays.changed()
        for link in self._links_changed():
            self.notes.write(link)
        self._faulted()

    def _faulted(self):
        """What of it concerns the group, for its judge."""
        if self.relays is None or self.watch is None:
            return
        sides, uneven = partition_sides(self.relays.links, (f"c{n}" for n in range(self.day.controllers)))
        state = sides, sorted(self.watch.quiet), uneven
        if state != self.faulted:
            self.faulted = state
            self.watch.note(group_seen.Faulted(now_ms(), *state))

    async def _noticed(self, standing: _Standing):
        """The roster finds a dead process gone after a moment, if nothing new stands there by then."""
        await asyncio.sleep(0.5)
        if self.standing[standing.slot.number] is standing:
            self._leave(standing, GONE)

    def _task(self, work: Any):
        task = self.loop.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self._task_done)

    def _task_done(self, task: asyncio.Task):
        self.tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self.unclean.append(f"the stage: {type(task.exception()).__name__}: {task.exception()}")

    async def play(self) -> Result:
        day, say = self.day, self.options.progress
        try:
            port = await self.listener.start("127.0.0.1", 0)
            self.platform = f"127.0.0.1:{port}"
            if self.relays is not None:
                await (await self.relays.relay_for("roster")).set_target(self.platform)
                for number in range(day.controllers):
                    await self.relays.relay_for(f"c{number}")
            found = await asyncio.gather(*(self._start_invoker(slot, "127.0.0.1:0", False) for slot in self.plan.slots))
            for standing in found:
                self.standing[standing.slot.number] = standing
                self.roster.change(standing.listed, at_once=True)
            await asyncio.sleep(0.05)
            self.addresses = list(
                await asyncio.gather(
                    *(self._start_controller(number, "127.0.0.1:0") for number in range(day.controllers))
                )
            )
            await asyncio.sleep(0.3)
            if self.watch is not None:
                self.watch.start()
            self.starving.check()
            clients = await self._start_clients()
            for standing in found:
                standing.process.begin(self.begin)
            say(
                f"{day.name}: {len(found)} invokers, {day.controllers} controllers, seed {day.seed}; troubles: "
                + (", ".join(f"{t.kind} at {t.at / 1000:.0f} s" for t in day.troubles) or "none")
            )
            for step in self.plan.steps:
                await self._until(self.begin + step.at)
                self._do(step)
            await self._until(self.begin + day.lasts)
            if await clients.ended(45.0) != 0:
                self.unclean.append(f"the clients did not end: {clients.last_log_line()}")
            while self.tasks:
                await asyncio.wait(self.tasks, timeout=20.0)
            for link in self.bad_links.close_all(now_ms()):
                self.notes.write(link)
            verdict = self._group_verdict()
            await self._end_all()
            return self._result(verdict)
        finally:
            self.starving.stop()
            if self.watch is not None:
                self.watch.stop()
            if self.relays is not None:
                await self.relays.close()
            for task in self.tasks:
                task.cancel()
            for process in self.all:
                process.end()
            self.listener.close()
            self.notes.close()

    async def _start_clients(self) -> Process:
        """They are told when the day begins before they run: on a loaded machine that must be later."""
        for margin in (1_500.0, 5_000.0, 15_000.0):
            begin = now_ms() + margin
            plan = ClientsPlan(self.day, begin, self.addresses, str(self.folder / "clients.jsonl"))
            (self.folder / "clients.json").write_bytes(msgspec.json.encode(plan))
            clients = Process(
                [sys.executable, "-m", "sprucespool.standin.clients", str(self.folder / "clients.json")],
                self.folder / "clients.log",
            )
            self.all.append(clients)
            await clients.started()
            self.starving.add("clients", clients.popen.pid)
            if now_ms() < begin:
                self.begin = begin
                return clients
            clients.end()
        raise StageFailed("the clients took too long to start")

    async def _until(self, at: float):
        say, last = self.options.progress, 0.0
        while (left := at - now_ms()) > 0:
            gone = now_ms() - self.begin
            if gone - last > 5_000.0:
                last = gone
                say(f"{self.day.name}: {max(0.0, gone) / 1000:.0f} s of {self.day.lasts / 1000:.0f}")
            await asyncio.sleep(min(left, 1000.0) / 1000.0)

    async def _end_all(self):
        for process in self.controllers.values():
            process.signal(signal.SIGTERM)
        for number, process in self.controllers.items():
            code = await process.ended(8.0)
            if code != 0 and process not in self.killed:
                self.unclean.append(f"controller {number} ended with {code}: {process.last_log_line()}")
        for standing in self.standing.values():
            standing.process.signal(signal.SIGTERM)
        for standing in self.standing.values():
            code = await standing.process.ended(12.0)
            if code != 0 and standing.process not in self.killed:
                self.unclean.append(
                    f"invoker {standing.listed.boot} ended with {code}: {standing.process.last_log_line()}"
                )

    def _group_verdict(self) -> group_seen.Verdict | None:
        if self.watch is None or self.day.group is None:
            return None
        self.watch.stop()
        self.watched_until = now_ms()
        (self.folder / "views.json").write_bytes(msgspec.json.encode(self.watch.noted))
        told = self.day.group
        return group_seen.check(
            self.watch.noted, group_seen.Bounds(told.alike_within, told.cleared_within, told.dead_within), now_ms()
        )

    def _result(self, verdict: group_seen.Verdict | None) -> Result:
        found: list[seen.Seen] = []
        for path in sorted(self.folder.glob("*.jsonl")):
            with open(path, "rb") as lines:
                found += seen.read(lines)
        day, watch = self.day, self.watch
        table = score(found, {g.name: GroupValue(g.slo_time, g.value, g.late_value) for g in day.model_groups})
        stops = [
            msgspec.json.decode(process.remaining_output.removeprefix("stopped "))
            for process in self.controllers.values()
            if process.remaining_output.startswith("stopped ")
        ]
        return Result(
            day.name,
            day.seed,
            self.options.decider,
            table,
            judge(found, facts(day)),
            self.unclean,
            stops,
            [first_seconds(day, found, number, at) for number, at in self.joined],
            verdict.broken if verdict else [],
            verdict.settled if verdict else None,
            fleet_verdict(day, watch, self.watched_until, found) if watch else None,
            failover_verdict(day, watch, self.begin, self.watched_until, found) if watch else None,
        )


def play(day: Day, options: Options) -> Result:
    """Play a day in processes of its own; from the main thread, where signals end it in order. Raises StageFailed."""
    if options.folder is not None:
        options.folder.mkdir(parents=True, exist_ok=True)
        return asyncio.run(_play(day, options, options.folder))
    with tempfile.TemporaryDirectory(prefix="sprucespool-day-") as folder:
        return asyncio.run(_play(day, options, Path(folder)))


async def _play(day: Day, options: Options, folder: Path) -> Result:
    # Against processes left behind by a stage that is told to end: its own clearing up must run.
    loop, task = asyncio.get_running_loop(), asyncio.current_task()
    assert task is not None
    # Elsewhere than in the main thread nobody can hear signals.
    here = threading.current_thread() is threading.main_thread()
    told = (signal.SIGTERM, signal.SIGHUP) if here else ()
    for number in told:
        loop.add_signal_handler(number, task.cancel)
    try:
        return await Stage(day, options, folder).play()
    except asyncio.CancelledError:
        raise StageFailed("told to end") from None
    finally:
        for number in told:
            loop.remove_signal_handler(number)
