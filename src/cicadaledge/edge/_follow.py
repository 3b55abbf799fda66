"""Keeps the beliefs current from the topics of the store."""

from __future__ import annotations

import asyncio

from cicadaledge.edge._beliefs import Beliefs
from cicadaledge.edge._channel import clock_ms
from cicadaledge.edge._settings import EdgeSettings
from cicadaledge.edge._source import (
    ChangePage,
    ChangeSource,
    ForeignEntry,
    HistoryLostError,
    ServerChanged,
    StoreError,
    ZoneChanged,
)
from cicadaledge.logs import PartLog

_RETRY_S = 0.15  # a call that failed at once may be made again within the bounds of the rates
_LONG_RETRY_S = 0.5  # after several failures the store is away
_FAILURES_TO_SLOW = 4
_log = PartLog("store")


class TopicFollower:
    """Reads one topic for ever: its newest records first, then what is added.

    Args:
        source: The topic.
        beliefs: Takes the changes.
    """

    def __init__(self, source: ChangeSource, beliefs: Beliefs, settings: EdgeSettings) -> None:
        self._source = source
        self._beliefs = beliefs
        self._settings = settings
        self._offset: int | None = None
        self._failures = 0

    async def follow_control(self) -> None:
        """Follow the configuration: each read waits at the store for the next change."""
        while True:
            fresh = self._offset is None
            page = await self._read(self._settings.timing.control_wait_ms)
            if page is None:
                continue
            self._apply(page)
            if fresh:
                self._restore_missing(page)
            self._beliefs.note_proof(page.proof_ms)

    async def follow_servers(self) -> None:
        """Follow the heartbeats, read once in a period."""
        while True:
            fresh = self._offset is None
            page = await self._read(0)
            if page is None:
                continue
            self._apply(page)
            if fresh:
                self._drop_missing(page)
            self._beliefs.servers_known = True
            self._beliefs.settle_removals(clock_ms())
            self._beliefs.directory.forget_old(clock_ms())
            await asyncio.sleep(self._settings.timing.server_poll_ms / 1000)

    async def _read(self, wait_ms: int) -> ChangePage | None:
        """Return the next page, or None after a failure and a pause."""
        try:
            if self._offset is None:
                page = await self._source.newest()
            else:
                page = await self._source.since(self._offset, wait_ms)
        except HistoryLostError as error:
            _log.warning(
                "History is gone; reading anew.", topic=self._source.name, error=str(error)
            )
            self._offset = None
            return None
        except (StoreError, ValueError) as error:
            await self._note_failure(error)
            return None
        if self._failures:
            _log.info("Store is back.", topic=self._source.name, failures=self._failures)
            if self._failures >= _FAILURES_TO_SLOW:
                self._beliefs.note_store_back(clock_ms())
            self._failures = 0
        self._offset = page.next_offset
        return page

    async def _note_failure(self, error: Exception) -> None:
        self._failures += 1
        if self._failures in (1, _FAILURES_TO_SLOW):
            _log.warning("Store is away.", topic=self._source.name, error=str(error))
        slow = self._failures >= _FAILURES_TO_SLOW
        await asyncio.sleep(_LONG_RETRY_S if slow else _RETRY_S)

    def _apply(self, page: ChangePage) -> None:
        now_ms = clock_ms()
        for change in page.changes:
            self._beliefs.apply(change, now_ms)

    def _restore_missing(self, page: ChangePage) -> None:
        changes = [one for one in page.changes if isinstance(one, ZoneChanged)]
        self._beliefs.keep_evacuated({one.zone for one in changes if one.evacuated})

    def _drop_missing(self, page: ChangePage) -> None:
        seen = {one.entry.server for one in page.changes if isinstance(one, ServerChanged)}
        seen |= {one.server for one in page.changes if isinstance(one, ForeignEntry)}
        self._beliefs.keep_only(seen, clock_ms())
