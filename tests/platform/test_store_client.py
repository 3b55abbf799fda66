"""Tests of the store client: its idle connections, and a loop that was blocked."""

import asyncio
import contextlib
import json
import socket
import threading
import time

import pytest
import uvloop

from cicadaledge.edge import ResponseHead
from cicadaledge.platform import StoreClient
from cicadaledge.standins import PlatformStore
from cicadaledge.store import NO_EPOCH, HistoryLostError, StoreError


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


CALLS = {
    "read": lambda client: client.read("keyed.op", 0, 0),
    "newest": lambda client: client.newest("keyed.op"),
    "append": lambda client: client.append("keyed.op", "key", b"{}"),
}


@pytest.mark.parametrize("fault", ["", "busy", "gone"])
@pytest.mark.parametrize("call", CALLS)
def test_every_answer_shows_the_epoch_of_the_store(call, fault):
    """A router learns of a restore from whatever call comes first, also from a refused one."""

    async def scenario():
        store = PlatformStore()
        store.era = 3
        await store.start()
        client = StoreClient("127.0.0.1", store.port)
        store.fault = "busy" if fault == "busy" else ""
        with contextlib.suppress(StoreError):
            await (client.read("keyed.op", 9, 0) if fault == "gone" else CALLS[call](client))
        assert client.epoch.current == 3
        await store.stop()

    asyncio.run(scenario())


def test_an_offset_that_a_restored_store_does_not_have_is_lost_history():
    async def scenario():
        store = PlatformStore()
        store.era = 1
        await store.start()
        client = StoreClient("127.0.0.1", store.port)
        contents = store.copy()
        await client.append("keyed.op", "key", b"{}")
        assert (await client.read("keyed.op", 1, 0)).epoch == 1
        store.restore(contents)
        with pytest.raises(HistoryLostError):
            await client.read("keyed.op", 1, 0)
        assert client.epoch.current == 2
        await store.stop()

    asyncio.run(scenario())


@pytest.mark.parametrize(
    ("values", "epoch"),
    [
        ([], NO_EPOCH),
        ([b"7"], 7),
        ([b"7", b"7"], 7),
        ([b"7", b"8"], NO_EPOCH),
        ([b"-7"], NO_EPOCH),
        ([b"seven"], NO_EPOCH),
        ([b"9" * 40], NO_EPOCH),
        ([b"\xb2"], NO_EPOCH),
    ],
)
def test_an_invalid_epoch_is_ignored(values, epoch):
    """An epoch that does not fit into a message would end the relaying of pages."""
    client = StoreClient("127.0.0.1", 1)
    head = ResponseHead(200, [(b"Store-Era", value) for value in values])
    assert client._read_epoch(head) == epoch


def test_pages_of_a_complete_read_from_two_epochs_are_not_combined():
    """The first page had keys of the copy and the next ones those written again, or none."""

    async def scenario():
        client = StoreClient("127.0.0.1", 1)
        item = {"key": "a", "value": "", "offset": 1}
        pages = iter([({"items": [item], "hasMore": True, "endOffset": 2}, 1), (None, 2)])

        async def request(*args):
            page, epoch = next(pages)
            return json.dumps(page).encode(), epoch

        client._request = request
        with pytest.raises(HistoryLostError):
            await client.newest("keyed.op")

    asyncio.run(scenario())
