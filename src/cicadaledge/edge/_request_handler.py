"""Handles a caller's request from its head to the end of the response."""

from __future__ import annotations

import asyncio
import math
import random
from functools import partial

from cicadaledge.clock import clock_ms
from cicadaledge.codes import Code
from cicadaledge.edge._active_request import ActiveRequest
from cicadaledge.edge._admission import Admission
from cicadaledge.edge._answer_times import AnswerTimes
from cicadaledge.edge._attempt import Attempt, AttemptEnd, AttemptResult
from cicadaledge.edge._attempt_outcomes import AttemptOutcomes
from cicadaledge.edge._caller_connections import CallerConnections
from cicadaledge.edge._caller_service import EarlyAnswer, RequestHead
from cicadaledge.edge._control_state import ControlPlaneState
from cicadaledge.edge._crash_watch import CrashDetector
from cicadaledge.edge._departure import ShutdownSchedule
from cicadaledge.edge._header_codec import HeaderCodec, ResponseSignals
from cicadaledge.edge._held import BufferBudget
from cicadaledge.edge._http_client import Headers
from cicadaledge.edge._load_shedder import LoadShedder
from cicadaledge.edge._metrics import EdgeMetrics
from cicadaledge.edge._poison_guard import PoisonRequestGuard
from cicadaledge.edge._refusal_writer import RefusalWriter
from cicadaledge.edge._refusals import BUSY_RETRY_MS, no_capacity, unanswered, with_true_run_state
from cicadaledge.edge._request_log import RequestLog
from cicadaledge.edge._request_placer import RequestPlacer
from cicadaledge.edge._response_writer import ResponseWriter
from cicadaledge.edge._retry_budget import RetryBudget
from cicadaledge.edge._rollout_guard import RolloutGuard
from cicadaledge.edge._server_pool import ServerPool
from cicadaledge.edge._server_words import ServerSignalHandler
from cicadaledge.edge._settings import EdgeSettings
from cicadaledge.errors import RefusalError
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
        self._pool = pool
        self._load_shedder = load_shedder
        self._crash_detector = crash_detector
        self._poison_guard = poison_guard
        self._rollouts = rollouts
        self._metrics = metrics
        self._buffer_budget = BufferBudget()
        self._refusals = RefusalWriter(codec, callers, metrics)
        self._signal_handler = ServerSignalHandler(control_state.directory, metrics)
        self._retries = RetryBudget(settings.bounds)
        self._random = random.Random()
        capacity = EngineCapacity(
            settings.placing, control_state.directory, load, health, rollouts.unused_servers
        )
        self._request_log = RequestLog(control_state, load, shares, capacity)
        answer_times = AnswerTimes()
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
            answer_times,
            self._request_log,
            rollouts,
        )
        self._outcomes = AttemptOutcomes(
            control_state,
            load,
            health,
            placer,
            crash_detector,
            poison_guard,
            rollouts,
            answer_times,
            self._request_log,
            metrics,
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
            return partial(self._refusals.send, with_true_run_state(refusal, None), call)
        return None

    def ends_connection(self) -> bool:
        """Return whether to close the connection after the response that starts now."""
        return self._shutdown.has_begun or self._load_shedder.should_close(
            self._random.random(), clock_ms()
        )

    def refuse(self, code: Code, detail: str, status: int) -> tuple[Headers, bytes]:
        """Return the headers and body of a refusal sent before a route is known."""
        return self._refusals.before_route(code, detail, status)

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
            await self._refusals.send(with_true_run_state(refusal, request), call, writer)
        except Exception as error:  # noqa: BLE001 - the caller gets a code, not a closed connection
            request_id = call.request_id if call else None
            _log.warning(
                "Request failed with an internal error; it is refused, or its response aborted.",
                request_id=request_id,
                error=repr(error),
            )
            await self._refusals.send(RefusalError(Code.INTERNAL), call, writer)
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
        try:
            with self._poison_guard.track_running(request, chosen.server.server):
                result = await attempt.run()
        except asyncio.CancelledError:
            self._outcomes.record_cancelled(request, chosen, attempt, now_ms)
            raise
        finally:
            self._load.record_end(chosen.placement)
            self._request_placer.wake(request.service.name)
        self._outcomes.record_ended(request, chosen, attempt, result, now_ms)
        return result

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
