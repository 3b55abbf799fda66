"""HTTP server of a router, whose threads wait only for callers that send.

Answers crowds that connect and send nothing, or stop half-way: the library's server gives a thread
to each new connection, which then waits for the time-out of the socket.
"""

from __future__ import annotations

import socket
import threading
import time
from typing import Any

from cheroot import wsgi
from cheroot.makefile import StreamReader
from cheroot.server import HTTPConnection

from cicadaledge.logs import PartLog
from cicadaledge.router._http import SocketGateway
from cicadaledge.router._metrics import RouterMetrics
from cicadaledge.settings import LimitSettings, ListenSettings
from cicadaledge.wire import is_readable

_REQUEST_QUEUE = 256
# A caller that sends nothing for this long gives way if others wait for a thread. A lost packet is
# usually sent again within this time.
_STALL_S = 0.25
# The same for a request that has not arrived within this time, however it is sent.
_SLOW_S = 3.0
_SERVER_NAME = "cicadaledge"
_log = PartLog("callers")


class _CallerConnection(HTTPConnection):
    """A connection whose requests must arrive within a time."""

    def __init__(self, server: CallerServer, sock: socket.socket, *more: Any) -> None:
        super().__init__(server, sock, *more)
        self.is_known = False
        self._reader = _TimedReader(server, sock)
        self.rfile = _TimedStream(self._reader, self.rbufsize)

    def communicate(self) -> bool:
        """Read and answer one request; return whether the connection stays open."""
        self._reader.started_s = time.monotonic()
        return bool(super().communicate())


class _TimedStream(StreamReader):
    """The library's stream of a connection, on another source of bytes."""

    def __init__(self, raw: _TimedReader, buffer_bytes: int) -> None:
        super(StreamReader, self).__init__(raw, buffer_bytes)
        self.bytes_read = 0


class _TimedReader(socket.SocketIO):
    """Reads from a socket until the time of the request is over.

    Args:
        server: Tells whether others wait for a thread.

    Attributes:
        started_s: When reading the request began.
    """

    def __init__(self, server: CallerServer, sock: socket.socket) -> None:
        super().__init__(sock, "rb")
        self.started_s = time.monotonic()
        self._server = server
        self._connected = sock

    def readinto(self, buffer: Any) -> int | None:
        """Read at least a byte.

        Raises:
            TimeoutError: The request does not arrive, or its thread is needed for others.
        """
        sock, server = self._connected, self._server
        try:
            while True:
                elapsed_s = time.monotonic() - self.started_s
                if elapsed_s > server.request_timeout_s:
                    raise TimeoutError("timed out")
                if elapsed_s > _SLOW_S and server.has_waiting:
                    server.count_gave_way()
                    raise TimeoutError("timed out")
                sock.settimeout(_STALL_S)
                try:
                    return sock.recv_into(buffer)
                except TimeoutError:
                    if server.has_waiting:
                        server.count_gave_way()
                        raise TimeoutError("timed out") from None
        finally:
            if sock.fileno() >= 0:
                sock.settimeout(server.timeout)


class CallerServer(wsgi.Server):
    """The server of the interface for callers and operators.

    Args:
        limits: Number of threads and connections, and time for a request.
    """

    ConnectionClass = _CallerConnection
    _connections: Any

    def __init__(
        self,
        listen: ListenSettings,
        limits: LimitSettings,
        application: Any,
        metrics: RouterMetrics,
    ) -> None:
        super().__init__(
            (listen.host, listen.caller_port),
            application,
            numthreads=limits.threads,
            server_name=_SERVER_NAME,
            max=limits.threads,
            request_queue_size=_REQUEST_QUEUE,
            timeout=max(1, limits.request_timeout_ms // 1000),
            shutdown_timeout=1,
        )
        self.gateway = SocketGateway
        self.max_request_header_size = limits.header_bytes
        self.request_timeout_s = limits.request_timeout_ms / 1000
        self._max_connections = limits.connections
        self._metrics = metrics
        self._count_lock = threading.Lock()
        self._gave_way = 0
        self._refused = 0

    @property
    def has_waiting(self) -> bool:
        """Whether a connection with a request waits for a thread."""
        return bool(self.requests.qsize)

    def count_gave_way(self) -> None:
        """Count a request whose thread was needed for others."""
        with self._count_lock:
            self._gave_way += 1

    def process_conn(self, conn: Any) -> None:
        """Give a connection that has sent something to a thread; let a new one wait until then."""
        if conn.is_known:
            super().process_conn(conn)
            return
        conn.is_known = True
        if self._open_connections() >= self._max_connections and not self._close_oldest():
            with self._count_lock:
                self._refused += 1
            conn.close()
            return
        self._connections.put(conn)

    def report(self) -> None:
        """Log and count what met a limit since the last report."""
        with self._count_lock:
            gave_way, refused = self._gave_way, self._refused
            self._gave_way = self._refused = 0
        if gave_way or refused:
            self._metrics.count_bound("gave way", gave_way)
            self._metrics.count_bound("connections, refused", refused)
            _log.warning(
                "Threads or connections were at the limit; silent and slow callers gave way.",
                gave_way=gave_way,
                refused=refused,
                limit=self._max_connections,
            )

    def _open_connections(self) -> int:
        busy = self.requests.qsize + len(self.requests._threads) - self.requests.idle
        return int(self._connections._num_connections + busy)

    def _close_oldest(self) -> bool:
        """Close the connection that has been silent longest; return whether there was one."""
        found = list(self._connections._selector.connections)
        waiting = [(conn.last_used, at, conn) for at, conn in found if conn is not self]
        for _, descriptor, conn in sorted(waiting, key=lambda one: one[0]):
            if not is_readable(descriptor):
                self._connections._selector.unregister(descriptor)
                conn.close()
                self.count_gave_way()
                return True
        return False
