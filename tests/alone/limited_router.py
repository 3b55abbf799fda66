"""Runs a router process that reads its memory and descriptor limits from its settings file."""

import asyncio
import contextlib
import os
import resource
import sys
from pathlib import Path

import psutil
from attrs import define, evolve, field
from edge_world import FAST, HOST, ZONES, free_port, request_headers, small_world

from cicadaledge.edge import BoundSettings, HttpConnection, run_edge_router
from cicadaledge.errors import BackendError
from cicadaledge.platform import (
    ControlTopic,
    MemberTopic,
    PlatformHeaderCodec,
    ServerTopic,
    StoreClient,
    load_edge_settings,
)
from cicadaledge.settings import Address
from cicadaledge.standins import NODE_FILE_VARIABLE, NodeFile
from cicadaledge.store import StoreTopics

MEGABYTE = 1_048_576
# Memory of the VM in these tests, in MiB. It is below that of the smallest VM, so that a small
# crowd shows a missing bound; a router without callers takes about 65 MiB.
MEMORY_MB = 100
BODY_BYTES = 4_194_304
# A caller tries again after a refusal, which is allowed, for this long in all.
_TRIES_S = 20.0
_SAMPLE_S = 0.02
# A router has taken what was sent once it uses less than this part of a core, or after this long.
_CALM_RATIO = 0.25
_CALM_SAMPLE_S = 0.2
_CALM_SAMPLES = 20


@define
class LimitedRouter:
    """A router process and what it used.

    Args:
        node: Its settings file.
        process: The process.
        highest_bytes: Highest resident memory that was sampled.
        highest_descriptors: Most open descriptors that were sampled.
    """

    node: NodeFile
    process: asyncio.subprocess.Process
    highest_bytes: int = 0
    highest_descriptors: int = 0
    _used: psutil.Process = field(init=False)

    @_used.default
    def _find_process(self):
        return psutil.Process(self.process.pid)

    async def sample(self):
        """Sample memory and descriptors until cancelled."""
        while True:
            self.highest_bytes = max(self.highest_bytes, self._used.memory_info().rss)
            self.highest_descriptors = max(self.highest_descriptors, self._used.num_fds())
            await asyncio.sleep(_SAMPLE_S)

    @property
    def metrics(self):
        """Address of the metrics."""
        return Address(HOST, self.node.peers.port + 1)

    async def take_what_was_sent(self):
        """Wait until the process has read what the kernel holds for it."""
        for _ in range(_CALM_SAMPLES):
            before_s = sum(self._used.cpu_times()[:2])
            await asyncio.sleep(_CALM_SAMPLE_S)
            if sum(self._used.cpu_times()[:2]) - before_s < _CALM_RATIO * _CALM_SAMPLE_S:
                return

    async def answers_an_ordinary_request(self, size=20_000):
        """Return whether an ordinary request gets its answer within some tries."""
        headers = request_headers(Deadline_Ms="10000")
        return await self._is_answered(
            self.node.callers, "POST", "/look/sound", headers, b"x" * size
        )

    async def answers_a_probe(self, address, target):
        """Return whether a readiness probe or a read of the metrics gets status 200."""
        return await self._is_answered(address, "GET", target, [(b"Host", b"x")], b"")

    async def _is_answered(self, address, method, target, headers, body):
        """Return whether a request gets status 200, trying again after refusals."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(_TRIES_S):
                while True:
                    status = await _status(address, method, target, headers, body)
                    if status == 200:
                        return True
                    assert status in (0, 408, 429, 503)
                    await asyncio.sleep(0.1)
        return False


async def _status(address, method, target, headers, body):
    """Return the status of an answer, or 0 if there was none."""
    try:
        connection = await HttpConnection.open(address.host, address.port, "router", 3_000)
    except BackendError:
        return 0
    try:
        connection.send(method, target, headers, body)
        head = await connection.read_head()
        await connection.read_body(MEGABYTE)
        return head.status
    except BackendError:
        return 0
    finally:
        connection.abort()


@contextlib.asynccontextmanager
async def limited_router(tmp_path, memory_mb=MEMORY_MB, descriptors=4_096, **limits):
    """Run a router process, a store and a server; yield the router when it is ready."""
    async with small_world(pools=0, routers=0) as world:
        world.configure(limits={"maxBodyBytes": BODY_BYTES, "tokensPerS": 225_000, **limits})
        peers, following = free_port(), free_port()
        while following != peers + 1:  # metrics are served at the next port
            peers, following = following, free_port()
        addresses = [Address(HOST, free_port()) for _ in range(2)]
        node = NodeFile(
            "router-9",
            "zone-a",
            ZONES,
            callers=addresses[0],
            probes=addresses[1],
            peers=Address(HOST, peers),
            store=Address(HOST, world.store.port),
            bounds=BoundSettings(grace_ms=1_000),
            memory_mb=memory_mb,
            descriptors=descriptors,
        )
        path = tmp_path / "node.toml"
        path.write_text(node.text())
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            str(Path(__file__)),
            stdout=(tmp_path / "router.log").open("wb"),
            env={**os.environ, NODE_FILE_VARIABLE: str(path)},
        )
        router = LimitedRouter(node, process)
        sampling = asyncio.create_task(router.sample())
        try:
            assert await router.answers_a_probe(node.probes, "/cicadaledge/readyz")
            yield router
        finally:
            sampling.cancel()
            if process.returncode is None:
                process.kill()
            await process.wait()


def main():
    settings = evolve(load_edge_settings(), timing=FAST)
    hard = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
    resource.setrlimit(resource.RLIMIT_NOFILE, (min(settings.descriptors, hard), hard))
    client = StoreClient(settings.store.host, settings.store.port)
    members = MemberTopic(client)
    topics = StoreTopics(ControlTopic(client), ServerTopic(client), members, registry=members)
    run_edge_router(settings, PlatformHeaderCodec(), topics)


if __name__ == "__main__":
    main()
