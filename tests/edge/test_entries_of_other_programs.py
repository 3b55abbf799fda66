"""What routers do when another program writes entries that they cannot read."""

import asyncio
import json

import pytest
from edge_world import KEY, small_world

DEEP = b'{"unread":' + b"[" * 100_000 + b"]" * 100_000 + b"}"


def odd_entry(world):
    plain = {**world.runners[0].heartbeat(), "coldRemainingMs": "?"}
    return json.dumps(plain).replace('"?"', "9" * 400).encode()


async def answered(world, place, calls=12, key=KEY):
    return [(await world.call("/book/1", place=place, key=key)).status for _ in range(calls)]


@pytest.mark.parametrize("topic", ["keyed.servers", "keyed.routers", "keyed.crashes", "keyed.op"])
def test_routers_go_on_following_beside_odd_entries_and_new_ones_become_ready(topic):
    async def play():
        async with small_world(desks=1, routers=2) as world:
            for odd in (DEEP, odd_entry(world), b"\xff"):
                world.store.put(topic, "config" if topic == "keyed.op" else "odd", odd)
            await asyncio.sleep(0.3)
            added = await world.add_runner("desk-9", "desk")
            world.store.put("keyed.servers", "desk-0", None)
            await asyncio.sleep(0.5)
            for place in (0, 1):
                assert await answered(world, place) == [200] * 12
            assert len(added.runs) == 24
            world.configure(version=2, tenants=[{"name": "banksia", "apiKeys": ["new"]}])
            world.store.put(topic, "odd", DEEP)
            await world.add_router("router-late", zone="zone-b")
            for place in (0, 1, 2):
                assert await answered(world, place, key="new") == [200] * 12

    asyncio.run(play())


def test_a_live_server_under_whose_name_an_odd_entry_stands_is_back_with_its_next_heartbeat():
    async def play():
        async with small_world(desks=2, routers=1) as world:
            world.store.put("keyed.servers", "desk-0", odd_entry(world))
            await asyncio.sleep(0.2)
            assert await answered(world, 0) == [200] * 12
            assert len(world.runners[1].runs) == 12
            world.beat(world.runners[0])
            await asyncio.sleep(0.2)
            assert await answered(world, 0, 24) == [200] * 24
            assert world.runners[0].runs

    asyncio.run(play())
