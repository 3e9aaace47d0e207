"""The `sprucespool` command line. Bad input ends with one line on stderr and status 2, never with a traceback."""

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


def _read_day(script: Path) -> Any:
    """Reads a day's script together with the recorded traffic that it names."""
    from sprucespool.standin.recorded import with_recorded
    from sprucespool.standin.script import Day

    parsed = _read(Day, script)
    try:
        return with_recorded(parsed, script.parent)
    except ValueError as error:
        raise _refuse(f"{script}: {error}") from None


def _refuse(why: str) -> typer.Exit:
    print(why, file=sys.stderr)
    return typer.Exit(2)


def _read(kind: type, path: Path) -> Any:
    try:
        return read(kind, path.read_text(encoding="utf-8"), str(path))
    except OSError as error:
        raise _refuse(f"{path}: {error.strerror or error}") from None
    except UnicodeDecodeError:
        raise _refuse(f"{path}: expected UTF-8 text") from None
    except SettingsError as error:
        raise _refuse(str(error)) from None


def _decider(name: str) -> Any:
    from sprucespool.standin.baselines import DECIDERS
    from sprucespool.standin.jumping import LOOPS
    from sprucespool.standin.members import MEMBERS
    from sprucespool.standin.plans import PLANS, STEERS
    from sprucespool.standin.views import VIEWS

    names = (*DECIDERS, *MEMBERS, *VIEWS, *sorted((*PLANS, *STEERS)), *LOOPS)
    if name not in names:
        raise _refuse(f"--decider: expected one of {', '.join(names)}, got {name!r}")
    return DECIDERS[name if name in DECIDERS else "hiku"]


@app.command()
def serve(
    settings: Path,
    decider: Annotated[
        str, typer.Option(help="Replace the decision module with a baseline or a defective one, for experiments only.")
    ] = "hiku",
) -> None:
    """Run a controller until SIGTERM, then finish open calls and exit; a second SIGTERM exits at once."""
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
    except OSError as error:
        raise _refuse(f"{settings}: {error.filename or ''}: {error.strerror or error}") from None
    raise typer.Exit(status)


@app.command()
def check(settings: Path) -> None:
    """Validate a controller's settings file without starting anything."""
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
    load: Annotated[str, typer.Option(help="How long it takes to load a model.")] = "800ms",
    lanes: int = 2,
    model_mb: float = 600.0,
    miss: Annotated[bool, typer.Option(help="Answer with a miss instead of loading a model on demand.")] = False,
    library: Annotated[str | None, typer.Option(help="HOST:PORT of a model library to fetch models from.")] = None,
    cold: Annotated[bool, typer.Option(help="Start with reduced capacity, as a new process does.")] = False,
) -> None:
    """Run a stand-in invoker, which accepts any model and only simulates how long its work takes."""
    from sprucespool.emulator.worker import ModelInfo, WorkerFacts
    from sprucespool.settings.controller import address, loopback
    from sprucespool.standin.invoker import InvokerPlan
    from sprucespool.standin.invoker import serve as run_invoker

    try:
        loopback(listen)
        if library:
            address(library)
        load_ms = quantity(load, DURATIONS, "800ms")
        facts = WorkerFacts(
            memory=memory_mb,
            cores=cores,
            speed=speed,
            keep_alive=quantity(keep_alive, DURATIONS, "10s"),
            loads_on_miss=not miss,
        )
    except ValueError as error:
        raise _refuse(str(error)) from None
    if cores < 1 or speed <= 0 or lanes < 1:
        raise _refuse("expected cores and lanes of at least 1 and a speed above 0")
    plan = InvokerPlan(
        listen, "1", facts, any_model=ModelInfo(model_mb, lanes, load_ms / 2, load_ms / 2), library=library, cold=cold
    )
    raise typer.Exit(asyncio.run(run_invoker(plan)))


def _print_result(result: Any) -> None:
    table = RichTable(title=f"{result.day} (seed {result.seed}, decided by {result.decider}; stand-ins on loopback)")
    metrics = result.table
    rows = [
        ("taken", metrics.taken),
        ("tries", metrics.tries),
        ("returned in SLO time", metrics.in_slo_time),
        ("late", metrics.late),
        ("shed", metrics.shed),
        ("failed", metrics.failed),
        ("left by their clients", metrics.left),
        ("unreached", metrics.unreached),
        ("loads", metrics.loads),
        ("forwards", metrics.forwards),
        ("orders", metrics.orders),
        ("service", f"{metrics.service:.3f}"),
        ("worst 10 s", f"{metrics.worst_10s:.3f}"),
        ("p50 of returned", f"{metrics.p50_ms:.0f} ms"),
        ("p99 of returned", f"{metrics.p99_ms:.0f} ms"),
    ]
    table.add_column("what")
    table.add_column("figure", justify="right")
    for name, value in rows:
        table.add_row(name, str(value))
    Console().print(table)
    for violation in result.broken[:20]:
        print(f"rule {violation.rule} at {violation.at:.0f}: {violation.what}")
    for line in result.unclean:
        print(f"unclean: {line}")
    for violation in result.invariants[:20]:
        print(f"invariant {violation.which} at {violation.at:.0f}: {violation.what}")
    if result.settled is not None:
        print(
            f"views equal {result.settled / 1000:.1f} s after the last fault; "
            f"invariants broken: {len(result.invariants)}"
        )
    if result.fleet is not None and result.fleet.views:
        for violation in result.fleet.broken[:20]:
            print(f"fleet invariant {violation.which} at {violation.at:.0f}: {violation.what}")
        settled = result.fleet.settled
        print(
            f"fleet views equal {'never' if settled is None else f'{settled / 1000:.1f} s'} after the last change; "
            f"forwards after an end that others knew: {len(result.fleet.late)}; "
            f"fleet invariants broken: {len(result.fleet.broken)}"
        )
    if result.failover is not None:
        for violation in result.failover.broken[:20]:
            print(f"failover invariant {violation.which} at {violation.at:.0f}: {violation.what}")
        settled, near = (
            ("never" if duration is None else f"{duration / 1000:.1f} s")
            for duration in (result.failover.settled, result.failover.near)
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
    seed: Annotated[int | None, typer.Option(help="Seed to use instead of the script's.")] = None,
    decider: str = "hiku",
    json: Annotated[bool, typer.Option("--json", help="Print one JSON object.")] = False,
    keep: Annotated[Path | None, typer.Option(help="Keep notes, logs and input records in this folder.")] = None,
    log_level: str = "warning",
) -> None:
    """Play a scripted day with injected faults on loopback with stand-ins; status 1 if a rule was broken."""
    from sprucespool.standin.stage import Options, StageFailed, play

    script_day = _read_day(script)
    _decider(decider)
    if seed is not None:
        script_day.seed = seed
    quiet = json
    options = Options(
        decider,
        keep,
        log_level,
        keep is not None,
        (lambda line: None) if quiet else lambda line: print(line, file=sys.stderr, flush=True),
    )
    try:
        result = play(script_day, options)
    except StageFailed as error:
        print(f"{script}: the day was not played: {error}", file=sys.stderr)
        raise typer.Exit(3) from None
    if json:
        print(msgspec.json.encode(result.as_dict()).decode())
    else:
        _print_result(result)
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
    """Replay a controller's recorded inputs and print a digest of the effects; equal records give equal digests."""
    import hashlib

    from sprucespool.gateway import ReplayError
    from sprucespool.gateway import replay as play_again

    digest, count = hashlib.blake2b(digest_size=16), 0
    encoder = msgspec.msgpack.Encoder()

    def add_effect(effect):
        nonlocal count
        count += 1
        digest.update(encoder.encode(effect))

    try:
        with open(record, "rb") as source:
            gateway = play_again(source, add_effect)
    except OSError as error:
        raise _refuse(f"{record}: {error.strerror or error}") from None
    except ReplayError as error:
        raise _refuse(f"{record}: {error}") from None
    print(msgspec.json.encode({"effects": count, "digest": digest.hexdigest(), **gateway.counts.as_dict()}).decode())


@app.command()
def members(
    addresses: Annotated[list[str], typer.Argument(help="HOST:PORT of a running controller.", metavar="ADDRESS...")],
    watch: Annotated[bool, typer.Option("--watch", help="Repeat every second until interrupted.")] = False,
    json: Annotated[bool, typer.Option("--json", help="Print one JSON object.")] = False,
    compare: Annotated[
        bool, typer.Option("--compare", help="List the rows in which the given controllers differ.")
    ] = False,
) -> None:
    """Show the group of controllers in the view of a running one; status 1 if compared views differ."""
    from sprucespool.cli.members import run as show

    _show(show, addresses, watch, json, compare)


def _show(show: Any, *arguments: Any) -> None:
    """Exits with the status of a command that queries a running controller; if it cannot be queried, prints the reason
    in one line."""
    from sprucespool.cli.asking import Unreachable

    try:
        raise typer.Exit(show(*arguments))
    except ValueError as error:
        raise _refuse(str(error)) from None
    except Unreachable as error:
        print(error, file=sys.stderr)
        raise typer.Exit(3) from None


@app.command()
def fleet(
    addresses: Annotated[list[str], typer.Argument(help="HOST:PORT of a running controller.", metavar="ADDRESS...")],
    watch: Annotated[bool, typer.Option("--watch", help="Repeat every second until interrupted.")] = False,
    json: Annotated[bool, typer.Option("--json", help="Print one JSON object.")] = False,
    compare: Annotated[
        bool, typer.Option("--compare", help="List the invokers on which the given controllers differ.")
    ] = False,
) -> None:
    """Show the invokers in the view of a running controller; status 1 if compared views differ."""
    from sprucespool.cli.fleet import run as show

    _show(show, addresses, watch, json, compare)


@app.command()
def zones(
    addresses: Annotated[list[str], typer.Argument(help="HOST:PORT of a running controller.", metavar="ADDRESS...")],
    watch: Annotated[bool, typer.Option("--watch", help="Repeat every second until interrupted.")] = False,
    json: Annotated[bool, typer.Option("--json", help="Print one JSON object.")] = False,
    compare: Annotated[
        bool, typer.Option("--compare", help="Report whether the given controllers follow the same plan.")
    ] = False,
) -> None:
    """Show the plan of zones that a running controller follows, the reason for it, and how many controllers agree;
    status 1 if compared views differ."""
    from sprucespool.cli.zones import run as show

    _show(show, addresses, watch, json, compare)


def _drain(where: str, zone: str, draining: bool, force: bool) -> None:
    from sprucespool.cli.zones import run_drain

    _show(run_drain, where, zone, draining, force)


@app.command("drain-zone")
def drain_zone(
    zone: str,
    at: Annotated[str, typer.Option(help="HOST:PORT of any running controller.")],
    force: Annotated[bool, typer.Option("--force", help="Drain even if some load would have to be shed.")] = False,
) -> None:
    """Drain a zone; status 1 with the reason if that would overload the other zones."""
    _drain(at, zone, True, force)


@app.command("undrain-zone")
def undrain_zone(zone: str, at: Annotated[str, typer.Option(help="HOST:PORT of any running controller.")]) -> None:
    """Return a drained zone to service in steps."""
    _drain(at, zone, False, False)


failover = typer.Typer(
    add_completion=False, no_args_is_help=True, help="Plans of zones, computed without running any controller."
)
app.add_typer(failover, name="failover")


@failover.command("what-if")
def what_if(states: Path, json: Annotated[bool, typer.Option("--json", help="Print one JSON list.")] = False) -> None:
    """Print the plans for the states that the file describes; status 1 if an expectation does not hold."""
    from sprucespool.cli.zones import what_if_of
    from sprucespool.failover.whatif import WhatIf

    raise typer.Exit(what_if_of(_read(WhatIf, states), json))


@failover.callback()
def _failover() -> None:
    """Plans of zones, computed without running any controller."""


lab = typer.Typer(add_completion=False, no_args_is_help=True, help="Experiments on the whole fleet in virtual time.")
app.add_typer(lab, name="lab")


@lab.command("hunt")
def lab_hunt(
    seeds: Annotated[str, typer.Option(help="FIRST-LAST.")] = "1-100",
    build: Annotated[
        str, typer.Option(help="The `sound` build, or one with a seeded defect; `all` searches all defective builds.")
    ] = "sound",
    most: Annotated[int, typer.Option(help="Maximum number of faults in a course.", min=1, max=20)] = 5,
    guided: Annotated[
        bool, typer.Option("--guided", help="Draw courses around situations in which a single report decides.")
    ] = False,
    module: Annotated[
        bool,
        typer.Option(
            "--module", help="Play each course as a day on the decision module, and check the five rules too."
        ),
    ] = False,
    workers: Annotated[int, typer.Option(min=1, max=256)] = 4,
    folder: Annotated[Path, typer.Option(help="Folder for the courses that break a rule or an invariant.")] = Path(
        "hunted"
    ),
) -> None:
    """Search for a course of faults that breaks an invariant; status 1 if the sound build breaks one."""
    from sprucespool.cli.lab import run_hunt

    try:
        raise typer.Exit(run_hunt(seeds, build, 0 if guided else most, workers, folder, module))
    except ValueError as error:
        raise _refuse(str(error)) from None
    except OSError as error:
        raise _refuse(f"{error.filename or folder}: {error.strerror or error}") from None


@lab.command("replay")
def lab_replay(
    course: Path,
    module: Annotated[bool, typer.Option("--module", help="Play it as a day on the decision module.")] = False,
) -> None:
    """Replay a written course; status 1 if it breaks an invariant."""
    from sprucespool.cli.lab import run_replay
    from sprucespool.emulator.hunt import Course

    try:
        raise typer.Exit(run_replay(_read(Course, course), module))
    except ValueError as error:
        raise _refuse(f"{course}: {error}") from None


@lab.command("day")
def lab_day(
    script: Path,
    seed: Annotated[int | None, typer.Option(help="Seed to use instead of the script's.")] = None,
    controllers: Annotated[
        int | None, typer.Option(help="Number of controllers, above the script's.", min=1, max=1000)
    ] = None,
    invokers: Annotated[
        int | None,
        typer.Option(
            help="Number of invokers, if not the script's; traffic and library scale with it.", min=1, max=1000
        ),
    ] = None,
    decider: str = "hiku",
    json: Annotated[bool, typer.Option("--json", help="Print one JSON object.")] = False,
    sockets: Annotated[
        bool, typer.Option("--sockets", help="Play over sockets too, and show both results side by side.")
    ] = False,
    save: Annotated[Path | None, typer.Option(help="Stop at `--at` and save the simulated world to this file.")] = None,
    at: Annotated[str, typer.Option(help="Time at which `--save` stops, such as 15s.")] = "15s",
) -> None:
    """Play a day's script in virtual time with the production objects; status 1 if a rule or invariant was broken."""
    from sprucespool.cli.lab import run_day
    from sprucespool.emulator.group import StandsStill

    script_day = _read_day(script)
    _decider(decider)
    if seed is not None:
        script_day.seed = seed
    try:
        raise typer.Exit(
            run_day(script_day, controllers, invokers, decider, json, sockets, save, quantity(at, DURATIONS, "15s"))
        )
    except (ValueError, StandsStill) as error:
        raise _refuse(f"{script}: {error}") from None
    except OSError as error:
        raise _refuse(f"{error.filename or save}: {error.strerror or error}") from None


@lab.command("go-on")
def lab_go_on(
    saved: Path, json: Annotated[bool, typer.Option("--json", help="Print one JSON object.")] = False
) -> None:
    """Play a saved world to the end of its day."""
    from sprucespool.cli.lab import run_go_on
    from sprucespool.emulator.group import StandsStill

    try:
        raise typer.Exit(run_go_on(saved, json))
    except (ValueError, StandsStill) as error:
        raise _refuse(f"{saved}: {error}") from None
    except OSError as error:
        raise _refuse(f"{saved}: {error.strerror or error}") from None


@lab.command("run")
def lab_run(
    plan: Path,
    folder: Annotated[Path, typer.Option(help="Folder for the results.")] = Path("results"),
    workers: Annotated[int, typer.Option(min=1, max=256)] = 4,
) -> None:
    """Play a plan of experiments; when run again on the same folder, it resumes where it was interrupted."""
    from sprucespool.cli.lab import run_sweep
    from sprucespool.lab.sweep import SweepPlan

    sweep = _read(SweepPlan, plan)
    try:
        raise typer.Exit(run_sweep(sweep, folder, workers))
    except ValueError as error:
        raise _refuse(str(error)) from None
    except OSError as error:
        raise _refuse(f"{error.filename or folder}: {error.strerror or error}") from None


@lab.command("trace")
def lab_trace(
    records: Annotated[list[Path], typer.Argument(help="Recorded inputs of controllers on one machine.")],
    out: Annotated[Path, typer.Option(help="Output file, one line per inference, for `recorded` in a day's script.")],
    work: Annotated[str, typer.Option(help="Work of an inference without a cost hint.")] = "80ms",
) -> None:
    """Extract the inferences from controllers' recorded inputs, to be sent again in a day."""
    from sprucespool.gateway import ReplayError
    from sprucespool.standin.recorded import encode_asks, recorded_asks

    try:
        asks = recorded_asks(records, quantity(work, DURATIONS, "80ms"))
        out.write_bytes(encode_asks(asks))
    except OSError as error:
        raise _refuse(f"{error.filename or out}: {error.strerror or error}") from None
    except (ReplayError, ValueError) as error:
        raise _refuse(str(error)) from None
    print(f"{len(asks)} inferences of {asks[-1].at / 1000 if asks else 0.0:.1f} s in {out}")


@lab.command("report")
def lab_report(folder: Path, out: Annotated[Path, typer.Option(help="Output file.")] = Path("report.html")) -> None:
    """Write the results of a sweep to one HTML page."""
    from sprucespool.lab.report import report

    try:
        out.write_text(report(folder), encoding="utf-8")
    except (SettingsError, ValueError) as error:
        raise _refuse(str(error)) from None
    except OSError as error:
        raise _refuse(f"{error.filename or folder}: {error.strerror or error}") from None


def run() -> None:
    app()


if __name__ == "__main__":
    run()
