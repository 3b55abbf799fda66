"""Refuses new callers at low cost while the router has no room or no time for them."""

from __future__ import annotations

import contextlib
import json
import math
import socket

from cicadaledge.codes import Code, code_info
from cicadaledge.edge._caller_connections import CallerConnections
from cicadaledge.edge._header_codec import HeaderCodec
from cicadaledge.edge._metrics import EdgeMetrics
from cicadaledge.errors import RefusalError, refusal_body
from cicadaledge.logs import PartLog
from cicadaledge.settings import Address

# A refused caller is asked to retry after this time. The retry reaches another router, which may
# have room.
_RETRY_MS = 50
# Before a refusal, the caller's bytes are read in at most `_MAX_READS` reads of this size, which
# take in a typical request. Closing a socket with unread bytes resets the connection.
_READ_BYTES = 65_536
_MAX_READS = 4
_HEAD_END = b"\r\n\r\n"
_log = PartLog("gate")


class ConnectionGate:
    """Accepts callers while there is room for them, and refuses the others immediately.

    The listener also rejects those that wait behind others for longer than `max_wait_ms`, and the
    oldest ones when too many wait.

    Args:
        callers: The accepted connections.
    """

    # Callers wait four times as long for their request to be read before they give up.
    max_wait_ms = 250.0

    def __init__(
        self, callers: CallerConnections, codec: HeaderCodec, metrics: EdgeMetrics
    ) -> None:
        self._callers = callers
        self._metrics = metrics
        self._refusal = _refusal(codec)
        self._answered = 0
        self._unread = 0
        self._disconnected = 0

    def has_room(self) -> bool:
        """Return whether one more caller may connect."""
        return self._callers.has_room()

    def reject(self, sock: socket.socket) -> None:
        """Answer a request, if one was received, that it was not run; close the connection."""
        with contextlib.closing(sock):
            try:
                if _has_request(sock):
                    sock.send(self._refusal)
                    sock.shutdown(socket.SHUT_WR)
                    self._answered += 1
                    return
            except OSError:
                self._disconnected += 1
            else:
                self._unread += 1

    def report(self) -> None:
        """Log how many callers were refused, or gave way, since the last report."""
        _report_gave_way(self._callers, "callers", self._metrics)
        count = self._answered + self._unread + self._disconnected
        if not count:
            return
        self._metrics.count_rejected_callers(count)
        _log.warning(
            "New callers were refused: connections were at the limit, or the queue of new connections"
            " was too long or too slow.",
            answered=self._answered,
            unread=self._unread,
            left=self._disconnected,
            callers=len(self._callers),
            limit=self._callers.limit,
        )
        self._answered = self._unread = self._disconnected = 0


class ProbeGate:
    """Bounds the connections at an address for probes, where silent and slow ones give way.

    Args:
        connections: The accepted connections.
        address: The address, for log lines.
    """

    # Load balancers have their own time-outs.
    max_wait_ms = math.inf

    def __init__(
        self, connections: CallerConnections, address: Address, metrics: EdgeMetrics
    ) -> None:
        self._connections = connections
        self._place = f"{address.host}:{address.port}"
        self._metrics = metrics
        self._rejected = 0

    def has_room(self) -> bool:
        """Return whether one more connection may be set up."""
        return self._connections.has_room()

    def reject(self, sock: socket.socket) -> None:
        """Close a connection. A refusal would tell a load balancer that the router is not ready."""
        sock.close()
        self._rejected += 1

    def report(self) -> None:
        """Log how many connections were closed or gave way since the last report."""
        _report_gave_way(self._connections, self._place, self._metrics)
        if self._rejected:
            self._metrics.count_ingress("probe connections, refused", self._rejected)
            _log.warning(
                "New connections for probes were closed: connections were at the limit.",
                address=self._place,
                closed=self._rejected,
                limit=self._connections.limit,
            )
            self._rejected = 0


def _report_gave_way(connections: CallerConnections, place: str, metrics: EdgeMetrics) -> None:
    count = connections.gave_way
    if count:
        connections.gave_way = 0
        metrics.count_ingress("connections, gave way", count)
        _log.warning(
            "Connections were at the limit; silent ones and those with slow requests gave way.",
            place=place,
            closed=count,
            limit=connections.limit,
        )


def _has_request(sock: socket.socket) -> bool:
    """Read the received bytes; return whether they hold the complete head of a request."""
    received = b""
    try:
        for _ in range(_MAX_READS):
            data = sock.recv(_READ_BYTES)
            received = received or data
            if not data:
                break
    except BlockingIOError:
        pass  # All bytes that have arrived were read.
    return _HEAD_END in received


def _refusal(codec: HeaderCodec) -> bytes:
    refusal = RefusalError(Code.ROUTER_BUSY, retry_after_ms=_RETRY_MS)
    body = json.dumps(refusal_body(refusal, None)).encode()
    headers = [
        *codec.refusal_headers(_RETRY_MS),
        (b"Content-Length", str(len(body)).encode()),
        (b"Connection", b"close"),
    ]
    lines = [b"HTTP/1.1 %d Service Unavailable" % code_info(refusal.code).http_status]
    lines += [b"%b: %b" % header for header in headers]
    return b"\r\n".join(lines) + _HEAD_END + body
