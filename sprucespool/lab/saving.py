"""Saves a world in the middle of its run to a file from which another process or machine can continue.

The scheduled events of a world are closures, so the file is written with cloudpickle and must be read by the same
Python version and the same code. Both are recorded in its head and checked before the body is loaded. As with any
pickle, load only files that you wrote yourself.
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
    """A file from which no run can continue."""


class _Head(msgspec.Struct):
    python: str
    code: str
    now: float
    digest: str


def code() -> str:
    """Digest of the whole source of the program: a world's closures are valid only with the code that made them."""
    digest, root = hashlib.blake2b(digest_size=12), Path(__file__).parent.parent
    for path in sorted(root.rglob("*.py")):
        digest.update(path.relative_to(root).as_posix().encode() + b"\0" + path.read_bytes())
    return digest.hexdigest()


def _python() -> str:
    return f"{sys.implementation.name} {sys.version_info.major}.{sys.version_info.minor}"


def save(world: DayWorld, path: Path) -> None:
    """Writes the file atomically: if the disk is full, a previous file stays. Raises OSError."""
    import cloudpickle

    body = cloudpickle.dumps(world)
    head = _Head(_python(), code(), world.now, hashlib.blake2b(body, digest_size=16).hexdigest())
    part_path = path.with_name(path.name + ".part")
    try:
        with open(part_path, "wb") as out:
            out.write(MARK + msgspec.json.encode(head) + b"\n" + body)
            out.flush()
            os.fsync(out.fileno())
        os.replace(part_path, path)
    except OSError:
        part_path.unlink(missing_ok=True)
        raise


def load(path: Path) -> DayWorld:
    """Raises OSError, and SavedError with what was expected."""
    data = path.read_bytes()
    if not data.startswith(MARK):
        raise SavedError("expected a saved world")
    line, _, body = data[len(MARK) :].partition(b"\n")
    try:
        head = msgspec.json.decode(line, type=_Head)
    except msgspec.MsgspecError as error:
        raise SavedError(f"head: {error}") from None
    if head.python != _python():
        raise SavedError(f"expected to be read by {head.python}, this is {_python()}")
    if head.code != code():
        raise SavedError("expected to be read by the same code as wrote it")
    if hashlib.blake2b(body, digest_size=16).hexdigest() != head.digest:
        raise SavedError("cut off or changed")
    return pickle.loads(body)
