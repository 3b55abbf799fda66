"""Limits how many requests are retried on a second server."""

from __future__ import annotations

from cicadaledge.edge._settings import BoundSettings
from cicadaledge.placing import RateWindow

# A router uses only this fraction of its share. This keeps the fleet within its budget although the
# routers' windows are not aligned and the number of peers changes.
_SAFETY_FACTOR = 0.7


class RetryBudget:
    """This router's share of the fleet-wide retry budget, for each service.

    Args:
        bounds: Ratio, slack and window of the fleet-wide budget.
    """

    def __init__(self, bounds: BoundSettings) -> None:
        self._bounds = bounds
        self._requests: dict[str, RateWindow] = {}
        self._retries: dict[str, RateWindow] = {}

    def record_request(self, service: str, now_ms: float) -> None:
        """Count a request received from a caller."""
        self._window(self._requests, service).add(now_ms)

    def try_spend(self, service: str, routers: int, now_ms: float) -> bool:
        """Count a retry and return True, or return False if the budget is used up.

        Args:
            routers: Number of routers that may share the budget, including unreachable ones.
        """
        requests = self._window(self._requests, service).count(now_ms)
        retries = self._window(self._retries, service)
        allowed = self._bounds.retry_ratio * requests + self._bounds.retry_slack / routers
        if retries.count(now_ms) + 1 > allowed * _SAFETY_FACTOR:
            return False
        retries.add(now_ms)
        return True

    def _window(self, windows: dict[str, RateWindow], service: str) -> RateWindow:
        if service not in windows:
            windows[service] = RateWindow(self._bounds.retry_window_ms)
        return windows[service]
