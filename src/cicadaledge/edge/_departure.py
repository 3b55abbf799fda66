"""Schedule of a graceful shutdown.

Within any grace period that the operators set, accepted requests can be completed, and every caller
learns the outcome of its request before the process is killed.
"""

from __future__ import annotations

import math

from cicadaledge.edge._settings import EdgeSettings

# A router that shuts down asks the callers that it refuses to retry after this time. Any other
# router can serve the request.
LEAVING_RETRY_MS = 50.0
# New requests are accepted for at most this fraction of the grace period. The rest of it is for
# completing the accepted requests.
_ACCEPT_RATIO = 1 / 3
# The margin is the time between the last response and the kill. If the grace period is short, the
# margin is this fraction of it: less than its last sixth, in which servers' work may be cut off.
_MARGIN_RATIO = 0.15
# The last responses are sent within this fraction of the margin. Then the connections are aborted.
_FLUSH_RATIO = 0.25


class ShutdownSchedule:
    """Times of the phases of a shutdown, relative to the stop signal.

    Args:
        settings: Provides the grace period and the maximum time of accepting new requests.
    """

    def __init__(self, settings: EdgeSettings) -> None:
        self._grace_ms = settings.bounds.grace_ms
        self._accept_ms = min(settings.timing.stop_accept_ms, self._grace_ms * _ACCEPT_RATIO)
        self._margin_ms = min(settings.timing.stop_margin_ms, self._grace_ms * _MARGIN_RATIO)
        self._started_ms = math.inf

    def begin(self, now_ms: float) -> None:
        """Record the time of the stop signal."""
        self._started_ms = min(self._started_ms, now_ms)

    @property
    def has_begun(self) -> bool:
        """Whether a stop signal was received."""
        return self._started_ms < math.inf

    @property
    def accept_until_ms(self) -> float:
        """Time from which new requests are refused."""
        return self._started_ms + self._accept_ms

    @property
    def respond_until_ms(self) -> float:
        """Time by which every request is answered or refused."""
        return self._started_ms + self._grace_ms - self._margin_ms

    @property
    def abort_at_ms(self) -> float:
        """Time at which the remaining requests are aborted."""
        return self.respond_until_ms + self._margin_ms * _FLUSH_RATIO

    def accepts(self, now_ms: float) -> bool:
        """Return whether new requests are accepted."""
        return now_ms < self.accept_until_ms

    def has_time_for(self, work_ms: float, now_ms: float) -> bool:
        """Return whether a server can answer a request before the process ends.

        Args:
            work_ms: Time that the server is expected to need.
        """
        return now_ms + work_ms <= self.respond_until_ms
