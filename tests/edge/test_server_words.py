"""Servers that say in their answers that they leave, or that they want a pause."""

import asyncio
import time

import pytest
from attrs import evolve
from edge_world import ENTRY, small_world

from cicadaledge.routing import ServerDirectory
from cicadaledge.standins import BackendFaults

MODEL = {"model": True}


async def call_often(world, count=8, target="/look/1", **how):
    answers = await asyncio.gather(*(world.call(target, **how) for _ in range(count)))
    return {answer.status for answer in answers}


async def hear(world, runner, target="/look/1", **how):
    """Call until a server has answered, or refused, once more."""
    seen = len(runner.runs) + runner.refused
    for _ in range(20):
        await world.call(target, **how)
        if len(runner.runs) + runner.refused > seen:
            return
    raise AssertionError("the server was not asked")


@pytest.mark.parametrize("how", [{}, {"error": True}], ids=["an answer", "a failure"])
def test_a_server_that_says_that_it_leaves_gets_nothing_more(how):
    async def play():
        async with small_world(desks=2) as world:
            leaving, other = world.runners[:2]
            leaving.faults = BackendFaults(leaving=True, **how)
            await hear(world, leaving)
            runs = len(leaving.runs)
            for _ in range(3):
                world.beat(leaving)
                await asyncio.sleep(0.08)
                assert await call_often(world) == {200}
            world.cut_from_store(0)
            assert await call_often(world) == {200}
            assert len(leaving.runs) == runs
            assert len(other.runs) >= 32

    asyncio.run(play())


def test_a_refusal_tells_of_leaving_too():
    async def play():
        async with small_world(desks=2) as world:
            leaving = world.runners[0]
            leaving.faults = BackendFaults(leaving=True, full=True)
            await hear(world, leaving)
            refused = leaving.refused
            await call_often(world)
            assert leaving.refused == refused

    asyncio.run(play())


def test_a_stream_of_a_leaving_server_goes_on_to_its_end():
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


def test_other_routers_hear_that_a_server_leaves():
    async def play():
        async with small_world(desks=2, routers=3) as world:
            leaving, other = world.runners[:2]

            async def linked():
                return all(router.fleet_size() == 3 for router in world.routers)

            await world.until(linked)
            leaving.faults = BackendFaults(leaving=True)
            await hear(world, leaving)
            await asyncio.sleep(0.2)
            runs = len(leaving.runs)
            for place in (1, 2):
                assert await call_often(world, place=place) == {200}
            assert len(leaving.runs) == runs
            other.faults = BackendFaults(leaving=True)
            assert await call_often(world, place=1) <= {200, 503}
            assert await call_often(world, 1, place=2) == {200}

    asyncio.run(play())


def test_the_word_of_another_server_at_the_address_does_not_count():
    async def play():
        async with small_world(desks=1) as world:
            runner = world.runners[0]
            runner.instance, named = "someone-else", runner.instance
            runner.faults = BackendFaults(leaving=True)
            assert (await world.call("/look/1")).status == 503
            runner.instance = named
            assert (await world.call("/look/1")).status == 200

    asyncio.run(play())


def test_a_new_incarnation_is_not_held_by_the_word_of_the_former_one():
    async def play():
        async with small_world(desks=1) as world:
            runner = world.runners[0]
            runner.faults = BackendFaults(leaving=True)
            assert (await world.call("/look/1")).status == 200
            assert (await world.call("/look/1")).status == 503
            runner.faults = BackendFaults()
            runner.born_ms += 1
            world.beat(runner)
            await asyncio.sleep(0.2)
            assert (await world.call("/look/1")).status == 200

    asyncio.run(play())


@pytest.mark.parametrize("word", ["leaving", "pause"])
def test_a_request_that_waits_for_a_connection_is_asked_about_again(word):
    async def play():
        async with small_world(desks=2) as world:
            first, second = world.runners[:2]
            router = world.routers[0]
            take = router._pool.acquire

            async def take_late(server, **how):
                connection = await take(server, **how)
                if server.server == first.instance and word == "leaving":
                    router._beliefs.directory.mark_leaving(server)
                elif server.server == first.instance:
                    router._beliefs.directory.mark_paused(server, float("inf"))
                return connection

            router._pool.acquire = take_late
            assert await call_often(world) == {200}
            assert first.runs == []
            assert len(second.runs) == 8

    asyncio.run(play())


def test_a_server_that_asks_for_a_pause_gets_nothing_until_its_end():
    async def play():
        async with small_world(desks=2) as world:
            paused, other = world.runners[:2]
            paused.faults = BackendFaults(full=True, pause_s=1.0)
            await asyncio.gather(*(hear(world, paused) for _ in range(4)))
            told_ms = paused.refusals[-1].at_ms
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
            assert paused.runs[runs].at_ms - told_ms >= 1_000.0

    asyncio.run(play())


def test_callers_are_refused_at_once_while_all_servers_pause():
    async def play():
        async with small_world(desks=2) as world:
            for runner in world.runners[:2]:
                runner.faults = BackendFaults(full=True, pause_s=0.8)
                await hear(world, runner)
            refused = sum(runner.refused for runner in world.runners[:2])
            begin_s = time.monotonic()
            answer = await world.call("/book/1")
            assert time.monotonic() - begin_s < 0.1
            assert answer.status == 503
            assert 0.4 < float(answer.head.get(b"Retry-After")) <= 1.0
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


def test_words_hold_for_the_incarnation_that_said_them():
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


def test_a_pause_that_a_new_incarnation_told_before_its_entry_was_read_holds():
    """It was taken for a word of the former one, and ended with it."""
    directory = ServerDirectory()
    directory.apply(ENTRY, 0.0)
    later = evolve(ENTRY, born_ms=ENTRY.born_ms + 1_000, sequence=1)
    directory.mark_paused(ENTRY, 5_000.0, told_ms=later.born_ms + 10.0)
    directory.apply(later, 0.0)
    assert not directory.is_usable(later, 4_000.0)
    assert directory.is_usable(later, 5_000.0)
    directory.mark_paused(later, 9_000.0, told_ms=later.born_ms + 20.0)
    directory.apply(evolve(later, born_ms=later.born_ms + 1_000), 0.0)
    assert directory.paused(6_000.0) == set()


@pytest.mark.parametrize("header", [(b"Cold-Ms", b"a while"), (b"Server-Leaving", b"maybe")])
def test_a_header_that_says_nothing_does_not_cost_the_answer(header):
    """The caller of a request that had run got status 500."""

    async def play():
        async with small_world() as world:
            world.runners[0].faults = BackendFaults(headers=(header,))
            assert await call_often(world, 3, "/book/1") == {200}

    asyncio.run(play())
