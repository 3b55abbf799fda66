"""Connections to backend servers that can be used again."""

from __future__ import annotations

from collections import deque

from cicadaledge.edge._http_client import HttpConnection
from cicadaledge.edge._settings import EdgeSettings
from cicadaledge.routing import ServerEntry

_IDLE_LIMIT_MS = 4_000.0  # below the idle time-outs of usual servers
_UNREPEATABLE_IDLE_MS = 250.0  # some servers forget idle connections after 300 ms, unseen
_IDLE_PER_SERVER = 24  # about what one router runs on a server at once
_SERVER_PART = 0.35  # of the descriptors; callers, the store and peers have the others

_Key = tuple[str, int]


class PoolExhaustedError(Exception):
    """All connections that a process may have to servers are in use."""


class ServerPool:
    """Connections to servers, the idle ones by server incarnation.

    Args:
        settings: Gives the time-out of connecting and the descriptors.
    """

    def __init__(self, settings: EdgeSettings) -> None:
        self._timing = settings.timing
        self._most = max(1, int(settings.max_connections * _SERVER_PART))
        self._idle: dict[_Key, deque[HttpConnection]] = {}
        self._open: dict[HttpConnection, _Key] = {}
        self._opening = 0

    def __len__(self) -> int:
        return len(self._open) + self._opening

    async def acquire(self, server: ServerEntry, *, repeatable: bool) -> HttpConnection:
        """Return a connection to a server.

        Args:
            repeatable: Whether a request that is lost on a closing connection can be sent again.

        Raises:
            BackendError: The server cannot be reached.
            NoConnectionLeftError: Too many connections are in use.
        """
        limit_ms = _IDLE_LIMIT_MS if repeatable else _UNREPEATABLE_IDLE_MS
        idle = self._idle.get((server.server, server.born_ms), deque())
        while idle:
            connection = idle.pop()
            if connection.is_ready(limit_ms):
                return connection
            self._close(connection)
        return await self._connect(server)

    async def _connect(self, server: ServerEntry) -> HttpConnection:
        self._make_room()
        self._opening += 1
        try:
            connection = await HttpConnection.open(
                server.host, server.port, server.server, self._timing.connect_ms
            )
        finally:
            self._opening -= 1
        self._open[connection] = (server.server, server.born_ms)
        connection.channel.call_when_lost(lambda: self._forget(connection))
        return connection

    def _make_room(self) -> None:
        """Close the connection that has been idle for longest if there are too many."""
        if len(self) < self._most:
            return
        lines = [idle for idle in self._idle.values() if idle]
        if not lines:
            raise PoolExhaustedError(f"{len(self)} connections to servers are in use")
        self._close(min(lines, key=lambda idle: idle[0].last_used_ms).popleft())

    def _close(self, connection: HttpConnection) -> None:
        self._forget(connection)
        connection.channel.close()

    def _forget(self, connection: HttpConnection) -> None:
        self._open.pop(connection, None)

    def has_open_connection(self, server: ServerEntry) -> bool:
        """Return whether a connection to an incarnation of a server has not ended."""
        key = (server.server, server.born_ms)
        return any(one == key and not own.channel.is_lost for own, one in self._open.items())

    def release(self, server: ServerEntry, connection: HttpConnection) -> None:
        """Keep a connection whose exchange is complete, or close it."""
        if not connection.finish_exchange():
            self._close(connection)
            return
        idle = self._idle.setdefault((server.server, server.born_ms), deque())
        idle.append(connection)
        if len(idle) > _IDLE_PER_SERVER:
            self._close(idle.popleft())

    def close_idle(self) -> None:
        """Close connections that nobody will use again."""
        for key, idle in list(self._idle.items()):
            kept: deque[HttpConnection] = deque()
            for connection in idle:
                if connection.is_usable(_IDLE_LIMIT_MS):
                    kept.append(connection)
                else:
                    self._close(connection)
            if kept:
                self._idle[key] = kept
            else:
                del self._idle[key]
