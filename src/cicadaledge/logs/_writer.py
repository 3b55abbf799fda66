"""Writes log lines to a file descriptor without blocking."""

from __future__ import annotations

import asyncio
import json
import os
import select
from collections import deque
from typing import Any

import eliot
import orjson

# The queue holds about a thousand lines; a reader that is further behind has stalled, and further
# lines are dropped.
_BACKLOG_BYTES = 262_144
# Lines wait this long, so that several are written with one system call. A process that is killed
# loses only the lines of this interval.
_BATCH_INTERVAL_S = 0.02
# Lines are joined up to this size, which a pipe accepts atomically, so that readers see no split
# line.
_MAX_WRITE_BYTES = select.PIPE_BUF


class LineWriter:
    """Queues lines and writes them as fast as the reader accepts them.

    Lines that do not fit into the queue are dropped and counted. A line with their number is
    written as soon as there is room.

    Args:
        descriptor: File descriptor to write to; it is set to non-blocking mode.
        backlog_bytes: Maximum size of the queue.

    Attributes:
        dropped: Number of dropped lines.
    """

    def __init__(self, descriptor: int, backlog_bytes: int = _BACKLOG_BYTES) -> None:
        self.dropped = 0
        self._descriptor = descriptor
        self._backlog_bytes = backlog_bytes
        self._lines: deque[bytes] = deque()
        self._queued_bytes = 0
        self._unreported = 0
        self._is_watching = False
        self._is_flush_scheduled = False
        os.set_blocking(descriptor, False)

    def attach(self) -> None:
        """Register as a destination of all log messages of the process."""
        eliot.add_destinations(self.write)

    def write(self, message: dict[str, Any]) -> None:
        """Queue one message without blocking."""
        line = _encode(message) + b"\n"
        if self._queued_bytes + len(line) > self._backlog_bytes:
            self.dropped += 1
            self._unreported += 1
            return
        if self._unreported:
            notice = json.dumps({"message": "logs: Lines were dropped.", "count": self._unreported})
            self._append(notice.encode() + b"\n")
            self._unreported = 0
        self._append(line)
        if not self._is_watching and not self._is_flush_scheduled:
            self._schedule_flush()

    def _append(self, line: bytes) -> None:
        self._lines.append(line)
        self._queued_bytes += len(line)

    async def drain(self, limit_s: float) -> None:
        """Write all queued lines; wait at most *limit_s* for a slow reader."""
        loop = asyncio.get_running_loop()
        end_s = loop.time() + limit_s
        self._flush()
        while self._lines and loop.time() < end_s:
            await asyncio.sleep(_BATCH_INTERVAL_S)
            self._flush()

    def _schedule_flush(self) -> None:
        try:
            asyncio.get_running_loop().call_later(_BATCH_INTERVAL_S, self._flush)
        except RuntimeError:
            self._flush()
            return
        self._is_flush_scheduled = True

    def _flush(self) -> None:
        self._is_flush_scheduled = False
        while self._lines:
            data = self._next_batch()
            try:
                written = os.write(self._descriptor, data)
            except BlockingIOError:
                self._lines.appendleft(data)
                self._watch()
                return
            except OSError:
                # The reader has closed the pipe, so that this error cannot be logged either.
                self._lines.clear()
                self._queued_bytes = 0
                return
            self._queued_bytes -= written
            if written < len(data):
                self._lines.appendleft(data[written:])
        self._unwatch()

    def _next_batch(self) -> bytes:
        """Remove and return the lines for the next system call."""
        batch = [self._lines.popleft()]
        size = len(batch[0])
        while self._lines and size + len(self._lines[0]) <= _MAX_WRITE_BYTES:
            batch.append(self._lines.popleft())
            size += len(batch[-1])
        return b"".join(batch)

    def _watch(self) -> None:
        if self._is_watching:
            return
        try:
            asyncio.get_running_loop().add_writer(self._descriptor, self._flush)
        except (RuntimeError, OSError):
            # No event loop is running, or it cannot watch the descriptor. The next log line causes
            # another attempt to write.
            return
        self._is_watching = True

    def _unwatch(self) -> None:
        if self._is_watching:
            asyncio.get_running_loop().remove_writer(self._descriptor)
            self._is_watching = False


def _encode(message: dict[str, Any]) -> bytes:
    """Encode a message as ASCII, so that no reader sees a Unicode line separator within it."""
    try:
        line = orjson.dumps(message, default=str, option=orjson.OPT_PASSTHROUGH_DATACLASS)
    except TypeError:
        line = b""  # The message has a number or key that only the slower encoder below supports.
    if not line or not line.isascii():
        line = json.dumps(message, default=str, separators=(",", ":")).encode()
    return line
