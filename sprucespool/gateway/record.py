"""A gateway's inputs written down, and played again to the same effects byte for byte."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import Any, BinaryIO

import msgspec

from sprucespool import interface as it
from sprucespool.gateway import messages as ms
from sprucespool.gateway.core import Decider, Gateway
from sprucespool.policy import Controller

MARK = "sprucespool inputs 1"


class ReplayError(ValueError):
    """A record that can't be played; the text says where and what was expected."""


class _Head(msgspec.Struct, array_like=True):
    mark: str
    seed: int
    deployment: dict


def _framed(data: bytes) -> bytes:
    return len(data).to_bytes(4, "big") + data


class Recorder:
    """Stands before a gateway and writes each batch down before it is taken: length-framed msgpack.

    A record cut off in the middle of a frame is good up to there. One that can't be written on ends there: a gap would
    make what follows another course of things, and serving goes on without it.
    """

    def __init__(self, gateway: Gateway, sink: BinaryIO):
        self.gateway, self.sink = gateway, sink
        self.encoder = msgspec.msgpack.Encoder()
        # Why nothing more is written.
        self.ended = ""
        self._write(_Head(MARK, gateway.seed, msgspec.to_builtins(gateway.deployment)))

    def _write(self, what: Any) -> None:
        if self.ended:
            return
        try:
            self.sink.write(_framed(self.encoder.encode(what)))
        except OSError as problem:
            self.ended = str(problem)
            self.gateway.port(ms.Note(f"the record of inputs ends: {problem}", fault=True))

    def take(self, now: float, inputs: list[ms.Input]) -> None:
        self._write((now, inputs))
        self.gateway.take(now, inputs)

    def close(self) -> None:
        """Write what is left. An error is noted like any other."""
        try:
            self.sink.close()
        except OSError as problem:
            self.ended = self.ended or str(problem)


def _frames(source: BinaryIO) -> Iterator[bytes]:
    while len(head := source.read(4)) == 4:
        size = int.from_bytes(head, "big")
        data = source.read(size)
        if len(data) < size:
            return
        yield data


def batches(source: BinaryIO) -> Iterator[tuple[float, list[ms.Input]]]:
    """What was taken when, without its effects. Raises ReplayError on what is no record."""
    frames = _frames(source)
    _head(next(frames, b""))
    yield from _batches(frames)


def _head(data: bytes) -> _Head:
    try:
        head = msgspec.msgpack.decode(data, type=_Head)
    except msgspec.DecodeError as problem:
        raise ReplayError(f"the head of the record: {problem}") from None
    if head.mark != MARK:
        raise ReplayError(f"expected a record that begins with {MARK!r}, got {head.mark!r}")
    return head


def _batches(frames: Iterator[bytes]) -> Iterator[tuple[float, list[ms.Input]]]:
    decoder = msgspec.msgpack.Decoder(tuple[float, list[ms.Input]])
    for number, data in enumerate(frames):
        try:
            yield decoder.decode(data)
        except msgspec.DecodeError as problem:
            raise ReplayError(f"batch {number}: {problem}") from None


def replay(
    source: BinaryIO, port: Callable[[ms.Effect], None], decider: Callable[[it.Deployment, int], Decider] = Controller
) -> Gateway:
    """Play a record; `port` gets the effects. Raises ReplayError on what is no record."""
    frames = _frames(source)
    head = _head(next(frames, b""))
    try:
        deployment = msgspec.convert(head.deployment, it.Deployment, strict=False)
    except msgspec.ValidationError as problem:
        raise ReplayError(f"the head of the record: {problem}") from None
    gateway = Gateway(deployment, head.seed, port, decider)
    for now, inputs in _batches(frames):
        gateway.take(now, inputs)
    return gateway
