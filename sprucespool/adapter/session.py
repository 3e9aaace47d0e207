"""Reads batches of messages and writes replies, for any number of controller instances."""

from __future__ import annotations

import traceback

from sprucespool.adapter.translator import EVENT_DECODERS, Translator
from sprucespool.adapter.wire import Fields, Malformed, Settings

MAX_TABLE = 15


class Session:
    """One connection to the bench: messages from `source`, replies to `sink`, complaints about bad lines to `notes`."""

    def __init__(self, source, sink, notes):
        self.source = source
        self.sink = sink
        self.notes = notes
        self.line_number = 0
        self.translators: dict[str, Translator] = {}
        self.tables: dict[int, list[Fields]] = {}

    def run(self) -> int:
        while (line := self._read_line()) is not None:
            if not line:
                continue
            try:
                fields = Fields(line)
                if fields.kind != "ROUND":
                    raise Malformed("expected ROUND simTime=NUMBER to open a batch")
                now = fields.number("simTime")
            except Malformed as error:
                self._report_malformed(line, error)
                continue
            if not self._read_batch(now):
                self.notes.write("the input ended inside a batch: expected FLUSH\n")
                return 1
        return 0

    def _read_line(self) -> str | None:
        raw = self.source.readline()
        self.line_number += 1
        if not raw:
            return None
        return raw.decode("utf-8", "replace").rstrip("\r\n")

    def _report_malformed(self, line: str, error: Malformed):
        shown = line if len(line) <= 160 else line[:160] + "..."
        self.notes.write(f"line {self.line_number}: {error}: {shown}\n")

    def _read_batch(self, now: float) -> bool:
        pending: dict[str, list] = {}
        name = None
        while (line := self._read_line()) is not None:
            if line == "FLUSH":
                self._handle_batch(now, pending)
                return True
            if not line:
                continue
            try:
                if line.startswith("SWITCH_TO"):
                    name = None
                    name = Fields(line).text("i")
                elif line.startswith("INVENTORY"):
                    self._read_inventory(line)
                else:
                    self._read_event(name, line, pending)
            except Malformed as error:
                self._report_malformed(line, error)
        return False

    def _read_inventory(self, line: str):
        fields = Fields(line)
        table, rows = fields.whole("table"), fields.whole("rowsIn")
        if table > MAX_TABLE:
            raise Malformed(f"expected table from 0 to {MAX_TABLE}, got {table}")
        self.tables.pop(table, None)
        entries, error = [], None
        for _ in range(rows):
            row = self._read_line()
            if row is None:
                return
            try:
                entry = Fields(row)
                if entry.kind != "ENTRY":
                    raise Malformed("expected ENTRY")
                entries.append(entry)
            except Malformed as invalid:
                error = invalid
                self._report_malformed(row, invalid)
        if error is None:
            self.tables[table] = entries

    def _read_event(self, name: str | None, line: str, pending: dict[str, list]):
        kind = line.partition(" ")[0]
        if name is None:
            raise Malformed("expected SWITCH_TO i=INSTANCE before an event")
        if kind == "CONFIGURE":
            fields = Fields(line)
            seed = fields.whole("salt")
            self.translators.pop(name, None)
            pending.pop(name, None)
            self.translators[name] = Translator(Settings(fields.pairs), seed)
            return
        translator = self.translators.get(name)
        if translator is None:
            raise Malformed(f"expected CONFIGURE for {name} before {kind}")
        if kind == "TEARDOWN":
            del self.translators[name]
            pending.pop(name, None)
        elif kind == "TOPOLOGY":
            pending.setdefault(name, []).append(translator.topology(Fields(line), self.tables))
        elif kind in EVENT_DECODERS:
            event = EVENT_DECODERS[kind](translator, Fields(line))
            if event is not None:
                pending.setdefault(name, []).append(event)
        else:
            raise Malformed(f"expected a message of the wire protocol, got {kind!r}")

    def _handle_batch(self, now: float, pending: dict[str, list]):
        lines = []
        for name, events in pending.items():
            translator = self.translators[name]
            try:
                encoded = [translator.encode(action) for action in translator.controller.handle(now, events)]
            except Exception as error:  # the bench expects each failure of the decision code on the wire
                frame = traceback.extract_tb(error.__traceback__)[-1]
                encoded = [
                    f"INTERNAL_ERROR message={type(error).__name__}: {error} "
                    f"at {frame.name} line {frame.lineno}".replace("\n", " ")
                ]
            translator.release_ended()
            if encoded:
                lines.append(f"INSTANCE i={name}")
                lines += encoded
        lines.append("EOR\n")
        self.sink.write("\n".join(lines).encode())
        self.sink.flush()
