"""Connections to backend servers, judged by what has arrived and not by what was read."""

import asyncio
import socket
import threading
import time

import pytest
import uvloop
from edge_world import ENTRY, SETTINGS, evolve

from cicadaledge.edge import HttpConnection
from cicadaledge.edge._server_pool import PoolExhaustedError, ServerPool
from cicadaledge.errors import BackendError

HOST = "127.0.0.1"
RUNNERS = [uvloop.run, asyncio.run]
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone"


class ThreadedServer:
    """A backend server that runs beside the loop; its connections are handed to the test."""

    def __init__(self):
        self.socks = []
        self._listener = socket.create_server((HOST, 0))
        self.port = self._listener.getsockname()[1]
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def _run(self):
        try:
            while True:
                sock, _ = self._listener.accept()
                self.socks.append(sock)
                threading.Thread(target=self._answer, args=(sock,), daemon=True).start()
        except OSError:
            pass

    def _answer(self, sock):
        try:
            while sock.recv(65_536):
                sock.sendall(ANSWER)
        except OSError:
            pass

    def close(self):
        self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()
        for sock in self.socks:
            sock.close()


async def exchange(pool, entry):
    """Return the answer to a request that cannot be repeated."""
    connection = await pool.acquire(entry, repeatable=False)
    connection.send("POST", "/book/1", [(b"Host", b"x")], b"{}")
    await connection.read_head()
    body = await connection.read_body(100)
    pool.release(entry, connection)
    return body


@pytest.mark.parametrize("run", RUNNERS)
@pytest.mark.parametrize("what", ["close", "stray bytes"])
def test_a_connection_that_a_server_ended_while_the_loop_was_busy_gets_no_request(run, what):
    """An unsafe request that was sent there was lost."""

    async def play():
        server = ThreadedServer()
        entry = evolve(ENTRY, host=HOST, port=server.port)
        pool = ServerPool(SETTINGS)
        assert await exchange(pool, entry) == b"done"
        if what == "close":
            server.socks[0].shutdown(socket.SHUT_RDWR)
        else:
            server.socks[0].sendall(b"HTTP/1.1 408 Late\r\nContent-Length: 0\r\n\r\n")
        time.sleep(0.05)
        assert await exchange(pool, entry) == b"done"
        assert len(server.socks) == 2
        server.close()

    run(play())


@pytest.mark.parametrize("run", RUNNERS)
def test_a_sound_connection_is_used_again(run):
    async def play():
        server = ThreadedServer()
        entry = evolve(ENTRY, host=HOST, port=server.port)
        pool = ServerPool(SETTINGS)
        for _ in range(3):
            assert await exchange(pool, entry) == b"done"
            time.sleep(0.05)
        assert len(server.socks) == 1
        server.close()

    run(play())


@pytest.mark.parametrize("run", RUNNERS)
def test_idle_connections_make_room_before_none_is_left(run):
    async def play():
        servers = [ThreadedServer() for _ in "abc"]
        entries = [
            evolve(ENTRY, server=f"desk-{place}", host=HOST, port=server.port)
            for place, server in enumerate(servers)
        ]
        pool = ServerPool(evolve(SETTINGS, descriptors=206))  # two connections
        for entry in entries[:2]:
            assert await exchange(pool, entry) == b"done"
        used = [await pool.acquire(entry, repeatable=True) for entry in entries[1:]]
        assert len(servers[1].socks) == 1
        with pytest.raises(PoolExhaustedError):
            await pool.acquire(entries[0], repeatable=True)
        used[0].abort()
        await asyncio.sleep(0.05)
        assert await exchange(pool, entries[0]) == b"done"
        used[1].abort()
        for server in servers:
            server.close()

    run(play())


@pytest.mark.parametrize("run", RUNNERS)
def test_a_server_that_accepted_while_the_loop_was_busy_is_reached(run):
    """A good server was declared not reached."""

    async def play():
        server = ThreadedServer()
        loop = asyncio.get_running_loop()
        opening = loop.create_task(HttpConnection.open(HOST, server.port, "desk-0", 100))
        loop.call_soon(loop.call_soon, time.sleep, 0.3)
        connection = await opening
        assert not connection.channel.is_lost
        connection.abort()
        server.close()

    run(play())


@pytest.mark.parametrize("run", RUNNERS)
def test_a_server_that_accepts_nothing_is_not_waited_for(run):
    async def play():
        full = socket.socket()
        full.bind((HOST, 0))
        full.listen(0)
        fillers = []
        for _ in range(4):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(full.getsockname())
            fillers.append(filler)
        started = time.monotonic()
        with pytest.raises(BackendError):
            await HttpConnection.open(HOST, full.getsockname()[1], "desk-0", 200)
        assert 0.15 < time.monotonic() - started < 1.0
        for sock in (full, *fillers):
            sock.close()

    run(play())
