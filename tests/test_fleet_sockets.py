"""The shared view of the fleet over sockets, with processes of `sprucespool serve` and of invokers and faults between
them. Judged by the views they report and by what reached the invokers."""

import asyncio
import json
import re
import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor

import pytest
from program import run_broken_build_day, run_day

from sprucespool.cli.fleet import fetch
from sprucespool.judge import fleet as seen
from sprucespool.standin.rig import Rig

pytestmark = pytest.mark.sockets

# The bounds are generous, so that a machine under three times the load comes to the same verdict.
HEAD = """
lasts "17s"
controllers 8
zones "hall-a" "hall-b"
machine "plain" count=12 cores=3 speed=1.0 memory="8GB"
model-group "line" slo-time="600ms" route-timeout="2s"
model-group "bill" slo-time="800ms" route-timeout="2s" effect="non-retriable"
traffic "line" rate=40.0 models=12 work="50ms"
traffic "bill" rate=6.0 models=3 work="50ms"
roster lag="300ms"
"""
GROUP = """group period="300ms" view=true alike-within="40s" cleared-within="40s" dead-within="60s" \
fleet-alike-within="9s" spread-within="6s" replaced-within="9s" liar={liar}
"""
ODD, EVEN = "c1,c3,c5,c7", "c0,c2,c4,c6"
RENEW = 'trouble "renew" at="2s" lasts="4s" share=0.34 batch=1\n'
CASES = {
    "roster-dark": 'trouble "roster-down" at="1500ms" lasts="8s"\n' + RENEW,
    "pushed-to-one": 'trouble "partition" at="1s" lasts="8s" between="roster" and="c1,c2,c3,c4,c5,c6,c7"\n' + RENEW,
    "old-copy": RENEW + 'trouble "roster-old" at="8s" span="5s"\n',
    "halves": f'trouble "partition" at="1s" lasts="8s" between="{EVEN},roster" and="{ODD}"\n'
    + RENEW
    + 'trouble "preempt" at="2s" lasts="1s" share=0.1 span="7s" every="500ms"\n',
    "liar": RENEW,
    "one-zone": f'trouble "partition" at="2s" lasts="7s" between="{ODD}" and="i0,i2"\n',
    "replaced": 'trouble "renew" at="1s" lasts="7s" share=0.6 batch=1\n',
    "all-restart": 'trouble "roster-down" at="4s" lasts="7s"\ntrouble "all-restart" at="6s" span="500ms"\n',
    "flapping": 'trouble "pauses" at="1s" lasts="8s" share=0.09 span="300ms" every="600ms"\n',
    "dead-unlisted": 'trouble "roster-down" at="1s" lasts="9s"\ntrouble "crash" at="2s" share=0.2 span="4s"\n',
}
# Each invariant is checked with a build that lacks what it depends on.
PUSHED = 'trouble "partition" at="1s" between="roster" and="c1,c2,c3,c4,c5,c6,c7"\n'
BROKEN = {
    "fleet-a": PUSHED + 'trouble "preempt" at="2s" lasts="500ms" share=0.3 span="8s" every="500ms"\n',
    "fleet-b": PUSHED + 'trouble "preempt" at="1500ms" lasts="500ms" share=0.3 span="15s" every="500ms"\n',
    "fleet-c": 'trouble "renew" at="1s" lasts="1s" share=0.34 batch=4\n',
    "fleet-d": "",
}


def play(folder, name):
    text = f'name "{name}"\n' + HEAD + GROUP.format(liar=0 if name in ("liar", "fleet-d") else -1)
    if name in BROKEN:
        for setting in ("fleet-alike-within", "spread-within", "replaced-within"):
            text = re.sub(rf'{setting}="[0-9]s"', f'{setting}="2s"', text)
    path = folder / f"{name}.kdl"
    path.write_text(text + {**CASES, **BROKEN}[name])
    if name in BROKEN and name != "fleet-d":
        return name, run_broken_build_day(path, name, "fleet")
    return name, run_day(path, name if name in BROKEN else "hiku")


@pytest.fixture(scope="module")
def days(tmp_path_factory):
    folder = tmp_path_factory.mktemp("days")
    with ThreadPoolExecutor(2) as pool:
        return dict(pool.map(lambda name: play(folder, name), [*CASES, *BROKEN]))


@pytest.mark.parametrize("name", CASES)
def test_a_hard_case_over_sockets_keeps_the_rules_and_the_views_settle(days, name):
    found, fleet = days[name], days[name]["fleet"]
    assert found["unclean"] == [] and found["broken"] == [] and found["invariants_broken"] == []
    assert fleet["invariants_broken"] == [] and fleet["views"] > 100 and fleet["settled_ms"] is not None
    assert found["service"] > 0.5


@pytest.mark.parametrize("which", "abc")
def test_a_build_without_what_an_invariant_depends_on_is_reported(days, which):
    found = days[f"fleet-{which}"]
    assert any(one.startswith(f"({which})") for one in found["fleet"]["invariants_broken"]), found


def test_a_liar_costs_little_unless_every_witness_is_believed(days):
    bounds, honest = seen.FleetBounds(liar_costs=0.15), days["flapping"]["service"]
    assert seen.loss(days["liar"]["service"], honest, bounds) == []
    assert [one.which for one in seen.loss(days["fleet-d"]["service"], honest, bounds)] == ["d"]


def test_a_thousand_invokers_reach_all_controllers_and_a_joining_one_and_the_command_shows_them(tmp_path):
    def command(*arguments):
        return subprocess.run(
            [sys.executable, "-m", "sprucespool.cli.main", "fleet", *arguments],
            capture_output=True,
            text=True,
            timeout=60,
        )

    async def script():
        async with Rig(tmp_path, view=True, period=300.0) as rig:
            rig.rosters["c0"] = tmp_path / "only-c0.kdl"
            rig.rosters["c0"].write_text("")
            names = await rig.start_all(8, zones=2)
            assert await rig.until(rig.alike, 60.0) is not None
            rig.rosters["c0"].write_text(
                "".join(f'invoker "127.0.0.1:{n}" zone="z{n % 2}" kind="k"\n' for n in range(20_000, 21_000))
            )
            newest = rig.watch.newest_fleet

            def all_know(those):
                return (
                    all(name in newest and len(newest[name].rows) == 1_000 for name in those)
                    and len({newest[name].digest for name in those}) == 1
                )

            assert await rig.until(lambda: all_know(names), 60.0) is not None
            rig.rosters["late"] = tmp_path / "none.kdl"
            rig.rosters["late"].write_text("")
            await rig.start("late", rig.places["c1"])
            assert await rig.until(lambda: all_know([*names, "late"]), 30.0) is not None
            where = ["{}:{}".format(*rig.relays.relays[name].target) for name in (*names, "late")]
            loop = asyncio.get_running_loop()
            shown = await loop.run_in_executor(None, command, where[0])
            assert shown.returncode == 0 and "127.0.0.1:20000" in shown.stdout and "in service" in shown.stdout
            same = await loop.run_in_executor(None, command, "--compare", where[0], where[-1])
            assert same.returncode == 0 and "know the same" in same.stdout
            as_json = await loop.run_in_executor(None, command, "--json", where[-1])
            assert len(json.loads(as_json.stdout)["invokers"]) == 1_000
            rig.partition([["c0"], [*names[1:], "late"]])
            rig.rosters["c0"].write_text('invoker "127.0.0.1:20000" zone="z0" kind="k" draining=true\n')
            assert await rig.until(lambda: ("127.0.0.1:20000", "", "draining") in newest["c0"].rows, 30.0) is not None
            differ = await loop.run_in_executor(None, command, "--compare", where[0], where[-1])
            assert differ.returncode == 1 and "127.0.0.1:20000" in differ.stdout
            nobody = await loop.run_in_executor(None, command, "127.0.0.1:1")
            assert nobody.returncode == 3
            # Every claim is shown with its witness.
            line = next(one for one in (await fetch(where[0])).invokers if one.address == "127.0.0.1:20000")
            assert ("c0", "draining") in [(one.by, one.says) for one in line.said]

    asyncio.run(script())
