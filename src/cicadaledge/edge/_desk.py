"""Takes a caller's request from its head to the end of its answer."""

from __future__ import annotations

import asyncio
import json
import math
import random
from functools import partial
from typing import Any

from cicadaledge.codes import Code, code_info
from cicadaledge.edge._attempt import Attempt, AttemptEnd, AttemptResult
from cicadaledge.edge._beliefs import Beliefs
from cicadaledge.edge._caller import AnswerWriter, RequestHead
from cicadaledge.edge._callers import CallerConnections
from cicadaledge.edge._channel import clock_ms
from cicadaledge.edge._crash_watch import CrashWatch
from cicadaledge.edge._departure import Departure
from cicadaledge.edge._dialect import AnswerSigns, Dialect
from cicadaledge.edge._held import HeldBytes
from cicadaledge.edge._http_client import Headers
from cicadaledge.edge._metrics import EdgeMetrics
from cicadaledge.edge._request_lines import RequestLines
from cicadaledge.edge._retries import RetryBudget
from cicadaledge.edge._server_pool import ServerPool
from cicadaledge.edge._server_words import ServerWords
from cicadaledge.edge._settings import EdgeSettings
from cicadaledge.edge._shedding import Shedding
from cicadaledge.edge._suspicion import Suspicion
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
from cicadaledge.routing import Account, Call, Limits, Route, RouteKind, RoutingTable

_HOLD_PART = 0.11  # a refusal within an eighth of the objective costs the caller nothing
_HOLD_STEP_S = 0.05  # the shortest time between two load views
_UNREACHED_TRIES = 3  # servers that cannot be reached before a request is refused
_BUSY_RETRY_MS = 200.0  # a full server has a place after a fraction of a request's time
_STALE_RETRY_MS = 1_000.0  # another router may read the store; this one needs seconds
_LEAVING_RETRY_MS = 50.0  # any other router can serve it
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
        beliefs: Beliefs,
        load: LoadBook,
        shares: AccountShares,
        health: ServerHealth,
        placer: Placer,
        pool: ServerPool,
        callers: CallerConnections,
        shedding: Shedding,
        departure: Departure,
        crashes: CrashWatch,
        suspicion: Suspicion,
        metrics: EdgeMetrics,
    ) -> None:
        self.breaking_off = False
        self.broken_off = 0
        self.active = 0
        self._departure = departure
        self._time_outs: set[asyncio.Timeout] = set()
        self._settings = settings
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
        self._metrics.refused(int(code))
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
        self._metrics.left()

    async def _answer(self, head: RequestHead, body: bytes, writer: AnswerWriter) -> None:
        call = None
        work = None
        try:
            call = self._parse(head, body)
            work = self._admit(call)
            await self._serve(work, writer)
        except RefusalError as refusal:
            if work is not None and work.failure is not None and not writer.started:
                await work.failure.send(writer)
                return
            await self._send_refusal(refusal, call, writer)
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
            self._metrics.left()
            raise

    def _parse(self, head: RequestHead, body: bytes) -> Call:
        try:
            return self._dialect.parse(
                head.method, head.target, head.headers, body, head.started_ms
            )
        except ValueError as error:
            raise RefusalError(Code.BAD_REQUEST, str(error)) from error

    def _admit(self, call: Call) -> Work:
        """Return the work, or refuse it by the configuration alone."""
        if not self._departure.takes(clock_ms()):
            raise RefusalError(Code.LEAVING, retry_after_ms=int(_LEAVING_RETRY_MS))
        table = self._beliefs.table
        if table is None or not self._beliefs.servers_known:
            raise RefusalError(Code.NOT_READY, retry_after_ms=int(_STALE_RETRY_MS))
        current = self._beliefs.may_use_keys(clock_ms())
        route = table.match(call.host, call.path)
        if route is None:
            if not current:
                raise RefusalError(Code.KEYS_STALE, retry_after_ms=int(_STALE_RETRY_MS))
            raise RefusalError(Code.NOT_FOUND, f"no route for {call.host}{call.path}")
        account = self._account(call, route, table, current)
        service = table.services[route.choose_service(self._chance)]
        time_ms = route.timeout_ms
        if call.deadline_ms is not None:
            time_ms = min(time_ms, call.deadline_ms)
        regions = _allowed_regions(route, account)
        work = Work(call, route, service, table, account, regions, call.started_ms + time_ms)
        if account is not None and service.engine is not None:
            self._shares.note_asked(account.name, call.cost_tokens, call.started_ms)
            self._check_share(work)
        self._retries.note_request(service.name, clock_ms())
        return work

    def _check_share(self, work: Work) -> None:
        """Refuse a request at once whose account asks more than its share.

        Raises:
            RefusalError: It is not among the part of the account's requests that is placed.
        """
        now_ms = clock_ms()
        use = self._share_use(work, now_ms)
        if self._chance.random() < use.admitted_part:
            return
        retry_ms = self._settings.placing.short_retry_ms
        self._lines.not_placed(work, Refused("share is used up", retry_ms), use, now_ms)
        raise RefusalError(Code.NO_CAPACITY, "share is used up", retry_after_ms=int(retry_ms))

    def _account(
        self, call: Call, route: Route, table: RoutingTable, current: bool
    ) -> Account | None:
        """Return whose key the call carries.

        Raises:
            RefusalError: The key is unknown, or may have been revoked.
        """
        account = table.account_of_key(call.key) if call.key else None
        if not table.has_accounts or not route.needs_key:
            return account if current else None
        if not current:
            raise RefusalError(Code.KEYS_STALE, retry_after_ms=int(_STALE_RETRY_MS))
        if account is None:
            raise RefusalError(Code.UNAUTHENTICATED)
        return account

    def leave(self) -> None:
        """Begin to leave: requests get their answers before the process is killed."""
        now_ms = clock_ms()
        self._departure.begin(now_ms)
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
            if clock_ms() < work.until_ms:
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
                raise self._no_capacity(work, result.reason, _BUSY_RETRY_MS)
            work.tried.add(chosen.server.server)
            if result.end is AttemptEnd.UNREACHED:
                unreached += 1
                if unreached < _UNREACHED_TRIES:
                    continue
                raise RefusalError(Code.BACKEND_UNREACHABLE, retry_after_ms=int(_BUSY_RETRY_MS))
            work.attempts += 1
            work.failure = result.answer or work.failure
            resume_after = attempt.resume_after
            if not self._may_repeat(work, result, writer):
                raise self._loss(work, result)
            if result.end is AttemptEnd.LOST:
                await self._crashes.settle(chosen.server)

    async def _run_attempt(self, work: Work, chosen: Chosen, attempt: Attempt) -> AttemptResult:
        now_ms = clock_ms()
        self._placer.note_sent(work.call, chosen, now_ms)
        self._lines.placed(work, chosen, self._share_use(work, now_ms), now_ms)
        server = chosen.server.server
        try:
            with self._suspicion.running(work, server):
                result = await attempt.run()
        except asyncio.CancelledError:
            if attempt.was_sent:
                self._crashes.note_unanswered(chosen.server, work, broke=False)
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
            self._crashes.note_unanswered(chosen.server, work, broke=True)
        elif result.end in (AttemptEnd.ANSWERED, AttemptEnd.FAILED):
            self._suspicion.note_whole(work)
        if result.end is AttemptEnd.UNREACHED:
            self._health.note_unreachable(server, ended_ms)
        elif result.end not in (AttemptEnd.WITHDRAWN, AttemptEnd.CROWDED):
            self._note_health(work, server, failed=result.failed)
        if result.cold_left_ms:
            self._beliefs.directory.note_cold(server, ended_ms + result.cold_left_ms)
        self._metrics.attempted(result.end.value)
        if attempt.first_ms is not None:
            self._metrics.first_byte((attempt.first_ms - now_ms) / 1000)
        if result.end is AttemptEnd.ANSWERED:
            self._metrics.answered((ended_ms - work.call.started_ms) / 1000)
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
            now_ms = clock_ms()
            self._recheck(work)
            self._check_time(work, now_ms)
            self._suspicion.check(work)
            use = self._share_use(work, now_ms)
            choice = self._choose(work, use, now_ms)
            if isinstance(choice, Chosen):
                if work.account is not None and work.service.engine is not None:
                    self._shares.note_admitted(work.account.name, work.call.cost_tokens, now_ms)
                return choice
            again_ms = max(now_ms + _HOLD_STEP_S * 1000, choice.opens_ms)
            if again_ms > hold_until_ms:
                self._lines.not_placed(work, choice, use, now_ms)
                raise self._no_capacity(work, choice.reason, choice.retry_after_ms)
            await asyncio.sleep(_HOLD_STEP_S)

    def _check_time(self, work: Work, now_ms: float) -> None:
        """Refuse a request whose server would be cut off by the end of the process.

        Raises:
            RefusalError: The router is leaving, and too little time is left.
        """
        if not self._departure.leaves_time(work.route.aim_ms, now_ms):
            code = Code.BACKEND_LOST if work.may_have_run else Code.LEAVING
            raise RefusalError(code, "the router is leaving", retry_after_ms=int(_LEAVING_RETRY_MS))

    def _choose(self, work: Work, use: ShareUse, now_ms: float) -> Chosen | Refused:
        """Return a server; for a suspect one where no other suspect runs, if there is one."""
        apart = self._suspicion.apart_from(work)
        for avoided in (work.tried | apart, work.tried) if apart else (work.tried,):
            choice = self._placer.choose(
                work.call, work.route, work.service, work.regions, avoided, use, now_ms
            )
            if isinstance(choice, Chosen):
                break
        return choice

    @staticmethod
    def _no_capacity(work: Work, reason: str, retry_after_ms: float) -> RefusalError:
        """Return the refusal of a request that no server can take now."""
        code = Code.BACKEND_LOST if work.may_have_run else Code.NO_CAPACITY
        return RefusalError(code, reason, retry_after_ms=int(retry_after_ms))

    def _share_use(self, work: Work, now_ms: float) -> ShareUse:
        if work.account is None or work.service.engine is None:
            return ShareUse()
        capacity = work.table.limits.tokens_per_s
        return self._shares.use(work.account.name, capacity, now_ms)

    def _recheck(self, work: Work) -> None:
        """Follow a newer configuration, read meanwhile.

        Raises:
            RefusalError: It does not allow the request, or keys can no longer be trusted.
        """
        table = self._beliefs.table
        assert table is not None
        route = work.route
        if table is not work.table:
            found = table.match(work.call.host, work.call.path)
            if found is None:
                raise RefusalError(Code.NOT_FOUND, "the route was removed")
            route = found
        current = self._beliefs.may_use_keys(clock_ms())
        work.account = self._account(work.call, route, table, current)
        if table is work.table:
            return
        work.table = table
        work.regions = _allowed_regions(route, work.account)
        name = work.service.name
        if name not in {one.service for one in route.split}:
            if work.attempts and route.kind is RouteKind.STREAM:
                raise RefusalError(Code.BACKEND_LOST, "the route was moved")
            name = route.choose_service(self._chance)
        work.service = table.services[name]
        work.route = route

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

    @staticmethod
    def _loss(work: Work, result: AttemptResult) -> RefusalError:
        """Return the refusal of a request that no other server may have."""
        if result.end is AttemptEnd.NOT_RUN and not work.may_have_run:
            return RefusalError(Code.NO_CAPACITY, result.reason, retry_after_ms=int(_BUSY_RETRY_MS))
        return RefusalError(Code.BACKEND_LOST, result.reason)

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
        self._metrics.refused(int(refusal.code))
        if writer.started:
            writer.break_off()
            return
        status = code_info(refusal.code).http_status
        headers = self._dialect.refusal_headers(refusal.retry_after_ms)
        if self._callers.is_crowded:
            headers = [*headers, (b"Connection", b"close")]
        await writer.whole(status, headers, _json(refusal_body(refusal, request_id)))


def _allowed_regions(route: Route, account: Account | None) -> frozenset[str] | None:
    """Return the regions that both allow, or None if neither is bound."""
    bound = [regions for regions in (route.regions, account and account.regions) if regions]
    if not bound:
        return None
    allowed = bound[0]
    for regions in bound[1:]:
        allowed &= regions
    return allowed


def _json(plain: dict[str, Any]) -> bytes:
    return json.dumps(plain).encode()
