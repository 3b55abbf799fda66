"""Tracks the connections of callers and keeps them within the descriptor limit."""

from __future__ import annotations

from collections.abc import Iterator

from cicadaledge.clock import clock_ms
from cicadaledge.edge._caller_connection import CallerConnection
from cicadaledge.edge._settings import EdgeSettings
from cicadaledge.logs import PartLog

# Callers may use this fraction of the process's descriptors, which is the connection limit. The
# rest is for servers, the store and peers.
_DESCRIPTOR_RATIO = 0.6
# Above this fraction of the connection limit, idle connections are closed to make room.
_EVICTION_RATIO = 0.95
# Above this fraction of the connection limit, a refusal closes the caller's connection, so that the
# caller reconnects to another router.
_CLOSE_REFUSED_RATIO = 0.5
# After a scan that found no idle connection to evict, the router starts the next scan no earlier
# than this much later.
_EVICTION_RETRY_MS = 100.0
# The same for a search for silent and slow connections. Callers wait four times as long at most
# for their connection, and a search of a few thousand takes about a millisecond.
_SEARCH_PAUSE_MS = 20.0
# An eviction closes at most this fraction of the connection limit.
_EVICTION_BATCH_RATIO = 0.1
_log = PartLog("callers")


class CallerConnections:
    """The set of callers' connections; closes idle ones when it is nearly full.

    Args:
        settings: Provides the number of descriptors for connections.
        limit: Maximum number of connections; by default a part of the descriptors.

    Attributes:
        limit: Maximum number of callers' connections.
        gave_way: Number of connections closed at the limit as they were silent or slow.
    """

    def __init__(self, settings: EdgeSettings, limit: int | None = None) -> None:
        self.limit = limit or max(1, int(settings.max_connections * _DESCRIPTOR_RATIO))
        self.gave_way = 0
        self._ingress = settings.ingress
        self._connections: set[CallerConnection] = set()
        self._next_eviction_ms = 0.0
        self._next_search_ms = 0.0

    def __iter__(self) -> Iterator[CallerConnection]:
        return iter(list(self._connections))

    def __len__(self) -> int:
        return len(self._connections)

    @property
    def is_half_full(self) -> bool:
        """Whether over half the limit is used; refused callers should then reconnect elsewhere."""
        return len(self._connections) > self.limit * _CLOSE_REFUSED_RATIO

    def has_room(self) -> bool:
        """Return whether one more caller may connect; at the limit, close others to make room."""
        if len(self._connections) < self.limit:
            return True
        self._evict_idle()
        return self._evict_incomplete()

    def add(self, connection: CallerConnection) -> None:
        """Add a connection; close idle ones if the limit is nearly reached."""
        self._connections.add(connection)
        if len(self._connections) > self.limit * _EVICTION_RATIO:
            self._evict_idle()

    def discard(self, connection: CallerConnection) -> None:
        """Remove a closed connection."""
        self._connections.discard(connection)

    def close_idle(self) -> None:
        """Close all idle connections."""
        closed = self._close(self._idle(), max_count=len(self._connections))
        if closed:
            callers = len(self._connections)
            _log.info("Closed all idle caller connections.", closed=closed, callers=callers)

    def _evict_incomplete(self) -> bool:
        """Close connections that are silent, or whose request arrives slowly; return if any are."""
        now_ms = clock_ms()
        if now_ms < self._next_search_ms:
            return False
        silent_ms, stall_ms = self._ingress.silent_ms, self._ingress.stall_ms
        found = []
        for connection in self._connections:
            since_ms = connection.reading_since_ms
            if since_ms is not None:
                if now_ms - since_ms >= stall_ms:
                    found.append((since_ms, connection))
            elif connection.is_silent and now_ms - connection.idle_since_ms >= silent_ms:
                found.append((connection.idle_since_ms, connection))
        found.sort(key=lambda one: one[0])
        closed = 0
        for _, connection in found[: max(1, int(self.limit * _EVICTION_BATCH_RATIO))]:
            # What the kernel has received belongs to a caller that sends.
            if not connection.channel.is_readable():
                connection.give_way()
                self._connections.discard(connection)
                closed += 1
        self.gave_way += closed
        if not closed:
            self._next_search_ms = now_ms + _SEARCH_PAUSE_MS
        return bool(closed)

    def _evict_idle(self) -> None:
        """Close the connections that have been idle longest."""
        now_ms = clock_ms()
        if now_ms < self._next_eviction_ms:
            return
        idle = sorted(self._idle(), key=lambda connection: connection.idle_since_ms)
        closed = self._close(idle, max_count=max(1, int(self.limit * _EVICTION_BATCH_RATIO)))
        if not closed:
            self._next_eviction_ms = now_ms + _EVICTION_RETRY_MS
        else:
            _log.warning(
                "Caller connections are near the limit; closed those idle longest.",
                callers=len(self._connections),
                limit=self.limit,
                closed=closed,
            )

    def _idle(self) -> list[CallerConnection]:
        now_ms = clock_ms()
        return [connection for connection in self._connections if connection.is_idle(now_ms)]

    @staticmethod
    def _close(idle: list[CallerConnection], max_count: int) -> int:
        """Close connections that have no unread data in the kernel; return how many."""
        closed = 0
        for connection in idle:
            if closed == max_count:
                break
            if not connection.channel.is_readable():
                connection.channel.close()
                closed += 1
        return closed
