"""Cost and capacity of a controller on this machine, measured with echo invokers in separate processes.

    python benchmarks/serving.py [--quick] [--json FILE]

Prints CPU per inference (total, and the shares of the HTTP/2 path and of the library), the added latency at increasing
rates (open loop, timed from each call's scheduled time), and memory for 10,000 held calls and 1,000 idle connections.
"""

from __future__ import annotations

import argparse
import asyncio
import io
import json
import os
import random
import resource
import subprocess
import sys
import tempfile
import time
from pathlib import Path

from hdrh.histogram import HdrHistogram

from sprucespool.gateway import Gateway, replay
from sprucespool.grpc import ClientLink, Limits, ServerLink, Status
from sprucespool.grpc.events import Answered, Message
from sprucespool.transport.listener import Listener, Server, unary
from sprucespool.transport.plan import PoolLimits
from sprucespool.transport.pool import Pool
from sprucespool.wire import inference_pb2 as oip
from sprucespool.wire import names

TICKS = os.sysconf("SC_CLK_TCK")
MODELS, INVOKERS = 8, 4


def request(n: int, payload: int = 2000) -> bytes:
    message = oip.ModelInferRequest(model_name=f"m{n % MODELS}", id=f"b{n}")
    message.raw_input_contents.append(bytes(payload))
    return message.SerializeToString()


# Roles of child processes


async def echo(hold: float) -> None:
    answer = oip.ModelInferResponse(model_name="m", raw_output_contents=[b"caption " * 16]).SerializeToString()
    trailers = {names.FOUND: "warm", names.SAME_MODEL: "0"}

    def serve(call, data):
        def end():
            call.send(answer)
            call.finish(Status.OK, trailers=trailers)

        if hold:
            asyncio.get_running_loop().call_later(hold, end)
        else:
            end()

    listener = Listener({names.MODEL_INFER: unary(serve)}, Limits(streams=20_000), Server())
    print(await listener.start("127.0.0.1", 0), flush=True)
    await asyncio.Event().wait()


async def load(port: int, rate: float, seconds: float, seed: int, held: int = 0) -> None:
    """Open-loop load: each call is timed from its scheduled time, so a stall counts for every call that it delays."""
    loop = asyncio.get_running_loop()
    pool = Pool("127.0.0.1", port, Limits(streams=20_000), PoolLimits(connections=2, waiting=100_000), seed)
    times, codes, chance, open_calls = HdrHistogram(1, 60_000_000, 3), {}, random.Random(seed), 0
    count = held or int(rate * seconds)
    requests = [request(n) for n in range(MODELS)]
    due = loop.time() + 0.2
    ended = asyncio.Event()

    def send(n: int, due: float):
        def on_event(event):
            nonlocal open_calls
            if isinstance(event, Message):
                call.consumed(event.size)
            elif not hasattr(event, "stream") or hasattr(event, "code") or isinstance(event, Answered):
                name = str(int(event.status)) if isinstance(event, Answered) else type(event).__name__
                codes[name] = codes.get(name, 0) + 1
                times.record_value(max(1, int((loop.time() - due) * 1e6)))
                open_calls -= 1
                if not open_calls:
                    ended.set()

        call = pool.call(names.MODEL_INFER, {}, 60_000.0 if held else 2_500.0, requests[n % MODELS], on_event)

    for n in range(count):
        due += 0.0001 if held else chance.expovariate(rate)
        wait = due - loop.time()
        if wait > 0:
            await asyncio.sleep(wait)
        open_calls += 1
        ended.clear()
        send(n, due)
    await asyncio.wait_for(ended.wait(), 120)
    percentiles = {
        f"p{percentile}": times.get_value_at_percentile(percentile) / 1000.0 for percentile in (50, 99, 99.9)
    }
    print(json.dumps({"codes": codes, "sent": count, **percentiles}), flush=True)


async def idle(port: int, count: int) -> None:
    pools = [Pool("127.0.0.1", port, Limits(), PoolLimits(), n) for n in range(count)]
    remaining = count
    done = asyncio.Event()

    def on_event(event):
        nonlocal remaining
        if isinstance(event, Answered):
            remaining -= 1
            if not remaining:
                done.set()

    for pool in pools:
        pool.call(names.SERVER_LIVE, {}, 20_000.0, b"", on_event)
        await asyncio.sleep(0.001)
    await asyncio.wait_for(done.wait(), 60)
    print("open", flush=True)
    await asyncio.sleep(3)


# The measuring process


def child(*args) -> subprocess.Popen:
    return subprocess.Popen([sys.executable, __file__, *map(str, args)], stdout=subprocess.PIPE, text=True)


def cpu_seconds(pid: int) -> float:
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS


def memory_mb(pid: int) -> float:
    line = next(line for line in Path(f"/proc/{pid}/status").read_text().splitlines() if line.startswith("VmRSS"))
    return int(line.split()[1]) / 1024


class Setup:
    """Echo invokers and a controller in front of them."""

    def __init__(self, folder: Path, hold: float = 0.0, record: bool = False):
        self.echoes = [child("echo", hold) for _ in range(INVOKERS)]
        self.ports = [int(one.stdout.readline()) for one in self.echoes]
        roster, settings = folder / "invokers.kdl", folder / "controller.kdl"
        roster.write_text("".join(f'invoker "127.0.0.1:{port}"\n' for port in self.ports))
        self.record = folder / "inputs"
        settings.write_text(
            f'''listen "127.0.0.1:0"
roster file="{roster}"
model-group "line" slo-time="{"60s" if hold else "600ms"}" route-timeout="{"60s" if hold else "2500ms"}"
model "*" lanes={5000 if hold else 64} load-time="100ms"
bounds calls=20000 streams=20000{' lag="60s"' if hold else ""}
to-invokers connections=4 streams=5000
log level="error"
'''
            + (f'record "{self.record}"\n' if record else "")
        )
        self.controller = subprocess.Popen(
            [sys.executable, "-m", "sprucespool.cli.main", "serve", str(settings)], stdout=subprocess.PIPE, text=True
        )
        self.port = int(self.controller.stdout.readline().rpartition(":")[2])

    def close(self) -> dict:
        self.controller.terminate()
        output = self.controller.stdout.read()
        self.controller.wait(20)
        for one in self.echoes:
            one.kill()
            one.wait()
        return json.loads(output.partition("stopped ")[2] or "{}")


def run_load(port: int, rate: float, seconds: float, clients: int = 2) -> dict:
    clients_started = [child("load", port, rate / clients, seconds, n + 1) for n in range(clients)]
    results = [json.loads(one.communicate(timeout=180)[0]) for one in clients_started]
    codes: dict[str, int] = {}
    for one in results:
        for code, count in one["codes"].items():
            codes[code] = codes.get(code, 0) + count
    return {
        "codes": codes,
        **{percentile: max(one[percentile] for one in results) for percentile in ("p50", "p99", "p99.9")},
    }


def link_cost(calls: int = 3000) -> float:
    """Microseconds of CPU for the HTTP/2 path of one inference through a controller: one call received and one made."""
    client, server = ClientLink(Limits()), ServerLink(Limits())
    body, answer = request(0), bytes(160)
    started_at = time.process_time()
    for _ in range(calls):
        number = client.call(names.MODEL_INFER, "h", {}, 2500.0)
        client.send(number, body)
        client.half_close(number)
        server.receive(client.outgoing()[0], 0.0)
        server.consumed(number, len(body) + 5)
        server.send(number, answer)
        server.finish(number, Status.OK, "", {names.FOUND: "warm"})
        client.receive(server.outgoing()[0], 0.0)
        client.consumed(number, len(answer) + 5)
    return (time.process_time() - started_at) / calls * 1e6


def library_cost(record: Path) -> float:
    """Microseconds of CPU per inference in the library and the module alone, from a record of the same load."""
    data = record.read_bytes()
    started_at = time.process_time()
    gateway: Gateway = replay(io.BytesIO(data), lambda effect: None)
    return (time.process_time() - started_at) / max(1, gateway.counts.taken) * 1e6


def measure(quick: bool) -> dict:
    results: dict = {"machine": f"{os.cpu_count()} cores, Python {sys.version.split()[0]}"}
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        setup = Setup(folder, record=True)
        seconds = 4 if quick else 10
        run_load(setup.port, 200, 2)
        before = cpu_seconds(setup.controller.pid)
        run_load(setup.port, 500, seconds)
        results["cpu_us_an_inference_at_500"] = (cpu_seconds(setup.controller.pid) - before) / (500 * seconds) * 1e6
        setup.close()
        results["cpu_us_http2_path"] = link_cost()
        results["cpu_us_library_and_module"] = library_cost(setup.record)
        setup = Setup(folder)
        run_load(setup.port, 200, 2)
        steps = []
        for rate in (500, 1500) if quick else (250, 500, 1000, 1500, 2000, 2500, 3000, 3500):
            direct = run_load(setup.ports[0], rate, seconds / 2)
            before = cpu_seconds(setup.controller.pid)
            through = run_load(setup.port, rate, seconds)
            busy = (cpu_seconds(setup.controller.pid) - before) / seconds
            served = through["codes"].get("0", 0) / (rate * seconds)
            steps.append(
                {
                    "rate": rate,
                    "returned": round(served, 4),
                    "busy": round(busy, 2),
                    "codes": through["codes"],
                    **{
                        percentile: round(through[percentile] - direct[percentile], 2)
                        for percentile in ("p50", "p99", "p99.9")
                    },
                }
            )
            print(steps[-1], file=sys.stderr, flush=True)
        results["steps"] = steps
        results["most_a_second"] = max(
            (step["rate"] for step in steps if step["returned"] >= 0.999 and step["p99"] <= 100), default=0
        )
        setup.close()
        setup = Setup(folder)
        before = memory_mb(setup.controller.pid)
        conns = child("idle", setup.port, 1000)
        conns.stdout.readline()
        results["mb_1000_idle_connections"] = memory_mb(setup.controller.pid) - before
        conns.wait()
        setup.close()
        setup = Setup(folder, hold=6.0)
        before, peak_mb = memory_mb(setup.controller.pid), 0.0
        holder = child("hold", setup.port, 10_000)
        while holder.poll() is None:
            peak_mb = max(peak_mb, memory_mb(setup.controller.pid))
            time.sleep(0.05)
        results["hold"] = json.loads(holder.stdout.read())
        results["mb_10000_held"] = peak_mb - before
        results["counts_of_hold"] = {k: v for k, v in setup.close().items() if v}
    return results


def main() -> None:
    resource.setrlimit(resource.RLIMIT_NOFILE, (resource.getrlimit(resource.RLIMIT_NOFILE)[1],) * 2)
    roles = {
        "echo": lambda hold: echo(float(hold)),
        "load": lambda port, rate, seconds, seed: load(int(port), float(rate), float(seconds), int(seed)),
        "hold": lambda port, count: load(int(port), 0.0, 0.0, 1, int(count)),
        "idle": lambda port, count: idle(int(port), int(count)),
    }
    if len(sys.argv) > 1 and sys.argv[1] in roles:
        asyncio.run(roles[sys.argv[1]](*sys.argv[2:]))
        return
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--quick", action="store_true")
    parser.add_argument("--json", type=Path)
    args = parser.parse_args()
    results = measure(args.quick)
    text = json.dumps(results, indent=1)
    print(text)
    if args.json:
        args.json.write_text(text + "\n")


if __name__ == "__main__":
    main()
