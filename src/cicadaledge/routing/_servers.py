"""The backend servers that one router knows of."""

from __future__ import annotations

import enum
from collections.abc import Iterator

from attrs import define, frozen

_TOMBSTONE_MS = 60_000  # late heartbeats come at most seconds after a removal


class ServerState(enum.StrEnum):
    """What a server says of itself."""

    READY = "ready"
    DRAINING = "draining"


@frozen
class ServerEntry:
    """One heartbeat of a backend server.

    Args:
        born_ms: Start of its incarnation, milliseconds since the epoch.
        sequence: Grows with each heartbeat of one incarnation.
        cold_left_ms: How long it stays cold, from the heartbeat on.
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


@define
class _Known:
    entry: ServerEntry
    first_seen_ms: float
    cold_until_ms: float
    removed_ms: float | None = None
    foreign: bool = False
    says_leaving: bool = False
    paused_until_ms: float = 0.0
    pause_told_ms: float = 0.0


class ServerDirectory:
    """Newest entry of each server, with what it implies for placing.

    Entries from an older incarnation, or older than the newest of the same incarnation, are
    ignored: heartbeats can be applied late.
    """

    def __init__(self) -> None:
        self._known: dict[str, _Known] = {}
        self._evacuated: set[str] = set()
        self._doubted: set[str] = set()
        self._last_pause_ms = 0.0
        self._usable: dict[str, dict[str, ServerEntry]] = {}
        self._generation = 0

    @property
    def generation(self) -> int:
        """Grows whenever a server becomes usable or stops being so."""
        return self._generation

    def apply(self, entry: ServerEntry, now_ms: float) -> bool:
        """Take over a heartbeat; return whether the server's usability changed."""
        known = self._known.get(entry.server)
        cold_until_ms = now_ms + entry.cold_left_ms
        if known is None:
            self._known[entry.server] = _Known(entry, now_ms, cold_until_ms)
            self._note_change()
            return True
        newest = known.entry
        if not self.is_newer(entry):
            return False
        changed = (
            known.removed_ms is not None
            or known.foreign
            or entry.state is not newest.state
            or entry.born_ms != newest.born_ms
            or entry.service != newest.service
            or entry.zone != newest.zone
        )
        if entry.born_ms != newest.born_ms:
            known.first_seen_ms = now_ms
            known.says_leaving = False
            if entry.born_ms > known.pause_told_ms:
                known.paused_until_ms = 0.0
        known.entry = entry
        known.cold_until_ms = cold_until_ms
        known.removed_ms = None
        known.foreign = False
        if changed:
            self._note_change()
        elif entry.server in self._usable.get(entry.service, ()):
            self._usable[entry.service][entry.server] = entry
        return changed

    def is_newer(self, entry: ServerEntry) -> bool:
        """Return whether a heartbeat was written after the newest one that is known."""
        known = self._known.get(entry.server)
        if known is None:
            return True
        newest = known.entry
        return (entry.born_ms, entry.sequence) > (newest.born_ms, newest.sequence)

    def remove(self, server: str, now_ms: float) -> bool:
        """Note that a server's entry is gone; return whether this is news."""
        known = self._known.get(server)
        if known is None or known.removed_ms is not None:
            return False
        known.removed_ms = now_ms
        self._doubted.discard(server)
        self._note_change()
        return True

    def mark_foreign(self, server: str) -> bool:
        """Note an entry that no server wrote; return whether it hid a server."""
        known = self._known.get(server)
        if known is None or known.foreign:
            return False
        known.foreign = True
        self._note_change()
        return True

    def mark_unconfirmed(self, server: str) -> None:
        """Note that a server may be gone; it remains the last resort."""
        self._doubted.add(server)

    def mark_confirmed(self, server: str) -> None:
        """Note that a server that was doubted lives."""
        self._doubted.discard(server)

    def unconfirmed(self) -> set[str]:
        """Return the servers that may be gone; not to be changed."""
        return self._doubted

    def server_names(self) -> set[str]:
        """Return the servers whose entries are there."""
        return {name for name, known in self._known.items() if known.removed_ms is None}

    def mark_cold(self, server: str, until_ms: float) -> None:
        """Note that a server is cold until a time, if that is later than known."""
        known = self._known.get(server)
        if known is not None:
            known.cold_until_ms = max(known.cold_until_ms, until_ms)

    def mark_leaving(self, entry: ServerEntry) -> bool:
        """Note that a server itself says that it leaves; return whether this is news.

        It holds until another incarnation comes, whatever its entries say.
        """
        known = self._incarnation(entry)
        if known is None or known.says_leaving:
            return False
        known.says_leaving = True
        self._note_change()
        return True

    def mark_paused(self, entry: ServerEntry, until_ms: float, told_ms: float = 0.0) -> None:
        """Note that a server wants nothing until a time, if that is later than known.

        Args:
            told_ms: When it said so, milliseconds since the epoch. A later incarnation that was
                there by then has said so itself, before its entry was read.
        """
        known = self._incarnation(entry)
        if known is not None:
            known.pause_told_ms = max(known.pause_told_ms, told_ms)
            known.paused_until_ms = max(known.paused_until_ms, until_ms)
            self._last_pause_ms = max(self._last_pause_ms, until_ms)

    def paused_until_ms(self, server: str) -> float:
        """Return until when a server wants nothing."""
        known = self._known.get(server)
        return known.paused_until_ms if known else 0.0

    def paused(self, now_ms: float) -> set[str]:
        """Return the servers that want nothing now."""
        if now_ms >= self._last_pause_ms:
            return set()
        return {name for name, known in self._known.items() if known.paused_until_ms > now_ms}

    def leaving(self) -> dict[str, int]:
        """Return the servers that said that they leave, with the start of their incarnation."""
        return {
            name: known.entry.born_ms
            for name, known in self._known.items()
            if known.says_leaving and known.removed_ms is None
        }

    def _incarnation(self, entry: ServerEntry) -> _Known | None:
        known = self._known.get(entry.server)
        return known if known is not None and known.entry.born_ms == entry.born_ms else None

    def evacuate(self, zone: str) -> bool:
        """Send nothing more to a zone; return whether this is news."""
        if zone in self._evacuated:
            return False
        self._evacuated.add(zone)
        self._note_change()
        return True

    def restore(self, zone: str) -> bool:
        """Take a zone back; return whether it was evacuated."""
        if zone not in self._evacuated:
            return False
        self._evacuated.discard(zone)
        self._note_change()
        return True

    def evacuated(self) -> set[str]:
        """Return the zones that get nothing."""
        return set(self._evacuated)

    def usable(self, service: str) -> Iterator[ServerEntry]:
        """Yield the servers of a service that may get requests."""
        yield from self.usable_by_name(service).values()

    def usable_by_name(self, service: str) -> dict[str, ServerEntry]:
        """Return the servers of a service that may get requests; not to be changed."""
        usable = self._usable.get(service)
        if usable is None:
            usable = self._usable[service] = {
                name: known.entry
                for name, known in self._known.items()
                if known.entry.service == service and self._may_serve(known)
            }
        return usable

    def _note_change(self) -> None:
        self._usable.clear()
        self._generation += 1

    def is_usable(self, entry: ServerEntry, now_ms: float) -> bool:
        """Return whether a server that was chosen earlier may still get requests."""
        known = self._incarnation(entry)
        return known is not None and self._may_serve(known) and known.paused_until_ms <= now_ms

    def is_staying(self, entry: ServerEntry) -> bool:
        """Return whether nothing says that an incarnation leaves or has left."""
        known = self._incarnation(entry)
        return known is not None and self._stays(known)

    def is_replaced(self, entry: ServerEntry) -> bool:
        """Return whether a later incarnation has a server's name or its address."""
        address = (entry.host, entry.port)
        return any(
            known.entry.born_ms > entry.born_ms
            and known.removed_ms is None
            and (name == entry.server or (known.entry.host, known.entry.port) == address)
            for name, known in self._known.items()
        )

    def newest_sequence(self, entry: ServerEntry) -> int:
        """Return the number of an incarnation's newest heartbeat; 0 if another one is there."""
        known = self._incarnation(entry)
        return known.entry.sequence if known is not None else 0

    def _may_serve(self, known: _Known) -> bool:
        return self._stays(known) and known.entry.zone not in self._evacuated

    @staticmethod
    def _stays(known: _Known) -> bool:
        return (
            known.removed_ms is None
            and not known.foreign
            and not known.says_leaving
            and known.entry.state is ServerState.READY
        )

    def cold_until_ms(self, server: str) -> float:
        """Return until when a server is cold."""
        known = self._known.get(server)
        return known.cold_until_ms if known else 0.0

    def first_seen_ms(self, server: str) -> float:
        """Return since when this incarnation of a server is known."""
        known = self._known.get(server)
        return known.first_seen_ms if known else 0.0

    def purge_removed(self, now_ms: float) -> None:
        """Drop servers that were removed long ago."""
        for name, known in list(self._known.items()):
            if known.removed_ms is not None and now_ms - known.removed_ms > _TOMBSTONE_MS:
                del self._known[name]
