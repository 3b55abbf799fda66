"""A listener goes on after errors that concern one connection."""

import asyncio
import errno
import socket
from itertools import pairwise

import pytest
import uvloop

from cicadaledge.wire import Listener

HOST = "127.0.0.1"
LOOPS = [uvloop.new_event_loop, asyncio.SelectorEventLoop]


class Faulty:
    """A listening socket whose first calls fail."""

    def __init__(self, sock, errors):
        self._sock = sock
        self._errors = errors

    def accept(self):
        if self._errors:
            number = self._errors.pop()
            raise OSError(number, errno.errorcode[number])
        return self._sock.accept()

    def __getattr__(self, name):
        return getattr(self._sock, name)


class Counting:
    """A listening socket that counts what was accepted."""

    def __init__(self, sock):
        self._sock = sock
        self.accepted = 0

    def accept(self):
        pair = self._sock.accept()
        self.accepted += 1
        return pair

    def __getattr__(self, name):
        return getattr(self._sock, name)


def test_callers_that_have_gone_before_they_were_accepted_do_not_end_the_listener():
    """A flooded router took no connection any more, and said that it was ready."""

    async def play():
        accepted = []

        class Protocol(asyncio.Protocol):
            def connection_made(self, transport):
                accepted.append(transport)

        listener = Listener(Protocol)
        with socket.socket() as one:
            one.bind((HOST, 0))
            port = one.getsockname()[1]
        errors = [errno.EMFILE, errno.EPROTO, errno.ECONNABORTED]
        listener._sock = Faulty(listener._sock, errors)
        listener.start(HOST, port)
        _, writer = await asyncio.open_connection(HOST, port)
        async with asyncio.timeout(2.0):
            while not accepted:
                await asyncio.sleep(0.01)
        assert errors == []
        writer.close()
        listener.close()

    uvloop.run(play())
    asyncio.run(play())


@pytest.mark.parametrize("loop", LOOPS)
def test_a_burst_of_connections_leaves_other_work_its_turn(loop):
    """A flooded router saw for half a second not that callers had left."""

    async def play():
        made = []

        class Protocol(asyncio.Protocol):
            def connection_made(self, transport):
                made.append(transport)

        listener = Listener(Protocol)
        listener._sock = Counting(listener._sock)
        listener.start(HOST, 0)
        callers = [socket.create_connection((HOST, listener.port)) for _ in range(60)]
        turns = [(0, 0)]
        async with asyncio.timeout(5.0):
            while turns[-1] != (len(callers), len(callers)):
                await asyncio.sleep(0)
                turns.append((listener._sock.accepted, len(made)))
        assert {accepted for accepted, _ in turns} == {0, len(callers)}
        assert max(later - earlier for (_, earlier), (_, later) in pairwise(turns)) <= 8
        for one in callers:
            one.close()
        listener.close()

    with asyncio.Runner(loop_factory=loop) as runner:
        runner.run(play())


@pytest.mark.parametrize("waits", [True, False])
def test_a_want_of_descriptors_is_over_when_one_was_accepted_or_nobody_waits(waits):
    """A router that was not ready for it got no caller that could have shown that it is over."""

    async def play():
        listener = Listener(asyncio.Protocol)
        listener._sock = Faulty(listener._sock, [errno.EMFILE])
        watch_again = listener._resume_after_pause
        was_short = []

        def note():
            was_short.append(listener.is_out_of_descriptors)
            if not waits:
                listener._sock.accept()[0].close()
            watch_again()

        listener._resume_after_pause = note
        listener.start(HOST, 0)
        caller = socket.create_connection((HOST, listener.port))
        async with asyncio.timeout(2.0):
            while not was_short or listener.is_out_of_descriptors:
                await asyncio.sleep(0.005)
        assert was_short == [True]
        caller.close()
        listener.close()

    uvloop.run(play())


@pytest.mark.parametrize("loop", LOOPS)
def test_connections_are_taken_though_the_loop_does_not_watch_any_more(loop):
    async def play():
        made = []

        class Protocol(asyncio.Protocol):
            def connection_made(self, transport):
                made.append(transport)

        listener = Listener(Protocol)
        listener.start(HOST, 0)
        asyncio.get_running_loop().remove_reader(listener._sock.fileno())
        listener._last_accept_ms = -1e9
        caller = socket.create_connection((HOST, listener.port))
        await asyncio.sleep(0.05)
        assert not made
        listener.accept_unnoticed()
        later = socket.create_connection((HOST, listener.port))
        async with asyncio.timeout(2.0):
            while len(made) < 2:
                await asyncio.sleep(0.01)
        for one in (caller, later):
            one.close()
        listener.close()

    with asyncio.Runner(loop_factory=loop) as runner:
        runner.run(play())


def test_connections_that_wait_when_a_listener_closes_are_taken():
    """A leaving router reset requests that waited for a busy loop to accept them."""

    async def play():
        received = []

        class Protocol(asyncio.Protocol):
            def data_received(self, data):
                received.append(data)

        listener = Listener(Protocol)
        listener.start(HOST, 0)
        port = listener.port
        callers = [socket.create_connection((HOST, port)) for _ in range(40)]
        for one in callers:
            one.sendall(b"request")
        assert await listener.drain() == 40
        async with asyncio.timeout(2.0):
            while len(received) < len(callers):
                await asyncio.sleep(0.01)
        with pytest.raises(ConnectionRefusedError):
            await asyncio.to_thread(socket.create_connection, (HOST, port))
        for one in callers:
            one.close()

    uvloop.run(play())
    asyncio.run(play())
