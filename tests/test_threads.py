"""Several event loops in one process, one a thread: what one reads never reaches the connections of another."""

import asyncio
import socket
import threading

import pytest

from sprucespool.transport.wire import Wire

pytestmark = pytest.mark.sockets

PATIENCE = 5.0


class HeldSocket(socket.socket):
    """Between a read from the system and its return to the event loop, `after_read` is called."""

    after_read = staticmethod(lambda: None)

    def recv_into(self, buffer, nbytes=0, flags=0):
        count = super().recv_into(buffer, nbytes, flags)
        self.after_read()
        return count


class HeardLink:
    """Keeps the bytes that it receives."""

    more = False

    def __init__(self):
        self.heard = b""

    def receive(self, data, now):
        self.heard += bytes(data)
        return [self.heard]

    def outgoing(self, data_too=True):
        return b"", ()

    def forget(self):
        pass


def reader(sock, heard, ready):
    """A thread with an event loop that reads one piece from the socket."""

    async def read():
        done = asyncio.Event()
        link = HeardLink()
        wire = Wire(link, lambda wire, events: done.set(), lambda wire, why: None)
        await asyncio.get_running_loop().create_connection(lambda: wire, sock=sock)
        ready.set()
        await asyncio.wait_for(done.wait(), PATIENCE)
        heard.append(link.heard)
        wire.end("read", at_once=True)

    return threading.Thread(target=lambda: asyncio.run(read()), daemon=True)


def held_pair():
    here, there = socket.socketpair()
    return here, HeldSocket(there.family, there.type, fileno=there.detach())


def test_a_loop_that_reads_while_another_has_read_but_not_yet_taken_it_changes_nothing_of_it():
    first, first_held = held_pair()
    second, second_held = held_pair()
    first_has_read, second_has_read = threading.Event(), threading.Event()

    def hold_first():
        first_has_read.set()
        assert second_has_read.wait(PATIENCE)

    first_held.after_read = hold_first
    second_held.after_read = second_has_read.set
    first_heard, second_heard = [], []
    threads = []
    for sock, heard in ((first_held, first_heard), (second_held, second_heard)):
        ready = threading.Event()
        threads.append(reader(sock, heard, ready))
        threads[-1].start()
        assert ready.wait(PATIENCE)
    first.sendall(b"for the first")
    assert first_has_read.wait(PATIENCE)
    second.sendall(b"AND FOR THE SECOND")
    for thread in threads:
        thread.join(PATIENCE)
    assert first_heard == [b"for the first"]
    assert second_heard == [b"AND FOR THE SECOND"]
    first.close()
    second.close()
