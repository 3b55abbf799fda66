"""Servers that announce a shutdown or ask for a pause in their responses."""

import asyncio
import time

import pytest
from attrs import evolve
from edge_world import ENTRY, configuration, small_world

from cicadaledge.routing import ServerDirectory
from cicadaledge.standins import BackendFaults, platform_route

MODEL = {"model": True}


async def call_often(world, count=8, target="/look/1", **how):
    answers = await asyncio.gather(*(world.call(target, **how) for _ in range(count)))
    return {answer.status for answer in answers}


async def call_until_handled(world, runner, target="/look/1", **how):
    """Send requests until a server has answered or refused one."""
    seen = len(runner.runs) + runner.refused
    for _ in range(20):
        await world.call(target, **how)
        if len(runner.runs) + runner.refused > seen:
            return
    raise AssertionError("the server was not asked")


@pytest.mark.parametrize("how", [{}, {"error": True}], ids=["an answer", "a failure"])
def test_a_server_that_announces_its_shutdown_gets_no_more_requests(how):
    async def play():
        async with small_world(desks=2) as world:
            leaving, other = world.runners[:2]
            leaving.faults = BackendFaults(leaving=True, **how)
            await call_until_handled(world, leaving)
            runs = len(leaving.runs)
            for _ in range(3):
                world.write_heartbeat(leaving)
                await asyncio.sleep(0.08)
                assert await call_often(world) == {200}
            world.cut_from_store(0)
            assert await call_often(world) == {200}
            assert len(leaving.runs) == runs
            assert len(other.runs) >= 32

    asyncio.run(play())


def test_a_refusal_can_announce_a_shutdown():
    async def play():
        async with small_world(desks=2) as world:
            leaving = world.runners[0]
            leaving.faults = BackendFaults(leaving=True, full=True)
            await call_until_handled(world, leaving)
            refused = leaving.refused
            await call_often(world)
            assert leaving.refused == refused

    asyncio.run(play())


def test_a_stream_of_a_server_that_shuts_down_continues_to_its_end():
    async def play():
        async with small_world(pools=2) as world:
            pools = world.runners[1:]
            for runner in pools:
                runner.gap_s = 0.15
                runner.faults = BackendFaults(leaving=True)
            stream = asyncio.create_task(world.call("/draft/1", **MODEL))
            await asyncio.sleep(0.3)
            leaving = next(runner for runner in pools if runner.runs)
            await call_often(world, 4, "/draft/1", **MODEL)
            answer = await stream
            assert answer.complete and answer.body.endswith(b"piece 4\n\n")
            assert len(leaving.runs) == 1

    asyncio.run(play())


def test_other_routers_learn_that_a_server_shuts_down():
    async def play():
        async with small_world(desks=2, routers=3) as world:
            leaving, other = world.runners[:2]

            async def linked():
                return all(router.fleet_size() == 3 for router in world.routers)

            await world.until(linked)
            leaving.faults = BackendFaults(leaving=True)
            await call_until_handled(world, leaving)
            await asyncio.sleep(0.2)
            runs = len(leaving.runs)
            for place in (1, 2):
                assert await call_often(world, router=place) == {200}
            assert len(leaving.runs) == runs
            other.faults = BackendFaults(leaving=True)
            assert await call_often(world, router=1) <= {200, 503}
            assert await call_often(world, 1, router=2) == {200}

    asyncio.run(play())


def test_the_announcement_of_another_server_at_the_address_is_ignored():
    async def play():
        async with small_world(desks=1) as world:
            runner = world.runners[0]
            runner.instance, named = "someone-else", runner.instance
            runner.faults = BackendFaults(leaving=True)
            assert (await world.call("/look/1")).status == 503
            runner.instance = named
            assert (await world.call("/look/1")).status == 200

    asyncio.run(play())


def test_a_new_incarnation_is_not_affected_by_the_announcement_of_the_former_one():
    async def play():
        async with small_world(desks=1) as world:
            runner = world.runners[0]
            runner.faults = BackendFaults(leaving=True)
            assert (await world.call("/look/1")).status == 200
            assert (await world.call("/look/1")).status == 503
            runner.faults = BackendFaults()
            runner.born_ms += 1
            world.write_heartbeat(runner)
            await asyncio.sleep(0.2)
            assert (await world.call("/look/1")).status == 200

    asyncio.run(play())


@pytest.mark.parametrize("announcement", ["leaving", "pause"])
def test_announcements_are_checked_again_after_waiting_for_a_connection(announcement):
    async def play():
        async with small_world(desks=2) as world:
            first, second = world.runners[:2]
            router = world.routers[0]
            acquire = router._pool.acquire

            async def delayed_acquire(server, **how):
                connection = await acquire(server, **how)
                if server.server == first.instance and announcement == "leaving":
                    router._control_state.directory.mark_leaving(server)
                elif server.server == first.instance:
                    router._control_state.directory.mark_paused(server, float("inf"))
                return connection

            router._pool.acquire = delayed_acquire
            assert await call_often(world) == {200}
            assert first.runs == []
            assert len(second.runs) == 8

    asyncio.run(play())


def test_a_server_that_asks_for_a_pause_gets_no_requests_until_its_end():
    async def play():
        async with small_world(desks=2) as world:
            paused, other = world.runners[:2]
            paused.faults = BackendFaults(full=True, pause_s=1.0)
            await asyncio.gather(*(call_until_handled(world, paused) for _ in range(4)))
            refused_at_ms = paused.refusals[-1].at_ms
            refused = paused.refused
            paused.faults = BackendFaults()
            runs = len(paused.runs)
            begin_s = time.monotonic()
            while time.monotonic() - begin_s < 0.7:
                assert await call_often(world, 3) == {200}
                await asyncio.sleep(0.05)
            assert (paused.refused, len(paused.runs)) == (refused, runs)

            async def is_asked():
                await world.call("/look/1")
                return len(paused.runs) > runs

            await world.until(is_asked)
            assert paused.runs[runs].at_ms - refused_at_ms >= 1_000.0

    asyncio.run(play())


async def pause_all(world, pause_s):
    """Let each server ask for a pause and take requests again after it."""
    for runner in world.runners[:2]:
        runner.faults = BackendFaults(full=True, pause_s=pause_s)
        await call_until_handled(world, runner, headers={"Deadline-Ms": "200"})
    for runner in world.runners[:2]:
        runner.faults = BackendFaults()
        runner.runs.clear()


def test_a_caller_with_less_time_than_all_servers_pause_is_refused_immediately():
    async def play():
        async with small_world(desks=2) as world:
            await pause_all(world, 0.8)
            begin_s = time.monotonic()
            answer = await world.call("/book/1", headers={"Deadline-Ms": "500"})
            assert time.monotonic() - begin_s < 0.1
            assert answer.status == 503
            assert 0.4 < float(answer.head.get(b"Retry-After")) <= 1.0
            assert not any(runner.runs for runner in world.runners[:2])

    asyncio.run(play())


@pytest.mark.parametrize("objective_ms", [100, 500, 1_900])
def test_a_caller_with_more_time_than_all_servers_pause_is_served_after_it(objective_ms):
    """Callers with two seconds were refused after 0.11 of the route's latency objective."""

    async def play():
        async with small_world(desks=2) as world:
            route = platform_route("book", "desk", "unsafe", targetLatencyMs=objective_ms)
            world.configure(version=2, routes=[route, *configuration()["routes"][1:]])
            await asyncio.sleep(0.3)
            await pause_all(world, 0.8)
            refused = sum(runner.refused for runner in world.runners[:2])
            answer = await world.call("/book/1")
            assert answer.status == 200
            assert sum(runner.refused for runner in world.runners[:2]) == refused

    asyncio.run(play())


def test_a_shorter_pause_does_not_end_a_longer_one():
    directory = ServerDirectory()
    directory.apply(ENTRY, 0.0)
    directory.mark_paused(ENTRY, 5_000.0)
    directory.mark_paused(ENTRY, 1_000.0)
    assert directory.paused(4_999.0) == {ENTRY.server}
    assert not directory.is_usable(ENTRY, 4_999.0)
    assert directory.paused(5_000.0) == set()
    assert directory.is_usable(ENTRY, 5_000.0)


def test_announcements_apply_only_to_the_incarnation_that_sent_them():
    directory = ServerDirectory()
    directory.apply(ENTRY, 0.0)
    later = evolve(ENTRY, born_ms=ENTRY.born_ms + 1, sequence=1)
    directory.mark_paused(later, 5_000.0)
    assert not directory.mark_leaving(later)
    assert directory.is_usable(ENTRY, 0.0)
    directory.mark_paused(ENTRY, 5_000.0)
    assert directory.mark_leaving(ENTRY)
    assert not directory.mark_leaving(ENTRY)
    assert directory.leaving() == {ENTRY.server: ENTRY.born_ms}
    directory.apply(later, 0.0)
    assert directory.is_usable(later, 0.0)
    assert directory.leaving() == {}


def test_a_pause_of_a_new_incarnation_applies_although_its_entry_was_not_read_yet():
    """Otherwise it is attributed to the former incarnation and ends with it."""
    directory = ServerDirectory()
    directory.apply(ENTRY, 0.0)
    later = evolve(ENTRY, born_ms=ENTRY.born_ms + 1_000, sequence=1)
    directory.mark_paused(ENTRY, 5_000.0, reported_ms=later.born_ms + 10.0)
    directory.apply(later, 0.0)
    assert not directory.is_usable(later, 4_000.0)
    assert directory.is_usable(later, 5_000.0)
    directory.mark_paused(later, 9_000.0, reported_ms=later.born_ms + 20.0)
    directory.apply(evolve(later, born_ms=later.born_ms + 1_000), 0.0)
    assert directory.paused(6_000.0) == set()


@pytest.mark.parametrize("header", [(b"Cold-Ms", b"a while"), (b"Server-Leaving", b"maybe")])
def test_an_invalid_header_does_not_prevent_the_response(header):
    """Otherwise the caller of a request that was run gets status 500."""

    async def play():
        async with small_world() as world:
            world.runners[0].faults = BackendFaults(headers=(header,))
            assert await call_often(world, 3, "/book/1") == {200}

    asyncio.run(play())
