"""Availability of the store as seen by one router, and its retry schedule.

Bounds the retries in an outage: hundreds of routers that each retry every topic would overload a
store that is recovering.
"""

from __future__ import annotations

import asyncio
import random

from cicadaledge.clock import clock_ms
from cicadaledge.store._epoch import StoreEpoch

# The first failures are retried after this delay, which keeps calls that fail at once within the
# store's rate limits.
_RETRY_S = 0.15
# This many consecutive failures are an outage, in which the store is called less often.
_OUTAGE_FAILURES = 4
# In an outage, a router that reads for its zone retries at this interval, as it ends the outage for
# the whole zone.
_READER_RETRY_S = 0.5
# In an outage, other routers double their retry delay up to this. They read the store only if
# nobody relays pages to them.
_MAX_RETRY_S = 2.0
# Retry delays of these routers are randomly shorter or longer by up to this fraction, so that
# routers that failed at the same time do not retry at the same time.
_JITTER = 0.25
# If the probing topic has made no call for this long, another topic may probe the store.
_PROBE_TIMEOUT_MS = 3_000.0


class StoreAvailability:
    """Availability of the store, shared by the followers of all topics of one router.

    During an outage a single topic probes the store for all of them.

    Attributes:
        reads_for_zone: Whether other routers of the zone depend on the reads of this one.
        failures: Number of consecutive failed calls of the probing topic.
        outage_seen_ms: When an outage, which is several failures in a row, was last observed.
        epoch: Epoch of the store.
    """

    def __init__(self, epoch: StoreEpoch | None = None) -> None:
        self.epoch = epoch or StoreEpoch()
        self.reads_for_zone = True
        self.failures = 0
        self.outage_seen_ms = float("-inf")
        self._probe = ""
        self._called_ms = 0.0
        self._reachable = asyncio.Event()
        self._random = random.Random()

    @property
    def is_failing(self) -> bool:
        """Whether the newest call has failed."""
        return self.failures > 0

    def may_call(self, topic: str) -> bool:
        """Return whether a topic may call the store; during an outage only one may."""
        now_ms = clock_ms()
        if self.failures and topic != self._probe and now_ms - self._called_ms < _PROBE_TIMEOUT_MS:
            return False
        if self.failures:
            self._probe = topic
        self._called_ms = now_ms
        return True

    async def wait_until_reachable(self) -> None:
        """Wait until the store has answered, or until the probe's timeout."""
        try:
            async with asyncio.timeout(_PROBE_TIMEOUT_MS / 1000):
                await self._reachable.wait()
        except TimeoutError:
            return

    def retry_now(self, topic: str) -> None:
        """Let a topic probe the store at once, as another router has just reached it."""
        self._probe = topic
        # Wakes the topics that wait now, and no later ones.
        self._reachable.set()
        if self.failures:
            self._reachable.clear()

    def record_success(self) -> None:
        """Record that the store has answered."""
        self.failures = 0
        self._reachable.set()

    def record_failure(self, topic: str) -> bool:
        """Record a failed call; return whether to log it."""
        if not self.failures:
            self._probe = topic
        self._reachable.clear()
        if topic != self._probe:
            return False
        self.failures += 1
        if self.failures >= _OUTAGE_FAILURES:
            self.outage_seen_ms = clock_ms()
        return self.failures in (1, _OUTAGE_FAILURES)

    def retry_delay_s(self) -> float:
        """Return the delay before the next call."""
        if self.failures < _OUTAGE_FAILURES:
            return _RETRY_S
        if self.reads_for_zone:
            return _READER_RETRY_S
        doubled_s = _READER_RETRY_S * 2.0 ** (self.failures - _OUTAGE_FAILURES)
        jitter = 1.0 + _JITTER * (2.0 * self._random.random() - 1.0)
        return min(doubled_s, _MAX_RETRY_S) * jitter
