"""Callers whose requests no server can take at once: how long they wait, and who is next."""

import asyncio
import time

import pytest
from edge_world import configuration, small_world

from cicadaledge.edge import BoundSettings, clock_ms
from cicadaledge.errors import BackendError
from cicadaledge.standins import BackendFaults

OBJECTIVES_MS = pytest.mark.parametrize("objective_ms", [100, 500, 1_900])


async def configure(world, objective_ms, **changes):
    """Give the routes of the plain service an objective; callers have two seconds in any case."""
    routes = configuration()["routes"]
    for route in routes:
        route["targetLatencyMs"] = objective_ms
        route.update(changes)
    world.configure(version=2, routes=routes)
    await asyncio.sleep(0.3)


async def timed_call(world, target, **how):
    """Return the status of an answer, or None if there is none, and the time that it took."""
    begin_s = time.monotonic()
    try:
        answer = await world.call(target, **how)
    except BackendError:
        return None, time.monotonic() - begin_s
    return answer.status, time.monotonic() - begin_s


@OBJECTIVES_MS
def test_a_stopping_router_serves_what_it_can_answer_in_its_grace_period(objective_ms):
    """The objective was taken for the work: with 2.9 s of 3 s every request was refused."""

    async def play():
        async with small_world(pools=0) as world:
            await configure(world, objective_ms * 1.5)
            world.routers[0].stop()
            await asyncio.sleep(0.02)
            assert (await world.call("/book/1")).status == 200

    asyncio.run(play())


def test_a_stopping_router_refuses_work_that_takes_longer_than_its_grace_period():
    """Any other router can do it; here it would be broken off."""

    async def play():
        bounds = BoundSettings(grace_ms=1_500)
        async with small_world(pools=0, bounds=bounds) as world:
            await configure(world, 100)
            world.runners[0].gap_s = 1.4
            answers = await asyncio.gather(*(world.call(f"/book/{n}") for n in range(4)))
            assert {one.status for one in answers} == {200}
            world.routers[0].stop()
            await asyncio.sleep(0.02)
            status, took_s = await timed_call(world, "/book/9")
            assert status == 503
            assert took_s < 0.2
            assert "/book/9" not in {run.target for run in world.runners[0].runs}

    asyncio.run(play())


@OBJECTIVES_MS
def test_a_repeat_waits_for_a_pause_to_end_as_a_first_try_does(objective_ms):
    """Its wait counted from the arrival of the request, so that it was given up at once."""

    async def play():
        async with small_world(desks=2, pools=0) as world:
            await configure(world, objective_ms, maxAttempts=2)
            for server in world.runners:
                server.gap_s = 0.5
                server.faults = BackendFaults(reset=True)
            request = asyncio.create_task(timed_call(world, "/look/1"))
            await asyncio.sleep(0.3)
            (other,) = [server for server in world.runners if not server.runs]
            entries = world.routers[0]._control_state.directory.usable_by_name("desk")
            until_ms = clock_ms() + 400.0
            world.routers[0]._control_state.directory.mark_paused(entries[other.instance], until_ms)
            other.gap_s = 0.0
            other.faults = BackendFaults()
            status, took_s = await request
            assert status == 200
            assert 0.6 < took_s < 1.2

    asyncio.run(play())
