"""Callers that read slowly or not at all, and what the router holds for them."""

import asyncio
import contextlib
import socket

import pytest
from edge_world import configuration, request_headers, small_world

from cicadaledge.edge import SlowReaderSettings, _channel
from cicadaledge.standins import BackendFaults

HEAD = (
    b"HTTP/1.1 200 OK\r\nAttempt-Id: mine\r\nResponse-Seal: s\r\n"
    b"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
)
EVENT = b"data: " + b"x" * 8_184 + b"\n\n"
ENDLESS = BackendFaults(raw=HEAD, endless=b"%x\r\n%b\r\n" % (len(EVENT), EVENT))
KILOBYTE = 1_024
STALLED_MS = 600.0
STREAM = "/draft/1"
PLAIN = "/look/1"


@pytest.fixture(autouse=True)
def patient_servers(monkeypatch):
    """Keep the stand-ins' kernel from cutting unread answers, which would hide what routers do."""
    monkeypatch.setattr(_channel, "_USER_TIMEOUT_MS", 60_000)


@contextlib.asynccontextmanager
async def slow_world(stalled_ms, **how):
    """Run a deployment whose servers send without end, to requests that may take long."""
    async with small_world(slow_readers=SlowReaderSettings(stalled_ms), **how) as world:
        plain = configuration(version=2)
        for route in plain["routes"]:
            route["timeoutMs"] = 30_000
        world.store.put("keyed.op", "config", plain)
        await asyncio.sleep(0.4)
        for runner in world.runners:
            runner.faults = ENDLESS
        yield world


async def ask(world, target):
    """Send a request and return the socket, from which nothing is read yet."""
    loop = asyncio.get_running_loop()
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4 * KILOBYTE)
    sock.setblocking(False)
    await loop.sock_connect(sock, ("127.0.0.1", world.settings[0].callers.port))
    model = {"Model": "m", "Token-Usage": "300,40"} if target == STREAM else {}
    named = request_headers(**{"Attempt-Id": "mine", "Deadline-Ms": "25000", **model})
    lines = [f"POST {target} HTTP/1.1".encode(), *(b"%b: %b" % one for one in named)]
    await loop.sock_sendall(sock, b"\r\n".join([*lines, b"Content-Length: 2", b"", b"{}"]))
    return sock


def runs(world):
    return [run for runner in world.runners for run in runner.runs]


@pytest.mark.parametrize("target", [STREAM, PLAIN])
def test_a_caller_that_reads_nothing_is_disconnected_and_frees_its_server(target):
    """It kept its server's slot until the server cut the answer off."""

    async def play():
        async with slow_world(STALLED_MS) as world:
            with await ask(world, target):

                async def has_ended():
                    return bool(runs(world)) and runs(world)[0].ended_ms is not None

                await world.until(has_ended)
                took_ms = runs(world)[0].ended_ms - runs(world)[0].at_ms
                assert STALLED_MS * 0.9 < took_ms < STALLED_MS + 1_500

    asyncio.run(play())


def test_a_caller_that_reads_a_little_is_not_disconnected():
    """The kernel disconnected callers that read 10 KB a second after four seconds."""

    async def play():
        async with slow_world(STALLED_MS) as world:
            loop = asyncio.get_running_loop()
            with await ask(world, STREAM) as sock:
                for _ in range(50):
                    assert await loop.sock_recv(sock, KILOBYTE)
                    await asyncio.sleep(0.1)
                assert runs(world)[0].ended_ms is None

    asyncio.run(play())


def test_a_caller_that_reads_nothing_holds_back_no_other():
    async def play():
        async with slow_world(20_000.0, desks=2) as world:
            with await ask(world, PLAIN), await ask(world, STREAM):
                await asyncio.sleep(0.5)
                for runner in world.runners:
                    runner.faults = BackendFaults()
                for _ in range(10):
                    assert (await world.call(PLAIN)).status == 200
                    assert (await world.call(STREAM, model=True)).status == 200

    asyncio.run(play())


def test_long_answers_to_many_callers_that_read_nothing_take_bounded_memory(monkeypatch):
    """The start of each, up to 256 KB, stayed in memory beside the limit for all of them."""
    monkeypatch.setattr(_channel, "_SLOW_PEER_SEND_BYTES", 4 * KILOBYTE)  # the rest stays here
    total, callers = 512 * KILOBYTE, 24

    async def play():
        async with slow_world(20_000.0, desks=4) as world:
            router = world.routers[0]
            router._request_handler._buffer_budget.total_bytes = total
            with contextlib.ExitStack() as stack:
                for _ in range(callers):
                    stack.enter_context(await ask(world, PLAIN))
                await asyncio.sleep(2.0)
                assert len(runs(world)) == callers
                channels = [one.channel for one in router._callers]
                held = sum(channel.unsent_bytes for channel in channels)
                assert router._request_handler._buffer_budget.used_bytes <= total
                assert 0 < held <= total + callers * 48 * KILOBYTE

    asyncio.run(play())
