"""Handles a caller's request from its head to the end of the response."""

from __future__ import annotations

import asyncio
import json
import math
import random
from functools import partial
from typing import Any

from cicadaledge.codes import Code, code_info
from cicadaledge.edge._active_request import ActiveRequest
from cicadaledge.edge._admission import Admission
from cicadaledge.edge._answer_times import AnswerTimes
from cicadaledge.edge._attempt import Attempt, AttemptEnd, AttemptResult
from cicadaledge.edge._caller_connections import CallerConnections
from cicadaledge.edge._caller_service import EarlyAnswer, RequestHead
from cicadaledge.edge._channel import clock_ms
from cicadaledge.edge._control_state import ControlPlaneState
from cicadaledge.edge._crash_watch import CrashDetector
from cicadaledge.edge._departure import ShutdownSchedule
from cicadaledge.edge._header_codec import HeaderCodec, ResponseSignals
from cicadaledge.edge._held import BufferBudget
from cicadaledge.edge._http_client import Headers
from cicadaledge.edge._interrupted_run import InterruptedRun
from cicadaledge.edge._load_shedder import LoadShedder
from cicadaledge.edge._metrics import EdgeMetrics
from cicadaledge.edge._poison_guard import PoisonRequestGuard
from cicadaledge.edge._refusals import BUSY_RETRY_MS, no_capacity, unanswered, with_true_run_state
from cicadaledge.edge._request_log import RequestLog
from cicadaledge.edge._request_placer import RequestPlacer
from cicadaledge.edge._response_writer import ResponseWriter
from cicadaledge.edge._retry_budget import RetryBudget
from cicadaledge.edge._rollout_guard import RolloutGuard
from cicadaledge.edge._server_pool import ServerPool
from cicadaledge.edge._server_words import ServerSignalHandler
from cicadaledge.edge._settings import EdgeSettings
from cicadaledge.errors import RefusalError, refusal_body
from cicadaledge.logs import PartLog
from cicadaledge.placing import (
    AccountShares,
    Chosen,
    EngineCapacity,
    LoadTracker,
    Placer,
    ServerHealth,
)
from cicadaledge.routing import Call, Limits

# A request is refused if this many servers could not be reached for it.
_MAX_UNREACHABLE_SERVERS = 3
# A server counts as silent from this multiple of the time in which its answer was expected, as
# single requests take several times as long as most.
_SILENCE_FACTOR = 4.0
# A server does not count as silent before this time, in which a lost packet is sent again.
_MIN_SILENCE_MS = 1_000.0
_OK = 200
_log = PartLog("request")


class RequestHandler:
    """Admits requests, chooses a server for each, forwards them and relays the responses.

    Args:
        settings: Settings of this router.

    Attributes:
        is_terminating: Whether the process cancels the requests that are still running.
        aborted_requests: Number of requests aborted because the shutdown deadline passed.
        active: Number of requests being handled.
    """

    def __init__(
        self,
        settings: EdgeSettings,
        codec: HeaderCodec,
        control_state: ControlPlaneState,
        load: LoadTracker,
        shares: AccountShares,
        health: ServerHealth,
        placer: Placer,
        pool: ServerPool,
        callers: CallerConnections,
        load_shedder: LoadShedder,
        shutdown: ShutdownSchedule,
        crash_detector: CrashDetector,
        poison_guard: PoisonRequestGuard,
        rollouts: RolloutGuard,
        metrics: EdgeMetrics,
    ) -> None:
        self.is_terminating = False
        self.aborted_requests = 0
        self.active = 0
        self._shutdown = shutdown
        self._timeouts: set[asyncio.Timeout] = set()
        self._codec = codec
        self._control_state = control_state
        self._load = load
        self._health = health
        self._placer = placer
        self._pool = pool
        self._callers = callers
        self._load_shedder = load_shedder
        self._crash_detector = crash_detector
        self._poison_guard = poison_guard
        self._rollouts = rollouts
        self._metrics = metrics
        self._buffer_budget = BufferBudget()
        self._signal_handler = ServerSignalHandler(control_state.directory, metrics)
        self._retries = RetryBudget(settings.bounds)
        self._random = random.Random()
        capacity = EngineCapacity(
            settings.placing, control_state.directory, load, health, rollouts.unused_servers
        )
        self._request_log = RequestLog(control_state, load, shares, capacity)
        self._answer_times = AnswerTimes()
        self._admission = Admission(
            settings, control_state, shares, capacity, shutdown, self._request_log
        )
        self._request_placer = RequestPlacer(
            settings,
            control_state,
            load,
            shares,
            placer,
            self._admission,
            poison_guard,
            shutdown,
            self._answer_times,
            self._request_log,
            rollouts,
        )

    @property
    def limits(self) -> Limits:
        """Limits on the size and duration of callers' requests."""
        table = self._control_state.table
        return table.limits if table else Limits()

    @property
    def waiting(self) -> int:
        """Number of requests that wait for a server."""
        return self._request_placer.waiting

    async def answer(self, head: RequestHead, body: bytes, writer: ResponseWriter) -> None:
        """Answer one completely read request."""
        self.active += 1
        try:
            await self._answer(head, body, writer)
        finally:
            self.active -= 1

    def check_head(self, head: RequestHead) -> EarlyAnswer | None:
        """Return how to refuse a request whose head is refused, so that its body is not kept."""
        call = None
        try:
            call = self._parse(head, b"")
            self._admission.check(call)
        except RefusalError as refusal:
            if call is not None:
                call.headers.clear()
            return partial(self._send_refusal, with_true_run_state(refusal, None), call)
        return None

    def ends_connection(self) -> bool:
        """Return whether to close the connection after the response that starts now."""
        return self._shutdown.has_begun or self._load_shedder.should_close(
            self._random.random(), clock_ms()
        )

    def refuse(self, code: Code, detail: str, status: int) -> tuple[Headers, bytes]:
        """Return the headers and body of a refusal sent before a route is known."""
        self._metrics.count_refusal(int(code))
        _log.info("Request refused.", code=int(code), detail=detail, status=status)
        body = _json(refusal_body(RefusalError(code, detail), None))
        return self._codec.refusal_headers(None), body

    def record_disconnect(self, head: RequestHead) -> None:
        """Record that a caller disconnected before its request was read."""
        _log.info(
            "Caller disconnected before its request was read; the request is not forwarded.",
            request_id=self._codec.request_id(head.headers),
            after_ms=round(clock_ms() - head.started_ms),
        )
        self._metrics.count_disconnect()

    async def _answer(self, head: RequestHead, body: bytes, writer: ResponseWriter) -> None:
        call = None
        request = None
        try:
            call = self._parse(head, body)
            request = self._admission.admit(call)
            self._retries.record_request(request.service.name, clock_ms())
            await self._serve(request, writer)
        except RefusalError as refusal:
            if request is not None and request.last_failure is not None and not writer.started:
                await request.last_failure.send(writer)
                return
            await self._send_refusal(with_true_run_state(refusal, request), call, writer)
        except Exception as error:  # noqa: BLE001 - the caller gets a code, not a closed connection
            request_id = call.request_id if call else None
            _log.warning(
                "Request failed with an internal error; it is refused, or its response aborted.",
                request_id=request_id,
                error=repr(error),
            )
            await self._send_refusal(RefusalError(Code.INTERNAL), call, writer)
        except asyncio.CancelledError:
            request_id = call.request_id if call else None
            if self.is_terminating:
                self._record_abort(request_id, head.started_ms)
                raise
            waited_ms = round(clock_ms() - head.started_ms)
            _log.info(
                "Caller disconnected before the response was complete; the request is cancelled.",
                request_id=request_id,
                after_ms=waited_ms,
            )
            self._metrics.count_disconnect()
            raise

    def _parse(self, head: RequestHead, body: bytes) -> Call:
        try:
            return self._codec.parse(head.method, head.target, head.headers, body, head.started_ms)
        except ValueError as error:
            raise RefusalError(Code.BAD_REQUEST, str(error)) from error

    def cap_timeouts(self) -> None:
        """Limit the timeouts of all running requests to the shutdown deadline."""
        latest_s = asyncio.get_running_loop().time() + self._time_left_s(math.inf)
        for time_limit in self._timeouts:
            time_limit.reschedule(min(time_limit.when() or latest_s, latest_s))

    async def _serve(self, request: ActiveRequest, writer: ResponseWriter) -> None:
        try:
            async with asyncio.timeout(self._time_left_s(request.expires_ms)) as time_limit:
                self._timeouts.add(time_limit)
                try:
                    await self._run_attempts(request, writer)
                finally:
                    self._timeouts.discard(time_limit)
        except TimeoutError:
            detail = ""
            if self._shutdown.respond_until_ms < request.expires_ms:
                detail = "the router stops"
                self._record_abort(request.call.request_id, request.call.started_ms)
            code = Code.TIMED_OUT if request.may_have_run else Code.QUEUE_TIMEOUT
            raise RefusalError(code, detail, retry_after_ms=None) from None

    def _record_abort(self, request_id: str | None, started_ms: float) -> None:
        """Record that shutdown aborts a request before its response is complete."""
        self.aborted_requests += 1
        waited_ms = round(clock_ms() - started_ms)
        _log.warning(
            "Shutdown aborts a request before its response is complete.",
            request_id=request_id,
            after_ms=waited_ms,
        )

    def _time_left_s(self, until_ms: float) -> float:
        """Return the time left until a request must be answered."""
        return max(0.0, min(until_ms, self._shutdown.respond_until_ms) - clock_ms()) / 1000

    async def _run_attempts(self, request: ActiveRequest, writer: ResponseWriter) -> None:
        """Forward the request to one server after another until one answers it."""
        resume_after = request.call.resume_after
        unreachable_servers = 0
        while True:
            try:
                chosen = await self._request_placer.place(request)
            except (RefusalError, asyncio.CancelledError):
                self._poison_guard.release_trial(request)
                raise
            attempt = Attempt(
                request,
                chosen,
                writer,
                self._codec,
                self._pool,
                self._load,
                self._health,
                self._buffer_budget,
                partial(self._may_send, request, chosen),
                partial(self._apply_signals, chosen),
                partial(self._poison_guard.record_begun_answer, request),
            )
            attempt.resume_after = resume_after
            result = await self._run_attempt(request, chosen, attempt)
            if result.end is AttemptEnd.ANSWERED:
                return
            if result.end is AttemptEnd.WITHDRAWN:
                continue
            if result.end is AttemptEnd.POOL_EXHAUSTED:
                raise no_capacity(result.reason, BUSY_RETRY_MS)
            server = chosen.server.server
            if result.end is AttemptEnd.UNREACHABLE:
                request.tried_servers.add(server)
                unreachable_servers += 1
                if unreachable_servers < _MAX_UNREACHABLE_SERVERS:
                    continue
                raise RefusalError(Code.BACKEND_UNREACHABLE, retry_after_ms=int(BUSY_RETRY_MS))
            request.reached_servers.add(server)
            if result.end is not AttemptEnd.NOT_RUN:
                request.attempts += 1
            if not result.is_full:
                request.tried_servers.add(server)
            request.last_failure = result.answer or request.last_failure
            resume_after = attempt.resume_after
            request.side.is_resumed = writer.started
            if not self._may_retry(request, result, writer):
                raise unanswered(result)
            if result.end is AttemptEnd.LOST:
                await self._crash_detector.wait_for_verdict(chosen.server)

    async def _run_attempt(
        self, request: ActiveRequest, chosen: Chosen, attempt: Attempt
    ) -> AttemptResult:
        now_ms = clock_ms()
        self._request_log.log_placed(
            request, chosen, self._admission.share_use(request, now_ms), now_ms
        )
        server = chosen.server.server
        try:
            with self._poison_guard.track_running(request, server):
                result = await attempt.run()
        except asyncio.CancelledError:
            if attempt.was_sent:
                run = _interrupted_run(request, attempt)
                self._crash_detector.record_unanswered(
                    chosen.server, run, now_ms, connection_lost=False
                )
            elapsed_ms = clock_ms() - now_ms
            if attempt.first_byte_ms is None and elapsed_ms > chosen.predicted_ms:
                self._load.record_first_token_wait(chosen.placement, elapsed_ms, clock_ms())
            if attempt.first_byte_ms is None and self._is_silent(request, chosen, elapsed_ms):
                self._record_health(request, server, failed=True)
                self._rollouts.record_silent(request, chosen.server, now_ms)
            raise
        finally:
            self._load.record_end(chosen.placement)
            self._request_placer.wake(request.service.name)
        ended_ms = clock_ms()
        took_ms = ended_ms - now_ms
        if result.end is AttemptEnd.ANSWERED and result.status == _OK:
            self._answer_times.record(request.route.name, took_ms)
        elif result.end in (AttemptEnd.LOST, AttemptEnd.FAILED):
            request.longest_attempt_ms = max(request.longest_attempt_ms, took_ms)
        self._rollouts.record_ended(request, chosen.server, attempt, result, now_ms)
        if result.is_full:
            self._placer.record_full(server, ended_ms)
        if result.end is AttemptEnd.LOST:
            run = _interrupted_run(request, attempt)
            self._crash_detector.record_unanswered(chosen.server, run, now_ms, connection_lost=True)
        elif result.end in (AttemptEnd.ANSWERED, AttemptEnd.FAILED):
            self._poison_guard.record_complete_answer(request)
            if result.end is AttemptEnd.ANSWERED and result.status == _OK:
                self._poison_guard.record_begun_answer(request)
        if result.end is AttemptEnd.UNREACHABLE:
            self._health.record_unreachable(server, ended_ms)
        elif result.end not in (AttemptEnd.WITHDRAWN, AttemptEnd.POOL_EXHAUSTED):
            self._record_health(request, server, failed=result.failed)
        if result.cold_left_ms:
            self._control_state.directory.mark_cold(server, ended_ms + result.cold_left_ms)
        self._metrics.count_attempt(result.end.value)
        if attempt.first_byte_ms is not None:
            self._metrics.observe_first_byte((attempt.first_byte_ms - now_ms) / 1000)
        if result.end is AttemptEnd.ANSWERED:
            self._metrics.observe_answer((ended_ms - request.call.started_ms) / 1000)
        self._request_log.log_attempt_ended(
            request, chosen, result, attempt.first_byte_ms, attempt.longest_pause_ms, now_ms
        )
        return result

    def _record_health(self, request: ActiveRequest, server: str, *, failed: bool) -> None:
        peers = [one.server for one in self._control_state.directory.usable(request.service.name)]
        now_ms = clock_ms()
        self._health.record_outcome(server, failed, peers, now_ms)
        self._load.record_attempt_outcome(server, now_ms, failed=failed)

    def _apply_signals(self, chosen: Chosen, signals: ResponseSignals) -> None:
        now_ms = clock_ms()
        self._signal_handler.apply(chosen.server, signals, now_ms)
        if signals.time_factor is not None and not signals.wrong_server:
            self._load.speed_reports.record(chosen.server.server, signals.time_factor, now_ms)

    def _may_send(self, request: ActiveRequest, chosen: Chosen) -> bool:
        """Return whether the configuration, key, server and shutdown still allow the request."""
        control_state = self._control_state
        now_ms = clock_ms()
        if control_state.table is not request.table or self._poison_guard.is_blamed(request):
            return False
        if not control_state.directory.is_usable(chosen.server, now_ms):
            return False
        if not self._rollouts.may_send(request, chosen.server):
            return False
        if not self._request_placer.has_time(request, now_ms):
            return False
        return request.account is None or control_state.may_use_keys(now_ms)

    def _is_silent(self, request: ActiveRequest, chosen: Chosen, elapsed_ms: float) -> bool:
        """Return whether a server has been silent for longer than its load explains.

        Where it is not known how long an answer takes, that is so only once the caller's time is
        over: a caller may leave sooner for reasons of its own.
        """
        expected_ms = chosen.predicted_ms or self._answer_times.typical_ms(request.route.name)
        if expected_ms > 0:
            return elapsed_ms > max(expected_ms * _SILENCE_FACTOR, _MIN_SILENCE_MS)
        return clock_ms() >= request.route.answer_due_ms(request.call)

    def _may_retry(
        self, request: ActiveRequest, result: AttemptResult, writer: ResponseWriter
    ) -> bool:
        """Return whether the request may be retried on another server."""
        if result.end is not AttemptEnd.NOT_RUN:
            if request.attempts >= request.route.max_attempts or not request.route.idempotent:
                return False
        elif not result.is_full and len(request.reached_servers) >= request.route.max_attempts:
            return False
        if request.cannot_resume or (writer.started and not request.route.resumable):
            return False
        routers = self._load.max_router_count(clock_ms())
        return self._retries.try_spend(request.service.name, routers, clock_ms())

    async def _send_refusal(
        self, refusal: RefusalError, call: Call | None, writer: ResponseWriter
    ) -> None:
        request_id = call.request_id if call else None
        _log.info(
            "Request refused.",
            request_id=request_id,
            code=int(refusal.code),
            detail=refusal.detail,
            run_state=refusal.run_state.value,
            broken_off=writer.started,
            after_ms=round(clock_ms() - call.started_ms) if call else None,
        )
        self._metrics.count_refusal(int(refusal.code))
        if writer.started:
            writer.abort()
            return
        status = code_info(refusal.code).http_status
        headers = self._codec.refusal_headers(refusal.retry_after_ms)
        if self._callers.is_half_full:
            headers = [*headers, (b"Connection", b"close")]
        await writer.send_response(status, headers, _json(refusal_body(refusal, request_id)))


def _interrupted_run(request: ActiveRequest, attempt: Attempt) -> InterruptedRun:
    answered_for_ms = None
    if attempt.first_byte_ms is not None and attempt.last_byte_ms is not None:
        answered_for_ms = attempt.last_byte_ms - attempt.first_byte_ms
    return InterruptedRun(request, request.attempts + 1, answered_for_ms)


def _json(plain: dict[str, Any]) -> bytes:
    return json.dumps(plain).encode()
