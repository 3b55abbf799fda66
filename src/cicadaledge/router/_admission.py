"""Shares this router's caller threads between client accounts."""

from __future__ import annotations

import threading
from collections import Counter
from collections.abc import Iterable, Iterator

from cicadaledge.codes import Code
from cicadaledge.errors import RefusalError

_MIN_THREADS_PER_ACCOUNT = 2
_RETRY_AFTER_MS = 500


class Admission:
    """Lets an account hold at most as many threads as are left.

    The first account that floods gets half of the threads, the next half of the rest, and
    so on; a few are always left for an account that has none. Thread-safe.

    Args:
        threads: Caller threads of this router.
    """

    def __init__(self, threads: int) -> None:
        self._threads = threads
        self._in_use: Counter[str] = Counter()
        self._total = 0
        self._lock = threading.Lock()

    def enter(self, account: str) -> None:
        """Take a thread for an account.

        Raises:
            RefusalError: The account holds too many; code 2002.
        """
        with self._lock:
            limit = max(_MIN_THREADS_PER_ACCOUNT, self._threads - self._total)
            if self._in_use[account] >= limit:
                raise RefusalError(Code.QUEUE_FULL, retry_after_ms=_RETRY_AFTER_MS)
            self._in_use[account] += 1
            self._total += 1

    def leave(self, account: str) -> None:
        """Give a thread back."""
        with self._lock:
            self._in_use[account] -= 1
            self._total -= 1

    def release_at_end(self, account: str, chunks: Iterable[bytes]) -> Iterator[bytes]:
        """Yield an answer and give the thread back at its end."""
        try:
            yield from chunks
        finally:
            self.leave(account)
