"""Several event loops in one process, one per thread: data read by one never reaches the connections of another."""

import asyncio
import socket
import threading

import pytest

from sprucespool.transport.wire import Wire

pytestmark = pytest.mark.sockets

TIMEOUT_SECONDS = 5.0


class HookedSocket(socket.socket):
    """Calls `after_read` between a read from the system and its return to the event loop."""

    after_read = staticmethod(lambda: None)

    def recv_into(self, buffer, nbytes=0, flags=0):
        count = super().recv_into(buffer, nbytes, flags)
        self.after_read()
        return count


class RecordingLink:
    """Keeps the bytes that it receives."""

    more = deferred = False
    missing_bytes = 0

    def __init__(self):
        self.received = b""

    def receive(self, data, now):
        self.received += bytes(data)
        return [self.received]

    def outgoing(self, data_too=True):
        return b"", ()

    def forget(self):
        pass


def reader(sock, received, ready):
    """A thread with an event loop that reads once from the socket."""

    async def read():
        done = asyncio.Event()
        link = RecordingLink()
        wire = Wire(link, lambda wire, events: done.set(), lambda wire, why: None)
        await asyncio.get_running_loop().create_connection(lambda: wire, sock=sock)
        ready.set()
        await asyncio.wait_for(done.wait(), TIMEOUT_SECONDS)
        received.append(link.received)
        wire.end("read", at_once=True)

    return threading.Thread(target=lambda: asyncio.run(read()), daemon=True)


def hooked_pair():
    near, far = socket.socketpair()
    return near, HookedSocket(far.family, far.type, fileno=far.detach())


def test_a_read_in_one_loop_does_not_overwrite_data_that_another_loop_has_read_but_not_processed():
    first, first_hooked = hooked_pair()
    second, second_hooked = hooked_pair()
    first_has_read, second_has_read = threading.Event(), threading.Event()

    def hold_first():
        first_has_read.set()
        assert second_has_read.wait(TIMEOUT_SECONDS)

    first_hooked.after_read = hold_first
    second_hooked.after_read = second_has_read.set
    first_received, second_received = [], []
    threads = []
    for sock, received in ((first_hooked, first_received), (second_hooked, second_received)):
        ready = threading.Event()
        threads.append(reader(sock, received, ready))
        threads[-1].start()
        assert ready.wait(TIMEOUT_SECONDS)
    first.sendall(b"for the first")
    assert first_has_read.wait(TIMEOUT_SECONDS)
    second.sendall(b"AND FOR THE SECOND")
    for thread in threads:
        thread.join(TIMEOUT_SECONDS)
    assert first_received == [b"for the first"]
    assert second_received == [b"AND FOR THE SECOND"]
    first.close()
    second.close()
