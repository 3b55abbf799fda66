"""A router's copy of the control plane: configuration, evacuated zones and backend servers."""

from __future__ import annotations

from typing import Protocol

from cicadaledge.edge._settings import EdgeSettings
from cicadaledge.edge._source import (
    Change,
    EvidenceSeen,
    MemberSeen,
    RolloutOrdered,
    RolloutStatusSeen,
    ServerChanged,
    ServerRemoved,
    TableChanged,
    UnreadableEntry,
    ZoneChanged,
)
from cicadaledge.logs import PartLog
from cicadaledge.routing import RoutingTable, ServerDirectory, ServerEntry

_log = PartLog("beliefs")


class ControlPlaneState:
    """The configuration and the server directory as last read from the store.

    A proof is a read that found nothing newer in the store. Its age bounds how outdated the copy
    can be, because the store may be out of reach.

    Args:
        settings: Limits and timing of this router.

    Attributes:
        servers_known: Whether the server entries have been read at least once.
    """

    def __init__(self, settings: EdgeSettings) -> None:
        self.table: RoutingTable | None = None
        self.directory = ServerDirectory()
        self.servers_known = False
        self._settings = settings
        self._proof_ms = float("-inf")
        self._servers_proof_ms = float("-inf")
        self._defer_removals_until_ms = 0.0
        self._deferred_removals: dict[str, float] = {}

    def apply(self, change: Change, now_ms: float) -> None:
        """Apply one change."""
        match change:
            case TableChanged(table):
                self._apply_table(table)
            case ZoneChanged(zone, evacuated):
                self._apply_zone(zone, evacuated)
            case ServerChanged(entry):
                self._cancel_removal(entry)
                if self.directory.apply(entry, now_ms):
                    _log.info(
                        "Server entry has changed; requests are placed by the new entry.",
                        server=entry.server,
                        service=entry.service,
                        zone=entry.zone,
                        state=entry.state.value,
                        born_ms=entry.born_ms,
                        sequence=entry.sequence,
                        cold_left_ms=entry.cold_left_ms,
                    )
            case ServerRemoved(server):
                self._remove(server, now_ms)
            case UnreadableEntry() | MemberSeen() | EvidenceSeen():
                pass
            case RolloutOrdered() | RolloutStatusSeen():
                pass

    def retain_servers(self, servers: set[str], now_ms: float) -> None:
        """Remove the servers that a complete read of the topic did not return."""
        for server in self.directory.server_names() - servers:
            self._remove(server, now_ms)

    def retain_evacuated_zones(self, zones: set[str]) -> None:
        """Restore the zones that a complete read did not return as evacuated."""
        for zone in self.directory.evacuated() - zones:
            self._apply_zone(zone, evacuated=False)

    def record_proof(self, proof_ms: float) -> None:
        """Record that the configuration was current at *proof_ms*."""
        self._proof_ms = max(self._proof_ms, proof_ms)

    def record_servers_proof(self, proof_ms: float) -> None:
        """Record that the server directory was current at *proof_ms*."""
        self._servers_proof_ms = max(self._servers_proof_ms, proof_ms)

    def servers_age_ms(self, now_ms: float) -> float:
        """Return the age of the newest proof that the server directory is current."""
        return now_ms - self._servers_proof_ms

    def on_store_recovered(self, outage_ms: float, now_ms: float) -> None:
        """Defer removals, as entries of live servers can have expired during the outage."""
        if outage_ms < self._settings.timing.lapse_outage_ms:
            return
        self._defer_removals_until_ms = now_ms + self._settings.timing.lapse_ms

    def apply_due_removals(self, now_ms: float) -> None:
        """Remove the servers whose deferral has ended."""
        for server, until_ms in list(self._deferred_removals.items()):
            if now_ms >= until_ms:
                del self._deferred_removals[server]
                self._remove_now(server, now_ms)

    def proof_age_ms(self, now_ms: float) -> float:
        """Return the age of the newest proof that the configuration is current."""
        return now_ms - self._proof_ms

    def may_use_keys(self, now_ms: float) -> bool:
        """Return whether API keys may be accepted without breaking the limit on revocation."""
        bounds = self._settings.bounds
        if not bounds.strict_revoke:
            return self.table is not None
        limit_ms = bounds.revoke_ms - self._settings.timing.revoke_margin_ms
        return self.table is not None and self.proof_age_ms(now_ms) < limit_ms

    def _apply_table(self, table: RoutingTable) -> None:
        if self.table is not None and table.version <= self.table.version:
            return
        former = self.table.version if self.table else None
        self.table = table
        _log.info(
            "Configuration is applied.",
            version=table.version,
            former_version=former,
            routes=len(table.routes),
            accounts=len(table.accounts),
        )

    def _apply_zone(self, zone: str, evacuated: bool) -> None:
        changed = self.directory.evacuate(zone) if evacuated else self.directory.restore(zone)
        if changed:
            _log.info(
                "Evacuation state of the zone has changed; evacuated zones get no new requests.",
                zone=zone,
                evacuated=evacuated,
            )

    def _remove(self, server: str, now_ms: float) -> None:
        if now_ms < self._defer_removals_until_ms:
            if server not in self._deferred_removals:
                self._deferred_removals[server] = self._defer_removals_until_ms
                self.directory.mark_unconfirmed(server)
                held_ms = self._defer_removals_until_ms - now_ms
                _log.info(
                    "Server removal is deferred after a store outage; other servers are preferred"
                    " meanwhile.",
                    server=server,
                    held_ms=round(held_ms),
                )
            return
        self._remove_now(server, now_ms)

    def _cancel_removal(self, entry: ServerEntry) -> None:
        if entry.server in self._deferred_removals and self.directory.is_newer(entry):
            del self._deferred_removals[entry.server]
            self.directory.mark_confirmed(entry.server)
            _log.info(
                "Deferred server removal is cancelled by a heartbeat.",
                server=entry.server,
                born_ms=entry.born_ms,
                sequence=entry.sequence,
            )

    def _remove_now(self, server: str, now_ms: float) -> None:
        if self.directory.remove(server, now_ms):
            _log.info(
                "Server is removed from the directory and gets no new requests.", server=server
            )


class OrderSink(Protocol):
    """Receives the orders of rollouts, which the operator writes to the control topic."""

    def apply(self, change: Change, now_ms: float) -> None:
        """Apply a change, if it is an order."""

    def on_complete_read_of_orders(self, changes: list[Change], now_ms: float) -> None:
        """Note which orders a complete read did not return."""


class _StateSink:
    """Applies changes to the control plane state.

    Args:
        state: The router's copy of the control plane.
    """

    def __init__(self, state: ControlPlaneState) -> None:
        self._state = state

    def apply(self, change: Change, now_ms: float) -> None:
        """Apply one change."""
        self._state.apply(change, now_ms)


class ControlSink(_StateSink):
    """Applies the control topic, which operators write.

    Args:
        orders: Receives the orders of rollouts; None if there are none.
    """

    def __init__(self, state: ControlPlaneState, orders: OrderSink | None = None) -> None:
        super().__init__(state)
        self._orders = orders

    def apply(self, change: Change, now_ms: float) -> None:
        """Apply one change."""
        super().apply(change, now_ms)
        if self._orders is not None:
            self._orders.apply(change, now_ms)

    def on_complete_read(self, changes: list[Change], now_ms: float) -> None:
        """Restore the zones that are no longer evacuated."""
        zones = [change for change in changes if isinstance(change, ZoneChanged)]
        self._state.retain_evacuated_zones({change.zone for change in zones if change.evacuated})
        if self._orders is not None:
            self._orders.on_complete_read_of_orders(changes, now_ms)

    def record_proof(self, proof_ms: float, now_ms: float) -> None:
        """Record that the configuration was current at *proof_ms*."""
        self._state.record_proof(proof_ms)

    def on_store_recovered(self, outage_ms: float, now_ms: float) -> None:
        """Do nothing: the configuration does not expire."""


class ServerSink(_StateSink):
    """Applies the heartbeats of backend servers."""

    def apply(self, change: Change, now_ms: float) -> None:
        """Apply one change; an unreadable entry takes its server out of use."""
        if isinstance(change, UnreadableEntry):
            if self._state.directory.mark_foreign(change.subject):
                _log.warning(
                    "Server is not used because its entry is unreadable.", server=change.subject
                )
            return
        super().apply(change, now_ms)

    def on_complete_read(self, changes: list[Change], now_ms: float) -> None:
        """Remove the servers that have no entry."""
        seen = {change.entry.server for change in changes if isinstance(change, ServerChanged)}
        seen |= {change.subject for change in changes if isinstance(change, UnreadableEntry)}
        self._state.retain_servers(seen, now_ms)

    def record_proof(self, proof_ms: float, now_ms: float) -> None:
        """Record that the server directory was current at *proof_ms*."""
        self._state.servers_known = True
        self._state.record_servers_proof(proof_ms)
        self._state.directory.purge_removed(now_ms)

    def on_store_recovered(self, outage_ms: float, now_ms: float) -> None:
        """Defer removals: entries of live servers may have expired."""
        self._state.on_store_recovered(outage_ms, now_ms)
