"""The buffer that all connections of one event loop share for reading."""

from __future__ import annotations

import threading

READ_BUFFER_SIZE = 256 * 1024


class _ThreadBuffer(threading.local):
    """One buffer per thread, since a process may run several event loops, one per thread."""

    def __init__(self) -> None:
        self.view = memoryview(bytearray(READ_BUFFER_SIZE))


_THREAD_BUFFER = _ThreadBuffer()


def read_buffer() -> memoryview:
    """Return the buffer of the calling thread. Data read into it must be copied before the next read."""
    return _THREAD_BUFFER.view
