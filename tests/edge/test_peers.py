"""Routers find each other and share their load."""

import asyncio

from edge_world import request_headers, small_world

from cicadaledge.edge import HttpConnection
from cicadaledge.membership import rank


def test_routers_of_all_zones_see_each_others_load():
    async def play():
        async with small_world(routers=0) as world:
            for name, zone in [
                ("a-1", "zone-a"),
                ("a-2", "zone-a"),
                ("b-1", "zone-b"),
                ("b-2", "zone-b"),
            ]:
                await world.add_router(name, zone)
            world.runners[0].gap_s = 3.0

            async def all_linked():
                return all(router.fleet_size() == 4 for router in world.routers)

            await world.until(all_linked)
            connections: list[HttpConnection] = []
            for place in range(4):
                connection = await world.connect(place)
                connection.send("POST", f"/book/{place}", request_headers(), b"{}")
                connections.append(connection)

            async def all_seen():
                return all(router.running_on("desk-0") == 4 for router in world.routers)

            await world.until(all_seen, within_s=2.0)
            for connection in connections:
                connection.abort()

            async def none_seen():
                return all(router.running_on("desk-0") == 0 for router in world.routers)

            await world.until(none_seen, within_s=2.0)

    asyncio.run(play())


def test_when_a_relay_leaves_another_takes_its_place():
    async def play():
        async with small_world(routers=0) as world:
            names = rank("relay/zone-a", ["a-1", "a-2", "a-3"])
            for name in names:
                await world.add_router(name)

            async def three():
                return all(router.fleet_size() == 3 for router in world.routers)

            await world.until(three)
            world.routers[0].stop()

            async def two():
                return all(router.fleet_size() == 2 for router in world.routers[1:])

            await world.until(two, within_s=6.0)

    asyncio.run(play())
