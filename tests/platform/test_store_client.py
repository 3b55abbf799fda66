"""The client of the store gives up connections that may be silent."""

import asyncio

import pytest

from cicadaledge.edge import StoreError
from cicadaledge.platform import StoreClient
from cicadaledge.standins import PlatformStore


def test_a_call_without_an_answer_drops_all_idle_connections():
    """Each of the silent ones cost another time-out after the store was back."""

    async def play():
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

    asyncio.run(play())
