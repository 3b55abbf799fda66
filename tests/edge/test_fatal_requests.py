"""Requests under which servers end, beside sound ones."""

import asyncio

import pytest
from edge_world import small_world

from cicadaledge.errors import BackendError
from cicadaledge.standins import BackendFaults

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
                runner.crash_marker = "fatal"
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
                runner.crash_marker = "fatal"
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
                runner.faults = BackendFaults(reset=True)
            statuses = []
            for turn in range(12):
                statuses.append((await world.call("/look/1", place=turn % 2)).status)
            for runner in world.runners:
                runner.faults = BackendFaults()
            assert (await world.call("/look/1")).status == 200
            assert 503 not in statuses

    asyncio.run(play())


def test_a_router_that_was_just_added_knows_requests_that_crash_servers():
    async def play():
        async with small_world(desks=6, routers=1) as world:
            for runner in world.runners:
                runner.crash_marker = "fatal"
            for _ in range(3):
                await world.call("/book/fatal")
                await asyncio.sleep(0.5)
            ended = len(ends_of(world))
            await world.add_router("router-new")
            answer = await world.call("/book/fatal", place=1)
            assert answer.status == 503
            assert float(answer.head.get(b"Retry-After")) > 60
            assert len(ends_of(world)) == ended <= MOST_ENDS

    asyncio.run(play())


def test_a_router_that_hears_no_other_router_knows_requests_that_crash_servers():
    async def play():
        async with small_world(desks=6, routers=3) as world:
            for runner in world.runners:
                runner.crash_marker = "fatal"
            alone = world.routers[2]
            await alone._peers.links.close()
            alone._peers.links.dial = lambda *address: None
            for turn in range(6):
                await world.call("/book/fatal", place=turn % 2)
                await asyncio.sleep(0.3)
            await asyncio.sleep(CONTACT_MS / 1000)
            ended = len(ends_of(world))
            assert (await world.call("/book/fatal", place=2)).status == 503
            assert len(ends_of(world)) == ended <= MOST_ENDS

    asyncio.run(play())


def test_a_restarted_router_keeps_the_evidence_that_it_had_published():
    async def play():
        async with small_world(desks=6, routers=1) as world:
            for runner in world.runners:
                runner.crash_marker = "fatal"
            await world.call("/book/fatal")
            await asyncio.sleep(0.5)
            world._tasks[0].cancel()
            await asyncio.sleep(0.5)
            await world.add_router("router-0")
            await world.call("/book/fatal", place=1)
            await asyncio.sleep(0.5)
            assert (await world.call("/book/fatal", place=1)).status == 503
            assert len(ends_of(world)) == 2
            assert len(world.routers[1]._suspicion.evidence().crashed_ms) == 2

    asyncio.run(play())


def test_evidence_is_published_once_the_store_is_back():
    async def play():
        async with small_world(desks=6, routers=2) as world:
            for runner in world.runners:
                runner.crash_marker = "fatal"
            world.cut_from_store(0)
            for _ in range(3):
                await world.call("/book/fatal", place=0)
                await asyncio.sleep(0.3)
            world._clients[0].is_cut = False
            await asyncio.sleep(1.5)
            assert (await world.call("/book/fatal", place=1)).status == 503
            assert len(ends_of(world)) <= MOST_ENDS

    asyncio.run(play())


def test_servers_that_leave_make_no_request_suspect():
    async def play():
        async with small_world(desks=4, routers=1) as world:
            for runner in world.runners:
                runner.gap_s = 5.0
            for runner in world.runners[:3]:
                world.beat(runner, state="draining")
            await asyncio.sleep(0.2)
            requests = [asyncio.create_task(world.call("/look/1")) for _ in range(2)]
            await asyncio.sleep(0.2)
            world.beat(world.runners[3], state="draining")
            await asyncio.sleep(0.2)
            world.runners[3].crash()
            await asyncio.gather(*requests)
            await asyncio.sleep(1.0)
            assert not world.routers[0]._suspicion.evidence().crashed_ms

    asyncio.run(play())


def test_a_server_that_goes_on_though_nobody_could_connect_clears_its_requests():
    """A cut can refuse connections; the server's heartbeats go on."""

    async def play():
        async with small_world(desks=2, routers=1) as world:
            runner = world.runners[0]
            other = world.runners[1]
            world.beat(other, state="draining")
            runner.gap_s = 5.0
            await asyncio.sleep(0.2)
            request = asyncio.create_task(world.call("/look/1"))
            await asyncio.sleep(0.2)
            port = runner.port
            await runner.stop()
            assert (await request).status in (502, 503)
            await asyncio.sleep(0.2)
            suspicion = world.routers[0]._suspicion
            (crash,) = suspicion.evidence().crashed_ms
            assert suspicion._fleet.requests_of(crash)
            await runner.start(port)
            for _ in range(12):
                world.beat(runner)
                await asyncio.sleep(0.25)
            assert not suspicion._fleet.requests_of(crash)

    asyncio.run(play())


def test_servers_that_crash_together_make_nothing_suspect_that_was_sent_on():
    """News of crashes in several zones at once arrives tens of milliseconds apart."""

    async def play():
        async with small_world(desks=6, routers=1) as world:
            for runner in world.runners:
                runner.gap_s = 0.2
            requests = [asyncio.create_task(world.call(f"/look/{one}")) for one in range(18)]
            await asyncio.sleep(0.1)
            for runner in world.runners[:3]:
                runner.crash()
                await asyncio.sleep(0.03)
            answers = await asyncio.gather(*requests)
            assert [answer.status for answer in answers] == [200] * len(answers)
            suspicion = world.routers[0]._suspicion
            assert len(suspicion.evidence().crashed_ms) == 3
            assert not suspicion._fleet.blamed()

    asyncio.run(play())


def test_what_ran_after_a_crash_is_no_suspect_of_it():
    """A server can be back before its entry is read, and crash again."""

    async def play():
        async with small_world(desks=1, routers=1) as world:
            (runner,) = (one for one in world.runners if one.service == "desk")
            runner.crash_marker = "fatal"
            runner.on_restart = lambda _: None
            await world.call("/book/fatal")
            await asyncio.sleep(0.6)
            runner.gap_s = 5.0
            request = asyncio.create_task(world.call("/book/sound"))

            async def running():
                return any("sound" in run.target for run in runner.runs)

            await world.until(running)
            runner.crash()
            await request
            await asyncio.sleep(0.2)
            evidence = world.routers[0]._suspicion.evidence()
            assert [len(digests) for digests in evidence.ran.values()] == [1]

    asyncio.run(play())
