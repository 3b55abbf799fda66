"""How routers apply changes from the store, malformed entries and outages."""

import asyncio

from attrs import evolve
from edge_world import ENTRY, FAST, KEY, SETTINGS, configuration, small_world

from cicadaledge.edge import BoundSettings, ControlPlaneState
from cicadaledge.standins import platform_route
from cicadaledge.store import ServerChanged, ServerRemoved

LONG_OUTAGE_MS = SETTINGS.timing.lapse_outage_ms
OTHER = evolve(ENTRY, server="desk-1")

STRICT = BoundSettings(grace_ms=3_000, revoke_ms=900)
TIGHT = evolve(FAST, revoke_margin_ms=100)


def test_a_revoked_key_stops_working():
    async def scenario():
        async with small_world() as world:
            assert (await world.call("/book/1")).status == 200
            world.configure(version=2, tenants=[{"name": "banksia", "apiKeys": ["new"]}])
            await asyncio.sleep(0.3)
            assert (await world.call("/book/1", key=KEY)).status == 401
            assert (await world.call("/book/1", key="new")).status == 200

    asyncio.run(scenario())


def test_without_the_store_keys_are_refused_in_time_and_open_routes_still_work():
    async def scenario():
        async with small_world(timing=TIGHT, bounds=STRICT) as world:
            world.store.fault = "silent"
            for channel in world.store.channels:
                channel.abort()
            assert (await world.call("/book/1")).status == 200
            await asyncio.sleep(0.9)
            assert (await world.call("/book/1")).status == 503
            assert (await world.call("/nowhere/1")).status == 503
            assert (await world.call("/open/1", key=None)).status == 200
            assert not await world.is_ready()
            world.store.fault = ""
            await world.until(world.is_ready)
            assert (await world.call("/book/1")).status == 200

    asyncio.run(scenario())


def test_an_older_configuration_version_is_ignored():
    async def scenario():
        async with small_world() as world:
            moved = configuration(version=5)
            moved["routes"] = [platform_route("new", "desk", "unsafe")]
            world.store.put("keyed.op", "config", moved)
            await asyncio.sleep(0.3)
            world.configure(version=1)
            await asyncio.sleep(0.3)
            assert (await world.call("/new/1")).status == 200
            assert (await world.call("/book/1")).status == 404

    asyncio.run(scenario())


def test_a_draining_server_gets_no_requests_even_if_a_stale_heartbeat_arrives():
    async def scenario():
        async with small_world(desks=2) as world:
            first = world.runners[0]
            late = first.heartbeat()
            world.write_heartbeat(first, state="draining")
            world.store.put("keyed.servers", first.instance, late)
            await asyncio.sleep(0.3)
            for number in range(6):
                await world.call(f"/book/{number}")
            assert first.runs == []
            assert len(world.runners[1].runs) == 6

    asyncio.run(scenario())


def test_a_removed_server_gets_no_requests():
    async def scenario():
        async with small_world(desks=2) as world:
            world.store.put("keyed.servers", "desk-0", None)
            await asyncio.sleep(0.3)
            for number in range(6):
                await world.call(f"/book/{number}")
            assert world.runners[0].runs == []

    asyncio.run(scenario())


def test_a_stale_heartbeat_does_not_cancel_a_deferred_removal():
    """A stale heartbeat cancelled the removal, and requests went to the server until it ended."""
    state = ControlPlaneState(SETTINGS)
    state.apply(ServerChanged(ENTRY), 0.0)
    state.apply(ServerChanged(evolve(OTHER, sequence=9)), 0.0)
    state.on_store_recovered(LONG_OUTAGE_MS, 1_000.0)
    state.apply(ServerRemoved(ENTRY.server), 1_100.0)
    state.apply(ServerChanged(evolve(ENTRY, sequence=ENTRY.sequence - 1)), 1_200.0)
    state.apply_due_removals(1_000.0 + SETTINGS.timing.lapse_ms)
    assert [one.server for one in state.directory.usable("desk")] == [OTHER.server]


def test_an_evacuated_zone_gets_no_requests_until_it_is_restored():
    async def scenario():
        async with small_world() as world:
            await world.add_runner("desk-b", "desk", "zone-b")
            world.store.put("keyed.op", "evacuate/zone-a", {})
            await asyncio.sleep(0.3)
            for number in range(4):
                assert (await world.call(f"/book/{number}")).status == 200
            assert world.runners[0].runs == []
            world.store.put("keyed.op", "evacuate/zone-a", None)
            await asyncio.sleep(0.3)
            assert (await world.call("/book/5")).body == b"desk-0 /book/5"

    asyncio.run(scenario())


def test_malformed_server_entries_are_ignored():
    async def scenario():
        async with small_world() as world:
            entry = world.runners[0].heartbeat()
            for number, wrong in enumerate(
                [
                    b"\xff\xfe",
                    {**entry, "state": "resting"},
                    {**entry, "born": 1.5},
                    {key: value for key, value in entry.items() if key != "address"},
                    {**entry, "slots": "8"},
                    [],
                ]
            ):
                world.store.put("keyed.servers", f"foreign-{number}", wrong)
            await asyncio.sleep(0.3)
            for number in range(8):
                assert (await world.call(f"/book/{number}")).status == 200
            assert len(world.runners[0].runs) == 8

    asyncio.run(scenario())


def test_state_is_read_again_after_the_store_truncated_its_history():
    async def scenario():
        async with small_world() as world:
            world.store.put("keyed.servers", "desk-0", None)
            other = await world.add_runner("desk-9", "desk")
            world.configure(version=7, tenants=[{"name": "banksia", "apiKeys": ["new"]}])
            world.store.delete_history("keyed.servers")
            world.store.delete_history("keyed.op")
            await asyncio.sleep(0.5)
            assert (await world.call("/book/1", key="new")).status == 200
            assert (await world.call("/book/1")).status == 401
            assert len(other.runs) == 1

    asyncio.run(scenario())


def test_a_zone_restored_in_truncated_history_gets_requests_again():
    async def scenario():
        async with small_world() as world:
            world.store.put("keyed.op", "evacuate/zone-a", {})
            await asyncio.sleep(0.3)
            assert (await world.call("/book/1")).status == 503
            world.store.fault = "busy"
            await asyncio.sleep(0.3)
            world.store.put("keyed.op", "evacuate/zone-a", None)
            world.store.delete_history("keyed.op")
            world.store.fault = ""
            await asyncio.sleep(1.0)
            assert (await world.call("/book/2")).status == 200

    asyncio.run(scenario())


def test_a_waiting_request_follows_its_route_to_another_service():
    async def scenario():
        async with small_world(desks=0, pools=0) as world:
            other = await world.add_runner("till-0", "till")
            slow = platform_route("book", "desk", "unsafe", targetLatencyMs=9_000, timeoutMs=9_000)
            services = [*configuration()["services"], {"name": "till"}]
            world.configure(version=2, routes=[slow], services=services)
            await asyncio.sleep(0.3)
            waiting = asyncio.create_task(world.call("/book/1"))
            await asyncio.sleep(0.2)
            moved = {**slow, "service": "till"}
            world.configure(version=3, routes=[moved], services=services)
            assert (await waiting).body == b"till-0 /book/1"
            assert len(other.runs) == 1

    asyncio.run(scenario())


def test_requests_stay_in_the_regions_allowed_to_route_and_account():
    async def scenario():
        async with small_world() as world:
            south = await world.add_runner("desk-b", "desk", "zone-b")
            plain = configuration(version=2)
            plain["routes"][0] = platform_route("book", "desk", "unsafe", allowedRegions=["south"])
            world.store.put("keyed.op", "config", plain)
            await asyncio.sleep(0.3)
            for number in range(4):
                await world.call(f"/book/{number}")
            assert len(south.runs) == 4
            plain["version"] = 3
            plain["tenants"][0]["allowedRegions"] = ["north"]
            world.store.put("keyed.op", "config", plain)
            await asyncio.sleep(0.3)
            assert (await world.call("/book/9")).status == 503
            assert len(south.runs) == 4

    asyncio.run(scenario())


def test_a_router_without_configuration_refuses_requests_until_it_has_one():
    async def scenario():
        async with small_world() as world:
            world.store.fault = "busy"
            add = asyncio.create_task(world.add_router("late"))
            await asyncio.sleep(0.3)
            answer = await world.call("/book/1", router=1)
            assert answer.status == 503
            world.store.fault = ""
            await add
            assert (await world.call("/book/1", router=1)).status == 200

    asyncio.run(scenario())
