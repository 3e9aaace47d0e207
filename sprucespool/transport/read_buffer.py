"""The memory that the connections of one event loop read into, one after the other."""

from __future__ import annotations

import threading

READ_BUFFER_SIZE = 256 * 1024


class _ThreadBuffer(threading.local):
    """A process may run several event loops, one a thread: each thread reads into memory of its own."""

    def __init__(self) -> None:
        self.view = memoryview(bytearray(READ_BUFFER_SIZE))


_THREAD_BUFFER = _ThreadBuffer()


def read_buffer() -> memoryview:
    """The calling thread's buffer. What is read into it has to be copied before the next read."""
    return _THREAD_BUFFER.view
