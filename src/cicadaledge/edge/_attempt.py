"""One sending of a request to one backend server."""

from __future__ import annotations

import enum
from collections.abc import Callable
from typing import TYPE_CHECKING

from attrs import frozen

from cicadaledge.edge._channel import clock_ms
from cicadaledge.edge._dialect import HeaderCodec, ResponseSignals
from cicadaledge.edge._events import EventSplitter, ResumeMismatchError
from cicadaledge.edge._held import BufferBudget, BufferedBody
from cicadaledge.edge._http_client import Headers, HttpConnection, ResponseHead
from cicadaledge.edge._server_pool import PoolExhaustedError, ServerPool
from cicadaledge.errors import BackendError
from cicadaledge.placing import Chosen, LoadTracker, ServerHealth
from cicadaledge.routing import RouteKind

if TYPE_CHECKING:
    from cicadaledge.edge._caller import ResponseWriter
    from cicadaledge.edge._work import ActiveRequest

_STRAY_ANSWERS = 2  # late answers to earlier requests that are passed over on one connection
_PASSED_OVER_BYTES = 65_536  # refusals and late answers are short, and nobody gets them
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
    """A server's answer that was read to its end."""

    status: int
    headers: Headers
    body: bytes

    async def send(self, writer: ResponseWriter) -> None:
        """Pass it on."""
        await writer.send_response(self.status, self.headers, self.body)


@frozen
class AttemptResult:
    """How an attempt ended.

    Args:
        answer: A failure that the server itself answered with.
        cold_left_ms: How long the server said it stays cold.
    """

    end: AttemptEnd
    reason: str = ""
    status: int | None = None
    answer: BufferedResponse | None = None
    cold_left_ms: float | None = None

    @property
    def failed(self) -> bool:
        """Whether the server is to blame."""
        return self.end in (AttemptEnd.FAILED, AttemptEnd.LOST) or (
            self.status is not None and self.status >= _FIRST_ERROR and self.answer is not None
        )


class Attempt:
    """Sends a request to the chosen server and relays the answer.

    Args:
        work: The request.
        chosen: Where it goes.
        writer: Where the answer goes.
        held: Bounds what is held of answers that are read whole.
        may_send: Returns whether what allowed the request still holds; asked right before it is
            sent, as the process can have been held meanwhile.
        note_signs: Takes what each answer tells of its server.
    """

    def __init__(
        self,
        work: ActiveRequest,
        chosen: Chosen,
        writer: ResponseWriter,
        dialect: HeaderCodec,
        pool: ServerPool,
        load: LoadTracker,
        health: ServerHealth,
        held: BufferBudget,
        may_send: Callable[[], bool],
        note_signs: Callable[[ResponseSignals], None],
    ) -> None:
        self.resume_after: str | None = None
        self.was_sent = False
        self.first_byte_ms: float | None = None
        self._began_ms = clock_ms()
        self._work = work
        self._chosen = chosen
        self._writer = writer
        self._dialect = dialect
        self._pool = pool
        self._load = load
        self._health = health
        self._held = held
        self._may_send = may_send
        self._note_signs = note_signs
        self._passed_over = 0

    async def run(self) -> AttemptResult:
        """Return how it ended; an answer that was begun may be incomplete then."""
        server = self._chosen.server
        try:
            connection = await self._pool.acquire(server, repeatable=self._work.route.idempotent)
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
        call = self._work.call
        left_ms = self._work.expires_ms - clock_ms()
        headers = self._dialect.server_headers(
            call, self._chosen.server, self._work.account_name, left_ms, self.resume_after
        )
        connection.send(call.method, call.target, headers, call.body)
        self.was_sent = True
        ran_before = self._work.may_have_run
        self._work.may_have_run = True
        head, signs = await self._own_head(connection)
        self._health.record_reached(self._chosen.server.server)
        if signs.request_id is None and not self._is_only_request(connection):
            reason = "a refusal without an id came on a used connection"
            return AttemptResult(AttemptEnd.UNIDENTIFIED, reason, head.status)
        if signs.not_run:
            await connection.read_body(_PASSED_OVER_BYTES)
            self._work.may_have_run = ran_before
            reason = "another server has the address" if signs.wrong_server else "server is full"
            return AttemptResult(
                AttemptEnd.NOT_RUN, reason, head.status, cold_left_ms=signs.cold_left_ms
            )
        if self._work.route.kind is RouteKind.STREAM and head.status == _OK:
            await self._relay_stream(connection, head)
            return AttemptResult(
                AttemptEnd.ANSWERED, status=head.status, cold_left_ms=signs.cold_left_ms
            )
        return await self._relay_whole(connection, head, signs)

    async def _own_head(self, connection: HttpConnection) -> tuple[ResponseHead, ResponseSignals]:
        """Return the head of the answer to this request; pass over late ones to others."""
        for _ in range(_STRAY_ANSWERS + 1):
            head = await connection.read_head()
            signs = self._dialect.read_signals(head)
            self._note_signs(signs)
            if signs.request_id == self._work.call.request_id:
                return head, signs
            if signs.not_run and signs.request_id is None:
                return head, signs
            await connection.read_body(_PASSED_OVER_BYTES)
            self._passed_over += 1
            if not connection.skip_response():
                break
        raise BackendError(f"{connection.peer} answered another request", sent=True)

    def _is_only_request(self, connection: HttpConnection) -> bool:
        """Return whether a connection has carried nothing else that could be answered."""
        return not connection.exchanges and not self._passed_over

    async def _relay_whole(
        self, connection: HttpConnection, head: ResponseHead, signs: ResponseSignals
    ) -> AttemptResult:
        """Pass an answer on that is complete; one that is too long to hold, as it comes."""
        failed = head.status >= _FIRST_ERROR or self._writer.started
        with BufferedBody(self._held) as body:
            while (piece := await connection.read_chunk()) is not None:
                if body.add(piece):
                    continue
                if failed:
                    raise BackendError(
                        f"the failure of {connection.peer} is too long to hold", sent=True
                    )
                await self._relay_long(connection, head, body.release() + piece)
                return AttemptResult(
                    AttemptEnd.ANSWERED, status=head.status, cold_left_ms=signs.cold_left_ms
                )
            self._note_first()
            answer = BufferedResponse(
                head.status, self._dialect.response_headers(head), body.copy()
            )
            if failed:
                return AttemptResult(
                    AttemptEnd.FAILED, "server failed", head.status, answer, signs.cold_left_ms
                )
            await answer.send(self._writer)
            return AttemptResult(
                AttemptEnd.ANSWERED, status=head.status, cold_left_ms=signs.cold_left_ms
            )

    async def _relay_long(
        self, connection: HttpConnection, head: ResponseHead, begun: bytes
    ) -> None:
        """Pass on what was read of an answer, then the rest as it comes."""
        self._note_first()
        self._work.cannot_resume = True
        self._start_answer(head)
        await self._writer.send_chunk(begun)
        while (piece := await connection.read_chunk()) is not None:
            await self._writer.send_chunk(piece)
        self._writer.end()

    async def _relay_stream(self, connection: HttpConnection, head: ResponseHead) -> None:
        """Pass events on as they come.

        Where another server may go on with the stream, whole events only, and the last id is
        kept in `resume_after`, until an event is too long to hold.
        """
        after = (self.resume_after or "") if self._writer.started else None
        cutter = EventSplitter(after) if self._work.route.resumable else None
        try:
            await self._relay_events(connection, head, cutter)
        except ResumeMismatchError as error:
            raise BackendError(f"{connection.peer}: {error}", sent=True) from error

    async def _relay_events(
        self, connection: HttpConnection, head: ResponseHead, cutter: EventSplitter | None
    ) -> None:
        while (piece := await connection.read_chunk()) is not None:
            self._note_first()
            self._start_answer(head)
            data = cutter.feed(piece) if cutter else piece
            if cutter and cutter.last_id is not None:
                self.resume_after = cutter.last_id
            if cutter and cutter.is_split:
                self._work.cannot_resume = True
            if data:
                await self._writer.send_chunk(data)
        self._start_answer(head)
        rest = cutter.end() if cutter else b""
        if rest:
            await self._writer.send_chunk(rest)
        self._writer.end()

    def _start_answer(self, head: ResponseHead) -> None:
        if not self._writer.started:
            self._writer.start(head.status, self._dialect.response_headers(head))

    def _note_first(self) -> None:
        if self.first_byte_ms is None:
            self.first_byte_ms = clock_ms()
            self._load.record_first_token(self._chosen.placement)
            waited_ms = self.first_byte_ms - self._began_ms
            self._load.record_first_token_wait(
                self._chosen.placement, waited_ms, self.first_byte_ms
            )
