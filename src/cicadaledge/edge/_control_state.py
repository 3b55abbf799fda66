"""A router's copy of the control plane: configuration, evacuated zones and backend servers."""

from __future__ import annotations

from typing import Protocol

from cicadaledge.edge._settings import EdgeSettings
from cicadaledge.logs import PartLog
from cicadaledge.routing import RoutingTable, ServerDirectory, ServerEntry
from cicadaledge.store import (
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
        self._kept_servers: dict[str, float] = {}
        self._kept_evacuations: dict[str, float] = {}
        self._settles_until_ms = float("-inf")
        self._counts_proofs_from_ms = float("-inf")

    def apply(self, change: Change, now_ms: float) -> None:
        """Apply one change."""
        match change:
            case TableChanged(table):
                self._apply_table(table)
            case ZoneChanged(zone, evacuated):
                self._kept_evacuations.pop(zone, None)
                self._apply_zone(zone, evacuated)
            case ServerChanged(entry):
                self._cancel_removal(entry, now_ms)
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

    def retain_servers(self, servers: set[str], now_ms: float, *, from_copy: bool = False) -> None:
        """Remove the servers that a complete read of the topic did not return.

        Args:
            from_copy: Whether the store was restored from a copy, after which servers have to write
                their entries again.
        """
        if from_copy:
            self._settles_until_ms = now_ms + self._settings.timing.epoch_settle_ms
            self._defer_removals(self._settings.timing.lapse_ms, now_ms)
        for server in self.directory.server_names() - servers:
            if not from_copy:
                self._remove(server, now_ms)
            elif server not in self._deferred_removals:
                self._keep_until(self._settles_until_ms, server, self._kept_servers, now_ms)

    def retain_evacuated_zones(
        self, zones: set[str], now_ms: float, *, from_copy: bool = False
    ) -> None:
        """Restore the zones that a complete read did not return as evacuated.

        Args:
            from_copy: Whether the store was restored from a copy, after which the operator has to
                write evacuations again.
        """
        for zone in self.directory.evacuated() - zones:
            if from_copy:
                until_ms = now_ms + self._settings.timing.epoch_settle_ms
                self._kept_evacuations[zone] = until_ms
                _log.info(
                    "Restored store has no evacuation of the zone; the zone stays evacuated until"
                    " the operator has had time to write it again.",
                    zone=zone,
                    held_ms=round(until_ms - now_ms),
                )
            elif zone not in self._kept_evacuations:
                self._apply_zone(zone, evacuated=False)

    def on_epoch_changed(self, now_ms: float) -> None:
        """Do not count proofs until the operator has had time to write the configuration again."""
        self._counts_proofs_from_ms = now_ms + self._settings.timing.operator_rewrite_ms

    def on_configuration_written(self) -> None:
        """Count proofs again, as the operator has written to the store since its restore."""
        self._counts_proofs_from_ms = float("-inf")

    def record_proof(self, proof_ms: float) -> None:
        """Record that the configuration was current at *proof_ms*."""
        if proof_ms >= self._counts_proofs_from_ms:
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
        self._defer_removals(self._settings.timing.lapse_ms, now_ms)

    def _defer_removals(self, lapse_ms: float, now_ms: float) -> None:
        until_ms = now_ms + lapse_ms
        self._defer_removals_until_ms = max(self._defer_removals_until_ms, until_ms)

    def apply_due_removals(self, now_ms: float) -> None:
        """Remove the servers, and restore the zones, whose deferral has ended."""
        for zone, until_ms in list(self._kept_evacuations.items()):
            if now_ms >= until_ms:
                del self._kept_evacuations[zone]
                self._apply_zone(zone, evacuated=False)
        for kept in (self._deferred_removals, self._kept_servers):
            for server, until_ms in list(kept.items()):
                if now_ms >= until_ms:
                    del kept[server]
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
        self._kept_servers.pop(server, None)
        if now_ms < self._defer_removals_until_ms:
            if server not in self._deferred_removals:
                until_ms = self._defer_removals_until_ms
                self._keep_until(until_ms, server, self._deferred_removals, now_ms)
            return
        self._remove_now(server, now_ms)

    def _keep_until(
        self, until_ms: float, server: str, kept: dict[str, float], now_ms: float
    ) -> None:
        kept[server] = until_ms
        self.directory.mark_unconfirmed(server)
        _log.info(
            "Server removal is deferred after a store outage; other servers are preferred"
            " meanwhile.",
            server=server,
            held_ms=round(until_ms - now_ms),
        )

    def _cancel_removal(self, entry: ServerEntry, now_ms: float) -> None:
        if entry.server not in self._deferred_removals and entry.server not in self._kept_servers:
            return
        # A server may write the entry that a restored store lacks again without any change.
        is_repeated = now_ms < self._settles_until_ms and self.directory.is_newest(entry)
        if is_repeated or self.directory.is_newer(entry):
            self._deferred_removals.pop(entry.server, None)
            self._kept_servers.pop(entry.server, None)
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
        self._reads_copy = False

    def on_epoch_changed(self, now_ms: float) -> None:
        """Take the next complete read as one of an older copy."""
        self._reads_copy = True

    def _end_reading_copy(self) -> bool:
        """Return whether this complete read is the first one of a restored store."""
        reads_copy, self._reads_copy = self._reads_copy, False
        return reads_copy

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
        """Apply one change; a configuration after the complete read shows that it is current."""
        super().apply(change, now_ms)
        if isinstance(change, TableChanged) and not self._reads_copy:
            self._state.on_configuration_written()
        if self._orders is not None:
            self._orders.apply(change, now_ms)

    def on_complete_read(self, changes: list[Change], now_ms: float) -> None:
        """Restore the zones that are no longer evacuated."""
        zones = [change for change in changes if isinstance(change, ZoneChanged)]
        from_copy = self._end_reading_copy()
        evacuated = {change.zone for change in zones if change.evacuated}
        self._state.retain_evacuated_zones(evacuated, now_ms, from_copy=from_copy)
        if self._orders is not None:
            self._orders.on_complete_read_of_orders(changes, now_ms)

    def on_epoch_changed(self, now_ms: float) -> None:
        """Take the next complete read as one of an older copy, and count proofs only later."""
        super().on_epoch_changed(now_ms)
        self._state.on_epoch_changed(now_ms)

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
        self._state.retain_servers(seen, now_ms, from_copy=self._end_reading_copy())

    def record_proof(self, proof_ms: float, now_ms: float) -> None:
        """Record that the server directory was current at *proof_ms*."""
        self._state.servers_known = True
        self._state.record_servers_proof(proof_ms)
        self._state.directory.purge_removed(now_ms)

    def on_store_recovered(self, outage_ms: float, now_ms: float) -> None:
        """Defer removals: entries of live servers may have expired."""
        self._state.on_store_recovered(outage_ms, now_ms)
