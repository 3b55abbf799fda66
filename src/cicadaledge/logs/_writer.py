"""Writes log lines to a descriptor without ever blocking."""

from __future__ import annotations

import asyncio
import json
import os
import select
from collections import deque
from typing import Any

import eliot
import orjson

_BACKLOG_BYTES = 262_144  # about a thousand lines; a reader that is further behind has stalled
_BATCH_S = 0.02  # lines that wait for one system call; a killed process loses no more
_WRITE_BYTES = select.PIPE_BUF  # a pipe takes this much whole, and readers cut no line


class LineWriter:
    """Queues lines and writes them as the reader takes them.

    Lines that do not fit into the queue are dropped and counted; a line that tells how many
    were lost follows as soon as there is room.

    Args:
        descriptor: Set to non-blocking mode.
        backlog_bytes: Most bytes that are queued.
    """

    def __init__(self, descriptor: int, backlog_bytes: int = _BACKLOG_BYTES) -> None:
        self.dropped = 0
        self._descriptor = descriptor
        self._backlog_bytes = backlog_bytes
        self._lines: deque[bytes] = deque()
        self._queued_bytes = 0
        self._untold = 0
        self._waiting = False
        self._planned = False
        os.set_blocking(descriptor, False)

    def attach(self) -> None:
        """Make this the destination of all log messages of the process."""
        eliot.add_destinations(self.write)

    def write(self, message: dict[str, Any]) -> None:
        """Queue one message; return at once."""
        line = _encode(message) + b"\n"
        if self._queued_bytes + len(line) > self._backlog_bytes:
            self.dropped += 1
            self._untold += 1
            return
        if self._untold:
            note = json.dumps({"message": "logs: Lines were dropped.", "count": self._untold})
            self._queue(note.encode() + b"\n")
            self._untold = 0
        self._queue(line)
        if not self._waiting and not self._planned:
            self._plan()

    def _queue(self, line: bytes) -> None:
        self._lines.append(line)
        self._queued_bytes += len(line)

    async def drain(self, limit_s: float) -> None:
        """Write what is queued; wait at most *limit_s* for a reader that is behind."""
        loop = asyncio.get_running_loop()
        end_s = loop.time() + limit_s
        self._flush()
        while self._lines and loop.time() < end_s:
            await asyncio.sleep(_BATCH_S)
            self._flush()

    def _plan(self) -> None:
        try:
            asyncio.get_running_loop().call_later(_BATCH_S, self._flush)
        except RuntimeError:
            self._flush()
            return
        self._planned = True

    def _flush(self) -> None:
        self._planned = False
        while self._lines:
            data = self._take()
            try:
                written = os.write(self._descriptor, data)
            except BlockingIOError:
                self._lines.appendleft(data)
                self._wait()
                return
            except OSError:
                # The reader has gone; there is nobody to tell.
                self._lines.clear()
                self._queued_bytes = 0
                return
            self._queued_bytes -= written
            if written < len(data):
                self._lines.appendleft(data[written:])
        self._stop_waiting()

    def _take(self) -> bytes:
        """Take lines out of the queue for one system call."""
        taken = [self._lines.popleft()]
        size = len(taken[0])
        while self._lines and size + len(self._lines[0]) <= _WRITE_BYTES:
            taken.append(self._lines.popleft())
            size += len(taken[-1])
        return b"".join(taken)

    def _wait(self) -> None:
        if self._waiting:
            return
        try:
            asyncio.get_running_loop().add_writer(self._descriptor, self._flush)
        except (RuntimeError, OSError):
            # No loop runs, or the descriptor cannot be watched: the next line tries again.
            return
        self._waiting = True

    def _stop_waiting(self) -> None:
        if self._waiting:
            asyncio.get_running_loop().remove_writer(self._descriptor)
            self._waiting = False


def _encode(message: dict[str, Any]) -> bytes:
    """Return a message as ASCII, so that no reader finds the end of a line within it."""
    try:
        line = orjson.dumps(message, default=str, option=orjson.OPT_PASSTHROUGH_DATACLASS)
    except TypeError:
        line = b""  # a number or a key that only the slower encoder takes
    if not line or not line.isascii():
        line = json.dumps(message, default=str, separators=(",", ":")).encode()
    return line
