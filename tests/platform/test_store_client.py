"""Tests of the store client: its idle connections, and a loop that was blocked."""

import asyncio
import contextlib
import socket
import threading
import time

import pytest
import uvloop

from cicadaledge.edge import StoreError
from cicadaledge.platform import StoreClient
from cicadaledge.standins import PlatformStore


def test_a_call_without_an_answer_drops_all_idle_connections():
    """Otherwise each idle connection costs another timeout after the store has recovered."""

    async def scenario():
        store = PlatformStore()
        await store.start()
        client = StoreClient("127.0.0.1", store.port)
        reads = [client.read("keyed.op", 0, 50) for _ in range(3)]
        await asyncio.gather(*reads)
        assert len(client._idle) == 3
        store.fault = "silent"
        with pytest.raises(StoreError):
            await client.read("keyed.op", 0, 0)
        assert client._idle == []
        await store.stop()

    asyncio.run(scenario())


class ThreadedStore:
    """Server on threads, independent of the event loop.

    With *closes* it closes each connection shortly after the first answer.
    """

    def __init__(self, *, closes=False):
        self._closes = closes
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.port = self._listener.getsockname()[1]
        self.accepted = 0
        threading.Thread(target=self._run, daemon=True).start()

    def _run(self):
        try:
            while True:
                sock, _ = self._listener.accept()
                self.accepted += 1
                threading.Thread(target=self._answer, args=(sock,), daemon=True).start()
        except OSError:
            pass

    def _answer(self, sock):
        with sock, contextlib.suppress(OSError):
            while sock.recv(65_536):
                sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 16\r\n\r\n" + bytes(16))
                if self._closes:
                    time.sleep(0.05)
                    return

    def close(self):
        self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()


@pytest.mark.parametrize("run", [uvloop.run, asyncio.run])
def test_a_connection_that_the_store_closed_while_the_loop_was_blocked_is_not_used(run):
    """Otherwise the call fails and the store counts as unreachable."""

    async def scenario():
        store = ThreadedStore(closes=True)
        client = StoreClient("127.0.0.1", store.port)
        await client.read("keyed.op", 0, 0)
        time.sleep(0.2)
        await client.read("keyed.op", 0, 0)
        assert store.accepted == 2
        store.close()

    run(scenario())


@pytest.mark.parametrize("run", [uvloop.run, asyncio.run])
def test_an_answer_that_came_while_the_loop_was_blocked_is_read(run):
    """Otherwise the call times out and the store counts as unreachable."""

    async def scenario():
        store = ThreadedStore()
        client = StoreClient("127.0.0.1", store.port)
        await client.read("keyed.op", 0, 0)
        loop = asyncio.get_running_loop()
        reading = loop.create_task(client.read("keyed.op", 0, 0))
        loop.call_soon(time.sleep, 1.2)
        assert (await reading).records == []
        store.close()

    run(scenario())
