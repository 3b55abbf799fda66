"""Tracks the connections of callers and keeps them within the descriptor limit."""

from __future__ import annotations

from collections.abc import Iterator

from cicadaledge.edge._caller_connection import CallerConnection
from cicadaledge.edge._channel import clock_ms
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
# An eviction closes at most this fraction of the connection limit.
_EVICTION_BATCH_RATIO = 0.1
_log = PartLog("callers")


class CallerConnections:
    """The set of callers' connections; closes idle ones when it is nearly full.

    Args:
        settings: Provides the number of descriptors for connections.

    Attributes:
        limit: Maximum number of callers' connections.
    """

    def __init__(self, settings: EdgeSettings) -> None:
        self.limit = max(1, int(settings.max_connections * _DESCRIPTOR_RATIO))
        self._connections: set[CallerConnection] = set()
        self._next_eviction_ms = 0.0

    def __iter__(self) -> Iterator[CallerConnection]:
        return iter(list(self._connections))

    def __len__(self) -> int:
        return len(self._connections)

    @property
    def is_half_full(self) -> bool:
        """Whether over half the limit is used; refused callers should then reconnect elsewhere."""
        return len(self._connections) > self.limit * _CLOSE_REFUSED_RATIO

    def has_room(self) -> bool:
        """Return whether one more caller may connect; if not, close idle connections."""
        if len(self._connections) < self.limit:
            return True
        self._evict_idle()
        return False

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
