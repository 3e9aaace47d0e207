"""Durable files: writes and syncs fail, or the process is killed, at each step. Old or new content stays complete, and
a promise that was sent is kept."""

import errno
import io
import os
from pathlib import Path
from types import SimpleNamespace

import pytest
from world import deployment

from sprucespool import interface as it
from sprucespool.daemon import snapshots
from sprucespool.daemon.failover import FailoverCarrier
from sprucespool.daemon.logs import open_log
from sprucespool.daemon.snapshots import SnapshotFile
from sprucespool.failover import Ballot, SendToVoter, StoreBallot, VoterSet
from sprucespool.failover.codec import PlanMessageError, decode_ballot, encode_ballot
from sprucespool.failover.council import CouncilMessage
from sprucespool.gateway import Gateway, Recorder
from sprucespool.gateway import messages as ms
from sprucespool.gateway.record import batches
from sprucespool.node.logs import Log

OLD, NEW = b"old " * 300, b"new " * 400


class Killed(BaseException):
    """Simulates a kill of the process: no handler of the program catches it."""


class RecordingLog:
    """A log that keeps its events."""

    def __init__(self):
        self.events = []

    def error(self, event, **facts):
        self.events.append(event)

    info = warning = error


class FailingStep:
    """Makes the n-th of write, fsync, replace and the fsync of the folder fail. A failing write writes half of its
    data."""

    def __init__(self, monkeypatch, failing: int, error: BaseException):
        self.failing, self.error, self.count = failing, error, 0
        original_open, fsync, replace = open, os.fsync, os.replace

        def step(act):
            self.count += 1
            if self.count == self.failing:
                raise self.error
            return act()

        class TornFile(io.FileIO):
            def write(sink, data):
                self.count += 1
                if self.count == self.failing:
                    super().write(bytes(data)[: len(data) // 2])
                    raise self.error
                return super().write(data)

        def patched_open(path, mode="r", *more, **options):
            return TornFile(path, mode) if mode == "wb" else original_open(path, mode, *more, **options)

        monkeypatch.setattr(snapshots, "open", patched_open, raising=False)
        monkeypatch.setattr(snapshots.os, "fsync", lambda number: step(lambda: fsync(number)))
        monkeypatch.setattr(snapshots.os, "replace", lambda one, other: step(lambda: replace(one, other)))


@pytest.mark.parametrize("failing", range(1, 5))
@pytest.mark.parametrize("how", ["ENOSPC", "EIO", "kill"])
def test_after_a_failure_at_any_step_the_file_is_the_old_or_the_new_one_complete(tmp_path, monkeypatch, failing, how):
    file = SnapshotFile(str(tmp_path / "kept"), log := RecordingLog(), 10_000)
    assert file.write(OLD)
    with monkeypatch.context() as patch:
        error = Killed() if how == "kill" else OSError(getattr(errno, how), os.strerror(getattr(errno, how)))
        steps = FailingStep(patch, failing, error)
        if how == "kill":
            with pytest.raises(Killed):
                file.write(NEW)
        else:
            assert file.write(NEW) is False
    again = SnapshotFile(str(tmp_path / "kept"), log, 10_000)
    # Only the rename replaces the old content.
    assert again.read() == (NEW if failing == 4 else OLD) and steps.count == failing
    assert again.write(NEW) and again.read() == NEW
    assert sorted(path.name for path in tmp_path.iterdir()) == ["kept"]


def test_a_durable_write_takes_all_four_steps(tmp_path, monkeypatch):
    steps = FailingStep(monkeypatch, 0, Killed())
    assert SnapshotFile(str(tmp_path / "kept"), RecordingLog(), 100).write(b"x")
    # Write, sync of the file, rename, sync of the folder.
    assert steps.count == 4


def test_a_failing_folder_is_logged_once_and_so_is_its_recovery(tmp_path):
    log = RecordingLog()
    file = SnapshotFile(str(tmp_path / "none" / "kept"), log, 100)
    assert not any(file.write(b"x") for _ in range(5))
    (tmp_path / "none").mkdir()
    assert file.write(b"x") and log.events == ["snapshot not written", "snapshot written again"]


def carrier(folder: Path):
    """A carrier with only the parts that keep ballots and send messages, and the messages that it sent."""
    failover, sent = FailoverCarrier.__new__(FailoverCarrier), []
    failover.file, failover.unstored_ballot, failover.log = (
        SnapshotFile(str(folder / "ballot"), RecordingLog(), 10_000),
        None,
        RecordingLog(),
    )
    failover.others = lambda: [SimpleNamespace(name="other", address="127.0.0.1:1")]
    failover.failover = SimpleNamespace(name="me", epoch=0, take_events=list)
    failover._send = lambda to, message: sent.append(message.council_message)
    return failover, sent


def vote_effects(term: int):
    return [
        StoreBallot(Ballot(term, "other", VoterSet((0, 0), ("me", "other")))),
        SendToVoter("other", CouncilMessage("voted", "me", term)),
    ]


@pytest.mark.parametrize("how", ["missing folder", "ENOSPC"])
def test_a_vote_is_not_sent_before_its_ballot_is_durable_and_the_ballot_is_kept_later(tmp_path, monkeypatch, how):
    failover, sent = carrier(tmp_path / "late")
    with monkeypatch.context() as patch:
        if how == "ENOSPC":
            (tmp_path / "late").mkdir()
            FailingStep(patch, 1, OSError(errno.ENOSPC, "full"))
        failover._carry_out(vote_effects(3))
        assert sent == [] and failover.unstored_ballot is not None
        failover._carry_out([SendToVoter("other", CouncilMessage("beat", "me", 3))])
        assert sent == []
    (tmp_path / "late").mkdir(exist_ok=True)
    failover._store_ballot(failover.file, failover.unstored_ballot)
    assert failover.unstored_ballot is None and decode_ballot(failover.file.read()).term == 3
    failover._carry_out(vote_effects(4))
    assert [word.term for word in sent] == [4] and decode_ballot(failover.file.read()).term == 4


def test_a_truncated_or_damaged_ballot_is_detected_at_every_byte():
    data = encode_ballot(Ballot(7, "other", VoterSet((0, 0), ("me", "other"))))
    assert decode_ballot(data).term == 7
    for end in range(len(data) - 1):
        with pytest.raises(PlanMessageError):
            decode_ballot(data[:end])
    for position in range(len(data) - 1):
        with pytest.raises(PlanMessageError):
            decode_ballot(data[:position] + bytes((data[position] ^ 1,)) + data[position + 1 :])


class FullDisk(io.BytesIO):
    def __init__(self, free_bytes: int):
        super().__init__()
        self.free_bytes = free_bytes

    def write(self, data):
        written = bytes(data)[: max(0, self.free_bytes)]
        self.free_bytes -= len(data)
        super().write(written)
        if len(written) < len(data):
            raise OSError(errno.ENOSPC, "full")
        return len(data)

    def close(self):
        pass


def test_a_record_of_inputs_that_cannot_be_continued_ends_and_serving_goes_on():
    effects, sink = [], FullDisk(1_500)
    gateway = Gateway(deployment(), 1, effects.append)
    recorder = Recorder(gateway, sink)
    calls = [ms.Call(f"c{n}", gateway.deployment.groups[0].name, "m", 1_000.0) for n in range(200)]
    recorder.take(0.0, [ms.Roster(it.News.REPLACE.value, 1, [ms.Row("w0")])])
    for number, call in enumerate(calls):
        recorder.take(float(number), [call])
    assert gateway.counts.taken == 200 and "full" in recorder.ended
    assert sum("record of inputs ends" in getattr(effect, "text", "") for effect in effects) == 1
    recorder.close()
    sink.seek(0)
    assert len(list(batches(sink))) < 200


class UnwritableFile:
    def write(self, text):
        raise OSError(errno.ENOSPC, "full")

    flush = lambda self: self.write("")  # noqa: E731


def test_a_log_that_cannot_be_written_raises_nothing(monkeypatch):
    monkeypatch.setattr("sys.stderr", UnwritableFile())
    Log("debug").error("x", why="y")
    open_log("info", None).error("x")
