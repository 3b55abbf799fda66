"""Whether a router reaches the store, and when it tries again.

Answers an outage of the store: hundreds of routers that each ask again and again for each topic are
a load of their own, on a store that is coming back, too.
"""

from __future__ import annotations

import asyncio
import random

from cicadaledge.edge._channel import clock_ms

_RETRY_S = 0.15  # a call that failed at once may be made again within the bounds of the rates
_FAILURES_TO_AWAY = 4
_READER_RETRY_S = 0.5  # whoever reads for a zone ends the outage for all of it
_LONGEST_RETRY_S = 2.0  # of the others, if nobody passes anything on to them
_SPREAD = 0.25  # routers that failed together do not try again together
_PROBE_LIFE_MS = 3_000.0  # another topic tries if the one that does has gone silent


class StoreAvailability:
    """What the followers of all topics of one router know of the store.

    While it is away one topic tries for all of them.

    Attributes:
        reads_for_zone: Whether others of the zone wait for what this router reads.
        failures: How often it was not reached in a row.
        away_ms: When it was last found to be away, after several failures.
    """

    def __init__(self) -> None:
        self.reads_for_zone = True
        self.failures = 0
        self.outage_seen_ms = float("-inf")
        self._probe = ""
        self._tried_ms = 0.0
        self._back = asyncio.Event()
        self._chance = random.Random()

    @property
    def is_failing(self) -> bool:
        """Whether the newest call has failed."""
        return self.failures > 0

    def may_call(self, topic: str) -> bool:
        """Return whether a topic may call the store; while it is away one may."""
        now_ms = clock_ms()
        if self.failures and topic != self._probe and now_ms - self._tried_ms < _PROBE_LIFE_MS:
            return False
        if self.failures:
            self._probe = topic
        self._tried_ms = now_ms
        return True

    async def wait_until_reachable(self) -> None:
        """Wait until the store was reached, or for as long as its probe may take."""
        try:
            async with asyncio.timeout(_PROBE_LIFE_MS / 1000):
                await self._back.wait()
        except TimeoutError:
            return

    def record_success(self) -> None:
        """Note that the store has answered."""
        self.failures = 0
        self._back.set()

    def record_failure(self, topic: str) -> bool:
        """Note that it has not; return whether this is worth a line in the log."""
        if not self.failures:
            self._probe = topic
        self._back.clear()
        if topic != self._probe:
            return False
        self.failures += 1
        if self.failures >= _FAILURES_TO_AWAY:
            self.outage_seen_ms = clock_ms()
        return self.failures in (1, _FAILURES_TO_AWAY)

    def retry_delay_s(self) -> float:
        """Return how long to wait before the next try."""
        if self.failures < _FAILURES_TO_AWAY:
            return _RETRY_S
        if self.reads_for_zone:
            return _READER_RETRY_S
        doubled_s = _READER_RETRY_S * 2.0 ** (self.failures - _FAILURES_TO_AWAY)
        spread = 1.0 + _SPREAD * (2.0 * self._chance.random() - 1.0)
        return min(doubled_s, _LONGEST_RETRY_S) * spread
