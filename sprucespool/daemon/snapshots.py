"""Files that are written whole or not at all; what can't be read is set aside under another name, and said so once."""

from __future__ import annotations

import os
from pathlib import Path
from typing import Any


def _sync_folder(folder: Path) -> None:
    """Make renames in the folder last."""
    number = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(number)
    finally:
        os.close(number)


def write_durably(path: Path, data: bytes) -> None:
    """Replace the file by the data: after this either the old or the new content lasts, never a part of one.

    Raises OSError; then the new content may not last, and the old one may not stand any more.
    """
    part = path.with_name(path.name + ".part")
    try:
        with open(part, "wb") as sink:
            sink.write(data)
            sink.flush()
            os.fsync(sink.fileno())
        os.replace(part, path)
        _sync_folder(path.parent)
    except OSError:
        try:
            part.unlink(missing_ok=True)
        except OSError:
            # Written over by the next try.
            pass
        raise


class SnapshotFile:
    """`most` bytes are read of it at the most."""

    def __init__(self, path: str, log: Any, most: int):
        self.path, self.log, self.most = Path(path), log, most
        # Whether the last write failed: a folder that is full for an hour is said to be so once.
        self.failing = False

    def write(self, data: bytes) -> bool:
        """Whether the data lasts now."""
        try:
            write_durably(self.path, data)
        except OSError as problem:
            if not self.failing:
                self.log.error("snapshot not written", file=str(self.path), why=str(problem))
            self.failing = True
            return False
        if self.failing:
            self.log.info("snapshot written again", file=str(self.path))
        self.failing = False
        return True

    def read(self) -> bytes | None:
        try:
            with open(self.path, "rb") as source:
                return source.read(self.most + 1024)
        except FileNotFoundError:
            return None
        except OSError as problem:
            self.log.error("snapshot not read", file=str(self.path), why=str(problem))
            return None

    def refuse(self, why: str) -> None:
        aside = self.path.with_name(self.path.name + ".refused")
        self.log.error("snapshot refused", file=str(self.path), kept=str(aside), why=why)
        try:
            os.replace(self.path, aside)
        except OSError:
            pass
