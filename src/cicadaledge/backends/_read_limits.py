"""Limits on the bytes and the time that reading from a server may take, whatever it sends."""

from __future__ import annotations

import http.client
import io
import math
import socket
import time
from typing import Any

from attrs import define, frozen


@frozen
class AnswerLimits:
    """Limits on what is read of one answer.

    Args:
        size_bytes: Head, framing and body together.
        total_ms: Time for all of it.
        idle_ms: Time without a byte.
    """

    size_bytes: int
    total_ms: float
    idle_ms: float


class ReadLimitError(OSError):
    """A server sent more bytes, or took more time, than its answer may."""


@define
class ReadAllowance:
    """What may still be read from a connection; heads, framing and bodies all count.

    The time-out of a socket alone ends no answer that arrives a byte at a time.
    """

    _bytes_left: int = 0
    _until_s: float = math.inf
    _idle_s: float = math.inf

    def renew(self, limits: AnswerLimits) -> None:
        """Allow further reads within new limits."""
        self._bytes_left = limits.size_bytes
        self._until_s = time.monotonic() + limits.total_ms / 1000
        self._idle_s = limits.idle_ms / 1000

    def next_timeout_s(self) -> float:
        """Return the time that the next read may take.

        Raises:
            ReadLimitError: There is no time left.
        """
        left_s = self._until_s - time.monotonic()
        if left_s <= 0:
            raise ReadLimitError("the answer takes too long")
        return min(left_s, self._idle_s)

    def count(self, size_bytes: int) -> None:
        """Count received bytes.

        Raises:
            ReadLimitError: There are more of them than were allowed.
        """
        self._bytes_left -= size_bytes
        if self._bytes_left < 0:
            raise ReadLimitError("the answer is too long")


class LimitedResponse(http.client.HTTPResponse):
    """A response whose bytes are read within an allowance."""

    def __init__(self, allowance: ReadAllowance, sock: socket.socket, **options: Any) -> None:
        super().__init__(sock, **options)
        raw = self.fp.detach()
        self.fp = io.BufferedReader(_LimitedReader(raw, sock, allowance))


class _LimitedReader(io.RawIOBase):
    def __init__(self, raw: io.RawIOBase, sock: socket.socket, allowance: ReadAllowance) -> None:
        self._raw = raw
        self._sock = sock
        self._allowance = allowance

    def readable(self) -> bool:
        return True

    def fileno(self) -> int:
        return self._raw.fileno()

    def readinto(self, buffer: Any) -> int | None:
        self._sock.settimeout(self._allowance.next_timeout_s())
        size_bytes = self._raw.readinto(buffer)
        self._allowance.count(size_bytes or 0)
        return size_bytes

    def close(self) -> None:
        if not self.closed:
            self._raw.close()
        super().close()
