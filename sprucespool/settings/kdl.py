"""KDL nodes decoded into msgspec structs, each error with file, line, place and what was expected.

A struct stands for a node: `__args__` names the fields that its bare values fill, in order; properties fill fields by
name (dashes for underscores); children fill fields whose type is a struct or a list of structs, by the node's name.
`Duration` and `Bytes` take texts with a unit, since a bare number there is the commonest of all mistakes.
"""

from __future__ import annotations

import math
import re
import types
import typing
from dataclasses import dataclass
from typing import Annotated, Any

import ckdl
import msgspec

Duration = Annotated[float, "duration"]
Bytes = Annotated[int, "bytes"]
DURATIONS = {"us": 1e-3, "ms": 1.0, "s": 1000.0, "m": 60_000.0, "h": 3_600_000.0}
SIZES = {"B": 1, "kB": 10**3, "MB": 10**6, "GB": 10**9, "KiB": 2**10, "MiB": 2**20, "GiB": 2**30}
_QUANTITY = re.compile(r"([0-9]+(?:\.[0-9]+)?) ?([A-Za-z]+)\Z")


class SettingsError(Exception):
    """What is wrong with a document, on one line: place, what was expected, what was found."""


@dataclass(slots=True)
class _Place:
    file: str
    line: int | None
    path: str

    def error(self, why: str) -> SettingsError:
        at = self.file if self.line is None else f"{self.file}:{self.line}"
        return SettingsError(f"{at}: {self.path}: {why}" if self.path else f"{at}: {why}")


def _scan(text: str) -> tuple[list[int], list[int | None]]:
    """The line of each node, depth first, and the depth of open braces at each line's end (None in the middle of a
    comment, a text or a node that goes on). ckdl tells neither; the
    answer is checked against the number of nodes it found and dropped where they differ."""
    lines: list[int] = []
    depths: list[int | None] = []
    at, line, depth, at_node, size = 0, 1, 0, True, len(text)
    skipping: list[int] = []
    slashed = False
    while at < size:
        c = text[at]
        if c == "\n":
            depths.append(depth)
            line += 1
            at_node, at = True, at + 1
        elif text.startswith("//", at):
            at = text.find("\n", at) if "\n" in text[at:] else size
        elif text.startswith("/*", at):
            level, at = 1, at + 2
            while at < size and level:
                if text.startswith("/*", at) or text.startswith("*/", at):
                    level += 1 if text[at] == "/" else -1
                    at += 2
                else:
                    if text[at] == "\n":
                        depths.append(None)
                        line += 1
                    at += 1
        elif text.startswith("/-", at):
            slashed = slashed or at_node
            at += 2
        elif c == "\\":
            # A node goes on after the line's end.
            stop = text.find("\n", at)
            depths.append(None)
            at, line = (stop + 1 if stop >= 0 else size), line + 1
        elif c in " \t\r\ufeff":
            at += 1
        elif c == ";":
            at_node, at = True, at + 1
        elif c == "{":
            depth, at_node, at = depth + 1, True, at + 1
        elif c == "}":
            depth, at_node, at = depth - 1, True, at + 1
            if skipping and depth < skipping[-1]:
                skipping.pop()
        else:
            if at_node:
                at_node = False
                if slashed:
                    # All that lies deeper than this node is out as well.
                    slashed = False
                    skipping.append(depth + 1)
                elif not skipping or depth < skipping[-1]:
                    if skipping and depth + 1 == skipping[-1]:
                        skipping.pop()
                    lines.append(line)
            raw = re.match(r'(?:r(#*)"|(#+)"|(""")|")', text[at : at + 40])
            if raw:
                hashes = raw.group(1) or raw.group(2) or ""
                quote = '"""' if text.startswith('"""', at + len(hashes)) else '"'
                closing = quote + hashes
                seek = at + raw.end() + (2 if quote == '"""' and raw.group(3) is None else 0)
                while seek < size and not text.startswith(closing, seek):
                    if text[seek] == "\\" and raw.group(1) is None and not hashes:
                        seek += 1
                    seek += 1
                piece = text[at : seek + len(closing)]
                for _ in range(piece.count("\n")):
                    depths.append(None)
                line += piece.count("\n")
                at = seek + len(closing)
            else:
                at += 1
                while at < size and text[at] not in ' \t\r\n;{}"\\' and not text.startswith("//", at):
                    at += 1
    depths.append(depth)
    return lines, depths


def _parse(text: str, file: str) -> tuple[list[ckdl.Node], dict[int, int]]:
    try:
        nodes = list(ckdl.parse(text).nodes)
    except (ckdl.ParseError, ValueError, UnicodeDecodeError):
        raise _Place(file, _first_bad_line(text), "").error("expected a KDL document") from None
    lines, _ = _scan(text)
    found: list[ckdl.Node] = []
    stack = nodes[::-1]
    while stack:
        node = stack.pop()
        found.append(node)
        stack += list(node.children)[::-1]
    at = {id(node): line for node, line in zip(found, lines, strict=True)} if len(found) == len(lines) else {}
    return nodes, at


def _first_bad_line(text: str) -> int | None:
    """The first line up to which the document, its braces closed, does not parse."""
    _, depths = _scan(text)
    lines = text.split("\n")
    for count in range(1, len(lines) + 1):
        depth = depths[count - 1] if count <= len(depths) else 0
        if depth is None:
            continue
        if depth < 0:
            return count
        try:
            ckdl.parse("\n".join(lines[:count]) + "\n" + "}" * depth)
        except (ckdl.ParseError, ValueError):
            return count
    return len(lines) if depths and depths[-1] else None


def quantity(text: Any, units: dict[str, float] | dict[str, int], like: str) -> float:
    found = _QUANTITY.match(text) if isinstance(text, str) else None
    if not found or found.group(2) not in units:
        raise ValueError(f"expected a text such as {like} (units {', '.join(units)}), got {text!r}")
    unit, figure = units[found.group(2)], float(found.group(1))
    # A microsecond is no exact part of a millisecond in binary, a thousand of them are one.
    return figure * unit if unit >= 1 else figure / round(1 / unit)


def _value(kind: Any, value: Any) -> Any:
    """Raises ValueError with what was expected."""
    value = value.value if isinstance(value, ckdl.Value) else value
    if typing.get_origin(kind) in (typing.Union, types.UnionType):
        kinds = [one for one in typing.get_args(kind) if one is not type(None)]
        if value is None:
            return None
        kind = kinds[0]
    if typing.get_origin(kind) is Annotated:
        marks = typing.get_args(kind)
        if "duration" in marks:
            return quantity(value, DURATIONS, '"250ms"')
        if "bytes" in marks:
            return int(quantity(value, SIZES, '"8MiB"'))
    if kind is float and isinstance(value, int) and not isinstance(value, bool):
        value = float(value)
    try:
        done = msgspec.convert(value, kind)
    except msgspec.ValidationError as problem:
        raise ValueError(str(problem).replace("`", "").replace("Expected", "expected")) from None
    if isinstance(done, float) and not math.isfinite(done):
        raise ValueError(f"expected a finite number, got {value!r}")
    return done


def _struct_of(kind: Any) -> tuple[type[msgspec.Struct] | None, bool]:
    """(the struct a field holds, whether it holds many)."""
    if typing.get_origin(kind) in (typing.Union, types.UnionType):
        kind = [one for one in typing.get_args(kind) if one is not type(None)][0]
    if typing.get_origin(kind) is list:
        inner = typing.get_args(kind)[0]
        return (inner, True) if isinstance(inner, type) and issubclass(inner, msgspec.Struct) else (None, True)
    return (kind, False) if isinstance(kind, type) and issubclass(kind, msgspec.Struct) else (None, False)


def _told(names: list[str]) -> str:
    return ", ".join(name.rstrip("_").replace("_", "-") for name in names) or "nothing"


def _fill(
    cls: type[msgspec.Struct], place: _Place, args: list, properties: dict, children: list, lines: dict[int, int]
) -> Any:
    hints = typing.get_type_hints(cls, include_extras=True)
    fields = {field.name: field for field in msgspec.structs.fields(cls)}
    positions: tuple[str, ...] = getattr(cls, "__args__", ())
    plain = [name for name in fields if _struct_of(hints[name])[0] is None]
    nested = [name for name in fields if _struct_of(hints[name])[0] is not None]
    given: dict[str, Any] = {}
    many = bool(positions) and typing.get_origin(hints[positions[-1]]) is list
    if len(args) > len(positions) and not many:
        raise place.error(f"expected {len(positions)} value(s) ({_told(list(positions))}), got {len(args)}")
    for number, value in enumerate(args):
        name = positions[min(number, len(positions) - 1)]
        try:
            if many and number >= len(positions) - 1:
                given.setdefault(name, []).append(_value(typing.get_args(hints[name])[0], value))
            else:
                given[name] = _value(hints[name], value)
        except ValueError as problem:
            raise place.error(f"{name.replace('_', '-')}: {problem}") from None
    for told, value in properties.items():
        name = told.replace("-", "_")
        if name + "_" in plain:
            name += "_"  # a word of Python
        if name not in plain:
            raise place.error(f"no property {told!r} here, expected one of {_told(plain)}")
        if name in given:
            raise place.error(f"{told} is given twice")
        try:
            given[name] = _value(hints[name], value)
        except ValueError as problem:
            raise place.error(f"{told}: {problem}") from None
    for node in children:
        name = node.name.replace("-", "_")
        spot = _Place(place.file, lines.get(id(node)), f"{place.path} {node.name}".strip())
        field = name if name in nested else name + "s" if name + "s" in nested else None
        if field is None:
            listed = name in plain and typing.get_origin(hints[name]) is list
            if name in plain and (listed or len(node.args) == 1) and not node.properties and name not in given:
                # A setting on a line of its own reads better than a long line.
                try:
                    given[name] = (
                        [_value(typing.get_args(hints[name])[0], one) for one in node.args]
                        if listed
                        else _value(hints[name], node.args[0])
                    )
                except ValueError as problem:
                    raise spot.error(str(problem)) from None
                continue
            singles = [one[:-1] if _struct_of(hints[one])[1] else one for one in nested]
            raise spot.error(f"expected one of {_told(singles + plain)} here")
        inner, repeated = _struct_of(hints[field])
        assert inner is not None
        value = _fill(inner, spot, list(node.args), dict(node.properties), list(node.children), lines)
        if repeated:
            given.setdefault(field, []).append(value)
        elif field in given:
            raise spot.error("is given twice")
        else:
            given[field] = value
    for name, field in fields.items():
        if name not in given and field.required:
            raise place.error(f"expected {name.replace('_', '-')}")
    try:
        made = cls(**given)
    except ValueError as problem:  # a struct's own check of what its fields say together
        raise place.error(str(problem)) from None
    return made


def read(cls: type, text: str, file: str) -> Any:
    """Decode a document whose top-level nodes are the fields of `cls`. Raises SettingsError."""
    nodes, lines = _parse(text, file)
    return _fill(cls, _Place(file, None, ""), [], {}, nodes, lines)


def _written(kind: Any, value: Any) -> str:
    if typing.get_origin(kind) in (typing.Union, types.UnionType):
        kind = [one for one in typing.get_args(kind) if one is not type(None)][0]
    marks = typing.get_args(kind) if typing.get_origin(kind) is Annotated else ()
    if "duration" in marks:
        # Whole microseconds: no figure in a file is finer.
        return f'"{round(value * 1000)}us"' if value % 1 else f'"{int(value)}ms"'
    if "bytes" in marks:
        return f'"{value}B"'
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, (int, float)):
        return repr(value)
    return '"' + value.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n").replace("\t", "\\t") + '"'


def write(told: msgspec.Struct, depth: int = 0) -> str:
    """The document that `read` makes into the same object."""
    hints = typing.get_type_hints(type(told), include_extras=True)
    lines, pad = [], "    " * depth
    for field in msgspec.structs.fields(type(told)):
        value, name = getattr(told, field.name), field.name.replace("_", "-")
        inner, many = _struct_of(hints[field.name])
        if value is None:
            continue
        if inner is None and depth == 0:
            kind = typing.get_args(hints[field.name])[0] if many else hints[field.name]
            words = " ".join(_written(kind, one) for one in (value if many else [value]))
            lines.append(f"{name} {words}")
        elif inner is not None:
            single = name[:-1] if many else name
            lines += [_node(single, one, pad) for one in (value if many else [value])]
    return "\n".join(lines) + ("\n" if depth == 0 else "")


def _node(name: str, told: msgspec.Struct, pad: str) -> str:
    hints = typing.get_type_hints(type(told), include_extras=True)
    positions: tuple[str, ...] = getattr(type(told), "__args__", ())
    words, children = [pad + name], []
    for field in sorted(msgspec.structs.fields(type(told)), key=lambda field: field.name not in positions):
        value = getattr(told, field.name)
        inner, many = _struct_of(hints[field.name])
        if value is None:
            continue
        if inner is not None:
            single = field.name.replace("_", "-")[:-1] if many else field.name.replace("_", "-")
            children += [_node(single, one, pad + "    ") for one in (value if many else [value])]
        elif field.name in positions:
            kind = typing.get_args(hints[field.name])[0] if many else hints[field.name]
            words += [_written(kind, one) for one in (value if many else [value])]
        else:
            words.append(f"{field.name.rstrip('_').replace('_', '-')}={_written(hints[field.name], value)}")
    text = " ".join(words)
    return text + " {\n" + "\n".join(children) + f"\n{pad}}}" if children else text
