"""Reads the body of a request, by its length or in chunks, into one buffer.

Answers bodies in very many small pieces or chunks. A list of small pieces takes many times the
memory of the bytes themselves, and an event object for each chunk takes most of the time.
"""

from __future__ import annotations

import re

# The longest line with the size of a chunk, including extensions, and the longest trailer. HTTP
# libraries send far shorter ones.
_MAX_LINE_BYTES = 4_096
_MAX_TRAILER_BYTES = 16_384
_CHUNK_HEAD = re.compile(rb"([0-9A-Fa-f]{1,16})[ \t]*(?:;[^\r\n]*)?\r?\n")
_LINE_END = re.compile(rb"\r?\n")


class BodyError(Exception):
    """The framing of a body is not valid."""


class BodyTooLargeError(BodyError):
    """A body is larger than the limit."""


class BodyReader:
    """Takes the bytes of one body as they arrive.

    Args:
        length: Length of the body; None if it comes in chunks.
        limit_bytes: Largest size of the body.

    Attributes:
        is_done: Whether the body is complete.
        size_bytes: Size of the body so far, also of discarded bytes.
        keeps: Whether the body is kept; if not, it is read and discarded.
        has_more: Whether a call of `feed` without data goes on with bytes that have arrived.

    Raises:
        BodyTooLargeError: The length is over the limit.
    """

    def __init__(self, length: int | None, limit_bytes: int) -> None:
        if length is not None and length > limit_bytes:
            raise BodyTooLargeError(f"the body is over {limit_bytes} bytes")
        self.is_done = length == 0
        self.size_bytes = 0
        self.keeps = True
        self.has_more = False
        self._limit_bytes = limit_bytes
        self._is_chunked = length is None
        self._left_bytes = length or 0
        self._body = bytearray()
        self._pending = b""
        self._in_trailer = False
        self._ends_chunk = False

    @property
    def held_bytes(self) -> int:
        """Memory that the reader holds."""
        return len(self._body) + len(self._pending)

    @property
    def left_bytes(self) -> int | None:
        """Bytes of the body that have not arrived; None if it comes in chunks."""
        return None if self._is_chunked else self._left_bytes

    def discard(self) -> None:
        """Free what was kept, and keep nothing of the rest."""
        self.keeps = False
        self._body = bytearray()

    def take_body(self) -> bytes:
        """Return the body and free it."""
        body = bytes(self._body)
        self._body = bytearray()
        return body

    def feed(self, data: bytes, max_chunks: int) -> bytes | None:
        """Take received bytes; return those after the body, or None while it is not complete.

        At most *max_chunks* chunks are read. If more have arrived, `has_more` is true and the next
        call, which may be without data, goes on.

        Raises:
            BodyError: The framing is not valid, or the body is over the limit.
        """
        if not self._is_chunked:
            return self._feed_length(data)
        return self._feed_chunks(data, max_chunks)

    def _feed_length(self, data: bytes) -> bytes | None:
        taken = data if len(data) <= self._left_bytes else data[: self._left_bytes]
        self._left_bytes -= len(taken)
        self._keep(taken)
        if self._left_bytes:
            return None
        self.is_done = True
        return data[len(taken) :]

    def _keep(self, data: bytes) -> None:
        self.size_bytes += len(data)
        if self.size_bytes > self._limit_bytes:
            raise BodyTooLargeError(f"the body is over {self._limit_bytes} bytes")
        if self.keeps:
            self._body += data

    def _feed_chunks(self, data: bytes, max_chunks: int) -> bytes | None:
        data = self._pending + data if self._pending else data
        self._pending = b""
        self.has_more = False
        position = 0
        for _ in range(max_chunks):
            if self._in_trailer:
                return self._feed_trailer(data[position:])
            if self._left_bytes:
                end = min(len(data), position + self._left_bytes)
                self._left_bytes -= end - position
                self._keep(data[position:end])
                position = end
                if self._left_bytes:
                    return None
                self._ends_chunk = True
            if self._ends_chunk:
                match = _LINE_END.match(data, position)
                if match is None:
                    self._wait(data[position:], 1, b"\r")
                    return None
                self._ends_chunk = False
                position = match.end()
            match = _CHUNK_HEAD.match(data, position)
            if match is None:
                self._wait(data[position:], _MAX_LINE_BYTES, None)
                return None
            position = match.end()
            self._left_bytes = int(match[1], 16)
            if self.size_bytes + self._left_bytes > self._limit_bytes:
                raise BodyTooLargeError(f"the body is over {self._limit_bytes} bytes")
            self._in_trailer = not self._left_bytes
        self._pending = data[position:]
        self.has_more = bool(self._pending)
        return None

    def _wait(self, rest: bytes, max_bytes: int, only: bytes | None) -> None:
        """Keep the start of a line, unless no valid line can start with it."""
        if len(rest) > max_bytes or b"\n" in rest or (only is not None and rest not in (b"", only)):
            raise BodyError("illegal chunk header")
        self._pending = rest

    def _feed_trailer(self, data: bytes) -> bytes | None:
        """Skip the trailer, which ends with an empty line."""
        position = 0
        while (end := data.find(b"\n", position)) >= 0:
            line = data[position:end]
            position = end + 1
            if line in (b"", b"\r"):
                self.is_done = True
                return data[position:]
        if len(data) > _MAX_TRAILER_BYTES:
            raise BodyError("the trailer is too long")
        self._pending = data
        return None
