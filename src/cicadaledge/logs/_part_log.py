"""Structured logs: JSON lines by eliot, a fixed prefix for each part."""

from __future__ import annotations

import itertools
import sys
import time
import uuid
from typing import Any

import eliot

# All lines of a process are one task: a task of its own for each costs ten times the line.
_TASK = str(uuid.uuid4())
_levels = itertools.count(1)
_logger = eliot.Logger()


class PartLog:
    """Writes log lines of one part of a process.

    Args:
        prefix: Stands before each sentence.
    """

    def __init__(self, prefix: str) -> None:
        self._prefix = prefix

    def info(self, sentence: str, **fields: Any) -> None:
        """Log that something happened."""
        self._write("info", sentence, fields)

    def warning(self, sentence: str, **fields: Any) -> None:
        """Log that something needs attention."""
        self._write("warning", sentence, fields)

    def _write(self, level: str, sentence: str, fields: dict[str, Any]) -> None:
        line = {"level": level, "message": f"{self._prefix}: {sentence}", **fields}
        line["timestamp"] = time.time()
        line["task_uuid"] = _TASK
        line["task_level"] = [next(_levels)]
        line["message_type"] = self._prefix
        _logger.write(line)


def start_logs() -> None:
    """Write log lines to standard output."""
    eliot.to_file(sys.stdout)
