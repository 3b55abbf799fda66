"""How often requests may be sent to a second server."""

from __future__ import annotations

from cicadaledge.edge._settings import BoundSettings
from cicadaledge.placing import RateWindow

_SAFE_PART = 0.7  # routers count requests of slightly different windows, and peers come and go


class RetryBudget:
    """This router's part of the fleet's retry budget, for each service.

    Args:
        bounds: Ratio, slack and window of the whole fleet's budget.
    """

    def __init__(self, bounds: BoundSettings) -> None:
        self._bounds = bounds
        self._requests: dict[str, RateWindow] = {}
        self._retries: dict[str, RateWindow] = {}

    def record_request(self, service: str, now_ms: float) -> None:
        """Count a caller's request."""
        self._window(self._requests, service).add(now_ms)

    def try_spend(self, service: str, routers: int, now_ms: float) -> bool:
        """Count one more sending and return True, or return False if none is left.

        Args:
            routers: Routers that may share the budget, those that are not heard included.
        """
        requests = self._window(self._requests, service).count(now_ms)
        retries = self._window(self._retries, service)
        allowed = self._bounds.retry_ratio * requests + self._bounds.retry_slack / routers
        if retries.count(now_ms) + 1 > allowed * _SAFE_PART:
            return False
        retries.add(now_ms)
        return True

    def _window(self, windows: dict[str, RateWindow], service: str) -> RateWindow:
        if service not in windows:
            windows[service] = RateWindow(self._bounds.retry_window_ms)
        return windows[service]
