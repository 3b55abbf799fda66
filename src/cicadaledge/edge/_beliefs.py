"""What a router believes of the configuration and of the backend servers."""

from __future__ import annotations

from cicadaledge.edge._settings import EdgeSettings
from cicadaledge.edge._source import (
    Change,
    EvidenceSeen,
    MemberSeen,
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
    """Configuration, servers and how old the proof of the configuration is.

    Args:
        settings: Bounds and timing of this router.
    """

    def __init__(self, settings: EdgeSettings) -> None:
        self.table: RoutingTable | None = None
        self.directory = ServerDirectory()
        self.servers_known = False
        self._settings = settings
        self._proof_ms = float("-inf")
        self._servers_proof_ms = float("-inf")
        self._hold_removals_until_ms = 0.0
        self._held_removals: dict[str, float] = {}

    def apply(self, change: Change, now_ms: float) -> None:
        """Take over one change."""
        match change:
            case TableChanged(table):
                self._apply_table(table)
            case ZoneChanged(zone, evacuated):
                self._apply_zone(zone, evacuated)
            case ServerChanged(entry):
                self._cancel_removal(entry)
                if self.directory.apply(entry, now_ms):
                    _log.info(
                        "Server has changed.",
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

    def retain_servers(self, servers: set[str], now_ms: float) -> None:
        """Remove the servers that a complete reading of the entries did not show."""
        for server in self.directory.names() - servers:
            self._remove(server, now_ms)

    def retain_evacuated_zones(self, zones: set[str]) -> None:
        """Take back the zones that a complete reading did not show as evacuated."""
        for zone in self.directory.evacuated() - zones:
            self._apply_zone(zone, evacuated=False)

    def record_proof(self, proof_ms: float) -> None:
        """Note that the configuration read so far was the newest at *proof_ms*."""
        self._proof_ms = max(self._proof_ms, proof_ms)

    def record_servers_proof(self, proof_ms: float) -> None:
        """Note that the servers read so far were the newest at *proof_ms*."""
        self._servers_proof_ms = max(self._servers_proof_ms, proof_ms)

    def servers_age_ms(self, now_ms: float) -> float:
        """Return the age of the newest proof that the servers are current."""
        return now_ms - self._servers_proof_ms

    def on_store_recovered(self, away_ms: float, now_ms: float) -> None:
        """Keep servers for a while whose entries can have lapsed while the store was away."""
        if away_ms < self._settings.timing.lapse_outage_ms:
            return
        self._hold_removals_until_ms = now_ms + self._settings.timing.lapse_ms

    def apply_due_removals(self, now_ms: float) -> None:
        """Carry out removals that have waited long enough."""
        for server, until_ms in list(self._held_removals.items()):
            if now_ms >= until_ms:
                del self._held_removals[server]
                self._remove_now(server, now_ms)

    def proof_age_ms(self, now_ms: float) -> float:
        """Return the age of the newest proof that the configuration is current."""
        return now_ms - self._proof_ms

    def may_use_keys(self, now_ms: float) -> bool:
        """Return whether a key in the configuration cannot have been revoked too long ago."""
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
            "Configuration is in force.",
            version=table.version,
            former_version=former,
            routes=len(table.routes),
            accounts=len(table.accounts),
        )

    def _apply_zone(self, zone: str, evacuated: bool) -> None:
        changed = self.directory.evacuate(zone) if evacuated else self.directory.restore(zone)
        if changed:
            _log.info("Zone has changed.", zone=zone, evacuated=evacuated)

    def _remove(self, server: str, now_ms: float) -> None:
        if now_ms < self._hold_removals_until_ms:
            if server not in self._held_removals:
                self._held_removals[server] = self._hold_removals_until_ms
                self.directory.doubt(server)
                held_ms = self._hold_removals_until_ms - now_ms
                _log.info("Removal is put off.", server=server, held_ms=round(held_ms))
            return
        self._remove_now(server, now_ms)

    def _cancel_removal(self, entry: ServerEntry) -> None:
        if entry.server in self._held_removals and self.directory.is_newer(entry):
            del self._held_removals[entry.server]
            self.directory.trust(entry.server)
            _log.info(
                "Removal is cancelled by a heartbeat.",
                server=entry.server,
                born_ms=entry.born_ms,
                sequence=entry.sequence,
            )

    def _remove_now(self, server: str, now_ms: float) -> None:
        if self.directory.remove(server, now_ms):
            _log.info("Server is gone.", server=server)


class _StateSink:
    """Takes changes over into the beliefs.

    Args:
        beliefs: What the router believes.
    """

    def __init__(self, beliefs: ControlPlaneState) -> None:
        self._beliefs = beliefs

    def apply(self, change: Change, now_ms: float) -> None:
        """Take over one change."""
        self._beliefs.apply(change, now_ms)


class ControlSink(_StateSink):
    """Takes what the operators write."""

    def on_complete_read(self, changes: list[Change], now_ms: float) -> None:
        """Take back the zones that are no longer evacuated."""
        zones = [one for one in changes if isinstance(one, ZoneChanged)]
        self._beliefs.retain_evacuated_zones({one.zone for one in zones if one.evacuated})

    def record_proof(self, proof_ms: float, now_ms: float) -> None:
        """Note how fresh the configuration is."""
        self._beliefs.record_proof(proof_ms)

    def on_store_recovered(self, away_ms: float, now_ms: float) -> None:
        """Do nothing: the configuration does not lapse."""


class ServerSink(_StateSink):
    """Takes the heartbeats of backend servers."""

    def apply(self, change: Change, now_ms: float) -> None:
        """Take over one change; an entry that cannot be read hides the server that it names."""
        if isinstance(change, UnreadableEntry):
            if self._beliefs.directory.note_foreign(change.subject):
                _log.warning("Server is hidden by an entry.", server=change.subject)
            return
        super().apply(change, now_ms)

    def on_complete_read(self, changes: list[Change], now_ms: float) -> None:
        """Remove the servers that have no entry."""
        seen = {one.entry.server for one in changes if isinstance(one, ServerChanged)}
        seen |= {one.subject for one in changes if isinstance(one, UnreadableEntry)}
        self._beliefs.retain_servers(seen, now_ms)

    def record_proof(self, proof_ms: float, now_ms: float) -> None:
        """Note how fresh the servers are."""
        self._beliefs.servers_known = True
        self._beliefs.record_servers_proof(proof_ms)
        self._beliefs.directory.forget_old(now_ms)

    def on_store_recovered(self, away_ms: float, now_ms: float) -> None:
        """Put removals off: entries may have lapsed meanwhile."""
        self._beliefs.on_store_recovered(away_ms, now_ms)
