"""Buffers responses until they are complete, within a memory limit over all requests."""

from __future__ import annotations

from types import TracebackType

# All buffered responses together take at most this: a tenth of the memory that the smallest router
# has besides its code.
_TOTAL_BYTES = 16 * 1_048_576
# Typical responses and error pages are shorter than this limit for a single one.
_RESPONSE_BYTES = 262_144


class BufferBudget:
    """Memory limits for buffered responses.

    Args:
        total_bytes: Limit for all buffered responses together.
        response_bytes: Limit for one buffered response.
    """

    def __init__(
        self, total_bytes: int = _TOTAL_BYTES, response_bytes: int = _RESPONSE_BYTES
    ) -> None:
        self.used_bytes = 0
        self.total_bytes = total_bytes
        self.response_bytes = response_bytes


class BufferedBody:
    """The buffered body of one response; counts against the budget inside its context."""

    def __init__(self, budget: BufferBudget) -> None:
        self._budget = budget
        self._body = bytearray()
        self._counted_bytes = 0

    def __enter__(self) -> BufferedBody:
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self.release()

    def add(self, chunk: bytes) -> bool:
        """Buffer another chunk, or return False if that would exceed a limit."""
        size = len(chunk)
        over = len(self._body) + size > self._budget.response_bytes
        if over or self._budget.used_bytes + size > self._budget.total_bytes:
            return False
        self._budget.used_bytes += size
        self._counted_bytes += size
        self._body += chunk
        return True

    def take(self) -> bytes:
        """Return the body; it counts against the budget until it is released."""
        body = bytes(self._body)
        self._body.clear()
        return body

    def release(self) -> None:
        """Give the bytes back to the budget."""
        self._budget.used_bytes -= self._counted_bytes
        self._counted_bytes = 0
        self._body.clear()
