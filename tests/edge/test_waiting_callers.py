"""Callers whose requests no server can take at once: how long they wait, and who is next."""

import asyncio
import time

import pytest
from edge_world import configuration, request_headers, small_world

from cicadaledge.edge import BoundSettings, clock_ms
from cicadaledge.errors import BackendError
from cicadaledge.standins import BackendFaults, PlatformBackend

OBJECTIVES_MS = pytest.mark.parametrize("objective_ms", [100, 500, 1_900])


class LimitedBackend(PlatformBackend):
    """A backend server with eight slots, as in its heartbeats, that queues a few more requests."""

    SLOTS = 8
    QUEUED = 4

    def __init__(self, *args, **how):
        super().__init__(*args, **how)
        self.slots = asyncio.Semaphore(self.SLOTS)
        self.accepted = 0

    async def answer(self, head, body, writer):
        if self.accepted >= self.SLOTS + self.QUEUED:
            full = PlatformBackend(self.instance, self.service, self.zone)
            full.faults = BackendFaults(full=True)
            await full.answer(head, body, writer)
            self.refused += 1
            return
        self.accepted += 1
        try:
            async with self.slots:
                await super().answer(head, body, writer)
        finally:
            self.accepted -= 1


async def add_limited(world, instance, **how):
    server = LimitedBackend(instance, "desk", "zone-a", **how)
    await server.start()
    world.runners.append(server)
    world.write_heartbeat(server)
    return server


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


async def send_all(world, target, count):
    """Send requests of that many callers; return what closes their connections."""
    connections = [await world.connect() for _ in range(count)]
    for connection in connections:
        connection.send("POST", target, request_headers(), b"{}")

    def leave():
        for connection in connections:
            connection.abort()

    return leave


@OBJECTIVES_MS
@pytest.mark.parametrize("target", ["/book/1", "/look/1"])
def test_a_caller_with_time_waits_for_a_full_server(objective_ms, target):
    """It was refused after 0.11 of the route's objective, though a place fell free soon."""

    async def play():
        async with small_world(desks=0, pools=0) as world:
            server = await add_limited(world, "desk-0", gap_s=0.35)
            await configure(world, objective_ms)
            server.gap_s = 0.35
            busy = [asyncio.create_task(world.call("/book/0")) for _ in range(16)]
            await asyncio.sleep(0.4)
            server.gap_s = 0.6
            status, took_s = await timed_call(world, target)
            assert status == 200
            assert 0.6 < took_s < 1.6
            assert [one.status for one in await asyncio.gather(*busy)] == [200] * 16

    asyncio.run(play())


@OBJECTIVES_MS
def test_a_server_that_only_says_that_it_is_full_is_asked_again(objective_ms):
    """Requests of routes with a single attempt were refused at the first such answer."""

    async def play():
        async with small_world(pools=0) as world:
            await configure(world, objective_ms)
            server = world.runners[0]
            server.faults = BackendFaults(full=True)
            request = asyncio.create_task(timed_call(world, "/book/1"))
            await asyncio.sleep(0.35)
            assert not request.done()
            server.faults = BackendFaults()
            status, took_s = await request
            assert status == 200
            assert took_s < 0.8
            assert len(server.runs) == 1

    asyncio.run(play())


async def send_to_a_losing_server(world):
    """Send a request that its first server loses after 0.5 s.

    Returns:
        The request's task, 0.3 s later, the server that has it and the other one.
    """
    for server in world.runners:
        server.gap_s = 0.5
        server.faults = BackendFaults(reset=True)
    request = asyncio.create_task(timed_call(world, "/look/1"))
    await asyncio.sleep(0.3)
    (lost,) = [server for server in world.runners if server.runs]
    (other,) = [server for server in world.runners if not server.runs]
    return request, lost, other


@OBJECTIVES_MS
def test_a_repeat_waits_for_a_server_as_a_first_try_does(objective_ms):
    """Its wait counted from the arrival of the request, so that it was given up at once."""

    async def play():
        async with small_world(desks=2, pools=0) as world:
            await configure(world, objective_ms, maxAttempts=2)
            request, lost, other = await send_to_a_losing_server(world)
            other.faults = BackendFaults(full=True)
            await asyncio.sleep(0.6)
            assert other.refused
            other.gap_s = 0.0
            other.faults = BackendFaults()
            status, took_s = await request
            assert (status, len(lost.runs)) == (200, 1)
            assert took_s < 1.6

    asyncio.run(play())


@pytest.mark.parametrize("load", [0.7, 1.0, 1.3])
def test_callers_of_full_servers_get_what_these_can_do(load):
    """16 places, work of 0.4 s, two routers; callers have 2 s and do not come back."""

    async def play():
        async with small_world(desks=0, pools=0, routers=2) as world:
            for number in range(2):
                await add_limited(world, f"desk-{number}", gap_s=0.4)
            await asyncio.sleep(0.3)
            calls = []
            count = int(160 * load)
            for number in range(count):
                router = number % 2
                calls.append(
                    asyncio.create_task(timed_call(world, f"/book/{number}", router=router))
                )
                await asyncio.sleep(4.0 / count)
            answered = sum([(await one)[0] == 200 for one in calls])
            possible = min(count, 160)
            assert answered >= (0.99 if load < 1 else 0.9) * possible

    asyncio.run(play())


def test_a_request_that_cannot_be_answered_in_its_callers_time_is_refused_at_once():
    """The work takes 0.6 s, which the router has seen; the caller has 0.5 s."""

    async def play():
        async with small_world(desks=0, pools=0) as world:
            server = await add_limited(world, "desk-0", gap_s=0.6)
            await configure(world, 1_000)
            await asyncio.gather(*(world.call("/book/0") for _ in range(8)))
            busy = [asyncio.create_task(world.call("/book/0")) for _ in range(8)]
            await asyncio.sleep(0.1)
            how = {"headers": {"Deadline-Ms": "500"}}
            status, took_s = await timed_call(world, "/book/1", **how)
            assert status == 503
            assert took_s < 0.15
            await asyncio.gather(*busy)
            assert "/book/1" not in {run.target for run in server.runs}

    asyncio.run(play())


def test_callers_that_leave_do_not_keep_their_place_in_the_queue():
    async def play():
        async with small_world(desks=0, pools=0) as world:
            server = await add_limited(world, "desk-0", gap_s=0.4)
            await configure(world, 1_000)
            busy = [asyncio.create_task(world.call("/book/0")) for _ in range(8)]
            await asyncio.sleep(0.1)
            leave = await send_all(world, "/book/1", 20)
            await asyncio.sleep(0.1)
            leave()
            staying = await timed_call(world, "/book/2")
            assert staying[0] == 200
            await asyncio.gather(*busy)
            assert [run for run in server.runs if run.target == "/book/1"] == []

            async def is_empty():
                return world.routers[0]._request_handler.waiting == 0

            await world.until(is_empty, within_s=0.5)

    asyncio.run(play())


@pytest.mark.parametrize("by_account", [False, True], ids=["route", "account"])
def test_the_higher_rank_is_served_first(by_account):
    """The rank of routes and accounts was not read."""

    async def play():
        async with small_world(desks=0, pools=0) as world:
            server = await add_limited(world, "desk-0", gap_s=0.2)
            routes = configuration()["routes"]
            accounts = configuration()["tenants"]
            accounts.append({"name": "urgent", "apiKeys": ["urgent-key"], "priority": 1})
            if by_account:
                accounts[0]["priority"] = 2
                routes[1]["priority"] = 9
            else:
                routes[0]["priority"] = 2
                del accounts[1]["priority"]
            world.configure(version=2, routes=routes, tenants=accounts)
            await asyncio.sleep(0.3)
            busy = [asyncio.create_task(world.call("/book/0")) for _ in range(8)]
            await asyncio.sleep(0.05)
            low = [asyncio.create_task(world.call("/book/low")) for _ in range(8)]
            await asyncio.sleep(0.05)
            high = [
                asyncio.create_task(world.call("/look/high", key="urgent-key")) for _ in range(8)
            ]
            answers = await asyncio.gather(*busy, *low, *high)
            assert {one.status for one in answers} == {200}
            assert [run.target for run in server.runs[8:]] == ["/look/high"] * 8 + ["/book/low"] * 8

    asyncio.run(play())


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


def test_a_stopping_router_refuses_those_that_still_wait_before_it_ends():
    async def play():
        bounds = BoundSettings(grace_ms=1_500)
        async with small_world(desks=0, pools=0, bounds=bounds) as world:
            await add_limited(world, "desk-0", gap_s=1.2)
            await configure(world, 100)
            busy = [asyncio.create_task(timed_call(world, "/book/0")) for _ in range(8)]
            await asyncio.sleep(0.1)
            waiting = [asyncio.create_task(timed_call(world, "/book/1")) for _ in range(8)]
            await asyncio.sleep(0.05)
            world.routers[0].stop()
            assert {status for status, _ in await asyncio.gather(*waiting)} <= {200, 503, 504}
            assert {status for status, _ in await asyncio.gather(*busy)} == {200}
            await asyncio.wait_for(world._tasks[0], 1.5)

    asyncio.run(play())


def test_a_silent_server_is_detected_by_the_time_that_its_answers_take():
    """With an objective of 1.9 s, callers that left after 1.5 s counted for nothing."""

    async def play():
        async with small_world(desks=2, pools=0) as world:
            await configure(world, 1_900)
            for number in range(12):
                assert (await world.call(f"/book/{number}")).status == 200
            silent = world.runners[0]
            silent.faults = BackendFaults(silent=True)
            leave = await send_all(world, "/book/x", 16)
            await asyncio.sleep(1.3)
            leave()
            await asyncio.sleep(0.05)
            asked = len(silent.runs)
            await asyncio.gather(*(world.call("/book/y") for _ in range(6)))
            assert len(silent.runs) == asked

    asyncio.run(play())


@OBJECTIVES_MS
def test_a_repeat_waits_for_a_pause_to_end_as_a_first_try_does(objective_ms):
    """Its wait counted from the arrival of the request, so that it was given up at once."""

    async def play():
        async with small_world(desks=2, pools=0) as world:
            await configure(world, objective_ms, maxAttempts=2)
            request, _, other = await send_to_a_losing_server(world)
            entries = world.routers[0]._control_state.directory.usable_by_name("desk")
            until_ms = clock_ms() + 400.0
            world.routers[0]._control_state.directory.mark_paused(entries[other.instance], until_ms)
            other.gap_s = 0.0
            other.faults = BackendFaults()
            status, took_s = await request
            assert status == 200
            assert 0.6 < took_s < 1.2

    asyncio.run(play())


def test_a_caller_that_leaves_as_its_route_is_removed_does_not_stop_the_queue():
    """Ending the wait of a request that is already cancelled raised an error."""

    async def play():
        async with small_world(desks=0, pools=0) as world:
            await add_limited(world, "desk-0", gap_s=0.5)
            await configure(world, 1_000)
            busy = [asyncio.create_task(world.call("/book/0")) for _ in range(8)]
            await asyncio.sleep(0.1)
            leave = await send_all(world, "/look/1", 1)
            staying = asyncio.create_task(timed_call(world, "/book/2"))
            await asyncio.sleep(0.1)
            placer = world.routers[0]._request_handler._request_placer
            (gone,) = [one for one in placer._waiters.values() if "look" in one.request.call.target]
            routes = [one for one in configuration()["routes"] if one["name"] != "look"]
            world.configure(version=3, routes=routes)
            gone.future.cancel()
            placer._look()
            await asyncio.sleep(0.3)
            leave()
            assert (await staying)[0] == 200
            await asyncio.gather(*busy)

    asyncio.run(play())
