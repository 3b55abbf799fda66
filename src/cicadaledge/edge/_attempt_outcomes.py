"""Records what the end of an attempt shows about its server and its request."""

from __future__ import annotations

from cicadaledge.clock import clock_ms
from cicadaledge.edge._active_request import ActiveRequest
from cicadaledge.edge._answer_times import AnswerTimes
from cicadaledge.edge._attempt import Attempt, AttemptEnd, AttemptResult
from cicadaledge.edge._control_state import ControlPlaneState
from cicadaledge.edge._crash_watch import CrashDetector
from cicadaledge.edge._interrupted_run import InterruptedRun
from cicadaledge.edge._metrics import EdgeMetrics
from cicadaledge.edge._poison_guard import PoisonRequestGuard
from cicadaledge.edge._request_log import RequestLog
from cicadaledge.edge._rollout_guard import RolloutGuard
from cicadaledge.placing import Chosen, LoadTracker, Placer, ServerHealth

# A server counts as silent from this multiple of the time in which its answer was expected, as
# single requests take several times as long as most.
_SILENCE_FACTOR = 4.0
# A server does not count as silent before this time, in which a lost packet is sent again.
_MIN_SILENCE_MS = 1_000.0
_OK = 200


class AttemptOutcomes:
    """Reports the outcomes of attempts to all who learn from them.

    Args:
        answer_times: Learns how long answers on each route take.
        request_log: Logs the end of each attempt.
    """

    def __init__(
        self,
        control_state: ControlPlaneState,
        load: LoadTracker,
        health: ServerHealth,
        placer: Placer,
        crash_detector: CrashDetector,
        poison_guard: PoisonRequestGuard,
        rollouts: RolloutGuard,
        answer_times: AnswerTimes,
        request_log: RequestLog,
        metrics: EdgeMetrics,
    ) -> None:
        self._control_state = control_state
        self._load = load
        self._health = health
        self._placer = placer
        self._crash_detector = crash_detector
        self._poison_guard = poison_guard
        self._rollouts = rollouts
        self._answer_times = answer_times
        self._request_log = request_log
        self._metrics = metrics

    def record_cancelled(
        self, request: ActiveRequest, chosen: Chosen, attempt: Attempt, started_ms: float
    ) -> None:
        """Record an attempt that was cancelled, as the caller left or its time was over."""
        if attempt.connection_number is not None:
            run = _interrupted_run(request, attempt)
            self._crash_detector.record_unanswered(
                chosen.server, run, started_ms, connection_lost=False
            )
        elapsed_ms = clock_ms() - started_ms
        if attempt.first_byte_ms is None and elapsed_ms > chosen.predicted_ms:
            self._load.record_first_token_wait(chosen.placement, elapsed_ms, clock_ms())
        if attempt.first_byte_ms is None and self._is_silent(request, chosen, elapsed_ms):
            self._record_health(request, chosen.server.server, failed=True)
            self._rollouts.record_silent(request, chosen.server, started_ms)

    def record_ended(
        self,
        request: ActiveRequest,
        chosen: Chosen,
        attempt: Attempt,
        result: AttemptResult,
        started_ms: float,
    ) -> None:
        """Record an attempt that has ended by itself."""
        server = chosen.server.server
        ended_ms = clock_ms()
        took_ms = ended_ms - started_ms
        if result.end is AttemptEnd.ANSWERED and result.status == _OK:
            self._answer_times.record(request.route.name, took_ms)
        elif result.end in (AttemptEnd.LOST, AttemptEnd.FAILED):
            request.longest_attempt_ms = max(request.longest_attempt_ms, took_ms)
        self._rollouts.record_ended(request, chosen.server, attempt, result, started_ms)
        if result.is_full:
            self._placer.record_full(server, ended_ms)
        if result.end is AttemptEnd.LOST:
            run = _interrupted_run(request, attempt)
            self._crash_detector.record_unanswered(
                chosen.server, run, started_ms, connection_lost=True
            )
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
            self._metrics.observe_first_byte((attempt.first_byte_ms - started_ms) / 1000)
        if result.end is AttemptEnd.ANSWERED:
            self._metrics.observe_answer((ended_ms - request.call.started_ms) / 1000)
        self._request_log.log_attempt_ended(request, chosen, attempt, result, started_ms)

    def _record_health(self, request: ActiveRequest, server: str, *, failed: bool) -> None:
        peers = [one.server for one in self._control_state.directory.usable(request.service.name)]
        now_ms = clock_ms()
        self._health.record_outcome(server, failed, peers, now_ms)
        self._load.record_attempt_outcome(server, now_ms, failed=failed)

    def _is_silent(self, request: ActiveRequest, chosen: Chosen, elapsed_ms: float) -> bool:
        """Return whether a server has been silent for longer than its load explains.

        Where it is not known how long an answer takes, that is so only once the caller's time is
        over: a caller may leave sooner for reasons of its own.
        """
        expected_ms = chosen.predicted_ms or self._answer_times.typical_ms(request.route.name)
        if expected_ms > 0:
            return elapsed_ms > max(expected_ms * _SILENCE_FACTOR, _MIN_SILENCE_MS)
        return clock_ms() >= request.route.answer_due_ms(request.call)


def _interrupted_run(request: ActiveRequest, attempt: Attempt) -> InterruptedRun:
    answered_for_ms = None
    if attempt.first_byte_ms is not None and attempt.last_byte_ms is not None:
        answered_for_ms = attempt.last_byte_ms - attempt.first_byte_ms
    return InterruptedRun(request, request.attempts + 1, answered_for_ms)
