"""Folders that last: writes and syncs fail or are cut by a kill at each step; what was promised is still owed."""

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
from sprucespool.failover import Ballot, Keep, Seats, Tell
from sprucespool.failover.codec import SaidError, ballot, kept
from sprucespool.failover.council import Word
from sprucespool.gateway import Gateway, Recorder
from sprucespool.gateway import messages as ms
from sprucespool.gateway.record import batches
from sprucespool.node.logs import Log

OLD, NEW = b"old " * 300, b"new " * 400


class Killed(BaseException):
    """The process ends here: no handler of the program runs."""


class Said:
    """A log that keeps what was said."""

    def __init__(self):
        self.lines = []

    def error(self, event, **facts):
        self.lines.append(event)

    info = warning = error


class Steps:
    """Fails the n-th of write, fsync, replace and the sync of the folder; a write is torn before it fails."""

    def __init__(self, monkeypatch, failing: int, problem: BaseException):
        self.failing, self.problem, self.count = failing, problem, 0
        opened_before, fsync, replace = open, os.fsync, os.replace

        def step(act):
            self.count += 1
            if self.count == self.failing:
                raise self.problem
            return act()

        class Torn(io.FileIO):
            def write(sink, data):
                self.count += 1
                if self.count == self.failing:
                    super().write(bytes(data)[: len(data) // 2])
                    raise self.problem
                return super().write(data)

        def patched_open(path, mode="r", *more, **named):
            return Torn(path, mode) if mode == "wb" else opened_before(path, mode, *more, **named)

        monkeypatch.setattr(snapshots, "open", patched_open, raising=False)
        monkeypatch.setattr(snapshots.os, "fsync", lambda number: step(lambda: fsync(number)))
        monkeypatch.setattr(snapshots.os, "replace", lambda one, other: step(lambda: replace(one, other)))


@pytest.mark.parametrize("failing", range(1, 5))
@pytest.mark.parametrize("how", ["ENOSPC", "EIO", "kill"])
def test_whatever_step_fails_the_file_is_the_old_one_or_the_new_one_whole(tmp_path, monkeypatch, failing, how):
    file = SnapshotFile(str(tmp_path / "kept"), said := Said(), 10_000)
    assert file.write(OLD)
    with monkeypatch.context() as patch:
        problem = Killed() if how == "kill" else OSError(getattr(errno, how), os.strerror(getattr(errno, how)))
        steps = Steps(patch, failing, problem)
        if how == "kill":
            with pytest.raises(Killed):
                file.write(NEW)
        else:
            assert file.write(NEW) is False
    again = SnapshotFile(str(tmp_path / "kept"), said, 10_000)
    # Only the rename makes the new one stand.
    assert again.read() == (NEW if failing == 4 else OLD) and steps.count == failing
    assert again.write(NEW) and again.read() == NEW
    assert sorted(path.name for path in tmp_path.iterdir()) == ["kept"]


def test_four_steps_make_a_file_last_and_none_is_left_out(tmp_path, monkeypatch):
    steps = Steps(monkeypatch, 0, Killed())
    assert SnapshotFile(str(tmp_path / "kept"), Said(), 100).write(b"x")
    # Write, sync of the file, rename, sync of the folder.
    assert steps.count == 4


def test_a_full_folder_is_told_once_and_its_end_too(tmp_path):
    said = Said()
    file = SnapshotFile(str(tmp_path / "none" / "kept"), said, 100)
    assert not any(file.write(b"x") for _ in range(5))
    (tmp_path / "none").mkdir()
    assert file.write(b"x") and said.lines == ["snapshot not written", "snapshot written again"]


def carrier(folder: Path):
    """The part of a carrier that keeps ballots and tells others, with what it told."""
    made, sent = FailoverCarrier.__new__(FailoverCarrier), []
    made.file, made.unkept, made.log = SnapshotFile(str(folder / "ballot"), Said(), 10_000), None, Said()
    made.others = lambda: [SimpleNamespace(name="other", address="127.0.0.1:1")]
    made.failover = SimpleNamespace(name="me", epoch=0, take_events=list)
    made._send = lambda to, said: sent.append(said.word)
    return made, sent


def vote(term: int):
    return [Keep(Ballot(term, "other", Seats((0, 0), ("me", "other")))), Tell("other", Word("voted", "me", term))]


@pytest.mark.parametrize("how", ["missing folder", "ENOSPC"])
def test_a_vote_is_not_given_before_it_lasts_and_is_kept_once_it_can_be(tmp_path, monkeypatch, how):
    made, sent = carrier(tmp_path / "late")
    with monkeypatch.context() as patch:
        if how == "ENOSPC":
            (tmp_path / "late").mkdir()
            Steps(patch, 1, OSError(errno.ENOSPC, "full"))
        made._do(vote(3))
        assert sent == [] and made.unkept is not None
        made._do([Tell("other", Word("beat", "me", 3))])
        assert sent == []
    (tmp_path / "late").mkdir(exist_ok=True)
    made._keep(made.file, made.unkept)
    assert made.unkept is None and ballot(made.file.read()).term == 3
    made._do(vote(4))
    assert [word.term for word in sent] == [4] and ballot(made.file.read()).term == 4


def test_a_torn_or_damaged_ballot_is_recognised_at_every_byte():
    data = kept(Ballot(7, "other", Seats((0, 0), ("me", "other"))))
    assert ballot(data).term == 7
    for end in range(len(data) - 1):
        with pytest.raises(SaidError):
            ballot(data[:end])
    for place in range(len(data) - 1):
        with pytest.raises(SaidError):
            ballot(data[:place] + bytes((data[place] ^ 1,)) + data[place + 1 :])


class FullDisk(io.BytesIO):
    def __init__(self, room: int):
        super().__init__()
        self.room = room

    def write(self, data):
        taken = bytes(data)[: max(0, self.room)]
        self.room -= len(data)
        super().write(taken)
        if len(taken) < len(data):
            raise OSError(errno.ENOSPC, "full")
        return len(data)

    def close(self):
        pass


def test_a_record_of_inputs_that_cant_be_written_on_ends_and_serving_goes_on():
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


class Unwritable:
    def write(self, text):
        raise OSError(errno.ENOSPC, "full")

    flush = lambda self: self.write("")  # noqa: E731


def test_logs_that_cant_be_written_take_nothing_else_with_them(monkeypatch):
    monkeypatch.setattr("sys.stderr", Unwritable())
    Log("debug").error("x", why="y")
    open_log("info", None).error("x")
