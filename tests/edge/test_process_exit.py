"""A router process exits cleanly even if it aborts requests."""

import asyncio
import contextlib
import json
import signal
import sys
from pathlib import Path

from edge_world import HOST, free_port, request_headers, small_world

from cicadaledge.edge import HttpConnection
from cicadaledge.errors import BackendError
from cicadaledge.settings import Address
from cicadaledge.standins import platform_route

PROGRAM = Path(__file__).with_name("router_process.py")


async def check(world, process, ports):
    """Stop a process with two running requests, and check its output."""
    written = asyncio.create_task(process.communicate())

    async def ready():
        linked = all("router-9" in router._peers.links.peers() for router in world.routers)
        try:
            answer = await world.get(Address(HOST, ports[2]), "/cicadaledge/readyz")
        except BackendError:
            return False
        return linked and answer.status == 200

    await world.until(ready, within_s=30.0)
    callers = [await HttpConnection.open(HOST, ports[1], "router-9", 1000) for _ in "ab"]
    for caller in callers:
        headers = request_headers(Deadline_Ms="30000")
        caller.send("POST", "/book/1", headers, b"{}")

    async def running():
        return len(world.runners[0].runs) == len(callers)

    await world.until(running)
    process.send_signal(signal.SIGTERM)
    output, errors = await asyncio.wait_for(written, 10.0)
    lines = [json.loads(line) for line in output.splitlines()]
    assert errors == b""
    assert process.returncode == 0
    messages = [line["message"] for line in lines]
    assert (
        messages.count("request: Shutdown aborts a request before its response is complete.") == 2
    )
    assert (
        messages.count("peers: Link to the peer has ended; its load view is discarded.")
        == messages.count("peers: Peer is linked.")
        >= 2
    )
    assert messages[-1] == "router: Router has stopped."
    assert lines[-1]["broken_off"] == 2


def test_a_router_that_aborts_requests_exits_without_tracebacks_and_logs_it():
    """Tasks cancelled with the event loop print tracebacks, and their log lines are lost."""

    async def play():
        async with small_world(routers=0) as world:
            route = platform_route("book", "desk", "unsafe", timeoutMs=30_000)
            world.configure(routes=[route])
            world.runners[0].gap_s = 30.0
            for name in ("router-1", "router-2"):
                await world.add_router(name)
            ports = [world.store.port, *(free_port() for _ in range(4))]
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                str(PROGRAM),
                *map(str, ports),
                stdout=asyncio.subprocess.PIPE,
                stderr=asyncio.subprocess.PIPE,
            )
            try:
                await check(world, process, ports)
            finally:
                with contextlib.suppress(ProcessLookupError):
                    process.kill()

    asyncio.run(play())
