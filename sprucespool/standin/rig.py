"""Several processes of `sprucespool serve` on loopback behind relays, with faults and a watch on their views."""

from __future__ import annotations

import asyncio
import signal
import sys
from collections.abc import Callable, Iterable
from pathlib import Path

import msgspec

from sprucespool.faults import LinkState
from sprucespool.judge import group as seen
from sprucespool.settings import write
from sprucespool.settings.controller import ControllerPlan, FleetView, Group, GroupPlan, Log, Place, RosterSource, Seed
from sprucespool.standin.links import Relays
from sprucespool.standin.processes import Process
from sprucespool.standin.trace import now_ms
from sprucespool.standin.watching import Watch


class Rig:
    """Runs controllers by name. Use it in `async with`, so that every process is stopped after a failure too."""

    def __init__(
        self,
        folder: Path,
        seed: int = 1,
        period: float = 500.0,
        decider: str = "hiku",
        usual: LinkState | None = None,
        loan: float = 6_000.0,
        every: float = 250.0,
        view: bool = False,
    ):
        self.folder, self.seed, self.period, self.decider, self.loan = folder, seed, period, decider, loan
        self.relays = Relays(seed, usual)
        self.watch = Watch(every)
        # Whether the controllers keep a view of the invokers; the roster files of controllers that have their own.
        self.view = self.watch.watch_fleet = view
        self.rosters: dict[str, Path] = {}
        self.processes: dict[str, Process] = {}
        self.all_processes: list[Process] = []
        self.places: dict[str, Place] = {}
        self.seeds: list[str] = []
        self.deciders: dict[str, str] = {}
        (folder / "invokers.kdl").write_text("")

    async def __aenter__(self) -> Rig:
        self.watch.start()
        return self

    async def __aexit__(self, *_: object) -> None:
        self.watch.stop()
        for process in self.all_processes:
            process.end()
        await self.relays.close()

    # Processes

    async def start(self, name: str, place: Place | None = None, seeds: list[str] | None = None) -> None:
        """Start a controller, or restart one at its earlier place."""
        self.places[name] = place = place or self.places[name]
        relay = await self.relays.relay_for(name)
        plan = ControllerPlan(
            listen="127.0.0.1:0",
            roster=RosterSource(file=str(self.rosters.get(name, self.folder / "invokers.kdl"))),
            fleet_view=FleetView() if self.view else None,
            model_groups=[Group("line", 600.0, 2500.0)],
            controller=place,
            source=self.relays.source_of(name),
            group=GroupPlan(
                "rig",
                "a mark of the rig",
                [Seed(seed) for seed in (self.seeds if seeds is None else seeds)],
                name,
                relay.address,
                self.period,
                self.loan,
            ),
            log=Log("info", str(self.folder / f"{name}.log")),
            seed=self.seed,
            stop_within=3_000.0,
        )
        path = self.folder / f"{name}.kdl"
        path.write_text(write(plan))
        command = [sys.executable, "-m", "sprucespool.cli.main", "serve", str(path)]
        decider = self.deciders.get(name, self.decider)
        if decider != "hiku":
            command += ["--decider", decider]
        process = self.processes[name] = Process(command, self.folder / f"{name}.err")
        self.all_processes.append(process)
        address = (await process.started()).removeprefix("listening on ")
        self.watch.note(seen.Began(now_ms(), name))
        self.watch.add(name, address)
        await relay.set_target(address)

    async def start_all(self, count: int, regions: int = 1, zones: int = 3, of: int = 0) -> list[str]:
        names = [f"c{n}" for n in range(count)]
        for n, name in enumerate(names):
            zone = n % zones
            self.places[name] = Place(n, of or count, f"z{zone}", f"r{zone % regions}")
        for name in names[:3]:
            self.seeds.append((await self.relays.relay_for(name)).address)
        await asyncio.gather(*(self.start(name) for name in names))
        return names

    def kill(self, name: str) -> None:
        self.watch.note(seen.Ended(now_ms(), name, "killed"))
        self.watch.drop(name)
        self.relays.relays[name].stop_listening()
        self.processes.pop(name).signal(signal.SIGKILL)

    async def leave(self, name: str) -> int | None:
        """Stop a controller with SIGTERM and return its exit status."""
        self.watch.note(seen.Ended(now_ms(), name, "left"))
        self.watch.drop(name)
        process = self.processes.pop(name)
        process.signal(signal.SIGTERM)
        code = await process.ended(15.0)
        self.relays.relays[name].stop_listening()
        return code

    def hold(self, names: Iterable[str]) -> None:
        stopped = list(names)
        self.watch.note(seen.Faulted(now_ms(), held=stopped))
        for name in stopped:
            self.watch.quiet.add(name)
            self.processes[name].signal(signal.SIGSTOP)

    def resume(self, names: Iterable[str]) -> None:
        for name in names:
            self.processes[name].signal(signal.SIGCONT)
            self.watch.quiet.discard(name)
        self.watch.note(seen.Faulted(now_ms()))

    # Links

    def partition(self, sides: list[list[str]], cut: str = "silent") -> None:
        self.relays.links.partition("partition", sides, cut)
        self.watch.note(seen.Faulted(now_ms(), sides=sides))
        self.relays.changed()

    def fault(
        self, name: str, one: Iterable[str] | None, other: Iterable[str] | None, state: LinkState, both: bool = True
    ) -> None:
        self.relays.links.put(name, one, other, state, both)
        self.watch.note(seen.Faulted(now_ms(), uneven=True))
        self.relays.changed()

    def heal(self) -> None:
        for name in list(self.relays.links.rules):
            self.relays.links.heal(name)
        self.watch.note(seen.Faulted(now_ms()))
        self.relays.changed()

    # Waiting

    async def until(self, holds: Callable[[], bool], within: float = 60.0) -> float | None:
        """Seconds until `holds()` is true, checked every 50 ms; None if it was not within `within` seconds."""
        started_at = asyncio.get_running_loop().time()
        while asyncio.get_running_loop().time() - started_at < within:
            if holds():
                return asyncio.get_running_loop().time() - started_at
            await asyncio.sleep(0.05)
        return None

    def alike(self, names: Iterable[str] | None = None) -> bool:
        """Whether the last views of the named (or all running) controllers have the same digest and list just these."""
        chosen = set(self.processes if names is None else names)
        views = [self.watch.newest.get(name) for name in chosen]
        if any(view is None or now_ms() - view.t > 1_500.0 for view in views):
            return False
        return len({view.digest for view in views if view}) == 1 and all(
            sum(row.state in (seen.ALIVE, seen.SUSPECT) for row in view.rows) == len(chosen) for view in views if view
        )

    def sees_removed(self, name: str, among: Iterable[str] | None = None) -> bool:
        chosen = set(self.processes if among is None else among)
        return all(
            view is not None and all(row.name != name or row.state in (seen.DEAD, seen.LEFT) for row in view.rows)
            for view in map(self.watch.newest.get, chosen)
        )

    def verdict(self, bounds: seen.Bounds) -> seen.Verdict:
        return seen.check(self.watch.noted, bounds, now_ms())

    def write(self, path: Path) -> None:
        path.write_bytes(b"\n".join(map(msgspec.json.encode, self.watch.noted)))
