"""Batches in, replies out, for as many instances as the input names."""

from __future__ import annotations

import traceback

from sprucespool.adapter.translator import READERS, Translator
from sprucespool.adapter.wire import Fields, Malformed, Settings

LAST_LIST = 15


class Session:
    def __init__(self, source, sink, notes):
        self.source = source
        self.sink = sink
        self.notes = notes
        self.number = 0
        self.translators: dict[str, Translator] = {}
        self.lists: dict[int, list[Fields]] = {}

    def run(self) -> int:
        while (line := self._line()) is not None:
            if not line:
                continue
            try:
                fields = Fields(line)
                if fields.kind != "ROUND":
                    raise Malformed("expected ROUND simTime=NUMBER to open a batch")
                now = fields.number("simTime")
            except Malformed as problem:
                self._complain(line, problem)
                continue
            if not self._batch(now):
                self.notes.write("the input ended inside a batch: expected FLUSH\n")
                return 1
        return 0

    def _line(self) -> str | None:
        raw = self.source.readline()
        self.number += 1
        if not raw:
            return None
        return raw.decode("utf-8", "replace").rstrip("\r\n")

    def _complain(self, line: str, problem: Malformed):
        shown = line if len(line) <= 160 else line[:160] + "..."
        self.notes.write(f"line {self.number}: {problem}: {shown}\n")

    def _batch(self, now: float) -> bool:
        pending: dict[str, list] = {}
        name = None
        while (line := self._line()) is not None:
            if line == "FLUSH":
                self._reply(now, pending)
                return True
            if not line:
                continue
            try:
                if line.startswith("SWITCH_TO"):
                    name = None
                    name = Fields(line).text("i")
                elif line.startswith("INVENTORY"):
                    self._inventory(line)
                else:
                    self._event(name, line, pending)
            except Malformed as problem:
                self._complain(line, problem)
        return False

    def _inventory(self, line: str):
        fields = Fields(line)
        table, rows = fields.whole("table"), fields.whole("rowsIn")
        if table > LAST_LIST:
            raise Malformed(f"expected table from 0 to {LAST_LIST}, got {table}")
        self.lists.pop(table, None)
        entries, problem = [], None
        for _ in range(rows):
            row = self._line()
            if row is None:
                return
            try:
                entry = Fields(row)
                if entry.kind != "ENTRY":
                    raise Malformed("expected ENTRY")
                entries.append(entry)
            except Malformed as found:
                problem = found
                self._complain(row, found)
        if problem is None:
            self.lists[table] = entries

    def _event(self, name: str | None, line: str, pending: dict[str, list]):
        kind = line.partition(" ")[0]
        if name is None:
            raise Malformed("expected SWITCH_TO i=INSTANCE before an event")
        if kind == "CONFIGURE":
            pairs = Fields(line)
            seed = pairs.whole("salt")
            self.translators.pop(name, None)
            pending.pop(name, None)
            self.translators[name] = Translator(Settings(pairs.pairs), seed)
            return
        translator = self.translators.get(name)
        if translator is None:
            raise Malformed(f"expected CONFIGURE for {name} before {kind}")
        if kind == "TEARDOWN":
            del self.translators[name]
            pending.pop(name, None)
        elif kind == "TOPOLOGY":
            pending.setdefault(name, []).append(translator.topology(Fields(line), self.lists))
        elif kind in READERS:
            event = READERS[kind](translator, Fields(line))
            if event is not None:
                pending.setdefault(name, []).append(event)
        else:
            raise Malformed(f"expected a message of the wire page, got {kind!r}")

    def _reply(self, now: float, pending: dict[str, list]):
        lines = []
        for name, events in pending.items():
            translator = self.translators[name]
            try:
                written = [translator.line(action) for action in translator.controller.handle(now, events)]
            except Exception as problem:  # the bench wants any failure of the decision code told on the wire
                frame = traceback.extract_tb(problem.__traceback__)[-1]
                written = [
                    f"INTERNAL_ERROR message={type(problem).__name__}: {problem} "
                    f"at {frame.name} line {frame.lineno}".replace("\n", " ")
                ]
            translator.tidy()
            if written:
                lines.append(f"INSTANCE i={name}")
                lines += written
        lines.append("EOR\n")
        self.sink.write("\n".join(lines).encode())
        self.sink.flush()
