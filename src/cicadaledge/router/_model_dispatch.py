"""Runs model requests: waits for a grant, relays the stream, resumes it or runs it again."""

from __future__ import annotations

import json
import uuid
from collections.abc import Callable, Iterator
from typing import Any

from attrs import frozen

from cicadaledge.backends import BackendConnection, call_backend
from cicadaledge.codes import Code
from cicadaledge.errors import BackendError, CallerDisconnectedError, RefusalError
from cicadaledge.logs import PartLog
from cicadaledge.router._answer_stream import AnswerReader
from cicadaledge.router._context import RouterContext, monotonic_ms
from cicadaledge.router._entry_queue import EntryQueue, Ticket
from cicadaledge.router._event_ids import EventId, EventIdSigner
from cicadaledge.router._granted_connections import GrantedConnections
from cicadaledge.router._position import Position
from cicadaledge.wire import Descriptor, Outcome

_DISCONNECT_CHECK_MS = 250
_CANCEL_TIMEOUT_MS = 1000
_PATH = "/v1/chat/completions"
_log = PartLog("dispatch")


@frozen
class ModelCall:
    """One caller's model request.

    Args:
        request_id: Sent to the backend server, which echoes it in its answer.
        body: Body to send, with streaming enabled.
        body_digest: Digest of account and body.
        deadline_ms: Time on the process clock at which waiting for a slot ends.
        resume: The last event of an interrupted stream, or None for a new request.
        is_disconnected: Returns whether the caller has closed its connection.
    """

    request_id: str
    account: str
    pool: str
    body: bytes
    body_digest: str
    prefix_digest: int
    hint_cost: int
    deadline_ms: int
    resume: EventId | None
    is_disconnected: Callable[[], bool]


@frozen
class ModelEvent:
    """One event of an answer."""

    event_id: str
    data: bytes
    text: str
    finish_reason: str | None


class ModelDispatcher:
    """Sends model requests to the backend servers that grants name, and relays the answers."""

    def __init__(
        self, context: RouterContext, entry_queue: EntryQueue, granted: GrantedConnections
    ) -> None:
        self._context = context
        self._entry_queue = entry_queue
        self._granted = granted
        self._reader = AnswerReader(context, granted.pool)
        self._signer = EventIdSigner(context.settings.fleet_key)
        self._limits = context.settings.limits

    def run(self, call: ModelCall) -> Iterator[ModelEvent]:
        """Yield the events of the answer, from the resume position if there is one.

        Raises:
            RefusalError: The request cannot be run or its answer cannot be completed.
            CallerDisconnectedError: The caller has closed its connection.
        """
        position = Position()
        if call.resume is not None:
            position = Position(call.resume.index + 1, call.resume.prefix_digest)
            try:
                yield from self._until_disconnected(call, self._resume(call, call.resume, position))
                return
            except BackendError:
                _log.info(
                    "Stream cannot be resumed; running the request again.",
                    request_id=call.request_id,
                )
                position = position.for_next_run()
        yield from self._run_attempts(call, position)

    def _until_disconnected(
        self, call: ModelCall, events: Iterator[ModelEvent]
    ) -> Iterator[ModelEvent]:
        """Yield events until the caller closes its connection."""
        checked_ms = monotonic_ms()
        for event in events:
            if monotonic_ms() - checked_ms >= _DISCONNECT_CHECK_MS:
                checked_ms = monotonic_ms()
                if call.is_disconnected():
                    raise CallerDisconnectedError("the caller has closed its connection")
            yield event

    def _run_attempts(self, call: ModelCall, position: Position) -> Iterator[ModelEvent]:
        excluded: list[str] = []
        for attempt in range(self._limits.attempts):
            self._granted.crash_monitor.refuse_poison(call.body_digest)
            request_id = f"{call.request_id}.{attempt}"
            ticket = self._acquire(call, request_id, excluded)
            try:
                yield from self._until_disconnected(call, self._attempt(call, ticket, position))
                return
            except BackendError as error:
                _log.info(
                    "Attempt to run a model request failed; another attempt or a refusal follows.",
                    request_id=request_id,
                    error=str(error),
                )
                assert ticket.grant is not None
                excluded.append(ticket.grant.server)
                position = position.for_next_run()
        self._granted.crash_monitor.refuse_poison(call.body_digest)
        raise RefusalError(Code.BACKEND_LOST, retry_after_ms=1000)

    def _acquire(self, call: ModelCall, request_id: str, excluded: list[str]) -> Ticket:
        descriptor = Descriptor(
            handle=0,
            account=call.account,
            pool=call.pool,
            hint_cost=call.hint_cost,
            prefix_digest=call.prefix_digest,
            suspect=self._granted.crash_monitor.is_suspect(call.body_digest),
            excluded=list(excluded),
        )
        ticket = Ticket(request_id, call.body_digest, descriptor)
        return self._entry_queue.acquire(ticket, call.deadline_ms, call.is_disconnected)

    def _attempt(self, call: ModelCall, ticket: Ticket, position: Position) -> Iterator[ModelEvent]:
        outcome = Outcome.CANCELLED
        try:
            connection = self._granted.open(ticket)
            yield from self._send(call, ticket, connection, position)
            outcome = Outcome.FINISHED
            self._granted.crash_monitor.record_answered(call.body_digest)
        except BackendError as error:
            outcome = self._granted.outcome_of(ticket, error)
            raise
        finally:
            self._entry_queue.finish(ticket, outcome)

    def _send(
        self,
        call: ModelCall,
        ticket: Ticket,
        connection: BackendConnection,
        position: Position,
    ) -> Iterator[ModelEvent]:
        sent_ms = monotonic_ms()
        headers = {
            "Content-Type": "application/json",
            "X-Request-Id": ticket.request_id,
            "X-Account": call.account,
        }
        answer = connection.request("POST", _PATH, call.body, headers, self._reader.limits)
        for event in self._relay(call, connection, answer, ticket.request_id, position):
            if ticket.first_token_ms < 0:
                ticket.first_token_ms = monotonic_ms() - sent_ms
            ticket.cost = position.count
            if event is not None:
                yield event

    def _resume(self, call: ModelCall, resume: EventId, position: Position) -> Iterator[ModelEvent]:
        connection, answer = self._reader.attach(
            resume.server, resume.boot_id, resume.stream_id, index=0
        )
        for event in self._relay(call, connection, answer, resume.stream_id, position):
            if event is not None:
                yield event

    def _relay(
        self,
        call: ModelCall,
        connection: BackendConnection,
        answer: Any,
        stream_id: str,
        position: Position,
    ) -> Iterator[ModelEvent | None]:
        """Yield one item per event of the server: None if the caller already has the event."""
        server, boot_id = connection.server, connection.boot_id
        complete = False
        try:
            for raw in self._reader.read(connection, answer, stream_id):
                text, finish_reason = _parse_event_data(raw.data)
                if not position.advance(text):
                    yield None
                    continue
                event_id = EventId(
                    server, boot_id, stream_id, raw.index, position.digest, call.body_digest
                )
                yield ModelEvent(self._signer.encode(event_id), raw.data, text, finish_reason)
            position.check_end()
            complete = True
        finally:
            if not complete:
                connection.close()
                self._cancel(server, stream_id)

    def _cancel(self, server_name: str, stream_id: str) -> None:
        server = self._context.configuration.servers.get(server_name)
        if server is None:
            return
        try:
            call_backend(server, "DELETE", f"/v1/streams/{stream_id}", _CANCEL_TIMEOUT_MS)
        except BackendError:
            pass


def _parse_event_data(data: bytes) -> tuple[str, str | None]:
    """Return the text and the finish reason of an event.

    Raises:
        BackendError: The event is malformed.
    """
    try:
        choice = json.loads(data)["choices"][0]
        text, finish_reason = choice["delta"].get("content", ""), choice.get("finish_reason")
        if not isinstance(text, str):
            raise TypeError(f"content: expected a string, found {type(text).__name__}")
        text.encode()  # fails for half of a surrogate pair
    except (ValueError, LookupError, TypeError, AttributeError, RecursionError) as error:
        raise BackendError(f"an event is malformed: {error!r}", sent=True) from error
    return text, finish_reason


def new_request_id() -> str:
    """Return a new request id."""
    return uuid.uuid4().hex[:20]
