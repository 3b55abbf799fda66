"""Decides which of the connections that were accepted are set up next.

Answers the load of more new callers than a process has time for. Served in order of arrival, each
would have given up before its turn, and all work would be done for nobody.
"""

from __future__ import annotations

from collections import deque
from typing import Generic, TypeVar

T = TypeVar("T")


class PendingConnections(Generic[T]):
    """A line that is served from its end and cut at its head.

    Args:
        patience_ms: How long one may wait; whoever has waited longer is better off elsewhere.
        most: How many may wait.
    """

    def __init__(self, patience_ms: float, most: int) -> None:
        self._max_wait_ms = patience_ms
        self._max_pending = most
        self._pending: deque[tuple[float, T]] = deque()

    def __len__(self) -> int:
        return len(self._pending)

    def add(self, one: T, now_ms: float) -> None:
        """Take one into the line."""
        self._pending.append((now_ms, one))

    def pop_newest(self) -> T:
        """Return the newest one, which has most of its patience left.

        Raises:
            IndexError: None waits.
        """
        return self._pending.pop()[1]

    def shed(self, now_ms: float) -> list[T]:
        """Return those that have waited too long, and the oldest of those that are too many."""
        cut = []
        while self._pending:
            since_ms, one = self._pending[0]
            if len(self._pending) <= self._max_pending and now_ms - since_ms <= self._max_wait_ms:
                break
            self._pending.popleft()
            cut.append(one)
        return cut
