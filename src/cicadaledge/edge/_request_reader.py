"""Reads the requests of one caller's connection, one at a time."""

from __future__ import annotations

import h11

from cicadaledge.clock import clock_ms
from cicadaledge.codes import Code
from cicadaledge.edge._caller_service import CallerService, EarlyAnswer, HeadCheck, RequestHead
from cicadaledge.edge._channel import Channel
from cicadaledge.edge._response_writer import send_events
from cicadaledge.ingress import (
    BodyError,
    BodyReader,
    BodyTooLargeError,
    EvictedError,
    Holding,
    Intake,
    NoMemoryError,
)
from cicadaledge.routing import Limits

# A body that has arrived with its head is read at once, unless it has more chunks than this.
_CHUNKS_AT_ONCE = 64


class RequestError(Exception):
    """A request that is refused before it is read, as a rule because it is malformed.

    Args:
        lingers: Whether the connection stays open until the caller has read the refusal.
    """

    def __init__(
        self, status: int, detail: str, code: Code = Code.BAD_REQUEST, *, lingers: bool = True
    ) -> None:
        self.status = status
        self.code = code
        self.lingers = lingers
        super().__init__(detail)


# The head and body of a request, and how to answer it if its body was not kept.
Received = tuple[RequestHead, bytes, EarlyAnswer | None]


class RequestReader:
    """Reads requests within the limits and the memory for requests that arrive in parts.

    Args:
        channel: The caller's connection.
        service: Has the limits.
        intake: Memory for requests that arrive in parts.
        check_head: Tells which bodies need not be kept, because the request is refused anyway.

    Attributes:
        protocol: State of the exchange.
        ahead: Received bytes that no request has taken yet.
        reading_since_ms: Since when a request is being read, or None.
    """

    def __init__(
        self,
        channel: Channel,
        service: CallerService,
        intake: Intake,
        check_head: HeadCheck | None,
    ) -> None:
        self.ahead = b""
        self.reading_since_ms: float | None = None
        self._channel = channel
        self._service = service
        self._intake = intake
        self._check_head = check_head
        self._holding: Holding | None = None
        self._body: BodyReader | None = None
        self._gave_way = False
        self.start_cycle()

    def start_cycle(self) -> None:
        """Prepare for a request."""
        limit_bytes = self._service.limits.header_bytes
        self.protocol = h11.Connection(h11.SERVER, max_incomplete_event_size=limit_bytes)

    def give_way(self) -> None:
        """End the connection, whose request has not been read completely, in favour of others."""
        self._gave_way = True
        if self._body is not None:
            self._body.discard()
        if self.reading_since_ms is None:
            self._channel.close()
        else:
            self._channel.interrupt_read(EvictedError())  # the task sends a refusal

    async def read(self, limits: Limits) -> Received | None:
        """Return the request that has begun to arrive, or None if the connection ends before it.

        Raises:
            RequestError: The request is malformed, or there was no time or memory for it.
        """
        started_ms = self.reading_since_ms = clock_ms()
        try:
            received = await self._read_rest(started_ms, limits)
            self.reading_since_ms = None
            return received
        except TimeoutError:
            raise RequestError(408, "the request did not arrive in time") from None
        except EvictedError:
            detail = "the request arrived too slowly while the router had no room"
            raise RequestError(408, detail, lingers=False) from None
        except NoMemoryError:
            detail = "the router has no memory for the request"
            raise RequestError(503, detail, Code.ROUTER_BUSY) from None
        except BodyTooLargeError as error:
            raise RequestError(413, str(error)) from None
        except BodyError as error:
            raise RequestError(400, str(error)) from None
        finally:
            self._body = None

    def end_request(self) -> None:
        """Give back the memory of a request that was answered or refused."""
        self.reading_since_ms = None
        if self._holding is not None:
            self._intake.close(self._holding)
            self._holding = None

    async def _read_rest(self, started_ms: float, limits: Limits) -> Received | None:
        deadline_ms = started_ms + limits.header_timeout_ms
        request = await self._await_head(deadline_ms)
        if not isinstance(request, h11.Request):
            return None
        length = self._check_framing(request)
        self._body = reader = BodyReader(length, limits.body_bytes)
        if self.protocol.they_are_waiting_for_100_continue:
            go_ahead = h11.InformationalResponse(status_code=100, headers=[])
            send_events(self._channel, self.protocol, go_ahead)
        head = RequestHead(request, started_ms)
        ahead, ended = self.protocol.trailing_data
        rest = ahead if reader.is_done else reader.feed(ahead, _CHUNKS_AT_ONCE)
        del ahead
        if rest is not None:
            self.ahead = rest
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

        self.ahead = await self._intake.read_body(reader, holding, (size, fields), read)
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
            raise RequestError(400, "both Content-Length and Transfer-Encoding were sent")
        if names.count(b"host") != 1:
            raise RequestError(400, "expected exactly one Host header")
        if has_length:
            return int(request.headers[names.index(b"content-length")][1])
        return None if is_chunked else 0

    async def _await_head(self, deadline_ms: float) -> object:
        """Return the head of a request that has begun to arrive."""
        if self._intake.is_costly(self.ahead):
            await self._intake.hold_head(self._hold(), self.ahead)
        self.protocol.receive_data(self.ahead)
        size_bytes, self.ahead = len(self.ahead), b""
        while (event := self._next_event()) is h11.NEED_DATA:
            holding = self._hold()
            if not holding.size_bytes:
                await self._intake.hold_bytes(holding, size_bytes)
            data = await self._read_in_time(deadline_ms)
            await self._intake.hold_head(holding, data)
            try:
                self.protocol.receive_data(data)
            except RuntimeError as error:
                raise RequestError(400, str(error)) from error
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
        return await self._channel.read(max(0.0, left_ms))

    def _next_event(self) -> object:
        try:
            return self.protocol.next_event()
        except h11.RemoteProtocolError as error:
            raise RequestError(error.error_status_hint, str(error)) from error
