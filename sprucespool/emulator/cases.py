"""Hard cases of the fleet's view in virtual time: what happens to a `FleetWorld`, and what came of it.

Each case is given the same world with and without notes between controllers, so that both can stand in one table.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from sprucespool.emulator.fleet import VirtualInvoker, FleetWorld
from sprucespool.faults import LinkState
from sprucespool.fleet import Fleet, Listed, Listing, Opinion, Record, Send, Word
from sprucespool.fleet.records import Course
from sprucespool.judge import fleet as seen
from sprucespool.judge.group import BrokenInvariant

SILENT = LinkState(cut="silent")


class Liar(Fleet):
    """Says of all invokers that they are silent and gone or draining, and invents others."""

    lying = False

    def tick(self, now: float) -> list[Send]:
        said = super().tick(now)
        self._chance(2)
        if self.lying and self.drawn % 3 == 0:
            known = list(self.view.records.values())
            rows = []
            for n, record in enumerate(known[:64]):
                course = (Course.GONE, Course.DRAINING)[n % 2]
                rows.append(
                    Record(
                        record.process,
                        words={self.me: Word(course, self.version, self.source or "roster")},
                        opinions={self.me: Opinion(self.drawn + 1, "silent", self.zone, self.now)},
                    )
                )
            for n in range(8):
                rows.append(
                    Record(
                        (f"made-up-{n}", "b"),
                        listings={
                            self.me: Listing(self.version + 1, self.source or "roster", Listed.IN_SERVICE, self.zone)
                        },
                    )
                )
            for peer in self.peers[:16]:
                said.append(Send(peer.address, self._note("push", tuple(rows))))
        return said


def _every(
    invokers: list[VirtualInvoker],
    each: float,
    world: FleetWorld,
    act: Callable[[VirtualInvoker], None],
    begin: float = 500.0,
):
    for n, invoker in enumerate(invokers):
        world._later(begin + each * n, lambda invoker=invoker: act(invoker))  # type: ignore[misc]


def roster_dark(world: FleetWorld) -> None:
    """The roster is dead for 60 s while a third of the invokers drain and are replaced at the same addresses."""
    world.roster_down()
    some = list(world.invokers.values())[::3]
    _every(some, 30_000 / len(some), world, lambda invoker: world.replace(invoker, 2_500.0, 1_500.0))
    world.run(60_000)
    world.roster_down(False)


def pushed_to_one(world: FleetWorld) -> None:
    """The roster reaches one controller only, and the others' connections stand still."""
    world.only = {"c0"}
    some = list(world.invokers.values())[::4]
    _every(some, 10_000 / len(some), world, lambda invoker: world.replace(invoker, 2_500.0, 500.0))
    world.run(20_000)


def drained_for_one(world: FleetWorld) -> None:
    """The roster tells one controller that a third of the invokers drain; they themselves tell nobody, and serve on."""
    world.only = {"c0"}
    for invoker in list(world.invokers.values())[::3]:
        invoker.tells = False
        world.drain(invoker)
    world.run(15_000)


def old_copy(world: FleetWorld) -> None:
    """A roster restored from an old copy tells a third of the controllers its whole list, with earlier versions."""
    then, version = list(world.rows.values()), world.version
    some = list(world.invokers.values())[::3]
    _every(some, 5_000 / len(some), world, lambda invoker: world.replace(invoker, 1_000.0, 300.0))
    world.run(12_000)
    world.old_copy(sorted(world.members)[::3], version, then)
    world.run(5_000)


def halves(world: FleetWorld) -> None:
    """Half of the controllers are cut off from the roster and the others; the halves are told different things."""
    names = sorted(world.members)
    near, far = set(names[::2]), set(names[1::2])
    world.partition([near | {"roster"}, far])
    invokers = list(world.invokers.values())
    # The side of the roster hears of these; the far side of those from the invokers themselves.
    _every(invokers[::6], 1_000, world, lambda invoker: world.replace(invoker, 2_500.0, 500.0))
    _every(invokers[1::6], 1_000, world, lambda invoker: world.drain(invoker, listed=False))
    world.run(30_000)
    world.heal()
    for invoker in invokers[1::6]:
        world.publish(invoker)


def liar(world: FleetWorld) -> None:
    """One controller lies about all: marks the fleet silent or gone, invents invokers."""
    told = world.fleets[world.members["c0"]]
    if isinstance(told, Liar):
        told.lying = True
    world.run(20_000)


def one_zone(world: FleetWorld) -> None:
    """Some invokers answer the controllers of one zone only."""
    invokers = [invoker for invoker in world.invokers.values() if invoker.zone == "z0"][::3]
    others = [one.name for one in world.members.values() if one.about.zone != "z0"]
    world.links.put("one zone", others, [invoker.name for invoker in invokers], SILENT)
    world.run(30_000)
    world.links.heal("one zone")


def far_drain(world: FleetWorld) -> None:
    """A drain is told during a partition, on the far side only; those on this side know when it heals."""
    names = sorted(world.members)
    world.partition([set(names[::2]) | {"roster"}, set(names[1::2])])
    world.run(12_000)
    invoker = list(world.invokers.values())[1]
    invoker.tells = False
    world.drain(invoker)
    world.run(10_000)
    world.heal()


def replaced(world: FleetWorld) -> None:
    """Six in ten invokers are replaced within 7 s."""
    invokers = list(world.invokers.values())
    some = invokers[: round(0.6 * len(invokers))]
    _every(some, 7_000 / len(some), world, lambda invoker: world.replace(invoker, 1_500.0, 1_000.0))
    world.run(14_000)


def all_restart(world: FleetWorld) -> None:
    """All controllers are restarted with the roster down: each has its snapshot, and what the group pieces together."""
    world.roster_down()
    world.run(1_000)
    for name in sorted(world.members):
        fleet = world.fleets[world.members[name]]
        kept = fleet.dump() if int(name[1:]) % 4 == 0 else []
        one = world.restart(name)
        # A snapshot of 30 s ago, at one in four; the others had none.
        world.fleets[one].restore(world._time(one), kept)
        world._carry_out(one, [])
    world.run(15_000)
    world.roster_down(False)


def flapping(world: FleetWorld) -> None:
    """An invoker stops and goes on answering every 300 ms."""
    invoker = next(iter(world.invokers.values()))

    def turn(left: int):
        invoker.hung = not invoker.hung and left > 0
        if left > 0:
            world._later(300.0, lambda: turn(left - 1))

    turn(60)
    world.run(20_000)


def silent(world: FleetWorld) -> None:
    """One in eight invokers hangs for 15 s; the roster sees nothing of it."""
    some = list(world.invokers.values())[::8]
    for invoker in some:
        invoker.hung = True
    world.run(15_000)
    for invoker in some:
        invoker.hung = False


def dead_unlisted(world: FleetWorld) -> None:
    """One in eight invokers dies with the roster down: nobody is told."""
    world.roster_down()
    some = list(world.invokers.values())[::8]
    for invoker in some:
        world.down(invoker)
    world.run(15_000)
    for invoker in some:
        world.start(invoker)
    world.roster_down(False)


def thousand(world: FleetWorld) -> None:
    """A thousand invokers join at once."""
    for n in range(1_000):
        invoker = VirtualInvoker(f"n{n}", f"new{n}", f"z{n % 3}", f"n{n}", world.now)
        world.invokers[invoker.address] = invoker
        world.noted.append(seen.Born(world.now, invoker.address, invoker.boot))
        world.rows[invoker.address] = world._row(invoker)
    world.version += 1
    rows = [world._row(invoker) for invoker in world.invokers.values()]
    # A tenth of the controllers hear it from the roster; the others' connections come back later.
    for name in sorted(world.members)[::10]:
        world._report_roster(world.members[name], False, world.version, rows)
    world.run(10_000)


def quiet(world: FleetWorld) -> None:
    """Nothing happens."""
    world.run(30_000)


CASES: dict[str, Callable[[FleetWorld], None]] = {
    "quiet": quiet,
    "roster-dark": roster_dark,
    "pushed-to-one": pushed_to_one,
    "drained-for-one": drained_for_one,
    "old-copy": old_copy,
    "halves": halves,
    "liar": liar,
    "one-zone": one_zone,
    "far-drain": far_drain,
    "replaced": replaced,
    "all-restart": all_restart,
    "flapping": flapping,
    "silent": silent,
    "dead-unlisted": dead_unlisted,
    "thousand": thousand,
}


@dataclass(slots=True)
class Outcome:
    """`alike`: ms from the end of the last fault to equal digests. `kinds`: events by kind over all controllers."""

    case: str
    seed: int
    shared: bool
    alike: float | None
    broken: list[BrokenInvariant]
    late: int
    told: list[float]
    figures: dict[str, Any]
    kinds: dict[str, int] = field(default_factory=dict)
    # Of the invokers that serve, the part that a controller may choose from: on the mean, and at the worst look.
    usable: float = 0.0
    least_usable: float = 0.0

    def as_dict(self) -> dict[str, Any]:
        told = sorted(self.told)
        return {
            "case": self.case,
            "seed": self.seed,
            "shared": self.shared,
            "alike_s": None if self.alike is None else round(self.alike / 1000, 2),
            "late": self.late,
            "told_p50_s": round(told[len(told) // 2] / 1000, 2) if told else None,
            "told_last_s": round(told[-1] / 1000, 2) if told else None,
            "broken": [f"({one.which}) {one.what}" for one in self.broken[:3]],
            "broken_count": len(self.broken),
            "usable": round(self.usable, 3),
            "least_usable": round(self.least_usable, 3),
            **self.figures,
            "kinds": self.kinds,
        }


def play(
    case: str,
    size: int,
    invokers: int,
    seed: int = 1,
    share: bool = True,
    rate: float = 2.0,
    kind: type[Fleet] = Fleet,
    bounds: seen.FleetBounds | None = None,
    observe_interval: float = 500.0,
) -> Outcome:
    """One case from a settled group to equal views or 60 s after."""
    world = FleetWorld(size, invokers, seed, share, rate, kind=kind, liars=int(case == "liar"), liar=Liar)
    world.run(4_000)
    begun = world.figures.as_dict()
    world.events_by_controller.clear()
    world.observe_every(observe_interval)
    CASES[case](world)
    # Changes that are still on their way are part of the case.
    world.run(2_500)
    honest = {name for name, one in world.members.items() if not isinstance(world.fleets[one], Liar)}
    whole: Callable[[], bool] = lambda: world.fleet_alike(honest)  # noqa: E731
    alike = 0.0 if whole() else world.run(60_000, whole)
    world.run(bounds.alike_within if bounds else 6_000)
    if case == "liar":
        world.kill("c0")
        world.run(10_000)
    verdict = world.verdict(bounds or seen.FleetBounds(alike_within=10_000.0))
    figures = {name: after - begun[name] for name, after in world.figures.as_dict().items()}
    kinds: dict[str, int] = {}
    for _, event in world.events_by_controller:
        kinds[event.kind] = kinds.get(event.kind, 0) + 1
    usable = world.usable or [1.0]
    return Outcome(
        case,
        seed,
        share,
        alike,
        verdict.broken,
        len(verdict.late),
        verdict.told,
        figures,
        kinds,
        sum(usable) / len(usable),
        min(usable),
    )
