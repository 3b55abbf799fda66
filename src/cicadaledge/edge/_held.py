"""Answers that a process holds until they are complete, bounded over all requests."""

from __future__ import annotations

from types import TracebackType

_ALL_BYTES = 16 * 1_048_576  # a tenth of the memory that the smallest router has beside its code
_ANSWER_BYTES = 262_144  # usual answers and error pages are shorter


class BufferBudget:
    """Counts what is held.

    Args:
        all_bytes: Most bytes of all answers together.
        answer_bytes: Most bytes of one answer.
    """

    def __init__(self, all_bytes: int = _ALL_BYTES, answer_bytes: int = _ANSWER_BYTES) -> None:
        self.used_bytes = 0
        self.all_bytes = all_bytes
        self.answer_bytes = answer_bytes


class BufferedBody:
    """The body of one answer, counted while the context lasts."""

    def __init__(self, held: BufferBudget) -> None:
        self._held = held
        self._pieces = bytearray()

    def __enter__(self) -> BufferedBody:
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self.release()

    def add(self, piece: bytes) -> bool:
        """Hold a further piece, or return False if that would be over a bound."""
        size = len(piece)
        over = len(self._pieces) + size > self._held.answer_bytes
        if over or self._held.used_bytes + size > self._held.all_bytes:
            return False
        self._held.used_bytes += size
        self._pieces += piece
        return True

    def copy(self) -> bytes:
        """Return the body and go on counting it."""
        return bytes(self._pieces)

    def release(self) -> bytes:
        """Return the body and count it no longer."""
        self._held.used_bytes -= len(self._pieces)
        body = bytes(self._pieces)
        self._pieces.clear()
        return body
