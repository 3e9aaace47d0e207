"""Files that are written completely or not at all. An invalid one is renamed, so that it is kept and logged once."""

from __future__ import annotations

import os
from pathlib import Path
from typing import Any


def _sync_folder(folder: Path) -> None:
    """Make renames in the folder durable."""
    descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def write_durably(path: Path, data: bytes) -> None:
    """Replace the file's content atomically and durably: a crash leaves either the old or the new content, complete.

    Raises OSError; then the new content may not be durable, and the old one may already be replaced.
    """
    temporary = path.with_name(path.name + ".part")
    try:
        with open(temporary, "wb") as file:
            file.write(data)
            file.flush()
            os.fsync(file.fileno())
        os.replace(temporary, path)
        _sync_folder(path.parent)
    except OSError:
        try:
            temporary.unlink(missing_ok=True)
        except OSError:
            # The next write overwrites it.
            pass
        raise


class SnapshotFile:
    """A file that holds the last snapshot. At most a little more than `max_bytes` of it are read."""

    def __init__(self, path: str, log: Any, max_bytes: int):
        self.path, self.log, self.max_bytes = Path(path), log, max_bytes
        # Whether the last write failed: a full disk is logged once, not at every write.
        self.failing = False

    def write(self, data: bytes) -> bool:
        """Returns whether the data was written durably."""
        try:
            write_durably(self.path, data)
        except OSError as error:
            if not self.failing:
                self.log.error("snapshot not written", file=str(self.path), why=str(error))
            self.failing = True
            return False
        if self.failing:
            self.log.info("snapshot written again", file=str(self.path))
        self.failing = False
        return True

    def read(self) -> bytes | None:
        try:
            with open(self.path, "rb") as source:
                return source.read(self.max_bytes + 1024)
        except FileNotFoundError:
            return None
        except OSError as error:
            self.log.error("snapshot not read", file=str(self.path), why=str(error))
            return None

    def refuse(self, why: str) -> None:
        """Rename an invalid snapshot, so that it is kept for inspection and not read again."""
        aside = self.path.with_name(self.path.name + ".refused")
        self.log.error("snapshot refused", file=str(self.path), kept=str(aside), why=why)
        try:
            os.replace(self.path, aside)
        except OSError:
            pass
