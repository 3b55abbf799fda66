"""How routers handle unreadable entries that another program has written to the store."""

import asyncio
import json

import pytest
from edge_world import KEY, small_world

DEEP = b'{"unread":' + b"[" * 100_000 + b"]" * 100_000 + b"}"


def unreadable_entry(world):
    plain = {**world.runners[0].heartbeat(), "coldRemainingMs": "?"}
    return json.dumps(plain).replace('"?"', "9" * 400).encode()


async def call_statuses(world, router, calls=12, key=KEY):
    return [(await world.call("/book/1", router=router, key=key)).status for _ in range(calls)]


@pytest.mark.parametrize("topic", ["keyed.servers", "keyed.routers", "keyed.crashes", "keyed.op"])
def test_unreadable_entries_do_not_stop_routers_from_reading_or_becoming_ready(topic):
    async def scenario():
        async with small_world(desks=1, routers=2) as world:
            for unreadable in (DEEP, unreadable_entry(world), b"\xff"):
                world.store.put(topic, "config" if topic == "keyed.op" else "odd", unreadable)
            await asyncio.sleep(0.3)
            added = await world.add_runner("desk-9", "desk")
            world.store.put("keyed.servers", "desk-0", None)
            await asyncio.sleep(0.5)
            for index in (0, 1):
                assert await call_statuses(world, index) == [200] * 12
            assert len(added.runs) == 24
            world.configure(version=2, tenants=[{"name": "banksia", "apiKeys": ["new"]}])
            world.store.put(topic, "odd", DEEP)
            await world.add_router("router-late", zone="zone-b")
            for index in (0, 1, 2):
                assert await call_statuses(world, index, key="new") == [200] * 12

    asyncio.run(scenario())


def test_a_server_with_an_unreadable_entry_is_used_again_after_its_next_heartbeat():
    async def scenario():
        async with small_world(desks=2, routers=1) as world:
            world.store.put("keyed.servers", "desk-0", unreadable_entry(world))
            await asyncio.sleep(0.2)
            assert await call_statuses(world, 0) == [200] * 12
            assert len(world.runners[1].runs) == 12
            world.write_heartbeat(world.runners[0])
            await asyncio.sleep(0.2)
            assert await call_statuses(world, 0, 24) == [200] * 24
            assert world.runners[0].runs

    asyncio.run(scenario())
