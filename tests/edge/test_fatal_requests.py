"""Requests that crash servers are refused in the end; harmless ones that run beside them are not."""

import asyncio

import pytest
from edge_world import small_world

from cicadaledge.errors import BackendError
from cicadaledge.standins import BackendFaults

CONTACT_MS = 4_000
SCENARIO_S = 8.0
# By the users' rule, routers that reach the store must refuse the request after this many crashes.
MAX_CRASHES = 3
# The users' rule allows this many attempts after the last of these crashes.
MAX_LATE_ATTEMPTS = 3


async def send_repeatedly(world, target, statuses, *, model=False, every_s=0.3):
    """Send the same request repeatedly through all routers in turn."""
    for turn in range(int(SCENARIO_S / every_s)):
        try:
            answer = await world.call(target, router=turn % len(world.routers), model=model)
            statuses.append(answer.status if answer.complete else 0)
        except BackendError:
            statuses.append(0)
        await asyncio.sleep(every_s)


def crash_times(world):
    """Return when servers crashed, in order."""
    return sorted(at_ms for runner in world.runners for at_ms in runner.ended_ms)


def late_runs(world, marker):
    """Return the runs that began later than CONTACT_MS after the third crash."""
    third_ms = crash_times(world)[MAX_CRASHES - 1 : MAX_CRASHES]
    return [
        run
        for runner in world.runners
        for run in runner.runs
        if marker in run.target and third_ms and run.at_ms > third_ms[0] + CONTACT_MS
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
def test_a_request_that_crashes_servers_is_refused_in_the_end(target, model):
    async def scenario():
        async with small_world(desks=6, pools=6, routers=2) as world:
            for runner in world.runners:
                runner.crash_marker = "fatal"
            statuses = []
            await send_repeatedly(world, target, statuses, model=model)
            assert len(crash_times(world)) <= MAX_CRASHES
            assert len(late_runs(world, "fatal")) <= MAX_LATE_ATTEMPTS
            assert statuses[-1] == 503

    asyncio.run(scenario())


def test_harmless_requests_are_served_beside_one_that_crashes_servers():
    """A frequent request is in flight in nearly every crash that another one causes."""

    async def scenario():
        async with small_world(desks=6, routers=2) as world:
            for runner in world.runners:
                runner.crash_marker = "fatal"
                runner.gap_s = 0.05
            statuses, hot = [], []
            callers = [send_repeatedly(world, "/look/hot", hot, every_s=0.05) for _ in range(4)]
            await asyncio.gather(send_repeatedly(world, "/look/fatal", statuses), *callers)
            assert statuses[-1] == 503
            assert hot.count(200) > 0.98 * len(hot)

    asyncio.run(scenario())


def test_harmless_requests_are_served_while_servers_crash_by_themselves():
    async def scenario():
        async with small_world(desks=6, routers=2) as world:
            for runner in world.runners:
                runner.gap_s = 0.1
            hot = []
            callers = [send_repeatedly(world, "/look/hot", hot, every_s=0.05) for _ in range(4)]

            async def crash():
                for turn in range(int(SCENARIO_S / 0.3)):
                    world.runners[turn % 6].crash()
                    await asyncio.sleep(0.3)

            await asyncio.gather(crash(), *callers)
            assert hot.count(200) > 0.98 * len(hot)

    asyncio.run(scenario())


def test_connections_reset_by_live_servers_make_no_request_suspect():
    async def scenario():
        async with small_world(desks=6, routers=2) as world:
            for runner in world.runners:
                runner.faults = BackendFaults(reset=True)
            statuses = []
            for turn in range(12):
                statuses.append((await world.call("/look/1", router=turn % 2)).status)
            for runner in world.runners:
                runner.faults = BackendFaults()
            assert (await world.call("/look/1")).status == 200
            assert 503 not in statuses

    asyncio.run(scenario())


def test_a_router_that_was_just_added_refuses_requests_that_crash_servers():
    async def scenario():
        async with small_world(desks=6, routers=1) as world:
            for runner in world.runners:
                runner.crash_marker = "fatal"
            for _ in range(3):
                await world.call("/book/fatal")
                await asyncio.sleep(0.5)
            ended = len(crash_times(world))
            await world.add_router("router-new")
            answer = await world.call("/book/fatal", router=1)
            assert answer.status == 503
            assert float(answer.head.get(b"Retry-After")) > 60
            assert len(crash_times(world)) == ended <= MAX_CRASHES

    asyncio.run(scenario())


def test_a_router_without_peer_links_refuses_requests_that_crash_servers():
    async def scenario():
        async with small_world(desks=6, routers=3) as world:
            for runner in world.runners:
                runner.crash_marker = "fatal"
            alone = world.routers[2]
            await alone._peers.links.close()
            alone._peers.links.dial = lambda *address: None
            for turn in range(6):
                await world.call("/book/fatal", router=turn % 2)
                await asyncio.sleep(0.3)
            await asyncio.sleep(CONTACT_MS / 1000)
            ended = len(crash_times(world))
            assert (await world.call("/book/fatal", router=2)).status == 503
            assert len(crash_times(world)) == ended <= MAX_CRASHES

    asyncio.run(scenario())


def test_a_restarted_router_keeps_its_published_evidence():
    async def scenario():
        async with small_world(desks=6, routers=1) as world:
            for runner in world.runners:
                runner.crash_marker = "fatal"
            await world.call("/book/fatal")
            await asyncio.sleep(0.5)
            world._tasks[0].cancel()
            await asyncio.sleep(0.5)
            await world.add_router("router-0")
            await world.call("/book/fatal", router=1)
            await asyncio.sleep(0.5)
            assert (await world.call("/book/fatal", router=1)).status == 503
            assert len(crash_times(world)) == 2
            assert len(world.routers[1]._poison_guard.evidence().requests.crashed_ms) == 2

    asyncio.run(scenario())


def test_evidence_is_published_once_the_store_is_reachable_again():
    async def scenario():
        async with small_world(desks=6, routers=2) as world:
            for runner in world.runners:
                runner.crash_marker = "fatal"
            world.cut_from_store(0)
            for _ in range(3):
                await world.call("/book/fatal", router=0)
                await asyncio.sleep(0.3)
            world._clients[0].is_cut = False
            await asyncio.sleep(1.5)
            assert (await world.call("/book/fatal", router=1)).status == 503
            assert len(crash_times(world)) <= MAX_CRASHES

    asyncio.run(scenario())


def test_draining_servers_that_end_make_no_request_suspect():
    async def scenario():
        async with small_world(desks=4, routers=1) as world:
            for runner in world.runners:
                runner.gap_s = 5.0
            for runner in world.runners[:3]:
                world.write_heartbeat(runner, state="draining")
            await asyncio.sleep(0.2)
            requests = [asyncio.create_task(world.call("/look/1")) for _ in range(2)]
            await asyncio.sleep(0.2)
            world.write_heartbeat(world.runners[3], state="draining")
            await asyncio.sleep(0.2)
            world.runners[3].crash()
            await asyncio.gather(*requests)
            await asyncio.sleep(1.0)
            assert not world.routers[0]._poison_guard.evidence().requests.crashed_ms

    asyncio.run(scenario())


def test_a_live_server_that_refused_connections_clears_its_requests():
    """A network partition can refuse connections while the server's heartbeats continue."""

    async def scenario():
        async with small_world(desks=2, routers=1) as world:
            runner = world.runners[0]
            other = world.runners[1]
            world.write_heartbeat(other, state="draining")
            runner.gap_s = 5.0
            await asyncio.sleep(0.2)
            request = asyncio.create_task(world.call("/look/1"))
            await asyncio.sleep(0.2)
            port = runner.port
            await runner.stop()
            assert (await request).status in (502, 503)
            await asyncio.sleep(0.2)
            guard = world.routers[0]._poison_guard
            (crash,) = guard.evidence().requests.crashed_ms
            assert guard._fleet.suspects_of(crash)
            await runner.start(port)
            for _ in range(12):
                world.write_heartbeat(runner)
                await asyncio.sleep(0.25)
            assert not guard._fleet.suspects_of(crash)

    asyncio.run(scenario())


async def set_slots(world, slots):
    """Let all servers of `desk` have this number of slots, and wait until the router knows it."""
    desks = [runner for runner in world.runners if runner.service == "desk"]
    for runner in desks:
        runner.announced_slots = slots
        world.write_heartbeat(runner)
    directory = world.routers[0]._control_state.directory

    async def are_known():
        known = [entry.slots for entry in directory.usable_by_name("desk").values()]
        return known == [slots] * len(desks)

    await world.until(are_known)


def test_simultaneous_crashes_do_not_blame_retried_requests():
    """Reports of simultaneous crashes in several zones arrive tens of milliseconds apart.

    Each server runs three requests in its three slots, as servers are drawn at random: the retry
    budget covers nine retries, and a crash is detected only by requests that ran in it. Retries may
    go to any server, also to those that crash next.
    """

    async def scenario():
        async with small_world(desks=6, routers=1) as world:
            for runner in world.runners:
                runner.gap_s = 0.6
            await set_slots(world, 3)
            requests = [asyncio.create_task(world.call(f"/look/{one}")) for one in range(18)]

            async def all_run():
                return [len(runner.runs) for runner in world.runners[:6]] == [3] * 6

            await world.until(all_run)
            await set_slots(world, 8)
            for runner in world.runners[:3]:
                runner.crash()
                await asyncio.sleep(0.03)
            answers = await asyncio.gather(*requests)
            assert [answer.status for answer in answers] == [200] * len(answers)
            guard = world.routers[0]._poison_guard
            assert len(guard.evidence().requests.crashed_ms) == 3
            assert not guard._fleet.blamed()

    asyncio.run(scenario())


def test_a_request_that_ran_after_a_crash_is_no_suspect_of_it():
    """A server can restart, and crash again, before its new entry is read."""

    async def scenario():
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
            evidence = world.routers[0]._poison_guard.evidence()
            assert [len(digests) for digests in evidence.requests.ran.values()] == [1]

    asyncio.run(scenario())
