"""Requests under which servers end, beside sound ones."""

import asyncio

import pytest
from edge_world import small_world

from cicadaledge.errors import BackendError
from cicadaledge.standins import RunnerFaults

CONTACT_MS = 4_000
PLAY_S = 8.0
MOST_ENDS = 3  # by the users' rule, before routers in touch must know the request
MOST_LATER = 3  # sendings that the rule allows after that


async def send_again_and_again(world, target, statuses, *, model=False, every_s=0.3):
    """Send the same request through all routers in turn."""
    for turn in range(int(PLAY_S / every_s)):
        try:
            answer = await world.call(target, place=turn % len(world.routers), model=model)
            statuses.append(answer.status if answer.complete else 0)
        except BackendError:
            statuses.append(0)
        await asyncio.sleep(every_s)


def ends_of(world):
    """Return when servers ended, in order."""
    return sorted(at_ms for runner in world.runners for at_ms in runner.ended_ms)


def late_runs(world, word):
    """Return the runs of a request that began in touch after its third end."""
    third_ms = ends_of(world)[MOST_ENDS - 1 : MOST_ENDS]
    return [
        run
        for runner in world.runners
        for run in runner.runs
        if word in run.target and third_ms and run.at_ms > third_ms[0] + CONTACT_MS
    ]


@pytest.mark.parametrize(
    ("target", "model"),
    [
        ("/look/fatal", False),
        ("/book/fatal", False),
        ("/chat/fatal", True),
        ("/draft/fatal", True),
    ],
    ids=["safe", "unsafe", "resumable", "stream"],
)
def test_a_request_under_which_servers_ended_is_not_sent_for_ever(target, model):
    async def play():
        async with small_world(desks=6, pools=6, routers=2) as world:
            for runner in world.runners:
                runner.faults = RunnerFaults(fatal="fatal")
            statuses = []
            await send_again_and_again(world, target, statuses, model=model)
            assert len(ends_of(world)) <= MOST_ENDS
            assert len(late_runs(world, "fatal")) <= MOST_LATER
            assert statuses[-1] == 503

    asyncio.run(play())


def test_sound_requests_are_served_beside_one_that_ends_servers():
    """The hottest request is in flight in nearly every crash."""

    async def play():
        async with small_world(desks=6, routers=2) as world:
            for runner in world.runners:
                runner.faults = RunnerFaults(fatal="fatal")
                runner.gap_s = 0.05
            statuses, hot = [], []
            callers = [
                send_again_and_again(world, "/look/hot", hot, every_s=0.05) for _ in range(4)
            ]
            await asyncio.gather(send_again_and_again(world, "/look/fatal", statuses), *callers)
            assert statuses[-1] == 503
            assert hot.count(200) > 0.98 * len(hot)

    asyncio.run(play())


def test_sound_requests_are_served_while_servers_end_by_themselves():
    async def play():
        async with small_world(desks=6, routers=2) as world:
            for runner in world.runners:
                runner.gap_s = 0.1
            hot = []
            callers = [
                send_again_and_again(world, "/look/hot", hot, every_s=0.05) for _ in range(4)
            ]

            async def crash():
                for turn in range(int(PLAY_S / 0.3)):
                    world.runners[turn % 6].crash()
                    await asyncio.sleep(0.3)

            await asyncio.gather(crash(), *callers)
            assert hot.count(200) > 0.98 * len(hot)

    asyncio.run(play())


def test_broken_answers_of_servers_that_go_on_make_no_request_suspect():
    async def play():
        async with small_world(desks=6, routers=2) as world:
            for runner in world.runners:
                runner.faults = RunnerFaults(reset=True)
            statuses = []
            for turn in range(12):
                statuses.append((await world.call("/look/1", place=turn % 2)).status)
            for runner in world.runners:
                runner.faults = RunnerFaults()
            assert (await world.call("/look/1")).status == 200
            assert 503 not in statuses

    asyncio.run(play())
