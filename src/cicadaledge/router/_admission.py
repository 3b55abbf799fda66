"""Limits the caller threads that a client account may use on this router."""

from __future__ import annotations

import threading
from collections import Counter
from collections.abc import Iterable, Iterator

from cicadaledge.codes import Code
from cicadaledge.errors import RefusalError

_MIN_THREADS_PER_ACCOUNT = 2
# A caller whose account uses too many threads is asked to retry after this time.
_RETRY_AFTER_MS = 500


class Admission:
    """Lets an account use at most as many threads as are still free.

    The first account with excess requests gets half of the threads, the next one half of the
    rest, and so on, so that some threads stay free for accounts without any. Thread-safe.

    Args:
        threads: Caller threads of this router.
    """

    def __init__(self, threads: int) -> None:
        self._threads = threads
        self._in_use: Counter[str] = Counter()
        self._total = 0
        self._lock = threading.Lock()

    def enter(self, account: str) -> None:
        """Reserve a thread for an account.

        Raises:
            RefusalError: The account uses too many threads; code 2002.
        """
        with self._lock:
            limit = max(_MIN_THREADS_PER_ACCOUNT, self._threads - self._total)
            if self._in_use[account] >= limit:
                raise RefusalError(Code.QUEUE_FULL, retry_after_ms=_RETRY_AFTER_MS)
            self._in_use[account] += 1
            self._total += 1

    def leave(self, account: str) -> None:
        """Release a thread of an account."""
        with self._lock:
            self._in_use[account] -= 1
            self._total -= 1

    def release_at_end(self, account: str, chunks: Iterable[bytes]) -> Iterator[bytes]:
        """Yield an answer and release the thread when it ends or is closed."""
        try:
            yield from chunks
        finally:
            self.leave(account)
