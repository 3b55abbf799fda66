"""Reuse of server connections must consider received data that is not read yet."""

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
ANSWER_WITH_TIMEOUT = ANSWER.replace(b"\r\n\r\n", b"\r\nKeep-Alive: timeout=10\r\n\r\n")


class ThreadedServer:
    """A backend server that runs in threads; the test has access to its sockets."""

    def __init__(self, answer=ANSWER):
        self.socks = []
        self._response = answer
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
                sock.sendall(self._response)
        except OSError:
            pass

    def close(self):
        self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()
        for sock in self.socks:
            sock.close()


async def exchange(pool, entry):
    """Return the response to a request that is not idempotent."""
    connection = await pool.acquire(entry, repeatable=False)
    return await exchange_on(pool, entry, connection)


async def exchange_on(pool, entry, connection):
    connection.send("POST", "/book/1", [(b"Host", b"x")], b"{}")
    await connection.read_head()
    body = await connection.read_body(100)
    pool.release(entry, connection)
    return body


@pytest.mark.parametrize("run", RUNNERS)
@pytest.mark.parametrize("fault", ["close", "stray bytes"])
def test_a_connection_closed_by_its_server_while_the_loop_was_busy_is_not_reused(run, fault):
    """A request sent on it would be lost and, not being idempotent, could not be retried."""

    async def play():
        server = ThreadedServer()
        entry = evolve(ENTRY, host=HOST, port=server.port)
        pool = ServerPool(SETTINGS)
        assert await exchange(pool, entry) == b"done"
        if fault == "close":
            server.socks[0].shutdown(socket.SHUT_RDWR)
        else:
            server.socks[0].sendall(b"HTTP/1.1 408 Late\r\nContent-Length: 0\r\n\r\n")
        time.sleep(0.05)
        assert await exchange(pool, entry) == b"done"
        assert len(server.socks) == 2
        server.close()

    run(play())


@pytest.mark.parametrize("run", RUNNERS)
def test_a_healthy_connection_is_reused(run):
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


def test_requests_that_can_be_repeated_leave_the_newest_connection_to_others():
    """Others may not use one that was idle for long, and each opened a new one."""

    async def play():
        server = ThreadedServer()
        entry = evolve(ENTRY, host=HOST, port=server.port)
        pool = ServerPool(SETTINGS)
        older, newer = [await pool.acquire(entry, repeatable=True) for _ in range(2)]
        for connection in (older, newer):
            await exchange_on(pool, entry, connection)
        older.last_used_ms -= 1_000.0
        assert await pool.acquire(entry, repeatable=True) is older
        assert await pool.acquire(entry, repeatable=False) is newer
        await exchange_on(pool, entry, older)
        older.last_used_ms -= 1_000.0
        assert await pool.acquire(entry, repeatable=False) not in (older, newer)
        assert await pool.acquire(entry, repeatable=True) is older
        server.close()

    asyncio.run(play())


@pytest.mark.parametrize("repeatable", [True, False])
def test_a_request_sent_again_takes_a_new_connection_in_place_of_one_it_was_sent_on(repeatable):
    """Servers reset connections beyond a limit, so refusals must not add connections."""

    async def play():
        server = ThreadedServer()
        entry = evolve(ENTRY, host=HOST, port=server.port)
        pool = ServerPool(SETTINGS)
        connections = [await pool.acquire(entry, repeatable=True) for _ in range(2)]
        for connection in connections:
            await exchange_on(pool, entry, connection)
        used = {connections[0].number}
        other = await pool.acquire(entry, repeatable=repeatable, excluded=used)
        assert other is connections[1]
        await exchange_on(pool, entry, other)
        for _ in range(3):
            used.add(other.number)
            other = await pool.acquire(entry, repeatable=repeatable, excluded=used)
            assert other.number not in used
            assert len(pool) == 2
            await exchange_on(pool, entry, other)
        server.close()

    asyncio.run(play())


@pytest.mark.parametrize(("answer", "kept"), [(ANSWER, 0), (ANSWER_WITH_TIMEOUT, 1)])
def test_the_newest_connection_is_kept_for_as_long_as_its_server_states(answer, kept):
    """In a large fleet, a router sends a server a request every few seconds."""

    async def play():
        server = ThreadedServer(answer)
        entry = evolve(ENTRY, host=HOST, port=server.port)
        pool = ServerPool(SETTINGS)
        connections = [await pool.acquire(entry, repeatable=True) for _ in range(3)]
        for connection in connections:
            await exchange_on(pool, entry, connection)
            connection.last_used_ms -= 6_000.0
        pool.close_idle()
        assert len(pool) == kept
        connections[-1].last_used_ms -= 4_000.0
        pool.close_idle()
        assert len(pool) == 0
        server.close()

    asyncio.run(play())


@pytest.mark.parametrize("run", RUNNERS)
def test_idle_connections_are_closed_before_the_pool_is_exhausted(run):
    async def play():
        servers = [ThreadedServer() for _ in "abc"]
        entries = [
            evolve(ENTRY, server=f"desk-{place}", host=HOST, port=server.port)
            for place, server in enumerate(servers)
        ]
        # With this limit on descriptors, the pool may open two connections.
        pool = ServerPool(evolve(SETTINGS, descriptors=206))
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
def test_a_server_that_accepted_while_the_loop_was_busy_counts_as_reached(run):
    """Otherwise a healthy server would be declared unreachable."""

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
def test_connecting_to_a_server_that_does_not_accept_times_out(run):
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
