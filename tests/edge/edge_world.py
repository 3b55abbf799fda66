"""Test deployment: store, backend servers and routers in one process, reached over loopback."""

from __future__ import annotations

import asyncio
import contextlib
import functools
import itertools
import socket
from collections.abc import AsyncIterator, Iterator
from typing import Any

from attrs import define, evolve, field

from cicadaledge.edge import (
    BoundSettings,
    EdgeRouter,
    EdgeSettings,
    HttpConnection,
    ResponseHead,
    SheddingSettings,
    SlowReaderSettings,
    TimingSettings,
)
from cicadaledge.errors import BackendError
from cicadaledge.platform import (
    ControlTopic,
    MemberTopic,
    PlatformHeaderCodec,
    RolloutStatusTopic,
    ServerTopic,
    StoreClient,
)
from cicadaledge.rollouts import RolloutSettings
from cicadaledge.routing import ServerEntry, ServerState
from cicadaledge.settings import Address
from cicadaledge.standins import (
    BackendFaults,
    PlatformBackend,
    PlatformStore,
    platform_pool,
    platform_route,
)
from cicadaledge.store import StoreError, StoreTopics

HOST = "127.0.0.1"
KEY = "key-of-banksia"
ZONES = {"zone-a": "north", "zone-b": "south"}
FAST = TimingSettings(
    control_wait_ms=150,
    server_poll_ms=40,
    member_poll_ms=200,
    suspect_wait_ms=150,
    suspect_silence_ms=400.0,
    view_ms=20,
    stop_accept_ms=150,
    lapse_ms=300,
    first_member_pauses_ms=(100.0, 200.0),
    announcement_ms=30.0,
    first_control_pause_ms=50.0,
    first_server_pause_ms=40.0,
    news_silence_ms=400.0,
)
NOWHERE = Address(HOST, 1)
SETTINGS = EdgeSettings(
    "router-0", "zone-a", "north", ZONES, NOWHERE, NOWHERE, NOWHERE, NOWHERE, NOWHERE
)
ENTRY = ServerEntry("desk-0", "desk", "h", 1, "zone-a", ServerState.READY, 6, 0.0, 1_000, 5)
FIRST_PORT = 21_000
PORTS_PER_BLOCK = 200  # a port is used again after some minutes
BLOCKS = 20  # for several runs of the tests at the same time, with several workers each
_ids = itertools.count(1)


@functools.cache
def _reserve_block() -> tuple[socket.socket, Iterator[int]]:
    """Reserve a block of ports against other processes that run tests.

    Returns:
        The socket that holds the reservation while it is open, and the ports, repeated endlessly.
    """
    for first in range(FIRST_PORT, FIRST_PORT + BLOCKS * PORTS_PER_BLOCK, PORTS_PER_BLOCK):
        reservation = socket.socket()
        try:
            reservation.bind((HOST, first))
        except OSError:
            reservation.close()
        else:
            return reservation, itertools.cycle(range(first + 1, first + PORTS_PER_BLOCK))
    raise OSError(f"all {BLOCKS} blocks of ports are reserved by other processes")


def free_port() -> int:
    """Return a port that is not in use.

    The ports lie below the kernel's range for outgoing connections, and each process has reserved
    its own block of them, so that no other process takes a port before it is used.
    """
    for port in _reserve_block()[1]:
        with socket.socket() as one, contextlib.suppress(OSError):
            one.bind((HOST, port))
            return port
    raise AssertionError("the ports repeat endlessly")


def configuration(**changes: Any) -> dict[str, Any]:
    """Return a configuration with the service `desk` and the model pool `pool`."""
    plain: dict[str, Any] = {
        "version": 1,
        "routes": [
            platform_route("book", "desk", "unsafe"),
            platform_route("look", "desk", "safe", maxAttempts=2),
            platform_route("open", "desk", "safe", authExempt=True),
            platform_route("draft", "pool", "streaming"),
            platform_route("chat", "pool", "streaming", maxAttempts=2, streamResume=True),
        ],
        "services": [
            {"name": "desk", "coldStartS": 0, "coldPerS": 0},
            {**platform_pool("pool"), "coldStartS": 3, "coldPerS": 11},
        ],
        "limits": {"maxBodyBytes": 100_000, "tokensPerS": 225_000},
        "tenants": [{"name": "banksia", "apiKeys": [KEY], "allowedRegions": []}],
    }
    return {**plain, **changes}


@define
class Answer:
    """An answer that a caller received, complete or not."""

    status: int
    head: ResponseHead
    body: bytes
    complete: bool = True


class _DisconnectableClient(StoreClient):
    """A store client that can be disconnected from the store."""

    is_cut = False
    cut_topics: frozenset[str] = frozenset()

    async def _request(self, method: str, call: str, query: dict[str, Any], *args: Any) -> Any:
        if self.is_cut or query.get("topic") in self.cut_topics:
            await asyncio.sleep(0.1)
            raise StoreError("the store cannot be reached")
        return await super()._request(method, call, query, *args)


@define
class World:
    """A test deployment: its store, backend servers and routers."""

    store: PlatformStore = field(factory=PlatformStore)
    runners: list[PlatformBackend] = field(factory=list)
    routers: list[EdgeRouter] = field(factory=list)
    settings: list[EdgeSettings] = field(factory=list)
    _tasks: list[asyncio.Task[None]] = field(factory=list)
    _clients: list[_DisconnectableClient] = field(factory=list)

    def configure(self, **changes: Any) -> None:
        """Write a configuration to the store."""
        self.store.put("keyed.op", "config", configuration(**changes))

    async def add_runner(
        self, instance: str, service: str, zone: str = "zone-a", **how: Any
    ) -> PlatformBackend:
        """Start a backend server and write its heartbeat."""
        runner = PlatformBackend(instance, service, zone, **how)
        runner.on_restart = self.write_heartbeat
        await runner.start()
        self.runners.append(runner)
        self.write_heartbeat(runner)
        return runner

    def write_heartbeat(self, runner: PlatformBackend, **how: Any) -> None:
        """Write a server's heartbeat to the store."""
        self.store.put("keyed.servers", runner.instance, runner.heartbeat(**how))

    async def add_router(
        self,
        name: str,
        zone: str = "zone-a",
        timing: TimingSettings = FAST,
        bounds: BoundSettings | None = None,
        descriptors: int = 4_096,
        shedding: SheddingSettings | None = None,
        slow_readers: SlowReaderSettings | None = None,
        cut_topics: frozenset[str] = frozenset(),
        wait_for_list: bool = True,
        rollouts: RolloutSettings | None = None,
    ) -> EdgeRouter:
        """Start a router and wait until it is ready.

        Args:
            cut_topics: Topics of the store that it cannot reach.
            wait_for_list: Wait until it knows the list of routers, too.
        """
        settings = EdgeSettings(
            router=name,
            zone=zone,
            region=ZONES[zone],
            regions_by_zone=dict(ZONES),
            callers=Address(HOST, free_port()),
            probes=Address(HOST, free_port()),
            peers=Address(HOST, free_port()),
            metrics=Address(HOST, free_port()),
            store=Address(HOST, self.store.port),
            descriptors=descriptors,
            bounds=bounds or BoundSettings(grace_ms=3_000),
            timing=timing,
            shedding=shedding or SheddingSettings(),
            rollouts=rollouts or RolloutSettings(),
            slow_readers=slow_readers or SlowReaderSettings(),
        )
        client = _DisconnectableClient(HOST, self.store.port)
        client.cut_topics = cut_topics
        self._clients.append(client)
        members = MemberTopic(client)
        statuses = RolloutStatusTopic(client)
        topics = StoreTopics(ControlTopic(client), ServerTopic(client), members, members, statuses)
        router = EdgeRouter(settings, PlatformHeaderCodec(), topics)
        self.routers.append(router)
        self.settings.append(settings)
        self._tasks.append(asyncio.create_task(router.run()))
        number = len(self.routers) - 1

        async def is_started() -> bool:
            knows_list = router._peers.knows_list or not wait_for_list
            return knows_list and await self.is_ready(number)

        await self.until(is_started)
        return router

    async def call_while_first_server_is_faulty(self, target: str) -> Answer:
        """Send a request to a model; once a server runs it, all others lose their faults."""

        async def mend_the_others() -> None:
            while not any(runner.runs for runner in self.runners):
                await asyncio.sleep(0)
            for runner in self.runners:
                if not runner.runs:
                    runner.faults = BackendFaults()

        mending = asyncio.create_task(mend_the_others())
        answer = await self.call(target, model=True)
        await mending
        return answer

    def reconnect_topics(self) -> None:
        """Let all routers reach all topics of the store again."""
        for client in self._clients:
            client.cut_topics = frozenset()

    def cut_from_store(self, router: int) -> None:
        """Make all further calls of a router to the store fail."""
        self._clients[router].is_cut = True

    async def is_ready(self, router: int = 0) -> bool:
        """Return whether a router reports that it is ready."""
        try:
            answer = await self.get(self.settings[router].probes, "/cicadaledge/readyz")
        except BackendError:
            return False
        return answer.status == 200

    async def get(self, address: Address, target: str) -> Answer:
        """Return the answer to a GET request."""
        connection = await HttpConnection.open(address.host, address.port, "peer", 1000)
        try:
            connection.send("GET", target, [(b"Host", b"x")], b"")
            head = await connection.read_head()
            return Answer(head.status, head, await connection.read_body(1_048_576))
        finally:
            connection.abort()

    async def connect(self, router: int = 0) -> HttpConnection:
        """Return a caller's connection to a router."""
        address = self.settings[router].callers
        return await HttpConnection.open(address.host, address.port, "router", 1000)

    async def call(
        self,
        target: str,
        *,
        router: int = 0,
        method: str = "POST",
        body: bytes = b"{}",
        key: str | None = KEY,
        headers: dict[str, str] | None = None,
        model: bool = False,
        connection: HttpConnection | None = None,
    ) -> Answer:
        """Send one request and return its answer, complete or not."""
        used = connection or await self.connect(router)
        sent = request_headers(key, model=model, **(headers or {}))
        used.send(method, target, sent, body)
        received = b""
        head = await used.read_head()
        try:
            while (piece := await used.read_chunk()) is not None:
                received += piece
        except BackendError:
            return Answer(head.status, head, received, complete=False)
        finally:
            if connection is None:
                used.abort()
        return Answer(head.status, head, received)

    async def until(self, condition: Any, within_s: float = 5.0) -> None:
        """Wait until an asynchronous condition holds."""
        async with asyncio.timeout(within_s):
            while not await condition():
                await asyncio.sleep(0.02)

    async def stop(self) -> None:
        """Stop routers, backend servers and store."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for runner in self.runners:
            await runner.stop()
        await self.store.stop()


def request_headers(
    key: str | None = KEY, *, model: bool = False, **more: str
) -> list[tuple[bytes, bytes]]:
    """Return a caller's headers with a new request id."""
    named = {"Host": "site.example", "Attempt-Id": f"request-{next(_ids)}", "Deadline-Ms": "2000"}
    if key is not None:
        named["Authorization"] = f"Token {key}"
    if model:
        named |= {"Model": "m", "Token-Usage": "300,40", "Prompt-Prefix": "aa:200,bb:100"}
    named |= {name.replace("_", "-"): value for name, value in more.items()}
    return [(name.encode(), value.encode()) for name, value in named.items()]


@contextlib.asynccontextmanager
async def small_world(
    *, desks: int = 1, pools: int = 1, routers: int = 1, **how: Any
) -> AsyncIterator[World]:
    """Run a deployment with a few servers."""
    world = World()
    await world.store.start()
    try:
        world.configure()
        for number in range(desks):
            await world.add_runner(f"desk-{number}", "desk")
        for number in range(pools):
            await world.add_runner(f"pool-{number}", "pool")
        for number in range(routers):
            await world.add_router(f"router-{number}", **how)
        yield world
    finally:
        await world.stop()


__all__ = [
    "ENTRY",
    "FAST",
    "KEY",
    "SETTINGS",
    "Answer",
    "World",
    "configuration",
    "evolve",
    "request_headers",
    "small_world",
]
