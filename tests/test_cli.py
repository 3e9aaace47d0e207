"""The command line: one error line and status 2 for bad input, clean exit on SIGTERM, replay to the same digest."""

import json
import signal
import subprocess
import sys
import time

import grpc
import pytest
from program import request

from sprucespool.wire import names

pytestmark = pytest.mark.sockets

SETTINGS = (
    'listen "127.0.0.1:0"\nroster file="{0}/invokers.kdl"\nrecord "{0}/inputs"\nstop-within "3s"\n'
    'model-group "line" slo-time="600ms" route-timeout="2500ms"\nlog file="{0}/log"\n'
)


def run_command(*args, **options):
    return subprocess.run(
        [sys.executable, "-m", "sprucespool.cli.main", *map(str, args)],
        capture_output=True,
        text=True,
        timeout=60,
        **options,
    )


def start_process(*args):
    process = subprocess.Popen(
        [sys.executable, "-m", "sprucespool.cli.main", *map(str, args)],
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
    )
    return process, process.stdout.readline().strip().removeprefix("listening on ")


@pytest.mark.parametrize(
    ("args", "text", "expected"),
    [
        (["check"], 'listen "127.0.0.1:0"\nlisten\n', "bad.kdl:2: listen:"),
        (["serve"], "listen 5\n", "bad.kdl:1: listen: expected str, got int"),
        (["day"], 'name "x"\nlasts "1s"\ntrouble "rain" at="0s"\n', "bad.kdl:3: trouble: expected one of deploy"),
        (["check"], b"\xff\xfe", "bad.kdl: expected UTF-8 text"),
        (["replay"], "nonsense", "bad.kdl: the head of the record"),
    ],
)
def test_bad_file_exits_with_one_line_and_status_2(tmp_path, args, text, expected):
    path = tmp_path / "bad.kdl"
    path.write_bytes(text if isinstance(text, bytes) else text.encode())
    result = run_command(*args, path)
    assert result.returncode == 2 and expected in result.stderr and len(result.stderr.strip().splitlines()) == 1


@pytest.mark.parametrize(
    ("args", "expected"),
    [
        (["check", "/nowhere/x.kdl"], "/nowhere/x.kdl: No such file"),
        (["invoker", "--listen", "10.1.1.1:80"], "expected a loopback address"),
        (["invoker", "--load", "soon"], "expected a text such as"),
        (["day", "days/quiet.kdl", "--decider", "oracle"], "--decider: expected one of hiku"),
    ],
)
def test_bad_arguments_exit_with_one_line_and_status_2(args, expected):
    result = run_command(*args)
    assert result.returncode == 2 and expected in result.stderr and len(result.stderr.strip().splitlines()) == 1


def test_controller_and_invoker_commands_serve_and_stop_and_their_record_replays(tmp_path):
    invoker, invoker_address = start_process("invoker", "--load", "20ms")
    (tmp_path / "invokers.kdl").write_text(f'invoker "{invoker_address}"\n')
    (tmp_path / "c.kdl").write_text(SETTINGS.format(tmp_path))
    assert run_command("check", tmp_path / "c.kdl").returncode == 0
    controller, controller_address = start_process("serve", tmp_path / "c.kdl")
    with grpc.insecure_channel(controller_address) as channel:
        infer = channel.unary_unary(names.MODEL_INFER)
        for n in range(30):
            infer(request(f"m{n % 4}", f"id-{n}"), timeout=5)
        last = infer.future(request(id="last", work_ms=400.0), timeout=5)
        time.sleep(0.15)
        controller.send_signal(signal.SIGTERM)
        assert last.code() is grpc.StatusCode.OK
    out, _ = controller.communicate(timeout=10)
    counts = json.loads(out.partition("stopped ")[2])
    assert controller.returncode == 0
    assert counts["taken"] == counts["returned"] == 31 and counts["failed_at_the_end"] == 0
    lines = [json.loads(line) for line in (tmp_path / "log").read_text().splitlines()]
    assert [line["end"] for line in lines if line["event"] == "inference" and line["id"] == "last"] == ["returned"]
    first, second = run_command("replay", tmp_path / "inputs"), run_command("replay", tmp_path / "inputs")
    assert first.stdout == second.stdout and json.loads(first.stdout)["taken"] == 31
    invoker.send_signal(signal.SIGTERM)
    assert invoker.wait(10) == 0


def test_address_in_use_is_reported_and_second_sigterm_exits_at_once(tmp_path):
    (tmp_path / "invokers.kdl").write_text("")
    settings = tmp_path / "c.kdl"
    settings.write_text(SETTINGS.format(tmp_path).replace('stop-within "3s"', 'stop-within "30s"'))
    first, controller_address = start_process("serve", settings)
    settings.write_text(settings.read_text().replace("127.0.0.1:0", controller_address))
    result = run_command("serve", settings)
    assert result.returncode == 2 and "can't listen" in result.stderr
    with grpc.insecure_channel(controller_address) as channel:
        # Without any invoker the inference is held for its share of the SLO time, then shed.
        call = channel.unary_unary(names.MODEL_INFER).future(request(), timeout=5)
        assert call.code() is grpc.StatusCode.RESOURCE_EXHAUSTED
    first.send_signal(signal.SIGTERM)
    first.send_signal(signal.SIGTERM)
    assert first.wait(5) == 0
