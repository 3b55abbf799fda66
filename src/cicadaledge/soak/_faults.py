"""Faults of a round: drawn by seed, carried out from outside, undone after a while."""

from __future__ import annotations

import asyncio
import random
import signal
from collections.abc import Awaitable, Callable, Mapping
from typing import Any

from attrs import define, field, frozen

from cicadaledge.edge import clock_ms
from cicadaledge.soak._callers import Callers
from cicadaledge.soak._ledger import Act
from cicadaledge.soak._proxy import FaultProxy
from cicadaledge.soak._world import RouterProcess, SoakServer, SoakWorld
from cicadaledge.standins import EXTRA_ANSWER, BackendFaults

_COUNTS = (2, 9)
_BUSY_COUNTS = (0, 2)
_WORD_COUNTS = (0, 3)
_ENTRY_COUNTS = (0, 3)
_PAUSES_S = (0.3, 1.5, 4.0, 10.0)
_REFUSING_S = 0.4  # how long a server refuses with a pause
_DELAY_MS = 120.0  # twice a round trip between regions
_STORM_VERSIONS = 6
_EXIT_POLL_S = 0.05
_BUSY_S = (0.1, 0.4)  # how long a loop is busy, and free after that
_BUSY_STOP_S = 4.0  # well past the time for which a leaving router takes connections
_BURST = 30  # new connections at a time, below the queue of a listener


@frozen
class PlannedFault:
    """One fault of a round.

    Args:
        at_s: From the start of the load.
        for_s: How long until it is undone.
        pick: Draws what it hits.
    """

    kind: str
    at_s: float
    for_s: float
    pick: int


def draw_faults(
    seed: int,
    count: int | None,
    within_s: float,
    *,
    busy: bool = False,
    words: bool = False,
    entries: bool = False,
) -> list[PlannedFault]:
    """Return the faults of a seed, by time.

    Args:
        count: How many; None draws this, too: few leave routers in touch, many overlap.
        busy: Add some of `BUSY_KINDS`, drawn apart: the others are those of the seed without.
        words: Add some of `WORD_KINDS` in the same way.
        entries: Add some of `ENTRY_KINDS` in the same way.
    """
    chance = random.Random(seed)
    if count is None:
        count = chance.randint(*_COUNTS)
    faults = [_draw_fault(chance, KINDS, within_s) for _ in range(count)]
    more = (
        (busy, "busy", _BUSY_COUNTS, BUSY_KINDS),
        (words, "words", _WORD_COUNTS, WORD_KINDS),
        (entries, "entries", _ENTRY_COUNTS, ENTRY_KINDS),
    )
    for is_drawn, name, counts, kinds in more:
        if is_drawn:
            apart = random.Random(f"{seed}/{name}")
            faults += [_draw_fault(apart, kinds, within_s) for _ in range(apart.randint(*counts))]
    return sorted(faults, key=lambda fault: fault.at_s)


def _draw_fault(chance: random.Random, kinds: Mapping[str, Any], within_s: float) -> PlannedFault:
    return PlannedFault(
        chance.choice(sorted(kinds)),
        round(chance.uniform(0.0, within_s), 2),
        round(chance.uniform(0.3, 4.5), 2),
        chance.randrange(1_000_000),
    )


@define
class FaultLine:
    """Carries out the faults of a round; those that hit the same object wait for each other.

    Args:
        world: The running deployment.
        callers: Its callers.
    """

    world: SoakWorld
    callers: Callers
    _locks: dict[str, asyncio.Lock] = field(factory=dict)

    async def run(self, faults: list[PlannedFault]) -> None:
        """Carry out all faults and undo them."""
        await asyncio.gather(*(self._run_one(fault) for fault in faults))

    async def _run_one(self, fault: PlannedFault) -> None:
        await asyncio.sleep(fault.at_s)
        await (KINDS | BUSY_KINDS | WORD_KINDS | ENTRY_KINDS)[fault.kind](self, fault)

    def _lock(self, name: str) -> asyncio.Lock:
        return self._locks.setdefault(name, asyncio.Lock())

    def _router(self, fault: PlannedFault) -> RouterProcess:
        routers = list(self.world.routers.values())
        return routers[fault.pick % len(routers)]

    def _server(self, fault: PlannedFault) -> SoakServer:
        servers = list(self.world.servers.values())
        return servers[fault.pick % len(servers)]

    def _disturb(self, names: list[str], from_ms: float, **how: bool) -> None:
        self.world.ledger.disturb(names, from_ms, clock_ms(), **how)

    async def kill(self, fault: PlannedFault) -> None:
        """Kill a router's process and start it again."""
        router = self._router(fault)
        async with self._lock(router.name):
            begin_ms = clock_ms()
            router.signal(signal.SIGKILL)
            await asyncio.sleep(fault.for_s)
            self.world.start_router(router)
            self._disturb([router.name], begin_ms, is_held=True)

    async def kill_all(self, fault: PlannedFault) -> None:
        """Kill all routers at the same moment and start them again."""
        routers = list(self.world.routers.values())
        for router in routers:
            await self._lock(router.name).acquire()
        begin_ms = clock_ms()
        for router in routers:
            router.signal(signal.SIGKILL)
        await asyncio.sleep(fault.for_s)
        for router in routers:
            self.world.start_router(router)
            self._lock(router.name).release()
        self._disturb(list(self.world.routers), begin_ms, is_held=True)

    async def pause(self, fault: PlannedFault) -> None:
        """Let a router's process stand still."""
        router = self._router(fault)
        async with self._lock(router.name):
            begin_ms = clock_ms()
            router.signal(signal.SIGSTOP)
            await asyncio.sleep(fault.for_s)
            router.signal(signal.SIGCONT)
            self._disturb([router.name], begin_ms, is_held=True)

    async def stop(self, fault: PlannedFault) -> None:
        """Stop a router gracefully and start it again."""
        await self._stop(fault)

    async def busy_stop(self, fault: PlannedFault) -> None:
        """Stop a router gracefully while its loop is busy and bursts of new callers come."""
        await self._stop(fault, busy_s=_BUSY_STOP_S)

    async def busy(self, fault: PlannedFault) -> None:
        """Let a router's loop be busy again and again, which must lose nothing."""
        router = self._router(fault)
        async with self._lock(router.name):
            begin_ms = clock_ms()
            await self._keep_busy(router, fault, fault.for_s)
            self._disturb([router.name], begin_ms, is_lossless=True, is_held=True)

    async def _keep_busy(
        self, router: RouterProcess, fault: PlannedFault, for_s: float, burst: int = 0
    ) -> None:
        chance = random.Random(fault.pick)
        end_ms = clock_ms() + for_s * 1000
        while clock_ms() < end_ms:
            router.signal(signal.SIGSTOP)
            self.callers.burst(router.name, burst)
            await asyncio.sleep(chance.uniform(*_BUSY_S))
            router.signal(signal.SIGCONT)
            await asyncio.sleep(chance.uniform(*_BUSY_S))

    async def _stop(self, fault: PlannedFault, busy_s: float = 0.0) -> None:
        router = self._router(fault)
        async with self._lock(router.name):
            process = router.process
            assert process is not None
            was_ready = await self.world.is_ready(router)
            begin_ms = clock_ms()
            router.signal(signal.SIGTERM)
            await self._keep_busy(router, fault, busy_s, _BURST)
            end_ms = begin_ms + self.world.ledger.bounds.grace_ms
            while process.poll() is None and clock_ms() < end_ms:
                await asyncio.sleep(_EXIT_POLL_S)
            status = process.poll()
            if status != 0 and (was_ready or status != -signal.SIGTERM):
                self.world.ledger.exits.append(f"stop: {router.name} ended with {status}")
                process.kill()
            self.world.start_router(router)
            self._disturb([router.name], begin_ms, is_lossless=True, is_held=True)

    async def hang_up(self, fault: PlannedFault) -> None:
        """Tell a router that its settings file has changed."""
        self._router(fault).signal(signal.SIGHUP)

    async def store_fault(self, fault: PlannedFault) -> None:
        """Let the store refuse, reset, keep silent or lose answers."""
        async with self._lock("store"):
            begin_ms = clock_ms()
            self.world.store.fault = ("busy", "silent", "reset", "lost")[fault.pick % 4]
            await asyncio.sleep(fault.for_s)
            self.world.store.fault = ""
            for channel in self.world.store.channels:
                channel.abort()
            self._disturb(list(self.world.routers), begin_ms, is_lossless=True)

    async def history(self, fault: PlannedFault) -> None:
        """Let the store forget its history."""
        begin_ms = clock_ms()
        self.world.store.delete_all_history()
        self._disturb(list(self.world.routers), begin_ms, is_lossless=True)

    async def store_link(self, fault: PlannedFault) -> None:
        """Harm the link between one router and the store."""
        router = self._router(fault)
        begin_ms = clock_ms()
        await self._harm(router.store_link, fault)
        self._disturb([router.name], begin_ms)

    async def peer_link(self, fault: PlannedFault) -> None:
        """Harm the links that other routers have opened to one."""
        router = self._router(fault)
        begin_ms = clock_ms()
        await self._harm(router.peer_link, fault)
        self._disturb(list(self.world.routers), begin_ms)

    async def server_link(self, fault: PlannedFault) -> None:
        """Harm the links to one backend server."""
        server = self._server(fault)
        begin_ms = clock_ms()
        await self._harm(server.proxy, fault)
        self.world.ledger.harm(server.name, begin_ms, clock_ms())

    async def _harm(self, proxy: FaultProxy, fault: PlannedFault) -> None:
        async with self._lock(f"proxy {id(proxy)}"):
            how = ("reset", "silence", "delay", "towards", "back", "both")[fault.pick % 6]
            ways = {"towards": [proxy.towards], "back": [proxy.back]}
            closed = ways.get(how, [proxy.towards, proxy.back] if how == "both" else [])
            if how == "reset":
                proxy.reset()
            elif how == "silence":
                proxy.silence()
            elif how == "delay":
                proxy.delay_ms = _DELAY_MS
            for way in closed:
                way.is_open.clear()
            await asyncio.sleep(fault.for_s)
            proxy.delay_ms = 0.0
            for way in closed:
                way.is_open.set()

    async def crash(self, fault: PlannedFault) -> None:
        """Let a backend server crash and come back under the same name."""
        server = self._server(fault)
        async with self._lock(server.name):
            server.lives = False
            await server.runner.stop()
            await asyncio.sleep(fault.for_s)
            await self.world.restart_server(server)

    async def lapse(self, fault: PlannedFault) -> None:
        """Let a living server's entry go and come back."""
        server = self._server(fault)
        async with self._lock(server.name):
            server.present = False
            self.world.store.put_server(server.name, None)
            await self._rest_drained(fault, server)
            server.present = True
            self.world.beat(server)

    async def drain(self, fault: PlannedFault) -> None:
        """Let a server leave, and another incarnation come."""
        server = self._server(fault)
        async with self._lock(server.name):
            server.draining = True
            self.world.beat(server)
            await self._rest_drained(fault, server)
            server.lives = False
            await server.runner.stop()
            await self.world.restart_server(server)

    async def grey(self, fault: PlannedFault) -> None:
        """Let a server fail, refuse, mix up or break off its answers."""
        server = self._server(fault)
        async with self._lock(server.name):
            server.runner.faults = _GREY[fault.pick // 7 % len(_GREY)]
            await asyncio.sleep(fault.for_s)
            server.runner.faults = BackendFaults()

    async def leave_by_word(self, fault: PlannedFault) -> None:
        """Let a server say in its answers that it leaves, while its entry says that it is ready."""
        server = self._server(fault)
        async with self._lock(server.name):
            server.runner.faults = BackendFaults(leaving=True, error=fault.pick % 3 == 0)
            await self._rest(fault, self.world.ledger.bounds.drain_ms)
            server.lives = False
            await server.runner.stop()
            await self.world.restart_server(server)

    async def ask_for_pause(self, fault: PlannedFault) -> None:
        """Let a server refuse for a moment and say for how long it wants nothing."""
        server = self._server(fault)
        async with self._lock(server.name):
            pause_s = _PAUSES_S[fault.pick // 7 % len(_PAUSES_S)]
            server.runner.faults = BackendFaults(full=True, pause_s=pause_s)
            await asyncio.sleep(_REFUSING_S)
            server.runner.faults = BackendFaults()
            await asyncio.sleep(min(pause_s, fault.for_s))

    async def odd_entries(self, fault: PlannedFault) -> None:
        """Let another program write entries that cannot be read, and the owners write on."""
        async with self._lock("config"):
            self.world.store.put_odd(fault.pick, self._server(fault).name)
            await asyncio.sleep(fault.for_s / 2)
            self.world.configure()

    async def revoke(self, fault: PlannedFault) -> None:
        """Take a key away and give it back."""
        async with self._lock("config"):
            key = self.world.keys[fault.pick % len(self.world.keys)]
            kept = list(self.world.keys)
            self.world.keys.remove(key)
            self.world.configure()
            acked_ms = clock_ms()
            await self._rest(fault, self.world.ledger.bounds.revoke_ms)
            limit_ms = self.world.ledger.bounds.revoke_ms
            what = f"revocation of {key}"
            self._note(what, acked_ms, limit_ms, key=key, by_sending=True, everywhere=True)
            self.world.keys = kept
            self.world.configure()

    async def move(self, fault: PlannedFault) -> None:
        """Move two routes to another service and back."""
        async with self._lock("config"):
            old, new = "desk", "till"
            self.world.desk_service = new
            self.world.configure()
            acked_ms = clock_ms()
            bounds = self.world.ledger.bounds
            await self._rest(fault, bounds.apply_ms)
            names = frozenset(name for name in self.world.servers if name.startswith(old))
            what = "move of the routes"
            self._note(what, acked_ms, bounds.apply_ms, servers=names, by_sending=True)
            self.world.desk_service = old
            self.world.configure()

    async def storm(self, fault: PlannedFault) -> None:
        """Write several versions in quick succession."""
        for _ in range(_STORM_VERSIONS):
            self.world.configure()
            await asyncio.sleep(fault.for_s / 20)

    async def evacuate(self, fault: PlannedFault) -> None:
        """Empty a zone and take it back."""
        zones = list(self.world.size.regions_by_zone)
        zone = zones[fault.pick % len(zones)]
        async with self._lock(zone):
            self.world.store.put_evacuation(zone, evacuated=True)
            acked_ms = clock_ms()
            bounds = self.world.ledger.bounds
            await self._rest(fault, bounds.evacuation_ms)
            servers = self.world.servers.values()
            names = frozenset(one.name for one in servers if one.runner.zone == zone)
            self._note(f"evacuation of {zone}", acked_ms, bounds.evacuation_ms, servers=names)
            self.world.store.put_evacuation(zone, evacuated=False)

    async def _rest(self, fault: PlannedFault, bound_ms: float) -> None:
        """Wait until the bound has passed, so that what comes after it is seen."""
        await asyncio.sleep(bound_ms / 1000 + fault.for_s / 2)

    async def _rest_drained(self, fault: PlannedFault, server: SoakServer) -> None:
        """Wait while a server that has just left must get nothing more."""
        acked_ms = clock_ms()
        limit_ms = self.world.ledger.bounds.drain_ms
        await self._rest(fault, limit_ms)
        servers = frozenset({server.name})
        self._note(f"drain of {server.name}", acked_ms, limit_ms, servers=servers)

    def _note(self, what: str, acked_ms: float, limit_ms: float, **how: Any) -> None:
        """Note an act that is undone now; the ledger judges what reached whom."""
        act = Act(what, acked_ms, limit_ms, until_ms=clock_ms(), **how)
        self.world.ledger.acts.append(act)


_GREY = (
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

KINDS: dict[str, Callable[[FaultLine, PlannedFault], Awaitable[None]]] = {
    method.__name__.replace("_", "-"): method
    for method in (
        FaultLine.kill,
        FaultLine.kill_all,
        FaultLine.pause,
        FaultLine.stop,
        FaultLine.hang_up,
        FaultLine.store_fault,
        FaultLine.history,
        FaultLine.store_link,
        FaultLine.peer_link,
        FaultLine.server_link,
        FaultLine.crash,
        FaultLine.lapse,
        FaultLine.drain,
        FaultLine.grey,
        FaultLine.revoke,
        FaultLine.move,
        FaultLine.storm,
        FaultLine.evacuate,
    )
}
BUSY_KINDS: dict[str, Callable[[FaultLine, PlannedFault], Awaitable[None]]] = {
    "busy": FaultLine.busy,
    "busy-stop": FaultLine.busy_stop,
}
WORD_KINDS: dict[str, Callable[[FaultLine, PlannedFault], Awaitable[None]]] = {
    "leave-by-word": FaultLine.leave_by_word,
    "ask-for-pause": FaultLine.ask_for_pause,
}
ENTRY_KINDS: dict[str, Callable[[FaultLine, PlannedFault], Awaitable[None]]] = {
    "odd-entries": FaultLine.odd_entries,
}
