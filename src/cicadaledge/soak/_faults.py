"""Faults of a round: drawn by seed, injected from outside, and undone after their duration."""

from __future__ import annotations

import asyncio
import random
import signal
from collections.abc import Awaitable, Callable, Mapping
from typing import Any

from attrs import define, field, frozen

from cicadaledge.edge import clock_ms
from cicadaledge.soak._callers import Callers
from cicadaledge.soak._cold_servers import ColdSpell
from cicadaledge.soak._deployment import RouterProcess, SoakServer, SoakWorld
from cicadaledge.soak._observations import Restriction
from cicadaledge.soak._proxy import FaultProxy
from cicadaledge.soak._rollouts import BAD, BAD_LATER, GOOD, RolloutRecord, roll_out
from cicadaledge.soak._untrusted_clients import send_incomplete_requests
from cicadaledge.standins import CRASH_TOPIC, EXTRA_ANSWER, ROUTER_TOPIC, BackendFaults

_FAULT_COUNTS = (2, 9)
_BUSY_LOOP_COUNTS = (0, 2)
_SERVER_SIGNAL_COUNTS = (0, 3)
_INVALID_ENTRY_COUNTS = (0, 3)
_MISLEADING_ANSWER_COUNTS = (0, 3)
_PARTIAL_OUTAGE_COUNTS = (0, 2)
_RESTORE_COUNTS = (1, 2)
_UNTRUSTED_CLIENT_COUNTS = (0, 2)
_ROLLOUT_COUNTS = (0, 1)
_LATE_REFUSAL_COUNTS = (0, 2)
_PAUSES_S = (0.3, 1.5, 4.0, 10.0)
# Killed processes are started again after this time, as their platform does.
_RESTART_S = 0.2
_COLD_MS = 10_000.0  # Longer than any such fault, which ends the state itself.
# The servers stay cold for this long after the outage, so that routers learn their number meanwhile.
_COLD_AFTERWARDS_S = 1.0
# Routers have read an entry after this time: a heartbeat and the interval between two reads.
_ENTRY_READ_S = 1.5
_MAX_LATE_COPIES = 2  # Routers skip this many late responses.
_REFUSING_S = 0.4  # A server that asks for a pause refuses all requests for this time.
# A slow link delays each chunk of data by this much, which is twice a round trip between regions.
_LINK_DELAY_MS = 120.0
# A storm writes this many versions of the configuration in quick succession.
_STORM_VERSIONS = 6
_EXIT_POLL_S = 0.05
# The store is restored from a copy of this age.
_COPY_AGES_S = (0.2, 1.0, 2.5)
_MAX_AWAY_S = 1.5  # The store is away for a moment; routers use their keys for 4.5 s without it.
_REWRITE_S = 0.4  # The operator and the servers write to a restored store after this time.
# A router that is kept busy is suspended and resumed in turn. The length of each suspension, and of
# each time between two, is drawn from this range.
_BUSY_S = (0.1, 0.4)
# A router that shuts down is kept busy for this long, well past the time for which it accepts
# connections.
_BUSY_STOP_S = 4.0
# Callers open this many connections at once while a router is suspended; its listener's backlog can
# hold more than that.
_BURST_CONNECTIONS = 30


@frozen
class PlannedFault:
    """One fault of a round.

    Args:
        at_s: Time from the start of the faults.
        duration_s: Time until it is undone.
        random_number: Selects the target and the variant.
    """

    kind: str
    at_s: float
    duration_s: float
    random_number: int


def draw_faults(
    seed: int,
    count: int | None,
    start_within_s: float,
    *,
    busy: bool = False,
    server_signals: bool = False,
    invalid_entries: bool = False,
    misleading_answers: bool = False,
    partial_outages: bool = False,
    restores: bool = False,
    untrusted_clients: bool = False,
    rollouts: bool = False,
    late_refusals: bool = False,
) -> list[PlannedFault]:
    """Return the faults of a seed, ordered by time.

    Args:
        count: Number of faults; None draws it. Few faults leave some routers undisturbed, many
            faults overlap.
        busy: Add some of `BUSY_LOOP_KINDS` from a generator of their own, so that the other
            faults of the seed stay the same.
        server_signals: Add some of `SERVER_SIGNAL_KINDS` in the same way.
        invalid_entries: Add some of `INVALID_ENTRY_KINDS` in the same way.
        misleading_answers: Add some of `MISLEADING_ANSWER_KINDS` in the same way.
        partial_outages: Add some of `PARTIAL_OUTAGE_KINDS` in the same way.
        restores: Add at least one of `RESTORE_KINDS` in the same way.
        untrusted_clients: Add some of `UNTRUSTED_CLIENT_KINDS` in the same way.
        rollouts: Add one of `ROLLOUT_KINDS` to half of the rounds in the same way.
        late_refusals: Add some of `LATE_REFUSAL_KINDS` in the same way.
    """
    rng = random.Random(seed)
    if count is None:
        count = rng.randint(*_FAULT_COUNTS)
    faults = [_draw_fault(rng, FAULT_KINDS, start_within_s) for _ in range(count)]
    more = (
        (busy, "busy", _BUSY_LOOP_COUNTS, BUSY_LOOP_KINDS),
        (server_signals, "words", _SERVER_SIGNAL_COUNTS, SERVER_SIGNAL_KINDS),
        (invalid_entries, "entries", _INVALID_ENTRY_COUNTS, INVALID_ENTRY_KINDS),
        (misleading_answers, "answers", _MISLEADING_ANSWER_COUNTS, MISLEADING_ANSWER_KINDS),
        (partial_outages, "outages", _PARTIAL_OUTAGE_COUNTS, PARTIAL_OUTAGE_KINDS),
        (restores, "restores", _RESTORE_COUNTS, RESTORE_KINDS),
        (untrusted_clients, "clients", _UNTRUSTED_CLIENT_COUNTS, UNTRUSTED_CLIENT_KINDS),
        (rollouts, "rollouts", _ROLLOUT_COUNTS, ROLLOUT_KINDS),
        (late_refusals, "late", _LATE_REFUSAL_COUNTS, LATE_REFUSAL_KINDS),
    )
    for is_drawn, name, counts, kinds in more:
        if is_drawn:
            extra_rng = random.Random(f"{seed}/{name}")
            faults += [
                _draw_fault(extra_rng, kinds, start_within_s)
                for _ in range(extra_rng.randint(*counts))
            ]
    return sorted(faults, key=lambda fault: fault.at_s)


def _draw_fault(
    rng: random.Random, kinds: Mapping[str, Any], start_within_s: float
) -> PlannedFault:
    return PlannedFault(
        rng.choice(sorted(kinds)),
        round(rng.uniform(0.0, start_within_s), 2),
        round(rng.uniform(0.3, 4.5), 2),
        rng.randrange(1_000_000),
    )


@define
class FaultInjector:
    """Injects the faults of a round; faults with the same target run one after the other.

    Args:
        world: The running deployment.
        callers: Callers that send bursts of new connections.
        rollouts: Rollouts that have ended.
    """

    world: SoakWorld
    callers: Callers
    rollouts: list[RolloutRecord] = field(factory=list)
    _locks: dict[str, asyncio.Lock] = field(factory=dict)

    async def run(self, faults: list[PlannedFault]) -> None:
        """Inject all faults and undo them."""
        await asyncio.gather(*(self._run_one(fault) for fault in faults))

    async def _run_one(self, fault: PlannedFault) -> None:
        await asyncio.sleep(fault.at_s)
        await _ALL_KINDS[fault.kind](self, fault)

    def _lock(self, name: str) -> asyncio.Lock:
        return self._locks.setdefault(name, asyncio.Lock())

    def _router(self, fault: PlannedFault) -> RouterProcess:
        routers = list(self.world.routers.values())
        return routers[fault.random_number % len(routers)]

    def _server(self, fault: PlannedFault) -> SoakServer:
        servers = [server for server in self.world.servers.values() if server.is_initial]
        return servers[fault.random_number % len(servers)]

    def _record_disturbance(self, names: list[str], from_ms: float, **flags: bool) -> None:
        self.world.observations.record_router_disturbance(names, from_ms, clock_ms(), **flags)

    async def kill(self, fault: PlannedFault) -> None:
        """Kill a router's process and restart it."""
        router = self._router(fault)
        async with self._lock(router.name):
            begin_ms = clock_ms()
            router.signal(signal.SIGKILL)
            await asyncio.sleep(fault.duration_s)
            self.world.start_router(router)
            self._record_disturbance([router.name], begin_ms, is_process_interrupted=True)

    async def kill_all(self, fault: PlannedFault) -> None:
        """Kill all routers at the same moment and restart them."""
        await self._kill_all_for(fault.duration_s)

    async def _kill_all_for(self, duration_s: float) -> None:
        routers = list(self.world.routers.values())
        for router in routers:
            await self._lock(router.name).acquire()
        begin_ms = clock_ms()
        for router in routers:
            router.signal(signal.SIGKILL)
        await asyncio.sleep(duration_s)
        for router in routers:
            self.world.start_router(router)
            self._lock(router.name).release()
        self._record_disturbance(list(self.world.routers), begin_ms, is_process_interrupted=True)

    async def lose_list(self, fault: PlannedFault) -> None:
        """Restart all routers beside a cold service while they cannot read the list of routers."""
        async with self._lock("topics"):
            down_topics = self.world.store.down_topics
            down_topics.add(ROUTER_TOPIC)
            if fault.random_number % 2:
                down_topics.add(CRASH_TOPIC)
            service = self._server(fault).backend.service
            servers = [
                server
                for server in self.world.servers.values()
                if server.backend.service == service
            ]
            self._set_cold(servers, _COLD_MS)
            await self._kill_all_for(_RESTART_S)
            from_ms = clock_ms()
            await asyncio.sleep(fault.duration_s)
            down_topics.clear()
            await asyncio.sleep(_COLD_AFTERWARDS_S)
            self.world.observations.cold_spells += [
                ColdSpell(server.name, from_ms, clock_ms()) for server in servers
            ]
            self._set_cold(servers, 0.0)
            await asyncio.sleep(_ENTRY_READ_S)

    def _set_cold(self, servers: list[SoakServer], cold_ms: float) -> None:
        for server in servers:
            server.cold_until_ms = clock_ms() + cold_ms
            if server.is_alive and server.has_entry:
                self.world.write_entry(server)

    async def pause(self, fault: PlannedFault) -> None:
        """Suspend a router's process."""
        router = self._router(fault)
        async with self._lock(router.name):
            begin_ms = clock_ms()
            router.signal(signal.SIGSTOP)
            await asyncio.sleep(fault.duration_s)
            router.signal(signal.SIGCONT)
            self._record_disturbance([router.name], begin_ms, is_process_interrupted=True)

    async def stop(self, fault: PlannedFault) -> None:
        """Shut a router down gracefully and restart it."""
        await self._stop(fault)

    async def incomplete(self, fault: PlannedFault) -> None:
        """Send a router many requests that stay incomplete, which must disturb no other."""
        router = self._router(fault)
        await send_incomplete_requests(router.callers, fault.duration_s, fault.random_number)

    async def busy_stop(self, fault: PlannedFault) -> None:
        """Shut a router down gracefully while its loop is busy and bursts of callers connect."""
        await self._stop(fault, busy_s=_BUSY_STOP_S)

    async def busy(self, fault: PlannedFault) -> None:
        """Keep a router's event loop busy at intervals, which must lose no request."""
        router = self._router(fault)
        async with self._lock(router.name):
            begin_ms = clock_ms()
            await self._keep_busy(router, fault, fault.duration_s)
            self._record_disturbance(
                [router.name], begin_ms, is_lossless=True, is_process_interrupted=True
            )

    async def _keep_busy(
        self, router: RouterProcess, fault: PlannedFault, duration_s: float, burst: int = 0
    ) -> None:
        rng = random.Random(fault.random_number)
        end_ms = clock_ms() + duration_s * 1000
        while clock_ms() < end_ms:
            router.signal(signal.SIGSTOP)
            self.callers.burst(router.name, burst)
            await asyncio.sleep(rng.uniform(*_BUSY_S))
            router.signal(signal.SIGCONT)
            await asyncio.sleep(rng.uniform(*_BUSY_S))

    async def _stop(self, fault: PlannedFault, busy_s: float = 0.0) -> None:
        router = self._router(fault)
        async with self._lock(router.name):
            process = router.process
            assert process is not None
            was_ready = await self.world.is_ready(router)
            begin_ms = clock_ms()
            router.signal(signal.SIGTERM)
            await self._keep_busy(router, fault, busy_s, _BURST_CONNECTIONS)
            end_ms = begin_ms + self.world.observations.bounds.grace_ms
            while process.poll() is None and clock_ms() < end_ms:
                await asyncio.sleep(_EXIT_POLL_S)
            status = process.poll()
            if status != 0 and (was_ready or status != -signal.SIGTERM):
                self.world.observations.failures.append(f"stop: {router.name} ended with {status}")
                process.kill()
            self.world.start_router(router)
            self._record_disturbance(
                [router.name], begin_ms, is_lossless=True, is_process_interrupted=True
            )

    async def hang_up(self, fault: PlannedFault) -> None:
        """Send SIGHUP to a router, as if its settings file had changed."""
        self._router(fault).signal(signal.SIGHUP)

    async def store_fault(self, fault: PlannedFault) -> None:
        """Make the store refuse calls, not answer, reset connections or lose answers."""
        async with self._lock("store"):
            begin_ms = clock_ms()
            self.world.store.fault = ("busy", "silent", "reset", "lost")[fault.random_number % 4]
            await asyncio.sleep(fault.duration_s)
            self.world.store.fault = ""
            for channel in self.world.store.channels:
                channel.abort()
            self._record_disturbance(list(self.world.routers), begin_ms, is_lossless=True)

    async def history(self, fault: PlannedFault) -> None:
        """Delete the history of the store's topics."""
        begin_ms = clock_ms()
        self.world.store.delete_all_history()
        self._record_disturbance(list(self.world.routers), begin_ms, is_lossless=True)

    async def restore_store(self, fault: PlannedFault) -> None:
        """Take the store away and bring it back from an older copy."""
        async with self._lock("store"):
            contents = self.world.store.copy()
            await asyncio.sleep(_COPY_AGES_S[fault.random_number % len(_COPY_AGES_S)])
            begin_ms = clock_ms()
            await self.world.store.drill(contents, min(fault.duration_s, _MAX_AWAY_S))
            await asyncio.sleep(_REWRITE_S)
            self.world.write_again()
            self._record_disturbance(list(self.world.routers), begin_ms, is_lossless=True)

    async def store_link(self, fault: PlannedFault) -> None:
        """Disrupt the link between one router and the store."""
        router = self._router(fault)
        begin_ms = clock_ms()
        await self._disrupt_link(router.store_link, fault)
        self._record_disturbance([router.name], begin_ms)

    async def peer_link(self, fault: PlannedFault) -> None:
        """Disrupt the links that other routers have opened to one router."""
        router = self._router(fault)
        begin_ms = clock_ms()
        await self._disrupt_link(router.peer_link, fault)
        self._record_disturbance(list(self.world.routers), begin_ms)

    async def server_link(self, fault: PlannedFault) -> None:
        """Disrupt the links to one backend server."""
        server = self._server(fault)
        begin_ms = clock_ms()
        await self._disrupt_link(server.proxy, fault)
        self.world.observations.record_link_disturbance(server.name, begin_ms, clock_ms())

    async def _disrupt_link(self, proxy: FaultProxy, fault: PlannedFault) -> None:
        async with self._lock(f"proxy {id(proxy)}"):
            mode = ("reset", "silence", "delay", "towards", "back", "both")[fault.random_number % 6]
            directions = {"towards": [proxy.to_target], "back": [proxy.to_client]}
            closed = directions.get(
                mode, [proxy.to_target, proxy.to_client] if mode == "both" else []
            )
            if mode == "reset":
                proxy.reset()
            elif mode == "silence":
                proxy.silence()
            elif mode == "delay":
                proxy.delay_ms = _LINK_DELAY_MS
            for direction in closed:
                direction.is_open.clear()
            await asyncio.sleep(fault.duration_s)
            proxy.delay_ms = 0.0
            for direction in closed:
                direction.is_open.set()

    async def crash(self, fault: PlannedFault) -> None:
        """Crash a backend server and restart it under the same name."""
        server = self._server(fault)
        async with self._lock(server.name):
            server.is_alive = False
            await server.backend.stop()
            await asyncio.sleep(fault.duration_s)
            await self.world.restart_server(server)

    async def roll_out(self, fault: PlannedFault) -> None:
        """Order a rollout to a good or a bad version, which lasts longer than the other faults."""
        self.rollouts.append(await roll_out(self.world, fault.kind, fault.random_number))

    async def lapse(self, fault: PlannedFault) -> None:
        """Remove the entry of a running server and write it again."""
        server = self._server(fault)
        async with self._lock(server.name):
            server.has_entry = False
            self.world.store.put_server(server.name, None)
            await self._wait_while_draining(fault, server)
            server.has_entry = True
            self.world.write_entry(server)

    async def drain(self, fault: PlannedFault) -> None:
        """Drain a server and start a new incarnation of it."""
        server = self._server(fault)
        async with self._lock(server.name):
            server.draining = True
            self.world.write_entry(server)
            await self._wait_while_draining(fault, server)
            server.is_alive = False
            await server.backend.stop()
            await self.world.restart_server(server)

    async def grey(self, fault: PlannedFault) -> None:
        """Make a server refuse requests or send failed, wrong or truncated answers."""
        await self._answer_with(_GREY_FAULTS[fault.random_number // 7 % len(_GREY_FAULTS)], fault)

    async def mislead(self, fault: PlannedFault) -> None:
        """Make a server refuse what it ran, end streams within an event, or send without end."""
        variant = fault.random_number // 7 % len(_MISLEADING_FAULTS)
        await self._answer_with(_MISLEADING_FAULTS[variant], fault)

    async def refuse_late(self, fault: PlannedFault) -> None:
        """Make a server refuse each request once, and repeat its refusals late."""
        copies = fault.random_number // 7 % _MAX_LATE_COPIES + 1
        await self._answer_with(BackendFaults(full_once=True, late_copies=copies), fault)

    async def _answer_with(self, faults: BackendFaults, fault: PlannedFault) -> None:
        server = self._server(fault)
        async with self._lock(server.name):
            server.backend.faults = faults
            await asyncio.sleep(fault.duration_s)
            server.backend.faults = BackendFaults()

    async def leave_by_word(self, fault: PlannedFault) -> None:
        """Make a server announce its shutdown in answers while its entry says that it is ready."""
        server = self._server(fault)
        async with self._lock(server.name):
            server.backend.faults = BackendFaults(leaving=True, error=fault.random_number % 3 == 0)
            await self._wait_past_bound(fault, self.world.observations.bounds.drain_ms)
            server.is_alive = False
            await server.backend.stop()
            await self.world.restart_server(server)

    async def ask_for_pause(self, fault: PlannedFault) -> None:
        """Make a server refuse requests briefly and ask for a pause in its refusals."""
        server = self._server(fault)
        async with self._lock(server.name):
            pause_s = _PAUSES_S[fault.random_number // 7 % len(_PAUSES_S)]
            server.backend.faults = BackendFaults(full=True, pause_s=pause_s)
            await asyncio.sleep(_REFUSING_S)
            server.backend.faults = BackendFaults()
            await asyncio.sleep(min(pause_s, fault.duration_s))

    async def odd_entries(self, fault: PlannedFault) -> None:
        """Write unreadable entries to the store, then a valid configuration again."""
        async with self._lock("config"):
            self.world.store.put_invalid_entries(fault.random_number, self._server(fault).name)
            await asyncio.sleep(fault.duration_s / 2)
            self.world.configure()

    async def revoke(self, fault: PlannedFault) -> None:
        """Revoke a key and restore it."""
        async with self._lock("config"):
            key = self.world.keys[fault.random_number % len(self.world.keys)]
            former_keys = list(self.world.keys)
            self.world.keys.remove(key)
            self.world.configure()
            acked_ms = clock_ms()
            await self._wait_past_bound(fault, self.world.observations.bounds.revoke_ms)
            limit_ms = self.world.observations.bounds.revoke_ms
            label = f"revocation of {key}"
            self._record_restriction(
                label, acked_ms, limit_ms, key=key, by_send_time=True, binds_all_routers=True
            )
            self.world.keys = former_keys
            self.world.configure()

    async def move(self, fault: PlannedFault) -> None:
        """Move two routes to another service and back."""
        async with self._lock("config"):
            old, new = "desk", "till"
            self.world.routed_service = new
            self.world.configure()
            acked_ms = clock_ms()
            bounds = self.world.observations.bounds
            await self._wait_past_bound(fault, bounds.apply_ms)
            names = frozenset(name for name in self.world.servers if name.startswith(old))
            label = "move of the routes"
            self._record_restriction(
                label, acked_ms, bounds.apply_ms, servers=names, by_send_time=True
            )
            self.world.routed_service = old
            self.world.configure()

    async def storm(self, fault: PlannedFault) -> None:
        """Write several versions in quick succession."""
        for _ in range(_STORM_VERSIONS):
            self.world.configure()
            await asyncio.sleep(fault.duration_s / 20)

    async def evacuate(self, fault: PlannedFault) -> None:
        """Evacuate an availability zone and restore it."""
        zones = list(self.world.size.regions_by_zone)
        zone = zones[fault.random_number % len(zones)]
        async with self._lock(zone):
            self.world.evacuate(zone, evacuated=True)
            acked_ms = clock_ms()
            bounds = self.world.observations.bounds
            await self._wait_past_bound(fault, bounds.evacuation_ms)
            servers = self.world.servers.values()
            names = frozenset(one.name for one in servers if one.backend.zone == zone)
            self._record_restriction(
                f"evacuation of {zone}", acked_ms, bounds.evacuation_ms, servers=names
            )
            self.world.evacuate(zone, evacuated=False)

    async def _wait_past_bound(self, fault: PlannedFault, bound_ms: float) -> None:
        """Wait past a bound, so that requests that come too late are seen."""
        await asyncio.sleep(bound_ms / 1000 + fault.duration_s / 2)

    async def _wait_while_draining(self, fault: PlannedFault, server: SoakServer) -> None:
        """Wait past the drain bound of a server that has just left, and record the restriction."""
        acked_ms = clock_ms()
        limit_ms = self.world.observations.bounds.drain_ms
        await self._wait_past_bound(fault, limit_ms)
        servers = frozenset({server.name})
        self._record_restriction(f"drain of {server.name}", acked_ms, limit_ms, servers=servers)

    def _record_restriction(
        self, label: str, acked_ms: float, limit_ms: float, **options: Any
    ) -> None:
        """Record a restriction that is about to be lifted, to be checked after the round."""
        restriction = Restriction(label, acked_ms, limit_ms, until_ms=clock_ms(), **options)
        self.world.observations.restrictions.append(restriction)


_GREY_FAULTS = (
    BackendFaults(full=True),
    BackendFaults(error=True),
    BackendFaults(reset=True),
    BackendFaults(stray=True),
    BackendFaults(silent=True),
    BackendFaults(break_after=2),
    BackendFaults(raw=b"HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\ncut"),
    BackendFaults(raw=b"no answer at all\r\n\r\n"),
    BackendFaults(trailing=EXTRA_ANSWER),
)

# The stand-in's events are a few dozen bytes long, so each of these sizes is within an event.
_MISLEADING_FAULTS = (
    BackendFaults(refused_with=503),
    BackendFaults(refused_with=429),
    BackendFaults(refused_with=408),
    BackendFaults(stream_bytes=9),
    BackendFaults(stream_bytes=50),
    BackendFaults(stream_bytes=50, with_length=True),
    BackendFaults(unframed_bytes=50),
    BackendFaults(raw=b"HTTP/1.1 200 OK\r\nX: ", endless=b"x"),
    BackendFaults(raw=b"HTTP/1.1 503 Full\r\nContent-Length: 99999999\r\n\r\n", endless=b"x"),
)

FAULT_KINDS: dict[str, Callable[[FaultInjector, PlannedFault], Awaitable[None]]] = {
    method.__name__.replace("_", "-"): method
    for method in (
        FaultInjector.kill,
        FaultInjector.kill_all,
        FaultInjector.pause,
        FaultInjector.stop,
        FaultInjector.hang_up,
        FaultInjector.store_fault,
        FaultInjector.history,
        FaultInjector.store_link,
        FaultInjector.peer_link,
        FaultInjector.server_link,
        FaultInjector.crash,
        FaultInjector.lapse,
        FaultInjector.drain,
        FaultInjector.grey,
        FaultInjector.revoke,
        FaultInjector.move,
        FaultInjector.storm,
        FaultInjector.evacuate,
    )
}
BUSY_LOOP_KINDS: dict[str, Callable[[FaultInjector, PlannedFault], Awaitable[None]]] = {
    "busy": FaultInjector.busy,
    "busy-stop": FaultInjector.busy_stop,
}
SERVER_SIGNAL_KINDS: dict[str, Callable[[FaultInjector, PlannedFault], Awaitable[None]]] = {
    "leave-by-word": FaultInjector.leave_by_word,
    "ask-for-pause": FaultInjector.ask_for_pause,
}
INVALID_ENTRY_KINDS: dict[str, Callable[[FaultInjector, PlannedFault], Awaitable[None]]] = {
    "odd-entries": FaultInjector.odd_entries,
}
MISLEADING_ANSWER_KINDS: dict[str, Callable[[FaultInjector, PlannedFault], Awaitable[None]]] = {
    "mislead": FaultInjector.mislead,
}
PARTIAL_OUTAGE_KINDS: dict[str, Callable[[FaultInjector, PlannedFault], Awaitable[None]]] = {
    "lose-list": FaultInjector.lose_list,
}
RESTORE_KINDS: dict[str, Callable[[FaultInjector, PlannedFault], Awaitable[None]]] = {
    "restore-store": FaultInjector.restore_store,
}
UNTRUSTED_CLIENT_KINDS: dict[str, Callable[[FaultInjector, PlannedFault], Awaitable[None]]] = {
    "incomplete": FaultInjector.incomplete,
}
ROLLOUT_KINDS: dict[str, Callable[[FaultInjector, PlannedFault], Awaitable[None]]] = {
    kind: FaultInjector.roll_out for kind in (GOOD, BAD, BAD_LATER)
}
LATE_REFUSAL_KINDS: dict[str, Callable[[FaultInjector, PlannedFault], Awaitable[None]]] = {
    "refuse-late": FaultInjector.refuse_late,
}
_ALL_KINDS = (
    FAULT_KINDS
    | BUSY_LOOP_KINDS
    | SERVER_SIGNAL_KINDS
    | INVALID_ENTRY_KINDS
    | MISLEADING_ANSWER_KINDS
    | PARTIAL_OUTAGE_KINDS
    | RESTORE_KINDS
    | UNTRUSTED_CLIENT_KINDS
    | ROLLOUT_KINDS
    | LATE_REFUSAL_KINDS
)
