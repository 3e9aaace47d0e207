"""Signals during start, reconfiguration and shutdown of the process that the platform runs."""

import asyncio
import json
import signal
import socket
import subprocess
import time

import pytest
from platform_scene import ChannelStandIn, InvokerStandIn, RawClient, controller_process, entry, hit, run_scene, until
from platform_world import configuration, request_frame

pytestmark = pytest.mark.sockets


class Process:
    """One controller process and its stand-ins; `config` is the path of its configuration file."""

    def __init__(self, folder, invoker: InvokerStandIn, channel: ChannelStandIn):
        self.invoker, self.channel = invoker, channel
        with socket.socket() as free:
            free.bind(("127.0.0.1", 0))
            self.port = free.getsockname()[1]
        self.config = folder / "config.json"
        self.write(channel.port)
        self.popen = controller_process(self.config, stderr=subprocess.PIPE)

    def write(self, channel_port: int):
        known = {"cursor": 1, "cmds": [entry(1, ("s-0", self.invoker.port, "up"), whole=True)]}
        settings = configuration(listen=f"127.0.0.1:{self.port}", channel=f"127.0.0.1:{channel_port}", known=known)
        self.config.write_text(json.dumps(settings))

    async def serving(self):
        await until(lambda: self.channel.last_event_ids, 10.0)

    async def ended(self, seconds: float) -> int:
        return await asyncio.to_thread(self.popen.wait, seconds)

    def close(self) -> str:
        self.popen.kill()
        self.popen.wait()
        assert self.popen.stderr is not None
        log_text = self.popen.stderr.read()
        self.popen.stderr.close()
        return log_text


def with_process(tmp_path, scene, behave=hit):
    async def run():
        invoker, channel = await InvokerStandIn(behave).start(), await ChannelStandIn().start()
        process = Process(tmp_path, invoker, channel)
        try:
            await scene(process)
        finally:
            log_text = process.close()
            invoker.close()
            channel.close()
        assert "Traceback" not in log_text, log_text

    run_scene(run)


def test_a_second_sigterm_and_a_sighup_during_shutdown_change_nothing(tmp_path):
    async def scene(process):
        other = await ChannelStandIn().start()
        await process.serving()
        client = RawClient(process.port)
        client.send(request_frame(1))
        assert await client.answers(1) == [(17, 1, 0)]
        process.popen.send_signal(signal.SIGTERM)
        await asyncio.sleep(0.2)
        process.popen.send_signal(signal.SIGTERM)
        process.write(other.port)
        process.popen.send_signal(signal.SIGHUP)
        # Discovery continues at its new address, and new requests are answered.
        await until(lambda: other.last_event_ids)
        client.send(request_frame(2))
        assert (17, 2, 0) in await client.answers(2)
        assert await process.ended(4.0) == 0
        other.close()

    with_process(tmp_path, scene)


def test_sigterm_during_start_ends_the_process_without_a_traceback(tmp_path):
    async def scene(process):
        # The signal arrives around the time at which the interpreter loads the program.
        await asyncio.sleep(0.15)
        process.popen.send_signal(signal.SIGTERM)
        assert await process.ended(6.0) in (0, -signal.SIGTERM)

    for delay in range(2):
        folder = tmp_path / str(delay)
        folder.mkdir()
        with_process(folder, scene)


def test_an_unreadable_new_configuration_is_refused_and_the_old_one_kept(tmp_path):
    async def scene(process):
        await process.serving()
        process.config.unlink()
        process.popen.send_signal(signal.SIGHUP)
        await asyncio.sleep(0.2)
        client = RawClient(process.port)
        client.send(request_frame(1))
        assert await client.answers(1) == [(17, 1, 0)]
        # The file appears while reads are still retried: a temporary read error loses no configuration.
        other = await ChannelStandIn().start()
        process.write(other.port)
        await until(lambda: other.last_event_ids)
        other.close()

    with_process(tmp_path, scene)


def test_five_configurations_in_quick_succession_the_last_one_bad(tmp_path):
    async def scene(process):
        await process.serving()
        channels = [await ChannelStandIn().start() for _ in range(4)]
        for channel in channels:
            process.write(channel.port)
            process.popen.send_signal(signal.SIGHUP)
            await asyncio.sleep(0.03)
        process.config.write_text("{")
        process.popen.send_signal(signal.SIGHUP)
        await until(lambda: channels[-1].last_event_ids)
        await asyncio.sleep(0.2)
        assert process.popen.poll() is None and len(channels[-1].last_event_ids) == 1
        client = RawClient(process.port)
        client.send(request_frame(1))
        assert await client.answers(1) == [(17, 1, 0)]
        for channel in channels:
            channel.close()

    with_process(tmp_path, scene)


def test_start_waits_for_an_address_that_another_process_still_holds(tmp_path):
    async def scene(process):
        await process.serving()
        second = controller_process(process.config, stderr=subprocess.DEVNULL)
        try:
            await asyncio.sleep(1.0)
            process.popen.kill()
            killed = time.monotonic()
            await until(lambda: len(process.channel.last_event_ids) == 2, 6.0)
            assert second.poll() is None and time.monotonic() - killed < 2.0
        finally:
            second.kill()
            second.wait()

    with_process(tmp_path, scene)
