"""Reads the events of an answer; resumes only while its server has not restarted."""

from __future__ import annotations

import http.client
from collections.abc import Iterator
from typing import Any

import urllib3
from attrs import evolve, frozen

from cicadaledge.backends import AnswerLimits, BackendConnection, BackendConnectionPool
from cicadaledge.codes import Code
from cicadaledge.errors import BackendError, RefusalError
from cicadaledge.logs import PartLog
from cicadaledge.router._context import RouterContext

_RESUME_TRIES = 2
_READ_BYTES = 65_536
# An event holds a few tokens, a few hundred bytes.
_MAX_EVENT_BYTES = 65_536
# An event takes at most this much on the connection, as a chunk of one byte takes six.
_MAX_FRAMED_EVENT_BYTES = 8 * _MAX_EVENT_BYTES
# After the last event, only the last chunk is due.
_REST_LIMITS = AnswerLimits(_MAX_EVENT_BYTES, total_ms=1_000, idle_ms=1_000)
_OK = 200
_NOT_FOUND = 404
_READ_ERRORS = (urllib3.exceptions.HTTPError, http.client.HTTPException, OSError, ValueError)
_log = PartLog("dispatch")


class StreamLostError(BackendError):
    """The connection broke before the end of the answer."""


@frozen
class RawEvent:
    """One event as the server sent it."""

    index: int
    data: bytes


class AnswerReader:
    """Reads answers of model engines.

    Attributes:
        limits: Limits on the head of an answer.
    """

    def __init__(self, context: RouterContext, connections: BackendConnectionPool) -> None:
        self._context = context
        self._connections = connections
        self._limits = context.settings.limits
        self.limits = AnswerLimits(
            _MAX_FRAMED_EVENT_BYTES,
            total_ms=self._limits.first_byte_timeout_ms,
            idle_ms=self._limits.first_byte_timeout_ms,
        )
        self._event_limits = evolve(self.limits, idle_ms=self._limits.idle_timeout_ms)

    def attach(
        self, server_name: str, boot_id: str, stream_id: str, index: int
    ) -> tuple[BackendConnection, Any]:
        """Request the rest of a stream from its server.

        Returns:
            The connection, and the answer with its body unread.

        Raises:
            BackendError: The server is not configured, does not respond or has restarted.
        """
        server = self._context.configuration.servers.get(server_name)
        if server is None:
            raise BackendError(f"backend server {server_name} is not configured", sent=False)
        connection = self._connections.acquire(server, boot_id)
        path = f"/v1/streams/{stream_id}?from={index}"
        headers = {"X-Request-Id": stream_id}
        return connection, connection.request("GET", path, None, headers, self.limits)

    def read(
        self, connection: BackendConnection, answer: Any, stream_id: str
    ) -> Iterator[RawEvent]:
        """Yield all events; reconnect to the same server if the connection breaks.

        Raises:
            StreamLostError: The stream cannot be resumed.
            RefusalError: The server refused the request; code 3007.
        """
        next_index = 0
        size_bytes = 0
        tries = 0
        while True:
            try:
                _check_answer(answer, stream_id)
                connection.limit_reads(self._event_limits)
                chunks = answer.stream(_READ_BYTES)
                for event in _read_events(chunks, stream_id):
                    if event.index == next_index:
                        size_bytes += len(event.data)
                        if size_bytes > self._limits.stream_bytes:
                            raise StreamLostError("the stream is too long", sent=True)
                        next_index += 1
                        tries = 0
                        yield event
                        # The time for the next event begins when the caller has taken this one.
                        connection.limit_reads(self._event_limits)
                connection.limit_reads(_REST_LIMITS)
                if _is_drained(chunks):
                    self._connections.release(connection)
                else:
                    connection.close()
                return
            except _READ_ERRORS + (StreamLostError,) as error:
                connection.close()
                tries += 1
                if tries > _RESUME_TRIES:
                    raise StreamLostError(f"stream was lost: {error}", sent=True) from error
                _log.info(
                    "Reading a stream failed; the rest is requested again.",
                    server=connection.server,
                    stream_id=stream_id,
                    next_index=next_index,
                    error=str(error),
                )
                connection, answer = self._reconnect(connection, stream_id, next_index, error)

    def _reconnect(
        self, lost: BackendConnection, stream_id: str, next_index: int, cause: Exception
    ) -> tuple[BackendConnection, Any]:
        try:
            return self.attach(lost.server, lost.boot_id, stream_id, next_index)
        except BackendError as error:
            raise StreamLostError(f"stream was lost: {cause}; {error}", sent=True) from error


def _check_answer(answer: Any, stream_id: str) -> None:
    if 400 <= answer.status < 500 and answer.status != _NOT_FOUND:
        raise RefusalError(Code.BACKEND_REFUSED, f"the backend server answered {answer.status}")
    if answer.status != _OK:
        raise StreamLostError(f"the backend server answered {answer.status}", sent=True)
    if answer.headers.get("X-Request-Id") != stream_id:
        raise StreamLostError("the answer belongs to another request", sent=True)


def _read_events(chunks: Iterator[bytes], stream_id: str) -> Iterator[RawEvent]:
    """Yield each event; raise StreamLostError unless the stream is complete and as requested."""
    buffer = bytearray()
    for chunk in chunks:
        searched = max(0, len(buffer) - 1)
        buffer += chunk
        end = buffer.rfind(b"\n\n", searched)
        events = bytes(buffer[:end]).split(b"\n\n") if end >= 0 else []
        del buffer[: end + 2 if end >= 0 else 0]
        if len(buffer) > _MAX_EVENT_BYTES:
            raise StreamLostError(f"an event is over {_MAX_EVENT_BYTES} bytes", sent=True)
        for event in events:
            event_id, data = _parse_event(event)
            if data == b"[DONE]":
                return
            name, _, index = event_id.rpartition(":")
            if name != stream_id:
                raise StreamLostError("an event belongs to another request", sent=True)
            yield RawEvent(int(index), data)
    raise StreamLostError("the stream ended early", sent=True)


def _is_drained(chunks: Iterator[bytes]) -> bool:
    """Read the rest of the body; return whether it has ended, so that the connection is free."""
    try:
        for _ in chunks:
            pass
        return True
    except _READ_ERRORS:
        return False


def _parse_event(event: bytes) -> tuple[str, bytes]:
    event_id = ""
    data = b""
    for line in event.split(b"\n"):
        if line.startswith(b"id:"):
            event_id = line[3:].strip().decode()
        elif line.startswith(b"data:"):
            data = line[5:].strip()
    return event_id, data
