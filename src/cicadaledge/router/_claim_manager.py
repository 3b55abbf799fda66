"""Records claims for non-idempotent requests with a key in the log before they are sent."""

from __future__ import annotations

import asyncio
import uuid
from concurrent.futures import Future

from attrs import define, field

from cicadaledge.claims import (
    CLAIMS_STREAM,
    Answer,
    CheckpointBegin,
    Claim,
    ClaimRecord,
    ClaimTable,
    Release,
    Settle,
    encode_batch,
)
from cicadaledge.codes import Code
from cicadaledge.errors import LogError, RefusalError
from cicadaledge.logs import PartLog
from cicadaledge.membership import rank
from cicadaledge.router._context import RouterContext, wall_ms

# A failed read of the claims stream, or a failed append of an answer or a release, is retried after
# this delay.
_RETRY_S = 0.25
_READ_BACK_S = 3.0
_CLAIM_TIMEOUT_S = 10.0
_CHECKPOINT_BATCH = 50
_CHECKPOINT_CHECK_S = 5.0
_log = PartLog("claims")


@define(eq=False)
class _Append:
    records: list[ClaimRecord]
    offset: Future[int] = field(factory=Future)


class ClaimManager:
    """Claims of this router, appended to the log in batches."""

    def __init__(self, context: RouterContext) -> None:
        self._context = context
        self.table = ClaimTable(context.settings.timing.claim_window_ms)
        self._queue: asyncio.Queue[_Append] = asyncio.Queue()
        self._applied = asyncio.Condition()
        self._unsettled: dict[str, Settle | Release] = {}
        self._abandoned: dict[str, str] = {}
        self._synced = False
        self._checkpoint_ms = context.now_ms()

    @property
    def unsettled(self) -> int:
        """Number of answers and releases that are not yet recorded in the log."""
        return len(self._unsettled)

    # The methods below run on the threads that serve callers' requests. They leave all access to
    # the claims to functions that they schedule on the control loop.

    def claim(self, key: str, request_digest: str) -> Claim:
        """Claim a key, or return the claim of an earlier request that was answered.

        Returns:
            A new claim without an answer, or the earlier claim with its answer.

        Raises:
            RefusalError: Codes 1008, 4001, 4002, 4003 and 4004.
        """
        future = asyncio.run_coroutine_threadsafe(
            self._claim(key, request_digest), self._context.loop
        )
        try:
            return future.result(_CLAIM_TIMEOUT_S)
        except TimeoutError as error:
            future.cancel()
            raise RefusalError(Code.CLAIMS_UNAVAILABLE, retry_after_ms=1000) from error

    def settle(self, claim: Claim, answer: Answer) -> None:
        """Record the answer of a claimed request; retried while the log is unavailable."""
        record = Settle(claim.key, claim.claimant, answer)
        self._context.loop.call_soon_threadsafe(self._start_recording, record)

    def release(self, claim: Claim) -> None:
        """Release a claim whose request was not sent."""
        record = Release(claim.key, claim.claimant)
        self._context.loop.call_soon_threadsafe(self._start_recording, record)

    # The methods below run on the control loop, which alone changes the claims.

    async def run_read_loop(self) -> None:
        """Read and apply the claims stream, forever."""
        timing = self._context.settings.timing
        while True:
            try:
                page = await self._context.in_thread(
                    self._context.log.read,
                    CLAIMS_STREAM,
                    self.table.offset + 1,
                    timing.log_poll_ms,
                )
            except LogError:
                await asyncio.sleep(_RETRY_S)
                continue
            self.table.set_first_offset(page.first_offset)
            for offset, data in page.records:
                self.table.apply(offset, data)
            self._synced = self._synced or self.table.offset + 1 >= page.end_offset
            self._release_abandoned()
            async with self._applied:
                self._applied.notify_all()

    async def run_append_loop(self) -> None:
        """Append queued records in batches, forever."""
        pause_s = self._context.settings.timing.claim_batch_ms / 1000
        while True:
            batch = [await self._queue.get()]
            await asyncio.sleep(pause_s)
            while not self._queue.empty():
                batch.append(self._queue.get_nowait())
            records = [record for item in batch for record in item.records]
            try:
                data = encode_batch(records)
                offset = await self._context.in_thread(
                    self._context.log.append, CLAIMS_STREAM, data
                )
            except LogError as error:
                for item in batch:
                    item.offset.set_exception(error)
                continue
            for item in batch:
                item.offset.set_result(offset)

    async def run_checkpoint_loop(self) -> None:
        """Append the claims again before the log's retention period ends, forever."""
        refresh_ms = self._context.settings.timing.claim_refresh_ms
        while True:
            await asyncio.sleep(min(_CHECKPOINT_CHECK_S, refresh_ms / 1000))
            self.table.expire(wall_ms())
            due = self._context.now_ms() - self._checkpoint_ms >= refresh_ms
            if due and self.table.complete and self._is_writer():
                try:
                    await self._write_checkpoint()
                    self._checkpoint_ms = self._context.now_ms()
                except (LogError, TimeoutError) as error:
                    _log.warning(
                        "Checkpoint of the claims was not appended; the next check tries again.",
                        error=str(error),
                    )

    async def _claim(self, key: str, request_digest: str) -> Claim:
        if not (self._synced and self.table.complete):
            raise RefusalError(Code.CLAIMS_UNAVAILABLE, retry_after_ms=1000)
        known = self.table.find(key, wall_ms())
        if known is not None:
            return self._check_earlier_claim(known, request_digest)
        claimant = f"{self._context.settings.name}/{uuid.uuid4().hex}"
        claim = Claim(key, request_digest, claimant, self._context.settings.name, wall_ms())
        try:
            offset = await self._append([claim])
            await self._read_back(offset)
        except (LogError, TimeoutError) as error:
            self._abandoned[claimant] = key
            raise RefusalError(Code.CLAIMS_UNAVAILABLE, retry_after_ms=1000) from error
        except asyncio.CancelledError:
            self._abandoned[claimant] = key
            raise
        winner = self.table.claims.get(key)
        if winner is not None and winner.claimant == claimant:
            return winner
        if winner is None:
            raise RefusalError(Code.CLAIMS_UNAVAILABLE, retry_after_ms=1000)
        return self._check_earlier_claim(winner, request_digest)

    def _check_earlier_claim(self, known: Claim, request_digest: str) -> Claim:
        if known.request_digest != request_digest:
            raise RefusalError(Code.KEY_REUSED)
        if known.answer is None:
            if self._context.is_live(known.router):
                raise RefusalError(Code.CLAIM_IN_PROGRESS, retry_after_ms=1000)
            raise RefusalError(Code.OUTCOME_UNKNOWN)
        if known.answer.too_large:
            raise RefusalError(Code.OUTCOME_TOO_LARGE)
        return known

    async def _append(self, records: list[ClaimRecord]) -> int:
        item = _Append(records)
        self._queue.put_nowait(item)
        return await asyncio.wrap_future(item.offset)

    async def _read_back(self, offset: int) -> None:
        async with asyncio.timeout(_READ_BACK_S), self._applied:
            await self._applied.wait_for(lambda: self.table.offset >= offset)

    def _start_recording(self, record: Settle | Release) -> None:
        self._unsettled[record.claimant] = record
        asyncio.ensure_future(self._record(record))

    async def _record(self, record: Settle | Release) -> None:
        while True:
            try:
                await self._append([record])
                break
            except LogError:
                await asyncio.sleep(_RETRY_S)
        self._unsettled.pop(record.claimant, None)

    def _release_abandoned(self) -> None:
        """Release claims of this router whose append seemed to fail but took effect."""
        for claimant, key in list(self._abandoned.items()):
            claim = self.table.claims.get(key)
            if claim is not None and claim.claimant == claimant:
                del self._abandoned[claimant]
                self._start_recording(Release(key, claimant))

    def _is_writer(self) -> bool:
        live = [name for name in self._context.state.members.by_name if self._context.is_live(name)]
        return bool(live) and rank("claims", live)[0] == self._context.settings.name

    async def _write_checkpoint(self) -> None:
        checkpoint_id = uuid.uuid4().hex
        begun = await self._append([CheckpointBegin(checkpoint_id)])
        await self._read_back(begun)
        records = self.table.checkpoint(checkpoint_id, wall_ms())
        for start in range(0, len(records), _CHECKPOINT_BATCH):
            await self._append(records[start : start + _CHECKPOINT_BATCH])
        _log.info("Checkpoint of the claims was appended.", claims=len(records) - 1)
