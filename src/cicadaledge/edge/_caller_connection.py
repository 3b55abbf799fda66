"""A caller's connection: reads requests one at a time and writes the responses.

Uses h11 instead of cheroot, because a disconnect must be noticed while a request waits or runs, and
an incomplete response must never look complete.
"""

from __future__ import annotations

import asyncio
from typing import Protocol

import h11

from cicadaledge.codes import Code
from cicadaledge.edge._channel import Channel, clock_ms
from cicadaledge.edge._http_client import Headers
from cicadaledge.logs import PartLog
from cicadaledge.routing import Limits

_REASONS = {200: b"OK", 400: b"Bad Request", 503: b"Service Unavailable", 504: b"Gateway Timeout"}
# Added to the idle timeout, as a request that is sent just before it expires needs time to arrive.
_IDLE_MARGIN_MS = 1_000.0
# A new connection does not count as idle for this long. Callers send their first request as soon as
# they are connected, or try another router.
_FIRST_REQUEST_MS = 1_000.0
# A connection is closed this long after the refusal of a malformed request. Unread bytes turn the
# close into a reset, which discards the refusal if the caller has not read it by then.
_LINGER_S = 1.0
_log = PartLog("caller")


class RequestHead:
    """Head of a caller's request."""

    __slots__ = ("headers", "method", "started_ms", "target")

    def __init__(self, request: h11.Request, started_ms: float) -> None:
        self.method = request.method.decode("ascii")
        self.target = request.target.decode("latin-1")
        self.headers: Headers = request.headers.raw_items()
        self.started_ms = started_ms


class ResponseWriter:
    """Writes one response to a caller.

    Attributes:
        started: Whether the head of the response was sent.
    """

    def __init__(self, connection: CallerConnection) -> None:
        self._connection = connection
        self.started = False

    async def send_response(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a complete response."""
        framed = [*headers, (b"Content-Length", str(len(body)).encode())]
        self._connection.send_whole(status, framed, body)
        self.started = True
        await self._connection.channel.drain()

    def start(self, status: int, headers: Headers) -> None:
        """Send the head of a response whose length is not known."""
        self._connection.send_head(status, [*headers, (b"Transfer-Encoding", b"chunked")])
        self.started = True

    async def send_chunk(self, data: bytes) -> None:
        """Send the next part of the body."""
        self._connection.send_data(data)
        await self._connection.channel.drain()

    def end(self) -> None:
        """Mark the response as complete."""
        self._connection.send_end()

    def send_raw(self, data: bytes) -> None:
        """Send raw bytes; used by stand-in servers to send malformed responses."""
        self._connection.channel.write(data)

    def close(self) -> None:
        """Close the connection after all written bytes are sent."""
        self._connection.channel.close()

    def abort(self) -> None:
        """Reset the connection, so that the caller sees that the response is incomplete."""
        self._connection.channel.abort()


class CallerService(Protocol):
    """Answers the requests of callers."""

    @property
    def limits(self) -> Limits:
        """Limits on the size and duration of callers' requests."""

    def ends_connection(self) -> bool:
        """Return whether to close the connection after the response that starts now."""

    async def answer(self, head: RequestHead, body: bytes, writer: ResponseWriter) -> None:
        """Answer one completely read request."""

    def refuse(self, code: Code, detail: str, status: int) -> tuple[Headers, bytes]:
        """Return the headers and body of a refusal sent before a route is known."""

    def record_disconnect(self, head: RequestHead) -> None:
        """Record that a caller disconnected before its request was read."""


class _RequestError(Exception):
    """The caller sent a malformed request."""

    def __init__(self, status: int, detail: str) -> None:
        self.status = status
        super().__init__(detail)


class CallerConnection:
    """Serves one connection until either side closes it.

    Args:
        channel: The connected channel.
        service: Answers the requests.
    """

    def __init__(self, channel: Channel, service: CallerService) -> None:
        self.channel = channel
        self.idle_since_ms = clock_ms()
        self._idle = True
        self._is_new = True
        self._service = service
        self._h11 = h11.Connection(
            h11.SERVER, max_incomplete_event_size=service.limits.header_bytes
        )

    def is_idle(self, now_ms: float) -> bool:
        """Return whether no request is being read or handled and none is expected immediately."""
        if self.channel.closing or not self._idle or self.channel.has_unread:
            return False
        return not self._is_new or now_ms - self.idle_since_ms > _FIRST_REQUEST_MS

    async def run(self) -> None:
        """Answer requests until the connection is closed."""
        task = asyncio.current_task()
        assert task is not None
        self.channel.on_lost = lambda: self._cancel(task)
        try:
            while await self._serve_one():
                pass
            self.channel.close()
        except asyncio.CancelledError:
            if not self.channel.is_lost:
                self.channel.abort()
        finally:
            self.channel.on_lost = None

    @staticmethod
    def _cancel(task: asyncio.Task[None]) -> None:
        task.cancel()

    async def _serve_one(self) -> bool:
        """Answer one request; return whether the connection can carry another."""
        self.channel.allow_half_open = True
        try:
            received = await self._read_request()
        except _RequestError as error:
            await self._refuse_malformed(error)
            return False
        if received is None:
            return False
        # Gives the event loop a turn to notice that the caller closed its side after the request.
        await asyncio.sleep(0)
        head, body = received
        if self.channel.peer_closed:
            self._service.record_disconnect(head)
            await self._refuse(Code.QUEUE_TIMEOUT, "the caller has left before", 503)
            return False
        self.channel.allow_half_open = False  # from here on, a disconnect cancels the request
        writer = ResponseWriter(self)
        await self._service.answer(head, body, writer)
        if self.channel.is_lost or self._h11.our_state is not h11.DONE:
            return False
        if self._h11.their_state is not h11.DONE:
            return False
        self._h11.start_next_cycle()
        return True

    async def _read_request(self) -> tuple[RequestHead, bytes] | None:
        limits = self._service.limits
        self._idle = True
        self.idle_since_ms = clock_ms()
        request = await self._await_request_start(limits.idle_timeout_ms + _IDLE_MARGIN_MS)
        if request is None:
            return None
        self._idle = self._is_new = False
        started_ms = clock_ms()
        try:
            return await self._read_rest(request, started_ms, limits)
        except TimeoutError:
            raise _RequestError(408, "the request did not arrive in time") from None

    async def _await_request_start(self, idle_timeout_ms: float) -> h11.Request | bytes | None:
        """Wait for the start of a request; return None if the connection closes or stays idle."""
        event = self._next_event()
        if event is not h11.NEED_DATA:
            return event  # type: ignore[return-value]
        if self._h11.trailing_data[0]:
            return b""
        try:
            data = await self.channel.read(idle_timeout_ms)
        except TimeoutError:
            idle_ms = clock_ms() - self.idle_since_ms
            late_ms = idle_ms - idle_timeout_ms
            _log.info(
                "Caller connection was idle longer than the idle timeout; closing it.",
                idle_ms=round(idle_ms),
                late_ms=round(late_ms),
            )
            return None
        if not data:
            return None
        self._h11.receive_data(data)
        return b""

    async def _read_rest(
        self, first: h11.Request | bytes, started_ms: float, limits: Limits
    ) -> tuple[RequestHead, bytes] | None:
        deadline_ms = started_ms + limits.header_timeout_ms
        request = first if isinstance(first, h11.Request) else await self._await_event(deadline_ms)
        if not isinstance(request, h11.Request):
            return None
        self._check_framing(request)
        if self._h11.they_are_waiting_for_100_continue:
            self._send(h11.InformationalResponse(status_code=100, headers=[]))
        chunks: list[bytes] = []
        size = 0
        while isinstance(event := await self._await_event(deadline_ms), h11.Data):
            size += len(event.data)
            if size > limits.body_bytes:
                raise _RequestError(413, f"the body is over {limits.body_bytes} bytes")
            chunks.append(bytes(event.data))
        if not isinstance(event, h11.EndOfMessage):
            return None
        return RequestHead(request, started_ms), b"".join(chunks)

    def _check_framing(self, request: h11.Request) -> None:
        names = [name for name, _ in request.headers]
        if b"transfer-encoding" in names and b"content-length" in names:
            raise _RequestError(400, "both Content-Length and Transfer-Encoding were sent")
        if names.count(b"host") != 1:
            raise _RequestError(400, "expected exactly one Host header")

    async def _await_event(self, deadline_ms: float) -> object:
        while (event := self._next_event()) is h11.NEED_DATA:
            left_ms = deadline_ms - clock_ms()
            # If the event loop is late, bytes received before the deadline are still read. While
            # more bytes keep arriving, reading ends one header timeout after the deadline.
            if left_ms < -self._service.limits.header_timeout_ms:
                raise TimeoutError
            data = await self.channel.read(max(0.0, left_ms))
            try:
                self._h11.receive_data(data)
            except RuntimeError as error:
                raise _RequestError(400, str(error)) from error
        return event

    def _next_event(self) -> object:
        try:
            return self._h11.next_event()
        except h11.RemoteProtocolError as error:
            raise _RequestError(error.error_status_hint, str(error)) from error

    async def _refuse_malformed(self, error: _RequestError) -> None:
        if self.channel.is_lost or self._h11.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            self.channel.abort()
            return
        await self._refuse(Code.BAD_REQUEST, str(error), error.status)
        await asyncio.sleep(_LINGER_S)

    async def _refuse(self, code: Code, detail: str, status: int) -> None:
        headers, body = self._service.refuse(code, detail, status)
        closing = [*headers, (b"Connection", b"close")]
        await ResponseWriter(self).send_response(status, closing, body)

    def send_head(self, status: int, headers: Headers) -> None:
        """Send the head of a response."""
        self._send(self._head(status, headers))

    def send_whole(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a complete response in one write, as each write costs a system call."""
        self._send(self._head(status, headers), h11.Data(data=body), h11.EndOfMessage())

    def _head(self, status: int, headers: Headers) -> h11.Response:
        has_connection_header = any(name.lower() == b"connection" for name, _ in headers)
        if not has_connection_header and self._service.ends_connection():
            headers = [*headers, (b"Connection", b"close")]
        reason = _REASONS.get(status, b"")
        return h11.Response(status_code=status, headers=headers, reason=reason)

    def send_data(self, data: bytes) -> None:
        """Send a part of a response body."""
        if data and self._h11.their_http_version == b"1.1":
            # h11 keeps no state between chunks; framing them here takes a fifth of its time.
            self.channel.write(b"%x\r\n%b\r\n" % (len(data), data))
        else:
            self._send(h11.Data(data=data))

    def send_end(self) -> None:
        """Send the end of a response."""
        self._send(h11.EndOfMessage())

    def _send(self, *events: h11.Event) -> None:
        data = b"".join(self._h11.send(event) or b"" for event in events)
        if data:
            self.channel.write(data)
