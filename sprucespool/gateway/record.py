"""Records a gateway's inputs and replays them; a replay gives the same effects byte for byte."""

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
    """A record cannot be replayed. The message gives the position and what was expected there."""


class _Head(msgspec.Struct, array_like=True):
    mark: str
    seed: int
    deployment: dict


def _frame(data: bytes) -> bytes:
    return len(data).to_bytes(4, "big") + data


class Recorder:
    """Writes each batch as length-framed msgpack before passing it to the gateway.

    A record that is cut off in the middle of a frame is valid up to that frame. After a write error nothing more is
    recorded, since a replay across a gap would diverge; the gateway keeps serving without the record.
    """

    def __init__(self, gateway: Gateway, sink: BinaryIO):
        self.gateway, self.sink = gateway, sink
        self.encoder = msgspec.msgpack.Encoder()
        # The error after which nothing more is written; empty while recording.
        self.ended = ""
        self._write(_Head(MARK, gateway.seed, msgspec.to_builtins(gateway.deployment)))

    def _write(self, message: Any) -> None:
        if self.ended:
            return
        try:
            self.sink.write(_frame(self.encoder.encode(message)))
        except OSError as error:
            self.ended = str(error)
            self.gateway.port(ms.Note(f"the record of inputs ends: {error}", fault=True))

    def take(self, now: float, inputs: list[ms.Input]) -> None:
        self._write((now, inputs))
        self.gateway.take(now, inputs)

    def close(self) -> None:
        """Closes the sink, which writes buffered data. An error is stored in `ended`."""
        try:
            self.sink.close()
        except OSError as error:
            self.ended = self.ended or str(error)


def _frames(source: BinaryIO) -> Iterator[bytes]:
    while len(head := source.read(4)) == 4:
        size = int.from_bytes(head, "big")
        data = source.read(size)
        if len(data) < size:
            return
        yield data


def batches(source: BinaryIO) -> Iterator[tuple[float, list[ms.Input]]]:
    """Yields each batch with its time, without running a gateway. Raises ReplayError if this is not a record."""
    frames = _frames(source)
    _decode_head(next(frames, b""))
    yield from _decode_batches(frames)


def _decode_head(data: bytes) -> _Head:
    try:
        head = msgspec.msgpack.decode(data, type=_Head)
    except msgspec.DecodeError as error:
        raise ReplayError(f"the head of the record: {error}") from None
    if head.mark != MARK:
        raise ReplayError(f"expected a record that begins with {MARK!r}, got {head.mark!r}")
    return head


def _decode_batches(frames: Iterator[bytes]) -> Iterator[tuple[float, list[ms.Input]]]:
    decoder = msgspec.msgpack.Decoder(tuple[float, list[ms.Input]])
    for number, data in enumerate(frames):
        try:
            yield decoder.decode(data)
        except msgspec.DecodeError as error:
            raise ReplayError(f"batch {number}: {error}") from None


def replay(
    source: BinaryIO, port: Callable[[ms.Effect], None], decider: Callable[[it.Deployment, int], Decider] = Controller
) -> Gateway:
    """Replays a record; `port` receives the effects. Raises ReplayError if this is not a record."""
    frames = _frames(source)
    head = _decode_head(next(frames, b""))
    try:
        deployment = msgspec.convert(head.deployment, it.Deployment, strict=False)
    except msgspec.ValidationError as error:
        raise ReplayError(f"the head of the record: {error}") from None
    gateway = Gateway(deployment, head.seed, port, decider)
    for now, inputs in _decode_batches(frames):
        gateway.take(now, inputs)
    return gateway
