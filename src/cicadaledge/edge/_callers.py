"""All connections of callers to one router, within the descriptors that it may use."""

from __future__ import annotations

from cicadaledge.edge._caller import CallerConnection
from cicadaledge.edge._channel import clock_ms
from cicadaledge.edge._settings import EdgeSettings
from cicadaledge.logs import PartLog

_CALLER_PART = 0.6  # of the descriptors; the rest is for servers, the store and peers
_FULL_PART = 0.95  # of the callers' part, from which idle callers make room
_CROWDED_PART = 0.5  # of the callers' part, from which refused callers are sent away
_IN_VAIN_MS = 100.0  # until callers are looked through again of whom none was idle
_ROOM_PART = 0.1  # of the callers' part that is made free at once
_log = PartLog("callers")


class CallerConnections:
    """Keeps count of the callers' connections and closes idle ones where they are too many.

    Args:
        settings: Gives the descriptors that connections may use.

    Attributes:
        limit: Most callers.
    """

    def __init__(self, settings: EdgeSettings) -> None:
        self.limit = max(1, int(settings.max_connections * _CALLER_PART))
        self._connections: set[CallerConnection] = set()
        self._in_vain_until_ms = 0.0

    def __len__(self) -> int:
        return len(self._connections)

    @property
    def is_half_full(self) -> bool:
        """Whether a caller that is refused should open another connection elsewhere."""
        return len(self._connections) > self.limit * _CROWDED_PART

    def has_room(self) -> bool:
        """Return whether one more may connect; if not, close idle callers for those who follow."""
        if len(self._connections) < self.limit:
            return True
        self._make_room()
        return False

    def add(self, connection: CallerConnection) -> None:
        """Count a connection; make room if there are too many."""
        self._connections.add(connection)
        if len(self._connections) > self.limit * _FULL_PART:
            self._make_room()

    def discard(self, connection: CallerConnection) -> None:
        """Forget a connection that has ended."""
        self._connections.discard(connection)

    def close_idle(self) -> None:
        """Close every connection that waits for a request."""
        closed = self._close(self._idle(), most=len(self._connections))
        if closed:
            callers = len(self._connections)
            _log.info("Idle connections are closed.", closed=closed, callers=callers)

    def _make_room(self) -> None:
        """Close the connections that have been idle for longest."""
        now_ms = clock_ms()
        if now_ms < self._in_vain_until_ms:
            return
        idle = sorted(self._idle(), key=lambda connection: connection.idle_since_ms)
        closed = self._close(idle, most=max(1, int(self.limit * _ROOM_PART)))
        if not closed:
            self._in_vain_until_ms = now_ms + _IN_VAIN_MS
        else:
            _log.warning(
                "Too many callers; idle ones are closed.",
                callers=len(self._connections),
                limit=self.limit,
                closed=closed,
            )

    def _idle(self) -> list[CallerConnection]:
        now_ms = clock_ms()
        return [connection for connection in self._connections if connection.is_idle(now_ms)]

    @staticmethod
    def _close(idle: list[CallerConnection], most: int) -> int:
        """Close connections for which the kernel has nothing either; return how many."""
        closed = 0
        for connection in idle:
            if closed == most:
                break
            if not connection.channel.is_readable():
                connection.channel.close()
                closed += 1
        return closed
