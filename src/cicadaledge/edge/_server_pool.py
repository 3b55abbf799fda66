"""Connections to backend servers that can be used again."""

from __future__ import annotations

from collections import deque

from cicadaledge.edge._http_client import HttpConnection
from cicadaledge.edge._settings import TimingSettings
from cicadaledge.routing import ServerEntry

_IDLE_LIMIT_MS = 4_000.0  # below the idle time-outs of usual servers
_UNREPEATABLE_IDLE_MS = 250.0  # some servers forget idle connections after 300 ms, unseen
_IDLE_PER_SERVER = 24  # about what one router runs on a server at once

_Key = tuple[str, int]


class ServerPool:
    """Idle connections by server incarnation.

    Args:
        timing: Gives the time-out of connecting.
    """

    def __init__(self, timing: TimingSettings) -> None:
        self._timing = timing
        self._idle: dict[_Key, deque[HttpConnection]] = {}

    async def take(self, server: ServerEntry, *, repeatable: bool) -> HttpConnection:
        """Return a connection to a server.

        Args:
            repeatable: Whether a request that is lost on a closing connection can be sent again.

        Raises:
            BackendError: The server cannot be reached.
        """
        limit_ms = _IDLE_LIMIT_MS if repeatable else _UNREPEATABLE_IDLE_MS
        idle = self._idle.get((server.server, server.born_ms), deque())
        while idle:
            connection = idle.pop()
            if connection.is_ready(limit_ms):
                return connection
            connection.channel.close()
        return await HttpConnection.open(
            server.host, server.port, server.server, self._timing.connect_ms
        )

    def give_back(self, server: ServerEntry, connection: HttpConnection) -> None:
        """Keep a connection whose exchange is complete, or close it."""
        if not connection.finish():
            connection.channel.close()
            return
        idle = self._idle.setdefault((server.server, server.born_ms), deque())
        idle.append(connection)
        if len(idle) > _IDLE_PER_SERVER:
            idle.popleft().channel.close()

    def close_idle(self) -> None:
        """Close connections that nobody will use again."""
        for key, idle in list(self._idle.items()):
            kept: deque[HttpConnection] = deque()
            for connection in idle:
                if connection.is_usable(_IDLE_LIMIT_MS):
                    kept.append(connection)
                else:
                    connection.channel.close()
            if kept:
                self._idle[key] = kept
            else:
                del self._idle[key]
