"""Files that are written whole or not at all; what can't be read is set aside under another name, and said so once."""

from __future__ import annotations

import os
from pathlib import Path
from typing import Any


class SnapshotFile:
    """`most` bytes are read of it at the most."""

    def __init__(self, path: str, log: Any, most: int):
        self.path, self.log, self.most = Path(path), log, most

    def write(self, data: bytes) -> None:
        part = self.path.with_name(self.path.name + ".part")
        try:
            with open(part, "wb") as sink:
                sink.write(data)
                sink.flush()
                os.fsync(sink.fileno())
            os.replace(part, self.path)
        except OSError as problem:
            self.log.error("snapshot not written", file=str(self.path), why=str(problem))

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
