"""`sprucespool`: serve, check, invoker, day, replay. Bad input ends with one line and status 2, never a traceback."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path
from typing import Annotated, Any

import msgspec
import typer
from rich.console import Console
from rich.table import Table as RichTable

from sprucespool.settings import SettingsError, read
from sprucespool.settings.controller import ControllerPlan, deployment
from sprucespool.settings.kdl import DURATIONS, quantity

app = typer.Typer(
    add_completion=False,
    no_args_is_help=True,
    pretty_exceptions_enable=False,
    help="The invoker front end of a function platform.",
)


def _day(script: Path) -> Any:
    """A day's script, with the traffic that it names."""
    from sprucespool.standin.recorded import with_recorded
    from sprucespool.standin.script import Day

    told = _read(Day, script)
    try:
        return with_recorded(told, script.parent)
    except ValueError as problem:
        raise _refuse(f"{script}: {problem}") from None


def _refuse(why: str) -> typer.Exit:
    print(why, file=sys.stderr)
    return typer.Exit(2)


def _read(kind: type, path: Path) -> Any:
    try:
        return read(kind, path.read_text(encoding="utf-8"), str(path))
    except OSError as problem:
        raise _refuse(f"{path}: {problem.strerror or problem}") from None
    except UnicodeDecodeError:
        raise _refuse(f"{path}: expected UTF-8 text") from None
    except SettingsError as problem:
        raise _refuse(str(problem)) from None


def _decider(name: str) -> Any:
    from sprucespool.standin.baselines import DECIDERS
    from sprucespool.standin.jumping import LOOPS
    from sprucespool.standin.members import MEMBERS
    from sprucespool.standin.plans import PLANS, STEERS
    from sprucespool.standin.views import VIEWS

    known = (*DECIDERS, *MEMBERS, *VIEWS, *sorted((*PLANS, *STEERS)), *LOOPS)
    if name not in known:
        raise _refuse(f"--decider: expected one of {', '.join(known)}, got {name!r}")
    return DECIDERS[name if name in DECIDERS else "hiku"]


@app.command()
def serve(
    settings: Path,
    decider: Annotated[
        str, typer.Option(help="Another decision module: baselines and broken ones, for experiments only.")
    ] = "hiku",
) -> None:
    """Run a controller until SIGTERM (owed answers are given first; a second one ends at once)."""
    from sprucespool.daemon.serve import serve as run_controller
    from sprucespool.failover import Failover, Steer
    from sprucespool.fleet import Fleet
    from sprucespool.gateway import Gateway
    from sprucespool.membership import Group
    from sprucespool.standin.baselines import GATEWAYS
    from sprucespool.standin.jumping import LOOPS
    from sprucespool.standin.members import MEMBERS
    from sprucespool.standin.plans import PLANS, STEERS
    from sprucespool.standin.views import VIEWS

    plan = _read(ControllerPlan, settings)
    try:
        status = run_controller(
            plan,
            _decider(decider),
            GATEWAYS.get(decider, Gateway),
            MEMBERS.get(decider, Group),
            VIEWS.get(decider, Fleet),
            PLANS.get(decider, Failover),
            STEERS.get(decider, Steer),
            LOOPS.get(decider),
        )
    except OSError as problem:
        raise _refuse(f"{settings}: {problem.filename or ''}: {problem.strerror or problem}") from None
    raise typer.Exit(status)


@app.command()
def check(settings: Path) -> None:
    """Read a controller's file and say whether it is good, without starting anything."""
    plan = _read(ControllerPlan, settings)
    facts = deployment(plan)
    print(
        f"{settings}: good: controller {facts.own_number} of {facts.controllers}, listening on {plan.listen}, "
        f"{len(facts.groups)} model groups, {len(facts.tenants)} tenants"
    )


@app.command()
def invoker(
    listen: str = "127.0.0.1:0",
    memory_mb: float = 8000.0,
    cores: int = 3,
    speed: float = 1.0,
    keep_alive: str = "10s",
    load: Annotated[str, typer.Option(help="How long a load takes.")] = "800ms",
    lanes: int = 2,
    model_mb: float = 600.0,
    miss: Annotated[bool, typer.Option(help="Answer miss instead of loading on demand.")] = False,
    library: Annotated[str | None, typer.Option(help="A model library's HOST:PORT to fetch from.")] = None,
    cold: Annotated[bool, typer.Option(help="Start with a part of the capacity, as a new process does.")] = False,
) -> None:
    """Run a stand-in invoker: it takes any model and times its work, computing nothing."""
    from sprucespool.emulator.worker import ModelInfo, WorkerFacts
    from sprucespool.settings.controller import address, loopback
    from sprucespool.standin.invoker import InvokerPlan
    from sprucespool.standin.invoker import serve as run_invoker

    try:
        loopback(listen)
        if library:
            address(library)
        span = quantity(load, DURATIONS, "800ms")
        facts = WorkerFacts(
            memory=memory_mb,
            cores=cores,
            speed=speed,
            keep_alive=quantity(keep_alive, DURATIONS, "10s"),
            loads_on_miss=not miss,
        )
    except ValueError as problem:
        raise _refuse(str(problem)) from None
    if cores < 1 or speed <= 0 or lanes < 1:
        raise _refuse("expected cores and lanes of at least 1 and a speed above 0")
    plan = InvokerPlan(
        listen, "1", facts, any_model=ModelInfo(model_mb, lanes, span / 2, span / 2), library=library, cold=cold
    )
    raise typer.Exit(asyncio.run(run_invoker(plan)))


def _shown(result: Any) -> None:
    table = RichTable(title=f"{result.day} (seed {result.seed}, decided by {result.decider}; stand-ins on loopback)")
    figures = result.table
    rows = [
        ("taken", figures.taken),
        ("tries", figures.tries),
        ("returned in SLO time", figures.in_slo_time),
        ("late", figures.late),
        ("shed", figures.shed),
        ("failed", figures.failed),
        ("left by their clients", figures.left),
        ("unreached", figures.unreached),
        ("loads", figures.loads),
        ("forwards", figures.forwards),
        ("orders", figures.orders),
        ("service", f"{figures.service:.3f}"),
        ("worst 10 s", f"{figures.worst_10s:.3f}"),
        ("p50 of returned", f"{figures.p50_ms:.0f} ms"),
        ("p99 of returned", f"{figures.p99_ms:.0f} ms"),
    ]
    table.add_column("what")
    table.add_column("figure", justify="right")
    for name, figure in rows:
        table.add_row(name, str(figure))
    Console().print(table)
    for broken in result.broken[:20]:
        print(f"rule {broken.rule} at {broken.at:.0f}: {broken.what}")
    for line in result.unclean:
        print(f"unclean: {line}")
    for one in result.invariants[:20]:
        print(f"invariant {one.which} at {one.at:.0f}: {one.what}")
    if result.settled is not None:
        print(
            f"views equal {result.settled / 1000:.1f} s after the last fault; "
            f"invariants broken: {len(result.invariants)}"
        )
    if result.fleet is not None and result.fleet.views:
        for one in result.fleet.broken[:20]:
            print(f"fleet invariant {one.which} at {one.at:.0f}: {one.what}")
        settled = result.fleet.settled
        print(
            f"fleet views equal {'never' if settled is None else f'{settled / 1000:.1f} s'} after the last change; "
            f"forwards after an end that others knew: {len(result.fleet.late)}; "
            f"fleet invariants broken: {len(result.fleet.broken)}"
        )
    if result.failover is not None:
        for one in result.failover.broken[:20]:
            print(f"failover invariant {one.which} at {one.at:.0f}: {one.what}")
        settled, near = (
            ("never" if span is None else f"{span / 1000:.1f} s")
            for span in (result.failover.settled, result.failover.near)
        )
        print(
            f"one plan followed {settled}, near traffic back {near} after the last fault; plans: "
            f"{result.failover.plans}; crossings: {result.failover.crossed:.1%}, while all was well "
            f"{result.failover.calm_crossed:.2%}; failover invariants broken: {len(result.failover.broken)}"
        )
    print(f"rules broken: {len(result.broken)}")


@app.command()
def day(
    script: Path,
    seed: Annotated[int | None, typer.Option(help="Another seed than the script's.")] = None,
    decider: str = "hiku",
    json: Annotated[bool, typer.Option("--json", help="One JSON object.")] = False,
    keep: Annotated[Path | None, typer.Option(help="Keep notes, logs and input records in this folder.")] = None,
    log_level: str = "warning",
) -> None:
    """Play a scripted day of trouble on loopback with stand-ins; status 1 if a rule was broken."""
    from sprucespool.standin.stage import Options, StageFailed, play

    told = _day(script)
    _decider(decider)
    if seed is not None:
        told.seed = seed
    quiet = json
    options = Options(
        decider,
        keep,
        log_level,
        keep is not None,
        (lambda line: None) if quiet else lambda line: print(line, file=sys.stderr, flush=True),
    )
    try:
        result = play(told, options)
    except StageFailed as problem:
        print(f"{script}: the day was not played: {problem}", file=sys.stderr)
        raise typer.Exit(3) from None
    if json:
        print(msgspec.json.encode(result.as_dict()).decode())
    else:
        _shown(result)
    raise typer.Exit(
        1
        if result.broken
        or result.unclean
        or result.invariants
        or (result.fleet is not None and result.fleet.broken)
        or (result.failover is not None and result.failover.broken)
        else 0
    )


@app.command()
def replay(record: Path) -> None:
    """Play a controller's recorded inputs again and print a digest of the effects: equal records give equal ones."""
    import hashlib

    from sprucespool.gateway import ReplayError
    from sprucespool.gateway import replay as play_again

    digest, count = hashlib.blake2b(digest_size=16), 0
    encoder = msgspec.msgpack.Encoder()

    def port(effect):
        nonlocal count
        count += 1
        digest.update(encoder.encode(effect))

    try:
        with open(record, "rb") as source:
            gateway = play_again(source, port)
    except OSError as problem:
        raise _refuse(f"{record}: {problem.strerror or problem}") from None
    except ReplayError as problem:
        raise _refuse(f"{record}: {problem}") from None
    print(msgspec.json.encode({"effects": count, "digest": digest.hexdigest(), **gateway.counts.as_dict()}).decode())


@app.command()
def members(
    addresses: Annotated[list[str], typer.Argument(help="HOST:PORT of a running controller.", metavar="ADDRESS...")],
    watch: Annotated[bool, typer.Option("--watch", help="Again every second, until interrupted.")] = False,
    json: Annotated[bool, typer.Option("--json", help="One JSON object.")] = False,
    compare: Annotated[bool, typer.Option("--compare", help="Say in which rows these controllers differ.")] = False,
) -> None:
    """Show the group of controllers as a running one sees it; status 1 if those compared differ."""
    from sprucespool.cli.members import run as show

    _show(show, addresses, watch, json, compare)


def _show(show: Any, *told: Any) -> None:
    """What asks a running controller: its status, or one line on why it could not be asked."""
    from sprucespool.cli.asking import Unreachable

    try:
        raise typer.Exit(show(*told))
    except ValueError as problem:
        raise _refuse(str(problem)) from None
    except Unreachable as problem:
        print(problem, file=sys.stderr)
        raise typer.Exit(3) from None


@app.command()
def fleet(
    addresses: Annotated[list[str], typer.Argument(help="HOST:PORT of a running controller.", metavar="ADDRESS...")],
    watch: Annotated[bool, typer.Option("--watch", help="Again every second, until interrupted.")] = False,
    json: Annotated[bool, typer.Option("--json", help="One JSON object.")] = False,
    compare: Annotated[
        bool, typer.Option("--compare", help="Say of which invokers these know different things.")
    ] = False,
) -> None:
    """Show the invokers as a running controller knows them; status 1 if those compared differ."""
    from sprucespool.cli.fleet import run as show

    _show(show, addresses, watch, json, compare)


@app.command()
def zones(
    addresses: Annotated[list[str], typer.Argument(help="HOST:PORT of a running controller.", metavar="ADDRESS...")],
    watch: Annotated[bool, typer.Option("--watch", help="Again every second, until interrupted.")] = False,
    json: Annotated[bool, typer.Option("--json", help="One JSON object.")] = False,
    compare: Annotated[bool, typer.Option("--compare", help="Say whether these follow the same plan.")] = False,
) -> None:
    """Show the plan of zones that a running controller follows, why, and who agrees; status 1 if those compared
    differ."""
    from sprucespool.cli.zones import run as show

    _show(show, addresses, watch, json, compare)


def _drain(where: str, zone: str, away: bool, force: bool) -> None:
    from sprucespool.cli.zones import run_drain

    _show(run_drain, where, zone, away, force)


@app.command("drain-zone")
def drain_zone(
    zone: str,
    at: Annotated[str, typer.Option(help="HOST:PORT of any running controller.")],
    force: Annotated[bool, typer.Option("--force", help="Though some load would have to be shed.")] = False,
) -> None:
    """Have the group empty a zone; status 1 with the reason where that would overload the rest."""
    _drain(at, zone, True, force)


@app.command("undrain-zone")
def undrain_zone(zone: str, at: Annotated[str, typer.Option(help="HOST:PORT of any running controller.")]) -> None:
    """Have the group use a drained zone again, in steps."""
    _drain(at, zone, False, False)


failover = typer.Typer(add_completion=False, no_args_is_help=True, help="Plans of zones, tried without running any.")
app.add_typer(failover, name="failover")


@failover.command("what-if")
def what_if(states: Path, json: Annotated[bool, typer.Option("--json", help="One JSON list.")] = False) -> None:
    """Say what would be planned in the states that the file describes; status 1 if an expectation does not hold."""
    from sprucespool.cli.zones import what_if_of
    from sprucespool.failover.whatif import WhatIf

    raise typer.Exit(what_if_of(_read(WhatIf, states), json))


@failover.callback()
def _failover() -> None:
    """Plans of zones, tried without running any."""


lab = typer.Typer(add_completion=False, no_args_is_help=True, help="Experiments on the whole fleet in virtual time.")
app.add_typer(lab, name="lab")


@lab.command("hunt")
def lab_hunt(
    seeds: Annotated[str, typer.Option(help="FIRST-LAST.")] = "1-100",
    build: Annotated[str, typer.Option(help="A build with a seeded defect; `all`: a table of all.")] = "sound",
    most: Annotated[int, typer.Option(help="Faults in a course.", min=1, max=20)] = 5,
    guided: Annotated[bool, typer.Option("--guided", help="Courses drawn at where one word decides.")] = False,
    module: Annotated[
        bool, typer.Option("--module", help="Each as a day on the module, under the five rules besides.")
    ] = False,
    workers: Annotated[int, typer.Option(min=1, max=256)] = 4,
    folder: Annotated[Path, typer.Option(help="Where courses that break something are written.")] = Path("hunted"),
) -> None:
    """Search for a course of faults that breaks an invariant; status 1 if the sound build has one."""
    from sprucespool.cli.lab import run_hunt

    try:
        raise typer.Exit(run_hunt(seeds, build, 0 if guided else most, workers, folder, module))
    except ValueError as problem:
        raise _refuse(str(problem)) from None
    except OSError as problem:
        raise _refuse(f"{problem.filename or folder}: {problem.strerror or problem}") from None


@lab.command("replay")
def lab_replay(
    course: Path, module: Annotated[bool, typer.Option("--module", help="As a day on the module.")] = False
) -> None:
    """Play one written course again; status 1 if it breaks what must hold."""
    from sprucespool.cli.lab import run_replay
    from sprucespool.emulator.hunt import Course

    try:
        raise typer.Exit(run_replay(_read(Course, course), module))
    except ValueError as problem:
        raise _refuse(f"{course}: {problem}") from None


@lab.command("day")
def lab_day(
    script: Path,
    seed: Annotated[int | None, typer.Option(help="Another seed than the script's.")] = None,
    controllers: Annotated[int | None, typer.Option(help="More than the script says.", min=1, max=1000)] = None,
    invokers: Annotated[
        int | None, typer.Option(help="Another fleet, with its part of traffic.", min=1, max=1000)
    ] = None,
    decider: str = "hiku",
    json: Annotated[bool, typer.Option("--json", help="One JSON object.")] = False,
    sockets: Annotated[bool, typer.Option("--sockets", help="Over sockets too, both side by side.")] = False,
    save: Annotated[Path | None, typer.Option(help="Stop at `--at` and write the world to this file.")] = None,
    at: Annotated[str, typer.Option(help="When to stop, such as 15s.")] = "15s",
) -> None:
    """Play a day's script in virtual time, on the objects that serve; status 1 if a rule or invariant was broken."""
    from sprucespool.cli.lab import run_day
    from sprucespool.emulator.group import TimeStalled

    told = _day(script)
    _decider(decider)
    if seed is not None:
        told.seed = seed
    try:
        raise typer.Exit(
            run_day(told, controllers, invokers, decider, json, sockets, save, quantity(at, DURATIONS, "15s"))
        )
    except (ValueError, TimeStalled) as problem:
        raise _refuse(f"{script}: {problem}") from None
    except OSError as problem:
        raise _refuse(f"{problem.filename or save}: {problem.strerror or problem}") from None


@lab.command("go-on")
def lab_go_on(saved: Path, json: Annotated[bool, typer.Option("--json", help="One JSON object.")] = False) -> None:
    """Play a saved world to its day's end."""
    from sprucespool.cli.lab import run_go_on
    from sprucespool.emulator.group import TimeStalled

    try:
        raise typer.Exit(run_go_on(saved, json))
    except (ValueError, TimeStalled) as problem:
        raise _refuse(f"{saved}: {problem}") from None
    except OSError as problem:
        raise _refuse(f"{saved}: {problem.strerror or problem}") from None


@lab.command("run")
def lab_run(
    plan: Path,
    folder: Annotated[Path, typer.Option(help="Where results are kept.")] = Path("results"),
    workers: Annotated[int, typer.Option(min=1, max=256)] = 4,
) -> None:
    """Play a plan of experiments; run again on the same folder, it goes on where it was cut off."""
    from sprucespool.cli.lab import run_sweep
    from sprucespool.lab.sweep import SweepPlan

    told = _read(SweepPlan, plan)
    try:
        raise typer.Exit(run_sweep(told, folder, workers))
    except ValueError as problem:
        raise _refuse(str(problem)) from None
    except OSError as problem:
        raise _refuse(f"{problem.filename or folder}: {problem.strerror or problem}") from None


@lab.command("trace")
def lab_trace(
    records: Annotated[list[Path], typer.Argument(help="Inputs that controllers of one machine recorded.")],
    out: Annotated[Path, typer.Option(help="A line an inference; for `recorded` in a day.")],
    work: Annotated[str, typer.Option(help="Of an inference without a hint.")] = "80ms",
) -> None:
    """Write down what controllers were asked, from their recorded inputs, to be asked again on a day."""
    from sprucespool.gateway import ReplayError
    from sprucespool.standin.recorded import asked, written

    try:
        asks = asked(records, quantity(work, DURATIONS, "80ms"))
        out.write_bytes(written(asks))
    except OSError as problem:
        raise _refuse(f"{problem.filename or out}: {problem.strerror or problem}") from None
    except (ReplayError, ValueError) as problem:
        raise _refuse(str(problem)) from None
    print(f"{len(asks)} inferences of {asks[-1].at / 1000 if asks else 0.0:.1f} s in {out}")


@lab.command("report")
def lab_report(folder: Path, out: Annotated[Path, typer.Option(help="The page.")] = Path("report.html")) -> None:
    """One HTML page of a sweep's results."""
    from sprucespool.lab.report import report

    try:
        out.write_text(report(folder), encoding="utf-8")
    except (SettingsError, ValueError) as problem:
        raise _refuse(str(problem)) from None
    except OSError as problem:
        raise _refuse(f"{problem.filename or folder}: {problem.strerror or problem}") from None


def run() -> None:
    app()


if __name__ == "__main__":
    run()
