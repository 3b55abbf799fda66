"""Queue of accepted connections that wait for their setup, with load shedding.

Under overload a queue in order of arrival serves only callers that have already timed out. This
queue serves the newest connection first and sheds those that have waited too long.
"""

from __future__ import annotations

from collections import deque
from typing import Generic, TypeVar

T = TypeVar("T")


class PendingConnections(Generic[T]):
    """A last-in, first-out queue that sheds its oldest entries.

    Args:
        max_wait_ms: Longest wait; after it a caller is better served elsewhere.
        max_pending: Maximum length of the queue.
    """

    def __init__(self, max_wait_ms: float, max_pending: int) -> None:
        self._max_wait_ms = max_wait_ms
        self._max_pending = max_pending
        self._pending: deque[tuple[float, T]] = deque()

    def __len__(self) -> int:
        return len(self._pending)

    def add(self, connection: T, now_ms: float) -> None:
        """Add a connection."""
        self._pending.append((now_ms, connection))

    def pop(self) -> T:
        """Remove and return the newest connection, whose caller has the most time left.

        Raises:
            IndexError: The queue is empty.
        """
        return self._pending.pop()[1]

    def shed(self, now_ms: float) -> list[T]:
        """Remove and return connections that have waited too long or exceed the maximum length."""
        shed_connections = []
        while self._pending:
            added_ms, connection = self._pending[0]
            if len(self._pending) <= self._max_pending and now_ms - added_ms <= self._max_wait_ms:
                break
            self._pending.popleft()
            shed_connections.append(connection)
        return shed_connections
