"""Runs routers as processes against stand-ins of the store and of backend servers."""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Iterator
from pathlib import Path
from typing import Any

from attrs import define, field, frozen

from cicadaledge.edge import HttpConnection, clock_ms
from cicadaledge.errors import BackendError
from cicadaledge.rollouts import RolloutSettings
from cicadaledge.settings import Address
from cicadaledge.soak._backend import SoakBackend
from cicadaledge.soak._fatal_requests import CRASH_MARKER, CRASH_PART
from cicadaledge.soak._observations import ROUTE_TIMEOUT_MS, Observations, SoakBounds
from cicadaledge.soak._ports import first_of_adjacent, free_ports, reserve_ports
from cicadaledge.soak._proxy import FaultProxy
from cicadaledge.soak._server_signals import ServerRecord
from cicadaledge.standins import (
    NODE_FILE_VARIABLE,
    READY_PATH,
    NodeFile,
    PlatformStore,
    platform_account,
    platform_pool,
    platform_route,
)

_HOST = "127.0.0.1"
# Routers listen from this port on, which is below the ephemeral ports that the kernel assigns to
# outgoing connections.
_FIRST_PORT = 25_000
_PORTS_PER_ROUTER = 4
# Routers that are not ready this long after their start fail the round. On an idle machine, a
# process starts within a second.
_READY_TIMEOUT_S = 20.0
_POLL_S = 0.05
# Time that routers wait for a processor extends the limits on their start by at most this much. A
# machine on which they wait longer cannot run a meaningful round.
_MAX_CPU_WAIT_S = 40.0
_HEARTBEAT_S = 0.6
_VERSION = "v1"  # Servers have this version, unless a rollout has started them.
_CALLER_TIMEOUT_S = 1.0
# Warm servers may get this multiple of what cold ones can serve, which is more than the callers send.
_COLD_OVERAGE = 24.0
# This does the same as deploy/router.py, which is not installed with the package.
_ROUTER_PROGRAM = (
    "import signal; signal.signal(signal.SIGHUP, signal.SIG_IGN);"
    "from cicadaledge.platform import main; main()"
)
_OK = 200
# Routers close connections that are idle for this long. It is short, so that requests meet expiring
# connections within a round of a few seconds.
IDLE_TIMEOUT_MS = 1_000
KEYS = ("key-of-banksia", "key-of-wattle", "key-of-waratah")
ACCOUNTS = dict(zip(KEYS, ("banksia", "wattle", "waratah"), strict=True))


@frozen
class SoakSize:
    """Size of the deployment of a round.

    Args:
        zones: Number of availability zones, each in a region of its own.
        first_port: First port of the routers.
    """

    zones: int = 3
    routers_per_zone: int = 2
    pools: int = 3
    plain_servers: int = 3
    callers: int = 16
    first_port: int = _FIRST_PORT

    @property
    def regions_by_zone(self) -> dict[str, str]:
        """Region by zone."""
        return {f"zone-{index}": f"region-{index}" for index in range(self.zones)}


@define
class SoakServer:
    """A backend server and the proxy whose address is in the server's entry.

    Args:
        is_initial: Whether the deployment began with it; faults are drawn among these servers.
    """

    name: str
    backend: SoakBackend
    proxy: FaultProxy
    is_alive: bool = True
    draining: bool = False
    has_entry: bool = True
    cold_until_ms: float = 0.0
    is_initial: bool = True


@define
class RouterProcess:
    """A router process and its proxies to the store and from peers.

    Args:
        started_s: Last start of the process, on the monotonic clock.
    """

    name: str
    zone: str
    callers: Address
    probes: Address
    settings_path: Path
    store_link: FaultProxy
    peer_link: FaultProxy
    process: subprocess.Popen[bytes] | None = None
    started_s: float = 0.0

    def cpu_times(self) -> tuple[float, float] | None:
        """Return seconds that the process ran and waited for a processor; None if it ended."""
        if self.process is None or self.process.poll() is not None:
            return None
        try:
            cpu_times = Path(f"/proc/{self.process.pid}/schedstat").read_text().split()
        except OSError:
            return None  # The process has ended in the meantime.
        return int(cpu_times[0]) / 1e9, int(cpu_times[1]) / 1e9

    def describe_cpu_times(self) -> str:
        """Return a text on the process's age, running time and wait for a processor."""
        age = f"started {time.monotonic() - self.started_s:.1f} s ago"
        cpu_times = self.cpu_times()
        if cpu_times is None:
            return f"{age}, not running"
        return f"{age}, ran {cpu_times[0]:.1f} s, waited {cpu_times[1]:.1f} s for a processor"

    def signal(self, number: int) -> None:
        """Send a signal to the process if it is running."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)


@define
class SoakWorld:
    """The deployment of one round: store, backend servers and routers.

    Args:
        directory: Directory for the routers' settings and logs.
        cold_per_s: Requests per second that cold servers can serve; 0 for no limit.
        rollouts: Settings of rollouts.
        orders: Version and duration of the ordered rollouts by service.
        versions: Version by service after a completed rollout; servers restart with it.
    """

    size: SoakSize
    directory: Path
    observations: Observations = field(factory=lambda: Observations(SoakBounds(), ACCOUNTS))
    store: PlatformStore = field(factory=PlatformStore)
    servers: dict[str, SoakServer] = field(factory=dict)
    routers: dict[str, RouterProcess] = field(factory=dict)
    version: int = 0
    routed_service: str = "desk"
    keys: list[str] = field(factory=lambda: list(KEYS))
    cold_per_s: float = 0.0
    rollouts: RolloutSettings = RolloutSettings()
    orders: dict[str, tuple[str, float]] = field(factory=dict)
    versions: dict[str, str] = field(factory=dict)
    evacuated: set[str] = field(factory=set)
    _tasks: list[asyncio.Task[None]] = field(factory=list)
    _port_reservations: list[socket.socket] = field(factory=list)

    @contextlib.asynccontextmanager
    async def running(self) -> Any:
        """Run the deployment within the context."""
        self.directory.mkdir(parents=True, exist_ok=True)
        await self.store.start()
        self.configure()
        zones = list(self.size.regions_by_zone)
        for index in range(self.size.pools):
            await self.add_server(f"pool-{index}", "pool", zones[index % len(zones)])
        for index in range(self.size.plain_servers):
            await self.add_server(f"desk-{index}", "desk", zones[index % len(zones)])
            await self.add_server(f"till-{index}", "till", zones[index % len(zones)])
        self._tasks.append(asyncio.create_task(self._write_heartbeats()))
        try:
            await self._add_routers(zones)
            yield self
        finally:
            await self._stop()

    def _mirror_crashes(self, server: SoakServer) -> None:
        """Make a server's proxy refuse connections while a crashing request has the server down."""
        server.backend.crash_marker = CRASH_MARKER
        server.backend.crash_parts = frozenset([CRASH_PART])
        server.backend.on_crash = lambda _: self._handle_crash(server)
        server.backend.on_restart = lambda _: self._handle_restart(server)

    def _handle_crash(self, server: SoakServer) -> None:
        server.proxy.refuse_connections()
        # Signals in answers hold for one incarnation only, so each incarnation has its own record.
        self.collect_runs(server)

    def _handle_restart(self, server: SoakServer) -> None:
        async def listen() -> None:
            await server.proxy.start(server.proxy.port)
            self.write_entry(server)

        self._tasks.append(asyncio.create_task(listen()))

    def configure(self) -> None:
        """Write the next version of the configuration."""
        self.version += 1
        self.store.put_configuration(self._configuration())

    def evacuate(self, zone: str, *, evacuated: bool) -> None:
        """Evacuate an availability zone, or restore it."""
        (self.evacuated.add if evacuated else self.evacuated.discard)(zone)
        self.store.put_evacuation(zone, evacuated=evacuated)

    def order_rollout(self, service: str, to: str, duration_s: float) -> None:
        """Order a rollout."""
        self.orders[service] = (to, duration_s)
        self.store.put_order(service, to, duration_s)

    def write_again(self) -> None:
        """Write all that a restored store may have lost, as the operator and the servers do."""
        self.store.put_configuration(self._configuration())
        for service, order in self.orders.items():
            self.store.put_order(service, *order)
        for zone in self.size.regions_by_zone:
            self.store.put_evacuation(zone, evacuated=zone in self.evacuated)
        for server in self.servers.values():
            if not server.has_entry:
                self.store.put_server(server.name, None)
            elif server.is_alive and not server.backend.is_down:
                self.write_entry(server)

    def _configuration(self) -> dict[str, Any]:
        service = self.routed_service
        limit = {"timeoutMs": ROUTE_TIMEOUT_MS}
        return {
            "version": self.version,
            "routes": [
                platform_route("book", service, "unsafe", **limit),
                platform_route("look", service, "safe", maxAttempts=2, **limit),
                platform_route("draft", "pool", "streaming", **limit),
                platform_route(
                    "chat", "pool", "streaming", maxAttempts=2, streamResume=True, **limit
                ),
            ],
            "services": [
                {**service, "coldPerS": self.cold_per_s, "coldStartS": 3}
                for service in ({"name": "desk"}, {"name": "till"}, platform_pool("pool"))
            ],
            "limits": {
                "maxBodyBytes": 100_000,
                "idleTimeoutMs": IDLE_TIMEOUT_MS,
                "tokensPerS": 0,
            },
            "tenants": [platform_account(ACCOUNTS[key], [key]) for key in self.keys],
        }

    async def add_server(
        self, name: str, service: str, zone: str, version: str = _VERSION
    ) -> SoakServer:
        """Start a backend server behind a proxy and write its entry to the store."""
        backend = SoakBackend(name, service, zone, version)
        await backend.start_now()
        proxy = FaultProxy(Address(_HOST, backend.port))
        await proxy.start()
        server = SoakServer(name, backend, proxy, is_initial=version == _VERSION)
        self.servers[name] = server
        self._mirror_crashes(server)
        self.write_entry(server)
        return server

    def write_entry(self, server: SoakServer) -> None:
        """Write the entry of a server to the store."""
        cold_ms = round(max(0.0, server.cold_until_ms - clock_ms()))
        entry = server.backend.heartbeat("draining" if server.draining else "ready", cold_ms)
        entry["address"] = f"{_HOST}:{server.proxy.port}"
        self.store.put_server(server.name, entry)

    async def restart_server(self, server: SoakServer) -> None:
        """Restart a stopped server as a new incarnation under the same name."""
        self.collect_runs(server)
        previous = server.backend
        version = self.versions.get(previous.service, previous.version)
        restarted = SoakBackend(previous.instance, previous.service, previous.zone, version)
        await restarted.start_now()
        restarted.born_ms = max(restarted.born_ms, previous.born_ms + 1)
        server.proxy.target = Address(_HOST, restarted.port)
        if previous.is_down:
            await server.proxy.start(server.proxy.port)
        server.backend = restarted
        self._mirror_crashes(server)
        server.is_alive = server.has_entry = True
        server.draining = False
        self.write_entry(server)

    def collect_runs(self, server: SoakServer) -> None:
        """Move the records of a server's incarnation to the observations."""
        backend = server.backend
        self.observations.runs += [(server.name, run) for run in backend.runs]
        self.observations.records.append(
            ServerRecord(server.name, backend.runs, backend.refusals, backend.resent)
        )
        self.observations.crashes_ms += backend.ended_ms
        backend.runs, backend.refusals, backend.resent, backend.ended_ms = [], [], [], []

    def start_router(self, router: RouterProcess) -> None:
        """Start a router's process, with its output appended to its log file."""
        environment = {**os.environ, NODE_FILE_VARIABLE: str(router.settings_path)}
        log_path = self.directory / f"{router.name}.log"
        router.started_s = time.monotonic()
        with log_path.open("ab") as log:
            router.process = subprocess.Popen(
                [sys.executable, "-c", _ROUTER_PROGRAM],
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
                env=environment,
            )

    async def is_ready(self, router: RouterProcess) -> bool:
        """Return whether the readiness probe of a router succeeds."""
        return not await self._unready_reason(router)

    async def _unready_reason(self, router: RouterProcess) -> str:
        """Return why a router is not ready; an empty string if it is."""
        probes = router.probes
        try:
            connection = await HttpConnection.open(probes.host, probes.port, router.name, 500)
        except BackendError as error:
            return str(error)
        try:
            async with asyncio.timeout(1.0):
                connection.send("GET", READY_PATH, [(b"Host", b"probe")], b"")
                status = (await connection.read_head()).status
                return "" if status == _OK else f"{router.name} answers with {status}"
        except BackendError as error:
            return str(error)
        except TimeoutError:
            return f"{router.name} does not answer"
        finally:
            connection.abort()

    async def unresponsive_routers(self) -> list[str]:
        """Return the routers that report ready but do not answer a new caller."""
        return [
            router.name
            for router in self.routers.values()
            if await self.is_ready(router) and not await self._answers_caller(router)
        ]

    async def _answers_caller(self, router: RouterProcess) -> bool:
        """Return whether a new caller gets any answer within `_CALLER_TIMEOUT_S`."""
        callers = router.callers
        try:
            async with asyncio.timeout(_CALLER_TIMEOUT_S):
                connection = await HttpConnection.open(
                    callers.host, callers.port, router.name, _CALLER_TIMEOUT_S * 1000
                )
                try:
                    connection.send("GET", "/nowhere", [(b"Host", b"soak")], b"")
                    await connection.read_head()
                finally:
                    connection.abort()
        except (BackendError, TimeoutError):
            return False
        return True

    async def wait_until_ready(self, start_within_s: float = _READY_TIMEOUT_S) -> list[str]:
        """Wait until all routers are ready; return why the others are not.

        Time that an unready router waited for a processor of a busy machine extends the limit, by
        up to `_MAX_CPU_WAIT_S`.
        """
        begin_s = time.monotonic()
        waited = {name: router.cpu_times() for name, router in self.routers.items()}
        while True:
            reasons = {
                name: reason
                for name, router in self.routers.items()
                if (reason := await self._unready_reason(router))
            }
            if not reasons:
                return []
            cpu_wait_s = max(self._cpu_wait_s(name, waited[name]) for name in reasons)
            if time.monotonic() - begin_s > start_within_s + min(cpu_wait_s, _MAX_CPU_WAIT_S):
                return [
                    f"{why}; {self.routers[name].describe_cpu_times()}"
                    for name, why in reasons.items()
                ]
            await asyncio.sleep(_POLL_S)

    def _cpu_wait_s(self, name: str, before: tuple[float, float] | None) -> float:
        """Return how long a router has waited for a processor since its CPU times were *before*."""
        now = self.routers[name].cpu_times()
        if now is None:
            return 0.0
        if before is None or now[0] < before[0]:
            return now[1]  # The process was restarted, and its times began at zero.
        return now[1] - before[1]

    async def _add_routers(self, zones: list[str]) -> None:
        routers = len(zones) * self.size.routers_per_zone
        self._port_reservations = reserve_ports(self.size.first_port, routers * _PORTS_PER_ROUTER)
        ports = free_ports(self._port_reservations[0].getsockname()[1] + 1)
        for zone in zones:
            for index in range(self.size.routers_per_zone):
                await self._add_router(f"router-{zone}-{index}", zone, ports)
        for router in self.routers.values():
            self.start_router(router)
        for unready in await self.wait_until_ready():
            self.observations.failures.append(f"start: not ready in time: {unready}")

    async def _add_router(self, name: str, zone: str, ports: Iterator[int]) -> None:
        callers, probes = (Address(_HOST, next(ports)) for _ in range(2))
        peers = Address(_HOST, first_of_adjacent(ports))
        store_link = FaultProxy(Address(_HOST, self.store.port))
        peer_link = FaultProxy(peers)
        await store_link.start()
        await peer_link.start()
        self.store.peer_ports[peers.port] = peer_link.port
        path = self.directory / f"{name}.toml"
        router = RouterProcess(name, zone, callers, probes, path, store_link, peer_link)
        path.write_text(self._node_file(router, peers).text())
        self.routers[name] = router

    def _node_file(self, router: RouterProcess, peers: Address) -> NodeFile:
        bounds = self.observations.bounds
        store = Address(_HOST, router.store_link.port)
        return NodeFile(
            router.name,
            router.zone,
            self.size.regions_by_zone,
            router.callers,
            router.probes,
            peers,
            store,
            bounds.for_routers(),
            _COLD_OVERAGE,
            self.rollouts,
        )

    async def _write_heartbeats(self) -> None:
        """Write the entries of the running servers periodically."""
        while True:
            await asyncio.sleep(_HEARTBEAT_S)
            for server in self.servers.values():
                if server.is_alive and server.has_entry and not server.backend.is_down:
                    self.write_entry(server)

    async def _stop(self) -> None:
        for task in self._tasks:
            task.cancel()
        for router in self.routers.values():
            if router.process is not None and router.process.poll() is None:
                router.signal(signal.SIGCONT)
                router.process.kill()
                router.process.wait()
            await router.store_link.stop()
            await router.peer_link.stop()
        for server in self.servers.values():
            self.collect_runs(server)
            await server.proxy.stop()
            await server.backend.stop()
        await self.store.stop()
        for reservation in self._port_reservations:
            reservation.close()
