"""Short days in processes over sockets: the real controller keeps the rules, and the judge detects each broken one."""

import asyncio
import signal
import subprocess
import sys
import time
from concurrent.futures import ThreadPoolExecutor

import pytest

from sprucespool.judge.seen import read as read_notes
from sprucespool.lab.days import play as play_virtual
from sprucespool.settings import read
from sprucespool.standin.script import Day
from sprucespool.standin.stage import Options, play
from sprucespool.standin.starving import TICK_MS, Starving
from sprucespool.standin.trace import Notes

pytestmark = pytest.mark.sockets

HEAD = """
lasts "7s"
controllers 2
machine "plain" count=5 cores=3 speed=1.0 memory="6GB"
model-group "line" slo-time="400ms" route-timeout="1200ms"
model-group "bill" slo-time="400ms" route-timeout="1200ms" effect="non-retriable"
traffic "line" rate=50.0 models=8 work="60ms"
traffic "bill" rate=15.0 models=3 work="40ms"
roster lag="200ms"
"""
DAYS = {
    # Rule 1 needs answers other than results, so the load exceeds the capacity of the fleet.
    "broken-1": 'name "forgets"\nfleet\ntrouble "burst" at="2s" lasts="3s" factor=6.0\n',
    "broken-2": 'name "repeats"\nfleet\ntrouble "answer-lost" at="1s" lasts="5s" share=0.3\n',
    "broken-3": 'name "drains"\nfleet drain-grace="400ms"\n'
    'trouble "preempt" at="1500ms" lasts="1s" share=0.4 span="3500ms" every="500ms"\n',
    "broken-4": 'name "cold"\nfleet cold-share=0.1 warm-after="9s" fall-multiple=1.5 fall-window="1s"\n'
    'trouble "crash" at="1500ms" share=0.4 span="300ms"\n',
    "broken-5": 'name "orders"\nfleet\norders floor=2.0 share=0.1 window="1s"\n',
}
SOUND = (
    'name "sound"\nfleet drain-grace="500ms" warm-after="5s"\norders floor=2.0 share=0.2 window="1s"\n'
    'trouble "deploy" at="1s" lasts="3s" share=0.4 batch=1\ntrouble "answer-lost" at="2s" lasts="3s" share=0.1\n'
    'trouble "preempt" at="3500ms" lasts="500ms" share=0.2 span="1500ms" every="300ms"\n'
)


# Users that wait for their answers instead of a rate, and single inferences.
USERS = HEAD.replace("rate=50.0", 'users=12 think="300ms"') + (
    'name "users"\nask "bill" at="2s" model="rare" work="30ms"\n'
)


@pytest.fixture(scope="module")
def played():
    def play_one(name):
        if name == "users":
            return name, play(read(Day, USERS, name), Options())
        text = HEAD + (SOUND if name == "hiku" else DAYS[name])
        return name, play(read(Day, text, name), Options(name))

    with ThreadPoolExecutor(3) as pool:
        return dict(pool.map(play_one, ["hiku", "users", *DAYS]))


def test_a_day_with_troubles_keeps_the_rules_and_all_processes_exit_cleanly(played):
    result = played["hiku"]
    assert result.broken == [] and result.unclean == []
    table = result.table
    assert table.taken > 300 and table.in_slo_time > 0.4 * table.taken
    assert table.taken == table.in_slo_time + table.late + table.shed + table.failed + table.left + table.unreached
    final_lines = result.controllers
    assert len(final_lines) == 2 and all(
        one["module_faults"] == one["refused_actions"] == one["overdue"] == 0 for one in final_lines
    )


def test_the_same_script_in_virtual_time_has_similar_results(played):
    virtual, sockets = play_virtual(read(Day, HEAD + SOUND, "hiku")), played["hiku"]
    virtual_table, sockets_table = virtual.table, sockets.table
    assert virtual_table.taken == sockets_table.taken and virtual.broken == sockets.broken == []
    # Wide bounds: on a machine with three times its load, answers over sockets are late.
    assert (
        abs(virtual_table.service - sockets_table.service) < 0.25
        and abs(virtual_table.forwards - sockets_table.forwards) < 0.25 * sockets_table.forwards
    )


def test_users_send_about_as_many_inferences_over_sockets_as_in_virtual_time(played):
    virtual, sockets = play_virtual(read(Day, USERS, "users")), played["users"]
    assert sockets.broken == sockets.unclean == virtual.broken == []
    assert sockets.table.taken > 100 and sockets.table.service > 0.3
    # Users that get late answers send fewer inferences. The bound is wide for busy machines.
    assert abs(virtual.table.taken - sockets.table.taken) < 0.3 * virtual.table.taken


@pytest.mark.parametrize("rule", [1, 2, 3, 4, 5])
def test_the_judge_detects_a_controller_without_one_guard(played, rule):
    assert rule in {broken.rule for broken in played[f"broken-{rule}"].broken}


def children(pid):
    """The descendants of a process, read from /proc."""
    try:
        with open(f"/proc/{pid}/task/{pid}/children") as found:
            own = [int(word) for word in found.read().split()]
    except OSError:
        return []
    return own + [other for one in own for other in children(one)]


def is_running(pid):
    try:
        with open(f"/proc/{pid}/stat") as found:
            return found.read().rpartition(")")[2].split()[0] != "Z"
    except OSError:
        return False


def test_a_day_stopped_by_a_signal_leaves_no_process_behind(tmp_path):
    path = tmp_path / "long.kdl"
    path.write_text('name "long"\nfleet\n' + HEAD.replace('lasts "7s"', 'lasts "300s"'))
    day = subprocess.Popen(
        [sys.executable, "-m", "sprucespool.cli.main", "day", str(path)],
        stdout=subprocess.DEVNULL,
        stderr=subprocess.PIPE,
        text=True,
    )
    end = time.monotonic() + 60
    while len(started := children(day.pid)) < 7 and time.monotonic() < end:
        time.sleep(0.05)
    assert len(started) >= 7
    day.send_signal(signal.SIGTERM)
    stderr = day.communicate(timeout=60)[1]
    assert day.returncode == 3 and "told to end" in stderr
    while any(map(is_running, started)) and time.monotonic() < end + 30:
        time.sleep(0.05)
    assert not [pid for pid in started if is_running(pid)]


def test_the_stage_notes_how_long_its_processes_waited_for_a_core_and_no_more(tmp_path):
    """Without these notes the judge reported an answer as late, by 12 ms more than the tolerance for sockets, on a
    machine whose host took cores away."""

    def write_counters(waited, stolen):
        (tmp_path / "7").mkdir(exist_ok=True)
        (tmp_path / "7" / "schedstat").write_text(f"5 {int(waited * 1e6)} 9\n")
        (tmp_path / "stat").write_text(
            "cpu  1 1 1 1 1 1 1 900 0 0\n"
            + "".join(f"cpu{n} 1 1 1 1 1 1 1 {int(one / TICK_MS)} 0 0\n" for n, one in enumerate(stolen))
        )

    async def script():
        notes = Notes(str(tmp_path / "notes"))
        write_counters(100.0, (500.0, 0.0))
        starving = Starving(notes, every=60_000.0, proc=tmp_path)
        starving.add("c0", 7)
        starving.add("never", 8)
        for waited, stolen in ((100.4, (500.0, 0.0)), (130.0, (520.0, 50.0)), (130.0, (520.0, 50.0))):
            write_counters(waited, stolen)
            starving.check()
            starving.stop()
        (tmp_path / "7" / "schedstat").unlink()
        starving.check()
        starving.stop()
        notes.close()

    asyncio.run(script())
    (note,) = read_notes((tmp_path / "notes").open("rb"))
    assert note.waits == {"c0": 30.0} and note.stolen == 50.0 and note.since < note.t
