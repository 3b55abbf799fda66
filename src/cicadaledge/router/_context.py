"""State shared by the components of one router process; used on the control loop only."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from typing import Any, TypeVar

from cicadaledge.config import FleetState, Record
from cicadaledge.errors import LogUnavailableError
from cicadaledge.log import LogClient, LogPage
from cicadaledge.membership import Liveness, Member, rank
from cicadaledge.settings import RouterSettings
from cicadaledge.suspects import SuspectTracker
from cicadaledge.wire import Heartbeat, PeerLinks
from cicadaledge.world import Configuration, ZoneState

T = TypeVar("T")

_LOG_THREADS = 6


def monotonic_ms() -> int:
    """Return the process clock in milliseconds."""
    return time.monotonic_ns() // 1_000_000


def wall_ms() -> int:
    """Return the wall clock in milliseconds since the epoch."""
    return time.time_ns() // 1_000_000


class SwitchableLog:
    """A log client that can be disconnected for failure tests.

    Args:
        inner: The client used while the log is not cut off.
    """

    def __init__(self, inner: LogClient) -> None:
        self.is_cut_off = False
        self._inner = inner

    def append(self, stream: str, data: bytes) -> int:
        """Append one record and return its offset."""
        self._check()
        return self._inner.append(stream, data)

    def read(self, stream: str, from_offset: int, wait_ms: int) -> LogPage:
        """Return records at or after an offset."""
        self._check()
        page = self._inner.read(stream, from_offset, wait_ms)
        self._check()
        return page

    def _check(self) -> None:
        if self.is_cut_off:
            raise LogUnavailableError("the log is cut off by a fault switch")


class RouterContext:
    """Settings, clock, links, fleet state and liveness of one router.

    Args:
        settings: Settings of this process.
        log: Client of the platform's log.
    """

    def __init__(self, settings: RouterSettings, log: SwitchableLog) -> None:
        self.settings = settings
        self.log = log
        self.incarnation = time.time_ns() // 1000
        self.started_ms = monotonic_ms()
        self.state = FleetState()
        self.liveness = Liveness(settings.name, settings.timing)
        self.suspects = SuspectTracker(settings.timing.poison_window_ms)
        self.log_read_ms: int | None = None
        self.leaving = False
        self.links = PeerLinks(
            settings.name,
            self.incarnation,
            settings.fleet_key,
            self._on_message,
            self._on_link_up,
            self._on_link_down,
        )
        self.handlers: dict[type, Callable[[str, Any], None]] = {}
        self.on_record: list[Callable[[Record | None], None]] = []
        self.on_peer_up: list[Callable[[str], None]] = []
        self.on_peer_down: list[Callable[[str], None]] = []
        self.send_heartbeat: Callable[[str], None] = lambda router: None
        self._threads = ThreadPoolExecutor(_LOG_THREADS, thread_name_prefix="platform")
        self._loop: asyncio.AbstractEventLoop | None = None
        self._watch_peers: set[str] | None = None

    @property
    def loop(self) -> asyncio.AbstractEventLoop:
        """The control loop."""
        assert self._loop is not None
        return self._loop

    @property
    def configuration(self) -> Configuration:
        """The current configuration; empty until one is known."""
        return self.state.configuration or Configuration()

    @property
    def is_ready(self) -> bool:
        """Whether the load balancer should send requests here; not while the zone is drained."""
        if self.state.configuration is None or self.leaving:
            return False
        zone = self.state.configuration.zones.get(self.settings.zone)
        return zone is None or zone.state is ZoneState.IN

    def bind_loop(self) -> None:
        """Use the running event loop as the control loop."""
        self._loop = asyncio.get_running_loop()

    def now_ms(self) -> int:
        """Return the process clock in milliseconds."""
        return monotonic_ms()

    async def in_thread(self, function: Callable[..., T], *args: Any) -> T:
        """Run a blocking call of the platform in a worker thread."""
        return await self.loop.run_in_executor(self._threads, function, *args)

    def renew_incarnation(self) -> None:
        """Become a new incarnation; peers drop their removal votes against the old one."""
        self.incarnation = time.time_ns() // 1000
        self.links.change_incarnation(self.incarnation)

    def close(self) -> None:
        """Stop the worker threads."""
        self._threads.shutdown(wait=False, cancel_futures=True)

    def send(self, router: str, message: Any) -> bool:
        """Send a message to a router, which may be this one."""
        if router == self.settings.name:
            self.loop.call_soon(self._deliver, router, message)
            return True
        if not isinstance(message, Heartbeat):
            self.liveness.record_activity(router, self.now_ms())
        return self.links.send(router, message)

    def notify_record(self, record: Record | None) -> None:
        """Notify the components that the fleet state has changed.

        Args:
            record: The applied record, or None if the whole state was replaced.
        """
        self._watch_peers = None
        for callback in self.on_record:
            callback(record)

    def echo(self, router: str) -> tuple[int, int] | None:
        """Return a router's latest time stamp, on that router's clock, and its age here.

        Calling this marks the router as near: heartbeats to it switch to the short interval.
        """
        now_ms = self.now_ms()
        if router == self.settings.name:
            return now_ms, 0
        if not self.liveness.is_active(router, now_ms):
            self.liveness.record_activity(router, now_ms)
            self.send_heartbeat(router)
        age_ms = self.liveness.echo_age_ms(router, now_ms)
        if age_ms is None:
            return None
        return self.liveness.echo_ms(router), age_ms

    def is_live(self, router: str) -> bool:
        """Return whether a router responds and is not leaving the fleet."""
        if router == self.settings.name:
            return not self.leaving
        return self.liveness.is_live(router, self.now_ms())

    def coordinator_of(self, pool: str, zone: str) -> str | None:
        """Return the coordinator of a pool in a zone, as seen by this router."""
        live = [member for member in self.state.members.by_name.values() if self._is_up(member)]
        candidates = [member for member in live if member.zone == zone]
        if not candidates:
            region = self.configuration.region_of(zone)
            candidates = [member for member in live if member.region == region]
        names = [member.router for member in candidates or live]
        return rank(f"{pool}/{zone}", names)[0] if names else None

    def home_of(self, server_name: str) -> str | None:
        """Return the home router of a backend server, or None."""
        server = self.configuration.servers.get(server_name)
        if server is None:
            return None
        region = self.configuration.region_of(server.zone)
        return self.state.members.home_of(server_name, region)

    def queue_zone(self, pool: str) -> str | None:
        """Return the zone whose coordinator queues this router's requests."""
        configuration = self.configuration
        zones = {
            server.zone
            for server in configuration.servers.values()
            if server.pool == pool and configuration.takes_work(server.name)
        }
        if self.settings.zone in zones:
            return self.settings.zone
        near = [zone for zone in zones if configuration.region_of(zone) == self.settings.region]
        ranked = rank(f"{self.settings.name}/{pool}", near or zones)
        return ranked[0] if ranked else None

    def is_near(self, peer: str) -> bool:
        """Return whether a peer gets heartbeats at the short interval.

        These are this router's witnesses, the members it is a witness of, and peers with
        which it has recently exchanged messages other than heartbeats.
        """
        if self.liveness.is_active(peer, self.now_ms()):
            return True
        if self._watch_peers is None:
            self._watch_peers = self._find_watch_peers()
        return peer in self._watch_peers

    def has_home_rights(self) -> bool:
        """Return whether this router may lease slots now."""
        return self.liveness.has_home_rights(self.state.members, self.now_ms())

    def _find_watch_peers(self) -> set[str]:
        """Return the witnesses of this router and the members it is a witness of."""
        name = self.settings.name
        members = self.state.members
        watching = {one.router for one in members.witnesses_of(name)}
        for member in members.of_region(self.settings.region):
            if any(one.router == name for one in members.witnesses_of(member.router)):
                watching.add(member.router)
        return watching

    def _is_up(self, member: Member) -> bool:
        return self.is_live(member.router)

    def _deliver(self, peer: str, message: Any) -> None:
        handler = self.handlers.get(type(message))
        if handler is not None:
            handler(peer, message)

    def _on_message(self, peer: str, message: Any) -> None:
        self.liveness.on_message(peer, self.now_ms())
        if not isinstance(message, Heartbeat):
            self.liveness.record_activity(peer, self.now_ms())
        self._deliver(peer, message)

    def _on_link_up(self, peer: str, incarnation: int) -> None:
        self.liveness.on_link_up(peer, incarnation, self.now_ms())
        for callback in self.on_peer_up:
            callback(peer)

    def _on_link_down(self, peer: str) -> None:
        self.liveness.on_link_down(peer)
        for callback in self.on_peer_down:
            callback(peer)
