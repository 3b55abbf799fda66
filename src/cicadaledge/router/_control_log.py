"""Reads and appends to the control stream, and exchanges its state with peers."""

from __future__ import annotations

import asyncio
import uuid

from cicadaledge.codes import Code, RunState
from cicadaledge.config import (
    CONTROL_STREAM,
    AuditEntry,
    Confirm,
    FleetState,
    Intent,
    Plan,
    Propose,
    Record,
    Snapshot,
    encode_record,
    make_plan,
    replay,
)
from cicadaledge.errors import (
    CicadaledgeError,
    ConfigurationError,
    LogError,
    LogUnavailableError,
    RefusalError,
)
from cicadaledge.log import LogPage
from cicadaledge.logs import PartLog
from cicadaledge.membership import rank
from cicadaledge.router._context import RouterContext, wall_ms
from cicadaledge.wire import StateReply, StateRequest

# A read of the control stream is retried after this delay if it failed or its page could not be
# applied.
_RETRY_S = 0.25
_READ_BACK_S = 4.0
_LOG_RETRY_AFTER_MS = 1_000
_RELAY_PERIOD_S = 0.5
_SNAPSHOT_PERIOD_S = 15.0
_SNAPSHOT_RECORDS = 200
_log = PartLog("control")


class ControlLog:
    """Keeps the fleet state up to date from the log, or from peers if the log is unavailable."""

    def __init__(self, context: RouterContext) -> None:
        self._context = context
        self._applied = asyncio.Condition()
        self._snapshot_ms = context.now_ms()
        context.handlers[StateRequest] = self._on_state_request
        context.handlers[StateReply] = self._on_state_reply

    async def run_read_loop(self) -> None:
        """Read and apply the control stream, forever."""
        timing = self._context.settings.timing
        while True:
            asked_ms = self._context.now_ms()
            try:
                page = await self._context.in_thread(
                    self._context.log.read,
                    CONTROL_STREAM,
                    self._context.state.offset + 1,
                    timing.log_poll_ms,
                )
            except LogError:
                await asyncio.sleep(_RETRY_S)
                continue
            if not self._apply_page(page):
                await asyncio.sleep(_RETRY_S)
            elif self._context.state.offset + 1 >= page.end_offset:
                self._record_freshness(asked_ms)
            async with self._applied:
                self._applied.notify_all()

    async def run_relay_loop(self) -> None:
        """Request newer state from peers, forever."""
        while True:
            newest = self._context.liveness.newest_offset_peer()
            if newest is not None and newest[1] > self._context.state.offset:
                request = StateRequest(CONTROL_STREAM, self._context.state.offset)
                self._context.send(newest[0], request)
            await asyncio.sleep(_RELAY_PERIOD_S)

    async def run_snapshot_loop(self) -> None:
        """Append snapshots after many records and before the log's retention ends, forever."""
        refresh_ms = self._context.settings.timing.snapshot_refresh_ms
        while True:
            await asyncio.sleep(min(_SNAPSHOT_PERIOD_S, refresh_ms / 1000))
            state = self._context.state
            enough_records = state.offset - state.snapshot_offset >= _SNAPSHOT_RECORDS
            overdue = self._context.now_ms() - self._snapshot_ms >= refresh_ms
            if state.configuration and (enough_records or overdue) and self._is_writer():
                try:
                    await self.append(state.snapshot())
                except LogError as error:
                    _log.warning(
                        "Snapshot of the fleet state was not appended; the next check tries again.",
                        error=str(error),
                    )

    async def append(self, record: Record) -> int:
        """Append a record and return its offset.

        Raises:
            LogError: Nothing was appended.
            LogUnavailableError: The record may have been appended.
        """
        data = encode_record(record)
        return await self._context.in_thread(self._context.log.append, CONTROL_STREAM, data)

    async def plan(self, operator: str, intent: Intent) -> Plan:
        """Make a plan and append it, so that any router can confirm it.

        Raises:
            RefusalError: The intent is invalid or the log did not accept the plan.
        """
        state = self._context.state
        plan_id = "p-" + uuid.uuid4().hex[:10]
        plan = make_plan(plan_id, operator, intent, self._context.configuration, state.offset)
        try:
            offset = await self.append(Propose(plan, wall_ms()))
            await self._read_back(offset)
        except (LogError, TimeoutError) as error:
            raise _log_refusal(error) from error
        return plan

    async def confirm(self, operator: str, plan_id: str) -> AuditEntry:
        """Confirm a plan and return the audit entry of the decision.

        Raises:
            RefusalError: The plan is unknown, in conflict or already decided, or the
                confirmation was not read back from the log in time.
        """
        plan = await self._find_plan(plan_id)
        record = Confirm(plan_id, plan.digest, operator, wall_ms())
        try:
            offset = await self.append(record)
        except LogUnavailableError as error:
            offset = await self._find_confirmation(plan_id, error)
        except LogError as error:
            raise _log_refusal(error) from error
        try:
            await self._read_back(offset)
        except TimeoutError as error:
            raise _log_refusal(error) from error
        return self._outcome(plan_id, offset)

    async def audit(self) -> list[AuditEntry]:
        """Return all decisions that the log holds, or those known so far if it is unavailable."""
        try:
            await self._catch_up()
        except (LogError, TimeoutError) as error:
            _log.warning(
                "Log was not read to its end; the audit trail may lack the newest entries.",
                error=str(error),
            )
        return self._context.state.audit

    def _apply_page(self, page: LogPage) -> bool:
        state = self._context.state
        if page.first_offset > state.offset + 1:
            replayed = replay(page.first_offset, page.records)
            if replayed is None or replayed.offset <= state.offset:
                return False
            self._replace_state(replayed)
            return True
        for offset, data in page.records:
            record = state.apply(offset, data)
            if isinstance(record, Snapshot):
                self._snapshot_ms = self._context.now_ms()
            if record is not None:
                self._context.notify_record(record)
        return True

    def _replace_state(self, state: FleetState) -> None:
        self._context.state = state
        self._context.notify_record(None)
        _log.info(
            "Fleet state was replaced by a newer one from the log or a peer.", offset=state.offset
        )

    def _record_freshness(self, asked_ms: int) -> None:
        self._context.log_read_ms = asked_ms
        liveness = self._context.liveness
        liveness.fresh_as_of_ms = max(liveness.fresh_as_of_ms, asked_ms)

    def _is_writer(self) -> bool:
        live = [name for name in self._context.state.members.by_name if self._context.is_live(name)]
        return bool(live) and rank("snapshot", live)[0] == self._context.settings.name

    def _on_state_request(self, peer: str, request: StateRequest) -> None:
        state = self._context.state
        if request.stream == CONTROL_STREAM and state.offset > request.have_offset:
            self._context.send(peer, StateReply(CONTROL_STREAM, state.offset, state.to_json()))

    def _on_state_reply(self, peer: str, reply: StateReply) -> None:
        if reply.stream != CONTROL_STREAM or reply.offset <= self._context.state.offset:
            return
        try:
            state = FleetState.from_json(reply.data)
        except ConfigurationError as error:
            _log.warning(
                "Peer sent a malformed fleet state; it is ignored.", peer=peer, error=str(error)
            )
            return
        if state.offset == reply.offset:
            self._replace_state(state)

    async def _find_plan(self, plan_id: str) -> Plan:
        state = self._context.state
        if plan_id not in state.plans and plan_id not in state.decided:
            # Another router may have appended the plan a moment ago.
            try:
                await self._catch_up()
            except (LogError, TimeoutError) as error:
                raise RefusalError(
                    Code.LOG_UNAVAILABLE,
                    f"plan {plan_id!r} is not known here, and the log was not read to its end",
                    run_state=RunState.NOT_RUN,
                    retry_after_ms=_LOG_RETRY_AFTER_MS,
                ) from error
        plan = self._context.state.plans.get(plan_id)
        if plan is None:
            raise self._unknown_plan(plan_id)
        return plan

    async def _catch_up(self) -> None:
        """Wait until all records that the log holds now are applied."""
        next_offset = self._context.state.offset + 1
        page = await self._context.in_thread(self._context.log.read, CONTROL_STREAM, next_offset, 0)
        await self._read_back(page.end_offset - 1)

    async def _read_back(self, offset: int) -> None:
        async with asyncio.timeout(_READ_BACK_S), self._applied:
            await self._applied.wait_for(lambda: self._context.state.offset >= offset)

    async def _find_confirmation(self, plan_id: str, cause: LogUnavailableError) -> int:
        try:
            async with asyncio.timeout(_READ_BACK_S), self._applied:
                await self._applied.wait_for(lambda: plan_id in self._context.state.decided)
        except TimeoutError:
            raise _log_refusal(cause) from cause
        return self._context.state.decided[plan_id].offset

    def _outcome(self, plan_id: str, offset: int) -> AuditEntry:
        for entry in reversed(self._context.state.audit):
            if entry.plan_id == plan_id and entry.offset == offset:
                if entry.accepted:
                    return entry
                raise RefusalError(_refusal_code(entry.reason), entry.reason)
        raise self._unknown_plan(plan_id)

    def _unknown_plan(self, plan_id: str) -> RefusalError:
        decided = self._context.state.decided.get(plan_id)
        if decided is not None:
            outcome = "accepted" if decided.accepted else "refused"
            return RefusalError(
                Code.PLAN_ALREADY_DECIDED, f"plan {plan_id} was {outcome}: {decided.reason}"
            )
        return RefusalError(Code.PLAN_UNKNOWN, f"no plan named {plan_id!r}")


def _refusal_code(reason: str) -> Code:
    if "has changed since" in reason:
        return Code.PLAN_CONFLICT
    if "decided before" in reason:
        return Code.PLAN_ALREADY_DECIDED
    return Code.INTENT_INVALID


def _log_refusal(error: Exception) -> RefusalError:
    not_appended = isinstance(error, LogError) and not isinstance(error, LogUnavailableError)
    run_state = RunState.NOT_RUN if not_appended else RunState.MAY_HAVE_RUN
    detail = str(error) if isinstance(error, CicadaledgeError) else ""
    return RefusalError(
        Code.LOG_UNAVAILABLE, detail, run_state=run_state, retry_after_ms=_LOG_RETRY_AFTER_MS
    )
