"""Routers discover each other, choose relays and exchange load views."""

import asyncio
import os
import time

from edge_world import FAST, evolve, request_headers, small_world

from cicadaledge.edge import HttpConnection, clock_ms
from cicadaledge.membership import rank
from cicadaledge.standins import platform_route
from cicadaledge.wire import LoadView, ViewScope
from cicadaledge.wire._codec import encode_message

CHECK_INTERVAL_S = 0.02
LINK_CHECKS = 250  # the checks take five seconds, or longer if the event loop is late
VIEW_CHECKS = 100
REQUEST_S = 60


async def wait_until(condition, checks=VIEW_CHECKS):
    """Wait for a condition; the number of checks is limited, not the time, as machines may be slow."""
    for _ in range(checks):
        if condition():
            return
        await asyncio.sleep(CHECK_INTERVAL_S)
    raise AssertionError("the condition did not come true in time")


def linked(router):
    return set(router._peers.links.peers())


def test_routers_of_all_zones_see_each_others_load():
    async def scenario():
        async with small_world(routers=0) as world:
            zones = {"a-1": "zone-a", "a-2": "zone-a", "b-1": "zone-b", "b-2": "zone-b"}
            route = platform_route("book", "desk", "unsafe", timeoutMs=REQUEST_S * 1000)
            world.configure(routes=[route])
            world.runners[0].gap_s = REQUEST_S
            for name, zone in zones.items():
                await world.add_router(name, zone)
            routers = dict(zip(zones, world.routers, strict=True))
            others = {name: zones.keys() - {name} for name in zones}
            await wait_until(
                lambda: all(
                    linked(routers[name]) == others[name] and routers[name].fleet_size() == 4
                    for name in zones
                ),
                LINK_CHECKS,
            )
            connections: list[HttpConnection] = []
            # Uneven, so that no router gets the sum by extrapolating its own load.
            for index in (0, 0, 1, 2):
                connection = await world.connect(index)
                headers = request_headers(Deadline_Ms=str(REQUEST_S * 1000))
                connection.send("POST", f"/book/{index}", headers, b"{}")
                connections.append(connection)
            await wait_until(
                lambda: all(router.running_on("desk-0") == 4 for router in world.routers)
            )
            for connection in connections:
                connection.abort()
            await wait_until(
                lambda: all(router.running_on("desk-0") == 0 for router in world.routers)
            )

    asyncio.run(scenario())


def test_another_relay_is_chosen_when_one_shuts_down():
    async def scenario():
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

    asyncio.run(scenario())


def test_a_router_whose_event_loop_was_blocked_does_not_consider_its_peers_silent():
    """After a blocked event loop, a router dropped all links and made itself the relay."""

    async def scenario():
        names = rank("relay/zone-a", ["a-1", "a-2"])
        timing = evolve(FAST, peer_silence_ms=900, relay_silence_ms=600, idle_view_ms=100)
        async with small_world(routers=0) as world:
            for name in names:
                await world.add_router(name, timing=timing)

            async def linked():
                return all(router.fleet_size() == 2 for router in world.routers)

            await world.until(linked)
            await asyncio.sleep(0.3)
            busy = world.routers[1]._peers
            assert busy._relays["zone-a"] == names[0]
            dropped = []
            busy.links.drop = dropped.append
            roles = []
            busy.store_relay.set_role = lambda peers, *, is_relay, is_candidate: roles.append(
                is_relay
            )
            choose_relays = busy._choose_relays

            def choose_late():
                for _ in range(12):
                    time.sleep(0.1)
                    send_heartbeat(world.routers[0], names[1])
                    send_heartbeat(world.routers[1], names[0])
                busy._choose_relays = choose_relays
                choose_relays()

            for _ in range(2):
                busy._choose_relays = choose_late
                await asyncio.sleep(0.3)
            assert dropped == []
            assert roles
            assert True not in roles

    asyncio.run(scenario())


def send_heartbeat(router, peer):
    """Send a heartbeat to a peer without the event loop, as another process would."""
    link = router._peers.links._links[peer]
    view = LoadView(int(clock_ms()), int(ViewScope.NOBODY), 0, False, [], [])
    frame = encode_message(view, link.sent_names)
    sock = link.writer.get_extra_info("socket")
    os.write(sock.fileno(), len(frame).to_bytes(4, "big") + frame)
