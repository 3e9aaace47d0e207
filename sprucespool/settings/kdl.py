"""Decodes KDL nodes into msgspec structs. Each error gives the file, line, node path and what was expected.

Each struct describes a node. `__args__` names the fields for the node's positional arguments, in order. Properties set
fields by name (dashes for underscores). Child nodes set the field of their name, whose type is a struct or a list of
structs. `Duration` and `Bytes` require a string with a unit, since a number without one is the most common mistake.
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
    """An error in a document, described on one line: position, what was expected, what was found."""


@dataclass(slots=True)
class _Place:
    """A position in a document, for error messages."""

    file: str
    line: int | None
    path: str

    def error(self, why: str) -> SettingsError:
        at = self.file if self.line is None else f"{self.file}:{self.line}"
        return SettingsError(f"{at}: {self.path}: {why}" if self.path else f"{at}: {why}")


def _scan(text: str) -> tuple[list[int], list[int | None]]:
    """Returns the line of each node, depth first, and the depth of open braces at the end of each line.

    The depth is None inside a comment, a string or a node that continues on the next line. ckdl reports neither. The
    caller compares the result with the number of nodes that ckdl found and discards it if they differ.
    """
    lines: list[int] = []
    depths: list[int | None] = []
    at, line, depth, at_node_start, size = 0, 1, 0, True, len(text)
    skipping: list[int] = []
    commented_out = False
    while at < size:
        c = text[at]
        if c == "\n":
            depths.append(depth)
            line += 1
            at_node_start, at = True, at + 1
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
            commented_out = commented_out or at_node_start
            at += 2
        elif c == "\\":
            # The node continues on the next line.
            stop = text.find("\n", at)
            depths.append(None)
            at, line = (stop + 1 if stop >= 0 else size), line + 1
        elif c in " \t\r\ufeff":
            at += 1
        elif c == ";":
            at_node_start, at = True, at + 1
        elif c == "{":
            depth, at_node_start, at = depth + 1, True, at + 1
        elif c == "}":
            depth, at_node_start, at = depth - 1, True, at + 1
            if skipping and depth < skipping[-1]:
                skipping.pop()
        else:
            if at_node_start:
                at_node_start = False
                if commented_out:
                    # The children of a node that is commented out are skipped as well.
                    commented_out = False
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
                end = at + raw.end() + (2 if quote == '"""' and raw.group(3) is None else 0)
                while end < size and not text.startswith(closing, end):
                    if text[end] == "\\" and raw.group(1) is None and not hashes:
                        end += 1
                    end += 1
                literal = text[at : end + len(closing)]
                for _ in range(literal.count("\n")):
                    depths.append(None)
                line += literal.count("\n")
                at = end + len(closing)
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
    """The first line at which the document up to there, with its open braces closed, does not parse."""
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


def quantity(text: Any, units: dict[str, float] | dict[str, int], example: str) -> float:
    found = _QUANTITY.match(text) if isinstance(text, str) else None
    if not found or found.group(2) not in units:
        raise ValueError(f"expected a text such as {example} (units {', '.join(units)}), got {text!r}")
    unit, number = units[found.group(2)], float(found.group(1))
    # 0.001 has no exact binary representation, so divide by 1000 rather than multiply by 0.001.
    return number * unit if unit >= 1 else number / round(1 / unit)


def _value(kind: Any, value: Any) -> Any:
    """Converts a KDL value to the field type `kind`. Raises ValueError with what was expected."""
    value = value.value if isinstance(value, ckdl.Value) else value
    if typing.get_origin(kind) in (typing.Union, types.UnionType):
        kinds = [one for one in typing.get_args(kind) if one is not type(None)]
        if value is None:
            return None
        kind = kinds[0]
    if typing.get_origin(kind) is Annotated:
        annotations = typing.get_args(kind)
        if "duration" in annotations:
            return quantity(value, DURATIONS, '"250ms"')
        if "bytes" in annotations:
            return int(quantity(value, SIZES, '"8MiB"'))
    if kind is float and isinstance(value, int) and not isinstance(value, bool):
        value = float(value)
    try:
        converted = msgspec.convert(value, kind)
    except msgspec.ValidationError as error:
        raise ValueError(str(error).replace("`", "").replace("Expected", "expected")) from None
    if isinstance(converted, float) and not math.isfinite(converted):
        raise ValueError(f"expected a finite number, got {value!r}")
    return converted


def _struct_of(kind: Any) -> tuple[type[msgspec.Struct] | None, bool]:
    """Returns the struct type of a field (None if it has none), and whether the field is a list."""
    if typing.get_origin(kind) in (typing.Union, types.UnionType):
        kind = [one for one in typing.get_args(kind) if one is not type(None)][0]
    if typing.get_origin(kind) is list:
        inner = typing.get_args(kind)[0]
        return (inner, True) if isinstance(inner, type) and issubclass(inner, msgspec.Struct) else (None, True)
    return (kind, False) if isinstance(kind, type) and issubclass(kind, msgspec.Struct) else (None, False)


def _name_list(names: list[str]) -> str:
    return ", ".join(name.rstrip("_").replace("_", "-") for name in names) or "nothing"


def _fill(
    cls: type[msgspec.Struct], place: _Place, args: list, properties: dict, children: list, lines: dict[int, int]
) -> Any:
    hints = typing.get_type_hints(cls, include_extras=True)
    fields = {field.name: field for field in msgspec.structs.fields(cls)}
    positions: tuple[str, ...] = getattr(cls, "__args__", ())
    plain = [name for name in fields if _struct_of(hints[name])[0] is None]
    nested = [name for name in fields if _struct_of(hints[name])[0] is not None]
    values: dict[str, Any] = {}
    variadic = bool(positions) and typing.get_origin(hints[positions[-1]]) is list
    if len(args) > len(positions) and not variadic:
        raise place.error(f"expected {len(positions)} value(s) ({_name_list(list(positions))}), got {len(args)}")
    for number, value in enumerate(args):
        name = positions[min(number, len(positions) - 1)]
        try:
            if variadic and number >= len(positions) - 1:
                values.setdefault(name, []).append(_value(typing.get_args(hints[name])[0], value))
            else:
                values[name] = _value(hints[name], value)
        except ValueError as error:
            raise place.error(f"{name.replace('_', '-')}: {error}") from None
    for key, value in properties.items():
        name = key.replace("-", "_")
        if name + "_" in plain:
            name += "_"  # the field name is a Python keyword
        if name not in plain:
            raise place.error(f"no property {key!r} here, expected one of {_name_list(plain)}")
        if name in values:
            raise place.error(f"{key} is given twice")
        try:
            values[name] = _value(hints[name], value)
        except ValueError as error:
            raise place.error(f"{key}: {error}") from None
    for node in children:
        name = node.name.replace("-", "_")
        child_place = _Place(place.file, lines.get(id(node)), f"{place.path} {node.name}".strip())
        field = name if name in nested else name + "s" if name + "s" in nested else None
        if field is None:
            listed = name in plain and typing.get_origin(hints[name]) is list
            if name in plain and (listed or len(node.args) == 1) and not node.properties and name not in values:
                # A plain setting may also be written as a child node, which reads better than a long line.
                try:
                    values[name] = (
                        [_value(typing.get_args(hints[name])[0], one) for one in node.args]
                        if listed
                        else _value(hints[name], node.args[0])
                    )
                except ValueError as error:
                    raise child_place.error(str(error)) from None
                continue
            singles = [one[:-1] if _struct_of(hints[one])[1] else one for one in nested]
            raise child_place.error(f"expected one of {_name_list(singles + plain)} here")
        inner, repeated = _struct_of(hints[field])
        assert inner is not None
        value = _fill(inner, child_place, list(node.args), dict(node.properties), list(node.children), lines)
        if repeated:
            values.setdefault(field, []).append(value)
        elif field in values:
            raise child_place.error("is given twice")
        else:
            values[field] = value
    for name, field in fields.items():
        if name not in values and field.required:
            raise place.error(f"expected {name.replace('_', '-')}")
    try:
        decoded = cls(**values)
    except ValueError as error:  # from the struct's own validation in __post_init__
        raise place.error(str(error)) from None
    return decoded


def read(cls: type, text: str, file: str) -> Any:
    """Decodes a document whose top-level nodes are the fields of `cls`. Raises SettingsError."""
    nodes, lines = _parse(text, file)
    return _fill(cls, _Place(file, None, ""), [], {}, nodes, lines)


def _format_value(kind: Any, value: Any) -> str:
    if typing.get_origin(kind) in (typing.Union, types.UnionType):
        kind = [one for one in typing.get_args(kind) if one is not type(None)][0]
    annotations = typing.get_args(kind) if typing.get_origin(kind) is Annotated else ()
    if "duration" in annotations:
        # Rounded to whole microseconds, the finest unit in a file.
        return f'"{round(value * 1000)}us"' if value % 1 else f'"{int(value)}ms"'
    if "bytes" in annotations:
        return f'"{value}B"'
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, (int, float)):
        return repr(value)
    return '"' + value.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n").replace("\t", "\\t") + '"'


def write(struct: msgspec.Struct, depth: int = 0) -> str:
    """Returns a document that `read` decodes to an equal object."""
    hints = typing.get_type_hints(type(struct), include_extras=True)
    lines, pad = [], "    " * depth
    for field in msgspec.structs.fields(type(struct)):
        value, name = getattr(struct, field.name), field.name.replace("_", "-")
        inner, is_list = _struct_of(hints[field.name])
        if value is None:
            continue
        if inner is None and depth == 0:
            kind = typing.get_args(hints[field.name])[0] if is_list else hints[field.name]
            words = " ".join(_format_value(kind, one) for one in (value if is_list else [value]))
            lines.append(f"{name} {words}")
        elif inner is not None:
            single = name[:-1] if is_list else name
            lines += [_node(single, one, pad) for one in (value if is_list else [value])]
    return "\n".join(lines) + ("\n" if depth == 0 else "")


def _node(name: str, struct: msgspec.Struct, pad: str) -> str:
    hints = typing.get_type_hints(type(struct), include_extras=True)
    positions: tuple[str, ...] = getattr(type(struct), "__args__", ())
    words, children = [pad + name], []
    for field in sorted(msgspec.structs.fields(type(struct)), key=lambda field: field.name not in positions):
        value = getattr(struct, field.name)
        inner, is_list = _struct_of(hints[field.name])
        if value is None:
            continue
        if inner is not None:
            single = field.name.replace("_", "-")[:-1] if is_list else field.name.replace("_", "-")
            children += [_node(single, one, pad + "    ") for one in (value if is_list else [value])]
        elif field.name in positions:
            kind = typing.get_args(hints[field.name])[0] if is_list else hints[field.name]
            words += [_format_value(kind, one) for one in (value if is_list else [value])]
        else:
            words.append(f"{field.name.rstrip('_').replace('_', '-')}={_format_value(hints[field.name], value)}")
    text = " ".join(words)
    return text + " {\n" + "\n".join(children) + f"\n{pad}}}" if children else text
