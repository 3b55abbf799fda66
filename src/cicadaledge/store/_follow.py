"""Followers that keep a router up to date with the topics of the store."""

from __future__ import annotations

import asyncio
import contextlib
from typing import Protocol

from attrs import evolve, frozen

from cicadaledge.clock import clock_ms
from cicadaledge.logs import PartLog
from cicadaledge.store._epoch import NO_EPOCH
from cicadaledge.store._news import StoreRelay
from cicadaledge.store._reach import StoreAvailability
from cicadaledge.store._source import (
    Change,
    ChangePage,
    ChangeSource,
    HistoryLostError,
    StoreError,
    UnreadableEntry,
)
from cicadaledge.wire import StoreNews

# A slow store responds within this time after the long-poll wait. If the last proof is older than
# both, the next read does not wait at the store.
_MAX_RESPONSE_MS = 1_000.0
# For this long after a restore of the store, long polls wait no longer than the second value. Proofs
# do not count until the operator can have written again (`operator_rewrite_ms`), and the next proof
# would otherwise come a whole wait later; a relayed one is up to a second older than its page.
_SHORT_WAITS_MS = 2_000.0
_SHORT_WAIT_MS = 500
_log = PartLog("store")


@frozen
class PollTiming:
    """How often a topic is read.

    Args:
        wait_ms: Long-poll wait of a read at the store for the next change.
        pause_ms: Time between reads.
        silence_ms: Age of the newest relayed page after which this router reads the store itself.
        first_pauses_ms: Pauses after the first reads, in place of `pause_ms`.
    """

    wait_ms: int
    pause_ms: float
    silence_ms: float
    first_pauses_ms: tuple[float, ...] = ()


class TopicSink(Protocol):
    """Receives the changes of a topic."""

    def apply(self, change: Change, now_ms: float) -> None:
        """Apply one change."""

    def on_complete_read(self, changes: list[Change], now_ms: float) -> None:
        """Remove what a complete read, whose changes are already applied, did not return."""

    def record_proof(self, proof_ms: float, now_ms: float) -> None:
        """Record that the store had nothing newer at *proof_ms*."""

    def on_store_recovered(self, outage_ms: float, now_ms: float) -> None:
        """Handle the end of an outage of the store.

        Args:
            outage_ms: Time since the last page, read or relayed.
        """

    def on_epoch_changed(self, now_ms: float) -> None:
        """Prepare for a complete read from a store that was restored from an older copy."""


class SkippedEntryCounter(Protocol):
    """Counts entries of the store that are not used."""

    def count_skipped_entries(self, topic: str, why: str, count: int = 1) -> None:
        """Count entries of a topic that are not used."""


class TopicFollower:
    """Follows one topic forever: reads all current entries first, then each new record.

    Args:
        source: The topic.
        sink: Receives the changes.
        timing: How often the topic is read.
        relay: Relayed pages of the zone.
        availability: Availability of the store, shared by the followers of all topics.
        metrics: Counts entries that cannot be used; they are only logged without it.
    """

    def __init__(
        self,
        source: ChangeSource,
        sink: TopicSink,
        timing: PollTiming,
        relay: StoreRelay,
        availability: StoreAvailability,
        metrics: SkippedEntryCounter | None = None,
    ) -> None:
        self._source = source
        self._sink = sink
        self._timing = timing
        self._relay = relay
        self._availability = availability
        self._metrics = metrics
        self._offset: int | None = None
        self._failed = False
        self._reads = 0
        self._proof_ms = float("-inf")
        self._last_page_ms = clock_ms()
        self._epoch = availability.epoch
        self._epoch.subscribe(self._restart)
        self._restarted = asyncio.Event()
        self._restarted_ms = float("-inf")
        relay.register(self)

    @property
    def topic(self) -> str:
        """Name of the topic."""
        return self._source.name

    @property
    def silence_ms(self) -> float:
        """Age of the newest relayed page after which this router reads the store itself."""
        return self._timing.silence_ms

    async def follow(self) -> None:
        """Read the store, or wait while the relay does, forever."""
        while True:
            if self._offset is not None and self._relay.is_fresh(self.topic):
                await self._relay.wait_until_stale(self.topic)
                continue
            if not self._availability.may_call(self.topic):
                await self._availability.wait_until_reachable()
                continue
            self._restarted.clear()
            if await self._read_once():
                await self._pause()

    def apply_relayed(self, message: StoreNews, proof_ms: float) -> bool:
        """Apply a relayed page; return False if the store must be read instead."""
        if self._offset is None:
            return True
        if self._epoch.is_newer(message.epoch):
            self._offset = None
            if self._epoch.is_first_announcement(message.epoch):
                self._availability.retry_now(self.topic)
                self._restarted.set()
            return False
        if message.first_offset <= self._offset < message.next_offset:
            if message.first_offset != self._offset:
                return False
            page = self._source.decode(message.records, message.first_offset, proof_ms)
            if page.next_offset != message.next_offset:
                return False
            self._record_success(after_outage=message.after_outage)
            self._apply_page(page)
            return True
        if message.next_offset < self._offset:
            # A relay of a former build does not tell of a restore, but its offsets go back.
            return message.epoch == self._epoch.current
        if message.first_offset > self._offset:
            return False
        self._record_success(after_outage=message.after_outage)
        self._record_proof(proof_ms)
        return True

    async def _read_once(self) -> bool:
        """Read and forward a page; return False after a failure and a pause."""
        offset = self._offset
        sent_ms = clock_ms()
        page = await self._read(offset)
        if page is None:
            return False
        self._epoch.observe(page.epoch, sent_ms)
        if not self._epoch.is_current(page.epoch):
            return False
        self._reads += 1
        after_outage = self._availability.outage_seen_ms > self._last_page_ms
        self._availability.record_success()
        self._record_success(after_outage=after_outage)
        if offset is None:
            self._apply_page(page)
            self._sink.on_complete_read(page.changes, clock_ms())
            if self._reads > 1 and page.epoch != NO_EPOCH:
                # Shows the epoch to the routers of the zone without the delay of a long poll.
                end = evolve(page, changes=[], first_offset=page.next_offset)
                self._relay.forward(self.topic, end, after_outage=after_outage)
            return True
        self._relay.forward(self.topic, page, after_outage=after_outage)
        if offset == self._offset:
            self._apply_page(page)
        elif page.next_offset == self._offset:
            self._record_proof(page.proof_ms)
        return self._offset is not None

    def _restart(self, now_ms: float) -> None:
        """Read the whole topic again, as offsets of the former epoch are void."""
        if not self._reads:
            return
        _log.info("Topic is read again from its start.", topic=self.topic, offset=self._offset)
        self._offset = None
        self._restarted_ms = now_ms
        self._sink.on_epoch_changed(now_ms)
        self._relay.wake(self.topic)
        self._restarted.set()

    async def _read(self, offset: int | None) -> ChangePage | None:
        """Return the next page, or None after a failure and a pause."""
        try:
            if offset is None:
                return await self._source.newest()
            # A long poll would delay the proof that the router's state is current.
            wait_ms = 0 if self._failed or self._is_overdue() else self._timing.wait_ms
            if clock_ms() - self._restarted_ms < _SHORT_WAITS_MS:
                wait_ms = min(wait_ms, _SHORT_WAIT_MS)
            return await self._source.since(offset, wait_ms)
        except HistoryLostError as error:
            _log.warning(
                "Store has truncated the topic's history; reading the whole topic again.",
                topic=self.topic,
                error=str(error),
            )
            self._availability.record_success()
            if offset == self._offset:
                self._offset = None
        except (StoreError, ValueError) as error:
            await self._handle_failure(error)
        return None

    def _apply_page(self, page: ChangePage) -> None:
        now_ms = clock_ms()
        for change in page.changes:
            self._apply(change, now_ms)
        self._report_unreadable(
            [entry for entry in page.changes if isinstance(entry, UnreadableEntry)]
        )
        self._offset = page.next_offset
        self._record_proof(page.proof_ms)

    def _apply(self, change: Change, now_ms: float) -> None:
        try:
            self._sink.apply(change, now_ms)
        except Exception as error:  # noqa: BLE001 - one change must not end the reading of all
            self._count_skipped("failed", 1)
            _log.warning(
                "Change could not be applied and is skipped.", topic=self.topic, error=repr(error)
            )

    def _count_skipped(self, why: str, count: int) -> None:
        if self._metrics is not None:
            self._metrics.count_skipped_entries(self.topic, why, count)

    def _report_unreadable(self, entries: list[UnreadableEntry]) -> None:
        """Count the unreadable entries of a page, and log the first."""
        if not entries:
            return
        self._count_skipped("foreign", len(entries))
        _log.warning(
            "Entries of the store cannot be decoded and are not used.",
            topic=self.topic,
            count=len(entries),
            first=entries[0].subject,
            reason=entries[0].reason,
        )

    def _record_proof(self, proof_ms: float) -> None:
        self._proof_ms = max(self._proof_ms, proof_ms)
        self._sink.record_proof(proof_ms, clock_ms())

    def _is_overdue(self) -> bool:
        """Return whether the last proof is older than a long poll can take.

        This happens after a pause of the process.
        """
        return clock_ms() - self._proof_ms > self._timing.wait_ms + _MAX_RESPONSE_MS

    def _record_success(self, *, after_outage: bool) -> None:
        if self._failed:
            _log.info("Store is reachable again.", topic=self.topic)
        now_ms = clock_ms()
        if after_outage:
            self._sink.on_store_recovered(now_ms - self._last_page_ms, now_ms)
        self._failed = False
        self._last_page_ms = now_ms

    async def _handle_failure(self, error: Exception) -> None:
        self._failed = True
        if self._availability.record_failure(self.topic):
            _log.warning(
                "Read of the store has failed and will be retried.",
                topic=self.topic,
                error=str(error),
            )
        await self._sleep(self._availability.retry_delay_s())

    async def _pause(self) -> None:
        """Wait until the next read is due."""
        if self._offset is not None:
            await self._sleep(self._pause_ms() / 1000)

    async def _sleep(self, seconds: float) -> None:
        """Wait for some time, or until a restore that was noticed since the last read began."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                await self._restarted.wait()

    def _pause_ms(self) -> float:
        first = self._timing.first_pauses_ms
        return first[self._reads - 1] if self._reads <= len(first) else self._timing.pause_ms
