"""HTTP/1.1 client for backend servers and the store, strict about where a response ends.

Uses h11 instead of urllib3, because a request must be cancelled as soon as its caller disconnects,
and bytes after the end of a response must be detected before the connection is reused.
"""

from __future__ import annotations

import asyncio
import itertools
import math

import h11

from cicadaledge.clock import clock_ms
from cicadaledge.edge._channel import Channel
from cicadaledge.edge._connecting import connect
from cicadaledge.errors import BackendError

Headers = list[tuple[bytes, bytes]]

_EVENT_STREAM = "text/event-stream"
_MAX_HEAD_BYTES = 65_536
# Final answers have these statuses. h11 takes any three digits.
_FIRST_FINAL_STATUS, _LAST_FINAL_STATUS = 200, 599
_BODILESS_STATUSES = (204, 304)
# After more 1xx responses than this, the exchange fails. Common servers send one or two of them
# before the final response.
_MAX_INTERIM_RESPONSES = 8
# Other tasks get a turn after this many events. Parsing as many of the smallest chunks takes about
# a quarter of a millisecond, and hundreds of connections may do so in each iteration of the loop.
_EVENTS_PER_YIELD = 16
# If the server sends no Keep-Alive timeout, a connection is reused only while it has been idle for
# less than this, which is below the idle timeout of common servers.
_DEFAULT_IDLE_LIMIT_MS = 4_000.0
# Connections are not reused within this time before the server's Keep-Alive timeout expires, which
# is in whole seconds and may have expired at the server half a round trip before its close arrives.
_IDLE_MARGIN_MS = 1_000.0
# A longer stated timeout counts as this: hosts and networks on the way may forget a connection.
_MAX_IDLE_LIMIT_MS = 30_000.0

_numbers = itertools.count(1)


class ResponseHead:
    """Status and headers of a response."""

    __slots__ = ("_by_name", "headers", "status")

    def __init__(self, status: int, headers: Headers) -> None:
        self.status = status
        self.headers = headers
        self._by_name: dict[bytes, list[bytes]] = {}
        for name, value in headers:
            self._by_name.setdefault(name.lower(), []).append(value)

    @property
    def is_framed(self) -> bool:
        """Whether the end of the body is announced; otherwise it is the end of the connection."""
        return b"content-length" in self._by_name or b"transfer-encoding" in self._by_name

    @property
    def may_hold_events(self) -> bool:
        """Whether the body is, or may be, an event stream; false if another type is stated."""
        stated = self.get(b"Content-Type")
        return stated is None or stated.partition(";")[0].strip().lower() == _EVENT_STREAM

    def get(self, name: bytes) -> str | None:
        """Return the first header of a name (any case), or None."""
        values = self._by_name.get(name.lower())
        return values[0].decode("latin-1") if values else None

    def get_all(self, name: bytes) -> list[str]:
        """Return all headers of a name (any case), in order."""
        return [value.decode("latin-1") for value in self._by_name.get(name.lower(), ())]


class HttpConnection:
    """A connection that carries one exchange at a time.

    Args:
        channel: Connected channel.
        peer: Name of the peer in error messages.

    Attributes:
        number: Identifies the connection among all that the process has opened.
        exchanges: Number of completed exchanges.
    """

    def __init__(self, channel: Channel, peer: str) -> None:
        self.peer = peer
        self.channel = channel
        self.number = next(_numbers)
        self.exchanges = 0
        self.last_used_ms = clock_ms()
        self._h11 = h11.Connection(h11.CLIENT, max_incomplete_event_size=_MAX_HEAD_BYTES)
        self._idle_limit_ms = _DEFAULT_IDLE_LIMIT_MS
        self._closing = False
        self._events = 0
        self._request: h11.Request | None = None
        self._ends_with_connection = False

    @classmethod
    async def open(cls, host: str, port: int, peer: str, timeout_ms: float) -> HttpConnection:
        """Return a new connection.

        Raises:
            BackendError: The peer cannot be reached; nothing was sent.
        """
        try:
            return cls(await connect(host, port, timeout_ms), peer)
        except OSError as error:
            raise BackendError(f"{peer} cannot be reached: {error}", sent=False) from error

    def send(self, method: str, target: str, headers: Headers, body: bytes) -> None:
        """Send a whole request.

        Raises:
            BackendError: The connection is closed; nothing was sent.
        """
        if self.channel.is_lost:
            raise BackendError(f"{self.peer} has closed the connection", sent=False)
        framed = [*headers]
        if body or method not in ("GET", "HEAD", "DELETE"):
            framed.append((b"Content-Length", str(len(body)).encode()))
        self._request = h11.Request(method=method, target=target, headers=framed)
        data = self._h11.send(self._request)
        if body:
            data += self._h11.send(h11.Data(data=body))
        data += self._h11.send(h11.EndOfMessage())
        self.channel.write(data)

    async def read_head(self) -> ResponseHead:
        """Return the head of the response.

        Raises:
            BackendError: The connection was lost or the response is not valid HTTP.
        """
        for _ in range(_MAX_INTERIM_RESPONSES + 1):
            event = await self._next()
            if isinstance(event, h11.Response):
                if not _FIRST_FINAL_STATUS <= event.status_code <= _LAST_FINAL_STATUS:
                    raise self._error(f"has status {event.status_code}, which no answer has")
                self._read_connection_headers(event)
                head = ResponseHead(event.status_code, event.headers.raw_items())
                self._ends_with_connection = self._is_ended_by_connection(head)
                if self._ends_with_connection:
                    self._check_written()
                return head
            if not isinstance(event, h11.InformationalResponse):
                raise self._error("ended without an answer")
        raise self._error(f"came behind over {_MAX_INTERIM_RESPONSES} interim ones")

    async def read_chunk(self) -> bytes | None:
        """Return the next bytes of the response body, or None at its end.

        Raises:
            BackendError: The connection was lost before the end.
        """
        event = await self._next()
        if isinstance(event, h11.Data):
            return bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
            if self._ends_with_connection:
                self._check_written()
            return None
        raise self._error("ended within an answer")

    async def read_body(self, limit_bytes: int) -> bytes:
        """Return the rest of the response body.

        Raises:
            BackendError: The connection was lost before the end, or the body exceeds the limit.
        """
        body = bytearray()
        while (chunk := await self.read_chunk()) is not None:
            body += chunk
            if len(body) > limit_bytes:
                raise self._error(f"is over {limit_bytes} bytes")
        return bytes(body)

    def skip_response(self) -> bool:
        """Skip the response that was just read; return whether another one can follow.

        A server can send a late response to an earlier request before the expected one.
        """
        if self._h11.their_state is not h11.DONE or self._request is None:
            return False
        rest, ended = self._h11.trailing_data
        following = h11.Connection(h11.CLIENT, max_incomplete_event_size=_MAX_HEAD_BYTES)
        following.send(self._bare_request())
        following.send(h11.EndOfMessage())
        self._h11 = following
        if rest:
            following.receive_data(rest)
        return not ended

    def finish_exchange(self) -> bool:
        """Prepare for the next request; return whether the connection can be reused."""
        self.last_used_ms = clock_ms()
        if self._closing or self.channel.is_lost or self.channel.unsent_bytes:
            return False
        if self._h11.our_state is not h11.DONE or self._h11.their_state is not h11.DONE:
            return False
        if self._h11.trailing_data[0] or self.channel.has_unread:
            return False
        self._h11.start_next_cycle()
        self.exchanges += 1
        return True

    @property
    def idle_ms(self) -> float:
        """Time since the last exchange."""
        return clock_ms() - self.last_used_ms

    def is_usable(self, idle_limit_ms: float = math.inf) -> bool:
        """Return whether an idle connection can be reused, judging by the bytes read so far."""
        limit_ms = min(idle_limit_ms, self._idle_limit_ms)
        return not self.channel.is_lost and not self.channel.has_unread and self.idle_ms < limit_ms

    def is_ready(self, idle_limit_ms: float = math.inf) -> bool:
        """Return whether an idle connection can be reused, also checking the socket's buffer."""
        return self.is_usable(idle_limit_ms) and not self.channel.is_readable()

    def abort(self) -> None:
        """Reset the connection, so that the server stops working on its request."""
        self.channel.abort()

    async def _next(self) -> object:
        self._events += 1
        if self._events % _EVENTS_PER_YIELD == 0:
            # The received bytes can hold thousands of events, so others get a turn in between.
            await asyncio.sleep(0)
        try:
            while (event := self._h11.next_event()) is h11.NEED_DATA:
                data = await self.channel.read()
                if not data and self.channel.was_reset:
                    raise self._error("was reset")
                self._h11.receive_data(data)
        except h11.RemoteProtocolError as error:
            raise self._error(f"is not HTTP: {error}") from error
        return event

    def _is_ended_by_connection(self, head: ResponseHead) -> bool:
        """Return whether the end of the connection is the end of an answer."""
        if head.is_framed or head.status in _BODILESS_STATUSES:
            return False
        return self._request is None or self._request.method != b"HEAD"

    def _check_written(self) -> None:
        """Check that the server has the whole request, before the connection's end counts.

        A server in trouble may answer at once, end its sending in an orderly way and reset the
        connection while the request is still being written.
        """
        channel = self.channel
        if channel.was_unwritten_at_end or (not channel.is_lost and channel.unsent_bytes):
            raise self._error("has no length and came before the request was written in full")

    def _bare_request(self) -> h11.Request:
        """Return the request without its body, to bring a new h11 state past sending it."""
        assert self._request is not None
        headers = [
            item for item in self._request.headers.raw_items() if item[0] != b"Content-Length"
        ]
        return h11.Request(
            method=self._request.method, target=self._request.target, headers=headers
        )

    def _error(self, problem: str) -> BackendError:
        return BackendError(f"the answer of {self.peer} {problem}", sent=True)

    def _read_connection_headers(self, response: h11.Response) -> None:
        for name, value in response.headers:
            if name == b"connection" and b"close" in value.lower():
                self._closing = True
            elif name == b"keep-alive":
                self._read_idle_limit(value)

    def _read_idle_limit(self, value: bytes) -> None:
        for part in value.split(b","):
            name, _, number = part.strip().partition(b"=")
            if name.lower() == b"timeout" and number.strip().isdigit():
                stated_ms = min(float(number) * 1000.0, _MAX_IDLE_LIMIT_MS)
                self._idle_limit_ms = max(0.0, stated_ms - _IDLE_MARGIN_MS)
