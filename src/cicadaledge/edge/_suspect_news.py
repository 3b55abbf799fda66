"""Shares evidence on requests that crash servers with all routers, through the store."""

from __future__ import annotations

import asyncio

from cicadaledge.edge._source import Change, EvidenceSeen, StoreError, SuspectRegistry
from cicadaledge.edge._suspicion import SuspectPolicy
from cicadaledge.logs import PartLog

_RETRY_S = 0.5  # an outage of the store ends for all routers at once
_REST_S = 0.2  # between records: crashes come in groups, and routers know their own evidence
_log = PartLog("crashes")


class SuspectNews:
    """Publishes this router's evidence and takes over that of others; a sink of their topic.

    Args:
        router: Name of this router.
    """

    def __init__(self, router: str, suspicion: SuspectPolicy, registry: SuspectRegistry) -> None:
        self._router = router
        self._suspicion = suspicion
        self._registry = registry
        self._has_read = asyncio.Event()

    async def keep_published(self) -> None:
        """Publish what this router has seen, for ever, after it has read what it had seen before."""
        await self._has_read.wait()
        while True:
            await self._suspicion.has_unpublished.wait()
            self._suspicion.has_unpublished.clear()
            try:
                await self._registry.publish(self._router, self._suspicion.evidence())
            except StoreError as error:
                _log.info("Evidence could not be published.", error=str(error))
                self._suspicion.has_unpublished.set()
                await asyncio.sleep(_RETRY_S)
                continue
            await asyncio.sleep(_REST_S)

    def apply(self, change: Change, now_ms: float) -> None:
        """Take over a router's evidence."""
        if not isinstance(change, EvidenceSeen):
            return
        is_own = change.router == self._router and not self._has_read.is_set()
        self._suspicion.merge(change.evidence, is_own=is_own)

    def on_complete_read(self, changes: list[Change], now_ms: float) -> None:
        """Do nothing: evidence grows old, it is not removed."""

    def record_proof(self, proof_ms: float, now_ms: float) -> None:
        """Begin to publish: what this router had seen before its start is known."""
        self._has_read.set()

    def on_store_recovered(self, away_ms: float, now_ms: float) -> None:
        """Do nothing: evidence does not lapse."""
