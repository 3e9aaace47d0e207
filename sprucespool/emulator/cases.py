"""Hard cases of the fleet's view in virtual time: the faults applied to a `FleetWorld`, and the outcome.

Each case runs in the same world with and without notes between controllers, so that both can be compared in a table.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from sprucespool.emulator.fleet import FleetWorld, VirtualInvoker
from sprucespool.faults import LinkState
from sprucespool.fleet import CourseClaim, Fleet, Listed, Listing, Opinion, Record, Send
from sprucespool.fleet.records import Course
from sprucespool.judge import fleet as seen
from sprucespool.judge.group import BrokenInvariant

SILENT = LinkState(cut="silent")


class Liar(Fleet):
    """Reports of all invokers that they are silent and gone or draining, and invents others."""

    lying = False

    def tick(self, now: float) -> list[Send]:
        sends = super().tick(now)
        self._draw(2)
        if self.lying and self.draws % 3 == 0:
            records = list(self.view.records.values())
            rows = []
            for n, record in enumerate(records[:64]):
                course = (Course.GONE, Course.DRAINING)[n % 2]
                rows.append(
                    Record(
                        record.process,
                        claims={self.me: CourseClaim(course, self.version, self.source or "roster")},
                        opinions={self.me: Opinion(self.draws + 1, "silent", self.zone, self.now)},
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
                sends.append(Send(peer.address, self._message("push", tuple(rows))))
        return sends


def _apply_one_by_one(
    invokers: list[VirtualInvoker],
    interval: float,
    world: FleetWorld,
    action: Callable[[VirtualInvoker], None],
    begin: float = 500.0,
):
    for n, invoker in enumerate(invokers):
        world._later(begin + interval * n, lambda invoker=invoker: action(invoker))  # type: ignore[misc]


def roster_dark(world: FleetWorld) -> None:
    """The roster is down for 60 s while a third of the invokers drain and are replaced at the same addresses."""
    world.roster_down()
    chosen = list(world.invokers.values())[::3]
    _apply_one_by_one(chosen, 30_000 / len(chosen), world, lambda invoker: world.replace(invoker, 2_500.0, 1_500.0))
    world.run(60_000)
    world.roster_down(False)


def pushed_to_one(world: FleetWorld) -> None:
    """The roster reaches one controller only; the connections of the others carry nothing."""
    world.only = {"c0"}
    chosen = list(world.invokers.values())[::4]
    _apply_one_by_one(chosen, 10_000 / len(chosen), world, lambda invoker: world.replace(invoker, 2_500.0, 500.0))
    world.run(20_000)


def drained_for_one(world: FleetWorld) -> None:
    """The roster reports to one controller that a third of the invokers drain; they report nothing and keep serving."""
    world.only = {"c0"}
    for invoker in list(world.invokers.values())[::3]:
        invoker.tells = False
        world.drain(invoker)
    world.run(15_000)


def old_copy(world: FleetWorld) -> None:
    """A roster restored from an old copy sends a third of the controllers its full list, with earlier versions."""
    old_rows, version = list(world.rows.values()), world.version
    chosen = list(world.invokers.values())[::3]
    _apply_one_by_one(chosen, 5_000 / len(chosen), world, lambda invoker: world.replace(invoker, 1_000.0, 300.0))
    world.run(12_000)
    world.old_copy(sorted(world.members)[::3], version, old_rows)
    world.run(5_000)


def halves(world: FleetWorld) -> None:
    """Half of the controllers are cut off from the roster and the others; the halves receive different reports."""
    names = sorted(world.members)
    near, far = set(names[::2]), set(names[1::2])
    world.partition([near | {"roster"}, far])
    invokers = list(world.invokers.values())
    # The roster reports the first group to its own side; the second is reported to the far side by the invokers.
    _apply_one_by_one(invokers[::6], 1_000, world, lambda invoker: world.replace(invoker, 2_500.0, 500.0))
    _apply_one_by_one(invokers[1::6], 1_000, world, lambda invoker: world.drain(invoker, listed=False))
    world.run(30_000)
    world.heal()
    for invoker in invokers[1::6]:
        world.publish(invoker)


def liar(world: FleetWorld) -> None:
    """One controller sends false reports: marks the fleet silent or gone, and invents invokers."""
    fleet = world.fleets[world.members["c0"]]
    if isinstance(fleet, Liar):
        fleet.lying = True
    world.run(20_000)


def one_zone(world: FleetWorld) -> None:
    """Some invokers answer the controllers of one zone only."""
    invokers = [invoker for invoker in world.invokers.values() if invoker.zone == "z0"][::3]
    others = [one.name for one in world.members.values() if one.about.zone != "z0"]
    world.links.put("one zone", others, [invoker.name for invoker in invokers], SILENT)
    world.run(30_000)
    world.links.heal("one zone")


def far_drain(world: FleetWorld) -> None:
    """A drain is reported during a partition, on one side only; the other side learns of it after the heal."""
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
    chosen = invokers[: round(0.6 * len(invokers))]
    _apply_one_by_one(chosen, 7_000 / len(chosen), world, lambda invoker: world.replace(invoker, 1_500.0, 1_000.0))
    world.run(14_000)


def all_restart(world: FleetWorld) -> None:
    """All controllers restart while the roster is down, with what the group still knows; one in four has a snapshot."""
    world.roster_down()
    world.run(1_000)
    for name in sorted(world.members):
        fleet = world.fleets[world.members[name]]
        snapshot = fleet.dump() if int(name[1:]) % 4 == 0 else []
        one = world.restart(name)
        # One in four controllers has a snapshot; the others have none.
        world.fleets[one].restore(world._time(one), snapshot)
        world._carry_out(one, [])
    world.run(15_000)
    world.roster_down(False)


def flapping(world: FleetWorld) -> None:
    """An invoker alternates between hanging and answering every 300 ms."""
    invoker = next(iter(world.invokers.values()))

    def toggle(left: int):
        invoker.hung = not invoker.hung and left > 0
        if left > 0:
            world._later(300.0, lambda: toggle(left - 1))

    toggle(60)
    world.run(20_000)


def silent(world: FleetWorld) -> None:
    """One in eight invokers hangs for 15 s, unnoticed by the roster."""
    chosen = list(world.invokers.values())[::8]
    for invoker in chosen:
        invoker.hung = True
    world.run(15_000)
    for invoker in chosen:
        invoker.hung = False


def dead_unlisted(world: FleetWorld) -> None:
    """One in eight invokers dies while the roster is down, so nobody is notified."""
    world.roster_down()
    chosen = list(world.invokers.values())[::8]
    for invoker in chosen:
        world.down(invoker)
    world.run(15_000)
    for invoker in chosen:
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
    # A tenth of the controllers receive it from the roster; the connections of the others return later.
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
    # Fraction of the serving invokers that a controller may choose from: mean, and worst observation.
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
    """Plays one case from a settled group until the views are equal, at most 60 s after the case."""
    world = FleetWorld(size, invokers, seed, share, rate, kind=kind, liars=int(case == "liar"), liar=Liar)
    world.run(4_000)
    initial = world.figures.as_dict()
    world.events_by_controller.clear()
    world.observe_every(observe_interval)
    CASES[case](world)
    # Changes that are still on their way are part of the case.
    world.run(2_500)
    honest = {name for name, one in world.members.items() if not isinstance(world.fleets[one], Liar)}
    views_equal: Callable[[], bool] = lambda: world.fleet_alike(honest)  # noqa: E731
    alike = 0.0 if views_equal() else world.run(60_000, views_equal)
    world.run(bounds.alike_within if bounds else 6_000)
    if case == "liar":
        world.kill("c0")
        world.run(10_000)
    verdict = world.verdict(bounds or seen.FleetBounds(alike_within=10_000.0))
    figures = {name: after - initial[name] for name, after in world.figures.as_dict().items()}
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
