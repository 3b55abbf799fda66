"""Callers' connections: idle and header timeouts, eviction, and disconnects."""

import asyncio
import select
import socket
import time

import pytest
import uvloop
from attrs import evolve
from edge_world import SETTINGS

from cicadaledge.edge import CallerConnection, Channel
from cicadaledge.edge._caller_connections import CallerConnections
from cicadaledge.routing import Limits
from cicadaledge.wire import Listener

HOST = "127.0.0.1"
REQUEST = b"POST /book HTTP/1.1\r\nHost: site.example\r\nContent-Length: 2\r\n\r\n{}"
LOOPS = [uvloop.new_event_loop, asyncio.SelectorEventLoop]


class Answering:
    """Answers each request at once."""

    def __init__(self, **limits):
        self.limits = evolve(Limits(), **limits)

    async def answer(self, head, body, writer):
        await writer.send_response(200, [], b"done")

    def ends_connection(self):
        return False

    def refuse(self, code, detail, status):
        return [], detail.encode()

    def record_disconnect(self, head):
        raise AssertionError("a caller disconnected unexpectedly")


class Edge:
    """A listener and the connections that it accepted."""

    def __init__(self, service, callers=None):
        self._service = service
        self._callers = callers
        self.tasks = []
        self.listener = Listener(lambda: Channel(self._start))
        self.listener.start(HOST, 0)

    def _start(self, channel):
        connection = CallerConnection(channel, self._service)
        self.tasks.append(asyncio.get_running_loop().create_task(connection.run()))
        if self._callers is not None:
            self._callers.add(connection)

    def connect(self):
        sock = socket.create_connection((HOST, self.listener.port))
        sock.settimeout(2.0)
        return sock

    async def exchange(self, sock):
        sock.sendall(REQUEST)
        return await self.receive(sock)

    async def receive(self, sock):
        """Return the status line, or how the connection ended."""
        try:
            data = await asyncio.to_thread(sock.recv, 65_536)
        except OSError as error:
            return type(error).__name__
        return data.split(b"\r\n")[0] or "closed"

    def close(self, *socks):
        for sock in socks:
            sock.close()
        self.listener.close()


@pytest.mark.parametrize("loop", LOOPS)
def test_a_request_received_before_the_idle_timeout_is_answered_by_a_busy_loop(loop):
    """An overloaded router read such requests and closed their connections without a response."""

    async def play():
        edge = Edge(Answering(idle_timeout_ms=500.0))
        callers = [edge.connect() for _ in range(20)]
        for caller in callers:
            assert await edge.exchange(caller) == b"HTTP/1.1 200 OK"
        await asyncio.sleep(0.3)
        for caller in callers:
            caller.sendall(REQUEST)
        time.sleep(1.4)
        answers = [await edge.receive(caller) for caller in callers]
        assert answers == [b"HTTP/1.1 200 OK"] * 20
        edge.close(*callers)

    with asyncio.Runner(loop_factory=loop) as runner:
        runner.run(play())


@pytest.mark.parametrize("loop", LOOPS)
def test_an_idle_connection_is_closed_after_the_idle_timeout(loop):
    async def play():
        edge = Edge(Answering(idle_timeout_ms=200.0))
        caller = edge.connect()
        assert await edge.exchange(caller) == b"HTTP/1.1 200 OK"
        started = time.monotonic()
        assert await edge.receive(caller) == "closed"
        assert 0.2 <= time.monotonic() - started < 2.0
        edge.close(caller)

    with asyncio.Runner(loop_factory=loop) as runner:
        runner.run(play())


@pytest.mark.parametrize("loop", LOOPS)
def test_a_request_sent_just_within_the_idle_timeout_is_answered(loop):
    async def play():
        edge = Edge(Answering(idle_timeout_ms=300.0))
        caller = edge.connect()
        assert await edge.exchange(caller) == b"HTTP/1.1 200 OK"
        await asyncio.sleep(0.35)
        assert await edge.exchange(caller) == b"HTTP/1.1 200 OK"
        edge.close(caller)

    with asyncio.Runner(loop_factory=loop) as runner:
        runner.run(play())


@pytest.mark.parametrize("loop", LOOPS)
def test_a_request_received_in_time_in_two_parts_is_not_timed_out_by_a_busy_loop(loop):
    async def play():
        edge = Edge(Answering(header_timeout_ms=300.0))
        caller = edge.connect()
        caller.sendall(REQUEST[:20])
        await asyncio.sleep(0.1)
        caller.sendall(REQUEST[20:])
        time.sleep(0.4)
        assert await edge.receive(caller) == b"HTTP/1.1 200 OK"
        slow = edge.connect()
        slow.sendall(REQUEST[:20])
        assert (await edge.receive(slow)).startswith(b"HTTP/1.1 408")
        edge.close(caller, slow)

    with asyncio.Runner(loop_factory=loop) as runner:
        runner.run(play())


@pytest.mark.parametrize("loop", LOOPS)
def test_a_head_sent_byte_by_byte_times_out_on_a_busy_loop(loop):
    """Unread bytes in the kernel extend the timeout, so each new byte could extend it again."""

    async def play():
        edge = Edge(Answering(header_timeout_ms=200.0))
        caller = edge.connect()
        caller.sendall(REQUEST[:20])
        started = time.monotonic()
        while not (closed := select.select([caller], [], [], 0)[0]):
            if time.monotonic() - started > 2.0:
                break
            caller.sendall(b"a")
            time.sleep(0.02)
            await asyncio.sleep(0)
        assert closed
        assert (await edge.receive(caller)).startswith(b"HTTP/1.1 408")
        edge.close(caller)

    with asyncio.Runner(loop_factory=loop) as runner:
        runner.run(play())


@pytest.mark.parametrize("loop", LOOPS)
def test_a_connection_with_an_unread_request_in_the_kernel_is_not_idle(loop):
    """Evicting idle connections must not reset those with an unread request."""

    async def play():
        callers = CallerConnections(evolve(SETTINGS, descriptors=220))
        edge = Edge(Answering(), callers)
        socks = [edge.connect() for _ in range(10)]
        for sock in socks:
            assert await edge.exchange(sock) == b"HTTP/1.1 200 OK"
        for sock in socks:
            sock.sendall(REQUEST)
        callers.close_idle()
        callers._evict_idle()
        answers = [await edge.receive(sock) for sock in socks]
        assert answers == [b"HTTP/1.1 200 OK"] * 10
        callers.close_idle()
        assert [await edge.receive(sock) for sock in socks] == ["closed"] * 10
        edge.close(*socks)

    with asyncio.Runner(loop_factory=loop) as runner:
        runner.run(play())


@pytest.mark.parametrize("loop", LOOPS)
def test_a_new_connection_is_given_time_for_its_first_request(loop):
    async def play():
        callers = CallerConnections(SETTINGS)
        edge = Edge(Answering(), callers)
        sock = edge.connect()
        await asyncio.sleep(0.05)
        callers.close_idle()
        await asyncio.sleep(0.05)
        assert await edge.exchange(sock) == b"HTTP/1.1 200 OK"
        edge.close(sock)

    with asyncio.Runner(loop_factory=loop) as runner:
        runner.run(play())


class DisconnectRecorder(Answering):
    """Records the callers that disconnect before their request was read."""

    def __init__(self):
        super().__init__()
        self.targets = []

    def record_disconnect(self, head):
        self.targets.append(head.target)


@pytest.mark.parametrize("loop", LOOPS)
def test_a_caller_that_half_closes_before_its_request_is_read_learns_that_it_was_not_run(loop):
    """Without a response, the caller could not tell that the request was not run."""

    async def play():
        service = DisconnectRecorder()
        edge = Edge(service)
        callers = [edge.connect() for _ in range(8)]
        for caller in callers:
            caller.sendall(REQUEST)
            caller.shutdown(socket.SHUT_WR)
        answers = [await edge.receive(caller) for caller in callers]
        assert answers == [b"HTTP/1.1 503 Service Unavailable"] * 8
        assert [await edge.receive(caller) for caller in callers] == ["closed"] * 8
        assert service.targets == ["/book"] * 8
        edge.close(*callers)

    with asyncio.Runner(loop_factory=loop) as runner:
        runner.run(play())
