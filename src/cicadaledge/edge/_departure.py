"""What a router that was told to stop still takes, sends and finishes.

Answers a planned stop under load, whatever time the operators leave for it: what is taken can be
finished, and everybody is told what became of a request before the process is killed.
"""

from __future__ import annotations

import math

from cicadaledge.edge._settings import EdgeSettings

LEAVING_RETRY_MS = 50.0  # any other router can serve a request that a leaving one refuses
_ACCEPT_PART = 1 / 3  # of the grace; the rest is for what was taken last
_MARGIN_PART = 0.15  # of a short grace: less than the last sixth, in which servers may be cut off
_FLUSH_PART = 0.25  # of the margin, for the last answers to be sent


class ShutdownSchedule:
    """When a leaving router does what, by the time that is left and not by a timer of its own.

    Args:
        settings: Gives the grace, and how long new callers are taken at most.
    """

    def __init__(self, settings: EdgeSettings) -> None:
        self._grace_ms = settings.bounds.grace_ms
        self._accept_ms = min(settings.timing.stop_accept_ms, self._grace_ms * _ACCEPT_PART)
        self._margin_ms = min(settings.timing.stop_margin_ms, self._grace_ms * _MARGIN_PART)
        self._begun_ms = math.inf

    def begin(self, now_ms: float) -> None:
        """Note the signal to stop."""
        self._begun_ms = min(self._begun_ms, now_ms)

    @property
    def has_begun(self) -> bool:
        """Whether the router was told to stop."""
        return self._begun_ms < math.inf

    @property
    def accept_until_ms(self) -> float:
        """When new requests are refused."""
        return self._begun_ms + self._accept_ms

    @property
    def respond_until_ms(self) -> float:
        """When every request is answered, whatever the answer."""
        return self._begun_ms + self._grace_ms - self._margin_ms

    @property
    def abort_at_ms(self) -> float:
        """When the process ends what is left."""
        return self.respond_until_ms + self._margin_ms * _FLUSH_PART

    def accepts(self, now_ms: float) -> bool:
        """Return whether new requests are taken."""
        return now_ms < self.accept_until_ms

    def has_time_for(self, aim_ms: float, now_ms: float) -> bool:
        """Return whether a server may still begin with a request.

        Args:
            aim_ms: Within which its answer is due.
        """
        return now_ms + aim_ms <= self.respond_until_ms
