"""Keeps what a router believes current from the topics of the store."""

from __future__ import annotations

import asyncio
from typing import Protocol

from attrs import frozen

from cicadaledge.edge._channel import clock_ms
from cicadaledge.edge._metrics import EdgeMetrics
from cicadaledge.edge._news import StoreRelay
from cicadaledge.edge._source import (
    Change,
    ChangePage,
    ChangeSource,
    HistoryLostError,
    StoreError,
    UnreadableEntry,
)
from cicadaledge.edge._store_reach import StoreAvailability
from cicadaledge.logs import PartLog
from cicadaledge.wire import StoreNews

_LONGEST_ANSWER_MS = 1_000.0  # of a slow store, beyond the time that a read waits there
_log = PartLog("store")


@frozen
class PollTiming:
    """When a topic is read.

    Args:
        wait_ms: How long the store keeps a read waiting for the next change.
        pause_ms: Between reads.
        silence_ms: Silence of the zone's relay after which this router reads for itself.
        first_pauses_ms: Pauses after the first reads, in place of `pause_ms`.
    """

    wait_ms: int
    pause_ms: float
    silence_ms: float
    first_pauses_ms: tuple[float, ...] = ()


class TopicSink(Protocol):
    """Takes what a topic tells."""

    def apply(self, change: Change, now_ms: float) -> None:
        """Take over one change."""

    def on_complete_read(self, changes: list[Change], now_ms: float) -> None:
        """Drop what a complete reading, already applied, did not show."""

    def record_proof(self, proof_ms: float, now_ms: float) -> None:
        """Note that nothing newer was in the store at *proof_ms*."""

    def on_store_recovered(self, away_ms: float, now_ms: float) -> None:
        """Note that the store was away until now.

        Args:
            away_ms: Since the last page, read or relayed.
        """


class TopicFollower:
    """Follows one topic for ever: its newest records first, then what is added.

    Args:
        source: The topic.
        sink: Takes the changes.
        times: When the topic is read.
        news: What the zone's relay reads.
        reach: What the followers of all topics know of the store.
        metrics: Counts entries that cannot be used.
    """

    def __init__(
        self,
        source: ChangeSource,
        sink: TopicSink,
        times: PollTiming,
        news: StoreRelay,
        reach: StoreAvailability,
        metrics: EdgeMetrics | None = None,
    ) -> None:
        self._source = source
        self._sink = sink
        self._times = times
        self._news = news
        self._reach = reach
        self._metrics = metrics or EdgeMetrics()
        self._offset: int | None = None
        self._failed = False
        self._reads = 0
        self._proof_ms = float("-inf")
        self._page_ms = clock_ms()
        news.register(self)

    @property
    def topic(self) -> str:
        """Name of the topic."""
        return self._source.name

    @property
    def silence_ms(self) -> float:
        """Silence of the relay after which this router reads for itself."""
        return self._times.silence_ms

    async def follow(self) -> None:
        """Read, or let the relay read, for ever."""
        while True:
            if self._offset is not None and self._news.is_fresh(self.topic):
                await self._news.wait_until_stale(self.topic)
                continue
            if not self._reach.may_call(self.topic):
                await self._reach.wait_until_reachable()
                continue
            if await self._read_once():
                await asyncio.sleep(self._pause_ms() / 1000)

    def apply_relayed(self, news: StoreNews, proof_ms: float) -> bool:
        """Take over a page of the relay; return False if one before it is missing."""
        if self._offset is None:
            return True
        if news.first_offset <= self._offset < news.next_offset:
            if news.first_offset != self._offset:
                return False
            page = self._source.decode(news.records, news.first_offset, proof_ms)
            if page.next_offset != news.next_offset:
                return False
            self._note_success(after_outage=news.after_outage)
            self._take(page)
            return True
        if news.next_offset < self._offset:
            return True
        if news.first_offset > self._offset:
            return False
        self._note_success(after_outage=news.after_outage)
        self._note_proof(proof_ms)
        return True

    async def _read_once(self) -> bool:
        """Read a page and pass it on; return False after a failure and a pause."""
        offset = self._offset
        page = await self._read(offset)
        if page is None:
            return False
        self._reads += 1
        after_outage = self._reach.outage_seen_ms > self._page_ms
        self._reach.record_success()
        self._note_success(after_outage=after_outage)
        if offset is None:
            self._take(page)
            self._sink.on_complete_read(page.changes, clock_ms())
            return True
        self._news.forward(self.topic, page, after_outage=after_outage)
        if offset == self._offset:
            self._take(page)
        elif page.next_offset == self._offset:
            self._note_proof(page.proof_ms)
        return True

    async def _read(self, offset: int | None) -> ChangePage | None:
        """Return the next page, or None after a failure and a pause."""
        try:
            if offset is None:
                return await self._source.newest()
            # Where what is known may be old, its age matters more than the next change.
            wait_ms = 0 if self._failed or self._is_overdue() else self._times.wait_ms
            return await self._source.since(offset, wait_ms)
        except HistoryLostError as error:
            _log.warning("History is gone; reading anew.", topic=self.topic, error=str(error))
            self._reach.record_success()
            if offset == self._offset:
                self._offset = None
        except (StoreError, ValueError) as error:
            await self._note_failure(error)
        return None

    def _take(self, page: ChangePage) -> None:
        now_ms = clock_ms()
        for change in page.changes:
            self._apply(change, now_ms)
        self._note_foreign([one for one in page.changes if isinstance(one, UnreadableEntry)])
        self._offset = page.next_offset
        self._note_proof(page.proof_ms)

    def _apply(self, change: Change, now_ms: float) -> None:
        try:
            self._sink.apply(change, now_ms)
        except Exception as error:  # noqa: BLE001 - one change must not end the reading of all
            self._metrics.count_skipped_entries(self.topic, "failed")
            _log.warning("A change is passed over.", topic=self.topic, error=repr(error))

    def _note_foreign(self, entries: list[UnreadableEntry]) -> None:
        """Count the entries of a page that cannot be read, and log the first."""
        if not entries:
            return
        self._metrics.count_skipped_entries(self.topic, "foreign", len(entries))
        _log.warning(
            "Entries cannot be read.",
            topic=self.topic,
            count=len(entries),
            first=entries[0].subject,
            reason=entries[0].reason,
        )

    def _note_proof(self, proof_ms: float) -> None:
        self._proof_ms = max(self._proof_ms, proof_ms)
        self._sink.record_proof(proof_ms, clock_ms())

    def _is_overdue(self) -> bool:
        """Return whether this process was held, or the store, for longer than a read takes."""
        return clock_ms() - self._proof_ms > self._times.wait_ms + _LONGEST_ANSWER_MS

    def _note_success(self, *, after_outage: bool) -> None:
        if self._failed:
            _log.info("Store is back.", topic=self.topic)
        now_ms = clock_ms()
        if after_outage:
            self._sink.on_store_recovered(now_ms - self._page_ms, now_ms)
        self._failed = False
        self._page_ms = now_ms

    async def _note_failure(self, error: Exception) -> None:
        self._failed = True
        if self._reach.record_failure(self.topic):
            _log.warning("Store is away.", topic=self.topic, error=str(error))
        await asyncio.sleep(self._reach.retry_delay_s())

    def _pause_ms(self) -> float:
        first = self._times.first_pauses_ms
        return first[self._reads - 1] if self._reads <= len(first) else self._times.pause_ms
