"""Tests of the listening socket: errors of single connections, bursts, closing."""

import asyncio
import contextlib
import errno
import socket
import time
from itertools import pairwise

import pytest
import uvloop

from cicadaledge.wire import Listener

HOST = "127.0.0.1"
LOOPS = [uvloop.new_event_loop, asyncio.SelectorEventLoop]


class FailingSocket:
    """A listening socket whose first calls of accept fail."""

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


class CountingAdmission:
    """Has room for all connections or for none, and counts those that it rejects."""

    max_wait_ms = 250.0

    def __init__(self, *, room):
        self.rejected = 0
        self._room = room

    def has_room(self):
        return self._room

    def reject(self, sock):
        sock.close()
        self.rejected += 1


class CountingSocket:
    """A listening socket that counts accepted connections."""

    def __init__(self, sock):
        self._sock = sock
        self.accepted = 0

    def accept(self):
        pair = self._sock.accept()
        self.accepted += 1
        return pair

    def __getattr__(self, name):
        return getattr(self._sock, name)


def test_failed_accepts_do_not_stop_the_listener():
    """A server of the event loop stops listening when a caller disconnects before it is accepted.

    An overloaded router then accepted no connection and still reported that it was ready.
    """

    async def scenario():
        accepted = []

        class Protocol(asyncio.Protocol):
            def connection_made(self, transport):
                accepted.append(transport)

        listener = Listener(Protocol)
        with socket.socket() as probe:
            probe.bind((HOST, 0))
            port = probe.getsockname()[1]
        errors = [errno.EMFILE, errno.EPROTO, errno.ECONNABORTED]
        listener._sock = FailingSocket(listener._sock, errors)
        listener.start(HOST, port)
        _, writer = await asyncio.open_connection(HOST, port)
        async with asyncio.timeout(2.0):
            while not accepted:
                await asyncio.sleep(0.01)
        assert errors == []
        writer.close()
        listener.close()

    uvloop.run(scenario())
    asyncio.run(scenario())


@pytest.mark.parametrize("loop", LOOPS)
def test_a_burst_of_connections_does_not_block_the_event_loop(loop):
    """Setting up a burst at once kept an overloaded router from seeing disconnects for 0.5 s."""

    async def scenario():
        made = []

        class Protocol(asyncio.Protocol):
            def connection_made(self, transport):
                made.append(transport)

        listener = Listener(Protocol)
        listener._sock = CountingSocket(listener._sock)
        listener.start(HOST, 0)
        callers = [socket.create_connection((HOST, listener.port)) for _ in range(60)]
        turns = [(0, 0)]
        async with asyncio.timeout(5.0):
            while turns[-1] != (len(callers), len(callers)):
                await asyncio.sleep(0)
                turns.append((listener._sock.accepted, len(made)))
        assert {accepted for accepted, _ in turns} == {0, len(callers)}
        assert max(later - earlier for (_, earlier), (_, later) in pairwise(turns)) <= 8
        for caller in callers:
            caller.close()
        listener.close()

    with asyncio.Runner(loop_factory=loop) as runner:
        runner.run(scenario())


@pytest.mark.parametrize("is_pending", [True, False])
def test_lack_of_descriptors_ends_with_an_accept_or_an_empty_backlog(is_pending):
    """A router that is out of descriptors is not ready and so gets no callers.

    Without the check of the backlog it would stay in this state.
    """

    async def scenario():
        listener = Listener(asyncio.Protocol)
        listener._sock = FailingSocket(listener._sock, [errno.EMFILE])
        resume_after_pause = listener._resume_after_pause
        was_short = []

        def record_and_resume():
            was_short.append(listener.is_out_of_descriptors)
            if not is_pending:
                listener._sock.accept()[0].close()
            resume_after_pause()

        listener._resume_after_pause = record_and_resume
        listener.start(HOST, 0)
        caller = socket.create_connection((HOST, listener.port))
        async with asyncio.timeout(2.0):
            while not was_short or listener.is_out_of_descriptors:
                await asyncio.sleep(0.005)
        assert was_short == [True]
        caller.close()
        listener.close()

    uvloop.run(scenario())


@pytest.mark.parametrize("loop", LOOPS)
def test_connections_are_accepted_after_the_loop_has_stopped_watching(loop):
    async def scenario():
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
        for sock in (caller, later):
            sock.close()
        listener.close()

    with asyncio.Runner(loop_factory=loop) as runner:
        runner.run(scenario())


def test_callers_that_connect_while_the_process_is_stopped_are_accepted_or_rejected():
    """The kernel dropped them, so that a router short of CPU time neither served nor refused them."""
    callers = 400

    async def scenario():
        admission = CountingAdmission(room=False)
        listener = Listener(asyncio.Protocol, admission=admission)
        listener.start(HOST, 0)
        with contextlib.ExitStack() as stack:
            for _ in range(callers):
                sock = stack.enter_context(socket.socket())
                sock.setblocking(False)
                sock.connect_ex((HOST, listener.port))
            async with asyncio.timeout(0.9):  # The kernel repeats a dropped attempt after 1 s.
                while admission.rejected < callers:
                    await asyncio.sleep(0.005)
        assert listener.accepted == callers
        listener.close()

    asyncio.run(scenario())


# Guards against callers that get no answer, or 503, from a router with room and time for them: its loop
# was held up between accepting their connections and setting them up.
@pytest.mark.parametrize("loop", LOOPS)
@pytest.mark.parametrize(("callers", "rejected"), [(1, 0), (4, 0), (12, 8)])
def test_callers_that_waited_for_a_held_up_loop_are_set_up_as_far_as_one_turn_allows(
    callers, rejected, loop, monkeypatch
):
    async def scenario():
        admission = CountingAdmission(room=True)
        set_up = []

        class Protocol(asyncio.Protocol):
            def connection_made(self, transport):
                set_up.append(transport)

        listener = Listener(Protocol, admission=admission)
        schedule_admit = listener._schedule_admit

        def schedule_admit_after_a_pause():
            asyncio.get_running_loop().call_soon(time.sleep, 0.4)
            schedule_admit()

        listener.start(HOST, 0)
        with contextlib.ExitStack() as stack:
            for _ in range(callers):
                stack.enter_context(socket.create_connection((HOST, listener.port)))
            monkeypatch.setattr(listener, "_schedule_admit", schedule_admit_after_a_pause)
            async with asyncio.timeout(5.0):
                while len(set_up) + admission.rejected < callers:
                    await asyncio.sleep(0.005)
            assert (len(set_up), admission.rejected) == (callers - rejected, rejected)
            for transport in set_up:
                transport.abort()
        listener.close()

    with asyncio.Runner(loop_factory=loop) as runner:
        runner.run(scenario())


def test_drain_accepts_pending_connections():
    """Otherwise a stopping router resets requests that wait in the backlog of a busy event loop."""

    async def scenario():
        received = []

        class Protocol(asyncio.Protocol):
            def data_received(self, data):
                received.append(data)

        listener = Listener(Protocol)
        listener.start(HOST, 0)
        port = listener.port
        callers = [socket.create_connection((HOST, port)) for _ in range(40)]
        for caller in callers:
            caller.sendall(b"request")
        assert await listener.drain() == 40
        async with asyncio.timeout(2.0):
            while len(received) < len(callers):
                await asyncio.sleep(0.01)
        with pytest.raises(ConnectionRefusedError):
            await asyncio.to_thread(socket.create_connection, (HOST, port))
        for caller in callers:
            caller.close()

    uvloop.run(scenario())
    asyncio.run(scenario())
