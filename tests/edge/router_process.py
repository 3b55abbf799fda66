"""Runs a router as a separate process.

`router_process.py STORE CALLERS PROBES PEERS METRICS [DESCRIPTORS]`
"""

import asyncio
import contextlib
import resource
import signal
import sys
from pathlib import Path

from edge_world import FAST, HOST, SETTINGS, evolve, free_port

from cicadaledge.edge import BoundSettings, run_edge_router
from cicadaledge.errors import BackendError
from cicadaledge.platform import (
    ControlTopic,
    MemberTopic,
    PlatformHeaderCodec,
    ServerTopic,
    StoreClient,
)
from cicadaledge.settings import Address
from cicadaledge.store import StoreTopics

NAME = "router-9"
# Callers wait no longer for their connection to be accepted, or for their request to be read.
CALLER_TIMEOUT_S = 1.0


@contextlib.asynccontextmanager
async def router_process(world, *more):
    """Run a router as a process; yield it with its addresses for callers and probes."""
    ports = [world.store.port, *(free_port() for _ in range(4))]
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        str(Path(__file__)),
        *map(str, [*ports, *more]),
        stdout=asyncio.subprocess.DEVNULL,
    )
    callers, probes = (Address(HOST, port) for port in ports[1:3])
    try:
        await world.until(lambda: is_ready(world, probes), within_s=30.0)
        yield process, callers, probes
    finally:
        process.send_signal(signal.SIGCONT)
        process.kill()
        await process.wait()


async def is_ready(world, probes):
    """Return whether a router process reports that it is ready, without delay."""
    try:
        async with asyncio.timeout(CALLER_TIMEOUT_S):
            return (await world.get(probes, "/cicadaledge/readyz")).status == 200
    except (BackendError, TimeoutError):
        return False


def main():
    ports, descriptors = sys.argv[1:6], int((sys.argv[6:] or ["4096"])[0])
    hard = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
    resource.setrlimit(resource.RLIMIT_NOFILE, (min(descriptors, hard), hard))
    store, callers, probes, peers, metrics = (Address(HOST, int(port)) for port in ports)
    settings = evolve(
        SETTINGS,
        router=NAME,
        store=store,
        callers=callers,
        probes=probes,
        peers=peers,
        metrics=metrics,
        bounds=BoundSettings(grace_ms=1_000),
        timing=FAST,
        descriptors=descriptors,
    )
    client = StoreClient(store.host, store.port)
    members = MemberTopic(client)
    topics = StoreTopics(ControlTopic(client), ServerTopic(client), members, registry=members)
    run_edge_router(settings, PlatformHeaderCodec(), topics)


if __name__ == "__main__":
    main()
