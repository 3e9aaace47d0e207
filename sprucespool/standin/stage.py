"""Plays a day: starts roster, library, invokers, controllers and clients, runs the steps of the script and has the
result judged."""

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
class _RunningInvoker:
    slot: Slot
    process: Process
    listed: Listed
    notes: Path


@dataclass(slots=True)
class Options:
    """Options of a run that are not part of the day's script."""

    decider: str = "hiku"
    folder: Path | None = None
    log_level: str = "warning"
    record: bool = False
    progress: Progress = field(default=lambda line: None)


class Stage:
    """Starts, controls and stops all processes of one day."""

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
        self.noted_faults: tuple[list[list[str]], list[str], bool] = ([], [], False)
        self.boot_count = 0
        self.running_invokers: dict[int, _RunningInvoker] = {}
        self.controllers: dict[int, Process] = {}
        self.addresses: list[str] = []
        self.unclean: list[str] = []
        self.controller_starts: list[tuple[int, float]] = []
        self.tasks: set[asyncio.Task] = set()
        self.all_processes: list[Process] = []
        self.killed: set[Process] = set()
        self.bad_links = BadLinks()
        self.starving = Starving(self.notes)
        self.starving.add("stage", os.getpid())
        # Only if the day has a group: the relays between processes, and the watch that reads the controllers' views.
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

    async def _start_invoker(self, slot: Slot, listen: str, cold: bool) -> _RunningInvoker:
        self.boot_count += 1
        boot, day = f"{slot.number}-{self.boot_count}", self.day
        habits, facts = day.invokers, worker_facts(day, slot.machines)
        notes = self.folder / f"invoker-{boot}.jsonl"
        relay, old = None, self.running_invokers.get(slot.number)
        if self.relays is not None:
            # A process that replaces another at the same address takes over its relay.
            place = next((name for name, known in self.relays.relays.items() if known.address == listen), None)
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
            day.seed * 100 + self.boot_count,
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
        self.all_processes.append(process)
        line = await process.started()
        self.starving.add(boot, process.popen.pid)
        if self.begin:
            process.begin(self.begin)
        address = line.removeprefix("listening on ")
        if relay is not None:
            await relay.set_target(address)
            address = relay.address
        listed = Listed(
            address,
            slot.zone,
            slot.machines.kind,
            slot.cell,
            float(slot.machines.cores),
            boot,
            now_ms() if cold else now_ms() - 3.6e6,
        )
        return _RunningInvoker(slot, process, listed, notes)

    async def _start_new(self, number: int, listen: str = "127.0.0.1:0"):
        invoker = await self._start_invoker(self.plan.slots[number], listen, True)
        self.running_invokers[number] = invoker
        self.roster.change(invoker.listed)

    async def _replace(self, number: int, span: float):
        """One replacement of a rolling deploy: the successor starts while the predecessor drains."""
        old = self.running_invokers[number]
        self._publish_status(old, DRAINING)
        await asyncio.sleep(0.2)
        old.process.signal(signal.SIGTERM)
        await self._start_new(number)
        if await old.process.ended(15.0) is None:
            self.unclean.append(f"invoker {old.listed.boot} did not finish draining")
        self._publish_status(old, GONE)

    async def _renew(self, number: int):
        """Drain and stop the process, then start another at the same address."""
        old = self.running_invokers[number]
        self._publish_status(old, DRAINING)
        await asyncio.sleep(0.2)
        old.process.signal(signal.SIGTERM)
        if await old.process.ended(15.0) is None:
            self.unclean.append(f"invoker {old.listed.boot} did not finish draining")
        await self._start_new(number, old.listed.address)

    def _publish_status(self, invoker: _RunningInvoker, status: int):
        listed = invoker.listed
        self.roster.change(
            Listed(listed.address, listed.zone, listed.kind, listed.cell, listed.size, listed.boot, listed.born, status)
        )

    def _kill(self, number: int):
        invoker = self.running_invokers[number]
        self.killed.add(invoker.process)
        invoker.process.signal(signal.SIGKILL)
        for relay in self.relays.relays.values() if self.relays else ():
            if relay.address == invoker.listed.address:
                relay.stop_listening()
        self.notes.write(seen.Died(now_ms(), invoker.listed.address, invoker.listed.boot))

    # Controllers

    def _controller_plan(self, number: int, listen: str) -> ControllerPlan:
        day = self.day
        others = [address for other, address in enumerate(self.addresses) if other != number]
        learning = (
            None
            if day.told == "none"
            else Learning(
                sources=[Source(address) for address in (others[:1] if day.told == "one" else others)]
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
                [ZonePlace(name, day.region_of(name) or name) for name in day.zones],
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
        self.all_processes.append(process)
        address = (await process.started()).removeprefix("listening on ")
        self.starving.add(f"c{number}", process.popen.pid)
        if self.relays is not None and self.watch is not None:
            await self.relays.relays[f"c{number}"].set_target(address)
            self.watch.note(group_seen.Began(now_ms(), f"c{number}"))
            self.watch.add(f"c{number}", address)
        if self.begin:
            self.controller_starts.append((number, now_ms()))
        return address

    def _build(self, number: int) -> str:
        """The decider (build) that the controller is started with."""
        day = self.day
        if day.group is not None and number == day.group.liar:
            return "fleet-liar"
        if day.failover is not None and number == day.failover.liar:
            return "failover-liar"
        jumps = any(step.what == "clock-jump" and step.target == number for step in self.plan.steps)
        return "clock-jumps" if jumps else self.options.decider

    async def _drain(self, zone: str, drain: bool):
        """Run the operators' drain or undrain command at a running controller.

        Retried for 15 s, because it is refused while there is no leader or while the load does not allow it.
        """
        end, reply = self.loop.time() + 15.0, ""
        while self.loop.time() < end:
            running = [n for n, process in self.controllers.items() if process.popen.poll() is None]
            command = [
                sys.executable,
                "-m",
                "sprucespool.cli.main",
                "drain-zone" if drain else "undrain-zone",
                zone,
                "--at",
                self.addresses[running[-1]],
            ]
            child = await asyncio.create_subprocess_exec(*command, stdout=asyncio.subprocess.PIPE)
            output, _ = await child.communicate()
            reply = output.decode(errors="replace").strip()
            if child.returncode == 0:
                return
            await asyncio.sleep(0.5)
        self.unclean.append(f"{'drain' if drain else 'undrain'} of {zone}: {reply}")

    async def _stall(self, number: int, span: float):
        process = self.controllers[number]
        at = now_ms()
        process.signal(signal.SIGSTOP)
        if self.watch is not None:
            self.watch.quiet.add(f"c{number}")
        self._note_faults()
        await asyncio.sleep(span / 1000.0)
        process.signal(signal.SIGCONT)
        if self.watch is not None:
            self.watch.quiet.discard(f"c{number}")
        self._note_faults()
        self.notes.write(seen.Stalled(at, number, now_ms()))

    # The day

    def _run_step(self, step: Step):
        if step.what == "replace":
            self._task(self._replace(step.target, step.span))
        elif step.what == "renew":
            self._task(self._renew(step.target))
        elif step.what == "listed-draining":
            self._publish_status(self.running_invokers[step.target], DRAINING)
        elif step.what == "kill":
            self._kill(step.target)
            self._task(self._report_dead(self.running_invokers[step.target]))
        elif step.what == "restart":
            self._task(self._start_new(step.target, self.running_invokers[step.target].listed.address))
        elif step.what == "start-new":
            self._task(self._start_new(step.target))
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
        self._note_faults()

    def _note_faults(self):
        """Note the current faults among the controllers, if they changed, for the judge of the group."""
        if self.relays is None or self.watch is None:
            return
        sides, uneven = partition_sides(self.relays.links, (f"c{n}" for n in range(self.day.controllers)))
        state = sides, sorted(self.watch.quiet), uneven
        if state != self.noted_faults:
            self.noted_faults = state
            self.watch.note(group_seen.Faulted(now_ms(), *state))

    async def _report_dead(self, invoker: _RunningInvoker):
        """The roster removes a dead process after 0.5 s, unless another has taken its slot by then."""
        await asyncio.sleep(0.5)
        if self.running_invokers[invoker.slot.number] is invoker:
            self._publish_status(invoker, GONE)

    def _task(self, work: Any):
        task = self.loop.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self._task_done)

    def _task_done(self, task: asyncio.Task):
        self.tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self.unclean.append(f"the stage: {type(task.exception()).__name__}: {task.exception()}")

    async def play(self) -> Result:
        day, progress = self.day, self.options.progress
        try:
            port = await self.listener.start("127.0.0.1", 0)
            self.platform = f"127.0.0.1:{port}"
            if self.relays is not None:
                await (await self.relays.relay_for("roster")).set_target(self.platform)
                for number in range(day.controllers):
                    await self.relays.relay_for(f"c{number}")
            started = await asyncio.gather(
                *(self._start_invoker(slot, "127.0.0.1:0", False) for slot in self.plan.slots)
            )
            for invoker in started:
                self.running_invokers[invoker.slot.number] = invoker
                self.roster.change(invoker.listed, at_once=True)
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
            for invoker in started:
                invoker.process.begin(self.begin)
            progress(
                f"{day.name}: {len(started)} invokers, {day.controllers} controllers, seed {day.seed}; troubles: "
                + (", ".join(f"{t.kind} at {t.at / 1000:.0f} s" for t in day.troubles) or "none")
            )
            for step in self.plan.steps:
                await self._sleep_until(self.begin + step.at)
                self._run_step(step)
            await self._sleep_until(self.begin + day.lasts)
            if await clients.ended(45.0) != 0:
                self.unclean.append(f"the clients did not exit: {clients.last_log_line()}")
            while self.tasks:
                await asyncio.wait(self.tasks, timeout=20.0)
            for link in self.bad_links.close_all(now_ms()):
                self.notes.write(link)
            group_verdict = self._group_verdict()
            await self._stop_all()
            return self._result(group_verdict)
        finally:
            self.starving.stop()
            if self.watch is not None:
                self.watch.stop()
            if self.relays is not None:
                await self.relays.close()
            for task in self.tasks:
                task.cancel()
            for process in self.all_processes:
                process.end()
            self.listener.close()
            self.notes.close()

    async def _start_clients(self) -> Process:
        """Start the clients. They learn the start time before they run: slow machines need a longer margin."""
        for margin in (1_500.0, 5_000.0, 15_000.0):
            begin = now_ms() + margin
            plan = ClientsPlan(self.day, begin, self.addresses, str(self.folder / "clients.jsonl"))
            (self.folder / "clients.json").write_bytes(msgspec.json.encode(plan))
            clients = Process(
                [sys.executable, "-m", "sprucespool.standin.clients", str(self.folder / "clients.json")],
                self.folder / "clients.log",
            )
            self.all_processes.append(clients)
            await clients.started()
            self.starving.add("clients", clients.popen.pid)
            if now_ms() < begin:
                self.begin = begin
                return clients
            clients.end()
        raise StageFailed("the clients took too long to start")

    async def _sleep_until(self, at: float):
        progress, last_reported = self.options.progress, 0.0
        while (remaining := at - now_ms()) > 0:
            elapsed = now_ms() - self.begin
            if elapsed - last_reported > 5_000.0:
                last_reported = elapsed
                progress(f"{self.day.name}: {max(0.0, elapsed) / 1000:.0f} s of {self.day.lasts / 1000:.0f}")
            await asyncio.sleep(min(remaining, 1000.0) / 1000.0)

    async def _stop_all(self):
        for process in self.controllers.values():
            process.signal(signal.SIGTERM)
        for number, process in self.controllers.items():
            code = await process.ended(8.0)
            if code != 0 and process not in self.killed:
                self.unclean.append(f"controller {number} ended with {code}: {process.last_log_line()}")
        for invoker in self.running_invokers.values():
            invoker.process.signal(signal.SIGTERM)
        for invoker in self.running_invokers.values():
            code = await invoker.process.ended(12.0)
            if code != 0 and invoker.process not in self.killed:
                self.unclean.append(
                    f"invoker {invoker.listed.boot} ended with {code}: {invoker.process.last_log_line()}"
                )

    def _group_verdict(self) -> group_seen.Verdict | None:
        if self.watch is None or self.day.group is None:
            return None
        self.watch.stop()
        self.watched_until = now_ms()
        (self.folder / "views.json").write_bytes(msgspec.json.encode(self.watch.noted))
        group = self.day.group
        return group_seen.check(
            self.watch.noted, group_seen.Bounds(group.alike_within, group.cleared_within, group.dead_within), now_ms()
        )

    def _result(self, verdict: group_seen.Verdict | None) -> Result:
        notes: list[seen.Seen] = []
        for path in sorted(self.folder.glob("*.jsonl")):
            with open(path, "rb") as lines:
                notes += seen.read(lines)
        day, watch = self.day, self.watch
        table = score(notes, {g.name: GroupValue(g.slo_time, g.value, g.late_value) for g in day.model_groups})
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
            judge(notes, facts(day)),
            self.unclean,
            stops,
            [first_seconds(day, notes, number, at) for number, at in self.controller_starts],
            verdict.broken if verdict else [],
            verdict.settled if verdict else None,
            fleet_verdict(day, watch, self.watched_until, notes) if watch else None,
            failover_verdict(day, watch, self.begin, self.watched_until, notes) if watch else None,
        )


def play(day: Day, options: Options) -> Result:
    """Play a day in separate processes. Raises StageFailed.

    In the main thread, SIGTERM and SIGHUP stop the day and all its processes.
    """
    if options.folder is not None:
        options.folder.mkdir(parents=True, exist_ok=True)
        return asyncio.run(_play(day, options, options.folder))
    with tempfile.TemporaryDirectory(prefix="sprucespool-day-") as folder:
        return asyncio.run(_play(day, options, Path(folder)))


async def _play(day: Day, options: Options, folder: Path) -> Result:
    # SIGTERM and SIGHUP cancel the task, so that its cleanup runs and no child process is left behind.
    loop, task = asyncio.get_running_loop(), asyncio.current_task()
    assert task is not None
    # Signal handlers can be set only in the main thread.
    in_main_thread = threading.current_thread() is threading.main_thread()
    signals = (signal.SIGTERM, signal.SIGHUP) if in_main_thread else ()
    for number in signals:
        loop.add_signal_handler(number, task.cancel)
    try:
        return await Stage(day, options, folder).play()
    except asyncio.CancelledError:
        raise StageFailed("told to end") from None
    finally:
        for number in signals:
            loop.remove_signal_handler(number)
