"""Takes a caller's request from its head to the end of its answer."""

from __future__ import annotations

import asyncio
import json
import math
import random
from functools import partial
from typing import Any

from cicadaledge.codes import Code, code_info
from cicadaledge.edge._admission import Admission
from cicadaledge.edge._attempt import Attempt, AttemptEnd, AttemptResult
from cicadaledge.edge._beliefs import ControlPlaneState
from cicadaledge.edge._caller import AnswerWriter, RequestHead
from cicadaledge.edge._callers import CallerConnections
from cicadaledge.edge._channel import clock_ms
from cicadaledge.edge._crash_watch import CrashDetector
from cicadaledge.edge._departure import LEAVING_RETRY_MS, Departure
from cicadaledge.edge._dialect import AnswerSigns, Dialect
from cicadaledge.edge._held import HeldBytes
from cicadaledge.edge._http_client import Headers
from cicadaledge.edge._metrics import EdgeMetrics
from cicadaledge.edge._refusals import BUSY_RETRY_MS, loss, no_capacity, true_of
from cicadaledge.edge._request_lines import RequestLines
from cicadaledge.edge._retries import RetryBudget
from cicadaledge.edge._server_pool import ServerPool
from cicadaledge.edge._server_words import ServerWords
from cicadaledge.edge._settings import EdgeSettings
from cicadaledge.edge._shedding import Shedding
from cicadaledge.edge._suspicion import PoisonRequestGuard
from cicadaledge.edge._work import Work
from cicadaledge.errors import RefusalError, refusal_body
from cicadaledge.logs import PartLog
from cicadaledge.placing import (
    AccountShares,
    Chosen,
    LoadBook,
    Placer,
    Refused,
    ServerHealth,
    ShareUse,
)
from cicadaledge.routing import Call, Limits

_HOLD_PART = 0.11  # a refusal within an eighth of the objective costs the caller nothing
_HOLD_STEP_S = 0.05  # the shortest time between two load views
_UNREACHED_TRIES = 3  # servers that cannot be reached before a request is refused
_log = PartLog("request")


class CallDesk:
    """Admits, places, sends and relays requests.

    Args:
        settings: Settings of this router.
    """

    def __init__(
        self,
        settings: EdgeSettings,
        dialect: Dialect,
        beliefs: ControlPlaneState,
        load: LoadBook,
        shares: AccountShares,
        health: ServerHealth,
        placer: Placer,
        pool: ServerPool,
        callers: CallerConnections,
        shedding: Shedding,
        departure: Departure,
        crashes: CrashDetector,
        suspicion: PoisonRequestGuard,
        metrics: EdgeMetrics,
    ) -> None:
        self.breaking_off = False
        self.broken_off = 0
        self.active = 0
        self._departure = departure
        self._time_outs: set[asyncio.Timeout] = set()
        self._dialect = dialect
        self._beliefs = beliefs
        self._load = load
        self._shares = shares
        self._health = health
        self._placer = placer
        self._pool = pool
        self._callers = callers
        self._shedding = shedding
        self._crashes = crashes
        self._suspicion = suspicion
        self._metrics = metrics
        self._held = HeldBytes()
        self._words = ServerWords(beliefs.directory, metrics)
        self._retries = RetryBudget(settings.bounds)
        self._chance = random.Random()
        self._lines = RequestLines(beliefs, load, shares)
        self._admission = Admission(settings, beliefs, shares, departure, self._lines)

    @property
    def limits(self) -> Limits:
        """Bounds on what callers send."""
        table = self._beliefs.table
        return table.limits if table else Limits()

    async def answer(self, head: RequestHead, body: bytes, writer: AnswerWriter) -> None:
        """Answer one request that was read whole."""
        self.active += 1
        try:
            await self._answer(head, body, writer)
        finally:
            self.active -= 1

    def ends_connection(self) -> bool:
        """Return whether the connection of the answer that begins now is to be closed behind it."""
        return self._departure.is_begun or self._shedding.sends_away(
            self._chance.random(), clock_ms()
        )

    def refuse(self, code: Code, detail: str, status: int) -> tuple[Headers, bytes]:
        """Return headers and body of a refusal that needs no route."""
        self._metrics.count_refusal(int(code))
        _log.info("Refused.", code=int(code), detail=detail, status=status)
        body = _json(refusal_body(RefusalError(code, detail), None))
        return self._dialect.refusal_headers(None), body

    def note_left(self, head: RequestHead) -> None:
        """Note that a request is not answered, as its caller left before it was read."""
        _log.info(
            "Caller has left before its request was read.",
            request_id=self._dialect.request_id(head.headers),
            after_ms=round(clock_ms() - head.started_ms),
        )
        self._metrics.count_disconnect()

    async def _answer(self, head: RequestHead, body: bytes, writer: AnswerWriter) -> None:
        call = None
        work = None
        try:
            call = self._parse(head, body)
            work = self._admission.admit(call)
            self._retries.note_request(work.service.name, clock_ms())
            await self._serve(work, writer)
        except RefusalError as refusal:
            if work is not None and work.failure is not None and not writer.started:
                await work.failure.send(writer)
                return
            await self._send_refusal(true_of(refusal, work), call, writer)
        except Exception as error:  # noqa: BLE001 - the caller gets a code, not a closed connection
            request_id = call.request_id if call else None
            _log.warning("Request met an internal error.", request_id=request_id, error=repr(error))
            await self._send_refusal(RefusalError(Code.INTERNAL), call, writer)
        except asyncio.CancelledError:
            request_id = call.request_id if call else None
            if self.breaking_off:
                self._note_broken_off(request_id, head.started_ms)
                raise
            waited_ms = round(clock_ms() - head.started_ms)
            _log.info("Caller has left.", request_id=request_id, after_ms=waited_ms)
            self._metrics.count_disconnect()
            raise

    def _parse(self, head: RequestHead, body: bytes) -> Call:
        try:
            return self._dialect.parse(
                head.method, head.target, head.headers, body, head.started_ms
            )
        except ValueError as error:
            raise RefusalError(Code.BAD_REQUEST, str(error)) from error

    def leave(self) -> None:
        """Let all requests get their answers before the process, told to stop, is killed."""
        last_s = asyncio.get_running_loop().time() + self._time_left_s(math.inf)
        for time_out in self._time_outs:
            time_out.reschedule(min(time_out.when() or last_s, last_s))

    async def _serve(self, work: Work, writer: AnswerWriter) -> None:
        try:
            async with asyncio.timeout(self._time_left_s(work.until_ms)) as time_out:
                self._time_outs.add(time_out)
                try:
                    await self._run_attempts(work, writer)
                finally:
                    self._time_outs.discard(time_out)
        except TimeoutError:
            detail = ""
            if self._departure.answers_until_ms < work.until_ms:
                detail = "the router stops"
                self._note_broken_off(work.call.request_id, work.call.started_ms)
            code = Code.TIMED_OUT if work.may_have_run else Code.QUEUE_TIMEOUT
            raise RefusalError(code, detail, retry_after_ms=None) from None

    def _note_broken_off(self, request_id: str | None, started_ms: float) -> None:
        """Note that the end of the process leaves no time for an answer of a server."""
        self.broken_off += 1
        waited_ms = round(clock_ms() - started_ms)
        _log.warning("Answer is broken off.", request_id=request_id, after_ms=waited_ms)

    def _time_left_s(self, until_ms: float) -> float:
        """Return the time that is left until a request must be answered."""
        return max(0.0, min(until_ms, self._departure.answers_until_ms) - clock_ms()) / 1000

    async def _run_attempts(self, work: Work, writer: AnswerWriter) -> None:
        """Send the request to one server after the other until it is answered."""
        resume_after = work.call.resume_after
        unreached = 0
        while True:
            chosen = await self._place(work)
            attempt = Attempt(
                work,
                chosen,
                writer,
                self._dialect,
                self._pool,
                self._load,
                self._health,
                self._held,
                partial(self._may_send, work, chosen),
                partial(self._note_signs, chosen),
            )
            attempt.resume_after = resume_after
            result = await self._run_attempt(work, chosen, attempt)
            if result.end is AttemptEnd.ANSWERED:
                return
            if result.end is AttemptEnd.WITHDRAWN:
                continue
            if result.end is AttemptEnd.CROWDED:
                raise no_capacity(result.reason, BUSY_RETRY_MS)
            work.tried.add(chosen.server.server)
            if result.end is AttemptEnd.UNREACHED:
                unreached += 1
                if unreached < _UNREACHED_TRIES:
                    continue
                raise RefusalError(Code.BACKEND_UNREACHABLE, retry_after_ms=int(BUSY_RETRY_MS))
            work.attempts += 1
            work.failure = result.answer or work.failure
            resume_after = attempt.resume_after
            if not self._may_repeat(work, result, writer):
                raise loss(result)
            if result.end is AttemptEnd.LOST:
                await self._crashes.wait_for_verdict(chosen.server)

    async def _run_attempt(self, work: Work, chosen: Chosen, attempt: Attempt) -> AttemptResult:
        now_ms = clock_ms()
        self._placer.note_sent(work.call, chosen, now_ms)
        self._lines.placed(work, chosen, self._admission.share_use(work, now_ms), now_ms)
        server = chosen.server.server
        try:
            with self._suspicion.track_running(work, server):
                result = await attempt.run()
        except asyncio.CancelledError:
            if attempt.was_sent:
                self._crashes.record_unanswered(chosen.server, work, now_ms, connection_lost=False)
            silent_ms = clock_ms() - now_ms
            if attempt.first_ms is None and silent_ms > chosen.predicted_ms:
                self._load.note_wait(chosen.placement, silent_ms, clock_ms())
            if attempt.first_ms is None and silent_ms > work.route.aim_ms + chosen.predicted_ms:
                self._note_health(work, server, failed=True)
            raise
        finally:
            self._load.end(chosen.placement)
        ended_ms = clock_ms()
        if result.end is AttemptEnd.LOST:
            self._crashes.record_unanswered(chosen.server, work, now_ms, connection_lost=True)
        elif result.end in (AttemptEnd.ANSWERED, AttemptEnd.FAILED):
            self._suspicion.record_complete_answer(work)
        if result.end is AttemptEnd.UNREACHED:
            self._health.note_unreachable(server, ended_ms)
        elif result.end not in (AttemptEnd.WITHDRAWN, AttemptEnd.CROWDED):
            self._note_health(work, server, failed=result.failed)
        if result.cold_left_ms:
            self._beliefs.directory.note_cold(server, ended_ms + result.cold_left_ms)
        self._metrics.count_attempt(result.end.value)
        if attempt.first_ms is not None:
            self._metrics.observe_first_byte((attempt.first_ms - now_ms) / 1000)
        if result.end is AttemptEnd.ANSWERED:
            self._metrics.observe_answer((ended_ms - work.call.started_ms) / 1000)
        self._lines.attempt_ended(work, chosen, result, attempt.first_ms, now_ms)
        return result

    def _note_health(self, work: Work, server: str, *, failed: bool) -> None:
        peers = [one.server for one in self._beliefs.directory.usable(work.service.name)]
        now_ms = clock_ms()
        self._health.note_answer(server, failed, peers, now_ms)
        self._load.note_end(server, now_ms, failed=failed)

    def _note_signs(self, chosen: Chosen, signs: AnswerSigns) -> None:
        self._words.take(chosen.server, signs, clock_ms())

    def _may_send(self, work: Work, chosen: Chosen) -> bool:
        """Return whether the configuration, the key and the server still allow a request."""
        beliefs = self._beliefs
        now_ms = clock_ms()
        if beliefs.table is not work.table or self._suspicion.is_blamed(work):
            return False
        if not beliefs.directory.is_usable(chosen.server, now_ms):
            return False
        if not self._departure.leaves_time(work.route.aim_ms, now_ms):
            return False
        return work.account is None or beliefs.may_use_keys(now_ms)

    async def _place(self, work: Work) -> Chosen:
        """Return a server; wait a little for one.

        Raises:
            RefusalError: None can take the request.
        """
        hold_until_ms = work.call.started_ms + work.route.aim_ms * _HOLD_PART
        while True:
            while self._suspicion.awaits_evidence(work):
                await asyncio.sleep(_HOLD_STEP_S)
            now_ms = clock_ms()
            self._admission.recheck(work)
            self._check_time(work, now_ms)
            self._suspicion.check(work)
            use = self._admission.share_use(work, now_ms)
            choice = self._choose(work, use, now_ms)
            if isinstance(choice, Chosen):
                if work.account is not None and work.service.engine is not None:
                    self._shares.note_admitted(work.account.name, work.call.cost_tokens, now_ms)
                return choice
            again_ms = max(now_ms + _HOLD_STEP_S * 1000, choice.opens_ms)
            if again_ms > hold_until_ms:
                self._lines.not_placed(work, choice, use, now_ms)
                raise no_capacity(choice.reason, choice.retry_after_ms)
            await asyncio.sleep(_HOLD_STEP_S)

    def _check_time(self, work: Work, now_ms: float) -> None:
        """Refuse a request whose server would be cut off by the end of the process.

        Raises:
            RefusalError: The router is leaving, and too little time is left.
        """
        if not self._departure.leaves_time(work.route.aim_ms, now_ms):
            raise RefusalError(Code.LEAVING, retry_after_ms=int(LEAVING_RETRY_MS))

    def _choose(self, work: Work, use: ShareUse, now_ms: float) -> Chosen | Refused:
        """Return a server; for a suspect one where no other suspect runs, if there is one."""
        apart = self._suspicion.servers_to_avoid(work)
        for avoided in (work.tried | apart, work.tried) if apart else (work.tried,):
            choice = self._placer.choose(
                work.call, work.route, work.service, work.regions, avoided, use, now_ms
            )
            if isinstance(choice, Chosen):
                break
        return choice

    def _may_repeat(self, work: Work, result: AttemptResult, writer: AnswerWriter) -> bool:
        """Return whether another server may have the request."""
        if work.attempts >= work.route.max_attempts:
            return False
        if result.end is not AttemptEnd.NOT_RUN and not work.route.idempotent:
            return False
        if work.is_bound or (writer.started and not work.route.resumable):
            return False
        routers = self._load.routers_at_most(clock_ms())
        return self._retries.take(work.service.name, routers, clock_ms())

    async def _send_refusal(
        self, refusal: RefusalError, call: Call | None, writer: AnswerWriter
    ) -> None:
        request_id = call.request_id if call else None
        _log.info(
            "Refused.",
            request_id=request_id,
            code=int(refusal.code),
            detail=refusal.detail,
            run_state=refusal.run_state.value,
            broken_off=writer.started,
            after_ms=round(clock_ms() - call.started_ms) if call else None,
        )
        self._metrics.count_refusal(int(refusal.code))
        if writer.started:
            writer.break_off()
            return
        status = code_info(refusal.code).http_status
        headers = self._dialect.refusal_headers(refusal.retry_after_ms)
        if self._callers.is_crowded:
            headers = [*headers, (b"Connection", b"close")]
        await writer.whole(status, headers, _json(refusal_body(refusal, request_id)))


def _json(plain: dict[str, Any]) -> bytes:
    return json.dumps(plain).encode()
