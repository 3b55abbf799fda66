"""Runs calls to services; calls that are not idempotent run at most once."""

from __future__ import annotations

import hashlib
import http.client
from collections.abc import Callable

import urllib3
from attrs import frozen

from cicadaledge.backends import AnswerLimits, HeldAnswer
from cicadaledge.claims import Answer
from cicadaledge.codes import NOT_RUN_STATUSES, Code, RunState
from cicadaledge.errors import BackendError, CallerDisconnectedError, RefusalError
from cicadaledge.logs import PartLog
from cicadaledge.router._claim_manager import ClaimManager
from cicadaledge.router._context import RouterContext, monotonic_ms
from cicadaledge.router._entry_queue import EntryQueue, Ticket
from cicadaledge.router._granted_connections import GrantedConnections
from cicadaledge.wire import Descriptor, Outcome

_HINT_COST_MS = 50
_READ_BYTES = 65_536
# An answer takes at most this many times its size on the connection: a chunk of one byte takes six.
_MAX_FRAMING_RATIO = 8
_KEPT_HEADERS = ("content-type", "location", "etag", "cache-control")
_FORWARDED_HEADERS = ("content-type", "accept", "idempotency-key")
_READ_ERRORS = (urllib3.exceptions.HTTPError, http.client.HTTPException, OSError, ValueError)
_log = PartLog("dispatch")


@frozen
class ServiceCall:
    """One caller's call to a service.

    Args:
        idempotent: Whether it may be sent again.
        idempotency_key: The caller's key, or an empty string.
        deadline_ms: Time on the process clock at which waiting for a slot ends.
    """

    request_id: str
    account: str
    pool: str
    method: str
    path: str
    body: bytes
    headers: dict[str, str]
    idempotent: bool
    idempotency_key: str
    deadline_ms: int
    is_disconnected: Callable[[], bool]

    @property
    def digest(self) -> str:
        """Digest of account, method, path and body."""
        text = f"{self.account}\n{self.method}\n{self.path}\n".encode() + self.body
        return hashlib.sha256(text).hexdigest()

    @property
    def claim_key(self) -> str:
        """Digest of account, pool and Idempotency-Key."""
        text = f"{self.account}\n{self.pool}\n{self.idempotency_key}"
        return hashlib.sha256(text.encode()).hexdigest()


class ServiceDispatcher:
    """Sends service calls to the backend servers that grants name."""

    def __init__(
        self,
        context: RouterContext,
        entry_queue: EntryQueue,
        granted: GrantedConnections,
        claims: ClaimManager,
    ) -> None:
        self._context = context
        self._entry_queue = entry_queue
        self._granted = granted
        self._claims = claims
        self._limits = context.settings.limits
        self._answer_limits = AnswerLimits(
            _MAX_FRAMING_RATIO * (self._limits.answer_bytes + _READ_BYTES),
            total_ms=self._limits.answer_timeout_ms,
            idle_ms=self._limits.first_byte_timeout_ms,
        )

    def run(self, call: ServiceCall, held: HeldAnswer) -> Answer:
        """Return the answer of a call.

        Args:
            held: Takes the memory for the answer.

        Raises:
            RefusalError: A run state of `not_run` guarantees that no server ran the call.
        """
        if call.idempotent or not call.idempotency_key:
            answer = self._run_attempts(call, held)
        else:
            answer = self._run_claimed(call, held)
        if answer.status in NOT_RUN_STATUSES:
            # The call has reached a server, and this status would promise that it has not run.
            raise RefusalError(Code.BACKEND_REFUSED, f"the backend server answered {answer.status}")
        return answer

    def _run_claimed(self, call: ServiceCall, held: HeldAnswer) -> Answer:
        claim = self._claims.claim(call.claim_key, call.digest)
        if claim.answer is not None:
            return claim.answer
        try:
            answer = self._run_attempts(call, held)
        except RefusalError as refusal:
            if refusal.run_state is RunState.NOT_RUN:
                self._claims.release(claim)
            raise
        except CallerDisconnectedError:
            self._claims.release(claim)
            raise
        self._claims.settle(claim, self._recorded(answer))
        return answer

    def _recorded(self, answer: Answer) -> Answer:
        if len(answer.body) <= self._limits.outcome_bytes:
            return answer
        return Answer(answer.status, {}, b"", too_large=True)

    def _run_attempts(self, call: ServiceCall, held: HeldAnswer) -> Answer:
        excluded: list[str] = []
        sent = False
        for attempt in range(self._limits.attempts):
            self._granted.crash_monitor.refuse_poison(call.digest)
            try:
                ticket = self._acquire(call, attempt, excluded)
            except RefusalError as refusal:
                if sent:
                    raise RefusalError(Code.BACKEND_LOST, retry_after_ms=1000) from refusal
                raise
            try:
                return self._attempt(call, ticket, held)
            except BackendError as error:
                _log.info(
                    "Attempt to run a service call failed; another attempt or a refusal follows.",
                    request_id=call.request_id,
                    error=str(error),
                )
                assert ticket.grant is not None
                excluded.append(ticket.grant.server)
                sent = sent or error.sent
                if sent and not call.idempotent:
                    raise RefusalError(Code.BACKEND_LOST) from error
        code = Code.BACKEND_LOST if sent else Code.BACKEND_UNREACHABLE
        raise RefusalError(code, retry_after_ms=1000)

    def _acquire(self, call: ServiceCall, attempt: int, excluded: list[str]) -> Ticket:
        descriptor = Descriptor(
            handle=0,
            account=call.account,
            pool=call.pool,
            hint_cost=_HINT_COST_MS,
            suspect=self._granted.crash_monitor.is_suspect(call.digest),
            excluded=list(excluded),
        )
        ticket = Ticket(f"{call.request_id}.{attempt}", call.digest, descriptor)
        return self._entry_queue.acquire(ticket, call.deadline_ms, call.is_disconnected)

    def _attempt(self, call: ServiceCall, ticket: Ticket, held: HeldAnswer) -> Answer:
        started_ms = monotonic_ms()
        outcome = Outcome.LOST
        try:
            answer = self._send(call, ticket, held)
            outcome = Outcome.FINISHED
            self._granted.crash_monitor.record_answered(call.digest)
            return answer
        except BackendError as error:
            outcome = self._granted.outcome_of(ticket, error)
            raise
        finally:
            elapsed_ms = monotonic_ms() - started_ms
            started = outcome in (Outcome.FINISHED, Outcome.LOST, Outcome.DIED)
            ticket.cost = max(1, elapsed_ms) if started else 0
            ticket.first_token_ms = elapsed_ms if outcome is Outcome.FINISHED else -1
            self._entry_queue.finish(ticket, outcome)

    def _send(self, call: ServiceCall, ticket: Ticket, held: HeldAnswer) -> Answer:
        request_id = ticket.request_id
        headers = {key: call.headers[key] for key in _FORWARDED_HEADERS if key in call.headers}
        headers["X-Request-Id"] = request_id
        headers["X-Account"] = call.account
        connection = self._granted.open(ticket)
        response = connection.request(
            call.method, call.path, call.body, headers, self._answer_limits
        )
        held.release()
        try:
            while piece := response.read(_READ_BYTES):
                held.add(piece)
            if response.headers.get("X-Request-Id") != request_id:
                raise BackendError("the answer belongs to another request", sent=True)
        except _READ_ERRORS as error:
            connection.close()
            raise BackendError(f"{connection.server} failed: {error}", sent=True) from error
        except BackendError:
            connection.close()
            raise
        self._granted.pool.release(connection)
        response_headers = {
            key: response.headers[key] for key in _KEPT_HEADERS if key in response.headers
        }
        return Answer(response.status, response_headers, held.take_body())
