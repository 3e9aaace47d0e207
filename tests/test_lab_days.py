"""Days in virtual time on the decision module, saved runs, sweeps and their reports."""

import hashlib
import json
import resource
import subprocess
import sys
from pathlib import Path

import msgspec
import polars
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from test_days import DAYS, HEAD, SOUND, USERS
from world import deployment, group

from sprucespool.emulator.group import StandsStill
from sprucespool.gateway import Gateway
from sprucespool.gateway import messages as ms
from sprucespool.gateway.record import Recorder
from sprucespool.faults import Links, LinkState
from sprucespool.judge import seen
from sprucespool.lab import saving, sweep
from sprucespool.lab.compare import compare_rows, interval
from sprucespool.lab.days import start_day, play, scaled
from sprucespool.lab.saving import SavedError
from sprucespool.lab.sweep import Experiment, Job, Results, ResultsError, Row, SweepPlan
from sprucespool.policy import Controller
from sprucespool.settings import SettingsError, read
from sprucespool.standin.badlinks import BadLinks
from sprucespool.standin.baselines import DECIDERS, GATEWAYS
from sprucespool.standin.recorded import with_recorded
from sprucespool.standin.script import Day, Recorded
from sprucespool.standin.traffic import RequestSource, catalog

ROOT = Path(__file__).parent.parent


def script(text):
    return read(Day, HEAD + text, "day")


def digest(world):
    text = msgspec.json.encode([world.notes, [repr(one) for one in (*world.noted, *world.group_noted, *world.views)]])
    return hashlib.blake2b(text).hexdigest()


def test_a_day_with_troubles_breaks_no_rule_and_accounts_for_every_inference():
    found = play(script(SOUND))
    table = found.table
    assert found.broken == [] and found.faults == 0
    assert table.taken > 300 and table.in_slo_time > 0.4 * table.taken
    assert table.taken == table.in_slo_time + table.late + table.shed + table.failed + table.left + table.unreached


@pytest.mark.parametrize("build", DAYS)
def test_a_controller_without_one_guard_breaks_its_rule_on_the_script_used_over_sockets(build):
    rule = int(build[-1])
    found = play(script(DAYS[build]), DECIDERS[build], None, GATEWAYS.get(build, Gateway))
    assert rule in {broken.rule for broken in found.broken}
    assert play(script(DAYS[build])).broken == []


def test_a_module_that_raises_fails_only_the_inferences_concerned():
    class Raises(Controller):
        def handle(self, now, events):
            if now > 3_000.0 and int(now) % 7 == 0:
                raise RuntimeError("a fault of the module")
            return super().handle(now, events)

    found = play(script(SOUND), Raises)
    assert found.faults > 10 and found.table.failed > 10 and found.table.in_slo_time > 100
    assert {broken.rule for broken in found.broken} <= {2, 3, 4, 5}


def test_a_world_whose_time_does_not_advance_raises_stands_still(monkeypatch):
    world = start_day(script(SOUND))
    monkeypatch.setattr("sprucespool.emulator.group.MAX_EVENTS_AT_ONE_INSTANT", 5_000)

    def again_and_again():
        world._later(0.0, again_and_again)

    world._later(1_000.0, again_and_again)
    with pytest.raises(StandsStill, match="at 1000.000 ms: .*again_and_again"):
        world.run(7_000.0)


def test_settings_that_need_connections_are_rejected():
    for text, named in (
        ('name "x"\nfleet\ntrouble "go-away" at="1s" lasts="1s"\n', "trouble go-away"),
        ('name "x"\nfleet\ntold "all"\n', "told: expected none"),
    ):
        with pytest.raises(ValueError, match=named):
            play(script(text))


GROUP = (
    'name "together"\nzones "a" "b"\ngroup period="500ms" view=#true\nfailover voters="c0,c1,c2"\n'
    'fleet drain-grace="500ms" warm-after="5s"\n'
    + HEAD.replace("controllers 2", "controllers 4")
    + 'trouble "partition" at="1s" lasts="2s" between="a" and="b"\n'
    'trouble "invokers-lost" at="3500ms" lasts="1s" what="a"\n'
    'trouble "controller-kill" at="4s" what="c3"\n'
)
CONTINUE_SAVED_WORLD = """
import sys
sys.path.insert(0, "tests")
from pathlib import Path
from sprucespool.lab import saving
from test_lab_days import digest
world = saving.load(Path(sys.argv[1]))
world.run(9_000.0 - world.now)
print(digest(world), world.now)
"""


def test_a_saved_world_continues_identically_in_another_process(tmp_path):
    whole, half = (start_day(read(Day, GROUP, "day")) for _ in range(2))
    whole.run(9_000.0)
    half.run(3_700.0)
    saving.save(half, tmp_path / "world")
    for hash_seed in ("1", "2"):
        found = subprocess.run(
            [sys.executable, "-c", CONTINUE_SAVED_WORLD, tmp_path / "world"],
            cwd=ROOT,
            text=True,
            capture_output=True,
            env={"PYTHONHASHSEED": hash_seed},
            timeout=120,
        )
        assert found.stdout.split() == [digest(whole), "9000.0"], found.stderr


def test_an_unusable_saved_world_is_rejected(tmp_path, monkeypatch):
    path, world = tmp_path / "world", start_day(script(SOUND))
    saving.save(world, path)
    data = path.read_bytes()
    for bad, why in ((b"no world", "a saved world"), (data[:-9], "cut off"), (data[:30], "head")):
        path.write_bytes(bad)
        with pytest.raises(SavedError, match=why):
            saving.load(path)
    path.write_bytes(data)
    assert saving.load(path).now == world.now
    monkeypatch.setattr(saving, "code", lambda: "another")
    with pytest.raises(SavedError, match="same code"):
        saving.load(path)


def test_a_scaled_day_has_proportional_machines_and_traffic():
    day = script(SOUND)
    more = scaled(day, 20)
    assert [one.count for one in more.machines] == [20]
    assert [one.rate for one in more.traffics] == [one.rate * 4 for one in day.traffics]
    assert start_day(more, controllers=5).controllers == 5


def test_links_count_as_bad_while_they_are_cut_or_lossy():
    links, watch = Links(), BadLinks()
    links.put("far", ["c0"], ["i0"], LinkState(delay=15.0, jitter=3.0))
    links.put("cut", ["c1"], ["i0"], LinkState(cut="silent"), both=False)
    links.put("lossy", ["c0"], ["i1"], LinkState(loss=0.1))
    assert watch.update(10.0, links, range(2), ["i0", "i1"]) == []
    links.heal("cut")
    assert watch.update(30.0, links, range(2), ["i0", "i1"]) == [seen.BadLink(10.0, 1, "i0", 30.0)]
    assert watch.close_all(50.0) == [seen.BadLink(10.0, 0, "i1", 50.0)] and watch.close_all(60.0) == []


def arrivals(text, group="line"):
    """Times and models of a group's inferences on a 60 s day with only this traffic."""
    script_text = HEAD.replace('lasts "7s"', 'lasts "60s"').replace(
        'traffic "bill" rate=15.0 models=3 work="40ms"\n', ""
    )
    day = read(Day, script_text.replace("models=8", f"models=8 {text}") + 'name "shape"\nfleet\n', "day")
    return [(plan.at, int(plan.model.rpartition("-")[2])) for plan in RequestSource(day).first() if plan.group == group]


def test_traffic_follows_the_waves_rushes_and_drifts_of_the_script():
    plain = arrivals("")
    assert arrivals("wave=0.0 rush-factor=1.0") == plain and abs(len(plain) - 3_000) < 250
    wave = [at for at, _ in arrivals('wave=0.8 wave-period="60s"')]
    # The mean of the wave over its upper half is 2 / pi.
    assert sum(at < 30_000 for at in wave) == pytest.approx(1_500 * (1 + 0.8 * 0.637), rel=0.08)
    assert sum(at >= 30_000 for at in wave) == pytest.approx(1_500 * (1 - 0.8 * 0.637), rel=0.12)
    with_rush = arrivals('rush-at="20s" rush-lasts="10s" rush-factor=4.0')
    rush = [model for at, model in with_rush if 20_000 <= at < 30_000]
    assert len(rush) == pytest.approx(2_000, rel=0.08) and len(with_rush) - len(rush) == pytest.approx(2_500, rel=0.08)
    first = sum(model == 0 for _, model in plain) / len(plain)
    assert rush.count(0) / len(rush) == pytest.approx(0.75 + 0.25 * first, abs=0.04)
    drifting = arrivals('drift="10s"')
    for n in range(6):
        window = [model for at, model in drifting if 10_000 * n <= at < 10_000 * (n + 1)]
        assert max(set(window), key=window.count) == n
    with pytest.raises(SettingsError, match="expected a wave from 0 to 1"):
        arrivals("wave=1.5")


# Sweeps

PLAN = SweepPlan(
    "small",
    [
        Experiment("group", "deaths", controllers="6,9"),
        Experiment("failover", "zone lost 5 s", "today,common", "6", "12"),
    ],
    seeds=2,
)


def fake(job):
    return Row(job, {"service": job.seed + 0.25 * (job.decider == "common"), "settled_s": None})


def test_an_interrupted_sweep_resumes_and_runs_no_job_twice(tmp_path, monkeypatch):
    jobs_run = []

    def counted(job):
        if len(jobs_run) == 3:
            raise KeyboardInterrupt
        jobs_run.append(job)
        return fake(job)

    monkeypatch.setattr(sweep, "run_job", counted)
    with pytest.raises(KeyboardInterrupt):
        sweep.run(PLAN, tmp_path, 1)
    # The file also ends in the middle of a line.
    with open(tmp_path / "rows.jsonl", "ab") as out:
        out.write(b'{"job": {"kind"')
    first, jobs_run[:] = list(jobs_run), []
    monkeypatch.setattr(sweep, "run_job", lambda job: jobs_run.append(job) or fake(job))
    progress = []
    rows = sweep.run(PLAN, tmp_path, 1, progress.append)
    wanted = sweep.jobs(PLAN)
    assert len(wanted) == 8 == len(set(wanted)) and first + jobs_run == wanted and [row.job for row in rows] == wanted
    assert "3 of 8 plays were there already" in progress[0] and "8 of 8" in progress[-1]
    table = polars.read_parquet(tmp_path / "rows.parquet")
    assert table.height == 8 and table.filter(polars.col("decider") == "common")["service"].to_list() == [1.25, 2.25]
    with pytest.raises(ResultsError, match="another folder, or the plan as it was"):
        sweep.run(msgspec.structs.replace(PLAN, seeds=3), tmp_path, 1)


def test_a_failing_job_reports_its_error_and_does_not_raise():
    row = sweep.run_job(Job("day", "days/nowhere.kdl", "hiku", 3, 12, 0.0, 1))
    assert row.problem.startswith("FileNotFoundError") and row.figures == {}


def test_each_kind_of_job_reports_its_metrics():
    found = [
        sweep.run_job(job)
        for job in sweep.jobs(
            SweepPlan(
                "one",
                [
                    Experiment("group", "steady", controllers="5"),
                    Experiment("failover", "quiet", "common", "6", "12"),
                    Experiment("fleet", "far-drain", "common", "6", "9"),
                    Experiment("day", str(ROOT / "days/hang.kdl"), "hiku", "3", "6"),
                ],
                seeds=1,
            )
        )
    ]
    assert [row.problem for row in found] == [""] * 4 and [row.broken for row in found] == [[]] * 4
    steady, failover, fleet, day = (row.figures for row in found)
    assert steady["settled_s"] == 0.0 and 0.5 < steady["messages_a_second"] < 5.0
    assert failover["service"] > 0.95 and failover["crossed"] < 0.05
    assert fleet["late_forwards"] == 0 and 0.5 < day["service"] <= 1.0


def test_a_full_disk_is_reported_and_leaves_only_complete_lines(tmp_path):
    plan = tmp_path / "plan.kdl"
    plan.write_text('name "full"\nseeds 4\nexperiment "group" case="steady" controllers="3"\n')

    def small():
        resource.setrlimit(resource.RLIMIT_FSIZE, (700, 700))

    arguments = [
        sys.executable,
        "-m",
        "sprucespool.cli.main",
        "lab",
        "run",
        str(plan),
        "--folder",
        str(tmp_path / "out"),
        "--workers",
        "1",
    ]
    full = subprocess.run(arguments, capture_output=True, text=True, preexec_fn=small, timeout=120)
    assert full.returncode == 2 and "File too large" in full.stderr.splitlines()[-1] and "rows.jsonl" in full.stderr
    rows = Results(tmp_path / "out").rows()
    assert 0 < len(rows) < 4
    again = subprocess.run(arguments, capture_output=True, text=True, timeout=120)
    assert again.returncode == 0 and f"{len(rows)} of 4 plays were there already" in again.stderr
    assert len(Results(tmp_path / "out").rows()) == 4


BAD = {
    'experiment "falover" case="quiet"': "expected one of failover, fleet, group, day, got 'falover'",
    'experiment "failover" case="quite"': "case: expected one of quiet, zone lost 5 s",
    'experiment "failover" case="quiet" deciders="comon"': "deciders: expected some of today, alone, common, top",
    'experiment "failover" case="quiet" controllers="2"': "controllers: expected whole numbers from 3 to 1000",
    'experiment "failover" case="quiet" loss="half"': "loss: expected numbers from 0",
    'experimnt "failover" case="quiet"': "experimnt",
}


@pytest.mark.parametrize("line", BAD)
def test_a_plan_with_a_typo_is_rejected_with_the_line_and_what_was_expected(tmp_path, line):
    path = tmp_path / "plan.kdl"
    path.write_text(f'name "x"\n{line}\n')
    found = subprocess.run(
        [sys.executable, "-m", "sprucespool.cli.main", "lab", "run", str(path)],
        text=True,
        capture_output=True,
        timeout=60,
    )
    assert found.returncode == 2 and len(found.stderr.splitlines()) == 1
    assert "plan.kdl:2" in found.stderr and BAD[line] in found.stderr, found.stderr


@settings(max_examples=60, deadline=None, derandomize=True, database=None)
@given(st.lists(st.floats(-5, 5), min_size=1, max_size=12), st.floats(-3, 3))
def test_an_interval_contains_the_mean_and_shifts_with_the_differences(values, by):
    lower, upper = interval(values)
    mean = sum(values) / len(values)
    assert min(values) - 1e-9 <= lower <= mean + 1e-9 and mean - 1e-9 <= upper <= max(values) + 1e-9
    moved = interval([value + by for value in values])
    assert moved == pytest.approx((lower + by, upper + by), abs=1e-6)


def test_deciders_are_compared_only_over_seeds_that_both_have():
    rows = [fake(job) for job in sweep.jobs(PLAN) if job.kind == "failover"]
    rows.append(Row(Job("failover", "zone lost 5 s", "common", 6, 12, 0.0, 9), {"service": 99.0}))
    today, common = compare_rows(rows)
    assert (today.mean, today.more, today.seeds) == (1.5, None, 2)
    assert common.more == 0.25 == common.least == common.most and common.clear and common.seeds == 3


def test_a_report_is_one_page_with_tables_charts_and_failovers_over_time(tmp_path, monkeypatch):
    from sprucespool.lab import report as page

    monkeypatch.setattr(sweep, "run_job", fake)
    monkeypatch.setattr(page, "DURATION_MS", 14_000.0)
    sweep.run(PLAN, tmp_path, 1)
    html = page.report(tmp_path)
    assert html.count("<svg") == 2 and "http://" not in html.replace("http://www.w3.org", "")
    assert '<td class="clear">+0.25</td>' in html and "zone lost 5 s over time" in html
    assert "Simulated servers" in html and 'experiment "group"' in html.replace("&#34;", '"')


def test_a_day_runs_from_the_command_line_and_a_saved_one_continues(tmp_path):
    path = tmp_path / "day.kdl"
    path.write_text(HEAD + SOUND)
    arguments = [sys.executable, "-m", "sprucespool.cli.main", "lab"]
    whole = subprocess.run([*arguments, "day", path, "--json"], capture_output=True, text=True, timeout=60)
    assert whole.returncode == 0, whole.stderr
    half = subprocess.run(
        [*arguments, "day", path, "--save", tmp_path / "world", "--at", "3s"],
        capture_output=True,
        text=True,
        timeout=60,
    )
    assert half.returncode == 0 and "stands at 3.0 s" in half.stdout
    rest = subprocess.run(
        [*arguments, "go-on", tmp_path / "world", "--json"], capture_output=True, text=True, timeout=60
    )
    assert json.loads(rest.stdout) == json.loads(whole.stdout) and json.loads(rest.stdout)["rules_broken"] == 0


def test_misses_caused_by_a_small_library_do_not_lower_a_zones_trust():
    """With 120 invokers each miss counted against its zone's health: the trust of all zones fell to a twenty-fifth, and
    the plan shed four fifths of all requests without recovering."""
    day = read(Day, (ROOT / "days/region-lost.kdl").read_text(), "region-lost")
    world = start_day(
        msgspec.structs.replace(
            day, troubles=[], lasts=6_000.0, library=msgspec.structs.replace(day.library, smooth=2, most=6)
        )
    )
    world.run(6_000.0)
    trusts = [world.failover_states[world.members[name]].gauge.trust for name in ("c0", "c1", "c2")]
    misses = sum(isinstance(one, seen.Went) and one.how == "missed" for one in world.notes)
    assert misses > 500 and all(trust >= 0.9 for zone_trust in trusts for trust in zone_trust.values())


def test_a_scaled_day_has_a_proportional_library():
    day = read(Day, (ROOT / "days/region-lost.kdl").read_text(), "region-lost")
    large = scaled(day, 180)
    assert sum(one.count for one in large.machines) == 180 and large.library.smooth == 10 * day.library.smooth
    assert large.library.most == 10 * day.library.most and large.traffics[0].rate == 10 * day.traffics[0].rate


def with_users(text=""):
    return read(Day, USERS + text, "day")


def users_with_open_requests(notes):
    """Returns the maximum number of users with an open request, and the requests by user. Requests end as clients see
    it."""
    ends = (seen.Answer, seen.NoAnswer, seen.LeftEarly, seen.Unreached)
    pending, max_users, by_user = {}, 0, {}
    for one in sorted((one for one in notes if isinstance(one, (seen.Sent, *ends))), key=lambda one: one.t):
        if isinstance(one, seen.Sent):
            user = one.root.rpartition("-")[0]
            if "u" in user:
                pending[one.id] = user
                by_user[user] = by_user.get(user, 0) + 1
        else:
            pending.pop(one.id, None)
        max_users = max(max_users, len(set(pending.values())))
        assert len(set(pending.values())) == len(pending), "a user asks one thing at a time"
    return max_users, by_user


def test_users_wait_for_an_answer_and_send_less_when_answers_are_slow():
    quick, slow = play(with_users()), play(with_users('trouble "crawl" at="0s" lasts="7s" share=1.0 factor=8.0\n'))
    world = start_day(with_users())
    world.run(20_000.0)
    max_users, by_user = users_with_open_requests(world.notes)
    assert 1 < max_users <= 12 and len(by_user) == 12 and min(by_user.values()) > 3
    assert quick.broken == slow.broken == []
    assert slow.table.taken < 0.8 * quick.table.taken, "who waits does not ask"
    again = start_day(with_users())
    again.run(20_000.0)
    assert digest(again) == digest(world)


def test_one_slow_user_on_a_short_day_requests_only_one_scan_model():
    day = script('name "x"\ntraffic "line" users=1 think="30s"\ntrouble "scan" at="0s" lasts="7s" share=1.0\n')
    number = len(day.traffics) - 1
    models = {
        RequestSource(day)._of_user(number, 0, count, 0.0).model
        for count in range(60)
        if RequestSource(day)._of_user(number, 0, count, 0.0) is not None
    }
    assert models == {"line-once-0"} and "line-once-0" in catalog(day)


def test_traffic_has_either_a_rate_or_users():
    for wrong in ("rate=5.0 users=3", "models=4", 'users=3 think="0s"'):
        with pytest.raises(SettingsError, match="rate above 0 or users|think above 0"):
            script(f'name "x"\ntraffic "line" {wrong}\n')


def write_record(path, calls):
    """Writes a controller's record of these (ms, inputs)."""
    with open(path, "wb") as sink:
        recorder = Recorder(Gateway(deployment(groups=[group("line")]), 1, lambda effect: None), sink)
        for now, inputs in calls:
            recorder.take(now, inputs)


def test_recorded_requests_of_controllers_can_be_replayed_as_a_day(tmp_path):
    write_record(
        tmp_path / "c0.inputs",
        [(5_000.0 + 100 * n, [ms.Call(f"a{n}", "line", "m1", 900.0, work=40.0)]) for n in range(40)],
    )
    write_record(
        tmp_path / "c1.inputs",
        [
            (
                5_050.0 + 200 * n,
                [ms.Call(f"b{n}", "line", f"m{n % 3}", 1_200.0), ms.Call(f"b{n}.1", "line", "m1", 500.0, repeat=True)],
            )
            for n in range(20)
        ],
    )
    out = tmp_path / "trace.jsonl"
    command = [sys.executable, "-m", "sprucespool.cli.main", "lab", "trace", "--out", str(out)]
    result = subprocess.run(
        [*command, str(tmp_path / "c0.inputs"), str(tmp_path / "c1.inputs")], capture_output=True, text=True
    )
    assert result.returncode == 0 and result.stdout.startswith("60 inferences of 3.9 s"), result.stderr
    asks = [json.loads(line) for line in out.read_text().splitlines()]
    assert [ask["at"] for ask in asks[:3]] == [0.0, 50.0, 100.0]
    assert asks[1]["work"] == 80.0 and asks[0]["wait"] == 900.0
    lines = [line for line in HEAD.splitlines() if not line.startswith("traffic")]
    day = read(Day, "\n".join(lines) + '\nname "again"\nrecorded "trace.jsonl" speed=2.0\n', "day")
    whole = with_recorded(day, tmp_path)
    assert [ask.at for ask in whole.asks[:3]] == [0.0, 25.0, 50.0] and whole.asks[-1].at == 1_950.0
    day_result = play(whole)
    assert day_result.broken == [] and day_result.table.taken >= 60 and day_result.table.in_slo_time > 30
    assert {one.model for one in RequestSource(whole).first()} == {"m0", "m1", "m2"}
    out.write_text(out.read_text() + '{"group": "line", "at": 3, "model": 7}\n')
    with pytest.raises(ValueError, match=r"trace.jsonl:61: Expected `str`, got `int` - at `\$.model`"):
        with_recorded(day, tmp_path)
    out.write_text('{"group": "else", "at": 3, "model": "m"}\n')
    with pytest.raises(ValueError, match="trace.jsonl:1: no model-group 'else'"):
        with_recorded(day, tmp_path)
    with pytest.raises(ValueError, match="none.jsonl: No such file"):
        with_recorded(msgspec.structs.replace(day, recorded=Recorded("none.jsonl")), tmp_path)
    (tmp_path / "c0.inputs").write_bytes(b"no record")
    wrong = subprocess.run([*command, str(tmp_path / "c0.inputs")], capture_output=True, text=True)
    assert wrong.returncode == 2 and wrong.stderr.startswith("the head of the record")
