"""Structured logs: JSON lines by eliot, a fixed prefix for each part."""

from __future__ import annotations

import sys
from typing import Any

import eliot


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
        text = f"{self._prefix}: {sentence}"
        eliot.log_message(message_type=self._prefix, level=level, message=text, **fields)


def start_logs() -> None:
    """Write log lines to standard output."""
    eliot.to_file(sys.stdout)
