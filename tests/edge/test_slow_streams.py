"""Slow streams, and stalled streams that still send single bytes."""

import asyncio

import pytest
from edge_world import configuration, small_world

from cicadaledge.standins import platform_route

MODEL = {"model": True}
TIMEOUT_MS = 900
PATHS = ["/draft/1", "/chat/1"]


async def set_timeout(world, timeout_ms):
    """Configure the timeout of the routes of streams."""
    plain = configuration(version=2)
    routes = {"draft": {}, "chat": {"maxAttempts": 2, "streamResume": True}}
    for name, how in routes.items():
        plain["routes"].append(
            platform_route(name, "pool", "streaming", timeoutMs=timeout_ms, **how)
        )
        plain["routes"] = [
            one
            for place, one in enumerate(plain["routes"])
            if one["pathPrefix"] != f"/{name}/" or place == len(plain["routes"]) - 1
        ]
    world.store.put("keyed.op", "config", plain)
    await asyncio.sleep(0.4)


@pytest.mark.parametrize("path", PATHS)
def test_a_slow_stream_is_relayed_to_its_end(path):
    async def play():
        async with small_world() as world:
            await set_timeout(world, 20_000)
            world.runners[1].gap_s = 0.8
            answer = await world.call(path, headers={"Deadline-Ms": "20000"}, **MODEL)
            assert (answer.status, answer.complete) == (200, True)
            assert answer.body == world.runners[1].runs[0].answer

    asyncio.run(play())


@pytest.mark.parametrize("path", PATHS)
def test_a_stalled_stream_that_sends_single_bytes_ends_at_the_timeout_of_its_route(path):
    async def play():
        async with small_world() as world:
            await set_timeout(world, TIMEOUT_MS)
            runner = world.runners[1]
            runner.gap_s, runner.events = 0.05, 1_000
            runner.event = lambda run, number: b"d"
            loop = asyncio.get_running_loop()
            started_s = loop.time()
            answer = await world.call(path, **MODEL)
            assert TIMEOUT_MS / 1000 - 0.05 < loop.time() - started_s < TIMEOUT_MS / 1000 + 0.5
            assert answer.status != 200 or not answer.complete
            await asyncio.sleep(0.1)
            assert runner.runs[0].cancelled

    asyncio.run(play())
