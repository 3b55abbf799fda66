"""Counts of events within a sliding window."""

from __future__ import annotations

from collections import deque


class RateWindow:
    """Counts events of the last *window_ms*.

    Args:
        window_ms: Length of the window.
    """

    def __init__(self, window_ms: float) -> None:
        self._window_ms = window_ms
        self._times_ms: deque[float] = deque()

    def add(self, now_ms: float) -> None:
        """Count one event."""
        self._times_ms.append(now_ms)

    def count(self, now_ms: float) -> int:
        """Return how many events lie within the window."""
        while self._times_ms and self._times_ms[0] <= now_ms - self._window_ms:
            self._times_ms.popleft()
        return len(self._times_ms)
