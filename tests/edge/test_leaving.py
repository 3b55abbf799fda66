"""Callers that leave, requests out of time, and routers that stop."""

import asyncio
import socket
import time

from edge_world import configuration, request_headers, small_world

from cicadaledge.edge import EdgeRouter
from cicadaledge.standins import RunnerFaults, platform_route


def test_a_server_stops_working_when_the_caller_leaves():
    async def play():
        async with small_world() as world:
            world.runners[0].gap_s = 5.0
            connection = await world.connect()
            connection.send("POST", "/book/1", request_headers(), b"{}")

            async def running():
                return len(world.runners[0].runs) == 1

            async def gone():
                return world.runners[0].runs[0].gone

            await world.until(running)
            connection.channel.close()
            await world.until(gone, within_s=0.5)

    asyncio.run(play())


def test_a_request_whose_caller_has_left_before_it_was_read_is_not_sent():
    """Connections can wait for long to be accepted."""

    async def play():
        async with small_world() as world:
            for _ in range(10):
                # Leaves a connection to the server that could be used at once.
                assert (await world.call("/book/1")).status == 200
                connection = await world.connect()
                connection.send("POST", "/book/2", request_headers(), b"{}")
                connection.channel.close()
                await asyncio.sleep(0.05)
            assert {run.target for run in world.runners[0].runs} == {"/book/1"}

    asyncio.run(play())


def test_a_waiting_request_gets_its_answer_when_its_route_runs_out():
    async def play():
        async with small_world() as world:
            plain = configuration(version=2)
            plain["routes"][0] = platform_route("book", "desk", "unsafe", timeoutMs=300)
            world.store.put("keyed.op", "config", plain)
            world.runners[0].faults = RunnerFaults(silent=True)
            await asyncio.sleep(0.4)
            loop = asyncio.get_running_loop()
            started = loop.time()
            answer = await world.call("/book/1")
            assert answer.status == 504
            assert 0.25 < loop.time() - started < 0.8
            run = world.runners[0].runs[0]
            assert int(run.headers["deadline-ms"]) <= 300
            await asyncio.sleep(0.1)
            assert run.gone

    asyncio.run(play())


def test_a_stop_cuts_no_request():
    async def play():
        async with small_world() as world:
            world.runners[0].gap_s = 0.8
            router: EdgeRouter = world.routers[0]
            requests = [asyncio.create_task(world.call(f"/book/{n}")) for n in range(5)]
            await asyncio.sleep(0.1)
            router.stop()
            assert not await world.is_ready()
            late = await world.call("/book/9")
            answers = await asyncio.gather(*requests)
            assert [answer.status for answer in answers] == [200] * 5
            assert late.status == 200
            assert late.head.get(b"Connection") == "close"

    asyncio.run(play())


def test_a_stopping_router_closes_idle_connections_and_ends():
    async def play():
        async with small_world() as world:
            connection = await world.connect()
            assert (await world.call("/book/1", connection=connection)).status == 200
            world.routers[0].stop()
            await asyncio.wait_for(world._tasks[0], 2.0)
            await asyncio.sleep(0.05)
            assert connection.channel.gone

    asyncio.run(play())


def test_a_stopping_router_ends_only_when_its_last_bytes_are_sent():
    """Bytes that wait for a slow caller are lost with the process."""

    async def play():
        async with small_world() as world:
            router = world.routers[0]
            world.runners[1].event = lambda run, number: b"id: %d\n\n" % number + b":" * 4_000_000
            connection = await world.connect()
            await world.call("/book/1", connection=connection)
            assert connection.finish()
            (accepted,) = router._callers._connections
            accepted.channel.transport.set_write_buffer_limits(high=64_000_000)
            connection.channel.transport.pause_reading()
            router.stop()
            await asyncio.sleep(0)
            connection.send("POST", "/draft/1", request_headers(model=True), b"{}")
            await asyncio.sleep(1.0)
            assert router._desk.active == 0
            assert not world._tasks[0].done()
            connection.channel.transport.resume_reading()
            await connection.head()
            assert len(await connection.body(32 * 1_048_576)) > 16_000_000
            await asyncio.wait_for(world._tasks[0], 2.0)

    asyncio.run(play())


def test_a_stopping_router_answers_requests_that_wait_to_be_accepted():
    """A leaving router reset the connections that a busy loop had not accepted yet."""

    async def play():
        async with small_world() as world:
            router = world.routers[0]
            address = world.settings[0].callers
            headers = b"".join(b"%b: %b\r\n" % item for item in request_headers())
            request = b"GET /look/1 HTTP/1.1\r\n" + headers + b"\r\n"
            router.stop()
            async with asyncio.timeout(2.0):
                while not router._desk.closing:
                    await asyncio.sleep(0.01)
            await asyncio.sleep(0.1)
            socks = [socket.create_connection((address.host, address.port)) for _ in range(40)]
            for sock in socks:
                sock.settimeout(2.0)
                sock.sendall(request)
            time.sleep(0.1)
            answers = [(await asyncio.to_thread(sock.recv, 4_096))[:12] for sock in socks]
            assert set(answers) <= {b"HTTP/1.1 200", b"HTTP/1.1 503"}
            await asyncio.wait_for(world._tasks[0], 2.5)
            for sock in socks:
                sock.close()

    asyncio.run(play())
