"""A caller's connection: reads requests one at a time and writes the responses.

Uses h11 instead of cheroot, because a disconnect must be noticed while a request waits or runs, and
an incomplete response must never look complete.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Protocol

import h11

from cicadaledge.codes import Code
from cicadaledge.edge._channel import Channel, clock_ms
from cicadaledge.edge._http_client import Headers
from cicadaledge.ingress import (
    BodyError,
    BodyReader,
    BodyTooLargeError,
    EvictedError,
    Holding,
    IngressSettings,
    Intake,
    NoMemoryError,
)
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
# A body that has arrived with its head is read at once, unless it has more chunks than this.
_CHUNKS_AT_ONCE = 64
# Stand-in servers have no budget of their own; this is more memory than any machine has.
_UNLIMITED = IngressSettings(memory_mb=1_000_000_000)
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


# Answers a request whose body was not kept.
EarlyAnswer = Callable[[ResponseWriter], Awaitable[None]]
# Returns how to answer a request without its body, or None if the body must be kept.
HeadCheck = Callable[[RequestHead], EarlyAnswer | None]


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

    def __init__(
        self, status: int, detail: str, code: Code = Code.BAD_REQUEST, *, lingers: bool = True
    ) -> None:
        self.status = status
        self.code = code
        self.lingers = lingers
        super().__init__(detail)


_Received = tuple[RequestHead, bytes, EarlyAnswer | None]


class CallerConnection:
    """Serves one connection until either side closes it.

    Args:
        channel: The connected channel.
        service: Answers the requests.
        intake: Memory for requests that arrive in parts; unlimited by default.
        check_head: Tells which bodies need not be kept, because the request is refused anyway.

    Attributes:
        idle_since_ms: Since when no request is being read or handled.
        reading_since_ms: Since when a request is being read, or None.
    """

    def __init__(
        self,
        channel: Channel,
        service: CallerService,
        intake: Intake | None = None,
        check_head: HeadCheck | None = None,
    ) -> None:
        self.channel = channel
        self.idle_since_ms = clock_ms()
        self.reading_since_ms: float | None = None
        self._idle = True
        self._is_new = True
        self._service = service
        self._intake = intake or Intake(_UNLIMITED, clock_ms)
        self._check_head = check_head
        self._holding: Holding | None = None
        self._reader: BodyReader | None = None
        self._ahead = b""  # received bytes that no request has taken yet
        self._gave_way = False
        self._start_cycle()

    def _start_cycle(self) -> None:
        """Prepare for a request."""
        limit_bytes = self._service.limits.header_bytes
        self._h11 = h11.Connection(h11.SERVER, max_incomplete_event_size=limit_bytes)

    def is_idle(self, now_ms: float) -> bool:
        """Return whether no request is being read or handled and none is expected immediately."""
        if self.channel.closing or not self._idle or self.channel.has_unread:
            return False
        return not self._is_new or now_ms - self.idle_since_ms > _FIRST_REQUEST_MS

    @property
    def is_silent(self) -> bool:
        """Whether nothing was received since the connection was accepted."""
        return self._is_new and self._idle and not self.channel.has_unread

    def give_way(self) -> None:
        """End the connection, whose request has not been read completely, in favour of others."""
        self._gave_way = True
        if self._reader is not None:
            self._reader.discard()
        if self.reading_since_ms is None:
            self.channel.close()
        else:
            self.channel.interrupt_read(EvictedError())  # the task sends a refusal

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
            return await self._read_and_answer()
        finally:
            self.reading_since_ms = None
            if self._holding is not None:
                self._intake.close(self._holding)
                self._holding = None

    async def _read_and_answer(self) -> bool:
        try:
            received = await self._read_request()
        except _RequestError as error:
            await self._refuse_malformed(error)
            return False
        if received is None:
            return False
        self.reading_since_ms = None
        # Gives the event loop a turn to notice that the caller closed its side after the request.
        await asyncio.sleep(0)
        head, body, early_answer = received
        if self.channel.peer_closed:
            self._service.record_disconnect(head)
            await self._refuse(Code.QUEUE_TIMEOUT, "the caller has left before", 503)
            return False
        self.channel.allow_half_open = False  # from here on, a disconnect cancels the request
        writer = ResponseWriter(self)
        if early_answer is not None:
            await early_answer(writer)
        else:
            await self._service.answer(head, body, writer)
        if self.channel.is_lost or self._h11.our_state is not h11.DONE:
            return False
        self._start_cycle()
        return True

    async def _read_request(self) -> _Received | None:
        limits = self._service.limits
        self._idle = True
        self.idle_since_ms = clock_ms()
        if not self._ahead:
            # Nothing else refers to received bytes, as they would stay in memory while others wait.
            self._ahead = await self._await_request_start(limits.idle_timeout_ms + _IDLE_MARGIN_MS)
        if not self._ahead:
            return None
        self._idle = self._is_new = False
        started_ms = self.reading_since_ms = clock_ms()
        try:
            return await self._read_rest(started_ms, limits)
        except TimeoutError:
            raise _RequestError(408, "the request did not arrive in time") from None
        except EvictedError:
            detail = "the request arrived too slowly while the router had no room"
            raise _RequestError(408, detail, lingers=False) from None
        except NoMemoryError:
            detail = "the router has no memory for the request"
            raise _RequestError(503, detail, Code.ROUTER_BUSY) from None
        except BodyTooLargeError as error:
            raise _RequestError(413, str(error)) from None
        except BodyError as error:
            raise _RequestError(400, str(error)) from None
        finally:
            self._reader = None

    async def _await_request_start(self, idle_timeout_ms: float) -> bytes:
        """Return the first bytes of a request; none if the connection closes or stays idle."""
        try:
            return await self.channel.read(idle_timeout_ms)
        except TimeoutError:
            idle_ms = clock_ms() - self.idle_since_ms
            late_ms = idle_ms - idle_timeout_ms
            _log.info(
                "Caller connection was idle longer than the idle timeout; closing it.",
                idle_ms=round(idle_ms),
                late_ms=round(late_ms),
            )
            return b""

    async def _read_rest(self, started_ms: float, limits: Limits) -> _Received | None:
        deadline_ms = started_ms + limits.header_timeout_ms
        request = await self._await_head(deadline_ms)
        if not isinstance(request, h11.Request):
            return None
        length = self._check_framing(request)
        self._reader = reader = BodyReader(length, limits.body_bytes)
        if self._h11.they_are_waiting_for_100_continue:
            self._send(h11.InformationalResponse(status_code=100, headers=[]))
        head = RequestHead(request, started_ms)
        ahead, ended = self._h11.trailing_data
        rest = ahead if reader.is_done else reader.feed(ahead, _CHUNKS_AT_ONCE)
        del ahead
        if rest is not None:
            self._ahead = rest
            if self._holding is not None:
                self._holding.is_complete = True
            return head, reader.take_body(), None
        if ended:
            raise BodyError("the connection ended within the body")
        # Only bodies that have not arrived with their head are held while others are read.
        early_answer = self._check_head(head) if self._check_head is not None else None
        size = len(head.target) + sum(len(name) + len(value) for name, value in head.headers)
        fields = len(head.headers)
        if early_answer is not None:
            reader.discard()
            head.headers = []
        del request
        holding = self._hold()

        async def read() -> bytes:
            data = await self._read_in_time(deadline_ms)
            if not data:
                raise BodyError("the connection ended within the body")
            return data

        self._ahead = await self._intake.read_body(reader, holding, (size, fields), read)
        return head, reader.take_body(), early_answer

    def _hold(self) -> Holding:
        """Return what the request that is being read counts as in the memory budget."""
        if self._holding is None:
            self._holding = self._intake.open(self.give_way)
        return self._holding

    def _check_framing(self, request: h11.Request) -> int | None:
        """Return the length of the body, or None if it comes in chunks."""
        names = [name for name, _ in request.headers]
        has_length = b"content-length" in names
        is_chunked = b"transfer-encoding" in names
        if is_chunked and has_length:
            raise _RequestError(400, "both Content-Length and Transfer-Encoding were sent")
        if names.count(b"host") != 1:
            raise _RequestError(400, "expected exactly one Host header")
        if has_length:
            return int(request.headers[names.index(b"content-length")][1])
        return None if is_chunked else 0

    async def _await_head(self, deadline_ms: float) -> object:
        """Return the head of a request that has begun to arrive."""
        if self._intake.is_costly(self._ahead):
            await self._intake.hold_head(self._hold(), self._ahead)
        self._h11.receive_data(self._ahead)
        size_bytes, self._ahead = len(self._ahead), b""
        while (event := self._next_event()) is h11.NEED_DATA:
            holding = self._hold()
            if not holding.size_bytes:
                await self._intake.hold_bytes(holding, size_bytes)
            data = await self._read_in_time(deadline_ms)
            await self._intake.hold_head(holding, data)
            try:
                self._h11.receive_data(data)
            except RuntimeError as error:
                raise _RequestError(400, str(error)) from error
            del data
        return event

    async def _read_in_time(self, deadline_ms: float) -> bytes:
        left_ms = deadline_ms - clock_ms()
        # If the event loop is late, bytes received before the deadline are still read. While
        # more bytes keep arriving, reading ends one header timeout after the deadline.
        if left_ms < -self._service.limits.header_timeout_ms:
            raise TimeoutError
        if self._gave_way:
            raise EvictedError
        return await self.channel.read(max(0.0, left_ms))

    def _next_event(self) -> object:
        try:
            return self._h11.next_event()
        except h11.RemoteProtocolError as error:
            raise _RequestError(error.error_status_hint, str(error)) from error

    async def _refuse_malformed(self, error: _RequestError) -> None:
        if self.channel.is_lost or self._h11.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            self.channel.abort()
            return
        await self._refuse(error.code, str(error), error.status)
        if error.lingers:
            await asyncio.sleep(_LINGER_S)
        elif self.channel.unsent_bytes:
            self.channel.abort()

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
