"""Structured logs as JSON lines, with a fixed prefix for each part of the process."""

from __future__ import annotations

import itertools
import sys
import time
import uuid
from typing import Any

import eliot

# All lines of a process belong to one eliot task; a task for each line would cost ten times as much
# as writing the line.
_TASK_UUID = str(uuid.uuid4())
_task_levels = itertools.count(1)
_logger = eliot.Logger()


class PartLog:
    """Logger of one part of a process.

    Args:
        prefix: Name of the part, which precedes each sentence.
    """

    def __init__(self, prefix: str) -> None:
        self._prefix = prefix

    def info(self, sentence: str, **fields: Any) -> None:
        """Log an event of normal operation."""
        self._write("info", sentence, fields)

    def warning(self, sentence: str, **fields: Any) -> None:
        """Log an event that may need attention."""
        self._write("warning", sentence, fields)

    def _write(self, level: str, sentence: str, fields: dict[str, Any]) -> None:
        line = {"level": level, "message": f"{self._prefix}: {sentence}", **fields}
        line["timestamp"] = time.time()
        line["task_uuid"] = _TASK_UUID
        line["task_level"] = [next(_task_levels)]
        line["message_type"] = self._prefix
        _logger.write(line)


def start_logs() -> None:
    """Send log lines to standard output."""
    eliot.to_file(sys.stdout)
