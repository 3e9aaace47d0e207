"""A world in the middle of its run as a file that another process, on another machine, goes on from.

What is due in a world are functions with what they close over, so the file is made by cloudpickle and is to be read by
the same Python and the same code: both stand in its head and are looked at first. As with any such file, read only
what you wrote yourself.
"""

from __future__ import annotations

import hashlib
import os
import pickle
import sys
from pathlib import Path

import msgspec

from sprucespool.lab.world import DayWorld

MARK = b"sprucespool world 1\n"


class SavedError(ValueError):
    """A file that cannot be gone on from."""


class _Head(msgspec.Struct):
    python: str
    code: str
    now: float
    digest: str


def code() -> str:
    """One figure for all of the program's source: a world's functions are only good with theirs."""
    found, root = hashlib.blake2b(digest_size=12), Path(__file__).parent.parent
    for path in sorted(root.rglob("*.py")):
        found.update(path.relative_to(root).as_posix().encode() + b"\0" + path.read_bytes())
    return found.hexdigest()


def _python() -> str:
    return f"{sys.implementation.name} {sys.version_info.major}.{sys.version_info.minor}"


def save(world: DayWorld, path: Path) -> None:
    """Whole or not at all: a full disk leaves what was there before. Raises OSError."""
    import cloudpickle

    body = cloudpickle.dumps(world)
    head = _Head(_python(), code(), world.now, hashlib.blake2b(body, digest_size=16).hexdigest())
    part = path.with_name(path.name + ".part")
    try:
        with open(part, "wb") as out:
            out.write(MARK + msgspec.json.encode(head) + b"\n" + body)
            out.flush()
            os.fsync(out.fileno())
        os.replace(part, path)
    except OSError:
        part.unlink(missing_ok=True)
        raise


def load(path: Path) -> DayWorld:
    """Raises OSError, SavedError with what was expected."""
    data = path.read_bytes()
    if not data.startswith(MARK):
        raise SavedError("expected a saved world")
    line, _, body = data[len(MARK) :].partition(b"\n")
    try:
        head = msgspec.json.decode(line, type=_Head)
    except msgspec.MsgspecError as problem:
        raise SavedError(f"head: {problem}") from None
    if head.python != _python():
        raise SavedError(f"expected to be read by {head.python}, this is {_python()}")
    if head.code != code():
        raise SavedError("expected to be read by the same code as wrote it")
    if hashlib.blake2b(body, digest_size=16).hexdigest() != head.digest:
        raise SavedError("cut off or changed")
    return pickle.loads(body)
