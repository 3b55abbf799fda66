"""Connections to servers that are opened while the event loop is late."""

import asyncio
import os
import socket
import time

import pytest
import uvloop

from cicadaledge.edge import HttpConnection
from cicadaledge.errors import BackendError

HOST = "127.0.0.1"
LOOPS = [uvloop.new_event_loop, asyncio.SelectorEventLoop]


def run_on(loop, play):
    with asyncio.Runner(loop_factory=loop) as runner:
        runner.run(play)


def listening(backlog):
    sock = socket.socket()
    sock.bind((HOST, 0))
    sock.listen(backlog)
    return sock


def descriptors():
    return len(os.listdir("/proc/self/fd"))


@pytest.mark.parametrize("turns", range(4))
@pytest.mark.parametrize("loop", LOOPS)
def test_a_connection_accepted_in_time_succeeds_although_the_loop_is_late(loop, turns):
    """Otherwise a router with a late loop refuses requests as if no server were reachable."""

    async def play():
        with listening(8) as server:
            port = server.getsockname()[1]
            opening = asyncio.create_task(HttpConnection.open(HOST, port, "server", 100.0))
            for _ in range(turns):
                await asyncio.sleep(0)
            time.sleep(0.2)
            connection = await opening
            connection.send("GET", "/", [(b"Host", b"x")], b"")
            accepted, _ = await asyncio.to_thread(server.accept)
            with accepted:
                assert (await asyncio.to_thread(accepted.recv, 100)).startswith(b"GET / ")
            connection.abort()

    run_on(loop, play())


@pytest.mark.parametrize("loop", LOOPS)
def test_connecting_to_a_server_that_does_not_accept_fails_and_closes_the_socket(loop):
    async def play():
        with listening(0) as server:
            address = server.getsockname()
            waiting = [socket.socket() for _ in range(4)]
            for one in waiting:
                one.setblocking(False)
                one.connect_ex(address)
            before = descriptors()
            with pytest.raises(BackendError, match="did not accept"):
                await HttpConnection.open(HOST, address[1], "server", 200.0)
            assert descriptors() == before
            for one in waiting:
                one.close()
        with pytest.raises(BackendError):
            await HttpConnection.open(HOST, address[1], "server", 200.0)
        assert descriptors() < before

    run_on(loop, play())
