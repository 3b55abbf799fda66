"""Rollouts in real routers: orders and status in the store, counts exchanged between routers."""

import asyncio
import contextlib

import pytest
from edge_world import FAST, World, evolve

from cicadaledge.rollouts import RolloutSettings
from cicadaledge.standins import BackendFaults

ROLLOUTS = RolloutSettings(is_enabled=True)
DURATION_S = 6.0
# Polls as often as in a deployment would take longer than the whole rollout of the test.
TIMING = evolve(FAST, server_poll_ms=40)


@contextlib.asynccontextmanager
async def rollout_world(routers=2):
    """Run routers with rollouts, and servers of version v1."""
    world = World()
    await world.store.start()
    try:
        world.configure()
        for number in range(2):
            await world.add_runner(f"desk-{number}", "desk")
        for number in range(routers):
            await world.add_router(f"router-{number}", timing=TIMING, rollouts=ROLLOUTS)
        yield world
    finally:
        await world.stop()


async def start_new_version(world, **faults):
    """Order version v2 and start its servers."""
    world.store.put_order("desk", "v2", DURATION_S)
    for number in range(2):
        runner = await world.add_runner(f"new-{number}", "desk", version="v2")
        runner.faults = BackendFaults(**faults)


async def send_requests(world, until, pause_s=0.01):
    """Send requests to all routers in turn until a condition holds; return their statuses."""
    statuses = []
    while not until():
        router = len(statuses) % len(world.routers)
        statuses.append((await world.call("/open/x", router=router, method="GET")).status)
        await asyncio.sleep(pause_s)
    return statuses


async def send_together(world, router=0, count=24):
    """Send requests at once, which spread over all servers that may get them."""
    for runner in world.runners:
        runner.gap_s = 0.1
    calls = [world.call("/open/x", router=router, method="GET") for _ in range(count)]
    await asyncio.gather(*calls)


def runs_of(world, version):
    return sum(len(runner.runs) for runner in world.runners if runner.version == version)


def states(world):
    return [status["state"] for status in world.store.rollout_statuses("desk")]


def test_a_good_version_gets_few_requests_first_and_all_once_it_is_known_to_be_good():
    async def play():
        async with rollout_world() as world:
            await send_requests(world, lambda: runs_of(world, "v1") >= 40)
            await start_new_version(world)
            async with asyncio.timeout(DURATION_S):
                statuses = await send_requests(world, lambda: "completed" in states(world))
            assert set(statuses) == {200}
            assert states(world) == ["running", "completed"]
            assert {status["to"] for status in world.store.rollout_statuses("desk")} == {"v2"}
            former_runs = runs_of(world, "v1")
            assert former_runs > 0.5 * len(statuses)
            await send_requests(world, lambda: runs_of(world, "v2") >= former_runs // 2 + 100)
            assert runs_of(world, "v1") == former_runs

    asyncio.run(play())


def test_a_version_that_fails_is_rolled_back_after_a_few_requests_and_gets_none_later():
    async def play():
        async with rollout_world() as world:
            await send_requests(world, lambda: runs_of(world, "v1") >= 40)
            await start_new_version(world, error=True)
            async with asyncio.timeout(DURATION_S):
                await send_requests(world, lambda: "rolled_back" in states(world))
            assert states(world)[-1] == "rolled_back"
            await asyncio.sleep(0.5)  # the routers read the status
            exposed = runs_of(world, "v2")
            assert exposed <= 50
            former_runs = runs_of(world, "v1")
            await send_requests(world, lambda: runs_of(world, "v1") >= former_runs + 100)
            assert runs_of(world, "v2") == exposed

    asyncio.run(play())


def test_a_restarted_router_follows_the_status_that_the_store_holds():
    # It has lost its counts and would otherwise start the rollout of a bad version again.
    async def play():
        async with rollout_world(routers=1) as world:
            await start_new_version(world)
            world.store.put("keyed.status", "rollout/desk", {"state": "rolled_back", "to": "v2"})
            await world.add_router("router-9", timing=TIMING, rollouts=ROLLOUTS)
            loop = asyncio.get_running_loop()
            until_s = loop.time() + DURATION_S / 2
            await send_requests(world, lambda: loop.time() > until_s)
            assert runs_of(world, "v2") == 0

    asyncio.run(play())


@pytest.mark.parametrize("is_enabled", [False, True])
def test_an_order_counts_only_where_the_settings_enable_rollouts(is_enabled):
    async def play():
        async with rollout_world(routers=0) as world:
            settings = RolloutSettings(is_enabled=is_enabled)
            await world.add_router("router-0", timing=TIMING, rollouts=settings)
            await start_new_version(world)
            await asyncio.sleep(0.4)
            await send_together(world)
            assert (runs_of(world, "v2") == 0) is is_enabled
            assert states(world) == (["running"] if is_enabled else [])

    asyncio.run(play())
