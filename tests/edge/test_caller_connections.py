"""More callers than the descriptor limit of a router allows."""

import asyncio
import contextlib

from edge_world import request_headers, small_world

from cicadaledge.edge import HttpConnection
from cicadaledge.errors import BackendError
from cicadaledge.standins import BackendFaults

# With this limit on descriptors, a router accepts up to 36 callers. From 19 on, it closes the
# connection of a caller whose request it refuses.
FEW = 260


async def ask(connection: HttpConnection, target: str) -> int:
    connection.send("POST", target, request_headers(), b"{}")
    head = await connection.read_head()
    await connection.read_body(65_536)
    connection.finish_exchange()
    return head.status


def test_the_longest_idle_callers_are_closed_for_new_ones():
    async def play():
        async with small_world(descriptors=FEW) as world:
            connections = [await world.connect() for _ in range(30)]
            for connection in connections:
                assert await ask(connection, "/book/1") == 200
            later = [await world.connect() for _ in range(12)]
            for connection in later:
                assert await ask(connection, "/book/2") == 200
            await asyncio.sleep(0.1)
            lost = [connection.channel.is_lost for connection in connections]
            assert 6 <= sum(lost) <= 12
            assert lost == sorted(lost, reverse=True)
            assert not any(connection.channel.is_lost for connection in later)

    asyncio.run(play())


def test_callers_that_become_idle_are_closed_when_none_was_idle_before():
    async def play():
        async with small_world(descriptors=FEW) as world:
            world.runners[0].gap_s = 0.4
            working = [await world.connect() for _ in range(36)]
            asked = [asyncio.create_task(ask(connection, "/book/1")) for connection in working]
            await asyncio.sleep(0.2)
            with contextlib.suppress(BackendError):
                # Closed without an answer if its request came after it was turned away.
                assert await ask(await world.connect(), "/book/2") == 503
            assert "/book/2" not in {run.target for run in world.runners[0].runs}
            await asyncio.gather(*asked)
            await asyncio.sleep(0.2)

            async def is_accepted():
                try:
                    return await ask(await world.connect(), "/book/3") == 200
                except BackendError:
                    return False

            await world.until(is_accepted)

    asyncio.run(play())


def test_the_connection_of_a_refused_caller_is_closed_when_there_are_many_callers():
    async def play():
        async with small_world(descriptors=FEW) as world:
            world.runners[0].faults = BackendFaults(full=True)
            first = await world.connect()
            assert await ask(first, "/book/1") == 503
            assert first.is_usable(1_000)
            others = [await world.connect() for _ in range(25)]
            await asyncio.sleep(0.1)
            assert await ask(first, "/book/1") == 503
            await asyncio.sleep(0.1)
            assert first.channel.is_lost
            for other in others:
                other.abort()

    asyncio.run(play())


def test_a_caller_that_waits_for_its_response_is_not_disconnected():
    async def play():
        async with small_world(descriptors=FEW) as world:
            world.runners[0].gap_s = 0.6
            waiting = asyncio.create_task(world.call("/book/1"))
            await asyncio.sleep(0.1)
            others = [await world.connect() for _ in range(50)]
            assert (await waiting).status == 200
            for other in others:
                other.abort()

    asyncio.run(play())
