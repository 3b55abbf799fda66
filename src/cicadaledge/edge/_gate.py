"""Turns new callers away before anything is spent on their requests."""

from __future__ import annotations

import contextlib
import json
import socket

from cicadaledge.codes import Code, code_info
from cicadaledge.edge._callers import CallerConnections
from cicadaledge.edge._dialect import HeaderCodec
from cicadaledge.edge._metrics import EdgeMetrics
from cicadaledge.errors import RefusalError, refusal_body
from cicadaledge.logs import PartLog

_RETRY_MS = 50  # any other router may be free, and retries reach others
_READ_BYTES = 65_536  # a usual request whole: what is unread resets the connection
_READS = 4
_HEAD_END = b"\r\n\r\n"
_log = PartLog("gate")


class ConnectionGate:
    """Lets callers in while there is room for them, and answers the others at once.

    Args:
        callers: Connections that were let in.
    """

    patience_ms = 250.0  # a quarter of the time that callers wait to be read

    def __init__(
        self, callers: CallerConnections, dialect: HeaderCodec, metrics: EdgeMetrics
    ) -> None:
        self._callers = callers
        self._metrics = metrics
        self._answer = _answer(dialect)
        self._answered = 0
        self._unread = 0
        self._left = 0

    def has_room(self) -> bool:
        """Return whether one more caller may connect."""
        return self._callers.has_room()

    def turn_away(self, sock: socket.socket) -> None:
        """Say that the request was not run, if it is there, and close the connection."""
        with contextlib.closing(sock):
            try:
                if _has_request(sock):
                    sock.send(self._answer)
                    sock.shutdown(socket.SHUT_WR)
                    self._answered += 1
                    return
            except OSError:
                self._left += 1
            else:
                self._unread += 1

    def report(self) -> None:
        """Log how many were turned away since the last report."""
        count = self._answered + self._unread + self._left
        if not count:
            return
        self._metrics.turned_away(count)
        _log.warning(
            "New callers are turned away.",
            answered=self._answered,
            unread=self._unread,
            left=self._left,
            callers=len(self._callers),
            limit=self._callers.limit,
        )
        self._answered = self._unread = self._left = 0


def _has_request(sock: socket.socket) -> bool:
    """Read what has arrived; return whether the head of a request is in it."""
    begun = b""
    try:
        for _ in range(_READS):
            data = sock.recv(_READ_BYTES)
            begun = begun or data
            if not data:
                break
    except BlockingIOError:
        pass  # nothing more has arrived
    return _HEAD_END in begun


def _answer(dialect: HeaderCodec) -> bytes:
    refusal = RefusalError(Code.ROUTER_BUSY, retry_after_ms=_RETRY_MS)
    body = json.dumps(refusal_body(refusal, None)).encode()
    headers = [
        *dialect.refusal_headers(_RETRY_MS),
        (b"Content-Length", str(len(body)).encode()),
        (b"Connection", b"close"),
    ]
    lines = [b"HTTP/1.1 %d Service Unavailable" % code_info(refusal.code).http_status]
    lines += [b"%b: %b" % header for header in headers]
    return b"\r\n".join(lines) + _HEAD_END + body
