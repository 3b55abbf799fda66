"""The backend servers that are known to one router."""

from __future__ import annotations

import enum
from collections.abc import Iterator

from attrs import define, frozen

# The record of a removed server is kept for this time, so that delayed heartbeats, which arrive at
# most seconds after the removal, are recognised as old and do not add the server again.
_REMOVED_RETENTION_MS = 60_000


# Version of a server's software; its type is that of the field in the entry.
Version = str | int


class ServerState(enum.StrEnum):
    """State that a server reports."""

    READY = "ready"
    DRAINING = "draining"


@frozen
class ServerEntry:
    """One heartbeat of a backend server.

    An incarnation is one run of a server's process. A server is cold while it warms up and can
    serve only a low rate.

    Args:
        cold_left_ms: Time from the heartbeat on for which the server stays cold.
        born_ms: Start of its incarnation, milliseconds since the epoch.
        sequence: Grows with each heartbeat of one incarnation.
        version: Version of its software; empty if it states none.
    """

    server: str
    service: str
    host: str
    port: int
    zone: str
    state: ServerState
    slots: int
    cold_left_ms: float
    born_ms: int
    sequence: int
    version: Version = ""


@define
class _ServerRecord:
    entry: ServerEntry
    first_seen_ms: float
    cold_until_ms: float
    removed_ms: float | None = None
    is_foreign: bool = False
    is_leaving: bool = False
    paused_until_ms: float = 0.0
    pause_reported_ms: float = 0.0


class ServerDirectory:
    """The newest heartbeat entry of each server, and whether the server may get requests.

    Entries from an older incarnation, or older than the newest of the same incarnation, are
    ignored, as heartbeats can arrive late.
    """

    def __init__(self) -> None:
        self._records: dict[str, _ServerRecord] = {}
        self._evacuated: set[str] = set()
        self._unconfirmed: set[str] = set()
        self._last_pause_ms = 0.0
        self._usable: dict[str, dict[str, ServerEntry]] = {}
        self._generation = 0

    @property
    def generation(self) -> int:
        """Grows whenever a server becomes usable or stops being so."""
        return self._generation

    def apply(self, entry: ServerEntry, now_ms: float) -> bool:
        """Apply a heartbeat; return whether the server's usability may have changed."""
        record = self._records.get(entry.server)
        cold_until_ms = now_ms + entry.cold_left_ms
        if record is None:
            self._records[entry.server] = _ServerRecord(entry, now_ms, cold_until_ms)
            self._invalidate_usable()
            return True
        newest = record.entry
        if not self.is_newer(entry):
            return False
        changed = (
            record.removed_ms is not None
            or record.is_foreign
            or entry.state is not newest.state
            or entry.born_ms != newest.born_ms
            or entry.service != newest.service
            or entry.zone != newest.zone
        )
        if entry.born_ms != newest.born_ms:
            record.first_seen_ms = now_ms
            record.is_leaving = False
            if entry.born_ms > record.pause_reported_ms:
                record.paused_until_ms = 0.0
        record.entry = entry
        if entry.cold_left_ms > 0.0:
            record.cold_until_ms = cold_until_ms
        else:  # it became warm at this heartbeat at the latest
            record.cold_until_ms = min(record.cold_until_ms, now_ms)
        record.removed_ms = None
        record.is_foreign = False
        if changed:
            self._invalidate_usable()
        elif entry.server in self._usable.get(entry.service, ()):
            self._usable[entry.service][entry.server] = entry
        return changed

    def is_newer(self, entry: ServerEntry) -> bool:
        """Return whether a heartbeat is newer than the newest known one of its server."""
        record = self._records.get(entry.server)
        if record is None:
            return True
        newest = record.entry
        return (entry.born_ms, entry.sequence) > (newest.born_ms, newest.sequence)

    def is_newest(self, entry: ServerEntry) -> bool:
        """Return whether a heartbeat repeats the newest known one of its server."""
        record = self._records.get(entry.server)
        return record is not None and record.entry == entry

    def remove(self, server: str, now_ms: float) -> bool:
        """Mark a server as removed; return whether it was not so marked."""
        record = self._records.get(server)
        if record is None or record.removed_ms is not None:
            return False
        record.removed_ms = now_ms
        self._unconfirmed.discard(server)
        self._invalidate_usable()
        return True

    def mark_foreign(self, server: str) -> bool:
        """Hide a server whose entry was not written by a server; return whether it was visible.

        Its next heartbeat makes it visible again.
        """
        record = self._records.get(server)
        if record is None or record.is_foreign:
            return False
        record.is_foreign = True
        self._invalidate_usable()
        return True

    def mark_unconfirmed(self, server: str) -> None:
        """Mark a server as possibly gone; it gets requests only if no other server can."""
        self._unconfirmed.add(server)

    def mark_confirmed(self, server: str) -> None:
        """Mark a server as present."""
        self._unconfirmed.discard(server)

    def unconfirmed(self) -> set[str]:
        """Return the servers that may be gone; the set must not be modified."""
        return self._unconfirmed

    def server_names(self) -> set[str]:
        """Return the names of the servers that have not been removed."""
        return {name for name, record in self._records.items() if record.removed_ms is None}

    def mark_cold(self, server: str, until_ms: float) -> None:
        """Mark a server as cold until a time, if that is later than known."""
        record = self._records.get(server)
        if record is not None:
            record.cold_until_ms = max(record.cold_until_ms, until_ms)

    def mark_leaving(self, entry: ServerEntry) -> bool:
        """Mark a server that reported its shutdown; return whether it was not so marked.

        The mark holds until the next incarnation, whatever state the heartbeats report.
        """
        record = self._current_record(entry)
        if record is None or record.is_leaving:
            return False
        record.is_leaving = True
        self._invalidate_usable()
        return True

    def mark_paused(self, entry: ServerEntry, until_ms: float, reported_ms: float = 0.0) -> None:
        """Mark a server as paused until a time, if that is later than known.

        A paused server has asked to get no requests.

        Args:
            reported_ms: When it asked for the pause, milliseconds since the epoch. If a later
                incarnation had started by then, the pause is its own, and was reported before its
                entry was read.
        """
        record = self._current_record(entry)
        if record is not None:
            record.pause_reported_ms = max(record.pause_reported_ms, reported_ms)
            record.paused_until_ms = max(record.paused_until_ms, until_ms)
            self._last_pause_ms = max(self._last_pause_ms, until_ms)

    def paused_until_ms(self, server: str) -> float:
        """Return the end of a server's pause."""
        record = self._records.get(server)
        return record.paused_until_ms if record else 0.0

    def paused(self, now_ms: float) -> set[str]:
        """Return the servers that are paused."""
        if now_ms >= self._last_pause_ms:
            return set()
        return {name for name, record in self._records.items() if record.paused_until_ms > now_ms}

    def leaving(self) -> dict[str, int]:
        """Return the servers that reported their shutdown, and the start of their incarnations."""
        return {
            name: record.entry.born_ms
            for name, record in self._records.items()
            if record.is_leaving and record.removed_ms is None
        }

    def _current_record(self, entry: ServerEntry) -> _ServerRecord | None:
        record = self._records.get(entry.server)
        return record if record is not None and record.entry.born_ms == entry.born_ms else None

    def evacuate(self, zone: str) -> bool:
        """Stop using the servers of a zone; return whether it was not evacuated."""
        if zone in self._evacuated:
            return False
        self._evacuated.add(zone)
        self._invalidate_usable()
        return True

    def restore(self, zone: str) -> bool:
        """Use the servers of a zone again; return whether it was evacuated."""
        if zone not in self._evacuated:
            return False
        self._evacuated.discard(zone)
        self._invalidate_usable()
        return True

    def evacuated(self) -> set[str]:
        """Return the zones whose servers get no requests."""
        return set(self._evacuated)

    def usable(self, service: str) -> Iterator[ServerEntry]:
        """Yield the servers of a service that may get requests."""
        yield from self.usable_by_name(service).values()

    def usable_by_name(self, service: str) -> dict[str, ServerEntry]:
        """Return the servers of a service that may get requests; must not be modified."""
        usable = self._usable.get(service)
        if usable is None:
            usable = self._usable[service] = {
                name: record.entry
                for name, record in self._records.items()
                if record.entry.service == service and self._may_serve(record)
            }
        return usable

    def _invalidate_usable(self) -> None:
        self._usable.clear()
        self._generation += 1

    def is_usable(self, entry: ServerEntry, now_ms: float) -> bool:
        """Return whether a server that was chosen earlier may still get requests."""
        record = self._current_record(entry)
        return record is not None and self._may_serve(record) and record.paused_until_ms <= now_ms

    def is_staying(self, entry: ServerEntry) -> bool:
        """Return whether an incarnation is current and neither removed nor shutting down."""
        record = self._current_record(entry)
        return record is not None and self._is_staying(record)

    def is_replaced(self, entry: ServerEntry) -> bool:
        """Return whether a later incarnation uses a server's name or its address."""
        address = (entry.host, entry.port)
        return any(
            record.entry.born_ms > entry.born_ms
            and record.removed_ms is None
            and (name == entry.server or (record.entry.host, record.entry.port) == address)
            for name, record in self._records.items()
        )

    def newest_sequence(self, entry: ServerEntry) -> int:
        """Return the sequence of an incarnation's newest heartbeat; 0 if it is not current."""
        record = self._current_record(entry)
        return record.entry.sequence if record is not None else 0

    def _may_serve(self, record: _ServerRecord) -> bool:
        return self._is_staying(record) and record.entry.zone not in self._evacuated

    @staticmethod
    def _is_staying(record: _ServerRecord) -> bool:
        return (
            record.removed_ms is None
            and not record.is_foreign
            and not record.is_leaving
            and record.entry.state is ServerState.READY
        )

    def cold_until_ms(self, server: str) -> float:
        """Return the time until which a server is cold."""
        record = self._records.get(server)
        return record.cold_until_ms if record else 0.0

    def first_seen_ms(self, server: str) -> float:
        """Return the time at which the current incarnation of a server was first seen."""
        record = self._records.get(server)
        return record.first_seen_ms if record else 0.0

    def purge_removed(self, now_ms: float) -> None:
        """Delete the records of servers that were removed long ago."""
        for name, record in list(self._records.items()):
            if record.removed_ms is not None and now_ms - record.removed_ms > _REMOVED_RETENTION_MS:
                del self._records[name]
