"""Counts and sums within a sliding window."""

from __future__ import annotations

from collections import deque

_SLICE_COUNT = 20  # A window is divided into this many slices; amounts expire a slice at a time.


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


class SlidingSum:
    """Sum of amounts over the last *window_ms*, and their rate.

    Unlike an exponential average, it forgets a burst as soon as the window has passed.

    Args:
        window_ms: Length of the window.
    """

    def __init__(self, window_ms: float) -> None:
        self._slice_ms = window_ms / _SLICE_COUNT
        self._slices: deque[tuple[int, float]] = deque()

    def add(self, amount: float, now_ms: float) -> None:
        """Add an amount."""
        current = int(now_ms // self._slice_ms)
        if self._slices and self._slices[-1][0] == current:
            amount += self._slices.pop()[1]
        self._slices.append((current, amount))

    def total(self, now_ms: float) -> float:
        """Return the sum of the amounts within the window."""
        first = self._first_slice(now_ms)
        while self._slices and self._slices[0][0] < first:
            self._slices.popleft()
        return sum(amount for _, amount in self._slices)

    def per_s(self, now_ms: float) -> float:
        """Return the mean rate per second within the window."""
        covered_ms = now_ms - self._first_slice(now_ms) * self._slice_ms
        return self.total(now_ms) * 1000.0 / covered_ms

    def _first_slice(self, now_ms: float) -> int:
        return int(now_ms // self._slice_ms) - _SLICE_COUNT + 1
