"""Memory for answers that are held whole, bounded over all requests."""

from __future__ import annotations

import threading
from collections.abc import Iterable, Iterator

from cicadaledge.errors import BackendError

# Up to this size, an answer never waits for or takes the shared memory, so that large answers of
# one server do not stop the usual ones of others.
_FREE_BYTES = 65_536


class AnswerTooLargeError(BackendError):
    """An answer is larger than the limit for one, or than the memory that is left for all."""

    def __init__(self, message: str) -> None:
        super().__init__(message, sent=True)


class AnswerMemory:
    """Thread-safe count of the bytes of all answers that are held whole.

    Args:
        answer_bytes: Limit for one answer.
        total_bytes: Limit for all answers together, beside a small part of each.
    """

    def __init__(self, answer_bytes: int, total_bytes: int) -> None:
        self.answer_bytes = answer_bytes
        self._total_bytes = total_bytes
        self._used_bytes = 0
        self._lock = threading.Lock()

    @property
    def used_bytes(self) -> int:
        """Bytes of the shared memory in use."""
        return self._used_bytes

    def take(self, size_bytes: int) -> bool:
        """Take some of the shared memory; return whether that much was left."""
        with self._lock:
            if self._used_bytes + size_bytes > self._total_bytes:
                return False
            self._used_bytes += size_bytes
            return True

    def give_back(self, size_bytes: int) -> None:
        """Give some of the shared memory back."""
        with self._lock:
            self._used_bytes -= size_bytes


class HeldAnswer:
    """The growing body of one answer."""

    def __init__(self, memory: AnswerMemory) -> None:
        self._memory = memory
        self._taken_bytes = 0
        self._body = bytearray()

    def add(self, data: bytes) -> None:
        """Append bytes to the body.

        Raises:
            AnswerTooLargeError: There is no memory for them.
        """
        size_bytes = len(self._body) + len(data)
        if size_bytes > self._memory.answer_bytes:
            raise AnswerTooLargeError(f"the answer is over {self._memory.answer_bytes} bytes")
        wanted_bytes = max(0, size_bytes - _FREE_BYTES) - self._taken_bytes
        if wanted_bytes > 0:
            if not self._memory.take(wanted_bytes):
                raise AnswerTooLargeError("the answers of all requests take too much memory")
            self._taken_bytes += wanted_bytes
        self._body += data

    def take_body(self) -> bytes:
        """Return the body; its memory stays taken until `release`."""
        body = bytes(self._body)
        self._body.clear()
        return body

    def release(self) -> None:
        """Discard the body and give its memory back."""
        self._body.clear()
        self._memory.give_back(self._taken_bytes)
        self._taken_bytes = 0

    def release_at_end(self, chunks: Iterable[bytes]) -> Iterator[bytes]:
        """Yield an answer and release its memory when it ends or is closed."""
        try:
            yield from chunks
        finally:
            self.release()
