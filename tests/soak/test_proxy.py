"""The fault proxy delays, blocks, stalls and resets connections."""

import asyncio
import contextlib
import time

import pytest

from cicadaledge.settings import Address
from cicadaledge.soak import FaultProxy


@contextlib.asynccontextmanager
async def echo_behind_proxy():
    async def echo(reader, writer):
        while data := await reader.read(1000):
            writer.write(data)
        writer.close()

    server = await asyncio.start_server(echo, "127.0.0.1", 0)
    proxy = FaultProxy(Address("127.0.0.1", server.sockets[0].getsockname()[1]))
    await proxy.start()
    try:
        yield proxy, await asyncio.open_connection("127.0.0.1", proxy.port)
    finally:
        await proxy.stop()
        server.close()


async def ask(streams, data):
    streams[1].write(data)
    return await asyncio.wait_for(streams[0].read(1000), 0.5)


def test_bytes_pass_and_are_delayed():
    async def play():
        async with echo_behind_proxy() as (proxy, streams):
            assert await ask(streams, b"one") == b"one"
            proxy.delay_ms = 60.0
            begin_s = time.monotonic()
            assert await ask(streams, b"two") == b"two"
            assert time.monotonic() - begin_s >= 0.12

    asyncio.run(play())


@pytest.mark.parametrize("way", ["to_target", "to_client"])
def test_a_closed_direction_blocks_bytes_until_it_opens(way):
    async def play():
        async with echo_behind_proxy() as (proxy, streams):
            closed = getattr(proxy, way)
            closed.is_open.clear()
            with pytest.raises(TimeoutError):
                await ask(streams, b"held")
            closed.is_open.set()
            assert await asyncio.wait_for(streams[0].read(1000), 0.5) == b"held"

    asyncio.run(play())


def test_silence_stalls_open_connections_only():
    async def play():
        async with echo_behind_proxy() as (proxy, streams):
            assert await ask(streams, b"one") == b"one"
            proxy.silence()
            with pytest.raises(TimeoutError):
                await ask(streams, b"two")
            again = await asyncio.open_connection("127.0.0.1", proxy.port)
            assert await ask(again, b"three") == b"three"

    asyncio.run(play())


def test_a_reset_reaches_the_caller():
    async def play():
        async with echo_behind_proxy() as (proxy, streams):
            assert await ask(streams, b"one") == b"one"
            proxy.reset()
            with pytest.raises(ConnectionResetError):
                await streams[0].read(10)

    asyncio.run(play())
