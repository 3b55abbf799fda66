"""Runs the coordinators of the pools and zones that are assigned to this router."""

from __future__ import annotations

import asyncio
from collections import defaultdict

from attrs import evolve

from cicadaledge.capacity import Coordinator
from cicadaledge.config import Record
from cicadaledge.logs import PartLog
from cicadaledge.router._context import RouterContext
from cicadaledge.wire import (
    Adopt,
    ColdStartSignal,
    Counters,
    Done,
    Enqueue,
    LeaseRelease,
    LeaseReply,
    LeaseRequest,
    Outcome,
    Progress,
    ServerSign,
    Withdraw,
)
from cicadaledge.world import BackendServer

ANY_ZONE = "any"
_UNLIMITED_SLOTS = 1_000_000
_GRANT_PERIOD_S = 0.1
_log = PartLog("coordinator")


class CoordinatorManager:
    """Coordinators of this router and their leases, one for each pool and zone."""

    def __init__(self, context: RouterContext) -> None:
        self._context = context
        self.coordinators: dict[tuple[str, str], Coordinator] = {}
        context.handlers[Enqueue] = self._on_enqueue
        context.handlers[Progress] = self._on_progress
        context.handlers[Adopt] = self._on_adopt
        context.handlers[Withdraw] = self._on_withdraw
        context.handlers[Done] = self._on_done
        context.handlers[LeaseReply] = self._on_lease_reply
        context.handlers[Counters] = self._on_counters
        context.on_record.append(self._on_record)
        context.on_peer_down.append(self._on_peer_down)

    async def run_lease_loop(self) -> None:
        """Request and renew leases for the pools and zones of this router, forever."""
        period_s = self._context.settings.timing.lease_renew_ms / 1000
        while True:
            self.renew_leases()
            await asyncio.sleep(period_s)

    async def run_counter_loop(self) -> None:
        """Send the usage counters of each pool to the coordinators of its other zones, forever."""
        period_s = self._context.settings.timing.exchange_interval_ms / 1000
        while True:
            for coordinator in list(self.coordinators.values()):
                self._send_counters(coordinator)
            self._context.suspects.expire(self._context.now_ms())
            await asyncio.sleep(period_s)

    async def run_grant_loop(self) -> None:
        """Send the grants that become possible as time passes, forever."""
        while True:
            for coordinator in list(self.coordinators.values()):
                self.send_grants(coordinator)
            await asyncio.sleep(_GRANT_PERIOD_S)

    def renew_leases(self) -> None:
        """Request leases on the servers this router coordinates; release the leases on others."""
        if self._context.configuration.capacity != "leased":
            self._set_fixed_slots()
            return
        for pool, zone in self._coordinated_pool_zones():
            coordinator = self._coordinator(pool, zone)
            self._request_leases(coordinator)
        for pool_zone, coordinator in list(self.coordinators.items()):
            if self._context.coordinator_of(*pool_zone) != self._context.settings.name:
                self._release_leases(coordinator)

    def release_all(self) -> None:
        """Release all leases before the process exits."""
        for coordinator in self.coordinators.values():
            self._release_leases(coordinator)

    def send_grants(self, coordinator: Coordinator) -> None:
        """Send the grants that are possible now; pass requests on to zones with free capacity."""
        context = self._context
        for entry, grant in coordinator.next_grants(context.echo, context.now_ms()):
            context.send(entry, grant)
        for zone, descriptor in coordinator.spill(context.now_ms()):
            router = context.coordinator_of(coordinator.pool, zone)
            if router is not None:
                context.send(router, Enqueue(coordinator.pool, zone, [descriptor]))

    def slots(self) -> tuple[int, int, int]:
        """Return open and busy slots, and waiting requests, over all coordinators."""
        now_ms = self._context.now_ms()
        slot_counts = [coordinator.slots(now_ms) for coordinator in self.coordinators.values()]
        waiting = sum(coordinator.waiting() for coordinator in self.coordinators.values())
        return (
            sum(counts[0] for counts in slot_counts),
            sum(counts[1] for counts in slot_counts),
            waiting,
        )

    def _coordinated_pool_zones(self) -> list[tuple[str, str]]:
        context = self._context
        pool_zones = {
            (server.pool, server.zone) for server in context.configuration.servers.values()
        }
        return [
            pool_zone
            for pool_zone in pool_zones
            if context.coordinator_of(*pool_zone) == context.settings.name
        ]

    def _coordinator(self, pool: str, zone: str) -> Coordinator:
        coordinator = self.coordinators.get((pool, zone))
        if coordinator is None:
            coordinator = Coordinator(self._context.settings, pool, zone)
            self.coordinators[(pool, zone)] = coordinator
            self._set_weights(coordinator)
            _log.info("This router now coordinates a pool in a zone.", pool=pool, zone=zone)
        return coordinator

    def _request_leases(self, coordinator: Coordinator) -> None:
        context = self._context
        by_home: dict[str, list[str]] = defaultdict(list)
        for server in context.configuration.servers_of(coordinator.pool, coordinator.zone):
            home = context.home_of(server.name)
            if home is not None:
                by_home[home].append(server.name)
        for home, names in by_home.items():
            items = coordinator.lease_items(names)
            request = LeaseRequest(coordinator.pool, coordinator.zone, context.now_ms(), items)
            context.send(home, request)

    def _release_leases(self, coordinator: Coordinator) -> None:
        context = self._context
        items = coordinator.release_items()
        if not items:
            return
        _log.info(
            "This router no longer coordinates a pool in a zone; releasing its leases.",
            pool=coordinator.pool,
            zone=coordinator.zone,
        )
        for item in items:
            home = context.home_of(item.server)
            if home is not None:
                context.send(home, LeaseRelease(coordinator.pool, coordinator.zone, [item]))

    def _set_fixed_slots(self) -> None:
        context = self._context
        for server in context.configuration.servers.values():
            slots = self._fixed_slots(server)
            coordinator = self._coordinator(server.pool, ANY_ZONE)
            coordinator.set_static_slots(server.name, slots, "", context.now_ms())

    def _fixed_slots(self, server: BackendServer) -> int:
        context = self._context
        if not context.configuration.takes_work(server.name):
            return 0
        if context.configuration.capacity == "uncoordinated":
            return _UNLIMITED_SLOTS
        routers = sorted(context.state.members.by_name)
        if context.settings.name not in routers:
            return 0
        first_slot = (routers.index(context.settings.name) + sum(server.name.encode())) % len(
            routers
        )
        return len(range(first_slot, server.warm_slots, len(routers)))

    def _set_weights(self, coordinator: Coordinator) -> None:
        for account in self._context.configuration.accounts.values():
            coordinator.queue.set_weight(account.name, account.share)

    def _send_counters(self, coordinator: Coordinator) -> None:
        context = self._context
        if context.configuration.capacity != "leased":
            return
        counters = coordinator.counters(context.now_ms())
        zones = {
            server.zone
            for server in context.configuration.servers.values()
            if server.pool == coordinator.pool
        }
        for zone in zones - {coordinator.zone}:
            router = context.coordinator_of(coordinator.pool, zone)
            if router is not None:
                context.send(router, counters)

    def _on_record(self, record: Record | None) -> None:
        for coordinator in self.coordinators.values():
            self._set_weights(coordinator)

    def _on_peer_down(self, peer: str) -> None:
        for coordinator in self.coordinators.values():
            coordinator.on_entry_lost(peer, self._context.now_ms())

    def _on_enqueue(self, peer: str, message: Enqueue) -> None:
        coordinator = self._coordinator(message.pool, message.zone)
        waiting = [item if item.entry else evolve(item, entry=peer) for item in message.waiting]
        coordinator.enqueue(waiting, self._context.now_ms())
        self.send_grants(coordinator)

    def _on_progress(self, peer: str, message: Progress) -> None:
        coordinator = self.coordinators.get((message.pool, message.zone))
        if coordinator is not None:
            coordinator.on_progress(peer, message, self._context.now_ms())

    def _on_adopt(self, peer: str, message: Adopt) -> None:
        coordinator = self._coordinator(message.pool, message.zone)
        coordinator.adopt(peer, message.running, self._context.now_ms())

    def _on_withdraw(self, peer: str, message: Withdraw) -> None:
        coordinator = self.coordinators.get((message.pool, message.zone))
        if coordinator is not None:
            coordinator.withdraw([(peer, handle) for handle in message.handles])

    def _on_done(self, peer: str, done: Done) -> None:
        coordinator = self.coordinators.get((done.pool, done.zone))
        if coordinator is None:
            return
        signal = _cold_start_signal(coordinator, done)
        granted = coordinator.granted_server(peer, done.handle)
        if signal is not None and granted is not None:
            self._report_cold_start(coordinator, *granted, signal)
        coordinator.on_done(peer, done, self._context.now_ms())
        self.send_grants(coordinator)

    def _report_cold_start(
        self, coordinator: Coordinator, server_name: str, boot_id: str, signal: ColdStartSignal
    ) -> None:
        context = self._context
        if not coordinator.on_cold_start(server_name, boot_id, context.now_ms()):
            return
        home = context.home_of(server_name)
        if home is not None:
            context.send(home, ServerSign(server_name, boot_id, int(signal)))

    def _on_lease_reply(self, peer: str, reply: LeaseReply) -> None:
        coordinator = self.coordinators.get((reply.pool, reply.zone))
        if coordinator is not None:
            coordinator.on_lease_reply(reply, self._context.now_ms())
            self.send_grants(coordinator)

    def _on_counters(self, peer: str, counters: Counters) -> None:
        incarnation = self._context.links.incarnation_of(peer)
        source = f"{peer}/{incarnation}/{counters.zone}"
        for (pool, zone), coordinator in self.coordinators.items():
            if pool == counters.pool and zone != counters.zone:
                coordinator.on_counters(source, counters)
                self.send_grants(coordinator)


def _cold_start_signal(coordinator: Coordinator, done: Done) -> ColdStartSignal | None:
    """Return which signal of a cold start a finished request gives, or None."""
    if done.outcome in (Outcome.LOST, Outcome.DIED):
        return ColdStartSignal.RESET
    if done.outcome == Outcome.REFUSED:
        return ColdStartSignal.UNREACHABLE
    return ColdStartSignal.SLOW_FIRST_TOKEN if coordinator.is_slow(done) else None
