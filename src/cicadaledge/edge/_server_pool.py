"""Pool of reusable connections to backend servers."""

from __future__ import annotations

from collections import deque
from collections.abc import Collection

from cicadaledge.edge._http_client import HttpConnection
from cicadaledge.edge._settings import EdgeSettings
from cicadaledge.routing import ServerEntry

# Of the connections to a server that have been idle for longer, only the newest one is kept, for as
# long as the server states. Servers limit the connections of all routers together, and a router of a
# large fleet sends a server a request every few seconds.
_SEVERAL_IDLE_MS = 4_000.0
# For requests that are not idempotent, the limit is shorter. Some servers drop connections after
# 300 ms of idle time without closing them, and such a request would be lost there.
_NON_IDEMPOTENT_IDLE_LIMIT_MS = 250.0
# At most this many idle connections to a server are kept. One router runs about as many requests on
# a server at once.
_MAX_IDLE_PER_SERVER = 24
# Connections to servers may use this fraction of the process's descriptors. The rest is for
# callers, the store and peers.
_DESCRIPTOR_RATIO = 0.35

_ServerKey = tuple[str, int]


class PoolExhaustedError(Exception):
    """All connections to servers that the process may open are in use."""


class ServerPool:
    """Open connections to servers, with the idle ones grouped by server incarnation.

    Args:
        settings: Provides the connect timeout and the number of descriptors.
    """

    def __init__(self, settings: EdgeSettings) -> None:
        self._timing = settings.timing
        self._max_connections = max(1, int(settings.max_connections * _DESCRIPTOR_RATIO))
        self._idle: dict[_ServerKey, deque[HttpConnection]] = {}
        self._open: dict[HttpConnection, _ServerKey] = {}
        self._opening = 0

    def __len__(self) -> int:
        return len(self._open) + self._opening

    async def acquire(
        self, server: ServerEntry, *, repeatable: bool, excluded: Collection[int] = ()
    ) -> HttpConnection:
        """Return a connection to a server.

        A request that can be repeated gets the connection that has been idle longest, so that others
        find one that was used a moment ago.

        Args:
            repeatable: Whether a request that is lost with its connection can be sent again.
            excluded: Numbers of the connections that the request was sent on before. A late copy of
                a response there would have the id of the request.

        Raises:
            BackendError: The server cannot be reached.
            PoolExhaustedError: All connections are in use.
        """
        idle = self._idle.get((server.server, server.born_ms), deque())
        for connection in list(idle) if repeatable else list(reversed(idle)):
            if not repeatable and connection.idle_ms >= _NON_IDEMPOTENT_IDLE_LIMIT_MS:
                break
            if connection.number in excluded:
                continue
            idle.remove(connection)
            if connection.is_ready():
                return connection
            self._close(connection)
        self._close_longest_idle(idle, excluded)
        return await self._connect(server)

    def _close_longest_idle(self, idle: deque[HttpConnection], numbers: Collection[int]) -> None:
        """Close one of the numbered connections, so that a new one can take its place.

        Otherwise, a request that a full server refuses again and again would add a connection each
        time, and servers reset connections beyond a limit.
        """
        connection = next((one for one in idle if one.number in numbers), None)
        if connection is not None:
            idle.remove(connection)
            self._close(connection)

    async def _connect(self, server: ServerEntry) -> HttpConnection:
        self._evict_if_full()
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

    def _evict_if_full(self) -> None:
        """Close the longest idle connection if the pool is full."""
        if len(self) < self._max_connections:
            return
        idle_queues = [idle for idle in self._idle.values() if idle]
        if not idle_queues:
            raise PoolExhaustedError(f"{len(self)} connections to servers are in use")
        self._close(min(idle_queues, key=lambda idle: idle[0].last_used_ms).popleft())

    def _close(self, connection: HttpConnection) -> None:
        self._forget(connection)
        connection.channel.close()

    def _forget(self, connection: HttpConnection) -> None:
        self._open.pop(connection, None)

    def has_open_connection(self, server: ServerEntry) -> bool:
        """Return whether a connection to this incarnation of a server is still open."""
        key = (server.server, server.born_ms)
        return any(one == key and not own.channel.is_lost for own, one in self._open.items())

    def release(self, server: ServerEntry, connection: HttpConnection) -> None:
        """Return a connection whose exchange is complete to the pool, or close it."""
        if not connection.finish_exchange():
            self._close(connection)
            return
        idle = self._idle.setdefault((server.server, server.born_ms), deque())
        idle.append(connection)
        if len(idle) > _MAX_IDLE_PER_SERVER:
            self._close(idle.popleft())

    def close_idle(self) -> None:
        """Close idle connections that can no longer be reused."""
        for key, idle in list(self._idle.items()):
            kept: deque[HttpConnection] = deque()
            for connection in idle:
                is_kept = connection is idle[-1] or connection.idle_ms < _SEVERAL_IDLE_MS
                if is_kept and connection.is_usable():
                    kept.append(connection)
                else:
                    self._close(connection)
            if kept:
                self._idle[key] = kept
            else:
                del self._idle[key]
