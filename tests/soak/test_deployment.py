"""Port reservations and readiness checks of the router processes of one round."""

import asyncio
import signal
import socket
import time

import pytest

from cicadaledge.settings import Address
from cicadaledge.soak import SoakSize, SoakWorld
from cicadaledge.soak._deployment import RouterProcess
from cicadaledge.soak._ports import reserve_ports

FIRST_PORT = 28_900


def test_concurrent_rounds_reserve_disjoint_ports():
    """Guards against routers of one round taking ports of another whose routers are restarting."""
    reservation_lists = [reserve_ports(FIRST_PORT, count) for count in (12, 700, 12)]
    ranges = [
        range(reservations[0].getsockname()[1], reservations[-1].getsockname()[1] + 300)
        for reservations in reservation_lists
    ]
    assert [len(one) for one in ranges] == [300, 900, 300]
    for reservations in reservation_lists:
        for reservation in reservations:
            reservation.close()
    seen = sorted((one.start, one.stop) for one in ranges)
    assert all(before[1] <= after[0] for before, after in zip(seen, seen[1:], strict=False))


@pytest.mark.timeout(60)
def test_an_unready_router_is_reported_with_its_answer_and_its_processor_time(tmp_path):
    async def run():
        size = SoakSize(
            zones=1, routers_per_zone=2, pools=1, plain_servers=1, first_port=FIRST_PORT
        )
        world = SoakWorld(size, tmp_path)
        async with world.running():
            missing = await world.wait_until_ready()
            killed, suspended = world.routers.values()
            killed.process.kill()
            killed.process.wait()
            suspended.signal(signal.SIGSTOP)
            return missing, await world.wait_until_ready(0.1)

    missing, (of_killed, of_suspended) = asyncio.run(run())
    assert missing == []
    assert of_killed.startswith("router-zone-0-0 cannot be reached")
    assert of_killed.endswith("not running")
    assert of_suspended.startswith("router-zone-0-1 does not answer; started ")
    assert " ran " in of_suspended and of_suspended.endswith("s for a processor")


@pytest.mark.timeout(60)
def test_only_the_wait_for_a_processor_lengthens_the_time_to_get_ready(tmp_path, monkeypatch):
    async def run():
        size = SoakSize(
            zones=1, routers_per_zone=1, pools=1, plain_servers=1, first_port=FIRST_PORT
        )
        world = SoakWorld(size, tmp_path)
        async with world.running():
            (router,) = world.routers.values()
            router.signal(signal.SIGSTOP)
            begin_s = time.monotonic()
            stopped = await world.wait_until_ready(1.0)
            stopped_s = time.monotonic() - begin_s
            monkeypatch.setattr(RouterProcess, "cpu_times", lambda _: (0.1, time.monotonic()))
            asyncio.get_running_loop().call_later(2.5, router.signal, signal.SIGCONT)
            return stopped, stopped_s, await world.wait_until_ready(1.0)

    stopped, stopped_s, starved = asyncio.run(run())
    assert len(stopped) == 1
    assert stopped_s < 4.0
    assert starved == []


@pytest.mark.timeout(60)
def test_a_ready_router_that_answers_no_new_caller_is_reported(tmp_path):
    async def run():
        size = SoakSize(
            zones=1, routers_per_zone=2, pools=1, plain_servers=1, first_port=FIRST_PORT
        )
        world = SoakWorld(size, tmp_path)
        async with world.running():
            assert await world.wait_until_ready() == []
            sound = await world.unresponsive_routers()
            unresponsive, _ = world.routers.values()
            with socket.socket() as silent:
                silent.bind((unresponsive.callers.host, 0))
                silent.listen()
                unresponsive.callers = Address(unresponsive.callers.host, silent.getsockname()[1])
                return sound, await world.unresponsive_routers()

    sound, unresponsive = asyncio.run(run())
    assert sound == []
    assert unresponsive == ["router-zone-0-0"]
