"""One attempt to forward a request to a backend server."""

from __future__ import annotations

import enum
from collections.abc import Callable
from typing import TYPE_CHECKING

from attrs import frozen

from cicadaledge.clock import clock_ms
from cicadaledge.codes import NOT_RUN_STATUSES
from cicadaledge.edge._event_splitter import EventBoundary, EventSplitter, ResumeMismatchError
from cicadaledge.edge._header_codec import HeaderCodec, ResponseSignals
from cicadaledge.edge._held import BufferBudget, BufferedBody
from cicadaledge.edge._http_client import Headers, HttpConnection, ResponseHead
from cicadaledge.edge._interrupted_run import BEGUN_ANSWER_MS
from cicadaledge.edge._server_pool import PoolExhaustedError, ServerPool
from cicadaledge.errors import BackendError
from cicadaledge.placing import Chosen, LoadTracker, ServerHealth
from cicadaledge.routing import RouteKind

if TYPE_CHECKING:
    from cicadaledge.edge._active_request import ActiveRequest
    from cicadaledge.edge._response_writer import ResponseWriter

# Late responses to earlier requests are skipped on a connection. After more of them than this, the
# connection is closed and the request counts as lost.
_MAX_STALE_RESPONSES = 2
# Refusals and late responses are read and discarded. They are short; if one exceeds this limit, the
# request counts as lost.
_MAX_SKIPPED_BYTES = 65_536
_OK = 200
_FIRST_ERROR = 500


class AttemptEnd(enum.StrEnum):
    """How an attempt ended."""

    ANSWERED = "answered"
    NOT_RUN = "not run"
    FAILED = "failed"
    LOST = "lost"
    UNREACHABLE = "unreached"
    WITHDRAWN = "withdrawn"
    POOL_EXHAUSTED = "no connection left"
    UNIDENTIFIED = "refusal of an unnamed request"


@frozen
class BufferedResponse:
    """A completely read response of a server."""

    status: int
    headers: Headers
    body: bytes

    async def send(self, writer: ResponseWriter) -> None:
        """Send the response to the caller."""
        await writer.send_response(self.status, self.headers, self.body)


@frozen
class AttemptResult:
    """How an attempt ended.

    Args:
        answer: The error response of the server, if it sent one that may be relayed.
        cold_left_ms: Remaining warm-up time that the server announced.
        is_full: Whether the server turned the request away because it was full.
    """

    end: AttemptEnd
    reason: str = ""
    status: int | None = None
    answer: BufferedResponse | None = None
    cold_left_ms: float | None = None
    is_full: bool = False

    @property
    def failed(self) -> bool:
        """Whether the attempt counts against the health of the server."""
        return self.end in (AttemptEnd.FAILED, AttemptEnd.LOST) or (
            self.status is not None and self.status >= _FIRST_ERROR and self.answer is not None
        )


class Attempt:
    """Forwards a request to the chosen server and relays the response.

    Args:
        request: The request.
        chosen: The chosen server.
        writer: Sends the response to the caller.
        buffer_budget: Limits the memory for buffered responses.
        may_send: Returns whether the request may still be sent. Called immediately before sending,
            because the process can have been suspended since the server was chosen.
        on_signals: Called with the signals in the head of each response, except late ones to other
            requests.
        on_begun: Called when the server has been streaming an answer for a while.

    Attributes:
        resume_after: Id of the last event that the caller has received, or None.
        connection_number: Number of the connection that the request was written to, or None.
        late_responses: Number of responses to other requests that were skipped on it.
        first_byte_ms: Time of the first byte of the response, or None.
        last_byte_ms: Time of the latest byte of a streamed response, or None.
        longest_pause_ms: Longest time between two reads of a streamed response.
        caller_wait_ms: Time spent waiting until the caller took parts of a streamed response.
    """

    def __init__(
        self,
        request: ActiveRequest,
        chosen: Chosen,
        writer: ResponseWriter,
        codec: HeaderCodec,
        pool: ServerPool,
        load: LoadTracker,
        health: ServerHealth,
        buffer_budget: BufferBudget,
        may_send: Callable[[], bool],
        on_signals: Callable[[ResponseSignals], None],
        on_begun: Callable[[], None],
    ) -> None:
        self.resume_after: str | None = None
        self.connection_number: int | None = None
        self.late_responses = 0
        self.first_byte_ms: float | None = None
        self.last_byte_ms: float | None = None
        self.longest_pause_ms = 0.0
        self.caller_wait_ms = 0.0
        self._started_ms = clock_ms()
        self._request = request
        self._chosen = chosen
        self._writer = writer
        self._codec = codec
        self._pool = pool
        self._load = load
        self._health = health
        self._buffer_budget = buffer_budget
        self._may_send = may_send
        self._on_signals = on_signals
        self._on_begun = on_begun
        self._has_begun = False

    async def run(self) -> AttemptResult:
        """Run the attempt and return how it ended; the caller may have a partial response."""
        server = self._chosen.server
        try:
            connection = await self._pool.acquire(
                server,
                repeatable=self._request.route.idempotent,
                excluded=self._request.used_connections,
            )
        except BackendError as error:
            return AttemptResult(AttemptEnd.UNREACHABLE, str(error))
        except PoolExhaustedError as error:
            return AttemptResult(AttemptEnd.POOL_EXHAUSTED, str(error))
        if not self._may_send():
            self._pool.release(server, connection)
            return AttemptResult(AttemptEnd.WITHDRAWN, "what allowed it no longer holds")
        complete = False
        try:
            result = await self._exchange(connection)
            complete = result.end is not AttemptEnd.UNIDENTIFIED
            return result
        except BackendError as error:
            if not error.sent:
                return AttemptResult(AttemptEnd.UNREACHABLE, str(error))
            return AttemptResult(AttemptEnd.LOST, str(error))
        finally:
            if complete:
                self._pool.release(server, connection)
            else:
                connection.abort()

    async def _exchange(self, connection: HttpConnection) -> AttemptResult:
        call = self._request.call
        left_ms = self._request.expires_ms - clock_ms()
        headers = self._codec.server_headers(
            call, self._chosen.server, self._request.account_name, left_ms, self.resume_after
        )
        connection.send(call.method, call.target, headers, call.body)
        self.connection_number = connection.number
        self._request.used_connections.add(connection.number)
        ran_before = self._request.may_have_run
        self._request.may_have_run = True
        head, signals = await self._read_matching_head(connection)
        self._health.record_reached(self._chosen.server.server)
        if signals.request_id is None and not self._is_only_request(connection):
            reason = "a refusal without an id came on a used connection"
            return AttemptResult(AttemptEnd.UNIDENTIFIED, reason, head.status)
        if signals.not_run:
            await connection.read_body(_MAX_SKIPPED_BYTES)
            self._request.may_have_run = ran_before
            reason = "another server has the address" if signals.wrong_server else "server is full"
            return AttemptResult(
                AttemptEnd.NOT_RUN,
                reason,
                head.status,
                cold_left_ms=signals.cold_left_ms,
                is_full=not signals.wrong_server,
            )
        if head.status in NOT_RUN_STATUSES:
            return await self._discard_unproven_refusal(connection, head, signals)
        if self._request.route.kind is RouteKind.STREAM and head.status == _OK:
            await self._relay_stream(connection, head)
            return AttemptResult(
                AttemptEnd.ANSWERED, status=head.status, cold_left_ms=signals.cold_left_ms
            )
        return await self._relay_whole(connection, head, signals)

    async def _read_matching_head(
        self, connection: HttpConnection
    ) -> tuple[ResponseHead, ResponseSignals]:
        """Return the head of the response to this request, skipping late responses to others.

        A late response repeats one whose signals were applied when it came first. They may no longer
        hold.
        """
        request_id = self._request.call.request_id
        for _ in range(_MAX_STALE_RESPONSES + 1):
            head = await connection.read_head()
            signals = self._codec.read_signals(head)
            if signals.request_id in (None, request_id):
                self._on_signals(signals)
            if signals.request_id == request_id:
                return head, signals
            if signals.not_run and signals.request_id is None:
                return head, signals
            await connection.read_body(_MAX_SKIPPED_BYTES)
            self.late_responses += 1
            if not connection.skip_response():
                break
        raise BackendError(f"{connection.peer} answered another request", sent=True)

    def _is_only_request(self, connection: HttpConnection) -> bool:
        """Return whether this is the only request that the connection has carried."""
        return not connection.exchanges and not self.late_responses

    async def _discard_unproven_refusal(
        self, connection: HttpConnection, head: ResponseHead, signals: ResponseSignals
    ) -> AttemptResult:
        """Read a refusal in which the server does not state that the request has not run.

        It is not relayed, because its status alone would promise that to the caller.
        """
        await connection.read_body(_MAX_SKIPPED_BYTES)
        self._record_first_byte()
        reason = f"the server answered {head.status} to a request that may have run"
        return AttemptResult(
            AttemptEnd.FAILED, reason, head.status, cold_left_ms=signals.cold_left_ms
        )

    async def _relay_whole(
        self, connection: HttpConnection, head: ResponseHead, signals: ResponseSignals
    ) -> AttemptResult:
        """Buffer a response and relay it; one too long to buffer is relayed as it arrives."""
        failed = head.status >= _FIRST_ERROR or self._writer.started
        with BufferedBody(self._buffer_budget) as body:
            while (chunk := await connection.read_chunk()) is not None:
                if body.add(chunk):
                    continue
                if failed:
                    raise BackendError(
                        f"the failure of {connection.peer} is too long to hold", sent=True
                    )
                await self._relay_long(connection, head, body, chunk)
                return AttemptResult(
                    AttemptEnd.ANSWERED, status=head.status, cold_left_ms=signals.cold_left_ms
                )
            self._record_first_byte()
            answer = BufferedResponse(head.status, self._codec.response_headers(head), body.take())
            if failed:
                return AttemptResult(
                    AttemptEnd.FAILED, "server failed", head.status, answer, signals.cold_left_ms
                )
            await answer.send(self._writer)
            return AttemptResult(
                AttemptEnd.ANSWERED, status=head.status, cold_left_ms=signals.cold_left_ms
            )

    async def _relay_long(
        self, connection: HttpConnection, head: ResponseHead, body: BufferedBody, chunk: bytes
    ) -> None:
        """Relay the buffered start of a response, then the rest as it arrives.

        The start counts against the budget until the caller has read most of it.
        """
        self._record_first_byte()
        self._request.cannot_resume = True
        self._start_response(head)
        await self._writer.send_chunk(body.take())
        body.release()
        await self._writer.send_chunk(chunk)
        while (following := await connection.read_chunk()) is not None:
            await self._writer.send_chunk(following)
        self._writer.end()

    async def _relay_stream(self, connection: HttpConnection, head: ResponseHead) -> None:
        """Relay events as they arrive.

        For a resumable stream, only complete events are relayed and the last id is kept in
        `resume_after`. Once an event is too long to buffer, the stream cannot be resumed.
        """
        after = (self.resume_after or "") if self._writer.started else None
        cutter = EventSplitter(after) if self._request.route.resumable else None
        try:
            await self._relay_events(connection, head, cutter)
        except ResumeMismatchError as error:
            raise BackendError(f"{connection.peer}: {error}", sent=True) from error

    async def _relay_events(
        self, connection: HttpConnection, head: ResponseHead, cutter: EventSplitter | None
    ) -> None:
        boundary = EventBoundary()
        holds_events = head.may_hold_events or self._writer.started
        while (chunk := await connection.read_chunk()) is not None:
            self._record_streamed_bytes()
            boundary.feed(chunk)
            data = cutter.feed(chunk) if cutter else chunk
            if cutter and cutter.last_id is not None:
                self.resume_after = cutter.last_id
            if cutter and cutter.is_split:
                self._request.cannot_resume = True
            if data:
                self._start_response(head)
                sending_ms = clock_ms()
                await self._writer.send_chunk(data)
                self.caller_wait_ms += clock_ms() - sending_ms
        is_cut = boundary.is_within_event and holds_events
        # The end of a connection is a sound end only right after an event.
        if is_cut or not (head.is_framed or boundary.is_reached):
            raise BackendError(f"{connection.peer} ended a stream within an event", sent=True)
        self._start_response(head)
        rest = cutter.take_remainder() if cutter else b""
        if rest:
            await self._writer.send_chunk(rest)
        self._writer.end()

    def _start_response(self, head: ResponseHead) -> None:
        if not self._writer.started:
            self._writer.start(head.status, self._codec.response_headers(head))

    def _record_streamed_bytes(self) -> None:
        if self.first_byte_ms is None:
            self._load.record_begun(self._request.call.cost_tokens, clock_ms())
        self._record_first_byte()
        now_ms = clock_ms()
        if self.last_byte_ms is not None:
            self.longest_pause_ms = max(self.longest_pause_ms, now_ms - self.last_byte_ms)
        self.last_byte_ms = now_ms
        assert self.first_byte_ms is not None
        if not self._has_begun and self.last_byte_ms - self.first_byte_ms >= BEGUN_ANSWER_MS:
            self._has_begun = True
            self._on_begun()

    def _record_first_byte(self) -> None:
        if self.first_byte_ms is None:
            self.first_byte_ms = clock_ms()
            self._load.record_first_token(self._chosen.placement)
            waited_ms = self.first_byte_ms - self._started_ms
            self._load.record_first_token_wait(
                self._chosen.placement, waited_ms, self.first_byte_ms
            )
