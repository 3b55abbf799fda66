"""Shares evidence of requests that crash servers with all routers, through the store."""

from __future__ import annotations

import asyncio
import random

from cicadaledge.edge._poison_guard import PoisonRequestGuard
from cicadaledge.logs import PartLog
from cicadaledge.store import Change, EvidenceSeen, StoreError, SuspectRegistry, TrialClaimed

# A failed publication is retried after this delay. It must not be shorter, as all routers publish
# at the same time after an outage of the store.
_RETRY_S = 0.5
# This much time passes between two publications. Crashes come in groups, which one record can
# report together. The delay does not matter to this router, which knows its own evidence.
_PUBLISH_INTERVAL_S = 0.2
_log = PartLog("crashes")


class SuspectNews:
    """Publishes this router's evidence and merges that of others; the sink of the suspects topic.

    Args:
        router: Name of this router.
        rewrite_spread_ms: Records are written to a restored store within this time, at random.
    """

    def __init__(
        self,
        router: str,
        guard: PoisonRequestGuard,
        registry: SuspectRegistry,
        rewrite_spread_ms: float,
    ) -> None:
        self._rewrite_spread_ms = rewrite_spread_ms
        self._router = router
        self._guard = guard
        self._registry = registry
        self._has_read = asyncio.Event()

    async def keep_published(self) -> None:
        """Publish new evidence forever; first wait until that from before a restart was read."""
        await self._has_read.wait()
        while True:
            await self._guard.has_unpublished.wait()
            self._guard.has_unpublished.clear()
            try:
                await self._registry.publish(self._router, self._guard.evidence())
            except StoreError as error:
                _log.info(
                    "Crash evidence could not be published and will be retried.", error=str(error)
                )
                self._guard.has_unpublished.set()
                await asyncio.sleep(_RETRY_S)
                continue
            await asyncio.sleep(_PUBLISH_INTERVAL_S)

    async def keep_claims_written(self) -> None:
        """Write claims to trials forever; a new one that fails is given up, as the trial can wait.

        A claim that is written again after a restore of the store is retried.
        """
        await self._has_read.wait()
        while True:
            claim = await self._guard.new_claims.get()
            try:
                await self._registry.claim_trial(claim)
            except StoreError as error:
                _log.info("Trial of prompt parts could not be claimed.", error=str(error))
                if claim in self._guard.own_claims():
                    self._guard.new_claims.put_nowait(claim)
                    await asyncio.sleep(_RETRY_S)

    def apply(self, change: Change, now_ms: float) -> None:
        """Merge a router's evidence, or record a claim."""
        if isinstance(change, TrialClaimed):
            self._guard.record_claim(change.claim)
        if not isinstance(change, EvidenceSeen):
            return
        is_own = change.router == self._router and not self._has_read.is_set()
        self._guard.merge(change.evidence, is_own=is_own)

    def on_complete_read(self, changes: list[Change], now_ms: float) -> None:
        """Drop own trials: a complete read does not tell which claim came first."""
        self._guard.drop_trials()

    def record_proof(self, proof_ms: float, now_ms: float) -> None:
        """Allow publishing, as this router's evidence from before its start has been read."""
        self._has_read.set()

    def on_store_recovered(self, outage_ms: float, now_ms: float) -> None:
        """Do nothing: evidence does not expire during an outage."""

    def on_epoch_changed(self, now_ms: float) -> None:
        """Publish evidence and claims again; those of others are kept, as this router read them."""
        delay_s = random.uniform(0.0, self._rewrite_spread_ms) / 1000
        asyncio.get_running_loop().call_later(delay_s, self._guard.publish_again)
